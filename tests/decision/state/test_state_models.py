"""The bookkeeping beneath the decisions, each part beside a slow, plain model on generated inputs."""

from random import Random
from statistics import fmean

import pytest

from dunlinlug.decision.events import Endpoint, EndpointsUpdated, ProxyConnected
from dunlinlug.decision.orders import AssignTable, Order, SetAdmission, SetEjected, SetWeight
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.pending_acks import PendingAcks
from dunlinlug.decision.state.tables import Table
from dunlinlug.manager.installed_tables import ProxyAssignment, TableInstaller
from tests.decision.rules_model import Model, endpoint, manager_settings


def table(number: int) -> Table:
    return Table(number, {1: 1.0}, {1: 1.0}, [])


def agree(seating: Assignments) -> None:
    """Groups, uses and orders as one would count them anew, proxy by proxy."""
    for p, proxy in seating.proxies.items():
        tops = tuple(
            proxy.tables_in_use[k][-1][0] if k in proxy.tables_in_use else None for k in range(2)
        )
        assert proxy.assigned_tables == tops and p in seating.groups[tops]
    assert sum(map(len, seating.groups.values())) == len(seating.proxies) and all(
        seating.groups.values()
    )
    for tbl in seating.tables.values():
        entries = [
            t
            for proxy in seating.proxies.values()
            for held in proxy.tables_in_use.values()
            for t, _ in held
        ]
        assert tbl.use_count == entries.count(tbl) and (tbl in seating.list_tables_in_use()) == (
            tbl.use_count > 0
        )
        assert sorted(seating.assigned_proxies(tbl)) == sorted(
            p for p, x in seating.proxies.items() if tbl in x.assigned_tables
        )


@pytest.mark.parametrize("seed", range(6))
def test_groups_and_uses_are_what_counting_anew_gives(seed: int) -> None:
    chance, seating = Random(seed), Assignments(2)
    for n in range(5):
        seating.add_table(table(n))
    marks: dict[int, list[int]] = {}
    for mark in range(1, 400):
        p = chance.randrange(12)
        if p not in seating.proxies or chance.random() < 0.1:
            seating.remove_proxy(p)
            seating.add_proxy(p, "a")
            marks[p] = []
        elif chance.random() < 0.5:
            seating.assign(
                p,
                chance.choice([(0,), (1,), (0, 1)]),
                seating.tables[chance.randrange(5)],
                mark,
                mark,
            )
            marks[p].append(mark)
        elif chance.random() < 0.5 and marks[p]:
            passed, marks[p] = marks[p][:2], marks[p][2:]
            before = {k: list(held) for k, held in seating.proxies[p].tables_in_use.items()}
            seating.acknowledge(p, passed)
            for k, held in before.items():
                last = max(
                    (n for n, (_, m) in enumerate(held) if not m or m in passed), default=None
                )
                plain = held if last is None else [(held[last][0], 0), *held[last + 1 :]]
                assert seating.proxies[p].tables_in_use[k] == plain
        elif chance.random() < 0.3:
            tbl = seating.tables[chance.randrange(5)]
            seating.record_update(tbl, seating.assigned_proxies(tbl), mark, mark)
            for q in seating.assigned_proxies(tbl):
                marks[q].append(mark)
        else:
            seating.remove_proxy(p)
        agree(seating)
        order = [p for p in seating.proxies if seating.proxies[p].assigned_tables[0] is not None]
        groups = [members for tops, members in seating.groups.items() if tops[0] is not None]
        assert seating.by_join_order(groups) == order  # the dict keeps the order of joining
        since, tbl = mark - 5, seating.tables[0]
        assert seating.has_lagging_proxy(0, seating.tables[1], tbl, since) == any(
            x.updated_at > since and x.tables_in_use.get(0) != [(tbl, 0)]
            for x in seating.proxies.values()
        )


