"""Parses values with units as written in INI files, such as `250ms` or `1200/s`.

A field's type selects the parser: each NewType here has one.
"""

import re
from collections.abc import Callable
from typing import NewType

import cattrs

from dunlinlug.errors import DunlinlugError

Seconds = NewType("Seconds", float)
PerSecond = NewType("PerSecond", float)
Fraction = NewType("Fraction", float)
Count = NewType("Count", int)
Address = NewType("Address", tuple[str, int])
NameList = NewType("NameList", tuple[str, ...])

SECONDS_PER_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
NUMBER_PATTERN = r"(\d+(?:\.\d+)?)"
MAX_PORT = 65535
MAX_ADDRESS_BYTE = 255


class InvalidValueError(DunlinlugError, ValueError):
    """A value that cannot be parsed; the text states what is expected."""


def _match_or_raise(pattern: str, text: str, expected: str) -> re.Match[str]:
    found = re.fullmatch(pattern, text.strip())
    if found is None:
        raise InvalidValueError(f"{text!r} is not {expected}")
    return found


def parse_seconds(text: str) -> Seconds:
    """Parse a duration. Raises InvalidValueError, also if the unit is missing."""
    found = _match_or_raise(
        NUMBER_PATTERN + r"\s*(us|ms|s|min|h)",
        text,
        "a time with its unit, such as 250ms, 2s or 5min",
    )
    return Seconds(float(found[1]) * SECONDS_PER_UNIT[found[2]])


def parse_rate(text: str) -> PerSecond:
    """Parse a rate per second or per minute. Raises InvalidValueError."""
    found = _match_or_raise(
        NUMBER_PATTERN + r"\s*/\s*(s|min)", text, "a rate, such as 1200/s or 30/min"
    )
    return PerSecond(float(found[1]) / SECONDS_PER_UNIT[found[2]])


def parse_fraction(text: str) -> Fraction:
    """Parse a fraction, `20%` or `0.2`. Raises InvalidValueError, also if it exceeds 1."""
    found = _match_or_raise(NUMBER_PATTERN + r"\s*(%?)", text, "a share, such as 20% or 0.2")
    value = float(found[1]) / (100 if found[2] else 1)
    if value > 1:
        raise InvalidValueError(f"{text!r} is over the whole: a share is at most 100%")
    return Fraction(value)


def parse_count(text: str) -> Count:
    """Parse a non-negative integer. Raises InvalidValueError."""
    return Count(int(_match_or_raise(r"(\d+)", text, "a whole number, such as 30")[1]))


def parse_number(text: str) -> float:
    """Parse a non-negative decimal number. Raises InvalidValueError."""
    return float(_match_or_raise(NUMBER_PATTERN, text, "a number, such as 3 or 1.5")[1])


def parse_switch(text: str) -> bool:
    """Parse `yes` or `no`. Raises InvalidValueError."""
    return _match_or_raise("(yes|no)", text, "yes or no")[1] == "yes"


def parse_address(text: str) -> Address:
    """Parse a host and port. Raises InvalidValueError.

    Only loopback addresses are allowed, so that no other machine can reach the program.
    """
    expected = "a loopback address and port, such as 127.0.0.1:18000"
    found = _match_or_raise(r"(127(?:\.\d{1,3}){3}):(\d{1,5})", text, expected)
    host_bytes = [int(part) for part in found[1].split(".")]
    if int(found[2]) > MAX_PORT or max(host_bytes) > MAX_ADDRESS_BYTE:
        raise InvalidValueError(f"{text!r} is not {expected}")
    return Address((found[1], int(found[2])))


def parse_names(text: str) -> NameList:
    """Parse names separated by commas or whitespace."""
    return NameList(tuple(name for name in re.split(r"[,\s]+", text.strip()) if name))


def make_converter() -> cattrs.Converter:
    """Return a converter that parses a value's text by the type of its field."""
    parsers: list[tuple[object, Callable[[str], object]]] = [
        (Seconds, parse_seconds),
        (PerSecond, parse_rate),
        (Fraction, parse_fraction),
        (Count, parse_count),
        (Address, parse_address),
        (NameList, parse_names),
        (float, parse_number),
        (bool, parse_switch),
        (str, str.strip),
    ]
    converter = cattrs.Converter()
    for value_type, parse in parsers:
        converter.register_structure_hook(value_type, _as_hook(parse))
    return converter


def _as_hook(parse: Callable[[str], object]) -> Callable[[str, object], object]:
    """Adapt a parser to cattrs, which also passes the type to its hooks."""
    return lambda text, _type: parse(text)
