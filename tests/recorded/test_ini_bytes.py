"""Every INI file in the repository gives the recorded values, a broken one the recorded error."""

from pathlib import Path

import pytest

from tests.recorded import record_ini
from tests.recorded.plain import as_json, read_json


def test_every_ini_file_is_recorded() -> None:
    assert sorted(read_json(record_ini.GOOD)) == record_ini.files()


@pytest.mark.parametrize("name", record_ini.files())
def test_an_ini_file_gives_the_recorded_values(name: str) -> None:
    assert as_json(record_ini.recorded_values(name)) == read_json(record_ini.GOOD)[name]


def test_a_broken_file_gives_the_recorded_error(tmp_path: Path) -> None:
    recorded = read_json(record_ini.BROKEN)
    assert len(recorded["cases"]) > 40
    for case in recorded["cases"]:
        text = record_ini.with_mistake(recorded["bases"][case["kind"]], case["old"], case["new"])
        message = record_ini.first_mistake(case["kind"], text, tmp_path)
        assert message == case["said"], (case["kind"], case["new"])
