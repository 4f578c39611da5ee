"""One owner at a time for each piece of work, as a machine free of I/O: messages and time in, orders out.

The members keep a log agreed by majority: succession's own machine, with grants as its entries in place of a manager's
batches; its master is the steward, who deals slots of work out. Members renew with the steward, once each a beat
whatever they own, and may act until what it gave them ends, on their own clocks. What the steward gives ends with its
own lease at the latest, so that its successor cannot have been voted for before; so a successor may deal at once what
is lost. A steward deals a slot anew only after all that it gave the slot's owner has ended on its own clock.
`docs/owner.md` has the promises; the model in `dunlinlug/fleet/owner/search.py` visits the states of this very class.
"""

from collections.abc import Callable, Iterable
from copy import copy
from math import inf

from dunlinlug.fleet.owner import book as books
from dunlinlug.fleet.owner import deal
from dunlinlug.fleet.owner.book import Book
from dunlinlug.fleet.owner.words import (
    SLOTS,
    Dealt,
    Granted,
    Holding,
    Note,
    Renew,
    numbered,
    term_of,
)
from dunlinlug.fleet.succession import machine as succession
from dunlinlug.fleet.succession import words as log_words
from dunlinlug.fleet.succession.words import NOWHERE

GRACE = 0.5  # leases from the beginning of a steward's term in which others' renewals may still be on their way
SEEN = "a carrier had seen a number as high"
NOTES = 64  # records in one message: a frame of some ten thousand bytes
Orders = list[object]  # of both machines' words


