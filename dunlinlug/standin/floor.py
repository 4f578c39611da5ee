"""A worker's machine, without I/O: cores, speed, a queue, cold warm-up, and falling over when pushed."""

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf


@dataclass(frozen=True)
class Machine:
    """`queue` txns may wait; capacity rises evenly from `cold_from` to whole over `cold` seconds. When cold, work
    over `fall_multiple` times what it can do within any `fall_after` seconds makes it fall over."""

    cores: int
    speed: float
    queue: int
    cold_from: float
    cold: float
    fall_multiple: float
    fall_after: float


class Floor:
    """Times are seconds on the caller's clock, work is seconds of a core at speed 1."""

    def __init__(self, machine: Machine, started: float = -inf) -> None:
        self.machine, self.slow = machine, 1.0
        self.start(started)

    def start(self, now: float) -> None:
        self.started, self.fallen = now, False
        self.free = [now] * self.machine.cores  # a heap: when each core is free
        self.begins: deque[float] = deque()
        self.pushed: deque[tuple[float, float, str]] = deque()

    def warmth(self, now: float) -> float:
        part = (now - self.started) / self.machine.cold if self.machine.cold else 1.0
        return min(1.0, self.machine.cold_from + (1.0 - self.machine.cold_from) * part)

    def capacity(self, now: float) -> float:
        """Seconds of work done in a second, as the machine is now."""
        return self.machine.cores * self.machine.speed * self.warmth(now)

    def arrive(self, now: float, work: float, source: str) -> float | None:
        """When this txn will be done, or None if it is declined; check `fallen` afterwards."""
        self._push(now, work, source)
        while self.begins and self.begins[0] <= now:
            self.begins.popleft()
        if self.fallen or len(self.begins) >= self.machine.queue:
            return None
        begin = max(now, heapq.heappop(self.free))
        done = begin + work * self.slow / (self.machine.speed * self.warmth(begin))
        heapq.heappush(self.free, done)
        if begin > now:
            self.begins.append(begin)
        return done

    def _push(self, now: float, work: float, source: str) -> None:
        cold = now < self.started + self.machine.cold
        self.pushed.append((now, work, source))
        while self.pushed and self.pushed[0][0] <= now - self.machine.fall_after:
            self.pushed.popleft()
        if cold and not self.fallen:
            most = self.machine.fall_multiple * self.capacity(now) * self.machine.fall_after
            self.fallen = sum(w for _, w, _ in self.pushed) > most

    def brought(self, now: float) -> list[tuple[float, float, str]]:
        """The work of the last span: how long ago in seconds, how much, and who brought it."""
        return [(round(now - at, 4), work, source) for at, work, source in self.pushed]

    def held(self, now: float) -> int:
        return sum(begin > now for begin in self.begins)


class Repeats:
    """Marks against repeats, shared by a group of workers: a txn met within the window takes no second effect."""

    def __init__(self) -> None:
        self.met: dict[str, float] = {}

    def first(self, txn: str, now: float, window: float) -> bool:
        if now < self.met.get(txn, -inf) + window:
            return False
        self.met[txn] = now
        return True
