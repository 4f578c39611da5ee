"""A manager broken on purpose: `broken_manager.py WAY FILE`; each way must be caught by the verdict on a day."""

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


def bent(event: Event, **lie: object) -> Event:
    """News of the list with a lie in every entry that is not gone."""
    if not isinstance(event, EndpointsUpdated):
        return event
    return replace(
        event,
        endpoints=tuple(w if w.state == "gone" else replace(w, **lie) for w in event.endpoints),
    )


CARELESS = 3.0  # seconds from the start: before the hard day's first drain


class Broken:
    """The decision module, with its orders (or what it hears) bent."""

    def __init__(self, way: str, trade: ManagerSettings) -> None:
        self.way, self.trade, self.module = way, trade, Balancer(trade)
        self.first = float("inf")

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        if self.way == "ramp":
            events = [bent(event, started_at=None) for event in events]
        if (
            self.way == "withdrawals"
        ):  # the staged change alone would be quick enough on a small fleet: not told
            events = [bent(event, state="ready") for event in events]
        orders = self.module.decide(now, events)
        if self.way == "withdrawals":
            return [order for order in orders if not isinstance(order, SetEjected)]
        self.first = min(self.first, now)
        if (
            self.way == "tables" and now >= self.first + CARELESS
        ):  # the first tables are good: there is one to stay on
            return [order for order in orders if not isinstance(order, SetWeight)]
        if self.way == "retries":
            tables = dict.fromkeys(
                order.table_id for order in orders if isinstance(order, SetWeight)
            )
            kept = [order for order in orders if not isinstance(order, SetAdmission)]
            return [
                *(
                    SetAdmission(tbl, k, 2, 1.0)
                    for tbl in tables
                    for k in range(len(self.trade.traffic_classes))
                ),
                *kept,
            ]
        return orders


if __name__ == "__main__":
    broken, file = sys.argv[1], Path(sys.argv[2])
    if broken == "pace":
        PacedChannel.pop_due = lambda self, now: [
            self.queue.popleft() for _ in range(len(self.queue))
        ]  # type: ignore
    exit_when_input_closes()
    sys.exit(main.serve(file, lambda trade: Broken(broken, trade)))
