"""Compares the managers' failure verdicts on each other, in their logs, with injected faults."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from dunlinlug.audit.records import RecordLine

# Seconds after its end for which a fault still explains a verdict: the timeout of a suspicion, and
# the time until the verdict reaches the other members.
DETECTION_GRACE = 3.0


@dataclass(frozen=True)
class FailureVerdict:
    """A state of `subject` in the view of `reporter` from `at` seconds of the scenario on."""

    at: float
    reporter: str
    subject: str
    state: str
    reason: str


@dataclass(frozen=True)
class InjectedFault:
    """A fault from `begin` to `end` seconds: a process was down, or links were cut."""

    begin: float
    end: float
    members: frozenset[str]
    process_down: bool

    def explains(self, at: float, reporter: str, subject: str) -> bool:
        """Whether the fault can be the reason why `reporter` declared `subject` failed then."""
        is_in_time = self.begin <= at <= self.end + DETECTION_GRACE
        return is_in_time and bool(self.members & {reporter, subject})


def _read_lines(path: Path) -> Iterator[RecordLine]:
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue  # the incomplete last line of a killed process


def read_verdicts(folder: Path) -> tuple[list[FailureVerdict], list[InjectedFault]]:
    """The verdicts in time order, and the faults, from the records of a scenario in a folder."""
    record = list(_read_lines(folder / "day.jsonl"))
    begin_line = next(line for line in record if line["e"] == "begin")
    verdicts = list[FailureVerdict]()
    for path in sorted(folder.glob("manager-*.log")):
        reporter = path.stem.removeprefix("manager-")
        verdicts += _read_log(path, reporter, begin_line["wall"])
    verdicts.sort(key=lambda verdict: verdict.at)
    return verdicts, list(_injected_faults(record, begin_line["at"]))


def _read_log(path: Path, reporter: str, began_at: float) -> Iterator[FailureVerdict]:
    """The verdicts in a manager's log; `began_at` is in seconds on the wall clock."""
    for line in _read_lines(path):
        if line.get("event") == "membership.member_changed":
            logged_at = datetime.fromisoformat(line["timestamp"]).timestamp()
            yield FailureVerdict(
                logged_at - began_at, reporter, line["member"], line["now"], line["why"]
            )


def _injected_faults(record: list[RecordLine], began_at: float) -> Iterator[InjectedFault]:
    process_lines = [line for line in record if line["e"] == "member"]
    link_lines = [line for line in record if line["e"] == "step" and line["target"] == "members"]
    faults = [
        *_process_faults(process_lines, began_at, record[-1]["at"] - began_at),
        *_link_faults(link_lines, began_at),
    ]
    yield from faults


def _process_faults(
    lines: list[RecordLine], began_at: float, end: float
) -> Iterator[InjectedFault]:
    """The times in which members were killed or stopped; at most until the scenario's end."""
    down_since = dict[str, float]()
    for line in lines:
        at = line["at"] - began_at
        member = line["member"]
        if line["do"] in ("kill", "stall"):
            down_since[member] = at
        elif line["do"] in ("start", "go on") and member in down_since:
            yield InjectedFault(down_since.pop(member), at, frozenset({member}), True)
    for member, since in down_since.items():
        yield InjectedFault(since, end, frozenset({member}), True)


def _link_faults(lines: list[RecordLine], began_at: float) -> Iterator[InjectedFault]:
    """The times in which links were cut; cuts that were never healed are left out."""
    cut_at = dict[str, float]()
    for line in lines:
        at = line["at"] - began_at
        pairs = json.dumps(line.get("pairs"))
        if line["do"] == "cut":
            cut_at[pairs] = at
        elif line["do"] == "heal" and pairs in cut_at:
            yield InjectedFault(cut_at.pop(pairs), at, _cut_members(line["pairs"]), False)


def _cut_members(pairs: list[list[str]]) -> frozenset[str]:
    """The member that all pairs have in common; if there is none, all members of the pairs."""
    pair_members = [frozenset(pair) for pair in pairs]
    common_members = frozenset.intersection(*pair_members)
    return common_members or frozenset.union(*pair_members)


def false_verdicts(
    verdicts: list[FailureVerdict], faults: list[InjectedFault]
) -> list[FailureVerdict]:
    """Verdicts of failure on members that were running and reachable for the reporter."""
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
    """Find members down for longer than `timeout` seconds, and who did not detect that in time.

    Returns a text for each pair; members that were partitioned meanwhile are left out.
    """
    missed = []
    for fault in faults:
        if not fault.process_down or fault.end - fault.begin <= timeout:
            continue
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
            f"{name} did not detect within {timeout:g} s "
            f"that {member} was down from {fault.begin:.1f} s"
            for name in sorted(members - reporters - partitioned - {member})
        ]
    return missed
