"""Known plain classes to msgpack and back, with what is one object staying one. No code travels, unlike with pickle.

A value is itself, or a list that begins with a letter: l list, t tuple, s set, d dict, q deque, o a new object (number,
class, fields), r an object met before.
"""

from collections import deque
from typing import Any

import msgpack


class PlainFault(ValueError):
    """Bytes that are not what this version writes."""


class Codec:
    """For these classes alone; fields that hold something callable are left out, and those that a class names as
    `DERIVED`: the reader makes them anew."""

    def __init__(self, *classes: type) -> None:
        self.classes = {kind.__name__: kind for kind in classes}

    def write(self, value: Any) -> bytes:
        made: bytes = msgpack.packb(self._plain(value, {}))
        return made

    def read(self, data: bytes) -> Any:
        """Raises PlainFault."""
        try:
            return self._value(msgpack.unpackb(data, strict_map_key=False), {})
        except PlainFault:
            raise
        except (ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException) as fault:
            raise PlainFault(f"not as written here: {type(fault).__name__}: {fault}") from None

    def _plain(self, value: Any, met: dict[int, int]) -> Any:
        match value:
            case None | bool() | int() | float() | str() | bytes():
                return value
            case dict():
                return ["d", *(self._plain(part, met) for pair in value.items() for part in pair)]
            case deque():
                return ["q", value.maxlen, *(self._plain(part, met) for part in value)]
            case list() | tuple() | set() | frozenset():
                letter = (
                    "l" if isinstance(value, list) else "t" if isinstance(value, tuple) else "s"
                )
                parts = sorted(value) if letter == "s" else value
                return [letter, *(self._plain(part, met) for part in parts)]
        name = type(value).__name__
        if self.classes.get(name) is not type(value):
            raise PlainFault(f"{name} is not a class that travels")
        if id(value) in met:
            return ["r", met[id(value)]]
        met[id(value)] = len(met)
        derived = getattr(value, "DERIVED", ())
        fields = {
            key: part
            for key, part in vars(value).items()
            if not callable(part) and key not in derived
        }
        return [
            "o",
            met[id(value)],
            name,
            *(self._plain(part, met) for pair in fields.items() for part in pair),
        ]

    def _value(self, plain: Any, met: dict[int, Any]) -> Any:
        if not isinstance(plain, list):
            return plain
        letter, *rest = plain
        match letter:
            case "l" | "t" | "s":
                kind: Any = {"l": list, "t": tuple, "s": set}[letter]
                return kind(self._value(part, met) for part in rest)
            case "d":
                parts = [self._value(part, met) for part in rest]
                return dict(zip(parts[::2], parts[1::2], strict=True))
            case "q":
                return deque((self._value(part, met) for part in rest[1:]), maxlen=rest[0])
            case "r":
                return met[rest[0]]
            case "o":
                made: Any = object.__new__(self.classes[rest[1]])
                met[rest[0]] = made
                fields = [self._value(part, met) for part in rest[2:]]
                for key, part in zip(fields[::2], fields[1::2], strict=True):
                    object.__setattr__(made, key, part)
                return made
        raise PlainFault(f"unknown letter {letter!r}")
