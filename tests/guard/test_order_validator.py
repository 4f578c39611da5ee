"""The rules of the order validator, with cases that are easy to get wrong."""

from math import inf, nan

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
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.guard import OrderValidator
from tests.decision.rules_model import manager_settings
from tests.guard.example_fleet import (
    NOW,
    PROXIES,
    WARM,
    WARM_WEIGHTS,
    WARMING,
    WORKERS,
    assign,
    even_weights,
    fleet_validator,
    listed,
    new_table,
    rejections_of,
    set_weights,
)


@pytest.fixture
def validator() -> OrderValidator:
    return fleet_validator()


def acknowledge(validator: OrderValidator, ack_number: int) -> None:
    validator.handle(NOW, [Acknowledged(proxy, ack_number, 0.1) for proxy in PROXIES])


def test_an_ordinary_first_table_and_its_assignments_are_accepted(
    validator: OrderValidator,
) -> None:
    assert rejections_of(validator, new_table(1, even_weights())) == []


def test_a_table_that_overloads_a_warming_endpoint_by_the_load_of_all_proxies_is_rejected(
    validator: OrderValidator,
) -> None:
    """Each proxy's assignment alone is harmless: the first ones are accepted, later ones are not."""
    assert rejections_of(validator, new_table(1, WARM_WEIGHTS)) == []
    rejections = rejections_of(validator, new_table(2, {WARMING[0]: 1.0}))
    assert {rejection.rule for rejection in rejections} == {"pushed"}
    assert 0 < len(rejections) <= 4
    assert "txns a second by all proxies" in rejections[0].reason
    assert "of it at most" in rejections[0].remedy


def test_two_traffic_classes_each_harmless_are_validated_by_their_sum(
    validator: OrderValidator,
) -> None:
    assert rejections_of(validator, new_table(1, WARM_WEIGHTS)) == []
    weights = {**WARM_WEIGHTS, WARMING[0]: 1.2}
    assert rejections_of(validator, new_table(2, weights, traffic_classes=(0,))) == []
    rejections = rejections_of(validator, new_table(3, weights, traffic_classes=(1,)))
    assert {rejection.rule for rejection in rejections} == {"pushed"}


def test_a_previous_table_counts_until_the_new_one_is_acknowledged() -> None:
    """While a proxy may be using either table, the one that sends more load counts."""
    weights = {**WARM_WEIGHTS, WARMING[0]: 1.2}
    for acknowledged in (False, True):
        validator = fleet_validator()
        first_tables = [
            *set_weights(1, weights),
            *assign(1, traffic_classes=(0,)),
            *set_weights(9, WARM_WEIGHTS),
            *assign(9, traffic_classes=(1,)),
            RequestAcknowledgement(1, False),
        ]
        assert rejections_of(validator, first_tables) == []
        acknowledge(validator, 1)
        assert rejections_of(validator, new_table(2, WARM_WEIGHTS, traffic_classes=(0,))) == []
        if acknowledged:
            acknowledge(validator, 2)
        rejections = rejections_of(validator, new_table(3, weights, traffic_classes=(1,)))
        assert bool(rejections) != acknowledged


@pytest.mark.parametrize("weight", [nan, inf, -1.0, 1e300])
def test_a_weight_out_of_range_is_rejected_alone(validator: OrderValidator, weight: float) -> None:
    orders = [SetWeight(1, WORKERS[0], weight), *set_weights(1, even_weights()), *assign(1)]
    rejections = rejections_of(validator, orders)
    assert [rejection.rule for rejection in rejections] == ["form"]
    assert rejections[0].order is orders[0]


def test_unknown_endpoints_classes_policies_and_empty_tables_are_rejected(
    validator: OrderValidator,
) -> None:
    malformed: list[Order] = [
        SetWeight(1, "10.9.9.9:80", 1.0),
        AssignTable(0, (7,), 1),
        SetAdmission(1, 5, 0, 1.0),
        SetAdmission(1, 0, 9, 1.0),
        SetAdmission(1, 0, 1, nan),
        SetEjected("10.9.9.9:80", True),
    ]
    rejections = rejections_of(validator, [*set_weights(1, even_weights()), *assign(1), *malformed])
    assert len(rejections) == len(malformed)
    rejections = rejections_of(validator, assign(2))
    assert {rejection.rule for rejection in rejections} == {"bare"}, "an empty table"


def test_retry_policies_that_could_repeat_an_effect_are_rejected(
    validator: OrderValidator,
) -> None:
    """Class 1 is non-idempotent; an idempotency key shared only within a zone is no protection."""
    harmless = [SetAdmission(1, 0, 3, 1.0), SetAdmission(1, 1, 1, 1.0)]
    assert rejections_of(validator, [*set_weights(1, even_weights()), *harmless]) == []
    rejections = rejections_of(validator, [SetAdmission(1, 1, 2, 1.0)])
    assert [rejection.rule for rejection in rejections] == ["twice"]
    keyed_classes = (
        TrafficClass("read", 0.8, 2.0, 1.0, idempotency="referenced", group="zone"),
        TrafficClass("book", 0.8, 2.0, 1.0, idempotency="referenced", group="all"),
    )
    validator = fleet_validator(settings=manager_settings(traffic_classes=keyed_classes))
    rejections = rejections_of(validator, [SetAdmission(1, 0, 2, 1.0), SetAdmission(1, 1, 2, 1.0)])
    assert [rejection.order for rejection in rejections] == [SetAdmission(1, 0, 2, 1.0)]


