"""The plain types of a manager's present and wanted state; `balance.py` decides what becomes of them."""

from dataclasses import dataclass, field
from math import inf

from dunlinlug import interface as face


class Fleet:
    """The listed workers, in parallel arrays under an index that a worker keeps for good."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.weight: list[float | None] = []
        self.since: list[float] = []

    def fold(self, news: face.Listed) -> list[int]:
        """Take in news of the list; tells which workers are new or have a new start."""
        if news.form in ("whole", "kept"):
            self.ready = [False] * len(self.ids)  # whoever a whole list does not name is gone
        fresh = []
        for entry in news.workers:
            i = self.index.setdefault(entry.id, len(self.ids))
            since = -inf if entry.since is None else entry.since
            if i == len(self.ids):
                for column, value in ((self.ids, entry.id), (self.zones, entry.zone), (self.ready, False),
                                      (self.weight, None), (self.since, since)):
                    column.append(value)
                fresh.append(i)
            elif since > self.since[i]:
                fresh.append(i)
            self.zones[i], self.weight[i], self.ready[i] = entry.zone, entry.weight, entry.state == "ready"
            self.since[i] = max(since, self.since[i])
        return fresh

    def listed(self) -> list[face.Worker]:
        """The list as known."""
        columns = zip(self.ids, self.zones, self.ready, self.weight, self.since, strict=True)
        return [face.Worker(key, zone, "", 0, "ready" if ready else "gone", weight, since)
                for key, zone, ready, weight, since in columns]


@dataclass(eq=False)
class Table:
    """A table under its number: each worker's share, and that share's part of the listed weight."""

    number: int
    shares: dict[int, float]
    parts: dict[int, float]
    levels: list[tuple[float, int]]  # by product the share let in, and the way of trying again
    clear_at: float = inf
    were: dict[int, tuple[float, int]] = field(default_factory=dict)  # levels before those ordered last


@dataclass(eq=False)
class Change:
    """One product's staged change: laid and asked, ready once none is awaited, bound and asked, cleared."""

    version: int
    table: Table
    old: Table
    mark: int  # of the first asking
    asked_at: float
    awaited: set[int]
    bound: bool = False


@dataclass(eq=False)
class Proxy:
    """A joined proxy: by product the tables it may be using, newest last, with the mark awaited or 0."""

    zone: str
    holds: dict[int, list[tuple[Table, int]]] = field(default_factory=dict)
    bound_at: float = inf
    wait: float = 0.0  # until when it is not bound again, after a bind was refused


@dataclass
class Wanted:
    """What should be: by product each ready worker's share, its part of its weight, levels by product, who is
    out. Products that no pin sets apart have one and the same record of shares."""

    shares: list[dict[int, float]]
    parts: dict[int, float]
    levels: list[tuple[float, int]]
    out: set[int]
