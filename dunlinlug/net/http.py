"""HTTP/1.1 on trio and h11: a small server, and a client that reuses connections."""

import json
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Any

import h11
import trio

from dunlinlug.errors import DunlinlugError

READ_SIZE = 2**16
# Maximum bytes of a body; a list of ten thousand workers takes a third of it.
MAX_BODY_SIZE = 8 * 2**20
MAX_HEADER_SIZE = 2**16  # bytes of a request's start line and headers
# Methods that may be repeated, as two requests have the same effect as one (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


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


def _decoded_headers(headers: Any) -> dict[str, str]:
    return {name.decode(): value.decode("latin-1") for name, value in headers}


def _parse_target(raw: bytes) -> tuple[str, dict[str, str]]:
    path, _, query = raw.decode("latin-1").partition("?")
    pairs = (parameter.partition("=") for parameter in query.split("&") if parameter)
    return path, {name: value for name, _, value in pairs}


async def _next_event(connection: h11.Connection, stream: trio.abc.Stream) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(bytes(await stream.receive_some(READ_SIZE)))


async def _receive_body(
    connection: h11.Connection, stream: trio.abc.Stream, max_size: int = MAX_BODY_SIZE
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


Handler = Callable[[Request], Awaitable[Response]]


async def _receive_request(connection: h11.Connection, stream: trio.SocketStream) -> Request | None:
    event = await _next_event(connection, stream)
    if not isinstance(event, h11.Request):
        return None
    path, query = _parse_target(event.target)
    body = await _receive_body(connection, stream)
    return Request(event.method.decode(), path, query, _decoded_headers(event.headers), body)


class _GracefulShutdown:
    """Gives requests in progress at shutdown `grace_period` seconds to be answered."""

    def __init__(self, grace_period: float) -> None:
        self.grace_period = grace_period
        self.deadline = inf
        self.active_scopes = set[trio.CancelScope]()

    def begin(self) -> None:
        """Set the deadline of all requests in progress."""
        self.deadline = trio.current_time() + self.grace_period
        for scope in self.active_scopes:
            scope.deadline = self.deadline

    async def shield(self, exchange: Callable[[], Awaitable[None]]) -> None:
        """Run an exchange shielded from cancellation until the deadline.

        A cancellation between a request's effect and its response would leave the caller unsure
        whether the request was executed.
        """
        if not self.grace_period:
            await exchange()
            return
        with trio.CancelScope(shield=True, deadline=self.deadline) as scope:
            self.active_scopes.add(scope)
            try:
                await exchange()
            finally:
                self.active_scopes.discard(scope)


async def _serve_connection(
    handler: Handler, stream: trio.SocketStream, idle_timeout: float, shutdown: _GracefulShutdown
) -> None:
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_SIZE)
    request: Request | None = None

    async def exchange() -> None:
        assert request is not None
        response = await handler(request)
        await stream.send_all(
            _encode_response(connection, response, headers_only=request.method == "HEAD")
        )

    try:
        while True:
            request = None
            with trio.move_on_after(idle_timeout):
                request = await _receive_request(connection, stream)
            if request is None:
                return
            await shutdown.shield(exchange)
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()
    except h11.RemoteProtocolError as error:
        if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            error_response = Response(
                error.error_status_hint, {"connection": "close"}, f"{error}\n".encode()
            )
            await stream.send_all(_encode_response(connection, error_response))
    except (trio.BrokenResourceError, trio.ClosedResourceError, AbortConnectionError):
        return
    finally:
        await trio.aclose_forcefully(stream)


def _encode_response(
    connection: h11.Connection, response: Response, headers_only: bool = False
) -> bytes:
    """Encode a response; with `headers_only` (for HEAD), the content length without the body."""
    headers = [*response.headers.items(), ("content-length", str(len(response.body)))]
    data = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
    if response.body and not headers_only:
        data += connection.send(h11.Data(data=response.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")


async def serve(
    handler: Handler,
    listeners: list[trio.SocketListener],
    idle_timeout: float = inf,
    grace_period: float = 0.0,
) -> None:
    """Answer requests on these listeners until cancelled.

    Args:
        handler: Answers each request.
        listeners: Where connections are accepted.
        idle_timeout: Seconds within which a peer must send a request.
        grace_period: Seconds for requests in progress after a cancellation, when no new connections
            are accepted.
    """
    shutdown = _GracefulShutdown(grace_period)

    async def serve_stream(stream: trio.SocketStream) -> None:
        try:
            await _serve_connection(handler, stream, idle_timeout, shutdown)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        try:
            await trio.serve_listeners(serve_stream, listeners, handler_nursery=nursery)
        finally:
            shutdown.begin()


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
                _decoded_headers(event.headers),
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
