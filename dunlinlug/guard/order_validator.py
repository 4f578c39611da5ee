"""Validates batches of orders by the tables that may be in use, the endpoint list and the demand.

Orders are validated one by one, each as if those accepted before it were applied; a rejected order
is left out and all others are accepted. The ejection of an endpoint that is not ready and a proxy's
first table are never held back: if there is no better choice, the lesser harm is accepted and
reported.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dunlinlug.decision.events import Endpoint, EndpointsUpdated, Event, UpdateType
from dunlinlug.decision.orders import Order
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.guard.capacity_estimates import CapacityEstimates
from dunlinlug.guard.demand_totals import DemandTotals
from dunlinlug.guard.endpoints import ListedEndpoints
from dunlinlug.guard.load_limits import warm_up_rate_limits
from dunlinlug.guard.order_rules import VALIDATED_ORDERS, OrderRules
from dunlinlug.guard.rejection import Rejection, RejectionRule
from dunlinlug.guard.table_usage import Admission, TableContents, TableUsage
from dunlinlug.guard.tentative_usage import CommittedState, TentativeUsage


@dataclass(frozen=True)
class ValidatedBatch:
    """The accepted orders in sequence, the rejections, and the usage with the accepted orders.

    Rejections include those that are allowed anyway; their orders are among the accepted.
    """

    accepted: list[Order]
    rejections: list[Rejection]
    usage: TentativeUsage


class OrderValidator:
    """Validates the decision module's orders; it must be given each batch's events before them.

    Attributes:
        settings: The manager's settings at its start.
        enforced: Whether rejected orders are held back; if not, all are carried out, and all but
            malformed ones are applied to the table usage.
        endpoints: The endpoint list.
        usage: Which tables the proxies may be using.
        estimates: Capacity and demand.
    """

    def __init__(self, settings: ManagerSettings, enforced: bool = True) -> None:
        self.settings = settings
        self.enforced = enforced
        self.endpoints = ListedEndpoints(settings.safety_limits.warm_up_time)
        self.usage = TableUsage()
        self.estimates = CapacityEstimates(settings.safety_limits, settings.traffic_classes)
        demand_totals = DemandTotals(self.usage, self.estimates, len(settings.traffic_classes))
        self._committed = CommittedState(
            settings, self.endpoints, self.usage, self.estimates, demand_totals
        )

    def handle(self, now: float, events: Iterable[Event]) -> None:
        """Process events; `now` is in seconds on their clock."""
        for event in events:
            self.estimates.handle(now, event)
            self.usage.handle(event)
            self.endpoints.handle(now, event)

    def restore(
        self,
        now: float,
        endpoints: Iterable[Endpoint],
        tables: Mapping[int, tuple[Mapping[str, float], Mapping[int, tuple[int, float]]]],
        ejected: Iterable[str],
    ) -> None:
        """Continue from another manager's state.

        Args:
            now: Seconds on the clock of the events.
            endpoints: Its endpoint list.
            tables: By table id the weights by endpoint, and by traffic class the retry policy and
                admitted fraction.
            ejected: Ids of the endpoints that it has ejected.
        """
        self.handle(now, [EndpointsUpdated(UpdateType.SNAPSHOT, tuple(endpoints))])
        self.usage.tables = {
            table_id: TableContents(
                dict(weights),
                {
                    traffic_class: Admission(*admission)
                    for traffic_class, admission in admissions.items()
                },
            )
            for table_id, (weights, admissions) in tables.items()
        }
        self.usage.ejected = set(ejected)

    def validate(self, now: float, orders: list[Order]) -> tuple[list[Order], list[Rejection]]:
        """Validate and apply a batch; return the accepted orders in sequence, and rejections."""
        if not any(isinstance(order, VALIDATED_ORDERS) for order in orders):
            self.usage.apply(orders)
            return orders, []
        batch = self.preview(now, orders)
        self.usage.apply(batch.accepted if self.enforced else _well_formed(orders, batch))
        return batch.accepted, batch.rejections

    def preview(self, now: float, orders: list[Order]) -> ValidatedBatch:
        """Validate a batch without applying it."""
        accepted: list[Order] = []
        rejections: list[Rejection] = []
        usage = TentativeUsage(self._committed, now)
        rules = OrderRules(self._committed, usage, now)
        for order in orders:
            rejection = rules.validate(order)
            if rejection is not None:
                rejections.append(rejection)
            if rejection is None or rejection.allowed_anyway:
                accepted.append(order)
                usage.apply(order)
        return ValidatedBatch(accepted, rejections, usage)

    def rate_limits(self, now: float) -> dict[str, float]:
        """Maximum requests per second by id of each endpoint that is warming up."""
        return warm_up_rate_limits(self._committed, now)


def _well_formed(orders: list[Order], batch: ValidatedBatch) -> list[Order]:
    """Return the orders without those that are malformed, compared by identity.

    An invalid number in the usage would make a later validation raise an error that ends the
    manager.
    """
    malformed_ids = {
        id(rejection.order)
        for rejection in batch.rejections
        if rejection.rule is RejectionRule.MALFORMED
    }
    return [order for order in orders if id(order) not in malformed_ids]
