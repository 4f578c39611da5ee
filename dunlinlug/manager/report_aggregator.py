"""Aggregates the proxies' load reports and passes on the totals at the configured event rate.

The oldest totals are passed on first; the others continue to accumulate.
"""

from dataclasses import dataclass, field

from dunlinlug.decision.events import DemandReported, EndpointReported, Event
from dunlinlug.xds.load_reports import LoadReport


@dataclass
class _EndpointTotals:
    """Totals that proxies of one zone reported of one endpoint since `started_at`."""

    started_at: float
    attempts: int = 0
    failed: int = 0
    total_latency: float = 0.0  # seconds, over the attempts whose latency is known
    without_latency: int = 0
    load: dict[str, float] = field(default_factory=dict)


@dataclass
class _DemandTotals:
    """Totals of the requests that one proxy received of one traffic class since `started_at`."""

    started_at: float
    requests: int = 0
    failed: int = 0


class ReportAggregator:
    """Sums up load reports and converts the totals to events.

    At most `events_per_s` events are returned per second. Times are seconds on the caller's clock.
    """

    def __init__(self, events_per_s: float, traffic_classes: frozenset[str]) -> None:
        self.events_per_s = events_per_s
        self.traffic_classes = traffic_classes
        self.endpoint_totals: dict[tuple[str, str], _EndpointTotals] = {}  # by zone and worker
        self.demand_totals: dict[tuple[int, str], _DemandTotals] = {}  # by proxy and traffic class
        # by worker: the mean latency in seconds that was reported last
        self.last_latency: dict[str, float] = {}
        self.event_credit = 0.0
        self.last_taken_at: float | None = None

    def add_report(self, now: float, proxy: int, zone: str, report: LoadReport) -> None:
        """Add one proxy's report; traffic classes that are not configured are ignored."""
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
        """Drop the demand of a proxy that has disconnected."""
        self.demand_totals = {
            key: totals for key, totals in self.demand_totals.items() if key[0] != proxy
        }

    def take_events(self, now: float) -> list[Event]:
        """Return the events that the rate allows now, oldest totals first, and drop the totals."""
        self._add_credit(now)
        # Sorted by age; at the same age endpoints come before demand, then sorted by key as text.
        endpoint_keys = [
            (totals.started_at, 0, key[0], key[1]) for key, totals in self.endpoint_totals.items()
        ]
        demand_keys = [
            (demand.started_at, 1, str(key[0]), key[1])
            for key, demand in self.demand_totals.items()
        ]
        chosen = sorted(endpoint_keys + demand_keys)[: int(self.event_credit)]
        self.event_credit -= len(chosen)
        events = list[Event]()
        for _, is_demand, source, subject in chosen:
            if is_demand:
                events.append(self._take_demand_report(now, int(source), subject))
            else:
                events.append(self._take_endpoint_report(now, source, subject))
        return events

    def _add_credit(self, now: float) -> None:
        """Add the credit for the time since the last call, up to that for one second."""
        elapsed = now - self.last_taken_at if self.last_taken_at is not None else 1.0
        self.last_taken_at = now
        self.event_credit = min(
            self.event_credit + elapsed * self.events_per_s, max(self.events_per_s, 1.0)
        )

    def _take_endpoint_report(self, now: float, zone: str, worker: str) -> Event:
        totals = self.endpoint_totals.pop((zone, worker))
        timed_attempts = totals.attempts - totals.failed - totals.without_latency
        if timed_attempts > 0:
            self.last_latency[worker] = totals.total_latency / timed_attempts
        # Successes without a latency count with the worker's last reported mean latency, or 0 if
        # none was ever reported.
        mean_latency = 0.0
        if totals.attempts > totals.failed:
            mean_latency = self.last_latency.get(worker, 0.0)
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
