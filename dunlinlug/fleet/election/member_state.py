"""The state of one member of a replicated log, and its transitions between Raft's roles.

Base class of `Replication`, `Voting` and `ElectionProtocol`, which add behaviour but no state.
"""

from collections import deque
from collections.abc import Callable

from dunlinlug.fleet.election.leases import NEVER, leader_lease, quorum_value
from dunlinlug.fleet.election.messages import (
    NO_POSITION,
    LogPosition,
    Order,
    Persist,
    StepDown,
    VoteResponse,
)

# about one second's entries, kept for members that lag; members further behind get a snapshot
MAX_RECENT_ENTRIES = 256


class MemberState:
    """One member's state, and its transitions between the roles of follower and leader.

    Times are in seconds on this member's clock, whose current time each method gets as `now`.

    Attributes:
        self_id: This member's name.
        lease, heartbeat_interval, leader_lease: In seconds; `leader_lease` is the lease as a
            leader counts it, shortened by the maximum clock drift.
        random_uniform: Draws a number between two bounds.
        term, voted_for, voter_set: The persisted state: the term, our vote in it, the voters.
        position: Our last log entry.
        committed: As leader, the last committed entry.
        leader: The leader of the term; empty if unknown.
        is_leader, leader_since: Whether we lead, and when the current leader began to.
        recovering_until: Until then, with an empty log, our vote is marked as recovering: we may
            have lost committed entries in a restart.
        promised_until: Until then we vote for no member but the leader that we follow.
        election_at: When we start an election unless a leader's message arrives first.
        pending_election: The outstanding vote request: its term, and whether it is a pre-vote.
        votes: The responses to it, by voter.
        missing_entries: As follower, how many entries of the leader we lacked as of its last
            message; None if we need a snapshot.
        next_heartbeat_at: As leader, when the next heartbeat is due.
        acknowledged_at: As leader, when we sent the latest message that each member acknowledged.
        match_positions: As leader, the last entry of each member whose log matches ours.
        snapshots_sent_at: As leader, when we last sent each member a snapshot.
        recent_entries: As leader, our latest entries and their positions.
        last_voter_change: As leader, the entry of our term that last changed the voter set.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - both services and the model pass all of them
        self,
        self_id: str,
        persisted: Persist,
        now: float,
        lease: float,
        heartbeat_interval: float,
        drift: float,
        recovery_timeout: float,
        random_uniform: Callable[[float, float], float],
    ) -> None:
        self.self_id = self_id
        self.lease = lease
        self.heartbeat_interval = heartbeat_interval
        self.random_uniform = random_uniform
        self.leader_lease = leader_lease(lease, drift)
        self.term = persisted.term
        self.voted_for = persisted.voted_for
        self.voter_set = persisted.voter_set
        self.position = NO_POSITION
        self.committed = NO_POSITION
        self.recovering_until = now + recovery_timeout
        # Promises are not persisted; one made before a restart may still be in force.
        self.promised_until = now + lease
        self.election_at = self.promised_until + random_uniform(0.0, lease / 2)
        self.leader = ""
        self.is_leader = False
        self.leader_since = now
        self.pending_election: tuple[int, bool] | None = None
        self.votes: dict[str, VoteResponse] = {}
        self.missing_entries: int | None = 0
        self.next_heartbeat_at = now
        self.acknowledged_at: dict[str, float] = {}
        self.match_positions: dict[str, LogPosition] = {}
        self.snapshots_sent_at: dict[str, float] = {}
        self.recent_entries: deque[tuple[LogPosition, bytes]] = deque(maxlen=MAX_RECENT_ENTRIES)
        self.last_voter_change = NO_POSITION

    def is_recovering(self, now: float) -> bool:
        """Whether our log is empty and we may have lost entries in a recent restart."""
        return self.position == NO_POSITION and now < self.recovering_until

    def lease_end(self, now: float) -> float:
        """As leader, the time until which no other member can have been elected.

        It is one lease after the send time of the latest message that a majority, which includes
        us, has acknowledged.
        """
        acknowledged = (
            now if member == self.self_id else self.acknowledged_at.get(member, NEVER)
            for member in self.voter_set.members
        )
        return quorum_value(acknowledged, self.voter_set.quorum()) + self.leader_lease

    def holds_lease(self, now: float) -> bool:
        """Whether we lead and no other member can; checked before any order takes effect."""
        return self.is_leader and now < self.lease_end(now)

    def next_deadline(self) -> float:
        """The latest time at which to call `tick`."""
        return self.next_heartbeat_at if self.is_leader else self.election_at

    def _other_voters(self) -> list[str]:
        return [member for member in self.voter_set.members if member != self.self_id]

    def _in_current_term(self, position: LogPosition) -> bool:
        """Whether an entry is of our term; only those are committed by counting (Raft 5.4.2).

        An entry of an earlier term can still be overwritten although a majority has it. Committing
        the first entry of our term commits all entries before it.
        """
        return position[0] == self.term

    def _persist(self) -> Persist:
        return Persist(self.term, self.voted_for, self.voter_set)

    def _restart_election_timer(self, now: float) -> None:
        """Draws a time between half a lease and one lease from now, so that few members collide."""
        self.election_at = now + self.lease / 2 + self.random_uniform(0.0, self.lease / 2)

    def _step_down(self, now: float, reason: str) -> list[Order]:
        self.is_leader = False
        self.leader = ""
        self._restart_election_timer(now)
        return [StepDown(reason)]

    def _adopt_term(self, now: float, term: int) -> list[Order]:
        """Adopts a higher term, in which we have not voted."""
        orders: list[Order] = []
        if self.is_leader:
            orders += self._step_down(now, f"term {term} has begun")
        self.term = term
        self.voted_for = ""
        self.pending_election = None
        return [*orders, self._persist()]
