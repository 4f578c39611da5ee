"""Regression tests for failures that were found in benchmarks or incidents."""

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    PartitionLimitsChanged,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import AssignTable, Order, SetAdmission, WatchEndpoints
from dunlinlug.decision.settings import ChannelSettings, SafetyLimits
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings

FLEET = tuple(endpoint(n) for n in range(9))


def report(
    model: Model, observations: dict[int, tuple[int, int, float]], seconds: float
) -> list[Order]:
    """Report observations of the endpoints every half second and return the orders.

    `observations` has by endpoint number the attempts, the failed attempts, and the latency.
    """
    orders: list[Order] = []
    for _ in range(round(seconds / 0.5)):
        reports = [
            EndpointReported(ZONES[n % 3], endpoint(n).id, *observed, 0.5)
            for n, observed in observations.items()
        ]
        model.step(
            0.5, [*reports, *(DemandReported(1, name, 100, 0, 0.5) for name in ("read", "book"))]
        )
        orders += model.orders
    return orders


def connected_model(workers: int = 9, proxies: int = 6, **changes: object) -> Model:
    model = Model(manager_settings(**changes))
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(workers)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(proxies)])
    return model


def reported_model(
    seconds: float = 5.0, latency: float = 0.2, failed: int = 0, **changes: object
) -> Model:
    model = connected_model(**changes)
    report(model, {n: (20, failed, latency) for n in range(9)}, seconds)
    return model


def admitted_fractions(orders: list[Order], traffic_class: int) -> list[float]:
    return [
        order.admitted_fraction
        for order in orders
        if isinstance(order, SetAdmission) and order.traffic_class == traffic_class
    ]


def test_overload_ejects_no_endpoint() -> None:
    model = reported_model()
    report(model, {n: (20, 12 + n % 3, 1.5) for n in range(9)}, 6.0)
    assert not model.ejected


def test_an_unresponsive_endpoint_is_ejected_and_returns_through_probation() -> None:
    model = reported_model()
    report(model, {n: (20, 20 if n == 4 else 0, 0.2) for n in range(9)}, 2.0)
    assert model.ejected == {endpoint(4).id}
    report(model, {n: (20, 0, 0.2) for n in range(9) if n != 4}, 6.0)
    entries_in_use = [
        model.tables[number] for tables in model.assigned.values() for number in tables.values()
    ]
    assert not model.ejected and {table[endpoint(4).id] for table in entries_in_use} == {0.25}


def test_outlier_detection_never_ejects_all_endpoints() -> None:
    model = reported_model()
    report(model, {n: (20, 20 if n < 6 else 0, 0.2) for n in range(9)}, 5.0)
    assert 0 < len(model.ejected) <= 7


def test_an_overloaded_endpoint_keeps_half_its_weight_and_returns_to_three_quarters() -> None:
    model = reported_model()
    report(model, {n: (20, 12 if n == 4 else 0, 1.0 if n == 4 else 0.2) for n in range(9)}, 5.0)
    assert not model.ejected and model.module.state.outlier_detector.weight_limits[4] == 0.5
    report(model, {n: (20, 0, 0.2) for n in range(9)}, 8.0)
    assert model.module.state.outlier_detector.weight_limits[4] == 0.75


def test_a_zone_that_reconnects_returns_without_probation() -> None:
    model = reported_model()
    model.step(0.1, [ProxyDisconnected(p) for p in (1, 4)])  # the proxies of zone south
    report(model, {n: (20, 20 if n % 3 == 1 else 0, 0.2) for n in range(9)}, 3.0)
    assert model.ejected == {endpoint(n).id for n in (1, 4, 7)}
    model.step(0.1, [ProxyConnected(1, "south", 5.0, False)])
    assert [model.module.state.outlier_detector.weight_limits[n] for n in (1, 4, 7)] == [1.0] * 3


def test_overload_sheds_the_lowest_priority_first_and_admits_all_again_afterwards() -> None:
    model = reported_model()
    orders = report(model, {n: (20, 8, 1.2) for n in range(9)}, 2.0)
    assert admitted_fractions(orders, 0)[-1] <= 0.1 < 0.5 < admitted_fractions(orders, 1)[-1]
    assert all(order.retry_policy == 0 for order in orders if isinstance(order, SetAdmission))
    orders = report(model, {n: (20, 0, 0.1) for n in range(9)}, 30.0)
    assert admitted_fractions(orders, 0)[-1] == 1.0


def test_a_manager_started_during_an_overload_ejects_no_endpoint_and_allows_no_retries() -> None:
    model = reported_model(4.0, 1.5, 15)
    orders = report(model, {n: (20, 20 if n < 4 else 15, 1.5) for n in range(9)}, 3.0)
    assert not model.ejected and not [
        o for o in orders if isinstance(o, SetAdmission) and o.retry_policy
    ]


