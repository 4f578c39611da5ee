"""Wire names of message classes and their fields, declared beside the fields.

The declared name is what is sent, so a class or an attribute can be renamed without changing a
byte: `term: int = field(metadata=wire("term"))` for a field, `WIRE_NAME` for the class.
"""

from collections.abc import Iterable
from dataclasses import fields
from functools import cache
from typing import Any

METADATA_KEY = "wire"  # in a dataclass field's metadata


def wire(name: str) -> dict[str, str]:
    """The metadata for a dataclass field with this name on the wire."""
    return {METADATA_KEY: name}


@cache
def wire_name(kind: Any) -> str:
    """A class's name on the wire; inherited names do not count.

    Raises:
        TypeError: The class declares no name.
    """
    name = vars(kind).get("WIRE_NAME")
    if not isinstance(name, str):
        raise TypeError(f"{kind.__name__} declares no WIRE_NAME")
    return name


@cache
def wire_fields(kind: Any) -> dict[str, str]:
    """A class's attributes by their names on the wire, in the order of its fields.

    Raises:
        TypeError: A field declares no name, or the name of another field.
    """
    declared: dict[str, str] = {}
    for declared_field in fields(kind):
        name = declared_field.metadata.get(METADATA_KEY)
        if not isinstance(name, str) or name in declared:
            raise TypeError(
                f"{kind.__name__}.{declared_field.name} declares no wire name of its own"
            )
        declared[name] = declared_field.name
    return declared


def by_wire_name(kinds: Iterable[type]) -> dict[str, type]:
    """Classes by their names on the wire.

    Raises:
        TypeError: A class or one of its fields declares no name.
    """
    found: dict[str, type] = {}
    for kind in kinds:
        wire_fields(kind)
        found[wire_name(kind)] = kind
    return found
