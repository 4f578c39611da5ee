"""Operators' pins: how the module keeps them, when the guard takes or lifts them, and the whole way over HTTP."""

import pytest

from dunlinlug import interface as face
from tests.helpers import Model, trade, worker

FLEET = tuple(worker(n) for n in range(9))
NARROW = face.Channel(100.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)


def settle(model: Model, *events: face.Event, seconds: float = 12.0) -> None:
    model.step(0.1, list(events))
    for _ in range(round(seconds / 0.1)):
        model.step(0.1, [])


def lines(model: Model, product: int) -> list[dict[str, float]]:
    """Each proxy's table for a product, as applied."""
    return [held[product][1] for held in model.holds.values()]


@pytest.mark.parametrize("channel", [trade().channel, NARROW])
def test_a_pin_sets_one_product_apart_and_its_end_brings_it_back(channel: face.Channel) -> None:
    """Also where the channel is too slow for whole tables, and equal products share one."""
    model = Model(trade(channel=channel))
    settle(model, face.Listed("kept", FLEET), *(face.Joined(p, "north", 5.0, True) for p in range(6)))
    whole = {w.id: 1.0 for w in FLEET}
    for pin, pinned in (
            (face.Pinned(1, ((FLEET[0].id, 1.0), (FLEET[4].id, 2.0)), False), {FLEET[0].id: 1.0, FLEET[4].id: 2.0}),
            (face.Pinned(1, ((FLEET[3].id, 0.0), (FLEET[4].id, 0.5)), True),
             {w: 0.5 if w == FLEET[4].id else 1.0 for w in whole if w != FLEET[3].id}),
            (face.Pinned(1), whole)):
        settle(model, pin)
        assert lines(model, 1) == [pinned] * 6
        assert lines(model, 0) == [whole] * 6
    assert not model.broken


def test_a_pin_and_drains_that_leave_nothing_of_it_give_way_at_once() -> None:
    model = Model(trade())
    settle(model, face.Listed("kept", FLEET), *(face.Joined(p, "north", 5.0, True) for p in range(6)))
    settle(model, face.Pinned(0, tuple((w.id, 1.0) for w in FLEET[:2]), False))
    settle(model, face.Listed("changes", tuple(worker(n, "draining") for n in range(2))), seconds=2.0)
    assert all(set(held) == {w.id for w in FLEET[2:]} for held in lines(model, 0))
    assert not model.broken


def test_a_pin_leaves_the_ramp_as_it_is() -> None:
    model = Model(trade())
    settle(model, face.Listed("kept", FLEET), face.Joined(0, "north", 5.0, True))
    settle(model, face.Pinned(0, ((FLEET[0].id, 1.0), (FLEET[1].id, 2.0)), False))
    settle(model, face.Listed("changes", (worker(1, since=model.now),)), seconds=3.0)
    held = lines(model, 0)[0]
    assert held[FLEET[0].id] == 1.0 and held.get(FLEET[1].id, 0.0) <= 0.5, "a quarter of what is pinned"


def test_a_joiner_under_pins_gets_none_of_the_excluded() -> None:
    model = Model(trade(channel=NARROW))
    settle(model, face.Listed("kept", FLEET), *(face.Joined(p, "north", 5.0, True) for p in range(6)))
    settle(model, face.Pinned(1, ((FLEET[2].id, 0.0),), True))
    model.step(0.1, [face.Joined(7, "south", 5.0, True)])
    for _ in range(100):
        model.step(0.1, [])
        held = model.holds[7].get(1)
        assert held is None or FLEET[2].id not in held[1]
    assert 1 in model.holds[7]
