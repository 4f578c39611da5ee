"""What a leader sends its followers of the decision module: batches of events, and a snapshot.

A follower runs the module on the same batches as the leader, with the leader's times, so that its
module is in the very state of the leader's: tables with their numbers, acknowledgements that are
awaited, ejections, slow start, admission, outlier detection and the channel's budget. The snapshot
is that state with the installed tables, to start from. Both are written by declared forms of known
classes alone: see `serialization`.
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

OverrideRecord = dict[str, Any]  # an operator override as JSON


@dataclass
class ReplicatedBatch:
    """One batch of the leader's decision loop.

    Attributes:
        now: The leader's time of the batch, in seconds.
        events: What the module was given.
        rejected_indexes: Which of the module's orders the guard rejected, by their index.
        new_proxy_numbers: Numbers by name of the proxies that no batch has had before.
        overrides: All operator overrides in force as plain records, if they have changed.
    """

    now: float
    events: list[Any]
    rejected_indexes: list[int]
    new_proxy_numbers: dict[str, int]
    overrides: list[OverrideRecord] | None = None


@dataclass
class ReplicaSnapshot:
    """The decision module and what goes with it, between two batches.

    Attributes:
        now: The leader's time, in seconds.
        epoch: The leader's epoch of table numbers.
        tables: Installed tables by number.
        ejected: Workers that are ejected, by name.
        zones: Zones of proxies by the proxies' names.
        proxy_numbers: Numbers of all proxies ever seen, by name.
        timers: The module's timers: due time and timer, as a heap.
        endpoint_list: The last list of service discovery, as stored; empty if there is none.
        overrides: All operator overrides in force as plain records.
        module_state: The module's fields by their names on the wire; filled in on writing.
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
    """The endpoint list as the module knows it; addresses are not known."""
    columns = zip(
        fleet.ids, fleet.zones, fleet.ready, fleet.listed_weights, fleet.started_at, strict=True
    )
    return [
        Endpoint(
            key, zone, "", 0, EndpointState.READY if ready else EndpointState.GONE, weight, since
        )
        for key, zone, ready, weight, since in columns
    ]


def disconnect_all(module: Any) -> list[ProxyDisconnected]:
    """Departures of all proxies that were connected to the former leader.

    Without them, the module would send orders to a proxy that has not connected to us yet, and wait
    for its acknowledgements as long as it stays away.
    """
    return (
        [ProxyDisconnected(proxy) for proxy in module.state.assignments.proxies]
        if isinstance(module, Balancer)
        else []
    )


def serialize_batch(batch: ReplicatedBatch) -> bytes:
    """The batch as a log entry."""
    return SERIALIZER.serialize(batch)


def deserialize_batch(data: bytes) -> ReplicatedBatch:
    """The batch of a log entry. Raises SerializationError for any other bytes."""
    batch = SERIALIZER.deserialize(data)
    if not isinstance(batch, ReplicatedBatch):
        raise SerializationError("not a batch")
    return batch


def serialize_snapshot(module: Balancer, snapshot: ReplicaSnapshot) -> bytes:
    """The snapshot's bytes, with the module's state, which is put into `snapshot` too."""
    snapshot.module_state = module_state.fields_of(module)
    return SERIALIZER.serialize(snapshot)


def deserialize_snapshot(
    data: bytes, settings: ManagerSettings
) -> tuple[Balancer, ReplicaSnapshot]:
    """A module in the state that was written, and the rest of the snapshot.

    Raises:
        SerializationError: These bytes are no snapshot, or one of a module with other settings.
    """
    snapshot = SERIALIZER.deserialize(data)
    if not isinstance(snapshot, ReplicaSnapshot) or not isinstance(snapshot.module_state, dict):
        raise SerializationError("not the whole")
    return module_state.restored(snapshot.module_state, settings), snapshot
