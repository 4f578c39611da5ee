"""The two-phase update that moves each traffic class from one table to the next.

It follows CCU, the concurrent two-phase update (Sukapuram and Barua, "CCU: Algorithm for Concurrent
Consistent Updates for a Software Defined Network"); `docs/design.md` lists the differences. A
traffic class corresponds to the paper's disjoint class, a proxy to its ingress, and a table number
to its version tag:

1. `begin_updates` installs a new table and requests an acknowledgement from every proxy (*Ready to
   Commit*).
2. `switch_tables` assigns the proxies to the table once all have acknowledged (*Commit OK*).
3. `advance_updates` ends the update once all assignments are acknowledged (*Ack Commit OK*), and
   schedules the deletion of the old table.

While the channel is crowded, classes with the same weights share one table, and only the entries
that differ are sent and changed in place (the paper's section V-G).
"""

from math import inf

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.flow_control import (
    BASE_DRAIN_TIME,
    TABLE_CHANGE,
    OrderBatch,
    Priority,
    Urgency,
)
from dunlinlug.decision.order_rejection import must_wait
from dunlinlug.decision.state.desired_weights import Weights
from dunlinlug.decision.state.table_versions import StagedUpdate
from dunlinlug.decision.state.tables import Table
from dunlinlug.decision.table_orders import (
    Assignment,
    amend_table,
    assign_table,
    assignment_cost,
    create_table,
)

# Number of versions in progress beyond which a ready update waits for the oldest one, as with the
# four status bits in the paper.
VERSION_WINDOW = 4
# Seconds beyond the channel's delay after which a proxy that has not acknowledged counts as silent.
ACK_TIMEOUT = 3.0
# Seconds from the last acknowledgement to the deletion of the old table.
TABLE_RETENTION = 2.0
# Urgencies of assigning proxies to a current table. The first table tells a proxy of the endpoints
# that began to drain while it was disconnected, so it may use the messages reserved for drains.
NEW_PROXY = Urgency(Priority.HEALTH, 2 * BASE_DRAIN_TIME, message_priority=Priority.MANDATORY)
SWITCH = Urgency(Priority.BULK, 2 * BASE_DRAIN_TIME)
CROWDED_SWITCH = Urgency(Priority.BULK, 3 * BASE_DRAIN_TIME)


def advance_updates(state: DecisionState, now: float) -> None:
    """Advance each update as far as acknowledgements and timeouts allow.

    Updates stop waiting for proxies that have not acknowledged within the timeout.
    """
    tables = state.tables
    ack_timeout = (
        ACK_TIMEOUT
        + state.budget.queued_entries / state.budget.entries_per_second
        + 2 * state.budget.channel.transit_time
    )
    tables.silent_since = now - ack_timeout
    lagging_classes = state.assignments.lagging_classes(
        {
            traffic_class: (update.old_table, update.table)
            for traffic_class, update in tables.staged_updates.items()
            if update.assigned
        },
        tables.silent_since,
    )
    for traffic_class, update in list(tables.staged_updates.items()):
        if update.requested_at <= tables.silent_since:
            update.awaited_proxies.clear()  # the proxies still awaited are silent
        if update.assigned and traffic_class not in lagging_classes:
            is_unused = update.old_table not in tables.current_tables.values()
            delete_at = now + TABLE_RETENTION if is_unused else inf
            state.assignments.schedule_deletion(update.old_table, delete_at)
            del tables.staged_updates[traffic_class]


def begin_updates(
    state: DecisionState,
    batch: OrderBatch,
    desired: DesiredState,
    class_order: list[int],
    is_crowded: bool,
) -> bool:
    """Begin updates of these classes, in this order.

    Returns whether all proxies must acknowledge. While the channel is crowded, classes with the
    same weights are updated together. Classes with an update in progress are skipped.
    """
    if batch.exceeds_drain(BASE_DRAIN_TIME):
        return False
    groups: dict[int, list[int]] = {}
    for traffic_class in class_order:
        if traffic_class not in state.tables.staged_updates:
            key = id(desired.weights[traffic_class]) if is_crowded else traffic_class
            groups.setdefault(key, []).append(traffic_class)
    awaits_all_proxies = False
    for group in groups.values():
        old_tables = {each: state.tables.current_tables[each] for each in group}
        table = state.tables.current_tables[group[0]]
        weights = desired.weights[group[0]]
        if not weights and state.blocked.rows:
            continue  # orders for all endpoints were rejected: the proxies keep what they have
        shares_table = is_crowded and len(set(old_tables.values())) == 1
        if shares_table and not _needs_split(state, desired, table, weights):
            if not amend_table(state, batch, desired, table, weights):
                continue
        elif batch.reserve(state.assignments.proxies, 0.0, TABLE_CHANGE):
            table = create_table(state, batch, desired, weights)
            awaits_all_proxies = True
        else:
            continue
        for traffic_class, old_table in old_tables.items():
            _record_begin(state, batch, traffic_class, table, old_table)
    return awaits_all_proxies


