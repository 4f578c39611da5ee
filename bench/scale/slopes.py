"""Cost of each part of a manager by the sizes of the fleet, measured in small simulations.

python -m bench.scale.slopes [NAME…] [--text before] [--small]

Without names all series are measured, in about ten minutes. Each writes `results/slope-NAME.json`:
its points, with the sizes and the load of the machine at the time, and the held-out points, which
are not used for fitting. CPU is process time on one core of the measuring machine. It is stored
with the pace: the CPU time of a fixed piece of work before and after the simulation. Workers,
proxies, collectors and members are simulated, and no socket is opened. `--text` names the version
of the decision module: `module` writes one file per version, so that two versions can be compared.
`--small` only runs the first size of each series and writes nothing, for use during development.
"""

import argparse
import gc
import heapq
import json
import multiprocessing
import os
import platform
import resource
import subprocess
import sys
import time
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from bench import decision_loop_cost, guard_cost, replication_cost
from dunlinlug.decision.events import (
    Acknowledged,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    TimerFired,
)
from dunlinlug.decision.orders import (
    AssignTable,
    Order,
    RequestAcknowledgement,
    SetEjected,
    SetTimer,
    SetWeight,
)
from dunlinlug.discovery import entries
from dunlinlug.fleet.election import codec as log_codec
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.membership import codec as member_codec
from dunlinlug.fleet.membership import reconnects, state_sync
from dunlinlug.fleet.membership.list_digests import ListDigest, ListDigests
from dunlinlug.fleet.membership.load import ManagerLoad, ManagerLoads, ReceivedLoad
from dunlinlug.fleet.membership.local_member import Lifecycle, PeerState
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    Broadcast,
    BroadcastReceived,
    Gossip,
    MemberState,
    MemberStateChanged,
    StateSync,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.membership.simulated_network import Delivery, Node, SimulatedNetwork
from dunlinlug.fleet.ownership.simulated_network import SimulatedNetwork as OwnershipNetwork
from dunlinlug.fleet.ownership.simulated_network import SimulationOptions as OwnershipOptions
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.manager.endpoint_watcher import EndpointWatcher
from dunlinlug.platform import discovery_state
from dunlinlug.platform.connections import Peer, PeerRegistry
from dunlinlug.platform.orders import PlatformTableInstaller

RESULTS = Path(__file__).parent / "results"
Case = dict[str, float]
Figures = dict[str, float]
# The channel of a manager and the reports that it receives, as in bench/decision_cost.py.
CHANNEL_LINES_PER_S, MESSAGE_OVERHEAD_LINES, MAX_MESSAGES, REPORT_LINES_PER_S = (
    1300.0,
    4.0,
    30,
    80.0,
)
JOINS_AT_SECONDS, ORDINARY_FROM_SECONDS, REPLACEMENTS_AT_SECONDS, END_SECONDS = (
    1.0,
    3.0,
    6.0,
    9.0,
)
# One worker in this many fails most of its attempts, as in bench/decision_cost.py.
FAILING_WORKER_INTERVAL = 8
# Repetitions of the fixed piece of work: a tenth of a second before and after each simulation.
PACE_ROUNDS = 200
# CPU seconds for which a short step is repeated, and the number of such trials. The smallest result
# counts, as disturbances only add.
REPEAT_CPU_SECONDS, TRIALS = (
    0.1,
    5,
)


# Batches of the decision module.


