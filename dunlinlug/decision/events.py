"""What the decision module is notified of: one record an event.

Times are float seconds on the host's clock; ids are those of the wire. Events travel to other
managers: `dunlinlug/fleet/election/event_forms.py` declares the names that they have there. Read
back, a field with an enum has the plain string, which is equal to the member.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from dunlinlug.decision.orders import AssignTable, DeleteTable, SetAdmission, SetEjected, SetWeight


class EndpointState(StrEnum):
    """Whether an endpoint may be used."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has, and gets no new requests
    GONE = "gone"


class UpdateType(StrEnum):
    """What an update of the endpoint list is."""

    CHANGES = "changes"  # the entries that changed
    SNAPSHOT = "whole"  # all entries; whoever is not named is gone
    RESTORED = "kept"  # a snapshot as stored before a restart
    FAILED = "failed"  # the list could not be had


@dataclass(frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    `weight` is None where none is listed, `started_at` where the start is long ago.
    """

    id: str
    zone: str
    host_class: str
    cell: int
    state: EndpointState
    weight: float | None
    started_at: float | None


@dataclass(frozen=True)
class EndpointsUpdated:
    """The endpoint list, or what changed of it."""

    update_type: UpdateType
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """A timer has come due; `token` is that of its `SetTimer`."""

    token: int


@dataclass(frozen=True)
class HealthCheckCompleted:
    """The result of a health check, with the endpoint's load report where it gives one."""

    worker: str
    healthy: bool
    result: str
    latency: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessageReceived:
    """Another manager's module sent this."""

    peer: int
    payload: str


@dataclass(frozen=True)
class ProxyConnected:
    """A proxy has connected, anew or for the first time; it holds no table that we know of."""

    proxy: int
    zone: str
    requests_per_second: float
    first_connection: bool


@dataclass(frozen=True)
class ProxyDisconnected:
    """A proxy's connection has ended."""

    proxy: int


@dataclass(frozen=True)
class EndpointReported:
    """What the connected proxies of a zone observed at an endpoint in a window.

    `latency` is the mean of the succeeded attempts. If not `local`, proxies of another manager
    observed it.
    """

    zone: str
    worker: str
    attempts: float
    failed: float
    latency: float
    window: float
    load: dict[str, float] = field(default_factory=dict)
    local: bool = True


@dataclass(frozen=True)
class PartitionLimitsChanged:
    """What this manager may do while managers may be partitioned from each other.

    `max_ejected_fraction` is the part of the ready weight that outlier detection may take out,
    `may_change_weights` allows changes that the endpoint list does not ask for, and
    `may_raise_weights` the next step of a slow start.
    """

    max_ejected_fraction: float
    may_change_weights: bool = True
    may_raise_weights: bool = True


@dataclass(frozen=True)
class ManagerLoadChanged:
    """A manager, this or another, has become overloaded (channel or processor), or is no more."""

    manager: str
    overloaded: bool
    proxy_count: int
    requests_per_second: float


@dataclass(frozen=True)
class DemandReported:
    """The requests of a class that came to a proxy (or, with shards, for a shard) in a window."""

    proxy: int | None
    traffic_class: str
    requests: int
    failed: int
    window: float
    shard: int | None = None


@dataclass(frozen=True)
class ShardAssigned:
    """A shard was assigned to this manager, or taken from it."""

    shard: int
    assigned: bool


@dataclass(frozen=True)
class ShardRestored:
    """The weight of an endpoint in a shard, as stored by its former owner."""

    shard: int
    worker: str
    weight: float


@dataclass(frozen=True)
class Acknowledged:
    """A proxy has applied the reply with this acknowledgement number, and all before it.

    `latency` is the seconds since the reply was ordered.
    """

    proxy: int
    ack_number: int
    latency: float


@dataclass(frozen=True)
class OrderRejected:
    """An order was judged and not carried out.

    All else of its reply was, and its acknowledgement number is acknowledged all the same.
    """

    order: SetWeight | DeleteTable | AssignTable | SetEjected | SetAdmission
    reason: str


@dataclass(frozen=True)
class OverrideChanged:
    """An operator's weights for one class, in place of the listed ones.

    A weight of 0 keeps an endpoint out of use, None means as listed; `keep_unlisted` is whether
    endpoints that are not named keep theirs. No weights with `keep_unlisted` ends the override.
    """

    traffic_class: int
    weights: tuple[tuple[str, float | None], ...] = ()
    keep_unlisted: bool = True


Event = (
    EndpointsUpdated
    | TimerFired
    | HealthCheckCompleted
    | PeerMessageReceived
    | ProxyConnected
    | ProxyDisconnected
    | EndpointReported
    | DemandReported
    | ShardAssigned
    | ShardRestored
    | Acknowledged
    | OrderRejected
    | OverrideChanged
    | PartitionLimitsChanged
    | ManagerLoadChanged
)
