"""A simulation of owners and executors, with a faulty network and drifting clocks.

Used by tests and benchmarks only. The sequence of events is determined by the seed. Each member
acts for all tasks that it holds, once every `effect_interval` seconds: it decides an effect, which
waits in the member's queue for a random time. Then the lease is checked again and the effect is
sent to the executors, where it may arrive late or twice. Executors record all effects.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any, NamedTuple

from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.ownership.fencing import DUPLICATE_REASON, FencingGuard
from dunlinlug.fleet.ownership.history import Observation
from dunlinlug.fleet.ownership.messages import Effect, EffectResult, OwnershipChanged, SendMessage
from dunlinlug.fleet.ownership.options import LeaseTiming, OwnershipOptions
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

INITIAL_VOTER_SET_VERSION = 1
MAX_QUEUED_MESSAGES = 500  # per frozen member; the oldest messages are dropped
RECOVERY_TIMEOUT_LEASES = 10
MAX_INCARNATION = 2**62
# Minimum delay of a timer: a deadline converted to another clock and back may be rounded to just
# before its original value.
TIMER_SLACK = 1e-6
ProtocolFactory = Callable[..., OwnershipProtocol]


@dataclass(frozen=True)
class SimulationOptions:
    """Options of a simulation; times are seconds.

    Attributes:
        members: The number of members.
        tasks: The names of the tasks.
        executors: The number of executors.
        shards: The number of shards.
        lease: The duration of a lease.
        heartbeat_interval: The time between renewals of a lease.
        drift: The maximum error of a clock's rate, as a fraction.
        loss: The probability that a message is lost.
        duplication: The probability that a message is delivered twice.
        delay: The minimum and maximum delay of a message.
        max_effect_delay: The maximum delay of an effect beyond that of a message.
        effect_interval: The time between a member's effects for a task.
        protocol_factory: Creates a member's protocol.
        fenced: Whether executors check tokens. False shows the violations that fencing prevents.
        recheck: Whether owners check their lease again right before they send an effect. False
            shows the violations that this prevents.
    """

    members: int = 3
    tasks: tuple[str, ...] = ("x", "y")
    executors: int = 2
    shards: int = 8
    lease: float = 1.0
    heartbeat_interval: float = 0.2
    drift: float = 0.02
    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.0005, 0.002)
    max_effect_delay: float = 0.0
    effect_interval: float = 0.1
    protocol_factory: ProtocolFactory = OwnershipProtocol
    fenced: bool = True
    recheck: bool = True


class Event(NamedTuple):
    """A scheduled action; `number` orders the events of the same time."""

    at: float
    number: int
    action: Callable[[], None]


class PendingEffect(NamedTuple):
    """A decided effect that was not sent yet: its task, and the token at the decision."""

    task: str
    token: int


@dataclass
class SimulatedMember:
    """One process of a member, and its persisted state.

    Attributes:
        name: The name of the member.
        protocol: The member's protocol.
        persisted: The last persisted vote.
        clock_rate: Seconds of the member's clock per true second.
        clock_origin: The true time at which the member's clock was exact.
        frozen: Whether the process is stopped and can continue.
        dead: Whether the process has ended.
        queue: Messages that arrived while the process was frozen.
        effect_sequences: The last sequence number of effects by shard.
        pending_effects: Effects that are decided but not sent.
        timer_deadline: The true time of the next timer.
    """

    name: str
    protocol: OwnershipProtocol
    persisted: log_messages.Persist
    clock_rate: float = 1.0
    clock_origin: float = 0.0
    frozen: bool = False
    dead: bool = False
    queue: list[Any] = field(default_factory=list)
    effect_sequences: Counter[int] = field(default_factory=Counter)
    pending_effects: list[PendingEffect] = field(default_factory=list)
    timer_deadline: float = -1.0

    def local_time(self, now: float) -> float:
        """Returns the time on the member's clock."""
        return (now - self.clock_origin) * self.clock_rate + self.clock_origin

    def true_time(self, local: float) -> float:
        """Returns the true time at which the member's clock shows the given time."""
        return (local - self.clock_origin) / self.clock_rate + self.clock_origin

    def holds(self, now: float, shard: int) -> bool:
        """Returns whether the process is running and may act for a shard."""
        if self.dead or self.frozen:
            return False
        return self.protocol.held_token(self.local_time(now), shard) is not None


