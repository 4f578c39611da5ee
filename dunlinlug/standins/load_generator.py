"""Stand-in clients: an open-loop load with retries and deadlines.

Requests are sent at a given rate even if the fleet is slow; a closed loop would slow down with it.
"""

import base64
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path
from random import Random
from typing import NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.net import http
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.standins.control import Command, run_until_input_closes
from dunlinlug.xds import names

# Concurrent requests. Beyond that the machine is the bottleneck, so requests are not sent and are
# recorded as unsent.
MAX_IN_FLIGHT = 4000
MAX_LATENCY_US = 60_000_000  # microseconds; the upper bound of a histogram
INITIAL_LOAD_FRACTION = 0.1  # of the rate, at the beginning of the ramp


class CallResult(NamedTuple):
    """The outcome of a client's call, and whether the request certainly was not executed."""

    outcome: str
    not_executed: bool


@dataclass(frozen=True)
class ClientRequest:
    """A request of a client: its id, traffic class, work (seconds of a core), and proxy."""

    request_id: str
    traffic_class: str
    work: float
    proxy_client: http.Client


class LoadGenerator:
    """Sends requests to the proxies and records how each ended."""

    def __init__(self, config: ConfigFile, record: RecordWriter) -> None:
        self.record = record
        self.load_config = config.section(schema.LoadConfig)
        self.lead_time = config.section(schema.ScenarioConfig).lead
        self.duration = config.section(schema.ScenarioConfig).length
        self.rng = Random(f"{config.section(schema.ScenarioConfig).seed} callers")
        self.traffic_classes = config.sections(manager_config.TrafficClassConfig)
        mix_configs = config.sections(schema.MixConfig)
        self.traffic_class_names = list(self.traffic_classes)
        self.cumulative_mix = list(
            accumulate(
                mix_configs[name].share if name in mix_configs else 1.0
                for name in self.traffic_class_names
            )
        )
        proxy_configs = config.sections(schema.ProxyConfig)
        self.cumulative_proxy_rates = list(
            accumulate(proxy_config.rate for proxy_config in proxy_configs.values())
        )
        self.proxy_clients = [
            http.Client(*proxy_config.address) for proxy_config in proxy_configs.values()
        ]
        self.latencies = {  # microseconds
            name: HdrHistogram(1, MAX_LATENCY_US, 3) for name in self.traffic_class_names
        }
        self.in_flight = 0
        self.sent = 0

    async def run(self) -> None:
        """Send requests as a Poisson process at the scenario's rate."""
        await trio.sleep(self.lead_time)
        start = trio.current_time()
        arrival_time = start
        async with trio.open_nursery() as nursery:
            while arrival_time < start + self.duration:
                rate = self.load_config.requests_per_second * self._ramp(arrival_time - start)
                arrival_time += self.rng.expovariate(rate)
                await trio.sleep_until(arrival_time)
                traffic_class = self.rng.choices(
                    self.traffic_class_names, cum_weights=self.cumulative_mix
                )[0]
                client = self.rng.choices(
                    self.proxy_clients, cum_weights=self.cumulative_proxy_rates
                )[0]
                self.sent += 1
                request_id = str(self.sent)
                if self.in_flight >= MAX_IN_FLIGHT:
                    self.record.write(
                        "txn", product=traffic_class, outcome="unsent", took=0.0, txn=request_id
                    )
                    continue
                request = ClientRequest(request_id, traffic_class, self._draw_work(), client)
                nursery.start_soon(self._send_request, request)
        self._write_summary()

    def _ramp(self, elapsed: float) -> float:
        """The fraction of the rate at `elapsed` seconds after the load began."""
        if not self.load_config.ramp:
            return 1.0
        return min(1.0, INITIAL_LOAD_FRACTION + elapsed / self.load_config.ramp)

    def _draw_work(self) -> float:
        spread = self.load_config.spread
        return self.load_config.work * self.rng.lognormvariate(-spread * spread / 2, spread)

    def _write_summary(self) -> None:
        for traffic_class, histogram in self.latencies.items():
            self.record.write(
                "times",
                product=traffic_class,
                count=histogram.get_total_count(),
                p50=histogram.get_value_at_percentile(50) / 1e6,
                p99=histogram.get_value_at_percentile(99) / 1e6,
                histogram=base64.b64encode(histogram.encode()).decode(),
            )
        self.record.write("done", sent=self.sent)
        self.record.file.flush()

    async def _send_request(self, request: ClientRequest) -> None:
        """Call a proxy, retry failures where that is safe, and record the outcome."""
        class_config = self.traffic_classes[request.traffic_class]
        started = trio.current_time()
        deadline = started + class_config.deadline
        outcome = "voided"
        self.in_flight += 1
        with trio.move_on_after(class_config.deadline):
            for call_number in range(1 + self.load_config.retries):
                outcome, not_executed = await self._call(request, call_number, deadline)
                may_repeat = not_executed or class_config.repeats == "idempotent"
                if outcome == "settled" or not may_repeat:
                    break
                await trio.sleep(self.load_config.backoff)
        self.in_flight -= 1
        latency = trio.current_time() - started
        if outcome == "settled":
            self.latencies[request.traffic_class].record_value(max(1, int(latency * 1e6)))
            outcome = "settled" if latency <= class_config.sla else "late"
        self.record.write(
            "txn",
            txn=request.request_id,
            product=request.traffic_class,
            outcome=outcome,
            took=round(latency, 4),
        )

    async def _call(self, request: ClientRequest, call_number: int, deadline: float) -> CallResult:
        """Make one call to a proxy."""
        headers = {
            "x-txn": request.request_id,
            "x-product": request.traffic_class,
            "x-work": f"{request.work:.5f}",
            "x-client": str(call_number),
            "x-left": f"{max(deadline - trio.current_time(), 0.001):.4f}",
        }
        try:
            response = await request.proxy_client.request("POST", "/txn", headers)
        except http.HttpError as error:
            return CallResult("voided", not error.request_sent)
        if response.status == 200:
            return CallResult("settled", False)
        not_executed = names.NOT_EXECUTED_HEADER in response.headers
        return CallResult("declined" if not_executed else "voided", not_executed)


async def _ignore_command(_command: Command) -> None:
    """Ignore a command; the scenario sends none to clients."""


def main(run_file: Path, record_file: Path) -> None:
    """Run the stand-in until standard input closes."""
    record = RecordWriter(record_file)
    load_generator = LoadGenerator(schema.read_scenario(run_file), record)
    trio.run(run_until_input_closes, record, [load_generator.run], _ignore_command)
