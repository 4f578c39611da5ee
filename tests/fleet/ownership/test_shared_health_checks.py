"""Health checks shared by members over sockets in one process."""

from collections import Counter

import trio

from tests.fixtures.manager_process import until
from tests.fleet.ownership.members import OwnershipMembers

WORKERS = [f"w{number}" for number in range(24)]


async def test_a_worker_requested_by_five_managers_is_checked_once_and_all_get_the_result(
    five_members: OwnershipMembers,
) -> None:
    ownerships = five_members.ownerships.values()
    await until(lambda: min(len(ownership.protocol.held_shards) for ownership in ownerships) >= 51)
    for coordinator in five_members.coordinators.values():
        for worker in WORKERS:
            coordinator.request(worker)
    await until(lambda: len(five_members.submitted) == 5 * len(WORKERS))
    assert five_members.checks == Counter(dict.fromkeys(WORKERS, 1)), (
        "one check per worker instead of five"
    )
    results_by_member = Counter(name for name, _ in five_members.submitted)
    assert results_by_member == Counter(dict.fromkeys("abcde", len(WORKERS)))
    assert all(coordinator.checks_started for coordinator in five_members.coordinators.values()), (
        "each member made some of the checks"
    )


async def test_without_a_majority_a_member_makes_infrequent_fallback_checks(
    three_members: OwnershipMembers,
) -> None:
    three_members.stop("b")
    three_members.stop("c")
    ownership = three_members.ownerships["a"]
    coordinator = three_members.coordinators["a"]
    await until(lambda: not ownership.protocol.held_shards)
    coordinator.request("w1")
    await until(lambda: bool(three_members.submitted))
    assert three_members.checks["w1"] == 1
    assert ownership.held_token("site/north") is None
    coordinator.shared_checks.results.clear()
    requested_at = trio.current_time()
    coordinator.request("w1")
    await until(lambda: len(three_members.submitted) == 2)
    assert trio.current_time() - requested_at > 2.0, "a third as often as a single owner checks"
