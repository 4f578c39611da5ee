"""Admission control: how much of each traffic class is admitted while the fleet is overloaded.

A single fraction of the total work is admitted. It decreases multiplicatively while the fleet is
overloaded and increases again in steps. The work to shed is taken first from the classes with the
lowest priority weight per unit of work. `reconciler.update_admission` orders the fractions.
"""

from collections import deque
from math import inf
from statistics import median

from dunlinlug.decision.settings import TrafficClass


class AdmissionController:
    """Decides how much of each traffic class is admitted.

    Owns the request rates by class, the success rate, the admitted fraction of all work and the
    overload threshold, which is the admitted fraction at which the last overload began. The work
    of a request is not known; the latency objective of its class in seconds is used as an estimate,
    as requests that need more work are given more time.
    """

    # Seconds between updates: about the time after which the effect of an update can be observed.
    UPDATE_INTERVAL = 1.0
    # The fleet is overloaded at this median failure rate, or at this ratio of the mean latency to
    # the latency objective.
    OVERLOAD_FAILURE_RATE = 0.08
    OVERLOAD_LATENCY_RATIO = 0.45
    # Below this latency pressure, failures are attributed to other causes than overload ...
    MIN_LATENCY_PRESSURE = 0.8
    # ... except at this failure rate, which is overload at any latency. Slow handshakes and lost
    # responses cause lower failure rates.
    CERTAIN_OVERLOAD_FAILURE_RATE = 0.4
    # Pressure below which admission increases again (hysteresis).
    RECOVERY_PRESSURE = 0.85
    # Factor on the admitted fraction at each update under overload.
    DECREASE_FACTOR = 0.7
    # Factors at each update without overload, below and above `FAST_INCREASE_LIMIT` times the
    # overload threshold.
    FAST_INCREASE_FACTOR = 1.25
    SLOW_INCREASE_FACTOR = 1.04
    FAST_INCREASE_LIMIT = 0.5
    # Admission never falls below this fraction of the best success rate, which decays with each
    # update.
    MIN_THROUGHPUT_FRACTION = 0.5
    THROUGHPUT_DECAY = 0.98
    # Lower bound of the admitted fraction of a class.
    MIN_ADMITTED_FRACTION = 0.05
    # Number of queue lengths whose median shows whether an overload has ended.
    QUEUE_SAMPLES = 16
    # Assumed ratio of fleet capacity to load: one of three zones may be lost without overload.
    SPARE_CAPACITY = 1.5

    def __init__(self, traffic_classes: tuple[TrafficClass, ...]) -> None:
        self.latency_objectives = [
            class_settings.latency_objective for class_settings in traffic_classes
        ]
        self.shed_order = sorted(
            range(len(traffic_classes)),
            key=lambda k: traffic_classes[k].priority_weight / traffic_classes[k].latency_objective,
        )
        # Smoothed requests per second by class, and requests since the last update by class name.
        self.request_rates = [1.0] * len(traffic_classes)
        self.arrivals = dict.fromkeys(
            (class_settings.name for class_settings in traffic_classes), 0
        )
        # Successes since the last update, smoothed successes per second, and their decaying
        # maximum.
        self.succeeded = 0.0
        self.success_rate = 0.0
        self.best_success_rate = 0.0
        self.admitted_fraction = 1.0
        self.overload_threshold = 1.0
        self.updated_at = inf
        self.was_stable = True  # whether the fleet was not overloaded at the last update
        # Recent queue lengths of the endpoints that report them.
        self.queue_lengths = deque[float](maxlen=self.QUEUE_SAMPLES)

    def update(self, now: float, failure_rate: float, mean_latency: float) -> None:
        """Update the admitted fraction if an update is due.

        The failure rate and the latency are medians over the endpoints, which a few faulty
        endpoints do not affect.
        """
        self.updated_at = min(self.updated_at, now)
        if now < self.updated_at + self.UPDATE_INTERVAL:
            return
        elapsed = now - self.updated_at
        self.updated_at = now
        self._update_rates(elapsed)
        # Failures are reported seconds late. If the endpoints' queues are empty, the overload that
        # caused the failures has ended.
        queues_empty = (
            len(self.queue_lengths) == self.QUEUE_SAMPLES and median(self.queue_lengths) < 1.0
        )
        pressure = 0.0 if queues_empty else self._pressure(failure_rate, mean_latency)
        if pressure > 1.0:
            self._decrease()
        elif pressure < self.RECOVERY_PRESSURE:
            self._increase(queues_empty)
        self.was_stable = pressure <= 1.0

    def _update_rates(self, elapsed: float) -> None:
        """Update the smoothed request and success rates with the counts of the elapsed seconds."""
        rates_and_arrivals = zip(self.request_rates, self.arrivals.values(), strict=True)
        self.request_rates = [
            request_rate + (max(arrived, 0.1) / elapsed - request_rate) / 2
            for request_rate, arrived in rates_and_arrivals
        ]
        self.success_rate += (self.succeeded / elapsed - self.success_rate) / 2
        self.best_success_rate = max(
            self.success_rate, self.THROUGHPUT_DECAY * self.best_success_rate
        )
        self.arrivals = dict.fromkeys(self.arrivals, 0)
        self.succeeded = 0

    def _pressure(self, failure_rate: float, mean_latency: float) -> float:
        """Return the load pressure on the fleet; above 1 it is overloaded."""
        latency_pressure = (
            mean_latency
            / self.OVERLOAD_LATENCY_RATIO
            * sum(self.request_rates)
            / sum(self.work_rates())
        )
        # A moderate failure rate indicates overload only if requests are also slow; otherwise
        # single endpoints or connections are faulty. If nearly all requests fail, there are too few
        # successes to measure the latency.
        is_overload = (
            latency_pressure >= self.MIN_LATENCY_PRESSURE
            or failure_rate >= self.CERTAIN_OVERLOAD_FAILURE_RATE
        )
        failure_pressure = failure_rate / self.OVERLOAD_FAILURE_RATE if is_overload else 0.0
        return max(latency_pressure, failure_pressure)

    def _decrease(self) -> None:
        """Lower the admitted fraction, but not below a part of the best recent success rate."""
        if self.was_stable:
            self.overload_threshold = self.admitted_fraction
        best_throughput = self.MIN_THROUGHPUT_FRACTION * self.best_success_rate
        self.admitted_fraction = max(
            self.DECREASE_FACTOR * self.admitted_fraction,
            min(best_throughput / sum(self.request_rates), 1.0),
        )

    def _increase(self, queues_empty: bool) -> None:
        """Raise the admitted fraction: fast far below the overload threshold or without queues."""
        fast_limit = self.FAST_INCREASE_LIMIT * self.overload_threshold
        is_fast = queues_empty or self.admitted_fraction < fast_limit
        factor = self.FAST_INCREASE_FACTOR if is_fast else self.SLOW_INCREASE_FACTOR
        self.admitted_fraction = min(self.admitted_fraction * factor, 1.0)

    def work_rates(self) -> list[float]:
        """Return the incoming work by class: requests per second times latency objective."""
        return [
            request_rate * latency_objective
            for request_rate, latency_objective in zip(
                self.request_rates, self.latency_objectives, strict=True
            )
        ]

    def admitted_fractions(self, available_fraction: float = 1.0) -> list[float]:
        """Return the admitted fraction of each class, given the available fraction of the fleet.

        The results are rounded to tenths, so that small changes cause no orders.
        """
        work_by_class = self.work_rates()
        admitted_fraction = min(self.admitted_fraction, self.SPARE_CAPACITY * available_fraction)
        remaining_shed = (1.0 - admitted_fraction) * sum(work_by_class)
        fractions = [1.0] * len(work_by_class)
        if not remaining_shed:
            return fractions
        for traffic_class in self.shed_order:
            work = work_by_class[traffic_class]
            shed_work = min(remaining_shed, (1.0 - self.MIN_ADMITTED_FRACTION) * work)
            remaining_shed -= shed_work
            rounded = round(10 * (1.0 - shed_work / work)) / 10
            fractions[traffic_class] = max(rounded, self.MIN_ADMITTED_FRACTION)
        return fractions
