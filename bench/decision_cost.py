r"""Decision cost: CPU and memory of one manager by its number of proxies.

    python -m bench.decision_cost [--profile 1600]
    python -m bench.decision_cost --workers 5000 --products 2 --proxies 20 \
        [--module former|present|both] [--runs 3]
    python -m bench.decision_cost --table [--module both]

All proxies join within half a second, as when seven in ten managers die at once; then reports and
acknowledgements arrive at the agreed rate, an eighth of 200 workers fails most of its attempts, and
from the tenth second on thirty workers are replaced. The decision module and the platform's table
installer run without a socket: only deciding and rendering are measured. Each size runs in its own
process. Times are CPU seconds; memory is the growth of the process over an empty manager.

With a size, or the table of sizes, deciding is measured separately from rendering; `former` is
`tests/reference_model`, and `both` alternates between the two for each size.
"""

import argparse
import cProfile
import heapq
import multiprocessing
import pstats
import resource
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field
from statistics import mean
from typing import Any

from bench.decision_loop_cost import REPORT_INTERVAL_SECONDS, TRANSIT_SECONDS, Fleet
from dunlinlug import balance
from dunlinlug.decision.events import (
    Acknowledged,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    TimerFired,
)
from dunlinlug.decision.orders import RequestAcknowledgement, SetTimer
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.platform.orders import PlatformTableInstaller
from tests.reference_model import balance as former

PROXIES, WORKERS, PRODUCTS = (100, 200, 400, 800, 1600), 200, 2
# Sizes of `--table`: workers, products, proxies.
TABLE = (
    (200, 2, 20),
    (200, 20, 20),
    (200, 270, 20),
    (1000, 2, 20),
    (5000, 2, 20),
    (5000, 2, 200),
    (200, 2, 1600),
)
MODULES = {"former": former.Balancer, "present": balance.Balancer}
# Of one manager: lines that its channel sends, and report lines that it receives.
CHANNEL_LINES_PER_S, REPORT_LINES_PER_S = 1300.0, 80.0
JOINS_AT_SECONDS, REPLACEMENTS_AT_SECONDS, END_SECONDS = 1.0, 10.0, 18.0


@dataclass
class CpuMeasurements:
    """CPU seconds of the batches.

    `by_event` holds the CPU time per event, for batches with one kind of event; `by_second` the sum
    of deciding and rendering in each simulated second, `deciding_by_second` its deciding part;
    `deciding_by_batch` the deciding part of each batch.
    """

    by_event: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    by_second: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    longest: float = 0.0
    deciding_by_second: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    deciding_by_batch: list[float] = field(default_factory=list)


class JoinStorm(Fleet):
    """A fleet whose proxies all join at once, with the platform's table installer."""

    def __init__(
        self, proxies: int, workers: int, products: int = PRODUCTS, module: str = "present"
    ) -> None:
        super().__init__(
            (products, proxies, workers, CHANNEL_LINES_PER_S, 4.0, 30, REPORT_LINES_PER_S)
        )
        self.module = MODULES[module](self.settings)
        self.platform_installer = PlatformTableInstaller(
            tuple(p.name for p in self.settings.traffic_classes), 1, 4.0
        )
        self.channel = PacedChannel(CHANNEL_LINES_PER_S, 1e12, 0, 10.0)
        self.requested_at, self.measured = dict[int, float](), CpuMeasurements()

    def schedule_events(self, seconds: float) -> None:
        """Schedule the events of the run: joins, replacements and reports."""
        self.schedule(0.0, EndpointsUpdated("kept", tuple(self.workers)))
        for proxy in range(self.proxies):
            self.schedule(
                JOINS_AT_SECONDS + self.rng.random() / 2,
                ProxyConnected(proxy, "abc"[proxy % 3], 5.0, True),
            )
        for index, worker in enumerate(self.workers[:30]):
            drain_starts_at, replacement = (
                REPLACEMENTS_AT_SECONDS + index // 10 * 2.0,
                f"10.1.0.{index}:80",
            )
            for when, worker_id, state, since in (
                (drain_starts_at, worker.id, "draining", None),
                (drain_starts_at, replacement, "ready", drain_starts_at),
                (drain_starts_at + 3, worker.id, "gone", None),
            ):
                self.schedule(
                    when,
                    EndpointsUpdated(
                        "changes", (Endpoint(worker_id, worker.zone, "", 0, state, 1.0, since),)
                    ),
                )
        for index in range(
            int(JOINS_AT_SECONDS / REPORT_INTERVAL_SECONDS), int(seconds / REPORT_INTERVAL_SECONDS)
        ):
            for event in self.reports():
                reported = event
                if (
                    isinstance(event, EndpointReported)
                    and int(event.worker.split(".")[3].split(":")[0]) % 8 == 0
                ):
                    reported = EndpointReported(
                        event.zone, event.worker, 12, 8, 0.2, REPORT_INTERVAL_SECONDS
                    )
                self.schedule((index + self.rng.random()) * REPORT_INTERVAL_SECONDS, reported)

    def run(self, seconds: float) -> None:
        """Simulate this many seconds in steps of 4 ms."""
        self.schedule_events(seconds)
        now = 0.0
        while now < seconds:
            for proxy, message in self.channel.pop_due(now):
                if message.ack_number is not None:
                    arrives = now + TRANSIT_SECONDS * self.rng.uniform(0.5, 1.5)
                    self.schedule(
                        arrives,
                        Acknowledged(
                            proxy,
                            message.ack_number,
                            arrives - self.requested_at[message.ack_number],
                        ),
                    )
            events = []
            while self.due_events and self.due_events[0][0] <= now:
                events.append(heapq.heappop(self.due_events)[2])
            if events:
                self.process_batch(now, events)
            now += 0.004

    def process_batch(self, now: float, events: list[Event]) -> None:
        """Decide on and render one batch of events, and add its CPU time to `measured`."""
        began = time.process_time()
        self.platform_installer.handle_events(events)
        deciding = time.process_time()
        orders = self.module.decide(now, events)
        decided = time.process_time()
        messages = self.platform_installer.apply_orders(orders, now)
        batch_seconds = time.process_time() - began
        for order in orders:
            if isinstance(order, SetTimer):
                self.schedule(now + order.delay, TimerFired(order.token))
            elif isinstance(order, RequestAcknowledgement):
                self.requested_at[order.ack_number] = now
        for proxy, message in messages.items():
            self.channel.enqueue(now, proxy, message)  # type: ignore[arg-type]  # only entry_count is read
        kinds = {type(event).__name__ for event in events}
        if len(kinds) == 1:
            self.measured.by_event[kinds.pop()].append(batch_seconds / len(events))
        self.measured.by_second[int(now)] += batch_seconds
        self.measured.longest = max(self.measured.longest, batch_seconds)
        self.measured.deciding_by_second[int(now)] += decided - deciding
        self.measured.deciding_by_batch.append(decided - deciding)


