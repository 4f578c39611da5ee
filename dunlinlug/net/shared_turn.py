"""Turns that tasks share, so that together they use a part of the process's time at most."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class SharedTurn:
    """Limits the time that a group of tasks works to half of the process's, in order of arrival."""

    def __init__(self) -> None:
        self.lock = trio.Lock()

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Work inside the block, without waiting; the next turn begins after as long a pause."""
        async with self.lock:
            started_at = trio.current_time()
            yield
            await trio.sleep(trio.current_time() - started_at)
