"""HTTP/1.1 over trio by h11: a small server, and a client that keeps its connections."""

import json
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Any

import h11
import trio

READ = 2**16
LARGEST = (
    8 * 2**20
)  # bytes of a body that is still taken: a list of ten thousand workers is a third of it
IDEMPOTENT = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}
)  # RFC 9110, 9.2.2: twice has the effect of once


class HttpFault(Exception):
    """The exchange failed; `sent` tells whether the peer may have begun to act on the request, `answered` whether it
    said anything."""

    def __init__(self, said: str, sent: bool, answered: bool = False) -> None:
        super().__init__(said)
        self.sent, self.answered = sent, answered


@dataclass(frozen=True)
class Request:
    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Reply:
    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @classmethod
    def json(cls, value: Any, status: int = 200, **headers: str) -> "Reply":
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        return cls(
            status, {"content-type": "application/json", **named}, json.dumps(value).encode()
        )


class NoAnswer(Exception):
    """Raised by a handler to break the connection without an answer."""


def _plain(headers: Any) -> dict[str, str]:
    return {name.decode(): value.decode("latin-1") for name, value in headers}


def _target(raw: bytes) -> tuple[str, dict[str, str]]:
    path, _, query = raw.decode("latin-1").partition("?")
    pairs = (part.partition("=") for part in query.split("&") if part)
    return path, {name: value for name, _, value in pairs}


async def _event(connection: h11.Connection, stream: trio.abc.Stream) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(bytes(await stream.receive_some(READ)))


async def _body(
    connection: h11.Connection, stream: trio.abc.Stream, largest: int = LARGEST
) -> bytes:
    body = bytearray()
    while True:
        event = await _event(connection, stream)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the body broke off")
        body += event.data
        if len(body) > largest:
            raise h11.RemoteProtocolError("the body is over the bound", error_status_hint=413)


Handler = Callable[[Request], Awaitable[Reply]]


async def _request(connection: h11.Connection, stream: trio.SocketStream) -> Request | None:
    event = await _event(connection, stream)
    if not isinstance(event, h11.Request):
        return None
    path, query = _target(event.target)
    body = await _body(connection, stream)
    return Request(event.method.decode(), path, query, _plain(event.headers), body)


class _Stopping:
    """Requests under way when serving is to end: each may still be answered, for so many seconds."""

    def __init__(self, finish: float) -> None:
        self.finish, self.ends_at, self.under_way = finish, inf, set[trio.CancelScope]()

    def begin(self) -> None:
        self.ends_at = trio.current_time() + self.finish
        for scope in self.under_way:
            scope.deadline = self.ends_at

    async def hold(self, exchange: Callable[[], Awaitable[None]]) -> None:
        """Danger: cancelled between a request's effect and its answer, the caller would not know what was done."""
        if not self.finish:
            await exchange()
            return
        with trio.CancelScope(shield=True, deadline=self.ends_at) as scope:
            self.under_way.add(scope)
            try:
                await exchange()
            finally:
                self.under_way.discard(scope)


async def _converse(
    handler: Handler, stream: trio.SocketStream, quiet_most: float, stopping: _Stopping
) -> None:
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=2**16)
    request: Request | None = None

    async def exchange() -> None:
        assert request is not None
        reply = await handler(request)
        await stream.send_all(_written(connection, reply, bare=request.method == "HEAD"))

    try:
        while True:
            request = None
            with trio.move_on_after(quiet_most):
                request = await _request(connection, stream)
            if request is None:
                return
            await stopping.hold(exchange)
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()
    except h11.RemoteProtocolError as error:
        if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            refusal = Reply(error.error_status_hint, {"connection": "close"}, f"{error}\n".encode())
            await stream.send_all(_written(connection, refusal))
    except (trio.BrokenResourceError, trio.ClosedResourceError, NoAnswer):
        return
    finally:
        await trio.aclose_forcefully(stream)


