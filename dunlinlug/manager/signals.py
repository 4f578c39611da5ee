"""SIGTERM, SIGINT and SIGHUP for a process that serves, from before its settings are read to its
very end.
"""

import signal
from types import FrameType

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalReceiver:
    """Danger: a receiver that is opened late and closed early leaves two gaps, in which a stop has
    its plain effect: a second SIGTERM, or a SIGHUP, then kills a manager that was about to end
    with status 0. So a handler of ours stands until the process is gone; what comes early is
    kept, what comes after a stop is nothing.
    """

    def __init__(self) -> None:
        self.pending: set[int] = set()
        self.signal_arrived = trio.Event()
        self.token: trio.lowlevel.TrioToken | None = None

    def install_handlers(self) -> None:
        """From now on; in the main thread."""
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._handle_signal)

    def _handle_signal(self, number: int, frame: FrameType | None) -> None:
        self.pending.add(number)
        if self.token is not None:
            try:
                self.token.run_sync_soon(self._notify_receiver, idempotent=True)
            except trio.RunFinishedError:
                return  # the loop is over: there is nobody left to tell, and nothing left to stop

    def _notify_receiver(self) -> None:
        self.signal_arrived.set()

    async def receive(self) -> int:
        """The next one; a stop goes before a reload. Several of one kind are one."""
        self.token = trio.lowlevel.current_trio_token()
        while not self.pending:
            self.signal_arrived = trio.Event()
            if not self.pending:  # one may have come between the two lines
                await self.signal_arrived.wait()
        number = next((stop for stop in STOP_SIGNALS if stop in self.pending), signal.SIGHUP)
        self.pending.discard(number)
        return number
