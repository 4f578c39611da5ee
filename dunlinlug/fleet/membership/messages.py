"""What members send each other, and what the protocol orders of its host.

On the wire every record is a msgpack array that begins with the tag declared here; fields go by
their place, and their names are not sent. A later version may add fields at the end, which an
earlier one leaves out. Never reorder or retype fields: members of two versions run side by side.

What is said of a member carries its incarnation and merges by order (see `merging`), so that
messages may come twice, late and in any order.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_MEMBERS = 1024  # members known at a time: five hundred managers and as many that have been
MAX_REPORTED_NAMES = 16  # names in each part of a reachability report
UNKNOWN_NAME = "?"  # target of a message to an address whose member's name is not known

MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
# Number of the process's start, and how often it has refuted since.
Incarnation = tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]]
Address = tuple[Annotated[str, Meta(max_length=255)], Annotated[int, Meta(ge=0, le=65535)]]

# States of a member; within one incarnation a higher one overrides a lower one.
ALIVE = 0
SUSPECTED = 1
FAILED = 2
LEFT = 3
STATE_NAMES = ("alive", "suspected", "failed", "left")


class WireStruct(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A record whose fields go by place, after its tag."""


class MemberState(WireStruct, frozen=True, tag="t"):
    """A member's state, as a reporter has it.

    Reports of one suspicion by several reporters are confirmations independent of each other.
    """

    name: MemberName
    incarnation: Incarnation
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    address: Address
    reporter: MemberName

    def precedence(self) -> tuple[Incarnation, int]:
        """Order of merging: the highest wins."""
        return self.incarnation, self.state


class MemberBan(WireStruct, frozen=True, tag="b"):
    """An operator's ban of a member, or its end; the highest version wins."""

    name: MemberName
    version: Annotated[int, Meta(ge=0)]
    banned: bool


class ReachabilityReport(WireStruct, frozen=True, tag="r"):
    """Whom a member does not reach by itself, though others may.

    Attributes:
        name: The member that reports.
        version: Its start epoch and a number that counts up; the highest wins.
        not_answering: Members that do not answer its probes.
        silent: Members of which no message comes.
    """

    name: MemberName
    version: Incarnation
    not_answering: Annotated[tuple[MemberName, ...], Meta(max_length=MAX_REPORTED_NAMES)] = ()
    silent: Annotated[tuple[MemberName, ...], Meta(max_length=MAX_REPORTED_NAMES)] = ()


class Broadcast(WireStruct, frozen=True, tag="x"):
    """A fact of the host's, which the protocol carries without reading it."""

    key: Annotated[str, Meta(max_length=128)]
    payload: Annotated[bytes, Meta(max_length=256)]


GossipItem = MemberState | MemberBan | ReachabilityReport | Broadcast
GossipItems = Annotated[tuple[GossipItem, ...], Meta(max_length=64)]
TableDigest = Annotated[bytes, Meta(max_length=8)]


class Ping(WireStruct, frozen=True, tag="p"):
    """A probe, to be answered by an Ack.

    Attributes:
        sender: The sender's state, by itself; every message begins with it.
        target: Name of the member meant, so that a copy sent elsewhere is not heeded.
        sequence: Number of the probe, the sender's; 0 awaits no answer.
        digest: Digest of the sender's table.
        gossip: What rides on the message.
    """

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    digest: TableDigest
    gossip: GossipItems = ()


class Ack(WireStruct, frozen=True, tag="a"):
    """The answer to a ping, the sender's own or one passed on to who had asked for the probe.

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
    """A request to ping the subject for the sender, and to answer by an Ack or a Nack."""

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    subject: MemberState
    gossip: GossipItems = ()


class Nack(WireStruct, frozen=True, tag="n"):
    """The subject of a PingRequest was pinged in time and has not answered yet."""

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]


class Gossip(WireStruct, frozen=True, tag="g"):
    """Items that cannot wait for the next ping."""

    sender: MemberState
    target: MemberName
    gossip: GossipItems


class StateSync(WireStruct, frozen=True, tag="w"):
    """All that the sender knows, sent by a stream; the receiver may be asked for the same."""

    sender: MemberState
    target: MemberName
    reply_requested: bool
    items: Annotated[tuple[GossipItem, ...], Meta(max_length=4 * MAX_MEMBERS)]


Message = Ping | Ack | PingRequest | Nack | Gossip | StateSync


def gossip_of(message: Message) -> tuple[GossipItem, ...]:
    """All items that a message carries."""
    match message:
        case StateSync():
            return message.items
        case Nack():
            return ()
        case _:
            return message.gossip


class Send(msgspec.Struct, frozen=True):
    """Order: send a message to an address, a StateSync by a stream, any other as a datagram."""

    address: tuple[str, int]
    message: Message


class MemberStateChanged(msgspec.Struct, frozen=True):
    """Order: take note that a member's state has changed for us.

    States are names of `STATE_NAMES`, "unknown", "gone", or an operator's "barred" and "unbarred".
    The reason is for people.
    """

    name: str
    before: str
    after: str
    reason: str


class ProcessPaused(msgspec.Struct, frozen=True):
    """Order: take note that we were called so many seconds late; open probes were dropped."""

    seconds: float


class Superseded(msgspec.Struct, frozen=True):
    """Order: take note that another process has our name and this later start.

    We are no active member any more, until that start is over.
    """

    start_epoch: int


class BroadcastReceived(msgspec.Struct, frozen=True):
    """Order: take a fact of another host's."""

    broadcast: Broadcast


Order = Send | MemberStateChanged | ProcessPaused | Superseded | BroadcastReceived