class SizedFleet(decision_loop_cost.Fleet):
    """A fleet of any size that runs the events of bench/decision_cost.py in fewer seconds.

    All proxies join within half a second, reports arrive at the agreed rate, some workers fail,
    thirty are replaced.
    """

    def __init__(self, case: Case) -> None:
        products, proxies, workers = (int(case[key]) for key in ("products", "proxies", "workers"))
        super().__init__(
            (
                products,
                proxies,
                workers,
                CHANNEL_LINES_PER_S,
                MESSAGE_OVERHEAD_LINES,
                MAX_MESSAGES,
                case["reports"],
            )
        )
        self.platform_installer = PlatformTableInstaller(
            tuple(p.name for p in self.settings.traffic_classes), 1, MESSAGE_OVERHEAD_LINES
        )
        self.channel = PacedChannel(CHANNEL_LINES_PER_S, 1e12, 0, 10.0)  # type: ignore[assignment]
        self.requested_at: dict[int, float] = {}
        self.by_second: dict[str, dict[int, float]] = {
            part: defaultdict(float) for part in ("module", "render")
        }
        self.turns_by_second, self.longest_turn, self.lines_by_second = (
            defaultdict[int, int](int),
            0.0,
            defaultdict[int, float](float),
        )
        self.bytes_by_second = defaultdict[int, float](float)
        self.drain_listed_at = dict[str, float]()  # by worker
        # By acknowledgement number: when the drain was listed, and the proxies that have not
        # acknowledged it yet.
        self.pending_drains = dict[int, tuple[float, set[int]]]()
        # Seconds from the listing of a drain to the acknowledgement of the last proxy.
        self.drain_seconds = list[float]()

    def schedule_events(self, seconds: float) -> None:
        """Schedule the events of the run: joins, replacements and reports."""
        self.schedule(0.0, EndpointsUpdated("kept", tuple(self.workers)))
        for proxy in range(self.proxies):
            self.schedule(
                JOINS_AT_SECONDS + self.rng.random() / 2,
                ProxyConnected(proxy, "abc"[proxy % 3], 5.0, True),
            )
        for n, worker in enumerate(self.workers[:30]):
            drain_starts_at, replacement = REPLACEMENTS_AT_SECONDS + n // 10, f"10.1.0.{n}:80"
            self.drain_listed_at[worker.id] = drain_starts_at
            for when, worker_id, state, since in (
                (drain_starts_at, worker.id, "draining", None),
                (drain_starts_at, replacement, "ready", drain_starts_at),
                (drain_starts_at + 3, worker.id, "gone", None),
            ):
                self.schedule(
                    when,
                    EndpointsUpdated(
                        "changes", (Endpoint(worker_id, worker.zone, "", 0, state, 1.0, since),)
                    ),
                )
        cycle = decision_loop_cost.REPORT_INTERVAL_SECONDS
        for n in range(int(JOINS_AT_SECONDS / cycle), int(seconds / cycle)):
            for event in self.reports():
                if (
                    isinstance(event, EndpointReported)
                    and int(event.worker.split(".")[3].split(":")[0]) % FAILING_WORKER_INTERVAL == 0
                ):
                    event = EndpointReported(event.zone, event.worker, 12, 8, 0.2, cycle)
                self.schedule((n + self.rng.random()) * cycle, event)

    def run(self, seconds: float) -> None:
        """Simulate this many seconds."""
        self.schedule_events(seconds)
        now = 0.0
        while now < seconds:
            for proxy, message in self.channel.pop_due(now):
                if message.ack_number is not None:  # type: ignore[attr-defined]
                    arrives = now + decision_loop_cost.TRANSIT_SECONDS * self.rng.uniform(0.5, 1.5)
                    ack_number = message.ack_number  # type: ignore[attr-defined]
                    self.schedule(
                        arrives,
                        Acknowledged(proxy, ack_number, arrives - self.requested_at[ack_number]),
                    )
            events = []
            while self.due_events and self.due_events[0][0] <= now:
                events.append(heapq.heappop(self.due_events)[2])
            if events:
                self.record_acknowledgements(now, events)
                self.process_batch(now, events)
            now += decision_loop_cost.TICK_SECONDS

    def record_acknowledgements(self, now: float, events: list[Event]) -> None:
        """Record the drains that all their proxies have acknowledged."""
        for event in events:
            if isinstance(event, Acknowledged) and event.ack_number in self.pending_drains:
                since, awaited = self.pending_drains[event.ack_number]
                awaited.discard(event.proxy)
                if not awaited:
                    self.drain_seconds.append(now - since)
                    del self.pending_drains[event.ack_number]

    def process_batch(self, now: float, events: list[Event]) -> None:
        """Decide on and render one batch of events, and record its CPU time."""
        second = int(now)
        began = time.process_time()
        reply = self.module.decide(now, events)
        decided = time.process_time()
        self.platform_installer.handle_events(events)
        messages = self.platform_installer.apply_orders(reply, now)
        ended = time.process_time()
        self.handle_reply(now, events, reply)
        drained = [
            self.drain_listed_at[order.worker]
            for order in reply
            if isinstance(order, SetEjected)
            and order.ejected
            and order.worker in self.drain_listed_at
        ]
        for order in reply:
            if isinstance(order, SetTimer):
                self.schedule(now + order.delay, TimerFired(order.token))
            elif isinstance(order, RequestAcknowledgement):
                self.requested_at[order.ack_number] = now
                if drained and messages and min(drained) <= now:
                    self.pending_drains[order.ack_number] = min(drained), set(messages)
        for proxy, message in messages.items():
            self.channel.enqueue(now, proxy, message)  # type: ignore[arg-type]  # only entry_count is read
            self.bytes_by_second[second] += len(message.data)
            self.lines_by_second[second] += message.entry_count
        self.turns_by_second[second] += 1
        self.by_second["module"][second] += decided - began
        self.by_second["render"][second] += ended - decided
        self.longest_turn = max(self.longest_turn, decided - began)

    def handle_reply(self, now: float, events: list[Event], reply: list[Order]) -> None:
        """Hook for subclasses that also consume the orders; does nothing here."""


class XdsFleet(SizedFleet):
    """The same fleet, with the CPU time of the xDS table installer as well."""

    def __init__(self, case: Case) -> None:
        super().__init__(case)
        self.by_second["xds_installer"] = defaultdict(float)

    def handle_reply(self, now: float, events: list[Event], reply: list[Order]) -> None:
        """Render the orders with the xDS table installer, and record its CPU time."""
        for event in events:
            if isinstance(event, ProxyConnected):
                self.xds_installer.add_proxy(event.proxy, True, ())
        began = time.process_time()
        self.xds_installer.handle_events(events)
        self.xds_installer.apply_orders(reply, now)
        self.by_second["xds_installer"][int(now)] += time.process_time() - began


