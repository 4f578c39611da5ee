"""What every stand-in shares: commands as JSON lines on standard input, and an end at its close."""

import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import trio

from dunlinlug.scenarios.records import RecordWriter

Command = dict[str, Any]


async def execute_commands(execute: Callable[[Command], Coroutine[Any, Any, None]]) -> None:
    """Obey each line of standard input, until it closes."""
    buffer = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as stream:
        async for data in stream:
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                await execute(json.loads(line))


async def run_until_input_closes(
    record: RecordWriter,
    tasks: list[Callable[[], Coroutine[Any, Any, None]]],
    execute: Callable[[Command], Coroutine[Any, Any, None]],
) -> None:
    """Run the tasks, say that we are ready, obey until standard input closes, then end all."""

    async def flush_periodically() -> None:
        while True:
            await trio.sleep(0.5)
            record.file.flush()

    try:
        async with trio.open_nursery() as nursery:
            for task in [*tasks, flush_periodically]:
                nursery.start_soon(task)
            print(json.dumps({"ready": True}), flush=True)
            await execute_commands(execute)
            nursery.cancel_scope.cancel()
    finally:
        record.close()
