"""One small test for each failure found on the bench or in an incident."""

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    HealthCheckCompleted,
    PartitionLimitsChanged,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import AssignTable, Order, SetAdmission, WatchEndpoints
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings

FLEET = tuple(endpoint(n) for n in range(9))


def fleet(model: Model, met: dict[int, tuple[int, int, float]], seconds: float) -> list[Order]:
    """Let proxies report each half second: by worker tries, voided ones, and the others' pace."""
    orders: list[Order] = []
    for _ in range(round(seconds / 0.5)):
        reports = [
            EndpointReported(ZONES[n % 3], endpoint(n).id, *seen, 0.5) for n, seen in met.items()
        ]
        model.step(
            0.5, [*reports, *(DemandReported(1, name, 100, 0, 0.5) for name in ("read", "book"))]
        )
        orders += model.orders
    return orders


def joined(workers: int = 9, proxies: int = 6, **changes: object) -> Model:
    model = Model(manager_settings(**changes))
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(workers)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(proxies)])
    return model


def started(seconds: float = 5.0, pace: float = 0.2, voided: int = 0, **changes: object) -> Model:
    model = joined(**changes)
    fleet(model, {n: (20, voided, pace) for n in range(9)}, seconds)
    return model


def levels(orders: list[Order], product: int) -> list[float]:
    return [
        order.admitted_fraction
        for order in orders
        if isinstance(order, SetAdmission) and order.traffic_class == product
    ]


def test_overload_condemns_nobody() -> None:
    model = started()
    fleet(model, {n: (20, 12 + n % 3, 1.5) for n in range(9)}, 6.0)
    assert not model.withdrawn


def test_a_silent_worker_is_withdrawn_and_comes_back_by_trial() -> None:
    model = started()
    fleet(model, {n: (20, 20 if n == 4 else 0, 0.2) for n in range(9)}, 2.0)
    assert model.withdrawn == {endpoint(4).id}
    fleet(model, {n: (20, 0, 0.2) for n in range(9) if n != 4}, 6.0)
    held = [model.tables[number] for tables in model.bound.values() for number in tables.values()]
    assert not model.withdrawn and {table[endpoint(4).id] for table in held} == {0.25}


def test_health_never_takes_the_whole_fleet() -> None:
    model = started()
    fleet(model, {n: (20, 20 if n < 6 else 0, 0.2) for n in range(9)}, 5.0)
    assert 0 < len(model.withdrawn) <= 7


def test_an_overfull_worker_keeps_half_its_share_and_goes_back_to_three_quarters() -> None:
    model = started()
    fleet(model, {n: (20, 12 if n == 4 else 0, 1.0 if n == 4 else 0.2) for n in range(9)}, 5.0)
    assert not model.withdrawn and model.module.state.outlier_detector.weight_limits[4] == 0.5
    fleet(model, {n: (20, 0, 0.2) for n in range(9)}, 8.0)
    assert model.module.state.outlier_detector.weight_limits[4] == 0.75


def test_a_zone_in_reach_again_comes_back_without_trials() -> None:
    model = started()
    model.step(0.1, [ProxyDisconnected(p) for p in (1, 4)])  # the south's proxies
    fleet(model, {n: (20, 20 if n % 3 == 1 else 0, 0.2) for n in range(9)}, 3.0)
    assert model.withdrawn == {endpoint(n).id for n in (1, 4, 7)}
    model.step(0.1, [ProxyConnected(1, "south", 5.0, False)])
    assert [model.module.state.outlier_detector.weight_limits[n] for n in (1, 4, 7)] == [1.0] * 3


def test_overload_refuses_the_least_revenue_first_and_then_opens_again() -> None:
    model = started()
    orders = fleet(model, {n: (20, 8, 1.2) for n in range(9)}, 2.0)
    assert levels(orders, 0)[-1] <= 0.1 < 0.5 < levels(orders, 1)[-1]
    assert all(order.retry_policy == 0 for order in orders if isinstance(order, SetAdmission))
    orders = fleet(model, {n: (20, 0, 0.1) for n in range(9)}, 30.0)
    assert levels(orders, 0)[-1] == 1.0


