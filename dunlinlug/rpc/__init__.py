"""gRPC over HTTP/2 as bytes in, events out; no sockets and no event loop (in the manner of h11 and
h2).
"""

from dunlinlug.rpc.connection import Connection, Status
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

__all__ = [
    "CallStarted",
    "ConnectionClosed",
    "Connection",
    "Deframer",
    "Event",
    "FramingError",
    "HalfClosed",
    "MessageReceived",
    "HeadersReceived",
    "CallReset",
    "Status",
    "TrailersReceived",
    "frame",
]
