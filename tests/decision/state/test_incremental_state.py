"""Incrementally updated state, compared with slow, plain models that recompute all of it.

Faults injected into the incremental updates must make the comparison fail.
"""

from collections.abc import Callable
from fractions import Fraction
from random import Random
from statistics import fmean, median

import pytest

from dunlinlug.decision.events import Endpoint, EndpointsUpdated
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.desired_weights import DesiredWeights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.outlier_statistics import (
    OutlierStatistics,
    OutlierThresholds,
    sorted_median,
)
from dunlinlug.decision.state.tables import Table, admission_level

PEER_LIMIT, MIN_ATTEMPTS, MIN_FAILED, MIN_FAILURE_RATE = 0.5, 1.0, 3.0, 0.35
WEIGHT_LIMITS = [0.0, 0.25, 0.5, 0.75, 1.0]


def check_indexes(statistics: OutlierStatistics, now: float) -> None:
    """Compare all indexes with their values recomputed from the columns."""
    rows = sorted(statistics.ready_rows)
    counted_rows = [
        row
        for row in rows
        if statistics.weight_limits[row] and statistics.attempts[row] >= MIN_ATTEMPTS
    ]
    peers = [row for row in counted_rows if statistics.weight_limits[row] >= PEER_LIMIT]
    ejected_rows = [row for row in rows if not statistics.weight_limits[row]]
    assert statistics.failure_rates == sorted(
        map(statistics.failure_rate, counted_rows)
    ) and statistics.mean_latencies == sorted(map(statistics.mean_latency, counted_rows))
    assert statistics.peer_failure_rates == sorted(map(statistics.failure_rate, peers))
    assert statistics.peer_latencies == sorted((statistics.mean_latency(row), row) for row in peers)
    if counted_rows:
        assert sorted_median(statistics.failure_rates) == median(
            map(statistics.failure_rate, counted_rows)
        )
        assert sorted_median(statistics.mean_latencies) == median(
            map(statistics.mean_latency, counted_rows)
        )
    if peers:
        assert statistics.median_peer_latency() == median(map(statistics.mean_latency, peers))
    assert statistics.suspect_rows == {
        row
        for row in rows
        if statistics.weight_limits[row]
        and statistics.failed[row] >= MIN_FAILED
        and statistics.failure_rate(row) >= MIN_FAILURE_RATE
    }
    assert statistics.limited_rows == {row for row in rows if statistics.weight_limits[row] != 1.0}
    assert statistics.probation_rows == {
        row for row in rows if 0.0 < statistics.weight_limits[row] < PEER_LIMIT
    } and statistics.ejected_rows == set(ejected_rows)
    assert statistics.ejection_deadlines == sorted(
        (statistics.due_at[row], row) for row in ejected_rows
    )
    assert statistics.due_ejections(now) == [
        row for row in ejected_rows if statistics.due_at[row] <= now
    ]
    assert sorted(statistics.due_recoveries(now)) == [
        row
        for row in rows
        if statistics.weight_limits[row]
        and (statistics.weight_limits[row], statistics.recovery_limits[row]) != (1.0, 1.0)
        and statistics.due_at[row] <= now
    ]
    slow_latency = now % 0.5
    assert sorted(statistics.slow_peers(slow_latency)) == sorted(
        row for row in peers if statistics.mean_latency(row) >= slow_latency
    )
    exact_failure_rate = sum(statistics.failed[row] for row in counted_rows) / (
        sum(statistics.attempts[row] for row in counted_rows) or 1.0
    )
    expected = (
        sum(statistics.attempts[row] for row in counted_rows),
        sum(statistics.failed[row] for row in counted_rows),
    )
    assert statistics.attempt_totals(exact_failure_rate) == expected, "must be exactly equal"
    for found, column in zip(
        statistics.attempt_totals(2.0), (statistics.attempts, statistics.failed), strict=True
    ):
        exact = sum((Fraction(column[row]) for row in counted_rows), Fraction(0))
        assert found == pytest.approx(float(exact), rel=1e-15, abs=1e-20)


