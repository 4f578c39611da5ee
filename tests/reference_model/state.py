"""Staged updates and the desired state; `balance.py` decides how they are used."""

from dataclasses import dataclass

from tests.reference_model.seating import Table


@dataclass(eq=False)
class StagedUpdate:
    """One class's update: installed, ready once acknowledged, assigned, done once acknowledged."""

    version: int
    table: Table
    old_table: Table
    ack_number: int  # of the request by which the proxies acknowledge that they are ready
    requested_at: float
    awaited_proxies: set[int]
    assigned: bool = False


@dataclass
class DesiredState:
    """Weights, admission and ejections as they should be now.

    `weights` has by class the weight of each ready row; classes that no operator override sets
    apart have one and the same dict. `weight_fractions` has for each row the fraction of its listed
    weight that it gets, and `admission_levels` by class the admitted fraction and the retry policy.
    """

    weights: list[dict[int, float]]
    weight_fractions: dict[int, float]
    admission_levels: list[tuple[float, int]]
    ejected: set[int]

    def common_weights(self) -> dict[int, float]:
        """Return weights that serve all classes, where one table has to.

        They are those of the first class for the rows that all classes have, or those of the class
        with most rows if there is no such row.
        """
        first, *others = self.weights
        shared_weights = {
            row: weight
            for row, weight in first.items()
            if all(weights is first or row in weights for weights in others)
        }
        return shared_weights or max(self.weights, key=len)

    def capacity(self, table: Table) -> float:
        """Return the weight of a table's endpoints that are not ejected, or 1e-6 if it is 0."""
        weights = self.weights[0]
        return (
            sum(weights.get(row, 0.0) for row in table.weights if row not in self.ejected) or 1e-6
        )
