"""The manager's address on trio: accepts, moves bytes between sockets and `Peers`, writes orders at once.

A connection is one task. What can't be written at once waits in the connection's own buffer, so that neither the
decision loop nor another peer waits for a peer that does not read.
"""

import errno
import socket
import traceback
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.platform import messages
from dunlinlug.platform.orders import Parcel
from dunlinlug.platform.peers import Peer, Peers, Turned

READ = 2**16  # bytes read at once
UNSENT_MOST = 2**20  # bytes that may wait for a peer: minutes of orders; beyond it the peer does not read at all
JOIN_WITHIN = 1.0  # seconds: the protocol allows to close what has not joined by then
HASTE = 0.25  # seconds that a stranger has at least where there are too many and it has begun to speak
SILENT = 0.05  # seconds where it has said nothing: a joining follows its connect at once, and has come while it queued
FINISH = 0.2  # seconds from a stop for what was begun to go out whole; a planned restart is killed after 0.7
FULL_PAUSE = 0.02  # seconds to pause where descriptors have run out: strangers leave within a second
BACKLOG = 4096  # connections that may wait to be accepted: every proxy of a large fleet at once, and many strangers
GOODBYE = 0.2  # seconds for a peer that was told an error to read it, before its connection is closed


class Link:
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
                data = data[self.sock.send(data):]
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
                    del self.unsent[:self.sock.send(self.unsent[:READ])]
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
        """Whether something has come that is not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def end(self, why: str) -> None:
        self.why = self.why or why
        self.peer.over = True
        self.scope.cancel()


class Front:
    """All connections. At most `strangers_most` that have not joined stand at once."""

    def __init__(self, peers: Peers, strangers_most: int, note: Callable[..., None]) -> None:
        self.peers, self.strangers_most, self.note = peers, strangers_most, note
        self.strangers: dict[Link, None] = {}  # the longest there first
        self.links: dict[Peer, Link] = {}
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
        self.links[peer].write(parcel.data)

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
        streams = {self.links[peer]: None for peer in self.peers.streams.values()}
        for link in list(self.links.values()):
            if link not in streams:
                link.end("we stop")
        with trio.move_on_after(FINISH):
            async with trio.open_nursery() as nursery:
                for link in streams:
                    nursery.start_soon(link.finish)
            while any(link.peer in self.links for link in streams):
                await self.left.wait()

    async def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        if self.accepting.cancel_called:  # Danger: readable in the turn of the stop, it would still be taken
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
        link = Link(sock, trio.current_time())
        self.links[link.peer] = link
        self.strangers[link] = None
        nursery.start_soon(self._attend, link)

    async def _make_room(self) -> None:
        """Danger: strangers by the hundred would leave no descriptor for proxies: the oldest of them gives way, those
        that said nothing first, so that a proxy that waits behind them is soon taken."""
        while len(self.strangers) >= self.strangers_most:
            silent = (link for link in self.strangers if not link.peer.lines.rest)
            oldest = next(silent, next(iter(self.strangers)))
            self.room = trio.Event()
            with trio.move_on_at(oldest.since + (HASTE if oldest.peer.lines.rest else SILENT)):
                await self.room.wait()
            if oldest.waiting():  # Danger: without a core for a while, its joining may have come long ago
                await trio.lowlevel.checkpoint()
                await trio.lowlevel.checkpoint()
            if len(self.strangers) >= self.strangers_most and oldest in self.strangers:
                oldest.end("there are too many that have not joined")
                with trio.move_on_after(FULL_PAUSE):
                    await self.room.wait()

    def _known(self, link: Link) -> None:
        """It has joined or ended."""
        if self.strangers.pop(link, self) is None:
            self.room.set()

    async def _attend(self, link: Link) -> None:
        """One connection from its first byte to its end."""
        try:
            with link.scope:
                if await self._meet(link):
                    async with trio.open_nursery() as nursery:  # strangers by the hundred are spared this
                        nursery.start_soon(link.flush)
                        while await self._once(link):
                            pass
                        nursery.cancel_scope.cancel()
        except Exception as error:  # Danger: a mistake of ours in one connection would end them all
            self.note("link.fault", why="".join(traceback.format_exception(error))[-2000:])
        finally:
            self.peers.left(link.peer)
            self._known(link)
            del self.links[link.peer]
            link.sock.close()
            link.nothing_waits()
            self.left.set()
            self.left = trio.Event()
            self.peers.counts[f"ended: {link.why or 'by the peer'}"] += 1

    async def _meet(self, link: Link) -> bool:
        """Until it joins; tells whether it has."""
        with trio.move_on_at(link.since + JOIN_WITHIN):
            while not link.peer.joined:
                if not await self._once(link):
                    return False
        # Danger: where we had no core for a while, a joining may be waiting that came in time.
        if not link.peer.joined and not await self._read(link):
            return False
        if link.peer.joined:
            self._known(link)
            return True
        link.why = "it did not join"
        return False

    async def _once(self, link: Link) -> bool:
        """One reading; False at the connection's end."""
        await trio.lowlevel.wait_readable(link.sock)
        return await self._read(link)

    async def _read(self, link: Link) -> bool:
        """Take what has come, if anything."""
        try:
            data = link.sock.recv(READ)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        try:
            answer = self.peers.take(link.peer, data, trio.current_time())
        except Turned as fault:
            link.why = "can't be read" if link.peer.joined else "turned away"
            self.peers.sample(f"{link.why}: {fault}", data)
            if not link.peer.joined:  # to collectors nothing is ever written, and what is left is left at once
                await self._goodbye(link, messages.error(str(fault)))
            return False
        if answer:
            link.write(answer)
        return True

    async def _goodbye(self, link: Link, last: bytes) -> None:
        """Danger: closed with bytes unread, a connection is reset, and the peer may never see why."""
        link.write(last)
        try:
            link.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        with trio.move_on_after(GOODBYE):
            while True:
                await trio.lowlevel.wait_readable(link.sock)
                try:
                    if not link.sock.recv(READ):
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
