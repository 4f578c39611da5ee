"""A manager without a free descriptor, beside others that have room.

No proxy waits for it for good, and once proxies have left it accepts new ones.
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
MAX_FILES = 30  # descriptors of the first manager, of which it uses a dozen itself


class ImpatientProxy(Proxy):
    FIRST_UPDATE_TIMEOUT_S = 1.0


def cpu_seconds(process: trio.Process) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def test_a_full_manager_s_proxies_go_elsewhere_and_it_accepts_others_later(
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
            ImpatientProxy(n, ZONES[n % 2], [managers.ports[0]], rng) for n in range(PROXY_COUNT)
        ]

        def proxies_at(n: int) -> int:
            return sum(
                proxy.joined is not None and proxy.joined.port == managers.ports[n]
                for proxy in proxies
            )

        async def run(proxy: Proxy) -> None:
            with scopes[proxy.number]:
                await proxy.run()
            proxy.joined = None

        async def until(seen: Callable[[], Any]) -> None:
            with trio.fail_after(10):
                while not seen():
                    await trio.sleep(0.01)

        scopes = [trio.CancelScope() for _ in proxies]
        for proxy in proxies:
            nursery.start_soon(run, proxy)
        full = managers.running[0].process
        await until(
            lambda: proxies_at(0) >= MAX_FILES // 2 and all(proxy.streams for proxy in proxies)
        )
        cpu_before = cpu_seconds(full)
        started_at = trio.current_time()
        await until(
            lambda: proxies_at(0) + sum(len(proxy.streams) > 1 for proxy in proxies) >= PROXY_COUNT
        )  # those that gave it up
        assert cpu_seconds(full) - cpu_before < 0.5 * (trio.current_time() - started_at), (
            "it does not spin while it cannot accept"
        )
        proxies_when_full = proxies_at(0)
        assert MAX_FILES // 2 <= proxies_when_full < MAX_FILES
        for proxy in [proxy for proxy in proxies if proxy.joined][:LEAVING_COUNT]:
            scopes[proxy.number].cancel()
        await until(
            lambda: (
                proxies_at(0) >= proxies_when_full
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
        assert proxies_at(1), "started again beside a full one, it gets proxies"
        await requests.until_answered(requests.request_count + 50)
        await requests.finish()
        assert not any(proxy.errors for proxy in proxies)
        nursery.cancel_scope.cancel()
