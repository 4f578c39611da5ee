"""Dispatching one request: retries, the deadline, and requests that are not attempted."""

from collections.abc import Callable
from random import Random

import pytest
import trio

from dunlinlug.client import AttemptResult, ProxyState, ReportAccumulator, RequestDispatcher
from dunlinlug.xds.decoding import DecodedTable
from dunlinlug.xds.encoding import RetryPolicy

MakeDispatcher = Callable[..., RequestDispatcher]


@pytest.fixture
def make_dispatcher() -> MakeDispatcher:
    """A function that builds a dispatcher with one table for the traffic class "book"."""

    def make(
        retry_mode: int,
        admitted_fraction: float = 1.0,
        workers: int = 4,
        attempt_timeout: float = 0.0,
    ) -> RequestDispatcher:
        state = ProxyState()
        weights = {f"w{number}": 1.0 for number in range(workers)}
        state.tables = {
            "t": DecodedTable("t", weights, admitted_fractions={"book": admitted_fraction})
        }
        state.routes = {"book": ("t", RetryPolicy(retry_mode, attempt_timeout))}
        return RequestDispatcher(state, ReportAccumulator("p", "north"), Random(1))

    return make


@pytest.mark.parametrize(
    ("retry_mode", "may_have_run", "attempts"),
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
async def test_retries_follow_the_policy_and_each_uses_another_worker(
    make_dispatcher: MakeDispatcher, retry_mode: int, may_have_run: bool, attempts: int
) -> None:
    attempted = list[str]()

    async def attempt(worker: str, remaining: float, attempt_number: int) -> AttemptResult:
        assert attempt_number == len(attempted) and worker not in attempted
        attempted.append(worker)
        return AttemptResult(False, may_have_run)

    dispatcher = make_dispatcher(retry_mode)
    result = await dispatcher.dispatch("book", trio.current_time() + 5.0, attempt)
    assert len(attempted) == attempts and not result.succeeded
    assert result.not_executed == (not may_have_run)
    report = dispatcher.accumulator.take_report(2.0)
    assert report.traffic_classes == {"book": (1, 1)}
    assert sum(statistics.failed for statistics in report.workers.values()) == attempts


async def test_a_request_abandoned_at_its_deadline_may_have_been_executed(
    make_dispatcher: MakeDispatcher,
) -> None:
    async def attempt(worker: str, remaining: float, attempt_number: int) -> AttemptResult:
        await trio.sleep_forever()
        raise AssertionError

    started = trio.current_time()
    result = await make_dispatcher(3).dispatch("book", started + 0.2, attempt)
    assert not result.succeeded and not result.not_executed
    assert trio.current_time() - started < 1.0
    started = trio.current_time()
    dispatcher = make_dispatcher(2, attempt_timeout=0.05)
    result = await dispatcher.dispatch("book", started + 5.0, attempt)
    assert not result.not_executed
    assert trio.current_time() - started < 1.0, "two attempts, each limited by the attempt timeout"


async def test_a_request_not_admitted_or_without_endpoint_is_certainly_not_executed(
    make_dispatcher: MakeDispatcher,
) -> None:
    async def attempt(worker: str, remaining: float, attempt_number: int) -> AttemptResult:
        raise AssertionError("the request must not be attempted")

    deadline = trio.current_time() + 5.0
    all_ejected = make_dispatcher(0, workers=1)
    all_ejected.proxy_state.ejected = frozenset({"w0"})
    for dispatcher, reason, traffic_class in (
        (make_dispatcher(0, admitted_fraction=0.0), "level", "book"),
        (all_ejected, "nobody", "book"),
        (make_dispatcher(0), "starting", "tea"),
    ):
        result = await dispatcher.dispatch(traffic_class, deadline, attempt)
        assert (result.succeeded, result.not_executed, result.reason) == (False, True, reason)
