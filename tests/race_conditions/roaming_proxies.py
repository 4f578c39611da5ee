"""Proxies that move between several managers, and the workers that they send requests to."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

import trio

from dunlinlug.standins.platform import PlatformClient
from tests.fixtures.platform_process import SETTINGS

LANES = tuple(lane["name"] for lane in SETTINGS["lanes"])
UPDATE_KEYS = {
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
    """One connection of a proxy, and what arrived on it."""

    port: int
    opened_at: float
    update_times: list[float] = field(default_factory=list)
    ack_numbers: set[int] = field(default_factory=set)
    partial_bytes: int = 0  # of a message begun and never ended


class Proxy:
    """A proxy of the platform, which moves to another manager when its connection ends.

    It keeps its tables across connections, connects to another manager once one ends or brings
    nothing in time, and reports demand. It is strict: what it cannot use stands in `errors`.
    """

    CONNECT_TIMEOUT_S = 1.0
    FIRST_UPDATE_TIMEOUT_S = 3.0
    REPORT_INTERVAL_S = 0.2

    def __init__(
        self,
        number: int,
        zone: str,
        ports: list[int],
        rng: Random,
        lanes: tuple[str, ...] = LANES,
    ) -> None:
        self.number = number
        self.zone = zone
        self.ports = ports
        self.rng = rng
        self.lanes = lanes
        self.tables: dict[str, dict[str, float]] = {lane: {} for lane in lanes}
        self.admitted_fractions = dict.fromkeys(lanes, 1.0)
        self.ejected = set[str]()
        self.streams = list[Stream]()
        self.errors = list[str]()
        self.refused_at = dict[int, float]()  # by port, when it refused a connection last
        self.chosen_port = 0
        self.joined: Stream | None = None  # the connection that has brought an update
        self.changed = trio.Event()
        self.listeners = list[Callable[[], None]]()
        self.requests_per_second = 2.0
        self.write_lock = trio.Lock()

    def usable(self, lane: str = "") -> dict[str, float]:
        """Return the workers that may be picked, with their weights."""
        table = self.tables[lane or self.lanes[0]]
        return {
            name: weight for name, weight in table.items() if weight and name not in self.ejected
        }

    async def until(self, condition: Callable[[], Any], timeout: float = 10.0) -> None:
        """Wait for a condition that is checked after each update and each end of a connection."""
        with trio.fail_after(timeout):
            while not condition():
                await self.changed.wait()

    def choose_port(self, last_port: int) -> int:
        """Return the port to connect to next."""
        return self.rng.choice([port for port in self.ports if port != last_port] or self.ports)

    async def run(self) -> None:
        """Be served by one manager after the other until cancelled."""
        last_port = 0
        while True:
            last_port = self.chosen_port = self.choose_port(last_port)
            stream: trio.SocketStream | None = None
            with trio.move_on_after(self.CONNECT_TIMEOUT_S):
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", last_port)
                except OSError:
                    self.refused_at[last_port] = trio.current_time()
                    await trio.sleep(0.02)
            if stream is not None:
                async with stream:
                    await self._serve(PlatformClient(stream), last_port)
            self.joined = None
            self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
        self.changed.set()
        self.changed = trio.Event()

    async def _serve(self, client: PlatformClient, port: int) -> None:
        stream = Stream(port, trio.current_time())
        self.streams.append(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report, client)
                await self._receive_updates(client, stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # a reset is an end as any other
        except* json.JSONDecodeError as error:
            self.errors.append(f"cannot be decoded: {error.exceptions}")

    async def _receive_updates(self, client: PlatformClient, stream: Stream) -> None:
        """Apply messages up to the connection's end; an incomplete one has no effect."""
        updates = list[dict[str, Any]]()
        await self._send(
            client,
            "hello",
            site=self.zone,
            rps=self.requests_per_second,
            new=not any(self.tables.values()),
        )
        while True:
            received: dict[str, Any] | None = None
            with trio.move_on_after(inf if stream.update_times else self.FIRST_UPDATE_TIMEOUT_S):
                received = await client.receive()
            if received is None:
                stream.partial_bytes = len(client.buffer) + len(updates)
                return
            updates.append(received)
            if not received.get("continued"):
                self._apply(stream, updates)
                for ack_number in [
                    update["nonce_out"] for update in updates if "nonce_out" in update
                ]:
                    await self._send(client, "ack", seq=ack_number, ms=1.0)
                updates = []

    async def _report(self, client: PlatformClient) -> None:
        while True:
            await trio.sleep(self.REPORT_INTERVAL_S)
            for lane in self.lanes:
                await self._send(
                    client,
                    "demand",
                    lane=lane,
                    count=round(self.requests_per_second),
                    fail=0,
                    over=1000.0 * self.REPORT_INTERVAL_S,
                )

    async def _send(self, client: PlatformClient, kind: str, **message: Any) -> None:
        async with self.write_lock:
            await client.send(message_type=kind, id=self.number, **message)

    def _apply(self, stream: Stream, updates: list[dict[str, Any]]) -> None:
        stream.update_times.append(trio.current_time())
        for update in updates:
            for ack_number in [update["nonce_out"]] if "nonce_out" in update else []:
                if ack_number in stream.ack_numbers:
                    self.errors.append(f"acknowledgement {ack_number} is requested twice")
                stream.ack_numbers.add(ack_number)
            if (
                update.keys() - UPDATE_KEYS
                or update["@type"] != "push"
                or not {*update.get("routes", ())} <= {*self.lanes}
            ):
                self.errors.append(f"not an update: {update}")
            for lane in update.get("routes", self.lanes):
                table = {} if update.get("full") else self.tables[lane]
                table.update(update.get("endpoints", ()))
                self.tables[lane] = {name: weight for name, weight in table.items() if weight}
                self.admitted_fractions[lane] = update.get(
                    "admit", 1.0 if update.get("full") else self.admitted_fractions[lane]
                )
            self.ejected = (self.ejected | {*update.get("eject", ())}) - {
                *update.get("restore", ())
            }
        self.joined = stream
        self._notify()


