"""The wire's JSON to the interface's types and back; units and words change here and nowhere else."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dunlinlug import interface as face

MICRO = 1e6
MILLI = 1e3
REPEATS = {"pure": "inquiry-like", "token": "referenced", "side_effect": "once-only"}
STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
ADMITS = {"ratio": "share", "rps": "rate"}
FORMS = {"update": "changes", "replace": "whole", "restored": "kept", "unavailable": "failed"}
LOADS = {"depth": "queue", "mean_ms": "service_s", "concurrent": "held", "load_share": "busy",
         "tps": "settled_per_s", "err_ps": "voided_per_s"}
IN_MILLIS = frozenset({"service_s"})


class WireFault(Exception):
    """A line that is not what the wire's page allows."""


@dataclass(frozen=True)
class Batch:
    now: float
    number: int | None
    happened: list[tuple[str, str, dict]]


def read_batch(line: bytes) -> Batch:
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise WireFault(f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise WireFault("a batch is an object")
    now, happened = raw.get("nowUs"), raw.get("happened")
    if not isinstance(now, int) or isinstance(now, bool):
        raise WireFault("'nowUs' is missing or not a whole number")
    if not isinstance(happened, list):
        raise WireFault("'happened' is missing or not an array")
    events = []
    for body in happened:
        if not isinstance(body, dict):
            raise WireFault("an event is an object")
        verb, manager = body.get("verb"), body.get("manager")
        if not isinstance(verb, str):
            raise WireFault("an event has no 'verb'")
        if verb not in KNOWN:
            continue
        if not isinstance(manager, str):
            raise WireFault(f"'{verb}' has no 'manager'")
        events.append((manager, verb, body))
    number = raw.get("n")
    if number is not None and not isinstance(number, int):
        raise WireFault("'n' is not a whole number")
    return Batch(now / MICRO, number, events)


def _guarded(verb: str, read: Callable[[], Any]) -> Any:
    try:
        return read()
    except KeyError as error:
        raise WireFault(f"'{verb}' lacks {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireFault(f"'{verb}' has a field of the wrong kind: {error}") from None


def read_event(verb: str, body: dict, fields: tuple[str, ...]) -> face.Event:
    """The event in our words; `fields` names the values of this instance's load reports."""
    return _guarded(verb, lambda: LOADED[verb](body, fields) if verb in LOADED else READERS[verb](body))


def _load(body: dict, fields: tuple[str, ...]) -> dict[str, float]:
    values = zip(fields, body.get("usage") or (), strict=False)
    return {name: float(value) / (MILLI if name in IN_MILLIS else 1.0) for name, value in values}


def read_trade(body: dict) -> face.Trade:
    return _guarded("NewInstance", lambda: _trade(body["nonce64"], body["info"]))


def _s(micros: float) -> float:
    return micros / MICRO


def _trade(seed: int, info: dict) -> face.Trade:
    spec, rules, caps = info["specifics"], info["rules"], info.get("caps", {})
    reporting = info.get("reporting") or {}
    home_only = spec.get("homeOnly") or []
    products = tuple(
        face.Product(
            name=lane["name"], sla=_s(lane["aimUs"]), expiry=_s(lane["hardLimitUs"]),
            revenue=float(lane["points"]),
            late_share=float(lane.get("lateShare") or 0.0), repeats=REPEATS[lane["effect"]],
            group=lane.get("group") or "all", window=_s(lane.get("windowUs") or 0),
            home_only=bool(k < len(home_only) and home_only[k]),
        )
        for k, lane in enumerate(info["lanes"])
    )
    channel = face.Channel(
        lines_per_s=float(spec["egressPerS"]), message_lines=float(spec["perMessage"]),
        waiting_most=float(spec["pendingMax"]), transit=_s(spec["transitUs"]),
        transit_most=_s(spec.get("lateMostUs") or spec["transitUs"]),
        messages_most=int(spec.get("messagesMost") or 0),
        messages_span=_s(spec.get("reloadSpanUs") or 10 * MICRO),
    )
    duties = face.Duties(
        bare=_s(spec["emptyForUs"]), drain_grace=_s(rules["drainGraceUs"]),
        ask_every=_s(rules.get("askEveryUs") or 0),
        warm_after=_s(rules["coldUs"]), cold_share=float(rules["startCapacity"]),
        fall_multiple=float(rules["tipMultiple"]), fall_after=_s(rules["fallUs"]),
    )
    return face.Trade(
        seed=seed, zone=info["zone"], products=products, channel=channel, duties=duties,
        must_ask=info.get("membershipMode") == "subscribe", may_probe=bool(caps.get("probes")),
        report_fields=tuple(LOADS.get(name, name) for name in reporting.get("fields") or ()),
        reports_in=reporting.get("how") or "none", report_cycle=_s(spec.get("cycleUs") or MICRO),
        usual_retry=int(spec.get("usualHow") or 0), admits=ADMITS.get(spec.get("admit"), "none"),
        slices=int(spec.get("keyRanges") or 0), standing=max(1, int(spec.get("initialSet") or 1)),
    )


def _worker(row: dict) -> face.Worker:
    weight, since = row.get("weight"), row.get("sinceUs")
    return face.Worker(
        id=row["worker"], zone=row["locality"], kind=row.get("classOfHost") or "", cell=row.get("bay") or 0,
        state=STATES[row["state"]], weight=None if weight is None else float(weight),
        since=_s(since) if since else None,
    )


def _listed(body: dict) -> face.Listed:
    return face.Listed(FORMS[body["form"]], tuple(_worker(row) for row in body.get("membersList") or ()))


READERS: dict[str, Callable[[dict], face.Event]] = {
    "Discovery": _listed,
    "Bell": lambda b: face.Rung(b["token"]),
    "Heard": lambda b: face.PeerSaid(b["originPeer"], b.get("payload") or ""),
    "Joined": lambda b: face.Joined(b["proxy"], b["locality"], float(b.get("weight") or 0.0), bool(b["yes"])),
    "Left": lambda b: face.Left(b["proxy"]),
    "Traffic": lambda b: face.Asked(b["proxy"], b["service"], b["count"], b["errors"], _s(b["windowUs"])),
    "Heat": lambda b: face.Asked(None, b["service"], b["count"], b["errors"], _s(b["windowUs"]), b["setId"]),
    "Handed": lambda b: face.Given(b["setId"], bool(b["yes"])),
    "Recorded": lambda b: face.Stored(b["setId"], b["worker"], float(b["weight"])),
    "Receipt": lambda b: face.Answered(b["proxy"], b["gen"], _s(b.get("costTimeUs") or 0)),
}

LOADED: dict[str, Callable[[dict, tuple[str, ...]], face.Event]] = {
    "ProbeResult": lambda b, f: face.Probed(b["worker"], b["rc"] == "ok", b["rc"],
                                            _s(b.get("costTimeUs") or 0), _load(b, f)),
    "TrafficReport": lambda b, f: face.Met(b["locality"], b["worker"], b["count"], b["errors"],
                                           _s(b["costTimeUs"] or 0), _s(b["windowUs"]), _load(b, f)),
}
KNOWN = {"NewInstance", "Detach"} | READERS.keys() | LOADED.keys()

WRITERS: dict[type, Callable[[Any], dict]] = {
    face.Share: lambda o: {"verb": "Upsert", "setId": o.tbl, "worker": o.worker, "weight": o.weight},
    face.Clear: lambda o: {"verb": "Empty", "setId": o.tbl},
    face.Bind: lambda o: {"verb": "AttachTable", "proxy": o.proxy, "setId": o.tbl,
                          "classes": sum(1 << k for k in o.products)},
    face.Withdraw: lambda o: {"verb": "Bench", "worker": o.worker, "yes": o.out},
    face.Admit: lambda o: {"verb": "SetLevel", "how": o.retry, "classes": 1 << o.product, "setId": o.tbl,
                           "allowance": o.share},
    face.Mark: lambda o: {"verb": "Seal", "gen": o.number, "yes": o.everyone},
    face.Follow: lambda o: {"verb": "Watch", "yes": o.on},
    face.Fetch: lambda o: {"verb": "Pull"},
    face.Probe: lambda o: {"verb": "Poll", "worker": o.worker},
    face.Wake: lambda o: {"verb": "Arm", "delayUs": max(0, round(o.after * MICRO)), "token": o.token},
    face.TellPeers: lambda o: {"verb": "Announce", "target": o.peer, "payload": o.payload},
    face.Note: lambda o: {"verb": "JournalLine", "text": o.text},
}


def write_order(manager: str, order: face.Order) -> dict:
    return {**WRITERS[type(order)](order), "manager": manager}
