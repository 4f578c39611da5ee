"""Hung worker detection: time until five managers eject a hung worker, with and without sharing.

    python -m bench.hung_worker_detection [--pairs 20]

Plays pairs of runs with the same seed: in one of them managers share the observations of their
proxies. The proxies of each manager send attempts evenly to 200 workers. Reports are made by zone
and worker and limited to 80 lines per second as on the platform, so that each covers some seconds.
One worker hangs: attempts sent to it fail after two seconds. A fraction of all attempts fails at
random. Decision modules and shared observations are the production code; proxies and workers are
simulated as counts. Broadcasts between managers take one step, and one in twenty is lost. There are
no sockets: only the decisions are measured.
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
REPORT_LINES_PER_S, STEP_SECONDS, HANG_AT_SECONDS, ATTEMPT_TIMEOUT_SECONDS, END_SECONDS = (
    80.0,
    0.1,
    12.0,
    2.0,
    40.0,
)


class SimulatedManager:
    """One manager, its shared observations, and the outcomes of the attempts of its proxies."""

    def __init__(self, index: int, seed: int, rate: float, failure_rate: float) -> None:
        products = tuple(
            TrafficClass(f"product-{k}", 0.8, ATTEMPT_TIMEOUT_SECONDS, 1.0 + k) for k in range(2)
        )
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
        self.observations = SharedObservations(f"m{index}", 1)
        self.rate, self.failure_rate = rate, failure_rate
        self.totals: dict[int, list[float]] = defaultdict(
            lambda: [0, 0, 0.0, 0.0]
        )  # attempts, failures, seconds of successful attempts, start of the interval
        self.next_worker, self.report_allowance = 0, 0.0
        self.ejected_since: dict[str, float] = {}
        self.wrongly_ejected = set[str]()
        self.pending_timeouts: list[tuple[float, int]] = []
        self.acknowledgements: list[Event] = []

    def sample_reports(self, now: float, hung_worker: int) -> list[Event]:
        """Add one step of attempts and return as many reports as the rate limit allows.

        Workers are reported in turn.
        """
        while self.pending_timeouts and self.pending_timeouts[0][0] <= now:
            self.totals[self.pending_timeouts.pop(0)[1]][1] += 1
        for worker in range(WORKERS):
            expected = self.rate / WORKERS * STEP_SECONDS
            for _ in range(int(expected) + (self.rng.random() < expected % 1.0)):
                if f"10.0.0.{worker}:80" in self.ejected_since:
                    continue
                self.totals[worker][0] += 1
                if worker == hung_worker:
                    self.pending_timeouts.append((now + ATTEMPT_TIMEOUT_SECONDS, worker))
                elif self.rng.random() < self.failure_rate:
                    self.totals[worker][1] += 1
                else:
                    self.totals[worker][2] += self.rng.expovariate(5.0)
        self.report_allowance = min(
            self.report_allowance + REPORT_LINES_PER_S * STEP_SECONDS / len(ZONES), 20.0
        )
        reports: list[Event] = []
        while self.report_allowance >= 1.0:
            worker, self.next_worker = self.next_worker, (self.next_worker + 1) % WORKERS
            attempts, failed, success_seconds, _since = self.totals.pop(worker, [0, 0, 0.0, now])
            failed = min(failed, max(attempts, failed))
            attempts = max(attempts, failed)
            if attempts:
                self.report_allowance -= 1.0
                succeeded = attempts - failed
                reports.append(
                    EndpointReported(
                        "a",
                        f"10.0.0.{worker}:80",
                        int(attempts),
                        int(failed),
                        success_seconds / succeeded if succeeded else 0.0,
                        7.5,
                    )
                )
            elif not self.totals:
                break
        return reports

    def decide(self, now: float, events: list[Event]) -> None:
        """Pass events to the decision module, apply its ejections and acknowledge its changes."""
        for order in self.module.decide(now, [*self.acknowledgements, *events]):
            if isinstance(order, SetEjected):
                if order.ejected:
                    self.ejected_since.setdefault(order.worker, now)
                else:
                    self.ejected_since.pop(order.worker, None)
        self.acknowledgements = [
            Acknowledged(proxy, ack_number, 0.3)
            for proxy, ack_numbers in self.module.state.budget.awaited_acks.items()
            for ack_number in list(ack_numbers)[-1:]
        ]


def play(seed: int, rate: float, failure_rate: float, shares: bool) -> tuple[list[float], int]:
    """Return the seconds from the hang to the ejection, sorted, and the healthy workers ejected.

    A manager that never ejects the hung worker adds no time.
    """
    managers, broadcast_rng = (
        [SimulatedManager(index, seed, rate, failure_rate) for index in range(MANAGERS)],
        Random(f"{seed} words"),
    )
    endpoints = tuple(
        Endpoint(f"10.0.0.{index}:80", ZONES[index % 3], "", 0, "ready", 1.0, None)
        for index in range(WORKERS)
    )
    hung_worker, wrongly_ejected, ejected_after = (
        Random(f"{seed} hung").randrange(WORKERS),
        set[tuple[int, str]](),
        dict[int, float](),
    )
    for manager in managers:
        manager.decide(0.0, [EndpointsUpdated("kept", endpoints)])
        manager.decide(
            0.1, [ProxyConnected(proxy, ZONES[proxy % 3], 5.0, True) for proxy in range(PROXIES)]
        )
    in_transit: list[list[Event]] = [[] for _ in managers]
    for step in range(2, round(END_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        hang_started = now >= HANG_AT_SECONDS
        for index, manager in enumerate(managers):
            own = manager.sample_reports(now, hung_worker if hang_started else -1)
            manager.observations.record_reports(now, own)
            events, in_transit[index] = [*own, *in_transit[index]], []
            manager.decide(now, events)
            for broadcast in manager.observations.due_broadcasts(now) if shares else ():
                for receiver in range(MANAGERS):
                    if receiver != index and broadcast_rng.random() >= 0.05:
                        in_transit[receiver] += managers[receiver].observations.merge(
                            now, broadcast
                        )
            for worker in manager.ejected_since:
                if worker == f"10.0.0.{hung_worker}:80" and hang_started:
                    ejected_after.setdefault(index, now - HANG_AT_SECONDS)
                else:
                    wrongly_ejected.add((index, worker))
    return sorted(ejected_after.values()), len(wrongly_ejected)


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pairs", type=int, default=20)
    pairs = parser.parse_args().pairs
    print(
        f"{MANAGERS} managers, {WORKERS} workers, {pairs} pairs; seconds from the hang: first, "
        "median, last manager "
        "to eject it, managers that never did; healthy workers ejected"
    )
    for rate in (100.0, 300.0):  # attempts per second of the proxies of each manager
        for failure_rate in (0.0, 0.05):
            for shares in (False, True):
                plays = [play(seed, rate, failure_rate, shares) for seed in range(pairs)]
                firsts, middles, lasts = zip(
                    *((t[0], median(t), t[-1]) for t, _ in plays if t), strict=True
                )
                never = sum(MANAGERS - len(t) for t, _ in plays)
                print(
                    f"  {rate:4.0f}/s, {failure_rate:.0%} failing at random, "
                    f"{'shared' if shares else 'alone '}: "
                    f"{median(firsts):5.1f} {median(middles):5.1f} {median(lasts):5.1f} s, never "
                    f"{never}; "
                    f"healthy ejected {sum(w for _, w in plays)}"
                )


if __name__ == "__main__":
    main()
