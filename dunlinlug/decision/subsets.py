"""Subsets: small tables for a channel that is too slow to send full tables.

A subset has a part of the endpoints and costs few entries, so that a proxy without a usable
endpoint can be sent one immediately. While the channel is crowded, new proxies and proxies that
lose too many endpoints are assigned to a subset. While the channel is constrained (sending a single
table to all proxies takes longer than a slow start), proxies keep their subsets, and the subsets
are updated in place to follow the desired weights. Owns the list `tables.subset_tables`, over which
all endpoints are distributed.
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

# A subset gets another endpoint if its demand per weight exceeds the average by this factor; the
# excess equals one slow start step.
HOT_SUBSET_RATIO = 1.25
# A new proxy is assigned to the full table immediately if the queue is short.
FULL_TABLE = Urgency(Priority.HEALTH, BASE_DRAIN_TIME)


class AvailableEndpoints:
    """The endpoints that proxies can use now and those that they are about to lose.

    `unavailable` has the rows that are ejected or for which an order was rejected. `rows_by_zone`
    has the available rows of each zone if there are same-zone classes; otherwise it is empty.
    """

    def __init__(self, state: DecisionState, desired: DesiredState) -> None:
        self.assignments = state.assignments
        self.same_zone_classes = state.parameters.same_zone_classes
        self.newly_ejected = desired.ejected - state.ejected_rows
        # Ejecting more endpoints than this costs a proxy more entries than a subset does.
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

    def proxies_needing_subset(self) -> list[int]:
        """Return the proxies that need a subset now, in the order in which they connected."""
        groups: list[Collection[int]] = []
        for assigned_tables, proxy_ids in self.assignments.groups.items():
            if self._needs_subset(assigned_tables):
                groups.append(proxy_ids)
            elif self.rows_by_zone:
                groups.append(
                    [p for p in proxy_ids if self._lacks_local_endpoint(p, assigned_tables)]
                )
        return self.assignments.by_join_order(groups)

    def _needs_subset(self, assigned_tables: AssignedTables) -> bool:
        """Whether proxies with this assignment have no table, or lose all or too many endpoints."""
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
        """Whether a same-zone class of the proxy has no endpoint although its zone has one."""
        tables = [assigned_tables[traffic_class] for traffic_class in self.same_zone_classes]
        return self.assignments.lacks_local_endpoint(proxy_id, self.rows_by_zone, tables)


def assign_subsets(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Assign proxies that need a subset to one, or new proxies to the full table.

    New proxies get the full table if the queue is short. While full tables or a mass ejection are
    queued in the channel, proxies would otherwise have no endpoint, or use draining endpoints for
    too long.
    """
    available = AvailableEndpoints(state, desired)
    full_table = _full_table(state)
    capacities: dict[Table, float] = {}
    min_entries = 0.0
    for proxy_id in available.proxies_needing_subset():
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
        # If the proxy is already assigned to this table, `update_subsets` updates it in place.
        if not available.rows_by_zone or table is not assigned_table:
            all_classes = tuple(range(state.parameters.class_count))
            assign_table(state, batch, Assignment(proxy_id, all_classes, table), MANDATORY)


def _full_table(state: DecisionState) -> Table | None:
    """Return the table that all classes share; None if they differ or the channel is too slow."""
    if state.is_channel_constrained or len(set(state.tables.current_tables.values())) != 1:
        return None
    return state.tables.current_tables[0]


def _assign_full_table(
    state: DecisionState, batch: OrderBatch, proxy_id: int, full_table: Table
) -> bool:
    """Assign a new proxy to the full table; return False if not new or if the queue is too long."""
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
    """Return the subset with the lowest demand per weight once this proxy is added to it.

    Subsets with an endpoint in the proxy's zone are preferred if the zone has available endpoints.
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
    """Return the total weight of the available endpoints of each subset.

    Creates new subsets if there are none, if all subsets together have less than half of the
    available weight, or if they are stale. Each manager distributes the endpoints in its own random
    order.
    """
    state.desired_weights.ordered_weights()
    weights = desired.common_weights()
    used_subsets = [table for table in state.tables.subset_tables if table.use_count]
    best_rows = _best_rows(state, desired, weights)
    # Each subset gets at least one endpoint of every zone.
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
    """Return the rows to distribute: those at full weight, else all available ones, else all."""
    allows_partial_weight = bool(state.parameters.same_zone_classes)
    available_rows = [row for row in weights if row not in desired.ejected]
    best_rows = [
        row
        for row in available_rows
        if allows_partial_weight or desired.weight_fractions[row] == 1.0
    ]
    return best_rows or available_rows or list(weights)


def _is_stale(
    subset_tables: list[Table], best_rows: list[int], zones: Collection[set[int]]
) -> bool:
    """Whether an unused subset has other endpoints, or no subset has an endpoint of some zone."""
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
    """Shuffle these rows in place and distribute them over subsets of the configured size."""
    zone_of = state.fleet.zones
    by_zone = bool(state.parameters.same_zone_classes)
    rows.sort(key=lambda row: (zone_of[row] if by_zone else "", state.rng.uniform(0.0, 1.0)))
    count = -(-len(rows) // state.parameters.subset_size) or 1
    for zone_rows in zones:
        count = min(count, len(zone_rows))
    for first in range(count):
        yield {row: weights[row] for row in rows[first::count]}


class SubsetDemand:
    """Demand on the subsets in use: request rate relative to the weight of their endpoints."""

    def __init__(self, state: DecisionState, tables: list[Table], weights: Weights) -> None:
        self.desired_weights = state.desired_weights
        self.weights = weights
        self.tables = tables
        capacities = state.desired_weights.capacities(tables, weights)
        self.ratios = {
            table: table.request_rate / capacity for table, capacity in capacities.items()
        }

    @cached_property
    def average_ratio(self) -> float:
        """Average demand: request rate of all subsets by weight of all available endpoints."""
        total_rate = sum(table.request_rate for table in self.tables)
        return total_rate / (self.desired_weights.available_weight(self.weights) or 1.0)

    @cached_property
    def rows_by_demand(self) -> list[int]:
        """Available rows, in order of increasing demand."""
        return self.desired_weights.rows_by_demand(self.weights, self.ratios)

    def is_hot(self, table: Table) -> bool:
        """Whether demand on a subset is so far above average that it needs another endpoint."""
        return HOT_SUBSET_RATIO * self.average_ratio < self.ratios[table]


def update_subsets(state: DecisionState, batch: OrderBatch, desired: DesiredState) -> None:
    """Update the subsets in use in place to follow the desired weights.

    Endpoints that are in no subset are added to those with the highest demand. A hot subset gets
    the endpoint with the lowest demand. All endpoints to add are chosen before any table changes.
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
    """Whether a table's proxies acknowledged its last change and the channel allows another."""
    silent_since = state.tables.silent_since
    return not state.assignments.has_lagging_proxy(
        0, table, table, silent_since
    ) and _can_pay_for_entry(state, batch, table)


def _can_pay_for_entry(state: DecisionState, batch: OrderBatch, table: Table) -> bool:
    """Whether the channel has room for one endpoint's entries for all proxies of a table."""
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
    """Return the row to add to a subset, None if there is none.

    That is a row of a zone that the subset lacks, else a row that is in no subset, else, if the
    subset is hot, the row with the lowest demand.
    """
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
