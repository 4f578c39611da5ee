"""A manager's settings on the platform: the ROUTER_ variables and the configuration file."""

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
    AddressError,
    DiscoveryResponse,
    parse_address,
)

CONFIG_VARIABLE = "ROUTER_CONFIG"
NAME_VARIABLE = "ROUTER_NAME"
LISTEN_VARIABLE = "ROUTER_LISTEN"
DISCOVERY_VARIABLE = "ROUTER_DISCOVERY"
MAX_PROXIES = 2**16  # proxy ids on the wire have 16 bits


class EnvironmentConfigError(DunlinlugError):
    """Unusable settings; the text states the place and the reason in one line."""


class MissingConfigPathError(EnvironmentConfigError):
    """The variable that names the configuration file is not set."""

    def __init__(self) -> None:
        super().__init__(f"{CONFIG_VARIABLE} is not set; it must name the configuration file")


class ConfigFileError(EnvironmentConfigError):
    """The configuration file at `path` is unusable for `reason`."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class InvalidSeedError(EnvironmentConfigError):
    """The seed in the configuration file is not a hexadecimal number."""

    def __init__(self, seed: str) -> None:
        super().__init__(f"seed is {seed!r}, not a hexadecimal number")
        self.seed = seed


class ResourceLimits(msgspec.Struct, frozen=True):
    """Resource limits of the process; `sockets` is its number of open descriptors."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: Annotated[int, Meta(ge=1)] = 1024


class _ConfigFile(msgspec.Struct, frozen=True, rename={"initial_list": "known"}):
    """The JSON object in the configuration file; `read_settings` reads its `settings`."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: ResourceLimits = ResourceLimits()
    initial_list: DiscoveryResponse = DiscoveryResponse(0, True, [])


class PlatformConfig(msgspec.Struct, frozen=True):
    """All settings of a manager on the platform.

    `initial_list` is the endpoint list known before the start, `proxy_count` the total number of
    proxies, `min_batch_interval` the minimum seconds between batches. `unsupported_settings`
    describes the requested features that the manager does not support.
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


class _FleetSettings(msgspec.Struct, frozen=True):
    """The contents of the file's `settings`."""

    manager: ManagerSettings
    zones: tuple[str, ...]
    proxy_count: int
    min_batch_interval: float


_config_decoder = msgspec.json.Decoder(_ConfigFile)


def load_config(environment: Mapping[str, str]) -> PlatformConfig:
    """Return the settings at the start; raises EnvironmentConfigError.

    Variables take precedence over the file, which may leave out what they set.
    """
    path = environment.get(CONFIG_VARIABLE, "")
    if not path:
        raise MissingConfigPathError
    return _load_file(path, environment)


def reload_config(environment: Mapping[str, str]) -> PlatformConfig:
    """Return the settings at a reload; raises EnvironmentConfigError.

    The file takes precedence, as the variables have not changed since the process started.
    """
    return _load_file(environment.get(CONFIG_VARIABLE, ""), {})


def with_discovery(config: PlatformConfig, discovery: Address) -> PlatformConfig:
    """Return a copy of the settings with another address of discovery."""
    return msgspec.structs.replace(config, discovery=discovery)


def _load_file(path: str, variables: Mapping[str, str]) -> PlatformConfig:
    file = _decode_file(path)
    settings = _read_fleet_settings(path, file)
    try:
        for instance in file.initial_list.instances:
            instance.address()
        listen = parse_address(variables.get(LISTEN_VARIABLE) or file.listen, "listen")
        discovery = parse_address(variables.get(DISCOVERY_VARIABLE) or file.discovery, "discovery")
    except AddressError as error:
        raise ConfigFileError(path, str(error)) from None
    return PlatformConfig(
        name=variables.get(NAME_VARIABLE) or file.name,
        listen=listen,
        discovery=discovery,
        limits=file.limits,
        initial_list=file.initial_list,
        settings=settings.manager,
        zones=settings.zones,
        proxy_count=settings.proxy_count,
        min_batch_interval=settings.min_batch_interval,
        unsupported_settings=tuple(unsupported_settings(file.settings)),
    )


def _decode_file(path: str) -> _ConfigFile:
    try:
        return _config_decoder.decode(Path(path).read_bytes())
    except OSError as error:
        raise ConfigFileError(path, str(error.strerror)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigFileError(path, str(error)) from None


def _read_fleet_settings(path: str, file: _ConfigFile) -> _FleetSettings:
    settings_json = file.settings
    try:
        settings = read_settings(_parse_seed(file.seed), settings_json)
        zones = tuple(str(zone) for zone in settings_json["dcs"])
        proxy_count = int(settings_json["specifics"]["proxyCount"])
        min_batch_interval = seconds(settings_json.get("roundUs") or 0)
        if not zones or not 0 < proxy_count <= MAX_PROXIES:
            raise ValueError(
                f"there are {len(zones)} zones (dcs) and {proxy_count} proxies (proxyCount)"
            )
    except KeyError as error:
        raise ConfigFileError(path, f"settings lack {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigFileError(path, f"settings hold what can't be used: {error}") from None
    return _FleetSettings(settings, zones, proxy_count, min_batch_interval)


def _parse_seed(seed: str | int) -> int:
    if isinstance(seed, int):
        return seed
    try:
        return int(seed, 16)
    except ValueError:
        raise InvalidSeedError(seed) from None
