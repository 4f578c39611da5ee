"""The protocol without the model checker: random messages, and reports of the failure detector."""

from random import Random

from dunlinlug.fleet.election import messages
from dunlinlug.fleet.election.protocol import ElectionProtocol
from tests.fleet.election.random_messages import random_message


def test_random_messages_never_lower_the_term_nor_give_two_votes_in_one() -> None:
    """Messages of any kind, term and sender at any time also raise no exception."""
    for seed in range(200):
        rng, now = Random(seed), 0.0
        persisted = messages.Persist(0, "", messages.VoterSet(1, ("a", "b", "c")))
        protocol = ElectionProtocol("a", persisted, now, 1.0, 0.2, 0.02, 5.0, rng.uniform)
        votes: dict[int, set[str]] = {}
        term = 0
        for _ in range(200):
            now += rng.choice([0.0, 0.1, 0.7])
            is_tick = rng.random() < 0.3
            orders = protocol.tick(now) if is_tick else protocol.receive(now, random_message(rng))
            for order in orders:
                if isinstance(order, messages.Persist) and order.voted_for:
                    votes.setdefault(order.term, set()).add(order.voted_for)
                if isinstance(order, messages.SnapshotNeeded):
                    assert (
                        protocol.send_snapshot(now, order.recipient, b"") or not protocol.is_leader
                    )
            assert protocol.term >= term
            term = protocol.term
        assert all(len(candidates) == 1 for candidates in votes.values()), (seed, votes)


def follower_of(leader: str, member: str, term: int) -> ElectionProtocol:
    """A member of five that received its leader's heartbeat at 5.0, with a lease of one second."""
    voter_set = messages.VoterSet(1, ("a", "b", "c", "d", "e"))
    persisted = messages.Persist(term, "", voter_set)
    protocol = ElectionProtocol(
        member, persisted, 0.0, 1.0, 0.2, 0.02, 10.0, lambda low, high: high
    )
    protocol.receive(5.0, messages.AppendEntries(term, leader, 1.0, voter_set, (term, 1), ()))
    return protocol


def test_suspicion_of_the_leader_starts_staggered_elections_that_keep_lease_promises() -> None:
    first_candidates = list[str]()
    for term in range(1, 6):
        election_times = dict[str, float]()
        for member in "abcde":
            protocol = follower_of("c", member, term)
            before = protocol.election_at
            protocol.leader_suspected(5.5, "d", set("abce"))
            assert protocol.election_at == before, "not our leader"
            protocol.leader_suspected(5.5, "c", set("abde"))
            election_times[member] = protocol.election_at
            if member != "c":
                assert protocol.election_at >= protocol.promised_until == 6.0
                assert protocol.tick(5.9) == []
                assert protocol.tick(protocol.election_at), "starts its election after its promise"
        candidates = sorted((at, member) for member, at in election_times.items() if member != "c")
        assert [round(at - 6.0, 3) for at, _ in candidates] == [0.0, 0.1, 0.2, 0.25], (
            "the last one at its regular election timeout"
        )
        first_candidates.append(candidates[0][1])
    assert len(set(first_candidates)) == 4, "the first candidate rotates with the term"
