"""Replication of the leader's log to the other members, after Raft (Ongaro and Ousterhout, 2014).

The leader sends each entry when it is appended, and empty messages as heartbeats; an entry is
committed once a majority has it. Unlike in Raft, the leader keeps only its latest entries and sends
a snapshot to a member that lags by more or whose log does not match.
"""

from dunlinlug.fleet.election.leases import NEVER, quorum_value
from dunlinlug.fleet.election.member_state import MemberState
from dunlinlug.fleet.election.messages import (
    NO_POSITION,
    AppendEntries,
    AppendResponse,
    ApplyEntry,
    Committed,
    LogPosition,
    Order,
    RestoreSnapshot,
    Send,
    Snapshot,
    SnapshotNeeded,
)


class Replication(MemberState):
    """A member that replicates its log as leader, and otherwise follows the leader's log."""

    # As leader.

    def append(self, now: float, entry: bytes) -> list[Order]:
        """Appends an entry and sends it to matching members; effects must wait for `Committed`."""
        assert self.is_leader
        previous_position = self.position
        self.position = (self.term, self.position[1] + 1)
        self.recent_entries.append((self.position, entry))
        message = AppendEntries(
            self.term, self.self_id, now, self.voter_set, previous_position, (entry,)
        )
        orders: list[Order] = [
            Send(member, message)
            for member in self._other_voters()
            if member in self.match_positions
        ]
        return orders + self._advance_commit()

    def send_snapshot(self, now: float, recipient: str, body: bytes) -> list[Order]:
        """Sends a member the state that the service serialized at our position."""
        if not self.is_leader:
            return []
        message = Snapshot(self.term, self.self_id, now, self.voter_set, self.position, body)
        return [Send(recipient, message)]

    def is_caught_up(self, member: str) -> bool:
        """Whether a member has acknowledged our whole log."""
        return self.match_positions.get(member) == self.position

    def replication_lag(self) -> dict[str, int | None]:
        """As leader: entries that each other member lacks; None if it needs a snapshot."""
        lag: dict[str, int | None] = {}
        for member in self._other_voters():
            match_position = self.match_positions.get(member)
            lag[member] = None if match_position is None else self.position[1] - match_position[1]
        return lag

    def _send_heartbeats(self, now: float) -> list[Order]:
        self.next_heartbeat_at = now + self.heartbeat_interval
        return [
            Send(member, self._append_entries_for(member, now)) for member in self._other_voters()
        ]

    def _append_entries_for(self, member: str, now: float) -> AppendEntries:
        """Returns the entries a member lacks; none if unknown or no longer all available."""
        previous_position = self.position
        entries: tuple[bytes, ...] = ()
        match_position = self.match_positions.get(member)
        if match_position is not None:
            missing = tuple(
                entry for position, entry in self.recent_entries if position > match_position
            )
            if len(missing) == self.position[1] - match_position[1]:
                previous_position = match_position
                entries = missing
        return AppendEntries(
            self.term, self.self_id, now, self.voter_set, previous_position, entries
        )

    def _advance_commit(self) -> list[Order]:
        """Commits the last entry that a majority has, if it is of our term."""
        positions = (
            self.position
            if member == self.self_id
            else self.match_positions.get(member, NO_POSITION)
            for member in self.voter_set.members
        )
        quorum_position = quorum_value(positions, self.voter_set.quorum())
        if not self._in_current_term(quorum_position) or quorum_position <= self.committed:
            return []
        self.committed = quorum_position
        return [Committed(quorum_position)]

    def _handle_append_response(self, now: float, response: AppendResponse) -> list[Order]:
        if response.term > self.term:
            return self._adopt_term(now, response.term)
        if response.term < self.term or not self.is_leader:
            return []
        member = response.sender
        acknowledged_at = self.acknowledged_at.get(member, response.sent_at)
        self.acknowledged_at[member] = max(acknowledged_at, response.sent_at)
        if response.accepted:
            return self._advance_follower(now, member, response.position)
        self.match_positions.pop(member, None)
        if now < self.snapshots_sent_at.get(member, NEVER) + self.heartbeat_interval:
            return []
        self.snapshots_sent_at[member] = now
        return [SnapshotNeeded(member)]

    def _advance_follower(self, now: float, member: str, position: LogPosition) -> list[Order]:
        """Records a follower's position; sends it missing entries if its log newly matches."""
        newly_matching = member not in self.match_positions
        match_position = self.match_positions.get(member, NO_POSITION)
        self.match_positions[member] = max(match_position, position)
        orders: list[Order] = []
        if newly_matching:
            orders.append(Send(member, self._append_entries_for(member, now)))
        return orders + self._advance_commit()

    # As follower.

    def discard_log(self, now: float, recovery_timeout: float) -> None:
        """Discards our log, because the service could not apply what the leader sent.

        Otherwise our log position would count in votes although we lack the state that belongs to
        it. For `recovery_timeout` seconds we are recovering, like a member that has just started.
        """
        self.position = NO_POSITION
        self.recovering_until = now + recovery_timeout
        self.missing_entries = None

    def _handle_leader_message(self, now: float, message: AppendEntries | Snapshot) -> list[Order]:
        from_other_leader = message.term == self.term and self.is_leader
        if message.term < self.term or from_other_leader:
            return [self._response_to(message, accepted=False)]
        orders: list[Order] = []
        if message.term > self.term:
            orders += self._adopt_term(now, message.term)
        self._follow(now, message.sender)
        if message.voter_set.version > self.voter_set.version:
            self.voter_set = message.voter_set
            orders.append(self._persist())
        accepted = True
        if isinstance(message, Snapshot):
            orders += self._install_snapshot(message)
        else:
            accepted = self._accept_entries(message, orders)
            last_index = message.previous_position[1] + len(message.entries)
            self.missing_entries = max(last_index - self.position[1], 0) if accepted else None
        return [*orders, self._response_to(message, accepted)]

    def _follow(self, now: float, leader: str) -> None:
        """Follows the leader of the term and renews our lease promise to it."""
        if self.leader != leader:
            self.leader = leader
            self.leader_since = now
        self.pending_election = None
        self.promised_until = now + self.lease
        self.election_at = self.promised_until + self.random_uniform(0.0, self.lease / 4)

    def _install_snapshot(self, snapshot: Snapshot) -> list[Order]:
        """Installs a snapshot unless our log has reached its position in the leader's term."""
        if self.position[0] == snapshot.term and self.position >= snapshot.position:
            return []
        self.position = snapshot.position
        return [RestoreSnapshot(snapshot.body, self.position)]

    def _accept_entries(self, message: AppendEntries, orders: list[Order]) -> bool:
        """Applies the entries that we lack; returns false on a mismatch or gap in our log."""
        known_count = 0
        if self.position != message.previous_position:
            known_count = self.position[1] - message.previous_position[1]
            same_term = self.position[0] == message.term
            if not same_term or not 0 <= known_count <= len(message.entries):
                # If our log of this term extends beyond the message, the message is late. Rejecting
                # it would make the leader send us a snapshot although we lack nothing.
                return same_term and known_count > 0
        for entry in message.entries[known_count:]:
            self.position = (message.term, self.position[1] + 1)
            orders.append(ApplyEntry(entry, self.position))
        return True

    def _response_to(self, message: AppendEntries | Snapshot, accepted: bool) -> Send:
        response = AppendResponse(self.term, self.self_id, message.sent_at, self.position, accepted)
        return Send(message.sender, response)
