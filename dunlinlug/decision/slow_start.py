"""Slow start: the fraction of its weight that an endpoint gets while it warms up.

A fresh endpoint begins at a quarter of its weight and gets a quarter more every five seconds of
age, but never more than it bears by the safety limits at that age; once it is warm by them, it gets
all. Age is counted from the start time of the endpoint list, so that a restarted manager goes on
where the former one was, and all managers together send what one would. Ages are seconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from dunlinlug.decision.settings import SafetyLimits

# Fraction of its weight that a fresh endpoint gets first, and that each interval may add.
SLOW_START_STEP = 0.25
SLOW_START_INTERVAL = 5.0
# Without this, an endpoint that bears nothing at its start would have no entry at all.
MIN_FRACTION = 0.01
# Divides, where the safety limits know no warm-up.
MIN_WARM_UP_TIME = 1e-6


@dataclass(frozen=True)
class SlowStart:
    """What the safety limits tell of endpoints that warm up.

    An endpoint bears `initial_capacity` of its capacity when it starts, evenly more until it is
    warm after `warm_up_time` seconds (never 0), and `overload_multiple` times that for a while.
    """

    warm_up_time: float
    initial_capacity: float
    overload_multiple: float

    @classmethod
    def from_limits(cls, limits: SafetyLimits) -> "SlowStart":
        """Take them from the safety limits of the settings."""
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
        """Return how many times its weight an endpoint bears at the weakest moment."""
        return min(self.overload_multiple, *self._overload_multiples())

    def _overload_multiples(self) -> Iterator[float]:
        """Yield by step how many times its weight an endpoint bears when the step begins."""
        step_count = max(1, int(-(-self.warm_up_time // SLOW_START_INTERVAL)))
        for step in range(step_count):
            fraction = self._step_fraction(step)
            yield self._bearable_load(step * SLOW_START_INTERVAL) / fraction
            if fraction == 1.0:
                return

    def _step_fraction(self, step: int) -> float:
        """Return the fraction for the interval after so many."""
        bearable_load = self._bearable_load(step * SLOW_START_INTERVAL)
        return max(MIN_FRACTION, min(1.0, SLOW_START_STEP * (1 + step), bearable_load))

    def _bearable_load(self, age: float) -> float:
        """Return the load that does not push over an endpoint of this age, of a warm one's."""
        warmed_fraction = min(1.0, age / self.warm_up_time)
        capacity = self.initial_capacity + (1.0 - self.initial_capacity) * warmed_fraction
        return self.overload_multiple * capacity
