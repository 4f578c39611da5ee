"""Two events that cross at the manager's address or on its way to discovery, on real sockets, in this process: what
both ends do is put into one turn of the loop."""

import os
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from dunlinlug.decision.events import (
    DemandReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import Order, SetTimer
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.platform import discovery_state, messages
from dunlinlug.platform.channel import UnpacedChannel
from dunlinlug.platform.connections import ConnectionRejectedError, PeerRegistry
from dunlinlug.platform.discovery import DiscoveryWatcher
from dunlinlug.platform.orders import ProxyMessage
from dunlinlug.platform.server import (
    SHUTDOWN_GRACE_S,
    SILENT_GRACE_S,
    ConnectionServer,
    listen,
)
from dunlinlug.platform.socket_connection import Connection

HELLO = b'{"@type":"hello","id":17,"site":"a","rps":2.0,"new":true}\n'
DEMAND = b'{"@type":"demand","id":17,"lane":"read","count":7,"fail":0,"over":1000.0}\n'


class Stage:
    """A front at work, what it told, and raw clients of it that block nothing."""

    def __init__(self, unjoined_most: int = 64) -> None:
        self.told, self.notes = list[Event](), list[Any]()
        self.peers = PeerRegistry(
            ("a", "b"), 400, ("read", "book"), lambda worker: True, self.told.append
        )
        self.front = ConnectionServer(
            self.peers, unjoined_most, lambda event, **said: self.notes.append((event, said))
        )
        self.clients: list[socket.socket] = []

    @asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        listener = listen("127.0.0.1", 0)
        self.place = listener.getsockname()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.front.serve, listener)
                yield
                nursery.cancel_scope.cancel()
        finally:
            for client in self.clients:
                client.close()
        assert not self.notes, "no connection met a mistake of ours"

    def dial(self, receives: int = 0) -> socket.socket:
        """Connected by the kernel alone: the front has not had a turn yet."""
        made = socket.socket()
        if receives:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
        made.connect(self.place)
        self.clients.append(made)
        return made

    async def slow(self, number: int = 17) -> tuple[socket.socket, Connection]:
        """A proxy whose end takes little at a time, joined, and our connection to it, which holds little either."""
        made, before = (
            self.dial(receives=4096),
            sum(isinstance(event, ProxyConnected) for event in self.told),
        )
        made.sendall(HELLO.replace(b"17", b"%d" % number))
        await self.until(before + 1)
        ours = self.front.connections[self.peers.peer_by_proxy[number]]
        ours.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return made, ours

    async def until(self, count: int, kind: type = ProxyConnected) -> None:
        with trio.fail_after(8):
            while sum(isinstance(event, kind) for event in self.told) < count:
                await trio.sleep(0.001)

    async def joined(self, hello: bytes = HELLO) -> socket.socket:
        made, before = self.dial(), sum(isinstance(event, ProxyConnected) for event in self.told)
        made.sendall(hello)
        await self.until(before + 1)
        return made


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def busy(seconds: float) -> None:
    """No turn of the loop for so long."""
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        pass


# The address.


async def test_what_an_old_stream_says_in_the_turn_of_the_new_one_is_nothing() -> None:
    stage = Stage()
    async with stage.open():
        old = await stage.joined()
        for n in range(2, 42):  # which of the two is read first is chance
            new = stage.dial()
            await trio.testing.wait_all_tasks_blocked()  # taken, and nothing said yet
            new.sendall(HELLO)
            old.sendall(DEMAND)
            await stage.until(n)
            old.close()
            await trio.testing.wait_all_tasks_blocked()
            old = new
        # Read ahead of the new hello it counts, and then the old stream's Left comes next; behind it, it is nothing.
        spoke = [n for n, event in enumerate(stage.told) if isinstance(event, DemandReported)]
        assert all(isinstance(stage.told[n + 1], ProxyDisconnected) for n in spoke)


def test_who_was_turned_away_or_ended_joins_no_more() -> None:
    stage = Stage()
    left, right = socket.socketpair()
    joining = Connection(left, 0.0)
    with pytest.raises(ConnectionRejectedError):
        stage.peers.receive(joining.peer, b"garbage\n", 0.0)
    assert stage.peers.receive(joining.peer, HELLO, 0.0) == b"" and not stage.told
    ended = Connection(right, 0.0)
    ended.end("there are too many that have not joined")
    assert (
        stage.peers.receive(ended.peer, HELLO + DEMAND, 0.0) == b""
        and not stage.told
        and not stage.peers.peer_by_proxy
    )
    left.close(), right.close()


