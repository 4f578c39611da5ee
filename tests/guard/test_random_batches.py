"""Random orders, compared with a plain model that enumerates the possible states of each proxy."""

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from dunlinlug.decision.events import Acknowledged
from dunlinlug.decision.orders import (
    AssignTable,
    Order,
    RequestAcknowledgement,
    SetEjected,
    SetWeight,
)
from dunlinlug.guard import OrderValidator
from tests.guard.example_fleet import (
    NOW,
    PROXIES,
    WARM,
    WARMING,
    WORKERS,
    assign,
    fleet_validator,
    set_weights,
)


class ProxyState(NamedTuple):
    """What a proxy uses after a batch: a table by traffic class, and the ejected endpoints."""

    batch: int
    tables: dict[int, int]
    ejected: frozenset[str]


@dataclass
class PossibleStates:
    """The states that one proxy may be in, oldest first; an acknowledgement drops all before it."""

    states: list[ProxyState] = field(default_factory=lambda: [ProxyState(0, {}, frozenset())])

    def send(self, proxy: int, batch: int, orders: list[Order]) -> None:
        _, tables, ejected = self.states[-1]
        for order in orders:
            if isinstance(order, AssignTable) and order.proxy == proxy:
                tables = {**tables, **dict.fromkeys(order.traffic_classes, order.table_id)}
            elif isinstance(order, SetEjected) and order.ejected:
                ejected = ejected | {order.worker}
            elif isinstance(order, SetEjected):
                ejected = ejected - {order.worker}
        self.states.append(ProxyState(batch, tables, ejected))

    def acknowledge(self, batch: int) -> None:
        remaining = [state for state in self.states if state.batch >= batch]
        self.states = remaining or self.states[-1:]


class EnumeratedFleet:
    """Every state that each proxy may be in; tables are never changed in place here."""

    def __init__(self, validator: OrderValidator) -> None:
        self.validator = validator
        self.proxies = {proxy: PossibleStates() for proxy in PROXIES}
        self.weights: dict[int, dict[str, float]] = {}

    def copy(self) -> "EnumeratedFleet":
        copied = EnumeratedFleet(self.validator)
        copied.weights = {table_id: dict(weights) for table_id, weights in self.weights.items()}
        copied.proxies = {
            proxy: PossibleStates(list(possible.states)) for proxy, possible in self.proxies.items()
        }
        return copied

    def send(self, batch: int, orders: list[Order]) -> None:
        for order in orders:
            if isinstance(order, SetWeight):
                self.weights.setdefault(order.table_id, {})[order.worker] = order.weight
        for proxy, possible in self.proxies.items():
            possible.send(proxy, batch, orders)

    def max_load(self, worker: str) -> float:
        total = 0.0
        for proxy, possible in self.proxies.items():
            for traffic_class in range(2):
                max_fraction = max(
                    self._fraction(worker, traffic_class, state) for state in possible.states
                )
                demand = self.validator.estimates.expected_demand(NOW, proxy, traffic_class)
                total += max_fraction * demand
        return total

    def _fraction(self, worker: str, traffic_class: int, state: ProxyState) -> float:
        weights = {
            other: weight
            for other, weight in self.weights.get(state.tables.get(traffic_class, 0), {}).items()
            if other not in state.ejected
        }
        return weights[worker] / sum(weights.values()) if worker in weights else 0.0

    def without_endpoint(self) -> set[tuple[int, int]]:
        """Proxies and traffic classes that may have a table with no available endpoint."""
        return {
            (proxy, traffic_class)
            for proxy, possible in self.proxies.items()
            for state in possible.states
            for traffic_class, table_id in state.tables.items()
            if not set(self.weights.get(table_id, {})) - state.ejected
        }


def random_batch(rng: Random, table_id: int) -> list[Order]:
    """A batch that is mostly valid, like those of a decision module, or careless in several ways."""
    careless = rng.random() < 0.3
    weights = {worker: rng.choice([0.5, 1.0, 2.0]) for worker in rng.sample(WARM, 4)}
    weights |= {
        worker: rng.choice([1.0, 4.0]) if careless else 0.25
        for worker in rng.sample(WARMING, rng.randint(0, 2))
    }
    if careless and rng.random() < 0.3:
        weights = {rng.choice(WARMING): 1.0}
    orders = set_weights(table_id, weights if not careless or rng.random() < 0.9 else {})
    proxies = rng.sample(range(4), rng.randint(1, 4))
    orders += assign(table_id, proxies, rng.choice([(0,), (1,), (0, 1)]))
    if rng.random() < 0.3:
        worker = rng.choice(WORKERS if careless else WORKERS[:2])
        orders.append(SetEjected(worker, rng.random() < 0.6))
    return orders


@dataclass
class Counts:
    accepted: int = 0
    rejected: int = 0
    harmless_rejected: int = 0


def test_no_harmful_order_is_accepted_and_few_harmless_ones_are_rejected() -> None:
    """400 sequences of 10 batches; the model checks the accepted and the rejected orders."""
    counts = Counts()
    for seed in range(400):
        rng = Random(seed)
        validator = fleet_validator()
        fleet = EnumeratedFleet(validator)
        for batch in range(1, 11):
            orders = [*random_batch(rng, batch), RequestAcknowledgement(batch, True)]
            check_batch(validator, fleet, batch, orders, counts)
            for proxy in PROXIES:
                if rng.random() < 0.6:
                    validator.handle(NOW, [Acknowledged(proxy, batch, 0.1)])
                    fleet.proxies[proxy].acknowledge(batch)
    print(
        f"{counts.rejected} of {counts.accepted + counts.rejected} rejected, "
        f"{counts.harmless_rejected} of them harmless"
    )
    assert counts.rejected > 500, "the sequences must contain enough harmful orders"
    assert counts.harmless_rejected <= 0.01 * counts.accepted, counts


def check_batch(
    validator: OrderValidator,
    fleet: EnumeratedFleet,
    batch: int,
    orders: list[Order],
    counts: Counts,
) -> None:
    """Validate a batch, send the accepted orders, and check both kinds of orders by the model."""
    loads_before = {worker: fleet.max_load(worker) for worker in WARMING}
    without_endpoint = fleet.without_endpoint()
    fleet_before = fleet.copy()
    accepted, rejections = validator.validate(NOW, orders)
    rate_limits = validator.rate_limits(NOW)
    fleet.send(batch, accepted)

    is_lesser_harm = any(rejection.allowed_anyway for rejection in rejections)
    ejections = [order for order in accepted if isinstance(order, SetEjected) and order.ejected]
    for worker in WARMING:
        load = fleet.max_load(worker)
        assert (
            is_lesser_harm
            or ejections  # ejections of draining endpoints are never held back
            or load <= rate_limits[worker] * (1 + 1e-9)
            or load <= loads_before[worker] * (1 + 1e-9)
        )
    # Ejections of warming endpoints are never held back either.
    has_warming_ejection = any(ejection.worker in WARMING for ejection in ejections)
    assert is_lesser_harm or has_warming_ejection or fleet.without_endpoint() <= without_endpoint

    counts.accepted += len(accepted)
    counts.rejected += len(rejections)
    for rejection in rejections:
        fleet_with_order = fleet_before.copy()
        fleet_with_order.send(
            batch, [order for order in orders if order in accepted or order == rejection.order]
        )
        counts.harmless_rejected += fleet_with_order.without_endpoint() <= without_endpoint and all(
            fleet_with_order.max_load(worker) <= rate_limits[worker]
            or fleet_with_order.max_load(worker) <= loads_before[worker]
            for worker in WARMING
        )
