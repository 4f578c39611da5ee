"""Demand summed over proxies by what they may hold, kept from reply to reply: only who has moved is summed anew."""

from math import inf

from dunlinlug.guard.holdings import Holdings
from dunlinlug.guard.reading import Reading

ANEW = 5.0  # seconds after which all is summed afresh: as long as a proxy must be silent to be read as such

Group = tuple[int, tuple[int, ...]]  # a product, and the tables that a proxy may be on for it


class Sums:
    def __init__(self, holdings: Holdings, reading: Reading, products: int) -> None:
        self.holdings, self.reading, self.products = holdings, reading, products
        self.groups: dict[Group, float] = {}
        self.parts: dict[
            tuple[int, int], tuple[Group, float]
        ] = {}  # by proxy and product: where it is summed
        self.made_at = -inf

    def at(self, now: float) -> dict[Group, float]:
        """Txns a second by group; not to be changed by the caller."""
        moved = {**self.holdings.moved, **self.reading.moved}
        self.holdings.moved, self.reading.moved = {}, {}
        if now >= self.made_at + ANEW:
            self.groups, self.parts, self.made_at = {}, {}, now
            moved = dict.fromkeys(self.holdings.held)
        for proxy in moved:
            for product in range(self.products):
                self._sum(now, proxy, product)
        return self.groups

    def _sum(self, now: float, proxy: int, product: int) -> None:
        if (proxy, product) in self.parts:
            group, brought = self.parts.pop((proxy, product))
            self.groups[group] -= brought
        tables = tuple(self.holdings.tables_of(proxy, product))
        if tables:
            group, brings = (product, tables), self.reading.brings(now, proxy, product)
            self.parts[proxy, product] = (group, brings)
            self.groups[group] = self.groups.get(group, 0.0) + brings
