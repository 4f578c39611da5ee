"""The manager's server on trio: accepts connections, reads messages and writes updates.

Each connection is served by one task.
"""

import errno
import socket
import traceback
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.net.peer_limits import ByteBudget
from dunlinlug.platform import messages
from dunlinlug.platform.connections import ConnectionRejectedError, Peer, PeerRegistry
from dunlinlug.platform.orders import ProxyMessage
from dunlinlug.platform.socket_connection import READ_BYTES, Connection

# The protocol allows closing connections that have not joined after this many seconds.
JOIN_TIMEOUT_S = 1.0
# Seconds for which a connection that has sent something but not joined is kept at least, when there
# are too many unjoined connections.
JOINING_GRACE_S = 0.25
# The same for one that has sent nothing; a hello follows the connect immediately, and arrives while
# the connection waits to be accepted.
SILENT_GRACE_S = 0.05
# Seconds to write queued output after a stop; a planned restart kills the process after 0.7 s.
SHUTDOWN_GRACE_S = 0.2
# Seconds to pause when descriptors have run out; unjoined connections end within a second.
DESCRIPTOR_PAUSE_S = 0.02
# Sufficient for all proxies of a large fleet to connect at the same time, and for many other peers.
LISTEN_BACKLOG = 4096
# Seconds that a peer has to read an error before its connection is closed.
ERROR_LINGER_S = 0.2
# Bytes that are read meanwhile; a peer that sends more does not wait for an answer.
MAX_DISCARDED_BYTES = 2**17
# Bytes of buffered output of all connections together.
MAX_UNSENT_BYTES_TOTAL = 2**25
RESOURCE_EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
MAX_TRACEBACK_CHARACTERS = 2000


