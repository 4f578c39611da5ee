"""Decisions on shared health checks."""

from collections import Counter

from dunlinlug.fleet.ownership.health_check_assignment import (
    WORKER_GROUPS,
    HealthCheckResult,
    OwnerAction,
    RemoteResultUse,
    SharedHealthChecks,
    task_of,
)


def test_unanswered_requests_lead_to_infrequent_fallback_checks() -> None:
    shared = SharedHealthChecks(0.4)
    assert shared.request(0.0, "w") is None
    assert shared.overdue(0.5, 5) == []
    assert shared.overdue(0.9, 5) == ["w"]
    assert shared.overdue(0.9, 5) == [], "the check is in progress"
    result = HealthCheckResult("w", True, "ok", 0.1, 1.0)
    assert shared.record_own_result(result)
    assert not shared.record_own_result(result)
    assert shared.request(1.5, "w") == result
    assert shared.request(2.5, "w") is None
    times = [n / 10 for n in range(25, 200) if shared.overdue(n / 10, 5)]
    assert times == [5.9], "with five members each checks once in five seconds"
    assert shared.request_as_owner(20.0, "x") is OwnerAction.START_CHECK
    assert shared.request_as_owner(20.1, "x") is OwnerAction.AWAIT_CHECK
    assert shared.request_as_owner(1.9, "w") == result


def test_an_owners_failed_check_is_confirmed_by_an_own_check() -> None:
    """An owner that is cut off from a worker reports failed checks to all members. Each of them
    checks the worker itself first, as infrequently as without an owner.
    """
    shared = SharedHealthChecks(0.4)
    failed = HealthCheckResult("w", False, "timeout", 0.4, 10.0)
    assert shared.record_remote_result(failed, 10.0, 3) is RemoteResultUse.STORE, (
        "no request waits for it on this member"
    )
    shared.request(20.0, "w")
    assert shared.record_remote_result(failed, 20.1, 3) is RemoteResultUse.CHECK_FIRST
    assert shared.record_remote_result(failed, 20.2, 3) is RemoteResultUse.STORE
    healthy = HealthCheckResult("w", True, "ok", 0.1, 20.3)
    assert shared.record_own_result(healthy)
    assert shared.request(20.5, "w") == healthy
    shared.request(22.0, "w")
    assert shared.record_remote_result(failed, 22.1, 3) is RemoteResultUse.SUBMIT, (
        "this member has checked within three seconds, so the owner's result counts"
    )
    shared.request(24.0, "w")
    assert shared.record_remote_result(failed, 24.1, 3) is RemoteResultUse.CHECK_FIRST
    shared.request(30.0, "x")
    answered = HealthCheckResult("x", True, "ok", 0.1, 30.1)
    assert shared.record_remote_result(answered, 30.1, 3) is RemoteResultUse.SUBMIT, (
        "a healthy result needs no confirmation"
    )


def test_between_leases_an_owner_checks_as_infrequently_as_without_a_request() -> None:
    shared = SharedHealthChecks(0.4)
    assert shared.request_between_leases(10.0, "w", 3) is OwnerAction.START_CHECK
    assert shared.request_between_leases(10.1, "w", 3) is OwnerAction.AWAIT_CHECK
    result = HealthCheckResult("w", True, "ok", 0.1, 10.2)
    shared.record_own_result(result)
    assert shared.request_between_leases(10.3, "w", 3) == result
    assert shared.request_between_leases(12.9, "w", 3) is OwnerAction.IGNORE
    assert shared.request_as_owner(12.9, "w") is OwnerAction.START_CHECK
    shared.record_own_result(HealthCheckResult("w", True, "ok", 0.1, 13.0))
    assert shared.request_between_leases(15.0, "w", 3) is OwnerAction.START_CHECK


def test_an_owners_failed_check_answers_no_later_request_without_an_own_check() -> None:
    """Guards against a report that came just before this member's decision module asked."""
    shared = SharedHealthChecks(0.4)
    failed = HealthCheckResult("w", False, "timeout", 0.4, 10.0)
    shared.record_remote_result(failed, 10.0, 3)
    assert shared.request(10.5, "w") is None
    assert shared.record_remote_result(failed, 10.6, 3) is RemoteResultUse.CHECK_FIRST
    confirmed = HealthCheckResult("w", False, "timeout", 0.4, 11.0)
    assert shared.record_own_result(confirmed)
    assert shared.request(11.5, "w") == confirmed


def test_of_two_results_the_later_is_kept_in_whatever_order_they_arrive() -> None:
    shared = SharedHealthChecks(0.4)
    later = HealthCheckResult("w", True, "ok", 0.1, 10.0)
    earlier = HealthCheckResult("w", False, "timeout", 0.4, 9.9)
    shared.record_remote_result(later, 10.1, 3)
    shared.record_remote_result(earlier, 10.2, 3)
    assert shared.request(10.3, "w") == later


def test_workers_are_spread_evenly_over_the_groups() -> None:
    sizes = Counter(task_of(f"10.0.0.{number}:80") for number in range(6400))
    assert len(sizes) == WORKER_GROUPS
    assert max(sizes.values()) < 150
    assert min(sizes.values()) > 60
