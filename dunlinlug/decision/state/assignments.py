"""Who is joined and which tables each proxy may be using. Bookkeeping alone: nothing here is
decided.

Proxies with the same tables stand in one group, so that work for a reply goes with the tables in
use and with the proxies that it concerns, not with all proxies x workers. A slow plain model of it
stands in `tests/decision/state/test_state_models.py`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cache
from itertools import chain
from math import inf

from dunlinlug.decision.state.coverage import Coverage


@cache
def admission_level(admitted_fraction: float, retry_policy: int) -> tuple[float, int]:
    """A product's level; equal ones are the same object, so that lists of them are soon compared."""
    return admitted_fraction, retry_policy


@dataclass(eq=False)
class Table:
    """A table under its number: each worker's share, and that share's part of the listed weight.
    `users` is how often it is among what proxies may be using, `load` the txns a second of those
    bound to it last, product by product.
    """

    table_id: int
    weights: dict[int, float]
    weight_fractions: dict[int, float]
    admission_levels: list[
        tuple[float, int]
    ]  # by product the share let in, and the way of trying again
    delete_at: float = inf  # to be changed by `Seating.end` alone
    previous_levels: dict[int, tuple[float, int]] = field(
        default_factory=dict
    )  # levels before those ordered last
    use_count: int = 0
    request_rate: float = 0.0
    sequence: int = 0  # in the order of laying
    is_subset: bool = False
    is_covered: bool = False  # its rows are in the cover
    unready_rows: set[int] = field(
        default_factory=set
    )  # rows that it has a part for and that are not ready
    differing_rows: set[int] = field(
        default_factory=set
    )  # this and the next three are kept by `Lines.differing`
    missing_included: bool = False
    changed_rows: set[int] = field(default_factory=set)
    log_position: int = -1  # the log's length then
    cached_capacity: float | None = None  # this and the next one are kept by `Lines.bears`
    capacity_position: int = 0


AssignedTables = tuple[
    Table | None, ...
]  # by product the table that a proxy was bound to last, None where there is none
NO_TABLES: list[tuple[Table, int]] = []  # what one holds that holds nothing; not to be changed
TablesInUse = dict[
    int, list[tuple[Table, int]]
]  # by product the tables in use, newest last, with the mark awaited or 0


@dataclass(eq=False)
class Proxy:
    """A joined proxy. `joined` is its place in the order of joining, `rate` its txns a second as
    told; `bound_at` when it was last sent a table or a part of one, `wait` until when it is not
    bound again, as its last bind was refused (both in seconds).
    """

    zone: str
    request_rate: float
    join_order: int
    assigned_tables: AssignedTables
    tables_in_use: TablesInUse = field(default_factory=dict)
    updated_at: float = inf
    assign_after: float = 0.0

    def distinct_tables_in_use(self) -> Iterable[list[tuple[Table, int]]]:
        """What it holds, once where products hold the same."""
        return {id(held): held for held in self.tables_in_use.values()}.values()


