"""What carriers saw of owners, and whether it is in order: judged from the carriers' records alone.

Each piece at each carrier is a fenced register. What was done there may never go back to a lower
number, a number is one owner's, and under one number counts only grow. Owners are not asked: a
broken one would say that all is well.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path


@dataclass(frozen=True)
class Observation:
    """An effect at a carrier, done or refused, at a time of the carrier's."""

    observed_at: float
    executor: str
    task: str
    token: int
    sequence: int
    owner: str
    done: bool


@dataclass(frozen=True)
class Violation:
    description: str
    before: Observation
    after: Observation


def find_violations(
    observations: Iterable[Observation], shard_of: dict[str, int] | None = None
) -> list[Violation]:
    """What is out of order, in the order in which carriers saw it. With `slot_of` pieces of one
    slot count as one.
    """
    last_executed = dict[tuple[str, str], Observation]()
    owners = dict[tuple[str, int], Observation]()
    violations = list[Violation]()
    for observation in observations:
        if not observation.done:
            continue
        register = str(shard_of[observation.task]) if shard_of is not None else observation.task
        before = last_executed.get((observation.executor, register))
        if before is not None and observation.token < before.token:
            violations.append(Violation("a lower number after a higher", before, observation))
        elif before is not None and (observation.token, observation.sequence) <= (
            before.token,
            before.sequence,
        ):
            violations.append(
                Violation("done again, or out of order within a number", before, observation)
            )
        other = owners.setdefault((register, observation.token), observation)
        if other.owner != observation.owner:
            violations.append(Violation("two owners under one number", other, observation))
        last_executed[observation.executor, register] = observation
    return violations


def takeover_delays(observations: Iterable[Observation], since: float) -> dict[str, float]:
    """By piece, seconds from `began` to the first effect that was done anywhere after it."""
    delays = dict[str, float]()
    for observation in observations:
        if observation.done and observation.observed_at >= since:
            delays.setdefault(observation.task, observation.observed_at - since)
    return delays


def read_logs(folder: Path) -> list[Observation]:
    """What the managers of a day did and refused as carriers, from their logs, in the order of
    their writing. A manager that began anew is another carrier to the judge: it remembers no
    numbers but the log's.
    """
    observations = list[Observation]()
    for path in sorted(folder.glob("manager-*.log")):
        member = path.stem.removeprefix("manager-")
        start_count = 0
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                record = json.loads(line)
            except ValueError:
                continue  # the last line of a process that was killed
            if record.get("event") == "membership.ready":
                start_count += 1
            if record.get("event") in ("ownership.effect_executed", "ownership.effect_rejected"):
                observed_at = datetime.fromisoformat(record["timestamp"]).timestamp()
                observations.append(
                    Observation(
                        observed_at,
                        f"{member} {start_count}",
                        record["piece"],
                        record["number"],
                        record["count"],
                        record["owner"],
                        record["event"] == "ownership.effect_executed",
                    )
                )
    return observations
