"""Outlier detection: limits the weight of endpoints, or ejects them, by what proxies observed.

An endpoint is ejected when `OutlierDetector.update_limits` sets its weight limit to 0. The planner
derives the set of rows to eject from the limits, and `ejections.update_ejections` orders the
changes. The scheme follows Envoy's outlier detection, with an ejection time that grows with each
ejection and a maximum ejected fraction of the fleet, followed by a probation time.
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
    """Statistics of the peers: endpoints whose weight limit is at least `OVERLOADED_LIMIT`."""

    best_failure_rate: float  # upper bound of the best quarter
    median_latency: float  # seconds
    overloaded: bool  # the median failure rate is too high for faults of single endpoints


class OutlierDetector(OutlierStatistics):
    """Sets weight limits by comparing each endpoint with its peers and with the baseline latency.

    Owns for each endpoint the weight limit (the largest fraction of its weight that it may get; 0
    if ejected), the limit that it recovers to, and the time when its limit is next due. The
    baseline is the median latency while the fleet was not overloaded. Under overload, endpoints can
    fail without being faulty; then limits are lowered only for endpoints that fail fast or have no
    successes.
    """

    # Half-life in seconds of past observations: about one report interval.
    HALF_LIFE = 0.8
    # An endpoint is failing if it has at least this many failed attempts, this failure rate, and
    # this multiple of the failure rate of the best quarter. The last condition keeps endpoints in
    # use when an overload raises all failure rates.
    MIN_FAILED = 3.0
    FAILURE_RATE_THRESHOLD = 0.35
    MIN_FAILURE_CONTRAST = 3.0
    # Multiple of the baseline latency up to which an endpoint is not overloaded.
    MAX_LATENCY_RATIO = 1.6
    # Failure rate from which an endpoint counts as unresponsive.
    UNRESPONSIVE_FAILURE_RATE = 0.9
    # Failure rate up to which an endpoint may recover weight.
    MAX_RECOVERED_FAILURE_RATE = 0.15
    # Median failure rate from which the fleet is overloaded.
    OVERLOAD_FAILURE_RATE = 0.08
    # Weight of each new median in the baseline, which thus averages dozens of reports.
    BASELINE_SMOOTHING = 0.03
    # Maximum fraction of the ready weight that may be lost to partly failing endpoints: if more of
    # them fail, the failures have a common cause.
    MAX_EJECTED_FRACTION = 0.2
    # Maximum fraction if the endpoint is unresponsive. It allows for a partitioned or lost zone as
    # long as a part of the fleet remains healthy.
    MAX_UNRESPONSIVE_FRACTION = 0.8
    # Probation time in seconds, a few report intervals, and the weight limit during probation: the
    # load that an endpoint can handle while warming up.
    PROBATION_TIME = 3.0
    PROBATION_LIMIT = 0.25
    # Limit of an overloaded endpoint; a limit of 0.25 would shift too much load to the others.
    OVERLOADED_LIMIT = 0.5
    # An endpoint is close to overload at this multiple of the median latency, measured over at
    # least this many succeeded attempts.
    SLOW_LATENCY_RATIO = 2.5
    MIN_SLOW_SUCCEEDED = 8.0
    # Limit of an endpoint after an overload or close to one, as its listed weight is too high, and
    # how long the limit holds in seconds.
    REDUCED_LIMIT = 0.75
    REDUCED_TIME = 60.0
    # First ejection time in seconds, which doubles with each further ejection up to the maximum.
    BASE_EJECTION_TIME = 4.0
    MAX_EJECTION_TIME = 16.0
    HEALTH_CHECK_INTERVAL = 1.0  # seconds between health checks of an ejected endpoint

    def __init__(self, rng: Random, baseline_delay: float) -> None:
        super().__init__(
            self.HALF_LIFE,
            self.BASE_EJECTION_TIME,
            OutlierThresholds(
                self.OVERLOADED_LIMIT, 1.0, self.MIN_FAILED, self.FAILURE_RATE_THRESHOLD
            ),
        )
        self.rng = rng
        # Seconds without overload after which the baseline is valid, and the time when it becomes
        # valid.
        self.baseline_delay = baseline_delay
        self.baseline_valid_at = inf
        self.baseline_latency = 0.0  # seconds; 0: none yet
        self.max_ejected_fraction = self.MAX_EJECTED_FRACTION

    def update_limits(self, now: float, weights: dict[int, float], total_weight: float) -> None:
        """Lower the weight limits of unhealthy endpoints, worst first, and raise limits when due.

        `weights` has the listed weights of the ready rows, and `total_weight` is their sum.
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
            # A manager that started during an overload has no baseline latency and cannot
            # distinguish overloaded endpoints from unresponsive ones.
            return
        candidates = self._candidates(now, peers)
        for row in candidates:
            weight_limit = self._next_limit(row, now, peers)
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
        """Track the median latency while there is no overload, and when it becomes valid."""
        if now < self.baseline_valid_at:
            # Failures are reported late, so fast first responses do not prove that there is no
            # overload.
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
        """Return the rows whose limit may change, those with most failed attempts first."""
        slow_rows: list[int] = []
        if peers.median_latency and not peers.overloaded:
            slow_rows = self.slow_peers(self.SLOW_LATENCY_RATIO * peers.median_latency)
        return sorted(
            {*self.suspect_rows, *slow_rows, *self.due_recoveries(now)},
            key=lambda row: (-self.failed[row], row),
        )

    def _next_limit(self, row: int, now: float, peers: PeerConditions) -> float:
        """Return the weight limit that the observations of a row call for.

        Also sets the limit that the endpoint recovers to. That one is kept even if the new weight
        limit is not applied because the fleet would lose too much weight.
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
        """Whether enough attempts were slow enough to expect an overload of the endpoint."""
        slow_latency = self.SLOW_LATENCY_RATIO * peers.median_latency
        return succeeded >= self.MIN_SLOW_SUCCEEDED and 0.0 < slow_latency <= self.mean_latency(row)

    def _max_lost_fraction(self, row: int, weight_limit: float) -> float:
        """Return the fraction of the ready weight that may be lost if this row gets this limit."""
        is_unresponsive = self.failure_rate(row) >= self.UNRESPONSIVE_FAILURE_RATE
        if is_unresponsive and not weight_limit:
            return self.MAX_UNRESPONSIVE_FRACTION
        return self.max_ejected_fraction

    def _set_limit(self, row: int, weight_limit: float, now: float) -> None:
        """Set a row's limit and when it is next due. The caller must update the indexes."""
        # Drawn for every new limit, not only for ejections: the module has a single random number
        # generator, and skipping this draw would change all later ones.
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
