"""gRPC over trio streams: transfers the bytes of `dunlinlug.rpc`, and connects clients.

Each connection's tasks run in the nursery of its `run` method.
"""

import os
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from math import inf

import trio

from dunlinlug import rpc
from dunlinlug.net.grpc_call import Call, CallEndedError
from dunlinlug.net.peer_limits import RateLimit
from dunlinlug.net.shared_turn import SharedTurn

__all__ = ["Call", "CallEndedError", "GrpcConnection", "connect"]

# Maximum bytes of one read. Many small calls fit in it, and others wait while it is handled.
READ_SIZE = 2**14
NEW_READ_SIZE = 2**12  # the same of a peer without a valid message
# Calls that a peer may open; a proxy has a few, and opens them anew when the leader changes.
MAX_CALLS_PER_SECOND = 200
# Seconds for finishing a write and sending GOAWAY on close; a peer that does not read gets neither.
CLOSE_TIMEOUT = 0.5
# Unwritten bytes above which reading pauses, until the peer has read its responses.
MAX_UNWRITTEN_BYTES = 2**20


def _ignore_bytes(_connection: "GrpcConnection", _byte_count: int) -> None:
    return None


def _ignore_established(_connection: "GrpcConnection") -> None:
    return None


class GrpcConnection:
    """A socket with its protocol state and its calls by stream id.

    Attributes:
        identity: The peer's name in its certificate; empty without TLS.
        node_id: The name that the peer gave itself first; empty until then.
        served_calls: Calls whose handlers run (server side); the peer may have ended them.
        outgoing: Bytes taken from the protocol and not yet written, `unwritten_bytes` in total.
        last_received_at: When the last byte was received (trio's clock).
        resume_reading: Reading is paused until this event is set; None to read.
        scope: Cancel it to close the connection.
        established: Whether the peer has sent a valid message (server side).
        new_bytes_left: Bytes that it may send until then.
        new_work: Limits the work for peers without a valid message, all together.
        on_received: Called with the bytes that are held of incomplete and of unhandled messages
            whenever their number has changed.
        on_unwritten: Called with the bytes that the peer has not read when their number may have
            changed.
        on_established: Called when the peer has sent a valid message.
    """

    def __init__(
        self, socket: trio.abc.Stream, protocol: rpc.Connection, identity: str = ""
    ) -> None:
        self.socket = socket
        self.protocol = protocol
        self.identity = identity
        self.node_id = ""
        self.calls: dict[int, Call] = {}
        self.served_calls = set[Call]()
        self.write_requested = trio.Event()
        self.write_completed = trio.Event()
        self.outgoing = list[bytes]()
        self.unwritten_bytes = 0
        self.last_received_at = trio.current_time()
        self.resume_reading: trio.Event | None = None
        self.write_scope = trio.CancelScope()
        self.write_interrupted = False
        self.close_deadline = inf
        self.scope = trio.CancelScope()
        self.call_rate = RateLimit(MAX_CALLS_PER_SECOND)
        self.established = False
        self.new_bytes_left = inf
        self.new_work: SharedTurn | None = None
        self.on_received: Callable[[GrpcConnection, int], None] = _ignore_bytes
        self.on_unwritten: Callable[[GrpcConnection, int], None] = _ignore_bytes
        self.on_established: Callable[[GrpcConnection], None] = _ignore_established

    def count_received(self) -> None:
        """Report the bytes that are held of the peer's incomplete and unhandled messages."""
        pending_bytes = sum(call.pending_bytes for call in self.served_calls)
        self.on_received(self, self.protocol.held_bytes() + pending_bytes)

    def abort(self) -> None:
        """Close the connection, and drop at once what is held for it.

        The objects of a connection refer to each other, so that they are freed only by a later
        garbage collection.
        """
        self.protocol.discard_held()
        self.close_deadline = trio.current_time()
        self.scope.cancel()

    def establish(self) -> None:
        """Report that the peer has sent a valid message."""
        self.established = True
        self.on_established(self)

    def flush(self) -> None:
        """Write the protocol's pending bytes; the writer task writes the rest later."""
        data = self.protocol.data_to_send()
        if data and not self.unwritten_bytes:
            data = data[self._write_now(data) :]
        if data:
            self.outgoing.append(data)
            self.unwritten_bytes += len(data)
            self.write_requested.set()
        self._count_unwritten()

    def _count_unwritten(self) -> None:
        """Report the bytes that the socket or the peer's flow control holds back."""
        self.on_unwritten(self, self.unwritten_bytes + self.protocol.queued_bytes())

    def _write_now(self, data: bytes) -> int:
        """Write as much as the socket accepts without blocking; returns the number of bytes.

        This saves a switch to the writer task for nearly every message. An error is ignored here,
        as the writer task gets it again.
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
        """Transfer bytes until either side closes the connection.

        Args:
            handler: Serves each call opened by the peer; None on the client side.
            first_call_timeout: Seconds within which the peer must open a call, if there is a
                handler.
            idle_timeout: Seconds without a byte after which the connection is closed; the peer is
                pinged after a third of that.
        """
        try:
            async with trio.open_nursery() as nursery:
                self.scope = nursery.cancel_scope
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
                call.end(None, "the connection was lost")
            self.protocol.discard_held()
            await self._close()

    async def _close(self) -> None:
        """Send pending bytes and GOAWAY, within the close timeout, and close the socket."""
        with trio.move_on_at(self.close_deadline) as scope:
            scope.shield = True
            self.protocol.close()
            # After a partially written frame, the peer would read GOAWAY as the rest of that frame.
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
                data = await self.socket.receive_some(self._read_size())
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self.last_received_at = trio.current_time()
            if not self._admits(len(data)):
                return
            if self.established or self.new_work is None:
                self._handle_received(bytes(data), nursery, handler)
            else:
                async with self.new_work.turn():
                    self._handle_received(bytes(data), nursery, handler)

    def _handle_received(
        self,
        data: bytes,
        nursery: trio.Nursery,
        handler: Callable[[Call], Awaitable[None]] | None,
    ) -> None:
        for event in self.protocol.receive(data):
            self._handle_event(event, nursery, handler)
        self.count_received()
        self.flush()

    def _read_size(self) -> int:
        return READ_SIZE if self.established or self.new_work is None else NEW_READ_SIZE

    def _admits(self, byte_count: int) -> bool:
        """Count received bytes; whether a peer without a valid message may send so many."""
        self.new_bytes_left -= byte_count
        return self.established or self.new_bytes_left >= 0

    def _handle_event(
        self,
        event: rpc.Event,
        nursery: trio.Nursery,
        handler: Callable[[Call], Awaitable[None]] | None,
    ) -> None:
        match event:
            case rpc.CallStarted(stream_id, path) if handler is not None:
                self._handle_call(Call(self, stream_id, path), nursery, handler)
            case rpc.MessageReceived(stream_id, data) if stream_id in self.calls:
                self._handle_message(self.calls[stream_id], data)
            case rpc.HeadersReceived(stream_id) if stream_id in self.calls:
                self.calls[stream_id].headers_received.set()
            case rpc.HalfClosed(stream_id):
                self._end_call(stream_id, None, "the peer ended the call")
            case rpc.CallReset(stream_id, reason):
                if handler is not None and stream_id in self.calls:
                    self.calls[stream_id].reset()
                self._end_call(stream_id, None, reason)
            case rpc.TrailersReceived(stream_id, status, text):
                self._end_call(stream_id, status, text)
            case rpc.ConnectionClosed(reason):
                for stream_id in list(self.calls):
                    self._end_call(stream_id, None, reason)

    def _handle_call(
        self, call: Call, nursery: trio.Nursery, handler: Callable[[Call], Awaitable[None]]
    ) -> None:
        """Serve a call; a peer that opens too many is disconnected."""
        if not self.call_rate.allows(trio.current_time()):
            nursery.cancel_scope.cancel()
            return
        self.calls[call.stream_id] = call
        self.served_calls.add(call)
        nursery.start_soon(self._serve_call, call, handler)

    def _handle_message(self, call: Call, data: bytes) -> None:
        try:
            call.message_sender.send_nowait(data)
            call.pending_bytes += len(data)
        except trio.WouldBlock:
            # Limits the memory used by a peer that sends faster than its messages are handled.
            call.finish(rpc.Status.RESOURCE_EXHAUSTED, "messages come too fast")
            self._end_call(call.stream_id, None, "too many unhandled messages")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _end_call(self, stream_id: int, status: int | None, reason: str) -> None:
        if stream_id in self.calls:
            self.calls.pop(stream_id).end(status, reason)

    async def _serve_call(self, call: Call, handler: Callable[[Call], Awaitable[None]]) -> None:
        try:
            with call.scope, suppress(CallEndedError):
                await handler(call)
        finally:
            self.served_calls.discard(call)
            self.count_received()
        self.protocol.finish(call.stream_id, rpc.Status.OK if call.ended else rpc.Status.CANCELLED)
        self._end_call(call.stream_id, None, "the handler returned")
        self.flush()

    async def _write(self) -> None:
        while True:
            await self.write_requested.wait()
            self.write_requested = trio.Event()
            data = b"".join(self.outgoing)
            self.outgoing = []
            try:
                # Shielded, as after a cancellation it would be unknown how much of a frame was
                # written.
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
                self._count_unwritten()
                self.write_completed.set()
                self.write_completed = trio.Event()

    async def _close_when_idle(
        self, scope: trio.CancelScope, first_call_timeout: float | None, idle_timeout: float
    ) -> None:
        """Cancel `scope` once the connection is idle, then set the deadline for closing.

        The deadline is set for every way in which the connection ends, as this task ends with it.
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
                scope.cancel()  # closes connections of clients that open no call
            if now >= self.last_received_at + idle_timeout:
                scope.cancel()
            if now >= self.last_received_at + idle_timeout / 3:
                self.protocol.ping()
                self.flush()


@asynccontextmanager
async def connect(  # noqa: PLR0913 - address and options
    host: str,
    port: int,
    connect_timeout: float = 2.0,
    *,
    idle_timeout: float = 60.0,
    tls_context: ssl.SSLContext | None = None,
    server_name: str = "",
) -> AsyncIterator[GrpcConnection]:
    """Open a client connection for the duration of the block.

    Args:
        host: The server's host.
        port: Its port.
        connect_timeout: Seconds for connecting, including the TLS handshake.
        idle_timeout: As in `GrpcConnection.run`.
        tls_context: None for plain text.
        server_name: The name required in the server's certificate; the host by default.

    Raises:
        OSError: The connection or the TLS handshake failed or timed out.
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
    """Do the client's side of the TLS handshake. Raises OSError if it fails."""
    stream = trio.SSLStream(socket, context, server_hostname=server_name, https_compatible=True)
    try:
        await stream.do_handshake()
    except trio.BrokenResourceError as error:
        raise OSError(f"TLS handshake with {address} failed: {error.__cause__}") from None
    return stream
