r"""Decision cost: CPU and memory of one manager by its number of proxies.

    python -m bench.decision_cost [--profile 1600]
    python -m bench.decision_cost --workers 5000 --products 2 --proxies 20 \
        [--module former|present|both] [--runs 3]
    python -m bench.decision_cost --table [--module both]

All proxies join within half a second, as when seven in ten managers die at once; then reports and
acknowledgements come at the agreed rate, an eighth of 200 workers is bad, and from the tenth second
on thirty are replaced. The decision module and the platform's table installer run without a socket:
what is measured is deciding and rendering. Each size runs in a process of its own. Times are
seconds of CPU; memory is what the process holds above an empty manager's.

With a size, or the table of sizes, deciding is measured apart from rendering; `former` is
`tests/reference_model`, and `both` plays each size with the one and with the other, by turns.
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

from bench.decision_loop_cost import CYCLE, TRANSIT, Fleet
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
# What the table plays: workers, products, proxies.
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
PACE, REPORT_RATE = 1300.0, 80.0  # lines a second that a manager's channel sends, and that it hears
JOINED, REPLACED, END = 1.0, 10.0, 18.0  # seconds: first join, first replacement, end


@dataclass
class Spent:
    """CPU by kind of event, where a turn had but one kind, and the worst of all."""

    events: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    seconds: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    longest: float = 0.0
    deciding: dict[int, float] = field(
        default_factory=lambda: defaultdict(float)
    )  # of `seconds`, by second
    turns: list[float] = field(default_factory=list)  # deciding alone, turn by turn


class JoinStorm(Fleet):
    """Surroundings in which all proxies join at once, with the platform's table installer."""

    def __init__(
        self, proxies: int, workers: int, products: int = PRODUCTS, module: str = "present"
    ) -> None:
        super().__init__((products, proxies, workers, PACE, 4.0, 30, REPORT_RATE))
        self.module = MODULES[module](self.trade)
        self.orders = PlatformTableInstaller(
            tuple(p.name for p in self.trade.traffic_classes), 1, 4.0
        )
        self.channel = PacedChannel(PACE, 1e12, 0, 10.0)
        self.requested_at, self.measured = dict[int, float](), Spent()

    def script(self, seconds: float) -> None:
        """Queue the events of the run: joins, replacements and reports."""
        self.at(0.0, EndpointsUpdated("kept", tuple(self.workers)))
        for proxy in range(self.proxies):
            self.at(
                JOINED + self.chance.random() / 2,
                ProxyConnected(proxy, "abc"[proxy % 3], 5.0, True),
            )
        for index, worker in enumerate(self.workers[:30]):
            begin, after = REPLACED + index // 10 * 2.0, f"10.1.0.{index}:80"
            for when, who, state, since in (
                (begin, worker.id, "draining", None),
                (begin, after, "ready", begin),
                (begin + 3, worker.id, "gone", None),
            ):
                self.at(
                    when,
                    EndpointsUpdated(
                        "changes", (Endpoint(who, worker.zone, "", 0, state, 1.0, since),)
                    ),
                )
        for index in range(int(JOINED / CYCLE), int(seconds / CYCLE)):
            for event in self.reports():
                reported = event
                if (
                    isinstance(event, EndpointReported)
                    and int(event.worker.split(".")[3].split(":")[0]) % 8 == 0
                ):
                    reported = EndpointReported(event.zone, event.worker, 12, 8, 0.2, CYCLE)
                self.at((index + self.chance.random()) * CYCLE, reported)

    def run(self, seconds: float) -> None:
        """Play so many simulated seconds in steps of 4 ms."""
        self.script(seconds)
        now = 0.0
        while now < seconds:
            for proxy, message in self.channel.pop_due(now):
                if message.ack_number is not None:
                    arrives = now + TRANSIT * self.chance.uniform(0.5, 1.5)
                    self.at(
                        arrives,
                        Acknowledged(
                            proxy,
                            message.ack_number,
                            arrives - self.requested_at[message.ack_number],
                        ),
                    )
            events = []
            while self.due and self.due[0][0] <= now:
                events.append(heapq.heappop(self.due)[2])
            if events:
                self.turn(now, events)
            now += 0.004

    def turn(self, now: float, events: list[Event]) -> None:
        """Decide on and render one batch of events, and add its CPU to `measured`."""
        began = time.process_time()
        self.orders.handle_events(events)
        deciding = time.process_time()
        reply = self.module.decide(now, events)
        decided = time.process_time()
        messages = self.orders.apply_orders(reply, now)
        took = time.process_time() - began
        for order in reply:
            if isinstance(order, SetTimer):
                self.at(now + order.delay, TimerFired(order.token))
            elif isinstance(order, RequestAcknowledgement):
                self.requested_at[order.ack_number] = now
        for proxy, message in messages.items():
            self.channel.enqueue(now, proxy, message)  # type: ignore[arg-type]  # it asks for lines alone
        kinds = {type(event).__name__ for event in events}
        if len(kinds) == 1:
            self.measured.events[kinds.pop()].append(took / len(events))
        self.measured.seconds[int(now)] += took
        self.measured.longest = max(self.measured.longest, took)
        self.measured.deciding[int(now)] += decided - deciding
        self.measured.turns.append(decided - deciding)


