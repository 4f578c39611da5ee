"""A fleet for the guard's tests: eight endpoints, two of which are warming up, and four proxies."""

from collections.abc import Iterable

from dunlinlug.decision.events import (
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    ProxyConnected,
)
from dunlinlug.decision.orders import AssignTable, Order, RequestAcknowledgement, SetWeight
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.guard import OrderValidator, Rejection
from tests.decision.rules_model import manager_settings

NOW = 100.0
WORKERS = [f"10.0.0.{number}:80" for number in range(8)]
WARM = WORKERS[:6]
WARMING = WORKERS[6:]  # started one second before NOW
PROXIES = range(4)
WARM_WEIGHTS = dict.fromkeys(WARM, 1.0)


def listed(*, ready: Iterable[str] = WORKERS, draining: Iterable[str] = ()) -> EndpointsUpdated:
    """An update of the endpoint list that contains these endpoints."""
    return EndpointsUpdated(
        "changes",
        tuple(
            Endpoint(worker, "north", "", 0, state, 1.0, NOW - 1.0 if worker in WARMING else None)
            for state, workers in (("ready", ready), ("draining", draining))
            for worker in workers
        ),
    )


def fleet_validator(
    proxy_count: int = 4, rate: float = 10.0, settings: ManagerSettings | None = None
) -> OrderValidator:
    """A validator that has processed the fleet's events.

    Each proxy sends `rate` requests per second of each traffic class, served by the warm endpoints.
    """
    validator = OrderValidator(settings or manager_settings())
    served = int(2 * rate * proxy_count / len(WARM))
    validator.handle(NOW, [listed()])
    for proxy in range(proxy_count):
        validator.handle(NOW, [ProxyConnected(proxy, "north", 2 * rate, True)])
        for traffic_class in ("read", "book"):
            validator.handle(NOW, [DemandReported(proxy, traffic_class, int(rate), 0, 1.0)])
    for worker in WARM:
        validator.handle(NOW, [EndpointReported("north", worker, served, 0, 0.1, 1.0)])
    return validator


def set_weights(table_id: int, weights: dict[str, float]) -> list[Order]:
    """Orders that create a table with these entries."""
    return [SetWeight(table_id, worker, weight) for worker, weight in weights.items()]


def assign(
    table_id: int,
    proxies: Iterable[int] = PROXIES,
    traffic_classes: tuple[int, ...] = (0, 1),
) -> list[Order]:
    """Orders that assign a table to proxies."""
    return [AssignTable(proxy, traffic_classes, table_id) for proxy in proxies]


def new_table(
    table_id: int, weights: dict[str, float], traffic_classes: tuple[int, ...] = (0, 1)
) -> list[Order]:
    """A batch that creates a table, assigns it to all proxies and requests acknowledgements."""
    return [
        *set_weights(table_id, weights),
        *assign(table_id, traffic_classes=traffic_classes),
        RequestAcknowledgement(table_id, False),
    ]


def even_weights(warming_weight: float = 0.25) -> dict[str, float]:
    """Weight 1 for each endpoint, `warming_weight` for those that are warming up."""
    return {worker: warming_weight if worker in WARMING else 1.0 for worker in WORKERS}


def rejections_of(
    validator: OrderValidator, orders: list[Order], now: float = NOW
) -> list[Rejection]:
    """Validate a batch and return its rejections; all other orders must be accepted, and only they."""
    accepted, rejections = validator.validate(now, orders)
    held_back = [rejection.order for rejection in rejections if not rejection.allowed_anyway]
    assert [order for order in orders if order not in held_back] == accepted
    return rejections
