"""Generated histories for `tests/decision/reference_decisions.py`: a manager's surroundings in
simulated time, from a seed alone.

Workers have a true state that shapes what proxies meet; a channel of the trade's pace, proxies that
answer, fall silent and come back, discovery with releases and losses, an operator's pins, cuts
between managers, and orders refused. Times are seconds.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count
from math import ceil
from random import Random
from typing import Any, Protocol

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    ManagerLoadChanged,
    OrderRejected,
    OverrideChanged,
    PartitionLimitsChanged,
    PeerMessageReceived,
    ProxyConnected,
    ProxyDisconnected,
    ShardAssigned,
    ShardRestored,
    TimerFired,
)
from dunlinlug.decision.orders import (
    AssignTable,
    CheckHealth,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
    WatchEndpoints,
)
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits, TrafficClass

Happening = Event | Callable[[], None]

# Workers, proxies, products and turns to go with them, and how often such a history is drawn.
SIZES = (
    ((5, 12), (1, 8), (1, 2, 3), 1600, 6),
    ((10, 40), (2, 30), (1, 2, 3), 1200, 8),
    ((10, 60), (1, 20), (20,), 500, 2),
    ((10, 30), (1, 8), (60,), 260, 2),
    ((40, 120), (5, 80), (2, 3), 600, 5),
    ((60, 120), (100, 300), (1, 2, 3), 500, 4),
    ((150, 400), (5, 60), (2,), 260, 2),
)
LARGE = ((1000, 1400), (5, 40), (1, 2), 110)  # for every twentieth seed
EVEN = (
    (20, 80),
    (20, 150),
    (1, 2),
    500,
)  # for another twentieth: tables and proxies alike, so that sums tie

# A worker's state: part of its tries that is voided, and how long a settled one takes.
STATES = {
    "well": (0.01, 0.2),
    "failing": (0.8, 0.15),
    "silent": (1.0, 0.2),
    "jammed": (0.5, 1.2),
    "late": (0.0, 0.9),
    "weak": (0.2, 0.3),
    "one in ten": (0.1, 0.2),
    "slow and failing": (0.6, 0.7),
}


@dataclass
class Machine:
    """A worker as it truly is."""

    zone: str
    weight: float | None
    state: str = "well"
    listed: str = "ready"
    since: float | None = None


def drawn(random: Random, seed: int) -> tuple[ManagerSettings, int, int, int]:
    """The trade, workers at the start, proxies, and turns."""
    sizes = {19: LARGE, 17: EVEN}.get(seed % 20) or random.choices(
        SIZES, [size[-1] for size in SIZES]
    )[0][:4]
    (least, most), (few, many), products, turns = sizes
    workers, proxies, n = (
        random.randint(least, most),
        random.randint(few, many),
        random.choice(products),
    )
    even = sizes is EVEN
    home = random.choice(["none", "none", "all", "some"][: 1 if even else 4])
    wares = tuple(
        TrafficClass(
            f"product-{k}",
            random.choice([0.4, 0.8, 2.0]),
            random.choice([1.0, 2.0]),
            1.0 + k * random.random(),
            idempotency=random.choice(["idempotent", "referenced", "non-idempotent"]),
            same_zone_only=home == "all" or home == "some" and random.random() < 0.5,
        )
        for k in range(n)
    )
    # From one that carries all tables to all proxies at once to one that a table a turn fills.
    whole = n * (workers + 2.0) * proxies
    part = max(whole * random.choice([0.02, 0.3, 1.0, 5.0][: 2 if even else 4]), 60.0)
    pace = random.choice([part, 1200.0, 4400.0, 1e5][: 1 if even else 4])
    warm = random.choice([0.0, 1e-6, 5.0, 18.0, 18.0, 30.0][: 3 if even else 6])
    trade = ManagerSettings(
        seed=seed,
        zone="zone-0",
        traffic_classes=wares,
        admission_mode=random.choice(["share", "share", "none"]),
        can_check_health=random.random() < 0.5,
        must_subscribe=random.random() < 0.2,
        default_retry_policy=random.choice([0, 1, 1, 3]),
        initial_subset_size=random.choice([1, 2, 4, 6, 12, 30]),
        shard_count=8 if seed % 50 == 7 else 0,
        channel=ChannelSettings(
            pace,
            random.choice([4.0, 10.0]),
            random.choice([0.3, 1.5, 4.0]) * pace + random.choice([400.0, 4.0 * (workers + n)]),
            0.25,
            0.5,
            random.choice([0, 0, 10, 30]),
        ),
        safety_limits=SafetyLimits(
            5.0,
            3.0,
            random.choice([2.0, 10.0]),
            warm,
            random.choice([0.1, 0.2, 0.5]),
            random.choice([2.0, 3.0, 6.0]),
            2.0,
        ),
    )
    return trade, workers, proxies, turns


class ObservedState(Protocol):
    """What a history reads of the balancer whose orders it obeys."""

    def owed_entries(self, ack_number: int) -> dict[int, float]:
        """By proxy, the entries of the reply whose acknowledgement was asked for."""

    def is_channel_constrained(self) -> bool:
        """Whether the channel is too slow for whole tables, so that subsets stay."""

    def has_subsets_in_use(self) -> bool:
        """Whether proxies are connected and a subset table is used."""

    def admitted_fractions(self) -> set[float]:
        """The fractions that current tables admit; none where admission is not controlled."""


class BalancerState:
    """The state of the present Balancer."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer

    def owed_entries(self, ack_number: int) -> dict[int, float]:
        return self.balancer.state.budget.pending_replies[ack_number].entries_by_proxy

    def is_channel_constrained(self) -> bool:
        return self.balancer.state.is_channel_constrained

    def has_subsets_in_use(self) -> bool:
        return bool(self.balancer.state.assignments.proxies) and any(
            table.use_count for table in self.balancer.state.tables.subset_tables
        )

    def admitted_fractions(self) -> set[float]:
        if not self.balancer.state.parameters.controls_admission:
            return set()
        tables = self.balancer.state.tables.current_tables.values()
        return {fraction for table in tables for fraction, _ in table.admission_levels}


