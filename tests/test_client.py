"""The client library: a txn by the tables held, and the age of what is held."""

from random import Random

import pytest
import trio

from dunlinlug.client import Carrier, Follower, Holdings, Tally, Tried
from dunlinlug.xds.read import Table
from dunlinlug.xds.render import Way


def carrier(way: int, level: float = 1.0, workers: int = 4, per_try: float = 0.0) -> Carrier:
    holdings = Holdings()
    holdings.tables = {
        "t": Table("t", {f"w{n}": 1.0 for n in range(workers)}, levels={"book": level})
    }
    holdings.routes = {"book": ("t", Way(way, per_try))}
    return Carrier(holdings, Tally("p", "north"), Random(1))


@pytest.mark.parametrize(
    ("way", "ran", "tries"),
    [
        (0, False, 1),
        (0, True, 1),
        (1, False, 2),
        (1, True, 1),
        (2, False, 2),
        (2, True, 2),
        (3, True, 3),
    ],
)
async def test_further_tries_are_what_the_way_allows_each_at_another_worker(
    way: int, ran: bool, tries: int
) -> None:
    seen = list[str]()

    async def attempt(worker: str, left: float, n: int) -> Tried:
        assert n == len(seen) and worker not in seen
        seen.append(worker)
        return Tried(False, ran)

    it = carrier(way)
    carried = await it.carry("book", trio.current_time() + 5.0, attempt)
    assert len(seen) == tries and not carried.settled and carried.proof == (not ran)
    taken = it.tally.take(2.0)
    assert (
        taken.products == {"book": (1, 1)}
        and sum(at.voided for at in taken.workers.values()) == tries
    )


async def test_a_txn_given_up_on_is_answered_at_once_and_is_no_proof() -> None:
    async def attempt(worker: str, left: float, n: int) -> Tried:
        await trio.sleep_forever()
        raise AssertionError

    began = trio.current_time()
    carried = await carrier(3).carry("book", began + 0.2, attempt)
    assert not carried.settled and not carried.proof and trio.current_time() - began < 1.0
    began = trio.current_time()
    carried = await carrier(2, per_try=0.05).carry("book", began + 5.0, attempt)
    assert not carried.proof and trio.current_time() - began < 1.0, "two tries of their own bound"


async def test_what_is_not_let_in_or_has_no_worker_is_proof_that_nothing_ran() -> None:
    async def attempt(worker: str, left: float, n: int) -> Tried:
        raise AssertionError("not to be tried")

    ends = trio.current_time() + 5.0
    shut = carrier(0, workers=1)
    shut.holdings.out = frozenset({"w0"})
    for it, why, product in (
        (carrier(0, level=0.0), "level", "book"),
        (shut, "nobody", "book"),
        (carrier(0), "starting", "tea"),
    ):
        carried = await it.carry(product, ends, attempt)
        assert (carried.settled, carried.proof, carried.why) == (False, True, why)


async def test_with_no_manager_in_reach_it_says_how_long_it_has_heard_nothing() -> None:
    follower = Follower(
        "p", "north", [("127.0.0.1", 9)], Holdings(), Tally("p", "north"), redial=0.05
    )
    with trio.move_on_after(0.2):
        await follower.run()
    assert follower.silence() is None
    follower.heard_at = trio.current_time() - 3.0
    silence = follower.silence()
    assert silence is not None and 3.0 <= silence < 4.0
