"""A member's replica of the ownership log, and the assignment table that it builds."""

from collections.abc import Iterable

from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.ownership import log as ownership_log
from dunlinlug.fleet.ownership.log import AnyLogEntry, AssignmentChange, AssignmentTable
from dunlinlug.fleet.ownership.messages import OwnershipChanged

SNAPSHOT_REASON = "as the steward has it"
Orders = list[object]  # of the log's protocol and of ownership


class ShardReplica:
    """The replicated log, which elects the coordinator, and the table of its entries."""

    def __init__(self, log: ElectionProtocol, shards: int) -> None:
        self.log = log
        self.shards = shards
        self.assignments = AssignmentTable(shards)

    def clone(self) -> "ShardReplica":
        """An independent copy."""
        duplicate = ShardReplica(self.log.clone(), 0)
        duplicate.shards = self.shards
        duplicate.assignments = self.assignments.clone()
        return duplicate

    def follows_term(self, term: int) -> bool:
        """Whether our log is a prefix of the log of this term's leader.

        Without this check we would count on entries of a former leader that may never have been
        committed; once we have taken an entry of this leader, all before it is the leader's line.
        """
        return self.log.term == term and self.log.position[0] == term

    def is_voter(self, member: str) -> bool:
        """Whether a member belongs to the set that votes on the log."""
        return member in self.log.voter_set.members

    def owns(self, member: str, shard: int) -> bool:
        """Whether the log has a member as the owner of a shard."""
        return self.assignments.owners[shard] == member

    def apply_entry(self, order: log_messages.ApplyEntry) -> Orders:
        """Apply an entry that came by the log.

        Raises:
            LogFormatError: The entry is not of this version.
        """
        entry = ownership_log.decode_entry(order.entry)
        return ownership_orders(self.assignments.apply(entry, order.position))

    def apply_own_entry(self, entry: AnyLogEntry) -> Orders:
        """Apply an entry that we have just appended as the leader."""
        return ownership_orders(self.assignments.apply(entry, self.log.position))

    def restore(self, order: log_messages.RestoreSnapshot) -> Orders:
        """Replace the table by a snapshot.

        Raises:
            LogFormatError: The snapshot is not of this version, or of another number of shards.
        """
        previous = self.assignments
        self.assignments = ownership_log.decode_snapshot(order.body, self.shards)
        return ownership_orders(self.assignments.differences(previous, SNAPSHOT_REASON))


def ownership_orders(changes: Iterable[AssignmentChange]) -> Orders:
    """The orders that tell the service of changes of the table."""
    orders: Orders = []
    for change in changes:
        reason = f"{change.reason} to {change.target}" if change.target else change.reason
        orders.append(OwnershipChanged(change.shard, change.owner, change.token, reason))
    return orders
