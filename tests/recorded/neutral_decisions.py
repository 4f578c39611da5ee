"""Events, orders and a manager's settings as JSON under names of the wire, whatever our classes and
fields are called.

The simulator's wire names are used where it has one. Times are exact seconds under names without
the wire's `Us`, and floats are written by `repr`, so that two texts are equal only if every value
is equal to the last bit. Patterns and constructors are positional: renaming a field changes nothing
here.
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
MANAGER = "m"  # the name under which orders are written

WIRE_STATES = {ours: wire for wire, ours in codec.ENDPOINT_STATES.items()}
WIRE_FORMS = {ours: wire for wire, ours in codec.UPDATE_TYPES.items()}
WIRE_EFFECTS = {ours: wire for wire, ours in settings_json.IDEMPOTENCY_BY_EFFECT.items()}
WIRE_ADMITS = {ours: wire for wire, ours in settings_json.ADMISSION_MODES.items()}
WIRE_LOADS = {ours: wire for wire, ours in settings_json.LOAD_FIELD_NAMES.items()}


def text_of(value: object) -> str:
    return json.dumps(value, separators=(",", ":"))


def neutral_order(order: Order) -> Neutral:
    """The simulator's form, and beside it what that form rounds or leaves out."""
    line = codec.write_order(MANAGER, order)
    match order:
        case SetTimer(after, _):
            line["delay"] = after
        case AssignTable(_, products, _):
            line["lanes"] = list(products)
    return line


def _order_from(line: Neutral) -> Any:
    """One of the orders that can be refused."""
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
            product = line["classes"].bit_length() - 1
            return SetAdmission(line["setId"], product, line["how"], line["allowance"])
    raise ValueError(f"{line['verb']} cannot be refused")


def _neutral_worker(worker: Endpoint) -> list[Any]:
    match worker:
        case Endpoint(name, zone, kind, cell, state, weight, since):
            return [name, zone, kind, cell, WIRE_STATES[state], weight, since]
    raise TypeError(worker)


def _worker_from(row: list[Any]) -> Endpoint:
    name, zone, kind, cell, state, weight, since = row
    return Endpoint(name, zone, kind, cell, codec.ENDPOINT_STATES[state], weight, since)


def _neutral_load(load: dict[str, float]) -> dict[str, float]:
    return {WIRE_LOADS.get(name, name): value for name, value in load.items()}


def _load_from(usage: dict[str, float]) -> dict[str, float]:
    return {settings_json.LOAD_FIELD_NAMES.get(name, name): value for name, value in usage.items()}


def neutral_event(event: Event) -> Neutral:
    match event:
        case EndpointsUpdated(form, workers):
            return {
                "verb": "Discovery",
                "form": WIRE_FORMS[form],
                "membersList": [_neutral_worker(worker) for worker in workers],
            }
        case TimerFired(token):
            return {"verb": "Bell", "token": token}
        case HealthCheckCompleted(worker, ok, result, took, load):
            return {
                "verb": "ProbeResult",
                "worker": worker,
                "yes": ok,
                "rc": result,
                "costTime": took,
                "usage": _neutral_load(load),
            }
        case PeerMessageReceived(peer, payload):
            return {"verb": "Heard", "originPeer": peer, "payload": payload}
        case ProxyConnected(proxy, zone, rate, first):
            return {
                "verb": "Joined",
                "proxy": proxy,
                "locality": zone,
                "weight": rate,
                "yes": first,
            }
        case ProxyDisconnected(proxy):
            return {"verb": "Left", "proxy": proxy}
        case EndpointReported(zone, worker, tries, errors, took, span, load, own):
            return {
                "verb": "TrafficReport",
                "locality": zone,
                "worker": worker,
                "count": tries,
                "errors": errors,
                "costTime": took,
                "window": span,
                "usage": _neutral_load(load),
                "own": own,
            }
        case DemandReported(proxy, product, count, errors, span, key_range):
            return {
                "verb": "Traffic",
                "proxy": proxy,
                "service": product,
                "count": count,
                "errors": errors,
                "window": span,
                "setId": key_range,
            }
        case ShardAssigned(key_range, given):
            return {"verb": "Handed", "setId": key_range, "yes": given}
        case ShardRestored(key_range, worker, weight):
            return {"verb": "Recorded", "setId": key_range, "worker": worker, "weight": weight}
        case Acknowledged(proxy, mark, took):
            return {"verb": "Receipt", "proxy": proxy, "gen": mark, "costTime": took}
        case OrderRejected(order, why):
            return {"verb": "Refused", "order": neutral_order(order), "why": why}
        case OverrideChanged(product, weights, others):
            return {
                "verb": "Pinned",
                "lane": product,
                "weights": [list(weight) for weight in weights],
                "others": others,
            }
        case PartitionLimitsChanged(share, begin, raises):
            return {"verb": "Trusted", "share": share, "begin": begin, "raises": raises}
        case ManagerLoadChanged(manager, over, proxies, rate):
            return {
                "verb": "Laden",
                "manager": manager,
                "over": over,
                "proxies": proxies,
                "weight": rate,
            }
    raise TypeError(event)


