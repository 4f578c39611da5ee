"""Books kept up change by change, each beside a slow, plain model that walks all; with a guard out it is seen."""

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

CAP, LEAST, ENOUGH, MOST = 0.5, 1.0, 3.0, 0.35
FIGURES = [0.0, 0.25, 0.5, 0.75, 1.0]


def compare_evidence(book: OutlierStatistics, now: float) -> None:
    """All that the books say of the columns, as one would find it anew."""
    rows = sorted(book.ready_rows)
    heard = [i for i in rows if book.weight_limits[i] and book.attempts[i] >= LEAST]
    peers = [i for i in heard if book.weight_limits[i] >= CAP]
    idle = [i for i in rows if not book.weight_limits[i]]
    assert book.failure_rates == sorted(
        map(book.failure_rate, heard)
    ) and book.mean_latencies == sorted(map(book.mean_latency, heard))
    assert book.peer_failure_rates == sorted(map(book.failure_rate, peers))
    assert book.peer_latencies == sorted((book.mean_latency(i), i) for i in peers)
    if heard:
        assert sorted_median(book.failure_rates) == median(map(book.failure_rate, heard))
        assert sorted_median(book.mean_latencies) == median(map(book.mean_latency, heard))
    if peers:
        assert book.median_peer_latency() == median(map(book.mean_latency, peers))
    assert book.suspect_rows == {
        i
        for i in rows
        if book.weight_limits[i] and book.failed[i] >= ENOUGH and book.failure_rate(i) >= MOST
    }
    assert book.limited_rows == {i for i in rows if book.weight_limits[i] != 1.0}
    assert book.probation_rows == {
        i for i in rows if 0.0 < book.weight_limits[i] < CAP
    } and book.ejected_rows == set(idle)
    assert book.ejection_deadlines == sorted((book.due_at[i], i) for i in idle)
    assert book.due_ejections(now) == [i for i in idle if book.due_at[i] <= now]
    assert sorted(book.due_recoveries(now)) == [
        i
        for i in rows
        if book.weight_limits[i]
        and (book.weight_limits[i], book.recovery_limits[i]) != (1.0, 1.0)
        and book.due_at[i] <= now
    ]
    pace = now % 0.5
    assert sorted(book.slow_peers(pace)) == sorted(i for i in peers if book.mean_latency(i) >= pace)
    tie = sum(book.failed[i] for i in heard) / (sum(book.attempts[i] for i in heard) or 1.0)
    plain = sum(book.attempts[i] for i in heard), sum(book.failed[i] for i in heard)
    assert book.attempt_totals(tie) == plain, "to the last digit"
    for found, column in zip(book.attempt_totals(2.0), (book.attempts, book.failed), strict=True):
        exact = sum((Fraction(column[i]) for i in heard), Fraction(0))
        assert found == pytest.approx(float(exact), rel=1e-15, abs=1e-20)


