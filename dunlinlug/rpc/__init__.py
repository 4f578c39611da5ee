"""Sans-I/O gRPC over HTTP/2: bytes in, events out, in the style of h11 and h2.

No sockets and no event loop; `dunlinlug.net.grpc` transfers the bytes.
"""

from dunlinlug.rpc.connection import Connection
from dunlinlug.rpc.events import (
    CallReset,
    CallStarted,
    ConnectionClosed,
    Event,
    HalfClosed,
    HeadersReceived,
    MessageReceived,
    TrailersReceived,
)
from dunlinlug.rpc.framing import Deframer, FramingError, frame
from dunlinlug.rpc.status import Status

__all__ = [
    "CallReset",
    "CallStarted",
    "Connection",
    "ConnectionClosed",
    "Deframer",
    "Event",
    "FramingError",
    "HalfClosed",
    "HeadersReceived",
    "MessageReceived",
    "Status",
    "TrailersReceived",
    "frame",
]
