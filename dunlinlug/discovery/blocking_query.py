"""The state of Consul's blocking queries: the index of the next query, and the retry backoff.

Source: Consul's HTTP API, "Blocking Queries".
"""

from collections.abc import Callable

# Seconds of backoff after the first failure, doubled with each further failure up to the maximum;
# the range is that of Consul's clients.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 10.0
MAX_DOUBLINGS = 10  # of the backoff; a power of 2 above 1,023 is no float
# Minimum seconds from a response to the next query, to limit the query rate at a server that does
# not block.
MIN_QUERY_INTERVAL = 0.05
INDEX_HEADER = "x-consul-index"
MAX_INDEX_DIGITS = 20  # of an unsigned number of 64 bits


class BlockingQuery:
    """The state of one client's queries for one service."""

    def __init__(
        self, service: str, wait: float, random_uniform: Callable[[float, float], float]
    ) -> None:
        """Start without an index, so that the first query returns at once.

        Args:
            service: The name of the service.
            wait: Seconds for which the server may block a query.
            random_uniform: Returns a random number between two bounds, for the backoff.
        """
        self.service = service
        self.wait = wait
        self.random_uniform = random_uniform
        self.index = 0
        self.failure_count = 0

    def request_path(self) -> str:
        """Return the path of the next query; the server blocks a query that contains an index."""
        path = f"/v1/health/service/{self.service}"
        if not self.index:
            return path
        wait_ms = max(1, round(self.wait * 1000))
        return f"{path}?index={self.index}&wait={wait_ms}ms"

    def record_index(self, index: str | None) -> bool:
        """Record a response's index; returns whether the response may differ from the last one.

        Raises:
            ValueError: The index is not an integer above 0 of at most 64 bits, so that it cannot be
                used for a blocking query.
        """
        if not _is_index(index):
            raise ValueError(f"the index is {index!r}, not a whole number above 0")
        number = int(index or 0)
        previous = self.index
        self.failure_count = 0
        # A lower index means that the server's state was restored from a snapshot; a query with the
        # old index would block until the server reaches it again.
        self.index = number if number >= previous else 0
        return number != previous

    def next_backoff(self) -> float:
        """Return the seconds until the next query, with jitter to spread the clients' retries."""
        self.failure_count += 1
        doublings = min(self.failure_count - 1, MAX_DOUBLINGS)
        max_delay = min(INITIAL_BACKOFF * 2.0**doublings, MAX_BACKOFF)
        return self.random_uniform(max_delay / 2, max_delay)


def _is_index(text: str | None) -> bool:
    """Whether a header's value is a whole number above 0 that fits in 64 bits."""
    if text is None or not text.isascii() or not text.isdigit() or len(text) > MAX_INDEX_DIGITS:
        return False
    return int(text) > 0
