"""What members tell each other, and what the machine asks of its host; plain values.

Everything told of a member carries its life: which start of its process, and how often it has spoken against rumours
since. What is told merges by order of life and state, so that it may come twice, late and in any order.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Life = tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]]
Place = tuple[Annotated[str, Meta(max_length=255)], Annotated[int, Meta(ge=0, le=65535)]]

ALIVE, SUSPECTED, FAILED, LEFT = range(
    4
)  # within one life, what is later in this row outranks what is before
STATES = ("alive", "suspected", "failed", "left")
MOST = 1024  # members that one ever knows of: five hundred managers and as many that have been


class Plain(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Fields by their place: a later version adds fields at the end, and what a reader does not know it leaves out."""


class Told(Plain, frozen=True, tag="t"):
    """A member's state, as `by` has it. Of a suspicion, each `by` is a witness of its own."""

    name: Name
    life: Life
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    place: Place
    by: Name

    def rank(self) -> tuple[Life, int]:
        return self.life, self.state


class Bar(Plain, frozen=True, tag="b"):
    """An operator's word on a member: the greater count holds."""

    name: Name
    count: Annotated[int, Meta(ge=0)]
    on: bool


class Row(Plain, frozen=True, tag="r"):
    """Whom a member does not reach by itself, though others do: `unanswered` does not answer it, `unheard` says
    nothing to it. The greater version within the greater start holds."""

    name: Name
    version: Life
    unanswered: Annotated[tuple[Name, ...], Meta(max_length=16)] = ()
    unheard: Annotated[tuple[Name, ...], Meta(max_length=16)] = ()


class Extra(Plain, frozen=True, tag="x"):
    """A fact of the host's, of which the machine knows only that it may be told again."""

    key: Annotated[str, Meta(max_length=128)]
    body: Annotated[bytes, Meta(max_length=256)]


Item = Told | Bar | Row | Extra
Gossip = Annotated[tuple[Item, ...], Meta(max_length=64)]
Digest = Annotated[bytes, Meta(max_length=8)]


class Ping(Plain, frozen=True, tag="p"):
    """`own` is what the sender says of itself; `to` is who is meant, so that a copy sent elsewhere says nothing."""

    own: Told
    to: Name
    seq: Annotated[int, Meta(ge=0)]
    digest: Digest
    gossip: Gossip = ()


class Ack(Plain, frozen=True, tag="a"):
    """Of a ping, or, `of` another, of one that was made for the asker. `lived` is the start that answered."""

    own: Told
    to: Name
    seq: Annotated[int, Meta(ge=0)]
    of: Name
    lived: Annotated[int, Meta(ge=0)]
    digest: Digest
    gossip: Gossip = ()


class Ask(Plain, frozen=True, tag="k"):
    """Please ping this one for me, and tell me by an Ack or a Nack."""

    own: Told
    to: Name
    seq: Annotated[int, Meta(ge=0)]
    about: Told
    gossip: Gossip = ()


class Nack(Plain, frozen=True, tag="n"):
    """I have asked, in time, and heard nothing yet: it is not I who am slow."""

    own: Told
    to: Name
    seq: Annotated[int, Meta(ge=0)]


class News(Plain, frozen=True, tag="g"):
    """What can't wait for the next ping."""

    own: Told
    to: Name
    gossip: Gossip


class Whole(Plain, frozen=True, tag="w"):
    """All that the sender knows, by a stream; `back`: the receiver is to say the same."""

    own: Told
    to: Name
    back: bool
    items: Annotated[tuple[Item, ...], Meta(max_length=4 * MOST)]


Message = Ping | Ack | Ask | Nack | News | Whole


class Send(msgspec.Struct, frozen=True):
    """To a place; a Whole goes by a stream, the others as datagrams."""

    place: tuple[str, int]
    message: Message


class Changed(msgspec.Struct, frozen=True):
    """A member's state as we now have it, and why, in words and figures for people."""

    name: str
    before: str
    now: str
    why: str


class Late(msgspec.Struct, frozen=True):
    """We were called this many seconds late: what we had begun is no evidence."""

    by: float


class Yielded(msgspec.Struct, frozen=True):
    """Another process under our name has the later start; we are no member any more, until the name is free."""

    to: int


class Heard(msgspec.Struct, frozen=True):
    """A fact of the host's came in."""

    extra: Extra


Order = Send | Changed | Late | Yielded | Heard
