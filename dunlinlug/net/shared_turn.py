"""Turns that tasks share, so that together they use a part of the process's time at most."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

BURST_S = 0.25  # seconds by which the work may be ahead of its pauses


class SharedTurn:
    """Limits the time that a group of tasks works to half of the process's, after a burst.

    Each turn is to be followed by as long a pause. While the pauses that are due are short, turns
    begin at once, as they would without a limit; beyond, in order of arrival.
    """

    def __init__(self) -> None:
        self.lock = trio.Lock()
        self.paused_until = 0.0  # when the pauses that are due have passed

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Work inside the block, without waiting."""
        if self.lock.locked() or self._excess() > 0.0:
            async with self.lock:
                await trio.sleep(max(self._excess(), 0.0))
        started_at = trio.current_time()
        yield
        ended_at = trio.current_time()
        self.paused_until = max(self.paused_until, started_at) + 2 * (ended_at - started_at)

    def _excess(self) -> float:
        """Return the seconds until the work is ahead of its pauses by no more than the burst."""
        return self.paused_until - trio.current_time() - BURST_S
