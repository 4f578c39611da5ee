"""What was ordered on a channel and may still wait there. Bookkeeping alone: nothing here is
decided.

The channel keeps the order of replies, so that an answer to one shows that all before it have left.
A proxy that has left takes its own lines out and shows nothing of the others'. Marks are kept by
proxy too: an answer costs what that proxy still owes, not all that is under way.
"""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass

MAX_NUMBER = 65000  # table and mark numbers in turn, below the wire's bound


def next_free_number(last_number: int, taken: Container[int]) -> int:
    """The number after the last one given that is not taken."""
    return next(
        n for n in ((last_number + k) % MAX_NUMBER + 1 for k in range(MAX_NUMBER)) if n not in taken
    )


@dataclass(eq=False)
class PendingReply:
    """One reply's lines by proxy that has yet to answer; `ahead` is what waited once it was
    ordered, `waiting` whether its lines may still wait.
    """

    entries_by_proxy: dict[int, float]
    queued_before: float
    queued: bool = True


class PendingAcks:
    """`waits` is the most that may wait, in lines. Times are seconds."""

    def __init__(self, message_history_length: int) -> None:
        self.message_history_length = message_history_length
        self.queued_entries = 0.0
        self.pending_replies: dict[int, PendingReply] = {}  # by mark, oldest first
        self.queued_acks: deque[int] = (
            deque()
        )  # marks whose lines may wait, oldest first, and some settled since
        self.awaited_acks: dict[
            int, dict[int, None]
        ] = {}  # by joined proxy, the marks it has yet to answer, oldest first
        self.sent_times: dict[
            int, deque[float]
        ] = {}  # by proxy, joined or not, when it was written its last messages

    def record(self, ack_number: int, now: float, entries_by_proxy: dict[int, float]) -> None:
        """One reply's lines by proxy, under its mark."""
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
        """Settle this mark and all before it for the proxy; tells which."""
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
        for ack_number in ack_numbers:
            del self.awaited_acks[proxy_id][ack_number]
            pending = self.pending_replies[ack_number]
            entries = pending.entries_by_proxy.pop(proxy_id)
            if pending.queued:
                self.queued_entries -= entries
            if not pending.entries_by_proxy:
                del self.pending_replies[ack_number]

    def forget_proxy(self, proxy_id: int) -> None:
        """It has left or joined anew: what waits for it is lost, and no answer comes for what it
        was sent.
        """
        self._remove(proxy_id, list(self.awaited_acks.get(proxy_id, ())))
        self.awaited_acks.pop(proxy_id, None)
        # Danger: what it was written still counts. Forgotten with its stream, one that breaks off
        # and comes back would be written twice what the bound allows. It is some times for each
        # proxy there is, no more.
