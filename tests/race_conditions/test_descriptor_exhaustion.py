"""A manager with no descriptor left, beside others that have room: nobody waits for it for good, and once others have
left it takes new ones."""

import os
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import trio

from tests.platform.test_process import ZONES, instance
from tests.race_conditions.processes import Source, known, managers, settings
from tests.race_conditions.roaming_proxies import Proxy, Requests, Workers

PROXIES, LEAVE = 40, 8
FILES = 30  # descriptors of the first manager, of which it uses a dozen itself


class Patient(Proxy):
    FIRST = 1.0


def cpu(process: trio.Process) -> float:
    """Seconds of processor time that it has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def test_who_finds_a_manager_full_is_served_by_another_and_it_takes_others_later(
    tmp_path: Path,
) -> None:
    source, workers, chance = Source(*map(instance, range(6))), Workers(), Random(23)
    async with managers(
        tmp_path,
        source.agent.serve,
        3,
        wait=False,
        known=known(*map(instance, range(6))),
        settings=settings(messagesMost=0, egressPerS=20000.0),
    ) as (made, nursery):
        await made.kill(0)
        await made.start(0, files=FILES)
        await made.until_alive(0, 1, 2)
        requests = Requests(workers, chance)
        await workers.open(nursery, *(f"s-{n}" for n in range(6)))
        proxies = [Patient(n, ZONES[n % 2], [made.ports[0]], chance) for n in range(PROXIES)]

        def at(n: int) -> int:
            return sum(
                proxy.joined is not None and proxy.joined.port == made.ports[n] for proxy in proxies
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
        full = made.running[0].process
        await until(lambda: at(0) >= FILES // 2 and all(proxy.streams for proxy in proxies))
        used, began = cpu(full), trio.current_time()
        await until(
            lambda: at(0) + sum(len(proxy.streams) > 1 for proxy in proxies) >= PROXIES
        )  # who gave it up
        assert cpu(full) - used < 0.5 * (trio.current_time() - began), (
            "it does not spin before its door"
        )
        most = at(0)
        assert FILES // 2 <= most < FILES
        for proxy in [proxy for proxy in proxies if proxy.joined][:LEAVE]:
            scopes[proxy.number].cancel()
        await until(lambda: at(0) >= most and sum(scope.cancel_called for scope in scopes) == LEAVE)
        for proxy in proxies:
            proxy.ports = [*made.ports]
            nursery.start_soon(requests.at, proxy, 4.0)
        await until(lambda: at(0) + at(1) + at(2) == PROXIES - LEAVE)
        for n in (1, 2):
            made.running[n].process.send_signal(signal.SIGTERM)
            await made.running[n].process.wait()
        await made.start(1)
        await until(lambda: at(0) + at(1) == PROXIES - LEAVE)
        assert at(1), "started anew beside a full one, it is not left with nobody"
        await requests.until_answered(requests.asked + 50)
        await requests.finish()
        assert not any(proxy.faults for proxy in proxies)
        nursery.cancel_scope.cancel()
