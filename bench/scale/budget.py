"""Resource usage of a run as the kernel reports it, and the limits at which the run stops."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path

PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
TICK = os.sysconf("SC_CLK_TCK")


class RunError(Exception):
    """The run could not continue; the message gives the reason in one line."""


def exceeded_limit(rss_mb: float, processes: int, memory_mb: int, max_processes: int) -> str:
    """Return a message about the exceeded limit, or an empty string.

    Shared pages count for each process that maps them.
    """
    if rss_mb > memory_mb:
        return f"the run's processes hold {rss_mb:.0f} MB, over the limit of {memory_mb} MB"
    if processes > max_processes:
        return f"the run has {processes} processes, over the limit of {max_processes}"
    return ""


def resident_mb(pid: int) -> float:
    """Return the resident megabytes of a process; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
    except (OSError, IndexError, ValueError):
        return 0.0


def memory_gb() -> float:
    """Return the machine's memory in gigabytes; 0 if the kernel does not report it."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal"):
            return round(int(line.split()[1]) / 2**20, 1)
    return 0.0


class Datagrams:
    """Unread bytes at members' UDP sockets and datagrams dropped there, by role.

    A socket is identified by its inode.
    """

    def __init__(self, roles: Mapping[int, str]) -> None:
        self.roles = dict(roles)  # by port
        self.drops: dict[tuple[str, str], int] = {}
        self.first: dict[tuple[str, str], int] = {}
        self.longest: dict[str, int] = {}

    def update(self, lines: Iterable[str]) -> None:
        """Read the socket lines of /proc/net/udp."""
        for line in lines:
            fields = line.split()
            if len(fields) < 13 or ":" not in fields[1]:
                continue
            role = self.roles.get(int(fields[1].rpartition(":")[2], 16))
            if role is None:
                continue
            unread = int(fields[4].rpartition(":")[2], 16)
            key = (role, fields[9])
            self.longest[role] = max(self.longest.get(role, 0), unread)
            self.drops[key] = int(fields[12])

    def begin(self) -> None:
        """Start counting here: what was dropped until now is left out."""
        self.first = dict(self.drops)
        self.longest = {}

    def dropped(self, role: str) -> int:
        """Return the datagrams dropped at the sockets of a role since `begin`."""
        return sum(
            count - self.first.get(key, 0) for key, count in self.drops.items() if key[0] == role
        )


def udp_lines() -> list[str]:
    """Return the socket lines of /proc/net/udp, without the heading."""
    return Path("/proc/net/udp").read_text().splitlines()[1:]
