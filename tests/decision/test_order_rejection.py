"""Tests the decision module after an order was rejected.

It must continue from the state that is actually installed and must not repeat the order in every
batch.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    EndpointsUpdated,
    Event,
    OrderRejected,
    ProxyConnected,
)
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.planner import plan
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.decision.slow_start import SLOW_START_INTERVAL
from dunlinlug.decision.timer import TICK_INTERVAL
from dunlinlug.storage.store import read_rejections
from tests.decision.rules_model import Model, endpoint, manager_settings
from tests.decision.test_regressions import connected_model, crowded_model, report
from tests.fixtures.manager_process import WORKERS, has_tables, peer, running, until

BLOCKED_SECONDS = SLOW_START_INTERVAL


class RejectingHost:
    """Runs a module and rejects its orders of one kind while `is_rejecting`.

    `rejections` has the rejected orders with their times.
    """

    def __init__(self, rejected_kind: type, is_rejected: object = lambda order: True) -> None:
        self.module, self.rejected_kind, self.is_rejected, self.is_rejecting = (
            Balancer(manager_settings()),
            rejected_kind,
            is_rejected,
            True,
        )
        self.rejections: list[tuple[float, Order]] = []
        self.now, self.events = 0.0, list[Event]()

    def step(self, *events: Event, span: float = 0.1) -> list[Order]:
        self.now += span
        orders = self.module.decide(self.now, [*self.events, *events])
        self.events = []
        for order in orders:
            if (
                self.is_rejecting
                and isinstance(order, self.rejected_kind)
                and self.is_rejected(order)
            ):  # type: ignore[operator]
                self.rejections.append((self.now, order))
                self.events.append(OrderRejected(order, "rejected by the test"))
            if isinstance(order, RequestAcknowledgement):
                self.events += [
                    Acknowledged(p, order.ack_number, 0.1)
                    for p in self.module.state.assignments.proxies
                ]
        return orders

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.step()


def start(host: RejectingHost) -> None:
    host.step(EndpointsUpdated("kept", tuple(endpoint(n) for n in range(6))))
    host.step(ProxyConnected(3, "north", 10.0, True))


def test_a_rejected_assignment_is_undone_and_retried_after_a_slow_start_step() -> None:
    host = RejectingHost(AssignTable)
    start(host)
    assert len(host.rejections) == 1
    host.step()
    assert not host.module.state.assignments.proxies[3].tables_in_use
    host.run(BLOCKED_SECONDS - 0.5)
    assert len(host.rejections) == 1
    host.run(10 * BLOCKED_SECONDS)
    assert 9 <= len(host.rejections) - 1 <= 11, "expected one retry in each of ten steps"
    host.is_rejecting = False
    host.run(BLOCKED_SECONDS + 0.5)
    assert set(host.module.state.assignments.proxies[3].tables_in_use) == {0, 1}


def test_a_proxy_that_connected_before_the_endpoint_list_is_assigned_as_soon_as_that_comes() -> (
    None
):
    host = RejectingHost(AssignTable)
    host.step(EndpointsUpdated("kept", ()), ProxyConnected(3, "north", 10.0, True))
    host.step()
    host.is_rejecting = False
    host.step(EndpointsUpdated("whole", tuple(endpoint(n) for n in range(6))))
    host.run(1.0)
    assert len(host.rejections) == 1 and set(
        host.module.state.assignments.proxies[3].tables_in_use
    ) == {0, 1}


def test_a_rejected_entry_is_left_out_and_retried_after_a_slow_start_step() -> None:
    rejected_worker = endpoint(5).id
    host = RejectingHost(SetWeight, lambda order: order.worker == rejected_worker)
    start(host)
    host.run(2.0)
    row = host.module.state.fleet.row_by_id[rejected_worker]
    assert all(
        row not in table.weights for table in host.module.state.tables.current_tables.values()
    )
    rejections_before = len(host.rejections)
    host.run(BLOCKED_SECONDS - 2.5)
    assert len(host.rejections) == rejections_before
    host.is_rejecting = False
    host.run(BLOCKED_SECONDS)
    assert all(row in table.weights for table in host.module.state.tables.current_tables.values())


def test_a_rejected_readmission_leaves_the_endpoint_ejected_and_delays_no_other_ejection() -> None:
    host = RejectingHost(SetEjected, lambda order: not order.ejected)
    start(host)
    host.run(2.0)
    host.step(EndpointsUpdated("changes", (endpoint(0, "draining"),)))
    host.run(4.0)
    drained = host.module.state.fleet.row_by_id[endpoint(0).id]
    assert host.rejections and drained in host.module.state.ejected_rows, (
        "the endpoint must still count as ejected, as its readmission was rejected"
    )
    orders = host.step(EndpointsUpdated("changes", (endpoint(1, "gone"),)))
    assert SetEjected(endpoint(1).id, True) in orders, "the rejection delayed another ejection"
    assert len(host.rejections) <= 2


def test_a_rejected_admission_level_is_undone_and_retried_after_a_slow_start_step() -> None:
    host = RejectingHost(SetAdmission)
    start(host)
    host.run(2.0)
    default_levels = [(1.0, host.module.state.parameters.default_retry_policy)] * 2
    assert len(host.rejections) == 2 and all(
        table.admission_levels == default_levels
        for table in host.module.state.tables.current_tables.values()
    )
    host.run(BLOCKED_SECONDS + 0.5)
    assert (
        2
        < len(host.rejections)
        <= 2 + 2 * len(set(host.module.state.tables.current_tables.values()))
    )
    host.is_rejecting = False
    host.run(BLOCKED_SECONDS + 0.5)
    assert all(
        table.admission_levels == plan(host.module.state, host.now).admission_levels
        for table in host.module.state.tables.current_tables.values()
    )


def test_a_rejected_deletion_keeps_the_table_number_out_of_use() -> None:
    host = RejectingHost(DeleteTable)
    start(host)
    for n in range(8):
        host.step(EndpointsUpdated("changes", (endpoint(0, "ready" if n % 2 else "draining"),)))
        host.run(4.0)
    rejected = {order.table_id for _, order in host.rejections}
    current = {table.table_id for table in host.module.state.tables.current_tables.values()}
    assert (
        rejected
        and not rejected & current
        and rejected <= host.module.state.assignments.tables.keys()
    )


def proxies_using(model: Model, worker: str) -> int:
    """Return how many proxies may send requests to the worker."""
    return sum(
        worker not in model.ejected_by_proxy[p]
        and any(worker in entries for _, entries in tables.values())
        for p, tables in model.applied.items()
    )


def listed_weight(n: int, weight: float, state: str = "ready") -> EndpointsUpdated:
    return EndpointsUpdated("changes", (replace(endpoint(n, state), weight=weight),))


def crowded_model_with_rejected_weight(is_rejected: Callable[[SetWeight], bool]) -> Model:
    """Return a model after an order for worker 7's listed weight of 0.5 was rejected once."""
    model = crowded_model()
    model.is_rejected = lambda order: (
        isinstance(order, SetWeight) and order.worker == endpoint(7).id and is_rejected(order)
    )
    model.step(0.1, [listed_weight(7, 0.5)])
    for _ in range(20):
        if model.rejected_orders:
            return model
        model.step(0.1, [])
    raise AssertionError("no weight was ordered")


