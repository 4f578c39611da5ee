"""Generates histories for `reference_decisions.py`: a manager's environment in simulated time.

A history depends on its seed alone. The environment simulates workers whose state determines what
proxies observe, a channel of limited rate, proxies that acknowledge, become silent and reconnect,
service discovery with releases and losses, operator overrides, partitions between managers, and
rejected orders. Times are in seconds.
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

ScheduledAction = Event | Callable[[], None]

# Ranges of workers and proxies, choices of the number of classes, turns, and relative frequency.
SIZES = (
    ((5, 12), (1, 8), (1, 2, 3), 1600, 6),
    ((10, 40), (2, 30), (1, 2, 3), 1200, 8),
    ((10, 60), (1, 20), (20,), 500, 2),
    ((10, 30), (1, 8), (60,), 260, 2),
    ((40, 120), (5, 80), (2, 3), 600, 5),
    ((60, 120), (100, 300), (1, 2, 3), 500, 4),
    ((150, 400), (5, 60), (2,), 260, 2),
)
LARGE = ((1000, 1400), (5, 40), (1, 2), 110)  # used by one in twenty seeds
EVEN = (
    (20, 80),
    (20, 150),
    (1, 2),
    500,
)  # used by one in twenty seeds: tables and proxies are alike, so that sums tie

# By state of a worker: the fraction of its attempts that fails, and the latency of the others.
STATES = {
    "healthy": (0.01, 0.2),
    "failing": (0.8, 0.15),
    "unresponsive": (1.0, 0.2),
    "overloaded": (0.5, 1.2),
    "slow": (0.0, 0.9),
    "weak": (0.2, 0.3),
    "one in ten": (0.1, 0.2),
    "slow and failing": (0.6, 0.7),
}


@dataclass
class SimulatedWorker:
    """The actual state of a worker, which differs from what the manager observes."""

    zone: str
    weight: float | None
    state: str = "healthy"
    listed_state: str = "ready"
    started_at: float | None = None


def generate_settings(random: Random, seed: int) -> tuple[ManagerSettings, int, int, int]:
    """Return the settings and the numbers of initial workers, proxies and turns."""
    sizes = {19: LARGE, 17: EVEN}.get(seed % 20) or random.choices(
        SIZES, [size[-1] for size in SIZES]
    )[0][:4]
    (min_workers, max_workers), (min_proxies, max_proxies), class_counts, turns = sizes
    workers, proxies, n = (
        random.randint(min_workers, max_workers),
        random.randint(min_proxies, max_proxies),
        random.choice(class_counts),
    )
    is_even = sizes is EVEN
    same_zone_choice = random.choice(["none", "none", "all", "some"][: 1 if is_even else 4])
    traffic_classes = tuple(
        TrafficClass(
            f"product-{k}",
            random.choice([0.4, 0.8, 2.0]),
            random.choice([1.0, 2.0]),
            1.0 + k * random.random(),
            idempotency=random.choice(["idempotent", "referenced", "non-idempotent"]),
            same_zone_only=same_zone_choice == "all"
            or same_zone_choice == "some"
            and random.random() < 0.5,
        )
        for k in range(n)
    )
    # The rate ranges from sending one table per turn to sending all tables to all proxies at once.
    full_update_entries = n * (workers + 2.0) * proxies
    slow_rate = max(
        full_update_entries * random.choice([0.02, 0.3, 1.0, 5.0][: 2 if is_even else 4]), 60.0
    )
    channel_rate = random.choice([slow_rate, 1200.0, 4400.0, 1e5][: 1 if is_even else 4])
    warm_up_time = random.choice([0.0, 1e-6, 5.0, 18.0, 18.0, 30.0][: 3 if is_even else 6])
    settings = ManagerSettings(
        seed=seed,
        zone="zone-0",
        traffic_classes=traffic_classes,
        admission_mode=random.choice(["share", "share", "none"]),
        can_check_health=random.random() < 0.5,
        must_subscribe=random.random() < 0.2,
        default_retry_policy=random.choice([0, 1, 1, 3]),
        initial_subset_size=random.choice([1, 2, 4, 6, 12, 30]),
        shard_count=8 if seed % 50 == 7 else 0,
        channel=ChannelSettings(
            channel_rate,
            random.choice([4.0, 10.0]),
            random.choice([0.3, 1.5, 4.0]) * channel_rate
            + random.choice([400.0, 4.0 * (workers + n)]),
            0.25,
            0.5,
            random.choice([0, 0, 10, 30]),
        ),
        safety_limits=SafetyLimits(
            5.0,
            3.0,
            random.choice([2.0, 10.0]),
            warm_up_time,
            random.choice([0.1, 0.2, 0.5]),
            random.choice([2.0, 3.0, 6.0]),
            2.0,
        ),
    )
    return settings, workers, proxies, turns


class ObservedState(Protocol):
    """State of a balancer that a history needs to simulate the effect of its orders."""

    def owed_entries(self, ack_number: int) -> dict[int, float]:
        """Entries by proxy of the reply with this acknowledgement number."""

    def is_channel_constrained(self) -> bool:
        """Whether the channel is too slow for full tables, so that proxies keep subsets."""

    def has_subsets_in_use(self) -> bool:
        """Whether proxies are connected and use a subset."""

    def admitted_fractions(self) -> set[float]:
        """Admitted fractions of the current tables; empty if admission is not controlled."""


class BalancerState:
    """Observed state of the decision module's Balancer."""

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
    """Observed state of the reference model's Balancer, or of its instrumented copy."""

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


