"""Messages between the members of a replicated log, and the protocol's orders to its service.

Plain values. The messages are those of Raft (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014) with a pre-vote and a planned transfer of leadership (Ongaro's thesis,
2014, sections 9.6 and 3.10). Names on the wire are declared beside the fields: see `wire_names`.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from dunlinlug.fleet.wire_names import wire

# The term in which an entry was made and its index in the log; compared in this order.
LogPosition = tuple[int, int]
NO_POSITION: LogPosition = (0, 0)  # of an empty log


@dataclass(frozen=True)
class VoterSet:
    """Who votes: the members' names, under a version that each change raises by one."""

    version: int
    members: tuple[str, ...]

    def quorum(self) -> int:
        """How many members are a majority."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True)
class VoteRequest:
    """Asks for a vote in a term.

    Attributes:
        term: The term of the election.
        sender: The candidate.
        position: Its last log entry.
        pre_vote: It only asks whether it would be given the vote.
        leadership_transfer: The leader has stepped down in its favour, so that promises made to
            that leader bind nobody.
    """

    WIRE_NAME: ClassVar[str] = "Ask"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    position: LogPosition = field(metadata=wire("position"))
    pre_vote: bool = field(metadata=wire("probe"))
    leadership_transfer: bool = field(default=False, metadata=wire("handed"))


@dataclass(frozen=True)
class VoteResponse:
    """Answers a vote request.

    Attributes:
        term: The voter's own term.
        sender: The voter.
        request_term: The term of the request.
        pre_vote: Whether the request was a pre-vote.
        granted: Whether the vote is given.
        recovering: The voter has just started with an empty log, and may have known more.
    """

    WIRE_NAME: ClassVar[str] = "Answer"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    request_term: int = field(metadata=wire("asked"))
    pre_vote: bool = field(metadata=wire("probe"))
    granted: bool = field(metadata=wire("granted"))
    recovering: bool = field(metadata=wire("blank"))


@dataclass(frozen=True)
class AppendEntries:
    """The leader's log entries, or none: it is the heartbeat too.

    Attributes:
        term: The leader's term; all entries were made in it.
        sender: The leader.
        sent_at: When it was sent, in seconds on the leader's clock; the answer repeats it.
        voter_set: Who votes.
        previous_position: The log entry before `entries`.
        entries: What follows it, oldest first.
    """

    WIRE_NAME: ClassVar[str] = "Beat"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    voter_set: VoterSet = field(metadata=wire("roll"))
    previous_position: LogPosition = field(metadata=wire("base"))
    entries: tuple[bytes, ...] = field(metadata=wire("entries"))


@dataclass(frozen=True)
class Snapshot:
    """The leader's whole state at a log position, in place of all entries up to there.

    Attributes:
        term: The leader's term.
        sender: The leader.
        sent_at: When it was sent, in seconds on the leader's clock.
        voter_set: Who votes.
        position: The last log entry that the state includes.
        body: The state, as the service has written it.
    """

    WIRE_NAME: ClassVar[str] = "Whole"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    voter_set: VoterSet = field(metadata=wire("roll"))
    position: LogPosition = field(metadata=wire("position"))
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class AppendResponse:
    """Answers a leader's message.

    Attributes:
        term: The member's own term.
        sender: The member.
        sent_at: The `sent_at` of the message that is answered.
        position: The member's last log entry.
        accepted: Its log continues the leader's; if not, it needs a snapshot.
    """

    WIRE_NAME: ClassVar[str] = "Heard"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent_at: float = field(metadata=wire("sent"))
    position: LogPosition = field(metadata=wire("position"))
    accepted: bool = field(metadata=wire("follows"))


@dataclass(frozen=True)
class TransferLeadership:
    """From a leader that has stepped down: the receiver is to start an election at once."""

    WIRE_NAME: ClassVar[str] = "Pass"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))


Message = (
    VoteRequest | VoteResponse | AppendEntries | Snapshot | AppendResponse | TransferLeadership
)


@dataclass(frozen=True)
class Send:
    """Send a message to a member; it may be lost."""

    recipient: str
    message: Message


@dataclass(frozen=True)
class Persist:
    """Write to disk, before any later order is carried out."""

    term: int
    voted_for: str
    voter_set: VoterSet


@dataclass(frozen=True)
class BecomeLeader:
    """We lead this term from now on; the service appends its first entry."""

    term: int


@dataclass(frozen=True)
class StepDown:
    """We lead no more; `reason` is for people."""

    reason: str


@dataclass(frozen=True)
class ApplyEntry:
    """Apply a leader's log entry to the replicated state."""

    entry: bytes
    position: LogPosition


@dataclass(frozen=True)
class RestoreSnapshot:
    """Replace the replicated state by a leader's snapshot."""

    body: bytes
    position: LogPosition


@dataclass(frozen=True)
class Committed:
    """A majority has all entries up to this position: their effects may take place."""

    position: LogPosition


@dataclass(frozen=True)
class SnapshotNeeded:
    """This member needs a snapshot: the service makes one for `ElectionProtocol.send_snapshot`."""

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
