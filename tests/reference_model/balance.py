"""All decisions of a manager: which worker each proxy may use, at what share, and when orders go out.

Call `Balancer(trade)` at the start, then `decide(now, events)` for each batch, with the clock in seconds; it
returns orders in the order in which they take effect. The plain types are in `dunlinlug/interface.py`. Events
change what is known, `_plan` turns that into a wanted state, `_emit` alone orders the difference to it.
`docs/design.md` tells how this follows CCU, the concurrent two-phase update.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from itertools import chain
from math import inf
from random import Random
from statistics import median

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    OrderRejected,
    OverrideChanged,
    PartitionLimitsChanged,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import (
    AssignTable,
    CheckHealth,
    DeleteTable,
    LogMessage,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
    WatchEndpoints,
)
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, TrafficClass
from tests.reference_model.listing import Fleet
from tests.reference_model.outstanding import Outstanding, free
from tests.reference_model.seating import Seating, Table, Tops
from tests.reference_model.state import Change, Wanted


class Account(Outstanding):
    """The channel account: how many lines may still wait, by what was ordered and what answers show."""

    SAMPLE, SLOWEST, LATER = (
        0.1,
        0.1,
        0.3,
    )  # seconds of drain for a sample; its least part; a message's delay
    KEPT_BACK, KEPT = (
        (0.08, 0.12, 0.2, 0.4),
        (0.0, 0.4, 0.4, 0.5),
    )  # parts: rules, health, levels, rest

    def __init__(self, channel: ChannelSettings) -> None:
        most = channel.max_messages
        super().__init__(most or 1)
        self.channel, self.rate = channel, channel.entries_per_second
        # By rank, the messages within the span from which on a proxy gets no more; 0: no bound.
        self.few = [
            next((n for n in range(1, most + 1) if 1.0 - n / most <= kept), 0) for kept in self.KEPT
        ]

    def scarce(self, proxy: int, now: float, rank: int) -> bool:
        times, few = self.written.get(proxy, ()), self.few[rank]
        return (
            0 < few <= len(times) and times[-few] >= now - self.channel.message_window - self.LATER
        )

    def heard(self, proxy: int, mark: int, took: float) -> list[int]:
        """An answer: tells which marks it settles."""
        ahead, usual = self.sent[mark].ahead, self.channel.entries_per_second
        passed = self.answered(proxy, mark)
        if mark not in self.sent and ahead >= self.SAMPLE * usual:
            seen = ahead / max(took - self.channel.transit_time, 0.001)
            self.rate = min(max((self.rate + seen) / 2, self.SLOWEST * usual), usual)
        return passed


class Reply:
    """One reply in the making: its orders, and the lines that they cost each proxy, as the channel allows."""

    def __init__(self, account: Account, now: float, mark: int) -> None:
        self.account, self.now, self.mark = account, now, mark
        self.orders: list[Order] = []
        self.lines: dict[int, float] = {}
        self.spent, self.head = 0.0, account.channel.message_overhead + 1.0
        self.ruled_only = False  # what the rules demand waits for room, so nothing else goes
        self.left = (
            False  # something, for want of messages. Danger: not looked at again before an event
        )

    def full(self, budget: float, proxy: int | None = None) -> bool:
        # Danger: counted against itself, a reply whose heads are paid would leave changes for another.
        spent = 0.0 if proxy is None or proxy in self.lines else self.spent
        return self.account.waits + spent > budget * self.account.rate

    def fits(self, lines: float, rank: int) -> bool:
        if self.ruled_only and rank:
            return False
        most = self.account.channel.max_queued_entries * (1.0 - Account.KEPT_BACK[rank])
        return self.account.waits + self.spent + lines <= most

    def price(
        self, who: Collection[int], each: float, rank: int, budget: float = inf
    ) -> float | None:
        """What so many lines for each of these proxies take; None if channel or limits forbid them."""
        if self.full(budget) or not self.fits(each * len(who), rank):
            return None
        fresh = [p for p in who if p not in self.lines]
        more = each * len(who) + self.head * len(fresh)
        if fresh and self.full(budget, fresh[0]) or not self.fits(more, rank):
            return None
        scarce = any(self.account.scarce(p, self.now, rank) for p in fresh)
        self.left = self.left or scarce
        return None if scarce else more

    def spend(self, who: Collection[int], each: float, rank: int, budget: float = inf) -> bool:
        """Take so many lines for each of these proxies, if the channel and the limits allow it."""
        if (more := self.price(who, each, rank, budget)) is None:
            return False
        for p in who:
            self.lines[p] = self.lines.get(p, self.head) + each
        self.spent += more
        return True


class Health:
    """Judges workers by what proxies met, in contrast to the others and to what is usual."""

    HALF, ENOUGH = (
        0.8,
        3.0,
    )  # seconds in which evidence halves: a report cycle; voided tries to judge by
    FAILING = 0.35  # voided part of the tries from which a worker is failing ...
    CONTRAST = (
        3.0  # ... if also this many times the best quarter's part, so that overload condemns none
    )
    PACE, SILENT = (
        1.6,
        0.9,
    )  # times the usual pace beyond which a worker may be overfull; a silent one's part
    WELL, BUSY = (
        0.15,
        0.08,
    )  # voided part up to which one is raised; the median's from which shares stay put
    LEARN = 0.03  # of each report goes into what is usual: dozens of reports
    CEILING = 0.2  # of the ready weight may be lost to health: more that fail in part have a common cause ...
    CUT_OFF = 0.8  # ... but for silent ones, while a quarter of the fleet does well: zones cut off or lost
    TRIAL, TRIAL_SHARE = (
        3.0,
        0.25,
    )  # seconds on trial, a few report cycles, at a share that a cold one bears
    JAMMED_SHARE = 0.5  # for a jammed or slow worker; a quarter pushed too much onto the rest
    LATE, PLENTY = 2.5, 8.0  # times the median pace, over so many settled tries: a jam is near
    WEAK_SHARE, WEAK = (
        0.75,
        60.0,
    )  # share, and seconds of it, after or ahead of a jam: listed too high
    REST, REST_MOST, AGAIN = (
        4.0,
        16.0,
        1.0,
    )  # seconds out before a trial, doubled by failures; between probes

    def __init__(self, uniform: Callable[[float, float], float], proof: float) -> None:
        self.uniform, self.proof, self.proven = (
            uniform,
            proof,
            inf,
        )  # seconds of calm that prove it, and when
        self.calm, self.ceiling = (
            0.0,
            self.CEILING,
        )  # the median worker's pace when few void; what may go
        self.tries, self.voided, self.took = (
            list[float](),
            list[float](),
            list[float](),
        )  # fading sums
        self.heard_at, self.rest, self.due = (
            list[float](),
            list[float](),
            list[float](),
        )  # due: next step up
        self.cap, self.full = (
            list[float](),
            list[float](),
        )  # most of its weight, 0 if out; what it returns to

    def admit(self, i: int) -> None:
        """A worker of which nothing was heard yet, in a row of its own or in a former one's."""
        for column in (self.tries, self.voided, self.took, self.heard_at, self.due):
            column[i : i + 1] = [0.0]
        self.cap[i : i + 1], self.full[i : i + 1], self.rest[i : i + 1] = [1.0], [1.0], [self.REST]

    def start(self, i: int, cap: float, due: float) -> None:
        self.tries[i] = self.voided[i] = self.took[i] = 0.0
        self.cap[i], self.due[i], self.full[i] = cap, due, max(self.full[i], cap)

    def met(self, i: int, now: float, tries: int, voided: int, took: float) -> None:
        fade = 0.5 ** ((now - self.heard_at[i]) / self.HALF)
        self.heard_at[i] = now
        self.tries[i] = self.tries[i] * fade + tries
        self.voided[i] = self.voided[i] * fade + voided
        self.took[i] = self.took[i] * fade + took * (tries - voided)

    def part(self, i: int) -> float:
        return self.voided[i] / self.tries[i] if self.tries[i] else 0.0

    def pace(self, i: int) -> float:
        return self.took[i] / max(self.tries[i] - self.voided[i], 0.5)

    def judge(self, now: float, weight: dict[int, float]) -> None:
        """Step caps down on evidence, the worst worker first, and up again after a while of good evidence."""
        whole, lost = sum(weight.values()), sum(w * (1.0 - self.cap[i]) for i, w in weight.items())
        peers = [i for i in weight if self.cap[i] >= self.JAMMED_SHARE and self.tries[i] >= 1.0]
        if len(peers) < 2:
            return
        parts, pace = sorted(map(self.part, peers)), median(map(self.pace, peers))
        best, busy = parts[len(parts) // 4], median(parts) >= self.BUSY
        if (
            now < self.proven
        ):  # Danger: voids are reported late, so quick first answers are no proof of calm
            self.proven = now + self.proof if busy else min(self.proven, now + self.proof)
        if not busy:
            self.calm += self.LEARN * (pace - self.calm) if self.calm else pace
        elif not self.calm:
            return  # Danger: a manager that began in a jam would take the jammed for silent
        for i in sorted((i for i in weight if self.cap[i]), key=lambda i: -self.voided[i]):
            part, cap, settled = self.part(i), self.cap[i], self.tries[i] - self.voided[i]
            failing = self.voided[i] >= self.ENOUGH and part >= max(
                self.FAILING, self.CONTRAST * best
            )
            brisk = self.pace(i) <= self.PACE * self.calm
            late = settled >= self.PLENTY and 0.0 < self.LATE * pace <= self.pace(i)
            if failing and (brisk or settled < 0.5):
                cap = 0.0
            elif failing and not busy:
                cap, self.full[i] = min(cap, self.JAMMED_SHARE), self.WEAK_SHARE
            elif cap == 1.0 and not busy and late:
                cap = self.full[i] = self.WEAK_SHARE
            elif now >= self.due[i] and part <= self.WELL and settled >= 1.0 and brisk:
                cap = 1.0 if cap == self.full[i] else self.full[i]
            most = self.CUT_OFF if part >= self.SILENT and not cap else self.ceiling
            less = weight[i] * (self.cap[i] - cap)
            if not less or less > 0 and lost + less > most * whole:
                continue
            lost += less
            pause = {0.0: self.rest[i] * self.uniform(1, 1.2), self.WEAK_SHARE: self.WEAK}
            self.cap[i], self.due[i] = cap, now + pause.get(cap, self.TRIAL)
            if cap in (0.0, 1.0):
                self.rest[i] = self.REST if cap else min(2 * self.rest[i], self.REST_MOST)


class Gate:
    """How much of each product is let in: under overload the least revenue per work is refused first."""

    BEAT = 1.0  # seconds between steps: about the time in which a step's effect can be heard
    VOIDED, SLOW = (
        0.08,
        0.45,
    )  # median voided part, and settling time in SLA times, from which on is overload
    NEAR = (
        0.8  # of the bound on settling time: voids at a usual pace have other causes than overload
    )
    MOST = 0.4  # voided part that is overload at any pace: slow handshakes and lost answers stay below it
    CALM = 0.85  # of either bound: below it more is let in again (hysteresis)
    LESS = 0.7  # times what is let in for each beat in overload
    BACK, MORE = (
        1.25,
        1.04,
    )  # for each calm beat, up to near the share at which overload began, and beyond it
    KNEE, LEAST, FORGET = (
        0.5,
        0.5,
        0.98,
    )  # what is near it; of the best settled rate, the least and kept
    FLOOR, RECENT, SPARE = (
        0.05,
        16,
        1.5,
    )  # least let in; queues that tell a jam's end; a zone of three spare

    def __init__(self, products: tuple[TrafficClass, ...]) -> None:
        # Work is not told; the SLA time stands for it, as longer work is given more time.
        self.sla = [product.latency_objective for product in products]
        self.order = sorted(
            range(len(products)),
            key=lambda k: products[k].priority_weight / products[k].latency_objective,
        )
        self.asked = [1.0] * len(products)  # txns a second of each product, smoothed
        self.came = dict.fromkeys(
            (product.name for product in products), 0
        )  # txns since the last beat
        self.settled = self.rate = self.best = (
            0.0  # tries since the last beat; a second; the best of late
        )
        self.share, self.knee, self.last, self.calm = (
            1.0,
            1.0,
            inf,
            True,
        )  # the last two: of the last beat
        self.queues = deque[float](
            maxlen=self.RECENT
        )  # where workers tell how many txns wait at them

    def step(self, now: float, voided: float, pace: float) -> None:
        """Go by the median worker's voided part and pace, which a few bad workers don't move."""
        self.last = min(self.last, now)
        if now < self.last + self.BEAT:
            return
        span, self.last = now - self.last, now
        came = zip(self.asked, self.came.values(), strict=True)
        self.asked = [asked + (max(n, 0.1) / span - asked) / 2 for asked, n in came]
        self.rate += (self.settled / span - self.rate) / 2
        self.best = max(self.rate, self.FORGET * self.best)
        self.came, self.settled = dict.fromkeys(self.came, 0), 0
        # Few voids are overload only where txns also settle late: else workers or connections fail, not
        # room. Danger: with next to all voided there is no pace to go by.
        slow = pace / self.SLOW * sum(self.asked) / sum(self.work())
        # And voids told seconds late tell of a jam that is over, where nothing waits any more.
        idle = len(self.queues) == self.RECENT and median(self.queues) < 1.0
        stress = (
            0.0
            if idle
            else max(slow, voided / self.VOIDED * (slow >= self.NEAR or voided >= self.MOST))
        )
        if stress > 1.0:
            self.knee = self.share if self.calm else self.knee
            self.share = max(
                self.LESS * self.share, min(self.LEAST * self.best / sum(self.asked), 1.0)
            )
        elif stress < self.CALM:
            more = self.BACK if idle or self.share < self.KNEE * self.knee else self.MORE
            self.share = min(self.share * more, 1.0)
        self.calm = stress <= 1.0

    def work(self) -> list[float]:
        return [asked * sla for asked, sla in zip(self.asked, self.sla, strict=True)]

    def levels(self, serving: float = 1.0) -> list[float]:
        """Each product's share let in, in steps of a tenth so that small moves cost no orders."""
        work = self.work()
        rest, shares = (1.0 - min(self.share, self.SPARE * serving)) * sum(work), [1.0] * len(work)
        for k in self.order:
            refused = min(rest, (1.0 - self.FLOOR) * work[k])
            rest -= refused
            shares[k] = max(round(10 * (1.0 - refused / work[k])) / 10, self.FLOOR)
        return shares


class Balancer:
    """One manager's decisions."""

    WINDOW = 4  # versions: the paper's four status bits
    SILENT, LIFETIME = (
        3.0,
        2.0,
    )  # seconds for an answer beyond the channel's delay; to clearing: the design's
    LATENESS, STORM = (
        2.0,
        0.1,
    )  # seconds to a void's report; median voided part for each share a cold bears
    ROUGH = 0.1  # voided part of all tries from which cold workers wait outside: a load on the rise had 0.14
    STEP, RAISE = (
        0.25,
        5.0,
    )  # a fresh worker's first share and each raise, and seconds between: the design's
    TURN = 0.5  # seconds of drain that may wait at a change; twice or thrice at a bind, else four times
    ONLY_COLD = 0.3  # share let in while a table has but workers that should be out
    BEAT, ASK_WAIT = (
        0.25,
        0.5,
    )  # seconds between looks while busy; before the list is asked again, doubled
    HOT = 1.25  # times what is usually asked of a worker, from which on a small table gets one more: a raise

    def __init__(self, trade: ManagerSettings) -> None:
        self.uniform = Random(trade.seed).uniform
        self.products, self.usual_retry = len(trade.traffic_classes), trade.default_retry_policy
        self.ask_every, self.warm_after = (
            trade.safety_limits.list_poll_interval,
            trade.safety_limits.warm_up_time or 1e-6,
        )  # divides
        self.limits = trade.safety_limits
        steps = [n for n in range(1000) if n == 0 or n * self.RAISE < self.warm_after]
        # times its share, at the weakest moment of its slow start
        self.bears = min(
            self.limits.overload_multiple,
            *(self._bearable(n * self.RAISE) / self._part(n * self.RAISE) for n in steps),
        )
        self.may_probe, self.sliced, self.standing = (
            trade.can_check_health,
            trade.shard_count > 0,
            trade.initial_subset_size,
        )
        self.home = [
            k for k, product in enumerate(trade.traffic_classes) if product.same_zone_only
        ]  # their zone's alone
        self.each = (
            2.0 if 0 < len(self.home) < self.products else 1.0
        )  # lines for a worker: those apart
        self.fleet, self.account = Fleet(), Account(trade.channel)
        self.health = Health(
            self.uniform, max(p.deadline for p in trade.traffic_classes) + self.LATENESS
        )
        self.gate, self.admits = Gate(trade.traffic_classes), trade.admission_mode == "share"
        self.all_in = (
            1.0 if self.admits else 1e6
        )  # where levels are rates, a share of 1 would shut a proxy
        self.seating, self.current = Seating(self.products), dict[int, Table]()
        self.changes, self.armed = dict[int, Change](), set[float]()
        self.versions = self.last_mark = self.last_number = self.last_token = 0
        self.out, self.small = set[int](), list[Table]()  # the latter: over which all are dealt
        self.since = -inf  # who was written to before and has not answered is silent
        self.ask_at, self.ask_wait = -inf if trade.must_subscribe else inf, self.ASK_WAIT
        self.noted, self.told, self.scant = dict[int, float](), False, False
        self.barred: dict[int, float] = {}  # by worker, until when what was refused of it stays so
        self.kept: dict[int, float] = {}  # by product, until when levels stay after one was refused
        self.pins: dict[int, OverrideChanged] = {}  # by product, an operator's word
        self.means, self.parts = (
            PartitionLimitsChanged(Health.CEILING),
            dict[int, float](),
        )  # as planned last

    # Events: what is known.

    def _bearable(self, age: float) -> float:
        """The load that an endpoint of this age bears, of what a warm one does."""
        cold = self.limits.initial_capacity_fraction
        warmed = min(1.0, age / self.warm_after)
        return self.limits.overload_multiple * (cold + (1.0 - cold) * warmed)

    def _part(self, age: float) -> float:
        """The fraction of its weight that an endpoint of this age gets while it warms up."""
        begun = max(0, age // self.RAISE)
        step = min(1.0, self.STEP * (1 + begun))
        return max(0.01, min(step, self._bearable(begun * self.RAISE)))

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        if self.sliced:
            told, self.told = self.told, True
            return [] if told else [LogMessage("slices are not decided by this version")]
        for event in events:
            self._learn(now, event)
        return self._emit(now, self._plan(now))

    def _learn(self, now: float, event: Event) -> None:
        match event:
            case EndpointsUpdated(update_type="failed"):
                self.ask_at = now + self.ask_wait * self.uniform(0.5, 1.0)
                self.ask_wait = min(2 * self.ask_wait, max(self.ask_every / 4, self.ASK_WAIT))
            case EndpointsUpdated():
                self.ask_wait = self.ASK_WAIT
                held = self.seating.named() | self.out | self.barred.keys()
                for i, new in self.fleet.fold(event, held):
                    if new:
                        self.health.admit(i)
                        self.noted.pop(i, None)
                    self.health.start(i, 1.0, now)
            case ProxyConnected(proxy) | ProxyDisconnected(proxy):
                self.account.forget(proxy)
                self.seating.leave(proxy)
                for change in self.changes.values():
                    change.awaited.discard(proxy)
                if isinstance(event, ProxyConnected):
                    back = all(other.zone != event.zone for other in self.seating.proxies.values())
                    for i, zone in enumerate(self.fleet.zones if back else ()):
                        if zone == event.zone and not self.health.cap[i]:
                            self.health.start(
                                i, 1.0, now
                            )  # first proxy back: the zone is in reach again
                    self.seating.join(proxy, event.zone, event.requests_per_second)
            case Acknowledged(proxy, mark, took) if mark in self.account.asked.get(proxy, ()):
                passed = self.account.heard(proxy, mark, took)
                self.seating.answered(proxy, passed)
                for change in self.changes.values():
                    change.awaited -= {proxy} if change.mark in passed else set()
            case EndpointReported(worker=worker) if worker in self.fleet.index:
                i = self.fleet.index[worker]
                self.gate.settled += (event.attempts - event.failed) * event.local
                self.gate.queues.extend(
                    [event.load["queue"]] if self.scant and "queue" in event.load else ()
                )
                if self.health.cap[i]:
                    self.health.met(i, now, event.attempts, event.failed, event.latency)
            case HealthCheckCompleted(worker=worker) if worker in self.fleet.index:
                if not self.health.cap[i := self.fleet.index[worker]]:
                    share, pause = (
                        (Health.TRIAL_SHARE, Health.TRIAL) if event.healthy else (0.0, Health.AGAIN)
                    )
                    self.health.start(i, share, now + pause)
            case DemandReported(traffic_class=name) if name in self.gate.came:
                self.gate.came[name] += event.requests
            case OrderRejected(order=order):
                self._refused(now, order)
            case OverrideChanged(k):
                self.pins[k] = event
            case PartitionLimitsChanged():
                self.means, self.health.ceiling = event, event.max_ejected_fraction

    def _refused(self, now: float, order: Order) -> None:
        """The order was not carried out: go by what is, and leave it for the time of a raise."""
        tables, proxies = self.seating.tables, self.seating.proxies
        match order:
            case SetWeight(tbl, worker) if worker in self.fleet.index:
                self.barred[i := self.fleet.index[worker]] = now + self.RAISE
                if tbl in tables:
                    tables[tbl].shares.pop(i, None), tables[tbl].parts.pop(i, None)
            case AssignTable(proxy, products, tbl) if proxy in proxies:
                # Danger: a joiner left bare for a raise, having come before the list, at an empty table.
                empty = tbl in tables and not tables[tbl].shares
                proxies[proxy].wait = now + (self.BEAT if empty else self.RAISE)
                self.seating.drop(proxy, products, tbl)
            case SetEjected(worker, out) if worker in self.fleet.index:
                self.barred[i := self.fleet.index[worker]] = now + self.RAISE
                (self.out.discard if out else self.out.add)(i)
            case SetAdmission(tbl, k) if k < self.products:
                self.kept[k] = now + self.RAISE
                if tbl in tables:
                    tables[tbl].levels[k] = tables[tbl].were.get(k, (self.all_in, self.usual_retry))
            case DeleteTable(tbl):  # Danger: a number in use would be given out again
                tables.setdefault(tbl, Table(tbl, {}, {}, []))

    # The wanted state.

    def _plan(self, now: float) -> Wanted:
        fleet, health = self.fleet, self.health
        told = [w for w, ready in zip(fleet.weight, fleet.ready, strict=True) if ready and w] or [
            1.0
        ]
        weight = {
            i: fleet.weight[i] or sum(told) / len(told)
            for i, ready in enumerate(fleet.ready)
            if ready
        }
        health.judge(now, weight)
        parts, most = {}, {}
        heard = [i for i in weight if health.cap[i] and health.tries[i] >= 1.0]
        voided = median(map(health.part, heard)) if heard else 0.0
        storm = now < health.proven or voided >= self.STORM * self.bears
        # Word of a storm comes seconds late: no other cold worker is let in while tries fail anywhere.
        tries, voids = (sum(column[i] for i in heard) for column in (health.tries, health.voided))
        rough = not self.gate.calm or voids >= self.ROUGH * tries > 0.0
        tables = [
            *self.seating.in_use(),
            *self.current.values(),
            *(c.table for c in self.changes.values()),
        ]
        inside = (
            set[int]().union(*(table.parts for table in tables)) - self.out if rough else self.out
        )
        for i in weight:
            if not health.cap[i] and health.due[i] <= now and not self.may_probe:
                health.start(i, Health.TRIAL_SHARE, now + Health.TRIAL)
            age, cap = now - fleet.since[i], health.cap[i]
            part = self._part(age) if age < self.warm_after else 1.0
            parts[i] = min(
                part, cap or Health.TRIAL_SHARE
            )  # ahead of its trial, which then needs no change
            if (
                not self.means.may_change_weights
                or not self.means.may_raise_weights
                and age < self.warm_after
            ):  # cut off
                parts[i] = min(
                    parts[i] if self.means.may_change_weights else part, self.parts.get(i, part)
                )
            # Danger: a storm of repeats brings cold workers many times their share, more so to a new manager.
            most[i] = cap if cap < Health.JAMMED_SHARE else inf
            shut = storm or i not in inside and rough
            most[i] = min(most[i], inf if age >= self.warm_after else 0.0 if shut else part)
        self._advance(now)
        shares = [self.all_in] * self.products
        if self.admits and heard:
            self.gate.step(now, voided, median(map(health.pace, heard)))
            shares = self.gate.levels(
                sum(weight[i] for i in weight.keys() - self.out) / sum(weight.values())
            )
        # Danger: an effect twice. Only on proof that none ran; not in overload or before a calm was seen.
        retry = min(self.usual_retry, 1) if health.calm and min(shares) >= 1.0 else 0
        # Danger: a cold worker pushed over, a drained one sent to. Out while any table gives it too much.
        given = [*(table.parts for table in tables), parts]
        easy = {i for i, part in most.items() if part == inf}
        out = {i for held in given for i in held.keys() - easy if held[i] > most.get(i, 0.0)}
        plain = {i: w * parts[i] for i, w in weight.items() if self.barred.get(i, 0.0) <= now}
        wanted = [self._pinned(k, plain, parts, out) for k in range(self.products)]
        for (
            table
        ) in tables:  # Danger: nobody left. Where all of a table are out, the cold come in, or any
            current = table in self.current.values()
            ready = table.parts.keys() & weight.keys() or (weight.keys() if current else set())
            if ready and ready <= out:
                out -= {i for i in ready if most[i] < inf and health.cap[i]} or ready
                shares = [min(s, self.ONLY_COLD * self.all_in) if current else s for s in shares]
            for near in self.fleet.by_zone(ready).values() if self.home else ():
                warm = [i for i in near if now - fleet.since[i] >= self.warm_after]  # one will do
                out -= (
                    {min(warm, key=lambda i: (health.part(i), i))}
                    if warm and near <= out
                    else set()
                )
        self.barred, self.parts = {i: at for i, at in self.barred.items() if at > now}, parts
        return Wanted(wanted, parts, [(share, retry) for share in shares], out)

    def _pinned(
        self, k: int, plain: dict[int, float], parts: dict[int, float], out: set[int]
    ) -> dict[int, float]:
        """A product's shares as pinned: other weights, the same ramp. Danger: all its workers out."""
        pin = self.pins.get(k, OverrideChanged(k))
        weights = {
            self.fleet.index[w]: weight for w, weight in pin.weights if w in self.fleet.index
        }
        if not weights and pin.keep_unlisted:
            return plain
        given = {
            i: weight * parts[i]
            for i, weight in weights.items()
            if weight is not None and i in plain
        }
        shares = {
            i: n for i, n in {**plain, **given}.items() if n and (pin.keep_unlisted or i in weights)
        }
        return plain if out >= shares.keys() else shares

    def _advance(self, now: float) -> None:
        """Move each change on as far as answers and timers let it."""
        patience = (
            self.SILENT
            + self.account.waits / self.account.rate
            + 2 * self.account.channel.transit_time
        )
        self.since = now - patience
        for k, change in list(self.changes.items()):
            if change.asked_at <= self.since:
                change.awaited.clear()  # silent proxies leave the awaited set
            if change.bound and not self.seating.lagging(k, change.old, change.table, self.since):
                change.old.clear_at = (
                    now + self.LIFETIME if change.old not in self.current.values() else inf
                )
                del self.changes[k]

    # The difference, and the only place that orders.

    def _emit(self, now: float, wanted: Wanted) -> list[Order]:
        self.last_mark = free(self.last_mark, self.account.sent)
        reply, wants, health = Reply(self.account, now, self.last_mark), wanted.shares, self.health
        for i in wanted.parts:
            if health.cap[i] != self.noted.get(i, 1.0):
                self.noted[i] = health.cap[i]
                reply.orders.append(
                    LogMessage(
                        f"{self.fleet.ids[i]} to {health.cap[i]}: {health.part(i):.2f} of {health.tries[i]:.0f} "
                        f"tries voided, pace {health.pace(i):.2f} s"
                    )
                )
            if (
                self.may_probe
                and not health.cap[i]
                and health.due[i] <= now
                and i not in self.barred
            ):
                health.due[i] = inf  # until the probe's result
                reply.orders.append(CheckHealth(self.fleet.ids[i]))
        if not self.current:
            laid = {n: self._lay(reply, wanted, w) for n, w in {id(w): w for w in wants}.items()}
            self.current = {k: laid[id(want)] for k, want in enumerate(wants)}
        lines = (max(map(len, wants)) + 2.0) * len(self.seating.proxies)
        crowded = self.products * lines > self.TURN * self.account.rate
        # Departure: where one table to all takes longer than a ramp, small ones stay, and are kept up.
        self.scant = (
            crowded and len({*map(id, wants)}) == 1 and lines > self.warm_after * self.account.rate
        )
        if crowded:
            self._rescue(reply, wanted)
        self._withdraw(reply, wanted)
        self._level(reply, wanted)
        size = [
            have != want and sum(abs(want.get(i, 0.0) - have.get(i, 0.0)) for i in {**have, **want})
            for have, want in ((self.current[k].shares, want) for k, want in enumerate(wants))
        ]
        largest = sorted(range(self.products), key=lambda k: -size[k])
        everyone = self._begin(reply, wanted, [k for k in largest if size[k]], crowded)
        if self.scant and not reply.full(self.TURN):
            self._tend(reply, wanted)
        self._switch(reply, largest, crowded)
        reply.orders.extend(
            map(DeleteTable, self.seating.cleared(now))
        )  # no line: nobody is bound there
        if reply.lines:
            reply.orders.append(RequestAcknowledgement(reply.mark, everyone))
            self.account.book(reply.mark, now, reply.lines)
        if self.ask_at <= now:
            self.ask_at = inf
            reply.orders.append(WatchEndpoints())
        self._wake(reply, wanted)
        return reply.orders

    def _cost(self, table: Table) -> float:  # lines of a bind to it
        return (
            self.products
            + self.each * (1.0 + len(table.shares))
            + len(self.out & table.shares.keys())
        )

    def _bind(
        self,
        reply: Reply,
        p: int,
        products: tuple[int, ...],
        table: Table,
        rank: int,
        budget: float = inf,
    ) -> bool:
        if spent := reply.spend((p,), self._cost(table), rank, budget):
            reply.orders.append(AssignTable(p, products, table.number))
            self.seating.bind(p, products, table, reply.mark, reply.now)
        return spent

    def _rescue(self, reply: Reply, wanted: Wanted) -> None:
        """Danger: nobody left, or drains late, while whole tables or a mass of withdrawals take long. Joiners
        and who loses all workers, or more than the lines it costs, are sent a small table first."""
        fresh, few = wanted.out - self.out, 1 + self.products + self.standing
        mass = len(fresh) * len(self.seating.proxies) > 3 * self.TURN * self.account.rate
        usable = wanted.parts.keys() - wanted.out - self.barred.keys()
        whole = self.current[0] if len(set(self.current.values())) == 1 and not self.scant else None
        bare, bears, least = list[Collection[int]](), dict[Table, float](), 0.0
        near = self.fleet.by_zone(usable) if self.home else {}
        for tops, members in self.seating.groups.items():
            top = [table.shares.keys() for table in dict.fromkeys(tops) if table]
            if (
                not top
                or usable
                and any(usable.isdisjoint(t) or mass and len(t & fresh) > few for t in top)
            ):
                bare.append(members)
            elif near:
                bare.append(
                    [p for p in members if self.seating.far(p, near, [tops[k] for k in self.home])]
                )
        for p in self.seating.in_order(bare):
            joiner = not any(self.seating.proxies[p].tops)
            if (
                whole
                and joiner
                and not reply.full(self.TURN, p)
                and self._bind(reply, p, tuple(self.current), whole, 1, self.TURN)
            ):
                continue  # a short queue carries it whole at once
            bears = bears or self._dealt(reply, wanted)
            least = least or reply.head + min(map(self._cost, bears))
            if not reply.fits(least, 0):
                break
            table = min(
                bears,
                key=lambda table: (
                    self.seating.far(p, near, [table]),
                    (table.load + self.seating.proxies[p].rate) / bears[table],
                ),
            )
            if (
                not near or table is not self.seating.proxies[p].tops[0]
            ):  # kept up in place, see _tend
                self._bind(reply, p, tuple(range(self.products)), table, 0)

    def _dealt(self, reply: Reply, wanted: Wanted) -> dict[Table, float]:
        """By small table what its workers bear. The best workers are dealt anew, each manager shuffling for
        itself, once all small tables bear less than half of it, or one that nobody uses holds others."""
        want, used = wanted.common(), [table for table in self.small if table.users]
        best = [i for i in want if i not in wanted.out and (self.home or wanted.parts[i] == 1.0)]
        best = best or [i for i in want if i not in wanted.out] or list(want)
        zones = (
            self.fleet.by_zone(best).values() if self.home else ()
        )  # somebody of every zone is in each
        stale = any(
            not table.parts.keys() <= set(best) for table in self.small if not table.users
        ) or any(all(near.isdisjoint(table.shares) for table in self.small) for near in zones)
        if (
            stale
            or 2 * sum(map(wanted.bears, self.small)) < sum(want[i] for i in best)
            or not self.small
        ):
            self.seating.retire(self.small, reply.now)
            best.sort(
                key=lambda i: (self.fleet.zones[i] if self.home else "", self.uniform(0.0, 1.0))
            )
            count = min([-(-len(best) // self.standing) or 1, *map(len, zones)])
            dealt = ({i: want[i] for i in best[n::count]} for n in range(count))
            self.small = used + [self._lay(reply, wanted, part) for part in dealt]
        return {table: wanted.bears(table) for table in self.small}

    def _tend(self, reply: Reply, wanted: Wanted) -> None:
        """Small tables follow in place. A worker that is in none joins where most is asked, and one of which
        least is asked where that is HOT times the usual."""
        want, tables = wanted.common(), [table for table in self.small if table.users]
        for table in tables:  # tells what is left for want of messages
            if not self.seating.lagging(0, table, table, self.since):
                reply.price(self.seating.bound(table), self.each, 3, self.TURN)
        live = {i: share for i, share in want.items() if i not in wanted.out}
        asks = {table: table.load / wanted.bears(table) for table in tables}
        usual, asked = (
            sum(t.load for t in tables) / (sum(live.values()) or 1.0),
            dict.fromkeys(live, 0.0),
        )
        for table in tables:
            asked.update({i: asked[i] + asks[table] for i in table.shares.keys() & live.keys()})
        new, least = [i for i in live if not asked[i]], sorted(live, key=lambda i: asked[i])
        for table in sorted(tables, key=lambda table: -asks[table]):
            lines = {i: want[i] for i in table.shares if i in want}
            hot = self.HOT * usual < asks[table]
            zones = self.fleet.by_zone(lines) if self.home else {}
            far = next((i for i in least if zones and self.fleet.zones[i] not in zones), None)
            more = (
                far
                if far is not None
                else new.pop(0)
                if new
                else next((i for i in least if hot and i not in lines), None)
            )
            if more is not None:
                lines[more], asked[more] = want[more], asked[more] + asks[table]
            if (
                lines != table.shares
                and not reply.full(self.TURN)
                and not self.seating.lagging(0, table, table, self.since)
            ):
                self._amend(reply, wanted, table, lines)

    def _withdraw(self, reply: Reply, wanted: Wanted) -> None:
        """Withdrawals first, without stages, the rules' ahead. Danger: all else in a slow channel's way."""
        moved = wanted.out ^ self.out
        users = self.seating.naming(moved)
        in_order = sorted(moved, key=lambda i: (i in wanted.parts, i))
        all_ruled = [
            i
            for i in in_order
            if i not in self.barred
            and i in wanted.out
            and (i not in wanted.parts or self.health.cap[i] > 0.0)
        ]
        most = self.account.channel.max_queued_entries * (1.0 - Account.KEPT_BACK[0])
        possible = [i for i in all_ruled if sum(map(len, users[i])) * (1.0 + reply.head) <= most]
        together = self._together(reply, [[*chain.from_iterable(users[i])] for i in possible])
        later = possible[together:]
        reply.ruled_only = bool(later)
        for i in in_order:
            if i in later:
                continue
            ruled = i in all_ruled
            rank, budget = (0, inf) if ruled else (1, 4 * self.TURN)
            if (
                i not in self.barred
                and reply.fits(sum(map(len, users[i])), rank)
                and reply.spend([*chain.from_iterable(users[i])], 1.0, rank, budget)
            ):
                reply.orders.append(SetEjected(self.fleet.ids[i], i in wanted.out))
                self.out ^= {i}

    def _together(self, reply: Reply, users: list[list[int]]) -> int:
        """How many of these, each with its proxies, go now: the most that a short queue would
        take, all at once or none.
        """
        most = self.account.channel.max_queued_entries * (1.0 - Account.KEPT_BACK[0])

        def lines(count: int) -> float:
            proxies = {p for who in users[:count] for p in who}
            return sum(map(len, users[:count])) + reply.head * len(proxies - reply.lines.keys())

        count = len(users)
        while count > 1 and lines(count) > most - self.TURN * self.account.rate:
            count -= 1
        return count if lines(count) <= most - self.account.waits - reply.spent else 0

    def _level(self, reply: Reply, wanted: Wanted) -> None:
        for (k, table), groups in self.seating.by_top().items():
            if (
                table.levels[k] != wanted.levels[k]
                and reply.now >= self.kept.get(k, 0.0)
                and reply.spend([*chain.from_iterable(groups)], 1.0, 2, 4 * self.TURN)
            ):
                table.were[k], table.levels[k] = table.levels[k], wanted.levels[k]
                reply.orders.append(
                    SetAdmission(table.number, k, table.levels[k][1], table.levels[k][0])
                )

    def _begin(self, reply: Reply, wanted: Wanted, largest: list[int], crowded: bool) -> bool:
        """Begin changes, laid where nobody is bound; tells if all are asked. Departure: where all tables to
        all proxies exceed a turn's drain, equal products share one, and only differences go (paper, V-G)."""
        wants, everyone, groups = wanted.shares, False, dict[int, list[int]]()
        for k in largest if not reply.full(self.TURN) else ():
            if k not in self.changes:
                groups.setdefault(id(wants[k]) if crowded else k, []).append(k)
        for group in groups.values():
            olds, table, want = (
                {k: self.current[k] for k in group},
                self.current[group[0]],
                wants[group[0]],
            )
            apart = any(held is table and wants[k] is not want for k, held in self.current.items())
            if crowded and len(set(olds.values())) == 1 and not apart:
                if not self._amend(reply, wanted, table, want):
                    continue
            elif reply.spend(self.seating.proxies, 0.0, 3, self.TURN):
                table, everyone = self._lay(reply, wanted, want), True
            else:
                continue
            for k in group:
                self.versions, bound = self.versions + 1, table is olds[k]
                awaited = set() if bound else set(self.seating.proxies)
                self.changes[k] = Change(
                    self.versions, table, olds[k], reply.mark, reply.now, awaited, bound
                )
        return everyone

    def _amend(self, reply: Reply, wanted: Wanted, table: Table, want: dict[int, float]) -> bool:
        """Lines of a table in place, as many as a turn's drain carries to all that are bound to it."""
        bound = self.seating.bound(table)
        lines = (2 * self.TURN * self.account.rate - self.account.waits) / max(len(bound), 1)
        most = max(1, int((lines - self.account.channel.message_overhead) / self.each))
        moved = self._moved(table, want, wanted.out)[:most]
        # Who is out gets nothing whatever its line says: it waits for a message that goes anyway.
        idly = not any(i in want and self.health.cap[i] for i in moved) and any(
            p not in reply.lines for p in bound
        )
        if not moved or idly or not reply.spend(bound, self.each * len(moved), 3, self.TURN):
            return False
        for i in moved:
            reply.orders.append(SetWeight(table.number, self.fleet.ids[i], want.get(i, 0.0)))
            table.shares[i], table.parts[i] = want.get(i, 0.0), wanted.parts.get(i, 0.0)
            if i not in want:
                del table.shares[i], table.parts[i]
        self.seating.amended(table, bound, reply.mark, reply.now)
        return True

    def _switch(self, reply: Reply, largest: list[int], crowded: bool) -> None:
        """Ready changes become current within the window; then whoever is on another table is bound."""
        for k, change in self.changes.items():
            older = [c for c in self.changes.values() if c.version < change.version - self.WINDOW]
            if not change.bound and not change.awaited and not any(c.awaited for c in older):
                change.bound, self.current[k] = True, change.table
        for joiners in (True, False)[crowded:] if not self.scant else ():
            rank, budget = (1, 2 * self.TURN) if joiners else (3, (3 if crowded else 2) * self.TURN)
            for table in dict.fromkeys(self.current[k] for k in largest):
                others, cost = (
                    dict[Tops, tuple[int, ...]](),
                    self._cost(table),
                )  # what of it is to be bound
                for tops in self.seating.groups if reply.fits(cost, rank) else ():
                    other = tuple(
                        k for k, now in self.current.items() if now is table is not tops[k]
                    )
                    if other and joiners != (tops[other[0]] is not None):
                        others[tops] = other
                for p in self.seating.in_order(self.seating.groups[tops] for tops in others):
                    proxy = self.seating.proxies[p]
                    begun = (
                        crowded and proxy.bound_at == reply.now
                    )  # with a small table in this very reply
                    if not (
                        begun or reply.full(budget, p) or proxy.wait > reply.now
                    ):  # its last was refused
                        self._bind(reply, p, others[proxy.tops], table, rank, budget)
                    if not reply.fits(cost, rank):
                        break

    def _lay(self, reply: Reply, wanted: Wanted, shares: dict[int, float]) -> Table:
        self.last_number = number = free(self.last_number, self.seating.tables)
        parts = {i: wanted.parts.get(i, 1.0) for i in shares}
        table = Table(number, dict(shares), parts, list(wanted.levels))
        self.seating.tables[number] = table
        reply.orders.extend(
            SetWeight(number, self.fleet.ids[i], share) for i, share in table.shares.items()
        )
        for k, (share, retry) in enumerate(table.levels):
            if (share, retry) != (self.all_in, self.usual_retry):
                reply.orders.append(SetAdmission(number, k, retry, share))
        return table

    def _moved(self, table: Table, want: dict[int, float], out: set[int]) -> list[int]:
        """Workers whose line differs, the largest first; those taken away, who are withdrawn by now, last."""
        have = table.shares
        # Danger: a new line for one that must stay out, as nobody may have been told of its withdrawal.
        moved = {i for i in {**have, **want} if have.get(i) != want.get(i)} - (out - have.keys())
        return sorted(
            moved, key=lambda i: (i not in want, -abs(want.get(i, 0.0) - have.get(i, 0.0)), i)
        )

    def _wake(self, reply: Reply, wanted: Wanted) -> None:
        """One timer at the next time at which something is due of itself."""
        now, busy = (
            reply.now,
            self.changes or self.account.sent or reply.left or wanted.out ^ self.out,
        )
        due = [
            now + self.BEAT if busy or self.seating.ending() else inf,
            self.ask_at,
            *self.barred.values(),
        ]
        due += [
            max(self.health.due[i], now + self.BEAT) for i in wanted.parts if not self.health.cap[i]
        ]
        ages = (now - self.fleet.since[i] for i in wanted.parts)
        due += [now + self.RAISE - age % self.RAISE for age in ages if age < self.warm_after]
        self.armed = {at for at in self.armed if at > now}
        if min(due) < min(self.armed, default=inf):
            self.last_token += 1
            self.armed.add(min(due))
            reply.orders.append(SetTimer(min(due) - now, self.last_token))
