"""One owner at a time for each piece of work, as a machine free of I/O: messages and time in,
orders out.

The members keep a log agreed by majority: succession's own machine, with grants as its entries in
place of a manager's batches; its master is the steward, who deals slots of work out. Members renew
with the steward, once each a beat whatever they own, and may act until what it gave them ends, on
their own clocks. What the steward gives ends with its own lease at the latest, so that its
successor cannot have been voted for before; so a successor may deal at once what is lost. A steward
deals a slot anew only after all that it gave the slot's owner has ended on its own clock.
`docs/owner.md` has the promises; the model in `dunlinlug/fleet/ownership/model.py` visits the
states of this very class.
"""

from collections.abc import Callable, Iterable
from copy import copy
from math import inf

from dunlinlug.fleet.election import messages as log_words
from dunlinlug.fleet.election import protocol as succession
from dunlinlug.fleet.election.messages import NO_POSITION
from dunlinlug.fleet.ownership import assignment
from dunlinlug.fleet.ownership import log as books
from dunlinlug.fleet.ownership.log import AssignmentTable
from dunlinlug.fleet.ownership.messages import (
    SHARDS,
    CheckpointReport,
    LeaseGranted,
    LeaseHeld,
    OwnershipChanged,
    RenewLease,
    term_of,
    token_at,
)

# leases from the beginning of a steward's term in which others' renewals may still be on their way
RENEWAL_GRACE_LEASES = 0.5
OUTDATED_TOKEN_REASON = "a carrier had seen a number as high"
MAX_CHECKPOINTS_PER_MESSAGE = 64  # records in one message: a frame of some ten thousand bytes
Orders = list[object]  # of both machines' words


