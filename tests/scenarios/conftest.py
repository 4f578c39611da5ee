"""Prints what the processes of a failed scenario said, also for tests listed in KNOWN-RED.txt."""

from collections.abc import Iterator
from pathlib import Path

import pytest

LAST_LINES = 4  # of each file
MAX_LINE_LENGTH = 300
OUTPUT_SUFFIXES = (".err", ".log")

_outputs: dict[str, str] = {}  # by test


def last_lines(folder: Path) -> str:
    """Return the end of each file to which a scenario's processes wrote messages."""
    paths = sorted(path for path in folder.rglob("*") if path.suffix in OUTPUT_SUFFIXES)
    parts = []
    for path in paths:
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()[-LAST_LINES:]
        parts += [f"{path.relative_to(folder)}:", *(line[:MAX_LINE_LENGTH] for line in lines)]
    return "\n".join(parts)


def single_errors(error: BaseException) -> list[BaseException]:
    """Return the errors in a group of any depth, or the error itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [single for part in error.exceptions for single in single_errors(part)]


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Iterator[None]:  # also called for an expected failure
    yield
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if call.when == "call" and call.excinfo is not None and folder is not None:
        errors = "\n".join(map(repr, single_errors(call.excinfo.value)))
        _outputs[item.nodeid] = f"{errors}\n{last_lines(folder)}"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, text in _outputs.items():
        terminalreporter.section(f"processes of {test}")
        terminalreporter.write_line(text)
