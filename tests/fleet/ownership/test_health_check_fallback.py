"""When a member checks a worker itself because no owner answers, on a clock that the test moves."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from math import ceil
from typing import Any

import trio
import trio.testing

from dunlinlug.fleet.ownership.shared_health_checks import POLL_INTERVAL, HealthCheckCoordinator

CHECK_TIMEOUT = 0.1
FALLBACK_AFTER = 2 * CHECK_TIMEOUT
POLLS_BEFORE_FALLBACK = ceil(FALLBACK_AFTER / POLL_INTERVAL) + 1
BUSY_SECONDS = 0.06  # in which a busy process runs no other task


class OwnerElsewhere:
    """Ownership of a member that holds no task; the owner never answers."""

    def __init__(self) -> None:
        self.requested: list[str] = []
        self.polls = 0

    def clock(self) -> float:
        return trio.current_time()

    def handle_requests(self, kind: str, handler: Callable[..., Any]) -> None:
        pass

    def handle_unfenced_effects(self, kind: str, handler: Callable[..., Any]) -> None:
        pass

    def request_work(self, task: str, body: bytes) -> None:
        self.requested.append(body.decode())

    def member_count(self) -> int:
        self.polls += 1
        return 3


@asynccontextmanager
async def running_coordinator(checked: list[str]) -> AsyncIterator[HealthCheckCoordinator]:
    """Runs a coordinator that records in `checked` which workers it checks."""

    async def check(worker: str) -> None:
        checked.append(worker)

    async with trio.open_nursery() as nursery:

        def start_task(task: Callable[[str], Awaitable[None]], worker: str) -> None:
            nursery.start_soon(task, worker)

        coordinator = HealthCheckCoordinator(
            OwnerElsewhere(),  # type: ignore[arg-type]
            CHECK_TIMEOUT,
            check,
            lambda _event: None,
            start_task,
        )
        nursery.start_soon(coordinator.run)
        await trio.testing.wait_all_tasks_blocked()
        yield coordinator
        nursery.cancel_scope.cancel()


async def expect_fallback_after_silence(clock: trio.testing.MockClock, checked: list[str]) -> None:
    """Lets the process run without delays until the wait for the owner is over."""
    for _ in range(POLLS_BEFORE_FALLBACK):
        clock.jump(POLL_INTERVAL)
        await trio.testing.wait_all_tasks_blocked()
    assert checked == ["w1"], "an owner that is silent while the process runs is not waited for"


async def test_the_time_in_which_a_process_did_not_run_is_not_the_owners_silence(
    mock_clock: trio.testing.MockClock,
) -> None:
    """Guards against fallback checks by a process that was starved or stopped for a while."""
    checked: list[str] = []
    async with running_coordinator(checked) as coordinator:
        coordinator.request("w1")
        mock_clock.jump(POLL_INTERVAL + 0.5)  # no task of the process ran for half a second
        await trio.testing.wait_all_tasks_blocked()
        assert checked == []
        await expect_fallback_after_silence(mock_clock, checked)


async def test_without_unanswered_requests_nothing_is_polled(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with running_coordinator([]) as coordinator:
        owner = coordinator.ownership
        assert isinstance(owner, OwnerElsewhere)
        for _ in range(POLLS_BEFORE_FALLBACK):
            mock_clock.jump(POLL_INTERVAL)
            await trio.testing.wait_all_tasks_blocked()
        assert owner.polls == 0
        coordinator.request("w1")
        await trio.testing.wait_all_tasks_blocked()
        assert owner.polls == 1


async def test_a_process_that_is_busy_does_not_take_its_delay_for_the_owners_silence(
    mock_clock: trio.testing.MockClock,
) -> None:
    """Guards against fallback checks by a process that runs, but late, for longer than the wait."""
    checked: list[str] = []
    async with running_coordinator(checked) as coordinator:
        coordinator.request("w1")
        for _ in range(3):
            waited = 0.0
            while waited < FALLBACK_AFTER:
                mock_clock.jump(BUSY_SECONDS)
                await trio.testing.wait_all_tasks_blocked()
                waited += BUSY_SECONDS
        assert checked == []
        await expect_fallback_after_silence(mock_clock, checked)
