"""A day's records: the lines of each part, and what several rules ask of them."""

import json
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from dunlinlug.config.reader import ConfigFile
from dunlinlug.errors import DunlinlugError
from dunlinlug.scenarios import schema

RecordLine = dict[str, Any]


class RecordError(DunlinlugError):
    """The folder holds no day that can be judged."""


@dataclass
class Interval:
    """A stretch of time, open at the end if `end` is infinite."""

    begin: float
    end: float = inf


@dataclass
class Records:
    """All lines by their event, in time order, and the day's book."""

    config: ConfigFile
    by_event: dict[str, list[RecordLine]] = field(default_factory=lambda: defaultdict(list))

    def lines_of(self, event: str) -> list[RecordLine]:
        return self.by_event.get(event, [])

    def intervals(self, event: str, key: str, begins: Any, ends: Any) -> dict[str, list[Interval]]:
        """By `key`, the stretches from a line that `begins` to one that `ends`."""
        intervals_by_key: dict[str, list[Interval]] = defaultdict(list)
        for line in self.lines_of(event):
            open_now = (
                bool(intervals_by_key[line[key]]) and intervals_by_key[line[key]][-1].end == inf
            )
            if begins(line) and not open_now:
                intervals_by_key[line[key]].append(Interval(line["at"]))
            elif ends(line) and open_now:
                intervals_by_key[line[key]][-1].end = line["at"]
        return intervals_by_key


def read_records(folder: Path) -> Records:
    """Every `*.jsonl` of a played day; a last line cut off by a kill is passed over."""
    run_file = folder / "run.ini"
    if not run_file.exists():
        raise RecordError(f"{folder}: no run.ini: not the folder of a played day")
    records = Records(schema.read_scenario(run_file))
    for path in sorted(folder.glob("*.jsonl")):
        lines = path.read_text(encoding="utf-8").splitlines()
        for number, text in enumerate(lines, 1):
            try:
                line = json.loads(text)
            except ValueError:
                if number == len(lines):
                    continue
                raise RecordError(f"{path}:{number}: not JSON") from None
            line["where"] = f"{path.name}:{number}"
            records.by_event[line["e"]].append(line)
    for lines_of_event in records.by_event.values():
        lines_of_event.sort(key=lambda line: float(line["at"]))
    for event, missing in (
        ("begin", "no beginning"),
        ("end", "no end"),
        ("done", "no callers that finished"),
        ("applied", "no table that reached a proxy"),
        ("served", "no list told to the manager"),
    ):
        if not records.lines_of(event):  # Danger: rules are kept on a day on which nothing happened
            raise RecordError(f"{folder}: the day has {missing}; it cannot be judged")
    return records


class ManagerLifetimes:
    """When the manager ran, was stopped or slow: the times in the rules stand still or stretch with
    it.
    """

    def __init__(self, records: Records) -> None:
        self.lifetimes = list[Interval]()
        self.stalls = list[Interval]()
        self.slow_intervals = list[tuple[Interval, float]]()
        for line in records.lines_of("manager"):
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
                    self.slow_intervals.append((Interval(time), float(line["size"])))
                case "pace":
                    self.slow_intervals[-1][0].end = time

    def lifetime_at(self, time: float) -> Interval | None:
        return next(
            (lifetime for lifetime in self.lifetimes if lifetime.begin <= time < lifetime.end), None
        )

    def due_time(self, begin: float, allowed: float) -> float:
        """When a duty of `span` seconds, begun at `begin`, is due: stops of the manager do not
        count, and while its channel is slow the span is that many times longer.
        """
        factor = max(
            [
                slowdown
                for interval, slowdown in self.slow_intervals
                if interval.begin < begin + allowed * slowdown and begin < interval.end
            ],
            default=1.0,
        )
        due = begin + allowed * factor
        for stall in self.stalls:
            if stall.begin < due and begin < stall.end:
                due += min(stall.end, inf) - max(begin, stall.begin)
        return due


class EndpointHistory:
    """What the roster has told the manager, by time."""

    def __init__(self, records: Records, manager_lifetimes: ManagerLifetimes) -> None:
        self.times = [line["at"] for line in records.lines_of("served")]
        self.lines = records.lines_of("served")
        self.manager_lifetimes = manager_lifetimes

    def list_at(self, time: float) -> RecordLine | None:
        """The list last served to the manager that lives at this time."""
        lifetime = self.manager_lifetimes.lifetime_at(time)
        served_count = bisect_right(self.times, time)
        return (
            self.lines[served_count - 1]
            if served_count and lifetime and self.times[served_count - 1] >= lifetime.begin
            else None
        )

    def unavailable_intervals(self) -> dict[str, list[Interval]]:
        """By worker, when the living manager knew it as draining or gone (until told ready, or
        killed).
        """
        unavailable: dict[str, list[Interval]] = defaultdict(list)
        known_workers: set[str] = set()
        for line in self.lines:
            lifetime = self.manager_lifetimes.lifetime_at(line["at"])
            if lifetime is None:
                continue
            known_workers |= line["states"].keys()
            for worker in known_workers:
                ready = line["states"].get(worker, ["gone"])[0] == "ready"
                intervals = unavailable[worker]
                running = bool(intervals) and intervals[-1].end > line["at"]
                if ready and running:
                    intervals[-1].end = line["at"]
                elif not ready and not running:
                    intervals.append(Interval(line["at"], lifetime.end))
        return unavailable
