"""Classes of declared forms to msgpack and back, with what is one object staying one. No code
travels.

A value is itself, or a list that begins with a letter: l list, t tuple, s set, d dict, q deque, o a
new object (number, class, fields), r an object met before.
"""

from collections import deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgpack

from dunlinlug.errors import DunlinlugError


class SerializationError(DunlinlugError, ValueError):
    """Bytes that are not what this version writes."""


class FieldFormError(SerializationError):
    """A field that is not as its class's form declares."""

    def __init__(self, form: "WireForm", field: str, problem: str) -> None:
        super().__init__(f"{form.name} (form {form.version}): field {field!r} is {problem}")
        self.class_name = form.name
        self.field = field
        self.problem = problem


@dataclass(frozen=True)
class WireForm:
    """What of a class travels, and by which names: attributes by wire name, in the order in which
    they are written. `local` attributes stay here: the reader has its own, or makes them anew.
    The version tells people which form was meant; it does not travel.
    """

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
        """Values by wire name. Raises FieldFault for an attribute that is not declared, or is not
        there.
        """
        present = vars(instance)
        if present.keys() != self.declared:
            for attribute in sorted(self.declared - present.keys()):
                raise FieldFormError(self, attribute, "declared and not an attribute")
            for attribute in sorted(present.keys() - self.declared - set(self.local)):
                raise FieldFormError(self, attribute, "an attribute and not declared")
        return {name: present[attribute] for name, attribute in self.fields.items()}

    def attributes(self, found: Sequence[tuple[str, Any]]) -> dict[str, Any]:
        """Values by attribute, from pairs as read. Raises FieldFault for a field that is unknown,
        missing or twice there, so that an object is taken as a whole or not at all.
        """
        values = dict(found)
        for name, _ in found:
            if name not in self.fields:
                raise FieldFormError(self, name, "unknown here")
        for name in self.fields:
            if name not in values:
                raise FieldFormError(self, name, "missing")
        if len(found) != len(self.fields):
            raise FieldFormError(self, found[-1][0], "there twice")
        return {self.fields[name]: value for name, value in found}


class ObjectSerializer:
    """For classes with these forms alone."""

    def __init__(self, *forms: WireForm) -> None:
        self.by_name = {form.name: form for form in forms}
        self.by_class = {form.kind: form for form in forms}
        if not len(self.by_name) == len(self.by_class) == len(forms):
            raise TypeError("two forms of one name, or of one class")

    def serialize(self, value: Any) -> bytes:
        data: bytes = msgpack.packb(self._encode(value, {}))
        return data

    def deserialize(self, data: bytes) -> Any:
        """Raises PlainFault."""
        try:
            return self._decode(msgpack.unpackb(data, strict_map_key=False), {})
        except SerializationError:
            raise
        except (ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException) as error:
            raise SerializationError(
                f"not as written here: {type(error).__name__}: {error}"
            ) from None

    def _encode(self, value: Any, object_ids: dict[int, int]) -> Any:
        match value:
            case None | bool() | int() | float() | str() | bytes():
                return value
            case dict():
                return [
                    "d",
                    *(self._encode(part, object_ids) for pair in value.items() for part in pair),
                ]
            case deque():
                return ["q", value.maxlen, *(self._encode(part, object_ids) for part in value)]
            case list() | tuple() | set() | frozenset():
                tag = "l" if isinstance(value, list) else "t" if isinstance(value, tuple) else "s"
                parts = sorted(value) if tag == "s" else value
                return [tag, *(self._encode(part, object_ids) for part in parts)]
        form = self.by_class.get(type(value))
        if form is None:
            raise SerializationError(f"{type(value).__name__} is not a class that travels")
        if id(value) in object_ids:
            return ["r", object_ids[id(value)]]
        object_ids[id(value)] = len(object_ids)
        fields = form.taken_from(value)
        return [
            "o",
            object_ids[id(value)],
            form.name,
            *(self._encode(part, object_ids) for pair in fields.items() for part in pair),
        ]

    def _decode(self, encoded: Any, objects: dict[int, Any]) -> Any:
        if not isinstance(encoded, list):
            return encoded
        tag, *remainder = encoded
        match tag:
            case "l" | "t" | "s":
                kind: Any = {"l": list, "t": tuple, "s": set}[tag]
                return kind(self._decode(part, objects) for part in remainder)
            case "d":
                parts = [self._decode(part, objects) for part in remainder]
                return dict(zip(parts[::2], parts[1::2], strict=True))
            case "q":
                return deque(
                    (self._decode(part, objects) for part in remainder[1:]), maxlen=remainder[0]
                )
            case "r":
                return objects[remainder[0]]
            case "o":
                form = self.by_name[remainder[1]]
                instance: Any = object.__new__(form.kind)
                objects[remainder[0]] = instance
                fields = [self._decode(part, objects) for part in remainder[2:]]
                pairs = [*zip(fields[::2], fields[1::2], strict=True)]
                for attribute, part in form.attributes(pairs).items():
                    object.__setattr__(instance, attribute, part)
                return instance
        raise SerializationError(f"unknown letter {tag!r}")
