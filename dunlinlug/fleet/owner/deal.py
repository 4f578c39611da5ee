"""Who is to own what: dealing, levelling, and who is steady enough to be dealt anything. Decisions, free of I/O.

What is owned stays where it is as long as its owner lives: only what has lost its owner is dealt anew, to whoever has
least, and a member that comes is levelled in by as few moves as there can be. So none of the members that are there has
over one slot more than another, once all moves are done.
"""

from collections import Counter
from collections.abc import Collection, Sequence

AT_ONCE = (
    16  # slots on their way from owner to owner at one time: the others are worked on meanwhile
)
SETTLE = 2.0  # leases that a member has to be there without a break before it is dealt what others own ...
LONGEST = 64.0  # ... doubled by each break up to this, so that one that comes and goes is not dealt to each time ...
FORGET = 8.0  # ... and halved by so many times as long without one


def orphans(
    owners: Sequence[str], gone: Collection[str], able: Collection[str]
) -> list[tuple[int, str]]:
    """Slots whose owner is gone (nobody, where that is named among them), to whoever has least then."""
    load = Counter({member: 0 for member in sorted(able)})
    load.update(owner for owner in owners if owner in load)
    dealt = []
    for slot, owner in enumerate(owners):
        if owner in gone and load:
            to = min(load, key=lambda member: (load[member], member))
            load[to] += 1
            dealt.append((slot, to))
    return dealt


def level(
    owners: Sequence[str], closing: Collection[int], able: Collection[str], targets: dict[int, str]
) -> list[tuple[int, str]]:
    """Slots to be given up to others, until nobody has over one more than another; `targets` are those on their way."""
    load = Counter({member: 0 for member in sorted(able)})
    load.update(
        targets.get(slot, owner)
        for slot, owner in enumerate(owners)
        if targets.get(slot, owner) in load
    )
    moves = list[tuple[int, str]]()
    while len(load) > 1 and len(moves) + len(closing) < AT_ONCE:
        least, most = min(load, key=lambda m: (load[m], m)), max(load, key=lambda m: (load[m], m))
        if load[most] - load[least] <= 1:
            break
        taken = {slot for slot, _ in moves}
        slot = next(
            (
                slot
                for slot, owner in enumerate(owners)
                if owner == most and slot not in closing and slot not in taken
            ),
            None,
        )
        if slot is None:
            break
        load[most], load[least] = load[most] - 1, load[least] + 1
        moves.append((slot, least))
    return moves


class Steady:
    """How long each member has been there without a break, by its renewals. Times are seconds."""

    def __init__(self, lease: float) -> None:
        self.lease = lease
        self.since: dict[str, float] = {}
        self.wait: dict[str, float] = {}  # leases that it has to be there

    def clone(self) -> "Steady":
        made = Steady(self.lease)
        made.since, made.wait = dict(self.since), dict(self.wait)
        return made

    def seen(self, member: str, now: float) -> None:
        if member not in self.since:
            self.since[member] = now
            self.wait.setdefault(member, SETTLE)
        elif (
            self.wait[member] > SETTLE
            and now - self.since[member] >= FORGET * self.wait[member] * self.lease
        ):
            self.since[member], self.wait[member] = (
                now - self.wait[member] * self.lease,
                self.wait[member] / 2,
            )

    def gone(self, member: str) -> None:
        if self.since.pop(member, None) is not None:
            self.wait[member] = min(2 * self.wait[member], LONGEST)

    def able(self, member: str, now: float) -> bool:
        return member in self.since and now - self.since[member] >= self.wait[member] * self.lease
