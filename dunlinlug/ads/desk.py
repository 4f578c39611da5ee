"""The manager's present state on the wire: which tables are laid, who is bound where, who is withdrawn.

`obey` carries out one reply's orders and gives, for each proxy concerned, one parcel. Lines are counted as the
module counts them. No socket, no clock, no decision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dunlinlug import interface as face
from dunlinlug.ads.parcel import Parcel
from dunlinlug.manager.laid import Bound, Laid, Laying
from dunlinlug.xds import full, names, render


@dataclass(eq=False)
class Seat(Bound):
    """A joined proxy: its table by product, tables it was sent, and whether it lays OUT over its tables."""

    overlay: bool = False
    full: bool = False  # takes all resources of a client of the state-of-the-world form
    sent: set[str] = field(default_factory=set)
    stale: set[str] = field(default_factory=set)  # tables to be taken away with the next message
    out_version: str = ""  # of OUT as last sent on this stream
    former: set[tuple[int, int]] = field(
        default_factory=set
    )  # product and table, of the full form, as bound before


class Desk(Laying[Seat]):
    """`epoch` names this manager's life; `usual_retry` is the way where a table says none; a try that may be
    followed after any failure may take `try_aims` SLA times (0: no bound)."""

    def __init__(
        self,
        epoch: int,
        products: tuple[face.Product, ...],
        usual_retry: int,
        message_lines: float,
        try_aims: float = 0.0,
    ) -> None:
        super().__init__(len(products))
        self.epoch, self.products, self.usual = epoch, products, usual_retry
        self.try_aims = try_aims
        self.message_lines = message_lines
        self.zones: dict[str, str] = {}
        self._start()

    def restore(
        self, epoch: int, tables: dict[int, Laid], out: set[str], zones: dict[str, str]
    ) -> None:
        """Stand where another manager stood; nobody is joined."""
        self.epoch, self.tables, self.out, self.zones = epoch, tables, out, zones
        self.seats, self.users = {}, {}
        self._start()

    def _start(self) -> None:
        self.touched = {}
        self.resent: dict[int, set[int]] = {}  # table numbers by proxy, to be sent anew
        self.rerouted: set[int] = set()
        self.reshut_at: set[int] = set()

    def hear(self, events: Iterable[face.Event]) -> None:
        """What the module is about to hear; proxies join and leave through the service."""
        for event in events:
            if isinstance(event, face.Listed):
                self.zones.update((worker.id, worker.zone) for worker in event.workers)

    def join(self, proxy: int, overlay: bool, holds: Iterable[str], full: bool = False) -> None:
        """A proxy's stream stands; `holds` names the tables it still has from earlier streams."""
        self.leave(proxy)
        self.seats[proxy] = Seat(
            overlay=overlay, full=full, stale={name for name in holds if name != names.OUT}
        )

    def obey(
        self, orders: Iterable[face.Order], now: float, concerned: Iterable[int] = ()
    ) -> dict[int, Parcel]:
        """Carry out the orders that concern proxies; the rest are the host's. `concerned` get the reply's mark
        whatever else they get: the module awaits their answers for orders that were refused."""
        self._start()
        return self._parcels(self.carry_out(orders, concerned), now)

    def named(self, tbl: int) -> str:
        return names.table_name(self.epoch, tbl)

    def amended(self, order: face.Share | face.Clear | face.Admit, laid: Laid) -> None:
        if isinstance(order, face.Clear):
            for seat in self.seats.values():
                if laid.name in seat.sent:
                    seat.stale.add(laid.name)

    def changed(self, proxy: int, tbl: int, levels: bool) -> None:
        self.resent.setdefault(proxy, set()).add(tbl)
        if levels:
            self.rerouted.add(proxy)

    def rebound(self, proxy: int, products: tuple[int, ...], tbl: int) -> None:
        self.seats[proxy].former.update((k, tbl) for k in products)
        self.resent.setdefault(proxy, set()).add(tbl)
        self.rerouted.add(proxy)
        self.reshut_at.add(proxy)

    def reshut(self, proxy: int, uses: set[int]) -> None:
        self.reshut_at.add(proxy)
        if not self.seats[proxy].overlay:
            self.resent.setdefault(proxy, set()).update(uses)

    def _parcels(self, mark: int | None, now: float) -> dict[int, Parcel]:
        made: dict[tuple[int, bool], render.Resource] = {}
        shut = render.withdrawn(self.out) if self.reshut_at else None
        parcels = {}
        for proxy, lines in self.touched.items():
            seat, parcel = self.seats[proxy], Parcel(ordered=now)
            if seat.full:
                parcel.full = self.offer(seat)
            parcel.lines = lines + self.message_lines + (mark is not None)
            if (
                shut is not None
                and proxy in self.reshut_at
                and seat.overlay
                and seat.out_version != shut.version
            ):
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
        return render.routes(
            tuple(
                (self.products[k].name, self.tables[tbl].name, self._way(k, tbl))
                for k, tbl in sorted(seat.bound.items())
            )
        )

    def offer(self, seat: Seat) -> full.Offer:
        """All four types for a client of the full form: each product's table under a name of its own."""
        made: full.Offer = {kind: {} for kind in full.ORDER}
        # Danger: a cluster taken away before the client has gone over to the next fails all that it is sent meanwhile.
        seat.former = {(k, tbl) for k, tbl in seat.former if tbl in self.tables}
        for k, tbl in sorted(seat.former):
            product, laid = self.products[k].name, self.tables[tbl]
            name, level = (
                names.cluster_name(laid.name, product),
                laid.levels.get(k, (self.usual, 1.0))[1],
            )
            if seat.bound.get(k) == tbl:
                made[names.LISTENERS][product] = full.listener(product)
                made[names.ROUTES][product] = full.routes(product, name)
            made[names.CLUSTERS][name] = full.cluster(name)
            made[names.ENDPOINTS][name] = full.endpoints(
                name, laid.lines, self.zones, level, self.out
            )
        return made

    def _way(self, product: int, tbl: int) -> render.Way:
        retry = self.tables[tbl].levels.get(product, (self.usual, 1.0))[0]
        return render.Way(retry, self.products[product].sla * self.try_aims if retry > 1 else 0.0)
