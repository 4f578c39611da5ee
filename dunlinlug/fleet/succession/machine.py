"""Who is master, as a state machine free of I/O: events and time in, orders out, in the order of their effect.

Votes are by majority and term, and are on disk before they are sent, so that a term has one master. A member that
hears its master promises not to vote for a lease's time on its own clock; the master counts its lease from when it
sent what a majority has answered, shortened by the clocks' drift, so that it has stopped by itself before a successor
can be voted for. Entries are numbered; one is committed once a majority has it, and its effects wait for that. A vote
goes only to who is as far as the voter, so that a successor has all that took effect. `docs/succession.md` has the
promises; the model in `dunlinlug/fleet/succession/search.py` visits the states of this very class.
"""

from collections import deque
from collections.abc import Callable
from copy import copy

from dunlinlug.fleet.succession.words import (
    NOWHERE,
    Answer,
    Apply,
    Ask,
    Beat,
    Committed,
    Heard,
    Keep,
    Lead,
    Message,
    Order,
    Pass,
    Position,
    Restore,
    Roll,
    Send,
    Whole,
    WholeFor,
    Yield,
)

KEPT = 256  # entries kept for members that lag: about as many as a second brings; who lags more gets the whole


class Machine:
    """One member. `lease` and `beat` are seconds on its clock; `drift` bounds how far a clock's rate is from true;
    after `forgets` seconds without news a member that started with nothing counts as if it remembered."""

    def __init__(
        self,
        me: str,
        kept: Keep,
        now: float,
        lease: float,
        beat: float,
        drift: float,
        forgets: float,
        uniform: Callable[[float, float], float],
    ) -> None:
        self.me, self.lease, self.beat, self.uniform = me, lease, beat, uniform
        self.own_lease = lease * (1.0 - drift) / (1.0 + drift)
        self.term, self.voted, self.roll = kept.term, kept.voted, kept.roll
        self.position, self.committed = NOWHERE, NOWHERE
        self.blank_until = now + forgets
        self.promised = (
            now + lease
        )  # Danger: a promise made before a restart is forgotten, and may still hold
        self.stand_at = self.promised + uniform(0.0, lease / 2)
        self.master, self.leading, self.master_since = "", False, now
        self.behind: int | None = (
            0  # as a standby: entries that we lack by the last beat; None if we need the whole
        )
        self.asking: tuple[int, bool] | None = None  # term and probe of the question that is out
        self.answers: dict[str, Answer] = {}
        self.acks: dict[
            str, float
        ] = {}  # as master: by member the latest of our beats that it has answered
        self.places: dict[str, Position] = {}  # and where it stands, if it follows
        self.wholes: dict[str, float] = {}  # and when it was last sent the whole
        self.recent: deque[tuple[Position, bytes]] = deque(maxlen=KEPT)
        self.beat_at, self.rolled = (
            now,
            NOWHERE,
        )  # the last: position of the last change of the roll

    def clone(self) -> "Machine":
        """An independent copy, for the search."""
        made = copy(self)
        made.answers, made.acks, made.places = (
            dict(self.answers),
            dict(self.acks),
            dict(self.places),
        )
        made.wholes, made.recent = dict(self.wholes), self.recent.copy()
        return made

    # What is known.

    def blank(self, now: float) -> bool:
        return self.position == NOWHERE and now < self.blank_until

    def lease_end(self, now: float) -> float:
        """Until when, on our clock, no other can have been voted for: the lease of the majority's latest answers."""
        times = sorted(
            (now if m == self.me else self.acks.get(m, -1e18) for m in self.roll.members),
            reverse=True,
        )
        return times[self.roll.most() - 1] + self.own_lease

    def may_order(self, now: float) -> bool:
        """Asked before each order that takes effect."""
        return self.leading and now < self.lease_end(now)

    def lags(self) -> dict[str, int | None]:
        """As master: entries that each other member lacks; None if it has to be given the whole."""
        return {
            m: self.position[1] - self.places[m][1] if m in self.places else None
            for m in self.roll.members
            if m != self.me
        }

    def next_at(self) -> float:
        return self.beat_at if self.leading else self.stand_at

    # Time.

    def tick(self, now: float) -> list[Order]:
        if self.leading:
            # Danger: none before the first answers, which a vote does not promise; but time to get them.
            if now >= max(self.lease_end(now), self.master_since + self.own_lease):
                return self._yield(now, "its lease is over: no majority has answered")
            return self._beats(now) if now >= self.beat_at else []
        if now >= self.stand_at and self.me in self.roll.members:
            return self._stand(now)
        return []

    def _stand(self, now: float) -> list[Order]:
        """Ask whether a vote would be given, before a term is used up: a member that was cut off disturbs nobody. It
        costs nothing, and who was asked may have heard the master a beat later than we: soon again."""
        self.stand_at = now + (self.beat + self.uniform(0.0, self.beat)) / 4
        if now < self.promised:
            return []
        return self._ask(now, probe=True)

    def _ask(self, now: float, probe: bool, handed: bool = False) -> list[Order]:
        orders: list[Order] = []
        if not probe:
            self.term, self.voted, self.master = self.term + 1, self.me, ""
            # Two that ask at one moment split the votes; a beat or so apart is apart enough for the next time.
            self.stand_at = now + self.beat / 2 + self.uniform(0.0, self.beat)
            orders.append(Keep(self.term, self.voted, self.roll))
        term = self.term + probe
        self.asking = (term, probe)
        self.answers = {self.me: Answer(self.term, self.me, term, probe, True, self.blank(now))}
        orders += [
            Send(m, Ask(term, self.me, self.position, probe, handed)) for m in self._others()
        ]
        return orders + self._count(now)

    def _others(self) -> list[str]:
        return [m for m in self.roll.members if m != self.me]

    def lost(self, now: float, member: str, living: set[str]) -> None:
        """The membership's detector has found that it failed. If it was our master we stand as soon as our promise to
        it is over, one after the other: who lives and comes first is another in each term, as one that comes and goes
        would always be it. It hurries us and binds nobody: promises are looked at when we stand, and by the others."""
        if member != self.master or self.leading or self.me not in self.roll.members:
            return
        order = self.roll.members
        first = self.term % len(order)
        others = [
            m
            for m in (*order[first:], *order[:first])
            if m == self.me or m in living and m != member
        ]
        self.stand_at = min(
            self.stand_at, max(now, self.promised) + others.index(self.me) * self.beat / 2
        )

    def _beats(self, now: float) -> list[Order]:
        self.beat_at = now + self.beat
        return [Send(m, self._beat_for(m, now)) for m in self._others()]

    def _beat_for(self, member: str, now: float) -> Beat:
        """What the member lacks; nothing but our place if we can't tell, which it will answer."""
        place = self.places.get(member)
        after = [(at, entry) for at, entry in self.recent if place is not None and at > place]
        whole = place is not None and len(after) == self.position[1] - place[1]
        base, entries = (
            (place, tuple(entry for _, entry in after)) if whole and place else (self.position, ())
        )
        return Beat(self.term, self.me, now, self.roll, base, entries)

    # Entries and the roll.

    def append(self, now: float, entry: bytes) -> list[Order]:
        """One more entry, sent at once to who keeps up. Its effects wait for `Committed`."""
        assert self.leading
        before, self.position = self.position, (self.term, self.position[1] + 1)
        self.recent.append((self.position, entry))
        orders: list[Order] = [
            Send(m, Beat(self.term, self.me, now, self.roll, before, (entry,)))
            for m in self._others()
            if m in self.places
        ]
        return orders + self._commit()

    def enrol(self, now: float, members: tuple[str, ...], entry: bytes) -> list[Order]:
        """Change the set by one member. Raises ValueError if it may not be changed now, saying why."""
        if not self.may_order(now):
            raise ValueError("only the master changes the set")
        if len(set(members) ^ set(self.roll.members)) != 1 or len(set(members)) != len(members):
            raise ValueError(
                "one member at a time: two majorities without a common member would be possible"
            )
        if self.committed[0] != self.term or self.committed < self.rolled:
            raise ValueError(
                "an earlier change, or the beginning of this term, is not yet with a majority"
            )
        if self.me not in members:
            raise ValueError("the master cannot leave; hand over first")
        self.roll = Roll(self.roll.version + 1, tuple(sorted(members)))
        self.places = {m: at for m, at in self.places.items() if m in members}
        self.acks = {m: at for m, at in self.acks.items() if m in members}
        self.rolled = (self.term, self.position[1] + 1)
        return [Keep(self.term, self.voted, self.roll), *self.append(now, entry), *self._beats(now)]

    def whole(self, now: float, to: str, body: bytes) -> list[Order]:
        """The whole for one member, as the host made it at our position."""
        if not self.leading:
            return []
        return [Send(to, Whole(self.term, self.me, now, self.roll, self.position, body))]

    def _commit(self) -> list[Order]:
        at = sorted(
            (
                self.position if m == self.me else self.places.get(m, NOWHERE)
                for m in self.roll.members
            ),
            reverse=True,
        )[self.roll.most() - 1]
        if not self._sealed(at) or at <= self.committed:
            return []
        self.committed = at
        return [Committed(at)]

    def has_all(self, member: str) -> bool:
        """As far as that member's answers tell."""
        return self.places.get(member) == self.position

    def pass_on(self, now: float, to: str) -> list[Order]:
        """Hand over to a member that has all; raises ValueError if it has not. We order nothing from here on."""
        if not self.may_order(now) or not self.has_all(to):
            raise ValueError(f"{to or 'nobody'} is not as far as we are, or we are not master")
        return [*self._yield(now, f"handed over to {to}"), Send(to, Pass(self.term, self.me))]

    # Messages.

    def hear(self, now: float, message: Message) -> list[Order]:
        """Danger: one that is no member, or no longer, has no say."""
        if (
            isinstance(message, Ask | Answer | Heard | Pass)
            and message.sender not in self.roll.members
        ):
            return []
        match message:
            case Ask():
                return self._asked(now, message)
            case Answer():
                return self._answered(now, message)
            case Heard():
                return self._heard(now, message)
            case Pass():
                good = (
                    message.term == self.term and message.sender == self.master and not self.leading
                )
                return self._ask(now, probe=False, handed=True) if good else []
        return self._led(now, message)

    def _asked(self, now: float, ask: Ask) -> list[Order]:
        granted = self._free(ask) and not self._bound(now, ask) and self._far_enough(ask)
        orders: list[Order] = []
        if granted and not ask.probe:
            orders += self._yield(now, "another was voted for") if self.leading else []
            self.term, self.voted, self.master, self.asking = ask.term, ask.sender, "", None
            self.stand_at = now + self.lease / 2 + self.uniform(0.0, self.lease / 2)
            orders.append(Keep(self.term, self.voted, self.roll))
        answer = Answer(self.term, self.me, ask.term, ask.probe, granted, self.blank(now))
        return [*orders, Send(ask.sender, answer)]

    # The safety lines of a vote, each by itself: the search shows what happens without it.

    def _free(self, ask: Ask) -> bool:
        """One vote a term."""
        return ask.term > self.term or ask.term == self.term and self.voted in ("", ask.sender)

    def _bound(self, now: float, ask: Ask) -> bool:
        """By a promise to a master, unless it has passed on itself. Danger: a late copy of that; its term and the one
        after it are then used up with a majority."""
        return (now < self.promised or self.may_order(now)) and not (
            ask.handed and ask.term == self.term + 1
        )

    def _far_enough(self, ask: Ask) -> bool:
        """Who wins has all that took effect, as a majority has it."""
        return ask.position >= self.position

    def _sure(self, granted: list[Answer]) -> bool:
        """Danger: who has just started may have known more than it says, so blank votes count only if all vote."""
        return not any(a.blank for a in granted) or len(granted) == len(self.roll.members)

    def _sealed(self, at: Position) -> bool:
        """Danger: an entry of an earlier term that a majority has may still be lost; one of ours seals it."""
        return at[0] == self.term

    def _answered(self, now: float, answer: Answer) -> list[Order]:
        if answer.term > self.term:
            return self._newer(now, answer.term)
        if self.asking != (answer.asked, answer.probe):
            return []
        self.answers[answer.sender] = answer
        return self._count(now)

    def _count(self, now: float) -> list[Order]:
        assert self.asking is not None
        granted = [a for m, a in self.answers.items() if a.granted and m in self.roll.members]
        if len(granted) < self.roll.most() or not self._sure(granted):
            return []
        term, probe = self.asking
        self.asking = None
        return self._ask(now, probe=False) if probe else self._lead(now, term)

    def _lead(self, now: float, term: int) -> list[Order]:
        self.leading, self.master, self.master_since = True, self.me, now
        self.acks, self.places, self.wholes = {}, {}, {}
        self.recent.clear()
        self.rolled = NOWHERE
        return [Lead(term), *self._beats(now)]

    def _yield(self, now: float, why: str) -> list[Order]:
        self.leading, self.master = False, ""
        self.stand_at = now + self.lease / 2 + self.uniform(0.0, self.lease / 2)
        return [Yield(why)]

    def _newer(self, now: float, term: int) -> list[Order]:
        """A higher term has been seen: we are nothing in ours any more."""
        orders = self._yield(now, f"term {term} has begun") if self.leading else []
        self.term, self.voted, self.asking = term, "", None
        return [*orders, Keep(self.term, self.voted, self.roll)]

    def unfit(self, now: float, forgets: float) -> None:
        """What came could not be taken in. Danger: as it stands we would vote, and be voted for, by a place that we do
        not have; we have none, like a member that has just started."""
        self.position, self.blank_until, self.behind = NOWHERE, now + forgets, None

    def fenced(self, now: float, term: int) -> list[Order]:
        """A proxy has seen a higher term than ours."""
        return self._newer(now, term) if term > self.term else []

    def _led(self, now: float, message: Beat | Whole) -> list[Order]:
        if message.term < self.term or message.term == self.term and self.leading:
            return [
                Send(message.sender, Heard(self.term, self.me, message.sent, self.position, False))
            ]
        orders = self._newer(now, message.term) if message.term > self.term else []
        if self.master != message.sender:
            self.master, self.master_since = message.sender, now
        self.asking, self.promised = None, now + self.lease
        self.stand_at = self.promised + self.uniform(0.0, self.lease / 4)
        if message.roll.version > self.roll.version:
            self.roll = message.roll
            orders.append(Keep(self.term, self.voted, self.roll))
        follows = True
        if isinstance(message, Whole):
            if self.position[0] != message.term or self.position < message.position:
                self.position = message.position
                orders.append(Restore(message.body, self.position))
        else:
            follows = self._follow(message, orders)
            last = message.base[1] + len(message.entries)
            self.behind = max(last - self.position[1], 0) if follows else None
        return [
            *orders,
            Send(message.sender, Heard(self.term, self.me, message.sent, self.position, follows)),
        ]

    def _follow(self, beat: Beat, orders: list[Order]) -> bool:
        """Take the entries that we lack; false if ours is another line, or has a gap."""
        known = 0
        if self.position != beat.base:
            known = self.position[1] - beat.base[1]
            if self.position[0] != beat.term or not 0 <= known <= len(beat.entries):
                # Danger: of our term and beyond what this beat has: a late one, that says nothing against us.
                return self.position[0] == beat.term and known > 0
        for entry in beat.entries[known:]:
            self.position = (beat.term, self.position[1] + 1)
            orders.append(Apply(entry, self.position))
        return True

    def _heard(self, now: float, heard: Heard) -> list[Order]:
        if heard.term > self.term:
            return self._newer(now, heard.term)
        if heard.term < self.term or not self.leading:
            return []
        self.acks[heard.sender] = max(self.acks.get(heard.sender, heard.sent), heard.sent)
        if heard.follows:
            first = heard.sender not in self.places
            self.places[heard.sender] = max(self.places.get(heard.sender, NOWHERE), heard.position)
            more: list[Order] = (
                [Send(heard.sender, self._beat_for(heard.sender, now))] if first else []
            )
            return more + self._commit()
        self.places.pop(heard.sender, None)
        if now < self.wholes.get(heard.sender, -1e18) + self.beat:
            return []
        self.wholes[heard.sender] = now
        return [WholeFor(heard.sender)]
