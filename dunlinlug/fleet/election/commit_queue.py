"""Messages to proxies that wait until the batch they come from is committed."""

from collections import deque
from collections.abc import Mapping

import trio

from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.interfaces import OutgoingMessage


class CommitQueue:
    """Holds a leader's messages back, and gives them to the decision loop once they may leave."""

    def __init__(self, protocol: ElectionProtocol, decision_loop: DecisionLoop) -> None:
        self.protocol = protocol
        self.decision_loop = decision_loop
        # Index of the batch in the log of our term, and its messages by proxy; oldest first.
        self._waiting: deque[tuple[int, Mapping[int, OutgoingMessage]]] = deque()

    def hold(self, index: int, messages: Mapping[int, OutgoingMessage]) -> None:
        """Holds the messages of a batch, if it has any."""
        if messages:
            self._waiting.append((index, messages))

    def release_committed(self) -> None:
        """Releases the messages of all batches that a majority has; drops them without a lease."""
        now = trio.current_time()
        while self._waiting:
            index, messages = self._waiting[0]
            if self.protocol.committed < (self.protocol.term, index):
                return
            self._waiting.popleft()
            if self.protocol.holds_lease(now):
                self.decision_loop.release(now, messages)

    def clear(self) -> None:
        """Drops all messages."""
        self._waiting.clear()
