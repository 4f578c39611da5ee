"""What was ordered on a channel and may still wait there.

State alone: nothing is decided here. The channel keeps the order of replies, so that an
acknowledgement of one shows that all before it have left. A proxy that has left takes its own
entries out and shows nothing of the others'. Acknowledgement numbers are kept by proxy too: an
acknowledgement costs what that proxy still owes, not all that is under way.
"""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass

# Table and acknowledgement numbers go round below this bound, which the wire sets.
MAX_NUMBER = 65000


def next_free_number(last_number: int, taken: Container[int]) -> int:
    """Return the first number after the last one given that is not taken, going round."""
    candidates = ((last_number + offset) % MAX_NUMBER + 1 for offset in range(MAX_NUMBER))
    return next(number for number in candidates if number not in taken)


@dataclass(eq=False)
class PendingReply:
    """One reply's entries by proxy that has yet to acknowledge it.

    `queued_before` is what waited in the channel once the reply was ordered, in entries; `queued`
    is whether its entries may still wait.
    """

    entries_by_proxy: dict[int, float]
    queued_before: float
    queued: bool = True


class PendingAcks:
    """Owns the replies that are not acknowledged, and how many entries may wait at most.

    Times are seconds. Of each proxy the times of its last messages are kept, as many as the
    message history is long.
    """

    def __init__(self, message_history_length: int) -> None:
        self.message_history_length = message_history_length
        self.queued_entries = 0.0
        self.pending_replies: dict[int, PendingReply] = {}  # by number, oldest first
        # Numbers whose entries may wait, oldest first, and some that were acknowledged since.
        self.queued_acks: deque[int] = deque()
        # By connected proxy the numbers that it has yet to acknowledge, oldest first.
        self.awaited_acks: dict[int, dict[int, None]] = {}
        # By proxy, connected or not, when it was sent its last messages.
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
            if proxy_id not in self.sent_times:
                self.sent_times[proxy_id] = deque(maxlen=self.message_history_length)
            self.sent_times[proxy_id].append(now)

    def acknowledge(self, proxy_id: int, ack_number: int) -> list[int]:
        """Acknowledge this number and all before it for the proxy; return which.

        Raises ValueError for a number that the proxy does not owe.
        """
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
        """Take a proxy's entries out of these replies."""
        for ack_number in ack_numbers:
            del self.awaited_acks[proxy_id][ack_number]
            pending = self.pending_replies[ack_number]
            entries = pending.entries_by_proxy.pop(proxy_id)
            if pending.queued:
                self.queued_entries -= entries
            if not pending.entries_by_proxy:
                del self.pending_replies[ack_number]

    def forget_proxy(self, proxy_id: int) -> None:
        """Drop what waits for a proxy that left or connected anew: it will not acknowledge it."""
        self._remove(proxy_id, list(self.awaited_acks.get(proxy_id, ())))
        self.awaited_acks.pop(proxy_id, None)
        # What it was sent still counts. If it were forgotten with the connection, a proxy that
        # breaks off and comes back would be sent twice what the limit allows. It costs a few times
        # for each proxy that there ever was.
