"""Members in simulated time, on a network with loss, delay, partitions, pauses and skewed clocks.

For tests and benchmarks, not for production. A run is determined by its seed.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any, NamedTuple

import msgspec

from dunlinlug.fleet.membership.messages import (
    Address,
    Broadcast,
    BroadcastReceived,
    MemberStateChanged,
    Message,
    Order,
    ProcessPaused,
    Send,
    StateSync,
    Superseded,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol

MAX_QUEUED_MESSAGES = 500  # messages queued for a paused process, as in a socket's finite buffer
# A stream retransmits: a synchronisation is lost only if this many datagrams in a row would be.
STREAM_LOSS_EXPONENT = 3

# Has the signature of `MembershipProtocol`; a factory of another such protocol allows comparison.
ProtocolFactory = Callable[[str, int, Address, list[Address], float, float, Random], Any]


@dataclass
class Node:
    """A simulated process.

    Attributes:
        name: Name of the member.
        address: Host and port where it is reached.
        protocol: Its `MembershipProtocol`, or another protocol with the same interface.
        clock_rate: Seconds of its clock for one second of simulated time.
        max_timer_delay: Most seconds by which its timers are late.
        frozen: Whether the process is paused; messages are queued meanwhile.
        dead: Whether it was killed.
        queue: Messages queued for a frozen process.
        clock_origin: Simulated time at which its clock shows the same time.
    """

    name: str
    address: Address
    protocol: Any
    clock_rate: float = 1.0
    max_timer_delay: float = 0.0
    frozen: bool = False
    dead: bool = False
    queue: list[Message] = field(default_factory=list)
    clock_origin: float = 0.0

    def local_time(self, now: float) -> float:
        """Return the reading of its clock at a simulated time."""
        return (now - self.clock_origin) * self.clock_rate + self.clock_origin

    def simulated_time(self, local_time: float) -> float:
        """Return the simulated time at which its clock has this reading."""
        return (local_time - self.clock_origin) / self.clock_rate + self.clock_origin


@dataclass
class ObservedChange:
    """A change of a member's state as observed by one node; time in simulated seconds."""

    at: float
    observer: str
    subject: str
    before: str
    after: str
    reason: str


class Delivery(NamedTuple):
    """A message in flight."""

    sender: str
    address: Address
    message: Message


class Timer(NamedTuple):
    """A node's timer; it is void once the node has armed another one."""

    address: Address
    due: float


class ScheduledEvent(NamedTuple):
    """An entry of the event queue, ordered by time, then by number."""

    at: float
    number: int
    event: Delivery | Timer | Callable[[], None]


