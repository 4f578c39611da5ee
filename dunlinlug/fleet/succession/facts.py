"""What a successor is given: batches as the master's module met them, and the whole to start from.

A standby runs the module on the same batches, so that tables, numbers, marks, withdrawals, ramps, levels, health and
the channel's account are the master's own, each dated on the master's clock. The whole is that module's state with the
tables as laid. Written by msgpack, of known classes alone.
"""

from dataclasses import dataclass, field
from typing import Any

from dunlinlug import interface as face
from dunlinlug.balance import Balancer
from dunlinlug.bookkeeping import listing
from dunlinlug.fleet.succession import event_forms, module_state
from dunlinlug.fleet.succession.plain import Codec, PlainFault, WireForm
from dunlinlug.manager.laid import Laid


@dataclass
class Batch:
    """One turn of the master: its time, the events, the places of orders that the guard left out, and the numbers
    of proxies that are new."""

    now: float
    events: list[Any]
    left_out: list[int]
    numbers: dict[str, int]
    pins: list[dict[str, Any]] | None = None  # all that stand, if that has changed


@dataclass
class Standing:
    """All but the module: tables as laid, who is out, timers by due time, and so on; `roster` is the list's body."""

    now: float
    epoch: int
    tables: dict[int, Laid]
    out: set[str]
    zones: dict[str, str]
    numbers: dict[str, int]
    timers: list[tuple[float, int]]
    roster: bytes = b""
    pins: list[dict[str, Any]] = field(default_factory=list)
    module: dict[str, Any] = field(default_factory=dict)


BATCH = WireForm(
    Batch,
    "Batch",
    {
        "now": "now",
        "events": "events",
        "left_out": "left_out",
        "numbers": "numbers",
        "pins": "pins",
    },
)
STANDING = WireForm(
    Standing,
    "Standing",
    {
        "now": "now",
        "epoch": "epoch",
        "tables": "tables",
        "out": "out",
        "zones": "zones",
        "numbers": "numbers",
        "timers": "timers",
        "roster": "roster",
        "pins": "pins",
        "module": "module",
    },
)
LAID = WireForm(
    Laid,
    "Laid",
    {
        "name": "name",
        "lines": "lines",
        "levels": "levels",
    },
)
FORMS = (BATCH, STANDING, LAID, *module_state.FORMS, *event_forms.FORMS)
CODEC = Codec(*FORMS)


def listed(fleet: listing.Fleet) -> list[face.Worker]:
    """The list as the module knows it."""
    columns = zip(fleet.ids, fleet.zones, fleet.ready, fleet.weight, fleet.since, strict=True)
    return [
        face.Worker(key, zone, "", 0, "ready" if ready else "gone", weight, since)
        for key, zone, ready, weight, since in columns
    ]


def all_left(module: Any) -> list[face.Left]:
    """Whoever was joined with a former master, for a module of ours that went by its batches. Danger: a proxy that has
    not come here yet would be sent orders, and waited for, as long as it stays away."""
    return (
        [face.Left(proxy) for proxy in module.seating.proxies]
        if isinstance(module, Balancer)
        else []
    )


def write_batch(batch: Batch) -> bytes:
    return CODEC.write(batch)


def read_batch(data: bytes) -> Batch:
    """Raises PlainFault."""
    found = CODEC.read(data)
    if not isinstance(found, Batch):
        raise PlainFault("not a batch")
    return found


def write_whole(module: Balancer, standing: Standing) -> bytes:
    standing.module = module_state.fields_of(module)
    return CODEC.write(standing)


def read_whole(data: bytes, trade: face.Trade) -> tuple[Balancer, Standing]:
    """A module that goes on where the other stood. Raises PlainFault, also if it was told another trade."""
    standing = CODEC.read(data)
    if not isinstance(standing, Standing) or not isinstance(standing.module, dict):
        raise PlainFault("not the whole")
    return module_state.restored(standing.module, trade), standing
