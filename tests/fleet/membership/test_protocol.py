"""The membership protocol in simulated time: failures, partitions, pauses, clocks. No sockets."""

import pytest

from dunlinlug.fleet.membership.member_table import MembershipTable
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    FAILED,
    Gossip,
    MemberState,
    Ping,
    Send,
    StateSync,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.simulated_network import SimulatedNetwork


def stable_cluster(seed: int, size: int, **conditions: float) -> SimulatedNetwork:
    net = SimulatedNetwork(seed, **conditions)
    net.start_cluster(size)
    net.run(8.0)
    assert net.views_agree() and not net.changes_to()
    return net


def latest_states(net: SimulatedNetwork, by: str) -> dict[str, str]:
    """The latest states of the other members, by one member's own changes."""
    return {
        change.subject: change.after for change in net.observed_changes if change.observer == by
    }


@pytest.mark.parametrize("size", [2, 3, 5, 16])
def test_a_failure_is_detected_by_all_members_soon_and_no_other_is_reported(size: int) -> None:
    for seed in range(4):
        net = stable_cluster(seed, size, loss=0.05)
        net.kill("m1")
        net.run(12.0 if size > 2 else 28.0)
        detected_after = {
            change.observer: change.at - 8.0
            for change in net.changes_to()
            if change.subject == "m1"
        }
        assert len(detected_after) == size - 1 and max(detected_after.values()) < (
            2.5 if size > 2 else 20.0
        )
        assert {change.subject for change in net.changes_to()} == {"m1"} and net.views_agree()


def test_a_restart_is_a_new_start_epoch_and_a_leave_is_no_failure() -> None:
    net = stable_cluster(1, 5)
    net.kill("m3")
    net.start("m3", start_epoch=2, seeds=("m0", "m1"))  # at once, at the same address
    net.run(12.0)
    assert not net.changes_to() and net.views_agree()
    assert all(node.protocol.table.members["m3"].incarnation[0] == 2 for node in net.nodes.values())
    assert any(
        change.reason.startswith("restarted")
        for change in net.observed_changes
        if change.subject == "m3"
    )
    net.perform("m2", MembershipProtocol.leave)
    net.kill("m2")
    net.run(14.0)
    assert {latest_states(net, by)["m2"] for by in ("m0", "m1", "m3", "m4")} == {
        "left"
    } and not net.changes_to()


def test_a_restart_with_a_lost_start_epoch_continues_above_the_failed_one() -> None:
    net = stable_cluster(2, 4)
    net.kill("m3")
    net.run(12.0)
    net.start("m3", start_epoch=0, seeds=("m0", "m1"))
    net.run(18.0)
    assert net.views_agree() and all(
        latest_states(net, by)["m3"] == "alive" for by in ("m0", "m1", "m2")
    )
    assert net.node("m3").protocol.local_state.incarnation[0] == 2


@pytest.mark.parametrize("first_epoch", [3, 4])
def test_of_two_processes_under_one_name_the_later_start_wins(first_epoch: int) -> None:
    net = stable_cluster(3, 4)
    net.start("m9", start_epoch=first_epoch, seeds=("m0",), address=("m9", 1))
    net.run(12.0)
    net.start("m9", start_epoch=7 - first_epoch, seeds=("m1",), address=("elsewhere", 1))
    net.run(20.0)
    assert net.superseded == ["m9"]
    [winner] = [
        node for node in net.nodes.values() if node.name == "m9" and node.protocol.state == "alive"
    ]
    assert winner.protocol.local_state.incarnation[0] == 4 and net.views_agree()
    assert net.node("m0").protocol.table.members["m9"].address == winner.address


def test_a_member_that_restarts_at_another_address_is_found_there() -> None:
    net = stable_cluster(4, 4)
    net.kill("m2")
    net.run(9.0)
    net.start("m2", start_epoch=2, seeds=("m0",), address=("moved", 7))
    net.run(14.0)
    assert net.views_agree() and all(
        node.protocol.table.members["m2"].address == ("moved", 7) for node in net.nodes.values()
    )


def test_two_halves_of_a_partition_rejoin_once_it_heals() -> None:
    net = stable_cluster(5, 4)
    net.partition(("m0", "m1"), ("m2", "m3"))
    net.run(40.0)
    for node in net.nodes.values():
        assert sum(node.protocol.is_reachable(f"m{number}") for number in range(4)) == 2
    net.heal()
    net.run(50.0)
    assert net.views_agree() and all(
        node.protocol.is_reachable(f"m{number}")
        for node in net.nodes.values()
        for number in range(4)
    )


def test_a_partition_that_heals_while_the_failure_is_being_gossiped() -> None:
    for seed in range(10):
        net = stable_cluster(seed, 5)
        net.partition(("m4",), ("m0", "m1", "m2", "m3"))
        while not net.changes_to():
            net.run(net.now + 0.01)
        net.heal()
        net.run(net.now + 8.0)
        assert net.views_agree() and not set(net.node("m0").protocol.table.departed_members())


