"""Slopes: what each part of a manager costs by the sizes of the fleet, measured by plays that are
small and simulated.

python -m bench.scale.slopes [NAME…] [--text before] [--small]

Without names all are measured, in some ten minutes. Each writes `results/slope-NAME.json`: its
points, with the sizes and the load of the machine at the time, and the points that were held out,
which no fit sees. CPU is process time of one core of the machine that measured, and beside it
stands the pace: the CPU of a fixed piece of work before and after the play. Workers, proxies,
collectors and members are simulated, no socket is opened. `module` writes under the text's name
too, so that two texts of the decision module stand beside each other. `--small` plays small sizes
alone and writes nothing: for a look while one works at a part.
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

from bench import decision_loop_cost as bench_loop
from bench import guard_cost as bench_guard
from bench import replication_cost as bench_replicate
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
from dunlinlug.fleet.ownership.simulated_network import SimulatedNetwork as Owners
from dunlinlug.fleet.ownership.simulated_network import SimulationOptions as OwnersOptions
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.manager.endpoint_watcher import EndpointWatcher
from dunlinlug.platform import discovery_state
from dunlinlug.platform.connections import Peer, PeerRegistry
from dunlinlug.platform.orders import PlatformTableInstaller

RESULTS = Path(__file__).parent / "results"
Case = dict[str, float]
Found = dict[str, float]
PACE, HEAD, MOST, HEARD = (
    1300.0,
    4.0,
    30,
    80.0,
)  # a manager's channel and what it hears, as in bench/decision_cost.py
JOINED, USUAL, REPLACED, END = (
    1.0,
    3.0,
    6.0,
    9.0,
)  # seconds: joins, the ordinary ones from, replacements, the end
BAD = 8  # one worker of so many is bad, as in bench/decision_cost.py
# times that the fixed piece of work is done: a tenth of a second before and after each play
PACED = 200
REPEATED, GOES = (
    0.1,
    5,
)  # seconds of CPU for which a short step is repeated, and how often: the least of them counts


# The decision module's turn.


class Sized(bench_loop.Fleet):
    """A manager's surroundings at any size, by the script of bench/decision_cost.py in fewer
    seconds: all proxies join within half a second, reports come at the agreed rate, some workers
    are bad, thirty are replaced.
    """

    def __init__(self, case: Case) -> None:
        products, proxies, workers = (int(case[key]) for key in ("products", "proxies", "workers"))
        super().__init__((products, proxies, workers, PACE, HEAD, MOST, case["reports"]))
        self.orders = PlatformTableInstaller(
            tuple(p.name for p in self.trade.traffic_classes), 1, HEAD
        )
        self.channel = PacedChannel(PACE, 1e12, 0, 10.0)  # type: ignore[assignment]
        self.told: dict[int, float] = {}
        self.by_second: dict[str, dict[int, float]] = {
            part: defaultdict(float) for part in ("module", "render")
        }
        self.turns, self.longest, self.lines = (
            defaultdict[int, int](int),
            0.0,
            defaultdict[int, float](float),
        )
        self.bytes = defaultdict[int, float](float)
        self.drained = dict[str, float]()  # when the list told of it
        self.withdrawn = dict[
            int, tuple[float, set[int]]
        ]()  # by mark, since when it is told, who has yet to answer
        self.in_force = list[
            float
        ]()  # seconds from the list's word on a drain to the last proxy's answer

    def script(self, seconds: float) -> None:
        self.at(0.0, EndpointsUpdated("kept", tuple(self.workers)))
        for proxy in range(self.proxies):
            self.at(
                JOINED + self.chance.random() / 2,
                ProxyConnected(proxy, "abc"[proxy % 3], 5.0, True),
            )
        for n, worker in enumerate(self.workers[:30]):
            begin, after = REPLACED + n // 10, f"10.1.0.{n}:80"
            self.drained[worker.id] = begin
            for when, who, state, since in (
                (begin, worker.id, "draining", None),
                (begin, after, "ready", begin),
                (begin + 3, worker.id, "gone", None),
            ):
                self.at(
                    when,
                    EndpointsUpdated(
                        "changes", (Endpoint(who, worker.zone, "", 0, state, 1.0, since),)
                    ),
                )
        cycle = bench_loop.CYCLE
        for n in range(int(JOINED / cycle), int(seconds / cycle)):
            for event in self.reports():
                if (
                    isinstance(event, EndpointReported)
                    and int(event.worker.split(".")[3].split(":")[0]) % BAD == 0
                ):
                    event = EndpointReported(event.zone, event.worker, 12, 8, 0.2, cycle)
                self.at((n + self.chance.random()) * cycle, event)

    def run(self, seconds: float) -> None:
        self.script(seconds)
        now = 0.0
        while now < seconds:
            for proxy, parcel in self.channel.pop_due(now):
                if parcel.ack_number is not None:  # type: ignore[attr-defined]
                    arrives = now + bench_loop.TRANSIT * self.chance.uniform(0.5, 1.5)
                    mark = parcel.ack_number  # type: ignore[attr-defined]
                    self.at(arrives, Acknowledged(proxy, mark, arrives - self.told[mark]))
            events = []
            while self.due and self.due[0][0] <= now:
                events.append(heapq.heappop(self.due)[2])
            if events:
                self.answers(now, events)
                self.turn(now, events)
            now += bench_loop.TICK

    def answers(self, now: float, events: list[Event]) -> None:
        """Which drains are in force at all proxies that were told of them."""
        for event in events:
            if isinstance(event, Acknowledged) and event.ack_number in self.withdrawn:
                since, awaited = self.withdrawn[event.ack_number]
                awaited.discard(event.proxy)
                if not awaited:
                    self.in_force.append(now - since)
                    del self.withdrawn[event.ack_number]

    def turn(self, now: float, events: list[Event]) -> None:
        second = int(now)
        began = time.process_time()
        reply = self.module.decide(now, events)
        decided = time.process_time()
        self.orders.handle_events(events)
        parcels = self.orders.apply_orders(reply, now)
        ended = time.process_time()
        self.replied(now, events, reply)
        drained = [
            self.drained[order.worker]
            for order in reply
            if isinstance(order, SetEjected) and order.ejected and order.worker in self.drained
        ]
        for order in reply:
            if isinstance(order, SetTimer):
                self.at(now + order.delay, TimerFired(order.token))
            elif isinstance(order, RequestAcknowledgement):
                self.told[order.ack_number] = now
                if drained and parcels and min(drained) <= now:
                    self.withdrawn[order.ack_number] = min(drained), set(parcels)
        for proxy, parcel in parcels.items():
            self.channel.enqueue(now, proxy, parcel)  # type: ignore[arg-type]  # it asks for lines alone
            self.bytes[second] += len(parcel.data)
            self.lines[second] += parcel.entry_count
        self.turns[second] += 1
        self.by_second["module"][second] += decided - began
        self.by_second["render"][second] += ended - decided
        self.longest = max(self.longest, decided - began)

    def replied(self, now: float, events: list[Event], reply: list[Order]) -> None:
        """Where another user of the orders would stand; there is none here."""


class WithDesk(Sized):
    """The same with the xDS front's desk instead of the platform's orders timed as `desk`."""

    def __init__(self, case: Case) -> None:
        super().__init__(case)
        self.by_second["desk"] = defaultdict(float)

    def replied(self, now: float, events: list[Event], reply: list[Order]) -> None:
        for event in events:
            if isinstance(event, ProxyConnected):
                self.desk.add_proxy(event.proxy, True, ())
        began = time.process_time()
        self.desk.handle_events(events)
        self.desk.apply_orders(reply, now)
        self.by_second["desk"][int(now)] += time.process_time() - began


def resident() -> float:
    """Bytes that this process holds now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * float(resource.getpagesize())


