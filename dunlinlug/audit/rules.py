"""The five rules, each judged from what stand-ins saw."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from dunlinlug.audit.records import EndpointHistory, Interval, ManagerLifetimes, RecordLine, Records
from dunlinlug.config import manager_config as manager_terms

# seconds that a record may lag what it tells of: a busy machine's scheduling
RECORDING_DELAY = 0.15
# seconds of pace that may arrive together: the channel's own catching up, and slow readers
BURST_ALLOWANCE = 0.4


@dataclass(frozen=True)
class Violation:
    """A broken rule: what was seen, and the record lines that show it."""

    rule: str
    at: float
    proxy: str
    worker: str
    description: str
    evidence: tuple[str, ...]


def find_violations(records: Records) -> list[Violation]:
    """Every break, in time order, at most a few for each rule and proxy so that one cause is one
    page.
    """
    lifetimes = ManagerLifetimes(records)
    history = EndpointHistory(records, lifetimes)
    violations = [
        *without_endpoint(records, lifetimes, history),
        *repeated_effects(records),
        *drained_workers(records, lifetimes, history),
        *overloaded_workers(records, lifetimes, history),
        *channel_queue(records, lifetimes),
        *conflicting_leaders(records),
    ]
    counts: Counter[tuple[str, str]] = Counter()
    reported = []
    for violation in sorted(violations, key=lambda violation: violation.at):
        counts[violation.rule, violation.proxy] += 1
        if counts[violation.rule, violation.proxy] <= 3:
            reported.append(violation)
    return reported


def connected_intervals(records: Records) -> dict[str, list[Interval]]:
    """By proxy, when a stream to the manager stood and the proxy read it: one told to read nothing
    has no duty kept towards it.
    """
    intervals_by_proxy: dict[str, list[Interval]] = defaultdict(list)
    lines = [(line, True) for line in records.lines_of("joined")] + [
        (line, False) for line in records.lines_of("left")
    ]
    lines += [
        (line, line["do"] == "hear")
        for line in records.lines_of("obeyed")
        if line["do"] in ("deaf", "hear")
    ]
    for line, connected in sorted(lines, key=lambda entry: float(entry[0]["at"])):
        intervals = intervals_by_proxy[line["proxy"]]
        running = bool(intervals) and intervals[-1].end == inf
        if connected and not running:
            intervals.append(Interval(line["at"]))
        elif not connected and running:
            intervals[-1].end = line["at"]
    return intervals_by_proxy


def _interval_at(intervals: list[Interval], at: float) -> Interval | None:
    return next((interval for interval in intervals if interval.begin <= at < interval.end), None)


def without_endpoint(
    records: Records, lifetimes: ManagerLifetimes, history: EndpointHistory
) -> Iterator[Violation]:
    """A joined proxy had no line for a product for longer than allowed, while a warm ready worker
    was listed.
    """
    safety_config = records.config.section(manager_terms.SafetyConfig)
    streams = connected_intervals(records)
    end = records.lines_of("end")[0]["at"] if records.lines_of("end") else inf
    began_by_key: dict[tuple[str, str], RecordLine] = {}
    for line in [
        *records.lines_of("bare"),
        *(
            {"at": end, "on": False, **dict(zip(("proxy", "product"), open_key, strict=True))}
            for open_key in _open_without_endpoint(records)
        ),
    ]:
        key = (line["proxy"], line["product"])
        if line["on"]:
            began_by_key.setdefault(key, line)
            continue
        first = began_by_key.pop(key, None)
        if first is None:
            continue
        for stream in streams[line["proxy"]]:
            begin = max(first["at"], stream.begin)
            stop = min(line["at"], stream.end)
            due = lifetimes.due_time(begin, safety_config.bare)
            if stop > due + RECORDING_DELAY and _had_warm_worker(
                history, begin, due, safety_config.warm_after
            ):
                yield Violation(
                    "bare",
                    due,
                    line["proxy"],
                    "",
                    f"no line for {line['product']} for "
                    f"{stop - begin:.2f} s, {safety_config.bare:g} s allowed",
                    (first["where"],),
                )


def _open_without_endpoint(records: Records) -> list[tuple[str, str]]:
    last = {(line["proxy"], line["product"]): line["on"] for line in records.lines_of("bare")}
    return [key for key, on in last.items() if on]


def _had_warm_worker(history: EndpointHistory, begin: float, end: float, warm_after: float) -> bool:
    """Whether the list showed a warm ready worker all that time, looked at at both ends."""
    for at in (begin, end):
        line = history.list_at(at)
        if line is None or not any(
            state == "ready" and (since is None or since <= begin - warm_after)
            for state, since in line["states"].values()
        ):
            return False
    return True


def repeated_effects(records: Records) -> Iterator[Violation]:
    """A txn that may not run again took effect twice within one call of its client: a proxy's
    further try.
    """
    traffic_classes = records.config.sections(manager_terms.TrafficClassConfig)
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
    """A proxy obeyed a manager of a lower term than before, or two managers of one term: no rule of
    the five, but what keeps them with several managers.
    """
    last_leaders: dict[str, tuple[int, str]] = {}
    for line in records.lines_of("applied"):
        term, member = line.get("by") or (0, "")
        if line["refused"] or not term:
            continue
        previous = last_leaders.setdefault(line["proxy"], (term, member))
        if term < previous[0] or term == previous[0] and member != previous[1]:
            yield Violation(
                "master",
                line["at"],
                line["proxy"],
                "",
                f"obeyed {member} of term {term} after {previous[1]} of term {previous[0]}",
                (line["where"],),
            )
        last_leaders[line["proxy"]] = max(previous, (term, member))


def drained_workers(
    records: Records, lifetimes: ManagerLifetimes, history: EndpointHistory
) -> Iterator[Violation]:
    """A joined proxy sent to a worker past the grace after the manager was told that it drains or
    is gone.
    """
    safety_config = records.config.section(manager_terms.SafetyConfig)
    streams = connected_intervals(records)
    unavailable = history.unavailable_intervals()
    for line in records.lines_of("try"):
        stream = _interval_at(streams[line["proxy"]], line["at"])
        interval = _interval_at(unavailable.get(line["worker"], []), line["at"])
        if stream is None or interval is None or lifetimes.lifetime_at(line["at"]) is None:
            continue
        due = lifetimes.due_time(max(stream.begin, interval.begin), safety_config.drain_grace)
        if line["at"] > due + RECORDING_DELAY:
            yield Violation(
                "drain",
                line["at"],
                line["proxy"],
                line["worker"],
                f"sent {line['at'] - interval.begin:.2f} s after the manager was told, {safety_config.drain_grace:g} s "
                "of grace",
                (line["where"],),
            )


def overloaded_workers(
    records: Records, lifetimes: ManagerLifetimes, history: EndpointHistory
) -> Iterator[Violation]:
    """A cold worker fell over, and two thirds of its work came from proxies that knew of its start,
    or whose manager had known of it for the grace.
    """
    safety_config = records.config.section(manager_terms.SafetyConfig)
    streams = connected_intervals(records)
    for line in records.lines_of("fell"):
        announced_at = _start_announced_at(history, line)
        informed_work = 0.0
        for age, work, proxy in line["brought"] if announced_at is not None else ():
            at = line["at"] - age
            stream = _interval_at(streams[proxy], at)
            if stream is not None and announced_at is not None:
                late = at > lifetimes.due_time(
                    max(announced_at, stream.begin), safety_config.drain_grace
                )
                informed_work += (
                    work if late or _received_since(records, proxy, announced_at, at) else 0.0
                )
        total_work = sum(work for _, work, _ in line["brought"])
        if informed_work >= 2 / 3 * total_work:
            yield Violation(
                "pushed",
                line["at"],
                ",".join(sorted({proxy for _, _, proxy in line["brought"]})),
                line["worker"],
                f"fell over cold; {informed_work / total_work:.0%} of its work from proxies that knew",
                (line["where"],),
            )


def _received_since(records: Records, proxy: str, announced_at: float, at: float) -> bool:
    """Whether a message that was ordered after `known` had reached the proxy by `at`."""
    return any(
        announced_at < float(line["tag"].split()[0])
        for line in records.lines_of("applied")
        if line["proxy"] == proxy and line["tag"] and announced_at < line["at"] <= at
    )


def _start_announced_at(history: EndpointHistory, failure: RecordLine) -> float | None:
    """When the manager was first told of the start that this worker fell in."""
    for line in history.lines:
        state = line["states"].get(failure["worker"])
        if (
            line["at"] <= failure["at"]
            and state
            and state[0] == "ready"
            and state[1]
            and state[1] > failure["at"] - 60.0
        ):
            at: float = line["at"]
            return at
    return None


def channel_queue(records: Records, lifetimes: ManagerLifetimes) -> Iterator[Violation]:
    """More lines waited, more messages came to one proxy, or lines came faster than the channel's
    settings allow.

    Each set tells when it was ordered and how many lines it is; what was ordered and had not
    arrived was waiting.
    """
    channel_config = records.config.section(manager_terms.ChannelConfig)
    updates = _arrived_updates(records)
    changes = sorted(
        [(ordered, lines) for _, ordered, lines, _, _ in updates]
        + [(line["at"], -lines) for line, _, lines, _, _ in updates]
    )
    queued = 0.0
    for at, lines in changes:
        queued += lines
        if queued > channel_config.waiting_most and lines > 0:
            yield Violation(
                "queue",
                at,
                "",
                "",
                f"{queued:.0f} lines waited, {channel_config.waiting_most} allowed",
                (),
            )
    yield from _rate_violations(updates, channel_config.lines_per_s)
    yield from _message_violations(records, channel_config)


def _arrived_updates(records: Records) -> list[tuple[RecordLine, float, float, int, str]]:
    """Sets that arrived at proxies that were reading: record line, when ordered, lines, replies,
    proxy.
    """
    unread_intervals = records.intervals(
        "obeyed",
        "proxy",
        lambda obeyed_line: obeyed_line["do"] == "deaf",
        lambda obeyed_line: obeyed_line["do"] == "hear",
    )
    updates = []
    for line in records.lines_of("applied"):
        if not line["tag"]:
            continue
        ordered, lines, replies = line["tag"].split()
        was_unread = any(
            interval.begin <= line["at"] and float(ordered) <= interval.end + 1.0
            for interval in unread_intervals.get(line["proxy"], ())
        )
        if not was_unread:
            updates.append((line, float(ordered), float(lines), int(replies), line["proxy"]))
    return updates


def _rate_violations(
    updates: list[tuple[RecordLine, float, float, int, str]], entries_per_second: float
) -> Iterator[Violation]:
    backlog = 0.0
    last_at = -inf
    largest = max((lines for _, _, lines, _, _ in updates), default=0.0)
    for line, _, lines, _, proxy in updates:
        backlog = max(0.0, backlog - entries_per_second * (line["at"] - last_at)) + lines
        last_at = line["at"]
        if backlog > BURST_ALLOWANCE * entries_per_second + largest:
            yield Violation(
                "queue",
                line["at"],
                proxy,
                "",
                f"{backlog:.0f} lines came at once beyond the pace of {entries_per_second:g} a second",
                (line["where"],),
            )


def _message_violations(
    records: Records, channel_config: manager_terms.ChannelConfig
) -> Iterator[Violation]:
    if not channel_config.messages_most:
        return
    streams = connected_intervals(records)
    ordered_times = defaultdict[str, deque[float]](deque)
    for line, ordered, _, replies, proxy in _arrived_updates(records):
        stream = _interval_at(streams[proxy], line["at"])
        recent = ordered_times[proxy]
        recent.extend([ordered] * replies)
        while recent and (
            recent[0] <= ordered - channel_config.messages_span
            or stream
            and recent[0] < stream.begin
        ):
            recent.popleft()
        if len(recent) > channel_config.messages_most:
            yield Violation(
                "queue",
                line["at"],
                proxy,
                "",
                f"{len(recent)} messages within {channel_config.messages_span:g} s, "
                f"{channel_config.messages_most} allowed",
                (line["where"],),
            )
