"""Which rows have an entry in at least one of several tables, and which have none.

Bookkeeping only: no decisions are made here.
"""

from bisect import bisect_left, insort


class Coverage:
    """Holds, by row, the number of tables with an entry for it, and lists the rows in no table."""

    def __init__(self) -> None:
        self.table_counts: dict[int, int] = {}  # by row
        # Rows whose count was adjusted since the last `find_uncovered`.
        self.changed_rows = set[int]()
        # Rows that have a weight and are in no table, ascending.
        self.uncovered_rows = list[int]()
        # The position up to which the change log was read.
        self.log_position = 0

    def adjust_count(self, row: int, delta: int) -> None:
        """Change the number of tables with an entry for the row by `delta`."""
        self.table_counts[row] = self.table_counts.get(row, 0) + delta
        if not self.table_counts[row]:
            del self.table_counts[row]
        self.changed_rows.add(row)

    def find_uncovered(
        self, weights: dict[int, float], log: list[int], truncated: int
    ) -> list[int]:
        """Return the rows that have a weight and are in no table, ascending.

        The result must not be modified. `log` lists the rows whose weight was set or removed,
        without its first `truncated` entries.
        """
        if self.log_position < truncated:
            self.uncovered_rows = sorted(weights.keys() - self.table_counts.keys())
        else:
            new_entries = log[max(self.log_position - truncated, 0) :]
            for row in {*new_entries, *self.changed_rows}:
                self._update_row(row, row in weights and row not in self.table_counts)
        self.changed_rows.clear()
        self.log_position = truncated + len(log)
        return self.uncovered_rows

    def _update_row(self, row: int, is_uncovered: bool) -> None:
        """Insert a row into the sorted list of uncovered rows, or remove it."""
        position = bisect_left(self.uncovered_rows, row)
        is_present = position < len(self.uncovered_rows) and self.uncovered_rows[position] == row
        if is_present and not is_uncovered:
            del self.uncovered_rows[position]
        elif is_uncovered and not is_present:
            insort(self.uncovered_rows, row)
