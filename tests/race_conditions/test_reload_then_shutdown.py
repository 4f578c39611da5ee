"""A reload (SIGHUP) followed by a drain (SIGTERM) at a manager process, at once and later, in the states that a reload
may have been left in; its proxies go to another manager."""

import json
import os
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing

from tests.platform.test_process import ZONES, instance
from tests.race_conditions.processes import (
    Agent,
    Managers,
    Source,
    answered,
    known,
    listed,
    managers,
    settings,
)
from tests.race_conditions.roaming_proxies import Proxy, Requests, Workers

DRAINED = 0.7  # seconds from SIGTERM after which a planned restart is killed


class Day:
    """Two managers; the first one's proxies with requests. `other` is the discovery that a reload names."""

    def __init__(self, made: Managers, nursery: trio.Nursery, other: "Half") -> None:
        self.made, self.nursery, self.other = made, nursery, other
        self.first = made.running[0]
        self.place, self.proxies = "", list[Proxy]()

    async def serve_other(self) -> None:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.place = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        self.nursery.start_soon(trio.serve_listeners, self.other.agent.serve, doors)

    def signal(self, number: int) -> None:
        self.first.process.send_signal(number)


class Half:
    """Discovery that gives half of its list, and the rest once it is told to."""

    def __init__(self) -> None:
        self.agent, self.rest = Agent(self.play), trio.Event()

    async def play(self, stream: trio.SocketStream, target: str) -> None:
        if "index" in target:
            return
        data = answered(listed(3, *map(instance, (0, 1, 2, 9))))
        await stream.send_all(data[:-60])
        await self.rest.wait()
        await stream.send_all(data[-60:])


async def at_once(day: Day) -> None:
    """Nothing between the two signals; the new place is named in the file."""
    day.made.config(0).write_text(day.made.told(0, discovery=day.place))
    day.signal(signal.SIGHUP)


async def file_half_written(day: Day) -> None:
    text = day.made.told(0, discovery=day.place)
    day.made.config(0).write_text(text[: len(text) // 2])
    day.signal(signal.SIGHUP)


async def half_written_and_refused(day: Day) -> None:
    """It stands in the pause between its readings, the fifth of which is 0.8 s behind the fourth. The file is a pipe,
    whose writer waits for each reading."""
    text = day.made.told(0, discovery=day.place)
    day.made.config(0).unlink()
    os.mkfifo(day.made.config(0))
    day.signal(signal.SIGHUP)
    for _ in range(4):
        pipe = await trio.to_thread.run_sync(
            lambda: os.open(day.made.config(0), os.O_WRONLY), abandon_on_cancel=True
        )
        os.write(pipe, text[: len(text) // 2].encode())
        os.close(pipe)
        with trio.fail_after(5), suppress(OSError):  # raised once nobody reads from it
            while True:
                os.close(os.open(day.made.config(0), os.O_WRONLY | os.O_NONBLOCK))
                await trio.sleep(0.002)
    await day.first.until_said("reload.rejected")


async def list_under_way(day: Day) -> None:
    await at_once(day)
    await day.other.agent.calls(1, within=1.0)


async def list_in_the_turn_of_the_stop(day: Day) -> None:
    """What is missing of the list and the stop are both there when it runs on."""
    await list_under_way(day)
    day.signal(signal.SIGSTOP)
    day.other.rest.set()
    await trio.testing.wait_all_tasks_blocked()


async def list_taken(day: Day) -> None:
    """The reload is done and its list is out at the proxies."""
    day.other.rest.set()
    await list_under_way(day)
    for proxy in day.proxies:
        await proxy.until(lambda proxy=proxy: proxy.usable().keys() == {"s-0", "s-1", "s-2", "s-9"})


@pytest.mark.parametrize(
    "state",
    [
        at_once,
        file_half_written,
        half_written_and_refused,
        list_under_way,
        list_in_the_turn_of_the_stop,
        list_taken,
    ],
)
async def test_a_reload_followed_by_a_drain_is_a_drain(
    tmp_path: Path, state: Callable[[Day], Awaitable[None]]
) -> None:
    names, workers, chance = [f"s-{n}" for n in (*range(6), 9)], Workers(), Random(5)
    source = Source(*map(instance, range(6)))
    async with managers(
        tmp_path, source.agent.serve, 2, known=known(*map(instance, range(6))), settings=settings()
    ) as (made, nursery):
        await workers.open(nursery, *names)
        day, requests = Day(made, nursery, Half()), Requests(workers, chance)
        await day.serve_other()
        proxies = day.proxies = [Proxy(n, ZONES[n % 2], [made.ports[0]], chance) for n in range(6)]
        for proxy in proxies:
            nursery.start_soon(proxy.run)
        for proxy in proxies:
            await proxy.until(proxy.usable)
            proxy.ports = [*made.ports]
            nursery.start_soon(requests.at, proxy, 40.0)
        await requests.until_answered(50)
        await state(day)
        day.signal(signal.SIGTERM)
        day.signal(signal.SIGCONT)
        stopped_at = trio.current_time()
        with trio.fail_after(DRAINED):
            assert await day.first.process.wait() == 0
        assert [json.loads(line)["event"] for line in day.first.log.read_text().splitlines()][
            -1
        ] == "stopped"
        for proxy in proxies:
            await proxy.until(
                lambda proxy=proxy: proxy.joined and proxy.joined.port == made.ports[1]
            )
            former = proxy.streams[0]
            assert (
                not former.bytes_after
                and former.order_times[-1] < stopped_at + DRAINED
                and not proxy.faults
            )
        await requests.until_answered(requests.asked + 50)
        await requests.finish()
        nursery.cancel_scope.cancel()
