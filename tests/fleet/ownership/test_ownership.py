"""One owner at a time: the machine in simulated time, dealing, the fence, the book, the history checker."""

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from dunlinlug.fleet.ownership import assignment, history
from dunlinlug.fleet.ownership import log as books
from dunlinlug.fleet.ownership.coordinator import LeaseCoordinator
from dunlinlug.fleet.ownership.fencing import FencingGuard
from dunlinlug.fleet.ownership.history import Observation
from dunlinlug.fleet.ownership.lease import HeldLease
from dunlinlug.fleet.ownership.messages import LeaseGranted, shard_of, term_of, token_at
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol
from dunlinlug.fleet.ownership.simulated_network import SimulatedNetwork, SimulationOptions

LEASE = SimulationOptions().lease
PIECES = ("site/north", "worker/o-17/ramp", "probe/3 of 64", "pin/press-book")


def storm(seed: int, members: int, seconds: float = 60.0, **more: Any) -> SimulatedNetwork:
    """Freezes, kills, restarts with and without a disk, cuts of all kinds, drawn from one seed; calm at the end."""
    net, chance = (
        SimulatedNetwork(seed, SimulationOptions(members, PIECES, **more)),
        Random(f"storm {seed}"),
    )
    net.run(4.0)
    while net.now < seconds:
        name = chance.choice(net.member_names)
        node = net.nodes[name]
        match chance.choice(["freeze", "freeze", "kill", "cut", "oneway", "quiet"]):
            case "freeze" if not node.frozen and not node.dead:
                net.freeze(name)
                net.schedule(
                    net.now + chance.choice([0.3, 1.01, 2.0, 4.0]),
                    lambda name=name: net.freeze(name, False),
                )
            case "kill" if not node.frozen and not node.dead:
                net.kill(name)
                # With an empty disk only once its vote is old: as promised, no more than one at a time forgets it.
                net.schedule(net.now + chance.uniform(0.1, 3.0), lambda name=name: net.start(name))
            case "cut":
                side = tuple(chance.sample(net.member_names, chance.randint(1, members - 1)))
                net.partition(side, tuple(other for other in net.member_names if other not in side))
                net.schedule(net.now + chance.uniform(0.5, 4.0), net.heal)
            case "oneway":
                net.blocked_links |= {(name, other) for other in net.member_names if other != name}
                net.schedule(net.now + chance.uniform(0.5, 4.0), net.heal)
        net.run(net.now + chance.uniform(0.1, 1.5))
    net.run(net.now + 5.0)
    net.heal()
    net.run(net.now + 6.0)
    return net


@pytest.mark.parametrize("seed", range(12))
def test_no_two_act_for_a_slot_and_all_is_owned_again(seed: int) -> None:
    net = storm(
        seed, 3 + 2 * (seed % 2), loss=0.05, duplication=0.05, max_effect_delay=0.5 * (seed % 3)
    )
    assert not net.ownership_conflicts, net.ownership_conflicts[:3]
    assert (
        history.find_violations(
            net.observations, {piece: shard_of(piece, net.shards) for piece in PIECES}
        )
        == []
    )
    assert all(len(owners) == 1 for owners in net.lease_holders().values()), net.lease_holders()
    assert len(net.observations) > 500 and len({seen.owner for seen in net.observations}) > 1


def test_an_effect_in_a_frozen_owner_s_queue_is_looked_at_again_or_refused() -> None:
    """Without the second look it leaves, and the fence refuses it; with neither the checker finds it."""
    for look, fenced in ((True, True), (False, True), (True, False), (False, False)):
        net = SimulatedNetwork(2, SimulationOptions(recheck=look, fenced=fenced))
        net.run(5.0)
        while True:
            frozen = next(
                (
                    node
                    for node in net.nodes.values()
                    if node.pending_effects and not node.protocol.log.is_leader
                ),
                None,
            )
            if frozen is not None:
                break
            net.run(net.now + 0.005)
        net.freeze(frozen.name)  # between its decision and its writing
        net.run(net.now + 3.0)
        net.freeze(frozen.name, False)
        net.run(net.now + 1.0)
        said, refused = (
            [fault.description for fault in history.find_violations(net.observations)],
            sum(not seen.done for seen in net.observations),
        )
        assert ("a lower number after a higher" in said) == (not look and not fenced), (
            look,
            fenced,
            said,
        )
        assert bool(refused) == (not look and fenced)


class ReassignsTooEarly(OwnershipProtocol):
    """Assigns shards anew as soon as a member is late, not when all that it was granted has ended."""

    class Coordinator(LeaseCoordinator):
        def _grant_lease(self, now: float, member: str) -> list[object]:
            orders = super()._grant_lease(now, member)
            received_at = self.grants.last_renewals[member].received_at
            self.grants.granted_until[member] = received_at + self.heartbeat_interval
            return orders

    coordinator_class = Coordinator


