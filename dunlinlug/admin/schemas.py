"""What is said in JSON: a pin as an operator writes it, and refusals and tables as they are shown.
Free of I/O.
"""

import json
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from dunlinlug.decision.settings import TrafficClass
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard import Override, Rejection


class InvalidRequestError(DunlinlugError, ValueError):
    """A request that cannot be read; the text names the mistake."""


@attrs.frozen
class OverrideRequest:
    """`lasts` in seconds; workers by address. `only` and `without` shut each other out; `weights`
    go with either.
    """

    product: str
    lasts: float
    weights: dict[str, float] = attrs.field(factory=dict)
    only: list[str] = attrs.field(factory=list)
    without: list[str] = attrs.field(factory=list)


def _parse_number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _parse_text(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(float, _parse_number)
    converter.register_structure_hook(str, _parse_text)
    converter.register_structure_hook(
        OverrideRequest,
        make_dict_structure_fn(OverrideRequest, converter, _cattrs_forbid_extra_keys=True),
    )
    return converter


CONVERTER = _make_converter()


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Danger: JSON readers keep the last of two equal keys; the operator meant something with the
    first.
    """
    values = dict(pairs)
    if len(values) < len(pairs):
        duplicate = next(
            key
            for index, (key, _) in enumerate(pairs)
            if key in [other for other, _ in pairs[:index]]
        )
        raise InvalidRequestError(f"{duplicate!r} is named twice")
    return values


def parse_override(body: bytes, traffic_classes: tuple[TrafficClass, ...], now: float) -> Override:
    """Raises WordFault. Whether the pin may stand is for the guard to say."""
    try:
        payload = json.loads(body, object_pairs_hook=_reject_duplicate_keys)
        request = CONVERTER.structure(payload, OverrideRequest)
    except InvalidRequestError:
        raise
    except ValueError as error:
        raise InvalidRequestError(f"not JSON: {error}") from None
    except (cattrs.BaseValidationError, TypeError, AttributeError) as error:
        raise InvalidRequestError("; ".join(cattrs.transform_error(error))) from None
    names = [traffic_class.name for traffic_class in traffic_classes]
    if request.product not in names:
        raise InvalidRequestError(
            f"unknown product {request.product!r}; known are {', '.join(names)}"
        )
    return Override(
        names.index(request.product),
        _merged_weights(request),
        not request.only,
        now + request.lasts,
    )


def _merged_weights(request: OverrideRequest) -> dict[str, float | None]:
    if request.only and request.without:
        raise InvalidRequestError("only and without shut each other out")
    weights: dict[str, float | None] = dict(request.weights)
    for worker in [*request.only, *request.without]:
        if [*request.only, *request.without].count(worker) > 1:
            raise InvalidRequestError(f"{worker!r} is named twice")
        if worker in request.weights and worker in request.without:
            raise InvalidRequestError(f"{worker!r} is given a weight and left out")
        weights.setdefault(worker, None if request.only else 0.0)
    unexpected = sorted(set(request.weights) - set(request.only)) if request.only else []
    if unexpected:
        raise InvalidRequestError(
            f"{', '.join(unexpected)} is given a weight and is not of the only"
        )
    return weights


def parse_member(body: bytes) -> str:
    """Raises WordFault."""
    try:
        payload = json.loads(body, object_pairs_hook=_reject_duplicate_keys)
    except InvalidRequestError:
        raise
    except ValueError as error:
        raise InvalidRequestError(f"not JSON: {error}") from None
    if (
        not isinstance(payload, dict)
        or set(payload) != {"to"}
        or not isinstance(payload["to"], str)
    ):
        raise InvalidRequestError('it is {"to": MEMBER}')
    return str(payload["to"])


def override_to_json(
    override: Override, traffic_classes: tuple[TrafficClass, ...], now: float
) -> dict[str, Any]:
    return {
        "product": traffic_classes[override.traffic_class].name,
        "ends_in": round(override.expires_at - now, 3),
        "others": override.keep_unlisted,
        "weights": dict(override.weights),
    }


def rejection_to_json(rejection: Rejection) -> dict[str, Any]:
    worker = getattr(rejection.order, "worker", None)
    return {
        "rule": str(rejection.rule),
        "why": rejection.reason,
        "would_pass": rejection.remedy,
        "proxies": list(rejection.proxies[:20]),
        **({"worker": worker} if worker else {}),
    }
