"""Owners and carriers in simulated time: loss, doubles, delay, cuts, freezes, restarts, clocks that are off.

Nothing of it runs in service; tests and the measurement stand on it. One seed, one course of events. Each member acts
for all that it holds, every `act` seconds: an effect is decided, waits a while in its queue, is looked at again, and
leaves for a carrier, where it may arrive late or twice. Carriers record what they saw.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from dunlinlug.fleet.owner.fence import Fence
from dunlinlug.fleet.owner.history import Seen
from dunlinlug.fleet.owner.machine import Machine
from dunlinlug.fleet.owner.words import Dealt, Effect, Holding, Outcome
from dunlinlug.fleet.succession import words as log_words

FIRST = 1  # version of the roll
Make = Callable[..., Machine]


@dataclass
class Node:
    name: str
    machine: Machine
    kept: log_words.Keep
    rate: float = 1.0  # seconds of its clock for one true second
    frozen: bool = False
    dead: bool = False
    queue: list[Any] = field(default_factory=list)
    counts: Counter[int] = field(default_factory=Counter)
    decided: list[tuple[str, int]] = field(
        default_factory=list
    )  # pieces to act for, with the numbers as decided
    origin: float = 0.0
    armed: float = -1.0

    def clock(self, now: float) -> float:
        return (now - self.origin) * self.rate + self.origin


class Network:
    """`pieces` are acted for, `carriers` see the effects; without `fenced` or `second_look` to see what comes of it."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        pieces: tuple[str, ...] = ("x", "y"),
        carriers: int = 2,
        lease: float = 1.0,
        beat: float = 0.2,
        drift: float = 0.02,
        loss: float = 0.0,
        doubles: float = 0.0,
        delay: tuple[float, float] = (0.0005, 0.002),
        act: float = 0.1,
        slots: int = 8,
        make: Make = Machine,
        fenced: bool = True,
        second_look: bool = True,
        late_effects: float = 0.0,
    ) -> None:
        self.chance, self.lease, self.beat, self.drift = Random(seed), lease, beat, drift
        self.loss, self.doubles, self.delay, self.act, self.slots, self.make = (
            loss,
            doubles,
            delay,
            act,
            slots,
            make,
        )
        self.fenced, self.second_look, self.late_effects = fenced, second_look, late_effects
        self.names = tuple(f"m{n}" for n in range(members))
        self.pieces, self.now, self.numbers = pieces, 0.0, count()
        self.heap: list[tuple[float, int, str, Any]] = []
        self.nodes: dict[str, Node] = {}
        self.fences = {f"c{n}": Fence() for n in range(carriers)}
        self.seen: list[Seen] = []
        self.cuts: set[tuple[str, str]] = set()
        self.messages, self.moves = Counter[str](), list[tuple[float, Dealt]]()
        self.twice: list[str] = []  # moments at which two members could act for one slot
        for n, name in enumerate(self.names):
            self.start(name, rate=1.0 + drift * (0, 1, -1)[n % 3])

    def start(self, name: str, rate: float = 1.0, disk: bool = True) -> Node:
        """A process begins, with what its disk holds or without."""
        before = self.nodes.get(name)
        kept = (
            before.kept
            if before and disk
            else log_words.Keep(0, "", log_words.Roll(FIRST, self.names))
        )
        node = Node(
            name,
            self.make(
                name,
                kept,
                self.now,
                self.lease,
                self.beat,
                self.drift,
                10 * self.lease,
                self.chance.uniform,
                self.chance.randrange(1, 2**62),
                self.slots,
            ),
            kept,
            before.rate if before else rate,
            origin=self.now,
        )
        self.nodes[name] = node
        self._arm(node)
        self._later(self.act * self.chance.random(), "act", node)
        return node

    def kill(self, name: str) -> None:
        self.nodes[name].dead = True

    def freeze(self, name: str, on: bool = True) -> None:
        node = self.nodes[name]
        node.frozen = on
        if not on and not node.dead:
            queue, node.queue = node.queue, []
            self._act_out(
                node
            )  # what it had decided before it stopped goes first, as its next line of code would
            for message in queue:
                self._hear(node, message)
            self._tick(node)

    def cut(self, *sides: tuple[str, ...]) -> None:
        for side in sides:
            for other in sides:
                if side is not other:
                    self.cuts |= {(a, b) for a in side for b in other}

    def heal(self) -> None:
        self.cuts.clear()

    # Time.

    def _later(self, after: float, kind: str, what: Any) -> None:
        heapq.heappush(self.heap, (self.now + after, next(self.numbers), kind, what))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, what = heapq.heappop(self.heap)
            match kind:
                case "wake" if not what[0].dead and what[0].armed == what[1]:
                    what[0].armed = -1.0
                    self._tick(what[0])
                case "act" if not what.dead and self.nodes[what.name] is what:
                    self._decide(what)
                    self._later(self.act, "act", what)
                case "out" if not what.frozen and not what.dead:
                    self._act_out(what)
                case "come":
                    self._come(*what)
                case "do":
                    what()
        self.now = until

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.numbers), "do", act))

    def _arm(self, node: Node) -> None:
        # A little later than now: rounded to another clock and back, a time may lie just before what it was.
        due = max((node.machine.next_at() - node.origin) / node.rate + node.origin, self.now + 1e-6)
        if due != node.armed:
            node.armed = due
            heapq.heappush(self.heap, (due, next(self.numbers), "wake", (node, due)))

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            self.obey(node, node.machine.tick(node.clock(self.now)))

    def _hear(self, node: Node, message: Any) -> None:
        if isinstance(message, Outcome):
            if not message.done:
                slot = node.machine.book.slot_of(message.piece)
                self.obey(node, node.machine.refused(node.clock(self.now), slot, message.seen))
            return
        self.obey(node, node.machine.hear(node.clock(self.now), message))

    def obey(self, node: Node, orders: list[Any]) -> None:
        for order in orders:
            match order:
                case log_words.Send(to, message):
                    self.messages[node.name] += 1
                    self._send(node.name, to, message)
                case log_words.Keep():
                    node.kept = order
                case Holding():
                    pass
                case Dealt():
                    if node.machine.log.leading:
                        self.moves.append((self.now, order))
        closing = [
            slot
            for slot in node.machine.book.closing
            if node.machine.book.owners[slot] == node.name and slot not in node.machine.given
        ]
        if closing:
            self.obey(node, node.machine.give_up(node.clock(self.now), closing))
        self._arm(node)

    def _send(self, sender: str, to: str, message: Any) -> None:
        for _ in range(1 + (self.chance.random() < self.doubles)):
            if self.chance.random() >= self.loss:
                self._later(self.chance.uniform(*self.delay), "come", (sender, to, message))

    def _come(self, sender: str, to: str, message: Any) -> None:
        if (sender, to) in self.cuts:
            return
        if to in self.fences:
            self._at_carrier(to, message)
            return
        node = self.nodes[to]
        if node.frozen:
            node.queue = [*node.queue, message][-500:]
        elif not node.dead:
            self._hear(node, message)

    # Effects.

    def _decide(self, node: Node) -> None:
        """For all that it holds, when it is not frozen; the effect leaves a moment later."""
        if node.frozen:
            return
        now = node.clock(self.now)
        for slot in sorted({node.machine.book.slot_of(piece) for piece in self.pieces}):
            holders = [
                n.name
                for n in self.nodes.values()
                if not n.dead
                and not n.frozen
                and n.machine.may(n.clock(self.now), slot) is not None
            ]
            if len(holders) > 1:
                self.twice.append(f"{self.now:.3f}: {', '.join(holders)} may act for slot {slot}")
        for piece in self.pieces:
            number = node.machine.may(now, node.machine.book.slot_of(piece))
            if number is not None:
                node.decided.append((piece, number))
        self._later(self.chance.uniform(0.0, self.act / 2), "out", node)

    def _act_out(self, node: Node) -> None:
        decided, node.decided = node.decided, []
        for piece, number in decided:
            slot = node.machine.book.slot_of(piece)
            if self.second_look and node.machine.may(node.clock(self.now), slot) != number:
                continue
            node.counts[slot] += 1
            effect = Effect(node.machine.log.term, node.name, piece, number, node.counts[slot], b"")
            for carrier in self.fences:
                late = self.chance.uniform(0.0, self.late_effects)
                for _ in range(1 + (self.chance.random() < self.doubles)):
                    self._later(
                        self.chance.uniform(*self.delay) + late,
                        "come",
                        (node.name, carrier, effect),
                    )

    def _at_carrier(self, carrier: str, effect: Effect) -> None:
        fence, slot = (
            self.fences[carrier],
            self.nodes[self.names[0]].machine.book.slot_of(effect.piece),
        )
        why = fence.admits(slot, effect.number, effect.sender, effect.count)
        done = not why or not self.fenced
        self.seen.append(
            Seen(self.now, carrier, effect.piece, effect.number, effect.count, effect.sender, done)
        )
        if why and why != "it came before":
            mark = fence.seen(slot)
            self._later(
                self.chance.uniform(*self.delay),
                "come",
                (
                    carrier,
                    effect.sender,
                    Outcome(
                        0,
                        carrier,
                        effect.piece,
                        effect.number,
                        effect.count,
                        False,
                        mark.number,
                        mark.owner,
                    ),
                ),
            )

    # What was seen.

    def owners(self) -> dict[str, list[str]]:
        """By piece, who may act for it now."""
        return {
            piece: [
                node.name
                for node in self.nodes.values()
                if not node.dead
                and not node.frozen
                and node.machine.may(node.clock(self.now), node.machine.book.slot_of(piece))
                is not None
            ]
            for piece in self.pieces
        }
