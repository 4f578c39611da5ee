"""Discovery on the manager's own machine: the whole list, and watches on its changes."""

import asyncio
import json
from typing import Any

from .http_server import Answer, HttpServer, json_answer
from .record import Record

Entry = dict[str, Any]


class Discovery:
    """Answers a watch as soon as a version newer than its own is published.

    `told` has, by worker, when the manager was first written that it drains or is gone.
    """

    def __init__(self, record: Record, entries: list[Entry]) -> None:
        self.record = record
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.generation = 1
        self.changed_at: dict[str, int] = dict.fromkeys(self.entries, 1)  # version by worker
        self.change = asyncio.Event()
        self.pending: list[Entry] = []
        self.told: dict[str, float] = {}
        self.server = HttpServer(self._handle)
        self.server.on_sent = self._note_told

    def update(self, entry: Entry) -> None:
        """Change an entry; it is published with the next version."""
        self.pending.append(entry)

    async def publish_every(self, period: float) -> None:
        """Publish the changes of each period as one version, until cancelled."""
        while True:
            await asyncio.sleep(period)
            if self.pending:
                self._publish()

    def _publish(self) -> None:
        self.generation += 1
        entries, self.pending = self.pending, []
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed_at[entry["instanceId"]] = self.generation
        self.change.set()
        self.change = asyncio.Event()

    async def _handle(self, _method: str, path: str, query: dict[str, str]) -> Answer:
        if path != "/v1/servers":
            return 404, b""
        if "index" not in query:
            present = [e for e in self.entries.values() if e["lifecycle"] != "gone"]
            return self._answer(present, reset=True)
        known = int(query["index"])
        if known >= self.generation:
            try:
                async with asyncio.timeout(min(int(query["wait"]), 60_000) / 1000):
                    await self.change.wait()
            except TimeoutError:
                pass
        newer = [self.entries[worker] for worker, at in self.changed_at.items() if at > known]
        return self._answer(newer, reset=False)

    def _answer(self, instances: list[Entry], *, reset: bool) -> Answer:
        return json_answer({"generation": self.generation, "reset": reset, "instances": instances})

    def _note_told(self, _path: str, body: bytes) -> None:
        now = self.record.clock()
        for entry in json.loads(body)["instances"] if body else ():
            if entry["lifecycle"] == "ready":
                self.told.pop(entry["instanceId"], None)
            elif entry["instanceId"] not in self.told:
                self.told[entry["instanceId"]] = now
                self.record.write("told", worker=entry["instanceId"], state=entry["lifecycle"])
