"""What the tests of standing crossings share: manager processes before a discovery by script, and bytes in pieces that
are each read by themselves."""

import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from dunlinlug.standins.platform import DiscoveryServer
from tests.fixtures.manager_set import free_ports
from tests.platform.test_process import ROOT, SETTINGS, STARTED, Running
from tests.platform.test_process import _alive as alive
from tests.race_conditions.test_process_signals import told

NETLINK_INET_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = (
    4,
    20,
    1,
)  # linux/netlink.h, linux/sock_diag.h


def listed(generation: int, *instances: dict[str, Any], reset: bool = True) -> bytes:
    return json.dumps(
        {"generation": generation, "reset": reset, "instances": instances}, ensure_ascii=False
    ).encode()


def answered(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def chunked(body: bytes, size: int) -> bytes:
    """The same by chunks of so many bytes, wherever that cuts."""
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in [*parts, b""]
    )


class Agent:
    """Discovery by script: `play` writes to each call's connection what it likes, and is told the call's target."""

    def __init__(self, play: Callable[[trio.SocketStream, str], Awaitable[None]]) -> None:
        self.play, self.asked, self.connections = play, list[str](), 0
        self.more = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        data = b""
        try:
            while part := await stream.receive_some():
                data += part
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self.asked.append(head.split()[1].decode())
                    self.more.set()
                    self.more = trio.Event()
                    await self.play(stream, self.asked[-1])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # given up by the manager

    async def calls(self, count: int, within: float = 10.0) -> None:
        with trio.fail_after(within):
            while len(self.asked) < count:
                await self.more.wait()


class Source:
    """Discovery for any number of managers, as the protocol has it: a watch gets all that changed since its version."""

    def __init__(self, *instances: dict[str, Any]) -> None:
        self.version, self.changed = 1, trio.Event()
        self.instances = {entry["instanceId"]: entry for entry in instances}
        self.changes = list[tuple[int, dict[str, Any]]]()
        self.agent = Agent(self.play)

    def tell(self, *entries: dict[str, Any]) -> None:
        self.version += 1
        self.instances.update({entry["instanceId"]: entry for entry in entries})
        self.instances = {
            name: entry for name, entry in self.instances.items() if entry["lifecycle"] != "gone"
        }
        self.changes += [(self.version, entry) for entry in entries]
        self.changed.set()
        self.changed = trio.Event()

    async def play(self, stream: trio.SocketStream, target: str) -> None:
        _, _, query = target.partition("?")
        if not query:
            return await stream.send_all(answered(listed(self.version, *self.instances.values())))
        index, wait = (int(pair.partition("=")[2]) for pair in query.split("&"))
        with trio.move_on_after(wait / 1000):
            while index >= self.version:
                await self.changed.wait()
        fresh = [entry for version, entry in self.changes if version > index]
        await stream.send_all(answered(listed(self.version, *fresh, reset=False)))


