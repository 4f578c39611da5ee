"""Records a simulator's lines in a short session with the adapter, from a fixed seed.

    python -m tests.recorded.record_session

Two managers have workers that drain, leave, fail and return. Acknowledgements, timers and health
checks come as the adapter orders them. The lines sent to it are recorded; a test replays them as
bytes, whatever the adapter writes.
"""

import gzip
import heapq
import json
import subprocess
import sys
from itertools import count
from random import Random
from typing import Any

from tests.recorded.record_decisions import SESSION
from tests.simulator.test_simulator_wire import INFO

Line = dict[str, Any]
MANAGERS = {"north-1": "automatic", "south-1": "subscribe"}
ZONES = ("north", "south")
WORKERS, PROXIES, BATCHES, STEP_US = 12, 5, 240, 125_000


class Session:
    """The simulator; `due` has the events to come by their time, in microseconds."""

    def __init__(self) -> None:
        self.random, self.sequence = Random("session"), count()
        self.due: list[tuple[int, int, Line]] = []
        self.states = {f"10.1.0.{n}:80": "active" for n in range(WORKERS)}
        self.generation = 0
        for manager, mode in MANAGERS.items():
            info = {**INFO, "membershipMode": mode, "zone": manager.partition("-")[0]}
            self.schedule(
                0, {"verb": "NewInstance", "manager": manager, "nonce64": 7, "info": info}
            )
            self.schedule(0, self.discovery_event(manager, "restored", list(self.states)))
            for proxy in range(PROXIES):
                event = {"verb": "Joined", "proxy": proxy, "locality": ZONES[proxy % 2]}
                self.schedule(100_000, {**event, "manager": manager, "weight": 8.5, "yes": True})

    def schedule(self, when: int, line: Line) -> None:
        heapq.heappush(self.due, (when, next(self.sequence), line))

    def discovery_event(
        self, manager: str, form: str, workers: list[str], since: int | None = None
    ) -> Line:
        self.generation += 1
        rows = [
            {
                "worker": worker,
                "locality": ZONES[number % 2],
                "classOfHost": "",
                "bay": 0,
                "state": self.states[worker],
                "weight": (1, 0.7, 2.5)[number % 3],
                "sinceUs": since,
            }
            for number, worker in enumerate(workers)
        ]
        return {
            "verb": "Discovery",
            "manager": manager,
            "form": form,
            "gen": self.generation,
            "membersList": rows,
        }

    def send_reports(self, now: int, batch_number: int) -> None:
        """Send reports about a few workers; two of them fail for a while."""
        for manager in MANAGERS:
            for number, worker in enumerate(self.random.sample(list(self.states), 4)):
                failing = worker in ("10.1.0.3:80", "10.1.0.7:80") and 60 < batch_number < 130
                attempts = self.random.randint(1, 20)
                self.schedule(
                    now,
                    {
                        "verb": "TrafficReport",
                        "manager": manager,
                        "locality": ZONES[number % 2],
                        "worker": worker,
                        "count": attempts,
                        "errors": attempts if failing else 0,
                        "costTimeUs": 150_000,
                        "windowUs": 500_000,
                        "usage": [self.random.choice([0, 1, 3]), 61.5],
                    },
                )
            demand = {"verb": "Traffic", "manager": manager, "proxy": batch_number % PROXIES}
            demand |= {
                "service": "read",
                "count": 9,
                "errors": batch_number % 2,
                "windowUs": 500_000,
            }
            self.schedule(now, demand)

    def send_incidents(self, now: int, batch_number: int) -> None:
        """Change the endpoint list: drains, losses, a restart, a complete list, and a failure."""
        state_changes = {40: "leaving", 60: "left", 90: "active", 150: "leaving", 170: "active"}
        if batch_number in state_changes:
            changed_workers = ["10.1.0.1:80", "10.1.0.2:80"]
            self.states.update(dict.fromkeys(changed_workers, state_changes[batch_number]))
            since = now if state_changes[batch_number] == "active" else None
            for manager in MANAGERS:
                self.schedule(now, self.discovery_event(manager, "update", changed_workers, since))
        if batch_number in (110, 200):
            for manager in MANAGERS:
                form = "replace" if batch_number == 200 else "unavailable"
                self.schedule(
                    now,
                    self.discovery_event(
                        manager, form, list(self.states) if batch_number == 200 else []
                    ),
                )
        if batch_number == 100:
            self.schedule(now, {"verb": "Left", "manager": "north-1", "proxy": 3})
        if batch_number == 230:
            self.schedule(now, {"verb": "Detach", "manager": "south-1"})

    def follow_decision(self, now: int, decision: Line) -> None:
        manager = decision["manager"]
        match decision["verb"]:
            case "Seal":
                for proxy in range(PROXIES):
                    receipt = {"verb": "Receipt", "manager": manager, "proxy": proxy}
                    self.schedule(
                        now + 250_000, {**receipt, "gen": decision["gen"], "costTimeUs": 250_000}
                    )
            case "Arm":
                bell = {"verb": "Bell", "manager": manager, "token": decision["token"]}
                self.schedule(now + decision["delayUs"], bell)
            case "Poll":
                result = {"verb": "ProbeResult", "manager": manager, "worker": decision["worker"]}
                self.schedule(
                    now + 50_000, {**result, "rc": "ok", "costTimeUs": 50_000, "usage": [0, 60]}
                )
            case "Pull":
                self.schedule(
                    now + 100_000, self.discovery_event(manager, "replace", list(self.states))
                )

    def batch(self, batch_number: int) -> bytes:
        now = (batch_number + 1) * STEP_US
        if batch_number % 4 == 3:
            self.send_reports(now, batch_number)
        self.send_incidents(now, batch_number)
        events = []
        while self.due and self.due[0][0] <= now:
            events.append(heapq.heappop(self.due)[2])
        batch = {"nowUs": now, "n": batch_number, "happened": events}
        return json.dumps(batch, separators=(",", ":")).encode() + b"\n"


def main() -> None:
    session, sent, decision_counts = Session(), [], dict[str, int]()
    command = [sys.executable, "-m", "dunlinlug.drill"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as adapter:
        assert adapter.stdin is not None and adapter.stdout is not None
        for batch_number in range(BATCHES):
            sent.append(session.batch(batch_number))
            adapter.stdin.write(sent[-1])
            adapter.stdin.flush()
            for decision in json.loads(adapter.stdout.readline())["decisions"]:
                decision_counts[decision["verb"]] = decision_counts.get(decision["verb"], 0) + 1
                session.follow_decision((batch_number + 1) * STEP_US, decision)
        adapter.stdin.close()
    SESSION.write_bytes(gzip.compress(b"".join(sent), mtime=0))
    print(decision_counts)


if __name__ == "__main__":
    main()
