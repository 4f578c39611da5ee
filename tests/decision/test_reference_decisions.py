"""The decision module orders what the reference model does, over generated histories: see
`reference_decisions.py`.
"""

import ast
import gc
import importlib
import pkgutil
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from functools import cache
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec, PathFinder, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType
from unittest.mock import patch

import pytest

import dunlinlug
from dunlinlug import balance, decision
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import LogMessage, SetEjected, SetWeight
from tests.decision import reference_decisions
from tests.decision.reference_decisions import Decides, History, alike, record, replay, shrink
from tests.reference_model.balance import Balancer as ReferenceBalancer

# Chosen so that among them they hold what is rare: the first show all the faults below, two have
# 1,000 workers and more, four of the last a tie that the last bit of a sum decides, and the last one
# lists that fail.
SEEDS = (
    33,
    5,
    11,
    45,
    28,
    13,
    2,
    3,
    7,
    9,
    12,
    15,
    25,
    29,
    34,
    38,
    51,
    52,
    58,
    59,
    65,
    73,
    79,
    95,
    197,
    1120,
    1212,
    2153,
    8,
)
ROUNDING = 0  # turns whose orders may differ by rounding

# Of these at least so many over all seeds, else the histories leave out what is to be compared.
MIN_COUNTS = {
    "turns": 10000,
    "order SetWeight set": 50000,
    "order SetWeight taken away": 200,
    "order DeleteTable": 2000,
    "order AssignTable": 10000,
    "order AssignTable of several products": 200,
    "order SetEjected out": 1000,
    "order SetEjected back": 1000,
    "order SetAdmission": 10000,
    "order RequestAcknowledgement to all": 150,
    "order RequestAcknowledgement to some": 500,
    "order WatchEndpoints": 15,
    "order CheckHealth": 100,
    "order SetTimer": 1000,
    "order LogMessage": 300,
    "event EndpointsUpdated": 500,
    "event TimerFired": 1000,
    "event HealthCheckCompleted": 100,
    "event PeerMessageReceived": 10,
    "event ProxyConnected": 300,
    "event ProxyDisconnected": 100,
    "event EndpointReported": 100000,
    "event PartitionLimitsChanged": 50,
    "event ManagerLoadChanged": 10,
    "event DemandReported": 30000,
    "event ShardAssigned": 10,
    "event ShardRestored": 10,
    "event Acknowledged": 5000,
    "event OrderRejected": 500,
    "event OverrideChanged": 40,
    "refused SetWeight": 150,
    "refused DeleteTable": 20,
    "refused AssignTable": 100,
    "refused SetEjected": 20,
    "refused SetAdmission": 20,
    "lists changes": 1000,
    "lists whole": 40,
    "lists kept": 10,
    "lists failed": 15,
    "releases": 40,
    "losses": 20,
    "replacements of most": 20,
    "churn": 20,
    "storms": 20,
    "cuts": 20,
    "zones lost": 20,
    "silent proxies": 20,
    "pins: some": 10,
    "pins: others": 10,
    "pins: none used": 10,
    "pins: ended": 5,
    "pins: nobody": 10,
    "marks that nobody answers": 200,
    "come back": 20,
    "weights listed anew": 20,
    "a slow channel": 20,
    "silence": 10,
    "halts": 10,
    "reports told coarsely": 500,
    "turns with small tables in use": 1000,
    "turns with small tables to stay": 500,
    "turns with a level of 0.05": 100,
    "turns with a level of 0.50": 100,
    "turns with a level of 0.90": 100,
}

