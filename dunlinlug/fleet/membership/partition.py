"""On which side of a network partition a manager is, and what it may do there.

The side is judged by the voters last agreed and not by whoever answers now: a member that is not
heard may be cut off and well. What a smaller side may not do is what rests on a view of the whole
fleet. The safety rules hold for assigned proxies on any side, so that drains, endpoint lists and
proxies without a table are never held up. Free of I/O and time.
"""

import enum
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dunlinlug.fleet.membership.messages import ReachabilityReport

# Probe intervals for which a status must hold before it counts: in a small cluster each member is
# probed about once in them.
DEBOUNCE_INTERVALS = 5.0
# What is missing between two members, as operators are shown it.
NO_ANSWERS = "no answers"
NO_MESSAGES = "no words"


class PartitionStatus(enum.StrEnum):
    """Which part of the voters a manager reaches, itself included; operators see the values."""

    ALL = "all"
    MAJORITY = "most"
    HALF = "half"
    MINORITY = "few"
    ALONE = "alone"


@dataclass(frozen=True)
class PartitionLimits:
    """What a manager may do in a partition status.

    Attributes:
        max_ejected_fraction: Most of the ready weight that may be ejected on own evidence.
        may_start_changes: Whether staged changes may begin that no rule asks for.
        may_ramp_up: Whether the next step of a slow start may be taken.
        may_plan_fleet: Whether work for the whole fleet may be planned.
    """

    max_ejected_fraction: float
    may_start_changes: bool
    may_ramp_up: bool
    may_plan_fleet: bool


# With a majority it is the design's ceiling of a fifth. A half or less may be the side that is cut
# off, and workers that its proxies do not reach may be well: half of the ceiling, then a quarter,
# which still ejects one hung worker of twenty.
LIMITS_BY_STATUS: Mapping[PartitionStatus, PartitionLimits] = {
    PartitionStatus.ALL: PartitionLimits(0.2, True, True, True),
    PartitionStatus.MAJORITY: PartitionLimits(0.2, True, True, True),
    PartitionStatus.HALF: PartitionLimits(0.1, True, False, False),
    PartitionStatus.MINORITY: PartitionLimits(0.05, False, False, False),
    PartitionStatus.ALONE: PartitionLimits(0.05, False, False, False),
}


def partition_status(voters: Collection[str], reachable: Collection[str]) -> PartitionStatus:
    """The status of a manager that reaches these members, itself among them.

    Members that are no voters do not count. A single voter reaches all.
    """
    size = len(set(voters))
    reached_count = len(set(voters) & set(reachable))
    if reached_count == size:
        return PartitionStatus.ALL
    if 2 * reached_count == size:
        return PartitionStatus.HALF
    if 2 * reached_count > size:
        return PartitionStatus.MAJORITY
    if reached_count > 1:
        return PartitionStatus.MINORITY
    return PartitionStatus.ALONE


class Debounced:
    """A status that changes only once another has held for a while: one lost answer is no cut.

    Args:
        initial: The first status.
        now: Time in seconds.
        probe_interval: Seconds; a new status must hold for `DEBOUNCE_INTERVALS` of them.
    """

    def __init__(self, initial: PartitionStatus, now: float, probe_interval: float) -> None:
        self.status = initial
        self.since = now
        self.delay = DEBOUNCE_INTERVALS * probe_interval
        self.candidate = initial
        self.candidate_since = now

    def update(self, now: float, observed: PartitionStatus) -> bool:
        """Take what is observed now; gives whether the status has just changed to it."""
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
    reports: Mapping[str, ReachabilityReport],
    live_members: Collection[str],
) -> str:
    """Whether a member reaches another by its own report: "yes", or what is missing, for people."""
    if observer == subject or subject not in live_members or observer not in live_members:
        return "-"
    missing: list[str] = []
    report = reports.get(observer)
    if report is not None and subject in report.not_answering:
        missing.append(NO_ANSWERS)
    if report is not None and subject in report.silent:
        missing.append(NO_MESSAGES)
    return ", ".join(missing) or "yes"


def connection_summary(
    first: str,
    second: str,
    reports: Mapping[str, ReachabilityReport],
    live_members: Collection[str],
) -> str:
    """What is between two members, by the reports of both, in words for people.

    In touch, cut from each other, a loss of one way or of some messages, or a failure.
    """
    failed = [name for name in (first, second) if name not in live_members]
    if len(failed) == 2:
        return "both have failed"
    if failed:
        return f"{failed[0]} has failed"
    return _live_connection_summary(
        first,
        second,
        reachability(first, second, reports, live_members),
        reachability(second, first, reports, live_members),
    )


def _live_connection_summary(first: str, second: str, forward: str, back: str) -> str:
    """What is between two live members, by what each reports of the other."""
    if forward == "yes" and back == "yes":
        return "in touch"
    first_hears = NO_MESSAGES not in forward
    second_hears = NO_MESSAGES not in back
    if not first_hears and not second_hears:
        return "cut from each other, and alive to others"
    if not second_hears:
        return f"{first} is not heard by {second}"
    if not first_hears:
        return f"{second} is not heard by {first}"
    return "words are lost between them"
