"""A follower's module decides like the leader's, from a snapshot and from batches."""

from random import Random

import pytest

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.settings import ChannelSettings
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.election.serialization import ObjectSerializer, SerializationError, WireForm
from tests.decision.rules_model import Model, endpoint, manager_settings, run
from tests.decision.state.test_state_models import check_groups


def snapshot_of(module: Balancer) -> replicated_state.ReplicaSnapshot:
    return replicated_state.ReplicaSnapshot(0.0, 3, {}, set(), {}, {"p0": 0}, [(1.5, 2)], b"[]")


@pytest.mark.parametrize("seed", range(8))
def test_a_module_from_a_snapshot_orders_what_the_leader_would(seed: int) -> None:
    settings = manager_settings(
        **({"channel": ChannelSettings(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {})
    )
    model = run(Model(settings), seed, 200, overrides=0.02)
    follower, snapshot = replicated_state.deserialize_snapshot(
        replicated_state.serialize_snapshot(model.module, snapshot_of(model.module)), settings
    )
    assert snapshot.proxy_numbers == {"p0": 0} and snapshot.timers == [(1.5, 2)]
    leader, rng, now = model.module, Random(seed), model.now
    for _ in range(200):
        now += 0.1
        acknowledgements = [
            Acknowledged(number, request, 0.1)
            for number, proxy in leader.state.assignments.proxies.items()
            for request in {
                request
                for versions in proxy.tables_in_use.values()
                for _, request in versions
                if request
            }
        ]
        events = [
            *rng.sample(acknowledgements, min(len(acknowledgements), 3)),
            DemandReported(1, "book", rng.randrange(20), 0, 0.5),
            EndpointReported(
                "north", f"10.0.0.{rng.randrange(9)}:80", 9, rng.choice([0, 0, 9]), 0.2, 0.5
            ),
        ]
        if rng.random() < 0.2:
            number = rng.randrange(8)
            events.append(
                ProxyDisconnected(number)
                if number in leader.state.assignments.proxies
                else ProxyConnected(number, "north", 5.0, True)
            )
        if rng.random() < 0.2:
            since, state = rng.choice([None, now]), rng.choice(["ready", "draining", "gone"])
            events.append(EndpointsUpdated("changes", (endpoint(rng.randrange(14), state, since),)))
        batch = replicated_state.deserialize_batch(
            replicated_state.serialize_batch(replicated_state.ReplicatedBatch(now, events, [1], {}))
        )
        assert batch.events == events and batch.rejected_indexes == [1]
        assert follower.decide(batch.now, batch.events) == leader.decide(now, events)
        check_groups(follower.state.assignments)


def test_proxies_of_the_previous_leader_leave_the_module() -> None:
    settings = manager_settings()
    model = run(Model(settings), 5, 100)
    successor, _ = replicated_state.deserialize_snapshot(
        replicated_state.serialize_snapshot(model.module, snapshot_of(model.module)), settings
    )
    assert successor.state.assignments.proxies
    successor.decide(model.now + 0.1, replicated_state.disconnection_events(successor))
    assert not successor.state.assignments.proxies and not successor.state.budget.awaited_acks
    assert not replicated_state.disconnection_events(object())


def test_bytes_that_are_no_snapshot_of_these_settings_are_rejected() -> None:
    module = Balancer(manager_settings())
    data = replicated_state.serialize_snapshot(module, snapshot_of(module))
    with pytest.raises(SerializationError, match="made with other settings"):
        replicated_state.deserialize_snapshot(
            data, manager_settings(channel=ChannelSettings(1.0, 4.0, 900.0, 0.2, 0.5))
        )
    with pytest.raises(SerializationError, match="has no wire form"):
        ObjectSerializer(WireForm(ProxyDisconnected, "Left", {"proxy": "proxy"})).serialize(
            Random(1)
        )
    rng = Random(7)
    for case in range(300):
        damaged = (
            data[: rng.randrange(len(data))]
            if case % 2
            else bytes(byte ^ (rng.randrange(256) if rng.random() < 0.01 else 0) for byte in data)
        )
        try:
            replicated_state.deserialize_snapshot(damaged, manager_settings())
        except SerializationError:
            continue
        except (KeyError, TypeError, AttributeError, ValueError) as error:
            raise AssertionError(f"{type(error).__name__} instead of SerializationError") from error
