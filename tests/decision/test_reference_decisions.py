"""The decision module must return the same orders as the reference model on generated histories.

`reference_decisions.py` has the comparison, and `histories.py` the generator.
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
from tests.decision.reference_decisions import (
    DecisionModule,
    History,
    equal_up_to_rounding,
    record,
    replay,
    shrink,
)
from tests.reference_model.balance import Balancer as ReferenceBalancer

# Chosen to cover rare cases: the first ones detect all the faults below, two have at least 1,000
# workers, four near the end have ties that the last bit of a sum decides, and the last one has
# failing list requests.
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
MAX_ROUNDING = 0  # number of turns whose orders may differ by rounding

# Minimum counts over all seeds; below them, the histories would not cover what must be compared.
MIN_COUNTS = {
    "turns": 10000,
    "order SetWeight set": 50000,
    "order SetWeight removed": 200,
    "order DeleteTable": 2000,
    "order AssignTable": 10000,
    "order AssignTable of several classes": 200,
    "order SetEjected start": 1000,
    "order SetEjected end": 1000,
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
    "rejected SetWeight": 150,
    "rejected DeleteTable": 20,
    "rejected AssignTable": 100,
    "rejected SetEjected": 20,
    "rejected SetAdmission": 20,
    "lists changes": 1000,
    "lists whole": 40,
    "lists kept": 10,
    "lists failed": 15,
    "releases": 40,
    "losses": 20,
    "replacements of most": 20,
    "churn": 20,
    "overloads": 20,
    "partitions": 20,
    "zones lost": 20,
    "silent proxies": 20,
    "overrides: subset": 10,
    "overrides: partial": 10,
    "overrides: exclusion": 10,
    "overrides: end": 5,
    "overrides: empty subset": 10,
    "replies that are never acknowledged": 200,
    "returned workers": 20,
    "changed listed weights": 20,
    "slow channels": 20,
    "pauses without reports": 10,
    "manager pauses": 10,
    "coarse reports": 500,
    "turns with subsets in use": 1000,
    "turns on a constrained channel": 500,
    "turns with a level of 0.05": 100,
    "turns with a level of 0.50": 100,
    "turns with a level of 0.90": 100,
}

# Small faults in the decision module: source text that occurs exactly once, and its replacement.
# Both are written as formatted by `ast.unparse`, so that they do not depend on the formatter.
FAULTS = {
    "a constant of outlier statistics": ("HALF_LIFE = 0.8", "HALF_LIFE = 0.81"),
    "a constant of contrast": ("MIN_FAILURE_CONTRAST = 3.0", "MIN_FAILURE_CONTRAST = 2.5"),
    "a constant of ejection times": ("MAX_EJECTION_TIME = 16.0", "MAX_EJECTION_TIME = 10.0"),
    "a constant of admission": ("DECREASE_FACTOR = 0.7", "DECREASE_FACTOR = 0.69"),
    "a constant of deletion": ("TABLE_RETENTION = 2.0", "TABLE_RETENTION = 2.1"),
    "a constant of subsets": ("HOT_SUBSET_RATIO = 1.25", "HOT_SUBSET_RATIO = 1.3"),
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
    "empty queues that end an overload": (
        "median(self.queue_lengths) < 1.0",
        "median(self.queue_lengths) < 0.0",
    ),
    "the first proxy of a zone that reconnects": (
        "all((other.zone != event.zone",
        "any((other.zone != event.zone",
    ),
    "new entries of ejected rows": ("- (ejected - installed.keys())", ""),
    "an override without usable endpoints": (
        "return default_weights if ejected >= effective_weights.keys() else effective_weights",
        "return effective_weights",
    ),
    "health checks of blocked rows": (
        "is_due and (row not in state.blocked.rows)",
        "is_due",
    ),
    "rows that are reused": ("reusable_rows.pop(0)", "reusable_rows.pop()"),
    "an exception": (
        "state.overrides[event.traffic_class] = event",
        "state.overrides[event.traffic_class] = event[0]",
    ),
}

# Modules with the records that histories consist of. A faulty copy uses the same classes, so that
# its orders compare equal to those of the reference model.
SHARED_MODULES = {
    "dunlinlug.decision.events",
    "dunlinlug.decision.orders",
    "dunlinlug.decision.settings",
}


@pytest.fixture(scope="module")
def histories() -> Iterator[list[History]]:
    """Generate the histories once for all tests.

    Their several hundred thousand events are kept, so they are excluded from garbage collection.
    """
    recorded = []
    for seed in SEEDS:
        recorded.append(record(seed))
        gc.freeze()
    yield recorded
    gc.unfreeze()


class SourceTextLoader(SourceFileLoader):
    """Loads a module from a source text instead of its file; tracebacks have the file's name."""

    def __init__(self, name: str, path: str, text: str) -> None:
        super().__init__(name, path)
        self.text = text

    def get_code(self, fullname: str) -> CodeType:
        return compile(self.text, self.path, "exec")


class SourceTextFinder(MetaPathFinder):
    """Finds modules for which a source text is given; leaves all others to the other finders."""

    def __init__(self, sources: dict[str, str]) -> None:
        self.sources = sources

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        spec = PathFinder.find_spec(fullname, path, target) if fullname in self.sources else None
        if spec is not None and spec.origin is not None:
            spec.loader = SourceTextLoader(fullname, spec.origin, self.sources[fullname])
        return spec


