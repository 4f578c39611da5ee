"""The rules that a manager must keep, each checked against the records of the stand-ins.

The reports name the rules: bare (a proxy without an available endpoint), twice (a repeated effect),
drain (requests to a draining endpoint), pushed (an overloaded warming endpoint), queue (the
channel's limits), and master (two leaders at once).
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from dunlinlug.audit.channel_rules import channel_queue
from dunlinlug.audit.records import EndpointHistory, Interval, ManagerLifetimes, RecordLine, Records
from dunlinlug.audit.violations import (
    RECORDING_DELAY,
    Violation,
    connected_intervals,
    interval_at,
)
from dunlinlug.config.manager_config import SafetyConfig, TrafficClassConfig

__all__ = [
    "Violation",
    "channel_queue",
    "conflicting_leaders",
    "drained_workers",
    "find_violations",
    "overloaded_workers",
    "repeated_effects",
    "without_endpoint",
]

MAX_REPORTED = 3  # violations per rule and proxy, so that one cause does not fill the report
# Fraction of the work of an overloaded endpoint that must come from proxies informed of its start.
INFORMED_FRACTION = 2 / 3
# Seconds before the overload within which the endpoint must have started.
RECENT_START = 60.0


def find_violations(records: Records) -> list[Violation]:
    """The violations in time order, at most `MAX_REPORTED` for each rule and proxy."""
    lifetimes = ManagerLifetimes(records)
    history = EndpointHistory(records, lifetimes)
    violations = [
        *without_endpoint(records, lifetimes, history),
        *repeated_effects(records),
        *drained_workers(records, lifetimes, history),
        *overloaded_workers(records, lifetimes, history),
        *channel_queue(records),
        *conflicting_leaders(records),
    ]
    counts: Counter[tuple[str, str]] = Counter()
    reported = []
    for violation in sorted(violations, key=lambda violation: violation.at):
        counts[violation.rule, violation.proxy] += 1
        if counts[violation.rule, violation.proxy] <= MAX_REPORTED:
            reported.append(violation)
    return reported


def without_endpoint(
    records: Records, lifetimes: ManagerLifetimes, history: EndpointHistory
) -> Iterator[Violation]:
    """Find connected proxies that had no endpoint for a traffic class for longer than allowed.

    Only times in which a warm, ready endpoint was listed count.
    """
    streams = connected_intervals(records)
    for gap in _gaps(records):
        for stream in streams[gap.first_line["proxy"]]:
            begin = max(gap.first_line["at"], stream.begin)
            end = min(gap.end, stream.end)
            yield from _judge_gap(records, lifetimes, history, gap.first_line, Interval(begin, end))


class _Gap(NamedTuple):
    """A time without an endpoint: its first record line, and its end in seconds."""

    first_line: RecordLine
    end: float


def _gaps(records: Records) -> Iterator[_Gap]:
    """The times in which a proxy had no endpoint for a traffic class, even if still open."""
    first_lines: dict[tuple[str, str], RecordLine] = {}
    for line in records.lines_of("bare"):
        key = (line["proxy"], line["product"])
        if line["on"]:
            first_lines.setdefault(key, line)
        elif key in first_lines:
            yield _Gap(first_lines.pop(key), line["at"])
    end_lines = records.lines_of("end")
    end = end_lines[0]["at"] if end_lines else inf
    for first_line in first_lines.values():
        yield _Gap(first_line, end)


def _judge_gap(
    records: Records,
    lifetimes: ManagerLifetimes,
    history: EndpointHistory,
    line: RecordLine,
    gap: Interval,
) -> Iterator[Violation]:
    """Check a gap that began with a line; `gap` is its part in which the proxy was connected."""
    safety_config = records.config.section(SafetyConfig)
    due = lifetimes.due_time(gap.begin, safety_config.bare)
    if gap.end <= due + RECORDING_DELAY:
        return
    if _had_warm_worker(history, gap.begin, due, safety_config.warm_after):
        yield Violation(
            "bare",
            due,
            line["proxy"],
            "",
            f"no entry for {line['product']} for {gap.end - gap.begin:.2f} s, "
            f"{safety_config.bare:g} s allowed",
            (line["where"],),
        )


def _had_warm_worker(history: EndpointHistory, begin: float, end: float, warm_after: float) -> bool:
    """Whether a warm, ready endpoint was listed both at the beginning and at the end."""
    for at in (begin, end):
        line = history.list_at(at)
        if line is None or not any(
            state == "ready" and (since is None or since <= begin - warm_after)
            for state, since in line["states"].values()
        ):
            return False
    return True


def repeated_effects(records: Records) -> Iterator[Violation]:
    """Find requests that must not be repeated and took effect twice in one call of the client.

    A repeat by the client itself is another call, which is not the proxy's fault.
    """
    traffic_classes = records.config.sections(TrafficClassConfig)
    effects: dict[tuple[str, int], list[RecordLine]] = defaultdict(list)
    for line in records.lines_of("effect"):
        if traffic_classes[line["product"]].repeats != "idempotent":
            effects[line["txn"], line["client"]].append(line)
    repeated = {key for key, lines in effects.items() if len(lines) > 1}
    attempts = defaultdict(list)
    for line in records.lines_of("try") if repeated else ():
        if (line["txn"], line["client"]) in repeated:
            attempts[line["txn"], line["client"]].append(line)
    for key in sorted(repeated):
        lines = effects[key]
        key_attempts = attempts[key]
        yield Violation(
            "twice",
            lines[1]["at"],
            key_attempts[0]["proxy"] if key_attempts else "",
            lines[1]["worker"],
            f"txn {key[0]} of {lines[0]['product']} took effect at {lines[0]['worker']} and "
            f"{lines[1]['worker']}",
            tuple(line["where"] for line in (*lines, *key_attempts)),
        )


def conflicting_leaders(records: Records) -> Iterator[Violation]:
    """Find proxies that accepted orders of a leader of a lower term, or of two leaders of one term.

    This is not one of the five rules of a single manager; those hold for several managers only if
    this one does.
    """
    last_leaders: dict[str, tuple[int, str]] = {}
    for line in records.lines_of("applied"):
        term, member = line.get("by") or (0, "")
        if line["refused"] or not term:
            continue
        previous = last_leaders.setdefault(line["proxy"], (term, member))
        if term < previous[0] or (term == previous[0] and member != previous[1]):
            yield Violation(
                "master",
                line["at"],
                line["proxy"],
                "",
                f"accepted {member} of term {term} after {previous[1]} of term {previous[0]}",
                (line["where"],),
            )
        last_leaders[line["proxy"]] = max(previous, (term, member))


def drained_workers(
    records: Records, lifetimes: ManagerLifetimes, history: EndpointHistory
) -> Iterator[Violation]:
    """Find requests to a draining endpoint after the grace period, by connected proxies.

    The grace period begins when the manager got the list with the draining endpoint. An endpoint
    that is gone counts as draining.
    """
    safety_config = records.config.section(SafetyConfig)
    streams = connected_intervals(records)
    unavailable = history.unavailable_intervals()
    for line in records.lines_of("try"):
        stream = interval_at(streams[line["proxy"]], line["at"])
        interval = interval_at(unavailable.get(line["worker"], []), line["at"])
        if stream is None or interval is None or lifetimes.lifetime_at(line["at"]) is None:
            continue
        due = lifetimes.due_time(max(stream.begin, interval.begin), safety_config.drain_grace)
        if line["at"] > due + RECORDING_DELAY:
            yield Violation(
                "drain",
                line["at"],
                line["proxy"],
                line["worker"],
                f"sent {line['at'] - interval.begin:.2f} s after the manager got the list, "
                f"{safety_config.drain_grace:g} s allowed",
                (line["where"],),
            )


def overloaded_workers(
    records: Records, lifetimes: ManagerLifetimes, history: EndpointHistory
) -> Iterator[Violation]:
    """Find warming endpoints that were overloaded by proxies informed of their start.

    Two thirds of the work must come from informed proxies: those that had received an update
    ordered after the manager got the list with the start, or whose manager had had that list for
    the grace period.
    """
    for line in records.lines_of("fell"):
        announced_at = _start_announced_at(history, line)
        informed_work = 0.0
        if announced_at is not None:
            informed_work = _informed_work(records, lifetimes, line, announced_at)
        total_work = sum(work for _, work, _ in line["brought"])
        if informed_work >= INFORMED_FRACTION * total_work:
            yield Violation(
                "pushed",
                line["at"],
                ",".join(sorted({proxy for _, _, proxy in line["brought"]})),
                line["worker"],
                f"overloaded while warming up; {informed_work / total_work:.0%} of its work "
                "from proxies informed of its start",
                (line["where"],),
            )


def _informed_work(
    records: Records, lifetimes: ManagerLifetimes, failure: RecordLine, announced_at: float
) -> float:
    """The work (seconds of a core) sent by proxies that were informed of the start."""
    drain_grace = records.config.section(SafetyConfig).drain_grace
    streams = connected_intervals(records)
    informed_work = 0.0
    for age, work, proxy in failure["brought"]:
        at = failure["at"] - age
        stream = interval_at(streams[proxy], at)
        if stream is None:
            continue
        due = lifetimes.due_time(max(announced_at, stream.begin), drain_grace)
        if at > due or _received_since(records, proxy, announced_at, at):
            informed_work += work
    return informed_work


def _received_since(records: Records, proxy: str, announced_at: float, at: float) -> bool:
    """Whether an update ordered after `announced_at` had reached the proxy by `at`."""
    return any(
        announced_at < float(line["tag"].split()[0])
        for line in records.lines_of("applied")
        if line["proxy"] == proxy and line["tag"] and announced_at < line["at"] <= at
    )


def _start_announced_at(history: EndpointHistory, failure: RecordLine) -> float | None:
    """When the manager first got a list with the start that preceded this overload."""
    for line in history.lines:
        if line["at"] > failure["at"]:
            continue
        state, started_at = line["states"].get(failure["worker"], ("gone", None))
        if state == "ready" and started_at and started_at > failure["at"] - RECENT_START:
            at: float = line["at"]
            return at
    return None
