"""A trio clock that runs faster or slower than the machine's, to test effects of clock drift."""

import time

import trio


class SkewedClock(trio.abc.Clock):
    """A clock on which `rate` seconds pass in one second of the machine's monotonic clock.

    Raises ValueError for a rate outside 0.5 to 2.
    """

    def __init__(self, rate: float) -> None:
        if not 0.5 <= rate <= 2.0:
            raise ValueError("clock rate must be between 0.5 and 2")
        self.rate = rate
        self.started_at = 0.0

    def start_clock(self) -> None:
        """Start at 0; trio calls this once, when it starts to run."""
        self.started_at = time.monotonic()

    def current_time(self) -> float:
        """Return the seconds since the start on this clock."""
        return (time.monotonic() - self.started_at) * self.rate

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds on the machine's clock until `deadline` on this clock."""
        return (deadline - self.current_time()) / self.rate
