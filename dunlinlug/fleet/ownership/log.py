"""The entries of the ownership log, and the assignment table that they build.

The table depends only on the entries applied, so it is the same on all members. Free of I/O and
time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.election.messages import LogPosition
from dunlinlug.fleet.ownership.messages import (
    SHARDS,
    TaskCheckpoint,
    shard_of,
    token_at,
)

MAX_CHECKPOINTS = 16384  # tasks with a stored checkpoint; the oldest is dropped first

MemberName = Annotated[str, Meta(max_length=64)]
Shard = Annotated[int, Meta(ge=0)]


class LogEntry(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A log entry; on the wire it is an array that begins with the entry's tag."""


class TermStarted(LogEntry, frozen=True, tag="b"):
    """Starts a coordinator's term; committing it also commits all entries before it."""


class Assign(LogEntry, frozen=True, tag="d"):
    """Assigns shards to owners; this entry's position becomes the shards' token."""

    owners: tuple[tuple[Shard, MemberName], ...]
    reason: Annotated[str, Meta(max_length=200)]


class Revoke(LogEntry, frozen=True, tag="c"):
    """Requires the owners of shards to release them, each for another member."""

    targets: tuple[tuple[Shard, MemberName], ...]


class MemberRestarted(LogEntry, frozen=True, tag="l"):
    """Records a member's restart; this entry's position becomes the token of the member's shards.

    Effects of the member's earlier incarnation are therefore rejected.
    """

    member: MemberName
    incarnation: Annotated[int, Meta(ge=0)]


class Checkpoint(LogEntry, frozen=True, tag="n"):
    """Stores tasks' progress under their shards' tokens; an empty body deletes a checkpoint."""

    items: tuple[TaskCheckpoint, ...]


AnyLogEntry = TermStarted | Assign | Revoke | MemberRestarted | Checkpoint


@dataclass(frozen=True)
class AssignmentChange:
    """A change of a shard's owner or token, or a request to its owner to release the shard.

    Attributes:
        shard: The shard.
        owner: Its owner after the change.
        token: Its token after the change.
        reason: Why it changed, for logs and status output.
        target: The member to release the shard for; empty unless the shard is revoked.
    """

    shard: int
    owner: str
    token: int
    reason: str
    target: str = ""


class StoredCheckpoint(NamedTuple):
    """A task's progress and the token under which it was reported."""

    token: int
    body: bytes


NO_CHECKPOINT = StoredCheckpoint(0, b"")


class TableSnapshot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The wire form of an assignment table: an array of its fields."""

    owners: list[MemberName]
    tokens: list[int]
    revoking: dict[int, MemberName]
    incarnations: dict[MemberName, int]
    checkpoints: list[tuple[str, StoredCheckpoint]]


class LogFormatError(DunlinlugError, ValueError):
    """An entry or a snapshot is not in this version's format."""