def play_module(case: Case) -> Found:
    before = resident()
    fleet = Sized(case)
    fleet.run(END)
    gc.collect()
    memory, seconds = resident() - before, range(int(USUAL), int(REPLACED))
    module, render = fleet.by_second["module"], fleet.by_second["render"]
    usual, turns = sum(module[n] for n in seconds), sum(fleet.turns[n] for n in seconds)
    churn = range(int(REPLACED), int(END))
    return {
        "second": usual / len(seconds),
        "turn": usual / turns,
        "longest": fleet.longest,
        "dearest": max(module.values()),
        "change": sum(module[n] for n in churn) / len(churn),
        "render": sum(render[n] for n in seconds) / len(seconds),
        "render_dearest": max(render.values()),
        "memory": max(memory, float(resource.getpagesize())),
        "turns": turns / len(seconds),
        "out_bytes": sum(fleet.bytes[n] for n in seconds) / len(seconds),
        "out_dearest": max(fleet.bytes.values()),
        **({"in_force": max(fleet.in_force)} if fleet.in_force and not fleet.withdrawn else {}),
    }


def play_desk(case: Case) -> Found:
    fleet = WithDesk(case)
    fleet.run(END)
    spent = fleet.by_second["desk"]
    return {
        "second": sum(spent[n] for n in range(int(USUAL), int(REPLACED))) / (REPLACED - USUAL),
        "dearest": max(spent.values()),
    }


def sizes(
    workers: float = 200, products: float = 2, proxies: float = 20, reports: float = HEARD
) -> Case:
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


# Who is there: members in simulated time.

KEY, BOOT, BEAT = bytes(32), bytes(8), 0.2
LATE = 1.001  # beats from one look of a host to the next: a sleep never ends early


