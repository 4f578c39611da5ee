"""What each process of a scenario writes down, in one file of its own."""

import json
import time
from pathlib import Path


class RecordWriter:
    """Appends JSON lines, each with the time of the clock that all processes of a machine share."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", buffering=2**16, encoding="utf-8")

    def write(self, event: str, **fields: object) -> None:
        """Write a line: `at` in seconds, `e` the event, and its fields."""
        line = json.dumps({"at": round(time.monotonic(), 6), "e": event, **fields})
        self.file.write(line + "\n")

    def close(self) -> None:
        """Write out what is buffered and close the file."""
        self.file.close()
