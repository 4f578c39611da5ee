"""A slow, plain model of proxies, channel and rules: it obeys to the letter and says which rule broke."""

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
    duties = SafetyLimits(5.0, 3.0, 10.0, 16.0, 0.2, 3.0, 2.0)
    given = {
        "seed": 7,
        "zone": "north",
        "traffic_classes": products,
        "channel": channel,
        "safety_limits": duties,
        "admission_mode": "share",
    }
    return ManagerSettings(**{**given, **changes})


def endpoint(n: int, state: str = "ready", since: float | None = None) -> Endpoint:
    return Endpoint(f"10.0.0.{n}:80", ZONES[n % 3], "plain", 0, state, 1.0, since)


class Model:
    """Follows one manager's orders; `broken` names each rule that was seen broken."""

    def __init__(self, what: ManagerSettings, pace: float = 1.0) -> None:
        self.trade, self.pace, self.now = what, pace, 0.0
        self.module = Balancer(what)
        self.orders, self.broken, self.listed = (
            list[Order](),
            set[str](),
            dict[str, Endpoint](),
        )
        self.told: dict[str, float] = {}  # when a worker was first told to be leaving or gone
        self.known: dict[str, float] = {}  # when its last start was told
        self.restart()

    def restart(self) -> None:
        """A new process: what waits, travels or was withdrawn is lost, and no proxy is joined."""
        self.tables: dict[int, dict[str, float]] = defaultdict(dict)
        self.withdrawn: set[str] = set()
        self.bound: dict[int, dict[int, int]] = {}  # joined proxy -> product -> table, as ordered
        self.holds: dict[int, dict[int, tuple[int, dict[str, float]]]] = {}  # the same, as applied
        self.shut, self.joined = dict[int, set[str]](), dict[int, float]()
        self.mute = set[int]()  # joined proxies that nothing reaches any more
        self.bare: dict[tuple[int, int], float] = {}
        self.queue: list[tuple[int, float, list]] = []  # proxy, lines, what the message does
        self.flying, self.rings = list[tuple[float, int, list]](), list[tuple[float, int]]()
        self.written: dict[int, list[float]] = defaultdict(list)  # whatever streams it came on
        self.zone: dict[int, str] = {}  # of proxies

    def step(self, span: float, events: list[Event]) -> None:
        """Let time pass, deliver what is due, tell the module, obey it, and check every rule."""
        self.now += span
        room = span * self.trade.channel.entries_per_second * self.pace
        while self.queue and room > 0:
            proxy, lines, acts = self.queue[0]
            if lines > room:
                self.queue[0] = (proxy, lines - room, acts)
                break
            room -= lines
            self.queue.pop(0)
            self.flying.append((self.now + self.trade.channel.transit_time, proxy, acts))
        due = [flight for flight in self.flying if flight[0] <= self.now]
        self.flying = [flight for flight in self.flying if flight[0] > self.now]
        answers: list[Event] = [
            answer for _, proxy, acts in due for answer in self._apply(proxy, acts)
        ]
        rung = [TimerFired(token) for at, token in self.rings if at <= self.now]
        self.rings = [ring for ring in self.rings if ring[0] > self.now]
        for event in events:
            self._meet(event)
        self.orders = self.module.decide(self.now, [*events, *answers, *rung])
        self._obey()
        self._check()

    def _apply(self, proxy: int, acts: list) -> list[Event]:
        answers: list[Event] = []
        for act in acts if proxy in self.joined and proxy not in self.mute else ():
            match act:
                case ("bind", product, number, lines, out):
                    self.holds[proxy][product] = (
                        number,
                        {
                            name: weight
                            for name, weight in lines.items()
                            if self._open(proxy, product, name)
                        },
                    )
                    self.shut[proxy] |= out
                case ("line", number, name, weight):
                    for product, (table, held) in self.holds[proxy].items():
                        if table == number and self._open(proxy, product, name):
                            held.update({name: weight})
                            held.pop(None if weight else name, None)
                case ("withdraw", name, out):
                    (self.shut[proxy].add if out else self.shut[proxy].discard)(name)
                case ("mark", number):
                    answers.append(Acknowledged(proxy, number, 0.3))
        return answers

    def _open(self, proxy: int, product: int, name: str) -> bool:
        """Whether a proxy's product may go to this worker, whose zone its number tells."""
        number = int(name.split(":")[0].rpartition(".")[2])
        return (
            not self.trade.traffic_classes[product].same_zone_only
            or ZONES[number % 3] == self.zone[proxy]
        )

    def _meet(self, event: Event) -> None:
        match event:
            case ProxyConnected(proxy):
                old = endpoint(99, "gone").id
                self.holds[proxy] = {
                    k: (0, {old: 1.0}) for k in range(len(self.trade.traffic_classes))
                }
                self.bound[proxy], self.shut[proxy], self.joined[proxy] = {}, set(), self.now
                self.zone[proxy] = event.zone
            case ProxyDisconnected(proxy):
                self.mute.discard(proxy), self.joined.pop(proxy, None), self.bound.pop(proxy, None)
                self.queue = [message for message in self.queue if message[0] != proxy]
                self.flying = [flight for flight in self.flying if flight[1] != proxy]
            case EndpointsUpdated(form, workers) if form != "failed":
                if form != "changes":
                    self.listed = {}
                for entry in workers:
                    self.listed[entry.id] = entry
                    if entry.state == "ready":
                        self.told.pop(entry.id, None)
                        self.known[entry.id] = self.now
                    else:
                        self.told.setdefault(entry.id, self.now)

    def _obey(self) -> None:
        acts: dict[int, list] = defaultdict(list)
        lines: dict[int, float] = defaultdict(float)
        for order in self.orders:
            match order:
                case SetWeight(number, name, weight):
                    self._amend(number, name, weight, acts, lines)
                case DeleteTable(number):
                    held = {table for p in self.joined for table, _ in self.holds[p].values()}
                    if number in held or any(
                        number in bound.values() for bound in self.bound.values()
                    ):
                        self.broken.add("a table cleared under a proxy")
                    del self.tables[number]
                case AssignTable(proxy, products, number):
                    table = self.tables[number]
                    out = self.withdrawn & table.keys()
                    lines[proxy] += 1 + len(self.trade.traffic_classes) + len(table) + len(out)
                    for product in products:
                        acts[proxy].append(("bind", product, number, dict(table), out))
                        self.bound[proxy][product] = number
                case SetEjected(name, out):
                    (self.withdrawn.add if out else self.withdrawn.discard)(name)
                    for proxy in self.joined:
                        if any(name in held for _, held in self.holds[proxy].values()) or any(
                            name in self.tables[number] for number in self.bound[proxy].values()
                        ):
                            acts[proxy].append(("withdraw", name, out))
                            lines[proxy] += 1
                case SetAdmission(number, product, retry, _):
                    if (
                        retry > 1
                        and self.trade.traffic_classes[product].idempotency != "idempotent"
                    ):
                        self.broken.add("an effect twice")
                    for proxy, bound in self.bound.items():
                        lines[proxy] += number in bound.values()
                case RequestAcknowledgement(number, everyone):
                    for proxy in list(self.joined) if everyone else [p for p in lines if lines[p]]:
                        acts[proxy].append(("mark", number))
                        lines[proxy] += 1
                case SetTimer(after, token):
                    self.rings.append((self.now + after, token))
        for proxy in [p for p in self.joined if lines[p]]:
            self.queue.append(
                (proxy, lines[proxy] + self.trade.channel.message_overhead, acts[proxy])
            )
            self.written[proxy] = [at for at in self.written[proxy] if at > self.now - 10.0] + [
                self.now
            ]

    def _amend(self, number: int, name: str, weight: float, acts: dict, lines: dict) -> None:
        self.tables[number][name] = weight
        if not weight:
            del self.tables[number][name]
        for proxy, bound in self.bound.items():
            if number in bound.values():
                lines[proxy] += 1
                acts[proxy].append(("line", number, name, weight))

    def _check(self) -> None:
        duties, slow = self.trade.safety_limits, 1 / self.pace
        warm = [
            w
            for w in self.listed.values()
            if w.state == "ready"
            and (w.started_at is None or self.now - w.started_at >= duties.warm_up_time)
        ]
        if sum(lines for _, lines, _ in self.queue) > self.trade.channel.max_queued_entries:
            self.broken.add("queue")
        if any(len(times) > self.trade.channel.max_messages for times in self.written.values()):
            self.broken.add("messages")
        for proxy, joined in self.joined.items():
            for product, (_, held) in self.holds[proxy].items() if proxy not in self.mute else ():
                usable = {name: w for name, w in held.items() if name not in self.shut[proxy]}
                since = self.bare.setdefault((proxy, product), self.now)
                if usable or not any(self._open(proxy, product, entry.id) for entry in warm):
                    del self.bare[proxy, product]
                elif self.now - max(since, joined) > duties.max_time_without_endpoint * slow:
                    self.broken.add("bare")
                for name, share in usable.items():
                    told = self.told.get(name, self.now if name in self.listed else 0.0)
                    if self.now - max(told, joined) > duties.drain_grace_period * slow:
                        self.broken.add("drain")
                    entry = self.listed.get(name)
                    if (
                        not warm
                        or not entry
                        or entry.state != "ready"
                        or entry.started_at is None
                        or not duties.warm_up_time
                    ):
                        continue
                    age, heard = self.now - entry.started_at, max(self.known.get(name, 0.0), joined)
                    if (
                        self.now - heard > duties.drain_grace_period * slow
                        and share / (entry.weight or 1.0)
                        > (0.2 + 0.8 * age / duties.warm_up_time) * duties.overload_multiple / 2
                    ):
                        self.broken.add("cold")


