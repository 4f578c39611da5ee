"""Estimates of endpoint capacity, proxy demand and retries, from the proxies' reports.

Demand and capacity are in requests per second. Endpoints report none of these values themselves;
`docs/guard.md` describes where the estimates fail.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from dunlinlug.decision.events import (
    DemandReported,
    Endpoint,
    EndpointReported,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.settings import SafetyLimits, TrafficClass

# Half-life in seconds of the best measured success rate: a few report cycles, and shorter than a
# warm-up.
SUCCESS_RATE_HALF_LIFE = 4.0
# Weight of the newest report in a proxy's demand: the estimate follows a rise in two or three
# cycles.
DEMAND_SMOOTHING = 0.5
# Factor applied to the counted attempts and failures at each new endpoint report.
ATTEMPT_COUNT_DECAY = 0.9
SILENCE_TIMEOUT = 5.0  # seconds without a report after which a proxy counts as silent
# A silent proxy's demand is estimated at this multiple of the last report, as it may have risen.
SILENT_DEMAND_FACTOR = 1.25
# A warming endpoint may be sent this multiple of its limit, as its estimated capacity is a lower
# bound.
CAPACITY_MARGIN = 1.1
# Maximum number of retries of a request, by retry policy.
MAX_RETRIES = (0, 1, 1, 2)


class MeasuredRate(NamedTuple):
    """A success rate (requests per second) and when it was measured (seconds)."""

    rate: float
    measured_at: float

    def decayed(self, now: float) -> float:
        """The rate, halved for every half-life since it was measured."""
        return self.rate * 0.5 ** ((now - self.measured_at) / SUCCESS_RATE_HALF_LIFE)


class CapacityEstimates:
    """Estimates that are updated by the events that the decision module handles.

    Attributes:
        demand: Smoothed requests per second, by proxy id and index of the traffic class.
        changed_proxies: Proxies that reported since `DemandTotals` last took this; a dict as it
            keeps their order.
    """

    def __init__(
        self, safety_limits: SafetyLimits, traffic_classes: tuple[TrafficClass, ...]
    ) -> None:
        self.safety_limits = safety_limits
        self.class_indexes = {
            traffic_class.name: class_index
            for class_index, traffic_class in enumerate(traffic_classes)
        }
        self.demand: dict[tuple[int, int], float] = {}
        self.reported_at: dict[tuple[int, int], float] = {}
        self.declared_rates: dict[int, float] = {}  # by proxy, as declared when it connected
        # By endpoint and by zone of the reporting proxies: the best recent rate.
        self.success_rates: dict[str, dict[str, MeasuredRate]] = {}
        self.attempts = 0.0
        self.failed = 0.0
        self.changed_proxies: dict[int, None] = {}

    def handle(self, now: float, event: Event) -> None:
        """Process one event; those that affect no estimate are ignored."""
        match event:
            case ProxyConnected(proxy, _, declared_rate, _):
                self._forget(proxy)
                self.declared_rates[proxy] = declared_rate
            case ProxyDisconnected(proxy):
                self._forget(proxy)
            case DemandReported():
                self._handle_demand(now, event)
            case EndpointReported():
                self._handle_endpoint_report(now, event)

    def _handle_demand(self, now: float, report: DemandReported) -> None:
        if report.proxy is None or report.traffic_class not in self.class_indexes:
            return
        if not report.window > 0:
            return
        key = (report.proxy, self.class_indexes[report.traffic_class])
        rate = report.requests / report.window
        previous = self.demand.get(key, rate)
        self.demand[key] = previous + DEMAND_SMOOTHING * (rate - previous)
        self.reported_at[key] = now
        self.changed_proxies[report.proxy] = None

    def _handle_endpoint_report(self, now: float, report: EndpointReported) -> None:
        if not report.window > 0:
            return
        rate = (report.attempts - report.failed) / report.window
        rates_by_zone = self.success_rates.setdefault(report.worker, {})
        previous = rates_by_zone.get(report.zone, MeasuredRate(0.0, now))
        rates_by_zone[report.zone] = MeasuredRate(max(rate, previous.decayed(now)), now)
        self.attempts = ATTEMPT_COUNT_DECAY * self.attempts + report.attempts
        self.failed = ATTEMPT_COUNT_DECAY * self.failed + report.failed

    def _forget(self, proxy: int) -> None:
        self.declared_rates.pop(proxy, None)
        for key in [key for key in self.demand if key[0] == proxy]:
            del self.demand[key]
            del self.reported_at[key]

    def success_rate(self, worker: str, now: float) -> float:
        """Requests per second that the endpoint recently served, summed over proxies' zones."""
        rates = self.success_rates.get(worker, {}).values()
        return float(sum(measured.decayed(now) for measured in rates))

    def expected_demand(self, now: float, proxy: int, traffic_class: int) -> float:
        """Requests per second that a proxy may send of a traffic class.

        This is its reported demand, raised if it is silent; before its first report, its declared
        rate divided evenly among the traffic classes.
        """
        reported = self.demand.get((proxy, traffic_class))
        if reported is None:
            return self.declared_rates.get(proxy, 0.0) / len(self.class_indexes)
        is_silent = now > self.reported_at[proxy, traffic_class] + SILENCE_TIMEOUT
        return reported * (SILENT_DEMAND_FACTOR if is_silent else 1.0)

    def attempts_per_request(self, retry_policy: int) -> float:
        """Attempts per request, including retries.

        The number of retries is estimated from the recent failure rate. For policy 1, which retries
        only requests that certainly ran on no endpoint, the result is an upper bound.
        """
        failure_rate = self.failed / self.attempts if self.attempts else 0.0
        return 1.0 + MAX_RETRIES[retry_policy] * failure_rate

    def capacity_fraction(self, now: float, started_at: float) -> float:
        """Lower bound of the fraction of its full capacity that an endpoint has at its age.

        It rises linearly from the initial fraction at its start to 1 after the warm-up time, the
        longest that the safety limits allow.
        """
        limits = self.safety_limits
        age = max(now - started_at, 0.0)
        if age >= limits.warm_up_time:
            return 1.0
        return (
            limits.initial_capacity_fraction
            + (1.0 - limits.initial_capacity_fraction) * age / limits.warm_up_time
        )

    def capacity_per_weight(self, now: float, warm_endpoints: Iterable[Endpoint]) -> float:
        """Lower bound of the requests per second that a warm endpoint serves per unit of weight.

        It is the success rate of the warm endpoints divided by their weight; infinite while none of
        them has served a request, as nothing is known then.
        """
        total_rate = 0.0
        total_weight = 0.0
        for endpoint in warm_endpoints:
            rate = self.success_rate(endpoint.id, now)
            if rate:
                total_rate = total_rate + rate
                total_weight = total_weight + (endpoint.weight or 1.0)
        return total_rate / total_weight if total_rate else inf

    def max_rate(self, now: float, started_at: float, capacity: float) -> float:
        """Requests per second above which an endpoint of this full capacity is overloaded now."""
        return (
            CAPACITY_MARGIN
            * self.safety_limits.overload_multiple
            * self.capacity_fraction(now, started_at)
            * capacity
        )
