"""A manager broken on purpose: `broken_manager.py WAY FILE`; each way must be caught by the verdict on a day."""

import sys
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from dunlinlug import interface as face
from dunlinlug.ads import main
from dunlinlug.balance import Balancer
from dunlinlug.cli import end_with_input
from dunlinlug.manager.channel import Channel


def bent(event: face.Event, **lie: object) -> face.Event:
    """News of the list with a lie in every entry that is not gone."""
    if not isinstance(event, face.Listed):
        return event
    return replace(
        event, workers=tuple(w if w.state == "gone" else replace(w, **lie) for w in event.workers)
    )


CARELESS = 3.0  # seconds from the start: before the hard day's first drain


class Broken:
    """The decision module, with its orders (or what it hears) bent."""

    def __init__(self, way: str, trade: face.Trade) -> None:
        self.way, self.trade, self.module = way, trade, Balancer(trade)
        self.first = float("inf")

    def decide(self, now: float, events: Iterable[face.Event]) -> list[face.Order]:
        if self.way == "ramp":
            events = [bent(event, since=None) for event in events]
        if (
            self.way == "withdrawals"
        ):  # the staged change alone would be quick enough on a small fleet: not told
            events = [bent(event, state="ready") for event in events]
        orders = self.module.decide(now, events)
        if self.way == "withdrawals":
            return [order for order in orders if not isinstance(order, face.Withdraw)]
        self.first = min(self.first, now)
        if (
            self.way == "tables" and now >= self.first + CARELESS
        ):  # the first tables are good: there is one to stay on
            return [order for order in orders if not isinstance(order, face.Share)]
        if self.way == "retries":
            tables = dict.fromkeys(order.tbl for order in orders if isinstance(order, face.Share))
            kept = [order for order in orders if not isinstance(order, face.Admit)]
            return [
                *(
                    face.Admit(tbl, k, 2, 1.0)
                    for tbl in tables
                    for k in range(len(self.trade.products))
                ),
                *kept,
            ]
        return orders


if __name__ == "__main__":
    broken, file = sys.argv[1], Path(sys.argv[2])
    if broken == "pace":
        Channel.due = lambda self, now: [self.queue.popleft() for _ in range(len(self.queue))]  # type: ignore
    end_with_input()
    sys.exit(main.serve(file, lambda trade: Broken(broken, trade)))
