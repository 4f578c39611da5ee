"""Responses of service discovery and queries to it are decoded and encoded as recorded."""

from tests.recorded import record_roster
from tests.recorded.plain import as_json, read_json


def test_a_response_is_decoded_to_the_recorded_values() -> None:
    for case in read_json(record_roster.ANSWERS):
        assert as_json(record_roster.decode_response(case["body"])) == case["got"], case["body"]


def test_workers_are_encoded_to_the_recorded_body() -> None:
    recorded = read_json(record_roster.WRITTEN)
    assert record_roster.encode_response(recorded["rows"]) == recorded["body"]


def test_a_client_sends_the_recorded_queries() -> None:
    recorded = read_json(record_roster.QUERIES)
    results = [step["comes"] for step in recorded]
    assert as_json(record_roster.queries(results)) == recorded