def pinned(random: Random) -> OverrideChanged:
    """A subset, an exclusion, other weights within what a ramp allows, or the end of a pin."""
    names = random.sample([endpoint(n).id for n in range(9)], random.randrange(1, 6))
    weights = tuple((name, random.choice([0.5, 1.0, 1.0])) for name in names)
    return OverrideChanged(
        random.randrange(2),
        *random.choice(
            [
                (weights, False),
                (weights, True),
                (tuple((name, 0.0) for name in names), True),
                ((), True),
            ]
        ),
    )


def run(model: Model, seed: int, steps: int = 400, pins: float = 0.0) -> Model:
    """A generated run of events: workers drain, restart and come, proxies and the manager come and go, and with
    this part of the steps an operator pins a product."""
    random, pinning = Random(seed), Random(f"{seed} pins")
    fleet = {n: endpoint(n) for n in range(9)}
    start: list[Event] = [EndpointsUpdated("kept", tuple(fleet.values()))]
    for _ in range(steps):
        events, start = start, []
        if random.random() < 0.03:
            n = random.randrange(12)
            state = random.choice(["ready", "draining", "gone"]) if n in fleet else "ready"
            if state != "ready" and sum(w.state == "ready" for w in fleet.values()) < 5:
                continue
            fleet[n] = endpoint(n, state, model.now - random.uniform(0.5, 2.0))
            events.append(EndpointsUpdated("changes", (fleet[n],)))
        if random.random() < 0.15:
            proxy = random.randrange(8)
            events.append(
                ProxyDisconnected(proxy)
                if proxy in model.joined
                else ProxyConnected(proxy, random.choice(ZONES), 5.0, random.random() < 0.5)
            )
        if random.random() < 0.5:
            tries, name = random.randrange(1, 30), endpoint(random.randrange(13)).id
            voided = random.choice([0, 0, 0, tries])
            events.append(EndpointReported(random.choice(ZONES), name, tries, voided, 0.2, 0.5))
        if pinning.random() < pins:
            events.append(pinned(pinning))
        if random.random() < 0.01:
            model.module = Balancer(model.trade)
            model.restart()
            start = [
                EndpointsUpdated("kept", tuple(w for w in fleet.values() if w.state != "gone"))
            ]
            continue
        if random.random() < 0.03 and model.joined:
            model.mute.add(random.choice(sorted(model.joined)))
        if random.random() < 0.02:
            model.pace = random.choice([1.0, 0.5, 0.25])
        odd = [
            DemandReported(random.randrange(8), "book", 9, 0, 0.5),
            Acknowledged(random.randrange(9), 3, 0.1),
        ]
        model.step(0.1, [*events, *odd])
    return model
