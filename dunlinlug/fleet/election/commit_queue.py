"""Holds messages to proxies until the batch that produced them is committed."""

from collections import deque
from collections.abc import Mapping

import trio

from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.interfaces import OutgoingMessage


class CommitQueue:
    """Queues a leader's messages, and passes them to the decision loop once they are committed."""

    def __init__(self, protocol: ElectionProtocol, decision_loop: DecisionLoop) -> None:
        self.protocol = protocol
        self.decision_loop = decision_loop
        # Log index of a batch of our term, and its messages by proxy; oldest first.
        self._waiting: deque[tuple[int, Mapping[int, OutgoingMessage]]] = deque()

    def hold(self, index: int, messages: Mapping[int, OutgoingMessage]) -> None:
        """Queues the messages, by proxy, of the batch at this log index, if it has any."""
        if messages:
            self._waiting.append((index, messages))

    def release_committed(self) -> None:
        """Releases the messages of committed batches; drops them if we do not hold the lease."""
        now = trio.current_time()
        while self._waiting:
            index, messages = self._waiting[0]
            if self.protocol.committed < (self.protocol.term, index):
                return
            self._waiting.popleft()
            if self.protocol.holds_lease(now):
                self.decision_loop.release(now, messages)

    def clear(self) -> None:
        """Drops all queued messages."""
        self._waiting.clear()
