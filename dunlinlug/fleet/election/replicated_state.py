"""The replicated form of the decision module: batches of its input events, and snapshots.

A follower runs its module on the leader's batches with the leader's times, so that the module
reaches the same state: tables with their numbers, awaited acknowledgements, ejections, slow start,
admission, outlier detection and the channel budget. A follower starts from a snapshot, which holds
that state and the installed tables. Both contain only known classes with declared wire forms: see
`serialization`.
"""

from dataclasses import dataclass, field
from typing import Any

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Endpoint, EndpointState, ProxyDisconnected
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.decision.state import endpoints
from dunlinlug.fleet.election import event_forms, module_forms, module_state
from dunlinlug.fleet.election.serialization import ObjectSerializer, SerializationError, WireForm
from dunlinlug.manager.installed_tables import InstalledTable

OverrideRecord = dict[str, Any]  # an operator override as a JSON object


@dataclass
class ReplicatedBatch:
    """One batch of the leader's decision loop.

    Attributes:
        now: The leader's time of the batch, in seconds.
        events: The module's input events.
        rejected_indexes: Indexes of the module's orders that the guard rejected.
        new_proxy_numbers: Numbers, by name, of proxies that no earlier batch contained.
        overrides: All operator overrides in force as plain records, or None if unchanged.
    """

    now: float
    events: list[Any]
    rejected_indexes: list[int]
    new_proxy_numbers: dict[str, int]
    overrides: list[OverrideRecord] | None = None


@dataclass
class ReplicaSnapshot:
    """The decision module and related state, as it is between two batches.

    Attributes:
        now: The leader's time, in seconds.
        epoch: The leader's epoch of table numbers.
        tables: Installed tables by number.
        ejected: Names of the ejected workers.
        zones: Zones of proxies by proxy name.
        proxy_numbers: Numbers of the proxies that connected last, by name.
        timers: The module's timers, a heap of due time and timer token.
        endpoint_list: The last endpoint list from service discovery, as stored; empty if none.
        overrides: All operator overrides in force as plain records.
        module_state: The module's fields by wire name; filled in by `serialize_snapshot`.
    """

    now: float
    epoch: int
    tables: dict[int, InstalledTable]
    ejected: set[str]
    zones: dict[str, str]
    proxy_numbers: dict[str, int]
    timers: list[tuple[float, int]]
    endpoint_list: bytes = b""
    overrides: list[OverrideRecord] = field(default_factory=list)
    module_state: dict[str, Any] = field(default_factory=dict)


BATCH_FORM = WireForm(
    ReplicatedBatch,
    "Batch",
    {
        "now": "now",
        "events": "events",
        "left_out": "rejected_indexes",
        "numbers": "new_proxy_numbers",
        "pins": "overrides",
    },
)
SNAPSHOT_FORM = WireForm(
    ReplicaSnapshot,
    "Standing",
    {
        "now": "now",
        "epoch": "epoch",
        "tables": "tables",
        "out": "ejected",
        "zones": "zones",
        "numbers": "proxy_numbers",
        "timers": "timers",
        "roster": "endpoint_list",
        "pins": "overrides",
        "module": "module_state",
    },
)
INSTALLED_TABLE_FORM = WireForm(
    InstalledTable,
    "Laid",
    {
        "name": "name",
        "lines": "weights",
        "levels": "admissions",
    },
)
FORMS = (BATCH_FORM, SNAPSHOT_FORM, INSTALLED_TABLE_FORM, *module_forms.FORMS, *event_forms.FORMS)
SERIALIZER = ObjectSerializer(*FORMS)


def listed_workers(fleet: endpoints.Fleet) -> list[Endpoint]:
    """Returns the module's endpoint list; it has no host classes and cells."""
    columns = zip(
        fleet.ids, fleet.zones, fleet.ready, fleet.listed_weights, fleet.started_at, strict=True
    )
    return [
        Endpoint(
            key, zone, "", 0, EndpointState.READY if ready else EndpointState.GONE, weight, since
        )
        for key, zone, ready, weight, since in columns
    ]


def disconnection_events(module: Any) -> list[ProxyDisconnected]:
    """Returns disconnections of all proxies that were connected to the previous leader.

    A new leader submits them. Otherwise the module would send orders to proxies that have not
    connected to it yet, and would wait for their acknowledgements until they do.
    """
    return (
        [ProxyDisconnected(proxy) for proxy in module.state.assignments.proxies]
        if isinstance(module, Balancer)
        else []
    )


def serialize_batch(batch: ReplicatedBatch) -> bytes:
    """Encodes the batch as a log entry."""
    return SERIALIZER.serialize(batch)


def deserialize_batch(data: bytes) -> ReplicatedBatch:
    """Decodes the batch in a log entry. Raises SerializationError for any other bytes."""
    batch = SERIALIZER.deserialize(data)
    if not isinstance(batch, ReplicatedBatch):
        raise SerializationError("not a batch")
    return batch


def serialize_snapshot(module: Balancer, snapshot: ReplicaSnapshot) -> bytes:
    """Encodes the snapshot with the module's state, which it also stores in `snapshot`."""
    snapshot.module_state = module_state.fields_of(module)
    return SERIALIZER.serialize(snapshot)


def deserialize_snapshot(
    data: bytes, settings: ManagerSettings
) -> tuple[Balancer, ReplicaSnapshot]:
    """Returns a module in the encoded state, and the decoded snapshot.

    Raises:
        SerializationError: The bytes are not a snapshot, or its module had other settings.
    """
    snapshot = SERIALIZER.deserialize(data)
    if not isinstance(snapshot, ReplicaSnapshot) or not isinstance(snapshot.module_state, dict):
        raise SerializationError("not a snapshot")
    return module_state.restore_module(snapshot.module_state, settings), snapshot
