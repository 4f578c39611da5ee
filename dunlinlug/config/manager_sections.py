"""The sections of a manager's INI file, a record for each.

The field names are the keys of the file, so they stay as they are; the docstrings say what each
stands for in the terms of the code.
"""

from typing import Literal

import attrs

from dunlinlug.config.units import Address, Count, Fraction, NameList, PerSecond, Seconds


@attrs.frozen
class ServerConfig:
    """[manager]: the process and what it serves.

    Attributes:
        listen: Where proxies connect.
        store: Folder of the store.
        zone: The manager's own zone.
        seed: Of the decision module's random choices.
        hello_within: Seconds within which a new connection must start a call.
        quiet_most: Seconds without a byte after which a connection is closed.
        log: Form of the log; `auto` is for people on a terminal, else JSON.
        usual_retry: Retry policy (0 to 3) of a table that sets none.
        standing: Endpoints that a proxy's table has at its start.
        admits: Whether the decision module may shed requests, by admitted fractions.
        try_aims: Time limit of an attempt that may be retried after any failure, as a multiple of
            the latency objective; 0 for none.
    """

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
    """[channel]: what the channel to the proxies carries.

    Attributes:
        lines_per_s: Table entries a second.
        message_lines: Entries that a message costs in itself.
        waiting_most: Entries that may be queued.
        transit: Seconds that a message usually takes.
        transit_most: Seconds that it takes at most.
        messages_most: Messages to one proxy within `messages_span` seconds; 0 for any number.
        messages_span: The window of `messages_most`, in seconds.
        pace: Entries a second that are really sent, if not `lines_per_s`; can be reloaded.
    """

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
    """[duties]: the limits that a manager keeps.

    Attributes:
        bare: Seconds that a proxy may be without an available endpoint.
        drain_grace: Seconds within which no proxy sends to a draining endpoint any more.
        warm_after: Seconds until an endpoint has warmed up.
        cold_share: Fraction of its capacity that it has at its start.
        fall_multiple: Load over capacity beyond which a warming endpoint overloads.
        fall_after: Seconds of such load after which it does.
        ask_every: Seconds between polls of the endpoint list.
    """

    bare: Seconds
    drain_grace: Seconds
    warm_after: Seconds
    cold_share: Fraction
    fall_multiple: float
    fall_after: Seconds
    ask_every: Seconds = Seconds(10.0)


@attrs.frozen
class DiscoveryConfig:
    """[roster]: the service discovery that gives the endpoint list.

    Attributes:
        address: Where it answers.
        service: The service whose endpoints are listed.
        mode: Whether its updates are followed, or the decision module polls the list.
        wait: Seconds that a blocking query may wait for an update.
        within: Seconds beyond that until an answer counts as failed.
    """

    address: Address
    service: str
    mode: Literal["pushed", "asked"] = "pushed"
    wait: Seconds = Seconds(10.0)
    within: Seconds = Seconds(3.0)


@attrs.frozen
class HealthCheckConfig:
    """[probes]: active health checks.

    Attributes:
        allowed: Whether the decision module may order them.
        path: The path that is requested.
        within: Seconds for an answer.
        at_once: How many may be under way.
    """

    allowed: bool = False
    path: str = "/probe"
    within: Seconds = Seconds(0.4)
    at_once: Count = Count(16)


@attrs.frozen
class ReportConfig:
    """[reports]: what proxies report.

    Attributes:
        cycle: Seconds between reports of a proxy.
        lines_per_s: Aggregated reports a second that the decision module is given.
        fields: Names of the load figures that endpoints give with their answers.
    """

    cycle: Seconds = Seconds(0.5)
    lines_per_s: PerSecond = PerSecond(80.0)
    fields: NameList = NameList(())


@attrs.frozen
class GuardConfig:
    """[guard]: the validation of orders.

    Attributes:
        mode: `on` holds rejected orders back, `watch` only records them, `off` validates nothing.
        remember: Rejections that the store keeps.
    """

    mode: Literal["on", "watch", "off"] = "on"
    remember: Count = Count(500)


