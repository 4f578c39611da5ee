"""A worker: answers health checks, and each request after a short time of work."""

import asyncio

from .http_server import Answer, HttpServer, json_answer
from .record import Record

WORK_S = 0.02


class Worker:
    """Executes requests until it is stopped; the record has each request that it began."""

    def __init__(self, name: str, zone: str, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.record = record
        self.server = HttpServer(self._handle)
        self.stopped = False

    async def _handle(self, _method: str, path: str, query: dict[str, str]) -> Answer:
        if path in {"/healthz", "/load"}:
            return 200, b"TEXT queue=0, latency_ms=20.0"
        self.record.write("ran", worker=self.name, request=query.get("id"))
        await asyncio.sleep(WORK_S)
        return json_answer({"done": query.get("id")})

    def stop(self) -> None:
        """End as a drained process does: what it has is finished, new connections are refused."""
        self.stopped = True
        self.server.stop()