async def test_a_hello_in_the_socket_as_its_connection_is_to_give_way_is_heard() -> None:
    for _ in range(12):
        stage = Stage(unjoined_most=1)
        async with stage.open():
            first = stage.dial()
            await trio.testing.wait_all_tasks_blocked()
            stage.dial()
            await (
                trio.testing.wait_all_tasks_blocked()
            )  # the second waits for the first to give way
            first.sendall(HELLO)
            busy(2 * SILENT_GRACE_S)  # so that its time is over in the turn in which it can be read
            await stage.until(1)
            await trio.testing.wait_all_tasks_blocked()
            assert not any(isinstance(event, ProxyDisconnected) for event in stage.told)


@pytest.mark.parametrize("begun", [b"", b'{"@type":"hel'])
async def test_a_proxy_behind_a_flood_of_strangers_is_soon_taken(begun: bytes) -> None:
    stage = Stage(unjoined_most=8)
    async with stage.open():
        for _ in range(60 if begun else 300):
            stage.dial().sendall(begun)
        began = trio.current_time()
        await stage.joined()
        assert (
            trio.current_time() - began < 4.0
        )  # by the oldest, whatever it said, it was 9 s behind 300


async def test_a_reset_before_the_first_reading_and_an_end_right_behind_a_line_harm_nobody() -> (
    None
):
    stage = Stage()
    async with stage.open():
        good = await stage.joined(HELLO.replace(b"17", b"3"))
        for cut in range(0, len(HELLO) + 1, 7):
            gone, ended = stage.dial(), stage.dial()
            gone.sendall(HELLO.replace(b"17", b"18")[:cut])
            reset(gone)
            ended.sendall(HELLO + DEMAND[:cut])
            ended.close()
        await stage.until(len(range(0, len(HELLO) + 1, 7)), ProxyDisconnected)
        good.sendall(DEMAND.replace(b"17", b"3"))
        await stage.until(1, DemandReported)
        assert 3 in stage.peers.peer_by_proxy


async def test_a_line_that_comes_a_byte_in_a_turn_is_one_line() -> None:
    stage = Stage()
    async with stage.open():
        client = stage.dial()
        for byte in HELLO + DEMAND:
            client.sendall(bytes([byte]))
            await trio.testing.wait_all_tasks_blocked()
        await stage.until(1, DemandReported)
        assert [type(event) for event in stage.told] == [ProxyConnected, DemandReported]


def order(lines: int) -> bytes:
    endpoints = [(f"worker-{n:06}.of-some-length", 1.0) for n in range(lines)]
    return messages.encode(messages.TableUpdate(replaces_table=True, weights=endpoints))


async def read_to_the_end(client: socket.socket) -> bytes:
    client.setblocking(False)
    data = b""
    while True:
        await trio.lowlevel.wait_readable(client)
        try:
            part = client.recv(65536)
        except ConnectionResetError:
            return data
        if not part:
            return data
        data += part


async def test_an_order_begun_at_the_stop_goes_out_whole_where_its_peer_reads() -> None:
    stage = Stage()
    async with stage.open():
        client, connection = await stage.slow()
        whole = order(4000) + order(100)
        stage.front.deliver(17, ProxyMessage(whole, 4000.0, None))
        assert connection.unsent, "the socket took a part"
        client.sendall(
            DEMAND
        )  # unread by us: closed over it, the connection would be reset under what it still holds
        got = b""

        async def read() -> None:
            nonlocal got
            got = await read_to_the_end(client)
            client.close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            with trio.fail_after(5):
                await stage.front.finish()
                nursery.start_soon(stage.front.finish)  # a second stop finds nothing to do
        assert got == whole


async def test_the_stop_waits_for_no_peer_longer_than_its_bound_and_takes_nobody_new() -> None:
    stage = Stage()
    async with stage.open():
        await stage.slow()
        silent = stage.dial()
        await trio.testing.wait_all_tasks_blocked()
        stage.front.deliver(17, ProxyMessage(order(4000) * 4, 16000.0, None))
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stage.front.finish)
            await trio.testing.wait_all_tasks_blocked()
            assert not stage.front.unjoined and stage.front.connections, (
                "who has not joined is closed at once"
            )
            assert await read_to_the_end(silent) == b""
            with pytest.raises(OSError):
                stage.dial()
        assert SHUTDOWN_GRACE_S <= trio.current_time() - began < SHUTDOWN_GRACE_S + 0.5


