"""The platform's manager as a process on loopback, with simple clients."""

import json
import os
import signal
import subprocess
import sys
import tomllib
from contextlib import suppress
from pathlib import Path

import pytest
import trio

from dunlinlug.net import http
from dunlinlug.standins.platform import DiscoveryServer
from tests.fixtures.platform_process import ROOT, ZONES, instance, running_manager

RECORD_CHILD_PROCESSES = """
import sys
def record(event, args):
    if event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "pty.spawn"):
        with open(RECORD_PATH, "a") as out:
            out.write(event + repr(args) + chr(10))
sys.addaudithook(record)
open(RECORD_PATH, "a").close()
"""


async def test_run_is_one_process_that_starts_no_other_program(tmp_path: Path) -> None:
    """The deploy file's run command becomes the manager, whose sockets are all TCP over IPv4."""
    record = tmp_path / "child_processes"
    (tmp_path / "sitecustomize.py").write_text(
        f"RECORD_PATH = {str(record)!r}{RECORD_CHILD_PROCESSES}"
    )
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    async with running_manager(tmp_path, command=run, PYTHONPATH=str(tmp_path)) as running:
        await running.join_proxy()
        proc = Path("/proc") / str(running.process.pid)
        assert b"dunlinlug.platform" in proc.joinpath("cmdline").read_bytes(), (
            "the shell was not replaced by the manager"
        )
        assert not proc.joinpath("task", str(running.process.pid), "children").read_text().split()
        libraries = proc.joinpath("maps").read_text()
        assert "/libc.so" in libraries, (
            "the interpreter is not linked dynamically against the C library"
        )
        own_files = {os.readlink(name) for name in proc.joinpath("fd").iterdir()}
        numbers = {
            name.removeprefix("socket:[").rstrip("]")
            for name in own_files
            if name.startswith("socket:")
        }
        unix = {
            line.split()[6]
            for line in proc.joinpath("net", "unix").read_text().splitlines()[1:]
            if len(line.split()) > 7
        }  # sockets with a path, to which other processes could connect
        assert not numbers & unix
        datagrams = {
            line.split()[9] for line in proc.joinpath("net", "udp").read_text().splitlines()[1:]
        }
        assert not numbers & datagrams, (
            "a UDP socket is open, although the platform has no membership"
        )
    assert record.read_text() == ""


async def test_a_proxy_gets_the_endpoint_list_and_a_drain_at_once(
    tmp_path: Path,
) -> None:
    async with running_manager(tmp_path) as running:
        proxy = await running.connect()
        await proxy.join(3, ZONES[1])
        with trio.fail_after(10):
            assert (await proxy.wait_for_table(**{f"s-{n}": 1.0 for n in range(6)})).keys() == {
                f"s-{n}" for n in range(6)
            }
            running.discovery.update(instance(2, lifecycle="draining"))
            await proxy.wait_for_table("s-2")
        assert {call.get("wait") for call in running.discovery.received_queries} == {None, "2000"}


async def test_the_initial_list_serves_while_discovery_is_silent_until_it_returns(
    tmp_path: Path,
) -> None:
    async with running_manager(tmp_path, initial_workers=3) as running:
        running.discovery.unresponsive = True
        running.discovery.update()
        await running.until_logged("discovery.failed")
        proxy = await running.connect()
        await proxy.join(3, ZONES[1])
        with trio.fail_after(10):
            assert len(await proxy.wait_for_table()) >= 3
            running.discovery.unresponsive = False
            running.discovery.instances = [instance(n) for n in (0, 1, 7)]
            running.discovery.generation = 0  # the version goes back
            await proxy.wait_for_table("s-2", "s-3", **{"s-7": 1.0})


async def test_sigterm_stops_the_manager_at_once_with_status_0(tmp_path: Path) -> None:
    async with running_manager(tmp_path) as running:
        await running.join_proxy()
        running.process.send_signal(signal.SIGTERM)
        with trio.fail_after(0.5):
            assert await running.process.wait() == 0


