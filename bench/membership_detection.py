"""Membership detection: time to detect a death, false positives and messages, and two baselines.

    python -m bench.membership_detection [--hours 1] [--runs 40] [--largest 100]
    python -m bench.membership_detection --drawn 1000 [--processes 8]

In simulated time: our protocol; plain SWIM (a suspicion of fixed length, no confirmations, no local
health, every claim accepted); and heartbeats of each member to all others, where five missed ones
count as a failure. The probe interval is 0.2 s, a message takes 0.5 to 2 ms. The timers of a slow
member fire up to a second late. There are no sockets, and CPU time is not measured.
"""

import argparse
import multiprocessing
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from random import Random
from types import ModuleType
from typing import Any

from dunlinlug.fleet.membership import claims, clock, merging, suspicions
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    MemberState,
    MemberStateChanged,
    Message,
    Order,
    Ping,
    Send,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.simulated_network import ProtocolFactory, SimulatedNetwork

MISSED_HEARTBEATS = 5.0  # a common default of heartbeat failure detectors
LOSS_RATES = (0.0, 0.01, 0.05, 0.2)


# Replacements of the Lifeguard rules and of our own by those of plain SWIM: module, function,
# replacement.
PLAIN_SWIM: tuple[tuple[ModuleType, str, Callable[..., Any]], ...] = (
    (clock, "detect_pause", lambda _member: []),
    (
        suspicions,
        "deadline",
        lambda member, name: (
            member.suspicions[name].started_at
            + suspicions.MAX_SUSPICION_INTERVALS / 2 * member.probe_interval
        ),
    ),
    (claims, "merge_claim", lambda member, item: merging.merge_state(member, item, "")),
)


@contextmanager
def plain_swim() -> Iterator[None]:
    """Apply the rules of the original SWIM paper for one call."""
    originals = [getattr(module, name) for module, name, _ in PLAIN_SWIM]
    for module, name, replacement in PLAIN_SWIM:
        setattr(module, name, replacement)
    try:
        yield
    finally:
        for (module, name, _), original in zip(PLAIN_SWIM, originals, strict=True):
            setattr(module, name, original)


class PlainSwim(MembershipProtocol):
    """SWIM as in the original paper.

    Its suspicion is half as long as an unconfirmed suspicion of our protocol.
    """

    def next_deadline(self) -> float:
        """Return when the next timer is due, in seconds."""
        with plain_swim():
            return super().next_deadline()

    def receive(self, host_time: float, message: Message) -> list[Order]:
        """Handle a message and return the orders that follow from it."""
        with plain_swim():
            return super().receive(host_time, message)

    def tick(self, host_time: float) -> list[Order]:
        """Handle due timers and return the orders that follow from them."""
        self.local_health = 0
        with plain_swim():
            return super().tick(host_time)


class Heartbeats:
    """Heartbeats of each member to all others.

    A member without a heartbeat for `MISSED_HEARTBEATS` intervals has failed.
    """

    state = "alive"

    def __init__(  # noqa: PLR0913, PLR0917  # the arguments of a ProtocolFactory
        self,
        self_id: str,
        start_epoch: int,
        address: tuple[str, int],
        _seeds: list[tuple[str, int]],
        now: float,
        probe_interval: float,
        rng: Random,
        size: int,
    ) -> None:
        self.self_id, self.probe_interval, self.next_probe_at, self.local_state = (
            self_id,
            probe_interval,
            now + rng.uniform(0, probe_interval),
            MemberState(self_id, (start_epoch, 0), ALIVE, address, self_id),
        )
        self.addresses = [(f"m{index}", 1) for index in range(size) if f"m{index}" != self_id]
        self.last_seen_at: dict[str, float] = {}
        self.failed = set[str]()

    def next_deadline(self) -> float:
        """Return when the next heartbeat is due, in seconds."""
        return self.next_probe_at

    def tick(self, now: float) -> list[Any]:
        """Send a heartbeat to all members, and report those whose heartbeats are overdue."""
        self.next_probe_at = now + self.probe_interval
        orders: list[Any] = [
            Send(place, Ping(self.local_state, place[0], 0, b"")) for place in self.addresses
        ]
        for name, at in self.last_seen_at.items():
            if now - at > MISSED_HEARTBEATS * self.probe_interval and name not in self.failed:
                self.failed.add(name)
                orders.append(MemberStateChanged(name, "alive", "failed", ""))
        return orders

    def receive(self, now: float, message: Ping) -> list[Any]:
        """Record a heartbeat of the sender."""
        name = message.sender.name
        self.last_seen_at[name] = now
        self.failed.discard(name)
        return []


PROTOCOLS: dict[str, Any] = {
    "ours": MembershipProtocol,
    "plain swim": PlainSwim,
    "heartbeats": Heartbeats,
}