def resident_bytes() -> float:
    """Return the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * float(resource.getpagesize())


def play_module(case: Case) -> Figures:
    """Measure the decision module and the rendering of its orders."""
    before = resident_bytes()
    fleet = SizedFleet(case)
    fleet.run(END_SECONDS)
    gc.collect()
    memory, seconds = (
        resident_bytes() - before,
        range(int(ORDINARY_FROM_SECONDS), int(REPLACEMENTS_AT_SECONDS)),
    )
    module, render = fleet.by_second["module"], fleet.by_second["render"]
    usual, turns = sum(module[n] for n in seconds), sum(fleet.turns_by_second[n] for n in seconds)
    churn = range(int(REPLACEMENTS_AT_SECONDS), int(END_SECONDS))
    return {
        "second": usual / len(seconds),
        "turn": usual / turns,
        "longest": fleet.longest_turn,
        "dearest": max(module.values()),
        "change": sum(module[n] for n in churn) / len(churn),
        "render": sum(render[n] for n in seconds) / len(seconds),
        "render_dearest": max(render.values()),
        "memory": max(memory, float(resource.getpagesize())),
        "turns": turns / len(seconds),
        "out_bytes": sum(fleet.bytes_by_second[n] for n in seconds) / len(seconds),
        "out_dearest": max(fleet.bytes_by_second.values()),
        **(
            {"in_force": max(fleet.drain_seconds)}
            if fleet.drain_seconds and not fleet.pending_drains
            else {}
        ),
    }


def play_desk(case: Case) -> Figures:
    """Measure the xDS table installer."""
    fleet = XdsFleet(case)
    fleet.run(END_SECONDS)
    spent = fleet.by_second["xds_installer"]
    return {
        "second": sum(
            spent[n] for n in range(int(ORDINARY_FROM_SECONDS), int(REPLACEMENTS_AT_SECONDS))
        )
        / (REPLACEMENTS_AT_SECONDS - ORDINARY_FROM_SECONDS),
        "dearest": max(spent.values()),
    }


def sizes(
    workers: float = 200,
    products: float = 2,
    proxies: float = 20,
    reports: float = REPORT_LINES_PER_S,
) -> Case:
    """Return the sizes of a case, with defaults."""
    return {"workers": workers, "products": products, "proxies": proxies, "reports": reports}


MODULE = [
    *(sizes(workers=n) for n in (200, 500, 1000, 2000)),
    *(sizes(products=n) for n in (5, 20, 60)),
    *(sizes(proxies=n) for n in (60, 200)),
    *(sizes(reports=n) for n in (20, 40, 160)),
    sizes(500, 20),
    sizes(1000, 20),
    sizes(500, 60),
    sizes(500, 2, 60),
    sizes(500, 2, 200),
    sizes(1000, 2, 60),
]
MODULE_HELD = [
    sizes(5000),
    sizes(products=270),
    sizes(proxies=600),
    sizes(reports=320),
    sizes(1000, 60),
    sizes(1000, 2, 200),
]
DESK = [
    *(sizes(workers=n) for n in (100, 200, 500)),
    sizes(products=5),
    sizes(products=20),
    sizes(proxies=60),
    sizes(500, 5),
]
DESK_HELD = [sizes(1000), sizes(products=60), sizes(proxies=120)]


# Membership in simulated time.

KEY, BOOT, PROBE_INTERVAL_SECONDS = bytes(32), bytes(8), 0.2
TIMER_DELAY_FACTOR = 1.001  # a sleep never ends early


def member_name(n: int) -> str:
    """Return an address as name of a member, so that messages are about as long as in production."""
    return f"10.1.{n // 250}.{n % 250}"


SEEDS = tuple(member_name(n) for n in range(3))


class SealedNetwork(SimulatedNetwork):
    """Members whose datagrams are sealed and opened as in production.

    Counts messages and bytes by kind, and the CPU time of all of it. With `sends_broadcasts` each
    member broadcasts its load and the digest of its list, as a manager does.
    """

    def __init__(self, seed: int, loss: float = 0.01, sends_broadcasts: bool = True) -> None:
        super().__init__(seed, loss=loss)
        self.sends_broadcasts, self.cpu_seconds = sends_broadcasts, 0.0
        self.sealer, self.opener = (
            member_codec.DatagramSealer(KEY, BOOT),
            member_codec.DatagramOpener([KEY]),
        )
        self.sent, self.sent_bytes = Counter[str](), Counter[str]()
        self.received_messages, self.received_bytes = Counter[str](), Counter[str]()  # by member
        self.by_second: dict[int, float] = defaultdict(float)
        self.broadcast_sources: dict[str, tuple[ManagerLoads, ListDigests]] = {}

    def start_settled(self, size: int) -> None:
        """Start members that already know each other and have nothing left to gossip."""
        for n in range(size):
            self.start(member_name(n), seeds=SEEDS).protocol.state = Lifecycle.ALIVE
        states = {node.name: node.protocol.local_state for node in self.nodes.values()}
        for node in self.nodes.values():
            machine = node.protocol
            machine.table.members = dict(states)
            machine.table.pending_broadcasts.clear()
            machine.table._digest = b""
            machine.peers = {
                name: PeerState(self.now, self.now) for name in states if name != node.name
            }
            machine.next_probe_at = self.now + self.rng.uniform(0, PROBE_INTERVAL_SECONDS)
            machine.next_sync_at = (
                self.now
                + self.rng.uniform(0, 1.0) * state_sync.SYNC_INTERVALS * PROBE_INTERVAL_SECONDS
            )
            machine.next_reconnect_at = (
                self.now + reconnects.RECONNECT_INTERVALS * PROBE_INTERVAL_SECONDS
            )
            self._arm_timer(node)
        # A real manager holds one member table. Garbage collection over the tables of all members
        # would be counted as its CPU time.
        gc.freeze()

    def start(self, name: str, *given: Any, **details: Any) -> Node:
        """Start a member and its broadcasts."""
        node = super().start(name, *given, **details)
        if self.sends_broadcasts:
            self.broadcast_sources[name] = (
                ManagerLoads(name, node.protocol.local_state.incarnation[0]),
                ListDigests(name, node.protocol.local_state.incarnation[0]),
            )
            self.schedule(
                self.now + self.rng.uniform(0, PROBE_INTERVAL_SECONDS),
                lambda: self._send_broadcasts(node),
            )
        return node

    def _send_broadcasts(self, node: Node) -> None:
        if node.dead:
            return
        loads, lists = self.broadcast_sources[node.name]
        due = (
            loads.due_broadcast(self.now, ManagerLoad(20, 85.1, 0.21, 0.011)),
            lists.due_broadcast(self.now, {}),
        )
        broadcasts = tuple(broadcast for broadcast in due if broadcast is not None)
        if broadcasts and not node.frozen:
            began = time.thread_time()
            orders = node.protocol.broadcast(broadcasts)
            self.cpu_seconds += time.thread_time() - began
            self._execute(node, orders)
        self.schedule(
            self.now + PROBE_INTERVAL_SECONDS * TIMER_DELAY_FACTOR,
            lambda: self._send_broadcasts(node),
        )

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            began = time.thread_time()
            orders = node.protocol.tick(node.local_time(self.now))
            self.cpu_seconds += time.thread_time() - began
            self._execute(node, orders)

    def _receive(self, node: Node, message: Any) -> None:
        began = time.thread_time()
        data = message
        orders = node.protocol.receive(node.local_time(self.now), self.opener.open(data))
        for order in orders:
            if isinstance(order, BroadcastReceived) and node.name in self.broadcast_sources:
                loads, lists = self.broadcast_sources[node.name]
                (loads if order.broadcast.key.startswith("burden/") else lists).merge(
                    self.now, order.broadcast
                )
        self.cpu_seconds += time.thread_time() - began
        self.received_messages[node.name] += 1
        self.received_bytes[node.name] += len(data)
        self._execute(node, orders)

    def _send(self, node: Node, place: tuple[str, int], message: Any) -> None:
        began = time.thread_time()
        is_state_sync = isinstance(message, StateSync)
        data = self.sealer.frame(message) if is_state_sync else self.sealer.seal(message)
        self.cpu_seconds += time.thread_time() - began
        only_broadcasts = isinstance(message, Gossip) and all(
            isinstance(item, Broadcast) for item in message.gossip
        )
        kind = "exchange" if is_state_sync else "facts" if only_broadcasts else "probes"
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        self.by_second[int(self.now)] += len(data)
        to = self.nodes.get(place)
        if to is None or (node.name, to.name) in self.blocked_links:
            return
        if self.rng.random() >= (self.loss**3 if is_state_sync else self.loss):
            body = data[member_codec.LENGTH.size :] if is_state_sync else data
            due = self.now + self.rng.uniform(*self.delay)
            self._push(due, Delivery(node.name, place, body))

    def clear(self) -> None:
        """Reset all counters."""
        for counter in (
            self.sent,
            self.sent_bytes,
            self.received_messages,
            self.received_bytes,
            self.by_second,
        ):
            counter.clear()
        self.cpu_seconds = 0.0


def measure_steady_state(net: SealedNetwork, size: int, span: float) -> Figures:
    """Return the cost of one member per second, over the next `span` seconds."""
    net.clear()
    net.run(net.now + span)
    cpu_seconds_per_call = size * span
    return {
        "cpu": net.cpu_seconds / cpu_seconds_per_call,
        **{f"{kind}_messages": net.sent[kind] / cpu_seconds_per_call for kind in net.sent},
        **{f"{kind}_bytes": net.sent_bytes[kind] / cpu_seconds_per_call for kind in net.sent},
        "messages": sum(net.sent.values()) / cpu_seconds_per_call,
        "bytes": sum(net.sent_bytes.values()) / cpu_seconds_per_call,
    }


def play_members(case: Case) -> Figures:
    """Measure settled members without changes."""
    size = int(case["members"])
    net = SealedNetwork(3)
    net.start_settled(size)
    net.run(2.0)
    return measure_steady_state(
        net, size, 40.0 if size <= 60 else 20.0 if size <= 200 else 10.0 if size <= 300 else 5.0
    )


def play_joined(case: Case) -> Figures:
    """As `play_members`, but after the members joined one another by the protocol.

    Comparing the two shows whether members that start settled behave like joined ones.
    """
    size = int(case["members"])
    net = SealedNetwork(3)
    for n in range(size):
        net.start(member_name(n), seeds=SEEDS)
    net.run(60.0)
    return measure_steady_state(net, size, 20.0)


# Ownership log: messages among the voters.


class MeasuredOwners(OwnershipNetwork):
    """Ownership members with the sealed size of each message and the CPU time of each member."""

    def __init__(self, size: int) -> None:
        self.bytes_by_member, self.cpu_seconds = Counter[str](), Counter[str]()
        super().__init__(1, OwnershipOptions(size, shards=256, effect_interval=0.1))

    def _send(self, sender: str, to: str, message: Any) -> None:
        began = time.thread_time()
        size = len(log_codec.encode(message)) + log_codec.HEADER.size
        self.cpu_seconds[sender] += time.thread_time() - began
        self.bytes_by_member[sender] += size
        super()._send(sender, to, message)

    def _tick(self, node: Any) -> None:
        began = time.thread_time()
        super()._tick(node)
        self.cpu_seconds[node.name] += time.thread_time() - began

    def _receive(self, node: Any, message: Any) -> None:
        began = time.thread_time()
        super()._receive(node, message)
        self.cpu_seconds[node.name] += time.thread_time() - began


def play_owner(case: Case) -> Figures:
    """Measure the ownership log without changes."""
    size = int(case["members"])
    net = MeasuredOwners(size)
    net.run(8.0)
    for counter in (net.messages_sent, net.bytes_by_member, net.cpu_seconds):
        counter.clear()
    span = 30.0 if size <= 30 else 10.0
    net.run(8.0 + span)
    leader = next(node.name for node in net.nodes.values() if node.protocol.log.is_leader)
    others = [name for name in net.member_names if name != leader]
    found = {}
    for kind, counter in (
        ("messages", net.messages_sent),
        ("bytes", net.bytes_by_member),
        ("cpu", net.cpu_seconds),
    ):
        found[f"leader_{kind}"] = counter[leader] / span
        found[f"other_{kind}"] = sum(counter[name] for name in others) / len(others) / span
    return found


# Members during faults and restarts, faster or smaller than in production as the series describe.

# Restarts or failures are counted over the whole fleet.
SETTLE_SECONDS, EVENTS_PER_SECOND = (
    3.0,
    1.0,
)
MAX_EVENTS, RECOVERY_SECONDS = 10, 6.0  # recovery: from a failure to the next start
# The partition lasts long enough for each half to report the other as failed.
PARTITION_SECONDS, MAX_HEAL_SECONDS = (
    15.0,
    25.0,
)
VIEW_CHECK_INTERVAL_SECONDS = 0.1


def detection_seconds(
    net: SealedNetwork, since: float, subjects: dict[str, float], status: str
) -> list[float]:
    """Return the seconds until the last member observed the status of each subject, sorted.

    `subjects` maps names to the time of the event. Observers that are subjects themselves are left
    out: they may have joined after the event.
    """
    last: dict[str, float] = {}
    for seen in net.observed_changes:
        is_event = seen.after == status and (
            status == "failed" or seen.before in ("left", "failed")
        )
        if (
            seen.subject in subjects
            and seen.observer not in subjects
            and is_event
            and seen.at >= max(since, subjects[seen.subject])
        ):
            last[seen.subject] = max(last.get(seen.subject, 0.0), seen.at - subjects[seen.subject])
    return sorted(last.values())


def seconds_to_one_view(net: SealedNetwork, size: int) -> float:
    """Return the seconds until all members have one view with every member alive.

    At most `MAX_HEAL_SECONDS`.
    """
    began = net.now
    while net.now < began + MAX_HEAL_SECONDS:
        net.run(net.now + VIEW_CHECK_INTERVAL_SECONDS)
        if net.views_agree() and all(
            len(node.protocol.table.live_members()) == size for node in net.nodes.values()
        ):
            break
    return net.now - began


def restart_member(net: SealedNetwork, name: str) -> None:
    """Start a failed member with its next start epoch."""
    net.start(name, born=2, seeds=SEEDS, place=(name, 1))


def play_churn(case: Case) -> Figures:
    """Restart one member per second (leave, and back half a second later), or fail one."""
    size, is_failure = int(case["members"]), bool(case["failures"])
    net = SealedNetwork(5)
    net.start_settled(size)
    net.run(SETTLE_SECONDS)
    net.clear()
    net.observed_changes.clear()
    at: dict[str, float] = {}
    for n in range(min(MAX_EVENTS, size - 4)):
        name, when = member_name(size - 1 - n), SETTLE_SECONDS + n / EVENTS_PER_SECOND
        at[name] = when if is_failure else when + 0.5
        if is_failure:
            net.schedule(when, lambda name=name: net.kill(name))  # type: ignore[misc]
        else:
            net.schedule(
                when,
                lambda name=name: (  # type: ignore[misc]
                    net.perform(name, lambda machine, now: machine.leave(now)),
                    net.kill(name),
                ),
            )
        net.schedule(
            when + (RECOVERY_SECONDS if is_failure else 0.5),
            lambda name=name: restart_member(net, name),  # type: ignore[misc]
        )
    span = len(at) / EVENTS_PER_SECOND
    net.run(SETTLE_SECONDS + span)
    found = {
        "bytes": sum(net.sent_bytes.values()) / size / span,
        "cpu": net.cpu_seconds / size / span,
    }
    net.run(SETTLE_SECONDS + span + 4.0)
    took = detection_seconds(net, SETTLE_SECONDS, at, "failed" if is_failure else "alive")
    return {**found, "last_p50": took[len(took) // 2], "last": took[-1]}


def play_lost(case: Case) -> Figures:
    """Kill members at once and start them again; measure the worst second of a survivor."""
    size, lost_cases = int(case["members"]), int(case["lost"])
    net = SealedNetwork(7)
    net.start_settled(size)
    net.run(SETTLE_SECONDS)
    net.clear()
    net.observed_changes.clear()
    names = [member_name(size - 1 - n) for n in range(lost_cases)]
    for name in names:
        net.kill(name)
    net.run(SETTLE_SECONDS + 10.0)
    took = detection_seconds(net, SETTLE_SECONDS, dict.fromkeys(names, SETTLE_SECONDS), "failed")
    found = {
        "bytes": max(net.by_second.values()) / (size - lost_cases),
        "cpu": net.cpu_seconds / (size - lost_cases) / 10.0,
        "last": took[-1],
    }
    net.clear()
    for name in names:
        restart_member(net, name)
    back = seconds_to_one_view(net, size)
    return {**found, "back_bytes": max(net.by_second.values()) / size, "back": back}


def play_halves(case: Case) -> Figures:
    """Partition the members into two halves that report each other as failed, and heal it."""
    size = int(case["members"])
    net = SealedNetwork(9)
    net.start_settled(size)
    net.run(SETTLE_SECONDS)
    net.clear()
    names = [member_name(n) for n in range(size)]
    net.partition(tuple(names[::2]), tuple(names[1::2]))
    net.run(SETTLE_SECONDS + PARTITION_SECONDS)
    found = {
        "bytes": max(net.by_second.values()) / size,
        "cpu": net.cpu_seconds / size / PARTITION_SECONDS,
    }
    net.clear()
    net.heal()
    heal = seconds_to_one_view(net, size)
    return {
        **found,
        "heal_bytes": max(net.by_second.values()) / size,
        "heal_cpu": net.cpu_seconds / size / heal,
        "heal": heal,
    }


# Work of a manager about the other members in each probe interval.


def known_members(size: int) -> dict[str, MemberState]:
    """Return the states of this many alive members."""
    return {
        name: MemberState(name, (1, 0), ALIVE, (name, 1), name)
        for name in map(member_name, range(size))
    }


def membership_of(size: int, clock: Callable[[], float]) -> Membership:
    """Return the membership service of a manager that knows all members; no socket is open."""
    states = known_members(size)
    places = {name: state.address for name, state in states.items()}
    me = member_name(0)
    host = Membership(
        me,
        1,
        places,
        [KEY],
        PROBE_INTERVAL_SECONDS,
        Random(1),
        lambda event, **details: None,
        lambda: tuple(places),
        clock=clock,
    )
    host.protocol.table.members = states
    host.protocol.peers = {name: PeerState(0.0, 0.0) for name in states if name != me}
    return host


def play_operators(case: Case) -> Figures:
    """Measure the answer to `fleet show`: the members, their views and the last failures as JSON."""
    host, sent = membership_of(int(case["members"]), lambda: 1.0), 0

    def describe() -> None:
        nonlocal sent
        sent = len(json.dumps(host.describe()))

    return {"cpu": cpu_seconds_per_call(describe), "bytes": float(sent)}


def play_host(case: Case) -> Figures:
    """Measure a manager's checks of partition, loads, lists and observations without changes."""
    size, workers, at = int(case["members"]), int(case["workers"]), 0.0
    host = membership_of(size, lambda: at)
    me, states = host.self_id, host.protocol.table.members
    listed = {
        f"10.0.0.{n}:80": Endpoint(f"10.0.0.{n}:80", "a", "", 0, "ready", 1.0, None)
        for n in range(workers)
    }
    host.listed_workers = lambda: listed
    list_broadcast = ListDigests(me, 1).due_broadcast(0.0, listed)
    assert list_broadcast is not None
    digest = msgspec.msgpack.decode(list_broadcast.payload, type=ListDigest)
    for name in states:
        host.loads.loads[name] = ReceivedLoad((1, 1), ManagerLoad(20, 85.1, 0.2, 0.01), 0.0)
        host.list_digests.digests[name] = (digest, 0.0)
    best = float("inf")
    for trial in range(TRIALS):
        began, first = time.process_time(), at
        for n in range(1, 26):  # five seconds: a check each probe interval, broadcasts each second
            at = first + n * PROBE_INTERVAL_SECONDS * TIMER_DELAY_FACTOR
            if not n % 5:
                for name in states:
                    load = ManagerLoad(20, 85.1, 0.2, 0.01)
                    host.loads.loads[name] = ReceivedLoad((1, 2 + trial), load, at)
                    host.list_digests.digests[name] = (digest, at)
            host._update_partition()
            host._send_due_broadcasts()
        best = min(best, (time.process_time() - began) / (at - first))
    return {"cpu": best}


