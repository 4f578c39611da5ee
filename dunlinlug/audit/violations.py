"""A broken rule, and when a proxy was connected, which most rules ask for."""

from collections import defaultdict
from dataclasses import dataclass
from math import inf

from dunlinlug.audit.records import Interval, Records

# Seconds that a record may be later than what it tells of: scheduling on a busy machine.
RECORDING_DELAY = 0.15


@dataclass(frozen=True)
class Violation:
    """A broken rule: when and where, what was seen, and the record lines that show it.

    `proxy` and `worker` are empty where the rule is not about one; `evidence` has file and line.
    """

    rule: str
    at: float
    proxy: str
    worker: str
    description: str
    evidence: tuple[str, ...]


def connected_intervals(records: Records) -> dict[str, list[Interval]]:
    """By proxy, when it had a stream to a manager and read from it.

    A proxy that the scenario keeps from reading is owed nothing.
    """
    changes = [(line, True) for line in records.lines_of("joined")]
    changes += [(line, False) for line in records.lines_of("left")]
    changes += [
        (line, line["do"] == "hear")
        for line in records.lines_of("obeyed")
        if line["do"] in ("deaf", "hear")
    ]
    intervals_by_proxy: dict[str, list[Interval]] = defaultdict(list)
    for line, connected in sorted(changes, key=lambda change: float(change[0]["at"])):
        intervals = intervals_by_proxy[line["proxy"]]
        is_open = bool(intervals) and intervals[-1].end == inf
        if connected and not is_open:
            intervals.append(Interval(line["at"]))
        elif not connected and is_open:
            intervals[-1].end = line["at"]
    return intervals_by_proxy


def interval_at(intervals: list[Interval], at: float) -> Interval | None:
    """The interval that holds a time; None if none does."""
    for interval in intervals:
        if interval.begin <= at < interval.end:
            return interval
    return None
