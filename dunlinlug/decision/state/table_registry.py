"""The tables that exist, which of them are in use, and when the others are deleted.

State alone: nothing is decided here. What is asked of all tables (which rows are not ready, which
rows the subsets cover) is kept up change by change.
"""

from collections.abc import Iterable
from math import inf

from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.tables import Table


class TableRegistry:
    """Owns the tables by number, their entries and their deletion.

    Tables are also kept by `sequence`, the order of creation, so that walks go in that order.
    """

    def __init__(self) -> None:
        self.tables: dict[int, Table] = {}  # by number
        self.tables_in_use: dict[int, Table] = {}  # by sequence, those that a proxy may be using
        # By sequence, those whose unready rows are kept up: all but unused subsets.
        self.retained_tables: dict[int, Table] = {}
        # Rows that were ready and are not.
        self.unready_rows = set[int]()
        self.retiring_tables: dict[int, Table] = {}  # by sequence, those that are to be deleted
        self.table_count = 0  # created so far
        # Rows of subsets in use that receive requests.
        self.subset_coverage = Coverage()

    def add_table(self, table: Table) -> Table:
        """Add a new table under its number, and return it."""
        self.table_count += 1
        table.sequence = self.table_count
        self.tables[table.table_id] = table
        self._retain(table)
        return table

    def _retain(self, table: Table) -> None:
        """Keep up the table's unready rows from now on."""
        self.retained_tables[table.sequence] = table
        table.unready_rows = set()
        if self.unready_rows:
            table.unready_rows = {row for row in table.weight_fractions if row in self.unready_rows}

    def set_entry(
        self, table: Table, row: int, weight: float | None, weight_fraction: float = 1.0
    ) -> None:
        """Change an entry of a table; None takes it away. Entries change nowhere else."""
        if table.is_covered and (row in table.weights) != (weight is not None):
            self.subset_coverage.adjust_count(row, -1 if weight is None else 1)
        table.changed_rows.add(row)
        table.cached_capacity = None
        if row in self.unready_rows and weight is not None:
            table.unready_rows.add(row)
        else:
            table.unready_rows.discard(row)
        if weight is None:
            table.weights.pop(row, None)
            table.weight_fractions.pop(row, None)
        else:
            table.weights[row] = weight
            table.weight_fractions[row] = weight_fraction

    def set_ready(self, rows: Iterable[int], ready: list[bool]) -> None:
        """Take in which of these rows are ready now (`ready` has it by row)."""
        for row in rows:
            if ready[row]:
                self.unready_rows.discard(row)
            else:
                self.unready_rows.add(row)
            for table in self.retained_tables.values():
                if not ready[row] and row in table.weight_fractions:
                    table.unready_rows.add(row)
                else:
                    table.unready_rows.discard(row)

    def referenced_rows(self, *extra_rows: Iterable[int]) -> set[int]:
        """Return the rows that a table has an entry for, and the given ones."""
        return set().union(*extra_rows, *(table.weight_fractions for table in self.tables.values()))

    def list_tables_in_use(self) -> list[Table]:
        """Return the tables that a proxy may be using, in the order of creation."""
        return [self.tables_in_use[sequence] for sequence in sorted(self.tables_in_use)]

    def subsets_in_use(self) -> list[Table]:
        """Return the subsets that a proxy may be using, in the order of creation."""
        return [table for table in self.list_tables_in_use() if table.is_subset]

    def set_subsets(self, tables: list[Table]) -> list[Table]:
        """Make these tables subsets, and return them."""
        for table in tables:
            table.is_subset = True
            if not table.use_count:
                self.retained_tables.pop(table.sequence, None)
        return tables

    def adjust_use_count(self, table: Table, delta: int) -> None:
        """Count in how many more lists of tables in use a table is."""
        table.use_count += delta
        if table.use_count:
            self.tables_in_use[table.sequence] = table
            if table.sequence not in self.retained_tables:
                self._retain(table)
        else:
            self.tables_in_use.pop(table.sequence, None)
            if table.is_subset:
                self.retained_tables.pop(table.sequence, None)
        self.update_coverage(table)

    def update_coverage(self, table: Table) -> None:
        """Count a table's rows as covered while it is a subset that receives requests."""
        is_covered = table.is_subset and table.use_count > 0 and table.request_rate != 0.0
        if is_covered != table.is_covered:
            table.is_covered = is_covered
            for row in table.weights:
                self.subset_coverage.adjust_count(row, 1 if is_covered else -1)

    def schedule_deletion(self, table: Table, delete_at: float) -> None:
        """Have a table deleted at this time (seconds), or not at all if it is inf.

        One that was deleted already stays so.
        """
        table.delete_at = delete_at
        self.retiring_tables.pop(table.sequence, None)
        if delete_at < inf and self.tables.get(table.table_id) is table:
            self.retiring_tables[table.sequence] = table

    def retire_unused(self, tables: Iterable[Table], now: float) -> None:
        """Have those of the tables deleted that no proxy may be using, and the others not."""
        for table in tables:
            self.schedule_deletion(table, inf if table.use_count else now)

    def has_retiring_tables(self) -> bool:
        """Whether a table is to be deleted."""
        return bool(self.retiring_tables)

    def take_deletable(self, now: float) -> list[int]:
        """Remove the tables that are due and that no proxy may be using; return their numbers."""
        deletable = [
            self.retiring_tables[sequence]
            for sequence in sorted(self.retiring_tables)
            if self.retiring_tables[sequence].delete_at <= now
            and not self.retiring_tables[sequence].use_count
        ]
        for table in deletable:
            del self.tables[table.table_id]
            del self.retiring_tables[table.sequence]
            self.retained_tables.pop(table.sequence, None)
        return [table.table_id for table in deletable]
