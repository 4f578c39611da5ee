"""What each process of a day writes down, in one file of its own."""

import json
import time
from pathlib import Path
from typing import Any


class RecordWriter:
    """JSON lines, each with the time on the clock that all processes of a machine share, in
    seconds.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", buffering=2**16, encoding="utf-8")

    def write(self, event: str, **fields: Any) -> None:
        self.file.write(json.dumps({"at": round(time.monotonic(), 6), "e": event, **fields}) + "\n")

    def close(self) -> None:
        self.file.close()
