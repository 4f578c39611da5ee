"""Who is there, as a machine free of I/O: messages and time in, messages and changes out.

Members are probed in random rounds, through others where they do not answer; who answers nobody is suspected, and
failed once the suspicion is old enough, the sooner the more members bear witness. A member speaks against rumours by
raising its word. `docs/members.md` weighs this against other ways and says what is promised; the search in
`dunlinlug/fleet/members/search.py` visits the states of this very class.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, log, log10
from random import Random

from dunlinlug.fleet.members.table import Table
from dunlinlug.fleet.members.words import (
    ALIVE,
    FAILED,
    LEFT,
    STATES,
    SUSPECTED,
    Ack,
    Ask,
    Bar,
    Changed,
    Digest,
    Extra,
    Heard,
    Item,
    Late,
    Message,
    Nack,
    News,
    Order,
    Ping,
    Row,
    Send,
    Told,
    Whole,
    Yielded,
)

DIRECT = 0.4  # part of a beat in which a direct answer is waited for: some hundred times a way within a site
HELPERS = 3  # members asked to probe for us, as in SWIM's paper
WITNESSES = (
    3  # others that bear witness until a suspicion is as short as it gets, as in Lifeguard's paper
)
SHORT, LONG = (
    2.0,
    12.0,
)  # beats of a suspicion, with all witnesses and with none, for each tenfold size
DULL = 8  # most that a member distrusts itself, as in Lifeguard's paper: its beats are that much longer
DEAF = 3  # beats, each longer than the one before, in which who hears nobody condemns nobody: two seconds or so
FAN = 3  # members that are told at once of what is new
SOON = 8  # expected members that probe at once whom they hear suspected: all of a small fleet, no storm in a large one
KNOCK = 4.0  # beats between knocks at a failed member or a seed, so that cuts heal by themselves
EXCHANGE = 50.0  # beats between exchanges of all that is known
APART = 10.0  # beats that a peer's digest may differ before all is exchanged with it
FORGET = (
    600.0  # beats until who has failed or left is forgotten: far beyond what any message travels
)
SMALL = (
    32  # members up to which each hears each other one often enough to say whom it does not hear
)


@dataclass
class Peer:
    """What we met of a member ourselves; times are ours. `mute`: it has not answered, though we hear it."""

    since: float
    heard: float = -inf
    by_us: bool = True  # whether it answers us directly
    mute: bool = False
    apart: float = inf  # since when its digest differs from ours


@dataclass
class Probe:
    """`verify`: we were told that it has failed, and ask once before we believe it."""

    name: str
    born: int
    began: float
    ends: float
    asked_at: float = inf  # when helpers are asked
    helpers: int = 0
    nacks: int = 0
    extra: bool = False
    verify: Told | None = None


@dataclass
class Suspicion:
    began: float
    by: set[str] = field(default_factory=set)


@dataclass
class Errand:
    """A probe that another asked for: whom to tell, under which number."""

    seq: int
    asker: Told
    ends: float


class Machine:
    """One member. `beat` is seconds from probe to probe; `born` numbers the starts of a process under this name, and
    `seeds` are places where others may be found. Times are the host's, and may jump."""

    def __init__(
        self,
        me: str,
        born: int,
        place: tuple[str, int],
        seeds: Iterable[tuple[str, int]],
        now: float,
        beat: float,
        chance: Random,
    ) -> None:
        self.me, self.beat, self.chance = me, beat, chance
        self.own = Told(me, (born, 0), ALIVE, place, me)
        self.seeds = [seed for seed in seeds if seed != place]
        self.table = Table()
        self.table.take(self.own)
        self.peers: dict[str, Peer] = {}
        self.probes: dict[int, Probe] = {}
        self.errands: dict[int, Errand] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.round: list[str] = []
        self.dull, self.seq, self.rowed = 0, 0, 0
        self.now, self.shift = now, 0.0
        self.beat_at, self.knock_at, self.spread_at = now, now, inf
        self.exchange_at = now + chance.uniform(0.5, 1.0) * EXCHANGE * beat
        self.due = now
        self.state = "joining" if self.seeds else "alive"  # or left, barred, yielded
        self.heard_at = now  # when anybody was heard last

    # Time.

    def next_at(self) -> float:
        """When `tick` is due, on the host's clock."""
        ends = [p.ends for p in self.probes.values()] + [p.asked_at for p in self.probes.values()]
        ends += [errand.ends for errand in self.errands.values()]
        ends += [self._ends(name) for name in self.suspicions]
        self.due = min([self.beat_at, self.knock_at, self.spread_at, self.exchange_at, *ends])
        return self.due - self.shift

    def _clock(self, now: float) -> float:
        """Our time: the host's, which never goes back here. Danger: set back, nothing would be due for an hour."""
        if now + self.shift < self.now:
            self.shift = self.now - now
        self.now = now + self.shift
        return self.now

    def tick(self, host: float) -> list[Order]:
        now = self._clock(host)
        orders = self._late(now)
        if self.state in ("left", "barred", "yielded"):
            self.beat_at = self.exchange_at = now + self.beat
            self.knock_at, self.spread_at = inf, inf
            return orders
        for seq in [seq for seq, probe in self.probes.items() if probe.asked_at <= now]:
            orders += self._ask_helpers(seq)
        for seq in [seq for seq, probe in self.probes.items() if probe.ends <= now]:
            orders += self._unanswered(now, self.probes.pop(seq))
        for seq in [seq for seq, errand in self.errands.items() if errand.ends <= now]:
            errand = self.errands.pop(seq)
            orders.append(Send(errand.asker.place, Nack(self.own, errand.asker.name, errand.seq)))
        for name in [name for name in self.suspicions if self._ends(name) <= now]:
            began = self.suspicions[name].began
            witnesses = ", ".join(sorted(self.suspicions[name].by))
            failed = self._with(name, FAILED)
            orders += self._take(
                now, failed, f"suspected for {now - began:.2f} s, witnesses: {witnesses}"
            )
        if self.beat_at <= now:
            self.beat_at = now + self.beat * (1 + self.dull)
            orders += self._beat(now)
        if self.knock_at <= now:
            self.knock_at = now + KNOCK * self.beat * self.chance.uniform(0.75, 1.25)
            orders += self._knock(now)
        if self.exchange_at <= now:
            self.exchange_at = now + self.chance.uniform(0.75, 1.25) * EXCHANGE * self.beat
            others = self._others()
            orders += self._exchange(self.chance.choice(others)) if others else []
        if self.spread_at <= now:
            orders += self._spread(now)
        return orders

    def _late(self, now: float) -> list[Order]:
        """Danger: stopped for a while, we would take all answers that wait unread for never given."""
        by = now - self.due
        if by <= self.beat:
            return []
        self.probes.clear()
        self.errands.clear()
        for suspicion in self.suspicions.values():
            suspicion.began += by
        for peer in self.peers.values():
            peer.apart = inf
        self.dull = min(DULL, self.dull + 1)
        return [Late(by)]

    # Probes.

    def _others(self) -> list[str]:
        return [name for name in self.table.living() if name != self.me]

    def _beat(self, now: float) -> list[Order]:
        """The next of the round; each is met once before any is met twice."""
        orders: list[Order] = []
        for name in list(self.table.gone()):
            if name != self.me and now >= self.peers[name].since + FORGET * self.beat:
                orders.append(
                    Changed(
                        name, STATES[self.table.told[name].state], "gone", "failed or left long ago"
                    )
                )
                self.table.forget(name)
                del self.peers[name]
        known = set(self._others())
        while self.round and self.round[-1] not in known:
            self.round.pop()
        if not self.round:
            self.round = sorted(known)
            self.chance.shuffle(self.round)
        orders += self._probe(now, self.round.pop()) if self.round else []
        return orders + self._row(now)

    def _probe(
        self, now: float, name: str, extra: bool = False, verify: Told | None = None
    ) -> list[Order]:
        self.seq += 1
        told, slow = self.table.told[name], 1 + self.dull
        ends = now + (DIRECT if verify else 1.0) * self.beat * slow
        self.probes[self.seq] = Probe(
            name,
            told.life[0],
            now,
            ends,
            inf if verify else now + DIRECT * self.beat * slow,
            extra=extra,
            verify=verify,
        )
        return [self._ping(name, self.seq, verify)]

    def _ping(self, name: str, seq: int, rumour: Told | None = None) -> Send:
        told = self.table.told[name]
        # Who is spoken of badly hears it from us first, so that it can speak against it.
        about: tuple[Item, ...] = (rumour,) if rumour else (told,) if told.state != ALIVE else ()
        return Send(
            told.place, Ping(self.own, name, seq, self.table.digest(), self.table.gossip(about))
        )

    def _ask_helpers(self, seq: int) -> list[Order]:
        probe = self.probes[seq]
        probe.asked_at = inf
        others = [name for name in self._others() if name != probe.name]
        chosen = self.chance.sample(others, min(HELPERS, len(others)))
        probe.helpers = len(chosen)
        about = self.table.told[probe.name]
        return [
            Send(self.table.told[name].place, Ask(self.own, name, seq, about, self.table.gossip()))
            for name in chosen
        ]

    def _unanswered(self, now: float, probe: Probe) -> list[Order]:
        told, peer = self.table.told.get(probe.name), self.peers.get(probe.name)
        if told is None or peer is None or told.life[0] != probe.born or told.state > SUSPECTED:
            return []
        if probe.verify is not None:
            return self._take(
                now, probe.verify, f"{probe.verify.by} says so, and it does not answer us"
            )
        peer.by_us, peer.mute = False, True
        if (
            peer.heard >= probe.began
        ):  # whom we hear is alive, answered or not: then it is our words that are lost
            self.dull = min(DULL, self.dull + 1)
            return self._row(now)
        deaf = self.heard_at < probe.began
        if (
            probe.nacks < probe.helpers or deaf
        ):  # Danger: helpers that are silent too; it may be we who hear nothing
            self.dull = min(DULL, self.dull + 1)
        if deaf and self.dull <= DEAF:
            return []
        suspected = Told(told.name, told.life, SUSPECTED, told.place, self.me)
        return self._take(
            now,
            suspected,
            f"no answer in {now - probe.began:.2f} s, nor to {probe.helpers} others "
            f"({probe.nacks} said so)",
        )

    def _with(self, name: str, state: int) -> Told:
        told = self.table.told[name]
        return Told(name, told.life, state, told.place, self.me)

    # Suspicions.

    def _ends(self, name: str) -> float:
        """The more witnesses, the sooner; of few members few can bear witness."""
        suspicion, size = self.suspicions[name], len(self.table.living())
        scale = self.beat * max(1.0, log10(max(size, 1)))
        most = min(WITNESSES, size - 2)
        part = (
            log(min(len(suspicion.by), most + 1)) / log(most + 1)
            if most > 0 and suspicion.by
            else 0.0
        )
        return suspicion.began + scale * (LONG - (LONG - SHORT) * part) * (1 + self.dull / 2)

    # What is told.

    def _take(self, now: float, item: Told, why: str) -> list[Order]:
        """Merge one word on a member; gives what changes by it."""
        name, had = item.name, self.table.told.get(item.name)
        if name == self.me:
            return self._of_me(now, item)
        if (
            item.state == SUSPECTED
            and had is not None
            and had.rank() == item.rank()
            and name in self.suspicions
        ):
            suspicion = self.suspicions[name]
            if item.by not in suspicion.by and len(suspicion.by) <= WITNESSES:
                suspicion.by.add(item.by)
                self.table.tell(item)
            return []
        if not self.table.take(item):
            return []
        self.spread_at = min(self.spread_at, now + self.beat / 8)
        before = STATES[had.state] if had is not None else "unknown"
        again = had is not None and had.life[0] != item.life[0]
        peer = self.peers.setdefault(name, Peer(now))
        if had is None or had.state != item.state or again:
            peer.since = now
        orders: list[Order] = []
        if item.state == SUSPECTED:
            self.suspicions[name] = Suspicion(now, {item.by})
            soon = self.chance.random() * max(len(self._others()), 1) < SOON
            if (
                item.by != self.me
                and soon
                and not any(probe.name == name for probe in self.probes.values())
            ):
                orders += self._probe(now, name, extra=True)
        else:
            self.suspicions.pop(name, None)
        if before != STATES[item.state] or again:
            orders.append(
                Changed(name, before, STATES[item.state], f"started again: {why}" if again else why)
            )
        return orders

    def _of_me(self, now: float, item: Told) -> list[Order]:
        born, word = self.own.life
        if item.life[0] > born and item.state > SUSPECTED and self.state != "left":
            self._say(
                now, (item.life[0] + 1, 0), ALIVE
            )  # our store or clock was lost; the later start is over
            return [
                Changed(
                    self.me,
                    STATES[item.state],
                    "alive",
                    f"start {born} goes on as {item.life[0] + 1}",
                )
            ]
        if item.life[0] > born and self.state not in ("left", "yielded"):
            # Another process under our name: the later start stays, which needs no talk.
            self.state = "yielded"
            self.probes.clear()
            return [
                Yielded(item.life[0]),
                Changed(self.me, "alive", "yielded", "a later start has our name"),
            ]
        if (
            item.life[0] == born
            and item.state != ALIVE
            and item.life[1] >= word
            and self.state != "left"
        ):
            self._say(now, (born, item.life[1] + 1), ALIVE)
            self.dull = min(DULL, self.dull + 1)
            return [Changed(self.me, STATES[item.state], "alive", f"we speak against {item.by}")]
        return []

    def _say(self, now: float, life: tuple[int, int], state: int) -> None:
        self.own = Told(self.me, life, state, self.own.place, self.me)
        self.table.take(self.own)
        self.spread_at = now

    def _spread(self, now: float) -> list[Order]:
        """What is new goes to a few at once; the rest hear it with the pings."""
        self.spread_at = inf
        if not self.table.fresh():
            return []
        others = self._others()
        orders: list[Order] = []
        for name in self.chance.sample(others, min(FAN, len(others))):
            if items := self.table.gossip():
                orders.append(Send(self.table.told[name].place, News(self.own, name, items)))
        return orders

    def _row(self, now: float) -> list[Order]:
        """Whom we do not reach ourselves, told on when it changes."""
        others = self._others()
        quiet = now - (3 * len(others) + LONG) * self.beat * (1 + self.dull)
        unanswered = tuple(sorted(name for name in others if not self.peers[name].by_us)[:16])
        unheard = tuple(
            sorted(
                name
                for name in others
                if len(others) < SMALL
                and max(self.peers[name].heard, self.peers[name].since) < quiet
            )[:16]
        )
        held = self.table.rows.get(self.me)
        if (unanswered, unheard) != ((held.unanswered, held.unheard) if held else ((), ())):
            self.rowed += 1
            self.table.take(Row(self.me, (self.own.life[0], self.rowed), unanswered, unheard))
        return []

    # Joining, and healing of cuts.

    def _knock(self, now: float) -> list[Order]:
        """At a failed member or a seed that nobody living stands at: it may be well, behind a cut that has healed."""
        places = {
            self.table.told[name].place: name
            for name in self.table.gone()
            if self.table.told[name].state == FAILED and not self.table.barred(name)
        }
        taken = {self.table.told[name].place for name in self.table.living()}
        doors = sorted({*places, *(seed for seed in self.seeds if seed not in taken)})
        if not doors:
            return []
        place = self.chance.choice(doors)
        name = places.get(place, "")
        about: tuple[Item, ...] = (self.table.told[name],) if name else ()
        ping = Ping(self.own, name or "?", 0, self.table.digest(), self.table.gossip(about))
        orders: list[Order] = [Send(place, ping)]
        if self.state == "joining" or len(self._others()) == 0:
            orders.append(Send(place, Whole(self.own, name or "?", True, self.table.whole())))
        return orders

    def _exchange(self, name: str) -> list[Order]:
        return [Send(self.table.told[name].place, Whole(self.own, name, True, self.table.whole()))]

    # Messages.

    def hear(self, host: float, message: Message) -> list[Order]:
        now, own = self._clock(host), message.own
        if message.to not in (self.me, "?") or self.state == "left":
            return []
        if self.table.barred(own.name):
            return self._of_barred(now, message)
        if own.name == self.me:
            return self._take(now, own, "") if own.life != self.own.life else []
        known = self.table.told.get(own.name)
        if known is not None and known.life[0] > own.life[0]:
            # A former process of that name, or the lesser of two: it hears of the other, and is no witness.
            return (
                [Send(own.place, News(self.own, own.name, (known,)))]
                if isinstance(message, Ping)
                else []
            )
        orders = self._take(now, own, "it says so itself")
        peer = self.peers.get(own.name)
        if peer is None or own.name not in self.table.told:
            return orders  # no room for more members
        self.heard_at = now
        if own.rank() >= self.table.told[own.name].rank():
            peer.heard = now
        if self.state == "joining":
            self.state = "alive"
            orders += self._exchange(own.name)
        items = message.items if isinstance(message, Whole) else getattr(message, "gossip", ())
        for item in items:
            orders += self._item(now, item, own.name)
        if self.state in ("yielded", "barred"):
            return orders
        match message:
            case Ping(seq=seq):
                about = self.table.told[own.name]
                first = (about,) if about.state != ALIVE else ()
                orders.append(
                    Send(
                        own.place,
                        Ack(
                            self.own,
                            own.name,
                            seq,
                            self.me,
                            self.own.life[0],
                            self.table.digest(),
                            self.table.gossip(first),
                        ),
                    )
                )
                orders += self._compare(now, own.name, message.digest)
            case Ack():
                orders += self._acked(now, message)
            case Ask(about=about):
                orders += self._errand(now, message, about)
            case Nack(seq=seq) if seq in self.probes:
                self.probes[seq].nacks += 1
            case Whole(back=True):
                orders.append(Send(own.place, Whole(self.own, own.name, False, self.table.whole())))
        return orders

    def _of_barred(self, now: float, message: Message) -> list[Order]:
        """It hears that it is barred, and hears nothing else; but the word that ends it may come from anyone."""
        items = message.items if isinstance(message, Whole) else getattr(message, "gossip", ())
        orders: list[Order] = []
        for item in items:
            if isinstance(item, Bar) and item.name == message.own.name:
                orders += self._item(now, item, message.own.name)
        if self.table.barred(message.own.name) and isinstance(message, Ping):
            word = self.table.bars[message.own.name]
            orders.append(Send(message.own.place, News(self.own, message.own.name, (word,))))
        return orders

    def _item(self, now: float, item: Item, by: str) -> list[Order]:
        match item:
            case Told():
                return self._hearsay(now, item)
            case Bar(name=name):
                before = self.table.barred(name)
                if not self.table.take(item) or before == item.on:
                    return []
                if name == self.me:
                    self._barred(now, item.on)
                self.suspicions.pop(name, None)
                words = ("barred", "unbarred")
                return [
                    Changed(
                        name,
                        words[not before],
                        words[not item.on],
                        f"an operator's word, heard of {by}",
                    )
                ]
            case Row():
                self.table.take(item)
            case Extra():
                return [Heard(item)]
        return []

    def _hearsay(self, now: float, item: Told) -> list[Order]:
        """Danger: one that hears nobody would tell that all have failed. Who is well in our view is asked first."""
        had = self.table.told.get(item.name)
        if (
            item.state != FAILED
            or item.name == self.me
            or had is None
            or had.state > SUSPECTED
            or had.rank() >= item.rank()
            or had.life != item.life
            or len(self.table.told) > SMALL
        ):
            return self._take(now, item, f"{item.by} says so")
        if any(probe.name == item.name and probe.verify for probe in self.probes.values()):
            return []
        return self._probe(now, item.name, verify=item)

    def _acked(self, now: float, ack: Ack) -> list[Order]:
        orders: list[Order] = []
        if ack.of == ack.own.name:
            orders += self._compare(now, ack.own.name, ack.digest)
        errand = self.errands.pop(ack.seq, None) if ack.of == ack.own.name else None
        if errand is not None:
            orders.append(
                Send(
                    errand.asker.place,
                    Ack(
                        self.own,
                        errand.asker.name,
                        errand.seq,
                        ack.of,
                        ack.lived,
                        self.table.digest(),
                        (self.table.told[ack.of],),
                    ),
                )
            )
        probe = self.probes.get(ack.seq)
        if probe is None or probe.name != ack.of or probe.born != ack.lived:
            return orders
        del self.probes[ack.seq]
        peer = self.peers[probe.name]
        direct = ack.of == ack.own.name
        peer.mute, peer.by_us = False, direct
        if direct and not probe.extra:
            self.dull = max(0, self.dull - 1)
        return orders + (
            self._row(now) if not direct or probe.name in self._unanswered_by_us() else []
        )

    def _unanswered_by_us(self) -> tuple[str, ...]:
        row = self.table.rows.get(self.me)
        return row.unanswered if row else ()

    def _errand(self, now: float, ask: Ask, about: Told) -> list[Order]:
        if about.name == self.me:
            return [
                Send(
                    ask.own.place,
                    Ack(
                        self.own,
                        ask.own.name,
                        ask.seq,
                        self.me,
                        self.own.life[0],
                        self.table.digest(),
                        self.table.gossip(),
                    ),
                )
            ]
        orders = self._hearsay(now, about)
        if about.name not in self.table.told or len(self.errands) >= 64:
            return orders
        self.seq += 1
        self.errands[self.seq] = Errand(ask.seq, ask.own, now + DIRECT * self.beat)
        return [*orders, self._ping(about.name, self.seq)]

    def _compare(self, now: float, name: str, digest: Digest) -> list[Order]:
        """Views that stay apart are exchanged whole: something was lost more often than it was told."""
        peer = self.peers[name]
        if digest == self.table.digest():
            peer.apart = inf
            return []
        peer.apart = min(peer.apart, now)
        if now < peer.apart + APART * self.beat:
            return []
        peer.apart = inf
        return self._exchange(name)

    # The host's and operators' words.

    def leave(self, host: float) -> list[Order]:
        """Goodbye: all are told at once, and we say nothing more."""
        now = self._clock(host)
        if self.state in ("left", "yielded"):
            return []
        self._say(now, self.own.life, LEFT)
        self.state = "left"
        for held in (self.probes, self.suspicions, self.errands):
            held.clear()
        return [
            Send(self.table.told[name].place, News(self.own, name, (self.own,)))
            for name in self._others()
        ]

    def bar(self, host: float, name: str, on: bool) -> list[Order]:
        """Raises ValueError for whom nobody knows."""
        now = self._clock(host)
        if name not in self.table.told:
            raise ValueError(
                f"{name!r} is no member known here; known are {', '.join(sorted(self.table.told))}"
            )
        count = self.table.bars[name].count + 1 if name in self.table.bars else 1
        orders = self._item(now, Bar(name, count, on), self.me)
        self.spread_at = now
        if name != self.me:  # who is barred hears nothing else any more
            orders.append(
                Send(self.table.told[name].place, News(self.own, name, (self.table.bars[name],)))
            )
        return orders

    def _barred(self, now: float, on: bool) -> None:
        if self.state != "yielded":
            self.state = "barred" if on else "joining"
            self.beat_at = self.knock_at = now
            self.probes.clear()

    def tell_all(self, extras: tuple[Extra, ...]) -> list[Order]:
        """Facts that are soon worth nothing: straight to each other member of a small fleet, to some of a large."""
        others = self._others()
        chosen = others if len(others) < SMALL else self.chance.sample(others, SMALL)
        return (
            [Send(self.table.told[name].place, News(self.own, name, extras)) for name in chosen]
            if extras
            else []
        )

    def in_touch(self, name: str) -> bool:
        """Whether we and this member reach each other, by whatever way, as far as we know."""
        told = self.table.told.get(name)
        if name == self.me:
            return self.state in ("alive", "joining")
        living = told is not None and told.state <= SUSPECTED and not self.table.barred(name)
        return living and not self.peers[name].mute
