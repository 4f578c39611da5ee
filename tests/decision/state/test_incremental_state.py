"""State kept up change by change, each part beside a slow, plain model that walks all of it; a
fault in it is seen.
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


def compare_statistics(statistics: OutlierStatistics, now: float) -> None:
    """All that the indexes say of the columns, as one would find it anew."""
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
    assert statistics.attempt_totals(exact_failure_rate) == expected, "to the last digit"
    for found, column in zip(
        statistics.attempt_totals(2.0), (statistics.attempts, statistics.failed), strict=True
    ):
        exact = sum((Fraction(column[row]) for row in counted_rows), Fraction(0))
        assert found == pytest.approx(float(exact), rel=1e-15, abs=1e-20)


def play_statistics(seed: int) -> None:
    rng, now = Random(seed), 0.0
    statistics, before = (
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
        compare_statistics(statistics, now)
        after = {row: statistics.weight_limits[row] for row in statistics.ready_rows}
        assert (
            statistics.take_changed_rows()
            == {row for row in range(12) if before.get(row) != after.get(row)}
            and not statistics.take_changed_rows()
        )
        before = after
    rebuilt = OutlierStatistics(
        0.8, 4.0, OutlierThresholds(PEER_LIMIT, MIN_ATTEMPTS, MIN_FAILED, MIN_FAILURE_RATE)
    )  # as a standby reads it
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
def test_statistics_are_what_a_walk_over_all_rows_gives(seed: int) -> None:
    play_statistics(seed)


def play_fleet(seed: int) -> None:
    rng, fleet = Random(seed), Fleet(fmean)
    known_before: dict[int, tuple[float, float]] = {}
    for n in range(200):
        rows = [
            Endpoint(
                f"w{k}",
                "abc"[k % 3],
                "",
                0,
                rng.choice(["ready", "ready", "draining", "gone"]),
                rng.choice([1.0, 1.0, 0.5, 1.3, None, 0.0]) if seed % 2 else 1.0,
                rng.choice([None, float(n)]),
            )
            for k in rng.sample(range(14), rng.choice([1, 9]))
        ]
        ready_before = {row for row, ready in enumerate(fleet.ready) if ready}
        fleet.apply_update(
            EndpointsUpdated(
                rng.choice(["changes", "changes", "changes", "whole", "kept"]), tuple(rows)
            ),
            set,
        )
        now = [row for row, ready in enumerate(fleet.ready) if ready]
        listed = [w for w in (fleet.listed_weights[row] for row in now) if w] or [1.0]
        assert fleet.ready_rows == now and fleet.readiness_changes == ready_before ^ set(now)
        assert fleet.base_weights == {
            row: fleet.listed_weights[row] or fmean(listed) for row in now
        }
        assert fleet.total_weight() == sum(fleet.base_weights[row] for row in now)
        ejected_now = set(rng.sample(range(len(fleet.ids)), len(fleet.ids) // 2))
        left = {row: fleet.base_weights[row] for row in now}
        exact = sum(left[row] for row in left.keys() - ejected_now) / (sum(left.values()) or 1.0)
        assert not now or (
            fleet.available_fraction(ejected_now, 2.0),
            fleet.available_fraction(ejected_now, 0.0),
        ) == (
            exact,
            pytest.approx(exact),
        )
        rebuilt = {row: (fleet.base_weights[row], fleet.started_at[row]) for row in now}
        assert (
            fleet.take_changed_rows()
            >= {
                row
                for row in known_before.keys() | rebuilt
                if known_before.get(row) != rebuilt.get(row)
            }
            and not fleet.take_changed_rows()
        )
        known_before = rebuilt


@pytest.mark.parametrize("seed", range(6))
def test_weights_are_what_a_walk_over_the_list_gives(seed: int) -> None:
    play_fleet(seed)


def compare_weights(
    desired_weights: DesiredWeights, assignments: Assignments, ejected_now: set[int], rng: Random
) -> None:
    expected = dict(sorted(desired_weights.default_weights.items()))
    other = {
        row: share for row, share in expected.items() if row % 3
    }  # not the default weights: as an override's
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
            row: sum(more for table, more in demand_ratios.items() if row in table.weights)
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


def play_weights(seed: int) -> None:
    rng, desired_weights, assignments, ready = (
        Random(seed),
        DesiredWeights(),
        Assignments(2),
        [False] * 20,
    )
    known_before, ejected_now = set[int](), set[int]()  # rows that were ready once; ejected rows
    desired_weights.MIN_LOG_LENGTH = 20  # so that the log is cut, and tables fall behind it
    for proxy_id in range(4):
        assignments.add_proxy(proxy_id, "a", 0.0 if proxy_id == 3 else 5.0)
    for ack_number in range(1, 250):
        row, tables = rng.randrange(20), [*assignments.tables.values()]
        match rng.randrange(8):
            case 0 | 1:
                ready[row] = True
                known_before.add(row)
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
            compare_weights(desired_weights, assignments, ejected_now, rng)
        unready = {row for row in known_before if not ready[row]}
        for table in tables:
            if table.use_count or not table.is_subset:
                assert table.unready_rows == table.weight_fractions.keys() & unready
                assert sorted(assignments.assigned_proxies(table)) == [
                    proxy_id
                    for proxy_id, proxy in sorted(assignments.proxies.items())
                    if table in proxy.assigned_tables
                ]


@pytest.mark.parametrize("seed", range(10))
def test_weights_and_tables_differ_as_a_walk_over_all_finds(seed: int) -> None:
    play_weights(seed)


def play_assignments(seed: int) -> None:
    """Classes that share a list go on with one; lagging, levels and missing tables beside a walk by
    proxy and class.
    """
    rng, assignments = Random(seed), Assignments(5)
    tables = [
        assignments.add_table(Table(n, {1: 1.0}, {1: 1.0}, [admission_level(1.0, 1)] * 5))
        for n in range(1, 5)
    ]
    for proxy_id in range(5):
        assignments.add_proxy(proxy_id, "a")
    expected: dict[int, dict[int, list[tuple[int, int]]]] = {proxy_id: {} for proxy_id in range(5)}
    for ack_number in range(1, 200):
        proxy_id, table = rng.randrange(5), rng.choice(tables)
        match rng.randrange(5):
            case 0 | 1:
                products = rng.choice([(0, 1, 2, 3, 4), (1, 2), (4,)])
                assignments.assign(proxy_id, products, table, ack_number, ack_number)
                for k in products:
                    expected[proxy_id].setdefault(k, []).append((table.table_id, ack_number))
            case 2:
                assignments.acknowledge(
                    proxy_id, acknowledged := [m for m in range(ack_number) if rng.random() < 0.8]
                )
                for k, entries in expected[proxy_id].items():
                    last = max(
                        (n for n, (_, m) in enumerate(entries) if not m or m in acknowledged),
                        default=None,
                    )
                    expected[proxy_id][k] = (
                        entries if last is None else [(entries[last][0], 0), *entries[last + 1 :]]
                    )
            case 3:
                assignments.record_update(
                    table, proxy_ids := assignments.assigned_proxies(table), ack_number, ack_number
                )
                for user_id in proxy_ids:
                    for entries in expected[user_id].values():
                        entries[-1:] = (
                            [(table.table_id, ack_number)]
                            if entries[-1][0] == table.table_id
                            else entries[-1:]
                        )
            case 4:
                assignments.unassign(proxy_id, (0, 1), table.table_id)
                for k in (0, 1):
                    expected[proxy_id][k] = [
                        entry
                        for entry in expected[proxy_id].get(k, ())
                        if entry[0] != table.table_id
                    ]
                expected[proxy_id] = {
                    k: entries for k, entries in expected[proxy_id].items() if entries
                }
                table.admission_levels = [
                    admission_level(rng.choice([1.0, 0.5]), 1) for _ in range(5)
                ]
        for other_id, proxy in assignments.proxies.items():
            assert {
                k: [(t.table_id, m) for t, m in entries]
                for k, entries in proxy.tables_in_use.items()
            } == expected[other_id]
        updates = {k: (rng.choice(tables), table) for k in range(5)}
        since = ack_number - rng.randrange(20)
        assert assignments.lagging_classes(updates, since) == {
            k
            for k, (old, new) in updates.items()
            if any(
                proxy.updated_at > since
                and proxy.tables_in_use.get(k) != [(new, 0)]
                and (old is not new or new in proxy.assigned_tables)
                for proxy in assignments.proxies.values()
            )
        }
        assert assignments.lagging_classes(updates, since) == {
            k for k, move in updates.items() if assignments.has_lagging_proxy(k, *move, since)
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
            (k, t.table_id): proxy_ids
            for t in tables
            for k in range(5)
            if t.admission_levels[k] != desired_levels[k]
            and (
                proxy_ids := [
                    proxy_id
                    for proxy_id, proxy in assignments.proxies.items()
                    if proxy.assigned_tables[k] is t
                ]
            )
        }
        current = {k: tables[k % 2] for k in range(5)}
        for new_proxies in (True, False):
            missing_classes = {
                proxy_id: tuple(
                    k for k in range(5) if current[k] is tables[0] is not proxy.assigned_tables[k]
                )
                for proxy_id, proxy in assignments.proxies.items()
            }
            found = assignments.groups_to_assign(current, tables[0], new_proxies)
            assert {
                proxy_id: other
                for tops, other in found.items()
                for proxy_id in assignments.groups[tops]
            } == {
                proxy_id: other
                for proxy_id, other in missing_classes.items()
                if other
                and new_proxies == (assignments.proxies[proxy_id].assigned_tables[other[0]] is None)
            }


@pytest.mark.parametrize("seed", range(8))
def test_tables_in_use_are_what_each_class_by_itself_would_have(seed: int) -> None:
    play_assignments(seed)


def nothing(*_: object, **__: object) -> None:
    return None


FAULTS: dict[str, tuple[Callable[[int], None], type, str, Callable[..., object]]] = {
    "rows stay in the indexes": (
        play_statistics,
        OutlierStatistics,
        "_remove_from_indexes",
        nothing,
    ),
    "a reset does not reach the indexes": (
        play_statistics,
        OutlierStatistics,
        "reset",
        lambda self, row, weight_limit, due_at: self.weight_limits.__setitem__(row, weight_limit),
    ),
    "changed rows are reported again": (
        play_statistics,
        OutlierStatistics,
        "take_changed_rows",
        lambda self: self.changed_rows,
    ),
    "a sum is left as it was": (
        play_fleet,
        Fleet,
        "total_weight",
        lambda self: (
            self.weight_sum if self.weight_sum > 0 else setattr(self, "weight_sum", 1e9) or 1e9
        ),
    ),
    "weights are left as they were": (play_fleet, Fleet, "_update_weights", nothing),
    "ejections are not logged": (play_weights, DesiredWeights, "set_ejected", nothing),
    "a table does not follow": (
        play_weights,
        DesiredWeights,
        "differing_rows",
        lambda self, table, desired, include_missing=True: table.differing_rows,
    ),
    "order is not kept": (
        play_weights,
        DesiredWeights,
        "ordered_weights",
        lambda self: self.default_weights,
    ),
    "the log is cut and not counted": (
        play_weights,
        DesiredWeights,
        "_truncate_log",
        lambda self: self.change_log.clear(),
    ),
    "a capacity is kept too long": (
        play_weights,
        DesiredWeights,
        "capacity",
        lambda self, table, desired: (
            table.cached_capacity or setattr(table, "cached_capacity", 1.0) or 1.0
        ),
    ),
    "coverage does not count": (play_weights, Coverage, "adjust_count", nothing),
    "coverage forgets changed rows": (
        play_weights,
        Coverage,
        "adjust_count",
        lambda self, row, delta: self.table_counts.__setitem__(
            row, self.table_counts.get(row, 0) + delta
        ),
    ),
    "tables do not hear of readiness": (play_weights, Assignments, "set_ready", nothing),
    "a table used again is not brought up to date": (
        play_weights,
        Assignments,
        "_retain",
        lambda self, table: self.retained_tables.__setitem__(table.sequence, table),
    ),
    "no class lags": (
        play_assignments,
        Assignments,
        "lagging_classes",
        lambda self, updates, since: set(),
    ),
    "an acknowledgement confirms nothing": (play_assignments, Assignments, "acknowledge", nothing),
    "levels never differ": (
        play_assignments,
        Assignments,
        "differing_admission",
        lambda self, admission_levels: {},
    ),
    "nobody lacks a table": (
        play_assignments,
        Assignments,
        "groups_to_assign",
        lambda self, current, table, new_proxies: {},
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_in_the_bookkeeping_is_seen(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    play, statistics, method, fault = FAULTS[name]
    monkeypatch.setattr(statistics, method, fault)
    with pytest.raises(AssertionError):
        for seed in range(4):
            play(seed)
