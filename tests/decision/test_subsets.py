"""Tests of subsets on a constrained channel.

The channel cannot send one table to all proxies within a slow start, so proxies keep their subsets,
which are updated in place.
"""

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
CONSTRAINED_CHANNEL = {
    "channel": ChannelSettings(400.0, 4.0, 6000.0, 0.2, 0.5, 30, 10.0),
    "initial_subset_size": 6,
    "safety_limits": SafetyLimits(30.0, 20.0, 10.0, 16.0, 0.2, 3.0, 2.0),
}


def constrained_model(rates: list[float] | None = None, workers: int = WORKERS) -> Model:
    """Return a model in which all proxies are connected and assigned to a subset."""
    model = Model(manager_settings(**CONSTRAINED_CHANNEL))
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(workers)))])
    model.step(
        0.1,
        [ProxyConnected(p, ZONES[p % 3], rates[p] if rates else 5.0, True) for p in range(PROXIES)],
    )
    report(model, 12.0)
    assert all(number for tables in model.applied.values() for number, _ in tables.values())
    return model


def report(model: Model, seconds: float, failing: frozenset[int] = frozenset()) -> list[Order]:
    orders: list[Order] = []
    for _ in range(round(seconds / 0.5)):
        reporting = [endpoint(n) for n in range(120) if endpoint(n).id in model.listed]
        model.step(
            0.5,
            [
                EndpointReported(
                    w.zone, w.id, 20, 20 if int(w.id[7:-3]) in failing else 0, 0.2, 0.5
                )
                for w in reporting
            ],
        )
        orders += model.orders
    return orders


def installed_weights(model: Model) -> dict[str, float]:
    """Return each endpoint's total weight in the tables that the proxies have applied."""
    found: dict[str, float] = {}
    for p in model.connected_at:
        for name, weight in model.applied[p][0][1].items():
            found[name] = found.get(name, 0.0) + weight
    return found


def table_sizes(model: Model) -> set[int]:
    return {len(entries) for p in model.connected_at for _, entries in model.applied[p].values()}


def test_no_proxy_is_sent_a_full_table_and_every_endpoint_is_in_use() -> None:
    model = constrained_model()
    orders = report(model, 20.0)
    assert not any(isinstance(order, AssignTable) for order in orders)  # each was assigned once
    assert (
        max(table_sizes(model)) <= 7
        and len(installed_weights(model)) == WORKERS
        and not model.violated_rules
    )


def test_a_release_costs_a_fraction_of_the_entries_of_full_tables() -> None:
    model = constrained_model()
    before, max_queued = set(installed_weights(model)), 0.0
    for n in range(30):
        model.step(
            0.1,
            [
                EndpointsUpdated(
                    "changes", (endpoint(n, "draining"), endpoint(60 + n, "ready", model.now))
                )
            ],
        )
        report(model, 0.5)
    for n in range(30):
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(n, "gone"),))])
    began = model.now
    while model.now < began + 30.0:
        report(model, 0.5)
        max_queued = max(max_queued, sum(entries for _, entries, _ in model.queue))
    now = set(installed_weights(model))
    assert {endpoint(n).id for n in range(60, 90)} <= now, "no proxy uses some new endpoint"
    assert not any(
        usable <= model.ejected
        for usable in (
            set(entries) for tables in model.applied.values() for _, entries in tables.values()
        )
    )
    assert before - now <= {endpoint(n).id for n in range(30)} and not model.violated_rules
    assert max_queued < PROXIES * WORKERS / 4


def test_a_subset_that_lost_endpoints_gets_new_ones() -> None:
    model = constrained_model()
    table = model.assigned[0][0]
    lost_workers = sorted(model.tables[table])[:4]
    numbers = frozenset(int(name[7:-3]) for name in lost_workers)
    report(model, 8.0, numbers)
    available = set(model.applied[0][0][1]) - model.ejected_by_proxy[0]
    assert set(lost_workers) <= model.ejected and len(available) >= 5, (
        "two endpoints were left with the load of six"
    )
    assert not model.violated_rules


def test_proxies_with_high_request_rates_are_spread() -> None:
    rng = Random(3)
    rates = [rng.expovariate(0.2) for _ in range(PROXIES)]
    model = constrained_model(rates)
    rate_by_table: dict[int, float] = {}
    for p, tables in model.assigned.items():
        rate_by_table[tables[0]] = rate_by_table.get(tables[0], 0.0) + rates[p]
    capacity_by_table = {table: sum(model.tables[table].values()) for table in rate_by_table}
    demand_ratios = sorted(
        rate_by_table[table] / capacity_by_table[table] for table in rate_by_table
    )
    assert demand_ratios[-1] < 1.4 * sum(rates) / WORKERS


