"""What a gRPC connection tells its user. Streams are HTTP/2's numbers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Called:
    """A peer opened a call (server side)."""

    stream: int
    path: str
    metadata: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Opened:
    """The server's first headers have come (client side)."""

    stream: int


@dataclass(frozen=True)
class Message:
    """One whole message, its prefix taken off."""

    stream: int
    data: bytes


@dataclass(frozen=True)
class HalfClosed:
    """The peer will send nothing more on this call."""

    stream: int


@dataclass(frozen=True)
class Trailers:
    """The server ended the call with a status (client side)."""

    stream: int
    status: int
    text: str


@dataclass(frozen=True)
class Reset:
    """The call was cut without a status, by the peer or for a fault of its own."""

    stream: int
    why: str


@dataclass(frozen=True)
class Closed:
    """The connection can't be used any more."""

    why: str


Event = Called | Opened | Message | HalfClosed | Trailers | Reset | Closed
