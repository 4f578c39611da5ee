"""Who is master, as a state machine free of I/O: events and time in, orders out, in the order of
their effect.

Votes are by majority and term, and are on disk before they are sent, so that a term has one master.
A member that hears its master promises not to vote for a lease's time on its own clock; the master
counts its lease from when it sent what a majority has answered, shortened by the clocks' drift, so
that it has stopped by itself before a successor can be voted for. Entries are numbered; one is
committed once a majority has it, and its effects wait for that. A vote goes only to who is as far
as the voter, so that a successor has all that took effect. `docs/succession.md` has the promises;
the model in `dunlinlug/fleet/election/model.py` visits the states of this very class.
"""

from collections import deque
from collections.abc import Callable
from copy import copy

from dunlinlug.fleet.election.messages import (
    NO_POSITION,
    AppendEntries,
    AppendResponse,
    ApplyEntry,
    BecomeLeader,
    Committed,
    LogPosition,
    Message,
    Order,
    Persist,
    RestoreSnapshot,
    Send,
    Snapshot,
    SnapshotNeeded,
    StepDown,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
    VoterSet,
)

# entries kept for members that lag: about as many as a second brings; who lags more gets the whole
MAX_RECENT_ENTRIES = 256


class ElectionProtocol:
    """One member. `lease` and `beat` are seconds on its clock; `drift` bounds how far a clock's
    rate is from true; after `forgets` seconds without news a member that started with nothing
    counts as if it remembered.
    """

    def __init__(
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
        self.leader_lease = lease * (1.0 - drift) / (1.0 + drift)
        self.term = persisted.term
        self.voted_for = persisted.voted_for
        self.voter_set = persisted.voter_set
        self.position = NO_POSITION
        self.committed = NO_POSITION
        self.recovering_until = now + recovery_timeout
        self.promised_until = (
            now + lease
        )  # Danger: a promise made before a restart is forgotten, and may still hold
        self.election_at = self.promised_until + random_uniform(0.0, lease / 2)
        self.leader = ""
        self.is_leader = False
        self.leader_since = now
        self.missing_entries: int | None = (
            0  # as a standby: entries that we lack by the last beat; None if we need the whole
        )
        self.pending_election: tuple[int, bool] | None = (
            None  # term and probe of the question that is out
        )
        self.votes: dict[str, VoteResponse] = {}
        self.acknowledged_at: dict[
            str, float
        ] = {}  # as master: by member the latest of our beats that it has answered
        self.match_positions: dict[str, LogPosition] = {}  # and where it stands, if it follows
        self.snapshots_sent_at: dict[str, float] = {}  # and when it was last sent the whole
        self.recent_entries: deque[tuple[LogPosition, bytes]] = deque(maxlen=MAX_RECENT_ENTRIES)
        # the last: position of the last change of the roll
        self.next_heartbeat_at = now
        self.last_voter_change = NO_POSITION

    def clone(self) -> "ElectionProtocol":
        """An independent copy, for the search."""
        duplicate = copy(self)
        duplicate.votes = dict(self.votes)
        duplicate.acknowledged_at = dict(self.acknowledged_at)
        duplicate.match_positions = dict(self.match_positions)
        duplicate.snapshots_sent_at = dict(self.snapshots_sent_at)
        duplicate.recent_entries = self.recent_entries.copy()
        return duplicate

    # What is known.

    def is_recovering(self, now: float) -> bool:
        return self.position == NO_POSITION and now < self.recovering_until

    def lease_end(self, now: float) -> float:
        """Until when, on our clock, no other can have been voted for: the lease of the majority's
        latest answers.
        """
        times = sorted(
            (
                now if m == self.self_id else self.acknowledged_at.get(m, -1e18)
                for m in self.voter_set.members
            ),
            reverse=True,
        )
        return times[self.voter_set.quorum() - 1] + self.leader_lease

    def holds_lease(self, now: float) -> bool:
        """Asked before each order that takes effect."""
        return self.is_leader and now < self.lease_end(now)

    def replication_lag(self) -> dict[str, int | None]:
        """As master: entries that each other member lacks; None if it has to be given the whole."""
        return {
            m: self.position[1] - self.match_positions[m][1] if m in self.match_positions else None
            for m in self.voter_set.members
            if m != self.self_id
        }

    def next_deadline(self) -> float:
        return self.next_heartbeat_at if self.is_leader else self.election_at

    # Time.

    def tick(self, now: float) -> list[Order]:
        if self.is_leader:
            # Danger: none before the first answers, which a vote does not promise; but time to get
            # them.
            if now >= max(self.lease_end(now), self.leader_since + self.leader_lease):
                return self._step_down(now, "its lease is over: no majority has answered")
            return self._send_heartbeats(now) if now >= self.next_heartbeat_at else []
        if now >= self.election_at and self.self_id in self.voter_set.members:
            return self._start_pre_vote(now)
        return []

    def _start_pre_vote(self, now: float) -> list[Order]:
        """Ask whether a vote would be given, before a term is used up: a member that was cut off
        disturbs nobody. It costs nothing, and who was asked may have heard the master a beat
        later than we: soon again.
        """
        self.election_at = (
            now + (self.heartbeat_interval + self.random_uniform(0.0, self.heartbeat_interval)) / 4
        )
        if now < self.promised_until:
            return []
        return self._request_votes(now, pre_vote=True)

    def _request_votes(
        self, now: float, pre_vote: bool, leadership_transfer: bool = False
    ) -> list[Order]:
        orders: list[Order] = []
        if not pre_vote:
            self.term = self.term + 1
            self.voted_for = self.self_id
            self.leader = ""
            # Two that ask at one moment split the votes; a beat or so apart is apart enough for the
            # next time.
            self.election_at = (
                now
                + self.heartbeat_interval / 2
                + self.random_uniform(0.0, self.heartbeat_interval)
            )
            orders.append(Persist(self.term, self.voted_for, self.voter_set))
        term = self.term + pre_vote
        self.pending_election = (term, pre_vote)
        self.votes = {
            self.self_id: VoteResponse(
                self.term, self.self_id, term, pre_vote, True, self.is_recovering(now)
            )
        }
        orders += [
            Send(m, VoteRequest(term, self.self_id, self.position, pre_vote, leadership_transfer))
            for m in self._other_voters()
        ]
        return orders + self._count_votes(now)

    def _other_voters(self) -> list[str]:
        return [m for m in self.voter_set.members if m != self.self_id]

    def leader_suspected(self, now: float, member: str, live_members: set[str]) -> None:
        """The membership's detector has found that it failed. If it was our master we stand as soon
        as our promise to it is over, one after the other: who lives and comes first is another
        in each term, as one that comes and goes would always be it. It hurries us and binds
        nobody: promises are looked at when we stand, and by the others.
        """
        if member != self.leader or self.is_leader or self.self_id not in self.voter_set.members:
            return
        voters = self.voter_set.members
        offset = self.term % len(voters)
        candidates = [
            m
            for m in (*voters[offset:], *voters[:offset])
            if m == self.self_id or (m in live_members and m != member)
        ]
        self.election_at = min(
            self.election_at,
            max(now, self.promised_until)
            + candidates.index(self.self_id) * self.heartbeat_interval / 2,
        )

    def _send_heartbeats(self, now: float) -> list[Order]:
        self.next_heartbeat_at = now + self.heartbeat_interval
        return [Send(m, self._append_entries_for(m, now)) for m in self._other_voters()]

    def _append_entries_for(self, member: str, now: float) -> AppendEntries:
        """What the member lacks; nothing but our place if we can't tell, which it will answer."""
        match_position = self.match_positions.get(member)
        missing = [
            (position, entry)
            for position, entry in self.recent_entries
            if match_position is not None and position > match_position
        ]
        complete = (
            match_position is not None and len(missing) == self.position[1] - match_position[1]
        )
        previous_position, entries = (
            (match_position, tuple(entry for _, entry in missing))
            if complete and match_position
            else (self.position, ())
        )
        return AppendEntries(
            self.term, self.self_id, now, self.voter_set, previous_position, entries
        )

    # Entries and the roll.

    def append(self, now: float, entry: bytes) -> list[Order]:
        """One more entry, sent at once to who keeps up. Its effects wait for `Committed`."""
        assert self.is_leader
        previous_position = self.position
        self.position = (self.term, self.position[1] + 1)
        self.recent_entries.append((self.position, entry))
        orders: list[Order] = [
            Send(
                m,
                AppendEntries(
                    self.term, self.self_id, now, self.voter_set, previous_position, (entry,)
                ),
            )
            for m in self._other_voters()
            if m in self.match_positions
        ]
        return orders + self._advance_commit()

    def change_voters(self, now: float, members: tuple[str, ...], entry: bytes) -> list[Order]:
        """Change the set by one member. Raises ValueError if it may not be changed now, saying why."""
        if not self.holds_lease(now):
            raise ValueError("only the master changes the set")
        if len(set(members) ^ set(self.voter_set.members)) != 1 or len(set(members)) != len(
            members
        ):
            raise ValueError(
                "one member at a time: two majorities without a common member would be possible"
            )
        if self.committed[0] != self.term or self.committed < self.last_voter_change:
            raise ValueError(
                "an earlier change, or the beginning of this term, is not yet with a majority"
            )
        if self.self_id not in members:
            raise ValueError("the master cannot leave; hand over first")
        self.voter_set = VoterSet(self.voter_set.version + 1, tuple(sorted(members)))
        self.match_positions = {m: at for m, at in self.match_positions.items() if m in members}
        self.acknowledged_at = {m: at for m, at in self.acknowledged_at.items() if m in members}
        self.last_voter_change = (self.term, self.position[1] + 1)
        return [
            Persist(self.term, self.voted_for, self.voter_set),
            *self.append(now, entry),
            *self._send_heartbeats(now),
        ]

    def send_snapshot(self, now: float, recipient: str, body: bytes) -> list[Order]:
        """The whole for one member, as the host made it at our position."""
        if not self.is_leader:
            return []
        return [
            Send(
                recipient,
                Snapshot(self.term, self.self_id, now, self.voter_set, self.position, body),
            )
        ]

    def _advance_commit(self) -> list[Order]:
        quorum_position = sorted(
            (
                self.position if m == self.self_id else self.match_positions.get(m, NO_POSITION)
                for m in self.voter_set.members
            ),
            reverse=True,
        )[self.voter_set.quorum() - 1]
        if not self._in_current_term(quorum_position) or quorum_position <= self.committed:
            return []
        self.committed = quorum_position
        return [Committed(quorum_position)]

    def is_caught_up(self, member: str) -> bool:
        """As far as that member's answers tell."""
        return self.match_positions.get(member) == self.position

    def transfer_leadership(self, now: float, target: str) -> list[Order]:
        """Hand over to a member that has all; raises ValueError if it has not. We order nothing
        from here on.
        """
        if not self.holds_lease(now) or not self.is_caught_up(target):
            raise ValueError(f"{target or 'nobody'} is not as far as we are, or we are not master")
        return [
            *self._step_down(now, f"handed over to {target}"),
            Send(target, TransferLeadership(self.term, self.self_id)),
        ]

    # Messages.

    def receive(self, now: float, message: Message) -> list[Order]:
        """Danger: one that is no member, or no longer, has no say."""
        if (
            isinstance(message, VoteRequest | VoteResponse | AppendResponse | TransferLeadership)
            and message.sender not in self.voter_set.members
        ):
            return []
        match message:
            case VoteRequest():
                return self._handle_vote_request(now, message)
            case VoteResponse():
                return self._handle_vote_response(now, message)
            case AppendResponse():
                return self._handle_append_response(now, message)
            case TransferLeadership():
                valid = (
                    message.term == self.term
                    and message.sender == self.leader
                    and not self.is_leader
                )
                return (
                    self._request_votes(now, pre_vote=False, leadership_transfer=True)
                    if valid
                    else []
                )
        return self._handle_leader_message(now, message)

    def _handle_vote_request(self, now: float, request: VoteRequest) -> list[Order]:
        granted = (
            self._vote_available(request)
            and not self._lease_promised(now, request)
            and self._log_up_to_date(request)
        )
        orders: list[Order] = []
        if granted and not request.pre_vote:
            orders += self._step_down(now, "another was voted for") if self.is_leader else []
            self.term = request.term
            self.voted_for = request.sender
            self.leader = ""
            self.pending_election = None
            self.election_at = now + self.lease / 2 + self.random_uniform(0.0, self.lease / 2)
            orders.append(Persist(self.term, self.voted_for, self.voter_set))
        response = VoteResponse(
            self.term,
            self.self_id,
            request.term,
            request.pre_vote,
            granted,
            self.is_recovering(now),
        )
        return [*orders, Send(request.sender, response)]

    # The safety lines of a vote, each by itself: the search shows what happens without it.

    def _vote_available(self, request: VoteRequest) -> bool:
        """One vote a term."""
        return (
            request.term > self.term
            or (request.term == self.term
            and self.voted_for in ("", request.sender))
        )

    def _lease_promised(self, now: float, request: VoteRequest) -> bool:
        """By a promise to a master, unless it has passed on itself. Danger: a late copy of that;
        its term and the one after it are then used up with a majority.
        """
        return (now < self.promised_until or self.holds_lease(now)) and not (
            request.leadership_transfer and request.term == self.term + 1
        )

    def _log_up_to_date(self, request: VoteRequest) -> bool:
        """Who wins has all that took effect, as a majority has it."""
        return request.position >= self.position

    def _votes_sufficient(self, granted: list[VoteResponse]) -> bool:
        """Danger: who has just started may have known more than it says, so blank votes count only
        if all vote.
        """
        return not any(a.recovering for a in granted) or len(granted) == len(self.voter_set.members)

    def _in_current_term(self, position: LogPosition) -> bool:
        """Danger: an entry of an earlier term that a majority has may still be lost; one of ours
        seals it.
        """
        return position[0] == self.term

    def _handle_vote_response(self, now: float, response: VoteResponse) -> list[Order]:
        if response.term > self.term:
            return self._adopt_term(now, response.term)
        if self.pending_election != (response.request_term, response.pre_vote):
            return []
        self.votes[response.sender] = response
        return self._count_votes(now)

    def _count_votes(self, now: float) -> list[Order]:
        assert self.pending_election is not None
        granted = [a for m, a in self.votes.items() if a.granted and m in self.voter_set.members]
        if len(granted) < self.voter_set.quorum() or not self._votes_sufficient(granted):
            return []
        term, pre_vote = self.pending_election
        self.pending_election = None
        return (
            self._request_votes(now, pre_vote=False) if pre_vote else self._become_leader(now, term)
        )

    def _become_leader(self, now: float, term: int) -> list[Order]:
        self.is_leader = True
        self.leader = self.self_id
        self.leader_since = now
        self.acknowledged_at = {}
        self.match_positions = {}
        self.snapshots_sent_at = {}
        self.recent_entries.clear()
        self.last_voter_change = NO_POSITION
        return [BecomeLeader(term), *self._send_heartbeats(now)]

    def _step_down(self, now: float, reason: str) -> list[Order]:
        self.is_leader = False
        self.leader = ""
        self.election_at = now + self.lease / 2 + self.random_uniform(0.0, self.lease / 2)
        return [StepDown(reason)]

    def _adopt_term(self, now: float, term: int) -> list[Order]:
        """A higher term has been seen: we are nothing in ours any more."""
        orders = self._step_down(now, f"term {term} has begun") if self.is_leader else []
        self.term = term
        self.voted_for = ""
        self.pending_election = None
        return [*orders, Persist(self.term, self.voted_for, self.voter_set)]

    def discard_log(self, now: float, recovery_timeout: float) -> None:
        """What came could not be taken in. Danger: as it stands we would vote, and be voted for, by
        a place that we do not have; we have none, like a member that has just started.
        """
        self.position = NO_POSITION
        self.recovering_until = now + recovery_timeout
        self.missing_entries = None

    def observe_term(self, now: float, term: int) -> list[Order]:
        """A proxy has seen a higher term than ours."""
        return self._adopt_term(now, term) if term > self.term else []

    def _handle_leader_message(self, now: float, message: AppendEntries | Snapshot) -> list[Order]:
        if message.term < self.term or (message.term == self.term and self.is_leader):
            return [
                Send(
                    message.sender,
                    AppendResponse(self.term, self.self_id, message.sent_at, self.position, False),
                )
            ]
        orders = self._adopt_term(now, message.term) if message.term > self.term else []
        if self.leader != message.sender:
            self.leader = message.sender
            self.leader_since = now
        self.pending_election = None
        self.promised_until = now + self.lease
        self.election_at = self.promised_until + self.random_uniform(0.0, self.lease / 4)
        if message.voter_set.version > self.voter_set.version:
            self.voter_set = message.voter_set
            orders.append(Persist(self.term, self.voted_for, self.voter_set))
        accepted = True
        if isinstance(message, Snapshot):
            if self.position[0] != message.term or self.position < message.position:
                self.position = message.position
                orders.append(RestoreSnapshot(message.body, self.position))
        else:
            accepted = self._append_entries(message, orders)
            last_index = message.previous_position[1] + len(message.entries)
            self.missing_entries = max(last_index - self.position[1], 0) if accepted else None
        return [
            *orders,
            Send(
                message.sender,
                AppendResponse(self.term, self.self_id, message.sent_at, self.position, accepted),
            ),
        ]

    def _append_entries(self, append: AppendEntries, orders: list[Order]) -> bool:
        """Take the entries that we lack; false if ours is another line, or has a gap."""
        known = 0
        if self.position != append.previous_position:
            known = self.position[1] - append.previous_position[1]
            if self.position[0] != append.term or not 0 <= known <= len(append.entries):
                # Danger: of our term and beyond what this beat has: a late one, that says nothing
                # against us.
                return self.position[0] == append.term and known > 0
        for entry in append.entries[known:]:
            self.position = (append.term, self.position[1] + 1)
            orders.append(ApplyEntry(entry, self.position))
        return True

    def _handle_append_response(self, now: float, response: AppendResponse) -> list[Order]:
        if response.term > self.term:
            return self._adopt_term(now, response.term)
        if response.term < self.term or not self.is_leader:
            return []
        self.acknowledged_at[response.sender] = max(
            self.acknowledged_at.get(response.sender, response.sent_at), response.sent_at
        )
        if response.accepted:
            newly_matched = response.sender not in self.match_positions
            self.match_positions[response.sender] = max(
                self.match_positions.get(response.sender, NO_POSITION), response.position
            )
            catch_up: list[Order] = (
                [Send(response.sender, self._append_entries_for(response.sender, now))]
                if newly_matched
                else []
            )
            return catch_up + self._advance_commit()
        self.match_positions.pop(response.sender, None)
        if now < self.snapshots_sent_at.get(response.sender, -1e18) + self.heartbeat_interval:
            return []
        self.snapshots_sent_at[response.sender] = now
        return [SnapshotNeeded(response.sender)]
