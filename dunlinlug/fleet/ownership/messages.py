"""Messages between members about ownership, and orders of the ownership protocol; plain values.

Work is divided into named tasks. The hash of a task's name determines its shard, and members own
shards. Each grant of a shard has a fencing token that only increases: the position of its entry in
the members' log, with the term in the high bits.
"""

from dataclasses import dataclass, field
from typing import Annotated, ClassVar, NamedTuple

import xxhash
from msgspec import Meta

from dunlinlug.fleet.election.messages import ClockSeconds, LogIndex, LogPosition, MemberName, Term
from dunlinlug.fleet.ownership.fencing import FencingToken
from dunlinlug.fleet.wire_names import by_wire_name, wire

# With 256 shards the shares of fifty members differ by at most a fifth, and one log entry can still
# assign all shards.
SHARDS = 256
MAX_TASK_NAME_LENGTH = 512
MAX_CHECKPOINT_BYTES = 1024  # fits an operator override that names about twenty workers
INDEX_BITS = 32  # low bits of a token: the index of the entry


def shard_of(task: str, shards: int = SHARDS) -> int:
    """Returns the shard that a task belongs to."""
    return xxhash.xxh32_intdigest(task.encode()) % shards


def token_at(position: LogPosition) -> int:
    """Returns the fencing token of a grant at a position of the log."""
    term, index = position
    return term << INDEX_BITS | index


def term_of(token: int) -> int:
    """Returns the term in which a token was granted."""
    return token >> INDEX_BITS


TaskName = Annotated[str, Meta(max_length=MAX_TASK_NAME_LENGTH)]
Token = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Incarnation = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# A shard, and a token of it.
ShardToken = tuple[Annotated[int, Meta(ge=0, lt=SHARDS)], Token]


class TaskCheckpoint(NamedTuple):
    """A task's progress, from which its next owner continues."""

    task: TaskName
    token: Token  # under which the progress was made
    body: Annotated[bytes, Meta(max_length=MAX_CHECKPOINT_BYTES)]


@dataclass(frozen=True)
class RenewLease:
    """Requests an extension of the lease on all shards of the sender from the coordinator."""

    WIRE_NAME: ClassVar[str] = "Renew"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    sent_at: ClockSeconds = field(metadata=wire("sent"))  # seconds on the sender's clock
    # A random number drawn when the sender's process started.
    incarnation: Incarnation = field(metadata=wire("born"))
    # Shards of the sender with tokens that executors have seen and the sender's do not exceed.
    outdated_tokens: tuple[ShardToken, ...] = field(default=(), metadata=wire("behind"))
    # Shards that the sender has released on request, with the tokens it held.
    released: tuple[ShardToken, ...] = field(default=(), metadata=wire("away"))


@dataclass(frozen=True)
class LeaseGranted:
    """Grants a lease on the shards that the recipient owns by the log up to `log_position`.

    The lease lasts for `duration` from `sent_at`, and is valid for the incarnation that asked for
    it.
    """

    WIRE_NAME: ClassVar[str] = "Granted"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    # When the renewal was sent, in seconds on the clock of the member that sent it.
    sent_at: ClockSeconds = field(metadata=wire("sent"))
    duration: ClockSeconds = field(metadata=wire("left"))  # seconds on the coordinator's clock
    log_position: LogPosition = field(metadata=wire("upto"))
    committed: LogPosition = field(metadata=wire("committed"))
    incarnation: Incarnation = field(metadata=wire("born"))


@dataclass(frozen=True)
class CheckpointReport:
    """Reports the progress of the sender's tasks to the coordinator."""

    WIRE_NAME: ClassVar[str] = "Note"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    items: tuple[TaskCheckpoint, ...] = field(metadata=wire("items"))

    def __post_init__(self) -> None:
        """Converts the items, which are plain tuples when they come from the wire."""
        object.__setattr__(self, "items", tuple(TaskCheckpoint(*item) for item in self.items))


@dataclass(frozen=True)
class Effect:
    """Requests that an executor carry out an effect of a task."""

    WIRE_NAME: ClassVar[str] = "Effect"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    task: TaskName = field(metadata=wire("piece"))
    token: Token = field(metadata=wire("number"))
    # Position among the effects of the task's shard under this token.
    sequence: LogIndex = field(metadata=wire("count"))
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class EffectResult:
    """Answers an effect."""

    WIRE_NAME: ClassVar[str] = "Outcome"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    task: TaskName = field(metadata=wire("piece"))
    token: Token = field(metadata=wire("number"))
    sequence: LogIndex = field(metadata=wire("count"))
    done: bool = field(metadata=wire("done"))
    # The highest token that the executor has for the shard, and that token's owner.
    highest_token: Token = field(metadata=wire("seen"))
    owner: MemberName = field(metadata=wire("owner"))

    @classmethod
    def rejection(
        cls, executor: str, effect: Effect, highest: FencingToken, term: int = 0
    ) -> "EffectResult":
        """Returns the answer to a rejected effect, with the executor's highest token."""
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
    """Requests work on a task from its owner, on behalf of the sender."""

    WIRE_NAME: ClassVar[str] = "Want"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    task: TaskName = field(metadata=wire("piece"))
    body: bytes = field(metadata=wire("body"))


LeaseMessage = RenewLease | LeaseGranted | CheckpointReport  # handled by the ownership protocol
Message = LeaseMessage | Effect | EffectResult | WorkRequest
MESSAGE_TYPES = by_wire_name(
    (RenewLease, LeaseGranted, CheckpointReport, Effect, EffectResult, WorkRequest)
)


@dataclass(frozen=True)
class SendMessage:
    """An order to send a message to another member."""

    recipient: str
    message: LeaseMessage


@dataclass(frozen=True)
class HeldShardsChanged:
    """An order that reports the new set of shards, with tokens, that this member may act for.

    The lease must be checked again right before each effect is sent.
    """

    shards: frozenset[ShardToken]


@dataclass(frozen=True)
class OwnershipChanged:
    """An order that reports a shard's new owner or token, or that its owner must release it."""

    shard: int
    owner: str
    token: int
    reason: str  # for logs and status output
