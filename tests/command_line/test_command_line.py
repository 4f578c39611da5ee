"""The command line and the manager as a process."""

import json
import signal
import subprocess
import sys
import threading
from pathlib import Path
from queue import Queue
from typing import Any

from click.testing import CliRunner

from dunlinlug.cli import main
from tests.config.test_manager_config import manager_file

ROOT = Path(__file__).parents[2]


def test_the_commented_example_is_in_order_and_a_bad_file_is_one_line_with_status_2(
    tmp_path: Path,
) -> None:
    good = CliRunner().invoke(main, ["check", str(ROOT / "deploy" / "manager.ini")])
    assert (good.exit_code, good.output.strip()[-8:]) == (0, "in order")
    path = manager_file(tmp_path, ("bare = 4s", "bare = soon"))
    bad = CliRunner().invoke(main, ["check", str(path)])
    assert bad.exit_code == 2 and "bare" in bad.output and "such as 250ms" in bad.output
    for words in (["manager", str(path)], ["day", "play", str(path)], ["audit", str(tmp_path)]):
        done = subprocess.run(
            [sys.executable, "-m", "dunlinlug", *words], capture_output=True, text=True, timeout=30
        )
        assert done.returncode == 2 and len(done.stderr.strip().splitlines()) == 1, done.stderr


class Process:
    """A manager process whose log lines can be waited for."""

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
        while True:
            said = self.lines.get(timeout=15.0)
            if event in said["event"]:
                return said


def test_a_manager_reloads_on_sighup_refuses_what_needs_a_restart_and_stops_on_sigterm(
    tmp_path: Path,
) -> None:
    path = manager_file(
        tmp_path,
        ("127.0.0.1:18000", "127.0.0.1:0"),
        ("store = unused", f"store = {tmp_path / 's'}"),
    )
    text, manager = path.read_text(), Process(path)
    try:
        assert manager.until("manager.ready")["epoch"] == 1
        for new, event in (
            (
                text.replace("lines_per_s = 1200/s", "lines_per_s = 1200/s\npace = 40/s"),
                "reload.done",
            ),
            (text.replace("bare = 4s", "bare = 9s"), "reload.rejected"),
            (text.replace("bare = 4s", "bare = 9"), "reload.rejected"),
            (text, "reload.done"),
        ):
            path.write_text(new)
            manager.process.send_signal(signal.SIGHUP)
            assert manager.until(event)
        second = Process(path)
        assert "another manager has this store open" in second.until("dunlinlug:")["event"]
        assert second.process.wait(15) == 2
        manager.process.send_signal(signal.SIGTERM)
        assert manager.until("manager.stopped")
        assert manager.process.wait(15) == 0
    finally:
        manager.process.kill()
        manager.process.wait()


def test_a_manager_whose_port_is_taken_says_so(tmp_path: Path) -> None:
    import socket

    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = manager_file(
            tmp_path,
            ("127.0.0.1:18000", f"127.0.0.1:{taken.getsockname()[1]}"),
            ("store = unused", f"store = {tmp_path / 's'}"),
        )
        manager = Process(path)
        assert "cannot serve" in manager.until("dunlinlug:")["event"]
        assert manager.process.wait(15) == 1
