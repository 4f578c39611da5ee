"""Troubles to steps on a timeline: who is told what, when. Plain data in and out, drawn from one
seed.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dunlinlug.config.units import Fraction, Seconds
from dunlinlug.scenarios.schema import FaultSpec, RandomFaultsConfig


@dataclass(frozen=True, order=True)
class TimelineStep:
    """At `at` seconds of the day, `target` (workers, proxies, roster, manager) is told `command`."""

    at: float
    target: str
    command: dict[str, Any] = field(compare=False)


@dataclass(frozen=True)
class FaultTargets:
    """Whom troubles can strike: zones by worker and by proxy; `notice` is how late the roster sees
    a death.
    """

    workers: Mapping[str, str]
    proxies: Mapping[str, str]
    detection_delay: float
    members: tuple[str, ...] = ()


def draw_faults(config: RandomFaultsConfig, length: float, rng: Random) -> list[FaultSpec]:
    """Troubles in overlap, but for those of processes: one is struck at a time, so that it is known
    which. Weather (words lost, late, doubled) is one value for all, so the same kind does not
    overlap itself either.
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
    """Makes the steps of each trouble; the same seed and cast give the same steps."""

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
        """slow, silent, voiding, answers_lost: on, and off again."""
        action = fault.kind
        severity = min(fault.size, 1.0) if fault.kind != "slow" else fault.size
        for worker in self._draw_targets(self.targets.workers, fault):
            yield TimelineStep(
                fault.at, "workers", {"do": action, "worker": worker, "size": severity}
            )
            recovery = {"do": "slow", "size": 1.0} if action == "slow" else {"do": "well"}
            yield TimelineStep(fault.at + fault.lasts, "workers", {**recovery, "worker": worker})

    def flapping(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Voiding on and off, `every` seconds each."""
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
        """Drained for `lasts` seconds, then gone for good."""
        workers = self._draw_targets(self.targets.workers, fault)
        yield self._discovery_state(fault.at, "draining", workers)
        yield self._discovery_state(fault.at + fault.lasts, "gone", workers)
        for worker in workers:
            yield TimelineStep(fault.at + fault.lasts, "workers", {"do": "down", "worker": worker})

    def deploy(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Batch by batch: drained `size` seconds, down for one, back cold; a batch each `every`
        seconds.
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
        """Restarted at the same address within a moment, without a drain."""
        workers = self._draw_targets(self.targets.workers, fault)
        yield from self._restart_workers(
            fault.at, fault.at + 0.3, workers, self.targets.detection_delay
        )

    def zone_loss(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """Every worker of a zone dies unseen, and comes back cold."""
        zone = fault.zone or self.rng.choice(sorted(set(self.targets.workers.values())))
        workers = [
            worker for worker, worker_zone in self.targets.workers.items() if worker_zone == zone
        ]
        yield from self._restart_workers(
            fault.at, fault.at + fault.lasts, workers, self.targets.detection_delay
        )

    def zone_cut(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """No link between a zone and the others; streams across it break."""
        zone = fault.zone or self.rng.choice(sorted(set(self.targets.workers.values())))
        proxies = list(self.targets.proxies)
        yield TimelineStep(fault.at, "proxies", {"do": "cut", "proxies": proxies, "zone": zone})
        yield TimelineStep(
            fault.at + fault.lasts, "proxies", {"do": "cut", "proxies": proxies, "zone": ""}
        )

    def reconnect(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        yield TimelineStep(
            fault.at,
            "proxies",
            {"do": "break", "proxies": self._draw_targets(self.targets.proxies, fault)},
        )

    def proxy_restart(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        yield TimelineStep(
            fault.at,
            "proxies",
            {"do": "restart", "proxies": self._draw_targets(self.targets.proxies, fault)},
        )

    def deaf(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        proxies = self._draw_targets(self.targets.proxies, fault)
        yield TimelineStep(fault.at, "proxies", {"do": "deaf", "proxies": proxies})
        yield TimelineStep(fault.at + fault.lasts, "proxies", {"do": "hear", "proxies": proxies})

    def _manager_fault(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """manager_kill and manager_stall: there again after `lasts`; manager_slow: stopped for
        `part` of the time, in many short stops; channel_slow: `size` times slower.
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
        """roster_stale, roster_gone and roster_cut_short, for `lasts`."""
        yield TimelineStep(
            fault.at, "roster", {"do": "fault", "fault": fault.kind.removeprefix("roster_")}
        )
        yield TimelineStep(fault.at + fault.lasts, "roster", {"do": "fault", "fault": ""})

    # Between managers, by directed pair.

    def _block_pairs(
        self, fault: FaultSpec, pairs: list[tuple[str, str]]
    ) -> Iterator[TimelineStep]:
        yield TimelineStep(fault.at, "members", {"do": "cut", "pairs": pairs})
        yield TimelineStep(fault.at + fault.lasts, "members", {"do": "heal", "pairs": pairs})

    def members_cut(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """A side of `part` of the managers and the others reach each other no more."""
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
        """One manager hears all and is heard by none."""
        muted = self.rng.choice(self.targets.members)
        return self._block_pairs(
            fault, [(muted, other) for other in self.targets.members if other != muted]
        )

    def members_deaf(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """One is heard by all and hears none."""
        isolated = self.rng.choice(self.targets.members)
        return self._block_pairs(
            fault, [(other, isolated) for other in self.targets.members if other != isolated]
        )

    def _link_fault(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        """members_loss, members_late, members_double: `part` of what managers send, or `size`
        seconds, for `lasts`.
        """
        action = fault.kind.removeprefix("members_")
        yield TimelineStep(
            fault.at,
            "members",
            {"do": action, "size": fault.size if action == "late" else fault.part},
        )
        yield TimelineStep(fault.at + fault.lasts, "members", {"do": action, "size": 0.0})

    def roster_back(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        yield TimelineStep(fault.at, "roster", {"do": "index"})

    def roster_double(self, fault: FaultSpec) -> Iterator[TimelineStep]:
        yield TimelineStep(fault.at, "roster", {"do": "double", "on": True})
        yield TimelineStep(fault.at + fault.lasts, "roster", {"do": "double", "on": False})