# Short steps: decoding and encoding.


def cpu_seconds_per_call(step: Callable[[], Any]) -> float:
    """Return the CPU seconds of one call: the smallest of several trials."""
    step()
    best = float("inf")
    for _ in range(TRIALS):
        count, began = 0, time.thread_time()
        while time.thread_time() - began < REPEAT_CPU_SECONDS:
            step()
            count += 1
        best = min(best, (time.thread_time() - began) / count)
    return best


def play_discovery(case: Case) -> Figures:
    """Measure a full list and the change of one entry, from bytes to module and installer state."""
    size = int(case["entries"])
    rows = [
        {
            "instanceId": f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:8080",
            "zone": f"zone-{n % 10}",
            "hostPort": f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:8080",
            "lifecycle": "ready",
            "machineType": "standard-4",
            "cell": n % 7,
            "weight": 1.0,
            "startedAtMs": 1.7e12 + n,
        }
        for n in range(size)
    ]
    whole = msgspec.json.encode({"generation": 2, "reset": True, "instances": rows})
    one = msgspec.json.encode({"generation": 3, "reset": False, "instances": rows[:1]})
    fleet, orders = (
        SizedFleet(sizes(workers=1, proxies=1)).module.state.fleet,
        PlatformTableInstaller(("a",), 1, MESSAGE_OVERHEAD_LINES),
    )
    state = discovery_state.DiscoveryState(Random(1).uniform)

    def apply(body: bytes, generation: int | None) -> None:
        state.generation = generation
        news = state.handle_response(discovery_state.decode_response(body))
        assert news is not None
        fleet.apply_update(news, set)
        orders.handle_events([news])

    return {
        "whole": cpu_seconds_per_call(lambda: apply(whole, None)),
        "one": cpu_seconds_per_call(lambda: apply(one, 2)),
        "bytes": float(len(whole)),
        "one_bytes": float(len(one)),
    }


