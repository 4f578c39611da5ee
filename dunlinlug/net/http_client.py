"""An HTTP/1.1 client on trio and h11 that reuses connections."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import h11
import trio

from dunlinlug.net.http_messages import (
    MAX_BODY_SIZE,
    READ_SIZE,
    HttpError,
    Response,
    decoded_headers,
)

# Methods that may be repeated, as two requests have the same effect as one (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


async def _next_event(connection: h11.Connection, stream: trio.abc.Stream) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(bytes(await stream.receive_some(READ_SIZE)))


async def _receive_body(
    connection: h11.Connection, stream: trio.abc.Stream, max_size: int
) -> bytes:
    body = bytearray()
    while True:
        event = await _next_event(connection, stream)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the body broke off")
        body += event.data
        if len(body) > max_size:
            raise h11.RemoteProtocolError("the body is over the bound", error_status_hint=413)


@dataclass(frozen=True)
class _OutgoingRequest:
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Client:
    """Sends requests to one address.

    Up to `max_idle_connections` connections stay open between requests; a response body is limited
    to `max_body_size` bytes.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_idle_connections: int = 64,
        max_body_size: int = MAX_BODY_SIZE,
    ) -> None:
        self.host = host
        self.port = port
        self.max_body_size = max_body_size
        self.max_idle_connections = max_idle_connections
        self.idle_connections = deque[tuple[trio.SocketStream, h11.Connection]]()

    async def request(
        self, method: str, path: str, headers: Mapping[str, str] | None = None, body: bytes = b""
    ) -> Response:
        """Send a request and return its response; use a cancel scope to limit the time.

        Raises:
            HttpError: The request failed, and could not be retried.
        """
        reused = await self._take_idle_connection()
        stream, connection = reused or await self._connect()
        completed = False
        try:
            request = _OutgoingRequest(method, path, headers or {}, body)
            response = await self._exchange(stream, connection, request)
            completed = True
        except HttpError as error:
            # The server may have closed an idle connection at the same time. The request is retried
            # only if it was not sent, or is idempotent and no part of a response was received:
            # any other retry could repeat a side effect.
            is_repeatable = method in IDEMPOTENT_METHODS and not error.response_started
            if reused and (not error.request_sent or is_repeatable):
                return await self.request(method, path, headers, body)
            raise
        finally:
            if not completed:
                await trio.aclose_forcefully(stream)
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            # A connection with bytes after the response is not reused: they would be read as the
            # response to the next request.
            unread_bytes, _ = connection.trailing_data
            connection.start_next_cycle()
            if not unread_bytes and len(self.idle_connections) < self.max_idle_connections:
                self.idle_connections.append((stream, connection))
                return response
        await trio.aclose_forcefully(stream)
        return response

    async def _take_idle_connection(self) -> tuple[trio.SocketStream, h11.Connection] | None:
        """Return an idle connection with no data to read, or None.

        A connection that is readable between requests was closed, or received unexpected data.
        """
        while self.idle_connections:
            stream, connection = self.idle_connections.pop()
            if not stream.socket.is_readable():
                return stream, connection
            await trio.aclose_forcefully(stream)
        return None

    async def _connect(self) -> tuple[trio.SocketStream, h11.Connection]:
        try:
            stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, ValueError, OverflowError) as error:  # not a valid host name or port
            raise HttpError(
                f"no connection to {self.host}:{self.port}: {error}", request_sent=False
            ) from None
        return stream, h11.Connection(h11.CLIENT)

    async def _exchange(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: _OutgoingRequest,
    ) -> Response:
        await self._send_request(stream, connection, request)
        return await self._receive_response(stream, connection)

    async def _send_request(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: _OutgoingRequest,
    ) -> None:
        headers = [
            ("host", f"{self.host}:{self.port}"),
            *request.headers.items(),
            ("content-length", str(len(request.body))),
        ]
        try:
            head = h11.Request(method=request.method, target=request.path, headers=headers)
            data = connection.send(head) or b""
            if request.body:
                data += connection.send(h11.Data(data=request.body)) or b""
            data += connection.send(h11.EndOfMessage()) or b""
            await stream.send_all(data)
        except (h11.LocalProtocolError, ValueError) as error:
            raise HttpError(f"invalid request: {error}", request_sent=False) from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"the connection was lost: {error}", request_sent=False) from None

    async def _receive_response(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> Response:
        event: Any = None
        try:
            event = await _next_event(connection, stream)
            if not isinstance(event, h11.Response):
                raise HttpError("the connection was closed before a response", request_sent=True)
            return Response(
                event.status_code,
                decoded_headers(event.headers),
                await _receive_body(connection, stream, self.max_body_size),
            )
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            response_started = event is not None or bool(connection.trailing_data[0])
            raise HttpError(
                f"the response is incomplete: {error}",
                request_sent=True,
                response_started=response_started,
            ) from None

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle_connections:
            await trio.aclose_forcefully(self.idle_connections.pop()[0])
