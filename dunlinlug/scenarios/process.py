"""One process of a scenario: commands to it, its start and its end."""

import json
import signal

import trio

from dunlinlug.scenarios.commands import Command
from dunlinlug.scenarios.errors import ScenarioError

# Seconds.
STARTUP_TIMEOUT = 20.0
SHUTDOWN_TIMEOUT = 4.0


class ScenarioProcess:
    """A running process, by the name under which errors tell of it."""

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name = name
        self.process = process

    async def send_command(self, command: Command) -> None:
        """Send a command to a stand-in."""
        assert self.process.stdin is not None
        await self.process.stdin.send_all(json.dumps(command).encode() + b"\n")

    async def wait_ready(self) -> None:
        """Wait until a stand-in says that it is ready. Raises ScenarioError if it does not."""
        assert self.process.stdout is not None
        with trio.move_on_after(STARTUP_TIMEOUT):
            if b"ready" in await self.process.stdout.receive_some():
                return
        raise ScenarioError(f"{self.name} did not start")

    async def stop(self) -> None:
        """End the process, by a kill if it does not end in time; also when cancelled."""
        with trio.CancelScope(shield=True):
            if self.process.stdin is not None:
                await self.process.stdin.aclose()
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGCONT)
            with trio.move_on_after(SHUTDOWN_TIMEOUT):
                if self.name == "manager" and self.process.returncode is None:
                    self.process.terminate()
                await self.process.wait()
            if self.process.returncode is None:
                self.process.kill()
                await self.process.wait()
