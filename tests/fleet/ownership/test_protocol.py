"""Ownership in simulated time: each shard has at most one owner at a time under any faults."""

from collections import Counter
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any

import pytest

from dunlinlug.fleet.ownership import history
from dunlinlug.fleet.ownership.coordinator import LeaseCoordinator
from dunlinlug.fleet.ownership.errors import CheckpointError, ShardMoveError
from dunlinlug.fleet.ownership.lease import HeldLease
from dunlinlug.fleet.ownership.messages import LeaseGranted, shard_of
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol
from dunlinlug.fleet.ownership.simulated_network import (
    SimulatedMember,
    SimulatedNetwork,
    SimulationOptions,
)

LEASE = SimulationOptions().lease
TASKS = ("site/north", "worker/o-17/ramp", "probe/3 of 64", "pin/press-book")


def coordinator_of(net: SimulatedNetwork) -> SimulatedMember:
    return next(node for node in net.nodes.values() if node.protocol.log.is_leader)


def follower_of(net: SimulatedNetwork) -> SimulatedMember:
    return next(node for node in net.nodes.values() if not node.protocol.log.is_leader)


def imbalance(owners: list[str]) -> int:
    """Returns the difference between the largest and the smallest number of owned shards."""
    shards_owned = Counter(owners).values()
    return max(shards_owned) - min(shards_owned)


def run_random_faults(
    seed: int, members: int, seconds: float = 60.0, **options: Any
) -> SimulatedNetwork:
    """Runs with freezes, kills, restarts and partitions drawn from one seed, and ends without."""
    net = SimulatedNetwork(seed, SimulationOptions(members, TASKS, **options))
    rng = Random(f"storm {seed}")
    net.run(4.0)
    while net.now < seconds:
        inject_fault(net, rng)
        net.run(net.now + rng.uniform(0.1, 1.5))
    net.run(net.now + 5.0)
    net.heal()
    net.run(net.now + 6.0)
    return net


def inject_fault(net: SimulatedNetwork, rng: Random) -> None:
    """Draws a fault and schedules its end, or draws none."""
    name = rng.choice(net.member_names)
    node = net.nodes[name]
    match rng.choice(["freeze", "freeze", "kill", "partition", "mute", "none"]):
        case "freeze" if not node.frozen and not node.dead:
            net.freeze(name)
            unfreeze = partial(net.freeze, name, False)
            net.schedule(net.now + rng.choice([0.3, 1.01, 2.0, 4.0]), unfreeze)
        case "kill" if not node.frozen and not node.dead:
            net.kill(name)
            # Never with an empty disk: the protocol tolerates at most one member at a time that
            # has lost its vote.
            net.schedule(net.now + rng.uniform(0.1, 3.0), partial(net.start, name))
        case "partition":
            members = net.member_names
            side = tuple(rng.sample(members, rng.randint(1, len(members) - 1)))
            net.partition(side, tuple(other for other in members if other not in side))
            net.schedule(net.now + rng.uniform(0.5, 4.0), net.heal)
        case "mute":
            net.blocked_links |= {(name, other) for other in net.member_names if other != name}
            net.schedule(net.now + rng.uniform(0.5, 4.0), net.heal)


@pytest.mark.parametrize("seed", range(12))
def test_no_two_members_hold_a_shard_and_all_shards_are_held_after_the_faults(seed: int) -> None:
    net = run_random_faults(
        seed, 3 + 2 * (seed % 2), loss=0.05, duplication=0.05, max_effect_delay=0.5 * (seed % 3)
    )
    assert not net.ownership_conflicts, net.ownership_conflicts[:3]
    shards = {task: shard_of(task, net.shards) for task in TASKS}
    assert history.find_violations(net.observations, shards) == []
    holders = net.lease_holders()
    assert all(len(names) == 1 for names in holders.values()), holders
    assert len(net.observations) > 500
    assert len({observation.owner for observation in net.observations}) > 1


def test_an_effect_pending_in_a_frozen_owner_is_checked_again_or_rejected() -> None:
    """Without the second lease check the effect is sent and the executor rejects it. Without the
    check and without fencing the history shows a violation.
    """
    for recheck, fenced in ((True, True), (False, True), (True, False), (False, False)):
        net = SimulatedNetwork(2, SimulationOptions(recheck=recheck, fenced=fenced))
        net.run(5.0)
        frozen = next_follower_with_pending_effects(net)
        net.freeze(frozen.name)  # after it decided the effect, before it sends it
        net.run(net.now + 3.0)
        net.freeze(frozen.name, False)
        net.run(net.now + 1.0)
        found = [violation.description for violation in history.find_violations(net.observations)]
        rejected = sum(not observation.done for observation in net.observations)
        case = (recheck, fenced, found)
        assert ("a lower token after a higher one" in found) == (not recheck and not fenced), case
        assert bool(rejected) == (not recheck and fenced), case