def play_roster(case: Case) -> Figures:
    """Measure an endpoint list that is sent in full on any change: decode, compare, encode."""
    size = int(case["entries"])
    workers = [
        Endpoint(
            f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:8080",
            f"zone-{n % 10}",
            "standard-4",
            n % 7,
            "ready",
            1.0,
            1.7e9 + n,
        )
        for n in range(size)
    ]
    body, kept = entries.encode_workers(workers), list[bytes]()
    heard: list[Event] = []
    nothing: Any = None
    follower = EndpointWatcher(
        nothing,
        nothing,
        1.0,
        lambda: 0.0,
        heard.append,
        lambda data: kept.__setitem__(slice(None), [data]),
        lambda event, **details: None,
    )

    def apply() -> None:
        listed, _ = entries.decode_workers(body, 0.0)
        follower._publish_list(listed)

    return {"cpu": cpu_seconds_per_call(apply), "bytes": float(len(body))}


def play_messages(case: Case) -> Figures:
    """Measure each kind of message of a collector or proxy, from bytes to the module's event."""
    workers = {f"10.0.{n // 250}.{n % 250}:8080": None for n in range(int(case["workers"]))}
    heard: list[Event] = []
    peers = PeerRegistry(
        ("zone-1",), 60000, ("product-0",), workers.__contains__, lambda event: None
    )
    collector, proxy = Peer(lambda why: None), Peer(lambda why: None)
    peers.receive(collector, b'{"@type":"agent","site":"zone-1"}\n', 0.0)
    hello = b'{"@type":"hello","id":7,"site":"zone-1","rps":4.25,"new":true}\n'
    peers.receive(proxy, hello, 0.0)
    target = list(workers)[-1]
    report = (
        msgspec.json.encode(
            {
                "@type": "outcomes",
                "site": "zone-1",
                "target": target,
                "count": 12,
                "fail": 1,
                "mean": 204.5,
                "over": 500.0,
                "util": {"queue": 1.0, "latency_ms": 180.2},
            }
        )
        + b"\n"
    )
    demand = b'{"@type":"demand","id":7,"lane":"product-0","count":4,"fail":0,"over":500.0}\n'
    answer = b'{"@type":"ack","id":7,"seq":9,"ms":250.0}\n'

    def joins() -> None:
        peers.receive(Peer(lambda why: None), hello, 0.0)

    def answers() -> None:
        former = peers.peer_by_proxy[7]
        former.pending_acks[9] = 0.0
        peers.receive(former, answer, 0.1)

    found = {
        "report": cpu_seconds_per_call(lambda: peers.receive(collector, report, 0.0)),
        "demand": cpu_seconds_per_call(lambda: peers.receive(collector, demand, 0.0)),
        "join": cpu_seconds_per_call(joins),
        "answer": cpu_seconds_per_call(answers),
        "report_bytes": float(len(report)),
        "demand_bytes": float(len(demand)),
        "join_bytes": float(len(hello)),
        "answer_bytes": float(len(answer)),
    }
    assert not peers.counts and not heard
    return found


