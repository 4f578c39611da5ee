"""Decides which manager checks the health of a worker that several managers want checked.

Free of I/O. Each manager's decision module orders its own health checks. An order becomes a request
to the owner of the worker's group. The owner makes one check for all concurrent requests and sends
the result to every member. A result that is fresh enough answers a request at once.

If no result arrives, because the group has no owner or the owner is unreachable, this member makes
a fallback check. Fallback checks are so infrequent that all members together check a worker about
as often as one owner would. An owner's report of a failed check may be caused by a fault between
owner and worker, so before this member's decision module gets such a result, this member makes a
check of its own, at the same low frequency.
"""

from dataclasses import dataclass, replace
from enum import Enum, auto

import xxhash

WORKER_GROUPS = 64  # a few for each member of the largest set, and few enough to list
# A result answers further requests for this long, as a decision waits for its next tick anyway.
FRESH_RESULT_SECONDS = 1.0
OWNER_TIMEOUT_MULTIPLE = 2.0  # check timeouts to wait for the owner's result before a fallback
MAX_RESULT_AGE = 5.0  # seconds; an older result is discarded on arrival
MAX_WORKERS = 4096  # workers whose results and own checks are kept; the oldest are dropped first
# Seconds between this member's own checks of one worker, multiplied by the number of members.
FALLBACK_INTERVAL_PER_MEMBER = 1.0


def task_of(worker: str) -> str:
    """Returns the name of the task of checking the worker's group."""
    return f"probe/{xxhash.xxh32_intdigest(worker.encode()) % WORKER_GROUPS} of {WORKER_GROUPS}"


@dataclass(frozen=True)
class HealthCheckResult:
    """The result of a health check."""

    worker: str
    healthy: bool
    result: str
    duration: float  # seconds
    completed_at: float  # seconds on this member's clock
    confirmed: bool = True  # false for a failed check that only another member has made


class OwnerAction(Enum):
    """What an owner does with a request that no fresh result answers."""

    START_CHECK = auto()
    AWAIT_CHECK = auto()  # a check of the worker is in progress
    IGNORE = auto()  # without a lease this member checked the worker too recently


class RemoteResultUse(Enum):
    """What this member does with another member's result."""

    SUBMIT = auto()  # this member's decision module waits for it
    STORE = auto()
    CHECK_FIRST = auto()  # an own check has to confirm it


class SharedHealthChecks:
    """Tracks the requests, checks and results of one member.

    Times are seconds on this member's clock.

    Attributes:
        timeout: Seconds that one check may take.
        pending_requests: Workers with unanswered requests, and when their fallback checks are due.
        in_progress: Workers that this member is checking.
        results: The last result by worker, oldest first.
        own_checks: When this member last checked each worker without being asked as the owner,
            oldest first.
    """

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self.pending_requests: dict[str, float] = {}
        self.in_progress: set[str] = set()
        self.results: dict[str, HealthCheckResult] = {}
        self.own_checks: dict[str, float] = {}

    def request(self, now: float, worker: str) -> HealthCheckResult | None:
        """Handles a check order of this member's decision module.

        Returns:
            A fresh result, or None if the decision module has to wait for one.
        """
        result = self._fresh_result(now, worker)
        if result is not None and result.confirmed:
            return result
        self.pending_requests[worker] = now + OWNER_TIMEOUT_MULTIPLE * self.timeout
        return None

    def request_as_owner(self, now: float, worker: str) -> HealthCheckResult | OwnerAction:
        """Handles a member's request to this member as the owner.

        Returns:
            A fresh result to answer with at once, or what to do to get one.
        """
        known = self._known_answer(now, worker)
        if known is not None:
            return known
        self.in_progress.add(worker)
        return OwnerAction.START_CHECK

    def request_between_leases(
        self, now: float, worker: str, members: int
    ) -> HealthCheckResult | OwnerAction:
        """Handles a request to this member as the owner by its log whose lease has expired.

        Another member may own the group already, so a check is this member's own, and as infrequent
        as its fallback checks. `members` is the number of members.

        Returns:
            A fresh result to answer with at once, or what to do to get one.
        """
        known = self._known_answer(now, worker)
        if known is not None:
            return known
        if self._next_allowed_at(worker, members) > now:
            return OwnerAction.IGNORE
        self._start_check(now, worker)
        return OwnerAction.START_CHECK

    def _known_answer(self, now: float, worker: str) -> HealthCheckResult | OwnerAction | None:
        """Returns what answers a request without a new check, or None."""
        result = self._fresh_result(now, worker)
        if result is not None:
            return result
        return OwnerAction.AWAIT_CHECK if worker in self.in_progress else None

    def _fresh_result(self, now: float, worker: str) -> HealthCheckResult | None:
        result = self.results.get(worker)
        if result is not None and now - result.completed_at < FRESH_RESULT_SECONDS:
            return result
        return None

    def record_own_result(self, result: HealthCheckResult) -> bool:
        """Records the result of an own check; returns whether the decision module waits for it."""
        self.in_progress.discard(result.worker)
        return self._store_result(result)

    def record_remote_result(
        self, result: HealthCheckResult, now: float, members: int
    ) -> RemoteResultUse:
        """Records another member's result, or returns that an own check must come first.

        `members` is the number of members.
        """
        if not result.healthy:
            if result.worker not in self.pending_requests:
                self._store_result(replace(result, confirmed=False))
                return RemoteResultUse.STORE
            if result.worker in self.in_progress:
                return RemoteResultUse.STORE  # the own check in progress will answer the request
            if self._next_allowed_at(result.worker, members) <= now:
                self._start_check(now, result.worker)
                return RemoteResultUse.CHECK_FIRST
        awaited = self._store_result(result)
        return RemoteResultUse.SUBMIT if awaited else RemoteResultUse.STORE

    def _store_result(self, result: HealthCheckResult) -> bool:
        """Stores a result and clears its worker's request; returns whether there was one.

        Several members send results, so that one can arrive after a later one: the later is kept.
        """
        previous = self.results.pop(result.worker, result)
        self.results[result.worker] = max(previous, result, key=lambda known: known.completed_at)
        if len(self.results) > MAX_WORKERS:
            del self.results[next(iter(self.results))]
        return self.pending_requests.pop(result.worker, None) is not None

    def _next_allowed_at(self, worker: str, members: int) -> float:
        """Returns when this member may next check a worker without being asked as the owner."""
        interval = FALLBACK_INTERVAL_PER_MEMBER * members
        return self.own_checks.get(worker, -interval) + interval

    def _start_check(self, now: float, worker: str) -> None:
        self.own_checks.pop(worker, None)
        self.own_checks[worker] = now
        if len(self.own_checks) > MAX_WORKERS:
            del self.own_checks[next(iter(self.own_checks))]
        self.in_progress.add(worker)

    def postpone_fallbacks(self, delay: float) -> None:
        """Postpones the fallback checks of all unanswered requests by some seconds."""
        for worker in self.pending_requests:
            self.pending_requests[worker] += delay

    def overdue(self, now: float, members: int) -> list[str]:
        """Starts fallback checks of workers whose requests were not answered in time.

        A worker that this member checked too recently is postponed until a check is allowed again.

        Returns:
            The workers to check now.
        """
        due = []
        for worker, fallback_at in list(self.pending_requests.items()):
            if fallback_at > now or worker in self.in_progress:
                continue
            allowed_at = self._next_allowed_at(worker, members)
            if allowed_at > now:
                self.pending_requests[worker] = allowed_at
                continue
            self._start_check(now, worker)
            due.append(worker)
        return due
