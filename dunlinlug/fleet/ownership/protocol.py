"""The ownership protocol: gives each shard of work at most one owner at a time.

A state machine free of I/O, with times and messages as input and orders as output. The members
replicate a log with the election protocol. The log's leader is the coordinator, which assigns
shards by log entries and grants leases. Each member renews one lease for all its shards once per
heartbeat interval, and may act until the lease expires on the member's own clock.

`docs/ownership.md` describes the guarantees. The model in `dunlinlug/fleet/ownership/model.py`
checks this class itself.
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
    HeldShardsChanged,
    LeaseGranted,
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
    """One member's state machine, which passes events to the parts of the protocol.

    Times are seconds on the member's clock. Subclasses can replace the classes of some parts, so
    that tests can show which faults a missing rule causes.
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
        self.held_shards: frozenset[ShardToken] = frozenset()  # as last reported to the service

    def clone(self) -> "OwnershipProtocol":
        """Returns an independent copy, for model checking."""
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
        """The protocol of the replicated log; the log's leader is the coordinator."""
        return self.replica.log

    @property
    def assignments(self) -> AssignmentTable:
        """The assignment table of the log entries that this member has."""
        return self.replica.assignments

    # Queries.

    def held_token(self, now: float, shard: int) -> int | None:
        """Returns the token under which this member may act for a shard now; None if it may not.

        Callers must check again right before they send each effect, with no wait in between.
        """
        token = self.assigned_token(shard)
        if token is None or token > self.lease.highest_token(now):
            return None
        return token

    def assigned_token(self, shard: int) -> int | None:
        """Returns the token of a shard that this member owns by its log; None if it does not.

        The token alone permits no effect: the lease may have expired, and another may own the
        shard by a log entry that this member lacks.
        """
        token = self.assignments.tokens[shard]
        if not self.replica.owns(self.self_id, shard) or not self.releases.allows(shard, token):
            return None
        return token

    def owner_of(self, task: str) -> tuple[str, int]:
        """Returns the last known owner of a task, and the token of its shard."""
        shard = self.assignments.shard_of(task)
        return self.assignments.owners[shard], self.assignments.tokens[shard]

    def revoked_shards(self) -> list[int]:
        """Returns this member's shards that it was asked to release and has not released yet."""
        return self.releases.revoked_shards()

    def follows_log(self) -> bool:
        """Returns whether this member has a log; an executor without one rejects all effects."""
        return self.log.position != NO_POSITION

    def is_checkpointed(self, task: str) -> bool:
        """Returns whether this member's last checkpoint of a task is known to be on a majority."""
        return not self.checkpoints.contains(task)

    def next_deadline(self) -> float:
        """Returns when `tick` is due."""
        deadline = min(self.log.next_deadline(), self.renewals.next_at)
        if self.log.is_leader:
            return min(deadline, self.coordinator.next_review_at)
        return min(deadline, self.lease.until) if self.held_shards else deadline

    # Timers.

    def tick(self, now: float) -> Orders:
        """Acts on all timers that are due."""
        orders = self.coordinator.handle_log_orders(now, self.log.tick(now))
        if now >= self.renewals.next_at:
            orders += self._send_renewal(now)
        orders += self.coordinator.review(now)
        return orders + self._update_held_shards(now)

    def _send_renewal(self, now: float) -> Orders:
        """Renews the lease on all shards with one message, and reports pending checkpoints."""
        self.renewals.schedule_next(now)
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
        """Reports to the service which shards this member may act for, if that has changed."""
        self.releases.forget_reassigned()
        held_shards = self._find_held_shards(now)
        if held_shards == self.held_shards:
            return []
        self.held_shards = held_shards
        return [HeldShardsChanged(held_shards)]

    def _find_held_shards(self, now: float) -> frozenset[ShardToken]:
        """Returns all shards for which `held_token` returns a token, with their tokens."""
        highest_token = self.lease.highest_token(now)
        tokens = self.assignments.tokens
        return frozenset(
            (shard, tokens[shard])
            for shard in self.assignments.shards_of(self.self_id)
            if tokens[shard] <= highest_token and self.releases.allows(shard, tokens[shard])
        )

    # Calls from the service.

    def move_shard(self, now: float, shard: int, target: str) -> Orders:
        """Moves a shard to another member on an operator's request.

        Raises:
            ShardMoveError: This member is not the coordinator, the target is absent, or the shard
                has no owner or already belongs to the target.
        """
        orders = self.coordinator.move_shard(now, shard, target)
        return orders + self._update_held_shards(now)

    def store_checkpoint(self, now: float, task: str, body: bytes) -> Orders:
        """Reports a task's progress for its next owner until it is committed in the log.

        Raises:
            CheckpointError: This member does not hold the task's shard, or the body is too large.
        """
        token = self.held_token(now, self.assignments.shard_of(task))
        if token is None:
            raise CheckpointError(f"this member does not hold the shard of task {task}")
        if len(body) > messages.MAX_CHECKPOINT_BYTES:
            raise CheckpointError(f"checkpoint exceeds {messages.MAX_CHECKPOINT_BYTES} bytes")
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
        """Releases shards; this member never acts for them again under their current tokens."""
        self.releases.release(shards)
        self.renewals.schedule_now(now)
        return self.tick(now)

    def token_rejected(self, now: float, shard: int, token: int) -> Orders:
        """Handles an executor's rejection: stops acting for the shard and requests a higher token.

        `token` is the token that the executor requires an owner to exceed. It can equal this
        member's own token if another owner was granted the same number.
        """
        if token < self.assignments.tokens[shard] or not self.replica.owns(self.self_id, shard):
            return []
        self.releases.record_outdated(shard, token)
        self.renewals.schedule_now(now)
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
        """Handles a changed status from the failure detector; leases still expire on their own."""
        if failed:
            self.coordinator.failed_members.add(member)
            self.log.leader_suspected(now, member, live_members)
        else:
            self.coordinator.failed_members.discard(member)
        return self.tick(now)

    # Messages.

    def receive(self, now: float, message: LeaseMessage | log_messages.Message) -> Orders:
        """Handles a message of the ownership protocol or of the log's protocol."""
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
