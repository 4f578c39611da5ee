"""The command line, and a manager run as a process."""

import json
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from queue import Queue
from typing import Any

import pytest
from click.testing import CliRunner

from dunlinlug.cli import main
from tests.config.test_manager_config import manager_file

ROOT = Path(__file__).parents[2]


def test_the_commented_example_is_valid() -> None:
    result = CliRunner().invoke(main, ["check", str(ROOT / "deploy" / "manager.ini")])
    assert result.exit_code == 0
    assert result.output.strip().endswith("in order")


def test_an_invalid_file_is_reported_with_key_and_example(tmp_path: Path) -> None:
    path = manager_file(tmp_path, ("bare = 4s", "bare = soon"))
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert "bare" in result.output
    assert "such as 250ms" in result.output


@pytest.mark.parametrize("command", [["manager", "FILE"], ["day", "play", "FILE"], ["audit", "."]])
def test_a_file_that_cannot_be_used_gives_one_line_and_status_2(
    command: list[str], tmp_path: Path
) -> None:
    path = manager_file(tmp_path, ("bare = 4s", "bare = soon"))
    names = {"FILE": str(path), ".": str(tmp_path)}
    arguments = [names.get(argument, argument) for argument in command]
    result = subprocess.run(
        [sys.executable, "-m", "dunlinlug", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 2
    assert len(result.stderr.strip().splitlines()) == 1, result.stderr


@pytest.mark.parametrize(
    ("group", "commands"),
    [
        ([], ["audit", "check", "day", "fleet", "manager", "stand-in", "table"]),
        (["day"], ["play"]),
        (
            ["fleet"],
            ["bar", "dismiss", "enrol", "hand-over", "move", "show", "unbar", "work"],
        ),
        (["stand-in"], ["callers", "proxy", "roster", "worker"]),
        (["table"], ["explain", "pin", "propose", "show", "unpin"]),
    ],
)
def test_the_commands_of_each_group_are_found(group: list[str], commands: list[str]) -> None:
    result = CliRunner().invoke(main, [*group, "--help"])
    assert result.exit_code == 0
    listed = result.output.split("Commands:\n")[1].strip().splitlines()
    names = [line.split()[0] for line in listed]
    assert names == commands
    for command in commands:
        assert CliRunner().invoke(main, [*group, command, "--help"]).exit_code == 0


def test_a_stand_in_does_not_import_what_only_a_manager_needs() -> None:
    """A scenario starts many stand-ins, and importing the xDS messages is slow."""
    program = (
        "import sys; from dunlinlug.cli import main\n"
        "try: main(['stand-in', 'worker', '--help'])\n"
        "except SystemExit: pass\n"
        "sys.exit(any(name in sys.modules for name in ('google.protobuf', 'dunlinlug.ads')))"
    )
    subprocess.run([sys.executable, "-c", program], check=True, cwd=ROOT, timeout=30)


class ManagerProcess:
    """A manager process; `until` waits for a log line."""

    def __init__(self, path: Path) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "dunlinlug", "manager", str(path)],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.lines: Queue[dict[str, Any]] = Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.put(json.loads(line) if line.startswith("{") else {"event": line})

    def until(self, event: str) -> dict[str, Any]:
        """Wait for the next line whose event contains this text, and return it."""
        while True:
            line = self.lines.get(timeout=15.0)
            if event in line["event"]:
                return line


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """The INI file of a manager that serves on a port assigned by the system."""
    return manager_file(
        tmp_path,
        ("127.0.0.1:18000", "127.0.0.1:0"),
        ("store = unused", f"store = {tmp_path / 's'}"),
    )


@pytest.fixture
def manager(path: Path) -> Iterator[ManagerProcess]:
    """A manager process that is ready."""
    started = ManagerProcess(path)
    try:
        assert started.until("manager.ready")["epoch"] == 1
        yield started
    finally:
        started.process.kill()
        started.process.wait()


def test_sighup_reloads_and_rejects_what_needs_a_restart(
    path: Path, manager: ManagerProcess
) -> None:
    text = path.read_text()
    faster = text.replace("lines_per_s = 1200/s", "lines_per_s = 1200/s\npace = 40/s")
    for new_text, event in (
        (faster, "reload.done"),
        (text.replace("bare = 4s", "bare = 9s"), "reload.rejected"),
        (text.replace("bare = 4s", "bare = 9"), "reload.rejected"),
        (text, "reload.done"),
    ):
        path.write_text(new_text)
        manager.process.send_signal(signal.SIGHUP)
        assert manager.until(event)


def test_a_second_manager_on_the_same_store_ends_with_status_2(
    path: Path, manager: ManagerProcess
) -> None:
    second = ManagerProcess(path)
    assert "another manager has this store open" in second.until("dunlinlug:")["event"]
    assert second.process.wait(15) == 2
    assert manager.process.poll() is None


def test_sigterm_stops_a_manager_with_status_0(manager: ManagerProcess) -> None:
    manager.process.send_signal(signal.SIGTERM)
    assert manager.until("manager.stopped")
    assert manager.process.wait(15) == 0


def test_a_manager_whose_port_is_taken_reports_it_and_ends_with_status_1(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = manager_file(
            tmp_path,
            ("127.0.0.1:18000", f"127.0.0.1:{taken.getsockname()[1]}"),
            ("store = unused", f"store = {tmp_path / 's'}"),
        )
        manager = ManagerProcess(path)
        assert "cannot serve" in manager.until("dunlinlug:")["event"]
        assert manager.process.wait(15) == 1
