"""What members say to each other, and what the machine asks of its host; plain values."""

from dataclasses import dataclass, field
from typing import ClassVar

from dunlinlug.fleet.wire_names import wire

LogPosition = tuple[
    int, int
]  # the term in which the last entry was made, and its number; compared in this order

NO_POSITION: LogPosition = (0, 0)


@dataclass(frozen=True)
class VoterSet:
    """Who belongs to the set: ids by a version that each change raises."""

    version: int
    members: tuple[str, ...]

    def quorum(self) -> int:
        return len(self.members) // 2 + 1


@dataclass(frozen=True)
class VoteRequest:
    """Wants votes for a term; a `probe` only asks whether it would be given one. `handed`: the
    master has stopped and passed on to the sender, so that promises made to it bind nobody.
    """

    WIRE_NAME: ClassVar[str] = "Ask"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    position: LogPosition = field(metadata=wire("position"))
    pre_vote: bool = field(metadata=wire("probe"))
    leadership_transfer: bool = field(default=False, metadata=wire("handed"))


@dataclass(frozen=True)
class VoteResponse:
    """`blank`: the voter has just started and remembers nothing."""

    WIRE_NAME: ClassVar[str] = "Answer"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    request_term: int = field(metadata=wire("asked"))
    pre_vote: bool = field(metadata=wire("probe"))
    granted: bool = field(metadata=wire("granted"))
    recovering: bool = field(metadata=wire("blank"))


@dataclass(frozen=True)
class AppendEntries:
    """From the master: entries after `base`, all of its term. `sent` is on its own clock."""

    WIRE_NAME: ClassVar[str] = "Beat"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    voter_set: VoterSet = field(metadata=wire("roll"))
    previous_position: LogPosition = field(metadata=wire("base"))
    entries: tuple[bytes, ...] = field(metadata=wire("entries"))


@dataclass(frozen=True)
class Snapshot:
    """From the master: all that stands, at a position."""

    WIRE_NAME: ClassVar[str] = "Whole"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    voter_set: VoterSet = field(metadata=wire("roll"))
    position: LogPosition = field(metadata=wire("position"))
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class AppendResponse:
    """To a master: where this member stands; `follows` is false where it needs the whole."""

    WIRE_NAME: ClassVar[str] = "Heard"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    position: LogPosition = field(metadata=wire("position"))
    accepted: bool = field(metadata=wire("follows"))


@dataclass(frozen=True)
class TransferLeadership:
    """From a master that has stopped ordering: the receiver is to stand at once."""

    WIRE_NAME: ClassVar[str] = "Pass"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))


Message = (
    VoteRequest | VoteResponse | AppendEntries | Snapshot | AppendResponse | TransferLeadership
)


@dataclass(frozen=True)
class Send:
    recipient: str
    message: Message


@dataclass(frozen=True)
class Persist:
    """To be on disk before anything that comes after it is sent."""

    term: int
    voted_for: str
    voter_set: VoterSet


@dataclass(frozen=True)
class BecomeLeader:
    """Master of this term from now on; the first entry is the host's to append."""

    term: int


@dataclass(frozen=True)
class StepDown:
    """No master any more."""

    reason: str


@dataclass(frozen=True)
class ApplyEntry:
    entry: bytes
    position: LogPosition


@dataclass(frozen=True)
class RestoreSnapshot:
    body: bytes
    position: LogPosition


@dataclass(frozen=True)
class Committed:
    """A majority has all entries up to this position: their effects may leave."""

    position: LogPosition


@dataclass(frozen=True)
class SnapshotNeeded:
    """This member needs the whole: the host gives it to `Machine.whole`."""

    recipient: str


Order = (
    Send
    | Persist
    | BecomeLeader
    | StepDown
    | ApplyEntry
    | RestoreSnapshot
    | Committed
    | SnapshotNeeded
)
