"""What members tell each other, and what the machine asks of its host; plain values.

Everything told of a member carries its life: which start of its process, and how often it has
spoken against rumours since. What is told merges by order of life and state, so that it may come
twice, late and in any order.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
Incarnation = tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]]
Address = tuple[Annotated[str, Meta(max_length=255)], Annotated[int, Meta(ge=0, le=65535)]]

ALIVE, SUSPECTED, FAILED, LEFT = range(
    4
)  # within one life, what is later in this row outranks what is before
STATE_NAMES = ("alive", "suspected", "failed", "left")
# members that one ever knows of: five hundred managers and as many that have been
MAX_MEMBERS = 1024


class WireStruct(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Fields by their place: a later version adds fields at the end, and what a reader does not
    know it leaves out.
    """


class MemberState(WireStruct, frozen=True, tag="t"):
    """A member's state, as `by` has it. Of a suspicion, each `by` is a witness of its own."""

    name: MemberName
    incarnation: Incarnation
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    address: Address
    reporter: MemberName

    def precedence(self) -> tuple[Incarnation, int]:
        return self.incarnation, self.state


class MemberBan(WireStruct, frozen=True, tag="b"):
    """An operator's word on a member: the greater count holds."""

    name: MemberName
    version: Annotated[int, Meta(ge=0)]
    banned: bool


class ReachabilityReport(WireStruct, frozen=True, tag="r"):
    """Whom a member does not reach by itself, though others do: `unanswered` does not answer it,
    `unheard` says nothing to it. The greater version within the greater start holds.
    """

    name: MemberName
    version: Incarnation
    not_answering: Annotated[tuple[MemberName, ...], Meta(max_length=16)] = ()
    not_heard: Annotated[tuple[MemberName, ...], Meta(max_length=16)] = ()


class Broadcast(WireStruct, frozen=True, tag="x"):
    """A fact of the host's, of which the machine knows only that it may be told again."""

    key: Annotated[str, Meta(max_length=128)]
    payload: Annotated[bytes, Meta(max_length=256)]


GossipItem = MemberState | MemberBan | ReachabilityReport | Broadcast
GossipItems = Annotated[tuple[GossipItem, ...], Meta(max_length=64)]
TableDigest = Annotated[bytes, Meta(max_length=8)]


class Ping(WireStruct, frozen=True, tag="p"):
    """`own` is what the sender says of itself; `to` is who is meant, so that a copy sent elsewhere
    says nothing.
    """

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    digest: TableDigest
    gossip: GossipItems = ()


class Ack(WireStruct, frozen=True, tag="a"):
    """Of a ping, or, `of` another, of one that was made for the asker. `lived` is the start that
    answered.
    """

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    subject: MemberName
    subject_start_epoch: Annotated[int, Meta(ge=0)]
    digest: TableDigest
    gossip: GossipItems = ()


class PingRequest(WireStruct, frozen=True, tag="k"):
    """Please ping this one for me, and tell me by an Ack or a Nack."""

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]
    subject: MemberState
    gossip: GossipItems = ()


class Nack(WireStruct, frozen=True, tag="n"):
    """I have asked, in time, and heard nothing yet: it is not I who am slow."""

    sender: MemberState
    target: MemberName
    sequence: Annotated[int, Meta(ge=0)]


class Gossip(WireStruct, frozen=True, tag="g"):
    """What can't wait for the next ping."""

    sender: MemberState
    target: MemberName
    gossip: GossipItems


class StateSync(WireStruct, frozen=True, tag="w"):
    """All that the sender knows, by a stream; `back`: the receiver is to say the same."""

    sender: MemberState
    target: MemberName
    reply_requested: bool
    items: Annotated[tuple[GossipItem, ...], Meta(max_length=4 * MAX_MEMBERS)]


Message = Ping | Ack | PingRequest | Nack | Gossip | StateSync


class Send(msgspec.Struct, frozen=True):
    """To a place; a Whole goes by a stream, the others as datagrams."""

    address: tuple[str, int]
    message: Message


class MemberStateChanged(msgspec.Struct, frozen=True):
    """A member's state as we now have it, and why, in words and figures for people."""

    name: str
    before: str
    after: str
    reason: str


class ProcessPaused(msgspec.Struct, frozen=True):
    """We were called this many seconds late: what we had begun is no evidence."""

    seconds: float


class Superseded(msgspec.Struct, frozen=True):
    """Another process under our name has the later start; we are no member any more, until the name
    is free.
    """

    start_epoch: int


class BroadcastReceived(msgspec.Struct, frozen=True):
    """A fact of the host's came in."""

    broadcast: Broadcast


Order = Send | MemberStateChanged | ProcessPaused | Superseded | BroadcastReceived
