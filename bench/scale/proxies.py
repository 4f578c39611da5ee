"""Hollow proxies: each follows one real manager's tables by the project's own subscriber, reports,
carries no txns.
"""

import json
import sys
import time
from collections.abc import Mapping
from dataclasses import asdict
from random import Random
from typing import Any

import trio

from bench.scale import part, rules
from bench.scale.accounting import Meter
from bench.scale.discovery import ZONES
from dunlinlug.audit.records import RecordLine
from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.net import grpc
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.subscriber import DeltaSubscriber, ProxyState

REDIAL = (
    0.5  # seconds from a stream's end to the next dialling, drawn from half to one and a half of it
)
# seconds for a stream to be opened: a manager before 5,000 workers is busy that long after its
# start
OPENING = 30.0
PRODUCTS = ("read", "book")  # as the managers' files of the rig have them
TRIED = 20  # workers of its table that each says each second it would send to
# lines of record kept by the process: a run of an hour of the largest number of proxies planned
ROWS = 400_000
RATE = 2.0  # txns a second that each says it has


class HollowProxy:
    def __init__(
        self,
        name: str,
        zone: str,
        place: tuple[str, int],
        meter: Meter,
        chance: Random,
        record: list[RecordLine],
    ) -> None:
        self.name, self.zone, self.place, self.meter, self.chance = name, zone, place, meter, chance
        self.holdings, self.tally, self.joined, self.record = (
            ProxyState(),
            ReportAccumulator(name, zone),
            False,
            record,
        )
        self.bare = dict[str, bool]()

    def _write(self, event: str, **said: Any) -> None:
        if len(self.record) < ROWS:
            self.record.append(rules.row(time.monotonic(), event, self.name, **said))
        else:
            self.meter.counts["unrecorded"] += 1

    def _see_bare(self) -> None:
        for product in PRODUCTS:
            bare = not self.holdings.usable_weights(product)
            if bare != self.bare.get(product, False):
                self.bare[product] = bare
                self._write("bare", product=product, on=bare)

    async def _try(self) -> None:
        """What it would send to now."""
        while True:
            await trio.sleep(1.0)
            usable = sorted(self.holdings.usable_weights(PRODUCTS[0]))
            for worker in self.chance.sample(usable, min(TRIED, len(usable))):
                self._write("try", worker=worker)

    async def run(self) -> None:
        while True:
            try:
                async with grpc.connect(*self.place) as link:
                    await self._stream(link)
            except* (OSError, grpc.CallEndedError, trio.TooSlowError):
                self.meter.counts["ended"] += 1
            if self.joined:
                self._write("left")
            self.joined = False
            await trio.sleep(REDIAL * self.chance.uniform(0.5, 1.5))

    async def _stream(self, link: grpc.GrpcConnection) -> None:
        call = link.start_call(names.DELTA_ADS_METHOD)
        with trio.fail_after(
            OPENING
        ):  # Danger: taken and never answered, it would wait for the run's end
            await call.headers_received.wait()
        if call.ended is not None:
            raise call.ended
        subscriber = DeltaSubscriber(self.holdings, self.name, self.zone, {"txns_per_s": RATE})
        for request in subscriber.initial_requests():
            self._send(call, request, "ads")
        self.joined = True
        self._write("joined")
        self._see_bare()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report, link.start_call(names.LRS_METHOD))
            nursery.start_soon(self._try)
            while True:
                data = await call.receive()
                self.meter.add("ads", "in", len(data))
                answer, done = subscriber.receive(data)
                self.meter.counts["refused"] += bool(done.rejection_reason)
                if len(self.record) < ROWS:
                    self.record.append(rules.applied(time.monotonic(), self.name, done))
                self._see_bare()
                self._send(call, answer, "ads")

    def _send(self, call: grpc.Call, data: bytes, kind: str) -> None:
        self.meter.add(kind, "out", len(data))
        call.send(data)

    async def _report(self, call: grpc.Call) -> None:
        self._send(
            call,
            load_reports.encode_report(
                load_reports.LoadReport(self.name, self.zone, 0.0), is_first=True
            ),
            "lrs",
        )
        data = await call.receive()
        self.meter.add("lrs", "in", len(data))
        cycle = load_reports.decode_response(data)
        while True:
            await trio.sleep(cycle * self.chance.uniform(0.9, 1.1))
            self._send(
                call,
                load_reports.encode_report(
                    self.tally.take_report(trio.current_time()), is_first=False
                ),
                "lrs",
            )


class Proxies:
    def __init__(self, told: Mapping[str, Any]) -> None:
        self.meter, self.record = Meter(), list[RecordLine]()
        places = [(p[0], p[1]) for p in told["managers"]]
        self.proxies = [
            HollowProxy(
                f"p{n}",
                ZONES[n % len(ZONES)],
                places[n % len(places)],
                self.meter,
                Random(f"{told['seed']} p{n}"),
                self.record,
            )
            for n in range(told["count"])
        ]

    async def obey(self, command: part.Command) -> dict[str, Any]:
        if command["do"] == "record":
            return {"did": "record", "lines": self.record}
        joined = sum(proxy.joined for proxy in self.proxies)
        tables = sum(bool(proxy.holdings.tables) for proxy in self.proxies)
        return {
            "did": command["do"],
            "at": time.monotonic(),
            "reading": asdict(part.own_reading(self.meter)),
            "members": len(self.proxies),
            "queues": {"joined": joined, "with_table": tables},
        }


async def main(told: Mapping[str, Any]) -> None:
    proxies = Proxies(told)
    async with trio.open_nursery() as nursery:
        for proxy in proxies.proxies:
            nursery.start_soon(proxy.run)
        part.say(did="ready")
        await part.commands(proxies.obey)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    given = json.loads(sys.stdin.readline())
    trio.run(main, given, clock=part.Slowed(given["clock"]))