async def test_a_reload_changes_the_discovery_address_and_a_bad_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async with running_manager(tmp_path) as running, trio.open_nursery() as nursery:
        proxy = await running.join_proxy()
        config_text = running.config.read_text()
        bad_address = json.dumps(
            {
                **json.loads(config_text),
                "known": {
                    "generation": 1,
                    "reset": True,
                    "instances": [instance(1, hostPort="nowhere")],
                },
            }
        )
        for n, bad in enumerate(
            (config_text[:100], "", bad_address, config_text.replace('"dcs"', '"none"')), 1
        ):
            running.config.write_text(bad)
            running.process.send_signal(signal.SIGHUP)
            assert "config.json" in (await running.until_logged("reload.rejected", n))["why"]
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        other = DiscoveryServer([instance(n) for n in (0, 1, 9)])
        nursery.start_soon(http.serve, other.handle, listeners)
        new_config = json.loads(config_text)
        new_config["discovery"] = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        new_config["limits"]["sockets"] = 300
        running.config.write_text(json.dumps(new_config))
        for _ in range(3):
            running.process.send_signal(signal.SIGHUP)
        assert (await running.until_logged("reload.done"))["needs_restart"] == ["limits"]
        other.generation = 5
        other.update(instance(9))
        with trio.fail_after(10):
            await proxy.wait_for_table(**{"s-9": 1.0})
        nursery.cancel_scope.cancel()


async def test_a_second_connection_of_a_proxy_ends_the_first(tmp_path: Path) -> None:
    async with running_manager(tmp_path) as running:
        old, new = await running.join_proxy(), await running.connect()
        await new.join(3, ZONES[1], new=False)
        with trio.fail_after(10):
            while await old.receive() is not None:
                pass
            await new.wait_for_table()
            running.discovery.update(instance(2, lifecycle="gone"))
            await new.wait_for_table("s-2")


async def test_a_joined_proxy_that_sends_malformed_bytes_is_closed_without_an_error(
    tmp_path: Path,
) -> None:
    async with running_manager(tmp_path) as running:
        proxy = await running.join_proxy()
        with trio.fail_after(10):
            await proxy.stream.send_all(b"\x8fgarbage")
            order = await proxy.receive()
            while order is not None:
                assert order["@type"] == "push"
                order = await proxy.receive()
            await (await running.join_proxy()).wait_for_table()


async def test_unusable_clients_get_an_error_and_are_closed_at_once(tmp_path: Path) -> None:
    async with running_manager(tmp_path) as running:
        for data in (b"GET / HTTP/1.1\r\n\r\n", b'{"@type":"push"}\n', b'{"' + b"x" * 100_000):
            client = await running.connect()
            with trio.fail_after(1):
                await client.stream.send_all(data)
                answer = await client.receive()
                assert answer is not None and answer["@type"] == "error"
                assert await client.receive() is None


async def test_hundreds_of_unjoined_connections_leave_room_for_every_proxy(tmp_path: Path) -> None:
    async with running_manager(tmp_path, sockets=128) as running, trio.open_nursery() as nursery:
        ended_count = 0
        max_open_files = 0
        open_files = Path(f"/proc/{running.process.pid}/fd")

        async def unjoined_client(n: int) -> None:
            nonlocal ended_count
            client = await running.connect()
            if n % 3 == 0:
                await client.stream.send_all(b'{"@type":"hel')
            elif n % 3 == 1:
                await client.send(message_type="probe")
            with trio.fail_after(12):
                while await client.receive() is not None:
                    pass
            ended_count += 1

        async def count() -> None:
            nonlocal max_open_files
            while True:
                max_open_files = max(max_open_files, len(list(open_files.iterdir())))
                await trio.sleep(0.01)

        joined = set[int]()

        async def proxy(n: int) -> None:
            while (
                n not in joined
            ):  # on a busy machine the hello may arrive too late; then the proxy reconnects
                with suppress(ConnectionError, trio.BrokenResourceError):
                    client = await running.connect()
                    await client.join(n, ZONES[n % 2])
                    await client.wait_for_table()
                    joined.add(n)
            await client.receive()

        nursery.start_soon(count)
        for n in range(300):
            nursery.start_soon(unjoined_client, n)
        for n in range(40):
            nursery.start_soon(proxy, n)
        with trio.fail_after(20):
            while ended_count < 300 or len(joined) < 40:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
        assert (
            0 < max_open_files < 128 - 3 * len(ZONES)
        )  # descriptors remain for every proxy and collector
    assert not running.logged("connection.internal_error")


@pytest.mark.parametrize(
    ("text", "why"),
    [("", "config"), ("{", "config"), ('{"settings":{}}', "lack"), ('{"settings":7}', "settings")],
)
def test_an_unusable_configuration_is_reported_in_one_line(
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


def test_the_platform_imports_nothing_of_the_other_front_ends() -> None:
    excluded = [
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
    code = f"import sys, dunlinlug.platform.main; print([name for name in {excluded} if name in sys.modules])"
    ended = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20
    )
    assert ended.stdout.strip() == "[]", ended.stderr
