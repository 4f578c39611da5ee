"""Stand-in proxies: true xDS clients that obey their tables and judge no worker."""

from collections.abc import Mapping
from pathlib import Path
from random import Random

import trio

from dunlinlug import terms as manager_terms
from dunlinlug.client import Applied, Carrier, Follower, Holdings, Tally, Tried
from dunlinlug.config import Book
from dunlinlug.day import terms
from dunlinlug.day.record import Record
from dunlinlug.net import http
from dunlinlug.roster import entries
from dunlinlug.standin.stage import Command, play
from dunlinlug.xds import names, read, render

STANDING = "standing"


class Proxy:
    """One proxy: a client of our own library, a door for callers, connections to workers."""

    def __init__(self, name: str, place: terms.ProxyPlace, book: Book, record: Record) -> None:
        self.name, self.place, self.record = name, place, record
        self.chance = Random(f"{book.one(terms.Day).seed} {name}")
        self.wares, own = book.many(manager_terms.Ware), book.one(terms.Proxies)
        self.manager, self.roster = book.one(manager_terms.Desk), book.one(manager_terms.Source)
        self.zones = {worker: at.zone for worker, at in book.many(terms.WorkerPlace).items()}
        managers = [member.serves for member in book.many(manager_terms.Member).values()] or [
            self.manager.listen
        ]
        self.holdings, self.tally = Holdings(), Tally(name, place.zone, trio.current_time())
        self.follower = Follower(
            name,
            place.zone,
            managers,
            self.holdings,
            self.tally,
            place.rate,
            own.redial,
            own.dial_within,
            self.chance,
        )
        self.follower.joined = lambda: self.record.write("joined", proxy=name)
        self.follower.left = lambda: self.record.write("left", proxy=name)
        self.follower.applied = self._applied
        self.follower.reaches = lambda: self._reaches(self.manager.zone)
        self.carrier = Carrier(self.holdings, self.tally, self.chance)
        self.clients: dict[str, http.Client] = {}
        self.cut, self.bare = set[str](), dict[str, bool]()

    # Tables.

    async def follow(self) -> None:
        await self._stand()
        await self.follower.run()

    def _applied(self, done: Applied) -> None:
        self.record.write(
            "applied",
            proxy=self.name,
            type=done.type_url.rpartition(".")[2],
            tag=done.tag,
            lines=done.lines,
            refused=done.refused,
            by=done.by,
        )
        self._see_bare()

    async def _stand(self) -> None:
        """A small table drawn from the list, until the first stream brings one."""
        workers = list(self.zones)
        try:
            with trio.move_on_after(1.0):
                reply = await http.Client(*self.roster.address, 0).ask(
                    "GET", f"/v1/health/service/{self.roster.service}", {"x-reader": "proxy"}
                )
                found, _ = entries.read(reply.body, 0.0)
                workers = [w.id for w in found if w.state == "ready"] or workers
        except (http.HttpFault, entries.RosterFault):
            pass
        drawn = self.chance.sample(workers, min(self.manager.standing, len(workers)))
        self.holdings.tables = {STANDING: read.Table(STANDING, dict.fromkeys(drawn, 1.0))}
        self.holdings.routes = dict.fromkeys(self.wares, (STANDING, render.Way(0)))
        self._see_bare()

    def _see_bare(self) -> None:
        for product in self.wares:
            bare = not self.holdings.lines(product)
            if bare != self.bare.get(product, False):
                self.bare[product] = bare
                self.record.write("bare", proxy=self.name, product=product, on=bare)

    def _reaches(self, zone: str) -> bool:
        return not zone or zone == self.place.zone or not self.cut & {zone, self.place.zone}

    # Txns.

    async def serve(self) -> None:
        await http.serve(
            self.carry,
            await trio.open_tcp_listeners(self.place.address[1], host=self.place.address[0]),
        )

    async def carry(self, request: http.Request) -> http.Reply:
        said = request.headers
        carried = await self.carrier.carry(
            said["x-product"],
            trio.current_time() + float(said["x-left"]),
            lambda worker, left, n: self._try(worker, said, left, n),
        )
        answer = 503 if carried.last is None else carried.last.answer or 504  # no answer in time
        status = 200 if carried.settled else answer
        assert isinstance(status, int)
        return http.Reply(
            status,
            {
                **({names.NEVER_RAN: "1"} if carried.proof else {}),
                **({"x-why": carried.why} if carried.why in ("level", "starting") else {}),
            },
        )

    async def _try(self, worker: str, said: Mapping[str, str], left: float, n: int) -> Tried:
        self.record.write(
            "try",
            proxy=self.name,
            worker=worker,
            txn=said["x-txn"],
            product=said["x-product"],
            n=n,
            client=int(said["x-client"]),
        )
        headers = {
            name: value
            for name, value in said.items()
            if name.startswith("x-") and name != "x-left"
        }
        if not self._reaches(self.zones.get(worker, "")):
            await trio.sleep_forever()
        host, _, port = worker.rpartition(":")
        client = self.clients.setdefault(worker, http.Client(host, int(port)))
        try:
            reply = await client.ask(
                "POST", "/txn", {**headers, "x-left": f"{left:.4f}", "x-proxy": self.name}
            )
        except http.HttpFault as fault:
            return Tried(False, fault.sent, answer=502)
        pairs = [
            pair.strip().partition("=")
            for pair in reply.headers.get("x-load", "").split(",")
            if pair
        ]
        load = {name: float(value) for name, _, value in pairs} if reply.status == 200 else {}
        return Tried(reply.status == 200, names.NEVER_RAN not in reply.headers, load, reply.status)

    # Troubles.

    async def obey(self, command: Command) -> None:
        match command["do"]:
            case "break":
                self.follower.break_off(self.follower.current)
            case "restart":
                self.holdings.versions = Holdings().versions
                await self._stand()
                self.follower.break_off(self.follower.current)
            case "cut":
                self.cut = {command["zone"]} if command["zone"] else set()
                if not self._reaches(self.manager.zone):
                    self.follower.break_off(self.follower.current)
            case "deaf":
                self.follower.stop_reading(trio.Event())
            case "hear" if self.follower.gate is not None:
                self.follower.gate.set()
                self.follower.stop_reading(None)
        self.record.write(
            "obeyed",
            proxy=self.name,
            **{key: command[key] for key in ("do", "zone") if key in command},
        )


def main(run_file: Path, group: int, record_file: Path) -> None:
    record, book = Record(record_file), terms.read(run_file)

    async def run() -> None:
        proxies = {
            name: Proxy(name, place, book, record)
            for name, place in book.many(terms.ProxyPlace).items()
            if place.group == group
        }

        async def obey(command: Command) -> None:
            for name in command["proxies"]:
                if name in proxies:
                    await proxies[name].obey(command)

        await play(record, [task for p in proxies.values() for task in (p.follow, p.serve)], obey)

    trio.run(run)
