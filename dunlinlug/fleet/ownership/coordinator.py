"""The coordinator of ownership: the leader of the log, which assigns shards and grants leases.

It grants each member what is left of its own lease as the leader, never more. So when a successor
can be voted for, all that was granted has ended, and the successor may assign at once what the dead
coordinator owned. It assigns a shard anew only after all that it granted to the shard's owner has
ended on its own clock (leases: C. Gray and D. Cheriton, 1989).
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

# Leases from the beginning of a term in which renewals of others may still be on their way.
RENEWAL_GRACE_LEASES = 0.5
# Heartbeat intervals of grace for owners that are known to have failed.
FAILED_GRACE_HEARTBEATS = 0.5
OUTDATED_TOKEN_REASON = "a carrier had seen a number as high"


class LeaseCoordinator(LogDriver):
    """What a member knows and does as the coordinator; only the log's leader calls most of it.

    Times are seconds on our clock.
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
        self.failed_members = set[str]()  # by the membership's failure detector
        self.term_started_at = now
        self.next_review_at = inf  # when the next lease or grace period ends

    def clone(
        self, replica: ShardReplica, releases: ShardReleases, renewals: RenewalSchedule
    ) -> "LeaseCoordinator":
        """An independent copy, over copies of the parts that it uses."""
        duplicate = copy(self)
        duplicate.replica = replica
        duplicate.releases = releases
        duplicate.renewals = renewals
        duplicate.grants = self.grants.clone()
        duplicate.stability = self.stability.clone()
        duplicate.failed_members = self.failed_members.copy()
        return duplicate

    def _begin_term(self, now: float) -> Orders:
        """We lead the log from now on; what others granted has ended."""
        self.grants = GrantedLeases()
        self.stability = assignment.StabilityTracker(self.lease)
        self.term_started_at = now
        self.renewals.request(now)
        # Who led before us has been silent to a majority for a lease: no grace for what it owns.
        predecessor = self.renewals.last_coordinator()
        if predecessor not in ("", self.self_id):
            self.failed_members.add(predecessor)
        return self.append(now, TermStarted())

    def _entries_committed(self, now: float) -> Orders:
        """Extend all leases at once, so that a new owner need not wait for its next renewal."""
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
        """Assign what has lost its owner, or rebalance; nothing while we may not decide."""
        if now >= self.next_review_at:
            # Without this we would be called without end while we hold no lease.
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
        # In the order in which we released them.
        tokens = self.replica.assignments.tokens
        released = [(shard, tokens[shard]) for shard in self.releases.released]
        return orders + self._reassign_released(now, self.self_id, released)

    def _present_members(self, now: float) -> set[str]:
        """Who may hold a lease of ours; we are present as long as we lead."""
        return {
            member
            for member in self.replica.log.voter_set.members
            if member == self.self_id or self.grants.may_hold(member, now)
        }

    def _departed_owners(self, now: float, present: set[str]) -> set[str]:
        """Owners all of whose leases have ended; the empty name, of unowned shards, is one."""
        owners = set(self.replica.assignments.owners) - present
        return {owner for owner in owners if self._leases_expired(now, owner)}

    def _leases_expired(self, now: float, owner: str) -> bool:
        """Whether all that this owner was ever granted has ended, and it is not about to renew.

        What a former coordinator granted ended before we were voted for. Assigned before the
        others' renewals are here, which they send at our first heartbeat, shards would go to few.
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
        """When the next lease or grace period ends; infinite if none is to end."""
        ends = [end for member, end in self.grants.granted_until.items() if member in present]
        ends += [self._failed_grace_end(), self._renewal_grace_end()]
        return min((end for end in ends if end > now), default=inf)

    def _reassign_released(self, now: float, member: str, released: Iterable[ShardToken]) -> Orders:
        """What its owner has released goes to whom it was meant for, or back to the pool."""
        assignments = self.replica.assignments
        owners = []
        for shard, token in released:
            known = shard < self.replica.shards and self.replica.owns(member, shard)
            if known and assignments.tokens[shard] == token:
                target = assignments.revoking.get(shard, "")
                owners.append((shard, target if self.replica.is_voter(target) else ""))
        return self.append(now, Assign(tuple(owners), "moved")) if owners else []

    def move_shard(self, now: float, shard: int, target: str) -> Orders:
        """Ask the owner of a shard to release it for another member, as an operator wishes.

        Raises:
            ShardMoveError: We do not decide, the target is absent, or there is nothing to move.
        """
        log = self.replica.log
        if not log.holds_lease(now):
            coordinator = log.leader or "nobody at the moment"
            raise ShardMoveError(f"only the steward moves work: {coordinator}")
        present = target == self.self_id or self.grants.may_hold(target, now)
        if not self.replica.is_voter(target) or not present:
            raise ShardMoveError(f"{target!r} is no member that is here")
        owner = self.replica.assignments.owners[shard]
        if not owner:
            raise ShardMoveError("nobody owns it yet")
        if owner == target:
            raise ShardMoveError(f"{target} owns it already")
        return self.append(now, Revoke(((shard, target),)))

    def replace_token(self, now: float, shard: int) -> Orders:
        """Assign a shard of ours to us again, so that its token is above one that was rejected."""
        return self.append(now, Assign(((shard, self.self_id),), OUTDATED_TOKEN_REASON))

    # Members' messages.

    def handle_renewal(self, now: float, renewal: RenewLease) -> Orders:
        """Extend a member's lease, and settle what it has released or learned of its tokens."""
        log = self.replica.log
        member = renewal.sender
        if not log.is_leader or not self.replica.is_voter(member) or renewal.term != log.term:
            return []
        if not log.holds_lease(now):
            # The first come before a majority has answered; they are granted with that.
            self.grants.record_early_renewal(now, renewal)
            return []
        highest_token = max((token for _, token in renewal.outdated_tokens), default=0)
        if term_of(highest_token) > log.term:
            # Tokens of ours would be rejected for as long as we led in this term.
            return self.handle_log_orders(now, log.observe_term(now, term_of(highest_token)))
        self.failed_members.discard(member)
        orders = self._record_incarnation(now, member, renewal.incarnation)
        orders += self._replace_outdated_tokens(now, renewal)
        orders += self._reassign_released(now, member, renewal.released)
        self.grants.record_renewal(now, renewal)
        self.stability.record_renewal(member, now)
        return orders + self._grant_lease(now, member)

    def _replace_outdated_tokens(self, now: float, renewal: RenewLease) -> Orders:
        """Assign to the sender again what executors have seen higher tokens of."""
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
        """Give a member that has restarted new tokens.

        Effects of its earlier incarnation may still be on their way, under the tokens it has.
        """
        self.grants.record_incarnation(member, incarnation)
        if self.replica.assignments.incarnations.get(member) == incarnation:
            return []
        return self.append(now, MemberRestarted(member, incarnation))

    def _grant_lease(self, now: float, member: str) -> Orders:
        lease = self.grants.grant(now, member, self.replica.log)
        return [SendMessage(member, lease)]

    def handle_checkpoint_report(self, now: float, report: CheckpointReport) -> Orders:
        """Log how far tasks of a member have come."""
        log = self.replica.log
        if not log.holds_lease(now) or report.term != log.term:
            return []
        items = acceptable_items(self.replica, report)
        return self.append(now, Checkpoint(items)) if items else []
