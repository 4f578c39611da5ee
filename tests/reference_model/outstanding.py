"""What was ordered on a channel and may still wait there. Bookkeeping alone: nothing here is decided.

The channel keeps the order of replies, so that an answer to one shows that all before it have left. A proxy that has
left takes its own lines out and shows nothing of the others'. Marks are kept by proxy too: an answer costs what that
proxy still owes, not all that is under way.
"""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass

NUMBERS = 65000  # table and mark numbers in turn, below the wire's bound


def free(last: int, taken: Container[int]) -> int:
    """The number after the last one given that is not taken."""
    return next(n for n in ((last + k) % NUMBERS + 1 for k in range(NUMBERS)) if n not in taken)


@dataclass(eq=False)
class Stretch:
    """One reply's lines by proxy that has yet to answer; `ahead` is what waited once it was ordered, `waiting` whether
    its lines may still wait."""

    owed: dict[int, float]
    ahead: float
    waiting: bool = True


class Outstanding:
    """`waits` is the most that may wait, in lines. Times are seconds."""

    def __init__(self, messages_kept: int) -> None:
        self.kept, self.waits = messages_kept, 0.0
        self.sent: dict[int, Stretch] = {}  # by mark, oldest first
        self.queue: deque[int] = (
            deque()
        )  # marks whose lines may wait, oldest first, and some settled since
        self.asked: dict[
            int, dict[int, None]
        ] = {}  # by joined proxy, the marks it has yet to answer, oldest first
        self.written: dict[
            int, deque[float]
        ] = {}  # by proxy, joined or not, when it was written its last messages

    def book(self, mark: int, now: float, lines: dict[int, float]) -> None:
        """One reply's lines by proxy, under its mark."""
        while self.queue and self.queue[0] not in self.sent:
            self.queue.popleft()
        self.waits += sum(lines.values())
        self.sent[mark] = Stretch(dict(lines), self.waits)
        self.queue.append(mark)
        for proxy in lines:
            self.asked.setdefault(proxy, {})[mark] = None
            self.written.setdefault(proxy, deque(maxlen=self.kept)).append(now)

    def answered(self, proxy: int, mark: int) -> list[int]:
        """Settle this mark and all before it for the proxy; tells which."""
        marks = list(self.asked[proxy])
        passed = marks[: marks.index(mark) + 1]
        while self.sent[mark].waiting and self.queue[0] != mark:
            stretch = self.sent.get(self.queue.popleft())
            if stretch is not None:
                stretch.waiting = False
                self.waits -= sum(stretch.owed.values())
        self._settle(proxy, passed)
        return passed

    def _settle(self, proxy: int, marks: Iterable[int]) -> None:
        for mark in marks:
            del self.asked[proxy][mark]
            stretch = self.sent[mark]
            lines = stretch.owed.pop(proxy)
            if stretch.waiting:
                self.waits -= lines
            if not stretch.owed:
                del self.sent[mark]

    def forget(self, proxy: int) -> None:
        """It has left or joined anew: what waits for it is lost, and no answer comes for what it was sent."""
        self._settle(proxy, list(self.asked.get(proxy, ())))
        self.asked.pop(proxy, None)
        # Danger: what it was written still counts. Forgotten with its stream, one that breaks off and comes back would
        # be written twice what the bound allows. It is some times for each proxy there is, no more.