def play_evidence(seed: int) -> None:
    chance, now = Random(seed), 0.0
    book, before = (
        OutlierStatistics(0.8, 4.0, OutlierThresholds(CAP, LEAST, ENOUGH, MOST)),
        dict[int, float](),
    )
    for i in range(12):
        book.add_endpoint(i)
    ready = [False] * 12
    for _ in range(300):
        now += chance.random()
        i = chance.randrange(12)
        match chance.randrange(6):
            case 0:
                ready[i] = not ready[i]
                book.set_ready([i], ready)
            case 1:
                book.reset(i, chance.choice(FIGURES), now + chance.random())
            case 2:
                book.weight_limits[i], book.recovery_limits[i], book.due_at[i] = (
                    chance.choice(FIGURES),
                    chance.choice(FIGURES),
                    now,
                )
                book.update_indexes(i)
            case 3 if not book.weight_limits[i]:
                book.postpone(i)
            case 4 if chance.random() < 0.2:
                book.add_endpoint(i)
                assert (book.attempts[i], book.weight_limits[i], book.ejection_times[i]) == (
                    0.0,
                    1.0,
                    4.0,
                )
            case _:
                tries = chance.randrange(1, 20)
                book.record(
                    i, now, tries, chance.choice([0, tries, tries // 2]), chance.choice([0.2, 0.3])
                )
        compare_evidence(book, now)
        after = {i: book.weight_limits[i] for i in book.ready_rows}
        assert (
            book.take_changed_rows() == {i for i in range(12) if before.get(i) != after.get(i)}
            and not book.take_changed_rows()
        )
        before = after
    anew = OutlierStatistics(
        0.8, 4.0, OutlierThresholds(CAP, LEAST, ENOUGH, MOST)
    )  # as a standby reads it
    vars(anew).update(
        {key: value for key, value in vars(book).items() if key not in OutlierStatistics.DERIVED}
    )
    anew.rebuild_derived()
    assert vars(anew) == vars(book) and not anew.take_changed_rows()


@pytest.mark.parametrize("seed", range(8))
def test_evidence_stands_as_a_walk_over_all_rows_finds_it(seed: int) -> None:
    play_evidence(seed)


def play_fleet(seed: int) -> None:
    chance, fleet = Random(seed), Fleet(fmean)
    known: dict[int, tuple[float, float]] = {}
    for n in range(200):
        rows = [
            Endpoint(
                f"w{k}",
                "abc"[k % 3],
                "",
                0,
                chance.choice(["ready", "ready", "draining", "gone"]),
                chance.choice([1.0, 1.0, 0.5, 1.3, None, 0.0]) if seed % 2 else 1.0,
                chance.choice([None, float(n)]),
            )
            for k in chance.sample(range(14), chance.choice([1, 9]))
        ]
        was = {i for i, ready in enumerate(fleet.ready) if ready}
        fleet.apply_update(
            EndpointsUpdated(
                chance.choice(["changes", "changes", "changes", "whole", "kept"]), tuple(rows)
            ),
            set,
        )
        now = [i for i, ready in enumerate(fleet.ready) if ready]
        told = [w for w in (fleet.listed_weights[i] for i in now) if w] or [1.0]
        assert fleet.ready_rows == now and fleet.readiness_changes == was ^ set(now)
        assert fleet.base_weights == {i: fleet.listed_weights[i] or fmean(told) for i in now}
        assert fleet.total_weight() == sum(fleet.base_weights[i] for i in now)
        out = set(chance.sample(range(len(fleet.ids)), len(fleet.ids) // 2))
        left = {i: fleet.base_weights[i] for i in now}
        exact = sum(left[i] for i in left.keys() - out) / (sum(left.values()) or 1.0)
        assert not now or (
            fleet.available_fraction(out, 2.0),
            fleet.available_fraction(out, 0.0),
        ) == (
            exact,
            pytest.approx(exact),
        )
        anew = {i: (fleet.base_weights[i], fleet.started_at[i]) for i in now}
        assert (
            fleet.take_changed_rows()
            >= {i for i in known.keys() | anew if known.get(i) != anew.get(i)}
            and not fleet.take_changed_rows()
        )
        known = anew


@pytest.mark.parametrize("seed", range(6))
def test_weights_are_what_a_walk_over_the_list_gives(seed: int) -> None:
    play_fleet(seed)


def compare_lines(
    lines: DesiredWeights, seating: Assignments, out: set[int], chance: Random
) -> None:
    plain = dict(sorted(lines.default_weights.items()))
    other = {
        i: share for i, share in plain.items() if i % 3
    }  # not the record that is kept up: as a pin's
    for table in seating.tables.values():
        for want in (lines.default_weights, other):
            have = table.weights
            every = {i for i in have.keys() | want.keys() if have.get(i) != want.get(i)}
            assert lines.differing_rows(table, want, not table.is_subset) == (
                every & have.keys() if table.is_subset else every
            )
            assert lines.capacity(table, want) == (
                sum(want.get(i, 0.0) for i in have if i not in out) or DesiredWeights.MIN_CAPACITY
            )
    small = [
        table
        for table in seating.tables.values()
        if table.is_subset and table.use_count and table.request_rate
    ]
    assert seating.subsets_in_use() == [
        table for table in seating.tables.values() if table.is_subset and table.use_count
    ]
    named = {i for table in small for i in table.weights}
    for want in (lines.default_weights, other):
        assert [*lines.available_uncovered_rows(seating.subset_coverage, want)] == [
            i for i in sorted(want) if i not in named and i not in out
        ]
        assert lines.available_weight(want) == sum(want[i] for i in sorted(want) if i not in out)
        asks = {table: chance.random() for table in small}
        asked = {
            i: sum(more for table, more in asks.items() if i in table.weights) for i in sorted(want)
        }
        order = lines.rows_by_demand(want, asks)
        assert [asked[i] for i in order] == pytest.approx(
            sorted(asked[i] for i in asked if i not in out)
        )
    whole = [table for table in seating.tables.values() if not table.is_subset]
    if chance.random() < 0.5:
        assert [*lines.ordered_weights().items()] == [*plain.items()] and not lines.unordered
    far = lines.distances(whole * 2, [lines.default_weights] * len(whole) + [other] * len(whole))
    assert far == pytest.approx(
        [
            sum(abs(want.get(i, 0.0) - table.weights.get(i, 0.0)) for i in range(20))
            for want in (lines.default_weights, other)
            for table in whole
        ]
    )


def play_lines(seed: int) -> None:
    chance, lines, seating, ready = Random(seed), DesiredWeights(), Assignments(2), [False] * 20
    known, out = set[int](), set[int]()  # who was ready once; who is out
    lines.MIN_LOG_LENGTH = 20  # so that the log is cut, and tables fall behind it
    for p in range(4):
        seating.add_proxy(p, "a", 0.0 if p == 3 else 5.0)
    for mark in range(1, 250):
        i, tables = chance.randrange(20), [*seating.tables.values()]
        match chance.randrange(8):
            case 0 | 1:
                ready[i] = True
                known.add(i)
                lines.set_weight(i, 0.5, chance.choice([None, 0.5, 1.0, 0.325]))
                seating.set_ready([i], ready)
            case 2 if i in lines.weight_fractions:
                ready[i] = False
                lines.remove([i])
                seating.set_ready([i], ready)
            case 3:
                lines.set_ejected(out := {i for i in range(20) if chance.random() < 0.2})
            case 4 if len(tables) < 6:
                rows = chance.sample(range(20), 5)
                table = seating.add_table(
                    Table(mark, dict.fromkeys(rows, 1.0), dict.fromkeys(rows, 1.0), [])
                )
                seating.set_subsets([table][mark % 2 :])
            case 5 if tables:
                seating.set_entry(chance.choice(tables), i, chance.choice([None, 0.5, 1.0]))
            case 6 if tables:
                seating.assign(
                    chance.randrange(4),
                    chance.choice([(0,), (0, 1)]),
                    chance.choice(tables),
                    mark,
                    mark,
                )
            case 7:
                seating.acknowledge(chance.randrange(4), [*range(mark)])
        if chance.random() < 0.5:
            compare_lines(lines, seating, out, chance)
        gone = {i for i in known if not ready[i]}
        for table in tables:
            if table.use_count or not table.is_subset:
                assert table.unready_rows == table.weight_fractions.keys() & gone
                assert sorted(seating.assigned_proxies(table)) == [
                    p
                    for p, proxy in sorted(seating.proxies.items())
                    if table in proxy.assigned_tables
                ]


@pytest.mark.parametrize("seed", range(10))
def test_lines_and_tables_differ_as_a_walk_over_all_finds_it(seed: int) -> None:
    play_lines(seed)


def play_seating(seed: int) -> None:
    """Products that hold the same go on as one; lateness, levels and lacks beside a walk by proxy and product."""
    chance, seating = Random(seed), Assignments(5)
    tables = [
        seating.add_table(Table(n, {1: 1.0}, {1: 1.0}, [admission_level(1.0, 1)] * 5))
        for n in range(1, 5)
    ]
    for p in range(5):
        seating.add_proxy(p, "a")
    plain: dict[int, dict[int, list[tuple[int, int]]]] = {p: {} for p in range(5)}
    for mark in range(1, 200):
        p, table = chance.randrange(5), chance.choice(tables)
        match chance.randrange(5):
            case 0 | 1:
                products = chance.choice([(0, 1, 2, 3, 4), (1, 2), (4,)])
                seating.assign(p, products, table, mark, mark)
                for k in products:
                    plain[p].setdefault(k, []).append((table.table_id, mark))
            case 2:
                seating.acknowledge(p, passed := [m for m in range(mark) if chance.random() < 0.8])
                for k, held in plain[p].items():
                    last = max(
                        (n for n, (_, m) in enumerate(held) if not m or m in passed), default=None
                    )
                    plain[p][k] = held if last is None else [(held[last][0], 0), *held[last + 1 :]]
            case 3:
                seating.record_update(table, users := seating.assigned_proxies(table), mark, mark)
                for user in users:
                    for held in plain[user].values():
                        held[-1:] = (
                            [(table.table_id, mark)] if held[-1][0] == table.table_id else held[-1:]
                        )
            case 4:
                seating.unassign(p, (0, 1), table.table_id)
                for k in (0, 1):
                    plain[p][k] = [
                        entry for entry in plain[p].get(k, ()) if entry[0] != table.table_id
                    ]
                plain[p] = {k: held for k, held in plain[p].items() if held}
                table.admission_levels = [
                    admission_level(chance.choice([1.0, 0.5]), 1) for _ in range(5)
                ]
        for q, proxy in seating.proxies.items():
            assert {
                k: [(t.table_id, m) for t, m in held] for k, held in proxy.tables_in_use.items()
            } == plain[q]
        moves = {k: (chance.choice(tables), table) for k in range(5)}
        since = mark - chance.randrange(20)
        assert seating.lagging_classes(moves, since) == {
            k
            for k, (old, new) in moves.items()
            if any(
                proxy.updated_at > since
                and proxy.tables_in_use.get(k) != [(new, 0)]
                and (old is not new or new in proxy.assigned_tables)
                for proxy in seating.proxies.values()
            )
        }
        assert seating.lagging_classes(moves, since) == {
            k for k, move in moves.items() if seating.has_lagging_proxy(k, *move, since)
        }
        wanted = [admission_level(1.0, 1)] * 5
        assert {
            (each.traffic_class, each.table.table_id): sorted(
                proxy_id for group in each.groups for proxy_id in group
            )
            for each in seating.differing_admission(wanted)
        } == {
            (k, t.table_id): users
            for t in tables
            for k in range(5)
            if t.admission_levels[k] != wanted[k]
            and (
                users := [
                    p for p, proxy in seating.proxies.items() if proxy.assigned_tables[k] is t
                ]
            )
        }
        current = {k: tables[k % 2] for k in range(5)}
        for joiners in (True, False):
            lack = {
                p: tuple(
                    k for k in range(5) if current[k] is tables[0] is not proxy.assigned_tables[k]
                )
                for p, proxy in seating.proxies.items()
            }
            found = seating.groups_to_assign(current, tables[0], joiners)
            assert {p: other for tops, other in found.items() for p in seating.groups[tops]} == {
                p: other
                for p, other in lack.items()
                if other and joiners == (seating.proxies[p].assigned_tables[other[0]] is None)
            }


@pytest.mark.parametrize("seed", range(8))
def test_what_proxies_hold_is_what_each_product_apart_would_hold(seed: int) -> None:
    play_seating(seed)


def nothing(*_: object, **__: object) -> None:
    return None


FAULTS: dict[str, tuple[Callable[[int], None], type, str, Callable[..., object]]] = {
    "rows are not struck out": (play_evidence, OutlierStatistics, "_remove_from_indexes", nothing),
    "a start is not booked": (
        play_evidence,
        OutlierStatistics,
        "reset",
        lambda self, row, weight_limit, due_at: self.weight_limits.__setitem__(row, weight_limit),
    ),
    "news is told again": (
        play_evidence,
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
    "who is out is not followed": (play_lines, DesiredWeights, "set_ejected", nothing),
    "a table does not follow": (
        play_lines,
        DesiredWeights,
        "differing_rows",
        lambda self, table, desired, include_missing=True: table.differing_rows,
    ),
    "order is not kept": (
        play_lines,
        DesiredWeights,
        "ordered_weights",
        lambda self: self.default_weights,
    ),
    "the log is cut and not counted": (
        play_lines,
        DesiredWeights,
        "_truncate_log",
        lambda self: self.change_log.clear(),
    ),
    "what a table bears is kept": (
        play_lines,
        DesiredWeights,
        "capacity",
        lambda self, table, desired: (
            table.cached_capacity or setattr(table, "cached_capacity", 1.0) or 1.0
        ),
    ),
    "cover does not count": (play_lines, Coverage, "adjust_count", nothing),
    "cover forgets what turned": (
        play_lines,
        Coverage,
        "adjust_count",
        lambda self, row, delta: self.table_counts.__setitem__(
            row, self.table_counts.get(row, 0) + delta
        ),
    ),
    "who goes is not told to tables": (play_lines, Assignments, "set_ready", nothing),
    "a table used again is not brought up to date": (
        play_lines,
        Assignments,
        "_retain",
        lambda self, table: self.retained_tables.__setitem__(table.sequence, table),
    ),
    "nobody is late": (
        play_seating,
        Assignments,
        "lagging_classes",
        lambda self, updates, since: set(),
    ),
    "an answer settles nothing": (play_seating, Assignments, "acknowledge", nothing),
    "levels are alike": (
        play_seating,
        Assignments,
        "differing_admission",
        lambda self, admission_levels: [],
    ),
    "nobody lacks a table": (
        play_seating,
        Assignments,
        "groups_to_assign",
        lambda self, current, table, new_proxies: {},
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_guard_taken_out_is_seen(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    play, book, method, fault = FAULTS[name]
    monkeypatch.setattr(book, method, fault)
    with pytest.raises(AssertionError):
        for seed in range(4):
            play(seed)
