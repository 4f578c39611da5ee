"""The judge: each reply against what every proxy may hold, the list, capacity as known and the demand heard.

Orders are judged one by one in their order, each on what was passed before it; what is refused is left out and all else
passes. A drain, a withdrawal of a worker that is not ready, and a joiner's first table are never refused for a reason
that could wait: with nothing better to fall back on, the lesser harm passes and is told.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf, isfinite

from dunlinlug import interface as face
from dunlinlug.guard.holdings import Holdings, Table
from dunlinlug.guard.reading import Reading
from dunlinlug.guard.sums import Sums

HEAVIEST = 1e6  # a weight beyond it is a slip of the hand: a fleet's weights lie within a thousand of each other


@dataclass(frozen=True)
class Refusal:
    """Why an order was not passed (or passed as the lesser harm): figure against limit, and what would pass."""

    order: face.Order
    rule: str
    said: str
    would_pass: str
    proxies: tuple[int, ...] = ()
    passed: bool = False


class Judge:
    """Hear every event first, then judge the reply to them."""

    def __init__(self, trade: face.Trade, obeyed: bool = True) -> None:
        """With `obeyed` false every order is carried out all the same, and what proxies may hold follows that."""
        self.trade, self.products, self.obeyed = trade, len(trade.products), obeyed
        self.reading, self.holdings = Reading(trade.duties, trade.products), Holdings()
        self.listed: dict[str, face.Worker] = {}
        self.since: dict[str, float] = {}
        self.sums = Sums(self.holdings, self.reading, self.products)
        self.recent: dict[str, None] = {}  # those that may be cold
        self.judges: dict[type, Callable[[float, face.Order], Refusal | None]] = {
            face.Share: self._share,
            face.Bind: self._bind,
            face.Withdraw: self._withdraw,
            face.Clear: self._clear,
            face.Admit: self._admit,
        }

    # What is known.

    def hear(self, now: float, events: Iterable[face.Event]) -> None:
        for event in events:
            self.reading.hear(now, event)
            self.holdings.hear(event)
            if isinstance(event, face.Listed) and event.form != "failed":
                if (
                    event.form != "changes"
                ):  # Danger: one that a whole list does not name is gone, not unknown
                    self.listed = {
                        key: replace(worker, state="gone") for key, worker in self.listed.items()
                    }
                for worker in event.workers:
                    self.listed[worker.id] = worker
                    self.since[worker.id] = max(
                        self.since.get(worker.id, -inf), worker.since or -inf
                    )
                    if self._cold(now, worker.id):
                        self.recent[worker.id] = None

    def inherit(
        self,
        now: float,
        workers: Iterable[face.Worker],
        tables: dict[int, tuple[dict[str, float], dict[int, tuple[int, float]]]],
        out: set[str],
    ) -> None:
        """Go on where another manager stood: its list, its tables by number (lines and levels), who is out."""
        self.hear(now, [face.Listed("whole", tuple(workers))])
        self.holdings.tables = {
            tbl: Table(dict(lines), dict(levels)) for tbl, (lines, levels) in tables.items()
        }
        self.holdings.out = set(out)

    def ready(self, worker: str) -> bool:
        return worker in self.listed and self.listed[worker].state == "ready"

    def _cold(self, now: float, worker: str) -> bool:
        return now < self.since.get(worker, -inf) + self.trade.duties.warm_after

    # Judging.

    def judge(self, now: float, orders: list[face.Order]) -> tuple[list[face.Order], list[Refusal]]:
        """The orders that pass, in order, and what was refused or passed as the lesser harm."""
        if not any(type(order) in self.judges for order in orders):
            self.holdings.obey(orders)
            return orders, []
        passed, refusals = self._go_through(now, orders)
        self.holdings.obey(passed if self.obeyed else orders)
        return passed, refusals

    def would(self, now: float, orders: list[face.Order]) -> list[Refusal]:
        """What would be refused of these, without taking any of them in."""
        return self._go_through(now, orders)[1]

    def _go_through(
        self, now: float, orders: list[face.Order]
    ) -> tuple[list[face.Order], list[Refusal]]:
        passed: list[face.Order] = []
        refusals: list[Refusal] = []
        self.most = self._limits(now)
        self.trial = _Trial(self.holdings, self.reading, self.trade, now, self.sums)
        for order in orders:
            judge = self.judges.get(type(order))
            refusal = judge(now, order) if judge else None
            if refusal is not None:
                refusals.append(refusal)
            if refusal is None or refusal.passed:
                passed.append(order)
                self.trial.obey(order)
        return passed, refusals

    def _malformed(self, order: face.Order, said: str) -> Refusal:
        return Refusal(
            order,
            "form",
            said,
            "a table number, a known worker and product, a weight of 0 to a million",
        )

    def _share(self, now: float, order: face.Order) -> Refusal | None:
        assert isinstance(order, face.Share)
        if not isfinite(order.weight) or not 0.0 <= order.weight <= HEAVIEST:
            return self._malformed(order, f"weight {order.weight} for {order.worker}")
        if order.worker not in self.listed:
            return self._malformed(order, f"{order.worker} was never listed")
        table = self.trial.table(order.tbl)
        users = self.trial.users(order.tbl)
        if not order.weight:
            left = [w for w in self._usable(order.tbl) if w != order.worker]
            if users and not left and self.ready(order.worker) and order.worker in table.lines:
                return Refusal(
                    order,
                    "bare",
                    f"table {order.tbl} would have no usable line left",
                    "another ready worker's line first",
                    tuple(users),
                )
            return None
        if not users or self.trial.unchanged(order):
            return None
        return self._too_much(now, order, self.trial.with_line(order))

    def _bind(self, now: float, order: face.Order) -> Refusal | None:
        assert isinstance(order, face.Bind)
        if any(not 0 <= k < self.products for k in order.products):
            return self._malformed(order, f"products {order.products}, of {self.products}")
        table = self.trial.table(order.tbl)
        if not self._usable(order.tbl):
            olds = [tbl for k in order.products for tbl in self.trial.tables_of(order.proxy, k)]
            said = f"table {order.tbl} has {len(table.lines)} lines and none that may be used"
            lesser = not any(self._usable(old) for old in olds) and bool(table.lines)
            return Refusal(
                order,
                "bare",
                said,
                "a table with a ready worker that is not withdrawn",
                (order.proxy,),
                passed=lesser,
            )
        refusal = self._too_much(now, order, self.trial.with_bind(order))
        if refusal is None:
            return None
        # Danger: a joiner has no table of ours to stay on; a cold worker pushed is a lesser harm than none at all.
        first = not any(self.trial.tables_of(order.proxy, k) for k in order.products)
        return replace(refusal, proxies=(order.proxy,), passed=first)

    def _withdraw(self, now: float, order: face.Order) -> Refusal | None:
        assert isinstance(order, face.Withdraw)
        if order.worker not in self.listed:
            return self._malformed(order, f"{order.worker} was never listed")
        if order.out:
            if not self.ready(order.worker) or self._cold(now, order.worker):
                return None  # a drain, a death or a cold one kept out: rules of their own
            bare = [
                tbl
                for tbl in self.trial.in_use()
                if order.worker in self.trial.table(tbl).lines
                and not set(self._usable(tbl)) - {order.worker}
            ]
            if bare:
                users = tuple(p for tbl in bare for p in self.trial.users(tbl))
                return Refusal(
                    order,
                    "bare",
                    f"{order.worker} is the last usable line of table {bare[0]}",
                    "another ready worker's line first",
                    users,
                )
            return None
        if not self.ready(order.worker):
            return self._let_in(order)
        return (
            self._too_much(now, order, self.trial.let_in(order.worker))
            if order.worker in self.most
            else None
        )

    def _let_in(self, order: face.Withdraw) -> Refusal | None:
        """Danger: a proxy that is not bound for every product may hold tables of earlier streams that name it."""
        unbound = [
            p
            for p in self.holdings.held
            if not all(self.trial.tables_of(p, k) for k in range(self.products))
        ]
        naming = [
            p
            for tbl in self.trial.in_use()
            if order.worker in self.trial.table(tbl).lines
            for p in self.trial.users(tbl)
        ]
        if not unbound and not naming:
            return None
        return Refusal(
            order,
            "drain",
            f"{order.worker} is not ready and may be named by tables in use",
            "once no table that a proxy may hold names it",
            tuple(dict.fromkeys(unbound + naming)),
        )

    def _clear(self, now: float, order: face.Order) -> Refusal | None:
        assert isinstance(order, face.Clear)
        users = self.trial.users(order.tbl)
        if users:
            return Refusal(
                order,
                "bare",
                f"table {order.tbl} may still be used",
                "clearing after the last answer",
                tuple(users),
            )
        return None

    def _admit(self, now: float, order: face.Order) -> Refusal | None:
        assert isinstance(order, face.Admit)
        if not 0 <= order.product < self.products or not isfinite(order.share) or order.share < 0:
            return self._malformed(order, f"share {order.share} of product {order.product}")
        if order.retry not in range(4):
            return self._malformed(order, f"way of trying again {order.retry}, of 0 to 3")
        product = self.trade.products[order.product]
        # Danger: an effect twice. After a failure that proves nothing only what may run again is tried again; a
        # mark against repeats holds within its group alone, and the next worker may be outside it.
        guarded = (
            product.repeats == "idempotent"
            or product.repeats == "referenced"
            and product.group == "all"
        )
        if order.retry > 1 and not guarded:
            return Refusal(
                order,
                "twice",
                f"way {order.retry} for {product.name}, which is {product.repeats}",
                "way 0 or 1",
                tuple(self.trial.users(order.tbl)),
            )
        return None

    # How much comes to a cold worker.

    def _usable(self, tbl: int) -> list[str]:
        """The lines of a table that may be used for sure."""
        found = self.trial.usable.get(tbl)
        if found is None:
            found = [
                w
                for w in self.trial.table(tbl).lines
                if self.ready(w) and not self.trial.may_be_out(w)
            ]
            self.trial.usable[tbl] = found
        return found

    def _limits(self, now: float) -> dict[str, float]:
        """By cold worker the txns a second that it may be sent."""
        self.recent = {worker: None for worker in self.recent if self._cold(now, worker)}
        cold = [worker for worker in self.recent if worker in self.listed]
        if not cold:
            return {}
        size = self.reading.size(
            now,
            (
                (w.id, w.weight or 1.0)
                for w in self.listed.values()
                if w.state == "ready" and not self._cold(now, w.id)
            ),
        )
        return {
            w: self.reading.most(now, self.since[w], size * (self.listed[w].weight or 1.0))
            for w in cold
        }

    def _too_much(self, now: float, order: face.Order, after: "_Trial") -> Refusal | None:
        """Whether the order brings a cold worker more than it can carry, and more than it is brought without it."""
        for worker, most in self.most.items():
            load = after.load(worker) if after.concerns(worker, order) else 0.0
            if load > most and load > self.trial.load(worker) * (1.0 + 1e-9):
                return Refusal(
                    order,
                    "pushed",
                    f"{worker} is {now - self.since[worker]:.1f} s old and would be sent "
                    f"{load:.1f} txns a second by all proxies, {most:.1f} at most",
                    f"{most / load:.2f} of it at most",
                    tuple(after.users_of(order)),
                )
        return None


class _Trial:
    """Holdings with the orders of the reply at hand laid over them; costs what these change."""

    def __init__(
        self, base: Holdings, reading: Reading, trade: face.Trade, now: float, sums: Sums
    ) -> None:
        self.base, self.reading, self.trade, self.now, self.sums = base, reading, trade, now, sums
        self.tables: dict[int, Table] = {}
        self.bound: dict[tuple[int, int], list[int]] = {}
        self.turned: dict[str, bool] = {}
        self.added: dict[int, dict[int, None]] = {}  # proxies bound to a table by this reply
        self._groups: dict[tuple[int, tuple[int, ...]], float] | None = None
        self._sums: dict[int, float] = {}
        self.usable: dict[int, list[str]] = {}  # the judge's, by table

    def table(self, tbl: int) -> Table:
        return self.tables.get(tbl) or self.base.tables.get(tbl) or Table()

    def tables_of(self, proxy: int, product: int) -> list[int]:
        return self.base.tables_of(proxy, product) + self.bound.get((proxy, product), [])

    def users(self, tbl: int) -> list[int]:
        return [*self.base.users().get(tbl, ()), *self.added.get(tbl, ())]

    def in_use(self) -> list[int]:
        return list(dict.fromkeys([*self.base.users(), *self.added]))

    def may_be_out(self, worker: str) -> bool:
        return self.turned.get(worker, False) or self.base.may_be_out(worker)

    def surely_out(self, worker: str) -> bool:
        return self.base.surely_out(worker) and self.turned.get(worker, True)

    # How much comes to a worker.

    def groups(self) -> dict[tuple[int, tuple[int, ...]], float]:
        """Txns a second by product and the tables that their proxies may be on."""
        if self._groups is None:
            self._groups = dict(self.sums.at(self.now))
            for proxy, product in self.bound:
                self._move(
                    proxy,
                    product,
                    self.base.tables_of(proxy, product),
                    self.tables_of(proxy, product),
                )
        return self._groups

    def _move(self, proxy: int, product: int, old: Iterable[int], new: Iterable[int]) -> None:
        groups, brings = self.groups(), self.reading.brings(self.now, proxy, product)
        for tables, sign in ((tuple(old), -1.0), (tuple(new), 1.0)):
            if tables:
                groups[product, tables] = groups.get((product, tables), 0.0) + sign * brings

    def load(self, worker: str) -> float:
        """Txns a second that all proxies together may bring to a worker, each on the worst table it may be on."""
        if self.surely_out(worker):
            return 0.0
        return sum(
            max(self._promised(worker, tbl, product) for tbl in tables) * brings
            for (product, tables), brings in self.groups().items()
        )

    def _promised(self, worker: str, tbl: int, product: int) -> float:
        """Tries at the worker for each txn of a product that comes to a proxy on this table."""
        table = self.table(tbl)
        weight = table.lines.get(worker, 0.0)
        if not weight:
            return 0.0
        if tbl not in self._sums:
            self._sums[tbl] = sum(n for w, n in table.lines.items() if not self.may_be_out(w))
        rest = self._sums[tbl] + (weight if self.may_be_out(worker) else 0.0)
        retry, share = table.levels.get(product, (self.trade.usual_retry, 1.0))
        return weight / rest * min(share, 1.0) * self.reading.repeats(retry)

    def concerns(self, worker: str, order: face.Order) -> bool:
        """Whether the order can raise what comes to this worker."""
        match order:
            case face.Share(tbl) | face.Bind(tbl=tbl):
                return worker in self.table(tbl).lines
            case face.Withdraw(turned):
                return worker == turned
        return False

    def users_of(self, order: face.Order) -> list[int]:
        return self.users(order.tbl) if isinstance(order, face.Share) else []

    # What an order would make of it.

    def _copy(self) -> "_Trial":
        made = _Trial(self.base, self.reading, self.trade, self.now, self.sums)
        made.tables, made.bound, made.turned, made.added = (
            self.tables,
            self.bound,
            self.turned,
            self.added,
        )
        made._groups, made._sums = self.groups(), self._sums
        return made

    def unchanged(self, order: face.Share) -> bool:
        return self.table(order.tbl).lines.get(order.worker, 0.0) == order.weight

    def with_line(self, order: face.Share) -> "_Trial":
        made, table = self._copy(), self.table(order.tbl)
        made.tables = {
            **self.tables,
            order.tbl: Table({**table.lines, order.worker: order.weight}, table.levels),
        }
        made._sums = {tbl: n for tbl, n in self._sums.items() if tbl != order.tbl}
        return made

    def with_bind(self, order: face.Bind) -> "_Trial":
        made = self._copy()
        made._groups, made.bound = dict(self.groups()), {**self.bound}
        for product in order.products:
            old = self.tables_of(order.proxy, product)
            made.bound[order.proxy, product] = [
                *self.bound.get((order.proxy, product), []),
                order.tbl,
            ]
            made._move(order.proxy, product, old, [*old, order.tbl])
        return made

    def let_in(self, worker: str) -> "_Trial":
        made = self._copy()
        made.turned = {**self.turned, worker: False}
        return made

    def obey(self, order: face.Order) -> None:
        match order:
            case face.Share(tbl, worker, weight):
                table = self._own(tbl)
                table.lines[worker] = weight
                if not weight:
                    del table.lines[worker]
                self._sums.pop(tbl, None)
                self.usable.pop(tbl, None)
            case face.Admit(tbl, product, retry, share):
                self._own(tbl).levels[product] = (retry, share)
            case face.Bind(proxy, products, tbl) if proxy in self.base.held:
                for product in products:
                    if self._groups is not None:
                        old = self.tables_of(proxy, product)
                        self._move(proxy, product, old, [*old, tbl])
                    self.bound.setdefault((proxy, product), []).append(tbl)
                self.added.setdefault(tbl, {})[proxy] = None
            case face.Withdraw(worker, out):
                self.turned[worker] = out
                self._sums.clear()
                self.usable.clear()

    def _own(self, tbl: int) -> Table:
        if tbl not in self.tables:
            table = self.base.tables.get(tbl, Table())
            self.tables[tbl] = Table(dict(table.lines), dict(table.levels))
        return self.tables[tbl]
