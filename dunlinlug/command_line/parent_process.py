"""Ties the life of a process to that of the one that started it."""

import os
import signal
import threading

READ_SIZE_BYTES = 4096


def exit_when_input_closes() -> None:
    """Send this process SIGTERM once standard input closes: whoever started it is gone then."""

    def wait_for_end_of_input() -> None:
        while os.read(0, READ_SIZE_BYTES):
            pass
        os.kill(os.getpid(), signal.SIGTERM)

    threading.Thread(target=wait_for_end_of_input, daemon=True).start()