def test_a_table_is_cleared_at_its_time_and_only_once_nobody_uses_it() -> None:
    seating = Assignments(1)
    used, unused, standing = (seating.add_table(table(n)) for n in (1, 2, 3))
    seating.add_proxy(7, "a")
    seating.assign(7, (0,), used, 1, 0.0)
    seating.retire_unused((used, unused), 5.0)
    assert seating.has_retiring_tables() and not seating.take_deletable(4.9)
    assert (
        seating.take_deletable(5.0) == [2]
        and not seating.has_retiring_tables()
        and used.delete_at > 1e9
    ), "used: it stays"
    seating.schedule_deletion(used, 6.0)
    assert not seating.take_deletable(6.0)
    seating.remove_proxy(7)
    assert seating.take_deletable(6.0) == [1] and list(seating.tables.values()) == [standing]
    seating.schedule_deletion(used, 7.0)
    assert not seating.has_retiring_tables() and not seating.take_deletable(8.0), (
        "one cleared stays so"
    )


@pytest.mark.parametrize("seed", range(6))
def test_what_may_wait_is_what_a_walk_through_all_messages_gives(seed: int) -> None:
    """Beside it a channel that keeps the order, and loses what waits for a proxy that leaves."""
    chance, ours = Random(seed), PendingAcks(4)
    plain: list[tuple[int, int, float]] = []  # messages not known to have left: mark, proxy, lines
    channel: list[tuple[int, int, float]] = []
    owed: dict[int, list[int]] = {p: [] for p in range(8)}
    for mark in range(1, 400):
        turn = chance.random()
        if turn < 0.4:
            lines = {
                p: float(chance.randrange(1, 9))
                for p in chance.sample(range(8), chance.randrange(1, 6))
            }
            ours.record(mark, mark, lines)
            for p, n in lines.items():
                plain.append((mark, p, n))
                channel.append((mark, p, n))
                owed[p].append(mark)
        elif turn < 0.5:
            p = chance.randrange(8)
            ours.forget_proxy(p)
            owed[p] = []
            plain, channel = (
                [entry for entry in kept if entry[1] != p] for kept in (plain, channel)
            )
        elif turn < 0.8:
            del channel[: chance.randrange(6)]
        else:
            p = chance.randrange(8)
            gone = [m for m in owed[p] if (m, p) not in {entry[:2] for entry in channel}]
            if gone:
                assert ours.acknowledge(p, gone[-1]) == gone
                owed[p] = owed[p][len(gone) :]
                plain = [
                    entry for entry in plain if entry[0] >= gone[-1] and entry[:2] != (gone[-1], p)
                ]
        assert ours.queued_entries == sum(n for _, _, n in plain) >= sum(n for _, _, n in channel)
        assert {m for marks in owed.values() for m in marks} == ours.pending_replies.keys()
        assert len(ours.queued_acks) <= 400


def test_who_leaves_takes_no_line_of_others_out_of_the_channel() -> None:
    ours = PendingAcks(4)
    ours.record(1, 0.0, {1: 50.0, 2: 50.0})
    ours.record(2, 0.0, {3: 10.0})
    ours.forget_proxy(3)
    assert ours.queued_entries == 100.0
    assert ours.acknowledge(1, 1) == [1] and ours.queued_entries == 50.0


class Plain(TableInstaller[ProxyAssignment]):
    """Counts what each proxy would be told, order by order."""

    def count(self, orders: list[Order]) -> dict[int, float]:
        told: dict[int, float] = {}
        tables = {tbl: dict(laid.weights) for tbl, laid in self.tables.items()}
        levels = {tbl: dict(laid.admissions) for tbl, laid in self.tables.items()}
        bound, out = (
            {p: dict(seat.table_by_class) for p, seat in self.proxies.items()},
            set(self.ejected),
        )

        def tell(p: int, lines: float) -> None:
            told[p] = told.get(p, 0.0) + lines

        for order in orders:
            match order:
                case SetWeight(tbl, who, weight):
                    tables.setdefault(tbl, {})[who] = weight
                    levels.setdefault(tbl, {})
                    if not weight:
                        del tables[tbl][who]
                case SetAdmission(tbl, k, retry, share):
                    tables.setdefault(tbl, {})
                    levels.setdefault(tbl, {})[k] = (retry, share)
                case SetEjected(who, shut):
                    (out.add if shut else out.discard)(who)
                    for p, uses in bound.items():
                        if len(uses) < self.traffic_class_count or any(
                            who in tables[tbl] for tbl in uses.values()
                        ):
                            tell(p, 1.0)
                    continue
                case AssignTable(p, products, tbl):
                    bound[p].update(dict.fromkeys(products, tbl))
                    tell(
                        p, 1.0 + len(tables[tbl]) + len(levels[tbl]) + len(out & tables[tbl].keys())
                    )
                    continue
            for p, uses in bound.items():
                if order.table_id in uses.values():  # type: ignore[union-attr]
                    tell(p, 1.0)
        return told


