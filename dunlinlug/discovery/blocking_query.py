"""The state of Consul's blocking queries: the index to ask from, and the delay after a failure.

Source: Consul's HTTP API, "Blocking Queries".
"""

from collections.abc import Callable

# Seconds after a first failure, doubled with each further one up to the maximum; the range that
# Consul's own clients use.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 10.0
# Seconds from an answer to the next query at least, so that a server that does not block is not
# flooded.
MIN_QUERY_INTERVAL = 0.05
INDEX_HEADER = "x-consul-index"


class BlockingQuery:
    """The queries of one client for one service."""

    def __init__(
        self, service: str, wait: float, random_uniform: Callable[[float, float], float]
    ) -> None:
        """Follow a service.

        Args:
            service: Its name.
            wait: Seconds that the server may block a query.
            random_uniform: Gives a random number between two others, for the backoff.
        """
        self.service = service
        self.wait = wait
        self.random_uniform = random_uniform
        self.index = 0
        self.failure_count = 0

    def request_path(self) -> str:
        """The path of the next query; the server blocks it once an index is known."""
        path = f"/v1/health/service/{self.service}"
        if not self.index:
            return path
        wait_ms = max(1, round(self.wait * 1000))
        return f"{path}?index={self.index}&wait={wait_ms}ms"

    def record_index(self, index: str | None) -> bool:
        """Take the index of an answer; says whether the answer may differ from the one before.

        Raises:
            ValueError: The index is not a whole number above 0, so that nothing could be waited
                for.
        """
        if index is None or not index.isdigit() or not int(index):
            raise ValueError(f"the index is {index!r}, not a whole number above 0")
        number = int(index)
        previous = self.index
        self.failure_count = 0
        # Without this, a server whose state was restored from a copy, and whose index is therefore
        # lower, would be waited on for ever.
        self.index = number if number >= previous else 0
        return number != previous

    def next_backoff(self) -> float:
        """Seconds to wait before the next query; random, so that clients do not come together."""
        self.failure_count += 1
        max_delay = min(INITIAL_BACKOFF * 2.0 ** (self.failure_count - 1), MAX_BACKOFF)
        return self.random_uniform(max_delay / 2, max_delay)