def name_of(n: int) -> str:
    """Members are named by their address, so that words are about as long as in service."""
    return f"10.1.{n // 250}.{n % 250}"


SEEDS = tuple(name_of(n) for n in range(3))


class SealedNetwork(SimulatedNetwork):
    """Members whose datagrams are sealed and opened as in service, counted by kind, with the CPU of
    it all. With `facts` each tells the others what it carries and a print of its list, as a
    manager does.
    """

    def __init__(self, seed: int, loss: float = 0.01, facts: bool = True) -> None:
        super().__init__(seed, loss=loss)
        self.facts, self.spent = facts, 0.0
        self.sealer, self.opener = (
            member_codec.DatagramSealer(KEY, BOOT),
            member_codec.DatagramOpener([KEY]),
        )
        self.sent, self.sent_bytes = Counter[str](), Counter[str]()
        self.taken, self.taken_bytes = Counter[str](), Counter[str]()  # by place
        self.by_second: dict[int, float] = defaultdict(float)
        self.told_by: dict[str, tuple[ManagerLoads, ListDigests]] = {}

    def settled(self, size: int) -> None:
        """So many who have long known each other, as after hours: nothing waits to be told."""
        for n in range(size):
            self.start(name_of(n), seeds=SEEDS).protocol.state = Lifecycle.ALIVE
        told = {node.name: node.protocol.local_state for node in self.nodes.values()}
        for node in self.nodes.values():
            machine = node.protocol
            machine.table.members = dict(told)
            machine.table.pending_broadcasts.clear()
            machine.table._digest = b""
            machine.peers = {
                name: PeerState(self.now, self.now) for name in told if name != node.name
            }
            machine.next_probe_at = self.now + self.rng.uniform(0, BEAT)
            machine.next_sync_at = (
                self.now + self.rng.uniform(0, 1.0) * state_sync.SYNC_INTERVALS * BEAT
            )
            machine.next_reconnect_at = self.now + reconnects.RECONNECT_INTERVALS * BEAT
            self._arm_timer(node)
        # a manager holds one such table, not all: going through them all would be counted as its
        # work
        gc.freeze()

    def start(self, name: str, *given: Any, **more: Any) -> Node:
        node = super().start(name, *given, **more)
        if self.facts:
            self.told_by[name] = (
                ManagerLoads(name, node.protocol.local_state.incarnation[0]),
                ListDigests(name, node.protocol.local_state.incarnation[0]),
            )
            self.schedule(self.now + self.rng.uniform(0, BEAT), lambda: self._tell(node))
        return node

    def _tell(self, node: Node) -> None:
        if node.dead:
            return
        burdens, lists = self.told_by[node.name]
        due = (
            burdens.due_broadcast(self.now, ManagerLoad(20, 85.1, 0.21, 0.011)),
            lists.due_broadcast(self.now, {}),
        )
        told = tuple(fact for fact in due if fact is not None)
        if told and not node.frozen:
            began = time.thread_time()
            orders = node.protocol.broadcast(told)
            self.spent += time.thread_time() - began
            self._execute(node, orders)
        self.schedule(self.now + BEAT * LATE, lambda: self._tell(node))

    def _tick(self, node: Node) -> None:
        if not node.frozen:
            began = time.thread_time()
            orders = node.protocol.tick(node.local_time(self.now))
            self.spent += time.thread_time() - began
            self._execute(node, orders)

    def _receive(self, node: Node, message: Any) -> None:
        began = time.thread_time()
        data = message
        orders = node.protocol.receive(node.local_time(self.now), self.opener.open(data))
        for order in orders:
            if isinstance(order, BroadcastReceived) and node.name in self.told_by:
                burdens, lists = self.told_by[node.name]
                (burdens if order.broadcast.key.startswith("burden/") else lists).merge(
                    self.now, order.broadcast
                )
        self.spent += time.thread_time() - began
        self.taken[node.name] += 1
        self.taken_bytes[node.name] += len(data)
        self._execute(node, orders)

    def _send(self, node: Node, place: tuple[str, int], message: Any) -> None:
        began = time.thread_time()
        whole = isinstance(message, StateSync)
        data = self.sealer.frame(message) if whole else self.sealer.seal(message)
        self.spent += time.thread_time() - began
        fact = isinstance(message, Gossip) and all(
            isinstance(item, Broadcast) for item in message.gossip
        )
        kind = "exchange" if whole else "facts" if fact else "probes"
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        self.by_second[int(self.now)] += len(data)
        to = self.nodes.get(place)
        if to is None or (node.name, to.name) in self.blocked_links:
            return
        if self.rng.random() >= (self.loss**3 if whole else self.loss):
            body = data[member_codec.LENGTH.size :] if whole else data
            due = self.now + self.rng.uniform(*self.delay)
            self._push(due, Delivery(node.name, place, body))

    def clear(self) -> None:
        for counter in (self.sent, self.sent_bytes, self.taken, self.taken_bytes, self.by_second):
            counter.clear()
        self.spent = 0.0


