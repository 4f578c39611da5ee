"""Sums over processes and members by role, and comparison of hollow members with real ones.

Free of I/O.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

FIELDS = ("in", "out", "bytes_in", "bytes_out")
Kinds = dict[str, Counter[str]]
# Fraction of a role's messages from which a kind is compared by itself: rarer ones are noise.
MIN_COMPARED_FRACTION = 0.05
# Queries of discovery, which are not messages between members.
LIST = "list"
# Messages of a kind at the real members from which it is compared: with fewer, a difference of a
# tenth is noise.
MIN_COMPARED_MESSAGES = 200


class Meter:
    """Counts of one process since its start, by kind of message."""

    def __init__(self) -> None:
        self.kinds: Kinds = {}
        self.counts: Counter[str] = Counter()

    def add(self, kind: str, direction: str, size: int) -> None:
        """Count one message of `size` bytes; `direction` is "in" or "out"."""
        totals = self.kinds.setdefault(kind, Counter())
        totals[direction] += 1
        totals[f"bytes_{direction}"] += size

    def snapshot(self) -> dict[str, dict[str, int]]:
        """Return the messages and bytes of each kind, in and out."""
        return {
            kind: {name: totals[name] for name in FIELDS}
            for kind, totals in sorted(self.kinds.items())
        }


def difference(
    after: Mapping[str, Mapping[str, int]], before: Mapping[str, Mapping[str, int]]
) -> dict[str, dict[str, int]]:
    """Return the difference of two snapshots of one meter."""
    return {
        kind: {name: held[name] - before.get(kind, {}).get(name, 0) for name in FIELDS}
        for kind, held in after.items()
    }


def sum_snapshots(meters: Iterable[Mapping[str, Mapping[str, int]]]) -> dict[str, dict[str, int]]:
    """Return the sums over the snapshots of several meters."""
    found: dict[str, dict[str, int]] = {}
    for snapshot in meters:
        for kind, held in snapshot.items():
            sums = found.setdefault(kind, dict.fromkeys(FIELDS, 0))
            for name in FIELDS:
                sums[name] += held[name]
    return dict(sorted(found.items()))


def mirror(held: Mapping[str, int]) -> dict[str, int]:
    """Return the same messages as counted at the other end."""
    return {
        "in": held["out"],
        "out": held["in"],
        "bytes_in": held["bytes_out"],
        "bytes_out": held["bytes_in"],
    }


@dataclass
class Reading:
    """Resource usage that one process reported at one moment.

    `cpu_s`, `control_s` and `kinds` count from its start; `rss_mb` is the current resident memory.
    """

    cpu_s: float
    rss_mb: float
    kinds: Mapping[str, Mapping[str, int]]
    control_s: float = 0.0
    counts: Mapping[str, int] = field(default_factory=dict)


@dataclass
class Role:
    """Totals of the processes of one role over the measured interval."""

    processes: int = 0
    members: int = 0
    cpu_s: float = 0.0
    control_s: float = 0.0
    rss_mb: float = 0.0
    kinds: list[Mapping[str, Mapping[str, int]]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    queues: Counter[str] = field(default_factory=Counter)  # longest length seen, by name

    def add(self, before: Reading, after: Reading, members: int) -> None:
        """Add a process by its readings at the begin and the end of the interval."""
        self.processes += 1
        self.members += members
        self.cpu_s += after.cpu_s - before.cpu_s
        self.control_s += after.control_s - before.control_s
        self.rss_mb += after.rss_mb
        self.kinds.append(difference(after.kinds, before.kinds))
        for name, count in after.counts.items():
            self.counts[name] += count - before.counts.get(name, 0)

    def queue(self, lengths: Mapping[str, int]) -> None:
        """Keep the longest length seen of each queue."""
        for name, length in lengths.items():
            self.queues[name] = max(self.queues[name], length)

    def figures(self, span: float) -> dict[str, Any]:
        """Return the totals by the result file's keys.

        `span` is the measured interval in seconds of the run's clock.
        """
        per_second_and_member = 1 / (span * self.members) if span > 0 and self.members else 0.0
        kinds = sum_snapshots(self.kinds)
        sums = {
            name: sum(held[name] for kind, held in kinds.items() if kind != LIST) for name in FIELDS
        }
        return {
            "processes": self.processes,
            "members": self.members,
            "cpu_s": round(self.cpu_s, 3),
            "cpu_share_per_member": round(self.cpu_s * per_second_and_member, 6),
            "control_cpu_s": round(self.control_s, 3),
            "control_cpu_share_per_member": round(self.control_s * per_second_and_member, 6),
            "rss_mb": round(self.rss_mb, 1),
            "rss_mb_per_member": round(self.rss_mb / self.members, 2) if self.members else 0.0,
            "messages": kinds,
            "per_member_s": {
                name: round(total * per_second_and_member, 3) for name, total in sums.items()
            },
            "counts": dict(sorted(self.counts.items())),
            "queues": dict(sorted(self.queues.items())),
        }


def compare_roles(
    real: Mapping[str, Any], hollow: Mapping[str, Any], error: float
) -> dict[str, Any]:
    """Compare messages and bytes of an average hollow member with an average real one.

    The result is valid if all rows with enough messages differ by at most the fraction `error`. It
    is not valid without members of both roles, or with too few messages.
    """
    rows: dict[str, dict[str, float]] = {}
    worst = 0.0
    judged = 0
    total_messages = sum(_count(real, "all", direction) for direction in ("in", "out"))
    for kind in sorted({*real["messages"], *hollow["messages"], "all"}):
        for name in FIELDS:
            one, other = (_per_member(role, kind, name) for role in (real, hollow))
            messages = _count(real, kind, name.removeprefix("bytes_"))
            is_frequent = messages >= MIN_COMPARED_FRACTION * total_messages / 2
            is_judged = messages >= MIN_COMPARED_MESSAGES and (kind in ("all", LIST) or is_frequent)
            if not one and not other:
                continue
            relative_difference = abs(other - one) / one if one else float(other > 0)
            rows[f"{kind} {name}"] = {
                "real": round(one, 3),
                "hollow": round(other, 3),
                "apart": round(relative_difference, 4),
                "judged": int(is_judged),
            }
            if is_judged:
                worst = max(worst, relative_difference)
                judged += 1
    return {
        "rows": rows,
        "worst": round(worst, 4),
        "error": error,
        "judged": judged,
        "valid": judged > 0 and worst <= error and real["members"] > 0 and hollow["members"] > 0,
    }


def _count(role: Mapping[str, Any], kind: str, name: str) -> int:
    kinds = role["messages"]
    if kind == "all":
        return sum(held[name] for other, held in kinds.items() if other != LIST)
    return kinds.get(kind, {}).get(name, 0)


def _per_member(role: Mapping[str, Any], kind: str, name: str) -> float:
    return _count(role, kind, name) / role["members"] if role["members"] else 0.0


def summarize_durations(values: Sequence[float]) -> dict[str, float | int]:
    """Return count, median, 99th percentile and maximum of durations in seconds.

    The percentiles come from a histogram with three significant digits.
    """
    from hdrh.histogram import HdrHistogram  # only needed by runs

    if not values:
        return {"count": 0}
    # Microseconds up to an hour, to three significant digits.
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1e6)))
    return {
        "count": len(values),
        "p50": round(histogram.get_value_at_percentile(50) / 1e6, 4),
        "p99": round(histogram.get_value_at_percentile(99) / 1e6, 4),
        "most": round(max(values), 4),
    }
