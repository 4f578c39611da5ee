"""Handles orders that the host or its guard rejected and did not execute.

The state was changed when the order was decided. It is set back to what is installed, as far as
that is known. The same order is not retried for the duration of a slow start step, so that it is
not rejected again in every batch.
"""

from collections.abc import Iterable
from math import inf

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.slow_start import SLOW_START_INTERVAL
from dunlinlug.decision.state.tables import Proxy, Table
from dunlinlug.decision.timer import TICK_INTERVAL


def handle_rejection(state: DecisionState, now: float, order: Order) -> None:
    """Update the state for an order that was not executed."""
    match order:
        case SetWeight():
            _handle_rejected_weight(state, now, order)
        case AssignTable():
            _handle_rejected_assignment(state, now, order)
        case SetEjected():
            _handle_rejected_ejection(state, now, order)
        case SetAdmission():
            _handle_rejected_admission(state, now, order)
        case DeleteTable():
            # The table still exists, so its number must not be reused for a new table.
            if order.table_id not in state.assignments.tables:
                state.assignments.add_table(Table(order.table_id, {}, {}, []))


def _handle_rejected_weight(state: DecisionState, now: float, order: SetWeight) -> None:
    """Restore the entry that the endpoint had in the table before the order."""
    row = state.fleet.row_by_id.get(order.worker)
    if row is None:
        return
    state.blocked.rows[row] = now + SLOW_START_INTERVAL
    table = state.assignments.tables.get(order.table_id)
    if table is None:
        return
    entry = state.last_batch.previous_entry(table, row)
    if entry is None:
        state.assignments.set_entry(table, row, None)
    else:
        state.assignments.set_entry(table, row, entry.weight, entry.weight_fraction)


def _handle_rejected_assignment(state: DecisionState, now: float, order: AssignTable) -> None:
    """Record that the proxy does not use the table, and delay its next assignment."""
    proxy = state.assignments.proxies.get(order.proxy)
    if proxy is None:
        return
    state.assignments.unassign(order.proxy, order.traffic_classes, order.table_id)
    # An empty table is rejected if the proxy connected before the endpoint list arrived. A shorter
    # delay keeps the proxy from being without an endpoint for the duration of a slow start step.
    table = state.assignments.tables.get(order.table_id)
    is_urgent = table is not None and not table.weights
    is_urgent = is_urgent or lacks_usable_endpoint(state, proxy, order.traffic_classes)
    proxy.assign_after = now + (TICK_INTERVAL if is_urgent else SLOW_START_INTERVAL)
    # The update must not wait for the proxy: nobody else may get another table meanwhile, and each
    # retry would prolong the wait.
    proxy.updated_at = -inf


def lacks_usable_endpoint(
    state: DecisionState, proxy: Proxy, traffic_classes: Iterable[int]
) -> bool:
    """Whether all endpoints of the proxy's table for one of these classes are ejected."""
    tables = {proxy.assigned_tables[traffic_class] for traffic_class in traffic_classes}
    return any(table is not None and table.weights.keys() <= state.ejected_rows for table in tables)


def must_wait(
    state: DecisionState, now: float, proxy: Proxy, traffic_classes: Iterable[int]
) -> bool:
    """Whether a proxy is not assigned again yet because its last assignment was rejected."""
    remaining = proxy.assign_after - now
    if remaining <= 0.0:
        return False
    # The longer delay is cut short for a proxy that has lost all its endpoints since.
    return remaining <= TICK_INTERVAL or not lacks_usable_endpoint(state, proxy, traffic_classes)


def _handle_rejected_ejection(state: DecisionState, now: float, order: SetEjected) -> None:
    """Record that the ejection did not start or end.

    Until a mandatory ejection is accepted, proxies use an endpoint that they must not use.
    """
    row = state.fleet.row_by_id.get(order.worker)
    if row is None:
        return
    if order.ejected and row in state.last_batch.mandatory_ejections:
        state.blocked.mandatory_ejections[row] = now + TICK_INTERVAL
    else:
        state.blocked.rows[row] = now + SLOW_START_INTERVAL
    if order.ejected:
        state.ejected_rows.discard(row)
    else:
        state.ejected_rows.add(row)


def _handle_rejected_admission(state: DecisionState, now: float, order: SetAdmission) -> None:
    """Restore the admission level that the class had in the table before the order."""
    if order.traffic_class >= state.parameters.class_count:
        return
    state.blocked.classes[order.traffic_class] = now + SLOW_START_INTERVAL
    table = state.assignments.tables.get(order.table_id)
    if table is not None:
        default_level = (state.parameters.full_admission, state.parameters.default_retry_policy)
        table.admission_levels[order.traffic_class] = table.previous_levels.get(
            order.traffic_class, default_level
        )
