"""This manager's part in a set that takes over from each other: carries the machine's orders out, and feeds it.

While another leads, its batches run through our module, and calls of proxies wait. When we lead, each of our batches
goes to the others, and parcels leave once a majority has it and our lease holds.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

import trio

from dunlinlug import interface as face
from dunlinlug.balance import Balancer
from dunlinlug.fleet.succession import facts, words
from dunlinlug.fleet.succession.machine import Machine
from dunlinlug.fleet.succession.peers import Peers
from dunlinlug.fleet.succession.plain import PlainFault
from dunlinlug.kept import Kept
from dunlinlug.manager.laid import Laid
from dunlinlug.manager.loop import Loop, Parcel
from dunlinlug.xds import fence


class Desk(Protocol):
    """What of the front's present state a successor is given."""

    epoch: int
    tables: dict[int, Laid]
    out: set[str]
    zones: dict[str, str]

    def restore(
        self, epoch: int, tables: dict[int, Laid], out: set[str], zones: dict[str, str]
    ) -> None: ...


class Service(Protocol):
    """Where proxies come to. Calls wait while it is not `open`; `control` and `term` are what it shows of us."""

    fenced: Callable[[int], None]
    control: str
    term: int
    open: trio.Event
    numbers: dict[str, int]  # of proxies by name, those ever given
    fresh: dict[str, int]  # of them, those that no batch has told yet
    sessions: dict[int, Any]

    def close(self, why: str) -> None: ...


