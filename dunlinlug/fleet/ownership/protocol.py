"""One owner at a time for each shard of work: messages and time in, orders out; free of I/O.

The members replicate a log with the election's protocol; its leader is the coordinator, which
assigns shards by entries of the log and grants leases. Members renew with the coordinator once a
heartbeat, whatever they own, and may act until what it granted ends on their own clocks.
`docs/ownership.md` has the promises; the model in `dunlinlug/fleet/ownership/model.py` visits the
states of this very class.
"""

from collections.abc import Callable, Iterable
from copy import copy
from typing import ClassVar

from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.election.messages import NO_POSITION
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.ownership import messages
from dunlinlug.fleet.ownership.checkpoints import PendingCheckpoints
from dunlinlug.fleet.ownership.coordinator import LeaseCoordinator
from dunlinlug.fleet.ownership.errors import CheckpointError
from dunlinlug.fleet.ownership.lease import HeldLease, RenewalSchedule
from dunlinlug.fleet.ownership.log import AssignmentTable, Checkpoint
from dunlinlug.fleet.ownership.messages import (
    CheckpointReport,
    LeaseGranted,
    LeaseHeld,
    LeaseMessage,
    RenewLease,
    SendMessage,
    ShardToken,
    term_of,
)
from dunlinlug.fleet.ownership.options import OwnershipOptions
from dunlinlug.fleet.ownership.release import ShardReleases
from dunlinlug.fleet.ownership.replica import Orders, ShardReplica


