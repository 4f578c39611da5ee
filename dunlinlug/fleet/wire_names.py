"""Names that messages and their fields have between managers, declared beside the fields.

The name on the wire is the one declared, so that a class or an attribute can be renamed without
another byte being sent: `term: int = field(metadata=wire("term"))`, and `WIRE_NAME` for the class.
"""

from collections.abc import Iterable
from dataclasses import fields
from functools import cache
from typing import Any

KEY = "wire"  # of a field's metadata


def wire(name: str) -> dict[str, str]:
    """The metadata of a field with this name on the wire."""
    return {KEY: name}


@cache
def wire_name(kind: Any) -> str:
    """A class's own name on the wire. Raises TypeError where none is declared."""
    name = vars(kind).get("WIRE_NAME")
    if not isinstance(name, str):
        raise TypeError(f"{kind.__name__} declares no WIRE_NAME")
    return name


@cache
def wire_fields(kind: Any) -> dict[str, str]:
    """Attributes by their names on the wire, in the order of fields. Raises TypeError where one is
    not declared.
    """
    declared: dict[str, str] = {}
    for each in fields(kind):
        name = each.metadata.get(KEY)
        if not isinstance(name, str) or name in declared:
            raise TypeError(f"{kind.__name__}.{each.name} declares no wire name of its own")
        declared[name] = each.name
    return declared


def by_wire_name(kinds: Iterable[Any]) -> dict[str, Any]:
    """Classes by their names on the wire. Raises TypeError where a name or a field's name is not
    declared.
    """
    found: dict[str, Any] = {}
    for kind in kinds:
        wire_fields(kind)
        found[wire_name(kind)] = kind
    return found
