"""What the decision module is notified of: one record an event.

Times are float seconds on the host's clock; ids are those of the wire.
"""

from dataclasses import dataclass, field

from dunlinlug.decision.orders import AssignTable, DeleteTable, SetAdmission, SetEjected, SetWeight


@dataclass(frozen=True)
class Endpoint:
    """One entry of the list. `state` is 'ready', 'draining' or 'gone'; `since` is None if long ago."""

    id: str
    zone: str
    host_class: str
    cell: int
    state: str
    weight: float | None
    started_at: float | None


@dataclass(frozen=True)
class EndpointsUpdated:
    """News of the list. `form` is 'changes', 'whole', 'kept' (as held before a restart) or
    'failed'.
    """

    update_type: str
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """A timer has come due."""

    token: int


@dataclass(frozen=True)
class HealthCheckCompleted:
    worker: str
    healthy: bool
    result: str
    latency: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessageReceived:
    peer: int
    payload: str


@dataclass(frozen=True)
class ProxyConnected:
    proxy: int
    zone: str
    requests_per_second: float
    first_connection: bool


@dataclass(frozen=True)
class ProxyDisconnected:
    proxy: int


@dataclass(frozen=True)
class EndpointReported:
    """What the joined proxies of a zone met at a worker over a span; if not `own`, another
    manager's proxies did.
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
    """What we may do, as managers may be cut off from each other: how much of the ready weight our
    own evidence may take out; changes of shares that the list does not ask for (`begin`); the
    next step of a ramp (`raises`).
    """

    max_ejected_fraction: float
    may_change_weights: bool = True
    may_raise_weights: bool = True


@dataclass(frozen=True)
class ManagerLoadChanged:
    """A manager, ours or another, has come to be `over` its means (channel or processor), or is so
    no more.
    """

    manager: str
    overloaded: bool
    proxy_count: int
    requests_per_second: float


@dataclass(frozen=True)
class DemandReported:
    """What came to a proxy (or, with slices, for a slice) of a product over a span."""

    proxy: int | None
    traffic_class: str
    requests: int
    failed: int
    window: float
    shard: int | None = None


@dataclass(frozen=True)
class ShardAssigned:
    shard: int
    assigned: bool


@dataclass(frozen=True)
class ShardRestored:
    shard: int
    worker: str
    weight: float


@dataclass(frozen=True)
class Acknowledged:
    """A proxy has applied the message that bore this mark, and all before it."""

    proxy: int
    ack_number: int
    latency: float


@dataclass(frozen=True)
class OrderRejected:
    """An order was judged and not carried out; all else of its reply was, and its mark is answered
    all the same.
    """

    order: "SetWeight | DeleteTable | AssignTable | SetEjected | SetAdmission"
    reason: str


@dataclass(frozen=True)
class OverrideChanged:
    """An operator's word for one product: weights by worker in place of the listed ones (0: not to
    be used; None: as listed), and whether workers not named keep theirs. No weights with
    `others` ends it.
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
