"""A simulator's side of a short session with the adapter, from a fixed seed: `python -m
tests.recorded.record_session`.

Two managers with workers that drain, go, fail and come back. Marks are answered, timers rung and
probes answered as the adapter orders; the lines that it was sent are kept, and later replayed as
bytes whatever it answers.
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
WORKERS, PROXIES, TURNS, STEP_US = 12, 5, 240, 125_000


class Session:
    """What happens, in microseconds; `due` holds it in order."""

    def __init__(self) -> None:
        self.random, self.order = Random("session"), count()
        self.due: list[tuple[int, int, Line]] = []
        self.states = {f"10.1.0.{n}:80": "active" for n in range(WORKERS)}
        self.generation = 0
        for manager, mode in MANAGERS.items():
            info = {**INFO, "membershipMode": mode, "zone": manager.partition("-")[0]}
            self.at(0, {"verb": "NewInstance", "manager": manager, "nonce64": 7, "info": info})
            self.at(0, self.listing(manager, "restored", list(self.states)))
            for proxy in range(PROXIES):
                joined = {"verb": "Joined", "proxy": proxy, "locality": ZONES[proxy % 2]}
                self.at(100_000, {**joined, "manager": manager, "weight": 8.5, "yes": True})

    def at(self, when: int, line: Line) -> None:
        heapq.heappush(self.due, (when, next(self.order), line))

    def listing(
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

    def traffic(self, now: int, turn: int) -> None:
        """Reports of a few workers; two of them fail for a while."""
        for manager in MANAGERS:
            for number, worker in enumerate(self.random.sample(list(self.states), 4)):
                failing = worker in ("10.1.0.3:80", "10.1.0.7:80") and 60 < turn < 130
                tries = self.random.randint(1, 20)
                self.at(
                    now,
                    {
                        "verb": "TrafficReport",
                        "manager": manager,
                        "locality": ZONES[number % 2],
                        "worker": worker,
                        "count": tries,
                        "errors": tries if failing else 0,
                        "costTimeUs": 150_000,
                        "windowUs": 500_000,
                        "usage": [self.random.choice([0, 1, 3]), 61.5],
                    },
                )
            asked = {"verb": "Traffic", "manager": manager, "proxy": turn % PROXIES}
            asked |= {"service": "read", "count": 9, "errors": turn % 2, "windowUs": 500_000}
            self.at(now, asked)

    def incidents(self, now: int, turn: int) -> None:
        """News of the list: drains, losses, a restart, the whole list, and none to be had."""
        moves = {40: "leaving", 60: "left", 90: "active", 150: "leaving", 170: "active"}
        if turn in moves:
            changed = ["10.1.0.1:80", "10.1.0.2:80"]
            self.states.update(dict.fromkeys(changed, moves[turn]))
            since = now if moves[turn] == "active" else None
            for manager in MANAGERS:
                self.at(now, self.listing(manager, "update", changed, since))
        if turn in (110, 200):
            for manager in MANAGERS:
                form = "replace" if turn == 200 else "unavailable"
                self.at(now, self.listing(manager, form, list(self.states) if turn == 200 else []))
        if turn == 100:
            self.at(now, {"verb": "Left", "manager": "north-1", "proxy": 3})
        if turn == 230:
            self.at(now, {"verb": "Detach", "manager": "south-1"})

    def obey(self, now: int, decision: Line) -> None:
        manager = decision["manager"]
        match decision["verb"]:
            case "Seal":
                for proxy in range(PROXIES):
                    receipt = {"verb": "Receipt", "manager": manager, "proxy": proxy}
                    self.at(
                        now + 250_000, {**receipt, "gen": decision["gen"], "costTimeUs": 250_000}
                    )
            case "Arm":
                bell = {"verb": "Bell", "manager": manager, "token": decision["token"]}
                self.at(now + decision["delayUs"], bell)
            case "Poll":
                result = {"verb": "ProbeResult", "manager": manager, "worker": decision["worker"]}
                self.at(
                    now + 50_000, {**result, "rc": "ok", "costTimeUs": 50_000, "usage": [0, 60]}
                )
            case "Pull":
                self.at(now + 100_000, self.listing(manager, "replace", list(self.states)))

    def batch(self, turn: int) -> bytes:
        now = (turn + 1) * STEP_US
        if turn % 4 == 3:
            self.traffic(now, turn)
        self.incidents(now, turn)
        happened = []
        while self.due and self.due[0][0] <= now:
            happened.append(heapq.heappop(self.due)[2])
        batch = {"nowUs": now, "n": turn, "happened": happened}
        return json.dumps(batch, separators=(",", ":")).encode() + b"\n"


def main() -> None:
    session, sent, ordered = Session(), [], dict[str, int]()
    command = [sys.executable, "-m", "dunlinlug.drill"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as adapter:
        assert adapter.stdin is not None and adapter.stdout is not None
        for turn in range(TURNS):
            sent.append(session.batch(turn))
            adapter.stdin.write(sent[-1])
            adapter.stdin.flush()
            for decision in json.loads(adapter.stdout.readline())["decisions"]:
                ordered[decision["verb"]] = ordered.get(decision["verb"], 0) + 1
                session.obey((turn + 1) * STEP_US, decision)
        adapter.stdin.close()
    SESSION.write_bytes(gzip.compress(b"".join(sent), mtime=0))
    print(ordered)


if __name__ == "__main__":
    main()
