"""Restart time: time until a platform manager is ready when all peers connect during its start.

    python -m bench.restart_time [PROXIES] [OTHERS] [STARTS]

Proxies, and other peers that never join, try to connect before the manager listens; discovery does
not answer, and the list of workers comes from the configuration. Prints, in seconds from the start
of the process: the log line `ready`, the answer `alive` to a probe that connects among the others,
and the last proxy's first table. The proxies run in one Python process on the same machine, whose
CPU time is included in the figures.
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


async def connect_with_retry(port: int) -> trio.SocketStream:
    """Connect to this loopback port, retrying until it accepts."""
    while True:
        try:
            return await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            await trio.sleep(0.01)


def write_config(config: Path, port: int, proxies: int, others: int) -> None:
    """Write the configuration of a manager that starts with a stored list of workers."""
    specifics = {**SETTINGS["specifics"], "proxyCount": proxies, "pendingMax": 40000.0}
    known_instances = [
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
                "known": {"generation": 1, "reset": True, "instances": known_instances},
            }
        )
    )


async def wait_until_alive(port: int) -> None:
    """Send probes until one is answered; each times out after 2 s."""
    while True:
        client = PlatformClient(await connect_with_retry(port))
        with trio.move_on_after(2):
            await client.send(message_type="probe")
            if await client.receive() == {"@type": "alive"}:
                return


async def measure_start(folder: Path, proxies: int, others: int) -> tuple[float, float, float]:
    """Start a manager once while these proxies and other peers connect.

    Returns seconds from the start until the log line `ready`, the answer `alive`, and the table of
    the last proxy.
    """
    port, log, config = free_ports(1)[0], folder / "log", folder / "config.json"
    write_config(config, port, proxies, others)
    served, idle_streams = set[int](), list[trio.SocketStream]()

    async def proxy(index: int) -> None:
        while index not in served:
            client = PlatformClient(await connect_with_retry(port))
            try:
                await client.join(index, ZONES[index % 2], new=False)
                await client.wait_for_table()
                served.add(index)
                await client.receive()
            except (ConnectionError, trio.BrokenResourceError):
                continue

    async def other() -> None:
        idle_streams.append(await connect_with_retry(port))

    with trio.fail_after(120):
        async with trio.open_nursery() as nursery:
            for index in range(proxies):
                nursery.start_soon(proxy, index)
            for _ in range(others):
                nursery.start_soon(other)
            began = trio.current_time()
            with log.open("wb") as log_file:
                process = await trio.lowlevel.open_process(
                    [sys.executable, "-m", "dunlinlug.platform"],
                    cwd=ROOT,
                    stderr=log_file,
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
                last_table = trio.current_time() - began
            finally:
                process.kill()
                await process.wait()
            nursery.cancel_scope.cancel()
    return logged_ready, alive, last_table


def main() -> None:
    """Run the program."""
    proxies, others, starts = [
        int(argument) for argument in (*sys.argv[1:], *("1600", "1000", "5")[len(sys.argv) - 1 :])
    ]
    print(
        f"{proxies} proxies, {others} other peers, {WORKERS} workers: ready in the log, alive, "
        "table of the last proxy"
    )
    for _ in range(starts):
        with tempfile.TemporaryDirectory() as folder:
            print(
                "  ".join(
                    f"{took:6.2f} s"
                    for took in trio.run(measure_start, Path(folder), proxies, others)
                ),
                flush=True,
            )


if __name__ == "__main__":
    main()
