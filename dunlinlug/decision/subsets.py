"""Subsets: small tables for a channel that is too slow to send whole ones.

A small table has a part of the endpoints and costs few entries, so that a proxy without endpoint
gets one at once. While the channel is crowded, new proxies and those that lose too many endpoints
are assigned to one; while it is constrained (even one table for all takes longer than a slow
start), proxies stay with them and the small tables follow the desired weights in place. Owns the
list `tables.subset_tables`; all endpoints are dealt over them.
"""

from collections.abc import Collection, Iterator
from functools import cached_property
from itertools import chain, islice

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.flow_control import (
    BASE_DRAIN_TIME,
    MANDATORY,
    TABLE_CHANGE,
    OrderBatch,
    Priority,
    Urgency,
)
from dunlinlug.decision.state.desired_weights import Weights
from dunlinlug.decision.state.tables import AssignedTables, Table
from dunlinlug.decision.table_orders import (
    Assignment,
    amend_table,
    assign_table,
    assignment_cost,
    create_table,
)

# Times the usual request rate of an endpoint from which a small table gets one more: a slow start
# step.
HOT_SUBSET_RATIO = 1.25
# A new proxy gets the full table at once where the queue is short.
FULL_TABLE = Urgency(Priority.HEALTH, BASE_DRAIN_TIME)


class AvailableEndpoints:
    """Which endpoints a proxy could use now, and which it is about to lose.

    `unavailable` rows are ejected, or an order for them was rejected; `rows_by_zone` has the
    available rows by zone where some class is for the proxy's own zone, else nothing.
    """

    def __init__(self, state: DecisionState, desired: DesiredState) -> None:
        self.assignments = state.assignments
        self.same_zone_classes = state.parameters.same_zone_classes
        self.newly_ejected = desired.ejected - state.ejected_rows
        # Losing more endpoints than this costs more entries than a small table.
        self.max_ejected = 1 + state.parameters.class_count + state.parameters.subset_size
        self.is_mass_ejection = (
            len(self.newly_ejected) * len(state.assignments.proxies)
            > 3 * BASE_DRAIN_TIME * state.budget.entries_per_second
        )
        self.unavailable = desired.ejected.union(state.blocked.rows)
        self.has_available = not desired.weight_fractions.keys() <= self.unavailable
        self.rows_by_zone: dict[str, set[int]] = {}
        if self.same_zone_classes:
            self.rows_by_zone = state.fleet.by_zone(
                row for row in desired.weight_fractions if row not in self.unavailable
            )

    def proxies_in_need(self) -> list[int]:
        """Return the proxies that need a small table now, in the order in which they connected."""
        groups: list[Collection[int]] = []
        for assigned_tables, proxy_ids in self.assignments.groups.items():
            if self._is_group_in_need(assigned_tables):
                groups.append(proxy_ids)
            elif self.rows_by_zone:
                groups.append(
                    [p for p in proxy_ids if self._lacks_local_endpoint(p, assigned_tables)]
                )
        return self.assignments.by_join_order(groups)

    def _is_group_in_need(self, assigned_tables: AssignedTables) -> bool:
        """Whether proxies with these tables have none, no endpoint left, or lose too many."""
        tables = [table for table in dict.fromkeys(assigned_tables) if table]
        if not tables:
            return True
        return self.has_available and any(
            table.weights.keys() <= self.unavailable
            or (
                self.is_mass_ejection
                and len(table.weights.keys() & self.newly_ejected) > self.max_ejected
            )
            for table in tables
        )

    def _lacks_local_endpoint(self, proxy_id: int, assigned_tables: AssignedTables) -> bool:
        """Whether a same-zone class of the proxy has no endpoint though its zone has one."""
        tables = [assigned_tables[traffic_class] for traffic_class in self.same_zone_classes]
        return self.assignments.lacks_local_endpoint(proxy_id, self.rows_by_zone, tables)