def test_a_manager_that_starts_in_a_jam_withdraws_nobody_and_lets_nobody_try_twice() -> None:
    model = started(4.0, 1.5, 15)
    orders = fleet(model, {n: (20, 20 if n < 4 else 15, 1.5) for n in range(9)}, 3.0)
    assert not model.withdrawn and not [
        o for o in orders if isinstance(o, SetAdmission) and o.retry_policy
    ]


def test_a_worker_that_restarts_in_place_is_out_until_its_first_share_is_bound() -> None:
    model = started()
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(4, "ready", model.now - 1.0),))])
    assert model.withdrawn == {endpoint(4).id}
    fleet(model, {}, 8.0)
    assert not model.withdrawn and not model.broken


def test_levels_that_are_rates_never_shut_a_proxy() -> None:
    orders = fleet(started(admission_mode="rate"), {n: (20, 0, 0.2) for n in range(9)}, 1.0)
    model = Model(manager_settings(admission_mode="rate", default_retry_policy=2))
    model.step(0.1, [EndpointsUpdated("kept", FLEET)])
    assert levels(model.orders, 0) and min(levels(orders + model.orders, 0)) > 1000


def test_a_failed_call_for_the_list_is_made_again_in_time() -> None:
    model = Model(manager_settings(must_subscribe=True))
    model.step(0.1, [EndpointsUpdated("kept", FLEET)])
    assert WatchEndpoints() in model.orders
    asked = [0.0]
    for _ in range(200):
        model.step(0.1, [EndpointsUpdated("failed")] if WatchEndpoints() in model.orders else [])
        if WatchEndpoints() in model.orders:
            assert model.now - asked[-1] < model.trade.safety_limits.list_poll_interval / 2
            asked.append(model.now)
    assert len(asked) > 6


def test_a_list_of_one_worker_none_and_gaps_is_borne() -> None:
    model = Model(manager_settings())
    model.step(0.1, [EndpointsUpdated("kept", ())])
    model.step(0.1, [ProxyConnected(1, "north", 5.0, True)])
    model.step(
        0.1,
        [
            EndpointsUpdated("whole", (endpoint(1),)),
            Acknowledged(1, 999, 0.1),
            ProxyDisconnected(7),
        ],
    )
    fleet(model, {}, 6.0)
    assert {name for _, t in model.holds[1].values() for name in t} == {
        endpoint(1).id
    } and not model.broken


def test_cold_workers_stay_out_in_a_storm_and_before_a_calm_fleet_was_seen() -> None:
    model = joined()
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(9, "ready", -2.0),))])
    assert model.withdrawn == {endpoint(9).id}  # nothing is known yet
    fleet(model, {n: (20, 0, 0.2) for n in range(9)}, 3.0)
    assert model.withdrawn == {
        endpoint(9).id
    }  # quick first answers are no proof: voids are reported late
    fleet(model, {n: (20, 0, 0.2) for n in range(9)}, 3.0)
    assert not model.withdrawn
    fleet(model, {n: (20, 12, 1.5) for n in range(9)}, 3.0)
    assert model.withdrawn == {endpoint(9).id}  # a storm of repeats


def test_a_cold_worker_in_a_laid_table_is_out_before_the_table_is_bound() -> None:
    model = started(1.0)  # no calm fleet was proven yet, so that a storm must be reckoned with
    cold = endpoint(10, "ready", model.now - 1.0)
    model.step(0.1, [EndpointsUpdated("changes", (cold,))])
    reached = set()
    for _ in range(25):
        model.step(0.1, [])
        reached |= {
            p for p, holds in model.holds.items() if any(cold.id in h for _, h in holds.values())
        }
        assert all(cold.id in model.shut[p] for p in reached)
    assert reached == set(range(6))


def test_letting_in_again_is_not_held_back_by_the_messages_that_changes_leave() -> None:
    model = started()
    for times in model.module.state.budget.sent_times.values():
        times.extend([model.now] * (15 - len(times)))
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "draining") for n in range(9)))])
    assert len(model.withdrawn) == 9
    model.step(0.1, [EndpointsUpdated("changes", FLEET)])
    assert not model.withdrawn and not model.broken


