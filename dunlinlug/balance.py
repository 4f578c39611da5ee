"""All decisions of a manager: which worker each proxy may use, at what share, and when orders go out.

Call `Balancer(trade)` once at the start of an instance, then `decide(now, events)` for each batch, with the
clock in float seconds; it returns the orders in the order in which they are to take effect. Events, orders and
what is read at start are plain types in `dunlinlug/interface.py`. The module reads no clock and does no I/O.

Inside, events change what is known; `_plan` turns that into a wanted state (who is out, which table each product
should be on, what is asked and timed); `_emit` alone works out the difference to the present state and orders it.
`docs/design.md` tells how this follows CCU, the concurrent two-phase update, and where it departs from it.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from random import Random
from statistics import median

from dunlinlug import interface as face


class Fleet:
    """The listed workers, in parallel arrays under an index that a worker keeps for good."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.weight: list[float | None] = []
        self.since: list[float] = []

    def fold(self, news: face.Listed) -> list[int]:
        """Take in news of the list; tells which workers are new or have a new start."""
        if news.form in ("whole", "kept"):
            named = {entry.id for entry in news.workers}
            self.ready = [ready and name in named for name, ready in zip(self.ids, self.ready, strict=True)]
        fresh = []
        for entry in news.workers:
            i = self.index.setdefault(entry.id, len(self.ids))
            since = -inf if entry.since is None else entry.since
            if i == len(self.ids):
                for column, value in ((self.ids, entry.id), (self.zones, entry.zone), (self.ready, False),
                                      (self.weight, None), (self.since, since)):
                    column.append(value)
                fresh.append(i)
            elif since > self.since[i]:
                self.since[i] = since
                fresh.append(i)
            self.zones[i], self.weight[i], self.ready[i] = entry.zone, entry.weight, entry.state == "ready"
        return fresh

    def listed_weight(self) -> dict[int, float]:
        """The weight of each ready worker: as listed, or the average where the list tells none."""
        told = [w for w, ready in zip(self.weight, self.ready, strict=True) if ready and w]
        return {i: self.weight[i] or sum(told) / len(told) if told else 1.0
                for i, ready in enumerate(self.ready) if ready}


@dataclass
class Sent:
    """One reply's messages: their stretch of the channel's lines, what had left it then, who has yet to answer."""

    start: float
    end: float
    left: float
    awaited: set[int]


class Account:
    """The channel account: how many lines may still wait, by what has been ordered and what answers show."""

    SAMPLE = 0.1  # seconds of usual drain below which an answer's time is mostly the way, not the channel
    SLOWEST = 0.1  # of the usual pace; below this an estimate would stop ordinary orders altogether

    def __init__(self, channel: face.Channel) -> None:
        self.channel = channel
        self.rate = channel.lines_per_s
        self.issued = 0.0  # lines ordered since the start
        self.left = 0.0  # of these, surely out of the channel
        self.sent: dict[int, Sent] = {}  # marks whose answers are awaited, oldest first
        self.written: dict[int, deque[float]] = {}  # when each joined proxy was written a message

    def waiting(self) -> float:
        return self.issued - self.left

    def delay(self) -> float:
        """How long what is ordered now will take to be answered, about."""
        return self.waiting() / self.rate + 2 * self.channel.transit

    def messages_left(self, proxy: int, now: float) -> int:
        if not self.channel.messages_most:
            return 1 << 30
        times = self.written.setdefault(proxy, deque())
        while times and times[0] <= now - self.channel.messages_span - 0.05:
            times.popleft()
        return self.channel.messages_most - len(times)

    def book(self, number: int, now: float, lines: dict[int, float]) -> None:
        start = self.issued
        self.issued += sum(lines.values())
        self.sent[number] = Sent(start, self.issued, self.left, set(lines))
        for proxy in lines:
            self.written.setdefault(proxy, deque()).append(now)

    def answered(self, proxy: int, number: int, took: float) -> None:
        self.left = max(self.left, self.sent[number].start)  # the channel keeps the order
        for earlier in self.upto(number):
            self._settle(earlier, proxy, took if earlier == number else None)

    def upto(self, number: int) -> list[int]:
        marks = list(self.sent)
        return marks[: marks.index(number) + 1]

    def forget(self, proxy: int) -> None:
        self.written.pop(proxy, None)
        for number in list(self.sent):
            self._settle(number, proxy, None)

    def _settle(self, number: int, proxy: int, took: float | None) -> None:
        sent = self.sent[number]
        sent.awaited.discard(proxy)
        if sent.awaited:
            return
        del self.sent[number]
        self.left = max(self.left, sent.end)
        lines = sent.end - sent.left
        if took is not None and lines >= self.SAMPLE * self.channel.lines_per_s:
            seen = lines / max(took - self.channel.transit, 0.001)
            blend = (self.rate + seen) / 2
            self.rate = min(max(blend, self.SLOWEST * self.channel.lines_per_s), self.channel.lines_per_s)


