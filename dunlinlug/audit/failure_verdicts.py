"""What managers believed of each other, from their own logs, beside what was done to them, from the
day's record.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

# seconds in which a fault may still tell, after its end: a suspicion and the way of a verdict
DETECTION_GRACE = 3.0


@dataclass(frozen=True)
class FailureVerdict:
    """At `at` seconds of the day, `by` had `of` as `state`, and why."""

    at: float
    reporter: str
    subject: str
    state: str
    reason: str


@dataclass(frozen=True)
class InjectedFault:
    """A fault from `begin` to `end`: of a process (`down`), or on the words between these."""

    begin: float
    end: float
    members: frozenset[str]
    process_down: bool

    def explains(self, at: float, reporter: str, subject: str) -> bool:
        return self.begin <= at <= self.end + DETECTION_GRACE and bool(
            self.members & {reporter, subject}
        )


def _read_lines(path: Path) -> Iterator[dict[str, Any]]:
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue  # the last line of a process that was killed


def read_verdicts(folder: Path) -> tuple[list[FailureVerdict], list[InjectedFault]]:
    """Of a day that was played into this folder."""
    record = list(_read_lines(folder / "day.jsonl"))
    begin_line = next(line for line in record if line["e"] == "begin")
    verdicts = []
    for path in sorted(folder.glob("manager-*.log")):
        reporter = path.stem.removeprefix("manager-")
        for line in _read_lines(path):
            if line.get("event") == "membership.member_changed":
                logged_at = datetime.fromisoformat(line["timestamp"]).timestamp()
                verdicts.append(
                    FailureVerdict(
                        logged_at - begin_line["wall"],
                        reporter,
                        line["member"],
                        line["now"],
                        line["why"],
                    )
                )
    return sorted(verdicts, key=lambda verdict: verdict.at), list(
        _injected_faults(record, begin_line["at"])
    )


def _injected_faults(record: list[dict[str, Any]], started_at: float) -> Iterator[InjectedFault]:
    down_since = dict[str, float]()
    blocked_since = dict[str, tuple[float, frozenset[str]]]()
    for line in record:
        at = line["at"] - started_at
        if line["e"] == "member" and line["do"] in ("kill", "stall"):
            down_since[line["member"]] = at
        elif (
            line["e"] == "member"
            and line["do"] in ("start", "go on")
            and line["member"] in down_since
        ):
            yield InjectedFault(
                down_since.pop(line["member"]), at, frozenset({line["member"]}), True
            )
        elif line["e"] == "step" and line["target"] == "members" and line["do"] in ("cut", "heal"):
            pair_key = json.dumps(line["pairs"])
            if line["do"] == "cut":
                pair_members = [frozenset(pair) for pair in line["pairs"]]
                common_members = frozenset.intersection(
                    *pair_members
                )  # who is cut off, where it is one; else all
                blocked_since[pair_key] = (at, common_members or frozenset.union(*pair_members))
            elif pair_key in blocked_since:
                yield InjectedFault(
                    blocked_since[pair_key][0], at, blocked_since.pop(pair_key)[1], False
                )
    for member, at in down_since.items():
        yield InjectedFault(at, record[-1]["at"] - started_at, frozenset({member}), True)


def false_verdicts(
    verdicts: list[FailureVerdict], faults: list[InjectedFault]
) -> list[FailureVerdict]:
    """Verdicts on members whose process ran and whom nothing kept from the one who says so."""
    return [
        verdict
        for verdict in verdicts
        if verdict.state == "failed"
        and verdict.reporter != verdict.subject
        and not any(
            fault.explains(verdict.at, verdict.reporter, verdict.subject) for fault in faults
        )
    ]


def missed_failures(
    verdicts: list[FailureVerdict],
    faults: list[InjectedFault],
    members: frozenset[str],
    timeout: float,
) -> list[str]:
    """Members down for longer than `within`, and who of the others did not say so in that time."""
    missed = []
    for fault in (
        fault for fault in faults if fault.process_down and fault.end - fault.begin > timeout
    ):
        [member] = fault.members
        partitioned = {
            name
            for other in faults
            if not other.process_down and other.begin <= fault.end and other.end >= fault.begin
            for name in other.members
        }
        reporters = {
            verdict.reporter
            for verdict in verdicts
            if verdict.subject == member
            and verdict.state == "failed"
            and fault.begin <= verdict.at <= fault.begin + timeout
        }
        missed += [
            f"{name} did not see within {timeout:g} s that {member} was down from {fault.begin:.1f} s"
            for name in sorted(members - reporters - partitioned - {member})
        ]
    return missed
