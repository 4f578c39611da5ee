"""Assignment of orphaned shards, and rebalancing."""

from collections import Counter
from math import ceil
from random import Random

import pytest

from dunlinlug.fleet.ownership import assignment


@pytest.mark.parametrize("seed", range(8))
def test_assignment_is_balanced_with_few_moves(seed: int) -> None:
    rng = Random(seed)
    members = [f"m{number}" for number in range(rng.randint(2, 7))]
    owners = [rng.choice([*members, ""]) for _ in range(rng.choice([8, 64, 256]))]
    departed = {"", *rng.sample(members, rng.randint(0, len(members) - 1))}
    eligible = [member for member in members if member not in departed]
    before = list(owners)
    for shard, target in assignment.assign_orphans(owners, departed, eligible):
        assert owners[shard] in departed
        owners[shard] = target
    assert not set(owners) & departed
    orphaned = sum(owner in departed for owner in before)
    assert sum(old != new for old, new in zip(before, owners, strict=True)) == orphaned
    share = ceil(len(owners) / len(eligible))
    least_moves = sum(max(0, owned - share) for owned in Counter(owners).values())
    moved = 0
    while moves := assignment.rebalance(owners, {}, eligible):
        assert len(moves) <= assignment.MAX_CONCURRENT_MOVES
        for shard, target in moves:
            owners[shard] = target
            moved += 1
    shards_owned = [owners.count(member) for member in eligible]
    assert max(shards_owned) - min(shards_owned) <= 1
    # Members above the maximum share must give up the excess, which takes `least_moves`. Evening
    # out the members below it takes at most one more move for each member.
    assert least_moves <= moved <= least_moves + len(eligible)