def steady(net: SealedNetwork, size: int, span: float) -> Found:
    """Of one member in a second, over the next `span`."""
    net.clear()
    net.run(net.now + span)
    each = size * span
    return {
        "cpu": net.spent / each,
        **{f"{kind}_messages": net.sent[kind] / each for kind in net.sent},
        **{f"{kind}_bytes": net.sent_bytes[kind] / each for kind in net.sent},
        "messages": sum(net.sent.values()) / each,
        "bytes": sum(net.sent_bytes.values()) / each,
    }


def play_members(case: Case) -> Found:
    size = int(case["members"])
    net = SealedNetwork(3)
    net.settled(size)
    net.run(2.0)
    return steady(
        net, size, 40.0 if size <= 60 else 20.0 if size <= 200 else 10.0 if size <= 300 else 5.0
    )


def play_joined(case: Case) -> Found:
    """As `play_members`, from a true joining and long after it: that what is settled from the start
    is like it.
    """
    size = int(case["members"])
    net = SealedNetwork(3)
    for n in range(size):
        net.start(name_of(n), seeds=SEEDS)
    net.run(60.0)
    return steady(net, size, 20.0)


# Owners' log: messages among those that vote.


class OwnersCounted(Owners):
    """With the bytes of each message as sealed, and the CPU of each member's machine."""

    def __init__(self, size: int) -> None:
        self.bytes, self.spent = Counter[str](), Counter[str]()
        super().__init__(1, OwnersOptions(size, shards=256, effect_interval=0.1))

    def _send(self, sender: str, to: str, message: Any) -> None:
        began = time.thread_time()
        size = len(log_codec.encode(message)) + log_codec.HEADER.size
        self.spent[sender] += time.thread_time() - began
        self.bytes[sender] += size
        super()._send(sender, to, message)

    def _tick(self, node: Any) -> None:
        began = time.thread_time()
        super()._tick(node)
        self.spent[node.name] += time.thread_time() - began

    def _receive(self, node: Any, message: Any) -> None:
        began = time.thread_time()
        super()._receive(node, message)
        self.spent[node.name] += time.thread_time() - began


def play_owner(case: Case) -> Found:
    size = int(case["members"])
    net = OwnersCounted(size)
    net.run(8.0)
    for counter in (net.messages_sent, net.bytes, net.spent):
        counter.clear()
    span = 30.0 if size <= 30 else 10.0
    net.run(8.0 + span)
    leads = next(node.name for node in net.nodes.values() if node.protocol.log.is_leader)
    others = [name for name in net.member_names if name != leads]
    found = {}
    for kind, counter in (
        ("messages", net.messages_sent),
        ("bytes", net.bytes),
        ("cpu", net.spent),
    ):
        found[f"leader_{kind}"] = counter[leads] / span
        found[f"other_{kind}"] = sum(counter[name] for name in others) / len(others) / span
    return found


# Members as something happens. Faster than in service, or smaller, as each slope's note says.

SETTLE, PER_SECOND = (
    3.0,
    1.0,
)  # seconds before it begins; restarts or failures a second of the whole fleet
EVENTS, RECOVER = 10, 6.0  # of them, and seconds from a failure to the next start
APART, AGAIN = (
    15.0,
    25.0,
)  # seconds that halves are apart, in which each condemns the other; most until one view
STEP = 0.1  # seconds between looks whether all agree


def last_knows(net: SealedNetwork, since: float, of: dict[str, float], now: str) -> list[float]:
    """For each named, seconds from when it happened to it until the last that was there all the
    while said so; who comes later hears of it only then.
    """
    last: dict[str, float] = {}
    for seen in net.observed_changes:
        news = seen.after == now and (now == "failed" or seen.before in ("left", "failed"))
        if (
            seen.subject in of
            and seen.observer not in of
            and news
            and seen.at >= max(since, of[seen.subject])
        ):
            last[seen.subject] = max(last.get(seen.subject, 0.0), seen.at - of[seen.subject])
    return sorted(last.values())


def whole_again(net: SealedNetwork, size: int) -> float:
    """Seconds until all that there are have one view, with everybody in it; `AGAIN` if they never
    do.
    """
    began = net.now
    while net.now < began + AGAIN:
        net.run(net.now + STEP)
        if net.views_agree() and all(
            len(node.protocol.table.live_members()) == size for node in net.nodes.values()
        ):
            break
    return net.now - began


def again(net: SealedNetwork, name: str) -> None:
    net.start(name, born=2, seeds=SEEDS, place=(name, 1))


