"""Compares installed tables, batches and the proxy's state with a reference model.

However batches are merged, a proxy ends up with the state that was ordered, and never routes to a
table that it does not hold.
"""

from random import Random

import pytest

from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.xds import encoding, names
from dunlinlug.xds.stream import DeltaStream
from dunlinlug.xds.subscriber import DeltaSubscriber
from tests.fixtures.proxy_stream import StreamedProxy

TRAFFIC_CLASSES = (TrafficClass("read", 0.8, 2.0, 1.0), TrafficClass("book", 0.8, 2.0, 5.0))
WORKERS = [f"127.0.0.1:{port}" for port in range(7000, 7008)]
MESSAGE_OVERHEAD = 4.0  # entries
ACK_REQUEST = 1  # entries counted for an acknowledgement request


class ReferenceModel:
    """The state that results from applying the orders one by one, without batches."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, float]] = {}
        self.admissions: dict[tuple[int, int], tuple[int, float]] = {}
        self.ejected: set[str] = set()
        self.assignments: dict[int, dict[int, int]] = {}

    def apply(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case SetWeight(table_id, worker, weight):
                    self.tables.setdefault(table_id, {})[worker] = weight
                    if not weight:
                        del self.tables[table_id][worker]
                case SetAdmission(table_id, traffic_class, retry, admitted_fraction):
                    self.admissions[table_id, traffic_class] = (retry, admitted_fraction)
                case AssignTable(proxy, traffic_classes, table_id):
                    self.assignments[proxy].update(dict.fromkeys(traffic_classes, table_id))
                case SetEjected(worker, is_ejected):
                    (self.ejected.add if is_ejected else self.ejected.discard)(worker)

    def usable_weights(self, proxy: int, traffic_class: int) -> dict[str, float]:
        table = self.tables[self.assignments[proxy][traffic_class]]
        return {worker: weight for worker, weight in table.items() if worker not in self.ejected}


def random_orders(rng: Random, model: ReferenceModel, ack_number: int) -> list[Order]:
    """Random orders of one reply: weights, admissions, ejections and assignments of one table."""
    table_id = rng.randint(1, 6)
    orders = list[Order]()
    for worker in rng.sample(WORKERS, 4):
        orders.append(SetWeight(table_id, worker, rng.choice([0.25, 0.5, 1.0])))
    if rng.random() < 0.5:
        orders.append(
            SetAdmission(table_id, rng.randrange(2), rng.randrange(4), rng.choice([0.1, 0.5, 1.0]))
        )
    if rng.random() < 0.5:
        orders.append(SetEjected(rng.choice(WORKERS), rng.random() < 0.5))
    for proxy in model.assignments:
        if rng.random() < 0.4 or len(model.assignments[proxy]) < 2:
            traffic_classes = (0, 1) if len(model.assignments[proxy]) < 2 else (rng.randrange(2),)
            orders.append(AssignTable(proxy, traffic_classes, table_id))
    return [*orders, RequestAcknowledgement(ack_number, rng.random() < 0.3)]


def delete_an_unused_table(model: ReferenceModel, orders: list[Order]) -> None:
    """Insert the deletion of an unused table, if any, before the acknowledgement request."""
    used = {table_id for assigned in model.assignments.values() for table_id in assigned.values()}
    unused = [table_id for table_id in model.tables if table_id not in used]
    if unused:
        orders.insert(-1, DeleteTable(unused[0]))
        del model.tables[unused[0]]
        for traffic_class in range(2):
            model.admissions.pop((unused[0], traffic_class), None)


@pytest.fixture
def installer() -> XdsTableInstaller:
    return XdsTableInstaller(1, TRAFFIC_CLASSES, 1, MESSAGE_OVERHEAD)


@pytest.mark.parametrize("seed", range(20))
def test_a_proxy_ends_up_with_the_ordered_state(seed: int) -> None:
    rng = Random(seed)
    model = ReferenceModel()
    installer = XdsTableInstaller(3, TRAFFIC_CLASSES, 1, MESSAGE_OVERHEAD)
    proxies = {number: StreamedProxy(number) for number in range(3)}
    for number in proxies:
        model.assignments[number] = {}
        installer.add_proxy(number, True, ())
    acknowledged: dict[int, list[int]] = {number: [] for number in proxies}
    for ack_number in range(1, 40):
        orders = random_orders(rng, model, ack_number)
        model.apply(orders)
        delete_an_unused_table(model, orders)
        for number, batch in installer.apply_orders(orders, float(ack_number)).items():
            proxies[number].enqueue(batch)
        for number, proxy in proxies.items():
            if rng.random() < 0.5:
                acknowledged[number] += proxy.apply_pending()
    for number, proxy in proxies.items():
        acknowledged[number] += proxy.apply_pending()
        assert acknowledged[number] == sorted(acknowledged[number])
        for index, traffic_class in enumerate(TRAFFIC_CLASSES):
            assert proxy.state.usable_weights(traffic_class.name) == pytest.approx(
                model.usable_weights(number, index)
            )
            retry, admitted_fraction = model.admissions.get(
                (model.assignments[number][index], index), (1, 1.0)
            )
            assert proxy.state.admitted_fraction(traffic_class.name) == pytest.approx(
                admitted_fraction
            )
            assert proxy.state.routes[traffic_class.name][1].mode == retry
        used = {f"3/{table_id}" for table_id in model.assignments[number].values()}
        assert used <= proxy.state.tables.keys()


def test_entries_are_counted_as_in_the_decision_module(installer: XdsTableInstaller) -> None:
    installer.add_proxy(0, True, ())
    weights: list[Order] = [SetWeight(1, worker, 1.0) for worker in WORKERS[:3]]
    ejection = SetEjected(WORKERS[0], True)
    batch = installer.apply_orders([*weights, ejection], 0.0)[0]
    assert batch.entry_count == MESSAGE_OVERHEAD + 1, "a proxy without a table gets all ejections"
    assignment = AssignTable(0, (0, 1), 1)
    batch = installer.apply_orders([assignment, RequestAcknowledgement(1, False)], 1.0)[0]
    # One entry for the assignment, three for the table, and one for the ejected worker.
    assert batch.entry_count == MESSAGE_OVERHEAD + ACK_REQUEST + (1 + 3 + 1)
    ejection_elsewhere = SetEjected(WORKERS[5], True)
    assert installer.apply_orders([ejection_elsewhere], 2.0) == {}, (
        "the ejected worker is in no table of the proxy"
    )
    weight = SetWeight(1, WORKERS[3], 0.5)
    batch = installer.apply_orders([weight, RequestAcknowledgement(2, True)], 3.0)[0]
    assert batch.entry_count == MESSAGE_OVERHEAD + ACK_REQUEST + 1


def test_a_reconnected_proxy_removes_old_tables_once_it_is_assigned_new_ones() -> None:
    """Old tables may contain workers that are not in this manager's endpoint list."""
    proxy = StreamedProxy(0)
    old = encoding.encode_table("9/1", {"127.0.0.1:1": 1.0}, {}, {})
    old_routes = encoding.encode_routes(
        (
            encoding.Route("read", "9/1", encoding.RetryPolicy(0)),
            encoding.Route("book", "9/1", encoding.RetryPolicy(0)),
        )
    )
    proxy.enqueue(ResponseBatch({old.name: old}, old_routes))
    proxy.apply_pending()
    installer = XdsTableInstaller(10, TRAFFIC_CLASSES, 1, MESSAGE_OVERHEAD)
    proxy.stream = DeltaStream()
    for request in DeltaSubscriber(proxy.state, "p0", "north", {}).initial_requests():
        proxy.stream.receive(request)
    assert "9/1" in proxy.stream.acked_versions[names.ENDPOINTS_TYPE]
    installer.add_proxy(0, True, proxy.stream.acked_versions[names.ENDPOINTS_TYPE])
    orders: list[Order] = [SetWeight(1, WORKERS[0], 1.0), SetEjected("127.0.0.1:1", True)]
    proxy.enqueue(installer.apply_orders(orders, 0.0)[0])
    proxy.apply_pending()
    assert proxy.state.usable_weights("read") == {}, (
        "ejected from a table that another manager wrote"
    )
    proxy.enqueue(installer.apply_orders([AssignTable(0, (0,), 1)], 1.0)[0])
    proxy.apply_pending()
    assert "9/1" in proxy.state.tables, "the old table is still in use for the other class"
    proxy.enqueue(installer.apply_orders([AssignTable(0, (1,), 1)], 2.0)[0])
    proxy.apply_pending()
    assert set(proxy.state.tables) == {"10/1"}


