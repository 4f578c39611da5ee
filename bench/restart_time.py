"""Restart time: how soon a manager on the platform is ready that starts while everybody dials.

    python -m bench.restart_time [PROXIES] [OTHERS] [STARTS]

Proxies, and others that never join, dial from before there is a listener; discovery is silent and
the list of workers is old. Prints, in seconds from the start of the process: the log's line
`ready`, the answer `alive` to a probe that dials among the rest, and the last proxy's first table.
The proxies are one Python process on the same machine, whose own time is in the figures.
"""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from dunlinlug.standins.platform import PlatformClient
from tests.fixtures.platform_process import ROOT, SETTINGS, ZONES, instance
from tests.fixtures.ports import free_ports

WORKERS = 200


async def dial(port: int) -> trio.SocketStream:
    """Return a stream to this port of loopback, as soon as something listens there."""
    while True:
        try:
            return await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            await trio.sleep(0.01)


def write_config(config: Path, port: int, proxies: int, others: int) -> None:
    """Write the configuration of a manager whose list of workers is old."""
    specifics = {**SETTINGS["specifics"], "proxyCount": proxies, "pendingMax": 40000.0}
    known = [
        instance(index, hostPort=f"127.0.0.1:{9000 + index}", startedAtMs=index + 1)
        for index in range(WORKERS)
    ]
    config.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:9",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": proxies + others // 4 + 64},
                "settings": {**SETTINGS, "specifics": specifics},
                "known": {"generation": 1, "reset": True, "instances": known},
            }
        )
    )


async def wait_until_alive(port: int) -> None:
    """Probe until a probe is answered; one that gets no answer in 2 s is given up."""
    while True:
        client = PlatformClient(await dial(port))
        with trio.move_on_after(2):
            await client.send(message_type="probe")
            if await client.receive() == {"@type": "alive"}:
                return


async def once(folder: Path, proxies: int, others: int) -> tuple[float, float, float]:
    """Start a manager once, with so many proxies and others dialling.

    Returns seconds from the start: when the log said ready, when alive was answered, and when the
    last proxy had a table.
    """
    port, log, config = free_ports(1)[0], folder / "log", folder / "config.json"
    write_config(config, port, proxies, others)
    served, idle_streams = set[int](), list[trio.SocketStream]()

    async def proxy(index: int) -> None:
        while index not in served:
            client = PlatformClient(await dial(port))
            try:
                await client.join(index, ZONES[index % 2], new=False)
                await client.wait_for_table()
                served.add(index)
                await client.receive()
            except (ConnectionError, trio.BrokenResourceError):
                continue

    async def other() -> None:
        idle_streams.append(await dial(port))

    with trio.fail_after(120):
        async with trio.open_nursery() as nursery:
            for index in range(proxies):
                nursery.start_soon(proxy, index)
            for _ in range(others):
                nursery.start_soon(other)
            began = trio.current_time()
            with log.open("wb") as out:
                process = await trio.lowlevel.open_process(
                    [sys.executable, "-m", "dunlinlug.platform"],
                    cwd=ROOT,
                    stderr=out,
                    env={**os.environ, "ROUTER_CONFIG": str(config)},
                    stdout=subprocess.DEVNULL,
                )
            try:
                while b'"ready"' not in log.read_bytes():
                    await trio.sleep(0.002)
                logged_ready = trio.current_time() - began
                await wait_until_alive(port)
                alive = trio.current_time() - began
                while len(served) < proxies:
                    await trio.sleep(0.01)
                last = trio.current_time() - began
            finally:
                process.kill()
                await process.wait()
            nursery.cancel_scope.cancel()
    return logged_ready, alive, last


def main() -> None:
    """Run the program."""
    proxies, others, starts = [
        int(argument) for argument in (*sys.argv[1:], *("1600", "1000", "5")[len(sys.argv) - 1 :])
    ]
    print(
        f"{proxies} proxies, {others} others, {WORKERS} workers: ready in the log, alive, the "
        "last first table"
    )
    for _ in range(starts):
        with tempfile.TemporaryDirectory() as folder:
            print(
                "  ".join(
                    f"{took:6.2f} s" for took in trio.run(once, Path(folder), proxies, others)
                ),
                flush=True,
            )


if __name__ == "__main__":
    main()
