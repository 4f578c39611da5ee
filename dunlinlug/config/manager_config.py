"""What the manager's INI holds, a record for each part, and the module's `Trade` made from it."""

from pathlib import Path
from typing import Literal

import attrs

from dunlinlug.config.reader import ConfigError, ConfigFile, load_config
from dunlinlug.config.units import Address, Count, Fraction, PerSecond, Seconds, WordList
from dunlinlug.decision.settings import (
    AdmissionMode,
    ChannelSettings,
    Idempotency,
    ManagerSettings,
    ReportDelivery,
    SafetyLimits,
    TrafficClass,
)


@attrs.frozen
class ServerConfig:
    """[manager]: where it stands and what it opens."""

    listen: Address
    store: str
    zone: str = ""
    seed: Count = Count(1)
    hello_within: Seconds = Seconds(10.0)
    quiet_most: Seconds = Seconds(60.0)
    log: Literal["auto", "console", "json"] = "auto"
    usual_retry: Count = Count(1)
    standing: Count = Count(1)
    admits: Literal["share", "none"] = "share"
    try_aims: float = 0.0


@attrs.frozen
class ChannelConfig:
    """[channel]: what the module reckons with, and the pace kept now (reloadable)."""

    lines_per_s: PerSecond
    message_lines: Count
    waiting_most: Count
    transit: Seconds
    transit_most: Seconds
    messages_most: Count = Count(0)
    messages_span: Seconds = Seconds(10.0)
    pace: PerSecond = PerSecond(0.0)  # 0: lines_per_s


@attrs.frozen
class SafetyConfig:
    """[duties]: the figures of the five rules."""

    bare: Seconds
    drain_grace: Seconds
    warm_after: Seconds
    cold_share: Fraction
    fall_multiple: float
    fall_after: Seconds
    ask_every: Seconds = Seconds(10.0)


@attrs.frozen
class DiscoveryConfig:
    """[roster]: whom to follow for the list, and how."""

    address: Address
    service: str
    mode: Literal["pushed", "asked"] = "pushed"
    wait: Seconds = Seconds(10.0)
    within: Seconds = Seconds(3.0)


@attrs.frozen
class HealthCheckConfig:
    """[probes]: whether the module may probe, and how a probe is made."""

    allowed: bool = False
    path: str = "/probe"
    within: Seconds = Seconds(0.4)
    at_once: Count = Count(16)


@attrs.frozen
class ReportConfig:
    """[reports]: how often proxies report, and how much of it the module is given."""

    cycle: Seconds = Seconds(0.5)
    lines_per_s: PerSecond = PerSecond(80.0)
    fields: WordList = WordList(())


@attrs.frozen
class GuardConfig:
    """[guard]: on refuses, watch only tells, off judges nothing; `remember` refusals are kept on
    disk.
    """

    mode: Literal["on", "watch", "off"] = "on"
    remember: Count = Count(500)


@attrs.frozen
class AdminConfig:
    """[operators]: the local HTTP endpoint; open only with a token. No pin stands for more than
    `longest`.
    """

    token_file: str = ""
    listen: Address = Address(("127.0.0.1", 18001))
    longest: Seconds = Seconds(8 * 3600.0)
    quiet_most: Seconds = Seconds(10.0)


def validate_lease_timing(lease: float, heartbeat_interval: float, max_clock_drift: float) -> None:
    """Raises ValueError."""
    if not 0 < 3 * heartbeat_interval <= lease or max_clock_drift > 0.2:
        raise ValueError(
            "beat is to be at most a third of lease, so that one may be lost; drift at most 20%"
        )


