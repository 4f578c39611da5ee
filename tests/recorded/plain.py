"""Events, orders and settings as plain JSON values for recorded data.

Keys and values are those of the simulator's wire format (`dunlinlug/simulator`) and of the INI
files, never names of the code, so that renaming classes and fields does not change recorded values.
"""

import json
from pathlib import Path
from typing import Any

from dunlinlug.config.settings_json import LOAD_FIELD_NAMES
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    OverrideChanged,
    PeerMessageReceived,
    ProxyConnected,
    ProxyDisconnected,
    ShardAssigned,
    ShardRestored,
    TimerFired,
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
from dunlinlug.decision.settings import ManagerSettings, TrafficClass
from dunlinlug.simulator import codec

DATA = Path(__file__).parent / "data"
ROOT = Path(__file__).parent.parent.parent

Plain = dict[str, Any]

WIRE_STATES = {name: wire for wire, name in codec.ENDPOINT_STATES.items()}
WIRE_UPDATE_TYPES = {name: wire for wire, name in codec.UPDATE_TYPES.items()}
WIRE_LOAD_FIELDS = {name: wire for wire, name in LOAD_FIELD_NAMES.items()}


def write_json(name: str, value: Any) -> None:
    """Write one file of recorded data as JSON, indented by one space."""
    path = DATA / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1, ensure_ascii=True, allow_nan=False) + "\n")


def read_json(name: str) -> Any:
    return json.loads((DATA / name).read_text())


def as_json(value: Any) -> Any:
    """The value as it is read back from a file of recorded data."""
    return json.loads(json.dumps(value, allow_nan=False))


def text_of(data: bytes) -> str:
    """Decode bytes as Latin-1: one character for each byte."""
    return data.decode("latin-1")


def bytes_of(text: str) -> bytes:
    return text.encode("latin-1")


def worker(endpoint: Endpoint) -> Plain:
    return {
        "worker": endpoint.id,
        "locality": endpoint.zone,
        "classOfHost": endpoint.host_class,
        "bay": endpoint.cell,
        "state": WIRE_STATES[endpoint.state],
        "weight": endpoint.weight,
        "since_s": endpoint.started_at,
    }


def load(values: dict[str, float]) -> Plain:
    return {WIRE_LOAD_FIELDS.get(name, name): value for name, value in values.items()}


def event(decoded: Event) -> Plain:
    """An event under its verb of the wire format; times are seconds."""
    match decoded:
        case EndpointsUpdated():
            rows = [worker(endpoint) for endpoint in decoded.endpoints]
            return {
                "verb": "Discovery",
                "form": WIRE_UPDATE_TYPES[decoded.update_type],
                "membersList": rows,
            }
        case TimerFired():
            return {"verb": "Bell", "token": decoded.token}
        case HealthCheckCompleted():
            return {
                "verb": "ProbeResult",
                "worker": decoded.worker,
                "yes": decoded.healthy,
                "rc": decoded.result,
                "cost_s": decoded.latency,
                "usage": load(decoded.load),
            }
        case PeerMessageReceived():
            return {"verb": "Heard", "originPeer": decoded.peer, "payload": decoded.payload}
        case ProxyConnected():
            return {
                "verb": "Joined",
                "proxy": decoded.proxy,
                "locality": decoded.zone,
                "weight": decoded.requests_per_second,
                "yes": decoded.first_connection,
            }
        case ProxyDisconnected():
            return {"verb": "Left", "proxy": decoded.proxy}
        case EndpointReported():
            return {
                "verb": "TrafficReport",
                "locality": decoded.zone,
                "worker": decoded.worker,
                "count": decoded.attempts,
                "errors": decoded.failed,
                "cost_s": decoded.latency,
                "window_s": decoded.window,
                "usage": load(decoded.load),
                "own": decoded.local,
            }
        case DemandReported():
            return {
                "verb": "Traffic" if decoded.shard is None else "Heat",
                "proxy": decoded.proxy,
                "service": decoded.traffic_class,
                "count": decoded.requests,
                "errors": decoded.failed,
                "window_s": decoded.window,
                "setId": decoded.shard,
            }
        case ShardAssigned():
            return {"verb": "Handed", "setId": decoded.shard, "yes": decoded.assigned}
        case ShardRestored():
            return {
                "verb": "Recorded",
                "setId": decoded.shard,
                "worker": decoded.worker,
                "weight": decoded.weight,
            }
        case Acknowledged():
            return {
                "verb": "Receipt",
                "proxy": decoded.proxy,
                "gen": decoded.ack_number,
                "cost_s": decoded.latency,
            }
        case OverrideChanged():
            weights = [list(pair) for pair in decoded.weights]
            return {
                "verb": "Pinned",
                "product": decoded.traffic_class,
                "weights": weights,
                "others": decoded.keep_unlisted,
            }
    raise TypeError(f"no plain form for {decoded!r}")


