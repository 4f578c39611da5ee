"""Estimates what is not known: an endpoint's capacity, a proxy's demand, the load of retries.

Demand and capacity are in requests a second. Nothing here is reported by an endpoint itself;
`docs/guard.md` says where the estimates fail.
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

# Seconds in which the best measured success rate loses half: a few report cycles, and shorter than
# a warm-up.
SUCCESS_RATE_HALF_TIME = 4.0
# Weight of the newest report in a proxy's demand: a rise is followed in two or three cycles.
DEMAND_SMOOTHING = 0.5
# What remains of the counted attempts and failures at each new endpoint report.
ATTEMPT_COUNT_DECAY = 0.9
SILENCE_TIMEOUT = 5.0  # seconds without a report after which a proxy counts as silent
# A silent proxy is taken to send this many times its last demand, as that may have grown unseen.
SILENT_DEMAND_FACTOR = 1.25
# A warming endpoint may be sent this many times its limit, as its estimated capacity is a lower
# bound.
CAPACITY_MARGIN = 1.1
# The most retries of a request, by retry policy.
MAX_RETRIES = (0, 1, 1, 2)


class MeasuredRate(NamedTuple):
    """A success rate (requests a second) and when it was measured (seconds)."""

    rate: float
    measured_at: float

    def decayed(self, now: float) -> float:
        """The rate, halved for every half time since it was measured."""
        return self.rate * 0.5 ** ((now - self.measured_at) / SUCCESS_RATE_HALF_TIME)


class CapacityEstimates:
    """Fed with the events that the decision module handles.

    Attributes:
        demand: Smoothed requests a second, by proxy id and index of the traffic class.
        changed_proxies: Proxies that reported since `DemandTotals` took this last; a dict for its
            order.
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
        self.usual_rates: dict[int, float] = {}  # by proxy, as it said when it connected
        # By endpoint and by the zone of the proxies that reported on it: the best rate of late.
        self.success_rates: dict[str, dict[str, MeasuredRate]] = {}
        self.attempts = 0.0
        self.failed = 0.0
        self.changed_proxies: dict[int, None] = {}

    def handle(self, now: float, event: Event) -> None:
        """Take in one event; those that say nothing of demand or success are passed over."""
        match event:
            case ProxyConnected(proxy, _, usual_rate, _):
                self._forget(proxy)
                self.usual_rates[proxy] = usual_rate
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
        self.usual_rates.pop(proxy, None)
        for key in [key for key in self.demand if key[0] == proxy]:
            del self.demand[key]
            del self.reported_at[key]

    def success_rate(self, worker: str, now: float) -> float:
        """Requests a second that the endpoint served of late, summed over the proxies' zones."""
        rates = self.success_rates.get(worker, {}).values()
        return float(sum(measured.decayed(now) for measured in rates))

    def expected_demand(self, now: float, proxy: int, traffic_class: int) -> float:
        """Requests a second that a proxy may send of a traffic class.

        As it reported; more if it is silent; before any report its usual rate, divided evenly over
        the traffic classes.
        """
        reported = self.demand.get((proxy, traffic_class))
        if reported is None:
            return self.usual_rates.get(proxy, 0.0) / len(self.class_indexes)
        is_silent = now > self.reported_at[proxy, traffic_class] + SILENCE_TIMEOUT
        return reported * (SILENT_DEMAND_FACTOR if is_silent else 1.0)

    def attempts_per_request(self, retry_policy: int) -> float:
        """Attempts for each request, retries included.

        Retries follow the recent failure rate. Policy 1 retries only what certainly ran nowhere, so
        that this is an upper bound for it.
        """
        failure_rate = self.failed / self.attempts if self.attempts else 0.0
        return 1.0 + MAX_RETRIES[retry_policy] * failure_rate

    def capacity_fraction(self, now: float, started_at: float) -> float:
        """What part of its full capacity an endpoint surely has at its age.

        It rises evenly from the initial fraction at its start to 1 after the warm-up time, which is
        the latest that the safety limits allow.
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
        """Requests a second that a warm endpoint can serve at least for each unit of its weight.

        It is the success rate of the warm endpoints over their weight; infinite while none of them
        has served anything, as nothing is known then.
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
        """Requests a second beyond which an endpoint of this full capacity overloads at its age."""
        return (
            CAPACITY_MARGIN
            * self.safety_limits.overload_multiple
            * self.capacity_fraction(now, started_at)
            * capacity
        )