class GrantsBeyondOwnLease(OwnershipProtocol):
    """Grants beyond the coordinator's own lease."""

    class Lease(HeldLease):
        def receive(self, lease: LeaseGranted) -> None:
            super().receive(replace(lease, duration=lease.duration + LEASE))

    lease_class = Lease


class CountsLeaseFromResponse(OwnershipProtocol):
    """Counts a lease from when the answer came."""

    def receive(self, now: float, message: object) -> list[object]:
        if isinstance(message, LeaseGranted):
            duration = message.duration / self.lease.drift_factor
            message = replace(message, sent_at=now, duration=duration)
        return super().receive(now, message)


class UsesOutdatedLog(OwnershipProtocol):
    """Back from a partition, counts a lease by a log that it has not brought up to date."""

    class Lease(HeldLease):
        def log_covers(self, lease: LeaseGranted) -> bool:
            return True

    lease_class = Lease


@pytest.mark.parametrize(
    ("make", "more"),
    [
        (ReassignsTooEarly, {}),
        (GrantsBeyondOwnLease, {}),
        (UsesOutdatedLog, {}),
        (CountsLeaseFromResponse, {"delay": (0.0005, 0.4), "lease": 1.0}),
    ],
)
def test_a_broken_owner_is_caught(make: type[OwnershipProtocol], more: dict[str, Any]) -> None:
    for seed in range(80):
        net = storm(seed, 3, 20.0, protocol_factory=make, loss=0.05, **more)
        if net.ownership_conflicts:
            return
    raise AssertionError("not seen in eighty storms")


def test_a_death_moves_what_was_owned_and_nothing_else_and_a_return_levels_by_the_fewest_moves() -> (
    None
):
    net = SimulatedNetwork(3, SimulationOptions(5, shards=256))
    net.run(5.0)
    before, at = list(net.nodes["m1"].protocol.assignments.owners), net.now
    assert max(Counter(before).values()) - min(Counter(before).values()) <= 1 and "" not in before
    net.kill("m4")
    net.run(net.now + 3.0)
    after = list(net.nodes["m1"].protocol.assignments.owners)
    assert (
        all(a == b or a == "m4" for a, b in zip(before, after, strict=True)) and "m4" not in after
    )
    assert max(Counter(after).values()) - min(Counter(after).values()) <= 1
    moved = len(net.assignments)
    net.start("m4")
    net.run(net.now + 12.0)
    again = list(net.nodes["m1"].protocol.assignments.owners)
    back = sum(a != b for a, b in zip(after, again, strict=True))
    assert Counter(again)["m4"] == back == 51, "not one more than its part"
    assert len(net.assignments) > moved and net.now > at


def test_one_that_comes_and_goes_is_dealt_less_and_less() -> None:
    net = SimulatedNetwork(4, SimulationOptions(3, shards=64))
    net.run(6.0)
    held = list[int]()
    for _ in range(6):
        net.kill("m2")
        net.run(net.now + 3.0)
        net.start("m2")
        net.run(net.now + 7.0)
        steward = next(node.protocol for node in net.nodes.values() if node.protocol.log.is_leader)
        held.append(len(steward.assignments.shards_of("m2")))
    assert held[0] > 0 and held[-1] == 0, held


def test_a_suspicion_that_is_refuted_moves_nothing() -> None:
    net = SimulatedNetwork(5, SimulationOptions(5, shards=64))
    net.run(6.0)
    before = list(net.nodes["m1"].protocol.assignments.tokens)
    for name in net.member_names:
        for node in net.nodes.values():
            net.execute(
                node,
                node.protocol.member_status_changed(
                    node.local_time(net.now), name, True, set(net.member_names)
                ),
            )
            net.execute(
                node,
                node.protocol.member_status_changed(
                    node.local_time(net.now), name, False, set(net.member_names)
                ),
            )
        net.run(net.now + 0.3)
    assert net.nodes["m1"].protocol.assignments.tokens == before


def test_the_next_owner_learns_how_far_the_work_had_come() -> None:
    net = SimulatedNetwork(6)
    net.run(5.0)
    [owner] = net.lease_holders()["x"]
    node = net.nodes[owner]
    net.execute(node, node.protocol.store_checkpoint(node.local_time(net.now), "x", b"step 2"))
    net.run(net.now + 0.5)
    assert node.protocol.is_checkpointed("x")
    net.kill(owner)
    net.run(net.now + 3.0)
    [following] = net.lease_holders()["x"]
    assert (
        following != owner
        and net.nodes[following].protocol.assignments.checkpoints["x"][1] == b"step 2"
    )
    with pytest.raises(ValueError, match="not ours"):
        other = next(n for n in net.member_names if n not in (owner, following))
        net.nodes[other].protocol.store_checkpoint(net.now, "x", b"step 9")


