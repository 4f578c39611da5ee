"""A worker's machine, without I/O: cores, speed, a queue, cold warm-up, and falling over when
pushed.
"""

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf


@dataclass(frozen=True)
class WorkerMachine:
    """`queue` txns may wait; capacity rises evenly from `cold_from` to whole over `cold` seconds.
    When cold, work over `fall_multiple` times what it can do within any `fall_after` seconds
    makes it fall over.
    """

    cores: int
    speed: float
    queue_length: int
    initial_capacity_fraction: float
    warm_up_time: float
    overload_multiple: float
    overload_duration: float


class WorkerCapacity:
    """Times are seconds on the caller's clock, work is seconds of a core at speed 1."""

    def __init__(self, machine: WorkerMachine, started: float = -inf) -> None:
        self.machine = machine
        self.slowdown = 1.0
        self.start(started)

    def start(self, now: float) -> None:
        self.started = now
        self.failed = False
        self.core_free_times = [now] * self.machine.cores  # a heap: when each core is free
        self.queued_starts: deque[float] = deque()
        self.recent_arrivals: deque[tuple[float, float, str]] = deque()

    def capacity_fraction(self, now: float) -> float:
        elapsed_fraction = (
            (now - self.started) / self.machine.warm_up_time if self.machine.warm_up_time else 1.0
        )
        return min(
            1.0,
            self.machine.initial_capacity_fraction
            + (1.0 - self.machine.initial_capacity_fraction) * elapsed_fraction,
        )

    def capacity(self, now: float) -> float:
        """Seconds of work done in a second, as the machine is now."""
        return self.machine.cores * self.machine.speed * self.capacity_fraction(now)

    def admit(self, now: float, work: float, source: str) -> float | None:
        """When this txn will be done, or None if it is declined; check `fallen` afterwards."""
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
        self.recent_arrivals.append((now, work, source))
        while (
            self.recent_arrivals
            and self.recent_arrivals[0][0] <= now - self.machine.overload_duration
        ):
            self.recent_arrivals.popleft()
        if is_warming_up and not self.failed:
            max_work = (
                self.machine.overload_multiple * self.capacity(now) * self.machine.overload_duration
            )
            self.failed = (
                sum(arrived_work for _, arrived_work, _ in self.recent_arrivals) > max_work
            )

    def recent_work(self, now: float) -> list[tuple[float, float, str]]:
        """The work of the last span: how long ago in seconds, how much, and who brought it."""
        return [
            (round(now - arrived_at, 4), work, source)
            for arrived_at, work, source in self.recent_arrivals
        ]

    def queue_depth(self, now: float) -> int:
        return sum(start_time > now for start_time in self.queued_starts)


class DeduplicationWindow:
    """Marks against repeats, shared by a group of workers: a txn met within the window takes no
    second effect.
    """

    def __init__(self) -> None:
        self.seen_at: dict[str, float] = {}

    def is_first(self, request_id: str, now: float, window: float) -> bool:
        if now < self.seen_at.get(request_id, -inf) + window:
            return False
        self.seen_at[request_id] = now
        return True
