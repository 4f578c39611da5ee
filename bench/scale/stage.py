"""Starts the processes of a run, talks to them, and ends each by its id; gives every part its place
and its file.
"""

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
from bench.scale.scenario import PACE
from tests.fixtures.ports import reserve_port

ROOT = Path(__file__).parent.parent.parent
PORTS = range(12000, 30000)  # below those that outgoing connections get
HOST = "127.0.0.1"
ANSWER, ENDING = (
    60.0,
    6.0,
)  # true seconds for an answer of a part on a full machine, and to end before being killed

MANAGER = """[manager]
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


def free(port: int) -> bool:
    """Whether both a datagram's socket and a listener fit there."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as attempt:
            if kind == socket.SOCK_STREAM:
                attempt.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                attempt.bind((HOST, port))
            except OSError:
                return False
    return True


def places(names: list[str]) -> dict[str, tuple[str, int]]:
    """A free place for each, none twice. Raises RunFault."""
    ports = iter(Random(secrets.randbits(64)).sample(PORTS, len(PORTS)))
    found: dict[str, tuple[str, int]] = {}
    for name in names:
        port = next((port for port in ports if reserve_port(port) and free(port)), None)
        if port is None:
            raise RunError(f"no free port for {name}")
        found[name] = (HOST, port)
    return found


def written(place: tuple[str, int]) -> str:
    return f"{place[0]}:{place[1]}"


def manager_file(
    folder: Path,
    me: str,
    at: Mapping[str, tuple[str, int]],
    members: tuple[str, ...],
    seed: int,
    beat: float,
    pace: int,
) -> Path:
    """The INI of one real manager; `at` has `serves NAME` of those that serve proxies, and
    discovery.
    """
    text = MANAGER.format(
        serves=written(at[f"serves {me}"]),
        store=folder / f"store-{me}",
        seed=seed,
        pace=pace,
        most=PACE,
        discovery=written(at["discovery"]),
        me=me,
        key=folder / "key",
        beat=round(beat * 1000),
    )
    for name in members:
        serves = at.get(f"serves {name}", at[name])
        text += f"[member {name}]\nserves = {written(serves)}\nknows = {written(at[name])}\n"
    path = folder / f"{me}.ini"
    path.write_text(text)
    return path


class Part:
    """One process; `names` are the members in it."""

    def __init__(
        self, name: str, role: str, names: tuple[str, ...], process: trio.Process, log: Path
    ) -> None:
        self.name, self.role, self.names, self.process, self.log = name, role, names, process, log
        self.lock, self.rest = trio.Lock(), b""
        self.ending = False

    async def _line(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        while b"\n" not in self.rest:
            data = await self.process.stdout.receive_some(2**16)
            if not data:
                with trio.move_on_after(1.0):
                    await self.process.wait()
                raise RunError(
                    f"{self.name} ended during the run (status {self.process.returncode}){self._last()}"
                )
            self.rest += data
            if len(self.rest) > part.LINE:
                raise RunError(f"{self.name} says more than is taken")
        line, _, self.rest = self.rest.partition(b"\n")
        said: dict[str, Any] = json.loads(line)
        if said.get("did") == "failed":
            raise RunError(f"{self.name}: {said['why']}")
        return said

    def _last(self) -> str:
        """The last line that it wrote, where it wrote any."""
        lines = self.log.read_text(encoding="utf-8", errors="replace").splitlines()
        return f": {lines[-1][-300:]}" if lines else ""

    async def ready(self, within: float) -> None:
        with trio.move_on_after(within):
            if (await self._line())["did"] == "ready":
                return
        raise RunError(f"{self.name} did not get ready within {within:g} s")

    async def ask(self, command: Mapping[str, Any]) -> dict[str, Any]:
        """Raises RunFault if it died, or does not answer."""
        with trio.move_on_after(ANSWER):
            async with self.lock:
                try:
                    assert self.process.stdin is not None
                    await self.process.stdin.send_all(json.dumps(command).encode() + b"\n")
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass  # it died: what its output ends with tells
                return await self._line()
        raise RunError(f"{self.name} did not answer {command['do']} within {ANSWER:g} s")

    async def end(self) -> None:
        """Ask by the close of its input, then insist; leaves no process."""
        self.ending = True
        with trio.CancelScope(shield=True):
            if self.process.stdin is not None:
                with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    await self.process.stdin.aclose()
            with trio.move_on_after(ENDING):
                await self.process.wait()
            if self.process.returncode is None:
                self.process.kill()
                await self.process.wait()
            if self.process.stdout is not None:
                await self.process.stdout.aclose()


async def start(
    name: str, role: str, names: tuple[str, ...], told: Mapping[str, Any], folder: Path
) -> Part:
    """A process by the module of its role, which is told its work by its first line."""
    command = [sys.executable, "-m", f"bench.scale.{role}"]
    path = folder / f"{name}.log"
    with path.open("ab") as log:
        process = await trio.lowlevel.open_process(
            command, stdin=PIPE, stdout=PIPE, stderr=log, cwd=ROOT, start_new_session=True
        )
    assert process.stdin is not None
    made = Part(name, role, names, process, path)
    try:
        with trio.fail_after(ANSWER):
            await process.stdin.send_all(json.dumps(told).encode() + b"\n")
    except (trio.BrokenResourceError, trio.TooSlowError):
        await made.end()
        raise RunError(f"{name} does not take what it is told") from None
    except BaseException:  # Danger: cancelled here, nobody else would know of the process
        await made.end()
        raise
    return made
