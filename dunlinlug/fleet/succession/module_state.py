"""The decision module's state as it travels to a successor: each class's wire names, and the way there and back.

On the left stand names on the wire, which managers of former versions read; on the right attributes of the code. A
renamed attribute is renamed on the right alone. `tests/recorded/` holds both to a module that has run.
"""

from random import Random
from typing import Any

from dunlinlug import interface as face
from dunlinlug.balance import Account, Balancer, Gate, Health
from dunlinlug.bookkeeping.cover import Cover
from dunlinlug.bookkeeping.lines import Lines
from dunlinlug.bookkeeping.listing import Fleet
from dunlinlug.bookkeeping.outstanding import Stretch
from dunlinlug.bookkeeping.seating import Proxy, Seating, Table
from dunlinlug.fleet.succession.plain import FieldFault, PlainFault, WireForm
from dunlinlug.state import Change

CHANNEL = WireForm(
    face.Channel,
    "Channel",
    {
        "lines_per_s": "lines_per_s",
        "message_lines": "message_lines",
        "waiting_most": "waiting_most",
        "transit": "transit",
        "transit_most": "transit_most",
        "messages_most": "messages_most",
        "messages_span": "messages_span",
    },
)

TRUSTED = WireForm(
    face.Trusted,
    "Trusted",
    {
        "share": "share",
        "begin": "begin",
        "raises": "raises",
    },
)

PINNED = WireForm(
    face.Pinned,
    "Pinned",
    {
        "product": "product",
        "weights": "weights",
        "others": "others",
    },
)

STRETCH = WireForm(
    Stretch,
    "Stretch",
    {
        "owed": "owed",
        "ahead": "ahead",
        "waiting": "waiting",
    },
)

ACCOUNT = WireForm(
    Account,
    "Account",
    {
        "kept": "kept",
        "waits": "waits",
        "sent": "sent",
        "queue": "queue",
        "asked": "asked",
        "written": "written",
        "channel": "channel",
        "rate": "rate",
        "few": "few",
    },
)

HEALTH = WireForm(
    Health,
    "Health",
    {
        "half": "half",
        "first": "first",
        "bounds": "bounds",
        "tries": "tries",
        "voided": "voided",
        "took": "took",
        "heard_at": "heard_at",
        "rest": "rest",
        "due": "due",
        "cap": "cap",
        "full": "full",
        "listed": "listed",
        "moved": "moved",
        "proof": "proof",
        "proven": "proven",
        "calm": "calm",
        "ceiling": "ceiling",
    },
    local=(*Health.DERIVED, "uniform"),
)

GATE = WireForm(
    Gate,
    "Gate",
    {
        "sla": "sla",
        "order": "order",
        "asked": "asked",
        "came": "came",
        "settled": "settled",
        "rate": "rate",
        "best": "best",
        "share": "share",
        "knee": "knee",
        "last": "last",
        "calm": "calm",
        "queues": "queues",
    },
)

FLEET = WireForm(
    Fleet,
    "Fleet",
    {
        "index": "index",
        "ids": "ids",
        "zones": "zones",
        "ready": "ready",
        "weight": "weight",
        "since": "since",
        "moved": "moved",
        "turned": "turned",
        "weights": "weights",
        "untold": "untold",
        "rows": "rows",
        "sum": "sum",
    },
    local=("usual",),
)

LINES = WireForm(
    Lines,
    "Lines",
    {
        "parts": "parts",
        "plain": "plain",
        "log": "log",
        "cut": "cut",
        "out": "out",
        "sum": "sum",
        "summed": "summed",
        "last": "last",
        "loose": "loose",
    },
)

COVER = WireForm(
    Cover,
    "Cover",
    {
        "counts": "counts",
        "turned": "turned",
        "bare": "bare",
        "seen": "seen",
    },
)

TABLE = WireForm(
    Table,
    "Table",
    {
        "number": "number",
        "shares": "shares",
        "parts": "parts",
        "levels": "levels",
        "clear_at": "clear_at",
        "were": "were",
        "users": "users",
        "load": "load",
        "place": "place",
        "small": "small",
        "counted": "counted",
        "absent": "absent",
        "differs": "differs",
        "lacking": "lacking",
        "changed": "changed",
        "seen": "seen",
        "borne": "borne",
        "borne_at": "borne_at",
    },
)

