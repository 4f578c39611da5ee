"""An HTTP/1.1 server on trio and h11, with limits on what all its clients use together."""

import fcntl
import select
import termios
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf
from typing import Any

import h11
import trio

from dunlinlug.net.http_messages import (
    MAX_BODY_SIZE,
    AbortConnectionError,
    Request,
    Response,
    decoded_headers,
)
from dunlinlug.net.listening import (
    NEW_CONNECTION_GRACE_S,
    affordable_connections,
    serve_connections,
)
from dunlinlug.net.peer_limits import ByteBudget, ConnectionTable

READ_SIZE = 2**14
MAX_HEADER_SIZE = 2**16  # bytes of a request's start line and headers
# Seconds that a client has to read an error response before its connection is closed, and the bytes
# that are read and dropped meanwhile.
ERROR_LINGER_S = 0.2
MAX_DISCARDED_BYTES = 2**17
# Poll events of a peer that has closed its side, of Linux where the system has it, and of one that
# has closed both sides or reset the connection.
PEER_FINISHED = getattr(select, "POLLRDHUP", 0)
PEER_GONE = select.POLLHUP | select.POLLERR

Handler = Callable[[Request], Awaitable[Response]]
# Returns the response to a request that is rejected by its headers, before its body is received.
HeaderCheck = Callable[[Request], Response | None]
ErrorCallback = Callable[[Exception], None]


@dataclass(frozen=True)
class ServerLimits:
    """Limits of a server.

    Attributes:
        max_connections: Open connections.
        max_new_connections: Those among them whose client has sent no complete, trusted request.
        max_body_size: Bytes of one request's body.
        max_received_bytes: Bytes of the incomplete requests of all clients.
    """

    max_connections: int = 4096
    max_new_connections: int = 2048
    max_body_size: int = MAX_BODY_SIZE
    max_received_bytes: int = 2**26


@dataclass(frozen=True)
class ServerOptions:
    """Limits and callbacks of a server.

    Attributes:
        limits: What all clients may use together.
        check_headers: May reject a request before its body is received.
        is_trusted: Whether the client of a complete request keeps its connection when others come.
        on_error: Called with an exception of the handler, which then ends only that connection; if
            None, the exception ends the server.
    """

    limits: ServerLimits = ServerLimits()
    check_headers: HeaderCheck = lambda _request: None
    is_trusted: Callable[[Request], bool] = lambda _request: True
    on_error: ErrorCallback | None = None


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


class Server:
    """What the connections of some listeners share: handler, options, and the state of the limits.

    `idle_timeout` and `grace_period` are as in `serve`.
    """

    def __init__(
        self,
        handler: Handler,
        idle_timeout: float,
        grace_period: float,
        options: ServerOptions,
    ) -> None:
        self.handler = handler
        self.idle_timeout = idle_timeout
        self.shutdown = _GracefulShutdown(grace_period)
        self.options = options
        limits = options.limits
        max_connections = affordable_connections(limits.max_connections)
        self.connections = ConnectionTable[_Connection](
            max_connections,
            min(limits.max_new_connections, max_connections),
            NEW_CONNECTION_GRACE_S,
        )
        self.received = ByteBudget[_Connection](limits.max_received_bytes)

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends; another one may be closed for it."""
        connection = _Connection(self, stream)
        surplus = self.connections.add(connection, trio.current_time())
        if surplus is not None:
            surplus.receive_scope.cancel()
        try:
            await connection.serve()
        except (trio.BrokenResourceError, trio.ClosedResourceError, AbortConnectionError):
            return
        except Exception as error:  # any kind: an error of one connection must not end the others
            if self.options.on_error is None:
                raise
            self.options.on_error(error)
        finally:
            self.connections.remove(connection)
            self.received.set_bytes(connection, 0)
            await trio.aclose_forcefully(stream)

    def count_received(self, connection: "_Connection", byte_count: int) -> None:
        """Count the bytes of a connection's incomplete request, and end the largest ones."""
        self.received.set_bytes(connection, byte_count)
        while (largest := self.received.take_largest()) is not None:
            largest.receive_scope.cancel()