def test_an_endpoint_that_restarts_in_place_is_ejected_until_its_slow_start_weight_is_installed() -> (
    None
):
    model = reported_model()
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(4, "ready", model.now - 1.0),))])
    assert model.ejected == {endpoint(4).id}
    report(model, {}, 8.0)
    assert not model.ejected and not model.violated_rules


def test_admission_rates_never_block_a_proxy() -> None:
    orders = report(reported_model(admission_mode="rate"), {n: (20, 0, 0.2) for n in range(9)}, 1.0)
    model = Model(manager_settings(admission_mode="rate", default_retry_policy=2))
    model.step(0.1, [EndpointsUpdated("kept", FLEET)])
    assert (
        admitted_fractions(model.orders, 0)
        and min(admitted_fractions(orders + model.orders, 0)) > 1000
    )


def test_a_failed_list_request_is_retried_in_time() -> None:
    model = Model(manager_settings(must_subscribe=True))
    model.step(0.1, [EndpointsUpdated("kept", FLEET)])
    assert WatchEndpoints() in model.orders
    requested_at = [0.0]
    for _ in range(200):
        model.step(0.1, [EndpointsUpdated("failed")] if WatchEndpoints() in model.orders else [])
        if WatchEndpoints() in model.orders:
            assert (
                model.now - requested_at[-1] < model.settings.safety_limits.list_poll_interval / 2
            )
            requested_at.append(model.now)
    assert len(requested_at) > 6


def test_lists_of_none_or_one_endpoint_and_unknown_events_are_handled() -> None:
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
    report(model, {}, 6.0)
    assert {name for _, t in model.applied[1].values() for name in t} == {
        endpoint(1).id
    } and not model.violated_rules


def test_warming_endpoints_stay_ejected_in_a_retry_storm_and_before_a_baseline_exists() -> None:
    model = connected_model()
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(9, "ready", -2.0),))])
    assert model.ejected == {endpoint(9).id}  # no baseline exists yet
    report(model, {n: (20, 0, 0.2) for n in range(9)}, 3.0)
    assert model.ejected == {
        endpoint(9).id
    }  # fast first responses do not rule out a retry storm, as failures are reported late
    report(model, {n: (20, 0, 0.2) for n in range(9)}, 3.0)
    assert not model.ejected
    report(model, {n: (20, 12, 1.5) for n in range(9)}, 3.0)
    assert model.ejected == {endpoint(9).id}  # retry storm


def test_a_warming_endpoint_in_a_new_table_is_ejected_before_the_table_is_assigned() -> None:
    model = reported_model(1.0)  # without a baseline the module assumes a retry storm
    warming = endpoint(10, "ready", model.now - 1.0)
    model.step(0.1, [EndpointsUpdated("changes", (warming,))])
    reached = set()
    for _ in range(25):
        model.step(0.1, [])
        reached |= {
            p
            for p, applied in model.applied.items()
            if any(warming.id in h for _, h in applied.values())
        }
        assert all(warming.id in model.ejected_by_proxy[p] for p in reached)
    assert reached == set(range(6))


def test_readmission_is_not_delayed_by_messages_sent_for_table_changes() -> None:
    model = reported_model()
    for times in model.module.state.budget.sent_times.values():
        times.extend([model.now] * (15 - len(times)))
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "draining") for n in range(9)))])
    assert len(model.ejected) == 9
    model.step(0.1, [EndpointsUpdated("changes", FLEET)])
    assert not model.ejected and not model.violated_rules


def crowded_model() -> Model:
    model = connected_model(30, 40)
    report(model, {n: (20, 0, 0.2) for n in range(30)}, 12.0)
    return model


def test_many_proxies_connecting_at_once_soon_have_a_table() -> None:
    model = connected_model(60, 60, initial_subset_size=3)
    report(model, {}, 1.5)
    assert all(number for tables in model.applied.values() for number, _ in tables.values())
    lost_workers = set(model.tables[model.assigned[59][0]])
    gone = [endpoint(n, "gone") for n in range(60) if endpoint(n).id in lost_workers]
    model.step(0.1, [EndpointsUpdated("changes", tuple(gone))])
    assert (
        lost_workers and not lost_workers & model.tables[model.assigned[59][0]].keys()
    )  # the proxy must not be left with endpoints that are gone


def test_in_a_crowded_channel_an_update_sends_only_the_entries_that_differ() -> None:
    model = crowded_model()
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(31), endpoint(4, "gone")))])
    orders = report(model, {n: (20, 0, 0.2) for n in range(5, 30)}, 4.0)
    assert (
        not [order for order in orders if isinstance(order, AssignTable)]
        and not model.violated_rules
    )
    assert all(
        endpoint(31).id in entries_in_use
        for tables in model.applied.values()
        for _, entries_in_use in tables.values()
    )