def next_follower_with_pending_effects(net: SimulatedNetwork) -> SimulatedMember:
    while True:
        for node in net.nodes.values():
            if node.pending_effects and not node.protocol.log.is_leader:
                return node
        net.run(net.now + 0.005)


# Protocols without one of the rules.


class ReassignsTooEarly(OwnershipProtocol):
    """Reassigns a member's shards as soon as a renewal is late, before its leases have expired."""

    class Coordinator(LeaseCoordinator):
        def _grant_lease(self, now: float, member: str) -> list[object]:
            orders = super()._grant_lease(now, member)
            received_at = self.grants.last_renewals[member].received_at
            self.grants.granted_until[member] = received_at + self.heartbeat_interval
            return orders

    coordinator_class = Coordinator


class GrantsBeyondOwnLease(OwnershipProtocol):
    """Uses leases that outlast the coordinator's own lease."""

    class Lease(HeldLease):
        def receive(self, lease: LeaseGranted) -> None:
            super().receive(replace(lease, duration=lease.duration + LEASE))

    lease_class = Lease


class CountsLeaseFromResponse(OwnershipProtocol):
    """Counts a lease from the arrival of the answer instead of the sending of the renewal."""

    def receive(self, now: float, message: Any) -> list[object]:
        if isinstance(message, LeaseGranted):
            duration = message.duration / self.lease.drift_factor
            message = replace(message, sent_at=now, duration=duration)
        return super().receive(now, message)


class UsesOutdatedLog(OwnershipProtocol):
    """Uses a lease after a partition before its log is up to date."""

    class Lease(HeldLease):
        def log_covers(self, lease: LeaseGranted) -> bool:
            return True

    lease_class = Lease


@pytest.mark.parametrize(
    ("protocol_class", "options"),
    [
        (ReassignsTooEarly, {}),
        (GrantsBeyondOwnLease, {}),
        (UsesOutdatedLog, {}),
        (CountsLeaseFromResponse, {"delay": (0.0005, 0.4), "lease": 1.0}),
    ],
)
def test_a_protocol_without_one_of_its_rules_leads_to_conflicts(
    protocol_class: type[OwnershipProtocol], options: dict[str, Any]
) -> None:
    for seed in range(80):
        net = run_random_faults(
            seed, 3, 20.0, protocol_factory=protocol_class, loss=0.05, **options
        )
        if net.ownership_conflicts:
            return
    raise AssertionError("no conflict in 80 runs with random faults")


# Assignment.


def test_a_kill_moves_only_the_members_shards_and_a_restart_rebalances_by_the_fewest_moves() -> (
    None
):
    net = SimulatedNetwork(3, SimulationOptions(5, shards=256))
    net.run(5.0)
    started_at = net.now
    before = list(net.nodes["m1"].protocol.assignments.owners)
    assert imbalance(before) <= 1
    assert "" not in before
    net.kill("m4")
    net.run(net.now + 3.0)
    after = list(net.nodes["m1"].protocol.assignments.owners)
    assert all(old in (new, "m4") for old, new in zip(before, after, strict=True))
    assert "m4" not in after
    assert imbalance(after) <= 1
    assigned = len(net.assignments)
    net.start("m4")
    net.run(net.now + 12.0)
    final = list(net.nodes["m1"].protocol.assignments.owners)
    moved = sum(old != new for old, new in zip(after, final, strict=True))
    assert Counter(final)["m4"] == moved == 51, "exactly its share moves"
    assert len(net.assignments) > assigned
    assert net.now > started_at


def test_a_flapping_member_is_assigned_no_shards_in_the_end() -> None:
    net = SimulatedNetwork(4, SimulationOptions(3, shards=64))
    net.run(6.0)
    owned = list[int]()
    for _ in range(6):
        net.kill("m2")
        net.run(net.now + 3.0)
        net.start("m2")
        net.run(net.now + 7.0)
        owned.append(len(coordinator_of(net).protocol.assignments.shards_of("m2")))
    assert owned[0] > 0, owned
    assert owned[-1] == 0, owned


def test_a_refuted_suspicion_moves_no_shards() -> None:
    net = SimulatedNetwork(5, SimulationOptions(5, shards=64))
    net.run(6.0)
    before = list(net.nodes["m1"].protocol.assignments.tokens)
    live_members = set(net.member_names)
    for name in net.member_names:
        for node in net.nodes.values():
            for failed in (True, False):
                now = node.local_time(net.now)
                net.execute(
                    node, node.protocol.member_status_changed(now, name, failed, live_members)
                )
        net.run(net.now + 0.3)
    assert net.nodes["m1"].protocol.assignments.tokens == before


