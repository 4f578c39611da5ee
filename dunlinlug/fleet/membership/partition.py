"""On which side of a cut we are, and what a manager does there. Decisions, free of I/O and time.

A side counts by the set last agreed, not by whoever answers now: who is not heard may be cut off
and well. What is narrowed is what rests on a view of the whole fleet; the five rules are kept for
the proxies that are held, on any standing, so drains, lists and joiners without a table are never
held up.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dunlinlug.fleet.membership.messages import ReachabilityReport

# beats that a standing holds before it is ours: each member of a small set is probed about once in
# them
DEBOUNCE_INTERVALS = 5.0
ALL = "all"
MAJORITY = "most"
HALF = "half"
MINORITY = "few"
ALONE = "alone"


@dataclass(frozen=True)
class PartitionLimits:
    """`trust`: most of the ready weight that may be lost to our own evidence on workers. `begin`:
    staged changes that no rule asks for; `raises`: the next step of a ramp; `plans`: work for
    the whole fleet.
    """

    max_ejected_fraction: float
    may_start_changes: bool
    may_ramp_up: bool
    may_plan_fleet: bool


# With most of us, the design's ceiling of a fifth. In a half or less we may be the side that is cut
# off, and workers that our proxies do not reach may be well: half of it, then a quarter, which
# still takes out one hung of twenty.
LIMITS_BY_STATUS: Mapping[str, PartitionLimits] = {
    ALL: PartitionLimits(0.2, True, True, True),
    MAJORITY: PartitionLimits(0.2, True, True, True),
    HALF: PartitionLimits(0.1, True, False, False),
    MINORITY: PartitionLimits(0.05, False, False, False),
    ALONE: PartitionLimits(0.05, False, False, False),
}


def partition_status(voters: Collection[str], reachable: Collection[str]) -> str:
    """By the set last agreed, and those of it that we reach, ourselves among them. A set of one is
    whole by itself.
    """
    size = len(set(voters))
    reached_count = len(set(voters) & set(reachable))
    if reached_count == size:
        return ALL
    if 2 * reached_count == size:
        return HALF
    if 2 * reached_count > size:
        return MAJORITY
    return MINORITY if reached_count > 1 else ALONE


class Debounced:
    """Our standing, which is another once that has held: a lost answer or two is no cut. Times are
    seconds.
    """

    def __init__(self, initial: str, now: float, probe_interval: float) -> None:
        self.status = initial
        self.since = now
        self.delay = DEBOUNCE_INTERVALS * probe_interval
        self.candidate = initial
        self.candidate_since = now

    def update(self, now: float, observed: str) -> bool:
        """Whether ours has just changed to what is found."""
        if observed != self.candidate:
            self.candidate = observed
            self.candidate_since = now
        if observed == self.status or now < self.candidate_since + self.delay:
            return False
        self.status = observed
        self.since = now
        return True


def reachability(
    observer: str,
    subject: str,
    rows: Mapping[str, ReachabilityReport],
    live_members: Collection[str],
) -> str:
    """What `a` has of `b`, as a told it: yes, or what is missing."""
    report = rows.get(observer)
    if observer == subject or subject not in live_members or observer not in live_members:
        return "-"
    reports = (("answers", report.not_answering), ("words", report.not_heard)) if report else ()
    missing = [word for word, names in reports if subject in names]
    return "yes" if not missing else "no " + ", no ".join(missing)


def connection_summary(
    first: str, second: str, rows: Mapping[str, ReachabilityReport], live_members: Collection[str]
) -> str:
    """What is between two: nothing, a cut, a loss one way, or a death; by what both and others
    tell.
    """
    if first not in live_members or second not in live_members:
        return (
            f"{second if first in live_members else first} has failed"
            if {first, second} & set(live_members)
            else "both have failed"
        )
    forward = reachability(first, second, rows, live_members)
    back = reachability(second, first, rows, live_members)
    if forward == back == "yes":
        return "in touch"
    if "words" in forward and "words" in back:
        return "cut from each other, and alive to others"
    if "words" in back:
        return f"{first} is not heard by {second}"
    if "words" in forward:
        return f"{second} is not heard by {first}"
    return "words are lost between them"
