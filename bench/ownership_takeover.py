"""Ownership takeover: from an owner's death to the next owner's first effect, messages and CPU.

    python -m bench.ownership_takeover [--runs 200]

In simulated time: a lease of 1 s, a heartbeat interval of 0.2 s, messages of 0.5 to 2 ms, clocks 2%
apart; owners produce an effect for each task they hold every 20 ms. The failure detector of the
membership is not simulated: unless a run reports the death itself, it is noticed only when the
lease expires. The leader is the lease coordinator.
"""

import argparse
import math
import multiprocessing
import time
from collections import Counter
from typing import Any

from dunlinlug.fleet.ownership import history
from dunlinlug.fleet.ownership import log as ownership_log
from dunlinlug.fleet.ownership.simulated_network import SimulatedNetwork, SimulationOptions

LEASE_SECONDS = 1.0


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at this fraction of the values, or NaN if there are none."""
    return (
        sorted(values)[min(int(fraction * len(values)), len(values) - 1)]
        if values
        else float("nan")
    )


def takeover_of_death(
    members: int, kill_leader: bool, detected: bool, seed: int
) -> tuple[float, int, int]:
    """Measure one death: seconds to the next owner's first effect, and the shards moved.

    The third value is the smallest possible number of moved shards: those of the dead member. The
    seconds are NaN if none of its tasks was taken over.
    """
    tasks = tuple(f"work/{index}" for index in range(12))
    net = SimulatedNetwork(
        seed, SimulationOptions(members, tasks, shards=256, effect_interval=0.02)
    )
    net.run(5.0 + net.rng.random())
    leader_node = next(node for node in net.nodes.values() if node.protocol.log.is_leader)
    victim = (
        leader_node
        if kill_leader
        else next(node for node in net.nodes.values() if node is not leader_node)
    )
    victim_tasks = {task for task, owners in net.lease_holders().items() if owners == [victim.name]}
    owners_before, killed_at = list(leader_node.protocol.assignments.owners), net.now
    net.kill(victim.name)
    if detected:  # reports the death as the membership does, at its p99 delay for five members
        living = set(net.member_names) - {victim.name}
        for name in living:
            net.schedule(
                killed_at + 0.7,
                lambda node=net.nodes[name]: net.execute(  # type: ignore[misc]
                    node,
                    node.protocol.member_status_changed(
                        node.local_time(net.now), victim.name, True, living
                    ),
                ),
            )
    net.run(killed_at + 5.0)
    delays = [
        delay
        for task, delay in history.takeover_delays(
            [seen for seen in net.observations if seen.owner != victim.name], killed_at
        ).items()
        if task in victim_tasks
    ]
    owners_after = next(
        node.protocol.assignments.owners
        for node in net.nodes.values()
        if not node.dead and node.protocol.log.is_leader
    )
    moved = sum(a != b for a, b in zip(owners_before, owners_after, strict=True))
    return min(delays, default=float("nan")), moved, owners_before.count(victim.name)


def idle_messages(members: int) -> tuple[float, float]:
    """Return the messages per second sent by the leader and by another member while idle."""
    net = SimulatedNetwork(1, SimulationOptions(members, shards=256, effect_interval=0.1))
    net.run(8.0)
    net.messages_sent.clear()
    net.run(28.0)
    leader_node = next(node.name for node in net.nodes.values() if node.protocol.log.is_leader)
    others = [count for name, count in net.messages_sent.items() if name != leader_node]
    return net.messages_sent[leader_node] / 20.0, sum(others) / len(others) / 20.0


def describe_cpu(task_count: int) -> str:
    """Describe the CPU time of one member to look up all tasks and to take a snapshot of them."""
    net = SimulatedNetwork(1, SimulationOptions(shards=256))
    net.run(5.0)
    node = next(iter(net.nodes.values()))
    names = [f"worker/o-{index}/ramp" for index in range(task_count)]
    began = time.perf_counter()
    owned = sum(
        node.protocol.held_token(net.now, node.protocol.assignments.shard_of(name)) is not None
        for name in names
    )
    lookup_seconds = time.perf_counter() - began
    assignments = node.protocol.assignments
    assignments.apply(
        ownership_log.Checkpoint(
            tuple(
                (name, assignments.tokens[assignments.shard_of(name)], b"step 2 of 4")
                for name in names
            )
        ),
        (9, 9),
    )
    began = time.perf_counter()
    size = len(assignments.snapshot())
    return (
        f"{task_count} tasks: {owned} owned, lookup of all {1e3 * lookup_seconds:.1f} ms; snapshot "
        "with a record for each "
        f"{size} bytes in {1e3 * (time.perf_counter() - began):.1f} ms"
    )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=200)
    options = parser.parse_args()
    with multiprocessing.Pool() as pool:
        for members in (3, 5):
            print(
                f"{members} members, idle: messages per second of the leader "
                f"{idle_messages(members)[0]:.1f}, of "
                f"another member {idle_messages(members)[1]:.1f}",
                flush=True,
            )
            for kill_leader, detected in ((False, False), (True, False), (True, True)):
                found: list[Any] = pool.starmap(
                    takeover_of_death,
                    [(members, kill_leader, detected, index) for index in range(options.runs)],
                )
                spans = [took / LEASE_SECONDS for took, _, _ in found if not math.isnan(took)]
                extra = Counter(moved - minimum for _, moved, minimum in found)
                who = (
                    "the leader" + (", detected after 0.7 s" if detected else "")
                    if kill_leader
                    else "another owner"
                )
                print(
                    f"  {who} dies: next owner's first effect after {percentile(spans, 0.5):.2f} "
                    "lease durations at p50, "
                    f"{percentile(spans, 0.99):.2f} at p99 ({len(spans)} runs); shards moved "
                    "beyond the minimum: "
                    f"{dict(extra)}",
                    flush=True,
                )
    for task_count in (10, 1000, 100_000):
        print(describe_cpu(task_count))


if __name__ == "__main__":
    main()
