"""What a successor is given: batches as the master's module met them, and the whole to start from.

A standby runs the module on the same batches, so that tables, numbers, marks, withdrawals, ramps,
levels, health and the channel's account are the master's own, each dated on the master's clock. The
whole is that module's state with the tables as laid. Written by msgpack, of known classes alone.
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


@dataclass
class ReplicatedBatch:
    """One turn of the master: its time, the events, the places of orders that the guard left out,
    and the numbers of proxies that are new.
    """

    now: float
    events: list[Any]
    rejected_indexes: list[int]
    new_proxy_numbers: dict[str, int]
    overrides: list[dict[str, Any]] | None = None  # all that stand, if that has changed


@dataclass
class ReplicaSnapshot:
    """All but the module: tables as laid, who is out, timers by due time, and so on; `roster` is
    the list's body.
    """

    now: float
    epoch: int
    tables: dict[int, InstalledTable]
    ejected: set[str]
    zones: dict[str, str]
    proxy_numbers: dict[str, int]
    timers: list[tuple[float, int]]
    endpoint_list: bytes = b""
    overrides: list[dict[str, Any]] = field(default_factory=list)
    module_state: dict[str, Any] = field(default_factory=dict)


BATCH = WireForm(
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
STANDING = WireForm(
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
LAID = WireForm(
    InstalledTable,
    "Laid",
    {
        "name": "name",
        "lines": "weights",
        "levels": "admissions",
    },
)
FORMS = (BATCH, STANDING, LAID, *module_forms.FORMS, *event_forms.FORMS)
SERIALIZER = ObjectSerializer(*FORMS)


def listed_workers(fleet: endpoints.Fleet) -> list[Endpoint]:
    """The list as the module knows it."""
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
    """Whoever was joined with a former master, for a module of ours that went by its batches.
    Danger: a proxy that has not come here yet would be sent orders, and waited for, as long as
    it stays away.
    """
    return (
        [ProxyDisconnected(proxy) for proxy in module.state.assignments.proxies]
        if isinstance(module, Balancer)
        else []
    )


def serialize_batch(batch: ReplicatedBatch) -> bytes:
    return SERIALIZER.serialize(batch)


def deserialize_batch(data: bytes) -> ReplicatedBatch:
    """Raises PlainFault."""
    batch = SERIALIZER.deserialize(data)
    if not isinstance(batch, ReplicatedBatch):
        raise SerializationError("not a batch")
    return batch


def serialize_snapshot(module: Balancer, snapshot: ReplicaSnapshot) -> bytes:
    snapshot.module_state = module_state.fields_of(module)
    return SERIALIZER.serialize(snapshot)


def deserialize_snapshot(
    data: bytes, settings: ManagerSettings
) -> tuple[Balancer, ReplicaSnapshot]:
    """A module that goes on where the other stood. Raises PlainFault, also if it was told another
    trade.
    """
    snapshot = SERIALIZER.deserialize(data)
    if not isinstance(snapshot, ReplicaSnapshot) or not isinstance(snapshot.module_state, dict):
        raise SerializationError("not the whole")
    return module_state.restored(snapshot.module_state, settings), snapshot
