"""Membership in simulated time: who is there, hard cases, merging beside plain models. No sockets."""

from collections.abc import Callable
from itertools import permutations
from random import Random
from typing import Any

import msgspec
import pytest

from dunlinlug.fleet.membership.member_table import MAX_GOSSIP_BYTES, MembershipTable
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    SUSPECTED,
    Gossip,
    MemberBan,
    MemberState,
    Ping,
    ReachabilityReport,
    Send,
)
from dunlinlug.fleet.membership.model import MembershipModel
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.simulated_network import SimulatedNetwork
from dunlinlug.fleet.model_checking.engine import explore_depth_first, explore_recovery_randomly


def fleet(seed: int, size: int, **more: float) -> SimulatedNetwork:
    net = SimulatedNetwork(seed, **more)
    net.start_cluster(size)
    net.run(8.0)
    assert net.views_agree() and not net.changes_to()
    return net


def states(net: SimulatedNetwork, by: str) -> dict[str, str]:
    """How a member has the others now, by its own changes."""
    return {seen.subject: seen.after for seen in net.observed_changes if seen.observer == by}


@pytest.mark.parametrize("size", [2, 3, 5, 16])
def test_a_death_is_known_by_all_soon_and_nothing_else_is_said(size: int) -> None:
    for seed in range(4):
        net = fleet(seed, size, loss=0.05)
        net.kill("m1")
        net.run(12.0 if size > 2 else 28.0)
        known = {seen.observer: seen.at - 8.0 for seen in net.changes_to() if seen.subject == "m1"}
        assert len(known) == size - 1 and max(known.values()) < (2.5 if size > 2 else 20.0)
        assert {seen.subject for seen in net.changes_to()} == {"m1"} and net.views_agree()


def test_a_restart_is_a_new_start_and_a_goodbye_is_no_failure() -> None:
    net = fleet(1, 5)
    net.kill("m3")
    net.start("m3", start_epoch=2, seeds=("m0", "m1"))  # at once, at the same place
    net.run(12.0)
    assert not net.changes_to() and net.views_agree()
    assert all(node.protocol.table.members["m3"].incarnation[0] == 2 for node in net.nodes.values())
    assert any(
        seen.reason.startswith("started again")
        for seen in net.observed_changes
        if seen.subject == "m3"
    )
    net.perform("m2", MembershipProtocol.leave)
    net.kill("m2")
    net.run(14.0)
    assert {states(net, by)["m2"] for by in ("m0", "m1", "m3", "m4")} == {
        "left"
    } and not net.changes_to()


def test_a_start_whose_store_was_lost_goes_on_above_the_dead_one() -> None:
    net = fleet(2, 4)
    net.kill("m3")
    net.run(12.0)
    net.start("m3", start_epoch=0, seeds=("m0", "m1"))
    net.run(18.0)
    assert net.views_agree() and all(states(net, by)["m3"] == "alive" for by in ("m0", "m1", "m2"))
    assert net.node("m3").protocol.local_state.incarnation[0] == 2


@pytest.mark.parametrize("first", [3, 4])
def test_of_two_processes_under_one_name_the_later_start_stays(first: int) -> None:
    net = fleet(3, 4)
    net.start("m9", start_epoch=first, seeds=("m0",), address=("m9", 1))
    net.run(12.0)
    net.start("m9", start_epoch=7 - first, seeds=("m1",), address=("elsewhere", 1))
    net.run(20.0)
    assert net.superseded == ["m9"]
    [stayed] = [
        node for node in net.nodes.values() if node.name == "m9" and node.protocol.state == "alive"
    ]
    assert stayed.protocol.local_state.incarnation[0] == 4 and net.views_agree()
    assert net.node("m0").protocol.table.members["m9"].address == stayed.address


def test_an_address_that_moved_is_followed() -> None:
    net = fleet(4, 4)
    net.kill("m2")
    net.run(9.0)
    net.start("m2", start_epoch=2, seeds=("m0",), address=("moved", 7))
    net.run(14.0)
    assert net.views_agree() and all(
        node.protocol.table.members["m2"].address == ("moved", 7) for node in net.nodes.values()
    )


def test_two_halves_know_themselves_and_come_together_again() -> None:
    net = fleet(5, 4)
    net.partition(("m0", "m1"), ("m2", "m3"))
    net.run(40.0)
    for node in net.nodes.values():
        assert sum(node.protocol.is_reachable(f"m{n}") for n in range(4)) == 2
    net.heal()
    net.run(50.0)
    assert net.views_agree() and all(
        node.protocol.is_reachable(f"m{n}") for node in net.nodes.values() for n in range(4)
    )


