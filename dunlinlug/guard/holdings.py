"""Who may hold what, now and during a change: old tables, new ones, and both while answers are out.

For the question whether a proxy may be left with nothing, a worker counts as out from the order on and as in again
only once all have answered; for the question how much may come to a worker it is the other way round.
"""

from dataclasses import dataclass, field

from dunlinlug import interface as face


@dataclass
class Table:
    lines: dict[str, float] = field(default_factory=dict)
    levels: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # by product: way of trying again, share


class Holdings:
    """Fed with what was passed, marks answered, and who is joined."""

    def __init__(self) -> None:
        self.tables: dict[int, Table] = {}
        # By joined proxy and product: the tables it may be on, newest last, and the place of their order.
        self.held: dict[int, dict[int, list[tuple[int, int]]]] = {}
        self._users: dict[int, dict[int, None]] | None = {}
        self.moved: dict[
            int, None
        ] = {}  # proxies that may hold other tables since the sums were last made
        self.out: set[str] = set()  # as ordered last
        self.unsure: dict[
            str, tuple[int, set[int]]
        ] = {}  # by worker: place of the mark, proxies yet to answer
        self.places: dict[
            int, int
        ] = {}  # marks not yet settled, by number, and their place in order
        self.last = 0

    def hear(self, event: face.Event) -> None:
        match event:
            case face.Joined(proxy) | face.Left(proxy):
                if self.held.pop(proxy, None):
                    self._changed(proxy)
                self._settle(proxy, self.last)
                if isinstance(event, face.Joined):
                    self.held[proxy] = {}
                    self._changed(proxy)
            case face.Answered(proxy, mark) if mark in self.places:
                self._settle(proxy, self.places[mark])

    def _changed(self, proxy: int) -> None:
        self._users = None
        self.moved[proxy] = None

    def _settle(self, proxy: int, place: int) -> None:
        for worker, (at, awaited) in list(self.unsure.items()):
            if at <= place:
                awaited.discard(proxy)
                if not awaited:
                    del self.unsure[worker]
        for held in self.held.get(proxy, {}).values():
            sure = max((n for n, (_, at) in enumerate(held) if at <= place), default=0)
            if sure:
                del held[:sure]
                self._changed(proxy)

    def obey(self, orders: list[face.Order]) -> None:
        """Take in one reply as passed."""
        self.last += 1
        for order in orders:
            match order:
                case face.Share(tbl, worker, weight):
                    lines = self.tables.setdefault(tbl, Table()).lines
                    lines[worker] = weight
                    if not weight:
                        del lines[worker]
                case face.Admit(tbl, product, retry, share):
                    self.tables.setdefault(tbl, Table()).levels[product] = (retry, share)
                case face.Clear(tbl):
                    self.tables.pop(tbl, None)
                case face.Bind(proxy, products, tbl) if proxy in self.held:
                    for product in products:
                        self.held[proxy].setdefault(product, []).append((tbl, self.last))
                    self._changed(proxy)
                case face.Withdraw(worker, out):
                    (self.out.add if out else self.out.discard)(worker)
                    self.unsure[worker] = (self.last, set(self.held))
                case face.Mark(number):
                    self.places[number] = self.last

    def may_be_out(self, worker: str) -> bool:
        return worker in self.out or worker in self.unsure

    def surely_out(self, worker: str) -> bool:
        return worker in self.out and worker not in self.unsure

    def users(self) -> dict[int, dict[int, None]]:
        """By table the proxies that may be on it; made anew only when that has changed."""
        if self._users is None:
            self._users = {}
            for proxy, products in self.held.items():
                for held in products.values():
                    for tbl, _ in held:
                        self._users.setdefault(tbl, {})[proxy] = None
        return self._users

    def tables_of(self, proxy: int, product: int) -> list[int]:
        return [tbl for tbl, _ in self.held.get(proxy, {}).get(product, ())]
