"""Figures of a scenario: served requests, latencies, and propagation of list updates."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from dunlinlug.audit.records import EndpointHistory, ManagerLifetimes, RecordLine, Records
from dunlinlug.config.manager_config import TrafficClassConfig

WORST_WINDOW = 10.0  # length in seconds
# Seconds after a list update within which an order counts as a reaction to it.
REACTION_TIME = 1.0
MIN_OFFERED = 1e-9  # priority weight; avoids a division by zero


class LatencyPercentiles(NamedTuple):
    """Latency percentiles of a traffic class in seconds."""

    p50: float
    p99: float


class PropagationTimes(NamedTuple):
    """Seconds from a list update until the last resulting table update was applied."""

    median: float
    longest: float


@dataclass(frozen=True)
class Summary:
    """The figures of a scenario.

    Attributes:
        served_fraction: Priority weight of the requests answered within the latency objective over
            that of all requests; late requests count for a part of their weight.
        worst_window_fraction: The served fraction in the worst `WORST_WINDOW` seconds.
        by_traffic_class: The served fraction by traffic class, for classes with requests.
        outcomes: Number of requests by outcome.
        latencies: Latency percentiles by traffic class.
        propagation_times: Propagation times of list updates.
        max_queued_entries: The largest number of table entries ordered and not yet arrived.
        message_count: Number of messages that arrived at proxies; an update may be several.
    """

    served_fraction: float
    worst_window_fraction: float
    by_traffic_class: dict[str, float]
    outcomes: dict[str, int]
    latencies: dict[str, LatencyPercentiles]
    propagation_times: PropagationTimes
    max_queued_entries: float
    message_count: int


def summarize(records: Records) -> Summary:
    """Compute the figures of a scenario."""
    traffic_classes = records.config.sections(TrafficClassConfig)
    requests = records.lines_of("txn")
    offered: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    for line in requests:
        offered[line["product"]] += traffic_classes[line["product"]].revenue
        earned[line["product"]] += _earned_weight(line, traffic_classes)
    return Summary(
        served_fraction=sum(earned.values()) / max(sum(offered.values()), MIN_OFFERED),
        worst_window_fraction=_worst_window(requests, traffic_classes),
        by_traffic_class={
            name: earned[name] / offered[name] for name in traffic_classes if offered[name]
        },
        outcomes=dict(Counter(line["outcome"] for line in requests)),
        latencies={
            line["product"]: LatencyPercentiles(line["p50"], line["p99"])
            for line in records.lines_of("times")
        },
        propagation_times=_propagation_times(records),
        max_queued_entries=_max_queued_entries(records),
        message_count=sum(
            int(line["tag"].split()[-1]) for line in records.lines_of("applied") if line["tag"]
        ),
    )


def _earned_weight(line: RecordLine, traffic_classes: dict[str, TrafficClassConfig]) -> float:
    traffic_class = traffic_classes[line["product"]]
    if line["outcome"] == "settled":
        return traffic_class.revenue
    if line["outcome"] == "late":
        return traffic_class.revenue * traffic_class.late_share
    return 0.0


def _worst_window(
    requests: list[RecordLine], traffic_classes: dict[str, TrafficClassConfig]
) -> float:
    """The lowest served fraction of any window, by requests' start times; 0 without requests."""
    offered: dict[int, float] = defaultdict(float)
    earned: dict[int, float] = defaultdict(float)
    for line in requests:
        second = int(line["at"] - line["took"])
        offered[second] += traffic_classes[line["product"]].revenue
        earned[second] += _earned_weight(line, traffic_classes)
    if not offered:
        return 0.0
    first = min(offered)
    last = max(offered)
    fractions = []
    for begin in range(first, max(first, last - int(WORST_WINDOW)) + 1):
        window = range(begin, begin + int(WORST_WINDOW))
        total = sum(offered[second] for second in window)
        fractions.append(sum(earned[second] for second in window) / total if total else 1.0)
    return min(fractions)


def _propagation_times(records: Records) -> PropagationTimes:
    """Propagation times of the list updates that led to an order; zeros if there is none."""
    history = EndpointHistory(records, ManagerLifetimes(records))
    ordered_and_applied_at = [
        (float(line["tag"].split()[0]), line["at"])
        for line in records.lines_of("applied")
        if line["tag"]
    ]
    durations = []
    for previous, line in zip(history.lines, history.lines[1:], strict=False):
        if previous["states"] == line["states"]:
            continue
        applied_at = [
            at
            for ordered_at, at in ordered_and_applied_at
            if line["at"] <= ordered_at <= line["at"] + REACTION_TIME
        ]
        if applied_at:
            durations.append(max(applied_at) - line["at"])
    if not durations:
        return PropagationTimes(0.0, 0.0)
    durations.sort()
    return PropagationTimes(durations[len(durations) // 2], durations[-1])


def _max_queued_entries(records: Records) -> float:
    changes = []
    for line in records.lines_of("applied"):
        if line["tag"]:
            ordered_at, entries, _ = (float(field) for field in line["tag"].split())
            changes += [(ordered_at, entries), (line["at"], -entries)]
    queued = 0.0
    max_queued = 0.0
    for _, entries in sorted(changes):
        queued += entries
        max_queued = max(max_queued, queued)
    return max_queued
