"""The plain types of a manager's present and wanted state; `balance.py` decides what becomes of
them.
"""

from dataclasses import dataclass

from dunlinlug.decision.state.assignments import Table


@dataclass(eq=False)
class StagedUpdate:
    """One product's staged change: laid and asked, ready once none is awaited, bound and asked,
    cleared.
    """

    version: int
    table: Table
    old_table: Table
    ack_number: int  # of the first asking
    requested_at: float
    awaited_proxies: set[int]
    assigned: bool = False


@dataclass
class DesiredState:
    """What should be: by product each ready worker's share, its part of its weight, levels by
    product, who is out. Products that no pin sets apart have one and the same record of shares.
    """

    weights: list[dict[int, float]]
    weight_fractions: dict[int, float]
    admission_levels: list[tuple[float, int]]
    ejected: set[int]

    def differs_by_class(self) -> bool:
        return len({*map(id, self.weights)}) > 1

    def common_weights(self) -> dict[int, float]:
        """Lines for all products, where they need not be the same: the first one's for workers of
        all.
        """
        first, *others = {id(weights): weights for weights in self.weights}.values()
        shared_weights = (
            {i: first[i] for i in first if all(i in weights for weights in others)}
            if others
            else first
        )
        return shared_weights or max(self.weights, key=len)
