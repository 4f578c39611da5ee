"""What a successor is given: batches as the master's module met them, and the whole to start from.

A standby runs the module on the same batches, so that tables, numbers, marks, withdrawals, ramps, levels, health and
the channel's account are the master's own, each dated on the master's clock. The whole is that module's state with the
tables as laid. Written by msgpack, of known classes alone.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from dunlinlug import interface as face
from dunlinlug import state
from dunlinlug.balance import Account, Balancer, Gate, Health
from dunlinlug.bookkeeping import cover, lines, listing, outstanding, seating
from dunlinlug.fleet.succession.plain import Codec, PlainFault
from dunlinlug.manager.laid import Laid

OWN = (
    "fleet",
    "account",
    "health",
    "gate",
    "seating",
    "lines",
)  # the module's parts, which a fresh module has already


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


EVENTS = [
    kind
    for kind in vars(face).values()
    if isinstance(kind, type) and kind.__module__ == face.__name__
]
CODEC = Codec(
    Batch,
    Standing,
    Laid,
    Account,
    Gate,
    Health,
    outstanding.Stretch,
    listing.Fleet,
    state.Change,
    seating.Seating,
    seating.Table,
    seating.Proxy,
    lines.Lines,
    cover.Cover,
    *EVENTS,
)


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
    chance = module.uniform.__self__  # type: ignore[attr-defined]
    assert isinstance(chance, Random)
    standing.module = {key: value for key, value in vars(module).items() if not callable(value)}
    standing.module["chance"] = chance.getstate()
    return CODEC.write(standing)


def read_whole(data: bytes, trade: face.Trade) -> tuple[Balancer, Standing]:
    """A module that goes on where the other stood. Raises PlainFault, also if it was told another trade."""
    standing = CODEC.read(data)
    if not isinstance(standing, Standing):
        raise PlainFault("not the whole")
    module, found = Balancer(trade), standing.module
    if found["account"].channel != trade.channel or len(found["current"]) not in (
        0,
        len(trade.products),
    ):
        raise PlainFault("it was told another trade; all members need the same settings")
    for key, value in found.items():
        if key in OWN:
            vars(getattr(module, key)).update(vars(value))
        elif key != "chance":
            setattr(module, key, value)
    for part in (module.health, module.seating):
        part.restore()
    module.uniform.__self__.setstate(found["chance"])  # type: ignore[attr-defined]
    return module, standing
