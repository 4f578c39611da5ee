"""Site loss: what is served when a zone dies amid rejections, by the mode of the guard.

    python -m bench.site_loss [--seeds 4] [--at-once 3]

Plays, through sockets on loopback, a day with three zones of workers of which one dies unseen for
9 s, under a decision module that is careless from 3 s on: of every reply that sets a table, four in
ten have their lines left out or one worker's weight raised fifty times. The guard is on, off, or
rejects all. The randomness is seeded, so that the same seed draws alike under each guard. Printed
are the fraction served within the latency objective (of the whole day, and in the worst 10 s) and
the rules broken; a day that breaks one counts for nothing.
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
CARELESS_FROM, CARELESS, HEAVIER = 3.0, 0.4, 50.0
KINDS = {
    "whole module, guard on": ("on", "good"),
    "guard on": ("on", "careless"),
    "guard off": ("off", "careless"),
    "refusing all": ("on", "refused"),
}


class Careless:
    """The module, and after a while some of its tables bent."""

    def __init__(self, settings: ManagerSettings) -> None:
        self.module, self.rng, self.first = (
            Balancer(settings),
            Random(f"{settings.seed} careless"),
            float("inf"),
        )

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Return the module's orders, with some of its tables bent."""
        orders = self.module.decide(now, events)
        self.first = min(self.first, now)
        tables = sorted({order.table_id for order in orders if isinstance(order, SetWeight)})
        if now < self.first + CARELESS_FROM or not tables or self.rng.random() >= CARELESS:
            return orders
        table_id = self.rng.choice(tables)
        if self.rng.random() < 0.5:
            return [
                order
                for order in orders
                if not (isinstance(order, SetWeight) and order.table_id == table_id)
            ]
        bent = self.rng.choice(
            [o for o in orders if isinstance(o, SetWeight) and o.table_id == table_id]
        )
        return [
            replace(bent, weight=HEAVIER * bent.weight) if order is bent else order
            for order in orders
        ]


class RefusingAll(OrderValidator):
    """After the first tables, no order that it may refuse passes."""

    first = float("inf")

    def validate(self, now: float, orders: list[Order]) -> tuple[list[Order], list[Rejection]]:
        """Reject every order of the kinds that the guard validates."""
        self.first = min(self.first, now)
        if now < self.first + CARELESS_FROM:
            return super().validate(now, orders)
        refused = [
            Rejection(order, "all", "refused", "nothing")
            for order in orders
            if isinstance(order, VALIDATED_ORDERS)
        ]
        passed = [order for order in orders if not isinstance(order, VALIDATED_ORDERS)]
        self.usage.apply(passed)
        return passed, refused


def day(seed: int, mode: str) -> str:
    """Return the settings of a day with the loss of a zone, in this mode of the guard."""
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
    """Play every kind of guard by seed, and print the table of what was served."""
    running, found = (
        trio.CapacityLimiter(at_once),
        dict[tuple[str, int], tuple[figures.Summary, list[str], int]](),
    )

    async def one(name: str, seed: int) -> None:
        mode, module = KINDS[name]
        place = folder / f"{module}-{mode}-{seed}"
        place.mkdir()
        (place / "day.ini").write_text(day(seed, mode))
        async with running:
            await ScenarioRunner(
                place / "day.ini",
                place / "r",
                (sys.executable, "-m", "bench.site_loss", "manager", module),
            ).run()
        read = records.read_records(place / "r")
        broken = sorted({b.rule for b in rules.find_violations(read)})
        log = (place / "r" / "manager.log").read_text()
        found[name, seed] = figures.summarize(read), broken, log.count("guard.order_rejected")

    async with trio.open_nursery() as nursery:
        for seed in range(1, seeds + 1):
            for name in KINDS:
                nursery.start_soon(one, name, seed)
    print(
        "| guard | served, by seed | worst 10 s | refused | rules broken, by seed |\n| --- | --- "
        "| --- | --- | --- |"
    )
    for name in KINDS:
        lines = [found[name, seed] for seed in range(1, seeds + 1)]
        print(
            f"| {name} | {', '.join(f'{line[0].served_fraction:.3f}' for line in lines)} "
            f"| {', '.join(f'{line[0].worst_window_fraction:.3f}' for line in lines)} | "
            f"{', '.join(str(line[2]) for line in lines)} "
            f"| {', '.join('+'.join(line[1]) or 'none' for line in lines)} |"
        )


def main() -> None:
    """Run the program, or a manager of it as the days start it."""
    if sys.argv[1:2] == ["manager"]:
        kind, file = sys.argv[2], Path(sys.argv[3])
        validator = RefusingAll if kind == "refused" else OrderValidator
        exit_when_input_closes()
        sys.exit(
            manager.serve(file, Balancer if kind == "good" else Careless, make_validator=validator)
        )
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--at-once", type=int, default=3)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="dunlinlug-loss-") as folder:
        trio.run(compare, given.seeds, given.at_once, Path(folder))


if __name__ == "__main__":
    main()
