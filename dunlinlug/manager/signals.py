"""Handles SIGTERM, SIGINT and SIGHUP from before the settings are read until the process exits."""

import signal
from types import FrameType

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalReceiver:
    """Stores signals that have arrived until `receive` returns them.

    Its handlers stay installed until the process exits. A receiver that is opened late and closed
    early would leave two gaps in which a signal has its default effect: a second SIGTERM, or a
    SIGHUP, would kill a manager that was about to exit with status 0. Signals that arrive early
    are kept; those that arrive after a stop are ignored.
    """

    def __init__(self) -> None:
        self.pending: set[int] = set()
        self.signal_arrived = trio.Event()
        self.token: trio.lowlevel.TrioToken | None = None

    def install_handlers(self) -> None:
        """Handle the signals from now on; must be called in the main thread."""
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._handle_signal)

    def _handle_signal(self, number: int, _frame: FrameType | None) -> None:
        self.pending.add(number)
        if self.token is None:
            return
        try:
            self.token.run_sync_soon(self._notify_receiver, idempotent=True)
        except trio.RunFinishedError:
            return  # the event loop has ended: there is no receiver to notify and nothing to stop

    def _notify_receiver(self) -> None:
        self.signal_arrived.set()

    async def receive(self) -> int:
        """Wait for the next signal and return its number.

        A stop is returned before a reload; several signals of one kind count as one.
        """
        self.token = trio.lowlevel.current_trio_token()
        while not self.pending:
            self.signal_arrived = trio.Event()
            if not self.pending:  # a signal may have arrived since the check above
                await self.signal_arrived.wait()
        number = next((stop for stop in STOP_SIGNALS if stop in self.pending), signal.SIGHUP)
        self.pending.discard(number)
        return number
