"""Unacknowledged replies, and the number of their entries that may still be queued.

Bookkeeping only: no decisions are made here. The channel sends replies in order, so that the
acknowledgement of one shows that all before it have left the queue. When a proxy disconnects, only
its own entries are removed, as this shows nothing about those of others. Acknowledgement numbers
are also indexed by proxy, so that the cost of an acknowledgement depends on that proxy's pending
replies, not on all pending ones.
"""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass

# Highest table and acknowledgement number: below the limit of the wire format. Numbers wrap around
# to 1 after it.
MAX_NUMBER = 65000


def next_free_number(last_number: int, taken: Container[int]) -> int:
    """Return the first number after `last_number` that is not taken, wrapping around."""
    return next(
        number
        for number in ((last_number + offset) % MAX_NUMBER + 1 for offset in range(MAX_NUMBER))
        if number not in taken
    )


@dataclass(eq=False)
class PendingReply:
    """One reply's entries, by proxy that has yet to acknowledge it.

    `queued_before` is the number of entries in the channel's queue after the reply was added,
    including its own; `queued` is whether its entries may still be queued.
    """

    entries_by_proxy: dict[int, float]
    queued_before: float
    queued: bool = True


class PendingAcks:
    """Holds the replies that are not acknowledged, and an upper bound of the entries queued.

    Times are seconds. The times of the last `message_history_length` messages to each proxy are
    stored.
    """

    def __init__(self, message_history_length: int) -> None:
        self.message_history_length, self.queued_entries = message_history_length, 0.0
        self.pending_replies: dict[int, PendingReply] = {}  # by number, oldest first
        # Numbers whose entries may be queued, oldest first, and some that are acknowledged by now.
        self.queued_acks: deque[int] = deque()
        # By connected proxy, the numbers that it has yet to acknowledge, oldest first.
        self.awaited_acks: dict[int, dict[int, None]] = {}
        # By proxy, connected or not, the times of the last messages sent to it.
        self.sent_times: dict[int, deque[float]] = {}

    def record(self, ack_number: int, now: float, entries_by_proxy: dict[int, float]) -> None:
        """Record one reply's entries by proxy, under its acknowledgement number."""
        while self.queued_acks and self.queued_acks[0] not in self.pending_replies:
            self.queued_acks.popleft()
        self.queued_entries += sum(entries_by_proxy.values())
        self.pending_replies[ack_number] = PendingReply(dict(entries_by_proxy), self.queued_entries)
        self.queued_acks.append(ack_number)
        for proxy_id in entries_by_proxy:
            self.awaited_acks.setdefault(proxy_id, {})[ack_number] = None
            self.sent_times.setdefault(proxy_id, deque(maxlen=self.message_history_length)).append(
                now
            )

    def acknowledge(self, proxy_id: int, ack_number: int) -> list[int]:
        """Acknowledge this number and all before it for the proxy; return these numbers."""
        awaited = list(self.awaited_acks[proxy_id])
        acknowledged = awaited[: awaited.index(ack_number) + 1]
        while self.pending_replies[ack_number].queued and self.queued_acks[0] != ack_number:
            pending = self.pending_replies.get(self.queued_acks.popleft())
            if pending is not None:
                pending.queued = False
                self.queued_entries -= sum(pending.entries_by_proxy.values())
        self._remove(proxy_id, acknowledged)
        return acknowledged

    def _remove(self, proxy_id: int, ack_numbers: Iterable[int]) -> None:
        """Remove a proxy's entries from these replies."""
        for ack_number in ack_numbers:
            del self.awaited_acks[proxy_id][ack_number]
            pending = self.pending_replies[ack_number]
            entries = pending.entries_by_proxy.pop(proxy_id)
            if pending.queued:
                self.queued_entries -= entries
            if not pending.entries_by_proxy:
                del self.pending_replies[ack_number]

    def forget_proxy(self, proxy_id: int) -> None:
        """Drop a disconnected or reconnected proxy's replies, which it will not acknowledge."""
        self._remove(proxy_id, list(self.awaited_acks.get(proxy_id, ())))
        self.awaited_acks.pop(proxy_id, None)
        # `sent_times` is kept: if it were cleared with the connection, a proxy that reconnects
        # could be sent twice as many messages as the limit allows. The cost is a few timestamps
        # for each proxy.
