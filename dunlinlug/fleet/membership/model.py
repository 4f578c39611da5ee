"""Walks through what can happen to three members: deliveries in any order, losses, doubles, kills,
restarts, one cut.

python -m dunlinlug.fleet.membership.model [--depth 5] [--walks 2000] [--seed 1]

All courses of so many steps from a settled set (states met before are not gone on from), then drawn
walks of forty. After each course messages flow again for a while, and then: who runs is alive to
all, by its newest start; who does not has failed; all views agree. On the way no start is told that
never was. The machines are those in service, with a chance that always takes the same side.
"""

import argparse
import pickle
import sys
from collections import Counter
from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from dunlinlug.fleet.membership.messages import ALIVE, FAILED, Message, Send, StateSync
from dunlinlug.fleet.membership.protocol import MembershipProtocol

NAMES = ("a", "b", "c")
# seconds of a beat, and in which messages flow again: knocks, a suspicion, an exchange
PROBE_INTERVAL = 0.2
RECOVERY_SECONDS = 14.0
# of the messages on their way, the first so many may be dealt with: the others come later
DELIVERABLE_MESSAGES = 4
FAULT_BUDGET = {"lose": 3, "double": 2, "kill": 1, "restart": 1, "cut": 1}
Move = tuple[str, int]


class FixedRandom(Random):
    """A chance that always takes the same side, so that a course is its moves alone."""

    def random(self) -> float:
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def shuffle(self, x: Any) -> None:
        return None

    def sample(self, population: Any, k: int, *, counts: Any = None) -> Any:
        return list(population)[:k]

    def choice(self, seq: Any) -> Any:
        return seq[0]


@dataclass
class SystemState:
    now: float = 0.0
    protocols: dict[str, MembershipProtocol] = field(default_factory=dict)
    start_epochs: dict[str, int] = field(default_factory=dict)
    in_flight: list[tuple[str, str, Message]] = field(default_factory=list)  # from, to, what
    partitioned: str = ""  # who is cut off
    remaining_faults: dict[str, int] = field(default_factory=lambda: dict(FAULT_BUDGET))

    def clone(self) -> "SystemState":
        return replace(
            self,
            protocols={name: clone_protocol(protocol) for name, protocol in self.protocols.items()},
            start_epochs=dict(self.start_epochs),
            in_flight=list(self.in_flight),
            remaining_faults=dict(self.remaining_faults),
        )

    def start(self, name: str) -> None:
        self.start_epochs[name] = self.start_epochs.get(name, 0) + 1
        seeds = [(other, 1) for other in NAMES]
        self.protocols[name] = MembershipProtocol(
            name, self.start_epochs[name], (name, 1), seeds, self.now, PROBE_INTERVAL, FixedRandom()
        )

    def execute(self, name: str, orders: list[Any]) -> None:
        for order in orders:
            if isinstance(order, Send) and order.address[0] in NAMES:
                self.in_flight.append((name, order.address[0], order.message))

    def tick(self) -> None:
        """On to the next time at which somebody has something to do."""
        self.now = max(
            self.now, min(protocol.next_deadline() for protocol in self.protocols.values())
        )
        for name, protocol in self.protocols.items():
            if protocol.next_deadline() <= self.now:
                self.execute(name, protocol.tick(self.now))

    def deliver(self, index: int, duplicate: bool = False) -> None:
        sender, receiver, message = (
            self.in_flight[index] if duplicate else self.in_flight.pop(index)
        )
        if receiver in self.protocols and self.partitioned not in (sender, receiver):
            self.execute(receiver, self.protocols[receiver].receive(self.now, message))

    def moves(self) -> Iterator[Move]:
        yield "tick", 0
        for at, (_, _, message) in enumerate(self.in_flight[:DELIVERABLE_MESSAGES]):
            yield "deliver", at
            if self.remaining_faults["lose"] and not isinstance(message, StateSync):
                yield "lose", at
            if self.remaining_faults["double"]:
                yield "double", at
        for index, name in enumerate(NAMES):
            if (
                name in self.protocols
                and self.remaining_faults["kill"]
                and len(self.protocols) == 3
            ):
                yield "kill", index
            if self.remaining_faults["restart"]:
                yield "restart", index
            if self.remaining_faults["cut"] and not self.partitioned:
                yield "cut", index
        if self.partitioned:
            yield "heal", 0

    def apply(self, move: Move) -> None:
        kind, index = move
        if kind in self.remaining_faults:
            self.remaining_faults[kind] -= 1
        match kind:
            case "tick":
                self.tick()
            case "deliver":
                self.deliver(index)
            case "lose":
                self.in_flight.pop(index)
            case "double":
                self.deliver(index, duplicate=True)
            case "kill":
                del self.protocols[NAMES[index]]
            case "restart":
                self.start(NAMES[index])
            case "cut":
                self.partitioned = NAMES[index]
            case "heal":
                self.partitioned = ""

    def recover(self) -> None:
        """All goes well from here on."""
        self.partitioned = ""
        until = self.now + RECOVERY_SECONDS
        while self.now < until:
            while self.in_flight:
                self.deliver(0)
            self.tick()
        while self.in_flight:
            self.deliver(0)

    def check_safety(self) -> str:
        """What holds at any time."""
        for name, protocol in self.protocols.items():
            for subject, member_state in protocol.table.members.items():
                if member_state.incarnation[0] > self.start_epochs[subject]:
                    return f"{name} tells of a start of {subject} that never was"
        return ""

    def check_convergence(self) -> str:
        """What holds after messages have flowed."""
        for name, protocol in self.protocols.items():
            if protocol.state != "alive":
                return f"{name} is {protocol.state}"
            for subject in NAMES:
                member_state = protocol.table.members.get(subject)
                if subject in self.protocols and (
                    member_state is None
                    or (member_state.state, member_state.incarnation[0])
                    != (ALIVE, self.start_epochs[subject])
                ):
                    return f"{name} has {subject} as {member_state}, which is well in its start {self.start_epochs[subject]}"
                if (
                    subject not in self.protocols
                    and member_state is not None
                    and member_state.state != FAILED
                ):
                    return f"{name} has {subject} as {member_state}, which is dead"
        if len({protocol.table.digest() for protocol in self.protocols.values()}) > 1:
            return "views differ"
        return self.check_safety()

    def canonical_form(self) -> bytes:
        """The same for what can go on in the same way."""
        canonical = [
            (
                name,
                m.local_state,
                m.local_health,
                m.state,
                sorted(m.table.members.items()),
                sorted(m.table.pending_broadcasts.items()),
                round(m.next_probe_at - self.now, 3),
                round(min(m.next_reconnect_at, 1e9) - self.now, 3),
                m.probe_order,
                sorted(
                    (p.name, round(p.deadline - self.now, 3), p.nacks) for p in m.probes.values()
                ),
                sorted(
                    (of, round(s.started_at - self.now, 3), sorted(s.confirmed_by))
                    for of, s in m.suspicions.items()
                ),
            )
            for name, m in sorted(self.protocols.items())
        ]
        return pickle.dumps(
            (canonical, self.in_flight, self.partitioned, sorted(self.remaining_faults.items()))
        )


