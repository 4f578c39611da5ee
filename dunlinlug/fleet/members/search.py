"""Walks through what can happen to three members: deliveries in any order, losses, doubles, kills, restarts, one cut.

    python -m dunlinlug.fleet.members.search [--depth 5] [--walks 2000] [--seed 1]

All courses of so many steps from a settled set (states met before are not gone on from), then drawn walks of forty.
After each course messages flow again for a while, and then: who runs is alive to all, by its newest start; who does not
has failed; all views agree. On the way no start is told that never was. The machines are those in service, with a
chance that always takes the same side.
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

from dunlinlug.fleet.members.machine import Machine
from dunlinlug.fleet.members.words import ALIVE, FAILED, Message, Send, Whole

NAMES = ("a", "b", "c")
BEAT, FLOW = (
    0.2,
    14.0,
)  # seconds of a beat, and in which messages flow again: knocks, a suspicion, an exchange
SEEN = 4  # of the messages on their way, the first so many may be dealt with: the others come later
BUDGET = {"lose": 3, "double": 2, "kill": 1, "restart": 1, "cut": 1}
Move = tuple[str, int]


class Side(Random):
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
class World:
    now: float = 0.0
    machines: dict[str, Machine] = field(default_factory=dict)
    born: dict[str, int] = field(default_factory=dict)
    flying: list[tuple[str, str, Message]] = field(default_factory=list)  # from, to, what
    cut: str = ""  # who is cut off
    left: dict[str, int] = field(default_factory=lambda: dict(BUDGET))

    def clone(self) -> "World":
        return replace(
            self,
            machines={name: copied(machine) for name, machine in self.machines.items()},
            born=dict(self.born),
            flying=list(self.flying),
            left=dict(self.left),
        )

    def start(self, name: str) -> None:
        self.born[name] = self.born.get(name, 0) + 1
        seeds = [(other, 1) for other in NAMES]
        self.machines[name] = Machine(
            name, self.born[name], (name, 1), seeds, self.now, BEAT, Side()
        )

    def obey(self, name: str, orders: list[Any]) -> None:
        for order in orders:
            if isinstance(order, Send) and order.place[0] in NAMES:
                self.flying.append((name, order.place[0], order.message))

    def tick(self) -> None:
        """On to the next time at which somebody has something to do."""
        self.now = max(self.now, min(machine.next_at() for machine in self.machines.values()))
        for name, machine in self.machines.items():
            if machine.next_at() <= self.now:
                self.obey(name, machine.tick(self.now))

    def deliver(self, at: int, keep: bool = False) -> None:
        sender, to, message = self.flying[at] if keep else self.flying.pop(at)
        if to in self.machines and self.cut not in (sender, to):
            self.obey(to, self.machines[to].hear(self.now, message))

    def moves(self) -> Iterator[Move]:
        yield "tick", 0
        for at, (_, _, message) in enumerate(self.flying[:SEEN]):
            yield "deliver", at
            if self.left["lose"] and not isinstance(message, Whole):
                yield "lose", at
            if self.left["double"]:
                yield "double", at
        for n, name in enumerate(NAMES):
            if name in self.machines and self.left["kill"] and len(self.machines) == 3:
                yield "kill", n
            if self.left["restart"]:
                yield "restart", n
            if self.left["cut"] and not self.cut:
                yield "cut", n
        if self.cut:
            yield "heal", 0

    def do(self, move: Move) -> None:
        what, at = move
        if what in self.left:
            self.left[what] -= 1
        match what:
            case "tick":
                self.tick()
            case "deliver":
                self.deliver(at)
            case "lose":
                self.flying.pop(at)
            case "double":
                self.deliver(at, keep=True)
            case "kill":
                del self.machines[NAMES[at]]
            case "restart":
                self.start(NAMES[at])
            case "cut":
                self.cut = NAMES[at]
            case "heal":
                self.cut = ""

    def flow(self) -> None:
        """All goes well from here on."""
        self.cut, until = "", self.now + FLOW
        while self.now < until:
            while self.flying:
                self.deliver(0)
            self.tick()
        while self.flying:
            self.deliver(0)

    def wrong(self) -> str:
        """What holds at any time."""
        for name, machine in self.machines.items():
            for of, told in machine.table.told.items():
                if told.life[0] > self.born[of]:
                    return f"{name} tells of a start of {of} that never was"
        return ""

    def ended(self) -> str:
        """What holds after messages have flowed."""
        for name, machine in self.machines.items():
            if machine.state != "alive":
                return f"{name} is {machine.state}"
            for of in NAMES:
                told = machine.table.told.get(of)
                if of in self.machines and (
                    told is None or (told.state, told.life[0]) != (ALIVE, self.born[of])
                ):
                    return f"{name} has {of} as {told}, which is well in its start {self.born[of]}"
                if of not in self.machines and told is not None and told.state != FAILED:
                    return f"{name} has {of} as {told}, which is dead"
        if len({machine.table.digest() for machine in self.machines.values()}) > 1:
            return "views differ"
        return self.wrong()

    def key(self) -> bytes:
        """The same for what can go on in the same way."""
        plain = [
            (
                name,
                m.own,
                m.dull,
                m.state,
                sorted(m.table.told.items()),
                sorted(m.table.waiting.items()),
                round(m.beat_at - self.now, 3),
                round(min(m.knock_at, 1e9) - self.now, 3),
                m.round,
                sorted((p.name, round(p.ends - self.now, 3), p.nacks) for p in m.probes.values()),
                sorted(
                    (of, round(s.began - self.now, 3), sorted(s.by))
                    for of, s in m.suspicions.items()
                ),
            )
            for name, m in sorted(self.machines.items())
        ]
        return pickle.dumps((plain, self.flying, self.cut, sorted(self.left.items())))


def copied(machine: Machine) -> Machine:
    made = copy(machine)
    made.table = copy(machine.table)
    for name in ("told", "bars", "rows", "waiting", "buried"):
        setattr(made.table, name, dict(getattr(machine.table, name)))
    for name in ("peers", "probes", "errands"):
        setattr(made, name, {key: copy(value) for key, value in getattr(machine, name).items()})
    made.suspicions = {
        name: replace(held, by=set(held.by)) for name, held in machine.suspicions.items()
    }
    made.round = list(machine.round)
    return made


def settled() -> World:
    world = World()
    for name in NAMES:
        world.start(name)
    for machine in world.machines.values():
        machine.next_at()
    world.flow()
    return world


def judged(world: World, course: list[Move]) -> str:
    world.flow()
    fault = world.ended()
    return f"{fault}, after {course}" if fault else ""


def search(depth: int, most: int = sys.maxsize) -> tuple[str, Counter[str]]:
    """All courses of `depth` moves; the first fault found, or none, and what was visited."""
    counts, met = Counter[str](), set[bytes]()
    stack: list[tuple[World, list[Move]]] = [(settled(), [])]
    while stack and counts["courses"] < most:
        world, course = stack.pop()
        if len(course) == depth:
            counts["courses"] += 1
            if fault := judged(world, course):
                return fault, counts
            continue
        for move in world.moves():
            after = world.clone()
            after.do(move)
            if fault := after.wrong():
                return f"{fault}, after {[*course, move]}", counts
            key = after.key()
            if key in met:
                counts["met before"] += 1
                continue
            met.add(key)
            counts["states"] += 1
            stack.append((after, [*course, move]))
    return "", counts


def walks(number: int, seed: int, length: int = 40) -> tuple[str, Counter[str]]:
    """Drawn courses; of the moves each kind is as likely, so that time goes on and faults come."""
    counts, start = Counter[str](), settled()
    for walk in range(number):
        world, course, chance = start.clone(), list[Move](), Random(f"{seed} {walk}")
        for _ in range(length):
            moves = list(world.moves())
            kind = chance.choice(sorted({what for what, _ in moves}))
            move = chance.choice([move for move in moves if move[0] == kind])
            world.do(move)
            course.append(move)
            counts[kind] += 1
            if fault := world.wrong():
                return f"{fault}, after {course}", counts
        counts["walks"] += 1
        if fault := judged(world, course):
            return fault, counts
    return "", counts


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    said = parser.parse_args()
    for fault, counts in (search(said.depth), walks(said.walks, said.seed)):
        print(dict(counts), fault or "no fault", flush=True)
        if fault:
            sys.exit(1)


if __name__ == "__main__":
    main()