def play_table(case: Case) -> Figures:
    """Measure a full table for joining proxies: set, and rendered once for proxies in one state."""
    workers, products, proxies = (int(case[key]) for key in ("workers", "products", "proxies"))
    names = tuple(f"product-{k}" for k in range(products))
    listed = tuple(
        Endpoint(f"10.0.{n // 250}.{n % 250}:8080", "a", "", 0, "ready", 1.0, None)
        for n in range(workers)
    )
    shares = [SetWeight(1, worker.id, 1.0) for worker in listed]
    sent = 0

    def install_table() -> None:
        nonlocal sent
        orders = PlatformTableInstaller(names, 1, MESSAGE_OVERHEAD_LINES)
        orders.handle_events(
            [
                EndpointsUpdated("whole", listed),
                *(ProxyConnected(n, "a", 4.0, True) for n in range(proxies)),
            ]
        )
        messages = orders.apply_orders(
            [
                *shares,
                *(AssignTable(n, tuple(range(products)), 1) for n in range(proxies)),
                RequestAcknowledgement(1, True),
            ],
            0.0,
        )
        sent = len(messages[0].data)

    return {"cpu": cpu_seconds_per_call(install_table), "bytes": (install_table(), float(sent))[1]}


# Replication, guard, memory.


class ReplicationFleet(replication_cost.ReplicatedFleet):
    """Counts from `ORDINARY_FROM_SECONDS` on, after the full list and the joins."""

    began = False

    def effective_orders(self, now: float, events: list[Event], orders: list[Order]) -> list[Order]:
        if now >= ORDINARY_FROM_SECONDS and not self.began:
            self.began, self.bytes_sent, self.batches = True, 0, 0
            self.replication_cpu_seconds = dict.fromkeys(self.replication_cpu_seconds, 0.0)
        return super().effective_orders(now, events, orders)


