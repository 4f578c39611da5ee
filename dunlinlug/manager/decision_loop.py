"""The decision loop: what arrives while it is busy forms the next batch; orders take effect in
order.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

import trio

from dunlinlug.decision.events import EndpointsUpdated, Event, TimerFired
from dunlinlug.decision.orders import LogMessage, Order, SetEjected, SetTimer

# one proxy's message of one reply, as the front at hand makes it; `lines` is what it counts for
OutgoingMessage = Any


class DecisionModule(Protocol):
    """The decision module, or whatever stands in its place."""

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]: ...


class OrderSink(Protocol):
    """The present state on the wire of the front at hand."""

    def handle_events(self, events: Iterable[Event]) -> None:
        """Events that the module is about to hear, in order."""

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> Mapping[int, OutgoingMessage]:
        """Carry out one reply; gives a parcel for each proxy concerned."""


class OutgoingChannel(Protocol):
    """What releases parcels. `waiting` is how many lines wait."""

    queued_entries: float

    def enqueue(self, now: float, proxy: int, message: OutgoingMessage) -> list[str]:
        """Take a parcel; tells which bounds it passes."""

    def pop_due(self, now: float) -> list[tuple[int, OutgoingMessage]]:
        """What is to leave now, in order."""

    def next_due_at(self) -> float | None:
        """When the next is due; None while nothing waits."""

    def remove_proxy(self, proxy: int) -> None:
        """A proxy has left: what waits for it is lost."""

    def clear(self) -> None:
        """All that waits is lost."""


class OrderValidation(Protocol):
    """Judges replies before they are carried out."""

    def validate(
        self,
        now: float,
        events: Sequence[Event],
        orders: list[Order],
        submit: Callable[[Event], None],
    ) -> tuple[list[Order], list[int]]:
        """The orders to carry out, and the proxies that a refused one concerned."""


class LeadershipGate(Protocol):
    """Where several managers take over from each other: whether this one may order, and who else
    has a batch.
    """

    def holds_lease(self, now: float) -> bool: ...

    def is_leader(self) -> bool:
        """Whether this one is master, be it that its lease has not begun yet, or is over and not
        yet given up.
        """

    def replicate(self, now: float, events: Sequence[Event], rejected_indexes: list[int]) -> int:
        """Send a batch to the others; gives its number."""

    def hold_until_committed(
        self, batch_number: int, messages: Mapping[int, OutgoingMessage]
    ) -> None:
        """Parcels that may leave once a majority has this batch."""


class DecisionLoop:
    """One module, one queue of events. Other parts `tell` it and are handed orders by their kind.
    Module, timers and events live on `clock`: trio's, plus `shift` after a succession.
    """

    def __init__(
        self,
        module: DecisionModule,
        order_sink: OrderSink,
        channel: OutgoingChannel,
        deliver: Callable[[int, OutgoingMessage], None],
        log_event: Callable[..., None],
        validation: OrderValidation | None = None,
        min_batch_interval: float = 0.0,
    ) -> None:
        # the last: seconds from one turn to the next at least
        self.validation = validation
        self.min_batch_interval = min_batch_interval
        self.module = module
        self.order_sink = order_sink
        self.channel = channel
        self.deliver = deliver
        self.log_event = log_event
        self.pending_events: list[Event] = []
        self.event_arrived = trio.Event()
        self.channel_changed = trio.Event()
        self.timers: list[tuple[float, int]] = []
        self.order_handlers: dict[
            type, Callable[[Any], None]
        ] = {}  # by kind, who carries out orders not for proxies
        self.batch_count = 0
        self.clock_offset = 0.0
        self.leadership: LeadershipGate | None = None
        self.stopped = False

    def submit(self, event: Event) -> None:
        self.pending_events.append(event)
        self.event_arrived.set()

    def register_leadership(self, leadership: LeadershipGate) -> None:
        """Decide only while this gate allows it, and replicate each batch through it."""
        self.leadership = leadership

    def register_order_handlers(self, handlers: Mapping[type, Callable[[Any], None]]) -> None:
        """Hand orders of these kinds, none of which proxies see, to their handlers."""
        self.order_handlers.update(handlers)

    def notify_channel_changed(self) -> None:
        """Look at the channel anew: its rate has changed, or messages were queued."""
        self.channel_changed.set()

    def stop(self) -> None:
        """Nothing is decided any more. Danger: a turn that is due as we are told to stop still runs
        before the loop is cancelled, and would order what nobody stays to see through.
        """
        self.stopped = True

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_due_messages)
            while True:
                with trio.move_on_at(self._next_timer_at()):
                    await self.event_arrived.wait()
                self.run_batch(trio.current_time())
                await trio.sleep(
                    self.min_batch_interval
                )  # whatever else is ready runs before the next turn

    def _next_timer_at(self) -> float:
        may_decide = not self.stopped and (
            self.leadership is None or self.leadership.holds_lease(trio.current_time())
        )
        return self.timers[0][0] - self.clock_offset if self.timers and may_decide else float("inf")

    def run_batch(self, now: float) -> None:
        """One batch: due timers and all that came, to the module; its orders to whoever they are
        for.
        """
        events = self.pending_events
        self.pending_events = []
        self.event_arrived = trio.Event()
        if self.stopped:
            return
        if self.leadership is not None and not self.leadership.holds_lease(now):
            # Danger: thawed after our lease: what came meanwhile is for another to decide. And lost
            # while the answers to a new master's first beats are on their way: its own standing,
            # and who had joined the former one.
            self.pending_events = events if self.leadership.is_leader() else []
            return
        while self.timers and self.timers[0][0] <= now + self.clock_offset:
            events.append(TimerFired(heapq.heappop(self.timers)[1]))
        if not events:
            return
        self.batch_count += 1
        self.order_sink.handle_events(events)
        decided = self.module.decide(now + self.clock_offset, events)
        awaited_proxies = list[int]()
        orders = decided
        if self.validation is not None:
            orders, awaited_proxies = self.validation.validate(
                now + self.clock_offset, events, decided, self.submit
            )
        messages = self.order_sink.apply_orders(orders, now, awaited_proxies)
        if self.leadership is None:
            self.release(now, messages)
        else:
            accepted_ids = set(map(id, orders))
            rejected_indexes = [
                index for index, order in enumerate(decided) if id(order) not in accepted_ids
            ]
            self.leadership.hold_until_committed(
                self.leadership.replicate(now, events, rejected_indexes), messages
            )
        self._dispatch_orders(now, orders)
        self._log_decision(events, orders, messages)

    def release(self, now: float, messages: Mapping[int, OutgoingMessage]) -> None:
        """Into the channel, in order."""
        for proxy, message in messages.items():
            for exceeded_limit in self.channel.enqueue(now, proxy, message):
                self.log_event(
                    "channel.limit_exceeded",
                    bound=exceeded_limit,
                    proxy=proxy,
                    waiting=round(self.channel.queued_entries),
                )
        self.channel_changed.set()

    def replay_batch(
        self, now: float, events: Sequence[Event], rejected_indexes: Sequence[int]
    ) -> None:
        """A batch of another manager's, at its time: what is known and wanted comes to be the same;
        nothing leaves.
        """
        self.clock_offset = max(self.clock_offset, now - trio.current_time())
        fired_tokens = {event.token for event in events if isinstance(event, TimerFired)}
        self.timers = [timer for timer in self.timers if timer[1] not in fired_tokens]
        self.order_sink.handle_events(events)
        orders = self.module.decide(now, events)
        accepted_orders = [
            order for index, order in enumerate(orders) if index not in rejected_indexes
        ]
        self.order_sink.apply_orders(accepted_orders, trio.current_time())
        self.timers += [
            (now + order.delay, order.token)
            for order in accepted_orders
            if isinstance(order, SetTimer)
        ]
        heapq.heapify(self.timers)

    def _dispatch_orders(self, now: float, orders: Sequence[Order]) -> None:
        for order in orders:
            if isinstance(order, SetTimer):
                heapq.heappush(self.timers, (now + self.clock_offset + order.delay, order.token))
            elif isinstance(order, LogMessage):
                self.log_event("module.message", text=order.text)
            elif type(order) in self.order_handlers:
                self.order_handlers[type(order)](order)

    def _log_decision(
        self,
        events: Sequence[Event],
        orders: Sequence[Order],
        messages: Mapping[int, OutgoingMessage],
    ) -> None:
        """One log line for each reply that orders anything: what, for how many, and the events that
        caused it.
        """
        order_counts = Counter(
            type(order).__name__ for order in orders if not isinstance(order, SetTimer | LogMessage)
        )
        if not order_counts:
            return
        event_counts = Counter(
            type(event).__name__
            + (f".{event.update_type}" if isinstance(event, EndpointsUpdated) else "")
            for event in events
        )
        ejection_changes = {
            ejection.worker: ejection.ejected
            for ejection in orders
            if isinstance(ejection, SetEjected)
        }
        self.log_event(
            "decided",
            orders=dict(order_counts),
            causes=dict(event_counts),
            proxies=len(messages),
            lines=round(sum(message.lines for message in messages.values())),
            waiting=round(self.channel.queued_entries),
            **({"withdrawn": ejection_changes} if ejection_changes else {}),
        )

    async def _send_due_messages(self) -> None:
        while True:
            for proxy, message in self.channel.pop_due(trio.current_time()):
                self.deliver(proxy, message)
            self.channel_changed = trio.Event()
            next_due_at = self.channel.next_due_at()
            with trio.move_on_at(float("inf") if next_due_at is None else next_due_at):
                await self.channel_changed.wait()  # something was put, or the pace has changed