@attrs.frozen
class ElectionConfig:
    """[succession]: this manager's part in a set that takes over from each other; without `member`
    it stands alone. Promises hold for `lease`; clocks go at most `drift` faster or slower than
    true time. `first` are the members that the set begins with, if not all.
    """

    member: str = ""
    key_file: str = ""
    lease: Seconds = Seconds(1.0)
    beat: Seconds = Seconds(0.2)
    drift: Fraction = Fraction(0.02)
    forgets: Seconds = Seconds(10.0)
    first: WordList = WordList(())

    def __attrs_post_init__(self) -> None:
        if self.member and not self.key_file:
            raise ValueError("member needs a key_file: members prove who they are")
        validate_lease_timing(self.lease, self.beat, self.drift)


@attrs.frozen
class MembershipConfig:
    """[members]: managers that know each other; without `me` it knows of nobody. `beat` is from
    probe to probe; `binds` is where this one listens, if not where the others reach it. Without
    a key_file of its own it takes succession's.
    """

    me: str = ""
    key_file: str = ""
    beat: Seconds = Seconds(0.2)
    binds: Address = Address(("", 0))

    def __attrs_post_init__(self) -> None:
        if not 0.02 <= self.beat <= 10.0:
            raise ValueError("beat is to be from 20ms, below which timers are the noise, to 10s")


@attrs.frozen
class LeaseConfig:
    """[owner]: one owner at a time for work on behalf of the fleet, among the members. Times as in
    [succession]. `exercise` pieces of no consequence are worked on each beat, for drills: their
    effects are logged.
    """

    on: bool = False
    lease: Seconds = Seconds(1.0)
    beat: Seconds = Seconds(0.2)
    drift: Fraction = Fraction(0.02)
    forgets: Seconds = Seconds(10.0)
    exercise: Count = Count(0)

    def __attrs_post_init__(self) -> None:
        validate_lease_timing(self.lease, self.beat, self.drift)


@attrs.frozen
class TlsConfig:
    """[tls]: certificates for ADS and LRS; without it they are plain text, on loopback alone.
    Clients need one of the authority in `clients`, and its name is who they are.
    """

    cert: str = ""
    key: str = ""
    clients: str = ""

    def __attrs_post_init__(self) -> None:
        if len({bool(self.cert), bool(self.key), bool(self.clients)}) > 1:
            raise ValueError("cert, key and clients go together")


@attrs.frozen
class MemberConfig:
    """[member NAME]: where it serves proxies, and where the other members reach it: `knows`, UDP
    and TCP, for all that is between them. `peers` is for succession alone, where there is no
    [members].
    """

    serves: Address
    peers: Address = Address(("", 0))
    knows: Address = Address(("", 0))


@attrs.frozen
class TrafficClassConfig:
    """[product NAME]."""

    sla: Seconds
    deadline: Seconds
    revenue: float
    repeats: Literal["idempotent", "referenced", "non-idempotent"]
    late_share: Fraction = Fraction(0.0)
    group: Literal["all", "zone", "cell"] = "all"
    window: Seconds = Seconds(0.0)

    def __attrs_post_init__(self) -> None:
        if self.deadline < self.sla:
            raise ValueError(
                "deadline is shorter than sla; it is the time after which a client gives up"
            )


SECTIONS = {
    "manager": ServerConfig,
    "channel": ChannelConfig,
    "duties": SafetyConfig,
    "roster": DiscoveryConfig,
    "probes": HealthCheckConfig,
    "reports": ReportConfig,
    "guard": GuardConfig,
    "operators": AdminConfig,
    "succession": ElectionConfig,
    "members": MembershipConfig,
    "owner": LeaseConfig,
    "tls": TlsConfig,
}
NAMED_SECTIONS = {"product": TrafficClassConfig, "member": MemberConfig}
OPTIONAL_SECTIONS = frozenset(
    {"probes", "reports", "guard", "operators", "succession", "members", "owner", "tls"}
)


