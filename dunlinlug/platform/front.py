"""The manager's address on trio: accepts, moves bytes between sockets and `Peers`, writes orders at once.

A connection is one task. What can't be written at once waits in the connection's own buffer, so that neither the
decision loop nor another peer waits for a peer that does not read.
"""

import errno
import select
import socket
import traceback
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.platform import messages
from dunlinlug.platform.orders import Parcel
from dunlinlug.platform.peers import Peer, Peers, Turned

READ = 2**16  # bytes read at once
UNSENT_MOST = (
    2**20
)  # bytes that may wait for a peer: minutes of orders; beyond it the peer does not read at all
JOIN_WITHIN = 1.0  # seconds: the protocol allows to close what has not joined by then
HASTE = 0.25  # seconds that one not joined has at least where there are too many and it has begun to speak
SILENT = 0.05  # seconds where it has said nothing: a joining follows its connect at once, and has come while it queued
FINISH = 0.2  # seconds from a stop for what was begun to go out whole; a planned restart is killed after 0.7
FULL_PAUSE = 0.02  # seconds to pause where descriptors have run out: who does not join leaves within a second
BACKLOG = 4096  # connections that may wait to be accepted: every proxy of a large fleet at once, and many others
GOODBYE = (
    0.2  # seconds for a peer that was told an error to read it, before its connection is closed
)


class Connection:
    """One connection's socket and what waits for it."""

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock, self.since = sock, now
        self.peer = Peer(self.end)
        self.unsent = bytearray()
        self.more, self.emptied = trio.Event(), trio.Event()
        self.scope = trio.CancelScope()
        self.why = ""

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
            self.more.set()
            if len(self.unsent) > UNSENT_MOST:
                self.end("it does not read")

    async def flush(self) -> None:
        """Write what waits, for as long as the connection stands."""
        while True:
            await self.more.wait()
            while self.unsent:
                await trio.lowlevel.wait_writable(self.sock)
                try:
                    del self.unsent[: self.sock.send(self.unsent[:READ])]
                except BlockingIOError:
                    continue
                except OSError:
                    self.nothing_waits()
                    return
            self.more = trio.Event()
            self.nothing_waits()

    def nothing_waits(self) -> None:
        """All is written, or nothing more will be."""
        self.unsent.clear()
        self.emptied.set()
        self.emptied = trio.Event()

    async def finish(self) -> None:
        """What was begun goes out, then our end of it. Danger: closed with bytes unread, a connection is reset, and
        what was written and not yet taken is lost with it; so the peer closes first, if it does."""
        while self.unsent:
            await self.emptied.wait()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def waiting(self) -> bool:
        """Whether something has come, be it the end, that is not read yet."""
        if self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def end(self, why: str) -> None:
        self.why = self.why or why
        self.peer.over = True
        self.scope.cancel()


