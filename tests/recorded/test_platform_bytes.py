"""The platform's lines are decoded to the recorded values and encoded to the recorded bytes."""

from pathlib import Path

from dunlinlug.platform import messages
from tests.recorded import record_platform
from tests.recorded.plain import as_json, read_json, text_of


def test_a_line_is_decoded_to_the_recorded_message_or_error() -> None:
    for case in read_json(record_platform.LINES):
        assert as_json(record_platform.line(case["line"])) == case["got"], case["line"]


def test_a_stream_in_chunks_gives_the_recorded_lines() -> None:
    for case in read_json(record_platform.PIECES):
        chunks = [step["piece"] for step in case["steps"]]
        assert as_json(record_platform.pieces(chunks, case["most"])) == case["steps"]


def test_connections_get_the_recorded_replies_and_events() -> None:
    recorded = read_json(record_platform.STREAMS)
    assert as_json(record_platform.stream(recorded["comes"])) == recorded["got"]


def test_messages_are_encoded_to_the_recorded_bytes() -> None:
    recorded = read_json(record_platform.PUSHES)
    for case in recorded["pushes"]:
        assert record_platform.push(case["part"]) == case["line"]
    for case in recorded["errors"]:
        assert text_of(messages.encode_error(case["why"])) == case["line"]
    assert text_of(messages.encode_alive()) == recorded["alive"]


def test_replies_are_sent_as_the_recorded_bytes() -> None:
    recorded = read_json(record_platform.REPLIES)
    for case in recorded["got"]:
        assert as_json(record_platform.replies(recorded["steps"], case["home"])) == case["out"]


def test_a_configuration_gives_the_recorded_values_or_error(tmp_path: Path) -> None:
    for case in read_json(record_platform.SETTINGS):
        got = record_platform.settings(case["text"], case["variables"], tmp_path)
        assert as_json(got) == case["got"], case["text"][:200]


def test_discovery_is_queried_and_decoded_as_recorded() -> None:
    recorded = read_json(record_platform.DISCOVERY)
    received = [step["comes"] for step in recorded["steps"]]
    assert as_json(record_platform.discovery(received)) == recorded["steps"]


def test_a_load_report_is_decoded_to_the_recorded_values() -> None:
    for case in read_json(record_platform.DISCOVERY)["reports"]:
        assert as_json(record_platform.report(case["body"])) == case["got"]
