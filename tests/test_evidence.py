"""What managers tell each other of workers: merging in any order, weighing by age, bounds."""

from random import Random

import pytest

from dunlinlug import interface as face
from dunlinlug.fleet.members.burden import BACK, OVER, STALE, Burden, Burdens
from dunlinlug.fleet.members.evidence import AT_ONCE, MOST, Evidence
from dunlinlug.fleet.members.lists import APART, Lists
from dunlinlug.fleet.members.words import Extra


def met(worker: int, tries: int, voided: int, took: float = 0.2) -> face.Met:
    return face.Met("a", f"w{worker}", tries, voided, took, 0.5)


@pytest.mark.parametrize("seed", range(10))
def test_facts_twice_late_or_lost_end_in_the_same_counts(seed: int) -> None:
    """The slow plain model: of each teller the largest count that came; each try is evidence once at the most."""
    chance, here = Random(seed), Evidence("b", 1)
    tellers = [Evidence(f"a{n}", 1) for n in range(3)]
    told: list[Extra] = []
    for step in range(60):
        for teller in tellers:
            teller.hear(
                step * 0.3,
                [met(chance.randrange(4), tries := chance.randint(1, 9), chance.randint(0, tries))],
            )
            told += teller.due(step * 0.3)
    heard = [extra for extra in told if chance.random() > 0.2]
    taken = 0.0
    for extra in chance.sample(heard, len(heard)) + chance.choices(heard, k=20):
        taken += sum(
            event.tries for event in here.take(100.0, extra) if isinstance(event, face.Met)
        )
    best: dict[str, float] = {}
    for extra in heard:
        other = Evidence("c", 1)
        other.take(100.0, extra)
        best[extra.key] = max(best.get(extra.key, 0.0), other.others[extra.key][0].tries)
    assert {key: count.tries for key, (count, _) in here.others.items()} == best
    assert taken <= sum(best.values())
    again = Evidence("d", 1)
    for extra in chance.sample(heard, len(heard)):
        again.take(100.0, extra)
    assert {key: count for key, (count, _) in again.others.items()} == {
        key: count for key, (count, _) in here.others.items()
    }


def test_a_fact_weighs_by_its_age_and_what_is_old_nothing() -> None:
    teller, here = Evidence("a", 1), Evidence("b", 1)
    teller.hear(0.0, [met(1, 10, 10)])
    [fresh] = here.take(0.0, *teller.due(0.0))
    assert isinstance(fresh, face.Met) and (fresh.tries, fresh.voided, fresh.own) == (10, 10, False)
    teller.hear(1.0, [met(1, 8, 8)])
    [later] = here.take(
        2.6, *teller.due(1.8)
    )  # 0.8 s old when told, met within the 2.6 s since the last
    assert isinstance(later, face.Met) and later.tries == pytest.approx(8 * 0.5 ** (2.1 / 0.8))
    teller.hear(3.0, [met(1, 8, 8)])
    assert here.take(30.0, *teller.due(10.9)) == []


def test_who_has_evidence_enough_of_its_own_takes_none() -> None:
    for tries, taken in ((7, 1), (8, 0)):
        teller, here = Evidence("a", 1), Evidence("b", 1)
        teller.hear(0.0, [met(1, 5, 5)])
        here.hear(0.0, [met(1, tries, 0)])
        assert len(here.take(0.1, *teller.due(0.0))) == taken


def test_who_stands_out_is_told_the_worst_first_and_its_recovery_too() -> None:
    teller = Evidence("a", 1)
    teller.hear(0.0, [met(n, 10, n % 11) for n in range(40)] + [met(99, 10, 0)])
    said = [extra.key for extra in teller.due(0.0)]
    assert len(said) == AT_ONCE and said[0] == "met/a/1/w10" and "met/a/1/w99" not in said
    assert teller.due(0.1) == [], "not before the next time"
    teller.due(0.3), teller.due(0.6)
    teller.hear(2.0, [met(10, 10, 0)])
    assert [extra.key for extra in teller.due(2.0)] == ["met/a/1/w10"]
    teller.hear(20.0, [met(10, 10, 0)])
    assert teller.due(20.0) == []


