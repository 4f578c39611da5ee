"""An outgoing connection to another member, reconnected on failure, with a bounded send queue."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from dunlinlug.fleet.connections import Address, receive_exactly
from dunlinlug.fleet.election import codec

# messages queued for a peer; further ones are dropped, which the protocol tolerates
MAX_QUEUED_MESSAGES = 1024
# seconds between connection attempts, and the timeout of one attempt; far below a lease
RECONNECT_DELAY = 0.1
CONNECT_TIMEOUT = 1.0
SEND_TIMEOUT = 2 * CONNECT_TIMEOUT
CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    EOFError,
)


@dataclass(frozen=True)
class DialTarget:
    """An address of a member, and the preface to send first on a connection to it."""

    address: Address
    preface: bytes


class PeerConnection:
    """Sends queued messages to one member and reconnects when the connection breaks.

    `dial_targets` is called before each attempt to connect; the targets are tried in turn. While
    `is_blocked` returns true, messages are dropped: tests and scenarios simulate partitions this
    way.
    """

    def __init__(
        self,
        signing_key: bytes,
        dial_targets: Callable[[], list[DialTarget]],
        is_blocked: Callable[[], bool],
    ) -> None:
        self.signing_key = signing_key
        self.dial_targets = dial_targets
        self.is_blocked = is_blocked
        self.queue_in, self.queue_out = trio.open_memory_channel[Any](MAX_QUEUED_MESSAGES)

    def send(self, message: Any) -> None:
        """Queues a message, or drops it if the queue is full, which the next heartbeat repairs."""
        try:
            self.queue_in.send_nowait(message)
        except trio.WouldBlock:
            return

    async def run(self) -> None:
        """Connects, sends queued messages and reconnects on failure, until cancelled."""
        attempt = 0
        while True:
            targets = self.dial_targets()
            target = targets[attempt % len(targets)]
            attempt += 1
            try:
                with trio.fail_after(CONNECT_TIMEOUT):
                    stream = await trio.open_tcp_stream(*target.address)
                async with stream:
                    sealer = await self._start(stream, target)
                    attempt -= 1  # this target works: try it first next time
                    await self._send_queued(stream, sealer)
            except CONNECTION_ERRORS:
                pass
            self._discard_queued()
            await trio.sleep(RECONNECT_DELAY)

    async def _start(self, stream: trio.SocketStream, target: DialTarget) -> codec.FrameSealer:
        """Sends the preface, reads the listener's nonce and returns a sealer for the connection."""
        with trio.fail_after(CONNECT_TIMEOUT):
            await stream.send_all(target.preface)
            nonce = await receive_exactly(stream, codec.NONCE_BYTES)
        return codec.FrameSealer(self.signing_key, nonce)

    async def _send_queued(self, stream: trio.SocketStream, sealer: codec.FrameSealer) -> None:
        while True:
            message = await self.queue_out.receive()
            if self.is_blocked():
                continue
            frame = sealer.frame(message)
            with trio.fail_after(SEND_TIMEOUT):
                await stream.send_all(frame)

    def _discard_queued(self) -> None:
        """Drops the queued messages, which are out of date once the connection is restored."""
        while True:
            try:
                self.queue_out.receive_nowait()
            except trio.WouldBlock:
                return
