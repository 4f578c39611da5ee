"""Starts, commands and stops the processes of a run, and writes the configuration of managers."""

import contextlib
import json
import secrets
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from random import Random
from subprocess import PIPE
from typing import Any

import trio

from bench.scale import part
from bench.scale.budget import RunError
from bench.scale.scenario import CHANNEL_LINES_PER_S
from tests.fixtures.ports import reserve_port

ROOT = Path(__file__).parent.parent.parent
PORTS = range(12000, 30000)  # below the ephemeral ports of outgoing connections
HOST = "127.0.0.1"
# Real seconds for the answer of a process on a busy machine, and for its exit before it is killed.
ANSWER_TIMEOUT_SECONDS, EXIT_TIMEOUT_SECONDS = (
    60.0,
    6.0,
)

MANAGER_CONFIG = """[manager]
listen = {serves}
store = {store}
seed = {seed}
log = json
standing = 4
[channel]
lines_per_s = {most}/s
message_lines = 4
waiting_most = 40000
transit = 20ms
transit_most = 300ms
pace = {pace}/s
[duties]
bare = 6s
drain_grace = 4s
warm_after = 8s
cold_share = 30%
fall_multiple = 3
fall_after = 2s
[roster]
address = {discovery}
service = actual
wait = 10s
[probes]
allowed = no
[reports]
cycle = 1s
lines_per_s = 80/s
fields = queue, service_s
[product read]
sla = 800ms
deadline = 2s
revenue = 1
repeats = idempotent
[product book]
sla = 800ms
deadline = 2s
revenue = 5
repeats = referenced
group = zone
window = 1200ms
[members]
me = {me}
key_file = {key}
beat = {beat}ms
"""


def is_port_free(port: int) -> bool:
    """Return whether both a UDP socket and a TCP listener can be bound to the port."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as attempt:
            if kind == socket.SOCK_STREAM:
                attempt.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                attempt.bind((HOST, port))
            except OSError:
                return False
    return True


def assign_addresses(names: list[str]) -> dict[str, tuple[str, int]]:
    """Return a free address for each name, all different. Raises RunError."""
    ports = iter(Random(secrets.randbits(64)).sample(PORTS, len(PORTS)))
    found: dict[str, tuple[str, int]] = {}
    for name in names:
        port = next((port for port in ports if reserve_port(port) and is_port_free(port)), None)
        if port is None:
            raise RunError(f"no free port for {name}")
        found[name] = (HOST, port)
    return found


def format_address(address: tuple[str, int]) -> str:
    """Return the address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def manager_file(
    folder: Path,
    me: str,
    addresses: Mapping[str, tuple[str, int]],
    members: tuple[str, ...],
    seed: int,
    beat: float,
    pace: int,
) -> Path:
    """Write the configuration of one real manager.

    `at` maps `discovery`, member names, and `serves NAME` for managers with proxies to addresses.
    """
    text = MANAGER_CONFIG.format(
        serves=format_address(addresses[f"serves {me}"]),
        store=folder / f"store-{me}",
        seed=seed,
        pace=pace,
        most=CHANNEL_LINES_PER_S,
        discovery=format_address(addresses["discovery"]),
        me=me,
        key=folder / "key",
        beat=round(beat * 1000),
    )
    for name in members:
        serves = addresses.get(f"serves {name}", addresses[name])
        text += f"[member {name}]\nserves = {format_address(serves)}\nknows = {format_address(addresses[name])}\n"
    path = folder / f"{me}.ini"
    path.write_text(text)
    return path


class ChildProcess:
    """One process of the run; `names` are its members."""

    def __init__(
        self, name: str, role: str, names: tuple[str, ...], process: trio.Process, log: Path
    ) -> None:
        self.name, self.role, self.names, self.process, self.log = name, role, names, process, log
        self.lock, self.buffer = trio.Lock(), b""
        self.is_ending = False

    async def _line(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        while b"\n" not in self.buffer:
            data = await self.process.stdout.receive_some(2**16)
            if not data:
                with trio.move_on_after(1.0):
                    await self.process.wait()
                raise RunError(
                    f"{self.name} ended during the run (status {self.process.returncode}){self._last_log_line()}"
                )
            self.buffer += data
            if len(self.buffer) > part.MAX_LINE_BYTES:
                raise RunError(f"the answer of {self.name} is over the length limit")
        line, _, self.buffer = self.buffer.partition(b"\n")
        answer: dict[str, Any] = json.loads(line)
        if answer.get("did") == "failed":
            raise RunError(f"{self.name}: {answer['why']}")
        return answer

    def _last_log_line(self) -> str:
        """Return the last line of its log, if there is one."""
        lines = self.log.read_text(encoding="utf-8", errors="replace").splitlines()
        return f": {lines[-1][-300:]}" if lines else ""

    async def ready(self, within: float) -> None:
        """Wait until the process reports that it is ready. Raises RunError after the time limit."""
        with trio.move_on_after(within):
            if (await self._line())["did"] == "ready":
                return
        raise RunError(f"{self.name} was not ready within {within:g} s")

    async def ask(self, command: Mapping[str, Any]) -> dict[str, Any]:
        """Send a command and return its answer. Raises RunError if the process died or times out."""
        with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            async with self.lock:
                try:
                    assert self.process.stdin is not None
                    await self.process.stdin.send_all(json.dumps(command).encode() + b"\n")
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass  # it died: reading its output raises the error
                return await self._line()
        raise RunError(
            f"{self.name} did not answer {command['do']} within {ANSWER_TIMEOUT_SECONDS:g} s"
        )

    async def end(self) -> None:
        """Close the input of the process, and kill it if it does not exit in time."""
        self.is_ending = True
        with trio.CancelScope(shield=True):
            if self.process.stdin is not None:
                with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    await self.process.stdin.aclose()
            with trio.move_on_after(EXIT_TIMEOUT_SECONDS):
                await self.process.wait()
            if self.process.returncode is None:
                self.process.kill()
                await self.process.wait()
            if self.process.stdout is not None:
                await self.process.stdout.aclose()


async def start(
    name: str, role: str, names: tuple[str, ...], settings: Mapping[str, Any], folder: Path
) -> ChildProcess:
    """Start the process of a role, and send it its settings as the first line."""
    command = [sys.executable, "-m", f"bench.scale.{role}"]
    path = folder / f"{name}.log"
    with path.open("ab") as log:
        process = await trio.lowlevel.open_process(
            command, stdin=PIPE, stdout=PIPE, stderr=log, cwd=ROOT, start_new_session=True
        )
    assert process.stdin is not None
    child = ChildProcess(name, role, names, process, path)
    try:
        with trio.fail_after(ANSWER_TIMEOUT_SECONDS):
            await process.stdin.send_all(json.dumps(settings).encode() + b"\n")
    except (trio.BrokenResourceError, trio.TooSlowError):
        await child.end()
        raise RunError(f"{name} did not read its settings") from None
    except BaseException:  # also when cancelled: no other code has a reference to the process
        await child.end()
        raise
    return child
