"""Which tables each proxy may be using: until it acknowledges a new table, both old and new.

Until all proxies have acknowledged an ejection or readmission, the endpoint counts as ejected for
one kind of check and not for the other. When checking whether a proxy could be left without an
endpoint, an endpoint counts as ejected from the order on, and as readmitted only once all proxies
have acknowledged that. When estimating the load that it could be sent, the reverse holds.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from dunlinlug.decision.events import Acknowledged, Event, ProxyConnected, ProxyDisconnected
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)


class Admission(NamedTuple):
    """What a table admits of a traffic class: retry policy (0 to 3) and admitted fraction."""

    retry_policy: int
    admitted_fraction: float


@dataclass
class TableContents:
    """A table's entries (weight by endpoint id) and its admission by traffic class."""

    weights: dict[str, float] = field(default_factory=dict)
    admission: dict[int, Admission] = field(default_factory=dict)

    def copy(self) -> "TableContents":
        """Return an independent copy."""
        return TableContents(dict(self.weights), dict(self.admission))

    def set_weight(self, worker: str, weight: float) -> None:
        """Set one entry; weight 0 removes it."""
        self.weights[worker] = weight
        if not weight:
            del self.weights[worker]


class AssignedTable(NamedTuple):
    """A table that a proxy was assigned to, and the batch with the assignment."""

    table_id: int
    batch: int


@dataclass
class PendingEjection:
    """An ejection or readmission, its batch, and the proxies that have not acknowledged it."""

    batch: int
    awaited_proxies: set[int]


class TableUsage:
    """Tracks the orders carried out, the acknowledgements, and which proxies are connected.

    Batches of orders are numbered from 1; an acknowledgement of one covers all before it.

    Attributes:
        tables: All tables by their id, as ordered.
        assignments: By connected proxy and traffic class, the tables that it may use, oldest first.
        changed_proxies: Proxies whose tables changed since `DemandTotals` last took this; a dict
            as it keeps their order.
        ejected: Ids of the endpoints that are ejected according to the last order.
        pending_ejections: By endpoint id, its last ejection or readmission if not yet acknowledged
            by all.
        batch_by_ack_number: The batch that each acknowledgement request ended.
    """

    def __init__(self) -> None:
        self.tables: dict[int, TableContents] = {}
        self.assignments: dict[int, dict[int, list[AssignedTable]]] = {}
        self._proxies_by_table: dict[int, dict[int, None]] | None = {}
        self.changed_proxies: dict[int, None] = {}
        self.ejected: set[str] = set()
        self.pending_ejections: dict[str, PendingEjection] = {}
        self.batch_by_ack_number: dict[int, int] = {}
        self.batch = 0

    def handle(self, event: Event) -> None:
        """Process a connection, its end, or an acknowledgement; other events are ignored."""
        match event:
            case ProxyConnected(proxy):
                self._disconnect(proxy)
                self.assignments[proxy] = {}
                self._record_change(proxy)
            case ProxyDisconnected(proxy):
                self._disconnect(proxy)
            case Acknowledged(proxy, ack_number) if ack_number in self.batch_by_ack_number:
                self._acknowledge(proxy, self.batch_by_ack_number[ack_number])

    def _disconnect(self, proxy: int) -> None:
        if self.assignments.pop(proxy, None):
            self._record_change(proxy)
        self._acknowledge(proxy, self.batch)

    def _record_change(self, proxy: int) -> None:
        self._proxies_by_table = None
        self.changed_proxies[proxy] = None

    def _acknowledge(self, proxy: int, batch: int) -> None:
        for worker, pending in list(self.pending_ejections.items()):
            if pending.batch <= batch:
                pending.awaited_proxies.discard(proxy)
                if not pending.awaited_proxies:
                    del self.pending_ejections[worker]
        for assigned in self.assignments.get(proxy, {}).values():
            newest_acknowledged = max(
                (index for index, table in enumerate(assigned) if table.batch <= batch),
                default=0,
            )
            if newest_acknowledged:
                del assigned[:newest_acknowledged]
                self._record_change(proxy)

    def apply(self, orders: list[Order]) -> None:
        """Apply the orders of one batch that are carried out."""
        self.batch += 1
        for order in orders:
            self._apply_order(order)

    def _apply_order(self, order: Order) -> None:
        match order:
            case SetWeight(table_id, worker, weight):
                self._table(table_id).set_weight(worker, weight)
            case SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction):
                admission = Admission(retry_policy, admitted_fraction)
                self._table(table_id).admission[traffic_class] = admission
            case DeleteTable(table_id):
                self.tables.pop(table_id, None)
            case AssignTable(proxy, traffic_classes, table_id) if proxy in self.assignments:
                self._assign(proxy, traffic_classes, table_id)
            case SetEjected(worker, ejected):
                self._set_ejected(worker, ejected)
            case RequestAcknowledgement(ack_number):
                self.batch_by_ack_number[ack_number] = self.batch

    def _table(self, table_id: int) -> TableContents:
        return self.tables.setdefault(table_id, TableContents())

    def _assign(self, proxy: int, traffic_classes: tuple[int, ...], table_id: int) -> None:
        for traffic_class in traffic_classes:
            assigned = self.assignments[proxy].setdefault(traffic_class, [])
            assigned.append(AssignedTable(table_id, self.batch))
        self._record_change(proxy)

    def _set_ejected(self, worker: str, ejected: bool) -> None:
        if ejected:
            self.ejected.add(worker)
        else:
            self.ejected.discard(worker)
        self.pending_ejections[worker] = PendingEjection(self.batch, set(self.assignments))

    def may_be_ejected(self, worker: str) -> bool:
        """Whether the endpoint may be ejected at some proxy."""
        return worker in self.ejected or worker in self.pending_ejections

    def is_ejected_everywhere(self, worker: str) -> bool:
        """Whether the endpoint is certainly ejected at all proxies."""
        return worker in self.ejected and worker not in self.pending_ejections

    def proxies_by_table(self) -> dict[int, dict[int, None]]:
        """The proxies that may be using each table; recomputed only after a change."""
        if self._proxies_by_table is None:
            self._proxies_by_table = {}
            for proxy, assigned_by_class in self.assignments.items():
                for assigned in assigned_by_class.values():
                    for table in assigned:
                        self._proxies_by_table.setdefault(table.table_id, {})[proxy] = None
        return self._proxies_by_table

    def possible_tables(self, proxy: int, traffic_class: int) -> list[int]:
        """Ids of the tables that a proxy may be using for a traffic class, oldest first."""
        assigned = self.assignments.get(proxy, {}).get(traffic_class, ())
        return [table.table_id for table in assigned]
