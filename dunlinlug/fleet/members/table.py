"""What one member knows of all: merged from what is told, and told on a bounded number of times. Free of I/O and time.

Merging is commutative, associative and idempotent: each name keeps its highest rank, each bar its highest count, each
row its highest version. What is new here is told on, the least told first, `TELLS` times for each tenfold size.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from math import ceil, log2

import msgspec

from dunlinlug.fleet.members.words import ALIVE, FAILED, LEFT, MOST, SUSPECTED, Bar, Item, Row, Told

TELLS = 3  # times log2 of the size that each item is told: all hear of it but one in a thousand, as SWIM's paper shows
ROOM = 1000  # bytes of items in one datagram: with head and seal below the 1,280 that every path carries
BURIED = (
    256  # of names forgotten, kept by rank: as many as fail in the time in which all forget one
)
BEFORE = ((-1, 0), 0)  # a rank below all
ITEMS = 48  # in one datagram: what its reader takes at least
Key = tuple[str, ...]


class Table:
    """`told` by name; one in it that is FAILED or LEFT stays until it is forgotten."""

    def __init__(self) -> None:
        self.told: dict[str, Told] = {}
        self.bars: dict[str, Bar] = {}
        self.rows: dict[str, Row] = {}
        self.waiting: dict[
            Key, tuple[int, Item, int]
        ] = {}  # by key how often told, what, and its size
        self.buried: dict[str, tuple[tuple[int, int], int]] = {}  # rank of those forgotten last
        self._digest = b""

    # Merging.

    def take(self, item: Told | Bar | Row) -> bool:
        """Merge; tells whether it was news."""
        match item:
            case Told(name=name):
                had = self.told.get(name)
                least = had.rank() if had is not None else self.buried.get(name, BEFORE)
                if least >= item.rank() or had is None and len(self.told) >= MOST:
                    return False
                self.told[name] = item
                self.buried.pop(name, None)
            case Bar(name=name):
                old = self.bars.get(name)
                if (
                    len(self.bars) >= MOST
                    if old is None
                    else (old.count, old.on) >= (item.count, item.on)
                ):
                    return False
                self.bars[name] = item
            case Row(name=name):
                row = self.rows.get(name)
                if (
                    len(self.rows) >= MOST or name in self.buried
                    if row is None
                    else row.version >= item.version
                ):
                    return False
                self.rows[name] = item
        self._digest = b""
        self.tell(item)
        return True

    def forget(self, name: str) -> None:
        """Danger: who forgets a little later would tell of it again, and so on without end; so the rank is kept for a
        while, by number and not by time."""
        while len(self.buried) >= BURIED:
            del self.buried[next(iter(self.buried))]
        self.buried[name] = self.told.pop(name).rank()
        self.rows.pop(name, None)
        self.waiting = {key: value for key, value in self.waiting.items() if key[1] != name}
        self._digest = b""

    def barred(self, name: str) -> bool:
        return name in self.bars and self.bars[name].on

    def living(self) -> list[str]:
        """Alive or suspected, and not barred."""
        return [
            name
            for name, told in self.told.items()
            if told.state <= SUSPECTED and not self.barred(name)
        ]

    def digest(self) -> bytes:
        """Eight bytes, the same wherever the same is known. A suspicion is not yet a view."""
        if not self._digest:
            seen = [
                (name, told.life[0], ALIVE if told.state == SUSPECTED else told.state)
                for name, told in sorted(self.told.items())
            ]
            bars = sorted(name for name in self.bars if self.bars[name].on)
            self._digest = blake2b(msgspec.msgpack.encode((seen, bars)), digest_size=8).digest()
        return self._digest

    def whole(self) -> tuple[Item, ...]:
        return (*self.told.values(), *self.bars.values(), *self.rows.values())

    # Telling on.

    def tell(self, item: Told | Bar | Row) -> None:
        """Let it ride on what is sent next. What it outdoes is not told any more."""
        match item:
            case Told(name=name, state=state, by=by):
                for held in [held for held in self.waiting if held[:2] == ("t", name)]:
                    if state != SUSPECTED or self._of(held).rank() < item.rank():
                        del self.waiting[held]
                key: Key = ("t", name, by if state == SUSPECTED else "")
            case Bar(name=name):
                key = ("b", name)
            case Row(name=name):
                key = ("r", name)
        self.waiting.pop(key, None)
        self.waiting[key] = (0, item, len(msgspec.msgpack.encode(item)))

    def _of(self, key: Key) -> Told:
        item = self.waiting[key][1]
        assert isinstance(item, Told)
        return item

    def fresh(self) -> bool:
        """Whether something has never been told."""
        return any(count == 0 for count, _, _ in self.waiting.values())

    def gossip(self, first: Iterable[Item] = ()) -> tuple[Item, ...]:
        """What is to ride on a datagram: `first`, then the least told, as much as there is room for."""
        items, room = list(first), ROOM
        room -= sum(len(msgspec.msgpack.encode(item)) for item in items)
        most = TELLS * ceil(log2(len(self.told) + 2))
        for key in sorted(self.waiting, key=lambda key: self.waiting[key][0]):
            count, item, size = self.waiting[key]
            if size > room or len(items) >= ITEMS:
                break
            items.append(item)
            room -= size
            if count + 1 >= most:
                del self.waiting[key]
            else:
                self.waiting[key] = (count + 1, item, size)
        return tuple(items)

    def gone(self) -> Iterator[str]:
        return (name for name, told in self.told.items() if told.state in (FAILED, LEFT))