async def test_writes_while_older_bytes_wait_keep_their_order() -> None:
    stage = Stage()
    async with stage.open():
        client, _ = await stage.slow()
        parts = [order(2000 + n) for n in range(6)]
        got = b""

        async def read() -> None:
            nonlocal got
            client.setblocking(False)
            while len(got) < sum(map(len, parts)):
                await trio.lowlevel.wait_readable(client)
                got += client.recv(3000)

        with trio.fail_after(8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                for part in parts:
                    stage.front.deliver(17, ProxyMessage(part, 1.0, None))
                    await trio.lowlevel.checkpoint()
        assert got == b"".join(parts)


async def test_a_connection_that_is_readable_in_the_turn_of_the_stop_is_not_taken() -> None:
    for _ in range(12):
        stage = Stage()
        async with stage.open():
            door = _own(lambda one, place=stage.place: one.getsockname() == place)  # type: ignore[misc]
            at_the_stop = list[int]()

            async def stop(
                door: socket.socket = door,
                stage: Stage = stage,
                at_the_stop: list[int] = at_the_stop,
            ) -> None:
                await trio.lowlevel.wait_readable(
                    door
                )  # woken with the accepting task, in an order that is chance
                at_the_stop.append(stage.front.accepted_count)
                await stage.front.finish()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop)
                await trio.testing.wait_all_tasks_blocked()
                stage.dial()
            assert [stage.front.accepted_count] == at_the_stop
            door.close()


async def test_a_peer_that_resets_while_orders_wait_for_it_ends_alone() -> None:
    stage = Stage()
    async with stage.open():
        good = await stage.joined()
        gone, connection = await stage.slow(18)
        stage.front.deliver(18, ProxyMessage(order(4000) * 4, 16000.0, None))
        assert connection.unsent
        reset(gone)
        await stage.until(1, ProxyDisconnected)
        stage.front.deliver(
            18, ProxyMessage(order(10), 10.0, None)
        )  # for a stream that has ended: lost
        good.sendall(DEMAND)
        await stage.until(1, DemandReported)
        assert stage.peers.peer_by_proxy.keys() == {17}


# The loop.


class Counting:
    """A module that counts its calls and asks to be woken at once."""

    def __init__(self) -> None:
        self.calls = 0

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        self.calls += 1
        return [SetTimer(0.0, self.calls)]


class Nothing:
    def handle_events(self, events: Iterable[Event]) -> None:
        """Nothing."""

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> dict[int, Any]:
        return {}


async def test_a_turn_that_is_due_as_we_are_told_to_stop_decides_nothing() -> None:
    for timer in (False, True) * 5:
        module = Counting()
        loop = DecisionLoop(
            module,
            Nothing(),
            UnpacedChannel(lambda proxy, parcel: None),
            lambda proxy, parcel: None,
            lambda event, **said: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loop.run)
            await trio.testing.wait_all_tasks_blocked()
            if timer:
                loop.timers.append((trio.current_time(), 1))
            loop.submit(ProxyDisconnected(1))
            loop.stop()  # the loop is woken already, and has not run
            await trio.testing.wait_all_tasks_blocked()
            loop.submit(ProxyDisconnected(2))
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        assert not module.calls


# Discovery.


def listed(generation: int, *names: str, reset: bool = True) -> bytes:
    return msgspec.json.encode(
        {
            "generation": generation,
            "reset": reset,
            "instances": [
                {
                    "instanceId": name,
                    "hostPort": "127.0.0.1:9000",
                    "zone": "a",
                    "lifecycle": "ready",
                }
                for name in names
            ],
        }
    )


class Agent:
    """Discovery by script: each request is kept, and answered by the next of `answers`; without one it is not."""

    def __init__(self, *answers: bytes) -> None:
        self.answers, self.asked, self.at = list(answers), list[str](), list[float]()
        self.more = trio.Event()
        self.raw: socket.socket | None = None

    async def serve(self, stream: trio.SocketStream) -> None:
        data = b""
        with suppress(trio.BrokenResourceError):
            while part := await stream.receive_some():
                data += part
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self.asked.append(head.split()[1].decode())
                    self.at.append(trio.current_time())
                    self.raw = socket.fromfd(
                        stream.socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
                    )
                    self.more.set()
                    self.more = trio.Event()
                    if self.answers:
                        await stream.send_all(self.answered(self.answers.pop(0)))

    @staticmethod
    def answered(body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)

    async def calls(self, count: int) -> None:
        with trio.fail_after(8):
            while len(self.asked) < count:
                await self.more.wait()


@asynccontextmanager
async def followed(
    *agents: Agent,
) -> AsyncIterator[tuple[DiscoveryWatcher, list[EndpointsUpdated], list[tuple[str, int]]]]:
    told = list[Event]()
    async with trio.open_nursery() as nursery:
        places = []
        for agent in agents:
            doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, agent.serve, doors)
            places.append(doors[0].socket.getsockname()[:2])
        state = discovery_state.DiscoveryState(lambda low, high: low)
        discovery = DiscoveryWatcher(places[0], state, told.append, lambda event, **said: None)
        nursery.start_soon(discovery.run)
        yield discovery, told, places  # type: ignore[misc]
        nursery.cancel_scope.cancel()


