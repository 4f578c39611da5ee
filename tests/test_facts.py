"""A successor's module goes on exactly as the master's would have, from the whole and from batches."""

from random import Random

import pytest

from dunlinlug import interface as face
from dunlinlug.balance import Balancer
from dunlinlug.fleet.succession import facts
from dunlinlug.fleet.succession.plain import Codec, PlainFault, WireForm
from tests.helpers import Model, run, trade, worker
from tests.test_seating import agree


def standing(module: Balancer) -> facts.Standing:
    return facts.Standing(0.0, 3, {}, set(), {}, {"p0": 0}, [(1.5, 2)], b"[]")


@pytest.mark.parametrize("seed", range(8))
def test_a_module_from_the_whole_orders_what_the_master_would(seed: int) -> None:
    what = trade(
        **({"channel": face.Channel(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {})
    )
    model = run(Model(what), seed, 200, pins=0.02)
    twin, found = facts.read_whole(facts.write_whole(model.module, standing(model.module)), what)
    assert found.numbers == {"p0": 0} and found.timers == [(1.5, 2)]
    first, chance, now = model.module, Random(seed), model.now
    for _ in range(200):
        now += 0.1
        marks = [
            face.Answered(p, mark, 0.1)
            for p, proxy in first.seating.proxies.items()
            for mark in {mark for held in proxy.holds.values() for _, mark in held if mark}
        ]
        events = [
            *chance.sample(marks, min(len(marks), 3)),
            face.Asked(1, "book", chance.randrange(20), 0, 0.5),
            face.Met(
                "north", f"10.0.0.{chance.randrange(9)}:80", 9, chance.choice([0, 0, 9]), 0.2, 0.5
            ),
        ]
        if chance.random() < 0.2:
            p = chance.randrange(8)
            events.append(
                face.Left(p) if p in first.seating.proxies else face.Joined(p, "north", 5.0, True)
            )
        if chance.random() < 0.2:
            since, state = chance.choice([None, now]), chance.choice(["ready", "draining", "gone"])
            events.append(face.Listed("changes", (worker(chance.randrange(14), state, since),)))
        batch = facts.read_batch(facts.write_batch(facts.Batch(now, events, [1], {})))
        assert batch.events == events and batch.left_out == [1]
        assert twin.decide(batch.now, batch.events) == first.decide(now, events)
        agree(twin.seating)


def test_who_was_joined_with_the_former_master_leaves_our_module() -> None:
    what = trade()
    model = run(Model(what), 5, 100)
    twin, _ = facts.read_whole(facts.write_whole(model.module, standing(model.module)), what)
    assert twin.seating.proxies
    twin.decide(model.now + 0.1, facts.all_left(twin))
    assert not twin.seating.proxies and not twin.account.asked
    assert not facts.all_left(object())


def test_what_is_not_ours_is_refused() -> None:
    module = Balancer(trade())
    whole = facts.write_whole(module, standing(module))
    with pytest.raises(PlainFault, match="another trade"):
        facts.read_whole(whole, trade(channel=face.Channel(1.0, 4.0, 900.0, 0.2, 0.5)))
    with pytest.raises(PlainFault, match="not a class that travels"):
        Codec(WireForm(face.Left, "Left", {"proxy": "proxy"})).write(Random(1))
    chance = Random(7)
    for n in range(300):
        cut = (
            whole[: chance.randrange(len(whole))]
            if n % 2
            else bytes(b ^ (chance.randrange(256) if chance.random() < 0.01 else 0) for b in whole)
        )
        try:
            facts.read_whole(cut, trade())
        except PlainFault:
            continue
        except (KeyError, TypeError, AttributeError, ValueError) as fault:
            raise AssertionError(f"{type(fault).__name__} came through") from fault
