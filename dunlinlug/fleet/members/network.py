"""Members in simulated time: a network between machines with loss, delay, cuts, stops and clocks that are off.

Nothing of it runs in service; tests, the search and the measurement stand on it. One seed, one course of events.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

import msgspec

from dunlinlug.fleet.members.machine import Machine
from dunlinlug.fleet.members.words import Changed, Heard, Late, Order, Send, Whole, Yielded

Make = Callable[[str, int, tuple[str, int], list[tuple[str, int]], float, float, Random], Any]


@dataclass
class Node:
    """A process: `name` as it calls itself; a machine stops while `frozen`, and what comes waits in `queue`."""

    name: str
    place: tuple[str, int]
    machine: Any
    rate: float = 1.0  # seconds of its clock for one true second
    slow: float = 0.0  # each of its turns begins up to this much later
    frozen: bool = False
    dead: bool = False
    queue: list[Any] = field(default_factory=list)
    origin: float = 0.0

    def clock(self, now: float) -> float:
        return (now - self.origin) * self.rate + self.origin


@dataclass
class Seen:
    """A change at a node: when, who says it, and of whom."""

    at: float
    by: str
    of: str
    before: str
    now: str
    why: str


class Network:
    def __init__(
        self,
        seed: int,
        beat: float = 0.2,
        loss: float = 0.0,
        delay: tuple[float, float] = (0.0005, 0.002),
        make: Make = Machine,
        doubles: float = 0.0,
        measure: bool = False,
    ) -> None:
        self.chance, self.beat, self.loss, self.delay = Random(seed), beat, loss, delay
        self.make, self.doubles, self.measure = make, doubles, measure
        self.now, self.numbers = 0.0, count()
        self.heap: list[tuple[float, int, str, Any]] = []
        self.nodes: dict[tuple[str, int], Node] = {}
        self.armed: dict[tuple[str, int], float] = {}
        self.log: list[Seen] = []
        self.late, self.yielded, self.extras = (
            Counter[str](),
            list[str](),
            defaultdict[str, list[Any]](list),
        )
        self.cuts: set[tuple[str, str]] = set()  # directed: from this name nothing reaches that one
        self.messages, self.bytes = Counter[str](), Counter[str]()

    # The cast.

    def start(
        self,
        name: str,
        born: int = 1,
        seeds: tuple[str, ...] = (),
        place: tuple[str, int] | None = None,
        rate: float = 1.0,
        slow: float = 0.0,
    ) -> Node:
        at = place or (name, 1)
        others = [(seed, 1) for seed in seeds]
        node = Node(name, at, None, rate, slow, origin=self.now)
        node.machine = self.make(
            name, born, at, others, node.clock(self.now), self.beat, Random(self.chance.random())
        )
        self.nodes[at] = node
        self._arm(node)
        return node

    def fleet(self, size: int, **more: Any) -> list[Node]:
        """So many that know the first three as seeds."""
        names = [f"m{n}" for n in range(size)]
        return [self.start(name, seeds=tuple(names[:3]), **more) for name in names]

    def node(self, name: str) -> Node:
        return next(node for node in self.nodes.values() if node.name == name and not node.dead)

    def kill(self, name: str) -> None:
        node = self.node(name)
        node.dead = True
        self.nodes.pop(node.place)

    def freeze(self, name: str, on: bool = True) -> None:
        node = self.node(name)
        node.frozen = on
        if not on:
            queue, node.queue = node.queue, []
            for message in queue:
                self._hear(node, message)
            self._tick(node)

    def cut(self, *sides: tuple[str, ...]) -> None:
        """Nothing between these sides, either way."""
        for side in sides:
            for other in sides:
                if side is not other:
                    self.cuts |= {(a, b) for a in side for b in other}

    def heal(self) -> None:
        self.cuts.clear()

    # Time.

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.numbers), "act", act))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, what = heapq.heappop(self.heap)
            if kind == "act":
                what()
            elif kind == "wake":
                place, armed = what
                if self.armed.get(place) == armed and place in self.nodes:
                    self._tick(self.nodes[place])
            else:
                sender, place, message = what
                node = self.nodes.get(place)
                if node is not None and (sender, node.name) not in self.cuts:
                    if node.frozen:
                        node.queue = [*node.queue, message][
                            -500:
                        ]  # as a socket's buffer has an end
                    else:
                        self._hear(node, message)
        self.now = until

    def _arm(self, node: Node) -> None:
        due = (node.machine.next_at() - node.origin) / node.rate + node.origin
        due = max(due, self.now) + (self.chance.uniform(0.0, node.slow) if node.slow else 0.0)
        if due != self.armed.get(node.place):
            self.armed[node.place] = due
            heapq.heappush(self.heap, (due, next(self.numbers), "wake", (node.place, due)))

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            self._obey(node, node.machine.tick(node.clock(self.now)))

    def _hear(self, node: Node, message: Any) -> None:
        self._obey(node, node.machine.hear(node.clock(self.now), message))

    def obey(self, name: str, act: Callable[[Any, float], list[Order]]) -> None:
        """Let a node's machine do something of its own accord."""
        node = self.node(name)
        self._obey(node, act(node.machine, node.clock(self.now)))

    def _obey(self, node: Node, orders: list[Any]) -> None:
        for order in orders:
            match order:
                case Send(place=place, message=message):
                    self._send(node, place, message)
                case Changed(name=of, before=before, now=state, why=why):
                    self.log.append(Seen(self.now, node.name, of, before, state, why))
                case Late():
                    self.late[node.name] += 1
                case Yielded():
                    self.yielded.append(node.name)
                case Heard(extra=extra):
                    self.extras[node.name].append(extra)
        self._arm(node)

    def _send(self, node: Node, place: tuple[str, int], message: Any) -> None:
        self.messages[node.name] += 1
        if self.measure:
            self.bytes[node.name] += len(msgspec.msgpack.encode(message))
        to = self.nodes.get(place)
        if to is not None and (node.name, to.name) in self.cuts:
            return
        # By a stream a word comes late rather than not at all.
        loss = self.loss**3 if isinstance(message, Whole) else self.loss
        for _ in range(1 + (self.chance.random() < self.doubles)):
            if self.chance.random() >= loss:
                due = self.now + self.chance.uniform(*self.delay)
                heapq.heappush(
                    self.heap, (due, next(self.numbers), "come", (node.name, place, message))
                )

    # What was seen.

    def agree(self) -> bool:
        """Whether all that live have one view."""
        machines = [node.machine for node in self.nodes.values() if node.machine.state == "alive"]
        return len({machine.table.digest() for machine in machines}) <= 1

    def verdicts(self, state: str = "failed") -> list[Seen]:
        return [seen for seen in self.log if seen.now == state]