def test_an_ejection_that_leaves_no_endpoint_is_rejected_but_a_drain_never_is(
    validator: OrderValidator,
) -> None:
    assert rejections_of(validator, new_table(1, {WORKERS[0]: 1.0, WORKERS[1]: 1.0})) == []
    assert rejections_of(validator, [SetEjected(WORKERS[0], True)]) == []
    rejections = rejections_of(validator, [SetEjected(WORKERS[1], True)])
    assert [rejection.rule for rejection in rejections] == ["bare"]
    validator.handle(NOW, [listed(ready=WORKERS[2:], draining=WORKERS[:2])])
    assert rejections_of(validator, [SetEjected(WORKERS[1], True)]) == []


def test_success_rates_that_proxies_of_several_zones_report_of_an_endpoint_are_summed() -> None:
    """With the best zone's rate alone, the endpoint's capacity is estimated at a third."""
    for zones in ((), ("south", "east")):
        validator = fleet_validator()
        for zone in zones:
            reports = [EndpointReported(zone, worker, 13, 0, 0.1, 1.0) for worker in WARM]
            validator.handle(NOW, reports)
        assert rejections_of(validator, new_table(1, WARM_WEIGHTS)) == []
        rejections = rejections_of(validator, new_table(2, {**WARM_WEIGHTS, WARMING[0]: 1.5}))
        assert bool(rejections) != bool(zones)


def test_a_validator_that_is_not_enforced_follows_all_orders() -> None:
    validator = OrderValidator(manager_settings(), enforced=False)
    validator.handle(NOW, [listed(), ProxyConnected(0, "north", 10.0, True)])
    rejections = rejections_of(
        validator, [AssignTable(0, (0, 1), 4), RequestAcknowledgement(1, False)]
    )
    assert [rejection.rule for rejection in rejections] == ["bare"]
    assert validator.usage.possible_tables(0, 1) == [4]
    validator.handle(NOW, [Acknowledged(0, 1, 0.1)])
    second_table = [
        *set_weights(5, even_weights()),
        *assign(5, [0]),
        RequestAcknowledgement(2, False),
    ]
    assert rejections_of(validator, second_table) == []
    validator.handle(NOW, [Acknowledged(0, 2, 0.1)])
    assert rejections_of(validator, [DeleteTable(4)]) == []


@pytest.mark.parametrize(
    "malformed",
    [
        SetWeight(1, WARM[0], float("nan")),
        SetWeight(1, WARM[0], -6.0),
        SetWeight(1, WARM[0], float("inf")),
        SetWeight(1, "10.9.9.9:80", 1.0),
        SetAdmission(1, 0, 7, 1.0),
        SetAdmission(1, 0, 1, float("nan")),
        SetAdmission(1, 9, 1, 1.0),
        AssignTable(0, (9,), 1),
        SetEjected("10.9.9.9:80", True),
    ],
    ids=repr,
)
def test_in_watch_mode_a_malformed_order_is_recorded_and_later_batches_are_still_validated(
    malformed: Order,
) -> None:
    """A malformed order that is applied to the usage can make a later validation raise an error."""
    watching = OrderValidator(manager_settings(), enforced=False)
    enforcing = OrderValidator(manager_settings())
    for validator in (watching, enforcing):
        validator.handle(NOW, [listed(), ProxyConnected(0, "north", 10.0, True)])
        table = [*set_weights(1, {WARM[0]: 1.0, WARM[1]: 5.0}), *assign(1, [0])]
        assert rejections_of(validator, table) == []
        assert [each.rule for each in rejections_of(validator, [malformed])] == ["form"]
    reports = [EndpointReported("north", WARM[0], 60, 30, 0.1, 1.0)]
    later = [*set_weights(2, {**WARM_WEIGHTS, WARMING[0]: 1.0}), *assign(2, [0])]
    found = []
    for validator in (watching, enforcing):
        validator.handle(NOW, [DemandReported(0, "read", 50, 0, 1.0), *reports])
        found.append([each.rule for each in rejections_of(validator, later)])
    assert found[0] == found[1]
    rejections_of(watching, [SetWeight(1, WARMING[0], 2.0), DeleteTable(2)])


def test_a_drained_endpoint_is_not_readmitted_while_unknown_tables_may_have_an_entry_for_it(
    validator: OrderValidator,
) -> None:
    validator.handle(NOW, [listed(ready=WORKERS[1:], draining=WORKERS[:1])])
    orders = [
        *set_weights(1, dict.fromkeys(WORKERS[1:6], 1.0)),
        *assign(1, range(3)),
        SetEjected(WORKERS[0], True),
        RequestAcknowledgement(1, False),
    ]
    assert rejections_of(validator, orders) == []
    readmission = SetEjected(WORKERS[0], False)
    rejections = rejections_of(validator, [readmission])
    assert [(rejection.rule, rejection.proxies) for rejection in rejections] == [("drain", (3,))]
    orders = [*assign(1, [3]), RequestAcknowledgement(2, False), readmission]
    assert rejections_of(validator, orders) == []


