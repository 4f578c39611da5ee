"""Managers of the xDS front as processes, with service discovery and proxies as their other side.

The proxies use the project's own client library and count requests as if workers had answered
them. Every address is on loopback.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import ClassVar

import trio

from dunlinlug.client import ProxyState, ReportAccumulator, TableSubscriber
from dunlinlug.decision.events import Endpoint
from dunlinlug.discovery import entries
from dunlinlug.net import http

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PRODUCT = "ticket-read"
ATTEMPT_INTERVAL_S = 0.05
GIVEN_UP_AFTER_S = 1.0  # a request; its deadline is 2 s
SETTINGS = """
[manager]
listen = 127.0.0.1:{listen}
store = {folder}/store
zone = north
seed = 1
log = json

[channel]
lines_per_s = 1200/s
message_lines = 4
waiting_most = 2000
transit = 20ms
transit_most = 300ms
messages_most = 30

[duties]
bare = 4.7s
drain_grace = 3s
warm_after = 18s
cold_share = 20%
fall_multiple = 3
fall_after = 2s

[roster]
address = 127.0.0.1:{roster}
service = order-nodes
wait = 2s

[reports]
cycle = 500ms
lines_per_s = 80/s
fields = queue, service_s

[product ticket-read]
sla = 800ms
deadline = 2s
revenue = 1
repeats = idempotent
"""


class CouldNotRunError(Exception):
    """The managers or the proxies did not start."""


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """The file `record.txt`: one JSON object a line, with seconds since the case began."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one event."""
        at = round(time.monotonic() - self.began, 3)
        self.file.write(json.dumps({"t": at, "event": event, **fields}) + "\n")


class ManagerProcess:
    """One manager, started by `dunlinlug manager FILE`."""

    started: ClassVar[list["ManagerProcess"]] = []

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = name
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, settings: str) -> None:
        """Write the settings and start the process, which ends with this one at the latest."""
        self.started.append(self)
        signal.signal(signal.SIGTERM, self._end_all)
        path = self.folder / f"{self.name}.ini"
        path.write_text(settings, encoding="utf-8")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dunlinlug", "manager", str(path)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    @classmethod
    def _end_all(cls, *_: object) -> None:
        """End all managers and this process, as somebody ends the case."""
        for manager in cls.started:
            manager.end()
        os._exit(2)

    def status(self) -> int | None:
        """Return its exit status; None while it runs."""
        assert self.process is not None
        return self.process.poll()

    def end(self) -> None:
        """End the process by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what it logged."""
        return self.log.read_text(encoding="utf-8", errors="replace").splitlines()


class Roster:
    """Service discovery with one list that does not change."""

    def __init__(self, workers: tuple[Endpoint, ...]) -> None:
        self.body = entries.encode_workers(workers)

    async def answer(self, request: http.Request) -> http.Response:
        """Answer a query, which waits if it names the version that there is."""
        if request.query.get("index"):
            await trio.sleep(float(request.query["wait"].removesuffix("ms")) / 1000)
        return http.Response(200, {"x-consul-index": "10"}, self.body)


class CountingProxy:
    """A proxy that follows the managers and counts requests by its tables.

    `succeeds` tells whether a worker answers a request now.
    """

    def __init__(self, name: str, ports: list[int], succeeds: Callable[[str], bool]) -> None:
        self.name = name
        self.succeeds = succeeds
        self.state = ProxyState()
        self.accumulator = ReportAccumulator(name, "north", trio.current_time())
        self.subscriber = TableSubscriber(
            name,
            "north",
            [(HOST, port) for port in ports],
            self.state,
            self.accumulator,
            request_rate=20.0,
        )
        self.rng = Random(name)

    def usable(self) -> set[str]:
        """Return the workers that it can pick."""
        return set(self.state.usable_weights(PRODUCT))

    async def run(self) -> None:
        """Follow the managers and count requests, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.subscriber.run)
            while True:
                await trio.sleep(ATTEMPT_INTERVAL_S)
                workers = sorted(self.usable())
                if not workers:
                    continue
                nursery.start_soon(self._request, self.rng.choice(workers))

    async def _request(self, worker: str) -> None:
        """Count one request as it ends: answered, or given up."""
        answered = self.succeeds(worker)
        latency = self.rng.uniform(0.08, 0.12) if answered else GIVEN_UP_AFTER_S
        await trio.sleep(latency)
        self.accumulator.record_attempt(worker, answered, latency, {})
        self.accumulator.record_request(PRODUCT, not answered)


async def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition holds; raises CouldNotRunError after so many seconds."""
    with trio.move_on_after(seconds):
        while not condition():
            await trio.sleep(0.05)
    if not condition():
        raise CouldNotRunError(what)