def assign_subsets(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Assign proxies in need to a small table, or to the full one where the queue is short.

    Without this, a proxy would be left without endpoint, or would use draining ones for too long,
    while whole tables or very many ejections wait in the channel.
    """
    available = AvailableEndpoints(state, desired)
    full_table = _full_table(state)
    capacities: dict[Table, float] = {}
    min_entries = 0.0
    for proxy_id in available.proxies_in_need():
        if full_table is not None and _assign_full_table(state, batch, proxy_id, full_table):
            continue
        if not capacities:
            capacities = _subset_capacities(state, batch, desired)
            min_cost = min(assignment_cost(state, table) for table in capacities)
            min_entries = batch.message_overhead + min_cost
        if not batch.fits(min_entries, Priority.MANDATORY):
            break
        table = _least_loaded(state, proxy_id, capacities, available.rows_by_zone)
        assigned_table = state.assignments.proxies[proxy_id].assigned_tables[0]
        # One that the proxy has already is kept up in place (`update_subsets`).
        if not available.rows_by_zone or table is not assigned_table:
            all_classes = tuple(range(state.parameters.class_count))
            assign_table(state, batch, Assignment(proxy_id, all_classes, table), MANDATORY)


def _full_table(state: DecisionState) -> Table | None:
    """Return the one table of all classes; None if there are several or the channel is slow."""
    if state.is_channel_constrained or len(set(state.tables.current_tables.values())) != 1:
        return None
    return state.tables.current_tables[0]


def _assign_full_table(
    state: DecisionState, batch: OrderBatch, proxy_id: int, full_table: Table
) -> bool:
    """Assign a new proxy to the full table at once; False if the queue is too long for it."""
    if any(state.assignments.proxies[proxy_id].assigned_tables):
        return False
    if batch.exceeds_drain(BASE_DRAIN_TIME, proxy_id):
        return False
    all_classes = tuple(state.tables.current_tables)
    assignment = Assignment(proxy_id, all_classes, full_table)
    return assign_table(state, batch, assignment, FULL_TABLE)


def _least_loaded(
    state: DecisionState,
    proxy_id: int,
    capacities: dict[Table, float],
    rows_by_zone: dict[str, set[int]],
) -> Table:
    """Return the small table that would be asked least with this proxy.

    One with an endpoint of the proxy's zone goes first where there is one.
    """
    request_rate = state.assignments.proxies[proxy_id].request_rate
    return min(
        capacities,
        key=lambda table: (
            state.assignments.lacks_local_endpoint(proxy_id, rows_by_zone, [table]),
            (table.request_rate + request_rate) / capacities[table],
        ),
    )


def _subset_capacities(
    state: DecisionState, batch: OrderBatch, desired: DesiredState
) -> dict[Table, float]:
    """Return by small table the weight of its available endpoints.

    The endpoints are dealt anew, by each manager in a random order of its own, once all small
    tables together have less than half of the available weight, or one that nobody uses has
    endpoints that are not available.
    """
    state.desired_weights.ordered_weights()
    weights = desired.common_weights()
    used_subsets = [table for table in state.tables.subset_tables if table.use_count]
    best_rows = _best_rows(state, desired, weights)
    # Each small table gets somebody of every zone.
    zones: Collection[set[int]] = ()
    if state.parameters.same_zone_classes:
        zones = state.fleet.by_zone(best_rows).values()
    capacities = state.desired_weights.capacities(state.tables.subset_tables, desired.weights[0])
    if (
        not state.tables.subset_tables
        or _is_stale(state.tables.subset_tables, best_rows, zones)
        or 2 * sum(capacities.values()) < sum(weights[row] for row in best_rows)
    ):
        state.assignments.retire_unused(state.tables.subset_tables, batch.now)
        new_subsets = [
            create_table(state, batch, desired, subset_weights)
            for subset_weights in _distribute(state, best_rows, zones, weights)
        ]
        state.tables.subset_tables = state.assignments.set_subsets(used_subsets + new_subsets)
    return state.desired_weights.capacities(state.tables.subset_tables, desired.weights[0])


def _best_rows(state: DecisionState, desired: DesiredState, weights: Weights) -> list[int]:
    """Return the rows to deal: those at full weight, else those in use, else all."""
    takes_any_weight = bool(state.parameters.same_zone_classes)
    available_rows = [row for row in weights if row not in desired.ejected]
    best_rows = [
        row for row in available_rows if takes_any_weight or desired.weight_fractions[row] == 1.0
    ]
    return best_rows or available_rows or list(weights)


def _is_stale(
    subset_tables: list[Table], best_rows: list[int], zones: Collection[set[int]]
) -> bool:
    """Whether an unused small table has other endpoints, or a zone's endpoints are in none."""
    best_row_set = set(best_rows)
    if any(
        not table.weight_fractions.keys() <= best_row_set
        for table in subset_tables
        if not table.use_count
    ):
        return True
    return any(
        all(zone_rows.isdisjoint(table.weights) for table in subset_tables) for zone_rows in zones
    )


def _distribute(
    state: DecisionState, rows: list[int], zones: Collection[set[int]], weights: Weights
) -> Iterator[Weights]:
    """Deal these rows, shuffled in place, over as many small tables as their size asks for."""
    zone_of = state.fleet.zones
    by_zone = bool(state.parameters.same_zone_classes)
    rows.sort(key=lambda row: (zone_of[row] if by_zone else "", state.rng.uniform(0.0, 1.0)))
    count = -(-len(rows) // state.parameters.subset_size) or 1
    for zone_rows in zones:
        count = min(count, len(zone_rows))
    for first in range(count):
        yield {row: weights[row] for row in rows[first::count]}


class SubsetDemand:
    """What proxies ask of the small tables in use, against the weight of their endpoints."""

    def __init__(self, state: DecisionState, tables: list[Table], weights: Weights) -> None:
        self.desired_weights = state.desired_weights
        self.weights = weights
        self.tables = tables
        capacities = state.desired_weights.capacities(tables, weights)
        self.ratios = {
            table: table.request_rate / capacity for table, capacity in capacities.items()
        }

    @cached_property
    def usual_ratio(self) -> float:
        """Request rate by weight, over all small tables and all available endpoints."""
        total_rate = sum(table.request_rate for table in self.tables)
        return total_rate / (self.desired_weights.available_weight(self.weights) or 1.0)

    @cached_property
    def rows_by_demand(self) -> list[int]:
        """Available rows, those of which least is asked first."""
        return self.desired_weights.rows_by_demand(self.weights, self.ratios)

    def is_hot(self, table: Table) -> bool:
        """Whether so much more than usual is asked of a table that it needs one more endpoint."""
        return HOT_SUBSET_RATIO * self.usual_ratio < self.ratios[table]


def update_subsets(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Let the small tables in use follow the desired weights in place.

    An endpoint that is in none joins where most is asked, and one of which least is asked joins
    where that is `HOT_SUBSET_RATIO` times the usual. All are chosen before a table changes.
    """
    weights = desired.common_weights()
    tables = state.assignments.subsets_in_use()
    updatable = {table for table in tables if _is_updatable(state, batch, table)}
    demand = SubsetDemand(state, tables, weights)
    uncovered_rows = state.desired_weights.available_uncovered_rows(
        state.assignments.subset_coverage, weights
    )
    next_rows = iter([*islice(uncovered_rows, len(tables))])
    added_rows: dict[Table, int | None] = {}
    if updatable:
        for table in sorted(tables, key=lambda table: -demand.ratios[table]):
            added_rows[table] = _row_to_add(
                state, demand, table, next_rows, may_be_hot=table in updatable
            )
    for table, added_row in added_rows.items():
        if table not in updatable:
            continue
        if added_row is None and not state.desired_weights.differing_rows(
            table, weights, include_missing=False
        ):
            continue
        if _can_pay_for_entry(state, batch, table):
            new_weights = {
                row: weights[row] for row in (*table.weights, added_row) if row in weights
            }
            amend_table(state, batch, desired, table, new_weights)


def _is_updatable(state: DecisionState, batch: OrderBatch, table: Table) -> bool:
    """Whether a table's proxies acknowledged its last change and the channel takes another."""
    silent_since = state.tables.silent_since
    return not state.assignments.has_lagging_proxy(
        0, table, table, silent_since
    ) and _can_pay_for_entry(state, batch, table)


def _can_pay_for_entry(state: DecisionState, batch: OrderBatch, table: Table) -> bool:
    """Whether the channel takes one endpoint's entries for all proxies of a table."""
    cost = batch.cost(
        state.assignments.assigned_proxies(table),
        state.parameters.entries_per_endpoint,
        TABLE_CHANGE,
    )
    return cost is not None


def _row_to_add(
    state: DecisionState,
    demand: SubsetDemand,
    table: Table,
    next_rows: Iterator[int],
    may_be_hot: bool,
) -> int | None:
    """Return the endpoint that joins a small table: of a zone that it lacks, in none, or if hot."""
    remote_rows: Iterator[int] = iter(())
    if state.parameters.same_zone_classes:
        zones = state.fleet.by_zone(row for row in table.weights if row in demand.weights)
        if zones:
            remote_rows = (
                row for row in demand.rows_by_demand if state.fleet.zones[row] not in zones
            )
    added_row = next(chain(remote_rows, next_rows), None)
    if added_row is None and may_be_hot and demand.is_hot(table):
        return next((row for row in demand.rows_by_demand if row not in table.weights), None)
    return added_row
