"""Events of a gRPC connection; `stream_id` is the id of a call's HTTP/2 stream."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallStarted:
    """A peer opened a call (server side)."""

    stream_id: int
    path: str
    metadata: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class HeadersReceived:
    """The server accepted the call and sent its response headers (client side)."""

    stream_id: int


@dataclass(frozen=True)
class MessageReceived:
    """A complete message, without its length prefix."""

    stream_id: int
    data: bytes


@dataclass(frozen=True)
class HalfClosed:
    """The peer will send no more messages on this call."""

    stream_id: int


@dataclass(frozen=True)
class TrailersReceived:
    """The server ended the call with a status (client side)."""

    stream_id: int
    status: int
    text: str


@dataclass(frozen=True)
class CallReset:
    """The call ended without a status: reset by the peer, or after an error in received data."""

    stream_id: int
    reason: str


@dataclass(frozen=True)
class ConnectionClosed:
    """The connection is no longer usable, and all its calls have ended."""

    reason: str


Event = (
    CallStarted
    | HeadersReceived
    | MessageReceived
    | HalfClosed
    | TrailersReceived
    | CallReset
    | ConnectionClosed
)
