"""The bookkeeping beneath the decisions, each part beside a slow, plain model on generated inputs."""

from random import Random
from statistics import fmean

import pytest

from dunlinlug import interface as face
from dunlinlug.bookkeeping.listing import Fleet
from dunlinlug.bookkeeping.outstanding import Outstanding
from dunlinlug.bookkeeping.seating import Seating, Table
from dunlinlug.manager.laid import Bound, Laying
from tests.helpers import Model, trade, worker


def table(number: int) -> Table:
    return Table(number, {1: 1.0}, {1: 1.0}, [])


def agree(seating: Seating) -> None:
    """Groups, uses and orders as one would count them anew, proxy by proxy."""
    for p, proxy in seating.proxies.items():
        tops = tuple(proxy.holds[k][-1][0] if k in proxy.holds else None for k in range(2))
        assert proxy.tops == tops and p in seating.groups[tops]
    assert sum(map(len, seating.groups.values())) == len(seating.proxies) and all(
        seating.groups.values()
    )
    for tbl in seating.tables.values():
        entries = [
            t
            for proxy in seating.proxies.values()
            for held in proxy.holds.values()
            for t, _ in held
        ]
        assert tbl.users == entries.count(tbl) and (tbl in seating.in_use()) == (tbl.users > 0)
        assert sorted(seating.bound(tbl)) == sorted(
            p for p, x in seating.proxies.items() if tbl in x.tops
        )


@pytest.mark.parametrize("seed", range(6))
def test_groups_and_uses_are_what_counting_anew_gives(seed: int) -> None:
    chance, seating = Random(seed), Seating(2)
    for n in range(5):
        seating.lay(table(n))
    marks: dict[int, list[int]] = {}
    for mark in range(1, 400):
        p = chance.randrange(12)
        if p not in seating.proxies or chance.random() < 0.1:
            seating.leave(p)
            seating.join(p, "a")
            marks[p] = []
        elif chance.random() < 0.5:
            seating.bind(
                p,
                chance.choice([(0,), (1,), (0, 1)]),
                seating.tables[chance.randrange(5)],
                mark,
                mark,
            )
            marks[p].append(mark)
        elif chance.random() < 0.5 and marks[p]:
            passed, marks[p] = marks[p][:2], marks[p][2:]
            before = {k: list(held) for k, held in seating.proxies[p].holds.items()}
            seating.answered(p, passed)
            for k, held in before.items():
                last = max(
                    (n for n, (_, m) in enumerate(held) if not m or m in passed), default=None
                )
                plain = held if last is None else [(held[last][0], 0), *held[last + 1 :]]
                assert seating.proxies[p].holds[k] == plain
        elif chance.random() < 0.3:
            tbl = seating.tables[chance.randrange(5)]
            seating.amended(tbl, seating.bound(tbl), mark, mark)
            for q in seating.bound(tbl):
                marks[q].append(mark)
        else:
            seating.leave(p)
        agree(seating)
        order = [p for p in seating.proxies if seating.proxies[p].tops[0] is not None]
        groups = [members for tops, members in seating.groups.items() if tops[0] is not None]
        assert seating.in_order(groups) == order  # the dict keeps the order of joining
        since, tbl = mark - 5, seating.tables[0]
        assert seating.lagging(0, seating.tables[1], tbl, since) == any(
            x.bound_at > since and x.holds.get(0) != [(tbl, 0)] for x in seating.proxies.values()
        )


def test_a_table_is_cleared_at_its_time_and_only_once_nobody_uses_it() -> None:
    seating = Seating(1)
    used, unused, standing = (seating.lay(table(n)) for n in (1, 2, 3))
    seating.join(7, "a")
    seating.bind(7, (0,), used, 1, 0.0)
    seating.retire((used, unused), 5.0)
    assert seating.ending() and not seating.cleared(4.9)
    assert seating.cleared(5.0) == [2] and not seating.ending() and used.clear_at > 1e9, (
        "used: it stays"
    )
    seating.end(used, 6.0)
    assert not seating.cleared(6.0)
    seating.leave(7)
    assert seating.cleared(6.0) == [1] and list(seating.tables.values()) == [standing]
    seating.end(used, 7.0)
    assert not seating.ending() and not seating.cleared(8.0), "one cleared stays so"


@pytest.mark.parametrize("seed", range(6))
def test_what_may_wait_is_what_a_walk_through_all_messages_gives(seed: int) -> None:
    """Beside it a channel that keeps the order, and loses what waits for a proxy that leaves."""
    chance, ours = Random(seed), Outstanding(4)
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
            ours.book(mark, mark, lines)
            for p, n in lines.items():
                plain.append((mark, p, n))
                channel.append((mark, p, n))
                owed[p].append(mark)
        elif turn < 0.5:
            p = chance.randrange(8)
            ours.forget(p)
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
                assert ours.answered(p, gone[-1]) == gone
                owed[p] = owed[p][len(gone) :]
                plain = [
                    entry for entry in plain if entry[0] >= gone[-1] and entry[:2] != (gone[-1], p)
                ]
        assert ours.waits == sum(n for _, _, n in plain) >= sum(n for _, _, n in channel)
        assert {m for marks in owed.values() for m in marks} == ours.sent.keys()
        assert len(ours.queue) <= 400


def test_who_leaves_takes_no_line_of_others_out_of_the_channel() -> None:
    ours = Outstanding(4)
    ours.book(1, 0.0, {1: 50.0, 2: 50.0})
    ours.book(2, 0.0, {3: 10.0})
    ours.forget(3)
    assert ours.waits == 100.0
    assert ours.answered(1, 1) == [1] and ours.waits == 50.0


