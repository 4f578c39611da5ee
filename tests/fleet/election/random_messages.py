"""Random messages of every kind, for tests of the codec and of the protocol."""

from random import Random

from dunlinlug.fleet.election import messages


def random_message(rng: Random) -> messages.Message:
    term = rng.randrange(9)
    sender = rng.choice("abc")
    position = (rng.randrange(9), rng.randrange(99))
    voter_set = messages.VoterSet(rng.randrange(3), ("a", "b", "c"))
    entries = tuple(rng.randbytes(rng.randrange(9)) for _ in range(rng.randrange(3)))
    return rng.choice(
        [
            messages.VoteRequest(term, sender, position, rng.random() < 0.5, rng.random() < 0.5),
            messages.VoteResponse(
                term, sender, rng.randrange(9), rng.random() < 0.5, rng.random() < 0.5, False
            ),
            messages.AppendEntries(term, sender, rng.random(), voter_set, position, entries),
            messages.Snapshot(term, sender, 1.5, voter_set, position, b"xyz"),
            messages.AppendResponse(term, sender, 0.5, position, rng.random() < 0.5),
            messages.TransferLeadership(term, sender),
        ]
    )
