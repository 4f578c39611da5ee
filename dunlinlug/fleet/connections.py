"""Connection limits, rate limits and log throttling for the transports between managers."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

Address = tuple[str, int]  # host and port
# Handles a connection that another component's listener accepted; the bytes are those read so far.
ConnectionHandler = Callable[[trio.SocketStream, bytes], Awaitable[None]]
REJECTION_LOG_INTERVAL = 60.0  # seconds between log lines about rejected messages


class ConnectionLimit:
    """Limits how many connections of one kind are open at once."""

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.open = 0

    def try_acquire(self) -> bool:
        """Counts one more connection; returns false, uncounted, if the maximum is reached."""
        if self.open >= self.maximum:
            return False
        self.open += 1
        return True

    def release(self) -> None:
        """Counts one connection fewer; call it once for each successful `try_acquire`."""
        self.open -= 1


class RateLimitedLog:
    """Writes a log event at most once per interval; occurrences in between are dropped."""

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
        """Writes the event with these fields, unless one was written within the interval."""
        if self.clock() >= self.last_written_at + self.interval:
            self.last_written_at = self.clock()
            self.log_event(self.event, **fields)


async def receive_exactly(stream: trio.SocketStream, count: int) -> bytes:
    """Reads exactly `count` bytes. Raises EOFError if the connection ends first."""
    data = b""
    while len(data) < count:
        chunk = await stream.receive_some(count - len(data))
        if not chunk:
            raise EOFError
        data += chunk
    return data