def _needs_split(
    state: DecisionState, desired: DesiredState, table: Table, weights: Weights
) -> bool:
    """Whether another class that uses this table needs different weights.

    The table then cannot be changed in place.
    """
    return desired.differs_by_class() and any(
        desired.weights[traffic_class] is not weights
        for traffic_class, current_table in state.tables.current_tables.items()
        if current_table is table
    )


def _record_begin(
    state: DecisionState, batch: OrderBatch, traffic_class: int, table: Table, old_table: Table
) -> None:
    """Record the start of a class's update; an update in place awaits no proxies before it."""
    state.tables.last_version += 1
    is_in_place = table is old_table
    state.tables.staged_updates[traffic_class] = StagedUpdate(
        state.tables.last_version,
        table,
        old_table,
        batch.ack_number,
        batch.now,
        set() if is_in_place else set(state.assignments.proxies),
        is_in_place,
    )


def switch_tables(
    state: DecisionState, batch: OrderBatch, class_order: list[int], is_crowded: bool
) -> None:
    """Make the tables of ready updates current, then assign proxies with other tables to them.

    New proxies are assigned first. While the channel is crowded they are assigned to subsets
    instead.
    """
    for traffic_class, update in state.tables.staged_updates.items():
        if not update.assigned and _is_ready(state, update):
            update.assigned = True
            state.tables.current_tables[traffic_class] = update.table
    if state.is_channel_constrained:
        return
    if not is_crowded:
        _assign_current_tables(state, batch, class_order, is_crowded, new_proxies=True)
    _assign_current_tables(state, batch, class_order, is_crowded, new_proxies=False)


def _is_ready(state: DecisionState, update: StagedUpdate) -> bool:
    """Whether the update awaits no proxy, and neither does any version before the window."""
    if update.awaited_proxies:
        return False
    oldest_version = update.version - VERSION_WINDOW
    return not any(
        other.awaited_proxies
        for other in state.tables.staged_updates.values()
        if other.version < oldest_version
    )


def _assign_current_tables(
    state: DecisionState,
    batch: OrderBatch,
    class_order: list[int],
    is_crowded: bool,
    new_proxies: bool,
) -> None:
    """Assign either new or other proxies to the current tables as far as the channel allows."""
    current_tables = state.tables.current_tables
    urgency = NEW_PROXY
    if not new_proxies:
        urgency = CROWDED_SWITCH if is_crowded else SWITCH
    for table in dict.fromkeys(current_tables[each] for each in class_order):
        cost = assignment_cost(state, table)
        if not batch.fits(cost, urgency.priority):
            continue
        if not table.weights and state.blocked.rows and not new_proxies:
            continue  # all of its entries were rejected
        missing_classes = state.assignments.groups_to_assign(current_tables, table, new_proxies)
        for proxy_id in state.assignments.by_join_order(
            state.assignments.groups[assigned_tables] for assigned_tables in missing_classes
        ):
            proxy = state.assignments.proxies[proxy_id]
            # The proxy was assigned to a subset in this same reply.
            has_subset = is_crowded and proxy.updated_at == batch.now
            traffic_classes = missing_classes[proxy.assigned_tables]
            was_rejected = must_wait(state, batch.now, proxy, traffic_classes)
            is_queue_long = batch.exceeds_drain(urgency.max_drain_time, proxy_id)
            if not (has_subset or was_rejected or is_queue_long):
                assign_table(state, batch, Assignment(proxy_id, traffic_classes, table), urgency)
            if not batch.fits(cost, urgency.priority):
                break
