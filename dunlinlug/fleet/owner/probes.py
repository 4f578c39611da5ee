"""Who probes a worker where several managers ask for it: its group's owner, once for all. Decisions, free of I/O.

Each manager's module orders probes of its own. Here an order becomes a wish told to the owner of the worker's group,
who probes once for all wishes that come meanwhile and tells everybody; a result that is young enough answers a wish at
once. Where no answer comes, as there is no owner or it is cut off, we probe ourselves, so seldom that all members
together probe as often as one owner would. Where an owner says that a worker does not answer, that may lie between
those two: before our module hears it we look ourselves, just as seldom.
"""

from dataclasses import dataclass

import xxhash

GROUPS = 64  # of workers: a few for each member of the largest set, and few enough to list
YOUNG = 1.0  # seconds in which a result answers further wishes: a trial is decided by it in the next turn anyway
PATIENCE = 2.0  # probes' time limits that a wish waits for the owner's result
OLDEST = 5.0  # seconds beyond which a result that comes is not used: ten probes' time limits
KEPT = 4096  # workers of whom results and probes of ours are kept, the oldest out first
AGAIN = 1.0  # seconds between our own probes of one worker for each member of the set, where nobody owns it


def piece_of(worker: str) -> str:
    return f"probe/{xxhash.xxh32_intdigest(worker.encode()) % GROUPS} of {GROUPS}"


@dataclass(frozen=True)
class Result:
    """`at` is our clock's time."""

    worker: str
    ok: bool
    result: str
    took: float
    at: float


class Shared:
    """`within` is the time limit of a probe. Times are seconds on our clock."""

    def __init__(self, within: float) -> None:
        self.within = within
        self.wishes: dict[
            str, float
        ] = {}  # workers that our module waits for, and when we look again
        self.under_way: set[str] = set()
        self.results: dict[str, Result] = {}
        self.own: dict[str, float] = {}  # when we probed for ourselves last

    def wished(self, now: float, worker: str) -> Result | None:
        """Our module orders a probe: a result that is young enough, or it waits for one."""
        result = self.results.get(worker)
        if result is not None and now - result.at < YOUNG:
            return result
        self.wishes[worker] = now + PATIENCE * self.within
        return None

    def asked(self, now: float, worker: str) -> Result | None | bool:
        """As owner: what to tell at once; else whether to probe, which is no while a probe is under way."""
        result = self.results.get(worker)
        if result is not None and now - result.at < YOUNG:
            return result
        if worker in self.under_way:
            return False
        self.under_way.add(worker)
        return True

    def came(self, result: Result) -> bool:
        """A result of ours; whether our module waits for it."""
        self.under_way.discard(result.worker)
        return self._came(result)

    def told(self, result: Result, now: float, members: int) -> bool | None:
        """Another's result: whether our module waits for it; None if we are to look ourselves first."""
        if result.worker in self.wishes and not result.ok:
            if result.worker in self.under_way:
                return False  # ours tells in a moment
            if self._free(result.worker, members) <= now:
                self._begin(now, result.worker)
                return None
        return self._came(result)

    def _came(self, result: Result) -> bool:
        self.results.pop(result.worker, None)
        self.results[result.worker] = result
        if len(self.results) > KEPT:
            del self.results[next(iter(self.results))]
        return self.wishes.pop(result.worker, None) is not None

    def _free(self, worker: str, members: int) -> float:
        """From when on we may probe it again without being asked to."""
        return self.own.get(worker, -AGAIN * members) + AGAIN * members

    def _begin(self, now: float, worker: str) -> None:
        self.own.pop(worker, None)
        self.own[worker] = now
        if len(self.own) > KEPT:
            del self.own[next(iter(self.own))]
        self.under_way.add(worker)

    def overdue(self, now: float, members: int) -> list[str]:
        """Wishes that nobody answers and that are ours to probe now; the others are looked at again later."""
        due = []
        for worker, at in list(self.wishes.items()):
            if at > now or worker in self.under_way:
                continue
            free = self._free(worker, members)
            if free > now:
                self.wishes[worker] = free
                continue
            self._begin(now, worker)
            due.append(worker)
        return due
