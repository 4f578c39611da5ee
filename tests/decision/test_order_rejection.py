"""The module after a refusal: it goes by what is, and does not order the same again each turn."""

from collections.abc import Iterable
from pathlib import Path

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
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.storage.store import read_rejections
from tests.decision.rules_model import endpoint, manager_settings
from tests.fixtures.manager_process import WORKERS, bound, peer, running, until

RAISE = Balancer.SLOW_START_INTERVAL


class Refusing:
    """A module whose orders of one kind are refused for as long as `refuse` says so; counts them by time."""

    def __init__(self, refuse: type, when: object = lambda order: True) -> None:
        self.module, self.refuse, self.when, self.on = (
            Balancer(manager_settings()),
            refuse,
            when,
            True,
        )
        self.seen: list[tuple[float, Order]] = []
        self.now, self.events = 0.0, list[Event]()

    def step(self, *events: Event, span: float = 0.1) -> list[Order]:
        self.now += span
        orders = self.module.decide(self.now, [*self.events, *events])
        self.events = []
        for order in orders:
            if self.on and isinstance(order, self.refuse) and self.when(order):  # type: ignore[operator]
                self.seen.append((self.now, order))
                self.events.append(OrderRejected(order, "said no"))
            if isinstance(order, RequestAcknowledgement):
                self.events += [
                    Acknowledged(p, order.ack_number, 0.1) for p in self.module.assignments.proxies
                ]
        return orders

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.step()


def started(it: Refusing) -> None:
    it.step(EndpointsUpdated("kept", tuple(endpoint(n) for n in range(6))))
    it.step(ProxyConnected(3, "north", 10.0, True))


def test_a_refused_bind_is_not_believed_and_waits_for_a_raise() -> None:
    it = Refusing(AssignTable)
    started(it)
    assert len(it.seen) == 1
    it.step()
    assert not it.module.assignments.proxies[3].tables_in_use
    it.run(RAISE - 0.5)
    assert len(it.seen) == 1
    it.run(10 * RAISE)
    assert 9 <= len(it.seen) - 1 <= 11, "ten times in a row, once in each raise"
    it.on = False
    it.run(RAISE + 0.5)
    assert set(it.module.assignments.proxies[3].tables_in_use) == {0, 1}


def test_a_proxy_that_joined_before_the_list_is_bound_as_soon_as_that_comes() -> None:
    it = Refusing(AssignTable)
    it.step(EndpointsUpdated("kept", ()), ProxyConnected(3, "north", 10.0, True))
    it.step()
    it.on = False
    it.step(EndpointsUpdated("whole", tuple(endpoint(n) for n in range(6))))
    it.run(1.0)
    assert len(it.seen) == 1 and set(it.module.assignments.proxies[3].tables_in_use) == {0, 1}


def test_a_refused_line_is_left_out_and_tried_again_after_a_raise() -> None:
    bad = endpoint(5).id
    it = Refusing(SetWeight, lambda order: order.worker == bad)
    started(it)
    it.run(2.0)
    i = it.module.fleet.row_by_id[bad]
    assert all(i not in table.weights for table in it.module.current_tables.values())
    first = len(it.seen)
    it.run(RAISE - 2.5)
    assert len(it.seen) == first
    it.on = False
    it.run(RAISE)
    assert all(i in table.weights for table in it.module.current_tables.values())


def test_a_refused_letting_in_leaves_the_worker_out_and_others_are_still_withdrawn() -> None:
    it = Refusing(SetEjected, lambda order: not order.ejected)
    started(it)
    it.run(2.0)
    it.step(EndpointsUpdated("changes", (endpoint(0, "draining"),)))
    it.run(4.0)
    gone = it.module.fleet.row_by_id[endpoint(0).id]
    assert it.seen and gone in it.module.ejected_rows, (
        "it was let in, refused, and is known to be out"
    )
    orders = it.step(EndpointsUpdated("changes", (endpoint(1, "gone"),)))
    assert SetEjected(endpoint(1).id, True) in orders, "a refusal delays no drain"
    assert len(it.seen) <= 2


def test_a_refused_level_is_not_believed_and_waits_for_a_raise() -> None:
    it = Refusing(SetAdmission)
    started(it)
    it.run(2.0)
    usual = [(1.0, it.module.default_retry_policy)] * 2
    assert len(it.seen) == 2 and all(
        table.admission_levels == usual for table in it.module.current_tables.values()
    )
    it.run(RAISE + 0.5)
    assert 2 < len(it.seen) <= 2 + 2 * len(set(it.module.current_tables.values()))
    it.on = False
    it.run(RAISE + 0.5)
    assert all(
        table.admission_levels == it.module._plan(it.now).admission_levels
        for table in it.module.current_tables.values()
    )


def test_a_refused_clear_keeps_its_number_out_of_use() -> None:
    it = Refusing(DeleteTable)
    started(it)
    for n in range(8):
        it.step(EndpointsUpdated("changes", (endpoint(0, "ready" if n % 2 else "draining"),)))
        it.run(4.0)
    refused = {order.table_id for _, order in it.seen}
    laid = {table.table_id for table in it.module.current_tables.values()}
    assert refused and not refused & laid and refused <= it.module.assignments.tables.keys()


class Bare:
    """The module, whose tables have no lines once `on`."""

    on = False

    def __init__(self, trade: ManagerSettings) -> None:
        self.module = Balancer(trade)

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        orders = self.module.decide(now, events)
        return [o for o in orders if not (self.on and isinstance(o, SetWeight))]


async def test_a_manager_restarted_while_a_refused_table_is_outstanding_starts_clean(
    tmp_path: Path,
) -> None:
    """The drain that caused the change is not delayed by the refusal, nor forgotten over the restart."""
    gone = WORKERS[3].id
    async with running(tmp_path, make=Bare) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.manager.components.loop.module.on = True  # type: ignore[attr-defined]
        run.roster.tell(w3="draining")
        await proxy.until(lambda h: gone in h.ejected)
        await until(lambda: bool(run.said("guard.order_rejected")))
        assert len(proxy.holdings.usable_weights("press-book")) == len(WORKERS) - 1, (
            "the table before goes on, less the drained"
        )
        held = proxy.holdings
    assert {refusal.rule for refusal in read_rejections(tmp_path / "store")} == {"bare"}
    async with running(tmp_path) as run:
        run.roster.tell(w3="draining")
        async with peer(run, "p0", held) as proxy:
            await proxy.until(
                lambda h: (
                    set(h.usable_weights("press-book")) == {w.id for w in WORKERS} - {gone}
                    and all(gone not in h.tables[t].weights for t, _ in h.routes.values())
                )
            )
            assert not run.said("guard.order_rejected")