def test_an_operator_moves_a_task_to_another_member() -> None:
    net = SimulatedNetwork(8, SimulationOptions(3, shards=9))
    net.run(6.0)
    coordinator = coordinator_of(net)
    protocol = coordinator.protocol
    now = coordinator.local_time(net.now)
    [owner] = net.lease_holders()["x"]
    target = next(name for name in net.member_names if name != owner)
    shard = protocol.assignments.shard_of("x")
    with pytest.raises(ShardMoveError, match="not a voting member with a valid lease"):
        protocol.move_shard(now, shard, "m9")
    net.execute(coordinator, protocol.move_shard(now, shard, target))
    net.run(net.now + 0.3)
    assert net.lease_holders()["x"] == [target]
    assert history.find_violations(net.observations) == []


def test_a_majority_side_of_a_partition_holds_all_shards_and_other_sides_none() -> None:
    for sizes, owning_members in (((3, 2), 3), ((2, 2, 1), 0), ((4, 1), 4)):
        net = SimulatedNetwork(9, SimulationOptions(5, shards=64))
        net.run(6.0)
        sides = list[tuple[str, ...]]()
        rest = list(net.member_names)
        for size in sizes:
            sides.append(tuple(rest[:size]))
            rest = rest[size:]
        net.partition(*sides)
        net.run(net.now + 3.0)
        held = {name: len(node.protocol.held_shards) for name, node in net.nodes.items()}
        assert sum(held.values()) == (64 if owning_members else 0), held
        assert sum(shards > 0 for shards in held.values()) == owning_members, held
        net.heal()
        net.run(net.now + 4.0)
        assert sum(len(node.protocol.held_shards) for node in net.nodes.values()) == 64
        assert not net.ownership_conflicts
        assert history.find_violations(net.observations) == []


def test_thousands_of_tasks_orphaned_at_once_are_reassigned_by_one_entry() -> None:
    tasks = tuple(f"worker/o-{number}/ramp" for number in range(10_000))
    net = SimulatedNetwork(10, SimulationOptions(3, shards=256))
    net.run(6.0)
    coordinator = coordinator_of(net)
    assignments = coordinator.protocol.assignments
    victim = next(name for name in net.member_names if name != coordinator.name)
    entries = coordinator.protocol.log.position[1]
    orphaned = sum(assignments.owners[assignments.shard_of(task)] == victim for task in tasks)
    net.kill(victim)
    net.run(net.now + 1.5)
    assert orphaned > 3000
    assert victim not in coordinator.protocol.assignments.owners
    assert coordinator.protocol.log.position[1] == entries + 1, "one entry for any number of tasks"


# Checkpoints, tokens and leases.


def test_the_next_owner_gets_the_tasks_checkpoint() -> None:
    net = SimulatedNetwork(6)
    net.run(5.0)
    [owner] = net.lease_holders()["x"]
    node = net.nodes[owner]
    now = node.local_time(net.now)
    net.execute(node, node.protocol.store_checkpoint(now, "x", b"step 2"))
    net.run(net.now + 0.5)
    assert node.protocol.is_checkpointed("x")
    net.kill(owner)
    net.run(net.now + 3.0)
    [next_owner] = net.lease_holders()["x"]
    assert next_owner != owner
    assert net.nodes[next_owner].protocol.assignments.checkpoints["x"][1] == b"step 2"
    other = next(name for name in net.member_names if name not in (owner, next_owner))
    with pytest.raises(CheckpointError, match="does not hold the shard"):
        net.nodes[other].protocol.store_checkpoint(net.now, "x", b"step 9")


def test_no_token_is_accepted_twice_after_all_disks_were_lost() -> None:
    """Terms start from zero, but executors have already recorded higher tokens."""
    net = SimulatedNetwork(7)
    net.run(6.0)
    for name in net.member_names:
        net.kill(name)
    for name in net.member_names:
        net.start(name, disk=False)
    net.run(net.now + 20.0)
    assert history.find_violations(net.observations) == []
    assert all(len(owners) == 1 for owners in net.lease_holders().values())
    recent = [seen for seen in net.observations if seen.observed_at > net.now - 2.0]
    assert {seen.task for seen in recent if seen.done} == {"x", "y"}, (
        "work continues under tokens above all earlier ones"
    )
    assert any(not seen.done for seen in net.observations)


def test_a_lease_for_another_incarnation_or_of_another_coordinator_or_newer_log_is_ignored() -> (
    None
):
    net = SimulatedNetwork(11)
    net.run(5.0)
    node = follower_of(net)
    protocol = node.protocol
    now = node.local_time(net.now)
    position = protocol.log.position
    coordinator = protocol.log.leader
    other = next(name for name in net.member_names if name not in (coordinator, node.name))
    valid = LeaseGranted(
        protocol.log.term, coordinator, now, 50.0, position, position, protocol.lease.incarnation
    )
    until = protocol.lease.until
    for invalid in (
        replace(valid, incarnation=valid.incarnation + 1),
        replace(valid, sender=other),
        replace(valid, term=valid.term - 1),
        replace(valid, log_position=(position[0], position[1] + 1)),
    ):
        protocol.receive(now, invalid)
        assert protocol.lease.until == until, invalid
    protocol.receive(now, valid)
    assert protocol.lease.until > now + 40.0