class SimulatedNetwork:
    """Simulates members and executors, and the events between them in order of time."""

    def __init__(self, seed: int, options: SimulationOptions | None = None) -> None:
        options = options or SimulationOptions()
        self.options = options
        self.rng = Random(seed)
        self.shards = options.shards
        self.tasks = options.tasks
        self.member_names = tuple(f"m{index}" for index in range(options.members))
        self.now = 0.0
        self.event_numbers = count()
        self.event_queue: list[Event] = []
        self.nodes: dict[str, SimulatedMember] = {}
        self.fencing_guards = {f"c{index}": FencingGuard() for index in range(options.executors)}
        self.observations: list[Observation] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.messages_sent = Counter[str]()  # by member
        self.assignments = list[tuple[float, OwnershipChanged]]()
        self.ownership_conflicts: list[str] = []  # times at which several members held one shard
        for index, name in enumerate(self.member_names):
            self.start(name, clock_rate=1.0 + options.drift * (0, 1, -1)[index % 3])

    # Process starts and faults.

    def start(self, name: str, clock_rate: float = 1.0, disk: bool = True) -> SimulatedMember:
        """Starts a process, with its disk or an empty one; a restart keeps the clock's rate."""
        previous = self.nodes.get(name)
        voter_set = log_messages.VoterSet(INITIAL_VOTER_SET_VERSION, self.member_names)
        persisted = log_messages.Persist(0, "", voter_set)
        if previous and disk:
            persisted = previous.persisted
        node = SimulatedMember(
            name,
            self._start_protocol(name, persisted),
            persisted,
            previous.clock_rate if previous else clock_rate,
            clock_origin=self.now,
        )
        self.nodes[name] = node
        self._arm_timer(node)
        first_effects = self.options.effect_interval * self.rng.random()
        self._schedule_after(first_effects, partial(self._run_effect_loop, node))
        return node

    def _start_protocol(self, name: str, persisted: log_messages.Persist) -> OwnershipProtocol:
        options = self.options
        timing = LeaseTiming(
            options.lease,
            options.heartbeat_interval,
            options.drift,
            RECOVERY_TIMEOUT_LEASES * options.lease,
        )
        incarnation = self.rng.randrange(1, MAX_INCARNATION)
        return options.protocol_factory(
            name,
            persisted,
            self.now,
            OwnershipOptions(timing, incarnation, options.shards),
            self.rng.uniform,
        )

    def kill(self, name: str) -> None:
        """Ends a process without any notice to the other members."""
        self.nodes[name].dead = True

    def freeze(self, name: str, frozen: bool = True) -> None:
        """Freezes a process, or lets it continue where it was frozen."""
        node = self.nodes[name]
        node.frozen = frozen
        if frozen or node.dead:
            return
        queue = node.queue
        node.queue = []
        # Effects decided before the freeze are sent first, as by the next statement of a real
        # process.
        self._send_effects(node)
        for message in queue:
            self._receive(node, message)
        self._tick(node)

    def partition(self, *sides: tuple[str, ...]) -> None:
        """Blocks all messages between members of different sides."""
        for side in sides:
            for other in sides:
                if side is not other:
                    self.blocked_links |= {(a, b) for a in side for b in other}

    def heal(self) -> None:
        """Removes all partitions."""
        self.blocked_links.clear()

    # Time.

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self.event_queue and self.event_queue[0].at <= until:
            event = heapq.heappop(self.event_queue)
            self.now = event.at
            event.action()
        self.now = until

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self.event_queue, Event(when, next(self.event_numbers), action))

    def _schedule_after(self, after: float, action: Callable[[], None]) -> None:
        self.schedule(self.now + after, action)

    def _arm_timer(self, node: SimulatedMember) -> None:
        due = max(node.true_time(node.protocol.next_deadline()), self.now + TIMER_SLACK)
        if due != node.timer_deadline:
            node.timer_deadline = due
            self.schedule(due, partial(self._fire_timer, node, due))

    def _fire_timer(self, node: SimulatedMember, due: float) -> None:
        if not node.dead and node.timer_deadline == due:
            node.timer_deadline = -1.0
            self._tick(node)

    def _tick(self, node: SimulatedMember) -> None:
        if not node.frozen:
            self.execute(node, node.protocol.tick(node.local_time(self.now)))

    # Messages.

    def _receive(self, node: SimulatedMember, message: Any) -> None:
        now = node.local_time(self.now)
        if not isinstance(message, EffectResult):
            self.execute(node, node.protocol.receive(now, message))
        elif not message.done:
            shard = node.protocol.assignments.shard_of(message.task)
            self.execute(node, node.protocol.token_rejected(now, shard, message.highest_token))

    def execute(self, node: SimulatedMember, orders: list[Any]) -> None:
        """Executes a member's orders as its service would, and releases revoked shards at once."""
        for order in orders:
            match order:
                case log_messages.Send(recipient, message) | SendMessage(recipient, message):
                    self.messages_sent[node.name] += 1
                    self._send(node.name, recipient, message)
                case log_messages.Persist():
                    node.persisted = order
                case OwnershipChanged():
                    if node.protocol.log.is_leader:
                        self.assignments.append((self.now, order))
        revoked = node.protocol.revoked_shards()
        if revoked:
            self.execute(node, node.protocol.release(node.local_time(self.now), revoked))
        self._arm_timer(node)

    def _copies(self) -> int:
        """Draws how many copies of a message the network carries, each of which may be lost."""
        return 1 + (self.rng.random() < self.options.duplication)

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        for _ in range(self._copies()):
            if self.rng.random() >= self.options.loss:
                delay = self.rng.uniform(*self.options.delay)
                self._schedule_after(delay, partial(self._deliver, sender, recipient, message))

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        if (sender, recipient) in self.blocked_links:
            return
        if recipient in self.fencing_guards:
            self._deliver_to_executor(recipient, message)
            return
        node = self.nodes[recipient]
        if node.frozen:
            node.queue = [*node.queue, message][-MAX_QUEUED_MESSAGES:]
        elif not node.dead:
            self._receive(node, message)

    # Effects.

    def _run_effect_loop(self, node: SimulatedMember) -> None:
        """Decides effects once every effect interval until the process ends."""
        if node.dead or self.nodes[node.name] is not node:
            return
        self._decide_effects(node)
        self._schedule_after(self.options.effect_interval, partial(self._run_effect_loop, node))

    def _decide_effects(self, node: SimulatedMember) -> None:
        """Decides an effect for each held task and schedules the sending; not while frozen."""
        if node.frozen:
            return
        self._record_conflicts(node)
        now = node.local_time(self.now)
        for task in self.tasks:
            token = node.protocol.held_token(now, node.protocol.assignments.shard_of(task))
            if token is not None:
                node.pending_effects.append(PendingEffect(task, token))
        delay = self.rng.uniform(0.0, self.options.effect_interval / 2)
        self._schedule_after(delay, partial(self._send_unless_stopped, node))

    def _record_conflicts(self, node: SimulatedMember) -> None:
        for shard in sorted({node.protocol.assignments.shard_of(task) for task in self.tasks}):
            holders = [other.name for other in self.nodes.values() if other.holds(self.now, shard)]
            if len(holders) > 1:
                self.ownership_conflicts.append(
                    f"{self.now:.3f}: {', '.join(holders)} hold shard {shard}"
                )

    def _send_unless_stopped(self, node: SimulatedMember) -> None:
        if not node.frozen and not node.dead:
            self._send_effects(node)

    def _send_effects(self, node: SimulatedMember) -> None:
        pending = node.pending_effects
        node.pending_effects = []
        for task, token in pending:
            shard = node.protocol.assignments.shard_of(task)
            held = node.protocol.held_token(node.local_time(self.now), shard)
            if self.options.recheck and held != token:
                continue
            node.effect_sequences[shard] += 1
            sequence = node.effect_sequences[shard]
            effect = Effect(node.protocol.log.term, node.name, task, token, sequence, b"")
            for executor in self.fencing_guards:
                self._send_effect(node.name, executor, effect)

    def _send_effect(self, sender: str, executor: str, effect: Effect) -> None:
        extra_delay = self.rng.uniform(0.0, self.options.max_effect_delay)
        for _ in range(self._copies()):
            delay = self.rng.uniform(*self.options.delay) + extra_delay
            self._schedule_after(delay, partial(self._deliver, sender, executor, effect))

    def _deliver_to_executor(self, executor: str, effect: Effect) -> None:
        guard = self.fencing_guards[executor]
        shard = self.nodes[self.member_names[0]].protocol.assignments.shard_of(effect.task)
        reason = guard.check(shard, effect.token, effect.sender, effect.sequence)
        done = not reason or not self.options.fenced
        self.observations.append(
            Observation(
                self.now, executor, effect.task, effect.token, effect.sequence, effect.sender, done
            )
        )
        if reason and reason != DUPLICATE_REASON:
            rejection = EffectResult.rejection(executor, effect, guard.highest_token(shard))
            delay = self.rng.uniform(*self.options.delay)
            self._schedule_after(delay, partial(self._deliver, executor, effect.sender, rejection))

    # Queries.

    def lease_holders(self) -> dict[str, list[str]]:
        """Returns, by task, the members that may act for it now."""
        return {
            task: [
                node.name
                for node in self.nodes.values()
                if node.holds(self.now, node.protocol.assignments.shard_of(task))
            ]
            for task in self.tasks
        }
