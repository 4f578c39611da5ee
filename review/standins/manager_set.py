"""Three managers that elect a leader, each a process."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from .manager import ROOT, end_at_exit, free_port
from .operator import ask

MEMBERS = ("a", "b", "c")
TOKEN = "a-token-of-the-review"
SETTINGS = """
[manager]
listen = 127.0.0.1:{listen}
store = {folder}/store
zone = north
seed = 1
log = json

[channel]
lines_per_s = 1200/s
message_lines = 4
waiting_most = 2000
transit = 20ms
transit_most = 300ms
messages_most = 30

[duties]
bare = 4.7s
drain_grace = 3s
warm_after = 18s
cold_share = 20%
fall_multiple = 3
fall_after = 2s

[roster]
address = 127.0.0.1:{roster}
service = order-nodes
wait = 2s

[reports]
cycle = 500ms
lines_per_s = 80/s

[product ticket-read]
sla = 800ms
deadline = 2s
revenue = 1
repeats = idempotent

[product press-book]
sla = 800ms
deadline = 2s
revenue = 5
repeats = referenced
group = zone
window = 1200ms

[succession]
member = {member}
key_file = {folder}/key
lease = 1s
beat = 200ms
drift = 2%
forgets = 2s

[members]
me = {member}
key_file = {folder}/key
beat = 200ms

[operators]
token_file = {folder}/token
listen = 127.0.0.1:{admin}
longest = 8h
"""


class ManagerSet:
    """The processes of three managers and their ports: for operators, for proxies, for members."""

    def __init__(self, folder: Path, roster_port: int) -> None:
        self.folder = folder
        self.admin = {member: free_port() for member in MEMBERS}
        self.serves = {member: free_port() for member in MEMBERS}
        self.knows = {member: free_port() for member in MEMBERS}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: list[IO[bytes]] = []
        sections = "".join(
            f"\n[member {name}]\nserves = 127.0.0.1:{self.serves[name]}\n"
            f"knows = 127.0.0.1:{self.knows[name]}\n"
            for name in MEMBERS
        )
        for member in MEMBERS:
            own = folder / member
            own.mkdir()
            for name, content in (("key", f"{7:064x}\n"), ("token", TOKEN)):
                (own / name).write_text(content)
                (own / name).chmod(0o600)
            text = SETTINGS.format(
                listen=self.serves[member],
                folder=own,
                roster=roster_port,
                member=member,
                admin=self.admin[member],
            )
            (own / "manager.ini").write_text(text + sections)

    def start(self) -> None:
        """Start the managers."""
        end_at_exit(self.end)
        for member in MEMBERS:
            self._start_manager(member)

    def _start_manager(self, member: str) -> None:
        """Start one manager, as its page says."""
        log = (self.folder / member / "log").open("ab")
        self.logs.append(log)
        command = [sys.executable, "-m", "dunlinlug", "manager"]
        self.processes[member] = subprocess.Popen(
            [*command, str(self.folder / member / "manager.ini")],
            cwd=ROOT,
            env={**os.environ},
            stdout=log,
            stderr=log,
        )

    def kill(self, member: str) -> None:
        """Kill a member's process."""
        self.processes[member].kill()
        self.processes[member].wait()

    def request(
        self, member: str, method: str, path: str, body: object = None
    ) -> tuple[int, object]:
        """Ask a member's endpoint as an operator."""
        return ask(self.admin[member], TOKEN, method, path, body)

    def leaders(self) -> list[str]:
        """Return the members that say that they lead."""
        found = []
        for member in MEMBERS:
            status, answer = self.request(member, "GET", "/fleet")
            if status == 200 and isinstance(answer, dict) and answer["leads"]:
                found.append(member)
        return found

    def log_lines(self, *events: str) -> list[str]:
        """Return the log lines of all members that hold one of these events."""
        return [
            f"{member}: {line}"
            for member in MEMBERS
            for line in (self.folder / member / "log").read_text().splitlines()
            if any(event in line for event in events)
        ]

    def end(self) -> None:
        """End all processes by their ids."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for log in self.logs:
            log.close()
