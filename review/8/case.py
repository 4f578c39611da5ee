"""Streams break and come back while six in ten workers are replaced, beside a message limit.

One manager, 24 workers and 15 proxies in three zones. After 12 quiet seconds 14 workers begin to
drain, one every half second, and each successor is listed a quarter second later. Meanwhile the
streams of three proxies break, one after the other; each proxy joins again 1.5 s later.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import fleet_day

ZONES = ["east", "west", "north"]
WORKERS = 24
PROXIES = 15
REPLACED = 14  # six in ten of them
WITHIN_S = 7.0
GONE_AFTER_S = 5.0
BREAKS = {3: 4.2, 7: 5.2, 11: 6.2}  # seconds after the first drain, by proxy
AWAY_S = 1.5
SETTINGS = fleet_day.settings(
    zones=ZONES,
    zone="east",
    proxies=PROXIES,
    lanes=[fleet_day.lane("estimate", 1200, 4000, 3.0), fleet_day.lane("refresh", 1500, 5000, 2.0)],
    specifics={
        "egressPerS": 2300.0,
        "ejects": 8,
        "emptyForUs": 4700000,
        "hearsPerS": 120.0,
        "lateMostUs": 620000,
        "messagesMost": 30,
        "perTry": 1.0,
        "pendingMax": 4600.0,
        "perMessage": 10.0,
        "transitUs": 250000,
    },
    rules={
        "coldUs": 18000000,
        "drainGraceUs": 2000000,
        "fallUs": 1500000,
        "startCapacity": 0.16,
        "tipMultiple": 2.5,
    },
)


async def replace_workers(day: fleet_day.Day) -> None:
    """Drain the workers one after the other, and list a successor for each."""
    loop = asyncio.get_running_loop()
    interval = WITHIN_S / REPLACED
    begun_at = day.record.now()
    for number, after in BREAKS.items():
        loop.call_later(after, day.proxies[number].break_stream, AWAY_S)
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
    day.add_proxies(PROXIES, ZONES, rate=10.0)
    day.redial_s = (0.0, 0.0)
    return day.run(timeline)


if __name__ == "__main__":
    sys.exit(main())
