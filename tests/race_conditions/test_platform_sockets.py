"""Two events in one turn of the event loop: at the manager's sockets, or at its discovery query.

Guards against an event that still takes effect after the other one has invalidated it, such as a
message of a replaced connection, and against output lost at a shutdown. The sockets are real; the
server runs in this process.
"""

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

PROXY_HELLO = b'{"@type":"hello","id":17,"site":"a","rps":2.0,"new":true}\n'
DEMAND_REPORT = b'{"@type":"demand","id":17,"lane":"read","count":7,"fail":0,"over":1000.0}\n'


class RunningServer:
    """A server, the events that it submitted, and raw sockets connected to it."""

    def __init__(self, max_unjoined: int = 64) -> None:
        self.events = list[Event]()
        self.log_entries = list[Any]()
        self.registry = PeerRegistry(
            ("a", "b"), 400, ("read", "book"), lambda worker: True, self.events.append
        )
        self.server = ConnectionServer(
            self.registry,
            max_unjoined,
            lambda event, **fields: self.log_entries.append((event, fields)),
        )
        self.clients: list[socket.socket] = []

    @asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        listener = listen("127.0.0.1", 0)
        self.address = listener.getsockname()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.server.serve, listener)
                yield
                nursery.cancel_scope.cancel()
        finally:
            for client in self.clients:
                client.close()
        assert not self.log_entries, "no internal error was logged"

    def connect(self, receive_buffer: int = 0) -> socket.socket:
        """Connect; the kernel completes the connection before the server accepts it."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.connect(self.address)
        self.clients.append(client)
        return client

    async def join_slow_reader(self, number: int = 17) -> tuple[socket.socket, Connection]:
        """Return a joined proxy with small socket buffers, and the server's connection to it."""
        client = self.connect(receive_buffer=4096)
        joined_before = self._count(ProxyConnected)
        client.sendall(PROXY_HELLO.replace(b"17", b"%d" % number))
        await self.until_submitted(joined_before + 1)
        connection = self.server.connections[self.registry.peer_by_proxy[number]]
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return client, connection

    async def until_submitted(self, count: int, event_type: type = ProxyConnected) -> None:
        with trio.fail_after(8):
            while self._count(event_type) < count:
                await trio.sleep(0.001)

    def _count(self, event_type: type) -> int:
        return sum(isinstance(event, event_type) for event in self.events)

    async def join(self, hello: bytes = PROXY_HELLO) -> socket.socket:
        client = self.connect()
        joined_before = self._count(ProxyConnected)
        client.sendall(hello)
        await self.until_submitted(joined_before + 1)
        return client


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def block(seconds: float) -> None:
    """Block the event loop."""
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        pass


# The server.


async def test_an_old_connection_s_message_in_the_turn_of_the_new_one_does_not_count() -> None:
    running = RunningServer()
    async with running.open():
        old = await running.join()
        for n in range(2, 42):  # the event loop reads the two in random order
            new = running.connect()
            # The server has accepted the connection, and nothing is sent yet.
            await trio.testing.wait_all_tasks_blocked()
            new.sendall(PROXY_HELLO)
            old.sendall(DEMAND_REPORT)
            await running.until_submitted(n)
            old.close()
            await trio.testing.wait_all_tasks_blocked()
            old = new
        # A report that was read before the new hello counts, and the end of the old connection is
        # the next event. A report read after it is dropped.
        report_indexes = [
            n for n, event in enumerate(running.events) if isinstance(event, DemandReported)
        ]
        assert all(isinstance(running.events[n + 1], ProxyDisconnected) for n in report_indexes)


def test_a_rejected_or_ended_connection_cannot_join() -> None:
    running = RunningServer()
    left, right = socket.socketpair()
    joining = Connection(left, 0.0)
    with pytest.raises(ConnectionRejectedError):
        running.registry.receive(joining.peer, b"garbage\n", 0.0)
    assert running.registry.receive(joining.peer, PROXY_HELLO, 0.0) == b"" and not running.events
    ended = Connection(right, 0.0)
    ended.end("there are too many that have not joined")
    assert (
        running.registry.receive(ended.peer, PROXY_HELLO + DEMAND_REPORT, 0.0) == b""
        and not running.events
        and not running.registry.peer_by_proxy
    )
    left.close(), right.close()


async def test_a_hello_that_arrives_when_its_grace_period_expires_counts() -> None:
    for _ in range(12):
        running = RunningServer(max_unjoined=1)
        async with running.open():
            first = running.connect()
            await trio.testing.wait_all_tasks_blocked()
            running.connect()
            # The second connection waits until the first is closed.
            await trio.testing.wait_all_tasks_blocked()
            first.sendall(PROXY_HELLO)
            # The grace period of the first has expired when the event loop finds it readable.
            block(2 * SILENT_GRACE_S)
            await running.until_submitted(1)
            await trio.testing.wait_all_tasks_blocked()
            assert not any(isinstance(event, ProxyDisconnected) for event in running.events)


