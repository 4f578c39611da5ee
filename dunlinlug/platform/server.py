"""The manager's address on trio: accepts connections, reads them and writes orders at once.

Each connection is one task, from its first byte to its end.
"""

import errno
import socket
import traceback
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.platform import messages
from dunlinlug.platform.connections import ConnectionRejectedError, Peer, PeerRegistry
from dunlinlug.platform.orders import ProxyMessage
from dunlinlug.platform.socket_connection import READ_BYTES, Connection

# Seconds: the protocol allows to close what has not joined by then.
JOIN_TIMEOUT_S = 1.0
# Least seconds for a connection that has not joined but sent something, where there are too many.
JOINING_GRACE_S = 0.25
# The same for one that has sent nothing: a hello follows its connect at once, and has arrived while
# the connection waited to be accepted.
SILENT_GRACE_S = 0.05
# Seconds from a stop for what waits to be written; a planned restart is killed after 0.7.
SHUTDOWN_GRACE_S = 0.2
# Seconds to pause where descriptors have run out: who does not join leaves within a second.
DESCRIPTOR_PAUSE_S = 0.02
# Connections that may wait to be accepted: every proxy of a large fleet at once, and many others.
LISTEN_BACKLOG = 4096
# Seconds for a peer that was sent an error to read it, before its connection is closed.
ERROR_LINGER_S = 0.2
NO_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
MAX_TRACEBACK_CHARACTERS = 2000


