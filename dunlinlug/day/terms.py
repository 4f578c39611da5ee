"""What a day's INI holds beside the manager's own sections, and the run file made from it for all parts."""

import configparser
from collections.abc import Mapping
from pathlib import Path
from typing import Literal, get_args

import attrs

from dunlinlug import terms as manager_terms
from dunlinlug.config import Address, Book, Count, PerSecond, Seconds, Share, Words, read_book

Kind = Literal[
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
class Day:
    """[day]: its name and length; `lead` seconds pass before the load begins. Managers' clocks drift by `drift`, one
    ahead, the next behind."""

    name: str
    length: Seconds
    seed: Count = Count(1)
    lead: Seconds = Seconds(1.5)
    drift: Share = Share(0.0)


@attrs.frozen
class Fleet:
    """[fleet]: workers, dealt over the zones; `kinds` are CORESxSPEED."""

    zones: Words
    workers: Count
    kinds: Words = Words(("2x1.0",))
    queue_per_core: Count = Count(8)
    cold_from: Share = Share(0.3)
    cold: Seconds = Seconds(6.0)
    notice: Seconds = Seconds(1.5)


@attrs.frozen
class Proxies:
    """[proxies]: how many, in how many processes, and how soon a lost stream is dialled again."""

    count: Count
    processes: Count = Count(2)
    redial: Seconds = Seconds(0.5)
    dial_within: Seconds = Seconds(1.0)


@attrs.frozen
class Load:
    """[load]: txns a second over all proxies, seconds of a core each, and what clients do after a failure."""

    txns_per_s: PerSecond
    work: Seconds
    spread: float = 0.5
    retries: Count = Count(1)
    backoff: Seconds = Seconds(0.1)
    ramp: Seconds = Seconds(2.0)


@attrs.frozen
class Mix:
    """[mix NAME]: a product's part of the txns."""

    share: Share


@attrs.frozen
class Trouble:
    """[trouble NAME]: what, when, how long, to how much of what it strikes, how badly."""

    kind: Kind
    at: Seconds
    lasts: Seconds = Seconds(5.0)
    part: Share = Share(0.2)
    size: float = 4.0
    every: Seconds = Seconds(1.0)
    zone: str = ""


@attrs.frozen
class Faults:
    """[faults]: troubles drawn from the day's seed, in overlap, until `quiet` before its end: of these kinds, one each
    `every` seconds in the mean, each for `least` to `most`, striking `part`."""

    kinds: Words = Words(())
    every: Seconds = Seconds(6.0)
    least: Seconds = Seconds(2.0)
    most: Seconds = Seconds(6.0)
    part: Share = Share(0.2)
    quiet: Seconds = Seconds(10.0)

    def __attrs_post_init__(self) -> None:
        unknown = sorted(set(self.kinds) - set(get_args(Kind)))
        if unknown:
            raise ValueError(f"unknown kind {unknown[0]}; known are {', '.join(get_args(Kind))}")
        if not 0 < self.least <= self.most:
            raise ValueError("least is to be above 0, and not above most")


@attrs.frozen
class WorkerPlace:
    """[worker ADDRESS] of a run file."""

    zone: str
    cores: Count
    speed: float
    weight: float


@attrs.frozen
class ProxyPlace:
    """[proxy NAME] of a run file."""

    zone: str
    address: Address
    group: Count
    rate: float


SINGLE = {
    "day": Day,
    "faults": Faults,
    "fleet": Fleet,
    "proxies": Proxies,
    "load": Load,
    **manager_terms.SINGLE,
}
NAMED = {
    "mix": Mix,
    "trouble": Trouble,
    "worker": WorkerPlace,
    "proxy": ProxyPlace,
    **manager_terms.NAMED,
}
OPTIONAL = manager_terms.OPTIONAL | {"faults"}


def read(path: Path) -> Book:
    """A day's or a run's file; raises ConfigFault."""
    return read_book(path, SINGLE, NAMED, OPTIONAL)


def copy_sections(
    source: Path, extra: Mapping[str, Mapping[str, str]], only: frozenset[str] | None, target: Path
) -> None:
    """Write `target` from `source`'s sections (all, or those whose first word is in `only`) with `extra` laid over."""
    made = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    made.optionxform = str  # type: ignore[assignment,method-assign]
    made.read(source, encoding="utf-8")
    for section in made.sections():
        if only is not None and section.partition(" ")[0] not in only:
            made.remove_section(section)
    for section, values in extra.items():
        if not made.has_section(section):
            made.add_section(section)
        for key, value in values.items():
            made.set(section, key, value)
    part = target.with_suffix(".part")
    with part.open("w", encoding="utf-8") as file:
        made.write(file)
    part.replace(target)  # a reader on a signal sees the whole file or the former one