def peak_memory() -> float:
    """Return the peak resident memory of this process in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure(
    proxies: int, workers: int = WORKERS, products: int = PRODUCTS, module: str = "present"
) -> dict[str, Any]:
    """Simulate one size.

    Returns CPU seconds, milliseconds per batch and per event, and memory in MiB.
    """
    before = peak_memory()
    fleet = JoinStorm(proxies, workers, products, module)
    fleet.run(END_SECONDS)
    measured = fleet.measured
    ms_per_event = {kind: 1000 * mean(values) for kind, values in measured.by_event.items()}
    return {
        "joins": measured.by_second[1],
        "worst": max(measured.by_second.values()),
        "usual": sum(measured.by_second[index] for index in range(5, 10)) / 5,
        "longest": 1000 * measured.longest,
        "change": sum(measured.by_second[index] for index in range(10, 18)) / 8,
        "memory": peak_memory() - before,
        **ms_per_event,
        "decide usual": sum(measured.deciding_by_second[index] for index in range(5, 10)) / 5,
        "decide worst": max(measured.deciding_by_second.values()),
        "decide turn": 1000 * mean(measured.deciding_by_batch),
        "decide longest": 1000 * max(measured.deciding_by_batch),
        "turns": len(measured.deciding_by_batch),
    }


def measure_in_process(*size: Any) -> dict[str, Any]:
    """Measure one size in a separate process."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return defaultdict(float, pool.apply(measure, size))


def compare(sizes: list[tuple[int, int, int]], modules: list[str], runs: int) -> None:
    """Print deciding and rendering separately, a line for each run."""
    print(
        "workers, products, proxies, module | deciding alone: an ordinary second, the most "
        "expensive one in s; a batch, the longest "
        "in ms; batches | rendering, an ordinary second in s | memory in MiB"
    )
    for workers, products, proxies in sizes:
        for _ in range(runs):
            for module in modules:
                found = measure_in_process(proxies, workers, products, module)
                print(
                    f"{workers:5d} {products:3d} {proxies:4d} {module:7s} | "
                    f"{found['decide usual']:.3f} "
                    f"{found['decide worst']:.3f} {found['decide turn']:.2f} "
                    f"{found['decide longest']:.1f} "
                    f"{found['turns']} | {found['usual'] - found['decide usual']:.3f} | "
                    f"{found['memory']:.1f}",
                    flush=True,
                )


def compare_proxy_counts() -> None:
    """Print deciding and rendering together by the number of proxies."""
    print(
        f"{WORKERS} workers, CPU: a second of joins, the worst second, an ordinary one, one of "
        "replacements in s; the "
        "longest batch, a join, a report, an acknowledgement in ms; memory in MiB"
    )
    for size in PROXIES:
        found = measure_in_process(size)
        measured = " ".join(f"{found[name]:.2f}" for name in ("joins", "worst", "usual", "change"))
        print(
            f"{size:5d} proxies: {measured}; {found['longest']:.1f} {found['ProxyConnected']:.2f} "
            f"{found['EndpointReported']:.2f} "
            f"{found['Acknowledged']:.2f}; {found['memory']:.1f}",
            flush=True,
        )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--profile", type=int, metavar="PROXIES", help="print a CPU profile at this many proxies"
    )
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--products", type=int, default=PRODUCTS)
    parser.add_argument("--proxies", type=int, default=20)
    parser.add_argument("--module", choices=[*MODULES, "both"], default="present")
    parser.add_argument("--runs", type=int, default=1, help="runs of each size")
    parser.add_argument("--table", action="store_true", help=f"workers, products, proxies: {TABLE}")
    args = parser.parse_args()
    modules = list(MODULES) if args.module == "both" else [args.module]
    if args.profile:
        profile, fleet = (
            cProfile.Profile(),
            JoinStorm(args.profile, args.workers, args.products, modules[0]),
        )
        profile.runcall(fleet.run, END_SECONDS)
        pstats.Stats(profile).sort_stats("tottime").print_stats(20)
    elif sys.argv[1:]:
        compare(
            list(TABLE) if args.table else [(args.workers, args.products, args.proxies)],
            modules,
            args.runs,
        )
    else:
        compare_proxy_counts()


if __name__ == "__main__":
    main()