def event_from(line: Neutral) -> Event:
    """What `neutral_event` wrote: the values stand in the order of our constructors."""
    verb, *values = line.values()
    match verb:
        case "Discovery":
            form, workers = values
            return EndpointsUpdated(
                codec.UPDATE_TYPES[form], tuple(_worker_from(row) for row in workers)
            )
        case "ProbeResult":
            worker, ok, result, took, usage = values
            return HealthCheckCompleted(worker, ok, result, took, _load_from(usage))
        case "TrafficReport":
            *before, usage, own = values
            return EndpointReported(*before, _load_from(usage), own)
        case "Refused":
            order, why = values
            return OrderRejected(_order_from(order), why)
        case "Pinned":
            product, weights, others = values
            return OverrideChanged(
                product, tuple((name, weight) for name, weight in weights), others
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
    """A manager's settings, in the order of their constructor."""
    match settings:
        case ManagerSettings(
            seed,
            zone,
            products,
            channel,
            duties,
            must_ask,
            may_probe,
            report_fields,
            reports_in,
            report_cycle,
            usual_retry,
            admits,
            slices,
            standing,
        ):
            return [
                seed,
                zone,
                [_neutral_product(product) for product in products],
                _neutral_channel(channel),
                _neutral_duties(duties),
                must_ask,
                may_probe,
                [WIRE_LOADS.get(name, name) for name in report_fields],
                reports_in,
                report_cycle,
                usual_retry,
                WIRE_ADMITS.get(admits, admits),
                slices,
                standing,
            ]
    raise TypeError(settings)


def _neutral_product(product: TrafficClass) -> list[Any]:
    match product:
        case TrafficClass(name, aim, limit, points, late, repeats, group, window, home_only):
            effect = WIRE_EFFECTS[repeats]
            return [name, aim, limit, points, late, effect, group, window, home_only]
    raise TypeError(product)


def _neutral_channel(channel: ChannelSettings) -> list[Any]:
    match channel:
        case ChannelSettings(rate, message, waiting, transit, transit_most, messages, span):
            return [rate, message, waiting, transit, transit_most, messages, span]
    raise TypeError(channel)


def _neutral_duties(duties: SafetyLimits) -> list[Any]:
    match duties:
        case SafetyLimits(bare, grace, ask_every, warm_after, cold_share, multiple, fall_after):
            return [bare, grace, ask_every, warm_after, cold_share, multiple, fall_after]
    raise TypeError(duties)


def settings_from(line: list[Any]) -> ManagerSettings:
    seed, zone, products, channel, duties, ask, probe, fields, how, cycle, retry, admit, *rest = (
        line
    )
    return ManagerSettings(
        seed,
        zone,
        tuple(_product_from(product) for product in products),
        ChannelSettings(*channel),
        SafetyLimits(*duties),
        ask,
        probe,
        tuple(settings_json.LOAD_FIELD_NAMES.get(name, name) for name in fields),
        how,
        cycle,
        retry,
        settings_json.ADMISSION_MODES.get(admit, admit),
        *rest,
    )


def _product_from(line: list[Any]) -> TrafficClass:
    name, aim, limit, points, late, effect, *rest = line
    return TrafficClass(
        name, aim, limit, points, late, settings_json.IDEMPOTENCY_BY_EFFECT[effect], *rest
    )
