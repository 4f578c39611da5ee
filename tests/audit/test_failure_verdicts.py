"""Failure verdicts in the managers' logs, compared with the injected faults of a scenario."""

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest

from dunlinlug.audit.failure_verdicts import (
    FailureVerdict,
    InjectedFault,
    false_verdicts,
    missed_failures,
    read_verdicts,
)

BEGAN_AT = 1_700_000_000.0  # seconds on the wall clock
DOWN_B = InjectedFault(10.0, 20.0, frozenset("b"), process_down=True)
CUT_C = InjectedFault(30.0, 40.0, frozenset("c"), process_down=False)


def failed(at: float, reporter: str, subject: str) -> FailureVerdict:
    return FailureVerdict(at, reporter, subject, "failed", "no answer")


def write_folder(folder: Path, lines: list[dict[str, Any]], log: list[dict[str, Any]]) -> None:
    """Write the records of a scenario that began at 100 s, and the log of the manager `a`."""
    begin = {"at": 100.0, "e": "begin", "wall": BEGAN_AT}
    end = {"at": 160.0, "e": "end"}
    (folder / "day.jsonl").write_text(
        "".join(json.dumps(line) + "\n" for line in [begin, *lines, end])
    )
    (folder / "manager-a.log").write_text("".join(json.dumps(line) + "\n" for line in log))


def log_line(at: float, event: str = "membership.member_changed") -> dict[str, Any]:
    timestamp = datetime.fromtimestamp(BEGAN_AT + at, UTC).isoformat()
    return {"timestamp": timestamp, "event": event, "member": "b", "now": "failed", "why": "x"}


def test_verdicts_are_read_from_the_logs_in_time_order(tmp_path: Path) -> None:
    write_folder(tmp_path, [], [log_line(12.0), log_line(5.0), log_line(7.0, "manager.ready")])
    verdicts, faults = read_verdicts(tmp_path)
    assert [(verdict.at, verdict.reporter, verdict.subject) for verdict in verdicts] == [
        (pytest.approx(5.0), "a", "b"),
        (pytest.approx(12.0), "a", "b"),
    ]
    assert faults == []


def test_faults_are_read_from_the_record(tmp_path: Path) -> None:
    pairs = [["c", "a"], ["a", "c"], ["c", "b"], ["b", "c"]]
    write_folder(
        tmp_path,
        [
            {"at": 110.0, "e": "member", "do": "kill", "member": "b"},
            {"at": 120.0, "e": "member", "do": "start", "member": "b"},
            {"at": 130.0, "e": "step", "target": "members", "do": "cut", "pairs": pairs},
            {"at": 135.0, "e": "step", "target": "members", "do": "loss", "size": 0.1},
            {"at": 140.0, "e": "step", "target": "members", "do": "heal", "pairs": pairs},
            {"at": 150.0, "e": "member", "do": "stall", "member": "a"},
        ],
        [],
    )
    _, faults = read_verdicts(tmp_path)
    down_a = InjectedFault(50.0, 60.0, frozenset("a"), process_down=True)
    assert sorted(faults, key=lambda fault: fault.begin) == [DOWN_B, CUT_C, down_a]


@pytest.mark.parametrize(
    ("verdict", "is_false"),
    [
        (failed(9.0, "a", "b"), True),
        (failed(15.0, "a", "b"), False),
        (failed(22.9, "a", "b"), False),
        (failed(23.1, "a", "b"), True),
        (failed(15.0, "a", "c"), True),
        (failed(35.0, "c", "a"), False),
        (failed(35.0, "a", "b"), True),
        (failed(35.0, "a", "a"), False),
        (FailureVerdict(9.0, "a", "b", "alive", ""), False),
    ],
)
def test_a_verdict_without_a_fault_that_explains_it_is_false(
    verdict: FailureVerdict, is_false: bool
) -> None:
    assert bool(false_verdicts([verdict], [DOWN_B, CUT_C])) == is_false


@pytest.mark.parametrize(
    ("verdicts", "missed_by"),
    [
        ([failed(11.0, "a", "b"), failed(11.5, "c", "b")], []),
        ([failed(11.0, "a", "b"), failed(12.5, "c", "b")], ["c"]),
        ([failed(9.0, "a", "b")], ["a", "c"]),
    ],
)
def test_a_failure_is_missed_by_members_that_do_not_report_it_in_time(
    verdicts: list[FailureVerdict], missed_by: list[str]
) -> None:
    missed = missed_failures(verdicts, [DOWN_B, CUT_C], frozenset("abc"), timeout=2.0)
    assert [text.split()[0] for text in missed] == missed_by
    assert all("that b was down from 10.0 s" in text for text in missed)


def test_a_member_that_was_partitioned_misses_nothing() -> None:
    cut = InjectedFault(5.0, 15.0, frozenset("c"), process_down=False)
    verdicts = [failed(11.0, "a", "b")]
    assert missed_failures(verdicts, [DOWN_B, cut], frozenset("abc"), timeout=2.0) == []
