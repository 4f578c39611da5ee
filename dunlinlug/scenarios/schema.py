"""The sections of a scenario's INI file beside those of managers, and of the run file made from it.

Field names are the keys of the file unless `ini_key` gives another; `[worker]` and `[proxy]`
sections stand in run files alone.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Literal, get_args

import attrs

from dunlinlug.config import manager_config
from dunlinlug.config.reader import CaseSensitiveParser, ConfigFile, ini_key, load_config
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
    """[day]: the scenario.

    Attributes:
        name: As it is reported.
        length: Seconds of load.
        seed: Of all that is random.
        lead: Seconds that pass before the load begins.
        drift: By how much managers' clocks go faster, and every other one slower.
    """

    name: str
    length: Seconds
    seed: Count = Count(1)
    lead: Seconds = Seconds(1.5)
    drift: Fraction = Fraction(0.0)


@attrs.frozen
class FleetConfig:
    """[fleet]: the endpoints (workers).

    Attributes:
        zones: They are spread over these in turn.
        workers: How many there are.
        kinds: Their machines in turn, each as CORESxSPEED.
        queue_per_core: Requests that may wait for each core.
        cold_from: Fraction of its capacity that an endpoint has at its start.
        cold: Seconds until it has warmed up.
        notice: Seconds until service discovery sees that one has died.
    """

    zones: NameList
    workers: Count
    kinds: NameList = NameList(("2x1.0",))
    queue_per_core: Count = Count(8)
    cold_from: Fraction = Fraction(0.3)
    cold: Seconds = Seconds(6.0)
    notice: Seconds = Seconds(1.5)


@attrs.frozen
class ProxiesConfig:
    """[proxies]: the proxies.

    Attributes:
        count: How many there are.
        processes: Processes that they are spread over.
        redial: Seconds after which a lost stream is opened again.
        dial_within: Seconds that a connection may take.
    """

    count: Count
    processes: Count = Count(2)
    redial: Seconds = Seconds(0.5)
    dial_within: Seconds = Seconds(1.0)


@attrs.frozen
class LoadConfig:
    """[load]: the requests of clients.

    Attributes:
        requests_per_second: Over all proxies.
        work: Mean seconds of a core at speed 1 that a request takes.
        spread: Standard deviation of the logarithm of that.
        retries: Further calls of a client after a failure.
        backoff: Seconds before each.
        ramp: Seconds in which the load rises from a tenth to the whole.
    """

    requests_per_second: PerSecond = attrs.field(metadata=ini_key("txns_per_s"))
    work: Seconds
    spread: float = 0.5
    retries: Count = Count(1)
    backoff: Seconds = Seconds(0.1)
    ramp: Seconds = Seconds(2.0)


@attrs.frozen
class MixConfig:
    """[mix NAME]: the share of requests that are of a traffic class."""

    share: Fraction


@attrs.frozen
class FaultSpec:
    """[trouble NAME]: a fault.

    Attributes:
        kind: What happens; `faults.FaultTimeline` says how.
        at: Seconds from the begin of the load.
        lasts: Seconds.
        part: Fraction of the endpoints, proxies or managers that are faulted.
        size: How badly, by the kind.
        every: Seconds from one batch or change to the next.
        zone: Only there; anywhere if empty.
    """

    kind: FaultKind
    at: Seconds
    lasts: Seconds = Seconds(5.0)
    part: Fraction = Fraction(0.2)
    size: float = 4.0
    every: Seconds = Seconds(1.0)
    zone: str = ""


@attrs.frozen
class RandomFaultsConfig:
    """[faults]: random faults.

    Attributes:
        kinds: The kinds to choose from; none without any.
        every: Mean seconds from one to the next.
        min_duration, max_duration: Seconds that each lasts.
        part: Fraction of the endpoints, proxies or managers that are faulted.
        quiet: Seconds without any at the end.
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
    """[worker ADDRESS]: an endpoint, with its machine and its listed weight."""

    zone: str
    cores: Count
    speed: float
    weight: float


@attrs.frozen
class ProxyConfig:
    """[proxy NAME]: a proxy, its process (`group`) and its requests a second (`rate`)."""

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
    **manager_config.SECTIONS,
}
NAMED_SECTION_TYPES = {
    "mix": MixConfig,
    "trouble": FaultSpec,
    "worker": WorkerConfig,
    "proxy": ProxyConfig,
    **manager_config.NAMED_SECTIONS,
}
OPTIONAL_SECTIONS = manager_config.OPTIONAL_SECTIONS | {"faults"}


def read_scenario(path: Path) -> ConfigFile:
    """Read a scenario's or a run's file. Raises ConfigError."""
    return load_config(path, SECTION_TYPES, NAMED_SECTION_TYPES, OPTIONAL_SECTIONS)


def copy_sections(
    source: Path,
    overrides: Mapping[str, Mapping[str, str]],
    section_types: frozenset[str] | None,
    target: Path,
) -> None:
    """Write an INI file from another.

    Args:
        source: The file to copy from.
        overrides: Values by section and key, which are added or replace those of `source`.
        section_types: First words of the sections to copy; all if None.
        target: The file to write; a reader sees the whole file or the one before.
    """
    parser = CaseSensitiveParser(interpolation=None, inline_comment_prefixes=("#", ";"))
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
    partial_file.replace(target)
