"""Serves gRPC calls on listeners, in plain text or TLS; an error ends only its own connection."""

import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from dunlinlug import rpc
from dunlinlug.net import tls
from dunlinlug.net.grpc import Call, GrpcConnection
from dunlinlug.net.listening import (
    NEW_CONNECTION_GRACE_S,
    affordable_connections,
    serve_connections,
)
from dunlinlug.net.peer_limits import ByteBudget, ConnectionTable
from dunlinlug.net.shared_turn import SharedTurn


@dataclass(frozen=True)
class ServerOptions:
    """Timeouts and callbacks of a server's connections.

    Attributes:
        first_call_timeout: Seconds for the TLS handshake, and then for the peer to open a call.
        idle_timeout: Seconds without a byte after which a connection is closed; the peer is pinged
            after a third of that.
        on_error: Called with an exception of the handler, which then ends only that connection; if
            None, the exception ends the server.
        get_tls_context: Returns the context for a connection accepted now, so that keys can change
            while streams are open; None for plain text.
        on_unauthenticated: Called with the reason why TLS rejected a peer.
        max_connections: Open connections.
        max_new_connections: Those among them whose peer has sent no valid message yet.
        max_new_bytes: Bytes received on a connection until its peer has sent a valid message.
        max_message_size: Bytes of one received message.
        max_received_bytes: Bytes of incomplete and of unhandled messages of all connections.
        max_unwritten_bytes: Bytes that all peers together have not read.
    """

    first_call_timeout: float = 10.0
    idle_timeout: float = 60.0
    on_error: Callable[[Exception], None] | None = None
    get_tls_context: Callable[[], ssl.SSLContext | None] = lambda: None
    on_unauthenticated: Callable[[str], None] | None = None
    max_connections: int = 2048
    max_new_connections: int = 1024
    max_new_bytes: int = 2**18
    max_message_size: int = 2**21
    max_received_bytes: int = 2**25
    max_unwritten_bytes: int = 2**26


async def serve(
    listeners: list[trio.SocketListener],
    handler: Callable[[Call], Awaitable[None]],
    options: ServerOptions | None = None,
) -> None:
    """Serve calls on these listeners until cancelled; `handler` serves each call until it ends."""
    server = _Server(handler, options or ServerOptions())
    async with trio.open_nursery() as nursery:
        await serve_connections(server.serve_socket, listeners, server.connections, nursery)


class _Server:
    """Serves accepted sockets, in plain text or TLS."""

    def __init__(self, handler: Callable[[Call], Awaitable[None]], options: ServerOptions) -> None:
        self.handler = handler
        self.options = options
        max_connections = affordable_connections(options.max_connections)
        self.connections = ConnectionTable[trio.CancelScope](
            max_connections,
            min(options.max_new_connections, max_connections),
            NEW_CONNECTION_GRACE_S,
        )
        self.new_work = SharedTurn()
        self.received = ByteBudget[GrpcConnection](options.max_received_bytes)
        self.unwritten = ByteBudget[GrpcConnection](options.max_unwritten_bytes)

    async def serve_socket(self, socket: trio.SocketStream) -> None:
        """Serve one connection until it ends; another one may be closed for it."""
        with trio.CancelScope() as scope:
            surplus = self.connections.add(scope, trio.current_time())
            if surplus is not None:
                surplus.cancel()
            try:
                await self._serve_accepted(socket, scope)
            finally:
                self.connections.remove(scope)
                await trio.aclose_forcefully(socket)

    async def _serve_accepted(self, socket: trio.SocketStream, scope: trio.CancelScope) -> None:
        try:
            context = self.options.get_tls_context()
            if context is None:
                await self._serve_connection(socket, scope)
            else:
                await self._serve_tls(socket, scope, context)
        except Exception as error:  # any kind: an error of one connection must not end the others
            if self.options.on_error is None:
                raise
            self.options.on_error(error)

    async def _serve_connection(
        self, stream: trio.abc.Stream, scope: trio.CancelScope, identity: str = ""
    ) -> None:
        async with self.new_work.turn():
            protocol = rpc.Connection(
                is_client=False, max_message_size=self.options.max_message_size
            )
            connection = GrpcConnection(stream, protocol, identity)
        connection.new_work = self.new_work
        connection.new_bytes_left = self.options.max_new_bytes
        connection.on_received = self._count_received
        connection.on_unwritten = self._count_unwritten
        connection.on_established = lambda _connection: self.connections.establish(scope)
        try:
            await connection.run(
                self.handler, self.options.first_call_timeout, self.options.idle_timeout
            )
        finally:
            self.received.set_bytes(connection, 0)
            self.unwritten.set_bytes(connection, 0)

    def _count_received(self, connection: GrpcConnection, byte_count: int) -> None:
        """Count the bytes that a connection holds, and end the largest ones."""
        self.received.set_bytes(connection, byte_count)
        while (largest := self.received.take_largest()) is not None:
            largest.abort()

    def _count_unwritten(self, connection: GrpcConnection, byte_count: int) -> None:
        """Count the bytes that a peer has not read, and end the largest ones."""
        self.unwritten.set_bytes(connection, byte_count)
        while (largest := self.unwritten.take_largest()) is not None:
            largest.abort()

    async def _serve_tls(
        self, socket: trio.SocketStream, scope: trio.CancelScope, context: ssl.SSLContext
    ) -> None:
        stream = trio.SSLStream(socket, context, server_side=True, https_compatible=True)
        try:
            with trio.fail_after(self.options.first_call_timeout):
                await stream.do_handshake()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            self._report_unauthenticated(str(error.__cause__ or "TLS handshake timed out"))
            await trio.aclose_forcefully(stream)
            return
        identity = tls.peer_identity(stream)
        # TLS checks the expiry only at the handshake, but streams stay open for long, so the
        # connection is closed when the certificate expires.
        with trio.move_on_after(max(tls.remaining_validity(stream), 0.0)) as validity_scope:
            await self._serve_connection(stream, scope, identity)
        if validity_scope.cancelled_caught:
            self._report_unauthenticated(f"the certificate of {identity} has expired")

    def _report_unauthenticated(self, reason: str) -> None:
        if self.options.on_unauthenticated is not None:
            self.options.on_unauthenticated(reason)