def factory_of(protocol_name: str, size: int) -> ProtocolFactory:
    """Return the factory of a member; the heartbeat protocol gets the full list of members."""
    return (
        partial(Heartbeats, size=size)
        if protocol_name == "heartbeats"
        else PROTOCOLS[protocol_name]
    )


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at this fraction of the values, or NaN if there are none."""
    return (
        sorted(values)[min(int(fraction * len(values)), len(values) - 1)]
        if values
        else float("nan")
    )


def detection_of_death(
    protocol_name: str, size: int, loss: float, seed: int
) -> tuple[float, float, float, float]:
    """Measure one death: seconds to the first and the last member that reports it, and the traffic.

    The traffic is messages and bytes per second of one member before the death. The time to the
    last member is infinite if not every member reported the death.
    """
    net = SimulatedNetwork(
        seed, loss=loss, protocol_factory=factory_of(protocol_name, size), measure=True
    )
    net.start_cluster(size)
    settle = 10.0
    net.run(settle)
    net.messages_sent.clear()
    net.bytes_sent.clear()
    at = settle + net.rng.uniform(2.0, 3.0)
    net.run(at)
    rate = sum(net.messages_sent.values()) / size / (at - settle)
    volume = sum(net.bytes_sent.values()) / size / (at - settle)
    victim = f"m{size - 1}"
    net.kill(victim)
    net.run(at + 12.0)
    detected: dict[str, float] = {}
    for seen in net.observed_changes:
        if seen.subject == victim and seen.after == "failed" and seen.at >= at:
            detected.setdefault(seen.observer, seen.at - at)
    complete = len(detected) == size - 1
    return (
        min(detected.values(), default=float("nan")),
        max(detected.values()) if complete else float("inf"),
        rate,
        volume,
    )


def false_positives(
    protocol_name: str, loss: float, slow: float, hours: float, seed: int
) -> tuple[int, int]:
    """Count healthy members reported as failed, in all and without those on the slow member."""
    net = SimulatedNetwork(seed, loss=loss, protocol_factory=factory_of(protocol_name, 5))
    for index in range(5):
        net.start(f"m{index}", seeds=("m0", "m1"), max_timer_delay=slow if index == 4 else 0.0)
    net.run(10.0)
    net.observed_changes.clear()
    net.run(10.0 + 3600.0 * hours)
    false_reports = [seen for seen in net.observed_changes if seen.after == "failed"]
    return len(false_reports), sum(seen.subject != "m4" for seen in false_reports)


def drawn_hour(seed: int) -> tuple[int, int, int]:
    """Simulate an hour of our protocol with size, loss and one slow member drawn from the seed.

    Returns the size, the false positives on the slow member, and those on the others.
    """
    rng = Random(f"drawn hour {seed}")
    size, slow = rng.randint(3, 7), rng.uniform(0.2, 1.0)
    net = SimulatedNetwork(seed, loss=rng.uniform(0.0, 0.05))
    for index in range(size):
        net.start(
            f"m{index}", seeds=("m0", "m1"), max_timer_delay=slow if index == size - 1 else 0.0
        )
    net.run(10.0)
    net.observed_changes.clear()
    net.run(3610.0)
    false_reports = [seen for seen in net.observed_changes if seen.after == "failed"]
    return (
        size,
        sum(seen.subject == f"m{size - 1}" for seen in false_reports),
        sum(seen.subject != f"m{size - 1}" for seen in false_reports),
    )


def drawn_hours(first: int, hours: int, processes: int) -> None:
    """Simulate drawn hours in parallel, and print the false positives as they add up."""
    done, on_slow, on_others = 0, 0, 0
    with multiprocessing.Pool(processes) as pool:
        for _, slow, others in pool.imap_unordered(drawn_hour, range(first, first + hours)):
            done, on_slow, on_others = done + 1, on_slow + slow, on_others + others
            if done % 20 == 0 or done == hours:
                print(
                    f"{done} drawn hours with a slow member: {on_slow} false positives on it, "
                    f"{on_others} on others",
                    flush=True,
                )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hours", type=float, default=1.0)
    parser.add_argument("--runs", type=int, default=40)
    parser.add_argument("--largest", type=int, default=100)
    parser.add_argument(
        "--drawn",
        type=int,
        default=0,
        help="only simulate this many drawn hours with a slow member",
    )
    parser.add_argument("--first", type=int, default=0, help="seed of the first drawn hour")
    parser.add_argument("--processes", type=int, default=None)
    options = parser.parse_args()
    if options.drawn:
        drawn_hours(options.first, options.drawn, options.processes)
        return
    with multiprocessing.Pool() as pool:
        print(
            "size, protocol: first member detects p50 p99, all detect p50 p99 (s); messages, bytes "
            "per second of one member; 5% loss"
        )
        for size in (size for size in (3, 5, 16, 100, 300, 1000) if size <= options.largest):
            for protocol_name in PROTOCOLS:
                if protocol_name == "heartbeats" and size > 100:
                    continue
                runs = options.runs if size <= 16 else max(2, options.runs * 16 // size)
                found = pool.starmap(
                    detection_of_death, [(protocol_name, size, 0.05, seed) for seed in range(runs)]
                )
                firsts, alls, rates, volumes = (list(column) for column in zip(*found, strict=True))
                print(
                    f"{size:5} {protocol_name:<11} {percentile(firsts, 0.5):5.2f} "
                    f"{percentile(firsts, 0.99):5.2f}  {percentile(alls, 0.5):5.2f} "
                    f"{percentile(alls, 0.99):5.2f}  {sum(rates) / runs:6.1f} "
                    f"{sum(volumes) / runs:8.0f}  ({runs} runs)",
                    flush=True,
                )
        print(
            f"five members, {options.hours:g} h: false positives, of which not on the slow member"
        )
        for slow in (0.0, 1.0):
            for loss in LOSS_RATES:
                tasks = {
                    protocol_name: pool.apply_async(
                        false_positives, (protocol_name, loss, slow, options.hours, 7)
                    )
                    for protocol_name in PROTOCOLS
                }
                print(
                    f"  loss {loss:4.0%}, slow {slow:g} s: "
                    + "; ".join(
                        f"{protocol_name} {task.get()[0]}, {task.get()[1]}"
                        for protocol_name, task in tasks.items()
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main()
