"""What proxies observed at each endpoint, and in what order the endpoints stand by it.

State alone: nothing is decided here. An observation is stored as of its last report, so that an
endpoint's figures change by its own reports alone; what is asked of all endpoints (medians, sums,
who is due) is kept up with each report. A slow plain model stands in
`tests/decision/state/test_incremental_state.py`.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from math import inf
from typing import NamedTuple, TypeVar

# Sums are whole numbers of this fraction: however long they are kept up, nothing drifts.
FIXED_POINT_SCALE = 2.0**80
# Two sums are taken to differ if they do by this part, and not by rounding.
ROUNDING_TOLERANCE = 1e-9

FigureAndRow = tuple[float, int]
Sortable = TypeVar("Sortable", float, FigureAndRow)


def remove_sorted(entries: list[Sortable], entry: Sortable) -> None:
    """Take one such entry out of a sorted list."""
    del entries[bisect_left(entries, entry)]


def sorted_median(figures: list[float]) -> float:
    """Return the median of sorted figures, as `statistics.median` gives it."""
    half = len(figures) // 2
    return figures[half] if len(figures) % 2 else (figures[half - 1] + figures[half]) / 2


class OutlierThresholds(NamedTuple):
    """What an endpoint's figures are held against when it is put into the indexes."""

    peer_limit: float  # weight limit from which an endpoint is a peer
    min_attempts: float  # from which its figures count
    min_failed: float  # from which it is a suspect ...
    failure_rate: float  # ... at this failure rate


# A row's weight limit, recovery limit, due time, attempts, failed attempts and sum of latencies.
Columns = tuple[float, ...]