@pytest.mark.parametrize("partial_hello", [b"", b'{"@type":"hel'])
async def test_a_proxy_behind_many_unjoined_connections_is_soon_accepted(
    partial_hello: bytes,
) -> None:
    running = RunningServer(max_unjoined=8)
    async with running.open():
        for _ in range(60 if partial_hello else 300):
            running.connect().sendall(partial_hello)
        started_at = trio.current_time()
        await running.join()
        # 300 silent connections would take 9 s with the grace period of those that sent something.
        assert trio.current_time() - started_at < 4.0


async def test_resets_and_closes_at_any_byte_do_not_affect_other_connections() -> None:
    running = RunningServer()
    async with running.open():
        good = await running.join(PROXY_HELLO.replace(b"17", b"3"))
        for length in range(0, len(PROXY_HELLO) + 1, 7):
            reset_client, ended = running.connect(), running.connect()
            reset_client.sendall(PROXY_HELLO.replace(b"17", b"18")[:length])
            reset(reset_client)
            ended.sendall(PROXY_HELLO + DEMAND_REPORT[:length])
            ended.close()
        await running.until_submitted(len(range(0, len(PROXY_HELLO) + 1, 7)), ProxyDisconnected)
        good.sendall(DEMAND_REPORT.replace(b"17", b"3"))
        await running.until_submitted(1, DemandReported)
        assert 3 in running.registry.peer_by_proxy


async def test_a_line_that_arrives_byte_by_byte_is_one_line() -> None:
    running = RunningServer()
    async with running.open():
        client = running.connect()
        for byte in PROXY_HELLO + DEMAND_REPORT:
            client.sendall(bytes([byte]))
            await trio.testing.wait_all_tasks_blocked()
        await running.until_submitted(1, DemandReported)
        assert [type(event) for event in running.events] == [ProxyConnected, DemandReported]


def table_update(entry_count: int) -> bytes:
    weights = [(f"worker-{n:06}.of-some-length", 1.0) for n in range(entry_count)]
    return messages.encode(messages.TableUpdate(replaces_table=True, weights=weights))


async def read_until_closed(client: socket.socket) -> bytes:
    client.setblocking(False)
    data = b""
    while True:
        await trio.lowlevel.wait_readable(client)
        try:
            chunk = client.recv(65536)
        except ConnectionResetError:
            return data
        if not chunk:
            return data
        data += chunk


async def test_output_begun_before_a_stop_is_completed_if_the_peer_reads() -> None:
    running = RunningServer()
    async with running.open():
        client, connection = await running.join_slow_reader()
        expected = table_update(4000) + table_update(100)
        running.server.deliver(17, ProxyMessage(expected, 4000.0, None))
        assert connection.unsent, "the socket accepted only a part of it"
        # The server does not read this. Closing the socket with unread input would send a reset,
        # which discards the output.
        client.sendall(DEMAND_REPORT)
        received = b""

        async def read() -> None:
            nonlocal received
            received = await read_until_closed(client)
            client.close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            with trio.fail_after(5):
                await running.server.finish()
                nursery.start_soon(running.server.finish)  # a second stop has no effect
        assert received == expected


async def test_a_stop_is_bounded_in_time_and_accepts_no_connection() -> None:
    running = RunningServer()
    async with running.open():
        await running.join_slow_reader()
        silent = running.connect()
        await trio.testing.wait_all_tasks_blocked()
        running.server.deliver(17, ProxyMessage(table_update(4000) * 4, 16000.0, None))
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(running.server.finish)
            await trio.testing.wait_all_tasks_blocked()
            assert not running.server.unjoined and running.server.connections, (
                "unjoined connections are closed at once"
            )
            assert await read_until_closed(silent) == b""
            with pytest.raises(OSError):
                running.connect()
        assert SHUTDOWN_GRACE_S <= trio.current_time() - started_at < SHUTDOWN_GRACE_S + 0.5


