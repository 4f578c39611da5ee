"""Slow start: the fraction of its weight that an endpoint gets while it warms up.

A fresh endpoint begins at a quarter of its weight and gets a quarter more every five seconds of
age, until it is warm by the safety limits. Age is counted from the start time of the endpoint
list, so that a restarted manager goes on where the former one was. Ages are seconds.
"""

from dunlinlug.decision.settings import SafetyLimits

# Fraction of its weight that a fresh endpoint gets first, and that each interval adds.
SLOW_START_STEP = 0.25
SLOW_START_INTERVAL = 5.0
# Divides, where the safety limits know no warm-up.
MIN_WARM_UP_TIME = 1e-6


def warm_up_time(limits: SafetyLimits) -> float:
    """Return the seconds that an endpoint needs to be warm, never 0."""
    return limits.warm_up_time or MIN_WARM_UP_TIME


def slow_start_fraction(age: float, warm_up_seconds: float) -> float:
    """Return the fraction of its weight that an endpoint of this age gets."""
    if age >= warm_up_seconds:
        return 1.0
    return min(1.0, SLOW_START_STEP * (1 + max(0, age // SLOW_START_INTERVAL)))


def min_overload_multiple(limits: SafetyLimits) -> float:
    """Return how many times its weight an endpoint bears at the weakest moment of its slow start.

    The safety limits tell the capacity of a fresh endpoint, which grows until it is warm, and how
    many times its capacity an endpoint bears for a while.
    """
    initial_capacity = limits.initial_capacity_fraction
    capacity_step = (
        (1.0 - limits.initial_capacity_fraction) * SLOW_START_INTERVAL / warm_up_time(limits)
    )
    return limits.overload_multiple * min(
        min(1.0, initial_capacity + n * capacity_step) / SLOW_START_STEP / (n + 1)
        for n in range(round(1 / SLOW_START_STEP))
    )
