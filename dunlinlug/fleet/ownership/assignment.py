"""Assigns shards to members: orphaned shards, rebalancing, and the stability of members.

Free of I/O. A shard stays with its owner as long as the owner is present. Only orphaned shards are
reassigned, each to the member with the fewest shards, and a member that joins gets its share by the
fewest moves possible. Once all moves are done, the shard counts of any two present members differ
by at most one.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

# Shards that move between owners at one time; work on all other shards continues meanwhile.
MAX_CONCURRENT_MOVES = 16
# A member must be present for this many lease durations without interruption before it is assigned
# shards that other members own.
MIN_STABLE_LEASES = 2.0
# Each interruption doubles the required time up to this number of leases, so that a flapping member
# is not assigned shards each time it returns.
MAX_STABLE_LEASES = 64.0
# The required time is halved after the member was present for this many times the required time.
STABILITY_DECAY_PERIODS = 8.0


def assign_orphans(
    owners: Sequence[str], departed: Collection[str], eligible: Collection[str]
) -> list[tuple[int, str]]:
    """Assigns each shard of a departed owner to the eligible member with the fewest shards so far.

    Args:
        owners: The owner of each shard. The empty name of unowned shards counts as an owner and may
            be among the departed.
        departed: Owners whose shards are free.
        eligible: Members that may be assigned shards.

    Returns:
        Shards with their new owners, in the order of the shards.
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
    """Returns shards to move, with their targets, until shard counts differ by at most one.

    Args:
        owners: The owner of each shard.
        revoking: Shards that are already moving, with their targets.
        eligible: Members that may give up or receive shards.
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
    """Counts the shards of each of these members, in the order of their names."""
    shards_owned = Counter(dict.fromkeys(sorted(members), 0))
    shards_owned.update(owner for owner in owners if owner in shards_owned)
    return shards_owned


def _least_loaded(shards_owned: Counter[str]) -> str:
    return min(shards_owned, key=lambda member: (shards_owned[member], member))


class StabilityTracker:
    """Tracks by lease renewals how long each member has been present without interruption.

    Times are seconds on the coordinator's clock.

    Attributes:
        lease: The lease duration in seconds.
        present_since: When each present member's uninterrupted presence began.
        required_leases: How many lease durations each member must be present to count as stable.
    """

    def __init__(self, lease: float) -> None:
        self.lease = lease
        self.present_since: dict[str, float] = {}
        self.required_leases: dict[str, float] = {}

    def clone(self) -> "StabilityTracker":
        """Returns an independent copy."""
        duplicate = StabilityTracker(self.lease)
        duplicate.present_since = dict(self.present_since)
        duplicate.required_leases = dict(self.required_leases)
        return duplicate

    def record_renewal(self, member: str, now: float) -> None:
        """Records that a member is present."""
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
        """Records that a member's lease has expired."""
        if self.present_since.pop(member, None) is not None:
            self.required_leases[member] = min(2 * self.required_leases[member], MAX_STABLE_LEASES)

    def is_stable(self, member: str, now: float) -> bool:
        """Returns whether a member has been present long enough to get shards of other members."""
        if member not in self.present_since:
            return False
        return now - self.present_since[member] >= self.required_leases[member] * self.lease