class Front:
    """All connections. At most `unjoined_most` that have not joined stand at once."""

    def __init__(self, peers: Peers, unjoined_most: int, note: Callable[..., None]) -> None:
        self.peers, self.unjoined_most, self.note = peers, unjoined_most, note
        self.unjoined: dict[Connection, None] = {}  # the longest there first
        self.connections: dict[Peer, Connection] = {}
        self.room = trio.Event()
        self.left = trio.Event()  # set at each connection's end, then replaced
        self.accepting = trio.CancelScope()
        self.accepted = 0

    def deliver(self, proxy: int, parcel: Parcel) -> None:
        peer = self.peers.streams.get(proxy)
        if peer is None:
            return
        if parcel.mark is not None:
            peer.marks[parcel.mark] = trio.current_time()
        self.connections[peer].write(parcel.data)

    async def serve(self, listener: socket.socket) -> None:
        """Accept until `finish` or cancelled, and serve until cancelled; closes the listener."""
        async with trio.open_nursery() as nursery:
            try:
                with self.accepting:
                    while True:
                        await trio.lowlevel.wait_readable(listener)
                        await self._make_room()
                        await self._accept(listener, nursery)
            finally:
                listener.close()

    async def finish(self) -> None:
        """Nobody is taken any more; what was begun on streams goes out whole, as far as it is taken in FINISH."""
        self.accepting.cancel()
        streams = {self.connections[peer]: None for peer in self.peers.streams.values()}
        for connection in list(self.connections.values()):
            if connection not in streams:
                connection.end("we stop")
        with trio.move_on_after(FINISH):
            async with trio.open_nursery() as nursery:
                for connection in streams:
                    nursery.start_soon(connection.finish)
            while any(connection.peer in self.connections for connection in streams):
                await self.left.wait()

    async def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        if (
            self.accepting.cancel_called
        ):  # Danger: readable in the turn of the stop, it would still be taken
            return
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # Danger: with no descriptor left the listener stays readable, and this would spin.
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                self.peers.counts["no descriptor"] += 1
                await trio.sleep(FULL_PAUSE)
            return
        sock.setblocking(False)
        with suppress(OSError):  # it may already have been reset, which its first reading tells
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted += 1
        connection = Connection(sock, trio.current_time())
        self.connections[connection.peer] = connection
        self.unjoined[connection] = None
        nursery.start_soon(self._attend, connection)

    async def _make_room(self) -> None:
        """Danger: unjoined ones by the hundred would leave no descriptor for proxies: the oldest of them gives way,
        those that said nothing first, so that a proxy that waits behind them is soon taken."""
        while len(self.unjoined) >= self.unjoined_most:
            silent = (connection for connection in self.unjoined if not connection.peer.lines.rest)
            oldest = next(silent, next(iter(self.unjoined)))
            self.room = trio.Event()
            with trio.move_on_at(oldest.since + (HASTE if oldest.peer.lines.rest else SILENT)):
                await self.room.wait()
            if (
                oldest.waiting()
            ):  # Danger: without a core for a while, its joining may have come long ago
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
            if len(self.unjoined) >= self.unjoined_most and oldest in self.unjoined:
                oldest.end("there are too many that have not joined")
                with trio.move_on_after(FULL_PAUSE):
                    await self.room.wait()

    def _known(self, connection: Connection) -> None:
        """It has joined or ended."""
        if self.unjoined.pop(connection, self) is None:
            self.room.set()

    async def _attend(self, connection: Connection) -> None:
        """One connection from its first byte to its end."""
        try:
            with connection.scope:
                if await self._meet(connection):
                    async with (
                        trio.open_nursery() as nursery
                    ):  # those that never join are spared this
                        nursery.start_soon(connection.flush)
                        while await self._once(connection):
                            pass
                        nursery.cancel_scope.cancel()
        except Exception as error:  # Danger: a mistake of ours in one connection would end them all
            self.note("connection.fault", why="".join(traceback.format_exception(error))[-2000:])
        finally:
            self.peers.left(connection.peer)
            self._known(connection)
            del self.connections[connection.peer]
            connection.sock.close()
            connection.nothing_waits()
            self.left.set()
            self.left = trio.Event()
            self.peers.counts[f"ended: {connection.why or 'by the peer'}"] += 1

    async def _meet(self, connection: Connection) -> bool:
        """Until it joins; tells whether it has."""
        with trio.move_on_at(connection.since + JOIN_WITHIN):
            while not connection.peer.joined:
                if not await self._once(connection):
                    return False
        # Danger: where we had no core for a while, a joining may be waiting that came in time.
        if not connection.peer.joined and not await self._read(connection):
            return False
        if connection.peer.joined:
            self._known(connection)
            return True
        connection.why = "it did not join"
        return False

    async def _once(self, connection: Connection) -> bool:
        """One reading; False at the connection's end."""
        await trio.lowlevel.wait_readable(connection.sock)
        return await self._read(connection)

    async def _read(self, connection: Connection) -> bool:
        """Take what has come, if anything."""
        try:
            data = connection.sock.recv(READ)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        try:
            answer = self.peers.take(connection.peer, data, trio.current_time())
        except Turned as fault:
            connection.why = "can't be read" if connection.peer.joined else "turned away"
            self.peers.sample(f"{connection.why}: {fault}", data)
            if (
                not connection.peer.joined
            ):  # to collectors nothing is ever written, and what is left is left at once
                await self._goodbye(connection, messages.error(str(fault)))
            return False
        if answer:
            connection.write(answer)
        return True

    async def _goodbye(self, connection: Connection, last: bytes) -> None:
        """Danger: closed with bytes unread, a connection is reset, and the peer may never see why."""
        connection.write(last)
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        with trio.move_on_after(GOODBYE):
            while True:
                await trio.lowlevel.wait_readable(connection.sock)
                try:
                    if not connection.sock.recv(READ):
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
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
