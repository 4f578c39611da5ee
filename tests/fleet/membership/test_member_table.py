"""The membership table: merging compared with a reference model, the digest, bounds of gossip."""

from itertools import permutations
from random import Random

import msgspec
import pytest

from dunlinlug.fleet.membership.member_table import MAX_GOSSIP_BYTES, MembershipTable
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    SUSPECTED,
    MemberBan,
    MemberState,
    ReachabilityReport,
)


def random_items(rng: Random) -> list[MemberState | MemberBan | ReachabilityReport]:
    items: list[MemberState | MemberBan | ReachabilityReport] = []
    for _ in range(12):
        name = rng.choice("abc")
        items += [
            MemberState(
                name,
                (rng.randrange(3), rng.randrange(3)),
                rng.choice([ALIVE, SUSPECTED, FAILED, LEFT]),
                (name, 1),
                name,
            ),
            MemberBan(name, rng.randrange(4), rng.random() < 0.5),
            ReachabilityReport(name, (1, rng.randrange(4)), ("x",) * rng.randrange(2)),
        ]
    return items


@pytest.mark.parametrize("seed", range(20))
def test_merging_does_not_depend_on_order_copies_or_grouping(seed: int) -> None:
    rng, table = Random(seed), MembershipTable()
    # Items of equal precedence or version are identical, since each has one reporter; several reports
    # of a suspicion are counted outside of the table.
    unique = {
        (
            type(item),
            item.name,
            item.precedence() if isinstance(item, MemberState) else item.version,
        ): item
        for item in random_items(rng)
    }
    items = list(unique.values())
    for item in items:
        table.merge(item)
    best = {
        name: max(
            (i for i in items if isinstance(i, MemberState) and i.name == name),
            key=MemberState.precedence,
            default=None,
        )
        for name in "abc"
    }
    assert table.members == {name: item for name, item in best.items() if item}
    for _ in range(5):
        other, half = MembershipTable(), MembershipTable()
        for item in rng.sample(items, len(items)) + rng.choices(items, k=9):
            (other if rng.random() < 0.5 else half).merge(item)
        for item in half.full_state():
            other.merge(item)  # type: ignore[arg-type]
        assert (other.members, other.bans, other.reachability_reports) == (
            table.members,
            table.bans,
            table.reachability_reports,
        )
        assert other.digest() == table.digest()


def test_all_orders_of_a_few_items_end_in_one_view() -> None:
    items = [
        MemberState("a", (1, 0), ALIVE, ("a", 1), "a"),
        MemberState("a", (1, 0), FAILED, ("a", 1), "b"),
        MemberState("a", (1, 1), ALIVE, ("a", 1), "a"),
        MemberState("a", (2, 0), SUSPECTED, ("a", 1), "c"),
        MemberBan("a", 1, True),
    ]
    views = set()
    for order in permutations(items):
        table = MembershipTable()
        for item in order:
            table.merge(item)
        views.add((table.members["a"], table.is_banned("a"), table.digest()))
    assert len(views) == 1


def test_gossip_is_bounded_in_bytes_and_in_transmissions() -> None:
    table = MembershipTable()
    for n in range(300):
        table.merge(MemberState(f"member-{n}", (1, 0), ALIVE, ("10.0.0.1", n), "x"))
    sent = 0
    items = table.take_gossip()
    while items:
        assert sum(len(msgspec.msgpack.encode(item)) for item in items) <= MAX_GOSSIP_BYTES
        sent += len(items)
        items = table.take_gossip()
    assert sent == 300 * 27  # RETRANSMIT_MULTIPLIER times log2 of the size, rounded up
