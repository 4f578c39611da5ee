"""Versions of encoded resources."""

from dunlinlug.xds import encoding

WORKER = "127.0.0.1:7000"


def version_of(weight: float) -> str:
    zones = {WORKER: "north"}
    return encoding.encode_table("1/1", {WORKER: weight}, zones, {"read": 0.5}).version


def test_equal_content_has_equal_versions() -> None:
    assert version_of(1.0) == version_of(1.0)
    assert version_of(1.0) != version_of(0.5)