@pytest.mark.parametrize("delay", [0.1, 0.5, 2.0, 4.0])
def test_a_worker_drains_in_time_after_its_weight_was_rejected(delay: float) -> None:
    """Guards against taking an entry for removed whose change was rejected."""
    model = crowded_model_with_rejected_weight(lambda order: order.weight == 0.5)
    report(model, {}, delay - 0.1)
    model.step(0.1, [listed_weight(7, 0.5, "draining")])
    for _ in range(120):
        model.step(0.1, [])
    assert not proxies_using(model, endpoint(7).id) and not model.violated_rules


def test_a_rejected_weight_leaves_the_installed_entry_until_it_is_ordered_again() -> None:
    model = crowded_model_with_rejected_weight(lambda order: order.weight == 0.5)
    model.is_rejected = lambda order: False
    for _ in range(round(BLOCKED_SECONDS / 0.1) - 5):
        model.step(0.1, [])
        assert proxies_using(model, endpoint(7).id) == 40, "no other order may remove the entry"
    report(model, {}, 3.0)
    assert model.tables[model.assigned[0][0]][endpoint(7).id] == 0.5


def test_a_rejected_removal_in_place_keeps_the_worker_ejected_while_it_has_an_entry() -> None:
    model = crowded_model()
    model.is_rejected = lambda order: isinstance(order, SetWeight) and not order.weight
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "draining"),))])
    rejections = len(model.rejected_orders)
    for _ in range(200):
        model.step(0.1, [])
        rejections += len(model.rejected_orders)
    assert rejections and not proxies_using(model, endpoint(7).id) and not model.violated_rules
    model.is_rejected = lambda order: False
    model.step(0.1, [listed_weight(8, 0.5)])  # the removal goes with another change
    report(model, {}, 3.0)
    assert endpoint(7).id not in model.tables[model.assigned[0][0]]


