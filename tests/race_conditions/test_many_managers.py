"""Twenty manager processes that start at the same time, while workers warm up, in a retry storm.

Guards against managers that each send a warming worker an acceptable share, but overload it
together. A third of them is killed and restarted in calm, another third drained and restarted when
the storm returns. The load that the tables of all proxies send to each warming worker is compared
with its capacity.
"""

import json
import signal
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio

from dunlinlug.decision.events import EndpointReported, EndpointsUpdated, ProxyConnected
from dunlinlug.decision.settings import SafetyLimits
from tests.decision.rules_model import Model, endpoint, manager_settings
from tests.fixtures.platform_process import SETTINGS, ZONES, initial_list, instance
from tests.race_conditions.processes import (
    DiscoverySource,
    Managers,
    fleet_settings,
    running_managers,
)
from tests.race_conditions.roaming_proxies import TRAFFIC_CLASSES, Proxy, Requests, Workers

MANAGER_COUNT = 20
PROXY_COUNT = 40
WARM_COUNT = 12
WARMING_COUNT = 8
LATER_WARMING_COUNT = 4
# Requests to all workers in calm, as a fraction of the capacity of the warm ones.
UTILIZATION = 0.95
STORM_ATTEMPTS = 3.0  # attempts per request in a storm; one in calm
STORM_FAILURE_RATE = 0.5
RULES = {
    **SETTINGS["rules"],
    "coldUs": 60_000_000,
    "startCapacity": 0.2,
    "tipMultiple": 1.5,
    "fallUs": 2_000_000,
}


def warm_up_settings() -> dict[str, Any]:
    base = fleet_settings(
        proxyCount=PROXY_COUNT, messagesMost=0, egressPerS=20000.0, pendingMax=40000.0
    )
    traffic_classes = [
        {**entry, "aimUs": 300_000, "hardLimitUs": 500_000} for entry in base["lanes"]
    ]
    return {**base, "rules": RULES, "lanes": traffic_classes}


class SentLoad:
    """The load that all tables together send to each worker, in capacities of a warm worker."""

    def __init__(self) -> None:
        self.load_by_proxy: dict[int, dict[str, float]] = {}
        self.load_by_worker: dict[str, float] = {}
        self.warming_since: dict[str, float] = {}  # by worker, in Unix seconds
        self.attempts_per_request = 1.0
        self.overloaded_since = dict[str, float]()
        self.worst_ratio = 0.0  # load of a warming worker / its capacity
        self.longest_overload = 0.0  # seconds
        # by zone: the time of the last reports, and their lines
        self.last_reports: dict[str, tuple[float, bytes]] = {}

    def update_proxy(self, proxy: Proxy) -> None:
        """Update the load for a proxy that has applied an update."""
        load_per_class = WARM_COUNT * UTILIZATION / PROXY_COUNT / len(TRAFFIC_CLASSES)
        load = dict[str, float]()
        for traffic_class in TRAFFIC_CLASSES:
            usable = proxy.usable(traffic_class)
            for name, weight in usable.items():
                load[name] = load.get(name, 0.0) + load_per_class * proxy.admitted_fractions[
                    traffic_class
                ] * weight / sum(usable.values())
        previous = self.load_by_proxy.get(proxy.number, {})
        self.load_by_proxy[proxy.number] = load
        for name in {**previous, **load}:
            self.load_by_worker[name] = (
                self.load_by_worker.get(name, 0.0) - previous.get(name, 0.0) + load.get(name, 0.0)
            )
        self.check()

    def load_of_warming(self) -> dict[str, float]:
        return {
            name: max(round(self.load_by_worker.get(name, 0.0), 9), 0.0)
            for name in self.warming_since
        }  # rounded, because repeated sums accumulate errors

    def check(self) -> None:
        now = time.time()
        initial = RULES["startCapacity"]
        for name, sent in self.load_of_warming().items():
            age = (now - self.warming_since[name]) * 1e6 / RULES["coldUs"]
            capacity = RULES["tipMultiple"] * min(initial + (1.0 - initial) * max(age, 0.0), 1.0)
            ratio = self.attempts_per_request * sent / capacity
            self.worst_ratio = max(self.worst_ratio, ratio)
            if ratio > 1.0:
                self.longest_overload = max(
                    self.longest_overload, now - self.overloaded_since.setdefault(name, now)
                )
            else:
                self.overloaded_since.pop(name, None)

    def restart_checks(self) -> None:
        self.worst_ratio = 0.0
        self.longest_overload = 0.0
        self.overloaded_since.clear()
        self.check()

    def reports(self, zone: str, names: Iterable[str]) -> bytes:
        """Return the report lines of a zone's collector, renewed every 0.1 s."""
        made_at, reports = self.last_reports.get(zone, (-1.0, b""))
        if time.time() - made_at > 0.1:
            reports = self._make_reports(zone, names)
            self.last_reports[zone] = time.time(), reports
        return reports

    def _make_reports(self, zone: str, names: Iterable[str]) -> bytes:
        lines = [{"@type": "agent", "site": zone}]
        for name in names:
            count = round(40 * self.attempts_per_request * self.load_by_worker.get(name, 0.0))
            lines.append(
                {
                    "@type": "outcomes",
                    "site": zone,
                    "target": name,
                    "count": count,
                    "mean": 20.0,
                    "fail": round(count * STORM_FAILURE_RATE)
                    if self.attempts_per_request > 1.0
                    else 0,
                    "over": 250.0,
                }
            )
        return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


