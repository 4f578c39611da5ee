"""What executors saw of owners, and whether it is in order: judged from their records alone.

Each task at each executor is a fenced register. What was executed there may never go back to a
lower token, a token is one owner's, and under one token sequence numbers only grow. Owners are not
asked: a broken one would say that all is well.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

EXECUTED_EVENT = "ownership.effect_executed"
REJECTED_EVENT = "ownership.effect_rejected"
STARTED_EVENT = "membership.ready"


@dataclass(frozen=True)
class Observation:
    """An effect at an executor, executed or rejected."""

    observed_at: float  # seconds on the executor's clock
    executor: str
    task: str
    token: int
    sequence: int
    owner: str
    done: bool  # False if it was rejected


@dataclass(frozen=True)
class Violation:
    """Two effects that were executed and must not both have been."""

    description: str
    before: Observation
    after: Observation


def find_violations(
    observations: Iterable[Observation], shard_of: dict[str, int] | None = None
) -> list[Violation]:
    """What is out of order, in the order in which executors saw it.

    Args:
        observations: of each executor in its own order.
        shard_of: shards by task; tasks of one shard then count as one register.
    """
    last_executed = dict[tuple[str, str], Observation]()
    first_of_token = dict[tuple[str, int], Observation]()
    violations = list[Violation]()
    for observation in observations:
        if not observation.done:
            continue
        register = observation.task if shard_of is None else str(shard_of[observation.task])
        before = last_executed.get((observation.executor, register))
        if before is not None:
            violations += _order_violations(before, observation)
        other = first_of_token.setdefault((register, observation.token), observation)
        if other.owner != observation.owner:
            violations.append(Violation("two owners under one number", other, observation))
        last_executed[observation.executor, register] = observation
    return violations


def _order_violations(before: Observation, after: Observation) -> Iterator[Violation]:
    if after.token < before.token:
        yield Violation("a lower number after a higher", before, after)
    elif (after.token, after.sequence) <= (before.token, before.sequence):
        yield Violation("done again, or out of order within a number", before, after)


def takeover_delays(observations: Iterable[Observation], since: float) -> dict[str, float]:
    """By task, seconds from `since` to the first effect that was executed anywhere after it."""
    delays = dict[str, float]()
    for observation in observations:
        if observation.done and observation.observed_at >= since:
            delays.setdefault(observation.task, observation.observed_at - since)
    return delays


def read_logs(folder: Path) -> list[Observation]:
    """What the managers of a scenario executed and rejected, from their logs, as written.

    A manager that was started again counts as another executor: it remembers no tokens but the
    log's.
    """
    observations = list[Observation]()
    for path in sorted(folder.glob("manager-*.log")):
        member = path.stem.removeprefix("manager-")
        starts = 0
        for record in _read_records(path):
            event = record.get("event")
            if event == STARTED_EVENT:
                starts += 1
            elif event in (EXECUTED_EVENT, REJECTED_EVENT):
                observations.append(_observation(f"{member} {starts}", record))
    return observations


def _read_records(path: Path) -> Iterator[dict[str, Any]]:
    """The JSON lines of a log, but for the last line of a process that was killed."""
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue


def _observation(executor: str, record: dict[str, Any]) -> Observation:
    return Observation(
        datetime.fromisoformat(record["timestamp"]).timestamp(),
        executor,
        record["piece"],
        record["number"],
        record["count"],
        record["owner"],
        record["event"] == EXECUTED_EVENT,
    )
