"""Manager processes that query a scripted discovery, and messages sent to them in pieces."""

import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from dunlinlug.standins.platform import DiscoveryServer
from tests.fixtures.platform_process import (
    ROOT,
    SETTINGS,
    START_COMMAND,
    RunningManager,
    manager_config,
    wait_until_alive,
)
from tests.fixtures.ports import free_ports

# linux/netlink.h, linux/sock_diag.h
NETLINK_INET_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1


def list_body(generation: int, *instances: dict[str, Any], reset: bool = True) -> bytes:
    """Return the body of a complete endpoint list, or of changes to it if not `reset`."""
    return json.dumps(
        {"generation": generation, "reset": reset, "instances": instances}, ensure_ascii=False
    ).encode()


def http_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def chunked_response(body: bytes, size: int) -> bytes:
    """Return a chunked response whose chunks of `size` bytes may split characters."""
    chunks = [body[n : n + size] for n in range(0, len(body), size)]
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""]
    )


class ScriptedDiscovery:
    """A discovery server that calls `respond` with the connection and the path of each query."""

    def __init__(self, respond: Callable[[trio.SocketStream, str], Awaitable[None]]) -> None:
        self.respond = respond
        self.queries = list[str]()
        self.connection_count = 0
        self.query_arrived = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connection_count += 1
        data = b""
        try:
            async for part in stream:
                data += part
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self.queries.append(head.split()[1].decode())
                    self.query_arrived.set()
                    self.query_arrived = trio.Event()
                    await self.respond(stream, self.queries[-1])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # closed by the manager

    async def until_queried(self, count: int, timeout: float = 10.0) -> None:
        with trio.fail_after(timeout):
            while len(self.queries) < count:
                await self.query_arrived.wait()


class DiscoverySource:
    """Discovery for any number of managers: a watch returns the changes since its version."""

    def __init__(self, *instances: dict[str, Any]) -> None:
        self.version = 1
        self.changed = trio.Event()
        self.instances = {entry["instanceId"]: entry for entry in instances}
        self.changes = list[tuple[int, dict[str, Any]]]()
        self.server = ScriptedDiscovery(self.respond)

    def update(self, *entries: dict[str, Any]) -> None:
        self.version += 1
        self.instances.update({entry["instanceId"]: entry for entry in entries})
        self.instances = {
            name: entry for name, entry in self.instances.items() if entry["lifecycle"] != "gone"
        }
        self.changes += [(self.version, entry) for entry in entries]
        self.changed.set()
        self.changed = trio.Event()

    async def respond(self, stream: trio.SocketStream, target: str) -> None:
        _, _, query = target.partition("?")
        if not query:
            return await stream.send_all(
                http_response(list_body(self.version, *self.instances.values()))
            )
        index, wait = (int(pair.partition("=")[2]) for pair in query.split("&"))
        with trio.move_on_after(wait / 1000):
            while index >= self.version:
                await self.changed.wait()
        changed = [entry for version, entry in self.changes if version > index]
        await stream.send_all(http_response(list_body(self.version, *changed, reset=False)))


