"""xDS, load reports and gRPC are encoded and decoded as `record_xds.py` recorded it."""

import json
from typing import Any

import pytest

from dunlinlug.rpc import framing
from tests.recorded import record_xds
from tests.recorded.record_xds import DATA, base64_of, bytes_of

RECORDED = json.loads(DATA.read_text())


def as_json(value: Any) -> Any:
    return json.loads(json.dumps(value))


def test_every_encoder_gives_the_recorded_bytes() -> None:
    assert record_xds.encoded() == RECORDED["written"]


def test_resources_have_the_recorded_names_and_versions() -> None:
    assert as_json(record_xds.versions()) == RECORDED["versions"]


def test_recorded_bytes_are_decoded_to_the_recorded_values() -> None:
    assert as_json(record_xds.decoded(RECORDED["written"])) == RECORDED["read"]


@pytest.mark.parametrize("name", ["delta", "full", "faults", "fence", "names", "grpc"])
def test_a_conversation_is_as_recorded(name: str) -> None:
    assert as_json(record_xds.conversations()[name]) == RECORDED["conversations"][name]


def test_all_recorded_data_is_compared() -> None:
    assert RECORDED.keys() == {"written", "versions", "read", "conversations"}
    assert RECORDED["conversations"].keys() == record_xds.conversations().keys()


def test_a_recorded_load_report_survives_a_round_trip() -> None:
    """Covers reports of our own proxies: that of another gRPC client has another form."""
    for name, is_first in (
        ("load report, first", True),
        ("load report, later", False),
        ("load report, empty", False),
    ):
        recorded_bytes = RECORDED["written"][name]
        assert (
            base64_of(
                record_xds.xds_load_reports.encode_report(
                    record_xds.xds_load_reports.decode_report(bytes_of(recorded_bytes)), is_first
                )
            )
            == recorded_bytes
        )


def test_recorded_frames_are_reassembled_from_chunks_of_any_size() -> None:
    both_frames = bytes_of(RECORDED["written"]["frame"]) + bytes_of(
        RECORDED["written"]["frame of nothing"]
    )
    for size in range(1, len(both_frames) + 1):
        reader, found = framing.Deframer(record_xds.MAX_MESSAGE_BYTES), list[bytes]()
        for begin in range(0, len(both_frames), size):
            found += reader.feed(both_frames[begin : begin + size])
        assert found == [b"hello", b""]
