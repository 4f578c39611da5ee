"""The judge: each reply against what every proxy may hold, the list, capacity as known and the
demand heard.

Orders are judged one by one in their order, each on what was passed before it; what is refused is
left out and all else passes. A drain, a withdrawal of a worker that is not ready, and a joiner's
first table are never refused for a reason that could wait: with nothing better to fall back on, the
lesser harm passes and is told.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf, isfinite

from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, Event, UpdateType
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.guard.capacity_estimates import CapacityEstimates
from dunlinlug.guard.demand_totals import DemandTotals
from dunlinlug.guard.table_usage import TableContents, TableUsage

# a weight beyond it is a slip of the hand: a fleet's weights lie within a thousand of each other
MAX_WEIGHT = 1e6


@dataclass(frozen=True)
class Rejection:
    """Why an order was not passed (or passed as the lesser harm): figure against limit, and what
    would pass.
    """

    order: Order
    rule: str
    reason: str
    remedy: str
    proxies: tuple[int, ...] = ()
    allowed_anyway: bool = False


class OrderValidator:
    """Hear every event first, then judge the reply to them."""

    def __init__(self, settings: ManagerSettings, enforced: bool = True) -> None:
        """With `obeyed` false every order is carried out all the same, and what proxies may hold
        follows that.
        """
        self.settings = settings
        self.traffic_class_count = len(settings.traffic_classes)
        self.enforced = enforced
        self.estimates = CapacityEstimates(settings.safety_limits, settings.traffic_classes)
        self.usage = TableUsage()
        self.workers: dict[str, Endpoint] = {}
        self.started_at: dict[str, float] = {}
        self.demand_totals = DemandTotals(self.usage, self.estimates, self.traffic_class_count)
        self.warming_up: dict[str, None] = {}  # those that may be cold
        self.validators: dict[type, Callable[[float, Order], Rejection | None]] = {
            SetWeight: self._validate_weight,
            AssignTable: self._validate_assignment,
            SetEjected: self._validate_ejection,
            DeleteTable: self._validate_deletion,
            SetAdmission: self._validate_admission,
        }

    # What is known.

    def handle(self, now: float, events: Iterable[Event]) -> None:
        for event in events:
            self.estimates.handle(now, event)
            self.usage.handle(event)
            if isinstance(event, EndpointsUpdated) and event.update_type != "failed":
                if (
                    event.update_type != "changes"
                ):  # Danger: one that a whole list does not name is gone, not unknown
                    self.workers = {
                        key: replace(worker, state=EndpointState.GONE)
                        for key, worker in self.workers.items()
                    }
                for worker in event.endpoints:
                    self.workers[worker.id] = worker
                    self.started_at[worker.id] = max(
                        self.started_at.get(worker.id, -inf), worker.started_at or -inf
                    )
                    if self._is_warming_up(now, worker.id):
                        self.warming_up[worker.id] = None

    def restore(
        self,
        now: float,
        workers: Iterable[Endpoint],
        tables: dict[int, tuple[dict[str, float], dict[int, tuple[int, float]]]],
        ejected: set[str],
    ) -> None:
        """Go on where another manager stood: its list, its tables by number (lines and levels), who
        is out.
        """
        self.handle(now, [EndpointsUpdated(UpdateType.SNAPSHOT, tuple(workers))])
        self.usage.tables = {
            table_id: TableContents(dict(weights), dict(admission))
            for table_id, (weights, admission) in tables.items()
        }
        self.usage.ejected = set(ejected)

    def is_ready(self, worker: str) -> bool:
        return worker in self.workers and self.workers[worker].state == "ready"

    def _is_warming_up(self, now: float, worker: str) -> bool:
        return now < self.started_at.get(worker, -inf) + self.settings.safety_limits.warm_up_time

    # Judging.

    def validate(self, now: float, orders: list[Order]) -> tuple[list[Order], list[Rejection]]:
        """The orders that pass, in order, and what was refused or passed as the lesser harm."""
        if not any(type(order) in self.validators for order in orders):
            self.usage.apply(orders)
            return orders, []
        passed, rejections = self._validate_each(now, orders)
        self.usage.apply(passed if self.enforced else orders)
        return passed, rejections

    def preview(self, now: float, orders: list[Order]) -> list[Rejection]:
        """What would be refused of these, without taking any of them in."""
        return self._validate_each(now, orders)[1]

    def _validate_each(
        self, now: float, orders: list[Order]
    ) -> tuple[list[Order], list[Rejection]]:
        passed: list[Order] = []
        rejections: list[Rejection] = []
        self.rate_limits = self._warm_up_rate_limits(now)
        self.tentative = _TentativeUsage(
            self.usage, self.estimates, self.settings, now, self.demand_totals
        )
        for order in orders:
            validator = self.validators.get(type(order))
            rejection = validator(now, order) if validator else None
            if rejection is not None:
                rejections.append(rejection)
            if rejection is None or rejection.allowed_anyway:
                passed.append(order)
                self.tentative.apply(order)
        return passed, rejections

    def _invalid(self, order: Order, reason: str) -> Rejection:
        return Rejection(
            order,
            "form",
            reason,
            "a table number, a known worker and product, a weight of 0 to a million",
        )

    def _validate_weight(self, now: float, order: Order) -> Rejection | None:
        assert isinstance(order, SetWeight)
        if not isfinite(order.weight) or not 0.0 <= order.weight <= MAX_WEIGHT:
            return self._invalid(order, f"weight {order.weight} for {order.worker}")
        if order.worker not in self.workers:
            return self._invalid(order, f"{order.worker} was never listed")
        table = self.tentative.table(order.table_id)
        proxies = self.tentative.proxies_on(order.table_id)
        if not order.weight:
            remaining = [
                candidate
                for candidate in self._usable_workers(order.table_id)
                if candidate != order.worker
            ]
            if (
                proxies
                and not remaining
                and self.is_ready(order.worker)
                and order.worker in table.weights
            ):
                return Rejection(
                    order,
                    "bare",
                    f"table {order.table_id} would have no usable line left",
                    "another ready worker's line first",
                    tuple(proxies),
                )
            return None
        if not proxies or self.tentative.is_unchanged(order):
            return None
        return self._validate_load(now, order, self.tentative.with_weight(order))

    def _validate_assignment(self, now: float, order: Order) -> Rejection | None:
        assert isinstance(order, AssignTable)
        if any(
            not 0 <= class_index < self.traffic_class_count for class_index in order.traffic_classes
        ):
            return self._invalid(
                order, f"products {order.traffic_classes}, of {self.traffic_class_count}"
            )
        table = self.tentative.table(order.table_id)
        if not self._usable_workers(order.table_id):
            previous_tables = [
                table_id
                for class_index in order.traffic_classes
                for table_id in self.tentative.possible_tables(order.proxy, class_index)
            ]
            reason = (
                f"table {order.table_id} has {len(table.weights)} lines and none that may be used"
            )
            is_lesser_harm = not any(
                self._usable_workers(previous_table) for previous_table in previous_tables
            ) and bool(table.weights)
            return Rejection(
                order,
                "bare",
                reason,
                "a table with a ready worker that is not withdrawn",
                (order.proxy,),
                allowed_anyway=is_lesser_harm,
            )
        rejection = self._validate_load(now, order, self.tentative.with_assignment(order))
        if rejection is None:
            return None
        # Danger: a joiner has no table of ours to stay on; a cold worker pushed is a lesser harm
        # than none at all.
        is_first_table = not any(
            self.tentative.possible_tables(order.proxy, class_index)
            for class_index in order.traffic_classes
        )
        return replace(rejection, proxies=(order.proxy,), allowed_anyway=is_first_table)

    def _validate_ejection(self, now: float, order: Order) -> Rejection | None:
        assert isinstance(order, SetEjected)
        if order.worker not in self.workers:
            return self._invalid(order, f"{order.worker} was never listed")
        if order.ejected:
            if not self.is_ready(order.worker) or self._is_warming_up(now, order.worker):
                return None  # a drain, a death or a cold one kept out: rules of their own
            emptied_tables = [
                table_id
                for table_id in self.tentative.tables_in_use()
                if order.worker in self.tentative.table(table_id).weights
                and not set(self._usable_workers(table_id)) - {order.worker}
            ]
            if emptied_tables:
                proxies = tuple(
                    proxy
                    for table_id in emptied_tables
                    for proxy in self.tentative.proxies_on(table_id)
                )
                return Rejection(
                    order,
                    "bare",
                    f"{order.worker} is the last usable line of table {emptied_tables[0]}",
                    "another ready worker's line first",
                    proxies,
                )
            return None
        if not self.is_ready(order.worker):
            return self._validate_readmission(order)
        return (
            self._validate_load(now, order, self.tentative.with_readmission(order.worker))
            if order.worker in self.rate_limits
            else None
        )

    def _validate_readmission(self, order: SetEjected) -> Rejection | None:
        """Danger: a proxy that is not bound for every product may hold tables of earlier streams
        that name it.
        """
        unassigned_proxies = [
            proxy
            for proxy in self.usage.assignments
            if not all(
                self.tentative.possible_tables(proxy, class_index)
                for class_index in range(self.traffic_class_count)
            )
        ]
        referencing_proxies = [
            proxy
            for table_id in self.tentative.tables_in_use()
            if order.worker in self.tentative.table(table_id).weights
            for proxy in self.tentative.proxies_on(table_id)
        ]
        if not unassigned_proxies and not referencing_proxies:
            return None
        return Rejection(
            order,
            "drain",
            f"{order.worker} is not ready and may be named by tables in use",
            "once no table that a proxy may hold names it",
            tuple(dict.fromkeys(unassigned_proxies + referencing_proxies)),
        )

    def _validate_deletion(self, now: float, order: Order) -> Rejection | None:
        assert isinstance(order, DeleteTable)
        proxies = self.tentative.proxies_on(order.table_id)
        if proxies:
            return Rejection(
                order,
                "bare",
                f"table {order.table_id} may still be used",
                "clearing after the last answer",
                tuple(proxies),
            )
        return None

    def _validate_admission(self, now: float, order: Order) -> Rejection | None:
        assert isinstance(order, SetAdmission)
        if (
            not 0 <= order.traffic_class < self.traffic_class_count
            or not isfinite(order.admitted_fraction)
            or order.admitted_fraction < 0
        ):
            return self._invalid(
                order, f"share {order.admitted_fraction} of product {order.traffic_class}"
            )
        if order.retry_policy not in range(4):
            return self._invalid(order, f"way of trying again {order.retry_policy}, of 0 to 3")
        traffic_class = self.settings.traffic_classes[order.traffic_class]
        # Danger: an effect twice. After a failure that proves nothing only what may run again is
        # tried again; a mark against repeats holds within its group alone, and the next worker may
        # be outside it.
        is_repeat_safe = (
            traffic_class.idempotency == "idempotent"
            or traffic_class.idempotency == "referenced"
            and traffic_class.group == "all"
        )
        if order.retry_policy > 1 and not is_repeat_safe:
            return Rejection(
                order,
                "twice",
                f"way {order.retry_policy} for {traffic_class.name}, which is {traffic_class.idempotency}",
                "way 0 or 1",
                tuple(self.tentative.proxies_on(order.table_id)),
            )
        return None

    # How much comes to a cold worker.

    def _usable_workers(self, table_id: int) -> list[str]:
        """The lines of a table that may be used for sure."""
        usable = self.tentative.usable_workers.get(table_id)
        if usable is None:
            usable = [
                worker
                for worker in self.tentative.table(table_id).weights
                if self.is_ready(worker) and not self.tentative.may_be_ejected(worker)
            ]
            self.tentative.usable_workers[table_id] = usable
        return usable

    def _warm_up_rate_limits(self, now: float) -> dict[str, float]:
        """By cold worker the txns a second that it may be sent."""
        self.warming_up = {
            worker: None for worker in self.warming_up if self._is_warming_up(now, worker)
        }
        warming_workers = [worker for worker in self.warming_up if worker in self.workers]
        if not warming_workers:
            return {}
        capacity_per_weight = self.estimates.capacity_per_weight(
            now,
            (
                (listed_worker.id, listed_worker.weight or 1.0)
                for listed_worker in self.workers.values()
                if listed_worker.state == "ready" and not self._is_warming_up(now, listed_worker.id)
            ),
        )
        return {
            listed_worker: self.estimates.max_rate(
                now,
                self.started_at[listed_worker],
                capacity_per_weight * (self.workers[listed_worker].weight or 1.0),
            )
            for listed_worker in warming_workers
        }

    def _validate_load(
        self, now: float, order: Order, after: "_TentativeUsage"
    ) -> Rejection | None:
        """Whether the order brings a cold worker more than it can carry, and more than it is
        brought without it.
        """
        for worker, rate_limit in self.rate_limits.items():
            load = after.max_load(worker) if after.can_raise_load(worker, order) else 0.0
            if load > rate_limit and load > self.tentative.max_load(worker) * (1.0 + 1e-9):
                return Rejection(
                    order,
                    "pushed",
                    f"{worker} is {now - self.started_at[worker]:.1f} s old and would be sent "
                    f"{load:.1f} txns a second by all proxies, {rate_limit:.1f} at most",
                    f"{rate_limit / load:.2f} of it at most",
                    tuple(after.affected_proxies(order)),
                )
        return None


class _TentativeUsage:
    """Holdings with the orders of the reply at hand laid over them; costs what these change."""

    def __init__(
        self,
        committed: TableUsage,
        estimates: CapacityEstimates,
        settings: ManagerSettings,
        now: float,
        demand_totals: DemandTotals,
    ) -> None:
        self.committed = committed
        self.estimates = estimates
        self.settings = settings
        self.now = now
        self.demand_totals = demand_totals
        self.changed_tables: dict[int, TableContents] = {}
        self.new_assignments: dict[tuple[int, int], list[int]] = {}
        self.changed_ejections: dict[str, bool] = {}
        self.new_proxies: dict[int, dict[int, None]] = {}  # proxies bound to a table by this reply
        self._demand_by_group: dict[tuple[int, tuple[int, ...]], float] | None = None
        self._total_weights: dict[int, float] = {}
        self.usable_workers: dict[int, list[str]] = {}  # the judge's, by table

    def table(self, table_id: int) -> TableContents:
        return (
            self.changed_tables.get(table_id)
            or self.committed.tables.get(table_id)
            or TableContents()
        )

    def possible_tables(self, proxy: int, traffic_class: int) -> list[int]:
        return self.committed.possible_tables(proxy, traffic_class) + self.new_assignments.get(
            (proxy, traffic_class), []
        )

    def proxies_on(self, table_id: int) -> list[int]:
        return [
            *self.committed.proxies_by_table().get(table_id, ()),
            *self.new_proxies.get(table_id, ()),
        ]

    def tables_in_use(self) -> list[int]:
        return list(dict.fromkeys([*self.committed.proxies_by_table(), *self.new_proxies]))

    def may_be_ejected(self, worker: str) -> bool:
        return self.changed_ejections.get(worker, False) or self.committed.may_be_ejected(worker)

    def is_surely_ejected(self, worker: str) -> bool:
        return self.committed.is_surely_ejected(worker) and self.changed_ejections.get(worker, True)

    # How much comes to a worker.

    def demand_by_group(self) -> dict[tuple[int, tuple[int, ...]], float]:
        """Txns a second by product and the tables that their proxies may be on."""
        if self._demand_by_group is None:
            self._demand_by_group = dict(self.demand_totals.by_group(self.now))
            for proxy, traffic_class in self.new_assignments:
                self._move_demand(
                    proxy,
                    traffic_class,
                    self.committed.possible_tables(proxy, traffic_class),
                    self.possible_tables(proxy, traffic_class),
                )
        return self._demand_by_group

    def _move_demand(
        self, proxy: int, traffic_class: int, old_tables: Iterable[int], new_tables: Iterable[int]
    ) -> None:
        demand = self.demand_by_group()
        proxy_demand = self.estimates.expected_demand(self.now, proxy, traffic_class)
        for tables, sign in ((tuple(old_tables), -1.0), (tuple(new_tables), 1.0)):
            if tables:
                demand[traffic_class, tables] = (
                    demand.get((traffic_class, tables), 0.0) + sign * proxy_demand
                )

    def max_load(self, worker: str) -> float:
        """Txns a second that all proxies together may bring to a worker, each on the worst table it
        may be on.
        """
        if self.is_surely_ejected(worker):
            return 0.0
        return sum(
            max(self._attempts_per_request(worker, table_id, traffic_class) for table_id in tables)
            * demand
            for (traffic_class, tables), demand in self.demand_by_group().items()
        )

    def _attempts_per_request(self, worker: str, table_id: int, traffic_class: int) -> float:
        """Tries at the worker for each txn of a product that comes to a proxy on this table."""
        table = self.table(table_id)
        weight = table.weights.get(worker, 0.0)
        if not weight:
            return 0.0
        if table_id not in self._total_weights:
            self._total_weights[table_id] = sum(
                other_weight
                for other, other_weight in table.weights.items()
                if not self.may_be_ejected(other)
            )
        usable_weight = self._total_weights[table_id] + (
            weight if self.may_be_ejected(worker) else 0.0
        )
        retry_policy, admitted_fraction = table.admission.get(
            traffic_class, (self.settings.default_retry_policy, 1.0)
        )
        return (
            weight
            / usable_weight
            * min(admitted_fraction, 1.0)
            * self.estimates.attempts_per_request(retry_policy)
        )

    def can_raise_load(self, worker: str, order: Order) -> bool:
        """Whether the order can raise what comes to this worker."""
        match order:
            case SetWeight(table_id) | AssignTable(table_id=table_id):
                return worker in self.table(table_id).weights
            case SetEjected(changed_worker):
                return worker == changed_worker
        return False

    def affected_proxies(self, order: Order) -> list[int]:
        return self.proxies_on(order.table_id) if isinstance(order, SetWeight) else []

    # What an order would make of it.

    def _copy(self) -> "_TentativeUsage":
        copied = _TentativeUsage(
            self.committed, self.estimates, self.settings, self.now, self.demand_totals
        )
        copied.changed_tables = self.changed_tables
        copied.new_assignments = self.new_assignments
        copied.changed_ejections = self.changed_ejections
        copied.new_proxies = self.new_proxies
        copied._demand_by_group = self.demand_by_group()
        copied._total_weights = self._total_weights
        return copied

    def is_unchanged(self, order: SetWeight) -> bool:
        return self.table(order.table_id).weights.get(order.worker, 0.0) == order.weight

    def with_weight(self, order: SetWeight) -> "_TentativeUsage":
        changed = self._copy()
        table = self.table(order.table_id)
        changed.changed_tables = {
            **self.changed_tables,
            order.table_id: TableContents(
                {**table.weights, order.worker: order.weight}, table.admission
            ),
        }
        changed._total_weights = {
            table_id: total
            for table_id, total in self._total_weights.items()
            if table_id != order.table_id
        }
        return changed

    def with_assignment(self, order: AssignTable) -> "_TentativeUsage":
        changed = self._copy()
        changed._demand_by_group = dict(self.demand_by_group())
        changed.new_assignments = {**self.new_assignments}
        for traffic_class in order.traffic_classes:
            old_tables = self.possible_tables(order.proxy, traffic_class)
            changed.new_assignments[order.proxy, traffic_class] = [
                *self.new_assignments.get((order.proxy, traffic_class), []),
                order.table_id,
            ]
            changed._move_demand(
                order.proxy, traffic_class, old_tables, [*old_tables, order.table_id]
            )
        return changed

    def with_readmission(self, worker: str) -> "_TentativeUsage":
        changed = self._copy()
        changed.changed_ejections = {**self.changed_ejections, worker: False}
        return changed

    def apply(self, order: Order) -> None:
        match order:
            case SetWeight(table_id, worker, weight):
                table = self._writable_table(table_id)
                table.weights[worker] = weight
                if not weight:
                    del table.weights[worker]
                self._total_weights.pop(table_id, None)
                self.usable_workers.pop(table_id, None)
            case SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction):
                self._writable_table(table_id).admission[traffic_class] = (
                    retry_policy,
                    admitted_fraction,
                )
            case AssignTable(proxy, traffic_classes, table_id) if (
                proxy in self.committed.assignments
            ):
                for traffic_class in traffic_classes:
                    if self._demand_by_group is not None:
                        old_tables = self.possible_tables(proxy, traffic_class)
                        self._move_demand(proxy, traffic_class, old_tables, [*old_tables, table_id])
                    self.new_assignments.setdefault((proxy, traffic_class), []).append(table_id)
                self.new_proxies.setdefault(table_id, {})[proxy] = None
            case SetEjected(worker, ejected):
                self.changed_ejections[worker] = ejected
                self._total_weights.clear()
                self.usable_workers.clear()

    def _writable_table(self, table_id: int) -> TableContents:
        if table_id not in self.changed_tables:
            table = self.committed.tables.get(table_id, TableContents())
            self.changed_tables[table_id] = TableContents(
                dict(table.weights), dict(table.admission)
            )
        return self.changed_tables[table_id]
