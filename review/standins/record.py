"""The record of a case: one JSON object a line, with seconds since the case began."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes events to a file; `clock` is the only clock of the stand-ins."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()

    def clock(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def write(self, event: str, **fields: Any) -> float:
        """Write one event and return its time."""
        now = self.clock()
        self.file.write(json.dumps({"t": round(now, 4), "event": event, **fields}) + "\n")
        return now

    def close(self) -> None:
        """Close the file."""
        self.file.close()
