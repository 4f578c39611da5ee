"""A manager in this process, with a roster that a test steers, and peers that speak to it over sockets."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from dunlinlug import interface as face
from dunlinlug import terms
from dunlinlug.ads.main import Manager
from dunlinlug.balance import Balancer
from dunlinlug.manager.loop import Decider
from dunlinlug.net import grpc, http
from dunlinlug.roster import entries
from dunlinlug.xds import names
from dunlinlug.xds.subscriber import Applied, Holdings, Subscriber
from tests.test_config import manager_file

WORKERS = tuple(
    face.Worker(f"127.0.0.1:{7000 + n}", "north" if n % 2 else "south", "", 0, "ready", 1.0, None)
    for n in range(6)
)


class Running:
    """The manager, its log as (event, fields), and its roster's list."""

    def __init__(
        self, manager: Manager, roster: "Roster", log: list[tuple[str, dict[str, Any]]]
    ) -> None:
        self.manager, self.roster, self.log = manager, roster, log
        self.address: tuple[str, int] = ("", 0)

    def said(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.log if name == event]


class Roster:
    def __init__(self) -> None:
        self.index, self.workers, self.changed, self.fault = 10, list(WORKERS), trio.Event(), ""
        self.queries: list[str] = []

    async def answer(self, request: http.Request) -> http.Reply:
        self.queries.append(request.query.get("index", ""))
        asked = int(request.query.get("index", "0"))
        while asked == self.index and not self.fault:
            await self.changed.wait()
        if self.fault:
            return http.Reply(500)
        return http.Reply(200, {"x-consul-index": str(self.index)}, entries.write(self.workers))

    def tell(self, index: int | None = None, **states: str) -> None:
        """Set workers' states by the last figure of their port (`w3='draining'`)."""
        for key, state in states.items():
            n = int(key[1:])
            self.workers[n] = face.Worker(**{**vars(self.workers[n]), "state": state})
        self.index = self.index + 1 if index is None else index
        self.changed.set()
        self.changed = trio.Event()


@asynccontextmanager
async def running(
    tmp_path: Path, *changes: tuple[str, str], make: Callable[[face.Trade], Decider] = Balancer
) -> AsyncIterator[Running]:
    roster, log = Roster(), list[tuple[str, dict[str, Any]]]()
    async with trio.open_nursery() as nursery:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(http.serve, roster.answer, doors)
        path = manager_file(
            tmp_path,
            ("127.0.0.1:18500", f"127.0.0.1:{doors[0].socket.getsockname()[1]}"),
            ("127.0.0.1:18000", "127.0.0.1:0"),
            ("store = unused", f"store = {tmp_path / 'store'}"),
            *changes,
        )
        manager = Manager(path, terms.read(path), make)
        parts = (manager, manager.loop, manager.service, manager.follower, manager.watch)
        for part in [part for part in parts if part is not None]:
            part.note = lambda event, **fields: log.append((event, fields))
        running_one = Running(manager, roster, log)
        running_one.address = await nursery.start(manager.run)
        try:
            yield running_one
        finally:
            nursery.cancel_scope.cancel()
            manager.kept.close()


class Peer:
    """A proxy on one stream; `got` has what was applied."""

    def __init__(self, link: grpc.Link, node: str, holdings: Holdings | None = None) -> None:
        self.link, self.holdings, self.got = link, holdings or Holdings(), list[Applied]()
        self.subscriber = Subscriber(self.holdings, node, "north", {})
        self.call = link.call(names.ADS)
        for request in self.subscriber.greet():
            self.call.send(request)

    async def take(self) -> Applied:
        answer, done = self.subscriber.receive(await self.call.receive())
        self.call.send(answer)
        self.got.append(done)
        return done

    async def until(self, seen: Callable[[Holdings], bool]) -> None:
        with trio.fail_after(8.0):
            while not seen(self.holdings):
                await self.take()


@asynccontextmanager
async def peer(run: Running, node: str, holdings: Holdings | None = None) -> AsyncIterator[Peer]:
    async with grpc.dial(*run.address) as link:
        yield Peer(link, node, holdings)


def bound(holdings: Holdings) -> bool:
    return len(holdings.lines("ticket-read")) == len(WORKERS) and bool(holdings.lines("press-book"))


async def until(seen: Callable[[], bool], within: float = 8.0) -> None:
    """Wait for something that another task brings about."""
    with trio.fail_after(within):
        while not seen():
            await trio.sleep(0.01)
