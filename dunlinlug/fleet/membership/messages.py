"""Messages between members, and the orders that the protocol returns to its host.

On the wire every record is a msgpack array that begins with the tag declared here; fields are
positional, and their names are not sent. A later version may add fields at the end, which an
earlier one ignores. Never reorder or retype fields: members of two versions run side by side.

A member's state carries its incarnation and merges by precedence (see `merging`), so messages may
be duplicated, delayed and reordered.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_MEMBERS = 1024  # members known at a time: five hundred managers and as many departed ones
MAX_REPORTED_NAMES = 16  # names in each list of a reachability report
UNKNOWN_NAME = "?"  # target of a message to an address whose member's name is unknown

MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
# Number of the process start, and how often the process has refuted a report since.
Incarnation = tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]]
Address = tuple[Annotated[str, Meta(max_length=255)], Annotated[int, Meta(ge=0, le=65535)]]

# States of a member; within one incarnation a higher one overrides a lower one.
ALIVE = 0
SUSPECTED = 1
FAILED = 2
LEFT = 3
STATE_NAMES = ("alive", "suspected", "failed", "left")


class WireStruct(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A record that is encoded as an array: its tag, then its fields in order."""


class MemberState(WireStruct, frozen=True, tag="t"):
    """A member's state as a reporter has it.

    Reports of one suspicion by several reporters are independent confirmations.
    """

    name: MemberName
    incarnation: Incarnation
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    address: Address
    reporter: MemberName

    def precedence(self) -> tuple[Incarnation, int]:
        """Sort key of merging: the highest wins."""
        return self.incarnation, self.state


class MemberBan(WireStruct, frozen=True, tag="b"):
    """An operator's ban of a member, or the end of one; the highest version wins."""

    name: MemberName
    version: Annotated[int, Meta(ge=0)]
    banned: bool


class ReachabilityReport(WireStruct, frozen=True, tag="r"):
    """Members that the reporter does not reach itself, though others may.

    Attributes:
        name: The member that reports.
        version: Its start epoch and a counter; the highest wins.
        not_answering: Members that do not answer its probes.
        silent: Members from which it receives no messages.
    """

    name: MemberName
    version: Incarnation
    not_answering: Annotated[tuple[MemberName, ...], Meta(max_length=MAX_REPORTED_NAMES)] = ()
    silent: Annotated[tuple[MemberName, ...], Meta(max_length=MAX_REPORTED_NAMES)] = ()


class Broadcast(WireStruct, frozen=True, tag="x"):
    """Data of the host, which the protocol carries without interpreting it."""

    key: Annotated[str, Meta(max_length=128)]
    payload: Annotated[bytes, Meta(max_length=256)]


GossipItem = MemberState | MemberBan | ReachabilityReport | Broadcast
GossipItems = Annotated[tuple[GossipItem, ...], Meta(max_length=64)]
TableDigest = Annotated[bytes, Meta(max_length=8)]


class Ping(WireStruct, frozen=True, tag="p"):
    """A probe, answered by an Ack.

    Attributes:
        sender: The sender's state, reported by itself; every message begins with it.
        target: Name of the intended member; other members ignore the message.
        sequence: The sender's number for the probe; 0 expects no answer.
        digest: Digest of the sender's table.
        gossip: Items piggybacked on the message.
    """

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    digest: TableDigest
    gossip: GossipItems = ()


class Ack(WireStruct, frozen=True, tag="a"):
    """The answer to a ping, direct or forwarded to the requester of an indirect probe.

    Attributes:
        subject: The member that answered the probe.
        subject_start_epoch: The start of its process that answered.
    """

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    subject: MemberName
    subject_start_epoch: Annotated[int, Meta(ge=0)]
    digest: TableDigest
    gossip: GossipItems = ()


class PingRequest(WireStruct, frozen=True, tag="k"):
    """A request to ping the subject for the sender, answered by an Ack or a Nack."""

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    subject: MemberState
    gossip: GossipItems = ()


class Nack(WireStruct, frozen=True, tag="n"):
    """The subject of a PingRequest was pinged and has not answered in time."""

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]


class Gossip(WireStruct, frozen=True, tag="g"):
    """Items that are not delayed until the next ping."""

    sender: MemberState
    target: MemberName
    gossip: GossipItems


class StateSync(WireStruct, frozen=True, tag="w"):
    """The full state of the sender's table, sent over a stream; may request the receiver's."""

    sender: MemberState
    target: MemberName
    reply_requested: bool
    items: Annotated[tuple[GossipItem, ...], Meta(max_length=4 * MAX_MEMBERS)]


Message = Ping | Ack | PingRequest | Nack | Gossip | StateSync


def gossip_of(message: Message) -> tuple[GossipItem, ...]:
    """All gossip items of a message."""
    match message:
        case StateSync():
            return message.items
        case Nack():
            return ()
        case _:
            return message.gossip


class Send(msgspec.Struct, frozen=True):
    """Order: send a message to an address, a StateSync over a stream, any other as a datagram."""

    address: tuple[str, int]
    message: Message


class MemberStateChanged(msgspec.Struct, frozen=True):
    """Order: record that a member's state has changed in the local view.

    States are names of `STATE_NAMES`, "unknown", "gone", or for bans "barred" and "unbarred". The
    reason is for operators.
    """

    name: str
    before: str
    after: str
    reason: str


class ProcessPaused(msgspec.Struct, frozen=True):
    """Order: record that the host called this many seconds late; open probes were discarded."""

    seconds: float


class Superseded(msgspec.Struct, frozen=True):
    """Order: record that another process with this member's name has this later start epoch.

    The local member is inactive until that process has ended.
    """

    start_epoch: int


class BroadcastReceived(msgspec.Struct, frozen=True):
    """Order: handle data that another host broadcast."""

    broadcast: Broadcast


Order = Send | MemberStateChanged | ProcessPaused | Superseded | BroadcastReceived