def test_a_cut_that_heals_while_the_verdict_is_on_its_way() -> None:
    for seed in range(10):
        net = fleet(seed, 5)
        net.partition(("m4",), ("m0", "m1", "m2", "m3"))
        while not net.changes_to():
            net.run(net.now + 0.01)
        net.heal()
        net.run(net.now + 8.0)
        assert net.views_agree() and not set(net.node("m0").protocol.table.departed_members())


def test_one_that_hears_all_and_is_heard_by_none_and_the_reverse() -> None:
    net = fleet(6, 5)
    others = tuple(f"m{n}" for n in range(4))
    net.blocked_links |= {("m4", other) for other in others}
    net.run(20.0)
    assert {states(net, by)["m4"] for by in others} == {"failed"}
    assert not any(net.node("m4").protocol.is_reachable(other) for other in others), (
        "it knows that it reaches nobody"
    )
    net.heal()
    net.run(30.0)
    assert net.views_agree()
    net.blocked_links |= {(other, "m4") for other in others}
    before = len(net.observed_changes)
    net.run(60.0)
    false = [
        seen
        for seen in net.observed_changes[before:]
        if seen.after == "failed" and seen.observer != "m4" and seen.subject != "m4"
    ]
    assert not false, "who hears nobody condemns nobody in the others' eyes"
    assert not any(net.node("m4").protocol.is_reachable(other) for other in others)


def test_a_chain_keeps_all_and_tells_who_does_not_see_whom() -> None:
    net = fleet(7, 3)
    net.partition(("m0",), ("m2",))
    net.run(30.0)
    assert not net.changes_to()
    rows = {
        name: node.protocol.table.reachability_reports
        for name in ("m0", "m1", "m2")
        for node in [net.node(name)]
    }
    for told in rows.values():
        assert told["m0"].not_answering == ("m2",) and told["m2"].not_answering == ("m0",)
        assert told["m0"].not_heard == ("m2",) and told["m2"].not_heard == ("m0",)
    net.heal()
    net.run(40.0)
    assert all(
        not row.not_answering and not row.not_heard
        for node in net.nodes.values()
        for row in node.protocol.table.reachability_reports.values()
    )


def test_a_member_that_flaps_is_never_taken_for_two_things_for_long() -> None:
    net = fleet(8, 5)
    for n in range(40):  # away for about as long as a suspicion lasts, then back
        net.schedule(8.0 + n * 2.0, lambda: net.freeze("m2"))
        net.schedule(8.0 + n * 2.0 + 0.9, lambda: net.freeze("m2", False))
    net.run(100.0)
    assert net.views_agree() and not set(net.node("m0").protocol.table.departed_members())


def test_all_restarted_within_a_second() -> None:
    net = fleet(9, 5)
    for n in range(5):
        net.kill(f"m{n}")
        net.start(f"m{n}", start_epoch=2, seeds=("m0", "m1", "m2"))
        net.run(8.0 + 0.2 * (n + 1))
    net.run(20.0)
    assert net.views_agree() and all(
        len(node.protocol.table.live_members()) == 5 for node in net.nodes.values()
    )


def test_one_stopped_for_ten_seconds_condemns_nobody_as_it_thaws() -> None:
    for seed in range(6):
        net = fleet(seed, 5)
        net.freeze("m1")
        net.run(18.0)
        before = len(net.observed_changes)
        net.freeze("m1", False)
        net.run(24.0)
        assert net.pauses["m1"] >= 1 and net.views_agree()
        assert not [seen for seen in net.observed_changes[before:] if seen.after == "failed"]


def test_a_slow_member_makes_no_false_verdicts() -> None:
    net = SimulatedNetwork(10)
    for n in range(5):
        net.start(f"m{n}", seeds=("m0", "m1"), max_timer_delay=1.0 if n == 3 else 0.0)
    net.run(300.0)
    assert not [seen for seen in net.changes_to() if seen.subject != "m3"]


def test_clocks_that_are_off_and_jump_change_nothing() -> None:
    net = SimulatedNetwork(11)
    for n in range(4):
        net.start(f"m{n}", seeds=("m0", "m1"), clock_rate=(0.98, 1.02)[n % 2])
    net.run(10.0)
    node = net.node("m2")
    probed = node.protocol.sequence
    node.clock_origin += 3600.0 / (
        node.clock_rate - 1.0
    )  # its clock goes back by an hour in this instant
    net._arm_timer(node)
    net.run(20.0)
    assert node.protocol.sequence >= probed + 40, "it goes on at once"
    node.clock_origin -= 7200.0 / (node.clock_rate - 1.0)  # and on by two
    net._arm_timer(node)
    net.run(30.0)
    assert not net.changes_to() and net.views_agree()
    net.kill("m0")
    net.run(36.0)
    assert {seen.observer for seen in net.changes_to()} == {"m1", "m2", "m3"}