def test_a_disk_a_minute_old_gives_no_number_that_passes_a_fence_twice() -> None:
    """All restart with empty disks: terms begin anew, and carriers know of higher ones."""
    net = SimulatedNetwork(7)
    net.run(6.0)
    for name in net.member_names:
        net.kill(name)
    for name in net.member_names:
        net.start(name, disk=False)
    net.run(net.now + 20.0)
    assert history.find_violations(net.observations) == [] and all(
        len(owners) == 1 for owners in net.lease_holders().values()
    )
    done = [seen for seen in net.observations if seen.done and seen.observed_at > net.now - 2.0]
    assert {seen.task for seen in done} == {"x", "y"}, (
        "work goes on under numbers above all that were seen"
    )
    assert any(not seen.done for seen in net.observations)


def test_an_operator_moves_a_piece_and_it_stays_for_a_while() -> None:
    net = SimulatedNetwork(8, SimulationOptions(3, shards=9))
    net.run(6.0)
    steward = next(node for node in net.nodes.values() if node.protocol.log.is_leader)
    [owner] = net.lease_holders()["x"]
    to = next(name for name in net.member_names if name != owner)
    slot = steward.protocol.assignments.shard_of("x")
    with pytest.raises(ValueError, match="no member that is here"):
        steward.protocol.move_shard(steward.local_time(net.now), slot, "m9")
    net.execute(steward, steward.protocol.move_shard(steward.local_time(net.now), slot, to))
    net.run(net.now + 0.3)
    assert net.lease_holders()["x"] == [to]
    assert history.find_violations(net.observations) == []


# The parts.


def test_the_fence_goes_by_numbers_owners_and_counts() -> None:
    fence = FencingGuard()
    assert (
        not fence.check(1, 5, "a", 1)
        and not fence.check(1, 5, "a", 3)
        and not fence.check(2, 4, "b", 1)
    )
    assert "came before" in fence.check(1, 5, "a", 3) and "came before" in fence.check(1, 5, "a", 2)
    assert "is a's" in fence.check(1, 5, "b", 9) and "below 5" in fence.check(1, 4, "b", 1)
    assert not fence.check(1, 6, "b", 1) and "below 8" in fence.check(1, 7, "c", 1, minimum=8)
    assert fence.highest_token(1).owner == "b" and fence.highest_token(9).number == 0


