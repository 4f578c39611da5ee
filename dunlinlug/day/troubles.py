"""Troubles to steps on a timeline: who is told what, when. Plain data in and out, drawn from one seed."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dunlinlug.config import Seconds, Share
from dunlinlug.day.terms import Faults, Trouble


@dataclass(frozen=True, order=True)
class Step:
    """At `at` seconds of the day, `target` (workers, proxies, roster, manager) is told `command`."""

    at: float
    target: str
    command: dict[str, Any] = field(compare=False)


@dataclass(frozen=True)
class Cast:
    """Whom troubles can strike: zones by worker and by proxy; `notice` is how late the roster sees a death."""

    workers: Mapping[str, str]
    proxies: Mapping[str, str]
    notice: float
    members: tuple[str, ...] = ()


def drawn(faults: Faults, length: float, chance: Random) -> list[Trouble]:
    """Troubles in overlap, but for those of processes: one is struck at a time, so that it is known which. Weather
    (words lost, late, doubled) is one value for all, so the same kind does not overlap itself either."""
    at, free, made = 0.0, dict[str, float](), list[Trouble]()
    while faults.kinds:
        at += chance.expovariate(1.0 / faults.every)
        kind, lasts = chance.choice(faults.kinds), chance.uniform(faults.least, faults.most)
        if at + lasts > length - faults.quiet:
            break
        group = "manager" if kind.startswith("manager") else kind
        if at >= free.get(group, 0.0):
            free[group] = at + lasts + 1.0
            made.append(
                Trouble(
                    kind,  # type: ignore[arg-type]
                    Seconds(round(at, 2)),
                    Seconds(round(lasts, 2)),
                    Share(faults.part),
                    0.05 if kind == "members_late" else 4.0,
                )
            )
    return made


class Troubles:
    """Makes the steps of each trouble; the same seed and cast give the same steps."""

    def __init__(self, cast: Cast, chance: Random) -> None:
        self.cast, self.chance = cast, chance
        self.makers: dict[str, Callable[[Trouble], Iterator[Step]]] = {
            "drain": self.drain,
            "deploy": self.deploy,
            "flapping": self.flapping,
            "zone_loss": self.zone_loss,
            "zone_cut": self.zone_cut,
            "reconnect": self.reconnect,
            "proxy_restart": self.proxy_restart,
            "deaf": self.deaf,
            "readdress": self.readdress,
            "roster_back": self.roster_back,
            "roster_double": self.roster_double,
            "members_cut": self.members_cut,
            "members_mute": self.members_mute,
            "members_deaf": self.members_deaf,
        }

    def steps(self, troubles: Sequence[Trouble]) -> list[Step]:
        made = [step for trouble in troubles for step in self._of(trouble)]
        return sorted(made, key=lambda step: step.at)

    def _of(self, trouble: Trouble) -> Iterator[Step]:
        if trouble.kind in self.makers:
            return self.makers[trouble.kind](trouble)
        if trouble.kind.startswith("manager") or trouble.kind == "channel_slow":
            return self._manager(trouble)
        if trouble.kind.startswith("roster"):
            return self._roster(trouble)
        if trouble.kind.startswith("members"):
            return self._weather(trouble)
        return self._mode(trouble)

    def _drawn(self, among: Mapping[str, str], trouble: Trouble) -> list[str]:
        named = [name for name, zone in among.items() if trouble.zone in ("", zone)]
        return self.chance.sample(named, min(len(named), max(1, round(trouble.part * len(among)))))

    def _mode(self, trouble: Trouble) -> Iterator[Step]:
        """slow, silent, voiding, answers_lost: on, and off again."""
        do, size = trouble.kind, min(trouble.size, 1.0) if trouble.kind != "slow" else trouble.size
        for worker in self._drawn(self.cast.workers, trouble):
            yield Step(trouble.at, "workers", {"do": do, "worker": worker, "size": size})
            end = {"do": "slow", "size": 1.0} if do == "slow" else {"do": "well"}
            yield Step(trouble.at + trouble.lasts, "workers", {**end, "worker": worker})

    def flapping(self, trouble: Trouble) -> Iterator[Step]:
        """Voiding on and off, `every` seconds each."""
        for worker in self._drawn(self.cast.workers, trouble):
            on = True
            for n in range(max(2, round(trouble.lasts / trouble.every))):
                do = "voiding" if on else "well"
                yield Step(
                    trouble.at + n * trouble.every,
                    "workers",
                    {"do": do, "worker": worker, "size": 1.0},
                )
                on = not on
            yield Step(trouble.at + trouble.lasts, "workers", {"do": "well", "worker": worker})

    def _state(self, at: float, state: str, workers: list[str], started: bool = False) -> Step:
        return Step(
            at, "roster", {"do": "state", "workers": workers, "state": state, "started": started}
        )

    def drain(self, trouble: Trouble) -> Iterator[Step]:
        """Drained for `lasts` seconds, then gone for good."""
        struck = self._drawn(self.cast.workers, trouble)
        yield self._state(trouble.at, "draining", struck)
        yield self._state(trouble.at + trouble.lasts, "gone", struck)
        for worker in struck:
            yield Step(trouble.at + trouble.lasts, "workers", {"do": "down", "worker": worker})

    def deploy(self, trouble: Trouble) -> Iterator[Step]:
        """Batch by batch: drained `size` seconds, down for one, back cold; a batch each `every` seconds."""
        struck = self._drawn(self.cast.workers, trouble)
        batches = max(1, round(trouble.lasts / trouble.every))
        for n in range(batches):
            batch, at = struck[n::batches], trouble.at + n * trouble.every
            if batch:
                yield self._state(at, "draining", batch)
                yield from self._down(at + trouble.size, at + trouble.size + 1.0, batch, 0.0)

    def _down(self, at: float, back: float, workers: list[str], notice: float) -> Iterator[Step]:
        for worker in workers:
            yield Step(at, "workers", {"do": "down", "worker": worker})
            yield Step(back, "workers", {"do": "back", "worker": worker})
        if at + notice < back:
            yield self._state(at + notice, "gone", workers)
        yield self._state(back + 0.05, "ready", workers, started=True)

    def readdress(self, trouble: Trouble) -> Iterator[Step]:
        """Restarted at the same address within a moment, without a drain."""
        struck = self._drawn(self.cast.workers, trouble)
        yield from self._down(trouble.at, trouble.at + 0.3, struck, self.cast.notice)

    def zone_loss(self, trouble: Trouble) -> Iterator[Step]:
        """Every worker of a zone dies unseen, and comes back cold."""
        zone = trouble.zone or self.chance.choice(sorted(set(self.cast.workers.values())))
        struck = [worker for worker, at in self.cast.workers.items() if at == zone]
        yield from self._down(trouble.at, trouble.at + trouble.lasts, struck, self.cast.notice)

    def zone_cut(self, trouble: Trouble) -> Iterator[Step]:
        """No link between a zone and the others; streams across it break."""
        zone = trouble.zone or self.chance.choice(sorted(set(self.cast.workers.values())))
        everyone = list(self.cast.proxies)
        yield Step(trouble.at, "proxies", {"do": "cut", "proxies": everyone, "zone": zone})
        yield Step(
            trouble.at + trouble.lasts, "proxies", {"do": "cut", "proxies": everyone, "zone": ""}
        )

    def reconnect(self, trouble: Trouble) -> Iterator[Step]:
        yield Step(
            trouble.at,
            "proxies",
            {"do": "break", "proxies": self._drawn(self.cast.proxies, trouble)},
        )

    def proxy_restart(self, trouble: Trouble) -> Iterator[Step]:
        yield Step(
            trouble.at,
            "proxies",
            {"do": "restart", "proxies": self._drawn(self.cast.proxies, trouble)},
        )

    def deaf(self, trouble: Trouble) -> Iterator[Step]:
        struck = self._drawn(self.cast.proxies, trouble)
        yield Step(trouble.at, "proxies", {"do": "deaf", "proxies": struck})
        yield Step(trouble.at + trouble.lasts, "proxies", {"do": "hear", "proxies": struck})

    def _manager(self, trouble: Trouble) -> Iterator[Step]:
        """manager_kill and manager_stall: there again after `lasts`; manager_slow: stopped for `part` of the time, in
        many short stops; channel_slow: `size` times slower."""
        if trouble.kind == "manager_slow":
            yield Step(
                trouble.at, "manager", {"do": "halt", "size": trouble.part, "lasts": trouble.lasts}
            )
            return
        do, undo = {
            "manager_kill": ("kill", "start"),
            "manager_stall": ("stall", "go on"),
            "channel_slow": ("slow", "pace"),
        }[trouble.kind]
        yield Step(trouble.at, "manager", {"do": do, "size": trouble.size})
        yield Step(trouble.at + trouble.lasts, "manager", {"do": undo})

    def _roster(self, trouble: Trouble) -> Iterator[Step]:
        """roster_stale, roster_gone and roster_cut_short, for `lasts`."""
        yield Step(
            trouble.at, "roster", {"do": "fault", "fault": trouble.kind.removeprefix("roster_")}
        )
        yield Step(trouble.at + trouble.lasts, "roster", {"do": "fault", "fault": ""})

    # Between managers, by directed pair.

    def _pairs(self, trouble: Trouble, pairs: list[tuple[str, str]]) -> Iterator[Step]:
        yield Step(trouble.at, "members", {"do": "cut", "pairs": pairs})
        yield Step(trouble.at + trouble.lasts, "members", {"do": "heal", "pairs": pairs})

    def members_cut(self, trouble: Trouble) -> Iterator[Step]:
        """A side of `part` of the managers and the others reach each other no more."""
        members = self.cast.members
        side = self.chance.sample(
            members, min(max(1, round(trouble.part * len(members))), len(members) - 1)
        )
        rest = [member for member in members if member not in side]
        return self._pairs(trouble, [pair for a in side for b in rest for pair in ((a, b), (b, a))])

    def members_mute(self, trouble: Trouble) -> Iterator[Step]:
        """One manager hears all and is heard by none."""
        one = self.chance.choice(self.cast.members)
        return self._pairs(trouble, [(one, other) for other in self.cast.members if other != one])

    def members_deaf(self, trouble: Trouble) -> Iterator[Step]:
        """One is heard by all and hears none."""
        one = self.chance.choice(self.cast.members)
        return self._pairs(trouble, [(other, one) for other in self.cast.members if other != one])

    def _weather(self, trouble: Trouble) -> Iterator[Step]:
        """members_loss, members_late, members_double: `part` of what managers send, or `size` seconds, for `lasts`."""
        do = trouble.kind.removeprefix("members_")
        yield Step(
            trouble.at,
            "members",
            {"do": do, "size": trouble.size if do == "late" else trouble.part},
        )
        yield Step(trouble.at + trouble.lasts, "members", {"do": do, "size": 0.0})

    def roster_back(self, trouble: Trouble) -> Iterator[Step]:
        yield Step(trouble.at, "roster", {"do": "index"})

    def roster_double(self, trouble: Trouble) -> Iterator[Step]:
        yield Step(trouble.at, "roster", {"do": "double", "on": True})
        yield Step(trouble.at + trouble.lasts, "roster", {"do": "double", "on": False})
