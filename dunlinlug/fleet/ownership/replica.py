"""A member's replica of the ownership log, and the assignment table that its entries build."""

from collections.abc import Iterable

from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.ownership import log as ownership_log
from dunlinlug.fleet.ownership.log import AnyLogEntry, AssignmentChange, AssignmentTable
from dunlinlug.fleet.ownership.messages import OwnershipChanged

SNAPSHOT_REASON = "restored from the coordinator's snapshot"
Orders = list[object]  # orders of the log's protocol and of the ownership protocol


class ShardReplica:
    """The replicated log, whose leader is the coordinator, and the table built from its entries."""

    def __init__(self, log: ElectionProtocol, shards: int) -> None:
        self.log = log
        self.shards = shards
        self.assignments = AssignmentTable(shards)

    def clone(self) -> "ShardReplica":
        """Returns an independent copy."""
        duplicate = ShardReplica(self.log.clone(), 0)
        duplicate.shards = self.shards
        duplicate.assignments = self.assignments.clone()
        return duplicate

    def follows_term(self, term: int) -> bool:
        """Returns whether this member's log is a prefix of the log of this term's leader.

        Entries of a former leader may never have been committed. Once this member has an entry of
        the current leader, all entries before it are also in that leader's log.
        """
        return self.log.term == term and self.log.position[0] == term

    def is_voter(self, member: str) -> bool:
        """Returns whether a member votes on the log."""
        return member in self.log.voter_set.members

    def owns(self, member: str, shard: int) -> bool:
        """Returns whether a member owns a shard according to the log."""
        return self.assignments.owners[shard] == member

    def apply_entry(self, order: log_messages.ApplyEntry) -> Orders:
        """Applies an entry received from the log's leader.

        Raises:
            LogFormatError: The entry is not of this version.
        """
        entry = ownership_log.decode_entry(order.entry)
        return ownership_orders(self.assignments.apply(entry, order.position))

    def apply_own_entry(self, entry: AnyLogEntry) -> Orders:
        """Applies an entry that this member has just appended as the leader."""
        return ownership_orders(self.assignments.apply(entry, self.log.position))

    def restore(self, order: log_messages.RestoreSnapshot) -> Orders:
        """Replaces the table by a snapshot.

        Raises:
            LogFormatError: The snapshot is not of this version, or has another number of shards.
        """
        previous = self.assignments
        self.assignments = ownership_log.decode_snapshot(order.body, self.shards)
        return ownership_orders(self.assignments.differences(previous, SNAPSHOT_REASON))


def ownership_orders(changes: Iterable[AssignmentChange]) -> Orders:
    """Returns the orders that report changes of the table to the service."""
    orders: Orders = []
    for change in changes:
        reason = f"{change.reason} to {change.target}" if change.target else change.reason
        orders.append(OwnershipChanged(change.shard, change.owner, change.token, reason))
    return orders
