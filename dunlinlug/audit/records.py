"""The records of a scenario: the lines of each process, and queries that several rules use."""

import json
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from dunlinlug.config.reader import ConfigFile
from dunlinlug.errors import DunlinlugError
from dunlinlug.scenarios import schema

# A recorded line: `at` (seconds), `e` (the event), `where` (file and line number), and the fields
# of the event.
RecordLine = dict[str, Any]


class RecordError(DunlinlugError):
    """A folder whose records cannot be checked; the message names what is missing or invalid."""


@dataclass
class Interval:
    """From `begin` to `end` in seconds; `end` is infinite while the interval is open."""

    begin: float
    end: float = inf


@dataclass
class Records:
    """All lines by event, in time order, and the scenario's configuration."""

    config: ConfigFile
    by_event: dict[str, list[RecordLine]] = field(default_factory=lambda: defaultdict(list))

    def lines_of(self, event: str) -> list[RecordLine]:
        """The lines of an event, in time order."""
        return self.by_event.get(event, [])

    def intervals(
        self,
        event: str,
        key: str,
        begins: Callable[[RecordLine], bool],
        ends: Callable[[RecordLine], bool],
    ) -> dict[str, list[Interval]]:
        """Intervals by the value of `key`, each from a line that `begins` to one that `ends`."""
        intervals_by_key: dict[str, list[Interval]] = defaultdict(list)
        for line in self.lines_of(event):
            intervals = intervals_by_key[line[key]]
            is_open = bool(intervals) and intervals[-1].end == inf
            if begins(line) and not is_open:
                intervals.append(Interval(line["at"]))
            elif ends(line) and is_open:
                intervals[-1].end = line["at"]
        return intervals_by_key


def read_records(folder: Path) -> Records:
    """Read every `*.jsonl` of a scenario's folder.

    An incomplete last line, which a killed process leaves, is ignored.

    Raises:
        RecordError: The folder has no scenario, a line is not JSON, or an event is missing without
            which no rule could have been broken.
    """
    run_file = folder / "run.ini"
    if not run_file.exists():
        raise RecordError(f"{folder}: no run.ini, so this is not the folder of a scenario")
    records = Records(schema.read_scenario(run_file))
    for path in sorted(folder.glob("*.jsonl")):
        for line in _read_lines(path):
            records.by_event[line["e"]].append(line)
    for lines_of_event in records.by_event.values():
        lines_of_event.sort(key=lambda line: float(line["at"]))
    # No rule is broken in a scenario in which nothing happened, so its records are rejected.
    for event, missing in (
        ("begin", "no begin record"),
        ("end", "no end record"),
        ("done", "no load generator that finished"),
        ("applied", "no table that reached a proxy"),
        ("served", "no endpoint list served to the manager"),
    ):
        if not records.lines_of(event):
            raise RecordError(f"{folder}: the scenario has {missing}; it cannot be audited")
    return records


def _read_lines(path: Path) -> list[RecordLine]:
    """The lines of one process, each with its file and line number. Raises RecordError."""
    texts = path.read_text(encoding="utf-8").splitlines()
    lines = []
    for number, text in enumerate(texts, 1):
        try:
            line = json.loads(text)
        except ValueError:
            if number == len(texts):
                continue
            raise RecordError(f"{path}:{number}: not JSON") from None
        line["where"] = f"{path.name}:{number}"
        lines.append(line)
    return lines


class Slowdown(NamedTuple):
    """An interval in which the channel was `factor` times slower."""

    interval: Interval
    factor: float


class ManagerLifetimes:
    """When the manager ran, was stopped, or had a slow channel.

    The time limits of the rules do not run while it is stopped, and are longer while its channel is
    slow.
    """

    def __init__(self, records: Records) -> None:
        self.lifetimes = list[Interval]()
        self.stalls = list[Interval]()
        self.slowdowns = list[Slowdown]()
        for line in records.lines_of("manager"):
            self._apply_line(line)

    def _apply_line(self, line: RecordLine) -> None:
        time = line["at"]
        match line["do"]:
            case "start":
                self.lifetimes.append(Interval(time))
            case "kill":
                self.lifetimes[-1].end = time
            case "stall":
                self.stalls.append(Interval(time))
            case "go on":
                self.stalls[-1].end = time
            case "slow":
                self.slowdowns.append(Slowdown(Interval(time), float(line["size"])))
            case "pace":
                self.slowdowns[-1].interval.end = time

    def lifetime_at(self, time: float) -> Interval | None:
        """The lifetime of the manager that ran at a time; None if none ran."""
        for lifetime in self.lifetimes:
            if lifetime.begin <= time < lifetime.end:
                return lifetime
        return None

    def due_time(self, begin: float, allowed: float) -> float:
        """The deadline of an action that began at `begin` and is allowed `allowed` seconds.

        Time in which the manager was stopped does not count, and a slow channel allows more time.
        """
        factor = max(
            [
                slowdown.factor
                for slowdown in self.slowdowns
                if slowdown.interval.begin < begin + allowed * slowdown.factor
                and begin < slowdown.interval.end
            ],
            default=1.0,
        )
        due = begin + allowed * factor
        for stall in self.stalls:
            if stall.begin < due and begin < stall.end:
                due += min(stall.end, inf) - max(begin, stall.begin)
        return due


class EndpointHistory:
    """The endpoint lists that service discovery served to the manager, by time."""

    def __init__(self, records: Records, manager_lifetimes: ManagerLifetimes) -> None:
        self.times = [line["at"] for line in records.lines_of("served")]
        self.lines = records.lines_of("served")
        self.manager_lifetimes = manager_lifetimes

    def list_at(self, time: float) -> RecordLine | None:
        """The last list served to the manager that runs at this time; None if there is none."""
        lifetime = self.manager_lifetimes.lifetime_at(time)
        served_count = bisect_right(self.times, time)
        if not served_count or lifetime is None:
            return None
        if self.times[served_count - 1] < lifetime.begin:
            return None
        return self.lines[served_count - 1]

    def unavailable_intervals(self) -> dict[str, list[Interval]]:
        """By endpoint, when it was draining or gone in the list of the running manager.

        Such an interval ends when the endpoint is listed as ready, or when the manager ends.
        """
        unavailable: dict[str, list[Interval]] = defaultdict(list)
        known_workers: set[str] = set()
        for line in self.lines:
            lifetime = self.manager_lifetimes.lifetime_at(line["at"])
            if lifetime is None:
                continue
            known_workers |= line["states"].keys()
            for worker in known_workers:
                is_ready = line["states"].get(worker, ["gone"])[0] == "ready"
                intervals = unavailable[worker]
                is_open = bool(intervals) and intervals[-1].end > line["at"]
                if is_ready and is_open:
                    intervals[-1].end = line["at"]
                elif not is_ready and not is_open:
                    intervals.append(Interval(line["at"], lifetime.end))
        return unavailable
