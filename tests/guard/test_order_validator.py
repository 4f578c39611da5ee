"""The judge: known hard cases, and thousands of drawn orders beside a plain model that enumerates what each proxy
may do."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, nan
from random import Random

import pytest

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    ProxyConnected,
)
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import ManagerSettings, TrafficClass
from dunlinlug.guard import OrderValidator, Rejection
from tests.decision.rules_model import manager_settings

NOW = 100.0
WORKERS = [f"10.0.0.{n}:80" for n in range(8)]
COLD = WORKERS[6:]  # started a moment ago


def listed(*, ready: Iterable[str] = WORKERS, draining: Iterable[str] = ()) -> EndpointsUpdated:
    return EndpointsUpdated(
        "changes",
        tuple(
            Endpoint(w, "north", "", 0, state, 1.0, NOW - 1.0 if w in COLD else None)
            for state, named in (("ready", ready), ("draining", draining))
            for w in named
        ),
    )


def judge(
    proxies: int = 4, rate: float = 10.0, what: ManagerSettings | None = None
) -> OrderValidator:
    """A judge that has heard of 4 proxies with 10 txns a second of each product, all settled by the six warm."""
    made = OrderValidator(what or manager_settings())
    made.handle(
        NOW,
        [
            listed(),
            *(ProxyConnected(p, "north", 2 * rate, True) for p in range(proxies)),
            *(
                DemandReported(p, name, int(rate), 0, 1.0)
                for p in range(proxies)
                for name in ("read", "book")
            ),
            *(
                EndpointReported("north", w, int(2 * rate * proxies / 6), 0, 0.1, 1.0)
                for w in WORKERS[:6]
            ),
        ],
    )
    return made


def lay(tbl: int, weights: dict[str, float]) -> list[Order]:
    return [SetWeight(tbl, worker, weight) for worker, weight in weights.items()]


def bind(
    tbl: int, proxies: Iterable[int] = range(4), products: tuple[int, ...] = (0, 1)
) -> list[Order]:
    return [AssignTable(p, products, tbl) for p in proxies]


def even(weight_of_cold: float = 0.25) -> dict[str, float]:
    return {w: weight_of_cold if w in COLD else 1.0 for w in WORKERS}


def refused(judge: OrderValidator, orders: list[Order], now: float = NOW) -> list[Rejection]:
    passed, refusals = judge.validate(now, orders)
    assert [
        o for o in orders if o not in [r.order for r in refusals if not r.allowed_anyway]
    ] == passed
    return refusals


def test_an_ordinary_first_table_and_its_binds_pass() -> None:
    assert refused(judge(), [*lay(1, even()), *bind(1), RequestAcknowledgement(1, False)]) == []


def test_a_table_that_pushes_a_cold_worker_is_stopped_by_what_all_bring_together() -> None:
    """Each proxy's bind alone is harmless; the first ones pass, as joiners need a table, later ones stay behind."""
    warm = {w: 1.0 for w in WORKERS[:6]}
    it = judge()
    assert refused(it, [*lay(1, warm), *bind(1), RequestAcknowledgement(1, False)]) == []
    refusals = refused(it, [*lay(2, {COLD[0]: 1.0}), *bind(2), RequestAcknowledgement(2, False)])
    assert {r.rule for r in refusals} == {"pushed"} and 0 < len(refusals) <= 4
    assert (
        "txns a second by all proxies" in refusals[0].reason
        and "of it at most" in refusals[0].remedy
    )


def test_two_products_each_harmless_are_judged_by_their_sum() -> None:
    it = judge()
    assert (
        refused(
            it, [*lay(1, {w: 1.0 for w in WORKERS[:6]}), *bind(1), RequestAcknowledgement(1, False)]
        )
        == []
    )
    part = {**{w: 1.0 for w in WORKERS[:6]}, COLD[0]: 1.2}
    assert (
        refused(it, [*lay(2, part), *bind(2, products=(0,)), RequestAcknowledgement(2, False)])
        == []
    )
    assert {
        r.rule
        for r in refused(
            it, [*lay(3, part), *bind(3, products=(1,)), RequestAcknowledgement(3, False)]
        )
    } == {"pushed"}


