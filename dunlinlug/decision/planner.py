"""Planning: computes the desired state from the observed state.

`plan` is the entry point. It updates outlier detection and admission control, and owns the desired
weights, the warming rows and the rows whose weight must be recomputed. It orders nothing; the
reconciler orders the differences between the desired and the installed state.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from math import inf

from dunlinlug.decision.admission_control import AdmissionController
from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.outlier_detection import OutlierDetector
from dunlinlug.decision.overrides import overridden_weights
from dunlinlug.decision.state.desired_weights import Weights
from dunlinlug.decision.state.outlier_statistics import sorted_median
from dunlinlug.decision.state.tables import Table, admission_level
from dunlinlug.decision.table_update import advance_updates

# Median failure rate that indicates a retry storm, per multiple of its weight that a warming
# endpoint can handle (`DecisionParameters.min_overload_multiple`).
RETRY_STORM_FAILURE_RATE = 0.1
# Failure rate of all attempts from which the load counts as rising and warming endpoints that are
# not in use yet stay ejected.
RISING_FAILURE_RATE = 0.1
# Maximum admitted fraction while a current table has only endpoints that should be ejected.
LAST_RESORT_FRACTION = 0.3
# Below this value the available fraction may bound admission and is summed endpoint by endpoint.
EXACT_AVAILABLE_FRACTION = 1.01 / AdmissionController.SPARE_CAPACITY


@dataclass(frozen=True)
class FleetConditions:
    """Conditions of the fleet as a whole."""

    median_failure_rate: float
    is_retry_storm: bool
    is_load_rising: bool


def plan(state: DecisionState, now: float) -> DesiredState:
    """Return the desired state at `now`, in seconds on the host's clock."""
    detector = state.outlier_detector
    detector.update_limits(now, state.fleet.base_weights, state.fleet.total_weight())
    if not state.parameters.can_check_health:
        for row in detector.due_ejections(now):
            due_at = now + OutlierDetector.PROBATION_TIME
            detector.reset(row, OutlierDetector.PROBATION_LIMIT, due_at)
    conditions = _fleet_conditions(state, now)
    tables = _relevant_tables(state)
    update_weights(state, now)
    limits = _transient_limits(state, now, tables, conditions)
    ejected = _rows_to_eject(state, tables, limits)
    advance_updates(state, now)
    admitted_fractions = _admitted_fractions(state, now, conditions)
    retry_policy = _retry_policy(state, admitted_fractions)
    weights_by_class = _weights_by_class(state, ejected)
    ejected, is_last_resort = _readmit_last_endpoints(state, now, tables, ejected, limits)
    if is_last_resort:
        last_resort = LAST_RESORT_FRACTION * state.parameters.full_admission
        admitted_fractions = [min(fraction, last_resort) for fraction in admitted_fractions]
    blocked = state.blocked
    blocked.rows = {row: at for row, at in blocked.rows.items() if at > now}
    if blocked.mandatory_ejections:
        blocked.mandatory_ejections = {
            row: at for row, at in blocked.mandatory_ejections.items() if at > now
        }
    return DesiredState(
        weights_by_class,
        state.desired_weights.weight_fractions,
        [admission_level(fraction, retry_policy) for fraction in admitted_fractions],
        ejected,
    )


def _fleet_conditions(state: DecisionState, now: float) -> FleetConditions:
    """Detect whether retries or a rising load would overload warming endpoints.

    A retry storm is reported seconds late. The load therefore already counts as rising once a tenth
    of all attempts fail (`RISING_FAILURE_RATE`).
    """
    detector = state.outlier_detector
    median_failure_rate = 0.0
    if detector.failure_rates:
        median_failure_rate = sorted_median(detector.failure_rates)
    storm_failure_rate = RETRY_STORM_FAILURE_RATE * state.parameters.min_overload_multiple
    attempts, failed = detector.attempt_totals(RISING_FAILURE_RATE)
    return FleetConditions(
        median_failure_rate,
        now < detector.baseline_valid_at or median_failure_rate >= storm_failure_rate,
        not state.admission_controller.was_stable or failed >= RISING_FAILURE_RATE * attempts > 0.0,
    )