def play_churn(case: Case) -> Found:
    """One restart a second (a goodbye, and back half a second later), or one failure, among so
    many.
    """
    size, fails = int(case["members"]), bool(case["failures"])
    net = SealedNetwork(5)
    net.settled(size)
    net.run(SETTLE)
    net.clear()
    net.observed_changes.clear()
    at: dict[str, float] = {}
    for n in range(min(EVENTS, size - 4)):
        name, when = name_of(size - 1 - n), SETTLE + n / PER_SECOND
        at[name] = when if fails else when + 0.5
        if fails:
            net.schedule(when, lambda name=name: net.kill(name))  # type: ignore[misc]
        else:
            net.schedule(
                when,
                lambda name=name: (  # type: ignore[misc]
                    net.perform(name, lambda machine, now: machine.leave(now)),
                    net.kill(name),
                ),
            )
        net.schedule(when + (RECOVER if fails else 0.5), lambda name=name: again(net, name))  # type: ignore[misc]
    span = len(at) / PER_SECOND
    net.run(SETTLE + span)
    found = {"bytes": sum(net.sent_bytes.values()) / size / span, "cpu": net.spent / size / span}
    net.run(SETTLE + span + 4.0)
    took = last_knows(net, SETTLE, at, "failed" if fails else "alive")
    return {**found, "last_p50": took[len(took) // 2], "last": took[-1]}


def play_lost(case: Case) -> Found:
    """So many die at once and start again after a while; of a member that lives, the dearest
    seconds.
    """
    size, lost = int(case["members"]), int(case["lost"])
    net = SealedNetwork(7)
    net.settled(size)
    net.run(SETTLE)
    net.clear()
    net.observed_changes.clear()
    names = [name_of(size - 1 - n) for n in range(lost)]
    for name in names:
        net.kill(name)
    net.run(SETTLE + 10.0)
    took = last_knows(net, SETTLE, dict.fromkeys(names, SETTLE), "failed")
    found = {
        "bytes": max(net.by_second.values()) / (size - lost),
        "cpu": net.spent / (size - lost) / 10.0,
        "last": took[-1],
    }
    net.clear()
    for name in names:
        again(net, name)
    back = whole_again(net, size)
    return {**found, "back_bytes": max(net.by_second.values()) / size, "back": back}


def play_halves(case: Case) -> Found:
    """Two halves apart until each has condemned the other, and together again until all have one
    view.
    """
    size = int(case["members"])
    net = SealedNetwork(9)
    net.settled(size)
    net.run(SETTLE)
    net.clear()
    names = [name_of(n) for n in range(size)]
    net.partition(tuple(names[::2]), tuple(names[1::2]))
    net.run(SETTLE + APART)
    found = {"bytes": max(net.by_second.values()) / size, "cpu": net.spent / size / APART}
    net.clear()
    net.heal()
    heal = whole_again(net, size)
    return {
        **found,
        "heal_bytes": max(net.by_second.values()) / size,
        "heal_cpu": net.spent / size / heal,
        "heal": heal,
    }


# What a manager's own host does about the others, each beat.


def known(size: int) -> dict[str, MemberState]:
    return {
        name: MemberState(name, (1, 0), ALIVE, (name, 1), name)
        for name in map(name_of, range(size))
    }


def hosted(size: int, clock: Callable[[], float]) -> Membership:
    """A manager's part among so many that it has long known; no socket stands."""
    told = known(size)
    places = {name: word.address for name, word in told.items()}
    me = name_of(0)
    host = Membership(
        me,
        1,
        places,
        [KEY],
        BEAT,
        Random(1),
        lambda event, **more: None,
        lambda: tuple(places),
        clock=clock,
    )
    host.protocol.table.members = told
    host.protocol.peers = {name: PeerState(0.0, 0.0) for name in told if name != me}
    return host


def play_operators(case: Case) -> Found:
    """What `fleet show` asks of a manager: the members, who sees whom, and the last verdicts, as
    JSON.
    """
    host, sent = hosted(int(case["members"]), lambda: 1.0), 0

    def shows() -> None:
        nonlocal sent
        sent = len(json.dumps(host.describe()))

    return {"cpu": each(shows), "bytes": float(sent)}


def play_host(case: Case) -> Found:
    """A manager's looks at its standing, burdens, lists and evidence, with nothing changed; no
    socket stands.
    """
    size, workers, at = int(case["members"]), int(case["workers"]), 0.0
    host = hosted(size, lambda: at)
    me, told = host.self_id, host.protocol.table.members
    listed = {
        f"10.0.0.{n}:80": Endpoint(f"10.0.0.{n}:80", "a", "", 0, "ready", 1.0, None)
        for n in range(workers)
    }
    host.listed_workers = lambda: listed
    prints = ListDigests(me, 1).due_broadcast(0.0, listed)
    assert prints is not None
    digest = msgspec.msgpack.decode(prints.payload, type=ListDigest)
    for name in told:
        host.loads.loads[name] = ReceivedLoad((1, 1), ManagerLoad(20, 85.1, 0.2, 0.01), 0.0)
        host.list_digests.digests[name] = (digest, 0.0)
    best = float("inf")
    for go in range(GOES):
        began, first = time.process_time(), at
        for n in range(1, 26):  # five seconds: a look each beat, a telling each second
            at = first + n * BEAT * LATE
            if not n % 5:
                for name in told:
                    load = ManagerLoad(20, 85.1, 0.2, 0.01)
                    host.loads.loads[name] = ReceivedLoad((1, 2 + go), load, at)
                    host.list_digests.digests[name] = (digest, at)
            host._update_partition()
            host._send_due_broadcasts()
        best = min(best, (time.process_time() - began) / (at - first))
    return {"cpu": best}


# Short steps of the wires and of reading.


def each(step: Callable[[], Any]) -> float:
    """Seconds of CPU of one, repeated; the least of some goes, as what disturbs only adds."""
    step()
    best = float("inf")
    for _ in range(GOES):
        count, began = 0, time.thread_time()
        while time.thread_time() - began < REPEATED:
            step()
            count += 1
        best = min(best, (time.thread_time() - began) / count)
    return best


def play_discovery(case: Case) -> Found:
    """A whole list, and one entry's news, from bytes to the books of module and orders."""
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
        Sized(sizes(workers=1, proxies=1)).module.state.fleet,
        PlatformTableInstaller(("a",), 1, HEAD),
    )
    state = discovery_state.DiscoveryState(Random(1).uniform)

    def take(body: bytes, generation: int | None) -> None:
        state.generation = generation
        news = state.handle_response(discovery_state.decode_response(body))
        assert news is not None
        fleet.apply_update(news, set)
        orders.handle_events([news])

    return {
        "whole": each(lambda: take(whole, None)),
        "one": each(lambda: take(one, 2)),
        "bytes": float(len(whole)),
        "one_bytes": float(len(one)),
    }


def play_roster(case: Case) -> Found:
    """A roster that tells it whole for any change: read, compared, written for the store."""
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
        lambda event, **more: None,
    )

    def take() -> None:
        listed, _ = entries.decode_workers(body, 0.0)
        follower._publish_list(listed)

    return {"cpu": each(take), "bytes": float(len(body))}