PROXY = WireForm(
    Proxy,
    "Proxy",
    {
        "zone": "zone",
        "rate": "rate",
        "joined": "joined",
        "tops": "tops",
        "holds": "holds",
        "bound_at": "bound_at",
        "wait": "wait",
    },
)

SEATING = WireForm(
    Seating,
    "Seating",
    {
        "products": "products",
        "joins": "joins",
        "proxies": "proxies",
        "groups": "groups",
        "at": "at",
        "tables": "tables",
        "used": "used",
        "kept": "kept",
        "gone": "gone",
        "ends": "ends",
        "laid": "laid",
        "cover": "cover",
    },
)

CHANGE = WireForm(
    Change,
    "Change",
    {
        "version": "version",
        "table": "table",
        "old": "old",
        "mark": "mark",
        "asked_at": "asked_at",
        "awaited": "awaited",
        "bound": "bound",
    },
)

MODULE = WireForm(
    Balancer,
    "Balancer",
    {
        "products": "products",
        "usual_retry": "usual_retry",
        "ask_every": "ask_every",
        "warm_after": "warm_after",
        "bears": "bears",
        "may_probe": "may_probe",
        "sliced": "sliced",
        "standing": "standing",
        "home": "home",
        "each": "each",
        "fleet": "fleet",
        "account": "account",
        "lines": "lines",
        "cold": "cold",
        "health": "health",
        "gate": "gate",
        "admits": "admits",
        "all_in": "all_in",
        "seating": "seating",
        "current": "current",
        "changes": "changes",
        "armed": "armed",
        "versions": "versions",
        "last_mark": "last_mark",
        "last_number": "last_number",
        "last_token": "last_token",
        "out": "out",
        "small": "small",
        "since": "since",
        "ask_at": "ask_at",
        "ask_wait": "ask_wait",
        "noted": "noted",
        "told": "told",
        "scant": "scant",
        "barred": "barred",
        "kept": "kept",
        "pins": "pins",
        "means": "means",
        "moved": "moved",
    },
    local=("uniform",),
)

FORMS = (
    CHANNEL,
    TRUSTED,
    PINNED,
    STRETCH,
    ACCOUNT,
    HEALTH,
    GATE,
    FLEET,
    LINES,
    COVER,
    TABLE,
    PROXY,
    SEATING,
    CHANGE,
)

# Parts that a fresh module has already, as it holds what does not travel; by wire name. What is read goes into them.
OWN_PARTS = ("fleet", "account", "health", "gate", "seating", "lines")
RANDOM_STATE = "chance"  # the wire name of the state of the module's random numbers


def _random(module: Balancer) -> Random:
    found = module.uniform.__self__  # type: ignore[attr-defined]
    assert isinstance(found, Random)
    return found


def fields_of(module: Balancer) -> dict[str, Any]:
    """All that a module goes on from, by wire name. Raises FieldFault for an attribute that is not declared."""
    return {**MODULE.taken_from(module), RANDOM_STATE: _random(module).getstate()}


def restored(fields: dict[str, Any], trade: face.Trade) -> Balancer:
    """A module that goes on from such fields. Raises PlainFault, also if they come of another trade."""
    pairs = [(name, value) for name, value in fields.items() if name != RANDOM_STATE]
    values = MODULE.attributes(pairs)
    if RANDOM_STATE not in fields:
        raise FieldFault(MODULE, RANDOM_STATE, "missing")
    module = Balancer(trade)
    own = {name: MODULE.fields[name] for name in OWN_PARTS}
    for name, attribute in own.items():
        if type(values[attribute]) is not type(getattr(module, attribute)):
            raise FieldFault(MODULE, name, "of another class")
    if values[own["account"]].channel != trade.channel or len(
        values[MODULE.fields["current"]]
    ) not in (0, len(trade.products)):
        raise PlainFault("it was told another trade; all members need the same settings")
    for attribute, value in values.items():
        if attribute in own.values():
            vars(getattr(module, attribute)).update(vars(value))
        else:
            setattr(module, attribute, value)
    for part in (module.health, module.seating):
        part.restore()
    _random(module).setstate(fields[RANDOM_STATE])
    return module