class Fleet:
    def __init__(self, managers: Managers, source: DiscoverySource) -> None:
        self.managers = managers
        self.source = source
        self.rng = Random(17)
        self.sent_load = SentLoad()
        self.workers = Workers()
        # On a busy machine, the twenty processes can take this one's core for seconds.
        self.requests = Requests(self.workers, self.rng, timeout=10.0)
        self.proxies = [LeastLoadedManagerProxy(n, self) for n in range(PROXY_COUNT)]

    def start_workers(self, numbers: Iterable[int]) -> list[dict[str, Any]]:
        """Return the list entries of workers that start now."""
        now = time.time()
        self.sent_load.warming_since.update({f"s-{n}": now for n in numbers})
        return [instance(n, startedAtMs=round(now * 1000)) for n in numbers]

    def proxies_by_manager(self) -> dict[int, int]:
        """Return the number of proxies that have an update from each manager."""
        ports = [proxy.updated_stream.port for proxy in self.proxies if proxy.updated_stream]
        return {n: ports.count(port) for n, port in enumerate(self.managers.ports)}

    def all_workers_usable(self) -> bool:
        """Return whether each proxy is connected and may send to each warming worker."""
        return all(
            proxy.updated_stream and proxy.usable().keys() >= self.sent_load.warming_since.keys()
            for proxy in self.proxies
        )

    async def collect(self, port: int, zone: str) -> None:
        """Send a zone's reports to one manager until cancelled."""
        while True:
            try:
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    while True:
                        await stream.send_all(self.sent_load.reports(zone, self.source.instances))
                        await trio.sleep(0.25)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)

    async def until(self, condition: Any, timeout: float = 30.0) -> None:
        """Wait for a condition, checking the load all the time."""
        with trio.fail_after(timeout):
            while not condition():
                await self.keep_checking(0.02)

    async def keep_checking(self, seconds: float) -> None:
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            self.sent_load.check()
            await trio.sleep(0.02)


class LeastLoadedManagerProxy(Proxy):
    """A proxy that picks the manager with the fewest proxies.

    It avoids managers that refused its connection within `REFUSAL_MEMORY_S`.
    """

    REPORT_INTERVAL_S = 1.0
    REFUSAL_MEMORY_S = 1.0

    def __init__(self, number: int, fleet: Fleet) -> None:
        super().__init__(number, ZONES[number % 2], fleet.managers.ports, fleet.rng)
        self.fleet = fleet
        self.listeners.append(lambda: fleet.sent_load.update_proxy(self))

    def choose_port(self, last_port: int) -> int:
        since = trio.current_time() - self.REFUSAL_MEMORY_S
        ports = [
            port
            for port in self.ports
            if port != last_port and self.refused_at.get(port, 0.0) < since
        ]
        proxy_counts = Counter(proxy.chosen_port for proxy in self.fleet.proxies)
        return min(ports or self.ports, key=lambda port: (proxy_counts[port], self.rng.random()))