def play_messages(case: Case) -> Found:
    """Each kind of message from a collector or a proxy, from bytes to the module's event, before so
    many workers.
    """
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
        "report": each(lambda: peers.receive(collector, report, 0.0)),
        "demand": each(lambda: peers.receive(collector, demand, 0.0)),
        "join": each(joins),
        "answer": each(answers),
        "report_bytes": float(len(report)),
        "demand_bytes": float(len(demand)),
        "join_bytes": float(len(hello)),
        "answer_bytes": float(len(answer)),
    }
    assert not peers.counts and not heard
    return found


def play_table(case: Case) -> Found:
    """A whole table to proxies that join: laid, rendered once for all in one state, bytes of it for
    each.
    """
    workers, products, proxies = (int(case[key]) for key in ("workers", "products", "proxies"))
    names = tuple(f"product-{k}" for k in range(products))
    listed = tuple(
        Endpoint(f"10.0.{n // 250}.{n % 250}:8080", "a", "", 0, "ready", 1.0, None)
        for n in range(workers)
    )
    shares = [SetWeight(1, worker.id, 1.0) for worker in listed]
    sent = 0

    def lays() -> None:
        nonlocal sent
        orders = PlatformTableInstaller(names, 1, HEAD)
        orders.handle_events(
            [
                EndpointsUpdated("whole", listed),
                *(ProxyConnected(n, "a", 4.0, True) for n in range(proxies)),
            ]
        )
        parcels = orders.apply_orders(
            [
                *shares,
                *(AssignTable(n, tuple(range(products)), 1) for n in range(proxies)),
                RequestAcknowledgement(1, True),
            ],
            0.0,
        )
        sent = len(parcels[0].data)

    return {"cpu": each(lays), "bytes": (lays(), float(sent))[1]}


# Succession, guard, memory.


class Following(bench_replicate.Shared):
    """Counts from `USUAL` on: the whole list and the joins are over then."""

    began = False

    def judged(self, now: float, events: list[Event], orders: list[Order]) -> list[Order]:
        if now >= USUAL and not self.began:
            self.began, self.sent, self.batches = True, 0, 0
            self.cost = dict.fromkeys(self.cost, 0.0)
        return super().judged(now, events, orders)


