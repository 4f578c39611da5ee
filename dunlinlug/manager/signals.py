"""SIGTERM, SIGINT and SIGHUP of a serving process, from before its settings are read to its end."""

import signal
from types import FrameType

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalReceiver:
    """Keeps signals that have arrived until `receive` returns them.

    Its handlers stand until the process is gone. Without this, as with a receiver that is opened
    late and closed early, there would be two gaps in which a signal has its default effect: a
    second SIGTERM, or a SIGHUP, would kill a manager that was about to end with status 0. What
    arrives early is kept; what arrives after a stop is ignored.
    """

    def __init__(self) -> None:
        self.pending: set[int] = set()
        self.signal_arrived = trio.Event()
        self.token: trio.lowlevel.TrioToken | None = None

    def install_handlers(self) -> None:
        """Handle the signals from now on; to be called in the main thread."""
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._handle_signal)

    def _handle_signal(self, number: int, _frame: FrameType | None) -> None:
        self.pending.add(number)
        if self.token is None:
            return
        try:
            self.token.run_sync_soon(self._notify_receiver, idempotent=True)
        except trio.RunFinishedError:
            return  # the event loop has ended: nobody is left to notify, and nothing to stop

    def _notify_receiver(self) -> None:
        self.signal_arrived.set()

    async def receive(self) -> int:
        """Wait for the next signal and return its number.

        A stop goes before a reload; several signals of one kind count as one.
        """
        self.token = trio.lowlevel.current_trio_token()
        while not self.pending:
            self.signal_arrived = trio.Event()
            if not self.pending:  # one may have arrived between the two lines
                await self.signal_arrived.wait()
        number = next((stop for stop in STOP_SIGNALS if stop in self.pending), signal.SIGHUP)
        self.pending.discard(number)
        return number
