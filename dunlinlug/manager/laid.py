"""Tables as laid and who is bound to them: what a reply of the module touches, whatever the wire.

A reply's orders are carried out one after the other; `touched` then holds, for each proxy that gets a message, the
lines that the module reckons for it. No socket, no clock, no decision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from dunlinlug import interface as face


@dataclass(eq=False)
class Laid:
    """A table as ordered: weights by worker, and by product the way of trying again and the share let in."""

    name: str
    lines: dict[str, float] = field(default_factory=dict)
    levels: dict[int, tuple[int, float]] = field(default_factory=dict)


@dataclass(eq=False)
class Bound:
    """A joined proxy and its table by product."""

    bound: dict[int, int] = field(default_factory=dict)


Seated = TypeVar("Seated", bound=Bound)


class Laying(Generic[Seated]):
    """Tables, withdrawals and seats. A front's own part fills in what its wire needs to know of each order."""

    def __init__(self, products: int) -> None:
        self.kinds = products
        self.tables: dict[int, Laid] = {}
        self.out: set[str] = set()
        self.seats: dict[int, Seated] = {}
        self.users: dict[
            int, dict[int, None]
        ] = {}  # by table the proxies bound to it, in the order they were
        self.touched: dict[int, float] = {}  # lines by proxy in the reply at hand
        # Told to proxies once the reply goes on to something else. Danger: told one by one, a change or a mass of
        # withdrawals would cost proxies x lines.
        self.owed: dict[
            int, tuple[float, bool]
        ] = {}  # by table, its lines changed, and whether a level is among them
        self.moved: list[str] = []  # workers shut out or let back

    def leave(self, proxy: int) -> None:
        self.seats.pop(proxy, None)
        for users in self.users.values():
            users.pop(proxy, None)

    def carry_out(self, orders: Iterable[face.Order], concerned: Iterable[int] = ()) -> int | None:
        """Carry out the orders that concern proxies; the rest are the host's. `concerned` are touched whatever else
        they get, as the module awaits their answers for orders that were refused. Tells the reply's mark."""
        self.touched, self.owed, self.moved = {}, {}, []
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
                    self._tell()
                    for proxy in self.seats if everyone else concerned:
                        if proxy in self.seats:
                            self.touched.setdefault(proxy, 0.0)
        self._tell()
        return mark

    def _lay(self, tbl: int) -> Laid:
        if tbl not in self.tables:
            self.tables[tbl] = Laid(self.named(tbl))
        return self.tables[tbl]

    def _amend(self, order: face.Share | face.Clear | face.Admit) -> None:
        laid = self._lay(order.tbl)
        if self.moved:
            self._tell()  # by the lines as they stand
        match order:
            case face.Share(_, worker, weight):
                laid.lines[worker] = weight
                if not weight:
                    del laid.lines[worker]
            case face.Admit(_, product, retry, share):
                laid.levels[product] = (retry, share)
            case face.Clear(tbl):
                del self.tables[tbl]
        self.amended(order, laid)
        if self.users.get(order.tbl):
            lines, levels = self.owed.get(order.tbl, (0.0, False))
            self.owed[order.tbl] = (lines + 1.0, levels or isinstance(order, face.Admit))
        if isinstance(order, face.Clear):
            self._tell()
            self.users.pop(order.tbl, None)

    def _tell(self) -> None:
        owed, self.owed = self.owed, {}
        for tbl, (lines, levels) in owed.items():
            for proxy in self.users[tbl]:
                self._touch(proxy, lines)
                self.changed(proxy, tbl, levels)
        if self.moved:
            self._tell_moved()

    def _tell_moved(self) -> None:
        """A line to each proxy for each of these workers that a table of its own names, or that one not known may."""
        moved, self.moved = self.moved, []
        named = {
            tbl: {worker for worker in moved if worker in laid.lines}
            for tbl, laid in self.tables.items()
        }
        seen: dict[tuple[int, ...], tuple[float, set[int]]] = {}
        for proxy, seat in self.seats.items():
            bound = tuple(seat.bound.values())
            if bound not in seen:
                uses = {tbl for tbl in bound if named[tbl]}
                count = (
                    len(moved)
                    if len(bound) < self.kinds
                    else len(set().union(*(named[tbl] for tbl in uses)))
                )
                seen[bound] = (float(count), uses)
            lines, uses = seen[bound]
            if lines:
                self._touch(proxy, lines)
                self.reshut(proxy, uses)

    def _bind(self, proxy: int, products: tuple[int, ...], tbl: int) -> None:
        laid, seat = self._lay(tbl), self.seats[proxy]
        if self.moved or tbl in self.owed or any(used in self.owed for used in seat.bound.values()):
            self._tell()  # to who is bound as yet
        for used in seat.bound.values():
            self.users.get(used, {}).pop(proxy, None)
        seat.bound.update(dict.fromkeys(products, tbl))
        for used in seat.bound.values():
            self.users.setdefault(used, {})[proxy] = None
        shut = sum(worker in laid.lines for worker in self.out)
        self._touch(proxy, 1.0 + len(laid.lines) + len(laid.levels) + shut)
        self.rebound(proxy, products, tbl)

    def _withdraw(self, worker: str, out: bool) -> None:
        (self.out.add if out else self.out.discard)(worker)
        self.withdrawn(worker)
        if self.owed:
            self._tell()
        self.moved.append(worker)

    def _touch(self, proxy: int, lines: float) -> None:
        self.touched[proxy] = self.touched.get(proxy, 0.0) + lines

    # What a front fills in.

    def named(self, tbl: int) -> str:
        """The table's name on the wire."""
        return str(tbl)

    def amended(self, order: face.Share | face.Clear | face.Admit, laid: Laid) -> None:
        """A table has been changed."""

    def withdrawn(self, worker: str) -> None:
        """A worker was shut out or let back, whoever uses it."""

    def changed(self, proxy: int, tbl: int, levels: bool) -> None:
        """A proxy's table has been changed; `levels` where not its lines alone."""

    def rebound(self, proxy: int, products: tuple[int, ...], tbl: int) -> None:
        """A proxy has been bound."""

    def reshut(self, proxy: int, uses: set[int]) -> None:
        """Workers in these tables of the proxy, or in one that is not known, were shut out or let back."""
