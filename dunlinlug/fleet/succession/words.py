"""What members say to each other, and what the machine asks of its host; plain values."""

from dataclasses import dataclass, field
from typing import ClassVar

from dunlinlug.fleet.wire_names import wire

Position = tuple[
    int, int
]  # the term in which the last entry was made, and its number; compared in this order

NOWHERE: Position = (0, 0)


@dataclass(frozen=True)
class Roll:
    """Who belongs to the set: ids by a version that each change raises."""

    version: int
    members: tuple[str, ...]

    def most(self) -> int:
        return len(self.members) // 2 + 1


@dataclass(frozen=True)
class Ask:
    """Wants votes for a term; a `probe` only asks whether it would be given one. `handed`: the master has stopped
    and passed on to the sender, so that promises made to it bind nobody."""

    WIRE_NAME: ClassVar[str] = "Ask"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    position: Position = field(metadata=wire("position"))
    probe: bool = field(metadata=wire("probe"))
    handed: bool = field(default=False, metadata=wire("handed"))


@dataclass(frozen=True)
class Answer:
    """`blank`: the voter has just started and remembers nothing."""

    WIRE_NAME: ClassVar[str] = "Answer"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    asked: int = field(metadata=wire("asked"))
    probe: bool = field(metadata=wire("probe"))
    granted: bool = field(metadata=wire("granted"))
    blank: bool = field(metadata=wire("blank"))


@dataclass(frozen=True)
class Beat:
    """From the master: entries after `base`, all of its term. `sent` is on its own clock."""

    WIRE_NAME: ClassVar[str] = "Beat"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent: float = field(metadata=wire("sent"))
    roll: Roll = field(metadata=wire("roll"))
    base: Position = field(metadata=wire("base"))
    entries: tuple[bytes, ...] = field(metadata=wire("entries"))


@dataclass(frozen=True)
class Whole:
    """From the master: all that stands, at a position."""

    WIRE_NAME: ClassVar[str] = "Whole"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent: float = field(metadata=wire("sent"))
    roll: Roll = field(metadata=wire("roll"))
    position: Position = field(metadata=wire("position"))
    body: bytes = field(metadata=wire("body"))


@dataclass(frozen=True)
class Heard:
    """To a master: where this member stands; `follows` is false where it needs the whole."""

    WIRE_NAME: ClassVar[str] = "Heard"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))
    sent: float = field(metadata=wire("sent"))
    position: Position = field(metadata=wire("position"))
    follows: bool = field(metadata=wire("follows"))


@dataclass(frozen=True)
class Pass:
    """From a master that has stopped ordering: the receiver is to stand at once."""

    WIRE_NAME: ClassVar[str] = "Pass"
    term: int = field(metadata=wire("term"))
    sender: str = field(metadata=wire("sender"))


Message = Ask | Answer | Beat | Whole | Heard | Pass


@dataclass(frozen=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True)
class Keep:
    """To be on disk before anything that comes after it is sent."""

    term: int
    voted: str
    roll: Roll


@dataclass(frozen=True)
class Lead:
    """Master of this term from now on; the first entry is the host's to append."""

    term: int


@dataclass(frozen=True)
class Yield:
    """No master any more."""

    why: str


@dataclass(frozen=True)
class Apply:
    entry: bytes
    position: Position


@dataclass(frozen=True)
class Restore:
    body: bytes
    position: Position


@dataclass(frozen=True)
class Committed:
    """A majority has all entries up to this position: their effects may leave."""

    position: Position


@dataclass(frozen=True)
class WholeFor:
    """This member needs the whole: the host gives it to `Machine.whole`."""

    to: str


Order = Send | Keep | Lead | Yield | Apply | Restore | Committed | WholeFor
