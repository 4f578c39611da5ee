"""Probes by HTTP, so many at a time; what came of each goes to the module."""

import json
from collections.abc import Callable

import trio

from dunlinlug import interface as face
from dunlinlug.net import http


class Prober:
    def __init__(self, path: str, within: float, at_once: int, tell: Callable[[face.Event], None]) -> None:
        self.path, self.within, self.tell = path, within, tell
        self.limit = trio.CapacityLimiter(max(at_once, 1))

    async def probe(self, worker: str) -> None:
        """One probe of one worker; always ends in one `Probed`."""
        async with self.limit:
            started = trio.current_time()
            result, load = "timeout", dict[str, float]()
            with trio.move_on_after(self.within):
                result, load = await self._ask(worker)
            self.tell(face.Probed(worker, result == "ok", result, trio.current_time() - started, load))

    async def _ask(self, worker: str) -> tuple[str, dict[str, float]]:
        host, _, port = worker.rpartition(":")
        client = http.Client(host, int(port), idle_most=0)
        try:
            reply = await client.ask("GET", self.path)
        except http.HttpFault as fault:
            return ("reset" if fault.sent else "connect_failed"), {}
        if reply.status == 503:
            return "full", {}
        if reply.status != 200:
            return "error", {}
        try:
            said = json.loads(reply.body or b"{}")
            return "ok", {str(k): float(v) for k, v in said.items()}
        except (ValueError, AttributeError, TypeError):
            return "ok", {}
