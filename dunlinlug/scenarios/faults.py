"""Turns faults into steps of a timeline: which process receives which command, and when.

This module does no I/O; all random choices come from one seed.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from dunlinlug.config.units import Fraction, Seconds
from dunlinlug.scenarios.commands import Command
from dunlinlug.scenarios.schema import FaultSpec, RandomFaultsConfig


@dataclass(frozen=True, order=True)
class TimelineStep:
    """A command to a target (see `commands`) at `at` seconds of the scenario."""

    at: float
    target: str
    command: Command = field(compare=False)


@dataclass(frozen=True)
class FaultTargets:
    """The processes that faults can be injected into.

    Attributes:
        workers: The zone of each endpoint, by its id.
        proxies: The zone of each proxy, by its name.
        detection_delay: Seconds until service discovery detects that an endpoint has died.
        members: The names of the managers of a fleet.
    """

    workers: Mapping[str, str]
    proxies: Mapping[str, str]
    detection_delay: float
    members: tuple[str, ...] = ()


def draw_faults(config: RandomFaultsConfig, length: float, rng: Random) -> list[FaultSpec]:
    """Draw random faults over the length of a scenario (seconds).

    Faults can overlap, with two exceptions. Only one manager has a fault at a time, because the
    runner keeps track of one. Faults of the same kind do not overlap, because a link condition is
    one value for all links.
    """
    begins_at = 0.0
    free_from = dict[str, float]()
    specs = list[FaultSpec]()
    while config.kinds:
        begins_at += rng.expovariate(1.0 / config.every)
        kind = rng.choice(config.kinds)
        duration = rng.uniform(config.min_duration, config.max_duration)
        if begins_at + duration > length - config.quiet:
            break
        group = "manager" if kind.startswith("manager") else kind
        if begins_at >= free_from.get(group, 0.0):
            free_from[group] = begins_at + duration + 1.0
            specs.append(
                FaultSpec(
                    kind,  # type: ignore[arg-type]
                    Seconds(round(begins_at, 2)),
                    Seconds(round(duration, 2)),
                    Fraction(config.part),
                    0.05 if kind == "members_late" else 4.0,
                )
            )
    return specs


class FaultTimeline:
    """Builds the steps of each fault; the same seed and targets give the same steps."""

    def __init__(self, targets: FaultTargets, rng: Random) -> None:
        self.targets = targets
        self.rng = rng
        self.builders: dict[str, Callable[[FaultSpec], Iterator[TimelineStep]]] = {
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

    def steps(self, faults: Sequence[FaultSpec]) -> list[TimelineStep]:
        """The steps of all faults in time order."""
        steps = [step for fault in faults for step in self._steps_for(fault)]
        return sorted(steps, key=lambda step: step.at)

    def _steps_for(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        if fault.kind in self.builders:
            return self.builders[fault.kind](fault)
        if fault.kind.startswith("manager") or fault.kind == "channel_slow":
            return self._manager_fault(fault)
        if fault.kind.startswith("roster"):
            return self._discovery_fault(fault)
        if fault.kind.startswith("members"):
            return self._link_fault(fault)
        return self._worker_fault(fault)

    def _draw_targets(self, candidates: Mapping[str, str], fault: FaultSpec) -> list[str]:
        eligible = [name for name, zone in candidates.items() if fault.zone in ("", zone)]
        return self.rng.sample(
            eligible, min(len(eligible), max(1, round(fault.part * len(candidates))))
        )

    def _worker_fault(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Endpoints are slow, silent, failing (voiding) or lose answers, and recover."""
        action = fault.kind
        severity = fault.size if action == "slow" else min(fault.size, 1.0)
        for worker in self._draw_targets(self.targets.workers, fault):
            yield TimelineStep(
                fault.at, "workers", {"do": action, "worker": worker, "size": severity}
            )
            recovery: Command = {"do": "well", "worker": worker}
            if action == "slow":
                recovery = {"do": "slow", "size": 1.0, "worker": worker}
            yield TimelineStep(fault.at + fault.lasts, "workers", recovery)

    def flapping(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Endpoints fail and recover in turn, `every` seconds each."""
        for worker in self._draw_targets(self.targets.workers, fault):
            failing = True
            for index in range(max(2, round(fault.lasts / fault.every))):
                action = "voiding" if failing else "well"
                yield TimelineStep(
                    fault.at + index * fault.every,
                    "workers",
                    {"do": action, "worker": worker, "size": 1.0},
                )
                failing = not failing
            yield TimelineStep(fault.at + fault.lasts, "workers", {"do": "well", "worker": worker})

    def _discovery_state(
        self, at: float, state: str, workers: list[str], started: bool = False
    ) -> TimelineStep:
        return TimelineStep(
            at, "roster", {"do": "state", "workers": workers, "state": state, "started": started}
        )

    def drain(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Endpoints drain for `lasts` seconds and are then removed permanently."""
        workers = self._draw_targets(self.targets.workers, fault)
        yield self._discovery_state(fault.at, "draining", workers)
        yield self._discovery_state(fault.at + fault.lasts, "gone", workers)
        for worker in workers:
            yield TimelineStep(fault.at + fault.lasts, "workers", {"do": "down", "worker": worker})

    def deploy(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """A rolling restart, one batch every `every` seconds.

        Endpoints drain for `size` seconds, are down for one second, and come back warming up.
        """
        workers = self._draw_targets(self.targets.workers, fault)
        batches = max(1, round(fault.lasts / fault.every))
        for index in range(batches):
            batch = workers[index::batches]
            at = fault.at + index * fault.every
            if batch:
                yield self._discovery_state(at, "draining", batch)
                yield from self._restart_workers(at + fault.size, at + fault.size + 1.0, batch, 0.0)

    def _restart_workers(
        self, at: float, back_at: float, workers: list[str], detection_delay: float
    ) -> Iterator[TimelineStep]:
        for worker in workers:
            yield TimelineStep(at, "workers", {"do": "down", "worker": worker})
            yield TimelineStep(back_at, "workers", {"do": "back", "worker": worker})
        if at + detection_delay < back_at:
            yield self._discovery_state(at + detection_delay, "gone", workers)
        yield self._discovery_state(back_at + 0.05, "ready", workers, started=True)

    def readdress(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Endpoints restart at the same address within 0.3 s, without a drain."""
        workers = self._draw_targets(self.targets.workers, fault)
        yield from self._restart_workers(
            fault.at, fault.at + 0.3, workers, self.targets.detection_delay
        )

    def zone_loss(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """All endpoints of a zone die without a drain, and come back warming up."""
        zone = fault.zone or self.rng.choice(sorted(set(self.targets.workers.values())))
        workers = [
            worker for worker, worker_zone in self.targets.workers.items() if worker_zone == zone
        ]
        yield from self._restart_workers(
            fault.at, fault.at + fault.lasts, workers, self.targets.detection_delay
        )

    def zone_cut(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """A zone and the others cannot reach each other; streams between them break."""
        zone = fault.zone or self.rng.choice(sorted(set(self.targets.workers.values())))
        proxies = list(self.targets.proxies)
        yield TimelineStep(fault.at, "proxies", {"do": "cut", "proxies": proxies, "zone": zone})
        yield TimelineStep(
            fault.at + fault.lasts, "proxies", {"do": "cut", "proxies": proxies, "zone": ""}
        )

    def reconnect(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Proxies lose their stream and reconnect."""
        yield TimelineStep(
            fault.at,
            "proxies",
            {"do": "break", "proxies": self._draw_targets(self.targets.proxies, fault)},
        )

    def proxy_restart(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Proxies lose their stream and all the state that they have received."""
        yield TimelineStep(
            fault.at,
            "proxies",
            {"do": "restart", "proxies": self._draw_targets(self.targets.proxies, fault)},
        )

    def deaf(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Proxies keep their stream open but do not read from it."""
        proxies = self._draw_targets(self.targets.proxies, fault)
        yield TimelineStep(fault.at, "proxies", {"do": "deaf", "proxies": proxies})
        yield TimelineStep(fault.at + fault.lasts, "proxies", {"do": "hear", "proxies": proxies})

    def _manager_fault(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """A manager is killed, stopped or slow, or its channel is slow, for `lasts` seconds.

        A slow manager is stopped for `part` of the time, in many short pauses; a slow channel is
        `size` times slower.
        """
        if fault.kind == "manager_slow":
            yield TimelineStep(
                fault.at, "manager", {"do": "halt", "size": fault.part, "lasts": fault.lasts}
            )
            return
        action, recovery = {
            "manager_kill": ("kill", "start"),
            "manager_stall": ("stall", "go on"),
            "channel_slow": ("slow", "pace"),
        }[fault.kind]
        yield TimelineStep(fault.at, "manager", {"do": action, "size": fault.size})
        yield TimelineStep(fault.at + fault.lasts, "manager", {"do": recovery})

    def _discovery_fault(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Service discovery is out of date, gone, or truncates its answers, for `lasts`."""
        yield TimelineStep(
            fault.at, "roster", {"do": "fault", "fault": fault.kind.removeprefix("roster_")}
        )
        yield TimelineStep(fault.at + fault.lasts, "roster", {"do": "fault", "fault": ""})

    # Links between managers, by directed pair of sender and receiver.

    def _block_pairs(
        self, fault: FaultSpec, pairs: list[tuple[str, str]]
    ) -> Iterator[TimelineStep]:
        yield TimelineStep(fault.at, "members", {"do": "cut", "pairs": pairs})
        yield TimelineStep(fault.at + fault.lasts, "members", {"do": "heal", "pairs": pairs})

    def members_cut(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """A partition: `part` of the managers and the others cannot reach each other."""
        members = self.targets.members
        isolated_side = self.rng.sample(
            members, min(max(1, round(fault.part * len(members))), len(members) - 1)
        )
        others = [member for member in members if member not in isolated_side]
        return self._block_pairs(
            fault,
            [
                pair
                for isolated in isolated_side
                for other in others
                for pair in ((isolated, other), (other, isolated))
            ],
        )

    def members_mute(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """One manager receives from all others, but its messages reach none."""
        muted = self.rng.choice(self.targets.members)
        return self._block_pairs(
            fault, [(muted, other) for other in self.targets.members if other != muted]
        )

    def members_deaf(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """One manager's messages reach all others, but it receives from none."""
        isolated = self.rng.choice(self.targets.members)
        return self._block_pairs(
            fault, [(other, isolated) for other in self.targets.members if other != isolated]
        )

    def _link_fault(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Links between managers lose, delay or duplicate messages, for `lasts`.

        `part` of the messages is lost or duplicated; delays are up to `size` seconds.
        """
        action = fault.kind.removeprefix("members_")
        yield TimelineStep(
            fault.at,
            "members",
            {"do": action, "size": fault.size if action == "late" else fault.part},
        )
        yield TimelineStep(fault.at + fault.lasts, "members", {"do": action, "size": 0.0})

    def roster_back(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """The index of service discovery goes back, as after a restore from a backup."""
        yield TimelineStep(fault.at, "roster", {"do": "index"})

    def roster_double(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """One endpoint has a second, older entry for `lasts` seconds."""
        yield TimelineStep(fault.at, "roster", {"do": "double", "on": True})
        yield TimelineStep(fault.at + fault.lasts, "roster", {"do": "double", "on": False})