# The module's text with one small fault each: what stands there once, and what is put for it. Both
# are written as `ast.unparse` lays a text out, so that formatting doesn't matter.
FAULTS = {
    "a constant of outlier statistics": ("HALF_LIFE = 0.8", "HALF_LIFE = 0.81"),
    "a constant of contrast": ("MIN_FAILURE_CONTRAST = 3.0", "MIN_FAILURE_CONTRAST = 2.5"),
    "a constant of ejection times": ("MAX_EJECTION_TIME = 16.0", "MAX_EJECTION_TIME = 10.0"),
    "a constant of admission": ("DECREASE_FACTOR = 0.7", "DECREASE_FACTOR = 0.69"),
    "a constant of deletion": ("TABLE_RETENTION = 2.0", "TABLE_RETENTION = 2.1"),
    "a constant of small tables": ("HOT_SUBSET_RATIO = 1.25", "HOT_SUBSET_RATIO = 1.3"),
    "the order of ejections": (
        "key=lambda row: (row in desired.weight_fractions, row)",
        "key=lambda row: (row not in desired.weight_fractions, row)",
    ),
    "a rejected ejection": (
        "if order.ejected:",
        "if True:",
    ),
    "an acknowledgement of another reply": (
        "if update.ack_number in acknowledged:",
        "if True:",
    ),
    "retries without overload": (
        "min(state.parameters.default_retry_policy, 1)",
        "state.parameters.default_retry_policy",
    ),
    "queues that end an overload": (
        "median(self.queue_lengths) < 1.0",
        "median(self.queue_lengths) < 0.0",
    ),
    "the first proxy back": ("all((other.zone != event.zone", "any((other.zone != event.zone"),
    "new entries of ejected rows": ("- (ejected - installed.keys())", ""),
    "an override that leaves nobody": (
        "return default_weights if ejected >= effective_weights.keys() else effective_weights",
        "return effective_weights",
    ),
    "health checks of blocked rows": (
        "is_due and (row not in state.blocked.rows)",
        "is_due",
    ),
    "rows that are reused": ("reusable_rows.pop(0)", "reusable_rows.pop()"),
    "fails with a cause": (
        "state.overrides[event.traffic_class] = event",
        "state.overrides[event.traffic_class] = event[0]",
    ),
}

# The records that histories are made of. They stay the same classes in a faulty copy, so that its
# orders compare equal to those of the reference model.
SHARED_MODULES = {
    "dunlinlug.decision.events",
    "dunlinlug.decision.orders",
    "dunlinlug.decision.settings",
}


@pytest.fixture(scope="module")
def histories() -> Iterator[list[History]]:
    """They stay, some hundred thousand events: not to be gone through at each collection of
    garbage.
    """
    played = []
    for seed in SEEDS:
        played.append(record(seed))
        gc.freeze()
    yield played
    gc.unfreeze()


class TextLoader(SourceFileLoader):
    """Loads a module from a text instead of its file, with the file's name in tracebacks."""

    def __init__(self, name: str, path: str, text: str) -> None:
        super().__init__(name, path)
        self.text = text

    def get_code(self, fullname: str) -> CodeType:
        return compile(self.text, self.path, "exec")


class TextFinder(MetaPathFinder):
    """Finds the modules whose texts it has; all others are found as usual."""

    def __init__(self, texts: dict[str, str]) -> None:
        self.texts = texts

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        spec = PathFinder.find_spec(fullname, path, target) if fullname in self.texts else None
        if spec is not None and spec.origin is not None:
            spec.loader = TextLoader(fullname, spec.origin, self.texts[fullname])
        return spec


@cache
def decision_texts() -> dict[str, str]:
    """By name, the normalised text of each module that decides: `dunlinlug.balance` and all of
    `dunlinlug.decision` but the shared records.
    """
    walked = pkgutil.walk_packages(decision.__path__, f"{decision.__name__}.")
    names = {balance.__name__, decision.__name__, *(module.name for module in walked)}
    modules = map(importlib.import_module, sorted(names - SHARED_MODULES))
    return {
        module.__name__: ast.unparse(ast.parse(Path(module.__file__ or "").read_text()))
        for module in modules
    }


