"""The manager as a process: puts the parts together, starts and stops them, reloads what may change."""

import ssl
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import attrs
import trio

from dunlinlug import interface as face
from dunlinlug import terms
from dunlinlug.ads import view
from dunlinlug.ads.desk import Desk
from dunlinlug.ads.service import Service
from dunlinlug.balance import Balancer
from dunlinlug.config import Book, ConfigFault
from dunlinlug.fleet.keys import KeyFault, read_keys
from dunlinlug.fleet.members.burden import Burden
from dunlinlug.fleet.members.host import Membership
from dunlinlug.fleet.members.words import Changed
from dunlinlug.fleet.owner.exercise import exercise
from dunlinlug.fleet.owner.host import Ownership
from dunlinlug.fleet.owner.pinning import SharedPins
from dunlinlug.fleet.owner.probing import Probing
from dunlinlug.fleet.succession.facts import listed
from dunlinlug.fleet.succession.helm import Helm
from dunlinlug.guard import Judge, PinFault, Pins
from dunlinlug.kept import Kept, KeptFault
from dunlinlug.manager import log
from dunlinlug.manager.channel import Channel
from dunlinlug.manager.ledger import Ledger
from dunlinlug.manager.loop import Decider, Loop
from dunlinlug.manager.probes import Prober
from dunlinlug.manager.roster import Follower
from dunlinlug.manager.signals import STOPS, Signals
from dunlinlug.manager.skew import Skewed
from dunlinlug.manager.watch import Watch
from dunlinlug.net import grpc, http, tls
from dunlinlug.net.tls import TlsFault
from dunlinlug.operators.board import Board, Refused
from dunlinlug.operators.office import Office, TokenFault, read_token
from dunlinlug.roster import entries
from dunlinlug.roster.follow import Following

FINISH = 1.0  # seconds from a stop for operators' requests under way, most of which take a few milliseconds


def wall_offset() -> float:
    """The loop's clock less the wall clock: adds to a wall time to give the module's."""
    return trio.current_time() - time.time()


