"""A manager broken on purpose: `broken_manager.py FAULT FILE`; the audit must find each fault.

ramp          the decision module takes endpoints that are warming up for warm
withdrawals   endpoints are never ejected, and drains are not noticed
tables        from some time on, tables are assigned without entries
retries       failed requests are retried although they may not run again
pace          entries are sent as soon as they are ordered
"""

import sys
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from dunlinlug.ads import main
from dunlinlug.balance import Balancer
from dunlinlug.cli import exit_when_input_closes
from dunlinlug.decision.events import EndpointsUpdated, Event
from dunlinlug.decision.orders import Order, SetAdmission, SetEjected, SetWeight
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.manager.channel import PacedChannel

CARELESS_AFTER = 3.0  # seconds from the start: before the hard scenario's first drain


def with_false_entries(event: Event, **fields: object) -> Event:
    """An update of the endpoint list with a false field in every entry that is not gone."""
    if not isinstance(event, EndpointsUpdated):
        return event
    return replace(
        event,
        endpoints=tuple(
            endpoint if endpoint.state == "gone" else replace(endpoint, **fields)
            for endpoint in event.endpoints
        ),
    )


class BrokenModule:
    """The decision module with false events, or with its orders changed."""

    def __init__(self, fault: str, settings: ManagerSettings) -> None:
        self.fault = fault
        self.settings = settings
        self.module = Balancer(settings)
        self.first_batch_at = float("inf")

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        if self.fault == "ramp":
            events = [with_false_entries(event, started_at=None) for event in events]
        if self.fault == "withdrawals":
            # Without this, the staged update alone would be quick enough on a small fleet.
            events = [with_false_entries(event, state="ready") for event in events]
        orders = self.module.decide(now, events)
        if self.fault == "withdrawals":
            return [order for order in orders if not isinstance(order, SetEjected)]
        self.first_batch_at = min(self.first_batch_at, now)
        # The first tables are good, so that proxies have one to stay on.
        if self.fault == "tables" and now >= self.first_batch_at + CARELESS_AFTER:
            return [order for order in orders if not isinstance(order, SetWeight)]
        if self.fault == "retries":
            return self.with_retries(orders)
        return orders

    def with_retries(self, orders: list[Order]) -> list[Order]:
        """The orders, but with retries after any failure in every table."""
        tables = dict.fromkeys(order.table_id for order in orders if isinstance(order, SetWeight))
        admissions = [
            SetAdmission(table_id, traffic_class, 2, 1.0)
            for table_id in tables
            for traffic_class in range(len(self.settings.traffic_classes))
        ]
        return [*admissions, *(order for order in orders if not isinstance(order, SetAdmission))]


if __name__ == "__main__":
    fault, file = sys.argv[1], Path(sys.argv[2])
    if fault == "pace":
        PacedChannel.pop_due = lambda self, now: [
            self.queue.popleft() for _ in range(len(self.queue))
        ]  # type: ignore
    exit_when_input_closes()
    sys.exit(main.serve(file, lambda settings: BrokenModule(fault, settings)))
