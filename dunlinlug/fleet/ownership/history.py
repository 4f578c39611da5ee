"""Checks the effects that executors recorded for violations of single ownership.

Each task at each executor is a fenced register. Executed tokens must never decrease, a token must
belong to one owner, and sequence numbers must increase under one token. The check uses no records
of owners, as a faulty owner would record no fault.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from dunlinlug.errors import DunlinlugError

EXECUTED_EVENT = "ownership.effect_executed"
REJECTED_EVENT = "ownership.effect_rejected"
STARTED_EVENT = "membership.ready"


class DamagedLogError(DunlinlugError):
    """A log that may lack effects before the end of its process.

    Attributes:
        path: The log.
        line: The number of the line that is not JSON, counted from 1.
    """

    def __init__(self, path: Path, line: int) -> None:
        super().__init__(f"{path.name}:{line}: not JSON, and its process went on after it")
        self.path = path
        self.line = line


@dataclass(frozen=True)
class Observation:
    """An effect that an executor executed or rejected."""

    observed_at: float  # seconds on the executor's clock
    executor: str
    task: str
    token: int
    sequence: int
    owner: str
    done: bool  # False if it was rejected


@dataclass(frozen=True)
class Violation:
    """Two executed effects that violate the order of tokens or their ownership."""

    description: str
    before: Observation
    after: Observation


def find_violations(
    observations: Iterable[Observation], shard_of: dict[str, int] | None = None
) -> list[Violation]:
    """Returns the violations among the executed effects, in the order of the observations.

    Args:
        observations: All observations; those of one executor in the order in which it made them.
        shard_of: Shards by task; if given, the tasks of one shard count as one register.
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
            violations.append(Violation("two owners under one token", other, observation))
        last_executed[observation.executor, register] = observation
    return violations


def _order_violations(before: Observation, after: Observation) -> Iterator[Violation]:
    if after.token < before.token:
        yield Violation("a lower token after a higher one", before, after)
    elif (after.token, after.sequence) <= (before.token, before.sequence):
        yield Violation("effect repeated or out of order under one token", before, after)


def takeover_delays(observations: Iterable[Observation], since: float) -> dict[str, float]:
    """Returns, by task, the seconds from `since` to the first effect executed at any executor."""
    delays = dict[str, float]()
    for observation in observations:
        if observation.done and observation.observed_at >= since:
            delays.setdefault(observation.task, observation.observed_at - since)
    return delays


def read_logs(folder: Path) -> list[Observation]:
    """Reads the effects that a scenario's managers executed and rejected from their log files.

    A restarted manager counts as another executor, as it only has the ownership log's tokens.

    Raises:
        DamagedLogError: A line is not JSON, and effects of the same process follow it.
    """
    observations = list[Observation]()
    for path in sorted(folder.glob("manager-*.log")):
        member = path.stem.removeprefix("manager-")
        starts = 0
        damaged_line = 0
        for number, record in _read_records(path):
            if record is None:
                damaged_line = number
                continue
            event = record.get("event")
            if event == STARTED_EVENT:
                starts += 1
                damaged_line = 0
            elif event in (EXECUTED_EVENT, REJECTED_EVENT):
                if damaged_line:
                    raise DamagedLogError(path, damaged_line)
                observations.append(_observation(f"{member} {starts}", record))
    return observations


def _read_records(path: Path) -> Iterator[tuple[int, dict[str, Any] | None]]:
    """Yields the numbers and records of a log's lines, None for one that is not valid JSON.

    The last line of a killed process can be incomplete, and run into the next one's first.
    """
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        try:
            record = json.loads(line)
        except ValueError:
            record = None
        yield number, record


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
