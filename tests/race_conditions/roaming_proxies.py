"""Proxies that reconnect to other managers, and the workers to which they send requests."""

import json
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

import trio

from dunlinlug.standins.platform import PlatformClient
from tests.fixtures.platform_process import SETTINGS

TRAFFIC_CLASSES = tuple(entry["name"] for entry in SETTINGS["lanes"])
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
    """One connection of a proxy, and the updates received on it."""

    port: int
    opened_at: float
    ended_at: float | None = None
    update_times: list[float] = field(default_factory=list)
    ack_numbers: set[int] = field(default_factory=set)
    partial_bytes: int = 0  # of a message that was incomplete when the connection ended


class Proxy:
    """A proxy of the platform, which connects to another manager when its connection ends.

    It also does so if the first update does not arrive in time. It keeps its tables across
    connections and reports demand. Each message that it cannot use is an entry of `errors`.
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
        traffic_classes: tuple[str, ...] = TRAFFIC_CLASSES,
    ) -> None:
        self.number = number
        self.zone = zone
        self.ports = ports
        self.rng = rng
        self.traffic_classes = traffic_classes
        self.tables: dict[str, dict[str, float]] = {
            traffic_class: {} for traffic_class in traffic_classes
        }
        self.admitted_fractions = dict.fromkeys(traffic_classes, 1.0)
        self.ejected = set[str]()
        self.streams = list[Stream]()
        self.errors = list[str]()
        self.refused_at = dict[int, float]()  # by port: when it last refused a connection
        self.chosen_port = 0
        self.updated_stream: Stream | None = None  # the open connection, once an update has arrived
        self.changed = trio.Event()
        self.listeners = list[Callable[[], None]]()
        self.requests_per_second = 2.0
        self.write_lock = trio.Lock()
        self.socket_stream: trio.SocketStream | None = None

    def reset_connection(self) -> None:
        """Break the open connection, if there is one; the proxy connects again."""
        if self.socket_stream is not None:
            linger = struct.pack("ii", 1, 0)
            self.socket_stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.socket_stream.socket.close()

    def usable(self, traffic_class: str = "") -> dict[str, float]:
        """Return the workers that requests may be sent to, with their weights."""
        table = self.tables[traffic_class or self.traffic_classes[0]]
        return {
            name: weight for name, weight in table.items() if weight and name not in self.ejected
        }

    async def until(self, condition: Callable[[], Any], timeout: float = 10.0) -> None:
        """Wait for a condition, which is checked after each update and each end of a connection."""
        with trio.fail_after(timeout):
            while not condition():
                await self.changed.wait()

    def choose_port(self, last_port: int) -> int:
        """Return the port to connect to next."""
        return self.rng.choice([port for port in self.ports if port != last_port] or self.ports)

    async def run(self) -> None:
        """Connect to one manager after another until cancelled."""
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
                self.socket_stream = stream
                async with stream:
                    await self._serve(PlatformClient(stream), last_port)
            self.socket_stream = None
            self.updated_stream = None
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
            pass  # a reset ends the connection like a close
        except* json.JSONDecodeError as error:
            self.errors.append(f"cannot be decoded: {error.exceptions}")
        stream.ended_at = trio.current_time()

    async def _receive_updates(self, client: PlatformClient, stream: Stream) -> None:
        """Apply messages until the connection ends; an incomplete one has no effect."""
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
            for traffic_class in self.traffic_classes:
                await self._send(
                    client,
                    "demand",
                    lane=traffic_class,
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
                    self.errors.append(f"acknowledgement {ack_number} was requested twice")
                stream.ack_numbers.add(ack_number)
            if (
                update.keys() - UPDATE_KEYS
                or update["@type"] != "push"
                or not {*update.get("routes", ())} <= {*self.traffic_classes}
            ):
                self.errors.append(f"not an update: {update}")
            for traffic_class in update.get("routes", self.traffic_classes):
                table = {} if update.get("full") else self.tables[traffic_class]
                table.update(update.get("endpoints", ()))
                self.tables[traffic_class] = {
                    name: weight for name, weight in table.items() if weight
                }
                self.admitted_fractions[traffic_class] = update.get(
                    "admit", 1.0 if update.get("full") else self.admitted_fractions[traffic_class]
                )
            self.ejected = (self.ejected | {*update.get("eject", ())}) - {
                *update.get("restore", ())
            }
        self.updated_stream = stream
        self._notify()


class Workers:
    """Workers on loopback, which answer each request and count its effects by request number."""

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
    """Requests sent through proxies; each must get one answer and have exactly one effect."""

    def __init__(self, workers: Workers, rng: Random, timeout: float = 2.0) -> None:
        self.workers = workers
        self.rng = rng
        self.request_count = 0
        self.timeout = timeout  # seconds until a request counts as late
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
        traffic_class = self.rng.choice(proxy.traffic_classes)
        attempts = ["no endpoint"]
        answer = ""
        with trio.move_on_after(self.timeout):
            answer = await self._attempt(proxy, traffic_class, number, attempts)
        self.answers.setdefault(number, []).append(answer or f"late: {attempts[-1]}")

    async def _attempt(
        self, proxy: Proxy, traffic_class: str, number: int, attempts: list[str]
    ) -> str:
        while True:
            usable = proxy.usable(traffic_class)
            if usable:
                name = self.rng.choices([*usable], [*usable.values()])[0]
                attempts.append(name)
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", self.workers.ports[name])
                except OSError:
                    await trio.sleep(0.02)
                    continue  # the request was not sent, so it may be retried at another worker
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
        """Stop sending, and check that each request had one answer and one effect."""
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
