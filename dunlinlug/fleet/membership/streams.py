"""TCP at a member's address: frames too large for a datagram, and connections of other parts."""

from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import trio

from dunlinlug.fleet.connections import Address, ConnectionHandler, ConnectionLimit
from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.sealing import RejectReason

# frames in flight at once, each way, and seconds for one
MAX_STREAMS = 16
STREAM_TIMEOUT = 2.0
# other parts' connections at once: a few for each member of the largest set that votes
MAX_DELEGATED_CONNECTIONS = 64
RECEIVE_BYTES = 2**16


class MembershipStreams:
    """Sends and takes frames, one a connection, and gives away connections of other parts.

    `on_frame` gets each complete frame without its length. What is not taken, or not sent, is
    counted in `rejections` and `counts`, which belong to the member's transport.
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
        self.incoming = ConnectionLimit(MAX_STREAMS)
        self.outgoing = ConnectionLimit(MAX_STREAMS)
        self.delegated = ConnectionLimit(MAX_DELEGATED_CONNECTIONS)
        self.handlers: dict[bytes, ConnectionHandler] = {}  # by a connection's first byte

    def send(
        self, nursery: trio.Nursery, address: Address, make_frame: Callable[[], bytes]
    ) -> None:
        """Starts to send a frame on a connection of its own; it may be lost.

        The frame is made only if it is sent, so that no sequence number is left out.
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
            self.counts["unsent"] += 1  # the next exchange makes up for it
        finally:
            self.outgoing.release()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Takes one frame, in time, and answers nothing on it; or gives the connection away."""
        if not self.incoming.try_acquire():
            self.rejections[RejectReason.TOO_MANY_STREAMS.value] += 1
            await trio.aclose_forcefully(stream)
            return
        try:
            data = await self._read(stream)
        finally:
            self.incoming.release()
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
        """Reads to the end, the bound, the timeout, or until the first byte names a handler."""
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
