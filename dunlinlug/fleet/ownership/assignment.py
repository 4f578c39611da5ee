"""Who is to own what: dealing, levelling, and who is steady enough to be dealt anything. Decisions,
free of I/O.

What is owned stays where it is as long as its owner lives: only what has lost its owner is dealt
anew, to whoever has least, and a member that comes is levelled in by as few moves as there can be.
So none of the members that are there has over one slot more than another, once all moves are done.
"""

from collections import Counter
from collections.abc import Collection, Sequence

# slots on their way from owner to owner at one time: the others are worked on meanwhile
MAX_CONCURRENT_MOVES = 16
# leases that a member has to be there without a break before it is dealt what others own ...
MIN_STABLE_LEASES = 2.0
# ... doubled by each break up to this, so that one that comes and goes is not dealt to each time
# ...
MAX_STABLE_LEASES = 64.0
STABILITY_DECAY_PERIODS = 8.0  # ... and halved by so many times as long without one


def assign_orphans(
    owners: Sequence[str], departed: Collection[str], eligible: Collection[str]
) -> list[tuple[int, str]]:
    """Slots whose owner is gone (nobody, where that is named among them), to whoever has least
    then.
    """
    load = Counter(dict.fromkeys(sorted(eligible), 0))
    load.update(owner for owner in owners if owner in load)
    assignments = []
    for shard, owner in enumerate(owners):
        if owner in departed and load:
            target = min(load, key=lambda member: (load[member], member))
            load[target] += 1
            assignments.append((shard, target))
    return assignments


def rebalance(
    owners: Sequence[str],
    revoking: Collection[int],
    eligible: Collection[str],
    targets: dict[int, str],
) -> list[tuple[int, str]]:
    """Slots to be given up to others, until nobody has over one more than another; `targets` are
    those on their way.
    """
    load = Counter(dict.fromkeys(sorted(eligible), 0))
    load.update(
        targets.get(shard, owner)
        for shard, owner in enumerate(owners)
        if targets.get(shard, owner) in load
    )
    moves = list[tuple[int, str]]()
    while len(load) > 1 and len(moves) + len(revoking) < MAX_CONCURRENT_MOVES:
        least_loaded = min(load, key=lambda m: (load[m], m))
        most_loaded = max(load, key=lambda m: (load[m], m))
        if load[most_loaded] - load[least_loaded] <= 1:
            break
        chosen = {shard for shard, _ in moves}
        shard = next(
            (
                shard
                for shard, owner in enumerate(owners)
                if owner == most_loaded and shard not in revoking and shard not in chosen
            ),
            None,
        )
        if shard is None:
            break
        load[most_loaded], load[least_loaded] = load[most_loaded] - 1, load[least_loaded] + 1
        moves.append((shard, least_loaded))
    return moves


class StabilityTracker:
    """How long each member has been there without a break, by its renewals. Times are seconds."""

    def __init__(self, lease: float) -> None:
        self.lease = lease
        self.present_since: dict[str, float] = {}
        self.required_leases: dict[str, float] = {}  # leases that it has to be there

    def clone(self) -> "StabilityTracker":
        duplicate = StabilityTracker(self.lease)
        duplicate.present_since = dict(self.present_since)
        duplicate.required_leases = dict(self.required_leases)
        return duplicate

    def record_renewal(self, member: str, now: float) -> None:
        if member not in self.present_since:
            self.present_since[member] = now
            self.required_leases.setdefault(member, MIN_STABLE_LEASES)
        elif (
            self.required_leases[member] > MIN_STABLE_LEASES
            and now - self.present_since[member]
            >= STABILITY_DECAY_PERIODS * self.required_leases[member] * self.lease
        ):
            self.present_since[member], self.required_leases[member] = (
                now - self.required_leases[member] * self.lease,
                self.required_leases[member] / 2,
            )

    def record_departure(self, member: str) -> None:
        if self.present_since.pop(member, None) is not None:
            self.required_leases[member] = min(2 * self.required_leases[member], MAX_STABLE_LEASES)

    def is_stable(self, member: str, now: float) -> bool:
        return (
            member in self.present_since
            and now - self.present_since[member] >= self.required_leases[member] * self.lease
        )
