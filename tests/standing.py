"""What the tests of standing crossings share: a manager process before a discovery by script, bytes in pieces that are
each read by themselves, and proxies that roam over several managers."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from dunlinlug.standin.platform import Discovery
from tests.fleet import free_ports
from tests.test_crossings_process import start, told
from tests.test_platform_process import SETTINGS, Running, instance
from tests.test_platform_process import _alive as alive


def listed(generation: int, *instances: dict[str, Any], reset: bool = True) -> bytes:
    return json.dumps({"generation": generation, "reset": reset, "instances": instances},
                      ensure_ascii=False).encode()


def answered(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


def chunked(body: bytes, size: int) -> bytes:
    """The same by chunks of so many bytes, wherever that cuts."""
    parts = [body[n:n + size] for n in range(0, len(body), size)]
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in [*parts, b""])


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


@asynccontextmanager
async def serving(folder: Path, serve: Callable[[trio.SocketStream], Awaitable[None]],
                  **more: Any) -> AsyncIterator[tuple[Running, trio.Nursery]]:
    """A manager that has answered `alive` before the discovery that `serve` plays; `more` is in its configuration."""
    async with trio.open_nursery() as nursery:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, doors)
        port, config, log = free_ports(1)[0], folder / "config.json", folder / "log"
        place = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        config.write_text(json.dumps(told(port, discovery=place, **more)))
        process = await start(config, log)
        try:
            running = Running(process, port, Discovery([]), config, log)
            await alive(running)
            yield running, nursery
            assert process.poll() is None, log.read_text()
            assert "Traceback" not in log.read_text() and not running.said("connection.fault")
        finally:
            process.kill()
            await process.wait()
            nursery.cancel_scope.cancel()


def _unread(stream: trio.SocketStream) -> int | None:
    """Bytes that lie in the peer's socket, unread by its process; None where it has closed it. Both are on loopback."""
    def written(place: tuple[str, int]) -> str:
        return "".join(f"{int(part):02X}" for part in reversed(place[0].split("."))) + f":{place[1]:04X}"
    try:
        ends = f"{written(stream.socket.getpeername())} {written(stream.socket.getsockname())} "
    except OSError:
        return None
    for line in Path("/proc/net/tcp").read_text().splitlines():
        if ends in line:
            return int(line.split()[4].partition(":")[2], 16)
    return None


async def in_pieces(stream: trio.SocketStream, pieces: Iterable[bytes], within: float = 8.0) -> None:
    """Each piece is written once the peer's process has read the one before, so that each is a reading of its own."""
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    with trio.fail_after(within):
        for piece in pieces:
            await stream.send_all(piece)
            while _unread(stream):
                await trio.lowlevel.checkpoint()


def one_by_one(data: bytes) -> list[bytes]:
    return [data[n:n + 1] for n in range(len(data))]


def settings(zones: tuple[str, ...] = ("a", "b"), lanes: tuple[str, str] = ("read", "book"),
             **specifics: Any) -> dict[str, Any]:
    return {**SETTINGS, "dcs": list(zones), "zone": zones[0],
            "lanes": [{**lane, "name": name} for lane, name in zip(SETTINGS["lanes"], lanes, strict=True)],
            "specifics": {**SETTINGS["specifics"], **specifics}}


def known(*instances: dict[str, Any]) -> dict[str, Any]:
    return {"generation": 1, "reset": True, "instances": list(instances)}


__all__ = ["Agent", "Running", "answered", "chunked", "in_pieces", "instance", "known", "listed", "one_by_one",
           "serving", "settings"]
