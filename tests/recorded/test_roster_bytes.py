"""The roster's answers are read to the recorded values; queries and answers are written as the
recorded bytes.
"""

from tests.recorded import record_roster
from tests.recorded.plain import as_json, read_json


def test_an_answer_is_read_to_the_recorded_values() -> None:
    for case in read_json(record_roster.ANSWERS):
        assert as_json(record_roster.answer(case["body"])) == case["got"], case["body"]


def test_workers_are_written_as_the_recorded_body() -> None:
    recorded = read_json(record_roster.WRITTEN)
    assert record_roster.written(recorded["rows"]) == recorded["body"]


def test_a_follower_asks_as_recorded() -> None:
    recorded = read_json(record_roster.QUERIES)
    comes = [step["comes"] for step in recorded]
    assert as_json(record_roster.queries(comes)) == recorded
