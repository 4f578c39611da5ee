"""Who is joined and which tables each proxy may be using. Bookkeeping alone: nothing here is decided.

Proxies with the same tables stand in one group, so that work for a reply goes with the tables in use and with the
proxies that it concerns, not with all proxies x workers. A slow plain model of it stands in `tests/test_seating.py`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cache
from itertools import chain
from math import inf

from dunlinlug.bookkeeping.cover import Cover


@cache
def level(share: float, retry: int) -> tuple[float, int]:
    """A product's level; equal ones are the same object, so that lists of them are soon compared."""
    return share, retry


@dataclass(eq=False)
class Table:
    """A table under its number: each worker's share, and that share's part of the listed weight. `users` is how often
    it is among what proxies may be using, `load` the txns a second of those bound to it last, product by product."""

    number: int
    shares: dict[int, float]
    parts: dict[int, float]
    levels: list[tuple[float, int]]  # by product the share let in, and the way of trying again
    clear_at: float = inf  # to be changed by `Seating.end` alone
    were: dict[int, tuple[float, int]] = field(
        default_factory=dict
    )  # levels before those ordered last
    users: int = 0
    load: float = 0.0
    place: int = 0  # in the order of laying
    small: bool = False
    counted: bool = False  # its rows are in the cover
    absent: set[int] = field(
        default_factory=set
    )  # rows that it has a part for and that are not ready
    differs: set[int] = field(
        default_factory=set
    )  # this and the next three are kept by `Lines.differing`
    lacking: bool = False
    changed: set[int] = field(default_factory=set)
    seen: int = -1  # the log's length then
    borne: float | None = None  # this and the next one are kept by `Lines.bears`
    borne_at: int = 0


Tops = tuple[
    Table | None, ...
]  # by product the table that a proxy was bound to last, None where there is none
NONE: list[tuple[Table, int]] = []  # what one holds that holds nothing; not to be changed
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

    def lists(self) -> Iterable[list[tuple[Table, int]]]:
        """What it holds, once where products hold the same."""
        return {id(held): held for held in self.holds.values()}.values()


