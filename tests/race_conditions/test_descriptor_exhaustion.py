"""A manager that has no free file descriptor, next to managers that have some.

Guards against proxies that wait for it forever: their connections are in its listen backlog, but it
cannot accept them. Also guards against a busy loop on a failing accept, and against a manager that
accepts no proxy after others have disconnected.
"""

import os
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import trio

from tests.fixtures.platform_process import ZONES, initial_list, instance
from tests.race_conditions.processes import DiscoverySource, fleet_settings, running_managers
from tests.race_conditions.roaming_proxies import Proxy, Requests, Workers

PROXY_COUNT = 40
LEAVING_COUNT = 8
MAX_FILES = 30  # descriptor limit of the first manager, which uses about 12 itself


class ShortTimeoutProxy(Proxy):
    FIRST_UPDATE_TIMEOUT_S = 1.0


def cpu_seconds(process: trio.Process) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def test_proxies_leave_a_manager_without_descriptors_and_it_accepts_others_later(
    tmp_path: Path,
) -> None:
    source = DiscoverySource(*map(instance, range(6)))
    workers = Workers()
    rng = Random(23)
    async with running_managers(
        tmp_path,
        source.server.serve,
        3,
        wait=False,
        known=initial_list(*map(instance, range(6))),
        settings=fleet_settings(messagesMost=0, egressPerS=20000.0),
    ) as (managers, nursery):
        await managers.kill(0)
        await managers.start(0, max_files=MAX_FILES)
        await managers.until_alive(0, 1, 2)
        requests = Requests(workers, rng)
        await workers.open(nursery, *(f"s-{n}" for n in range(6)))
        proxies = [
            ShortTimeoutProxy(n, ZONES[n % 2], [managers.ports[0]], rng) for n in range(PROXY_COUNT)
        ]

        def proxies_at(n: int) -> int:
            return sum(
                proxy.updated_stream is not None and proxy.updated_stream.port == managers.ports[n]
                for proxy in proxies
            )

        async def run(proxy: Proxy) -> None:
            with scopes[proxy.number]:
                await proxy.run()
            proxy.updated_stream = None

        async def until(condition: Callable[[], Any]) -> None:
            with trio.fail_after(10):
                while not condition():
                    await trio.sleep(0.01)

        scopes = [trio.CancelScope() for _ in proxies]
        for proxy in proxies:
            nursery.start_soon(run, proxy)
        full_process = managers.running[0].process
        await until(
            lambda: proxies_at(0) >= MAX_FILES // 2 and all(proxy.streams for proxy in proxies)
        )
        cpu_before = cpu_seconds(full_process)
        started_at = trio.current_time()
        # Each proxy is connected to it, or has ended a connection to it.
        await until(
            lambda: proxies_at(0) + sum(len(proxy.streams) > 1 for proxy in proxies) >= PROXY_COUNT
        )
        assert cpu_seconds(full_process) - cpu_before < 0.5 * (trio.current_time() - started_at), (
            "the manager does not busy-loop while accept fails"
        )
        proxies_at_limit = proxies_at(0)
        assert MAX_FILES // 2 <= proxies_at_limit < MAX_FILES
        for proxy in [proxy for proxy in proxies if proxy.updated_stream][:LEAVING_COUNT]:
            scopes[proxy.number].cancel()
        await until(
            lambda: (
                proxies_at(0) >= proxies_at_limit
                and sum(scope.cancel_called for scope in scopes) == LEAVING_COUNT
            )
        )
        for proxy in proxies:
            proxy.ports = [*managers.ports]
            nursery.start_soon(requests.send_to, proxy, 4.0)
        await until(
            lambda: proxies_at(0) + proxies_at(1) + proxies_at(2) == PROXY_COUNT - LEAVING_COUNT
        )
        for n in (1, 2):
            managers.running[n].process.send_signal(signal.SIGTERM)
            await managers.running[n].process.wait()
        await managers.start(1)
        await until(lambda: proxies_at(0) + proxies_at(1) == PROXY_COUNT - LEAVING_COUNT)
        assert proxies_at(1), "a restarted manager gets proxies next to one without descriptors"
        await requests.until_answered(requests.request_count + 50)
        await requests.finish()
        assert not any(proxy.errors for proxy in proxies)
        nursery.cancel_scope.cancel()
