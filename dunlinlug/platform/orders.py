"""What each stream's proxy holds, and one reply of the module as messages on the streams.

The wanted state is the tables as laid; `difference` alone makes what goes out from it and from what
a proxy holds. Lines are never more than the module reckons, but for workers let back that a proxy
may have brought along shut out. No socket, no clock, no decision.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from dunlinlug.decision.events import (
    Endpoint,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import DeleteTable, Order, SetAdmission, SetWeight
from dunlinlug.manager.installed_tables import InstalledTable, ProxyAssignment, TableInstaller
from dunlinlug.platform.messages import TableUpdate, encode

# lines in one part: with names of 128 bytes well below the protocol's 1 MiB
MAX_ENTRIES_PER_PART = 4096
Admission = tuple[float, int]  # the share let in, and the way of trying again
# workers remembered after they have gone: one that comes back may still be shut out by proxies
MAX_REMEMBERED_WORKERS = 256
NO_WORKERS: frozenset[str] = frozenset()


@dataclass(frozen=True, eq=False)
class TableSnapshot:
    """A table's lines at one moment, shared by all proxies that hold them."""

    weights: Mapping[str, float]


@dataclass(frozen=True)
class ProxyTables:
    """What a proxy holds: by product its lines and level (None: not known), who it surely shuts
    out, and who it may have brought along shut out.
    """

    tables: tuple[TableSnapshot | None, ...]
    admissions: tuple[Admission | None, ...]
    ejected: frozenset[str] = NO_WORKERS
    possibly_ejected: frozenset[str] = NO_WORKERS


@dataclass(frozen=True)
class DesiredTables:
    """What it should hold: by product None where it is not bound. `news` are workers shut out or
    let back in this very reply, `suspects` those that any proxy may have shut out.
    """

    tables: tuple[TableSnapshot | None, ...]
    admissions: tuple[Admission, ...]
    ejected: frozenset[str]
    ejection_changes: frozenset[str]
    suspected_ejections: frozenset[str]


@dataclass
class ProxyMessage:
    """One message for one proxy: its bytes, the lines that it counts for, the mark that it bears."""

    data: bytes
    entry_count: float
    ack_number: int | None


@dataclass(eq=False)
class PlatformProxyState(ProxyAssignment):
    sent_tables: ProxyTables = field(default_factory=lambda: ProxyTables((), ()))
    zone: str = ""


def _changed_entries(
    current: TableSnapshot | None, desired: TableSnapshot, admission_entries: int
) -> tuple[bool, tuple[tuple[str, float], ...]]:
    """Whether the table goes whole, and the lines that go."""
    if current is desired:
        return False, ()
    all_entries = tuple(desired.weights.items())
    if current is None:
        return True, all_entries
    changed = [
        (worker, weight) for worker, weight in all_entries if current.weights.get(worker) != weight
    ]
    changed += [(worker, 0.0) for worker in current.weights if worker not in desired.weights]
    send_whole = len(changed) > 1 + len(all_entries) + admission_entries
    return send_whole, all_entries if send_whole else tuple(changed)


def build_updates(
    current: ProxyTables,
    desired: DesiredTables,
    class_names: tuple[str, ...],
    default_admission: Admission,
    max_entries: float,
) -> tuple[list[TableUpdate], ProxyTables, int]:
    """The parts of one message, what is held after it, and its lines. `names` are the products',
    `usual` is the level of a table that has none; up to `spare` lines in all may go for workers
    that might be shut out.
    """
    classes_by_entries: dict[tuple[bool, tuple[tuple[str, float], ...]], list[int]] = {}
    classes_by_admission: dict[Admission, list[int]] = {}
    after_tables = list(current.tables)
    after_admissions = list(current.admissions)
    for class_index, desired_table in enumerate(desired.tables):
        if desired_table is None:
            continue
        send_whole, entries = _changed_entries(
            current.tables[class_index],
            desired_table,
            desired.admissions[class_index] != default_admission,
        )
        if send_whole or entries:
            classes_by_entries.setdefault((send_whole, entries), []).append(class_index)
        if desired.admissions[class_index] != (
            default_admission if send_whole else current.admissions[class_index]
        ):
            classes_by_admission.setdefault(desired.admissions[class_index], []).append(class_index)
        after_tables[class_index], after_admissions[class_index] = (
            desired_table,
            desired.admissions[class_index],
        )
    parts = []
    entry_count = 0
    for (send_whole, entries), class_indexes in classes_by_entries.items():
        routes = (
            None
            if len(class_indexes) == len(class_names)
            else [class_names[class_index] for class_index in class_indexes]
        )
        for start in range(0, max(len(entries), 1), MAX_ENTRIES_PER_PART):
            parts.append(
                TableUpdate(
                    routes=routes,
                    full=send_whole and not start,
                    endpoints=list(entries[start : start + MAX_ENTRIES_PER_PART]),
                )
            )
        entry_count += send_whole + len(entries)
    for (admitted_fraction, retry), class_indexes in classes_by_admission.items():
        routes = (
            None
            if len(class_indexes) == len(class_names)
            else [class_names[class_index] for class_index in class_indexes]
        )
        # A level may ride with the lines of the same products, in the part that ends them.
        part = next(
            (
                update
                for update in reversed(parts)
                if update.routes == routes and update.admit is None
            ),
            None,
        )
        if part is None:
            parts.append(part := TableUpdate(routes=routes))
        part.admit = admitted_fraction
        part.policy = retry
        entry_count += 1
    eject, restore, entry_count = _ejection_changes(
        current, desired, after_tables, entry_count, max_entries
    )
    if eject or restore:
        if not parts:
            parts.append(TableUpdate())
        parts[-1].eject = eject or None
        parts[-1].restore = restore or None
    after = ProxyTables(
        tuple(after_tables),
        tuple(after_admissions),
        (current.ejected | set(eject)) - set(restore),
        current.possibly_ejected - set(eject) - set(restore),
    )
    return parts, after, entry_count


