"""A discovery that falls silent late, in the middle of what it says, or gives its whole list again and again at speed,
before a manager process with a joined proxy."""

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
from tests.platform.test_process import ZONES, instance
from tests.race_conditions.processes import (
    Agent,
    answered,
    chunked,
    known,
    listed,
    serving,
    settings,
)
from tests.race_conditions.roaming_proxies import LANES, Proxy

NEWS = 300  # versions before the silence, as fast as they are asked for


class Breaking:
    """Quick news, then one answer by `breaks`; from then on one change, and silence."""

    def __init__(self, breaks: Callable[[trio.SocketStream], Any], whole: bool) -> None:
        self.breaks, self.whole = breaks, whole
        self.agent = Agent(self.play)
        self.broken: trio.SocketStream | None = None
        self.closed = trio.Event()
        self.generation, self.mended = 1, False
        self.broke_at = self.again_at = 0.0

    async def serve(self, stream: trio.SocketStream) -> None:
        await self.agent.serve(stream)
        if stream is self.broken:
            self.closed.set()

    async def play(self, stream: trio.SocketStream, target: str) -> None:
        if self.broken is not None:
            await self._again(stream)
        elif self.generation < NEWS:
            self.generation += 1
            known_before = "index" in target
            entries = (
                [instance(0, weight=1.0 + self.generation % 7)]
                if known_before
                else [*map(instance, range(6))]
            )
            await stream.send_all(
                answered(listed(self.generation, *entries, reset=not known_before))
            )
        elif self.whole and "index" in target:
            await stream.send_all(
                answered(listed(1, reset=False))
            )  # put back, so that the whole list is asked for
        else:
            self.broken, self.broke_at = stream, trio.current_time()
            await self.breaks(stream)

    async def _again(self, stream: trio.SocketStream) -> None:
        self.again_at = self.again_at or trio.current_time()
        if not self.mended and stream is not self.broken:
            self.mended = True
            entries = [*map(instance, range(6)), instance(7)] if self.whole else [instance(7)]
            await stream.send_all(answered(listed(NEWS + 1, *entries, reset=self.whole)))


def spoilt(whole: bool) -> bytes:
    """What is broken off: it would take every worker but one away."""
    gone = [] if whole else [instance(n, lifecycle="gone") for n in range(6)]
    return listed(NEWS + 5, *gone, instance(9), reset=whole)


