"""What every stand-in shares: commands as JSON lines on standard input, and an end at its close."""

import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import trio

from dunlinlug.day.record import Record

Command = dict[str, Any]


async def commands(obey: Callable[[Command], Coroutine[Any, Any, None]]) -> None:
    """Obey each line of standard input, until it closes."""
    buffer = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as stream:
        async for data in stream:
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                await obey(json.loads(line))


async def play(
    record: Record,
    tasks: list[Callable[[], Coroutine[Any, Any, None]]],
    obey: Callable[[Command], Coroutine[Any, Any, None]],
) -> None:
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