class Managers:
    """Manager processes that share one discovery, each with its own configuration file and log."""

    def __init__(self, folder: Path, discovery_address: str, count: int, **overrides: Any) -> None:
        self.folder = folder
        self.discovery_address = discovery_address
        self.overrides = overrides
        self.ports = free_ports(count)
        self.processes = list[trio.Process]()  # including those that have ended
        self.running: dict[int, RunningManager] = {}
        self.logs: list[Path] = []

    def config_path(self, n: int) -> Path:
        return self.folder / f"config{n}.json"

    def config_text(self, n: int, **overrides: Any) -> str:
        return json.dumps(
            manager_config(
                self.ports[n],
                **{"discovery": self.discovery_address, **self.overrides, **overrides},
            )
        )

    async def start(self, n: int, max_files: int = 256, **environment: str) -> None:
        """Start a manager that may open `max_files` descriptors; do not wait until it serves."""
        if not self.config_path(n).exists():
            self.config_path(n).write_text(self.config_text(n))
        log = self.folder / f"log{n}.{len(self.logs)}"
        self.logs.append(log)
        with log.open("wb") as out:
            process = await trio.lowlevel.open_process(
                ["/bin/sh", "-c", f"ulimit -n {max_files}; {START_COMMAND}"],
                cwd=ROOT,
                stderr=out,
                env={**environment, "ROUTER_CONFIG": str(self.config_path(n))},
            )
        self.processes.append(process)
        self.running[n] = RunningManager(
            process, self.ports[n], DiscoveryServer([]), self.config_path(n), log
        )

    async def until_alive(self, *numbers: int) -> None:
        for n in numbers:
            await wait_until_alive(self.running[n])

    async def kill(self, n: int) -> None:
        self.running[n].process.kill()
        await self.running[n].process.wait()

    async def kill_all(self) -> None:
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
async def running_managers(
    folder: Path,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    count: int,
    wait: bool = True,
    **overrides: Any,
) -> AsyncIterator[tuple[Managers, trio.Nursery]]:
    """Start `count` managers that query the discovery served by `serve`.

    `overrides` replace values of their configuration. With `wait`, each has answered a liveness
    probe before the context is entered.
    """
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        managers = Managers(
            folder, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}", count, **overrides
        )
        try:
            for n in range(count):
                await managers.start(n)
            await managers.until_alive(*range(count if wait else 0))
            yield managers, nursery
            managers.check()
        finally:
            with trio.CancelScope(shield=True):
                await managers.kill_all()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def serving_manager(
    folder: Path, serve: Callable[[trio.SocketStream], Awaitable[None]], **overrides: Any
) -> AsyncIterator[tuple[RunningManager, trio.Nursery]]:
    """Start one manager as `running_managers` does, and check that it still runs at the end."""
    async with running_managers(folder, serve, 1, **overrides) as (managers, nursery):
        yield managers.running[0], nursery
        assert managers.running[0].process.poll() is None


def _unread(stream: trio.SocketStream) -> int | None:
    """Return the bytes that the peer's process has not read; None if it has closed its socket.

    Both ends are on loopback. Queries the kernel for this one connection (sock_diag(7)), because
    its list of all connections is long on a busy machine.
    """
    try:
        remote = stream.socket.getpeername()
        local = stream.socket.getsockname()
    except OSError:
        return None
    endpoints = struct.pack(
        "!HH4s12x4s12x",
        remote[1],
        local[1],
        socket.inet_aton(remote[0]),
        socket.inet_aton(local[0]),
    )
    request = (
        struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
        + endpoints
        + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    )  # any state, interface and cookie
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_INET_DIAG) as diagnosis:
        diagnosis.send(
            struct.pack("=IHHII", 16 + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
            + request
        )
        answer = diagnosis.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return None  # an error: the connection no longer exists
    unread: int = struct.unpack_from("=I", answer, 16 + 4 + 48 + 4)[0]
    return unread


async def send_in_pieces(
    stream: trio.SocketStream, pieces: Iterable[bytes], timeout: float = 8.0
) -> None:
    """Write each piece after the peer's process has read the one before.

    Each read of the peer then returns a single piece.
    """
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    with trio.fail_after(timeout):
        for piece in pieces:
            await stream.send_all(piece)
            while _unread(stream):
                await trio.sleep(0.0002)


def single_bytes(data: bytes) -> list[bytes]:
    return [data[n : n + 1] for n in range(len(data))]


def fleet_settings(
    zones: tuple[str, ...] = ("a", "b"),
    traffic_classes: tuple[str, str] = ("read", "book"),
    **specifics: Any,
) -> dict[str, Any]:
    """Return the platform's settings, with `specifics` replacing values of that section."""
    return {
        **SETTINGS,
        "dcs": list(zones),
        "zone": zones[0],
        "lanes": [
            {**entry, "name": name}
            for entry, name in zip(SETTINGS["lanes"], traffic_classes, strict=True)
        ],
        "specifics": {**SETTINGS["specifics"], **specifics},
    }
