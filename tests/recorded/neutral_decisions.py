"""Events, orders and a manager's settings as JSON under names of the wire, whatever our classes and fields are called.

The simulator's wire names are used where it has one. Times are exact seconds under names without the wire's `Us`, and
floats are written by `repr`, so that two texts are equal only if every value is equal to the last bit. Patterns and
constructors are positional: renaming a field changes nothing here.
"""

import json
from typing import Any

from dunlinlug import interface as face
from dunlinlug import told
from dunlinlug.drill import codec

Neutral = dict[str, Any]
MANAGER = "m"  # the name under which orders are written

WIRE_STATES = {ours: wire for wire, ours in codec.STATES.items()}
WIRE_FORMS = {ours: wire for wire, ours in codec.FORMS.items()}
WIRE_EFFECTS = {ours: wire for wire, ours in told.REPEATS.items()}
WIRE_ADMITS = {ours: wire for wire, ours in told.ADMITS.items()}
WIRE_LOADS = {ours: wire for wire, ours in told.LOADS.items()}


def text_of(value: object) -> str:
    return json.dumps(value, separators=(",", ":"))


def neutral_order(order: face.Order) -> Neutral:
    """The simulator's form, and beside it what that form rounds or leaves out."""
    line = codec.write_order(MANAGER, order)
    match order:
        case face.Wake(after, _):
            line["delay"] = after
        case face.Bind(_, products, _):
            line["lanes"] = list(products)
    return line


def _order_from(line: Neutral) -> Any:
    """One of the orders that can be refused."""
    match line["verb"]:
        case "Upsert":
            return face.Share(line["setId"], line["worker"], line["weight"])
        case "Empty":
            return face.Clear(line["setId"])
        case "AttachTable":
            return face.Bind(line["proxy"], tuple(line["lanes"]), line["setId"])
        case "Bench":
            return face.Withdraw(line["worker"], line["yes"])
        case "SetLevel":
            product = line["classes"].bit_length() - 1
            return face.Admit(line["setId"], product, line["how"], line["allowance"])
    raise ValueError(f"{line['verb']} cannot be refused")


def _neutral_worker(worker: face.Worker) -> list[Any]:
    match worker:
        case face.Worker(name, zone, kind, cell, state, weight, since):
            return [name, zone, kind, cell, WIRE_STATES[state], weight, since]
    raise TypeError(worker)


def _worker_from(row: list[Any]) -> face.Worker:
    name, zone, kind, cell, state, weight, since = row
    return face.Worker(name, zone, kind, cell, codec.STATES[state], weight, since)


def _neutral_load(load: dict[str, float]) -> dict[str, float]:
    return {WIRE_LOADS.get(name, name): value for name, value in load.items()}


def _load_from(usage: dict[str, float]) -> dict[str, float]:
    return {told.LOADS.get(name, name): value for name, value in usage.items()}


def neutral_event(event: face.Event) -> Neutral:
    match event:
        case face.Listed(form, workers):
            return {
                "verb": "Discovery",
                "form": WIRE_FORMS[form],
                "membersList": [_neutral_worker(worker) for worker in workers],
            }
        case face.Rung(token):
            return {"verb": "Bell", "token": token}
        case face.Probed(worker, ok, result, took, load):
            return {
                "verb": "ProbeResult",
                "worker": worker,
                "yes": ok,
                "rc": result,
                "costTime": took,
                "usage": _neutral_load(load),
            }
        case face.PeerSaid(peer, payload):
            return {"verb": "Heard", "originPeer": peer, "payload": payload}
        case face.Joined(proxy, zone, rate, first):
            return {
                "verb": "Joined",
                "proxy": proxy,
                "locality": zone,
                "weight": rate,
                "yes": first,
            }
        case face.Left(proxy):
            return {"verb": "Left", "proxy": proxy}
        case face.Met(zone, worker, tries, errors, took, span, load, own):
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
        case face.Asked(proxy, product, count, errors, span, key_range):
            return {
                "verb": "Traffic",
                "proxy": proxy,
                "service": product,
                "count": count,
                "errors": errors,
                "window": span,
                "setId": key_range,
            }
        case face.Given(key_range, given):
            return {"verb": "Handed", "setId": key_range, "yes": given}
        case face.Stored(key_range, worker, weight):
            return {"verb": "Recorded", "setId": key_range, "worker": worker, "weight": weight}
        case face.Answered(proxy, mark, took):
            return {"verb": "Receipt", "proxy": proxy, "gen": mark, "costTime": took}
        case face.Refused(order, why):
            return {"verb": "Refused", "order": neutral_order(order), "why": why}
        case face.Pinned(product, weights, others):
            return {
                "verb": "Pinned",
                "lane": product,
                "weights": [list(weight) for weight in weights],
                "others": others,
            }
        case face.Trusted(share, begin, raises):
            return {"verb": "Trusted", "share": share, "begin": begin, "raises": raises}
        case face.Laden(manager, over, proxies, rate):
            return {
                "verb": "Laden",
                "manager": manager,
                "over": over,
                "proxies": proxies,
                "weight": rate,
            }
    raise TypeError(event)


