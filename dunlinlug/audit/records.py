"""The records of a scenario: the lines of each process, and what several rules ask of them."""

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

# A line as it was written: `at` (seconds), `e` (the event), `where` (file and line), and fields of
# the event.
RecordLine = dict[str, Any]


class RecordError(DunlinlugError):
    """A folder without a scenario that can be judged; the text says what it lacks."""


@dataclass
class Interval:
    """From `begin` to `end` in seconds; `end` is infinite while it goes on."""

    begin: float
    end: float = inf


@dataclass
class Records:
    """All lines by their event, in time order, and the scenario's configuration."""

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
        """By the value of `key`, the times from a line that `begins` to one that `ends`."""
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

    A last line that is cut off, as a kill leaves it, is passed over.

    Raises:
        RecordError: The folder is not that of a scenario, a line is not JSON, or so little happened
            that no rule could have been broken.
    """
    run_file = folder / "run.ini"
    if not run_file.exists():
        raise RecordError(f"{folder}: no run.ini: not the folder of a played day")
    records = Records(schema.read_scenario(run_file))
    for path in sorted(folder.glob("*.jsonl")):
        for line in _read_lines(path):
            records.by_event[line["e"]].append(line)
    for lines_of_event in records.by_event.values():
        lines_of_event.sort(key=lambda line: float(line["at"]))
    # Without this, all rules would be kept in a scenario in which nothing happened.
    for event, missing in (
        ("begin", "no beginning"),
        ("end", "no end"),
        ("done", "no callers that finished"),
        ("applied", "no table that reached a proxy"),
        ("served", "no list told to the manager"),
    ):
        if not records.lines_of(event):
            raise RecordError(f"{folder}: the day has {missing}; it cannot be judged")
    return records


def _read_lines(path: Path) -> list[RecordLine]:
    """The lines of one process, each with its place. Raises RecordError."""
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
    """A time in which the channel was `factor` times slower."""

    interval: Interval
    factor: float


class ManagerLifetimes:
    """When the manager ran, was stopped or slow.

    While it is stopped the rules' time limits stand still, and while it is slow they stretch.
    """

    def __init__(self, records: Records) -> None:
        self.lifetimes = list[Interval]()
        self.stalls = list[Interval]()
        self.slowdowns = list[Slowdown]()
        for line in records.lines_of("manager"):
            self._take(line)

    def _take(self, line: RecordLine) -> None:
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
        """The lifetime of the manager that ran at a time; None if none did."""
        for lifetime in self.lifetimes:
            if lifetime.begin <= time < lifetime.end:
                return lifetime
        return None

    def due_time(self, begin: float, allowed: float) -> float:
        """When something is due that has begun at `begin` and may take `allowed` seconds.

        Stops of the manager do not count, and while its channel is slow more time is allowed.
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
    """The endpoint lists that service discovery has given the manager, by time."""

    def __init__(self, records: Records, manager_lifetimes: ManagerLifetimes) -> None:
        self.times = [line["at"] for line in records.lines_of("served")]
        self.lines = records.lines_of("served")
        self.manager_lifetimes = manager_lifetimes

    def list_at(self, time: float) -> RecordLine | None:
        """The list last given to the manager that runs at this time; None if there is none."""
        lifetime = self.manager_lifetimes.lifetime_at(time)
        served_count = bisect_right(self.times, time)
        if not served_count or lifetime is None:
            return None
        if self.times[served_count - 1] < lifetime.begin:
            return None
        return self.lines[served_count - 1]

    def unavailable_intervals(self) -> dict[str, list[Interval]]:
        """By endpoint, when the running manager knew it as draining or gone.

        Such a time ends when the endpoint is listed as ready, or with the manager.
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
