"""Who probes a worker where several managers ask for it: its group's owner, once for all.
Decisions, free of I/O.

Each manager's module orders probes of its own. Here an order becomes a wish told to the owner of
the worker's group, who probes once for all wishes that come meanwhile and tells everybody; a result
that is young enough answers a wish at once. Where no answer comes, as there is no owner or it is
cut off, we probe ourselves, so seldom that all members together probe as often as one owner would.
Where an owner says that a worker does not answer, that may lie between those two: before our module
hears it we look ourselves, just as seldom.
"""

from dataclasses import dataclass

import xxhash

WORKER_GROUPS = 64  # of workers: a few for each member of the largest set, and few enough to list
# seconds in which a result answers further wishes: a trial is decided by it in the next turn anyway
FRESH_RESULT_SECONDS = 1.0
OWNER_TIMEOUT_MULTIPLE = 2.0  # probes' time limits that a wish waits for the owner's result
# seconds beyond which a result that comes is not used: ten probes' time limits
MAX_RESULT_AGE = 5.0
MAX_WORKERS = 4096  # workers of whom results and probes of ours are kept, the oldest out first
# seconds between our own probes of one worker for each member of the set, where nobody owns it
FALLBACK_INTERVAL_PER_MEMBER = 1.0


def task_of(worker: str) -> str:
    return f"probe/{xxhash.xxh32_intdigest(worker.encode()) % WORKER_GROUPS} of {WORKER_GROUPS}"


@dataclass(frozen=True)
class HealthCheckResult:
    """`at` is our clock's time."""

    worker: str
    healthy: bool
    result: str
    duration: float
    completed_at: float


class SharedHealthChecks:
    """`within` is the time limit of a probe. Times are seconds on our clock."""

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self.pending_requests: dict[
            str, float
        ] = {}  # workers that our module waits for, and when we look again
        self.in_progress: set[str] = set()
        self.results: dict[str, HealthCheckResult] = {}
        self.own_checks: dict[str, float] = {}  # when we probed for ourselves last

    def request(self, now: float, worker: str) -> HealthCheckResult | None:
        """Our module orders a probe: a result that is young enough, or it waits for one."""
        result = self.results.get(worker)
        if result is not None and now - result.completed_at < FRESH_RESULT_SECONDS:
            return result
        self.pending_requests[worker] = now + OWNER_TIMEOUT_MULTIPLE * self.timeout
        return None

    def request_as_owner(self, now: float, worker: str) -> HealthCheckResult | None | bool:
        """As owner: what to tell at once; else whether to probe, which is no while a probe is under
        way.
        """
        result = self.results.get(worker)
        if result is not None and now - result.completed_at < FRESH_RESULT_SECONDS:
            return result
        if worker in self.in_progress:
            return False
        self.in_progress.add(worker)
        return True

    def record_own_result(self, result: HealthCheckResult) -> bool:
        """A result of ours; whether our module waits for it."""
        self.in_progress.discard(result.worker)
        return self._store_result(result)

    def record_remote_result(
        self, result: HealthCheckResult, now: float, members: int
    ) -> bool | None:
        """Another's result: whether our module waits for it; None if we are to look ourselves
        first.
        """
        if result.worker in self.pending_requests and not result.healthy:
            if result.worker in self.in_progress:
                return False  # ours tells in a moment
            if self._next_allowed_at(result.worker, members) <= now:
                self._start_check(now, result.worker)
                return None
        return self._store_result(result)

    def _store_result(self, result: HealthCheckResult) -> bool:
        self.results.pop(result.worker, None)
        self.results[result.worker] = result
        if len(self.results) > MAX_WORKERS:
            del self.results[next(iter(self.results))]
        return self.pending_requests.pop(result.worker, None) is not None

    def _next_allowed_at(self, worker: str, members: int) -> float:
        """From when on we may probe it again without being asked to."""
        return (
            self.own_checks.get(worker, -FALLBACK_INTERVAL_PER_MEMBER * members)
            + FALLBACK_INTERVAL_PER_MEMBER * members
        )

    def _start_check(self, now: float, worker: str) -> None:
        self.own_checks.pop(worker, None)
        self.own_checks[worker] = now
        if len(self.own_checks) > MAX_WORKERS:
            del self.own_checks[next(iter(self.own_checks))]
        self.in_progress.add(worker)

    def overdue(self, now: float, members: int) -> list[str]:
        """Wishes that nobody answers and that are ours to probe now; the others are looked at again
        later.
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
