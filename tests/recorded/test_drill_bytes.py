"""The simulator's adapter writes the recorded bytes to the recorded lines, and reads them to the
recorded values.
"""

import json

import pytest

from tests.recorded import record_drill
from tests.recorded.plain import DATA, as_json, read_json


@pytest.mark.parametrize("name", record_drill.SESSIONS)
def test_a_session_is_answered_byte_for_byte(name: str) -> None:
    said = (DATA / "drill" / f"{name}.in").read_bytes()
    answered = (DATA / "drill" / f"{name}.out").read_bytes()
    assert len(said.splitlines()) == len(answered.splitlines()) == record_drill.SESSIONS[name]
    for n, (now, then) in enumerate(
        zip(record_drill.session(said).splitlines(), answered.splitlines(), strict=True)
    ):
        assert now == then, f"line {n + 1}"
    assert record_drill.session(said) == answered


def test_the_sessions_hold_every_order_that_the_module_gives_often() -> None:
    verbs = {
        decision["verb"]
        for name in record_drill.SESSIONS
        for line in (DATA / "drill" / f"{name}.out").read_bytes().splitlines()
        for decision in json.loads(line)["decisions"]
    }
    assert verbs >= {"Upsert", "AttachTable", "Seal", "Arm", "Watch", "Bench"}
    assert "Broken" not in verbs


def test_an_event_is_read_to_the_recorded_values() -> None:
    for case in read_json(record_drill.EVENTS):
        assert as_json(record_drill.event_of(case["line"])) == case["event"]


def test_an_order_is_written_as_recorded() -> None:
    for case in read_json(record_drill.ORDERS):
        made = record_drill.order_line(case["order"])
        assert json.dumps(made) == json.dumps(case["line"])


def test_a_line_that_is_none_is_named_as_recorded() -> None:
    for case in read_json(record_drill.FAULTS):
        assert record_drill.fault_of(case["line"]) == case["said"], case["line"]
