"""The rules of the channel: queued entries, entries per second, and messages to one proxy."""

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from dunlinlug.audit.records import RecordLine, Records
from dunlinlug.audit.violations import Violation, connected_intervals, interval_at
from dunlinlug.config.manager_config import ChannelConfig

# Size of the allowed burst, in seconds of the channel's rate: after a delay the channel catches up,
# and a slow reader receives several updates together.
BURST_ALLOWANCE = 0.4
# Seconds after a proxy resumes reading. Updates ordered until then are not checked, as unread ones
# may delay them.
UNREAD_GRACE = 1.0


@dataclass(frozen=True)
class ArrivedUpdate:
    """A table update that reached a proxy.

    Attributes:
        line: The record line of its arrival; the line's tag has the other values.
        ordered_at: When the manager ordered it, in seconds.
        entries: Number of table entries.
        messages: Number of messages that it consisted of.
    """

    line: RecordLine
    ordered_at: float
    entries: float
    messages: int

    @property
    def arrived_at(self) -> float:
        """When it arrived, in seconds."""
        at: float = self.line["at"]
        return at

    @property
    def proxy(self) -> str:
        """The proxy that it reached."""
        name: str = self.line["proxy"]
        return name


def channel_queue(records: Records) -> Iterator[Violation]:
    """Find where queue, rate or messages to one proxy exceeded the channel's limits.

    An update counts as queued from its order to its arrival.
    """
    channel_config = records.config.section(ChannelConfig)
    updates = _arrived_updates(records)
    yield from _queue_violations(updates, channel_config.waiting_most)
    yield from _rate_violations(updates, channel_config.lines_per_s)
    if channel_config.messages_most:
        yield from _message_violations(records, updates, channel_config)


def _arrived_updates(records: Records) -> list[ArrivedUpdate]:
    """The updates, without those that were under way while their proxy did not read."""
    unread_intervals = records.intervals(
        "obeyed",
        "proxy",
        lambda line: bool(line["do"] == "deaf"),
        lambda line: bool(line["do"] == "hear"),
    )
    updates = []
    for line in records.lines_of("applied"):
        if not line["tag"]:
            continue
        ordered_at, entries, messages = line["tag"].split()
        update = ArrivedUpdate(line, float(ordered_at), float(entries), int(messages))
        was_unread = any(
            interval.begin <= update.arrived_at and update.ordered_at <= interval.end + UNREAD_GRACE
            for interval in unread_intervals.get(update.proxy, ())
        )
        if not was_unread:
            updates.append(update)
    return updates


def _queue_violations(updates: list[ArrivedUpdate], max_queued: int) -> Iterator[Violation]:
    changes = [(update.ordered_at, update.entries) for update in updates]
    changes += [(update.arrived_at, -update.entries) for update in updates]
    queued = 0.0
    for at, entries in sorted(changes):
        queued += entries
        if queued > max_queued and entries > 0:
            yield Violation(
                "queue", at, "", "", f"{queued:.0f} entries queued, {max_queued} allowed", ()
            )


def _rate_violations(
    updates: list[ArrivedUpdate], entries_per_second: float
) -> Iterator[Violation]:
    """Check arrivals against a leaky bucket.

    The bucket drains at the channel's rate; its capacity is a burst and the largest update.
    """
    largest = max((update.entries for update in updates), default=0.0)
    backlog = 0.0
    last_at = -inf
    for update in updates:
        drained = entries_per_second * (update.arrived_at - last_at)
        backlog = max(0.0, backlog - drained) + update.entries
        last_at = update.arrived_at
        if backlog > BURST_ALLOWANCE * entries_per_second + largest:
            yield Violation(
                "queue",
                update.arrived_at,
                update.proxy,
                "",
                f"{backlog:.0f} entries arrived in a burst "
                f"beyond the rate of {entries_per_second:g} per second",
                (update.line["where"],),
            )


def _message_violations(
    records: Records, updates: list[ArrivedUpdate], channel_config: ChannelConfig
) -> Iterator[Violation]:
    """Count each proxy's messages that were ordered within the window and on its current stream."""
    streams = connected_intervals(records)
    ordered_times = defaultdict[str, deque[float]](deque)
    for update in updates:
        stream = interval_at(streams[update.proxy], update.arrived_at)
        window_start = update.ordered_at - channel_config.messages_span
        recent = ordered_times[update.proxy]
        recent.extend([update.ordered_at] * update.messages)
        while recent and (
            recent[0] <= window_start or (stream is not None and recent[0] < stream.begin)
        ):
            recent.popleft()
        if len(recent) > channel_config.messages_most:
            yield Violation(
                "queue",
                update.arrived_at,
                update.proxy,
                "",
                f"{len(recent)} messages within {channel_config.messages_span:g} s, "
                f"{channel_config.messages_most} allowed",
                (update.line["where"],),
            )
