"""Stand-in clients: an open-loop load, so that a slow fleet does not slow the load, with retries
and deadlines.
"""

import base64
from itertools import accumulate
from pathlib import Path
from random import Random

import trio
from hdrh.histogram import HdrHistogram

from dunlinlug.config import manager_config as manager_terms
from dunlinlug.config.reader import ConfigFile
from dunlinlug.net import http
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.standins.control import Command, run_until_input_closes
from dunlinlug.xds import names

# txns at once: beyond it the machine is the limit, and the txn is recorded as not sent
MAX_IN_FLIGHT = 4000


class LoadGenerator:
    def __init__(self, config: ConfigFile, record: RecordWriter) -> None:
        self.record = record
        self.load_config = config.section(schema.LoadConfig)
        self.lead_time = config.section(schema.ScenarioConfig).lead
        self.duration = config.section(schema.ScenarioConfig).length
        self.rng = Random(f"{config.section(schema.ScenarioConfig).seed} callers")
        self.traffic_classes = config.sections(manager_terms.TrafficClassConfig)
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
        self.latencies = {
            name: HdrHistogram(1, 60_000_000, 3) for name in self.traffic_class_names
        }  # microseconds
        self.in_flight = self.sent = 0

    async def run(self) -> None:
        """Poisson arrivals at the day's rate, from the lead's end to the day's."""
        await trio.sleep(self.lead_time)
        start = arrival_time = trio.current_time()
        async with trio.open_nursery() as nursery:
            while arrival_time < start + self.duration:
                ramp_fraction = (
                    min(1.0, 0.1 + (arrival_time - start) / self.load_config.ramp)
                    if self.load_config.ramp
                    else 1.0
                )
                arrival_time += self.rng.expovariate(
                    self.load_config.requests_per_second * ramp_fraction
                )
                await trio.sleep_until(arrival_time)
                traffic_class = self.rng.choices(
                    self.traffic_class_names, cum_weights=self.cumulative_mix
                )[0]
                client = self.rng.choices(
                    self.proxy_clients, cum_weights=self.cumulative_proxy_rates
                )[0]
                self.sent += 1
                if self.in_flight >= MAX_IN_FLIGHT:
                    self.record.write(
                        "txn", product=traffic_class, outcome="unsent", took=0.0, txn=str(self.sent)
                    )
                    continue
                nursery.start_soon(
                    self._send_request, str(self.sent), traffic_class, client, self._draw_work()
                )
        self._write_summary()

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

    async def _send_request(
        self, request_id: str, traffic_class: str, client: http.Client, work: float
    ) -> None:
        class_config = self.traffic_classes[traffic_class]
        started = trio.current_time()
        outcome = "voided"
        self.in_flight += 1
        with trio.move_on_after(class_config.deadline):
            for attempt_number in range(1 + self.load_config.retries):
                outcome, not_executed = await self._attempt(
                    request_id,
                    traffic_class,
                    client,
                    work,
                    attempt_number,
                    started + class_config.deadline,
                )
                if outcome == "settled" or not (
                    not_executed or class_config.repeats == "idempotent"
                ):
                    break
                await trio.sleep(self.load_config.backoff)
        self.in_flight -= 1
        latency = trio.current_time() - started
        if outcome == "settled":
            self.latencies[traffic_class].record_value(max(1, int(latency * 1e6)))
            outcome = "settled" if latency <= class_config.sla else "late"
        self.record.write(
            "txn", txn=request_id, product=traffic_class, outcome=outcome, took=round(latency, 4)
        )

    async def _attempt(
        self,
        request_id: str,
        traffic_class: str,
        proxy_client: http.Client,
        work: float,
        attempt_number: int,
        deadline: float,
    ) -> tuple[str, bool]:
        """The outcome, and whether it is proven that nothing ran."""
        headers = {
            "x-txn": request_id,
            "x-product": traffic_class,
            "x-work": f"{work:.5f}",
            "x-client": str(attempt_number),
            "x-left": f"{max(deadline - trio.current_time(), 0.001):.4f}",
        }
        try:
            response = await proxy_client.request("POST", "/txn", headers)
        except http.HttpError as error:
            return "voided", not error.request_sent
        if response.status == 200:
            return "settled", False
        not_executed = names.NOT_EXECUTED_HEADER in response.headers
        return ("declined" if not_executed else "voided"), not_executed


async def _ignore(command: Command) -> None:
    return


def main(run_file: Path, record_file: Path) -> None:
    record = RecordWriter(record_file)
    load_generator = LoadGenerator(schema.read_scenario(run_file), record)
    trio.run(run_until_input_closes, record, [load_generator.run], _ignore)
