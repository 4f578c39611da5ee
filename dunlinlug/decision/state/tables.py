"""Tables and the proxies that use them: the records that `Assignments` manages."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cache
from math import inf

# The admitted fraction of a traffic class and the retry policy of its proxies.
AdmissionLevel = tuple[float, int]


@cache
def admission_level(admitted_fraction: float, retry_policy: int) -> AdmissionLevel:
    """Return a class's level; equal levels are the same object, which makes comparison fast."""
    return admitted_fraction, retry_policy


@dataclass(eq=False)
class Table:
    """A table: each row's weight, and the fraction of the row's listed weight that this is.

    `use_count` is the number of lists of tables in use that contain it, `request_rate` the requests
    per second of the proxies assigned to it, counted once for each class. Entries are changed only
    by `TableRegistry.set_entry`, `delete_at` only by `schedule_deletion`.
    """

    table_id: int
    weights: dict[int, float]
    weight_fractions: dict[int, float]
    admission_levels: list[AdmissionLevel]  # by class
    delete_at: float = inf
    previous_levels: dict[int, AdmissionLevel] = field(
        default_factory=dict
    )  # by class, the levels before the last order
    use_count: int = 0
    request_rate: float = 0.0
    sequence: int = 0  # in the order of creation
    is_subset: bool = False
    is_covered: bool = False  # its rows are counted in the coverage of subsets
    unready_rows: set[int] = field(default_factory=set)  # rows with an entry that are not ready
    # This and the next three are maintained by `DesiredWeights.differing_rows`.
    differing_rows: set[int] = field(default_factory=set)
    missing_included: bool = False
    changed_rows: set[int] = field(default_factory=set)
    log_position: int = -1  # the end of the change log when it was last read
    # This and the next one are maintained by `DesiredWeights.capacity`.
    cached_capacity: float | None = None
    capacity_position: int = 0


# A table that a proxy may be using, and the number of the pending acknowledgement or 0 if none.
TableInUse = tuple[Table, int]
# By class, the table that a proxy was last assigned to; None if there is none.
AssignedTables = tuple[Table | None, ...]
# By class, the tables that a proxy may be using, newest last.
TablesInUse = dict[int, list[TableInUse]]


@dataclass(eq=False)
class Proxy:
    """A connected proxy; times are seconds.

    `join_order` is its position in the order of connecting, `request_rate` the requests per second
    that it declared then. `updated_at` is when it was last sent a table or entries of one. It is
    not assigned again before `assign_after`, as its last assignment was rejected.
    """

    zone: str
    request_rate: float
    join_order: int
    assigned_tables: AssignedTables
    tables_in_use: TablesInUse = field(default_factory=dict)
    updated_at: float = inf
    assign_after: float = 0.0

    def distinct_tables_in_use(self) -> Iterable[list[TableInUse]]:
        """Return its lists of tables in use; a list shared by classes is returned once."""
        distinct = {id(entries): entries for entries in self.tables_in_use.values()}
        return distinct.values()
