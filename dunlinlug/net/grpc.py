"""Moves the bytes of `dunlinlug.rpc` over trio streams; each link's tasks live in the nursery of `run`."""

import os
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from math import inf

import trio

from dunlinlug import rpc
from dunlinlug.net import tls

READ = 2**16  # bytes asked of a socket at a time
AHEAD = 256  # messages a peer may send ahead of their handling before its call is ended
GOODBYE = 0.5  # seconds for what is being written at the end, and a goodbye: none is owed to a peer that is stuck
UNREAD = (
    2**22
)  # bytes left to write from which on nothing more is read: a peer must take its answers


class CallEnded(Exception):
    """The call is over: its status (None if it was cut) and what was said."""

    def __init__(self, status: int | None, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Call:
    """One call in progress; messages are bytes."""

    def __init__(self, link: "Link", stream: int, path: str) -> None:
        self.link, self.stream, self.path = link, stream, path
        self.inlet, self.outlet = trio.open_memory_channel[bytes](AHEAD)
        self.ended: CallEnded | None = None
        self.opened = (
            trio.Event()
        )  # client side: the server's first headers have come, or it has ended
        self.scope = trio.CancelScope()

    async def receive(self) -> bytes:
        """The next message; raises CallEnded after the last."""
        try:
            return await self.outlet.receive()
        except trio.EndOfChannel:
            raise self.ended or CallEnded(None, "the peer ended the call") from None

    def send(self, message: bytes, more: bool = False) -> None:
        """Queue a message; ask `unsent` before piling up more. With `more`, it leaves with the next one."""
        self.link.connection.send(self.stream, message)
        if not more:
            self.link.flush()

    def accept(self) -> None:
        self.link.connection.accept(self.stream)
        self.link.flush()

    @property
    def unsent(self) -> int:
        """Bytes that flow control or the socket holds back."""
        return self.link.connection.unsent(self.stream) + self.link.unwritten

    async def drained(self) -> None:
        """Wait until nothing is held back any more (or the call has ended)."""
        while self.unsent and self.ended is None:
            await self.link.moved.wait()

    def finish(self, status: rpc.Status, text: str = "") -> None:
        self.link.connection.finish(self.stream, status, text)
        self.link.flush()

    def cancel(self) -> None:
        self.link.connection.cancel(self.stream)
        self.link.flush()

    def end(self, status: int | None, why: str) -> None:
        self.ended = self.ended or CallEnded(status, why)
        self.opened.set()
        self.inlet.close()


class Link:
    """A socket with its connection and calls."""

    def __init__(
        self, socket: trio.abc.Stream, connection: rpc.Connection, identity: str = ""
    ) -> None:
        """`identity` is the peer's name by its certificate, if it showed one."""
        self.socket, self.connection, self.identity = socket, connection, identity
        self.calls: dict[int, Call] = {}
        self.wanted, self.moved = (
            trio.Event(),
            trio.Event(),
        )  # something to write; something was written
        self.outgoing, self.unwritten = (
            list[bytes](),
            0,
        )  # bytes taken from the connection and not yet written
        self.heard_at = trio.current_time()
        self.gate: trio.Event | None = None  # set to stop reading until the event is set
        self.writing, self.cut, self.ends_at = trio.CancelScope(), False, inf

    def flush(self) -> None:
        """Take what the connection has to send; the writer is woken only if there is something."""
        data = self.connection.data_to_send()
        if data and not self.unwritten:
            data = data[self._write_now(data) :]
        if data:
            self.outgoing.append(data)
            self.unwritten += len(data)
            self.wanted.set()

    def _write_now(self, data: bytes) -> int:
        """Bytes that the socket took without waiting: saves a switch to the writer for nearly every message. An
        error is left for the writer to meet."""
        if not isinstance(self.socket, trio.SocketStream):
            return 0
        try:
            return os.write(self.socket.socket.fileno(), data)
        except OSError:
            return 0

    def call(self, path: str, authority: str = "manager") -> Call:
        stream = self.connection.call(path, authority)
        self.calls[stream] = Call(self, stream, path)
        self.flush()
        return self.calls[stream]

    async def run(
        self,
        answer: Callable[[Call], Awaitable[None]] | None = None,
        hello: float = 10.0,
        quiet_most: float = 60.0,
    ) -> None:
        """Move bytes until either side closes. A peer must open a call within `hello` seconds, if we answer
        calls, and let no more than `quiet_most` seconds pass without a byte (we ping it at a third of that)."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                nursery.start_soon(
                    self._watch, nursery.cancel_scope, hello if answer else None, quiet_most
                )
                await self._read(nursery, answer)
                nursery.cancel_scope.cancel()
        finally:
            for call in list(self.calls.values()):
                call.end(None, "the link broke")
            with trio.move_on_at(self.ends_at) as scope:
                scope.shield = True
                self.connection.close()
                if (
                    not self.cut
                ):  # Danger: behind half a frame, the goodbye would be read as the rest of it
                    self.flush()
                    with suppress(
                        trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError
                    ):
                        await self.socket.send_all(b"".join(self.outgoing))
            await trio.aclose_forcefully(self.socket)

    async def _read(
        self, nursery: trio.Nursery, answer: Callable[[Call], Awaitable[None]] | None
    ) -> None:
        while not self.connection.closed:
            while self.unwritten > UNREAD:
                await self.moved.wait()
            if self.gate is not None:
                await self.gate.wait()
            try:
                data = await self.socket.receive_some(READ)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self.heard_at = trio.current_time()
            for event in self.connection.receive(bytes(data)):
                self._meet(event, nursery, answer)
            self.flush()

    def _meet(
        self,
        event: rpc.Event,
        nursery: trio.Nursery,
        answer: Callable[[Call], Awaitable[None]] | None,
    ) -> None:
        match event:
            case rpc.Called(stream, path) if answer is not None:
                call = self.calls[stream] = Call(self, stream, path)
                nursery.start_soon(self._answer, call, answer)
            case rpc.Message(stream, data) if stream in self.calls:
                try:
                    self.calls[stream].inlet.send_nowait(data)
                except trio.WouldBlock:  # Danger: a peer that floods would fill our memory
                    self.calls[stream].finish(
                        rpc.Status.RESOURCE_EXHAUSTED, "messages come too fast"
                    )
                    self._over(stream, None, "flooded")
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
            case rpc.Opened(stream) if stream in self.calls:
                self.calls[stream].opened.set()
            case rpc.HalfClosed(stream):
                self._over(stream, None, "the peer ended the call")
            case rpc.Reset(stream, why):
                self._over(stream, None, why)
            case rpc.Trailers(stream, status, text):
                self._over(stream, status, text)
            case rpc.Closed(why):
                for stream in list(self.calls):
                    self._over(stream, None, why)

    def _over(self, stream: int, status: int | None, why: str) -> None:
        if stream in self.calls:
            self.calls.pop(stream).end(status, why)

    async def _answer(self, call: Call, answer: Callable[[Call], Awaitable[None]]) -> None:
        with call.scope, suppress(CallEnded):
            await answer(call)
        self.connection.finish(call.stream, rpc.Status.OK if call.ended else rpc.Status.CANCELLED)
        self._over(call.stream, None, "answered")
        self.flush()

    async def _write(self) -> None:
        while True:
            await self.wanted.wait()
            self.wanted = trio.Event()
            data, self.outgoing = b"".join(self.outgoing), []
            try:
                # Danger: cancelled in the middle, nobody would know how much of a frame has gone.
                with trio.CancelScope(shield=True, deadline=self.ends_at) as self.writing:
                    await self.socket.send_all(data)
                self.cut = self.writing.cancelled_caught
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await trio.aclose_forcefully(self.socket)
                return
            finally:
                self.unwritten -= len(data)
                self.moved.set()
                self.moved = trio.Event()

    async def _watch(self, scope: trio.CancelScope, hello: float | None, quiet_most: float) -> None:
        """Ends a link that is silent for too long; at its end, however that comes, bounds what is still written."""
        try:
            await self._listen(scope, hello, quiet_most)
        finally:
            self.ends_at = self.writing.deadline = trio.current_time() + GOODBYE

    async def _listen(
        self, scope: trio.CancelScope, hello: float | None, quiet_most: float
    ) -> None:
        started = trio.current_time()
        while True:
            await trio.sleep(min(hello or quiet_most, quiet_most / 3))
            now = trio.current_time()
            if hello is not None and not self.calls and now >= started + hello:
                scope.cancel()  # a client that connects and says nothing holds no place here
            if now >= self.heard_at + quiet_most:
                scope.cancel()
            if now >= self.heard_at + quiet_most / 3:
                self.connection.ping()
                self.flush()


async def serve(
    listeners: list[trio.SocketListener],
    answer: Callable[[Call], Awaitable[None]],
    hello: float = 10.0,
    quiet_most: float = 60.0,
    fault: Callable[[Exception], None] | None = None,
    secure: Callable[[], ssl.SSLContext | None] = lambda: None,
    unproven: Callable[[str], None] = lambda why: None,
) -> None:
    """Serve calls on these listeners until cancelled. What goes wrong in a link ends that link and is told to
    `fault`; without it, it ends the serving. `secure` gives the TLS context for each new connection, so that keys may
    change while streams stand; who shows no good certificate is told to `unproven`."""

    async def one(socket: trio.SocketStream) -> None:
        try:
            context = secure()
            if context is None:
                await Link(socket, rpc.Connection(client=False)).run(answer, hello, quiet_most)
            else:
                await proven(socket, context)
        except Exception as error:
            if fault is None:
                raise
            fault(error)

    async def proven(socket: trio.SocketStream, context: ssl.SSLContext) -> None:
        stream = trio.SSLStream(socket, context, server_side=True, https_compatible=True)
        try:
            with trio.fail_after(hello):
                await stream.do_handshake()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            unproven(str(error.__cause__ or "no handshake in time"))
            await trio.aclose_forcefully(stream)
            return
        # Danger: a certificate that has run out meanwhile would go on being believed for as long as its stream stands.
        with trio.move_on_after(max(tls.lasts(stream), 0.0)) as scope:
            await Link(stream, rpc.Connection(client=False), tls.identity(stream)).run(
                answer, hello, quiet_most
            )
        if scope.cancelled_caught:
            unproven(f"the certificate of {tls.identity(stream)} has run out")

    await trio.serve_listeners(one, listeners)


@asynccontextmanager
async def dial(
    host: str,
    port: int,
    within: float = 2.0,
    quiet_most: float = 60.0,
    context: ssl.SSLContext | None = None,
    name: str = "",
) -> AsyncIterator[Link]:
    """A client's link, for the time of the block; raises OSError if nobody answers within that many seconds. With a
    `context` it is TLS, and the server's certificate must be for `name` (or the host)."""
    socket: trio.abc.Stream
    with trio.move_on_after(within) as scope:
        socket = await trio.open_tcp_stream(host, port)
        if context is not None:
            socket = trio.SSLStream(
                socket, context, server_hostname=name or host, https_compatible=True
            )
            try:
                await socket.do_handshake()
            except trio.BrokenResourceError as error:
                raise OSError(f"no TLS with {host}:{port}: {error.__cause__}") from None
    if scope.cancelled_caught:
        raise TimeoutError(f"no connection to {host}:{port} within {within} s")
    link = Link(socket, rpc.Connection(client=True))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: link.run(quiet_most=quiet_most))
        try:
            yield link
        finally:
            nursery.cancel_scope.cancel()
