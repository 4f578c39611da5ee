"""Stand-in for service discovery: Consul's health endpoint with blocking queries, and faults."""

import time
from dataclasses import replace
from pathlib import Path

import trio

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.decision.events import Endpoint, EndpointState
from dunlinlug.discovery import entries
from dunlinlug.net import http
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.standins.control import Command, run_until_input_closes

FIRST_INDEX = 100


class DiscoveryServer:
    """Serves the list of endpoints.

    Attributes:
        fault_mode: Empty, `stale` (the list is no longer updated), `gone` (connections are aborted)
            or `cut_short` (answers are truncated).
        index: The version of the list, incremented with each change.
        duplicate_entry: Whether one endpoint has a second, older entry.
    """

    def __init__(self, config: ConfigFile, record: RecordWriter) -> None:
        self.record = record
        self.fault_mode = ""
        self.index = FIRST_INDEX
        self.duplicate_entry = False
        self.address = config.section(manager_config.DiscoveryConfig).address
        self.workers = {
            name: Endpoint(
                name, worker_config.zone, "", 0, EndpointState.READY, worker_config.weight, None
            )
            for name, worker_config in config.sections(schema.WorkerConfig).items()
        }
        self.visible_workers = dict(self.workers)
        self.changed = trio.Event()

    async def run(self) -> None:
        """Serve requests; never returns."""
        await http.serve(
            self.handle, await trio.open_tcp_listeners(self.address[1], host=self.address[0])
        )

    async def handle(self, request: http.Request) -> http.Response:
        """Answer a query; a query with the current index waits for a change."""
        if self.fault_mode == "gone":
            raise http.AbortConnectionError
        requested_index = int(request.query.get("index", "0"))
        if requested_index == self.index:
            with trio.move_on_after(
                int(request.query.get("wait", "1000ms").removesuffix("ms")) / 1000
            ):
                while requested_index == self.index and self.fault_mode != "gone":
                    await self.changed.wait()
        if self.fault_mode == "gone":
            raise http.AbortConnectionError
        body = entries.encode_workers([*self._duplicate_entries(), *self.visible_workers.values()])
        if self.fault_mode == "cut_short":
            return http.Response(200, {"x-consul-index": str(self.index)}, body[: len(body) // 2])
        if request.headers.get("x-reader", "manager") == "manager":
            self.record.write(
                "served",
                index=self.index,
                states={
                    worker.id: [
                        worker.state,
                        worker.started_at and worker.started_at - time.time() + time.monotonic(),
                    ]
                    for worker in self.visible_workers.values()
                },
            )
        return http.Response(
            200, {"x-consul-index": str(self.index), "content-type": "application/json"}, body
        )

    def _duplicate_entries(self) -> list[Endpoint]:
        """A second, older entry for the address of the first endpoint, if that fault is on."""
        if not self.duplicate_entry:
            return []
        first_workers = list(self.visible_workers.values())[:1]
        return [
            replace(worker, state=EndpointState.DRAINING, started_at=None)
            for worker in first_workers
        ]

    async def execute(self, command: Command) -> None:
        """Change the list, or start or end a fault."""
        match command["do"]:
            case "state":
                for name in command["workers"]:
                    worker = replace(self.workers[name], state=command["state"])
                    if command.get("started"):
                        worker = replace(worker, started_at=time.time())
                    self.workers[name] = worker
            case "fault":
                self.fault_mode = command["fault"]
            case "double":
                self.duplicate_entry = command["on"]
            case "index":
                self.index = 1  # as after a restore from an old backup
        if self.fault_mode != "stale":
            self.visible_workers = {
                name: listed_worker
                for name, listed_worker in self.workers.items()
                if listed_worker.state != "gone"
            }
            self.index += 1
        self.changed.set()
        self.changed = trio.Event()


def main(run_file: Path, record_file: Path) -> None:
    """Run the stand-in until standard input closes."""
    record = RecordWriter(record_file)
    server = DiscoveryServer(schema.read_scenario(run_file), record)
    trio.run(run_until_input_closes, record, [server.run], server.execute)