class ConnectionServer:
    """Serves all connections at the manager's address.

    Keeps at most `max_unjoined` connections that have not joined.
    """

    def __init__(
        self, registry: PeerRegistry, max_unjoined: int, log_event: Callable[..., None]
    ) -> None:
        self.registry = registry
        self.max_unjoined = max_unjoined
        self.log_event = log_event
        self.unjoined: dict[Connection, None] = {}  # oldest first
        self.connections: dict[Peer, Connection] = {}
        self.unjoined_removed = trio.Event()  # set when one has joined or ended
        self.connection_ended = trio.Event()  # set when a connection ends, then replaced
        self.accept_scope = trio.CancelScope()
        self.accepted_count = 0
        self.discard_buffer = bytearray(READ_BYTES)
        self.unsent_output = ByteBudget[Connection](MAX_UNSENT_BYTES_TOTAL)

    def deliver(self, proxy: int, message: ProxyMessage) -> None:
        """Write a message to a proxy; drop it if the proxy is not connected."""
        peer = self.registry.peer_by_proxy.get(proxy)
        if peer is None:
            return
        if message.ack_number is not None:
            peer.pending_acks[message.ack_number] = trio.current_time()
        self.connections[peer].write(message.data)

    async def serve(self, listener: socket.socket) -> None:
        """Accept until `finish` is called, and serve until cancelled; closes the listener."""
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
        """Stop accepting, end all connections but those of proxies, and flush output to proxies.

        Returns once the proxies' connections have ended, or after `SHUTDOWN_GRACE_S`.
        """
        self.accept_scope.cancel()
        proxy_connections = {
            self.connections[peer]: None for peer in self.registry.peer_by_proxy.values()
        }
        for connection in list(self.connections.values()):
            if connection not in proxy_connections:
                connection.end("we stop")
        with trio.move_on_after(SHUTDOWN_GRACE_S):
            async with trio.open_nursery() as nursery:
                for connection in proxy_connections:
                    nursery.start_soon(connection.finish)
            while any(connection.peer in self.connections for connection in proxy_connections):
                await self.connection_ended.wait()

    async def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        # The listener may become readable in the same iteration of the event loop as the stop.
        if self.accept_scope.cancel_called:
            return
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # When no descriptor is left the listener stays readable; the pause avoids a busy loop.
            if error.errno in RESOURCE_EXHAUSTION_ERRORS:
                self.registry.counts["no descriptor"] += 1
                await trio.sleep(DESCRIPTOR_PAUSE_S)
            return
        sock.setblocking(False)
        with suppress(OSError):  # already reset by the peer; the first read detects it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_count += 1
        connection = Connection(sock, trio.current_time(), self._limit_unsent)
        self.connections[connection.peer] = connection
        self.unjoined[connection] = None
        nursery.start_soon(self._serve_connection, connection)

    async def _make_room(self) -> None:
        """End the oldest connections that have not joined while there are too many.

        Hundreds of them would otherwise leave no descriptor for proxies. Those that have sent
        nothing are ended first, so that a proxy queued behind them is accepted soon.
        """
        while len(self.unjoined) >= self.max_unjoined:
            silent = (
                connection
                for connection in self.unjoined
                if not connection.peer.line_splitter.buffer
            )
            oldest = next(silent, next(iter(self.unjoined)))
            has_sent_data = bool(oldest.peer.line_splitter.buffer)
            grace = JOINING_GRACE_S if has_sent_data else SILENT_GRACE_S
            self.unjoined_removed = trio.Event()
            with trio.move_on_at(oldest.accepted_at + grace):
                await self.unjoined_removed.wait()
            # If the process was not scheduled for a while, the hello may have arrived in time.
            if oldest.has_unread_input():
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
            if len(self.unjoined) >= self.max_unjoined and oldest in self.unjoined:
                oldest.end("there are too many that have not joined")
                with trio.move_on_after(DESCRIPTOR_PAUSE_S):
                    await self.unjoined_removed.wait()

    def _limit_unsent(self, connection: Connection) -> None:
        """End peers that do not read while the buffered output of all is too large."""
        self.unsent_output.set_bytes(connection, len(connection.unsent))
        while (largest := self.unsent_output.take_largest()) is not None:
            largest.end("output is too large in sum")

    def _remove_unjoined(self, connection: Connection) -> None:
        """Remove a connection that has joined or ended from the unjoined ones."""
        if connection in self.unjoined:
            del self.unjoined[connection]
            self.unjoined_removed.set()

    async def _serve_connection(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        try:
            with connection.scope:
                if await self._wait_for_join(connection):
                    await self._serve_joined(connection)
        except Exception as error:  # an error in one connection must not end the others
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
        """Read and write until the end; only joined connections need the nursery for this."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.flush)
            while await self._read_when_ready(connection):
                pass
            nursery.cancel_scope.cancel()

    async def _wait_for_join(self, connection: Connection) -> bool:
        """Read until the peer joins or the time limit; return whether it has joined."""
        with trio.move_on_at(connection.accepted_at + JOIN_TIMEOUT_S):
            while not connection.peer.joined:
                if not await self._read_when_ready(connection):
                    return False
        # If the process was not scheduled for a while, a hello that arrived in time may be unread.
        if not connection.peer.joined and not await self._read(connection):
            return False
        if connection.peer.joined:
            self._remove_unjoined(connection)
            return True
        connection.end_reason = "it did not join"
        return False

    async def _read_when_ready(self, connection: Connection) -> bool:
        """Wait for data and handle it; return False at the connection's end."""
        await trio.lowlevel.wait_readable(connection.sock)
        return await self._read(connection)

    async def _read(self, connection: Connection) -> bool:
        """Handle data received so far, if any; return False at the connection's end."""
        try:
            data = connection.sock.recv(connection.read_size())
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
        """Record a rejected connection, and send the error to a peer that has not joined.

        Joined peers get no error: collectors are never sent anything, and a proxy disconnects
        immediately.
        """
        connection.end_reason = "can't be read" if connection.peer.joined else "turned away"
        self.registry.add_sample(f"{connection.end_reason}: {error}", data)
        if not connection.peer.joined:
            await self._send_error(connection, messages.encode_error(str(error)))

    async def _send_error(self, connection: Connection, error_message: bytes) -> None:
        """Send an error, and give the peer time to close the connection first.

        Closing a connection with unread input resets it, and the peer might not receive the error.
        """
        connection.write(error_message)
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        discarded_bytes = 0
        with trio.move_on_after(ERROR_LINGER_S):
            while discarded_bytes < MAX_DISCARDED_BYTES:
                await trio.lowlevel.wait_readable(connection.sock)
                try:
                    received_bytes = connection.sock.recv_into(self.discard_buffer)
                except BlockingIOError:
                    continue
                except OSError:
                    return
                if not received_bytes:
                    return
                discarded_bytes += received_bytes


def listen(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket on IPv4; raises OSError if the address is in use."""
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
