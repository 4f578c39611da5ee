"""A clock that goes faster or slower than the machine's: days run managers whose clocks drift
apart.
"""

import time

import trio


class SkewedClock(trio.abc.Clock):
    """`rate` seconds of this clock pass in one true second."""

    def __init__(self, rate: float) -> None:
        if not 0.5 <= rate <= 2.0:
            raise ValueError("a clock's rate is to be from 0.5 to 2")
        self.rate = rate
        self.started_at = 0.0

    def start_clock(self) -> None:
        self.started_at = time.monotonic()

    def current_time(self) -> float:
        return (time.monotonic() - self.started_at) * self.rate

    def deadline_to_sleep_time(self, deadline: float) -> float:
        return (deadline - self.current_time()) / self.rate
