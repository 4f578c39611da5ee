"""Who owns what, as the members' log says: the same wherever the same entries were taken. Free of I/O and time."""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.fleet.owner.words import SLOTS, numbered, slot_of
from dunlinlug.fleet.succession.words import Position

RECORDS = 16384  # pieces whose progress is kept, the oldest out first; a ramp or a pin each
BODY = 1024  # bytes of one: a pin that names some twenty workers

Name = Annotated[str, Meta(max_length=64)]
Slot = Annotated[int, Meta(ge=0)]


class Entry(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One entry of the log."""


class Begin(Entry, frozen=True, tag="b"):
    """A steward's term begins; what came before is sealed by it."""


class Deal(Entry, frozen=True, tag="d"):
    """From here on each of these slots has this owner, and this entry's number."""

    owners: tuple[tuple[Slot, Name], ...]
    why: Annotated[str, Meta(max_length=200)]


class Close(Entry, frozen=True, tag="c"):
    """Owners are asked to give these slots up to others, in good order."""

    to: tuple[tuple[Slot, Name], ...]


class Lived(Entry, frozen=True, tag="l"):
    """A member began anew: what it owns has this entry's number, so that its former life's effects are refused."""

    member: Name
    born: Annotated[int, Meta(ge=0)]


class Noted(Entry, frozen=True, tag="n"):
    """How far pieces have come, each under its slot's number; an empty body ends a record."""

    items: tuple[
        tuple[
            Annotated[str, Meta(max_length=128)],
            Annotated[int, Meta(ge=0)],
            Annotated[bytes, Meta(max_length=BODY)],
        ],
        ...,
    ]


Said = Begin | Deal | Close | Lived | Noted


@dataclass(frozen=True)
class Change:
    """A slot's owner or number is another, or it is to be given `to` somebody."""

    slot: int
    owner: str
    number: int
    why: str
    to: str = ""


class Fault(ValueError):
    """An entry or a whole that is not of this format."""


class Book:
    """`owners` by slot, nobody where empty, and `numbers` of their grants; `closing` tells to whom a slot goes;
    `lives` by member; `records` by piece with the number under which each was noted."""

    def __init__(self, slots: int = SLOTS) -> None:
        self.owners, self.numbers = [""] * slots, [0] * slots
        self.closing: dict[int, str] = {}
        self.lives: dict[str, int] = {}
        self.records: dict[str, tuple[int, bytes]] = {}

    def clone(self) -> "Book":
        made = Book(0)
        made.owners, made.numbers = self.owners.copy(), self.numbers.copy()
        made.closing, made.lives, made.records = (
            dict(self.closing),
            dict(self.lives),
            dict(self.records),
        )
        return made

    def owned(self, member: str) -> list[int]:
        return [slot for slot, owner in enumerate(self.owners) if owner == member]

    def slot_of(self, piece: str) -> int:
        return slot_of(piece, len(self.owners))

    def take(self, said: Said, position: Position) -> list[Change]:
        """One entry at its place; tells what changes."""
        number, changes = numbered(position), list[Change]()
        match said:
            case Deal(owners, why):
                for slot, owner in owners:
                    if slot < len(self.owners):
                        self.owners[slot], self.numbers[slot] = owner, number
                        self.closing.pop(slot, None)
                        changes.append(Change(slot, owner, number, why))
            case Close(to):
                for slot, member in to:
                    if slot < len(self.owners):
                        self.closing[slot] = member
                        changes.append(
                            Change(slot, self.owners[slot], self.numbers[slot], "moved", member)
                        )
            case Lived(member, born):
                self.lives[member] = born
                for slot in self.owned(member):
                    self.numbers[slot] = number
                    changes.append(Change(slot, member, number, "began anew"))
            case Noted(items):
                for piece, under, body in items:
                    if under == self.numbers[self.slot_of(piece)]:
                        self._record(piece, under, body)
        return changes

    def _record(self, piece: str, under: int, body: bytes) -> None:
        self.records.pop(piece, None)
        if body:
            while len(self.records) >= RECORDS:
                del self.records[next(iter(self.records))]
            self.records[piece] = (under, body)

    def whole(self) -> bytes:
        return msgspec.msgpack.encode(
            (self.owners, self.numbers, self.closing, self.lives, list(self.records.items()))
        )


DECODER = msgspec.msgpack.Decoder(Said)
WHOLE = tuple[
    list[Name], list[int], dict[int, Name], dict[Name, int], list[tuple[str, tuple[int, bytes]]]
]


def write(said: Said) -> bytes:
    return msgspec.msgpack.encode(said)


def read(entry: bytes) -> Said:
    """Raises Fault."""
    try:
        return DECODER.decode(entry)
    except msgspec.DecodeError as fault:
        raise Fault(f"not an entry: {fault}") from None


def read_whole(body: bytes, slots: int) -> Book:
    """Raises Fault, also for another number of slots: all members need the same."""
    try:
        owners, numbers, closing, lives, records = msgspec.msgpack.decode(body, type=WHOLE)
    except msgspec.DecodeError as fault:
        raise Fault(f"not the whole: {fault}") from None
    if not len(owners) == len(numbers) == slots:
        raise Fault(f"it has {len(owners)} slots, we {slots}; all members need the same")
    made = Book(slots)
    made.owners, made.numbers, made.closing, made.lives, made.records = (
        owners,
        numbers,
        closing,
        lives,
        dict(records),
    )
    return made
