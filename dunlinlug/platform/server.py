"""The manager's address on trio: accepts, moves bytes between sockets and `Peers`, writes orders at
once.

A connection is one task. What can't be written at once waits in the connection's own buffer, so
that neither the decision loop nor another peer waits for a peer that does not read.
"""

import errno
import select
import socket
import traceback
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.platform import messages
from dunlinlug.platform.connections import ConnectionRejectedError, Peer, PeerRegistry
from dunlinlug.platform.orders import ProxyMessage

READ_BYTES = 2**16  # bytes read at once
MAX_UNSENT_BYTES = (
    2**20
)  # bytes that may wait for a peer: minutes of orders; beyond it the peer does not read at all
JOIN_TIMEOUT_S = 1.0  # seconds: the protocol allows to close what has not joined by then
# seconds that one not joined has at least where there are too many and it has begun to speak
JOINING_GRACE_S = 0.25
# seconds where it has said nothing: a joining follows its connect at once, and has come while it
# queued
SILENT_GRACE_S = 0.05
# seconds from a stop for what was begun to go out whole; a planned restart is killed after 0.7
SHUTDOWN_GRACE_S = 0.2
# seconds to pause where descriptors have run out: who does not join leaves within a second
DESCRIPTOR_PAUSE_S = 0.02
# connections that may wait to be accepted: every proxy of a large fleet at once, and many others
LISTEN_BACKLOG = 4096
# seconds for a peer that was told an error to read it, before its connection is closed
ERROR_LINGER_S = 0.2


class Connection:
    """One connection's socket and what waits for it."""

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.accepted_at = now
        self.peer = Peer(self.end)
        self.unsent = bytearray()
        self.output_queued = trio.Event()
        self.output_drained = trio.Event()
        self.scope = trio.CancelScope()
        self.end_reason = ""

    def write(self, data: bytes) -> None:
        """Write at once what the socket takes; the rest follows as it takes more."""
        if not self.unsent:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                return  # its task reads the end of it
        if data:
            self.unsent += data
            self.output_queued.set()
            if len(self.unsent) > MAX_UNSENT_BYTES:
                self.end("it does not read")

    async def flush(self) -> None:
        """Write what waits, for as long as the connection stands."""
        while True:
            await self.output_queued.wait()
            while self.unsent:
                await trio.lowlevel.wait_writable(self.sock)
                try:
                    del self.unsent[: self.sock.send(self.unsent[:READ_BYTES])]
                except BlockingIOError:
                    continue
                except OSError:
                    self.discard_unsent()
                    return
            self.output_queued = trio.Event()
            self.discard_unsent()

    def discard_unsent(self) -> None:
        """All is written, or nothing more will be."""
        self.unsent.clear()
        self.output_drained.set()
        self.output_drained = trio.Event()

    async def finish(self) -> None:
        """What was begun goes out, then our end of it. Danger: closed with bytes unread, a
        connection is reset, and what was written and not yet taken is lost with it; so the peer
        closes first, if it does.
        """
        while self.unsent:
            await self.output_drained.wait()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def has_unread_input(self) -> bool:
        """Whether something has come, be it the end, that is not read yet."""
        if self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def end(self, reason: str) -> None:
        self.end_reason = self.end_reason or reason
        self.peer.ended = True
        self.scope.cancel()