def test_ejections_are_marked_in_the_tables_of_a_client_without_the_overlay(
    installer: XdsTableInstaller,
) -> None:
    installer.add_proxy(0, False, ())
    weights: list[Order] = [SetWeight(1, worker, 1.0) for worker in WORKERS[:2]]
    installer.apply_orders([*weights, AssignTable(0, (0, 1), 1)], 0.0)
    batch = installer.apply_orders([SetEjected(WORKERS[0], True)], 1.0)[0]
    proxy = StreamedProxy(0)
    proxy.enqueue(batch)
    proxy.apply_pending()
    assert proxy.state.tables["1/1"].unhealthy == {WORKERS[0]}


@pytest.mark.parametrize("supports_overlay", [True, False])
def test_a_worker_that_left_a_table_while_ejected_is_usable_once_it_returns(
    installer: XdsTableInstaller, supports_overlay: bool
) -> None:
    """Guards against a proxy that keeps a worker ejected after its readmission."""
    installer.add_proxy(0, supports_overlay, ())
    proxy = StreamedProxy(0)
    weights: list[Order] = [SetWeight(1, worker, 1.0) for worker in WORKERS[:2]]
    replies: list[list[Order]] = [
        [*weights, AssignTable(0, (0, 1), 1)],
        [SetEjected(WORKERS[0], True)],
        [SetWeight(1, WORKERS[0], 0.0)],
        [SetEjected(WORKERS[0], False)],
        [SetWeight(1, WORKERS[0], 1.0)],
    ]
    for now, orders in enumerate(replies):
        for batch in installer.apply_orders(orders, float(now)).values():
            proxy.enqueue(batch)
        proxy.apply_pending()
    assert set(proxy.state.usable_weights("read")) == set(WORKERS[:2])
