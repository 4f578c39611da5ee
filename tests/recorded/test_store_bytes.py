"""A recorded store is read to the recorded values, and these are written as the same bytes."""

import shutil
from pathlib import Path

import pytest

from tests.recorded.plain import DATA, Plain, as_json, read_json
from tests.recorded.record_store import CASES, FOLDER, create_store, pairs, put, read_back


@pytest.fixture
def recorded() -> Plain:
    found: Plain = read_json(CASES)
    return found


def test_a_store_of_the_recorded_pairs_gives_the_recorded_values(
    tmp_path: Path, recorded: Plain
) -> None:
    create_store(tmp_path / "store", recorded["pairs"])
    assert as_json(read_back(tmp_path / "store")) == recorded["got"]


def test_the_recorded_store_folder_gives_the_recorded_values(
    tmp_path: Path, recorded: Plain
) -> None:
    shutil.copytree(DATA / FOLDER, tmp_path / "store")
    assert pairs(tmp_path / "store") == recorded["pairs"]
    assert as_json(read_back(tmp_path / "store")) == recorded["got"]


def test_the_same_values_are_written_as_the_recorded_pairs(tmp_path: Path, recorded: Plain) -> None:
    put(tmp_path / "store", recorded["values"])
    assert pairs(tmp_path / "store") == recorded["pairs"]


def test_an_empty_store_gives_the_recorded_values(tmp_path: Path, recorded: Plain) -> None:
    create_store(tmp_path / "store", recorded["empty"]["pairs"])
    assert as_json(read_back(tmp_path / "store")) == recorded["empty"]["got"]
