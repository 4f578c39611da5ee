"""The simulator's adapter answers lines with the recorded bytes and decodes them as recorded."""

import json

import pytest

from tests.recorded import record_drill
from tests.recorded.plain import DATA, as_json, read_json


@pytest.mark.parametrize("name", record_drill.SESSIONS)
def test_a_session_is_answered_byte_for_byte(name: str) -> None:
    lines_in = (DATA / "drill" / f"{name}.in").read_bytes()
    lines_out = (DATA / "drill" / f"{name}.out").read_bytes()
    assert len(lines_in.splitlines()) == len(lines_out.splitlines()) == record_drill.SESSIONS[name]
    for n, (line, recorded) in enumerate(
        zip(record_drill.session(lines_in).splitlines(), lines_out.splitlines(), strict=True)
    ):
        assert line == recorded, f"line {n + 1}"
    assert record_drill.session(lines_in) == lines_out


def test_the_sessions_contain_every_frequent_order() -> None:
    verbs = {
        decision["verb"]
        for name in record_drill.SESSIONS
        for line in (DATA / "drill" / f"{name}.out").read_bytes().splitlines()
        for decision in json.loads(line)["decisions"]
    }
    assert verbs >= {"Upsert", "AttachTable", "Seal", "Arm", "Watch", "Bench"}
    assert "Broken" not in verbs


def test_an_event_is_decoded_to_the_recorded_values() -> None:
    for case in read_json(record_drill.EVENTS):
        assert as_json(record_drill.event_of(case["line"])) == case["event"]


def test_an_order_is_encoded_as_recorded() -> None:
    for case in read_json(record_drill.ORDERS):
        line = record_drill.order_line(case["order"])
        assert json.dumps(line) == json.dumps(case["line"])


def test_an_invalid_line_gets_the_recorded_error() -> None:
    for case in read_json(record_drill.FAULTS):
        assert record_drill.fault_of(case["line"]) == case["said"], case["line"]