def test_managers_distribute_endpoints_differently() -> None:
    subsets_by_manager = []
    for seed in (1, 2):
        model = Model(manager_settings(**CONSTRAINED_CHANNEL, seed=seed))
        model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(WORKERS)))])
        model.step(0.1, [ProxyConnected(p, "north", 5.0, True) for p in range(PROXIES)])
        subsets_by_manager.append({frozenset(table) for table in model.tables.values()})
    assert (
        len(subsets_by_manager[0] & subsets_by_manager[1]) <= 1
    )  # the full table, which is created but not sent


def test_subsets_are_rebuilt_when_most_endpoints_are_replaced_at_once() -> None:
    model = constrained_model()
    replaced = [endpoint(n, "gone") for n in range(50)] + [endpoint(n) for n in range(60, 110)]
    model.step(0.1, [EndpointsUpdated("changes", tuple(replaced))])
    report(model, 25.0)
    for tables in model.applied.values():
        usable = set(tables[0][1]) - model.ejected
        assert usable and usable <= {w.id for w in model.listed.values() if w.state == "ready"}
    assert len(set(installed_weights(model)) - model.ejected) == 60 and not model.violated_rules


def test_remaining_proxies_get_the_full_table_when_others_leave() -> None:
    model = constrained_model()
    model.step(0.1, [ProxyDisconnected(p) for p in range(20, PROXIES)])
    report(model, 20.0)
    assert table_sizes(model) == {WORKERS} and not model.violated_rules


@pytest.mark.parametrize("seed", range(4))
def test_the_safety_rules_hold_while_endpoints_and_proxies_change(seed: int) -> None:
    rng, model = Random(seed), constrained_model()
    ready = set(range(WORKERS))
    for _ in range(150):
        events: list[Event] = []
        turn = rng.random()
        if turn < 0.2:
            events = (
                [ProxyDisconnected(p) for p in rng.sample(sorted(model.connected_at), 20)]
                if len(model.connected_at) > 40
                else []
            )
        elif turn < 0.4:
            away = sorted(set(range(PROXIES)) - model.connected_at.keys())
            events = [
                ProxyConnected(p, ZONES[p % 3], 5.0, False) for p in away[: rng.randrange(1, 60)]
            ]
        elif turn < 0.6:
            n = rng.randrange(90)
            state = "ready" if n not in ready else rng.choice(["draining", "gone"])
            if state == "ready" or len(ready) > 20:
                (ready.add if state == "ready" else ready.discard)(n)
                events = [EndpointsUpdated("changes", (endpoint(n, state, model.now - 1.0),))]
        failing_workers = frozenset(rng.sample(range(90), 6))
        model.step(
            0.2,
            [
                *events,
                *(
                    EndpointReported(
                        endpoint(n).zone, endpoint(n).id, 9, 9 * (n in failing_workers), 0.2, 0.5
                    )
                    for n in rng.sample(sorted(ready), 15)
                ),
            ],
        )
    assert not model.violated_rules


def overload(model: Model, **queue: float) -> tuple[float, float]:
    """Simulate an overload of 4 s, then 6 s in which its failures are still reported.

    During the 6 s the endpoints also report the given queue length. Returns the admitted fraction
    at the end of each phase.
    """
    admitted_fractions = []
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
        admitted_fractions.append(model.module.state.admission_controller.admitted_fraction)
    return admitted_fractions[0], admitted_fractions[1]


def test_late_failure_reports_shed_nothing_once_endpoint_queues_are_empty() -> None:
    before, after = overload(constrained_model(), queue=0.0)
    assert before < 0.6 and after > 0.9


@pytest.mark.parametrize("queue", [{}, {"queue": 7.0}, {"held": 0.0}])
def test_without_queue_reports_or_with_full_queues_admission_depends_on_failures(
    queue: dict[str, float],
) -> None:
    before, after = overload(constrained_model(), **queue)
    assert after <= before


def test_empty_queues_shed_nothing() -> None:
    model = constrained_model()
    for _ in range(12):
        model.step(
            0.5,
            [
                EndpointReported(ZONES[n % 3], endpoint(n).id, 20, 0, 0.2, 0.5, {"queue": 0.0})
                for n in range(WORKERS)
            ],
        )
    assert model.module.state.admission_controller.admitted_fraction == 1.0


def test_queues_do_not_raise_admission_where_reports_are_recent() -> None:
    """Guards against oscillation: shedding empties the queues, which would raise admission."""
    model = Model(manager_settings())
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(9)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(6)])
    report(model, 5.0)
    before, after = overload(model, queue=0.0)
    assert not model.module.state.is_channel_constrained and after <= before
