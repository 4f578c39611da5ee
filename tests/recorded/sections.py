"""The sections of INI files as plain JSON values, key by key.

Each function uses the keys of the files, so that renaming a class or a field does not change
recorded values.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.scale import scenario as scale_scenario
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.scenarios import schema as scenario_schema
from tests.recorded.plain import Plain

Writer = Callable[[Any], Plain]


def manager_section(section: manager_config.ServerConfig) -> Plain:
    return {
        "listen": list(section.listen),
        "store": section.store,
        "zone": section.zone,
        "seed": section.seed,
        "hello_within": section.hello_within,
        "quiet_most": section.quiet_most,
        "log": section.log,
        "usual_retry": section.usual_retry,
        "standing": section.standing,
        "admits": section.admits,
        "try_aims": section.try_aims,
    }


def channel_section(section: manager_config.ChannelConfig) -> Plain:
    return {
        "lines_per_s": section.lines_per_s,
        "message_lines": section.message_lines,
        "waiting_most": section.waiting_most,
        "transit": section.transit,
        "transit_most": section.transit_most,
        "messages_most": section.messages_most,
        "messages_span": section.messages_span,
        "pace": section.pace,
    }


def duties_section(section: manager_config.SafetyConfig) -> Plain:
    return {
        "bare": section.bare,
        "drain_grace": section.drain_grace,
        "warm_after": section.warm_after,
        "cold_share": section.cold_share,
        "fall_multiple": section.fall_multiple,
        "fall_after": section.fall_after,
        "ask_every": section.ask_every,
    }


def roster_section(section: manager_config.DiscoveryConfig) -> Plain:
    return {
        "address": list(section.address),
        "service": section.service,
        "mode": section.mode,
        "wait": section.wait,
        "within": section.within,
    }


def probes_section(section: manager_config.HealthCheckConfig) -> Plain:
    return {
        "allowed": section.allowed,
        "path": section.path,
        "within": section.within,
        "at_once": section.at_once,
    }


def reports_section(section: manager_config.ReportConfig) -> Plain:
    return {
        "cycle": section.cycle,
        "lines_per_s": section.lines_per_s,
        "fields": list(section.fields),
    }


def guard_section(section: manager_config.GuardConfig) -> Plain:
    return {
        "mode": section.mode,
        "remember": section.remember,
    }


def operators_section(section: manager_config.AdminConfig) -> Plain:
    return {
        "token_file": section.token_file,
        "listen": list(section.listen),
        "longest": section.longest,
        "quiet_most": section.quiet_most,
    }


def succession_section(section: manager_config.ElectionConfig) -> Plain:
    return {
        "member": section.member,
        "key_file": section.key_file,
        "lease": section.lease,
        "beat": section.beat,
        "drift": section.drift,
        "forgets": section.forgets,
        "first": list(section.first),
    }


def members_section(section: manager_config.MembershipConfig) -> Plain:
    return {
        "me": section.me,
        "key_file": section.key_file,
        "beat": section.beat,
        "binds": list(section.binds),
    }


def owner_section(section: manager_config.LeaseConfig) -> Plain:
    return {
        "on": section.on,
        "lease": section.lease,
        "beat": section.beat,
        "drift": section.drift,
        "forgets": section.forgets,
        "exercise": section.exercise,
    }


def tls_section(section: manager_config.TlsConfig) -> Plain:
    return {
        "cert": section.cert,
        "key": section.key,
        "clients": section.clients,
    }


def product_section(section: manager_config.TrafficClassConfig) -> Plain:
    return {
        "sla": section.sla,
        "deadline": section.deadline,
        "revenue": section.revenue,
        "repeats": section.repeats,
        "late_share": section.late_share,
        "group": section.group,
        "window": section.window,
    }


def member_section(section: manager_config.MemberConfig) -> Plain:
    return {
        "serves": list(section.serves),
        "peers": list(section.peers),
        "knows": list(section.knows),
    }


def day_day_section(section: scenario_schema.ScenarioConfig) -> Plain:
    return {
        "name": section.name,
        "length": section.length,
        "seed": section.seed,
        "lead": section.lead,
        "drift": section.drift,
    }


def day_faults_section(section: scenario_schema.RandomFaultsConfig) -> Plain:
    return {
        "kinds": list(section.kinds),
        "every": section.every,
        "least": section.min_duration,
        "most": section.max_duration,
        "part": section.part,
        "quiet": section.quiet,
    }


def day_fleet_section(section: scenario_schema.FleetConfig) -> Plain:
    return {
        "zones": list(section.zones),
        "workers": section.workers,
        "kinds": list(section.kinds),
        "queue_per_core": section.queue_per_core,
        "cold_from": section.cold_from,
        "cold": section.cold,
        "notice": section.notice,
    }


def day_proxies_section(section: scenario_schema.ProxiesConfig) -> Plain:
    return {
        "count": section.count,
        "processes": section.processes,
        "redial": section.redial,
        "dial_within": section.dial_within,
    }


def day_load_section(section: scenario_schema.LoadConfig) -> Plain:
    return {
        "txns_per_s": section.requests_per_second,
        "work": section.work,
        "spread": section.spread,
        "retries": section.retries,
        "backoff": section.backoff,
        "ramp": section.ramp,
    }


def day_mix_section(section: scenario_schema.MixConfig) -> Plain:
    return {
        "share": section.share,
    }


def day_trouble_section(section: scenario_schema.FaultSpec) -> Plain:
    return {
        "kind": section.kind,
        "at": section.at,
        "lasts": section.lasts,
        "part": section.part,
        "size": section.size,
        "every": section.every,
        "zone": section.zone,
    }


def day_worker_section(section: scenario_schema.WorkerConfig) -> Plain:
    return {
        "zone": section.zone,
        "cores": section.cores,
        "speed": section.speed,
        "weight": section.weight,
    }


def day_proxy_section(section: scenario_schema.ProxyConfig) -> Plain:
    return {
        "zone": section.zone,
        "address": list(section.address),
        "group": section.group,
        "rate": section.rate,
    }


def scale_scale_section(section: scale_scenario.Scale) -> Plain:
    return {
        "name": section.name,
        "sizes": list(section.sizes),
        "clock": list(section.clock),
        "seed": section.seed,
        "settle": section.settle,
        "length": section.length,
        "beat": section.beat,
    }


def scale_members_section(section: scale_scenario.Members) -> Plain:
    return {
        "real": section.real,
        "per_process": section.per_process,
        "follows": section.follows,
        "joined": section.joined,
    }


def scale_discovery_section(section: scale_scenario.Workers) -> Plain:
    return {
        "workers": section.workers,
    }


def scale_proxies_section(section: scale_scenario.Proxies) -> Plain:
    return {
        "count": section.count,
    }


def scale_bounds_section(section: scale_scenario.Bounds) -> Plain:
    return {
        "memory_mb": section.memory_mb,
        "processes": section.processes,
        "ready_within": section.ready_within,
        "views_within": section.views_within,
        "error": section.error,
    }


def scale_step_section(section: scale_scenario.Step) -> Plain:
    return {
        "kind": section.kind,
        "at": section.at,
        "lasts": section.lasts,
        "every": section.every,
        "size": section.size,
        "part": section.part,
    }


MANAGER: dict[str, tuple[type, Writer]] = {
    "manager": (manager_config.ServerConfig, manager_section),
    "channel": (manager_config.ChannelConfig, channel_section),
    "duties": (manager_config.SafetyConfig, duties_section),
    "roster": (manager_config.DiscoveryConfig, roster_section),
    "probes": (manager_config.HealthCheckConfig, probes_section),
    "reports": (manager_config.ReportConfig, reports_section),
    "guard": (manager_config.GuardConfig, guard_section),
    "operators": (manager_config.AdminConfig, operators_section),
    "succession": (manager_config.ElectionConfig, succession_section),
    "members": (manager_config.MembershipConfig, members_section),
    "owner": (manager_config.LeaseConfig, owner_section),
    "tls": (manager_config.TlsConfig, tls_section),
}
MANAGER_NAMED: dict[str, tuple[type, Writer]] = {
    "product": (manager_config.TrafficClassConfig, product_section),
    "member": (manager_config.MemberConfig, member_section),
}
DAY: dict[str, tuple[type, Writer]] = {
    **MANAGER,
    "day": (scenario_schema.ScenarioConfig, day_day_section),
    "faults": (scenario_schema.RandomFaultsConfig, day_faults_section),
    "fleet": (scenario_schema.FleetConfig, day_fleet_section),
    "proxies": (scenario_schema.ProxiesConfig, day_proxies_section),
    "load": (scenario_schema.LoadConfig, day_load_section),
}
DAY_NAMED: dict[str, tuple[type, Writer]] = {
    **MANAGER_NAMED,
    "mix": (scenario_schema.MixConfig, day_mix_section),
    "trouble": (scenario_schema.FaultSpec, day_trouble_section),
    "worker": (scenario_schema.WorkerConfig, day_worker_section),
    "proxy": (scenario_schema.ProxyConfig, day_proxy_section),
}
SCENARIO: dict[str, tuple[type, Writer]] = {
    "scale": (scale_scenario.Scale, scale_scale_section),
    "members": (scale_scenario.Members, scale_members_section),
    "discovery": (scale_scenario.Workers, scale_discovery_section),
    "proxies": (scale_scenario.Proxies, scale_proxies_section),
    "bounds": (scale_scenario.Bounds, scale_bounds_section),
}
SCENARIO_NAMED: dict[str, tuple[type, Writer]] = {
    "step": (scale_scenario.Step, scale_step_section),
}


def _sections(
    config: ConfigFile,
    single: dict[str, tuple[type, Writer]],
    named: dict[str, tuple[type, Writer]],
) -> Plain:
    """All sections with all their values, also defaults of keys that a file omits."""
    found = {
        f"[{name}]": write(config.section(section_type))
        for name, (section_type, write) in single.items()
    }
    for prefix, (section_type, write) in named.items():
        for name, section in config.sections(section_type).items():
            found[f"[{prefix} {name}]"] = write(section)
    return found


def manager_file(path: Path) -> Plain:
    return _sections(manager_config.load_manager_config(path), MANAGER, MANAGER_NAMED)


def day_file(path: Path) -> Plain:
    return _sections(scenario_schema.read_scenario(path), DAY, DAY_NAMED)


def scenario_file(path: Path) -> Plain:
    return _sections(scale_scenario.read(path), SCENARIO, SCENARIO_NAMED)
