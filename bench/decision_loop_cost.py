"""Decision loop cost: seconds of CPU a simulated second, deciding and rendering apart.

    python -m bench.decision_loop_cost [--seconds 30]

Proxies join, a fifth of the workers is deployed in batches, every report cycle brings what proxies
observed (limited as on the wire), and acknowledgements come one transit time after the channel has
let a message go. Time is simulated and there is no socket: what is measured is the decision module
and the xDS table installer (`desk` in the output). Sizes are one manager's part of each
deployment's large day, as `docs/design.md` gives them.
"""

import argparse
import heapq
import time
from collections.abc import Iterator
from itertools import count
from random import Random

from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    TimerFired,
)
from dunlinlug.decision.orders import Order, SetTimer
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits, TrafficClass
from dunlinlug.manager.channel import PacedChannel

# By name: products, proxies, workers, lines a second, lines a message, messages in 10 s, report
# lines a second.
SIZES = {
    "heredia-orders": (2, 18, 21, 1200.0, 4.0, 30, 80.0),
    "ch-north": (3, 28, 24, 4400.0, 10.0, 0, 200.0),
    "tbilisi-live": (2, 18, 21, 3300.0, 6.0, 20, 100.0),
    "heredia-orders-later": (2, 60, 112, 1250.0, 4.0, 30, 80.0),
    "ch-north-later": (3, 55, 102, 4600.0, 10.0, 0, 200.0),
    "tbilisi-live-later": (2, 57, 88, 3400.0, 6.0, 20, 100.0),
}
TICK, TRANSIT, CYCLE = 0.004, 0.25, 0.5  # seconds: between batches, of a message, between reports


class Fleet:
    """A manager's surroundings on a simulated clock."""

    def __init__(self, size: tuple[int, int, int, float, float, int, float]) -> None:
        products, self.proxies, workers, pace, head, max_messages, self.report_rate = size
        traffic_classes = tuple(
            TrafficClass(f"product-{k}", 0.8, 2.0, 1.0 + k) for k in range(products)
        )
        self.trade = ManagerSettings(
            seed=1,
            zone="a",
            traffic_classes=traffic_classes,
            admission_mode="share",
            can_check_health=True,
            initial_subset_size=6,
            channel=ChannelSettings(
                pace, head, 1.5 * pace + 400, TRANSIT, 2 * TRANSIT, max_messages
            ),
            safety_limits=SafetyLimits(4.7, 3.0, 10.0, 18.0, 0.2, 3.0, 2.0),
        )
        self.workers = [
            Endpoint(f"10.0.0.{index}:80", "abc"[index % 3], "", 0, "ready", 1.0, None)
            for index in range(workers)
        ]
        self.desk, self.channel = (
            XdsTableInstaller(1, traffic_classes, 1, head),
            PacedChannel(pace, 1e9, max_messages, 10.0),
        )
        self.module, self.chance = Balancer(self.trade), Random(2)
        self.due: list[tuple[float, int, Event]] = []
        self.order, self.spent = count(), {"module": 0.0, "desk": 0.0}

    def at(self, when: float, event: Event) -> None:
        """Queue an event for a simulated time in seconds."""
        heapq.heappush(self.due, (when, next(self.order), event))

    def script(self, seconds: float) -> None:
        """Queue the events of the run: joins, a rolling deploy and reports."""
        self.at(0.0, EndpointsUpdated("kept", tuple(self.workers)))
        for proxy in range(self.proxies):
            self.at(0.1 + proxy * 0.01, ProxyConnected(proxy, "abc"[proxy % 3], 5.0, True))
        for index, worker in enumerate(self.workers[: len(self.workers) // 5]):
            begin = 5.0 + index // 4 * 3.0
            for when, state, since in (
                (begin, "draining", None),
                (begin + 4, "gone", None),
                (begin + 5, "ready", begin + 5),
            ):
                self.at(
                    when,
                    EndpointsUpdated(
                        "changes", (Endpoint(worker.id, worker.zone, "", 0, state, 1.0, since),)
                    ),
                )
        for when in (index * CYCLE for index in range(4, int(seconds / CYCLE))):
            for event in self.reports():
                self.at(when, event)

    def reports(self) -> Iterator[Event]:
        """Yield what proxies report in one cycle, drawn at random."""
        for _ in range(int(self.report_rate * CYCLE)):
            worker = self.chance.choice(self.workers)
            if self.chance.random() < 0.7:
                yield EndpointReported(
                    self.chance.choice("abc"), worker.id, 12, self.chance.randrange(2), 0.2, CYCLE
                )
            else:
                yield DemandReported(self.chance.randrange(self.proxies), "product-0", 4, 0, CYCLE)

    def run(self, seconds: float) -> None:
        """Play so many simulated seconds."""
        self.script(seconds)
        now = 0.0
        while now < seconds:
            for proxy, message in self.channel.pop_due(now):
                for ack_number, ordered_at in message.ack_requests:
                    self.at(
                        now + TRANSIT, Acknowledged(proxy, ack_number, now + TRANSIT - ordered_at)
                    )
            events = []
            while self.due and self.due[0][0] <= now:
                events.append(heapq.heappop(self.due)[2])
            if events:
                self.turn(now, events)
            now += TICK

    def turn(self, now: float, events: list[Event]) -> None:
        """Decide on and render one batch of events, and add its CPU to `spent`."""
        for event in events:
            if isinstance(event, ProxyConnected):
                self.desk.add_proxy(event.proxy, True, ())
        began = time.process_time()
        orders = self.judged(now, events, self.module.decide(now, events))
        decided = time.process_time()
        for proxy, message in self.desk.apply_orders(orders, now).items():
            self.channel.enqueue(now, proxy, message)
        self.spent["module"] += decided - began
        self.spent["desk"] += time.process_time() - decided
        for order in orders:
            if isinstance(order, SetTimer):
                self.at(now + order.delay, TimerFired(order.token))

    def judged(
        self,
        now: float,  # noqa: ARG002  # for subclasses
        events: list[Event],  # noqa: ARG002  # for subclasses
        orders: list[Order],
    ) -> list[Order]:
        """Return the orders that take effect; a subclass may validate or replicate them here."""
        return orders


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30)
    seconds = parser.parse_args().seconds
    for name, (products, proxies, workers, *_) in SIZES.items():
        fleet = Fleet(SIZES[name])
        fleet.run(seconds)
        print(
            f"{name:22s} {products} products {proxies:3d} proxies {workers:4d} workers: CPU a "
            "simulated second "
            f"{fleet.spent['module'] / seconds:.3f} s module, {fleet.spent['desk'] / seconds:.3f} "
            "s desk",
            flush=True,
        )


if __name__ == "__main__":
    main()
