"""Many clients at once that write without end or never finish, and the memory of their victim.

    python -m tests.race_conditions.hostile_clients PORT CLIENTS ATTACK

The attacks run in a process of their own, so that they do not slow a test's well-behaved client.
"""

import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import trio

ROOT = Path(__file__).parents[2]
MIB = 2**20
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
SHORT_FIELDS = b",".join(b'"%d":%d' % (n, n % 10) for n in range(150_000))

# Writes on one new connection, and returns once there is nothing more to write.
Attack = Callable[[trio.SocketStream], Awaitable[None]]


async def message_without_end(stream: trio.SocketStream) -> None:
    await stream.send_all(b'{"@type":"hello","site":"')
    while True:
        await stream.send_all(b"a" * 65536)


async def hello_of_short_fields(stream: trio.SocketStream) -> None:
    await stream.send_all(b'{"@type":"hello",' + SHORT_FIELDS)


async def slow_hello(stream: trio.SocketStream) -> None:
    for _ in range(1000):
        await stream.send_all(b'{"@type":"hello",' + b'"a":1,' * 47)
        await trio.sleep(0.1)


ATTACKS: dict[str, Attack] = {
    attack.__name__: attack for attack in (message_without_end, hello_of_short_fields, slow_hello)
}


async def attack_repeatedly(port: int, attack: Attack) -> None:
    """Attack on one connection after another; one that is not closed stays open."""
    while True:
        with suppress(*CONNECTION_ERRORS):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                await attack(stream)
                while await stream.receive_some(65536):
                    pass
        await trio.sleep(0.05)


async def run_attacks(port: int, clients: int, attack: Attack) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(clients):
            nursery.start_soon(attack_repeatedly, port, attack)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


class Victim:
    """The highest resident memory of a process, in bytes, sampled while it is attacked."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.before = resident_bytes(pid)
        self.highest = self.before

    async def sample(self) -> None:
        while True:
            with suppress(OSError, StopIteration):
                self.highest = max(self.highest, resident_bytes(self.pid))
            await trio.sleep(0.02)


@asynccontextmanager
async def attacked(pid: int, port: int, clients: int, attack: str) -> AsyncIterator[Victim]:
    """Attack a process's port with so many clients until the block ends."""
    victim = Victim(pid)
    attackers = await trio.lowlevel.open_process(
        [sys.executable, "-m", __name__, str(port), str(clients), attack],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(victim.sample)
            yield victim
            nursery.cancel_scope.cancel()
    finally:
        attackers.kill()
        with trio.CancelScope(shield=True):
            await attackers.wait()


if __name__ == "__main__":
    trio.run(run_attacks, int(sys.argv[1]), int(sys.argv[2]), ATTACKS[sys.argv[3]])
