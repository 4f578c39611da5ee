"""Installed tables and the proxies assigned to them, independent of the wire format.

A reply's orders are carried out one after the other; `entries_by_proxy` then holds, for each proxy
that gets a message, the number of table entries that the decision module counts for it on the
channel. This module uses no sockets, reads no clock and makes no decisions.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)


@dataclass(eq=False)
class InstalledTable:
    """A table as ordered.

    `weights` is by worker; `admissions` gives, by traffic class, the retry policy and the admitted
    fraction.
    """

    name: str
    weights: dict[str, float] = field(default_factory=dict)
    admissions: dict[int, tuple[int, float]] = field(default_factory=dict)


@dataclass(eq=False)
class ProxyAssignment:
    """A connected proxy and the table that it uses, by traffic class."""

    table_by_class: dict[int, int] = field(default_factory=dict)


ProxyStateT = TypeVar("ProxyStateT", bound=ProxyAssignment)


@dataclass(eq=False)
class _PendingTableChange:
    """Changes of a table that are not yet counted for its proxies."""

    entry_count: float = 0.0
    admission_changed: bool = False


@dataclass(frozen=True)
class _EjectionEffect:
    """The effect of a set of ejection changes on proxies with the same tables."""

    entry_count: float
    affected_tables: set[int]


class TableInstaller(Generic[ProxyStateT]):
    """Carries out a reply's orders on tables, ejections and assignments.

    A front end subclasses it and overrides the hooks at the end to encode the effects of each order
    in its wire format. It also adds the proxies to `proxies`.
    """

    def __init__(self, traffic_class_count: int) -> None:
        self.traffic_class_count = traffic_class_count
        self.tables: dict[int, InstalledTable] = {}
        self.ejected: set[str] = set()
        self.proxies: dict[int, ProxyStateT] = {}
        # by table: the proxies assigned to it, in the order of their assignment
        self.table_users: dict[int, dict[int, None]] = {}
        # by proxy: the number of table entries of the current reply
        self.entries_by_proxy: dict[int, float] = {}
        # Consecutive changes are collected and counted for the proxies together: counted one by
        # one, a change of a whole table or many ejections would cost proxies x entries.
        self.pending_table_changes: dict[int, _PendingTableChange] = {}
        self.pending_ejection_changes: list[str] = []  # workers ejected or readmitted

    def remove_proxy(self, proxy: int) -> None:
        """Forget a proxy that has disconnected."""
        self.proxies.pop(proxy, None)
        for users in self.table_users.values():
            users.pop(proxy, None)

    def install_orders(
        self, orders: Iterable[Order], awaited_proxies: Iterable[int] = ()
    ) -> int | None:
        """Carry out the orders that concern proxies and return the reply's acknowledgement number.

        The decision loop handles the other orders. Each of `awaited_proxies` gets a message even
        if no order is for it, as the module awaits its acknowledgement of orders that were
        rejected. Returns None if no acknowledgement is requested.
        """
        self.entries_by_proxy = {}
        self.pending_table_changes = {}
        self.pending_ejection_changes = []
        ack_number = None
        for order in orders:
            match order:
                case SetWeight() | DeleteTable() | SetAdmission():
                    self._update_table(order)
                case AssignTable(proxy, traffic_classes, table_id) if proxy in self.proxies:
                    self._assign_table(proxy, traffic_classes, table_id)
                case SetEjected(worker, is_ejected):
                    self._set_ejected(worker, is_ejected)
                case RequestAcknowledgement(requested_number, from_all_proxies):
                    ack_number = requested_number
                    self._flush_pending_changes()
                    self._add_awaited(self.proxies if from_all_proxies else awaited_proxies)
        self._flush_pending_changes()
        return ack_number

    def _add_awaited(self, awaited_proxies: Iterable[int]) -> None:
        """Ensure that each of these proxies gets a message, possibly without table entries."""
        for proxy in awaited_proxies:
            if proxy in self.proxies:
                self.entries_by_proxy.setdefault(proxy, 0.0)

    def _get_or_create_table(self, table_id: int) -> InstalledTable:
        if table_id not in self.tables:
            self.tables[table_id] = InstalledTable(self.table_name(table_id))
        return self.tables[table_id]

    def _update_table(self, order: SetWeight | DeleteTable | SetAdmission) -> None:
        table = self._get_or_create_table(order.table_id)
        if self.pending_ejection_changes:
            self._flush_pending_changes()  # ejections are counted by the entries before the change
        match order:
            case SetWeight(_, worker, weight):
                table.weights[worker] = weight
                if not weight:
                    del table.weights[worker]
            case SetAdmission(_, traffic_class, retry_policy, admitted_fraction):
                table.admissions[traffic_class] = (retry_policy, admitted_fraction)
            case DeleteTable(table_id):
                del self.tables[table_id]
        self.on_table_updated(order, table)
        if self.table_users.get(order.table_id):
            change = self.pending_table_changes.get(order.table_id)
            if change is None:
                change = _PendingTableChange()
                self.pending_table_changes[order.table_id] = change
            change.entry_count += 1.0
            if isinstance(order, SetAdmission):
                change.admission_changed = True
        if isinstance(order, DeleteTable):
            self._flush_pending_changes()
            self.table_users.pop(order.table_id, None)

    def _flush_pending_changes(self) -> None:
        """Count the pending changes for the proxies that use the tables now."""
        pending = self.pending_table_changes
        self.pending_table_changes = {}
        for table_id, change in pending.items():
            for proxy in self.table_users[table_id]:
                self._add_entries(proxy, change.entry_count)
                self.on_proxy_table_changed(proxy, table_id, change.admission_changed)
        if self.pending_ejection_changes:
            self._flush_ejection_changes()

    def _flush_ejection_changes(self) -> None:
        """Count, for each proxy, one entry per changed worker in its tables.

        For a proxy that has a traffic class without a known table, all changed workers count.
        """
        changed_workers = self.pending_ejection_changes
        self.pending_ejection_changes = []
        changed_workers_by_table = {
            table_id: {worker for worker in changed_workers if worker in table.weights}
            for table_id, table in self.tables.items()
        }
        effect_by_assignment: dict[tuple[int, ...], _EjectionEffect] = {}
        for proxy, assignment in self.proxies.items():
            assigned_tables = tuple(assignment.table_by_class.values())
            effect = effect_by_assignment.get(assigned_tables)
            if effect is None:
                effect = self._ejection_effect(
                    assigned_tables, changed_workers, changed_workers_by_table
                )
                effect_by_assignment[assigned_tables] = effect
            if effect.entry_count:
                self._add_entries(proxy, effect.entry_count)
                self.on_proxy_ejections_changed(proxy, effect.affected_tables)

    def _ejection_effect(
        self,
        assigned_tables: tuple[int, ...],
        changed_workers: list[str],
        changed_workers_by_table: dict[int, set[str]],
    ) -> _EjectionEffect:
        affected_tables = {
            table_id for table_id in assigned_tables if changed_workers_by_table[table_id]
        }
        if len(assigned_tables) < self.traffic_class_count:
            return _EjectionEffect(float(len(changed_workers)), affected_tables)
        affected_workers = set[str]()
        for table_id in affected_tables:
            affected_workers |= changed_workers_by_table[table_id]
        return _EjectionEffect(float(len(affected_workers)), affected_tables)

    def _assign_table(self, proxy: int, traffic_classes: tuple[int, ...], table_id: int) -> None:
        table = self._get_or_create_table(table_id)
        table_by_class = self.proxies[proxy].table_by_class
        if self._has_pending_changes(table_id, table_by_class.values()):
            self._flush_pending_changes()  # they count for the proxies assigned until now
        for assigned_table in table_by_class.values():
            self.table_users.get(assigned_table, {}).pop(proxy, None)
        table_by_class.update(dict.fromkeys(traffic_classes, table_id))
        for assigned_table in table_by_class.values():
            self.table_users.setdefault(assigned_table, {})[proxy] = None
        ejected_count = sum(worker in table.weights for worker in self.ejected)
        self._add_entries(proxy, 1.0 + len(table.weights) + len(table.admissions) + ejected_count)
        self.on_table_assigned(proxy, traffic_classes, table_id)

    def _has_pending_changes(self, table_id: int, assigned_tables: Iterable[int]) -> bool:
        """Return whether a change is pending that concerns one of these tables."""
        if self.pending_ejection_changes or table_id in self.pending_table_changes:
            return True
        return any(
            assigned_table in self.pending_table_changes for assigned_table in assigned_tables
        )

    def _set_ejected(self, worker: str, is_ejected: bool) -> None:
        if is_ejected:
            self.ejected.add(worker)
        else:
            self.ejected.discard(worker)
        self.on_ejection_changed(worker)
        if self.pending_table_changes:
            self._flush_pending_changes()
        self.pending_ejection_changes.append(worker)

    def _add_entries(self, proxy: int, entry_count: float) -> None:
        self.entries_by_proxy[proxy] = self.entries_by_proxy.get(proxy, 0.0) + entry_count

    # Hooks for a front end.

    def table_name(self, table_id: int) -> str:
        """Return the table's name on the wire."""
        return str(table_id)

    def on_table_updated(
        self, order: SetWeight | DeleteTable | SetAdmission, table: InstalledTable
    ) -> None:
        """Called after a table has been changed or deleted."""

    def on_ejection_changed(self, worker: str) -> None:
        """Called once after a worker was ejected or readmitted, even if no proxy uses it."""

    def on_proxy_table_changed(self, proxy: int, table_id: int, admission_changed: bool) -> None:
        """Called for each proxy whose table has been changed.

        `admission_changed` is whether the table's admission has been changed, not only its entries.
        """

    def on_table_assigned(
        self, proxy: int, traffic_classes: tuple[int, ...], table_id: int
    ) -> None:
        """Called after a proxy has been assigned to a table for these traffic classes."""

    def on_proxy_ejections_changed(self, proxy: int, affected_tables: set[int]) -> None:
        """Called for each proxy that may use a worker that was ejected or readmitted.

        `affected_tables` are the proxy's tables with an entry for such a worker; it is empty if
        only a table that is not known may have one.
        """
