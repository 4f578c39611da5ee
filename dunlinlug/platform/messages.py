"""The platform's messages: lines out of bytes, typed messages out of lines, updates into lines.

No socket and no clock. Times on the wire are milliseconds and stay so here; who makes events of
messages converts them. The JSON keys differ from the field names: each class declares them.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.errors import DunlinlugError

# bytes of a line from a peer that has not joined: a hello is a tenth of it
MAX_UNJOINED_LINE_BYTES = 4096
# bytes of a line from a joined peer: the protocol's own bound
MAX_JOINED_LINE_BYTES = 2**20
# brackets opened in one message: a report opens two
MAX_NESTING = 16

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=0, le=10**7)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
# ten minutes is more than anything that is measured
Milliseconds = Annotated[float, Meta(ge=0.0, le=600_000.0)]
Uint16 = Annotated[int, Meta(ge=0, lt=2**16)]


class MalformedMessageError(DunlinlugError):
    """These bytes hold no message, nor will what follows on the connection."""


class InvalidMessageError(DunlinlugError):
    """A message that can be read but not used; those around it can."""


class LivenessProbe(msgspec.Struct, tag_field="@type", tag="probe", frozen=True):
    """Asks whether the manager is alive; allowed on any connection."""


class CollectorHello(
    msgspec.Struct, tag_field="@type", tag="agent", frozen=True, rename={"zone": "site"}
):
    """A collector joins: it will bring the reports of a zone's proxies."""

    zone: Name


class ProxyHello(
    msgspec.Struct,
    tag_field="@type",
    tag="hello",
    frozen=True,
    rename={
        "proxy": "id",
        "zone": "site",
        "requests_per_second": "rps",
        "first_connection": "new",
    },
):
    """A proxy joins; `first_connection` tells that it holds nothing of an earlier connection."""

    proxy: Uint16
    zone: Name
    requests_per_second: Amount
    first_connection: bool


class Acknowledgement(
    msgspec.Struct,
    tag_field="@type",
    tag="ack",
    frozen=True,
    rename={"proxy": "id", "ack_number": "seq", "response_time_ms": "ms"},
):
    """A proxy has applied all up to an acknowledgement request."""

    proxy: Uint16
    ack_number: Uint16
    response_time_ms: Milliseconds


class EndpointReport(
    msgspec.Struct,
    tag_field="@type",
    tag="outcomes",
    frozen=True,
    rename={
        "zone": "site",
        "worker": "target",
        "attempts": "count",
        "failed": "fail",
        "mean_latency_ms": "mean",
        "window_ms": "over",
        "load_metrics": "util",
    },
):
    """What a zone's proxies observed at one worker over a window."""

    zone: Name
    worker: Name
    attempts: Count
    failed: Count
    mean_latency_ms: Milliseconds
    window_ms: Milliseconds
    load_metrics: dict[Name, Amount] | None = None


class DemandReport(
    msgspec.Struct,
    tag_field="@type",
    tag="demand",
    frozen=True,
    rename={
        "proxy": "id",
        "traffic_class": "lane",
        "requests": "count",
        "failed": "fail",
        "window_ms": "over",
    },
):
    """What a proxy received of one traffic class over a window."""

    proxy: Uint16
    traffic_class: Name
    requests: Count
    failed: Count
    window_ms: Milliseconds


Message = (
    LivenessProbe | CollectorHello | ProxyHello | Acknowledgement | EndpointReport | DemandReport
)
_message_decoder = msgspec.json.Decoder(Message)
_json_decoder = msgspec.json.Decoder()


def decode(line: bytes) -> Message:
    """Return one line's message.

    Raises MalformedMessageError for what is no JSON object, and InvalidMessageError for an object
    that is no message.
    """
    # Without this bound, nesting beyond what a parser's stack holds would reach the parser.
    if line.count(b"{") + line.count(b"[") > MAX_NESTING:
        raise InvalidMessageError("nested too deeply")
    try:
        return _message_decoder.decode(line)
    except msgspec.ValidationError as error:
        reason = str(error)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error}") from None
    # The strict decoder stops at its first objection, before it has seen whether the rest is JSON
    # at all; without this second look, bytes that are no JSON would count as an invalid message.
    try:
        value = _json_decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("not an object")
    raise InvalidMessageError(reason)


class LineSplitter:
    """Splits what arrives into lines of at most `max_bytes`, which may be raised after joining."""

    def __init__(self, max_bytes: int = MAX_UNJOINED_LINE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.scanned_bytes = 0  # bytes at the buffer's start that hold no line's end

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the lines that are complete now, without their ends.

        What is left over is looked at by `check_partial_line`.
        """
        self.buffer += data
        if self.buffer.find(b"\n", self.scanned_bytes) < 0:
            self.scanned_bytes = len(self.buffer)
            return []
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        self.scanned_bytes = len(rest)
        return lines

    def check_partial_line(self) -> None:
        """Raise MalformedMessageError if the line that was begun cannot become a message."""
        if len(self.buffer) > self.max_bytes:
            raise MalformedMessageError(f"a message is longer than {self.max_bytes} bytes")
        partial_line = self.buffer.lstrip(b" \t\r")
        if partial_line and partial_line[0] != ord("{"):
            raise MalformedMessageError("not a JSON object")


class TableUpdate(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "traffic_classes": "routes",
        "replaces_table": "full",
        "weights": "endpoints",
        "admitted_fraction": "admit",
        "retry_policy": "policy",
        "readmit": "restore",
        "ack_number": "nonce_out",
    },
):
    """One line of a message to a proxy; all but the last of a message are `continued`.

    `traffic_classes` are those whose table and admission it changes, None for all. `weights` are
    workers with their weight, 0 for one that leaves the table; with `replaces_table` they are the
    whole table. `eject` and `readmit` are workers, whatever the table. `ack_number` requests an
    acknowledgement.
    """

    traffic_classes: list[str] | None = None
    replaces_table: bool = False
    weights: list[tuple[str, float]] | None = None
    admitted_fraction: float | None = None
    retry_policy: int | None = None
    eject: list[str] | None = None
    readmit: list[str] | None = None
    ack_number: int | None = None
    continued: bool = False


_encoder = msgspec.json.Encoder()
_TABLE_UPDATE_PREFIX = b'{"@type":"push"'


def encode(update: TableUpdate) -> bytes:
    """Return the update's line."""
    body = _encoder.encode(update)
    return _TABLE_UPDATE_PREFIX + (b"," if len(body) > 2 else b"") + body[1:] + b"\n"


def encode_alive() -> bytes:
    """Return the line that answers a liveness probe."""
    return b'{"@type":"alive"}\n'


def encode_error(reason: str) -> bytes:
    """Return the line that tells a peer why its connection is closed."""
    return _encoder.encode({"@type": "error", "why": reason[:200]}) + b"\n"
