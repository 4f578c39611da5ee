"""Sums of what proxies report, given on at the rate that the module is told of: the oldest first,
the rest adds up.
"""

from dataclasses import dataclass, field

from dunlinlug.decision.events import DemandReported, EndpointReported, Event
from dunlinlug.xds.load_reports import LoadReport


@dataclass
class _EndpointTotals:
    started_at: float
    attempts: int = 0
    failed: int = 0
    total_latency: float = 0.0
    without_latency: int = 0
    load: dict[str, float] = field(default_factory=dict)


@dataclass
class _DemandTotals:
    started_at: float
    requests: int = 0
    failed: int = 0


class ReportAggregator:
    """`lines_per_s` events at most leave each second; times are the caller's clock."""

    def __init__(self, events_per_s: float, traffic_classes: frozenset[str]) -> None:
        self.events_per_s = events_per_s
        self.traffic_classes = traffic_classes
        self.endpoint_totals: dict[tuple[str, str], _EndpointTotals] = {}
        self.demand_totals: dict[tuple[int, str], _DemandTotals] = {}
        self.last_latency: dict[
            str, float
        ] = {}  # by worker, seconds that a settled try took, as told last
        self.event_credit = 0.0
        self.last_taken_at: float | None = None

    def add_report(self, now: float, proxy: int, zone: str, report: LoadReport) -> None:
        """Take one proxy's report; products that are not ours are passed over."""
        started_at = now - report.window
        for worker, endpoint_load in report.workers.items():
            endpoint = self.endpoint_totals.setdefault((zone, worker), _EndpointTotals(started_at))
            endpoint.attempts += endpoint_load.attempts
            endpoint.failed += endpoint_load.failed
            endpoint.total_latency += endpoint_load.total_latency
            endpoint.without_latency += endpoint_load.untimed_successes
            endpoint.load.update(endpoint_load.load_metrics)
        for traffic_class, (requests, failed) in report.traffic_classes.items():
            if traffic_class in self.traffic_classes:
                demand = self.demand_totals.setdefault(
                    (proxy, traffic_class), _DemandTotals(started_at)
                )
                demand.requests += requests
                demand.failed += failed

    def remove_proxy(self, proxy: int) -> None:
        self.demand_totals = {
            key: totals for key, totals in self.demand_totals.items() if key[0] != proxy
        }

    def take_events(self, now: float) -> list[Event]:
        """What may be told now."""
        elapsed = now - self.last_taken_at if self.last_taken_at is not None else 1.0
        self.last_taken_at = now
        self.event_credit = min(
            self.event_credit + elapsed * self.events_per_s, max(self.events_per_s, 1.0)
        )
        endpoint_keys = [
            (totals.started_at, 0, key[0], key[1]) for key, totals in self.endpoint_totals.items()
        ]
        demand_keys = [
            (demand.started_at, 1, str(key[0]), key[1])
            for key, demand in self.demand_totals.items()
        ]
        chosen = sorted(endpoint_keys + demand_keys)[: int(self.event_credit)]
        self.event_credit -= len(chosen)
        return [
            self._take_endpoint_report(now, source, subject)
            if not is_demand
            else self._take_demand_report(now, int(source), subject)
            for _, is_demand, source, subject in chosen
        ]

    def _take_endpoint_report(self, now: float, zone: str, worker: str) -> Event:
        totals = self.endpoint_totals.pop((zone, worker))
        timed_attempts = totals.attempts - totals.failed - totals.without_latency
        if timed_attempts > 0:
            self.last_latency[worker] = totals.total_latency / timed_attempts
        # What was met without its time counts at the worker's pace as last told; not known at all,
        # it is none.
        mean_latency = (
            self.last_latency.get(worker, 0.0) if totals.attempts > totals.failed else 0.0
        )
        return EndpointReported(
            zone,
            worker,
            totals.attempts,
            totals.failed,
            mean_latency,
            now - totals.started_at,
            totals.load,
        )

    def _take_demand_report(self, now: float, proxy: int, traffic_class: str) -> Event:
        totals = self.demand_totals.pop((proxy, traffic_class))
        return DemandReported(
            proxy, traffic_class, totals.requests, totals.failed, now - totals.started_at
        )