def check_random_statistics(seed: int) -> None:
    rng, now = Random(seed), 0.0
    statistics, limits_before = (
        OutlierStatistics(
            0.8, 4.0, OutlierThresholds(PEER_LIMIT, MIN_ATTEMPTS, MIN_FAILED, MIN_FAILURE_RATE)
        ),
        dict[int, float](),
    )
    for row in range(12):
        statistics.add_endpoint(row)
    ready = [False] * 12
    for _ in range(300):
        now += rng.random()
        row = rng.randrange(12)
        match rng.randrange(6):
            case 0:
                ready[row] = not ready[row]
                statistics.set_ready([row], ready)
            case 1:
                statistics.reset(row, rng.choice(WEIGHT_LIMITS), now + rng.random())
            case 2:
                (
                    statistics.weight_limits[row],
                    statistics.recovery_limits[row],
                    statistics.due_at[row],
                ) = (
                    rng.choice(WEIGHT_LIMITS),
                    rng.choice(WEIGHT_LIMITS),
                    now,
                )
                statistics.update_indexes(row)
            case 3 if not statistics.weight_limits[row]:
                statistics.postpone(row)
            case 4 if rng.random() < 0.2:
                statistics.add_endpoint(row)
                assert (
                    statistics.attempts[row],
                    statistics.weight_limits[row],
                    statistics.ejection_times[row],
                ) == (
                    0.0,
                    1.0,
                    4.0,
                )
            case _:
                attempts_reported = rng.randrange(1, 20)
                statistics.record(
                    row,
                    now,
                    attempts_reported,
                    rng.choice([0, attempts_reported, attempts_reported // 2]),
                    rng.choice([0.2, 0.3]),
                )
        check_indexes(statistics, now)
        limits_after = {row: statistics.weight_limits[row] for row in statistics.ready_rows}
        assert (
            statistics.take_changed_rows()
            == {row for row in range(12) if limits_before.get(row) != limits_after.get(row)}
            and not statistics.take_changed_rows()
        )
        limits_before = limits_after
    rebuilt = OutlierStatistics(
        0.8, 4.0, OutlierThresholds(PEER_LIMIT, MIN_ATTEMPTS, MIN_FAILED, MIN_FAILURE_RATE)
    )  # as on a standby manager, which decodes the arrays alone
    vars(rebuilt).update(
        {
            key: value
            for key, value in vars(statistics).items()
            if key not in OutlierStatistics.DERIVED
        }
    )
    rebuilt.rebuild_derived()
    assert vars(rebuilt) == vars(statistics) and not rebuilt.take_changed_rows()


@pytest.mark.parametrize("seed", range(8))
def test_statistics_equal_those_recomputed_over_all_rows(seed: int) -> None:
    check_random_statistics(seed)


def check_random_endpoint_lists(seed: int) -> None:
    rng, fleet = Random(seed), Fleet(fmean)
    known_before: dict[int, tuple[float, float]] = {}
    for step in range(200):
        endpoints = [
            Endpoint(
                f"w{number}",
                "abc"[number % 3],
                "",
                0,
                rng.choice(["ready", "ready", "draining", "gone"]),
                rng.choice([1.0, 1.0, 0.5, 1.3, None, 0.0]) if seed % 2 else 1.0,
                rng.choice([None, float(step)]),
            )
            for number in rng.sample(range(14), rng.choice([1, 9]))
        ]
        ready_before = {row for row, ready in enumerate(fleet.ready) if ready}
        fleet.apply_update(
            EndpointsUpdated(
                rng.choice(["changes", "changes", "changes", "whole", "kept"]), tuple(endpoints)
            ),
            set,
        )
        ready_rows = [row for row, ready in enumerate(fleet.ready) if ready]
        listed_weights = [
            weight for weight in (fleet.listed_weights[row] for row in ready_rows) if weight
        ] or [1.0]
        assert fleet.ready_rows == ready_rows and fleet.readiness_changes == ready_before ^ set(
            ready_rows
        )
        assert fleet.base_weights == {
            row: fleet.listed_weights[row] or fmean(listed_weights) for row in ready_rows
        }
        assert fleet.total_weight() == sum(fleet.base_weights[row] for row in ready_rows)
        ejected_now = set(rng.sample(range(len(fleet.ids)), len(fleet.ids) // 2))
        ready_weights = {row: fleet.base_weights[row] for row in ready_rows}
        exact = sum(ready_weights[row] for row in ready_weights.keys() - ejected_now) / (
            sum(ready_weights.values()) or 1.0
        )
        assert not ready_rows or (
            fleet.available_fraction(ejected_now, 2.0),
            fleet.available_fraction(ejected_now, 0.0),
        ) == (
            exact,
            pytest.approx(exact),
        )
        known_after = {row: (fleet.base_weights[row], fleet.started_at[row]) for row in ready_rows}
        assert (
            fleet.take_changed_rows()
            >= {
                row
                for row in known_before.keys() | known_after
                if known_before.get(row) != known_after.get(row)
            }
            and not fleet.take_changed_rows()
        )
        known_before = known_after


@pytest.mark.parametrize("seed", range(6))
def test_weights_equal_those_recomputed_over_the_list(seed: int) -> None:
    check_random_endpoint_lists(seed)


def check_weights(
    desired_weights: DesiredWeights, assignments: Assignments, ejected_now: set[int], rng: Random
) -> None:
    expected = dict(sorted(desired_weights.default_weights.items()))
    other = {
        row: weight for row, weight in expected.items() if row % 3
    }  # not the default weights, like those of an override
    for table in assignments.tables.values():
        for desired in (desired_weights.default_weights, other):
            installed = table.weights
            differing = {
                row
                for row in installed.keys() | desired.keys()
                if installed.get(row) != desired.get(row)
            }
            assert desired_weights.differing_rows(table, desired, not table.is_subset) == (
                differing & installed.keys() if table.is_subset else differing
            )
            assert desired_weights.capacity(table, desired) == (
                sum(desired.get(row, 0.0) for row in installed if row not in ejected_now)
                or DesiredWeights.MIN_CAPACITY
            )
    covering_subsets = [
        table
        for table in assignments.tables.values()
        if table.is_subset and table.use_count and table.request_rate
    ]
    assert assignments.subsets_in_use() == [
        table for table in assignments.tables.values() if table.is_subset and table.use_count
    ]
    covered_rows = {row for table in covering_subsets for row in table.weights}
    for desired in (desired_weights.default_weights, other):
        assert [
            *desired_weights.available_uncovered_rows(assignments.subset_coverage, desired)
        ] == [row for row in sorted(desired) if row not in covered_rows and row not in ejected_now]
        assert desired_weights.available_weight(desired) == sum(
            desired[row] for row in sorted(desired) if row not in ejected_now
        )
        demand_ratios = {table: rng.random() for table in covering_subsets}
        demand_by_row = {
            row: sum(
                demand_ratio
                for table, demand_ratio in demand_ratios.items()
                if row in table.weights
            )
            for row in sorted(desired)
        }
        order = desired_weights.rows_by_demand(desired, demand_ratios)
        assert [demand_by_row[row] for row in order] == pytest.approx(
            sorted(demand_by_row[row] for row in demand_by_row if row not in ejected_now)
        )
    full_tables = [table for table in assignments.tables.values() if not table.is_subset]
    if rng.random() < 0.5:
        assert [*desired_weights.ordered_weights().items()] == [
            *expected.items()
        ] and not desired_weights.unordered
    distances = desired_weights.distances(
        full_tables * 2,
        [desired_weights.default_weights] * len(full_tables) + [other] * len(full_tables),
    )
    assert distances == pytest.approx(
        [
            sum(abs(desired.get(row, 0.0) - table.weights.get(row, 0.0)) for row in range(20))
            for desired in (desired_weights.default_weights, other)
            for table in full_tables
        ]
    )


def check_random_weights(seed: int) -> None:
    rng, desired_weights, assignments, ready = (
        Random(seed),
        DesiredWeights(),
        Assignments(2),
        [False] * 20,
    )
    # `former_ready_rows` are the rows that were ready at least once.
    former_ready_rows, ejected_now = set[int](), set[int]()
    # Short, so that the log is truncated past entries that some tables have not read.
    desired_weights.MIN_LOG_LENGTH = 20
    for proxy_id in range(4):
        assignments.add_proxy(proxy_id, "a", 0.0 if proxy_id == 3 else 5.0)
    for ack_number in range(1, 250):
        row, tables = rng.randrange(20), [*assignments.tables.values()]
        match rng.randrange(8):
            case 0 | 1:
                ready[row] = True
                former_ready_rows.add(row)
                desired_weights.set_weight(row, 0.5, rng.choice([None, 0.5, 1.0, 0.325]))
                assignments.set_ready([row], ready)
            case 2 if row in desired_weights.weight_fractions:
                ready[row] = False
                desired_weights.remove([row])
                assignments.set_ready([row], ready)
            case 3:
                desired_weights.set_ejected(
                    ejected_now := {row for row in range(20) if rng.random() < 0.2}
                )
            case 4 if len(tables) < 6:
                rows = rng.sample(range(20), 5)
                table = assignments.add_table(
                    Table(ack_number, dict.fromkeys(rows, 1.0), dict.fromkeys(rows, 1.0), [])
                )
                assignments.set_subsets([table][ack_number % 2 :])
            case 5 if tables:
                assignments.set_entry(rng.choice(tables), row, rng.choice([None, 0.5, 1.0]))
            case 6 if tables:
                assignments.assign(
                    rng.randrange(4),
                    rng.choice([(0,), (0, 1)]),
                    rng.choice(tables),
                    ack_number,
                    ack_number,
                )
            case 7:
                assignments.acknowledge(rng.randrange(4), [*range(ack_number)])
        if rng.random() < 0.5:
            check_weights(desired_weights, assignments, ejected_now, rng)
        unready = {row for row in former_ready_rows if not ready[row]}
        for table in tables:
            if table.use_count or not table.is_subset:
                assert table.unready_rows == table.weight_fractions.keys() & unready
                assert sorted(assignments.assigned_proxies(table)) == [
                    proxy_id
                    for proxy_id, proxy in sorted(assignments.proxies.items())
                    if table in proxy.assigned_tables
                ]


@pytest.mark.parametrize("seed", range(10))
def test_differences_of_weights_and_tables_equal_recomputed_ones(seed: int) -> None:
    check_random_weights(seed)


def check_random_assignments(seed: int) -> None:
    """Compare tables in use, lagging classes, admission levels and missing tables with a plain model.

    The model goes through each proxy and class, although classes may share one list of tables.
    """
    rng, assignments = Random(seed), Assignments(5)
    tables = [
        assignments.add_table(Table(index, {1: 1.0}, {1: 1.0}, [admission_level(1.0, 1)] * 5))
        for index in range(1, 5)
    ]
    for proxy_id in range(5):
        assignments.add_proxy(proxy_id, "a")
    expected: dict[int, dict[int, list[tuple[int, int]]]] = {proxy_id: {} for proxy_id in range(5)}
    for ack_number in range(1, 200):
        proxy_id, table = rng.randrange(5), rng.choice(tables)
        match rng.randrange(5):
            case 0 | 1:
                traffic_classes = rng.choice([(0, 1, 2, 3, 4), (1, 2), (4,)])
                assignments.assign(proxy_id, traffic_classes, table, ack_number, ack_number)
                for traffic_class in traffic_classes:
                    expected[proxy_id].setdefault(traffic_class, []).append(
                        (table.table_id, ack_number)
                    )
            case 2:
                assignments.acknowledge(
                    proxy_id,
                    acknowledged := [number for number in range(ack_number) if rng.random() < 0.8],
                )
                for traffic_class, entries in expected[proxy_id].items():
                    newest = max(
                        (
                            index
                            for index, (_, number) in enumerate(entries)
                            if not number or number in acknowledged
                        ),
                        default=None,
                    )
                    expected[proxy_id][traffic_class] = (
                        entries
                        if newest is None
                        else [(entries[newest][0], 0), *entries[newest + 1 :]]
                    )
            case 3:
                assignments.record_update(
                    table, proxy_ids := assignments.assigned_proxies(table), ack_number, ack_number
                )
                for assigned_id in proxy_ids:
                    for entries in expected[assigned_id].values():
                        entries[-1:] = (
                            [(table.table_id, ack_number)]
                            if entries[-1][0] == table.table_id
                            else entries[-1:]
                        )
            case 4:
                assignments.unassign(proxy_id, (0, 1), table.table_id)
                for traffic_class in (0, 1):
                    entries = expected[proxy_id].setdefault(traffic_class, [])
                    uses = [n for n, entry in enumerate(entries) if entry[0] == table.table_id]
                    for newest in uses[-1:]:
                        del entries[newest]
                expected[proxy_id] = {
                    traffic_class: entries
                    for traffic_class, entries in expected[proxy_id].items()
                    if entries
                }
                table.admission_levels = [
                    admission_level(rng.choice([1.0, 0.5]), 1) for _ in range(5)
                ]
        for other_id, proxy in assignments.proxies.items():
            assert {
                traffic_class: [(each_table.table_id, number) for each_table, number in entries]
                for traffic_class, entries in proxy.tables_in_use.items()
            } == expected[other_id]
        updates = {traffic_class: (rng.choice(tables), table) for traffic_class in range(5)}
        since = ack_number - rng.randrange(20)
        assert assignments.lagging_classes(updates, since) == {
            traffic_class
            for traffic_class, (old, new) in updates.items()
            if any(
                proxy.updated_at > since
                and proxy.tables_in_use.get(traffic_class) != [(new, 0)]
                and (old is not new or new in proxy.assigned_tables)
                for proxy in assignments.proxies.values()
            )
        }
        assert assignments.lagging_classes(updates, since) == {
            traffic_class
            for traffic_class, tables_of_update in updates.items()
            if assignments.has_lagging_proxy(traffic_class, *tables_of_update, since)
        }
        desired_levels = [admission_level(1.0, 1)] * 5
        assert {
            (traffic_class, table.table_id): sorted(
                proxy_id for group in groups for proxy_id in group
            )
            for (traffic_class, table), groups in assignments.differing_admission(
                desired_levels
            ).items()
        } == {
            (traffic_class, each_table.table_id): proxy_ids
            for each_table in tables
            for traffic_class in range(5)
            if each_table.admission_levels[traffic_class] != desired_levels[traffic_class]
            and (
                proxy_ids := [
                    proxy_id
                    for proxy_id, proxy in assignments.proxies.items()
                    if proxy.assigned_tables[traffic_class] is each_table
                ]
            )
        }
        current = {traffic_class: tables[traffic_class % 2] for traffic_class in range(5)}
        for new_proxies in (True, False):
            missing_classes = {
                proxy_id: tuple(
                    traffic_class
                    for traffic_class in range(5)
                    if current[traffic_class]
                    is tables[0]
                    is not proxy.assigned_tables[traffic_class]
                )
                for proxy_id, proxy in assignments.proxies.items()
            }
            found = assignments.groups_to_assign(current, tables[0], new_proxies)
            assert {
                proxy_id: other
                for assigned_tables, other in found.items()
                for proxy_id in assignments.groups[assigned_tables]
            } == {
                proxy_id: other
                for proxy_id, other in missing_classes.items()
                if other
                and new_proxies == (assignments.proxies[proxy_id].assigned_tables[other[0]] is None)
            }


@pytest.mark.parametrize("seed", range(8))
def test_tables_in_use_equal_those_tracked_separately_for_each_class(seed: int) -> None:
    check_random_assignments(seed)


def do_nothing(*_: object, **__: object) -> None:
    return None


FAULTS: dict[str, tuple[Callable[[int], None], type, str, Callable[..., object]]] = {
    "rows stay in the indexes": (
        check_random_statistics,
        OutlierStatistics,
        "_remove_from_indexes",
        do_nothing,
    ),
    "a reset does not reach the indexes": (
        check_random_statistics,
        OutlierStatistics,
        "reset",
        lambda self, row, weight_limit, due_at: self.weight_limits.__setitem__(row, weight_limit),
    ),
    "changed rows are reported again": (
        check_random_statistics,
        OutlierStatistics,
        "take_changed_rows",
        lambda self: self.changed_rows,
    ),
    "a sum is not updated": (
        check_random_endpoint_lists,
        Fleet,
        "total_weight",
        lambda self: (
            self.weight_sum if self.weight_sum > 0 else setattr(self, "weight_sum", 1e9) or 1e9
        ),
    ),
    "weights are not updated": (
        check_random_endpoint_lists,
        Fleet,
        "_update_weights",
        do_nothing,
    ),
    "ejections are not logged": (check_random_weights, DesiredWeights, "set_ejected", do_nothing),
    "a table's differing rows are not updated": (
        check_random_weights,
        DesiredWeights,
        "differing_rows",
        lambda self, table, desired, include_missing=True: table.differing_rows,
    ),
    "default weights are not sorted": (
        check_random_weights,
        DesiredWeights,
        "ordered_weights",
        lambda self: self.default_weights,
    ),
    "truncated log entries are not counted": (
        check_random_weights,
        DesiredWeights,
        "_truncate_log",
        lambda self: self.change_log.clear(),
    ),
    "a cached capacity is not invalidated": (
        check_random_weights,
        DesiredWeights,
        "capacity",
        lambda self, table, desired: (
            table.cached_capacity or setattr(table, "cached_capacity", 1.0) or 1.0
        ),
    ),
    "coverage counts are not updated": (check_random_weights, Coverage, "adjust_count", do_nothing),
    "coverage forgets changed rows": (
        check_random_weights,
        Coverage,
        "adjust_count",
        lambda self, row, delta: self.table_counts.__setitem__(
            row, self.table_counts.get(row, 0) + delta
        ),
    ),
    "readiness changes do not reach tables": (
        check_random_weights,
        Assignments,
        "set_ready",
        do_nothing,
    ),
    "unready rows of a table used again are not updated": (
        check_random_weights,
        Assignments,
        "_retain",
        lambda self, table: self.retained_tables.__setitem__(table.sequence, table),
    ),
    "no class lags": (
        check_random_assignments,
        Assignments,
        "lagging_classes",
        lambda self, updates, since: set(),
    ),
    "an acknowledgement confirms nothing": (
        check_random_assignments,
        Assignments,
        "acknowledge",
        do_nothing,
    ),
    "levels never differ": (
        check_random_assignments,
        Assignments,
        "differing_admission",
        lambda self, admission_levels: {},
    ),
    "no group lacks a table": (
        check_random_assignments,
        Assignments,
        "groups_to_assign",
        lambda self, current, table, new_proxies: {},
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_in_the_bookkeeping_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    check, state_class, method, fault = FAULTS[name]
    monkeypatch.setattr(state_class, method, fault)
    with pytest.raises(AssertionError):
        for seed in range(4):
            check(seed)
