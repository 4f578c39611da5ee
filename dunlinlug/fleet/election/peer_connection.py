"""One outgoing connection to another member: kept open, with a bounded queue of messages."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from dunlinlug.fleet.connections import Address, receive_exactly
from dunlinlug.fleet.election import codec

# messages that may wait for a peer; beyond that the newest are lost, as on a network
MAX_QUEUED_MESSAGES = 1024
# seconds between dials, and for one: far below a lease of seconds
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
    """Where a member can be dialled, and what is sent first on the connection."""

    address: Address
    preface: bytes


class PeerConnection:
    """Sends queued messages to one member and dials it again whenever the connection breaks.

    `dial_targets` is asked anew before each dial; its targets are tried in turn. While `is_blocked`
    is true, messages are dropped: tests and scenarios play lost networks by it.
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
        """Queues a message; it is lost if the queue is full, and the next heartbeat repairs it."""
        try:
            self.queue_in.send_nowait(message)
        except trio.WouldBlock:
            return

    async def run(self) -> None:
        """Dials, sends what is queued, and dials again when the connection breaks, for ever."""
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
                    attempt -= 1  # this target answers: dial it again next time
                    await self._send_queued(stream, sealer)
            except CONNECTION_ERRORS:
                pass
            self._discard_queued()
            await trio.sleep(RECONNECT_DELAY)

    async def _start(self, stream: trio.SocketStream, target: DialTarget) -> codec.FrameSealer:
        """Sends the preface and makes a sealer for the nonce that the listener answers with."""
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
        """Drops what waited for the broken connection: it is out of date by the next one."""
        while True:
            try:
                self.queue_out.receive_nowait()
            except trio.WouldBlock:
                return
