"""What every stand-in shares: a record file, commands as JSON lines on standard input, and an end at its close."""

import json
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import trio

Command = dict[str, Any]


class Record:
    """JSON lines, each with the time on the clock that all processes of a machine share, in seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", buffering=2**16, encoding="utf-8")

    def write(self, event: str, **fields: Any) -> None:
        self.file.write(json.dumps({"at": round(time.monotonic(), 6), "e": event, **fields}) + "\n")

    def close(self) -> None:
        self.file.close()


async def commands(obey: Callable[[Command], Coroutine[Any, Any, None]]) -> None:
    """Obey each line of standard input, until it closes."""
    buffer = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as stream:
        async for data in stream:
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                await obey(json.loads(line))


async def play(record: Record, tasks: list[Callable[[], Coroutine[Any, Any, None]]],
               obey: Callable[[Command], Coroutine[Any, Any, None]]) -> None:
    """Run the tasks, say that we are ready, obey until standard input closes, then end all."""
    async def flush() -> None:
        while True:
            await trio.sleep(0.5)
            record.file.flush()

    try:
        async with trio.open_nursery() as nursery:
            for task in [*tasks, flush]:
                nursery.start_soon(task)
            print(json.dumps({"ready": True}), flush=True)
            await commands(obey)
            nursery.cancel_scope.cancel()
    finally:
        record.close()
