"""Ownership takeover: from an owner's death to the next owner's first effect, messages and CPU.

    python -m bench.ownership_takeover [--runs 200]

In simulated time: a lease of 1 s, a heartbeat interval of 0.2 s, messages of 0.5 to 2 ms, clocks 2%
apart; owners act for what they hold each 20 ms. The membership's failure detector is not simulated:
without it a leader's death is seen by the lease alone. In the output `steward` is the leader, the
lease coordinator.
"""

import argparse
import math
import multiprocessing
import time
from collections import Counter
from typing import Any

from dunlinlug.fleet.ownership import history
from dunlinlug.fleet.ownership import log as books
from dunlinlug.fleet.ownership.simulated_network import SimulatedNetwork, SimulationOptions

LEASE = 1.0


def percentile(values: list[float], of: float) -> float:
    """Return the value at this fraction of the values, or not a number if there is none."""
    return sorted(values)[min(int(of * len(values)), len(values) - 1)] if values else float("nan")


def takeover_of_death(
    members: int, leader: bool, detected: bool, seed: int
) -> tuple[float, int, int]:
    """Measure one death: seconds to the next owner's first effect, shards moved, least possible.

    The seconds are not a number where no task of the dead member was taken over.
    """
    tasks = tuple(f"work/{index}" for index in range(12))
    net = SimulatedNetwork(
        seed, SimulationOptions(members, tasks, shards=256, effect_interval=0.02)
    )
    net.run(5.0 + net.rng.random())
    leads = next(node for node in net.nodes.values() if node.protocol.log.is_leader)
    victim = leads if leader else next(node for node in net.nodes.values() if node is not leads)
    pieces = {piece for piece, owners in net.lease_holders().items() if owners == [victim.name]}
    before, at = list(leads.protocol.assignments.owners), net.now
    net.kill(victim.name)
    if detected:  # as the membership does, within its p99 on five members
        living = set(net.member_names) - {victim.name}
        for name in living:
            net.schedule(
                at + 0.7,
                lambda node=net.nodes[name]: net.execute(  # type: ignore[misc]
                    node,
                    node.protocol.member_status_changed(
                        node.local_time(net.now), victim.name, True, living
                    ),
                ),
            )
    net.run(at + 5.0)
    took = [
        span
        for piece, span in history.takeover_delays(
            [seen for seen in net.observations if seen.owner != victim.name], at
        ).items()
        if piece in pieces
    ]
    after = next(
        node.protocol.assignments.owners
        for node in net.nodes.values()
        if not node.dead and node.protocol.log.is_leader
    )
    moved = sum(a != b for a, b in zip(before, after, strict=True))
    return min(took, default=float("nan")), moved, before.count(victim.name)


def idle_messages(members: int) -> tuple[float, float]:
    """Return the messages a second of the leader, and of another member, while nothing happens."""
    net = SimulatedNetwork(1, SimulationOptions(members, shards=256, effect_interval=0.1))
    net.run(8.0)
    net.messages_sent.clear()
    net.run(28.0)
    leads = next(node.name for node in net.nodes.values() if node.protocol.log.is_leader)
    others = [count for name, count in net.messages_sent.items() if name != leads]
    return net.messages_sent[leads] / 20.0, sum(others) / len(others) / 20.0


def describe_cpu(pieces: int) -> str:
    """Describe what one member pays to look up every task, and for a snapshot of their records."""
    net = SimulatedNetwork(1, SimulationOptions(shards=256))
    net.run(5.0)
    node = next(iter(net.nodes.values()))
    names = [f"worker/o-{index}/ramp" for index in range(pieces)]
    began = time.perf_counter()
    ours = sum(
        node.protocol.held_token(net.now, node.protocol.assignments.shard_of(name)) is not None
        for name in names
    )
    look = time.perf_counter() - began
    assignments = node.protocol.assignments
    assignments.apply(
        books.Checkpoint(
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
        f"{pieces} pieces: {ours} ours, a look at all {1e3 * look:.1f} ms; with a record each the "
        "whole is "
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
                f"{members} members, nothing happens: messages a second of the steward "
                f"{idle_messages(members)[0]:.1f}, of "
                f"another {idle_messages(members)[1]:.1f}, whatever is owned",
                flush=True,
            )
            for leader, detected in ((False, False), (True, False), (True, True)):
                found: list[Any] = pool.starmap(
                    takeover_of_death,
                    [(members, leader, detected, index) for index in range(options.runs)],
                )
                spans = [took / LEASE for took, _, _ in found if not math.isnan(took)]
                extra = Counter(moved - least for _, moved, least in found)
                who = (
                    "the steward" + (", detected after 0.7 s" if detected else "")
                    if leader
                    else "another owner"
                )
                print(
                    f"  {who} dies: next owner's first effect after {percentile(spans, 0.5):.2f} "
                    "leases at p50, "
                    f"{percentile(spans, 0.99):.2f} at p99 ({len(spans)} runs); slots moved "
                    "beyond the least possible: "
                    f"{dict(extra)}",
                    flush=True,
                )
    for pieces in (10, 1000, 100_000):
        print(describe_cpu(pieces))


if __name__ == "__main__":
    main()
