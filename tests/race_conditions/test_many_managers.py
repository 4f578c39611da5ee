"""Twenty manager processes that start at once before cold workers, in a storm of repeats; a third of them is killed
and started again, another third drained and started again as the storm is back. What all of them together give a cold
worker is held against what it bears by the settings."""

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
from tests.platform.test_process import SETTINGS, ZONES, instance
from tests.race_conditions.processes import Managers, Source, known, managers, settings
from tests.race_conditions.roaming_proxies import LANES, Proxy, Requests, Workers

MANAGERS, PROXIES, WARM, COLD, LATER = 20, 40, 12, 8, 4
BUSY = 0.95  # of what the warm bear, asked of all workers in calm
TRIES = 3.0  # times that in a storm
VOIDED = 0.5  # part of all tries in a storm
RULES = {
    **SETTINGS["rules"],
    "coldUs": 60_000_000,
    "startCapacity": 0.2,
    "tipMultiple": 1.5,
    "fallUs": 2_000_000,
}


def told() -> dict[str, Any]:
    made = settings(proxyCount=PROXIES, messagesMost=0, egressPerS=20000.0, pendingMax=40000.0)
    lanes = [{**lane, "aimUs": 300_000, "hardLimitUs": 500_000} for lane in made["lanes"]]
    return {**made, "rules": RULES, "lanes": lanes}


class Given:
    """What all tables together give each worker; a warm one bears 1, of whom WARM together are asked BUSY in calm."""

    def __init__(self) -> None:
        self.parts: dict[int, dict[str, float]] = {}  # by proxy
        self.sums: dict[str, float] = {}
        self.started: dict[str, float] = {}  # of cold workers, in Unix seconds
        self.tries, self.over = (
            1.0,
            dict[str, float](),
        )  # the latter: since when one is given more than it bears
        self.worst = self.longest = 0.0
        self.told: dict[
            str, tuple[float, bytes]
        ] = {}  # by zone, the last reports and when they were made

    def ordered(self, proxy: Proxy) -> None:
        """An order of its was taken."""
        each, mine = WARM * BUSY / PROXIES / len(LANES), dict[str, float]()
        for lane in LANES:
            usable = proxy.usable(lane)
            for name, weight in usable.items():
                mine[name] = mine.get(name, 0.0) + each * proxy.admits[lane] * weight / sum(
                    usable.values()
                )
        former, self.parts[proxy.number] = self.parts.get(proxy.number, {}), mine
        for name in {**former, **mine}:
            self.sums[name] = self.sums.get(name, 0.0) - former.get(name, 0.0) + mine.get(name, 0.0)
        self.look()

    def cold(self) -> dict[str, float]:
        return {
            name: max(round(self.sums.get(name, 0.0), 9), 0.0) for name in self.started
        }  # but for sums' rounding

    def look(self) -> None:
        now, least = time.time(), RULES["startCapacity"]
        for name, sent in self.cold().items():
            age = (now - self.started[name]) * 1e6 / RULES["coldUs"]
            bears = RULES["tipMultiple"] * min(least + (1.0 - least) * max(age, 0.0), 1.0)
            part = self.tries * sent / bears
            self.worst = max(self.worst, part)
            if part > 1.0:
                self.longest = max(self.longest, now - self.over.setdefault(name, now))
            else:
                self.over.pop(name, None)

    def anew(self) -> None:
        self.worst = self.longest = 0.0
        self.over.clear()
        self.look()

    def reports(self, zone: str, names: Iterable[str]) -> bytes:
        """What the proxies of a zone met of late, as its collectors tell it, made anew each tenth of a second."""
        at, made = self.told.get(zone, (-1.0, b""))
        if time.time() - at > 0.1:
            made = self._reports(zone, names)
            self.told[zone] = time.time(), made
        return made

    def _reports(self, zone: str, names: Iterable[str]) -> bytes:
        lines = [{"@type": "agent", "site": zone}]
        for name in names:
            count = round(40 * self.tries * self.sums.get(name, 0.0))
            lines.append(
                {
                    "@type": "outcomes",
                    "site": zone,
                    "target": name,
                    "count": count,
                    "mean": 20.0,
                    "fail": round(count * VOIDED) if self.tries > 1.0 else 0,
                    "over": 250.0,
                }
            )
        return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


class Fleet:
    def __init__(self, made: Managers, nursery: trio.Nursery, source: Source) -> None:
        self.made, self.nursery, self.source, self.chance = made, nursery, source, Random(17)
        self.given, self.workers = Given(), Workers()
        # Danger: twenty processes beside this one take its core for seconds where others are at work too.
        self.requests = Requests(self.workers, self.chance, within=10.0)
        self.proxies = [Roaming(n, self) for n in range(PROXIES)]

    def fresh(self, numbers: Iterable[int]) -> list[dict[str, Any]]:
        """Workers that start now."""
        now = time.time()
        self.given.started.update({f"s-{n}": now for n in numbers})
        return [instance(n, startedAtMs=round(now * 1000)) for n in numbers]

    def joined(self) -> dict[int, int]:
        """How many proxies have a table of each manager, by its number."""
        ports = [proxy.joined.port for proxy in self.proxies if proxy.joined]
        return {n: ports.count(port) for n, port in enumerate(self.made.ports)}

    def all_let_in(self) -> bool:
        """Every proxy is joined and may use every cold worker."""
        return all(
            proxy.joined and proxy.usable().keys() >= self.given.started.keys()
            for proxy in self.proxies
        )

    async def collect(self, port: int, zone: str) -> None:
        """A zone's collector at one manager, for good."""
        while True:
            try:
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    while True:
                        await stream.send_all(self.given.reports(zone, self.source.instances))
                        await trio.sleep(0.25)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)

    async def until(self, seen: Any, within: float = 30.0) -> None:
        """The sums are looked at all the while."""
        with trio.fail_after(within):
            while not seen():
                await self.last(0.02)

    async def last(self, seconds: float) -> None:
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            self.given.look()
            await trio.sleep(0.02)