def test_proxies_get_subsets_after_a_mass_loss_of_endpoints() -> None:
    model = crowded_model()
    model.module.state.budget.entries_per_second = (
        300.0  # sending one entry per lost endpoint and proxy would take two seconds
    )
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "gone") for n in range(15)))])
    assert {order.proxy for order in model.orders if isinstance(order, AssignTable)} == set(
        range(40)
    )


def test_on_a_slow_channel_a_drain_precedes_outlier_ejections_and_admission() -> None:
    model = crowded_model()
    model.channel_speed = 0.25
    report(model, {n: (20, 20 if n % 5 == 0 else 9, 1.2) for n in range(30)}, 8.0)
    assert sum(entries for _, entries, _ in model.queue) <= 600  # far below the queue limit
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "draining"),))])
    assert endpoint(7).id in model.ejected


def test_failures_at_normal_latency_shed_no_load_but_mass_failures_do() -> None:
    model = reported_model()
    assert not admitted_fractions(report(model, {n: (20, 5, 0.2) for n in range(9)}, 6.0), 0)
    assert admitted_fractions(report(model, {n: (20, 20, 0.0) for n in range(9)}, 3.0), 0)[-1] < 1.0


def test_a_warming_endpoint_stays_ejected_while_a_tenth_of_all_attempts_fail() -> None:
    model = reported_model(12.0)
    report(model, {n: (20, 20 if n < 4 else 0, 0.2) for n in range(9)}, 0.5)
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(10, "ready", model.now - 1.0),))])
    assert endpoint(10).id in model.ejected


def test_a_partitioned_manager_ejects_few_endpoints_but_all_that_are_unresponsive() -> None:
    for max_ejected_fraction, expected in ((0.2, {endpoint(4).id}), (0.05, set())):
        model = reported_model()
        model.step(0.1, [PartitionLimitsChanged(max_ejected_fraction)])
        report(model, {n: (20, 12 if n == 4 else 0, 0.2) for n in range(9)}, 4.0)
        assert model.ejected == expected
    model = reported_model()
    model.step(0.1, [PartitionLimitsChanged(0.05)])
    report(model, {n: (20, 20 if n == 4 else 0, 0.2) for n in range(9)}, 4.0)
    assert model.ejected == {endpoint(4).id}


def test_remote_observations_count_for_outlier_detection_but_not_as_own_successes() -> None:
    model = reported_model()
    before = model.module.state.admission_controller.succeeded
    model.step(0.1, [EndpointReported("", endpoint(4).id, 40.0, 40.0, 0.0, 0.5, local=False)])
    assert (
        model.module.state.admission_controller.succeeded == before
        and model.module.state.outlier_detector.failed[4] >= 40.0
    )


def installed_weights(model: Model, n: int) -> set[float]:
    entries_in_use = [
        model.tables[number] for tables in model.assigned.values() for number in tables.values()
    ]
    return {table[endpoint(n).id] for table in entries_in_use if endpoint(n).id in table}


def test_slow_start_is_not_raised_while_the_partition_limits_forbid_it() -> None:
    for may_raise in (True, False):
        model = reported_model(12.0)
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(10, "ready", model.now - 0.5),))])
        model.step(0.1, [PartitionLimitsChanged(0.1, True, may_raise)])
        report(model, {n: (20, 0, 0.2) for n in range(9)}, 9.0)
        assert installed_weights(model, 10) == ({0.5} if may_raise else {0.25})
        model.step(0.1, [PartitionLimitsChanged(0.2)])
        report(model, {n: (20, 0, 0.2) for n in range(9)}, 4.0)
        assert installed_weights(model, 10) == {0.75}, "the slow start fraction for its age"


def test_a_manager_in_a_minority_partition_changes_weights_only_by_the_endpoint_list() -> None:
    slow = {n: (20, 12 if n == 4 else 0, 1.0 if n == 4 else 0.2) for n in range(9)}
    for may_change in (True, False):
        model = reported_model()
        model.step(0.1, [PartitionLimitsChanged(0.2, may_change, may_change)])
        report(model, slow, 5.0)
        assert installed_weights(model, 4) == {0.5 if may_change else 1.0}
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(10), endpoint(2, "draining")))])
        model.step(0.1, [ProxyConnected(9, ZONES[0], 5.0, True)])
        report(model, slow, 5.0)
        assert endpoint(2).id in model.ejected or not installed_weights(model, 2)
        assert installed_weights(model, 10) == {1.0} and 9 in model.assigned