def play_succession(case: Case) -> Figures:
    """Measure the leader's batches for one standby, their replay, and the snapshot of a new one."""
    products, proxies, workers = (int(case[key]) for key in ("products", "proxies", "workers"))
    shared = ReplicationFleet(
        (
            products,
            proxies,
            workers,
            CHANNEL_LINES_PER_S,
            MESSAGE_OVERHEAD_LINES,
            MAX_MESSAGES,
            REPORT_LINES_PER_S,
        )
    )
    span = 6.0
    shared.run(ORDINARY_FROM_SECONDS + span)
    snapshot = replicated_state.ReplicaSnapshot(
        ORDINARY_FROM_SECONDS + span,
        1,
        shared.xds_installer.tables,
        shared.xds_installer.ejected,
        shared.xds_installer.zones,
        {},
        [],
    )
    return {
        "write": shared.replication_cpu_seconds["write"] / span,
        "standby": (
            shared.replication_cpu_seconds["read"] + shared.replication_cpu_seconds["follow"]
        )
        / span,
        "bytes": shared.bytes_sent / span,
        "batches": shared.batches / span,
        "whole": float(len(replicated_state.serialize_snapshot(shared.module, snapshot))),
        "whole_cpu": cpu_seconds_per_call(
            lambda: replicated_state.serialize_snapshot(shared.module, snapshot)
        ),
    }


def play_guard(case: Case) -> Figures:
    """Measure the guard."""
    guarded = guard_cost.GuardedFleet(int(case["proxies"]), int(case["workers"]))
    span = 8.0
    guarded.run(span)
    return {"cpu": guarded.cpu_seconds["guard"] / span}


def play_member_memory(case: Case) -> Figures:
    """Measure the memory of one member: states, peers, loads and list digests of the others."""
    size = int(case["members"])
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    me = member_name(0)
    machine = MembershipProtocol(me, 1, (me, 1), [], 0.0, PROBE_INTERVAL_SECONDS, Random(1))
    loads, lists = ManagerLoads(me, 1), ListDigests(me, 1)
    opener = member_codec.DatagramOpener([KEY])
    for n in range(size):
        name = member_name(n + 1)
        own = MemberState(name, (1, 0), ALIVE, (name, 1), name)
        sealer = member_codec.DatagramSealer(KEY, n.to_bytes(8, "big"))
        broadcasts = (
            Broadcast(
                f"burden/{own.name}",
                msgspec.msgpack.encode((1, 1, ManagerLoad(20, 85.1, 0.2, 0.01))),
            ),
            Broadcast(
                f"list/{own.name}", msgspec.msgpack.encode(ListDigest(1, 1, 5000, tuple(range(16))))
            ),
        )
        for order in machine.receive(0.1, opener.open(sealer.seal(Gossip(own, me, broadcasts)))):
            if isinstance(order, BroadcastReceived):
                (loads if order.broadcast.key.startswith("burden/") else lists).merge(
                    0.1, order.broadcast
                )
            assert isinstance(order, BroadcastReceived | MemberStateChanged) or order
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(machine.table.members) == size + 1 and len(loads.loads) == size
    return {"memory": float(held)}


# Modules imported by the process, by the size `front`.
ENTRY_POINTS = {
    0: "dunlinlug.platform.main",
    1: "dunlinlug.ads.main",
}


def play_empty(case: Case) -> Figures:
    """Measure an idle process with all modules of a manager: resident bytes and CPU of its start."""
    program = (
        f"import {ENTRY_POINTS[int(case['front'])]}, resource, time\n"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024, time.process_time())"
    )
    output = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    ).stdout.split()
    return {"memory": float(output[0]), "start": float(output[1])}


# The series and their sizes.


class Series(NamedTuple):
    """One measured series.

    `about` describes a point. Models are fitted to `points` only and checked against `held_out`. Of
    several runs of a size the one with the best pace of the machine counts.
    """

    about: str
    play: Callable[[Case], Figures]
    points: list[Case]
    held_out: list[Case]
    plays: int = 1


def size_cases(name: str, *numbers: float, **details: float) -> list[Case]:
    """Return a case for each value of one size."""
    return [{name: number, **details} for number in numbers]


def lost_cases(*pairs: tuple[int, int]) -> list[Case]:
    """Return cases of a number of members and of lost ones."""
    return [{"members": size, "lost": gone} for size, gone in pairs]


def table_cases(*rows: tuple[int, int, int]) -> list[Case]:
    """Return cases of workers, products and proxies."""
    return [
        {"workers": workers, "products": products, "proxies": proxies}
        for workers, products, proxies in rows
    ]


