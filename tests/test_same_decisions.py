"""The present decision module orders what the former one did, over generated histories: see `same_decisions.py`."""

import ast
import gc
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from unittest.mock import patch

import pytest

from dunlinlug import balance, interface
from tests import same_decisions
from tests.former.balance import Balancer as Former
from tests.same_decisions import Decides, History, alike, record, replay, shrink

# Chosen so that among them they hold what is rare: the first show all the faults below, two have 1,000 workers and
# more, the last four a tie that the last bit of a sum decides.
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
)
ROUNDING = 0  # turns whose orders may differ by rounding

# Of these at least so many over all seeds, else the histories leave out what is to be compared.
LEAST = {
    "turns": 10000,
    "order Share set": 50000,
    "order Share taken away": 200,
    "order Clear": 2000,
    "order Bind": 10000,
    "order Bind of several products": 200,
    "order Withdraw out": 1000,
    "order Withdraw back": 1000,
    "order Admit": 10000,
    "order Mark to all": 150,
    "order Mark to some": 500,
    "order Follow": 15,
    "order Probe": 100,
    "order Wake": 1000,
    "order Note": 300,
    "event Listed": 500,
    "event Rung": 1000,
    "event Probed": 100,
    "event PeerSaid": 10,
    "event Joined": 300,
    "event Left": 100,
    "event Met": 100000,
    "event Trusted": 50,
    "event Laden": 10,
    "event Asked": 30000,
    "event Given": 10,
    "event Stored": 10,
    "event Answered": 5000,
    "event Refused": 500,
    "event Pinned": 40,
    "refused Share": 150,
    "refused Clear": 20,
    "refused Bind": 100,
    "refused Withdraw": 20,
    "refused Admit": 20,
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

# The present text with one small fault each: what stands there once, and what is put for it. Both are written as
# `ast.unparse` lays a text out, so that formatting doesn't matter.
FAULTS = {
    "a constant of evidence": ("HALF, ENOUGH = (0.8, 3.0)", "HALF, ENOUGH = (0.81, 3.0)"),
    "a constant of contrast": ("CONTRAST = 3.0", "CONTRAST = 2.5"),
    "a constant of rests": (
        "REST, REST_MOST, AGAIN = (4.0, 16.0, 1.0)",
        "REST, REST_MOST, AGAIN = (4.0, 10.0, 1.0)",
    ),
    "a constant of letting in": ("LESS = 0.7", "LESS = 0.69"),
    "a constant of clearing": ("SILENT, LIFETIME = (3.0, 2.0)", "SILENT, LIFETIME = (3.0, 2.1)"),
    "a constant of small tables": ("HOT = 1.25", "HOT = 1.3"),
    "the order of withdrawals": (
        "key=lambda i: (i in wanted.parts, i)",
        "key=lambda i: (i not in wanted.parts, i)",
    ),
    "a withdrawal refused": (
        "(self.out.discard if out else self.out.add)(i)",
        "self.out.discard(i)",
    ),
    "an answer to another mark": ("{proxy} if change.mark in passed else set()", "{proxy}"),
    "retries in calm": ("min(self.usual_retry, 1)", "self.usual_retry"),
    "queues that tell a jam's end": ("median(self.queues) < 1.0", "median(self.queues) < 0.0"),
    "the first proxy back": ("all((other.zone != event.zone", "any((other.zone != event.zone"),
    "new lines of who is out": ("- (out - have.keys())", ""),
    "a pin of all": ("return plain if out >= shares.keys() else shares", "return shares"),
    "probes of the barred": (
        "(health.due[i] <= now) and (i not in self.barred)",
        "(health.due[i] <= now)",
    ),
    "rows that pass on (the books)": ("spare.pop(0)", "spare.pop()"),
    "fails with a cause": ("self.pins[k] = event", "self.pins[k] = event[0]"),
}


@pytest.fixture(scope="module")
def histories() -> Iterator[list[History]]:
    """They stay, some hundred thousand events: not to be gone through at each collection of garbage."""
    played = []
    for seed in SEEDS:
        played.append(record(seed))
        gc.freeze()
    yield played
    gc.unfreeze()


def faulty(old: str, new: str) -> type[Decides]:
    """The present text with this fault, in `balance.py` or whatever it takes from the package."""
    taken = {getattr(value, "__module__", None) or "" for value in vars(balance).values()} - {
        interface.__name__
    }
    modules = [
        sys.modules[name]
        for name in sorted({balance.__name__, *taken})
        if name.startswith("dunlinlug.")
    ]
    texts = {
        module.__name__: ast.unparse(ast.parse(Path(module.__file__ or "").read_text()))
        for module in modules
    }
    places = {name: text.replace(old, new) for name, text in texts.items() if old in text}
    assert sum(text.count(old) for text in texts.values()) == 1, (
        f"no place, or several, for this fault: {old}"
    )
    with patch.dict(sys.modules):
        for name, text in places.items():
            sys.modules[name] = ModuleType(name)
            exec(compile(text, name, "exec"), sys.modules[name].__dict__)
        return same_decisions.made(
            compile({**texts, **places}[balance.__name__], balance.__file__, "exec"), {}
        )


def test_the_present_text_gives_the_former_ones_orders(histories: list[History]) -> None:
    rounding = list[str]()
    for history in histories:
        verdict = replay(history)
        assert verdict.difference is None, verdict.difference.report()
        assert verdict.turns == len(history.turns) > 0
        rounding += verdict.rounding
    assert len(rounding) <= ROUNDING, "\n".join(rounding)


def test_the_histories_hold_every_kind_of_order_and_event(histories: list[History]) -> None:
    counts = sum((history.counts for history in histories), Counter[str]())
    few = {name: (counts[name], least) for name, least in LEAST.items() if counts[name] < least}
    assert not few, f"too few (counted, least): {few}"
    assert {f"event {kind.__name__}" for kind in interface.Event.__args__} <= LEAST.keys()


def test_every_block_of_the_former_text_ran(histories: list[History]) -> None:
    _, blocks, _ = same_decisions.counted()
    counts = sum((history.counts for history in histories), Counter[str]())
    assert len(blocks) > 180
    assert not [name for name in blocks if not counts[name]]


def test_counting_blocks_changes_no_decision(histories: list[History]) -> None:
    for history in histories[5:8]:
        assert replay(history, Former) == same_decisions.Verdict(len(history.turns))


@pytest.mark.parametrize("name", FAULTS)
def test_a_small_fault_of_the_present_text_is_seen(histories: list[History], name: str) -> None:
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
    make = faulty(*FAULTS["the order of withdrawals"])
    difference = next(filter(None, (replay(history, make).difference for history in histories)))
    cut = shrink(difference, make, tries=60)
    assert len(cut.history.turns) < difference.place / 2
    assert (
        sum(len(turn.events) for turn in cut.history.turns)
        < sum(len(turn.events) for turn in difference.history.turns[: difference.place]) / 2
    )
    assert replay(cut.history, make).difference is not None
    assert replay(cut.history, Former).difference is None


def test_rounding_is_told_from_another_order() -> None:
    share, other = interface.Share(1, "w", 0.3), interface.Share(1, "w", 0.1 + 0.2)
    assert share != other and alike(share, other)
    assert not alike(share, interface.Share(1, "w", 0.30001)) and not alike(
        share, interface.Share(2, "w", 0.3)
    )
    assert not alike(share, interface.Withdraw("w", True))
    assert alike(
        interface.Note("a to 0.5: 0.12 of 7 tries"), interface.Note("a to 0.5: 0.13 of 7 tries")
    )
    assert not alike(
        interface.Note("a to 0.5: 0.12 of 7 tries"), interface.Note("a to 0.5: 0.14 of 7 tries")
    )
    assert not alike(interface.Note("a out"), interface.Note("b out"))


def test_a_text_that_rounds_otherwise_is_listed_and_not_taken_for_another(
    histories: list[History],
) -> None:
    make = faulty(
        "self.STEP * (1 + max(0, age // self.RAISE))",
        "self.STEP * 1.0000000000001 * (1 + max(0, age // 5))",
    )
    assert any(replay(history, make).rounding for history in histories[9:])
