"""Describes the tables in use, by traffic class, for the admin API.

The field names are the keys of the API's JSON.
"""

from collections import Counter
from typing import Any, TypedDict

from dunlinlug.admin import schemas
from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.guard import OrderValidator, Overrides


class EntryDescription(TypedDict):
    """One worker of a table: weight, and its listed state ("unknown" if it is not listed)."""

    worker: str
    weight: float
    zone: str
    state: str
    withdrawn: bool


class TableDescription(TypedDict):
    """A table as proxies use it for one class: admitted fraction, retry policy, entries."""

    table: str
    proxies: int
    share_let_in: float
    retry: int
    lines: list[EntryDescription]


class ClassDescription(TypedDict):
    """A traffic class: its tables, most used first, and its operator override.

    `without_table` counts proxies that have no table yet, `in_change` those that may be using any
    of several tables, as a change is not yet acknowledged.
    """

    product: str
    proxies: int
    without_table: int
    in_change: int
    pin: dict[str, Any] | None
    tables: list[TableDescription]


def describe_tables(
    now: float,
    traffic_classes: tuple[TrafficClass, ...],
    installer: XdsTableInstaller,
    validator: OrderValidator,
    overrides: Overrides,
) -> list[ClassDescription]:
    """Describe each traffic class, in the settings' order; `now` is the event loop's clock."""
    view = _TableView(installer, validator)
    descriptions = []
    for class_index, traffic_class in enumerate(traffic_classes):
        usage = view.proxies_by_table(class_index)
        override = overrides.active.get(class_index)
        override_json = None
        if override is not None:
            override_json = schemas.override_to_json(override, traffic_classes, now)
        descriptions.append(
            ClassDescription(
                product=traffic_class.name,
                proxies=len(installer.proxies),
                without_table=len(installer.proxies) - usage.total(),
                in_change=view.proxies_in_change(class_index),
                pin=override_json,
                tables=[
                    view.describe_table(table_id, class_index, count)
                    for table_id, count in usage.most_common()
                ],
            )
        )
    return descriptions


class _TableView:
    """Describes tables from the state of the installer and that of the validator."""

    def __init__(self, installer: XdsTableInstaller, validator: OrderValidator) -> None:
        self.installer = installer
        self.validator = validator

    def proxies_by_table(self, class_index: int) -> Counter[int]:
        """Count the proxies that use each table for this class."""
        return Counter(
            proxy_state.table_by_class[class_index]
            for proxy_state in self.installer.proxies.values()
            if class_index in proxy_state.table_by_class
        )

    def proxies_in_change(self, class_index: int) -> int:
        """Count the proxies that may be using any of several tables for this class."""
        return sum(
            len(self.validator.usage.possible_tables(proxy, class_index)) > 1
            for proxy in self.installer.proxies
        )

    def describe_table(self, table_id: int, class_index: int, count: int) -> TableDescription:
        """Describe one table, which `count` proxies use for this class."""
        table = self.installer.tables[table_id]
        retry, admitted_fraction = table.admissions.get(
            class_index, (self.installer.default_retry, 1.0)
        )
        return TableDescription(
            table=table.name,
            proxies=count,
            share_let_in=admitted_fraction,
            retry=retry,
            lines=[
                self._describe_entry(worker, weight)
                for worker, weight in sorted(table.weights.items())
            ],
        )

    def _describe_entry(self, worker: str, weight: float) -> EntryDescription:
        listed_worker = self.validator.endpoints.by_id.get(worker)
        return EntryDescription(
            worker=worker,
            weight=round(weight, 6),
            zone=self.installer.zones.get(worker, ""),
            state=listed_worker.state if listed_worker else "unknown",
            withdrawn=worker in self.installer.ejected,
        )