def load_manager_config(path: Path) -> ConfigFile:
    """The manager's file; raises ConfigFault."""
    config = load_config(path, SECTIONS, NAMED_SECTIONS, optional_sections=OPTIONAL_SECTIONS)
    if config.section(AdminConfig).token_file and config.section(GuardConfig).mode == "off":
        raise ConfigError(
            f"{path}:1: [operators] token_file: with [guard] mode = off no table from an operator's hand "
            "would be judged; take one of them out"
        )
    election_member = config.section(ElectionConfig).member
    if election_member and election_member not in config.sections(MemberConfig):
        raise ConfigError(
            f"{path}:1: [succession] member: no [member {election_member}] section says where it is"
        )
    without_peers_address = [
        name for name, member in config.sections(MemberConfig).items() if not member.peers[1]
    ]
    if election_member and without_peers_address and not config.section(MembershipConfig).me:
        raise ConfigError(
            f"{path}:1: [member {without_peers_address[0]}] peers: without [members] the others reach it there alone"
        )
    self_id = config.section(MembershipConfig).me
    addresses = {name: member.knows for name, member in config.sections(MemberConfig).items()}
    if self_id and self_id not in addresses:
        raise ConfigError(f"{path}:1: [members] me: no [member {self_id}] section says where it is")
    without_address = [name for name, address in addresses.items() if not address[1]]
    if self_id and without_address:
        raise ConfigError(
            f"{path}:1: [member {without_address[0]}] knows: [members] needs an address of its own for that"
        )
    if self_id and not member_key_file(config):
        raise ConfigError(
            f"{path}:1: [members] key_file: members prove who they are; [succession] has none either"
        )
    if self_id and election_member and self_id != election_member:
        raise ConfigError(
            f"{path}:1: [members] me = {self_id}, but [succession] member = {election_member}: one manager has one name"
        )
    if config.section(LeaseConfig).on and not self_id:
        raise ConfigError(f"{path}:1: [owner] on: work is owned among members; it needs [members]")
    if not config.sections(TrafficClassConfig):
        raise ConfigError(f"{path}:1: no [product NAME] section: at least one product is needed")
    return config


def member_key_file(config: ConfigFile) -> str:
    """The file of the key by which managers know each other: one for all that is between them,
    unless told apart.
    """
    return config.section(MembershipConfig).key_file or config.section(ElectionConfig).key_file


def manager_settings(config: ConfigFile) -> ManagerSettings:
    """What the module is told at its start."""
    server = config.section(ServerConfig)
    channel_config = config.section(ChannelConfig)
    safety = config.section(SafetyConfig)
    discovery = config.section(DiscoveryConfig)
    reports = config.section(ReportConfig)
    traffic_classes = tuple(
        TrafficClass(
            name,
            traffic_class.sla,
            traffic_class.deadline,
            traffic_class.revenue,
            traffic_class.late_share,
            Idempotency(traffic_class.repeats),
            traffic_class.group,
            traffic_class.window,
        )
        for name, traffic_class in config.sections(TrafficClassConfig).items()
    )
    channel = ChannelSettings(
        channel_config.lines_per_s,
        float(channel_config.message_lines),
        float(channel_config.waiting_most),
        channel_config.transit,
        channel_config.transit_most,
        channel_config.messages_most,
        channel_config.messages_span,
    )
    return ManagerSettings(
        seed=server.seed,
        zone=server.zone,
        traffic_classes=traffic_classes,
        channel=channel,
        safety_limits=SafetyLimits(
            safety.bare,
            safety.drain_grace,
            safety.ask_every,
            safety.warm_after,
            safety.cold_share,
            safety.fall_multiple,
            safety.fall_after,
        ),
        must_subscribe=discovery.mode == "asked",
        can_check_health=config.section(HealthCheckConfig).allowed,
        load_report_fields=reports.fields,
        report_delivery=ReportDelivery.RESPONSES if reports.fields else ReportDelivery.NONE,
        report_interval=reports.cycle,
        default_retry_policy=server.usual_retry,
        admission_mode=AdmissionMode(server.admits),
        initial_subset_size=server.standing,
    )
