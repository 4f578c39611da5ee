"""The state of blocking queries: which index to ask from, and how long to wait after a failure."""

from collections.abc import Callable

FIRST, MOST = (
    0.25,
    10.0,
)  # seconds to wait after a first failure, doubled up to the most: Consul's clients' range
BETWEEN = 0.05  # seconds from an answer to the next query at least: a roster that does not block is not hammered
INDEX = "x-consul-index"


class Following:
    """One follower. Ask with `query()`, report with `came` or `failed`."""

    def __init__(self, service: str, wait: float, uniform: Callable[[float, float], float]) -> None:
        self.service, self.wait, self.uniform = service, wait, uniform
        self.index, self.failures = 0, 0

    def query(self) -> str:
        """The path of the next request; it blocks at the roster once an index is known."""
        blocking = (
            f"?index={self.index}&wait={max(1, round(self.wait * 1000))}ms" if self.index else ""
        )
        return f"/v1/health/service/{self.service}{blocking}"

    def came(self, index: str | None) -> bool:
        """Take an answer's index; tells whether it may hold news. A lower index starts over from nothing.

        Raises ValueError for an answer without a whole index above 0: nothing could be waited for.
        """
        if index is None or not index.isdigit() or not int(index):
            raise ValueError(f"the index is {index!r}, not a whole number above 0")
        number, before, self.failures = int(index), self.index, 0
        self.index = (
            number if number >= before else 0
        )  # Danger: a restored roster would be waited on for ever
        return number != before

    def failed(self) -> float:
        """Seconds to wait before the next request, growing and drawn so that followers spread."""
        self.failures += 1
        most = min(FIRST * 2.0 ** (self.failures - 1), MOST)
        return self.uniform(most / 2, most)
