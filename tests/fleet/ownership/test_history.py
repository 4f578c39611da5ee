"""The checker of executed effects."""

import json
from pathlib import Path

import pytest

from dunlinlug.fleet.ownership import history
from dunlinlug.fleet.ownership.history import Observation


def observed(
    token: int, sequence: int, owner: str, executor: str = "c", done: bool = True
) -> Observation:
    return Observation(0.0, executor, "p", token, sequence, owner, done)


def test_the_checker_finds_each_kind_of_violation() -> None:
    in_order = [
        observed(1, 1, "a"),
        observed(1, 2, "a"),
        observed(2, 1, "b"),
        observed(1, 3, "a", done=False),
        observed(1, 3, "a", "d"),
    ]
    assert history.find_violations(in_order) == []
    for violating, description in (
        (observed(1, 9, "a"), "a lower token after a higher one"),
        (observed(2, 1, "b"), "effect repeated"),
        (observed(2, 2, "c"), "two owners under one token"),
    ):
        first = history.find_violations([*in_order, violating])[0]
        assert first.description.startswith(description)


def effect(sequence: int) -> str:
    return json.dumps(
        {
            "event": history.EXECUTED_EVENT,
            "timestamp": "2026-12-03T10:00:00+00:00",
            "piece": "p",
            "number": 1,
            "count": sequence,
            "owner": "a",
        }
    )


def test_a_log_that_lost_its_middle_is_not_judged(tmp_path: Path) -> None:
    """Guards against a history that is judged whole although effects are missing."""
    log = tmp_path / "manager-a.log"
    started = json.dumps({"event": history.STARTED_EVENT})
    log.write_text("\n".join([started, effect(1), effect(2)[:30], effect(3)]))
    with pytest.raises(history.DamagedLogError, match=r"manager-a\.log:3"):
        history.read_logs(tmp_path)


def test_the_incomplete_last_line_of_a_killed_process_is_skipped(tmp_path: Path) -> None:
    log = tmp_path / "manager-a.log"
    started = json.dumps({"event": history.STARTED_EVENT})
    killed = [started, effect(1), effect(2)[:30] + json.dumps({"event": "log.opened"})]
    log.write_text("\n".join([*killed, started, effect(1), effect(2)[:30]]))
    assert [observed.executor for observed in history.read_logs(tmp_path)] == ["a 1", "a 2"]
