"""The process's log: one JSON object per line on standard error."""

import json
import sys
import time
from typing import Any


def log_event(event: str, **fields: Any) -> None:
    """Write one line: the wall time in Unix seconds, the event's name and its fields."""
    entry = {"at": round(time.time(), 3), "event": event, **fields}
    sys.stderr.write(json.dumps(entry, default=str) + "\n")