def _ejection_changes(
    current: ProxyTables,
    desired: DesiredTables,
    tables: list[TableSnapshot | None],
    entry_count: int,
    max_entries: float,
) -> tuple[list[str], list[str], int]:
    """Whom to shut out and let back, and the lines of it all."""
    concerned = {
        worker
        for snapshot in dict.fromkeys(tables)
        if snapshot is not None
        for worker in snapshot.weights
    }
    # Danger: what it brought along is not known, and may hold who was shut out just now.
    relevant = concerned | desired.ejection_changes if None in tables else concerned
    eject = sorted((desired.ejected & relevant) - current.ejected)
    restore = sorted((current.ejected & relevant) - desired.ejected)
    entry_count += len(eject) + len(restore)
    # Danger: shut out by an earlier stream or by another manager, a worker would stay so for good.
    possibly_ejected = sorted(
        (current.possibly_ejected & concerned) - desired.ejected - set(restore),
        key=lambda worker_id: (worker_id not in desired.suspected_ejections, worker_id),
    )
    restore_limit = max(
        sum(worker in desired.suspected_ejections for worker in possibly_ejected),
        int(max_entries - entry_count),
    )
    extra_restores = possibly_ejected[:restore_limit]
    return eject, restore + extra_restores, entry_count + len(extra_restores)


