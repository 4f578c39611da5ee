"""Events, orders and a manager's settings as JSON that does not depend on names in the code.

The names are those of the simulator's wire format where it has one. Times are exact seconds under
names without the format's `Us`, and floats are written by `repr`, so that two texts are equal only
if every value is equal to the last bit. Patterns and constructors are positional, so that renaming
a field changes nothing here.
"""

import json
from typing import Any

from dunlinlug.config import settings_json
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    ManagerLoadChanged,
    OrderRejected,
    OverrideChanged,
    PartitionLimitsChanged,
    PeerMessageReceived,
    ProxyConnected,
    ProxyDisconnected,
    ShardAssigned,
    ShardRestored,
    TimerFired,
)
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
)
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits, TrafficClass
from dunlinlug.simulator import codec

Neutral = dict[str, Any]
MANAGER = "m"  # the manager's name in written orders

WIRE_STATES = {name: wire for wire, name in codec.ENDPOINT_STATES.items()}
WIRE_UPDATE_TYPES = {name: wire for wire, name in codec.UPDATE_TYPES.items()}
WIRE_IDEMPOTENCY = {name: wire for wire, name in settings_json.IDEMPOTENCY_BY_EFFECT.items()}
WIRE_ADMISSION_MODES = {name: wire for wire, name in settings_json.ADMISSION_MODES.items()}
WIRE_LOAD_FIELDS = {name: wire for wire, name in settings_json.LOAD_FIELD_NAMES.items()}


def text_of(value: object) -> str:
    return json.dumps(value, separators=(",", ":"))


def neutral_order(order: Order) -> Neutral:
    """The simulator's form, with exact values of what that form rounds or leaves out."""
    line = codec.write_order(MANAGER, order)
    match order:
        case SetTimer(after, _):
            line["delay"] = after
        case AssignTable(_, traffic_classes, _):
            line["lanes"] = list(traffic_classes)
    return line


def _order_from(line: Neutral) -> Any:
    """One of the orders that can be rejected."""
    match line["verb"]:
        case "Upsert":
            return SetWeight(line["setId"], line["worker"], line["weight"])
        case "Empty":
            return DeleteTable(line["setId"])
        case "AttachTable":
            return AssignTable(line["proxy"], tuple(line["lanes"]), line["setId"])
        case "Bench":
            return SetEjected(line["worker"], line["yes"])
        case "SetLevel":
            traffic_class = line["classes"].bit_length() - 1
            return SetAdmission(line["setId"], traffic_class, line["how"], line["allowance"])
    raise ValueError(f"{line['verb']} cannot be rejected")


def _neutral_endpoint(endpoint: Endpoint) -> list[Any]:
    match endpoint:
        case Endpoint(name, zone, host_class, cell, state, weight, started_at):
            return [name, zone, host_class, cell, WIRE_STATES[state], weight, started_at]
    raise TypeError(endpoint)


def _endpoint_from(row: list[Any]) -> Endpoint:
    name, zone, host_class, cell, state, weight, started_at = row
    return Endpoint(name, zone, host_class, cell, codec.ENDPOINT_STATES[state], weight, started_at)


def _neutral_load(load: dict[str, float]) -> dict[str, float]:
    return {WIRE_LOAD_FIELDS.get(name, name): value for name, value in load.items()}


def _load_from(usage: dict[str, float]) -> dict[str, float]:
    return {settings_json.LOAD_FIELD_NAMES.get(name, name): value for name, value in usage.items()}


