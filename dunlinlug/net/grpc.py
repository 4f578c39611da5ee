"""Moves the bytes of `dunlinlug.rpc` over trio streams; each link's tasks live in the nursery of
`run`.
"""

import os
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from math import inf

import trio

from dunlinlug import rpc
from dunlinlug.errors import DunlinlugError
from dunlinlug.net import tls

READ_SIZE = 2**16  # bytes asked of a socket at a time
# messages a peer may send ahead of their handling before its call is ended
MAX_PENDING_MESSAGES = 256
# seconds for what is being written at the end, and a goodbye: none is owed to a peer that is stuck
CLOSE_TIMEOUT = 0.5
MAX_UNWRITTEN_BYTES = (
    2**22
)  # bytes left to write from which on nothing more is read: a peer must take its answers


class CallEndedError(DunlinlugError):
    """The call is over: its status (None if it was cut) and what was said."""

    def __init__(self, status: int | None, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Call:
    """One call in progress; messages are bytes."""

    def __init__(self, connection: "GrpcConnection", stream_id: int, path: str) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.path = path
        self.message_sender, self.message_receiver = trio.open_memory_channel[bytes](
            MAX_PENDING_MESSAGES
        )
        self.ended: CallEndedError | None = None
        self.headers_received = (
            trio.Event()
        )  # client side: the server's first headers have come, or it has ended
        self.scope = trio.CancelScope()

    async def receive(self) -> bytes:
        """The next message; raises CallEnded after the last."""
        try:
            return await self.message_receiver.receive()
        except trio.EndOfChannel:
            raise self.ended or CallEndedError(None, "the peer ended the call") from None

    def send(self, message: bytes, buffered: bool = False) -> None:
        """Queue a message; ask `unsent` before piling up more. With `more`, it leaves with the next
        one.
        """
        self.connection.protocol.send(self.stream_id, message)
        if not buffered:
            self.connection.flush()

    def accept(self) -> None:
        self.connection.protocol.accept(self.stream_id)
        self.connection.flush()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that flow control or the socket holds back."""
        return (
            self.connection.protocol.unsent_bytes(self.stream_id) + self.connection.unwritten_bytes
        )

    async def wait_sent(self) -> None:
        """Wait until nothing is held back any more (or the call has ended)."""
        while self.unsent_bytes and self.ended is None:
            await self.connection.write_completed.wait()

    def finish(self, status: rpc.Status, text: str = "") -> None:
        self.connection.protocol.finish(self.stream_id, status, text)
        self.connection.flush()

    def cancel(self) -> None:
        self.connection.protocol.cancel(self.stream_id)
        self.connection.flush()

    def end(self, status: int | None, reason: str) -> None:
        self.ended = self.ended or CallEndedError(status, reason)
        self.headers_received.set()
        self.message_sender.close()


class GrpcConnection:
    """A socket with its connection and calls."""

    def __init__(
        self, socket: trio.abc.Stream, protocol: rpc.Connection, identity: str = ""
    ) -> None:
        """`identity` is the peer's name by its certificate, if it showed one."""
        self.socket = socket
        self.protocol = protocol
        self.identity = identity
        self.calls: dict[int, Call] = {}
        # something to write
        self.write_requested = trio.Event()
        # something was written
        self.write_completed = trio.Event()
        # bytes taken from the connection and not yet written
        self.outgoing = list[bytes]()
        self.unwritten_bytes = 0
        self.last_received_at = trio.current_time()
        self.resume_reading: trio.Event | None = None  # set to stop reading until the event is set
        self.write_scope = trio.CancelScope()
        self.write_interrupted = False
        self.close_deadline = inf

    def flush(self) -> None:
        """Take what the connection has to send; the writer is woken only if there is something."""
        data = self.protocol.data_to_send()
        if data and not self.unwritten_bytes:
            data = data[self._write_now(data) :]
        if data:
            self.outgoing.append(data)
            self.unwritten_bytes += len(data)
            self.write_requested.set()

    def _write_now(self, data: bytes) -> int:
        """Bytes that the socket took without waiting: saves a switch to the writer for nearly every
        message. An error is left for the writer to meet.
        """
        if not isinstance(self.socket, trio.SocketStream):
            return 0
        try:
            return os.write(self.socket.socket.fileno(), data)
        except OSError:
            return 0

    def start_call(self, path: str, authority: str = "manager") -> Call:
        stream_id = self.protocol.start_call(path, authority)
        self.calls[stream_id] = Call(self, stream_id, path)
        self.flush()
        return self.calls[stream_id]

    async def run(
        self,
        handler: Callable[[Call], Awaitable[None]] | None = None,
        first_call_timeout: float = 10.0,
        idle_timeout: float = 60.0,
    ) -> None:
        """Move bytes until either side closes. A peer must open a call within `hello` seconds, if
        we answer calls, and let no more than `quiet_most` seconds pass without a byte (we ping
        it at a third of that).
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                nursery.start_soon(
                    self._close_when_idle,
                    nursery.cancel_scope,
                    first_call_timeout if handler else None,
                    idle_timeout,
                )
                await self._read(nursery, handler)
                nursery.cancel_scope.cancel()
        finally:
            for call in list(self.calls.values()):
                call.end(None, "the link broke")
            with trio.move_on_at(self.close_deadline) as scope:
                scope.shield = True
                self.protocol.close()
                if (
                    not self.write_interrupted
                ):  # Danger: behind half a frame, the goodbye would be read as the rest of it
                    self.flush()
                    with suppress(
                        trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError
                    ):
                        await self.socket.send_all(b"".join(self.outgoing))
            await trio.aclose_forcefully(self.socket)

    async def _read(
        self, nursery: trio.Nursery, handler: Callable[[Call], Awaitable[None]] | None
    ) -> None:
        while not self.protocol.closed:
            while self.unwritten_bytes > MAX_UNWRITTEN_BYTES:
                await self.write_completed.wait()
            if self.resume_reading is not None:
                await self.resume_reading.wait()
            try:
                data = await self.socket.receive_some(READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self.last_received_at = trio.current_time()
            for event in self.protocol.receive(bytes(data)):
                self._handle_event(event, nursery, handler)
            self.flush()

    def _handle_event(
        self,
        event: rpc.Event,
        nursery: trio.Nursery,
        handler: Callable[[Call], Awaitable[None]] | None,
    ) -> None:
        match event:
            case rpc.CallStarted(stream_id, path) if handler is not None:
                call = self.calls[stream_id] = Call(self, stream_id, path)
                nursery.start_soon(self._serve_call, call, handler)
            case rpc.MessageReceived(stream_id, data) if stream_id in self.calls:
                try:
                    self.calls[stream_id].message_sender.send_nowait(data)
                except trio.WouldBlock:  # Danger: a peer that floods would fill our memory
                    self.calls[stream_id].finish(
                        rpc.Status.RESOURCE_EXHAUSTED, "messages come too fast"
                    )
                    self._end_call(stream_id, None, "flooded")
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
            case rpc.HeadersReceived(stream_id) if stream_id in self.calls:
                self.calls[stream_id].headers_received.set()
            case rpc.HalfClosed(stream_id):
                self._end_call(stream_id, None, "the peer ended the call")
            case rpc.CallReset(stream_id, reason):
                self._end_call(stream_id, None, reason)
            case rpc.TrailersReceived(stream_id, status, text):
                self._end_call(stream_id, status, text)
            case rpc.ConnectionClosed(reason):
                for stream_id in list(self.calls):
                    self._end_call(stream_id, None, reason)

    def _end_call(self, stream_id: int, status: int | None, reason: str) -> None:
        if stream_id in self.calls:
            self.calls.pop(stream_id).end(status, reason)

    async def _serve_call(self, call: Call, handler: Callable[[Call], Awaitable[None]]) -> None:
        with call.scope, suppress(CallEndedError):
            await handler(call)
        self.protocol.finish(call.stream_id, rpc.Status.OK if call.ended else rpc.Status.CANCELLED)
        self._end_call(call.stream_id, None, "answered")
        self.flush()

    async def _write(self) -> None:
        while True:
            await self.write_requested.wait()
            self.write_requested = trio.Event()
            data = b"".join(self.outgoing)
            self.outgoing = []
            try:
                # Danger: cancelled in the middle, nobody would know how much of a frame has gone.
                with trio.CancelScope(
                    shield=True, deadline=self.close_deadline
                ) as self.write_scope:
                    await self.socket.send_all(data)
                self.write_interrupted = self.write_scope.cancelled_caught
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await trio.aclose_forcefully(self.socket)
                return
            finally:
                self.unwritten_bytes -= len(data)
                self.write_completed.set()
                self.write_completed = trio.Event()

    async def _close_when_idle(
        self, scope: trio.CancelScope, first_call_timeout: float | None, idle_timeout: float
    ) -> None:
        """Ends a link that is silent for too long; at its end, however that comes, bounds what is
        still written.
        """
        try:
            await self._cancel_when_idle(scope, first_call_timeout, idle_timeout)
        finally:
            self.close_deadline = self.write_scope.deadline = trio.current_time() + CLOSE_TIMEOUT

    async def _cancel_when_idle(
        self, scope: trio.CancelScope, first_call_timeout: float | None, idle_timeout: float
    ) -> None:
        started = trio.current_time()
        while True:
            await trio.sleep(min(first_call_timeout or idle_timeout, idle_timeout / 3))
            now = trio.current_time()
            if (
                first_call_timeout is not None
                and not self.calls
                and now >= started + first_call_timeout
            ):
                scope.cancel()  # a client that connects and says nothing holds no place here
            if now >= self.last_received_at + idle_timeout:
                scope.cancel()
            if now >= self.last_received_at + idle_timeout / 3:
                self.protocol.ping()
                self.flush()


async def serve(
    listeners: list[trio.SocketListener],
    handler: Callable[[Call], Awaitable[None]],
    first_call_timeout: float = 10.0,
    idle_timeout: float = 60.0,
    on_error: Callable[[Exception], None] | None = None,
    get_tls_context: Callable[[], ssl.SSLContext | None] = lambda: None,
    on_unauthenticated: Callable[[str], None] = lambda reason: None,
) -> None:
    """Serve calls on these listeners until cancelled. What goes wrong in a link ends that link and
    is told to `fault`; without it, it ends the serving. `secure` gives the TLS context for each
    new connection, so that keys may change while streams stand; who shows no good certificate is
    told to `unproven`.
    """

    async def serve_socket(socket: trio.SocketStream) -> None:
        try:
            context = get_tls_context()
            if context is None:
                await GrpcConnection(socket, rpc.Connection(is_client=False)).run(
                    handler, first_call_timeout, idle_timeout
                )
            else:
                await serve_tls(socket, context)
        except Exception as error:
            if on_error is None:
                raise
            on_error(error)

    async def serve_tls(socket: trio.SocketStream, context: ssl.SSLContext) -> None:
        stream = trio.SSLStream(socket, context, server_side=True, https_compatible=True)
        try:
            with trio.fail_after(first_call_timeout):
                await stream.do_handshake()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            on_unauthenticated(str(error.__cause__ or "no handshake in time"))
            await trio.aclose_forcefully(stream)
            return
        # Danger: a certificate that has run out meanwhile would go on being believed for as long as
        # its stream stands.
        with trio.move_on_after(max(tls.remaining_validity(stream), 0.0)) as scope:
            await GrpcConnection(
                stream, rpc.Connection(is_client=False), tls.peer_identity(stream)
            ).run(handler, first_call_timeout, idle_timeout)
        if scope.cancelled_caught:
            on_unauthenticated(f"the certificate of {tls.peer_identity(stream)} has run out")

    await trio.serve_listeners(serve_socket, listeners)


@asynccontextmanager
async def connect(
    host: str,
    port: int,
    connect_timeout: float = 2.0,
    idle_timeout: float = 60.0,
    tls_context: ssl.SSLContext | None = None,
    server_name: str = "",
) -> AsyncIterator[GrpcConnection]:
    """A client's link, for the time of the block; raises OSError if nobody answers within that many
    seconds. With a `context` it is TLS, and the server's certificate must be for `name` (or the
    host).
    """
    socket: trio.abc.Stream
    with trio.move_on_after(connect_timeout) as scope:
        socket = await trio.open_tcp_stream(host, port)
        if tls_context is not None:
            socket = trio.SSLStream(
                socket, tls_context, server_hostname=server_name or host, https_compatible=True
            )
            try:
                await socket.do_handshake()
            except trio.BrokenResourceError as error:
                raise OSError(f"no TLS with {host}:{port}: {error.__cause__}") from None
    if scope.cancelled_caught:
        raise TimeoutError(f"no connection to {host}:{port} within {connect_timeout} s")
    connection = GrpcConnection(socket, rpc.Connection(is_client=True))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: connection.run(idle_timeout=idle_timeout))
        try:
            yield connection
        finally:
            nursery.cancel_scope.cancel()
