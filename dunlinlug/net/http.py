"""HTTP/1.1 over trio by h11: a small server, and a client that keeps its connections."""

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
MAX_BODY_SIZE = (
    8 * 2**20
)  # bytes of a body that is still taken: a list of ten thousand workers is a third of it
IDEMPOTENT = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}
)  # RFC 9110, 9.2.2: twice has the effect of once


class HttpError(DunlinlugError):
    """The exchange failed; `sent` tells whether the peer may have begun to act on the request,
    `answered` whether it said anything.
    """

    def __init__(self, message: str, request_sent: bool, response_started: bool = False) -> None:
        super().__init__(message)
        self.request_sent = request_sent
        self.response_started = response_started


@dataclass(frozen=True)
class Request:
    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Response:
    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @classmethod
    def json(cls, value: Any, status: int = 200, **headers: str) -> "Response":
        extra_headers = {name.replace("_", "-"): text for name, text in headers.items()}
        return cls(
            status,
            {"content-type": "application/json", **extra_headers},
            json.dumps(value).encode(),
        )


class AbortConnectionError(DunlinlugError):
    """Raised by a handler to break the connection without an answer."""


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
    """Requests under way when serving is to end: each may still be answered, for so many seconds."""

    def __init__(self, grace_period: float) -> None:
        self.grace_period = grace_period
        self.deadline = inf
        self.active_scopes = set[trio.CancelScope]()

    def begin(self) -> None:
        self.deadline = trio.current_time() + self.grace_period
        for scope in self.active_scopes:
            scope.deadline = self.deadline

    async def shield(self, exchange: Callable[[], Awaitable[None]]) -> None:
        """Danger: cancelled between a request's effect and its answer, the caller would not know
        what was done.
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
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=2**16)
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
    """The answer's bytes; a `bare` one tells of its body and has none, as HEAD wants it."""
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
    """Answer requests on these listeners until cancelled; a peer that takes longer than
    `quiet_most` seconds to make a request is disconnected. Once cancelled nothing is accepted
    any more, and what is under way has `finish` seconds to be answered.
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


class Client:
    """One peer's address, with connections kept between requests (`idle_most` of them). An answer's
    body may hold `largest` bytes.
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
        """One exchange; put a cancel scope round it for its bound. Raises HttpFault."""
        reused = await self._take_idle_connection()
        stream, connection = reused or await self._connect()
        completed = False
        try:
            response = await self._exchange(stream, connection, method, path, headers or {}, body)
            completed = True
        except HttpError as error:
            # A kept connection that its server closed as we wrote. Danger: what may have an effect
            # is not said again unless it was not sent; nor is anything that the peer began to
            # answer.
            if reused and (
                not error.request_sent or method in IDEMPOTENT and not error.response_started
            ):
                return await self.request(method, path, headers, body)
            raise
        finally:
            if not completed:
                await trio.aclose_forcefully(stream)
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            # Danger: bytes behind a whole answer would be taken for the answer to the next request.
            unread_bytes, _ = connection.trailing_data
            connection.start_next_cycle()
            if not unread_bytes and len(self.idle_connections) < self.max_idle_connections:
                self.idle_connections.append((stream, connection))
                return response
        await trio.aclose_forcefully(stream)
        return response

    async def _take_idle_connection(self) -> tuple[trio.SocketStream, h11.Connection] | None:
        """A connection that stands and is silent. Danger: one that is readable between requests was
        closed, or holds what nobody asked for.
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
        except (OSError, ValueError) as error:  # the second: no text that can name a host
            raise HttpError(
                f"no connection to {self.host}:{self.port}: {error}", request_sent=False
            ) from None
        return stream, h11.Connection(h11.CLIENT)

    async def _exchange(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Response:
        pairs = [
            ("host", f"{self.host}:{self.port}"),
            *headers.items(),
            ("content-length", str(len(body))),
        ]
        try:
            data = connection.send(h11.Request(method=method, target=path, headers=pairs)) or b""
            if body:
                data += connection.send(h11.Data(data=body)) or b""
            data += connection.send(h11.EndOfMessage()) or b""
            await stream.send_all(data)
        except (h11.LocalProtocolError, ValueError) as error:
            raise HttpError(f"this can't be asked: {error}", request_sent=False) from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"the connection broke: {error}", request_sent=False) from None
        event: Any = None
        try:
            event = await _next_event(connection, stream)
            if not isinstance(event, h11.Response):
                raise HttpError("the connection closed before an answer", request_sent=True)
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
                f"the answer broke off: {error}",
                request_sent=True,
                response_started=response_started,
            ) from None

    async def close(self) -> None:
        while self.idle_connections:
            await trio.aclose_forcefully(self.idle_connections.pop()[0])
