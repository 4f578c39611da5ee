"""The channel: messages leave one after the other at a pace in lines a second, as the module
reckons it.
"""

from collections import defaultdict, deque

from dunlinlug.manager.decision_loop import OutgoingMessage

# seconds of pace that may be made up for after a stall: a scheduler's usual hiccup
MAX_CATCH_UP_S = 0.1


class PacedChannel:
    """A paced queue in its own order; times are the caller's clock in seconds."""

    def __init__(
        self,
        entries_per_s: float,
        max_queued_entries: float,
        max_messages: int,
        messages_window: float,
    ) -> None:
        self.entries_per_s = entries_per_s
        self.max_queued_entries = max_queued_entries
        self.max_messages = max_messages
        self.messages_window = messages_window
        self.queue: deque[tuple[int, OutgoingMessage]] = deque()
        self.head_departs_at = 0.0  # when the head of the queue has left
        self.queued_entries = self.peak_queued_entries = 0.0
        self.sent_times: dict[int, deque[float]] = defaultdict(deque)

    def enqueue(self, now: float, proxy: int, message: OutgoingMessage) -> list[str]:
        """Queue a message; tells which of the channel's bounds it passes, if any (it is sent all
        the same).
        """
        if not self.queue:
            self.head_departs_at = (
                max(self.head_departs_at, now) + message.lines / self.entries_per_s
            )
        self.queue.append((proxy, message))
        self.queued_entries += message.lines
        self.peak_queued_entries = max(self.peak_queued_entries, self.queued_entries)
        recent_times = self.sent_times[proxy]
        while recent_times and recent_times[0] <= now - self.messages_window:
            recent_times.popleft()
        recent_times.append(now)
        exceeded_limits = ["waiting_most"] if self.queued_entries > self.max_queued_entries else []
        return exceeded_limits + (
            ["messages_most"] if 0 < self.max_messages < len(recent_times) else []
        )

    def pop_due(self, now: float) -> list[tuple[int, OutgoingMessage]]:
        """The messages that have left by now, in order."""
        departed = []
        if (
            self.queue
        ):  # Danger: after a stop of the process all that waited would leave in one burst
            self.head_departs_at = max(self.head_departs_at, now - MAX_CATCH_UP_S)
        while self.queue and self.head_departs_at <= now:
            proxy, message = self.queue.popleft()
            self.queued_entries -= message.lines
            departed.append((proxy, message))
            if self.queue:
                self.head_departs_at += self.queue[0][1].lines / self.entries_per_s
        return departed

    def next_due_at(self) -> float | None:
        return self.head_departs_at if self.queue else None

    def remove_proxy(self, proxy: int) -> None:
        """A proxy has left: what waits for it is lost, and its count of messages starts over."""
        head = self.queue[0] if self.queue else None
        remaining = [entry for entry in self.queue if entry[0] != proxy or entry is head]
        self.queue = deque(remaining)
        self.queued_entries = sum(parcel.lines for _, parcel in remaining)
        self.sent_times.pop(proxy, None)

    def clear(self) -> None:
        """We order nothing any more: what waits is lost."""
        self.queue.clear()
        self.sent_times.clear()
        self.queued_entries = 0.0

    def set_rate(self, now: float, entries_per_s: float) -> None:
        """A new pace, also for the rest of the message at the head."""
        self.head_departs_at = (
            now + max(self.head_departs_at - now, 0.0) * self.entries_per_s / entries_per_s
        )
        self.entries_per_s = entries_per_s