def order(plain_order: Plain) -> Order:
    """The order that has this plain form."""
    match plain_order["verb"]:
        case "Upsert":
            return SetWeight(plain_order["setId"], plain_order["worker"], plain_order["weight"])
        case "Empty":
            return DeleteTable(plain_order["setId"])
        case "AttachTable":
            return AssignTable(
                plain_order["proxy"], tuple(plain_order["lanes"]), plain_order["setId"]
            )
        case "Bench":
            return SetEjected(plain_order["worker"], plain_order["yes"])
        case "SetLevel":
            return SetAdmission(
                plain_order["setId"],
                plain_order["lane"],
                plain_order["how"],
                plain_order["allowance"],
            )
        case "Seal":
            return RequestAcknowledgement(plain_order["gen"], plain_order["yes"])
        case "Watch":
            return WatchEndpoints(plain_order["yes"])
        case "Pull":
            return ListEndpoints()
        case "Poll":
            return CheckHealth(plain_order["worker"])
        case "Arm":
            return SetTimer(plain_order["delay_s"], plain_order["token"])
        case "Announce":
            return SendToPeers(plain_order["target"], plain_order["payload"])
        case "JournalLine":
            return LogMessage(plain_order["text"])
    raise ValueError(f"no order {plain_order['verb']!r}")


def manager_settings(settings: ManagerSettings) -> Plain:
    """A manager's settings, under the names of the INI files."""
    channel, limits = settings.channel, settings.safety_limits
    return {
        "seed": settings.seed,
        "zone": settings.zone,
        "products": [_traffic_class(traffic_class) for traffic_class in settings.traffic_classes],
        "channel": {
            "lines_per_s": channel.entries_per_second,
            "message_lines": channel.message_overhead,
            "waiting_most": channel.max_queued_entries,
            "transit": channel.transit_time,
            "transit_most": channel.max_transit_time,
            "messages_most": channel.max_messages,
            "messages_span": channel.message_window,
        },
        "duties": {
            "bare": limits.max_time_without_endpoint,
            "drain_grace": limits.drain_grace_period,
            "ask_every": limits.list_poll_interval,
            "warm_after": limits.warm_up_time,
            "cold_share": limits.initial_capacity_fraction,
            "fall_multiple": limits.overload_multiple,
            "fall_after": limits.overload_duration,
        },
        "must_ask": settings.must_subscribe,
        "probes_allowed": settings.can_check_health,
        "report_fields": [WIRE_LOAD_FIELDS.get(name, name) for name in settings.load_report_fields],
        "reports_in": settings.report_delivery,
        "report_cycle": settings.report_interval,
        "usual_retry": settings.default_retry_policy,
        "admits": settings.admission_mode,
        "slices": settings.shard_count,
        "standing": settings.initial_subset_size,
    }


def _traffic_class(traffic_class: TrafficClass) -> Plain:
    return {
        "name": traffic_class.name,
        "sla": traffic_class.latency_objective,
        "deadline": traffic_class.deadline,
        "revenue": traffic_class.priority_weight,
        "late_share": traffic_class.late_value_fraction,
        "repeats": traffic_class.idempotency,
        "group": traffic_class.group,
        "window": traffic_class.deduplication_window,
        "home_only": traffic_class.same_zone_only,
    }
