"""Wire names of message classes and their fields, declared beside the fields.

Messages contain the declared names, so renaming a class or an attribute does not change the bytes
sent: `term: int = field(metadata=wire("term"))` declares a field, `WIRE_NAME` the class.
"""

from collections.abc import Iterable
from dataclasses import fields
from functools import cache
from typing import Any

METADATA_KEY = "wire"  # key in a dataclass field's metadata


def wire(name: str) -> dict[str, str]:
    """Returns the metadata that gives a dataclass field this wire name."""
    return {METADATA_KEY: name}


@cache
def wire_name(kind: Any) -> str:
    """Returns the wire name that a class itself declares; inherited names do not count.

    Raises:
        TypeError: The class declares no wire name.
    """
    name = vars(kind).get("WIRE_NAME")
    if not isinstance(name, str):
        raise TypeError(f"{kind.__name__} declares no WIRE_NAME")
    return name


@cache
def wire_fields(kind: Any) -> dict[str, str]:
    """Returns a class's attributes by wire name, in the order of its fields.

    Raises:
        TypeError: A field declares no wire name, or the same name as another field.
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
    """Returns the classes by wire name.

    Raises:
        TypeError: A class or one of its fields declares no wire name.
    """
    found: dict[str, type] = {}
    for kind in kinds:
        wire_fields(kind)
        found[wire_name(kind)] = kind
    return found
