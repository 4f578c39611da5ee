"""Flow control of the channel to the proxies.

The unit is the table entry: the channel has a rate in entries per second and a maximum number of
queued entries, and each message to a proxy costs a fixed overhead in entries. `ChannelBudget`
estimates the channel's queue across replies. `OrderBatch` collects the orders of one reply and
charges the entries that they cost. Times are in seconds, sizes in entries.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum
from math import inf

from dunlinlug.decision.orders import Order
from dunlinlug.decision.settings import ChannelSettings
from dunlinlug.decision.state.pending_acks import PendingAcks

# Longest queue, in seconds needed to drain it, at which a table change may begin. Other orders may
# be sent behind a multiple of it: two or three times for table switches, four times for admission
# and for ejections that the safety rules do not require.
BASE_DRAIN_TIME = 0.5


class Priority(IntEnum):
    """Priority of an order; less urgent orders leave more of the channel's capacity free."""

    MANDATORY = 0  # required by the safety rules
    HEALTH = 1
    ADMISSION = 2
    BULK = 3  # table changes and table switches


@dataclass(frozen=True)
class Urgency:
    """The priority of an order and the longest channel queue behind which it may be sent.

    `max_drain_time` is that queue length, in seconds needed to drain it. `message_priority` is the
    priority by which a proxy's message limit applies; by default it is `priority`.
    """

    priority: Priority
    max_drain_time: float = inf
    message_priority: Priority | None = None

    def limit_priority(self) -> Priority:
        """Return the priority by which a proxy's message limit applies."""
        return self.priority if self.message_priority is None else self.message_priority


# Orders required by the safety rules are sent behind a queue of any drain time.
MANDATORY = Urgency(Priority.MANDATORY)
# Ejections by outlier detection and ends of ejections; admission changes; starts of table changes.
HEALTH = Urgency(Priority.HEALTH, 4 * BASE_DRAIN_TIME)
ADMISSION = Urgency(Priority.ADMISSION, 4 * BASE_DRAIN_TIME)
TABLE_CHANGE = Urgency(Priority.BULK, BASE_DRAIN_TIME)


class ChannelBudget(PendingAcks):
    """Estimates the channel's queue from the orders sent and the acknowledgements received.

    Owns the observed channel rate and, for each priority, the number of messages that a proxy may
    be sent within the message window. The estimate is an upper bound: entries count as queued until
    an acknowledgement shows that they have left the queue.
    """

    # Shortest queue, in seconds at the nominal rate, from which the channel rate is measured.
    MIN_SAMPLE_DRAIN = 0.1
    # Lower bound of the observed rate, as a fraction of the nominal rate.
    MIN_RATE_FRACTION = 0.1
    # Longest time in seconds between sending a message and the proxy counting it.
    MESSAGE_DELAY = 0.3
    # By priority: the fractions of the channel's queue and of a proxy's message limit that orders
    # of this priority must leave free.
    RESERVED_CAPACITY = (0.08, 0.12, 0.2, 0.4)
    RESERVED_MESSAGES = (0.0, 0.4, 0.4, 0.5)

    def __init__(self, channel: ChannelSettings) -> None:
        max_messages = channel.max_messages
        super().__init__(max_messages or 1)
        self.channel = channel
        self.entries_per_second = channel.entries_per_second
        # By priority: the number of messages to a proxy within the window; 0 means unlimited.
        self.message_limits = [
            next((n for n in range(1, max_messages + 1) if 1.0 - n / max_messages <= reserved), 0)
            for reserved in self.RESERVED_MESSAGES
        ]

    def exceeds_message_limit(self, proxy_id: int, now: float, priority: int) -> bool:
        """Whether the proxy was sent as many messages in the window as this priority allows."""
        sent_times = self.sent_times.get(proxy_id, ())
        message_limit = self.message_limits[priority]
        return (
            0 < message_limit <= len(sent_times)
            and sent_times[-message_limit] >= now - self.channel.message_window - self.MESSAGE_DELAY
        )

    def handle_acknowledgement(self, proxy_id: int, ack_number: int, latency: float) -> list[int]:
        """Record an acknowledgement and return the numbers that it acknowledges for the proxy.

        Once all proxies have acknowledged a reply, its latency shows how long the channel took to
        drain everything that was queued when the reply was sent. The observed rate moves halfway
        to the rate measured this way.
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
    """Collects the orders of one reply and the entries that they cost each proxy.

    The orders are kept in the sequence in which they take effect. All orders of a reply for the
    same proxy are sent in one message, whose overhead is charged with the first of them.
    """

    def __init__(self, budget: ChannelBudget, now: float, ack_number: int) -> None:
        self.budget = budget
        self.now = now
        self.ack_number = ack_number
        self.orders: list[Order] = []
        self.entries_by_proxy: dict[int, float] = {}
        self.reserved_entries = 0.0
        self.message_overhead = budget.channel.message_overhead + 1.0
        # Whether an order was postponed because a proxy had reached its message limit. The batch
        # then sets a timer, so that the order is retried even if no further event arrives.
        self.deferred = False
        self.only_mandatory = False

    def refuse_optional_orders(self) -> None:
        """Refuse all further orders except those with the highest priority."""
        self.only_mandatory = True

    def exceeds_drain(self, max_drain_time: float, proxy_id: int | None = None) -> bool:
        """Whether the channel needs more than `max_drain_time` seconds to drain its queue.

        The entries reserved by this reply count too if it has no message for `proxy_id` yet.
        """
        # Further orders for proxies that this reply already writes to do not pay the message
        # overhead again. Counting the reserved entries for them would move those orders to a later
        # reply, which would pay it again.
        counts_reserved = proxy_id is not None and proxy_id not in self.entries_by_proxy
        reserved = self.reserved_entries if counts_reserved else 0.0
        return (
            self.budget.queued_entries + reserved > max_drain_time * self.budget.entries_per_second
        )

    def fits(self, entries: float, priority: int) -> bool:
        """Whether the channel's queue has room for this many entries at this priority."""
        if self.only_mandatory and priority > Priority.MANDATORY:
            return False
        waiting_entries = self.budget.queued_entries + self.reserved_entries
        return waiting_entries + entries <= self.limit(priority)

    def limit(self, priority: int) -> float:
        """Return the number of entries up to which orders of this priority may fill the queue."""
        reserved_fraction = ChannelBudget.RESERVED_CAPACITY[priority]
        return self.budget.channel.max_queued_entries * (1.0 - reserved_fraction)

    def cost(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        urgency: Urgency,
    ) -> float | None:
        """Return the entries charged for `entries_each` to each proxy; None if not allowed now.

        It is not allowed if the queue is too long or too full for this urgency, or if a proxy has
        reached its message limit.
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
        limit_priority = urgency.limit_priority()
        if any(
            self.budget.exceeds_message_limit(p, self.now, limit_priority) for p in new_proxy_ids
        ):
            self.deferred = True
            return None
        return entries

    def reserve(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        urgency: Urgency,
    ) -> bool:
        """Charge `entries_each` to each proxy; return False and charge nothing if not allowed."""
        entries = self.cost(proxy_ids, entries_each, urgency)
        if entries is None:
            return False
        for proxy_id in proxy_ids:
            charged = self.entries_by_proxy.get(proxy_id, self.message_overhead)
            self.entries_by_proxy[proxy_id] = charged + entries_each
        self.reserved_entries += entries
        return True
