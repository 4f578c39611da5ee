"""The lease coordinator: the leader of the ownership log, which assigns shards and grants leases.

A lease that the coordinator grants never outlasts the coordinator's own lease as the log's leader.
All granted leases have therefore expired before a successor can be elected, and the successor may
assign the former coordinator's shards at once. The coordinator reassigns a shard only after every
lease that it granted to the shard's owner has expired on the coordinator's own clock (C. Gray and
D. Cheriton, "Leases", 1989).
"""

from collections.abc import Iterable
from copy import copy
from math import inf

from dunlinlug.fleet.ownership import assignment
from dunlinlug.fleet.ownership.checkpoints import acceptable_items
from dunlinlug.fleet.ownership.errors import ShardMoveError
from dunlinlug.fleet.ownership.granted_leases import GrantedLeases
from dunlinlug.fleet.ownership.lease import RenewalSchedule
from dunlinlug.fleet.ownership.log import Assign, Checkpoint, MemberRestarted, Revoke, TermStarted
from dunlinlug.fleet.ownership.log_driver import LogDriver
from dunlinlug.fleet.ownership.messages import (
    CheckpointReport,
    RenewLease,
    SendMessage,
    ShardToken,
    term_of,
)
from dunlinlug.fleet.ownership.options import OwnershipOptions
from dunlinlug.fleet.ownership.release import ShardReleases
from dunlinlug.fleet.ownership.replica import Orders, ShardReplica

# Fraction of a lease after the start of a term in which the first renewals may still arrive.
RENEWAL_GRACE_LEASES = 0.5
# Heartbeat intervals after the start of a term before shards of failed owners are reassigned.
FAILED_GRACE_HEARTBEATS = 0.5
OUTDATED_TOKEN_REASON = "a carrier had seen a number as high"


