"""The manager's gRPC port: ADS streams to sessions, LRS streams to the ledger."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from dunlinlug import interface as face
from dunlinlug.ads.desk import Desk
from dunlinlug.ads.parcel import Parcel
from dunlinlug.ads.session import Session
from dunlinlug.ads.wide import WideSession
from dunlinlug.manager.ledger import Ledger
from dunlinlug.manager.loop import Loop
from dunlinlug.net.grpc import Call, CallEnded
from dunlinlug.rpc import Status
from dunlinlug.xds import loads, names
from dunlinlug.xds.full import FullStream
from dunlinlug.xds.stream import Acked, DeltaStream, Greeted, Refused, StreamFault

MOST = 65535  # proxies that this manager ever numbers: the module's ids are below it


class Impostor(Exception):
    """A peer that claims another's identity."""


@dataclass
class Group:
    """A client with a stream for each type."""

    stream: FullStream
    session: WideSession | None = None
    calls: dict[str, Call] = field(default_factory=dict)


class Service:
    """Numbers proxies by their node's name, for as long as the process lives."""

    def __init__(
        self, loop: Loop, desk: Desk, ledger: Ledger, cycle: float, note: Callable[..., None]
    ) -> None:
        self.loop, self.desk, self.ledger, self.cycle, self.note = loop, desk, ledger, cycle, note
        self.numbers: dict[str, int] = {}
        self.fresh: dict[str, int] = {}  # numbers given since they were last taken
        self.sessions: dict[int, Session | WideSession] = {}
        self.groups: dict[str, Group] = {}  # by node, of clients with a stream for each type
        self.open = trio.Event()  # while not set, calls wait: another manager is master
        self.open.set()
        self.control, self.term = "dunlinlug", 0
        self.told: Callable[[list[face.Event]], None] = lambda events: (
            None
        )  # of reports that the module hears
        self.fenced: Callable[[int], None] = lambda term: None  # told of a higher term than ours

    def close(self, why: str) -> None:
        """Another is master: every stream ends, and new ones wait."""
        self.open = trio.Event()
        for session in list(self.sessions.values()):
            self._leave(session)
            session.end(Status.UNAVAILABLE, why)

    async def answer(self, call: Call) -> None:
        """One call, to its end."""
        if call.path in (names.ADS, names.FULL):
            await self._ads(call, FullStream() if call.path == names.FULL else DeltaStream())
        elif call.path in names.APART:
            await self._apart(call, names.APART[call.path])
        elif call.path == names.LRS:
            await self._lrs(call)
        else:
            call.finish(
                Status.UNIMPLEMENTED,
                f"{call.path} is not served; served are {names.ADS}, "
                f"{names.FULL}, {', '.join(names.APART)}, {names.LRS}",
            )

    def deliver(self, proxy: int, parcel: Parcel) -> None:
        """Hand a parcel that has left the channel to its stream; one for an earlier stream is lost."""
        session = self.sessions.get(proxy)
        if session is not None and parcel.ordered >= session.joined_at:
            if parcel.routes is not None and proxy in self.desk.seats:
                seat = self.desk.seats[proxy]
                session.unused(
                    {names.table_name(self.desk.epoch, tbl) for tbl in seat.bound.values()}
                )
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

    async def _apart(self, call: Call, type_url: str) -> None:
        """One type's stream of a client that has one for each: together they are one proxy."""
        await self.open.wait()
        call.accept()
        group: Group | None = None
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await call.receive()
                    if group is None:
                        group = self._group(data, call, type_url)
                    for word in group.stream.receive(data, type_url):
                        if group.session is not None and isinstance(word, Acked | Refused):
                            group.session.said(word, trio.current_time())
                    if group.session is None and group.stream.ready():
                        session = self._join(call, group.stream)
                        assert isinstance(session, WideSession)
                        group.session, session.calls = session, group.calls
                        nursery.start_soon(session.send)
                    elif group.session is not None:
                        group.session.push()
        except* (StreamFault, Impostor) as faults:
            text = str(faults.exceptions[0])
            self.note("proxy.fault", proxy=group.stream.node if group else "", why=text)
            call.finish(Status.INVALID_ARGUMENT, text)
        except* CallEnded:
            pass
        finally:
            if group is not None and group.calls.get(type_url) is call:
                self._part(group, type_url)

    def _group(self, data: bytes, call: Call, type_url: str) -> "Group":
        """The group of the node that this first request names."""
        first = FullStream()
        first.receive(data, type_url)
        first.control = self.control
        group = self.groups.get(first.node)
        if group is None:
            self._greeted(first.node, first, call.link.identity)
            fresh = FullStream()
            fresh.node, fresh.zone, fresh.metadata, fresh.control = (
                first.node,
                first.zone,
                first.metadata,
                self.control,
            )
            group = self.groups[first.node] = Group(fresh)
        elif call.link.identity not in ("", first.node):
            raise Impostor(f"{first.node} is not who its certificate names: {call.link.identity}")
        group.stream.forget(type_url)
        group.calls[type_url] = call
        return group

    def _part(self, group: "Group", type_url: str) -> None:
        """A stream of the group has ended; without the listeners' it is no proxy any more."""
        del group.calls[type_url]
        group.stream.forget(type_url)
        if group.session is not None and type_url == names.LISTENERS:
            self._leave(group.session)
            group.session = None
        if not group.calls and self.groups.get(group.stream.node) is group:
            del self.groups[group.stream.node]

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
            former.end(Status.CANCELLED, "another stream of this node has come")
        held = stream.held[names.ENDPOINTS]
        session: Session | WideSession
        if isinstance(stream, FullStream):
            session = WideSession(proxy, call, stream, now, self.loop.tell, self.note)
        else:
            session = Session(proxy, call, stream, now, self.loop.tell, self.note)
        self.sessions[proxy], session.fenced = session, self.fenced
        self.desk.join(proxy, names.OVERLAY in stream.features, held, stream.full)
        rate = stream.metadata.get("txns_per_s", 0.0)
        self.loop.tell(
            face.Joined(
                proxy, stream.zone, float(rate) if isinstance(rate, int | float) else 0.0, not held
            )
        )
        self.note(
            "proxy.joined", proxy=stream.node, number=proxy, zone=stream.zone, tables_held=len(held)
        )
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
            report.workers = {
                worker: at for worker, at in report.workers.items() if worker in self.desk.zones
            }
            if proxy in self.sessions:
                assert proxy is not None
                self.ledger.add(
                    trio.current_time(), proxy, self.sessions[proxy].stream.zone, report
                )

    async def tell_reports(self) -> None:
        """Each cycle, what the ledger lets the module hear."""
        while True:
            await trio.sleep(self.cycle)
            events = self.ledger.take(trio.current_time())
            self.told(events)
            for event in events:
                self.loop.tell(event)
