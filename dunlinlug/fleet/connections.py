"""What the transports of the membership and of the replicated logs share: bounds and log pacing."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

Address = tuple[str, int]  # host and port
# Takes a connection that another part's listener accepted, with the bytes read of it so far.
ConnectionHandler = Callable[[trio.SocketStream, bytes], Awaitable[None]]
REJECTION_LOG_INTERVAL = 60.0  # seconds between two log lines on rejected messages


class ConnectionLimit:
    """Counts connections of one kind that are open at once, up to a maximum."""

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.open = 0

    def try_acquire(self) -> bool:
        """Counts one more; false, and not counted, if the maximum is open already."""
        if self.open >= self.maximum:
            return False
        self.open += 1
        return True

    def release(self) -> None:
        """Counts one fewer, after a `try_acquire` that was true."""
        self.open -= 1


class RateLimit:
    """Allows so many events in each second, counted from the first one of the second."""

    def __init__(self, maximum_per_second: int) -> None:
        self.maximum_per_second = maximum_per_second
        self.window_start = 0.0
        self.window_count = 0

    def allows(self, now: float) -> bool:
        """Counts one event; false if it is over the maximum. A clock set back starts a second."""
        if now - self.window_start >= 1.0 or now < self.window_start:
            self.window_start = now
            self.window_count = 0
        self.window_count += 1
        return self.window_count <= self.maximum_per_second


class RateLimitedLog:
    """Writes one log event at most once in an interval; what comes between is not written."""

    def __init__(
        self,
        event: str,
        log_event: Callable[..., None],
        clock: Callable[[], float] = trio.current_time,
        interval: float = REJECTION_LOG_INTERVAL,
    ) -> None:
        self.event = event
        self.log_event = log_event
        self.clock = clock
        self.interval = interval
        self.last_written_at = -interval

    def write(self, **fields: Any) -> None:
        """Writes the event with these fields unless the interval since the last has not passed."""
        if self.clock() >= self.last_written_at + self.interval:
            self.last_written_at = self.clock()
            self.log_event(self.event, **fields)


async def receive_exactly(stream: trio.SocketStream, count: int) -> bytes:
    """Reads so many bytes. Raises EOFError if the connection ends before."""
    data = b""
    while len(data) < count:
        chunk = await stream.receive_some(count - len(data))
        if not chunk:
            raise EOFError
        data += chunk
    return data