def peak_memory() -> float:
    """Return the most memory in MiB that this process has held."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure(
    proxies: int, workers: int = WORKERS, products: int = PRODUCTS, module: str = "present"
) -> dict[str, Any]:
    """Play one size, and return seconds of CPU, ms for a turn or an event, and memory in MiB."""
    before = peak_memory()
    fleet = JoinStorm(proxies, workers, products, module)
    fleet.run(END)
    spent = fleet.measured
    each = {kind: 1000 * mean(values) for kind, values in spent.events.items()}
    return {
        "joins": spent.seconds[1],
        "worst": max(spent.seconds.values()),
        "usual": sum(spent.seconds[index] for index in range(5, 10)) / 5,
        "longest": 1000 * spent.longest,
        "change": sum(spent.seconds[index] for index in range(10, 18)) / 8,
        "memory": peak_memory() - before,
        **each,
        "decide usual": sum(spent.deciding[index] for index in range(5, 10)) / 5,
        "decide worst": max(spent.deciding.values()),
        "decide turn": 1000 * mean(spent.turns),
        "decide longest": 1000 * max(spent.turns),
        "turns": len(spent.turns),
    }


def measure_in_process(*size: Any) -> dict[str, Any]:
    """Measure one size in a process of its own."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return defaultdict(float, pool.apply(measure, size))


def compare(sizes: list[tuple[int, int, int]], modules: list[str], runs: int) -> None:
    """Print deciding and rendering apart, a line for each run."""
    print(
        "workers, products, proxies, module | deciding alone: a usual second, the dearest in s; a "
        "turn, the longest "
        "in ms; turns | rendering, a usual second in s | memory in MiB"
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
        f"{WORKERS} workers, CPU: a second of joins, the worst one, a usual one, one of "
        "replacements in s; the "
        "longest turn, a join, a report, an answer in ms; memory in MiB"
    )
    for size in PROXIES:
        found = measure_in_process(size)
        spent = " ".join(f"{found[name]:.2f}" for name in ("joins", "worst", "usual", "change"))
        print(
            f"{size:5d} proxies: {spent}; {found['longest']:.1f} {found['ProxyConnected']:.2f} "
            f"{found['EndpointReported']:.2f} "
            f"{found['Acknowledged']:.2f}; {found['memory']:.1f}",
            flush=True,
        )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--profile", type=int, metavar="PROXIES", help="where the time goes, at this many proxies"
    )
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--products", type=int, default=PRODUCTS)
    parser.add_argument("--proxies", type=int, default=20)
    parser.add_argument("--module", choices=[*MODULES, "both"], default="present")
    parser.add_argument("--runs", type=int, default=1, help="times that each size is played")
    parser.add_argument("--table", action="store_true", help=f"workers, products, proxies: {TABLE}")
    args = parser.parse_args()
    modules = list(MODULES) if args.module == "both" else [args.module]
    if args.profile:
        profile, fleet = (
            cProfile.Profile(),
            JoinStorm(args.profile, args.workers, args.products, modules[0]),
        )
        profile.runcall(fleet.run, END)
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
