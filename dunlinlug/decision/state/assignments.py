"""Which proxies are connected and which tables each may be using.

Bookkeeping only: no decisions are made here. Proxies with the same assigned tables form one group,
so that the cost of a reply depends on the tables in use and the proxies concerned, not on all
proxies times all endpoints. `tests/decision/state/test_state_models.py` compares it with a slow,
plain model.
"""

from collections.abc import Iterable, Mapping
from itertools import chain

from dunlinlug.decision.state.table_registry import TableRegistry
from dunlinlug.decision.state.tables import (
    AdmissionLevel,
    AssignedTables,
    Proxy,
    Table,
    TableInUse,
    TablesInUse,
)

# The proxies of a group, in the order in which they were added.
Group = dict[int, None]
# The tables in use of a proxy that has none; must not be modified.
NO_TABLES: list[TableInUse] = []


class Assignments(TableRegistry):
    """Holds the connected proxies, the tables that each may be using, and their groups."""

    def __init__(self, class_count: int) -> None:
        super().__init__()
        self.class_count = class_count
        self.join_count = 0
        self.proxies: dict[int, Proxy] = {}
        self.groups: dict[AssignedTables, Group] = {}  # none is empty
        # By table, the groups that are assigned to it for some class, in the order of `groups`.
        self.groups_by_table: dict[Table, dict[AssignedTables, None]] = {}

    def rebuild_derived(self) -> None:
        """Make classes with equal lists of tables share one list again, after decoding."""
        for proxy in self.proxies.values():
            merged: dict[tuple[TableInUse, ...], list[TableInUse]] = {}
            proxy.tables_in_use = {
                traffic_class: merged.setdefault(tuple(entries), entries)
                for traffic_class, entries in proxy.tables_in_use.items()
            }

    def add_proxy(self, proxy_id: int, zone: str, request_rate: float = 0.0) -> None:
        """Add a connected proxy without tables; `request_rate` is in requests per second."""
        self.join_count += 1
        assigned_tables: AssignedTables = (None,) * self.class_count
        self.proxies[proxy_id] = Proxy(zone, request_rate, self.join_count, assigned_tables)
        self._add_to_group(proxy_id, assigned_tables)

    def remove_proxy(self, proxy_id: int) -> None:
        """Remove a proxy, if it is connected, and release the tables that it may be using."""
        if proxy_id in self.proxies:
            self.set_tables_in_use(
                proxy_id, {traffic_class: [] for traffic_class in range(self.class_count)}
            )
            proxy = self.proxies.pop(proxy_id)
            self._remove_from_group(proxy_id, proxy.assigned_tables)

    def set_tables_in_use(self, proxy_id: int, tables_in_use: TablesInUse) -> None:
        """Set the tables that a proxy may be using for these classes.

        Every change of a proxy's tables goes through this method.
        """
        proxy = self.proxies[proxy_id]
        self._count_uses(proxy, tables_in_use)
        is_reassigned = any(
            (entries[-1][0] if entries else None) is not proxy.assigned_tables[traffic_class]
            for traffic_class, entries in tables_in_use.items()
        )
        if is_reassigned:
            self._update_assigned_tables(proxy_id, proxy)

    def _count_uses(self, proxy: Proxy, tables_in_use: TablesInUse) -> None:
        """Replace a proxy's lists of tables in use, and update the tables' use counts."""
        use_changes: dict[Table, int] = {}
        for traffic_class, entries in tables_in_use.items():
            for table, _ in proxy.tables_in_use.pop(traffic_class, ()):
                use_changes[table] = use_changes.get(table, 0) - 1
            for table, _ in entries:
                use_changes[table] = use_changes.get(table, 0) + 1
            if entries:
                proxy.tables_in_use[traffic_class] = entries
        for table, delta in use_changes.items():
            if delta:
                self.adjust_use_count(table, delta)

    def _update_assigned_tables(self, proxy_id: int, proxy: Proxy) -> None:
        """Move a proxy, with its request rate, to the group of its newest tables."""
        assigned_tables = tuple(
            proxy.tables_in_use[traffic_class][-1][0]
            if traffic_class in proxy.tables_in_use
            else None
            for traffic_class in range(self.class_count)
        )
        self._remove_from_group(proxy_id, proxy.assigned_tables)
        for sign, tables in ((-1.0, proxy.assigned_tables), (1.0, assigned_tables)):
            for table in tables:
                if table is not None:
                    table.request_rate += sign * proxy.request_rate
                    self.update_coverage(table)
        proxy.assigned_tables = assigned_tables
        self._add_to_group(proxy_id, assigned_tables)

    def _remove_from_group(self, proxy_id: int, assigned_tables: AssignedTables) -> None:
        """Remove a proxy from its group, and the group if that leaves it empty."""
        group = self.groups[assigned_tables]
        del group[proxy_id]
        if group:
            return
        del self.groups[assigned_tables]
        for table in set(assigned_tables):
            if table is not None:
                del self.groups_by_table[table][assigned_tables]
                if not self.groups_by_table[table]:
                    del self.groups_by_table[table]

    def _add_to_group(self, proxy_id: int, assigned_tables: AssignedTables) -> None:
        """Add a proxy to the group of these tables."""
        if assigned_tables not in self.groups:
            self.groups[assigned_tables] = {}
            for table in set(assigned_tables):
                if table is not None:
                    self.groups_by_table.setdefault(table, {})[assigned_tables] = None
        self.groups[assigned_tables][proxy_id] = None

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
        tables_in_use: TablesInUse = {}
        extended: dict[int, list[TableInUse]] = {}  # by id of the old list: keeps the sharing
        for traffic_class in traffic_classes:
            entries = proxy.tables_in_use.get(traffic_class, NO_TABLES)
            if id(entries) not in extended:
                extended[id(entries)] = [*entries, (table, ack_number)]
            tables_in_use[traffic_class] = extended[id(entries)]
        self.set_tables_in_use(proxy_id, tables_in_use)

    def unassign(self, proxy_id: int, traffic_classes: Iterable[int], table_id: int) -> None:
        """Record that a proxy did not receive this table when it was last assigned to it.

        It may still use the table since an earlier assignment.
        """
        tables_in_use = self.proxies[proxy_id].tables_in_use
        remaining: TablesInUse = {}
        for traffic_class in traffic_classes:
            entries = [*tables_in_use.get(traffic_class, ())]
            table_ids = [table.table_id for table, _ in entries]
            if table_id in table_ids:
                newest = len(table_ids) - 1 - table_ids[::-1].index(table_id)
                remaining[traffic_class] = [*entries[:newest], *entries[newest + 1 :]]
        self.set_tables_in_use(proxy_id, remaining)

    def record_update(
        self, table: Table, proxy_ids: Iterable[int], ack_number: int, now: float
    ) -> None:
        """Record that these proxies, all assigned to the table, were sent entries of it."""
        for proxy_id in proxy_ids:
            proxy = self.proxies[proxy_id]
            proxy.updated_at = now
            for entries in proxy.distinct_tables_in_use():
                if entries[-1][0] is table:
                    entries[-1] = (table, ack_number)

    def acknowledge(self, proxy_id: int, acknowledged: list[int]) -> None:
        """Record that a proxy applied these replies.

        The proxy no longer uses the tables before the newest one that it acknowledged.
        """
        proxy = self.proxies[proxy_id]
        remaining: dict[int, list[TableInUse]] = {}
        for entries in proxy.distinct_tables_in_use():
            newest_confirmed = max(
                (
                    index
                    for index, (_, ack_number) in enumerate(entries)
                    if not ack_number or ack_number in acknowledged
                ),
                default=None,
            )
            if newest_confirmed is None:
                continue
            confirmed: TableInUse = (entries[newest_confirmed][0], 0)
            if newest_confirmed == 0:
                entries[0] = confirmed
            else:
                remaining[id(entries)] = [confirmed, *entries[newest_confirmed + 1 :]]
        if remaining:
            changed = {
                traffic_class: remaining[id(entries)]
                for traffic_class, entries in proxy.tables_in_use.items()
                if id(entries) in remaining
            }
            self.set_tables_in_use(proxy_id, changed)

    def has_lagging_proxy(
        self, traffic_class: int, old_table: Table, table: Table, since: float
    ) -> bool:
        """Whether a proxy that was sent a table after `since` may use another one for the class.

        If the table was changed in place, only the proxies assigned to it are considered.
        """
        confirmed = [(table, 0)]
        proxy_ids = self.assigned_proxies(table) if old_table is table else self.proxies
        return any(
            self.proxies[proxy_id].updated_at > since
            and self.proxies[proxy_id].tables_in_use.get(traffic_class) != confirmed
            for proxy_id in proxy_ids
        )

    def lagging_classes(self, updates: Mapping[int, tuple[Table, Table]], since: float) -> set[int]:
        """Return the classes with a lagging proxy; `updates` has the old and the new tables."""
        classes_by_update: dict[tuple[bool, Table], list[int]] = {}
        for traffic_class, (old_table, table) in updates.items():
            classes_by_update.setdefault((old_table is table, table), []).append(traffic_class)
        lagging = set[int]()
        for (is_in_place, table), traffic_classes in classes_by_update.items():
            proxy_ids = self.assigned_proxies(table) if is_in_place else self.proxies
            remaining = traffic_classes
            for proxy_id in proxy_ids:
                proxy = self.proxies[proxy_id]
                if proxy.updated_at > since and remaining:
                    confirmed = {
                        id(entries)
                        for entries in proxy.distinct_tables_in_use()
                        if entries == [(table, 0)]
                    }
                    lagging.update(
                        each
                        for each in remaining
                        if id(proxy.tables_in_use.get(each)) not in confirmed
                    )
                    remaining = [each for each in remaining if each not in lagging]
        return lagging

    def assigned_proxies(self, table: Table) -> list[int]:
        """Return the proxies that are assigned to this table for some class."""
        groups = map(self.groups.__getitem__, self.groups_by_table.get(table, ()))
        return [*chain.from_iterable(groups)]

    def groups_by_row(self, rows: set[int]) -> dict[int, list[Group]]:
        """Return, by row, the groups that have an entry for it or may get one.

        A group may get one if it has no table for some class.
        """
        groups: dict[int, list[Group]] = {row: [] for row in rows}
        if not rows:
            return groups
        for assigned_tables, group in self.groups.items():
            tables = dict.fromkeys(assigned_tables)
            for row in rows:
                if None in tables or any(
                    table is not None and row in table.weights for table in tables
                ):
                    groups[row].append(group)
        return groups

    def differing_admission(
        self, admission_levels: list[AdmissionLevel]
    ) -> dict[tuple[int, Table], list[Group]]:
        """Return the tables in use with another level for a class, by class and table.

        The values are the groups that are assigned to the table for the class.
        """
        groups_by_table: dict[tuple[int, Table], list[Group]] = {}
        differing_tables = {
            table
            for table in self.tables_in_use.values()
            if table.admission_levels != admission_levels
        }
        if not differing_tables:
            return groups_by_table
        for assigned_tables, group in self.groups.items():
            for traffic_class, table in enumerate(assigned_tables):
                if (
                    table in differing_tables
                    and table is not None
                    and table.admission_levels[traffic_class] != admission_levels[traffic_class]
                ):
                    groups_by_table.setdefault((traffic_class, table), []).append(group)
        return groups_by_table

    def groups_to_assign(
        self, current: Mapping[int, Table], table: Table, new_proxies: bool
    ) -> dict[AssignedTables, tuple[int, ...]]:
        """Return the groups not assigned to this current table, with the classes concerned.

        With `new_proxies`, only groups without a table for the first of these classes; otherwise
        only groups with a different one.
        """
        current_tables = tuple(current.values())
        missing_classes: dict[AssignedTables, tuple[int, ...]] = {}
        for assigned_tables in self.groups:
            if assigned_tables == current_tables:
                continue
            classes = tuple(
                traffic_class
                for traffic_class, current_table in current.items()
                if current_table is table is not assigned_tables[traffic_class]
            )
            if classes and new_proxies == (assigned_tables[classes[0]] is None):
                missing_classes[assigned_tables] = classes
        return missing_classes

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
