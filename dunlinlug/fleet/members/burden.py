"""What each manager carries, as it tells the others: proxies, txns, its channel, its processor. Free of I/O."""

from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.fleet.members.words import Extra

EVERY = 1.0  # seconds between tellings: whom proxies choose next is a matter of seconds
STALE = 10.0  # seconds after which what was told is not shown as present any more
OVER, BACK = (
    0.8,
    0.6,
)  # part of its means from which a manager says that it is over them, and below which no longer
MOST = 1024  # managers whose burden is kept

Part = Annotated[float, Meta(ge=0.0)]


class Burden(msgspec.Struct, frozen=True, array_like=True):
    """`channel` and `processor` are parts of what there is: lines that wait of the most that may, and of a core."""

    proxies: Annotated[int, Meta(ge=0)]
    txns_per_s: Part
    channel: Part
    processor: Part

    def fullest(self) -> tuple[float, str]:
        return max((self.channel, "channel"), (self.processor, "processor"))


class Burdens:
    """Of all managers by name, ours among them; `born` is our start, and the greater start of another holds."""

    def __init__(self, me: str, born: int) -> None:
        self.me, self.born, self.number = me, born, 0
        self.told: dict[
            str, tuple[tuple[int, int], Burden, float]
        ] = {}  # by name: start and number, what, and when
        self.next_at, self.over = 0.0, set[str]()

    def due(self, now: float, burden: Burden) -> Extra | None:
        """What is to be told now, if it is time."""
        if now < self.next_at:
            return None
        self.next_at, self.number = now + EVERY, self.number + 1
        self.told[self.me] = ((self.born, self.number), burden, now)
        return Extra(f"burden/{self.me}", msgspec.msgpack.encode((self.born, self.number, burden)))

    def turned(self, now: float) -> list[tuple[str, Burden, str]]:
        """Managers, ours among them, that have come over their means or back below them since the last call, with what
        they carry and `over` or `back` in words. Who has not told for long counts as back: it is not there."""
        found, present = list[tuple[str, Burden, str]](), self.present(now)
        for name in sorted(self.over - present.keys()):
            self.over.discard(name)
            found.append((name, Burden(0, 0.0, 0.0, 0.0), "back: it tells no more"))
        for name, burden in present.items():
            part, what = burden.fullest()
            over = name in self.over
            if part >= OVER and not over or part < BACK and over:
                (self.over.discard if over else self.over.add)(name)
                found.append((name, burden, f"{'back' if over else 'over'}: {what} at {part:.2f}"))
        return found

    def take(self, now: float, extra: Extra) -> bool:
        """What another told; false if it is no news. Merges by start and number, in any order and any number."""
        try:
            born, number, burden = msgspec.msgpack.decode(extra.body, type=tuple[int, int, Burden])
        except msgspec.DecodeError:
            return False
        name = extra.key.removeprefix("burden/")
        if name in ("", self.me) or name not in self.told and len(self.told) >= MOST:
            return False
        if name in self.told and self.told[name][0] >= (born, number):
            return False
        self.told[name] = ((born, number), burden, now)
        return True

    def present(self, now: float) -> dict[str, Burden]:
        return {
            name: burden for name, (_, burden, at) in sorted(self.told.items()) if now - at < STALE
        }
