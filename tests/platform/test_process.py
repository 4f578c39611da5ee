"""The manager on the platform as a process on loopback: a discovery that a test steers, and plain clients."""

import json
import os
import signal
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
import trio

from dunlinlug.net import http
from dunlinlug.standins.platform import DiscoveryServer, PlatformClient
from tests.fixtures.manager_set import free_ports
from tests.simulator.test_simulator_wire import INFO

ROOT = Path(__file__).parents[2]
ZONES = ("a", "b")
SETTINGS: dict[str, Any] = {
    **INFO,
    "dcs": list(ZONES),
    "zone": "a",
    "roundUs": 4000,
    "specifics": {
        **INFO["specifics"],
        "initialSet": 6,
        "lateMostUs": 630000,
        "messagesMost": 30,
        "proxyCount": 40,
    },
}


def instance(n: int, **changes: Any) -> dict[str, Any]:
    return {
        "instanceId": f"s-{n}",
        "hostPort": f"127.0.0.1:{9000 + n}",
        "zone": ZONES[n % 2],
        "machineType": "m",
        "cell": 0,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
        **changes,
    }


@dataclass
class Running:
    process: trio.Process
    port: int
    discovery: DiscoveryServer
    config: Path
    log: Path

    async def dial(self) -> PlatformClient:
        return PlatformClient(await trio.open_tcp_stream("127.0.0.1", self.port))

    async def proxy(self) -> PlatformClient:
        """Number 3, joined and with a table."""
        made = await self.dial()
        await made.join(3, ZONES[1])
        with trio.fail_after(10):
            await made.wait_for_table()
        return made

    def said(self, event: str) -> list[dict[str, Any]]:
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [line for line in lines if line["event"] == event]

    async def until_said(self, event: str, count: int = 1) -> dict[str, Any]:
        with trio.fail_after(10):
            while len(self.said(event)) < count:
                await trio.sleep(0.02)
        return self.said(event)[-1]


STARTED = f"exec {sys.executable} -m dunlinlug.platform"


@asynccontextmanager
async def manager(
    folder: Path,
    sockets: int = 256,
    known: int = 0,
    line: str = STARTED,
    specifics: dict[str, Any] | None = None,
    **more: str,
) -> AsyncIterator[Running]:
    """A manager that has answered `alive`, started by a shell's `line` with `more` in its environment, and with these
    changes to the settings' specifics."""
    async with trio.open_nursery() as nursery:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        discovery = DiscoveryServer([instance(n) for n in range(6)])
        nursery.start_soon(http.serve, discovery.handle, doors)
        port, config, log = free_ports(1)[0], folder / "config.json", folder / "log"
        place = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        settings = {**SETTINGS, "specifics": {**SETTINGS["specifics"], **(specifics or {})}}
        told = {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "discovery": place,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings,
            "known": {
                "generation": 1,
                "reset": True,
                "instances": [instance(n) for n in range(known)],
            },
        }
        config.write_text(json.dumps(told))
        with log.open("wb") as out:
            process = await trio.lowlevel.open_process(
                ["/bin/sh", "-c", f"ulimit -n {sockets}; {line}"],
                cwd=ROOT,
                env={
                    **more,
                    "ROUTER_CONFIG": str(config),
                    "ROUTER_NAME": "n1",
                    "ROUTER_LISTEN": f"127.0.0.1:{port}",
                    "ROUTER_DISCOVERY": place,
                },
                stdout=subprocess.DEVNULL,
                stderr=out,
            )
        running = Running(process, port, discovery, config, log)
        try:
            await _alive(running)
            yield running
        finally:
            process.kill()
            await process.wait()
            nursery.cancel_scope.cancel()


async def _alive(running: Running) -> None:
    with trio.fail_after(20):
        while True:
            assert running.process.poll() is None, running.log.read_text()
            try:
                client = await running.dial()
                break
            except OSError:
                await trio.sleep(0.02)
        await client.send(message_type="probe")
        assert await client.receive() == {"@type": "alive"}
        await client.stream.aclose()


WATCHED = """
import sys
def heard(event, args):
    if event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "pty.spawn"):
        with open(PLACE, "a") as out:
            out.write(event + repr(args) + chr(10))
sys.addaudithook(heard)
open(PLACE, "a").close()
"""


