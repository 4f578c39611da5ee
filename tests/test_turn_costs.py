"""What a turn costs goes with what changed, not with what there is: counted in lines of text run, never in time.

The same events come to a small deployment and to a large one. The former text, and the present one with a shortcut
taken out, must be seen to cost more.
"""

import sys
from collections.abc import Callable, Iterator
from itertools import islice
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from dunlinlug import interface as face
from dunlinlug.balance import Balancer
from dunlinlug.bookkeeping.cover import Cover
from dunlinlug.bookkeeping.evidence import Evidence
from dunlinlug.bookkeeping.lines import Lines
from dunlinlug.bookkeeping.listing import Fleet
from dunlinlug.bookkeeping.seating import Seating, Table
from tests.former.balance import Balancer as Former

History = Callable[[], Iterator[list[face.Event]]]
PROXIES, STEP = 20, 0.1  # seconds between turns
TEXT = ("balance.py", "state.py", "bookkeeping", "listing.py", "seating.py", "outstanding.py")


def worker(n: int, state: str = "ready", since: float | None = None) -> face.Worker:
    return face.Worker(f"10.0.{n // 250}.{n % 250}:80", "abc"[n % 3], "", 0, state, 1.0, since)


def trade(products: int) -> face.Trade:
    return face.Trade(
        seed=1,
        zone="a",
        products=tuple(face.Product(f"p{k}", 0.8, 2.0, 1.0 + k) for k in range(products)),
        admits="share",
        may_probe=True,
        standing=6,
        channel=face.Channel(1300.0, 4.0, 2350.0, 0.25, 0.5, 30),
        duties=face.Duties(4.7, 3.0, 10.0, 18.0, 0.2, 3.0, 2.0),
    )


class Counter:
    """Lines of the module's text that ran."""

    def __init__(self) -> None:
        self.lines = 0

    def local(self, frame: FrameType, event: str, arg: object) -> Any:
        self.lines += event == "line"
        return self.local

    def begin(self, frame: FrameType, event: str, arg: object) -> Any:
        return self.local if set(Path(frame.f_code.co_filename).parts) & set(TEXT) else None

    def run(self, act: Callable[[], Any]) -> Any:
        before = sys.gettrace()
        sys.settrace(self.begin)
        try:
            return act()
        finally:
            sys.settrace(before)


class Played:
    """One manager; every mark is answered by all a while later."""

    def __init__(self, workers: int, products: int = 2, module: Any = Balancer) -> None:
        self.module, self.now, self.counter = module(trade(products)), 0.0, Counter()
        self.due: list[tuple[float, face.Event]] = []
        self.turn([face.Listed("kept", tuple(worker(n) for n in range(workers)))])
        self.turn([face.Joined(p, "abc"[p % 3], 5.0, True) for p in range(PROXIES)])
        for _ in range(120):
            self.turn([])

    def turn(self, events: list[face.Event], counted: bool = False) -> int:
        """Lines that ran, if counted."""
        self.now += STEP
        events = [*events, *(event for at, event in self.due if at <= self.now)]
        self.due = [entry for entry in self.due if entry[0] > self.now]
        before = self.counter.lines
        act = lambda: self.module.decide(self.now, events)  # noqa: E731
        for order in self.counter.run(act) if counted else act():
            if isinstance(order, face.Mark):
                self.due += [
                    (self.now + 0.3, face.Answered(p, order.number, 0.3)) for p in range(PROXIES)
                ]
            elif isinstance(order, face.Wake):
                self.due.append((self.now + order.after, face.Rung(order.token)))
        return self.counter.lines - before


def reports() -> Iterator[list[face.Event]]:
    """Four seconds of reports of workers that each size has; one of eight fails."""
    for n in range(40):
        rows = [(7 * n + m) % 200 for m in range(6)]
        yield [
            *(face.Met("a", worker(i).id, 12, 8 if i % 8 == 0 else 0, 0.2, 0.5) for i in rows),
            face.Asked(n % PROXIES, "p0", 4, 0, 0.5),
        ]


def release() -> Iterator[list[face.Event]]:
    """Thirty workers are replaced, each by news of its own."""
    for n in range(30):
        yield [face.Listed("changes", (worker(n, "draining"),))]
        yield [face.Listed("changes", (worker(n, "ready", 1.0 + n / 10),))]


def cost(events: History, *size: int, module: Any = Balancer, turns: int = 60) -> float:
    """Lines a turn, on the mean of so many at most."""
    played = Played(*size, module=module)
    counts = [played.turn(batch, counted=True) for batch in islice(events(), turns)]
    return sum(counts) / len(counts)


def grows(events: History, few: int, many: int, module: Any = Balancer, turns: int = 60) -> float:
    return cost(events, many, 2, module=module, turns=turns) / cost(
        events, few, 2, module=module, turns=turns
    )


@pytest.mark.parametrize("events", [reports, release])
def test_a_turn_does_not_go_with_the_workers(events: History) -> None:
    assert grows(events, 1500, 5000) <= 1.05  # small tables are tended at both
    assert (
        grows(events, 200, 1500) <= 3.0
    )  # at 200 one table goes to all, so that there is nothing to tend


@pytest.mark.parametrize(("events", "each"), [(reports, 60), (release, 90)])
def test_a_product_costs_a_turn_few_lines(events: History, each: int) -> None:
    """Not the workers of its table: that were 200 for each."""
    assert cost(events, 200, 270) - cost(events, 200, 2) <= 268 * each


def test_the_former_text_goes_with_the_workers() -> None:
    assert grows(reports, 200, 800, Former, 10) > 3.0
    assert (
        cost(reports, 200, 20, module=Former, turns=10)
        - cost(reports, 200, 2, module=Former, turns=10)
        > 18 * 200
    )


def walks_all(self: Lines, table: Table, want: dict[int, float], lacking: bool = True) -> set[int]:
    rows = {**table.shares, **want} if lacking else table.shares
    return {i for i in rows if table.shares.get(i) != want.get(i)}


def tells_all(self: Seating, rows: set[int], ready: list[bool]) -> None:
    for i in rows:
        for table in self.tables.values():
            (table.absent.add if i in table.parts and not ready[i] else table.absent.discard)(i)


FAULTS: dict[str, tuple[History, type, str, Callable[..., object]]] = {
    "differences are walked": (reports, Lines, "differing", walks_all),
    "all are judged": (
        reports,
        Evidence,
        "rising",
        lambda self, now: [i for i in self.listed if self.cap[i]],
    ),
    "who is out is walked": (
        reports,
        Evidence,
        "awake",
        lambda self, now: [
            i for i in sorted(self.listed) if not self.cap[i] and self.due[i] <= now
        ],
    ),
    "all are planned anew": (reports, Fleet, "news", lambda self: set(self.rows)),
    "who is in no table is walked": (
        reports,
        Cover,
        "free",
        lambda self, wanted, log, cut: [i for i in sorted(wanted) if i not in self.counts],
    ),
    "who goes is told to all tables": (release, Seating, "enlist", tells_all),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_shortcut_taken_out_is_seen(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    events, book, method, fault = FAULTS[name]
    monkeypatch.setattr(book, method, fault)
    text = Path(__file__).name  # the fault's own lines count
    monkeypatch.setattr("tests.test_turn_costs.TEXT", (*TEXT, text))
    assert grows(events, 1500, 3000, turns=10) > 1.05
