"""Flow control of the channel to the proxies: what may still be ordered, and what a reply costs.

A table entry is the unit: the channel carries so many entries a second, lets so many wait, and a
message to a proxy costs some entries in itself. `ChannelBudget` outlives a reply and estimates what
waits in the channel; `OrderBatch` is one reply in the making and is charged for each order that
goes to proxies. Times are seconds, sizes are entries.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum
from math import inf

from dunlinlug.decision.orders import Order
from dunlinlug.decision.settings import ChannelSettings
from dunlinlug.decision.state.pending_acks import PendingAcks

# Seconds of drain that may wait in the channel when a table change begins; other orders may find
# a multiple of it (table switches two or three times, ejections and admission four times).
BASE_DRAIN_TIME = 0.5


class Priority(IntEnum):
    """Which part of the channel an order may use; less urgent orders leave more of it free."""

    MANDATORY = 0  # what the safety rules demand
    HEALTH = 1
    ADMISSION = 2
    BULK = 3  # table changes and switches


@dataclass(frozen=True)
class Urgency:
    """What an order may find in the channel when it goes.

    `max_drain_time` is how many seconds of drain may wait in the channel.
    """

    priority: Priority
    max_drain_time: float = inf


# What the safety rules demand goes whatever waits.
MANDATORY = Urgency(Priority.MANDATORY)
# Health and admission orders, and table changes that are to begin.
HEALTH = Urgency(Priority.HEALTH, 4 * BASE_DRAIN_TIME)
ADMISSION = Urgency(Priority.ADMISSION, 4 * BASE_DRAIN_TIME)
TABLE_CHANGE = Urgency(Priority.BULK, BASE_DRAIN_TIME)


class ChannelBudget(PendingAcks):
    """Estimates what waits in the channel, from what was ordered and what was acknowledged.

    Owns the observed channel rate, and by priority how many messages a proxy may be sent within
    the message window. Whatever is not shown to have left counts as waiting: an upper bound.
    """

    # An acknowledgement tells the rate if this much waited before it: seconds at the nominal rate.
    MIN_SAMPLE_DRAIN = 0.1
    # The observed rate is never taken for less than this fraction of the nominal one.
    MIN_RATE_FRACTION = 0.1
    # Seconds after which a message that we wrote may be counted by the proxy.
    MESSAGE_DELAY = 0.3
    # By priority, the fraction of the channel's queue and of a proxy's messages left to others.
    RESERVED_CAPACITY = (0.08, 0.12, 0.2, 0.4)
    RESERVED_MESSAGES = (0.0, 0.4, 0.4, 0.5)

    def __init__(self, channel: ChannelSettings) -> None:
        max_messages = channel.max_messages
        super().__init__(max_messages or 1)
        self.channel = channel
        self.entries_per_second = channel.entries_per_second
        # By priority, the messages within the window from which on a proxy gets no more; 0: no
        # bound.
        self.message_limits = [
            next((n for n in range(1, max_messages + 1) if 1.0 - n / max_messages <= reserved), 0)
            for reserved in self.RESERVED_MESSAGES
        ]

    def exceeds_message_limit(self, proxy_id: int, now: float, priority: int) -> bool:
        """Whether the proxy was sent all the messages that this priority may use in a window."""
        sent_times = self.sent_times.get(proxy_id, ())
        message_limit = self.message_limits[priority]
        return (
            0 < message_limit <= len(sent_times)
            and sent_times[-message_limit] >= now - self.channel.message_window - self.MESSAGE_DELAY
        )

    def handle_acknowledgement(self, proxy_id: int, ack_number: int, latency: float) -> list[int]:
        """Take in an acknowledgement; return the numbers that it acknowledges for the proxy.

        The last proxy to acknowledge a reply shows how long the channel took for all that waited
        when the reply was ordered; the observed rate moves halfway to it.
        """
        queued_before = self.pending_replies[ack_number].queued_before
        nominal_rate = self.channel.entries_per_second
        acknowledged = self.acknowledge(proxy_id, ack_number)
        is_complete = ack_number not in self.pending_replies
        if is_complete and queued_before >= self.MIN_SAMPLE_DRAIN * nominal_rate:
            observed_rate = queued_before / max(latency - self.channel.transit_time, 0.001)
            self.entries_per_second = min(
                max(
                    (self.entries_per_second + observed_rate) / 2,
                    self.MIN_RATE_FRACTION * nominal_rate,
                ),
                nominal_rate,
            )
        return acknowledged


class OrderBatch:
    """One reply in the making: its orders, and the entries that they cost each proxy.

    Owns the orders in the order in which they take effect. All orders of a reply for one proxy
    travel in one message, whose overhead is charged with the first of them.
    """

    def __init__(self, budget: ChannelBudget, now: float, ack_number: int) -> None:
        self.budget = budget
        self.now = now
        self.ack_number = ack_number
        self.orders: list[Order] = []
        self.entries_by_proxy: dict[int, float] = {}
        self.reserved_entries = 0.0
        self.message_overhead = budget.channel.message_overhead + 1.0
        # Whether an order was put off because a proxy was sent enough messages. Without a timer
        # for it, the order would not be looked at again before the next event.
        self.deferred = False
        self.only_mandatory = False

    def hold_back_optional(self) -> None:
        """Refuse all orders from now on but those of the highest priority."""
        self.only_mandatory = True

    def exceeds_drain(self, max_drain_time: float, proxy_id: int | None = None) -> bool:
        """Whether the channel needs longer than so many seconds for all that waits in it.

        With a proxy that this reply does not yet write to, what the reply reserved counts too.
        """
        # If it always counted, a reply whose message overheads are paid for would leave changes
        # to another reply that pays them again.
        counts_reserved = proxy_id is not None and proxy_id not in self.entries_by_proxy
        reserved = self.reserved_entries if counts_reserved else 0.0
        return (
            self.budget.queued_entries + reserved > max_drain_time * self.budget.entries_per_second
        )

    def fits(self, entries: float, priority: int) -> bool:
        """Whether the channel's queue has room for so many entries of this priority."""
        if self.only_mandatory and priority > Priority.MANDATORY:
            return False
        waiting_entries = self.budget.queued_entries + self.reserved_entries
        return waiting_entries + entries <= self.limit(priority)

    def limit(self, priority: int) -> float:
        """Return how many entries may wait in the channel with one of this priority."""
        reserved_fraction = ChannelBudget.RESERVED_CAPACITY[priority]
        return self.budget.channel.max_queued_entries * (1.0 - reserved_fraction)

    def cost(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        urgency: Urgency,
    ) -> float | None:
        """Return what so many entries for each of these proxies cost; None if they may not go.

        They may not go where the queue is too long or too full for this urgency, or where a
        proxy was sent too many messages.
        """
        priority = urgency.priority
        if self.exceeds_drain(urgency.max_drain_time):
            return None
        if not self.fits(entries_each * len(proxy_ids), priority):
            return None
        new_proxy_ids = [p for p in proxy_ids if p not in self.entries_by_proxy]
        entries = entries_each * len(proxy_ids) + self.message_overhead * len(new_proxy_ids)
        if new_proxy_ids and self.exceeds_drain(urgency.max_drain_time, new_proxy_ids[0]):
            return None
        if not self.fits(entries, priority):
            return None
        if any(self.budget.exceeds_message_limit(p, self.now, priority) for p in new_proxy_ids):
            self.deferred = True
            return None
        return entries

    def reserve(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        urgency: Urgency,
    ) -> bool:
        """Charge entries to each of these proxies; False, without a charge, if they may not go."""
        entries = self.cost(proxy_ids, entries_each, urgency)
        if entries is None:
            return False
        for proxy_id in proxy_ids:
            charged = self.entries_by_proxy.get(proxy_id, self.message_overhead)
            self.entries_by_proxy[proxy_id] = charged + entries_each
        self.reserved_entries += entries
        return True