async def test_all_managers_together_overload_no_worker_that_is_warming_up(
    tmp_path: Path,
) -> None:
    source = DiscoverySource(*map(instance, range(WARM_COUNT)))
    async with running_managers(
        tmp_path,
        source.server.serve,
        MANAGER_COUNT,
        wait=False,
        settings=warm_up_settings(),
        known=initial_list(*map(instance, range(WARM_COUNT))),
    ) as (managers, nursery):
        fleet = Fleet(managers, source)
        sent_load = fleet.sent_load
        thirds = [range(n, MANAGER_COUNT, 3) for n in range(3)]
        sent_load.attempts_per_request = STORM_ATTEMPTS
        source.update(*fleet.start_workers(range(WARM_COUNT, WARM_COUNT + WARMING_COUNT)))
        await fleet.workers.open(
            nursery, *(f"s-{n}" for n in range(WARM_COUNT + WARMING_COUNT + LATER_WARMING_COUNT))
        )
        for proxy in fleet.proxies:
            nursery.start_soon(proxy.run)
        await fleet.until(lambda: sum(fleet.proxies_by_manager().values()) == PROXY_COUNT)
        assert sent_load.worst_ratio == 0.0, "in a storm before the managers have reports of it"
        for port in managers.ports:
            for zone in ZONES:
                nursery.start_soon(fleet.collect, port, zone)
        for proxy in fleet.proxies:
            nursery.start_soon(fleet.requests.send_to, proxy, 2.0)
        await fleet.keep_checking(1.0)
        assert sent_load.worst_ratio == 0.0, "in a storm that is reported"

        sent_load.attempts_per_request = 1.0
        sent_load.restart_checks()
        await fleet.until(fleet.all_workers_usable)
        for n in thirds[0]:
            await managers.kill(n)
            await managers.start(n)
        source.update(
            *fleet.start_workers(
                range(WARM_COUNT + WARMING_COUNT, WARM_COUNT + WARMING_COUNT + LATER_WARMING_COUNT)
            )
        )
        await managers.until_alive(*thirds[0])
        await fleet.until(fleet.all_workers_usable)
        assert 0.0 < sent_load.worst_ratio <= 1.0, "in calm, after a third was killed"

        sent_load.attempts_per_request = STORM_ATTEMPTS
        sent_load.restart_checks()
        for n in thirds[1]:
            managers.running[n].process.send_signal(signal.SIGTERM)
        for n in thirds[1]:
            assert await managers.running[n].process.wait() == 0
            await managers.start(n)
        await fleet.until(
            lambda: (
                max(sent_load.load_of_warming().values()) == 0.0
                and sum(fleet.proxies_by_manager().values()) == PROXY_COUNT
            )
        )
        assert sent_load.longest_overload * 1e6 < RULES["fallUs"], (
            "overload ends once the storm is reported"
        )
        assert all(fleet.proxies_by_manager()[n] for n in thirds[0]), (
            "managers that were killed and restarted serve again"
        )
        sent_load.restart_checks()
        await managers.until_alive(*thirds[1])
        for n in thirds[2]:
            await managers.kill(n)
        await fleet.until(lambda: sum(fleet.proxies_by_manager().values()) == PROXY_COUNT)
        assert all(fleet.proxies_by_manager()[n] for n in thirds[1]), (
            "managers that were drained and restarted serve again"
        )
        assert sent_load.worst_ratio == 0.0, (
            "in the storm, including managers that started during it"
        )
        await fleet.requests.finish()
        assert not any(proxy.errors for proxy in fleet.proxies)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("warm_up_time", "overload_multiple"), [(16.0, 3.0), (60.0, 1.5), (120.0, 1.5)]
)
def test_slow_start_does_not_exceed_the_capacity_of_a_warming_worker(
    warm_up_time: float, overload_multiple: float
) -> None:
    """One manager serves all proxies, in calm.

    Guards against slow start in fixed steps: it reaches the full weight in 15 s, regardless of the
    warm-up time and the initial capacity.
    """
    model = Model(
        manager_settings(
            safety_limits=SafetyLimits(5.0, 3.0, 10.0, warm_up_time, 0.2, overload_multiple, 2.0)
        )
    )
    fleet = [
        endpoint(n, since=None if n < WARM_COUNT else 0.0)
        for n in range(WARM_COUNT + WARMING_COUNT)
    ]
    model.step(0.1, [EndpointsUpdated("kept", tuple(fleet))])
    model.step(0.1, [ProxyConnected(0, "north", 5.0, True)])
    ratios = []
    for _ in range(100):
        model.step(
            0.2, [EndpointReported("north", worker.id, 20, 0, 0.05, 0.2) for worker in fleet]
        )
        weights = {
            name: weight
            for name, weight in model.applied[0][0][1].items()
            if name not in model.ejected_by_proxy[0]
        }
        load = UTILIZATION * WARM_COUNT * weights.get(fleet[-1].id, 0.0) / sum(weights.values())
        ratios.append(load / (overload_multiple * min(0.2 + 0.8 * model.now / warm_up_time, 1.0)))
    assert 0.0 < max(ratios) <= 1.0
