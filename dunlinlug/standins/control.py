"""What all stand-ins share: commands on standard input, and an end when it closes."""

import json
import sys
from collections.abc import Callable, Coroutine

import trio

from dunlinlug.scenarios.commands import Command
from dunlinlug.scenarios.records import RecordWriter

FLUSH_INTERVAL = 0.5  # seconds; a process that is killed loses no more of its record

Task = Callable[[], Coroutine[object, object, None]]
CommandHandler = Callable[[Command], Coroutine[object, object, None]]

__all__ = ["Command", "execute_commands", "run_until_input_closes"]


async def execute_commands(execute: CommandHandler) -> None:
    """Carry out each line of standard input, until it closes."""
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
    """Run the tasks and carry out commands until standard input closes; then end them.

    That the stand-in is ready is printed once the tasks have been started.
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
