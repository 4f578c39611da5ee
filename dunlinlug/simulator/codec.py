"""Converts the simulator's JSON lines to the decision module's records and back.

The simulator uses microseconds and its own names; all conversion of units and names is done here.
A body is a JSON object as decoded. `WireError` states how a line violates the wire protocol.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from dunlinlug.config.settings_json import (
    MICROSECONDS_PER_SECOND,
    MILLISECOND_FIELDS,
    MILLISECONDS_PER_SECOND,
    read_settings,
)
from dunlinlug.config.settings_json import seconds as _s
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointState,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    PeerMessageReceived,
    ProxyConnected,
    ProxyDisconnected,
    ShardAssigned,
    ShardRestored,
    TimerFired,
    UpdateType,
)
from dunlinlug.decision.orders import (
    AssignTable,
    CheckHealth,
    DeleteTable,
    ListEndpoints,
    LogMessage,
    Order,
    RequestAcknowledgement,
    SendToPeers,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
    WatchEndpoints,
)
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.errors import DunlinlugError

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
UPDATE_TYPES = {
    "update": UpdateType.CHANGES,
    "replace": UpdateType.SNAPSHOT,
    "restored": UpdateType.RESTORED,
    "unavailable": UpdateType.FAILED,
}


# A decoded or encodable JSON object, with values of any JSON type.
JsonObject = dict[str, Any]


class WireError(DunlinlugError):
    """A line that violates the wire protocol."""


@dataclass(frozen=True)
class RawEvent:
    """One event of a batch: the manager it is addressed to, its kind and its JSON object."""

    manager: str
    verb: str
    body: JsonObject


@dataclass(frozen=True)
class EventBatch:
    """One line of the simulator: the time in seconds, the optional batch number and the events."""

    now: float
    number: int | None
    events: list[RawEvent]


def read_batch(line: bytes) -> EventBatch:
    """Decode one line, leaving out events of unknown kinds. Raises WireError."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise WireError(f"not JSON: {error}") from None
    if not isinstance(message, dict):
        raise WireError("a batch is an object")
    now = message.get("nowUs")
    raw_events = message.get("happened")
    if not isinstance(now, int) or isinstance(now, bool):
        raise WireError("'nowUs' is missing or not a whole number")
    if not isinstance(raw_events, list):
        raise WireError("'happened' is missing or not an array")
    events = [event for event in map(_read_raw_event, raw_events) if event is not None]
    number = message.get("n")
    if number is not None and not isinstance(number, int):
        raise WireError("'n' is not a whole number")
    return EventBatch(now / MICROSECONDS_PER_SECOND, number, events)


def _read_raw_event(body: Any) -> RawEvent | None:
    """Decode the fields common to all events; return None for an unknown kind of event."""
    if not isinstance(body, dict):
        raise WireError("an event is an object")
    verb = body.get("verb")
    manager = body.get("manager")
    if not isinstance(verb, str):
        raise WireError("an event has no 'verb'")
    if verb not in KNOWN_VERBS:
        return None
    if not isinstance(manager, str):
        raise WireError(f"'{verb}' has no 'manager'")
    return RawEvent(manager, verb, body)


Record = TypeVar("Record")