def test_five_managers_together_give_a_warming_endpoint_the_same_load_as_one() -> None:
    """Each manager serves a fifth of the proxies and computes the slow start from the age alone.

    The sum of the five shares must not exceed the share that a single manager gives the endpoint.
    """
    models = [reported_model(12.0, seed=n) for n in range(6)]
    for model in models:
        model.step(0.1, [EndpointsUpdated("changes", (endpoint(10, "ready", model.now - 0.5),))])
    for _ in range(24):
        for model in models:
            report(model, {n: (20, 0, 0.2) for n in range(9)}, 1.0)
        fractions_by_manager = []
        for model in models:
            tables = [
                model.tables[number]
                for entries_in_use in model.assigned.values()
                for number in entries_in_use.values()
            ]
            weight_fractions = [
                table.get(endpoint(10).id, 0.0) / sum(table.values()) for table in tables
            ]
            fractions_by_manager.append(sum(weight_fractions) / len(weight_fractions))
        single_manager, five_managers = fractions_by_manager[0], fractions_by_manager[1:]
        assert (
            sum(weight_fraction / 5 for weight_fraction in five_managers) <= single_manager + 1e-9
        )
    assert single_manager > 0.05, "the endpoint must get its full weight in the end"


def test_admission_follows_the_available_weight_once_a_third_is_ejected() -> None:
    for replaced, max_admitted in ((3, 1.0), (6, 0.1)):
        model = reported_model(12.0)
        report(
            model, {n: (20, 3, 0.2) for n in range(9)}, 0.5
        )  # a failure rate at which warming endpoints stay ejected
        model.step(
            0.1,
            [
                EndpointsUpdated(
                    "changes", tuple(endpoint(n, "ready", model.now - 1.0) for n in range(replaced))
                )
            ],
        )
        orders = report(model, {n: (20, 3, 0.2) for n in range(replaced, 9)}, 2.0)
        assert len(model.ejected) == replaced
        assert (
            min(admitted_fractions(orders, 0), default=1.0) <= max_admitted
            and min(admitted_fractions(orders, 1), default=1.0) >= 0.8
        )
        assert bool(admitted_fractions(orders, 0)) == (replaced == 6)


def test_a_late_health_check_of_an_endpoint_that_is_gone_or_restarted_is_ignored() -> None:
    model = reported_model(can_check_health=True)
    report(model, {n: (20, 20 if n == 4 else 0, 0.2) for n in range(9)}, 2.0)
    assert model.ejected == {endpoint(4).id}
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(4, "gone"),))])
    model.step(0.1, [HealthCheckCompleted(endpoint(4).id, True, "ok", 0.1)])
    assert endpoint(4).id in model.ejected
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(4, "ready", model.now - 1.0),))])
    weight_limit = model.module.state.outlier_detector.weight_limits[4]
    model.step(0.1, [HealthCheckCompleted(endpoint(4).id, False, "timeout", 0.4)])
    assert (
        model.module.state.outlier_detector.weight_limits[4] == weight_limit == 1.0
        and not model.violated_rules
    )


def test_draining_endpoints_are_ejected_in_time_while_other_ejections_fill_the_channel() -> None:
    """Guards against ejecting draining endpoints one by one on a full channel."""
    model = connected_model(
        200,
        108,
        channel=ChannelSettings(2200.0, 10.0, 8200.0, 0.33, 0.82, 30, 10.0),
        safety_limits=SafetyLimits(8.7, 5.3, 10.0, 18.0, 0.16, 2.5, 1.5),
        initial_subset_size=6,
    )
    failing = set[int]()
    for step in range(265):
        if step >= 140 and step % 3 == 0 and len(failing) < 40:
            failing.add(199 - len(failing))
        events: list[Event] = [
            EndpointReported("north", endpoint(n).id, 20, 20 * (n in failing), 0.3, 0.5)
            for n in range(100, 200)
            if n % 5 == step % 5
        ]
        if step == 198:
            draining = tuple(endpoint(n, "draining") for n in range(20))
            events.append(EndpointsUpdated("changes", draining))
        model.step(0.1, events)
    assert len(model.ejected & {endpoint(n).id for n in range(20)}) == 20
    assert not model.violated_rules


def test_an_ejection_that_exceeds_the_channel_capacity_blocks_no_other_orders() -> None:
    """Guards against waiting for an ejection that exceeds the capacity of an empty channel."""
    channel = ChannelSettings(2000.0, 10.0, 1000.0, 0.1, 0.2, 0, 10.0)
    model = connected_model(9, 200, channel=channel)
    for _ in range(300):
        model.step(0.1, [])
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(0, "draining"),))])
    model.step(0.1, [ProxyDisconnected(p) for p in range(60)])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(60)])
    for _ in range(100):
        model.step(0.1, [])
    (full_table,) = {model.assigned[199][traffic_class] for traffic_class in (0, 1)}
    assert all(model.assigned[p] == {0: full_table, 1: full_table} for p in range(200))