def observe(balancer: Any) -> ObservedState:
    return BalancerState(balancer) if isinstance(balancer, Balancer) else ReferenceState(balancer)


class SimulatedEnvironment:
    """Generates the turns of a history.

    After each turn of `turns()`, the caller passes the reference model's orders to `apply_orders`.
    """

    def __init__(self, seed: int, scale: float = 1.0) -> None:
        self.random = random = Random(f"history {seed}")
        self.settings, workers, self.proxies, turns = generate_settings(random, seed)
        self.remaining_turns, self.now = max(10, int(turns * scale)), 0.0
        # With a time grid, turns coincide with due times. Coarse reports make workers tie.
        self.time_grid, self.has_coarse_reports, self.pause = (
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
        self.scheduled, self.sequence = list[tuple[float, int, ScheduledAction]](), count()
        self.workers, self.worker_numbers = dict[str, SimulatedWorker](), count()
        self.zone_by_proxy, self.silent_proxies = dict[int, str](), set[int]()
        self.channel_busy_until, self.channel_speed = 0.0, 1.0
        self.load_condition, self.rejection_rates, self.report_offset = (
            "normal",
            dict[type, float](),
            0,
        )
        self.counts = Counter[str]()
        for _ in range(workers):
            self.add_worker()
        self.schedule_events()

    def schedule(self, when: float, action: ScheduledAction) -> None:
        heapq.heappush(self.scheduled, (when, next(self.sequence), action))

    def turns(self) -> Iterator[tuple[float, list[Event]]]:
        interval = self.end / self.remaining_turns
        while self.remaining_turns > 0 and self.now < self.end:
            self.now += (
                0.0
                if self.random.random() < 0.01
                else interval * self.random.uniform(0.1, 1.7) + self.pause
            )
            self.pause = 0.0
            if self.time_grid:
                self.now = ceil(self.now / self.time_grid) * self.time_grid
            events = list[Event]()
            while self.scheduled and self.scheduled[0][0] <= self.now:
                action = heapq.heappop(self.scheduled)[2]
                if callable(action):
                    action()
                else:
                    events.append(action)
            if events or self.random.random() < 0.05:
                self.remaining_turns -= 1
                yield self.now, events

    # Effects of orders.

    def apply_orders(self, now: float, orders: list[Order], balancer: Any) -> None:
        """Schedule the events that follow from these orders of `balancer`."""
        state = observe(balancer)
        for order in orders:
            match order:
                case RequestAcknowledgement(number):
                    self._send_reply(now, number, state.owed_entries(number))
                case SetTimer(after, token):
                    self.schedule(
                        now + after + (0.3 if self.random.random() < 0.05 else 0.0),
                        TimerFired(token),
                    )
                case CheckHealth(worker_id):
                    self.schedule(
                        now + self.random.choice([0.02, 0.4, 1.0]),
                        self._health_check_completion(worker_id),
                    )
                case WatchEndpoints():
                    self.schedule(now + 0.1, self.send_requested_list)
                case SetWeight() | DeleteTable() | AssignTable() | SetEjected() | SetAdmission():
                    if self.random.random() < self.rejection_rates.get(type(order), 0.0):
                        self.counts[f"rejected {type(order).__name__}"] += 1
                        self.schedule(now, OrderRejected(order, "the guard's word"))
        if state.is_channel_constrained():
            self.counts["turns on a constrained channel"] += 1
        if state.has_subsets_in_use():
            self.counts["turns with subsets in use"] += 1
        for level in state.admitted_fractions():
            self.counts[f"turns with a level of {level:.2f}"] += 1

    def _send_reply(self, now: float, ack_number: int, owed_entries: dict[int, float]) -> None:
        for proxy, entry_count in owed_entries.items():
            self.channel_busy_until = max(self.channel_busy_until, now) + entry_count / (
                self.settings.channel.entries_per_second * self.channel_speed
            )
            arrives = (
                self.channel_busy_until
                + self.settings.channel.transit_time * self.random.uniform(0.5, 1.5)
            )
            if proxy in self.silent_proxies or arrives - now > 30.0:
                self.counts["replies that are never acknowledged"] += 1
            else:
                self.schedule(arrives, Acknowledged(proxy, ack_number, arrives - now))

    def _health_check_completion(self, worker_id: str) -> Callable[[], None]:
        def complete() -> None:
            worker = self.workers.get(worker_id)
            is_healthy = (
                worker is not None and worker.state == "healthy" and worker.listed_state != "gone"
            )
            load = self.random.choice([{}, {"queue": 2.0}])
            self.schedule(
                self.now,
                HealthCheckCompleted(
                    worker_id, is_healthy, "ok" if is_healthy else "timeout", 0.1, load
                ),
            )

        return complete

    # Service discovery.

    def add_worker(self, zone: str | None = None, started_at: float | None = None) -> str:
        n = next(self.worker_numbers)
        name = f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:80"
        self.workers[name] = SimulatedWorker(
            zone or self.random.choice(self.zones),
            self.random.choice(self.weights),
            started_at=started_at,
        )
        return name

    def list_entry(self, name: str) -> Endpoint:
        worker = self.workers[name]
        return Endpoint(
            name, worker.zone, "", 0, worker.listed_state, worker.weight, worker.started_at
        )

    def send_list_update(self, names: list[str], update_type: str = "changes") -> None:
        if names or update_type != "changes":
            self.schedule(
                self.now, EndpointsUpdated(update_type, tuple(map(self.list_entry, names)))
            )
            self.counts[f"lists {update_type}"] += 1

    def change_state(
        self, names: list[str], state: str, started_at: float | None = None
    ) -> Callable[[], None]:
        """Return an action that changes the listed state of these workers, if they still exist."""

        def apply() -> None:
            known = [name for name in names if name in self.workers]
            for name in known:
                worker = self.workers[name]
                worker.listed_state, worker.started_at = (
                    state,
                    worker.started_at if started_at is None else started_at,
                )
                if started_at is not None:
                    worker.state = "healthy"
            self.send_list_update(known)
            for name in known if state == "gone" and self.random.random() < 0.8 else ():
                if self.workers[name].listed_state == "gone" and self.random.random() < 0.5:
                    del self.workers[name]

        return apply

    def send_requested_list(self) -> None:
        """Respond to a request for the endpoint list, with the full list or a failure."""
        if self.random.random() < 0.4:
            self.send_list_update([], "failed")
        else:
            self.send_list_update(
                [name for name, worker in self.workers.items() if worker.listed_state != "gone"],
                "whole",
            )

    def ready_workers(self) -> list[str]:
        return [name for name, worker in self.workers.items() if worker.listed_state == "ready"]

    def sample_ready_workers(self, min_workers: int, max_workers: int) -> list[str]:
        ready = self.ready_workers()
        return self.random.sample(
            ready, min(len(ready), self.random.randint(min_workers, max(min_workers, max_workers)))
        )

    def schedule_events(self) -> None:
        """Schedule the start of the history, the regular reports, and random incidents."""
        random, end = self.random, self.end
        if self.settings.must_subscribe and random.random() < 0.5:
            self.schedule(1.0, self.send_requested_list)
        else:
            self.schedule(
                0.0,
                lambda: self.send_list_update(
                    self.ready_workers(), random.choice(["kept", "whole"])
                ),
            )
        connect_duration = random.choice([0.1, 0.5, 5.0])
        for proxy in range(self.proxies):
            self.schedule(
                random.choice([0.0, 0.3]) + random.random() * connect_duration, self.connect(proxy)
            )
        interval, when = random.choice([0.1, 0.5]), 0.5
        entry_count = random.choice([60.0, 80.0, 200.0]) * interval
        while when < end:
            self.schedule(when, lambda: self.report_observations(max(1, int(entry_count))))
            when += interval
        incidents = [
            self.rolling_release,
            self.rolling_release,
            self.replace_most_workers,
            self.lose_workers,
            self.send_full_list,
            self.overload_workers,
            self.fail_workers,
            self.partition_managers,
            self.lose_zone,
            self.change_override,
            self.change_override,
            self.reject_orders,
            self.reconnect_proxies,
            self.change_weights,
            self.slow_down_channel,
            self.silence_proxies,
            self.send_unusual_events,
            self.return_workers,
            self.pause_reports,
            self.pause_manager,
        ]
        for name in (
            self.sample_ready_workers(1, 3) if random.random() < 0.5 else ()
        ):  # these workers never recover, so that their ejection times double
            self.workers[name].state = random.choice(
                ["failing", "failing", "unresponsive", "overloaded"]
            )
        when = random.uniform(2.0, 6.0)
        if random.random() < 0.3:  # the manager starts during an overload or with failing workers
            self.schedule(0.1, random.choice([self.overload_workers, self.fail_workers]))
        while when < end:
            self.schedule(when, random.choice(incidents))
            when += random.expovariate(1.0 / random.choice([1.0, 4.0]))

    # Proxies.

    def connect(self, proxy: int, first: bool = True) -> Callable[[], None]:
        def apply() -> None:
            self.silent_proxies.discard(proxy)
            zone = self.zone_by_proxy.setdefault(proxy, self.random.choice(self.zones))
            self.schedule(
                self.now, ProxyConnected(proxy, zone, self.random.choice(self.rates), first)
            )

        return apply

    def disconnect(self, proxy: int) -> None:
        if self.zone_by_proxy.pop(proxy, None) is not None:
            self.schedule(self.now, ProxyDisconnected(proxy))

    def reconnect_proxies(self) -> None:
        """Disconnect some, half or all of the proxies at once; some of them reconnect later."""
        self.counts["churn"] += 1
        gone = self.random.sample(
            sorted(self.zone_by_proxy),
            int(len(self.zone_by_proxy) * self.random.choice([0.1, 0.5, 1.0])),
        )
        for proxy in gone:
            if (
                self.random.random() < 0.2
            ):  # the new connection is reported before the end of the old one
                self.schedule(self.now + self.random.random(), self.connect(proxy, False))
                continue
            self.disconnect(proxy)
            if self.random.random() < 0.8:
                self.schedule(
                    self.now + self.random.choice([0.2, 2.0, 6.0]), self.connect(proxy, False)
                )

    def silence_proxies(self) -> None:
        self.counts["silent proxies"] += 1
        gone = set(
            self.random.sample(
                sorted(self.zone_by_proxy), len(self.zone_by_proxy) // self.random.choice([2, 5])
            )
        )
        self.silent_proxies |= gone
        self.schedule(
            self.now + self.random.choice([2.0, 8.0, 20.0]),
            lambda: self.silent_proxies.difference_update(gone),
        )

    def slow_down_channel(self) -> None:
        self.counts["slow channels"] += 1
        self.channel_speed = self.random.choice([0.05, 0.25, 0.5])
        self.schedule(
            self.now + self.random.uniform(2.0, 8.0), lambda: setattr(self, "channel_speed", 1.0)
        )

    # Changes of the set of workers.

    def rolling_release(self) -> None:
        """Run a rolling release: each batch drains, is removed, and restarts or is replaced."""
        self.counts["releases"] += 1
        names, are_replaced = self.sample_ready_workers(2, 60), self.random.random() < 0.5
        batch_size, interval = self.random.choice([1, 5, 20]), self.random.choice([0.2, 1.0, 2.0])
        for n in range(0, len(names), batch_size):
            worker_batch, begin = names[n : n + batch_size], self.now + n // batch_size * interval
            self.schedule(begin, self.change_state(worker_batch, "draining"))
            self.schedule(begin + 2.0, self.change_state(worker_batch, "gone"))
            self.schedule(
                begin + self.random.choice([0.0, 2.5]),
                self.start_workers(worker_batch, are_replaced),
            )

    def start_workers(self, previous: list[str], are_replaced: bool) -> Callable[[], None]:
        def apply() -> None:
            zones = [self.workers[name].zone for name in previous if name in self.workers]
            restarted = [name for name in previous if name in self.workers]
            self.change_state(
                [self.add_worker(zone, self.now) for zone in zones] if are_replaced else restarted,
                "ready",
                self.now,
            )()

        return apply

    def replace_most_workers(self) -> None:
        """Replace most of the fleet at once, so that rows become free for new workers."""
        self.counts["replacements of most"] += 1
        names = self.sample_ready_workers(len(self.workers) // 2, len(self.workers) * 9 // 10)
        self.schedule(self.now, self.start_workers(names, True))
        self.schedule(self.now + 0.5, self.change_state(names, "draining"))
        self.schedule(self.now + 3.0, self.change_state(names, "gone"))

    def lose_workers(self) -> None:
        """Remove workers without a drain; they may return later, with or without a restart."""
        self.counts["losses"] += 1
        names = self.sample_ready_workers(1, len(self.workers) // 3)
        self.change_state(names, "gone")()
        if self.random.random() < 0.7:
            return_at = self.now + self.random.choice([0.5, 5.0, 9.0])
            self.schedule(
                return_at,
                self.change_state(
                    names, "ready", return_at if self.random.random() < 0.5 else None
                ),
            )

    def return_workers(self) -> None:
        self.counts["returned workers"] += 1
        gone = [name for name, worker in self.workers.items() if worker.listed_state != "ready"]
        self.change_state(gone[:20], "ready", self.now - self.random.choice([0.0, 4.0, 40.0]))()
        if self.random.random() < 0.5:  # some new workers in addition
            self.change_state(
                [self.add_worker(started_at=self.now) for _ in range(self.random.randint(1, 10))],
                "ready",
                self.now,
            )()

    def send_full_list(self) -> None:
        update_type = self.random.choice(["whole", "whole", "kept", "failed", "failed"])
        names = [name for name, worker in self.workers.items() if worker.listed_state != "gone"]
        if (
            update_type == "whole" and self.random.random() < 0.5
        ):  # a list in random order that leaves out some or all workers
            names = self.random.sample(names, len(names) * self.random.choice([4, 4, 4, 0]) // 5)
            for name in self.workers.keys() - set(names):
                self.workers[name].listed_state = "gone"
        self.send_list_update([] if update_type == "failed" else names, update_type)

    def change_weights(self) -> None:
        self.counts["changed listed weights"] += 1
        names = self.sample_ready_workers(1, 20)
        for name in names:
            self.workers[name].weight = self.random.choice([*self.weights, 0.0, None, 3.0])
            if self.random.random() < 0.3:
                self.workers[name].zone = self.random.choice(self.zones)
        if (
            names and self.random.random() < 0.2
        ):  # an entry that is listed twice, with a start time from a clock that is ahead
            worker = self.workers[names[0]]
            worker.started_at = self.now + self.random.choice([0.5, 3.0])
            names = [*names, names[0]]
        self.send_list_update(names)

    # Observations of proxies.

    def report_observations(self, entry_count: int) -> None:
        names, zones = list(self.workers), sorted(set(self.zone_by_proxy.values())) or self.zones
        if self.has_coarse_reports:  # report on the workers in rotation
            self.counts["coarse reports"] += 1
            names = (
                names[self.report_offset % len(names) :] + names[: self.report_offset % len(names)]
                if names
                else []
            )
            names, self.report_offset = names[:entry_count], self.report_offset + entry_count
        for _ in range(entry_count if names and self.load_condition != "no reports" else 0):
            if self.random.random() < 0.25:
                requests = self.random.randint(0, 40)
                self.schedule(
                    self.now,
                    DemandReported(
                        self.random.randrange(self.proxies),
                        self.random.choice(self.settings.traffic_classes).name,
                        requests,
                        requests // 5 if self.load_condition != "normal" else 0,
                        0.5,
                    ),
                )
                continue
            name = self.random.choice(names)
            failure_rate, latency = STATES[self.workers[name].state]
            if self.load_condition == "even":
                failure_rate = 0.1
            if self.load_condition in ("overload", "late") and self.random.random() < 0.9:
                failure_rate, latency = (
                    max(failure_rate, 0.6),
                    latency if self.load_condition == "late" else 1.2,
                )
            attempts = 10 if self.has_coarse_reports else self.random.choice([1, 4, 12, 30, 2.5])
            failed = (
                round(10 * failure_rate)
                if self.has_coarse_reports
                else sum(self.random.random() < failure_rate for _ in range(int(attempts)))
            )
            queue = (
                {"queue": self.random.choice([0.0, 0.0, 3.0])} if self.random.random() < 0.3 else {}
            )
            self.schedule(
                self.now,
                EndpointReported(
                    self.random.choice(zones),
                    name,
                    attempts,
                    failed,
                    latency
                    if self.has_coarse_reports
                    else (latency * self.random.uniform(0.7, 1.3)),
                    0.5,
                    queue,
                    self.random.random() < 0.8,
                ),
            )

    def overload_workers(self) -> None:
        """Let attempts at all workers fail and be slow, or let a tenth of them fail.

        Failures may be reported after the end of the overload, when latency is normal again.
        """
        self.counts["overloads"] += 1
        self.load_condition, length = (
            self.random.choice(["overload", "overload", "even"]),
            self.random.choice([0.5, 3.0, 10.0]),
        )
        self.schedule(
            self.now + length,
            lambda: setattr(self, "load_condition", self.random.choice(["late", "normal"])),
        )
        self.schedule(self.now + length + 3.0, lambda: setattr(self, "load_condition", "normal"))

    def pause_reports(self) -> None:
        self.counts["pauses without reports"] += 1
        self.load_condition = "no reports"
        self.schedule(
            self.now + self.random.choice([2.0, 10.0, 20.0]),
            lambda: setattr(self, "load_condition", "normal"),
        )

    def pause_manager(self) -> None:
        """Pause the manager, which then receives all events at once."""
        self.counts["manager pauses"] += 1
        self.pause = self.random.choice([0.5, 5.0, 15.0])

    def fail_workers(self) -> None:
        """Let some workers fail for a while, in the same way or in different ways."""
        self.counts["failing workers"] += 1
        names = self.sample_ready_workers(1, self.random.choice([2, 5, len(self.workers) // 2]))
        states = self.random.choice([list(STATES)[1:], [self.random.choice(list(STATES))]])
        for name in names:
            self.workers[name].state = self.random.choice(states)

        def recover() -> None:
            for name in names:
                if name in self.workers:
                    self.workers[name].state = "healthy"

        self.schedule(self.now + self.random.choice([3.0, 10.0, 25.0, 60.0]), recover)

    # Other managers, operators and the guard.

    def partition_managers(self) -> None:
        self.counts["partitions"] += 1
        self.schedule(
            self.now,
            PartitionLimitsChanged(
                self.random.choice([0.05, 0.1, 0.2]),
                self.random.random() < 0.4,
                self.random.random() < 0.4,
            ),
        )
        self.schedule(self.now + self.random.uniform(1.0, 15.0), PartitionLimitsChanged(0.2))

    def lose_zone(self) -> None:
        """Lose a zone: its proxies disconnect and its workers do not respond.

        After a while the workers recover and the proxies reconnect one after the other.
        """
        self.counts["zones lost"] += 1
        zone, after = self.random.choice(self.zones), self.random.choice([2.0, 8.0])
        names = [name for name, worker in self.workers.items() if worker.zone == zone]
        proxies = [proxy for proxy, proxy_zone in self.zone_by_proxy.items() if proxy_zone == zone]
        for name in names:
            self.workers[name].state = "unresponsive"
        for proxy in proxies:
            self.disconnect(proxy)

        def restore() -> None:
            for name in names:
                if name in self.workers:
                    self.workers[name].state = "healthy"
            for n, proxy in enumerate(proxies):
                self.zone_by_proxy.setdefault(proxy, zone)
                self.schedule(self.now + 0.3 * n, self.connect(proxy, False))

        self.schedule(self.now + after, restore)

    def change_override(self) -> None:
        k = self.random.randrange(len(self.settings.traffic_classes))
        names = [
            *self.sample_ready_workers(1, 6),
            *(["10.99.0.1:80"] if self.random.random() < 0.2 else []),
        ]
        weights = tuple((name, self.random.choice([0.5, 1.0, 1.0, 0.0, None])) for name in names)
        kind = self.random.choice(["subset", "partial", "exclusion", "end", "empty subset"])
        self.counts[f"overrides: {kind}"] += 1
        self.schedule(
            self.now,
            {
                "subset": OverrideChanged(k, weights, False),
                "partial": OverrideChanged(k, weights, True),
                "exclusion": OverrideChanged(k, tuple((name, 0.0) for name in names), True),
                "end": OverrideChanged(k),
                "empty subset": OverrideChanged(k, (), False),
            }[kind],
        )

    def reject_orders(self) -> None:
        kinds: list[type] = [SetWeight, AssignTable, DeleteTable, SetEjected, SetAdmission]
        for kind in self.random.choice([kinds, [self.random.choice(kinds)], kinds[3:], kinds[3:]]):
            self.rejection_rates[kind] = self.random.choice([0.02, 0.2, 1.0])
        self.schedule(self.now + self.random.choice([0.5, 3.0, 9.0]), self.rejection_rates.clear)

    def send_unusual_events(self) -> None:
        """Send events that the module ignores, and events about unknown proxies or workers."""
        self.counts["unusual events"] += 1
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
            EndpointReported("", next(iter(self.workers), ""), 0, 0, 0.0, 0.5),
            OverrideChanged(
                len(self.settings.traffic_classes),
                (("10.98.0.1:80", 0.0),),
                self.random.random() < 0.5,
            ),
            DemandReported(None, "no-product", 5, 0, 0.5),
            HealthCheckCompleted(
                next(iter(self.workers), ""), self.random.random() < 0.5, "ok", 0.1, {}
            ),
            HealthCheckCompleted("10.98.0.1:80", True, "ok", 0.1),
            OrderRejected(AssignTable(9999, (0,), 1), "unknown"),
        ):
            self.schedule(self.now, event)
