"""Ejections: which endpoints proxies are told to stop using, and in which messages.

What the safety rules demand goes first: endpoints that are not ready, and those that are given more
than they bear; outlier ejections wait for a short queue. Owns the ejected rows as ordered.
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
    """Order each ejection and each end of one, at once and without stages.

    Here a worker is ejected on its proxies. While mandatory ejections wait for room, nothing less
    urgent is ordered in this batch.
    """
    changed_rows = desired.ejected ^ state.ejected_rows
    groups_by_row = state.assignments.groups_by_row(changed_rows)
    ordered_rows = [
        row
        for row in sorted(changed_rows, key=lambda row: (row in desired.weight_fractions, row))
        if row not in state.blocked.rows
    ]
    mandatory_rows = [row for row in ordered_rows if _is_mandatory(state, desired, row)]
    # Without this, one that no channel takes would wait, and hold back all else, for ever.
    possible_rows = [
        row for row in mandatory_rows if _fits_empty_channel(batch, groups_by_row[row])
    ]
    demanded_rows = set(mandatory_rows)
    waiting_rows = set(possible_rows[_count_due(batch, possible_rows, groups_by_row) :])
    if waiting_rows:
        # Without this, less urgent orders would take the room that comes free meanwhile.
        batch.hold_back_optional()
    for row in ordered_rows:
        if row not in waiting_rows:
            urgency = MANDATORY if row in demanded_rows else HEALTH
            _order_change(state, batch, row, groups_by_row[row], urgency)


def _is_mandatory(state: DecisionState, desired: DesiredState, row: int) -> bool:
    """Whether the safety rules demand that the row is ejected now."""
    is_ready = row in desired.weight_fractions
    return row in desired.ejected and (
        not is_ready or state.outlier_detector.weight_limits[row] > 0.0
    )


def _fits_empty_channel(batch: OrderBatch, groups: list[Group]) -> bool:
    """Whether one ejection for these proxies is less than the whole channel takes."""
    proxy_count = sum(map(len, groups))
    return proxy_count * (1.0 + batch.message_overhead) <= batch.limit(Priority.MANDATORY)


def _count_due(batch: OrderBatch, rows: list[int], groups_by_row: Mapping[int, list[Group]]) -> int:
    """Return how many of these rows, from the first, are ordered now.

    All go together, or as many as fit once the queue is short; they wait for the room.

    Without this, what comes free in a full channel would go to one row at a time: each pays the
    overhead of a message to every proxy, and the last ones are ordered too late for their grace.
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
    """Order the opposite of what was ordered of a row last, if the channel allows it now."""
    if not batch.fits(sum(map(len, groups)), urgency.priority):
        return
    if not batch.reserve([*chain.from_iterable(groups)], 1.0, urgency):
        return
    is_ejected = row not in state.ejected_rows
    batch.orders.append(SetEjected(state.fleet.ids[row], is_ejected))
    if is_ejected:
        state.ejected_rows.add(row)
    else:
        state.ejected_rows.discard(row)
