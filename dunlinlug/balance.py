"""All decisions of a manager: which worker each proxy may use, at what share, and when orders go out.

Call `Balancer(trade)` at the start, then `decide(now, events)` for each batch, with the clock in seconds; it
returns orders in the order in which they take effect. The plain types are in `dunlinlug/interface.py`. Events
change what is known, `_plan` turns that into a wanted state, `_emit` alone orders the difference to it.
`docs/design.md` tells how this follows CCU, the concurrent two-phase update.
"""

from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from random import Random
from statistics import median

from dunlinlug import interface as face
from dunlinlug.state import Change, Fleet, Proxy, Table, Wanted


class Account:
    """The channel account: how many lines may still wait, by what was ordered and what answers show."""

    SAMPLE, SLOWEST = 0.1, 0.1  # seconds of usual drain for a sample of the pace; its least part

    def __init__(self, channel: face.Channel) -> None:
        self.channel = channel
        self.rate = channel.lines_per_s
        self.issued = self.left = 0.0  # lines ordered since the start, and those surely out of the channel
        # By mark, oldest first: its stretch of lines, what had left by then, and who has yet to answer.
        self.sent: dict[int, tuple[float, float, float, set[int]]] = {}
        self.written: dict[int, deque[float]] = {}  # when each joined proxy was written a message

    def waiting(self) -> float:
        return self.issued - self.left

    def messages_left(self, proxy: int, now: float) -> float:
        recent = sum(at >= now - self.channel.messages_span for at in self.written.get(proxy, ()))
        return 1.0 - recent / self.channel.messages_most if self.channel.messages_most else inf

    def book(self, mark: int, now: float, lines: dict[int, float]) -> None:
        start, self.issued = self.issued, self.issued + sum(lines.values())
        self.sent[mark] = (start, self.issued, self.left, set(lines))
        for proxy in lines:
            self.written.setdefault(proxy, deque(maxlen=self.channel.messages_most or 1)).append(now)

    def answered(self, proxy: int, mark: int, took: float) -> set[int]:
        """Settle this mark and all before it for the proxy, as the channel keeps the order; tells which."""
        passed = list(self.sent)[: list(self.sent).index(mark) + 1]
        start, end, left, _ = self.sent[mark]
        self.left, usual = max(self.left, start), self.channel.lines_per_s
        self.settle(proxy, passed)
        if mark not in self.sent and end - left >= self.SAMPLE * usual:
            seen = (end - left) / max(took - self.channel.transit, 0.001)
            self.rate = min(max((self.rate + seen) / 2, self.SLOWEST * usual), usual)
        return set(passed)

    def settle(self, proxy: int, marks: Iterable[int]) -> None:
        for mark in marks:
            _, end, _, awaited = self.sent[mark]
            awaited.discard(proxy)
            if not awaited:
                self.left = max(self.left, end)
                del self.sent[mark]


