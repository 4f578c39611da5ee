"""One connection at the manager's address: its socket, its peer, and the bytes not yet written.

What cannot be written at once waits in the connection's own buffer, so that neither the decision
loop nor another peer waits for a peer that does not read.
"""

import select
import socket
from contextlib import suppress

import trio

from dunlinlug.platform.connections import Peer

READ_BYTES = 2**16  # bytes read or written at once
# Bytes that may wait for a peer: minutes of orders. Beyond it the peer does not read at all.
MAX_UNSENT_BYTES = 2**20


class Connection:
    """One connection's socket, its peer, and what waits to be written to it.

    `accepted_at` is on trio's clock. Its task runs in `scope`; `end_reason` tells why we ended it.
    """

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
                return  # its task finds the end of it by reading
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
        """Wake who waits for the output: all is written, or nothing more will be."""
        self.unsent.clear()
        self.output_drained.set()
        self.output_drained = trio.Event()

    async def finish(self) -> None:
        """Write what waits, then close our end alone.

        A connection that is closed with bytes unread is reset, and what was written and not yet
        received is lost with it; so the peer closes first, if it does.
        """
        while self.unsent:
            await self.output_drained.wait()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def has_unread_input(self) -> bool:
        """Return whether something has arrived, be it the end, that is not read yet."""
        if self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def end(self, reason: str) -> None:
        """Have the connection's task end; only the first reason is kept."""
        self.end_reason = self.end_reason or reason
        self.peer.ended = True
        self.scope.cancel()