class PlatformTableInstaller(TableInstaller[PlatformProxyState]):
    """Tables as laid and streams as written. `usual_retry` is the way of trying again where a table
    says none; `home` tells by product whether it may go only to workers in the proxy's zone, so
    that of a table those lines alone go.
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
        self.listed_workers: dict[str, None] = {}  # who is listed, in the order in which they came
        self.ejected_at_disconnect: dict[
            int, frozenset[str]
        ] = {}  # by proxy, who we had shut out when its stream ended
        self.suspected_ejections: frozenset[str] = NO_WORKERS
        self.snapshots: dict[
            tuple[int, str], TableSnapshot
        ] = {}  # by table and the zone that it is narrowed to, or none
        self.zones: dict[str, str] = {}  # of workers known
        self.ejection_changes: set[str] = set()
        self.departed_workers: dict[str, None] = {}  # who has gone, the last at the end
        self.known_workers: frozenset[str] = NO_WORKERS  # both

    def handle_events(self, events: Iterable[Event]) -> None:
        for event in events:
            match event:
                case EndpointsUpdated(update_kind, workers):
                    self._update_workers(update_kind, workers)
                case ProxyConnected(proxy, first_connection=first):
                    self.remove_proxy(proxy)
                    ejected_before = self.ejected_at_disconnect.get(proxy, NO_WORKERS)
                    possibly_ejected = (
                        ejected_before if first else self.known_workers | ejected_before
                    )
                    tables = ProxyTables(
                        (None,) * self.traffic_class_count,
                        (None,) * self.traffic_class_count,
                        NO_WORKERS,
                        possibly_ejected,
                    )
                    self.proxies[proxy] = PlatformProxyState(sent_tables=tables, zone=event.zone)
                case ProxyDisconnected(proxy):
                    self.remove_proxy(proxy)

    def _update_workers(self, update_kind: str, workers: Sequence[Endpoint]) -> None:
        present = {worker.id: None for worker in workers if worker.state != "gone"}
        for listed_worker in workers:
            if self.zones.get(listed_worker.id, listed_worker.zone) != listed_worker.zone:
                self.snapshots.clear()
            self.zones[listed_worker.id] = listed_worker.zone
        removed = {worker.id for worker in workers if worker.state == "gone"}
        if update_kind in ("whole", "kept"):
            removed |= self.listed_workers.keys() - present.keys()
            self.listed_workers = present
        elif update_kind == "changes":
            self.listed_workers.update(present)
            for worker in removed:
                self.listed_workers.pop(worker, None)
        for worker in sorted(removed):
            self.departed_workers.pop(worker, None)
            self.departed_workers[worker] = None
        for worker in present:
            self.departed_workers.pop(worker, None)
        self._limit_remembered_workers()

    def _limit_remembered_workers(self) -> None:
        """Danger: over new ids for good, what is kept by worker would grow without end."""
        forgotten = list(self.departed_workers)[:-MAX_REMEMBERED_WORKERS]
        for worker in forgotten:
            del self.departed_workers[worker]
        self.known_workers = frozenset(self.listed_workers) | frozenset(self.departed_workers)
        if forgotten:
            self.zones = {
                worker: zone for worker, zone in self.zones.items() if worker in self.known_workers
            }
            self.suspected_ejections &= self.known_workers
            self.ejected_at_disconnect = {
                proxy: ejected & self.known_workers
                for proxy, ejected in self.ejected_at_disconnect.items()
            }
            for proxy_state in self.proxies.values():
                tables = proxy_state.sent_tables
                proxy_state.sent_tables = replace(
                    tables,
                    ejected=tables.ejected & self.known_workers,
                    possibly_ejected=tables.possibly_ejected & self.known_workers,
                )

    def remove_proxy(self, proxy: int) -> None:
        if proxy in self.proxies:
            self.ejected_at_disconnect[proxy] = (
                self.proxies[proxy].sent_tables.ejected
                | self.proxies[proxy].sent_tables.possibly_ejected
            )
        super().remove_proxy(proxy)

    def on_table_updated(
        self, order: SetWeight | DeleteTable | SetAdmission, table: InstalledTable
    ) -> None:
        for zone in ("", *dict.fromkeys(self.zones.values())) if self.zone_local_classes else ("",):
            self.snapshots.pop((order.table_id, zone), None)

    def on_ejection_changed(self, worker: str) -> None:
        self.ejection_changes.add(worker)
        self.suspected_ejections |= {worker}

    def _snapshot(self, table_id: int, zone: str) -> TableSnapshot:
        if (table_id, zone) not in self.snapshots:
            weights = self.tables[table_id].weights.items()
            self.snapshots[table_id, zone] = TableSnapshot(
                {
                    worker: weight
                    for worker, weight in weights
                    if not zone or self.zones.get(worker) == zone
                }
            )
        return self.snapshots[table_id, zone]

    def _desired_tables(
        self,
        assigned_tables: tuple[int | None, ...],
        zone: str,
        ejected: frozenset[str],
        ejection_changes: frozenset[str],
    ) -> DesiredTables:
        admissions = [
            self.tables[table_id].admissions.get(class_index) if table_id is not None else None
            for class_index, table_id in enumerate(assigned_tables)
        ]
        snapshots = (
            None
            if table_id is None
            else self._snapshot(
                table_id,
                zone if self.zone_local_classes and self.zone_local_classes[class_index] else "",
            )
            for class_index, table_id in enumerate(assigned_tables)
        )
        return DesiredTables(
            tuple(snapshots),
            tuple(
                self.default_admission if admission is None else (admission[1], admission[0])
                for admission in admissions
            ),
            ejected,
            ejection_changes,
            self.suspected_ejections,
        )

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> dict[int, ProxyMessage]:
        """One reply: a message for each proxy that it concerns. Proxies in the same state share the
        work.
        """
        self.ejection_changes = set()
        ack_number = self.install_orders(orders, awaited_proxies)
        ejected = frozenset(self.ejected)
        ejection_changes = frozenset(self.ejection_changes)
        desired_by_assignment: dict[tuple[tuple[int | None, ...], str], DesiredTables] = {}
        message_cache: dict[
            tuple[ProxyTables, tuple[int | None, ...], str, float], tuple[bytes, ProxyTables, int]
        ] = {}
        messages = {}
        for proxy, max_entries in self.entries_by_proxy.items():
            proxy_state = self.proxies[proxy]
            assigned_tables = tuple(
                proxy_state.table_by_class.get(class_index)
                for class_index in range(self.traffic_class_count)
            )
            zone = proxy_state.zone if self.zone_local_classes else ""
            key = (proxy_state.sent_tables, assigned_tables, zone, max_entries)
            if key not in message_cache:
                if (assigned_tables, zone) not in desired_by_assignment:
                    desired_by_assignment[assigned_tables, zone] = self._desired_tables(
                        assigned_tables, zone, ejected, ejection_changes
                    )
                parts, tables_after, entry_count = build_updates(
                    proxy_state.sent_tables,
                    desired_by_assignment[assigned_tables, zone],
                    self.class_names,
                    self.default_admission,
                    max_entries,
                )
                message_cache[key] = (
                    self._encode_message(parts, ack_number),
                    tables_after,
                    entry_count,
                )
            data, proxy_state.sent_tables, entry_count = message_cache[key]
            if data:
                messages[proxy] = ProxyMessage(
                    data, entry_count + self.message_overhead + (ack_number is not None), ack_number
                )
        return messages

    def _encode_message(self, updates: list[TableUpdate], ack_number: int | None) -> bytes:
        if ack_number is not None:
            if not updates:
                updates = [TableUpdate()]
            updates[-1].nonce_out = ack_number
        for update in updates[:-1]:
            update.continued = True
        return b"".join(map(encode, updates))
