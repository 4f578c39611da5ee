"""A worker answers nothing for a while, the manager is killed, and the other of its zone drains.

One manager, eight workers and 48 proxies in four zones, two workers to a zone. The class `read`
keeps to the proxy's zone, the class `book` does not. One of the eight workers takes requests and
answers none for seven seconds. Meanwhile the manager, which has shut it out, is killed and started
again. Ten seconds after the worker is well, the other worker of its zone drains.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import fleet_day

ZONES = ["east", "north", "south", "west"]
WORKERS = {
    "s-1c40": "east",
    "s-2f9a": "north",
    "s-3b07": "south",
    "s-58e2": "west",
    "s-6d13": "east",
    "s-7a4c": "north",
    "s-90b5": "south",
    "s-c7d8": "west",
}
SILENT = "s-c7d8"
DRAINED = "s-58e2"
PROXIES = 48
SETTINGS = fleet_day.settings(
    zones=ZONES,
    zone="east",
    proxies=PROXIES,
    lanes=[fleet_day.lane("read", 800, 2000, 1.0), fleet_day.lane("book", 800, 2000, 5.0)],
    specifics={
        "egressPerS": 1250.0,
        "emptyForUs": 4700000,
        "hearsPerS": 80.0,
        "homeOnly": [True, False],
        "lateMostUs": 590000,
        "messagesMost": 30,
        "pendingMax": 2500.0,
        "perMessage": 4.0,
        "transitUs": 235000,
    },
    rules={
        "coldUs": 18000000,
        "drainGraceUs": 3000000,
        "fallUs": 2000000,
        "startCapacity": 0.2,
        "tipMultiple": 3.0,
    },
)


async def timeline(day: fleet_day.Day) -> None:
    """Play the day."""
    trouble = fleet_day.trouble_wanted()
    await asyncio.sleep(8.0)
    day.workers[SILENT].silent = trouble
    await asyncio.sleep(5.0)
    if trouble:
        await day.manager.kill()
    await asyncio.sleep(1.0)
    if trouble:
        await day.manager.start()
    await asyncio.sleep(1.0)
    day.workers[SILENT].silent = False
    await asyncio.sleep(10.0)
    day.workers[DRAINED].lifecycle = "draining"
    day.discovery.publish(day.workers[DRAINED])
    await asyncio.sleep(4.0)
    day.discovery.withdraw(day.workers[DRAINED])
    await asyncio.sleep(10.0)


def main() -> int:
    """Play the case and return its exit status."""
    workers = [fleet_day.Worker(name, zone) for name, zone in WORKERS.items()]
    day = fleet_day.Day(Path(__file__).parent, SETTINGS, workers, "no proxy without a worker")
    day.add_proxies(PROXIES, ZONES, rate=3.3)
    return day.run(timeline)


if __name__ == "__main__":
    sys.exit(main())
