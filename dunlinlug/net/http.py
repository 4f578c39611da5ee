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
LARGEST = 8 * 2**20  # bytes of a body that is still taken: a list of ten thousand workers is a third of it


class HttpFault(Exception):
    """The exchange failed; `sent` tells whether the peer may have begun to act on the request."""

    def __init__(self, said: str, sent: bool) -> None:
        super().__init__(said)
        self.sent = sent


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
        return cls(status, {"content-type": "application/json", **named}, json.dumps(value).encode())


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


async def _body(connection: h11.Connection, stream: trio.abc.Stream) -> bytes:
    body = bytearray()
    while True:
        event = await _event(connection, stream)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the body broke off")
        body += event.data
        if len(body) > LARGEST:
            raise h11.RemoteProtocolError("the body is over the bound", error_status_hint=413)


Handler = Callable[[Request], Awaitable[Reply]]


async def _request(connection: h11.Connection, stream: trio.SocketStream) -> Request | None:
    event = await _event(connection, stream)
    if not isinstance(event, h11.Request):
        return None
    path, query = _target(event.target)
    body = await _body(connection, stream)
    return Request(event.method.decode(), path, query, _plain(event.headers), body)


async def _converse(handler: Handler, stream: trio.SocketStream, quiet_most: float) -> None:
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=2**16)
    try:
        while True:
            request = None
            with trio.move_on_after(quiet_most):
                request = await _request(connection, stream)
            if request is None:
                return
            reply = await handler(request)
            await stream.send_all(_written(connection, reply))
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


def _written(connection: h11.Connection, reply: Reply) -> bytes:
    headers = [*reply.headers.items(), ("content-length", str(len(reply.body)))]
    data = connection.send(h11.Response(status_code=reply.status, headers=headers)) or b""
    if reply.body:
        data += connection.send(h11.Data(data=reply.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")


async def serve(handler: Handler, listeners: list[trio.SocketListener], quiet_most: float = inf) -> None:
    """Answer requests on these listeners until cancelled; a peer that takes longer than `quiet_most` seconds to make a
    request is disconnected."""
    async def one(stream: trio.SocketStream) -> None:
        try:
            await _converse(handler, stream, quiet_most)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    await trio.serve_listeners(one, listeners)


class Client:
    """One peer's address, with connections kept between requests (`idle_most` of them)."""

    def __init__(self, host: str, port: int, idle_most: int = 64) -> None:
        self.host, self.port = host, port
        self.idle_most, self.idle = idle_most, deque[tuple[trio.SocketStream, h11.Connection]]()

    async def ask(self, method: str, path: str, headers: Mapping[str, str] | None = None, body: bytes = b"") -> Reply:
        """One exchange; put a cancel scope round it for its bound. Raises HttpFault."""
        kept = bool(self.idle)
        stream, connection = self.idle.pop() if kept else await self._dial()
        whole = False
        try:
            reply = await self._exchange(stream, connection, method, path, headers or {}, body)
            whole = True
        except HttpFault as fault:
            if kept and not fault.sent:
                return await self.ask(method, path, headers, body)
            raise
        finally:
            if not whole:
                await trio.aclose_forcefully(stream)
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            connection.start_next_cycle()
        if connection.our_state is h11.IDLE and len(self.idle) < self.idle_most:
            self.idle.append((stream, connection))
        else:
            await trio.aclose_forcefully(stream)
        return reply

    async def _dial(self) -> tuple[trio.SocketStream, h11.Connection]:
        try:
            stream = await trio.open_tcp_stream(self.host, self.port)
        except OSError as error:
            raise HttpFault(f"no connection to {self.host}:{self.port}: {error}", sent=False) from None
        return stream, h11.Connection(h11.CLIENT)

    async def _exchange(self, stream: trio.SocketStream, connection: h11.Connection, method: str, path: str,
                        headers: Mapping[str, str], body: bytes) -> Reply:
        pairs = [("host", f"{self.host}:{self.port}"), *headers.items(), ("content-length", str(len(body)))]
        data = connection.send(h11.Request(method=method, target=path, headers=pairs)) or b""
        if body:
            data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpFault(f"the connection broke: {error}", sent=False) from None
        try:
            event = await _event(connection, stream)
            if not isinstance(event, h11.Response):
                raise HttpFault("the connection closed before an answer", sent=True)
            return Reply(event.status_code, _plain(event.headers), await _body(connection, stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError) as error:
            raise HttpFault(f"the answer broke off: {error}", sent=True) from None

    async def close(self) -> None:
        while self.idle:
            await trio.aclose_forcefully(self.idle.pop()[0])
