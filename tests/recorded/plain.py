"""Events, orders and settings as plain JSON values for recorded data.

Keys and words are those of the wire (`dunlinlug/drill`) and of the INI files, never names of the code, so that recorded
values stay as they are when classes and fields are renamed.
"""

import json
from pathlib import Path
from typing import Any

from dunlinlug import interface as face
from dunlinlug.drill import codec
from dunlinlug.told import LOADS

DATA = Path(__file__).parent / "data"
ROOT = Path(__file__).parent.parent.parent

Plain = dict[str, Any]

WIRE_STATES = {ours: wire for wire, ours in codec.STATES.items()}
WIRE_FORMS = {ours: wire for wire, ours in codec.FORMS.items()}
WIRE_LOADS = {ours: wire for wire, ours in LOADS.items()}


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


def worker(one: face.Worker) -> Plain:
    return {
        "worker": one.id,
        "locality": one.zone,
        "classOfHost": one.kind,
        "bay": one.cell,
        "state": WIRE_STATES[one.state],
        "weight": one.weight,
        "since_s": one.since,
    }


def load(values: dict[str, float]) -> Plain:
    return {WIRE_LOADS.get(name, name): value for name, value in values.items()}


def event(said: face.Event) -> Plain:
    """The event under the wire's verb; times in seconds."""
    match said:
        case face.Listed():
            rows = [worker(one) for one in said.workers]
            return {"verb": "Discovery", "form": WIRE_FORMS[said.form], "membersList": rows}
        case face.Rung():
            return {"verb": "Bell", "token": said.token}
        case face.Probed():
            return {
                "verb": "ProbeResult",
                "worker": said.worker,
                "yes": said.ok,
                "rc": said.result,
                "cost_s": said.took,
                "usage": load(said.load),
            }
        case face.PeerSaid():
            return {"verb": "Heard", "originPeer": said.peer, "payload": said.payload}
        case face.Joined():
            return {
                "verb": "Joined",
                "proxy": said.proxy,
                "locality": said.zone,
                "weight": said.txns_per_s,
                "yes": said.first,
            }
        case face.Left():
            return {"verb": "Left", "proxy": said.proxy}
        case face.Met():
            return {
                "verb": "TrafficReport",
                "locality": said.zone,
                "worker": said.worker,
                "count": said.tries,
                "errors": said.voided,
                "cost_s": said.took,
                "window_s": said.span,
                "usage": load(said.load),
                "own": said.own,
            }
        case face.Asked():
            return {
                "verb": "Traffic" if said.slice is None else "Heat",
                "proxy": said.proxy,
                "service": said.product,
                "count": said.txns,
                "errors": said.voided,
                "window_s": said.span,
                "setId": said.slice,
            }
        case face.Given():
            return {"verb": "Handed", "setId": said.slice, "yes": said.given}
        case face.Stored():
            return {
                "verb": "Recorded",
                "setId": said.slice,
                "worker": said.worker,
                "weight": said.weight,
            }
        case face.Answered():
            return {
                "verb": "Receipt",
                "proxy": said.proxy,
                "gen": said.mark,
                "cost_s": said.took,
            }
        case face.Pinned():
            weights = [list(pair) for pair in said.weights]
            return {
                "verb": "Pinned",
                "product": said.product,
                "weights": weights,
                "others": said.others,
            }
    raise TypeError(f"no plain form for {said!r}")


def order(said: Plain) -> face.Order:
    """The order that the plain form names."""
    match said["verb"]:
        case "Upsert":
            return face.Share(said["setId"], said["worker"], said["weight"])
        case "Empty":
            return face.Clear(said["setId"])
        case "AttachTable":
            return face.Bind(said["proxy"], tuple(said["lanes"]), said["setId"])
        case "Bench":
            return face.Withdraw(said["worker"], said["yes"])
        case "SetLevel":
            return face.Admit(said["setId"], said["lane"], said["how"], said["allowance"])
        case "Seal":
            return face.Mark(said["gen"], said["yes"])
        case "Watch":
            return face.Follow(said["yes"])
        case "Pull":
            return face.Fetch()
        case "Poll":
            return face.Probe(said["worker"])
        case "Arm":
            return face.Wake(said["delay_s"], said["token"])
        case "Announce":
            return face.TellPeers(said["target"], said["payload"])
        case "JournalLine":
            return face.Note(said["text"])
    raise ValueError(f"no order {said['verb']!r}")


def trade(made: face.Trade) -> Plain:
    """What a manager is told at its start, by the INI files' names."""
    channel, duties = made.channel, made.duties
    return {
        "seed": made.seed,
        "zone": made.zone,
        "products": [_product(product) for product in made.products],
        "channel": {
            "lines_per_s": channel.lines_per_s,
            "message_lines": channel.message_lines,
            "waiting_most": channel.waiting_most,
            "transit": channel.transit,
            "transit_most": channel.transit_most,
            "messages_most": channel.messages_most,
            "messages_span": channel.messages_span,
        },
        "duties": {
            "bare": duties.bare,
            "drain_grace": duties.drain_grace,
            "ask_every": duties.ask_every,
            "warm_after": duties.warm_after,
            "cold_share": duties.cold_share,
            "fall_multiple": duties.fall_multiple,
            "fall_after": duties.fall_after,
        },
        "must_ask": made.must_ask,
        "probes_allowed": made.may_probe,
        "report_fields": [WIRE_LOADS.get(name, name) for name in made.report_fields],
        "reports_in": made.reports_in,
        "report_cycle": made.report_cycle,
        "usual_retry": made.usual_retry,
        "admits": made.admits,
        "slices": made.slices,
        "standing": made.standing,
    }


def _product(product: face.Product) -> Plain:
    return {
        "name": product.name,
        "sla": product.sla,
        "deadline": product.deadline,
        "revenue": product.revenue,
        "late_share": product.late_share,
        "repeats": product.repeats,
        "group": product.group,
        "window": product.window,
        "home_only": product.home_only,
    }
