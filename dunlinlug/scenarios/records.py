"""Writes the records of a scenario; each process has its own file."""

import json
import time
from pathlib import Path


class RecordWriter:
    """Appends JSON lines with the monotonic time, which all processes of a machine share."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", buffering=2**16, encoding="utf-8")

    def write(self, event: str, **fields: object) -> None:
        """Write a line with `at` (seconds), `e` (the event), and the event's fields."""
        line = json.dumps({"at": round(time.monotonic(), 6), "e": event, **fields})
        self.file.write(line + "\n")

    def close(self) -> None:
        """Flush the buffer and close the file."""
        self.file.close()