def _relevant_tables(state: DecisionState) -> list[Table]:
    """Return the tables that proxies may be using or will be assigned to, without duplicates."""
    tables = [
        *state.assignments.list_tables_in_use(),
        *state.tables.current_tables.values(),
        *(update.table for update in state.tables.staged_updates.values()),
    ]
    return [*dict.fromkeys(tables)]


def update_weights(state: DecisionState, now: float) -> None:
    """Recompute the desired weight of each row that changed, is warming up, or is blocked."""
    base_weights = state.fleet.base_weights
    state.rows_to_plan |= state.fleet.take_changed_rows() | (
        state.outlier_detector.take_changed_rows()
    )
    due_rows = {*state.rows_to_plan, *state.warming_rows, *state.blocked.rows}
    state.desired_weights.remove(row for row in due_rows if row not in base_weights)
    ready_rows = due_rows & base_weights.keys()
    state.warming_rows = {
        row
        for row in ready_rows
        if now - state.fleet.started_at[row] < state.parameters.warm_up_time
    }
    for row in ready_rows:
        weight_fraction = _weight_fraction(state, row, now)
        is_blocked = state.blocked.rows.get(row, 0.0) > now
        weight = None if is_blocked else base_weights[row] * weight_fraction
        state.desired_weights.set_weight(row, weight_fraction, weight)


def _weight_fraction(state: DecisionState, row: int, now: float) -> float:
    """Return the fraction of its weight that a row should get, by slow start and weight limit.

    During a partition between managers, the partition limits may forbid raising or changing it.
    """
    age = now - state.fleet.started_at[row]
    fraction = state.slow_start.fraction(age)
    # An ejected endpoint keeps a table entry with its probation weight, so that the entry need not
    # change when the ejection ends.
    weight_limit = state.outlier_detector.weight_limits[row] or OutlierDetector.PROBATION_LIMIT
    limited_fraction = min(fraction, weight_limit)
    limits = state.partition_limits
    current_fraction = state.desired_weights.weight_fractions.get(row, fraction)
    if not limits.may_change_weights:
        return min(fraction, current_fraction)
    if not limits.may_raise_weights and row in state.warming_rows:
        return min(limited_fraction, current_fraction)
    return limited_fraction


def _transient_limits(
    state: DecisionState, now: float, tables: list[Table], conditions: FleetConditions
) -> dict[int, float]:
    """Return by row the weight fraction above which a warming or probation endpoint is ejected.

    A table may still have the endpoint at its former, larger weight, which would overload it. The
    limit is 0 for all warming endpoints in a retry storm, which multiplies the load on them, and
    for warming endpoints that are not in use yet while the load rises.
    """
    detector = state.outlier_detector
    limits = {row: detector.weight_limits[row] for row in detector.probation_rows}
    for row in state.warming_rows - detector.ejected_rows:
        must_wait = conditions.is_retry_storm
        if not must_wait and conditions.is_load_rising:
            must_wait = row in state.ejected_rows or not any(
                row in table.weight_fractions for table in tables
            )
        age = now - state.fleet.started_at[row]
        fraction = 0.0 if must_wait else state.slow_start.fraction(age)
        limits[row] = min(limits.get(row, inf), fraction)
    return limits


def _rows_to_eject(state: DecisionState, tables: list[Table], limits: dict[int, float]) -> set[int]:
    """Return the rows that no proxy should use.

    These are rows ejected by outlier detection, rows of these tables that are no longer ready, and
    rows whose weight fraction exceeds its limit in the desired state or in one of the tables.
    """
    weight_fractions = state.desired_weights.weight_fractions
    ejected = state.outlier_detector.ejected_rows.union(*(table.unready_rows for table in tables))
    ejected |= {
        row
        for row, limit in limits.items()
        if weight_fractions[row] > limit
        or any(table.weight_fractions.get(row, 0.0) > limit for table in tables)
    }
    return ejected