def test_a_table_bad_only_together_with_the_one_before_counts_until_that_is_answered() -> None:
    """While part of the proxies hold each, the worst of both counts for each proxy."""
    warm, part = {w: 1.0 for w in WORKERS[:6]}, {**{w: 1.0 for w in WORKERS[:6]}, COLD[0]: 1.2}
    for answered in (False, True):
        it = judge()
        assert (
            refused(
                it,
                [
                    *lay(1, part),
                    *bind(1, products=(0,)),
                    *lay(9, warm),
                    *bind(9, products=(1,)),
                    RequestAcknowledgement(1, False),
                ],
            )
            == []
        )
        it.handle(NOW, [Acknowledged(p, 1, 0.1) for p in range(4)])
        assert (
            refused(it, [*lay(2, warm), *bind(2, products=(0,)), RequestAcknowledgement(2, False)])
            == []
        )
        if answered:
            it.handle(NOW, [Acknowledged(p, 2, 0.1) for p in range(4)])
        refusals = refused(
            it, [*lay(3, part), *bind(3, products=(1,)), RequestAcknowledgement(3, False)]
        )
        assert bool(refusals) != answered


@pytest.mark.parametrize("weight", [nan, inf, -1.0, 1e300])
def test_a_slip_of_the_hand_is_named(weight: float) -> None:
    refusals = refused(judge(), [SetWeight(1, WORKERS[0], weight), *lay(1, even()), *bind(1)])
    assert [(r.rule, r.order.weight if isinstance(r.order, SetWeight) else 0) for r in refusals][0][
        0
    ] == "form"
    assert len(refusals) == 1


def test_unknown_workers_products_ways_and_empty_tables_are_refused() -> None:
    it = judge()
    bad: list[Order] = [
        SetWeight(1, "10.9.9.9:80", 1.0),
        AssignTable(0, (7,), 1),
        SetAdmission(1, 5, 0, 1.0),
        SetAdmission(1, 0, 9, 1.0),
        SetAdmission(1, 0, 1, nan),
        SetEjected("10.9.9.9:80", True),
    ]
    assert len(refused(it, [*lay(1, even()), *bind(1), *bad])) == len(bad)
    assert {r.rule for r in refused(it, bind(2))} == {"bare"}, "an empty table"


def test_ways_that_could_repeat_an_effect_are_refused() -> None:
    """Product 1 is non-idempotent; a mark that holds within a zone alone is no guard either."""
    it = judge()
    assert (
        refused(it, [*lay(1, even()), SetAdmission(1, 0, 3, 1.0), SetAdmission(1, 1, 1, 1.0)]) == []
    )
    assert [r.rule for r in refused(it, [SetAdmission(1, 1, 2, 1.0)])] == ["twice"]
    wares = (
        TrafficClass("read", 0.8, 2.0, 1.0, idempotency="referenced", group="zone"),
        TrafficClass("book", 0.8, 2.0, 1.0, idempotency="referenced", group="all"),
    )
    it = judge(what=manager_settings(traffic_classes=wares))
    assert [
        r.order for r in refused(it, [SetAdmission(1, 0, 2, 1.0), SetAdmission(1, 1, 2, 1.0)])
    ] == [SetAdmission(1, 0, 2, 1.0)]


def test_a_withdrawal_that_bares_is_refused_but_a_drain_never_is() -> None:
    it = judge()
    assert (
        refused(
            it,
            [
                *lay(1, {WORKERS[0]: 1.0, WORKERS[1]: 1.0}),
                *bind(1),
                RequestAcknowledgement(1, False),
            ],
        )
        == []
    )
    assert refused(it, [SetEjected(WORKERS[0], True)]) == []
    assert [r.rule for r in refused(it, [SetEjected(WORKERS[1], True)])] == ["bare"]
    it.handle(NOW, [listed(ready=WORKERS[2:], draining=WORKERS[:2])])
    assert refused(it, [SetEjected(WORKERS[1], True)]) == []


