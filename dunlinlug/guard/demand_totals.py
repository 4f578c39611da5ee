"""Demand summed over proxies by what they may hold, kept from reply to reply: only who has moved is
summed anew.
"""

from math import inf

from dunlinlug.guard.capacity_estimates import CapacityEstimates
from dunlinlug.guard.table_usage import TableUsage

# seconds after which all is summed afresh: as long as a proxy must be silent to be read as such
REBUILD_INTERVAL = 5.0

DemandGroup = tuple[int, tuple[int, ...]]  # a product, and the tables that a proxy may be on for it


class DemandTotals:
    def __init__(
        self, usage: TableUsage, estimates: CapacityEstimates, traffic_class_count: int
    ) -> None:
        self.usage = usage
        self.estimates = estimates
        self.traffic_class_count = traffic_class_count
        self.totals: dict[DemandGroup, float] = {}
        self.contributions: dict[
            tuple[int, int], tuple[DemandGroup, float]
        ] = {}  # by proxy and product: where it is summed
        self.rebuilt_at = -inf

    def by_group(self, now: float) -> dict[DemandGroup, float]:
        """Txns a second by group; not to be changed by the caller."""
        changed_proxies = {**self.usage.changed_proxies, **self.estimates.changed_proxies}
        self.usage.changed_proxies = {}
        self.estimates.changed_proxies = {}
        if now >= self.rebuilt_at + REBUILD_INTERVAL:
            self.totals = {}
            self.contributions = {}
            self.rebuilt_at = now
            changed_proxies = dict.fromkeys(self.usage.assignments)
        for proxy in changed_proxies:
            for traffic_class in range(self.traffic_class_count):
                self._update(now, proxy, traffic_class)
        return self.totals

    def _update(self, now: float, proxy: int, traffic_class: int) -> None:
        if (proxy, traffic_class) in self.contributions:
            group, previous_demand = self.contributions.pop((proxy, traffic_class))
            self.totals[group] -= previous_demand
        tables = tuple(self.usage.possible_tables(proxy, traffic_class))
        if tables:
            group = (traffic_class, tables)
            demand = self.estimates.expected_demand(now, proxy, traffic_class)
            self.contributions[proxy, traffic_class] = (group, demand)
            self.totals[group] = self.totals.get(group, 0.0) + demand
