"""What proxies observed at each endpoint, and indexes that sort the endpoints by it.

Bookkeeping only: no decisions are made here. Observations are stored as of an endpoint's last
report, so that its statistics change only with its own reports. Values over all endpoints (medians,
sums, due rows) are updated with each report. `tests/decision/state/test_incremental_state.py`
compares it with a slow, plain model.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from math import inf
from typing import NamedTuple, TypeVar

# Sums are integers in units of 1 / FIXED_POINT_SCALE, so that rounding errors do not accumulate.
FIXED_POINT_SCALE = 2.0**80
# Relative difference up to which two sums may differ through rounding alone.
ROUNDING_TOLERANCE = 1e-9

ValueAndRow = tuple[float, int]
Sortable = TypeVar("Sortable", float, ValueAndRow)


def remove_sorted(entries: list[Sortable], entry: Sortable) -> None:
    """Remove one occurrence of `entry` from a sorted list."""
    del entries[bisect_left(entries, entry)]


def sorted_median(values: list[float]) -> float:
    """Return the median of sorted values, equal to the result of `statistics.median`."""
    half = len(values) // 2
    return values[half] if len(values) % 2 else (values[half - 1] + values[half]) / 2


class OutlierThresholds(NamedTuple):
    """Thresholds that determine which indexes contain an endpoint."""

    peer_limit: float  # weight limit from which an endpoint is a peer
    min_attempts: float  # attempts from which its statistics count
    min_failed: float  # failed attempts from which it is suspect ...
    failure_rate: float  # ... if its failure rate is at least this


# A row's weight limit, recovery limit, due time, attempts, failed attempts and sum of latencies.
Columns = tuple[float, ...]


class OutlierStatistics:
    """Holds what was observed, in parallel arrays by row, and the indexes over them.

    Attempts, failed attempts and latencies are sums that decay by half every `half_life` seconds.
    The indexes cover the ready rows: `failure_rates` and `mean_latencies` are the sorted values of
    the rows that are not ejected and have enough attempts, `peer_failure_rates` and
    `peer_latencies` those of the rows among them at or above the peer limit. Ejected rows have a
    weight limit of 0, rows on probation one below the peer limit, limited rows one below 1;
    suspect rows have enough failed attempts at or above the threshold's failure rate. Times are
    seconds.
    """

    # The indexes, which `rebuild_derived` computes from the arrays.
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
        # Decaying sums.
        self.attempts = list[float]()
        self.failed = list[float]()
        self.latency_sums = list[float]()
        self.reported_at = list[float]()
        self.ejection_times = list[float]()  # seconds that the next ejection lasts
        self.due_at = list[float]()  # when the weight limit may next rise
        self.weight_limits = list[float]()  # highest fraction of its weight; 0: ejected
        self.recovery_limits = list[float]()  # the weight limit that it returns to
        self.ready_rows = set[int]()
        self.changed_rows = set[int]()
        self.failure_rates = list[float]()
        self.mean_latencies = list[float]()
        self.peer_failure_rates = list[float]()
        self.peer_latencies = list[ValueAndRow]()
        self.ejection_deadlines = list[ValueAndRow]()
        self.recovery_deadlines = list[ValueAndRow]()
        self.suspect_rows = set[int]()
        self.limited_rows = set[int]()
        self.probation_rows = set[int]()
        self.ejected_rows = set[int]()
        # Attempts and failed attempts of the rows in `failure_rates`, in fixed point.
        self.totals = [0, 0]
        # The columns with which each row was added to the indexes.
        self.indexed_columns: dict[int, Columns] = {}

    def add_endpoint(self, row: int) -> None:
        """Initialize a new or reused row without observations."""
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
        """Update which of these rows are ready; `ready` is indexed by row."""
        for row in rows:
            if ready[row]:
                self.ready_rows.add(row)
            else:
                self.ready_rows.discard(row)
            self.update_indexes(row)

    def take_changed_rows(self) -> set[int]:
        """Return the rows whose weight limit or readiness changed since the last call."""
        changed = self.changed_rows
        self.changed_rows = set()
        return changed

    def reset(self, row: int, weight_limit: float, due_at: float) -> None:
        """Clear a row's observations and set its weight limit."""
        self.attempts[row] = 0.0
        self.failed[row] = 0.0
        self.latency_sums[row] = 0.0
        self.weight_limits[row] = weight_limit
        self.due_at[row] = due_at
        self.recovery_limits[row] = max(self.recovery_limits[row], weight_limit)
        self.update_indexes(row)

    def postpone(self, row: int) -> None:
        """Keep a row from becoming due until it is reset."""
        self.due_at[row] = inf
        self.update_indexes(row)

    def record(
        self, row: int, now: float, attempts: float, failed: float, mean_latency: float
    ) -> None:
        """Add a report of attempts; `mean_latency` is that of the successful ones."""
        decay = 0.5 ** ((now - self.reported_at[row]) / self.half_life)
        self.reported_at[row] = now
        self.attempts[row] = self.attempts[row] * decay + attempts
        self.failed[row] = self.failed[row] * decay + failed
        self.latency_sums[row] = self.latency_sums[row] * decay + mean_latency * (attempts - failed)
        self.update_indexes(row)

    def rebuild_derived(self) -> None:
        """Compute the indexes from the arrays, which are all that was decoded."""
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
        """Update a row in the indexes; must be called after any change of its columns."""
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
        # -1 is the weight limit of a row that is not indexed.
        if (new[0] if new else -1.0) != (old[0] if old else -1.0):
            self.changed_rows.add(row)

    @staticmethod
    def _rates(columns: Columns) -> tuple[float, float]:
        """Return the failure rate and the mean latency that follow from a row's columns."""
        _, _, _, attempts, failed, latency_sum = columns
        return failed / attempts if attempts else 0.0, latency_sum / max(attempts - failed, 0.5)

    def _add_to_indexes(self, row: int, columns: Columns) -> None:
        """Add a row to the indexes that its columns qualify it for."""
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
        """Remove a row from the indexes; `columns` are those with which it was added."""
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
        """Return the attempts and failed attempts of all rows with enough attempts.

        If the fraction that failed is so close to `failure_rate` that rounding decides the
        comparison, they are added row by row, in order.
        """
        attempts = self.totals[0] / FIXED_POINT_SCALE
        failed = self.totals[1] / FIXED_POINT_SCALE
        differs = abs(failed - failure_rate * attempts) > ROUNDING_TOLERANCE * attempts
        if not self.failure_rates or differs:
            return attempts, failed
        rows = [
            row
            for row in sorted(self.ready_rows)
            if self.weight_limits[row] and self.attempts[row] >= self.thresholds.min_attempts
        ]
        return sum(self.attempts[row] for row in rows), sum(self.failed[row] for row in rows)

    def due_ejections(self, now: float) -> list[int]:
        """Return the ejected rows whose ejection time has elapsed, sorted."""
        due = self.ejection_deadlines[: bisect_right(self.ejection_deadlines, (now, inf))]
        return sorted(row for _, row in due)

    def due_recoveries(self, now: float) -> list[int]:
        """Return the rows whose weight limit may rise now, longest overdue first."""
        due = self.recovery_deadlines[: bisect_right(self.recovery_deadlines, (now, inf))]
        return [row for _, row in due]

    def slow_peers(self, latency: float) -> list[int]:
        """Return the peers with at least this mean latency, in seconds."""
        slow = self.peer_latencies[bisect_left(self.peer_latencies, (latency, -1)) :]
        return [row for _, row in slow]

    def median_peer_latency(self) -> float:
        """Return the median of the peers' mean latencies, in seconds."""
        latencies = self.peer_latencies
        half = len(latencies) // 2
        if len(latencies) % 2:
            return latencies[half][0]
        return (latencies[half - 1][0] + latencies[half][0]) / 2
