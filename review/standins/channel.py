"""The platform's channel of one manager: messages leave one after another and then travel."""

from .record import Record


class Channel:
    """Times by which messages have left the channel and have arrived.

    Attributes:
        rate: Lines that leave in a second.
        overhead: Lines that a message costs beside its own.
        transit: Seconds from leaving the channel to reaching the proxy.
    """

    def __init__(self, record: Record, rate: float, overhead: float, transit: float) -> None:
        self.record = record
        self.rate = rate
        self.overhead = overhead
        self.transit = transit
        self.free_at = 0.0

    def send(self, lines: float) -> float:
        """Queue a message and return when it arrives."""
        now = self.record.clock()
        self.free_at = max(self.free_at, now) + (lines + self.overhead) / self.rate
        return self.free_at + self.transit
