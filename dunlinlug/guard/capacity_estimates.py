"""How what is not known is read, all in one place: what a worker carries, what a proxy brings, what
repeats add.

Demand and work are in txns a second. Nothing here is told by a worker itself; `docs/guard.md` says
where it fails.
"""

from collections.abc import Iterable
from math import inf

from dunlinlug.decision.events import (
    DemandReported,
    EndpointReported,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.settings import SafetyLimits, TrafficClass

# seconds in which the best settled rate loses half: a few report cycles, shorter than a ramp
SUCCESS_RATE_HALF_LIFE = 4.0
# of each report goes into a proxy's demand: two or three cycles to follow a rise
DEMAND_SMOOTHING = 0.5
SILENCE_TIMEOUT = 5.0  # seconds without a report from which a proxy counts as silent
# times its last demand that a silent proxy is taken to bring: it may have grown unseen
SILENT_DEMAND_FACTOR = 1.25
# times its limit that a cold worker may be promised: the reading of its capacity is a lower bound
CAPACITY_MARGIN = 1.1


class CapacityEstimates:
    """Hears the events that the module hears; asked by the judge."""

    def __init__(
        self, safety_limits: SafetyLimits, traffic_classes: tuple[TrafficClass, ...]
    ) -> None:
        self.safety_limits = safety_limits
        self.class_indexes = {
            traffic_class.name: class_index
            for class_index, traffic_class in enumerate(traffic_classes)
        }
        self.demand: dict[tuple[int, int], float] = {}  # by proxy and product
        self.reported_at: dict[tuple[int, int], float] = {}
        self.usual_rates: dict[int, float] = {}  # by proxy, as told at its joining
        # By worker and the zone of the proxies that met it: the best settled rate of late, and when
        # it was told.
        self.success_rates: dict[str, dict[str, tuple[float, float]]] = {}
        self.attempts = self.failed = 0.0
        self.changed_proxies: dict[int, None] = {}  # proxies heard of since the sums were last made

    def handle(self, now: float, event: Event) -> None:
        match event:
            case ProxyConnected(proxy, _, rate, _):
                self._forget(proxy)
                self.usual_rates[proxy] = rate
            case ProxyDisconnected(proxy):
                self._forget(proxy)
            case DemandReported(proxy, traffic_class, requests, _, window) if (
                proxy is not None and traffic_class in self.class_indexes and window > 0
            ):
                key = (proxy, self.class_indexes[traffic_class])
                previous = self.demand.get(key, requests / window)
                self.demand[key] = previous + DEMAND_SMOOTHING * (requests / window - previous)
                self.reported_at[key] = now
                self.changed_proxies[proxy] = None
            case EndpointReported(zone, worker, attempts, failed, _, window) if window > 0:
                rate = (attempts - failed) / window
                zones = self.success_rates.setdefault(worker, {})
                previous, measured_at = zones.get(zone, (0.0, now))
                zones[zone] = (
                    max(rate, previous * 0.5 ** ((now - measured_at) / SUCCESS_RATE_HALF_LIFE)),
                    now,
                )
                self.attempts = 0.9 * self.attempts + attempts
                self.failed = 0.9 * self.failed + failed

    def _forget(self, proxy: int) -> None:
        self.usual_rates.pop(proxy, None)
        for key in [key for key in self.demand if key[0] == proxy]:
            del self.demand[key], self.reported_at[key]

    def success_rate(self, worker: str, now: float) -> float:
        """Txns a second that it settled of late, over all zones."""
        zones = self.success_rates.get(worker, {}).values()
        return float(
            sum(
                rate * 0.5 ** ((now - measured_at) / SUCCESS_RATE_HALF_LIFE)
                for rate, measured_at in zones
            )
        )

    def expected_demand(self, now: float, proxy: int, traffic_class: int) -> float:
        """What a proxy may bring of a product: as heard; more if it is silent; its usual rate,
        evenly, if unheard.
        """
        reported = self.demand.get((proxy, traffic_class))
        if reported is None:
            return self.usual_rates.get(proxy, 0.0) / len(self.class_indexes)
        return reported * (
            SILENT_DEMAND_FACTOR
            if now > self.reported_at[proxy, traffic_class] + SILENCE_TIMEOUT
            else 1.0
        )

    def attempts_per_request(self, retry_policy: int) -> float:
        """Tries for each txn: further tries follow the share of tries voided of late (way 1: on
        proof, so at most as many).
        """
        return 1.0 + (0, 1, 1, 2)[retry_policy] * (
            self.failed / self.attempts if self.attempts else 0.0
        )

    def capacity_fraction(self, now: float, started_at: float) -> float:
        """What part of its size a worker can do at its age: evenly from the cold share, as it may
        not be sooner.
        """
        age = max(now - started_at, 0.0)
        if age >= self.safety_limits.warm_up_time:
            return 1.0
        return (
            self.safety_limits.initial_capacity_fraction
            + (1.0 - self.safety_limits.initial_capacity_fraction)
            * age
            / self.safety_limits.warm_up_time
        )

    def capacity_per_weight(self, now: float, warm_workers: Iterable[tuple[str, float]]) -> float:
        """What a warm worker carries at least for each unit of weight: what warm ones settled of
        late over theirs. `warm` are their ids and weights. Infinite while none has settled
        anything, as nothing is known.
        """
        total_rate = 0.0
        total_weight = 0.0
        for worker, weight in warm_workers:
            rate = self.success_rate(worker, now)
            if rate:
                total_rate = total_rate + rate
                total_weight = total_weight + weight
        return total_rate / total_weight if total_rate else inf

    def max_rate(self, now: float, started_at: float, capacity: float) -> float:
        """The txns a second beyond which a worker that started at `since` falls over."""
        return (
            CAPACITY_MARGIN
            * self.safety_limits.overload_multiple
            * self.capacity_fraction(now, started_at)
            * capacity
        )
