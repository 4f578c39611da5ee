"""What is said in JSON: a pin as an operator writes it, and refusals and tables as they are shown. Free of I/O."""

import json
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from dunlinlug import interface as face
from dunlinlug.guard import Pin, Refusal


class WordFault(ValueError):
    """A request that cannot be read; the text names the mistake."""


@attrs.frozen
class PinWord:
    """`lasts` in seconds; workers by address. `only` and `without` shut each other out; `weights` go with either."""

    product: str
    lasts: float
    weights: dict[str, float] = attrs.field(factory=dict)
    only: list[str] = attrs.field(factory=list)
    without: list[str] = attrs.field(factory=list)


def _number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _text(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _converter() -> cattrs.Converter:
    made = cattrs.Converter(forbid_extra_keys=True)
    made.register_structure_hook(float, _number)
    made.register_structure_hook(str, _text)
    made.register_structure_hook(
        PinWord, make_dict_structure_fn(PinWord, made, _cattrs_forbid_extra_keys=True)
    )
    return made


CONVERTER = _converter()


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Danger: JSON readers keep the last of two equal keys; the operator meant something with the first."""
    found = dict(pairs)
    if len(found) < len(pairs):
        twice = next(
            key for n, (key, _) in enumerate(pairs) if key in [other for other, _ in pairs[:n]]
        )
        raise WordFault(f"{twice!r} is named twice")
    return found


def read_pin(body: bytes, products: tuple[face.Product, ...], now: float) -> Pin:
    """Raises WordFault. Whether the pin may stand is for the guard to say."""
    try:
        said = json.loads(body, object_pairs_hook=_once)
        word = CONVERTER.structure(said, PinWord)
    except WordFault:
        raise
    except ValueError as fault:
        raise WordFault(f"not JSON: {fault}") from None
    except (cattrs.BaseValidationError, TypeError, AttributeError) as fault:
        raise WordFault("; ".join(cattrs.transform_error(fault))) from None
    names = [product.name for product in products]
    if word.product not in names:
        raise WordFault(f"unknown product {word.product!r}; known are {', '.join(names)}")
    return Pin(names.index(word.product), _weights(word), not word.only, now + word.lasts)


def _weights(word: PinWord) -> dict[str, float | None]:
    if word.only and word.without:
        raise WordFault("only and without shut each other out")
    weights: dict[str, float | None] = dict(word.weights)
    for worker in [*word.only, *word.without]:
        if [*word.only, *word.without].count(worker) > 1:
            raise WordFault(f"{worker!r} is named twice")
        if worker in word.weights and worker in word.without:
            raise WordFault(f"{worker!r} is given a weight and left out")
        weights.setdefault(worker, None if word.only else 0.0)
    strange = sorted(set(word.weights) - set(word.only)) if word.only else []
    if strange:
        raise WordFault(f"{', '.join(strange)} is given a weight and is not of the only")
    return weights


def read_member(body: bytes) -> str:
    """Raises WordFault."""
    try:
        said = json.loads(body, object_pairs_hook=_once)
    except WordFault:
        raise
    except ValueError as fault:
        raise WordFault(f"not JSON: {fault}") from None
    if not isinstance(said, dict) or set(said) != {"to"} or not isinstance(said["to"], str):
        raise WordFault('it is {"to": MEMBER}')
    return str(said["to"])


def pin_said(pin: Pin, products: tuple[face.Product, ...], now: float) -> dict[str, Any]:
    return {
        "product": products[pin.product].name,
        "ends_in": round(pin.until - now, 3),
        "others": pin.others,
        "weights": dict(pin.weights),
    }


def refusal_said(refusal: Refusal) -> dict[str, Any]:
    worker = getattr(refusal.order, "worker", None)
    return {
        "rule": refusal.rule,
        "why": refusal.said,
        "would_pass": refusal.would_pass,
        "proxies": list(refusal.proxies[:20]),
        **({"worker": worker} if worker else {}),
    }
