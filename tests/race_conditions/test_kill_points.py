"""A manager that is killed (SIGKILL) at a given point of its first exchange with a proxy.

Guards against proxies that lose requests, keep an incomplete update or keep endpoints that have
gone when their manager dies. The process kills itself by a hook loaded into it, because a signal
from outside cannot be timed to the point. Its proxies then connect to another manager.
"""

from pathlib import Path
from random import Random

import pytest
import trio

from tests.fixtures.platform_process import ZONES, initial_list, instance
from tests.race_conditions.processes import (
    DiscoverySource,
    Managers,
    fleet_settings,
    running_managers,
)
from tests.race_conditions.roaming_proxies import TRAFFIC_CLASSES, Proxy, Requests, Workers

# Kills the process at POINT if the file ARMED exists, which it deletes first.
HOOK = """
import os, signal, socket

def kill_self():
    os.unlink(ARMED)
    os.kill(os.getpid(), signal.SIGKILL)

class KillingSocket(socket.socket):
    def recv(self, *args):
        data = super().recv(*args)
        if POINT == "hello received" and b'"hello"' in data and os.path.exists(ARMED):
            kill_self()
        return data

    def send(self, data, *args):
        if POINT == "update half written" and b'"push"' in data and os.path.exists(ARMED):
            super().send(data[:len(data) // 2], *args)
            kill_self()
        count = super().send(data, *args)
        if POINT == "update written" and b'"push"' in data and os.path.exists(ARMED):
            kill_self()
        return count

accept = socket.socket.accept

def killing_accept(self):
    accepted, address = accept(self)
    if POINT == "accepted" and os.path.exists(ARMED):
        kill_self()
    return KillingSocket(fileno=accepted.detach()), address

socket.socket.accept = killing_accept
"""


class ThreeManagers:
    """Three managers, of which the first will be killed, their proxies, and requests to these."""

    def __init__(self, managers: Managers, nursery: trio.Nursery) -> None:
        self.managers = managers
        self.nursery = nursery
        self.workers = Workers()
        self.rng = Random(11)
        self.requests = Requests(self.workers, self.rng)
        self.proxies = [Proxy(n, ZONES[n % 2], [*managers.ports], self.rng) for n in range(9)]

    async def start_proxies(self) -> None:
        """Start all proxies, connected to the second and third manager only."""
        await self.workers.open(self.nursery, *(f"s-{n}" for n in range(8)))
        for n, proxy in enumerate(self.proxies):
            proxy.ports = [self.managers.ports[1 + n % 2]]
            self.nursery.start_soon(proxy.run)
        for proxy in self.proxies:
            await proxy.until(proxy.usable)
            self.nursery.start_soon(self.requests.send_to, proxy, 30.0)

    async def until_all_use(self, *names: str) -> None:
        """Wait until each proxy is connected to a running manager and uses only these workers."""
        running_ports = {
            port
            for n, port in enumerate(self.managers.ports)
            if self.managers.running[n].process.poll() is None
        }
        for proxy in self.proxies:
            await proxy.until(
                lambda proxy=proxy: (
                    proxy.updated_stream
                    and proxy.updated_stream.port in running_ports
                    and all(
                        proxy.usable(traffic_class).keys() == {*names}
                        for traffic_class in TRAFFIC_CLASSES
                    )
                )
            )


@pytest.mark.parametrize(
    "point", ["accepted", "hello received", "update half written", "update written"]
)
async def test_a_manager_killed_while_proxies_join_loses_no_request_and_no_change(
    tmp_path: Path, point: str
) -> None:
    """Only the other managers learn of workers that leave, start, or are ejected meanwhile."""
    source, armed, hook = (
        DiscoverySource(*map(instance, range(6))),
        tmp_path / "armed",
        tmp_path / "hook",
    )
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(f"ARMED, POINT = {str(armed)!r}, {point!r}\n{HOOK}")
    async with running_managers(
        tmp_path,
        source.server.serve,
        3,
        known=initial_list(*map(instance, range(6))),
        settings=fleet_settings(messagesMost=0),
    ) as (managers, nursery):
        fleet = ThreeManagers(managers, nursery)
        await managers.kill(0)
        await managers.start(0, PYTHONPATH=str(hook))
        await managers.until_alive(0)
        await fleet.start_proxies()
        armed.touch()
        for proxy in fleet.proxies:
            proxy.ports = [managers.ports[0]]
        # Its proxies connect to the first manager only, all at once.
        await managers.kill(1)
        with trio.fail_after(10):
            await managers.running[0].process.wait()
        assert not armed.exists() and not any(proxy.errors for proxy in fleet.proxies)
        update_count = sum(
            len(stream.update_times)
            for proxy in fleet.proxies
            for stream in proxy.streams
            if stream.port == managers.ports[0]
        )
        assert update_count <= (point == "update written"), (
            "the manager was killed before its first complete update"
        )
        source.update(instance(0, lifecycle="gone"), instance(1, lifecycle="draining"), instance(6))
        for proxy in fleet.proxies:
            proxy.ports = [*managers.ports]
        await fleet.until_all_use("s-2", "s-3", "s-4", "s-5", "s-6")
        await managers.start(0)
        await managers.start(1)
        await managers.until_alive(0, 1)
        # Only the third manager had ejected s-1; the restarted ones never had it in a table.
        await managers.kill(2)
        await fleet.until_all_use("s-2", "s-3", "s-4", "s-5", "s-6")
        assert any("s-1" in proxy.ejected for proxy in fleet.proxies)
        source.update(instance(1), instance(7))
        await fleet.until_all_use(*(f"s-{n}" for n in range(1, 8)))
        await fleet.requests.finish()
        assert not any(proxy.errors for proxy in fleet.proxies)
        nursery.cancel_scope.cancel()