@pytest.mark.parametrize("seed", range(10))
def test_lines_told_together_are_those_told_one_by_one(seed: int) -> None:
    chance, laying = Random(seed), Plain(2)
    laying.install_orders(
        [SetWeight(tbl, f"w{n}", 1.0) for tbl in range(3) for n in range(tbl, 8, 2)]
    )
    for turn in range(60):
        if chance.random() < 0.3 or not laying.proxies:
            laying.remove_proxy(turn % 9)
            laying.proxies[turn % 9] = ProxyAssignment()
        shut = {f"w{n}" for n in range(8)} & laying.ejected
        orders: list[Order] = []
        for _ in range(chance.randrange(8)):
            tbl, who = chance.randrange(3), f"w{chance.randrange(8)}"
            kind = chance.randrange(4)
            if kind == 0:
                orders.append(SetWeight(tbl, who, chance.choice([0.0, 0.5, 1.0])))
            elif kind == 1:
                orders.append(SetAdmission(tbl, chance.randrange(2), 1, chance.random()))
            elif kind == 2:
                orders.append(
                    AssignTable(
                        chance.choice([*laying.proxies]), chance.choice([(0,), (0, 1)]), tbl
                    )
                )
            elif who not in {o.worker for o in orders if isinstance(o, SetEjected)}:
                shut ^= {who}
                orders.append(SetEjected(who, who in shut))
        plain = laying.count(orders)
        laying.install_orders(orders)
        assert laying.entries_by_proxy == plain


def test_rows_of_workers_that_went_are_used_again() -> None:
    """A day of replacements, a worker at a time: rows stay level, nobody loses a row that is in use."""
    fleet, chance = Fleet(fmean), Random(3)
    present = [endpoint(n) for n in range(20)]
    fleet.apply_update(EndpointsUpdated("whole", tuple(present)), set)
    for n in range(20, 2000):
        gone = present.pop(chance.randrange(20))
        present.append(endpoint(n))
        held = {fleet.row_by_id[gone.id]}.copy  # still in a table
        fleet.apply_update(
            EndpointsUpdated("changes", (Endpoint(gone.id, gone.zone, "", 0, "gone", 1.0, None),)),
            held,
        )
        fleet.apply_update(EndpointsUpdated("changes", (present[-1],)), held)
        assert fleet.row_by_id[gone.id] in held()
        assert all(
            fleet.ids[fleet.row_by_id[w.id]] == w.id and fleet.ready[fleet.row_by_id[w.id]]
            for w in present
        )
    assert len(fleet.ids) <= 2 * 20 + 2 and len(fleet.row_by_id) == len(fleet.ids)


def test_a_new_worker_in_a_former_ones_row_has_no_history() -> None:
    model = Model(manager_settings())
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(4)))])
    model.step(0.1, [ProxyConnected(1, "north", 5.0, True)])
    health = model.module.state.outlier_detector
    for n in range(4, 40):
        row = model.module.state.fleet.row_by_id[endpoint(n - 4).id]
        (
            health.weight_limits[row],
            health.recovery_limits[row],
            health.ejection_times[row],
            health.attempts[row],
        ) = (
            0.0,
            0.75,
            16.0,
            9.0,
        )
        health.update_indexes(row)
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(n - 4, "gone"), endpoint(n)))])
        row = model.module.state.fleet.row_by_id[endpoint(n).id]
        assert (
            health.weight_limits[row],
            health.recovery_limits[row],
            health.ejection_times[row],
            health.attempts[row],
        ) == (
            1.0,
            1.0,
            4.0,
            0.0,
        )
        assert not {row} & (
            health.ejected_rows | health.limited_rows | health.suspect_rows | health.probation_rows
        )
        for _ in range(30):
            model.step(0.1, [])
    columns = (
        health.attempts,
        health.failed,
        health.latency_sums,
        health.reported_at,
        health.ejection_times,
        health.due_at,
        health.weight_limits,
        health.recovery_limits,
    )
    assert {len(column) for column in columns} == {len(model.module.state.fleet.ids)}
    assert len(model.module.state.fleet.ids) <= 16 and not model.broken