class Workers:
    """Workers on loopback, which count the effects of requests by number and answer each."""

    def __init__(self) -> None:
        self.effects = Counter[int]()
        self.ports = dict[str, int]()

    async def open(self, nursery: trio.Nursery, *names: str) -> None:
        for name in names:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.ports[name] = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, self._answer, listeners)

    async def _answer(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                request = await stream.receive_some()
                if request:
                    self.effects[int(request)] += 1
                    await stream.send_all(b"done")
            except trio.BrokenResourceError:
                return


class Requests:
    """Requests at proxies; each is to get one answer, and to have its effect at most once."""

    def __init__(self, workers: Workers, rng: Random, timeout: float = 2.0) -> None:
        self.workers = workers
        self.rng = rng
        self.request_count = 0
        self.timeout = timeout  # seconds for an answer
        self.answers: dict[int, list[str]] = {}
        self.finishing = False

    async def send_to(self, proxy: Proxy, per_second: float) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(per_second))
                if self.finishing:
                    return
                nursery.start_soon(self._send_one, proxy)

    async def _send_one(self, proxy: Proxy) -> None:
        number = self.request_count
        self.request_count += 1
        lane = self.rng.choice(proxy.lanes)
        attempts = ["no endpoint"]
        answer = ""
        with trio.move_on_after(self.timeout):
            answer = await self._attempt(proxy, lane, number, attempts)
        self.answers.setdefault(number, []).append(answer or f"late: {attempts[-1]}")

    async def _attempt(self, proxy: Proxy, lane: str, number: int, attempts: list[str]) -> str:
        while True:
            usable = proxy.usable(lane)
            if usable:
                name = self.rng.choices([*usable], [*usable.values()])[0]
                attempts.append(name)
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", self.workers.ports[name])
                except OSError:
                    await trio.sleep(0.02)
                    continue  # it was not sent, so another worker may be picked
                async with stream:
                    await stream.send_all(b"%d" % number)
                    return (await stream.receive_some()).decode() or "failed"
            attempts.append("no endpoint")
            await proxy.changed.wait()

    async def until_answered(self, count: int) -> None:
        with trio.fail_after(8.0):
            while len(self.answers) < count:
                await trio.sleep(0.005)

    async def finish(self) -> None:
        """Send no more, and check that each request had one answer and one effect."""
        self.finishing = True
        with trio.fail_after(self.timeout + 3.0):
            while len(self.answers) < self.request_count:
                await trio.sleep(0.01)
        assert self.request_count == len(self.answers) > 0
        failed = [answers for answers in self.answers.values() if answers != ["done"]]
        assert not failed, failed
        assert (
            set(self.workers.effects.values()) == {1}
            and self.workers.effects.keys() == self.answers.keys()
        )
