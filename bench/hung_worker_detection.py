"""Hung worker detection: how soon five managers eject a hung worker, with and without sharing.

    python -m bench.hung_worker_detection [--pairs 20]

Plays pairs with the same seed, one where managers share their proxies' observations and one where
they do not. Each manager's proxies send transactions evenly to 200 workers; reports come by zone
and worker, limited to 80 lines a second as on the platform, so that each covers some seconds. One
worker hangs: its transactions fail two seconds later. A part of all attempts fails at random.
Decision modules, shared observations and time are as in service; proxies and workers are sums,
broadcasts between managers take one step and one in twenty is lost. There are no sockets: what is
measured is the judgement.
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
REPORT_RATE, STEP, CALM, HANG, END = (
    80.0,
    0.1,
    12.0,
    2.0,
    40.0,
)  # lines a second; seconds: a step, to the hang, a try, in all


class Site:
    """One manager with its shared observations, and the outcomes that its proxies see."""

    def __init__(self, index: int, seed: int, rate: float, failure_rate: float) -> None:
        products = tuple(TrafficClass(f"product-{k}", 0.8, HANG, 1.0 + k) for k in range(2))
        channel = ChannelSettings(1300.0, 4.0, 37400.0, 0.25, 0.5, 30, 10.0)
        safety_limits = SafetyLimits(4.7, 3.0, 10.0, 18.0, 0.2, 3.0, 2.0)
        settings = ManagerSettings(
            seed=index + 10 * seed,
            zone="a",
            traffic_classes=products,
            channel=channel,
            safety_limits=safety_limits,
            admission_mode="share",
            can_check_health=True,
            initial_subset_size=6,
        )
        self.module, self.rng = Balancer(settings), Random(f"{seed} {index}")
        self.evidence = SharedObservations(f"m{index}", 1)
        self.rate, self.failure_rate = rate, failure_rate
        self.totals: dict[int, list[float]] = defaultdict(
            lambda: [0, 0, 0.0, 0.0]
        )  # tries, voided, took, since
        self.next, self.report_allowance = 0, 0.0
        self.ejected_since: dict[str, float] = {}
        self.wrong = set[str]()
        self.hanging: list[tuple[float, int]] = []
        self.answers: list[Event] = []

    def sample_reports(self, now: float, victim: int) -> list[Event]:
        """Add one step of attempts and return the reports that the report rate allows, in turn."""
        while self.hanging and self.hanging[0][0] <= now:
            self.totals[self.hanging.pop(0)[1]][1] += 1
        for worker in range(WORKERS):
            expected = self.rate / WORKERS * STEP
            for _ in range(int(expected) + (self.rng.random() < expected % 1.0)):
                if f"10.0.0.{worker}:80" in self.ejected_since:
                    continue
                self.totals[worker][0] += 1
                if worker == victim:
                    self.hanging.append((now + HANG, worker))
                elif self.rng.random() < self.failure_rate:
                    self.totals[worker][1] += 1
                else:
                    self.totals[worker][2] += self.rng.expovariate(5.0)
        self.report_allowance = min(self.report_allowance + REPORT_RATE * STEP / len(ZONES), 20.0)
        reports: list[Event] = []
        while self.report_allowance >= 1.0:
            worker, self.next = self.next, (self.next + 1) % WORKERS
            tries, failed, took, _since = self.totals.pop(worker, [0, 0, 0.0, now])
            failed = min(failed, max(tries, failed))
            tries = max(tries, failed)
            if tries:
                self.report_allowance -= 1.0
                succeeded = tries - failed
                reports.append(
                    EndpointReported(
                        "a",
                        f"10.0.0.{worker}:80",
                        int(tries),
                        int(failed),
                        took / succeeded if succeeded else 0.0,
                        7.5,
                    )
                )
            elif not self.totals:
                break
        return reports

    def decide(self, now: float, events: list[Event]) -> None:
        """Let the module decide, follow its ejections and acknowledge its latest changes."""
        for order in self.module.decide(now, [*self.answers, *events]):
            if isinstance(order, SetEjected):
                if order.ejected:
                    self.ejected_since.setdefault(order.worker, now)
                else:
                    self.ejected_since.pop(order.worker, None)
        self.answers = [
            Acknowledged(p, ack_number, 0.3)
            for p, ack_numbers in self.module.state.budget.awaited_acks.items()
            for ack_number in list(ack_numbers)[-1:]
        ]


def play(seed: int, rate: float, failure_rate: float, shares: bool) -> tuple[list[float], int]:
    """Return the seconds from the hang to the ejection, sorted, and the healthy workers ejected.

    A manager that never ejects the hung worker adds no time.
    """
    sites, broadcast_rng = (
        [Site(index, seed, rate, failure_rate) for index in range(MANAGERS)],
        Random(f"{seed} words"),
    )
    listed = tuple(
        Endpoint(f"10.0.0.{index}:80", ZONES[index % 3], "", 0, "ready", 1.0, None)
        for index in range(WORKERS)
    )
    victim, wrong, found = (
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
        for index, site in enumerate(sites):
            own = site.sample_reports(now, victim if begun else -1)
            site.evidence.record_reports(now, own)
            events, coming[index] = [*own, *coming[index]], []
            site.decide(now, events)
            for extra in site.evidence.due_broadcasts(now) if shares else ():
                for other in range(MANAGERS):
                    if other != index and broadcast_rng.random() >= 0.05:
                        coming[other] += sites[other].evidence.merge(now, extra)
            for worker in site.ejected_since:
                if worker == f"10.0.0.{victim}:80" and begun:
                    found.setdefault(index, now - CALM)
                else:
                    wrong.add((index, worker))
    return sorted(found.values()), len(wrong)


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pairs", type=int, default=20)
    pairs = parser.parse_args().pairs
    print(
        f"{MANAGERS} managers, {WORKERS} workers, {pairs} pairs; seconds from the hang: first, "
        "median, last manager "
        "to withdraw it, managers that never did; healthy workers withdrawn"
    )
    for rate in (100.0, 300.0):  # txns a second of each manager's proxies
        for failure_rate in (0.0, 0.05):
            for shares in (False, True):
                plays = [play(seed, rate, failure_rate, shares) for seed in range(pairs)]
                firsts, middles, lasts = zip(
                    *((t[0], median(t), t[-1]) for t, _ in plays if t), strict=True
                )
                never = sum(MANAGERS - len(t) for t, _ in plays)
                print(
                    f"  {rate:4.0f}/s, {failure_rate:.0%} voided by chance, "
                    f"{'shared' if shares else 'alone '}: "
                    f"{median(firsts):5.1f} {median(middles):5.1f} {median(lasts):5.1f} s, never "
                    f"{never}; "
                    f"wrong {sum(w for _, w in plays)}"
                )


if __name__ == "__main__":
    main()
