"""Demand summed over all proxies that may use the same tables, updated between batches.

Only the contributions of proxies whose demand or tables have changed are recomputed.
"""

from math import inf
from typing import NamedTuple

from dunlinlug.guard.capacity_estimates import CapacityEstimates
from dunlinlug.guard.table_usage import TableUsage

# Seconds after which all sums are recomputed; as long as the timeout after which a proxy counts as
# silent, since its demand then changes without a report.
REBUILD_INTERVAL = 5.0

DemandGroup = tuple[int, tuple[int, ...]]  # a traffic class, and the tables a proxy may use for it


class Contribution(NamedTuple):
    """One proxy's contribution to the sum of a group, in requests per second."""

    group: DemandGroup
    demand: float


class DemandTotals:
    """Holds the requests per second of each group, and each proxy's contribution to them."""

    def __init__(
        self, usage: TableUsage, estimates: CapacityEstimates, traffic_class_count: int
    ) -> None:
        self.usage = usage
        self.estimates = estimates
        self.traffic_class_count = traffic_class_count
        self.totals: dict[DemandGroup, float] = {}
        # By proxy id and index of the traffic class.
        self.contributions: dict[tuple[int, int], Contribution] = {}
        self.rebuilt_at = -inf

    def by_group(self, now: float) -> dict[DemandGroup, float]:
        """Requests per second by group; the caller must not modify the dict."""
        changed_proxies = dict(self.usage.changed_proxies)
        changed_proxies.update(self.estimates.changed_proxies)
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
        key = (proxy, traffic_class)
        previous = self.contributions.pop(key, None)
        if previous is not None:
            self.totals[previous.group] -= previous.demand
        tables = tuple(self.usage.possible_tables(proxy, traffic_class))
        if tables:
            group = (traffic_class, tables)
            demand = self.estimates.expected_demand(now, proxy, traffic_class)
            self.contributions[key] = Contribution(group, demand)
            self.totals[group] = self.totals.get(group, 0.0) + demand
