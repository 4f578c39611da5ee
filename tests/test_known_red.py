"""The effect of KNOWN-RED.txt on a test run, checked in a temporary project."""

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
def test_other(): assert {other_passes}
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""


def run_pytest(
    folder: Path, *lines: str, other_passes: bool = True, args: tuple[str, ...] = ()
) -> tuple[int, str]:
    """Run pytest on TESTS with these entries; return its exit status and its output."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS.format(other_passes=other_passes))
    (folder / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (folder / "KNOWN-RED.txt").write_text("# a comment\n\n" + "\n".join(lines) + "\n")
    (folder / "pytest.ini").write_text("[pytest]\n")
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


RED = "tests/test_it.py::test_red -- pytest -k red, seed 3 -- the connection is refused -- 7"
EACH = "tests/test_it.py::test_each[2] -- pytest, no seed -- 2 is not 1 -- 8"


def test_known_failures_are_printed_and_do_not_fail_the_run(tmp_path: Path) -> None:
    status, output = run_pytest(tmp_path, RED, EACH)
    assert status == 0, output
    assert (
        "test_red fails as known: the connection is refused (issue 7)" in output
        and "test_each[2] fails as known" in output
    )


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    status, output = run_pytest(tmp_path, RED, EACH, other_passes=False)
    assert status == 1 and "test_other" in output


def test_a_listed_test_that_passes_is_printed_for_removal(tmp_path: Path) -> None:
    status, output = run_pytest(
        tmp_path, RED, EACH, "tests/test_it.py::test_green -- pytest -- was red -- 9"
    )
    assert status == 0 and "test_green PASSES: due to be taken off: was red (issue 9)" in output


@pytest.mark.parametrize(
    ("lines", "error"),
    [
        (["tests/test_it.py::test_red refused"], "not `test -- command"),
        (["tests/test_it.py::test_red -- the connection is refused -- 7"], "not `test -- command"),
        ([RED.replace("pytest -k red, seed 3", "")], "not `test"),
        ([RED.replace("the connection is refused", "")], "not `test"),
        ([RED.replace("-- 7", "-- soon")], "not `test"),
        ([RED.replace("test_red", "test_blue")], "there is no test"),
        ([RED, RED], "twice"),
        ([RED.replace("test_it", "test_at")], "there is no test"),
        ([EACH.replace("[2]", "[3]")], "there is no test"),
    ],
)
def test_an_invalid_list_fails_the_run(tmp_path: Path, lines: list[str], error: str) -> None:
    status, output = run_pytest(tmp_path, *lines)
    assert status not in (0, 1, 5) and error in output


def test_a_run_of_one_test_does_not_require_the_listed_ones(tmp_path: Path) -> None:
    status, output = run_pytest(tmp_path, RED, EACH, args=("tests/test_it.py::test_green",))
    assert status == 0, output