def test_a_member_with_links_of_one_direction_only() -> None:
    net = stable_cluster(6, 5)
    others = tuple(f"m{number}" for number in range(4))
    net.blocked_links |= {("m4", other) for other in others}
    net.run(20.0)
    assert {latest_states(net, by)["m4"] for by in others} == {"failed"}
    assert not any(net.node("m4").protocol.is_reachable(other) for other in others), (
        "it reports no member as reachable"
    )
    net.heal()
    net.run(30.0)
    assert net.views_agree()
    net.blocked_links |= {(other, "m4") for other in others}
    before = len(net.observed_changes)
    net.run(60.0)
    false_failures = [
        change
        for change in net.observed_changes[before:]
        if change.after == "failed" and change.observer != "m4" and change.subject != "m4"
    ]
    assert not false_failures, "a member that receives no messages causes no failures of others"
    assert not any(net.node("m4").protocol.is_reachable(other) for other in others)


def test_in_a_chain_all_stay_alive_and_report_unreachable_members() -> None:
    net = stable_cluster(7, 3)
    net.partition(("m0",), ("m2",))
    net.run(30.0)
    assert not net.changes_to()
    reports = {
        name: node.protocol.table.reachability_reports
        for name in ("m0", "m1", "m2")
        for node in [net.node(name)]
    }
    for reported in reports.values():
        assert reported["m0"].not_answering == ("m2",) and reported["m2"].not_answering == ("m0",)
        assert reported["m0"].silent == ("m2",) and reported["m2"].silent == ("m0",)
    net.heal()
    net.run(40.0)
    assert all(
        not report.not_answering and not report.silent
        for node in net.nodes.values()
        for report in node.protocol.table.reachability_reports.values()
    )


def test_views_agree_after_a_member_has_flapped() -> None:
    net = stable_cluster(8, 5)
    for number in range(40):  # paused for about as long as a suspicion lasts, then resumed
        net.schedule(8.0 + number * 2.0, lambda: net.freeze("m2"))
        net.schedule(8.0 + number * 2.0 + 0.9, lambda: net.freeze("m2", False))
    net.run(100.0)
    assert net.views_agree() and not set(net.node("m0").protocol.table.departed_members())


def test_views_agree_after_all_members_restart_within_a_second() -> None:
    net = stable_cluster(9, 5)
    for number in range(5):
        net.kill(f"m{number}")
        net.start(f"m{number}", start_epoch=2, seeds=("m0", "m1", "m2"))
        net.run(8.0 + 0.2 * (number + 1))
    net.run(20.0)
    assert net.views_agree() and all(
        len(node.protocol.table.live_members()) == 5 for node in net.nodes.values()
    )


def test_a_member_paused_for_ten_seconds_causes_no_failures_when_it_resumes() -> None:
    for seed in range(6):
        net = stable_cluster(seed, 5)
        net.freeze("m1")
        net.run(18.0)
        before = len(net.observed_changes)
        net.freeze("m1", False)
        net.run(24.0)
        assert net.pauses["m1"] >= 1 and net.views_agree()
        assert not [change for change in net.observed_changes[before:] if change.after == "failed"]


def test_a_slow_member_causes_no_false_positives() -> None:
    net = SimulatedNetwork(10)
    for number in range(5):
        net.start(f"m{number}", seeds=("m0", "m1"), max_timer_delay=1.0 if number == 3 else 0.0)
    net.run(300.0)
    assert not [change for change in net.changes_to() if change.subject != "m3"]


def test_clocks_that_drift_and_jump_cause_no_failures() -> None:
    net = SimulatedNetwork(11)
    for number in range(4):
        net.start(f"m{number}", seeds=("m0", "m1"), clock_rate=(0.98, 1.02)[number % 2])
    net.run(10.0)
    node = net.node("m2")
    probed = node.protocol.sequence
    node.clock_origin += 3600.0 / (
        node.clock_rate - 1.0
    )  # sets its clock back by an hour at this instant
    net._arm_timer(node)
    net.run(20.0)
    assert node.protocol.sequence >= probed + 40, "probing continues at once"
    node.clock_origin -= 7200.0 / (node.clock_rate - 1.0)  # and forward by two hours
    net._arm_timer(node)
    net.run(30.0)
    assert not net.changes_to() and net.views_agree()
    net.kill("m0")
    net.run(36.0)
    assert {change.observer for change in net.changes_to()} == {"m1", "m2", "m3"}


