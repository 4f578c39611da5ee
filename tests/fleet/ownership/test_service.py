"""Ownership over sockets in one process: a former owner's effects, and tokens after a restart."""

from functools import partial

import trio

from dunlinlug.fleet.ownership.messages import Effect
from tests.fixtures.manager_process import until
from tests.fleet.ownership.members import OwnershipMembers

TASK = "site/north"


async def test_effects_of_a_former_owner_are_rejected_and_it_stops_sending(
    three_members: OwnershipMembers,
) -> None:
    executed = list[tuple[str, bytes]]()

    def record(name: str, effect: Effect) -> None:
        executed.append((name, effect.body))

    members = three_members.ownerships
    for name, ownership in members.items():
        ownership.handle_effects("site", partial(record, name))
    owner = next(name for name in members if members[name].held_token(TASK) is not None)
    coordinator = next(member for member in members.values() if member.protocol.log.is_leader)
    target = next(name for name in members if name != owner)
    members[owner].store_checkpoint(TASK, b"step 2")
    assert members[owner].send_effect(target, TASK, b"first")
    await until(lambda: (target, b"first") in executed)
    late = Effect(0, owner, TASK, members[owner].held_token(TASK) or 0, 99, b"late")
    coordinator.move_task(TASK, target)
    await until(lambda: members[target].held_token(TASK) is not None)
    assert members[target].checkpoint(TASK) == b"step 2", "the next owner has the checkpoint"
    assert not members[owner].send_effect(target, TASK, b"no more")
    assert members[owner].counters["not_ours"] == 1
    for name in members:
        if name != owner:
            # Simulates an effect that was delayed in a socket buffer.
            members[owner].transport.send(name, late)
    await until(lambda: members[owner].counters["refused_by_others"] == 2)
    assert b"late" not in {body for _, body in executed}
    assert members[target].held_token(TASK) is not None, "the new owner still holds the task"


async def test_a_restarted_member_gets_new_tokens(
    three_members: OwnershipMembers,
) -> None:
    members = three_members.ownerships
    restarted = next(name for name, member in members.items() if not member.protocol.log.is_leader)
    before = dict(members[restarted].protocol.held_shards)
    three_members.stop(restarted)
    await trio.sleep(0.1)  # much less than a lease, so that the member keeps its shards
    await three_members.start(restarted)
    await until(lambda: len(members[restarted].protocol.held_shards) > 60)
    held = members[restarted].protocol.held_shards
    assert all(token > before.get(shard, 0) for shard, token in held)
