"""The list as known. Bookkeeping alone: nothing here is decided."""

from collections.abc import Iterable
from math import inf

from dunlinlug.decision.events import EndpointsUpdated


class Fleet:
    """The listed workers, in parallel arrays under an index that each keeps while listed or in use."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.weight: list[float | None] = []
        self.since: list[float] = []

    def fold(self, news: EndpointsUpdated, held: set[int]) -> list[tuple[int, bool]]:
        """Take in news of the list; tells who has a new start, and whether it is new itself. The row of one
        that went passes on once over half of all are of such, `held` excepted: it may come back."""
        if news.update_type in ("whole", "kept"):
            self.ready = [False] * len(self.ids)  # whoever a whole list does not name is gone
        named, fresh = {entry.id for entry in news.endpoints}, []
        spare = [
            i
            for i, ready in enumerate(self.ready)
            if not (ready or i in held or self.ids[i] in named)
        ]
        spare = spare if 2 * sum(self.ready) < len(self.ids) else []
        for entry in news.endpoints:
            since, new = (
                -inf if entry.started_at is None else entry.started_at,
                entry.id not in self.index,
            )
            if new:
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
            self.zones[i], self.weight[i], self.ready[i] = (
                entry.zone,
                entry.weight,
                entry.state == "ready",
            )
            self.since[i] = max(since, self.since[i])
        return fresh

    def by_zone(self, workers: Iterable[int]) -> dict[str, set[int]]:
        """These workers parted by zone."""
        parted: dict[str, set[int]] = {}
        for i in workers:
            parted.setdefault(self.zones[i], set()).add(i)
        return parted
