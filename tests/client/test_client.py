"""The client library: a txn by the tables held, and the age of what is held."""

from random import Random

import pytest
import trio

from dunlinlug.client import (
    AttemptResult,
    ProxyState,
    ReportAccumulator,
    RequestDispatcher,
    TableSubscriber,
)
from dunlinlug.xds.decoding import DecodedTable
from dunlinlug.xds.encoding import RetryPolicy


def carrier(
    way: int, level: float = 1.0, workers: int = 4, per_try: float = 0.0
) -> RequestDispatcher:
    holdings = ProxyState()
    holdings.tables = {
        "t": DecodedTable(
            "t", {f"w{n}": 1.0 for n in range(workers)}, admitted_fractions={"book": level}
        )
    }
    holdings.routes = {"book": ("t", RetryPolicy(way, per_try))}
    return RequestDispatcher(holdings, ReportAccumulator("p", "north"), Random(1))


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

    async def attempt(worker: str, left: float, n: int) -> AttemptResult:
        assert n == len(seen) and worker not in seen
        seen.append(worker)
        return AttemptResult(False, ran)

    it = carrier(way)
    carried = await it.dispatch("book", trio.current_time() + 5.0, attempt)
    assert len(seen) == tries and not carried.succeeded and carried.not_executed == (not ran)
    taken = it.accumulator.take_report(2.0)
    assert (
        taken.traffic_classes == {"book": (1, 1)}
        and sum(at.failed for at in taken.workers.values()) == tries
    )


async def test_a_txn_given_up_on_is_answered_at_once_and_is_no_proof() -> None:
    async def attempt(worker: str, left: float, n: int) -> AttemptResult:
        await trio.sleep_forever()
        raise AssertionError

    began = trio.current_time()
    carried = await carrier(3).dispatch("book", began + 0.2, attempt)
    assert not carried.succeeded and not carried.not_executed and trio.current_time() - began < 1.0
    began = trio.current_time()
    carried = await carrier(2, per_try=0.05).dispatch("book", began + 5.0, attempt)
    assert not carried.not_executed and trio.current_time() - began < 1.0, (
        "two tries of their own bound"
    )


async def test_what_is_not_let_in_or_has_no_worker_is_proof_that_nothing_ran() -> None:
    async def attempt(worker: str, left: float, n: int) -> AttemptResult:
        raise AssertionError("not to be tried")

    ends = trio.current_time() + 5.0
    shut = carrier(0, workers=1)
    shut.proxy_state.ejected = frozenset({"w0"})
    for it, why, product in (
        (carrier(0, level=0.0), "level", "book"),
        (shut, "nobody", "book"),
        (carrier(0), "starting", "tea"),
    ):
        carried = await it.dispatch(product, ends, attempt)
        assert (carried.succeeded, carried.not_executed, carried.reason) == (False, True, why)


async def test_with_no_manager_in_reach_it_says_how_long_it_has_heard_nothing() -> None:
    follower = TableSubscriber(
        "p",
        "north",
        [("127.0.0.1", 9)],
        ProxyState(),
        ReportAccumulator("p", "north"),
        reconnect_interval=0.05,
    )
    with trio.move_on_after(0.2):
        await follower.run()
    assert follower.silence_duration() is None
    follower.last_received_at = trio.current_time() - 3.0
    silence = follower.silence_duration()
    assert silence is not None and 3.0 <= silence < 4.0
