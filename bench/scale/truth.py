"""Ground truth of a run: which members were down or partitioned when, and which verdicts are false.

A verdict is a member's report that another one has failed. Free of I/O. Times are seconds of the
run's clock from the start of the measured span. A member counts as down from the stop command until
it confirms that it runs again. Verdicts may still arrive for some time after the end of a fault.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf, log2, log10
from typing import Any

from dunlinlug.fleet.membership.suspicions import MAX_SUSPICION_INTERVALS

MAX_SHOWN = 10  # false verdicts listed in a result


def grace_seconds(beat: float, size: int) -> float:
    """Return the seconds after the end of a fault in which a verdict may still arrive.

    Covers an unconfirmed suspicion of a member with reduced local health, and then the gossip
    rounds until all members receive the verdict.
    """
    return beat * (
        1.5 * MAX_SUSPICION_INTERVALS * max(1.0, log10(max(size, 1))) + 2 * log2(size + 1)
    )


@dataclass(frozen=True)
class Verdict:
    """At `at`, the member `by` considered `of` failed."""

    at: float
    by: str
    of: str


@dataclass
class Interval:
    """An interval of time; without an end while it lasts."""

    begin: float
    end: float = inf


@dataclass
class Timeline:
    """The faults of a run: members that were down, and partitions."""

    down_intervals: dict[str, list[Interval]] = field(default_factory=dict)
    # Planned leaves: name of the member, and start of its down time.
    planned: set[tuple[str, float]] = field(default_factory=set)
    # Partitions, with the members on the smaller side.
    partitions: list[tuple[Interval, frozenset[str]]] = field(default_factory=list)

    def down(self, at: float, names: Iterable[str], planned: bool = False) -> None:
        """Record that members stopped; `planned` if they left first."""
        for name in names:
            intervals = self.down_intervals.setdefault(name, [])
            if intervals and intervals[-1].end == inf:
                continue  # already down because of an overlapping fault
            intervals.append(Interval(at))
            if planned:
                self.planned.add((name, at))

    def up(self, at: float, names: Iterable[str]) -> None:
        """Record that members run again."""
        for name in names:
            intervals = self.down_intervals.get(name)
            if intervals and intervals[-1].end == inf:
                intervals[-1].end = at

    def cut(self, at: float, names: Iterable[str]) -> None:
        """Record the start of a partition with these members on the smaller side."""
        self.partitions.append((Interval(at), frozenset(names)))

    def heal(self, at: float, names: Iterable[str]) -> None:
        """Record the end of the partition of these members."""
        smaller_side = frozenset(names)
        for interval, members in self.partitions:
            if members == smaller_side and interval.end == inf:
                interval.end = at

    def last_fault_ended_at(self) -> float:
        """Return when the last fault ended; infinite while one lasts."""
        ends = [
            interval.end for intervals in self.down_intervals.values() for interval in intervals
        ]
        return max([0.0, *ends, *(interval.end for interval, _ in self.partitions)])

    def is_down(self, name: str, at: float) -> bool:
        """Return whether the member was down at this time."""
        return any(
            interval.begin <= at < interval.end for interval in self.down_intervals.get(name, ())
        )

    def explains(self, verdict: Verdict, late_seconds: float) -> bool:
        """Return whether `of` was down or partitioned from `by`.

        For `late_seconds` after the end of a partition any member may still pass on verdicts from
        its other side.
        """
        was_down = any(
            interval.begin <= verdict.at <= interval.end + late_seconds
            for interval in self.down_intervals.get(verdict.of, ())
        )
        return was_down or any(
            interval.end <= verdict.at <= interval.end + late_seconds
            or interval.begin <= verdict.at < interval.end
            and (verdict.by in smaller_side) != (verdict.of in smaller_side)
            for interval, smaller_side in self.partitions
        )


def false_verdicts(
    verdicts: Iterable[Verdict], timeline: Timeline, late_seconds: float
) -> list[Verdict]:
    """Return the verdicts on members that were up and reachable."""
    return [
        verdict
        for verdict in verdicts
        if verdict.by != verdict.of and not timeline.explains(verdict, late_seconds)
    ]


def detection_times(
    verdicts: Sequence[Verdict], timeline: Timeline, all_members: Iterable[str]
) -> dict[str, Any]:
    """Return the detection times of members that failed without leaving.

    Seconds until each other member reports the failure (`each`), until the last does (`last`), and
    the number of reports that were not made before the member was back (`missing`).
    """
    first = dict[tuple[str, str, float], float]()
    intervals = {
        name: [interval for interval in found if (name, interval.begin) not in timeline.planned]
        for name, found in timeline.down_intervals.items()
    }
    for verdict in sorted(verdicts, key=lambda verdict: verdict.at):
        for interval in intervals.get(verdict.of, ()):
            if interval.begin <= verdict.at < interval.end:
                first.setdefault(
                    (verdict.of, verdict.by, interval.begin), verdict.at - interval.begin
                )
    each, last, missing = list[float](), list[float](), 0
    observers = sorted(all_members)
    for name, found in sorted(intervals.items()):
        for interval in found:
            expected_observers = [
                by for by in observers if by != name and not _was_affected(timeline, by, interval)
            ]
            delays = [
                first[name, by, interval.begin]
                for by in expected_observers
                if (name, by, interval.begin) in first
            ]
            each += delays
            missing += len(expected_observers) - len(delays)
            last += [max(delays)] if delays and len(delays) == len(expected_observers) else []
    return {"each": each, "last": last, "missing": missing}


def _was_affected(timeline: Timeline, name: str, interval: Interval) -> bool:
    """Return whether the member itself was affected by a fault, so that no verdict is expected."""
    own = any(
        s.begin < interval.end and s.end > interval.begin
        for s in timeline.down_intervals.get(name, ())
    )
    return own or any(
        s.begin < interval.end and s.end > interval.begin for s, _ in timeline.partitions
    )


def out_of_order_followers(indexes: Mapping[str, Sequence[int]]) -> list[str]:
    """Return followers of the list that received an older version after a newer one."""
    return sorted(
        name
        for name, taken in indexes.items()
        if any(b <= a for a, b in zip(taken, taken[1:], strict=False))
    )


def outdated_followers(last: Mapping[str, tuple[int, str]], index: int, digest: str) -> list[str]:
    """Return followers whose list at the end differs from discovery's."""
    return sorted(name for name, held in last.items() if held != (index, digest))


def propagation_seconds(
    changes: Mapping[int, float], taken: Mapping[str, Sequence[tuple[int, float]]]
) -> list[float]:
    """Return for each change of the list the seconds until the last follower had it or a later one.

    Changes that some follower never received are left out; `outdated_followers` reports those.
    """
    found = []
    for index, at in sorted(changes.items()):
        times = [
            next((when for held, when in versions if held >= index), inf)
            for versions in taken.values()
        ]
        if times and max(times) < inf:
            found.append(max(times) - at)
    return found


def format_verdicts(verdicts: Sequence[Verdict]) -> list[dict[str, Any]]:
    """Return the first verdicts in the format of the result."""
    return [
        {"at": round(verdict.at, 2), "by": verdict.by, "of": verdict.of}
        for verdict in verdicts[:MAX_SHOWN]
    ]
