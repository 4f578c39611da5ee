"""Where the channel can't carry one table to all within a ramp: small tables that stay, and are kept up."""

from random import Random

import pytest

from dunlinlug.decision.events import (
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import AssignTable, Order
from dunlinlug.decision.settings import ChannelSettings, SafetyLimits
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings

WORKERS, PROXIES = 60, 200
SCANT = {
    "channel": ChannelSettings(400.0, 4.0, 6000.0, 0.2, 0.5, 30, 10.0),
    "initial_subset_size": 6,
    "safety_limits": SafetyLimits(30.0, 20.0, 10.0, 16.0, 0.2, 3.0, 2.0),
}


def scant(rates: list[float] | None = None, workers: int = WORKERS) -> Model:
    """All have joined and hold a small table."""
    model = Model(manager_settings(**SCANT))
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(workers)))])
    model.step(
        0.1,
        [ProxyConnected(p, ZONES[p % 3], rates[p] if rates else 5.0, True) for p in range(PROXIES)],
    )
    meet(model, 12.0)
    assert all(number for tables in model.holds.values() for number, _ in tables.values())
    return model


def meet(model: Model, seconds: float, voiding: frozenset[int] = frozenset()) -> list[Order]:
    orders: list[Order] = []
    for _ in range(round(seconds / 0.5)):
        heard = [endpoint(n) for n in range(120) if endpoint(n).id in model.listed]
        model.step(
            0.5,
            [
                EndpointReported(
                    w.zone, w.id, 20, 20 if int(w.id[7:-3]) in voiding else 0, 0.2, 0.5
                )
                for w in heard
            ],
        )
        orders += model.orders
    return orders


def used(model: Model) -> dict[str, float]:
    """By worker, the weight that it has in tables that proxies hold."""
    found: dict[str, float] = {}
    for p in model.joined:
        for name, weight in model.holds[p][0][1].items():
            found[name] = found.get(name, 0.0) + weight
    return found


def sizes(model: Model) -> set[int]:
    return {len(lines) for p in model.joined for _, lines in model.holds[p].values()}


def test_nobody_is_sent_the_whole_table_and_every_worker_is_in_use() -> None:
    model = scant()
    orders = meet(model, 20.0)
    assert not any(isinstance(order, AssignTable) for order in orders)  # each was bound once
    assert max(sizes(model)) <= 7 and len(used(model)) == WORKERS and not model.broken


def test_a_release_passes_through_the_small_tables_at_a_fraction_of_the_whole_ones_lines() -> None:
    model = scant()
    before, most = set(used(model)), 0.0
    for n in range(30):
        model.step(
            0.1,
            [
                EndpointsUpdated(
                    "changes", (endpoint(n, "draining"), endpoint(60 + n, "ready", model.now))
                )
            ],
        )
        meet(model, 0.5)
    for n in range(30):
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(n, "gone"),))])
    began = model.now
    while model.now < began + 30.0:
        meet(model, 0.5)
        most = max(most, sum(lines for _, lines, _ in model.queue))
    now = set(used(model))
    assert {endpoint(n).id for n in range(60, 90)} <= now, "a new worker is used by nobody"
    assert not any(
        usable <= model.withdrawn
        for usable in (set(held) for tables in model.holds.values() for _, held in tables.values())
    )
    assert before - now <= {endpoint(n).id for n in range(30)} and not model.broken
    assert most < PROXIES * WORKERS / 4


def test_a_table_that_has_lost_most_of_its_workers_is_filled_up() -> None:
    model = scant()
    table = model.bound[0][0]
    lost = sorted(model.tables[table])[:4]
    numbers = frozenset(int(name[7:-3]) for name in lost)
    meet(model, 8.0, numbers)
    left = set(model.holds[0][0][1]) - model.shut[0]
    assert set(lost) <= model.withdrawn and len(left) >= 5, "two were left with the work of six"
    assert not model.broken


def test_heavy_proxies_are_spread() -> None:
    chance = Random(3)
    rates = [chance.expovariate(0.2) for _ in range(PROXIES)]
    model = scant(rates)
    asked: dict[int, float] = {}
    for p, tables in model.bound.items():
        asked[tables[0]] = asked.get(tables[0], 0.0) + rates[p]
    bears = {table: sum(model.tables[table].values()) for table in asked}
    asks = sorted(asked[table] / bears[table] for table in asked)
    assert asks[-1] < 1.4 * sum(rates) / WORKERS