class OwnershipProtocol:
    """One member: the parts of the protocol, and what comes to them.

    Times are seconds on the member's clock. The classes of the parts can be replaced, so that tests
    show what happens without one of their rules.
    """

    coordinator_class: ClassVar[type[LeaseCoordinator]] = LeaseCoordinator
    lease_class: ClassVar[type[HeldLease]] = HeldLease

    def __init__(
        self,
        self_id: str,
        persisted: log_messages.Persist,
        now: float,
        options: OwnershipOptions,
        random_uniform: Callable[[float, float], float],
    ) -> None:
        timing = options.timing
        self.self_id = self_id
        self.shards = options.shards
        self.heartbeat_interval = timing.heartbeat_interval
        log = ElectionProtocol(
            self_id,
            persisted,
            now,
            timing.lease,
            timing.heartbeat_interval,
            timing.drift,
            timing.recovery_timeout,
            random_uniform,
        )
        self.replica = ShardReplica(log, options.shards)
        self.lease = self.lease_class(self.replica, options.incarnation, timing.drift)
        self.renewals = RenewalSchedule(now, timing.heartbeat_interval)
        self.releases = ShardReleases(self_id, self.replica)
        self.checkpoints = PendingCheckpoints(self.replica, self.lease)
        self.coordinator = self.coordinator_class(
            self.replica, self.releases, self.renewals, options, now
        )
        self.held_shards: frozenset[ShardToken] = frozenset()  # as the service knows it

    def clone(self) -> "OwnershipProtocol":
        """An independent copy, for the search of a model."""
        duplicate = copy(self)
        duplicate.replica = self.replica.clone()
        duplicate.lease = self.lease.clone(duplicate.replica)
        duplicate.renewals = self.renewals.clone()
        duplicate.releases = self.releases.clone(duplicate.replica)
        duplicate.checkpoints = self.checkpoints.clone(duplicate.replica, duplicate.lease)
        duplicate.coordinator = self.coordinator.clone(
            duplicate.replica, duplicate.releases, duplicate.renewals
        )
        return duplicate

    @property
    def log(self) -> ElectionProtocol:
        """The protocol of the replicated log, whose leader is the coordinator."""
        return self.replica.log

    @property
    def assignments(self) -> AssignmentTable:
        """Who owns which shard, as far as we have the log."""
        return self.replica.assignments

    # What is known.

    def held_token(self, now: float, shard: int) -> int | None:
        """The token under which we may act for a shard at this moment; None if we may not.

        To be asked again right before each effect leaves, also after the last wait.
        """
        token = self.assignments.tokens[shard]
        if not self.replica.owns(self.self_id, shard) or not self.releases.allows(shard, token):
            return None
        return token if token <= self.lease.highest_token(now) else None

    def owner_of(self, task: str) -> tuple[str, int]:
        """The owner of a task as far as we know, and the token of its shard."""
        shard = self.assignments.shard_of(task)
        return self.assignments.owners[shard], self.assignments.tokens[shard]

    def revoked_shards(self) -> list[int]:
        """Shards of ours that we are asked to release, and have not released yet."""
        return self.releases.revoked_shards()

    def follows_log(self) -> bool:
        """Whether we follow a log at all; an executor that does not yet rejects everything."""
        return self.log.position != NO_POSITION

    def is_checkpointed(self, task: str) -> bool:
        """Whether a majority has our last checkpoint of a task, as far as we know."""
        return not self.checkpoints.contains(task)

    def next_deadline(self) -> float:
        """When `tick` is due."""
        deadline = min(self.log.next_deadline(), self.renewals.next_at)
        if self.log.is_leader:
            return min(deadline, self.coordinator.next_review_at)
        return min(deadline, self.lease.until) if self.held_shards else deadline

    # Time.

    def tick(self, now: float) -> Orders:
        """Act on all timers that are due."""
        orders = self.coordinator.handle_log_orders(now, self.log.tick(now))
        if now >= self.renewals.next_at:
            orders += self._send_renewal(now)
        orders += self.coordinator.review(now)
        return orders + self._update_held_shards(now)

    def _send_renewal(self, now: float) -> Orders:
        """One message for all that we own, and the checkpoints that are not in the log yet."""
        self.renewals.renewed(now)
        if self.log.is_leader or not self.log.leader:
            return []
        renewal = RenewLease(
            self.log.term,
            self.self_id,
            now,
            self.lease.incarnation,
            self.releases.outdated(),
            self.releases.released_tokens(),
        )
        return [SendMessage(self.log.leader, renewal), *self._send_checkpoints(now)]

    def _update_held_shards(self, now: float) -> Orders:
        """Tell the service which shards are ours to act for, if that has changed."""
        self.releases.forget_reassigned()
        held_shards = self._find_held_shards(now)
        if held_shards == self.held_shards:
            return []
        self.held_shards = held_shards
        return [LeaseHeld(held_shards)]

    def _find_held_shards(self, now: float) -> frozenset[ShardToken]:
        """All shards that `held_token` has a token for, with their tokens."""
        highest_token = self.lease.highest_token(now)
        tokens = self.assignments.tokens
        return frozenset(
            (shard, tokens[shard])
            for shard in self.assignments.shards_of(self.self_id)
            if tokens[shard] <= highest_token and self.releases.allows(shard, tokens[shard])
        )

    # Calls of the service.

    def move_shard(self, now: float, shard: int, target: str) -> Orders:
        """Move a shard to another member, as an operator wishes.

        Raises:
            ShardMoveError: We do not decide, the target is absent, or there is nothing to move.
        """
        orders = self.coordinator.move_shard(now, shard, target)
        return orders + self._update_held_shards(now)

    def store_checkpoint(self, now: float, task: str, body: bytes) -> Orders:
        """Report how far a task has come, for its next owner, until that is in the log.

        Raises:
            CheckpointError: The task is not ours, or the body is too large.
        """
        token = self.held_token(now, self.assignments.shard_of(task))
        if token is None:
            raise CheckpointError(f"{task} is not ours")
        if len(body) > messages.MAX_CHECKPOINT_BYTES:
            raise CheckpointError(f"over {messages.MAX_CHECKPOINT_BYTES} bytes")
        self.checkpoints.add(task, token, body)
        return self._send_checkpoints(now)

    def _send_checkpoints(self, now: float) -> Orders:
        items = self.checkpoints.next_report()
        if not items:
            return []
        if self.log.is_leader:
            holds_lease = self.log.holds_lease(now)
            return self.coordinator.append(now, Checkpoint(items)) if holds_lease else []
        if not self.log.leader:
            return []
        return [SendMessage(self.log.leader, CheckpointReport(self.log.term, self.self_id, items))]

    def release(self, now: float, shards: Iterable[int]) -> Orders:
        """We have stopped acting for these, and never will again under the tokens they have."""
        self.releases.release(shards)
        self.renewals.request(now)
        return self.tick(now)

    def token_rejected(self, now: float, shard: int, token: int) -> Orders:
        """Stop at once: an executor goes by this token, which ours does not exceed.

        It may also be ours by number and another owner's. We ask for a higher one.
        """
        if token < self.assignments.tokens[shard] or not self.replica.owns(self.self_id, shard):
            return []
        self.releases.record_outdated(shard, token)
        self.renewals.request(now)
        term = term_of(token)
        if self.log.is_leader and term > self.log.term:
            orders = self.coordinator.handle_log_orders(now, self.log.observe_term(now, term))
            return orders + self._update_held_shards(now)
        if self.log.is_leader and self.log.holds_lease(now):
            del self.releases.outdated_tokens[shard]
            orders = self.coordinator.replace_token(now, shard)
            return orders + self._update_held_shards(now)
        return self.tick(now)

    def member_status_changed(
        self, now: float, member: str, failed: bool, live_members: set[str]
    ) -> Orders:
        """The membership's failure detector has another view; leases still end by themselves."""
        if failed:
            self.coordinator.failed_members.add(member)
            self.log.leader_suspected(now, member, live_members)
        else:
            self.coordinator.failed_members.discard(member)
        return self.tick(now)

    # Messages.

    def receive(self, now: float, message: LeaseMessage | log_messages.Message) -> Orders:
        """A message of ownership, or of the log's protocol."""
        orders = self._handle_message(now, message)
        self.lease.activate()
        self.renewals.follow(self.log.leader, now)
        return orders + self._update_held_shards(now)

    def _handle_message(self, now: float, message: LeaseMessage | log_messages.Message) -> Orders:
        match message:
            case RenewLease():
                return self.coordinator.handle_renewal(now, message)
            case LeaseGranted():
                self.lease.receive(message)
                return []
            case CheckpointReport():
                return self.coordinator.handle_checkpoint_report(now, message)
        log_orders = self.log.receive(now, message)
        return self.coordinator.handle_log_orders(now, log_orders)
