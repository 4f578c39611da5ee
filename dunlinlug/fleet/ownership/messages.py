"""Messages between members about ownership, and orders of the protocol; plain values.

Work is divided into named tasks. A task belongs to a shard by the hash of its name, and shards are
owned. Each grant of a shard has a fencing token that only grows: the position of its entry in the
members' log, term before index.
"""

from dataclasses import dataclass, field
from typing import Annotated, ClassVar, NamedTuple

import xxhash
from msgspec import Meta

from dunlinlug.fleet.election.messages import LogPosition
from dunlinlug.fleet.ownership.fencing import FencingToken
from dunlinlug.fleet.wire_names import by_wire_name, wire

# Enough that fifty members own shares within a fifth of each other; one entry assigns all of them.
SHARDS = 256
MAX_CHECKPOINT_BYTES = 1024  # an operator override that names some twenty workers
INDEX_BITS = 32  # of a token: the index of the entry within its term


def shard_of(task: str, shards: int = SHARDS) -> int:
    """The shard that a task belongs to."""
    return xxhash.xxh32_intdigest(task.encode()) % shards


def token_at(position: LogPosition) -> int:
    """The fencing token of a grant that was made at this position of the log."""
    term, index = position
    return term << INDEX_BITS | index


def term_of(token: int) -> int:
    """The term in which a token was granted."""
    return token >> INDEX_BITS


ShardToken = tuple[int, int]  # a shard, and a token of it


class TaskCheckpoint(NamedTuple):
    """How far a task has come, for its next owner."""

    task: Annotated[str, Meta(max_length=128)]
    token: Annotated[int, Meta(ge=0)]  # under which it was done
    body: Annotated[bytes, Meta(max_length=MAX_CHECKPOINT_BYTES)]


@dataclass(frozen=True)
class RenewLease:
    """To the coordinator: extend the lease on all that I own."""

    WIRE_NAME: ClassVar[str] = "Renew"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))  # seconds on the sender's clock
    incarnation: int = field(metadata=wire("born"))  # a number drawn when its process started
    # Tokens that executors have seen of shards of the sender, and that its own do not exceed.
    outdated_tokens: tuple[ShardToken, ...] = field(default=(), metadata=wire("behind"))
    # Shards that the sender has given up as it was asked to, with the tokens it had.
    released: tuple[ShardToken, ...] = field(default=(), metadata=wire("away"))


@dataclass(frozen=True)
class LeaseGranted:
    """From the coordinator: what you own by our log up to `log_position` is yours for a while.

    The lease lasts `duration` seconds of the coordinator's clock from `sent_at`, and holds for the
    incarnation that asked for it.
    """

    WIRE_NAME: ClassVar[str] = "Granted"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))  # of the renewal, on its sender's clock
    duration: float = field(metadata=wire("left"))  # seconds
    log_position: LogPosition = field(metadata=wire("upto"))
    committed: LogPosition = field(metadata=wire("committed"))
    incarnation: int = field(metadata=wire("born"))


@dataclass(frozen=True)
class CheckpointReport:
    """To the coordinator: how far tasks of the sender have come."""

    WIRE_NAME: ClassVar[str] = "Note"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    items: tuple[TaskCheckpoint, ...] = field(metadata=wire("items"))

    def __post_init__(self) -> None:
        """Rows that come from the wire are plain tuples."""
        object.__setattr__(self, "items", tuple(TaskCheckpoint(*item) for item in self.items))


@dataclass(frozen=True)
class Effect:
    """To an executor: do this for a task."""

    WIRE_NAME: ClassVar[str] = "Effect"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    task: str = field(metadata=wire("piece"))
    token: int = field(metadata=wire("number"))
    sequence: int = field(metadata=wire("count"))  # among effects of its shard under this token
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class EffectResult:
    """An executor's answer to an effect."""

    WIRE_NAME: ClassVar[str] = "Outcome"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    task: str = field(metadata=wire("piece"))
    token: int = field(metadata=wire("number"))
    sequence: int = field(metadata=wire("count"))
    done: bool = field(metadata=wire("done"))
    # The token that the executor goes by, and its owner: another's where it has rejected.
    highest_token: int = field(metadata=wire("seen"))
    owner: str = field(metadata=wire("owner"))

    @classmethod
    def rejection(
        cls, executor: str, effect: Effect, highest: FencingToken, term: int = 0
    ) -> "EffectResult":
        """The answer to an effect that an executor has rejected, with the token that it goes by."""
        return cls(
            term,
            executor,
            effect.task,
            effect.token,
            effect.sequence,
            False,
            highest.number,
            highest.owner,
        )


@dataclass(frozen=True)
class WorkRequest:
    """To the owner of a task: somebody here asks for it to be done."""

    WIRE_NAME: ClassVar[str] = "Want"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    task: str = field(metadata=wire("piece"))
    body: bytes = field(metadata=wire("body"))


LeaseMessage = RenewLease | LeaseGranted | CheckpointReport  # between the members' protocols
Message = LeaseMessage | Effect | EffectResult | WorkRequest
MESSAGE_TYPES = by_wire_name(
    (RenewLease, LeaseGranted, CheckpointReport, Effect, EffectResult, WorkRequest)
)


@dataclass(frozen=True)
class SendMessage:
    """An order: send this to another member."""

    recipient: str
    message: LeaseMessage


@dataclass(frozen=True)
class LeaseHeld:
    """An order: these shards, with their tokens, are ours to act for from now on.

    The lease is to be checked again right before each effect leaves.
    """

    shards: frozenset[ShardToken]


@dataclass(frozen=True)
class OwnershipChanged:
    """An order: the log has another owner or token of a shard, or its owner is to release it."""

    shard: int
    owner: str
    token: int
    reason: str  # for people
