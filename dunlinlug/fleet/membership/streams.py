"""TCP at a member's address: frames too large for a datagram, connections of other components."""

from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.fleet.connections import Address, ConnectionHandler, ConnectionLimit
from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.sealing import RejectReason
from dunlinlug.net.peer_limits import ConnectionTable

# Concurrent frames in each direction, and seconds for each.
MAX_STREAMS = 16
STREAM_TIMEOUT = 2.0
# Concurrent connections of other components: a few per voter of the largest voter set.
MAX_DELEGATED_CONNECTIONS = 64
RECEIVE_BYTES = 2**16


class MembershipStreams:
    """Sends and receives frames, one per connection, and delegates other components' connections.

    `on_frame` is called with each complete frame without its length. Rejected frames are counted in
    `rejections`, unsent ones in `counts`; both belong to the member's transport.
    """

    def __init__(
        self,
        on_frame: Callable[[bytes], None],
        rejections: Counter[str],
        counts: Counter[str],
    ) -> None:
        self.on_frame = on_frame
        self.rejections = rejections
        self.counts = counts
        self.incoming = ConnectionTable[trio.CancelScope](MAX_STREAMS, MAX_STREAMS)
        self.outgoing = ConnectionLimit(MAX_STREAMS)
        self.delegated = ConnectionLimit(MAX_DELEGATED_CONNECTIONS)
        self.handlers: dict[bytes, ConnectionHandler] = {}  # by a connection's first byte

    def send(
        self, nursery: trio.Nursery, address: Address, make_frame: Callable[[], bytes]
    ) -> None:
        """Start to send a frame on a connection of its own; it may be lost.

        The frame is built only if it is sent, so that no sequence number is skipped.
        """
        if self.outgoing.try_acquire():
            nursery.start_soon(self._send, address, make_frame())
        else:
            self.counts["unsent"] += 1

    async def _send(self, address: Address, frame: bytes) -> None:
        try:
            with trio.move_on_after(STREAM_TIMEOUT):
                async with await trio.open_tcp_stream(*address) as stream:
                    await stream.send_all(frame)
        except (OSError, trio.BrokenResourceError):
            self.counts["unsent"] += 1  # the next synchronisation makes up for it
        finally:
            self.outgoing.release()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Read one frame before the timeout and send no answer, or delegate the connection.

        With too many open, the oldest is closed: a frame follows its connect at once, and a peer
        that stays silent must not keep others out.
        """
        data = b""
        with trio.CancelScope() as scope:
            surplus = self.incoming.add(scope, trio.current_time())
            if surplus is not None:
                surplus.cancel()
                self.rejections[RejectReason.TOO_MANY_STREAMS.value] += 1
            try:
                data = await self._read(stream)
            finally:
                self.incoming.remove(scope)
        if scope.cancelled_caught:
            await trio.aclose_forcefully(stream)
            return
        handler = self.handlers.get(data[:1])
        if handler is not None:
            await self._delegate(stream, data, handler)
            return
        await trio.aclose_forcefully(stream)
        body = data[codec.LENGTH.size :]
        if len(data) >= codec.LENGTH.size and codec.LENGTH.unpack_from(data)[0] == len(body):
            self.on_frame(body)
        else:
            self.rejections[RejectReason.INCOMPLETE_STREAM.value] += 1

    async def _read(self, stream: trio.SocketStream) -> bytes:
        """Read to the end, the size limit or the timeout, or until the first byte has a handler."""
        data = b""
        with (
            suppress(trio.BrokenResourceError, trio.ClosedResourceError),
            trio.move_on_after(STREAM_TIMEOUT),
        ):
            while chunk := await stream.receive_some(RECEIVE_BYTES):
                data += chunk
                is_delegated = data[:1] in self.handlers
                if is_delegated or len(data) > codec.MAX_FRAME_BYTES + codec.LENGTH.size:
                    break
        return data

    async def _delegate(
        self, stream: trio.SocketStream, data: bytes, handler: ConnectionHandler
    ) -> None:
        if not self.delegated.try_acquire():
            await trio.aclose_forcefully(stream)
            self.rejections[RejectReason.TOO_MANY_CONNECTIONS.value] += 1
            return
        try:
            await handler(stream, data)
        finally:
            self.delegated.release()
