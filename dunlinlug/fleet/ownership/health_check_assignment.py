"""Who checks a worker that several managers ask for: its group's owner, once for all.

Decisions, free of I/O. Each manager's decision module orders health checks of its own. Here an
order becomes a request to the owner of the worker's group, which checks once for all that ask
meanwhile and tells everybody; a result that is fresh enough answers a request at once.

Where no answer comes, as there is no owner or it is cut off, we check ourselves, so seldom that all
members together check as often as one owner would. Where an owner says that a worker does not
answer, the fault may lie between those two: before our decision module learns of it we check
ourselves, just as seldom.
"""

from dataclasses import dataclass
from enum import Enum, auto

import xxhash

WORKER_GROUPS = 64  # a few for each member of the largest set, and few enough to list
# Seconds in which a result answers further requests: a decision waits for its next tick anyway.
FRESH_RESULT_SECONDS = 1.0
OWNER_TIMEOUT_MULTIPLE = 2.0  # timeouts of a check that a request waits for the owner's result
MAX_RESULT_AGE = 5.0  # seconds beyond which a result that comes is not used
MAX_WORKERS = 4096  # of whom results and checks of ours are kept, the oldest out first
# Seconds between our own checks of one worker for each member of the set, where nobody owns it.
FALLBACK_INTERVAL_PER_MEMBER = 1.0


def task_of(worker: str) -> str:
    """The task of checking a worker, which is its group's."""
    return f"probe/{xxhash.xxh32_intdigest(worker.encode()) % WORKER_GROUPS} of {WORKER_GROUPS}"


@dataclass(frozen=True)
class HealthCheckResult:
    """What a health check found."""

    worker: str
    healthy: bool
    result: str
    duration: float  # seconds
    completed_at: float  # seconds on our clock


class OwnerAction(Enum):
    """What an owner does about a request that no result answers."""

    START_CHECK = auto()
    AWAIT_CHECK = auto()  # one is in progress


class RemoteResultUse(Enum):
    """What becomes of another member's result."""

    SUBMIT = auto()  # our decision module waits for it
    STORE = auto()
    CHECK_FIRST = auto()  # we check ourselves before we believe it


class SharedHealthChecks:
    """Requests, checks and results of one member; times are seconds on our clock."""

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout  # of one check
        self.pending_requests: dict[str, float] = {}  # workers with the times to look after them
        self.in_progress: set[str] = set()  # workers that we are checking
        self.results: dict[str, HealthCheckResult] = {}
        self.own_checks: dict[str, float] = {}  # workers with the times of our last own checks

    def request(self, now: float, worker: str) -> HealthCheckResult | None:
        """Our decision module orders a check: a fresh result, or None if it has to wait."""
        result = self._fresh_result(now, worker)
        if result is None:
            self.pending_requests[worker] = now + OWNER_TIMEOUT_MULTIPLE * self.timeout
        return result

    def request_as_owner(self, now: float, worker: str) -> HealthCheckResult | OwnerAction:
        """A member asks us as the owner: a fresh result to tell at once, or what to do."""
        result = self._fresh_result(now, worker)
        if result is not None:
            return result
        if worker in self.in_progress:
            return OwnerAction.AWAIT_CHECK
        self.in_progress.add(worker)
        return OwnerAction.START_CHECK

    def _fresh_result(self, now: float, worker: str) -> HealthCheckResult | None:
        result = self.results.get(worker)
        if result is not None and now - result.completed_at < FRESH_RESULT_SECONDS:
            return result
        return None

    def record_own_result(self, result: HealthCheckResult) -> bool:
        """A check of ours has ended; whether our decision module waits for it."""
        self.in_progress.discard(result.worker)
        return self._store_result(result)

    def record_remote_result(
        self, result: HealthCheckResult, now: float, members: int
    ) -> RemoteResultUse:
        """Another member's result; `members` is the size of the set."""
        if result.worker in self.pending_requests and not result.healthy:
            if result.worker in self.in_progress:
                return RemoteResultUse.STORE  # ours tells in a moment
            if self._next_allowed_at(result.worker, members) <= now:
                self._start_check(now, result.worker)
                return RemoteResultUse.CHECK_FIRST
        awaited = self._store_result(result)
        return RemoteResultUse.SUBMIT if awaited else RemoteResultUse.STORE

    def _store_result(self, result: HealthCheckResult) -> bool:
        """Whether our decision module waited for it, which it does no longer."""
        self.results.pop(result.worker, None)
        self.results[result.worker] = result
        if len(self.results) > MAX_WORKERS:
            del self.results[next(iter(self.results))]
        return self.pending_requests.pop(result.worker, None) is not None

    def _next_allowed_at(self, worker: str, members: int) -> float:
        """When we may check a worker ourselves, without being asked to as the owner."""
        interval = FALLBACK_INTERVAL_PER_MEMBER * members
        return self.own_checks.get(worker, -interval) + interval

    def _start_check(self, now: float, worker: str) -> None:
        self.own_checks.pop(worker, None)
        self.own_checks[worker] = now
        if len(self.own_checks) > MAX_WORKERS:
            del self.own_checks[next(iter(self.own_checks))]
        self.in_progress.add(worker)

    def overdue(self, now: float, members: int) -> list[str]:
        """Workers whose requests nobody answered and that are ours to check now.

        Those that we checked too recently are looked after later.
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
