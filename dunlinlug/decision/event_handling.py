"""Applies events to the observed state; orders nothing.

`handle_event` is the entry point and dispatches to one function for each kind of event.
"""

from dunlinlug.decision.decision_state import MIN_LIST_RETRY_DELAY, DecisionState
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    OrderRejected,
    OverrideChanged,
    PartitionLimitsChanged,
    ProxyConnected,
    ProxyDisconnected,
    UpdateType,
)
from dunlinlug.decision.order_rejection import handle_rejection
from dunlinlug.decision.outlier_detection import OutlierDetector

# Name of the number of queued requests in an endpoint's load report.
QUEUE_LENGTH = "queue"


def handle_event(  # noqa: C901 - one case for each kind of event
    state: DecisionState, now: float, event: Event
) -> None:
    """Apply one event; kinds of events that no decision depends on are ignored."""
    match event:
        case EndpointsUpdated():
            _handle_endpoints_update(state, now, event)
        case ProxyConnected():
            _forget_proxy(state, event.proxy)
            _handle_connection(state, now, event)
        case ProxyDisconnected():
            _forget_proxy(state, event.proxy)
        case Acknowledged():
            _handle_acknowledgement(state, event)
        case EndpointReported():
            _handle_endpoint_report(state, now, event)
        case HealthCheckCompleted():
            _handle_health_check(state, now, event)
        case DemandReported():
            _handle_demand_report(state, event)
        case OrderRejected():
            handle_rejection(state, now, event.order)
        case OverrideChanged():
            state.overrides[event.traffic_class] = event
        case PartitionLimitsChanged():
            _handle_partition_limits(state, event)


def _handle_endpoints_update(state: DecisionState, now: float, event: EndpointsUpdated) -> None:
    """Apply an endpoint list or a change to it, or schedule a retry if the request failed."""
    if event.update_type == UpdateType.FAILED:
        _schedule_list_retry(state, now)
        return
    state.list_polling.retry_delay = MIN_LIST_RETRY_DELAY
    restarted = state.fleet.apply_update(
        event,
        lambda: state.assignments.referenced_rows(
            state.ejected_rows, state.blocked.rows, state.last_batch.rows()
        ),
    )
    for row, is_new in restarted:
        if is_new:
            state.outlier_detector.add_endpoint(row)
            state.logged_limits.pop(row, None)
        state.outlier_detector.reset(row, 1.0, now)
    state.outlier_detector.set_ready(state.fleet.readiness_changes, state.fleet.ready)
    state.assignments.set_ready(state.fleet.readiness_changes, state.fleet.ready)


def _schedule_list_retry(state: DecisionState, now: float) -> None:
    """Schedule the next request after a random delay, which doubles with each failure."""
    polling = state.list_polling
    polling.retry_at = now + polling.retry_delay * state.rng.uniform(0.5, 1.0)
    max_delay = max(state.parameters.list_poll_interval / 4, MIN_LIST_RETRY_DELAY)
    polling.retry_delay = min(2 * polling.retry_delay, max_delay)


def _forget_proxy(state: DecisionState, proxy_id: int) -> None:
    """Remove the state of a proxy that has disconnected or opened a new connection."""
    state.budget.forget_proxy(proxy_id)
    state.assignments.remove_proxy(proxy_id)
    for update in state.tables.staged_updates.values():
        update.awaited_proxies.discard(proxy_id)


def _handle_connection(state: DecisionState, now: float, event: ProxyConnected) -> None:
    """Add a proxy; if it is the first of its zone, lift the ejections in the zone.

    The endpoints of a zone without proxies were unreachable, not faulty.
    """
    is_zone_reconnected = all(
        other.zone != event.zone for other in state.assignments.proxies.values()
    )
    if is_zone_reconnected:
        for row, weight_limit in enumerate(state.outlier_detector.weight_limits):
            if not weight_limit and state.fleet.zones[row] == event.zone:
                state.outlier_detector.reset(row, 1.0, now)
    state.assignments.add_proxy(event.proxy, event.zone, event.requests_per_second)


def _handle_acknowledgement(state: DecisionState, event: Acknowledged) -> None:
    """Record that a proxy applied a reply and all before it; ignore unexpected numbers."""
    if event.ack_number not in state.budget.awaited_acks.get(event.proxy, ()):
        return
    acknowledged = state.budget.handle_acknowledgement(event.proxy, event.ack_number, event.latency)
    state.assignments.acknowledge(event.proxy, acknowledged)
    for update in state.tables.staged_updates.values():
        if update.ack_number in acknowledged:
            update.awaited_proxies.discard(event.proxy)


def _handle_endpoint_report(state: DecisionState, now: float, event: EndpointReported) -> None:
    """Record what proxies observed at an endpoint, unless it is ejected."""
    row = state.fleet.row_by_id.get(event.worker)
    if row is None:
        return
    # Successes observed by other managers' proxies do not count: `local` is used as 0 or 1.
    state.admission_controller.succeeded += (event.attempts - event.failed) * event.local
    if state.is_channel_constrained and QUEUE_LENGTH in event.load:
        state.admission_controller.queue_lengths.append(event.load[QUEUE_LENGTH])
    if state.outlier_detector.weight_limits[row]:
        state.outlier_detector.record(row, now, event.attempts, event.failed, event.latency)


def _handle_health_check(state: DecisionState, now: float, event: HealthCheckCompleted) -> None:
    """Put an ejected endpoint on probation if its check succeeded; otherwise schedule another."""
    row = state.fleet.row_by_id.get(event.worker)
    if row is None or state.outlier_detector.weight_limits[row]:
        return
    if event.healthy:
        due_at = now + OutlierDetector.PROBATION_TIME
        state.outlier_detector.reset(row, OutlierDetector.PROBATION_LIMIT, due_at)
    else:
        due_at = now + OutlierDetector.HEALTH_CHECK_INTERVAL
        state.outlier_detector.reset(row, 0.0, due_at)


def _handle_demand_report(state: DecisionState, event: DemandReported) -> None:
    """Count the received requests by class."""
    arrivals = state.admission_controller.arrivals
    if event.traffic_class in arrivals:
        arrivals[event.traffic_class] += event.requests


def _handle_partition_limits(state: DecisionState, event: PartitionLimitsChanged) -> None:
    """Apply new partition limits; if they differ, all weights must be recomputed."""
    if event != state.partition_limits:
        state.rows_to_plan.update(state.desired_weights.weight_fractions)
    state.partition_limits = event
    state.outlier_detector.max_ejected_fraction = event.max_ejected_fraction
