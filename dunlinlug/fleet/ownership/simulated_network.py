"""Owners and carriers in simulated time: loss, doubles, delay, cuts, freezes, restarts, clocks that
are off.

Nothing of it runs in service; tests and the measurement stand on it. One seed, one course of
events. Each member acts for all that it holds, every `act` seconds: an effect is decided, waits a
while in its queue, is looked at again, and leaves for a carrier, where it may arrive late or twice.
Carriers record what they saw.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from dunlinlug.fleet.election import messages as log_words
from dunlinlug.fleet.ownership.fencing import FencingGuard
from dunlinlug.fleet.ownership.history import Observation
from dunlinlug.fleet.ownership.messages import Effect, EffectResult, LeaseHeld, OwnershipChanged
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

INITIAL_VOTER_SET_VERSION = 1  # version of the roll
ProtocolFactory = Callable[..., OwnershipProtocol]


@dataclass
class Node:
    name: str
    protocol: OwnershipProtocol
    persisted: log_words.Persist
    clock_rate: float = 1.0  # seconds of its clock for one true second
    frozen: bool = False
    dead: bool = False
    queue: list[Any] = field(default_factory=list)
    effect_sequences: Counter[int] = field(default_factory=Counter)
    pending_effects: list[tuple[str, int]] = field(
        default_factory=list
    )  # pieces to act for, with the numbers as decided
    clock_origin: float = 0.0
    timer_deadline: float = -1.0

    def local_time(self, now: float) -> float:
        return (now - self.clock_origin) * self.clock_rate + self.clock_origin


class SimulatedNetwork:
    """`pieces` are acted for, `carriers` see the effects; without `fenced` or `second_look` to see
    what comes of it.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        tasks: tuple[str, ...] = ("x", "y"),
        executors: int = 2,
        lease: float = 1.0,
        heartbeat_interval: float = 0.2,
        drift: float = 0.02,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[float, float] = (0.0005, 0.002),
        effect_interval: float = 0.1,
        shards: int = 8,
        protocol_factory: ProtocolFactory = OwnershipProtocol,
        fenced: bool = True,
        recheck: bool = True,
        max_effect_delay: float = 0.0,
    ) -> None:
        self.rng = Random(seed)
        self.lease = lease
        self.heartbeat_interval = heartbeat_interval
        self.drift = drift
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.effect_interval = effect_interval
        self.shards = shards
        self.protocol_factory = protocol_factory
        self.fenced = fenced
        self.recheck = recheck
        self.max_effect_delay = max_effect_delay
        self.member_names = tuple(f"m{index}" for index in range(members))
        self.tasks = tasks
        self.now = 0.0
        self.event_numbers = count()
        self.event_queue: list[tuple[float, int, str, Any]] = []
        self.nodes: dict[str, Node] = {}
        self.fencing_guards = {f"c{index}": FencingGuard() for index in range(executors)}
        self.observations: list[Observation] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.messages_sent = Counter[str]()
        self.assignments = list[tuple[float, OwnershipChanged]]()
        self.ownership_conflicts: list[
            str
        ] = []  # moments at which two members could act for one slot
        for index, name in enumerate(self.member_names):
            self.start(name, clock_rate=1.0 + drift * (0, 1, -1)[index % 3])

    def start(self, name: str, clock_rate: float = 1.0, disk: bool = True) -> Node:
        """A process begins, with what its disk holds or without."""
        previous = self.nodes.get(name)
        persisted = (
            previous.persisted
            if previous and disk
            else log_words.Persist(
                0, "", log_words.VoterSet(INITIAL_VOTER_SET_VERSION, self.member_names)
            )
        )
        node = Node(
            name,
            self.protocol_factory(
                name,
                persisted,
                self.now,
                self.lease,
                self.heartbeat_interval,
                self.drift,
                10 * self.lease,
                self.rng.uniform,
                self.rng.randrange(1, 2**62),
                self.shards,
            ),
            persisted,
            previous.clock_rate if previous else clock_rate,
            clock_origin=self.now,
        )
        self.nodes[name] = node
        self._arm_timer(node)
        self._schedule_after(self.effect_interval * self.rng.random(), "act", node)
        return node

    def kill(self, name: str) -> None:
        self.nodes[name].dead = True

    def freeze(self, name: str, frozen: bool = True) -> None:
        node = self.nodes[name]
        node.frozen = frozen
        if not frozen and not node.dead:
            queue = node.queue
            node.queue = []
            self._send_effects(
                node
            )  # what it had decided before it stopped goes first, as its next line of code would
            for message in queue:
                self._receive(node, message)
            self._tick(node)

    def partition(self, *sides: tuple[str, ...]) -> None:
        for side in sides:
            for other in sides:
                if side is not other:
                    self.blocked_links |= {(a, b) for a in side for b in other}

    def heal(self) -> None:
        self.blocked_links.clear()

    # Time.

    def _schedule_after(self, after: float, kind: str, argument: Any) -> None:
        heapq.heappush(
            self.event_queue, (self.now + after, next(self.event_numbers), kind, argument)
        )

    def run(self, until: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, kind, argument = heapq.heappop(self.event_queue)
            match kind:
                case "wake" if not argument[0].dead and argument[0].timer_deadline == argument[1]:
                    argument[0].timer_deadline = -1.0
                    self._tick(argument[0])
                case "act" if not argument.dead and self.nodes[argument.name] is argument:
                    self._decide_effects(argument)
                    self._schedule_after(self.effect_interval, "act", argument)
                case "out" if not argument.frozen and not argument.dead:
                    self._send_effects(argument)
                case "come":
                    self._deliver(*argument)
                case "do":
                    argument()
        self.now = until

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.event_queue, (when, next(self.event_numbers), "do", action))

    def _arm_timer(self, node: Node) -> None:
        # A little later than now: rounded to another clock and back, a time may lie just before
        # what it was.
        due = max(
            (node.protocol.next_deadline() - node.clock_origin) / node.clock_rate
            + node.clock_origin,
            self.now + 1e-6,
        )
        if due != node.timer_deadline:
            node.timer_deadline = due
            heapq.heappush(self.event_queue, (due, next(self.event_numbers), "wake", (node, due)))

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            self.execute(node, node.protocol.tick(node.local_time(self.now)))

    def _receive(self, node: Node, message: Any) -> None:
        if isinstance(message, EffectResult):
            if not message.done:
                shard = node.protocol.assignments.shard_of(message.task)
                self.execute(
                    node,
                    node.protocol.token_rejected(
                        node.local_time(self.now), shard, message.highest_token
                    ),
                )
            return
        self.execute(node, node.protocol.receive(node.local_time(self.now), message))

    def execute(self, node: Node, orders: list[Any]) -> None:
        for order in orders:
            match order:
                case log_words.Send(recipient, message):
                    self.messages_sent[node.name] += 1
                    self._send(node.name, recipient, message)
                case log_words.Persist():
                    node.persisted = order
                case LeaseHeld():
                    pass
                case OwnershipChanged():
                    if node.protocol.log.is_leader:
                        self.assignments.append((self.now, order))
        revoked = [
            shard
            for shard in node.protocol.assignments.revoking
            if node.protocol.assignments.owners[shard] == node.name
            and shard not in node.protocol.released
        ]
        if revoked:
            self.execute(node, node.protocol.release(node.local_time(self.now), revoked))
        self._arm_timer(node)

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                self._schedule_after(
                    self.rng.uniform(*self.delay), "come", (sender, recipient, message)
                )

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        if (sender, recipient) in self.blocked_links:
            return
        if recipient in self.fencing_guards:
            self._deliver_to_executor(recipient, message)
            return
        node = self.nodes[recipient]
        if node.frozen:
            node.queue = [*node.queue, message][-500:]
        elif not node.dead:
            self._receive(node, message)

    # Effects.

    def _decide_effects(self, node: Node) -> None:
        """For all that it holds, when it is not frozen; the effect leaves a moment later."""
        if node.frozen:
            return
        now = node.local_time(self.now)
        for shard in sorted({node.protocol.assignments.shard_of(task) for task in self.tasks}):
            holders = [
                n.name
                for n in self.nodes.values()
                if not n.dead
                and not n.frozen
                and n.protocol.held_token(n.local_time(self.now), shard) is not None
            ]
            if len(holders) > 1:
                self.ownership_conflicts.append(
                    f"{self.now:.3f}: {', '.join(holders)} may act for slot {shard}"
                )
        for task in self.tasks:
            token = node.protocol.held_token(now, node.protocol.assignments.shard_of(task))
            if token is not None:
                node.pending_effects.append((task, token))
        self._schedule_after(self.rng.uniform(0.0, self.effect_interval / 2), "out", node)

    def _send_effects(self, node: Node) -> None:
        pending = node.pending_effects
        node.pending_effects = []
        for task, token in pending:
            shard = node.protocol.assignments.shard_of(task)
            if self.recheck and node.protocol.held_token(node.local_time(self.now), shard) != token:
                continue
            node.effect_sequences[shard] += 1
            effect = Effect(
                node.protocol.log.term, node.name, task, token, node.effect_sequences[shard], b""
            )
            for executor in self.fencing_guards:
                extra_delay = self.rng.uniform(0.0, self.max_effect_delay)
                for _ in range(1 + (self.rng.random() < self.duplication)):
                    self._schedule_after(
                        self.rng.uniform(*self.delay) + extra_delay,
                        "come",
                        (node.name, executor, effect),
                    )

    def _deliver_to_executor(self, executor: str, effect: Effect) -> None:
        fence = self.fencing_guards[executor]
        shard = self.nodes[self.member_names[0]].protocol.assignments.shard_of(effect.task)
        reason = fence.check(shard, effect.token, effect.sender, effect.sequence)
        done = not reason or not self.fenced
        self.observations.append(
            Observation(
                self.now, executor, effect.task, effect.token, effect.sequence, effect.sender, done
            )
        )
        if reason and reason != "it came before":
            highest = fence.highest_token(shard)
            self._schedule_after(
                self.rng.uniform(*self.delay),
                "come",
                (
                    executor,
                    effect.sender,
                    EffectResult(
                        0,
                        executor,
                        effect.task,
                        effect.token,
                        effect.sequence,
                        False,
                        highest.number,
                        highest.owner,
                    ),
                ),
            )

    # What was seen.

    def lease_holders(self) -> dict[str, list[str]]:
        """By piece, who may act for it now."""
        return {
            task: [
                node.name
                for node in self.nodes.values()
                if not node.dead
                and not node.frozen
                and node.protocol.held_token(
                    node.local_time(self.now), node.protocol.assignments.shard_of(task)
                )
                is not None
            ]
            for task in self.tasks
        }
