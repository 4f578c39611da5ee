"""A simple model of the proxies, the channel and the safety rules.

It applies the orders of a manager and records which safety rules they violate.
"""

from collections import defaultdict
from collections.abc import Callable
from random import Random

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    OrderRejected,
    OverrideChanged,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
)
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits, TrafficClass

ZONES = ("north", "south", "east")


def manager_settings(**changes: object) -> ManagerSettings:
    traffic_classes = (
        TrafficClass("read", 0.8, 2.0, 1.0, idempotency="idempotent"),
        TrafficClass("book", 0.8, 2.0, 5.0, idempotency="non-idempotent"),
    )
    channel = ChannelSettings(1200.0, 4.0, 2400.0, 0.2, 0.5, 30, 10.0)
    limits = SafetyLimits(5.0, 3.0, 10.0, 16.0, 0.2, 3.0, 2.0)
    defaults = {
        "seed": 7,
        "zone": "north",
        "traffic_classes": traffic_classes,
        "channel": channel,
        "safety_limits": limits,
        "admission_mode": "share",
    }
    return ManagerSettings(**{**defaults, **changes})


def endpoint(n: int, state: str = "ready", since: float | None = None) -> Endpoint:
    return Endpoint(f"10.0.0.{n}:80", ZONES[n % 3], "plain", 0, state, 1.0, since)


