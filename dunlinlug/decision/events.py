"""Events that the host passes to the decision module.

Times are floats in seconds on the host's clock; ids are the same as on the wire. Events are
replicated to other managers: `dunlinlug/fleet/election/event_forms.py` declares their names on the
wire. When an event is decoded, enum fields have the plain string, which is equal to the member.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from dunlinlug.decision.orders import AssignTable, DeleteTable, SetAdmission, SetEjected, SetWeight


class EndpointState(StrEnum):
    """Lifecycle state of an endpoint."""

    READY = "ready"
    DRAINING = "draining"  # finishes its pending requests and gets no new ones
    GONE = "gone"


class UpdateType(StrEnum):
    """Kind of an update of the endpoint list."""

    CHANGES = "changes"  # the entries that changed
    SNAPSHOT = "whole"  # all entries; endpoints that are not included are gone
    RESTORED = "kept"  # a snapshot that was stored before a restart
    FAILED = "failed"  # the list could not be retrieved


@dataclass(frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    `weight` is None if the list has no weight for the endpoint, and `started_at` is None if the
    endpoint started long ago.
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
    """A new endpoint list, a change to it, or a failure to retrieve it."""

    update_type: UpdateType
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """A timer has fired; `token` is the token of its `SetTimer` order."""

    token: int


@dataclass(frozen=True)
class HealthCheckCompleted:
    """The result of a health check, with the endpoint's load report if it returned one."""

    worker: str
    healthy: bool
    result: str
    latency: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessageReceived:
    """A message from the decision module of another manager."""

    peer: int
    payload: str


@dataclass(frozen=True)
class ProxyConnected:
    """A proxy has connected or reconnected; the manager assumes that it has no table."""

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
    """What the connected proxies of a zone observed at an endpoint during a window.

    `latency` is the mean latency of the succeeded attempts. `local` is False if the proxies are
    connected to another manager.
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
    """Limits on this manager's decisions while managers may be partitioned from each other.

    `max_ejected_fraction` is the fraction of the ready weight that outlier detection may eject.
    `may_change_weights` allows weight changes that the endpoint list does not require, and
    `may_raise_weights` allows the next step of a slow start.
    """

    max_ejected_fraction: float
    may_change_weights: bool = True
    may_raise_weights: bool = True


@dataclass(frozen=True)
class ManagerLoadChanged:
    """The channel or processor overload of this or another manager has started or ended."""

    manager: str
    overloaded: bool
    proxy_count: int
    requests_per_second: float


@dataclass(frozen=True)
class DemandReported:
    """Requests of a class received by a proxy, or with sharding for a shard, in a window."""

    proxy: int | None
    traffic_class: str
    requests: int
    failed: int
    window: float
    shard: int | None = None


@dataclass(frozen=True)
class ShardAssigned:
    """A shard was assigned to this manager or unassigned from it."""

    shard: int
    assigned: bool


@dataclass(frozen=True)
class ShardRestored:
    """The weight of an endpoint in a shard, as stored by the shard's previous owner."""

    shard: int
    worker: str
    weight: float


@dataclass(frozen=True)
class Acknowledged:
    """A proxy has applied the reply with this acknowledgement number and all earlier replies.

    `latency` is the time in seconds since the reply was ordered.
    """

    proxy: int
    ack_number: int
    latency: float


@dataclass(frozen=True)
class OrderRejected:
    """An order was rejected and not executed.

    The other orders of its reply were executed, and the reply is still acknowledged.
    """

    order: SetWeight | DeleteTable | AssignTable | SetEjected | SetAdmission
    reason: str


@dataclass(frozen=True)
class OverrideChanged:
    """Weights of one class that an operator has set in place of the listed ones.

    An endpoint with weight 0 is not used; one with weight None keeps its listed weight.
    `keep_unlisted` is whether endpoints without an entry in `weights` keep their listed weights.
    Empty `weights` with `keep_unlisted` end the override.
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