class Managers:
    """Manager processes before one discovery, each with a folder, a configuration and a log of its own."""

    def __init__(self, folder: Path, place: str, count: int, **more: Any) -> None:
        self.folder, self.place, self.more = folder, place, more
        self.ports, self.processes = (
            free_ports(count),
            list[trio.Process](),
        )  # the latter: all ever started
        self.running: dict[int, Running] = {}
        self.logs: list[Path] = []

    def config(self, n: int) -> Path:
        return self.folder / f"config{n}.json"

    def told(self, n: int, **more: Any) -> str:
        return json.dumps(told(self.ports[n], **{"discovery": self.place, **self.more, **more}))

    async def start(self, n: int, files: int = 256, **environment: str) -> None:
        """Started, not awaited, with so many descriptors."""
        if not self.config(n).exists():
            self.config(n).write_text(self.told(n))
        self.logs.append(log := self.folder / f"log{n}.{len(self.logs)}")
        with log.open("wb") as out:
            process = await trio.lowlevel.open_process(
                ["/bin/sh", "-c", f"ulimit -n {files}; {STARTED}"],
                cwd=ROOT,
                stderr=out,
                env={**environment, "ROUTER_CONFIG": str(self.config(n))},
            )
        self.processes.append(process)
        self.running[n] = Running(process, self.ports[n], DiscoveryServer([]), self.config(n), log)

    async def until_alive(self, *numbers: int) -> None:
        for n in numbers:
            await alive(self.running[n])

    async def kill(self, n: int) -> None:
        self.running[n].process.kill()
        await self.running[n].process.wait()

    async def end(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            await process.wait()

    def check(self) -> None:
        for log in self.logs:
            assert (
                "Traceback" not in log.read_text()
                and "connection.internal_error" not in log.read_text()
            )


@asynccontextmanager
async def managers(
    folder: Path,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    count: int,
    wait: bool = True,
    **more: Any,
) -> AsyncIterator[tuple[Managers, trio.Nursery]]:
    """So many, before the discovery that `serve` plays, with `more` in their configuration; where we `wait`, each has
    answered `alive`."""
    async with trio.open_nursery() as nursery:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, doors)
        made = Managers(folder, f"127.0.0.1:{doors[0].socket.getsockname()[1]}", count, **more)
        try:
            for n in range(count):
                await made.start(n)
            await made.until_alive(*range(count if wait else 0))
            yield made, nursery
            made.check()
        finally:
            with trio.CancelScope(shield=True):
                await made.end()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def serving(
    folder: Path, serve: Callable[[trio.SocketStream], Awaitable[None]], **more: Any
) -> AsyncIterator[tuple[Running, trio.Nursery]]:
    """The same with one, which is still there at the end."""
    async with managers(folder, serve, 1, **more) as (made, nursery):
        yield made.running[0], nursery
        assert made.running[0].process.poll() is None


def _unread(stream: trio.SocketStream) -> int | None:
    """Bytes that lie in the peer's socket, unread by its process; None where it has closed it. Both are on loopback.

    Asked of the kernel for this one connection (sock_diag(7)): its list of all is long where others are at work."""
    try:
        peer, ours = stream.socket.getpeername(), stream.socket.getsockname()
    except OSError:
        return None
    ends = struct.pack(
        "!HH4s12x4s12x", peer[1], ours[1], socket.inet_aton(peer[0]), socket.inet_aton(ours[0])
    )
    asked = (
        struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
        + ends
        + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    )  # of any state and interface, by no cookie
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_INET_DIAG) as diagnosis:
        diagnosis.send(
            struct.pack("=IHHII", 16 + len(asked), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + asked
        )
        answer = diagnosis.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return None  # an error: there is none any more
    unread: int = struct.unpack_from("=I", answer, 16 + 4 + 48 + 4)[0]
    return unread


async def in_pieces(
    stream: trio.SocketStream, pieces: Iterable[bytes], within: float = 8.0
) -> None:
    """Each piece is written once the peer's process has read the one before, so that each is a reading of its own."""
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    with trio.fail_after(within):
        for piece in pieces:
            await stream.send_all(piece)
            while _unread(stream):
                await trio.sleep(0.0002)


def one_by_one(data: bytes) -> list[bytes]:
    return [data[n : n + 1] for n in range(len(data))]


def settings(
    zones: tuple[str, ...] = ("a", "b"), lanes: tuple[str, str] = ("read", "book"), **specifics: Any
) -> dict[str, Any]:
    return {
        **SETTINGS,
        "dcs": list(zones),
        "zone": zones[0],
        "lanes": [
            {**lane, "name": name} for lane, name in zip(SETTINGS["lanes"], lanes, strict=True)
        ],
        "specifics": {**SETTINGS["specifics"], **specifics},
    }


def known(*instances: dict[str, Any]) -> dict[str, Any]:
    return {"generation": 1, "reset": True, "instances": list(instances)}
