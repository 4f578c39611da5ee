"""The manager's present state on the wire: which tables are laid, who is bound where, who is withdrawn.

`obey` carries out one reply's orders and gives, for each proxy concerned, one parcel. Lines are counted as the
module counts them. No socket, no clock, no decision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dunlinlug import interface as face
from dunlinlug.manager.parcel import Parcel
from dunlinlug.xds import full, names, render


@dataclass(eq=False)
class Laid:
    """A table as ordered: weights by worker, and by product the way of trying again and the share let in."""

    name: str
    lines: dict[str, float] = field(default_factory=dict)
    levels: dict[int, tuple[int, float]] = field(default_factory=dict)


@dataclass(eq=False)
class Seat:
    """A joined proxy: its table by product, tables it was sent, and whether it lays OUT over its tables."""

    overlay: bool
    full: bool = False  # takes all resources of a client of the state-of-the-world form
    bound: dict[int, int] = field(default_factory=dict)
    sent: set[str] = field(default_factory=set)
    stale: set[str] = field(default_factory=set)  # tables to be taken away with the next message
    out_version: str = ""  # of OUT as last sent on this stream
    former: set[tuple[int, int]] = field(default_factory=set)  # product and table, of the full form, as bound before


class Desk:
    """`epoch` names this manager's life; `usual_retry` is the way where a table says none; a try that may be
    followed after any failure may take `try_aims` SLA times (0: no bound)."""

    def __init__(self, epoch: int, products: tuple[face.Product, ...], usual_retry: int, message_lines: float,
                 try_aims: float = 0.0) -> None:
        self.epoch, self.products, self.usual = epoch, products, usual_retry
        self.try_aims = try_aims
        self.message_lines = message_lines
        self.tables: dict[int, Laid] = {}
        self.out: set[str] = set()
        self.zones: dict[str, str] = {}
        self.seats: dict[int, Seat] = {}
        self.users: dict[int, dict[int, None]] = {}  # by table the proxies bound to it, in the order they were
        self._start()

    def restore(self, epoch: int, tables: dict[int, Laid], out: set[str], zones: dict[str, str]) -> None:
        """Stand where another manager stood; nobody is joined."""
        self.epoch, self.tables, self.out, self.zones = epoch, tables, out, zones
        self.seats, self.users = {}, {}
        self._start()

    def _start(self) -> None:
        self.touched: dict[int, float] = {}  # lines by proxy in the reply at hand
        self.resent: dict[int, set[int]] = {}  # table numbers by proxy, to be sent anew
        self.rerouted: set[int] = set()
        self.reshut: set[int] = set()

    def listed(self, workers: Iterable[face.Worker]) -> None:
        self.zones.update((worker.id, worker.zone) for worker in workers)

    def join(self, proxy: int, overlay: bool, holds: Iterable[str], full: bool = False) -> None:
        """A proxy's stream stands; `holds` names the tables it still has from earlier streams."""
        self.leave(proxy)
        self.seats[proxy] = Seat(overlay, full, stale={name for name in holds if name != names.OUT})

    def leave(self, proxy: int) -> None:
        self.seats.pop(proxy, None)
        for users in self.users.values():
            users.pop(proxy, None)

    def obey(self, orders: Iterable[face.Order], now: float, concerned: Iterable[int] = ()) -> dict[int, Parcel]:
        """Carry out the orders that concern proxies; the rest are the host's. `concerned` get the reply's mark
        whatever else they get: the module awaits their answers for orders that were refused."""
        self._start()
        mark = None
        for order in orders:
            match order:
                case face.Share() | face.Clear() | face.Admit():
                    self._amend(order)
                case face.Bind(proxy, products, tbl) if proxy in self.seats:
                    self._bind(proxy, products, tbl)
                case face.Withdraw(worker, out):
                    self._withdraw(worker, out)
                case face.Mark(number, everyone):
                    mark = number
                    for proxy in self.seats if everyone else concerned:
                        if proxy in self.seats:
                            self.touched.setdefault(proxy, 0.0)
        return self._parcels(mark, now)

    def _amend(self, order: face.Share | face.Clear | face.Admit) -> None:
        laid = self.tables.setdefault(order.tbl, Laid(names.table_name(self.epoch, order.tbl)))
        match order:
            case face.Share(_, worker, weight):
                laid.lines[worker] = weight
                if not weight:
                    del laid.lines[worker]
            case face.Admit(_, product, retry, share):
                laid.levels[product] = (retry, share)
            case face.Clear(tbl):
                del self.tables[tbl]
                for seat in self.seats.values():
                    if laid.name in seat.sent:
                        seat.stale.add(laid.name)
        for proxy in self.users.get(order.tbl, ()):
            self._touch(proxy, 1.0)
            self.resent.setdefault(proxy, set()).add(order.tbl)
            if isinstance(order, face.Admit):
                self.rerouted.add(proxy)
        if isinstance(order, face.Clear):
            self.users.pop(order.tbl, None)

    def _bind(self, proxy: int, products: tuple[int, ...], tbl: int) -> None:
        laid = self.tables.setdefault(tbl, Laid(names.table_name(self.epoch, tbl)))
        seat = self.seats[proxy]
        for used in seat.bound.values():
            self.users.get(used, {}).pop(proxy, None)
        seat.bound.update(dict.fromkeys(products, tbl))
        seat.former.update((k, tbl) for k in products)
        for used in seat.bound.values():
            self.users.setdefault(used, {})[proxy] = None
        shut = sum(worker in laid.lines for worker in self.out)
        self._touch(proxy, 1.0 + len(laid.lines) + len(laid.levels) + shut)
        self.resent.setdefault(proxy, set()).add(tbl)
        self.rerouted.add(proxy)
        self.reshut.add(proxy)

    def _withdraw(self, worker: str, out: bool) -> None:
        (self.out.add if out else self.out.discard)(worker)
        for proxy, seat in self.seats.items():
            uses = {tbl for tbl in seat.bound.values() if worker in self.tables[tbl].lines}
            if uses or len(seat.bound) < len(self.products):
                self._touch(proxy, 1.0)
                self.reshut.add(proxy)
                if not seat.overlay:
                    self.resent.setdefault(proxy, set()).update(uses)

    def _touch(self, proxy: int, lines: float) -> None:
        self.touched[proxy] = self.touched.get(proxy, 0.0) + lines

    def _parcels(self, mark: int | None, now: float) -> dict[int, Parcel]:
        made: dict[tuple[int, bool], render.Resource] = {}
        shut = render.withdrawn(self.out) if self.reshut else None
        parcels = {}
        for proxy, lines in self.touched.items():
            seat, parcel = self.seats[proxy], Parcel(ordered=now)
            if seat.full:
                parcel.full = self.offer(seat)
            parcel.lines = lines + self.message_lines + (mark is not None)
            if shut is not None and proxy in self.reshut and seat.overlay and seat.out_version != shut.version:
                seat.out_version, parcel.tables[names.OUT] = shut.version, shut
            for tbl in sorted(self.resent.get(proxy, ())):
                if tbl in self.tables and tbl in seat.bound.values():
                    key = (tbl, seat.overlay)
                    made[key] = made.get(key) or self.resource(tbl, seat.overlay)
                    parcel.tables[made[key].name] = made[key]
                    seat.sent.add(made[key].name)
            if proxy in self.rerouted:
                parcel.routes = self.routes(seat)
            parcel.gone = self._unused(seat)
            if mark is not None:
                parcel.marks.append((mark, now))
            parcels[proxy] = parcel
        return parcels

    def _unused(self, seat: Seat) -> set[str]:
        """Tables to take away: only once every product has a table of ours, and none that is in use."""
        if len(seat.bound) < len(self.products):
            return set()
        used = {self.tables[tbl].name for tbl in seat.bound.values()}
        gone, seat.stale = seat.stale - used, seat.stale & used
        seat.sent -= gone
        return gone

    def resource(self, tbl: int, overlay: bool) -> render.Resource:
        laid = self.tables[tbl]
        levels = {self.products[k].name: share for k, (_, share) in sorted(laid.levels.items())}
        return render.table(laid.name, laid.lines, self.zones, levels, () if overlay else self.out)

    def routes(self, seat: Seat) -> render.Resource:
        return render.routes(tuple(
            (self.products[k].name, self.tables[tbl].name, self._way(k, tbl))
            for k, tbl in sorted(seat.bound.items())))

    def offer(self, seat: Seat) -> full.Offer:
        """All four types for a client of the full form: each product's table under a name of its own."""
        made: full.Offer = {kind: {} for kind in full.ORDER}
        # Danger: a cluster taken away before the client has gone over to the next fails all that it is sent meanwhile.
        seat.former = {(k, tbl) for k, tbl in seat.former if tbl in self.tables}
        for k, tbl in sorted(seat.former):
            product, laid = self.products[k].name, self.tables[tbl]
            name, level = names.cluster_name(laid.name, product), laid.levels.get(k, (self.usual, 1.0))[1]
            if seat.bound.get(k) == tbl:
                made[names.LISTENERS][product] = full.listener(product)
                made[names.ROUTES][product] = full.routes(product, name)
            made[names.CLUSTERS][name] = full.cluster(name)
            made[names.ENDPOINTS][name] = full.endpoints(name, laid.lines, self.zones, level, self.out)
        return made

    def _way(self, product: int, tbl: int) -> render.Way:
        retry = self.tables[tbl].levels.get(product, (self.usual, 1.0))[0]
        return render.Way(retry, self.products[product].sla * self.try_aims if retry > 1 else 0.0)
