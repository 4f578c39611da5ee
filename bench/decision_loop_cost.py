"""Decision loop cost: CPU seconds per simulated second, deciding and rendering measured separately.

    python -m bench.decision_loop_cost [--seconds 30]

Proxies join, a fifth of the workers is deployed in batches, proxies report their observations at a
fixed interval (limited as on the wire), and acknowledgements arrive one transit time after the
channel sent a message. Time is simulated and there is no socket: only the decision module and the
xDS table installer are measured. Sizes are one manager's share of each deployment's large day, as
given in `docs/design.md`.
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

# By deployment: products, proxies, workers, lines per second, lines per message, messages in 10 s,
# report lines per second.
SIZES = {
    "heredia-orders": (2, 18, 21, 1200.0, 4.0, 30, 80.0),
    "ch-north": (3, 28, 24, 4400.0, 10.0, 0, 200.0),
    "tbilisi-live": (2, 18, 21, 3300.0, 6.0, 20, 100.0),
    "heredia-orders-later": (2, 60, 112, 1250.0, 4.0, 30, 80.0),
    "ch-north-later": (3, 55, 102, 4600.0, 10.0, 0, 200.0),
    "tbilisi-live-later": (2, 57, 88, 3400.0, 6.0, 20, 100.0),
}
TICK_SECONDS, TRANSIT_SECONDS, REPORT_INTERVAL_SECONDS = 0.004, 0.25, 0.5


class Fleet:
    """One manager with its proxies and workers on a simulated clock."""

    def __init__(self, size: tuple[int, int, int, float, float, int, float]) -> None:
        (
            products,
            self.proxies,
            workers,
            lines_per_s,
            message_lines,
            max_messages,
            self.report_rate,
        ) = size
        traffic_classes = tuple(
            TrafficClass(f"product-{k}", 0.8, 2.0, 1.0 + k) for k in range(products)
        )
        self.settings = ManagerSettings(
            seed=1,
            zone="a",
            traffic_classes=traffic_classes,
            admission_mode="share",
            can_check_health=True,
            initial_subset_size=6,
            channel=ChannelSettings(
                lines_per_s,
                message_lines,
                1.5 * lines_per_s + 400,
                TRANSIT_SECONDS,
                2 * TRANSIT_SECONDS,
                max_messages,
            ),
            safety_limits=SafetyLimits(4.7, 3.0, 10.0, 18.0, 0.2, 3.0, 2.0),
        )
        self.workers = [
            Endpoint(f"10.0.0.{index}:80", "abc"[index % 3], "", 0, "ready", 1.0, None)
            for index in range(workers)
        ]
        self.xds_installer, self.channel = (
            XdsTableInstaller(1, traffic_classes, 1, message_lines),
            PacedChannel(lines_per_s, 1e9, max_messages, 10.0),
        )
        self.module, self.rng = Balancer(self.settings), Random(2)
        self.due_events: list[tuple[float, int, Event]] = []
        self.sequence, self.cpu_seconds = count(), {"module": 0.0, "installer": 0.0}

    def schedule(self, when: float, event: Event) -> None:
        """Schedule an event at a simulated time in seconds."""
        heapq.heappush(self.due_events, (when, next(self.sequence), event))

    def schedule_events(self, seconds: float) -> None:
        """Schedule the events of the run: joins, a rolling deploy and reports."""
        self.schedule(0.0, EndpointsUpdated("kept", tuple(self.workers)))
        for proxy in range(self.proxies):
            self.schedule(0.1 + proxy * 0.01, ProxyConnected(proxy, "abc"[proxy % 3], 5.0, True))
        for index, worker in enumerate(self.workers[: len(self.workers) // 5]):
            drain_starts_at = 5.0 + index // 4 * 3.0
            for when, state, since in (
                (drain_starts_at, "draining", None),
                (drain_starts_at + 4, "gone", None),
                (drain_starts_at + 5, "ready", drain_starts_at + 5),
            ):
                self.schedule(
                    when,
                    EndpointsUpdated(
                        "changes", (Endpoint(worker.id, worker.zone, "", 0, state, 1.0, since),)
                    ),
                )
        for when in (
            index * REPORT_INTERVAL_SECONDS
            for index in range(4, int(seconds / REPORT_INTERVAL_SECONDS))
        ):
            for event in self.reports():
                self.schedule(when, event)

    def reports(self) -> Iterator[Event]:
        """Yield random reports of the proxies for one report interval."""
        for _ in range(int(self.report_rate * REPORT_INTERVAL_SECONDS)):
            worker = self.rng.choice(self.workers)
            if self.rng.random() < 0.7:
                yield EndpointReported(
                    self.rng.choice("abc"),
                    worker.id,
                    12,
                    self.rng.randrange(2),
                    0.2,
                    REPORT_INTERVAL_SECONDS,
                )
            else:
                yield DemandReported(
                    self.rng.randrange(self.proxies), "product-0", 4, 0, REPORT_INTERVAL_SECONDS
                )

    def run(self, seconds: float) -> None:
        """Simulate this many seconds."""
        self.schedule_events(seconds)
        now = 0.0
        while now < seconds:
            for proxy, message in self.channel.pop_due(now):
                for ack_number, ordered_at in message.ack_requests:
                    self.schedule(
                        now + TRANSIT_SECONDS,
                        Acknowledged(proxy, ack_number, now + TRANSIT_SECONDS - ordered_at),
                    )
            events = []
            while self.due_events and self.due_events[0][0] <= now:
                events.append(heapq.heappop(self.due_events)[2])
            if events:
                self.process_batch(now, events)
            now += TICK_SECONDS

    def process_batch(self, now: float, events: list[Event]) -> None:
        """Decide on and render one batch of events, and add its CPU time to `cpu_seconds`."""
        for event in events:
            if isinstance(event, ProxyConnected):
                self.xds_installer.add_proxy(event.proxy, True, ())
        began = time.process_time()
        orders = self.effective_orders(now, events, self.module.decide(now, events))
        decided = time.process_time()
        for proxy, message in self.xds_installer.apply_orders(orders, now).items():
            self.channel.enqueue(now, proxy, message)
        self.cpu_seconds["module"] += decided - began
        self.cpu_seconds["installer"] += time.process_time() - decided
        for order in orders:
            if isinstance(order, SetTimer):
                self.schedule(now + order.delay, TimerFired(order.token))

    def effective_orders(
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
            f"{name:22s} {products} products {proxies:3d} proxies {workers:4d} workers: CPU per "
            "simulated second "
            f"{fleet.cpu_seconds['module'] / seconds:.3f} s decision module, "
            f"{fleet.cpu_seconds['installer'] / seconds:.3f} s xDS table installer",
            flush=True,
        )


if __name__ == "__main__":
    main()
