"""The list as known. Bookkeeping alone: nothing here is decided."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from math import inf

from dunlinlug import interface as face


class Fleet:
    """The listed workers, in parallel arrays under an index that each keeps while listed or in use. `weights` are those
    of the ready; whoever has none told has what `usual` makes of those told. `turned` are rows that the last news made
    ready or ended."""

    def __init__(self, usual: Callable[[list[float]], float]) -> None:
        self.index: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.weight: list[float | None] = []
        self.since: list[float] = []
        self.usual, self.moved, self.turned = usual, set[int](), set[int]()
        self.weights, self.untold = dict[int, float](), set[int]()
        self.rows, self.sum = (
            list[int](),
            0.0,
        )  # the ready ones in order; of their weights, negative: to be made anew

    def fold(self, news: face.Listed, held: Callable[[], set[int]]) -> list[tuple[int, bool]]:
        """Take in news of the list; tells who has a new start, and whether it is new itself. The row of one
        that went passes on once over half of all are of such, `held` excepted: it may come back."""
        named, fresh, spare = {entry.id for entry in news.workers}, list[tuple[int, bool]](), None
        whole, moved = news.form in ("whole", "kept"), set[int]()
        few = 2 * (0 if whole else len(self.rows)) < len(self.ids)
        if whole:
            self.ready = [False] * len(self.ids)  # whoever a whole list does not name is gone
        for entry in news.workers:
            since, new = -inf if entry.since is None else entry.since, entry.id not in self.index
            if new:
                spare = (self._spare(held(), named) if few else []) if spare is None else spare
                i = self.index[entry.id] = spare.pop(0) if spare else len(self.ids)
                self.index.pop(self.ids[i] if i < len(self.ids) else "", None)
                self.ids[i : i + 1], self.zones[i : i + 1] = [entry.id], [entry.zone]
                self.ready[i : i + 1], self.weight[i : i + 1], self.since[i : i + 1] = (
                    [False],
                    [None],
                    [since],
                )
            i = self.index[entry.id]
            if new or since > self.since[i]:
                fresh.append((i, new))
            if (
                new
                or since > self.since[i]
                or (entry.zone, entry.weight) != (self.zones[i], self.weight[i])
            ):
                moved.add(i)
            self.zones[i], self.weight[i], self.ready[i] = (
                entry.zone,
                entry.weight,
                entry.state == "ready",
            )
            self.since[i] = max(since, self.since[i])
        self._weigh(
            moved,
            range(len(self.ids)) if whole else {self.index[entry.id] for entry in news.workers},
        )
        return fresh

    def _spare(self, held: set[int], named: set[str]) -> list[int]:
        return [
            i
            for i, ready in enumerate(self.ready)
            if not (ready or i in held or self.ids[i] in named)
        ]

    def _weigh(self, moved: set[int], told: Iterable[int]) -> None:
        self.turned = {i for i in told if self.ready[i] != (i in self.weights)}
        for i in self.turned:
            if self.ready[i]:
                insort(self.rows, i)
            else:
                del self.rows[bisect_left(self.rows, i)], self.weights[i]
                self.untold.discard(i)
        for i in (moved := moved | self.turned):
            if self.ready[i]:
                self.weights[i] = self.weight[i] or 1.0
                (self.untold.discard if self.weight[i] else self.untold.add)(i)
        if self.untold:
            known = [w for w in map(self.weight.__getitem__, self.rows) if w] or [1.0]
            self.weights.update(dict.fromkeys(self.untold, self.usual(known)))
        self.sum = -1.0
        self.moved |= moved | self.untold

    def news(self) -> set[int]:
        """Rows with news since this was asked."""
        moved, self.moved = self.moved, set()
        return moved

    def total(self) -> float:
        """All ready ones' weight, added up by row."""
        if self.sum < 0.0:
            self.sum = sum(map(self.weights.__getitem__, self.rows))
        return self.sum

    def served(self, out: set[int], doubt: float) -> float:
        """The part of the weight that these leave. Danger: a level tips by the last digit, so a part below `doubt` is
        added up worker by worker."""
        part = (
            self.total() - sum(self.weights[i] for i in out if i in self.weights)
        ) / self.total()
        return (
            part
            if part >= doubt
            else sum(self.weights[i] for i in dict.fromkeys(self.rows).keys() - out) / self.total()
        )

    def by_zone(self, workers: Iterable[int]) -> dict[str, set[int]]:
        """These workers parted by zone."""
        parted: dict[str, set[int]] = {}
        for i in workers:
            parted.setdefault(self.zones[i], set()).add(i)
        return parted