def neutral_event(event: Event) -> Neutral:
    match event:
        case EndpointsUpdated(update_type, endpoints):
            return {
                "verb": "Discovery",
                "form": WIRE_UPDATE_TYPES[update_type],
                "membersList": [_neutral_endpoint(endpoint) for endpoint in endpoints],
            }
        case TimerFired(token):
            return {"verb": "Bell", "token": token}
        case HealthCheckCompleted(worker, healthy, result, latency, load):
            return {
                "verb": "ProbeResult",
                "worker": worker,
                "yes": healthy,
                "rc": result,
                "costTime": latency,
                "usage": _neutral_load(load),
            }
        case PeerMessageReceived(peer, payload):
            return {"verb": "Heard", "originPeer": peer, "payload": payload}
        case ProxyConnected(proxy, zone, requests_per_second, first_connection):
            return {
                "verb": "Joined",
                "proxy": proxy,
                "locality": zone,
                "weight": requests_per_second,
                "yes": first_connection,
            }
        case ProxyDisconnected(proxy):
            return {"verb": "Left", "proxy": proxy}
        case EndpointReported(zone, worker, attempts, failed, latency, window, load, local):
            return {
                "verb": "TrafficReport",
                "locality": zone,
                "worker": worker,
                "count": attempts,
                "errors": failed,
                "costTime": latency,
                "window": window,
                "usage": _neutral_load(load),
                "own": local,
            }
        case DemandReported(proxy, traffic_class, count, failed, window, shard):
            return {
                "verb": "Traffic",
                "proxy": proxy,
                "service": traffic_class,
                "count": count,
                "errors": failed,
                "window": window,
                "setId": shard,
            }
        case ShardAssigned(shard, assigned):
            return {"verb": "Handed", "setId": shard, "yes": assigned}
        case ShardRestored(shard, worker, weight):
            return {"verb": "Recorded", "setId": shard, "worker": worker, "weight": weight}
        case Acknowledged(proxy, ack_number, latency):
            return {"verb": "Receipt", "proxy": proxy, "gen": ack_number, "costTime": latency}
        case OrderRejected(order, reason):
            return {"verb": "Refused", "order": neutral_order(order), "why": reason}
        case OverrideChanged(traffic_class, weights, keep_unlisted):
            return {
                "verb": "Pinned",
                "lane": traffic_class,
                "weights": [list(weight) for weight in weights],
                "others": keep_unlisted,
            }
        case PartitionLimitsChanged(max_ejected_fraction, may_change_weights, may_raise_weights):
            return {
                "verb": "Trusted",
                "share": max_ejected_fraction,
                "begin": may_change_weights,
                "raises": may_raise_weights,
            }
        case ManagerLoadChanged(manager, overloaded, proxies, requests_per_second):
            return {
                "verb": "Laden",
                "manager": manager,
                "over": overloaded,
                "proxies": proxies,
                "weight": requests_per_second,
            }
    raise TypeError(event)


def event_from(line: Neutral) -> Event:
    """Reads what `neutral_event` wrote: the values are in the order of the constructors."""
    verb, *values = line.values()
    match verb:
        case "Discovery":
            update_type, endpoints = values
            return EndpointsUpdated(
                codec.UPDATE_TYPES[update_type], tuple(_endpoint_from(row) for row in endpoints)
            )
        case "ProbeResult":
            worker, healthy, result, latency, usage = values
            return HealthCheckCompleted(worker, healthy, result, latency, _load_from(usage))
        case "TrafficReport":
            *before, usage, local = values
            return EndpointReported(*before, _load_from(usage), local)
        case "Refused":
            order, reason = values
            return OrderRejected(_order_from(order), reason)
        case "Pinned":
            traffic_class, weights, keep_unlisted = values
            return OverrideChanged(
                traffic_class, tuple((name, weight) for name, weight in weights), keep_unlisted
            )
    return PLAIN_EVENTS[verb](*values)


PLAIN_EVENTS: dict[str, Any] = {
    "Bell": TimerFired,
    "Heard": PeerMessageReceived,
    "Joined": ProxyConnected,
    "Left": ProxyDisconnected,
    "Traffic": DemandReported,
    "Handed": ShardAssigned,
    "Recorded": ShardRestored,
    "Receipt": Acknowledged,
    "Trusted": PartitionLimitsChanged,
    "Laden": ManagerLoadChanged,
}


