"""Computes the wire updates that turn a proxy's current tables into its desired tables.

The updates depend on these two alone. They never contain more table entries than the decision
module accounts for, except for readmissions of workers that the proxy may have ejected before it
connected. Does no I/O, reads no clock and makes no decisions.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from dunlinlug.platform.known_workers import NO_WORKERS
from dunlinlug.platform.messages import TableUpdate

# With names of 128 bytes, an update of this many entries is well below the protocol's 1 MiB.
MAX_ENTRIES_PER_UPDATE = 4096
Admission = tuple[float, int]  # the admitted fraction and the retry policy
WeightEntry = tuple[str, float]  # a worker and its weight
# Whether the entries replace the table, and the entries; a plain tuple, as many are built.
WeightChange = tuple[bool, tuple[WeightEntry, ...]]
NO_WEIGHT_CHANGE: WeightChange = (False, ())


@dataclass(frozen=True, eq=False)
class TableSnapshot:
    """A table's weights at one time, shared by all proxies that have them."""

    weights: Mapping[str, float]


@dataclass(frozen=True)
class ProxyTables:
    """The state of a proxy as sent to it.

    `tables` and `admissions` are by traffic class, None if unknown. The proxy certainly has ejected
    the workers in `ejected`; it may have ejected those in `possibly_ejected` before it connected.
    """

    tables: tuple[TableSnapshot | None, ...]
    admissions: tuple[Admission | None, ...]
    ejected: frozenset[str] = NO_WORKERS
    possibly_ejected: frozenset[str] = NO_WORKERS


@dataclass(frozen=True)
class DesiredTables:
    """The state that a proxy should have.

    `tables` and `admissions` are by traffic class; a table is None if the proxy is not assigned to
    one. `ejection_changes` contains the workers ejected or readmitted in the current reply,
    `suspected_ejections` those that any proxy may have ejected.
    """

    tables: tuple[TableSnapshot | None, ...]
    admissions: tuple[Admission, ...]
    ejected: frozenset[str]
    ejection_changes: frozenset[str]
    suspected_ejections: frozenset[str]


@dataclass
class ProxyUpdate:
    """The updates of one message, the proxy's state after it, and its cost in table entries."""

    updates: list[TableUpdate]
    tables_after: ProxyTables
    entry_count: int


@dataclass
class _TableChanges:
    """Changes by traffic class; classes with the same change share an update."""

    tables_after: list[TableSnapshot | None]
    admissions_after: list[Admission | None]
    classes_by_weights: dict[WeightChange, list[int]]
    classes_by_admission: dict[Admission, list[int]]


def build_update(
    current: ProxyTables,
    desired: DesiredTables,
    class_names: tuple[str, ...],
    default_admission: Admission,
    max_entries: float,
) -> ProxyUpdate:
    """Return the updates that turn `current` into `desired`.

    `class_names` are the traffic classes' names on the wire; `default_admission` applies to a table
    for which none has been set. Readmissions of workers that may be ejected at the proxy are added
    up to a total of `max_entries` entries.
    """
    changes = _compare_tables(current, desired, default_admission)
    updates = list[TableUpdate]()
    entry_count = _append_weights(updates, changes, class_names)
    entry_count += _append_admissions(updates, changes, class_names)
    eject, readmit = _compare_ejections(
        current, desired, changes.tables_after, max_entries - entry_count
    )
    entry_count += len(eject) + len(readmit)
    ejected, possibly_ejected = current.ejected, current.possibly_ejected
    if eject or readmit:
        if not updates:
            updates.append(TableUpdate())
        updates[-1].eject = eject or None
        updates[-1].readmit = readmit or None
        ejected = ejected.union(eject).difference(readmit)
        possibly_ejected = possibly_ejected.difference(eject, readmit)
    tables_after = ProxyTables(
        tuple(changes.tables_after), tuple(changes.admissions_after), ejected, possibly_ejected
    )
    return ProxyUpdate(updates, tables_after, entry_count)


def _compare_tables(
    current: ProxyTables, desired: DesiredTables, default_admission: Admission
) -> _TableChanges:
    changes = _TableChanges(list(current.tables), list(current.admissions), {}, {})
    for class_index, desired_table in enumerate(desired.tables):
        if desired_table is None:
            continue
        desired_admission = desired.admissions[class_index]
        weight_change = _compare_weights(
            current.tables[class_index], desired_table, desired_admission != default_admission
        )
        replaces_table, entries = weight_change
        if replaces_table or entries:
            changes.classes_by_weights.setdefault(weight_change, []).append(class_index)
        admission_before: Admission | None = current.admissions[class_index]
        if replaces_table:
            admission_before = default_admission
        if desired_admission != admission_before:
            changes.classes_by_admission.setdefault(desired_admission, []).append(class_index)
        changes.tables_after[class_index] = desired_table
        changes.admissions_after[class_index] = desired_admission
    return changes


