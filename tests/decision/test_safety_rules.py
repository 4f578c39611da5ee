"""Checks the safety rules with the model in `rules_model.py`.

Runs on random events must violate no rule, and the model must detect violations by a faulty module.
"""

from dataclasses import replace
from random import Random

import pytest

from dunlinlug import balance
from dunlinlug.decision import slow_start
from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.desired_state import DesiredState
from dunlinlug.decision.events import EndpointReported, EndpointsUpdated, Event, ProxyConnected
from dunlinlug.decision.flow_control import ChannelBudget, OrderBatch
from dunlinlug.decision.planner import plan
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings, run


@pytest.mark.parametrize("seed", range(25))
def test_generated_runs_keep_the_rules(seed: int) -> None:
    narrow = {"channel": ChannelSettings(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(Model(manager_settings(**narrow)), seed).violated_rules


@pytest.mark.parametrize("seed", range(12))
def test_the_message_limit_holds_for_proxies_that_reconnect(
    seed: int,
) -> None:
    model = run(
        Model(manager_settings(channel=ChannelSettings(1200.0, 4.0, 2400.0, 0.2, 0.5, 10, 10.0))),
        seed,
    )
    assert "messages" not in model.violated_rules


def test_endpoints_without_warm_up_time_have_no_slow_start() -> None:
    model = Model(manager_settings(safety_limits=SafetyLimits(5.0, 3.0, 10.0, 0.0, 1.0, 3.0, 2.0)))
    assert not run(model, 2).violated_rules


@pytest.mark.parametrize("seed", range(8))
def test_a_same_zone_class_leaves_no_proxy_without_endpoint(seed: int) -> None:
    traffic_classes = (
        manager_settings().traffic_classes[0],
        replace(manager_settings().traffic_classes[1], same_zone_only=True),
    )
    narrow = {"channel": ChannelSettings(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(
        Model(manager_settings(traffic_classes=traffic_classes, initial_subset_size=3, **narrow)),
        seed,
    ).violated_rules


@pytest.mark.parametrize("seed", range(4))
def test_small_tables_have_an_endpoint_of_each_zone_for_a_same_zone_class(seed: int) -> None:
    traffic_classes = (
        manager_settings().traffic_classes[0],
        replace(manager_settings().traffic_classes[1], same_zone_only=True),
    )
    model = Model(
        manager_settings(traffic_classes=traffic_classes, initial_subset_size=3, seed=seed)
    )
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(60)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(90)])

    def proxies_with_local_endpoint() -> list[int]:
        return [
            p
            for p in model.connected_at
            if model.applied[p][1][1].keys() - model.ejected_by_proxy[p]
        ]

    for lost in (
        range(0),
        range(0, 54, 3),
        range(1, 54, 3),
    ):  # the rest of a zone has two endpoints left
        model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "gone") for n in lost))])
        for _ in range(20):
            model.step(0.1, [])
        assert len(proxies_with_local_endpoint()) == 90 and not model.violated_rules


def test_a_zone_whose_endpoints_are_all_ejected_gets_a_warm_one_back_for_same_zone_classes() -> (
    None
):
    traffic_classes = (
        manager_settings().traffic_classes[0],
        replace(manager_settings().traffic_classes[1], same_zone_only=True),
    )
    model = Model(manager_settings(traffic_classes=traffic_classes))
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(9)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(6)])
    for _ in range(20):
        model.step(
            0.5,
            [
                EndpointReported(
                    ZONES[n % 3], endpoint(n).id, 20, 20 if n % 3 == 1 else 0, 0.2, 0.5
                )
                for n in range(9)
            ],
        )
    assert len(model.ejected) == 2 and not model.violated_rules


