"""What members say to each other about who owns which work, and what the machine asks of its host;
plain values.

Work is named pieces; a piece falls into a slot by its name, and slots are owned. Each grant of a
slot bears a number that only grows: the place of its entry in the members' log, term before index.
"""

from dataclasses import dataclass, field
from typing import ClassVar

import xxhash

from dunlinlug.fleet.election.messages import LogPosition
from dunlinlug.fleet.ownership.fencing import FencingToken
from dunlinlug.fleet.wire_names import by_wire_name, wire

# shares that fifty members can be dealt within a fifth of evenly; one entry deals all of them anew
SHARDS = 256
INDEX_BITS = 32  # of a number: entries of one term


def shard_of(task: str, shards: int = SHARDS) -> int:
    return xxhash.xxh32_intdigest(task.encode()) % shards


def token_at(position: LogPosition) -> int:
    """The number of a grant made at this place of the log."""
    return position[0] << INDEX_BITS | position[1]


def term_of(token: int) -> int:
    return token >> INDEX_BITS


@dataclass(frozen=True)
class RenewLease:
    """To the steward: I am here, in my life `born`, a number drawn at its start; `sent` is on my
    clock. `behind`: of slots that I own, numbers that carriers have seen and mine does not
    exceed; `away`: slots and numbers that I have given up as I was asked to.
    """

    WIRE_NAME: ClassVar[str] = "Renew"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    incarnation: int = field(metadata=wire("born"))
    outdated_tokens: tuple[tuple[int, int], ...] = field(default=(), metadata=wire("behind"))
    released: tuple[tuple[int, int], ...] = field(default=(), metadata=wire("away"))


@dataclass(frozen=True)
class LeaseGranted:
    """From the steward: what you own by our log up to `upto` is yours for `left` seconds of my
    clock from when you `sent`, in the life that you were `born` to; all of the log up to
    `committed` is with a majority.
    """

    WIRE_NAME: ClassVar[str] = "Granted"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    duration: float = field(metadata=wire("left"))
    log_position: LogPosition = field(metadata=wire("upto"))
    committed: LogPosition = field(metadata=wire("committed"))
    incarnation: int = field(metadata=wire("born"))


@dataclass(frozen=True)
class CheckpointReport:
    """To the steward: how far pieces have come, each with the number under which it was done and a
    short body.
    """

    WIRE_NAME: ClassVar[str] = "Note"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    items: tuple[tuple[str, int, bytes], ...] = field(metadata=wire("items"))


@dataclass(frozen=True)
class Effect:
    """To a carrier: this is to be done for a piece, as the `count`th effect of its slot under this
    number.
    """

    WIRE_NAME: ClassVar[str] = "Effect"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    task: str = field(metadata=wire("piece"))
    token: int = field(metadata=wire("number"))
    sequence: int = field(metadata=wire("count"))
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class EffectResult:
    """A carrier's answer. `seen` is the number that it goes by, with its owner: another's where it
    has refused.
    """

    WIRE_NAME: ClassVar[str] = "Outcome"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    task: str = field(metadata=wire("piece"))
    token: int = field(metadata=wire("number"))
    sequence: int = field(metadata=wire("count"))
    done: bool = field(metadata=wire("done"))
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
    """To the owner of a piece: somebody here asks for it to be done."""

    WIRE_NAME: ClassVar[str] = "Want"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    task: str = field(metadata=wire("piece"))
    body: bytes = field(metadata=wire("body"))


Message = RenewLease | LeaseGranted | CheckpointReport | Effect | EffectResult | WorkRequest
MESSAGE_TYPES = by_wire_name(
    (RenewLease, LeaseGranted, CheckpointReport, Effect, EffectResult, WorkRequest)
)


@dataclass(frozen=True)
class LeaseHeld:
    """Slots that are ours to act for, from now on, with their numbers. Asked again right before
    each effect leaves.
    """

    shards: frozenset[tuple[int, int]]


@dataclass(frozen=True)
class OwnershipChanged:
    """The log says that a slot has another owner or number, or that its owner is asked to give it
    up; and why.
    """

    shard: int
    owner: str
    token: int
    reason: str


@dataclass(frozen=True)
class EffectRejected:
    """What a sender wanted was refused here: a lower number, another line, or no owner of it."""

    sender: str
    task: str
    token: int
    reason: str
