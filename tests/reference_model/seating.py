"""Who is joined and which tables each proxy may be using. Bookkeeping alone: nothing here is decided.

Proxies with the same tables stand in one group, so that work for a reply goes with the tables in use and with the
proxies that it concerns, not with all proxies x workers. A slow plain model of it stands in `tests/decision/state/test_state_models.py`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain
from math import inf


@dataclass(eq=False)
class Table:
    """A table under its number: each worker's share, and that share's part of the listed weight. `users` is how often
    it is among what proxies may be using, `load` the txns a second of those bound to it last, product by product."""

    number: int
    shares: dict[int, float]
    parts: dict[int, float]
    levels: list[tuple[float, int]]  # by product the share let in, and the way of trying again
    clear_at: float = inf
    were: dict[int, tuple[float, int]] = field(
        default_factory=dict
    )  # levels before those ordered last
    users: int = 0
    load: float = 0.0


Tops = tuple[
    Table | None, ...
]  # by product the table that a proxy was bound to last, None where there is none
Holds = dict[
    int, list[tuple[Table, int]]
]  # by product the tables in use, newest last, with the mark awaited or 0


@dataclass(eq=False)
class Proxy:
    """A joined proxy. `joined` is its place in the order of joining, `rate` its txns a second as told; `bound_at` when
    it was last sent a table or a part of one, `wait` until when it is not bound again, as its last bind was refused
    (both in seconds)."""

    zone: str
    rate: float
    joined: int
    tops: Tops
    holds: Holds = field(default_factory=dict)
    bound_at: float = inf
    wait: float = 0.0


class Seating:
    def __init__(self, products: int) -> None:
        self.products, self.joins = products, 0
        self.proxies: dict[int, Proxy] = {}
        self.groups: dict[Tops, dict[int, None]] = {}  # joined proxies by their tops; none is empty
        self.tables: dict[int, Table] = {}  # laid and not cleared, by number

    def join(self, p: int, zone: str, rate: float = 0.0) -> None:
        self.joins += 1
        tops: Tops = (None,) * self.products
        self.proxies[p] = Proxy(zone, rate, self.joins, tops)
        self.groups.setdefault(tops, {})[p] = None

    def leave(self, p: int) -> None:
        if p in self.proxies:
            self.hold(p, dict.fromkeys(range(self.products), []))
            proxy = self.proxies.pop(p)
            self._ungroup(p, proxy.tops)

    def hold(self, p: int, holds: Holds) -> None:
        """The one place where a proxy comes to hold other tables: what it may be using of these products now."""
        proxy = self.proxies[p]
        for k, entries in holds.items():
            for table, _ in proxy.holds.pop(k, ()):
                table.users -= 1
            for table, _ in entries:
                table.users += 1
            if entries:
                proxy.holds[k] = entries
        tops = tuple(
            proxy.holds[k][-1][0] if k in proxy.holds else None for k in range(self.products)
        )
        if tops != proxy.tops:
            self._ungroup(p, proxy.tops)
            for sign, those in ((-1.0, proxy.tops), (1.0, tops)):
                for top in those:
                    if top is not None:
                        top.load += sign * proxy.rate
            proxy.tops = tops
            self.groups.setdefault(tops, {})[p] = None

    def _ungroup(self, p: int, tops: Tops) -> None:
        members = self.groups[tops]
        del members[p]
        if not members:
            del self.groups[tops]

    def bind(self, p: int, products: Iterable[int], table: Table, mark: int, now: float) -> None:
        proxy = self.proxies[p]
        proxy.bound_at = now
        self.hold(p, {k: [*proxy.holds.get(k, ()), (table, mark)] for k in products})

    def drop(self, p: int, products: Iterable[int], number: int) -> None:
        """It never got this table."""
        holds = self.proxies[p].holds
        self.hold(
            p,
            {
                k: [entry for entry in holds.get(k, ()) if entry[0].number != number]
                for k in products
            },
        )

    def amended(self, table: Table, users: Iterable[int], mark: int, now: float) -> None:
        """These proxies, which are bound to the table, are sent lines of it."""
        for proxy in map(self.proxies.__getitem__, users):
            proxy.bound_at = now
            for held in proxy.holds.values():
                if held[-1][0] is table:
                    held[-1] = (table, mark)

    def answered(self, p: int, passed: list[int]) -> None:
        """It has applied all up to these marks: the tables before the newest of them are out of use."""
        for k, held in list(self.proxies[p].holds.items()):
            sure = max(
                (n for n, (_, mark) in enumerate(held) if not mark or mark in passed), default=None
            )
            if sure:
                self.hold(p, {k: [(held[sure][0], 0), *held[sure + 1 :]]})
            elif sure == 0:
                held[0] = (held[0][0], 0)

    def retire(self, tables: Iterable[Table], now: float) -> None:
        """Those of them that nobody may be using are cleared next, the others are not."""
        for table in tables:
            table.clear_at = inf if table.users else now

    def ending(self) -> bool:
        return any(table.clear_at < inf for table in self.tables.values())

    def cleared(self, now: float) -> list[int]:
        """Takes away the tables whose time has come and that nobody may be using; gives their numbers."""
        numbers = [
            number
            for number, table in self.tables.items()
            if table.clear_at <= now and not table.users
        ]
        for number in numbers:
            del self.tables[number]
        return numbers

    def named(self) -> set[int]:
        """Workers that a table laid has a line for, or for which one had a part."""
        return set().union(*(table.parts for table in self.tables.values()))

    def in_use(self) -> list[Table]:
        return [table for table in self.tables.values() if table.users]

    def lagging(self, k: int, old: Table, table: Table, since: float) -> bool:
        """Whether a proxy that was written to after `since` may not use this table of the product, and no other; where
        it was changed in place, that is asked of who is bound to it alone."""
        sure = [(table, 0)]
        return any(
            proxy.bound_at > since and proxy.holds.get(k) != sure
            for proxy in (
                map(self.proxies.__getitem__, self.bound(table))
                if old is table
                else self.proxies.values()
            )
        )

    def bound(self, table: Table) -> list[int]:
        return [
            *chain.from_iterable(members for tops, members in self.groups.items() if table in tops)
        ]

    def naming(self, workers: set[int]) -> dict[int, list[dict[int, None]]]:
        """By worker the groups with a line for it, or that may have one as they have no table yet."""
        users: dict[int, list[dict[int, None]]] = {i: [] for i in workers}
        for tops, members in self.groups.items() if workers else ():
            named = chain(*(table.shares for table in set(tops) if table))
            for i in workers if None in tops else workers.intersection(named):
                users[i].append(members)
        return users

    def by_top(self) -> dict[tuple[int, Table], list[dict[int, None]]]:
        """By product and table the groups that are bound to it."""
        users: dict[tuple[int, Table], list[dict[int, None]]] = {}
        for tops, members in self.groups.items():
            for k, table in enumerate(tops):
                if table is not None:
                    users.setdefault((k, table), []).append(members)
        return users

    def far(self, p: int, near: Mapping[str, set[int]], tables: Iterable[Table | None]) -> bool:
        """Whether a table among these has nobody of the proxy's zone, though by `near` (by zone) there is somebody."""
        own = near.get(self.proxies[p].zone, set())
        return bool(own) and any(
            table is not None and own.isdisjoint(table.shares) for table in tables
        )

    def in_order(self, groups: Iterable[Iterable[int]]) -> list[int]:
        """Their members in the order of joining."""
        return sorted(chain.from_iterable(groups), key=lambda p: self.proxies[p].joined)