async def test_run_is_one_process_that_starts_no_other_program(tmp_path: Path) -> None:
    """By the deploy file's own line: it ends in the manager itself, on TCP over IPv4 alone."""
    place = tmp_path / "heard"
    (tmp_path / "sitecustomize.py").write_text(f"PLACE = {str(place)!r}{WATCHED}")
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    async with manager(tmp_path, line=run, PYTHONPATH=str(tmp_path)) as running:
        await running.proxy()
        told = Path("/proc") / str(running.process.pid)
        assert b"dunlinlug.platform" in told.joinpath("cmdline").read_bytes(), (
            "the shell has made way"
        )
        assert not told.joinpath("task", str(running.process.pid), "children").read_text().split()
        libraries = told.joinpath("maps").read_text()
        assert "/libc.so" in libraries, "linked dynamically against the C library"
        mine = {os.readlink(name) for name in told.joinpath("fd").iterdir()}
        numbers = {
            name.removeprefix("socket:[").rstrip("]") for name in mine if name.startswith("socket:")
        }
        unix = {
            line.split()[6]
            for line in told.joinpath("net", "unix").read_text().splitlines()[1:]
            if len(line.split()) > 7
        }  # those with a name, which somebody could dial
        assert not numbers & unix
        datagrams = {
            line.split()[9] for line in told.joinpath("net", "udp").read_text().splitlines()[1:]
        }
        assert not numbers & datagrams, "members have no place here: no socket of theirs is open"
    assert place.read_text() == ""


async def test_a_proxy_gets_the_list_as_discovery_has_it_and_a_drain_at_once(
    tmp_path: Path,
) -> None:
    async with manager(tmp_path) as running:
        proxy = await running.dial()
        await proxy.join(3, ZONES[1])
        with trio.fail_after(10):
            assert (await proxy.wait_for_table(**{f"s-{n}": 1.0 for n in range(6)})).keys() == {
                f"s-{n}" for n in range(6)
            }
            running.discovery.update(instance(2, lifecycle="draining"))
            await proxy.wait_for_table("s-2")
        assert {call.get("wait") for call in running.discovery.received_queries} == {None, "2000"}


async def test_what_was_known_serves_while_discovery_is_silent_and_its_return_is_noticed(
    tmp_path: Path,
) -> None:
    async with manager(tmp_path, known=3) as running:
        running.discovery.unresponsive = True
        running.discovery.update()
        await running.until_said("discovery.failed")
        proxy = await running.dial()
        await proxy.join(3, ZONES[1])
        with trio.fail_after(10):
            assert len(await proxy.wait_for_table()) >= 3
            running.discovery.unresponsive = False
            running.discovery.instances = [instance(n) for n in (0, 1, 7)]
            running.discovery.generation = 0  # put back
            await proxy.wait_for_table("s-2", "s-3", **{"s-7": 1.0})


async def test_sigterm_ends_it_at_once_with_status_0(tmp_path: Path) -> None:
    async with manager(tmp_path) as running:
        await running.proxy()
        running.process.send_signal(signal.SIGTERM)
        with trio.fail_after(0.5):
            assert await running.process.wait() == 0


async def test_reloads_move_to_the_discovery_named_and_a_bad_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async with manager(tmp_path) as running, trio.open_nursery() as nursery:
        proxy = await running.proxy()
        whole = running.config.read_text()
        nowhere = json.dumps(
            {
                **json.loads(whole),
                "known": {
                    "generation": 1,
                    "reset": True,
                    "instances": [instance(1, hostPort="nowhere")],
                },
            }
        )
        for n, bad in enumerate((whole[:100], "", nowhere, whole.replace('"dcs"', '"none"')), 1):
            running.config.write_text(bad)
            running.process.send_signal(signal.SIGHUP)
            assert "config.json" in (await running.until_said("reload.rejected", n))["why"]
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        other = DiscoveryServer([instance(n) for n in (0, 1, 9)])
        nursery.start_soon(http.serve, other.handle, doors)
        told = json.loads(whole)
        told["discovery"] = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        told["limits"]["sockets"] = 300
        running.config.write_text(json.dumps(told))
        for _ in range(3):
            running.process.send_signal(signal.SIGHUP)
        assert (await running.until_said("reload.done"))["needs_restart"] == ["limits"]
        other.generation = 5
        other.update(instance(9))
        with trio.fail_after(10):
            await proxy.wait_for_table(**{"s-9": 1.0})
        nursery.cancel_scope.cancel()


