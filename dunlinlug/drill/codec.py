"""The wire's JSON to the interface's types and back; units and words change here and nowhere else."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dunlinlug import interface as face
from dunlinlug.told import IN_MILLIS, MICRO, MILLI, read_trade
from dunlinlug.told import seconds as _s

STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
FORMS = {"update": "changes", "replace": "whole", "restored": "kept", "unavailable": "failed"}


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
    return _guarded(
        verb, lambda: LOADED[verb](body, fields) if verb in LOADED else READERS[verb](body)
    )


def _load(body: dict, fields: tuple[str, ...]) -> dict[str, float]:
    values = zip(fields, body.get("usage") or (), strict=False)
    return {name: float(value) / (MILLI if name in IN_MILLIS else 1.0) for name, value in values}


def read_start(body: dict) -> face.Trade:
    return _guarded("NewInstance", lambda: read_trade(body["nonce64"], body["info"]))


def _worker(row: dict) -> face.Worker:
    weight, since = row.get("weight"), row.get("sinceUs")
    return face.Worker(
        id=row["worker"],
        zone=row["locality"],
        kind=row.get("classOfHost") or "",
        cell=row.get("bay") or 0,
        state=STATES[row["state"]],
        weight=None if weight is None else float(weight),
        since=_s(since) if since else None,
    )


def _listed(body: dict) -> face.Listed:
    return face.Listed(
        FORMS[body["form"]], tuple(_worker(row) for row in body.get("membersList") or ())
    )


READERS: dict[str, Callable[[dict], face.Event]] = {
    "Discovery": _listed,
    "Bell": lambda b: face.Rung(b["token"]),
    "Heard": lambda b: face.PeerSaid(b["originPeer"], b.get("payload") or ""),
    "Joined": lambda b: face.Joined(
        b["proxy"], b["locality"], float(b.get("weight") or 0.0), bool(b["yes"])
    ),
    "Left": lambda b: face.Left(b["proxy"]),
    "Traffic": lambda b: face.Asked(
        b["proxy"], b["service"], b["count"], b["errors"], _s(b["windowUs"])
    ),
    "Heat": lambda b: face.Asked(
        None, b["service"], b["count"], b["errors"], _s(b["windowUs"]), b["setId"]
    ),
    "Handed": lambda b: face.Given(b["setId"], bool(b["yes"])),
    "Recorded": lambda b: face.Stored(b["setId"], b["worker"], float(b["weight"])),
    "Receipt": lambda b: face.Answered(b["proxy"], b["gen"], _s(b.get("costTimeUs") or 0)),
}

LOADED: dict[str, Callable[[dict, tuple[str, ...]], face.Event]] = {
    "ProbeResult": lambda b, f: face.Probed(
        b["worker"], b["rc"] == "ok", b["rc"], _s(b.get("costTimeUs") or 0), _load(b, f)
    ),
    "TrafficReport": lambda b, f: face.Met(
        b["locality"],
        b["worker"],
        b["count"],
        b["errors"],
        _s(b["costTimeUs"] or 0),
        _s(b["windowUs"]),
        _load(b, f),
    ),
}
KNOWN = {"NewInstance", "Detach"} | READERS.keys() | LOADED.keys()

WRITERS: dict[type, Callable[[Any], dict]] = {
    face.Share: lambda o: {
        "verb": "Upsert",
        "setId": o.tbl,
        "worker": o.worker,
        "weight": o.weight,
    },
    face.Clear: lambda o: {"verb": "Empty", "setId": o.tbl},
    face.Bind: lambda o: {
        "verb": "AttachTable",
        "proxy": o.proxy,
        "setId": o.tbl,
        "classes": sum(1 << k for k in o.products),
    },
    face.Withdraw: lambda o: {"verb": "Bench", "worker": o.worker, "yes": o.out},
    face.Admit: lambda o: {
        "verb": "SetLevel",
        "how": o.retry,
        "classes": 1 << o.product,
        "setId": o.tbl,
        "allowance": o.share,
    },
    face.Mark: lambda o: {"verb": "Seal", "gen": o.number, "yes": o.everyone},
    face.Follow: lambda o: {"verb": "Watch", "yes": o.on},
    face.Fetch: lambda o: {"verb": "Pull"},
    face.Probe: lambda o: {"verb": "Poll", "worker": o.worker},
    face.Wake: lambda o: {
        "verb": "Arm",
        "delayUs": max(0, round(o.after * MICRO)),
        "token": o.token,
    },
    face.TellPeers: lambda o: {"verb": "Announce", "target": o.peer, "payload": o.payload},
    face.Note: lambda o: {"verb": "JournalLine", "text": o.text},
}


def write_order(manager: str, order: face.Order) -> dict:
    return {**WRITERS[type(order)](order), "manager": manager}