async def test_writes_while_output_is_queued_keep_their_order() -> None:
    running = RunningServer()
    async with running.open():
        client, _ = await running.join_slow_reader()
        messages_sent = [table_update(2000 + n) for n in range(6)]
        received = b""

        async def read() -> None:
            nonlocal received
            client.setblocking(False)
            while len(received) < sum(map(len, messages_sent)):
                await trio.lowlevel.wait_readable(client)
                received += client.recv(3000)

        with trio.fail_after(8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                for message in messages_sent:
                    running.server.deliver(17, ProxyMessage(message, 1.0, None))
                    await trio.lowlevel.checkpoint()
        assert received == b"".join(messages_sent)


async def test_a_connection_that_arrives_in_the_turn_of_the_stop_is_not_accepted() -> None:
    for _ in range(12):
        running = RunningServer()
        async with running.open():
            listener = _duplicate_own_socket(
                lambda one, address=running.address: one.getsockname() == address
            )  # type: ignore[misc]
            accepted_at_stop = list[int]()

            async def stop(
                listener: socket.socket = listener,
                running: RunningServer = running,
                accepted_at_stop: list[int] = accepted_at_stop,
            ) -> None:
                # Runs in the same turn as the accepting task, in random order.
                await trio.lowlevel.wait_readable(listener)
                accepted_at_stop.append(running.server.accepted_count)
                await running.server.finish()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop)
                await trio.testing.wait_all_tasks_blocked()
                running.connect()
            assert [running.server.accepted_count] == accepted_at_stop
            listener.close()


async def test_a_reset_by_a_peer_with_queued_output_does_not_affect_other_connections() -> None:
    running = RunningServer()
    async with running.open():
        good = await running.join()
        reset_client, connection = await running.join_slow_reader(18)
        running.server.deliver(18, ProxyMessage(table_update(4000) * 4, 16000.0, None))
        assert connection.unsent
        reset(reset_client)
        await running.until_submitted(1, ProxyDisconnected)
        # Dropped, because the connection has ended.
        running.server.deliver(18, ProxyMessage(table_update(10), 10.0, None))
        good.sendall(DEMAND_REPORT)
        await running.until_submitted(1, DemandReported)
        assert running.registry.peer_by_proxy.keys() == {17}


# The decision loop.


class CountingModule:
    """A decision module that counts its batches and sets a timer without delay."""

    def __init__(self) -> None:
        self.batch_count = 0

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        self.batch_count += 1
        return [SetTimer(0.0, self.batch_count)]


class NullOrderSink:
    """An order sink that produces no messages."""

    def handle_events(self, events: Iterable[Event]) -> None:
        """Ignore the events."""

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> dict[int, Any]:
        return {}


async def test_a_batch_that_is_due_as_the_loop_is_stopped_is_not_decided() -> None:
    for with_timer in (False, True) * 5:
        module = CountingModule()
        loop = DecisionLoop(
            module,
            NullOrderSink(),
            UnpacedChannel(lambda proxy, message: None),
            lambda proxy, message: None,
            lambda event, **fields: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loop.run)
            await trio.testing.wait_all_tasks_blocked()
            if with_timer:
                loop.timers.append((trio.current_time(), 1))
            loop.submit(ProxyDisconnected(1))
            loop.stop()  # the loop has been woken, and has not run yet
            await trio.testing.wait_all_tasks_blocked()
            loop.submit(ProxyDisconnected(2))
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        assert not module.batch_count


# Discovery.


def list_body(generation: int, *names: str, reset: bool = True) -> bytes:
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


