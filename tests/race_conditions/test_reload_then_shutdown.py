"""A reload (SIGHUP) of a manager process that is followed by a drain (SIGTERM).

Guards against a reload in progress that delays the drain or makes it fail: the drain arrives while
the configuration file is incomplete, while the new discovery's list is incomplete, or after the
reload. The proxies then connect to the other manager.
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

DRAIN_TIMEOUT_S = 0.7  # after SIGTERM; a planned restart kills the process then


class TwoManagers:
    """Two managers and the proxies of the first; `other` is the discovery set by the reload."""

    def __init__(
        self, managers: Managers, nursery: trio.Nursery, other: "PartialListDiscovery"
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


class PartialListDiscovery:
    """A discovery server that sends a part of its list, and the rest once `rest` is set."""

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


async def reload_started(fleet: TwoManagers) -> None:
    """Reload with the new address; the drain follows at once."""
    fleet.managers.config_path(0).write_text(
        fleet.managers.config_text(0, discovery=fleet.other_address)
    )
    fleet.signal(signal.SIGHUP)


async def file_half_written(fleet: TwoManagers) -> None:
    text = fleet.managers.config_text(0, discovery=fleet.other_address)
    fleet.managers.config_path(0).write_text(text[: len(text) // 2])
    fleet.signal(signal.SIGHUP)


async def file_half_written_and_rejected(fleet: TwoManagers) -> None:
    """Wait until the manager pauses between two attempts to read the file.

    The fifth attempt is 0.8 s after the fourth. The file is a pipe, on which opening for writing
    waits for each attempt.
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
        with trio.fail_after(5), suppress(OSError):  # raised once the pipe has no reader
            while True:
                os.close(os.open(fleet.managers.config_path(0), os.O_WRONLY | os.O_NONBLOCK))
                await trio.sleep(0.002)
    await fleet.first.until_logged("reload.rejected")


async def list_partly_received(fleet: TwoManagers) -> None:
    await reload_started(fleet)
    await fleet.other.server.until_queried(1, timeout=1.0)


async def rest_of_list_together_with_the_stop(fleet: TwoManagers) -> None:
    """Suspend the process, so that it finds both the rest of the list and the drain on resuming."""
    await list_partly_received(fleet)
    fleet.signal(signal.SIGSTOP)
    fleet.other.rest.set()
    await trio.testing.wait_all_tasks_blocked()


async def list_installed(fleet: TwoManagers) -> None:
    """Wait until the reload is done and the proxies have the new list."""
    fleet.other.rest.set()
    await list_partly_received(fleet)
    for proxy in fleet.proxies:
        await proxy.until(lambda proxy=proxy: proxy.usable().keys() == {"s-0", "s-1", "s-2", "s-9"})


@pytest.mark.parametrize(
    "state",
    [
        reload_started,
        file_half_written,
        file_half_written_and_rejected,
        list_partly_received,
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
        fleet = TwoManagers(managers, nursery, PartialListDiscovery())
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
                lambda proxy=proxy: (
                    proxy.updated_stream and proxy.updated_stream.port == managers.ports[1]
                )
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
