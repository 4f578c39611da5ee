"""What proxies met at each worker, and in what order the workers stand by it. Bookkeeping alone:
nothing is decided.

Evidence is stored as of its last report, so that a worker's figures change by an event of its own
alone; what is asked of all of them (medians, sums, who is due) is kept up at that event, and a
reader pays for what it takes out. A slow plain model stands in
`tests/decision/state/test_incremental_state.py`.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from math import inf
from typing import Any

FIXED_POINT_SCALE = (
    2.0**80
)  # sums are whole numbers of this part: however long they are kept up, nothing drifts
ROUNDING_TOLERANCE = 1e-9  # part by which two sums differ at least, if it is not by rounding
FigureAndRow = tuple[float, int]  # a figure and a row


def remove_sorted(entries: Any, entry: Any) -> None:
    """Take one such entry out of a sorted list."""
    del entries[bisect_left(entries, entry)]


def sorted_median(figures: list[float]) -> float:
    """The median of sorted figures, as `statistics.median` gives it."""
    half = len(figures) // 2
    return figures[half] if len(figures) % 2 else (figures[half - 1] + figures[half]) / 2


class OutlierStatistics:
    """Parallel arrays by row; rows that are `listed` are in the books. `parts` and `paces` are
    sorted figures of who is heard (in use, `least` tries or more), `peers` and `rhythm` of those
    of them at `cap` or more, the last with rows. `idle` are out, `trials` below `cap`, `reduced`
    not in with all; `suspects` have `enough` voided tries that are `most` of all or more. Times
    are seconds, evidence halves in `half`; `rest` is what a new row begins with.
    """

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
        self,
        half_life: float,
        initial_ejection_time: float,
        peer_limit: float,
        min_attempts: float,
        min_failed: float,
        failure_rate_threshold: float,
    ) -> None:
        self.half_life = half_life
        self.initial_ejection_time = initial_ejection_time
        self.thresholds = (peer_limit, min_attempts, min_failed, failure_rate_threshold)
        # fading sums
        self.attempts = list[float]()
        self.failed = list[float]()
        self.latency_sums = list[float]()
        # due: next step up
        self.reported_at = list[float]()
        self.ejection_times = list[float]()
        self.due_at = list[float]()
        # most of its weight, 0 if out
        self.weight_limits = list[float]()
        # what it returns to
        self.recovery_limits = list[float]()
        self.ready_rows = set[int]()
        self.changed_rows = set[int]()
        self.failure_rates = list[float]()
        self.mean_latencies = list[float]()
        self.peer_failure_rates = list[float]()
        self.peer_latencies = list[FigureAndRow]()
        self.ejection_deadlines = list[FigureAndRow]()
        self.recovery_deadlines = list[FigureAndRow]()
        self.suspect_rows, self.limited_rows, self.probation_rows, self.ejected_rows = (
            set[int]() for _ in range(4)
        )
        self.totals = [0, 0]  # of tries and voided ones of who is heard, in POINTs
        self.indexed_columns: dict[
            int, tuple[float, ...]
        ] = {}  # the columns by which a row stands in the books

    def add_endpoint(self, row: int) -> None:
        """A worker of which nothing was heard yet, in a row of its own or in a former one's."""
        for column in (
            self.attempts,
            self.failed,
            self.latency_sums,
            self.reported_at,
            self.due_at,
        ):
            column[row : row + 1] = [0.0]
        (
            self.weight_limits[row : row + 1],
            self.recovery_limits[row : row + 1],
            self.ejection_times[row : row + 1],
        ) = [1.0], [1.0], [self.initial_ejection_time]
        self.update_indexes(row)

    def set_ready(self, rows: Iterable[int], ready: list[bool]) -> None:
        """Rows that are listed as ready now, or are so no more, by `ready`."""
        for row in rows:
            (self.ready_rows.add if ready[row] else self.ready_rows.discard)(row)
            self.update_indexes(row)

    def take_changed_rows(self) -> set[int]:
        """Rows with another cap, or listed otherwise, since this was asked."""
        changed = self.changed_rows
        self.changed_rows = set()
        return changed

    def reset(self, row: int, weight_limit: float, due_at: float) -> None:
        """From here on with nothing heard."""
        self.attempts[row] = self.failed[row] = self.latency_sums[row] = 0.0
        self.weight_limits[row], self.due_at[row], self.recovery_limits[row] = (
            weight_limit,
            due_at,
            max(self.recovery_limits[row], weight_limit),
        )
        self.update_indexes(row)

    def postpone(self, row: int) -> None:
        """It is not due before it starts again."""
        self.due_at[row] = inf
        self.update_indexes(row)

    def record(
        self, row: int, now: float, attempts: float, failed: float, mean_latency: float
    ) -> None:
        decay = 0.5 ** ((now - self.reported_at[row]) / self.half_life)
        self.reported_at[row] = now
        self.attempts[row] = self.attempts[row] * decay + attempts
        self.failed[row] = self.failed[row] * decay + failed
        self.latency_sums[row] = self.latency_sums[row] * decay + mean_latency * (attempts - failed)
        self.update_indexes(row)

    def rebuild_derived(self) -> None:
        """Make the books anew from the columns, where these alone were kept."""
        changed = self.changed_rows
        self.changed_rows = set()
        for row in self.ready_rows:
            self.update_indexes(row)
        self.changed_rows = changed

    def failure_rate(self, row: int) -> float:
        return self.failed[row] / self.attempts[row] if self.attempts[row] else 0.0

    def mean_latency(self, row: int) -> float:
        return self.latency_sums[row] / max(self.attempts[row] - self.failed[row], 0.5)

    def update_indexes(self, row: int) -> None:
        """Bring the books in line with a row's columns: to be called after any change of them."""
        columns = (
            self.weight_limits[row],
            self.recovery_limits[row],
            self.due_at[row],
            self.attempts[row],
            self.failed[row],
            self.latency_sums[row],
        )
        new = columns if row in self.ready_rows else None
        old = self.indexed_columns.get(row)
        if new == old:
            return
        if old:
            self._remove_from_indexes(row, old)
            del self.indexed_columns[row]
        if new:
            self._add_to_indexes(row, new)
            self.indexed_columns[row] = new
        if (new or (-1.0,))[0] != (old or (-1.0,))[0]:
            self.changed_rows.add(row)

    def _rates(self, columns: tuple[float, ...]) -> tuple[float, float]:
        _, _, _, attempts, failed, latency_sum = columns
        return failed / attempts if attempts else 0.0, latency_sum / max(attempts - failed, 0.5)

    def _add_to_indexes(self, row: int, columns: tuple[float, ...]) -> None:
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

    def _remove_from_indexes(self, row: int, columns: tuple[float, ...]) -> None:
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
        for row_set in (
            self.suspect_rows,
            self.limited_rows,
            self.probation_rows,
            self.ejected_rows,
        ):
            row_set.discard(row)
        if not weight_limit:
            remove_sorted(self.ejection_deadlines, (due_at, row))
        elif (weight_limit, recovery_limit) != (1.0, 1.0):
            remove_sorted(self.recovery_deadlines, (due_at, row))

    def attempt_totals(self, failure_rate: float) -> tuple[float, float]:
        """All tries, and the voided ones, of who is heard. Danger: where just this part is voided
        the last digit tells. Next to it they are added up row by row.
        """
        attempts = self.totals[0] / FIXED_POINT_SCALE
        failed = self.totals[1] / FIXED_POINT_SCALE
        if (
            not self.failure_rates
            or abs(failed - failure_rate * attempts) > ROUNDING_TOLERANCE * attempts
        ):
            return attempts, failed
        rows = [
            i
            for i in sorted(self.ready_rows)
            if self.weight_limits[i] and self.attempts[i] >= self.thresholds[1]
        ]
        return sum(self.attempts[i] for i in rows), sum(self.failed[i] for i in rows)

    def due_ejections(self, now: float) -> list[int]:
        """Who is out and due, by row."""
        return sorted(
            i
            for _, i in self.ejection_deadlines[: bisect_right(self.ejection_deadlines, (now, inf))]
        )

    def due_recoveries(self, now: float) -> list[int]:
        """Who is in, not in full, and due."""
        return [
            i
            for _, i in self.recovery_deadlines[: bisect_right(self.recovery_deadlines, (now, inf))]
        ]

    def slow_peers(self, latency: float) -> list[int]:
        """Peers at this pace or a slower one."""
        return [
            i for _, i in self.peer_latencies[bisect_left(self.peer_latencies, (latency, -1)) :]
        ]

    def median_peer_latency(self) -> float:
        """The median pace of peers."""
        half = len(self.peer_latencies) // 2
        latencies = self.peer_latencies
        return (
            latencies[half][0]
            if len(latencies) % 2
            else (latencies[half - 1][0] + latencies[half][0]) / 2
        )