def _written(connection: h11.Connection, reply: Reply, bare: bool = False) -> bytes:
    """The answer's bytes; a `bare` one tells of its body and has none, as HEAD wants it."""
    headers = [*reply.headers.items(), ("content-length", str(len(reply.body)))]
    data = connection.send(h11.Response(status_code=reply.status, headers=headers)) or b""
    if reply.body and not bare:
        data += connection.send(h11.Data(data=reply.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")


async def serve(
    handler: Handler,
    listeners: list[trio.SocketListener],
    quiet_most: float = inf,
    finish: float = 0.0,
) -> None:
    """Answer requests on these listeners until cancelled; a peer that takes longer than `quiet_most` seconds to make a
    request is disconnected. Once cancelled nothing is accepted any more, and what is under way has `finish` seconds to
    be answered."""
    stopping = _Stopping(finish)

    async def one(stream: trio.SocketStream) -> None:
        try:
            await _converse(handler, stream, quiet_most, stopping)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        try:
            await trio.serve_listeners(one, listeners, handler_nursery=nursery)
        finally:
            stopping.begin()


class Client:
    """One peer's address, with connections kept between requests (`idle_most` of them). An answer's body may hold
    `largest` bytes."""

    def __init__(self, host: str, port: int, idle_most: int = 64, largest: int = LARGEST) -> None:
        self.host, self.port, self.largest = host, port, largest
        self.idle_most, self.idle = idle_most, deque[tuple[trio.SocketStream, h11.Connection]]()

    async def ask(
        self, method: str, path: str, headers: Mapping[str, str] | None = None, body: bytes = b""
    ) -> Reply:
        """One exchange; put a cancel scope round it for its bound. Raises HttpFault."""
        kept = await self._kept()
        stream, connection = kept or await self._dial()
        whole = False
        try:
            reply = await self._exchange(stream, connection, method, path, headers or {}, body)
            whole = True
        except HttpFault as fault:
            # A kept connection that its server closed as we wrote. Danger: what may have an effect is not said again
            # unless it was not sent; nor is anything that the peer began to answer.
            if kept and (not fault.sent or method in IDEMPOTENT and not fault.answered):
                return await self.ask(method, path, headers, body)
            raise
        finally:
            if not whole:
                await trio.aclose_forcefully(stream)
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            # Danger: bytes behind a whole answer would be taken for the answer to the next request.
            left_over, _ = connection.trailing_data
            connection.start_next_cycle()
            if not left_over and len(self.idle) < self.idle_most:
                self.idle.append((stream, connection))
                return reply
        await trio.aclose_forcefully(stream)
        return reply

    async def _kept(self) -> tuple[trio.SocketStream, h11.Connection] | None:
        """A connection that stands and is silent. Danger: one that is readable between requests was closed, or holds
        what nobody asked for."""
        while self.idle:
            stream, connection = self.idle.pop()
            if not stream.socket.is_readable():
                return stream, connection
            await trio.aclose_forcefully(stream)
        return None

    async def _dial(self) -> tuple[trio.SocketStream, h11.Connection]:
        try:
            stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, ValueError) as error:  # the second: no text that can name a host
            raise HttpFault(
                f"no connection to {self.host}:{self.port}: {error}", sent=False
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
    ) -> Reply:
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
            raise HttpFault(f"this can't be asked: {error}", sent=False) from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpFault(f"the connection broke: {error}", sent=False) from None
        event: Any = None
        try:
            event = await _event(connection, stream)
            if not isinstance(event, h11.Response):
                raise HttpFault("the connection closed before an answer", sent=True)
            return Reply(
                event.status_code,
                _plain(event.headers),
                await _body(connection, stream, self.largest),
            )
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            answered = event is not None or bool(connection.trailing_data[0])
            raise HttpFault(
                f"the answer broke off: {error}", sent=True, answered=answered
            ) from None

    async def close(self) -> None:
        while self.idle:
            await trio.aclose_forcefully(self.idle.pop()[0])
