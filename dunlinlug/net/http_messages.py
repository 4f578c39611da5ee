"""Requests and responses of HTTP/1.1, and reading their parts from a stream with h11."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from dunlinlug.errors import DunlinlugError

READ_SIZE = 2**16
# Maximum bytes of a body; a list of ten thousand workers takes a third of it.
MAX_BODY_SIZE = 8 * 2**20


class HttpError(DunlinlugError):
    """An exchange failed.

    Attributes:
        request_sent: Whether the peer may have started to process the request.
        response_started: Whether any part of a response was received.
    """

    def __init__(self, message: str, request_sent: bool, response_started: bool = False) -> None:
        super().__init__(message)
        self.request_sent = request_sent
        self.response_started = response_started


@dataclass(frozen=True)
class Request:
    """A request received by the server; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Response:
    """A response, on the server or the client."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @classmethod
    def json(cls, value: Any, status: int = 200, **headers: str) -> "Response":
        """Create a response with a JSON body; `_` in header argument names is replaced by `-`."""
        extra_headers = {name.replace("_", "-"): text for name, text in headers.items()}
        return cls(
            status,
            {"content-type": "application/json", **extra_headers},
            json.dumps(value).encode(),
        )


class AbortConnectionError(DunlinlugError):
    """Raised by a handler to close the connection without a response."""


def decoded_headers(headers: Any) -> dict[str, str]:
    """Return the headers of an h11 event by name."""
    return {name.decode(): value.decode("latin-1") for name, value in headers}
