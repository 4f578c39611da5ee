"""The manager on the platform as a process on loopback: a discovery that a test steers, and plain clients."""

import json
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio

from dunlinlug.net import http
from dunlinlug.platform.main import serve

ROOT = Path(__file__).parent.parent
ZONES = ("a", "b")
SETTINGS: dict[str, Any] = {
    "dcs": list(ZONES), "zone": "a", "roundUs": 4000, "membershipMode": "automatic",
    "caps": {"probes": True}, "reporting": {"fields": ["depth"], "how": "answers"},
    "rules": {"askEveryUs": 10000000, "coldUs": 18000000, "drainGraceUs": 3000000, "fallUs": 2000000,
              "startCapacity": 0.2, "tipMultiple": 3.0},
    "lanes": [{"aimUs": 800000, "effect": "pure", "hardLimitUs": 2000000, "name": "lookup", "points": 1.0},
              {"aimUs": 800000, "effect": "token", "hardLimitUs": 2000000, "name": "order", "points": 5.0}],
    "specifics": {"admit": "ratio", "cycleUs": 500000, "egressPerS": 1300.0, "emptyForUs": 4700000,
                  "initialSet": 6, "keyRanges": 0, "lateMostUs": 630000, "messagesMost": 30, "pendingMax": 2000.0,
                  "perMessage": 4.0, "proxyCount": 40, "reloadSpanUs": 10000000, "transitUs": 252000, "usualHow": 1}}


