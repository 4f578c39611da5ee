"""Discovery that stalls in the middle of an answer, or sends complete lists in quick succession.

Guards against a manager that waits forever for the rest of an answer, applies an incomplete list,
or leaves its proxies with an older list than the last one.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    TimerFired,
)
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    RequestAcknowledgement,
    SetTimer,
    SetWeight,
)
from dunlinlug.decision.settings import ChannelSettings
from dunlinlug.platform import discovery_state
from tests.decision.rules_model import endpoint, manager_settings
from tests.fixtures.platform_process import ZONES, initial_list, instance
from tests.race_conditions.processes import (
    ScriptedDiscovery,
    chunked_response,
    fleet_settings,
    http_response,
    list_body,
    serving_manager,
)
from tests.race_conditions.roaming_proxies import TRAFFIC_CLASSES, Proxy

CHANGE_COUNT = 300  # versions before the stall, each sent as soon as it is queried


class StallingDiscovery:
    """Sends `CHANGE_COUNT` versions, then an answer by `stall`.

    On the next connection it sends one more change, and nothing after it. `is_snapshot` selects
    whether the stalled answer is a complete list.
    """

    def __init__(self, stall: Callable[[trio.SocketStream], Any], is_snapshot: bool) -> None:
        self.stall, self.is_snapshot = stall, is_snapshot
        self.server = ScriptedDiscovery(self.respond)
        self.stalled_stream: trio.SocketStream | None = None
        self.closed = trio.Event()
        self.generation, self.answered_again = 1, False
        self.stalled_at = self.queried_again_at = 0.0

    async def serve(self, stream: trio.SocketStream) -> None:
        await self.server.serve(stream)
        if stream is self.stalled_stream:
            self.closed.set()

    async def respond(self, stream: trio.SocketStream, path: str) -> None:
        if self.stalled_stream is not None:
            await self._answer_again(stream)
        elif self.generation < CHANGE_COUNT:
            self.generation += 1
            is_watch = "index" in path
            entries = (
                [instance(0, weight=1.0 + self.generation % 7)]
                if is_watch
                else [*map(instance, range(6))]
            )
            await stream.send_all(
                http_response(list_body(self.generation, *entries, reset=not is_watch))
            )
        elif self.is_snapshot and "index" in path:
            # A lower version, so that the complete list is queried.
            await stream.send_all(http_response(list_body(1, reset=False)))
        else:
            self.stalled_stream, self.stalled_at = stream, trio.current_time()
            await self.stall(stream)

    async def _answer_again(self, stream: trio.SocketStream) -> None:
        self.queried_again_at = self.queried_again_at or trio.current_time()
        if not self.answered_again and stream is not self.stalled_stream:
            self.answered_again = True
            entries = [*map(instance, range(6)), instance(7)] if self.is_snapshot else [instance(7)]
            await stream.send_all(
                http_response(list_body(CHANGE_COUNT + 1, *entries, reset=self.is_snapshot))
            )


def unfinished_list(is_snapshot: bool) -> bytes:
    """Return the body that is sent in part; if applied, it would leave a single worker."""
    gone = [] if is_snapshot else [instance(n, lifecycle="gone") for n in range(6)]
    return list_body(CHANGE_COUNT + 5, *gone, instance(9), reset=is_snapshot)


async def send_half(stream: trio.SocketStream, is_snapshot: bool) -> None:
    data = http_response(unfinished_list(is_snapshot))
    await stream.send_all(data[: -len(unfinished_list(is_snapshot)) // 2])


async def send_half_of_head(stream: trio.SocketStream, is_snapshot: bool) -> None:
    await stream.send_all(http_response(unfinished_list(is_snapshot))[:40])


async def send_chunks_without_end(stream: trio.SocketStream, is_snapshot: bool) -> None:
    # All chunks except the last, empty one.
    await stream.send_all(
        chunked_response(unfinished_list(is_snapshot), 16).removesuffix(b"0\r\n\r\n")
    )


async def send_slowly(stream: trio.SocketStream, is_snapshot: bool) -> None:
    """Send one byte at a time, and never the complete answer."""
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n")
    while True:
        await stream.send_all(b" ")
        await trio.sleep(0.02)


@pytest.mark.parametrize(
    ("stall", "is_snapshot"),
    [
        (send_half, False),
        (send_half, True),
        (send_half_of_head, True),
        (send_chunks_without_end, True),
        (send_slowly, False),
        (send_slowly, True),
    ],
)
async def test_discovery_that_stalls_in_an_answer_is_queried_again(
    tmp_path: Path, stall: Callable[..., Any], is_snapshot: bool
) -> None:
    """The part of the answer that arrived is dropped, even if only the end is missing."""
    discovery = StallingDiscovery(lambda stream: stall(stream, is_snapshot), is_snapshot)
    async with serving_manager(
        tmp_path,
        discovery.serve,
        known=initial_list(*map(instance, range(6))),
        settings=fleet_settings(messagesMost=0),
    ) as (running, nursery):
        proxy, late = (Proxy(n, ZONES[n % 2], [running.port], Random(n)) for n in (3, 4))
        nursery.start_soon(proxy.run)
        await discovery.server.until_queried(CHANGE_COUNT + is_snapshot)
        with trio.fail_after(5):
            while discovery.stalled_stream is None:
                await trio.sleep(0.01)
        nursery.start_soon(late.run)
        await late.until(lambda: late.usable().keys() == {f"s-{n}" for n in range(6)})
        assert not discovery.queried_again_at, (
            "tables are made from the last complete list meanwhile"
        )
        for each_proxy in (proxy, late):
            await each_proxy.until(
                lambda each_proxy=each_proxy: (
                    each_proxy.usable().keys() == {f"s-{n}" for n in (*range(6), 7)}
                )
            )
        with trio.fail_after(1):
            await discovery.closed.wait()
        max_delay = (
            discovery_state.ANSWER_TIMEOUT_S
            + (0.0 if is_snapshot else discovery_state.WATCH_WAIT_S)
            + discovery_state.MAX_BACKOFF_S
        )
        assert discovery.queried_again_at - discovery.stalled_at < max_delay + 0.5
        assert len(running.logged("discovery.failed")) == 1
        query = discovery.server.queries[CHANGE_COUNT + is_snapshot]
        assert (
            query == discovery_state.SERVERS_PATH
            if is_snapshot
            else f"index={CHANGE_COUNT}&" in query
        )
        assert not proxy.errors and not late.errors and len(proxy.streams) == len(late.streams) == 1
        nursery.cancel_scope.cancel()


class RepeatingDiscovery:
    """Answers each query at once with the next of several complete lists, in a cycle.

    Once `finishing` is set, it sends the list `last`, and no changes after it.
    """

    def __init__(self, versions_advance: bool) -> None:
        self.versions_advance, self.server = versions_advance, ScriptedDiscovery(self.respond)
        self.finishing = False
        self.finished = False
        self.last_version = 0
        self.lists = [[*map(instance, range(6))]] * 2 + [
            [*map(instance, range(3, 9))],
            [],
            [instance(8)],
        ]
        self.last = [instance(n) for n in (0, 1, 4, 8)]

    async def respond(self, stream: trio.SocketStream, path: str) -> None:
        query_count = len(self.server.queries)
        if self.finished:  # no more changes
            await trio.sleep(1.0)
            await stream.send_all(http_response(list_body(self.last_version, reset=False)))
            return
        self.last_version = query_count if self.versions_advance else 1
        entries, self.finished = (
            self.last if self.finishing else self.lists[query_count % len(self.lists)],
            self.finishing,
        )
        await stream.send_all(http_response(list_body(self.last_version, *entries)))


@pytest.mark.parametrize("versions_advance", [True, False])
async def test_complete_lists_in_quick_succession_lead_to_the_last_one(
    tmp_path: Path, versions_advance: bool
) -> None:
    """Each proxy gets valid messages within the rate limit, and ejected workers are readmitted."""
    max_messages = 10
    window = 2.0
    discovery = RepeatingDiscovery(versions_advance)
    async with serving_manager(
        tmp_path,
        discovery.server.serve,
        known=initial_list(*map(instance, range(6))),
        settings=fleet_settings(messagesMost=max_messages, reloadSpanUs=window * 1e6),
    ) as (running, nursery):
        proxies = [Proxy(n, ZONES[n % 2], [running.port], Random(n)) for n in range(4)]
        for proxy in proxies:
            nursery.start_soon(proxy.run)
        for proxy in proxies:
            await proxy.until(proxy.usable)
        queries_before = len(discovery.server.queries)
        started_at = trio.current_time()
        await discovery.server.until_queried(queries_before + (300 if versions_advance else 30))
        elapsed = trio.current_time() - started_at
        assert versions_advance or elapsed > 28 * discovery_state.MIN_QUERY_INTERVAL_S, (
            "queries are paced while the version does not advance"
        )
        discovery.finishing = True
        names = {entry["instanceId"] for entry in discovery.last}
        for proxy in proxies:
            await proxy.until(
                lambda proxy=proxy: (
                    proxy.usable().keys() == proxy.usable(TRAFFIC_CLASSES[1]).keys() == names
                ),
                15,
            )
        for proxy in proxies:
            [stream], times = proxy.streams, proxy.streams[0].update_times
            assert not proxy.errors
            assert all(
                times[n + max_messages] - times[n] > window - 0.3
                for n in range(len(times) - max_messages)
            ), stream
        assert not running.logged("discovery.failed") and discovery.server.connection_count == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("list_count", "gap", "response_time"),
    [(2, 0.002, 0.001), (4, 0.004, 0.005), (12, 0.004, 0.005)],
)
def test_the_last_of_many_lists_is_applied_by_the_module_s_own_timers(
    list_count: int, gap: float, response_time: float
) -> None:
    """No report and no demand follow the last list.

    Guards against a change that is deferred by the message limit and is only reconsidered at the
    next report: proxies of an idle fleet would keep a table without workers.
    """
    module = Balancer(
        manager_settings(channel=ChannelSettings(1300.0, 4.0, 2000.0, 0.252, 0.63, 10, 2.0))
    )
    lists = [range(6), range(3, 9), range(0)]
    due = list[tuple[float, int, Event]]()
    sequence = count()

    def schedule(at: float, event: Event) -> None:
        heapq.heappush(due, (at, next(sequence), event))

    for proxy in range(2):
        schedule(0.0, ProxyConnected(proxy, "north", 5.0, True))
    schedule(0.0, EndpointsUpdated("kept", tuple(map(endpoint, range(6)))))
    for n in range(list_count):
        schedule(0.001 + gap * n, EndpointsUpdated("whole", tuple(map(endpoint, lists[n % 3]))))
    schedule(0.001 + gap * list_count, EndpointsUpdated("whole", tuple(map(endpoint, range(4)))))
    tables = defaultdict[int, dict[str, float]](dict)
    table_by_proxy_and_class = dict[tuple[int, int], int]()
    while due and due[0][0] < 30.0:
        now, _, event = heapq.heappop(due)
        for order in module.decide(now, [event]):
            match order:
                case SetWeight(table_id, name, weight):
                    tables[table_id][name] = weight
                case DeleteTable(table_id):
                    tables.pop(table_id, None)
                case AssignTable(proxy, traffic_classes, table_id):
                    table_by_proxy_and_class.update(
                        {(proxy, class_index): table_id for class_index in traffic_classes}
                    )
                case RequestAcknowledgement(ack_number):
                    for proxy in range(2):
                        schedule(
                            now + response_time, Acknowledged(proxy, ack_number, response_time)
                        )
                case SetTimer(delay, token):
                    schedule(now + max(delay, 0.001), TimerFired(token))
    installed = [
        {name for name, weight in tables[table_id].items() if weight}
        for table_id in table_by_proxy_and_class.values()
    ]
    assert installed and all(names == {endpoint(n).id for n in range(4)} for names in installed)