@pytest.mark.parametrize("seed", range(8))
def test_dealing_is_level_and_moves_no_more_than_it_must(seed: int) -> None:
    chance = Random(seed)
    names = [f"m{n}" for n in range(chance.randint(2, 7))]
    owners = [chance.choice([*names, ""]) for _ in range(chance.choice([8, 64, 256]))]
    gone = {"", *chance.sample(names, chance.randint(0, len(names) - 1))}
    able = [name for name in names if name not in gone]
    before = list(owners)
    for slot, to in assignment.assign_orphans(owners, gone, able):
        assert owners[slot] in gone
        owners[slot] = to
    assert not set(owners) & gone
    lost = sum(owner in gone for owner in before)
    assert sum(a != b for a, b in zip(before, owners, strict=True)) == lost
    least = sum(max(0, n - -(-len(owners) // len(able))) for n in Counter(owners).values())
    moved = 0
    while moves := assignment.rebalance(owners, {}, able):
        assert len(moves) <= assignment.MAX_CONCURRENT_MOVES
        for slot, to in moves:
            owners[slot], moved = to, moved + 1
    load = [owners.count(name) for name in able]
    # The most that one may have is fixed by the mean; below it the least even out: at most one more move each.
    assert max(load) - min(load) <= 1 and least <= moved <= least + len(able)


def test_the_book_is_the_same_by_entries_and_by_the_whole_and_refuses_what_is_late() -> None:
    first, chance = books.AssignmentTable(16), Random(2)
    for n in range(1, 200):
        piece, slot = f"p{n % 9}", chance.randrange(16)
        said = chance.choice(
            [
                books.Assign(((slot, chance.choice("abc")),), "test"),
                books.Revoke(((slot, "a"),)),
                books.MemberRestarted(chance.choice("abc"), n),
                books.Checkpoint(((piece, first.tokens[first.shard_of(piece)], b"x" * (n % 3)),)),
            ]
        )
        before = list(first.tokens)
        first.apply(books.decode_entry(books.encode_entry(said)), (1 + n // 50, n))
        assert all(a >= b for a, b in zip(first.tokens, before, strict=True)), "numbers only grow"
        again = books.decode_snapshot(first.snapshot(), 16)
        assert vars(again) == vars(first)
    held = dict(first.checkpoints)
    first.apply(
        books.Checkpoint((("p1", first.tokens[first.shard_of("p1")] - 1, b"late"),)), (9, 999)
    )
    assert first.checkpoints == held
    for bad in (b"", b"\xff", b"\x91\xa1z"):
        with pytest.raises(books.LogFormatError):
            books.decode_entry(bad)
        with pytest.raises(books.LogFormatError):
            books.decode_snapshot(bad, 16)
    with pytest.raises(books.LogFormatError, match="16 slots, we 8"):
        books.decode_snapshot(first.snapshot(), 8)
    assert term_of(token_at((7, 12))) == 7


def test_the_checker_finds_each_kind_of_disorder() -> None:
    def seen(
        number: int, count: int, owner: str, carrier: str = "c", done: bool = True
    ) -> Observation:
        return Observation(0.0, carrier, "p", number, count, owner, done)

    good = [
        seen(1, 1, "a"),
        seen(1, 2, "a"),
        seen(2, 1, "b"),
        seen(1, 3, "a", done=False),
        seen(1, 3, "a", "d"),
    ]
    assert history.find_violations(good) == []
    for bad, said in (
        (seen(1, 9, "a"), "a lower number after a higher"),
        (seen(2, 1, "b"), "done again"),
        (seen(2, 2, "c"), "two owners under one number"),
    ):
        assert [fault.description for fault in history.find_violations([*good, bad])][0].startswith(
            said
        )


def test_of_a_cut_the_majority_owns_all_and_where_there_is_none_nobody_does() -> None:
    for sides, owning in (((3, 2), 3), ((2, 2, 1), 0), ((4, 1), 4)):
        net = SimulatedNetwork(9, SimulationOptions(5, shards=64))
        net.run(6.0)
        cuts, rest = list[tuple[str, ...]](), list(net.member_names)
        for size in sides:
            cuts.append(tuple(rest[:size]))
            rest = rest[size:]
        net.partition(*cuts)
        net.run(net.now + 3.0)
        held = {name: len(node.protocol.held_shards) for name, node in net.nodes.items()}
        assert (
            sum(held.values()) == (64 if owning else 0)
            and sum(count > 0 for count in held.values()) == owning
        ), held
        net.heal()
        net.run(net.now + 4.0)
        assert sum(len(node.protocol.held_shards) for node in net.nodes.values()) == 64
        assert not net.ownership_conflicts and history.find_violations(net.observations) == []


def test_thousands_of_pieces_orphaned_in_one_moment_are_dealt_by_one_entry() -> None:
    pieces = tuple(f"worker/o-{n}/ramp" for n in range(10_000))
    net = SimulatedNetwork(10, SimulationOptions(3, shards=256))
    net.run(6.0)
    steward = next(node for node in net.nodes.values() if node.protocol.log.is_leader)
    victim = next(name for name in net.member_names if name != steward.name)
    before, entries = steward.protocol.assignments.owners.copy(), steward.protocol.log.position[1]
    orphaned = sum(
        before[steward.protocol.assignments.shard_of(piece)] == victim for piece in pieces
    )
    net.kill(victim)
    net.run(net.now + 1.5)
    assert orphaned > 3000 and victim not in steward.protocol.assignments.owners
    assert steward.protocol.log.position[1] == entries + 1, (
        "one entry, and as many messages as for ten pieces"
    )


def test_what_was_granted_to_a_former_life_or_by_another_steward_gives_nothing() -> None:
    net = SimulatedNetwork(11)
    net.run(5.0)
    node = next(node for node in net.nodes.values() if not node.protocol.log.is_leader)
    machine, now = node.protocol, node.local_time(net.now)
    steward, until = machine.log.leader, machine.lease.until
    other = next(name for name in net.member_names if name not in (steward, node.name))
    place = machine.log.position
    for granted in (
        LeaseGranted(
            machine.log.term, steward, now, 50.0, place, place, machine.lease.incarnation + 1
        ),
        LeaseGranted(machine.log.term, other, now, 50.0, place, place, machine.lease.incarnation),
        LeaseGranted(
            machine.log.term - 1, steward, now, 50.0, place, place, machine.lease.incarnation
        ),
        LeaseGranted(
            machine.log.term,
            steward,
            now,
            50.0,
            (place[0], place[1] + 1),
            place,
            machine.lease.incarnation,
        ),
    ):
        machine.receive(now, granted)
        assert machine.lease.until == until, granted
    machine.receive(
        now,
        LeaseGranted(machine.log.term, steward, now, 50.0, place, place, machine.lease.incarnation),
    )
    assert machine.lease.until > now + 40.0