def crowd() -> Model:
    model = joined(30, 40)
    fleet(model, {n: (20, 0, 0.2) for n in range(30)}, 12.0)
    return model


def test_a_crowd_of_joiners_soon_has_a_table() -> None:
    model = joined(60, 60, initial_subset_size=3)
    fleet(model, {}, 1.5)
    assert all(number for tables in model.holds.values() for number, _ in tables.values())
    lost = set(model.tables[model.bound[59][0]])
    gone = [endpoint(n, "gone") for n in range(60) if endpoint(n).id in lost]
    model.step(0.1, [EndpointsUpdated("changes", tuple(gone))])
    assert (
        lost and not lost & model.tables[model.bound[59][0]].keys()
    )  # not left with those who are gone


def test_in_a_crowded_channel_a_change_sends_differences_alone() -> None:
    model = crowd()
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(31), endpoint(4, "gone")))])
    orders = fleet(model, {n: (20, 0, 0.2) for n in range(5, 30)}, 4.0)
    assert not [order for order in orders if isinstance(order, AssignTable)] and not model.broken
    assert all(
        endpoint(31).id in held for tables in model.holds.values() for _, held in tables.values()
    )


def test_a_mass_of_workers_gone_is_answered_with_small_tables() -> None:
    model = crowd()
    model.module.state.budget.entries_per_second = (
        300.0  # a line for each worker and proxy would take two seconds
    )
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "gone") for n in range(15)))])
    assert {order.proxy for order in model.orders if isinstance(order, AssignTable)} == set(
        range(40)
    )


def test_a_drain_passes_in_a_slow_channel_whatever_health_and_levels_want() -> None:
    model = crowd()
    model.pace = 0.1
    fleet(model, {n: (20, 20 if n % 5 == 0 else 9, 1.2) for n in range(30)}, 8.0)
    assert sum(lines for _, lines, _ in model.queue) <= 600  # rather than all that the limit allows
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "draining"),))])
    assert endpoint(7).id in model.withdrawn


def test_voids_at_the_usual_pace_refuse_nothing_but_mass_voids_do() -> None:
    model = started()
    assert not levels(fleet(model, {n: (20, 5, 0.2) for n in range(9)}, 6.0), 0)
    assert levels(fleet(model, {n: (20, 20, 0.0) for n in range(9)}, 3.0), 0)[-1] < 1.0


def test_a_cold_worker_waits_outside_while_a_tenth_of_all_tries_is_voided() -> None:
    model = started(12.0)
    fleet(model, {n: (20, 20 if n < 4 else 0, 0.2) for n in range(9)}, 0.5)
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(10, "ready", model.now - 1.0),))])
    assert endpoint(10).id in model.withdrawn


def test_evidence_of_a_side_that_is_cut_off_condemns_few_but_what_is_silent_to_our_proxies_goes() -> (
    None
):
    for share, out in ((0.2, {endpoint(4).id}), (0.05, set())):
        model = started()
        model.step(0.1, [PartitionLimitsChanged(share)])
        fleet(model, {n: (20, 12 if n == 4 else 0, 0.2) for n in range(9)}, 4.0)
        assert model.withdrawn == out
    model = started()
    model.step(0.1, [PartitionLimitsChanged(0.05)])
    fleet(model, {n: (20, 20 if n == 4 else 0, 0.2) for n in range(9)}, 4.0)
    assert model.withdrawn == {endpoint(4).id}


def test_what_others_met_is_evidence_on_workers_and_none_on_our_own_load() -> None:
    model = started()
    before = model.module.state.admission_controller.succeeded
    model.step(0.1, [EndpointReported("", endpoint(4).id, 40.0, 40.0, 0.0, 0.5, local=False)])
    assert (
        model.module.state.admission_controller.succeeded == before
        and model.module.state.outlier_detector.failed[4] >= 40.0
    )


def shares(model: Model, n: int) -> set[float]:
    held = [model.tables[number] for tables in model.bound.values() for number in tables.values()]
    return {table[endpoint(n).id] for table in held if endpoint(n).id in table}


