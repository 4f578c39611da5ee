"""Peers of the members' ports that stay silent, or hold back the end of large frames.

Each guards against members that no longer reach each other, or memory that grows with such peers.
"""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import trio

from dunlinlug.fleet.connections import receive_exactly
from dunlinlug.fleet.election import codec
from dunlinlug.fleet.election.messages import TransferLeadership
from dunlinlug.fleet.election.transport import (
    ELECTION_PREFACE,
    MAX_UNSIGNED_BYTES,
    MAX_UNSIGNED_INCOMING,
    PeerTransport,
)
from dunlinlug.fleet.membership.codec import LENGTH
from dunlinlug.fleet.membership.streams import MAX_STREAMS, MembershipStreams
from dunlinlug.fleet.shared_keys import KEY_ID_BYTES, key_id

KEY = bytes(range(32))
MESSAGE = TransferLeadership(3, "b")


@asynccontextmanager
async def served(
    accept: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[Callable[[], Awaitable[trio.SocketStream]]]:
    """Serve connections; yields a function that opens one, until the block ends."""
    async with trio.open_nursery() as nursery, AsyncExitStack() as opened:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        address = listeners[0].socket.getsockname()

        async def connect() -> trio.SocketStream:
            return await opened.enter_async_context(await trio.open_tcp_stream(*address))

        yield connect
        nursery.cancel_scope.cancel()


def transport_of(received: list[Any]) -> PeerTransport:
    return PeerTransport(
        "a", {"a": ("127.0.0.1", 0)}, [KEY], received.append, lambda *_args, **_fields: None
    )


async def send_signed(stream: trio.SocketStream) -> None:
    nonce = await receive_exactly(stream, codec.NONCE_BYTES)
    await stream.send_all(codec.FrameSealer(KEY, nonce).frame(MESSAGE))


async def until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


async def test_silent_peers_of_a_log_take_no_more_than_their_places() -> None:
    # Each stayed open for good, until no descriptor was left.
    received = list[Any]()
    transport = transport_of(received)
    async with served(transport.accept) as connect:
        member = await connect()
        await send_signed(member)
        await until(lambda: len(received) == 1)
        for _ in range(5 * MAX_UNSIGNED_INCOMING):
            await receive_exactly(await connect(), codec.NONCE_BYTES)
        assert len(transport.incoming.new_connections) <= MAX_UNSIGNED_INCOMING
        await send_signed(await connect())
        await until(lambda: len(received) == 2)
        assert len(transport.incoming.established) == 2, "a member's connection stays open"


async def test_silent_peers_with_a_preface_leave_room_for_members() -> None:
    received = list[Any]()
    transport = transport_of(received)
    streams = MembershipStreams(lambda _frame: None, Counter(), Counter())
    streams.handlers[ELECTION_PREFACE] = transport.accept_shared
    async with served(streams.accept) as connect:
        for _ in range(100):
            await (await connect()).send_all(ELECTION_PREFACE)
        member = await connect()
        await member.send_all(ELECTION_PREFACE + b"\x01b")
        await send_signed(member)
        await until(lambda: received == [MESSAGE])
        assert streams.delegated.open <= MAX_UNSIGNED_INCOMING + 1


async def test_unsigned_frames_are_bounded_in_sum() -> None:
    # A frame may have 64 MiB, and its signature is known to be wrong only at its end.
    received = list[Any]()
    transport = transport_of(received)
    header = codec.HEADER.pack(codec.MAX_FRAME_BYTES, 1, key_id(KEY)[:KEY_ID_BYTES], bytes(32))
    async with served(transport.accept) as connect:
        peers = [await connect() for _ in range(12)]
        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(send_until_closed, peer, header + bytes(3 * 2**20))
        assert transport.unsigned_bytes.total <= MAX_UNSIGNED_BYTES
        await send_signed(await connect())
        await until(lambda: received == [MESSAGE])


async def send_until_closed(stream: trio.SocketStream, data: bytes) -> None:
    try:
        await stream.send_all(data)
    except trio.BrokenResourceError:
        return


async def test_silent_peers_do_not_keep_a_members_frame_out() -> None:
    # 16 silent connections kept all frames out for 2 s, and then the next 16.
    frames, rejections = list[bytes](), Counter[str]()
    streams = MembershipStreams(frames.append, rejections, Counter())
    async with served(streams.accept) as connect:
        for _ in range(3 * MAX_STREAMS):
            await connect()
        await until(lambda: rejections["streams"] == 2 * MAX_STREAMS)
        member = await connect()
        await member.send_all(LENGTH.pack(5) + b"hello")
        await member.send_eof()
        await until(lambda: frames == [b"hello"])