class _Connection:
    """One client's connection; `receive_scope` ends it while no request is being answered."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_SIZE)
        self.receive_scope = trio.CancelScope()

    async def serve(self) -> None:
        """Answer one request after the other, until the connection ends."""
        try:
            while True:
                request = await self._receive()
                if request is None or self._is_abandoned():
                    return
                await self._answer(request)
                if self.protocol.our_state is h11.MUST_CLOSE:
                    return
                self.protocol.start_next_cycle()
                self.receive_scope = trio.CancelScope()
        except h11.RemoteProtocolError as error:
            if self.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                response = Response(error.error_status_hint, {}, f"{error}\n".encode())
                await self._reject(response)

    async def _receive(self) -> Request | None:
        """Return the next request; None at the end, after a timeout and for a rejected one."""
        request: Request | None = None
        rejection: Response | None = None
        with self.receive_scope:
            self.receive_scope.deadline = trio.current_time() + self.server.idle_timeout
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            headers = _request_of(event)
            rejection = self._check(headers)
            if rejection is None:
                body = await self._receive_body()
                request = Request(
                    headers.method, headers.path, headers.query, headers.headers, body
                )
        self.server.count_received(self, 0)
        if rejection is not None:
            await self._reject(rejection)
        if request is not None and self.server.options.is_trusted(request):
            self.server.connections.establish(self)
        return request

    def _check(self, headers: Request) -> Response | None:
        """Return the response to a request that is rejected before its body, or None."""
        length = headers.headers.get("content-length", "0")
        if int(length) > self.server.options.limits.max_body_size:
            return Response(413, {}, b"the body is over the bound\n")
        return self.server.options.check_headers(headers)

    async def _next_event(self, held_bytes: int = 0) -> Any:
        """Return the next event; `held_bytes` are those of the body so far."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = bytes(await self.stream.receive_some(READ_SIZE))
            self.protocol.receive_data(data)
            held_bytes += len(data)
            self.server.count_received(self, held_bytes)

    async def _receive_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event(len(body))
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the body broke off")
            body += event.data
            if len(body) > self.server.options.limits.max_body_size:
                raise h11.RemoteProtocolError("the body is over the bound", error_status_hint=413)

    def _is_abandoned(self) -> bool:
        """Whether the client has gone, so that its request must have no effect any more.

        A client may close its side after its last request and still read the response. One that has
        closed it with further requests unread waits for none of the responses.
        """
        poll = select.poll()
        poll.register(self.stream.socket, PEER_GONE | PEER_FINISHED)
        found = poll.poll(0)
        events = found[0][1] if found else 0
        if events & PEER_GONE:
            return True
        has_further_requests = bool(self.protocol.trailing_data[0]) or self._has_unread_bytes()
        return bool(events & PEER_FINISHED) and has_further_requests

    def _has_unread_bytes(self) -> bool:
        unread = fcntl.ioctl(self.stream.socket.fileno(), termios.FIONREAD, bytes(4))
        return any(unread)

    async def _answer(self, request: Request) -> None:
        async def exchange() -> None:
            response = await self.server.handler(request)
            data = self._encode(response, headers_only=request.method == "HEAD")
            await self.stream.send_all(data)

        await self.server.shutdown.shield(exchange)

    async def _reject(self, response: Response) -> None:
        """Send a response and close the connection, after the client had time to read it.

        Closing a connection with unread input resets it, which may discard the response.
        """
        closing = Response(
            response.status, {**response.headers, "connection": "close"}, response.body
        )
        with trio.move_on_after(ERROR_LINGER_S):
            await self.stream.send_all(self._encode(closing))
            await self.stream.send_eof()
            discarded_bytes = 0
            while discarded_bytes < MAX_DISCARDED_BYTES:
                data = await self.stream.receive_some(READ_SIZE)
                if not data:
                    return
                discarded_bytes += len(data)

    def _encode(self, response: Response, headers_only: bool = False) -> bytes:
        """Encode a response; with `headers_only` (for HEAD), without its body."""
        headers = [*response.headers.items(), ("content-length", str(len(response.body)))]
        data = self.protocol.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body and not headers_only:
            data += self.protocol.send(h11.Data(data=response.body)) or b""
        return data + (self.protocol.send(h11.EndOfMessage()) or b"")


def _request_of(event: h11.Request) -> Request:
    """Return a request's start line and headers, without its body."""
    path, _, query = event.target.decode("latin-1").partition("?")
    pairs = (parameter.partition("=") for parameter in query.split("&") if parameter)
    parameters = {name: value for name, _, value in pairs}
    return Request(event.method.decode(), path, parameters, decoded_headers(event.headers), b"")


async def serve(
    handler: Handler,
    listeners: list[trio.SocketListener],
    idle_timeout: float = inf,
    grace_period: float = 0.0,
    options: ServerOptions | None = None,
) -> None:
    """Answer requests on these listeners until cancelled.

    Args:
        handler: Answers each request.
        listeners: Where connections are accepted.
        idle_timeout: Seconds within which a peer must send a request.
        grace_period: Seconds for requests in progress after a cancellation, when no new connections
            are accepted.
        options: Limits and callbacks.
    """
    server = Server(handler, idle_timeout, grace_period, options or ServerOptions())
    async with trio.open_nursery() as nursery:
        try:
            await serve_connections(server.serve_stream, listeners, server.connections, nursery)
        finally:
            server.shutdown.begin()
