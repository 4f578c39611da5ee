"""A reload (SIGHUP) followed by a drain (SIGTERM) of a manager process, at once and later.

In the states that a reload may have left behind; its proxies go to another manager.
"""

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

from tests.fixtures.platform_process import ZONES, initial_list, instance
from tests.race_conditions.processes import (
    DiscoverySource,
    Managers,
    ScriptedDiscovery,
    fleet_settings,
    http_response,
    list_body,
    running_managers,
)
from tests.race_conditions.roaming_proxies import Proxy, Requests, Workers

DRAIN_TIMEOUT_S = 0.7  # seconds from SIGTERM after which a planned restart is killed


class TwoManagers:
    """Two managers and the first one's proxies; `other` is the discovery that a reload names."""

    def __init__(
        self, managers: Managers, nursery: trio.Nursery, other: "HalfwayDiscovery"
    ) -> None:
        self.managers = managers
        self.nursery = nursery
        self.other = other
        self.first = managers.running[0]
        self.other_address = ""
        self.proxies = list[Proxy]()

    async def serve_other_discovery(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.other_address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        self.nursery.start_soon(trio.serve_listeners, self.other.server.serve, listeners)

    def signal(self, number: int) -> None:
        self.first.process.send_signal(number)


class HalfwayDiscovery:
    """Discovery that sends a part of its list, and the rest once `rest` is set."""

    def __init__(self) -> None:
        self.server = ScriptedDiscovery(self.respond)
        self.rest = trio.Event()

    async def respond(self, stream: trio.SocketStream, target: str) -> None:
        if "index" in target:
            return
        data = http_response(list_body(3, *map(instance, (0, 1, 2, 9))))
        await stream.send_all(data[:-60])
        await self.rest.wait()
        await stream.send_all(data[-60:])


async def at_once(fleet: TwoManagers) -> None:
    """Nothing happens between the two signals; the file names the new address."""
    fleet.managers.config_path(0).write_text(
        fleet.managers.config_text(0, discovery=fleet.other_address)
    )
    fleet.signal(signal.SIGHUP)


async def file_half_written(fleet: TwoManagers) -> None:
    text = fleet.managers.config_text(0, discovery=fleet.other_address)
    fleet.managers.config_path(0).write_text(text[: len(text) // 2])
    fleet.signal(signal.SIGHUP)


async def half_written_and_rejected(fleet: TwoManagers) -> None:
    """Wait until the manager pauses between its readings of the file.

    The fifth reading is 0.8 s after the fourth. The file is a pipe, whose writer waits for each.
    """
    text = fleet.managers.config_text(0, discovery=fleet.other_address)
    fleet.managers.config_path(0).unlink()
    os.mkfifo(fleet.managers.config_path(0))
    fleet.signal(signal.SIGHUP)
    for _ in range(4):
        pipe = await trio.to_thread.run_sync(
            lambda: os.open(fleet.managers.config_path(0), os.O_WRONLY), abandon_on_cancel=True
        )
        os.write(pipe, text[: len(text) // 2].encode())
        os.close(pipe)
        with trio.fail_after(5), suppress(OSError):  # raised once nobody reads from it
            while True:
                os.close(os.open(fleet.managers.config_path(0), os.O_WRONLY | os.O_NONBLOCK))
                await trio.sleep(0.002)
    await fleet.first.until_logged("reload.rejected")


async def list_half_received(fleet: TwoManagers) -> None:
    await at_once(fleet)
    await fleet.other.server.until_queried(1, timeout=1.0)


async def rest_of_list_together_with_the_stop(fleet: TwoManagers) -> None:
    """The rest of the list and the stop are both there when the process runs again."""
    await list_half_received(fleet)
    fleet.signal(signal.SIGSTOP)
    fleet.other.rest.set()
    await trio.testing.wait_all_tasks_blocked()


async def list_installed(fleet: TwoManagers) -> None:
    """The reload is done, and the proxies have its list."""
    fleet.other.rest.set()
    await list_half_received(fleet)
    for proxy in fleet.proxies:
        await proxy.until(lambda proxy=proxy: proxy.usable().keys() == {"s-0", "s-1", "s-2", "s-9"})


@pytest.mark.parametrize(
    "state",
    [
        at_once,
        file_half_written,
        half_written_and_rejected,
        list_half_received,
        rest_of_list_together_with_the_stop,
        list_installed,
    ],
)
async def test_a_reload_followed_by_a_drain_is_a_drain(
    tmp_path: Path, state: Callable[[TwoManagers], Awaitable[None]]
) -> None:
    names = [f"s-{n}" for n in (*range(6), 9)]
    workers = Workers()
    rng = Random(5)
    source = DiscoverySource(*map(instance, range(6)))
    async with running_managers(
        tmp_path,
        source.server.serve,
        2,
        known=initial_list(*map(instance, range(6))),
        settings=fleet_settings(),
    ) as (managers, nursery):
        await workers.open(nursery, *names)
        fleet = TwoManagers(managers, nursery, HalfwayDiscovery())
        requests = Requests(workers, rng)
        await fleet.serve_other_discovery()
        proxies = fleet.proxies = [
            Proxy(n, ZONES[n % 2], [managers.ports[0]], rng) for n in range(6)
        ]
        for proxy in proxies:
            nursery.start_soon(proxy.run)
        for proxy in proxies:
            await proxy.until(proxy.usable)
            proxy.ports = [*managers.ports]
            nursery.start_soon(requests.send_to, proxy, 40.0)
        await requests.until_answered(50)
        await state(fleet)
        fleet.signal(signal.SIGTERM)
        fleet.signal(signal.SIGCONT)
        stopped_at = trio.current_time()
        with trio.fail_after(DRAIN_TIMEOUT_S):
            assert await fleet.first.process.wait() == 0
        last_line = fleet.first.log.read_text().splitlines()[-1]
        assert json.loads(last_line)["event"] == "stopped"
        for proxy in proxies:
            await proxy.until(
                lambda proxy=proxy: proxy.joined and proxy.joined.port == managers.ports[1]
            )
            first_stream = proxy.streams[0]
            assert (
                not first_stream.partial_bytes
                and first_stream.update_times[-1] < stopped_at + DRAIN_TIMEOUT_S
                and not proxy.errors
            )
        await requests.until_answered(requests.request_count + 50)
        await requests.finish()
        nursery.cancel_scope.cancel()
