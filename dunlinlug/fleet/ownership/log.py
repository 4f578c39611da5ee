"""Who owns what, as the members' log says: the same wherever the same entries were taken. Free of
I/O and time.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.election.messages import LogPosition
from dunlinlug.fleet.ownership.messages import SHARDS, shard_of, token_at

MAX_CHECKPOINTS = 16384  # pieces whose progress is kept, the oldest out first; a ramp or a pin each
MAX_CHECKPOINT_BYTES = 1024  # bytes of one: a pin that names some twenty workers

MemberName = Annotated[str, Meta(max_length=64)]
Shard = Annotated[int, Meta(ge=0)]


class LogEntry(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One entry of the log."""


class TermStarted(LogEntry, frozen=True, tag="b"):
    """A steward's term begins; what came before is sealed by it."""


class Assign(LogEntry, frozen=True, tag="d"):
    """From here on each of these slots has this owner, and this entry's number."""

    owners: tuple[tuple[Shard, MemberName], ...]
    reason: Annotated[str, Meta(max_length=200)]


class Revoke(LogEntry, frozen=True, tag="c"):
    """Owners are asked to give these slots up to others, in good order."""

    targets: tuple[tuple[Shard, MemberName], ...]


class MemberRestarted(LogEntry, frozen=True, tag="l"):
    """A member began anew: what it owns has this entry's number, so that its former life's effects
    are refused.
    """

    member: MemberName
    incarnation: Annotated[int, Meta(ge=0)]


class Checkpoint(LogEntry, frozen=True, tag="n"):
    """How far pieces have come, each under its slot's number; an empty body ends a record."""

    items: tuple[
        tuple[
            Annotated[str, Meta(max_length=128)],
            Annotated[int, Meta(ge=0)],
            Annotated[bytes, Meta(max_length=MAX_CHECKPOINT_BYTES)],
        ],
        ...,
    ]


AnyLogEntry = TermStarted | Assign | Revoke | MemberRestarted | Checkpoint


@dataclass(frozen=True)
class AssignmentChange:
    """A slot's owner or number is another, or it is to be given `to` somebody."""

    shard: int
    owner: str
    token: int
    reason: str
    target: str = ""


class LogFormatError(DunlinlugError, ValueError):
    """An entry or a whole that is not of this format."""


class AssignmentTable:
    """`owners` by slot, nobody where empty, and `numbers` of their grants; `closing` tells to whom
    a slot goes; `lives` by member; `records` by piece with the number under which each was
    noted.
    """

    def __init__(self, shards: int = SHARDS) -> None:
        self.owners = [""] * shards
        self.tokens = [0] * shards
        self.revoking: dict[int, str] = {}
        self.incarnations: dict[str, int] = {}
        self.checkpoints: dict[str, tuple[int, bytes]] = {}

    def clone(self) -> "AssignmentTable":
        duplicate = AssignmentTable(0)
        duplicate.owners = self.owners.copy()
        duplicate.tokens = self.tokens.copy()
        duplicate.revoking = dict(self.revoking)
        duplicate.incarnations = dict(self.incarnations)
        duplicate.checkpoints = dict(self.checkpoints)
        return duplicate

    def shards_of(self, member: str) -> list[int]:
        return [shard for shard, owner in enumerate(self.owners) if owner == member]

    def shard_of(self, task: str) -> int:
        return shard_of(task, len(self.owners))

    def apply(self, entry: AnyLogEntry, position: LogPosition) -> list[AssignmentChange]:
        """One entry at its place; tells what changes."""
        token = token_at(position)
        changes = list[AssignmentChange]()
        match entry:
            case Assign(owners, reason):
                for shard, owner in owners:
                    if shard < len(self.owners):
                        self.owners[shard], self.tokens[shard] = owner, token
                        self.revoking.pop(shard, None)
                        changes.append(AssignmentChange(shard, owner, token, reason))
            case Revoke(targets):
                for shard, member in targets:
                    if shard < len(self.owners):
                        self.revoking[shard] = member
                        changes.append(
                            AssignmentChange(
                                shard, self.owners[shard], self.tokens[shard], "moved", member
                            )
                        )
            case MemberRestarted(member, incarnation):
                self.incarnations[member] = incarnation
                for shard in self.shards_of(member):
                    self.tokens[shard] = token
                    changes.append(AssignmentChange(shard, member, token, "began anew"))
            case Checkpoint(items):
                for task, checkpoint_token, body in items:
                    if checkpoint_token == self.tokens[self.shard_of(task)]:
                        self._store_checkpoint(task, checkpoint_token, body)
        return changes

    def _store_checkpoint(self, task: str, token: int, body: bytes) -> None:
        self.checkpoints.pop(task, None)
        if body:
            while len(self.checkpoints) >= MAX_CHECKPOINTS:
                del self.checkpoints[next(iter(self.checkpoints))]
            self.checkpoints[task] = (token, body)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            (
                self.owners,
                self.tokens,
                self.revoking,
                self.incarnations,
                list(self.checkpoints.items()),
            )
        )


DECODER = msgspec.msgpack.Decoder(AnyLogEntry)
SnapshotFields = tuple[
    list[MemberName],
    list[int],
    dict[int, MemberName],
    dict[MemberName, int],
    list[tuple[str, tuple[int, bytes]]],
]


def encode_entry(entry: AnyLogEntry) -> bytes:
    return msgspec.msgpack.encode(entry)


def decode_entry(entry: bytes) -> AnyLogEntry:
    """Raises Fault."""
    try:
        return DECODER.decode(entry)
    except msgspec.DecodeError as error:
        raise LogFormatError(f"not an entry: {error}") from None


def decode_snapshot(body: bytes, shards: int) -> AssignmentTable:
    """Raises Fault, also for another number of slots: all members need the same."""
    try:
        owners, tokens, revoking, incarnations, checkpoints = msgspec.msgpack.decode(
            body, type=SnapshotFields
        )
    except msgspec.DecodeError as error:
        raise LogFormatError(f"not the whole: {error}") from None
    if not len(owners) == len(tokens) == shards:
        raise LogFormatError(f"it has {len(owners)} slots, we {shards}; all members need the same")
    table = AssignmentTable(shards)
    table.owners = owners
    table.tokens = tokens
    table.revoking = revoking
    table.incarnations = incarnations
    table.checkpoints = dict(checkpoints)
    return table
