"""The sections of a scenario's INI file and its run file, other than those of managers.

Field names are the keys of the file unless `ini_key` sets another key; only run files have
`[worker]` and `[proxy]` sections.
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
        name: The name in the report.
        length: Seconds of load.
        seed: Seed of all random choices.
        lead: Seconds before the load begins.
        drift: Fraction by which the clock of every other manager runs fast, the rest slow.
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
        zones: Zones, assigned to endpoints in turn.
        workers: Number of endpoints.
        kinds: Machine types, assigned to endpoints in turn, each as CORESxSPEED.
        queue_per_core: Requests that can wait for each core.
        cold_from: Fraction of its capacity that an endpoint has when it starts.
        cold: Seconds until an endpoint has warmed up.
        notice: Seconds until service discovery detects that an endpoint has died.
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
        count: Number of proxies.
        processes: Number of processes that run the proxies.
        redial: Seconds until a lost stream is reopened.
        dial_within: Timeout of connecting, in seconds.
    """

    count: Count
    processes: Count = Count(2)
    redial: Seconds = Seconds(0.5)
    dial_within: Seconds = Seconds(1.0)


@attrs.frozen
class LoadConfig:
    """[load]: the requests of clients.

    Attributes:
        requests_per_second: Rate over all proxies.
        work: Mean work of a request, in seconds of a core at speed 1.
        spread: Standard deviation of the logarithm of the work.
        retries: Maximum number of retries by a client.
        backoff: Seconds before each retry.
        ramp: Seconds in which the load rises from a tenth to the full rate.
    """

    requests_per_second: PerSecond = attrs.field(metadata=ini_key("txns_per_s"))
    work: Seconds
    spread: float = 0.5
    retries: Count = Count(1)
    backoff: Seconds = Seconds(0.1)
    ramp: Seconds = Seconds(2.0)


@attrs.frozen
class MixConfig:
    """[mix NAME]: the share of a traffic class in all requests."""

    share: Fraction


@attrs.frozen
class FaultSpec:
    """[trouble NAME]: a fault.

    Attributes:
        kind: The kind of fault; see `faults.FaultTimeline`.
        at: Seconds after the load begins.
        lasts: Duration in seconds.
        part: Fraction of the endpoints, proxies or managers that get the fault.
        size: Severity; its meaning depends on the kind.
        every: Seconds from one batch or change to the next.
        zone: The zone to which the fault is limited; all zones if empty.
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
        kinds: The kinds to choose from; without any there are no random faults.
        every: Mean seconds from one fault to the next.
        min_duration, max_duration: Range of the duration of a fault, in seconds.
        part: Fraction of the endpoints, proxies or managers that get a fault.
        quiet: Seconds without faults at the end.
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
    """[proxy NAME]: a proxy, its process (`group`) and its requests per second (`rate`)."""

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
    """Read a scenario file or a run file. Raises ConfigError."""
    return load_config(path, SECTION_TYPES, NAMED_SECTION_TYPES, OPTIONAL_SECTIONS)


def copy_sections(
    source: Path,
    overrides: Mapping[str, Mapping[str, str]],
    section_types: frozenset[str] | None,
    target: Path,
) -> None:
    """Write a modified copy of an INI file.

    Args:
        source: The file to copy from.
        overrides: Values by section and key; they are added or replace those of `source`.
        section_types: First words of the sections to copy; all sections if None.
        target: The file to write; it is replaced atomically.
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
