"""Turns each reply of the decision module into one message per affected proxy.

Holds the installed tables and the state sent to each proxy. Does no I/O, reads no clock and makes
no decisions.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from dunlinlug.decision.events import EndpointsUpdated, Event, ProxyConnected, ProxyDisconnected
from dunlinlug.decision.orders import DeleteTable, Order, SetAdmission, SetWeight
from dunlinlug.manager.installed_tables import InstalledTable, ProxyAssignment, TableInstaller
from dunlinlug.platform.known_workers import NO_WORKERS, KnownWorkers
from dunlinlug.platform.messages import TableUpdate, encode
from dunlinlug.platform.table_diff import (
    Admission,
    DesiredTables,
    ProxyTables,
    TableSnapshot,
    build_update,
)

ANY_ZONE = ""  # instead of a zone, if a table is not restricted to one
AssignedTables = tuple[int | None, ...]  # table id by traffic class, None if none is assigned


@dataclass
class ProxyMessage:
    """A message to a proxy, with its cost in table entries and its acknowledgement request."""

    data: bytes
    entry_count: float
    ack_number: int | None


@dataclass(eq=False)
class PlatformProxyState(ProxyAssignment):
    """A connected proxy: its assignment, the state sent to it, and its zone."""

    sent_tables: ProxyTables = field(default_factory=lambda: ProxyTables((), ()))
    zone: str = ""


@dataclass
class _RenderedUpdate:
    """An encoded update, shared by all proxies in the same state."""

    data: bytes
    tables_after: ProxyTables
    entry_count: int


@dataclass
class _Reply:
    """Data common to all messages of one reply, and a cache of desired tables.

    `desired_tables` is by assigned tables and zone.
    """

    ack_number: int | None
    ejected: frozenset[str]
    ejection_changes: frozenset[str]
    desired_tables: dict[tuple[AssignedTables, str], DesiredTables] = field(default_factory=dict)


class PlatformTableInstaller(TableInstaller[PlatformProxyState]):
    """The installed tables and the state sent to each proxy.

    `default_retry` is the retry policy of a table for which none has been set. `zone_local_classes`
    holds by traffic class whether requests may go only to workers in the proxy's zone; for such a
    class, only those entries of a table are sent.
    """

    def __init__(
        self,
        class_names: tuple[str, ...],
        default_retry: int,
        message_overhead: float,
        zone_local_classes: tuple[bool, ...] = (),
    ) -> None:
        super().__init__(len(class_names))
        self.zone_local_classes = zone_local_classes if any(zone_local_classes) else ()
        self.class_names = class_names
        self.message_overhead = message_overhead
        self.default_admission: Admission = (1.0, default_retry)
        self.workers = KnownWorkers()
        # workers that each proxy may have had ejected when it disconnected
        self.ejected_at_disconnect: dict[int, frozenset[str]] = {}
        self.suspected_ejections: frozenset[str] = NO_WORKERS
        # by table id and the zone to which the snapshot is restricted
        self.snapshots: dict[tuple[int, str], TableSnapshot] = {}
        self.ejection_changes: set[str] = set()

    def handle_events(self, events: Iterable[Event]) -> None:
        """Apply updates of the endpoint list, and connections and disconnections of proxies."""
        for event in events:
            match event:
                case EndpointsUpdated():
                    self._update_workers(event)
                case ProxyConnected():
                    self._add_proxy(event)
                case ProxyDisconnected(proxy):
                    self.remove_proxy(proxy)

    def _update_workers(self, update: EndpointsUpdated) -> None:
        change = self.workers.update(update.update_type, update.endpoints)
        if change.zone_changed:
            self.snapshots.clear()
        if change.forgotten:
            self._forget_unknown_workers()

    def _forget_unknown_workers(self) -> None:
        known = self.workers.known
        self.suspected_ejections &= known
        self.ejected_at_disconnect = {
            proxy: ejected & known for proxy, ejected in self.ejected_at_disconnect.items()
        }
        for proxy_state in self.proxies.values():
            tables = proxy_state.sent_tables
            proxy_state.sent_tables = replace(
                tables,
                ejected=tables.ejected & known,
                possibly_ejected=tables.possibly_ejected & known,
            )

    def _add_proxy(self, event: ProxyConnected) -> None:
        """Start a proxy's state with unknown tables; any known worker may be ejected there.

        On a proxy's first connection, only workers ejected when it last disconnected from this
        manager may still be.
        """
        self.remove_proxy(event.proxy)
        possibly_ejected = self.ejected_at_disconnect.get(event.proxy, NO_WORKERS)
        if not event.first_connection:
            possibly_ejected = self.workers.known | possibly_ejected
        tables = ProxyTables(
            (None,) * self.traffic_class_count,
            (None,) * self.traffic_class_count,
            NO_WORKERS,
            possibly_ejected,
        )
        self.proxies[event.proxy] = PlatformProxyState(sent_tables=tables, zone=event.zone)

    def remove_proxy(self, proxy: int) -> None:
        """Remove a disconnected proxy, but keep which workers it may have ejected."""
        if proxy in self.proxies:
            sent_tables = self.proxies[proxy].sent_tables
            self.ejected_at_disconnect[proxy] = sent_tables.ejected | sent_tables.possibly_ejected
        super().remove_proxy(proxy)

    def on_table_updated(
        self,
        order: SetWeight | DeleteTable | SetAdmission,
        table: InstalledTable,  # noqa: ARG002 - the hook's signature
    ) -> None:
        """Invalidate the table's snapshots."""
        self.snapshots.pop((order.table_id, ANY_ZONE), None)
        if self.zone_local_classes:
            for zone in dict.fromkeys(self.workers.zones.values()):
                self.snapshots.pop((order.table_id, zone), None)

    def on_ejection_changed(self, worker: str) -> None:
        """Record that proxies may have the worker ejected."""
        self.ejection_changes.add(worker)
        self.suspected_ejections |= {worker}

    def _snapshot(self, table_id: int, zone: str) -> TableSnapshot:
        if (table_id, zone) not in self.snapshots:
            weights = self.tables[table_id].weights.items()
            self.snapshots[table_id, zone] = TableSnapshot(
                {
                    worker: weight
                    for worker, weight in weights
                    if not zone or self.workers.zones.get(worker) == zone
                }
            )
        return self.snapshots[table_id, zone]

    def _desired_tables(
        self, assigned_tables: AssignedTables, zone: str, reply: _Reply
    ) -> DesiredTables:
        tables = list[TableSnapshot | None]()
        admissions = list[Admission]()
        for class_index, table_id in enumerate(assigned_tables):
            if table_id is None:
                tables.append(None)
                admissions.append(self.default_admission)
                continue
            is_zone_local = self.zone_local_classes and self.zone_local_classes[class_index]
            tables.append(self._snapshot(table_id, zone if is_zone_local else ANY_ZONE))
            admission = self.tables[table_id].admissions.get(class_index)
            if admission is None:
                admissions.append(self.default_admission)
            else:
                admissions.append((admission[1], admission[0]))
        return DesiredTables(
            tuple(tables),
            tuple(admissions),
            reply.ejected,
            reply.ejection_changes,
            self.suspected_ejections,
        )

    def apply_orders(
        self,
        orders: Iterable[Order],
        now: float,  # noqa: ARG002 - the order sink's signature
        awaited_proxies: Iterable[int] = (),
    ) -> dict[int, ProxyMessage]:
        """Apply the orders of one reply and return a message for each affected proxy.

        A message is rendered once for all proxies in the same state.
        """
        self.ejection_changes = set()
        ack_number = self.install_orders(orders, awaited_proxies)
        reply = _Reply(ack_number, frozenset(self.ejected), frozenset(self.ejection_changes))
        # The key is a plain tuple for speed: one is built for each proxy and reply.
        rendered_by_state: dict[
            tuple[ProxyTables, AssignedTables, str, float], _RenderedUpdate
        ] = {}
        messages = {}
        for proxy, max_entries in self.entries_by_proxy.items():
            proxy_state = self.proxies[proxy]
            assigned_tables = tuple(
                proxy_state.table_by_class.get(class_index)
                for class_index in range(self.traffic_class_count)
            )
            zone = proxy_state.zone if self.zone_local_classes else ANY_ZONE
            state = (proxy_state.sent_tables, assigned_tables, zone, max_entries)
            rendered = rendered_by_state.get(state)
            if rendered is None:
                rendered = self._render_update(*state, reply)
                rendered_by_state[state] = rendered
            proxy_state.sent_tables = rendered.tables_after
            if rendered.data:
                entry_count = rendered.entry_count + self.message_overhead
                messages[proxy] = ProxyMessage(
                    rendered.data, entry_count + (ack_number is not None), ack_number
                )
        return messages

    def _render_update(
        self,
        sent_tables: ProxyTables,
        assigned_tables: AssignedTables,
        zone: str,
        max_entries: float,
        reply: _Reply,
    ) -> _RenderedUpdate:
        desired = reply.desired_tables.get((assigned_tables, zone))
        if desired is None:
            desired = self._desired_tables(assigned_tables, zone, reply)
            reply.desired_tables[assigned_tables, zone] = desired
        update = build_update(
            sent_tables, desired, self.class_names, self.default_admission, max_entries
        )
        data = _encode_message(update.updates, reply.ack_number)
        return _RenderedUpdate(data, update.tables_after, update.entry_count)


def _encode_message(updates: list[TableUpdate], ack_number: int | None) -> bytes:
    """Encode updates as one message; the last line contains the acknowledgement request."""
    if ack_number is not None:
        if not updates:
            updates = [TableUpdate()]
        updates[-1].ack_number = ack_number
    for update in updates[:-1]:
        update.continued = True
    return b"".join(map(encode, updates))
