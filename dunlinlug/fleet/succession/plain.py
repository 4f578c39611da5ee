"""Classes of declared forms to msgpack and back, with what is one object staying one. No code travels.

A value is itself, or a list that begins with a letter: l list, t tuple, s set, d dict, q deque, o a new object (number,
class, fields), r an object met before.
"""

from collections import deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgpack


class PlainFault(ValueError):
    """Bytes that are not what this version writes."""


class FieldFault(PlainFault):
    """A field that is not as its class's form declares."""

    def __init__(self, form: "WireForm", field: str, problem: str) -> None:
        super().__init__(f"{form.name} (form {form.version}): field {field!r} is {problem}")
        self.class_name, self.field, self.problem = form.name, field, problem


@dataclass(frozen=True)
class WireForm:
    """What of a class travels, and by which names: attributes by wire name, in the order in which they are written.
    `local` attributes stay here: the reader has its own, or makes them anew. The version tells people which form was
    meant; it does not travel."""

    kind: type
    name: str
    fields: Mapping[str, str]
    local: Collection[str] = ()
    version: int = 1

    @cached_property
    def declared(self) -> frozenset[str]:
        """The attributes that travel."""
        return frozenset(self.fields.values())

    def taken_from(self, instance: Any) -> dict[str, Any]:
        """Values by wire name. Raises FieldFault for an attribute that is not declared, or is not there."""
        present = vars(instance)
        if present.keys() != self.declared:
            for attribute in sorted(self.declared - present.keys()):
                raise FieldFault(self, attribute, "declared and not an attribute")
            for attribute in sorted(present.keys() - self.declared - set(self.local)):
                raise FieldFault(self, attribute, "an attribute and not declared")
        return {name: present[attribute] for name, attribute in self.fields.items()}

    def attributes(self, found: Sequence[tuple[str, Any]]) -> dict[str, Any]:
        """Values by attribute, from pairs as read. Raises FieldFault for a field that is unknown, missing or twice
        there, so that an object is taken as a whole or not at all."""
        values = dict(found)
        for name, _ in found:
            if name not in self.fields:
                raise FieldFault(self, name, "unknown here")
        for name in self.fields:
            if name not in values:
                raise FieldFault(self, name, "missing")
        if len(found) != len(self.fields):
            raise FieldFault(self, found[-1][0], "there twice")
        return {self.fields[name]: value for name, value in found}


class Codec:
    """For classes with these forms alone."""

    def __init__(self, *forms: WireForm) -> None:
        self.by_name = {form.name: form for form in forms}
        self.by_class = {form.kind: form for form in forms}
        if not len(self.by_name) == len(self.by_class) == len(forms):
            raise TypeError("two forms of one name, or of one class")

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
        form = self.by_class.get(type(value))
        if form is None:
            raise PlainFault(f"{type(value).__name__} is not a class that travels")
        if id(value) in met:
            return ["r", met[id(value)]]
        met[id(value)] = len(met)
        fields = form.taken_from(value)
        return [
            "o",
            met[id(value)],
            form.name,
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
                form = self.by_name[rest[1]]
                made: Any = object.__new__(form.kind)
                met[rest[0]] = made
                fields = [self._value(part, met) for part in rest[2:]]
                pairs = [*zip(fields[::2], fields[1::2], strict=True)]
                for attribute, part in form.attributes(pairs).items():
                    object.__setattr__(made, attribute, part)
                return made
        raise PlainFault(f"unknown letter {letter!r}")
