"""The decision loop: batches events for the decision module and carries out its orders in order.

Events that arrive while a batch is being decided form the next batch.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, TypeVar

import trio

from dunlinlug.decision.events import EndpointsUpdated, Event, OrderRejected, TimerFired
from dunlinlug.decision.orders import LogMessage, Order, SetEjected, SetTimer
from dunlinlug.manager.interfaces import (
    DecisionModule,
    OrderSink,
    OrderValidation,
    OutgoingChannel,
    OutgoingMessage,
    ReplicatedLeadership,
)

OrderT = TypeVar("OrderT", bound=Order)


class DecisionLoop:
    """Runs one decision module, with its event queue and its timers.

    Other components `submit` events; orders that are not for proxies are passed to the handler for
    their type. The module, its timers and its events use the module's clock: trio's clock plus
    `clock_offset` seconds, which is set by a takeover from another manager. `min_batch_interval`
    is the minimum time in seconds between two batches. `deliver` sends a message that the channel
    has released; it accepts the type of message that the order sink creates.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - one argument for each collaborator
        self,
        module: DecisionModule,
        order_sink: OrderSink,
        channel: OutgoingChannel,
        deliver: Callable[[int, Any], None],
        log_event: Callable[..., None],
        validation: OrderValidation | None = None,
        min_batch_interval: float = 0.0,
    ) -> None:
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
        self.timers: list[tuple[float, int]] = []  # a heap: due time on the module's clock, token
        # by order type: the handler, for orders that are not for proxies
        self.order_handlers: dict[type, Callable[[Any], None]] = {}
        self.batch_count = 0
        self.clock_offset = 0.0
        self.leadership: ReplicatedLeadership | None = None
        # Of the last replayed batch with events.
        self.unreported_rejections = list[OrderRejected]()
        self.stopped = False

    def handle_orders(self, order_type: type[OrderT], handler: Callable[[OrderT], None]) -> None:
        """Register `handler` for the orders of one type."""
        self.order_handlers[order_type] = handler

    def set_leadership(self, leadership: ReplicatedLeadership) -> None:
        """Decide only while `leadership` holds its lease, and replicate each batch through it."""
        self.leadership = leadership

    def submit(self, event: Event) -> None:
        """Add an event to the next batch."""
        self.pending_events.append(event)
        self.event_arrived.set()

    def notify_channel_changed(self) -> None:
        """Check the channel's next due time again, as its rate has changed."""
        self.channel_changed.set()

    def stop(self) -> None:
        """Decide no further batches.

        A batch that is due when the process is stopped could otherwise still be decided before the
        loop is cancelled, and the process would exit before its orders are carried out.
        """
        self.stopped = True

    async def run(self) -> None:
        """Decide batches and release messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_due_messages)
            while True:
                with trio.move_on_at(self._next_timer_at()):
                    await self.event_arrived.wait()
                self.run_batch(trio.current_time())
                # lets the other tasks that are ready run before the next batch
                await trio.sleep(self.min_batch_interval)

    def _next_timer_at(self) -> float:
        """Return when the next timer is due on trio's clock; infinity while none may fire."""
        if not self.timers or self.stopped:
            return float("inf")
        if self.leadership is not None and not self.leadership.holds_lease(trio.current_time()):
            return float("inf")
        return self.timers[0][0] - self.clock_offset

    def run_batch(self, now: float) -> None:
        """Decide one batch of pending events and due timers at `now` on trio's clock."""
        events = self._take_pending_events(now)
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
            rejected_indexes = _indexes_of_rejected(decided, orders)
            batch_number = self.leadership.replicate(now, events, rejected_indexes)
            self.leadership.hold_until_committed(batch_number, messages)
        self._dispatch_orders(now, orders)
        self._log_decision(events, orders, messages)

    def _take_pending_events(self, now: float) -> list[Event]:
        """Return pending events and those of due timers; none while decisions are not allowed."""
        events = self.pending_events
        self.pending_events = []
        self.event_arrived = trio.Event()
        if self.stopped:
            return []
        if self.leadership is not None and not self.leadership.holds_lease(now):
            # A manager that was suspended until after its lease must not decide on the events that
            # arrived meanwhile, as another leader decides on them by now. A leader without a valid
            # lease keeps its events: until a new leader's first heartbeats are answered, they
            # contain its own partition status and the proxies connected to the former leader.
            self.pending_events = events if self.leadership.is_leader() else []
            return []
        while self.timers and self.timers[0][0] <= now + self.clock_offset:
            events.append(TimerFired(heapq.heappop(self.timers)[1]))
        return events

    def release(self, now: float, messages: Mapping[int, OutgoingMessage]) -> None:
        """Queue messages on the channel, in order, and log the limits that they exceed."""
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
        """Decide another manager's batch at its time, to reach the same state.

        `now` is on the module's clock; `rejected_indexes` are the positions of the orders that the
        other manager's validation rejected. No message is sent.
        """
        self.clock_offset = max(self.clock_offset, now - trio.current_time())
        fired_tokens = {event.token for event in events if isinstance(event, TimerFired)}
        self.timers = [timer for timer in self.timers if timer[1] not in fired_tokens]
        self.order_sink.handle_events(events)
        orders = self.module.decide(now, events)
        accepted_orders = [
            order for index, order in enumerate(orders) if index not in rejected_indexes
        ]
        if events:  # with a batch's events the leader reported the rejections of the one before
            self.unreported_rejections = [
                OrderRejected(orders[index], "rejected earlier")  # type: ignore[arg-type]
                for index in rejected_indexes
                if index < len(orders)
            ]
        self.order_sink.apply_orders(accepted_orders, trio.current_time())
        self.timers += [
            (now + order.delay, order.token)
            for order in accepted_orders
            if isinstance(order, SetTimer)
        ]
        heapq.heapify(self.timers)

    def submit_unreported_rejections(self) -> None:
        """Add the rejections that the previous leader did not report before it stopped leading."""
        for rejection in self.unreported_rejections:
            self.submit(rejection)
        self.unreported_rejections = []

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
        """Log a reply's orders, the number of proxies concerned and the events that caused it."""
        order_counts = Counter(
            type(order).__name__ for order in orders if not isinstance(order, SetTimer | LogMessage)
        )
        if not order_counts:
            return
        ejection_changes = {
            ejection.worker: ejection.ejected
            for ejection in orders
            if isinstance(ejection, SetEjected)
        }
        optional_fields = {"withdrawn": ejection_changes} if ejection_changes else {}
        self.log_event(
            "decided",
            orders=dict(order_counts),
            causes=_count_by_kind(events),
            proxies=len(messages),
            lines=round(sum(message.entry_count for message in messages.values())),
            waiting=round(self.channel.queued_entries),
            **optional_fields,
        )

    async def _send_due_messages(self) -> None:
        while True:
            for proxy, message in self.channel.pop_due(trio.current_time()):
                self.deliver(proxy, message)
            self.channel_changed = trio.Event()
            next_due_at = self.channel.next_due_at()
            with trio.move_on_at(float("inf") if next_due_at is None else next_due_at):
                await self.channel_changed.wait()  # a message was queued, or the rate has changed


def _indexes_of_rejected(decided: Sequence[Order], accepted: Sequence[Order]) -> list[int]:
    """Return the positions in `decided` of orders not in `accepted`, compared by identity."""
    accepted_ids = {id(order) for order in accepted}
    return [index for index, order in enumerate(decided) if id(order) not in accepted_ids]


def _count_by_kind(events: Iterable[Event]) -> dict[str, int]:
    """Return the number of events of each kind, by the kind's name in the log."""
    counts = Counter[str]()
    for event in events:
        kind = type(event).__name__
        if isinstance(event, EndpointsUpdated):
            kind += f".{event.update_type}"
        counts[kind] += 1
    return dict(counts)
