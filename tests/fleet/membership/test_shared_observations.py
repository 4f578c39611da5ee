"""Observations shared by managers: merging in any order, weights by age, bounds."""

from random import Random

import pytest

from dunlinlug.decision.events import EndpointReported
from dunlinlug.fleet.membership.messages import Broadcast
from dunlinlug.fleet.membership.shared_observations import (
    MAX_WORKERS,
    MAX_WORKERS_PER_BROADCAST,
    SharedObservations,
)


def report(worker: int, attempts: int, failures: int) -> EndpointReported:
    return EndpointReported("a", f"w{worker}", attempts, failures, 0.2, 0.5)


def random_report(rng: Random) -> EndpointReported:
    worker = rng.randrange(4)
    attempts = rng.randint(1, 9)
    return report(worker, attempts, rng.randint(0, attempts))


@pytest.mark.parametrize("seed", range(10))
def test_broadcasts_repeated_late_or_lost_end_in_the_same_counts(seed: int) -> None:
    """Reference model: the largest count of each sender; each attempt is evidence at most once."""
    rng, receiver = Random(seed), SharedObservations("b", 1)
    senders = [SharedObservations(f"a{n}", 1) for n in range(3)]
    sent: list[Broadcast] = []
    for step in range(60):
        for sender in senders:
            sender.record_reports(
                step * 0.3,
                [random_report(rng)],
            )
            sent += sender.due_broadcasts(step * 0.3)
    received = [broadcast for broadcast in sent if rng.random() > 0.2]
    accepted = 0.0
    for broadcast in rng.sample(received, len(received)) + rng.choices(received, k=20):
        accepted += sum(
            event.attempts
            for event in receiver.merge(100.0, broadcast)
            if isinstance(event, EndpointReported)
        )
    largest: dict[str, float] = {}
    for broadcast in received:
        other = SharedObservations("c", 1)
        other.merge(100.0, broadcast)
        largest[broadcast.key] = max(
            largest.get(broadcast.key, 0.0), other.remote_counts[broadcast.key][0].attempts
        )
    assert {key: count.attempts for key, (count, _) in receiver.remote_counts.items()} == largest
    assert accepted <= sum(largest.values())
    reordered = SharedObservations("d", 1)
    for broadcast in rng.sample(received, len(received)):
        reordered.merge(100.0, broadcast)
    assert {key: count for key, (count, _) in reordered.remote_counts.items()} == {
        key: count for key, (count, _) in receiver.remote_counts.items()
    }


def test_evidence_is_weighted_by_its_age_and_ignored_when_old() -> None:
    sender, receiver = SharedObservations("a", 1), SharedObservations("b", 1)
    sender.record_reports(0.0, [report(1, 10, 10)])
    [fresh] = receiver.merge(0.0, *sender.due_broadcasts(0.0))
    assert isinstance(fresh, EndpointReported) and (fresh.attempts, fresh.failed, fresh.local) == (
        10,
        10,
        False,
    )
    sender.record_reports(1.0, [report(1, 8, 8)])
    [later] = receiver.merge(
        2.6, *sender.due_broadcasts(1.8)
    )  # 0.8 s old when sent, plus half of the 2.6 s since the last copy
    assert isinstance(later, EndpointReported) and later.attempts == pytest.approx(
        8 * 0.5 ** (2.1 / 0.8)
    )
    sender.record_reports(3.0, [report(1, 8, 8)])
    assert receiver.merge(30.0, *sender.due_broadcasts(10.9)) == []


def test_a_manager_with_enough_local_evidence_ignores_remote_counts() -> None:
    for attempts, accepted in ((7, 1), (8, 0)):
        sender, receiver = SharedObservations("a", 1), SharedObservations("b", 1)
        sender.record_reports(0.0, [report(1, 5, 5)])
        receiver.record_reports(0.0, [report(1, attempts, 0)])
        assert len(receiver.merge(0.1, *sender.due_broadcasts(0.0))) == accepted


def test_outliers_are_broadcast_the_worst_first_and_their_recovery_too() -> None:
    sender = SharedObservations("a", 1)
    sender.record_reports(0.0, [report(n, 10, n % 11) for n in range(40)] + [report(99, 10, 0)])
    keys = [broadcast.key for broadcast in sender.due_broadcasts(0.0)]
    assert (
        len(keys) == MAX_WORKERS_PER_BROADCAST
        and keys[0] == "met/a/1/w10"
        and "met/a/1/w99" not in keys
    )
    assert sender.due_broadcasts(0.1) == [], "not before the broadcast interval has passed"
    sender.due_broadcasts(0.3)
    sender.due_broadcasts(0.6)
    sender.record_reports(2.0, [report(10, 10, 0)])
    assert [broadcast.key for broadcast in sender.due_broadcasts(2.0)] == ["met/a/1/w10"]
    sender.record_reports(20.0, [report(10, 10, 0)])
    assert sender.due_broadcasts(20.0) == []


def test_invalid_counts_and_local_ones_are_ignored_and_memory_is_bounded() -> None:
    receiver = SharedObservations("b", 1)
    valid = b"\x94\x01\x00\x00\x00"
    for broadcast in (
        Broadcast("met/a/1/w", b"\xff"),
        Broadcast("nothing", valid),
        Broadcast("met/b/1/w", valid),
        Broadcast("met/a/1/w", b"\x94\x01\x05\x00\x00"),
    ):
        assert receiver.merge(0.0, broadcast) == []
    for n in range(MAX_WORKERS + 500):
        receiver.merge(0.0, Broadcast(f"met/a/1/w{n}", b"\x94\x01\x00\x00\x00"))
        receiver.record_reports(0.0, [report(n, 1, 1)])
    assert len(receiver.remote_counts) == MAX_WORKERS and len(receiver.observations) == MAX_WORKERS
