"""A manager with an injected fault, which the audit must find: `broken_manager.py FAULT FILE`.

ramp          the decision module treats endpoints that are warming up as warm
withdrawals   endpoints are never ejected, and drains are ignored
tables        after a delay, tables are assigned without entries
retries       failed requests are retried even if they are not idempotent
pace          table entries are sent at once, without the channel's pacing
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

# Seconds from the first batch after which `tables` removes entries; the hard scenario's first drain
# is later.
EMPTY_TABLES_DELAY_S = 3.0


def with_altered_entries(event: Event, **fields: object) -> Event:
    """Return an endpoint list update with these fields replaced in each entry that is not gone."""
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
    """The decision module, with the events it receives or the orders it returns altered."""

    def __init__(self, fault: str, settings: ManagerSettings) -> None:
        self.fault = fault
        self.settings = settings
        self.module = Balancer(settings)
        self.first_batch_at = float("inf")

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        if self.fault == "ramp":
            events = [with_altered_entries(event, started_at=None) for event in events]
        if self.fault == "withdrawals":
            # Drains are hidden too: on a small fleet, the staged table update that follows a drain
            # is fast enough to keep the rule without an ejection.
            events = [with_altered_entries(event, state="ready") for event in events]
        orders = self.module.decide(now, events)
        if self.fault == "withdrawals":
            return [order for order in orders if not isinstance(order, SetEjected)]
        self.first_batch_at = min(self.first_batch_at, now)
        # The first tables have entries, so that proxies have a usable table to keep.
        if self.fault == "tables" and now >= self.first_batch_at + EMPTY_TABLES_DELAY_S:
            return [order for order in orders if not isinstance(order, SetWeight)]
        if self.fault == "retries":
            return self.with_retries(orders)
        return orders

    def with_retries(self, orders: list[Order]) -> list[Order]:
        """Return the orders, with retries after any failure allowed in every table."""
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