def clone_protocol(protocol: MembershipProtocol) -> MembershipProtocol:
    result = copy(protocol)
    result.table = copy(protocol.table)
    for name in ("members", "bans", "reachability_reports", "pending_broadcasts", "tombstones"):
        setattr(result.table, name, dict(getattr(protocol.table, name)))
    for name in ("peers", "probes", "indirect_probes"):
        setattr(result, name, {key: copy(value) for key, value in getattr(protocol, name).items()})
    result.suspicions = {
        name: replace(previous, confirmed_by=set(previous.confirmed_by))
        for name, previous in protocol.suspicions.items()
    }
    result.probe_order = list(protocol.probe_order)
    return result


def stable_state() -> SystemState:
    state = SystemState()
    for name in NAMES:
        state.start(name)
    for protocol in state.protocols.values():
        protocol.next_deadline()
    state.recover()
    return state


def check_recovery(state: SystemState, moves: list[Move]) -> str:
    state.recover()
    violation = state.check_convergence()
    return f"{violation}, after {moves}" if violation else ""


def explore(depth: int, max_courses: int = sys.maxsize) -> tuple[str, Counter[str]]:
    """All courses of `depth` moves; the first fault found, or none, and what was visited."""
    counts = Counter[str]()
    visited = set[bytes]()
    stack: list[tuple[SystemState, list[Move]]] = [(stable_state(), [])]
    while stack and counts["courses"] < max_courses:
        state, course = stack.pop()
        if len(course) == depth:
            counts["courses"] += 1
            if violation := check_recovery(state, course):
                return violation, counts
            continue
        for move in state.moves():
            successor = state.clone()
            successor.apply(move)
            if violation := successor.check_safety():
                return f"{violation}, after {[*course, move]}", counts
            key = successor.canonical_form()
            if key in visited:
                counts["met before"] += 1
                continue
            visited.add(key)
            counts["states"] += 1
            stack.append((successor, [*course, move]))
    return "", counts


def explore_randomly(walk_count: int, seed: int, length: int = 40) -> tuple[str, Counter[str]]:
    """Drawn courses; of the moves each kind is as likely, so that time goes on and faults come."""
    counts = Counter[str]()
    start = stable_state()
    for walk_number in range(walk_count):
        state = start.clone()
        course = list[Move]()
        rng = Random(f"{seed} {walk_number}")
        for _ in range(length):
            moves = list(state.moves())
            kind = rng.choice(sorted({what for what, _ in moves}))
            move = rng.choice([move for move in moves if move[0] == kind])
            state.apply(move)
            course.append(move)
            counts[kind] += 1
            if violation := state.check_safety():
                return f"{violation}, after {course}", counts
        counts["walks"] += 1
        if violation := check_recovery(state, course):
            return violation, counts
    return "", counts


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for violation, counts in (
        explore(arguments.depth),
        explore_randomly(arguments.walks, arguments.seed),
    ):
        print(dict(counts), violation or "no fault", flush=True)
        if violation:
            sys.exit(1)


if __name__ == "__main__":
    main()