def names(told: Event) -> set[str]:
    assert isinstance(told, EndpointsUpdated)
    return {worker.id for worker in told.endpoints}


async def test_a_new_place_is_asked_for_its_whole_list_though_both_count_alike() -> None:
    old, new = Agent(listed(5, "s-1")), Agent(listed(5, "s-2"))
    async with followed(old, new) as (discovery, told, places):
        await old.calls(2)
        discovery.set_address(places[1])
        await new.calls(2)
        assert new.asked[0] == discovery_state.SERVERS_PATH and "index=5" in new.asked[1]
        assert names(told[-1]) == {"s-2"}


async def test_an_answer_that_comes_in_the_turn_of_a_move_stands_for_nothing() -> None:
    """The mover waits for the very bytes that the follower waits for, on a descriptor of its own: both are woken in one
    turn, in an order that is chance."""
    for _ in range(16):
        old, new = Agent(listed(5, "s-1")), Agent(listed(2, "s-2"))
        async with followed(old, new) as (discovery, told, places):
            await old.calls(2)
            await trio.testing.wait_all_tasks_blocked()
            assert old.raw is not None
            twin, told_before = _twin_of(old.raw), list[int]()

            async def move(
                twin: socket.socket = twin,
                discovery: DiscoveryWatcher = discovery,
                told: list[Any] = told,
                place: tuple[str, int] = places[1],
                told_before: list[int] = told_before,
            ) -> None:
                await trio.lowlevel.wait_readable(twin)
                told_before.append(len(told))
                discovery.set_address(place)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(move)
                await trio.testing.wait_all_tasks_blocked()
                old.raw.send(Agent.answered(listed(9, "s-9")))
            await new.calls(2)
            assert new.asked[0] == discovery_state.SERVERS_PATH, (
                "not a watch from a version of the old place"
            )
            assert [names(list_) for list_ in told[told_before[0] :]] == [{"s-2"}]
            twin.close()


def _own(fits: Callable[[socket.socket], bool]) -> socket.socket:
    """The one of our own sockets that fits, on a descriptor of its own."""
    fitting = []
    for link in list(Path("/proc/self/fd").iterdir()):
        if link.is_socket():
            one = socket.socket(fileno=os.dup(int(link.name)))
            if one.family == socket.AF_INET and fits(one):
                fitting.append(one)
            else:
                one.close()
    found, *again = fitting  # a number that was free while we looked may have come to be a copy
    for one in again:
        one.close()
    return found


def _twin_of(server: socket.socket) -> socket.socket:
    """Our own client's end of this connection."""
    return _own(lambda one: one.getsockname() == server.getpeername())


@pytest.mark.parametrize(
    ("answers", "least"),
    [
        ([listed(5, "s-1")] + [listed(5, reset=False)] * 20, 8),  # at once, and nothing new
        ([listed(5, "s-1")] * 20, 8),  # the whole list again and again
        ([listed(5, "s-1"), listed(4, reset=False)] * 10, 4),  # a version that goes back each time
    ],
)
async def test_a_discovery_that_answers_at_once_is_not_asked_without_a_pause(
    answers: list[bytes], least: int
) -> None:
    agent = Agent(*answers)
    async with followed(agent):
        await agent.calls(10)
        assert agent.at[9] - agent.at[0] >= least * discovery_state.MIN_QUERY_INTERVAL_S * 0.9


async def test_changes_that_move_on_are_followed_without_a_pause() -> None:
    agent = Agent(listed(5, "s-1"), *(listed(6 + n, f"s-{n}", reset=False) for n in range(30)))
    async with followed(agent) as (_, told, _):
        await agent.calls(32)
        assert (
            agent.at[31] - agent.at[0] < 30 * discovery_state.MIN_QUERY_INTERVAL_S
            and len(told) == 31
        )


async def test_a_list_that_breaks_off_or_names_what_can_t_be_dialled_changes_nothing() -> None:
    spoilt = [
        listed(6, "s-2").replace(b":9000", port)
        for port in (":²".encode(), b":0", b":99999", b"", b":9x")
    ]
    agent = Agent(listed(5, "s-1"), *spoilt, listed(7, "s-3")[:-9], listed(8, "s-4"))
    async with followed(agent) as (discovery, told, _):
        await agent.calls(9)
        assert [names(list_) for list_ in told] == [
            {"s-1"},
            {"s-4"},
        ] and discovery.addresses.keys() == {"s-4"}
