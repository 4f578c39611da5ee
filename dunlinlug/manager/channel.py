"""The paced channel: sends messages one after the other, at a rate in table entries per second.

The decision module uses the same rate in its own estimate of the channel's queue.
"""

from collections import defaultdict, deque

from dunlinlug.manager.interfaces import OutgoingMessage

# Seconds' worth of entries that may be sent at once after a stall: a common scheduling delay.
MAX_CATCH_UP_S = 0.1


class PacedChannel:
    """A FIFO queue of messages to proxies that is drained at a given rate.

    Times are seconds on the caller's clock. `max_queued_entries` and `max_messages` (to one proxy
    within `messages_window` seconds) are limits that are reported when exceeded, not enforced; a
    `max_messages` of 0 means no limit.
    """

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
        self.head_departs_at = 0.0  # when the first message in the queue is completely sent
        self.queued_entries = 0.0
        self.peak_queued_entries = 0.0
        self.sent_times: dict[int, deque[float]] = defaultdict(deque)

    def enqueue(self, now: float, proxy: int, message: OutgoingMessage) -> list[str]:
        """Queue a message and return the names of the limits that it exceeds.

        A message is queued even if it exceeds a limit.
        """
        if not self.queue:
            self.head_departs_at = (
                max(self.head_departs_at, now) + message.entry_count / self.entries_per_s
            )
        self.queue.append((proxy, message))
        self.queued_entries += message.entry_count
        self.peak_queued_entries = max(self.peak_queued_entries, self.queued_entries)
        recent_times = self.sent_times[proxy]
        while recent_times and recent_times[0] <= now - self.messages_window:
            recent_times.popleft()
        recent_times.append(now)
        exceeded_limits = []
        if self.queued_entries > self.max_queued_entries:
            exceeded_limits.append("waiting_most")
        if 0 < self.max_messages < len(recent_times):
            exceeded_limits.append("messages_most")
        return exceeded_limits

    def pop_due(self, now: float) -> list[tuple[int, OutgoingMessage]]:
        """Remove and return the messages due by `now`, with their proxies, in order."""
        departed = []
        if self.queue:
            # Limits the burst after the process was suspended, when all queued messages are due.
            self.head_departs_at = max(self.head_departs_at, now - MAX_CATCH_UP_S)
        while self.queue and self.head_departs_at <= now:
            proxy, message = self.queue.popleft()
            self.queued_entries -= message.entry_count
            departed.append((proxy, message))
            if self.queue:
                self.head_departs_at += self.queue[0][1].entry_count / self.entries_per_s
        return departed

    def next_due_at(self) -> float | None:
        """Return when the next message is due; None while nothing is queued."""
        return self.head_departs_at if self.queue else None

    def remove_proxy(self, proxy: int) -> None:
        """Drop the messages queued for a disconnected proxy, and its message times.

        The message at the head stays, as it is already being sent.
        """
        head = self.queue[0] if self.queue else None
        remaining = [entry for entry in self.queue if entry[0] != proxy or entry is head]
        self.queue = deque(remaining)
        self.queued_entries = sum(message.entry_count for _, message in remaining)
        self.sent_times.pop(proxy, None)

    def clear(self) -> None:
        """Drop all queued messages, as this manager no longer gives orders."""
        self.queue.clear()
        self.sent_times.clear()
        self.queued_entries = 0.0

    def set_rate(self, now: float, entries_per_s: float) -> None:
        """Change the rate, including that of the unsent part of the message at the head."""
        remaining_time = max(self.head_departs_at - now, 0.0)
        self.head_departs_at = now + remaining_time * self.entries_per_s / entries_per_s
        self.entries_per_s = entries_per_s
