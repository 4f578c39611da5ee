"""Scenarios: reads an INI file and draws its timeline from a seed.

Free of sockets. Times are seconds of the run's clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Literal

import attrs

from dunlinlug.config.reader import ConfigError, ConfigFile, load_config
from dunlinlug.config.units import Count, Fraction, NameList, Seconds

ZONES = 10  # each has a tenth of the members
MAX_MEMBERS = 940  # hollow and real members: the largest fleet that is required
MAX_REAL_MANAGERS = 20  # on one machine
# Channel rate of a real manager; a changed configuration has up to half less.
CHANNEL_LINES_PER_S = 1200
# Hollow members that no step stops: restarted members find the others through them.
PROTECTED_HOLLOW_MEMBERS = 2


@attrs.frozen
class Scale:
    """[scale]. `clock` is the rate of the clock of every process relative to real time, by size."""

    name: str
    sizes: NameList
    clock: NameList = NameList(("100%",))
    seed: Count = Count(1)
    settle: Seconds = Seconds(10.0)
    length: Seconds = Seconds(30.0)
    beat: Seconds = Seconds(0.2)

    def __attrs_post_init__(self) -> None:
        for size in self.sizes:
            if not size.isdecimal() or not 2 <= int(size) <= MAX_MEMBERS:
                raise ValueError(
                    f"sizes holds {size!r}; each is to be a whole number of members from 2 to {MAX_MEMBERS}"
                )
        if not self.sizes:
            raise ValueError("sizes is empty; expected numbers of members")
        if len(self.clock) not in (1, len(self.sizes)):
            raise ValueError(
                f"clock has {len(self.clock)} values for {len(self.sizes)} sizes; expected one, or one for each size"
            )
        for part in self.clock:
            if (
                not part.endswith("%")
                or not part[:-1].isdecimal()
                or not 2 <= int(part[:-1]) <= 100
            ):
                raise ValueError(
                    f"clock holds {part!r}; expected a share of real time from 2% to 100%"
                )


@attrs.frozen
class Members:
    """[members]: the number of real managers, and properties of the hollow members.

    The fraction `follows` of the hollow members queries discovery for the endpoint list. With
    `joined` they start with full knowledge of each other.
    """

    real: Count = Count(5)
    per_process: Count = Count(50)
    follows: Fraction = Fraction(1.0)
    joined: bool = True

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.real <= MAX_REAL_MANAGERS or not 1 <= self.per_process <= 500:
            raise ValueError(
                f"real is to be at most {MAX_REAL_MANAGERS}, per_process from 1 to 500"
            )


@attrs.frozen
class Workers:
    """[discovery]: the number of listed workers."""

    workers: Count = Count(5000)

    def __attrs_post_init__(self) -> None:
        if not 10 <= self.workers <= 20000:
            raise ValueError("workers is to be from 10 to 20000")


@attrs.frozen
class Proxies:
    """[proxies]: the number of simulated proxies, spread over the real managers."""

    count: Count = Count(20)


@attrs.frozen
class Bounds:
    """[bounds]: limits at which the run stops, and limits of its checks.

    `error` is the fraction by which a hollow member may differ from a real one; `views_within` the
    seconds after the end of a fault within which all views must be equal.
    """

    memory_mb: Count = Count(12000)
    processes: Count = Count(200)
    ready_within: Seconds = Seconds(120.0)
    views_within: Seconds = Seconds(60.0)
    error: Fraction = Fraction(0.1)

    def __attrs_post_init__(self) -> None:
        if self.memory_mb > 12000 or self.processes > 200:
            raise ValueError(
                "memory_mb is at most 12000 and processes at most 200: half of the machine is others'"
            )


@attrs.frozen
class Step:
    """[step NAME]: a fault or a change.

    `size` is the number of workers of each churn, or of members of a rack or restart step; `part`
    the fraction of members on the smaller side of a partition; `every` the seconds between churns,
    restart steps or changes of configuration.
    """

    kind: Literal["churn", "rack", "zone", "split", "restart", "configure"]
    at: Seconds
    lasts: Seconds
    every: Seconds = Seconds(2.0)
    size: Count = Count(20)
    part: Fraction = Fraction(0.5)

    def __attrs_post_init__(self) -> None:
        if self.every <= 0 or self.size < 1:
            raise ValueError("every and size must be above 0")


@dataclass(frozen=True)
class Action:
    """One step of the timeline: churn, down, up, leave, cut, heal, configure or end.

    `names` are the affected members; `value` is a size or a channel rate.
    """

    at: float
    do: str
    names: tuple[str, ...] = ()
    value: int = 0


@dataclass(frozen=True)
class Plan:
    """One run: its real and hollow members, and its timeline."""

    size: int
    clock: float
    real: tuple[str, ...]
    hollow: tuple[str, ...]
    actions: tuple[Action, ...]
    steps: dict[str, Step] = field(default_factory=dict)


SINGLE = {
    "scale": Scale,
    "members": Members,
    "discovery": Workers,
    "proxies": Proxies,
    "bounds": Bounds,
}


def read(path: Path) -> ConfigFile:
    """Read a scenario file. Raises ConfigError with file, line and key."""
    config = load_config(
        path, SINGLE, {"step": Step}, optional_sections=frozenset(SINGLE) - {"scale"}
    )
    scale, members = config.section(Scale), config.section(Members)
    for name, step in config.sections(Step).items():
        if step.at + step.lasts > scale.length:
            raise ConfigError(
                f"{path}:{_line(path, f'[step {name}]')}: [step {name}] lasts: it ends at "
                f"{step.at + step.lasts:g} s, after the run's length of {scale.length:g} s"
            )
        steps = -(-max(map(int, scale.sizes)) // step.size)
        if step.kind == "restart" and steps * step.every > step.lasts:
            raise ConfigError(
                f"{path}:{_line(path, f'[step {name}]')}: [step {name}] lasts: {steps} steps, one every "
                f"{step.every:g} s, take longer than {step.lasts:g} s"
            )
    smallest_size = min(map(int, scale.sizes))
    needs_hollow = any(
        step.kind in ("rack", "zone", "split", "restart") for step in config.sections(Step).values()
    )
    if (
        smallest_size < members.real
        or needs_hollow
        and smallest_size - members.real < PROTECTED_HOLLOW_MEMBERS + 1
    ):
        raise ConfigError(
            f"{path}:{_line(path, 'sizes')}: [scale] sizes: {smallest_size} members leave no room for "
            f"{members.real} real ones" + (" and hollow ones to take down" if needs_hollow else "")
        )
    return config


def _line(path: Path, prefix: str) -> int:
    lines = path.read_text(encoding="utf-8").splitlines()
    return next((n for n, line in enumerate(lines, 1) if line.strip().startswith(prefix)), 1)


def plan(config: ConfigFile, size: int) -> Plan:
    """Return the plan of a run with this many members in all."""
    scale, members = config.section(Scale), config.section(Members)
    clocks = scale.clock * len(scale.sizes) if len(scale.clock) == 1 else scale.clock
    clock = int(clocks[list(scale.sizes).index(str(size))].rstrip("%")) / 100
    real = tuple(f"r{n}" for n in range(members.real))
    hollow = tuple(f"h{n}" for n in range(size - members.real))
    steps = config.sections(Step)
    rng = Random(f"{scale.seed} {scale.name} {size}")
    actions = [
        action
        for _, step in sorted(steps.items())
        for action in _step_actions(step, real, hollow, rng)
    ]
    actions += [Action(scale.length, "end")]
    return Plan(
        size, clock, real, hollow, tuple(sorted(actions, key=lambda action: action.at)), steps
    )


def zone_of(name: str) -> int:
    """Return the zone of a member, which follows from its name."""
    return int(name[1:]) % ZONES


def _step_actions(
    step: Step, real: tuple[str, ...], hollow: tuple[str, ...], rng: Random
) -> Iterator[Action]:
    """Yield the actions of a step.

    Real managers are on the larger side of a partition, and only restart steps stop them.
    """
    movable = hollow[PROTECTED_HOLLOW_MEMBERS:]
    match step.kind:
        case "churn":
            for n in range(_repetitions(step)):
                yield Action(step.at + n * step.every, "churn", value=step.size)
        case "configure":
            for n in range(_repetitions(step)):
                yield Action(
                    step.at + n * step.every,
                    "configure",
                    real,
                    value=CHANNEL_LINES_PER_S - 10 * rng.randint(1, 60),
                )
        case "rack":
            names = tuple(rng.sample(movable, min(step.size, len(movable) // 2 or 1)))
            yield from (Action(step.at, "down", names), Action(step.at + step.lasts, "up", names))
        case "zone":
            zone = rng.randrange(ZONES)
            names = tuple(name for name in movable if zone_of(name) == zone) or movable[:1]
            yield from (Action(step.at, "down", names), Action(step.at + step.lasts, "up", names))
        case "split":
            smaller_side = min(round(step.part * (len(real) + len(hollow))), len(hollow) - 1)
            names = hollow[len(hollow) - max(smaller_side, 1) :]
            yield from (Action(step.at, "cut", names), Action(step.at + step.lasts, "heal", names))
        case "restart":
            all_members = [*real, *hollow]
            for n, start in enumerate(range(0, len(all_members), step.size)):
                names = tuple(all_members[start : start + step.size])
                yield Action(step.at + n * step.every, "leave", names)
                yield Action(step.at + n * step.every + step.every / 2, "up", names)


def _repetitions(step: Step) -> int:
    return max(1, int(step.lasts / step.every + 1e-9))