def test_word_that_one_who_is_well_has_failed_is_not_believed_unasked() -> None:
    net = fleet(17, 4)
    machine, m2 = net.node("m0").protocol, net.node("m0").protocol.table.members["m2"]
    failed = MemberState("m2", m2.incarnation, FAILED, m2.address, "m3")
    net.perform(
        "m0",
        lambda machine, now: machine.receive(
            now, Gossip(net.node("m3").protocol.local_state, "m0", (failed,))
        ),
    )
    assert machine.table.members["m2"].state == ALIVE
    net.run(12.0)
    assert (
        net.views_agree()
        and not net.changes_to()
        and net.node("m2").protocol.local_state.incarnation[1] == 1
    ), "it spoke against it"


def test_a_joiner_that_knows_only_a_dead_seed_joins_once_there_is_another_way() -> None:
    net = fleet(12, 3)
    net.start("late", seeds=("dead",))
    net.run(12.0)
    assert net.node("late").protocol.state == "joining"
    net.start("dead", seeds=("m1",))
    net.run(20.0)
    assert net.views_agree() and len(net.node("late").protocol.table.live_members()) == 5


def test_a_set_that_grows_and_shrinks_while_members_fail() -> None:
    net = SimulatedNetwork(13, loss=0.05)
    net.start("m0")
    for n in range(1, 5):
        net.start(f"m{n}", seeds=("m0",))
        net.run(net.now + 2.0)
    net.kill("m2")
    net.start("m5", seeds=("m0",))
    net.run(net.now + 4.0)
    assert net.views_agree() and len(net.node("m0").protocol.table.live_members()) == 5
    for n in (5, 4, 3, 1):
        (net.kill if n % 2 else lambda name: net.perform(name, MembershipProtocol.leave))(f"m{n}")
        net.run(net.now + 4.0)
    net.run(net.now + 25.0)
    assert net.node("m0").protocol.table.live_members() == ["m0"]


def test_an_operator_bars_a_member_and_lets_it_in_again() -> None:
    net = fleet(14, 4)
    net.perform("m0", lambda machine, now: machine.set_banned(now, "m3", True))
    net.run(12.0)
    assert all("m3" not in node.protocol.table.live_members() for node in net.nodes.values())
    assert net.node("m3").protocol.state == "barred" and net.views_agree()
    with pytest.raises(ValueError, match="no member known here"):
        net.node("m0").protocol.set_banned(net.now, "nobody", True)
    net.perform("m1", lambda machine, now: machine.set_banned(now, "m3", False))
    net.run(20.0)
    assert all(len(node.protocol.table.live_members()) == 4 for node in net.nodes.values())


def test_what_failed_is_forgotten_and_growth_over_many_starts_is_none() -> None:
    net = SimulatedNetwork(15, probe_interval=0.02)
    net.start("m0")
    net.start("m1", seeds=("m0",))
    machine = net.node("m0").protocol
    for born in range(2, 160):
        name = f"x{born}"
        net.start(name, start_epoch=born, seeds=("m0",))
        net.run(net.now + 0.3)
        net.kill(name)
    assert len(machine.table.members) < 150
    net.run(net.now + 40.0)
    assert set(machine.table.members) == {"m0", "m1"} == set(net.node("m1").protocol.table.members)
    assert (
        not machine.suspicions
        and len(machine.peers) == 1
        and len(machine.table.reachability_reports) <= 2
    )
    assert not [
        seen
        for seen in net.observed_changes
        if seen.before == "unknown"
        and seen.after in ("failed", "left")
        and seen.at > net.now - 30.0
    ], "what one has forgotten is not learnt again"
    table = MembershipTable()
    for n in range(100_000):
        table.merge(MemberState("m", (n, 0), n % 4, ("h", 1), "m"))
    assert len(table.members) == 1 and len(table.pending_broadcasts) == 1


def words(chance: Random) -> list[MemberState | MemberBan | ReachabilityReport]:
    made: list[MemberState | MemberBan | ReachabilityReport] = []
    for _ in range(12):
        name = chance.choice("abc")
        made += [
            MemberState(
                name,
                (chance.randrange(3), chance.randrange(3)),
                chance.choice([ALIVE, SUSPECTED, FAILED, LEFT]),
                (name, 1),
                name,
            ),
            MemberBan(name, chance.randrange(4), chance.random() < 0.5),
            ReachabilityReport(name, (1, chance.randrange(4)), ("x",) * chance.randrange(2)),
        ]
    return made


