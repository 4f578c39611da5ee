"""Slow start: the fraction of its weight that an endpoint gets while it warms up.

A new endpoint starts at a quarter of its weight and gets another quarter every five seconds, but
never more than the safety limits allow at its age. After the warm-up time of the safety limits it
gets its full weight. The age, in seconds, is counted from the start time in the endpoint list, so
that all managers use the same fraction and a restarted manager continues where it left off.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from dunlinlug.decision.settings import SafetyLimits

# Initial fraction of its weight that a new endpoint gets, and the increase per interval.
SLOW_START_STEP = 0.25
SLOW_START_INTERVAL = 5.0  # seconds
# Keeps an endpoint in the table even if its initial capacity is zero.
MIN_FRACTION = 0.01
# Replaces a warm-up time of 0 in the safety limits, to avoid a division by zero.
MIN_WARM_UP_TIME = 1e-6


@dataclass(frozen=True)
class SlowStart:
    """The slow start schedule that follows from the safety limits.

    An endpoint starts with the fraction `initial_capacity` of its capacity, which grows linearly to
    1 over `warm_up_time` seconds (never 0). For a short time it can handle `overload_multiple`
    times its current capacity.
    """

    warm_up_time: float
    initial_capacity: float
    overload_multiple: float

    @classmethod
    def from_limits(cls, limits: SafetyLimits) -> "SlowStart":
        """Create the schedule from the safety limits of the settings."""
        return cls(
            limits.warm_up_time or MIN_WARM_UP_TIME,
            limits.initial_capacity_fraction,
            limits.overload_multiple,
        )

    def fraction(self, age: float) -> float:
        """Return the fraction of its weight that an endpoint of this age gets."""
        if age >= self.warm_up_time:
            return 1.0
        completed_intervals = int(max(0.0, age // SLOW_START_INTERVAL))
        return self._step_fraction(completed_intervals)

    def min_overload_multiple(self) -> float:
        """Return the lowest ratio, over the slow start, of an endpoint's maximum load to weight."""
        return min(self.overload_multiple, *self._overload_multiples())

    def _overload_multiples(self) -> Iterator[float]:
        """Yield for each step the ratio of maximum load to weight at the start of the step."""
        step_count = max(1, int(-(-self.warm_up_time // SLOW_START_INTERVAL)))
        for step in range(step_count):
            fraction = self._step_fraction(step)
            yield self._max_load(step * SLOW_START_INTERVAL) / fraction
            if fraction == 1.0:
                return

    def _step_fraction(self, step: int) -> float:
        """Return the fraction during a step; steps are numbered from 0."""
        max_load = self._max_load(step * SLOW_START_INTERVAL)
        return max(MIN_FRACTION, min(1.0, SLOW_START_STEP * (1 + step), max_load))

    def _max_load(self, age: float) -> float:
        """Return the maximum load at this age without failure, as a fraction of full capacity."""
        warmed_fraction = min(1.0, age / self.warm_up_time)
        capacity = self.initial_capacity + (1.0 - self.initial_capacity) * warmed_fraction
        return self.overload_multiple * capacity
