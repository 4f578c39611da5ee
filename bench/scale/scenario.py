"""What is played, from an INI file, and its timeline drawn from a seed. No sockets; times are the
rig's seconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Literal

import attrs

from dunlinlug.config.reader import ConfigError, ConfigFile, load_config
from dunlinlug.config.units import Count, Fraction, NameList, Seconds

ZONES = 10  # a zone is a tenth of all
MOST = 940  # hollow members and real ones: the largest fleet that is asked for
REAL_MOST = 20  # real managers on one machine
# lines a second that a real manager's channel carries; a changed configuration has up to half less
PACE = 1200
# hollow members that no step takes down: seeds by which those that start again find the others
LEFT_ALONE = 2


@attrs.frozen
class Scale:
    """[scale]. `clock` is the part of true time at which every process of the run lives, by size."""

    name: str
    sizes: NameList
    clock: NameList = NameList(("100%",))
    seed: Count = Count(1)
    settle: Seconds = Seconds(10.0)
    length: Seconds = Seconds(30.0)
    beat: Seconds = Seconds(0.2)

    def __attrs_post_init__(self) -> None:
        for size in self.sizes:
            if not size.isdecimal() or not 2 <= int(size) <= MOST:
                raise ValueError(
                    f"sizes holds {size!r}; each is to be a whole number of members from 2 to {MOST}"
                )
        if not self.sizes:
            raise ValueError("sizes is empty; it names the numbers of members to play")
        if len(self.clock) not in (1, len(self.sizes)):
            raise ValueError(
                f"clock has {len(self.clock)} values for {len(self.sizes)} sizes; one, or one for each"
            )
        for part in self.clock:
            if (
                not part.endswith("%")
                or not part[:-1].isdecimal()
                or not 2 <= int(part[:-1]) <= 100
            ):
                raise ValueError(
                    f"clock holds {part!r}; each is to be a share of true time from 2% to 100%"
                )


@attrs.frozen
class Members:
    """[members]: `real` managers among all; `follows` of the hollow ones ask discovery for the
    list.
    """

    real: Count = Count(5)
    per_process: Count = Count(50)
    follows: Fraction = Fraction(1.0)
    joined: bool = True  # hollow members begin as if they had known each other for long

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.real <= REAL_MOST or not 1 <= self.per_process <= 500:
            raise ValueError(f"real is to be at most {REAL_MOST}, per_process from 1 to 500")


@attrs.frozen
class Workers:
    """[discovery]: how many workers it lists."""

    workers: Count = Count(5000)

    def __attrs_post_init__(self) -> None:
        if not 10 <= self.workers <= 20000:
            raise ValueError("workers is to be from 10 to 20000")


@attrs.frozen
class Proxies:
    """[proxies]: hollow proxies, spread over the real managers."""

    count: Count = Count(20)


@attrs.frozen
class Bounds:
    """[bounds]: where the run stops itself. `error` is the part by which a hollow member may differ
    from a real one; `views_within` the seconds after a fault's end in which all views are to be
    equal.
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
    """[step NAME]. `size`: workers of each churn, members of a rack or of one step of a restart;
    `part`: of all members, behind the cut; `every`: from one churn, restart step or change of
    configuration to the next.
    """

    kind: Literal["churn", "rack", "zone", "split", "restart", "configure"]
    at: Seconds
    lasts: Seconds
    every: Seconds = Seconds(2.0)
    size: Count = Count(20)
    part: Fraction = Fraction(0.5)

    def __attrs_post_init__(self) -> None:
        if self.every <= 0 or self.size < 1:
            raise ValueError("every and size are to be above 0")


@dataclass(frozen=True)
class Act:
    """One thing that is done: churn, down, up, leave, cut, heal, configure; to whom; `value` is a
    size or a pace.
    """

    at: float
    do: str
    names: tuple[str, ...] = ()
    value: int = 0


@dataclass(frozen=True)
class Plan:
    """One run: who is real, who hollow, and what is done when."""

    size: int
    clock: float
    real: tuple[str, ...]
    hollow: tuple[str, ...]
    acts: tuple[Act, ...]
    steps: dict[str, Step] = field(default_factory=dict)


SINGLE = {
    "scale": Scale,
    "members": Members,
    "discovery": Workers,
    "proxies": Proxies,
    "bounds": Bounds,
}


