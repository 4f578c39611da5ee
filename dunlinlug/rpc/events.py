"""What a gRPC connection tells its user. Streams are HTTP/2's numbers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallStarted:
    """A peer opened a call (server side)."""

    stream_id: int
    path: str
    metadata: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class HeadersReceived:
    """The server's first headers have come (client side)."""

    stream_id: int


@dataclass(frozen=True)
class MessageReceived:
    """One whole message, its prefix taken off."""

    stream_id: int
    data: bytes


@dataclass(frozen=True)
class HalfClosed:
    """The peer will send nothing more on this call."""

    stream_id: int


@dataclass(frozen=True)
class TrailersReceived:
    """The server ended the call with a status (client side)."""

    stream_id: int
    status: int
    text: str


@dataclass(frozen=True)
class CallReset:
    """The call was cut without a status, by the peer or for a fault of its own."""

    stream_id: int
    reason: str


@dataclass(frozen=True)
class ConnectionClosed:
    """The connection can't be used any more."""

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
