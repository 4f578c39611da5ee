"""Starts the project's programs as the deploy file says, and ends them by their process ids."""

import asyncio
import atexit
import json
import os
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 30.0


class NotReadyError(Exception):
    """The manager did not start, so that the case could not run."""


def end_at_exit(end: Callable[[], object]) -> None:
    """Call `end` however this process exits, also when SIGTERM ends it."""

    def stop(*_: object) -> None:
        end()
        os._exit(2)

    atexit.register(end)
    signal.signal(signal.SIGTERM, stop)


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    return str(deploy[name])


class PlatformManager:
    """One manager, started by `run` of the deploy file."""

    def __init__(
        self, folder: Path, discovery_port: int, known: dict[str, Any], settings: dict[str, Any]
    ) -> None:
        self.folder = folder
        self.port = free_port()
        self.address = ("127.0.0.1", self.port)
        self.discovery = f"127.0.0.1:{discovery_port}"
        self.config = folder / "config.json"
        self.log = folder / "manager.log"
        self.process: subprocess.Popen[bytes] | None = None
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        names = {"name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery}
        content = {**names, "seed": "8c1f30d27a5be964", "limits": limits, "known": known}
        self.config.write_text(json.dumps({**content, "settings": settings}))

    async def start(self) -> None:
        """Start the process and wait for its answer `alive`. Raises NotReadyError."""
        end_at_exit(self.end)
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "TMPDIR": str(temporary),
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_DISCOVERY": self.discovery,
            "ROUTER_CONFIG": str(self.config),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                while not await self.is_alive():
                    if self.process.poll() is not None:
                        raise NotReadyError(self.log.read_text()[-500:])
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise NotReadyError("no answer to a probe in time") from None

    async def is_alive(self) -> bool:
        """Return whether the manager answers a probe."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b'{"@type":"probe"}\n')
            async with asyncio.timeout(2.0):
                return json.loads(await reader.readuntil(b"\n")) == {"@type": "alive"}
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def end(self) -> int | None:
        """End the process; return the status that it had ended with before, if it had."""
        if self.process is None:
            return None
        status = self.process.poll()
        if status is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        return status