def neutral_settings(settings: ManagerSettings) -> list[Any]:
    """A manager's settings, in the order of the constructor's parameters."""
    match settings:
        case ManagerSettings(
            seed,
            zone,
            traffic_classes,
            channel,
            safety_limits,
            must_subscribe,
            can_check_health,
            report_fields,
            report_delivery,
            report_interval,
            default_retry_policy,
            admission_mode,
            shard_count,
            subset_size,
        ):
            return [
                seed,
                zone,
                [_neutral_traffic_class(traffic_class) for traffic_class in traffic_classes],
                _neutral_channel(channel),
                _neutral_safety_limits(safety_limits),
                must_subscribe,
                can_check_health,
                [WIRE_LOAD_FIELDS.get(name, name) for name in report_fields],
                report_delivery,
                report_interval,
                default_retry_policy,
                WIRE_ADMISSION_MODES.get(admission_mode, admission_mode),
                shard_count,
                subset_size,
            ]
    raise TypeError(settings)


def _neutral_traffic_class(traffic_class: TrafficClass) -> list[Any]:
    match traffic_class:
        case TrafficClass(
            name,
            latency_objective,
            deadline,
            priority_weight,
            late_value_fraction,
            idempotency,
            group,
            window,
            same_zone_only,
        ):
            effect = WIRE_IDEMPOTENCY[idempotency]
            return [
                name,
                latency_objective,
                deadline,
                priority_weight,
                late_value_fraction,
                effect,
                group,
                window,
                same_zone_only,
            ]
    raise TypeError(traffic_class)


def _neutral_channel(channel: ChannelSettings) -> list[Any]:
    match channel:
        case ChannelSettings(
            entries_per_second,
            message_overhead,
            max_queued_entries,
            transit_time,
            max_transit_time,
            max_messages,
            message_window,
        ):
            return [
                entries_per_second,
                message_overhead,
                max_queued_entries,
                transit_time,
                max_transit_time,
                max_messages,
                message_window,
            ]
    raise TypeError(channel)


def _neutral_safety_limits(safety_limits: SafetyLimits) -> list[Any]:
    match safety_limits:
        case SafetyLimits(
            max_time_without_endpoint,
            drain_grace_period,
            list_poll_interval,
            warm_up_time,
            initial_capacity,
            overload_multiple,
            overload_duration,
        ):
            return [
                max_time_without_endpoint,
                drain_grace_period,
                list_poll_interval,
                warm_up_time,
                initial_capacity,
                overload_multiple,
                overload_duration,
            ]
    raise TypeError(safety_limits)


def settings_from(line: list[Any]) -> ManagerSettings:
    (
        seed,
        zone,
        traffic_classes,
        channel,
        safety_limits,
        must_subscribe,
        can_check_health,
        report_fields,
        report_delivery,
        report_interval,
        default_retry_policy,
        admission_mode,
        *rest,
    ) = line
    return ManagerSettings(
        seed,
        zone,
        tuple(_traffic_class_from(traffic_class) for traffic_class in traffic_classes),
        ChannelSettings(*channel),
        SafetyLimits(*safety_limits),
        must_subscribe,
        can_check_health,
        tuple(settings_json.LOAD_FIELD_NAMES.get(name, name) for name in report_fields),
        report_delivery,
        report_interval,
        default_retry_policy,
        settings_json.ADMISSION_MODES.get(admission_mode, admission_mode),
        *rest,
    )


def _traffic_class_from(line: list[Any]) -> TrafficClass:
    name, latency_objective, deadline, priority_weight, late_value_fraction, effect, *rest = line
    return TrafficClass(
        name,
        latency_objective,
        deadline,
        priority_weight,
        late_value_fraction,
        settings_json.IDEMPOTENCY_BY_EFFECT[effect],
        *rest,
    )
