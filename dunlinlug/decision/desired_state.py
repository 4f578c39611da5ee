"""What the planner wants of the proxies' tables; the reconciler orders the difference to it."""

from dataclasses import dataclass


@dataclass
class DesiredState:
    """Weights, admission and ejections as they should be now.

    `weights` has by class the weight of each endpoint row; classes that no operator override sets
    apart have one and the same dict. `weight_fractions` has for each ready row the part of its
    listed weight that it gets, and `admission_levels` by class the admitted fraction and the retry
    policy. The rows in `ejected` should be used by no proxy.
    """

    weights: list[dict[int, float]]
    weight_fractions: dict[int, float]
    admission_levels: list[tuple[float, int]]
    ejected: set[int]

    def differs_by_class(self) -> bool:
        """Whether some class has weights of its own."""
        return len({*map(id, self.weights)}) > 1

    def common_weights(self) -> dict[int, float]:
        """Return weights that serve all classes, where one table has to.

        They are those of the first class for the rows that all classes have, or those of the class
        with most rows if there is no such row.
        """
        distinct = {id(weights): weights for weights in self.weights}
        first, *others = distinct.values()
        if not others:
            return first or max(self.weights, key=len)
        shared_weights = {
            row: first[row] for row in first if all(row in weights for weights in others)
        }
        return shared_weights or max(self.weights, key=len)