class Health:
    """Judges workers by what proxies met, in contrast to the others and to what is usual for them."""

    HALF = 0.8  # seconds in which evidence loses half its weight: a report cycle or two
    ENOUGH = 3.0  # voided tries before a worker is judged: fewer happen by chance
    FAILING = 0.35  # voided part of the tries from which a worker is failing ...
    CONTRAST = 3.0  # ... if also this many times the best quarter's part, so that overload condemns none ...
    PACE = 1.6  # ... and what it settles takes at most this many times as usual: more, and it is only overfull
    SILENT = 0.9  # from this voided part on a failing worker is withdrawn at any pace
    WELL = 0.15  # voided part up to which a worker is raised again (hysteresis)
    BUSY = 0.08  # median voided part from which no slow worker's share is moved: the others have no room
    SPENT = 0.6  # of its usual settled tries: a failing worker that settles less is slow, one above is overfull
    LEARN = 0.03  # of each report goes into what is usual: dozens of reports
    CEILING = 0.4  # of the ready weight may be lost to health: a zone of three ...
    CUT_OFF = 0.8  # ... but for silent ones, if a quarter of the fleet does well: zones cut off or lost
    TRIAL = 3.0  # seconds at the trial's share before the full one: a few report cycles with their lateness
    TRIAL_SHARE = 0.25  # of its listed weight, which a cold or a four times slower worker can bear
    JAMMED_SHARE = 0.5  # for one that settles little, at a poor pace: it may be slow or overfull
    REST, REST_MOST = 4.0, 16.0  # seconds out before a trial, doubled by each that fails: about a trouble's length

    def __init__(self, random: Random) -> None:
        self.uniform = random.uniform
        self.calm = 0.0  # the median worker's pace when few void
        self.tries: list[float] = []  # decayed, as are the next two
        self.voided: list[float] = []
        self.took: list[float] = []  # seconds times settled tries
        self.usual: list[float] = []  # settled tries when all is well
        self.heard_at: list[float] = []
        self.cap: list[float] = []  # the most of its listed weight; 0 when withdrawn
        self.due: list[float] = []  # when the next step up, or the trial, may come
        self.rest: list[float] = []

    def grow(self, size: int) -> None:
        for _ in range(size - len(self.tries)):
            for column in (self.tries, self.voided, self.took, self.usual, self.heard_at, self.due):
                column.append(0.0)
            self.cap.append(1.0)
            self.rest.append(self.REST)

    def reset(self, i: int) -> None:
        self.tries[i] = self.voided[i] = self.took[i] = 0.0
        self.cap[i], self.rest[i] = 1.0, self.REST

    def met(self, i: int, now: float, tries: int, voided: int, took: float) -> None:
        fade = 0.5 ** ((now - self.heard_at[i]) / self.HALF)
        self.heard_at[i] = now
        self.tries[i] = self.tries[i] * fade + tries
        self.voided[i] = self.voided[i] * fade + voided
        self.took[i] = self.took[i] * fade + took * (tries - voided)
        settled = self.tries[i] - self.voided[i]
        if self.cap[i] == 1.0 and settled > self.voided[i]:
            self.usual[i] += self.LEARN * (settled - self.usual[i]) if self.usual[i] else settled

    def part(self, i: int) -> float:
        return self.voided[i] / self.tries[i] if self.tries[i] else 0.0

    def pace(self, i: int) -> float:
        return self.took[i] / max(self.tries[i] - self.voided[i], 0.5)

    def out(self, i: int) -> bool:
        return self.cap[i] == 0.0

    def judge(self, now: float, weight: dict[int, float]) -> None:
        """Step caps down on evidence, the worst worker first, and up again after a while of good evidence."""
        whole, lost = sum(weight.values()), sum(w * (1.0 - self.cap[i]) for i, w in weight.items())
        peers = [i for i in weight if self.cap[i] >= 0.5 and self.tries[i] >= 1.0]
        if len(peers) < 2:
            return
        parts = sorted(map(self.part, peers))
        usual_part, busy = parts[len(parts) // 4], median(parts) >= self.BUSY
        if not busy:
            pace = median(map(self.pace, peers))
            self.calm += self.LEARN * (pace - self.calm) if self.calm else pace
        for i in sorted((i for i in weight if self.cap[i]), key=lambda i: -self.voided[i]):
            part, cap = self.part(i), self.cap[i]
            failing = self.voided[i] >= self.ENOUGH and part >= max(self.FAILING, self.CONTRAST * usual_part)
            settled, brisk = self.tries[i] - self.voided[i], self.pace(i) <= self.PACE * self.calm
            if failing and (brisk or settled < 0.5):
                cap = 0.0
            elif failing and not busy and settled < self.SPENT * self.usual[i]:
                cap = min(cap, self.JAMMED_SHARE)
            elif now >= self.due[i] and part <= self.WELL and settled >= 1.0 and brisk:
                cap = 1.0
            most = self.CUT_OFF if part >= self.SILENT and not cap else self.CEILING
            if cap == self.cap[i] or cap < self.cap[i] and lost + weight[i] * (self.cap[i] - cap) > most * whole:
                continue
            lost += weight[i] * (self.cap[i] - cap)
            self.due[i] = now + (self.TRIAL if cap else self.rest[i] * self.uniform(1.0, 1.2))
            if not cap:
                self.rest[i] = min(2 * self.rest[i], self.REST_MOST)
            elif cap == 1.0:
                self.rest[i] = self.REST
            self.cap[i] = cap

    def regain(self, workers: Iterable[int]) -> None:
        for i in filter(self.out, workers):
            self.reset(i)

    def begin_trial(self, i: int, now: float) -> None:
        self.cap[i], self.due[i] = self.TRIAL_SHARE, now + self.TRIAL
        self.tries[i] = self.voided[i] = self.took[i] = 0.0


class Gate:
    """How much of each product is let in: under overload the least revenue per work is refused first."""

    BEAT = 1.0  # seconds between steps: about the time in which a step's effect can be heard
    VOIDED = 0.12  # median voided part of the tries taken for overload: above what a few bad workers cause
    SLOW = 0.75  # median settling time, in SLA times, taken for overload
    CALM = 0.6  # of either bound: below it more is let in again (hysteresis)
    LESS = 0.9  # times what is let in for each beat in overload
    BACK, MORE = 1.3, 1.1  # for each calm beat, up to what the fleet has settled at best, and beyond that
    LEAST = 0.5  # of the best settled rate is let in at least: a jam settles little, but not for want of capacity
    FORGET = 0.98  # of the best settled rate is kept each beat: half a minute or so
    FLOOR = 0.05  # least share let in of a product: what comes through shows how it fares

    def __init__(self, products: tuple[face.Product, ...]) -> None:
        # Work is not told; the SLA time stands for it, as longer work is given more time.
        self.products = products
        self.order = sorted(range(len(products)), key=lambda k: products[k].revenue / products[k].sla)
        self.asked = [1.0] * len(products)  # txns a second of each product, smoothed
        self.came = [0.0] * len(products)  # txns since the last beat
        self.names = {product.name: k for k, product in enumerate(products)}
        self.settled = self.rate = self.best = 0.0  # since the last beat; a second, smoothed; the best of late
        self.target = inf  # txns a second to let in
        self.last = inf

    def step(self, now: float, voided: float, pace: float) -> None:
        """Move what is let in by the median worker's voided part and pace, which a few bad workers don't move."""
        self.last = min(self.last, now)
        if now < self.last + self.BEAT:
            return
        span, self.last = now - self.last, now
        self.asked = [a + (max(came, 0.1) / span - a) / 2 for a, came in zip(self.asked, self.came, strict=True)]
        self.rate += (self.settled / span - self.rate) / 2
        self.best = max(self.rate, self.FORGET * self.best)
        self.came, self.settled = [0.0] * len(self.products), 0.0
        sla = sum(a * product.sla for a, product in zip(self.asked, self.products, strict=True)) / sum(self.asked)
        stress = max(voided / self.VOIDED, pace / (self.SLOW * sla))
        if stress > 1.0:
            self.target = max(self.LESS * min(self.target, self.best), self.LEAST * self.best)
        elif stress < self.CALM and self.target < inf:
            self.target *= self.BACK if self.target < self.best else self.MORE
            if self.target > sum(self.asked):
                self.target = inf

    def cut(self) -> float:
        return max(0.0, 1.0 - self.target / sum(self.asked))

    def levels(self) -> list[float]:
        """Each product's share let in, in steps of a tenth so that small moves cost no orders."""
        work = [asked * product.sla for asked, product in zip(self.asked, self.products, strict=True)]
        rest, shares = self.cut() * sum(work), [1.0] * len(work)
        for k in self.order:
            refused = min(rest, (1.0 - self.FLOOR) * work[k])
            rest -= refused
            shares[k] = max(round(10 * (1.0 - refused / work[k])) / 10, self.FLOOR)
        return shares


@dataclass(eq=False)
class Table:
    """A table under its number: each worker's share, and that share's part of the listed weight."""

    number: int
    shares: dict[int, float]
    parts: dict[int, float]
    level: float
    retry: int
    clear_at: float = inf


@dataclass(eq=False)
class Change:
    """One product's staged change: laid and asked, ready, bound and asked, cleared."""

    version: int
    table: Table
    old: Table
    awaited: set[int]
    asked: int  # the mark of the first asking
    asked_at: float
    bound: bool = False
    answered_at: float = inf


@dataclass(eq=False)
class Proxy:
    """A joined proxy: for each product the tables it may be using, newest last, with the mark that ends doubt."""

    zone: str
    holds: dict[int, list[tuple[Table, int]]] = field(default_factory=dict)
    bound_at: float = -inf


class Balancer:
    """One manager's decisions."""

    WINDOW = 4  # versions: the paper's four status bits
    SILENT = 3.0  # seconds for an answer beyond the channel's own delay: the design's start value
    LIFETIME = 2.0  # seconds from the last answer to clearing: the design's start value
    RAISE = 5.0  # seconds between a fresh worker's quarter steps: the design's start value
    STEP = 0.25  # a fresh worker's first share and each raise: the design's quarter
    TURN = 0.5  # seconds of drain that ordinary orders may have waiting: a turn's budget
    KEPT_BACK = 0.4  # of the lines that may wait, kept for withdrawals and joins
    KEPT_MESSAGES = 10  # messages for each proxy in the span that ordinary changes leave to withdrawals and joins

    def __init__(self, trade: face.Trade) -> None:
        random = Random(trade.seed)
        self.uniform = random.uniform
        self.products: tuple[face.Product, ...] = trade.products
        self.usual_retry = trade.usual_retry
        self.must_ask, self.ask_every = trade.must_ask, trade.duties.ask_every
        self.may_probe, self.sliced = trade.may_probe, trade.slices > 0
        self.fleet, self.warm_after = Fleet(), trade.duties.warm_after
        self.account = Account(trade.channel)
        self.health = Health(random)
        self.gate = Gate(trade.products) if trade.admits == "share" else None
        self.proxies: dict[int, Proxy] = {}
        self.current: dict[int, Table] = {}
        self.changes: dict[int, Change] = {}
        self.retired: list[Table] = []
        self.out: set[int] = set()
        self.versions = self.last_mark = self.last_number = self.last_token = 0
        self.numbers: set[int] = set()  # table numbers in use
        self.armed: set[float] = set()
        self.following, self.ask_at, self.ask_wait = False, -inf, 0.5
        self.probes: set[int] = set()
        self.told, self.noted = False, dict[int, float]()

    # Events: what is known.

    def decide(self, now: float, events: Iterable[face.Event]) -> list[face.Order]:
        for event in events:
            self._learn(now, event)
        if self.sliced:
            told, self.told = self.told, True
            return [] if told else [face.Note("slices are not decided by this version")]
        return self._emit(now, self._plan(now))

    def _learn(self, now: float, event: face.Event) -> None:
        match event:
            case face.Listed():
                if event.form == "failed":
                    self.following = False
                    self.ask_at = now + self.ask_wait * self.uniform(0.5, 1.0)
                    self.ask_wait = min(2 * self.ask_wait, max(self.ask_every / 4, 0.5))
                else:
                    self.ask_wait = 0.5
                fresh = self.fleet.fold(event)
                self.health.grow(len(self.fleet.ids))
                for i in fresh:
                    self.health.reset(i)
            case face.Joined():
                self.account.forget(event.proxy)
                self.proxies[event.proxy] = Proxy(event.zone)
                # A zone whose first proxy is back can be reached again; a start that the list tells still ramps.
                if sum(proxy.zone == event.zone for proxy in self.proxies.values()) == 1:
                    self.health.regain([i for i, z in enumerate(self.fleet.zones) if z == event.zone])
            case face.Left():
                self.account.forget(event.proxy)
                self.proxies.pop(event.proxy, None)
                for change in self.changes.values():
                    change.awaited.discard(event.proxy)
            case face.Answered() if event.proxy in self.proxies:
                self._answered(event.proxy, event.mark, event.took)
            case face.Met():
                i = self.fleet.index.get(event.worker)
                if self.gate:
                    self.gate.settled += event.tries - event.voided
                if i is not None and not self.health.out(i):
                    self.health.met(i, now, event.tries, event.voided, event.took)
            case face.Probed():
                i = self.fleet.index.get(event.worker)
                self.probes.discard(i)
                if i is not None and self.health.out(i):
                    if event.ok:
                        self.health.begin_trial(i, now)
                    else:
                        self.health.due[i] = now + 1.0
            case face.Asked() if self.gate:
                if event.product in self.gate.names:
                    self.gate.came[self.gate.names[event.product]] += event.txns

    def _answered(self, proxy: int, mark: int, took: float) -> None:
        if mark not in self.account.sent or proxy not in self.account.sent[mark].awaited:
            return  # late answer to a mark that is settled
        passed = set(self.account.upto(mark))
        self.account.answered(proxy, mark, took)
        for change in self.changes.values():
            if change.asked in passed:
                change.awaited.discard(proxy)
        for product, held in self.proxies[proxy].holds.items():
            known = [k for k, (_, asked) in enumerate(held) if asked in passed or asked < 0]
            if known:
                newest = known[-1]
                self.proxies[proxy].holds[product] = [(held[newest][0], -1), *held[newest + 1:]]

    # The wanted state.

    def _part(self, i: int, now: float) -> tuple[float, float]:
        """A ready worker's wanted part of its listed weight, and the most it may have without danger."""
        age, cap = now - self.fleet.since[i], self.health.cap[i]
        part = min(1.0, self.STEP * (1 + max(0, int(age / self.RAISE)))) if age < self.warm_after else 1.0
        # A trial's first share is in the tables before the trial; a jammed worker empties while that is bound.
        return min(part, cap or self.STEP), min(part if part < 1.0 else inf, cap if cap < 0.5 else inf)

    def _plan(self, now: float) -> "Wanted":
        weight = self.fleet.listed_weight()
        self.health.judge(now, weight)
        for i in weight:
            if self.health.out(i) and self.health.due[i] <= now and not self.may_probe:
                self.health.begin_trial(i, now)
        parts: dict[int, float] = {}
        most: dict[int, float] = {}
        for i in weight:
            parts[i], most[i] = self._part(i, now)
        self._advance(now)
        levels = [1.0] * len(self.products)
        heard = [i for i in weight if not self.health.out(i) and self.health.tries[i] >= 1.0]
        if self.gate and heard:
            self.gate.step(now, median(map(self.health.part, heard)), median(map(self.health.pace, heard)))
            levels = self.gate.levels()
        # Danger: an effect twice. No product is tried again but on proof that the first try never ran, and in
        # overload none at all: a second try at a full worker's neighbour fills that one too.
        retry = int(min(levels) == 1.0)
        wanted = Wanted(parts, {i: weight[i] * parts[i] for i in weight}, levels, retry)
        # Danger: a cold worker pushed over, a drained one sent to. A worker stays out while any table that a
        # joined proxy may hold gives it more than it may have now.
        for table in self._in_use():
            for i, part in table.parts.items():
                if part > most.get(i, 0.0) + 1e-9:
                    wanted.out.add(i)
        cold = {i for i in weight if most[i] < inf and self.health.cap[i] >= 0.5}
        if weight and not any(i in weight and i not in cold and i not in wanted.out for i in weight):
            wanted.out -= cold  # Danger: nobody left; where none is warm, shares alone must do
        for i in weight:
            if self.may_probe and self.health.out(i) and self.health.due[i] <= now and i not in self.probes:
                wanted.probes.append(i)
        return wanted

    def _in_use(self) -> list[Table]:
        tables = {id(table): table for proxy in self.proxies.values()
                  for held in proxy.holds.values() for table, _ in held}
        return list(tables.values())

    def _advance(self, now: float) -> None:
        """Move each change on as far as answers and timers let it."""
        patience = self.SILENT + self.account.delay()
        for product, change in list(self.changes.items()):
            if now >= change.asked_at + patience:
                change.awaited.clear()  # silent proxies leave the awaited set
            if change.bound and change.answered_at == inf:
                slow = [p for p in self.proxies.values() if self._unsettled(p, product, change.table)]
                if not [p for p in slow if p.bound_at == -inf or now < p.bound_at + patience]:
                    change.answered_at = now
                    change.old.clear_at = now + self.LIFETIME
            if now >= change.answered_at + self.LIFETIME:
                del self.changes[product]

    @staticmethod
    def _unsettled(proxy: Proxy, product: int, table: Table) -> bool:
        held = proxy.holds.get(product, [])
        return not (len(held) == 1 and held[0][0] is table and held[0][1] < 0)

    def _may_bind(self, change: Change) -> bool:
        return not change.awaited and all(not other.awaited for other in self.changes.values()
                                      if other.version < change.version - self.WINDOW)

    # The difference, and the only place that orders.

    def _emit(self, now: float, wanted: "Wanted") -> list[face.Order]:
        orders: list[face.Order] = []
        lines: dict[int, float] = {}
        head = self.account.channel.message_lines + 1.0
        mark = self.last_mark % 65000 + 1
        while mark in self.account.sent:
            mark = mark % 65000 + 1

        def fits(cost: dict[int, float], ordinary: bool) -> bool:
            more = sum(n + (0.0 if p in lines else head) for p, n in cost.items())
            waiting = self.account.waiting() + sum(lines.values()) + more
            most = self.account.channel.waiting_most
            if any(p not in lines and self.account.messages_left(p, now) <= (self.KEPT_MESSAGES if ordinary else 0)
                   for p in cost):
                return False
            return waiting <= (1.0 - self.KEPT_BACK if ordinary else 0.98) * most

        def spend(cost: dict[int, float]) -> None:
            for p, n in cost.items():
                lines[p] = lines.get(p, head) + n

        # Withdrawals first, without stages.
        caps = {i: self.health.cap[i] for i in wanted.parts}
        for i, cap in caps.items():
            h = self.health
            if cap != self.noted.get(i, 1.0):
                orders.append(face.Note(f"{self.fleet.ids[i]} to {cap}: {h.part(i):.2f} of {h.tries[i]:.0f} tries "
                                   f"voided, settled in {h.pace(i):.2f} s"))
        self.noted = caps
        for i in sorted(wanted.out ^ self.out):
            cost = {p: 1.0 for p, proxy in self.proxies.items()
                    if any(i in t.shares for held in proxy.holds.values() for t, _ in held)}
            if fits(cost, ordinary=i not in wanted.out):
                spend(cost)
                orders.append(face.Withdraw(self.fleet.ids[i], i in wanted.out))
                self.out ^= {i}
        # Levels next, in the tables in use: refusals must not wait behind a change.
        for k, level in enumerate(wanted.levels):
            for table in dict.fromkeys(t for p in self.proxies.values() for t, _ in p.holds.get(k, ())):
                users = {p: 1.0 for p, proxy in self.proxies.items()
                         if proxy.holds.get(k) and proxy.holds[k][-1][0] is table}
                stale = abs(table.level - level) > 0.01 or table.retry != wanted.retry
                if users and stale and fits(users, ordinary=False):
                    spend(users)
                    orders.append(face.Admit(table.number, k, wanted.retry, level))
                    table.level, table.retry = level, wanted.retry
        # New tables, laid where nobody is bound yet: no line but the asking.
        size = {k: self._distance(self.current.get(k), wanted.shares) for k in range(len(self.products))}
        everyone = False
        for k in sorted(size, key=lambda k: (-size[k], k)):
            if k not in self.current:
                self.current[k] = self._lay(orders, k, wanted)
            elif k not in self.changes and size[k] > 0:
                cost = {p: 0.0 for p in self.proxies}
                if not fits(cost, ordinary=True) or self.account.waiting() > self.account.rate * self.TURN:
                    continue
                spend(cost)
                self.versions += 1
                everyone = True
                self.changes[k] = Change(self.versions, self._lay(orders, k, wanted), self.current[k],
                                         set(self.proxies), mark, now)
        # Ready changes become current, largest first; then whoever is on another table is bound.
        for k in sorted(self.changes, key=lambda k: (-size[k], k)):
            change = self.changes[k]
            if not change.bound and self._may_bind(change) and change.asked != mark:
                change.bound, self.current[k] = True, change.table
                self.retired.append(change.old)
        for ordinary in (False, True):
            for k in sorted(self.current, key=lambda k: (-size[k], k)):
                table = self.current[k]
                for p, proxy in self.proxies.items():
                    held = proxy.holds.get(k)
                    if held and (held[-1][0] is table or not ordinary) or not held and ordinary:
                        continue
                    cost = {p: 2.0 + len(table.shares) + sum(i in table.shares for i in self.out)}
                    busy = self.account.waiting() + sum(lines.values()) > self.account.rate * self.TURN * 2
                    if not fits(cost, ordinary) or ordinary and busy:
                        continue
                    spend(cost)
                    orders.append(face.Bind(p, k, table.number))
                    proxy.holds.setdefault(k, []).append((table, mark))
                    proxy.bound_at = now
        used = set(map(id, self._in_use()))
        for table in list(self.retired):
            if table.clear_at <= now and id(table) not in used:
                orders.append(face.Clear(table.number))
                self.retired.remove(table)
                self.numbers.discard(table.number)
        if lines:
            self.last_mark = mark
            orders.append(face.Mark(mark, everyone))
            self.account.book(mark, now, lines)
        for i in wanted.probes:
            self.probes.add(i)
            orders.append(face.Probe(self.fleet.ids[i]))
        if self.must_ask and not self.following and self.ask_at <= now:
            self.following = True
            orders.append(face.Follow())
        self._wake(now, orders)
        return orders

    def _lay(self, orders: list[face.Order], product: int, wanted: "Wanted") -> Table:
        number = self.last_number % 65000 + 1
        while number in self.numbers:
            number = number % 65000 + 1
        self.last_number = number
        self.numbers.add(number)
        table = Table(number, dict(wanted.shares), dict(wanted.parts), wanted.levels[product], wanted.retry)
        orders.extend(face.Share(number, self.fleet.ids[i], share) for i, share in table.shares.items())
        if table.retry != self.usual_retry or table.level < 1.0:
            orders.append(face.Admit(number, product, table.retry, table.level))
        return table

    @staticmethod
    def _distance(table: Table | None, shares: dict[int, float]) -> float:
        """How much weight a change would move, as a part of the whole."""
        if table is None:
            return inf
        have, want = sum(table.shares.values()) or 1.0, sum(shares.values()) or 1.0
        moved = sum(abs(table.shares.get(i, 0.0) / have - shares.get(i, 0.0) / want)
                    for i in {**table.shares, **shares})
        return moved if table.shares.keys() ^ shares.keys() or moved > 1e-6 else 0.0

    def _wake(self, now: float, orders: list[face.Order]) -> None:
        """One timer at the next time at which something is due of itself."""
        due = [now + 0.25] if self.changes or self.account.sent or self.retired else []
        due += [self.ask_at] if self.must_ask and not self.following else []
        for i, ready in enumerate(self.fleet.ready):
            if ready and self.health.out(i):
                due.append(max(self.health.due[i], now + 0.25))
            elif ready:
                age = now - self.fleet.since[i]
                if age < self.warm_after:
                    due.append(now + self.RAISE - age % self.RAISE if age >= 0 else now + 0.25)
        self.armed = {at for at in self.armed if at > now}
        if due and (not self.armed or min(self.armed) > min(due) + 0.01):
            at = max(min(due), now + 0.01)
            self.armed.add(at)
            self.last_token += 1
            orders.append(face.Wake(at - now, self.last_token))


@dataclass
class Wanted:
    """What should be: each ready worker's part and share, who is out, whom to probe."""

    parts: dict[int, float]
    shares: dict[int, float]
    levels: list[float]
    retry: int
    out: set[int] = field(default_factory=set)
    probes: list[int] = field(default_factory=list)
