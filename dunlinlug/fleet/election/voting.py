"""Elections by majority and term, after Raft (Ongaro and Ousterhout, 2014), with lease promises.

A vote is persisted before it is sent, so that a term has at most one leader. Before an election, a
member checks in a pre-vote whether it would be elected (Ongaro's thesis, 2014, section 9.6), so
that a partitioned member does not increment the term. While its lease promise to a leader lasts, a
member votes for no other.
"""

from dunlinlug.fleet.election.messages import (
    NO_POSITION,
    BecomeLeader,
    Order,
    Persist,
    Send,
    VoteRequest,
    VoteResponse,
)
from dunlinlug.fleet.election.replication import Replication


class Voting(Replication):
    """A member that votes, and requests votes as candidate."""

    # As candidate.

    def _start_pre_vote(self, now: float) -> list[Order]:
        """Requests pre-votes from the other voters: whether they would elect us.

        The next attempt follows soon: a pre-vote does not increment the term, and a voter may have
        received the leader's last message up to a heartbeat later than we did.
        """
        random_part = self.random_uniform(0.0, self.heartbeat_interval)
        self.election_at = now + (self.heartbeat_interval + random_part) / 4
        if now < self.promised_until:
            return []
        return self._request_votes(now, pre_vote=True)

    def _request_votes(
        self, now: float, pre_vote: bool, leadership_transfer: bool = False
    ) -> list[Order]:
        orders: list[Order] = []
        if pre_vote:
            election_term = self.term + 1
        else:
            orders.append(self._start_term(now))
            election_term = self.term
        self.pending_election = (election_term, pre_vote)
        own_vote = VoteResponse(
            self.term, self.self_id, election_term, pre_vote, True, self.is_recovering(now)
        )
        self.votes = {self.self_id: own_vote}
        request = VoteRequest(
            election_term, self.self_id, self.position, pre_vote, leadership_transfer
        )
        orders += [Send(member, request) for member in self._other_voters()]
        return orders + self._count_votes(now)

    def _start_term(self, now: float) -> Persist:
        """Begins a new term with a vote for ourselves.

        Candidates that start at the same time split the votes; the random part of the timer spreads
        their next attempts over a heartbeat interval.
        """
        self.term += 1
        self.voted_for = self.self_id
        self.leader = ""
        self.election_at = (
            now + self.heartbeat_interval / 2 + self.random_uniform(0.0, self.heartbeat_interval)
        )
        return self._persist()

    def _handle_vote_response(self, now: float, response: VoteResponse) -> list[Order]:
        if response.term > self.term:
            return self._adopt_term(now, response.term)
        if self.pending_election != (response.request_term, response.pre_vote):
            return []
        self.votes[response.sender] = response
        return self._count_votes(now)

    def _count_votes(self, now: float) -> list[Order]:
        """Starts the election, or becomes leader, once a majority has granted its vote."""
        assert self.pending_election is not None
        granted = [
            response
            for member, response in self.votes.items()
            if response.granted and member in self.voter_set.members
        ]
        if len(granted) < self.voter_set.quorum() or not self._votes_sufficient(granted):
            return []
        term, pre_vote = self.pending_election
        self.pending_election = None
        if pre_vote:
            return self._request_votes(now, pre_vote=False)
        return self._become_leader(now, term)

    def _become_leader(self, now: float, term: int) -> list[Order]:
        """Becomes leader; the first acknowledgements of followers begin the lease."""
        self.is_leader = True
        self.leader = self.self_id
        self.leader_since = now
        self.acknowledged_at = {}
        self.match_positions = {}
        self.snapshots_sent_at = {}
        self.recent_entries.clear()
        self.last_voter_change = NO_POSITION
        return [BecomeLeader(term), *self._send_heartbeats(now)]

    # As voter.

    def _handle_vote_request(self, now: float, request: VoteRequest) -> list[Order]:
        granted = (
            self._vote_available(request)
            and not self._lease_promised(now, request)
            and self._log_up_to_date(request)
        )
        orders: list[Order] = []
        if granted and not request.pre_vote:
            if self.is_leader:
                orders += self._step_down(now, "another was voted for")
            self.term = request.term
            self.voted_for = request.sender
            self.leader = ""
            self.pending_election = None
            self._restart_election_timer(now)
            orders.append(self._persist())
        response = VoteResponse(
            self.term,
            self.self_id,
            request.term,
            request.pre_vote,
            granted,
            self.is_recovering(now),
        )
        return [*orders, Send(request.sender, response)]

    # Safety rules, one per method: the model checker's tests remove each of them.

    def _vote_available(self, request: VoteRequest) -> bool:
        """Whether we can vote for the candidate; a member has one vote per term (Raft 5.2)."""
        if request.term > self.term:
            return True
        return request.term == self.term and self.voted_for in ("", request.sender)

    def _lease_promised(self, now: float, request: VoteRequest) -> bool:
        """Whether a promise to a leader, or our own lease, forbids the vote.

        A leader that steps down in the candidate's favour releases the promises made to it. This
        applies only to the term after the transfer, because a late copy of the transfer must not
        release a promise to a later leader.
        """
        promised = now < self.promised_until or self.holds_lease(now)
        released = request.leadership_transfer and request.term == self.term + 1
        return promised and not released

    def _log_up_to_date(self, request: VoteRequest) -> bool:
        """Whether the candidate's log is at least as recent as ours.

        Any majority has a member with all committed entries, so a candidate that lacks one of them
        is not elected (Raft 5.4.1).
        """
        return request.position >= self.position

    def _votes_sufficient(self, granted: list[VoteResponse]) -> bool:
        """Whether these votes elect a leader; recovering members' votes count only if all grant.

        Otherwise members that have lost their logs in a restart could elect a leader that lacks
        committed entries.
        """
        any_recovering = any(response.recovering for response in granted)
        return not any_recovering or len(granted) == len(self.voter_set.members)
