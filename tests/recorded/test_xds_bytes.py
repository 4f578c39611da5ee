"""xDS, load reports and gRPC: the bytes that `record_xds.py` kept are written still, and read to
the same values.
"""

import json
from typing import Any

import pytest

from dunlinlug.rpc import framing
from tests.recorded import record_xds
from tests.recorded.record_xds import DATA, base64_of, bytes_of

KEPT = json.loads(DATA.read_text())


def as_json(value: Any) -> Any:
    return json.loads(json.dumps(value))


def test_every_writer_gives_the_recorded_bytes() -> None:
    assert record_xds.written() == KEPT["written"]


def test_resources_have_the_recorded_names_and_versions() -> None:
    assert as_json(record_xds.versions()) == KEPT["versions"]


def test_recorded_bytes_are_read_to_the_recorded_values() -> None:
    assert as_json(record_xds.read_back(KEPT["written"])) == KEPT["read"]


@pytest.mark.parametrize("name", ["delta", "full", "faults", "fence", "names", "grpc"])
def test_a_conversation_goes_as_recorded(name: str) -> None:
    assert as_json(record_xds.conversations()[name]) == KEPT["conversations"][name]


def test_all_that_was_recorded_is_compared() -> None:
    assert KEPT.keys() == {"written", "versions", "read", "conversations"}
    assert KEPT["conversations"].keys() == record_xds.conversations().keys()


def test_a_recorded_load_report_is_written_again_as_it_was_read() -> None:
    """Only reports of our own proxies: a plain client's has another form."""
    for name, greeting in (
        ("load report, first", True),
        ("load report, later", False),
        ("load report, empty", False),
    ):
        kept = KEPT["written"][name]
        assert (
            base64_of(
                record_xds.xds_load_reports.encode_report(
                    record_xds.xds_load_reports.decode_report(bytes_of(kept)), greeting
                )
            )
            == kept
        )


def test_recorded_frames_come_whole_however_they_are_cut() -> None:
    joined = bytes_of(KEPT["written"]["frame"]) + bytes_of(KEPT["written"]["frame of nothing"])
    for size in range(1, len(joined) + 1):
        reader, found = framing.Deframer(record_xds.MOST), list[bytes]()
        for begin in range(0, len(joined), size):
            found += reader.feed(joined[begin : begin + size])
        assert found == [b"hello", b""]