async def half(stream: trio.SocketStream, whole: bool) -> None:
    data = answered(spoilt(whole))
    await stream.send_all(data[: -len(spoilt(whole)) // 2])


async def half_a_head(stream: trio.SocketStream, whole: bool) -> None:
    await stream.send_all(answered(spoilt(whole))[:40])


async def half_in_chunks(stream: trio.SocketStream, whole: bool) -> None:
    await stream.send_all(
        chunked(spoilt(whole), 16).removesuffix(b"0\r\n\r\n")
    )  # all but the last, empty one


async def trickle(stream: trio.SocketStream, whole: bool) -> None:
    """Never silent for long, and never at an end."""
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n")
    while True:
        await stream.send_all(b" ")
        await trio.sleep(0.02)


@pytest.mark.parametrize(
    ("breaks", "whole"),
    [
        (half, False),
        (half, True),
        (half_a_head, True),
        (half_in_chunks, True),
        (trickle, False),
        (trickle, True),
    ],
)
async def test_a_discovery_silent_in_the_middle_of_an_answer_is_left_for_another_call(
    tmp_path: Path, breaks: Callable[..., Any], whole: bool
) -> None:
    """After news at speed. What had come of the answer is nothing, though it be all but its end."""
    played = Breaking(lambda stream: breaks(stream, whole), whole)
    async with serving(
        tmp_path,
        played.serve,
        known=known(*map(instance, range(6))),
        settings=settings(messagesMost=0),
    ) as (running, nursery):
        proxy, late = (Proxy(n, ZONES[n % 2], [running.port], Random(n)) for n in (3, 4))
        nursery.start_soon(proxy.run)
        await played.agent.calls(NEWS + whole)
        with trio.fail_after(5):
            while played.broken is None:
                await trio.sleep(0.01)
        nursery.start_soon(late.run)
        await late.until(lambda: late.usable().keys() == {f"s-{n}" for n in range(6)})
        assert not played.again_at, "what is held serves meanwhile"
        for one in (proxy, late):
            await one.until(
                lambda one=one: one.usable().keys() == {f"s-{n}" for n in (*range(6), 7)}
            )
        with trio.fail_after(1):
            await played.closed.wait()
        bound = (
            discovery_state.ANSWER_TIMEOUT_S
            + (0.0 if whole else discovery_state.WATCH_WAIT_S)
            + discovery_state.MAX_BACKOFF_S
        )
        assert played.again_at - played.broke_at < bound + 0.5
        assert len(running.said("discovery.failed")) == 1
        asked = played.agent.asked[NEWS + whole]
        assert asked == discovery_state.SERVERS_PATH if whole else f"index={NEWS}&" in asked
        assert not proxy.faults and not late.faults and len(proxy.streams) == len(late.streams) == 1
        nursery.cancel_scope.cancel()


class Resetting:
    """The whole list at once at each call, by turns the same, another, an empty one; once `over`, the last for good."""

    def __init__(self, moves_on: bool) -> None:
        self.moves_on, self.agent = moves_on, Agent(self.play)
        self.over = self.told = False
        self.told_as = 0
        self.lists = [[*map(instance, range(6))]] * 2 + [
            [*map(instance, range(3, 9))],
            [],
            [instance(8)],
        ]
        self.last = [instance(n) for n in (0, 1, 4, 8)]

    async def play(self, stream: trio.SocketStream, target: str) -> None:
        asked = len(self.agent.asked)
        if self.told:  # nothing new
            await trio.sleep(1.0)
            await stream.send_all(answered(listed(self.told_as, reset=False)))
            return
        self.told_as = asked if self.moves_on else 1
        entries, self.told = (
            self.last if self.over else self.lists[asked % len(self.lists)],
            self.over,
        )
        await stream.send_all(answered(listed(self.told_as, *entries)))


@pytest.mark.parametrize("moves_on", [True, False])
async def test_a_whole_list_again_and_again_at_speed_leads_to_the_last_one(
    tmp_path: Path, moves_on: bool
) -> None:
    """No proxy gets more messages than it takes, none that it can't use, and what was shut out meanwhile is back."""
    most, span = 10, 2.0
    played = Resetting(moves_on)
    async with serving(
        tmp_path,
        played.agent.serve,
        known=known(*map(instance, range(6))),
        settings=settings(messagesMost=most, reloadSpanUs=span * 1e6),
    ) as (running, nursery):
        proxies = [Proxy(n, ZONES[n % 2], [running.port], Random(n)) for n in range(4)]
        for proxy in proxies:
            nursery.start_soon(proxy.run)
        for proxy in proxies:
            await proxy.until(proxy.usable)
        before, began = len(played.agent.asked), trio.current_time()
        await played.agent.calls(before + (300 if moves_on else 30))
        took = trio.current_time() - began
        assert moves_on or took > 28 * discovery_state.MIN_QUERY_INTERVAL_S, (
            "one that stands still is not asked without a pause"
        )
        played.over = True
        names = {entry["instanceId"] for entry in played.last}
        for proxy in proxies:
            await proxy.until(
                lambda proxy=proxy: proxy.usable().keys() == proxy.usable(LANES[1]).keys() == names,
                15,
            )
        for proxy in proxies:
            [stream], times = proxy.streams, proxy.streams[0].order_times
            assert not proxy.faults
            assert all(times[n + most] - times[n] > span - 0.3 for n in range(len(times) - most)), (
                stream
            )
        assert not running.said("discovery.failed") and played.agent.connections == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("lists", "gap", "answer"), [(2, 0.002, 0.001), (4, 0.004, 0.005), (12, 0.004, 0.005)]
)
def test_the_last_of_many_lists_is_laid_by_the_module_s_own_timers(
    lists: int, gap: float, answer: float
) -> None:
    """Nothing else happens behind it: no report, no usage. Danger: left for want of messages and not looked at again, a
    change would wait for the next report, and proxies of an idle fleet would hold a table of nobody."""
    module = Balancer(
        manager_settings(channel=ChannelSettings(1300.0, 4.0, 2000.0, 0.252, 0.63, 10, 2.0))
    )
    turns = [range(6), range(3, 9), range(0)]
    due, numbers = list[tuple[float, int, Event]](), count()

    def later(at: float, event: Event) -> None:
        heapq.heappush(due, (at, next(numbers), event))

    for p in range(2):
        later(0.0, ProxyConnected(p, "north", 5.0, True))
    later(0.0, EndpointsUpdated("kept", tuple(map(endpoint, range(6)))))
    for n in range(lists):
        later(0.001 + gap * n, EndpointsUpdated("whole", tuple(map(endpoint, turns[n % 3]))))
    later(0.001 + gap * lists, EndpointsUpdated("whole", tuple(map(endpoint, range(4)))))
    tables, bound = defaultdict[int, dict[str, float]](dict), dict[tuple[int, int], int]()
    while due and due[0][0] < 30.0:
        now, _, event = heapq.heappop(due)
        for order in module.decide(now, [event]):
            match order:
                case SetWeight(tbl, name, weight):
                    tables[tbl][name] = weight
                case DeleteTable(tbl):
                    tables.pop(tbl, None)
                case AssignTable(proxy, products, tbl):
                    bound.update({(proxy, k): tbl for k in products})
                case RequestAcknowledgement(number):
                    for p in range(2):
                        later(now + answer, Acknowledged(p, number, answer))
                case SetTimer(after, token):
                    later(now + max(after, 0.001), TimerFired(token))
    held = [{name for name, weight in tables[tbl].items() if weight} for tbl in bound.values()]
    assert held and all(names == {endpoint(n).id for n in range(4)} for names in held)
