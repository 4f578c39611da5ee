"""What proxies met at each worker, and in what order the workers stand by it. Bookkeeping alone: nothing is decided.

Evidence is stored as of its last report, so that a worker's figures change by an event of its own alone; what is asked
of all of them (medians, sums, who is due) is kept up at that event, and a reader pays for what it takes out.
A slow plain model stands in `tests/test_books.py`.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from math import inf
from typing import Any

POINT = (
    2.0**80
)  # sums are whole numbers of this part: however long they are kept up, nothing drifts
TIE = 1e-9  # part by which two sums differ at least, if it is not by rounding
Timed = tuple[float, int]  # a figure and a row


def take(rows: Any, row: Any) -> None:
    """Take one such entry out of a sorted list."""
    del rows[bisect_left(rows, row)]


def middle(rows: list[float]) -> float:
    """The median of sorted figures, as `statistics.median` gives it."""
    half = len(rows) // 2
    return rows[half] if len(rows) % 2 else (rows[half - 1] + rows[half]) / 2


class Evidence:
    """Parallel arrays by row; rows that are `listed` are in the books. `parts` and `paces` are sorted figures of who is
    heard (in use, `least` tries or more), `peers` and `rhythm` of those of them at `cap` or more, the last with rows.
    `idle` are out, `trials` below `cap`, `reduced` not in with all; `suspects` have `enough` voided tries that are
    `most` of all or more. Times are seconds, evidence halves in `half`; `rest` is what a new row begins with."""

    DERIVED = (
        "parts",
        "paces",
        "peers",
        "rhythm",
        "asleep",
        "climbing",
        "suspects",
        "reduced",
        "trials",
        "idle",
        "sums",
        "booked",
    )

    def __init__(
        self, half: float, rest: float, cap: float, least: float, enough: float, most: float
    ) -> None:
        self.half, self.first, self.bounds = half, rest, (cap, least, enough, most)
        self.tries, self.voided, self.took = (
            list[float](),
            list[float](),
            list[float](),
        )  # fading sums
        self.heard_at, self.rest, self.due = (
            list[float](),
            list[float](),
            list[float](),
        )  # due: next step up
        self.cap, self.full = (
            list[float](),
            list[float](),
        )  # most of its weight, 0 if out; what it returns to
        self.listed, self.moved = set[int](), set[int]()
        self.parts, self.paces, self.peers = list[float](), list[float](), list[float]()
        self.rhythm, self.asleep, self.climbing = list[Timed](), list[Timed](), list[Timed]()
        self.suspects, self.reduced, self.trials, self.idle = (set[int]() for _ in range(4))
        self.sums = [0, 0]  # of tries and voided ones of who is heard, in POINTs
        self.booked: dict[
            int, tuple[float, ...]
        ] = {}  # the columns by which a row stands in the books

    def admit(self, i: int) -> None:
        """A worker of which nothing was heard yet, in a row of its own or in a former one's."""
        for column in (self.tries, self.voided, self.took, self.heard_at, self.due):
            column[i : i + 1] = [0.0]
        self.cap[i : i + 1], self.full[i : i + 1], self.rest[i : i + 1] = [1.0], [1.0], [self.first]
        self.book(i)

    def enlist(self, rows: Iterable[int], ready: list[bool]) -> None:
        """Rows that are listed as ready now, or are so no more, by `ready`."""
        for i in rows:
            (self.listed.add if ready[i] else self.listed.discard)(i)
            self.book(i)

    def news(self) -> set[int]:
        """Rows with another cap, or listed otherwise, since this was asked."""
        moved, self.moved = self.moved, set()
        return moved

    def start(self, i: int, cap: float, due: float) -> None:
        """From here on with nothing heard."""
        self.tries[i] = self.voided[i] = self.took[i] = 0.0
        self.cap[i], self.due[i], self.full[i] = cap, due, max(self.full[i], cap)
        self.book(i)

    def put_off(self, i: int) -> None:
        """It is not due before it starts again."""
        self.due[i] = inf
        self.book(i)

    def met(self, i: int, now: float, tries: float, voided: float, took: float) -> None:
        fade = 0.5 ** ((now - self.heard_at[i]) / self.half)
        self.heard_at[i] = now
        self.tries[i] = self.tries[i] * fade + tries
        self.voided[i] = self.voided[i] * fade + voided
        self.took[i] = self.took[i] * fade + took * (tries - voided)
        self.book(i)

    def restore(self) -> None:
        """Make the books anew from the columns, where these alone were kept."""
        moved, self.moved = self.moved, set()
        for i in self.listed:
            self.book(i)
        self.moved = moved

    def part(self, i: int) -> float:
        return self.voided[i] / self.tries[i] if self.tries[i] else 0.0

    def pace(self, i: int) -> float:
        return self.took[i] / max(self.tries[i] - self.voided[i], 0.5)

    def book(self, i: int) -> None:
        """Bring the books in line with a row's columns: to be called after any change of them."""
        now = (self.cap[i], self.full[i], self.due[i], self.tries[i], self.voided[i], self.took[i])
        new, old = now if i in self.listed else None, self.booked.get(i)
        if new == old:
            return
        if old:
            self._strike(i, old)
            del self.booked[i]
        if new:
            self._enter(i, new)
            self.booked[i] = new
        if (new or (-1.0,))[0] != (old or (-1.0,))[0]:
            self.moved.add(i)

    def _figures(self, row: tuple[float, ...]) -> tuple[float, float]:
        _, _, _, tries, voided, took = row
        return voided / tries if tries else 0.0, took / max(tries - voided, 0.5)

    def _enter(self, i: int, row: tuple[float, ...]) -> None:
        cap, full, due, tries, voided, _ = row
        jammed, least, enough, most = self.bounds
        part, pace = self._figures(row)
        if cap and tries >= least:
            insort(self.parts, part)
            insort(self.paces, pace)
            self.sums[0] += int(tries * POINT)
            self.sums[1] += int(voided * POINT)
            if cap >= jammed:
                insort(self.peers, part)
                insort(self.rhythm, (pace, i))
        if cap and voided >= enough and part >= most:
            self.suspects.add(i)
        if cap != 1.0:
            self.reduced.add(i)
        if 0.0 < cap < jammed:
            self.trials.add(i)
        if not cap:
            self.idle.add(i)
            insort(self.asleep, (due, i))
        elif (cap, full) != (1.0, 1.0):
            insort(self.climbing, (due, i))

    def _strike(self, i: int, row: tuple[float, ...]) -> None:
        cap, full, due, tries, voided, _ = row
        jammed, least, _, _ = self.bounds
        part, pace = self._figures(row)
        if cap and tries >= least:
            take(self.parts, part)
            take(self.paces, pace)
            self.sums[0] -= int(tries * POINT)
            self.sums[1] -= int(voided * POINT)
            if cap >= jammed:
                take(self.peers, part)
                take(self.rhythm, (pace, i))
        for kept in (self.suspects, self.reduced, self.trials, self.idle):
            kept.discard(i)
        if not cap:
            take(self.asleep, (due, i))
        elif (cap, full) != (1.0, 1.0):
            take(self.climbing, (due, i))

    def heard(self, part: float) -> tuple[float, float]:
        """All tries, and the voided ones, of who is heard. Danger: where just this part is voided the last digit tells.
        Next to it they are added up row by row."""
        tries, voided = self.sums[0] / POINT, self.sums[1] / POINT
        if not self.parts or abs(voided - part * tries) > TIE * tries:
            return tries, voided
        rows = [i for i in sorted(self.listed) if self.cap[i] and self.tries[i] >= self.bounds[1]]
        return sum(self.tries[i] for i in rows), sum(self.voided[i] for i in rows)

    def awake(self, now: float) -> list[int]:
        """Who is out and due, by row."""
        return sorted(i for _, i in self.asleep[: bisect_right(self.asleep, (now, inf))])

    def rising(self, now: float) -> list[int]:
        """Who is in, not in full, and due."""
        return [i for _, i in self.climbing[: bisect_right(self.climbing, (now, inf))]]

    def slower(self, pace: float) -> list[int]:
        """Peers at this pace or a slower one."""
        return [i for _, i in self.rhythm[bisect_left(self.rhythm, (pace, -1)) :]]

    def beat(self) -> float:
        """The median pace of peers."""
        half, rows = len(self.rhythm) // 2, self.rhythm
        return rows[half][0] if len(rows) % 2 else (rows[half - 1][0] + rows[half][0]) / 2
