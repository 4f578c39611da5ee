"""Probes by HTTP, so many at a time; what came of each goes to the module."""

import json
from collections.abc import Callable
from math import inf

import trio

from dunlinlug import interface as face
from dunlinlug.net import http

REPORT_MOST = (
    2**16
)  # bytes of an answer: a report has some hundred. Danger: one without end, times those at once


def by_id(worker: str) -> tuple[str, int]:
    """Where a worker listens whose id is its address."""
    host, _, port = worker.rpartition(":")
    return host, int(port)


def from_json(body: bytes) -> dict[str, float]:
    """Raises ValueError, TypeError or AttributeError."""
    return {str(k): float(v) for k, v in json.loads(body or b"{}").items()}


class Prober:
    """`where` gives a worker's address, or raises KeyError; `read` its report from an answer's body."""

    def __init__(
        self,
        path: str,
        within: float,
        at_once: int,
        tell: Callable[[face.Event], None],
        where: Callable[[str], tuple[str, int]] = by_id,
        read: Callable[[bytes], dict[str, float]] = from_json,
    ) -> None:
        self.path, self.within, self.tell, self.where, self.read = path, within, tell, where, read
        self.limit = trio.CapacityLimiter(max(at_once, 1))

    async def probe(self, worker: str) -> None:
        """One probe of one worker; always ends in one `Probed`."""
        async with self.limit:
            started = trio.current_time()
            result, load = "timeout", dict[str, float]()
            with trio.move_on_after(self.within):
                result, load = await self._ask(worker)
            self.tell(
                face.Probed(worker, result == "ok", result, trio.current_time() - started, load)
            )

    async def _ask(self, worker: str) -> tuple[str, dict[str, float]]:
        try:
            client = http.Client(*self.where(worker), idle_most=0, largest=REPORT_MOST)
        except KeyError:
            return "connect_failed", {}
        try:
            reply = await client.ask("GET", self.path)
        except http.HttpFault as fault:
            return ("reset" if fault.sent else "connect_failed"), {}
        if reply.status == 503:
            return "full", {}
        if reply.status != 200:
            return "error", {}
        try:
            load = self.read(reply.body)
        except (ValueError, AttributeError, TypeError):
            return "ok", {}
        return "ok", load if all(0.0 <= value < inf for value in load.values()) else {}
