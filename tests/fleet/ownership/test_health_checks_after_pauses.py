"""Health checks shared by members whose process stands still at chosen or drawn moments."""

import time
from collections import Counter
from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing

from dunlinlug.decision.events import HealthCheckCompleted
from dunlinlug.fleet.ownership.health_check_assignment import task_of
from tests.fixtures.manager_process import until
from tests.fleet.ownership.in_memory_members import LATENCY, InMemoryMembers, running_in_memory
from tests.fleet.ownership.members import CHECK_DURATION, TIMING, OwnershipMembers

NAMES = "abcde"
WORKERS = [f"w{number}" for number in range(24)]
PAUSE = TIMING.lease + 0.1  # seconds; longer than every lease
# Seconds for which a starved process at most stands still, and runs in between.
STARVED_PAUSE = 0.05
STARVED_RUN = 0.01
ONE_CHECK_EACH = Counter(dict.fromkeys(WORKERS, 1))
ONE_RESULT_EACH = Counter(dict.fromkeys(NAMES, len(WORKERS)))


async def expect_one_check_and_result_each(members: InMemoryMembers) -> None:
    """Waits for all results; fails on any further check or result within a lease."""
    await until(lambda: members.results == ONE_RESULT_EACH)
    await trio.sleep(TIMING.lease)
    assert members.checks == ONE_CHECK_EACH
    assert members.results == ONE_RESULT_EACH


async def test_results_of_checks_during_which_leases_expired_reach_all_members(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against results that no other member hears of, so that each one checks again."""
    async with running_in_memory(tmp_path, NAMES) as members:
        members.request_all(WORKERS)
        await trio.sleep(CHECK_DURATION / 2)
        assert members.checks == ONE_CHECK_EACH
        assert not members.results
        autojump_clock.jump(PAUSE)
        await expect_one_check_and_result_each(members)


async def test_a_member_that_is_not_the_owner_reports_healthy_workers_only(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with running_in_memory(tmp_path, "abc") as members:
        task = task_of(WORKERS[0])
        owner = members.ownerships["a"].owner_of(task)
        other = next(name for name in members.ownerships if name != owner)
        sent = members.transports[other].sent
        failed = HealthCheckCompleted(WORKERS[0], False, "timeout", CHECK_DURATION)
        members.coordinators[other].check_completed(failed)
        assert sent["Effect"] == 0
        healthy = HealthCheckCompleted(WORKERS[0], True, "ok", CHECK_DURATION)
        members.coordinators[other].check_completed(healthy)
        assert sent["Effect"] == 2
        await trio.sleep(2 * LATENCY)
        known = members.coordinators[owner].shared_checks.results[WORKERS[0]]
        assert known.healthy, "accepted without a token"


async def test_a_member_of_an_earlier_version_takes_results_of_owners_only(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """An earlier version makes the fencing check of results as of any effect."""
    async with running_in_memory(tmp_path, "abc") as members:
        owner = members.ownerships["a"].owner_of(task_of(WORKERS[0]))
        other, earlier = (name for name in members.ownerships if name != owner)
        members.ownerships[earlier].executor.unfenced_kinds.clear()
        results = members.coordinators[earlier].shared_checks.results
        completed = HealthCheckCompleted(WORKERS[0], True, "ok", CHECK_DURATION)
        members.coordinators[other].check_completed(completed)
        await trio.sleep(4 * LATENCY)
        assert not results
        assert members.ownerships[other].counters["refused_by_others"] == 1
        members.coordinators[owner].check_completed(completed)
        await trio.sleep(4 * LATENCY)
        assert list(results) == [WORKERS[0]]


async def test_requests_to_an_owner_whose_lease_has_expired_lead_to_one_check(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against owners that ignore requests between two leases: all members then check."""
    async with running_in_memory(tmp_path, NAMES) as members:
        autojump_clock.jump(PAUSE)
        members.request_all(WORKERS)
        await expect_one_check_and_result_each(members)


async def test_a_request_that_comes_after_the_check_is_answered_to_its_sender_alone(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against messages in proportion to the square of the members in a starved process."""
    async with running_in_memory(tmp_path, NAMES) as members:
        task = task_of(WORKERS[0])
        owner = members.ownerships["a"].owner_of(task)
        other = next(name for name in NAMES if name != owner)
        sent = members.transports[owner].sent
        members.coordinators[other].request(WORKERS[0])
        await until(lambda: members.results[other] == 1)
        assert sent["Effect"] == len(NAMES) - 1, "all members learn of the check"
        members.ownerships[other].request_work(task, WORKERS[0].encode())
        await trio.sleep(4 * LATENCY)
        assert sent["Effect"] == len(NAMES), "only the sender is told once more"
    assert members.checks == Counter([WORKERS[0]])


async def stand_still_again_and_again(seed: int) -> None:
    """Blocks the process for drawn times, as if other processes had taken its processor."""
    rng = Random(seed)
    while True:
        time.sleep(rng.uniform(0.0, STARVED_PAUSE))
        await trio.sleep(rng.uniform(0.0, STARVED_RUN))


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_members_of_a_process_that_is_short_of_cpu_check_a_worker_once(
    five_members: OwnershipMembers, seed: int
) -> None:
    """Guards against fallback checks by members that are slow to read what owners have sent."""
    ownerships = five_members.ownerships.values()
    await until(lambda: min(len(ownership.protocol.held_shards) for ownership in ownerships) >= 51)
    five_members.nursery.start_soon(stand_still_again_and_again, seed)
    await trio.sleep(TIMING.lease)
    for coordinator in five_members.coordinators.values():
        for worker in WORKERS:
            coordinator.request(worker)
    await until(lambda: len(five_members.submitted) == len(NAMES) * len(WORKERS))
    assert five_members.checks == ONE_CHECK_EACH
