"""The platform's wire protocol: splits bytes into lines, decodes messages and encodes updates.

Does no I/O and reads no clock. Times are milliseconds, as on the wire; the code that turns messages
into events converts them. Where JSON keys differ from the field names, each class declares them.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.bounded_values import MAX_METRICS, Amount, Count, Milliseconds, Name, Uint16
from dunlinlug.errors import DunlinlugError

# Limit for peers that have not joined; a hello takes a tenth of it.
MAX_UNJOINED_LINE_BYTES = 4096
# Limit for joined peers, set by the protocol.
MAX_JOINED_LINE_BYTES = 2**20
# Opening brackets in one message; a report has two.
MAX_NESTING = 16


class MalformedMessageError(DunlinlugError):
    """Bytes that are not a message; no later bytes of the connection can be read either."""


class InvalidMessageError(DunlinlugError):
    """A readable message with invalid content; other messages of the connection remain usable."""


class LivenessProbe(msgspec.Struct, tag_field="@type", tag="probe", frozen=True):
    """Requests a sign that the manager is alive; allowed on any connection."""


class CollectorHello(
    msgspec.Struct, tag_field="@type", tag="agent", frozen=True, rename={"zone": "site"}
):
    """A collector joins, to deliver the reports of a zone's proxies."""

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
    """A proxy joins; `first_connection` is set if it has no tables from an earlier connection."""

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
    """A proxy has applied everything up to an acknowledgement request."""

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
    """The attempts of a zone's proxies at one worker over a window."""

    zone: Name
    worker: Name
    attempts: Count
    failed: Count
    mean_latency_ms: Milliseconds
    window_ms: Milliseconds
    load_metrics: Annotated[dict[Name, Amount], Meta(max_length=MAX_METRICS)] | None = None


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
    """The requests of one traffic class that a proxy received over a window."""

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
    """Decode the message in one line.

    Raises MalformedMessageError if the line is not a JSON object, and InvalidMessageError if the
    object is not a valid message.
    """
    # Deeper nesting could overflow the parser's stack.
    if line.count(b"{") + line.count(b"[") > MAX_NESTING:
        raise InvalidMessageError("nested too deeply")
    try:
        return _message_decoder.decode(line)
    except msgspec.ValidationError as error:
        reason = str(error)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error}") from None
    # The strict decoder stops at the first invalid value, before it has checked that the rest is
    # JSON. The line is decoded again, so that malformed bytes do not count as an invalid message.
    try:
        value = _json_decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("not an object")
    raise InvalidMessageError(reason)


class LineSplitter:
    """Splits received bytes into lines of at most `max_bytes`, a limit raised after joining."""

    def __init__(self, max_bytes: int = MAX_UNJOINED_LINE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.scanned_bytes = 0  # length of the buffer's prefix known to contain no line end

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the lines that are now complete, without their line ends.

        `check_partial_line` checks the remainder.
        """
        self.buffer += data
        if self.buffer.find(b"\n", self.scanned_bytes) < 0:
            self.scanned_bytes = len(self.buffer)
            return []
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        self.scanned_bytes = len(rest)
        return lines

    def clear(self) -> None:
        """Drop the incomplete line of a peer that has ended."""
        self.buffer = bytearray()
        self.scanned_bytes = 0

    def check_partial_line(self) -> None:
        """Raise MalformedMessageError if the incomplete line cannot become a message."""
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
    """One line of a message to a proxy; all lines of a message but the last are `continued`.

    Changes the table and admission of `traffic_classes`, or of all classes if None. `weights` holds
    workers with their weights, 0 to remove one from the table; with `replaces_table` it is the
    complete table. `eject` and `readmit` are workers and apply to all tables. `ack_number` requests
    an acknowledgement.
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
    """Encode an update as one line."""
    body = _encoder.encode(update)
    return _TABLE_UPDATE_PREFIX + (b"," if len(body) > 2 else b"") + body[1:] + b"\n"


def encode_alive() -> bytes:
    """Encode the reply to a liveness probe."""
    return b'{"@type":"alive"}\n'


def encode_error(reason: str) -> bytes:
    """Encode the reason why a peer's connection is closed."""
    return _encoder.encode({"@type": "error", "why": reason[:200]}) + b"\n"
