"""Limits the load of endpoints that are warming up to what they can serve."""

from collections.abc import Sequence

from dunlinlug.decision.orders import AssignTable, Order, SetEjected, SetWeight
from dunlinlug.guard.rejection import Rejection, RejectionRule
from dunlinlug.guard.tentative_usage import CommittedState, TentativeUsage

# Loads are sums of many floats: a load counts as raised only beyond this relative difference.
ROUNDING_TOLERANCE = 1e-9


def warm_up_rate_limits(committed: CommittedState, now: float) -> dict[str, float]:
    """Maximum requests per second by id of each endpoint that is warming up."""
    endpoints = committed.endpoints
    estimates = committed.estimates
    warming_endpoints = endpoints.warming_endpoints(now)
    if not warming_endpoints:
        return {}
    capacity_per_weight = estimates.capacity_per_weight(now, endpoints.warm_endpoints(now))
    return {
        endpoint.id: estimates.max_rate(
            now,
            endpoints.started_at[endpoint.id],
            capacity_per_weight * (endpoint.weight or 1.0),
        )
        for endpoint in warming_endpoints
    }


class LoadLimits:
    """Rejects orders of one batch that would overload a warming endpoint."""

    def __init__(self, committed: CommittedState, now: float) -> None:
        self.started_at = committed.endpoints.started_at
        self.now = now
        self.rate_limits = warm_up_rate_limits(committed, now)

    def validate(
        self,
        order: Order,
        before: TentativeUsage,
        after: TentativeUsage,
        proxies: Sequence[int] = (),
    ) -> Rejection | None:
        """Reject an order that raises the load of a warming endpoint above its limit.

        Args:
            order: The order to validate.
            before: The usage without the order.
            after: The usage with it.
            proxies: Ids of the proxies that a rejection concerns.
        """
        for worker, rate_limit in self.rate_limits.items():
            if not _can_raise_load(worker, order, after):
                continue
            load = after.max_load(worker)
            if load > rate_limit and load > before.max_load(worker) * (1.0 + ROUNDING_TOLERANCE):
                return Rejection(
                    order,
                    RejectionRule.OVERLOAD,
                    f"{worker} is {self.now - self.started_at[worker]:.1f} s old and would be sent "
                    f"{load:.1f} txns a second by all proxies, {rate_limit:.1f} at most",
                    f"{rate_limit / load:.2f} of it at most",
                    tuple(proxies),
                )
        return None


def _can_raise_load(worker: str, order: Order, after: TentativeUsage) -> bool:
    if isinstance(order, SetWeight | AssignTable):
        return worker in after.table(order.table_id).weights
    return isinstance(order, SetEjected) and worker == order.worker
