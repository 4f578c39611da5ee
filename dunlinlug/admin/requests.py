"""Parses the bodies of requests: an operator's override, or the name of a member."""

from collections import Counter

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from dunlinlug.bounded_values import OutOfBoundsError, parse_json
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard import Override

MAX_NAMED_WORKERS = 10_000  # endpoints in one override


class InvalidRequestError(DunlinlugError, ValueError):
    """A request with an invalid body; the message names the field and the fault."""


@attrs.frozen
class OverrideRequest:
    """An override in its JSON form; the field names are the keys.

    Attributes:
        product: Name of the traffic class.
        lasts: Duration in seconds.
        weights: Weight by endpoint id; can be combined with `only` or `without`.
        only: The only endpoints to use; cannot be combined with `without`.
        without: Endpoints to exclude.
    """

    product: str
    lasts: float
    weights: dict[str, float] = attrs.field(factory=dict)
    only: list[str] = attrs.field(factory=list)
    without: list[str] = attrs.field(factory=list)


def _structure_number(value: object, _type: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    try:
        return float(value)  # the guard rejects what is not finite
    except OverflowError:
        raise ValueError("a number has too many digits") from None


def _structure_text(value: object, _type: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _make_converter() -> cattrs.Converter:
    """A converter that rejects values of another type and unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(
        OverrideRequest,
        make_dict_structure_fn(OverrideRequest, converter, _cattrs_forbid_extra_keys=True),
    )
    return converter


CONVERTER = _make_converter()


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Build an object from its pairs of key and value.

    By default `json` keeps only the last of two equal keys, which would silently drop a part of the
    operator's request.
    """
    values = dict[str, object]()
    for key, value in pairs:
        if key in values:
            raise InvalidRequestError(f"{key!r} is named twice")
        values[key] = value
    return values


def _parse_json(body: bytes) -> object:
    try:
        payload: object = parse_json(body, _reject_duplicate_keys)
    except OutOfBoundsError as error:
        raise InvalidRequestError(f"not JSON: {error}") from None
    return payload


def parse_override(body: bytes, traffic_classes: tuple[TrafficClass, ...], now: float) -> Override:
    """Parse an override; the guard decides later whether it can be activated.

    Raises:
        InvalidRequestError: Not JSON, a missing or unknown key, a value of the wrong type, an
            unknown traffic class, or endpoints that contradict each other.
    """
    payload = _parse_json(body)
    try:
        request = CONVERTER.structure(payload, OverrideRequest)
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
    """Weight by endpoint: 0 for an excluded endpoint, None for the listed weight."""
    if max(len(request.weights), len(request.only), len(request.without)) > MAX_NAMED_WORKERS:
        raise InvalidRequestError(f"more than {MAX_NAMED_WORKERS} workers are named")
    if request.only and request.without:
        raise InvalidRequestError("only and without shut each other out")
    weights: dict[str, float | None] = dict(request.weights)
    selected = request.only or request.without
    mentions = Counter(selected)
    for worker in selected:
        if mentions[worker] > 1:
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
    """Parse the name of a member, `{"to": NAME}`.

    Raises:
        InvalidRequestError: The body has another form.
    """
    payload = _parse_json(body)
    if isinstance(payload, dict) and set(payload) == {"to"}:
        member = payload["to"]
        if isinstance(member, str):
            return member
    raise InvalidRequestError('it is {"to": MEMBER}')
