"""What proxies of other managers met, as evidence for our module: weighed by age, never an order. Free of I/O.

Each manager counts up what was met at a worker since its start: tries, voided ones, seconds of the settled. Counts that
only grow merge by the larger one, so that facts may come twice, late or never; what is new in one is evidence on the
time since the last that came. Told are workers that stand out, as those alone are worth the room.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug import interface as face
from dunlinlug.fleet.members.words import Extra

EVERY = (
    0.25  # seconds between tellings: a part of a report cycle, so that they add little to its delay
)
AT_ONCE = 16  # workers told of in one telling: what one datagram carries
FOLLOWED = 8.0  # seconds that a worker is told of after it stood out last, so that its recovery is told as well
HALF = 0.8  # seconds in which evidence from others loses half its weight, as the module's own does
PLENTY = 8.0  # tries in our own newest report from which it tells enough: others' thin out what it says of now
OLDEST = 8.0  # seconds beyond which what came is not used: ten halvings
MOST = 4096  # workers counted, and facts of others kept, the oldest out first


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Since a start of that manager: `tries`, `voided` of them, `took` seconds of the settled; `age` of the newest."""

    tries: Annotated[float, Meta(ge=0)]
    voided: Annotated[float, Meta(ge=0)]
    took: Annotated[float, Meta(ge=0.0)]
    age: Annotated[float, Meta(ge=0.0)]


@dataclass
class Met:
    tries: float = 0
    voided: float = 0
    took: float = 0.0
    at: float = 0.0
    stood_out: float = -1e18
    told: float = 0  # tries as told last
    newest: float = 0  # tries in the report that came last


class Evidence:
    """`me` and `born` name our counts; another start of ours begins anew under other names."""

    def __init__(self, me: str, born: int) -> None:
        self.mine = f"met/{me}/{born}"
        self.met: dict[str, Met] = {}
        self.others: dict[
            str, tuple[Count, float]
        ] = {}  # by key, the largest count and when it came
        self.next_at = 0.0

    def hear(self, now: float, events: Iterable[face.Event]) -> None:
        """Our own proxies' reports, as the module is told them."""
        for event in events:
            if isinstance(event, face.Met) and event.own:
                met = self.met.get(event.worker)
                if met is None:
                    while len(self.met) >= MOST:
                        del self.met[next(iter(self.met))]
                    met = self.met[event.worker] = Met()
                met.tries += event.tries
                met.voided += event.voided
                met.took += event.took * (event.tries - event.voided)
                met.at, met.newest = now, event.tries
                if event.voided:
                    met.stood_out = now

    def due(self, now: float) -> list[Extra]:
        """What is to be told to all others now: who stood out, the most voided first."""
        if now < self.next_at:
            return []
        self.next_at = now + EVERY
        fresh = [
            (worker, met)
            for worker, met in self.met.items()
            if met.tries != met.told and now - met.stood_out < FOLLOWED
        ]
        fresh.sort(key=lambda pair: (-pair[1].voided / max(pair[1].tries, 1), pair[0]))
        made = []
        for worker, met in fresh[:AT_ONCE]:
            met.told = met.tries
            body = msgspec.msgpack.encode(Count(met.tries, met.voided, met.took, now - met.at))
            made.append(Extra(f"{self.mine}/{worker}", body))
        return made

    def take(self, now: float, extra: Extra) -> list[face.Event]:
        """What another told: the news in it, weighed by its age; nothing if it is old, known, or no fact of ours."""
        try:
            count = msgspec.msgpack.decode(extra.body, type=Count)
            kind, by, born, worker = extra.key.split("/", 3)
        except (msgspec.DecodeError, ValueError):
            return []
        had, came = self.others.get(extra.key, (Count(0, 0, 0.0, 0.0), now))
        tries, voided = count.tries - had.tries, count.voided - had.voided
        if tries <= 0 or not 0 <= voided <= tries or f"{kind}/{by}/{born}" == self.mine:
            return []
        first = extra.key not in self.others
        self.others.pop(extra.key, None)
        while len(self.others) >= MOST:
            del self.others[next(iter(self.others))]
        self.others[extra.key] = (count, now)
        # Of the first count that comes we don't know over how long it was met; of others at most since the last.
        age = count.age + (0.0 if first else (now - came) / 2)
        own = self.met.get(worker)
        if first and tries > 50 or age > OLDEST or own is not None and own.newest >= PLENTY:
            return []
        weight = 0.5 ** (age / HALF)
        settled = tries - voided
        took = max(count.took - had.took, 0.0) / settled if settled else 0.0
        # Danger: rounded, one void of three tries becomes one of one, and a healthy worker is condemned.
        return [face.Met("", worker, tries * weight, voided * weight, took, now - came, own=False)]