def _admitted_fractions(
    state: DecisionState, now: float, conditions: FleetConditions
) -> list[float]:
    """Return the admitted fraction of each class."""
    parameters = state.parameters
    detector = state.outlier_detector
    if not parameters.controls_admission or not detector.failure_rates:
        return [parameters.full_admission] * parameters.class_count
    controller = state.admission_controller
    controller.update(now, conditions.median_failure_rate, sorted_median(detector.mean_latencies))
    return controller.admitted_fractions(
        state.fleet.available_fraction(state.ejected_rows, EXACT_AVAILABLE_FRACTION)
    )


def _retry_policy(state: DecisionState, admitted_fractions: list[float]) -> int:
    """Return the retry policy: retry if the first attempt provably did not run, or never.

    Retrying in other cases could execute a request twice. There are no retries under overload, nor
    before the fleet was observed without overload.
    """
    if state.outlier_detector.baseline_latency and min(admitted_fractions) >= 1.0:
        return min(state.parameters.default_retry_policy, 1)
    return 0


def _weights_by_class(state: DecisionState, ejected: set[int]) -> list[Weights]:
    """Return the weights of each class; classes without an override share the same dict."""
    class_count = state.parameters.class_count
    if not state.overrides:
        return [state.desired_weights.default_weights] * class_count
    default_weights = state.desired_weights.ordered_weights()
    weights_by_class = [default_weights] * class_count
    for traffic_class in range(class_count):
        if traffic_class in state.overrides:
            weights_by_class[traffic_class] = overridden_weights(
                state.overrides[traffic_class],
                state.fleet.row_by_id,
                default_weights,
                state.desired_weights.weight_fractions,
                ejected,
            )
    return weights_by_class


def _readmit_last_endpoints(
    state: DecisionState,
    now: float,
    tables: list[Table],
    ejected: set[int],
    limits: dict[int, float],
) -> tuple[set[int], bool]:
    """Take rows out of `ejected` so that each table keeps a usable endpoint.

    Returns the remaining rows to eject, and whether some current table would have had no endpoint.

    If all ready endpoints of a table would be ejected, its warming and probation endpoints stay in
    use, or all of them if it has none of these. If there are same-zone classes, one warm endpoint
    of each zone stays in use.
    """
    current_tables = set(state.tables.current_tables.values())
    is_last_resort = False
    for table in tables:
        is_current = table in current_tables
        ready_rows = _rows_to_protect(state, table, is_current, ejected)
        if ready_rows is None:
            continue
        if ready_rows and ready_rows <= ejected:
            ejected -= ready_rows & limits.keys() or ready_rows
            is_last_resort = is_last_resort or is_current
        if state.parameters.same_zone_classes:
            for zone_rows in state.fleet.by_zone(ready_rows).values():
                if zone_rows <= ejected:
                    _readmit_warm_endpoint(state, now, zone_rows, ejected)
    return ejected, is_last_resort


def _rows_to_protect(
    state: DecisionState, table: Table, is_current: bool, ejected: set[int]
) -> Set[int] | None:
    """Return the ready rows that a table's proxies depend on; None if some of them stay in use.

    For a current table without ready rows, these are all ready rows of the fleet.
    """
    base_weights = state.fleet.base_weights
    is_unready = len(table.weight_fractions) == len(table.unready_rows)
    candidates = base_weights if is_current and is_unready else table.weight_fractions
    if not state.parameters.same_zone_classes and not candidates.keys() <= ejected:
        return None
    ready_rows = table.weight_fractions.keys() & base_weights.keys()
    if not ready_rows and is_current:
        return base_weights.keys()
    return ready_rows


def _readmit_warm_endpoint(
    state: DecisionState, now: float, zone_rows: Iterable[int], ejected: set[int]
) -> None:
    """Take the warm endpoint with the lowest failure rate among these out of `ejected`."""
    detector = state.outlier_detector
    warm_rows = [
        row
        for row in zone_rows
        if now - state.fleet.started_at[row] >= state.parameters.warm_up_time
    ]
    if warm_rows:
        ejected.discard(min(warm_rows, key=lambda row: (detector.failure_rate(row), row)))