class ReferenceState:
    """The state of the frozen Balancer of `tests/reference_model`, or of its counted copy."""

    def __init__(self, balancer: Any) -> None:
        self.balancer = balancer

    def owed_entries(self, ack_number: int) -> dict[int, float]:
        owed: dict[int, float] = self.balancer.budget.pending_replies[ack_number].entries_by_proxy
        return owed

    def is_channel_constrained(self) -> bool:
        return bool(self.balancer.is_channel_constrained)

    def has_subsets_in_use(self) -> bool:
        return bool(self.balancer.assignments.proxies) and any(
            table.use_count for table in self.balancer.subset_tables
        )

    def admitted_fractions(self) -> set[float]:
        if not self.balancer.controls_admission:
            return set()
        return {
            n for table in self.balancer.current_tables.values() for n, _ in table.admission_levels
        }


def observed(balancer: Any) -> ObservedState:
    return BalancerState(balancer) if isinstance(balancer, Balancer) else ReferenceState(balancer)


class Surroundings:
    """Draws `turns()`, one by one; after each the caller lets it `obey` the former text's orders."""

    def __init__(self, seed: int, scale: float = 1.0) -> None:
        self.random = random = Random(f"history {seed}")
        self.trade, workers, self.proxies, turns = drawn(random, seed)
        self.left, self.now = max(10, int(turns * scale)), 0.0
        # On a grid, turns come just when something is due; told coarsely, workers tie.
        self.grid, self.coarse, self.skip = (
            random.choice([0.0, 0.0, 0.125, 0.25]),
            random.random() < 0.35,
            0.0,
        )
        self.end = random.choice([30.0, 50.0, 90.0]) * max(1.0, scale)
        self.zones = [f"zone-{n}" for n in range(random.choice([1, 2, 3, 3, 5, 10]))]
        self.weights = random.choice(
            [[1.0], [1.0, 2.0, 4.0], [None], [0.1, 0.3, 0.7], [1.0, 1.0, None, 0.0, 0.5, 0.37]]
        )
        self.rates = [1.0, 5.0, 5.0, 25.0]
        if seed % 20 == 17:
            self.weights, self.rates = (
                random.choice([[0.1], [0.3], [0.7], [0.1, 0.2], [0.37]]),
                [5.0],
            )
        self.due, self.order = list[tuple[float, int, Happening]](), count()
        self.machines, self.names = dict[str, Machine](), count()
        self.joined, self.mute = dict[int, str](), set[int]()
        self.asked_at, self.busy, self.pace = dict[int, float](), 0.0, 1.0
        self.load, self.refusing, self.turned = "calm", dict[type, float](), 0
        self.said = Counter[str]()
        for _ in range(workers):
            self.machine()
        self.begin()

    def at(self, when: float, what: Happening) -> None:
        heapq.heappush(self.due, (when, next(self.order), what))

    def turns(self) -> Iterator[tuple[float, list[Event]]]:
        gap = self.end / self.left
        while self.left > 0 and self.now < self.end:
            self.now += (
                0.0
                if self.random.random() < 0.01
                else gap * self.random.uniform(0.1, 1.7) + self.skip
            )
            self.skip = 0.0
            if self.grid:
                self.now = ceil(self.now / self.grid) * self.grid
            events = list[Event]()
            while self.due and self.due[0][0] <= self.now:
                what = heapq.heappop(self.due)[2]
                if callable(what):
                    what()
                else:
                    events.append(what)
            if events or self.random.random() < 0.05:
                self.left -= 1
                yield self.now, events

    # What the former text ordered, and what follows of it.

    def obey(self, now: float, orders: list[Order], balancer: Any) -> None:
        """Let what follows of these orders come about. `balancer`, present or reference, gave them."""
        state = observed(balancer)
        for order in orders:
            match order:
                case RequestAcknowledgement(number):
                    self._send(now, number, state.owed_entries(number))
                case SetTimer(after, token):
                    self.at(
                        now + after + (0.3 if self.random.random() < 0.05 else 0.0),
                        TimerFired(token),
                    )
                case CheckHealth(worker):
                    self.at(now + self.random.choice([0.02, 0.4, 1.0]), self._probed(worker))
                case WatchEndpoints():
                    self.at(now + 0.1, self.fetched)
                case SetWeight() | DeleteTable() | AssignTable() | SetEjected() | SetAdmission():
                    if self.random.random() < self.refusing.get(type(order), 0.0):
                        self.said[f"refused {type(order).__name__}"] += 1
                        self.at(now, OrderRejected(order, "the guard's word"))
        if state.is_channel_constrained():
            self.said["turns with small tables to stay"] += 1
        if state.has_subsets_in_use():
            self.said["turns with small tables in use"] += 1
        for level in state.admitted_fractions():
            self.said[f"turns with a level of {level:.2f}"] += 1

    def _send(self, now: float, mark: int, owed: dict[int, float]) -> None:
        for proxy, lines in owed.items():
            self.busy = max(self.busy, now) + lines / (
                self.trade.channel.entries_per_second * self.pace
            )
            arrives = self.busy + self.trade.channel.transit_time * self.random.uniform(0.5, 1.5)
            if proxy in self.mute or arrives - now > 30.0:
                self.said["marks that nobody answers"] += 1
            else:
                self.at(arrives, Acknowledged(proxy, mark, arrives - now))

    def _probed(self, worker: str) -> Callable[[], None]:
        def probed() -> None:
            machine = self.machines.get(worker)
            ok = machine is not None and machine.state == "well" and machine.listed != "gone"
            load = self.random.choice([{}, {"queue": 2.0}])
            self.at(
                self.now, HealthCheckCompleted(worker, ok, "ok" if ok else "timeout", 0.1, load)
            )

        return probed

    # Discovery.

    def machine(self, zone: str | None = None, since: float | None = None) -> str:
        n = next(self.names)
        name = f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:80"
        self.machines[name] = Machine(
            zone or self.random.choice(self.zones), self.random.choice(self.weights), since=since
        )
        return name

    def entry(self, name: str) -> Endpoint:
        machine = self.machines[name]
        return Endpoint(name, machine.zone, "", 0, machine.listed, machine.weight, machine.since)

    def news(self, names: list[str], form: str = "changes") -> None:
        if names or form != "changes":
            self.at(self.now, EndpointsUpdated(form, tuple(map(self.entry, names))))
            self.said[f"lists {form}"] += 1

    def move(self, names: list[str], state: str, since: float | None = None) -> Callable[[], None]:
        """An act: these come to be listed so, if they are known still."""

        def act() -> None:
            known = [name for name in names if name in self.machines]
            for name in known:
                machine = self.machines[name]
                machine.listed, machine.since = state, machine.since if since is None else since
                if since is not None:
                    machine.state = "well"
            self.news(known)
            for name in known if state == "gone" and self.random.random() < 0.8 else ():
                if self.machines[name].listed == "gone" and self.random.random() < 0.5:
                    del self.machines[name]

        return act

    def fetched(self) -> None:
        """The answer to a manager that asks for the list."""
        if self.random.random() < 0.4:
            self.news([], "failed")
        else:
            self.news(
                [name for name, machine in self.machines.items() if machine.listed != "gone"],
                "whole",
            )

    def ready(self) -> list[str]:
        return [name for name, machine in self.machines.items() if machine.listed == "ready"]

    def some(self, least: int, most: int) -> list[str]:
        ready = self.ready()
        return self.random.sample(
            ready, min(len(ready), self.random.randint(least, max(least, most)))
        )

    def begin(self) -> None:
        """The start, what goes on all the time, and incidents."""
        random, end = self.random, self.end
        if self.trade.must_subscribe and random.random() < 0.5:
            self.at(1.0, self.fetched)
        else:
            self.at(0.0, lambda: self.news(self.ready(), random.choice(["kept", "whole"])))
        crowd = random.choice([0.1, 0.5, 5.0])
        for proxy in range(self.proxies):
            self.at(random.choice([0.0, 0.3]) + random.random() * crowd, self.joins(proxy))
        every, when = random.choice([0.1, 0.5]), 0.5
        lines = random.choice([60.0, 80.0, 200.0]) * every
        while when < end:
            self.at(when, lambda: self.reports(max(1, int(lines))))
            when += every
        incidents = [
            self.release,
            self.release,
            self.replaced,
            self.lost,
            self.whole,
            self.storm,
            self.bad,
            self.cut,
            self.zone_lost,
            self.pin,
            self.pin,
            self.refuses,
            self.churn,
            self.reweighted,
            self.slow_channel,
            self.mutes,
            self.oddities,
            self.back_again,
            self.silence,
            self.halt,
        ]
        for name in (
            self.some(1, 3) if random.random() < 0.5 else ()
        ):  # bad for good, so that rests double
            self.machines[name].state = random.choice(["failing", "failing", "silent", "jammed"])
        when = random.uniform(2.0, 6.0)
        if random.random() < 0.3:  # a manager that begins in a jam, or beside workers that fail
            self.at(0.1, random.choice([self.storm, self.bad]))
        while when < end:
            self.at(when, random.choice(incidents))
            when += random.expovariate(1.0 / random.choice([1.0, 4.0]))

    # Proxies.

    def joins(self, proxy: int, first: bool = True) -> Callable[[], None]:
        def act() -> None:
            self.mute.discard(proxy)
            zone = self.joined.setdefault(proxy, self.random.choice(self.zones))
            self.at(self.now, ProxyConnected(proxy, zone, self.random.choice(self.rates), first))

        return act

    def leaves(self, proxy: int) -> None:
        if self.joined.pop(proxy, None) is not None:
            self.at(self.now, ProxyDisconnected(proxy))

    def churn(self) -> None:
        """Some or most proxies leave, at once, and come back, as many or a few."""
        self.said["churn"] += 1
        gone = self.random.sample(
            sorted(self.joined), int(len(self.joined) * self.random.choice([0.1, 0.5, 1.0]))
        )
        for proxy in gone:
            if (
                self.random.random() < 0.2
            ):  # its new stream comes before word that the old one ended
                self.at(self.now + self.random.random(), self.joins(proxy, False))
                continue
            self.leaves(proxy)
            if self.random.random() < 0.8:
                self.at(self.now + self.random.choice([0.2, 2.0, 6.0]), self.joins(proxy, False))

    def mutes(self) -> None:
        self.said["silent proxies"] += 1
        gone = set(
            self.random.sample(sorted(self.joined), len(self.joined) // self.random.choice([2, 5]))
        )
        self.mute |= gone
        self.at(
            self.now + self.random.choice([2.0, 8.0, 20.0]),
            lambda: self.mute.difference_update(gone),
        )

    def slow_channel(self) -> None:
        self.said["a slow channel"] += 1
        self.pace = self.random.choice([0.05, 0.25, 0.5])
        self.at(self.now + self.random.uniform(2.0, 8.0), lambda: setattr(self, "pace", 1.0))

    # Workers come and go.

    def release(self) -> None:
        """Rolling: each batch drains, goes, and starts again under its name, or others start in its
        place.
        """
        self.said["releases"] += 1
        names, anew = self.some(2, 60), self.random.random() < 0.5
        batch, gap = self.random.choice([1, 5, 20]), self.random.choice([0.2, 1.0, 2.0])
        for n in range(0, len(names), batch):
            part, begin = names[n : n + batch], self.now + n // batch * gap
            self.at(begin, self.move(part, "draining"))
            self.at(begin + 2.0, self.move(part, "gone"))
            self.at(begin + self.random.choice([0.0, 2.5]), self.starts(part, anew))

    def starts(self, former: list[str], anew: bool) -> Callable[[], None]:
        def act() -> None:
            zones = [self.machines[name].zone for name in former if name in self.machines]
            again = [name for name in former if name in self.machines]
            self.move(
                [self.machine(zone, self.now) for zone in zones] if anew else again,
                "ready",
                self.now,
            )()

        return act

    def replaced(self) -> None:
        """Most of the fleet at once by others, so that rows are free for new ones."""
        self.said["replacements of most"] += 1
        names = self.some(len(self.machines) // 2, len(self.machines) * 9 // 10)
        self.at(self.now, self.starts(names, True))
        self.at(self.now + 0.5, self.move(names, "draining"))
        self.at(self.now + 3.0, self.move(names, "gone"))

    def lost(self) -> None:
        """Gone without a word, some to come back with or without a new start."""
        self.said["losses"] += 1
        names = self.some(1, len(self.machines) // 3)
        self.move(names, "gone")()
        if self.random.random() < 0.7:
            back = self.now + self.random.choice([0.5, 5.0, 9.0])
            self.at(back, self.move(names, "ready", back if self.random.random() < 0.5 else None))

    def back_again(self) -> None:
        self.said["come back"] += 1
        gone = [name for name, machine in self.machines.items() if machine.listed != "ready"]
        self.move(gone[:20], "ready", self.now - self.random.choice([0.0, 4.0, 40.0]))()
        if self.random.random() < 0.5:  # and a few more than before
            self.move(
                [self.machine(since=self.now) for _ in range(self.random.randint(1, 10))],
                "ready",
                self.now,
            )()

    def whole(self) -> None:
        form = self.random.choice(["whole", "whole", "kept", "failed", "failed"])
        names = [name for name, machine in self.machines.items() if machine.listed != "gone"]
        if (
            form == "whole" and self.random.random() < 0.5
        ):  # with some or all left out, and an order of its own
            names = self.random.sample(names, len(names) * self.random.choice([4, 4, 4, 0]) // 5)
            for name in self.machines.keys() - set(names):
                self.machines[name].listed = "gone"
        self.news([] if form == "failed" else names, form)

    def reweighted(self) -> None:
        self.said["weights listed anew"] += 1
        names = self.some(1, 20)
        for name in names:
            self.machines[name].weight = self.random.choice([*self.weights, 0.0, None, 3.0])
            if self.random.random() < 0.3:
                self.machines[name].zone = self.random.choice(self.zones)
        if (
            names and self.random.random() < 0.2
        ):  # told twice in one piece of news, from a clock that is ahead
            machine = self.machines[names[0]]
            machine.since = self.now + self.random.choice([0.5, 3.0])
            names = [*names, names[0]]
        self.news(names)

    # What proxies meet.

    def reports(self, lines: int) -> None:
        names, zones = list(self.machines), sorted(set(self.joined.values())) or self.zones
        if self.coarse:  # the next ones in turn
            self.said["reports told coarsely"] += 1
            names = (
                names[self.turned % len(names) :] + names[: self.turned % len(names)]
                if names
                else []
            )
            names, self.turned = names[:lines], self.turned + lines
        for _ in range(lines if names and self.load != "silence" else 0):
            if self.random.random() < 0.25:
                txns = self.random.randint(0, 40)
                self.at(
                    self.now,
                    DemandReported(
                        self.random.randrange(self.proxies),
                        self.random.choice(self.trade.traffic_classes).name,
                        txns,
                        txns // 5 if self.load != "calm" else 0,
                        0.5,
                    ),
                )
                continue
            name = self.random.choice(names)
            part, took = STATES[self.machines[name].state]
            if self.load == "even":
                part = 0.1
            if self.load in ("storm", "late") and self.random.random() < 0.9:
                part, took = max(part, 0.6), took if self.load == "late" else 1.2
            tries = 10 if self.coarse else self.random.choice([1, 4, 12, 30, 2.5])
            voided = (
                round(10 * part)
                if self.coarse
                else sum(self.random.random() < part for _ in range(int(tries)))
            )
            queue = (
                {"queue": self.random.choice([0.0, 0.0, 3.0])} if self.random.random() < 0.3 else {}
            )
            self.at(
                self.now,
                EndpointReported(
                    self.random.choice(zones),
                    name,
                    tries,
                    voided,
                    took if self.coarse else (took * self.random.uniform(0.7, 1.3)),
                    0.5,
                    queue,
                    self.random.random() < 0.8,
                ),
            )

    def storm(self) -> None:
        """All void and are slow, or void a tenth; word of it comes later than its end, so that
        voids go on at a usual pace.
        """
        self.said["storms"] += 1
        self.load, length = (
            self.random.choice(["storm", "storm", "even"]),
            self.random.choice([0.5, 3.0, 10.0]),
        )
        self.at(
            self.now + length, lambda: setattr(self, "load", self.random.choice(["late", "calm"]))
        )
        self.at(self.now + length + 3.0, lambda: setattr(self, "load", "calm"))

    def silence(self) -> None:
        self.said["silence"] += 1
        self.load = "silence"
        self.at(
            self.now + self.random.choice([2.0, 10.0, 20.0]), lambda: setattr(self, "load", "calm")
        )

    def halt(self) -> None:
        """The manager gets no turn for so long, and then hears all at once."""
        self.said["halts"] += 1
        self.skip = self.random.choice([0.5, 5.0, 15.0])

    def bad(self) -> None:
        """A few or many workers fail, each in its way, for a while."""
        self.said["bad workers"] += 1
        names = self.some(1, self.random.choice([2, 5, len(self.machines) // 2]))
        states = self.random.choice([list(STATES)[1:], [self.random.choice(list(STATES))]])
        for name in names:
            self.machines[name].state = self.random.choice(states)

        def heal() -> None:
            for name in names:
                if name in self.machines:
                    self.machines[name].state = "well"

        self.at(self.now + self.random.choice([3.0, 10.0, 25.0, 60.0]), heal)

    # Managers, operators, the guard.

    def cut(self) -> None:
        self.said["cuts"] += 1
        self.at(
            self.now,
            PartitionLimitsChanged(
                self.random.choice([0.05, 0.1, 0.2]),
                self.random.random() < 0.4,
                self.random.random() < 0.4,
            ),
        )
        self.at(self.now + self.random.uniform(1.0, 15.0), PartitionLimitsChanged(0.2))

    def zone_lost(self) -> None:
        """Its proxies leave and its workers answer nobody; after a while both are there again, the
        proxies one by one.
        """
        self.said["zones lost"] += 1
        zone, after = self.random.choice(self.zones), self.random.choice([2.0, 8.0])
        names = [name for name, machine in self.machines.items() if machine.zone == zone]
        proxies = [proxy for proxy, its in self.joined.items() if its == zone]
        for name in names:
            self.machines[name].state = "silent"
        for proxy in proxies:
            self.leaves(proxy)

        def back() -> None:
            for name in names:
                if name in self.machines:
                    self.machines[name].state = "well"
            for n, proxy in enumerate(proxies):
                self.joined.setdefault(proxy, zone)
                self.at(self.now + 0.3 * n, self.joins(proxy, False))

        self.at(self.now + after, back)

    def pin(self) -> None:
        k = self.random.randrange(len(self.trade.traffic_classes))
        names = [*self.some(1, 6), *(["10.99.0.1:80"] if self.random.random() < 0.2 else [])]
        weights = tuple((name, self.random.choice([0.5, 1.0, 1.0, 0.0, None])) for name in names)
        way = self.random.choice(["some", "others", "none used", "ended", "nobody"])
        self.said[f"pins: {way}"] += 1
        self.at(
            self.now,
            {
                "some": OverrideChanged(k, weights, False),
                "others": OverrideChanged(k, weights, True),
                "none used": OverrideChanged(k, tuple((name, 0.0) for name in names), True),
                "ended": OverrideChanged(k),
                "nobody": OverrideChanged(k, (), False),
            }[way],
        )

    def refuses(self) -> None:
        kinds: list[type] = [SetWeight, AssignTable, DeleteTable, SetEjected, SetAdmission]
        for kind in self.random.choice([kinds, [self.random.choice(kinds)], kinds[3:], kinds[3:]]):
            self.refusing[kind] = self.random.choice([0.02, 0.2, 1.0])
        self.at(self.now + self.random.choice([0.5, 3.0, 9.0]), self.refusing.clear)

    def oddities(self) -> None:
        """News that this module passes over, and some of who is not known."""
        self.said["oddities"] += 1
        for event in (
            PeerMessageReceived(2, "hello"),
            ShardAssigned(1, True),
            ShardRestored(1, "10.0.0.1:80", 1.0),
            ManagerLoadChanged("other", self.random.random() < 0.5, 40, 200.0),
            ProxyDisconnected(9999),
            Acknowledged(0, 64000, 0.1),
            Acknowledged(9999, 1, 0.1),
            TimerFired(123456),
            EndpointReported("zone-0", "10.98.0.1:80", 5, 5, 0.2, 0.5),
            EndpointReported("", next(iter(self.machines), ""), 0, 0, 0.0, 0.5),
            OverrideChanged(
                len(self.trade.traffic_classes),
                (("10.98.0.1:80", 0.0),),
                self.random.random() < 0.5,
            ),
            DemandReported(None, "no-product", 5, 0, 0.5),
            HealthCheckCompleted(
                next(iter(self.machines), ""), self.random.random() < 0.5, "ok", 0.1, {}
            ),
            HealthCheckCompleted("10.98.0.1:80", True, "ok", 0.1),
            OrderRejected(AssignTable(9999, (0,), 1), "unknown"),
        ):
            self.at(self.now, event)