class OwnershipProtocol:
    """One member. `kept`, `lease` to `uniform` are the log's (see succession); `born` numbers this
    process's life.
    """

    def __init__(
        self,
        self_id: str,
        persisted: log_words.Persist,
        now: float,
        lease: float,
        heartbeat_interval: float,
        drift: float,
        recovery_timeout: float,
        random_uniform: Callable[[float, float], float],
        incarnation: int = 1,
        shards: int = SHARDS,
        log: type[succession.ElectionProtocol] = succession.ElectionProtocol,
    ) -> None:
        self.self_id = self_id
        self.incarnation = incarnation
        self.lease = lease
        self.heartbeat_interval = heartbeat_interval
        self.shards = shards
        self.log = log(
            self_id,
            persisted,
            now,
            lease,
            heartbeat_interval,
            drift,
            recovery_timeout,
            random_uniform,
        )
        self.recovery_timeout = recovery_timeout
        self.drift_factor = (1.0 - drift) / (
            1.0 + drift
        )  # seconds of ours that surely end within one of another's
        self.assignments = AssignmentTable(shards)
        self.lease_until = -inf
        self.lease_term = 0
        self.committed_position = NO_POSITION
        self.coordinator = ""
        self.previous_coordinator = ""
        self.next_renewal_at = now
        self.pending_lease: LeaseGranted | None = None
        self.released: dict[
            int, int
        ] = {}  # slots that we gave up, with the numbers under which they were ours
        self.outdated_tokens: dict[
            int, int
        ] = {}  # slots of which a carrier has seen a higher number than ours
        self.pending_checkpoints: dict[
            str, tuple[int, bytes]
        ] = {}  # records on their way into the log
        self.held_shards: frozenset[tuple[int, int]] = frozenset()
        # As steward: by member, until when what it was given may last; its latest renewal, by its
        # clock and by ours; and its life. Then when the next of these ends.
        self.granted_until: dict[str, float] = {}
        self.last_renewals: dict[str, tuple[float, float]] = {}
        self.incarnations: dict[str, int] = {}
        self.stability = assignment.StabilityTracker(lease)
        self.term_started_at = now
        self.failed_members = set[str]()
        self.next_review_at = inf

    def clone(self) -> "OwnershipProtocol":
        """An independent copy, for the search."""
        duplicate = copy(self)
        duplicate.log = self.log.clone()
        duplicate.assignments = self.assignments.clone()
        duplicate.stability = self.stability.clone()
        for name in (
            "released",
            "outdated_tokens",
            "pending_checkpoints",
            "granted_until",
            "last_renewals",
            "incarnations",
            "failed_members",
        ):
            setattr(duplicate, name, copy(getattr(self, name)))
        return duplicate

    # What is known.

    def held_token(self, now: float, shard: int) -> int | None:
        """The number under which we may act for a slot at this moment, or none. Asked again right
        before each effect leaves, also after the last wait.
        """
        token = self.assignments.tokens[shard]
        if (
            self.assignments.owners[shard] != self.self_id
            or self.released.get(shard) == token
            or self.outdated_tokens.get(shard, -1) >= token
        ):
            return None
        return (
            token
            if token <= token_at(self._committed_position()) and now < self._lease_deadline(now)
            else None
        )

    def _lease_deadline(self, now: float) -> float:
        """Until when we hold what is ours, on our clock."""
        if self.log.is_leader:
            return self.log.lease_end(now)
        return self.lease_until if self._follows_term(self.lease_term) else -inf

    def _committed_position(self) -> log_words.LogPosition:
        return self.log.committed if self.log.is_leader else self.committed_position

    def _follows_term(self, term: int) -> bool:
        """Danger: what we took of a former steward may never have been with a majority; once we
        have taken an entry of this one's, all before it is its line.
        """
        return self.log.term == term and self.log.position[0] == term

    def owner_of(self, task: str) -> tuple[str, int]:
        """As far as we know: who owns a piece, and the number of its grant."""
        shard = self.assignments.shard_of(task)
        return self.assignments.owners[shard], self.assignments.tokens[shard]

    def follows_log(self) -> bool:
        """Whether we follow a log at all; a carrier that does not yet refuses everything."""
        return self.log.position != NO_POSITION

    def next_deadline(self) -> float:
        if self.log.is_leader:
            return min(self.log.next_deadline(), self.next_renewal_at, self.next_review_at)
        return min(
            self.log.next_deadline(),
            self.next_renewal_at,
            self.lease_until if self.held_shards else inf,
        )

    # Time.

    def tick(self, now: float) -> Orders:
        orders = self._handle_log_orders(now, self.log.tick(now))
        if now >= self.next_renewal_at:
            orders += self._send_renewal(now)
        if now >= self.next_review_at:
            # Danger: left where it was while we may not order, we would be called without end
            self.next_review_at = inf
        if self.log.is_leader:
            orders += self._coordinate(now)
        return orders + self._update_held_shards(now)

    def _send_renewal(self, now: float) -> Orders:
        """One message for all that we own, and what of our records is not in the log yet."""
        self.next_renewal_at = now + self.heartbeat_interval
        if self.log.is_leader or not self.log.leader:
            return []
        released = tuple(sorted(self.released.items()))
        orders: Orders = [
            log_words.Send(
                self.log.leader,
                RenewLease(  # type: ignore[arg-type]
                    self.log.term,
                    self.self_id,
                    now,
                    self.incarnation,
                    tuple(sorted(self.outdated_tokens.items())),
                    released,
                ),
            )
        ]
        return orders + self._send_checkpoints(now)

    def _update_held_shards(self, now: float) -> Orders:
        """What is ours to act for, if that has changed."""
        for shard in [
            shard for shard, token in self.released.items() if self._no_longer_owned(shard, token)
        ]:
            del self.released[shard]
        for shard in [
            shard
            for shard, seen in self.outdated_tokens.items()
            if self._no_longer_owned(shard, seen)
        ]:
            del self.outdated_tokens[shard]
        held_shards = frozenset(
            (shard, token)
            for shard in self.assignments.shards_of(self.self_id)
            if (token := self.held_token(now, shard)) is not None
        )
        if held_shards == self.held_shards:
            return []
        self.held_shards = held_shards
        return [LeaseHeld(held_shards)]

    def _no_longer_owned(self, shard: int, token: int) -> bool:
        return (
            self.assignments.owners[shard] != self.self_id or self.assignments.tokens[shard] > token
        )

    # As steward.

    def _coordinate(self, now: float) -> Orders:
        """Deal what has lost its owner, and level. Nothing while our own lease is not there."""
        if not self.log.holds_lease(now) or self.log.committed[0] != self.log.term:
            return []
        orders = self._record_incarnation(now, self.self_id, self.incarnation)
        self.stability.record_renewal(self.self_id, now)
        present = {
            member
            for member in self.log.voter_set.members
            if member == self.self_id or self.granted_until.get(member, -inf) > now
        }
        departed = {
            owner
            for owner in set(self.assignments.owners)
            if owner not in present and self._leases_expired(now, owner)
        }
        for member in list(self.granted_until):
            if member not in present:
                self.stability.record_departure(member)
        lease_ends = [end for member, end in self.granted_until.items() if member in present]
        grace = (
            self.term_started_at + self.heartbeat_interval / 2,
            self.term_started_at + RENEWAL_GRACE_LEASES * self.lease,
        )
        self.next_review_at = min([end for end in (*lease_ends, *grace) if end > now], default=inf)
        eligible = {m for m in present if self.stability.is_stable(m, now)} or present
        if assignments := assignment.assign_orphans(self.assignments.owners, departed, eligible):
            reason = f"lost by {' and '.join(sorted(departed - {''})) or 'nobody'}"
            return orders + self._append(now, books.Assign(tuple(assignments), reason))
        stable = {member for member in eligible if self.stability.is_stable(member, now)}
        if transfers := assignment.rebalance(
            self.assignments.owners, self.assignments.revoking, stable, self.assignments.revoking
        ):
            orders += self._append(now, books.Revoke(tuple(transfers)))
        return orders + self._reassign_released(
            now,
            self.self_id,
            tuple((shard, self.assignments.tokens[shard]) for shard in self.released),
        )

    def _leases_expired(self, now: float, owner: str) -> bool:
        """Whether all that this owner was ever given has ended. What a former steward gave ended
        before we were voted for; who may be well is given time to renew with us before its work
        is dealt to others.
        """
        if owner in self.granted_until:
            return self.granted_until[owner] <= now
        # Danger: dealt before the others' renewals are here, which they send at our first beat, it
        # would go to few.
        known = owner in self.failed_members or (owner and owner not in self.log.voter_set.members)
        return now >= self.term_started_at + (
            self.heartbeat_interval / 2 if known else RENEWAL_GRACE_LEASES * self.lease
        )

    def _handle_renewal(self, now: float, renewal: RenewLease) -> Orders:
        if (
            not self.log.is_leader
            or renewal.sender not in self.log.voter_set.members
            or renewal.term != self.log.term
        ):
            return []
        if not self.log.holds_lease(
            now
        ):  # the first come before a majority has answered; they are granted with that
            self.incarnations.setdefault(renewal.sender, renewal.incarnation)
            if self.incarnations[renewal.sender] == renewal.incarnation:
                self.last_renewals[renewal.sender] = max(
                    self.last_renewals.get(renewal.sender, (-inf, now)), (renewal.sent_at, now)
                )
            return []
        highest_token = max((token for _, token in renewal.outdated_tokens), default=0)
        if (
            term_of(highest_token) > self.log.term
        ):  # Danger: numbers of ours would be refused for as long as we lead
            return self._handle_log_orders(now, self.log.observe_term(now, term_of(highest_token)))
        self.failed_members.discard(renewal.sender)
        orders = self._record_incarnation(now, renewal.sender, renewal.incarnation)
        reassigned = tuple(
            (shard, renewal.sender)
            for shard, token in renewal.outdated_tokens
            if shard < self.shards
            and self.assignments.owners[shard] == renewal.sender
            and self.assignments.tokens[shard] <= token
        )
        if reassigned:
            orders += self._append(now, books.Assign(reassigned, OUTDATED_TOKEN_REASON))
        orders += self._reassign_released(now, renewal.sender, renewal.released)
        self.last_renewals[renewal.sender] = max(
            self.last_renewals.get(renewal.sender, (-inf, now)), (renewal.sent_at, now)
        )
        self.stability.record_renewal(renewal.sender, now)
        return orders + self._grant_lease(now, renewal.sender)

    def _grant_lease(self, now: float, member: str) -> Orders:
        """Never beyond our own lease: who succeeds us counts on that."""
        duration, (sent_at, received_at) = self.log.lease_end(now) - now, self.last_renewals[member]
        # It counts from when it sent. Danger: counted from now, grants told again would keep a dead
        # one's work for it.
        self.granted_until[member] = max(
            self.granted_until.get(member, -inf), received_at + duration
        )
        lease = LeaseGranted(
            self.log.term,
            self.self_id,
            sent_at,
            duration,
            self.log.position,
            self.log.committed,
            self.incarnations[member],
        )
        return [log_words.Send(member, lease)]  # type: ignore[arg-type]

    def _record_incarnation(self, now: float, member: str, incarnation: int) -> Orders:
        """Danger: effects of its former life may still be on their way, under the numbers that it
        has.
        """
        if self.incarnations.get(member, incarnation) != incarnation:
            self.last_renewals.pop(member, None)  # its clock began anew as well
        self.incarnations[member] = incarnation
        if self.assignments.incarnations.get(member) == incarnation:
            return []
        return self._append(now, books.MemberRestarted(member, incarnation))

    def _reassign_released(
        self, now: float, member: str, released: Iterable[tuple[int, int]]
    ) -> Orders:
        """What its owner has given up goes to whom it was meant for, or back to the pool."""
        owners = [
            (shard, self.assignments.revoking.get(shard, ""))
            for shard, token in released
            if shard < self.shards
            and self.assignments.owners[shard] == member
            and self.assignments.tokens[shard] == token
        ]
        assignments = tuple(
            (shard, target if target in self.log.voter_set.members else "")
            for shard, target in owners
        )
        return self._append(now, books.Assign(assignments, "moved")) if assignments else []

    def _append(self, now: float, entry: books.AnyLogEntry) -> Orders:
        orders = self.log.append(now, books.encode_entry(entry))
        changes = self.assignments.apply(entry, self.log.position)
        return [*self._assignment_orders(changes), *self._handle_log_orders(now, orders)]

    def move_shard(self, now: float, shard: int, target: str) -> Orders:
        """An operator's word. Raises ValueError if it can't be."""
        if not self.log.holds_lease(now):
            raise ValueError(
                f"only the steward moves work: {self.log.leader or 'nobody at the moment'}"
            )
        if target not in self.log.voter_set.members or (
            target != self.self_id and self.granted_until.get(target, -inf) <= now
        ):
            raise ValueError(f"{target!r} is no member that is here")
        if not self.assignments.owners[shard]:
            raise ValueError("nobody owns it yet")
        if self.assignments.owners[shard] == target:
            raise ValueError(f"{target} owns it already")
        return self._append(now, books.Revoke(((shard, target),))) + self._update_held_shards(now)

    # The host's words.

    def store_checkpoint(self, now: float, task: str, body: bytes) -> Orders:
        """How far a piece has come, for whoever owns it next. Told until it is in the log. Raises
        ValueError.
        """
        shard = self.assignments.shard_of(task)
        token = self.held_token(now, shard)
        if token is None or len(body) > books.MAX_CHECKPOINT_BYTES:
            raise ValueError(
                f"{task} is not ours"
                if token is None
                else f"over {books.MAX_CHECKPOINT_BYTES} bytes"
            )
        self.pending_checkpoints.pop(task, None)
        self.pending_checkpoints[task] = (token, body)
        return self._send_checkpoints(now)

    def is_checkpointed(self, task: str) -> bool:
        """Whether a majority has our last record of it, as far as we were told."""
        return task not in self.pending_checkpoints

    def _send_checkpoints(self, now: float) -> Orders:
        """Danger: a record that was noted while the piece moved on would set its next owner back;
        the book refuses it by its number, and here it is dropped.
        """
        for task in [
            p
            for p, (token, body) in self.pending_checkpoints.items()
            if self._checkpoint_resolved(p, token, body)
        ]:
            del self.pending_checkpoints[task]
        items = tuple(
            (task, token, body)
            for task, (token, body) in list(self.pending_checkpoints.items())[
                :MAX_CHECKPOINTS_PER_MESSAGE
            ]
        )
        if not items:
            return []
        if self.log.is_leader:
            return self._append(now, books.Checkpoint(items)) if self.log.holds_lease(now) else []
        report = CheckpointReport(self.log.term, self.self_id, items)
        return [log_words.Send(self.log.leader, report)] if self.log.leader else []  # type: ignore[arg-type]

    def _checkpoint_resolved(self, task: str, token: int, body: bytes) -> bool:
        shard = self.assignments.shard_of(task)
        stored = self.assignments.checkpoints.get(task, (token, b""))
        return self.assignments.tokens[shard] != token or (
            stored == (token, body) and self.log.position <= self._committed_position()
        )

    def _handle_checkpoint_report(self, now: float, report: CheckpointReport) -> Orders:
        if not self.log.holds_lease(now) or report.term != self.log.term:
            return []
        items = tuple(
            (task, token, body)
            for task, token, body in report.items
            if self.assignments.owners[self.assignments.shard_of(task)] == report.sender
            and len(body) <= books.MAX_CHECKPOINT_BYTES
            and self.assignments.tokens[self.assignments.shard_of(task)] == token
            and self.assignments.checkpoints.get(task) != (token, body)
        )
        return self._append(now, books.Checkpoint(items)) if items else []

    def release(self, now: float, shards: Iterable[int]) -> Orders:
        """We have stopped acting for these, and never will again under the numbers that they have."""
        self.released.update(
            (shard, self.assignments.tokens[shard])
            for shard in shards
            if self.assignments.owners[shard] == self.self_id
        )
        self.next_renewal_at = now
        return self.tick(now)

    def revoked_shards(self) -> list[int]:
        """Shards of ours that we are asked to give up, and have not given up yet."""
        return [
            shard
            for shard in self.assignments.revoking
            if self.assignments.owners[shard] == self.self_id
            and self.released.get(shard) != self.assignments.tokens[shard]
        ]

    def token_rejected(self, now: float, shard: int, token: int) -> Orders:
        """A carrier goes by this number, which ours does not exceed, or is another's: we stop at
        once.
        """
        if token < self.assignments.tokens[shard] or self.assignments.owners[shard] != self.self_id:
            return []
        self.outdated_tokens[shard] = max(self.outdated_tokens.get(shard, 0), token)
        self.next_renewal_at = now
        if self.log.is_leader and term_of(token) > self.log.term:
            return self._handle_log_orders(
                now, self.log.observe_term(now, term_of(token))
            ) + self._update_held_shards(now)
        if self.log.is_leader and self.log.holds_lease(now):
            del self.outdated_tokens[shard]
            return self._append(
                now, books.Assign(((shard, self.self_id),), OUTDATED_TOKEN_REASON)
            ) + self._update_held_shards(now)
        return self.tick(now)

    def member_status_changed(
        self, now: float, member: str, failed: bool, live_members: set[str]
    ) -> Orders:
        """The membership's detector has another view of a member; leases still end by themselves."""
        (self.failed_members.add if failed else self.failed_members.discard)(member)
        if failed:
            self.log.leader_suspected(now, member, live_members)
        return self.tick(now)

    # Messages.

    def receive(self, now: float, message: object) -> Orders:
        match message:
            case RenewLease():
                orders = self._handle_renewal(now, message)
            case LeaseGranted():
                orders = self._handle_lease(message)
            case CheckpointReport():
                orders = self._handle_checkpoint_report(now, message)
            case _:
                orders = self._handle_log_orders(now, self.log.receive(now, message))  # type: ignore[arg-type]
        self._activate_lease()
        if (
            self.log.leader != self.coordinator
        ):  # another steward: it is told at once that we are here
            self.previous_coordinator = self.coordinator or self.previous_coordinator
            self.coordinator = self.log.leader
            self.next_renewal_at = now
        return orders + self._update_held_shards(now)

    def _handle_lease(self, lease: LeaseGranted) -> Orders:
        # Danger: an answer to our former life, whose clock was another.
        if (
            lease.term != self.log.term
            or lease.sender != self.log.leader
            or lease.incarnation != self.incarnation
        ):
            return []
        self.pending_lease = lease
        return []

    def _activate_lease(self) -> None:
        """What we were given counts once we have the log that it was given by. Danger: back from a
        cut, we would hold by an old book what was dealt to another meanwhile.
        """
        lease = self.pending_lease
        if lease is None or not self._follows_term(lease.term) or not self._log_covers(lease):
            return
        self.pending_lease = None
        if lease.term != self.lease_term:
            self.lease_term = lease.term
            self.lease_until = -inf
            self.committed_position = NO_POSITION
        # Counted from when we asked, not from when the answer came, and shortened as clocks may
        # differ.
        self.lease_until = max(self.lease_until, lease.sent_at + lease.duration * self.drift_factor)
        self.committed_position = max(self.committed_position, lease.committed)

    def _log_covers(self, lease: LeaseGranted) -> bool:
        return self.log.position >= lease.log_position

    def _handle_log_orders(self, now: float, orders: Iterable[log_words.Order]) -> Orders:
        """The log's orders: entries to our book, the rest to the host."""
        remaining: Orders = []
        for order in orders:
            match order:
                case log_words.ApplyEntry() | log_words.RestoreSnapshot():
                    try:
                        remaining += self._apply_order(order)
                    except books.LogFormatError:
                        self.log.discard_log(now, self.recovery_timeout)
                        # Danger: the answer that comes next would say that we have it
                        return remaining
                case log_words.SnapshotNeeded(recipient):
                    remaining += self.log.send_snapshot(now, recipient, self.assignments.snapshot())
                case log_words.BecomeLeader():
                    self.granted_until = {}
                    self.last_renewals = {}
                    self.incarnations = {}
                    self.stability = assignment.StabilityTracker(self.lease)
                    self.term_started_at = now
                    self.next_renewal_at = now
                    # Who led before us has been silent to a majority for a lease: no grace for what
                    # it owns.
                    self.failed_members |= {
                        name
                        for name in (self.coordinator or self.previous_coordinator,)
                        if name not in ("", self.self_id)
                    }
                    remaining += [order, *self._append(now, books.TermStarted())]
                case log_words.Committed():
                    # At once, so that a new owner need not wait for its next renewal.
                    if self.log.holds_lease(now):
                        for member in [
                            member
                            for member in self.last_renewals
                            if member in self.log.voter_set.members
                        ]:
                            remaining += self._record_incarnation(
                                now, member, self.incarnations[member]
                            ) + self._grant_lease(now, member)
                case _:
                    remaining.append(order)
        return remaining

    def _apply_order(self, order: log_words.ApplyEntry | log_words.RestoreSnapshot) -> Orders:
        if isinstance(order, log_words.ApplyEntry):
            return self._assignment_orders(
                self.assignments.apply(books.decode_entry(order.entry), order.position)
            )
        previous = self.assignments
        self.assignments = books.decode_snapshot(order.body, self.shards)
        owners = self.assignments.owners
        numbers = self.assignments.tokens
        return self._assignment_orders(
            books.AssignmentChange(shard, owners[shard], numbers[shard], "as the steward has it")
            for shard in range(self.shards)
            if numbers[shard] != previous.tokens[shard]
        )

    @staticmethod
    def _assignment_orders(changes: Iterable[books.AssignmentChange]) -> Orders:
        return [
            OwnershipChanged(
                change.shard,
                change.owner,
                change.token,
                change.reason + f" to {change.target}" * bool(change.target),
            )
            for change in changes
        ]