def test_managers_deal_apart() -> None:
    dealt = []
    for seed in (1, 2):
        model = Model(manager_settings(**SCANT, seed=seed))
        model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(WORKERS)))])
        model.step(0.1, [ProxyConnected(p, "north", 5.0, True) for p in range(PROXIES)])
        dealt.append({frozenset(table) for table in model.tables.values()})
    assert len(dealt[0] & dealt[1]) <= 1  # the whole one, which is laid and not sent


def test_a_fleet_replaced_at_once_is_dealt_anew() -> None:
    model = scant()
    news = [endpoint(n, "gone") for n in range(50)] + [endpoint(n) for n in range(60, 110)]
    model.step(0.1, [EndpointsUpdated("changes", tuple(news))])
    meet(model, 25.0)
    for tables in model.holds.values():
        usable = set(tables[0][1]) - model.withdrawn
        assert usable and usable <= {w.id for w in model.listed.values() if w.state == "ready"}
    assert len(set(used(model)) - model.withdrawn) == 60 and not model.broken


def test_who_stays_when_others_leave_gets_the_whole_table() -> None:
    model = scant()
    model.step(0.1, [ProxyDisconnected(p) for p in range(20, PROXIES)])
    meet(model, 20.0)
    assert sizes(model) == {WORKERS} and not model.broken


@pytest.mark.parametrize("seed", range(4))
def test_rules_are_kept_while_all_comes_and_goes(seed: int) -> None:
    chance, model = Random(seed), scant()
    ready = set(range(WORKERS))
    for _ in range(150):
        events: list[Event] = []
        turn = chance.random()
        if turn < 0.2:
            events = (
                [ProxyDisconnected(p) for p in chance.sample(sorted(model.joined), 20)]
                if len(model.joined) > 40
                else []
            )
        elif turn < 0.4:
            away = sorted(set(range(PROXIES)) - model.joined.keys())
            events = [
                ProxyConnected(p, ZONES[p % 3], 5.0, False) for p in away[: chance.randrange(1, 60)]
            ]
        elif turn < 0.6:
            n = chance.randrange(90)
            state = "ready" if n not in ready else chance.choice(["draining", "gone"])
            if state == "ready" or len(ready) > 20:
                (ready.add if state == "ready" else ready.discard)(n)
                events = [EndpointsUpdated("changes", (endpoint(n, state, model.now - 1.0),))]
        bad = frozenset(chance.sample(range(90), 6))
        model.step(
            0.2,
            [
                *events,
                *(
                    EndpointReported(endpoint(n).zone, endpoint(n).id, 9, 9 * (n in bad), 0.2, 0.5)
                    for n in chance.sample(sorted(ready), 15)
                ),
            ],
        )
    assert not model.broken


def jam(model: Model, **queue: float) -> tuple[float, float]:
    """A jam of 4 s, then 6 s in which late voids are still reported, with the queue that workers tell of beside them;
    gives the share let in at the end of each."""
    shares = []
    for seconds, load in ((4.0, {}), (6.0, queue)):
        for _ in range(round(2 * seconds)):
            model.step(
                0.5,
                [
                    *(
                        EndpointReported(ZONES[n % 3], endpoint(n).id, 20, 8, 1.2, 0.5, load)
                        for n in range(WORKERS)
                    ),
                    *(DemandReported(1, name, 10 * WORKERS, 0, 0.5) for name in ("read", "book")),
                ],
            )
        shares.append(model.module.state.admission_controller.admitted_fraction)
    return shares[0], shares[1]


def test_voids_told_late_keep_nobody_out_once_nothing_waits_at_the_workers() -> None:
    before, after = jam(scant(), queue=0.0)
    assert before < 0.6 and after > 0.9


@pytest.mark.parametrize("queue", [{}, {"queue": 7.0}, {"held": 0.0}])
def test_without_word_of_queues_or_with_full_ones_the_gate_goes_by_voids(
    queue: dict[str, float],
) -> None:
    before, after = jam(scant(), **queue)
    assert after <= before


def test_empty_queues_shut_nobody_out() -> None:
    model = scant()
    for _ in range(12):
        model.step(
            0.5,
            [
                EndpointReported(ZONES[n % 3], endpoint(n).id, 20, 0, 0.2, 0.5, {"queue": 0.0})
                for n in range(WORKERS)
            ],
        )
    assert model.module.state.admission_controller.admitted_fraction == 1.0


def test_in_fleets_whose_reports_are_young_queues_open_nothing() -> None:
    """Danger: what is refused empties the queues, and the gate would swing open and shut."""
    model = Model(manager_settings())
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(9)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(6)])
    meet(model, 5.0)
    before, after = jam(model, queue=0.0)
    assert not model.module.state.is_channel_constrained and after <= before
