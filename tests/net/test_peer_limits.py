"""Limits on what all peers of a listener use together, against plain models."""

from random import Random

import pytest
import trio
import trio.testing

from dunlinlug.net.peer_limits import ByteBudget, ConnectionTable, TokenBucket
from dunlinlug.net.shared_turn import BURST_S, SharedTurn


@pytest.mark.parametrize("seed", range(5))
def test_the_sum_of_all_peers_is_kept_by_ending_the_largest(seed: int) -> None:
    rng, budget, model = Random(seed), ByteBudget[int](1000), dict[int, int]()
    for _ in range(2000):
        peer = rng.randrange(30)
        model[peer] = rng.choice([0, rng.randrange(20), rng.randrange(300)])
        budget.set_bytes(peer, model[peer])
        while (largest := budget.take_largest()) is not None:
            assert sum(model.values()) > 1000
            assert model[largest] == max(model.values())
            model[largest] = 0
        assert budget.total == sum(model.values()) <= 1000
        assert budget.bytes_by_peer == {peer: size for peer, size in model.items() if size}


@pytest.mark.parametrize("seed", range(5))
def test_the_oldest_new_connection_gives_way_and_an_established_one_never(seed: int) -> None:
    rng, table = Random(seed), ConnectionTable[int](12, 5)
    new, established = list[int](), set[int]()
    for connection in range(2000):
        surplus = table.add(connection, float(connection))
        new.append(connection)
        is_over = len(new) > 5 or len(new) + len(established) > 12
        assert surplus == (new.pop(0) if is_over else None)
        if new and rng.random() < 0.4:
            chosen = new.pop(rng.randrange(len(new)))
            established.add(chosen)
            table.establish(chosen)
        if established and rng.random() < 0.3:
            ended = rng.choice(sorted(established))
            established.discard(ended)
            table.remove(ended)
        assert list(table.new_connections) == new and table.established == established
        assert len(new) <= 5 and len(new) + len(established) <= 12


def test_a_new_connection_has_its_grace_before_it_gives_way() -> None:
    table = ConnectionTable[str](10, 2, grace=0.25)
    assert table.seconds_until_room(0.0) == 0.0
    table.add("a", 0.0)
    table.add("b", 0.1)
    assert table.seconds_until_room(0.2) == pytest.approx(0.05)
    assert table.seconds_until_room(0.3) == 0.0
    assert table.add("c", 0.3) == "a"
    table.establish("b")
    assert table.seconds_until_room(0.3) == 0.0, "an established one takes no place of a new one"


def test_a_burst_goes_at_once_and_the_rest_at_the_rate() -> None:
    bucket = TokenBucket(3, 10.0)
    for start in (100.0, 200.0):
        now, happened_at = start, list[float]()
        for _ in range(6):
            now += bucket.seconds_until_free(now)
            bucket.take(now)
            happened_at.append(now - start)
        assert happened_at == pytest.approx([0.0, 0.0, 0.0, 0.1, 0.2, 0.3])


async def test_shared_turns_use_half_of_the_time_after_a_burst(
    mock_clock: trio.testing.MockClock,
) -> None:
    turn, begun = SharedTurn(), list[float]()

    async def work() -> None:
        async with turn.turn():
            begun.append(trio.current_time())
            mock_clock.jump(0.05)

    mock_clock.autojump_threshold = 0
    async with trio.open_nursery() as nursery:
        for _ in range(40):
            nursery.start_soon(work)
    elapsed = [at - begun[0] for at in begun]
    assert elapsed[:5] == pytest.approx([0.0, 0.05, 0.1, 0.15, 0.2]), "they begin at once"
    for n, at in enumerate(elapsed):
        assert n * 0.05 <= at / 2 + BURST_S
    assert elapsed[-1] <= 2 * 40 * 0.05
