"""Tracks the resources that each proxy holds, and builds batches of those that changed.

`XdsTableInstaller.apply_orders` carries out the orders of one reply of the decision module and
returns a batch of responses for each proxy concerned. Table entries are counted in the same way as
in the decision module. No sockets, no clock, and no decisions of its own.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dunlinlug.ads.resource_encoding import ResourceEncoder
from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.decision.events import EndpointsUpdated, Event
from dunlinlug.decision.orders import DeleteTable, Order, SetAdmission, SetWeight
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.manager.installed_tables import InstalledTable, ProxyAssignment, TableInstaller
from dunlinlug.xds import names
from dunlinlug.xds.encoding import EncodedResource


@dataclass(eq=False)
class XdsProxyState(ProxyAssignment):
    """A connected proxy: its table by traffic class, and the resources it was sent.

    Attributes:
        supports_ejection_overlay: The proxy applies the ejections resource to all its tables; for
            other proxies, ejected workers are marked in the tables they are sent.
        uses_state_of_the_world: The proxy uses the state-of-the-world form of xDS.
        sent_tables: Names of the tables that the proxy was sent.
        stale_tables: Names of tables to remove with a later batch.
        sent_ejections_version: Version of the ejections resource last sent on this stream.
        previous_assignments: Traffic class and table of every assignment so far whose table is
            still installed; for the state-of-the-world form.
    """

    supports_ejection_overlay: bool = False
    uses_state_of_the_world: bool = False
    sent_tables: set[str] = field(default_factory=set)
    stale_tables: set[str] = field(default_factory=set)
    sent_ejections_version: str = ""
    previous_assignments: set[tuple[int, int]] = field(default_factory=set)


class XdsTableInstaller(TableInstaller[XdsProxyState]):
    """Installed tables, connected proxies, and the batches that result from one reply.

    `epoch` is part of table names and is that of the manager that first led with this state.
    `default_retry` is the retry policy (0 to 3) of a class for which a table sets none.
    `message_overhead` is the cost of a message on the channel without its content, in entries.
    `attempt_timeout_factor` times a class's latency objective is the time limit of an attempt that
    may be retried; 0 for no limit.
    """

    def __init__(
        self,
        epoch: int,
        traffic_classes: tuple[TrafficClass, ...],
        default_retry: int,
        message_overhead: float,
        attempt_timeout_factor: float = 0.0,
    ) -> None:
        super().__init__(len(traffic_classes))
        self.epoch = epoch
        self.traffic_classes = traffic_classes
        self.default_retry = default_retry
        self.encoder = ResourceEncoder(traffic_classes, default_retry, attempt_timeout_factor)
        self.message_overhead = message_overhead
        self.zones: dict[str, str] = {}  # by worker, for all workers ever listed
        self._reset_reply_state()

    def restore(
        self,
        epoch: int,
        tables: dict[int, InstalledTable],
        ejected: set[str],
        zones: dict[str, str],
    ) -> None:
        """Take over the state of another manager, with no proxy connected."""
        self.epoch = epoch
        self.tables = tables
        self.ejected = ejected
        self.zones = zones
        self.proxies = {}
        self.table_users = {}
        self._reset_reply_state()

    def _reset_reply_state(self) -> None:
        """Reset the record of changes made by the last reply."""
        self.entries_by_proxy = {}
        self.changed_tables: dict[int, set[int]] = {}  # table ids to send, by proxy
        self.proxies_with_new_routes: set[int] = set()
        self.proxies_with_new_ejections: set[int] = set()

    def handle_events(self, events: Iterable[Event]) -> None:
        """Record workers' zones from events before the decision module receives them.

        Proxies are added and removed by the xDS service, not by events.
        """
        for event in events:
            if isinstance(event, EndpointsUpdated):
                self.zones.update((worker.id, worker.zone) for worker in event.endpoints)

    def add_proxy(
        self,
        proxy: int,
        supports_ejection_overlay: bool,
        held_tables: Iterable[str],
        uses_state_of_the_world: bool = False,
    ) -> None:
        """Add a connected proxy; `held_tables` names the tables it has from earlier streams."""
        self.remove_proxy(proxy)
        self.proxies[proxy] = XdsProxyState(
            supports_ejection_overlay=supports_ejection_overlay,
            uses_state_of_the_world=uses_state_of_the_world,
            stale_tables={name for name in held_tables if name != names.EJECTIONS_RESOURCE},
        )

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> dict[int, ResponseBatch]:
        """Carry out the orders of one reply that concern proxies, and ignore all others.

        Args:
            orders: The reply's orders, in order.
            now: When they were decided (event loop's clock, seconds).
            awaited_proxies: Proxies that get the reply's acknowledgement request even if nothing
                else is sent to them, as the module awaits their acknowledgement for orders that
                were rejected.

        Returns:
            A batch by proxy number, in the order in which the orders concern the proxies.
        """
        self._reset_reply_state()
        return self._build_batches(self.install_orders(orders, awaited_proxies), now)

    def table_name(self, table_id: int) -> str:
        """Return the table's resource name, which contains the epoch."""
        return names.table_name(self.epoch, table_id)

    def on_table_updated(
        self, order: SetWeight | DeleteTable | SetAdmission, table: InstalledTable
    ) -> None:
        """Mark a deleted table as stale for the proxies that were sent it."""
        if isinstance(order, DeleteTable):
            for proxy_state in self.proxies.values():
                if table.name in proxy_state.sent_tables:
                    proxy_state.stale_tables.add(table.name)

    def on_proxy_table_changed(self, proxy: int, table_id: int, admission_changed: bool) -> None:
        """Send the table, the ejections and, if its admission changed, the routes.

        Only a proxy that has an entry of the worker is sent an ejection or its end, so that the
        ejections may have changed while the table had no entry of a worker that it has now.
        """
        self.changed_tables.setdefault(proxy, set()).add(table_id)
        self.proxies_with_new_ejections.add(proxy)
        if admission_changed:
            self.proxies_with_new_routes.add(proxy)

    def on_table_assigned(
        self, proxy: int, traffic_classes: tuple[int, ...], table_id: int
    ) -> None:
        """Send the table, the routes to it, and the ejections."""
        self.proxies[proxy].previous_assignments.update(
            (traffic_class, table_id) for traffic_class in traffic_classes
        )
        self.changed_tables.setdefault(proxy, set()).add(table_id)
        self.proxies_with_new_routes.add(proxy)
        self.proxies_with_new_ejections.add(proxy)

    def on_proxy_ejections_changed(self, proxy: int, affected_tables: set[int]) -> None:
        """Send the ejections; to a proxy without the overlay, send the affected tables instead."""
        self.proxies_with_new_ejections.add(proxy)
        if not self.proxies[proxy].supports_ejection_overlay:
            self.changed_tables.setdefault(proxy, set()).update(affected_tables)

    def _build_batches(self, ack_number: int | None, now: float) -> dict[int, ResponseBatch]:
        ejections: EncodedResource | None = None
        if self.proxies_with_new_ejections:
            ejections = self.encoder.ejections(self.ejected)
        encoded_tables: dict[tuple[int, bool], EncodedResource] = {}
        batches = {}
        for proxy, entry_count in self.entries_by_proxy.items():
            proxy_state = self.proxies[proxy]
            batch = ResponseBatch(ordered_at=now)
            if proxy_state.uses_state_of_the_world:
                batch.state_of_the_world = self.encoder.state_of_the_world(
                    proxy_state.table_by_class,
                    self._drop_deleted_assignments(proxy_state),
                    self.tables,
                    self.zones,
                    self.ejected,
                )
            batch.entry_count = entry_count + self.message_overhead + (ack_number is not None)
            if ejections is not None and proxy in self.proxies_with_new_ejections:
                self._add_ejections(batch, proxy_state, ejections)
            self._add_changed_tables(batch, proxy, encoded_tables)
            if proxy in self.proxies_with_new_routes:
                batch.routes = self.encoder.routes(proxy_state.table_by_class, self.tables)
            batch.removed_tables = self._take_unused_tables(proxy_state)
            if ack_number is not None:
                batch.ack_requests.append((ack_number, now))
            batches[proxy] = batch
        return batches

    @staticmethod
    def _add_ejections(
        batch: ResponseBatch, proxy_state: XdsProxyState, ejections: EncodedResource
    ) -> None:
        """Add the ejections resource if the proxy supports it and was not sent this version."""
        if not proxy_state.supports_ejection_overlay:
            return
        if proxy_state.sent_ejections_version != ejections.version:
            proxy_state.sent_ejections_version = ejections.version
            batch.tables[names.EJECTIONS_RESOURCE] = ejections

    def _add_changed_tables(
        self,
        batch: ResponseBatch,
        proxy: int,
        encoded_tables: dict[tuple[int, bool], EncodedResource],
    ) -> None:
        """Add the changed tables that the proxy uses; each is encoded once for all proxies."""
        proxy_state = self.proxies[proxy]
        has_overlay = proxy_state.supports_ejection_overlay
        used_tables = proxy_state.table_by_class.values()
        for table_id in sorted(self.changed_tables.get(proxy, ())):
            if table_id not in self.tables or table_id not in used_tables:
                continue
            key = (table_id, has_overlay)
            if key not in encoded_tables:
                encoded_tables[key] = self.encoder.table(
                    self.tables[table_id], self.zones, () if has_overlay else self.ejected
                )
            resource = encoded_tables[key]
            batch.tables[resource.name] = resource
            proxy_state.sent_tables.add(resource.name)

    def _drop_deleted_assignments(self, proxy_state: XdsProxyState) -> set[tuple[int, int]]:
        """Drop assignments of deleted tables and return the remaining previous assignments."""
        proxy_state.previous_assignments = {
            (traffic_class, table_id)
            for traffic_class, table_id in proxy_state.previous_assignments
            if table_id in self.tables
        }
        return proxy_state.previous_assignments

    def _take_unused_tables(self, proxy_state: XdsProxyState) -> set[str]:
        """Return and forget the names of stale tables that the proxy no longer uses.

        None are returned until every traffic class has a table of this manager, as a
        class without one may still use a table of an earlier stream.
        """
        if len(proxy_state.table_by_class) < len(self.traffic_classes):
            return set()
        used_tables = {
            self.tables[table_id].name for table_id in proxy_state.table_by_class.values()
        }
        removed_tables = proxy_state.stale_tables - used_tables
        proxy_state.stale_tables = proxy_state.stale_tables & used_tables
        proxy_state.sent_tables -= removed_tables
        return removed_tables
