"""What managers tell each other of workers: merging in any order, weighing by age, bounds."""

from random import Random

import pytest

from dunlinlug.decision.events import Endpoint, EndpointReported
from dunlinlug.fleet.membership.list_digests import DIVERGENCE_TOLERANCE, ListDigests
from dunlinlug.fleet.membership.load import (
    OVERLOAD_THRESHOLD,
    RECOVERY_THRESHOLD,
    STALE_AFTER,
    ManagerLoad,
    ManagerLoads,
)
from dunlinlug.fleet.membership.messages import Broadcast
from dunlinlug.fleet.membership.shared_observations import (
    MAX_WORKERS,
    MAX_WORKERS_PER_BROADCAST,
    SharedObservations,
)


def met(worker: int, tries: int, voided: int, took: float = 0.2) -> EndpointReported:
    return EndpointReported("a", f"w{worker}", tries, voided, took, 0.5)


@pytest.mark.parametrize("seed", range(10))
def test_facts_twice_late_or_lost_end_in_the_same_counts(seed: int) -> None:
    """The slow plain model: of each teller the largest count that came; each try is evidence once at the most."""
    chance, here = Random(seed), SharedObservations("b", 1)
    tellers = [SharedObservations(f"a{n}", 1) for n in range(3)]
    told: list[Broadcast] = []
    for step in range(60):
        for teller in tellers:
            teller.record_reports(
                step * 0.3,
                [met(chance.randrange(4), tries := chance.randint(1, 9), chance.randint(0, tries))],
            )
            told += teller.due_broadcasts(step * 0.3)
    heard = [extra for extra in told if chance.random() > 0.2]
    taken = 0.0
    for extra in chance.sample(heard, len(heard)) + chance.choices(heard, k=20):
        taken += sum(
            event.attempts
            for event in here.merge(100.0, extra)
            if isinstance(event, EndpointReported)
        )
    best: dict[str, float] = {}
    for extra in heard:
        other = SharedObservations("c", 1)
        other.merge(100.0, extra)
        best[extra.key] = max(best.get(extra.key, 0.0), other.remote_counts[extra.key][0].attempts)
    assert {key: count.attempts for key, (count, _) in here.remote_counts.items()} == best
    assert taken <= sum(best.values())
    again = SharedObservations("d", 1)
    for extra in chance.sample(heard, len(heard)):
        again.merge(100.0, extra)
    assert {key: count for key, (count, _) in again.remote_counts.items()} == {
        key: count for key, (count, _) in here.remote_counts.items()
    }


def test_a_fact_weighs_by_its_age_and_what_is_old_nothing() -> None:
    teller, here = SharedObservations("a", 1), SharedObservations("b", 1)
    teller.record_reports(0.0, [met(1, 10, 10)])
    [fresh] = here.merge(0.0, *teller.due_broadcasts(0.0))
    assert isinstance(fresh, EndpointReported) and (fresh.attempts, fresh.failed, fresh.local) == (
        10,
        10,
        False,
    )
    teller.record_reports(1.0, [met(1, 8, 8)])
    [later] = here.merge(
        2.6, *teller.due_broadcasts(1.8)
    )  # 0.8 s old when told, met within the 2.6 s since the last
    assert isinstance(later, EndpointReported) and later.attempts == pytest.approx(
        8 * 0.5 ** (2.1 / 0.8)
    )
    teller.record_reports(3.0, [met(1, 8, 8)])
    assert here.merge(30.0, *teller.due_broadcasts(10.9)) == []


def test_who_has_evidence_enough_of_its_own_takes_none() -> None:
    for tries, taken in ((7, 1), (8, 0)):
        teller, here = SharedObservations("a", 1), SharedObservations("b", 1)
        teller.record_reports(0.0, [met(1, 5, 5)])
        here.record_reports(0.0, [met(1, tries, 0)])
        assert len(here.merge(0.1, *teller.due_broadcasts(0.0))) == taken


def test_who_stands_out_is_told_the_worst_first_and_its_recovery_too() -> None:
    teller = SharedObservations("a", 1)
    teller.record_reports(0.0, [met(n, 10, n % 11) for n in range(40)] + [met(99, 10, 0)])
    said = [extra.key for extra in teller.due_broadcasts(0.0)]
    assert (
        len(said) == MAX_WORKERS_PER_BROADCAST
        and said[0] == "met/a/1/w10"
        and "met/a/1/w99" not in said
    )
    assert teller.due_broadcasts(0.1) == [], "not before the next time"
    teller.due_broadcasts(0.3), teller.due_broadcasts(0.6)
    teller.record_reports(2.0, [met(10, 10, 0)])
    assert [extra.key for extra in teller.due_broadcasts(2.0)] == ["met/a/1/w10"]
    teller.record_reports(20.0, [met(10, 10, 0)])
    assert teller.due_broadcasts(20.0) == []


