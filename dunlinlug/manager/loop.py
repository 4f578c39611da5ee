"""The decision loop: what arrives while it is busy forms the next batch; orders take effect in order."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

import trio

from dunlinlug import interface as face

Parcel = Any  # one proxy's message of one reply, as the front at hand makes it; `lines` is what it counts for


class Decider(Protocol):
    """The decision module, or whatever stands in its place."""

    def decide(self, now: float, events: Iterable[face.Event]) -> list[face.Order]: ...


class Desk(Protocol):
    """The present state on the wire of the front at hand."""

    def hear(self, events: Iterable[face.Event]) -> None:
        """Events that the module is about to hear, in order."""

    def obey(
        self, orders: Iterable[face.Order], now: float, concerned: Iterable[int] = ()
    ) -> Mapping[int, Parcel]:
        """Carry out one reply; gives a parcel for each proxy concerned."""


class Channel(Protocol):
    """What releases parcels. `waiting` is how many lines wait."""

    waiting: float

    def put(self, now: float, proxy: int, parcel: Parcel) -> list[str]:
        """Take a parcel; tells which bounds it passes."""

    def due(self, now: float) -> list[tuple[int, Parcel]]:
        """What is to leave now, in order."""

    def next_at(self) -> float | None:
        """When the next is due; None while nothing waits."""

    def forget(self, proxy: int) -> None:
        """A proxy has left: what waits for it is lost."""

    def clear(self) -> None:
        """All that waits is lost."""


class Watch(Protocol):
    """Judges replies before they are carried out."""

    def look(
        self,
        now: float,
        events: Sequence[face.Event],
        orders: list[face.Order],
        tell: Callable[[face.Event], None],
    ) -> tuple[list[face.Order], list[int]]:
        """The orders to carry out, and the proxies that a refused one concerned."""


class Leading(Protocol):
    """Where several managers take over from each other: whether this one may order, and who else has a batch."""

    def leads(self, now: float) -> bool: ...

    def elected(self) -> bool:
        """Whether this one is master, be it that its lease has not begun yet, or is over and not yet given up."""

    def share(self, now: float, events: Sequence[face.Event], left_out: list[int]) -> int:
        """Send a batch to the others; gives its number."""

    def hold(self, number: int, parcels: Mapping[int, Parcel]) -> None:
        """Parcels that may leave once a majority has this batch."""


class Loop:
    """One module, one queue of events. Other parts `tell` it and are handed orders by their kind. Module, timers and
    events live on `clock`: trio's, plus `shift` after a succession."""

    def __init__(
        self,
        module: Decider,
        desk: Desk,
        channel: Channel,
        deliver: Callable[[int, Parcel], None],
        note: Callable[..., None],
        watch: Watch | None = None,
        least: float = 0.0,
    ) -> None:
        self.watch, self.least = (
            watch,
            least,
        )  # the last: seconds from one turn to the next at least
        self.module, self.desk, self.channel, self.deliver, self.note = (
            module,
            desk,
            channel,
            deliver,
            note,
        )
        self.inbox: list[face.Event] = []
        self.come, self.put = trio.Event(), trio.Event()
        self.timers: list[tuple[float, int]] = []
        self.others: dict[
            type, Callable[[Any], None]
        ] = {}  # by kind, who carries out orders not for proxies
        self.batches = 0
        self.shift = 0.0
        self.leading: Leading | None = None
        self.stopped = False

    def tell(self, event: face.Event) -> None:
        self.inbox.append(event)
        self.come.set()

    def stop(self) -> None:
        """Nothing is decided any more. Danger: a turn that is due as we are told to stop still runs before the loop is
        cancelled, and would order what nobody stays to see through."""
        self.stopped = True

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pace)
            while True:
                with trio.move_on_at(self._next_at()):
                    await self.come.wait()
                self.turn(trio.current_time())
                await trio.sleep(self.least)  # whatever else is ready runs before the next turn

    def _next_at(self) -> float:
        leads = not self.stopped and (
            self.leading is None or self.leading.leads(trio.current_time())
        )
        return self.timers[0][0] - self.shift if self.timers and leads else float("inf")

    def turn(self, now: float) -> None:
        """One batch: due timers and all that came, to the module; its orders to whoever they are for."""
        events, self.inbox, self.come = self.inbox, [], trio.Event()
        if self.stopped:
            return
        if self.leading is not None and not self.leading.leads(now):
            # Danger: thawed after our lease: what came meanwhile is for another to decide. And lost while the answers
            # to a new master's first beats are on their way: its own standing, and who had joined the former one.
            self.inbox = events if self.leading.elected() else []
            return
        while self.timers and self.timers[0][0] <= now + self.shift:
            events.append(face.Rung(heapq.heappop(self.timers)[1]))
        if not events:
            return
        self.batches += 1
        self.desk.hear(events)
        decided, concerned = self.module.decide(now + self.shift, events), list[int]()
        orders = decided
        if self.watch is not None:
            orders, concerned = self.watch.look(now + self.shift, events, decided, self.tell)
        parcels = self.desk.obey(orders, now, concerned)
        if self.leading is None:
            self.release(now, parcels)
        else:
            passed = set(map(id, orders))
            left_out = [n for n, order in enumerate(decided) if id(order) not in passed]
            self.leading.hold(self.leading.share(now, events, left_out), parcels)
        self._carry_out(now, orders)
        self._explain(events, orders, parcels)

    def release(self, now: float, parcels: Mapping[int, Parcel]) -> None:
        """Into the channel, in order."""
        for proxy, parcel in parcels.items():
            for bound in self.channel.put(now, proxy, parcel):
                self.note(
                    "channel.over", bound=bound, proxy=proxy, waiting=round(self.channel.waiting)
                )
        self.put.set()

    def follow(self, now: float, events: Sequence[face.Event], left_out: Sequence[int]) -> None:
        """A batch of another manager's, at its time: what is known and wanted comes to be the same; nothing leaves."""
        self.shift = max(self.shift, now - trio.current_time())
        rung = {event.token for event in events if isinstance(event, face.Rung)}
        self.timers = [timer for timer in self.timers if timer[1] not in rung]
        self.desk.hear(events)
        orders = self.module.decide(now, events)
        passed = [order for n, order in enumerate(orders) if n not in left_out]
        self.desk.obey(passed, trio.current_time())
        self.timers += [
            (now + order.after, order.token) for order in passed if isinstance(order, face.Wake)
        ]
        heapq.heapify(self.timers)

    def _carry_out(self, now: float, orders: Sequence[face.Order]) -> None:
        for order in orders:
            if isinstance(order, face.Wake):
                heapq.heappush(self.timers, (now + self.shift + order.after, order.token))
            elif isinstance(order, face.Note):
                self.note("module.note", text=order.text)
            elif type(order) in self.others:
                self.others[type(order)](order)

    def _explain(
        self,
        events: Sequence[face.Event],
        orders: Sequence[face.Order],
        parcels: Mapping[int, Parcel],
    ) -> None:
        """One log line for each reply that orders anything: what, for how many, and the events that caused it."""
        kinds = Counter(
            type(order).__name__ for order in orders if not isinstance(order, face.Wake | face.Note)
        )
        if not kinds:
            return
        causes = Counter(
            type(e).__name__ + (f".{e.form}" if isinstance(e, face.Listed) else "") for e in events
        )
        withdrawn = {o.worker: o.out for o in orders if isinstance(o, face.Withdraw)}
        self.note(
            "decided",
            orders=dict(kinds),
            causes=dict(causes),
            proxies=len(parcels),
            lines=round(sum(p.lines for p in parcels.values())),
            waiting=round(self.channel.waiting),
            **({"withdrawn": withdrawn} if withdrawn else {}),
        )

    async def _pace(self) -> None:
        while True:
            for proxy, parcel in self.channel.due(trio.current_time()):
                self.deliver(proxy, parcel)
            self.put = trio.Event()
            at = self.channel.next_at()
            with trio.move_on_at(float("inf") if at is None else at):
                await self.put.wait()  # something was put, or the pace has changed
