"""On which side of a cut we are, and what a manager does there. Decisions, free of I/O and time.

A side counts by the set last agreed, not by whoever answers now: who is not heard may be cut off and well. What is
narrowed is what rests on a view of the whole fleet; the five rules are kept for the proxies that are held, on any
standing, so drains, lists and joiners without a table are never held up.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dunlinlug.fleet.members.words import Row

HELD = 5.0  # beats that a standing holds before it is ours: each member of a small set is probed about once in them
ALL, MOST, HALF, FEW, ALONE = "all", "most", "half", "few", "alone"


@dataclass(frozen=True)
class Means:
    """`trust`: most of the ready weight that may be lost to our own evidence on workers. `begin`: staged changes that
    no rule asks for; `raises`: the next step of a ramp; `plans`: work for the whole fleet."""

    trust: float
    begin: bool
    raises: bool
    plans: bool


# With most of us, the design's ceiling of a fifth. In a half or less we may be the side that is cut off, and workers
# that our proxies do not reach may be well: half of it, then a quarter, which still takes out one hung of twenty.
MEANS: Mapping[str, Means] = {
    ALL: Means(0.2, True, True, True),
    MOST: Means(0.2, True, True, True),
    HALF: Means(0.1, True, False, False),
    FEW: Means(0.05, False, False, False),
    ALONE: Means(0.05, False, False, False),
}


def standing(roll: Collection[str], touch: Collection[str]) -> str:
    """By the set last agreed, and those of it that we reach, ourselves among them. A set of one is whole by itself."""
    size, reached = len(set(roll)), len(set(roll) & set(touch))
    if reached == size:
        return ALL
    if 2 * reached == size:
        return HALF
    if 2 * reached > size:
        return MOST
    return FEW if reached > 1 else ALONE


class Held:
    """Our standing, which is another once that has held: a lost answer or two is no cut. Times are seconds."""

    def __init__(self, first: str, now: float, beat: float) -> None:
        self.standing, self.since, self.span = first, now, HELD * beat
        self.other, self.other_since = first, now

    def look(self, now: float, found: str) -> bool:
        """Whether ours has just changed to what is found."""
        if found != self.other:
            self.other, self.other_since = found, now
        if found == self.standing or now < self.other_since + self.span:
            return False
        self.standing, self.since = found, now
        return True


def seen(a: str, b: str, rows: Mapping[str, Row], living: Collection[str]) -> str:
    """What `a` has of `b`, as a told it: yes, or what is missing."""
    row = rows.get(a)
    if a == b or b not in living or a not in living:
        return "-"
    told = (("answers", row.unanswered), ("words", row.unheard)) if row else ()
    missing = [word for word, names in told if b in names]
    return "yes" if not missing else "no " + ", no ".join(missing)


def named(a: str, b: str, rows: Mapping[str, Row], living: Collection[str]) -> str:
    """What is between two: nothing, a cut, a loss one way, or a death; by what both and others tell."""
    if a not in living or b not in living:
        return (
            f"{b if a in living else a} has failed" if {a, b} & set(living) else "both have failed"
        )
    to, back = seen(a, b, rows, living), seen(b, a, rows, living)
    if to == back == "yes":
        return "in touch"
    if "words" in to and "words" in back:
        return "cut from each other, and alive to others"
    if "words" in back:
        return f"{a} is not heard by {b}"
    if "words" in to:
        return f"{b} is not heard by {a}"
    return "words are lost between them"