def test_bad_facts_and_our_own_say_nothing_and_growth_has_a_bound() -> None:
    here = SharedObservations("b", 1)
    whole = b"\x94\x01\x00\x00\x00"
    for extra in (
        Broadcast("met/a/1/w", b"\xff"),
        Broadcast("nothing", whole),
        Broadcast("met/b/1/w", whole),
        Broadcast("met/a/1/w", b"\x94\x01\x05\x00\x00"),
    ):
        assert here.merge(0.0, extra) == []
    for n in range(MAX_WORKERS + 500):
        here.merge(0.0, Broadcast(f"met/a/1/w{n}", b"\x94\x01\x00\x00\x00"))
        here.record_reports(0.0, [met(n, 1, 1)])
    assert len(here.remote_counts) == MAX_WORKERS and len(here.observations) == MAX_WORKERS


def test_a_burden_is_told_in_any_order_and_its_bounds_are_said_once_each_way() -> None:
    teller, said, told = ManagerLoads("a", 2), [], list[Broadcast]()
    for n, part in enumerate([0.1, OVERLOAD_THRESHOLD, 0.7, 0.9, RECOVERY_THRESHOLD - 0.1, 0.1]):
        extra = teller.due_broadcast(float(n), ManagerLoad(n, 5.0, 0.0, part))
        assert (
            extra is not None
            and teller.due_broadcast(n + 0.5, ManagerLoad(9, 9.0, 0.0, 0.0)) is None
        )
        told.append(extra)
        said.append("".join(words for _, _, words in teller.overload_changes(float(n))))
    assert [words.split(":")[0] for words in said] == ["", "over", "", "", "back", ""]
    for seed in range(20):
        here, chance = ManagerLoads("b", 1), Random(seed)
        for extra in chance.sample(told, 6) + chance.choices(told, k=4):
            here.merge(1.0, extra)
        assert here.present(1.0) == {"a": ManagerLoad(5, 5.0, 0.0, 0.1)}
        assert not here.merge(2.0, told[0]) and here.present(1.0 + STALE_AFTER) == {}
    restarted = ManagerLoads("a", 3).due_broadcast(0.0, ManagerLoad(1, 1.0, 0.0, 0.0))
    assert restarted is not None and here.merge(2.0, restarted), (
        "a later start's first word is news"
    )
    for bad in (
        Broadcast("burden/a", b"\xff"),
        Broadcast("burden/b", told[0].payload),
        Broadcast("burden/", told[0].payload),
    ):
        assert not here.merge(3.0, bad)


def test_another_manager_s_burden_turns_once_each_way_and_when_it_is_gone() -> None:
    here, there = ManagerLoads("b", 1), ManagerLoads("a", 1)
    turns = list[tuple[str, str]]()
    for n, part in enumerate([0.9, 0.9, 0.1, 0.9]):
        extra = there.due_broadcast(float(n), ManagerLoad(7, 5.0, part, 0.0))
        assert extra is not None and here.merge(float(n), extra)
        turns += [(name, words.split(":")[0]) for name, _, words in here.overload_changes(float(n))]
    turns += [(name, words) for name, _, words in here.overload_changes(3.0 + STALE_AFTER)]
    assert turns == [("a", "over"), ("a", "back"), ("a", "over"), ("a", "back: it tells no more")]


def listed(*numbers: int, draining: int = -1) -> dict[str, Endpoint]:
    return {
        f"w{n}": Endpoint(
            f"w{n}", "north", "", 0, "draining" if n == draining else "ready", 1.0, None
        )
        for n in numbers
    }


def test_lists_that_differ_for_long_are_said_once_with_the_workers_to_look_at() -> None:
    here, there, said = ListDigests("a", 1), ListDigests("b", 1), list[tuple[float, str, str]]()
    ours, theirs = listed(*range(40)), listed(*reversed(range(40)))
    for n in range(60):
        now = float(n)
        other = {10: listed(*range(40), draining=7), 11: ours, 20: listed(*range(39))}.get(n)
        theirs = other if other is not None else theirs if n < 45 else ours
        told = there.due_broadcast(now, theirs)
        assert (
            here.due_broadcast(now, ours) is not None and told is not None and here.merge(now, told)
        )
        assert not here.merge(now, told), "a copy is no news"
        said += [(now, name, words) for name, words in here.divergence_changes(now, ours)]
    assert [(at, name) for at, name, _ in said] == [(20.0 + DIVERGENCE_TOLERANCE, "b"), (45.0, "b")]
    assert (
        "told of 39 workers, we of 40; 1 of 16 parts differ" in said[0][2] and "w39" in said[0][2]
    ), said
    assert here.due_broadcast(100.0, None) is None and here.divergent(100.0) == {}, (
        "who follows no roster compares nothing"
    )
    for bad in (
        Broadcast("list/b", b"\xff"),
        Broadcast("list/a", told.payload),
        Broadcast("list/", told.payload),
    ):
        assert not here.merge(3.0, bad)