class Assignments:
    def __init__(self, class_count: int) -> None:
        self.class_count = class_count
        self.join_count = 0
        self.proxies: dict[int, Proxy] = {}
        self.groups: dict[
            AssignedTables, dict[int, None]
        ] = {}  # joined proxies by their tops; none is empty
        self.groups_by_table: dict[
            Table, dict[AssignedTables, None]
        ] = {}  # by table bound to last the tops with it, in the groups' order
        self.tables: dict[int, Table] = {}  # laid and not cleared, by number
        self.tables_in_use: dict[
            int, Table
        ] = {}  # those of them that a proxy may be using, by place
        self.retained_tables: dict[
            int, Table
        ] = {}  # those laid but for small ones that nobody uses, by place
        self.unready_rows = set[
            int
        ]()  # workers that were ready and are not; the absent are told of tables kept alone
        self.retiring_tables: dict[int, Table] = {}  # tables that are to be cleared, by place
        # tables so far
        self.table_count = 0
        # rows of small tables in use that something is asked of
        self.subset_coverage = Coverage()

    def rebuild_derived(self) -> None:
        """Products that hold the same go on as one again, where each was read by itself."""
        for proxy in self.proxies.values():
            merged: dict[tuple[tuple[Table, int], ...], list[tuple[Table, int]]] = {}
            proxy.tables_in_use = {
                k: merged.setdefault(tuple(entries), entries)
                for k, entries in proxy.tables_in_use.items()
            }

    def add_proxy(self, proxy_id: int, zone: str, request_rate: float = 0.0) -> None:
        self.join_count += 1
        assigned_tables: AssignedTables = (None,) * self.class_count
        self.proxies[proxy_id] = Proxy(zone, request_rate, self.join_count, assigned_tables)
        self._add_to_group(proxy_id, assigned_tables)

    def remove_proxy(self, proxy_id: int) -> None:
        if proxy_id in self.proxies:
            self.set_tables_in_use(proxy_id, dict.fromkeys(range(self.class_count), []))
            proxy = self.proxies.pop(proxy_id)
            self._remove_from_group(proxy_id, proxy.assigned_tables)

    def set_tables_in_use(self, proxy_id: int, tables_in_use: TablesInUse) -> None:
        """The one place where a proxy comes to hold other tables: what it may be using of these
        products now.
        """
        proxy = self.proxies[proxy_id]
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
                self._adjust_use_count(table, delta)
        if any(
            (entries[-1][0] if entries else None) is not proxy.assigned_tables[traffic_class]
            for traffic_class, entries in tables_in_use.items()
        ):
            assigned_tables = tuple(
                proxy.tables_in_use[traffic_class][-1][0]
                if traffic_class in proxy.tables_in_use
                else None
                for traffic_class in range(self.class_count)
            )
            self._remove_from_group(proxy_id, proxy.assigned_tables)
            for sign, tables in ((-1.0, proxy.assigned_tables), (1.0, assigned_tables)):
                for assigned in tables:
                    if assigned is not None:
                        assigned.request_rate += sign * proxy.request_rate
                        self._update_coverage(assigned)
            proxy.assigned_tables = assigned_tables
            self._add_to_group(proxy_id, assigned_tables)

    def _adjust_use_count(self, table: Table, delta: int) -> None:
        table.use_count += delta
        if table.use_count:
            self.tables_in_use[table.sequence] = table
            if table.sequence not in self.retained_tables:
                self._retain(table)
        else:
            self.tables_in_use.pop(table.sequence, None)
            if table.is_subset:
                self.retained_tables.pop(table.sequence, None)
        self._update_coverage(table)

    def _update_coverage(self, table: Table) -> None:
        is_covered = table.is_subset and table.use_count > 0 and table.request_rate != 0.0
        if is_covered != table.is_covered:
            table.is_covered = is_covered
            for row in table.weights:
                self.subset_coverage.adjust_count(row, 1 if is_covered else -1)

    def set_entry(
        self, table: Table, row: int, weight: float | None, weight_fraction: float = 1.0
    ) -> None:
        """The one place where a line of a table laid changes; None takes it away."""
        if table.is_covered and (row in table.weights) != (weight is not None):
            self.subset_coverage.adjust_count(row, -1 if weight is None else 1)
        table.changed_rows.add(row)
        table.cached_capacity = None
        (
            table.unready_rows.add
            if row in self.unready_rows and weight is not None
            else table.unready_rows.discard
        )(row)
        if weight is None:
            table.weights.pop(row, None), table.weight_fractions.pop(row, None)
        else:
            table.weights[row], table.weight_fractions[row] = weight, weight_fraction

    def mark_subsets(self, tables: list[Table]) -> list[Table]:
        """These are the small ones from now on."""
        for table in tables:
            table.is_subset = True
            if not table.use_count:
                self.retained_tables.pop(table.sequence, None)
        return tables

    def subsets_in_use(self) -> list[Table]:
        """The small ones in use."""
        return [table for table in self.list_tables_in_use() if table.is_subset]

    def add_table(self, table: Table) -> Table:
        self.table_count += 1
        table.sequence, self.tables[table.table_id] = self.table_count, table
        self._retain(table)
        return table

    def _retain(self, table: Table) -> None:
        self.retained_tables[table.sequence] = table
        table.unready_rows = (
            {i for i in table.weight_fractions if i in self.unready_rows}
            if self.unready_rows
            else set()
        )

    def schedule_deletion(self, table: Table, delete_at: float) -> None:
        """It is to be cleared then; never, if inf. One that was cleared already stays so."""
        table.delete_at = delete_at
        self.retiring_tables.pop(table.sequence, None)
        if delete_at < inf and self.tables.get(table.table_id) is table:
            self.retiring_tables[table.sequence] = table

    def _remove_from_group(self, proxy_id: int, assigned_tables: AssignedTables) -> None:
        members = self.groups[assigned_tables]
        del members[proxy_id]
        if not members:
            del self.groups[assigned_tables]
            for table in set(assigned_tables):
                if table is not None:
                    del self.groups_by_table[table][assigned_tables]
                    if not self.groups_by_table[table]:
                        del self.groups_by_table[table]

    def _add_to_group(self, proxy_id: int, assigned_tables: AssignedTables) -> None:
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
        proxy = self.proxies[proxy_id]
        proxy.updated_at = now
        extended: dict[
            int, list[tuple[Table, int]]
        ] = {}  # products that held the same go on as one
        for traffic_class in traffic_classes:
            if id(entries := proxy.tables_in_use.get(traffic_class, NO_TABLES)) not in extended:
                extended[id(entries)] = [*entries, (table, ack_number)]
        self.set_tables_in_use(
            proxy_id,
            {
                traffic_class: extended[id(proxy.tables_in_use.get(traffic_class, NO_TABLES))]
                for traffic_class in traffic_classes
            },
        )

    def unassign(self, proxy_id: int, traffic_classes: Iterable[int], table_id: int) -> None:
        """It never got this table."""
        tables_in_use = self.proxies[proxy_id].tables_in_use
        self.set_tables_in_use(
            proxy_id,
            {
                k: [entry for entry in tables_in_use.get(k, ()) if entry[0].table_id != table_id]
                for k in traffic_classes
            },
        )

    def record_update(
        self, table: Table, proxy_ids: Iterable[int], ack_number: int, now: float
    ) -> None:
        """These proxies, which are bound to the table, are sent lines of it."""
        for proxy in map(self.proxies.__getitem__, proxy_ids):
            proxy.updated_at = now
            for entries in proxy.distinct_tables_in_use():
                if entries[-1][0] is table:
                    entries[-1] = (table, ack_number)

    def acknowledge(self, proxy_id: int, acknowledged: list[int]) -> None:
        """It has applied all up to these marks: the tables before the newest of them are out of
        use.
        """
        remaining: dict[int, list[tuple[Table, int]]] = {}
        for entries in self.proxies[proxy_id].distinct_tables_in_use():
            newest_confirmed = max(
                (n for n, (_, mark) in enumerate(entries) if not mark or mark in acknowledged),
                default=None,
            )
            if newest_confirmed:
                remaining[id(entries)] = [
                    (entries[newest_confirmed][0], 0),
                    *entries[newest_confirmed + 1 :],
                ]
            elif newest_confirmed == 0:
                entries[0] = (entries[0][0], 0)
        if remaining:
            self.set_tables_in_use(
                proxy_id,
                {
                    k: remaining[id(entries)]
                    for k, entries in self.proxies[proxy_id].tables_in_use.items()
                    if id(entries) in remaining
                },
            )

    def retire_unused(self, tables: Iterable[Table], now: float) -> None:
        """Those of them that nobody may be using are cleared next, the others are not."""
        for table in tables:
            self.schedule_deletion(table, inf if table.use_count else now)

    def has_retiring_tables(self) -> bool:
        return bool(self.retiring_tables)

    def take_deletable(self, now: float) -> list[int]:
        """Takes away the tables whose time has come and that nobody may be using; gives their
        numbers.
        """
        deletable = [
            self.retiring_tables[n]
            for n in sorted(self.retiring_tables)
            if self.retiring_tables[n].delete_at <= now and not self.retiring_tables[n].use_count
        ]
        for table in deletable:
            del self.tables[table.table_id], self.retiring_tables[table.sequence]
            self.retained_tables.pop(table.sequence, None)
        return [table.table_id for table in deletable]

    def referenced_rows(self, *extra_rows: Iterable[int]) -> set[int]:
        """Workers that a table laid has a line for, or for which one had a part, and these."""
        return set().union(*extra_rows, *(table.weight_fractions for table in self.tables.values()))

    def list_tables_in_use(self) -> list[Table]:
        return [self.tables_in_use[place] for place in sorted(self.tables_in_use)]

    def set_ready(self, rows: Iterable[int], ready: list[bool]) -> None:
        """Workers that are ready now, or are so no more, by `ready`."""
        for row in rows:
            (self.unready_rows.discard if ready[row] else self.unready_rows.add)(row)
            for table in self.retained_tables.values():
                if not ready[row] and row in table.weight_fractions:
                    table.unready_rows.add(row)
                else:
                    table.unready_rows.discard(row)

    def has_lagging_proxy(
        self, traffic_class: int, old_table: Table, table: Table, since: float
    ) -> bool:
        """Whether a proxy that was written to after `since` may not use this table of the product,
        and no other; where it was changed in place, that is asked of who is bound to it alone.
        """
        confirmed = [(table, 0)]
        proxy_ids = self.assigned_proxies(table) if old_table is table else self.proxies
        return any(
            self.proxies[p].updated_at > since
            and self.proxies[p].tables_in_use.get(traffic_class) != confirmed
            for p in proxy_ids
        )

    def lagging_classes(self, updates: Mapping[int, tuple[Table, Table]], since: float) -> set[int]:
        """The same of many, by product the old table and the new: products of which it is so."""
        classes_by_update: dict[tuple[Table | None, Table], list[int]] = {}
        for traffic_class, (old_table, table) in updates.items():
            classes_by_update.setdefault((table if old_table is table else None, table), []).append(
                traffic_class
            )
        lagging = set[int]()
        for (amended_table, table), remaining in classes_by_update.items():
            for proxy in (
                map(self.proxies.__getitem__, self.assigned_proxies(amended_table))
                if amended_table
                else self.proxies.values()
            ):
                if proxy.updated_at > since and remaining:
                    confirmed = {
                        id(held) for held in proxy.distinct_tables_in_use() if held == [(table, 0)]
                    }
                    lagging.update(
                        traffic_class
                        for traffic_class in remaining
                        if id(proxy.tables_in_use.get(traffic_class)) not in confirmed
                    )
                    remaining = [
                        traffic_class for traffic_class in remaining if traffic_class not in lagging
                    ]
        return lagging

    def assigned_proxies(self, table: Table) -> list[int]:
        return [
            *chain.from_iterable(map(self.groups.__getitem__, self.groups_by_table.get(table, ())))
        ]

    def groups_by_row(self, rows: set[int]) -> dict[int, list[dict[int, None]]]:
        """By worker the groups with a line for it, or that may have one as they have no table yet."""
        groups: dict[int, list[dict[int, None]]] = {row: [] for row in rows}
        for assigned_tables, members in self.groups.items() if rows else ():
            tables = dict.fromkeys(assigned_tables)
            for row in rows:
                if None in tables or any(
                    table is not None and row in table.weights for table in tables
                ):
                    groups[row].append(members)
        return groups

    def differing_admission(
        self, admission_levels: list[tuple[float, int]]
    ) -> list[tuple[int, Table, list[dict[int, None]]]]:
        """Products and tables whose level is another, with the groups that are bound to them."""
        groups_by_table: dict[tuple[int, Table], list[dict[int, None]]] = {}
        differing_tables = {
            table
            for table in self.tables_in_use.values()
            if table.admission_levels != admission_levels
        }
        for assigned_tables, members in self.groups.items() if differing_tables else ():
            for traffic_class, table in enumerate(assigned_tables):
                if (
                    table in differing_tables
                    and table is not None
                    and table.admission_levels[traffic_class] != admission_levels[traffic_class]
                ):
                    groups_by_table.setdefault((traffic_class, table), []).append(members)
        return [
            (traffic_class, table, groups)
            for (traffic_class, table), groups in groups_by_table.items()
        ]

    def groups_to_assign(
        self, current: Mapping[int, Table], table: Table, new_proxies: bool
    ) -> dict[AssignedTables, tuple[int, ...]]:
        """Groups that are not bound to this current table for all its products, and what of it they
        lack: those that have no table for the first of that, or those that have another.
        """
        current_tables = tuple(current.values())
        missing_classes = dict[AssignedTables, tuple[int, ...]]()
        for assigned_tables in self.groups:
            classes = (
                tuple(k for k, now in current.items() if now is table is not assigned_tables[k])
                if assigned_tables != current_tables
                else ()
            )
            if classes and new_proxies == (assigned_tables[classes[0]] is None):
                missing_classes[assigned_tables] = classes
        return missing_classes

    def lacks_local_endpoint(
        self, proxy_id: int, rows_by_zone: Mapping[str, set[int]], tables: Iterable[Table | None]
    ) -> bool:
        """Whether a table among these has nobody of the proxy's zone, though by `near` (by zone)
        there is somebody.
        """
        local_rows = rows_by_zone.get(self.proxies[proxy_id].zone, set())
        return bool(local_rows) and any(
            table is not None and local_rows.isdisjoint(table.weights) for table in tables
        )

    def by_join_order(self, groups: Iterable[Iterable[int]]) -> list[int]:
        """Their members in the order of joining."""
        return sorted(chain.from_iterable(groups), key=lambda p: self.proxies[p].join_order)