def play_succession(case: Case) -> Found:
    """The master's batches for one standby, the standby running along, and the whole that a new one
    is given.
    """
    products, proxies, workers = (int(case[key]) for key in ("products", "proxies", "workers"))
    shared = Following((products, proxies, workers, PACE, HEAD, MOST, HEARD))
    span = 6.0
    shared.run(USUAL + span)
    standing = replicated_state.ReplicaSnapshot(
        USUAL + span, 1, shared.desk.tables, shared.desk.ejected, shared.desk.zones, {}, []
    )
    return {
        "write": shared.cost["write"] / span,
        "standby": (shared.cost["read"] + shared.cost["follow"]) / span,
        "bytes": shared.sent / span,
        "batches": shared.batches / span,
        "whole": float(len(replicated_state.serialize_snapshot(shared.module, standing))),
        "whole_cpu": each(lambda: replicated_state.serialize_snapshot(shared.module, standing)),
    }


def play_guard(case: Case) -> Found:
    guarded = bench_guard.Guarded(int(case["proxies"]), int(case["workers"]))
    span = 8.0
    guarded.run(span)
    return {"cpu": guarded.spent["guard"] / span}


def play_member_memory(case: Case) -> Found:
    """What one member holds of so many: words, peers, burdens, prints of lists."""
    size = int(case["members"])
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    me = name_of(0)
    machine = MembershipProtocol(me, 1, (me, 1), [], 0.0, BEAT, Random(1))
    burdens, lists = ManagerLoads(me, 1), ListDigests(me, 1)
    opener = member_codec.DatagramOpener([KEY])
    for n in range(size):
        name = name_of(n + 1)
        own = MemberState(name, (1, 0), ALIVE, (name, 1), name)
        sealer = member_codec.DatagramSealer(KEY, n.to_bytes(8, "big"))
        facts_of = (
            Broadcast(
                f"burden/{own.name}",
                msgspec.msgpack.encode((1, 1, ManagerLoad(20, 85.1, 0.2, 0.01))),
            ),
            Broadcast(
                f"list/{own.name}", msgspec.msgpack.encode(ListDigest(1, 1, 5000, tuple(range(16))))
            ),
        )
        for order in machine.receive(0.1, opener.open(sealer.seal(Gossip(own, me, facts_of)))):
            if isinstance(order, BroadcastReceived):
                (burdens if order.broadcast.key.startswith("burden/") else lists).merge(
                    0.1, order.broadcast
                )
            assert isinstance(order, BroadcastReceived | MemberStateChanged) or order
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(machine.table.members) == size + 1 and len(burdens.loads) == size
    return {"memory": float(held)}


PARTS = {
    0: "dunlinlug.platform.main",
    1: "dunlinlug.ads.main",
}  # what is imported, by the size `front`


def play_empty(case: Case) -> Found:
    """A process that has imported all that a front runs and does nothing: resident bytes, CPU of
    its start.
    """
    program = (
        f"import {PARTS[int(case['front'])]}, resource, time\n"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024, time.process_time())"
    )
    said = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    ).stdout.split()
    return {"memory": float(said[0]), "start": float(said[1])}


# What is played, at which sizes.


class Series(NamedTuple):
    """`about` says what a point is; the fits see `points`, and none of them `held`. Of several
    plays of a size the one counts in which the machine's pace was best.
    """

    about: str
    play: Callable[[Case], Found]
    points: list[Case]
    held: list[Case]
    plays: int = 1


def of(name: str, *numbers: float, **more: float) -> list[Case]:
    return [{name: number, **more} for number in numbers]


def lost(*pairs: tuple[int, int]) -> list[Case]:
    return [{"members": size, "lost": gone} for size, gone in pairs]


def tables(*rows: tuple[int, int, int]) -> list[Case]:
    return [
        {"workers": workers, "products": products, "proxies": proxies}
        for workers, products, proxies in rows
    ]


