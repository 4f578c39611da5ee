"""Values as an operator writes them, `250ms` or `1200/s`, as the program's plain floats."""

import re
from typing import Any, NewType

import cattrs

Seconds = NewType("Seconds", float)
PerSecond = NewType("PerSecond", float)
Share = NewType("Share", float)
Count = NewType("Count", int)
Address = NewType("Address", tuple[str, int])
Words = NewType("Words", tuple[str, ...])

SPANS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
NUMBER = r"(\d+(?:\.\d+)?)"


class ValueFault(ValueError):
    """A value that cannot be read; says what would be right."""


def _match(pattern: str, text: str, right: str) -> re.Match[str]:
    found = re.fullmatch(pattern, text.strip())
    if found is None:
        raise ValueFault(f"{text!r} is not {right}")
    return found


def seconds(text: str) -> Seconds:
    """A span in seconds; a bare number is refused, as its unit would be a guess."""
    found = _match(
        NUMBER + r"\s*(us|ms|s|min|h)", text, "a time with its unit, such as 250ms, 2s or 5min"
    )
    return Seconds(float(found[1]) * SPANS[found[2]])


def per_second(text: str) -> PerSecond:
    """A rate by the second."""
    found = _match(NUMBER + r"\s*/\s*(s|min)", text, "a rate, such as 1200/s or 30/min")
    return PerSecond(float(found[1]) / SPANS[found[2]])


def share(text: str) -> Share:
    """A part of one, as `20%` or `0.2`."""
    found = _match(NUMBER + r"\s*(%?)", text, "a share, such as 20% or 0.2")
    value = float(found[1]) / (100 if found[2] else 1)
    if value > 1:
        raise ValueFault(f"{text!r} is over the whole: a share is at most 100%")
    return Share(value)


def count(text: str) -> Count:
    return Count(int(_match(r"(\d+)", text, "a whole number, such as 30")[1]))


def number(text: str) -> float:
    return float(_match(NUMBER, text, "a number, such as 3 or 1.5")[1])


def switch(text: str) -> bool:
    return _match("(yes|no)", text, "yes or no")[1] == "yes"


def address(text: str) -> Address:
    """Host and port, on loopback alone: the program is reachable from this machine only."""
    right = "a loopback address and port, such as 127.0.0.1:18000"
    found = _match(r"(127(?:\.\d{1,3}){3}):(\d{1,5})", text, right)
    if int(found[2]) > 65535 or any(int(part) > 255 for part in found[1].split(".")):
        raise ValueFault(f"{text!r} is not {right}")
    return Address((found[1], int(found[2])))


def words(text: str) -> Words:
    return Words(tuple(part for part in re.split(r"[,\s]+", text.strip()) if part))


def converter() -> cattrs.Converter:
    """Structures one value's text by the type of its field; choices come as `Literal`."""
    made = cattrs.Converter()
    for kind, read in (
        (Seconds, seconds),
        (PerSecond, per_second),
        (Share, share),
        (Count, count),
        (Address, address),
        (Words, words),
        (float, number),
        (bool, switch),
        (str, str.strip),
    ):
        hook: Any = read
        made.register_structure_hook(kind, lambda text, _, hook=hook: hook(text))
    return made