def test_what_zones_meet_at_one_worker_adds_up() -> None:
    """Reports are by the zone of the proxies: the best of them alone would read a third of a worker's size."""
    warm = {w: 1.0 for w in WORKERS[:6]}
    for zones in ((), ("south", "east")):
        it = judge()
        it.handle(
            NOW, [EndpointReported(zone, w, 13, 0, 0.1, 1.0) for zone in zones for w in WORKERS[:6]]
        )
        assert refused(it, [*lay(1, warm), *bind(1), RequestAcknowledgement(1, False)]) == []
        part = {**warm, COLD[0]: 1.5}
        assert bool(
            refused(it, [*lay(2, part), *bind(2), RequestAcknowledgement(2, False)])
        ) != bool(zones)


def test_a_judge_that_is_not_obeyed_follows_what_was_carried_out() -> None:
    it = OrderValidator(manager_settings(), enforced=False)
    it.handle(NOW, [listed(), ProxyConnected(0, "north", 10.0, True)])
    assert [
        r.rule for r in refused(it, [AssignTable(0, (0, 1), 4), RequestAcknowledgement(1, False)])
    ] == ["bare"]
    assert it.usage.possible_tables(0, 1) == [4]
    it.handle(NOW, [Acknowledged(0, 1, 0.1)])
    assert refused(it, [*lay(5, even()), *bind(5, [0]), RequestAcknowledgement(2, False)]) == []
    it.handle(NOW, [Acknowledged(0, 2, 0.1)])
    assert refused(it, [DeleteTable(4)]) == []


def test_a_drained_worker_is_not_let_in_while_unknown_tables_may_name_it() -> None:
    it = judge()
    it.handle(NOW, [listed(ready=WORKERS[1:], draining=WORKERS[:1])])
    rest = {w: 1.0 for w in WORKERS[1:6]}
    assert (
        refused(
            it,
            [
                *lay(1, rest),
                *bind(1, range(3)),
                SetEjected(WORKERS[0], True),
                RequestAcknowledgement(1, False),
            ],
        )
        == []
    )
    assert [(r.rule, r.proxies) for r in refused(it, [SetEjected(WORKERS[0], False)])] == [
        ("drain", (3,))
    ]
    assert (
        refused(
            it, [*bind(1, [3]), RequestAcknowledgement(2, False), SetEjected(WORKERS[0], False)]
        )
        == []
    )


def test_a_worker_that_a_whole_list_names_no_more_may_be_withdrawn() -> None:
    """Kept over a restart and gone meanwhile: its withdrawal is a drain, not a slip of the hand."""
    it = judge()
    assert (
        refused(
            it, [*lay(1, {w: 1.0 for w in WORKERS[:2]}), *bind(1), RequestAcknowledgement(1, False)]
        )
        == []
    )
    it.handle(
        NOW,
        [
            EndpointsUpdated(
                "whole",
                tuple(Endpoint(w, "north", "", 0, "ready", 1.0, None) for w in WORKERS[2:]),
            )
        ],
    )
    assert refused(it, [SetEjected(WORKERS[0], True), SetEjected(WORKERS[1], True)]) == []


def test_a_bind_to_a_table_whose_workers_are_out_keeps_the_old_one_unless_that_is_bare_too() -> (
    None
):
    it = judge()
    assert (
        refused(
            it,
            [
                *lay(1, {WORKERS[0]: 1.0}),
                *bind(1),
                RequestAcknowledgement(1, False),
                *lay(2, {WORKERS[1]: 1.0}),
                SetEjected(WORKERS[1], True),
            ],
        )
        == []
    )
    refusals = refused(it, bind(2))
    assert {r.rule for r in refusals} == {"bare"} and not any(r.allowed_anyway for r in refusals)
    it.handle(NOW, [listed(ready=WORKERS[1:], draining=WORKERS[:1])])
    refusals = refused(it, [SetEjected(WORKERS[0], True), *bind(2)])
    assert len(refusals) == 4 and all(r.allowed_anyway for r in refusals), (
        "all are bad: the lesser harm passes, and is told"
    )


