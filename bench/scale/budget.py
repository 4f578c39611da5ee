"""What a run takes of the machine, as the kernel tells it, and the bounds at which it stops itself."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path

PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
TICK = os.sysconf("SC_CLK_TCK")


class RunError(Exception):
    """The run could not go on; the text says why in one line."""


def over(rss_mb: float, processes: int, memory_mb: int, processes_most: int) -> str:
    """Which bound is passed, in words; nothing while none is. Shared pages count for each process
    that has them.
    """
    if rss_mb > memory_mb:
        return f"the run's processes hold {rss_mb:.0f} MB, over its bound of {memory_mb} MB"
    if processes > processes_most:
        return f"the run has {processes} processes, over its bound of {processes_most}"
    return ""


def resident(pid: int) -> float:
    """Megabytes; none of a process that is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
    except (OSError, IndexError, ValueError):
        return 0.0


def memory_gb() -> float:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal"):
            return round(int(line.split()[1]) / 2**20, 1)
    return 0.0


class Datagrams:
    """What waits unread at members' sockets and what was dropped there, by role; a socket is known
    by its inode.
    """

    def __init__(self, roles: Mapping[int, str]) -> None:
        self.roles = dict(roles)  # by port
        self.drops: dict[tuple[str, str], int] = {}
        self.first: dict[tuple[str, str], int] = {}
        self.longest: dict[str, int] = {}

    def look(self, lines: Iterable[str]) -> None:
        """Of /proc/net/udp."""
        for line in lines:
            words = line.split()
            if len(words) < 13 or ":" not in words[1]:
                continue
            role = self.roles.get(int(words[1].rpartition(":")[2], 16))
            if role is None:
                continue
            unread, key = int(words[4].rpartition(":")[2], 16), (role, words[9])
            self.longest[role] = max(self.longest.get(role, 0), unread)
            self.drops[key] = int(words[12])

    def begin(self) -> None:
        """What was dropped until now does not count."""
        self.first, self.longest = dict(self.drops), {}

    def dropped(self, role: str) -> int:
        return sum(
            count - self.first.get(key, 0) for key, count in self.drops.items() if key[0] == role
        )


def udp_lines() -> list[str]:
    return Path("/proc/net/udp").read_text().splitlines()[1:]
