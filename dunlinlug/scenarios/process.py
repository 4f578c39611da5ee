"""A process of a scenario: its startup, commands to it, and its shutdown."""

import json
import signal

import trio

from dunlinlug.scenarios.commands import Command
from dunlinlug.scenarios.errors import ScenarioError

# Seconds.
STARTUP_TIMEOUT = 20.0
SHUTDOWN_TIMEOUT = 4.0


class ScenarioProcess:
    """A running process; errors use its name."""

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name = name
        self.process = process

    async def send_command(self, command: Command) -> None:
        """Send a command to a stand-in."""
        assert self.process.stdin is not None
        await self.process.stdin.send_all(json.dumps(command).encode() + b"\n")

    async def wait_ready(self) -> None:
        """Wait until a stand-in reports that it is ready. Raises ScenarioError on a timeout."""
        assert self.process.stdout is not None
        with trio.move_on_after(STARTUP_TIMEOUT):
            if b"ready" in await self.process.stdout.receive_some():
                return
        raise ScenarioError(f"{self.name} did not start")

    async def stop(self) -> None:
        """Stop the process, and kill it after a timeout; runs to the end even if cancelled."""
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
