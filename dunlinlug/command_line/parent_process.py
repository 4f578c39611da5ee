"""Ends a process when its parent process ends."""

import os
import signal
import threading

READ_SIZE_BYTES = 4096


def exit_when_input_closes() -> None:
    """Send SIGTERM to this process when standard input closes, because its parent has ended."""

    def wait_for_end_of_input() -> None:
        while os.read(0, READ_SIZE_BYTES):
            pass
        os.kill(os.getpid(), signal.SIGTERM)

    threading.Thread(target=wait_for_end_of_input, daemon=True).start()
