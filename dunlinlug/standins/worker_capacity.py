"""A model of an endpoint's machine, without I/O: cores, speed, queue, warm-up, and overload."""

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf
from typing import NamedTuple


@dataclass(frozen=True)
class WorkerMachine:
    """The parameters of a machine.

    Attributes:
        cores: Number of requests served concurrently.
        speed: Seconds of work that a core does in a second.
        queue_length: Number of requests that can wait.
        initial_capacity_fraction: Fraction of its capacity when it starts; it rises linearly.
        warm_up_time: Seconds until it has its full capacity.
        overload_multiple, overload_duration: While the machine is warming up, it fails when the
            work that arrives within `overload_duration` seconds exceeds `overload_multiple` times
            what it can do in that time.
    """

    cores: int
    speed: float
    queue_length: int
    initial_capacity_fraction: float
    warm_up_time: float
    overload_multiple: float
    overload_duration: float


class Arrival(NamedTuple):
    """A request: its arrival time, its work, and the proxy that sent it."""

    at: float
    work: float
    source: str


class RecentWork(NamedTuple):
    """A request: the seconds since its arrival, its work, and the proxy that sent it."""

    age: float
    work: float
    source: str


class WorkerCapacity:
    """The state of a machine: its running and waiting requests, warm-up and overload.

    Times are seconds on the caller's clock, work is seconds of a core at speed 1.

    Attributes:
        slowdown: Factor by which requests take longer than normal.
        failed: Whether it was overloaded while warming up; a failed machine serves nothing.
        core_free_times: A heap of the times at which each core becomes free.
        queued_starts: The start times of the waiting requests.
        recent_arrivals: The arrivals within the overload duration.
    """

    def __init__(self, machine: WorkerMachine, started: float = -inf) -> None:
        self.machine = machine
        self.slowdown = 1.0
        self.start(started)

    def start(self, now: float) -> None:
        """Restart the process, with an empty queue and warming up."""
        self.started = now
        self.failed = False
        self.core_free_times = [now] * self.machine.cores
        self.queued_starts: deque[float] = deque()
        self.recent_arrivals: deque[Arrival] = deque()

    def capacity_fraction(self, now: float) -> float:
        """The fraction of its full capacity that the machine has, which rises in the warm-up."""
        elapsed_fraction = 1.0
        if self.machine.warm_up_time:
            elapsed_fraction = (now - self.started) / self.machine.warm_up_time
        return min(
            1.0,
            self.machine.initial_capacity_fraction
            + (1.0 - self.machine.initial_capacity_fraction) * elapsed_fraction,
        )

    def capacity(self, now: float) -> float:
        """The current capacity, in seconds of work per second."""
        return self.machine.cores * self.machine.speed * self.capacity_fraction(now)

    def admit(self, now: float, work: float, source: str) -> float | None:
        """The finish time of this request, or None if it is rejected; can set `failed`."""
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
        """The arrivals within the overload duration, oldest first."""
        return [
            RecentWork(round(now - arrival.at, 4), arrival.work, arrival.source)
            for arrival in self.recent_arrivals
        ]

    def queue_depth(self, now: float) -> int:
        """The number of waiting requests."""
        return sum(start_time > now for start_time in self.queued_starts)


class DeduplicationWindow:
    """Idempotency keys seen by a group of endpoints; a repeat within the window has no effect."""

    def __init__(self) -> None:
        self.seen_at: dict[str, float] = {}

    def is_first(self, request_id: str, now: float, window: float) -> bool:
        """Whether the request was not seen within `window` seconds; records it as seen if so."""
        if now < self.seen_at.get(request_id, -inf) + window:
            return False
        self.seen_at[request_id] = now
        return True
