"""Members in simulated time: a network between machines with loss, delay, cuts, stops and clocks
that are off.

Nothing of it runs in service; tests, the search and the measurement stand on it. One seed, one
course of events.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

import msgspec

from dunlinlug.fleet.membership.messages import (
    BroadcastReceived,
    MemberStateChanged,
    Order,
    ProcessPaused,
    Send,
    StateSync,
    Superseded,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol

ProtocolFactory = Callable[
    [str, int, tuple[str, int], list[tuple[str, int]], float, float, Random], Any
]


@dataclass
class Node:
    """A process: `name` as it calls itself; a machine stops while `frozen`, and what comes waits in
    `queue`.
    """

    name: str
    address: tuple[str, int]
    protocol: Any
    clock_rate: float = 1.0  # seconds of its clock for one true second
    max_timer_delay: float = 0.0  # each of its turns begins up to this much later
    frozen: bool = False
    dead: bool = False
    queue: list[Any] = field(default_factory=list)
    clock_origin: float = 0.0

    def local_time(self, now: float) -> float:
        return (now - self.clock_origin) * self.clock_rate + self.clock_origin


@dataclass
class ObservedChange:
    """A change at a node: when, who says it, and of whom."""

    at: float
    observer: str
    subject: str
    before: str
    after: str
    reason: str


class SimulatedNetwork:
    def __init__(
        self,
        seed: int,
        probe_interval: float = 0.2,
        loss: float = 0.0,
        delay: tuple[float, float] = (0.0005, 0.002),
        protocol_factory: ProtocolFactory = MembershipProtocol,
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
        self.event_queue: list[tuple[float, int, str, Any]] = []
        self.nodes: dict[tuple[str, int], Node] = {}
        self.timer_deadlines: dict[tuple[str, int], float] = {}
        self.observed_changes: list[ObservedChange] = []
        self.pauses = Counter[str]()
        self.superseded = list[str]()
        self.broadcasts = defaultdict[str, list[Any]](list)
        self.blocked_links: set[tuple[str, str]] = (
            set()
        )  # directed: from this name nothing reaches that one
        self.messages_sent = Counter[str]()
        self.bytes_sent = Counter[str]()

    # The cast.

    def start(
        self,
        name: str,
        start_epoch: int = 1,
        seeds: tuple[str, ...] = (),
        address: tuple[str, int] | None = None,
        clock_rate: float = 1.0,
        max_timer_delay: float = 0.0,
    ) -> Node:
        node_address = address or (name, 1)
        others = [(seed, 1) for seed in seeds]
        node = Node(name, node_address, None, clock_rate, max_timer_delay, clock_origin=self.now)
        node.protocol = self.protocol_factory(
            name,
            start_epoch,
            node_address,
            others,
            node.local_time(self.now),
            self.probe_interval,
            Random(self.rng.random()),
        )
        self.nodes[node_address] = node
        self._arm_timer(node)
        return node

    def start_cluster(self, size: int, **more: Any) -> list[Node]:
        """So many that know the first three as seeds."""
        names = [f"m{n}" for n in range(size)]
        return [self.start(name, seeds=tuple(names[:3]), **more) for name in names]

    def node(self, name: str) -> Node:
        return next(node for node in self.nodes.values() if node.name == name and not node.dead)

    def kill(self, name: str) -> None:
        node = self.node(name)
        node.dead = True
        self.nodes.pop(node.address)

    def freeze(self, name: str, frozen: bool = True) -> None:
        node = self.node(name)
        node.frozen = frozen
        if not frozen:
            queue = node.queue
            node.queue = []
            for message in queue:
                self._receive(node, message)
            self._tick(node)

    def partition(self, *sides: tuple[str, ...]) -> None:
        """Nothing between these sides, either way."""
        for side in sides:
            for other in sides:
                if side is not other:
                    self.blocked_links |= {(a, b) for a in side for b in other}

    def heal(self) -> None:
        self.blocked_links.clear()

    # Time.

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.event_queue, (when, next(self.event_numbers), "act", action))

    def run(self, until: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, kind, what = heapq.heappop(self.event_queue)
            if kind == "act":
                what()
            elif kind == "wake":
                address, armed = what
                if self.timer_deadlines.get(address) == armed and address in self.nodes:
                    self._tick(self.nodes[address])
            else:
                sender, address, message = what
                node = self.nodes.get(address)
                if node is not None and (sender, node.name) not in self.blocked_links:
                    if node.frozen:
                        node.queue = [*node.queue, message][
                            -500:
                        ]  # as a socket's buffer has an end
                    else:
                        self._receive(node, message)
        self.now = until

    def _arm_timer(self, node: Node) -> None:
        due = (
            node.protocol.next_deadline() - node.clock_origin
        ) / node.clock_rate + node.clock_origin
        due = max(due, self.now) + (
            self.rng.uniform(0.0, node.max_timer_delay) if node.max_timer_delay else 0.0
        )
        if due != self.timer_deadlines.get(node.address):
            self.timer_deadlines[node.address] = due
            heapq.heappush(
                self.event_queue, (due, next(self.event_numbers), "wake", (node.address, due))
            )

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            self._execute(node, node.protocol.tick(node.local_time(self.now)))

    def _receive(self, node: Node, message: Any) -> None:
        self._execute(node, node.protocol.receive(node.local_time(self.now), message))

    def perform(self, name: str, action: Callable[[Any, float], list[Order]]) -> None:
        """Let a node's machine do something of its own accord."""
        node = self.node(name)
        self._execute(node, action(node.protocol, node.local_time(self.now)))

    def _execute(self, node: Node, orders: list[Any]) -> None:
        for order in orders:
            match order:
                case Send(address=address, message=message):
                    self._send(node, address, message)
                case MemberStateChanged(name=of, before=before, after=state, reason=reason):
                    self.observed_changes.append(
                        ObservedChange(self.now, node.name, of, before, state, reason)
                    )
                case ProcessPaused():
                    self.pauses[node.name] += 1
                case Superseded():
                    self.superseded.append(node.name)
                case BroadcastReceived(broadcast=broadcast):
                    self.broadcasts[node.name].append(broadcast)
        self._arm_timer(node)

    def _send(self, node: Node, address: tuple[str, int], message: Any) -> None:
        self.messages_sent[node.name] += 1
        if self.measure:
            self.bytes_sent[node.name] += len(msgspec.msgpack.encode(message))
        receiver = self.nodes.get(address)
        if receiver is not None and (node.name, receiver.name) in self.blocked_links:
            return
        # By a stream a word comes late rather than not at all.
        loss = self.loss**3 if isinstance(message, StateSync) else self.loss
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= loss:
                due = self.now + self.rng.uniform(*self.delay)
                heapq.heappush(
                    self.event_queue,
                    (due, next(self.event_numbers), "come", (node.name, address, message)),
                )

    # What was seen.

    def views_agree(self) -> bool:
        """Whether all that live have one view."""
        machines = [node.protocol for node in self.nodes.values() if node.protocol.state == "alive"]
        return len({protocol.table.digest() for protocol in machines}) <= 1

    def changes_to(self, state: str = "failed") -> list[ObservedChange]:
        return [change for change in self.observed_changes if change.after == state]
