"""Objects of declared classes to msgpack and back; no code travels, and shared objects stay shared.

A scalar is written as itself. Anything else is a list that begins with a letter: `l` list, `t`
tuple, `s` set, `d` dict (keys and values by turns), `q` deque (its maximum length first), `o` an
object that is new (number, class name, field names and values by turns), `r` the number of an
object that was written before.
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
    """Bytes, or an object, that are not in this format."""


class FieldFormError(SerializationError):
    """A field that is not as its class's form declares.

    Attributes:
        class_name: The class by its name on the wire.
        field: The attribute, or the field's name on the wire.
        problem: What is wrong with it.
    """

    def __init__(self, form: "WireForm", field: str, problem: str) -> None:
        super().__init__(f"{form.name} (form {form.version}): field {field!r} is {problem}")
        self.class_name = form.name
        self.field = field
        self.problem = problem


@dataclass(frozen=True)
class WireForm:
    """What of a class is sent, and by which names.

    Attributes:
        kind: The class.
        name: Its name on the wire.
        fields: Attributes by their names on the wire, in the order in which they are written.
        local: Attributes that are not sent; the receiver has its own or makes them anew.
        version: For people, in error messages; it is not sent.
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

    def taken_from(self, instance: Any) -> dict[str, Any]:
        """An object's values by their names on the wire.

        Raises:
            FieldFormError: An attribute is declared and missing, or there and not declared.
        """
        present = vars(instance)
        if present.keys() != self.declared:
            for attribute in sorted(self.declared - present.keys()):
                raise FieldFormError(self, attribute, "declared and not an attribute")
            for attribute in sorted(present.keys() - self.declared - set(self.local)):
                raise FieldFormError(self, attribute, "an attribute and not declared")
        return {name: present[attribute] for name, attribute in self.fields.items()}

    def attributes(self, found: Sequence[tuple[str, Any]]) -> dict[str, Any]:
        """Values by attribute, from pairs of wire name and value as they were read.

        Raises:
            FieldFormError: A field is unknown, missing or there twice, so that an object is read
                with all its fields or not at all.
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
    """Writes and reads values of these forms, of scalars and of the standard containers.

    Raises:
        TypeError: Two forms have one name, or one class.
    """

    def __init__(self, *forms: WireForm) -> None:
        self.by_name = {form.name: form for form in forms}
        self.by_class = {form.kind: form for form in forms}
        if not len(self.by_name) == len(self.by_class) == len(forms):
            raise TypeError("two forms of one name, or of one class")

    def serialize(self, value: Any) -> bytes:
        """The value in msgpack. Raises SerializationError for a class without a form."""
        data: bytes = msgpack.packb(self._encode(value, {}))
        return data

    def deserialize(self, data: bytes) -> Any:
        """The value that was written. Raises SerializationError for anything not written here."""
        try:
            return self._decode(msgpack.unpackb(data, strict_map_key=False), {})
        except SerializationError:
            raise
        except (ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException) as error:
            raise SerializationError(
                f"not as written here: {type(error).__name__}: {error}"
            ) from None

    def _encode(  # noqa: PLR0911 - one for each kind of value
        self, value: Any, object_ids: dict[int, int]
    ) -> Any:
        """`object_ids` numbers the objects written so far by their `id`."""
        match value:
            case None | bool() | int() | float() | str() | bytes():
                return value
            case dict():
                return ["d", *self._encode_pairs(value.items(), object_ids)]
            case deque():
                return ["q", value.maxlen, *self._encode_all(value, object_ids)]
            case list():
                return ["l", *self._encode_all(value, object_ids)]
            case tuple():
                return ["t", *self._encode_all(value, object_ids)]
            case set() | frozenset():
                return ["s", *self._encode_all(sorted(value), object_ids)]
        return self._encode_object(value, object_ids)

    def _encode_all(self, values: Iterable[Any], object_ids: dict[int, int]) -> list[Any]:
        return [self._encode(value, object_ids) for value in values]

    def _encode_pairs(
        self, pairs: Iterable[tuple[Any, Any]], object_ids: dict[int, int]
    ) -> list[Any]:
        return [self._encode(item, object_ids) for pair in pairs for item in pair]

    def _encode_object(self, value: Any, object_ids: dict[int, int]) -> list[Any]:
        form = self.by_class.get(type(value))
        if form is None:
            raise SerializationError(f"{type(value).__name__} is not a class that travels")
        if id(value) in object_ids:
            return ["r", object_ids[id(value)]]
        number = len(object_ids)
        object_ids[id(value)] = number
        fields = form.taken_from(value)
        return ["o", number, form.name, *self._encode_pairs(fields.items(), object_ids)]

    def _decode(self, encoded: Any, objects: dict[int, Any]) -> Any:
        """`objects` are the objects read so far by their numbers."""
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
        raise SerializationError(f"unknown letter {tag!r}")

    def _decode_pairs(self, items: list[Any], objects: dict[int, Any]) -> list[tuple[Any, Any]]:
        values = [self._decode(item, objects) for item in items]
        return list(zip(values[::2], values[1::2], strict=True))

    def _decode_object(self, items: list[Any], objects: dict[int, Any]) -> Any:
        number, name, *encoded_fields = items
        form = self.by_name[name]
        instance: Any = object.__new__(form.kind)
        objects[number] = instance  # before its fields, which may refer to it
        fields = self._decode_pairs(encoded_fields, objects)
        for attribute, value in form.attributes(fields).items():
            object.__setattr__(instance, attribute, value)
        return instance
