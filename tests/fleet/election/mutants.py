"""Mutants of the protocol, each without one safety rule, which the model checker must detect."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dunlinlug.fleet.election import messages
from dunlinlug.fleet.election.model_state import ATTEMPT_ENTRY, DRAIN_ENTRY, ElectionLimits
from dunlinlug.fleet.election.protocol import ElectionProtocol

MINIMAL_LIMITS = ElectionLimits(
    terms=2,
    in_flight=8,
    losses=5,
    duplications=0,
    missed_ticks=0,
    restarts=0,
    transfers=0,
    entries=(),
)


class VotesTwice(ElectionProtocol):
    def _vote_available(self, request: messages.VoteRequest) -> bool:
        return request.term >= self.term


class CountsVotesOfRecoveringMembers(ElectionProtocol):
    def _votes_sufficient(self, granted: list[messages.VoteResponse]) -> bool:
        return True


class ForgetsVotes(CountsVotesOfRecoveringMembers):
    """Forgets its vote at a restart.

    The rule on recovering members would mask this fault, as their votes do not count. This mutant
    and `ForgetsPromises` therefore lack that rule as well.
    """

    def __init__(self, self_id: str, persisted: messages.Persist, *rest: Any) -> None:
        super().__init__(self_id, messages.Persist(persisted.term, "", persisted.voter_set), *rest)


class IgnoresLeasePromises(ElectionProtocol):
    def _lease_promised(self, now: float, request: messages.VoteRequest) -> bool:
        return False


class AcceptsStaleTransfers(ElectionProtocol):
    """Accepts a leadership transfer of any term as a release of promises."""

    def _lease_promised(self, now: float, request: messages.VoteRequest) -> bool:
        return not request.leadership_transfer and super()._lease_promised(now, request)

    def receive(self, now: float, message: messages.Message) -> list[messages.Order]:
        if isinstance(message, messages.TransferLeadership) and not self.is_leader:
            return self._request_votes(now, pre_vote=False, leadership_transfer=True)
        return super().receive(now, message)


class ForgetsPromises(CountsVotesOfRecoveringMembers):
    def __init__(self, self_id: str, persisted: messages.Persist, now: float, *rest: Any) -> None:
        super().__init__(self_id, persisted, now, *rest)
        self.promised_until = self.election_at = now


class CountsLeaseFromResponse(ElectionProtocol):
    """Counts its lease from the arrival of a response, not from the send time it acknowledges."""

    def _handle_append_response(
        self, now: float, response: messages.AppendResponse
    ) -> list[messages.Order]:
        if self.is_leader and response.term == self.term:
            self.acknowledged_at[response.sender] = now
        return super()._handle_append_response(now, response)


class IgnoresClockDrift(ElectionProtocol):
    """As leader, counts a lease as long as the followers' promise."""

    def __init__(self, *rest: Any) -> None:
        super().__init__(*rest)
        self.leader_lease = self.lease


class IgnoresLogPosition(ElectionProtocol):
    def _log_up_to_date(self, request: messages.VoteRequest) -> bool:
        return True


@dataclass(frozen=True)
class Mutant:
    """A protocol or service without one safety rule, and the violation that results.

    `prefix` are patterns of the first steps, which lead to a state in which the rule matters; from
    there the search finds a shortest trace. `host_options` turn off rules of the service around
    the protocol.
    """

    expected_violation: str
    limits: ElectionLimits
    prefix: list[str]
    protocol_factory: Callable[..., ElectionProtocol] = ElectionProtocol
    host_options: dict[str, bool] = field(default_factory=dict)


def limits(**changes: Any) -> ElectionLimits:
    return ElectionLimits(**{**vars(MINIMAL_LIMITS), **changes})


TIME_PASSES = "time passes$"


def vote_steps(candidate: str, voter: str, term: int, pre_vote: bool = True) -> list[str]:
    """A candidate requests a pre-vote and a vote from one voter, which grants both."""
    pre_vote_steps = [
        f"{candidate} acts on its time",
        rf"{candidate}'s VoteRequest \(pre-vote\).* for {voter} arrives$",
        rf"{voter}'s VoteResponse \(pre-vote\).* for {candidate} arrives$",
    ]
    return [
        *(pre_vote_steps if pre_vote else []),
        f"{candidate}'s VoteRequest of term {term} for {voter} arrives$",
        f"{voter}'s VoteResponse of term {term} for {candidate} arrives$",
    ]


def replication_steps(leader: str, follower: str) -> list[str]:
    """The follower reports its log position, and then receives the leader's first entry."""
    return [
        f"{leader}'s (AppendEntries|Snapshot).* for {follower} arrives$",
        f"{follower}'s AppendResponse.* for {leader} arrives$",
    ] * 2