def test_one_rejected_entry_of_a_batch_leaves_the_others_as_ordered() -> None:
    model = crowded_model()
    model.is_rejected = lambda order: (
        isinstance(order, SetWeight) and order.worker == endpoint(7).id
    )
    weights = tuple(replace(endpoint(n), weight=0.5) for n in (6, 7, 8))
    model.step(0.1, [EndpointsUpdated("changes", weights)])
    report(model, {}, 3.0)
    table = model.tables[model.assigned[0][0]]
    assert [table[endpoint(n).id] for n in (6, 7, 8)] == [0.5, 1.0, 0.5]
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "gone") for n in (6, 7, 8)))])
    for _ in range(60):
        model.step(0.1, [])
    assert not model.violated_rules


def test_a_rejected_entry_whose_weight_before_is_unknown_counts_as_usable() -> None:
    """A new leader that started from a snapshot does not know what the last batch replaced."""
    model = crowded_model_with_rejected_weight(lambda order: order.weight == 0.5)
    model.module.state.last_batch.clear()
    model.step(0.1, [])
    model.step(0.1, [listed_weight(7, 0.5, "draining")])
    for _ in range(60):
        model.step(0.1, [])
    assert not proxies_using(model, endpoint(7).id) and not model.violated_rules


def failing_model_with_rejected_ejection() -> Model:
    """Return a model after the ejection of worker 7, which fails all requests, was rejected."""
    model = crowded_model()
    model.is_rejected = lambda order: isinstance(order, SetEjected) and order.ejected
    for _ in range(20):
        report(model, {n: (20, 20 * (n == 7), 0.2) for n in range(30)}, 0.5)
        if model.rejected_orders:
            model.is_rejected = lambda order: False
            return model
    raise AssertionError("the worker was not ejected")


@pytest.mark.parametrize("delay", [0.1, 1.0, 2.0, 4.0])
def test_a_worker_drains_in_time_after_its_ejection_was_rejected(delay: float) -> None:
    """Guards against a rejected outlier ejection that delays the one that the rules demand."""
    model = failing_model_with_rejected_ejection()
    for _ in range(round(delay / 0.1) - 1):
        model.step(0.1, [])
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "draining"),))])
    assert endpoint(7).id in model.ejected
    for _ in range(60):
        model.step(0.1, [])
    assert not proxies_using(model, endpoint(7).id) and not model.violated_rules


def test_a_rejected_mandatory_ejection_is_ordered_again_with_the_next_tick() -> None:
    model = crowded_model()
    model.is_rejected = lambda order: isinstance(order, SetEjected | SetWeight)
    model.step(0.02, [EndpointsUpdated("changes", (endpoint(7, "draining"),))])
    rejected_at = [model.now] if model.rejected_orders else []
    for _ in range(50):
        model.step(0.02, [])
        if SetEjected(endpoint(7).id, True) in model.rejected_orders:
            rejected_at.append(model.now)
    pauses = [after - before for before, after in pairwise(rejected_at)]
    assert 3 <= len(pauses) <= 4 and max(pauses) <= TICK_INTERVAL + 0.05
    model.is_rejected = lambda order: False
    report(model, {}, 0.5)
    assert endpoint(7).id in model.ejected


