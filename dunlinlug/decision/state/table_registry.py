"""The tables that exist, which of them are in use, and when the others are deleted.

Bookkeeping only: no decisions are made here. Values over all tables (rows that are not ready, rows
that the subsets cover) are updated incrementally.
"""

from collections.abc import Iterable
from math import inf

from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.tables import Table


class TableRegistry:
    """Holds the tables by id, their entries and their scheduled deletions.

    Tables are also indexed by `sequence`, so that iteration follows their order of creation.
    """

    def __init__(self) -> None:
        self.tables: dict[int, Table] = {}  # by id
        self.tables_in_use: dict[int, Table] = {}  # by sequence, those that a proxy may be using
        # By sequence, those whose unready rows are tracked: all but unused subsets.
        self.retained_tables: dict[int, Table] = {}
        # Rows that were ready and no longer are.
        self.unready_rows = set[int]()
        self.retiring_tables: dict[int, Table] = {}  # by sequence, those scheduled for deletion
        self.table_count = 0  # created so far
        # Rows covered by subsets that are in use and receive requests.
        self.subset_coverage = Coverage()

    def add_table(self, table: Table) -> Table:
        """Add a new table under its id, and return it."""
        self.table_count += 1
        table.sequence = self.table_count
        self.tables[table.table_id] = table
        self._retain(table)
        return table

    def _retain(self, table: Table) -> None:
        """Track the table's unready rows from now on."""
        self.retained_tables[table.sequence] = table
        table.unready_rows = set()
        if self.unready_rows:
            table.unready_rows = {row for row in table.weight_fractions if row in self.unready_rows}

    def set_entry(
        self, table: Table, row: int, weight: float | None, weight_fraction: float = 1.0
    ) -> None:
        """Set an entry of a table, or remove it if `weight` is None.

        Every change of an entry goes through this method.
        """
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
        """Update which of these rows are ready; `ready` is indexed by row."""
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
        """Return the rows that some table has an entry for, and the given ones."""
        return set().union(*extra_rows, *(table.weight_fractions for table in self.tables.values()))

    def list_tables_in_use(self) -> list[Table]:
        """Return the tables that a proxy may be using, in the order of creation."""
        return [self.tables_in_use[sequence] for sequence in sorted(self.tables_in_use)]

    def subsets_in_use(self) -> list[Table]:
        """Return the subsets that a proxy may be using, in the order of creation."""
        return [table for table in self.list_tables_in_use() if table.is_subset]

    def set_subsets(self, tables: list[Table]) -> list[Table]:
        """Mark these tables as subsets, and return them."""
        for table in tables:
            table.is_subset = True
            if not table.use_count:
                self.retained_tables.pop(table.sequence, None)
        return tables

    def adjust_use_count(self, table: Table, delta: int) -> None:
        """Change the number of lists of tables in use that contain a table by `delta`."""
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
        """Count a table's rows as covered while it is a subset in use that receives requests."""
        is_covered = table.is_subset and table.use_count > 0 and table.request_rate != 0.0
        if is_covered != table.is_covered:
            table.is_covered = is_covered
            for row in table.weights:
                self.subset_coverage.adjust_count(row, 1 if is_covered else -1)

    def schedule_deletion(self, table: Table, delete_at: float) -> None:
        """Schedule a table's deletion at this time (seconds), or cancel it if that is inf.

        A table that was already deleted is not scheduled again.
        """
        table.delete_at = delete_at
        self.retiring_tables.pop(table.sequence, None)
        if delete_at < inf and self.tables.get(table.table_id) is table:
            self.retiring_tables[table.sequence] = table

    def retire_unused(self, tables: Iterable[Table], now: float) -> None:
        """Schedule the deletion of those tables that no proxy may be using; keep the others."""
        for table in tables:
            self.schedule_deletion(table, inf if table.use_count else now)

    def has_retiring_tables(self) -> bool:
        """Whether a table is scheduled for deletion."""
        return bool(self.retiring_tables)

    def take_deletable(self, now: float) -> list[int]:
        """Remove the tables that are due and that no proxy may be using; return their ids."""
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