def read(path: Path) -> ConfigFile:
    """Raises ConfigFault, with file, line and key."""
    book = load_config(
        path, SINGLE, {"step": Step}, optional_sections=frozenset(SINGLE) - {"scale"}
    )
    scale, members = book.section(Scale), book.section(Members)
    for name, step in book.sections(Step).items():
        if step.at + step.lasts > scale.length:
            raise ConfigError(
                f"{path}:{_line(path, f'[step {name}]')}: [step {name}] lasts: it ends at "
                f"{step.at + step.lasts:g} s, after the run's length of {scale.length:g} s"
            )
        steps = -(-max(map(int, scale.sizes)) // step.size)
        if step.kind == "restart" and steps * step.every > step.lasts:
            raise ConfigError(
                f"{path}:{_line(path, f'[step {name}]')}: [step {name}] lasts: {steps} steps, one each "
                f"{step.every:g} s, take longer than {step.lasts:g} s"
            )
    fewest = min(map(int, scale.sizes))
    needs_hollow = any(
        step.kind in ("rack", "zone", "split", "restart") for step in book.sections(Step).values()
    )
    if fewest < members.real or needs_hollow and fewest - members.real < LEFT_ALONE + 1:
        raise ConfigError(
            f"{path}:{_line(path, 'sizes')}: [scale] sizes: {fewest} members leave no room for "
            f"{members.real} real ones" + (" and hollow ones to take down" if needs_hollow else "")
        )
    return book


def _line(path: Path, begins: str) -> int:
    lines = path.read_text(encoding="utf-8").splitlines()
    return next((n for n, line in enumerate(lines, 1) if line.strip().startswith(begins)), 1)


def plan(book: ConfigFile, size: int) -> Plan:
    """The run with so many members in all."""
    scale, members = book.section(Scale), book.section(Members)
    clocks = scale.clock * len(scale.sizes) if len(scale.clock) == 1 else scale.clock
    clock = int(clocks[list(scale.sizes).index(str(size))].rstrip("%")) / 100
    real = tuple(f"r{n}" for n in range(members.real))
    hollow = tuple(f"h{n}" for n in range(size - members.real))
    steps = book.sections(Step)
    chance = Random(f"{scale.seed} {scale.name} {size}")
    acts = [act for _, step in sorted(steps.items()) for act in _acts(step, real, hollow, chance)]
    acts += [Act(scale.length, "end")]
    return Plan(size, clock, real, hollow, tuple(sorted(acts, key=lambda act: act.at)), steps)


def zone_of(name: str) -> int:
    return int(name[1:]) % ZONES


def _acts(
    step: Step, real: tuple[str, ...], hollow: tuple[str, ...], chance: Random
) -> Iterator[Act]:
    """Real managers stand on the larger side of a cut, and only restarts in steps stop them."""
    movable = hollow[LEFT_ALONE:]
    match step.kind:
        case "churn":
            for n in range(_times(step)):
                yield Act(step.at + n * step.every, "churn", value=step.size)
        case "configure":
            for n in range(_times(step)):
                yield Act(
                    step.at + n * step.every,
                    "configure",
                    real,
                    value=PACE - 10 * chance.randint(1, 60),
                )
        case "rack":
            names = tuple(chance.sample(movable, min(step.size, len(movable) // 2 or 1)))
            yield from (Act(step.at, "down", names), Act(step.at + step.lasts, "up", names))
        case "zone":
            zone = chance.randrange(ZONES)
            names = tuple(name for name in movable if zone_of(name) == zone) or movable[:1]
            yield from (Act(step.at, "down", names), Act(step.at + step.lasts, "up", names))
        case "split":
            most = min(round(step.part * (len(real) + len(hollow))), len(hollow) - 1)
            names = hollow[len(hollow) - max(most, 1) :]
            yield from (Act(step.at, "cut", names), Act(step.at + step.lasts, "heal", names))
        case "restart":
            everyone = [*real, *hollow]
            for n, start in enumerate(range(0, len(everyone), step.size)):
                names = tuple(everyone[start : start + step.size])
                yield Act(step.at + n * step.every, "leave", names)
                yield Act(step.at + n * step.every + step.every / 2, "up", names)


def _times(step: Step) -> int:
    return max(1, int(step.lasts / step.every + 1e-9))
