"""The plain types of a manager's present and wanted state; `balance.py` decides what becomes of them."""

from dataclasses import dataclass

from tests.reference_model.seating import Table


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

    def common(self) -> dict[int, float]:
        """Lines for all products, where they need not be the same: the first one's for workers of all."""
        first, *others = self.shares
        same = {
            i: share
            for i, share in first.items()
            if all(want is first or i in want for want in others)
        }
        return same or max(self.shares, key=len)

    def bears(self, table: Table) -> float:
        """What a table's workers take, in weight; a little where there is nobody."""
        want = self.shares[0]
        return sum(want.get(i, 0.0) for i in table.shares if i not in self.out) or 1e-6