class Plain(Laying[Bound]):
    """Counts what each proxy would be told, order by order."""

    def count(self, orders: list[face.Order]) -> dict[int, float]:
        told: dict[int, float] = {}
        tables = {tbl: dict(laid.lines) for tbl, laid in self.tables.items()}
        levels = {tbl: dict(laid.levels) for tbl, laid in self.tables.items()}
        bound, out = {p: dict(seat.bound) for p, seat in self.seats.items()}, set(self.out)

        def tell(p: int, lines: float) -> None:
            told[p] = told.get(p, 0.0) + lines

        for order in orders:
            match order:
                case face.Share(tbl, who, weight):
                    tables.setdefault(tbl, {})[who] = weight
                    levels.setdefault(tbl, {})
                    if not weight:
                        del tables[tbl][who]
                case face.Admit(tbl, k, retry, share):
                    tables.setdefault(tbl, {})
                    levels.setdefault(tbl, {})[k] = (retry, share)
                case face.Withdraw(who, shut):
                    (out.add if shut else out.discard)(who)
                    for p, uses in bound.items():
                        if len(uses) < self.kinds or any(
                            who in tables[tbl] for tbl in uses.values()
                        ):
                            tell(p, 1.0)
                    continue
                case face.Bind(p, products, tbl):
                    bound[p].update(dict.fromkeys(products, tbl))
                    tell(
                        p, 1.0 + len(tables[tbl]) + len(levels[tbl]) + len(out & tables[tbl].keys())
                    )
                    continue
            for p, uses in bound.items():
                if order.tbl in uses.values():  # type: ignore[union-attr]
                    tell(p, 1.0)
        return told


@pytest.mark.parametrize("seed", range(10))
def test_lines_told_together_are_those_told_one_by_one(seed: int) -> None:
    chance, laying = Random(seed), Plain(2)
    laying.carry_out([face.Share(tbl, f"w{n}", 1.0) for tbl in range(3) for n in range(tbl, 8, 2)])
    for turn in range(60):
        if chance.random() < 0.3 or not laying.seats:
            laying.leave(turn % 9)
            laying.seats[turn % 9] = Bound()
        shut = {f"w{n}" for n in range(8)} & laying.out
        orders: list[face.Order] = []
        for _ in range(chance.randrange(8)):
            tbl, who = chance.randrange(3), f"w{chance.randrange(8)}"
            kind = chance.randrange(4)
            if kind == 0:
                orders.append(face.Share(tbl, who, chance.choice([0.0, 0.5, 1.0])))
            elif kind == 1:
                orders.append(face.Admit(tbl, chance.randrange(2), 1, chance.random()))
            elif kind == 2:
                orders.append(
                    face.Bind(chance.choice([*laying.seats]), chance.choice([(0,), (0, 1)]), tbl)
                )
            elif who not in {o.worker for o in orders if isinstance(o, face.Withdraw)}:
                shut ^= {who}
                orders.append(face.Withdraw(who, who in shut))
        plain = laying.count(orders)
        laying.carry_out(orders)
        assert laying.touched == plain


def test_rows_of_workers_that_went_are_used_again() -> None:
    """A day of replacements, a worker at a time: rows stay level, nobody loses a row that is in use."""
    fleet, chance = Fleet(fmean), Random(3)
    present = [worker(n) for n in range(20)]
    fleet.fold(face.Listed("whole", tuple(present)), set)
    for n in range(20, 2000):
        gone = present.pop(chance.randrange(20))
        present.append(worker(n))
        held = {fleet.index[gone.id]}.copy  # still in a table
        fleet.fold(
            face.Listed("changes", (face.Worker(gone.id, gone.zone, "", 0, "gone", 1.0, None),)),
            held,
        )
        fleet.fold(face.Listed("changes", (present[-1],)), held)
        assert fleet.index[gone.id] in held()
        assert all(
            fleet.ids[fleet.index[w.id]] == w.id and fleet.ready[fleet.index[w.id]] for w in present
        )
    assert len(fleet.ids) <= 2 * 20 + 2 and len(fleet.index) == len(fleet.ids)


def test_a_new_worker_in_a_former_ones_row_has_no_history() -> None:
    model = Model(trade())
    model.step(0.1, [face.Listed("kept", tuple(worker(n) for n in range(4)))])
    model.step(0.1, [face.Joined(1, "north", 5.0, True)])
    health = model.module.health
    for n in range(4, 40):
        row = model.module.fleet.index[worker(n - 4).id]
        health.cap[row], health.full[row], health.rest[row], health.tries[row] = (
            0.0,
            0.75,
            16.0,
            9.0,
        )
        health.book(row)
        model.step(0.1, [face.Listed("changes", (worker(n - 4, "gone"), worker(n)))])
        row = model.module.fleet.index[worker(n).id]
        assert (health.cap[row], health.full[row], health.rest[row], health.tries[row]) == (
            1.0,
            1.0,
            4.0,
            0.0,
        )
        assert not {row} & (health.idle | health.reduced | health.suspects | health.trials)
        for _ in range(30):
            model.step(0.1, [])
    columns = (
        health.tries,
        health.voided,
        health.took,
        health.heard_at,
        health.rest,
        health.due,
        health.cap,
        health.full,
    )
    assert {len(column) for column in columns} == {len(model.module.fleet.ids)}
    assert len(model.module.fleet.ids) <= 16 and not model.broken
