"""The platform's messages: lines out of bytes, strict records out of lines, orders back into lines.

No socket and no clock. Times on the wire are milliseconds, here as on the wire; whoever makes
events converts.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.errors import DunlinlugError

MAX_UNJOINED_LINE_BYTES = 4096  # bytes of a line before joining: a joining is a tenth of it
MAX_JOINED_LINE_BYTES = 2**20  # bytes of a line after it: the protocol's own bound
MAX_NESTING = 16  # brackets opened in one message: a report opens two

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=0, le=10**7)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Milliseconds = Annotated[
    float, Meta(ge=0.0, le=600_000.0)
]  # milliseconds; ten minutes is beyond all that is gathered
Uint16 = Annotated[int, Meta(ge=0, lt=2**16)]


class MalformedMessageError(DunlinlugError):
    """These bytes hold no message, nor will what follows."""


class InvalidMessageError(DunlinlugError):
    """A message that can be read and not be used; those around it can."""


class LivenessProbe(msgspec.Struct, tag_field="@type", tag="probe", frozen=True):
    pass


class CollectorHello(msgspec.Struct, tag_field="@type", tag="agent", frozen=True):
    site: Name


class ProxyHello(msgspec.Struct, tag_field="@type", tag="hello", frozen=True):
    id: Uint16
    site: Name
    rps: Amount
    new: bool


class Acknowledgement(msgspec.Struct, tag_field="@type", tag="ack", frozen=True):
    id: Uint16
    seq: Uint16
    ms: Milliseconds


class EndpointReport(msgspec.Struct, tag_field="@type", tag="outcomes", frozen=True):
    site: Name
    target: Name
    count: Count
    fail: Count
    mean: Milliseconds
    over: Milliseconds
    util: dict[Name, Amount] | None = None


class DemandReport(msgspec.Struct, tag_field="@type", tag="demand", frozen=True):
    id: Uint16
    lane: Name
    count: Count
    fail: Count
    over: Milliseconds


Message = (
    LivenessProbe | CollectorHello | ProxyHello | Acknowledgement | EndpointReport | DemandReport
)
_message_decoder = msgspec.json.Decoder(Message)
_json_decoder = msgspec.json.Decoder()


def decode(line: bytes) -> Message:
    """One line's message. Raises Unreadable for what is no JSON object, Unfit for an object that is
    no message.
    """
    if (
        line.count(b"{") + line.count(b"[") > MAX_NESTING
    ):  # Danger: depth beyond what a parser's stack bears
        raise InvalidMessageError("nested too deeply")
    try:
        return _message_decoder.decode(line)
    except msgspec.ValidationError as error:
        reason = str(error)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error}") from None
    # Danger: the strict decoder stops at its first objection, before it has seen whether the rest
    # is JSON at all.
    try:
        value = _json_decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("not an object")
    raise InvalidMessageError(reason)


class LineSplitter:
    """Splits what comes into lines of at most `most` bytes; `most` may be raised once a peer has
    joined.
    """

    def __init__(self, max_bytes: int = MAX_UNJOINED_LINE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.scanned_bytes = 0  # bytes of the rest that hold no line's end

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now, without their ends. The rest is looked at by `check`."""
        self.buffer += data
        if self.buffer.find(b"\n", self.scanned_bytes) < 0:
            self.scanned_bytes = len(self.buffer)
            return []
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        self.scanned_bytes = len(rest)
        return lines

    def check_partial_line(self) -> None:
        """Raises Unreadable if what is begun can't become a message."""
        if len(self.buffer) > self.max_bytes:
            raise MalformedMessageError(f"a message is longer than {self.max_bytes} bytes")
        partial_line = self.buffer.lstrip(b" \t\r")
        if partial_line and partial_line[0] != ord("{"):
            raise MalformedMessageError("not a JSON object")


class TableUpdate(msgspec.Struct, omit_defaults=True):
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
_TABLE_UPDATE_PREFIX = b'{"@type":"push"'


def encode(update: TableUpdate) -> bytes:
    body = _encoder.encode(update)
    return _TABLE_UPDATE_PREFIX + (b"," if len(body) > 2 else b"") + body[1:] + b"\n"


def encode_alive() -> bytes:
    return b'{"@type":"alive"}\n'


def encode_error(reason: str) -> bytes:
    return _encoder.encode({"@type": "error", "why": reason[:200]}) + b"\n"
