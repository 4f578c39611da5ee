"""A slow, plain model of proxies, channel and safety rules: it applies orders to the letter and
names broken rules.
"""

from collections import defaultdict
from random import Random

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
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
    products = (
        TrafficClass("read", 0.8, 2.0, 1.0, idempotency="idempotent"),
        TrafficClass("book", 0.8, 2.0, 5.0, idempotency="non-idempotent"),
    )
    channel = ChannelSettings(1200.0, 4.0, 2400.0, 0.2, 0.5, 30, 10.0)
    limits = SafetyLimits(5.0, 3.0, 10.0, 16.0, 0.2, 3.0, 2.0)
    given = {
        "seed": 7,
        "zone": "north",
        "traffic_classes": products,
        "channel": channel,
        "safety_limits": limits,
        "admission_mode": "share",
    }
    return ManagerSettings(**{**given, **changes})


def endpoint(n: int, state: str = "ready", since: float | None = None) -> Endpoint:
    return Endpoint(f"10.0.0.{n}:80", ZONES[n % 3], "plain", 0, state, 1.0, since)


class Model:
    """Follows one manager's orders; `broken` names each rule that was seen broken."""

    def __init__(self, settings: ManagerSettings, pace: float = 1.0) -> None:
        self.settings, self.pace, self.now = settings, pace, 0.0
        self.module = Balancer(settings)
        self.orders, self.broken, self.listed = (
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
        """A new process: what waits, is in flight or was ejected is lost, and no proxy is
        connected.
        """
        self.tables: dict[int, dict[str, float]] = defaultdict(dict)
        self.ejected: set[str] = set()
        self.assigned: dict[
            int, dict[int, int]
        ] = {}  # by connected proxy and class the table, as ordered
        self.applied: dict[
            int, dict[int, tuple[int, dict[str, float]]]
        ] = {}  # the same with its entries, as the proxy applied it
        self.ejected_by_proxy, self.joined = dict[int, set[str]](), dict[int, float]()
        self.silent_proxies = set[int]()  # connected proxies that nothing reaches any more
        self.without_endpoint_since: dict[tuple[int, int], float] = {}
        self.queue: list[tuple[int, float, list]] = []  # proxy, entries, what the message does
        self.in_flight, self.timers = list[tuple[float, int, list]](), list[tuple[float, int]]()
        self.sent_times: dict[int, list[float]] = defaultdict(
            list
        )  # whatever connections it came on
        self.zone: dict[int, str] = {}  # of proxies

    def step(self, span: float, events: list[Event]) -> None:
        """Let time pass, deliver what is due, give the module its events, apply its orders, and
        check every rule.
        """
        self.now += span
        capacity = span * self.settings.channel.entries_per_second * self.pace
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
        answers: list[Event] = [
            answer for _, proxy, effects in due for answer in self._apply(proxy, effects)
        ]
        fired = [TimerFired(token) for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for event in events:
            self._handle_event(event)
        self.orders = self.module.decide(self.now, [*events, *answers, *fired])
        self._apply_orders()
        self._check_rules()

    def _apply(self, proxy: int, effects: list) -> list[Event]:
        answers: list[Event] = []
        for effect in effects if proxy in self.joined and proxy not in self.silent_proxies else ():
            match effect:
                case ("assign", product, number, entries, out):
                    self.applied[proxy][product] = (
                        number,
                        {
                            name: weight
                            for name, weight in entries.items()
                            if self._may_use(proxy, product, name)
                        },
                    )
                    self.ejected_by_proxy[proxy] |= out
                case ("entry", number, name, weight):
                    for product, (table, entries) in self.applied[proxy].items():
                        if table == number and self._may_use(proxy, product, name):
                            entries.update({name: weight})
                            entries.pop(None if weight else name, None)
                case ("eject", name, out):
                    (
                        self.ejected_by_proxy[proxy].add
                        if out
                        else self.ejected_by_proxy[proxy].discard
                    )(name)
                case ("acknowledge", number):
                    answers.append(Acknowledged(proxy, number, 0.3))
        return answers

    def _may_use(self, proxy: int, product: int, name: str) -> bool:
        """Whether a proxy's class may use this endpoint, whose number tells its zone."""
        number = int(name.split(":")[0].rpartition(".")[2])
        return (
            not self.settings.traffic_classes[product].same_zone_only
            or ZONES[number % 3] == self.zone[proxy]
        )

    def _handle_event(self, event: Event) -> None:
        match event:
            case ProxyConnected(proxy):
                old = endpoint(99, "gone").id
                self.applied[proxy] = {
                    k: (0, {old: 1.0}) for k in range(len(self.settings.traffic_classes))
                }
                self.assigned[proxy], self.ejected_by_proxy[proxy], self.joined[proxy] = (
                    {},
                    set(),
                    self.now,
                )
                self.zone[proxy] = event.zone
            case ProxyDisconnected(proxy):
                (
                    self.silent_proxies.discard(proxy),
                    self.joined.pop(proxy, None),
                    self.assigned.pop(proxy, None),
                )
                self.queue = [message for message in self.queue if message[0] != proxy]
                self.in_flight = [flight for flight in self.in_flight if flight[1] != proxy]
            case EndpointsUpdated(form, workers) if form != "failed":
                if form != "changes":
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
        for order in self.orders:
            match order:
                case SetWeight(number, name, weight):
                    self._set_weight(number, name, weight, effects, entry_counts)
                case DeleteTable(number):
                    entries = {table for p in self.joined for table, _ in self.applied[p].values()}
                    if number in entries or any(
                        number in assigned.values() for assigned in self.assigned.values()
                    ):
                        self.broken.add("a table deleted under a proxy")
                    del self.tables[number]
                case AssignTable(proxy, products, number):
                    table = self.tables[number]
                    out = self.ejected & table.keys()
                    entry_counts[proxy] += (
                        1 + len(self.settings.traffic_classes) + len(table) + len(out)
                    )
                    for product in products:
                        effects[proxy].append(("assign", product, number, dict(table), out))
                        self.assigned[proxy][product] = number
                case SetEjected(name, out):
                    (self.ejected.add if out else self.ejected.discard)(name)
                    for proxy in self.joined:
                        if any(
                            name in entries for _, entries in self.applied[proxy].values()
                        ) or any(
                            name in self.tables[number] for number in self.assigned[proxy].values()
                        ):
                            effects[proxy].append(("eject", name, out))
                            entry_counts[proxy] += 1
                case SetAdmission(number, product, retry, _):
                    if (
                        retry > 1
                        and self.settings.traffic_classes[product].idempotency != "idempotent"
                    ):
                        self.broken.add("duplicate effect")
                    for proxy, assigned in self.assigned.items():
                        entry_counts[proxy] += number in assigned.values()
                case RequestAcknowledgement(number, everyone):
                    for proxy in (
                        list(self.joined)
                        if everyone
                        else [p for p in entry_counts if entry_counts[p]]
                    ):
                        effects[proxy].append(("acknowledge", number))
                        entry_counts[proxy] += 1
                case SetTimer(after, token):
                    self.timers.append((self.now + after, token))
        for proxy in [p for p in self.joined if entry_counts[p]]:
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

    def _set_weight(
        self, number: int, name: str, weight: float, effects: dict, entry_counts: dict
    ) -> None:
        self.tables[number][name] = weight
        if not weight:
            del self.tables[number][name]
        for proxy, assigned in self.assigned.items():
            if number in assigned.values():
                entry_counts[proxy] += 1
                effects[proxy].append(("entry", number, name, weight))

    def _check_rules(self) -> None:
        limits, slow = self.settings.safety_limits, 1 / self.pace
        warm = [
            w
            for w in self.listed.values()
            if w.state == "ready"
            and (w.started_at is None or self.now - w.started_at >= limits.warm_up_time)
        ]
        if sum(entries for _, entries, _ in self.queue) > self.settings.channel.max_queued_entries:
            self.broken.add("queue")
        if any(
            len(times) > self.settings.channel.max_messages for times in self.sent_times.values()
        ):
            self.broken.add("messages")
        for proxy, joined in self.joined.items():
            for product, (_, entries) in (
                self.applied[proxy].items() if proxy not in self.silent_proxies else ()
            ):
                usable = {
                    name: w
                    for name, w in entries.items()
                    if name not in self.ejected_by_proxy[proxy]
                }
                since = self.without_endpoint_since.setdefault((proxy, product), self.now)
                if usable or not any(self._may_use(proxy, product, entry.id) for entry in warm):
                    del self.without_endpoint_since[proxy, product]
                elif self.now - max(since, joined) > limits.max_time_without_endpoint * slow:
                    self.broken.add("without endpoint")
                for name, share in usable.items():
                    unready_since = self.unready_since.get(
                        name, self.now if name in self.listed else 0.0
                    )
                    if self.now - max(unready_since, joined) > limits.drain_grace_period * slow:
                        self.broken.add("drain")
                    entry = self.listed.get(name)
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
                        max(self.started_since.get(name, 0.0), joined),
                    )
                    if (
                        self.now - ready_since > limits.drain_grace_period * slow
                        and share / (entry.weight or 1.0)
                        > (0.2 + 0.8 * age / limits.warm_up_time) * limits.overload_multiple / 2
                    ):
                        self.broken.add("slow start")


def random_override(rng: Random) -> OverrideChanged:
    """A subset, an exclusion, other weights within what a slow start allows, or the end of an
    override.
    """
    names = rng.sample([endpoint(n).id for n in range(9)], rng.randrange(1, 6))
    weights = tuple((name, rng.choice([0.5, 1.0, 1.0])) for name in names)
    return OverrideChanged(
        rng.randrange(2),
        *rng.choice(
            [
                (weights, False),
                (weights, True),
                (tuple((name, 0.0) for name in names), True),
                ((), True),
            ]
        ),
    )


def run(model: Model, seed: int, steps: int = 400, overrides: float = 0.0) -> Model:
    """A generated run of events: endpoints drain, restart and come, proxies and the manager come
    and go, and in this part of the steps an operator sets an override.
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
                if proxy in model.joined
                else ProxyConnected(proxy, rng.choice(ZONES), 5.0, rng.random() < 0.5)
            )
        if rng.random() < 0.5:
            attempts, name = rng.randrange(1, 30), endpoint(rng.randrange(13)).id
            failed = rng.choice([0, 0, 0, attempts])
            events.append(EndpointReported(rng.choice(ZONES), name, attempts, failed, 0.2, 0.5))
        if override_rng.random() < overrides:
            events.append(random_override(override_rng))
        if rng.random() < 0.01:
            model.module = Balancer(model.settings)
            model.restart()
            start = [
                EndpointsUpdated("kept", tuple(w for w in fleet.values() if w.state != "gone"))
            ]
            continue
        if rng.random() < 0.03 and model.joined:
            model.silent_proxies.add(rng.choice(sorted(model.joined)))
        if rng.random() < 0.02:
            model.pace = rng.choice([1.0, 0.5, 0.25])
        odd = [
            DemandReported(rng.randrange(8), "book", 9, 0, 0.5),
            Acknowledged(rng.randrange(9), 3, 0.1),
        ]
        model.step(0.1, [*events, *odd])
    return model