@attrs.frozen
class AdminConfig:
    """[operators]: the administration endpoint.

    Attributes:
        token_file: File with the operators' token; without it the endpoint is not opened.
        listen: Where it listens.
        longest: Seconds that an operator override may last.
        quiet_most: Seconds without a byte after which a connection is closed.
    """

    token_file: str = ""
    listen: Address = Address(("127.0.0.1", 18001))
    longest: Seconds = Seconds(8 * 3600.0)
    quiet_most: Seconds = Seconds(10.0)


def validate_lease_timing(lease: float, heartbeat_interval: float, max_clock_drift: float) -> None:
    """Raises ValueError if a lease could end although no more than one heartbeat was lost."""
    if not 0 < 3 * heartbeat_interval <= lease or max_clock_drift > 0.2:
        raise ValueError(
            "beat is to be at most a third of lease, so that one may be lost; drift at most 20%"
        )


@attrs.frozen
class ElectionConfig:
    """[succession]: the election of a leader among managers.

    Attributes:
        member: This manager's name; without it the manager runs alone.
        key_file: File of the key that signs what managers send each other.
        lease: Seconds for which a leader may act without hearing from the others.
        beat: Heartbeat interval in seconds.
        drift: By how much clocks are at most faster or slower than true time.
        forgets: Seconds after which a voter that lost its store votes again.
        first: The voters at the first start; all members if empty.
    """

    member: str = ""
    key_file: str = ""
    lease: Seconds = Seconds(1.0)
    beat: Seconds = Seconds(0.2)
    drift: Fraction = Fraction(0.02)
    forgets: Seconds = Seconds(10.0)
    first: NameList = NameList(())

    def __attrs_post_init__(self) -> None:
        if self.member and not self.key_file:
            raise ValueError("member needs a key_file: members prove who they are")
        validate_lease_timing(self.lease, self.beat, self.drift)


@attrs.frozen
class MembershipConfig:
    """[members]: membership and failure detection among managers.

    Attributes:
        me: This manager's name; without it the manager knows no others.
        key_file: File of the key that signs what members send; that of [succession] if empty.
        beat: Probe interval in seconds.
        binds: Where this manager listens, if not where the others reach it.
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
    """[owner]: leases on tasks of the fleet, so that each has one owner among the members.

    Attributes:
        on: Whether this manager takes part.
        lease, beat, drift, forgets: As in [succession].
        exercise: Tasks without consequence that are worked on in each heartbeat interval, as an
            exercise; their effects are logged.
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
    """[tls]: certificates of the ADS and LRS port; without them it is plain text on loopback.

    Attributes:
        cert: File of the manager's certificate.
        key: File of its private key.
        clients: File of the authority whose certificates clients need; the name in one is the
            client's identity.
    """

    cert: str = ""
    key: str = ""
    clients: str = ""

    def __attrs_post_init__(self) -> None:
        if len({bool(self.cert), bool(self.key), bool(self.clients)}) > 1:
            raise ValueError("cert, key and clients go together")


@attrs.frozen
class MemberConfig:
    """[member NAME]: where a manager among others is reached.

    Attributes:
        serves: Where proxies connect.
        peers: Where other managers reach it, if there is no [members] section.
        knows: Where other members reach it, by UDP and TCP.
    """

    serves: Address
    peers: Address = Address(("", 0))
    knows: Address = Address(("", 0))


@attrs.frozen
class TrafficClassConfig:
    """[product NAME]: a traffic class.

    Attributes:
        sla: Latency objective in seconds.
        deadline: Seconds after which a client gives up.
        revenue: Priority weight.
        repeats: Idempotency of its requests; `referenced` ones bear an idempotency key.
        late_share: What an answer after the latency objective counts, as a fraction.
        group: Which endpoints share idempotency keys: all, those of a zone, or of a cell.
        window: Seconds for which they remember a key.
    """

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
