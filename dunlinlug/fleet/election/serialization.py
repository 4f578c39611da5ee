"""Serializes objects of declared classes to msgpack and back.

The format contains no code. A scalar is written as itself. Anything else is a list that begins with
a letter: `l` list, `t` tuple, `s` set, `d` dict (alternating keys and values), `q` deque (its
maximum length first), `o` a new object (number, class name, alternating field names and values),
`r` a reference to an object written before (its number).

An object that is referenced several times is written once and is a single object again when read.
Containers are written at each reference. A frozenset is read as a set.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgpack

from dunlinlug.errors import DunlinlugError

SEQUENCE_TYPES: Mapping[str, Any] = {"l": list, "t": tuple, "s": set}


class SerializationError(DunlinlugError, ValueError):
    """Bytes that are not in this format, or an object that has no representation in it."""


class FieldFormError(SerializationError):
    """A field that does not match the wire form of its class.

    Attributes:
        class_name: The wire name of the class.
        field: The attribute, or the wire name of the field.
        problem: How the field differs from the form.
    """

    def __init__(self, form: "WireForm", field: str, problem: str) -> None:
        super().__init__(f"{form.name} (form {form.version}): field {field!r} is {problem}")
        self.class_name = form.name
        self.field = field
        self.problem = problem


@dataclass(frozen=True)
class WireForm:
    """The attributes of a class that are sent, and their wire names.

    Attributes:
        kind: The class.
        name: The wire name of the class.
        fields: Attributes by wire name, in the order in which they are written.
        local: Attributes that are not sent; the receiver has its own values or recomputes them.
        version: Shown in error messages; it is not sent.
    """

    kind: type
    name: str
    fields: Mapping[str, str]
    local: Collection[str] = ()
    version: int = 1

    @cached_property
    def declared(self) -> frozenset[str]:
        """The attributes that are sent."""
        return frozenset(self.fields.values())

    def extract_fields(self, instance: Any) -> dict[str, Any]:
        """Returns an object's values by wire name.

        Raises:
            FieldFormError: A declared attribute is missing, or one is not declared.
        """
        present = vars(instance)
        if present.keys() != self.declared:
            for attribute in sorted(self.declared - present.keys()):
                raise FieldFormError(self, attribute, "declared but not an attribute")
            for attribute in sorted(present.keys() - self.declared - set(self.local)):
                raise FieldFormError(self, attribute, "an attribute but not declared")
        return {name: present[attribute] for name, attribute in self.fields.items()}

    def attribute_values(self, pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
        """Returns values by attribute, from decoded pairs of wire name and value.

        Raises:
            FieldFormError: A field is unknown, missing or duplicated; only an object with exactly
                its declared fields is read.
        """
        values = dict(pairs)
        for name, _ in pairs:
            if name not in self.fields:
                raise FieldFormError(self, name, "unknown here")
        for name in self.fields:
            if name not in values:
                raise FieldFormError(self, name, "missing")
        seen = set[str]()
        for name, _ in pairs:
            if name in seen:
                raise FieldFormError(self, name, "duplicated")
            seen.add(name)
        return {self.fields[name]: value for name, value in pairs}


class ObjectSerializer:
    """Serializes scalars, standard containers and objects of the classes that have a form.

    Raises:
        TypeError: Two forms have the same name or the same class.
    """

    def __init__(self, *forms: WireForm) -> None:
        self.by_name = {form.name: form for form in forms}
        self.by_class = {form.kind: form for form in forms}
        if not len(self.by_name) == len(self.by_class) == len(forms):
            raise TypeError("two forms have the same name or the same class")

    def serialize(self, value: Any) -> bytes:
        """Encodes the value in msgpack. Raises SerializationError for a class without a form."""
        data: bytes = msgpack.packb(self._encode(value, {}))
        return data

    def deserialize(self, data: bytes) -> Any:
        """Decodes a value. Raises SerializationError for bytes not written by `serialize`."""
        try:
            return self._decode(msgpack.unpackb(data, strict_map_key=False), {})
        except SerializationError:
            raise
        except (
            ValueError,
            TypeError,
            KeyError,
            IndexError,
            AttributeError,
            OverflowError,
            RecursionError,
            msgpack.UnpackException,
        ) as error:
            raise SerializationError(
                f"cannot be decoded: {type(error).__name__}: {error}"
            ) from None

    def _encode(  # noqa: PLR0911 - one return for each kind of value
        self, value: Any, object_numbers: dict[int, int]
    ) -> Any:
        """Encodes a value; `object_numbers` maps the `id`s of objects written so far to numbers."""
        match value:
            case None | bool() | int() | float() | str() | bytes():
                return value
            case dict():
                return ["d", *self._encode_pairs(value.items(), object_numbers)]
            case deque():
                return ["q", value.maxlen, *self._encode_all(value, object_numbers)]
            case list():
                return ["l", *self._encode_all(value, object_numbers)]
            case tuple():
                return ["t", *self._encode_all(value, object_numbers)]
            case set() | frozenset():
                return ["s", *self._encode_all(sorted(value), object_numbers)]
        return self._encode_object(value, object_numbers)

    def _encode_all(self, values: Iterable[Any], object_numbers: dict[int, int]) -> list[Any]:
        return [self._encode(value, object_numbers) for value in values]

    def _encode_pairs(
        self, pairs: Iterable[tuple[Any, Any]], object_numbers: dict[int, int]
    ) -> list[Any]:
        return [self._encode(item, object_numbers) for pair in pairs for item in pair]

    def _encode_object(self, value: Any, object_numbers: dict[int, int]) -> list[Any]:
        form = self.by_class.get(type(value))
        if form is None:
            raise SerializationError(f"class {type(value).__name__} has no wire form")
        if id(value) in object_numbers:
            return ["r", object_numbers[id(value)]]
        number = len(object_numbers)
        object_numbers[id(value)] = number
        fields = form.extract_fields(value)
        return ["o", number, form.name, *self._encode_pairs(fields.items(), object_numbers)]

    def _decode(self, encoded: Any, objects: dict[int, Any]) -> Any:
        """Decodes a value; `objects` maps numbers to the objects read so far."""
        if not isinstance(encoded, list):
            return encoded
        tag, *items = encoded
        match tag:
            case "l" | "t" | "s":
                return SEQUENCE_TYPES[tag](self._decode(item, objects) for item in items)
            case "d":
                return dict(self._decode_pairs(items, objects))
            case "q":
                maximum_length, *contents = items
                return deque(
                    (self._decode(item, objects) for item in contents), maxlen=maximum_length
                )
            case "r":
                return objects[items[0]]
            case "o":
                return self._decode_object(items, objects)
        raise SerializationError(f"unknown type letter {tag!r}")

    def _decode_pairs(self, items: list[Any], objects: dict[int, Any]) -> list[tuple[Any, Any]]:
        values = [self._decode(item, objects) for item in items]
        return list(zip(values[::2], values[1::2], strict=True))

    def _decode_object(self, items: list[Any], objects: dict[int, Any]) -> Any:
        number, name, *encoded_fields = items
        form = self.by_name[name]
        instance: Any = object.__new__(form.kind)
        objects[number] = instance  # before its fields, which may refer to it
        fields = self._decode_pairs(encoded_fields, objects)
        for attribute, value in form.attribute_values(fields).items():
            object.__setattr__(instance, attribute, value)
        return instance
