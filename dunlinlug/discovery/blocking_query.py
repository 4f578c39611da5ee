"""The state of blocking queries: which index to ask from, and how long to wait after a failure."""

from collections.abc import Callable

# seconds to wait after a first failure, doubled up to the most: Consul's clients' range
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 10.0
# seconds from an answer to the next query at least: a roster that does not block is not hammered
MIN_QUERY_INTERVAL = 0.05
INDEX_HEADER = "x-consul-index"


class BlockingQuery:
    """One follower. Ask with `query()`, report with `came` or `failed`."""

    def __init__(
        self, service: str, wait: float, random_uniform: Callable[[float, float], float]
    ) -> None:
        self.service = service
        self.wait = wait
        self.random_uniform = random_uniform
        self.index = 0
        self.failure_count = 0

    def request_path(self) -> str:
        """The path of the next request; it blocks at the roster once an index is known."""
        blocking = (
            f"?index={self.index}&wait={max(1, round(self.wait * 1000))}ms" if self.index else ""
        )
        return f"/v1/health/service/{self.service}{blocking}"

    def record_index(self, index: str | None) -> bool:
        """Take an answer's index; tells whether it may hold news. A lower index starts over from
        nothing.

        Raises ValueError for an answer without a whole index above 0: nothing could be waited for.
        """
        if index is None or not index.isdigit() or not int(index):
            raise ValueError(f"the index is {index!r}, not a whole number above 0")
        number = int(index)
        previous = self.index
        self.failure_count = 0
        self.index = (
            number if number >= previous else 0
        )  # Danger: a restored roster would be waited on for ever
        return number != previous

    def next_backoff(self) -> float:
        """Seconds to wait before the next request, growing and drawn so that followers spread."""
        self.failure_count += 1
        max_delay = min(INITIAL_BACKOFF * 2.0 ** (self.failure_count - 1), MAX_BACKOFF)
        return self.random_uniform(max_delay / 2, max_delay)