def test_a_worker_that_returns_and_drains_again_is_ejected_at_once() -> None:
    model = crowded_model()
    model.is_rejected = lambda order: isinstance(order, SetEjected | SetWeight)
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "draining"),))])
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7),))])
    model.is_rejected = lambda order: False
    model.step(0.3, [])
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "gone"),))])
    assert endpoint(7).id in model.ejected
    for _ in range(60):
        model.step(0.1, [])
    assert not model.violated_rules


def test_a_rejected_assignment_does_not_hold_up_the_next_update() -> None:
    """Guards against waiting for proxies whose assignment is rejected again and again."""
    model = connected_model()
    report(model, {}, 2.0)
    empty_table = model.module.state.tables.last_table_id + 1
    model.is_rejected = lambda order: (
        isinstance(order, SetWeight | AssignTable) and order.table_id == empty_table
    )
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(9),))])
    for _ in range(round(2 * BLOCKED_SECONDS / 0.1)):
        model.step(0.1, [])
    assert proxies_using(model, endpoint(9).id) == 6 and not model.violated_rules


def test_a_proxy_that_lost_its_endpoints_is_assigned_again_with_the_next_tick() -> None:
    model = connected_model()
    report(model, {}, 2.0)
    model.is_rejected = lambda order: isinstance(order, AssignTable)
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n) for n in (9, 10)))])
    for _ in range(10):
        model.step(0.1, [])
        if model.rejected_orders:
            break
    model.is_rejected = lambda order: False
    model.step(0.1, [EndpointsUpdated("changes", tuple(endpoint(n, "gone") for n in range(9)))])
    for _ in range(20):
        model.step(0.1, [])
    assert proxies_using(model, endpoint(9).id) == 6 and not model.violated_rules


def test_a_worker_that_restarts_stays_ejected_while_its_former_weight_is_installed() -> None:
    model = crowded_model()
    model.is_rejected = lambda order: (
        isinstance(order, SetWeight) and order.worker == endpoint(7).id
    )
    model.step(0.1, [EndpointsUpdated("changes", (endpoint(7, "ready", model.now - 1.0),))])
    for _ in range(40):
        model.step(0.1, [])
        assert endpoint(7).id in model.ejected
    assert not model.violated_rules


class EmptyTableModule:
    """A decision module that omits all table entries while `is_rejecting`."""

    is_rejecting = False

    def __init__(self, settings: ManagerSettings) -> None:
        self.module = Balancer(settings)

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        orders = self.module.decide(now, events)
        return [o for o in orders if not (self.is_rejecting and isinstance(o, SetWeight))]


async def test_a_manager_restarted_while_a_rejected_table_is_outstanding_starts_clean(
    tmp_path: Path,
) -> None:
    """The drain that caused the update is neither delayed by the rejection nor lost on restart."""
    drained = WORKERS[3].id
    async with running(tmp_path, make=EmptyTableModule) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        run.manager.components.loop.module.is_rejecting = True  # type: ignore[attr-defined]
        run.roster.update(w3="draining")
        await proxy.until(lambda h: drained in h.ejected)
        await until(lambda: bool(run.logged("guard.order_rejected")))
        assert len(proxy.holdings.usable_weights("press-book")) == len(WORKERS) - 1, (
            "the previous table must stay in use, without the draining endpoint"
        )
        proxy_state = proxy.holdings
    assert {rejection.rule for rejection in read_rejections(tmp_path / "store")} == {"bare"}
    async with running(tmp_path) as run:
        run.roster.update(w3="draining")
        async with peer(run, "p0", proxy_state) as proxy:
            await proxy.until(
                lambda h: (
                    set(h.usable_weights("press-book")) == {w.id for w in WORKERS} - {drained}
                    and all(drained not in h.tables[t].weights for t, _ in h.routes.values())
                )
            )
            assert not run.logged("guard.order_rejected")
