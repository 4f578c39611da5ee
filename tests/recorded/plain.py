"""Events, orders and settings as plain JSON values for recorded data.

Keys and words are those of the wire (`dunlinlug/drill`) and of the INI files, never names of the
code, so that recorded values stay as they are when classes and fields are renamed.
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

WIRE_STATES = {ours: wire for wire, ours in codec.ENDPOINT_STATES.items()}
WIRE_FORMS = {ours: wire for wire, ours in codec.UPDATE_TYPES.items()}
WIRE_LOADS = {ours: wire for wire, ours in LOAD_FIELD_NAMES.items()}


def write_json(name: str, value: Any) -> None:
    """Write one file of recorded data, a line for each small value."""
    path = DATA / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1, ensure_ascii=True, allow_nan=False) + "\n")


def read_json(name: str) -> Any:
    return json.loads((DATA / name).read_text())


def as_json(value: Any) -> Any:
    """The value as it is read back from a file of recorded data."""
    return json.loads(json.dumps(value, allow_nan=False))


def text_of(data: bytes) -> str:
    """Bytes as text that holds each of them: one character for one byte."""
    return data.decode("latin-1")


def bytes_of(text: str) -> bytes:
    return text.encode("latin-1")


def worker(one: Endpoint) -> Plain:
    return {
        "worker": one.id,
        "locality": one.zone,
        "classOfHost": one.host_class,
        "bay": one.cell,
        "state": WIRE_STATES[one.state],
        "weight": one.weight,
        "since_s": one.started_at,
    }


def load(values: dict[str, float]) -> Plain:
    return {WIRE_LOADS.get(name, name): value for name, value in values.items()}


def event(said: Event) -> Plain:
    """The event under the wire's verb; times in seconds."""
    match said:
        case EndpointsUpdated():
            rows = [worker(one) for one in said.endpoints]
            return {"verb": "Discovery", "form": WIRE_FORMS[said.update_type], "membersList": rows}
        case TimerFired():
            return {"verb": "Bell", "token": said.token}
        case HealthCheckCompleted():
            return {
                "verb": "ProbeResult",
                "worker": said.worker,
                "yes": said.healthy,
                "rc": said.result,
                "cost_s": said.latency,
                "usage": load(said.load),
            }
        case PeerMessageReceived():
            return {"verb": "Heard", "originPeer": said.peer, "payload": said.payload}
        case ProxyConnected():
            return {
                "verb": "Joined",
                "proxy": said.proxy,
                "locality": said.zone,
                "weight": said.requests_per_second,
                "yes": said.first_connection,
            }
        case ProxyDisconnected():
            return {"verb": "Left", "proxy": said.proxy}
        case EndpointReported():
            return {
                "verb": "TrafficReport",
                "locality": said.zone,
                "worker": said.worker,
                "count": said.attempts,
                "errors": said.failed,
                "cost_s": said.latency,
                "window_s": said.window,
                "usage": load(said.load),
                "own": said.local,
            }
        case DemandReported():
            return {
                "verb": "Traffic" if said.shard is None else "Heat",
                "proxy": said.proxy,
                "service": said.traffic_class,
                "count": said.requests,
                "errors": said.failed,
                "window_s": said.window,
                "setId": said.shard,
            }
        case ShardAssigned():
            return {"verb": "Handed", "setId": said.shard, "yes": said.assigned}
        case ShardRestored():
            return {
                "verb": "Recorded",
                "setId": said.shard,
                "worker": said.worker,
                "weight": said.weight,
            }
        case Acknowledged():
            return {
                "verb": "Receipt",
                "proxy": said.proxy,
                "gen": said.ack_number,
                "cost_s": said.latency,
            }
        case OverrideChanged():
            weights = [list(pair) for pair in said.weights]
            return {
                "verb": "Pinned",
                "product": said.traffic_class,
                "weights": weights,
                "others": said.keep_unlisted,
            }
    raise TypeError(f"no plain form for {said!r}")


def order(said: Plain) -> Order:
    """The order that the plain form names."""
    match said["verb"]:
        case "Upsert":
            return SetWeight(said["setId"], said["worker"], said["weight"])
        case "Empty":
            return DeleteTable(said["setId"])
        case "AttachTable":
            return AssignTable(said["proxy"], tuple(said["lanes"]), said["setId"])
        case "Bench":
            return SetEjected(said["worker"], said["yes"])
        case "SetLevel":
            return SetAdmission(said["setId"], said["lane"], said["how"], said["allowance"])
        case "Seal":
            return RequestAcknowledgement(said["gen"], said["yes"])
        case "Watch":
            return WatchEndpoints(said["yes"])
        case "Pull":
            return ListEndpoints()
        case "Poll":
            return CheckHealth(said["worker"])
        case "Arm":
            return SetTimer(said["delay_s"], said["token"])
        case "Announce":
            return SendToPeers(said["target"], said["payload"])
        case "JournalLine":
            return LogMessage(said["text"])
    raise ValueError(f"no order {said['verb']!r}")


def trade(made: ManagerSettings) -> Plain:
    """What a manager is told at its start, by the INI files' names."""
    channel, duties = made.channel, made.safety_limits
    return {
        "seed": made.seed,
        "zone": made.zone,
        "products": [_product(product) for product in made.traffic_classes],
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
            "bare": duties.max_time_without_endpoint,
            "drain_grace": duties.drain_grace_period,
            "ask_every": duties.list_poll_interval,
            "warm_after": duties.warm_up_time,
            "cold_share": duties.initial_capacity_fraction,
            "fall_multiple": duties.overload_multiple,
            "fall_after": duties.overload_duration,
        },
        "must_ask": made.must_subscribe,
        "probes_allowed": made.can_check_health,
        "report_fields": [WIRE_LOADS.get(name, name) for name in made.load_report_fields],
        "reports_in": made.report_delivery,
        "report_cycle": made.report_interval,
        "usual_retry": made.default_retry_policy,
        "admits": made.admission_mode,
        "slices": made.shard_count,
        "standing": made.initial_subset_size,
    }


def _product(product: TrafficClass) -> Plain:
    return {
        "name": product.name,
        "sla": product.latency_objective,
        "deadline": product.deadline,
        "revenue": product.priority_weight,
        "late_share": product.late_value_fraction,
        "repeats": product.idempotency,
        "group": product.group,
        "window": product.deduplication_window,
        "home_only": product.same_zone_only,
    }
