"""Orders ejections: which endpoints proxies must stop using, and in which reply each is sent.

Ejections required by the safety rules are sent first: endpoints that are not ready, and endpoints
whose installed weight is too high for their warm-up or probation. Outlier ejections wait until the
channel's queue is short. Owns the set of rows whose ejection has been ordered.
"""

from collections.abc import Mapping
from itertools import chain

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.flow_control import (
    BASE_DRAIN_TIME,
    HEALTH,
    MANDATORY,
    OrderBatch,
    Priority,
    Urgency,
)
from dunlinlug.decision.orders import SetEjected
from dunlinlug.decision.state.assignments import Group


def update_ejections(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Order the start and the end of ejections.

    Ejections apply to all tables immediately and do not go through the two-phase update. While
    mandatory ejections wait for room in the channel, this batch orders nothing less urgent.
    """
    changed_rows = desired.ejected ^ state.ejected_rows
    groups_by_row = state.assignments.groups_by_row(changed_rows)
    ordered_rows = [
        row
        for row in sorted(changed_rows, key=lambda row: (row in desired.weight_fractions, row))
        if not _is_blocked(state, batch, desired, row)
    ]
    mandatory_rows = [row for row in ordered_rows if _is_mandatory(state, desired, row)]
    # An ejection that exceeds the capacity of even an empty channel can never be sent; waiting for
    # it would block all other orders indefinitely.
    sendable_rows = [
        row for row in mandatory_rows if _fits_empty_channel(batch, groups_by_row[row])
    ]
    mandatory_row_set = set(mandatory_rows)
    waiting_rows = set(sendable_rows[_count_fitting(batch, sendable_rows, groups_by_row) :])
    if waiting_rows:
        # Less urgent orders would use up the capacity that these ejections wait for.
        batch.refuse_optional_orders()
    for row in ordered_rows:
        if row not in waiting_rows:
            urgency = MANDATORY if row in mandatory_row_set else HEALTH
            _order_change(state, batch, row, groups_by_row[row], urgency)


def _is_blocked(state: DecisionState, batch: OrderBatch, desired: DesiredState, row: int) -> bool:
    """Whether the change must wait because an order for the row was rejected.

    A mandatory ejection waits only if it was itself rejected, and only for a tick.
    """
    if _is_mandatory(state, desired, row):
        return state.blocked.mandatory_ejections.get(row, 0.0) > batch.now
    return row in state.blocked.rows


def _is_mandatory(state: DecisionState, desired: DesiredState, row: int) -> bool:
    """Whether the safety rules require the row to be ejected now."""
    is_ready = row in desired.weight_fractions
    return row in desired.ejected and (
        not is_ready or state.outlier_detector.weight_limits[row] > 0.0
    )


def _fits_empty_channel(batch: OrderBatch, groups: list[Group]) -> bool:
    """Whether an empty channel has room for one ejection to all proxies of these groups."""
    proxy_count = sum(map(len, groups))
    return proxy_count * (1.0 + batch.message_overhead) <= batch.limit(Priority.MANDATORY)


def _count_fitting(
    batch: OrderBatch, rows: list[int], groups_by_row: Mapping[int, list[Group]]
) -> int:
    """Return how many of these rows, counted from the first, to order now.

    That is all of them or, if they are too many, as many as fit behind a short queue. None are
    ordered while the queue has no room for that many.

    Ordering rows one at a time, as a full channel gets free capacity, would pay the message
    overhead to every proxy for each row, and the last rows would exceed their drain grace period.
    """
    if not rows:
        return 0
    limit = batch.limit(Priority.MANDATORY)
    short_queue = BASE_DRAIN_TIME * batch.budget.entries_per_second
    room_in_short_queue = limit - short_queue
    room_now = limit - batch.budget.queued_entries - batch.reserved_entries
    entries = 0.0
    paid_proxies = set(batch.entries_by_proxy)
    for count, row in enumerate(rows):
        proxy_ids = [*chain.from_iterable(groups_by_row[row])]
        new_proxies = set(proxy_ids) - paid_proxies
        row_entries = len(proxy_ids) + batch.message_overhead * len(new_proxies)
        if count and entries + row_entries > room_in_short_queue:
            return count if entries <= room_now else 0
        entries += row_entries
        paid_proxies |= new_proxies
    return len(rows) if entries <= room_now else 0


def _order_change(
    state: DecisionState, batch: OrderBatch, row: int, groups: list[Group], urgency: Urgency
) -> None:
    """Toggle the ejection of a row, if the channel allows it now."""
    if not batch.fits(sum(map(len, groups)), urgency.priority):
        return
    if not batch.reserve([*chain.from_iterable(groups)], 1.0, urgency):
        return
    is_ejected = row not in state.ejected_rows
    batch.orders.append(SetEjected(state.fleet.ids[row], is_ejected))
    if is_ejected:
        state.ejected_rows.add(row)
        if urgency is MANDATORY:
            state.last_batch.mandatory_ejections.add(row)
    else:
        state.ejected_rows.discard(row)
