"""A stand-in discovery that lists thousands of workers and changes some of them when told to.

It speaks the list's blocking queries as the day's roster does; the body of each version is made
once. Who asks is told by the service that is asked for: real managers ask for `actual`, hollow
members for `hollow`, names of one length.
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
from bench.scale.hollow import PRINTS
from dunlinlug.decision.events import Endpoint
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import INDEX_HEADER
from dunlinlug.fleet.membership.list_digests import bucket_fingerprints
from dunlinlug.net import http

FIRST = 100
ZONES = ("north", "south", "east", "west", "centre")


def fleet(count: int) -> dict[str, Endpoint]:
    """Workers at places that nobody dials."""
    made = [
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
    return {worker.id: worker for worker in made}


def churned(workers: dict[str, Endpoint], size: int, chance: Random) -> list[Endpoint]:
    """So many drawn workers turn from ready to draining, or back."""
    drawn = chance.sample(sorted(workers), min(size, len(workers)))
    return [
        replace(workers[name], state="draining" if workers[name].state == "ready" else "ready")
        for name in drawn
    ]


class Discovery:
    def __init__(self, told: Mapping[str, Any]) -> None:
        self.meter, self.chance = Meter(), Random(f"{told['seed']} workers")
        self.workers, self.index, self.changed = fleet(told["workers"]), FIRST, trio.Event()
        self.changes: dict[int, float] = {}
        self.states: dict[int, dict[str, str]] = {FIRST: {}}  # by version, what was changed in it
        self.waiting = 0
        self._write()

    def _write(self) -> None:
        self.body = entries.encode_workers(self.workers.values())
        self.printed = json.dumps([len(self.workers), bucket_fingerprints(self.workers)])
        self.changes[self.index] = time.monotonic()

    async def answer(self, request: http.Request) -> http.Response:
        role = request.path.rpartition("/")[2]
        self.meter.add(
            f"list {role}",
            "in",
            len(request.path) + sum(len(k) + len(v) + 2 for k, v in request.query.items()),
        )
        if int(request.query.get("index", "0")) == self.index:
            self.waiting += 1
            with trio.move_on_after(
                int(request.query.get("wait", "1000ms").removesuffix("ms")) / 1000
            ):
                await self.changed.wait()
            self.waiting -= 1
        self.meter.add(f"list {role}", "out", len(self.body))
        return http.Response(200, {INDEX_HEADER: str(self.index), PRINTS: self.printed}, self.body)

    async def obey(self, command: part.Command) -> dict[str, Any]:
        match command["do"]:
            case "churn":
                changed = churned(self.workers, command["value"], self.chance)
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
                    "reading": asdict(part.own_reading(self.meter)),
                    "members": 1,
                    "queues": {"waiting": self.waiting},
                }
        return {"did": command["do"]}


async def main(told: Mapping[str, Any]) -> None:
    discovery = Discovery(told)
    host, port = told["discovery"]
    try:
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
    except OSError as fault:
        part.say(did="failed", why=f"the place of discovery is taken: {fault}")
        return
    async with trio.open_nursery() as nursery:
        nursery.start_soon(http.serve, discovery.answer, listeners)
        part.say(did="ready")
        await part.commands(discovery.obey)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    given = json.loads(sys.stdin.readline())
    trio.run(main, given, clock=part.Slowed(given["clock"]))
