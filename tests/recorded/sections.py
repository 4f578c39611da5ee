"""The INI files' sections as plain JSON values, key by key.

Each function names the keys as they stand in a file, so that the recorded values stay as they are
when a class or a field of the code has another name.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.scale import scenario
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.scenarios import schema as day
from tests.recorded.plain import Plain

Writer = Callable[[Any], Plain]


def manager_section(one: manager_config.ServerConfig) -> Plain:
    return {
        "listen": list(one.listen),
        "store": one.store,
        "zone": one.zone,
        "seed": one.seed,
        "hello_within": one.hello_within,
        "quiet_most": one.quiet_most,
        "log": one.log,
        "usual_retry": one.usual_retry,
        "standing": one.standing,
        "admits": one.admits,
        "try_aims": one.try_aims,
    }


def channel_section(one: manager_config.ChannelConfig) -> Plain:
    return {
        "lines_per_s": one.lines_per_s,
        "message_lines": one.message_lines,
        "waiting_most": one.waiting_most,
        "transit": one.transit,
        "transit_most": one.transit_most,
        "messages_most": one.messages_most,
        "messages_span": one.messages_span,
        "pace": one.pace,
    }


def duties_section(one: manager_config.SafetyConfig) -> Plain:
    return {
        "bare": one.bare,
        "drain_grace": one.drain_grace,
        "warm_after": one.warm_after,
        "cold_share": one.cold_share,
        "fall_multiple": one.fall_multiple,
        "fall_after": one.fall_after,
        "ask_every": one.ask_every,
    }


def roster_section(one: manager_config.DiscoveryConfig) -> Plain:
    return {
        "address": list(one.address),
        "service": one.service,
        "mode": one.mode,
        "wait": one.wait,
        "within": one.within,
    }


def probes_section(one: manager_config.HealthCheckConfig) -> Plain:
    return {
        "allowed": one.allowed,
        "path": one.path,
        "within": one.within,
        "at_once": one.at_once,
    }


def reports_section(one: manager_config.ReportConfig) -> Plain:
    return {
        "cycle": one.cycle,
        "lines_per_s": one.lines_per_s,
        "fields": list(one.fields),
    }


def guard_section(one: manager_config.GuardConfig) -> Plain:
    return {
        "mode": one.mode,
        "remember": one.remember,
    }


def operators_section(one: manager_config.AdminConfig) -> Plain:
    return {
        "token_file": one.token_file,
        "listen": list(one.listen),
        "longest": one.longest,
        "quiet_most": one.quiet_most,
    }


def succession_section(one: manager_config.ElectionConfig) -> Plain:
    return {
        "member": one.member,
        "key_file": one.key_file,
        "lease": one.lease,
        "beat": one.beat,
        "drift": one.drift,
        "forgets": one.forgets,
        "first": list(one.first),
    }


def members_section(one: manager_config.MembershipConfig) -> Plain:
    return {
        "me": one.me,
        "key_file": one.key_file,
        "beat": one.beat,
        "binds": list(one.binds),
    }


def owner_section(one: manager_config.LeaseConfig) -> Plain:
    return {
        "on": one.on,
        "lease": one.lease,
        "beat": one.beat,
        "drift": one.drift,
        "forgets": one.forgets,
        "exercise": one.exercise,
    }


def tls_section(one: manager_config.TlsConfig) -> Plain:
    return {
        "cert": one.cert,
        "key": one.key,
        "clients": one.clients,
    }


def product_section(one: manager_config.TrafficClassConfig) -> Plain:
    return {
        "sla": one.sla,
        "deadline": one.deadline,
        "revenue": one.revenue,
        "repeats": one.repeats,
        "late_share": one.late_share,
        "group": one.group,
        "window": one.window,
    }


def member_section(one: manager_config.MemberConfig) -> Plain:
    return {
        "serves": list(one.serves),
        "peers": list(one.peers),
        "knows": list(one.knows),
    }


def day_day_section(one: day.ScenarioConfig) -> Plain:
    return {
        "name": one.name,
        "length": one.length,
        "seed": one.seed,
        "lead": one.lead,
        "drift": one.drift,
    }


def day_faults_section(one: day.RandomFaultsConfig) -> Plain:
    return {
        "kinds": list(one.kinds),
        "every": one.every,
        "least": one.min_duration,
        "most": one.max_duration,
        "part": one.part,
        "quiet": one.quiet,
    }


def day_fleet_section(one: day.FleetConfig) -> Plain:
    return {
        "zones": list(one.zones),
        "workers": one.workers,
        "kinds": list(one.kinds),
        "queue_per_core": one.queue_per_core,
        "cold_from": one.cold_from,
        "cold": one.cold,
        "notice": one.notice,
    }


def day_proxies_section(one: day.ProxiesConfig) -> Plain:
    return {
        "count": one.count,
        "processes": one.processes,
        "redial": one.redial,
        "dial_within": one.dial_within,
    }


def day_load_section(one: day.LoadConfig) -> Plain:
    return {
        "txns_per_s": one.requests_per_second,
        "work": one.work,
        "spread": one.spread,
        "retries": one.retries,
        "backoff": one.backoff,
        "ramp": one.ramp,
    }


def day_mix_section(one: day.MixConfig) -> Plain:
    return {
        "share": one.share,
    }


def day_trouble_section(one: day.FaultSpec) -> Plain:
    return {
        "kind": one.kind,
        "at": one.at,
        "lasts": one.lasts,
        "part": one.part,
        "size": one.size,
        "every": one.every,
        "zone": one.zone,
    }


def day_worker_section(one: day.WorkerConfig) -> Plain:
    return {
        "zone": one.zone,
        "cores": one.cores,
        "speed": one.speed,
        "weight": one.weight,
    }


def day_proxy_section(one: day.ProxyConfig) -> Plain:
    return {
        "zone": one.zone,
        "address": list(one.address),
        "group": one.group,
        "rate": one.rate,
    }


def scale_scale_section(one: scenario.Scale) -> Plain:
    return {
        "name": one.name,
        "sizes": list(one.sizes),
        "clock": list(one.clock),
        "seed": one.seed,
        "settle": one.settle,
        "length": one.length,
        "beat": one.beat,
    }


def scale_members_section(one: scenario.Members) -> Plain:
    return {
        "real": one.real,
        "per_process": one.per_process,
        "follows": one.follows,
        "joined": one.joined,
    }


def scale_discovery_section(one: scenario.Workers) -> Plain:
    return {
        "workers": one.workers,
    }


def scale_proxies_section(one: scenario.Proxies) -> Plain:
    return {
        "count": one.count,
    }


def scale_bounds_section(one: scenario.Bounds) -> Plain:
    return {
        "memory_mb": one.memory_mb,
        "processes": one.processes,
        "ready_within": one.ready_within,
        "views_within": one.views_within,
        "error": one.error,
    }


def scale_step_section(one: scenario.Step) -> Plain:
    return {
        "kind": one.kind,
        "at": one.at,
        "lasts": one.lasts,
        "every": one.every,
        "size": one.size,
        "part": one.part,
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
    "day": (day.ScenarioConfig, day_day_section),
    "faults": (day.RandomFaultsConfig, day_faults_section),
    "fleet": (day.FleetConfig, day_fleet_section),
    "proxies": (day.ProxiesConfig, day_proxies_section),
    "load": (day.LoadConfig, day_load_section),
}
DAY_NAMED: dict[str, tuple[type, Writer]] = {
    **MANAGER_NAMED,
    "mix": (day.MixConfig, day_mix_section),
    "trouble": (day.FaultSpec, day_trouble_section),
    "worker": (day.WorkerConfig, day_worker_section),
    "proxy": (day.ProxyConfig, day_proxy_section),
}
SCENARIO: dict[str, tuple[type, Writer]] = {
    "scale": (scenario.Scale, scale_scale_section),
    "members": (scenario.Members, scale_members_section),
    "discovery": (scenario.Workers, scale_discovery_section),
    "proxies": (scenario.Proxies, scale_proxies_section),
    "bounds": (scenario.Bounds, scale_bounds_section),
}
SCENARIO_NAMED: dict[str, tuple[type, Writer]] = {
    "step": (scenario.Step, scale_step_section),
}


def _sections(
    book: ConfigFile, single: dict[str, tuple[type, Writer]], named: dict[str, tuple[type, Writer]]
) -> Plain:
    """Every section with all its values, also those that a file leaves out."""
    found = {f"[{name}]": write(book.section(kind)) for name, (kind, write) in single.items()}
    for word, (kind, write) in named.items():
        for name, record in book.sections(kind).items():
            found[f"[{word} {name}]"] = write(record)
    return found


def manager_file(path: Path) -> Plain:
    return _sections(manager_config.load_manager_config(path), MANAGER, MANAGER_NAMED)


def day_file(path: Path) -> Plain:
    return _sections(day.read_scenario(path), DAY, DAY_NAMED)


def scenario_file(path: Path) -> Plain:
    return _sections(scenario.read(path), SCENARIO, SCENARIO_NAMED)
