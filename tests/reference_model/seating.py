"""Which proxies are connected and which tables each may be using.

Bookkeeping only: no decisions are made here. Proxies with the same assigned tables form one group,
so that the cost of a reply depends on the tables in use and the proxies concerned, not on all
proxies times all endpoints. `tests/decision/state/test_state_models.py` has a slow, plain model.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain
from math import inf


@dataclass(eq=False)
class Table:
    """A table: each row's weight, and the fraction of the row's listed weight that this is.

    `use_count` is the number of lists of tables in use that contain it, `request_rate` the requests
    per second of the proxies assigned to it, counted once for each class.
    """

    table_id: int
    weights: dict[int, float]
    weight_fractions: dict[int, float]
    admission_levels: list[tuple[float, int]]  # by class, the admitted fraction and retry policy
    delete_at: float = inf
    previous_levels: dict[int, tuple[float, int]] = field(
        default_factory=dict
    )  # by class, the levels before the last order
    use_count: int = 0
    request_rate: float = 0.0


# By class, the table that a proxy was last assigned to; None if there is none.
AssignedTables = tuple[Table | None, ...]
# By class, the tables that a proxy may be using, newest last, each with the number of the pending
# acknowledgement or 0 if none.
TablesInUse = dict[int, list[tuple[Table, int]]]


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


class Assignments:
    """Holds the connected proxies, the tables that each may be using, and their groups."""

    def __init__(self, class_count: int) -> None:
        self.class_count, self.join_count = class_count, 0
        self.proxies: dict[int, Proxy] = {}
        # Connected proxies by assigned tables; no group is empty.
        self.groups: dict[AssignedTables, dict[int, None]] = {}
        self.tables: dict[int, Table] = {}  # installed and not deleted, by id

    def add_proxy(self, proxy_id: int, zone: str, request_rate: float = 0.0) -> None:
        """Add a connected proxy without tables; `request_rate` is in requests per second."""
        self.join_count += 1
        assigned_tables: AssignedTables = (None,) * self.class_count
        self.proxies[proxy_id] = Proxy(zone, request_rate, self.join_count, assigned_tables)
        self.groups.setdefault(assigned_tables, {})[proxy_id] = None

    def remove_proxy(self, proxy_id: int) -> None:
        """Remove a proxy, if it is connected, and release the tables that it may be using."""
        if proxy_id in self.proxies:
            self.set_tables_in_use(proxy_id, dict.fromkeys(range(self.class_count), []))
            proxy = self.proxies.pop(proxy_id)
            self._remove_from_group(proxy_id, proxy.assigned_tables)

    def set_tables_in_use(self, proxy_id: int, tables_in_use: TablesInUse) -> None:
        """Set the tables that a proxy may be using for these classes.

        Every change of a proxy's tables goes through this method.
        """
        proxy = self.proxies[proxy_id]
        for traffic_class, entries in tables_in_use.items():
            for table, _ in proxy.tables_in_use.pop(traffic_class, ()):
                table.use_count -= 1
            for table, _ in entries:
                table.use_count += 1
            if entries:
                proxy.tables_in_use[traffic_class] = entries
        assigned_tables = tuple(
            proxy.tables_in_use[traffic_class][-1][0]
            if traffic_class in proxy.tables_in_use
            else None
            for traffic_class in range(self.class_count)
        )
        if assigned_tables != proxy.assigned_tables:
            self._remove_from_group(proxy_id, proxy.assigned_tables)
            for sign, tables in ((-1.0, proxy.assigned_tables), (1.0, assigned_tables)):
                for assigned_table in tables:
                    if assigned_table is not None:
                        assigned_table.request_rate += sign * proxy.request_rate
            proxy.assigned_tables = assigned_tables
            self.groups.setdefault(assigned_tables, {})[proxy_id] = None

    def _remove_from_group(self, proxy_id: int, assigned_tables: AssignedTables) -> None:
        """Remove a proxy from its group, and the group if that leaves it empty."""
        group = self.groups[assigned_tables]
        del group[proxy_id]
        if not group:
            del self.groups[assigned_tables]

    def assign(
        self,
        proxy_id: int,
        traffic_classes: Iterable[int],
        table: Table,
        ack_number: int,
        now: float,
    ) -> None:
        """Record that a proxy was sent this table for these classes but has not acknowledged it."""
        proxy = self.proxies[proxy_id]
        proxy.updated_at = now
        self.set_tables_in_use(
            proxy_id,
            {
                traffic_class: [*proxy.tables_in_use.get(traffic_class, ()), (table, ack_number)]
                for traffic_class in traffic_classes
            },
        )

    def unassign(self, proxy_id: int, traffic_classes: Iterable[int], table_id: int) -> None:
        """Record that a proxy did not receive this table when it was last assigned to it."""
        remaining: TablesInUse = {}
        for traffic_class in traffic_classes:
            entries = [*self.proxies[proxy_id].tables_in_use.get(traffic_class, ())]
            for index in reversed(range(len(entries))):
                if entries[index][0].table_id == table_id:
                    del entries[index]
                    remaining[traffic_class] = entries
                    break
        self.set_tables_in_use(proxy_id, remaining)

    def record_update(
        self, table: Table, proxy_ids: Iterable[int], ack_number: int, now: float
    ) -> None:
        """Record that these proxies, all assigned to the table, were sent entries of it."""
        for proxy in map(self.proxies.__getitem__, proxy_ids):
            proxy.updated_at = now
            for entries in proxy.tables_in_use.values():
                if entries[-1][0] is table:
                    entries[-1] = (table, ack_number)

    def acknowledge(self, proxy_id: int, acknowledged: list[int]) -> None:
        """Record that a proxy applied these replies.

        The proxy no longer uses the tables before the newest one that it acknowledged.
        """
        for traffic_class, entries in list(self.proxies[proxy_id].tables_in_use.items()):
            newest_confirmed = max(
                (
                    index
                    for index, (_, ack_number) in enumerate(entries)
                    if not ack_number or ack_number in acknowledged
                ),
                default=None,
            )
            if newest_confirmed:
                self.set_tables_in_use(
                    proxy_id,
                    {
                        traffic_class: [
                            (entries[newest_confirmed][0], 0),
                            *entries[newest_confirmed + 1 :],
                        ]
                    },
                )
            elif newest_confirmed == 0:
                entries[0] = (entries[0][0], 0)

    def retire_unused(self, tables: Iterable[Table], now: float) -> None:
        """Schedule the deletion of those tables that no proxy may be using; keep the others."""
        for table in tables:
            table.delete_at = inf if table.use_count else now

    def has_retiring_tables(self) -> bool:
        """Whether a table is scheduled for deletion."""
        return any(table.delete_at < inf for table in self.tables.values())

    def take_deletable(self, now: float) -> list[int]:
        """Remove the tables that are due and that no proxy may be using; return their ids."""
        table_ids = [
            table_id
            for table_id, table in self.tables.items()
            if table.delete_at <= now and not table.use_count
        ]
        for table_id in table_ids:
            del self.tables[table_id]
        return table_ids

    def referenced_rows(self) -> set[int]:
        """Return the rows that an installed table has an entry or a weight fraction for."""
        return set().union(*(table.weight_fractions for table in self.tables.values()))

    def list_tables_in_use(self) -> list[Table]:
        """Return the tables that a proxy may be using."""
        return [table for table in self.tables.values() if table.use_count]

    def has_lagging_proxy(
        self, traffic_class: int, old_table: Table, table: Table, since: float
    ) -> bool:
        """Whether a proxy that was sent a table after `since` may use another one for the class.

        If the table was changed in place, only the proxies assigned to it are considered.
        """
        confirmed = [(table, 0)]
        return any(
            proxy.updated_at > since and proxy.tables_in_use.get(traffic_class) != confirmed
            for proxy in (
                map(self.proxies.__getitem__, self.assigned_proxies(table))
                if old_table is table
                else self.proxies.values()
            )
        )

    def assigned_proxies(self, table: Table) -> list[int]:
        """Return the proxies that are assigned to this table for some class."""
        return [
            *chain.from_iterable(
                group for assigned_tables, group in self.groups.items() if table in assigned_tables
            )
        ]

    def groups_by_row(self, rows: set[int]) -> dict[int, list[dict[int, None]]]:
        """Return, by row, the groups that have an entry for it or may get one.

        A group may get one if it has no table for some class.
        """
        groups: dict[int, list[dict[int, None]]] = {row: [] for row in rows}
        for assigned_tables, group in self.groups.items() if rows else ():
            entry_rows = chain(*(table.weights for table in set(assigned_tables) if table))
            for row in rows if None in assigned_tables else rows.intersection(entry_rows):
                groups[row].append(group)
        return groups

    def groups_by_table(self) -> dict[tuple[int, Table], list[dict[int, None]]]:
        """Return, by class and table, the groups that are assigned to the table for the class."""
        groups: dict[tuple[int, Table], list[dict[int, None]]] = {}
        for assigned_tables, group in self.groups.items():
            for traffic_class, table in enumerate(assigned_tables):
                if table is not None:
                    groups.setdefault((traffic_class, table), []).append(group)
        return groups

    def lacks_local_endpoint(
        self, proxy_id: int, rows_by_zone: Mapping[str, set[int]], tables: Iterable[Table | None]
    ) -> bool:
        """Whether a table has no endpoint in the proxy's zone while `rows_by_zone` has one."""
        local_rows = rows_by_zone.get(self.proxies[proxy_id].zone, set())
        return bool(local_rows) and any(
            table is not None and local_rows.isdisjoint(table.weights) for table in tables
        )

    def by_join_order(self, groups: Iterable[Iterable[int]]) -> list[int]:
        """Return the proxies of these groups in the order in which they connected."""
        return sorted(
            chain.from_iterable(groups), key=lambda proxy_id: self.proxies[proxy_id].join_order
        )