def test_a_joiners_first_table_passes_even_with_all_workers_cold() -> None:
    it = OrderValidator(manager_settings())
    cold = tuple(Endpoint(w, "north", "", 0, "ready", 1.0, NOW - 1.0) for w in WORKERS)
    it.handle(NOW, [EndpointsUpdated("whole", cold), ProxyConnected(0, "north", 50.0, True)])
    assert not [
        r
        for r in refused(it, [*lay(1, dict.fromkeys(WORKERS, 1.0)), *bind(1, [0])])
        if not r.allowed_anyway
    ]


def test_a_worker_cold_again_on_the_same_address_is_judged_by_its_new_start() -> None:
    it = judge()
    heavy = {WORKERS[0]: 1.0}
    assert refused(it, [*lay(1, even()), *bind(1), RequestAcknowledgement(1, False)]) == []
    it.handle(
        NOW,
        [EndpointsUpdated("changes", (Endpoint(WORKERS[0], "north", "", 0, "ready", 1.0, NOW),))],
    )
    assert {r.rule for r in refused(it, [*lay(2, heavy), *bind(2)])} == {"pushed"}
    assert refused(it, [*lay(3, heavy), *bind(3, [0])], now=NOW + 60.0) == [], "warm by then"


def test_a_line_in_use_is_judged_where_it_stands_and_clearing_waits_for_answers() -> None:
    it = judge()
    assert (
        refused(
            it, [*lay(1, {w: 1.0 for w in WORKERS[:6]}), *bind(1), RequestAcknowledgement(1, False)]
        )
        == []
    )
    assert [r.rule for r in refused(it, [SetWeight(1, COLD[0], 30.0)])] == ["pushed"]
    assert refused(it, [SetWeight(1, COLD[0], 0.25)]) == []
    assert refused(it, [*lay(2, even()), *bind(2), RequestAcknowledgement(2, False)]) == []
    assert [r.rule for r in refused(it, [DeleteTable(1)])] == ["bare"]
    it.handle(NOW, [Acknowledged(p, 2, 0.1) for p in range(4)])
    assert refused(it, [DeleteTable(1)]) == []


def test_letting_a_cold_worker_back_in_is_judged_by_the_tables_that_still_name_it() -> None:
    it = judge()
    heavy = {**{w: 1.0 for w in WORKERS[:6]}, COLD[0]: 6.0}
    assert refused(it, [SetEjected(COLD[0], True), RequestAcknowledgement(1, True)]) == []
    it.handle(NOW, [Acknowledged(p, 1, 0.1) for p in range(4)])
    assert refused(it, [*lay(1, heavy), *bind(1), RequestAcknowledgement(2, False)]) == [], (
        "out everywhere: nothing comes to it"
    )
    assert [r.rule for r in refused(it, [SetEjected(COLD[0], False)])] == ["pushed"]


# Beside a plain model.


@dataclass
class Walker:
    """One proxy: the states it may be in, oldest first; an answer for a message drops all states before it."""

    states: list[tuple[int, dict[int, int], frozenset[str]]] = field(
        default_factory=lambda: [(0, {}, frozenset())]
    )


class Plain:
    """Enumerates, for each proxy, every state that it may be in; tables are never changed in place here."""

    def __init__(self, judge: OrderValidator) -> None:
        self.judge, self.walkers = judge, {p: Walker() for p in range(4)}
        self.tables: dict[int, dict[str, float]] = {}

    def send(self, place: int, orders: list[Order]) -> None:
        for order in orders:
            if isinstance(order, SetWeight):
                self.tables.setdefault(order.table_id, {})[order.worker] = order.weight
        for p, walker in self.walkers.items():
            _, bound, out = walker.states[-1]
            for order in orders:
                match order:
                    case AssignTable(proxy, products, tbl) if proxy == p:
                        bound = {**bound, **dict.fromkeys(products, tbl)}
                    case SetEjected(worker, is_out):
                        out = out | {worker} if is_out else out - {worker}
            walker.states.append((place, bound, out))

    def answer(self, proxy: int, place: int) -> None:
        states = self.walkers[proxy].states
        self.walkers[proxy].states = [state for state in states if state[0] >= place] or states[-1:]

    def load(self, worker: str) -> float:
        whole = 0.0
        for p, walker in self.walkers.items():
            for k in range(2):
                most = 0.0
                for _, bound, out in walker.states:
                    lines = {
                        w: n
                        for w, n in self.tables.get(bound.get(k, 0), {}).items()
                        if w not in out
                    }
                    if worker in lines:
                        most = max(most, lines[worker] / sum(lines.values()))
                whole += most * self.judge.estimates.expected_demand(NOW, p, k)
        return whole

    def bare(self) -> set[tuple[int, int]]:
        """Proxies and products that may have been left with a table and no line of it."""
        return {
            (p, k)
            for p, walker in self.walkers.items()
            for _, bound, out in walker.states
            for k in bound
            if not set(self.tables.get(bound[k], {})) - out
        }


