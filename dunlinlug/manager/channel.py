"""The channel: messages leave one after the other at a pace in lines a second, as the module reckons it."""

from collections import defaultdict, deque

from dunlinlug.manager.loop import Parcel

BEHIND = 0.1  # seconds of pace that may be made up for after a stall: a scheduler's usual hiccup


class Channel:
    """A paced queue in its own order; times are the caller's clock in seconds."""

    def __init__(
        self, pace: float, waiting_most: float, messages_most: int, messages_span: float
    ) -> None:
        self.pace, self.waiting_most = pace, waiting_most
        self.messages_most, self.messages_span = messages_most, messages_span
        self.queue: deque[tuple[int, Parcel]] = deque()
        self.free_at = 0.0  # when the head of the queue has left
        self.waiting = self.most_waited = 0.0
        self.written: dict[int, deque[float]] = defaultdict(deque)

    def put(self, now: float, proxy: int, parcel: Parcel) -> list[str]:
        """Queue a message; tells which of the channel's bounds it passes, if any (it is sent all the same)."""
        if not self.queue:
            self.free_at = max(self.free_at, now) + parcel.lines / self.pace
        self.queue.append((proxy, parcel))
        self.waiting += parcel.lines
        self.most_waited = max(self.most_waited, self.waiting)
        times = self.written[proxy]
        while times and times[0] <= now - self.messages_span:
            times.popleft()
        times.append(now)
        passed = ["waiting_most"] if self.waiting > self.waiting_most else []
        return passed + (["messages_most"] if 0 < self.messages_most < len(times) else [])

    def due(self, now: float) -> list[tuple[int, Parcel]]:
        """The messages that have left by now, in order."""
        left = []
        if (
            self.queue
        ):  # Danger: after a stop of the process all that waited would leave in one burst
            self.free_at = max(self.free_at, now - BEHIND)
        while self.queue and self.free_at <= now:
            proxy, parcel = self.queue.popleft()
            self.waiting -= parcel.lines
            left.append((proxy, parcel))
            if self.queue:
                self.free_at += self.queue[0][1].lines / self.pace
        return left

    def next_at(self) -> float | None:
        return self.free_at if self.queue else None

    def forget(self, proxy: int) -> None:
        """A proxy has left: what waits for it is lost, and its count of messages starts over."""
        head = self.queue[0] if self.queue else None
        kept = [entry for entry in self.queue if entry[0] != proxy or entry is head]
        self.queue = deque(kept)
        self.waiting = sum(parcel.lines for _, parcel in kept)
        self.written.pop(proxy, None)

    def clear(self) -> None:
        """We order nothing any more: what waits is lost."""
        self.queue.clear()
        self.written.clear()
        self.waiting = 0.0

    def set_pace(self, now: float, pace: float) -> None:
        """A new pace, also for the rest of the message at the head."""
        self.free_at = now + max(self.free_at - now, 0.0) * self.pace / pace
        self.pace = pace
