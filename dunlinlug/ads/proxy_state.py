"""The manager's present state on the wire: which tables are laid, who is bound where, who is
withdrawn.

`obey` carries out one reply's orders and gives, for each proxy concerned, one parcel. Lines are
counted as the module counts them. No socket, no clock, no decision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.decision.events import EndpointsUpdated, Event
from dunlinlug.decision.orders import DeleteTable, Order, SetAdmission, SetWeight
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.manager.installed_tables import InstalledTable, ProxyAssignment, TableInstaller
from dunlinlug.xds import encoding, names
from dunlinlug.xds import state_of_the_world as xds_state_of_the_world


@dataclass(eq=False)
class XdsProxyState(ProxyAssignment):
    """A joined proxy: its table by product, tables it was sent, and whether it lays OUT over its
    tables.
    """

    supports_ejection_overlay: bool = False
    uses_state_of_the_world: bool = (
        False  # takes all resources of a client of the state-of-the-world form
    )
    sent_tables: set[str] = field(default_factory=set)
    stale_tables: set[str] = field(
        default_factory=set
    )  # tables to be taken away with the next message
    sent_ejections_version: str = ""  # of OUT as last sent on this stream
    previous_assignments: set[tuple[int, int]] = field(
        default_factory=set
    )  # product and table, of the full form, as bound before


class XdsTableInstaller(TableInstaller[XdsProxyState]):
    """`epoch` names this manager's life; `usual_retry` is the way where a table says none; a try
    that may be followed after any failure may take `try_aims` SLA times (0: no bound).
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
        self.attempt_timeout_factor = attempt_timeout_factor
        self.message_overhead = message_overhead
        self.zones: dict[str, str] = {}
        self._reset_reply_state()

    def restore(
        self,
        epoch: int,
        tables: dict[int, InstalledTable],
        ejected: set[str],
        zones: dict[str, str],
    ) -> None:
        """Stand where another manager stood; nobody is joined."""
        self.epoch = epoch
        self.tables = tables
        self.ejected = ejected
        self.zones = zones
        self.proxies = {}
        self.table_users = {}
        self._reset_reply_state()

    def _reset_reply_state(self) -> None:
        self.entries_by_proxy = {}
        self.changed_tables: dict[int, set[int]] = {}  # table numbers by proxy, to be sent anew
        self.proxies_with_new_routes: set[int] = set()
        self.proxies_with_new_ejections: set[int] = set()

    def handle_events(self, events: Iterable[Event]) -> None:
        """What the module is about to hear; proxies join and leave through the service."""
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
        """A proxy's stream stands; `holds` names the tables it still has from earlier streams."""
        self.remove_proxy(proxy)
        self.proxies[proxy] = XdsProxyState(
            supports_ejection_overlay=supports_ejection_overlay,
            uses_state_of_the_world=uses_state_of_the_world,
            stale_tables={name for name in held_tables if name != names.EJECTIONS_RESOURCE},
        )

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> dict[int, ResponseBatch]:
        """Carry out the orders that concern proxies; the rest are the host's. `concerned` get the
        reply's mark whatever else they get: the module awaits their answers for orders that were
        refused.
        """
        self._reset_reply_state()
        return self._build_batches(self.install_orders(orders, awaited_proxies), now)

    def table_name(self, table_id: int) -> str:
        return names.table_name(self.epoch, table_id)

    def on_table_updated(
        self, order: SetWeight | DeleteTable | SetAdmission, table: InstalledTable
    ) -> None:
        if isinstance(order, DeleteTable):
            for proxy_state in self.proxies.values():
                if table.name in proxy_state.sent_tables:
                    proxy_state.stale_tables.add(table.name)

    def on_proxy_table_changed(self, proxy: int, table_id: int, admission_changed: bool) -> None:
        self.changed_tables.setdefault(proxy, set()).add(table_id)
        if admission_changed:
            self.proxies_with_new_routes.add(proxy)

    def on_table_assigned(
        self, proxy: int, traffic_classes: tuple[int, ...], table_id: int
    ) -> None:
        self.proxies[proxy].previous_assignments.update(
            (traffic_class, table_id) for traffic_class in traffic_classes
        )
        self.changed_tables.setdefault(proxy, set()).add(table_id)
        self.proxies_with_new_routes.add(proxy)
        self.proxies_with_new_ejections.add(proxy)

    def on_proxy_ejections_changed(self, proxy: int, affected_tables: set[int]) -> None:
        self.proxies_with_new_ejections.add(proxy)
        if not self.proxies[proxy].supports_ejection_overlay:
            self.changed_tables.setdefault(proxy, set()).update(affected_tables)

    def _build_batches(self, ack_number: int | None, now: float) -> dict[int, ResponseBatch]:
        resource_cache: dict[tuple[int, bool], encoding.EncodedResource] = {}
        ejection_resource = (
            encoding.encode_ejections(self.ejected) if self.proxies_with_new_ejections else None
        )
        batches = {}
        for proxy, entry_count in self.entries_by_proxy.items():
            proxy_state = self.proxies[proxy]
            batch = ResponseBatch(ordered_at=now)
            if proxy_state.uses_state_of_the_world:
                batch.state_of_the_world = self.state_of_the_world(proxy_state)
            batch.entry_count = entry_count + self.message_overhead + (ack_number is not None)
            if (
                ejection_resource is not None
                and proxy in self.proxies_with_new_ejections
                and proxy_state.supports_ejection_overlay
                and proxy_state.sent_ejections_version != ejection_resource.version
            ):
                proxy_state.sent_ejections_version, batch.tables[names.EJECTIONS_RESOURCE] = (
                    ejection_resource.version,
                    ejection_resource,
                )
            for table_id in sorted(self.changed_tables.get(proxy, ())):
                if table_id in self.tables and table_id in proxy_state.table_by_class.values():
                    key = (table_id, proxy_state.supports_ejection_overlay)
                    resource_cache[key] = resource_cache.get(key) or self.table_resource(
                        table_id, proxy_state.supports_ejection_overlay
                    )
                    batch.tables[resource_cache[key].name] = resource_cache[key]
                    proxy_state.sent_tables.add(resource_cache[key].name)
            if proxy in self.proxies_with_new_routes:
                batch.routes = self.route_resource(proxy_state)
            batch.removed_tables = self._take_unused_tables(proxy_state)
            if ack_number is not None:
                batch.ack_requests.append((ack_number, now))
            batches[proxy] = batch
        return batches

    def _take_unused_tables(self, proxy_state: XdsProxyState) -> set[str]:
        """Tables to take away: only once every product has a table of ours, and none that is in
        use.
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

    def table_resource(
        self, table_id: int, supports_ejection_overlay: bool
    ) -> encoding.EncodedResource:
        table = self.tables[table_id]
        admitted_fractions = {
            self.traffic_classes[traffic_class].name: admitted_fraction
            for traffic_class, (_, admitted_fraction) in sorted(table.admissions.items())
        }
        return encoding.encode_table(
            table.name,
            table.weights,
            self.zones,
            admitted_fractions,
            () if supports_ejection_overlay else self.ejected,
        )

    def route_resource(self, proxy_state: XdsProxyState) -> encoding.EncodedResource:
        return encoding.encode_routes(
            tuple(
                (
                    self.traffic_classes[traffic_class].name,
                    self.tables[table_id].name,
                    self._retry_policy(traffic_class, table_id),
                )
                for traffic_class, table_id in sorted(proxy_state.table_by_class.items())
            )
        )

    def state_of_the_world(
        self, proxy_state: XdsProxyState
    ) -> xds_state_of_the_world.ResourcesByType:
        """All four types for a client of the full form: each product's table under a name of its
        own.
        """
        resources: xds_state_of_the_world.ResourcesByType = {
            kind: {} for kind in xds_state_of_the_world.TYPE_ORDER
        }
        # Danger: a cluster taken away before the client has gone over to the next fails all that it
        # is sent meanwhile.
        proxy_state.previous_assignments = {
            (traffic_class, table_id)
            for traffic_class, table_id in proxy_state.previous_assignments
            if table_id in self.tables
        }
        for traffic_class, table_id in sorted(proxy_state.previous_assignments):
            class_name = self.traffic_classes[traffic_class].name
            table = self.tables[table_id]
            cluster_name = names.cluster_name(table.name, class_name)
            admitted_fraction = table.admissions.get(traffic_class, (self.default_retry, 1.0))[1]
            if proxy_state.table_by_class.get(traffic_class) == table_id:
                resources[names.LISTENERS_TYPE][class_name] = (
                    xds_state_of_the_world.encode_listener(class_name)
                )
                resources[names.ROUTES_TYPE][class_name] = xds_state_of_the_world.encode_routes(
                    class_name, cluster_name
                )
            resources[names.CLUSTERS_TYPE][cluster_name] = xds_state_of_the_world.encode_cluster(
                cluster_name
            )
            resources[names.ENDPOINTS_TYPE][cluster_name] = xds_state_of_the_world.encode_endpoints(
                cluster_name, table.weights, self.zones, admitted_fraction, self.ejected
            )
        return resources

    def _retry_policy(self, traffic_class: int, table_id: int) -> encoding.RetryPolicy:
        retry = self.tables[table_id].admissions.get(traffic_class, (self.default_retry, 1.0))[0]
        return encoding.RetryPolicy(
            retry,
            self.traffic_classes[traffic_class].latency_objective * self.attempt_timeout_factor
            if retry > 1
            else 0.0,
        )