def test_half_of_a_set_steps_no_ramp_and_goes_on_once_more_are_in_touch() -> None:
    for raises in (True, False):
        model = started(12.0)
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(10, "ready", model.now - 0.5),))])
        model.step(0.1, [PartitionLimitsChanged(0.1, True, raises)])
        fleet(model, {n: (20, 0, 0.2) for n in range(9)}, 9.0)
        assert shares(model, 10) == ({0.5} if raises else {0.25})
        model.step(0.1, [PartitionLimitsChanged(0.2)])
        fleet(model, {n: (20, 0, 0.2) for n in range(9)}, 4.0)
        assert shares(model, 10) == {0.75}, "as its age says, by which the rules go as well"


def test_few_of_a_set_move_tables_by_the_list_alone_and_drains_and_joiners_as_ever() -> None:
    slow = {n: (20, 12 if n == 4 else 0, 1.0 if n == 4 else 0.2) for n in range(9)}
    for begin in (True, False):
        model = started()
        model.step(0.1, [PartitionLimitsChanged(0.2, begin, begin)])
        fleet(model, slow, 5.0)
        assert shares(model, 4) == {0.5 if begin else 1.0}
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(10), endpoint(2, "draining")))])
        model.step(0.1, [ProxyConnected(9, ZONES[0], 5.0, True)])
        fleet(model, slow, 5.0)
        assert endpoint(2).id in model.withdrawn or not shares(model, 2)
        assert shares(model, 10) == {1.0} and 9 in model.bound


def test_five_managers_that_ramp_the_same_worker_give_it_together_what_one_would() -> None:
    """Each steers a fifth of the proxies, and raises by the worker's age: parts of the traffic add up to the share."""
    models = [started(12.0, seed=n) for n in range(6)]
    for model in models:
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(10, "ready", model.now - 0.5),))])
    for _ in range(24):
        for model in models:
            fleet(model, {n: (20, 0, 0.2) for n in range(9)}, 1.0)
        given = []
        for model in models:
            tables = [
                model.tables[number] for held in model.bound.values() for number in held.values()
            ]
            parts = [table.get(endpoint(10).id, 0.0) / sum(table.values()) for table in tables]
            given.append(sum(parts) / len(parts))
        one, five = given[0], given[1:]
        assert sum(part / 5 for part in five) <= one + 1e-9
    assert one > 0.05, "and it is whole in the end"


def test_once_over_a_third_is_out_what_is_let_in_follows_what_serves_ahead_of_the_jam() -> None:
    for replaced, least in ((3, 1.0), (6, 0.1)):
        model = started(12.0)
        fleet(model, {n: (20, 3, 0.2) for n in range(9)}, 0.5)  # rough: the cold wait outside
        model.step(
            0.1,
            [
                EndpointsUpdated(
                    "changes", tuple(endpoint(n, "ready", model.now - 1.0) for n in range(replaced))
                )
            ],
        )
        orders = fleet(model, {n: (20, 3, 0.2) for n in range(replaced, 9)}, 2.0)
        assert len(model.withdrawn) == replaced
        assert (
            min(levels(orders, 0), default=1.0) <= least
            and min(levels(orders, 1), default=1.0) >= 0.8
        )
        assert bool(levels(orders, 0)) == (replaced == 6)


def test_a_probe_of_a_worker_that_went_or_started_again_meanwhile_says_nothing_of_it() -> None:
    model = started(can_check_health=True)
    fleet(model, {n: (20, 20 if n == 4 else 0, 0.2) for n in range(9)}, 2.0)
    assert model.withdrawn == {endpoint(4).id}
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(4, "gone"),))])
    model.step(0.1, [HealthCheckCompleted(endpoint(4).id, True, "ok", 0.1)])
    assert endpoint(4).id in model.withdrawn
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(4, "ready", model.now - 1.0),))])
    cap = model.module.state.outlier_detector.weight_limits[4]
    model.step(0.1, [HealthCheckCompleted(endpoint(4).id, False, "timeout", 0.4)])
    assert model.module.state.outlier_detector.weight_limits[4] == cap == 1.0 and not model.broken
