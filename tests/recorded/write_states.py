"""Run by the recorded version of the package: what a leader sends to its followers, as files.

PYTHONPATH=tests/recorded/data/dunlinlug-recorded.zip python -P tests/recorded/write_states.py
MANAGER.ini FOLDER

A decision module goes through a few hundred turns of drawn events. `FOLDER` gets its state after
some of them (`before.state`), the batches of the turns that follow (`0000.batch` and so on), and
its state after these (`after.state`). The names of this program are those of the recorded version,
and change with the recording alone.
"""

# ruff: noqa: I001 - the imports are the recorded version's, whose modules are not in this tree

import sys
from pathlib import Path
from random import Random

from dunlinlug import interface, terms
from dunlinlug.balance import Balancer
from dunlinlug.fleet.succession import facts

PROXIES, WORKERS, ZONES = 6, 14, ("north", "south", "east")
TURN, BEFORE, AFTER = 0.1, 250, 150  # seconds of a turn; turns before the first state and after it


class Play:
    """Draws events for a module, and answers what it orders of its proxies."""

    def __init__(self, module: Balancer, products: list[str], seed: int) -> None:
        self.module, self.products, self.random = module, products, Random(seed)
        self.now, self.joined = 0.0, set[int]()
        self.rings: list[tuple[float, int]] = []
        self.marks: list[tuple[int, int]] = []

    def worker(self, number: int, state: str, since: float | None) -> interface.Worker:
        zone = ZONES[number % len(ZONES)]
        return interface.Worker(f"10.0.0.{number}:80", zone, "plain", 0, state, 1.0, since)

    def events(self) -> list[interface.Event]:
        made: list[interface.Event] = []
        if self.now == TURN:
            made.append(
                interface.Listed(
                    "whole", tuple(self.worker(n, "ready", None) for n in range(WORKERS))
                )
            )
        made += [interface.Rung(token) for at, token in self.rings if at <= self.now]
        self.rings = [ring for ring in self.rings if ring[0] > self.now]
        made += [
            interface.Answered(proxy, mark, 0.05)
            for proxy, mark in self.marks
            if proxy in self.joined
        ]
        self.marks = []
        made += self.of_proxies()
        made += self.of_workers()
        return made

    def of_proxies(self) -> list[interface.Event]:
        made: list[interface.Event] = []
        proxy = self.random.randrange(PROXIES)
        if proxy not in self.joined:
            self.joined.add(proxy)
            made.append(interface.Joined(proxy, ZONES[proxy % len(ZONES)], 5.0, True))
        elif self.random.random() < 0.02:
            self.joined.discard(proxy)
            made.append(interface.Left(proxy))
        for product in self.products:
            count, failed = self.random.randrange(20), self.random.choice([0, 0, 1])
            made.append(interface.Asked(proxy, product, count, failed, 0.5))
        return made

    def of_workers(self) -> list[interface.Event]:
        number = self.random.randrange(WORKERS)
        failed = 9.0 if number < 3 and self.random.random() < 0.5 else 0.0
        made: list[interface.Event] = [
            interface.Met("north", f"10.0.0.{number}:80", 9.0, failed, 0.2, 0.5)
        ]
        if self.random.random() < 0.1:
            state = self.random.choice(["ready", "ready", "draining", "gone"])
            since = self.random.choice([None, self.now])
            made.append(interface.Listed("changes", (self.worker(number, state, since),)))
        if self.random.random() < 0.02:
            pinned = (f"10.0.0.{number}:80", self.random.choice([None, 0.5]))
            made.append(interface.Pinned(0, (pinned,)))
        return made

    def turn(self) -> facts.Batch:
        self.now += TURN
        batch = facts.Batch(self.now, self.events(), [], {})
        for order in self.module.decide(batch.now, batch.events):
            if isinstance(order, interface.Wake):
                self.rings.append((self.now + order.after, order.token))
            elif isinstance(order, interface.Mark):
                self.marks += [(proxy, order.number) for proxy in sorted(self.joined)]
        return batch

    def state(self) -> bytes:
        standing = facts.Standing(
            self.now, 3, {}, {"10.0.0.1:80"}, {"10.0.0.1:80": "south"}, {"p0": 0}, self.rings, b"[]"
        )
        return facts.write_whole(self.module, standing)


def main(file: Path, folder: Path) -> None:
    trade = terms.trade(terms.read(file))
    play = Play(Balancer(trade), [product.name for product in trade.products], 5)
    for _ in range(BEFORE):
        play.turn()
    (folder / "before.state").write_bytes(play.state())
    for number in range(AFTER):
        (folder / f"{number:04}.batch").write_bytes(facts.write_batch(play.turn()))
    (folder / "after.state").write_bytes(play.state())


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
