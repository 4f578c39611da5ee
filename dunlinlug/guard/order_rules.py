"""The rules that orders must satisfy; `docs/guard.md` lists them for operators."""

from collections.abc import Sequence
from dataclasses import replace
from math import isfinite

from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.guard.load_limits import LoadLimits
from dunlinlug.guard.rejection import Rejection, RejectionRule
from dunlinlug.guard.tentative_usage import CommittedState, TentativeUsage

# A larger weight is a mistake: the weights of a fleet are within a factor of 1000 of each other.
MAX_WEIGHT = 1e6

VALIDATED_ORDERS = (SetWeight, AssignTable, SetEjected, DeleteTable, SetAdmission)


class OrderRules:
    """Validates the orders of one batch, each as if those accepted before it were applied."""

    def __init__(self, committed: CommittedState, usage: TentativeUsage, now: float) -> None:
        self.endpoints = committed.endpoints
        self.connected_proxies = committed.usage.assignments
        self.traffic_classes = committed.settings.traffic_classes
        self.usage = usage
        self.load_limits = LoadLimits(committed, now)
        self.now = now

    def validate(self, order: Order) -> Rejection | None:
        """Return why the order is rejected; None if it satisfies all rules."""
        match order:
            case SetWeight():
                return self._validate_weight(order)
            case AssignTable():
                return self._validate_assignment(order)
            case SetEjected():
                return self._validate_ejection_change(order)
            case DeleteTable():
                return self._validate_deletion(order)
            case SetAdmission():
                return self._validate_admission(order)
        return None

    def _validate_weight(self, order: SetWeight) -> Rejection | None:
        if not isfinite(order.weight) or not 0.0 <= order.weight <= MAX_WEIGHT:
            return _malformed(order, f"invalid weight {order.weight} for {order.worker}")
        if order.worker not in self.endpoints.by_id:
            return _never_listed(order, order.worker)
        proxies = self.usage.proxies_on(order.table_id)
        if not order.weight:
            return self._validate_removal(order, proxies)
        if not proxies or self.usage.is_unchanged(order):
            return None
        after = self.usage.with_weight(order)
        return self.load_limits.validate(order, self.usage, after, proxies)

    def _validate_removal(self, order: SetWeight, proxies: Sequence[int]) -> Rejection | None:
        """Reject the removal of the last usable entry of a table in use."""
        remaining = set(self.usage.usable_workers(order.table_id)) - {order.worker}
        has_entry = order.worker in self.usage.table(order.table_id).weights
        if not proxies or remaining or not has_entry or not self.endpoints.is_ready(order.worker):
            return None
        return Rejection(
            order,
            RejectionRule.WITHOUT_ENDPOINT,
            f"table {order.table_id} would have no usable entry left",
            "an entry for another ready worker must be added first",
            tuple(proxies),
        )

    def _validate_assignment(self, order: AssignTable) -> Rejection | None:
        class_count = len(self.traffic_classes)
        if any(not 0 <= class_index < class_count for class_index in order.traffic_classes):
            return _malformed(
                order, f"unknown product in {order.traffic_classes}, {class_count} are configured"
            )
        previous_tables = [
            table_id
            for class_index in order.traffic_classes
            for table_id in self.usage.possible_tables(order.proxy, class_index)
        ]
        if not self.usage.usable_workers(order.table_id):
            return self._unusable_table(order, previous_tables)
        rejection = self.load_limits.validate(
            order, self.usage, self.usage.with_assignment(order), [order.proxy]
        )
        if rejection is None:
            return None
        # A proxy that has just connected has no previous table and would get none at all;
        # overloading a warming endpoint is the lesser harm.
        return replace(rejection, allowed_anyway=not previous_tables)

    def _unusable_table(self, order: AssignTable, previous_tables: list[int]) -> Rejection:
        """Reject a table without a usable entry; allow it if the previous ones have none either."""
        entry_count = len(self.usage.table(order.table_id).weights)
        is_previous_usable = any(
            self.usage.usable_workers(previous_table) for previous_table in previous_tables
        )
        return Rejection(
            order,
            RejectionRule.WITHOUT_ENDPOINT,
            f"table {order.table_id} has {entry_count} entries, none of which is usable",
            "a table with a ready worker that is not ejected",
            (order.proxy,),
            allowed_anyway=not is_previous_usable and entry_count > 0,
        )

    def _validate_ejection_change(self, order: SetEjected) -> Rejection | None:
        if order.worker not in self.endpoints.by_id:
            return _never_listed(order, order.worker)
        if order.ejected:
            return self._validate_ejection(order)
        return self._validate_readmission(order)

    def _validate_ejection(self, order: SetEjected) -> Rejection | None:
        worker = order.worker
        if not self.endpoints.is_ready(worker) or self.endpoints.is_warming_up(self.now, worker):
            return None  # draining, gone and warming endpoints may always be ejected
        emptied_tables = [
            table_id
            for table_id in self.usage.tables_in_use_with(worker)
            if not set(self.usage.usable_workers(table_id)) - {worker}
        ]
        if not emptied_tables:
            return None
        return Rejection(
            order,
            RejectionRule.WITHOUT_ENDPOINT,
            f"{worker} is the last usable entry of table {emptied_tables[0]}",
            "an entry for another ready worker must be added first",
            tuple(self._proxies_on_any(emptied_tables)),
        )

    def _validate_readmission(self, order: SetEjected) -> Rejection | None:
        worker = order.worker
        if not self.endpoints.is_ready(worker):
            return self._validate_unready_readmission(order)
        if worker not in self.load_limits.rate_limits:
            return None
        return self.load_limits.validate(order, self.usage, self.usage.with_readmission(worker))

    def _validate_unready_readmission(self, order: SetEjected) -> Rejection | None:
        """Reject readmitting an endpoint that is not ready if a proxy may have a table with it.

        A proxy that is not yet assigned a table for every traffic class may still use a table from
        an earlier stream with an entry for the endpoint.
        """
        unassigned_proxies = [
            proxy
            for proxy in self.connected_proxies
            if not all(
                self.usage.possible_tables(proxy, class_index)
                for class_index in range(len(self.traffic_classes))
            )
        ]
        referencing_proxies = self._proxies_on_any(self.usage.tables_in_use_with(order.worker))
        if not unassigned_proxies and not referencing_proxies:
            return None
        return Rejection(
            order,
            RejectionRule.DRAINING,
            f"{order.worker} is not ready and tables in use may have an entry for it",
            "readmission once no table that a proxy may be using has an entry for it",
            tuple(dict.fromkeys(unassigned_proxies + referencing_proxies)),
        )

    def _proxies_on_any(self, table_ids: list[int]) -> list[int]:
        """The proxies on each of the tables in turn; a proxy on several tables is repeated."""
        return [proxy for table_id in table_ids for proxy in self.usage.proxies_on(table_id)]

    def _validate_deletion(self, order: DeleteTable) -> Rejection | None:
        proxies = self.usage.proxies_on(order.table_id)
        if not proxies:
            return None
        return Rejection(
            order,
            RejectionRule.WITHOUT_ENDPOINT,
            f"table {order.table_id} may still be in use",
            "deletion after all proxies have acknowledged another table",
            tuple(proxies),
        )

    def _validate_admission(self, order: SetAdmission) -> Rejection | None:
        is_known = 0 <= order.traffic_class < len(self.traffic_classes)
        if not is_known or not isfinite(order.admitted_fraction) or order.admitted_fraction < 0:
            return _malformed(
                order,
                f"invalid admitted fraction {order.admitted_fraction} "
                f"or unknown product {order.traffic_class}",
            )
        if order.retry_policy not in range(4):
            return _malformed(order, f"retry policy {order.retry_policy} is not from 0 to 3")
        traffic_class = self.traffic_classes[order.traffic_class]
        if order.retry_policy <= 1 or _is_safe_to_repeat(traffic_class):
            return None
        return Rejection(
            order,
            RejectionRule.UNSAFE_RETRY,
            f"retry policy {order.retry_policy} for {traffic_class.name}, "
            f"which is {traffic_class.idempotency}",
            "retry policy 0 or 1",
            tuple(self.usage.proxies_on(order.table_id)),
        )


def _is_safe_to_repeat(traffic_class: TrafficClass) -> bool:
    """Whether a request may be retried although its failed attempt may have been executed.

    A retry of any other request could repeat its effect. An idempotency key protects only among the
    endpoints that share it, and unless all share it, a retry may go to one that does not.
    """
    if traffic_class.idempotency == "idempotent":
        return True
    return traffic_class.idempotency == "referenced" and traffic_class.group == "all"


def _malformed(order: Order, reason: str) -> Rejection:
    return Rejection(
        order,
        RejectionRule.MALFORMED,
        reason,
        "a known worker and product, a weight from 0 to 1000000, "
        "an admitted fraction of 0 or more, a retry policy from 0 to 3",
    )


def _never_listed(order: Order, worker: str) -> Rejection:
    return _malformed(order, f"{worker} was never listed")
