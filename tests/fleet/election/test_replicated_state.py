"""A successor's module goes on exactly as the master's would have, from the whole and from batches."""

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


def standing(module: Balancer) -> replicated_state.ReplicaSnapshot:
    return replicated_state.ReplicaSnapshot(0.0, 3, {}, set(), {}, {"p0": 0}, [(1.5, 2)], b"[]")


@pytest.mark.parametrize("seed", range(8))
def test_a_module_from_the_whole_orders_what_the_master_would(seed: int) -> None:
    what = manager_settings(
        **({"channel": ChannelSettings(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {})
    )
    model = run(Model(what), seed, 200, overrides=0.02)
    twin, found = replicated_state.deserialize_snapshot(
        replicated_state.serialize_snapshot(model.module, standing(model.module)), what
    )
    assert found.proxy_numbers == {"p0": 0} and found.timers == [(1.5, 2)]
    first, chance, now = model.module, Random(seed), model.now
    for _ in range(200):
        now += 0.1
        marks = [
            Acknowledged(p, mark, 0.1)
            for p, proxy in first.state.assignments.proxies.items()
            for mark in {mark for held in proxy.tables_in_use.values() for _, mark in held if mark}
        ]
        events = [
            *chance.sample(marks, min(len(marks), 3)),
            DemandReported(1, "book", chance.randrange(20), 0, 0.5),
            EndpointReported(
                "north", f"10.0.0.{chance.randrange(9)}:80", 9, chance.choice([0, 0, 9]), 0.2, 0.5
            ),
        ]
        if chance.random() < 0.2:
            p = chance.randrange(8)
            events.append(
                ProxyDisconnected(p)
                if p in first.state.assignments.proxies
                else ProxyConnected(p, "north", 5.0, True)
            )
        if chance.random() < 0.2:
            since, state = chance.choice([None, now]), chance.choice(["ready", "draining", "gone"])
            events.append(
                EndpointsUpdated("changes", (endpoint(chance.randrange(14), state, since),))
            )
        batch = replicated_state.deserialize_batch(
            replicated_state.serialize_batch(replicated_state.ReplicatedBatch(now, events, [1], {}))
        )
        assert batch.events == events and batch.rejected_indexes == [1]
        assert twin.decide(batch.now, batch.events) == first.decide(now, events)
        check_groups(twin.state.assignments)


def test_who_was_joined_with_the_former_master_leaves_our_module() -> None:
    what = manager_settings()
    model = run(Model(what), 5, 100)
    twin, _ = replicated_state.deserialize_snapshot(
        replicated_state.serialize_snapshot(model.module, standing(model.module)), what
    )
    assert twin.state.assignments.proxies
    twin.decide(model.now + 0.1, replicated_state.disconnect_all(twin))
    assert not twin.state.assignments.proxies and not twin.state.budget.awaited_acks
    assert not replicated_state.disconnect_all(object())


def test_what_is_not_ours_is_refused() -> None:
    module = Balancer(manager_settings())
    whole = replicated_state.serialize_snapshot(module, standing(module))
    with pytest.raises(SerializationError, match="another trade"):
        replicated_state.deserialize_snapshot(
            whole, manager_settings(channel=ChannelSettings(1.0, 4.0, 900.0, 0.2, 0.5))
        )
    with pytest.raises(SerializationError, match="not a class that travels"):
        ObjectSerializer(WireForm(ProxyDisconnected, "Left", {"proxy": "proxy"})).serialize(
            Random(1)
        )
    chance = Random(7)
    for n in range(300):
        cut = (
            whole[: chance.randrange(len(whole))]
            if n % 2
            else bytes(b ^ (chance.randrange(256) if chance.random() < 0.01 else 0) for b in whole)
        )
        try:
            replicated_state.deserialize_snapshot(cut, manager_settings())
        except SerializationError:
            continue
        except (KeyError, TypeError, AttributeError, ValueError) as fault:
            raise AssertionError(f"{type(fault).__name__} came through") from fault
