"""The paced channel, compared with a plain model; its limits; and a process that was suspended."""

from random import Random

import pytest

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.manager.channel import MAX_CATCH_UP_S, PacedChannel


@pytest.mark.parametrize("seed", range(10))
def test_the_channel_keeps_its_rate_and_order(seed: int) -> None:
    """A message is sent once all entries before it and its own have been sent at the rate."""
    rng = Random(seed)
    channel = PacedChannel(100.0, 50.0, 5, 10.0)
    now = 0.0
    idle_at = 0.0
    due = list[tuple[float, int]]()
    departed = list[tuple[float, int]]()
    for number in range(200):
        now += rng.uniform(0.0, MAX_CATCH_UP_S / 2)
        departed += [(now, int(batch.ordered_at)) for _, batch in channel.pop_due(now)]
        if rng.random() < 0.6:
            entry_count = float(rng.randint(1, 8))
            idle_at = max(idle_at, now) + entry_count / 100.0
            due.append((idle_at, number))
            queued_count = sum(1 for departs_at, _ in due if departs_at > now)
            channel.enqueue(
                now, 0, ResponseBatch(entry_count=entry_count, ordered_at=float(number))
            )
            assert len(channel.queue) <= queued_count + 1
    next_due_at = channel.next_due_at()
    while next_due_at is not None:
        now = max(now, next_due_at)
        departed += [(now, int(batch.ordered_at)) for _, batch in channel.pop_due(now)]
        next_due_at = channel.next_due_at()
    assert [number for _, number in departed] == [number for _, number in due]
    for (departs_at, _), (expected, _) in zip(departed, due, strict=True):
        assert expected - 1e-9 <= departs_at <= expected + MAX_CATCH_UP_S


def test_the_channel_reports_exceeded_limits_and_drops_a_removed_proxys_messages() -> None:
    channel = PacedChannel(100.0, 50.0, 2, 10.0)
    assert channel.enqueue(0.0, 1, ResponseBatch(entry_count=40.0)) == []
    assert channel.enqueue(0.0, 2, ResponseBatch(entry_count=20.0)) == ["waiting_most"]
    assert channel.enqueue(0.1, 1, ResponseBatch(entry_count=1.0)) == ["waiting_most"]
    assert "messages_most" in channel.enqueue(0.2, 1, ResponseBatch(entry_count=1.0))
    channel.remove_proxy(2)
    assert channel.queued_entries == 42.0 and [proxy for proxy, _ in channel.queue] == [1, 1, 1]
    channel.set_rate(0.2, 10.0)
    assert channel.next_due_at() == pytest.approx(0.2 + 20.0 / 10.0), (
        "half of the head's entries remain, at a tenth of the rate"
    )


def test_after_the_process_was_suspended_messages_are_not_sent_in_a_burst() -> None:
    channel = PacedChannel(100.0, 1000.0, 0, 10.0)
    for number in range(20):
        channel.enqueue(0.0, number, ResponseBatch(entry_count=10.0))
    assert len(channel.pop_due(60.0)) <= 1 + MAX_CATCH_UP_S * 100.0 / 10.0
