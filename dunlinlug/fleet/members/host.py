"""A manager's part in the membership: machine, sockets and standing together, and what people are shown of them."""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import trio

from dunlinlug import interface as face
from dunlinlug.fleet.members import standing as sides
from dunlinlug.fleet.members.burden import Burden, Burdens
from dunlinlug.fleet.members.evidence import Evidence
from dunlinlug.fleet.members.link import Link
from dunlinlug.fleet.members.lists import Lists
from dunlinlug.fleet.members.machine import Machine
from dunlinlug.fleet.members.words import STATES, Changed, Extra

VERDICTS = 50  # last changes kept for people


class Membership:
    """`places` are where the members of the configured set hear each other, by name, `roll` gives the names of the set
    last agreed; `told` hears each new standing, `learnt` what other managers' proxies met, as events for the module."""

    def __init__(
        self,
        me: str,
        born: int,
        places: dict[str, tuple[str, int]],
        keys: list[bytes],
        beat: float,
        chance: Random,
        note: Callable[..., None],
        roll: Callable[[], tuple[str, ...]],
        clock: Callable[[], float] = trio.current_time,
        binds: tuple[str, int] | None = None,
    ) -> None:
        self.me, self.note, self.roll, self.clock, self.beat = me, note, roll, clock, beat
        seeds = [place for name, place in sorted(places.items()) if name != me]
        self.places = places
        self.machine = Machine(me, born, places[me], seeds, clock(), beat, chance)
        self.evidence = Evidence(me, born)
        self.burdens, self.lists = Burdens(me, born), Lists(me, born)
        self.carries: Callable[[], Burden] = lambda: Burden(0, 0.0, 0.0, 0.0)
        self.listed: Callable[[], Mapping[str, face.Worker] | None] = lambda: (
            None
        )  # what the roster told us ourselves
        self.learnt: Callable[[face.Event], None] = lambda event: None
        self.told: Callable[[str, sides.Means], None] = lambda name, means: None
        self.changed: Callable[[Changed], None] = lambda change: None
        self.link = Link(self.machine, keys, note, self._heard, self._changed, clock, binds)
        self.held = sides.Held(sides.ALONE if len(places) > 1 else sides.ALL, clock(), beat)
        self.verdicts: deque[tuple[float, Changed]] = deque(maxlen=VERDICTS)

    @property
    def standing(self) -> str:
        return self.held.standing

    @property
    def means(self) -> sides.Means:
        return sides.MEANS[self.standing]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises OSError if our place is taken."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.link.run)
            self.note("members.ready", member=self.me, start=self.machine.own.life[0])
            task_status.started()
            while True:
                await trio.sleep(self.beat)
                self._look()
                self._tell()

    def leave(self) -> None:
        """Goodbye, before we are cancelled: a planned stop is no failure."""
        self.link.act(self.machine.leave)

    def _tell(self) -> None:
        """Facts go straight to each other member: they are soon worth nothing."""
        now, listed = self.clock(), self.listed()
        facts = [
            *self.evidence.due(now),
            self.burdens.due(now, self.carries()),
            self.lists.due(now, listed),
        ]
        for name, burden, said in self.burdens.turned(now):
            self.note("members.burden", member=name, said=said)
            self.learnt(
                face.Laden(name, name in self.burdens.over, burden.proxies, burden.txns_per_s)
            )
        for name, said in self.lists.changed(now, listed):
            self.note("members.lists", member=name, said=said)
        told = tuple(fact for fact in facts if fact is not None)
        if told:
            self.link.act(lambda now: self.machine.tell_all(told))

    def met(self, events: list[face.Event]) -> None:
        """What the module is told of our own proxies' reports."""
        self.evidence.hear(self.clock(), events)

    def _heard(self, extra: Extra) -> None:
        if extra.key.startswith("burden/"):
            self.burdens.take(self.clock(), extra)
        if extra.key.startswith("list/"):
            self.lists.take(self.clock(), extra)
        for event in self.evidence.take(self.clock(), extra):
            self.learnt(event)

    def _changed(self, change: Changed) -> None:
        self.verdicts.append((self.clock(), change))
        self.changed(change)

    def place(self, name: str) -> tuple[str, int]:
        """Where a member is now, as it tells; as configured while it is not known."""
        told = self.machine.table.told.get(name)
        return told.place if told is not None else self.places[name]

    def touch(self) -> set[str]:
        return {name for name in self.roll() if self.machine.in_touch(name)}

    def _look(self) -> None:
        before, touch = self.standing, self.touch()
        if self.held.look(self.clock(), sides.standing(self.roll(), touch)):
            self.note(
                "members.standing",
                before=before,
                now=self.standing,
                touch=sorted(touch),
                of=sorted(self.roll()),
            )
            self.told(self.standing, self.means)

    def bar(self, name: str, on: bool) -> None:
        """Raises ValueError for whom nobody knows."""
        self.link.act(lambda now: self.machine.bar(now, name, on))

    def state(self) -> dict[str, Any]:
        """For people and programs: who is there, who sees whom, our standing, and the last verdicts with their why."""
        machine, now = self.machine, self.clock()
        table, living = machine.table, machine.table.living()
        names = sorted(table.told)
        return {
            "member": self.me,
            "state": machine.state,
            "standing": self.standing,
            "since": round(now - self.held.since, 3),
            "set": sorted(self.roll()),
            "digest": table.digest().hex(),
            "distrust": machine.dull,
            "members": [
                {
                    "member": name,
                    "start": table.told[name].life[0],
                    "word": table.told[name].life[1],
                    "state": "barred" if table.barred(name) else STATES[table.told[name].state],
                    "place": "{}:{}".format(*table.told[name].place),
                    "touch": machine.in_touch(name),
                    "sees": {other: sides.seen(name, other, table.rows, living) for other in names},
                    "between": sides.named(self.me, name, table.rows, living)
                    if name != self.me
                    else "",
                }
                for name in names
            ],
            "burdens": {
                name: {
                    "proxies": burden.proxies,
                    "txns_per_s": round(burden.txns_per_s, 1),
                    "channel": round(burden.channel, 3),
                    "processor": round(burden.processor, 3),
                }
                for name, burden in self.burdens.present(now).items()
            },
            "lists": {
                name: {
                    "workers": digest.workers,
                    "for": round(now - self.lists.since.get(name, now), 3),
                }
                for name, digest in self.lists.apart(now).items()
            },
            "verdicts": [
                {
                    "ago": round(now - at, 3),
                    "member": change.name,
                    "before": change.before,
                    "now": change.now,
                    "why": change.why,
                }
                for at, change in self.verdicts
            ],
            "counts": {
                **self.link.counts,
                **{f"refused_{why}": n for why, n in self.link.refused.items()},
            },
        }