class Model:
    """Applies one manager's orders; `violated_rules` has the rules that were violated.

    `channel_speed` is the actual rate of the channel as a fraction of the configured one. Orders for
    which `is_rejected` is true are not executed, and the module is notified in the next step.

    A proxy that was assigned a table follows this manager's ejections alone: those of the table's
    entries come with it, also where an earlier ejection of the same worker ended meanwhile without
    a message to the proxy, as its tables did not have the worker.
    """

    def __init__(self, settings: ManagerSettings, channel_speed: float = 1.0) -> None:
        self.settings, self.channel_speed, self.now = settings, channel_speed, 0.0
        self.module = Balancer(settings)
        self.is_rejected: Callable[[Order], bool] = lambda order: False
        self.rejected_orders = list[Order]()  # of the last step
        self.has_rejected = False
        self.orders, self.violated_rules, self.listed = (
            list[Order](),
            set[str](),
            dict[str, Endpoint](),
        )
        self.unready_since: dict[
            str, float
        ] = {}  # by endpoint, when it was first listed as draining or gone
        self.started_since: dict[str, float] = {}  # by endpoint, when it was last listed as ready
        self.restart()

    def restart(self) -> None:
        """Start as a new process: queued and sent messages, ejections and connections are lost."""
        self.tables: dict[int, dict[str, float]] = defaultdict(dict)
        self.ejected: set[str] = set()
        self.assigned: dict[
            int, dict[int, int]
        ] = {}  # by connected proxy and class: the table that was last ordered
        self.applied: dict[
            int, dict[int, tuple[int, dict[str, float]]]
        ] = {}  # by connected proxy and class: the table and the entries that the proxy applied
        self.ejected_by_proxy, self.connected_at = dict[int, set[str]](), dict[int, float]()
        self.silent_proxies = set[int]()  # connected proxies that receive no more messages
        self.without_endpoint_since: dict[tuple[int, int], float] = {}
        self.queue: list[tuple[int, float, list]] = []  # proxy, entries, effects of the message
        self.in_flight, self.timers = list[tuple[float, int, list]](), list[tuple[float, int]]()
        self.sent_times: dict[int, list[float]] = defaultdict(
            list
        )  # by proxy, across reconnections
        self.zone: dict[int, str] = {}  # by proxy

    def step(self, elapsed: float, events: list[Event]) -> None:
        """Advance the clock, deliver due messages and events, apply the orders, check all rules."""
        self.now += elapsed
        capacity = elapsed * self.settings.channel.entries_per_second * self.channel_speed
        while self.queue and capacity > 0:
            proxy, entries, effects = self.queue[0]
            if entries > capacity:
                self.queue[0] = (proxy, entries - capacity, effects)
                break
            capacity -= entries
            self.queue.pop(0)
            self.in_flight.append((self.now + self.settings.channel.transit_time, proxy, effects))
        due = [flight for flight in self.in_flight if flight[0] <= self.now]
        self.in_flight = [flight for flight in self.in_flight if flight[0] > self.now]
        acknowledgements: list[Event] = [
            acknowledgement
            for _, proxy, effects in due
            for acknowledgement in self._apply(proxy, effects)
        ]
        fired = [TimerFired(token) for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for event in events:
            self._handle_event(event)
        rejections = [OrderRejected(order, "by the model") for order in self.rejected_orders]
        self.orders = self.module.decide(
            self.now, [*events, *acknowledgements, *rejections, *fired]
        )
        self.rejected_orders = []
        self._apply_orders()
        self._check_rules()

    def _apply(self, proxy: int, effects: list) -> list[Event]:
        acknowledgements: list[Event] = []
        for effect in (
            effects if proxy in self.connected_at and proxy not in self.silent_proxies else ()
        ):
            match effect:
                case ("assign", traffic_class, table_id, entries, ejected):
                    self.applied[proxy][traffic_class] = (
                        table_id,
                        {
                            worker: weight
                            for worker, weight in entries.items()
                            if self._may_use(proxy, traffic_class, worker)
                        },
                    )
                    self.ejected_by_proxy[proxy] -= entries.keys()
                    self.ejected_by_proxy[proxy] |= ejected
                case ("entry", table_id, worker, weight, is_ejected):
                    if weight and not is_ejected:
                        self.ejected_by_proxy[proxy].discard(worker)
                    for traffic_class, (table, entries) in self.applied[proxy].items():
                        if table == table_id and self._may_use(proxy, traffic_class, worker):
                            entries.update({worker: weight})
                            entries.pop(None if weight else worker, None)
                case ("eject", worker, ejected):
                    (
                        self.ejected_by_proxy[proxy].add
                        if ejected
                        else self.ejected_by_proxy[proxy].discard
                    )(worker)
                case ("acknowledge", ack_number):
                    acknowledgements.append(Acknowledged(proxy, ack_number, 0.3))
        return acknowledgements

    def _may_use(self, proxy: int, traffic_class: int, worker: str) -> bool:
        """Whether a proxy may use this endpoint for a class; its number determines its zone."""
        endpoint_number = int(worker.split(":")[0].rpartition(".")[2])
        return (
            not self.settings.traffic_classes[traffic_class].same_zone_only
            or ZONES[endpoint_number % 3] == self.zone[proxy]
        )

    def _handle_event(self, event: Event) -> None:
        match event:
            case ProxyConnected(proxy):
                old = endpoint(99, "gone").id
                self.applied[proxy] = {
                    k: (0, {old: 1.0}) for k in range(len(self.settings.traffic_classes))
                }
                self.assigned[proxy], self.ejected_by_proxy[proxy], self.connected_at[proxy] = (
                    {},
                    set(),
                    self.now,
                )
                self.zone[proxy] = event.zone
            case ProxyDisconnected(proxy):
                (
                    self.silent_proxies.discard(proxy),
                    self.connected_at.pop(proxy, None),
                    self.assigned.pop(proxy, None),
                )
                self.queue = [message for message in self.queue if message[0] != proxy]
                self.in_flight = [flight for flight in self.in_flight if flight[1] != proxy]
            case EndpointsUpdated(update_type, workers) if update_type != "failed":
                if update_type != "changes":
                    self.listed = {}
                for entry in workers:
                    self.listed[entry.id] = entry
                    if entry.state == "ready":
                        self.unready_since.pop(entry.id, None)
                        self.started_since[entry.id] = self.now
                    else:
                        self.unready_since.setdefault(entry.id, self.now)

    def _apply_orders(self) -> None:
        effects: dict[int, list] = defaultdict(list)
        entry_counts: dict[int, float] = defaultdict(float)
        awaited_proxies = set[int]()  # they acknowledge although their orders were rejected
        for order in self.orders:
            if self.is_rejected(order):
                self.rejected_orders.append(order)
                self.has_rejected = True
                awaited_proxies |= self._proxies_concerned(order)
                continue
            match order:
                case SetWeight(table_id, worker, weight):
                    self._set_weight(table_id, worker, weight, effects, entry_counts)
                case DeleteTable(table_id):
                    entries = {
                        table for p in self.connected_at for table, _ in self.applied[p].values()
                    }
                    if table_id in entries or any(
                        table_id in assigned.values() for assigned in self.assigned.values()
                    ):
                        self.violated_rules.add("a table in use was deleted")
                    if table_id not in self.tables and self.has_rejected:
                        continue  # all of its entries were rejected, or blocked by rejections
                    del self.tables[table_id]
                case AssignTable(proxy, traffic_classes, table_id):
                    table = self.tables[table_id]
                    ejected = self.ejected & table.keys()
                    entry_counts[proxy] += (
                        1 + len(self.settings.traffic_classes) + len(table) + len(ejected)
                    )
                    for traffic_class in traffic_classes:
                        effects[proxy].append(
                            ("assign", traffic_class, table_id, dict(table), ejected)
                        )
                        self.assigned[proxy][traffic_class] = table_id
                case SetEjected(worker, ejected):
                    (self.ejected.add if ejected else self.ejected.discard)(worker)
                    for proxy in self.connected_at:
                        if any(
                            worker in entries for _, entries in self.applied[proxy].values()
                        ) or any(
                            worker in self.tables[table_id]
                            for table_id in self.assigned[proxy].values()
                        ):
                            effects[proxy].append(("eject", worker, ejected))
                            entry_counts[proxy] += 1
                case SetAdmission(table_id, traffic_class, retry_policy, _):
                    if (
                        retry_policy > 1
                        and self.settings.traffic_classes[traffic_class].idempotency != "idempotent"
                    ):
                        self.violated_rules.add("duplicate effect")
                    for proxy, assigned in self.assigned.items():
                        entry_counts[proxy] += table_id in assigned.values()
                case RequestAcknowledgement(ack_number, all_proxies):
                    for proxy in (
                        list(self.connected_at)
                        if all_proxies
                        else [
                            p for p in self.connected_at if entry_counts[p] or p in awaited_proxies
                        ]
                    ):
                        effects[proxy].append(("acknowledge", ack_number))
                        entry_counts[proxy] += 1
                case SetTimer(after, token):
                    self.timers.append((self.now + after, token))
        for proxy in [p for p in self.connected_at if entry_counts[p]]:
            self.queue.append(
                (
                    proxy,
                    entry_counts[proxy] + self.settings.channel.message_overhead,
                    effects[proxy],
                )
            )
            self.sent_times[proxy] = [
                at for at in self.sent_times[proxy] if at > self.now - 10.0
            ] + [self.now]

    def _proxies_concerned(self, order: Order) -> set[int]:
        """Return the proxies that an order is for."""
        match order:
            case AssignTable(proxy):
                return {proxy}
            case SetWeight(table_id) | SetAdmission(table_id):
                return {p for p, used in self.assigned.items() if table_id in used.values()}
            case SetEjected():
                return set(self.connected_at)
        return set()

    def _set_weight(
        self, table_id: int, worker: str, weight: float, effects: dict, entry_counts: dict
    ) -> None:
        self.tables[table_id][worker] = weight
        if not weight:
            del self.tables[table_id][worker]
        for proxy, assigned in self.assigned.items():
            if table_id in assigned.values():
                entry_counts[proxy] += 1
                effects[proxy].append(("entry", table_id, worker, weight, worker in self.ejected))

    def _check_rules(self) -> None:
        limits, slowdown = self.settings.safety_limits, 1 / self.channel_speed
        warm = [
            w
            for w in self.listed.values()
            if w.state == "ready"
            and (w.started_at is None or self.now - w.started_at >= limits.warm_up_time)
        ]
        if sum(entries for _, entries, _ in self.queue) > self.settings.channel.max_queued_entries:
            self.violated_rules.add("queue")
        if any(
            len(times) > self.settings.channel.max_messages for times in self.sent_times.values()
        ):
            self.violated_rules.add("messages")
        for proxy, connected_at in self.connected_at.items():
            for traffic_class, (_, entries) in (
                self.applied[proxy].items() if proxy not in self.silent_proxies else ()
            ):
                usable = {
                    worker: w
                    for worker, w in entries.items()
                    if worker not in self.ejected_by_proxy[proxy]
                }
                since = self.without_endpoint_since.setdefault((proxy, traffic_class), self.now)
                if usable or not any(
                    self._may_use(proxy, traffic_class, entry.id) for entry in warm
                ):
                    del self.without_endpoint_since[proxy, traffic_class]
                elif (
                    self.now - max(since, connected_at)
                    > limits.max_time_without_endpoint * slowdown
                ):
                    self.violated_rules.add("without endpoint")
                for worker, weight_in_use in usable.items():
                    unready_since = self.unready_since.get(
                        worker, self.now if worker in self.listed else 0.0
                    )
                    if (
                        self.now - max(unready_since, connected_at)
                        > limits.drain_grace_period * slowdown
                    ):
                        self.violated_rules.add("drain")
                    entry = self.listed.get(worker)
                    if (
                        not warm
                        or not entry
                        or entry.state != "ready"
                        or entry.started_at is None
                        or not limits.warm_up_time
                    ):
                        continue
                    age, ready_since = (
                        self.now - entry.started_at,
                        max(self.started_since.get(worker, 0.0), connected_at),
                    )
                    if (
                        self.now - ready_since > limits.drain_grace_period * slowdown
                        and weight_in_use / (entry.weight or 1.0)
                        > (0.2 + 0.8 * age / limits.warm_up_time) * limits.overload_multiple / 2
                    ):
                        self.violated_rules.add("slow start")


def random_override(rng: Random) -> OverrideChanged:
    """Return a random override: a subset, other weights, an exclusion, or the end of an override.

    The weights are within the range that slow start allows.
    """
    workers = rng.sample([endpoint(n).id for n in range(9)], rng.randrange(1, 6))
    weights = tuple((worker, rng.choice([0.5, 1.0, 1.0])) for worker in workers)
    return OverrideChanged(
        rng.randrange(2),
        *rng.choice(
            [
                (weights, False),
                (weights, True),
                (tuple((worker, 0.0) for worker in workers), True),
                ((), True),
            ]
        ),
    )


def run(model: Model, seed: int, steps: int = 400, overrides: float = 0.0) -> Model:
    """Run the model on random events and return it.

    Endpoints drain, restart and are added; proxies connect and disconnect; the manager restarts. In
    the given fraction of the steps an operator sets an override.
    """
    rng, override_rng = Random(seed), Random(f"{seed} pins")
    fleet = {n: endpoint(n) for n in range(9)}
    start: list[Event] = [EndpointsUpdated("kept", tuple(fleet.values()))]
    for _ in range(steps):
        events, start = start, []
        if rng.random() < 0.03:
            n = rng.randrange(12)
            state = rng.choice(["ready", "draining", "gone"]) if n in fleet else "ready"
            if state != "ready" and sum(w.state == "ready" for w in fleet.values()) < 5:
                continue
            fleet[n] = endpoint(n, state, model.now - rng.uniform(0.5, 2.0))
            events.append(EndpointsUpdated("changes", (fleet[n],)))
        if rng.random() < 0.15:
            proxy = rng.randrange(8)
            events.append(
                ProxyDisconnected(proxy)
                if proxy in model.connected_at
                else ProxyConnected(proxy, rng.choice(ZONES), 5.0, rng.random() < 0.5)
            )
        if rng.random() < 0.5:
            attempts, worker = rng.randrange(1, 30), endpoint(rng.randrange(13)).id
            failed = rng.choice([0, 0, 0, attempts])
            events.append(EndpointReported(rng.choice(ZONES), worker, attempts, failed, 0.2, 0.5))
        if override_rng.random() < overrides:
            events.append(random_override(override_rng))
        if rng.random() < 0.01:
            model.module = Balancer(model.settings)
            model.restart()
            start = [
                EndpointsUpdated("kept", tuple(w for w in fleet.values() if w.state != "gone"))
            ]
            continue
        if rng.random() < 0.03 and model.connected_at:
            model.silent_proxies.add(rng.choice(sorted(model.connected_at)))
        if rng.random() < 0.02:
            model.channel_speed = rng.choice([1.0, 0.5, 0.25])
        unexpected_events = [
            DemandReported(rng.randrange(8), "book", 9, 0, 0.5),
            Acknowledged(rng.randrange(9), 3, 0.1),
        ]
        model.step(0.1, [*events, *unexpected_events])
    return model
