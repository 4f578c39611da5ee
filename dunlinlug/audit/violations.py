"""Violations of rules, and the times in which proxies were connected (used by most rules)."""

from collections import defaultdict
from dataclasses import dataclass
from math import inf

from dunlinlug.audit.records import Interval, Records

# Maximum delay of a record after its event in seconds, due to scheduling on a busy machine.
RECORDING_DELAY = 0.15


@dataclass(frozen=True)
class Violation:
    """A broken rule: its time, proxy and endpoint, a description, and the record lines as evidence.

    `proxy` and `worker` are empty if the rule concerns none; `evidence` has files and line numbers.
    """

    rule: str
    at: float
    proxy: str
    worker: str
    description: str
    evidence: tuple[str, ...]


def connected_intervals(records: Records) -> dict[str, list[Interval]]:
    """By proxy, when it had a stream to a manager and read from it.

    The rules do not apply to a proxy while the scenario keeps it from reading.
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
    """The interval that contains a time; None if there is none."""
    for interval in intervals:
        if interval.begin <= at < interval.end:
            return interval
    return None
