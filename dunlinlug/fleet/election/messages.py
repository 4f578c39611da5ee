"""Messages between the members of a replicated log, and the protocol's orders to its service.

All are plain values. The messages are those of Raft (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014) with a pre-vote and leadership transfer (Ongaro's thesis,
2014, sections 9.6 and 3.10). Wire names are declared beside the fields: see `wire_names`.
"""

from dataclasses import dataclass, field
from typing import Annotated, ClassVar

from msgspec import Meta

from dunlinlug.bounded_values import MAX_NAME_LENGTH
from dunlinlug.fleet.wire_names import wire

# Bounds of what a member sends. Fencing tokens have 31 bits for the term.
Term = Annotated[int, Meta(ge=0, lt=2**31)]
LogIndex = Annotated[int, Meta(ge=0, le=2**53)]
MemberName = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
ClockSeconds = Annotated[float, Meta(ge=-1e12, le=1e12)]
# The term of a log entry and its index; compared in this order.
LogPosition = tuple[Term, LogIndex]
NO_POSITION: LogPosition = (0, 0)  # position of an empty log


@dataclass(frozen=True)
class VoterSet:
    """The names of the voting members, and a version that each change increments."""

    version: LogIndex
    members: tuple[MemberName, ...]

    def quorum(self) -> int:
        """Returns how many members form a majority."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True)
class VoteRequest:
    """Requests a vote in a term (Raft's RequestVote).

    Attributes:
        term: The term of the election.
        sender: The candidate.
        position: Position of the candidate's last log entry.
        pre_vote: Whether this is a pre-vote, in which the voter only answers whether it would grant
            its vote.
        leadership_transfer: Whether the leader has stepped down in favour of the candidate, which
            releases the voters from their promises to that leader.
    """

    WIRE_NAME: ClassVar[str] = "Ask"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    position: LogPosition = field(metadata=wire("position"))
    pre_vote: bool = field(metadata=wire("probe"))
    leadership_transfer: bool = field(default=False, metadata=wire("handed"))


@dataclass(frozen=True)
class VoteResponse:
    """Responds to a vote request.

    Attributes:
        term: The voter's own term.
        sender: The voter.
        request_term: The term of the request.
        pre_vote: Whether the request was a pre-vote.
        granted: Whether the vote is granted.
        recovering: Whether the voter has an empty log and restarted recently, so that it may have
            lost entries.
    """

    WIRE_NAME: ClassVar[str] = "Answer"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    request_term: Term = field(metadata=wire("asked"))
    pre_vote: bool = field(metadata=wire("probe"))
    granted: bool = field(metadata=wire("granted"))
    recovering: bool = field(metadata=wire("blank"))


@dataclass(frozen=True)
class AppendEntries:
    """The leader's log entries; without entries it is a heartbeat.

    Attributes:
        term: The leader's term, which is also that of all entries.
        sender: The leader.
        sent_at: The send time in seconds on the leader's clock; the response repeats it.
        voter_set: The leader's voter set.
        previous_position: Position of the log entry before `entries`.
        entries: New log entries, oldest first.
    """

    WIRE_NAME: ClassVar[str] = "Beat"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    sent_at: ClockSeconds = field(metadata=wire("sent"))
    voter_set: VoterSet = field(metadata=wire("roll"))
    previous_position: LogPosition = field(metadata=wire("base"))
    entries: tuple[bytes, ...] = field(metadata=wire("entries"))


@dataclass(frozen=True)
class Snapshot:
    """The leader's state at a log position, which replaces all entries up to there.

    Attributes:
        term: The leader's term.
        sender: The leader.
        sent_at: The send time in seconds on the leader's clock; the response repeats it.
        voter_set: The leader's voter set.
        position: Position of the last log entry that the state includes.
        body: The state as serialized by the service.
    """

    WIRE_NAME: ClassVar[str] = "Whole"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    sent_at: ClockSeconds = field(metadata=wire("sent"))
    voter_set: VoterSet = field(metadata=wire("roll"))
    position: LogPosition = field(metadata=wire("position"))
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class AppendResponse:
    """Responds to the leader's entries, heartbeat or snapshot.

    Attributes:
        term: The member's own term.
        sender: The member.
        sent_at: The `sent_at` of the message to which this responds.
        position: Position of the member's last log entry.
        accepted: Whether the member's log matches the leader's; if not, it needs a snapshot.
    """

    WIRE_NAME: ClassVar[str] = "Heard"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))
    sent_at: ClockSeconds = field(metadata=wire("sent"))
    position: LogPosition = field(metadata=wire("position"))
    accepted: bool = field(metadata=wire("follows"))


@dataclass(frozen=True)
class TransferLeadership:
    """Sent by a leader that has stepped down: the receiver starts an election immediately."""

    WIRE_NAME: ClassVar[str] = "Pass"
    term: Term = field(metadata=wire("term"))
    sender: MemberName = field(metadata=wire("sender"))


Message = (
    VoteRequest | VoteResponse | AppendEntries | Snapshot | AppendResponse | TransferLeadership
)


@dataclass(frozen=True)
class Send:
    """Send a message to a member; the message may be lost."""

    recipient: str
    message: Message


@dataclass(frozen=True)
class Persist:
    """Write this state to disk before executing any later order."""

    term: int
    voted_for: str
    voter_set: VoterSet


@dataclass(frozen=True)
class BecomeLeader:
    """This member leads the term from now on; the service appends the term's first entry."""

    term: int


@dataclass(frozen=True)
class StepDown:
    """This member stops being leader; `reason` is a text for operators."""

    reason: str


@dataclass(frozen=True)
class ApplyEntry:
    """Apply a leader's log entry to the replicated state."""

    entry: bytes
    position: LogPosition


@dataclass(frozen=True)
class RestoreSnapshot:
    """Replace the replicated state with a leader's snapshot."""

    body: bytes
    position: LogPosition


@dataclass(frozen=True)
class Committed:
    """A majority has all entries up to this position; their effects may now be carried out."""

    position: LogPosition


@dataclass(frozen=True)
class SnapshotNeeded:
    """Create a snapshot for this member and pass it to `ElectionProtocol.send_snapshot`."""

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