class SimulatedNetwork:
    """A network and its nodes.

    Args:
        seed: Seed of every random choice.
        probe_interval: Seconds, of all nodes.
        loss: Probability that a datagram is lost.
        delay: Least and greatest latency in seconds.
        protocol_factory: Creates a node's protocol.
        duplication: Probability that a datagram is duplicated.
        measure: Whether bytes are counted.
    """

    def __init__(  # noqa: PLR0913 - conditions of the network, passed by name
        self,
        seed: int,
        probe_interval: float = 0.2,
        loss: float = 0.0,
        delay: tuple[float, float] = (0.0005, 0.002),
        protocol_factory: ProtocolFactory = MembershipProtocol,
        *,
        duplication: float = 0.0,
        measure: bool = False,
    ) -> None:
        self.rng = Random(seed)
        self.probe_interval = probe_interval
        self.loss = loss
        self.delay = delay
        self.protocol_factory = protocol_factory
        self.duplication = duplication
        self.measure = measure
        self.now = 0.0
        self.event_numbers = count()
        self.event_queue: list[ScheduledEvent] = []
        self.nodes: dict[Address, Node] = {}
        self.timer_deadlines: dict[Address, float] = {}
        # Links as (sender, recipient) that carry no message.
        self.blocked_links = set[tuple[str, str]]()
        self.observed_changes: list[ObservedChange] = []
        self.pauses = Counter[str]()
        self.superseded = list[str]()
        self.broadcasts = defaultdict[str, list[Broadcast]](list)
        self.messages_sent = Counter[str]()
        self.bytes_sent = Counter[str]()

    def start(  # noqa: PLR0913 - conditions of the process, passed by name
        self,
        name: str,
        start_epoch: int = 1,
        seeds: tuple[str, ...] = (),
        address: Address | None = None,
        *,
        clock_rate: float = 1.0,
        max_timer_delay: float = 0.0,
    ) -> Node:
        """Start a process with these members as seeds."""
        node_address = address or (name, 1)
        seed_addresses = [(seed, 1) for seed in seeds]
        node = Node(name, node_address, None, clock_rate, max_timer_delay, clock_origin=self.now)
        node.protocol = self.protocol_factory(
            name,
            start_epoch,
            node_address,
            seed_addresses,
            node.local_time(self.now),
            self.probe_interval,
            Random(self.rng.random()),
        )
        self.nodes[node_address] = node
        self._arm_timer(node)
        return node

    def start_cluster(self, size: int, **conditions: Any) -> list[Node]:
        """Start members m0, m1, ... with the first three as seeds."""
        names = [f"m{n}" for n in range(size)]
        return [self.start(name, seeds=tuple(names[:3]), **conditions) for name in names]

    def node(self, name: str) -> Node:
        """Return the first running process of this name."""
        return next(node for node in self.nodes.values() if node.name == name and not node.dead)

    def kill(self, name: str) -> None:
        """Kill a process; it does not announce its departure."""
        node = self.node(name)
        node.dead = True
        self.nodes.pop(node.address)

    def freeze(self, name: str, frozen: bool = True) -> None:
        """Pause a process, or resume it and let it handle the queued messages."""
        node = self.node(name)
        node.frozen = frozen
        if frozen:
            return
        queue = node.queue
        node.queue = []
        for message in queue:
            self._receive(node, message)
        self._tick(node)

    def partition(self, *sides: tuple[str, ...]) -> None:
        """Block all links between these sides in both directions."""
        for side in sides:
            for other in sides:
                if side is not other:
                    self.blocked_links |= {(a, b) for a in side for b in other}

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Call an action at a simulated time."""
        self._push(when, action)

    def _push(self, when: float, event: Delivery | Timer | Callable[[], None]) -> None:
        heapq.heappush(self.event_queue, ScheduledEvent(when, next(self.event_numbers), event))

    def run(self, until: float) -> None:
        """Advance simulated time to this moment."""
        while self.event_queue and self.event_queue[0].at <= until:
            self.now, _, event = heapq.heappop(self.event_queue)
            match event:
                case Timer():
                    self._fire(event)
                case Delivery():
                    self._deliver(event)
                case _:
                    event()
        self.now = until

    def _fire(self, timer: Timer) -> None:
        armed = self.timer_deadlines.get(timer.address) == timer.due
        if armed and timer.address in self.nodes:
            self._tick(self.nodes[timer.address])

    def _deliver(self, delivery: Delivery) -> None:
        node = self.nodes.get(delivery.address)
        if node is None or (delivery.sender, node.name) in self.blocked_links:
            return
        if node.frozen:
            node.queue = [*node.queue, delivery.message][-MAX_QUEUED_MESSAGES:]
        else:
            self._receive(node, delivery.message)

    def _arm_timer(self, node: Node) -> None:
        due = max(node.simulated_time(node.protocol.next_deadline()), self.now)
        if node.max_timer_delay:
            due += self.rng.uniform(0.0, node.max_timer_delay)
        if due != self.timer_deadlines.get(node.address):
            self.timer_deadlines[node.address] = due
            self._push(due, Timer(node.address, due))

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            self._execute(node, node.protocol.tick(node.local_time(self.now)))

    def _receive(self, node: Node, message: Message) -> None:
        self._execute(node, node.protocol.receive(node.local_time(self.now), message))

    def perform(self, name: str, action: Callable[[Any, float], list[Order]]) -> None:
        """Execute an operation of a node's protocol, such as leaving."""
        node = self.node(name)
        self._execute(node, action(node.protocol, node.local_time(self.now)))

    def _execute(self, node: Node, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case Send():
                    self._send(node, order.address, order.message)
                case MemberStateChanged():
                    self.observed_changes.append(
                        ObservedChange(
                            self.now, node.name, order.name, order.before, order.after, order.reason
                        )
                    )
                case ProcessPaused():
                    self.pauses[node.name] += 1
                case Superseded():
                    self.superseded.append(node.name)
                case BroadcastReceived():
                    self.broadcasts[node.name].append(order.broadcast)
        self._arm_timer(node)

    def _send(self, node: Node, address: Address, message: Message) -> None:
        self.messages_sent[node.name] += 1
        if self.measure:
            self.bytes_sent[node.name] += len(msgspec.msgpack.encode(message))
        receiver = self.nodes.get(address)
        if receiver is not None and (node.name, receiver.name) in self.blocked_links:
            return
        loss = self.loss
        if isinstance(message, StateSync):
            loss = loss**STREAM_LOSS_EXPONENT
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= loss:
                due = self.now + self.rng.uniform(*self.delay)
                self._push(due, Delivery(node.name, address, message))

    def views_agree(self) -> bool:
        """Whether all active members have the same digest."""
        active = [node.protocol for node in self.nodes.values() if node.protocol.state == "alive"]
        return len({protocol.table.digest() for protocol in active}) <= 1

    def changes_to(self, state: str = "failed") -> list[ObservedChange]:
        """All changes to this state so far."""
        return [change for change in self.observed_changes if change.after == state]