class Health:
    """Judges workers by what proxies met, in contrast to the others and to what is usual."""

    HALF = 0.8  # seconds in which evidence loses half its weight: a report cycle or two
    ENOUGH = 3.0  # voided tries before a worker is judged: fewer happen by chance
    FAILING = 0.35  # voided part of the tries from which a worker is failing ...
    CONTRAST = 3.0  # ... if also this many times the best quarter's part, so that overload condemns none
    PACE, SILENT = 1.6, 0.9  # times the usual pace beyond which a worker may be overfull; a silent one's part
    WELL, BUSY = 0.15, 0.08  # voided part up to which one is raised; the median's from which shares stay put
    LEARN = 0.03  # of each report goes into what is usual: dozens of reports
    CEILING = 0.2  # of the ready weight may be lost to health: more that fail in part have a common cause ...
    CUT_OFF = 0.8  # ... but for silent ones, while a quarter of the fleet does well: zones cut off or lost
    TRIAL, TRIAL_SHARE = 3.0, 0.25  # seconds on trial, a few report cycles, at a share that a cold one bears
    JAMMED_SHARE = 0.5  # for a jammed or slow worker; a quarter pushed too much onto the rest
    LATE, PLENTY = 2.5, 8.0  # times the median pace, over so many settled tries: a jam is near
    WEAK_SHARE, WEAK = 0.75, 60.0  # share, and seconds of it, after or ahead of a jam: listed too high
    REST, REST_MOST, AGAIN = 4.0, 16.0, 1.0  # seconds out before a trial, doubled by failures; between probes

    def __init__(self, uniform: Callable[[float, float], float], proof: float) -> None:
        self.uniform, self.proof, self.proven = uniform, proof, inf  # seconds of calm that prove it, and when
        self.calm = 0.0  # the median worker's pace when few void
        self.tries, self.voided, self.took = list[float](), list[float](), list[float]()  # fading sums
        self.heard_at, self.rest, self.due = list[float](), list[float](), list[float]()  # due: next step up
        self.cap, self.full = list[float](), list[float]()  # most of its weight, 0 if out; what it returns to

    def grow(self, size: int) -> None:
        for _ in range(size - len(self.tries)):
            for column in (self.tries, self.voided, self.took, self.heard_at, self.due):
                column.append(0.0)
            for column, first in ((self.cap, 1.0), (self.full, 1.0), (self.rest, self.REST)):
                column.append(first)

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
        if now < self.proven:  # Danger: voids are reported late, so quick first answers are no proof of calm
            self.proven = now + self.proof if busy else min(self.proven, now + self.proof)
        if not busy:
            self.calm += self.LEARN * (pace - self.calm) if self.calm else pace
        elif not self.calm:
            return  # Danger: a manager that began in a jam would take the jammed for silent
        for i in sorted((i for i in weight if self.cap[i]), key=lambda i: -self.voided[i]):
            part, cap, settled = self.part(i), self.cap[i], self.tries[i] - self.voided[i]
            failing = self.voided[i] >= self.ENOUGH and part >= max(self.FAILING, self.CONTRAST * best)
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
            most = self.CUT_OFF if part >= self.SILENT and not cap else self.CEILING
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
    VOIDED, SLOW = 0.08, 0.45  # median voided part, and settling time in SLA times, from which on is overload
    NEAR = 0.8  # of the bound on settling time: voids at a usual pace have other causes than overload
    MOST = 0.4  # voided part that is overload at any pace: slow handshakes and lost answers stay below it
    CALM = 0.85  # of either bound: below it more is let in again (hysteresis)
    LESS = 0.7  # times what is let in for each beat in overload
    BACK, MORE = 1.25, 1.04  # for each calm beat, up to near the share at which overload began, and beyond it
    KNEE, LEAST, FORGET = 0.5, 0.5, 0.98  # what is near it; of the best settled rate, the least and kept
    FLOOR = 0.05  # least share let in of a product: what comes through shows how it fares

    def __init__(self, products: tuple[face.Product, ...]) -> None:
        # Work is not told; the SLA time stands for it, as longer work is given more time.
        self.sla = [product.sla for product in products]
        self.order = sorted(range(len(products)), key=lambda k: products[k].revenue / products[k].sla)
        self.asked = [1.0] * len(products)  # txns a second of each product, smoothed
        self.came = dict.fromkeys((product.name for product in products), 0)  # txns since the last beat
        self.settled = self.rate = self.best = 0.0  # tries since the last beat; a second; the best of late
        self.share, self.knee, self.last, self.calm = 1.0, 1.0, inf, True  # the last two: of the last beat

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
        stress = max(slow, voided / self.VOIDED if slow >= self.NEAR or voided >= self.MOST else 0.0)
        if stress > 1.0:
            self.knee = self.share if self.calm else self.knee
            self.share = max(self.LESS * self.share, min(self.LEAST * self.best / sum(self.asked), 1.0))
        elif stress < self.CALM:
            more = self.BACK if self.share < self.KNEE * self.knee else self.MORE
            self.share = min(self.share * more, 1.0)
        self.calm = stress <= 1.0

    def work(self) -> list[float]:
        return [asked * sla for asked, sla in zip(self.asked, self.sla, strict=True)]

    def levels(self) -> list[float]:
        """Each product's share let in, in steps of a tenth so that small moves cost no orders."""
        work = self.work()
        rest, shares = (1.0 - self.share) * sum(work), [1.0] * len(work)
        for k in self.order:
            refused = min(rest, (1.0 - self.FLOOR) * work[k])
            rest -= refused
            shares[k] = max(round(10 * (1.0 - refused / work[k])) / 10, self.FLOOR)
        return shares