class ConnectionServer:
    """All connections. At most `unjoined_most` that have not joined stand at once."""

    def __init__(
        self, registry: PeerRegistry, max_unjoined: int, log_event: Callable[..., None]
    ) -> None:
        self.registry = registry
        self.max_unjoined = max_unjoined
        self.log_event = log_event
        self.unjoined: dict[Connection, None] = {}  # the longest there first
        self.connections: dict[Peer, Connection] = {}
        self.unjoined_left = trio.Event()
        self.connection_ended = trio.Event()  # set at each connection's end, then replaced
        self.accept_scope = trio.CancelScope()
        self.accepted_count = 0

    def deliver(self, proxy: int, message: ProxyMessage) -> None:
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
        """Nobody is taken any more; what was begun on streams goes out whole, as far as it is taken
        in FINISH.
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
        if (
            self.accept_scope.cancel_called
        ):  # Danger: readable in the turn of the stop, it would still be taken
            return
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # Danger: with no descriptor left the listener stays readable, and this would spin.
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                self.registry.counts["no descriptor"] += 1
                await trio.sleep(DESCRIPTOR_PAUSE_S)
            return
        sock.setblocking(False)
        with suppress(OSError):  # it may already have been reset, which its first reading tells
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_count += 1
        connection = Connection(sock, trio.current_time())
        self.connections[connection.peer] = connection
        self.unjoined[connection] = None
        nursery.start_soon(self._serve_connection, connection)

    async def _make_room(self) -> None:
        """Danger: unjoined ones by the hundred would leave no descriptor for proxies: the oldest of
        them gives way, those that said nothing first, so that a proxy that waits behind them is
        soon taken.
        """
        while len(self.unjoined) >= self.max_unjoined:
            silent = (
                connection
                for connection in self.unjoined
                if not connection.peer.line_splitter.buffer
            )
            oldest = next(silent, next(iter(self.unjoined)))
            self.unjoined_left = trio.Event()
            with trio.move_on_at(
                oldest.accepted_at
                + (JOINING_GRACE_S if oldest.peer.line_splitter.buffer else SILENT_GRACE_S)
            ):
                await self.unjoined_left.wait()
            if (
                oldest.has_unread_input()
            ):  # Danger: without a core for a while, its joining may have come long ago
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
            if len(self.unjoined) >= self.max_unjoined and oldest in self.unjoined:
                oldest.end("there are too many that have not joined")
                with trio.move_on_after(DESCRIPTOR_PAUSE_S):
                    await self.unjoined_left.wait()

    def _mark_joined_or_ended(self, connection: Connection) -> None:
        """It has joined or ended."""
        if self.unjoined.pop(connection, self) is None:
            self.unjoined_left.set()

    async def _serve_connection(self, connection: Connection) -> None:
        """One connection from its first byte to its end."""
        try:
            with connection.scope:
                if await self._wait_for_join(connection):
                    async with (
                        trio.open_nursery() as nursery
                    ):  # those that never join are spared this
                        nursery.start_soon(connection.flush)
                        while await self._read_when_ready(connection):
                            pass
                        nursery.cancel_scope.cancel()
        except Exception as error:  # Danger: a mistake of ours in one connection would end them all
            self.log_event(
                "connection.internal_error", why="".join(traceback.format_exception(error))[-2000:]
            )
        finally:
            self.registry.remove_peer(connection.peer)
            self._mark_joined_or_ended(connection)
            del self.connections[connection.peer]
            connection.sock.close()
            connection.discard_unsent()
            self.connection_ended.set()
            self.connection_ended = trio.Event()
            self.registry.counts[f"ended: {connection.end_reason or 'by the peer'}"] += 1

    async def _wait_for_join(self, connection: Connection) -> bool:
        """Until it joins; tells whether it has."""
        with trio.move_on_at(connection.accepted_at + JOIN_TIMEOUT_S):
            while not connection.peer.joined:
                if not await self._read_when_ready(connection):
                    return False
        # Danger: where we had no core for a while, a joining may be waiting that came in time.
        if not connection.peer.joined and not await self._read(connection):
            return False
        if connection.peer.joined:
            self._mark_joined_or_ended(connection)
            return True
        connection.end_reason = "it did not join"
        return False

    async def _read_when_ready(self, connection: Connection) -> bool:
        """One reading; False at the connection's end."""
        await trio.lowlevel.wait_readable(connection.sock)
        return await self._read(connection)

    async def _read(self, connection: Connection) -> bool:
        """Take what has come, if anything."""
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
            connection.end_reason = "can't be read" if connection.peer.joined else "turned away"
            self.registry.add_sample(f"{connection.end_reason}: {error}", data)
            if (
                not connection.peer.joined
            ):  # to collectors nothing is ever written, and what is left is left at once
                await self._send_error_and_close(connection, messages.encode_error(str(error)))
            return False
        if answer:
            connection.write(answer)
        return True

    async def _send_error_and_close(self, connection: Connection, error_message: bytes) -> None:
        """Danger: closed with bytes unread, a connection is reset, and the peer may never see why."""
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
    """Raises OSError if the place is taken."""
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
