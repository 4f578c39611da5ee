"""The lease that this member holds on all that it owns, and when it renews it.

A lease is a promise that ends by itself on the holder's own clock (C. Gray and D. Cheriton,
"Leases: an efficient fault-tolerant mechanism for distributed file cache consistency", 1989), so
that no message is needed to take a shard from an owner that does not answer.
"""

from copy import copy
from math import inf

from dunlinlug.fleet.election.messages import NO_POSITION, LogPosition
from dunlinlug.fleet.ownership.messages import LeaseGranted, token_at
from dunlinlug.fleet.ownership.replica import ShardReplica


class HeldLease:
    """What the coordinator granted us last; as the coordinator, our lease as the log's leader.

    Times are seconds on our clock.
    """

    def __init__(self, replica: ShardReplica, incarnation: int, drift: float) -> None:
        self.replica = replica
        self.incarnation = incarnation
        # Seconds of ours that surely end within one second of the coordinator's clock.
        self.drift_factor = (1.0 - drift) / (1.0 + drift)
        self.until = -inf
        self.term = 0
        self.committed_position = NO_POSITION
        self.pending: LeaseGranted | None = None  # granted by a log that we do not have yet

    def clone(self, replica: ShardReplica) -> "HeldLease":
        """An independent copy, over a copy of the replica."""
        duplicate = copy(self)
        duplicate.replica = replica
        return duplicate

    def deadline(self, now: float) -> float:
        """Until when we hold what is ours; in the past if we hold nothing."""
        log = self.replica.log
        if log.is_leader:
            return log.lease_end(now)
        return self.until if self.replica.follows_term(self.term) else -inf

    def committed(self) -> LogPosition:
        """The log up to here is on a majority of the members, as far as we know."""
        log = self.replica.log
        return log.committed if log.is_leader else self.committed_position

    def highest_token(self, now: float) -> int:
        """The highest token of ours under which we may act at this moment; -1 if there is none."""
        return token_at(self.committed()) if now < self.deadline(now) else -1

    def receive(self, lease: LeaseGranted) -> None:
        """The coordinator's answer to a renewal; an answer to another incarnation gives nothing.

        The clock that an earlier incarnation counted by may have been another.
        """
        log = self.replica.log
        if lease.term != log.term or lease.sender != log.leader:
            return
        if lease.incarnation == self.incarnation:
            self.pending = lease

    def activate(self) -> None:
        """Count what was granted, once we have the log that it was granted by.

        Without this wait, back from a partition, we would hold by an outdated table what was
        assigned to another meanwhile.
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
        # Counted from when we asked, not from when the answer came, and shortened as clocks may
        # differ.
        self.until = max(self.until, lease.sent_at + lease.duration * self.drift_factor)
        self.committed_position = max(self.committed_position, lease.committed)

    def log_covers(self, lease: LeaseGranted) -> bool:
        """Whether we have all of the log that the lease was granted by."""
        return self.replica.log.position >= lease.log_position


class RenewalSchedule:
    """When this member renews its lease next, and with whom; times are seconds on our clock."""

    def __init__(self, now: float, interval: float) -> None:
        self.interval = interval
        self.next_at = now
        self.coordinator = ""  # empty while we know of none
        self.previous_coordinator = ""

    def clone(self) -> "RenewalSchedule":
        """An independent copy."""
        return copy(self)

    def request(self, now: float) -> None:
        """Renew at once."""
        self.next_at = now

    def renewed(self, now: float) -> None:
        """Renew again after the interval."""
        self.next_at = now + self.interval

    def follow(self, leader: str, now: float) -> None:
        """The log's leader as we know it; another one learns at once that we are here."""
        if leader == self.coordinator:
            return
        self.previous_coordinator = self.last_coordinator()
        self.coordinator = leader
        self.request(now)

    def last_coordinator(self) -> str:
        """The present coordinator, or the one before if there is none; empty if there never was."""
        return self.coordinator or self.previous_coordinator