def drawn(chance: Random, tbl: int) -> list[Order]:
    """A reply: good as a module's mostly are, or careless in one of many ways."""
    careless = chance.random() < 0.3
    weights = {w: chance.choice([0.5, 1.0, 2.0]) for w in chance.sample(WORKERS[:6], 4)}
    weights |= {
        w: chance.choice([1.0, 4.0]) if careless else 0.25
        for w in chance.sample(COLD, chance.randint(0, 2))
    }
    if careless and chance.random() < 0.3:
        weights = {chance.choice(COLD): 1.0}
    orders = lay(tbl, weights if not careless or chance.random() < 0.9 else {})
    orders += bind(
        tbl, chance.sample(range(4), chance.randint(1, 4)), chance.choice([(0,), (1,), (0, 1)])
    )
    if chance.random() < 0.3:
        orders.append(
            SetEjected(chance.choice(WORKERS if careless else WORKERS[:2]), chance.random() < 0.6)
        )
    return orders


def test_no_bad_order_passes_and_hardly_a_good_one_is_refused() -> None:
    """400 streams of 10 replies; the model judges what passed, and what would have come of what was refused."""
    passed_orders = refused_orders = good_refused = 0
    for seed in range(400):
        chance, it = Random(seed), judge()
        plain = Plain(it)
        for place in range(1, 11):
            orders = [*drawn(chance, place), RequestAcknowledgement(place, True)]
            loads = {w: plain.load(w) for w in COLD}
            bare = plain.bare()
            passed, refusals = it.validate(NOW, orders)
            kept = Plain(it)
            kept.tables = {tbl: dict(lines) for tbl, lines in plain.tables.items()}
            kept.walkers = {p: Walker(list(walker.states)) for p, walker in plain.walkers.items()}
            plain.send(place, passed)
            excused = any(r.allowed_anyway for r in refusals)
            for worker in COLD:
                load = plain.load(worker)
                raised = any(
                    isinstance(o, SetEjected) and o.ejected for o in passed
                )  # drains are never held back
                assert (
                    excused
                    or raised
                    or load <= it.rate_limits[worker] * (1 + 1e-9)
                    or load <= loads[worker] * (1 + 1e-9)
                )
            shut = any(
                isinstance(o, SetEjected) and o.ejected and o.worker in COLD for o in passed
            )  # nor are cold ones
            assert excused or shut or plain.bare() <= bare, (seed, place)
            passed_orders += len(passed)
            for refusal in refusals:
                refused_orders += 1
                kept_with = Plain(it)
                kept_with.tables = {tbl: dict(lines) for tbl, lines in kept.tables.items()}
                kept_with.walkers = {
                    p: Walker(list(walker.states)) for p, walker in kept.walkers.items()
                }
                kept_with.send(place, [o for o in orders if o in passed or o == refusal.order])
                harmless = kept_with.bare() <= bare and all(
                    kept_with.load(w) <= it.rate_limits[w] or kept_with.load(w) <= loads[w]
                    for w in COLD
                )
                good_refused += harmless
            for p in range(4):
                if chance.random() < 0.6:
                    it.handle(NOW, [Acknowledged(p, place, 0.1)])
                    plain.answer(p, place)
    print(
        f"{refused_orders} of {passed_orders + refused_orders} refused, {good_refused} of them harmless"
    )
    assert refused_orders > 500, "the streams hold enough that is bad"
    assert good_refused <= 0.01 * passed_orders, (good_refused, refused_orders, passed_orders)