def _read_guarded(verb: str, read: Callable[[], Record]) -> Record:
    """Call `read`; raises WireError, which names the event, for a missing or invalid field."""
    try:
        return read()
    except KeyError as error:
        raise WireError(f"'{verb}' lacks {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"'{verb}' has a field of the wrong kind: {error}") from None


def read_event(verb: str, body: JsonObject, load_fields: tuple[str, ...]) -> Event:
    """Decode an event; `load_fields` are the names of the values in load reports.

    Raises WireError.
    """
    if verb in LOAD_EVENT_READERS:
        return _read_guarded(verb, lambda: LOAD_EVENT_READERS[verb](body, load_fields))
    return _read_guarded(verb, lambda: EVENT_READERS[verb](body))


def _read_load(body: JsonObject, field_names: tuple[str, ...]) -> dict[str, float]:
    """Return a load report's values by name, with times in seconds."""
    values = zip(field_names, body.get("usage") or (), strict=False)
    return {
        name: float(value) / (MILLISECONDS_PER_SECOND if name in MILLISECOND_FIELDS else 1.0)
        for name, value in values
    }


def read_settings_event(body: JsonObject) -> ManagerSettings:
    """Decode the settings of a manager that starts. Raises WireError."""
    return _read_guarded("NewInstance", lambda: read_settings(body["nonce64"], body["info"]))


def _read_endpoint(entry: JsonObject) -> Endpoint:
    """Decode an entry of the endpoint list."""
    weight = entry.get("weight")
    started_at = entry.get("sinceUs")
    return Endpoint(
        id=entry["worker"],
        zone=entry["locality"],
        host_class=entry.get("classOfHost") or "",
        cell=entry.get("bay") or 0,
        state=ENDPOINT_STATES[entry["state"]],
        weight=None if weight is None else float(weight),
        started_at=_s(started_at) if started_at else None,
    )


def _read_endpoints_updated(body: JsonObject) -> EndpointsUpdated:
    """Decode the endpoint list or changes of it."""
    return EndpointsUpdated(
        UPDATE_TYPES[body["form"]],
        tuple(_read_endpoint(row) for row in body.get("membersList") or ()),
    )


EVENT_READERS: dict[str, Callable[[JsonObject], Event]] = {
    "Discovery": _read_endpoints_updated,
    "Bell": lambda b: TimerFired(b["token"]),
    "Heard": lambda b: PeerMessageReceived(b["originPeer"], b.get("payload") or ""),
    "Joined": lambda b: ProxyConnected(
        b["proxy"], b["locality"], float(b.get("weight") or 0.0), bool(b["yes"])
    ),
    "Left": lambda b: ProxyDisconnected(b["proxy"]),
    "Traffic": lambda b: DemandReported(
        b["proxy"], b["service"], b["count"], b["errors"], _s(b["windowUs"])
    ),
    "Heat": lambda b: DemandReported(
        None, b["service"], b["count"], b["errors"], _s(b["windowUs"]), b["setId"]
    ),
    "Handed": lambda b: ShardAssigned(b["setId"], bool(b["yes"])),
    "Recorded": lambda b: ShardRestored(b["setId"], b["worker"], float(b["weight"])),
    "Receipt": lambda b: Acknowledged(b["proxy"], b["gen"], _s(b.get("costTimeUs") or 0)),
}

LOAD_EVENT_READERS: dict[str, Callable[[JsonObject, tuple[str, ...]], Event]] = {
    "ProbeResult": lambda b, f: HealthCheckCompleted(
        b["worker"], b["rc"] == "ok", b["rc"], _s(b.get("costTimeUs") or 0), _read_load(b, f)
    ),
    "TrafficReport": lambda b, f: EndpointReported(
        b["locality"],
        b["worker"],
        b["count"],
        b["errors"],
        _s(b["costTimeUs"] or 0),
        _s(b["windowUs"]),
        _read_load(b, f),
    ),
}
KNOWN_VERBS = {"NewInstance", "Detach"} | EVENT_READERS.keys() | LOAD_EVENT_READERS.keys()

ORDER_WRITERS: dict[type, Callable[[Any], JsonObject]] = {
    SetWeight: lambda o: {
        "verb": "Upsert",
        "setId": o.table_id,
        "worker": o.worker,
        "weight": o.weight,
    },
    DeleteTable: lambda o: {"verb": "Empty", "setId": o.table_id},
    AssignTable: lambda o: {
        "verb": "AttachTable",
        "proxy": o.proxy,
        "setId": o.table_id,
        "classes": sum(1 << k for k in o.traffic_classes),
    },
    SetEjected: lambda o: {"verb": "Bench", "worker": o.worker, "yes": o.ejected},
    SetAdmission: lambda o: {
        "verb": "SetLevel",
        "how": o.retry_policy,
        "classes": 1 << o.traffic_class,
        "setId": o.table_id,
        "allowance": o.admitted_fraction,
    },
    RequestAcknowledgement: lambda o: {"verb": "Seal", "gen": o.ack_number, "yes": o.all_proxies},
    WatchEndpoints: lambda o: {"verb": "Watch", "yes": o.enabled},
    ListEndpoints: lambda _: {"verb": "Pull"},
    CheckHealth: lambda o: {"verb": "Poll", "worker": o.worker},
    SetTimer: lambda o: {
        "verb": "Arm",
        "delayUs": max(0, round(o.delay * MICROSECONDS_PER_SECOND)),
        "token": o.token,
    },
    SendToPeers: lambda o: {"verb": "Announce", "target": o.peer, "payload": o.payload},
    LogMessage: lambda o: {"verb": "JournalLine", "text": o.text},
}


def write_order(manager: str, order: Order) -> JsonObject:
    """Encode a manager's order as a JSON object."""
    return {**ORDER_WRITERS[type(order)](order), "manager": manager}
