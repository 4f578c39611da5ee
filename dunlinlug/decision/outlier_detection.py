"""Outlier detection: which endpoints lose weight, or are ejected, by what proxies observed.

An endpoint is ejected where its weight limit becomes 0, in `OutlierDetector.update_limits`. The
planner makes of it the set of rows that should be ejected, and the reconciler orders it
(`reconciler.update_ejections`). The form is that of Envoy's outlier detection: an ejection time
that grows with each ejection, a largest ejected part of the fleet, then a time of probation.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from dunlinlug.decision.state.outlier_statistics import (
    OutlierStatistics,
    OutlierThresholds,
    sorted_median,
)


@dataclass(frozen=True)
class PeerConditions:
    """What endpoints are compared with: figures of all that receive traffic at full weight."""

    best_failure_rate: float  # of the best quarter
    median_latency: float  # seconds
    overloaded: bool  # the median endpoint fails too often for a fault of single endpoints


class OutlierDetector(OutlierStatistics):
    """Judges endpoints by what proxies observed, in contrast to their peers and to the baseline.

    Owns each endpoint's weight limit (the most of its weight that it gets; 0: ejected), the limit
    that it recovers to, when it is next due, and the baseline: the median latency while the fleet
    was not overloaded. Weight limits of a deployment under overload stay as they are, as then the
    endpoints that fail are not those at fault.
    """

    # Seconds in which a past observation loses half its weight: about one report interval.
    HALF_LIFE = 0.8
    # An endpoint is failing with this many failed attempts, at this failure rate, and at this
    # many times the rate of the best quarter, so that an overload condemns none.
    MIN_FAILED = 3.0
    FAILURE_RATE_THRESHOLD = 0.35
    MIN_FAILURE_CONTRAST = 3.0
    # Times the baseline latency up to which an endpoint is not overloaded.
    MAX_LATENCY_RATIO = 1.6
    # Failure rate of an endpoint that does not respond at all.
    UNRESPONSIVE_FAILURE_RATE = 0.9
    # Failure rate up to which an endpoint gets more weight again.
    MAX_RECOVERED_FAILURE_RATE = 0.15
    # Median failure rate from which the fleet is overloaded.
    OVERLOAD_FAILURE_RATE = 0.08
    # Fraction of each new median that goes into the baseline: dozens of reports make it.
    BASELINE_SMOOTHING = 0.03
    # Fraction of the ready weight that may be lost to ejections: if more fails in part, the cause
    # is common to them ...
    MAX_EJECTED_FRACTION = 0.2
    # ... but unresponsive endpoints may go while a part of the fleet does well: a zone that is
    # partitioned or lost.
    MAX_UNRESPONSIVE_FRACTION = 0.8
    # Seconds on probation, a few report intervals, and the weight limit meanwhile: what an
    # endpoint that is warming up bears.
    PROBATION_TIME = 3.0
    PROBATION_LIMIT = 0.25
    # Limit of an overloaded or slow endpoint; a quarter pushed too much onto the others.
    OVERLOADED_LIMIT = 0.5
    # Times the median latency, over so many succeeded attempts, at which overload is near.
    SLOW_LATENCY_RATIO = 2.5
    MIN_SLOW_SUCCEEDED = 8.0
    # Limit after an overload or ahead of it, and seconds of it: the listed weight is too high.
    REDUCED_LIMIT = 0.75
    REDUCED_TIME = 60.0
    # Seconds of the first ejection, doubled with each further one up to the largest; seconds
    # between health checks of an ejected endpoint.
    BASE_EJECTION_TIME = 4.0
    MAX_EJECTION_TIME = 16.0
    HEALTH_CHECK_INTERVAL = 1.0

    def __init__(self, rng: Random, baseline_delay: float) -> None:
        super().__init__(
            self.HALF_LIFE,
            self.BASE_EJECTION_TIME,
            OutlierThresholds(
                self.OVERLOADED_LIMIT, 1.0, self.MIN_FAILED, self.FAILURE_RATE_THRESHOLD
            ),
        )
        self.rng = rng
        # Seconds without overload that make the baseline valid, and the time at which it is.
        self.baseline_delay = baseline_delay
        self.baseline_valid_at = inf
        self.baseline_latency = 0.0  # seconds; 0: none yet
        self.max_ejected_fraction = self.MAX_EJECTED_FRACTION

    def update_limits(self, now: float, weights: dict[int, float], total_weight: float) -> None:
        """Lower weight limits on evidence, the worst endpoint first, and raise them when due.

        `weights` are the listed weights of the ready rows and `total_weight` their sum.
        """
        if len(self.peer_failure_rates) < 2:
            return
        peers = PeerConditions(
            self.peer_failure_rates[len(self.peer_failure_rates) // 4],
            self.median_peer_latency(),
            sorted_median(self.peer_failure_rates) >= self.OVERLOAD_FAILURE_RATE,
        )
        lost_weight = sum(
            weights[row] * (1.0 - self.weight_limits[row]) for row in sorted(self.limited_rows)
        )
        self._update_baseline(now, peers)
        if peers.overloaded and not self.baseline_latency:
            # Without this, a manager that began during an overload would take overloaded
            # endpoints for unresponsive ones.
            return
        candidates = self._candidates(now, peers)
        for row in candidates:
            weight_limit = self._judge(row, now, peers)
            weight_loss = weights[row] * (self.weight_limits[row] - weight_limit)
            max_lost_weight = self._max_lost_fraction(row, weight_limit) * total_weight
            is_too_much = weight_loss > 0 and lost_weight + weight_loss > max_lost_weight
            if not weight_loss or is_too_much:
                continue
            lost_weight += weight_loss
            self._set_limit(row, weight_limit, now)
        for row in candidates:
            self.update_indexes(row)

    def _update_baseline(self, now: float, peers: PeerConditions) -> None:
        """Follow the median latency while there is no overload, and say when it can be trusted."""
        if now < self.baseline_valid_at:
            # Failures are reported late, so that quick first answers do not prove that there is
            # no overload.
            valid_at = now + self.baseline_delay
            if not peers.overloaded:
                valid_at = min(self.baseline_valid_at, valid_at)
            self.baseline_valid_at = valid_at
        if peers.overloaded:
            return
        if self.baseline_latency:
            self.baseline_latency += self.BASELINE_SMOOTHING * (
                peers.median_latency - self.baseline_latency
            )
        else:
            self.baseline_latency += peers.median_latency

    def _candidates(self, now: float, peers: PeerConditions) -> list[int]:
        """Return the rows whose limit can change, most failed attempts first, then by row."""
        slow_rows: list[int] = []
        if peers.median_latency and not peers.overloaded:
            slow_rows = self.slow_peers(self.SLOW_LATENCY_RATIO * peers.median_latency)
        return sorted(
            {*self.suspect_rows, *slow_rows, *self.due_recoveries(now)},
            key=lambda row: (-self.failed[row], row),
        )

    def _judge(self, row: int, now: float, peers: PeerConditions) -> float:
        """Return the weight limit that the evidence calls for.

        Sets the limit that the endpoint recovers to, which holds also where the new weight limit
        would take too much from the fleet.
        """
        weight_limit = self.weight_limits[row]
        failure_rate = self.failure_rate(row)
        succeeded = self.attempts[row] - self.failed[row]
        is_failing = self.failed[row] >= self.MIN_FAILED and failure_rate >= max(
            self.FAILURE_RATE_THRESHOLD, self.MIN_FAILURE_CONTRAST * peers.best_failure_rate
        )
        is_fast = self.mean_latency(row) <= self.MAX_LATENCY_RATIO * self.baseline_latency
        if is_failing and (is_fast or succeeded < 0.5):
            return 0.0
        if is_failing and not peers.overloaded:
            self.recovery_limits[row] = self.REDUCED_LIMIT
            return min(weight_limit, self.OVERLOADED_LIMIT)
        if weight_limit == 1.0 and not peers.overloaded and self._is_slow(row, succeeded, peers):
            self.recovery_limits[row] = self.REDUCED_LIMIT
            return self.REDUCED_LIMIT
        is_healthy = failure_rate <= self.MAX_RECOVERED_FAILURE_RATE and succeeded >= 1.0
        if now >= self.due_at[row] and is_healthy and is_fast:
            has_recovered = weight_limit == self.recovery_limits[row]
            return 1.0 if has_recovered else self.recovery_limits[row]
        return weight_limit

    def _is_slow(self, row: int, succeeded: float, peers: PeerConditions) -> bool:
        """Whether so many attempts took so long that the endpoint will soon be overloaded."""
        slow_latency = self.SLOW_LATENCY_RATIO * peers.median_latency
        return succeeded >= self.MIN_SLOW_SUCCEEDED and 0.0 < slow_latency <= self.mean_latency(row)

    def _max_lost_fraction(self, row: int, weight_limit: float) -> float:
        """Return how much of the ready weight may be lost if this row gets this limit."""
        is_unresponsive = self.failure_rate(row) >= self.UNRESPONSIVE_FAILURE_RATE
        if is_unresponsive and not weight_limit:
            return self.MAX_UNRESPONSIVE_FRACTION
        return self.max_ejected_fraction

    def _set_limit(self, row: int, weight_limit: float, now: float) -> None:
        """Set a row's limit and when it is next due; the indexes are to be updated after it."""
        # Drawn for every new limit, not for ejections alone: all draws of the module come from
        # one generator, and leaving this one out would change those that follow.
        ejection_time = self.ejection_times[row] * self.rng.uniform(1, 1.2)
        if weight_limit == 0.0:
            delay = ejection_time
        elif weight_limit == self.REDUCED_LIMIT:
            delay = self.REDUCED_TIME
        else:
            delay = self.PROBATION_TIME
        self.weight_limits[row] = weight_limit
        self.due_at[row] = now + delay
        if weight_limit == 0.0:
            self.ejection_times[row] = min(2 * self.ejection_times[row], self.MAX_EJECTION_TIME)
        elif weight_limit == 1.0:
            self.ejection_times[row] = self.BASE_EJECTION_TIME