def test_a_claim_that_a_live_member_failed_is_checked_first() -> None:
    net = stable_cluster(17, 4)
    protocol, m2 = net.node("m0").protocol, net.node("m0").protocol.table.members["m2"]
    failed = MemberState("m2", m2.incarnation, FAILED, m2.address, "m3")
    net.perform(
        "m0",
        lambda protocol, now: protocol.receive(
            now, Gossip(net.node("m3").protocol.local_state, "m0", (failed,))
        ),
    )
    assert protocol.table.members["m2"].state == ALIVE
    net.run(12.0)
    assert (
        net.views_agree()
        and not net.changes_to()
        and net.node("m2").protocol.local_state.incarnation[1] == 1
    ), "it refuted the claim"


def test_a_member_with_a_dead_seed_joins_once_the_seed_starts() -> None:
    net = stable_cluster(12, 3)
    net.start("late", seeds=("dead",))
    net.run(12.0)
    assert net.node("late").protocol.state == "joining"
    net.start("dead", seeds=("m1",))
    net.run(20.0)
    assert net.views_agree() and len(net.node("late").protocol.table.live_members()) == 5


def test_a_cluster_grows_and_shrinks_while_members_fail() -> None:
    net = SimulatedNetwork(13, loss=0.05)
    net.start("m0")
    for number in range(1, 5):
        net.start(f"m{number}", seeds=("m0",))
        net.run(net.now + 2.0)
    net.kill("m2")
    net.start("m5", seeds=("m0",))
    net.run(net.now + 4.0)
    assert net.views_agree() and len(net.node("m0").protocol.table.live_members()) == 5
    for number in (5, 4, 3, 1):
        (net.kill if number % 2 else lambda name: net.perform(name, MembershipProtocol.leave))(
            f"m{number}"
        )
        net.run(net.now + 4.0)
    net.run(net.now + 25.0)
    assert net.node("m0").protocol.table.live_members() == ["m0"]


def test_an_operator_bans_a_member_and_lets_it_in_again() -> None:
    net = stable_cluster(14, 4)
    net.perform("m0", lambda protocol, now: protocol.set_banned(now, "m3", True))
    net.run(12.0)
    assert all("m3" not in node.protocol.table.live_members() for node in net.nodes.values())
    assert net.node("m3").protocol.state == "barred" and net.views_agree()
    with pytest.raises(ValueError, match="no member known here"):
        net.node("m0").protocol.set_banned(net.now, "unknown", True)
    net.perform("m1", lambda protocol, now: protocol.set_banned(now, "m3", False))
    net.run(20.0)
    assert all(len(node.protocol.table.live_members()) == 4 for node in net.nodes.values())


def test_failed_members_are_forgotten_and_memory_does_not_grow_over_many_starts() -> None:
    net = SimulatedNetwork(15, probe_interval=0.02)
    net.start("m0")
    net.start("m1", seeds=("m0",))
    protocol = net.node("m0").protocol
    for start_epoch in range(2, 160):
        name = f"x{start_epoch}"
        net.start(name, start_epoch=start_epoch, seeds=("m0",))
        net.run(net.now + 0.3)
        net.kill(name)
    assert len(protocol.table.members) < 150
    net.run(net.now + 40.0)
    assert set(protocol.table.members) == {"m0", "m1"} == set(net.node("m1").protocol.table.members)
    assert (
        not protocol.suspicions
        and len(protocol.peers) == 1
        and len(protocol.table.reachability_reports) <= 2
    )
    assert not [
        change
        for change in net.observed_changes
        if change.before == "unknown"
        and change.after in ("failed", "left")
        and change.at > net.now - 30.0
    ], "a forgotten member is not added again through another member"
    table = MembershipTable()
    for number in range(100_000):
        table.merge(MemberState("m", (number, 0), number % 4, ("h", 1), "m"))
    assert len(table.members) == 1 and len(table.pending_broadcasts) == 1


def test_a_state_sync_is_answered_at_the_address_that_it_gives() -> None:
    net = stable_cluster(18, 3)
    protocol, peer = net.node("m0").protocol, net.node("m1").protocol.local_state
    moved = MemberState("m1", peer.incarnation, ALIVE, ("elsewhere", 9), "m1")
    orders = protocol.receive(net.now, StateSync(moved, "m0", True, ()))
    assert [order.address for order in orders] == [("elsewhere", 9)]
    assert protocol.table.members["m1"].address == peer.address, "equal precedence: no change"


def test_a_message_for_another_member_or_of_an_earlier_start_has_no_effect() -> None:
    net = stable_cluster(16, 3)
    protocol, peer = net.node("m0").protocol, net.node("m1").protocol.local_state
    assert protocol.receive(net.now, Ping(peer, "m2", 5, b"")) == []
    old = MemberState("m1", (0, 9), ALIVE, ("m1", 1), "m1")
    [answer] = protocol.receive(net.now, Ping(old, "m0", 5, b""))
    assert isinstance(answer, Send) and isinstance(answer.message, Gossip)
    assert answer.message.gossip == (protocol.table.members["m1"],)
