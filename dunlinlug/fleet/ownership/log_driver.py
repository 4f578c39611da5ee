"""Appends entries to the ownership log and executes the orders of the log's protocol."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.ownership import log as ownership_log
from dunlinlug.fleet.ownership.log import AnyLogEntry, LogFormatError
from dunlinlug.fleet.ownership.replica import Orders, ShardReplica


class LogDriver(ABC):
    """Applies the protocol's entries to the replica and returns other orders for the service.

    A subclass defines what a leader does at the start of its term and when entries are committed.

    Attributes:
        replica: The replicated log and its table.
        recovery_timeout: Seconds in which this member does not vote after it discarded its log.
    """

    def __init__(self, replica: ShardReplica, recovery_timeout: float) -> None:
        self.replica = replica
        self.recovery_timeout = recovery_timeout

    @abstractmethod
    def _begin_term(self, now: float) -> Orders:
        """Starts this member's term as the log's leader."""

    @abstractmethod
    def _entries_committed(self, now: float) -> Orders:
        """Reacts to further entries that are now on a majority."""

    def append(self, now: float, entry: AnyLogEntry) -> Orders:
        """Appends an entry as the leader, and applies it to this member's own table at once."""
        log_orders = self.replica.log.append(now, ownership_log.encode_entry(entry))
        changes = self.replica.apply_own_entry(entry)
        return [*changes, *self.handle_log_orders(now, log_orders)]

    def handle_log_orders(self, now: float, orders: Iterable[log_messages.Order]) -> Orders:
        """Executes orders of the log's protocol and returns the orders left for the service.

        If an entry or snapshot cannot be decoded, this member discards its log.
        """
        remaining: Orders = []
        for order in orders:
            try:
                remaining += self._handle_log_order(now, order)
            except LogFormatError:
                self.replica.log.discard_log(now, self.recovery_timeout)
                # The remaining orders would acknowledge the entry to the leader.
                return remaining
        return remaining

    def _handle_log_order(self, now: float, order: log_messages.Order) -> Orders:
        match order:
            case log_messages.ApplyEntry():
                return self.replica.apply_entry(order)
            case log_messages.RestoreSnapshot():
                return self.replica.restore(order)
            case log_messages.SnapshotNeeded(recipient):
                snapshot = self.replica.assignments.snapshot()
                return [*self.replica.log.send_snapshot(now, recipient, snapshot)]
            case log_messages.BecomeLeader():
                return [order, *self._begin_term(now)]
            case log_messages.Committed():
                return self._entries_committed(now)
        return [order]
