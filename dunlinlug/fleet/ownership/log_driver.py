"""Appends to the ownership log and carries out the orders of its protocol."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.ownership import log as ownership_log
from dunlinlug.fleet.ownership.log import AnyLogEntry, LogFormatError
from dunlinlug.fleet.ownership.replica import Orders, ShardReplica


class LogDriver(ABC):
    """Between the log's protocol and the table: entries to the replica, the rest to the service.

    A subclass says what a leader does as its term begins, and as entries are committed.
    """

    def __init__(self, replica: ShardReplica, recovery_timeout: float) -> None:
        self.replica = replica
        self.recovery_timeout = recovery_timeout  # seconds without a vote, for an unusable log

    @abstractmethod
    def _begin_term(self, now: float) -> Orders:
        """We lead the log from now on."""

    @abstractmethod
    def _entries_committed(self, now: float) -> Orders:
        """More of our log is on a majority."""

    def append(self, now: float, entry: AnyLogEntry) -> Orders:
        """Append an entry, as the leader, and apply it to our own table at once."""
        log_orders = self.replica.log.append(now, ownership_log.encode_entry(entry))
        changes = self.replica.apply_own_entry(entry)
        return [*changes, *self.handle_log_orders(now, log_orders)]

    def handle_log_orders(self, now: float, orders: Iterable[log_messages.Order]) -> Orders:
        """Carry out what the log's protocol orders; what is left for the service is returned."""
        remaining: Orders = []
        for order in orders:
            try:
                remaining += self._handle_log_order(now, order)
            except LogFormatError:
                self.replica.log.discard_log(now, self.recovery_timeout)
                # The orders after it would answer the leader that we have the entry.
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
