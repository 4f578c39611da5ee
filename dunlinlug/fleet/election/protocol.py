"""The election of a leader and the replication of its log, as a state machine free of I/O.

Events and time come in, orders go out in the sequence in which they are to be carried out.

The rules are Raft's (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
2014) with leases (Gray and Cheriton, 1989) for the leader: `voting` elects by majority and term,
`replication` brings the log to the other members, `leases` says how long a leader may act without
hearing from them. Here is what ties them together: timers, messages, the transfer of leadership
and changes of the voter set. `docs/election.md` has the guarantees; the model checker in
`dunlinlug/fleet/election/model.py` visits the states of this very class.
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
    """A change of the leader or of the voters that cannot be made now; the text says why."""


class ElectionProtocol(Voting):
    """One member of the log.

    It is made of the member's name, what it persisted, the time, the lease and the heartbeat
    interval in seconds, the bound on the drift of clocks, the seconds after which a member that
    started with an empty log votes like any other, and a source of uniform random numbers.
    """

    def clone(self) -> "ElectionProtocol":
        """An independent copy, for the model checker."""
        duplicate = copy(self)
        duplicate.votes = dict(self.votes)
        duplicate.acknowledged_at = dict(self.acknowledged_at)
        duplicate.match_positions = dict(self.match_positions)
        duplicate.snapshots_sent_at = dict(self.snapshots_sent_at)
        duplicate.recent_entries = self.recent_entries.copy()
        return duplicate

    # Time and what others notice.

    def tick(self, now: float) -> list[Order]:
        """Does what is due: heartbeats, the end of a lease, an election."""
        if self.is_leader:
            # No lease begins before the first answers, as a vote is no promise; until the time for
            # them has passed, the lack of a lease is no reason to step down.
            if now >= max(self.lease_end(now), self.leader_since + self.leader_lease):
                return self._step_down(now, "its lease is over: no majority has answered")
            return self._send_heartbeats(now) if now >= self.next_heartbeat_at else []
        if now >= self.election_at and self.self_id in self.voter_set.members:
            return self._start_pre_vote(now)
        return []

    def leader_suspected(self, now: float, member: str, live_members: set[str]) -> None:
        """Hurries the election when the membership's failure detector finds that the leader failed.

        We start one as soon as our promise to it is over, the live members half a heartbeat apart.
        Who comes first changes with the term, so that a member that keeps failing is not always
        the first. Nothing is bound by this: promises are checked when votes are asked for.
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
        """Goes over to a term that a proxy has seen, if it is higher than ours."""
        return self._adopt_term(now, term) if term > self.term else []

    # Messages.

    def receive(self, now: float, message: Message) -> list[Order]:
        """Handles a message; those of senders that do not vote, or no longer do, are ignored.

        A leader's messages are taken from anyone, as a member may not know of its own change yet.
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
        """Starts an election at once if the leader that we follow has stepped down for us."""
        from_our_leader = message.term == self.term and message.sender == self.leader
        if not from_our_leader or self.is_leader:
            return []
        return self._request_votes(now, pre_vote=False, leadership_transfer=True)

    # Changes that an operator asks for.

    def transfer_leadership(self, now: float, target: str) -> list[Order]:
        """Steps down in favour of a member that has our whole log (Ongaro's thesis, section 3.10).

        Raises:
            ElectionChangeError: It has not, or we do not lead.
        """
        if not self.holds_lease(now) or not self.is_caught_up(target):
            raise ElectionChangeError(
                f"{target or 'nobody'} is not as far as we are, or we are not master"
            )
        return [
            *self._step_down(now, f"handed over to {target}"),
            Send(target, TransferLeadership(self.term, self.self_id)),
        ]

    def change_voters(self, now: float, members: tuple[str, ...], entry: bytes) -> list[Order]:
        """Changes the voter set by one member, with `entry` as the log entry of the change.

        One member at a time, so that majorities before and after the change have a member in
        common (Ongaro's thesis, section 4.1).

        Raises:
            ElectionChangeError: It cannot be changed so, or not now.
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
                "one member at a time: two majorities without a common member would be possible"
            )
        term_committed = self._in_current_term(self.committed)
        if not term_committed or self.committed < self.last_voter_change:
            raise ElectionChangeError(
                "an earlier change, or the beginning of this term, is not yet with a majority"
            )
        if self.self_id not in members:
            raise ElectionChangeError("the master cannot leave; hand over first")
