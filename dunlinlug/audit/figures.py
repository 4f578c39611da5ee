"""What a day served, and how fast news travelled, from the stand-ins' records."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from dunlinlug.audit.records import EndpointHistory, ManagerLifetimes, RecordLine, Records
from dunlinlug.config import manager_config as manager_terms

WORST_WINDOW = 10.0  # seconds of the worst stretch


@dataclass(frozen=True)
class Summary:
    """Revenue within the SLA time over revenue asked: whole, in the worst stretch, and by product;
    outcomes by count; seconds from news of the list to the last answer for it (median, longest);
    most lines waiting.
    """

    served_fraction: float
    worst_window_fraction: float
    by_traffic_class: dict[str, float]
    outcomes: dict[str, int]
    latencies: dict[str, tuple[float, float]]
    propagation_times: tuple[float, float]
    max_queued_entries: float
    message_count: int


def summarize(records: Records) -> Summary:
    traffic_classes = records.config.sections(manager_terms.TrafficClassConfig)
    requests = records.lines_of("txn")
    offered: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    for line in requests:
        offered[line["product"]] += traffic_classes[line["product"]].revenue
        earned[line["product"]] += _earned_weight(line, traffic_classes)
    by_traffic_class = {
        name: earned[name] / offered[name] for name in traffic_classes if offered[name]
    }
    propagation_times = _propagation_times(records)
    queued_entries = _max_queued_entries(records)
    return Summary(
        served_fraction=sum(earned.values()) / max(sum(offered.values()), 1e-9),
        worst_window_fraction=_worst_window(requests, traffic_classes),
        by_traffic_class=by_traffic_class,
        outcomes=dict(Counter(line["outcome"] for line in requests)),
        latencies={
            line["product"]: (line["p50"], line["p99"]) for line in records.lines_of("times")
        },
        propagation_times=(
            propagation_times[len(propagation_times) // 2] if propagation_times else 0.0,
            propagation_times[-1] if propagation_times else 0.0,
        ),
        max_queued_entries=queued_entries,
        message_count=sum(bool(line["tag"]) for line in records.lines_of("applied")),
    )


def _earned_weight(
    line: RecordLine, traffic_classes: dict[str, manager_terms.TrafficClassConfig]
) -> float:
    traffic_class = traffic_classes[line["product"]]
    return {
        "settled": traffic_class.revenue,
        "late": traffic_class.revenue * traffic_class.late_share,
    }.get(line["outcome"], 0.0)


def _worst_window(
    requests: list[RecordLine], traffic_classes: dict[str, manager_terms.TrafficClassConfig]
) -> float:
    """The least part served within any WORST seconds, by when txns came, in steps of a second."""
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
        total = sum(offered[window_second] for window_second in window)
        fractions.append(
            sum(earned[window_second] for window_second in window) / total if total else 1.0
        )
    return min(fractions)


def _propagation_times(records: Records) -> list[float]:
    """For each list that told the manager of a change: seconds to the last set ordered on it within
    a second.
    """
    history = EndpointHistory(records, ManagerLifetimes(records))
    durations = []
    updates = [
        (float(line["tag"].split()[0]), line["at"])
        for line in records.lines_of("applied")
        if line["tag"]
    ]
    for previous, line in zip(history.lines, history.lines[1:], strict=False):
        if previous["states"] != line["states"]:
            applied_at = [
                at for ordered, at in updates if line["at"] <= ordered <= line["at"] + 1.0
            ]
            if applied_at:
                durations.append(max(applied_at) - line["at"])
    return sorted(durations)


def _max_queued_entries(records: Records) -> float:
    changes = []
    for line in records.lines_of("applied"):
        if line["tag"]:
            ordered, lines, _ = (float(field) for field in line["tag"].split())
            changes += [(ordered, lines), (line["at"], -lines)]
    max_queued = queued = 0.0
    for _, lines in sorted(changes):
        queued += lines
        max_queued = max(max_queued, queued)
    return max_queued