class Roaming(Proxy):
    """It dials the manager with the fewest proxies, of those that did not refuse it of late."""

    USAGE, REFUSED = 1.0, 1.0

    def __init__(self, number: int, fleet: Fleet) -> None:
        super().__init__(number, ZONES[number % 2], fleet.made.ports, fleet.chance)
        self.fleet = fleet
        self.heard.append(lambda: fleet.given.ordered(self))

    def choose(self, last: int) -> int:
        since = trio.current_time() - self.REFUSED
        ports = [
            port for port in self.ports if port != last and self.refused.get(port, 0.0) < since
        ]
        dialled = Counter(proxy.dialled for proxy in self.fleet.proxies)
        return min(ports or self.ports, key=lambda port: (dialled[port], self.chance.random()))


async def test_no_cold_worker_is_pushed_over_by_what_all_managers_together_give_it(
    tmp_path: Path,
) -> None:
    source = Source(*map(instance, range(WARM)))
    async with managers(
        tmp_path,
        source.agent.serve,
        MANAGERS,
        wait=False,
        settings=told(),
        known=known(*map(instance, range(WARM))),
    ) as (made, nursery):
        fleet = Fleet(made, nursery, source)
        given, thirds = fleet.given, [range(n, MANAGERS, 3) for n in range(3)]
        given.tries = TRIES
        source.tell(*fleet.fresh(range(WARM, WARM + COLD)))
        await fleet.workers.open(nursery, *(f"s-{n}" for n in range(WARM + COLD + LATER)))
        for proxy in fleet.proxies:
            nursery.start_soon(proxy.run)
        await fleet.until(lambda: sum(fleet.joined().values()) == PROXIES)
        assert given.worst == 0.0, "in a storm from the start, of which no manager has word yet"
        for port in made.ports:
            for zone in ZONES:
                nursery.start_soon(fleet.collect, port, zone)
        for proxy in fleet.proxies:
            nursery.start_soon(fleet.requests.at, proxy, 2.0)
        await fleet.last(1.0)
        assert given.worst == 0.0, "with word of it"

        given.tries = 1.0
        given.anew()
        await fleet.until(fleet.all_let_in)
        for n in thirds[0]:
            await made.kill(n)
            await made.start(n)
        source.tell(*fleet.fresh(range(WARM + COLD, WARM + COLD + LATER)))
        await made.until_alive(*thirds[0])
        await fleet.until(fleet.all_let_in)
        assert 0.0 < given.worst <= 1.0, "in calm, with a third killed"

        given.tries = TRIES
        given.anew()
        for n in thirds[1]:
            made.running[n].process.send_signal(signal.SIGTERM)
        for n in thirds[1]:
            assert await made.running[n].process.wait() == 0
            await made.start(n)
        await fleet.until(
            lambda: max(given.cold().values()) == 0.0 and sum(fleet.joined().values()) == PROXIES
        )
        assert given.longest * 1e6 < RULES["fallUs"], "until word of the storm is there"
        assert all(fleet.joined()[n] for n in thirds[0]), "who was killed and started serves again"
        given.anew()
        await made.until_alive(*thirds[1])
        for n in thirds[2]:
            await made.kill(n)
        await fleet.until(lambda: sum(fleet.joined().values()) == PROXIES)
        assert all(fleet.joined()[n] for n in thirds[1]), "who was drained and started serves again"
        assert given.worst == 0.0, "in the storm, by those that started in it too"
        await fleet.requests.finish()
        assert not any(proxy.faults for proxy in fleet.proxies)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("cold", "multiple"), [(16.0, 3.0), (60.0, 1.5), (120.0, 1.5)])
def test_a_ramp_gives_no_more_than_a_cold_worker_bears_by_the_settings(
    cold: float, multiple: float
) -> None:
    """In calm, by one manager for all proxies. Danger: a ramp of fixed steps reaches the whole share in 15 s, however
    long workers stay cold and however little they bear meanwhile."""
    model = Model(
        manager_settings(safety_limits=SafetyLimits(5.0, 3.0, 10.0, cold, 0.2, multiple, 2.0))
    )
    fleet = [endpoint(n, since=None if n < WARM else 0.0) for n in range(WARM + COLD)]
    model.step(0.1, [EndpointsUpdated("kept", tuple(fleet))])
    model.step(0.1, [ProxyConnected(0, "north", 5.0, True)])
    parts = []
    for _ in range(100):
        model.step(0.2, [EndpointReported("north", one.id, 20, 0, 0.05, 0.2) for one in fleet])
        lines = {
            name: weight
            for name, weight in model.applied[0][0][1].items()
            if name not in model.ejected_by_proxy[0]
        }
        given = BUSY * WARM * lines.get(fleet[-1].id, 0.0) / sum(lines.values())
        parts.append(given / (multiple * min(0.2 + 0.8 * model.now / cold, 1.0)))
    assert 0.0 < max(parts) <= 1.0
