"""Messages to proxies, checked against a reference proxy that applies them."""

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
from dunlinlug.platform.known_workers import MAX_REMEMBERED_WORKERS
from dunlinlug.platform.orders import PlatformTableInstaller
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings, run

NAMES = ("read", "book")


class ReferenceProxy:
    """A proxy that follows the protocol; it starts with tables of an earlier connection."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, float]] = {name: {"elsewhere:1": 1.0} for name in NAMES}
        self.admissions: dict[str, tuple[float, int] | None] = dict.fromkeys(NAMES)
        self.ejected: set[str] = set()

    def read(self, data: bytes) -> tuple[int, int | None]:
        """Apply a message; return its table entries and its acknowledgement number."""
        entry_count = 0
        ack_number = None
        updates = [json.loads(line) for line in data.splitlines()]
        continued = [update.get("continued", False) for update in updates]
        assert continued == [True] * (len(updates) - 1) + [False]
        assert len(updates) <= 64 and all(len(line) < 2**20 for line in data.splitlines())
        for update in updates:
            assert update["@type"] == "push"
            for name in update.get("routes", NAMES):
                if update.get("full"):
                    self.tables[name], self.admissions[name] = {}, None
                for worker_id, weight in update.get("endpoints", ()):
                    assert weight >= 0
                    self.tables[name][worker_id] = weight
                    if not weight:
                        del self.tables[name][worker_id]
                if "admit" in update:
                    self.admissions[name] = (update["admit"], update["policy"])
            self.ejected |= set(update.get("eject", ()))
            self.ejected -= set(update.get("restore", ()))
            ack_number = update.get("nonce_out", ack_number)
            entry_count += sum(
                len(update.get(key, ())) for key in ("endpoints", "eject", "restore")
            )
            entry_count += sum(key in update for key in ("admit", "nonce_out"))
            entry_count += update.get("full", False)
        return entry_count, ack_number


class ModelWithMessages(Model):
    """The reference model of the rules, which also sends its replies to reference proxies."""

    def __init__(self, settings: ManagerSettings) -> None:
        super().__init__(settings)
        self.pending_events: list[Event] = []
        self.message_count = 0
        self.overrun_count = 0

    def restart(self) -> None:
        super().restart()
        self.installer = PlatformTableInstaller(
            NAMES, self.settings.default_retry_policy, self.settings.channel.message_overhead
        )
        self.reference_proxies: dict[int, ReferenceProxy] = {}

    def _handle_event(self, event: Event) -> None:
        super()._handle_event(event)
        self.pending_events.append(event)
        if isinstance(event, ProxyConnected):
            proxy = self.reference_proxies.setdefault(event.proxy, ReferenceProxy())
            if event.first_connection:
                self.reference_proxies[event.proxy] = ReferenceProxy()
            else:  # it was connected to another manager, which left workers ejected
                proxy.ejected |= {endpoint(n).id for n in range(9) if n % 3 == event.proxy % 3}

    def _apply_orders(self) -> None:
        super()._apply_orders()
        self.installer.handle_events(self.pending_events)
        self.pending_events = []
        proxies_without_table = {
            proxy
            for proxy, state in self.installer.proxies.items()
            if len(state.table_by_class) < len(NAMES)
        }
        messages = self.installer.apply_orders(self.orders, self.now)
        requested = [
            order.ack_number for order in self.orders if isinstance(order, RequestAcknowledgement)
        ]
        for proxy, message in messages.items():
            entry_count, ack_number = self.reference_proxies[proxy].read(message.data)
            assert [ack_number] == requested or not requested
            assert message.entry_count == entry_count + self.settings.channel.message_overhead
            expected = self.installer.entries_by_proxy[proxy] + (ack_number is not None)
            # Only the first table of a proxy may cost more, as workers may be ejected there already.
            self.overrun_count += entry_count > expected and proxy not in proxies_without_table
        self.message_count += len(messages)
        self._compare()

    def _compare(self) -> None:
        for proxy, state in self.installer.proxies.items():
            reference = self.reference_proxies[proxy]
            possibly_ejected = state.sent_tables.possibly_ejected
            for class_index, table_id in state.table_by_class.items():
                self._compare_table(reference, class_index, table_id, possibly_ejected)

    def _compare_table(
        self,
        reference: ReferenceProxy,
        class_index: int,
        table_id: int,
        possibly_ejected: frozenset[str],
    ) -> None:
        name = NAMES[class_index]
        table = self.installer.tables[table_id]
        ejected = self.installer.ejected
        default_retry = self.settings.default_retry_policy
        assert reference.tables[name] == table.weights
        admission = reference.admissions[name] or (1.0, default_retry)
        retry_policy, fraction = table.admissions.get(class_index, (default_retry, 1.0))
        assert admission == (fraction, retry_policy)
        assert ejected & table.weights.keys() <= reference.ejected, "an ejected worker is used"
        surely_usable = table.weights.keys() - ejected - possibly_ejected
        assert not reference.ejected & surely_usable, "a worker stays ejected"


@pytest.mark.parametrize("seed", range(12))
def test_proxies_get_the_installed_tables_at_no_more_entries_than_accounted_for(seed: int) -> None:
    model = run(ModelWithMessages(manager_settings()), seed)
    assert model.message_count > 100
    assert model.overrun_count == 0


def set_weights(weights: dict[str, float], table_id: int = 1) -> list[Order]:
    return [SetWeight(table_id, worker, weight) for worker, weight in weights.items()]


def create_installer(*joined: ProxyConnected) -> PlatformTableInstaller:
    installer = PlatformTableInstaller(NAMES, 1, 4.0)
    installer.handle_events(
        [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(4))), *joined]
    )
    return installer


def decode_updates(data: bytes) -> Iterator[dict[str, Any]]:
    return map(json.loads, data.splitlines())


def test_classes_with_the_same_table_share_an_update_that_may_contain_an_admission() -> None:
    installer = create_installer(ProxyConnected(3, "north", 5.0, True))
    weights = {endpoint(0).id: 1.5, endpoint(1).id: 0.25}
    message = installer.apply_orders(
        [*set_weights(weights), AssignTable(3, (0, 1), 1), RequestAcknowledgement(905, False)], 0.0
    )[3]
    assert list(decode_updates(message.data)) == [
        {
            "@type": "push",
            "full": True,
            "endpoints": [[endpoint(0).id, 1.5], [endpoint(1).id, 0.25]],
            "nonce_out": 905,
        }
    ]
    message = installer.apply_orders(
        [
            SetWeight(1, endpoint(1).id, 0.0),
            SetAdmission(1, 1, 0, 0.5),
            RequestAcknowledgement(906, False),
        ],
        0.0,
    )[3]
    assert list(decode_updates(message.data)) == [
        {"@type": "push", "endpoints": [[endpoint(1).id, 0.0]], "continued": True},
        {"@type": "push", "routes": ["book"], "admit": 0.5, "policy": 0, "nonce_out": 906},
    ]
    assert message.entry_count == 4 + 3


def test_a_replaced_table_loses_its_admission_which_is_sent_again() -> None:
    installer = create_installer(ProxyConnected(3, "north", 5.0, True))
    installer.apply_orders(
        [
            *set_weights({endpoint(0).id: 1.0}),
            SetAdmission(1, 0, 1, 0.5),
            AssignTable(3, (0, 1), 1),
        ],
        0.0,
    )
    installer.handle_events([ProxyDisconnected(3), ProxyConnected(3, "north", 5.0, False)])
    updates = list(decode_updates(installer.apply_orders([AssignTable(3, (0, 1), 1)], 0.0)[3].data))
    assert updates[0]["full"] and updates[1] == {
        **updates[1],
        "routes": ["read"],
        "admit": 0.5,
        "policy": 1,
    }


def test_an_acknowledgement_request_is_sent_alone_where_nothing_differs() -> None:
    installer = create_installer(
        ProxyConnected(3, "north", 5.0, True), ProxyConnected(4, "north", 5.0, True)
    )
    installer.apply_orders([*set_weights({endpoint(0).id: 1.0}), AssignTable(3, (0, 1), 1)], 0.0)
    messages = installer.apply_orders(
        [
            *set_weights({endpoint(0).id: 1.0}, 2),
            AssignTable(3, (0, 1), 2),
            RequestAcknowledgement(7, True),
        ],
        0.0,
    )
    assert (
        list(decode_updates(messages[3].data))
        == [{"@type": "push", "nonce_out": 7}]
        == list(decode_updates(messages[4].data))
    )


def test_a_worker_ejected_on_an_earlier_connection_is_readmitted_on_the_next() -> None:
    weights = {endpoint(n).id: 1.0 for n in range(3)}
    installer = create_installer(ProxyConnected(3, "north", 5.0, True))
    installer.apply_orders([*set_weights(weights), AssignTable(3, (0, 1), 1)], 0.0)
    (update,) = decode_updates(
        installer.apply_orders([SetEjected(endpoint(1).id, True)], 0.0)[3].data
    )
    assert update == {"@type": "push", "eject": [endpoint(1).id]}
    assert not installer.apply_orders([SetEjected(endpoint(1).id, True)], 0.0), (
        "an ejection is sent once"
    )
    installer.handle_events([ProxyDisconnected(3)])
    installer.apply_orders([SetEjected(endpoint(1).id, False)], 0.0)
    installer.handle_events([ProxyConnected(3, "north", 5.0, False)])
    (update,) = decode_updates(installer.apply_orders([AssignTable(3, (0, 1), 1)], 0.0)[3].data)
    assert update["restore"][0] == endpoint(1).id, "workers known to be ejected come first"


def test_a_worker_that_left_a_table_while_ejected_is_usable_once_it_returns() -> None:
    """Guards against a proxy that keeps a worker ejected after its readmission."""
    installer = create_installer(ProxyConnected(3, "north", 5.0, True))
    proxy = ReferenceProxy()
    weights = {endpoint(n).id: 1.0 for n in range(2)}
    replies: list[list[Order]] = [
        [*set_weights(weights), AssignTable(3, (0, 1), 1)],
        [SetEjected(endpoint(0).id, True)],
        set_weights({endpoint(0).id: 0.0}),
        [SetEjected(endpoint(0).id, False)],
        set_weights({endpoint(0).id: 1.0}),
    ]
    for orders in replies:
        for message in installer.apply_orders(orders, 0.0).values():
            proxy.read(message.data)
    assert proxy.tables["read"].keys() - proxy.ejected == weights.keys()


def test_workers_that_another_manager_may_have_ejected_are_readmitted_within_the_entries() -> None:
    weights = {endpoint(n).id: 1.0 for n in range(4)}
    installer = create_installer(ProxyConnected(3, "north", 5.0, False))
    first = installer.apply_orders([*set_weights(weights), AssignTable(3, (0, 1), 1)], 0.0)[3]
    assert first.entry_count == 4 + 1 + 4
    installer.apply_orders(set_weights(weights, 2), 0.0)
    second = installer.apply_orders([AssignTable(3, (0, 1), 2)], 0.0)[3]
    assert list(decode_updates(second.data)) == [{"@type": "push", "restore": sorted(weights)}]
    installer.apply_orders(set_weights(weights, 3), 0.0)
    assert not installer.apply_orders([AssignTable(3, (0, 1), 3)], 0.0), (
        "readmitted once, and nothing else differs"
    )


def test_state_by_worker_is_bounded() -> None:
    installer = create_installer(ProxyConnected(3, "north", 5.0, True))
    for n in range(4 * MAX_REMEMBERED_WORKERS):
        endpoint_added = Endpoint(f"w{n}", "north", "", 0, "ready", 1.0, None)
        installer.handle_events([EndpointsUpdated("changes", (endpoint_added,))])
        installer.apply_orders(
            [SetWeight(1, endpoint_added.id, 1.0), AssignTable(3, (0, 1), 1)], 0.0
        )
        installer.apply_orders(
            [SetEjected(endpoint_added.id, True), SetWeight(1, endpoint_added.id, 0.0)], 0.0
        )
        installer.handle_events(
            [
                EndpointsUpdated(
                    "changes", (Endpoint(endpoint_added.id, "north", "", 0, "gone", 1.0, None),)
                )
            ]
        )
        installer.apply_orders([SetEjected(endpoint_added.id, False)], 0.0)
    assert len(installer.workers.known) <= MAX_REMEMBERED_WORKERS + 4
    assert (
        len(installer.proxies[3].sent_tables.ejected) <= MAX_REMEMBERED_WORKERS + 4
        and len(installer.suspected_ejections) <= MAX_REMEMBERED_WORKERS + 4
    )


def test_a_zone_local_class_gets_the_entries_of_its_zone_alone() -> None:
    installer = PlatformTableInstaller(NAMES, 1, 4.0, (False, True))
    installer.handle_events([EndpointsUpdated("whole", tuple(endpoint(n) for n in range(6)))])
    installer.handle_events(
        [ProxyConnected(1, "north", 5.0, True), ProxyConnected(2, "south", 5.0, True)]
    )
    weights = [SetWeight(7, endpoint(n).id, 1.0) for n in range(6)]
    messages = installer.apply_orders(
        [
            *weights,
            AssignTable(1, (0, 1), 7),
            AssignTable(2, (0, 1), 7),
            RequestAcknowledgement(3, False),
        ],
        1.0,
    )
    proxies = {1: ReferenceProxy(), 2: ReferenceProxy()}
    for proxy, reference in proxies.items():
        assert reference.read(messages[proxy].data)[0] <= messages[proxy].entry_count
        assert len(reference.tables["read"]) == 6
        assert reference.tables["book"].keys() == {endpoint(n).id for n in (proxy - 1, proxy + 2)}
    messages = installer.apply_orders(
        [SetWeight(7, endpoint(0).id, 0.5), SetWeight(7, endpoint(1).id, 0.0)], 2.0
    )
    for proxy, reference in proxies.items():
        reference.read(messages[proxy].data)
    assert proxies[1].tables["book"] == {endpoint(0).id: 0.5, endpoint(3).id: 1.0}
    assert (
        proxies[2].tables["book"] == {endpoint(4).id: 1.0} and len(proxies[2].tables["read"]) == 5
    )


@pytest.mark.parametrize("seed", range(6))
def test_entries_of_zone_local_classes_are_no_more_than_accounted_for(
    seed: int,
) -> None:
    traffic_classes = (
        manager_settings().traffic_classes[0],
        replace(manager_settings().traffic_classes[1], same_zone_only=True),
    )
    model = Model(
        manager_settings(traffic_classes=traffic_classes, initial_subset_size=3, seed=seed)
    )
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(n) for n in range(60)))])
    installer = PlatformTableInstaller(
        NAMES, 1, model.settings.channel.message_overhead, (False, True)
    )
    installer.handle_events([EndpointsUpdated("kept", tuple(endpoint(n) for n in range(60)))])
    budget = model.module.state.budget
    written = 0.0
    for n in range(60):
        events: list[Event] = [ProxyConnected(n, ZONES[n % 3], 5.0, True)]
        if n % 7 == 6:
            events.append(EndpointsUpdated("changes", (endpoint(n, "gone"),)))
        installer.handle_events(events)
        model.step(0.05, events)
        messages = installer.apply_orders(model.orders, model.now)
        expected = sum(
            budget.pending_replies[message.ack_number].entries_by_proxy[proxy]
            for proxy, message in messages.items()
            if message.ack_number in budget.pending_replies
        )
        written += sum(message.entry_count for message in messages.values())
        assert sum(message.entry_count for message in messages.values()) <= expected
    assert written > 500 and not model.violated_rules