class Balancer:
    """One manager's decisions."""

    WINDOW = 4  # versions: the paper's four status bits
    SILENT, LIFETIME = 3.0, 2.0  # seconds for an answer beyond the channel's delay; to clearing: the design's
    LATENESS, STORM = 2.0, 0.1  # seconds to a void's report; median voided part for each share a cold bears
    ROUGH = 0.1  # voided part of all tries from which cold workers wait outside: a load on the rise had 0.14
    STEP, RAISE = 0.25, 5.0  # a fresh worker's first share and each raise, and seconds between: the design's
    TURN = 0.5  # seconds of drain that may wait at a change; twice or thrice at a bind, else four times
    KEPT_BACK, KEPT = (0.08, 0.12, 0.2, 0.4), (0.0, 0.4, 0.4, 0.5)  # parts: rules, health, levels, rest
    ONLY_COLD = 0.3  # share let in while a table has but workers that should be out
    BEAT, ASK_WAIT = 0.25, 0.5  # seconds between looks while busy; before the list is asked again, doubled
    NUMBERS = 65000  # table and mark numbers in turn, below the wire's bound

    def __init__(self, trade: face.Trade) -> None:
        self.uniform = Random(trade.seed).uniform
        self.products, self.usual_retry = len(trade.products), trade.usual_retry
        self.ask_every, self.warm_after = trade.duties.ask_every, trade.duties.warm_after
        cold, rise = trade.duties.cold_share, (1.0 - trade.duties.cold_share) * self.RAISE / self.warm_after
        self.bears = trade.duties.fall_multiple * min(  # times its share, at the weakest moment of its ramp
            min(1.0, cold + n * rise) / self.STEP / (n + 1) for n in range(round(1 / self.STEP)))
        self.may_probe, self.sliced, self.standing = trade.may_probe, trade.slices > 0, trade.standing
        self.fleet, self.account = Fleet(), Account(trade.channel)
        self.health = Health(self.uniform, max(product.expiry for product in trade.products) + self.LATENESS)
        self.gate, self.admits = Gate(trade.products), trade.admits == "share"
        self.all_in = 1.0 if self.admits else 1e6  # where levels are rates, a share of 1 would shut a proxy
        self.proxies, self.current = dict[int, Proxy](), dict[int, Table]()
        self.changes, self.armed = dict[int, Change](), set[float]()
        self.retired, self.starters = list[Table](), list[Table]()
        self.versions = self.last_mark = self.last_number = self.last_token = 0
        self.out, self.probing, self.numbers = set[int](), set[int](), set[int]()  # the last: of tables laid
        self.ask_at, self.ask_wait = -inf if trade.must_ask else inf, self.ASK_WAIT
        self.noted, self.told = dict[int, float](), False
        self.barred: dict[int, float] = {}  # by worker, until when what was refused of it stays so
        self.kept: dict[int, float] = {}  # by product, until when levels stay after one was refused
        self.pins: dict[int, face.Pinned] = {}  # by product, an operator's word

    # Events: what is known.

    def decide(self, now: float, events: Iterable[face.Event]) -> list[face.Order]:
        if self.sliced:
            told, self.told = self.told, True
            return [] if told else [face.Note("slices are not decided by this version")]
        for event in events:
            self._learn(now, event)
        return self._emit(now, self._plan(now))

    def _learn(self, now: float, event: face.Event) -> None:
        match event:
            case face.Listed(form="failed"):
                self.ask_at = now + self.ask_wait * self.uniform(0.5, 1.0)
                self.ask_wait = min(2 * self.ask_wait, max(self.ask_every / 4, self.ASK_WAIT))
            case face.Listed():
                self.ask_wait = self.ASK_WAIT
                for i in self.fleet.fold(event):
                    self.health.grow(len(self.fleet.ids))
                    self.health.start(i, 1.0, now)
            case face.Joined(proxy) | face.Left(proxy):
                self.account.settle(proxy, list(self.account.sent))
                self.account.written.pop(proxy, None)
                self.proxies.pop(proxy, None)
                for change in self.changes.values():
                    change.awaited.discard(proxy)
                if isinstance(event, face.Joined):
                    back = all(other.zone != event.zone for other in self.proxies.values())
                    for i, zone in enumerate(self.fleet.zones):
                        if back and zone == event.zone and not self.health.cap[i]:
                            self.health.start(i, 1.0, now)  # first proxy back: the zone is in reach again
                    self.proxies[proxy] = Proxy(event.zone)
            case face.Answered(proxy, mark, took) if mark in self.account.sent:
                if proxy in self.account.sent[mark][3]:
                    self._answered(proxy, self.account.answered(proxy, mark, took))
            case face.Met(worker=worker) if worker in self.fleet.index:
                i = self.fleet.index[worker]
                self.gate.settled += event.tries - event.voided
                if self.health.cap[i]:
                    self.health.met(i, now, event.tries, event.voided, event.took)
            case face.Probed(worker=worker) if worker in self.fleet.index:
                i = self.fleet.index[worker]
                self.probing.discard(i)
                if not self.health.cap[i]:
                    share, pause = (Health.TRIAL_SHARE, Health.TRIAL) if event.ok else (0.0, Health.AGAIN)
                    self.health.start(i, share, now + pause)
            case face.Asked(product=name) if name in self.gate.came:
                self.gate.came[name] += event.txns
            case face.Refused(order=order):
                self._refused(now, order)
            case face.Pinned(k):
                self.pins[k] = event

    def _refused(self, now: float, order: face.Order) -> None:
        """The order was not carried out: go by what is, and leave it for the time of a raise."""
        tables = [*self._in_use(), *self.current.values(), *self.starters, *self.retired]
        tables += [table for change in self.changes.values() for table in (change.table, change.old)]
        match order:
            case face.Share(tbl, worker) if worker in self.fleet.index:
                i = self.fleet.index[worker]
                self.barred[i] = now + self.RAISE
                for table in tables:
                    if table.number == tbl:
                        table.shares.pop(i, None), table.parts.pop(i, None)
            case face.Bind(proxy, products, tbl) if proxy in self.proxies:
                # Danger: a joiner left bare for a raise, having come before the list, at an empty table.
                empty = any(table.number == tbl and not table.shares for table in tables)
                self.proxies[proxy].wait = now + (self.BEAT if empty else self.RAISE)
                holds = self.proxies[proxy].holds
                for k in products:
                    holds[k] = [entry for entry in holds.get(k, []) if entry[0].number != tbl]
                    if not holds[k]:
                        del holds[k]
            case face.Withdraw(worker, out) if worker in self.fleet.index:
                i = self.fleet.index[worker]
                (self.out.discard if out else self.out.add)(i)
                self.barred[i] = now + self.RAISE
            case face.Admit(tbl, k) if k < self.products:
                self.kept[k] = now + self.RAISE
                for table in tables:
                    if table.number == tbl:
                        table.levels[k] = table.were.get(k, (self.all_in, self.usual_retry))
            case face.Clear(tbl):
                self.numbers.add(tbl)  # Danger: a number in use would be given out again

    def _answered(self, proxy: int, passed: set[int]) -> None:
        for change in self.changes.values():
            if change.mark in passed:
                change.awaited.discard(proxy)
        holds = self.proxies[proxy].holds
        for k, held in holds.items():
            sure = max((n for n, (_, mark) in enumerate(held) if not mark or mark in passed), default=None)
            if sure is not None:
                holds[k] = [(held[sure][0], 0), *held[sure + 1:]]

    # The wanted state.

    def _plan(self, now: float) -> Wanted:
        fleet, health = self.fleet, self.health
        told = [w for w, ready in zip(fleet.weight, fleet.ready, strict=True) if ready and w] or [1.0]
        weight = {i: fleet.weight[i] or sum(told) / len(told) for i, ready in enumerate(fleet.ready) if ready}
        health.judge(now, weight)
        parts, most = {}, {}
        heard = [i for i in weight if health.cap[i] and health.tries[i] >= 1.0]
        voided = median(map(health.part, heard)) if heard else 0.0
        storm = now < health.proven or voided >= self.STORM * self.bears
        # Word of a storm comes seconds late: no other cold worker is let in while tries fail anywhere.
        tries, voids = (sum(column[i] for i in heard) for column in (health.tries, health.voided))
        rough = not self.gate.calm or voids >= self.ROUGH * tries > 0.0
        tables = [*self._in_use(), *self.current.values(), *(c.table for c in self.changes.values())]
        inside = {i for table in tables for i in table.parts} - self.out
        for i in weight:
            if not health.cap[i] and health.due[i] <= now and not self.may_probe:
                health.start(i, Health.TRIAL_SHARE, now + Health.TRIAL)
            age, cap = now - fleet.since[i], health.cap[i]
            part = min(1.0, self.STEP * (1 + max(0, age // self.RAISE))) if age < self.warm_after else 1.0
            parts[i] = min(part, cap or Health.TRIAL_SHARE)  # ahead of its trial, which then needs no change
            # Danger: a storm of repeats brings cold workers many times their share, more so to a new manager.
            most[i] = cap if cap < Health.JAMMED_SHARE else inf
            shut = storm or i not in inside and rough
            most[i] = min(most[i], inf if age >= self.warm_after else 0.0 if shut else part)
        self._advance(now)
        shares = [self.all_in] * self.products
        if self.admits and heard:
            self.gate.step(now, voided, median(map(health.pace, heard)))
            shares = self.gate.levels()
        # Danger: an effect twice. Only on proof that none ran; not in overload or before a calm was seen.
        retry = min(self.usual_retry, 1) if health.calm and min(shares) >= 1.0 else 0
        # Danger: a cold worker pushed over, a drained one sent to. Out while any table gives it too much.
        given = [*(table.parts.items() for table in tables), parts.items()]
        out = {i for items in given for i, part in items if part > most.get(i, 0.0)}
        plain = {i: w * parts[i] for i, w in weight.items() if self.barred.get(i, 0.0) <= now}
        wanted = [self._pinned(k, plain, parts, out) for k in range(self.products)]
        for table in tables:  # Danger: nobody left. Where all of a table are out, the cold come in, or any
            current = table in self.current.values()
            ready = table.parts.keys() & weight.keys() or (weight.keys() if current else set())
            if ready and ready <= out:
                out -= {i for i in ready if most[i] < inf and health.cap[i]} or ready
                shares = [min(s, self.ONLY_COLD * self.all_in) if current else s for s in shares]
        self.barred = {i: at for i, at in self.barred.items() if at > now}
        return Wanted(wanted, parts, [(share, retry) for share in shares], out)

    def _pinned(self, k: int, plain: dict[int, float], parts: dict[int, float],
                out: set[int]) -> dict[int, float]:
        """A product's shares as pinned: other weights, the same ramp. Danger: all its workers out."""
        pin = self.pins.get(k, face.Pinned(k))
        weights = {self.fleet.index[w]: weight for w, weight in pin.weights if w in self.fleet.index}
        if not weights and pin.others:
            return plain
        given = {i: weight * parts[i] for i, weight in weights.items() if weight is not None and i in plain}
        shares = {i: n for i, n in {**plain, **given}.items() if n and (pin.others or i in weights)}
        return plain if out >= shares.keys() else shares

    def _in_use(self) -> list[Table]:
        return list(dict.fromkeys(table for proxy in self.proxies.values()
                                  for held in proxy.holds.values() for table, _ in held))

    def _advance(self, now: float) -> None:
        """Move each change on as far as answers and timers let it."""
        patience = self.SILENT + self.account.waiting() / self.account.rate + 2 * self.account.channel.transit
        for k, change in list(self.changes.items()):
            if now >= change.asked_at + patience:
                change.awaited.clear()  # silent proxies leave the awaited set
            late = [p for p in self.proxies.values() if p.holds.get(k) != [(change.table, 0)]]
            if change.bound and all(now >= proxy.bound_at + patience for proxy in late):
                change.old.clear_at = now + self.LIFETIME  # costs no line, as nobody is bound there any more
                del self.changes[k]

    # The difference, and the only place that orders.

    def _emit(self, now: float, wanted: Wanted) -> list[face.Order]:
        orders: list[face.Order] = []
        lines: dict[int, float] = {}
        account, everyone = self.account, False
        mark = self.last_mark = self._free(self.last_mark, self.account.sent)

        def spend(cost: dict[int, float], rank: int, budget: float = inf) -> bool:
            """Take these lines for these proxies into the reply if the channel and the limits allow it."""
            head, waiting = account.channel.message_lines + 1.0, account.waiting() + sum(lines.values())
            more = sum(n if p in lines else n + head for p, n in cost.items())
            most = account.channel.waiting_most * (1.0 - self.KEPT_BACK[rank])
            scarce = any(account.messages_left(p, now) <= self.KEPT[rank] for p in cost if p not in lines)
            # Danger: counted against itself, a reply whose heads are paid would leave changes for another.
            before = account.waiting() if cost.keys() <= lines.keys() else waiting
            if before > budget * account.rate or waiting + more > most or scarce:
                return False
            lines.update({p: lines.get(p, head) + n for p, n in cost.items()})
            return True

        def bind(p: int, products: tuple[int, ...], table: Table, rank: int, budget: float = inf) -> bool:
            cost = 1.0 + self.products + len(table.shares) + len(self.out & table.shares.keys())
            if not spend({p: cost}, rank, budget):
                return False
            orders.append(face.Bind(p, products, table.number))
            self.proxies[p].bound_at, holds = now, self.proxies[p].holds
            holds.update({k: [*holds.get(k, []), (table, mark)] for k in products})
            return True

        health = self.health
        for i in wanted.parts:
            if health.cap[i] != self.noted.get(i, 1.0):
                self.noted[i] = health.cap[i]
                orders.append(face.Note(f"{self.fleet.ids[i]} to {health.cap[i]}: {health.part(i):.2f} of "
                                        f"{health.tries[i]:.0f} tries voided, pace {health.pace(i):.2f} s"))
        # Danger: nobody left, or drains late, while whole tables or a mass of withdrawals take long. Joiners
        # and who loses all workers, or more than the lines it costs, are sent a small table first.
        wants, fresh, few = wanted.shares, wanted.out - self.out, 1 + self.products + self.standing
        mass = len(fresh) * len(self.proxies) > 3 * self.TURN * account.rate
        if not self.current:
            kinds = {id(want): want for want in wants}
            laid = {n: self._lay(orders, wanted, want) for n, want in kinds.items()}
            self.current = {k: laid[id(want)] for k, want in enumerate(wants)}
        crowded = self.products * (max(map(len, wants)) + 2.0) * len(self.proxies) > self.TURN * account.rate
        usable = wanted.parts.keys() - wanted.out - self.barred.keys()
        for p, proxy in self.proxies.items() if crowded else ():
            top = [held[-1][0].shares.keys() for held in proxy.holds.values()]
            whole = {self.current[0]} if len(set(self.current.values())) == 1 and not top else ()
            if any(bind(p, tuple(self.current), table, 1, self.TURN) for table in whole):
                continue  # a short queue carries it whole at once
            if not top or usable and any(usable.isdisjoint(t) or mass and len(t & fresh) > few for t in top):
                bind(p, tuple(range(self.products)), self._starter(orders, p, wanted, now), 0)
        # Withdrawals first, without stages, the rules' ahead. Danger: all else in a slow channel's way.
        for i in sorted(wanted.out ^ self.out, key=lambda i: (i in wanted.parts, i)):
            cost = {p: 1.0 for p, proxy in self.proxies.items() if len(proxy.holds) < self.products
                    or any(i in held[-1][0].shares for held in proxy.holds.values())}
            ruled = i in wanted.out and (i not in wanted.parts or health.cap[i] > 0.0)
            if i not in self.barred and spend(cost, not ruled, inf if ruled else 4 * self.TURN):
                orders.append(face.Withdraw(self.fleet.ids[i], i in wanted.out))
                self.out ^= {i}
        users: dict[tuple[int, Table], dict[int, float]] = {}
        for p, proxy in self.proxies.items():
            for k, held in proxy.holds.items():
                users.setdefault((k, held[-1][0]), {})[p] = 1.0
        for (k, table), cost in users.items():
            stays = table.levels[k] == wanted.levels[k] or now < self.kept.get(k, 0.0)
            if not stays and spend(cost, 2, 4 * self.TURN):
                table.were[k], table.levels[k] = table.levels[k], wanted.levels[k]
                orders.append(face.Admit(table.number, k, table.levels[k][1], table.levels[k][0]))
        # Changes, the largest of weight first, laid where nobody is bound. Departure: where all tables to all
        # proxies exceed a turn's drain, equal products share one, and only its differences go (paper, V-G).
        have = [self.current[k].shares for k in range(self.products)]
        size = [sum(abs(want.get(i, 0.0) - h.get(i, 0.0)) for i in {**h, **want})
                for h, want in zip(have, wants, strict=True)]
        largest = sorted(range(self.products), key=lambda k: -size[k])
        idle = [k for k in largest if size[k] and k not in self.changes]
        groups = dict[int, list[int]]()
        for k in idle:
            groups.setdefault(id(wants[k]) if crowded else k, []).append(k)
        for group in groups.values():
            olds, table, want = {k: self.current[k] for k in group}, self.current[group[0]], wants[group[0]]
            apart = any(held is table and wants[k] is not want for k, held in self.current.items())
            if crowded and len(set(olds.values())) == 1 and not apart:
                bound = {p for p, proxy in self.proxies.items()
                         if any(held[-1][0] is table for held in proxy.holds.values())}
                lines_each = (2 * self.TURN * account.rate - account.waiting()) / max(len(bound), 1)
                most = max(1, int(lines_each - account.channel.message_lines))
                moved = self._moved(table, want, wanted.out)[:most]
                # Who is out gets nothing whatever its line says: it waits for a message that goes anyway.
                idly = not any(i in want and health.cap[i] for i in moved) and not bound <= lines.keys()
                if not moved or idly or not spend(dict.fromkeys(bound, float(len(moved))), 3, self.TURN):
                    continue
                for i in moved:
                    orders.append(face.Share(table.number, self.fleet.ids[i], want.get(i, 0.0)))
                    table.shares[i], table.parts[i] = want.get(i, 0.0), wanted.parts.get(i, 0.0)
                    if i not in want:
                        del table.shares[i], table.parts[i]
                for proxy in (self.proxies[p] for p in bound):
                    proxy.bound_at = now
                    proxy.holds = {k: [*held[:-1], (table, mark)] if held[-1][0] is table else held
                                   for k, held in proxy.holds.items()}
            elif spend(dict.fromkeys(self.proxies, 0.0), 3, self.TURN):
                table, everyone = self._lay(orders, wanted, want), True
            else:
                continue
            for k in group:
                self.versions, awaited = self.versions + 1, set() if table is olds[k] else set(self.proxies)
                self.changes[k] = Change(self.versions, table, olds[k], mark, now, awaited, table is olds[k])
        # Ready changes become current within the window; then whoever is on another table is bound.
        for k, change in self.changes.items():
            older = [c for c in self.changes.values() if c.version < change.version - self.WINDOW]
            if not change.bound and not change.awaited and not any(c.awaited for c in older):
                change.bound, self.current[k] = True, change.table
                if change.old not in (*self.current.values(), *self.retired):
                    self.retired, change.old.clear_at = [*self.retired, change.old], inf
        for joiners in (True, False)[crowded:]:
            for table in dict.fromkeys(self.current[k] for k in largest):
                for p, proxy in self.proxies.items():
                    other = tuple(k for k, current in self.current.items() if current is table
                                  and (k not in proxy.holds or proxy.holds[k][-1][0] is not table))
                    begun = crowded and proxy.bound_at == now  # with a small table in this very reply
                    begun = begun or proxy.wait > now  # its last bind was refused
                    if other and joiners != (other[0] in proxy.holds) and not begun:
                        bind(p, other, table, 1 if joiners else 3, (3 if crowded else 2) * self.TURN)
        held = self._in_use() if self.retired else []
        done = [t for t in self.retired if t.clear_at <= now and t not in held]
        self.retired = [t for t in self.retired if t not in done]
        self.numbers -= {t.number for t in done}
        orders.extend(face.Clear(t.number) for t in done)
        if lines:
            orders.append(face.Mark(mark, everyone))
            account.book(mark, now, lines)
        for i in wanted.parts:
            if (self.may_probe and i not in self.barred and i not in self.probing
                    and not health.cap[i] and health.due[i] <= now):
                self.probing.add(i)
                orders.append(face.Probe(self.fleet.ids[i]))
        if self.ask_at <= now:
            self.ask_at = inf
            orders.append(face.Follow())
        self._wake(now, orders, wanted)
        return orders

    def _free(self, last: int, taken: Iterable[int]) -> int:
        return next(n for n in ((last + k) % self.NUMBERS + 1 for k in range(self.NUMBERS)) if n not in taken)

    def _starter(self, orders: list[face.Order], p: int, wanted: Wanted, now: float) -> Table:
        """One of the tables of standing size over which the best workers are dealt; anew once one is not."""
        wants = wanted.shares
        common = {i: share for i, share in wants[0].items() if all(i in want for want in wants)}
        common = common or max(wants, key=len)
        best = [i for i, part in wanted.parts.items() if part == 1.0 and i not in wanted.out and i in common]
        best = best or [i for i in common if i not in wanted.out] or list(common)
        if {i for table in self.starters for i in table.parts} - set(best) or not self.starters:
            self.retired += self.starters
            count = -(-len(best) // self.standing) or 1
            dealt = [{i: common[i] for i in best[n::count]} for n in range(count)]
            self.starters = [self._lay(orders, wanted, part, now) for part in dealt]
        return self.starters[p % len(self.starters)]

    def _lay(self, orders: list[face.Order], wanted: Wanted, shares: dict[int, float],
             clear_at: float = inf) -> Table:
        self.last_number = self._free(self.last_number, self.numbers)
        self.numbers.add(self.last_number)
        parts = {i: wanted.parts.get(i, 1.0) for i in shares}
        table = Table(self.last_number, dict(shares), parts, list(wanted.levels), clear_at)
        orders.extend(face.Share(table.number, self.fleet.ids[i], share) for i, share in table.shares.items())
        for k, (share, retry) in enumerate(table.levels):
            if (share, retry) != (self.all_in, self.usual_retry):
                orders.append(face.Admit(table.number, k, retry, share))
        return table

    def _moved(self, table: Table, want: dict[int, float], out: set[int]) -> list[int]:
        """Workers whose line differs, the largest first; those taken away, who are withdrawn by now, last."""
        have = table.shares
        # Danger: a new line for one that must stay out, as nobody may have been told of its withdrawal.
        moved = {i for i in {**have, **want} if have.get(i) != want.get(i)} - (out - have.keys())
        return sorted(moved, key=lambda i: (i not in want, -abs(want.get(i, 0.0) - have.get(i, 0.0)), i))

    def _wake(self, now: float, orders: list[face.Order], wanted: Wanted) -> None:
        """One timer at the next time at which something is due of itself."""
        busy = self.changes or self.account.sent or self.retired or wanted.out ^ self.out
        due = [now + self.BEAT if busy else inf, self.ask_at, *self.barred.values()]
        for i in wanted.parts:
            age = now - self.fleet.since[i]
            due.append(inf if self.health.cap[i] else max(self.health.due[i], now + self.BEAT))
            due.append(now + self.RAISE - age % self.RAISE if age < self.warm_after else inf)
        self.armed = {at for at in self.armed if at > now}
        if min(due) < min(self.armed, default=inf):
            self.last_token += 1
            self.armed.add(min(due))
            orders.append(face.Wake(min(due) - now, self.last_token))
