"""The sections of a manager's INI file, one class for each.

Field names are the keys of the file and therefore must not change; the docstrings explain them in
the terms of the code.
"""

from typing import Literal

import attrs

from dunlinlug.config.units import Address, Count, Fraction, NameList, PerSecond, Seconds


@attrs.frozen
class ServerConfig:
    """[manager]: the process and its service to proxies.

    Attributes:
        listen: Address to which proxies connect.
        store: Folder of the store.
        zone: The manager's own zone.
        seed: Seed of the decision module's random choices.
        hello_within: Seconds within which a new connection must start a call.
        quiet_most: Seconds without received data after which a connection is closed.
        log: Log format; `auto` selects `console` on a terminal and `json` otherwise.
        usual_retry: Default retry policy (0 to 3) of a table.
        standing: Initial number of endpoints in a proxy's table.
        admits: Whether the decision module may shed requests by setting admitted fractions.
        try_aims: Timeout of an attempt that may be retried after any failure, as a multiple of the
            latency objective; 0 for none.
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
    """[channel]: the capacity of the channel to the proxies.

    Attributes:
        lines_per_s: Table entries per second.
        message_lines: Fixed cost of a message, in entries.
        waiting_most: Maximum number of queued entries.
        transit: Usual transit time of a message in seconds.
        transit_most: Maximum transit time in seconds.
        messages_most: Maximum number of messages to one proxy within `messages_span`; 0 for no
            limit.
        messages_span: Window of `messages_most` in seconds.
        pace: Entries per second that are actually sent, if not `lines_per_s`; can be reloaded.
    """

    lines_per_s: PerSecond
    message_lines: Count
    waiting_most: Count
    transit: Seconds
    transit_most: Seconds
    messages_most: Count = Count(0)
    messages_span: Seconds = Seconds(10.0)
    pace: PerSecond = PerSecond(0.0)  # 0 means lines_per_s


@attrs.frozen
class SafetyConfig:
    """[duties]: the safety limits that a manager observes.

    Attributes:
        bare: Maximum seconds for which a proxy may have no available endpoint.
        drain_grace: Seconds within which proxies must stop sending to a draining endpoint.
        warm_after: Warm-up time of an endpoint in seconds.
        cold_share: Fraction of its capacity that an endpoint has at its start.
        fall_multiple: Ratio of load to capacity above which a warming endpoint becomes overloaded.
        fall_after: Seconds of such load after which the endpoint fails.
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
    """[roster]: the service discovery that provides the endpoint list.

    Attributes:
        address: Address of service discovery.
        service: The service whose endpoints are listed.
        mode: `pushed` if discovery's updates are watched, `asked` if the decision module polls the
            list.
        wait: Seconds that a blocking query may wait for an update.
        within: Seconds beyond `wait` after which a query without a response counts as failed.
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
        allowed: Whether the decision module may request them.
        path: Path of the HTTP request.
        within: Timeout in seconds.
        at_once: Maximum number of concurrent checks.
    """

    allowed: bool = False
    path: str = "/probe"
    within: Seconds = Seconds(0.4)
    at_once: Count = Count(16)


@attrs.frozen
class ReportConfig:
    """[reports]: the reports of proxies.

    Attributes:
        cycle: Seconds between reports of a proxy.
        lines_per_s: Aggregated reports per second passed to the decision module.
        fields: Names of the load metrics that endpoints return in their responses.
    """

    cycle: Seconds = Seconds(0.5)
    lines_per_s: PerSecond = PerSecond(80.0)
    fields: NameList = NameList(())


@attrs.frozen
class GuardConfig:
    """[guard]: the validation of orders.

    Attributes:
        mode: `on` withholds rejected orders, `watch` only records them, `off` disables validation.
        remember: Number of rejections kept in the store.
    """

    mode: Literal["on", "watch", "off"] = "on"
    remember: Count = Count(500)


@attrs.frozen
class AdminConfig:
    """[operators]: the administration endpoint.

    Attributes:
        token_file: File with the operators' token; without it the endpoint is disabled.
        listen: Address on which it listens.
        longest: Maximum duration of an operator override in seconds.
        quiet_most: Seconds that a client may take to send a request; then its connection is closed.
    """

    token_file: str = ""
    listen: Address = Address(("127.0.0.1", 18001))
    longest: Seconds = Seconds(8 * 3600.0)
    quiet_most: Seconds = Seconds(10.0)


def validate_lease_timing(lease: float, heartbeat_interval: float, max_clock_drift: float) -> None:
    """Raise ValueError if the loss of a single heartbeat could end a lease."""
    if not 0 < 3 * heartbeat_interval <= lease or max_clock_drift > 0.2:
        raise ValueError(
            "beat is to be at most a third of lease, so that one may be lost; drift at most 20%"
        )


@attrs.frozen
class ElectionConfig:
    """[succession]: the election of a leader among managers.

    Attributes:
        member: This manager's name; without it the manager runs alone.
        key_file: File of the key that authenticates messages between managers.
        lease: Seconds for which a leader may act without acknowledgements from the other voters.
        beat: Heartbeat interval in seconds.
        drift: Maximum rate error of a clock, fast or slow.
        forgets: Seconds after which a voter that lost its store votes again.
        first: The initial voters; all members if empty.
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
        me: This manager's name; without it the manager does not take part in membership.
        key_file: File of the key that authenticates members' messages; that of [succession] if
            empty.
        beat: Probe interval in seconds.
        binds: Address on which this manager listens, if it differs from the one that the others
            connect to.
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
        exercise: Number of test tasks that the fleet works on in each heartbeat interval; their
            effects are only logged.
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
    """[tls]: certificates of the ADS and LRS port; without them it serves plain text on loopback.

    Attributes:
        cert: File of the manager's certificate.
        key: File of its private key.
        clients: File of the authority that must have issued the clients' certificates; the name in
            a certificate is the client's identity.
    """

    cert: str = ""
    key: str = ""
    clients: str = ""

    def __attrs_post_init__(self) -> None:
        if len({bool(self.cert), bool(self.key), bool(self.clients)}) > 1:
            raise ValueError("cert, key and clients go together")


@attrs.frozen
class MemberConfig:
    """[member NAME]: the addresses of one of several managers.

    Attributes:
        serves: Address to which proxies connect.
        peers: Address to which other managers connect, if there is no [members] section.
        knows: Address for membership messages from other members, by UDP and TCP.
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
        repeats: Idempotency of its requests; `referenced` ones have an idempotency key.
        late_share: Value of a response after the latency objective, as a fraction of an on-time
            one.
        group: Which endpoints share idempotency keys: all, those of a zone, or those of a cell.
        window: Seconds for which endpoints remember an idempotency key.
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
