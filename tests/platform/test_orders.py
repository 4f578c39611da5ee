"""One reply as messages on streams, against a plain proxy that applies what it reads, word for word."""

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from dunlinlug.decision.events import (
    Endpoint,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import (
    AssignTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.platform.orders import MAX_REMEMBERED_WORKERS, PlatformTableInstaller
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings, run

NAMES = ("read", "book")


class PlainProxy:
    """What the protocol's page says of a proxy. `held` is None for a table that somebody else wrote."""

    def __init__(self) -> None:
        self.held: dict[str, dict[str, float]] = {name: {"elsewhere:1": 1.0} for name in NAMES}
        self.level: dict[str, tuple[float, int] | None] = dict.fromkeys(NAMES)
        self.shut: set[str] = set()

    def read(self, data: bytes) -> tuple[int, int | None]:
        """Apply a message; gives its lines and its mark."""
        lines, mark, parts = 0, None, [json.loads(line) for line in data.splitlines()]
        assert [part.get("continued", False) for part in parts] == [True] * (len(parts) - 1) + [
            False
        ]
        assert len(parts) <= 64 and all(len(line) < 2**20 for line in data.splitlines())
        for part in parts:
            assert part["@type"] == "push"
            for name in part.get("routes", NAMES):
                if part.get("full"):
                    self.held[name], self.level[name] = {}, None
                for worker_id, weight in part.get("endpoints", ()):
                    assert weight >= 0
                    self.held[name][worker_id] = weight
                    if not weight:
                        del self.held[name][worker_id]
                if "admit" in part:
                    self.level[name] = (part["admit"], part["policy"])
            self.shut |= set(part.get("eject", ()))
            self.shut -= set(part.get("restore", ()))
            mark = part.get("nonce_out", mark)
            lines += sum(len(part.get(key, ())) for key in ("endpoints", "eject", "restore"))
            lines += sum(key in part for key in ("admit", "nonce_out")) + part.get("full", False)
        return lines, mark


class Both(Model):
    """The plain model of the rules, with each reply written out as well, and read by plain proxies."""

    def __init__(self, what: ManagerSettings) -> None:
        super().__init__(what)
        self.came: list[Event] = []
        self.messages = self.over = 0

    def restart(self) -> None:
        super().restart()
        self.orders_out = PlatformTableInstaller(
            NAMES, self.settings.default_retry_policy, self.settings.channel.message_overhead
        )
        self.plain: dict[int, PlainProxy] = {}

    def _handle_event(self, event: Event) -> None:
        super()._handle_event(event)
        self.came.append(event)
        if isinstance(event, ProxyConnected):
            proxy = self.plain.setdefault(event.proxy, PlainProxy())
            if event.first_connection:
                self.plain[event.proxy] = PlainProxy()
            else:  # another manager had it, and let nobody back
                proxy.shut |= {endpoint(n).id for n in range(9) if n % 3 == event.proxy % 3}

    def _apply_orders(self) -> None:
        super()._apply_orders()
        came, self.came = self.came, []
        self.orders_out.handle_events(came)
        bare = {
            p
            for p, seat in self.orders_out.proxies.items()
            if len(seat.table_by_class) < len(NAMES)
        }
        parcels = self.orders_out.apply_orders(self.orders, self.now)
        marks = [
            order.ack_number for order in self.orders if isinstance(order, RequestAcknowledgement)
        ]
        for proxy, parcel in parcels.items():
            lines, mark = self.plain[proxy].read(parcel.data)
            assert [mark] == marks or not marks
            assert parcel.lines == lines + self.settings.channel.message_overhead
            reckoned = self.orders_out.entries_by_proxy[proxy] + (mark is not None)
            # Only who may have come with workers shut out costs more, and only at its first table.
            self.over += lines > reckoned and proxy not in bare
        self.messages += len(parcels)
        self._compare()

    def _compare(self) -> None:
        orders = self.orders_out
        for p, seat in orders.proxies.items():
            for k, tbl in seat.table_by_class.items():
                name, laid, plain = NAMES[k], orders.tables[tbl], self.plain[p]
                assert plain.held[name] == laid.weights
                level = plain.level[name] or (1.0, self.settings.default_retry_policy)
                retry, share = laid.admissions.get(k, (self.settings.default_retry_policy, 1.0))
                assert level == (share, retry)
                assert orders.ejected & laid.weights.keys() <= plain.shut, "sent to while withdrawn"
                sure = laid.weights.keys() - orders.ejected - seat.sent_tables.possibly_ejected
                assert not plain.shut & sure, "shut out for good"


@pytest.mark.parametrize("seed", range(12))
def test_a_proxy_ends_up_with_what_the_module_laid_at_no_more_lines_than_reckoned(
    seed: int,
) -> None:
    both = run(Both(manager_settings()), seed)
    assert both.messages > 100
    assert both.over == 0


def laid(shares: dict[str, float], tbl: int = 1) -> list[Order]:
    return [SetWeight(tbl, name, weight) for name, weight in shares.items()]


def desk(*joined: ProxyConnected) -> PlatformTableInstaller:
    orders = PlatformTableInstaller(NAMES, 1, 4.0)
    orders.handle_events([EndpointsUpdated("kept", tuple(endpoint(n) for n in range(4))), *joined])
    return orders


def lines_of(data: bytes) -> Iterator[dict[str, Any]]:
    return map(json.loads, data.splitlines())


def test_products_that_share_a_table_are_named_together_and_a_level_rides_along() -> None:
    orders = desk(ProxyConnected(3, "north", 5.0, True))
    shares = {endpoint(0).id: 1.5, endpoint(1).id: 0.25}
    parcel = orders.apply_orders(
        [*laid(shares), AssignTable(3, (0, 1), 1), RequestAcknowledgement(905, False)], 0.0
    )[3]
    assert list(lines_of(parcel.data)) == [
        {
            "@type": "push",
            "full": True,
            "endpoints": [[endpoint(0).id, 1.5], [endpoint(1).id, 0.25]],
            "nonce_out": 905,
        }
    ]
    parcel = orders.apply_orders(
        [
            SetWeight(1, endpoint(1).id, 0.0),
            SetAdmission(1, 1, 0, 0.5),
            RequestAcknowledgement(906, False),
        ],
        0.0,
    )[3]
    assert list(lines_of(parcel.data)) == [
        {"@type": "push", "endpoints": [[endpoint(1).id, 0.0]], "continued": True},
        {"@type": "push", "routes": ["book"], "admit": 0.5, "policy": 0, "nonce_out": 906},
    ]
    assert parcel.lines == 4 + 3


def test_a_full_table_forgets_levels_so_that_they_are_sent_again() -> None:
    orders = desk(ProxyConnected(3, "north", 5.0, True))
    orders.apply_orders(
        [*laid({endpoint(0).id: 1.0}), SetAdmission(1, 0, 1, 0.5), AssignTable(3, (0, 1), 1)], 0.0
    )
    orders.handle_events([ProxyDisconnected(3), ProxyConnected(3, "north", 5.0, False)])
    parts = list(lines_of(orders.apply_orders([AssignTable(3, (0, 1), 1)], 0.0)[3].data))
    assert parts[0]["full"] and parts[1] == {
        **parts[1],
        "routes": ["read"],
        "admit": 0.5,
        "policy": 1,
    }


def test_a_mark_goes_out_alone_where_nothing_differs() -> None:
    orders = desk(ProxyConnected(3, "north", 5.0, True), ProxyConnected(4, "north", 5.0, True))
    orders.apply_orders([*laid({endpoint(0).id: 1.0}), AssignTable(3, (0, 1), 1)], 0.0)
    parcels = orders.apply_orders(
        [
            *laid({endpoint(0).id: 1.0}, 2),
            AssignTable(3, (0, 1), 2),
            RequestAcknowledgement(7, True),
        ],
        0.0,
    )
    assert (
        list(lines_of(parcels[3].data))
        == [{"@type": "push", "nonce_out": 7}]
        == list(lines_of(parcels[4].data))
    )


def test_who_was_shut_out_on_an_earlier_stream_is_let_back_on_the_next() -> None:
    shares = {endpoint(n).id: 1.0 for n in range(3)}
    orders = desk(ProxyConnected(3, "north", 5.0, True))
    orders.apply_orders([*laid(shares), AssignTable(3, (0, 1), 1)], 0.0)
    (part,) = lines_of(orders.apply_orders([SetEjected(endpoint(1).id, True)], 0.0)[3].data)
    assert part == {"@type": "push", "eject": [endpoint(1).id]}
    assert not orders.apply_orders([SetEjected(endpoint(1).id, True)], 0.0), "told once"
    orders.handle_events([ProxyDisconnected(3)])
    orders.apply_orders([SetEjected(endpoint(1).id, False)], 0.0)
    orders.handle_events([ProxyConnected(3, "north", 5.0, False)])
    (part,) = lines_of(orders.apply_orders([AssignTable(3, (0, 1), 1)], 0.0)[3].data)
    assert part["restore"][0] == endpoint(1).id, "those that we know of come first"


def test_a_worker_that_another_manager_may_have_shut_out_is_let_back_within_the_lines_reckoned() -> (
    None
):
    shares = {endpoint(n).id: 1.0 for n in range(4)}
    orders = desk(ProxyConnected(3, "north", 5.0, False))
    first = orders.apply_orders([*laid(shares), AssignTable(3, (0, 1), 1)], 0.0)[3]
    assert first.lines == 4 + 1 + 4
    orders.apply_orders(laid(shares, 2), 0.0)
    second = orders.apply_orders([AssignTable(3, (0, 1), 2)], 0.0)[3]
    assert list(lines_of(second.data)) == [{"@type": "push", "restore": sorted(shares)}]
    orders.apply_orders(laid(shares, 3), 0.0)
    assert not orders.apply_orders([AssignTable(3, (0, 1), 3)], 0.0), "once, and nothing differs"


def test_what_is_kept_by_worker_has_an_end() -> None:
    orders = desk(ProxyConnected(3, "north", 5.0, True))
    for n in range(4 * MAX_REMEMBERED_WORKERS):
        fresh = Endpoint(f"w{n}", "north", "", 0, "ready", 1.0, None)
        orders.handle_events([EndpointsUpdated("changes", (fresh,))])
        orders.apply_orders([SetWeight(1, fresh.id, 1.0), AssignTable(3, (0, 1), 1)], 0.0)
        orders.apply_orders([SetEjected(fresh.id, True), SetWeight(1, fresh.id, 0.0)], 0.0)
        orders.handle_events(
            [EndpointsUpdated("changes", (Endpoint(fresh.id, "north", "", 0, "gone", 1.0, None),))]
        )
        orders.apply_orders([SetEjected(fresh.id, False)], 0.0)
    assert len(orders.known_workers) <= MAX_REMEMBERED_WORKERS + 4
    assert (
        len(orders.proxies[3].sent_tables.ejected) <= MAX_REMEMBERED_WORKERS + 4
        and len(orders.suspected_ejections) <= MAX_REMEMBERED_WORKERS + 4
    )


def test_a_product_for_its_own_zone_gets_the_lines_of_that_zone_alone() -> None:
    orders = PlatformTableInstaller(NAMES, 1, 4.0, (False, True))
    orders.handle_events([EndpointsUpdated("whole", tuple(endpoint(n) for n in range(6)))])
    orders.handle_events(
        [ProxyConnected(1, "north", 5.0, True), ProxyConnected(2, "south", 5.0, True)]
    )
    shares = [SetWeight(7, endpoint(n).id, 1.0) for n in range(6)]
    parcels = orders.apply_orders(
        [
            *shares,
            AssignTable(1, (0, 1), 7),
            AssignTable(2, (0, 1), 7),
            RequestAcknowledgement(3, False),
        ],
        1.0,
    )
    proxies = {1: PlainProxy(), 2: PlainProxy()}
    for p, plain in proxies.items():
        assert plain.read(parcels[p].data)[0] <= parcels[p].lines
        assert len(plain.held["read"]) == 6
        assert plain.held["book"].keys() == {endpoint(n).id for n in (p - 1, p + 2)}
    parcels = orders.apply_orders(
        [SetWeight(7, endpoint(0).id, 0.5), SetWeight(7, endpoint(1).id, 0.0)], 2.0
    )
    for p, plain in proxies.items():
        plain.read(parcels[p].data)
    assert proxies[1].held["book"] == {endpoint(0).id: 0.5, endpoint(3).id: 1.0}
    assert proxies[2].held["book"] == {endpoint(4).id: 1.0} and len(proxies[2].held["read"]) == 5


@pytest.mark.parametrize("seed", range(6))
def test_lines_of_products_that_keep_to_the_zone_are_never_more_than_the_module_reckons(
    seed: int,
) -> None:
    products = (
        manager_settings().traffic_classes[0],
        replace(manager_settings().traffic_classes[1], same_zone_only=True),
    )
    model = Model(manager_settings(traffic_classes=products, initial_subset_size=3, seed=seed))
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(60)))])
    orders = PlatformTableInstaller(
        NAMES, 1, model.settings.channel.message_overhead, (False, True)
    )
    orders.handle_events([EndpointsUpdated("kept", tuple(endpoint(n) for n in range(60)))])
    account, written = model.module.state.budget, 0.0
    for n in range(60):
        events: list[Event] = [ProxyConnected(n, ZONES[n % 3], 5.0, True)]
        if n % 7 == 6:
            events.append(EndpointsUpdated("changes", (endpoint(n, "gone"),)))
        orders.handle_events(events)
        model.step(0.05, events)
        parcels = orders.apply_orders(model.orders, model.now)
        reckoned = sum(
            account.pending_replies[p.ack_number].entries_by_proxy[proxy]
            for proxy, p in parcels.items()
            if p.ack_number in account.pending_replies
        )
        written += sum(parcel.lines for parcel in parcels.values())
        assert sum(parcel.lines for parcel in parcels.values()) <= reckoned
    assert written > 500 and not model.broken