def faulty(old: str, new: str) -> type[Decides]:
    """The present Balancer with this fault, wherever in the decision modules its text stands.

    All of them are loaded anew, as they import each other, and are forgotten again afterwards.
    """
    places = [name for name, text in decision_texts().items() for _ in range(text.count(old))]
    assert len(places) == 1, f"one place expected for this fault, found {places}: {old}"
    texts = {name: text.replace(old, new) for name, text in decision_texts().items()}
    finder = TextFinder(texts)
    with (
        patch.dict(sys.modules),
        patch.object(sys, "meta_path", [finder, *sys.meta_path]),
        # An import also binds the module in its parent package, which stays.
        patch.object(dunlinlug, "balance", balance),
        patch.object(dunlinlug, "decision", decision),
    ):
        for name in texts:
            del sys.modules[name]
        return importlib.import_module(balance.__name__).Balancer


def test_the_module_gives_the_reference_models_orders(histories: list[History]) -> None:
    rounding = list[str]()
    for history in histories:
        verdict = replay(history)
        assert verdict.difference is None, verdict.difference.report()
        assert verdict.turns == len(history.turns) > 0
        rounding += verdict.rounding
    assert len(rounding) <= ROUNDING, "\n".join(rounding)


def test_the_histories_hold_every_kind_of_order_and_event(histories: list[History]) -> None:
    counts = sum((history.counts for history in histories), Counter[str]())
    too_few = {
        name: (counts[name], minimum)
        for name, minimum in MIN_COUNTS.items()
        if counts[name] < minimum
    }
    assert not too_few, f"too few (counted, least): {too_few}"
    assert {f"event {kind.__name__}" for kind in Event.__args__} <= MIN_COUNTS.keys()


def test_every_block_of_the_reference_model_ran(histories: list[History]) -> None:
    _, blocks, _ = reference_decisions.counted()
    counts = sum((history.counts for history in histories), Counter[str]())
    assert len(blocks) > 180
    assert not [name for name in blocks if not counts[name]]


def test_counting_blocks_changes_no_decision(histories: list[History]) -> None:
    for history in histories[5:8]:
        assert replay(history, ReferenceBalancer) == reference_decisions.Verdict(len(history.turns))


@pytest.mark.parametrize("name", FAULTS)
def test_a_small_fault_of_the_module_is_seen(histories: list[History], name: str) -> None:
    make = faulty(*FAULTS[name])
    difference = next(
        filter(None, (replay(history, make).difference for history in histories)), None
    )
    assert difference is not None
    report = difference.report()
    assert f"seed {difference.history.seed}, turn {difference.place} of" in report
    assert (
        "present text raised TypeError" if name == "fails with a cause" else "by the present; from"
    ) in report


def test_a_history_is_cut_to_what_shows_the_difference(histories: list[History]) -> None:
    make = faulty(*FAULTS["the order of ejections"])
    difference = next(filter(None, (replay(history, make).difference for history in histories)))
    cut = shrink(difference, make, tries=60)
    assert len(cut.history.turns) < difference.place / 2
    assert (
        sum(len(turn.events) for turn in cut.history.turns)
        < sum(len(turn.events) for turn in difference.history.turns[: difference.place]) / 2
    )
    assert replay(cut.history, make).difference is not None
    assert replay(cut.history, ReferenceBalancer).difference is None


def test_rounding_is_distinguished_from_another_order() -> None:
    share, other = SetWeight(1, "w", 0.3), SetWeight(1, "w", 0.1 + 0.2)
    assert share != other and alike(share, other)
    assert not alike(share, SetWeight(1, "w", 0.30001)) and not alike(share, SetWeight(2, "w", 0.3))
    assert not alike(share, SetEjected("w", True))
    assert alike(LogMessage("a to 0.5: 0.12 of 7 tries"), LogMessage("a to 0.5: 0.13 of 7 tries"))
    assert not alike(
        LogMessage("a to 0.5: 0.12 of 7 tries"), LogMessage("a to 0.5: 0.14 of 7 tries")
    )
    assert not alike(LogMessage("a out"), LogMessage("b out"))


def test_other_rounding_is_listed_and_is_no_difference(
    histories: list[History],
) -> None:
    make = faulty(
        "SLOW_START_STEP * (1 + step)",
        "SLOW_START_STEP * 1.0000000000001 * (1 + step)",
    )
    assert any(replay(history, make).rounding for history in histories[9:])
