"""The records of the store; the outside keys stand beside the fields."""

from typing import NamedTuple

import msgspec


class StoredVote(NamedTuple):
    """A voter's state as in Raft: written before anything that depends on it is sent.

    It is stored as a JSON array in the order of the fields. `voters` are the members of the voter
    set with that version.
    """

    term: int
    voted_for: str
    voter_set_version: int
    voters: list[str]


class StoredOverride(
    msgspec.Struct,
    frozen=True,
    rename={"traffic_class": "product", "keep_unlisted": "others", "expires_at": "until"},
):
    """An active operator override.

    Attributes:
        traffic_class: Its name.
        weights: By endpoint id; 0 for not to be used, None for the listed weight.
        keep_unlisted: Whether endpoints that `weights` does not name keep their listed weights.
        expires_at: Seconds on the wall clock.
    """

    traffic_class: str
    weights: dict[str, float | int | None]
    keep_unlisted: bool
    expires_at: float | int

    @classmethod
    def from_plain(cls, plain: dict[str, object]) -> "StoredOverride":
        """Read the plain form. Raises `msgspec.ValidationError` if it is not one."""
        return msgspec.convert(plain, cls)

    def to_plain(self) -> dict[str, object]:
        """The plain form for JSON, with the outside keys."""
        plain: dict[str, object] = msgspec.to_builtins(self)
        return plain


class StoredRejection(
    msgspec.Struct,
    frozen=True,
    rename={
        "number": "n",
        "rejected_at": "wall",
        "reason": "why",
        "remedy": "would_pass",
        "outcome": "done",
    },
):
    """A rejected order.

    Attributes:
        number: Its place in the order of all rejections that were ever stored, from 0.
        rejected_at: Seconds on the wall clock.
        order: The order as text.
        rule: The rule that it breaks.
        reason: What was measured against which limit.
        remedy: What would be accepted in its place.
        proxies: Ids of the proxies concerned.
        outcome: What was done with the order.
        source: Whose order it was.
    """

    number: int
    rejected_at: float | int
    order: str
    rule: str
    reason: str
    remedy: str
    proxies: list[int]
    outcome: str
    source: str = "module"
