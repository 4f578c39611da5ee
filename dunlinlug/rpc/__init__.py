"""gRPC over HTTP/2 as bytes in, events out; no sockets and no event loop (in the manner of h11 and h2)."""

from dunlinlug.rpc.connection import Connection, Status
from dunlinlug.rpc.events import Called, Closed, Event, HalfClosed, Message, Opened, Reset, Trailers
from dunlinlug.rpc.framing import Deframer, FramingFault, frame

__all__ = [
    "Called",
    "Closed",
    "Connection",
    "Deframer",
    "Event",
    "FramingFault",
    "HalfClosed",
    "Message",
    "Opened",
    "Reset",
    "Status",
    "Trailers",
    "frame",
]
