"""Values as an operator writes them, `250ms` or `1200/s`, as the program's plain floats."""

import re
from typing import Any, NewType

import cattrs

from dunlinlug.errors import DunlinlugError

Seconds = NewType("Seconds", float)
PerSecond = NewType("PerSecond", float)
Fraction = NewType("Fraction", float)
Count = NewType("Count", int)
Address = NewType("Address", tuple[str, int])
WordList = NewType("WordList", tuple[str, ...])

SECONDS_PER_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
NUMBER_PATTERN = r"(\d+(?:\.\d+)?)"


class InvalidValueError(DunlinlugError, ValueError):
    """A value that cannot be read; says what would be right."""


def _match_or_raise(pattern: str, text: str, expected: str) -> re.Match[str]:
    found = re.fullmatch(pattern, text.strip())
    if found is None:
        raise InvalidValueError(f"{text!r} is not {expected}")
    return found


def parse_seconds(text: str) -> Seconds:
    """A span in seconds; a bare number is refused, as its unit would be a guess."""
    found = _match_or_raise(
        NUMBER_PATTERN + r"\s*(us|ms|s|min|h)",
        text,
        "a time with its unit, such as 250ms, 2s or 5min",
    )
    return Seconds(float(found[1]) * SECONDS_PER_UNIT[found[2]])


def parse_rate(text: str) -> PerSecond:
    """A rate by the second."""
    found = _match_or_raise(
        NUMBER_PATTERN + r"\s*/\s*(s|min)", text, "a rate, such as 1200/s or 30/min"
    )
    return PerSecond(float(found[1]) / SECONDS_PER_UNIT[found[2]])


def parse_fraction(text: str) -> Fraction:
    """A part of one, as `20%` or `0.2`."""
    found = _match_or_raise(NUMBER_PATTERN + r"\s*(%?)", text, "a share, such as 20% or 0.2")
    value = float(found[1]) / (100 if found[2] else 1)
    if value > 1:
        raise InvalidValueError(f"{text!r} is over the whole: a share is at most 100%")
    return Fraction(value)


def parse_count(text: str) -> Count:
    return Count(int(_match_or_raise(r"(\d+)", text, "a whole number, such as 30")[1]))


def parse_number(text: str) -> float:
    return float(_match_or_raise(NUMBER_PATTERN, text, "a number, such as 3 or 1.5")[1])


def parse_switch(text: str) -> bool:
    return _match_or_raise("(yes|no)", text, "yes or no")[1] == "yes"


def parse_address(text: str) -> Address:
    """Host and port, on loopback alone: the program is reachable from this machine only."""
    expected = "a loopback address and port, such as 127.0.0.1:18000"
    found = _match_or_raise(r"(127(?:\.\d{1,3}){3}):(\d{1,5})", text, expected)
    if int(found[2]) > 65535 or any(int(part) > 255 for part in found[1].split(".")):
        raise InvalidValueError(f"{text!r} is not {expected}")
    return Address((found[1], int(found[2])))


def parse_words(text: str) -> WordList:
    return WordList(tuple(part for part in re.split(r"[,\s]+", text.strip()) if part))


def make_converter() -> cattrs.Converter:
    """Structures one value's text by the type of its field; choices come as `Literal`."""
    value_converter = cattrs.Converter()
    for value_type, parse in (
        (Seconds, parse_seconds),
        (PerSecond, parse_rate),
        (Fraction, parse_fraction),
        (Count, parse_count),
        (Address, parse_address),
        (WordList, parse_words),
        (float, parse_number),
        (bool, parse_switch),
        (str, str.strip),
    ):
        hook: Any = parse
        value_converter.register_structure_hook(value_type, lambda text, _, hook=hook: hook(text))
    return value_converter