def instance(n: int, **changes: Any) -> dict[str, Any]:
    return {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{9000 + n}", "zone": ZONES[n % 2], "machineType": "m",
            "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes}


class Discovery:
    """Watches as the protocol has them; hung, it takes calls and is silent."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.generation, self.instances, self.fresh = 1, instances, list[dict[str, Any]]()
        self.hung, self.calls, self.changed = False, list[dict[str, str]](), trio.Event()

    def tell(self, *changed: dict[str, Any]) -> None:
        self.generation, self.fresh = self.generation + 1, list(changed)
        self.changed.set()
        self.changed = trio.Event()

    async def answer(self, request: http.Request) -> http.Reply:
        assert request.path == "/v1/servers"
        self.calls.append(dict(request.query))
        if self.hung:
            await trio.sleep_forever()
        if "index" not in request.query:
            return self._list(True, self.instances)
        before, changed = int(request.query["index"]), self.changed
        with trio.move_on_after(int(request.query["wait"]) / 1000):
            while before >= self.generation:
                await changed.wait()
        return self._list(False, self.fresh if before < self.generation else [])

    def _list(self, reset: bool, instances: list[dict[str, Any]]) -> http.Reply:
        return http.Reply.json({"generation": self.generation, "reset": reset, "instances": instances})


class Client:
    """A connection that speaks lines; as a proxy it keeps one table for all products, and answers marks."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.rest, self.number = stream, b"", 0
        self.held, self.shut = dict[str, float](), set[str]()

    async def say(self, **message: Any) -> None:
        await self.stream.send_all(json.dumps({"@type": message.pop("kind"), **message}).encode() + b"\n")

    async def hear(self) -> dict[str, Any] | None:
        """The next message; None at the end."""
        while b"\n" not in self.rest:
            try:
                data = await self.stream.receive_some()
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self.rest += data
        line, _, self.rest = self.rest.partition(b"\n")
        found: dict[str, Any] = json.loads(line)
        return found

    async def hello(self, number: int, new: bool = True) -> None:
        self.number = number
        await self.say(kind="hello", id=number, site=ZONES[number % 2], rps=2.0, new=new)

    async def table(self, *without: str, **weights: float) -> dict[str, float]:
        """Read orders until the proxy may use these workers (or any) and not those."""
        while True:
            usable = {name: weight for name, weight in self.held.items() if name not in self.shut}
            if usable and usable.keys() >= weights.keys() and not usable.keys() & set(without):
                return usable
            order = await self.hear()
            assert order is not None and order["@type"] == "push", order
            self.held = {} if order.get("full") else self.held
            self.held.update(order.get("endpoints", ()))
            self.held = {name: weight for name, weight in self.held.items() if weight}
            self.shut = (self.shut | set(order.get("eject", ()))) - set(order.get("restore", ()))
            if "nonce_out" in order:
                await self.say(kind="ack", id=self.number, seq=order["nonce_out"], ms=1.0)


class Running:
    def __init__(self, process: trio.Process, port: int, discovery: Discovery, config: Path, log: Path) -> None:
        self.process, self.port, self.discovery, self.config, self.log = process, port, discovery, config, log

    async def dial(self) -> Client:
        return Client(await trio.open_tcp_stream("127.0.0.1", self.port))

    def said(self, event: str) -> list[dict[str, Any]]:
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [line for line in lines if line["event"] == event]

    async def until_said(self, event: str, count: int = 1) -> dict[str, Any]:
        with trio.fail_after(10):
            while len(self.said(event)) < count:
                await trio.sleep(0.02)
        return self.said(event)[-1]


def free_port() -> int:
    with trio.socket.socket() as sock:
        sock._sock.bind(("127.0.0.1", 0))
        port: int = sock._sock.getsockname()[1]
    return port


@asynccontextmanager
async def manager(folder: Path, sockets: int = 256, known: int = 0) -> AsyncIterator[Running]:
    """A manager that has answered `alive`."""
    async with trio.open_nursery() as nursery:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        discovery = Discovery([instance(n) for n in range(6)])
        nursery.start_soon(http.serve, discovery.answer, doors)
        port, config, log = free_port(), folder / "config.json", folder / "log"
        place = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        told = {"name": "n1", "listen": f"127.0.0.1:{port}", "discovery": place, "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "settings": SETTINGS,
                "known": {"generation": 1, "reset": True, "instances": [instance(n) for n in range(known)]}}
        config.write_text(json.dumps(told))
        with log.open("wb") as out:
            process = await trio.lowlevel.open_process(
                ["/bin/sh", "-c", f"ulimit -n {sockets}; exec {sys.executable} -m dunlinlug.platform"], cwd=ROOT,
                env={"ROUTER_CONFIG": str(config), "ROUTER_NAME": "n1", "ROUTER_LISTEN": f"127.0.0.1:{port}",
                     "ROUTER_DISCOVERY": place}, stdout=subprocess.DEVNULL, stderr=out)
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
            try:
                client = await running.dial()
            except OSError:
                assert running.process.poll() is None, running.log.read_text()
                await trio.sleep(0.02)
                continue
            await client.say(kind="probe")
            assert await client.hear() == {"@type": "alive"}
            await client.stream.aclose()
            return


async def test_a_proxy_gets_the_list_as_discovery_has_it_and_a_drain_at_once(tmp_path: Path) -> None:
    async with manager(tmp_path) as running:
        proxy = await running.dial()
        await proxy.hello(3)
        with trio.fail_after(10):
            assert (await proxy.table(**{f"s-{n}": 1.0 for n in range(6)})).keys() == {f"s-{n}" for n in range(6)}
            running.discovery.tell(instance(2, lifecycle="draining"))
            await proxy.table("s-2")
        assert {call.get("wait") for call in running.discovery.calls} == {None, "2000"}


async def test_what_was_known_serves_while_discovery_is_silent_and_its_return_is_noticed(tmp_path: Path) -> None:
    async with manager(tmp_path, known=3) as running:
        running.discovery.hung = True
        running.discovery.tell()
        await running.until_said("discovery.failed")
        proxy = await running.dial()
        await proxy.hello(3)
        with trio.fail_after(10):
            assert len(await proxy.table()) >= 3
            running.discovery.hung = False
            running.discovery.instances = [instance(n) for n in (0, 1, 7)]
            running.discovery.generation = 0  # put back
            await proxy.table("s-2", "s-3", **{"s-7": 1.0})


async def test_sigterm_ends_it_at_once_with_status_0(tmp_path: Path) -> None:
    async with manager(tmp_path) as running:
        proxy = await running.dial()
        await proxy.hello(3)
        await proxy.table()
        running.process.send_signal(signal.SIGTERM)
        with trio.fail_after(0.5):
            assert await running.process.wait() == 0


async def test_reloads_move_to_the_discovery_named_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async with manager(tmp_path) as running, trio.open_nursery() as nursery:
        proxy = await running.dial()
        await proxy.hello(3)
        await proxy.table()
        whole = running.config.read_text()
        nowhere = json.dumps({**json.loads(whole), "known": {"generation": 1, "reset": True, "instances": [
            instance(1, hostPort="nowhere")]}})
        for n, bad in enumerate((whole[:100], "", nowhere, whole.replace('"dcs"', '"none"')), 1):
            running.config.write_text(bad)
            running.process.send_signal(signal.SIGHUP)
            assert "config.json" in (await running.until_said("reload.refused", n))["why"]
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        other = Discovery([instance(n) for n in (0, 1, 9)])
        nursery.start_soon(http.serve, other.answer, doors)
        told = json.loads(whole)
        told["discovery"] = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        told["limits"]["sockets"] = 300
        running.config.write_text(json.dumps(told))
        for _ in range(3):
            running.process.send_signal(signal.SIGHUP)
        assert (await running.until_said("reload.done"))["needs_restart"] == ["limits"]
        other.generation = 5
        other.tell(instance(9))
        with trio.fail_after(10):
            await proxy.table(**{"s-9": 1.0})
        nursery.cancel_scope.cancel()


async def test_a_second_stream_of_a_proxy_ends_the_first(tmp_path: Path) -> None:
    async with manager(tmp_path) as running:
        old, new = await running.dial(), await running.dial()
        await old.hello(3)
        await old.table()
        await new.hello(3, new=False)
        with trio.fail_after(10):
            while await old.hear() is not None:
                pass
            await new.table()
            running.discovery.tell(instance(2, lifecycle="gone"))
            await new.table("s-2")


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b'{"@type":"push"}\n', b'{"' + b"x" * 100_000])
async def test_bad_clients_are_told_so_and_closed_at_once(tmp_path: Path, data: bytes) -> None:
    async with manager(tmp_path) as running:
        client = await running.dial()
        with trio.fail_after(1):
            await client.stream.send_all(data)
            answer = await client.hear()
            assert answer is not None and answer["@type"] == "error"
            assert await client.hear() is None


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
                await client.say(kind="probe")
            with trio.fail_after(12):
                while await client.hear() is not None:
                    pass
            ended += 1

        async def count() -> None:
            nonlocal most
            while True:
                most = max(most, len(list(open_files.iterdir())))
                await trio.sleep(0.01)

        nursery.start_soon(count)
        for n in range(300):
            nursery.start_soon(stranger, n)
        with trio.fail_after(12):
            proxies = [await running.dial() for _ in range(40)]
            for n, proxy in enumerate(proxies):
                await proxy.hello(n)
            for proxy in proxies:
                await proxy.table()
            while ended < 300:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
        # Room is kept for every proxy and collector, whoever else stands at the door.
        assert 0 < most < 128 - 3 * len(ZONES)
    assert not running.said("link.fault")


@pytest.mark.parametrize(("text", "why"), [
    ("", "config"), ("{", "config"), ('{"settings":{}}', "lack"), ('{"settings":7}', "settings")])
def test_a_configuration_that_can_t_be_used_is_one_clear_line(tmp_path: Path, text: str, why: str) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    ended = subprocess.run([sys.executable, "-m", "dunlinlug.platform"], cwd=ROOT, capture_output=True, text=True,
                           env={"ROUTER_CONFIG": str(config), "ROUTER_LISTEN": "127.0.0.1:0",
                                "ROUTER_DISCOVERY": "127.0.0.1:1"}, timeout=20)
    assert ended.returncode == 2 and why in ended.stderr and ended.stderr.count("\n") == 1


def test_a_reload_that_comes_too_early_ends_nothing() -> None:
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert serve({}) == 2 and signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, before)


def test_run_imports_nothing_of_the_other_fronts() -> None:
    heavy = ["google.protobuf", "h2", "lmdb", "grpc", "envoy", "structlog", "msgpack", "cattrs"]
    code = f"import sys, dunlinlug.platform.main; print([name for name in {heavy} if name in sys.modules])"
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert ended.stdout.strip() == "[]", ended.stderr