class ScriptedDiscovery:
    """A discovery server that sends the next of `answers` to each query, while there are any."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.queries = list[str]()
        self.queried_at = list[float]()
        self.query_arrived = trio.Event()
        self.socket: socket.socket | None = None

    async def serve(self, stream: trio.SocketStream) -> None:
        data = b""
        with suppress(trio.BrokenResourceError):
            async for chunk in stream:
                data += chunk
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self.queries.append(head.split()[1].decode())
                    self.queried_at.append(trio.current_time())
                    self.socket = socket.fromfd(
                        stream.socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
                    )
                    self.query_arrived.set()
                    self.query_arrived = trio.Event()
                    if self.answers:
                        await stream.send_all(self.http_response(self.answers.pop(0)))

    @staticmethod
    def http_response(body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)

    async def until_queried(self, count: int) -> None:
        with trio.fail_after(8):
            while len(self.queries) < count:
                await self.query_arrived.wait()


@asynccontextmanager
async def watched_discovery(
    *servers: ScriptedDiscovery,
) -> AsyncIterator[tuple[DiscoveryWatcher, list[EndpointsUpdated], list[tuple[str, int]]]]:
    events = list[Event]()
    async with trio.open_nursery() as nursery:
        addresses = []
        for server in servers:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
            addresses.append(listeners[0].socket.getsockname()[:2])
        state = discovery_state.DiscoveryState(lambda low, high: low)
        discovery = DiscoveryWatcher(
            addresses[0], state, events.append, lambda event, **fields: None
        )
        nursery.start_soon(discovery.run)
        yield discovery, events, addresses  # type: ignore[misc]
        nursery.cancel_scope.cancel()


def worker_names(event: Event) -> set[str]:
    assert isinstance(event, EndpointsUpdated)
    return {worker.id for worker in event.endpoints}


async def test_a_new_address_is_queried_for_its_complete_list() -> None:
    old, new = ScriptedDiscovery(list_body(5, "s-1")), ScriptedDiscovery(list_body(5, "s-2"))
    async with watched_discovery(old, new) as (discovery, events, addresses):
        await old.until_queried(2)
        discovery.set_address(addresses[1])
        await new.until_queried(2)
        assert new.queries[0] == discovery_state.SERVERS_PATH and "index=5" in new.queries[1]
        assert worker_names(events[-1]) == {"s-2"}


async def test_an_answer_in_the_turn_of_an_address_change_does_not_count() -> None:
    """The task that changes the address waits for the same bytes as the watcher.

    It uses a duplicate of the descriptor, so that both are woken in one turn, in random order.
    """
    for _ in range(16):
        old, new = ScriptedDiscovery(list_body(5, "s-1")), ScriptedDiscovery(list_body(2, "s-2"))
        async with watched_discovery(old, new) as (discovery, events, addresses):
            await old.until_queried(2)
            await trio.testing.wait_all_tasks_blocked()
            assert old.socket is not None
            client_socket = _client_end(old.socket)
            events_before = list[int]()

            async def change_address(
                client_socket: socket.socket = client_socket,
                discovery: DiscoveryWatcher = discovery,
                events: list[Any] = events,
                address: tuple[str, int] = addresses[1],
                events_before: list[int] = events_before,
            ) -> None:
                await trio.lowlevel.wait_readable(client_socket)
                events_before.append(len(events))
                discovery.set_address(address)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change_address)
                await trio.testing.wait_all_tasks_blocked()
                old.socket.send(ScriptedDiscovery.http_response(list_body(9, "s-9")))
            await new.until_queried(2)
            assert new.queries[0] == discovery_state.SERVERS_PATH, (
                "not a watch from a version of the old address"
            )
            assert [worker_names(list_) for list_ in events[events_before[0] :]] == [{"s-2"}]
            client_socket.close()


def _duplicate_own_socket(matches: Callable[[socket.socket], bool]) -> socket.socket:
    """Return a duplicate of the socket of this process that matches."""
    matching = []
    for descriptor in list(Path("/proc/self/fd").iterdir()):
        if descriptor.is_socket():
            one = socket.socket(fileno=os.dup(int(descriptor.name)))
            if one.family == socket.AF_INET and matches(one):
                matching.append(one)
            else:
                one.close()
    # A duplicate made while the descriptors are listed may be listed itself.
    found, *duplicates = matching
    for one in duplicates:
        one.close()
    return found


def _client_end(server: socket.socket) -> socket.socket:
    """Return a duplicate of the client's end of this connection."""
    return _duplicate_own_socket(lambda one: one.getsockname() == server.getpeername())


@pytest.mark.parametrize(
    ("answers", "min_pauses"),
    [
        # Changes without entries, sent at once.
        ([list_body(5, "s-1")] + [list_body(5, reset=False)] * 20, 8),
        # The same complete list each time.
        ([list_body(5, "s-1")] * 20, 8),
        # A version that decreases at each watch.
        ([list_body(5, "s-1"), list_body(4, reset=False)] * 10, 4),
    ],
)
async def test_discovery_that_answers_at_once_without_changes_is_queried_with_pauses(
    answers: list[bytes], min_pauses: int
) -> None:
    server = ScriptedDiscovery(*answers)
    async with watched_discovery(server):
        await server.until_queried(10)
        assert (
            server.queried_at[9] - server.queried_at[0]
            >= min_pauses * discovery_state.MIN_QUERY_INTERVAL_S * 0.9
        )


async def test_changes_that_advance_are_followed_without_pauses() -> None:
    server = ScriptedDiscovery(
        list_body(5, "s-1"), *(list_body(6 + n, f"s-{n}", reset=False) for n in range(30))
    )
    async with watched_discovery(server) as (_, events, _):
        await server.until_queried(32)
        assert (
            server.queried_at[31] - server.queried_at[0] < 30 * discovery_state.MIN_QUERY_INTERVAL_S
            and len(events) == 31
        )


async def test_an_incomplete_list_or_one_with_unusable_addresses_changes_nothing() -> None:
    invalid = [
        list_body(6, "s-2").replace(b":9000", port)
        for port in (":²".encode(), b":0", b":99999", b"", b":9x")
    ]
    server = ScriptedDiscovery(
        list_body(5, "s-1"), *invalid, list_body(7, "s-3")[:-9], list_body(8, "s-4")
    )
    async with watched_discovery(server) as (discovery, events, _):
        await server.until_queried(9)
        assert [worker_names(list_) for list_ in events] == [
            {"s-1"},
            {"s-4"},
        ] and discovery.addresses.keys() == {"s-4"}