def test_bad_facts_and_our_own_say_nothing_and_growth_has_a_bound() -> None:
    here = Evidence("b", 1)
    whole = b"\x94\x01\x00\x00\x00"
    for extra in (
        Extra("met/a/1/w", b"\xff"),
        Extra("nothing", whole),
        Extra("met/b/1/w", whole),
        Extra("met/a/1/w", b"\x94\x01\x05\x00\x00"),
    ):
        assert here.take(0.0, extra) == []
    for n in range(MOST + 500):
        here.take(0.0, Extra(f"met/a/1/w{n}", b"\x94\x01\x00\x00\x00"))
        here.hear(0.0, [met(n, 1, 1)])
    assert len(here.others) == MOST and len(here.met) == MOST


def test_a_burden_is_told_in_any_order_and_its_bounds_are_said_once_each_way() -> None:
    teller, said, told = Burdens("a", 2), [], list[Extra]()
    for n, part in enumerate([0.1, OVER, 0.7, 0.9, BACK - 0.1, 0.1]):
        extra = teller.due(float(n), Burden(n, 5.0, 0.0, part))
        assert extra is not None and teller.due(n + 0.5, Burden(9, 9.0, 0.0, 0.0)) is None
        told.append(extra)
        said.append("".join(words for _, _, words in teller.turned(float(n))))
    assert [words.split(":")[0] for words in said] == ["", "over", "", "", "back", ""]
    for seed in range(20):
        here, chance = Burdens("b", 1), Random(seed)
        for extra in chance.sample(told, 6) + chance.choices(told, k=4):
            here.take(1.0, extra)
        assert here.present(1.0) == {"a": Burden(5, 5.0, 0.0, 0.1)}
        assert not here.take(2.0, told[0]) and here.present(1.0 + STALE) == {}
    restarted = Burdens("a", 3).due(0.0, Burden(1, 1.0, 0.0, 0.0))
    assert restarted is not None and here.take(2.0, restarted), "a later start's first word is news"
    for bad in (
        Extra("burden/a", b"\xff"),
        Extra("burden/b", told[0].body),
        Extra("burden/", told[0].body),
    ):
        assert not here.take(3.0, bad)


def test_another_manager_s_burden_turns_once_each_way_and_when_it_is_gone() -> None:
    here, there = Burdens("b", 1), Burdens("a", 1)
    turns = list[tuple[str, str]]()
    for n, part in enumerate([0.9, 0.9, 0.1, 0.9]):
        extra = there.due(float(n), Burden(7, 5.0, part, 0.0))
        assert extra is not None and here.take(float(n), extra)
        turns += [(name, words.split(":")[0]) for name, _, words in here.turned(float(n))]
    turns += [(name, words) for name, _, words in here.turned(3.0 + STALE)]
    assert turns == [("a", "over"), ("a", "back"), ("a", "over"), ("a", "back: it tells no more")]


def listed(*numbers: int, draining: int = -1) -> dict[str, face.Worker]:
    return {
        f"w{n}": face.Worker(
            f"w{n}", "north", "", 0, "draining" if n == draining else "ready", 1.0, None
        )
        for n in numbers
    }


def test_lists_that_differ_for_long_are_said_once_with_the_workers_to_look_at() -> None:
    here, there, said = Lists("a", 1), Lists("b", 1), list[tuple[float, str, str]]()
    ours, theirs = listed(*range(40)), listed(*reversed(range(40)))
    for n in range(60):
        now = float(n)
        other = {10: listed(*range(40), draining=7), 11: ours, 20: listed(*range(39))}.get(n)
        theirs = other if other is not None else theirs if n < 45 else ours
        told = there.due(now, theirs)
        assert here.due(now, ours) is not None and told is not None and here.take(now, told)
        assert not here.take(now, told), "a copy is no news"
        said += [(now, name, words) for name, words in here.changed(now, ours)]
    assert [(at, name) for at, name, _ in said] == [(20.0 + APART, "b"), (45.0, "b")]
    assert (
        "told of 39 workers, we of 40; 1 of 16 parts differ" in said[0][2] and "w39" in said[0][2]
    ), said
    assert here.due(100.0, None) is None and here.apart(100.0) == {}, (
        "who follows no roster compares nothing"
    )
    for bad in (Extra("list/b", b"\xff"), Extra("list/a", told.body), Extra("list/", told.body)):
        assert not here.take(3.0, bad)
