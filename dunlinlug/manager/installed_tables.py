"""Tables as laid and who is bound to them: what a reply of the module touches, whatever the wire.

A reply's orders are carried out one after the other; `touched` then holds, for each proxy that gets
a message, the lines that the module reckons for it. No socket, no clock, no decision.
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
    """A table as ordered: weights by worker, and by product the way of trying again and the share
    let in.
    """

    name: str
    weights: dict[str, float] = field(default_factory=dict)
    admissions: dict[int, tuple[int, float]] = field(default_factory=dict)


@dataclass(eq=False)
class ProxyAssignment:
    """A joined proxy and its table by product."""

    table_by_class: dict[int, int] = field(default_factory=dict)


Seated = TypeVar("Seated", bound=ProxyAssignment)


class TableInstaller(Generic[Seated]):
    """Tables, withdrawals and seats. A front's own part fills in what its wire needs to know of
    each order.
    """

    def __init__(self, traffic_class_count: int) -> None:
        self.traffic_class_count = traffic_class_count
        self.tables: dict[int, InstalledTable] = {}
        self.ejected: set[str] = set()
        self.proxies: dict[int, Seated] = {}
        self.table_users: dict[
            int, dict[int, None]
        ] = {}  # by table the proxies bound to it, in the order they were
        self.entries_by_proxy: dict[int, float] = {}  # lines by proxy in the reply at hand
        # Told to proxies once the reply goes on to something else. Danger: told one by one, a
        # change or a mass of withdrawals would cost proxies x lines.
        self.pending_table_changes: dict[
            int, tuple[float, bool]
        ] = {}  # by table, its lines changed, and whether a level is among them
        self.pending_ejection_changes: list[str] = []  # workers shut out or let back

    def remove_proxy(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        for users in self.table_users.values():
            users.pop(proxy, None)

    def install_orders(
        self, orders: Iterable[Order], awaited_proxies: Iterable[int] = ()
    ) -> int | None:
        """Carry out the orders that concern proxies; the rest are the host's. `concerned` are
        touched whatever else they get, as the module awaits their answers for orders that were
        refused. Tells the reply's mark.
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
                    for proxy in self.proxies if from_all_proxies else awaited_proxies:
                        if proxy in self.proxies:
                            self.entries_by_proxy.setdefault(proxy, 0.0)
        self._flush_pending_changes()
        return ack_number

    def _get_or_create_table(self, table_id: int) -> InstalledTable:
        if table_id not in self.tables:
            self.tables[table_id] = InstalledTable(self.table_name(table_id))
        return self.tables[table_id]

    def _update_table(self, order: SetWeight | DeleteTable | SetAdmission) -> None:
        table = self._get_or_create_table(order.table_id)
        if self.pending_ejection_changes:
            self._flush_pending_changes()  # by the lines as they stand
        match order:
            case SetWeight(_, worker, weight):
                table.weights[worker] = weight
                if not weight:
                    del table.weights[worker]
            case SetAdmission(_, traffic_class, retry, admitted_fraction):
                table.admissions[traffic_class] = (retry, admitted_fraction)
            case DeleteTable(table_id):
                del self.tables[table_id]
        self.on_table_updated(order, table)
        if self.table_users.get(order.table_id):
            entry_count, admission_changed = self.pending_table_changes.get(
                order.table_id, (0.0, False)
            )
            self.pending_table_changes[order.table_id] = (
                entry_count + 1.0,
                admission_changed or isinstance(order, SetAdmission),
            )
        if isinstance(order, DeleteTable):
            self._flush_pending_changes()
            self.table_users.pop(order.table_id, None)

    def _flush_pending_changes(self) -> None:
        pending = self.pending_table_changes
        self.pending_table_changes = {}
        for table_id, (entry_count, admission_changed) in pending.items():
            for proxy in self.table_users[table_id]:
                self._add_entries(proxy, entry_count)
                self.on_proxy_table_changed(proxy, table_id, admission_changed)
        if self.pending_ejection_changes:
            self._flush_ejection_changes()

    def _flush_ejection_changes(self) -> None:
        """A line to each proxy for each of these workers that a table of its own names, or that one
        not known may.
        """
        changed_workers = self.pending_ejection_changes
        self.pending_ejection_changes = []
        changed_workers_by_table = {
            tbl: {worker for worker in changed_workers if worker in laid.weights}
            for tbl, laid in self.tables.items()
        }
        result_by_assignment: dict[tuple[int, ...], tuple[float, set[int]]] = {}
        for proxy, assignment in self.proxies.items():
            assigned_tables = tuple(assignment.table_by_class.values())
            if assigned_tables not in result_by_assignment:
                affected_tables = {tbl for tbl in assigned_tables if changed_workers_by_table[tbl]}
                count = (
                    len(changed_workers)
                    if len(assigned_tables) < self.traffic_class_count
                    else len(
                        set().union(*(changed_workers_by_table[tbl] for tbl in affected_tables))
                    )
                )
                result_by_assignment[assigned_tables] = (float(count), affected_tables)
            entry_count, affected_tables = result_by_assignment[assigned_tables]
            if entry_count:
                self._add_entries(proxy, entry_count)
                self.on_proxy_ejections_changed(proxy, affected_tables)

    def _assign_table(self, proxy: int, traffic_classes: tuple[int, ...], table_id: int) -> None:
        table = self._get_or_create_table(table_id)
        assignment = self.proxies[proxy]
        if (
            self.pending_ejection_changes
            or table_id in self.pending_table_changes
            or any(
                assigned_table in self.pending_table_changes
                for assigned_table in assignment.table_by_class.values()
            )
        ):
            self._flush_pending_changes()  # to who is bound as yet
        for assigned_table in assignment.table_by_class.values():
            self.table_users.get(assigned_table, {}).pop(proxy, None)
        assignment.table_by_class.update(dict.fromkeys(traffic_classes, table_id))
        for assigned_table in assignment.table_by_class.values():
            self.table_users.setdefault(assigned_table, {})[proxy] = None
        ejected_count = sum(worker in table.weights for worker in self.ejected)
        self._add_entries(proxy, 1.0 + len(table.weights) + len(table.admissions) + ejected_count)
        self.on_table_assigned(proxy, traffic_classes, table_id)

    def _set_ejected(self, worker: str, is_ejected: bool) -> None:
        (self.ejected.add if is_ejected else self.ejected.discard)(worker)
        self.on_ejection_changed(worker)
        if self.pending_table_changes:
            self._flush_pending_changes()
        self.pending_ejection_changes.append(worker)

    def _add_entries(self, proxy: int, entry_count: float) -> None:
        self.entries_by_proxy[proxy] = self.entries_by_proxy.get(proxy, 0.0) + entry_count

    # What a front fills in.

    def table_name(self, table_id: int) -> str:
        """The table's name on the wire."""
        return str(table_id)

    def on_table_updated(
        self, order: SetWeight | DeleteTable | SetAdmission, table: InstalledTable
    ) -> None:
        """A table has been changed."""

    def on_ejection_changed(self, worker: str) -> None:
        """A worker was shut out or let back, whoever uses it."""

    def on_proxy_table_changed(self, proxy: int, table_id: int, admission_changed: bool) -> None:
        """A proxy's table has been changed; `levels` where not its lines alone."""

    def on_table_assigned(
        self, proxy: int, traffic_classes: tuple[int, ...], table_id: int
    ) -> None:
        """A proxy has been bound."""

    def on_proxy_ejections_changed(self, proxy: int, affected_tables: set[int]) -> None:
        """Workers in these tables of the proxy, or in one that is not known, were shut out or let
        back.
        """
