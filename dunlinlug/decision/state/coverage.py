"""Which workers have a line in any of some tables, and which have none. Bookkeeping alone: nothing
here is decided.
"""

from bisect import bisect_left, insort


class Coverage:
    def __init__(self) -> None:
        self.table_counts: dict[int, int] = {}  # by row, in how many tables it is
        self.changed_rows = set[
            int
        ]()  # rows that came into the first or went out of the last since `free` was asked
        # rows wanted and in no table, in order
        self.uncovered_rows = list[int]()
        # how far the log was read
        self.log_position = 0

    def adjust_count(self, row: int, delta: int) -> None:
        self.table_counts[row] = self.table_counts.get(row, 0) + delta
        if not self.table_counts[row]:
            del self.table_counts[row]
        self.changed_rows.add(row)

    def find_uncovered(
        self, weights: dict[int, float], log: list[int], truncated: int
    ) -> list[int]:
        """Rows that are wanted and in no table, in order; `log` tells which were wanted anew or are
        so no more, but for its first `cut` entries. Not to be changed.
        """
        if self.log_position < truncated:
            self.uncovered_rows = sorted(weights.keys() - self.table_counts.keys())
        for row in (
            {*log[max(self.log_position - truncated, 0) :], *self.changed_rows}
            if self.log_position >= truncated
            else ()
        ):
            position = bisect_left(self.uncovered_rows, row)
            present = position < len(self.uncovered_rows) and self.uncovered_rows[position] == row
            if present != (row in weights and row not in self.table_counts):
                if present:
                    del self.uncovered_rows[position]
                else:
                    insort(self.uncovered_rows, row)
        self.changed_rows.clear()
        self.log_position = truncated + len(log)
        return self.uncovered_rows
