"""Admission control: how much of each traffic class is admitted while the fleet is overloaded.

One fraction of all work is admitted. It falls by a factor while the fleet is overloaded and rises
again in steps; what it leaves out is taken from the classes with the least priority weight per
work first. The fractions reach the tables by `reconciler.update_admission`.
"""

from collections import deque
from math import inf
from statistics import median

from dunlinlug.decision.settings import TrafficClass


class AdmissionController:
    """Decides how much of each traffic class is admitted.

    Owns the request rates by class, the rate of successes, the admitted fraction of all work and
    the fraction at which overload began (the overload threshold). How much work a request is has
    not been told; its latency objective (seconds) stands for it, as longer work gets more time.
    """

    # Seconds between steps: about the time in which a step's effect can be observed.
    UPDATE_INTERVAL = 1.0
    # The fleet is overloaded from this median failure rate, or from this latency in latency
    # objectives.
    OVERLOAD_FAILURE_RATE = 0.08
    OVERLOAD_LATENCY_RATIO = 0.45
    # Fraction of the bound on latency below which failures have other causes than overload ...
    MIN_LATENCY_STRESS = 0.8
    # ... but for this failure rate, which is overload at any latency: slow handshakes and lost
    # answers stay below it.
    CERTAIN_OVERLOAD_FAILURE_RATE = 0.4
    # Fraction of either bound below which more is admitted again (hysteresis).
    RECOVERY_STRESS = 0.85
    # Factor of the admitted fraction for each step under overload.
    DECREASE_FACTOR = 0.7
    # Factors for each step without overload: up to a fraction of the overload threshold, and
    # beyond it.
    FAST_INCREASE_FACTOR = 1.25
    SLOW_INCREASE_FACTOR = 1.04
    FAST_INCREASE_LIMIT = 0.5
    # No less is admitted than this fraction of the best success rate, which decays with each step.
    MIN_THROUGHPUT_FRACTION = 0.5
    THROUGHPUT_DECAY = 0.98
    # Least admitted fraction of a class.
    MIN_ADMITTED_FRACTION = 0.05
    # Queue lengths whose median tells that an overload is over.
    QUEUE_SAMPLES = 16
    # Capacity of a fleet, in times its load: one of three zones may be lost.
    SPARE_CAPACITY = 1.5

    def __init__(self, traffic_classes: tuple[TrafficClass, ...]) -> None:
        self.latency_objectives = [
            class_settings.latency_objective for class_settings in traffic_classes
        ]
        self.shed_order = sorted(
            range(len(traffic_classes)),
            key=lambda k: traffic_classes[k].priority_weight / traffic_classes[k].latency_objective,
        )
        # Requests a second by class, smoothed, and requests since the last step by class name.
        self.request_rates = [1.0] * len(traffic_classes)
        self.arrivals = dict.fromkeys(
            (class_settings.name for class_settings in traffic_classes), 0
        )
        # Successes since the last step; a second, smoothed; the best of late.
        self.succeeded = 0.0
        self.success_rate = 0.0
        self.best_success_rate = 0.0
        self.admitted_fraction = 1.0
        self.overload_threshold = 1.0
        self.updated_at = inf
        self.was_stable = True  # at the last step the fleet was not overloaded
        # Requests that wait at endpoints, where these report it.
        self.queue_lengths = deque[float](maxlen=self.QUEUE_SAMPLES)

    def update(self, now: float, failure_rate: float, mean_latency: float) -> None:
        """Make a step, if one is due, by the median endpoint's failure rate and latency.

        The median is what a few faulty endpoints do not move.
        """
        self.updated_at = min(self.updated_at, now)
        if now < self.updated_at + self.UPDATE_INTERVAL:
            return
        elapsed = now - self.updated_at
        self.updated_at = now
        self._update_rates(elapsed)
        # Failures reported seconds late tell of an overload that is over where nothing waits.
        queues_empty = (
            len(self.queue_lengths) == self.QUEUE_SAMPLES and median(self.queue_lengths) < 1.0
        )
        stress = 0.0 if queues_empty else self._stress(failure_rate, mean_latency)
        if stress > 1.0:
            self._decrease()
        elif stress < self.RECOVERY_STRESS:
            self._increase(queues_empty)
        self.was_stable = stress <= 1.0

    def _update_rates(self, elapsed: float) -> None:
        """Smooth the rates of requests and successes with those of the elapsed seconds."""
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

    def _stress(self, failure_rate: float, mean_latency: float) -> float:
        """Return how near the fleet is to overload; over 1 it is overloaded."""
        latency_stress = (
            mean_latency
            / self.OVERLOAD_LATENCY_RATIO
            * sum(self.request_rates)
            / sum(self.work_rates())
        )
        # A few failures are overload only where requests are slow too: else endpoints or
        # connections fail, not capacity. Where nearly all fail there is no latency to go by.
        is_overload = (
            latency_stress >= self.MIN_LATENCY_STRESS
            or failure_rate >= self.CERTAIN_OVERLOAD_FAILURE_RATE
        )
        failure_stress = failure_rate / self.OVERLOAD_FAILURE_RATE if is_overload else 0.0
        return max(latency_stress, failure_stress)

    def _decrease(self) -> None:
        """Admit less, but no less than half of what succeeded of late."""
        if self.was_stable:
            self.overload_threshold = self.admitted_fraction
        best_throughput = self.MIN_THROUGHPUT_FRACTION * self.best_success_rate
        self.admitted_fraction = max(
            self.DECREASE_FACTOR * self.admitted_fraction,
            min(best_throughput / sum(self.request_rates), 1.0),
        )

    def _increase(self, queues_empty: bool) -> None:
        """Admit more: quickly while far below the overload threshold or where nothing waits."""
        fast_limit = self.FAST_INCREASE_LIMIT * self.overload_threshold
        is_fast = queues_empty or self.admitted_fraction < fast_limit
        factor = self.FAST_INCREASE_FACTOR if is_fast else self.SLOW_INCREASE_FACTOR
        self.admitted_fraction = min(self.admitted_fraction * factor, 1.0)

    def work_rates(self) -> list[float]:
        """Return the work that comes in by class: requests a second times latency objective."""
        return [
            request_rate * latency_objective
            for request_rate, latency_objective in zip(
                self.request_rates, self.latency_objectives, strict=True
            )
        ]

    def admitted_fractions(self, available_fraction: float = 1.0) -> list[float]:
        """Return the admitted fraction of each class, given the available part of the fleet.

        They go in steps of a tenth, so that small moves cost no orders.
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