SERIES = {
    "module": Series(
        f"the decision module by bench/decision_cost.py's script in {END:g} s, an ordinary second from {USUAL:g} "
        f"to {REPLACED:g} s, thirty workers replaced after it",
        play_module,
        MODULE,
        MODULE_HELD,
    ),
    "desk": Series("the xDS front's desk on the same orders", play_desk, DESK, DESK_HELD),
    "members": Series(
        "of one member in a second, all having long known each other, 1% of words lost, no change",
        play_members,
        of("members", 5, 16, 30, 60, 100, 200),
        of("members", 300, 940),
    ),
    "joined": Series(
        "the same a minute after a true joining",
        play_joined,
        of("members", 5, 16, 30),
        of("members", 60),
    ),
    "churn": Series(
        "of one member in a second in which one of all is restarted, or fails (`failures`); seconds until "
        "the last says so",
        play_churn,
        [case for flag in (0, 1) for case in of("members", 16, 30, 60, 100, failures=flag)],
        [case for flag in (0, 1) for case in of("members", 200, failures=flag)],
    ),
    "lost": Series(
        "one, some or a tenth lost at once and back after ten seconds: a member's dearest second",
        play_lost,
        lost((30, 1), (60, 1), (100, 1), (50, 2), (100, 2), (30, 3), (60, 6), (100, 10)),
        lost((200, 1), (200, 4), (200, 20)),
    ),
    "halves": Series(
        "two halves apart for fifteen seconds and together again: a member's dearest second",
        play_halves,
        of("members", 10, 20, 40, 60),
        of("members", 100),
    ),
    "owner": Series(
        "the log of those that vote, nothing happening, each second",
        play_owner,
        of("members", 3, 5, 7, 9, 15, 25),
        of("members", 60, 120),
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
        of("members", 15, 30, 60, 120),
        of("members", 240, 480),
    ),
    "discovery": Series(
        "a whole list of discovery and one entry's news, from bytes to the books",
        play_discovery,
        of("entries", 200, 500, 1000, 2000),
        of("entries", 5000),
    ),
    "roster": Series(
        "a whole list of the roster that tells it whole for any change",
        play_roster,
        of("entries", 200, 500, 1000, 2000),
        of("entries", 5000),
    ),
    "messages": Series(
        "a message of a collector or a proxy, from bytes to the module's event",
        play_messages,
        of("workers", 200, 500, 1000, 2000),
        of("workers", 5000),
    ),
    "table": Series(
        "a whole table laid and rendered for proxies in one state",
        play_table,
        tables(
            (200, 2, 20), (500, 2, 20), (1000, 2, 20), (200, 20, 20), (500, 60, 20), (200, 2, 200)
        ),
        tables((5000, 2, 20), (200, 270, 20)),
    ),
    "succession": Series(
        "batches for one standby, the standby running along, the whole for a new one",
        play_succession,
        tables((50, 2, 20), (100, 2, 20), (200, 2, 20), (500, 2, 20), (200, 2, 60), (200, 10, 20)),
        tables((1000, 2, 20), (200, 20, 20)),
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
        of("members", 30, 60, 120, 240),
        of("members", 940),
    ),
    "empty": Series(
        "a process that has imported what a front runs (0: the platform's, 1: xDS)",
        play_empty,
        of("front", 0, 1),
        [],
    ),
}


def pace() -> float:
    """Seconds of CPU of a fixed piece of work, as it goes just now: a core that is shared does less
    in a second.
    """
    chance, began = Random(1), time.thread_time()
    for _ in range(PACED):
        values = [chance.random() for _ in range(1000)]
        kept = {n: value for n, value in enumerate(values) if value > 0.5}
        sum(kept.get(n, 0.0) * value for n, value in enumerate(sorted(values)))
    return (time.thread_time() - began) / PACED


def paced(play: Callable[[Case], Found], case: Case) -> Found:
    before = pace()
    found = play(case)
    return {**found, "pace": (before + pace()) / 2}


def played(play: Callable[[Case], Found], case: Case) -> Found:
    """In a process of its own, so that its memory is its own; with the machine's load before it."""
    load = os.getloadavg()[0]
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return {
            **case,
            **{key: rounded(value) for key, value in pool.apply(paced, (play, case)).items()},
            "load": round(load, 1),
        }


def rounded(value: float) -> float:
    """Four figures: more are the clock's, not the cost's."""
    return float(f"{value:.4g}")


def measure(name: str, text: str) -> Path:
    series, began = SERIES[name], time.time()
    rows: dict[str, list[Found]] = {
        "points": [{} for _ in series.points],
        "held": [{} for _ in series.held],
    }
    for go in range(
        series.plays
    ):  # each size once before any is played twice, as the machine's load comes and goes
        for kind, cases in (("points", series.points), ("held", series.held)):
            for n, case in enumerate(cases):
                found = played(series.play, case)
                rows[kind][n] = min(found, rows[kind][n] or found, key=lambda row: row["pace"])
                print(f"{name} {go + 1} of {series.plays}: {json.dumps(found)}", flush=True)
    whole = {
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
    lines = [json.dumps({key: value for key, value in whole.items() if key not in rows})[:-1]]
    for kind, found in rows.items():
        lines.append(f', "{kind}": [\n' + ",\n".join(f"  {json.dumps(row)}" for row in found) + "]")
    path.parent.mkdir(exist_ok=True)
    path.write_text("".join(lines) + "}\n")
    return path


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", choices=[*SERIES, []], metavar="NAME")
    parser.add_argument("--text", default="before", help="of the decision module: before or after")
    parser.add_argument("--small", action="store_true")
    said = parser.parse_args()
    for name in said.names or SERIES:
        if said.small:
            print(
                f"{name}: {json.dumps(played(SERIES[name].play, SERIES[name].points[0]))}",
                flush=True,
            )
        else:
            print(f"{measure(name, said.text)} written", flush=True)


if __name__ == "__main__":
    main()
