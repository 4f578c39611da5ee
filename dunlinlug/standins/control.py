"""Shared by all stand-ins: commands on standard input, and shutdown when it closes."""

import json
import sys
from collections.abc import Callable, Coroutine

import trio

from dunlinlug.scenarios.commands import Command
from dunlinlug.scenarios.records import RecordWriter

FLUSH_INTERVAL = 0.5  # seconds; a killed process loses at most this much of its record

Task = Callable[[], Coroutine[object, object, None]]
CommandHandler = Callable[[Command], Coroutine[object, object, None]]

__all__ = ["Command", "execute_commands", "run_until_input_closes"]


async def execute_commands(execute: CommandHandler) -> None:
    """Execute each line of standard input as a command, until it closes."""
    buffer = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as stream:
        async for data in stream:
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                await execute(json.loads(line))


async def run_until_input_closes(
    record: RecordWriter,
    tasks: list[Task],
    execute: CommandHandler,
) -> None:
    """Run the tasks and execute commands until standard input closes; then cancel the tasks.

    Prints a line of JSON with `ready` once the tasks have been started.
    """

    async def flush_periodically() -> None:
        while True:
            await trio.sleep(FLUSH_INTERVAL)
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