class AssignmentTable:
    """The state that the log's entries build: owners and tokens of shards, and checkpoints.

    Attributes:
        owners: The owner's name by shard; empty for an unowned shard.
        tokens: The current fencing token by shard.
        revoking: The target member by shard, for each shard whose owner is asked to release it.
        incarnations: The last logged incarnation by member.
        checkpoints: Checkpoints by task, oldest first.
    """

    def __init__(self, shards: int = SHARDS) -> None:
        self.owners = [""] * shards
        self.tokens = [0] * shards
        self.revoking: dict[int, str] = {}
        self.incarnations: dict[str, int] = {}
        self.checkpoints: dict[str, StoredCheckpoint] = {}

    def clone(self) -> "AssignmentTable":
        """Returns an independent copy."""
        duplicate = AssignmentTable(0)
        duplicate.owners = self.owners.copy()
        duplicate.tokens = self.tokens.copy()
        duplicate.revoking = dict(self.revoking)
        duplicate.incarnations = dict(self.incarnations)
        duplicate.checkpoints = dict(self.checkpoints)
        return duplicate

    def shards_of(self, member: str) -> list[int]:
        """Returns the shards that a member owns, in ascending order."""
        return [shard for shard, owner in enumerate(self.owners) if owner == member]

    def shard_of(self, task: str) -> int:
        """Returns the shard that a task belongs to."""
        return shard_of(task, len(self.owners))

    def checkpoint_of(self, task: str) -> StoredCheckpoint:
        """Returns the last checkpoint of a task; `NO_CHECKPOINT` if there is none."""
        return self.checkpoints.get(task, NO_CHECKPOINT)

    def apply(self, entry: AnyLogEntry, position: LogPosition) -> list[AssignmentChange]:
        """Applies the entry at a log position and returns the changes of assignments."""
        token = token_at(position)
        match entry:
            case Assign(owners, reason):
                return list(self._assign(owners, token, reason))
            case Revoke(targets):
                return list(self._revoke(targets))
            case MemberRestarted(member, incarnation):
                self.incarnations[member] = incarnation
                return list(self._renumber(member, token))
            case Checkpoint(items):
                self._store_checkpoints(items)
        return []

    def _known_shards(self, rows: Iterable[tuple[int, str]]) -> Iterator[tuple[int, str]]:
        return ((shard, member) for shard, member in rows if shard < len(self.owners))

    def _assign(
        self, owners: Iterable[tuple[int, str]], token: int, reason: str
    ) -> Iterator[AssignmentChange]:
        for shard, owner in self._known_shards(owners):
            self.owners[shard] = owner
            self.tokens[shard] = token
            self.revoking.pop(shard, None)
            yield AssignmentChange(shard, owner, token, reason)

    def _revoke(self, targets: Iterable[tuple[int, str]]) -> Iterator[AssignmentChange]:
        for shard, target in self._known_shards(targets):
            self.revoking[shard] = target
            owner = self.owners[shard]
            yield AssignmentChange(shard, owner, self.tokens[shard], "moved", target)

    def _renumber(self, member: str, token: int) -> Iterator[AssignmentChange]:
        for shard in self.shards_of(member):
            self.tokens[shard] = token
            yield AssignmentChange(shard, member, token, "owner restarted")

    def _store_checkpoints(self, items: Iterable[TaskCheckpoint]) -> None:
        """Stores the checkpoints that were made under the current token of their task's shard."""
        for task, token, body in items:
            if token != self.tokens[self.shard_of(task)]:
                continue
            self.checkpoints.pop(task, None)
            if body:
                while len(self.checkpoints) >= MAX_CHECKPOINTS:
                    del self.checkpoints[next(iter(self.checkpoints))]
                self.checkpoints[task] = StoredCheckpoint(token, body)

    def differences(self, previous: "AssignmentTable", reason: str) -> list[AssignmentChange]:
        """Returns the shards whose tokens differ from those of a table of the same size."""
        return [
            AssignmentChange(shard, self.owners[shard], token, reason)
            for shard, token in enumerate(self.tokens)
            if token != previous.tokens[shard]
        ]

    def snapshot(self) -> bytes:
        """Returns the wire form of the table."""
        return msgspec.msgpack.encode(
            TableSnapshot(
                self.owners,
                self.tokens,
                self.revoking,
                self.incarnations,
                list(self.checkpoints.items()),
            )
        )


ENTRY_DECODER = msgspec.msgpack.Decoder(AnyLogEntry)
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(TableSnapshot)


def encode_entry(entry: AnyLogEntry) -> bytes:
    """Returns the wire form of an entry."""
    return msgspec.msgpack.encode(entry)


def decode_entry(body: bytes) -> AnyLogEntry:
    """Decodes an entry from its wire form.

    Raises:
        LogFormatError: The bytes are not an entry of this version.
    """
    try:
        return ENTRY_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise LogFormatError(f"invalid log entry: {error}") from None


def decode_snapshot(body: bytes, shards: int) -> AssignmentTable:
    """Decodes a table from its wire form.

    Raises:
        LogFormatError: The bytes are not a snapshot, or the snapshot has another number of shards.
            All members must be configured with the same number.
    """
    try:
        snapshot = SNAPSHOT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise LogFormatError(f"invalid snapshot: {error}") from None
    found = len(snapshot.owners)
    if found != shards or len(snapshot.tokens) != shards:
        raise LogFormatError(
            f"snapshot has {found} shards, expected {shards}; all members need the same number"
        )
    table = AssignmentTable(shards)
    table.owners = snapshot.owners
    table.tokens = snapshot.tokens
    table.revoking = snapshot.revoking
    table.incarnations = snapshot.incarnations
    table.checkpoints = dict(snapshot.checkpoints)
    return table
