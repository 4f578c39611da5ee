"""Reconciliation: orders the differences between the desired and the installed state.

`reconcile` is the entry point and the only function that returns orders. Their sequence matters for
safety: ejections (`update_ejections`) come first, then admission, then table changes, which may
wait for room in the channel. Owns the logged weight limits and the last acknowledgement number.
"""

from dataclasses import dataclass
from itertools import chain
from math import inf

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.ejections import update_ejections
from dunlinlug.decision.flow_control import (
    ADMISSION,
    BASE_DRAIN_TIME,
    OrderBatch,
)
from dunlinlug.decision.orders import (
    CheckHealth,
    DeleteTable,
    LogMessage,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    WatchEndpoints,
)
from dunlinlug.decision.state.pending_acks import next_free_number
from dunlinlug.decision.subsets import assign_subsets, update_subsets
from dunlinlug.decision.table_orders import create_table
from dunlinlug.decision.table_update import begin_updates, switch_tables
from dunlinlug.decision.timer import set_timer


@dataclass(frozen=True)
class ChannelConditions:
    """Capacity of the channel relative to the number of proxies and the size of their tables."""

    # Sending the tables of all classes to all proxies takes longer than `BASE_DRAIN_TIME`.
    is_crowded: bool
    # Sending one table to all proxies takes longer than a slow start, so proxies keep subsets.
    is_constrained: bool


def reconcile(state: DecisionState, now: float, desired: DesiredState) -> list[Order]:
    """Return the orders of this batch, in the order in which they take effect."""
    state.last_ack_number = next_free_number(state.last_ack_number, state.budget.pending_replies)
    batch = OrderBatch(state.budget, now, state.last_ack_number)
    state.last_batch.clear()
    report_limits(state, batch, desired)
    state.rows_to_plan.clear()
    state.desired_weights.set_ejected(desired.ejected)
    if not state.tables.current_tables:
        create_first_tables(state, batch, desired)
    awaits_all_proxies = _order_differences(state, batch, desired)
    # Deletions are not charged to the channel: no proxy is assigned to these tables.
    batch.orders.extend(DeleteTable(table_id) for table_id in state.assignments.take_deletable(now))
    if batch.entries_by_proxy:
        batch.orders.append(RequestAcknowledgement(batch.ack_number, awaits_all_proxies))
        state.budget.record(batch.ack_number, now, batch.entries_by_proxy)
    if state.list_polling.retry_at <= now:
        state.list_polling.retry_at = inf
        batch.orders.append(WatchEndpoints())
    set_timer(state, batch, desired)
    return batch.orders


def _order_differences(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> bool:
    """Order ejections, admission and tables; return whether all proxies must acknowledge."""
    channel = channel_conditions(state, desired)
    state.is_channel_constrained = channel.is_constrained
    if channel.is_crowded:
        assign_subsets(state, batch, desired)
    update_ejections(state, batch, desired)
    update_admission(state, batch, desired)
    distances = state.desired_weights.distances(
        state.tables.current_tables.values(), desired.weights
    )
    class_order = sorted(
        range(state.parameters.class_count), key=lambda traffic_class: -distances[traffic_class]
    )
    changed_classes = [each for each in class_order if distances[each]]
    awaits_all_proxies = begin_updates(state, batch, desired, changed_classes, channel.is_crowded)
    if channel.is_constrained and not batch.exceeds_drain(BASE_DRAIN_TIME):
        update_subsets(state, batch, desired)
    switch_tables(state, batch, class_order, channel.is_crowded)
    return awaits_all_proxies


def report_limits(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Log changed weight limits, and order health checks of ejected endpoints that are due."""
    detector = state.outlier_detector
    due_ejections = detector.due_ejections(batch.now)
    rows = {*state.rows_to_plan, *due_ejections} & desired.weight_fractions.keys()
    for row in sorted(rows):
        worker = state.fleet.ids[row]
        weight_limit = detector.weight_limits[row]
        if weight_limit != state.logged_limits.get(row, 1.0):
            state.logged_limits[row] = weight_limit
            text = (
                f"{worker} to {weight_limit}: {detector.failure_rate(row):.2f} of "
                f"{detector.attempts[row]:.0f} tries voided, "
                f"pace {detector.mean_latency(row):.2f} s"
            )
            batch.orders.append(LogMessage(text))
        is_due = not weight_limit and detector.due_at[row] <= batch.now
        if state.parameters.can_check_health and is_due and row not in state.blocked.rows:
            detector.postpone(row)  # until the health check completes
            batch.orders.append(CheckHealth(worker))


def create_first_tables(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Create the first tables, one for each group of classes with the same weights."""
    distinct_weights = {id(weights): weights for weights in desired.weights}
    created_tables = {
        key: create_table(state, batch, desired, weights)
        for key, weights in distinct_weights.items()
    }
    state.tables.current_tables = {
        traffic_class: created_tables[id(weights)]
        for traffic_class, weights in enumerate(desired.weights)
    }


def channel_conditions(state: DecisionState, desired: DesiredState) -> ChannelConditions:
    """Compare the cost of the tables of all proxies with the channel's rate.

    The paper assumes that changes are small relative to the channel's capacity. The handling of
    crowded and constrained channels departs from it (`docs/design.md`).
    """
    entries_per_second = state.budget.entries_per_second
    table_entries = max(map(len, desired.weights)) + 2.0
    entries = table_entries * len(state.assignments.proxies)
    is_crowded = state.parameters.class_count * entries > BASE_DRAIN_TIME * entries_per_second
    return ChannelConditions(
        is_crowded,
        is_crowded
        and not desired.differs_by_class()
        and entries > state.parameters.warm_up_time * entries_per_second,
    )


def update_admission(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Order the admitted fraction and retry policy of each table and class where they differ."""
    differences = state.assignments.differing_admission(desired.admission_levels)
    for (traffic_class, table), groups in differences.items():
        if batch.now < state.blocked.classes.get(traffic_class, 0.0):
            continue
        proxy_ids = [*chain.from_iterable(groups)]
        if batch.reserve(proxy_ids, 1.0, ADMISSION):
            level = desired.admission_levels[traffic_class]
            table.previous_levels[traffic_class] = table.admission_levels[traffic_class]
            table.admission_levels[traffic_class] = level
            admitted_fraction, retry_policy = level
            batch.orders.append(
                SetAdmission(table.table_id, traffic_class, retry_policy, admitted_fraction)
            )
