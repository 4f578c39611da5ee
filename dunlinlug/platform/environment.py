"""What a manager is told on the platform: the ROUTER_ variables and the configuration that they
name.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from dunlinlug.config.settings_json import read_settings, seconds, unsupported_settings
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.errors import DunlinlugError
from dunlinlug.platform.discovery_state import (
    Address,
    DiscoveryError,
    DiscoveryResponse,
    parse_address,
)

MAX_PROXIES = 2**16  # their ids on the wire lie below it


class EnvironmentConfigError(DunlinlugError):
    """What we were told can't be used; the text says where and why in one line."""


class ResourceLimits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: Annotated[int, Meta(ge=1)] = 1024


class _ConfigFile(msgspec.Struct, frozen=True):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: ResourceLimits = ResourceLimits()
    known: DiscoveryResponse = DiscoveryResponse(0, True, [])


class PlatformConfig(msgspec.Struct, frozen=True):
    """`turn`: seconds from one batch to the next at least; `proxies`: how many there are in all;
    `unmet`: what the settings ask for and we have no answer for.
    """

    name: str
    listen: Address
    discovery: Address
    limits: ResourceLimits
    initial_list: DiscoveryResponse
    settings: ManagerSettings
    zones: tuple[str, ...]
    proxy_count: int
    min_batch_interval: float
    unsupported_settings: tuple[str, ...] = ()


_config_decoder = msgspec.json.Decoder(_ConfigFile)


def _parse_seed(seed: str | int) -> int:
    try:
        return int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise EnvironmentConfigError(f"seed is {seed!r}, not a hexadecimal number") from None


def load_config(environment: Mapping[str, str]) -> PlatformConfig:
    """At the start: variables win over the file, which may leave out what they say. Raises
    TermsFault.
    """
    path = environment.get("ROUTER_CONFIG", "")
    if not path:
        raise EnvironmentConfigError("ROUTER_CONFIG is not set; it names the configuration's file")
    return _load_file(path, environment)


def reload_config(environment: Mapping[str, str]) -> PlatformConfig:
    """At a reload: the file wins, as the variables are as old as the process. Raises TermsFault."""
    return _load_file(environment.get("ROUTER_CONFIG", ""), {})


def _load_file(path: str, variables: Mapping[str, str]) -> PlatformConfig:
    try:
        body = Path(path).read_bytes()
        file = _config_decoder.decode(body)
    except OSError as error:
        raise EnvironmentConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise EnvironmentConfigError(f"{path}: {error}") from None
    try:
        settings_json = file.settings
        settings = read_settings(_parse_seed(file.seed), settings_json)
        zones = tuple(str(zone) for zone in settings_json["dcs"])
        proxies = int(settings_json["specifics"]["proxyCount"])
        min_batch_interval = seconds(settings_json.get("roundUs") or 0)
        if not zones or not 0 < proxies <= MAX_PROXIES:
            raise ValueError(
                f"there are {len(zones)} zones (dcs) and {proxies} proxies (proxyCount)"
            )
    except KeyError as error:
        raise EnvironmentConfigError(f"{path}: settings lack {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise EnvironmentConfigError(f"{path}: settings hold what can't be used: {error}") from None
    try:
        for instance in file.known.instances:
            instance.address()
        listen = parse_address(variables.get("ROUTER_LISTEN") or file.listen, "listen")
        discovery = parse_address(variables.get("ROUTER_DISCOVERY") or file.discovery, "discovery")
    except DiscoveryError as error:
        raise EnvironmentConfigError(f"{path}: {error}") from None
    return PlatformConfig(
        variables.get("ROUTER_NAME") or file.name,
        listen,
        discovery,
        file.limits,
        file.known,
        settings,
        zones,
        proxies,
        min_batch_interval,
        tuple(unsupported_settings(settings_json)),
    )


def with_discovery(config: PlatformConfig, discovery: Address) -> PlatformConfig:
    """The same with discovery elsewhere."""
    return msgspec.structs.replace(config, discovery=discovery)
