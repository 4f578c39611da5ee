"""The entries of the ownership log, and the assignment table that they build.

The table is the same wherever the same entries were applied. Free of I/O and time.
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

MAX_CHECKPOINTS = 16384  # tasks whose progress is stored, the oldest is dropped first

MemberName = Annotated[str, Meta(max_length=64)]
Shard = Annotated[int, Meta(ge=0)]


class LogEntry(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One entry of the log; on the wire an array that begins with the entry's tag."""


class TermStarted(LogEntry, frozen=True, tag="b"):
    """A coordinator's term begins; by committing it, what came before is committed as well."""


class Assign(LogEntry, frozen=True, tag="d"):
    """From here on each of these shards has this owner, and this entry's position as its token."""

    owners: tuple[tuple[Shard, MemberName], ...]
    reason: Annotated[str, Meta(max_length=200)]


class Revoke(LogEntry, frozen=True, tag="c"):
    """The owners are asked to release these shards, each for another member."""

    targets: tuple[tuple[Shard, MemberName], ...]


class MemberRestarted(LogEntry, frozen=True, tag="l"):
    """A member restarted: what it owns has this entry's position as its token.

    So effects of the incarnation before are rejected.
    """

    member: MemberName
    incarnation: Annotated[int, Meta(ge=0)]


class Checkpoint(LogEntry, frozen=True, tag="n"):
    """How far tasks have come, each under its shard's token; an empty body ends a record."""

    items: tuple[TaskCheckpoint, ...]


AnyLogEntry = TermStarted | Assign | Revoke | MemberRestarted | Checkpoint


@dataclass(frozen=True)
class AssignmentChange:
    """A shard's owner or token is another, or its owner is asked to release it for `target`."""

    shard: int
    owner: str
    token: int
    reason: str  # for people
    target: str = ""  # empty unless the shard is revoked


class StoredCheckpoint(NamedTuple):
    """How far a task had come, and the token under which that was reported."""

    token: int
    body: bytes


NO_CHECKPOINT = StoredCheckpoint(0, b"")


class TableSnapshot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An assignment table on the wire, as an array of its fields."""

    owners: list[MemberName]
    tokens: list[int]
    revoking: dict[int, MemberName]
    incarnations: dict[MemberName, int]
    checkpoints: list[tuple[str, StoredCheckpoint]]


class LogFormatError(DunlinlugError, ValueError):
    """An entry or a snapshot that is not of this format."""


class AssignmentTable:
    """Who owns which shard, and what else the log says.

    Attributes:
        owners: by shard, the owner's name; empty where nobody owns it.
        tokens: by shard, the fencing token of its last assignment.
        revoking: by shard that its owner is asked to release, the member it is meant for.
        incarnations: by member, the last one that the log knows.
        checkpoints: by task, the oldest first.
    """

    def __init__(self, shards: int = SHARDS) -> None:
        self.owners = [""] * shards
        self.tokens = [0] * shards
        self.revoking: dict[int, str] = {}
        self.incarnations: dict[str, int] = {}
        self.checkpoints: dict[str, StoredCheckpoint] = {}

    def clone(self) -> "AssignmentTable":
        """An independent copy."""
        duplicate = AssignmentTable(0)
        duplicate.owners = self.owners.copy()
        duplicate.tokens = self.tokens.copy()
        duplicate.revoking = dict(self.revoking)
        duplicate.incarnations = dict(self.incarnations)
        duplicate.checkpoints = dict(self.checkpoints)
        return duplicate

    def shards_of(self, member: str) -> list[int]:
        """The shards that a member owns, in order."""
        return [shard for shard, owner in enumerate(self.owners) if owner == member]

    def shard_of(self, task: str) -> int:
        """The shard that a task belongs to."""
        return shard_of(task, len(self.owners))

    def checkpoint_of(self, task: str) -> StoredCheckpoint:
        """The last checkpoint of a task; `NO_CHECKPOINT` if there is none."""
        return self.checkpoints.get(task, NO_CHECKPOINT)

    def apply(self, entry: AnyLogEntry, position: LogPosition) -> list[AssignmentChange]:
        """Apply the entry at this position of the log, and return what it changes."""
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
            yield AssignmentChange(shard, member, token, "began anew")

    def _store_checkpoints(self, items: Iterable[TaskCheckpoint]) -> None:
        """Store what was reported under the present token of the task's shard."""
        for task, token, body in items:
            if token != self.tokens[self.shard_of(task)]:
                continue
            self.checkpoints.pop(task, None)
            if body:
                while len(self.checkpoints) >= MAX_CHECKPOINTS:
                    del self.checkpoints[next(iter(self.checkpoints))]
                self.checkpoints[task] = StoredCheckpoint(token, body)

    def differences(self, previous: "AssignmentTable", reason: str) -> list[AssignmentChange]:
        """The shards of which another table of the same size has another token."""
        return [
            AssignmentChange(shard, self.owners[shard], token, reason)
            for shard, token in enumerate(self.tokens)
            if token != previous.tokens[shard]
        ]

    def snapshot(self) -> bytes:
        """The table on the wire."""
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
    """An entry on the wire."""
    return msgspec.msgpack.encode(entry)


def decode_entry(body: bytes) -> AnyLogEntry:
    """An entry from the wire.

    Raises:
        LogFormatError: The bytes are not an entry of this version.
    """
    try:
        return ENTRY_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise LogFormatError(f"not an entry: {error}") from None


def decode_snapshot(body: bytes, shards: int) -> AssignmentTable:
    """A table from the wire.

    Raises:
        LogFormatError: The bytes are not a snapshot, or one of another number of shards, which all
            members need to have alike.
    """
    try:
        snapshot = SNAPSHOT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise LogFormatError(f"not the whole: {error}") from None
    found = len(snapshot.owners)
    if found != shards or len(snapshot.tokens) != shards:
        raise LogFormatError(f"it has {found} slots, we {shards}; all members need the same")
    table = AssignmentTable(shards)
    table.owners = snapshot.owners
    table.tokens = snapshot.tokens
    table.revoking = snapshot.revoking
    table.incarnations = snapshot.incarnations
    table.checkpoints = dict(snapshot.checkpoints)
    return table
