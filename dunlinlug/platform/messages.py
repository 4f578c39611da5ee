"""The platform's messages: lines out of bytes, strict records out of lines, orders back into lines.

No socket and no clock. Times on the wire are milliseconds, here as on the wire; whoever makes events converts.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

UNJOINED_MOST = 4096  # bytes of a line before joining: a joining is a tenth of it
JOINED_MOST = 2**20  # bytes of a line after it: the protocol's own bound
DEEPEST = 16  # brackets opened in one message: a report opens two

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=0, le=10**7)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Span = Annotated[
    float, Meta(ge=0.0, le=600_000.0)
]  # milliseconds; ten minutes is beyond all that is gathered
Number = Annotated[int, Meta(ge=0, lt=2**16)]


class Unreadable(Exception):
    """These bytes hold no message, nor will what follows."""


class Unfit(Exception):
    """A message that can be read and not be used; those around it can."""


class Probe(msgspec.Struct, tag_field="@type", tag="probe", frozen=True):
    pass


class Agent(msgspec.Struct, tag_field="@type", tag="agent", frozen=True):
    site: Name


class Hello(msgspec.Struct, tag_field="@type", tag="hello", frozen=True):
    id: Number
    site: Name
    rps: Amount
    new: bool


class Ack(msgspec.Struct, tag_field="@type", tag="ack", frozen=True):
    id: Number
    seq: Number
    ms: Span


class Outcomes(msgspec.Struct, tag_field="@type", tag="outcomes", frozen=True):
    site: Name
    target: Name
    count: Count
    fail: Count
    mean: Span
    over: Span
    util: dict[Name, Amount] | None = None


class Demand(msgspec.Struct, tag_field="@type", tag="demand", frozen=True):
    id: Number
    lane: Name
    count: Count
    fail: Count
    over: Span


Message = Probe | Agent | Hello | Ack | Outcomes | Demand
_decoder = msgspec.json.Decoder(Message)
_any = msgspec.json.Decoder()


def read(line: bytes) -> Message:
    """One line's message. Raises Unreadable for what is no JSON object, Unfit for an object that is no message."""
    if (
        line.count(b"{") + line.count(b"[") > DEEPEST
    ):  # Danger: depth beyond what a parser's stack bears
        raise Unfit("nested too deeply")
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as error:
        fault = str(error)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Unreadable(f"not JSON: {error}") from None
    # Danger: the strict decoder stops at its first objection, before it has seen whether the rest is JSON at all.
    try:
        whole = _any.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Unreadable(f"not JSON: {error}") from None
    if not isinstance(whole, dict):
        raise Unreadable("not an object")
    raise Unfit(fault)


class Lines:
    """Splits what comes into lines of at most `most` bytes; `most` may be raised once a peer has joined."""

    def __init__(self, most: int = UNJOINED_MOST) -> None:
        self.most = most
        self.rest = bytearray()
        self.looked = 0  # bytes of the rest that hold no line's end

    def take(self, data: bytes) -> list[bytes]:
        """The lines that are whole now, without their ends. The rest is looked at by `check`."""
        self.rest += data
        if self.rest.find(b"\n", self.looked) < 0:
            self.looked = len(self.rest)
            return []
        *lines, rest = bytes(self.rest).split(b"\n")
        self.rest, self.looked = bytearray(rest), len(rest)
        return lines

    def check(self) -> None:
        """Raises Unreadable if what is begun can't become a message."""
        if len(self.rest) > self.most:
            raise Unreadable(f"a message is longer than {self.most} bytes")
        begun = self.rest.lstrip(b" \t\r")
        if begun and begun[0] != ord("{"):
            raise Unreadable("not a JSON object")


class Push(msgspec.Struct, omit_defaults=True):
    """One part of an order; several make a message."""

    routes: list[str] | None = None
    full: bool = False
    endpoints: list[tuple[str, float]] | None = None
    admit: float | None = None
    policy: int | None = None
    eject: list[str] | None = None
    restore: list[str] | None = None
    nonce_out: int | None = None
    continued: bool = False


_encoder = msgspec.json.Encoder()
_HEAD = b'{"@type":"push"'


def write(part: Push) -> bytes:
    body = _encoder.encode(part)
    return _HEAD + (b"," if len(body) > 2 else b"") + body[1:] + b"\n"


def alive() -> bytes:
    return b'{"@type":"alive"}\n'


def error(why: str) -> bytes:
    return _encoder.encode({"@type": "error", "why": why[:200]}) + b"\n"
