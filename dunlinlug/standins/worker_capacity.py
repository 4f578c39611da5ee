"""An endpoint's machine, without I/O: cores, speed, a queue, warming up, and overloading."""

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf
from typing import NamedTuple


@dataclass(frozen=True)
class WorkerMachine:
    """What a machine can do.

    Attributes:
        cores: Requests that are served at once.
        speed: Seconds of work that a core does in a second.
        queue_length: Requests that may wait.
        initial_capacity_fraction: What part of its capacity it has at its start; it rises evenly.
        warm_up_time: Seconds until it has all of it.
        overload_multiple, overload_duration: While it is warming up, more work than so many times
            its capacity within so many seconds makes it fail.
    """

    cores: int
    speed: float
    queue_length: int
    initial_capacity_fraction: float
    warm_up_time: float
    overload_multiple: float
    overload_duration: float


class Arrival(NamedTuple):
    """A request: when it came, its work, and the proxy that sent it."""

    at: float
    work: float
    source: str


class RecentWork(NamedTuple):
    """A request: how many seconds ago it came, its work, and the proxy that sent it."""

    age: float
    work: float
    source: str


class WorkerCapacity:
    """What a machine does at any time.

    Times are seconds on the caller's clock, work is seconds of a core at speed 1.

    Attributes:
        slowdown: How many times longer requests take than they should.
        failed: Whether it was overloaded while warming up; it serves nothing then.
        core_free_times: A heap of the times at which each core is free.
        queued_starts: When the waiting requests will be begun.
        recent_arrivals: What came within the overload duration.
    """

    def __init__(self, machine: WorkerMachine, started: float = -inf) -> None:
        self.machine = machine
        self.slowdown = 1.0
        self.start(started)

    def start(self, now: float) -> None:
        """Start the process anew, with an empty queue and warming up."""
        self.started = now
        self.failed = False
        self.core_free_times = [now] * self.machine.cores
        self.queued_starts: deque[float] = deque()
        self.recent_arrivals: deque[Arrival] = deque()

    def capacity_fraction(self, now: float) -> float:
        """What part of its capacity it has, as far as it has warmed up."""
        elapsed_fraction = 1.0
        if self.machine.warm_up_time:
            elapsed_fraction = (now - self.started) / self.machine.warm_up_time
        return min(
            1.0,
            self.machine.initial_capacity_fraction
            + (1.0 - self.machine.initial_capacity_fraction) * elapsed_fraction,
        )

    def capacity(self, now: float) -> float:
        """Seconds of work done in a second, as the machine is now."""
        return self.machine.cores * self.machine.speed * self.capacity_fraction(now)

    def admit(self, now: float, work: float, source: str) -> float | None:
        """When this request will be done, or None if it is rejected; `failed` may have changed."""
        self._record_arrival(now, work, source)
        while self.queued_starts and self.queued_starts[0] <= now:
            self.queued_starts.popleft()
        if self.failed or len(self.queued_starts) >= self.machine.queue_length:
            return None
        start_time = max(now, heapq.heappop(self.core_free_times))
        finish_time = start_time + work * self.slowdown / (
            self.machine.speed * self.capacity_fraction(start_time)
        )
        heapq.heappush(self.core_free_times, finish_time)
        if start_time > now:
            self.queued_starts.append(start_time)
        return finish_time

    def _record_arrival(self, now: float, work: float, source: str) -> None:
        is_warming_up = now < self.started + self.machine.warm_up_time
        self.recent_arrivals.append(Arrival(now, work, source))
        while (
            self.recent_arrivals
            and self.recent_arrivals[0].at <= now - self.machine.overload_duration
        ):
            self.recent_arrivals.popleft()
        if is_warming_up and not self.failed:
            max_work = (
                self.machine.overload_multiple * self.capacity(now) * self.machine.overload_duration
            )
            self.failed = sum(arrival.work for arrival in self.recent_arrivals) > max_work

    def recent_work(self, now: float) -> list[RecentWork]:
        """The work within the overload duration, oldest first."""
        return [
            RecentWork(round(now - arrival.at, 4), arrival.work, arrival.source)
            for arrival in self.recent_arrivals
        ]

    def queue_depth(self, now: float) -> int:
        """How many requests wait."""
        return sum(start_time > now for start_time in self.queued_starts)


class DeduplicationWindow:
    """Idempotency keys seen by a group of endpoints: one seen within the window has no effect."""

    def __init__(self) -> None:
        self.seen_at: dict[str, float] = {}

    def is_first(self, request_id: str, now: float, window: float) -> bool:
        """Whether the request was not seen within `window` seconds; it is seen now."""
        if now < self.seen_at.get(request_id, -inf) + window:
            return False
        self.seen_at[request_id] = now
        return True
