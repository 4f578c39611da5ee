"""Tests how the decision module applies and ends operator overrides under the safety rules."""

import pytest

from dunlinlug.decision.events import EndpointsUpdated, Event, OverrideChanged, ProxyConnected
from dunlinlug.decision.settings import ChannelSettings
from tests.decision.rules_model import Model, endpoint, manager_settings

FLEET = tuple(endpoint(number) for number in range(9))
SLOW_CHANNEL = ChannelSettings(100.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)


def run(model: Model, *events: Event, seconds: float = 12.0) -> None:
    """Pass events to the model, then run it without events for some seconds."""
    model.step(0.1, list(events))
    for _ in range(round(seconds / 0.1)):
        model.step(0.1, [])


def connected(proxy_count: int) -> list[Event]:
    return [ProxyConnected(proxy, "north", 5.0, True) for proxy in range(proxy_count)]


def weights_by_proxy(model: Model, traffic_class: int) -> list[dict[str, float]]:
    """Return each proxy's weights for a traffic class, as applied by the proxy."""
    return [tables[traffic_class][1] for tables in model.applied.values()]


@pytest.mark.parametrize("channel", [manager_settings().channel, SLOW_CHANNEL])
def test_an_override_changes_one_class_only_and_its_end_restores_the_listed_weights(
    channel: ChannelSettings,
) -> None:
    """Also covers a channel too slow for full tables, where classes with equal weights share one."""
    model = Model(manager_settings(channel=channel))
    run(model, EndpointsUpdated("kept", FLEET), *connected(6))
    listed_weights = {worker.id: 1.0 for worker in FLEET}
    subset = OverrideChanged(1, ((FLEET[0].id, 1.0), (FLEET[4].id, 2.0)), False)
    run(model, subset)
    assert weights_by_proxy(model, 1) == [{FLEET[0].id: 1.0, FLEET[4].id: 2.0}] * 6
    assert weights_by_proxy(model, 0) == [listed_weights] * 6
    run(model, OverrideChanged(1, ((FLEET[3].id, 0.0), (FLEET[4].id, 0.5)), True))
    weights = {**listed_weights, FLEET[4].id: 0.5}
    del weights[FLEET[3].id]
    assert weights_by_proxy(model, 1) == [weights] * 6
    assert weights_by_proxy(model, 0) == [listed_weights] * 6
    run(model, OverrideChanged(1))
    assert weights_by_proxy(model, 1) == [listed_weights] * 6
    assert weights_by_proxy(model, 0) == [listed_weights] * 6
    assert not model.violated_rules


def test_an_override_is_ignored_once_all_its_endpoints_are_draining() -> None:
    model = Model(manager_settings())
    run(model, EndpointsUpdated("kept", FLEET), *connected(6))
    run(model, OverrideChanged(0, tuple((worker.id, 1.0) for worker in FLEET[:2]), False))
    draining = tuple(endpoint(number, "draining") for number in range(2))
    run(model, EndpointsUpdated("changes", draining), seconds=2.0)
    remaining = {worker.id for worker in FLEET[2:]}
    assert all(set(weights) == remaining for weights in weights_by_proxy(model, 0))
    assert not model.violated_rules


def test_slow_start_applies_under_an_override() -> None:
    model = Model(manager_settings())
    run(model, EndpointsUpdated("kept", FLEET), *connected(1))
    run(model, OverrideChanged(0, ((FLEET[0].id, 1.0), (FLEET[1].id, 2.0)), False))
    restarted = endpoint(1, since=model.now)
    run(model, EndpointsUpdated("changes", (restarted,)), seconds=3.0)
    weights = weights_by_proxy(model, 0)[0]
    assert weights[FLEET[0].id] == 1.0
    assert weights.get(FLEET[1].id, 0.0) <= 0.5, "a quarter of the overridden weight"


def test_a_new_proxy_does_not_get_endpoints_that_an_override_excludes() -> None:
    model = Model(manager_settings(channel=SLOW_CHANNEL))
    run(model, EndpointsUpdated("kept", FLEET), *connected(6))
    run(model, OverrideChanged(1, ((FLEET[2].id, 0.0),), True))
    model.step(0.1, [ProxyConnected(7, "south", 5.0, True)])
    for _ in range(100):
        model.step(0.1, [])
        table = model.applied[7].get(1)
        assert table is None or FLEET[2].id not in table[1]
    assert 1 in model.applied[7]
