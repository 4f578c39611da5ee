"""What stands at a manager, by product, as plain values for people and programs."""

from collections import Counter
from typing import Any

from dunlinlug.admin import schemas
from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.guard import OrderValidator, Overrides


def describe_tables(
    now: float,
    traffic_classes: tuple[TrafficClass, ...],
    installer: XdsTableInstaller,
    validator: OrderValidator,
    overrides: Overrides,
) -> list[dict[str, Any]]:
    """For each product its tables in use, most used first, how many proxies have none or may be on
    several, its pin.
    """
    descriptions = []
    for class_index, traffic_class in enumerate(traffic_classes):
        usage = Counter(
            proxy_state.table_by_class[class_index]
            for proxy_state in installer.proxies.values()
            if class_index in proxy_state.table_by_class
        )
        proxies_in_change = sum(
            len(validator.usage.possible_tables(proxy, class_index)) > 1
            for proxy in installer.proxies
        )
        override = overrides.active.get(class_index)
        descriptions.append(
            {
                "product": traffic_class.name,
                "proxies": len(installer.proxies),
                "without_table": len(installer.proxies) - usage.total(),
                "in_change": proxies_in_change,
                "pin": schemas.override_to_json(override, traffic_classes, now)
                if override
                else None,
                "tables": [
                    _describe_table(installer, validator, table_id, class_index, count)
                    for table_id, count in usage.most_common()
                ],
            }
        )
    return descriptions


def _describe_table(
    installer: XdsTableInstaller,
    validator: OrderValidator,
    table_id: int,
    traffic_class: int,
    count: int,
) -> dict[str, Any]:
    table = installer.tables[table_id]
    retry, admitted_fraction = table.admissions.get(traffic_class, (installer.default_retry, 1.0))
    return {
        "table": table.name,
        "proxies": count,
        "share_let_in": admitted_fraction,
        "retry": retry,
        "lines": [
            _describe_entry(installer, validator, worker, weight)
            for worker, weight in sorted(table.weights.items())
        ],
    }


def _describe_entry(
    installer: XdsTableInstaller, validator: OrderValidator, worker: str, weight: float
) -> dict[str, Any]:
    listed_worker = validator.endpoints.by_id.get(worker)
    return {
        "worker": worker,
        "weight": round(weight, 6),
        "zone": installer.zones.get(worker, ""),
        "state": listed_worker.state if listed_worker else "unknown",
        "withdrawn": worker in installer.ejected,
    }
