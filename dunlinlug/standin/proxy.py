"""Stand-in proxies: true xDS clients that obey their tables and judge no worker."""

from collections.abc import Mapping
from pathlib import Path
from random import Random

import trio

from dunlinlug.book import Address, Book
from dunlinlug.day import terms
from dunlinlug.manager import terms as manager_terms
from dunlinlug.net import grpc, http
from dunlinlug.roster import entries
from dunlinlug.standin.stage import Command, Record, play
from dunlinlug.xds import loads, names, read, render
from dunlinlug.xds.subscriber import Holdings, Subscriber

STANDING = "standing"


class Proxy:
    """One proxy: an ADS and an LRS stream to the manager, a door for callers, connections to workers."""

    def __init__(self, name: str, place: terms.ProxyPlace, book: Book, record: Record) -> None:
        self.name, self.place, self.record = name, place, record
        self.chance = Random(f"{book.one(terms.Day).seed} {name}")
        self.wares, self.own = book.many(manager_terms.Ware), book.one(terms.Proxies)
        self.manager, self.roster = book.one(manager_terms.Desk), book.one(manager_terms.Source)
        self.zones = {worker: at.zone for worker, at in book.many(terms.WorkerPlace).items()}
        self.managers = [member.serves for member in book.many(manager_terms.Member).values()] or [self.manager.listen]
        self.holdings, self.links = Holdings(), dict[Address, grpc.Link]()
        self.current: Address | None = None  # the manager that answers us
        self.clients: dict[str, http.Client] = {}
        self.cut, self.bare = set[str](), dict[str, bool]()
        self.deaf: trio.Event | None = None
        self.loads = self._fresh()

    def _fresh(self) -> loads.Loads:
        self.counted_from = trio.current_time()
        return loads.Loads(self.name, self.place.zone, 0.0)

    # Tables.

    async def follow(self) -> None:
        """Keep a call open at each manager, of which the master's is answered; without one, go on with what is held."""
        await self._stand()
        async with trio.open_nursery() as nursery:
            for place in self.managers:
                nursery.start_soon(self._follow, place)

    async def _follow(self, place: Address) -> None:
        while True:
            try:
                if self._reaches(self.manager.zone):
                    async with grpc.dial(*place, self.own.dial_within) as link:
                        self.links[place] = link
                        link.gate = self.deaf
                        await self._calls(link, place)
            except* (OSError, grpc.CallEnded, trio.TooSlowError):
                pass
            self.links.pop(place, None)
            await trio.sleep(self.own.redial * self.chance.uniform(0.5, 1.5))

    async def _calls(self, link: grpc.Link, place: Address) -> None:
        """One call after another on a link that stands: a manager that leads no more ends the call, not the link."""
        while not link.connection.closed:
            try:
                await self._stream(link, place)
            except* grpc.CallEnded as ends:
                if any(isinstance(end, grpc.CallEnded) and end.status is None for end in ends.exceptions):
                    raise
            finally:
                if self.current == place:
                    self.current = None
                    self.record.write("left", proxy=self.name)

    def _answered(self, place: Address) -> None:
        """This manager leads now: what stood to another is over."""
        if self.current is not None:
            self.record.write("left", proxy=self.name)
            self._break(self.current)
        self.current = place
        self.record.write("joined", proxy=self.name)

    async def _stand(self) -> None:
        """A small table drawn from the list, until the first stream brings one."""
        workers = list(self.zones)
        try:
            with trio.move_on_after(1.0):
                reply = await http.Client(*self.roster.address, 0).ask(
                    "GET", f"/v1/health/service/{self.roster.service}", {"x-reader": "proxy"})
                found, _ = entries.read(reply.body, 0.0)
                workers = [w.id for w in found if w.state == "ready"] or workers
        except (http.HttpFault, entries.RosterFault):
            pass
        drawn = self.chance.sample(workers, min(self.manager.standing, len(workers)))
        self.holdings.tables = {STANDING: read.Table(STANDING, dict.fromkeys(drawn, 1.0))}
        self.holdings.routes = dict.fromkeys(self.wares, (STANDING, render.Way(0)))
        self._see_bare()

    async def _stream(self, link: grpc.Link, place: Address) -> None:
        call = link.call(names.ADS)
        await call.opened.wait()
        if call.ended is not None:
            raise call.ended
        rate: dict[str, object] = {"txns_per_s": self.place.rate}
        subscriber = Subscriber(self.holdings, self.name, self.place.zone, rate)
        for request in subscriber.greet():
            call.send(request)
        self._answered(place)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report, link.call(names.LRS))
            while True:
                data = await call.receive()
                answer, done = subscriber.receive(data)
                call.send(answer)
                self.record.write("applied", proxy=self.name, type=done.type_url.rpartition(".")[2], tag=done.tag,
                                  lines=done.lines, refused=done.refused, by=done.by)
                self._see_bare()

    async def _report(self, call: grpc.Call) -> None:
        call.send(loads.write(self._fresh(), greeting=True))
        cycle = loads.read_answer(await call.receive())
        while True:
            await trio.sleep(cycle * self.chance.uniform(0.9, 1.1))
            self.loads.span = trio.current_time() - self.counted_from
            report, self.loads = self.loads, self._fresh()
            call.send(loads.write(report, greeting=False))

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
        await http.serve(self.carry, await trio.open_tcp_listeners(self.place.address[1], host=self.place.address[0]))

    async def carry(self, request: http.Request) -> http.Reply:
        """One txn: level, then tries as the route allows, each at another worker."""
        said = request.headers
        product, ends = said["x-product"], trio.current_time() + float(said["x-left"])
        if product not in self.holdings.routes:  # just started: nothing is held yet
            return http.Reply(503, {names.NEVER_RAN: "1", "x-why": "starting"})
        came, voided = self.loads.products.get(product, (0, 0))
        if self.chance.random() >= self.holdings.level(product):
            self.loads.products[product] = (came + 1, voided)
            return http.Reply(503, {names.NEVER_RAN: "1", "x-why": "level"})
        status, proof = 503, True
        tried: set[str] = set()
        way = self.holdings.routes[product][1]
        for n in range(1 + (0, 1, 1, 2)[way.retry]):
            lines = {w: weight for w, weight in self.holdings.lines(product).items() if w not in tried}
            if not lines or trio.current_time() >= ends:
                break
            worker = self.chance.choices(list(lines), list(lines.values()))[0]
            tried.add(worker)
            status, ran = await self._try(worker, said, n, ends, way)
            proof = proof and not ran
            if status == 200 or way.retry == 1 and ran:
                break
        came, voided = self.loads.products.get(product, (0, 0))
        self.loads.products[product] = (came + 1, voided + (status != 200))
        return http.Reply(status, {names.NEVER_RAN: "1"} if status != 200 and proof else {})

    async def _try(self, worker: str, said: Mapping[str, str], n: int, ends: float,
                   way: render.Way) -> tuple[int, bool]:
        """The status, and whether the txn may have run."""
        self.record.write("try", proxy=self.name, worker=worker, txn=said["x-txn"], product=said["x-product"], n=n,
                          client=int(said["x-client"]))
        started, status, ran = trio.current_time(), 504, True
        left = min(ends - started, way.per_try or ends - started)
        headers = {name: value for name, value in said.items() if name.startswith("x-") and name != "x-left"}
        with trio.move_on_after(left):
            status, ran = await self._ask(worker, {**headers, "x-left": f"{left:.4f}", "x-proxy": self.name})
        at = self.loads.workers.setdefault(worker, loads.AtWorker())
        at.tries += 1
        at.voided += status != 200
        at.took += trio.current_time() - started if status == 200 else 0.0
        return status, ran

    async def _ask(self, worker: str, headers: Mapping[str, str]) -> tuple[int, bool]:
        if not self._reaches(self.zones.get(worker, "")):
            await trio.sleep_forever()
        host, _, port = worker.rpartition(":")
        client = self.clients.setdefault(worker, http.Client(host, int(port)))
        try:
            reply = await client.ask("POST", "/txn", headers)
        except http.HttpFault as fault:
            return 502, fault.sent
        if reply.status == 200 and "x-load" in reply.headers:
            self.loads.workers.setdefault(worker, loads.AtWorker()).load.update(
                (name, float(value)) for name, _, value in (
                    pair.strip().partition("=") for pair in reply.headers["x-load"].split(",")))
        return reply.status, names.NEVER_RAN not in reply.headers

    # Troubles.

    async def obey(self, command: Command) -> None:
        match command["do"]:
            case "break":
                self._break(self.current)
            case "restart":
                self.holdings.versions = Holdings().versions
                await self._stand()
                self._break(self.current)
            case "cut":
                self.cut = {command["zone"]} if command["zone"] else set()
                if not self._reaches(self.manager.zone):
                    self._break(self.current)
            case "deaf":
                self.deaf = trio.Event()
                self._gate()
            case "hear" if self.deaf is not None:
                self.deaf.set()
                self.deaf = None
                self._gate()
        self.record.write("obeyed", proxy=self.name, **{key: command[key] for key in ("do", "zone") if key in command})

    def _gate(self) -> None:
        for link in self.links.values():
            link.gate = self.deaf

    def _break(self, place: Address | None) -> None:
        if place in self.links:
            for call in list(self.links[place].calls.values()):
                call.end(None, "broken")


def main(run_file: Path, group: int, record_file: Path) -> None:
    record, book = Record(record_file), terms.read(run_file)

    async def run() -> None:
        proxies = {name: Proxy(name, place, book, record)
                   for name, place in book.many(terms.ProxyPlace).items() if place.group == group}

        async def obey(command: Command) -> None:
            for name in command["proxies"]:
                if name in proxies:
                    await proxies[name].obey(command)

        await play(record, [task for p in proxies.values() for task in (p.follow, p.serve)], obey)

    trio.run(run)