@pytest.mark.parametrize("seed", range(12))
def test_generated_runs_with_overrides_keep_the_rules(seed: int) -> None:
    narrow = {"channel": ChannelSettings(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(Model(manager_settings(**narrow)), seed, overrides=0.03).violated_rules


def test_a_subscribed_endpoint_list_keeps_the_rules() -> None:
    assert not run(
        Model(manager_settings(must_subscribe=True, can_check_health=True)), 3
    ).violated_rules


def test_the_same_events_give_the_same_orders() -> None:
    assert (
        run(Model(manager_settings()), 5, 200).orders
        == run(Model(manager_settings()), 5, 200).orders
    )


def rules_violated_by(
    monkeypatch: pytest.MonkeyPatch, change: object, channel_speed: float = 1.0
) -> set[str]:
    def bad(state: DecisionState, now: float) -> DesiredState:
        desired = plan(state, now)
        change(state, desired)
        return desired

    monkeypatch.setattr(balance, "plan", bad)
    return set().union(
        *(run(Model(manager_settings(), channel_speed), seed).violated_rules for seed in range(4))
    )


@pytest.mark.parametrize(
    ("rule", "change"),
    [
        (
            "without endpoint",
            lambda state, desired: desired.ejected.update(range(len(state.fleet.ids))),
        ),
        (
            "duplicate effect",
            lambda state, desired: setattr(
                desired, "admission_levels", [(1.0, 2)] * len(desired.admission_levels)
            ),
        ),
        (
            "drain",
            lambda state, desired: (
                desired.ejected.clear(),
                setattr(
                    desired,
                    "weights",
                    [{**desired.weights[0], **{i: 1.0 for i in range(len(state.fleet.ids))}}]
                    * len(desired.weights),
                ),
            ),
        ),
    ],
)
def test_the_model_detects_a_violated_rule(
    rule: str, change: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert rule in rules_violated_by(monkeypatch, change)


def test_the_model_detects_an_overloaded_warming_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "SLOW_START_STEP", 1.0)
    assert "slow start" in rules_violated_by(
        monkeypatch, lambda state, desired: desired.ejected.clear()
    )


def test_the_model_detects_a_queue_over_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        OrderBatch, "exceeds_drain", lambda self, max_drain_time, proxy_id=None: False
    )
    monkeypatch.setattr(OrderBatch, "fits", lambda self, entries, priority: True)
    model = Model(manager_settings(), 0.01)
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(30)))])
    for n in range(90):
        model.step(0.1, [ProxyConnected(n, "north", 1.0, True)])
    assert "queue" in model.violated_rules


def test_the_model_detects_too_many_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        ChannelBudget, "exceeds_message_limit", lambda self, proxy_id, now, priority: False
    )
    flip = iter(range(10**6))
    assert "messages" in rules_violated_by(
        monkeypatch,
        lambda state, desired: setattr(
            desired, "ejected", {next(flip) % 2, 2 + next(flip) % 3} if state.fleet.ids else set()
        ),
    )


class BunchedEvents(Model):
    """Delivers the events of about four steps at once and in random order.

    For example, a new connection can precede the disconnection of the previous one, and a restart
    of an endpoint can precede its removal.
    """

    def __init__(self, settings: ManagerSettings, seed: int) -> None:
        self.random = Random(f"{seed} order")
        super().__init__(settings)

    def restart(self) -> None:
        super().restart()
        self.waiting = []

    def step(self, elapsed: float, events: list[Event]) -> None:
        self.waiting += events
        if (
            self.module.state.fleet.ids and self.random.random() < 0.75
        ):  # hosts pass the stored endpoint list before any other event
            return super().step(elapsed, [])
        self.random.shuffle(self.waiting if self.module.state.fleet.ids else [])
        events, self.waiting = self.waiting, []
        return super().step(elapsed, events)


@pytest.mark.parametrize("seed", range(20))
def test_events_of_one_instant_keep_the_rules_in_any_order(seed: int) -> None:
    narrow = {"channel": ChannelSettings(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(BunchedEvents(manager_settings(**narrow), seed), seed).violated_rules
