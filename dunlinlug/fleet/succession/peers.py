"""Moves members' frames over trio: one dialled connection to each other member, to send; one door, to hear.

Where managers know each other, the door is that of the membership, and a preface with the dialler's name tells our
connections from its frames, which begin with a byte of their length.
"""

import secrets
from collections.abc import Callable
from typing import Any

import trio

from dunlinlug.fleet.succession import codec

AHEAD = 1024  # messages that may wait for a peer; beyond that the newest are lost, as on a network
AGAIN, WITHIN = 0.1, 1.0  # seconds between dials, and for one: far below a lease of seconds
SAID = 60.0  # seconds between two log lines on forged frames
CALL, OWNERS = (
    b"S",
    b"O",
)  # first bytes of connections at the membership's door; a frame's length never has them
Place = tuple[str, int]


class Peers:
    """`hear` gets what comes, of these `kinds`; send with `send`. `places` are the addresses of all members by id, and
    `letter` tells our calls from others' at the membership's door."""

    def __init__(
        self,
        me: str,
        places: dict[str, tuple[str, int]],
        keys: list[bytes],
        hear: Callable[[Any], None],
        note: Callable[..., None],
        kinds: codec.Kinds = codec.KINDS,
        letter: bytes = CALL,
    ) -> None:
        self.me, self.places, self.keys, self.hear, self.note = me, places, keys, hear, note
        self.kinds, self.letter = kinds, letter
        self.queues = {m: trio.open_memory_channel[Any](AHEAD) for m in places if m != me}
        self.said_at, self.forged = -SAID, 0
        self.sent_bytes = 0
        self.shared: Callable[[str], Place] | None = None  # where the membership has a member now
        self.cut: set[str] = (
            set()
        )  # members that nothing reaches and nothing is heard of: for tests and days

    def send(self, to: str, message: Any) -> None:
        if to in self.queues:
            try:
                self.queues[to][0].send_nowait(message)
            except trio.WouldBlock:
                return  # lost, as on a network; the next beat makes up for it

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Without listeners calls come by the membership's door."""
        async with trio.open_nursery() as nursery:
            if listeners:
                nursery.start_soon(trio.serve_listeners, self.answer, listeners)
            for member in self.queues:
                nursery.start_soon(self._talk, member)

    def _ways(self, member: str) -> list[tuple[Place, bytes]]:
        """Where to dial it and what to say first. While a set moves to one door, members are at either."""
        own = self.me.encode()
        ways = (
            [(self.shared(member), self.letter + bytes([len(own)]) + own)]
            if self.shared is not None
            else []
        )
        return ways + [(self.places[member], b"")] * bool(self.places[member][1])

    async def _talk(self, member: str) -> None:
        """Dial, send what is queued, and dial again when it breaks, each way in turn."""
        outlet, turn = self.queues[member][1], 0
        while True:
            ways = self._ways(member)
            place, preface = ways[turn % len(ways)]
            turn += 1
            try:
                with trio.fail_after(WITHIN):
                    stream = await trio.open_tcp_stream(*place)
                async with stream:
                    with trio.fail_after(WITHIN):
                        await stream.send_all(preface)
                        nonce = await self._exactly(stream, codec.NONCE)
                    turn -= 1  # it worked
                    sealer = codec.Sealer(self.keys[0], nonce)
                    while True:
                        message = await outlet.receive()
                        if member not in self.cut:
                            frame = sealer.frame(message)
                            self.sent_bytes += len(frame)
                            with trio.fail_after(2 * WITHIN):
                                await stream.send_all(frame)
            except (
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                trio.TooSlowError,
                EOFError,
            ):
                pass
            self._drop(outlet)
            await trio.sleep(AGAIN)

    @staticmethod
    def _drop(outlet: trio.MemoryReceiveChannel[Any]) -> None:
        """What waited for a dead connection is old news."""
        while True:
            try:
                outlet.receive_nowait()
            except trio.WouldBlock:
                return

    async def _exactly(self, stream: trio.SocketStream, count: int) -> bytes:
        data = b""
        while len(data) < count:
            got = await stream.receive_some(count - len(data))
            if not got:
                raise EOFError
            data += got
        return data

    async def call(self, stream: trio.SocketStream, data: bytes) -> None:
        """A connection at the membership's door, with what was read of it: the preface, or its beginning."""
        try:
            with trio.fail_after(WITHIN):
                if len(data) < 2:
                    data += await self._exactly(stream, 2 - len(data))
                await self._exactly(stream, max(data[1] - len(data[2:]), 0))
        except (trio.TooSlowError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(stream)
            return
        await self.answer(stream)

    async def answer(self, stream: trio.SocketStream) -> None:
        nonce = secrets.token_bytes(codec.NONCE)
        opener = codec.Opener(self.keys, nonce, self.kinds)
        try:
            await stream.send_all(nonce)
            while data := await stream.receive_some(2**16):
                for message in opener.feed(bytes(data)):
                    if message.sender not in self.cut:
                        self.hear(message)
        except codec.Forged as fault:
            self._forged(str(fault))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    def _forged(self, why: str) -> None:
        """Harmless: the connection ends. Said once a minute at most, with how many there were."""
        self.forged += 1
        if trio.current_time() >= self.said_at + SAID:
            self.said_at = trio.current_time()
            self.note("peer.forged", why=why, count=self.forged)