class ConnectionServer:
    """All connections at the manager's address.

    At most `max_unjoined` that have not joined stand at once.
    """

    def __init__(
        self, registry: PeerRegistry, max_unjoined: int, log_event: Callable[..., None]
    ) -> None:
        self.registry = registry
        self.max_unjoined = max_unjoined
        self.log_event = log_event
        self.unjoined: dict[Connection, None] = {}  # the oldest first
        self.connections: dict[Peer, Connection] = {}
        self.unjoined_left = trio.Event()  # set as one has joined or ended
        self.connection_ended = trio.Event()  # set at each connection's end, then replaced
        self.accept_scope = trio.CancelScope()
        self.accepted_count = 0

    def deliver(self, proxy: int, message: ProxyMessage) -> None:
        """Write a message to a proxy; lost if it is not connected."""
        peer = self.registry.peer_by_proxy.get(proxy)
        if peer is None:
            return
        if message.ack_number is not None:
            peer.pending_acks[message.ack_number] = trio.current_time()
        self.connections[peer].write(message.data)

    async def serve(self, listener: socket.socket) -> None:
        """Accept until `finish` or cancelled, and serve until cancelled; closes the listener."""
        async with trio.open_nursery() as nursery:
            try:
                with self.accept_scope:
                    while True:
                        await trio.lowlevel.wait_readable(listener)
                        await self._make_room()
                        await self._accept(listener, nursery)
            finally:
                listener.close()

    async def finish(self) -> None:
        """Accept no more, end what has not joined as a proxy, and write what waits for proxies.

        Returns once the proxies' connections have ended, at the latest after `SHUTDOWN_GRACE_S`.
        """
        self.accept_scope.cancel()
        streams = {self.connections[peer]: None for peer in self.registry.peer_by_proxy.values()}
        for connection in list(self.connections.values()):
            if connection not in streams:
                connection.end("we stop")
        with trio.move_on_after(SHUTDOWN_GRACE_S):
            async with trio.open_nursery() as nursery:
                for connection in streams:
                    nursery.start_soon(connection.finish)
            while any(connection.peer in self.connections for connection in streams):
                await self.connection_ended.wait()

    async def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        # Without this check, a connection that is readable in the turn of the stop would be taken.
        if self.accept_scope.cancel_called:
            return
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # With no descriptor left the listener stays readable; without a pause, this would spin.
            if error.errno in NO_RESOURCE_ERRORS:
                self.registry.counts["no descriptor"] += 1
                await trio.sleep(DESCRIPTOR_PAUSE_S)
            return
        sock.setblocking(False)
        with suppress(OSError):  # it may already have been reset, which the first reading finds
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_count += 1
        connection = Connection(sock, trio.current_time())
        self.connections[connection.peer] = connection
        self.unjoined[connection] = None
        nursery.start_soon(self._serve_connection, connection)

    async def _make_room(self) -> None:
        """End the oldest connections that have not joined while there are too many.

        Without this, hundreds of them would leave no descriptor for proxies. Those that have sent
        nothing go first, so that a proxy that waits behind them is soon accepted.
        """
        while len(self.unjoined) >= self.max_unjoined:
            silent = (
                connection
                for connection in self.unjoined
                if not connection.peer.line_splitter.buffer
            )
            oldest = next(silent, next(iter(self.unjoined)))
            has_begun = bool(oldest.peer.line_splitter.buffer)
            grace = JOINING_GRACE_S if has_begun else SILENT_GRACE_S
            self.unjoined_left = trio.Event()
            with trio.move_on_at(oldest.accepted_at + grace):
                await self.unjoined_left.wait()
            # Where the process had no core for a while, its hello may have arrived long ago.
            if oldest.has_unread_input():
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
            if len(self.unjoined) >= self.max_unjoined and oldest in self.unjoined:
                oldest.end("there are too many that have not joined")
                with trio.move_on_after(DESCRIPTOR_PAUSE_S):
                    await self.unjoined_left.wait()

    def _remove_unjoined(self, connection: Connection) -> None:
        """Take note that a connection has joined or ended."""
        if connection in self.unjoined:
            del self.unjoined[connection]
            self.unjoined_left.set()

    async def _serve_connection(self, connection: Connection) -> None:
        """Serve one connection from its first byte to its end."""
        try:
            with connection.scope:
                if await self._wait_for_join(connection):
                    await self._serve_joined(connection)
        except Exception as error:  # without this, a fault in one connection would end them all
            self.log_event(
                "connection.internal_error",
                why="".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARACTERS:],
            )
        finally:
            self.registry.remove_peer(connection.peer)
            self._remove_unjoined(connection)
            del self.connections[connection.peer]
            connection.sock.close()
            connection.discard_unsent()
            self.connection_ended.set()
            self.connection_ended = trio.Event()
            self.registry.counts[f"ended: {connection.end_reason or 'by the peer'}"] += 1

    async def _serve_joined(self, connection: Connection) -> None:
        """Read and write until the end; connections that never join are spared the nursery."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.flush)
            while await self._read_when_ready(connection):
                pass
            nursery.cancel_scope.cancel()

    async def _wait_for_join(self, connection: Connection) -> bool:
        """Read until the peer joins; return whether it has."""
        with trio.move_on_at(connection.accepted_at + JOIN_TIMEOUT_S):
            while not connection.peer.joined:
                if not await self._read_when_ready(connection):
                    return False
        # Where the process had no core for a while, a hello may be waiting that came in time.
        if not connection.peer.joined and not await self._read(connection):
            return False
        if connection.peer.joined:
            self._remove_unjoined(connection)
            return True
        connection.end_reason = "it did not join"
        return False

    async def _read_when_ready(self, connection: Connection) -> bool:
        """Read once something has arrived; return False at the connection's end."""
        await trio.lowlevel.wait_readable(connection.sock)
        return await self._read(connection)

    async def _read(self, connection: Connection) -> bool:
        """Handle what has arrived, if anything; return False at the connection's end."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        try:
            answer = self.registry.receive(connection.peer, data, trio.current_time())
        except ConnectionRejectedError as error:
            await self._reject(connection, error, data)
            return False
        if answer:
            connection.write(answer)
        return True

    async def _reject(
        self, connection: Connection, error: ConnectionRejectedError, data: bytes
    ) -> None:
        """Take note of a rejected connection; send the error to a peer that has not joined.

        To joined peers none is sent: to collectors nothing ever is, and a proxy leaves at once.
        """
        connection.end_reason = "can't be read" if connection.peer.joined else "turned away"
        self.registry.add_sample(f"{connection.end_reason}: {error}", data)
        if not connection.peer.joined:
            await self._send_error(connection, messages.encode_error(str(error)))

    async def _send_error(self, connection: Connection, error_message: bytes) -> None:
        """Send an error, and give the peer time to close first.

        A connection that is closed with bytes unread is reset, and the peer might never see why.
        """
        connection.write(error_message)
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        with trio.move_on_after(ERROR_LINGER_S):
            while True:
                await trio.lowlevel.wait_readable(connection.sock)
                try:
                    if not connection.sock.recv(READ_BYTES):
                        return
                except BlockingIOError:
                    continue
                except OSError:
                    return


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket on TCP over IPv4; raises OSError if the address is taken."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
