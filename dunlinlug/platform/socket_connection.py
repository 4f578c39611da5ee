"""One connection at the manager's address: its socket, its peer and its output buffer.

Output that cannot be written immediately is kept in the connection's own buffer, so that a peer
that does not read blocks neither the decision loop nor another peer.
"""

import select
import socket
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.platform.connections import Peer
from dunlinlug.platform.messages import MAX_UNJOINED_LINE_BYTES

READ_BYTES = 2**16  # maximum bytes in one read or write
# The same of a peer that has not joined; just more than its longest message.
UNJOINED_READ_BYTES = MAX_UNJOINED_LINE_BYTES + 1
# Limit of buffered output, enough for minutes of updates; a peer beyond it does not read at all.
MAX_UNSENT_BYTES = 2**20


class Connection:
    """A connection's socket, its peer and its output buffer.

    `accepted_at` is on trio's clock. The connection's task runs in `scope`; `end_reason` is the
    reason if the manager ended the connection. `on_unsent_changed` is called when the buffer has
    changed.
    """

    def __init__(
        self,
        sock: socket.socket,
        now: float,
        on_unsent_changed: Callable[["Connection"], None] = lambda _connection: None,
    ) -> None:
        self.sock = sock
        self.on_unsent_changed = on_unsent_changed
        self.accepted_at = now
        self.peer = Peer(self.end)
        self.unsent = bytearray()
        self.output_queued = trio.Event()
        self.output_drained = trio.Event()
        self.scope = trio.CancelScope()
        self.end_reason = ""

    def write(self, data: bytes) -> None:
        """Write as much as the socket accepts immediately, and buffer the rest."""
        if not self.unsent:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                return  # the connection's task detects the end when it reads
        if data:
            self.unsent += data
            self.output_queued.set()
            if len(self.unsent) > MAX_UNSENT_BYTES:
                self.end("it does not read")
            self.on_unsent_changed(self)

    def read_size(self) -> int:
        """Return the maximum bytes of the next read."""
        return READ_BYTES if self.peer.joined else UNJOINED_READ_BYTES

    async def flush(self) -> None:
        """Write buffered output until cancelled or the connection fails."""
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
                self.on_unsent_changed(self)
            self.output_queued = trio.Event()
            self.discard_unsent()

    def discard_unsent(self) -> None:
        """Clear the buffer and wake tasks that wait for it: no more of it will be written."""
        self.unsent.clear()
        self.on_unsent_changed(self)
        self.output_drained.set()
        self.output_drained = trio.Event()

    async def finish(self) -> None:
        """Wait until buffered output is written, then close only the sending direction.

        Closing a connection with unread input resets it, which discards output that the peer has
        not received yet. Therefore the peer is given the chance to close first.
        """
        while self.unsent:
            await self.output_drained.wait()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def has_unread_input(self) -> bool:
        """Return whether there is unread input, or the end of the input."""
        if self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def end(self, reason: str) -> None:
        """End the connection's task; only the first reason is kept."""
        self.end_reason = self.end_reason or reason
        self.peer.ended = True
        self.scope.cancel()
