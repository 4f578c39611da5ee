"""The admin API answers the recorded requests with the recorded status and bytes."""

from pathlib import Path

import pytest

from tests.recorded import record_operators
from tests.recorded.plain import as_json, read_json


@pytest.mark.parametrize("name", record_operators.RUNS)
def test_requests_are_answered_byte_for_byte(name: str, tmp_path: Path) -> None:
    recorded = read_json(record_operators.ANSWERS)[name]
    got = as_json(record_operators.run_steps(name, recorded["steps"], tmp_path))
    for step, answer, recorded_answer in zip(
        recorded["steps"], got["answers"], recorded["got"]["answers"], strict=True
    ):
        assert answer == recorded_answer, step
    assert got["pins"] == recorded["got"]["pins"]


def test_a_token_file_is_read_or_rejected_as_recorded(tmp_path: Path) -> None:
    for case in read_json(record_operators.TOKENS):
        got = record_operators.token(case["text"], case["mode"], tmp_path)
        assert got == case["got"], case
