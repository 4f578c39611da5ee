"""What a manager is told on the platform: the ROUTER_ variables and the configuration that they name."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from dunlinlug import interface as face
from dunlinlug.platform.servers import Address, Servers, ServersFault, address
from dunlinlug.told import read_trade, seconds, unmet

PROXIES_MOST = 2**16  # their ids on the wire lie below it


class TermsFault(Exception):
    """What we were told can't be used; the text says where and why in one line."""


class Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: Annotated[int, Meta(ge=1)] = 1024


class _File(msgspec.Struct, frozen=True):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = Limits()
    known: Servers = Servers(0, True, [])


class Terms(msgspec.Struct, frozen=True):
    """`turn`: seconds from one batch to the next at least; `proxies`: how many there are in all; `unmet`: what the
    settings ask for and we have no answer for."""

    name: str
    listen: Address
    discovery: Address
    limits: Limits
    known: Servers
    trade: face.Trade
    zones: tuple[str, ...]
    proxies: int
    turn: float
    unmet: tuple[str, ...] = ()


_decoder = msgspec.json.Decoder(_File)


def _seed(seed: str | int) -> int:
    try:
        return int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise TermsFault(f"seed is {seed!r}, not a hexadecimal number") from None


def read(environment: Mapping[str, str]) -> Terms:
    """At the start: variables win over the file, which may leave out what they say. Raises TermsFault."""
    path = environment.get("ROUTER_CONFIG", "")
    if not path:
        raise TermsFault("ROUTER_CONFIG is not set; it names the configuration's file")
    return _read(path, environment)


def reread(environment: Mapping[str, str]) -> Terms:
    """At a reload: the file wins, as the variables are as old as the process. Raises TermsFault."""
    return _read(environment.get("ROUTER_CONFIG", ""), {})


def _read(path: str, variables: Mapping[str, str]) -> Terms:
    try:
        body = Path(path).read_bytes()
        told = _decoder.decode(body)
    except OSError as error:
        raise TermsFault(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TermsFault(f"{path}: {error}") from None
    try:
        info = told.settings
        trade = read_trade(_seed(told.seed), info)
        zones, proxies = (
            tuple(str(zone) for zone in info["dcs"]),
            int(info["specifics"]["proxyCount"]),
        )
        turn = seconds(info.get("roundUs") or 0)
        if not zones or not 0 < proxies <= PROXIES_MOST:
            raise ValueError(
                f"there are {len(zones)} zones (dcs) and {proxies} proxies (proxyCount)"
            )
    except KeyError as error:
        raise TermsFault(f"{path}: settings lack {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise TermsFault(f"{path}: settings hold what can't be used: {error}") from None
    try:
        for instance in told.known.instances:
            instance.address()
        listen = address(variables.get("ROUTER_LISTEN") or told.listen, "listen")
        discovery = address(variables.get("ROUTER_DISCOVERY") or told.discovery, "discovery")
    except ServersFault as error:
        raise TermsFault(f"{path}: {error}") from None
    return Terms(
        variables.get("ROUTER_NAME") or told.name,
        listen,
        discovery,
        told.limits,
        told.known,
        trade,
        zones,
        proxies,
        turn,
        tuple(unmet(info)),
    )


def moved(terms: Terms, discovery: Address) -> Terms:
    """The same with discovery elsewhere."""
    return msgspec.structs.replace(terms, discovery=discovery)
