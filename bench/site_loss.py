"""Site loss: fraction of requests served when a zone dies amid rejections, by mode of the guard.

    python -m bench.site_loss [--seeds 4] [--at-once 3]

Runs, through sockets on loopback, a day with three zones of workers. One zone is lost for 9 s
without notice from discovery. From 3 s on the decision module is faulty: of the replies that set a
table, four in ten have the entries of a table removed or the weight of one worker multiplied by
fifty. The guard is on, off, or rejects all. The faults are drawn from the seed, the same ones for
each mode of the guard. Prints the fraction served within the latency objective (of the whole day,
and in the worst 10 s) and the violated rules; the figures of a day that violates a rule do not
count.
"""

import argparse
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from random import Random

import trio

from dunlinlug.ads import main as manager
from dunlinlug.audit import figures, records, rules
from dunlinlug.balance import Balancer
from dunlinlug.cli import exit_when_input_closes
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import Order, SetWeight
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.guard import VALIDATED_ORDERS, OrderValidator, Rejection
from dunlinlug.scenarios.runner import ScenarioRunner

DAY = Path(__file__).parent.parent / "days" / "first.ini"
FAULTS_FROM_SECONDS, FAULT_PROBABILITY, WEIGHT_FACTOR = 3.0, 0.4, 50.0
KINDS = {
    "correct module, guard on": ("on", "correct"),
    "guard on": ("on", "faulty"),
    "guard off": ("off", "faulty"),
    "rejecting all": ("on", "reject_all"),
}


class FaultyBalancer:
    """The decision module with faults in some of its tables after `FAULTS_FROM_SECONDS`."""

    def __init__(self, settings: ManagerSettings) -> None:
        self.module, self.rng, self.first_decided_at = (
            Balancer(settings),
            Random(f"{settings.seed} careless"),
            float("inf"),
        )

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Return the orders of the module, with some of its tables altered."""
        orders = self.module.decide(now, events)
        self.first_decided_at = min(self.first_decided_at, now)
        tables = sorted({order.table_id for order in orders if isinstance(order, SetWeight)})
        if (
            now < self.first_decided_at + FAULTS_FROM_SECONDS
            or not tables
            or self.rng.random() >= FAULT_PROBABILITY
        ):
            return orders
        table_id = self.rng.choice(tables)
        if self.rng.random() < 0.5:
            return [
                order
                for order in orders
                if not (isinstance(order, SetWeight) and order.table_id == table_id)
            ]
        altered_order = self.rng.choice(
            [
                order
                for order in orders
                if isinstance(order, SetWeight) and order.table_id == table_id
            ]
        )
        return [
            replace(altered_order, weight=WEIGHT_FACTOR * altered_order.weight)
            if order is altered_order
            else order
            for order in orders
        ]


class RejectAllValidator(OrderValidator):
    """Rejects all orders of the kinds that it validates after `FAULTS_FROM_SECONDS`."""

    first_decided_at = float("inf")

    def validate(self, now: float, orders: list[Order]) -> tuple[list[Order], list[Rejection]]:
        """Reject every order of the kinds that the guard validates."""
        self.first_decided_at = min(self.first_decided_at, now)
        if now < self.first_decided_at + FAULTS_FROM_SECONDS:
            return super().validate(now, orders)
        rejected = [
            Rejection(order, "all", "refused", "nothing")
            for order in orders
            if isinstance(order, VALIDATED_ORDERS)
        ]
        accepted = [order for order in orders if not isinstance(order, VALIDATED_ORDERS)]
        self.usage.apply(accepted)
        return accepted, rejected


def day(seed: int, mode: str) -> str:
    """Return the configuration of a day with the loss of a zone, in this mode of the guard."""
    text = DAY.read_text().split("[trouble one out]")[0]
    for old, new in (
        ("seed = 3", f"seed = {seed}"),
        ("length = 12s", "length = 20s"),
        ("workers = 6", "workers = 12"),
        ("zones = north, south", "zones = north, south, east"),
        ("count = 4", "count = 8"),
        ("txns_per_s = 40/s", "txns_per_s = 130/s"),
        ("store = unused", f"store = unused\nseed = {seed}"),
    ):
        assert old in text
        text = text.replace(old, new, 1)
    faults = (
        ("deploy", "at = 4s\nlasts = 8s\nevery = 2s\npart = 30%\nsize = 1"),
        ("zone_loss", "at = 6s\nlasts = 9s\nzone = east"),
    )
    return (
        text
        + f"\n[guard]\nmode = {mode}\n"
        + "".join(f"\n[trouble {kind}]\nkind = {kind}\n{rest}\n" for kind, rest in faults)
    )


async def compare(seeds: int, at_once: int, folder: Path) -> None:
    """Run every mode of the guard by seed, and print the table of fractions served."""
    limiter, results = (
        trio.CapacityLimiter(at_once),
        dict[tuple[str, int], tuple[figures.Summary, list[str], int]](),
    )

    async def run_day(name: str, seed: int) -> None:
        mode, module = KINDS[name]
        day_folder = folder / f"{module}-{mode}-{seed}"
        day_folder.mkdir()
        (day_folder / "day.ini").write_text(day(seed, mode))
        async with limiter:
            await ScenarioRunner(
                day_folder / "day.ini",
                day_folder / "r",
                (sys.executable, "-m", "bench.site_loss", "manager", module),
            ).run()
        recorded = records.read_records(day_folder / "r")
        violated_rules = sorted({violation.rule for violation in rules.find_violations(recorded)})
        log = (day_folder / "r" / "manager.log").read_text()
        results[name, seed] = (
            figures.summarize(recorded),
            violated_rules,
            log.count("guard.order_rejected"),
        )

    async with trio.open_nursery() as nursery:
        for seed in range(1, seeds + 1):
            for name in KINDS:
                nursery.start_soon(run_day, name, seed)
    print(
        "| guard | served, by seed | worst 10 s | rejected | violated rules, by seed |\n| --- "
        "| --- | --- | --- | --- |"
    )
    for name in KINDS:
        lines = [results[name, seed] for seed in range(1, seeds + 1)]
        print(
            f"| {name} | {', '.join(f'{line[0].served_fraction:.3f}' for line in lines)} "
            f"| {', '.join(f'{line[0].worst_window_fraction:.3f}' for line in lines)} | "
            f"{', '.join(str(line[2]) for line in lines)} "
            f"| {', '.join('+'.join(line[1]) or 'none' for line in lines)} |"
        )


def main() -> None:
    """Run the program, or one manager process of a day."""
    if sys.argv[1:2] == ["manager"]:
        kind, file = sys.argv[2], Path(sys.argv[3])
        validator = RejectAllValidator if kind == "reject_all" else OrderValidator
        exit_when_input_closes()
        sys.exit(
            manager.serve(
                file, Balancer if kind == "correct" else FaultyBalancer, make_validator=validator
            )
        )
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--at-once", type=int, default=3)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="dunlinlug-loss-") as folder:
        trio.run(compare, options.seeds, options.at_once, Path(folder))


if __name__ == "__main__":
    main()
