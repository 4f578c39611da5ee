"""What each stream's proxy holds, and one reply of the module as messages on the streams.

The wanted state is the tables as laid; `difference` alone makes what goes out from it and from what a proxy holds.
Lines are never more than the module reckons, but for workers let back that a proxy may have brought along shut out.
No socket, no clock, no decision.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from dunlinlug import interface as face
from dunlinlug.manager.laid import Bound, Laid, Laying
from dunlinlug.platform.messages import Push, write

CHUNK = 4096  # lines in one part: with names of 128 bytes well below the protocol's 1 MiB
Level = tuple[float, int]  # the share let in, and the way of trying again
FORMER = 256  # workers remembered after they have gone: one that comes back may still be shut out by proxies
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, eq=False)
class View:
    """A table's lines at one moment, shared by all proxies that hold them."""

    lines: Mapping[str, float]


@dataclass(frozen=True)
class Held:
    """What a proxy holds: by product its lines and level (None: not known), who it surely shuts out, and who it may
    have brought along shut out."""

    tables: tuple[View | None, ...]
    levels: tuple[Level | None, ...]
    shut: frozenset[str] = NOBODY
    unsure: frozenset[str] = NOBODY


@dataclass(frozen=True)
class Wanted:
    """What it should hold: by product None where it is not bound. `news` are workers shut out or let back in this very
    reply, `suspects` those that any proxy may have shut out."""

    tables: tuple[View | None, ...]
    levels: tuple[Level, ...]
    out: frozenset[str]
    news: frozenset[str]
    suspects: frozenset[str]


@dataclass
class Parcel:
    """One message for one proxy: its bytes, the lines that it counts for, the mark that it bears."""

    data: bytes
    lines: float
    mark: int | None


@dataclass(eq=False)
class Seat(Bound):
    held: Held = field(default_factory=lambda: Held((), ()))
    zone: str = ""


def _lines(
    have: View | None, want: View, level_lines: int
) -> tuple[bool, tuple[tuple[str, float], ...]]:
    """Whether the table goes whole, and the lines that go."""
    if have is want:
        return False, ()
    whole = tuple(want.lines.items())
    if have is None:
        return True, whole
    changed = [(worker, weight) for worker, weight in whole if have.lines.get(worker) != weight]
    changed += [(worker, 0.0) for worker in have.lines if worker not in want.lines]
    full = len(changed) > 1 + len(whole) + level_lines
    return full, whole if full else tuple(changed)


def difference(
    held: Held, wanted: Wanted, names: tuple[str, ...], usual: Level, spare: float
) -> tuple[list[Push], Held, int]:
    """The parts of one message, what is held after it, and its lines. `names` are the products', `usual` is the level
    of a table that has none; up to `spare` lines in all may go for workers that might be shut out."""
    tables: dict[tuple[bool, tuple[tuple[str, float], ...]], list[int]] = {}
    levels: dict[Level, list[int]] = {}
    after_tables, after_levels = list(held.tables), list(held.levels)
    for k, want in enumerate(wanted.tables):
        if want is None:
            continue
        full, lines = _lines(held.tables[k], want, wanted.levels[k] != usual)
        if full or lines:
            tables.setdefault((full, lines), []).append(k)
        if wanted.levels[k] != (usual if full else held.levels[k]):
            levels.setdefault(wanted.levels[k], []).append(k)
        after_tables[k], after_levels[k] = want, wanted.levels[k]
    parts, count = [], 0
    for (full, lines), products in tables.items():
        routes = None if len(products) == len(names) else [names[k] for k in products]
        for start in range(0, max(len(lines), 1), CHUNK):
            parts.append(
                Push(
                    routes=routes,
                    full=full and not start,
                    endpoints=list(lines[start : start + CHUNK]),
                )
            )
        count += full + len(lines)
    for (share, retry), products in levels.items():
        routes = None if len(products) == len(names) else [names[k] for k in products]
        # A level may ride with the lines of the same products, in the part that ends them.
        part = next((p for p in reversed(parts) if p.routes == routes and p.admit is None), None)
        if part is None:
            parts.append(part := Push(routes=routes))
        part.admit, part.policy = share, retry
        count += 1
    eject, restore, count = _shut(held, wanted, after_tables, count, spare)
    if eject or restore:
        if not parts:
            parts.append(Push())
        parts[-1].eject, parts[-1].restore = eject or None, restore or None
    after = Held(
        tuple(after_tables),
        tuple(after_levels),
        (held.shut | set(eject)) - set(restore),
        held.unsure - set(eject) - set(restore),
    )
    return parts, after, count


