"""Reads and validates a manager's INI file, and converts it to the decision module's settings.

Re-exports the section classes of `manager_sections` for callers.
"""

from pathlib import Path

from dunlinlug.config.manager_sections import (
    NAMED_SECTIONS,
    OPTIONAL_SECTIONS,
    SECTIONS,
    AdminConfig,
    ChannelConfig,
    DiscoveryConfig,
    ElectionConfig,
    GuardConfig,
    HealthCheckConfig,
    LeaseConfig,
    MemberConfig,
    MembershipConfig,
    ReportConfig,
    SafetyConfig,
    ServerConfig,
    TlsConfig,
    TrafficClassConfig,
    validate_lease_timing,
)
from dunlinlug.config.reader import ConfigError, ConfigFile, load_config
from dunlinlug.decision.settings import (
    AdmissionMode,
    ChannelSettings,
    Idempotency,
    ManagerSettings,
    ReportDelivery,
    SafetyLimits,
    TrafficClass,
)

__all__ = [
    "NAMED_SECTIONS",
    "OPTIONAL_SECTIONS",
    "SECTIONS",
    "AdminConfig",
    "ChannelConfig",
    "DiscoveryConfig",
    "ElectionConfig",
    "GuardConfig",
    "HealthCheckConfig",
    "LeaseConfig",
    "MemberConfig",
    "MembershipConfig",
    "ReportConfig",
    "SafetyConfig",
    "ServerConfig",
    "TlsConfig",
    "TrafficClassConfig",
    "load_manager_config",
    "manager_settings",
    "member_key_file",
    "validate_lease_timing",
]


def load_manager_config(path: Path) -> ConfigFile:
    """Read and validate a manager's file.

    Raises:
        ConfigError: The file is unusable, or its sections contradict each other.
    """
    config = load_config(path, SECTIONS, NAMED_SECTIONS, optional_sections=OPTIONAL_SECTIONS)
    for find_mistake in (
        _admin_mistake,
        _election_mistake,
        _membership_mistake,
        _lease_mistake,
        _traffic_class_mistake,
    ):
        mistake = find_mistake(config)
        if mistake:
            raise ConfigError(f"{path}:1: {mistake}")
    return config


def _admin_mistake(config: ConfigFile) -> str:
    has_admin_api = bool(config.section(AdminConfig).token_file)
    if has_admin_api and config.section(GuardConfig).mode == "off":
        return (
            "[operators] token_file: with [guard] mode = off no table from an operator's hand "
            "would be judged; take one of them out"
        )
    return ""


def _election_mistake(config: ConfigFile) -> str:
    member = config.section(ElectionConfig).member
    if not member:
        return ""
    members = config.sections(MemberConfig)
    if member not in members:
        return f"[succession] member: no [member {member}] section says where it is"
    without_address = [
        name for name, member_config in members.items() if not member_config.peers[1]
    ]
    if without_address and not config.section(MembershipConfig).me:
        return (
            f"[member {without_address[0]}] peers: "
            "without [members] the others reach it there alone"
        )
    return ""


def _membership_mistake(config: ConfigFile) -> str:
    self_id = config.section(MembershipConfig).me
    if not self_id:
        return ""
    members = config.sections(MemberConfig)
    if self_id not in members:
        return f"[members] me: no [member {self_id}] section says where it is"
    without_address = [
        name for name, member_config in members.items() if not member_config.knows[1]
    ]
    if without_address:
        return (
            f"[member {without_address[0]}] knows: [members] needs an address of its own for that"
        )
    if not member_key_file(config):
        return "[members] key_file: members prove who they are; [succession] has none either"
    election_member = config.section(ElectionConfig).member
    if election_member and self_id != election_member:
        return (
            f"[members] me = {self_id}, but [succession] member = {election_member}: "
            "one manager has one name"
        )
    return ""


def _lease_mistake(config: ConfigFile) -> str:
    if config.section(LeaseConfig).on and not config.section(MembershipConfig).me:
        return "[owner] on: work is owned among members; it needs [members]"
    return ""


def _traffic_class_mistake(config: ConfigFile) -> str:
    if not config.sections(TrafficClassConfig):
        return "no [product NAME] section: at least one product is needed"
    return ""


def member_key_file(config: ConfigFile) -> str:
    """Return the file of the key that authenticates managers to each other; empty if there is none.

    Membership uses the election's key unless [members] has its own.
    """
    return config.section(MembershipConfig).key_file or config.section(ElectionConfig).key_file


def manager_settings(config: ConfigFile) -> ManagerSettings:
    """Return the decision module's settings."""
    server = config.section(ServerConfig)
    reports = config.section(ReportConfig)
    return ManagerSettings(
        seed=server.seed,
        zone=server.zone,
        traffic_classes=tuple(
            _traffic_class(name, traffic_class)
            for name, traffic_class in config.sections(TrafficClassConfig).items()
        ),
        channel=_channel_settings(config.section(ChannelConfig)),
        safety_limits=_safety_limits(config.section(SafetyConfig)),
        must_subscribe=config.section(DiscoveryConfig).mode == "asked",
        can_check_health=config.section(HealthCheckConfig).allowed,
        load_report_fields=reports.fields,
        report_delivery=ReportDelivery.RESPONSES if reports.fields else ReportDelivery.NONE,
        report_interval=reports.cycle,
        default_retry_policy=server.usual_retry,
        admission_mode=AdmissionMode(server.admits),
        initial_subset_size=server.standing,
    )


def _traffic_class(name: str, config: TrafficClassConfig) -> TrafficClass:
    return TrafficClass(
        name=name,
        latency_objective=config.sla,
        deadline=config.deadline,
        priority_weight=config.revenue,
        late_value_fraction=config.late_share,
        idempotency=Idempotency(config.repeats),
        group=config.group,
        deduplication_window=config.window,
    )


def _channel_settings(config: ChannelConfig) -> ChannelSettings:
    return ChannelSettings(
        entries_per_second=config.lines_per_s,
        message_overhead=float(config.message_lines),
        max_queued_entries=float(config.waiting_most),
        transit_time=config.transit,
        max_transit_time=config.transit_most,
        max_messages=config.messages_most,
        message_window=config.messages_span,
    )


def _safety_limits(config: SafetyConfig) -> SafetyLimits:
    return SafetyLimits(
        max_time_without_endpoint=config.bare,
        drain_grace_period=config.drain_grace,
        list_poll_interval=config.ask_every,
        warm_up_time=config.warm_after,
        initial_capacity_fraction=config.cold_share,
        overload_multiple=config.fall_multiple,
        overload_duration=config.fall_after,
    )