LEASE_STEPS = [
    TIME_PASSES,
    "a acts on its time",
    "a's AppendEntries.* for c arrives$",
    "c's AppendResponse.* for a arrives$",
]  # c has renewed its lease promise to a
DRAIN_STEPS = [
    "a appends the entry drain",
    "a's AppendEntries.* for b arrives$",
    "b's AppendResponse.* for a arrives$",
]

MUTANTS = {
    "votes twice": Mutant(
        "two leaders in one term",
        limits(),
        [
            *[TIME_PASSES] * 3,
            "b acts on its time",
            *vote_steps("c", "a", 2)[:2],
            *vote_steps("b", "a", 2)[1:3],
            *vote_steps("c", "a", 2)[2:3],
            *vote_steps("b", "a", 2, False),
        ],
        VotesTwice,
    ),
    "forgets votes": Mutant(
        "two leaders in one term",
        limits(restarts=1),
        [
            *[TIME_PASSES] * 3,
            "a acts on its time",
            *[TIME_PASSES] * 2,
            *vote_steps("a", "c", 2)[:3],
            *vote_steps("b", "c", 2),
            "c restarts",
            *[TIME_PASSES] * 3,
        ],
        ForgetsVotes,
    ),
    "ignores promises": Mutant(
        "hold the lease at one time",
        limits(),
        [*LEASE_STEPS, *LEASE_STEPS, TIME_PASSES, *vote_steps("b", "c", 2)],
        IgnoresLeasePromises,
    ),
    "takes late transfers": Mutant(
        "hold the lease at one time",
        limits(terms=3, transfers=1, duplications=1),
        [
            "a transfers leadership to b",
            "a's TransferLeadership.* arrives, and will again",
            *vote_steps("b", "c", 2, False),
            *replication_steps("b", "c"),
            *[TIME_PASSES] * 3,
            "b acts on its time",
            *vote_steps("c", "a", 3),
            *replication_steps("c", "a"),
            *replication_steps("c", "b"),
            "a's TransferLeadership.* arrives$",
        ],
        AcceptsStaleTransfers,
    ),
    "forgets promises": Mutant(
        "hold the lease at one time",
        limits(restarts=1),
        [*LEASE_STEPS, *LEASE_STEPS, TIME_PASSES, "c restarts", *vote_steps("b", "c", 2)],
        ForgetsPromises,
    ),
    "counts leases from answers": Mutant(
        "hold the lease at one time",
        limits(),
        [*LEASE_STEPS[:3], *[TIME_PASSES] * 3, *vote_steps("b", "c", 2)],
        CountsLeaseFromResponse,
    ),
    "ignores clock drift": Mutant(
        "hold the lease at one time",
        limits(missed_ticks=1),
        [*LEASE_STEPS, "time passes, and a's clock", *[TIME_PASSES] * 2, *vote_steps("b", "c", 2)],
        IgnoresClockDrift,
    ),
    "ignores log positions": Mutant(
        "holds the lease without the entry of a drain",
        limits(entries=(DRAIN_ENTRY,)),
        [
            *DRAIN_STEPS,
            "a orders proxy 0: drain",
            "a's order.* arrives$",
            *[TIME_PASSES] * 3,
            *vote_steps("c", "b", 2),
        ],
        IgnoresLogPosition,
    ),
    "counts recovering votes": Mutant(
        "holds the lease without the entry of a drain",
        limits(entries=(DRAIN_ENTRY,), restarts=1),
        [
            *DRAIN_STEPS,
            "a orders proxy 0: drain",
            "a's order.* arrives$",
            "b restarts",
            *[TIME_PASSES] * 3,
            *vote_steps("c", "b", 2),
        ],
        CountsVotesOfRecoveringMembers,
    ),
    "no fencing": Mutant(
        "accepts orders of a in term 1 after b in term 2",
        limits(entries=(DRAIN_ENTRY,)),
        [
            *DRAIN_STEPS,
            "a orders proxy 0: drain",
            *[TIME_PASSES] * 3,
            *vote_steps("b", "c", 2),
            *replication_steps("b", "c"),
            "b orders proxy 0: drain",
        ],
        host_options={"fenced": False},
    ),
    "no waiting for commits, a drain": Mutant(
        "holds the lease without the entry of a drain",
        limits(entries=(DRAIN_ENTRY,)),
        [
            "a appends the entry drain",
            "a orders proxy 0: drain",
            "a's order.* arrives$",
            *[TIME_PASSES] * 3,
            *vote_steps("b", "c", 2),
        ],
        host_options={"wait_for_commit": False},
    ),
    "no waiting for commits, an attempt": Mutant(
        "allowed twice",
        limits(entries=(ATTEMPT_ENTRY,)),
        [
            "a appends the entry try",
            "a orders proxy 0: try",
            "a's order.* arrives$",
            *[TIME_PASSES] * 3,
            *vote_steps("b", "c", 2),
            *replication_steps("b", "c"),
        ],
        host_options={"wait_for_commit": False},
    ),
}
