"""Writes to files what a leader of the recorded version sends to its followers.

    PYTHONPATH=tests/recorded/data/dunlinlug-recorded.zip python -P \\
        tests/recorded/write_states.py MANAGER.ini FOLDER

The recorded version of the package runs this program. Its decision module handles a few hundred
batches of random events. `FOLDER` gets the module's state after some of them (`before.state`), the
batches that follow (`0000.batch` and so on), and the state after these (`after.state`). The
imported names are those of the recorded version and change only with the recording.
"""

# ruff: noqa: I001 - the imports are the recorded version's, whose modules are not in this tree

import sys
from pathlib import Path
from random import Random

from dunlinlug import interface, terms
from dunlinlug.balance import Balancer
from dunlinlug.fleet.succession import facts

PROXIES, WORKERS, ZONES = 6, 14, ("north", "south", "east")
# Seconds between batches; batches before the first state and after it.
BATCH_INTERVAL, BATCHES_BEFORE, BATCHES_AFTER = 0.1, 250, 150


class EventGenerator:
    """Generates events for a module, and acknowledges its orders on behalf of the proxies."""

    def __init__(self, module: Balancer, products: list[str], seed: int) -> None:
        self.module, self.products, self.random = module, products, Random(seed)
        self.now, self.connected = 0.0, set[int]()
        self.timers: list[tuple[float, int]] = []
        self.pending_acks: list[tuple[int, int]] = []

    def worker(self, number: int, state: str, since: float | None) -> interface.Worker:
        zone = ZONES[number % len(ZONES)]
        return interface.Worker(f"10.0.0.{number}:80", zone, "plain", 0, state, 1.0, since)

    def events(self) -> list[interface.Event]:
        events: list[interface.Event] = []
        if self.now == BATCH_INTERVAL:
            events.append(
                interface.Listed(
                    "whole", tuple(self.worker(n, "ready", None) for n in range(WORKERS))
                )
            )
        events += [interface.Rung(token) for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        events += [
            interface.Answered(proxy, ack_number, 0.05)
            for proxy, ack_number in self.pending_acks
            if proxy in self.connected
        ]
        self.pending_acks = []
        events += self.proxy_events()
        events += self.worker_events()
        return events

    def proxy_events(self) -> list[interface.Event]:
        events: list[interface.Event] = []
        proxy = self.random.randrange(PROXIES)
        if proxy not in self.connected:
            self.connected.add(proxy)
            events.append(interface.Joined(proxy, ZONES[proxy % len(ZONES)], 5.0, True))
        elif self.random.random() < 0.02:
            self.connected.discard(proxy)
            events.append(interface.Left(proxy))
        for product in self.products:
            count, failed = self.random.randrange(20), self.random.choice([0, 0, 1])
            events.append(interface.Asked(proxy, product, count, failed, 0.5))
        return events

    def worker_events(self) -> list[interface.Event]:
        worker_number = self.random.randrange(WORKERS)
        failed = 9.0 if worker_number < 3 and self.random.random() < 0.5 else 0.0
        events: list[interface.Event] = [
            interface.Met("north", f"10.0.0.{worker_number}:80", 9.0, failed, 0.2, 0.5)
        ]
        if self.random.random() < 0.1:
            state = self.random.choice(["ready", "ready", "draining", "gone"])
            since = self.random.choice([None, self.now])
            events.append(interface.Listed("changes", (self.worker(worker_number, state, since),)))
        if self.random.random() < 0.02:
            pinned = (f"10.0.0.{worker_number}:80", self.random.choice([None, 0.5]))
            events.append(interface.Pinned(0, (pinned,)))
        return events

    def run_batch(self) -> facts.Batch:
        self.now += BATCH_INTERVAL
        batch = facts.Batch(self.now, self.events(), [], {})
        for order in self.module.decide(batch.now, batch.events):
            if isinstance(order, interface.Wake):
                self.timers.append((self.now + order.after, order.token))
            elif isinstance(order, interface.Mark):
                self.pending_acks += [(proxy, order.number) for proxy in sorted(self.connected)]
        return batch

    def state(self) -> bytes:
        standing = facts.Standing(
            self.now,
            3,
            {},
            {"10.0.0.1:80"},
            {"10.0.0.1:80": "south"},
            {"p0": 0},
            self.timers,
            b"[]",
        )
        return facts.write_whole(self.module, standing)


def main(file: Path, folder: Path) -> None:
    trade = terms.trade(terms.read(file))
    generator = EventGenerator(Balancer(trade), [product.name for product in trade.products], 5)
    for _ in range(BATCHES_BEFORE):
        generator.run_batch()
    (folder / "before.state").write_bytes(generator.state())
    for batch_number in range(BATCHES_AFTER):
        (folder / f"{batch_number:04}.batch").write_bytes(facts.write_batch(generator.run_batch()))
    (folder / "after.state").write_bytes(generator.state())


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