class Machine:
    """One member. `kept`, `lease` to `uniform` are the log's (see succession); `born` numbers this process's life."""

    def __init__(
        self,
        me: str,
        kept: log_words.Keep,
        now: float,
        lease: float,
        beat: float,
        drift: float,
        forgets: float,
        uniform: Callable[[float, float], float],
        born: int = 1,
        slots: int = SLOTS,
        log: type[succession.Machine] = succession.Machine,
    ) -> None:
        self.me, self.born, self.lease, self.beat, self.slots = me, born, lease, beat, slots
        self.log, self.forgets = log(me, kept, now, lease, beat, drift, forgets, uniform), forgets
        self.shorter = (1.0 - drift) / (
            1.0 + drift
        )  # seconds of ours that surely end within one of another's
        self.book = Book(slots)
        self.leased_until, self.leased_term, self.sure = -inf, 0, NOWHERE
        self.steward, self.former, self.renew_at = "", "", now
        self.pending: Granted | None = None
        self.given: dict[
            int, int
        ] = {}  # slots that we gave up, with the numbers under which they were ours
        self.behind: dict[
            int, int
        ] = {}  # slots of which a carrier has seen a higher number than ours
        self.notes: dict[str, tuple[int, bytes]] = {}  # records on their way into the log
        self.holding: frozenset[tuple[int, int]] = frozenset()
        # As steward: by member, until when what it was given may last; its latest renewal, by its clock and by ours;
        # and its life. Then when the next of these ends.
        self.until: dict[str, float] = {}
        self.sent: dict[str, tuple[float, float]] = {}
        self.lives: dict[str, int] = {}
        self.steady, self.began, self.failed, self.look_at = (
            deal.Steady(lease),
            now,
            set[str](),
            inf,
        )

    def clone(self) -> "Machine":
        """An independent copy, for the search."""
        made = copy(self)
        made.log, made.book, made.steady = self.log.clone(), self.book.clone(), self.steady.clone()
        made.log.__dict__.pop("form", None)  # which the search keeps there
        for name in ("given", "behind", "notes", "until", "sent", "lives", "failed"):
            setattr(made, name, copy(getattr(self, name)))
        return made

    # What is known.

    def may(self, now: float, slot: int) -> int | None:
        """The number under which we may act for a slot at this moment, or none. Asked again right before each effect
        leaves, also after the last wait."""
        number = self.book.numbers[slot]
        if (
            self.book.owners[slot] != self.me
            or self.given.get(slot) == number
            or self.behind.get(slot, -1) >= number
        ):
            return None
        return number if number <= numbered(self._agreed()) and now < self._ends(now) else None

    def _ends(self, now: float) -> float:
        """Until when we hold what is ours, on our clock."""
        if self.log.leading:
            return self.log.lease_end(now)
        return self.leased_until if self._on_line(self.leased_term) else -inf

    def _agreed(self) -> log_words.Position:
        return self.log.committed if self.log.leading else self.sure

    def _on_line(self, term: int) -> bool:
        """Danger: what we took of a former steward may never have been with a majority; once we have taken an entry of
        this one's, all before it is its line."""
        return self.log.term == term and self.log.position[0] == term

    def owner_of(self, piece: str) -> tuple[str, int]:
        """As far as we know: who owns a piece, and the number of its grant."""
        slot = self.book.slot_of(piece)
        return self.book.owners[slot], self.book.numbers[slot]

    def known(self) -> bool:
        """Whether we follow a log at all; a carrier that does not yet refuses everything."""
        return self.log.position != NOWHERE

    def next_at(self) -> float:
        if self.log.leading:
            return min(self.log.next_at(), self.renew_at, self.look_at)
        return min(self.log.next_at(), self.renew_at, self.leased_until if self.holding else inf)

    # Time.

    def tick(self, now: float) -> Orders:
        orders = self._of_log(now, self.log.tick(now))
        if now >= self.renew_at:
            orders += self._renew(now)
        if now >= self.look_at:
            self.look_at = inf  # Danger: left where it was while we may not order, we would be called without end
        if self.log.leading:
            orders += self._as_steward(now)
        return orders + self._hold(now)

    def _renew(self, now: float) -> Orders:
        """One message for all that we own, and what of our records is not in the log yet."""
        self.renew_at = now + self.beat
        if self.log.leading or not self.log.master:
            return []
        away = tuple(sorted(self.given.items()))
        orders: Orders = [
            log_words.Send(
                self.log.master,
                Renew(  # type: ignore[arg-type]
                    self.log.term, self.me, now, self.born, tuple(sorted(self.behind.items())), away
                ),
            )
        ]
        return orders + self._tell_notes(now)

    def _hold(self, now: float) -> Orders:
        """What is ours to act for, if that has changed."""
        for slot in [slot for slot, number in self.given.items() if self._not_ours(slot, number)]:
            del self.given[slot]
        for slot in [slot for slot, seen in self.behind.items() if self._not_ours(slot, seen)]:
            del self.behind[slot]
        holding = frozenset(
            (slot, number)
            for slot in self.book.owned(self.me)
            if (number := self.may(now, slot)) is not None
        )
        if holding == self.holding:
            return []
        self.holding = holding
        return [Holding(holding)]

    def _not_ours(self, slot: int, number: int) -> bool:
        return self.book.owners[slot] != self.me or self.book.numbers[slot] > number

    # As steward.

    def _as_steward(self, now: float) -> Orders:
        """Deal what has lost its owner, and level. Nothing while our own lease is not there."""
        if not self.log.may_order(now) or self.log.committed[0] != self.log.term:
            return []
        orders = self._lived(now, self.me, self.born)
        self.steady.seen(self.me, now)
        here = {
            member
            for member in self.log.roll.members
            if member == self.me or self.until.get(member, -inf) > now
        }
        gone = {
            owner for owner in set(self.book.owners) if owner not in here and self._over(now, owner)
        }
        for member in list(self.until):
            if member not in here:
                self.steady.gone(member)
        ends = [end for member, end in self.until.items() if member in here]
        grace = (self.began + self.beat / 2, self.began + GRACE * self.lease)
        self.look_at = min([end for end in (*ends, *grace) if end > now], default=inf)
        able = {m for m in here if self.steady.able(m, now)} or here
        if dealt := deal.orphans(self.book.owners, gone, able):
            why = f"lost by {' and '.join(sorted(gone - {''})) or 'nobody'}"
            return orders + self._append(now, books.Deal(tuple(dealt), why))
        steady = {member for member in able if self.steady.able(member, now)}
        if moves := deal.level(self.book.owners, self.book.closing, steady, self.book.closing):
            orders += self._append(now, books.Close(tuple(moves)))
        return orders + self._give_away(
            now, self.me, tuple((slot, self.book.numbers[slot]) for slot in self.given)
        )

    def _over(self, now: float, owner: str) -> bool:
        """Whether all that this owner was ever given has ended. What a former steward gave ended before we were voted
        for; who may be well is given time to renew with us before its work is dealt to others."""
        if owner in self.until:
            return self.until[owner] <= now
        # Danger: dealt before the others' renewals are here, which they send at our first beat, it would go to few.
        known = owner in self.failed or owner and owner not in self.log.roll.members
        return now >= self.began + (self.beat / 2 if known else GRACE * self.lease)

    def _renewed(self, now: float, renew: Renew) -> Orders:
        if (
            not self.log.leading
            or renew.sender not in self.log.roll.members
            or renew.term != self.log.term
        ):
            return []
        if not self.log.may_order(
            now
        ):  # the first come before a majority has answered; they are granted with that
            self.lives.setdefault(renew.sender, renew.born)
            if self.lives[renew.sender] == renew.born:
                self.sent[renew.sender] = max(
                    self.sent.get(renew.sender, (-inf, now)), (renew.sent, now)
                )
            return []
        seen = max((number for _, number in renew.behind), default=0)
        if (
            term_of(seen) > self.log.term
        ):  # Danger: numbers of ours would be refused for as long as we lead
            return self._of_log(now, self.log.fenced(now, term_of(seen)))
        self.failed.discard(renew.sender)
        orders = self._lived(now, renew.sender, renew.born)
        again = tuple(
            (slot, renew.sender)
            for slot, number in renew.behind
            if slot < self.slots
            and self.book.owners[slot] == renew.sender
            and self.book.numbers[slot] <= number
        )
        if again:
            orders += self._append(now, books.Deal(again, SEEN))
        orders += self._give_away(now, renew.sender, renew.away)
        self.sent[renew.sender] = max(self.sent.get(renew.sender, (-inf, now)), (renew.sent, now))
        self.steady.seen(renew.sender, now)
        return orders + self._grant(now, renew.sender)

    def _grant(self, now: float, member: str) -> Orders:
        """Never beyond our own lease: who succeeds us counts on that."""
        left, (sent, heard) = self.log.lease_end(now) - now, self.sent[member]
        # It counts from when it sent. Danger: counted from now, grants told again would keep a dead one's work for it.
        self.until[member] = max(self.until.get(member, -inf), heard + left)
        granted = Granted(
            self.log.term,
            self.me,
            sent,
            left,
            self.log.position,
            self.log.committed,
            self.lives[member],
        )
        return [log_words.Send(member, granted)]  # type: ignore[arg-type]

    def _lived(self, now: float, member: str, born: int) -> Orders:
        """Danger: effects of its former life may still be on their way, under the numbers that it has."""
        if self.lives.get(member, born) != born:
            self.sent.pop(member, None)  # its clock began anew as well
        self.lives[member] = born
        if self.book.lives.get(member) == born:
            return []
        return self._append(now, books.Lived(member, born))

    def _give_away(self, now: float, member: str, away: Iterable[tuple[int, int]]) -> Orders:
        """What its owner has given up goes to whom it was meant for, or back to the pool."""
        owners = [
            (slot, self.book.closing.get(slot, ""))
            for slot, number in away
            if slot < self.slots
            and self.book.owners[slot] == member
            and self.book.numbers[slot] == number
        ]
        dealt = tuple((slot, to if to in self.log.roll.members else "") for slot, to in owners)
        return self._append(now, books.Deal(dealt, "moved")) if dealt else []

    def _append(self, now: float, said: books.Said) -> Orders:
        orders = self.log.append(now, books.write(said))
        changes = self.book.take(said, self.log.position)
        return [*self._changes(changes), *self._of_log(now, orders)]

    def move(self, now: float, slot: int, to: str) -> Orders:
        """An operator's word. Raises ValueError if it can't be."""
        if not self.log.may_order(now):
            raise ValueError(
                f"only the steward moves work: {self.log.master or 'nobody at the moment'}"
            )
        if to not in self.log.roll.members or to != self.me and self.until.get(to, -inf) <= now:
            raise ValueError(f"{to!r} is no member that is here")
        if not self.book.owners[slot]:
            raise ValueError("nobody owns it yet")
        if self.book.owners[slot] == to:
            raise ValueError(f"{to} owns it already")
        return self._append(now, books.Close(((slot, to),))) + self._hold(now)

    # The host's words.

    def note(self, now: float, piece: str, body: bytes) -> Orders:
        """How far a piece has come, for whoever owns it next. Told until it is in the log. Raises ValueError."""
        slot = self.book.slot_of(piece)
        number = self.may(now, slot)
        if number is None or len(body) > books.BODY:
            raise ValueError(
                f"{piece} is not ours" if number is None else f"over {books.BODY} bytes"
            )
        self.notes.pop(piece, None)
        self.notes[piece] = (number, body)
        return self._tell_notes(now)

    def noted(self, piece: str) -> bool:
        """Whether a majority has our last record of it, as far as we were told."""
        return piece not in self.notes

    def _tell_notes(self, now: float) -> Orders:
        """Danger: a record that was noted while the piece moved on would set its next owner back; the book refuses it
        by its number, and here it is dropped."""
        for piece in [
            p for p, (number, body) in self.notes.items() if self._settled(p, number, body)
        ]:
            del self.notes[piece]
        items = tuple(
            (piece, number, body) for piece, (number, body) in list(self.notes.items())[:NOTES]
        )
        if not items:
            return []
        if self.log.leading:
            return self._append(now, books.Noted(items)) if self.log.may_order(now) else []
        note = Note(self.log.term, self.me, items)
        return [log_words.Send(self.log.master, note)] if self.log.master else []  # type: ignore[arg-type]

    def _settled(self, piece: str, number: int, body: bytes) -> bool:
        slot = self.book.slot_of(piece)
        held = self.book.records.get(piece, (number, b""))
        return (
            self.book.numbers[slot] != number
            or held == (number, body)
            and self.log.position <= self._agreed()
        )

    def _heard_notes(self, now: float, note: Note) -> Orders:
        if not self.log.may_order(now) or note.term != self.log.term:
            return []
        items = tuple(
            (piece, number, body)
            for piece, number, body in note.items
            if self.book.owners[self.book.slot_of(piece)] == note.sender
            and len(body) <= books.BODY
            and self.book.numbers[self.book.slot_of(piece)] == number
            and self.book.records.get(piece) != (number, body)
        )
        return self._append(now, books.Noted(items)) if items else []

    def give_up(self, now: float, slots: Iterable[int]) -> Orders:
        """We have stopped acting for these, and never will again under the numbers that they have."""
        self.given.update(
            (slot, self.book.numbers[slot]) for slot in slots if self.book.owners[slot] == self.me
        )
        self.renew_at = now
        return self.tick(now)

    def refused(self, now: float, slot: int, number: int) -> Orders:
        """A carrier goes by this number, which ours does not exceed, or is another's: we stop at once."""
        if number < self.book.numbers[slot] or self.book.owners[slot] != self.me:
            return []
        self.behind[slot] = max(self.behind.get(slot, 0), number)
        self.renew_at = now
        if self.log.leading and term_of(number) > self.log.term:
            return self._of_log(now, self.log.fenced(now, term_of(number))) + self._hold(now)
        if self.log.leading and self.log.may_order(now):
            del self.behind[slot]
            return self._append(now, books.Deal(((slot, self.me),), SEEN)) + self._hold(now)
        return self.tick(now)

    def detected(self, now: float, member: str, failed: bool, living: set[str]) -> Orders:
        """The membership's detector has another view of a member; leases still end by themselves."""
        (self.failed.add if failed else self.failed.discard)(member)
        if failed:
            self.log.lost(now, member, living)
        return self.tick(now)

    # Messages.

    def hear(self, now: float, message: object) -> Orders:
        match message:
            case Renew():
                orders = self._renewed(now, message)
            case Granted():
                orders = self._granted(message)
            case Note():
                orders = self._heard_notes(now, message)
            case _:
                orders = self._of_log(now, self.log.hear(now, message))  # type: ignore[arg-type]
        self._settle()
        if self.log.master != self.steward:  # another steward: it is told at once that we are here
            self.former = self.steward or self.former
            self.steward = self.log.master
            self.renew_at = now
        return orders + self._hold(now)

    def _granted(self, granted: Granted) -> Orders:
        # Danger: an answer to our former life, whose clock was another.
        if (
            granted.term != self.log.term
            or granted.sender != self.log.master
            or granted.born != self.born
        ):
            return []
        self.pending = granted
        return []

    def _settle(self) -> None:
        """What we were given counts once we have the log that it was given by. Danger: back from a cut, we would hold
        by an old book what was dealt to another meanwhile."""
        granted = self.pending
        if granted is None or not self._on_line(granted.term) or not self._has(granted):
            return
        self.pending = None
        if granted.term != self.leased_term:
            self.leased_term, self.leased_until, self.sure = granted.term, -inf, NOWHERE
        # Counted from when we asked, not from when the answer came, and shortened as clocks may differ.
        self.leased_until = max(self.leased_until, granted.sent + granted.left * self.shorter)
        self.sure = max(self.sure, granted.committed)

    def _has(self, granted: Granted) -> bool:
        return self.log.position >= granted.upto

    def _of_log(self, now: float, orders: Iterable[log_words.Order]) -> Orders:
        """The log's orders: entries to our book, the rest to the host."""
        made: Orders = []
        for order in orders:
            match order:
                case log_words.Apply() | log_words.Restore():
                    try:
                        made += self._take(order)
                    except books.Fault:
                        self.log.unfit(now, self.forgets)
                        return made  # Danger: the answer that comes next would say that we have it
                case log_words.WholeFor(to):
                    made += self.log.whole(now, to, self.book.whole())
                case log_words.Lead():
                    self.until, self.sent, self.lives = {}, {}, {}
                    self.steady, self.began, self.renew_at = deal.Steady(self.lease), now, now
                    # Who led before us has been silent to a majority for a lease: no grace for what it owns.
                    self.failed |= {
                        name for name in (self.steward or self.former,) if name not in ("", self.me)
                    }
                    made += [order, *self._append(now, books.Begin())]
                case log_words.Committed():
                    # At once, so that a new owner need not wait for its next renewal.
                    if self.log.may_order(now):
                        for member in [
                            member for member in self.sent if member in self.log.roll.members
                        ]:
                            made += self._lived(now, member, self.lives[member]) + self._grant(
                                now, member
                            )
                case _:
                    made.append(order)
        return made

    def _take(self, order: log_words.Apply | log_words.Restore) -> Orders:
        if isinstance(order, log_words.Apply):
            return self._changes(self.book.take(books.read(order.entry), order.position))
        before, self.book = self.book, books.read_whole(order.body, self.slots)
        owners, numbers = self.book.owners, self.book.numbers
        return self._changes(
            books.Change(slot, owners[slot], numbers[slot], "as the steward has it")
            for slot in range(self.slots)
            if numbers[slot] != before.numbers[slot]
        )

    @staticmethod
    def _changes(changes: Iterable[books.Change]) -> Orders:
        return [
            Dealt(
                change.slot,
                change.owner,
                change.number,
                change.why + f" to {change.to}" * bool(change.to),
            )
            for change in changes
        ]
