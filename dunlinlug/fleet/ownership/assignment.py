"""Who is to own what: assigning lost shards, rebalancing, and who is stable enough for it.

Decisions, free of I/O. What is owned stays where it is as long as its owner lives: only what has
lost its owner is assigned anew, to whoever owns least, and a member that joins gets its share by as
few moves as there can be. So once all moves are done, no member that is present owns more than one
shard more than another.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

MAX_CONCURRENT_MOVES = 16  # shards on their way between owners; the others are worked on meanwhile
# Leases that a member has to be present without a break before it is assigned what others own ...
MIN_STABLE_LEASES = 2.0
# ... doubled by each break up to this, so that a flapping member is not assigned shards each
# time ...
MAX_STABLE_LEASES = 64.0
# ... and halved after so many times as long without a break.
STABILITY_DECAY_PERIODS = 8.0


def assign_orphans(
    owners: Sequence[str], departed: Collection[str], eligible: Collection[str]
) -> list[tuple[int, str]]:
    """Assign the shards of departed owners, each to the eligible member that owns least by then.

    Args:
        owners: by shard; an empty name is an owner as well, which may be among the departed.
        departed: owners whose shards are free.
        eligible: members that may be assigned shards.

    Returns:
        Shards with their new owners, by shard.
    """
    shards_owned = _count_owned(owners, eligible)
    assignments = []
    for shard, owner in enumerate(owners):
        if owner in departed and shards_owned:
            target = _least_loaded(shards_owned)
            shards_owned[target] += 1
            assignments.append((shard, target))
    return assignments


def rebalance(
    owners: Sequence[str], revoking: Mapping[int, str], eligible: Collection[str]
) -> list[tuple[int, str]]:
    """Shards to move, with their targets, until nobody owns over one more than another.

    Args:
        owners: by shard.
        revoking: shards that are on their way to another owner, and to whom.
        eligible: members that may give or get shards.
    """
    expected_owners = [revoking.get(shard, owner) for shard, owner in enumerate(owners)]
    shards_owned = _count_owned(expected_owners, eligible)
    moves = dict[int, str]()
    while len(shards_owned) > 1 and len(moves) + len(revoking) < MAX_CONCURRENT_MOVES:
        target = _least_loaded(shards_owned)
        source = max(shards_owned, key=lambda member: (shards_owned[member], member))
        if shards_owned[source] - shards_owned[target] <= 1:
            break
        movable = (
            shard
            for shard, owner in enumerate(owners)
            if owner == source and shard not in revoking and shard not in moves
        )
        shard = next(movable, None)
        if shard is None:
            break
        shards_owned[source] -= 1
        shards_owned[target] += 1
        moves[shard] = target
    return list(moves.items())


def _count_owned(owners: Iterable[str], members: Collection[str]) -> Counter[str]:
    """How many shards each of these members owns, in the order of their names."""
    shards_owned = Counter(dict.fromkeys(sorted(members), 0))
    shards_owned.update(owner for owner in owners if owner in shards_owned)
    return shards_owned


def _least_loaded(shards_owned: Counter[str]) -> str:
    return min(shards_owned, key=lambda member: (shards_owned[member], member))


class StabilityTracker:
    """How long each member has been present without a break, by its renewals.

    Times are seconds on the coordinator's clock; `lease` is seconds.
    """

    def __init__(self, lease: float) -> None:
        self.lease = lease
        self.present_since: dict[str, float] = {}
        self.required_leases: dict[str, float] = {}  # that a member has to be present

    def clone(self) -> "StabilityTracker":
        """An independent copy."""
        duplicate = StabilityTracker(self.lease)
        duplicate.present_since = dict(self.present_since)
        duplicate.required_leases = dict(self.required_leases)
        return duplicate

    def record_renewal(self, member: str, now: float) -> None:
        """A member is present."""
        if member not in self.present_since:
            self.present_since[member] = now
            self.required_leases.setdefault(member, MIN_STABLE_LEASES)
            return
        required = self.required_leases[member]
        decay_time = STABILITY_DECAY_PERIODS * required * self.lease
        if required > MIN_STABLE_LEASES and now - self.present_since[member] >= decay_time:
            self.present_since[member] = now - required * self.lease
            self.required_leases[member] = required / 2

    def record_departure(self, member: str) -> None:
        """A member's lease has ended."""
        if self.present_since.pop(member, None) is not None:
            self.required_leases[member] = min(2 * self.required_leases[member], MAX_STABLE_LEASES)

    def is_stable(self, member: str, now: float) -> bool:
        """Whether a member has been present long enough to be assigned what others own."""
        if member not in self.present_since:
            return False
        return now - self.present_since[member] >= self.required_leases[member] * self.lease
