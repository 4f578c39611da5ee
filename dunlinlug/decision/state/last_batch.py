"""What the orders of the last batch replaced, so that rejected ones can be undone.

Bookkeeping only: no decisions are made here. The host reports the rejections of a batch with the
next one, so that only the last batch's orders have to be kept. A later rejection, or one of a batch
of the former leader after a snapshot, finds nothing here.
"""

from dataclasses import dataclass

from dunlinlug.decision.state.tables import Table


@dataclass(frozen=True)
class TableEntry:
    """A row's weight in a table, and the fraction of the row's listed weight that this is."""

    weight: float
    weight_fraction: float


# Stands for an entry that proxies may or may not have, at any weight. Its weight differs from every
# desired one, and its fraction exceeds the limit of every warming endpoint.
UNKNOWN_ENTRY = TableEntry(0.0, 1.0)


class LastBatch:
    """Holds the entries before the last batch's orders and its mandatory ejections."""

    def __init__(self) -> None:
        self.previous_entries: dict[tuple[int, int], TableEntry | None] = {}  # by table id and row
        self.created_tables = set[int]()  # ids
        self.mandatory_ejections = set[int]()  # rows

    def clear(self) -> None:
        """Forget the last batch; the next one begins."""
        self.previous_entries.clear()
        self.created_tables.clear()
        self.mandatory_ejections.clear()

    def record_entry(self, table: Table, row: int) -> None:
        """Keep the entry of a row that is about to be changed; None if the table has none."""
        entry = None
        if row in table.weights:
            entry = TableEntry(table.weights[row], table.weight_fractions[row])
        self.previous_entries.setdefault((table.table_id, row), entry)

    def previous_entry(self, table: Table, row: int) -> TableEntry | None:
        """Return a row's entry before the last batch, `UNKNOWN_ENTRY` if that is not known."""
        if table.table_id in self.created_tables:
            return None
        return self.previous_entries.get((table.table_id, row), UNKNOWN_ENTRY)

    def rows(self) -> set[int]:
        """Return the rows whose entries the last batch changed in place."""
        return {row for _, row in self.previous_entries}
