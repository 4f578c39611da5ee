"""The lease that this member holds on all its shards, and the schedule of its renewals.

A lease expires by itself on the holder's own clock (C. Gray and D. Cheriton, "Leases: an efficient
fault-tolerant mechanism for distributed file cache consistency", 1989), so that a shard can be
reassigned without a message to an owner that does not answer.
"""

from copy import copy
from math import inf

from dunlinlug.fleet.election.messages import NO_POSITION, LogPosition
from dunlinlug.fleet.ownership.messages import LeaseGranted, token_at
from dunlinlug.fleet.ownership.replica import ShardReplica


class HeldLease:
    """The lease that the coordinator granted last, or the coordinator's own as the log's leader.

    Times are seconds on this member's clock.
    """

    def __init__(self, replica: ShardReplica, incarnation: int, drift: float) -> None:
        self.replica = replica
        self.incarnation = incarnation
        # Seconds on this member's clock that are certain to pass within one second on the
        # coordinator's clock.
        self.drift_factor = (1.0 - drift) / (1.0 + drift)
        self.until = -inf
        self.term = 0
        self.committed_position = NO_POSITION
        self.pending: LeaseGranted | None = None  # waits for log entries that are still missing

    def clone(self, replica: ShardReplica) -> "HeldLease":
        """Returns an independent copy that uses a copy of the replica."""
        duplicate = copy(self)
        duplicate.replica = replica
        return duplicate

    def deadline(self, now: float) -> float:
        """Returns when this member's lease ends; a time in the past if it holds none."""
        log = self.replica.log
        if log.is_leader:
            return log.lease_end(now)
        return self.until if self.replica.follows_term(self.term) else -inf

    def committed(self) -> LogPosition:
        """Returns the last log position that is known to be committed."""
        log = self.replica.log
        return log.committed if log.is_leader else self.committed_position

    def highest_token(self, now: float) -> int:
        """Returns the highest token under which this member may act now; -1 if there is none."""
        return token_at(self.committed()) if now < self.deadline(now) else -1

    def receive(self, lease: LeaseGranted) -> None:
        """Stores a lease that the coordinator granted, to be activated later.

        A lease granted to another incarnation is ignored, as that one's clock may have differed.
        """
        log = self.replica.log
        if lease.term != log.term or lease.sender != log.leader:
            return
        if lease.incarnation == self.incarnation:
            self.pending = lease

    def activate(self) -> None:
        """Applies the pending lease once this member has all log entries that it is based on.

        After a partition this member's table may still list shards that have been assigned to
        others. A lease that took effect before the table is up to date would cover those shards.
        """
        lease = self.pending
        if lease is None or not self.replica.follows_term(lease.term):
            return
        if not self.log_covers(lease):
            return
        self.pending = None
        if lease.term != self.term:
            self.term = lease.term
            self.until = -inf
            self.committed_position = NO_POSITION
        # The duration counts from when the renewal was sent, not from when the answer arrived, and
        # is shortened to allow for clock drift.
        self.until = max(self.until, lease.sent_at + lease.duration * self.drift_factor)
        self.committed_position = max(self.committed_position, lease.committed)

    def log_covers(self, lease: LeaseGranted) -> bool:
        """Returns whether this member has all log entries that the lease is based on."""
        return self.replica.log.position >= lease.log_position


class RenewalSchedule:
    """When this member renews its lease next, and with which coordinator.

    Times are seconds on this member's clock.
    """

    def __init__(self, now: float, interval: float) -> None:
        self.interval = interval
        self.next_at = now
        self.coordinator = ""  # empty while none is known
        self.previous_coordinator = ""

    def clone(self) -> "RenewalSchedule":
        """Returns an independent copy."""
        return copy(self)

    def schedule_now(self, now: float) -> None:
        """Makes the next renewal due at once."""
        self.next_at = now

    def schedule_next(self, now: float) -> None:
        """Makes the next renewal due after the renewal interval."""
        self.next_at = now + self.interval

    def follow(self, leader: str, now: float) -> None:
        """Sets the coordinator to the log's leader; renews with a new coordinator at once."""
        if leader == self.coordinator:
            return
        self.previous_coordinator = self.last_coordinator()
        self.coordinator = leader
        self.schedule_now(now)

    def last_coordinator(self) -> str:
        """Returns the current coordinator or, if there is none, the last one; empty if none yet."""
        return self.coordinator or self.previous_coordinator
