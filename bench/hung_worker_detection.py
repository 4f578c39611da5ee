"""How soon five managers withdraw a hung worker, with and without what the others' proxies met;
paired seeds.

python -m bench.hung_worker_detection [--pairs 20]

Each manager's proxies send txns evenly to 200 workers; reports come by zone and worker, rationed to
80 lines a second as on the platform, so that each covers some seconds. One worker hangs: its txns
end voided two seconds later. A part of all tries is voided by chance. Modules, evidence and time
are as in service; proxies and workers are sums, words between managers take a few milliseconds and
one in twenty is lost. No sockets: what is measured is judging.
"""

import argparse
from collections import defaultdict
from random import Random
from statistics import median

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
)
from dunlinlug.decision.orders import SetEjected
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits, TrafficClass
from dunlinlug.fleet.membership.shared_observations import SharedObservations

MANAGERS, WORKERS, ZONES, PROXIES = 5, 200, "abc", 30
HEARD, STEP, CALM, HANG, END = (
    80.0,
    0.1,
    12.0,
    2.0,
    40.0,
)  # lines a second; seconds: a step, to the hang, a try, in all


class Site:
    """One manager and what its proxies meet."""

    def __init__(self, n: int, seed: int, rate: float, chance_voids: float) -> None:
        products = tuple(TrafficClass(f"product-{k}", 0.8, HANG, 1.0 + k) for k in range(2))
        channel = ChannelSettings(1300.0, 4.0, 37400.0, 0.25, 0.5, 30, 10.0)
        duties = SafetyLimits(4.7, 3.0, 10.0, 18.0, 0.2, 3.0, 2.0)
        trade = ManagerSettings(
            seed=n + 10 * seed,
            zone="a",
            traffic_classes=products,
            channel=channel,
            safety_limits=duties,
            admission_mode="share",
            can_check_health=True,
            initial_subset_size=6,
        )
        self.module, self.chance = Balancer(trade), Random(f"{seed} {n}")
        self.evidence = SharedObservations(f"m{n}", 1)
        self.rate, self.chance_voids = rate, chance_voids
        self.sums: dict[int, list[float]] = defaultdict(
            lambda: [0, 0, 0.0, 0.0]
        )  # tries, voided, took, since
        self.next, self.room = 0, 0.0
        self.out: dict[str, float] = {}
        self.wrong = set[str]()
        self.late: list[tuple[float, int]] = []
        self.answers: list[Event] = []

    def met(self, now: float, hung: int) -> list[Event]:
        """Add a step's tries, and give the lines that there is room for, in turn."""
        while self.late and self.late[0][0] <= now:
            self.sums[self.late.pop(0)[1]][1] += 1
        for worker in range(WORKERS):
            expected = self.rate / WORKERS * STEP
            for _ in range(int(expected) + (self.chance.random() < expected % 1.0)):
                if f"10.0.0.{worker}:80" in self.out:
                    continue
                self.sums[worker][0] += 1
                if worker == hung:
                    self.late.append((now + HANG, worker))
                elif self.chance.random() < self.chance_voids:
                    self.sums[worker][1] += 1
                else:
                    self.sums[worker][2] += self.chance.expovariate(5.0)
        self.room = min(self.room + HEARD * STEP / len(ZONES), 20.0)
        told: list[Event] = []
        while self.room >= 1.0:
            worker, self.next = self.next, (self.next + 1) % WORKERS
            tries, voided, took, since = self.sums.pop(worker, [0, 0, 0.0, now])
            voided = min(voided, max(tries, voided))
            tries = max(tries, voided)
            if tries:
                self.room -= 1.0
                settled = tries - voided
                told.append(
                    EndpointReported(
                        "a",
                        f"10.0.0.{worker}:80",
                        int(tries),
                        int(voided),
                        took / settled if settled else 0.0,
                        7.5,
                    )
                )
            elif not self.sums:
                break
        return told

    def decide(self, now: float, events: list[Event]) -> None:
        for order in self.module.decide(now, [*self.answers, *events]):
            if isinstance(order, SetEjected):
                if order.ejected:
                    self.out.setdefault(order.worker, now)
                else:
                    self.out.pop(order.worker, None)
        self.answers = [
            Acknowledged(p, mark, 0.3)
            for p, marks in self.module.state.budget.awaited_acks.items()
            for mark in list(marks)[-1:]
        ]


def play(seed: int, rate: float, chance_voids: float, shares: bool) -> tuple[list[float], int]:
    """Seconds from the hang to the withdrawal at each manager that withdrew it, and healthy ones
    withdrawn.
    """
    sites, words = (
        [Site(n, seed, rate, chance_voids) for n in range(MANAGERS)],
        Random(f"{seed} words"),
    )
    listed = tuple(
        Endpoint(f"10.0.0.{n}:80", ZONES[n % 3], "", 0, "ready", 1.0, None) for n in range(WORKERS)
    )
    hung, wrong, found = (
        Random(f"{seed} hung").randrange(WORKERS),
        set[tuple[int, str]](),
        dict[int, float](),
    )
    for site in sites:
        site.decide(0.0, [EndpointsUpdated("kept", listed)])
        site.decide(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(PROXIES)])
    coming: list[list[Event]] = [[] for _ in sites]
    for step in range(2, round(END / STEP)):
        now = step * STEP
        begun = now >= CALM
        for n, site in enumerate(sites):
            own = site.met(now, hung if begun else -1)
            site.evidence.record_reports(now, own)
            events, coming[n] = [*own, *coming[n]], []
            site.decide(now, events)
            for extra in site.evidence.due_broadcasts(now) if shares else ():
                for other in range(MANAGERS):
                    if other != n and words.random() >= 0.05:
                        coming[other] += sites[other].evidence.merge(now, extra)
            for worker in site.out:
                if worker == f"10.0.0.{hung}:80" and begun:
                    found.setdefault(n, now - CALM)
                else:
                    wrong.add((n, worker))
    return sorted(found.values()), len(wrong)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--pairs", type=int, default=20)
    pairs = parser.parse_args().pairs
    print(
        f"{MANAGERS} managers, {WORKERS} workers, {pairs} pairs; seconds from the hang: first, median, last manager "
        "to withdraw it, managers that never did; healthy workers withdrawn"
    )
    for rate in (100.0, 300.0):  # txns a second of each manager's proxies
        for chance_voids in (0.0, 0.05):
            for shares in (False, True):
                plays = [play(seed, rate, chance_voids, shares) for seed in range(pairs)]
                firsts, middles, lasts = zip(
                    *((t[0], median(t), t[-1]) for t, _ in plays if t), strict=True
                )
                never = sum(MANAGERS - len(t) for t, _ in plays)
                print(
                    f"  {rate:4.0f}/s, {chance_voids:.0%} voided by chance, {'shared' if shares else 'alone '}: "
                    f"{median(firsts):5.1f} {median(middles):5.1f} {median(lasts):5.1f} s, never {never}; "
                    f"wrong {sum(w for _, w in plays)}"
                )


if __name__ == "__main__":
    main()
