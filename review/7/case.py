"""Six in ten workers are replaced within 7 s, one after the other, beside a message limit.

One manager, 27 workers and 38 proxies in three zones. After 12 quiet seconds 16 workers begin to
drain, one every 0.44 s, and each successor is listed half an interval later.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import fleet_day

ZONES = ["east", "west", "north"]
WORKERS = 27
PROXIES = 38
REPLACED = 16  # six in ten of them
WITHIN_S = 7.0
GONE_AFTER_S = 5.0
SETTINGS = fleet_day.settings(
    zones=ZONES,
    zone="east",
    proxies=PROXIES,
    lanes=[fleet_day.lane("render", 800, 2000, 1.0), fleet_day.lane("save", 400, 1200, 3.0)],
    specifics={
        "cycleUs": 1000000,
        "egressPerS": 3300.0,
        "emptyForUs": 4700000,
        "lateMostUs": 490000,
        "messagesMost": 20,
        "pendingMax": 6600.0,
        "perMessage": 6.0,
        "transitUs": 195000,
    },
    rules={
        "coldUs": 18000000,
        "drainGraceUs": 1500000,
        "fallUs": 3000000,
        "startCapacity": 0.28,
        "tipMultiple": 3.0,
    },
)


async def replace_workers(day: fleet_day.Day) -> None:
    """Drain the workers one after the other, and list a successor for each."""
    loop = asyncio.get_running_loop()
    interval = WITHIN_S / REPLACED
    begun_at = day.record.now()
    for position, worker in enumerate(list(day.workers.values())[:REPLACED]):
        await asyncio.sleep(max(0.0, begun_at + position * interval - day.record.now()))
        worker.lifecycle = "draining"
        day.discovery.publish(worker)
        successor = fleet_day.Worker(f"t-{position:03d}", worker.zone, time.time() * 1000.0)
        day.workers[successor.name] = successor
        loop.call_later(interval / 2, day.discovery.publish, successor)
        loop.call_later(GONE_AFTER_S, day.discovery.withdraw, worker)


async def timeline(day: fleet_day.Day) -> None:
    """Play the day."""
    await asyncio.sleep(12.0)
    if fleet_day.trouble_wanted():
        await replace_workers(day)
    else:
        await asyncio.sleep(WITHIN_S)
    await asyncio.sleep(14.0)


def main() -> int:
    """Play the case and return its exit status."""
    workers = [fleet_day.Worker(f"s-{i:03d}", ZONES[i % len(ZONES)]) for i in range(WORKERS)]
    day = fleet_day.Day(Path(__file__).parent, SETTINGS, workers, "drains kept")
    day.add_proxies(PROXIES, ZONES, rate=8.7)
    return day.run(timeline)


if __name__ == "__main__":
    sys.exit(main())
