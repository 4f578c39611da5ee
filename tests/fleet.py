"""Three managers in this process, and proxies that follow whichever leads."""

import os
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any

import trio

from dunlinlug import terms
from dunlinlug.ads.main import Manager
from dunlinlug.net import grpc, http
from dunlinlug.xds import names
from dunlinlug.xds.subscriber import Applied, Holdings, Subscriber
from tests.running import Roster, until
from tests.test_config import manager_file

MEMBERS = ("a", "b", "c")
KEYS = [f"{7:064x}", f"{8:064x}"]


def free_ports(count: int) -> list[int]:
    """Danger: among those that outgoing connections are given, one could be taken before it is ours."""
    chance, found = Random(f"{os.getpid()} {time.time_ns()}"), list[int]()
    while len(found) < count:
        port = chance.randrange(12000, 30000)
        with (
            suppress(OSError),
            socket.create_server(("127.0.0.1", port)),
            socket.socket(type=socket.SOCK_DGRAM) as way,
        ):
            way.bind(("127.0.0.1", port))
            found += [port] if port not in found else []
    return found


class Fleet:
    def __init__(
        self,
        tmp_path: Path,
        members: tuple[str, ...],
        roster: Roster,
        door: int,
        more: str,
        succession: bool = True,
    ) -> None:
        self.tmp_path, self.members, self.roster, self.door, self.more = (
            tmp_path,
            members,
            roster,
            door,
            more,
        )
        self.succession = succession  # else each steers proxies of its own
        ports = free_ports(3 * len(members))
        self.knows = dict(zip(members, ports[2 * len(members) :], strict=True))
        self.peers = dict(zip(members, ports, strict=False))
        self.serves = dict(zip(members, ports[len(members) : 2 * len(members)], strict=True))
        self.managers: dict[str, Manager] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ended: dict[str, trio.Event] = {}
        self.log: list[tuple[str, str, dict[str, Any]]] = []
        self.proxies: list[Proxy] = []

    def file(self, member: str) -> Path:
        folder = self.tmp_path / member
        folder.mkdir(exist_ok=True)
        (folder / "key").write_text("\n".join(KEYS[:1]))
        (folder / "key").chmod(0o600)
        way, ports = ("knows", self.knows) if "[members]" in self.more else ("peers", self.peers)
        sections = "".join(
            f"[member {m}]\nserves = 127.0.0.1:{self.serves[m]}\n{way} = 127.0.0.1:{ports[m]}\n\n"
            for m in self.members
        )
        own = (
            f"[succession]\nmember = {member}\nkey_file = {folder / 'key'}\nlease = 400ms\nbeat = 100ms\n"
            f"forgets = 1s\n"
        ) * self.succession
        own += f"{self.more}\n".replace("ME", member).replace("KEY", str(folder / "key"))
        return manager_file(
            folder,
            ("127.0.0.1:18500", f"127.0.0.1:{self.door}"),
            ("store = unused", f"store = {folder / 'store'}"),
            ("127.0.0.1:18000", f"127.0.0.1:{self.serves[member]}"),
            ("[roster]", f"{own}\n{sections}[roster]"),
        )

    async def start(self, nursery: trio.Nursery, member: str) -> None:
        path = self.file(member)
        manager = self.managers[member] = Manager(path, terms.read(path))
        for part in (manager, manager.loop, manager.service, manager.follower, manager.watch):
            part.note = lambda event, **said: self.log.append((member, event, said))  # type: ignore

        async def run(task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
            with trio.CancelScope() as self.scopes[member]:
                try:
                    await manager.run(task_status=task_status)
                finally:
                    manager.kept.close()
                    self.ended[member].set()

        self.ended[member] = trio.Event()
        await nursery.start(run)

    async def stop(self, member: str) -> None:
        self.scopes[member].cancel()
        del self.managers[member]
        await self.ended[member].wait()

    def leader(self) -> Manager | None:
        found = [m for m in self.managers.values() if m.helm and m.helm.leads(trio.current_time())]
        assert len(found) <= 1, "two lead at one time"
        return found[0] if found else None

    async def led(self, but: str = "", within: float = 8.0) -> Manager:
        await until(lambda: self.leader() is not None and self.leader().helm.me != but, within)  # type: ignore
        leader = self.leader()
        assert leader is not None
        return leader

    def said(self, event: str) -> list[tuple[str, dict[str, Any]]]:
        return [(member, said) for member, name, said in self.log if name == event]

    def cut(self, member: str, on: bool = True) -> None:
        """No word between this member and the others; proxies still reach all."""
        for name, manager in self.managers.items():
            assert manager.helm is not None
            others = set(self.members) - {name} if name == member else {member}
            manager.helm.peers.cut = others if on else set()


class Proxy:
    """Streams to all members, of which one is answered."""

    def __init__(self, fleet: Fleet, node: str, reaches: tuple[str, ...] = ()) -> None:
        self.fleet, self.node, self.holdings = fleet, node, Holdings()
        self.reaches = set(reaches or fleet.members)
        self.got: list[Applied] = []
        self.changed = trio.Event()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for member in self.fleet.members:
                nursery.start_soon(self._follow, member)

    async def _follow(self, member: str) -> None:
        while True:
            try:
                if member in self.reaches:
                    async with grpc.dial("127.0.0.1", self.fleet.serves[member], 1.0) as link:
                        await self._stream(link, member)
            except* (OSError, grpc.CallEnded):
                pass
            await trio.sleep(0.05)

    async def _stream(self, link: grpc.Link, member: str) -> None:
        call = link.call(names.ADS)
        await call.opened.wait()
        while member not in self.reaches:
            await trio.sleep(0.02)
        subscriber = Subscriber(self.holdings, self.node, "north", {"txns_per_s": 5.0})
        for request in subscriber.greet():
            call.send(request)
        while True:
            answer, done = subscriber.receive(await call.receive())
            if member in self.reaches:
                call.send(answer)
            self.got.append(done)
            self.changed.set()
            self.changed = trio.Event()

    async def until(self, seen: Any, within: float = 8.0) -> None:
        with trio.fail_after(within):
            while not seen(self.holdings):
                await self.changed.wait()

    def terms(self) -> list[int]:
        return [done.by[0] for done in self.got if not done.refused]


@asynccontextmanager
async def fleet(
    tmp_path: Path,
    proxies: int = 2,
    members: tuple[str, ...] = MEMBERS,
    more: str = "",
    start: tuple[str, ...] = (),
    succession: bool = True,
) -> AsyncIterator[Fleet]:
    roster = Roster()
    async with trio.open_nursery() as nursery:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(http.serve, roster.answer, doors)
        made = Fleet(tmp_path, members, roster, doors[0].socket.getsockname()[1], more, succession)
        made.nursery = nursery  # type: ignore[attr-defined]
        try:
            for member in start or members:
                await made.start(nursery, member)
            made.proxies = [Proxy(made, f"p{n}") for n in range(proxies)]
            for proxy in made.proxies:
                nursery.start_soon(proxy.run)
            yield made
        finally:
            nursery.cancel_scope.cancel()
    for proxy in made.proxies:
        assert proxy.terms() == sorted(proxy.terms()), "a proxy went back to an earlier term"
        assert len({done.by for done in proxy.got if not done.refused}) == len(
            set(proxy.terms())
        ), "two of one term"
