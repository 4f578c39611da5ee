"""A manager's side of a network partition, and what it may do there.

The side is determined by the last agreed voters and not by the members that answer now: a member
whose messages do not arrive may be disconnected and healthy. A smaller side must not act on a view
of the whole fleet. The safety rules apply to assigned proxies on any side: drains, endpoint lists
and tables for proxies without one are never held up. Free of I/O and time.
"""

import enum
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dunlinlug.fleet.membership.messages import ReachabilityReport

# Probe intervals for which a status must hold before it takes effect: in a small cluster each
# member is probed about once in that time.
DEBOUNCE_INTERVALS = 5.0
# What is missing between two members, as shown to operators.
NO_ANSWERS = "no answers"
NO_MESSAGES = "no messages"


class PartitionStatus(enum.StrEnum):
    """The part of the voters that a manager reaches, itself included; operators see the values."""

    ALL = "all"
    MAJORITY = "most"
    HALF = "half"
    MINORITY = "few"
    ALONE = "alone"


@dataclass(frozen=True)
class PartitionLimits:
    """What a manager may do in a partition status.

    Attributes:
        max_ejected_fraction: Most of the ready weight that may be ejected on local evidence.
        may_start_changes: Whether staged changes may start that no safety rule requires.
        may_ramp_up: Whether the next step of a slow start may be taken.
        may_plan_fleet: Whether work for the whole fleet may be planned.
    """

    max_ejected_fraction: float
    may_start_changes: bool
    may_ramp_up: bool
    may_plan_fleet: bool


# A majority has the design's limit of a fifth. A smaller side may be the disconnected one, and
# workers that its proxies do not reach may be healthy: half of the voters have half of the limit,
# fewer a quarter, which still ejects one hung worker of twenty.
LIMITS_BY_STATUS: Mapping[PartitionStatus, PartitionLimits] = {
    PartitionStatus.ALL: PartitionLimits(0.2, True, True, True),
    PartitionStatus.MAJORITY: PartitionLimits(0.2, True, True, True),
    PartitionStatus.HALF: PartitionLimits(0.1, True, False, False),
    PartitionStatus.MINORITY: PartitionLimits(0.05, False, False, False),
    PartitionStatus.ALONE: PartitionLimits(0.05, False, False, False),
}


def partition_status(voters: Collection[str], reachable: Collection[str]) -> PartitionStatus:
    """Return the status of a manager that reaches these members, itself among them.

    Members that are not voters do not count. A single voter reaches all.
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


class DebouncedStatus:
    """A status that changes only after another has held for a while: one lost ack changes nothing.

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
        """Record the observed status; returns whether the debounced status has changed now."""
        if observed != self.candidate:
            self.candidate = observed
            self.candidate_since = now
        if observed == self.status or now < self.candidate_since + self.delay:
            return False
        self.status = observed
        self.since = now
        return True


def reachability_summary(
    observer: str,
    subject: str,
    reports: Mapping[str, ReachabilityReport],
    live_members: Collection[str],
) -> str:
    """Describe whether the observer itself reports to reach the subject: "yes", or what fails."""
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
    """Describe the connection between two members, by the reports of both.

    It may be intact, broken in both directions or in one, lossy, or a member may have failed.
    """
    failed = [name for name in (first, second) if name not in live_members]
    if len(failed) == 2:
        return "both have failed"
    if failed:
        return f"{failed[0]} has failed"
    return _live_connection_summary(
        first,
        second,
        reachability_summary(first, second, reports, live_members),
        reachability_summary(second, first, reports, live_members),
    )


def _live_connection_summary(first: str, second: str, forward: str, back: str) -> str:
    """Describe the connection between two live members, by what each reports of the other."""
    if forward == "yes" and back == "yes":
        return "in touch"
    first_receives = NO_MESSAGES not in forward
    second_receives = NO_MESSAGES not in back
    if not first_receives and not second_receives:
        return "disconnected from each other, both alive to others"
    if not second_receives:
        return f"{second} receives no messages from {first}"
    if not first_receives:
        return f"{first} receives no messages from {second}"
    return "some messages between them are lost"
