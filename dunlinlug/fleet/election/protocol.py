"""Leader election and log replication as a state machine without I/O.

Its inputs are messages, events and the time; its outputs are orders, to be executed in sequence.

The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
2014) with leader leases (Gray and Cheriton, 1989): `voting` elects a leader per term by majority,
`replication` copies the leader's log to the other members, `leases` limits how long a leader may
act without their acknowledgements. This module combines them and adds timers, message dispatch,
leadership transfer and changes of the voter set. `docs/election.md` describes the guarantees; the
model checker in `dunlinlug/fleet/election/model.py` explores the states of this class itself.
"""

from copy import copy

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.election.messages import (
    AppendEntries,
    AppendResponse,
    Message,
    Order,
    Send,
    Snapshot,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
    VoterSet,
)
from dunlinlug.fleet.election.voting import Voting


class ElectionChangeError(DunlinlugError, ValueError):
    """A change of the leader or the voters that is not possible now; the text gives the reason."""


class ElectionProtocol(Voting):
    """One member of the log.

    Its arguments are the member's name, its persisted state, the time, the lease and the heartbeat
    interval in seconds, the maximum clock drift, the seconds during which a member that started
    with an empty log counts as recovering, and a source of uniform random numbers.
    """

    def clone(self) -> "ElectionProtocol":
        """Returns an independent copy, for the model checker."""
        duplicate = copy(self)
        duplicate.votes = dict(self.votes)
        duplicate.acknowledged_at = dict(self.acknowledged_at)
        duplicate.match_positions = dict(self.match_positions)
        duplicate.snapshots_sent_at = dict(self.snapshots_sent_at)
        duplicate.recent_entries = self.recent_entries.copy()
        return duplicate

    # Timers and reports from other components.

    def tick(self, now: float) -> list[Order]:
        """Acts on timers that are due: heartbeats, the end of the lease, an election."""
        if self.is_leader:
            # A vote is not a lease promise, so the lease begins with the first acknowledgements.
            # A new leader without a lease steps down only after it has had time to receive them.
            if now >= max(self.lease_end(now), self.leader_since + self.leader_lease):
                return self._step_down(now, "its lease is over: no majority has answered")
            return self._send_heartbeats(now) if now >= self.next_heartbeat_at else []
        if now >= self.election_at and self.self_id in self.voter_set.members:
            return self._start_pre_vote(now)
        return []

    def leader_suspected(self, now: float, member: str, live_members: set[str]) -> None:
        """Starts the election earlier when the membership's failure detector suspects the leader.

        The live members start theirs half a heartbeat apart, the first one as soon as its promise
        to the leader has expired. The order rotates with the term, so that a member that keeps
        failing is not always first. This affects liveness only: voters still check their promises.
        """
        if member != self.leader or self.is_leader or self.self_id not in self.voter_set.members:
            return
        voters = self.voter_set.members
        first = self.term % len(voters)
        candidates = [
            voter
            for voter in (*voters[first:], *voters[:first])
            if voter == self.self_id or (voter in live_members and voter != member)
        ]
        turn = candidates.index(self.self_id)
        promise_end = max(now, self.promised_until)
        self.election_at = min(self.election_at, promise_end + turn * self.heartbeat_interval / 2)

    def observe_term(self, now: float, term: int) -> list[Order]:
        """Adopts a term that a proxy reported, if it is higher than ours."""
        return self._adopt_term(now, term) if term > self.term else []

    # Messages.

    def receive(self, now: float, message: Message) -> list[Order]:
        """Handles a message; those from members outside the voter set are ignored.

        A leader's messages are accepted from any member, as this member's voter set may be out of
        date.
        """
        match message:
            case AppendEntries() | Snapshot():
                return self._handle_leader_message(now, message)
            case _ if message.sender not in self.voter_set.members:
                return []
            case VoteRequest():
                return self._handle_vote_request(now, message)
            case VoteResponse():
                return self._handle_vote_response(now, message)
            case AppendResponse():
                return self._handle_append_response(now, message)
            case TransferLeadership():
                return self._handle_transfer(now, message)

    def _handle_transfer(self, now: float, message: TransferLeadership) -> list[Order]:
        """Starts an election immediately if our leader has stepped down in our favour."""
        from_our_leader = message.term == self.term and message.sender == self.leader
        if not from_our_leader or self.is_leader:
            return []
        return self._request_votes(now, pre_vote=False, leadership_transfer=True)

    # Changes requested by an operator.

    def transfer_leadership(self, now: float, target: str) -> list[Order]:
        """Steps down in favour of a member that has our whole log (Ongaro's thesis, section 3.10).

        Raises:
            ElectionChangeError: The target lacks entries, or we do not hold the lease.
        """
        if not self.holds_lease(now) or not self.is_caught_up(target):
            raise ElectionChangeError(
                f"{target or 'the target'} lacks log entries, or we are not master"
            )
        return [
            *self._step_down(now, f"handed over to {target}"),
            Send(target, TransferLeadership(self.term, self.self_id)),
        ]

    def change_voters(self, now: float, members: tuple[str, ...], entry: bytes) -> list[Order]:
        """Changes the voter set by one member; `entry` is the log entry of the change.

        A change concerns one member, so that any majority before it and any majority after it have
        a member in common (Ongaro's thesis, section 4.1).

        Raises:
            ElectionChangeError: The change is not allowed, or not now.
        """
        self._check_voter_change(now, members)
        self.voter_set = VoterSet(self.voter_set.version + 1, tuple(sorted(members)))
        self.match_positions = {
            member: position
            for member, position in self.match_positions.items()
            if member in members
        }
        self.acknowledged_at = {
            member: at for member, at in self.acknowledged_at.items() if member in members
        }
        self.last_voter_change = (self.term, self.position[1] + 1)
        return [self._persist(), *self.append(now, entry), *self._send_heartbeats(now)]

    def _check_voter_change(self, now: float, members: tuple[str, ...]) -> None:
        if not self.holds_lease(now):
            raise ElectionChangeError("only the master changes the set")
        changed = set(members) ^ set(self.voter_set.members)
        has_duplicates = len(set(members)) != len(members)
        if len(changed) != 1 or has_duplicates:
            raise ElectionChangeError(
                "one member at a time: two majorities might not have a member in common otherwise"
            )
        term_committed = self._in_current_term(self.committed)
        if not term_committed or self.committed < self.last_voter_change:
            raise ElectionChangeError(
                "an earlier change, or the first entry of this term, is not yet committed"
            )
        if self.self_id not in members:
            raise ElectionChangeError("the master cannot be removed; hand over first")
