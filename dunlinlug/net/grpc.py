"""gRPC over trio streams: moves the bytes of `dunlinlug.rpc`, and connects clients.

Each connection's tasks live in the nursery of its `run`.
"""

import os
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from math import inf

import trio

from dunlinlug import rpc
from dunlinlug.errors import DunlinlugError

READ_SIZE = 2**16  # bytes asked of a socket at a time
# Messages that a peer may send ahead of their handling before its call is ended.
MAX_PENDING_MESSAGES = 256
# Seconds at the end for what is being written and for GOAWAY; a peer that takes nothing gets none.
CLOSE_TIMEOUT = 0.5
# Bytes left to write above which nothing more is read, as the peer must take its answers first.
MAX_UNWRITTEN_BYTES = 2**22


class CallEndedError(DunlinlugError):
    """The call is over: its status (None if it ended without one) and the reason."""

    def __init__(self, status: int | None, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Call:
    """One call in progress; messages are bytes.

    Attributes:
        ended: How it ended, or None.
        headers_received: Set once the server's first headers have come (client side), or it ended.
        scope: Cancel it to stop what serves the call.
    """

    def __init__(self, connection: "GrpcConnection", stream_id: int, path: str) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.path = path
        self.message_sender, self.message_receiver = trio.open_memory_channel[bytes](
            MAX_PENDING_MESSAGES
        )
        self.ended: CallEndedError | None = None
        self.headers_received = trio.Event()
        self.scope = trio.CancelScope()

    async def receive(self) -> bytes:
        """The next message.

        Raises:
            CallEndedError: There is none after the last.
        """
        try:
            return await self.message_receiver.receive()
        except trio.EndOfChannel:
            raise self.ended or CallEndedError(None, "the peer ended the call") from None

    def send(self, message: bytes, buffered: bool = False) -> None:
        """Queue a message; look at `unsent_bytes` before queueing many.

        With `buffered`, it is written together with the next one.
        """
        self.connection.protocol.send(self.stream_id, message)
        if not buffered:
            self.connection.flush()

    def accept(self) -> None:
        """Send the response headers (server side)."""
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
        """End the call with a status (server side), after what is queued."""
        self.connection.protocol.finish(self.stream_id, status, text)
        self.connection.flush()

    def cancel(self) -> None:
        """Reset the call."""
        self.connection.protocol.cancel(self.stream_id)
        self.connection.flush()

    def end(self, status: int | None, reason: str) -> None:
        """The call has ended; only the first end counts."""
        self.ended = self.ended or CallEndedError(status, reason)
        self.headers_received.set()
        self.message_sender.close()


class GrpcConnection:
    """A socket with its protocol state and its calls by stream number.

    Attributes:
        identity: The peer's name by its certificate; empty without TLS.
        outgoing: Bytes taken from the protocol and not yet written, `unwritten_bytes` in all.
        last_received_at: When the last byte came (trio's clock).
        resume_reading: Nothing is read until this event is set; None to read.
    """

    def __init__(
        self, socket: trio.abc.Stream, protocol: rpc.Connection, identity: str = ""
    ) -> None:
        self.socket = socket
        self.protocol = protocol
        self.identity = identity
        self.calls: dict[int, Call] = {}
        self.write_requested = trio.Event()
        self.write_completed = trio.Event()
        self.outgoing = list[bytes]()
        self.unwritten_bytes = 0
        self.last_received_at = trio.current_time()
        self.resume_reading: trio.Event | None = None
        self.write_scope = trio.CancelScope()
        self.write_interrupted = False
        self.close_deadline = inf

    def flush(self) -> None:
        """Write what the protocol has to send; the writer gets what does not leave at once."""
        data = self.protocol.data_to_send()
        if data and not self.unwritten_bytes:
            data = data[self._write_now(data) :]
        if data:
            self.outgoing.append(data)
            self.unwritten_bytes += len(data)
            self.write_requested.set()

    def _write_now(self, data: bytes) -> int:
        """Write what the socket takes without waiting; gives the number of bytes.

        It saves a switch to the writer task for nearly every message. An error is left to the
        writer, which meets it again.
        """
        if not isinstance(self.socket, trio.SocketStream):
            return 0
        try:
            return os.write(self.socket.socket.fileno(), data)
        except OSError:
            return 0

    def start_call(self, path: str, authority: str = "manager") -> Call:
        """Open a call (client side)."""
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
        """Move bytes until either side closes.

        Args:
            handler: Serves each call of the peer's; None on the client side.
            first_call_timeout: Seconds until the peer must have opened a call, with a handler.
            idle_timeout: Seconds without a byte after which the connection is closed; the peer is
                pinged after a third of that.
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
            await self._close()

    async def _close(self) -> None:
        """Say goodbye, as far as the peer takes it in time, and close the socket."""
        with trio.move_on_at(self.close_deadline) as scope:
            scope.shield = True
            self.protocol.close()
            # Behind half a frame, GOAWAY would be read as the rest of that frame.
            if not self.write_interrupted:
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
                call = Call(self, stream_id, path)
                self.calls[stream_id] = call
                nursery.start_soon(self._serve_call, call, handler)
            case rpc.MessageReceived(stream_id, data) if stream_id in self.calls:
                self._handle_message(self.calls[stream_id], data)
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

    def _handle_message(self, call: Call, data: bytes) -> None:
        try:
            call.message_sender.send_nowait(data)
        except trio.WouldBlock:
            # Without this limit, a peer that sends without pause would fill our memory.
            call.finish(rpc.Status.RESOURCE_EXHAUSTED, "messages come too fast")
            self._end_call(call.stream_id, None, "flooded")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

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
                # Without the shield, nobody would know after a cancellation how much of a frame
                # was written.
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
        """Cancel `scope` once the connection is idle; after that, limit the time of writing.

        The limit is set however the connection ends, as this task ends with it.
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
                scope.cancel()  # a client that opens no call takes up no connection
            if now >= self.last_received_at + idle_timeout:
                scope.cancel()
            if now >= self.last_received_at + idle_timeout / 3:
                self.protocol.ping()
                self.flush()


@asynccontextmanager
async def connect(  # noqa: PLR0913 - where to, and how
    host: str,
    port: int,
    connect_timeout: float = 2.0,
    *,
    idle_timeout: float = 60.0,
    tls_context: ssl.SSLContext | None = None,
    server_name: str = "",
) -> AsyncIterator[GrpcConnection]:
    """A client's connection, for the time of the block.

    Args:
        host: The server's host.
        port: Its port.
        connect_timeout: Seconds for connecting, with TLS.
        idle_timeout: As in `GrpcConnection.run`.
        tls_context: None for plain text.
        server_name: The name that the server's certificate must have; by default the host's.

    Raises:
        OSError: Nobody answers in time, or TLS fails.
    """
    socket: trio.abc.Stream
    with trio.move_on_after(connect_timeout) as scope:
        socket = await trio.open_tcp_stream(host, port)
        if tls_context is not None:
            socket = await _start_tls(socket, tls_context, server_name or host, f"{host}:{port}")
    if scope.cancelled_caught:
        raise TimeoutError(f"no connection to {host}:{port} within {connect_timeout} s")
    connection = GrpcConnection(socket, rpc.Connection(is_client=True))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: connection.run(idle_timeout=idle_timeout))
        try:
            yield connection
        finally:
            nursery.cancel_scope.cancel()


async def _start_tls(
    socket: trio.SocketStream, context: ssl.SSLContext, server_name: str, address: str
) -> trio.abc.Stream:
    """A client's side of the handshake. Raises OSError if it fails."""
    stream = trio.SSLStream(socket, context, server_hostname=server_name, https_compatible=True)
    try:
        await stream.do_handshake()
    except trio.BrokenResourceError as error:
        raise OSError(f"no TLS with {address}: {error.__cause__}") from None
    return stream