class Helm:
    """`begin` is called when we become master (true if nothing was inherited), `end` when we no longer are. `pins` are
    those that stand, as plain records, and `pinned` takes those of another."""

    def __init__(
        self,
        me: str,
        places: dict[str, tuple[str, int]],
        keys: list[bytes],
        timing: dict[str, float],
        first: tuple[str, ...],
        kept: Kept,
        trade: face.Trade,
        loop: Loop,
        desk: Desk,
        service: Service,
        chance: Random,
        note: Callable[..., None],
    ) -> None:
        self.me, self.kept, self.trade, self.loop, self.desk, self.service = (
            me,
            kept,
            trade,
            loop,
            desk,
            service,
        )
        self.note = note
        found = kept.vote()
        before = (
            words.Keep(found[0], found[1], words.Roll(found[2], tuple(found[3])))
            if found
            else words.Keep(0, "", words.Roll(1, tuple(sorted(first or places))))
        )
        self.machine = Machine(me, before, trio.current_time(), uniform=chance.uniform, **timing)
        self.peers = Peers(me, places, keys, self._hear, note)
        self.wake = trio.Event()
        self.begin: Callable[[bool], None] = lambda fresh: None
        self.end: Callable[[], None] = lambda: None
        self.pins: Callable[[], list[dict[str, Any]]] = list
        self.pinned: Callable[[list[dict[str, Any]]], None] = lambda pins: None
        self.told_pins: list[dict[str, Any]] = []
        self.held: deque[tuple[int, Mapping[int, Parcel]]] = deque()
        self.why, self.changed_at, self.takeovers = "started", trio.current_time(), 0
        self.bytes_shared = 0
        self.fault, self.forgets = "", timing["forgets"]
        loop.leading = self
        service.fenced = self.fenced
        service.close("not master yet")

    # What the loop asks.

    def leads(self, now: float) -> bool:
        return self.machine.may_order(now)

    def elected(self) -> bool:
        return self.machine.leading

    def share(self, now: float, events: Sequence[face.Event], left_out: list[int]) -> int:
        numbers, self.service.fresh = self.service.fresh, {}
        pins = self.pins()
        batch = facts.Batch(
            now + self.loop.shift,
            list(events),
            left_out,
            numbers,
            pins if pins != self.told_pins else None,
        )
        self.told_pins = pins
        entry = facts.write_batch(batch)
        self.bytes_shared += len(entry)
        self._obey(self.machine.append(now, entry))
        return self.machine.position[1]

    def hold(self, number: int, parcels: Mapping[int, Parcel]) -> None:
        if parcels:
            self.held.append((number, parcels))
        self._release()

    def _release(self) -> None:
        now = trio.current_time()
        while self.held and self.machine.committed >= (self.machine.term, self.held[0][0]):
            parcels = self.held.popleft()[1]
            if self.leads(now):
                self.loop.release(now, parcels)

    # What the machine hears and orders.

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peers.run, listeners)
            while True:
                self.wake = trio.Event()
                with trio.move_on_at(self.machine.next_at()):
                    await self.wake.wait()
                self._obey(self.machine.tick(trio.current_time()))

    def _hear(self, message: words.Message) -> None:
        self._obey(self.machine.hear(trio.current_time(), message))
        self.wake.set()
        if self.loop.inbox and self.leads(trio.current_time()):
            self.loop.come.set()  # what was held back until our lease began

    def detected(self, member: str, living: set[str]) -> None:
        """The membership says that this one has failed."""
        self.machine.lost(trio.current_time(), member, living)
        self.wake.set()

    def fenced(self, term: int) -> None:
        """A proxy told of a higher term."""
        self._obey(self.machine.fenced(trio.current_time(), term))

    async def hand_over(self, to: str) -> None:
        """Waits up to a lease for what is under way to that member: on a busy fleet a batch nearly always is. Raises
        ValueError if it is not ready to take over then."""
        if to not in self.machine.roll.members or to == self.me:
            raise ValueError(
                f"{to!r} is not another member; they are {', '.join(self.machine.roll.members)}"
            )
        with trio.move_on_after(self.machine.lease):
            while self.leads(trio.current_time()) and not self.machine.has_all(to):
                await self.wake.wait()
                await trio.sleep(0)  # the machine is fed by another task, which sets the next event
        self._obey(self.machine.pass_on(trio.current_time(), to))
        self.wake.set()

    def enrol(self, member: str, on: bool) -> None:
        """One more member, or one fewer. Raises ValueError if that can't be now, or we know no place for it."""
        if member not in self.peers.places:
            raise ValueError(f"no [member {member}] section says where it is")
        members = set(self.machine.roll.members)
        (members.add if on else members.discard)(member)
        entry = facts.write_batch(facts.Batch(trio.current_time() + self.loop.shift, [], [], {}))
        self._obey(self.machine.enrol(trio.current_time(), tuple(sorted(members)), entry))
        self.note("succession.roll", members=sorted(members))
        self.wake.set()

    def _obey(self, orders: list[words.Order]) -> None:
        for order in orders:
            match order:
                case words.Send(to, message):
                    self.peers.send(to, message)
                case words.Keep(term, voted, roll):
                    self.kept.put_vote(term, voted, roll.version, list(roll.members))
                case words.Apply() | words.Restore():
                    try:
                        self._take_in(order)
                    except PlainFault as fault:
                        self._unfit(str(fault))
                        return  # Danger: the answer that comes next would say that we have it
                case words.WholeFor(to):
                    self._obey(self.machine.whole(trio.current_time(), to, self.whole()))
                case words.Committed():
                    self._release()
                case words.Lead(term):
                    self._lead(term)
                case words.Yield(why):
                    self._yield(why)

    def _lead(self, term: int) -> None:
        fresh = self.machine.position == words.NOWHERE
        self._changed("took over" if not fresh else "began")
        self.takeovers += 1
        if fresh:
            self.desk.epoch = term
        self.held.clear()
        self.service.control, self.service.term = fence.written(term, self.me), term
        self.loop.inbox = [*facts.all_left(self.loop.module)]
        self.begin(fresh)
        # The first entry of our term, with which all before it are sealed.
        self._obey(
            self.machine.append(
                trio.current_time(),
                facts.write_batch(facts.Batch(trio.current_time() + self.loop.shift, [], [], {})),
            )
        )
        self.service.open.set()
        self.loop.come.set()
        self.note("succession.leads", term=term, position=self.machine.position[1], fresh=fresh)

    def _yield(self, why: str) -> None:
        self._changed(why)
        self.note("succession.yields", term=self.machine.term, why=why)
        self.held.clear()
        self.loop.inbox = []
        for proxy in list(self.service.sessions):
            self.loop.channel.forget(proxy)
        self.service.close(f"term of {self.me} is over: {why}")
        self.loop.inbox = []
        self.loop.channel.clear()
        self.end()

    def _changed(self, why: str) -> None:
        self.why, self.changed_at = why, trio.current_time()

    # What a standby takes in, and what it is given.

    def _take_in(self, order: words.Apply | words.Restore) -> None:
        """Raises PlainFault."""
        if isinstance(order, words.Apply):
            self._apply(order.entry)
        else:
            self._restore(order.body)
        self.fault = ""

    def _unfit(self, why: str) -> None:
        """Say it once, not with each beat; the whole will come again."""
        self.machine.unfit(trio.current_time(), self.forgets)
        if why != self.fault:
            self.fault = why
            self.note("succession.fault", why=why)

    def _apply(self, entry: bytes) -> None:
        batch = facts.read_batch(entry)
        self.service.numbers.update(batch.numbers)
        if batch.pins is not None:
            self.pinned(batch.pins)
        self.loop.follow(batch.now, batch.events, batch.left_out)

    def whole(self) -> bytes:
        module = self.loop.module
        assert isinstance(module, Balancer)
        return facts.write_whole(
            module,
            facts.Standing(
                trio.current_time() + self.loop.shift,
                self.desk.epoch,
                self.desk.tables,
                self.desk.out,
                self.desk.zones,
                self.service.numbers,
                self.loop.timers,
                self.kept.body() or b"",
                self.pins(),
            ),
        )

    def _restore(self, body: bytes) -> None:
        module, standing = facts.read_whole(body, self.trade)
        self.loop.module, self.loop.timers = module, standing.timers
        self.loop.shift = standing.now - trio.current_time()
        self.desk.restore(standing.epoch, standing.tables, standing.out, standing.zones)
        self.service.numbers, self.service.fresh = standing.numbers, {}
        if standing.roster:
            self.kept.put_list(standing.roster)
        self.pinned(standing.pins)
        self.note("succession.restored", bytes=len(body), tables=len(standing.tables))

    def state(self) -> dict[str, Any]:
        """For people: who leads, since when and why, terms and lag."""
        machine, now = self.machine, trio.current_time()
        return {
            "member": self.me,
            "members": list(machine.roll.members),
            "term": machine.term,
            "master": machine.master or None,
            "leads": self.leads(now),
            "since": round(now - machine.master_since, 3),
            "changed": self.why,
            "changed_ago": round(now - self.changed_at, 3),
            "position": machine.position[1],
            "behind": None if machine.leading else machine.behind,
            "lags": machine.lags() if machine.leading else None,
            "takeovers": self.takeovers,
        }
