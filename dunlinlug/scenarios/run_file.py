"""Writes the run file of a scenario, with the address and settings of each process."""

import secrets
from pathlib import Path
from random import Random

from dunlinlug.config.manager_config import MemberConfig, MembershipConfig
from dunlinlug.config.reader import ConfigFile
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.addresses import AddressAllocator

Sections = dict[str, dict[str, str]]  # values by section and key


def write_run_file(
    scenario_file: Path, run_file: Path, folder: Path, addresses: AddressAllocator
) -> ConfigFile:
    """Write the run file, which all processes read, and return its contents.

    Args:
        scenario_file: The file of the scenario.
        run_file: The file to write.
        folder: The folder for stores and keys.
        addresses: Allocates the address of each process.

    Raises:
        ConfigError: The scenario's file cannot be used.
        ScenarioError: There are not enough free addresses.
    """
    config = schema.read_scenario(scenario_file)
    rng = Random(config.section(schema.ScenarioConfig).seed)
    sections: Sections = {
        "manager": {"listen": addresses.allocate(), "store": str(folder / "store"), "log": "json"},
        "roster": {"address": addresses.allocate()},
    }
    sections.update(_worker_sections(config.section(schema.FleetConfig), addresses, rng))
    sections.update(_proxy_sections(config, addresses, rng))
    sections.update(_member_sections(config, folder, addresses))
    schema.copy_sections(scenario_file, sections, None, run_file)
    return schema.read_scenario(run_file)


def _worker_sections(
    fleet_config: schema.FleetConfig, addresses: AddressAllocator, rng: Random
) -> Sections:
    """The endpoints; listed weights follow capacity with a random error of up to 10 %."""
    sections: Sections = {}
    for index in range(fleet_config.workers):
        cores, _, speed = fleet_config.kinds[index % len(fleet_config.kinds)].partition("x")
        weight = float(cores) * float(speed) * rng.uniform(0.9, 1.1) / 2.0
        sections[f"worker {addresses.allocate()}"] = {
            "zone": fleet_config.zones[index % len(fleet_config.zones)],
            "cores": cores,
            "speed": speed,
            "weight": f"{weight:.2f}",
        }
    return sections


def _proxy_sections(config: ConfigFile, addresses: AddressAllocator, rng: Random) -> Sections:
    """The proxies; the load is distributed unevenly over them."""
    zones = config.section(schema.FleetConfig).zones
    proxies_config = config.section(schema.ProxiesConfig)
    requests_per_second = config.section(schema.LoadConfig).requests_per_second
    rates = [rng.lognormvariate(0.0, 0.5) for _ in range(proxies_config.count)]
    return {
        f"proxy p{index}": {
            "zone": zones[index % len(zones)],
            "address": addresses.allocate(),
            "group": str(index % proxies_config.processes),
            "rate": f"{rate / sum(rates) * requests_per_second:.3f}",
        }
        for index, rate in enumerate(rates)
    }


def _member_sections(config: ConfigFile, folder: Path, addresses: AddressAllocator) -> Sections:
    """The managers of a fleet and their key file; empty for a standalone manager."""
    members = config.sections(MemberConfig)
    if not members:
        return {}
    has_membership = bool(config.section(MembershipConfig).me)
    sections: Sections = {
        f"member {name}": {
            "serves": addresses.allocate(),
            "knows" if has_membership else "peers": addresses.allocate(),
        }
        for name in members
    }
    key_file = folder / "key"
    key_file.write_text(secrets.token_hex(32))
    key_file.chmod(0o600)
    sections["succession"] = {"key_file": str(key_file)}
    if has_membership:
        sections["members"] = {"key_file": str(key_file)}
    return sections
