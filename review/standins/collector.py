"""The collectors: one connection for each zone, with sums of what its proxies met."""

import asyncio
import json
from typing import Any

from .proxy import Proxy

REPORT_DELAY_S = 0.3


class Collector:
    """Relays the sums of one zone's proxies twice a second."""

    def __init__(self, zone: str, proxies: list[Proxy], manager: tuple[str, int]) -> None:
        self.zone = zone
        self.proxies = [proxy for proxy in proxies if proxy.zone == zone]
        self.manager = manager

    async def run(self, interval: float) -> None:
        """Report until cancelled; dials again after a break."""
        while True:
            try:
                _, writer = await asyncio.open_connection(*self.manager)
                self._write(writer, "agent", site=self.zone)
                while not writer.is_closing():
                    await asyncio.sleep(interval)
                    lines = self._take_lines(interval * 1000)
                    await asyncio.sleep(REPORT_DELAY_S)
                    for kind, fields in lines:
                        self._write(writer, kind, **fields)
                    await writer.drain()
            except OSError:
                await asyncio.sleep(0.5)

    def _take_lines(self, window_ms: float) -> list[tuple[str, dict[str, Any]]]:
        sums: dict[str, list[float]] = {}
        lines: list[tuple[str, dict[str, Any]]] = []
        for proxy in self.proxies:
            for worker, (count, failed, seconds) in proxy.attempts.items():
                total = sums.setdefault(worker, [0, 0, 0.0])
                total[0] += count
                total[1] += failed
                total[2] += seconds
            proxy.attempts = {}
            for lane, (count, failed) in proxy.requests.items():
                fields = {"id": proxy.number, "lane": lane, "count": count, "fail": failed}
                lines.append(("demand", {**fields, "over": window_ms}))
                proxy.requests[lane] = [0, 0]
        for worker, (count, failed, seconds) in sums.items():
            mean = 1000 * seconds / (count - failed) if count > failed else 0.0
            fields = {"site": self.zone, "target": worker, "count": int(count)}
            fields |= {"fail": int(failed), "mean": round(mean, 2), "over": window_ms}
            lines.append(("outcomes", fields))
        return lines

    @staticmethod
    def _write(writer: asyncio.StreamWriter, kind: str, **fields: Any) -> None:
        writer.write(json.dumps({"@type": kind, **fields}).encode() + b"\n")
