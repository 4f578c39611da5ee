"""The plain types of a manager's present and wanted state; `balance.py` decides what becomes of them."""

from dataclasses import dataclass

from dunlinlug.bookkeeping.seating import Table


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


@dataclass
class Wanted:
    """What should be: by product each ready worker's share, its part of its weight, levels by product, who is
    out. Products that no pin sets apart have one and the same record of shares."""

    shares: list[dict[int, float]]
    parts: dict[int, float]
    levels: list[tuple[float, int]]
    out: set[int]

    def mixed(self) -> bool:
        return len({*map(id, self.shares)}) > 1

    def common(self) -> dict[int, float]:
        """Lines for all products, where they need not be the same: the first one's for workers of all."""
        first, *others = {id(want): want for want in self.shares}.values()
        same = (
            {i: first[i] for i in first if all(i in want for want in others)} if others else first
        )
        return same or max(self.shares, key=len)
