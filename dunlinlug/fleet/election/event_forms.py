"""Wire forms of the decision module's events, as the leader replicates them to followers.

The left side has wire names, which managers of earlier versions read; the right side has attributes
of the code. Renaming an attribute changes the right side only. The forms of `Trusted` and `Pinned`,
events that the module keeps in its state, are in `module_forms.py`.
"""

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    HealthCheckCompleted,
    ManagerLoadChanged,
    OrderRejected,
    PeerMessageReceived,
    ProxyConnected,
    ProxyDisconnected,
    ShardAssigned,
    ShardRestored,
    TimerFired,
)
from dunlinlug.decision.orders import AssignTable, DeleteTable, SetAdmission, SetEjected, SetWeight
from dunlinlug.fleet.election.serialization import WireForm

FORMS = (
    WireForm(
        Endpoint,
        "Worker",
        {
            "id": "id",
            "zone": "zone",
            "kind": "host_class",
            "cell": "cell",
            "state": "state",
            "weight": "weight",
            "since": "started_at",
        },
    ),
    WireForm(
        EndpointsUpdated,
        "Listed",
        {
            "form": "update_type",
            "workers": "endpoints",
        },
    ),
    WireForm(
        TimerFired,
        "Rung",
        {
            "token": "token",
        },
    ),
    WireForm(
        HealthCheckCompleted,
        "Probed",
        {
            "worker": "worker",
            "ok": "healthy",
            "result": "result",
            "took": "latency",
            "load": "load",
        },
    ),
    WireForm(
        PeerMessageReceived,
        "PeerSaid",
        {
            "peer": "peer",
            "payload": "payload",
        },
    ),
    WireForm(
        ProxyConnected,
        "Joined",
        {
            "proxy": "proxy",
            "zone": "zone",
            "txns_per_s": "requests_per_second",
            "first": "first_connection",
        },
    ),
    WireForm(
        ProxyDisconnected,
        "Left",
        {
            "proxy": "proxy",
        },
    ),
    WireForm(
        EndpointReported,
        "Met",
        {
            "zone": "zone",
            "worker": "worker",
            "tries": "attempts",
            "voided": "failed",
            "took": "latency",
            "span": "window",
            "load": "load",
            "own": "local",
        },
    ),
    WireForm(
        DemandReported,
        "Asked",
        {
            "proxy": "proxy",
            "product": "traffic_class",
            "txns": "requests",
            "voided": "failed",
            "span": "window",
            "slice": "shard",
        },
    ),
    WireForm(
        ShardAssigned,
        "Given",
        {
            "slice": "shard",
            "given": "assigned",
        },
    ),
    WireForm(
        ShardRestored,
        "Stored",
        {
            "slice": "shard",
            "worker": "worker",
            "weight": "weight",
        },
    ),
    WireForm(
        Acknowledged,
        "Answered",
        {
            "proxy": "proxy",
            "mark": "ack_number",
            "took": "latency",
        },
    ),
    WireForm(
        SetWeight,
        "Share",
        {
            "tbl": "table_id",
            "worker": "worker",
            "weight": "weight",
        },
    ),
    WireForm(
        DeleteTable,
        "Clear",
        {
            "tbl": "table_id",
        },
    ),
    WireForm(
        AssignTable,
        "Bind",
        {
            "proxy": "proxy",
            "products": "traffic_classes",
            "tbl": "table_id",
        },
    ),
    WireForm(
        SetEjected,
        "Withdraw",
        {
            "worker": "worker",
            "out": "ejected",
        },
    ),
    WireForm(
        SetAdmission,
        "Admit",
        {
            "tbl": "table_id",
            "product": "traffic_class",
            "retry": "retry_policy",
            "share": "admitted_fraction",
        },
    ),
    WireForm(
        OrderRejected,
        "Refused",
        {
            "order": "order",
            "why": "reason",
        },
    ),
    WireForm(
        ManagerLoadChanged,
        "Laden",
        {
            "manager": "manager",
            "over": "overloaded",
            "proxies": "proxy_count",
            "txns_per_s": "requests_per_second",
        },
    ),
)
