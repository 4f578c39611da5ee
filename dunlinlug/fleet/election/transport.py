"""Moves members' frames over trio: one dialled connection to each other member, to send; one door,
to hear.

Where managers know each other, the door is that of the membership, and a preface with the dialler's
name tells our connections from its frames, which begin with a byte of their length.
"""

import secrets
from collections.abc import Callable
from typing import Any

import trio

from dunlinlug.fleet.election import codec

# messages that may wait for a peer; beyond that the newest are lost, as on a network
MAX_QUEUED_MESSAGES = 1024
# seconds between dials, and for one: far below a lease of seconds
RECONNECT_DELAY = 0.1
CONNECT_TIMEOUT = 1.0
REJECTION_LOG_INTERVAL = 60.0  # seconds between two log lines on forged frames
# first bytes of connections at the membership's door
ELECTION_PREFACE = b"S"
# a frame's length never has them
OWNERSHIP_PREFACE = b"O"
Address = tuple[str, int]


class PeerTransport:
    """`hear` gets what comes, of these `kinds`; send with `send`. `places` are the addresses of all
    members by id, and `letter` tells our calls from others' at the membership's door.
    """

    def __init__(
        self,
        self_id: str,
        addresses: dict[str, tuple[str, int]],
        keys: list[bytes],
        on_message: Callable[[Any], None],
        log_event: Callable[..., None],
        message_types: codec.MessageTypes = codec.MESSAGE_TYPES,
        preface_tag: bytes = ELECTION_PREFACE,
    ) -> None:
        self.self_id = self_id
        self.addresses = addresses
        self.keys = keys
        self.on_message = on_message
        self.log_event = log_event
        self.message_types = message_types
        self.preface_tag = preface_tag
        self.queues = {
            m: trio.open_memory_channel[Any](MAX_QUEUED_MESSAGES) for m in addresses if m != self_id
        }
        self.last_rejection_log_at = -REJECTION_LOG_INTERVAL
        self.rejected_frames = 0
        self.sent_bytes = 0
        self.membership_address: Callable[[str], Address] | None = (
            None  # where the membership has a member now
        )
        self.blocked_members: set[str] = (
            set()
        )  # members that nothing reaches and nothing is heard of: for tests and days

    def register_membership_addresses(self, address_of: Callable[[str], Address]) -> None:
        """Connect to members at the port of their membership, whose address this gives."""
        self.membership_address = address_of

    def send(self, recipient: str, message: Any) -> None:
        if recipient in self.queues:
            try:
                self.queues[recipient][0].send_nowait(message)
            except trio.WouldBlock:
                return  # lost, as on a network; the next beat makes up for it

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Without listeners calls come by the membership's door."""
        async with trio.open_nursery() as nursery:
            if listeners:
                nursery.start_soon(trio.serve_listeners, self.accept, listeners)
            for member in self.queues:
                nursery.start_soon(self._send_to, member)

    def _dial_targets(self, member: str) -> list[tuple[Address, bytes]]:
        """Where to dial it and what to say first. While a set moves to one door, members are at
        either.
        """
        encoded_id = self.self_id.encode()
        targets = (
            [
                (
                    self.membership_address(member),
                    self.preface_tag + bytes([len(encoded_id)]) + encoded_id,
                )
            ]
            if self.membership_address is not None
            else []
        )
        return targets + [(self.addresses[member], b"")] * bool(self.addresses[member][1])

    async def _send_to(self, member: str) -> None:
        """Dial, send what is queued, and dial again when it breaks, each way in turn."""
        queue = self.queues[member][1]
        attempt = 0
        while True:
            targets = self._dial_targets(member)
            address, preface = targets[attempt % len(targets)]
            attempt += 1
            try:
                with trio.fail_after(CONNECT_TIMEOUT):
                    stream = await trio.open_tcp_stream(*address)
                async with stream:
                    with trio.fail_after(CONNECT_TIMEOUT):
                        await stream.send_all(preface)
                        nonce = await self._receive_exactly(stream, codec.NONCE_BYTES)
                    attempt -= 1  # it worked
                    sealer = codec.FrameSealer(self.keys[0], nonce)
                    while True:
                        message = await queue.receive()
                        if member not in self.blocked_members:
                            frame = sealer.frame(message)
                            self.sent_bytes += len(frame)
                            with trio.fail_after(2 * CONNECT_TIMEOUT):
                                await stream.send_all(frame)
            except (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
                EOFError,
            ):
                pass
            self._discard_queued(queue)
            await trio.sleep(RECONNECT_DELAY)

    @staticmethod
    def _discard_queued(queue: trio.MemoryReceiveChannel[Any]) -> None:
        """What waited for a dead connection is old news."""
        while True:
            try:
                queue.receive_nowait()
            except trio.WouldBlock:
                return

    async def _receive_exactly(self, stream: trio.SocketStream, count: int) -> bytes:
        data = b""
        while len(data) < count:
            chunk = await stream.receive_some(count - len(data))
            if not chunk:
                raise EOFError
            data += chunk
        return data

    async def accept_shared(self, stream: trio.SocketStream, data: bytes) -> None:
        """A connection at the membership's door, with what was read of it: the preface, or its
        beginning.
        """
        try:
            with trio.fail_after(CONNECT_TIMEOUT):
                if len(data) < 2:
                    data += await self._receive_exactly(stream, 2 - len(data))
                await self._receive_exactly(stream, max(data[1] - len(data[2:]), 0))
        except (trio.TooSlowError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(stream)
            return
        await self.accept(stream)

    async def accept(self, stream: trio.SocketStream) -> None:
        nonce = secrets.token_bytes(codec.NONCE_BYTES)
        opener = codec.FrameOpener(self.keys, nonce, self.message_types)
        try:
            await stream.send_all(nonce)
            while data := await stream.receive_some(2**16):
                for message in opener.feed(bytes(data)):
                    if message.sender not in self.blocked_members:
                        self.on_message(message)
        except codec.AuthenticationError as error:
            self._log_rejection(str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    def _log_rejection(self, reason: str) -> None:
        """Harmless: the connection ends. Said once a minute at most, with how many there were."""
        self.rejected_frames += 1
        if trio.current_time() >= self.last_rejection_log_at + REJECTION_LOG_INTERVAL:
            self.last_rejection_log_at = trio.current_time()
            self.log_event("peer.authentication_failed", why=reason, count=self.rejected_frames)
