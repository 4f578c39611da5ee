"""Orders that change tables: creating a table, changing its entries, assigning it to a proxy.

Each function orders one such step and records it in the state. The two-phase update
(`table_update.py`) and the subsets (`subsets.py`) decide which steps to take and when.
"""

from dataclasses import dataclass

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.flow_control import BASE_DRAIN_TIME, TABLE_CHANGE, OrderBatch, Urgency
from dunlinlug.decision.orders import AssignTable, SetAdmission, SetWeight
from dunlinlug.decision.state.desired_weights import Weights
from dunlinlug.decision.state.pending_acks import next_free_number
from dunlinlug.decision.state.tables import Table


def create_table(
    state: DecisionState, batch: OrderBatch, desired: DesiredState, weights: Weights
) -> Table:
    """Create a table with these weights under an unused number.

    This is not charged to the channel, as the entries are sent when a proxy is assigned to the
    table.
    """
    state.desired_weights.ordered_weights()
    table_id = next_free_number(state.tables.last_table_id, state.assignments.tables)
    state.tables.last_table_id = table_id
    weight_fractions = {row: desired.weight_fractions.get(row, 1.0) for row in weights}
    table = state.assignments.add_table(
        Table(table_id, dict(weights), weight_fractions, list(desired.admission_levels))
    )
    state.last_batch.created_tables.add(table_id)
    batch.orders.extend(
        SetWeight(table_id, state.fleet.ids[row], weight) for row, weight in table.weights.items()
    )
    default_level = (state.parameters.full_admission, state.parameters.default_retry_policy)
    for traffic_class, level in enumerate(table.admission_levels):
        if level != default_level:
            admitted_fraction, retry_policy = level
            batch.orders.append(
                SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction)
            )
    return table


def amend_table(
    state: DecisionState,
    batch: OrderBatch,
    desired: DesiredState,
    table: Table,
    weights: Weights,
) -> bool:
    """Change entries of a table in place towards these weights; False if nothing was changed.

    Changes as many entries, the largest changes first, as the channel can send to all proxies
    assigned to the table without its queue exceeding `2 * BASE_DRAIN_TIME`, but at least one.
    """
    entries_per_endpoint = state.parameters.entries_per_endpoint
    proxy_ids = state.assignments.assigned_proxies(table)
    max_changes = _max_changes(state, len(proxy_ids))
    changed_rows = _changed_rows(state, table, weights, desired.ejected)[:max_changes]
    if not changed_rows or _can_wait(state, batch, weights, changed_rows, proxy_ids):
        return False
    entries_each = entries_per_endpoint * len(changed_rows)
    if not batch.reserve(proxy_ids, entries_each, TABLE_CHANGE):
        return False
    for row in changed_rows:
        batch.orders.append(SetWeight(table.table_id, state.fleet.ids[row], weights.get(row, 0.0)))
        weight_fraction = desired.weight_fractions.get(row, 0.0)
        state.last_batch.record_entry(table, row)
        state.assignments.set_entry(table, row, weights.get(row), weight_fraction)
    state.assignments.record_update(table, proxy_ids, batch.ack_number, batch.now)
    return True


def _max_changes(state: DecisionState, proxy_count: int) -> int:
    """Return how many entries of a table may change at once, at least one."""
    budget = state.budget
    entries_per_proxy = (
        2 * BASE_DRAIN_TIME * budget.entries_per_second - budget.queued_entries
    ) / max(proxy_count, 1)
    return max(
        1,
        int(
            (entries_per_proxy - budget.channel.message_overhead)
            / state.parameters.entries_per_endpoint
        ),
    )


def _changed_rows(
    state: DecisionState, table: Table, weights: Weights, ejected: set[int]
) -> list[int]:
    """Return the rows whose entry differs, the largest difference first.

    Entries to be removed come last, as their endpoints are already ejected.
    """
    installed = table.weights
    # Rows that are ejected and not in the table are excluded: adding an entry would expose an
    # endpoint that must not be used to proxies that might not have received its ejection.
    changed = state.desired_weights.differing_rows(table, weights) - (ejected - installed.keys())
    # An entry stays as it is for a while after an order for it was rejected.
    changed -= state.blocked.rows.keys()
    return sorted(
        changed,
        key=lambda row: (
            row not in weights,
            -abs(weights.get(row, 0.0) - installed.get(row, 0.0)),
            row,
        ),
    )


def _can_wait(
    state: DecisionState,
    batch: OrderBatch,
    weights: Weights,
    changed_rows: list[int],
    proxy_ids: list[int],
) -> bool:
    """Whether these changes can wait until their proxies are sent a message for another reason.

    That is so if they only concern removed or ejected endpoints, whose entries have no effect.
    """
    weight_limits = state.outlier_detector.weight_limits
    if any(row in weights and weight_limits[row] for row in changed_rows):
        return False
    return any(proxy_id not in batch.entries_by_proxy for proxy_id in proxy_ids)


def assignment_cost(state: DecisionState, table: Table) -> float:
    """Return how many entries it costs to assign a proxy to this table."""
    return (
        state.parameters.class_count
        + state.parameters.entries_per_endpoint * (1.0 + len(table.weights))
        + len(state.ejected_rows & table.weights.keys())
    )


@dataclass(frozen=True)
class Assignment:
    """Assignment of a proxy to a table for some traffic classes."""

    proxy_id: int
    traffic_classes: tuple[int, ...]
    table: Table


def assign_table(
    state: DecisionState, batch: OrderBatch, assignment: Assignment, urgency: Urgency
) -> bool:
    """Order and record an assignment; return False if the channel does not allow it now."""
    proxy_id = assignment.proxy_id
    traffic_classes = assignment.traffic_classes
    table = assignment.table
    if not batch.reserve((proxy_id,), assignment_cost(state, table), urgency):
        return False
    batch.orders.append(AssignTable(proxy_id, traffic_classes, table.table_id))
    state.assignments.assign(proxy_id, traffic_classes, table, batch.ack_number, batch.now)
    return True
