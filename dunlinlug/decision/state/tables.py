"""Tables and the proxies that use them: the records that `Assignments` keeps."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cache
from math import inf

# The admitted fraction of a traffic class and the retry policy of its proxies.
AdmissionLevel = tuple[float, int]


@cache
def admission_level(admitted_fraction: float, retry_policy: int) -> AdmissionLevel:
    """Return a class's level; equal ones are one object, so that lists compare quickly."""
    return admitted_fraction, retry_policy


@dataclass(eq=False)
class Table:
    """A table under its number: each row's weight, and what part of the listed weight that is.

    `use_count` is how often it is among what proxies may be using, `request_rate` the requests a
    second of the proxies assigned to it, added up class by class. Entries are changed by
    `TableRegistry.set_entry` alone, `delete_at` by `schedule_deletion` alone.
    """

    table_id: int
    weights: dict[int, float]
    weight_fractions: dict[int, float]
    admission_levels: list[AdmissionLevel]  # by class
    delete_at: float = inf
    previous_levels: dict[int, AdmissionLevel] = field(
        default_factory=dict
    )  # by class, before those ordered last
    use_count: int = 0
    request_rate: float = 0.0
    sequence: int = 0  # in the order of creation
    is_subset: bool = False
    is_covered: bool = False  # its rows count in the coverage of subsets
    unready_rows: set[int] = field(default_factory=set)  # rows of it that are not ready
    # This and the next three are kept by `DesiredWeights.differing_rows`.
    differing_rows: set[int] = field(default_factory=set)
    missing_included: bool = False
    changed_rows: set[int] = field(default_factory=set)
    log_position: int = -1  # the length of the change log when it was read last
    # This and the next one are kept by `DesiredWeights.capacity`.
    cached_capacity: float | None = None
    capacity_position: int = 0


# A table that a proxy may be using, with the number of the acknowledgement that is awaited or 0.
TableInUse = tuple[Table, int]
# By class the table that a proxy was assigned to last, None where there is none.
AssignedTables = tuple[Table | None, ...]
# By class the tables that a proxy may be using, newest last.
TablesInUse = dict[int, list[TableInUse]]


@dataclass(eq=False)
class Proxy:
    """A connected proxy; times are seconds.

    `join_order` is its place in the order of connecting, `request_rate` its requests a second as it
    said. `updated_at` is when it was last sent a table or a part of one; before `assign_after` it
    is not assigned again, as its last assignment was rejected.
    """

    zone: str
    request_rate: float
    join_order: int
    assigned_tables: AssignedTables
    tables_in_use: TablesInUse = field(default_factory=dict)
    updated_at: float = inf
    assign_after: float = 0.0

    def distinct_tables_in_use(self) -> Iterable[list[TableInUse]]:
        """Return what it may be using, once where classes share one list."""
        distinct = {id(entries): entries for entries in self.tables_in_use.values()}
        return distinct.values()