def _compare_weights(
    current: TableSnapshot | None, desired: TableSnapshot, has_admission_entry: bool
) -> WeightChange:
    """Return the changed entries or the whole table, whichever is shorter.

    A table that replaces another starts with the default admission, so any other admission costs
    one more entry.
    """
    if current is desired:
        return NO_WEIGHT_CHANGE
    all_entries = tuple(desired.weights.items())
    if current is None:
        return True, all_entries
    changed = [
        (worker, weight) for worker, weight in all_entries if current.weights.get(worker) != weight
    ]
    changed += [(worker, 0.0) for worker in current.weights if worker not in desired.weights]
    if len(changed) > 1 + len(all_entries) + has_admission_entry:
        return True, all_entries
    return False, tuple(changed)


def _append_weights(
    updates: list[TableUpdate], changes: _TableChanges, class_names: tuple[str, ...]
) -> int:
    """Append the updates of weights and return their cost in entries."""
    entry_count = 0
    for (replaces_table, entries), class_indexes in changes.classes_by_weights.items():
        traffic_classes = _wire_classes(class_indexes, class_names)
        updates.extend(
            TableUpdate(
                traffic_classes=traffic_classes,
                replaces_table=replaces_table and not start,
                weights=list(entries[start : start + MAX_ENTRIES_PER_UPDATE]),
            )
            for start in range(0, max(len(entries), 1), MAX_ENTRIES_PER_UPDATE)
        )
        entry_count += replaces_table + len(entries)
    return entry_count


def _append_admissions(
    updates: list[TableUpdate], changes: _TableChanges, class_names: tuple[str, ...]
) -> int:
    """Add the changed admissions to the updates and return their cost in entries."""
    for admission, class_indexes in changes.classes_by_admission.items():
        traffic_classes = _wire_classes(class_indexes, class_names)
        update = _last_update_without_admission(updates, traffic_classes)
        if update is None:
            update = TableUpdate(traffic_classes=traffic_classes)
            updates.append(update)
        update.admitted_fraction, update.retry_policy = admission
    return len(changes.classes_by_admission)


def _last_update_without_admission(
    updates: list[TableUpdate], traffic_classes: list[str] | None
) -> TableUpdate | None:
    """Return the last update of the same classes that has no admission yet, if there is one."""
    for update in reversed(updates):
        if update.traffic_classes == traffic_classes and update.admitted_fraction is None:
            return update
    return None


def _wire_classes(class_indexes: list[int], class_names: tuple[str, ...]) -> list[str] | None:
    """Return the names of the classes on the wire, or None for all classes."""
    if len(class_indexes) == len(class_names):
        return None
    return [class_names[class_index] for class_index in class_indexes]


def _compare_ejections(
    current: ProxyTables,
    desired: DesiredTables,
    tables: list[TableSnapshot | None],
    spare_entries: float,
) -> tuple[list[str], list[str]]:
    """Return the workers to eject and to readmit, given the tables that the proxy will have.

    Certain differences and readmissions of `desired.suspected_ejections` are always included; other
    uncertain readmissions are added up to a total of `spare_entries`.
    """
    named_workers = {
        worker
        for snapshot in dict.fromkeys(tables)
        if snapshot is not None
        for worker in snapshot.weights
    }
    relevant_workers = named_workers
    if None in tables:
        # A table received before the proxy connected may contain a worker ejected in this reply.
        relevant_workers = named_workers | desired.ejection_changes
    eject = sorted((desired.ejected & relevant_workers) - current.ejected)
    readmit = sorted((current.ejected & relevant_workers) - desired.ejected)
    spare_count = int(spare_entries - len(eject) - len(readmit))
    # A worker ejected over an earlier connection or by another manager must not stay ejected
    # permanently.
    possibly_ejected = sorted(
        (current.possibly_ejected & named_workers) - desired.ejected - set(readmit),
        key=lambda worker: (worker not in desired.suspected_ejections, worker),
    )
    suspected_count = sum(worker in desired.suspected_ejections for worker in possibly_ejected)
    readmit += possibly_ejected[: max(suspected_count, spare_count)]
    return eject, readmit
