"""Table usage as it would be with the orders of a batch, while they are validated one by one.

Only what the orders change is copied; everything else is read from the committed state.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dunlinlug.decision.orders import AssignTable, Order, SetAdmission, SetEjected, SetWeight
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.guard.capacity_estimates import CapacityEstimates
from dunlinlug.guard.demand_totals import DemandGroup, DemandTotals
from dunlinlug.guard.endpoints import ListedEndpoints
from dunlinlug.guard.table_usage import Admission, TableContents, TableUsage


@dataclass(frozen=True)
class CommittedState:
    """The validator's state after all earlier batches."""

    settings: ManagerSettings
    endpoints: ListedEndpoints
    usage: TableUsage
    estimates: CapacityEstimates
    demand_totals: DemandTotals


class TentativeUsage:
    """The committed state overlaid with the accepted orders of one batch.

    Attributes:
        changed_tables: Tables that the batch has changed, by id, with all their contents.
        new_assignments: By proxy and traffic class, the tables that the batch assigned.
        new_proxies: By table, the proxies that the batch assigned to it; dicts keep their order.
        changed_ejections: By endpoint id, whether the batch ejected or readmitted it.
    """

    def __init__(self, committed: CommittedState, now: float) -> None:
        self.committed = committed
        self.now = now
        self.changed_tables: dict[int, TableContents] = {}
        self.new_assignments: dict[tuple[int, int], list[int]] = {}
        self.new_proxies: dict[int, dict[int, None]] = {}
        self.changed_ejections: dict[str, bool] = {}
        self._demand_by_group: dict[DemandGroup, float] | None = None
        self._total_weights: dict[int, float] = {}
        self._usable_workers: dict[int, list[str]] = {}

    # The state with the orders accepted so far.

    def table(self, table_id: int) -> TableContents:
        """The contents of a table; empty if there is no such table."""
        return (
            self.changed_tables.get(table_id)
            or self.committed.usage.tables.get(table_id)
            or TableContents()
        )

    def possible_tables(self, proxy: int, traffic_class: int) -> list[int]:
        """Ids of the tables that a proxy may be using for a traffic class, oldest first."""
        committed_tables = self.committed.usage.possible_tables(proxy, traffic_class)
        return committed_tables + self.new_assignments.get((proxy, traffic_class), [])

    def proxies_on(self, table_id: int) -> list[int]:
        """The proxies that may be using a table."""
        return [
            *self.committed.usage.proxies_by_table().get(table_id, ()),
            *self.new_proxies.get(table_id, ()),
        ]

    def tables_in_use(self) -> list[int]:
        """Ids of the tables that some proxy may be using."""
        return list(dict.fromkeys([*self.committed.usage.proxies_by_table(), *self.new_proxies]))

    def tables_in_use_with(self, worker: str) -> list[int]:
        """Ids of the tables in use that have an entry of this endpoint."""
        return [
            table_id for table_id in self.tables_in_use() if worker in self.table(table_id).weights
        ]

    def may_be_ejected(self, worker: str) -> bool:
        """Whether the endpoint may be ejected at some proxy."""
        return self.changed_ejections.get(worker, False) or self.committed.usage.may_be_ejected(
            worker
        )

    def is_ejected_everywhere(self, worker: str) -> bool:
        """Whether the endpoint is certainly ejected at all proxies."""
        return self.committed.usage.is_ejected_everywhere(worker) and self.changed_ejections.get(
            worker, True
        )

    def usable_workers(self, table_id: int) -> list[str]:
        """The endpoints of a table that every proxy on it can certainly use."""
        usable = self._usable_workers.get(table_id)
        if usable is None:
            usable = [
                worker
                for worker in self.table(table_id).weights
                if self.committed.endpoints.is_ready(worker) and not self.may_be_ejected(worker)
            ]
            self._usable_workers[table_id] = usable
        return usable

    # The load that an endpoint could be sent.

    def demand_by_group(self) -> dict[DemandGroup, float]:
        """Requests per second by traffic class and the tables that their proxies may be using."""
        if self._demand_by_group is None:
            self._demand_by_group = dict(self.committed.demand_totals.by_group(self.now))
            for proxy, traffic_class in self.new_assignments:
                self._move_demand(
                    proxy,
                    traffic_class,
                    self.committed.usage.possible_tables(proxy, traffic_class),
                    self.possible_tables(proxy, traffic_class),
                )
        return self._demand_by_group

    def _move_demand(
        self, proxy: int, traffic_class: int, old_tables: Iterable[int], new_tables: Iterable[int]
    ) -> None:
        demand = self.demand_by_group()
        proxy_demand = self.committed.estimates.expected_demand(self.now, proxy, traffic_class)
        old_group = (traffic_class, tuple(old_tables))
        new_group = (traffic_class, tuple(new_tables))
        if old_group[1]:
            demand[old_group] = demand.get(old_group, 0.0) - proxy_demand
        if new_group[1]:
            demand[new_group] = demand.get(new_group, 0.0) + proxy_demand

    def max_load(self, worker: str) -> float:
        """Attempts per second that all proxies together may send to an endpoint.

        For each proxy, the table that sends the most counts, of those that it may be using.
        """
        if self.is_ejected_everywhere(worker):
            return 0.0
        return sum(
            max(self._attempts_per_request(worker, table_id, traffic_class) for table_id in tables)
            * demand
            for (traffic_class, tables), demand in self.demand_by_group().items()
        )

    def _attempts_per_request(self, worker: str, table_id: int, traffic_class: int) -> float:
        """Attempts at the endpoint per request that a proxy on this table receives."""
        table = self.table(table_id)
        weight = table.weights.get(worker, 0.0)
        if not weight:
            return 0.0
        usable_weight = self._total_weight(table_id)
        if self.may_be_ejected(worker):
            usable_weight = usable_weight + weight
        admission = table.admission.get(traffic_class)
        if admission is None:
            admission = Admission(self.committed.settings.default_retry_policy, 1.0)
        return (
            weight
            / usable_weight
            * min(admission.admitted_fraction, 1.0)
            * self.committed.estimates.attempts_per_request(admission.retry_policy)
        )

    def _total_weight(self, table_id: int) -> float:
        """The total weight of a table's endpoints that are certainly not ejected."""
        if table_id not in self._total_weights:
            self._total_weights[table_id] = sum(
                weight
                for worker, weight in self.table(table_id).weights.items()
                if not self.may_be_ejected(worker)
            )
        return self._total_weights[table_id]

    # Effects of an order.

    def is_unchanged(self, order: SetWeight) -> bool:
        """Whether the entry already has the weight that the order sets."""
        return self.table(order.table_id).weights.get(order.worker, 0.0) == order.weight

    def with_weight(self, order: SetWeight) -> "TentativeUsage":
        """The usage with an entry's weight set; only for computing loads."""
        changed = self._shallow_copy()
        table = self.table(order.table_id)
        weights = dict(table.weights)
        weights[order.worker] = order.weight
        changed.changed_tables = dict(self.changed_tables)
        changed.changed_tables[order.table_id] = TableContents(weights, table.admission)
        changed._total_weights = dict(self._total_weights)
        changed._total_weights.pop(order.table_id, None)
        return changed

    def with_assignment(self, order: AssignTable) -> "TentativeUsage":
        """The usage with a proxy assigned to a table; only for computing loads."""
        changed = self._shallow_copy()
        changed._demand_by_group = dict(self.demand_by_group())
        changed.new_assignments = dict(self.new_assignments)
        for traffic_class in order.traffic_classes:
            key = (order.proxy, traffic_class)
            old_tables = self.possible_tables(order.proxy, traffic_class)
            changed.new_assignments[key] = [*self.new_assignments.get(key, []), order.table_id]
            changed._move_demand(
                order.proxy, traffic_class, old_tables, [*old_tables, order.table_id]
            )
        return changed

    def with_readmission(self, worker: str) -> "TentativeUsage":
        """The usage with an endpoint readmitted; only for computing loads."""
        changed = self._shallow_copy()
        changed.changed_ejections = dict(self.changed_ejections)
        changed.changed_ejections[worker] = False
        return changed

    def _shallow_copy(self) -> "TentativeUsage":
        """A copy that shares all attributes; the caller replaces those that it changes."""
        copied = TentativeUsage(self.committed, self.now)
        copied.changed_tables = self.changed_tables
        copied.new_assignments = self.new_assignments
        copied.new_proxies = self.new_proxies
        copied.changed_ejections = self.changed_ejections
        copied._demand_by_group = self.demand_by_group()
        copied._total_weights = self._total_weights
        return copied

    def apply(self, order: Order) -> None:
        """Apply an accepted order of the batch."""
        match order:
            case SetWeight(table_id, worker, weight):
                self._writable_table(table_id).set_weight(worker, weight)
                self._total_weights.pop(table_id, None)
                self._usable_workers.pop(table_id, None)
            case SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction):
                admission = Admission(retry_policy, admitted_fraction)
                self._writable_table(table_id).admission[traffic_class] = admission
            case AssignTable(proxy) if proxy in self.committed.usage.assignments:
                self._assign(order)
            case SetEjected(worker, ejected):
                self.changed_ejections[worker] = ejected
                self._total_weights.clear()
                self._usable_workers.clear()

    def _assign(self, order: AssignTable) -> None:
        for traffic_class in order.traffic_classes:
            if self._demand_by_group is not None:
                old_tables = self.possible_tables(order.proxy, traffic_class)
                self._move_demand(
                    order.proxy, traffic_class, old_tables, [*old_tables, order.table_id]
                )
            assigned = self.new_assignments.setdefault((order.proxy, traffic_class), [])
            assigned.append(order.table_id)
        self.new_proxies.setdefault(order.table_id, {})[order.proxy] = None

    def _writable_table(self, table_id: int) -> TableContents:
        if table_id not in self.changed_tables:
            table = self.committed.usage.tables.get(table_id, TableContents())
            self.changed_tables[table_id] = table.copy()
        return self.changed_tables[table_id]
