"""Proxy numbers by node name: assigned once, and reused once there are too many names."""

from collections.abc import Container, Mapping

from dunlinlug.errors import DunlinlugError

# Names that are remembered. Without TLS a client may give ever new ones; each costs memory here,
# in the decision module and in the members' replicated state.
MAX_PROXY_NUMBERS = 8192


class NoProxyNumberError(DunlinlugError):
    """All proxy numbers belong to connected proxies."""


def number_of(numbers: dict[str, int], name: str, connected: Container[int]) -> int:
    """Return the number of a node that connects; a node that returns gets the one that it had.

    Once there are too many names, a new one gets the number of the node that has been disconnected
    for longest, which is forgotten. `numbers` is kept in the order of the last connect.

    Raises:
        NoProxyNumberError: All numbers belong to connected nodes.
    """
    number = numbers.pop(name, None)
    if number is None:
        number = _unused_number(numbers, connected)
    numbers[name] = number
    return number


def _unused_number(numbers: dict[str, int], connected: Container[int]) -> int:
    if len(numbers) < MAX_PROXY_NUMBERS:
        return len(numbers)
    for other, number in numbers.items():
        if number not in connected:
            del numbers[other]
            return number
    raise NoProxyNumberError


def merge_numbers(numbers: dict[str, int], assigned: Mapping[str, int]) -> None:
    """Add numbers that the leader has assigned; names that had them before are forgotten."""
    reassigned = set(assigned.values())
    for name in [name for name, number in numbers.items() if number in reassigned]:
        del numbers[name]
    numbers.update(assigned)
