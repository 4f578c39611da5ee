"""Sets the timer that wakes the decision module when work is due without another event."""

from math import inf

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.flow_control import OrderBatch
from dunlinlug.decision.orders import SetTimer
from dunlinlug.decision.slow_start import SLOW_START_INTERVAL

# Seconds between batches while work is pending.
TICK_INTERVAL = 0.25


def set_timer(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Order a timer for the next due time, unless an armed timer fires no later than that."""
    now = batch.now
    due_at = min(_due_times(state, batch, desired))
    timers = state.timers
    timers.armed = {at for at in timers.armed if at > now}
    if due_at < min(timers.armed, default=inf):
        timers.last_token += 1
        timers.armed.add(due_at)
        batch.orders.append(SetTimer(due_at - now, timers.last_token))


def _due_times(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> list[float]:
    """Return the times at which work is due; inf for kinds of work that are not due."""
    now = batch.now
    next_tick = now + TICK_INTERVAL
    due_times = [
        next_tick if _has_pending_work(state, batch, desired) else inf,
        state.list_polling.retry_at,
        *state.blocked.rows.values(),
    ]
    for ends_at, _ in state.outlier_detector.ejection_deadlines[:1]:
        due_times.append(max(ends_at, next_tick))
    for row in state.warming_rows:
        elapsed = (now - state.fleet.started_at[row]) % SLOW_START_INTERVAL
        due_times.append(now + SLOW_START_INTERVAL - elapsed)
    return due_times


def _has_pending_work(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> bool:
    """Whether work waits for channel capacity, acknowledgements or proxies."""
    return bool(
        state.tables.staged_updates
        or state.budget.pending_replies
        or batch.deferred
        or desired.ejected != state.ejected_rows
        or state.assignments.has_retiring_tables()
    )