SERIES = {
    "module": Series(
        f"the decision module by bench/decision_cost.py's script in {END_SECONDS:g} s, an ordinary second from {ORDINARY_FROM_SECONDS:g} "
        f"to {REPLACEMENTS_AT_SECONDS:g} s, thirty workers replaced after it",
        play_module,
        MODULE,
        MODULE_HELD,
    ),
    "desk": Series("the xDS front's desk on the same orders", play_desk, DESK, DESK_HELD),
    "members": Series(
        "of one member in a second, all having long known each other, 1% of words lost, no change",
        play_members,
        size_cases("members", 5, 16, 30, 60, 100, 200),
        size_cases("members", 300, 940),
    ),
    "joined": Series(
        "the same a minute after a true joining",
        play_joined,
        size_cases("members", 5, 16, 30),
        size_cases("members", 60),
    ),
    "churn": Series(
        "of one member in a second in which one of all is restarted, or fails (`failures`); seconds until "
        "the last says so",
        play_churn,
        [case for flag in (0, 1) for case in size_cases("members", 16, 30, 60, 100, failures=flag)],
        [case for flag in (0, 1) for case in size_cases("members", 200, failures=flag)],
    ),
    "lost": Series(
        "one, some or a tenth lost at once and back after ten seconds: a member's dearest second",
        play_lost,
        lost_cases((30, 1), (60, 1), (100, 1), (50, 2), (100, 2), (30, 3), (60, 6), (100, 10)),
        lost_cases((200, 1), (200, 4), (200, 20)),
    ),
    "halves": Series(
        "two halves apart for fifteen seconds and together again: a member's dearest second",
        play_halves,
        size_cases("members", 10, 20, 40, 60),
        size_cases("members", 100),
    ),
    "owner": Series(
        "the log of those that vote, nothing happening, each second",
        play_owner,
        size_cases("members", 3, 5, 7, 9, 15, 25),
        size_cases("members", 60, 120),
    ),
    "host": Series(
        "a manager's own looks at all that the others told, each second",
        play_host,
        [
            {"members": n, "workers": w}
            for n, w in ((30, 200), (60, 200), (200, 200), (30, 1000), (60, 2000), (200, 1000))
        ],
        [{"members": 940, "workers": 200}, {"members": 940, "workers": 5000}],
    ),
    "operators": Series(
        "an answer to `fleet show`",
        play_operators,
        size_cases("members", 15, 30, 60, 120),
        size_cases("members", 240, 480),
    ),
    "discovery": Series(
        "a whole list of discovery and one entry's news, from bytes to the books",
        play_discovery,
        size_cases("entries", 200, 500, 1000, 2000),
        size_cases("entries", 5000),
    ),
    "roster": Series(
        "a whole list of the roster that tells it whole for any change",
        play_roster,
        size_cases("entries", 200, 500, 1000, 2000),
        size_cases("entries", 5000),
    ),
    "messages": Series(
        "a message of a collector or a proxy, from bytes to the module's event",
        play_messages,
        size_cases("workers", 200, 500, 1000, 2000),
        size_cases("workers", 5000),
    ),
    "table": Series(
        "a whole table laid and rendered for proxies in one state",
        play_table,
        table_cases(
            (200, 2, 20), (500, 2, 20), (1000, 2, 20), (200, 20, 20), (500, 60, 20), (200, 2, 200)
        ),
        table_cases((5000, 2, 20), (200, 270, 20)),
    ),
    "succession": Series(
        "batches for one standby, the standby running along, the whole for a new one",
        play_succession,
        table_cases(
            (50, 2, 20), (100, 2, 20), (200, 2, 20), (500, 2, 20), (200, 2, 60), (200, 10, 20)
        ),
        table_cases((1000, 2, 20), (200, 20, 20)),
    ),
    "guard": Series(
        "the guard's part of the loop",
        play_guard,
        [{"workers": w, "proxies": p} for w, p in ((100, 20), (200, 20), (500, 20), (200, 60))],
        [{"workers": 1000, "proxies": 20}],
    ),
    "memory": Series(
        "what a member holds of the others",
        play_member_memory,
        size_cases("members", 30, 60, 120, 240),
        size_cases("members", 940),
    ),
    "empty": Series(
        "a process that has imported what a front runs (0: the platform's, 1: xDS)",
        play_empty,
        size_cases("front", 0, 1),
        [],
    ),
}


def pace() -> float:
    """Return the CPU seconds of a fixed piece of work at this moment.

    They grow when the core is shared with other processes.
    """
    chance, began = Random(1), time.thread_time()
    for _ in range(PACE_ROUNDS):
        values = [chance.random() for _ in range(1000)]
        kept = {n: value for n, value in enumerate(values) if value > 0.5}
        sum(kept.get(n, 0.0) * value for n, value in enumerate(sorted(values)))
    return (time.thread_time() - began) / PACE_ROUNDS


def run_with_pace(play: Callable[[Case], Figures], case: Case) -> Figures:
    """Run a case, and add the pace of the machine during it."""
    before = pace()
    found = play(case)
    return {**found, "pace": (before + pace()) / 2}


def run_in_process(play: Callable[[Case], Figures], case: Case) -> Figures:
    """Run one case in a separate process, so that memory is measured alone.

    Adds the load of the machine before the run.
    """
    load = os.getloadavg()[0]
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return {
            **case,
            **{
                key: round_to_four_digits(value)
                for key, value in pool.apply(run_with_pace, (play, case)).items()
            },
            "load": round(load, 1),
        }


def round_to_four_digits(value: float) -> float:
    """Round to four digits: further ones are below the precision of the clock."""
    return float(f"{value:.4g}")


def measure(name: str, text: str) -> Path:
    """Measure a series and write its file."""
    series, began = SERIES[name], time.time()
    rows: dict[str, list[Figures]] = {
        "points": [{} for _ in series.points],
        "held": [{} for _ in series.held_out],
    }
    # Runs each size once before any is repeated, as the load of the machine varies.
    for trial in range(series.plays):
        for kind, cases in (("points", series.points), ("held", series.held_out)):
            for n, case in enumerate(cases):
                found = run_in_process(series.play, case)
                rows[kind][n] = min(found, rows[kind][n] or found, key=lambda row: row["pace"])
                print(f"{name} {trial + 1} of {series.plays}: {json.dumps(found)}", flush=True)
    document = {
        "name": name,
        "about": series.about,
        "measured": time.strftime("%Y-%m-%d", time.gmtime()),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "seconds": round(time.time() - began, 1),
        **({"text": text} if name == "module" else {}),
        **rows,
    }
    path = RESULTS / (f"slope-{name}-{text}.json" if name == "module" else f"slope-{name}.json")
    lines = [json.dumps({key: value for key, value in document.items() if key not in rows})[:-1]]
    for kind, found in rows.items():
        lines.append(f', "{kind}": [\n' + ",\n".join(f"  {json.dumps(row)}" for row in found) + "]")
    path.parent.mkdir(exist_ok=True)
    path.write_text("".join(lines) + "}\n")
    return path


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", choices=[*SERIES, []], metavar="NAME")
    parser.add_argument(
        "--text", default="before", help="version of the decision module: before or after"
    )
    parser.add_argument("--small", action="store_true")
    options = parser.parse_args()
    for name in options.names or SERIES:
        if options.small:
            print(
                f"{name}: {json.dumps(run_in_process(SERIES[name].play, SERIES[name].points[0]))}",
                flush=True,
            )
        else:
            print(f"{measure(name, options.text)} written", flush=True)


if __name__ == "__main__":
    main()