async def test_a_second_stream_of_a_proxy_ends_the_first(tmp_path: Path) -> None:
    async with manager(tmp_path) as running:
        old, new = await running.proxy(), await running.dial()
        await new.join(3, ZONES[1], new=False)
        with trio.fail_after(10):
            while await old.receive() is not None:
                pass
            await new.wait_for_table()
            running.discovery.update(instance(2, lifecycle="gone"))
            await new.wait_for_table("s-2")


async def test_a_joined_stream_that_can_t_be_read_any_more_is_closed_without_a_word(
    tmp_path: Path,
) -> None:
    async with manager(tmp_path) as running:
        proxy = await running.proxy()
        with trio.fail_after(10):
            await proxy.stream.send_all(b"\x8fgarbage")
            while (order := await proxy.receive()) is not None:
                assert order["@type"] == "push"
            await (await running.proxy()).wait_for_table()


async def test_bad_clients_are_told_so_and_closed_at_once(tmp_path: Path) -> None:
    async with manager(tmp_path) as running:
        for data in (b"GET / HTTP/1.1\r\n\r\n", b'{"@type":"push"}\n', b'{"' + b"x" * 100_000):
            client = await running.dial()
            with trio.fail_after(1):
                await client.stream.send_all(data)
                answer = await client.receive()
                assert answer is not None and answer["@type"] == "error"
                assert await client.receive() is None


async def test_hundreds_of_silent_strangers_leave_room_for_every_proxy(tmp_path: Path) -> None:
    async with manager(tmp_path, sockets=128) as running, trio.open_nursery() as nursery:
        ended, most = 0, 0
        open_files = Path(f"/proc/{running.process.pid}/fd")

        async def stranger(n: int) -> None:
            nonlocal ended
            client = await running.dial()
            if n % 3 == 0:
                await client.stream.send_all(b'{"@type":"hel')
            elif n % 3 == 1:
                await client.send(message_type="probe")
            with trio.fail_after(12):
                while await client.receive() is not None:
                    pass
            ended += 1

        async def count() -> None:
            nonlocal most
            while True:
                most = max(most, len(list(open_files.iterdir())))
                await trio.sleep(0.01)

        joined = set[int]()

        async def proxy(n: int) -> None:
            while (
                n not in joined
            ):  # on a busy machine its hello may come too late; then it dials again, as proxies do
                with suppress(ConnectionError, trio.BrokenResourceError):
                    client = await running.dial()
                    await client.join(n, ZONES[n % 2])
                    await client.wait_for_table()
                    joined.add(n)
            await client.receive()

        nursery.start_soon(count)
        for n in range(300):
            nursery.start_soon(stranger, n)
        for n in range(40):
            nursery.start_soon(proxy, n)
        with trio.fail_after(20):
            while ended < 300 or len(joined) < 40:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
        assert 0 < most < 128 - 3 * len(ZONES)  # room is kept for every proxy and collector
    assert not running.said("connection.internal_error")


@pytest.mark.parametrize(
    ("text", "why"),
    [("", "config"), ("{", "config"), ('{"settings":{}}', "lack"), ('{"settings":7}', "settings")],
)
def test_a_configuration_that_can_t_be_used_is_one_clear_line(
    tmp_path: Path, text: str, why: str
) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    ended = subprocess.run(
        [sys.executable, "-m", "dunlinlug.platform"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={
            "ROUTER_CONFIG": str(config),
            "ROUTER_LISTEN": "127.0.0.1:0",
            "ROUTER_DISCOVERY": "127.0.0.1:1",
        },
        timeout=20,
    )
    assert ended.returncode == 2 and why in ended.stderr and ended.stderr.count("\n") == 1


def test_run_imports_nothing_of_the_other_fronts() -> None:
    heavy = [
        "google.protobuf",
        "h2",
        "lmdb",
        "grpc",
        "envoy",
        "structlog",
        "msgpack",
        "cattrs",
        "dunlinlug.fleet",
        "dunlinlug.ads",
        "dunlinlug.rpc",
        "dunlinlug.storage",
        "dunlinlug.xds",
    ]
    code = f"import sys, dunlinlug.platform.main; print([name for name in {heavy} if name in sys.modules])"
    ended = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20
    )
    assert ended.stdout.strip() == "[]", ended.stderr