def _shut(
    held: Held, wanted: Wanted, tables: list[View | None], count: int, spare: float
) -> tuple[list[str], list[str], int]:
    """Whom to shut out and let back, and the lines of it all."""
    concerned = {
        worker for view in dict.fromkeys(tables) if view is not None for worker in view.lines
    }
    # Danger: what it brought along is not known, and may hold who was shut out just now.
    told = concerned | wanted.news if None in tables else concerned
    eject = sorted((wanted.out & told) - held.shut)
    restore = sorted((held.shut & told) - wanted.out)
    count += len(eject) + len(restore)
    # Danger: shut out by an earlier stream or by another manager, a worker would stay so for good.
    maybe = sorted(
        (held.unsure & concerned) - wanted.out - set(restore),
        key=lambda w: (w not in wanted.suspects, w),
    )
    room = max(sum(worker in wanted.suspects for worker in maybe), int(spare - count))
    more = maybe[:room]
    return eject, restore + more, count + len(more)


class Orders(Laying[Seat]):
    """Tables as laid and streams as written. `usual_retry` is the way of trying again where a table says none; `home`
    tells by product whether it may go only to workers in the proxy's zone, so that of a table those lines alone go."""

    def __init__(
        self,
        products: tuple[str, ...],
        usual_retry: int,
        message_lines: float,
        home: tuple[bool, ...] = (),
    ) -> None:
        super().__init__(len(products))
        self.home = home if any(home) else ()
        self.products, self.message_lines = products, message_lines
        self.usual: Level = (1.0, usual_retry)
        self.listed: dict[str, None] = {}  # who is listed, in the order in which they came
        self.brought: dict[
            int, frozenset[str]
        ] = {}  # by proxy, who we had shut out when its stream ended
        self.suspects: frozenset[str] = NOBODY
        self.views: dict[
            tuple[int, str], View
        ] = {}  # by table and the zone that it is narrowed to, or none
        self.zones: dict[str, str] = {}  # of workers known
        self.news: set[str] = set()
        self.former: dict[str, None] = {}  # who has gone, the last at the end
        self.known: frozenset[str] = NOBODY  # both

    def hear(self, events: Iterable[face.Event]) -> None:
        for event in events:
            match event:
                case face.Listed(form, workers):
                    self._listed(form, workers)
                case face.Joined(proxy, first=first):
                    self.leave(proxy)
                    left = self.brought.get(proxy, NOBODY)
                    unsure = left if first else self.known | left
                    held = Held((None,) * self.kinds, (None,) * self.kinds, NOBODY, unsure)
                    self.seats[proxy] = Seat(held=held, zone=event.zone)
                case face.Left(proxy):
                    self.leave(proxy)

    def _listed(self, form: str, workers: Sequence[face.Worker]) -> None:
        present = {worker.id: None for worker in workers if worker.state != "gone"}
        for told in workers:
            if self.zones.get(told.id, told.zone) != told.zone:
                self.views.clear()
            self.zones[told.id] = told.zone
        gone = {worker.id for worker in workers if worker.state == "gone"}
        if form in ("whole", "kept"):
            gone |= self.listed.keys() - present.keys()
            self.listed = present
        elif form == "changes":
            self.listed.update(present)
            for worker in gone:
                self.listed.pop(worker, None)
        for worker in sorted(gone):
            self.former.pop(worker, None)
            self.former[worker] = None
        for worker in present:
            self.former.pop(worker, None)
        self._forget()

    def _forget(self) -> None:
        """Danger: over new ids for good, what is kept by worker would grow without end."""
        over = list(self.former)[:-FORMER]
        for worker in over:
            del self.former[worker]
        self.known = frozenset(self.listed) | frozenset(self.former)
        if over:
            self.zones = {
                worker: zone for worker, zone in self.zones.items() if worker in self.known
            }
            self.suspects &= self.known
            self.brought = {proxy: shut & self.known for proxy, shut in self.brought.items()}
            for seat in self.seats.values():
                held = seat.held
                seat.held = replace(
                    held, shut=held.shut & self.known, unsure=held.unsure & self.known
                )

    def leave(self, proxy: int) -> None:
        if proxy in self.seats:
            self.brought[proxy] = self.seats[proxy].held.shut | self.seats[proxy].held.unsure
        super().leave(proxy)

    def amended(self, order: face.Share | face.Clear | face.Admit, laid: Laid) -> None:
        for zone in ("", *dict.fromkeys(self.zones.values())) if self.home else ("",):
            self.views.pop((order.tbl, zone), None)

    def withdrawn(self, worker: str) -> None:
        self.news.add(worker)
        self.suspects |= {worker}

    def _view(self, tbl: int, zone: str) -> View:
        if (tbl, zone) not in self.views:
            lines = self.tables[tbl].lines.items()
            self.views[tbl, zone] = View(
                {
                    worker: weight
                    for worker, weight in lines
                    if not zone or self.zones.get(worker) == zone
                }
            )
        return self.views[tbl, zone]

    def _wanted(
        self, bound: tuple[int | None, ...], zone: str, out: frozenset[str], news: frozenset[str]
    ) -> Wanted:
        levels = [
            self.tables[tbl].levels.get(k) if tbl is not None else None
            for k, tbl in enumerate(bound)
        ]
        views = (
            None if tbl is None else self._view(tbl, zone if self.home and self.home[k] else "")
            for k, tbl in enumerate(bound)
        )
        return Wanted(
            tuple(views),
            tuple(self.usual if level is None else (level[1], level[0]) for level in levels),
            out,
            news,
            self.suspects,
        )

    def obey(
        self, orders: Iterable[face.Order], now: float, concerned: Iterable[int] = ()
    ) -> dict[int, Parcel]:
        """One reply: a message for each proxy that it concerns. Proxies in the same state share the work."""
        self.news = set()
        mark = self.carry_out(orders, concerned)
        out, news = frozenset(self.out), frozenset(self.news)
        wanted: dict[tuple[tuple[int | None, ...], str], Wanted] = {}
        made: dict[tuple[Held, tuple[int | None, ...], str, float], tuple[bytes, Held, int]] = {}
        parcels = {}
        for proxy, reckoned in self.touched.items():
            seat = self.seats[proxy]
            bound = tuple(seat.bound.get(k) for k in range(self.kinds))
            zone = seat.zone if self.home else ""
            key = (seat.held, bound, zone, reckoned)
            if key not in made:
                if (bound, zone) not in wanted:
                    wanted[bound, zone] = self._wanted(bound, zone, out, news)
                parts, held, lines = difference(
                    seat.held, wanted[bound, zone], self.products, self.usual, reckoned
                )
                made[key] = (self._written(parts, mark), held, lines)
            data, seat.held, lines = made[key]
            if data:
                parcels[proxy] = Parcel(data, lines + self.message_lines + (mark is not None), mark)
        return parcels

    def _written(self, parts: list[Push], mark: int | None) -> bytes:
        if mark is not None:
            if not parts:
                parts = [Push()]
            parts[-1].nonce_out = mark
        for part in parts[:-1]:
            part.continued = True
        return b"".join(map(write, parts))
