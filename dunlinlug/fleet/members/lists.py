"""Whether the roster tells all managers the same: a short print of each one's list, told and compared. Free of I/O.

A list's workers fall into parts by their names; a part's print is the same wherever the same workers are in the same
state. Where two differ, the workers of ours in those parts are the ones to look at. Nothing is decided on it: each
manager goes by its own list, and what others' proxies meet at a worker is evidence anyway.
"""

from collections.abc import Mapping
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from dunlinlug import interface as face
from dunlinlug.fleet.members.words import MOST, Extra

PARTS = 16  # of a list: few workers of a part are named, and all prints fit into one fact
EVERY = 1.0  # seconds between tellings
APART = 15.0  # seconds that two lists may differ: a roster is asked each ten seconds, so news comes apart
STALE = 10.0  # seconds after which what was told is not compared any more
NAMED = 8  # workers named of those to look at

Print = Annotated[int, Meta(ge=0, lt=2**32)]


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """`workers` are listed, a `born` and `number` order what one manager tells."""

    born: Annotated[int, Meta(ge=0)]
    number: Annotated[int, Meta(ge=0)]
    workers: Annotated[int, Meta(ge=0)]
    prints: Annotated[tuple[Print, ...], Meta(min_length=PARTS, max_length=PARTS)]


def part_of(worker: str) -> int:
    return xxhash.xxh32_intdigest(worker.encode()) % PARTS


def prints(listed: Mapping[str, face.Worker]) -> tuple[int, ...]:
    """By part, the exclusive or of its workers' prints, so that the order of a list makes no difference."""
    found = [0] * PARTS
    for worker in listed.values():
        said = f"{worker.id} {worker.state} {worker.zone}"
        found[part_of(worker.id)] ^= xxhash.xxh32_intdigest(said.encode(), seed=1)
    return tuple(found)


class Lists:
    """What the roster told each manager, `me` among them."""

    def __init__(self, me: str, born: int) -> None:
        self.me, self.born, self.number, self.next_at = me, born, 0, 0.0
        self.told: dict[str, tuple[Digest, float]] = {}
        self.since: dict[str, float] = {}  # by manager, since when its list differs from ours
        self.said = set[str]()  # of them, those that were said

    def due(self, now: float, listed: Mapping[str, face.Worker] | None) -> Extra | None:
        """What is to be told now; nothing while we follow no roster ourselves."""
        if now < self.next_at:
            return None
        self.next_at = now + EVERY
        if listed is None:
            self.told.pop(self.me, None)
            return None
        self.number += 1
        digest = Digest(self.born, self.number, len(listed), prints(listed))
        self.told[self.me] = (digest, now)
        return Extra(f"list/{self.me}", msgspec.msgpack.encode(digest))

    def take(self, now: float, extra: Extra) -> bool:
        """What another told; false if it is no news. Merges by start and number, in any order and any number."""
        try:
            digest = msgspec.msgpack.decode(extra.body, type=Digest)
        except msgspec.DecodeError:
            return False
        name = extra.key.removeprefix("list/")
        if name in ("", self.me) or name not in self.told and len(self.told) >= MOST:
            return False
        had = self.told.get(name)
        if had is not None and (had[0].born, had[0].number) >= (digest.born, digest.number):
            return False
        self.told[name] = (digest, now)
        return True

    def apart(self, now: float) -> dict[str, Digest]:
        """Managers whose present list is not ours, at this moment."""
        own = self.told.get(self.me)
        if own is None:
            return {}
        return {
            name: digest
            for name, (digest, at) in sorted(self.told.items())
            if name != self.me and now - at < STALE and digest.prints != own[0].prints
        }

    def changed(
        self, now: float, listed: Mapping[str, face.Worker] | None
    ) -> list[tuple[str, str]]:
        """Managers whose list has differed from ours for long, and those whose has no more, each once, in words."""
        found, lines = self.apart(now), list[tuple[str, str]]()
        self.since = {name: self.since.get(name, now) for name in found}
        for name in sorted(self.said - found.keys()):
            self.said.discard(name)
            lines.append((name, "the same again, or not told any more"))
        for name, digest in found.items():
            if name not in self.said and now - self.since[name] >= APART:
                self.said.add(name)
                lines.append((name, self._difference(digest, listed or {})))
        return lines

    def _difference(self, digest: Digest, listed: Mapping[str, face.Worker]) -> str:
        own = self.told[self.me][0]
        parts = {n for n in range(PARTS) if digest.prints[n] != own.prints[n]}
        named = sorted(worker for worker in listed if part_of(worker) in parts)
        among = ", ".join(named[:NAMED]) + (
            f" and {len(named) - NAMED} more" if len(named) > NAMED else ""
        )
        return (
            f"it was told of {digest.workers} workers, we of {own.workers}; {len(parts)} of {PARTS} parts differ, "
            f"among ours in them: {among or 'none'}"
        )
