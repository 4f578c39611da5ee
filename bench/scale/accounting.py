"""Sums over processes and members, by role; and whether hollow members did as real ones. Free of
I/O.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

FIELDS = ("in", "out", "bytes_in", "bytes_out")
Kinds = dict[str, Counter[str]]
TELLING = (
    0.05  # part of a role's messages from which a kind is compared by itself: rarer ones are chance
)
LIST = "list"  # queries of discovery, which are not words between members
# messages of a kind at the real members from which it is compared: below, a tenth is chance
FEWEST = 200


class Meter:
    """What one process counted since its start, by kind of message."""

    def __init__(self) -> None:
        self.kinds: Kinds = {}
        self.counts: Counter[str] = Counter()

    def add(self, kind: str, way: str, size: int) -> None:
        """`way` is in or out."""
        held = self.kinds.setdefault(kind, Counter())
        held[way] += 1
        held[f"bytes_{way}"] += size

    def said(self) -> dict[str, dict[str, int]]:
        return {
            kind: {name: held[name] for name in FIELDS} for kind, held in sorted(self.kinds.items())
        }


def less(
    after: Mapping[str, Mapping[str, int]], before: Mapping[str, Mapping[str, int]]
) -> dict[str, dict[str, int]]:
    """What came between two readings of one meter."""
    return {
        kind: {name: held[name] - before.get(kind, {}).get(name, 0) for name in FIELDS}
        for kind, held in after.items()
    }


def together(parts: Iterable[Mapping[str, Mapping[str, int]]]) -> dict[str, dict[str, int]]:
    """The sums over several meters."""
    found: dict[str, dict[str, int]] = {}
    for part in parts:
        for kind, held in part.items():
            sums = found.setdefault(kind, dict.fromkeys(FIELDS, 0))
            for name in FIELDS:
                sums[name] += held[name]
    return dict(sorted(found.items()))


def turned(held: Mapping[str, int]) -> dict[str, int]:
    """The same messages from the other end."""
    return {
        "in": held["out"],
        "out": held["in"],
        "bytes_in": held["bytes_out"],
        "bytes_out": held["bytes_in"],
    }


@dataclass
class Reading:
    """What one process said of itself at one moment: `cpu_s`, `control_s` and kinds count from its
    start.
    """

    cpu_s: float
    rss_mb: float
    kinds: Mapping[str, Mapping[str, int]]
    control_s: float = 0.0
    counts: Mapping[str, int] = field(default_factory=dict)


@dataclass
class Role:
    """All that the processes of one role did between their first reading of the span and their
    last.
    """

    processes: int = 0
    members: int = 0
    cpu_s: float = 0.0
    control_s: float = 0.0
    rss_mb: float = 0.0
    kinds: list[Mapping[str, Mapping[str, int]]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    queues: Counter[str] = field(default_factory=Counter)  # by name, the longest that was seen

    def add(self, before: Reading, after: Reading, members: int) -> None:
        self.processes += 1
        self.members += members
        self.cpu_s += after.cpu_s - before.cpu_s
        self.control_s += after.control_s - before.control_s
        self.rss_mb += after.rss_mb
        self.kinds.append(less(after.kinds, before.kinds))
        for name, count in after.counts.items():
            self.counts[name] += count - before.counts.get(name, 0)

    def queue(self, lengths: Mapping[str, int]) -> None:
        for name, length in lengths.items():
            self.queues[name] = max(self.queues[name], length)

    def figures(self, span: float) -> dict[str, Any]:
        """As a result tells them; `span` is the measured time in the rig's seconds."""
        per = 1 / (span * self.members) if span > 0 and self.members else 0.0
        kinds = together(self.kinds)
        sums = {
            name: sum(held[name] for kind, held in kinds.items() if kind != LIST) for name in FIELDS
        }
        return {
            "processes": self.processes,
            "members": self.members,
            "cpu_s": round(self.cpu_s, 3),
            "cpu_share_per_member": round(self.cpu_s * per, 6),
            "control_cpu_s": round(self.control_s, 3),
            "control_cpu_share_per_member": round(self.control_s * per, 6),
            "rss_mb": round(self.rss_mb, 1),
            "rss_mb_per_member": round(self.rss_mb / self.members, 2) if self.members else 0.0,
            "messages": kinds,
            "per_member_s": {name: round(total * per, 3) for name, total in sums.items()},
            "counts": dict(sorted(self.counts.items())),
            "queues": dict(sorted(self.queues.items())),
        }


def compared(real: Mapping[str, Any], hollow: Mapping[str, Any], error: float) -> dict[str, Any]:
    """Messages and bytes of an average hollow member beside an average real one, and whether all
    that tell enough differ by at most `error`. Without one of the two, or with too little said,
    nothing is valid.
    """
    rows: dict[str, dict[str, float]] = {}
    worst, judged = 0.0, 0
    everything = sum(_count(real, "all", way) for way in ("in", "out"))
    for kind in sorted({*real["messages"], *hollow["messages"], "all"}):
        for name in FIELDS:
            one, other = (_part(role, kind, name) for role in (real, hollow))
            said = _count(real, kind, name.removeprefix("bytes_"))
            tells = said >= FEWEST and (kind in ("all", LIST) or said >= TELLING * everything / 2)
            if not one and not other:
                continue
            apart = abs(other - one) / one if one else float(other > 0)
            rows[f"{kind} {name}"] = {
                "real": round(one, 3),
                "hollow": round(other, 3),
                "apart": round(apart, 4),
                "judged": int(tells),
            }
            if tells:
                worst, judged = max(worst, apart), judged + 1
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


def _part(role: Mapping[str, Any], kind: str, name: str) -> float:
    return _count(role, kind, name) / role["members"] if role["members"] else 0.0


def spread(values: Sequence[float]) -> dict[str, float | int]:
    """Seconds as p50, p99 and the most, by a histogram of hundredths of a part."""
    from hdrh.histogram import HdrHistogram  # a library that only runs need

    if not values:
        return {"count": 0}
    kept = HdrHistogram(1, 3_600_000_000, 3)  # microseconds up to an hour, to three figures
    for value in values:
        kept.record_value(max(1, round(value * 1e6)))
    return {
        "count": len(values),
        "p50": round(kept.get_value_at_percentile(50) / 1e6, 4),
        "p99": round(kept.get_value_at_percentile(99) / 1e6, 4),
        "most": round(max(values), 4),
    }
