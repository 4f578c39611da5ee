"""A manager killed (SIGKILL) at a very point of its first dealings with a proxy. It kills itself there, by a hook that
is loaded into the process, as no signal from outside would meet the point. Its proxies find another manager."""

from pathlib import Path
from random import Random

import pytest
import trio

from tests.platform.test_process import ZONES, instance
from tests.race_conditions.processes import Managers, Source, known, managers, settings
from tests.race_conditions.roaming_proxies import LANES, Proxy, Requests, Workers

HOOK = """
import os, signal, socket

def die():
    os.unlink(ARMED)
    os.kill(os.getpid(), signal.SIGKILL)

class Watched(socket.socket):
    def recv(self, *args):
        data = super().recv(*args)
        if POINT == "a joining read" and b'"hello"' in data and os.path.exists(ARMED):
            die()
        return data

    def send(self, data, *args):
        if POINT == "half an order written" and b'"push"' in data and os.path.exists(ARMED):
            super().send(data[:len(data) // 2], *args)
            die()
        count = super().send(data, *args)
        if POINT == "an order written" and b'"push"' in data and os.path.exists(ARMED):
            die()
        return count

accept = socket.socket.accept

def watched(self):
    taken, place = accept(self)
    if POINT == "accepted" and os.path.exists(ARMED):
        die()
    return Watched(fileno=taken.detach()), place

socket.socket.accept = watched
"""


class Stage:
    """Three managers with a proxy each to begin with, requests at the proxies, and the first manager to be killed."""

    def __init__(self, made: Managers, nursery: trio.Nursery, source: Source, armed: Path) -> None:
        self.made, self.nursery, self.source, self.armed = made, nursery, source, armed
        self.workers, self.chance = Workers(), Random(11)
        self.requests = Requests(self.workers, self.chance)
        self.proxies = [Proxy(n, ZONES[n % 2], [*made.ports], self.chance) for n in range(9)]

    async def begin(self) -> None:
        """All proxies dial the other two."""
        await self.workers.open(self.nursery, *(f"s-{n}" for n in range(8)))
        for n, proxy in enumerate(self.proxies):
            proxy.ports = [self.made.ports[1 + n % 2]]
            self.nursery.start_soon(proxy.run)
        for proxy in self.proxies:
            await proxy.until(proxy.usable)
            self.nursery.start_soon(self.requests.at, proxy, 30.0)

    async def settled(self, *names: str) -> None:
        """Every proxy is joined to a manager that runs, and may use these workers and nobody else, for all lanes."""
        runs = {
            port
            for n, port in enumerate(self.made.ports)
            if self.made.running[n].process.poll() is None
        }
        for proxy in self.proxies:
            await proxy.until(
                lambda proxy=proxy: (
                    proxy.joined
                    and proxy.joined.port in runs
                    and all(proxy.usable(lane).keys() == {*names} for lane in LANES)
                )
            )


@pytest.mark.parametrize(
    "point", ["accepted", "a joining read", "half an order written", "an order written"]
)
async def test_a_manager_killed_at_its_first_dealings_loses_nothing(
    tmp_path: Path, point: str
) -> None:
    """What changes meanwhile is told to the others alone: who went, who was let in, who was shut out and is back."""
    source, armed, hook = Source(*map(instance, range(6))), tmp_path / "armed", tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(f"ARMED, POINT = {str(armed)!r}, {point!r}\n{HOOK}")
    async with managers(
        tmp_path,
        source.agent.serve,
        3,
        known=known(*map(instance, range(6))),
        settings=settings(messagesMost=0),
    ) as (made, nursery):
        stage = Stage(made, nursery, source, armed)
        await made.kill(0)
        await made.start(0, PYTHONPATH=str(hook))
        await made.until_alive(0)
        await stage.begin()
        armed.touch()
        for proxy in stage.proxies:
            proxy.ports = [made.ports[0]]
        await made.kill(1)  # its proxies dial the first manager alone, as many at once
        with trio.fail_after(10):
            await made.running[0].process.wait()
        assert not armed.exists() and not any(proxy.faults for proxy in stage.proxies)
        taken = sum(
            len(stream.order_times)
            for proxy in stage.proxies
            for stream in proxy.streams
            if stream.port == made.ports[0]
        )
        assert taken <= (point == "an order written"), "it died before its first answer"
        source.tell(instance(0, lifecycle="gone"), instance(1, lifecycle="draining"), instance(6))
        for proxy in stage.proxies:
            proxy.ports = [*made.ports]
        await stage.settled("s-2", "s-3", "s-4", "s-5", "s-6")
        await made.start(0)
        await made.start(1)
        await made.until_alive(0, 1)
        await made.kill(2)  # which alone had shut s-1 out: the others never had it in a table
        await stage.settled("s-2", "s-3", "s-4", "s-5", "s-6")
        assert any("s-1" in proxy.shut for proxy in stage.proxies)
        source.tell(instance(1), instance(7))
        await stage.settled(*(f"s-{n}" for n in range(1, 8)))
        await stage.requests.finish()
        assert not any(proxy.faults for proxy in stage.proxies)
        nursery.cancel_scope.cancel()
