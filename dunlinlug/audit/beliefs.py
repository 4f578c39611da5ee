"""What managers believed of each other, from their own logs, beside what was done to them, from the day's record."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

GRACE = 3.0  # seconds in which a fault may still tell, after its end: a suspicion and the way of a verdict


@dataclass(frozen=True)
class Belief:
    """At `at` seconds of the day, `by` had `of` as `state`, and why."""

    at: float
    by: str
    of: str
    state: str
    why: str


@dataclass(frozen=True)
class Struck:
    """A fault from `begin` to `end`: of a process (`down`), or on the words between these."""

    begin: float
    end: float
    who: frozenset[str]
    down: bool

    def tells(self, at: float, by: str, of: str) -> bool:
        return self.begin <= at <= self.end + GRACE and bool(self.who & {by, of})


def _lines(path: Path) -> Iterator[dict[str, Any]]:
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue  # the last line of a process that was killed


def read(folder: Path) -> tuple[list[Belief], list[Struck]]:
    """Of a day that was played into this folder."""
    record = list(_lines(folder / "day.jsonl"))
    begun = next(line for line in record if line["e"] == "begin")
    beliefs = []
    for path in sorted(folder.glob("manager-*.log")):
        by = path.stem.removeprefix("manager-")
        for line in _lines(path):
            if line.get("event") == "member.changed":
                wall = datetime.fromisoformat(line["timestamp"]).timestamp()
                beliefs.append(
                    Belief(wall - begun["wall"], by, line["member"], line["now"], line["why"])
                )
    return sorted(beliefs, key=lambda belief: belief.at), list(_struck(record, begun["at"]))


def _struck(record: list[dict[str, Any]], begun: float) -> Iterator[Struck]:
    downs, cuts = dict[str, float](), dict[str, tuple[float, frozenset[str]]]()
    for line in record:
        at = line["at"] - begun
        if line["e"] == "member" and line["do"] in ("kill", "stall"):
            downs[line["member"]] = at
        elif line["e"] == "member" and line["do"] in ("start", "go on") and line["member"] in downs:
            yield Struck(downs.pop(line["member"]), at, frozenset({line["member"]}), True)
        elif line["e"] == "step" and line["target"] == "members" and line["do"] in ("cut", "heal"):
            key = json.dumps(line["pairs"])
            if line["do"] == "cut":
                names = [frozenset(pair) for pair in line["pairs"]]
                common = frozenset.intersection(*names)  # who is cut off, where it is one; else all
                cuts[key] = (at, common or frozenset.union(*names))
            elif key in cuts:
                yield Struck(cuts[key][0], at, cuts.pop(key)[1], False)
    for member, at in downs.items():
        yield Struck(at, record[-1]["at"] - begun, frozenset({member}), True)


def false(beliefs: list[Belief], struck: list[Struck]) -> list[Belief]:
    """Verdicts on members whose process ran and whom nothing kept from the one who says so."""
    return [
        belief
        for belief in beliefs
        if belief.state == "failed"
        and belief.by != belief.of
        and not any(fault.tells(belief.at, belief.by, belief.of) for fault in struck)
    ]


def unseen(
    beliefs: list[Belief], struck: list[Struck], members: frozenset[str], within: float
) -> list[str]:
    """Members down for longer than `within`, and who of the others did not say so in that time."""
    found = []
    for fault in (fault for fault in struck if fault.down and fault.end - fault.begin > within):
        [one] = fault.who
        cut = {
            name
            for other in struck
            if not other.down and other.begin <= fault.end and other.end >= fault.begin
            for name in other.who
        }
        told = {
            belief.by
            for belief in beliefs
            if belief.of == one
            and belief.state == "failed"
            and fault.begin <= belief.at <= fault.begin + within
        }
        found += [
            f"{name} did not see within {within:g} s that {one} was down from {fault.begin:.1f} s"
            for name in sorted(members - told - cut - {one})
        ]
    return found