class OutlierStatistics:
    """Owns what was observed by row, in parallel arrays, and the indexes over them.

    Attempts, failed attempts and latencies are sums that fade by half in `half_life` seconds. The
    indexes are over the ready rows: `failure_rates` and `mean_latencies` are the sorted figures of
    those that are not ejected and have enough attempts, `peer_failure_rates` and `peer_latencies`
    of those among them that have the peer limit or more. Ejected rows have a weight limit of 0,
    rows on probation one below the peer limit, limited rows one below 1; suspect rows have enough
    failed attempts at the threshold's failure rate. Times are seconds.
    """

    # The indexes, which `rebuild_derived` makes of the arrays.
    DERIVED = (
        "failure_rates",
        "mean_latencies",
        "peer_failure_rates",
        "peer_latencies",
        "ejection_deadlines",
        "recovery_deadlines",
        "suspect_rows",
        "limited_rows",
        "probation_rows",
        "ejected_rows",
        "totals",
        "indexed_columns",
    )

    def __init__(
        self, half_life: float, initial_ejection_time: float, thresholds: OutlierThresholds
    ) -> None:
        self.half_life = half_life
        self.initial_ejection_time = initial_ejection_time
        self.thresholds = thresholds
        # Fading sums.
        self.attempts = list[float]()
        self.failed = list[float]()
        self.latency_sums = list[float]()
        self.reported_at = list[float]()
        self.ejection_times = list[float]()  # seconds that the next ejection takes
        self.due_at = list[float]()  # when the weight limit may next rise
        self.weight_limits = list[float]()  # fraction of its weight that it gets; 0: ejected
        self.recovery_limits = list[float]()  # the weight limit that it returns to
        self.ready_rows = set[int]()
        self.changed_rows = set[int]()
        self.failure_rates = list[float]()
        self.mean_latencies = list[float]()
        self.peer_failure_rates = list[float]()
        self.peer_latencies = list[FigureAndRow]()
        self.ejection_deadlines = list[FigureAndRow]()
        self.recovery_deadlines = list[FigureAndRow]()
        self.suspect_rows = set[int]()
        self.limited_rows = set[int]()
        self.probation_rows = set[int]()
        self.ejected_rows = set[int]()
        # Attempts and failed attempts of the rows in `failure_rates`, in fixed point.
        self.totals = [0, 0]
        # The columns by which a row stands in the indexes.
        self.indexed_columns: dict[int, Columns] = {}

    def add_endpoint(self, row: int) -> None:
        """Begin a row, a new one or a former endpoint's, with nothing observed."""
        for column in (
            self.attempts,
            self.failed,
            self.latency_sums,
            self.reported_at,
            self.due_at,
        ):
            column[row : row + 1] = [0.0]
        self.weight_limits[row : row + 1] = [1.0]
        self.recovery_limits[row : row + 1] = [1.0]
        self.ejection_times[row : row + 1] = [self.initial_ejection_time]
        self.update_indexes(row)

    def set_ready(self, rows: Iterable[int], ready: list[bool]) -> None:
        """Take in which of these rows are ready now (`ready` has it by row)."""
        for row in rows:
            if ready[row]:
                self.ready_rows.add(row)
            else:
                self.ready_rows.discard(row)
            self.update_indexes(row)

    def take_changed_rows(self) -> set[int]:
        """Return the rows whose weight limit or readiness changed since this was asked last."""
        changed = self.changed_rows
        self.changed_rows = set()
        return changed

    def reset(self, row: int, weight_limit: float, due_at: float) -> None:
        """Go on with nothing observed, at this weight limit."""
        self.attempts[row] = 0.0
        self.failed[row] = 0.0
        self.latency_sums[row] = 0.0
        self.weight_limits[row] = weight_limit
        self.due_at[row] = due_at
        self.recovery_limits[row] = max(self.recovery_limits[row], weight_limit)
        self.update_indexes(row)

    def postpone(self, row: int) -> None:
        """Let a row not be due before it is reset."""
        self.due_at[row] = inf
        self.update_indexes(row)

    def record(
        self, row: int, now: float, attempts: float, failed: float, mean_latency: float
    ) -> None:
        """Add a report of attempts and failed ones; the latency is of those that succeeded."""
        decay = 0.5 ** ((now - self.reported_at[row]) / self.half_life)
        self.reported_at[row] = now
        self.attempts[row] = self.attempts[row] * decay + attempts
        self.failed[row] = self.failed[row] * decay + failed
        self.latency_sums[row] = self.latency_sums[row] * decay + mean_latency * (attempts - failed)
        self.update_indexes(row)

    def rebuild_derived(self) -> None:
        """Make the indexes of the arrays, where these alone were read."""
        self.thresholds = OutlierThresholds(*self.thresholds)
        changed = self.changed_rows
        self.changed_rows = set()
        for row in self.ready_rows:
            self.update_indexes(row)
        self.changed_rows = changed

    def failure_rate(self, row: int) -> float:
        """Return the fraction of a row's attempts that failed."""
        return self.failed[row] / self.attempts[row] if self.attempts[row] else 0.0

    def mean_latency(self, row: int) -> float:
        """Return the mean latency of a row's successes, in seconds."""
        return self.latency_sums[row] / max(self.attempts[row] - self.failed[row], 0.5)

    def update_indexes(self, row: int) -> None:
        """Bring the indexes in line with a row's columns: to be called after any change of them."""
        new: Columns | None = None
        if row in self.ready_rows:
            new = (
                self.weight_limits[row],
                self.recovery_limits[row],
                self.due_at[row],
                self.attempts[row],
                self.failed[row],
                self.latency_sums[row],
            )
        old = self.indexed_columns.get(row)
        if new == old:
            return
        if old:
            self._remove_from_indexes(row, old)
            del self.indexed_columns[row]
        if new:
            self._add_to_indexes(row, new)
            self.indexed_columns[row] = new
        # A row that is not indexed compares as if it had no weight limit.
        if (new[0] if new else -1.0) != (old[0] if old else -1.0):
            self.changed_rows.add(row)

    @staticmethod
    def _rates(columns: Columns) -> tuple[float, float]:
        """Return the failure rate and the mean latency of a row's columns."""
        _, _, _, attempts, failed, latency_sum = columns
        return failed / attempts if attempts else 0.0, latency_sum / max(attempts - failed, 0.5)

    def _add_to_indexes(self, row: int, columns: Columns) -> None:
        """Put a row into the indexes where its columns belong."""
        weight_limit, recovery_limit, due_at, attempts, failed, _ = columns
        peer_limit, min_attempts, min_failed, failure_rate_threshold = self.thresholds
        failure_rate, mean_latency = self._rates(columns)
        if weight_limit and attempts >= min_attempts:
            insort(self.failure_rates, failure_rate)
            insort(self.mean_latencies, mean_latency)
            self.totals[0] += int(attempts * FIXED_POINT_SCALE)
            self.totals[1] += int(failed * FIXED_POINT_SCALE)
            if weight_limit >= peer_limit:
                insort(self.peer_failure_rates, failure_rate)
                insort(self.peer_latencies, (mean_latency, row))
        if weight_limit and failed >= min_failed and failure_rate >= failure_rate_threshold:
            self.suspect_rows.add(row)
        if weight_limit != 1.0:
            self.limited_rows.add(row)
        if 0.0 < weight_limit < peer_limit:
            self.probation_rows.add(row)
        if not weight_limit:
            self.ejected_rows.add(row)
            insort(self.ejection_deadlines, (due_at, row))
        elif (weight_limit, recovery_limit) != (1.0, 1.0):
            insort(self.recovery_deadlines, (due_at, row))

    def _remove_from_indexes(self, row: int, columns: Columns) -> None:
        """Take a row out of the indexes, where its columns were when it was put in."""
        weight_limit, recovery_limit, due_at, attempts, failed, _ = columns
        peer_limit, min_attempts, _, _ = self.thresholds
        failure_rate, mean_latency = self._rates(columns)
        if weight_limit and attempts >= min_attempts:
            remove_sorted(self.failure_rates, failure_rate)
            remove_sorted(self.mean_latencies, mean_latency)
            self.totals[0] -= int(attempts * FIXED_POINT_SCALE)
            self.totals[1] -= int(failed * FIXED_POINT_SCALE)
            if weight_limit >= peer_limit:
                remove_sorted(self.peer_failure_rates, failure_rate)
                remove_sorted(self.peer_latencies, (mean_latency, row))
        for rows in (
            self.suspect_rows,
            self.limited_rows,
            self.probation_rows,
            self.ejected_rows,
        ):
            rows.discard(row)
        if not weight_limit:
            remove_sorted(self.ejection_deadlines, (due_at, row))
        elif (weight_limit, recovery_limit) != (1.0, 1.0):
            remove_sorted(self.recovery_deadlines, (due_at, row))

    def attempt_totals(self, failure_rate: float) -> tuple[float, float]:
        """Return the attempts and failed attempts of all rows that count.

        Where just this part of them failed the last digit tells, so that next to it they are added
        up row by row, in order.
        """
        attempts = self.totals[0] / FIXED_POINT_SCALE
        failed = self.totals[1] / FIXED_POINT_SCALE
        is_apart = abs(failed - failure_rate * attempts) > ROUNDING_TOLERANCE * attempts
        if not self.failure_rates or is_apart:
            return attempts, failed
        rows = [
            row
            for row in sorted(self.ready_rows)
            if self.weight_limits[row] and self.attempts[row] >= self.thresholds.min_attempts
        ]
        return sum(self.attempts[row] for row in rows), sum(self.failed[row] for row in rows)

    def due_ejections(self, now: float) -> list[int]:
        """Return the ejected rows whose time is over, sorted."""
        due = self.ejection_deadlines[: bisect_right(self.ejection_deadlines, (now, inf))]
        return sorted(row for _, row in due)

    def due_recoveries(self, now: float) -> list[int]:
        """Return the rows whose weight limit may rise now, those that are due longest first."""
        due = self.recovery_deadlines[: bisect_right(self.recovery_deadlines, (now, inf))]
        return [row for _, row in due]

    def slow_peers(self, latency: float) -> list[int]:
        """Return the peers with this mean latency (seconds) or a longer one."""
        slow = self.peer_latencies[bisect_left(self.peer_latencies, (latency, -1)) :]
        return [row for _, row in slow]

    def median_peer_latency(self) -> float:
        """Return the median of the peers' mean latencies, in seconds."""
        latencies = self.peer_latencies
        half = len(latencies) // 2
        if len(latencies) % 2:
            return latencies[half][0]
        return (latencies[half - 1][0] + latencies[half][0]) / 2
