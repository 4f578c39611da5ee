"""The records of the store; `rename` maps fields to their stored keys."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dunlinlug.bounded_values import require_bounds

MAX_STORED_WEIGHT = 10**6
MAX_STORED_TIME = 10**11  # seconds on the wall clock

# A whole number is written back as it was read, so that a record keeps its bytes.
StoredWeight = (
    Annotated[int, Meta(ge=0, le=MAX_STORED_WEIGHT)]
    | Annotated[float, Meta(ge=0.0, le=float(MAX_STORED_WEIGHT))]
)
StoredTime = (
    Annotated[int, Meta(ge=0, le=MAX_STORED_TIME)]
    | Annotated[float, Meta(ge=0.0, le=float(MAX_STORED_TIME))]
)


class StoredVote(NamedTuple):
    """A voter's persistent state as in Raft, written before any message that depends on it is sent.

    It is stored as a JSON array in the order of the fields. `voters` are the members of the voter
    set with the version `voter_set_version`.
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
        traffic_class: Name of the traffic class that it applies to.
        weights: Weight by endpoint id; 0 excludes the endpoint, None keeps its listed weight.
        keep_unlisted: Whether endpoints not in `weights` keep their listed weights.
        expires_at: Time in seconds on the wall clock.
    """

    traffic_class: str
    weights: dict[str, StoredWeight | None]
    keep_unlisted: bool
    expires_at: StoredTime

    @classmethod
    def from_plain(cls, plain: dict[str, object]) -> "StoredOverride":
        """Convert from a dict with the stored keys. Raises OutOfBoundsError."""
        override: StoredOverride = require_bounds(plain, cls)
        return override

    def to_plain(self) -> dict[str, object]:
        """Convert to a dict for JSON, with the stored keys."""
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
        number: Sequence number among all rejections ever stored, from 0.
        rejected_at: Time in seconds on the wall clock.
        order: The order as text.
        rule: The rule that it violates.
        reason: The measured value and the limit that it violates.
        remedy: What would be accepted instead.
        proxies: Ids of the affected proxies.
        outcome: What was done with the order.
        source: The origin of the order.
    """

    number: int
    rejected_at: StoredTime
    order: str
    rule: str
    reason: str
    remedy: str
    proxies: list[int]
    outcome: str
    source: str = "module"
