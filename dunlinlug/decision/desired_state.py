"""The desired state of the proxies' tables: computed by the planner, read by the reconciler."""

from dataclasses import dataclass


@dataclass
class DesiredState:
    """Weights, admission and ejections as they should be now.

    `weights` has by class the weight of each endpoint row; classes without an operator override
    share the same dict. `weight_fractions` has for each ready row the fraction of its listed weight
    that it gets, and `admission_levels` has by class the admitted fraction and the retry policy. No
    proxy should use the rows in `ejected`.
    """

    weights: list[dict[int, float]]
    weight_fractions: dict[int, float]
    admission_levels: list[tuple[float, int]]
    ejected: set[int]

    def differs_by_class(self) -> bool:
        """Whether some classes have different weights."""
        return len({*map(id, self.weights)}) > 1

    def common_weights(self) -> dict[int, float]:
        """Return weights for a table that all classes share.

        These are the first class's weights of the rows that all classes have in common. If there
        are no such rows, they are the weights of the class with the most rows.
        """
        distinct = {id(weights): weights for weights in self.weights}
        first, *others = distinct.values()
        if not others:
            return first or max(self.weights, key=len)
        shared_weights = {
            row: first[row] for row in first if all(row in weights for weights in others)
        }
        return shared_weights or max(self.weights, key=len)
