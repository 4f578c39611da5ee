"""The manager's gRPC port: ADS streams to sessions, LRS streams to the ledger."""

from collections.abc import Callable

import trio

from dunlinlug import interface as face
from dunlinlug.manager.desk import Desk
from dunlinlug.manager.ledger import Ledger
from dunlinlug.manager.loop import Loop
from dunlinlug.manager.parcel import Parcel
from dunlinlug.manager.session import Session
from dunlinlug.manager.wide import WideSession
from dunlinlug.net.grpc import Call, CallEnded
from dunlinlug.rpc import Status
from dunlinlug.xds import loads, names
from dunlinlug.xds.full import FullStream
from dunlinlug.xds.stream import DeltaStream, Greeted, StreamFault

MOST = 65535  # proxies that this manager ever numbers: the module's ids are below it


class Impostor(Exception):
    """A peer that claims another's identity."""


class Service:
    """Numbers proxies by their node's name, for as long as the process lives."""

    def __init__(self, loop: Loop, desk: Desk, ledger: Ledger, cycle: float, note: Callable[..., None]) -> None:
        self.loop, self.desk, self.ledger, self.cycle, self.note = loop, desk, ledger, cycle, note
        self.numbers: dict[str, int] = {}
        self.fresh: dict[str, int] = {}  # numbers given since they were last taken
        self.sessions: dict[int, Session | WideSession] = {}
        self.open = trio.Event()  # while not set, calls wait: another manager is master
        self.open.set()
        self.control, self.term = "dunlinlug", 0
        self.fenced: Callable[[int], None] = lambda term: None  # told of a higher term than ours

    def close(self, why: str) -> None:
        """Another is master: every stream ends, and new ones wait."""
        self.open = trio.Event()
        for session in list(self.sessions.values()):
            self._leave(session)
            session.call.finish(Status.UNAVAILABLE, why)
            session.call.scope.cancel()

    async def answer(self, call: Call) -> None:
        """One call, to its end."""
        if call.path in (names.ADS, names.FULL):
            await self._ads(call, FullStream() if call.path == names.FULL else DeltaStream())
        elif call.path == names.LRS:
            await self._lrs(call)
        else:
            call.finish(Status.UNIMPLEMENTED, f"{call.path} is not served; served are {names.ADS}, "
                        f"{names.FULL}, {names.LRS}")

    def deliver(self, proxy: int, parcel: Parcel) -> None:
        """Hand a parcel that has left the channel to its stream; one for an earlier stream is lost."""
        session = self.sessions.get(proxy)
        if session is not None and parcel.ordered >= session.joined_at:
            if parcel.routes is not None and proxy in self.desk.seats:
                seat = self.desk.seats[proxy]
                session.unused({names.table_name(self.desk.epoch, tbl) for tbl in seat.bound.values()})
            session.owe(parcel)

    async def _ads(self, call: Call, stream: DeltaStream | FullStream) -> None:
        await self.open.wait()  # the first headers tell a proxy that this manager leads
        session = None
        stream.control = self.control
        call.accept()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await call.receive()
                    for word in stream.receive(data):
                        if isinstance(word, Greeted):
                            self._greeted(word.node, stream, call.link.identity)
                        elif session is not None:
                            session.said(word, trio.current_time())
                    if session is None and stream.ready():
                        session = self._join(call, stream)
                        nursery.start_soon(session.send)
                    elif isinstance(session, WideSession):
                        session.push()  # what it asks for may have changed
        except* Impostor as faults:
            self.note("proxy.fault", proxy=stream.node, why=str(faults.exceptions[0]))
            call.finish(Status.PERMISSION_DENIED, str(faults.exceptions[0]))
        except* StreamFault as faults:
            text = str(faults.exceptions[0])
            self.note("proxy.fault", proxy=stream.node, why=text)
            call.finish(Status.INVALID_ARGUMENT, text)
        except* CallEnded as ends:
            if session is not None:
                self.note("proxy.ended", proxy=stream.node, why=str(ends.exceptions[0]))
        finally:
            if session is not None:
                self._leave(session)

    def _greeted(self, node: str, stream: DeltaStream | FullStream, identity: str) -> None:
        if identity and identity != node:
            raise Impostor(f"{node} is not who its certificate names: {identity}")
        seen = stream.metadata.get("term", 0)
        if isinstance(seen, int | float) and seen > self.term:
            self.fenced(int(seen))
        self._number(node)

    def _number(self, node: str) -> None:
        if node not in self.numbers:
            if len(self.numbers) >= MOST:
                raise StreamFault("no room for more proxies")
            self.numbers[node] = self.fresh[node] = len(self.numbers)

    def _join(self, call: Call, stream: DeltaStream | FullStream) -> Session | WideSession:
        proxy, now = self.numbers[stream.node], trio.current_time()
        former = self.sessions.get(proxy)
        if former is not None:  # a new stream of the same node: the old one is dead, or about to be
            self._leave(former)
            former.call.finish(Status.CANCELLED, "another stream of this node has come")
            former.call.scope.cancel()
        held = stream.held[names.ENDPOINTS]
        session: Session | WideSession
        if isinstance(stream, FullStream):
            session = WideSession(proxy, call, stream, now, self.loop.tell, self.note)
        else:
            session = Session(proxy, call, stream, now, self.loop.tell, self.note)
        self.sessions[proxy], session.fenced = session, self.fenced
        self.desk.join(proxy, names.OVERLAY in stream.features, held, stream.full)
        rate = stream.metadata.get("txns_per_s", 0.0)
        self.loop.tell(face.Joined(proxy, stream.zone, float(rate) if isinstance(rate, int | float) else 0.0,
                                   not held))
        self.note("proxy.joined", proxy=stream.node, number=proxy, zone=stream.zone, tables_held=len(held))
        return session

    def _leave(self, session: Session | WideSession) -> None:
        if self.sessions.get(session.proxy) is session:
            del self.sessions[session.proxy]
            self.desk.leave(session.proxy)
            self.loop.channel.forget(session.proxy)
            self.ledger.forget(session.proxy)
            self.loop.tell(face.Left(session.proxy))
            self.note("proxy.left", proxy=session.stream.node, number=session.proxy)

    async def _lrs(self, call: Call) -> None:
        await self.open.wait()
        call.accept()
        node = ""
        while True:
            try:
                report = loads.read(await call.receive())
            except loads.LoadFault as fault:
                self.note("report.fault", proxy=node, why=str(fault))
                call.finish(Status.INVALID_ARGUMENT, str(fault))
                return
            if not node:
                node = report.node
                if call.link.identity not in ("", node):
                    call.finish(Status.PERMISSION_DENIED, f"{node} is not {call.link.identity}")
                    return
                call.send(loads.answer(self.cycle))
            proxy = self.numbers.get(node)
            # Danger: a peer could make up workers and fill the ledger, and the module's share of reports, with them.
            report.workers = {worker: at for worker, at in report.workers.items() if worker in self.desk.zones}
            if proxy in self.sessions:
                assert proxy is not None
                self.ledger.add(trio.current_time(), proxy, self.sessions[proxy].stream.zone, report)

    async def tell_reports(self) -> None:
        """Each cycle, what the ledger lets the module hear."""
        while True:
            await trio.sleep(self.cycle)
            for event in self.ledger.take(trio.current_time()):
                self.loop.tell(event)