class LeaseCoordinator(LogDriver):
    """Assigns shards and grants leases; most methods act only while this member leads the log.

    Times are seconds on this member's clock.

    Attributes:
        failed_members: Members that the membership's failure detector reports as failed.
        term_started_at: When this member's latest term as the leader started.
        next_review_at: When the next lease or grace period ends.
    """

    def __init__(
        self,
        replica: ShardReplica,
        releases: ShardReleases,
        renewals: RenewalSchedule,
        options: OwnershipOptions,
        now: float,
    ) -> None:
        super().__init__(replica, options.timing.recovery_timeout)
        self.self_id = replica.log.self_id
        self.releases = releases
        self.renewals = renewals
        self.incarnation = options.incarnation
        self.lease = options.timing.lease
        self.heartbeat_interval = options.timing.heartbeat_interval
        self.grants = GrantedLeases()
        self.stability = assignment.StabilityTracker(self.lease)
        self.failed_members = set[str]()
        self.term_started_at = now
        self.next_review_at = inf

    def clone(
        self, replica: ShardReplica, releases: ShardReleases, renewals: RenewalSchedule
    ) -> "LeaseCoordinator":
        """Returns an independent copy that uses copies of the parts around it."""
        duplicate = copy(self)
        duplicate.replica = replica
        duplicate.releases = releases
        duplicate.renewals = renewals
        duplicate.grants = self.grants.clone()
        duplicate.stability = self.stability.clone()
        duplicate.failed_members = self.failed_members.copy()
        return duplicate

    def _begin_term(self, now: float) -> Orders:
        """Starts this member's term as the leader; leases of earlier leaders have expired."""
        self.grants = GrantedLeases()
        self.stability = assignment.StabilityTracker(self.lease)
        self.term_started_at = now
        self.renewals.schedule_now(now)
        # A majority has received nothing from the previous leader for a whole lease, so it counts
        # as failed and its shards are reassigned without the renewal grace period.
        predecessor = self.renewals.last_coordinator()
        if predecessor not in ("", self.self_id):
            self.failed_members.add(predecessor)
        return self.append(now, TermStarted())

    def _entries_committed(self, now: float) -> Orders:
        """Extends all leases at once, so that a new owner need not wait for its next renewal."""
        orders: Orders = []
        if not self.replica.log.holds_lease(now):
            return orders
        for member in list(self.grants.last_renewals):
            if self.replica.is_voter(member):
                incarnation = self.grants.incarnations[member]
                orders += self._record_incarnation(now, member, incarnation)
                orders += self._grant_lease(now, member)
        return orders

    # Assignment.

    def review(self, now: float) -> Orders:
        """Assigns orphaned shards or rebalances; does nothing unless this member may decide."""
        if now >= self.next_review_at:
            # An expired review time would stay due, and the timer loop would spin, while this
            # member holds no lease.
            self.next_review_at = inf
        log = self.replica.log
        if not log.is_leader or not log.holds_lease(now) or log.committed[0] != log.term:
            return []
        orders = self._record_incarnation(now, self.self_id, self.incarnation)
        self.stability.record_renewal(self.self_id, now)
        present = self._present_members(now)
        departed = self._departed_owners(now, present)
        for member in list(self.grants.granted_until):
            if member not in present:
                self.stability.record_departure(member)
        self.next_review_at = self._next_review(now, present)
        stable = {member for member in present if self.stability.is_stable(member, now)}
        assignments = self.replica.assignments
        orphans = assignment.assign_orphans(assignments.owners, departed, stable or present)
        if orphans:
            names = " and ".join(sorted(departed - {""})) or "nobody"
            return orders + self.append(now, Assign(tuple(orphans), f"lost by {names}"))
        moves = assignment.rebalance(assignments.owners, assignments.revoking, stable)
        if moves:
            orders += self.append(now, Revoke(tuple(moves)))
        # Shards are reassigned in the order in which this member released them.
        tokens = self.replica.assignments.tokens
        released = [(shard, tokens[shard]) for shard in self.releases.released]
        return orders + self._reassign_released(now, self.self_id, released)

    def _present_members(self, now: float) -> set[str]:
        """Returns the members that may hold a lease from this member, and this member itself."""
        return {
            member
            for member in self.replica.log.voter_set.members
            if member == self.self_id or self.grants.may_hold(member, now)
        }

    def _departed_owners(self, now: float, present: set[str]) -> set[str]:
        """Returns owners whose leases have all expired.

        The empty name, the owner of unowned shards, can be among them.
        """
        owners = set(self.replica.assignments.owners) - present
        return {owner for owner in owners if self._leases_expired(now, owner)}

    def _leases_expired(self, now: float, owner: str) -> bool:
        """Returns whether all leases of an owner have expired and no renewal is expected soon.

        Leases from former coordinators expired before this member was elected. Members send their
        first renewal at the new leader's first heartbeat. If shards were assigned before those
        renewals arrive, only the few members known by then would get them.
        """
        if owner in self.grants.granted_until:
            return not self.grants.may_hold(owner, now)
        left = owner != "" and not self.replica.is_voter(owner)
        if owner in self.failed_members or left:
            return now >= self._failed_grace_end()
        return now >= self._renewal_grace_end()

    def _failed_grace_end(self) -> float:
        return self.term_started_at + self.heartbeat_interval * FAILED_GRACE_HEARTBEATS

    def _renewal_grace_end(self) -> float:
        return self.term_started_at + RENEWAL_GRACE_LEASES * self.lease

    def _next_review(self, now: float, present: set[str]) -> float:
        """Returns when the next lease or grace period ends; infinite if there is none."""
        ends = [end for member, end in self.grants.granted_until.items() if member in present]
        ends += [self._failed_grace_end(), self._renewal_grace_end()]
        return min((end for end in ends if end > now), default=inf)

    def _reassign_released(self, now: float, member: str, released: Iterable[ShardToken]) -> Orders:
        """Assigns released shards to the targets of their moves, or to no owner.

        A shard gets no owner if it was not being moved or its target is no longer a voter.
        """
        assignments = self.replica.assignments
        owners = []
        for shard, token in released:
            known = shard < self.replica.shards and self.replica.owns(member, shard)
            if known and assignments.tokens[shard] == token:
                target = assignments.revoking.get(shard, "")
                owners.append((shard, target if self.replica.is_voter(target) else ""))
        return self.append(now, Assign(tuple(owners), "moved")) if owners else []

    def move_shard(self, now: float, shard: int, target: str) -> Orders:
        """Starts an operator's move: the owner of a shard must release it for another member.

        Raises:
            ShardMoveError: This member is not the coordinator, the target is absent, or the shard
                has no owner or already belongs to the target.
        """
        log = self.replica.log
        if not log.holds_lease(now):
            coordinator = log.leader or "nobody at the moment"
            raise ShardMoveError(f"only the steward moves work: {coordinator}")
        present = target == self.self_id or self.grants.may_hold(target, now)
        if not self.replica.is_voter(target) or not present:
            raise ShardMoveError(f"target {target!r} is not a voting member with a valid lease")
        owner = self.replica.assignments.owners[shard]
        if not owner:
            raise ShardMoveError("the shard has no owner yet")
        if owner == target:
            raise ShardMoveError(f"{target} already owns the shard")
        return self.append(now, Revoke(((shard, target),)))

    def replace_token(self, now: float, shard: int) -> Orders:
        """Reassigns a shard of this member to itself, with a token above the rejected one."""
        return self.append(now, Assign(((shard, self.self_id),), OUTDATED_TOKEN_REASON))

    # Messages from members.

    def handle_renewal(self, now: float, renewal: RenewLease) -> Orders:
        """Extends a member's lease, and processes its released shards and outdated tokens."""
        log = self.replica.log
        member = renewal.sender
        if not log.is_leader or not self.replica.is_voter(member) or renewal.term != log.term:
            return []
        if not log.holds_lease(now):
            # The first renewals arrive before a majority has acknowledged the new leader; their
            # leases are granted once entries are committed.
            self.grants.record_early_renewal(now, renewal)
            return []
        highest_token = max((token for _, token in renewal.outdated_tokens), default=0)
        if term_of(highest_token) > log.term:
            # Executors would reject every token that this leader can issue in its current term.
            return self.handle_log_orders(now, log.observe_term(now, term_of(highest_token)))
        self.failed_members.discard(member)
        orders = self._record_incarnation(now, member, renewal.incarnation)
        orders += self._replace_outdated_tokens(now, renewal)
        orders += self._reassign_released(now, member, renewal.released)
        self.grants.record_renewal(now, renewal)
        self.stability.record_renewal(member, now)
        return orders + self._grant_lease(now, member)

    def _replace_outdated_tokens(self, now: float, renewal: RenewLease) -> Orders:
        """Reassigns the sender's outdated shards to the sender, with higher tokens.

        A shard is outdated if an executor has seen a token that the shard's does not exceed.
        """
        member = renewal.sender
        tokens = self.replica.assignments.tokens
        outdated = tuple(
            (shard, member)
            for shard, seen in renewal.outdated_tokens
            if shard < self.replica.shards
            and self.replica.owns(member, shard)
            and tokens[shard] <= seen
        )
        return self.append(now, Assign(outdated, OUTDATED_TOKEN_REASON)) if outdated else []

    def _record_incarnation(self, now: float, member: str, incarnation: int) -> Orders:
        """Raises the tokens of a member's shards if the member has restarted.

        Effects of its earlier incarnation may still be in flight under the current tokens.
        """
        self.grants.record_incarnation(member, incarnation)
        if self.replica.assignments.incarnations.get(member) == incarnation:
            return []
        return self.append(now, MemberRestarted(member, incarnation))

    def _grant_lease(self, now: float, member: str) -> Orders:
        lease = self.grants.grant(now, member, self.replica.log)
        return [SendMessage(member, lease)]

    def handle_checkpoint_report(self, now: float, report: CheckpointReport) -> Orders:
        """Appends a member's checkpoints to the log."""
        log = self.replica.log
        if not log.holds_lease(now) or report.term != log.term:
            return []
        items = acceptable_items(self.replica, report)
        return self.append(now, Checkpoint(items)) if items else []
