"""HTTP/1.1 on trio and h11: a server, and a client that reuses connections."""

from dunlinlug.net.http_client import IDEMPOTENT_METHODS, Client
from dunlinlug.net.http_messages import (
    MAX_BODY_SIZE,
    READ_SIZE,
    AbortConnectionError,
    HttpError,
    Request,
    Response,
)
from dunlinlug.net.http_server import (
    MAX_HEADER_SIZE,
    Handler,
    Server,
    ServerLimits,
    ServerOptions,
    serve,
)

__all__ = [
    "IDEMPOTENT_METHODS",
    "MAX_BODY_SIZE",
    "MAX_HEADER_SIZE",
    "READ_SIZE",
    "AbortConnectionError",
    "Client",
    "Handler",
    "HttpError",
    "Request",
    "Response",
    "Server",
    "ServerLimits",
    "ServerOptions",
    "serve",
]