def event_from(line: Neutral) -> face.Event:
    """What `neutral_event` wrote: the values stand in the order of our constructors."""
    verb, *values = line.values()
    match verb:
        case "Discovery":
            form, workers = values
            return face.Listed(codec.FORMS[form], tuple(_worker_from(row) for row in workers))
        case "ProbeResult":
            worker, ok, result, took, usage = values
            return face.Probed(worker, ok, result, took, _load_from(usage))
        case "TrafficReport":
            *before, usage, own = values
            return face.Met(*before, _load_from(usage), own)
        case "Refused":
            order, why = values
            return face.Refused(_order_from(order), why)
        case "Pinned":
            product, weights, others = values
            return face.Pinned(product, tuple((name, weight) for name, weight in weights), others)
    return PLAIN_EVENTS[verb](*values)


PLAIN_EVENTS: dict[str, Any] = {
    "Bell": face.Rung,
    "Heard": face.PeerSaid,
    "Joined": face.Joined,
    "Left": face.Left,
    "Traffic": face.Asked,
    "Handed": face.Given,
    "Recorded": face.Stored,
    "Receipt": face.Answered,
    "Trusted": face.Trusted,
    "Laden": face.Laden,
}


def neutral_settings(settings: face.Trade) -> list[Any]:
    """A manager's settings, in the order of their constructor."""
    match settings:
        case face.Trade(
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


def _neutral_product(product: face.Product) -> list[Any]:
    match product:
        case face.Product(name, aim, limit, points, late, repeats, group, window, home_only):
            effect = WIRE_EFFECTS[repeats]
            return [name, aim, limit, points, late, effect, group, window, home_only]
    raise TypeError(product)


def _neutral_channel(channel: face.Channel) -> list[Any]:
    match channel:
        case face.Channel(rate, message, waiting, transit, transit_most, messages, span):
            return [rate, message, waiting, transit, transit_most, messages, span]
    raise TypeError(channel)


def _neutral_duties(duties: face.Duties) -> list[Any]:
    match duties:
        case face.Duties(bare, grace, ask_every, warm_after, cold_share, multiple, fall_after):
            return [bare, grace, ask_every, warm_after, cold_share, multiple, fall_after]
    raise TypeError(duties)


def settings_from(line: list[Any]) -> face.Trade:
    seed, zone, products, channel, duties, ask, probe, fields, how, cycle, retry, admit, *rest = (
        line
    )
    return face.Trade(
        seed,
        zone,
        tuple(_product_from(product) for product in products),
        face.Channel(*channel),
        face.Duties(*duties),
        ask,
        probe,
        tuple(told.LOADS.get(name, name) for name in fields),
        how,
        cycle,
        retry,
        told.ADMITS.get(admit, admit),
        *rest,
    )


def _product_from(line: list[Any]) -> face.Product:
    name, aim, limit, points, late, effect, *rest = line
    return face.Product(name, aim, limit, points, late, told.REPEATS[effect], *rest)
