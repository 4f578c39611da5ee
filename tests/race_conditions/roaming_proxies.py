"""Proxies that roam over several managers, as the platform's do, and the workers that they send requests to."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

import trio

from dunlinlug.standins.platform import PlatformClient
from tests.platform.test_process import SETTINGS

LANES = tuple(lane["name"] for lane in SETTINGS["lanes"])
PUSH = {
    "@type",
    "routes",
    "full",
    "endpoints",
    "admit",
    "policy",
    "eject",
    "restore",
    "nonce_out",
    "continued",
}


@dataclass
class Stream:
    """One joining of a proxy, and what came on it."""

    port: int
    at: float
    order_times: list[float] = field(default_factory=list)
    marks: set[int] = field(default_factory=set)
    bytes_after: int = 0  # of an order begun and never ended


class Proxy:
    """A proxy as the platform has them: it holds what it was ordered across its streams, dials another manager once a
    stream ends or brings nothing in time, reports usage, and is strict: what it can't use stands in `faults`."""

    DIAL, FIRST = 1.0, 3.0  # seconds for a connection, and to a stream's first order
    USAGE = 0.2  # seconds between reports of usage

    def __init__(
        self,
        number: int,
        zone: str,
        ports: list[int],
        chance: Random,
        lanes: tuple[str, ...] = LANES,
    ) -> None:
        self.number, self.zone, self.ports, self.chance, self.lanes = (
            number,
            zone,
            ports,
            chance,
            lanes,
        )
        self.tables: dict[str, dict[str, float]] = {lane: {} for lane in lanes}
        self.admits, self.shut = dict.fromkeys(lanes, 1.0), set[str]()
        self.streams, self.faults = list[Stream](), list[str]()
        self.refused = dict[int, float]()  # by port, when it refused our dial last
        self.dialled = 0  # the port
        self.joined: Stream | None = None  # the stream that stands and has brought an order
        self.changed, self.heard = trio.Event(), list[Callable[[], None]]()
        self.rps, self.writing = 2.0, trio.Lock()

    def usable(self, lane: str = "") -> dict[str, float]:
        """Who may be picked, with weights."""
        table = self.tables[lane or self.lanes[0]]
        return {name: weight for name, weight in table.items() if weight and name not in self.shut}

    async def until(self, seen: Callable[[], Any], within: float = 10.0) -> None:
        """`seen` is looked at after each order and each end of a stream."""
        with trio.fail_after(within):
            while not seen():
                await self.changed.wait()

    def choose(self, last: int) -> int:
        """The port to dial next."""
        return self.chance.choice([port for port in self.ports if port != last] or self.ports)

    async def run(self) -> None:
        """Until cancelled."""
        last = 0
        while True:
            last = self.dialled = self.choose(last)
            stream: trio.SocketStream | None = None
            with trio.move_on_after(self.DIAL):
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", last)
                except OSError:
                    self.refused[last] = trio.current_time()
                    await trio.sleep(0.02)
            if stream is not None:
                async with stream:
                    await self._serve(PlatformClient(stream), last)
            self.joined = None
            self._tell()

    def _tell(self) -> None:
        for heard in self.heard:
            heard()
        self.changed.set()
        self.changed = trio.Event()

    async def _serve(self, client: PlatformClient, port: int) -> None:
        self.streams.append(stream := Stream(port, trio.current_time()))
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report, client)
                await self._follow(client, stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # reset: as good as an end
        except* json.JSONDecodeError as fault:
            self.faults.append(f"can't be read: {fault.exceptions}")

    async def _follow(self, client: PlatformClient, stream: Stream) -> None:
        """Orders up to the stream's end. What is begun and not ended has no effect."""
        parts = list[dict[str, Any]]()
        await self._say(
            client, "hello", site=self.zone, rps=self.rps, new=not any(self.tables.values())
        )
        while True:
            order: dict[str, Any] | None = None
            with trio.move_on_after(inf if stream.order_times else self.FIRST):
                order = await client.receive()
            if order is None:
                stream.bytes_after = len(client.buffer) + len(parts)
                return
            parts.append(order)
            if not order.get("continued"):
                self._take(stream, parts)
                for mark in [part["nonce_out"] for part in parts if "nonce_out" in part]:
                    await self._say(client, "ack", seq=mark, ms=1.0)
                parts = []

    async def _report(self, client: PlatformClient) -> None:
        while True:
            await trio.sleep(self.USAGE)
            for lane in self.lanes:
                await self._say(
                    client,
                    "demand",
                    lane=lane,
                    count=round(self.rps),
                    fail=0,
                    over=1000.0 * self.USAGE,
                )

    async def _say(self, client: PlatformClient, kind: str, **message: Any) -> None:
        async with self.writing:
            await client.send(message_type=kind, id=self.number, **message)

    def _take(self, stream: Stream, parts: list[dict[str, Any]]) -> None:
        stream.order_times.append(trio.current_time())
        for part in parts:
            for mark in [part["nonce_out"]] if "nonce_out" in part else []:
                if mark in stream.marks:
                    self.faults.append(f"mark {mark} is asked twice")
                stream.marks.add(mark)
            if (
                part.keys() - PUSH
                or part["@type"] != "push"
                or not {*part.get("routes", ())} <= {*self.lanes}
            ):
                self.faults.append(f"not an order: {part}")
            for lane in part.get("routes", self.lanes):
                table = {} if part.get("full") else self.tables[lane]
                table.update(part.get("endpoints", ()))
                self.tables[lane] = {name: weight for name, weight in table.items() if weight}
                self.admits[lane] = part.get(
                    "admit", 1.0 if part.get("full") else self.admits[lane]
                )
            self.shut = (self.shut | {*part.get("eject", ())}) - {*part.get("restore", ())}
        self.joined = stream
        self._tell()


class Workers:
    """Workers on loopback: a request's number on a line is its effect, a line is its answer."""

    def __init__(self) -> None:
        self.effects, self.ports = Counter[int](), dict[str, int]()

    async def open(self, nursery: trio.Nursery, *names: str) -> None:
        for name in names:
            doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.ports[name] = doors[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, self._answer, doors)

    async def _answer(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                if asked := await stream.receive_some():
                    self.effects[int(asked)] += 1
                    await stream.send_all(b"done")
            except trio.BrokenResourceError:
                return


class Requests:
    """Requests that reach proxies; each is to get one final answer, and to have its effect once at most."""

    def __init__(self, workers: Workers, chance: Random, within: float = 2.0) -> None:
        self.workers, self.chance, self.asked = workers, chance, 0
        self.within = within  # seconds for an answer
        self.answers: dict[int, list[str]] = {}
        self.over = False

    async def at(self, proxy: Proxy, per_second: float) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.chance.expovariate(per_second))
                if self.over:
                    return
                nursery.start_soon(self._ask, proxy)

    async def _ask(self, proxy: Proxy) -> None:
        self.asked, number = self.asked + 1, self.asked
        lane, went = self.chance.choice(proxy.lanes), ["nobody to pick"]
        answer = ""
        with trio.move_on_after(self.within):
            answer = await self._answer(proxy, lane, number, went)
        self.answers.setdefault(number, []).append(answer or f"late: {went[-1]}")

    async def _answer(self, proxy: Proxy, lane: str, number: int, went: list[str]) -> str:
        while True:
            if usable := proxy.usable(lane):
                name = self.chance.choices([*usable], [*usable.values()])[0]
                went.append(name)
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", self.workers.ports[name])
                except OSError:
                    await trio.sleep(0.02)
                    continue  # it was not sent: another may be picked
                async with stream:
                    await stream.send_all(b"%d" % number)
                    return (await stream.receive_some()).decode() or "failed"
            went.append("nobody to pick")
            await proxy.changed.wait()

    async def until_answered(self, count: int) -> None:
        with trio.fail_after(8.0):
            while len(self.answers) < count:
                await trio.sleep(0.005)

    async def finish(self) -> None:
        """No more are made; checks that each had its one answer and its one effect."""
        self.over = True
        with trio.fail_after(self.within + 3.0):
            while len(self.answers) < self.asked:
                await trio.sleep(0.01)
        assert self.asked == len(self.answers) > 0
        other = [said for said in self.answers.values() if said != ["done"]]
        assert not other, other
        assert (
            set(self.workers.effects.values()) == {1}
            and self.workers.effects.keys() == self.answers.keys()
        )
