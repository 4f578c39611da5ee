"""Simulated proxies: each subscribes to the tables of one real manager and sends it load reports.

They use the project's own subscriber and carry no requests.
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

# Mean seconds from the end of a stream to the next connection attempt; drawn from half to one and
# a half of it.
RECONNECT_DELAY = 0.5
# Seconds for a stream to be opened: a manager of 5,000 workers is busy that long after its start.
OPEN_TIMEOUT = 30.0
# The traffic classes of the managers' configuration files in this benchmark.
TRAFFIC_CLASSES = ("read", "book")
# Workers of its table that each proxy records each second as the targets of its attempts.
RECORDED_WORKERS = 20
# Record lines stored by the process: a run of an hour with the largest planned number of proxies.
MAX_RECORD_LINES = 400_000
# Requests per second that each proxy reports as its demand.
REPORTED_RATE = 2.0


class SimulatedProxy:
    """A proxy that keeps one manager's tables and appends what it did to a shared record."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: tuple[str, int],
        meter: Meter,
        rng: Random,
        record: list[RecordLine],
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.meter = meter
        self.rng = rng
        self.state = ProxyState()
        self.report_accumulator = ReportAccumulator(name, zone)
        self.connected = False
        self.record = record
        self.without_endpoint = dict[str, bool]()

    def _write(self, event: str, **details: Any) -> None:
        if len(self.record) < MAX_RECORD_LINES:
            self.record.append(rules.record_line(time.monotonic(), event, self.name, **details))
        else:
            self.meter.counts["unrecorded"] += 1

    def _record_availability(self) -> None:
        """Record each change between having an endpoint for a traffic class and having none."""
        for name in TRAFFIC_CLASSES:
            without_endpoint = not self.state.usable_weights(name)
            if without_endpoint != self.without_endpoint.get(name, False):
                self.without_endpoint[name] = without_endpoint
                self._write("bare", product=name, on=without_endpoint)

    async def _record_attempts(self) -> None:
        """Record each second some workers that the proxy would send requests to."""
        while True:
            await trio.sleep(1.0)
            usable = sorted(self.state.usable_weights(TRAFFIC_CLASSES[0]))
            for worker in self.rng.sample(usable, min(RECORDED_WORKERS, len(usable))):
                self._write("try", worker=worker)

    async def run(self) -> None:
        """Connect to the manager, and reconnect when the stream ends, until cancelled."""
        while True:
            try:
                async with grpc.connect(*self.address) as connection:
                    await self._stream(connection)
            except* (OSError, grpc.CallEndedError, trio.TooSlowError):
                self.meter.counts["ended"] += 1
            if self.connected:
                self._write("left")
            self.connected = False
            await trio.sleep(RECONNECT_DELAY * self.rng.uniform(0.5, 1.5))

    async def _stream(self, connection: grpc.GrpcConnection) -> None:
        call = connection.start_call(names.DELTA_ADS_METHOD)
        # A manager may accept a call and never answer it; the timeout makes the proxy reconnect.
        with trio.fail_after(OPEN_TIMEOUT):
            await call.headers_received.wait()
        if call.ended is not None:
            raise call.ended
        subscriber = DeltaSubscriber(
            self.state, self.name, self.zone, {"txns_per_s": REPORTED_RATE}
        )
        for request in subscriber.initial_requests():
            self._send(call, request, "ads")
        self.connected = True
        self._write("joined")
        self._record_availability()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report, connection.start_call(names.LRS_METHOD))
            nursery.start_soon(self._record_attempts)
            while True:
                data = await call.receive()
                self.meter.add("ads", "in", len(data))
                answer, applied = subscriber.receive(data)
                self.meter.counts["refused"] += bool(applied.rejection_reason)
                if len(self.record) < MAX_RECORD_LINES:
                    self.record.append(rules.applied_line(time.monotonic(), self.name, applied))
                self._record_availability()
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
        interval = load_reports.decode_response(data)
        while True:
            await trio.sleep(interval * self.rng.uniform(0.9, 1.1))
            self._send(
                call,
                load_reports.encode_report(
                    self.report_accumulator.take_report(trio.current_time()), is_first=False
                ),
                "lrs",
            )


class Proxies:
    """All simulated proxies of one process, with their shared meter and record."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        self.meter = Meter()
        self.record = list[RecordLine]()
        addresses = [(host, port) for host, port in settings["managers"]]
        self.proxies = [
            SimulatedProxy(
                f"p{index}",
                ZONES[index % len(ZONES)],
                addresses[index % len(addresses)],
                self.meter,
                Random(f"{settings['seed']} p{index}"),
                self.record,
            )
            for index in range(settings["count"])
        ]

    async def handle_command(self, command: part.Command) -> dict[str, Any]:
        """Execute one command of the run and return its answer."""
        if command["do"] == "record":
            return {"did": "record", "lines": self.record}
        joined = sum(proxy.connected for proxy in self.proxies)
        tables = sum(bool(proxy.state.tables) for proxy in self.proxies)
        return {
            "did": command["do"],
            "at": time.monotonic(),
            "reading": asdict(part.process_reading(self.meter)),
            "members": len(self.proxies),
            "queues": {"joined": joined, "with_table": tables},
        }


async def main(settings: Mapping[str, Any]) -> None:
    """Run the proxies until the input closes."""
    proxies = Proxies(settings)
    async with trio.open_nursery() as nursery:
        for proxy in proxies.proxies:
            nursery.start_soon(proxy.run)
        part.write_line(did="ready")
        await part.serve_commands(proxies.handle_command)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    startup_settings = json.loads(sys.stdin.readline())
    trio.run(main, startup_settings, clock=part.SlowedClock(startup_settings["clock"]))