class Manager:
    """One manager; `make` builds its decision module."""

    def __init__(
        self, path: Path, book: Book, make: Callable[[face.Trade], Decider] = Balancer
    ) -> None:
        self.path, self.book = path, book
        self.trade = terms.trade(book)
        self.note: Any = log.logger("manager").info
        self.kept = Kept(Path(book.one(terms.Desk).store))
        own, outlet, hearing = book.one(terms.Desk), book.one(terms.Outlet), book.one(terms.Hearing)
        self.epoch = self.kept.next_epoch()
        self.desk = Desk(
            self.epoch,
            self.trade.products,
            self.trade.usual_retry,
            outlet.message_lines,
            own.try_aims,
        )
        self.channel = Channel(
            outlet.pace or outlet.lines_per_s,
            outlet.waiting_most,
            outlet.messages_most,
            outlet.messages_span,
        )
        self.ledger = Ledger(hearing.lines_per_s, frozenset(p.name for p in self.trade.products))
        self.watch = self._watch()
        self.loop = Loop(
            make(self.trade), self.desk, self.channel, self._deliver, self.note, self.watch
        )
        self.service = Service(self.loop, self.desk, self.ledger, hearing.cycle, self.note)
        self.follower = self._follower(book.one(terms.Source), Random(own.seed))
        probing = book.one(terms.Probing)
        self.prober = Prober(probing.path, probing.within, probing.at_once, self.loop.tell)
        self.operators = book.one(terms.Operators)
        self.office = self._office()
        self.context = self._secure()
        self.succession, self.helm = book.one(terms.Succession), None  # type: terms.Succession, Helm | None
        self.keys = read_keys(Path(self.succession.key_file)) if self.succession.member else []
        self.members, self.membership = book.one(terms.Members), None  # type: terms.Members, Membership | None
        self.member_keys = read_keys(Path(terms.member_key(book))) if self.members.me else []
        self.owners: Ownership | None = None
        self.probing: Probing | None = None
        self.shared: SharedPins | None = None
        self.measured = (0.0, 0.0)  # when the processor's time was read last, and what it was
        self.leading = set[trio.CancelScope]()  # of what only a master does

    def _deliver(self, proxy: int, parcel: Any) -> None:
        # Danger: frozen since it was decided; the lease is looked at right before the bytes leave.
        if self.helm is not None and not self.helm.leads(trio.current_time()):
            return
        self.service.deliver(proxy, parcel)

    def _watch(self) -> Watch | None:
        guarding = self.book.one(terms.Guarding)
        if guarding.mode == "off":
            return None
        obeyed = guarding.mode == "on"
        return Watch(
            Judge(self.trade, obeyed),
            obeyed,
            self.note,
            lambda refusals: self.kept.put_refusals(refusals, guarding.remember),
        )

    def _helm(self, own: terms.Succession) -> Helm:
        """Our part in a set of managers; its clocks begin now."""
        chance = Random(f"{self.book.one(terms.Desk).seed} {own.member}")
        members = self.book.many(terms.Member)
        places: dict[str, tuple[str, int]] = {
            name: member.peers for name, member in members.items()
        }
        timing = {"lease": own.lease, "beat": own.beat, "drift": own.drift, "forgets": own.forgets}
        helm = Helm(
            own.member,
            places,
            self.keys,
            timing,
            own.first,
            self.kept,
            self.trade,
            self.loop,
            self.desk,
            self.service,
            chance,
            lambda event, **said: self.note(event, **said),
        )
        helm.begin, helm.end = self._begin, self._end
        if self.office is not None:
            board = self.office.board
            helm.pins, helm.pinned = board.plain, board.take_over
        return helm

    def _membership(self, own: terms.Members) -> Membership:
        """Our part among managers that know each other. The set agreed is succession's, where there is one."""
        places: dict[str, tuple[str, int]] = {
            name: member.knows for name, member in self.book.many(terms.Member).items()
        }
        helm = self.helm

        def roll() -> tuple[str, ...]:
            return helm.machine.roll.members if helm is not None else tuple(places)

        made = Membership(
            own.me,
            self.epoch,
            places,
            self.member_keys,
            own.beat,
            Random(f"{self.book.one(terms.Desk).seed} members {own.me}"),
            lambda event, **said: self.note(event, **said),
            roll,
            binds=own.binds if own.binds[1] else None,
        )
        made.told = lambda name, means: self._narrow()
        made.learnt, made.listed = self.loop.tell, lambda: self.follower.known
        self.service.told, made.carries = made.met, self._burden
        # One detector, one list of addresses, one door.
        owners = self.owners = self._ownership(own.me, places)
        for user in (helm, owners):
            if user is not None:
                user.peers.shared, made.link.calls[user.peers.letter] = made.place, user.peers.call

        def changed(change: Changed) -> None:
            living = {name for name in roll() if made.machine.in_touch(name)}
            if helm is not None and change.now == "failed":
                helm.detected(change.name, living)
            if owners is not None:
                owners.detected(change.name, change.now == "failed", living)

        made.changed = changed
        return made

    def _ownership(self, me: str, places: dict[str, tuple[str, int]]) -> Ownership | None:
        """Our part in owning fleet-wide work, and its users."""
        own = self.book.one(terms.Owning)
        if not own.on:
            return None
        timing = {"lease": own.lease, "beat": own.beat, "drift": own.drift, "forgets": own.forgets}
        made = Ownership(
            me,
            places,
            self.member_keys,
            timing,
            self.kept,
            Random(f"{self.book.one(terms.Desk).seed} owners {me} {self.epoch}"),
            lambda event, **said: self.note(event, **said),
        )
        self.probing = Probing(
            made, self.prober.within, self.prober.probe, self.loop.tell, self.nursery.start_soon
        )
        self.prober.tell = self.probing.done
        if self.office is not None:
            self.office.owners = made
            if self.helm is None:  # with succession the master's pins go with its batches
                self.office.shared = self.shared = SharedPins(
                    made,
                    self.office.board,
                    (PinFault, Refused),
                    lambda event, **said: self.note(event, **said),
                    time.time,
                )
        return made

    def _probe(self, worker: str) -> None:
        if self.probing is not None:
            self.probing.wish(worker)
        else:
            self.nursery.start_soon(self.prober.probe, worker)

    def _narrow(self) -> None:
        """The module goes by our standing. Danger: one that took over would go by that of the former master."""
        if self.membership is not None:
            means = self.membership.means
            self.loop.tell(face.Trusted(means.trust, means.begin, means.raises))

    def _burden(self) -> Burden:
        """What we carry now, for the others. The processor's part is that since the last call."""
        now, spent = trio.current_time(), time.process_time()
        (before, used), self.measured = self.measured, (now, spent)
        most, module = self.book.one(terms.Outlet).waiting_most, self.loop.module
        rates = (
            [proxy.rate for proxy in module.seating.proxies.values()]
            if isinstance(module, Balancer)
            else []
        )
        return Burden(
            len(self.desk.seats),
            sum(rates),
            self.channel.waiting / most if most else 0.0,
            (spent - used) / (now - before) if now > before else 0.0,
        )

    def _begin(self, fresh: bool) -> None:
        """We lead: judge anew by what stands, follow the roster, and go on where the former master was."""
        if self.watch is not None:
            judge = Judge(self.trade, self.watch.obeyed)
            workers = (
                listed(self.loop.module.fleet) if isinstance(self.loop.module, Balancer) else []
            )
            judge.inherit(
                self.loop.shift + trio.current_time(),
                workers,
                {tbl: (laid.lines, laid.levels) for tbl, laid in self.desk.tables.items()},
                self.desk.out,
            )
            self.watch.judge = judge
            if self.office is not None:
                self.office.board.pins.judge = judge
        if fresh:
            self._remember()
            if self.office is not None:
                self.office.board.restore(trio.current_time(), self.kept.pins())
        self._narrow()
        self.follower.known = None
        if self.book.one(terms.Source).mode == "pushed":
            self.nursery.start_soon(self._only_leading, self.follower.follow, True)
        elif not fresh:
            self.loop.tell(
                face.Listed("failed")
            )  # what the former master asked for does not come to us

    def _end(self) -> None:
        for scope in self.leading:
            scope.cancel()

    async def _only_leading(self, task: Callable[..., Any], *words: Any) -> None:
        with trio.CancelScope() as scope:
            self.leading.add(scope)
            await task(*words)
        self.leading.discard(scope)

    def _secure(self) -> ssl.SSLContext | None:
        """For new connections; None where ADS and LRS are plain text. Raises TlsFault."""
        own = self.book.one(terms.Tls)
        return tls.serving(Path(own.cert), Path(own.key), Path(own.clients)) if own.cert else None

    def _office(self) -> Office | None:
        """The operators' endpoint; none without a token, nor without a judge. Raises TokenFault."""
        if not self.operators.token_file or self.watch is None:
            return None
        watch, pins = self.watch, Pins(self.watch.judge, self.operators.longest)
        board = Board(
            pins,
            watch.obeyed,
            self.loop.tell,
            lambda event, **said: self.note(event, **said),
            self.kept.put_pins,
            watch.record,
        )
        watch.after = board.review
        return Office(
            read_token(Path(self.operators.token_file)),
            self.trade.products,
            board,
            lambda: view.tables(
                trio.current_time(), self.trade.products, self.desk, watch.judge, pins
            ),
            lambda: {
                "epoch": self.epoch,
                "proxies": len(self.desk.seats),
                "workers": len(self.desk.zones),
                "waiting": round(self.channel.waiting),
                "pins": len(pins.standing),
            },
        )

    async def _open_office(self, nursery: trio.Nursery) -> None:
        """Raises OSError if its port is taken."""
        if self.office is None:
            return
        doors = await trio.open_tcp_listeners(
            self.operators.listen[1], host=self.operators.listen[0]
        )
        self.office_at = doors[0].socket.getsockname()[:2]
        if self.helm is None:
            self.office.board.restore(trio.current_time(), self.kept.pins())
        nursery.start_soon(self.office.board.run)
        nursery.start_soon(http.serve, self.office.answer, doors, self.operators.quiet_most, FINISH)
        self.note("operators.ready", listen=f"{self.office_at[0]}:{self.office_at[1]}")

    def _follower(self, source: terms.Source, chance: Random) -> Follower:
        client = http.Client(*source.address, idle_most=1)
        state = Following(source.service, source.wait, chance.uniform)
        return Follower(
            client,
            state,
            source.within,
            lambda: wall_offset() + self.loop.shift,
            self.loop.tell,
            self.kept.put_list,
            self.note,
        )

    async def run(
        self,
        signals: Signals | None = None,
        task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until SIGTERM or SIGINT, or until cancelled; raises OSError if the port is taken."""
        own, source = self.book.one(terms.Desk), self.book.one(terms.Source)
        listeners = await trio.open_tcp_listeners(own.listen[1], host=own.listen[0])
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            if self.succession.member:
                self.helm = self._helm(self.succession)
                if self.office is not None:
                    self.office.fleet = self.helm
            if self.members.me:
                self.membership = self._membership(self.members)
                if self.office is not None:
                    self.office.members = self.membership
                await nursery.start(self.membership.run)
                if self.owners is not None and self.probing is not None:
                    nursery.start_soon(self.owners.run)
                    nursery.start_soon(self.probing.run)
                    if self.shared is not None:
                        nursery.start_soon(self.shared.run)
                    nursery.start_soon(exercise, self.owners, self.book.one(terms.Owning).exercise)
            await self._open_office(nursery)
            if self.helm is None:
                self._remember()
            else:
                host, port = self.helm.peers.places[self.helm.me]
                nursery.start_soon(
                    self.helm.run, await trio.open_tcp_listeners(port, host=host) if port else []
                )
            self.loop.others = {
                face.Probe: lambda o: self._probe(o.worker),
                face.Follow: lambda o: nursery.start_soon(
                    self._only_leading, self.follower.follow, False
                ),
                face.Fetch: lambda o: nursery.start_soon(self._only_leading, self.follower.fetch),
            }
            nursery.start_soon(self.loop.run)
            nursery.start_soon(self.service.tell_reports)
            if source.mode == "pushed" and self.helm is None:
                nursery.start_soon(self.follower.follow, True)
            nursery.start_soon(
                grpc.serve,
                listeners,
                self.service.answer,
                own.hello_within,
                own.quiet_most,
                self._link_fault,
                lambda: self.context,
                lambda why: self.note("proxy.unproven", why=why),
            )
            self.note("manager.ready", epoch=self.epoch, listen=f"{own.listen[0]}:{own.listen[1]}")
            task_status.started(listeners[0].socket.getsockname()[:2])
            await self._until_ended(signals or Signals())
            self.loop.stop()
            if self.membership is not None:
                self.membership.leave()
            nursery.cancel_scope.cancel()
        self.note(
            "manager.stopped",
            batches=self.loop.batches,
            most_waited=round(self.channel.most_waited),
        )
        self.kept.close()

    def _remember(self) -> None:
        """The list as it was held before, also an empty one: the module's first event."""
        workers: list[face.Worker] = []
        body = self.kept.body()
        if body is not None:
            try:
                workers, _ = entries.read(body, wall_offset() + self.loop.shift)
            except entries.RosterFault as fault:
                self.note("store.fault", why=str(fault))
        self.loop.tell(face.Listed("kept", tuple(workers)))
        self.note("store.read", workers=len(workers))

    async def _until_ended(self, signals: Signals) -> None:
        while await signals.receive() not in STOPS:
            self._reload()

    def _link_fault(self, error: Exception) -> None:
        """A mistake of ours met by one peer: its link has ended, the others go on."""
        self.note("link.fault", why="".join(traceback.format_exception(error))[-2000:])

    def _fixed(self, fresh: Book) -> list[str]:
        """The sections with a change that only a restart can take up: all but the channel's pace and the log."""
        before, found = self.book, []
        for section, kind in terms.SINGLE.items():
            old: Any = before.one(kind)
            new: Any = fresh.one(kind)
            free = {"pace"} if kind is terms.Outlet else {"log"} if kind is terms.Desk else set()
            if attrs.evolve(new, **{key: getattr(old, key) for key in free}) != old:
                found.append(f"[{section}]")
        return found + (["[product]"] if fresh.many(terms.Ware) != before.many(terms.Ware) else [])

    def _reload(self) -> None:
        """Take up what may change while running; a bad file, or a change that needs a restart, changes nothing."""
        try:
            fresh = terms.read(self.path)
        except ConfigFault as fault:
            self.note("reload.refused", why=str(fault))
            return
        fixed = self._fixed(fresh)
        if fixed:
            self.note(
                "reload.refused", why=f"a restart is needed for what changed in {', '.join(fixed)}"
            )
            return
        try:
            context = self._secure()  # streams that stand go on under the keys that they began with
            if self.office is not None:
                self.office.token = read_token(Path(self.operators.token_file))
        except (TokenFault, TlsFault) as fault:
            self.note("reload.refused", why=str(fault))
            return
        self.context = context
        outlet = fresh.one(terms.Outlet)
        self.channel.set_pace(trio.current_time(), outlet.pace or outlet.lines_per_s)
        self.loop.put.set()
        log.set_up(fresh.one(terms.Desk).log)
        self.book = fresh
        self.note("reload.done", pace=self.channel.pace)


def serve(
    path: Path, make: Callable[[face.Trade], Decider] = Balancer, clock_rate: float = 1.0
) -> int:
    """Run a manager by its file; gives the exit status: 2 for a file or store that cannot be used. `clock_rate` is for
    days on which clocks drift apart."""
    signals = Signals()
    signals.take()
    try:
        book = terms.read(path)
        log.set_up(book.one(terms.Desk).log)
        manager = Manager(path, book, make)
    except (ConfigFault, KeptFault, TokenFault, KeyFault, TlsFault) as fault:
        print(f"dunlinlug: {fault}", file=sys.stderr)
        return 2
    try:
        trio.run(manager.run, signals, clock=Skewed(clock_rate) if clock_rate != 1.0 else None)
    except OSError as fault:
        print(f"dunlinlug: cannot serve: {fault}", file=sys.stderr)
        return 1
    return 0
