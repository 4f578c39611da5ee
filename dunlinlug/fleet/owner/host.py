"""A manager's part in owning fleet-wide work: the machine, its sockets and timers; carrying effects, and refusing them.

Users of it name their pieces, ask `may` right before each effect leaves, and send it by `order`; carriers get what
passes the fence. What nobody owns for the moment each user answers for itself.
"""

import secrets
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

import trio

from dunlinlug.fleet.owner.fence import Fence
from dunlinlug.fleet.owner.machine import Machine
from dunlinlug.fleet.owner.words import KINDS, SLOTS, Dealt, Effect, Holding, Outcome, Want
from dunlinlug.fleet.succession import codec
from dunlinlug.fleet.succession import words as log_words
from dunlinlug.fleet.succession.peers import OWNERS, Peers
from dunlinlug.kept import Kept

CHANGES = 50  # last changes kept for people
DRILL = "exercise/"  # pieces whose effects are logged one by one
OF = "owners"  # the vote's name in the store


class Ownership:
    """`places` are where the members are by name, `timing` the lease, beat, drift and forgets of the log."""

    def __init__(
        self,
        me: str,
        places: dict[str, tuple[str, int]],
        keys: list[bytes],
        timing: dict[str, Any],
        kept: Kept,
        chance: Random,
        note: Callable[..., None],
        slots: int = SLOTS,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.me, self.kept, self.note, self.clock = me, kept, note, clock
        found = kept.vote(OF)
        before = (
            log_words.Keep(found[0], found[1], log_words.Roll(found[2], tuple(found[3])))
            if found
            else (log_words.Keep(0, "", log_words.Roll(1, tuple(sorted(places)))))
        )
        # Danger: drawn from the seed, a life whose store was lost would be taken for the one before it.
        self.machine = Machine(
            me,
            before,
            clock(),
            uniform=chance.uniform,
            born=secrets.randbits(62),
            slots=slots,
            **timing,
        )
        self.peers = Peers(me, places, keys, self._hear, note, {**codec.KINDS, **KINDS}, OWNERS)
        self.fence, self.counts = Fence(), Counter[int]()
        self.wake = trio.Event()
        self.carry: dict[
            str, Callable[[Effect], None]
        ] = {}  # by a piece's first word, who does its effects here
        self.wanted: dict[str, Callable[[Want], None]] = {}  # and who is told that one is asked for
        self.held: list[Callable[[], None]] = []  # told when what we hold has changed
        self.last: deque[tuple[float, Dealt]] = deque(maxlen=CHANGES)
        self.sums = Counter[str]()

    async def run(self) -> None:
        """Calls come by the membership's door, as `peers.call`."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peers.run, [])
            while True:
                self.wake = trio.Event()
                with trio.move_on_after(max(self.machine.next_at() - self.clock(), 0.0)):
                    await self.wake.wait()
                self._obey(self.machine.tick(self.clock()))
                await trio.sleep(0)

    # What users ask.

    def may(self, piece: str) -> int | None:
        """The number under which we may act for a piece at this very moment; asked again after each wait."""
        return self.machine.may(self.clock(), self.machine.book.slot_of(piece))

    def owner_of(self, piece: str) -> str:
        return self.machine.owner_of(piece)[0]

    def record(self, piece: str) -> bytes:
        """How far a piece has come, as its owners told; empty if nothing is known."""
        return self.machine.book.records.get(piece, (0, b""))[1]

    def put_record(self, piece: str, body: bytes) -> None:
        """Raises ValueError if the piece is not ours."""
        self._obey(self.machine.note(self.clock(), piece, body))

    def order(self, to: str, piece: str, body: bytes) -> bool:
        """An effect at a carrier, ourselves or another member; false if we may not act for the piece."""
        number = self.may(piece)  # right before it leaves: nothing is awaited from here on
        if number is None:
            self.sums["not_ours"] += 1
            return False
        slot = self.machine.book.slot_of(piece)
        self.counts[slot] += 1
        effect = Effect(self.machine.log.term, self.me, piece, number, self.counts[slot], body)
        self.sums["effects"] += 1
        if to == self.me:
            self._carry(effect)
        else:
            self.peers.send(to, effect)
        return True

    def ask(self, piece: str, body: bytes) -> bool:
        """Let the owner of a piece know that it is asked for; false if nobody is known to own it."""
        owner = self.owner_of(piece)
        want = Want(self.machine.log.term, self.me, piece, body)
        if owner == self.me:
            self._want(want)
        elif owner:
            self.peers.send(owner, want)
        return bool(owner)

    def others(self) -> list[str]:
        return [member for member in self.machine.log.roll.members if member != self.me]

    def move(self, piece: str, to: str) -> None:
        """An operator's word, at the steward. Raises ValueError."""
        self._obey(self.machine.move(self.clock(), self.machine.book.slot_of(piece), to))
        self.wake.set()

    def detected(self, member: str, failed: bool, living: set[str]) -> None:
        """The membership has another view of a member."""
        self._obey(self.machine.detected(self.clock(), member, failed, living))
        self.wake.set()

    # What comes.

    def _hear(self, message: Any) -> None:
        match message:
            case Effect():
                self._carry(message)
            case Outcome(piece=piece, done=False, seen=seen):
                self.sums["refused_by_others"] += 1
                slot = self.machine.book.slot_of(piece)
                self._obey(self.machine.refused(self.clock(), slot, seen))
            case Outcome():
                pass
            case Want():
                self._want(message)
            case _:
                self._obey(self.machine.hear(self.clock(), message))
        self.wake.set()

    def _want(self, want: Want) -> None:
        user = self.wanted.get(want.piece.partition("/")[0])
        if user is not None:
            user(want)

    def _carry(self, effect: Effect) -> None:
        """Danger: a carrier that has just started remembers no number, so it goes by the log, and by nothing before it
        has one."""
        book, slot = self.machine.book, self.machine.book.slot_of(effect.piece)
        why = (
            "this carrier follows no log yet"
            if not self.machine.known()
            else self.fence.admits(
                slot, effect.number, effect.sender, effect.count, book.numbers[slot]
            )
        )
        user = self.carry.get(effect.piece.partition("/")[0])
        if why or effect.piece.startswith(DRILL):
            self.note(
                "owner.refused" if why else "owner.carried",
                piece=effect.piece,
                number=effect.number,
                count=effect.count,
                owner=effect.sender,
                why=why,
                body=effect.body.decode(errors="replace"),
            )
        if not why and user is not None:
            user(effect)
        if why and "came before" not in why and effect.sender != self.me:
            self.sums["refused_here"] += 1
            mark = self.fence.seen(slot)
            seen, owner = max((mark.number, mark.owner), (book.numbers[slot], book.owners[slot]))
            self.peers.send(
                effect.sender,
                Outcome(
                    self.machine.log.term,
                    self.me,
                    effect.piece,
                    effect.number,
                    effect.count,
                    False,
                    seen,
                    owner,
                ),
            )

    def _obey(self, orders: list[Any]) -> None:
        for order in orders:
            match order:
                case log_words.Send(to, message):
                    self.peers.send(to, message)
                case log_words.Keep(term, voted, roll):
                    self.kept.put_vote(term, voted, roll.version, list(roll.members), OF)
                case log_words.Lead(term):
                    self.note("owner.steward", term=term)
                case log_words.Yield(why):
                    self.note("owner.yields", why=why)
                case Dealt():
                    self.last.append((self.clock(), order))
                    if self.machine.log.leading:
                        self.note(
                            "owner.dealt",
                            slot=order.slot,
                            owner=order.owner,
                            number=order.number,
                            why=order.why,
                        )
                case Holding(slots):
                    self.note("owner.holds", slots=len(slots))
                    for told in self.held:
                        told()
        self._give_up()

    def _give_up(self) -> None:
        """What we are asked to give up: our users act within one call and keep nothing half done over a wait, so it is
        given up at once."""
        machine = self.machine
        asked = [
            slot
            for slot in machine.book.closing
            if machine.book.owners[slot] == self.me
            and machine.given.get(slot) != machine.book.numbers[slot]
        ]
        if asked:
            self._obey(machine.give_up(self.clock(), asked))

    def state(self) -> dict[str, Any]:
        """For people and programs."""
        machine, now = self.machine, self.clock()
        owners = Counter(machine.book.owners)
        return {
            "member": self.me,
            "steward": machine.log.master or None,
            "term": machine.log.term,
            "leads": machine.log.leading,
            "holds": len(machine.holding),
            "slots": machine.slots,
            "owners": {owner or "nobody": count for owner, count in sorted(owners.items())},
            "moving": {str(slot): to for slot, to in sorted(machine.book.closing.items())},
            "records": [
                {
                    "piece": piece,
                    "slot": machine.book.slot_of(piece),
                    "owner": machine.owner_of(piece)[0],
                    "number": machine.owner_of(piece)[1],
                    "under": under,
                    "body": body.decode(errors="replace"),
                }
                for piece, (under, body) in sorted(machine.book.records.items())
            ],
            "changes": [
                {
                    "ago": round(now - at, 3),
                    "slot": said.slot,
                    "owner": said.owner,
                    "number": said.number,
                    "why": said.why,
                }
                for at, said in self.last
            ],
            "counts": dict(self.sums),
        }