def test_an_endpoint_that_a_snapshot_leaves_out_may_be_ejected(
    validator: OrderValidator,
) -> None:
    """An endpoint that is restored after a restart and gone by then: its ejection is well-formed."""
    assert rejections_of(validator, new_table(1, dict.fromkeys(WORKERS[:2], 1.0))) == []
    snapshot = tuple(Endpoint(worker, "north", "", 0, "ready", 1.0, None) for worker in WORKERS[2:])
    validator.handle(NOW, [EndpointsUpdated("whole", snapshot)])
    ejections: list[Order] = [SetEjected(WORKERS[0], True), SetEjected(WORKERS[1], True)]
    assert rejections_of(validator, ejections) == []


def test_a_table_without_an_available_endpoint_is_assigned_only_if_the_old_one_has_none_too(
    validator: OrderValidator,
) -> None:
    orders = [
        *new_table(1, {WORKERS[0]: 1.0}),
        *set_weights(2, {WORKERS[1]: 1.0}),
        SetEjected(WORKERS[1], True),
    ]
    assert rejections_of(validator, orders) == []
    rejections = rejections_of(validator, assign(2))
    assert {rejection.rule for rejection in rejections} == {"bare"}
    assert not any(rejection.allowed_anyway for rejection in rejections)
    validator.handle(NOW, [listed(ready=WORKERS[1:], draining=WORKERS[:1])])
    rejections = rejections_of(validator, [SetEjected(WORKERS[0], True), *assign(2)])
    assert len(rejections) == 4
    assert all(rejection.allowed_anyway for rejection in rejections), (
        "no table is usable: the lesser harm is accepted and reported"
    )


def test_a_new_proxys_first_table_is_accepted_even_if_all_endpoints_are_warming_up() -> None:
    validator = OrderValidator(manager_settings())
    warming = tuple(Endpoint(worker, "north", "", 0, "ready", 1.0, NOW - 1.0) for worker in WORKERS)
    validator.handle(
        NOW, [EndpointsUpdated("whole", warming), ProxyConnected(0, "north", 50.0, True)]
    )
    rejections = rejections_of(
        validator, [*set_weights(1, dict.fromkeys(WORKERS, 1.0)), *assign(1, [0])]
    )
    assert not [rejection for rejection in rejections if not rejection.allowed_anyway]


def test_an_endpoint_restarted_at_the_same_address_is_validated_by_its_new_start(
    validator: OrderValidator,
) -> None:
    all_to_one = {WORKERS[0]: 1.0}
    assert rejections_of(validator, new_table(1, even_weights())) == []
    restarted = Endpoint(WORKERS[0], "north", "", 0, "ready", 1.0, NOW)
    validator.handle(NOW, [EndpointsUpdated("changes", (restarted,))])
    rejections = rejections_of(validator, [*set_weights(2, all_to_one), *assign(2)])
    assert {rejection.rule for rejection in rejections} == {"pushed"}
    orders = [*set_weights(3, all_to_one), *assign(3, [0])]
    assert rejections_of(validator, orders, now=NOW + 60.0) == [], "warm by then"


def test_entries_of_tables_in_use_are_validated_and_deletions_need_acknowledgements(
    validator: OrderValidator,
) -> None:
    assert rejections_of(validator, new_table(1, WARM_WEIGHTS)) == []
    rejections = rejections_of(validator, [SetWeight(1, WARMING[0], 30.0)])
    assert [rejection.rule for rejection in rejections] == ["pushed"]
    assert rejections_of(validator, [SetWeight(1, WARMING[0], 0.25)]) == []
    assert rejections_of(validator, new_table(2, even_weights())) == []
    rejections = rejections_of(validator, [DeleteTable(1)])
    assert [rejection.rule for rejection in rejections] == ["bare"]
    acknowledge(validator, 2)
    assert rejections_of(validator, [DeleteTable(1)]) == []


def test_readmission_of_a_warming_endpoint_is_validated_by_the_tables_with_an_entry_for_it(
    validator: OrderValidator,
) -> None:
    ejection = [SetEjected(WARMING[0], True), RequestAcknowledgement(1, True)]
    assert rejections_of(validator, ejection) == []
    acknowledge(validator, 1)
    orders = [
        *set_weights(1, {**WARM_WEIGHTS, WARMING[0]: 6.0}),
        *assign(1),
        RequestAcknowledgement(2, False),
    ]
    assert rejections_of(validator, orders) == [], "ejected everywhere: nothing is sent to it"
    rejections = rejections_of(validator, [SetEjected(WARMING[0], False)])
    assert [rejection.rule for rejection in rejections] == ["pushed"]
