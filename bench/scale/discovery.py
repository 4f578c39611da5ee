"""Simulated service discovery: lists thousands of workers and changes some of them on command.

It answers the blocking queries of the endpoint list; the body of each version is encoded once. The
role of a client follows from the service in its query: real managers query `actual`, simulated
members query `hollow`, names of equal length.
"""

import json
import sys
import time
from collections.abc import Mapping
from dataclasses import asdict, replace
from random import Random
from typing import Any

import trio
import xxhash

from bench.scale import part
from bench.scale.accounting import Meter
from bench.scale.hollow import LIST_DIGEST_HEADER
from dunlinlug.decision.events import Endpoint
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import INDEX_HEADER
from dunlinlug.fleet.membership.list_digests import bucket_fingerprints
from dunlinlug.net import http

FIRST_INDEX = 100
ZONES = ("north", "south", "east", "west", "centre")


def create_workers(count: int) -> dict[str, Endpoint]:
    """Return this many workers by id, at addresses that are never connected to."""
    workers = [
        Endpoint(
            f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:8080",
            ZONES[n % len(ZONES)],
            "plain",
            0,
            "ready",
            1.0,
            None,
        )
        for n in range(count)
    ]
    return {worker.id: worker for worker in workers}


def churned(workers: dict[str, Endpoint], size: int, rng: Random) -> list[Endpoint]:
    """Return `size` workers drawn by `rng`, each turned from ready to draining or back."""
    drawn = rng.sample(sorted(workers), min(size, len(workers)))
    return [
        replace(workers[name], state="draining" if workers[name].state == "ready" else "ready")
        for name in drawn
    ]


class Discovery:
    """The endpoint list with its versions, and the answers to queries and commands."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        self.meter = Meter()
        self.rng = Random(f"{settings['seed']} workers")
        self.workers = create_workers(settings["workers"])
        self.index = FIRST_INDEX
        self.changed = trio.Event()
        self.changes: dict[int, float] = {}
        self.states: dict[int, dict[str, str]] = {FIRST_INDEX: {}}  # changed workers by version
        self.waiting = 0
        self._write()

    def _write(self) -> None:
        self.body = entries.encode_workers(self.workers.values())
        self.digest = json.dumps([len(self.workers), bucket_fingerprints(self.workers)])
        self.changes[self.index] = time.monotonic()

    async def answer(self, request: http.Request) -> http.Response:
        """Answer a query; one that has the current version waits for a change or its timeout."""
        role = request.path.rpartition("/")[2]
        self.meter.add(
            f"list {role}",
            "in",
            len(request.path)
            + sum(len(name) + len(value) + 2 for name, value in request.query.items()),
        )
        if int(request.query.get("index", "0")) == self.index:
            self.waiting += 1
            with trio.move_on_after(
                int(request.query.get("wait", "1000ms").removesuffix("ms")) / 1000
            ):
                await self.changed.wait()
            self.waiting -= 1
        self.meter.add(f"list {role}", "out", len(self.body))
        return http.Response(
            200, {INDEX_HEADER: str(self.index), LIST_DIGEST_HEADER: self.digest}, self.body
        )

    async def handle_command(self, command: part.Command) -> dict[str, Any]:
        """Execute one command of the run and return its answer."""
        match command["do"]:
            case "churn":
                changed = churned(self.workers, command["value"], self.rng)
                self.workers.update({worker.id: worker for worker in changed})
                self.index += 1
                self.states[self.index] = {worker.id: worker.state for worker in changed}
                self._write()
                self.changed.set()
                self.changed = trio.Event()
            case "record":
                return {"did": "record", "states": self.states, "workers": sorted(self.workers)}
            case "final":
                return {
                    "did": "final",
                    "index": self.index,
                    "changes": self.changes,
                    "digests": [
                        xxhash.xxh64_hexdigest(self.body),
                        json.dumps(bucket_fingerprints(self.workers)),
                    ],
                    "ready": sum(worker.state == "ready" for worker in self.workers.values()),
                }
            case "report":
                return {
                    "did": "report",
                    "at": time.monotonic(),
                    "reading": asdict(part.process_reading(self.meter)),
                    "members": 1,
                    "queues": {"waiting": self.waiting},
                }
        return {"did": command["do"]}


async def main(settings: Mapping[str, Any]) -> None:
    """Serve discovery until the input closes."""
    discovery = Discovery(settings)
    host, port = settings["discovery"]
    try:
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
    except OSError as error:
        part.write_line(did="failed", why=f"the address of discovery is in use: {error}")
        return
    async with trio.open_nursery() as nursery:
        nursery.start_soon(http.serve, discovery.answer, listeners)
        part.write_line(did="ready")
        await part.serve_commands(discovery.handle_command)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    startup_settings = json.loads(sys.stdin.readline())
    trio.run(main, startup_settings, clock=part.SlowedClock(startup_settings["clock"]))