class Seating:
    def __init__(self, products: int) -> None:
        self.products, self.joins = products, 0
        self.proxies: dict[int, Proxy] = {}
        self.groups: dict[Tops, dict[int, None]] = {}  # joined proxies by their tops; none is empty
        self.at: dict[
            Table, dict[Tops, None]
        ] = {}  # by table bound to last the tops with it, in the groups' order
        self.tables: dict[int, Table] = {}  # laid and not cleared, by number
        self.used: dict[int, Table] = {}  # those of them that a proxy may be using, by place
        self.kept: dict[int, Table] = {}  # those laid but for small ones that nobody uses, by place
        self.gone = set[
            int
        ]()  # workers that were ready and are not; the absent are told of tables kept alone
        self.ends: dict[int, Table] = {}  # tables that are to be cleared, by place
        self.laid, self.cover = (
            0,
            Cover(),
        )  # tables so far; rows of small tables in use that something is asked of

    def restore(self) -> None:
        """Products that hold the same go on as one again, where each was read by itself."""
        for proxy in self.proxies.values():
            one: dict[tuple[tuple[Table, int], ...], list[tuple[Table, int]]] = {}
            proxy.holds = {k: one.setdefault(tuple(held), held) for k, held in proxy.holds.items()}

    def join(self, p: int, zone: str, rate: float = 0.0) -> None:
        self.joins += 1
        tops: Tops = (None,) * self.products
        self.proxies[p] = Proxy(zone, rate, self.joins, tops)
        self._group(p, tops)

    def leave(self, p: int) -> None:
        if p in self.proxies:
            self.hold(p, dict.fromkeys(range(self.products), []))
            proxy = self.proxies.pop(p)
            self._ungroup(p, proxy.tops)

    def hold(self, p: int, holds: Holds) -> None:
        """The one place where a proxy comes to hold other tables: what it may be using of these products now."""
        proxy = self.proxies[p]
        more: dict[Table, int] = {}
        for k, entries in holds.items():
            for table, _ in proxy.holds.pop(k, ()):
                more[table] = more.get(table, 0) - 1
            for table, _ in entries:
                more[table] = more.get(table, 0) + 1
            if entries:
                proxy.holds[k] = entries
        for table, uses in more.items():
            if uses:
                self._use(table, uses)
        if any(
            (entries[-1][0] if entries else None) is not proxy.tops[k]
            for k, entries in holds.items()
        ):
            tops = tuple(
                proxy.holds[k][-1][0] if k in proxy.holds else None for k in range(self.products)
            )
            self._ungroup(p, proxy.tops)
            for sign, those in ((-1.0, proxy.tops), (1.0, tops)):
                for top in those:
                    if top is not None:
                        top.load += sign * proxy.rate
                        self._count(top)
            proxy.tops = tops
            self._group(p, tops)

    def _use(self, table: Table, more: int) -> None:
        table.users += more
        if table.users:
            self.used[table.place] = table
            if table.place not in self.kept:
                self._keep(table)
        else:
            self.used.pop(table.place, None)
            if table.small:
                self.kept.pop(table.place, None)
        self._count(table)

    def _count(self, table: Table) -> None:
        counted = table.small and table.users > 0 and table.load != 0.0
        if counted != table.counted:
            table.counted = counted
            for i in table.shares:
                self.cover.count(i, 1 if counted else -1)

    def put(self, table: Table, i: int, share: float | None, part: float = 1.0) -> None:
        """The one place where a line of a table laid changes; None takes it away."""
        if table.counted and (i in table.shares) != (share is not None):
            self.cover.count(i, -1 if share is None else 1)
        table.changed.add(i)
        table.borne = None
        (table.absent.add if i in self.gone and share is not None else table.absent.discard)(i)
        if share is None:
            table.shares.pop(i, None), table.parts.pop(i, None)
        else:
            table.shares[i], table.parts[i] = share, part

    def deal(self, tables: list[Table]) -> list[Table]:
        """These are the small ones from now on."""
        for table in tables:
            table.small = True
            if not table.users:
                self.kept.pop(table.place, None)
        return tables

    def small(self) -> list[Table]:
        """The small ones in use."""
        return [table for table in self.in_use() if table.small]

    def lay(self, table: Table) -> Table:
        self.laid += 1
        table.place, self.tables[table.number] = self.laid, table
        self._keep(table)
        return table

    def _keep(self, table: Table) -> None:
        self.kept[table.place] = table
        table.absent = {i for i in table.parts if i in self.gone} if self.gone else set()

    def end(self, table: Table, at: float) -> None:
        """It is to be cleared then; never, if inf. One that was cleared already stays so."""
        table.clear_at = at
        self.ends.pop(table.place, None)
        if at < inf and self.tables.get(table.number) is table:
            self.ends[table.place] = table

    def _ungroup(self, p: int, tops: Tops) -> None:
        members = self.groups[tops]
        del members[p]
        if not members:
            del self.groups[tops]
            for table in set(tops):
                if table is not None:
                    del self.at[table][tops]
                    if not self.at[table]:
                        del self.at[table]

    def _group(self, p: int, tops: Tops) -> None:
        if tops not in self.groups:
            self.groups[tops] = {}
            for table in set(tops):
                if table is not None:
                    self.at.setdefault(table, {})[tops] = None
        self.groups[tops][p] = None

    def bind(self, p: int, products: Iterable[int], table: Table, mark: int, now: float) -> None:
        proxy = self.proxies[p]
        proxy.bound_at = now
        new: dict[int, list[tuple[Table, int]]] = {}  # products that held the same go on as one
        for k in products:
            if id(held := proxy.holds.get(k, NONE)) not in new:
                new[id(held)] = [*held, (table, mark)]
        self.hold(p, {k: new[id(proxy.holds.get(k, NONE))] for k in products})

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
            for held in proxy.lists():
                if held[-1][0] is table:
                    held[-1] = (table, mark)

    def answered(self, p: int, passed: list[int]) -> None:
        """It has applied all up to these marks: the tables before the newest of them are out of use."""
        new: dict[int, list[tuple[Table, int]]] = {}
        for held in self.proxies[p].lists():
            sure = max(
                (n for n, (_, mark) in enumerate(held) if not mark or mark in passed), default=None
            )
            if sure:
                new[id(held)] = [(held[sure][0], 0), *held[sure + 1 :]]
            elif sure == 0:
                held[0] = (held[0][0], 0)
        if new:
            self.hold(
                p,
                {k: new[id(held)] for k, held in self.proxies[p].holds.items() if id(held) in new},
            )

    def retire(self, tables: Iterable[Table], now: float) -> None:
        """Those of them that nobody may be using are cleared next, the others are not."""
        for table in tables:
            self.end(table, inf if table.users else now)

    def ending(self) -> bool:
        return bool(self.ends)

    def cleared(self, now: float) -> list[int]:
        """Takes away the tables whose time has come and that nobody may be using; gives their numbers."""
        past = [
            self.ends[n]
            for n in sorted(self.ends)
            if self.ends[n].clear_at <= now and not self.ends[n].users
        ]
        for table in past:
            del self.tables[table.number], self.ends[table.place]
            self.kept.pop(table.place, None)
        return [table.number for table in past]

    def named(self, *more: Iterable[int]) -> set[int]:
        """Workers that a table laid has a line for, or for which one had a part, and these."""
        return set().union(*more, *(table.parts for table in self.tables.values()))

    def in_use(self) -> list[Table]:
        return [self.used[place] for place in sorted(self.used)]

    def enlist(self, rows: Iterable[int], ready: list[bool]) -> None:
        """Workers that are ready now, or are so no more, by `ready`."""
        for i in rows:
            (self.gone.discard if ready[i] else self.gone.add)(i)
            for table in self.kept.values():
                if not ready[i] and i in table.parts:
                    table.absent.add(i)
                else:
                    table.absent.discard(i)

    def lagging(self, k: int, old: Table, table: Table, since: float) -> bool:
        """Whether a proxy that was written to after `since` may not use this table of the product, and no other; where
        it was changed in place, that is asked of who is bound to it alone."""
        sure, users = [(table, 0)], self.bound(table) if old is table else self.proxies
        return any(
            self.proxies[p].bound_at > since and self.proxies[p].holds.get(k) != sure for p in users
        )

    def late(self, changes: Mapping[int, tuple[Table, Table]], since: float) -> set[int]:
        """The same of many, by product the old table and the new: products of which it is so."""
        alike: dict[tuple[Table | None, Table], list[int]] = {}
        for k, (old, table) in changes.items():
            alike.setdefault((table if old is table else None, table), []).append(k)
        found = set[int]()
        for (only, table), left in alike.items():
            for proxy in (
                map(self.proxies.__getitem__, self.bound(only)) if only else self.proxies.values()
            ):
                if proxy.bound_at > since and left:
                    sure = {id(held) for held in proxy.lists() if held == [(table, 0)]}
                    found.update(k for k in left if id(proxy.holds.get(k)) not in sure)
                    left = [k for k in left if k not in found]
        return found

    def bound(self, table: Table) -> list[int]:
        return [*chain.from_iterable(map(self.groups.__getitem__, self.at.get(table, ())))]

    def naming(self, workers: set[int]) -> dict[int, list[dict[int, None]]]:
        """By worker the groups with a line for it, or that may have one as they have no table yet."""
        users: dict[int, list[dict[int, None]]] = {i: [] for i in workers}
        for tops, members in self.groups.items() if workers else ():
            tables = dict.fromkeys(tops)
            for i in workers:
                if None in tables or any(
                    table is not None and i in table.shares for table in tables
                ):
                    users[i].append(members)
        return users

    def unlike(
        self, levels: list[tuple[float, int]]
    ) -> list[tuple[int, Table, list[dict[int, None]]]]:
        """Products and tables whose level is another, with the groups that are bound to them."""
        users: dict[tuple[int, Table], list[dict[int, None]]] = {}
        other = {table for table in self.used.values() if table.levels != levels}
        for tops, members in self.groups.items() if other else ():
            for k, table in enumerate(tops):
                if table in other and table is not None and table.levels[k] != levels[k]:
                    users.setdefault((k, table), []).append(members)
        return [(k, table, groups) for (k, table), groups in users.items()]

    def others(
        self, current: Mapping[int, Table], table: Table, joiners: bool
    ) -> dict[Tops, tuple[int, ...]]:
        """Groups that are not bound to this current table for all its products, and what of it they lack: those that
        have no table for the first of that, or those that have another."""
        here, found = tuple(current.values()), dict[Tops, tuple[int, ...]]()
        for tops in self.groups:
            other = (
                tuple(k for k, now in current.items() if now is table is not tops[k])
                if tops != here
                else ()
            )
            if other and joiners == (tops[other[0]] is None):
                found[tops] = other
        return found

    def far(self, p: int, near: Mapping[str, set[int]], tables: Iterable[Table | None]) -> bool:
        """Whether a table among these has nobody of the proxy's zone, though by `near` (by zone) there is somebody."""
        own = near.get(self.proxies[p].zone, set())
        return bool(own) and any(
            table is not None and own.isdisjoint(table.shares) for table in tables
        )

    def in_order(self, groups: Iterable[Iterable[int]]) -> list[int]:
        """Their members in the order of joining."""
        return sorted(chain.from_iterable(groups), key=lambda p: self.proxies[p].joined)