@pytest.mark.parametrize("seed", range(20))
def test_merging_does_not_hang_on_order_doubles_or_grouping(seed: int) -> None:
    chance, table = Random(seed), MembershipTable()
    # Of one rank there is one content, as each is told by one voice; the voices of a suspicion count apart.
    given = {
        (
            type(item),
            item.name,
            item.precedence()
            if isinstance(item, MemberState)
            else item.version
            if isinstance(item, MemberBan)
            else item.version,
        ): item
        for item in words(chance)
    }
    items = list(given.values())
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
        for item in chance.sample(items, len(items)) + chance.choices(items, k=9):
            (other if chance.random() < 0.5 else half).merge(item)
        for item in half.full_state():
            other.merge(item)  # type: ignore[arg-type]
        assert (other.members, other.bans, other.reachability_reports) == (
            table.members,
            table.bans,
            table.reachability_reports,
        )
        assert other.digest() == table.digest()


def test_all_orders_of_few_words_end_in_one_view() -> None:
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


def test_what_is_told_is_bounded_in_size_and_number() -> None:
    table = MembershipTable()
    for n in range(300):
        table.merge(MemberState(f"member-{n}", (1, 0), ALIVE, ("10.0.0.1", n), "x"))
    told = 0
    while items := table.take_gossip():
        assert sum(len(msgspec.msgpack.encode(item)) for item in items) <= MAX_GOSSIP_BYTES
        told += len(items)
    assert told == 300 * 27  # three times the log of the size


def test_a_copy_sent_elsewhere_or_of_a_former_life_says_nothing() -> None:
    net = fleet(16, 3)
    machine, own = net.node("m0").protocol, net.node("m1").protocol.local_state
    assert machine.receive(net.now, Ping(own, "m2", 5, b"")) == []
    old = MemberState("m1", (0, 9), ALIVE, ("m1", 1), "m1")
    [answer] = machine.receive(net.now, Ping(old, "m0", 5, b""))
    assert isinstance(answer, Send) and isinstance(answer.message, Gossip)
    assert answer.message.gossip == (machine.table.members["m1"],)


@pytest.mark.parametrize(
    ("guard", "instead", "case"),
    [
        (
            "_detect_pause",
            lambda self, now: [],
            test_one_stopped_for_ten_seconds_condemns_nobody_as_it_thaws,
        ),
        (
            "_merge_claim",
            lambda self, now, item: self._merge_state(now, item, ""),
            test_word_that_one_who_is_well_has_failed_is_not_believed_unasked,
        ),
        (
            "_handle_local_claim",
            lambda self, now, item: [],
            test_a_cut_that_heals_while_the_verdict_is_on_its_way,
        ),
        (
            "_handle_local_claim",
            lambda self, now, item: [],
            lambda: test_of_two_processes_under_one_name_the_later_start_stays(3),
        ),
        (
            "_reconnect",
            lambda self, now: [],
            test_two_halves_know_themselves_and_come_together_again,
        ),
        (
            "_protocol_time",
            lambda self, now: setattr(self, "now", now) or now,
            test_clocks_that_are_off_and_jump_change_nothing,
        ),
        (
            "_update_reachability",
            lambda self, now: [],
            test_a_chain_keeps_all_and_tells_who_does_not_see_whom,
        ),
        (
            "_request_indirect_probes",
            lambda self, seq: setattr(self.probes[seq], "indirect_at", 1e18) or [],
            test_a_chain_keeps_all_and_tells_who_does_not_see_whom,
        ),
    ],
)
def test_each_guard_is_missed_once_it_is_taken_out(
    guard: str, instead: Any, case: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(MembershipProtocol, guard, instead)
    with pytest.raises((AssertionError, KeyError, IndexError)):
        case()


def test_three_members_agree_after_losses_doubles_a_kill_a_restart_and_a_cut() -> None:
    """Each course of two moves, and some longer ones; docs/members.md tells of the long run."""
    found = explore_depth_first(MembershipModel(), 2)
    assert not found.violation and found.courses > 50
    walked = explore_recovery_randomly(MembershipModel(), 30, seed=5)
    kinds = ("lose", "double", "kill", "restart", "cut", "heal")
    assert not walked.violation and min(walked.step_counts[kind] for kind in kinds) > 20


@pytest.mark.parametrize(
    ("guard", "instead"),
    [
        ("_handle_local_claim", lambda self, now, item: []),
        ("_reconnect", lambda self, now: []),
        ("_suspicion_deadline", lambda self, name: 1e18),
        ("_handle_probe_timeout", lambda self, now, probe: []),
    ],
)
def test_the_search_finds_what_is_taken_out_of_the_machine(
    guard: str, instead: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(MembershipProtocol, guard, instead)
    walked = explore_recovery_randomly(MembershipModel(), 30, seed=5)
    assert walked.violation, walked.step_counts
