"""Operator overrides: weights of a traffic class that an operator has set.

They replace the listed weights. Slow start, weight limits and ejections still apply to them.
"""

from collections.abc import Mapping

from dunlinlug.decision.events import OverrideChanged
from dunlinlug.decision.state.desired_weights import Weights


def overridden_weights(
    override: OverrideChanged,
    row_by_id: Mapping[str, int],
    default_weights: Weights,
    weight_fractions: Weights,
    ejected: set[int],
) -> Weights:
    """Return the weights of a class under an override, in the order of `default_weights`.

    If no usable endpoint remains, for example because the override names only ejected endpoints, it
    returns `default_weights` itself, so that the class is not left without endpoints.
    """
    weights = {
        row_by_id[worker]: weight for worker, weight in override.weights if worker in row_by_id
    }
    if not weights and override.keep_unlisted:
        return default_weights
    effective_weights = Weights()
    for row, default_weight in default_weights.items():
        if row not in weights and not override.keep_unlisted:
            continue
        weight = weights.get(row)
        effective_weight = default_weight if weight is None else weight * weight_fractions[row]
        if effective_weight:
            effective_weights[row] = effective_weight
    return default_weights if ejected >= effective_weights.keys() else effective_weights