@cache
def decision_sources() -> dict[str, str]:
    """Return the normalised source text of each decision module by name.

    These are `dunlinlug.balance` and all modules of `dunlinlug.decision` except `SHARED_MODULES`.
    """
    walked = pkgutil.walk_packages(decision.__path__, f"{decision.__name__}.")
    names = {balance.__name__, decision.__name__, *(module.name for module in walked)}
    modules = map(importlib.import_module, sorted(names - SHARED_MODULES))
    return {
        module.__name__: ast.unparse(ast.parse(Path(module.__file__ or "").read_text()))
        for module in modules
    }


def faulty_balancer(old: str, new: str) -> type[DecisionModule]:
    """Return the Balancer with this fault in the decision module that contains the old text.

    All decision modules are loaded again, as they import each other, and removed afterwards.
    """
    places = [name for name, text in decision_sources().items() for _ in range(text.count(old))]
    assert len(places) == 1, f"expected the text of this fault exactly once, found {places}: {old}"
    sources = {name: text.replace(old, new) for name, text in decision_sources().items()}
    finder = SourceTextFinder(sources)
    with (
        patch.dict(sys.modules),
        patch.object(sys, "meta_path", [finder, *sys.meta_path]),
        # An import also binds the module in its parent package; the binding is restored.
        patch.object(dunlinlug, "balance", balance),
        patch.object(dunlinlug, "decision", decision),
    ):
        for name in sources:
            del sys.modules[name]
        return importlib.import_module(balance.__name__).Balancer


def test_the_module_gives_the_reference_models_orders(histories: list[History]) -> None:
    rounding = list[str]()
    for history in histories:
        result = replay(history)
        assert result.difference is None, result.difference.report()
        assert result.turns == len(history.turns) > 0
        rounding += result.rounding
    assert len(rounding) <= MAX_ROUNDING, "\n".join(rounding)


def test_the_histories_contain_every_kind_of_order_and_event(histories: list[History]) -> None:
    counts = sum((history.counts for history in histories), Counter[str]())
    too_few = {
        name: (counts[name], minimum)
        for name, minimum in MIN_COUNTS.items()
        if counts[name] < minimum
    }
    assert not too_few, f"too few (counted, minimum): {too_few}"
    assert {f"event {kind.__name__}" for kind in Event.__args__} <= MIN_COUNTS.keys()


def test_every_block_of_the_reference_model_is_executed(histories: list[History]) -> None:
    _, blocks, _ = reference_decisions.instrumented_reference_model()
    counts = sum((history.counts for history in histories), Counter[str]())
    assert len(blocks) > 180
    assert not [name for name in blocks if not counts[name]]


def test_counting_blocks_changes_no_decision(histories: list[History]) -> None:
    for history in histories[5:8]:
        assert replay(history, ReferenceBalancer) == reference_decisions.ComparisonResult(
            len(history.turns)
        )


@pytest.mark.parametrize("name", FAULTS)
def test_a_small_fault_in_the_decision_module_is_detected(
    histories: list[History], name: str
) -> None:
    make = faulty_balancer(*FAULTS[name])
    difference = next(
        filter(None, (replay(history, make).difference for history in histories)), None
    )
    assert difference is not None
    report = difference.report()
    assert f"seed {difference.history.seed}, turn {difference.turn_index} of" in report
    assert (
        "decision module raised TypeError" if name == "an exception" else "returned; from order"
    ) in report


def test_a_history_is_shortened_while_it_shows_the_difference(histories: list[History]) -> None:
    make = faulty_balancer(*FAULTS["the order of ejections"])
    difference = next(filter(None, (replay(history, make).difference for history in histories)))
    shortened = shrink(difference, make, max_attempts=60)
    assert len(shortened.history.turns) < difference.turn_index / 2
    assert (
        sum(len(turn.events) for turn in shortened.history.turns)
        < sum(len(turn.events) for turn in difference.history.turns[: difference.turn_index]) / 2
    )
    assert replay(shortened.history, make).difference is not None
    assert replay(shortened.history, ReferenceBalancer).difference is None


def test_rounding_is_distinguished_from_a_different_order() -> None:
    weight, other = SetWeight(1, "w", 0.3), SetWeight(1, "w", 0.1 + 0.2)
    assert weight != other and equal_up_to_rounding(weight, other)
    assert not equal_up_to_rounding(
        weight, SetWeight(1, "w", 0.30001)
    ) and not equal_up_to_rounding(weight, SetWeight(2, "w", 0.3))
    assert not equal_up_to_rounding(weight, SetEjected("w", True))
    assert equal_up_to_rounding(
        LogMessage("a to 0.5: 0.12 of 7 tries"), LogMessage("a to 0.5: 0.13 of 7 tries")
    )
    assert not equal_up_to_rounding(
        LogMessage("a to 0.5: 0.12 of 7 tries"), LogMessage("a to 0.5: 0.14 of 7 tries")
    )
    assert not equal_up_to_rounding(LogMessage("a out"), LogMessage("b out"))


def test_different_rounding_is_counted_and_is_no_difference(
    histories: list[History],
) -> None:
    make = faulty_balancer(
        "SLOW_START_STEP * (1 + step)",
        "SLOW_START_STEP * 1.0000000000001 * (1 + step)",
    )
    assert any(replay(history, make).rounding for history in histories[9:])
