"""What a day's INI holds beside the manager's own sections, and the run file made from it for all
parts.
"""

import configparser
from collections.abc import Mapping
from pathlib import Path
from typing import Literal, get_args

import attrs

from dunlinlug.config import manager_config as manager_terms
from dunlinlug.config.reader import ConfigFile, ini_key, load_config
from dunlinlug.config.units import Address, Count, Fraction, NameList, PerSecond, Seconds

FaultKind = Literal[
    "drain",
    "deploy",
    "slow",
    "silent",
    "voiding",
    "flapping",
    "answers_lost",
    "zone_loss",
    "zone_cut",
    "reconnect",
    "proxy_restart",
    "manager_kill",
    "manager_stall",
    "manager_slow",
    "channel_slow",
    "deaf",
    "readdress",
    "roster_stale",
    "roster_gone",
    "roster_cut_short",
    "roster_back",
    "roster_double",
    "members_cut",
    "members_mute",
    "members_deaf",
    "members_loss",
    "members_late",
    "members_double",
]


@attrs.frozen
class ScenarioConfig:
    """[day]: its name and length; `lead` seconds pass before the load begins. Managers' clocks
    drift by `drift`, one ahead, the next behind.
    """

    name: str
    length: Seconds
    seed: Count = Count(1)
    lead: Seconds = Seconds(1.5)
    drift: Fraction = Fraction(0.0)


@attrs.frozen
class FleetConfig:
    """[fleet]: workers, dealt over the zones; `kinds` are CORESxSPEED."""

    zones: NameList
    workers: Count
    kinds: NameList = NameList(("2x1.0",))
    queue_per_core: Count = Count(8)
    cold_from: Fraction = Fraction(0.3)
    cold: Seconds = Seconds(6.0)
    notice: Seconds = Seconds(1.5)


@attrs.frozen
class ProxiesConfig:
    """[proxies]: how many, in how many processes, and how soon a lost stream is dialled again."""

    count: Count
    processes: Count = Count(2)
    redial: Seconds = Seconds(0.5)
    dial_within: Seconds = Seconds(1.0)


@attrs.frozen
class LoadConfig:
    """[load]: txns a second over all proxies, seconds of a core each, and what clients do after a
    failure.
    """

    requests_per_second: PerSecond = attrs.field(metadata=ini_key("txns_per_s"))
    work: Seconds
    spread: float = 0.5
    retries: Count = Count(1)
    backoff: Seconds = Seconds(0.1)
    ramp: Seconds = Seconds(2.0)


@attrs.frozen
class MixConfig:
    """[mix NAME]: a product's part of the txns."""

    share: Fraction


@attrs.frozen
class FaultSpec:
    """[trouble NAME]: what, when, how long, to how much of what it strikes, how badly."""

    kind: FaultKind
    at: Seconds
    lasts: Seconds = Seconds(5.0)
    part: Fraction = Fraction(0.2)
    size: float = 4.0
    every: Seconds = Seconds(1.0)
    zone: str = ""


@attrs.frozen
class RandomFaultsConfig:
    """[faults]: troubles drawn from the day's seed, in overlap, until `quiet` before its end: of
    these kinds, one each `every` seconds in the mean, each for `least` to `most`, striking
    `part`.
    """

    kinds: NameList = NameList(())
    every: Seconds = Seconds(6.0)
    min_duration: Seconds = attrs.field(default=Seconds(2.0), metadata=ini_key("least"))
    max_duration: Seconds = attrs.field(default=Seconds(6.0), metadata=ini_key("most"))
    part: Fraction = Fraction(0.2)
    quiet: Seconds = Seconds(10.0)

    def __attrs_post_init__(self) -> None:
        unknown = sorted(set(self.kinds) - set(get_args(FaultKind)))
        if unknown:
            raise ValueError(
                f"unknown kind {unknown[0]}; known are {', '.join(get_args(FaultKind))}"
            )
        if not 0 < self.min_duration <= self.max_duration:
            raise ValueError("least is to be above 0, and not above most")


@attrs.frozen
class WorkerConfig:
    """[worker ADDRESS] of a run file."""

    zone: str
    cores: Count
    speed: float
    weight: float


@attrs.frozen
class ProxyConfig:
    """[proxy NAME] of a run file."""

    zone: str
    address: Address
    group: Count
    rate: float


SECTION_TYPES = {
    "day": ScenarioConfig,
    "faults": RandomFaultsConfig,
    "fleet": FleetConfig,
    "proxies": ProxiesConfig,
    "load": LoadConfig,
    **manager_terms.SECTIONS,
}
NAMED_SECTION_TYPES = {
    "mix": MixConfig,
    "trouble": FaultSpec,
    "worker": WorkerConfig,
    "proxy": ProxyConfig,
    **manager_terms.NAMED_SECTIONS,
}
OPTIONAL_SECTIONS = manager_terms.OPTIONAL_SECTIONS | {"faults"}


def read_scenario(path: Path) -> ConfigFile:
    """A day's or a run's file; raises ConfigFault."""
    return load_config(path, SECTION_TYPES, NAMED_SECTION_TYPES, OPTIONAL_SECTIONS)


def copy_sections(
    source: Path,
    overrides: Mapping[str, Mapping[str, str]],
    section_types: frozenset[str] | None,
    target: Path,
) -> None:
    """Write `target` from `source`'s sections (all, or those whose first word is in `only`) with
    `extra` laid over.
    """
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read(source, encoding="utf-8")
    for section in parser.sections():
        if section_types is not None and section.partition(" ")[0] not in section_types:
            parser.remove_section(section)
    for section, values in overrides.items():
        if not parser.has_section(section):
            parser.add_section(section)
        for key, value in values.items():
            parser.set(section, key, value)
    partial_file = target.with_suffix(".part")
    with partial_file.open("w", encoding="utf-8") as file:
        parser.write(file)
    partial_file.replace(target)  # a reader on a signal sees the whole file or the former one
