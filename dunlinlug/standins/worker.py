"""Stand-in endpoints of one zone: HTTP/1.1 servers with a capacity, and faults on command."""

from collections.abc import Mapping
from pathlib import Path
from random import Random

import trio

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.net import http
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.standins.control import Command, run_until_input_closes
from dunlinlug.standins.worker_capacity import DeduplicationWindow, WorkerCapacity, WorkerMachine
from dunlinlug.xds import names


class WorkerServer:
    """One endpoint at its address.

    Attributes:
        fault_mode: `well` (no fault), `silent` (no answers), `voiding` (requests fail) or
            `answers_lost` (requests are executed, but the connection is aborted).
        failure_rate: The fraction of requests that the fault affects.
    """

    def __init__(  # noqa: PLR0913, PLR0917  # all dependencies, injected
        self,
        name: str,
        capacity: WorkerCapacity,
        traffic_classes: dict[str, manager_config.TrafficClassConfig],
        deduplication: DeduplicationWindow,
        record: RecordWriter,
        rng: Random,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.traffic_classes = traffic_classes
        self.deduplication = deduplication
        self.record = record
        self.rng = rng
        self.fault_mode = "well"
        self.failure_rate = 1.0
        self.serving_scope = trio.CancelScope()
        self.restarted = trio.Event()

    async def run(self) -> None:
        """Serve requests, except between `stop` and `restart`; never returns."""
        while True:
            host, _, port = self.name.rpartition(":")
            with trio.CancelScope() as self.serving_scope:
                await http.serve(self.handle, await trio.open_tcp_listeners(int(port), host=host))
            self.restarted = trio.Event()
            await self.restarted.wait()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.record.write("down", worker=self.name)
        self.serving_scope.cancel()

    def restart(self) -> None:
        """Listen again as a new process, which warms up and has no fault."""
        self.capacity.start(trio.current_time())
        self.record.write("start", worker=self.name)
        self.fault_mode = "well"
        self.restarted.set()

    async def handle(self, request: http.Request) -> http.Response:
        """Answer a request or a health check, by the capacity and the fault mode."""
        if self.fault_mode == "silent" or self.capacity.failed:
            await trio.sleep_forever()
        if self.fault_mode == "voiding" and self.rng.random() < self.failure_rate:
            return http.Response(500)
        if request.path != "/txn":
            return http.Response.json({"queue": self.capacity.queue_depth(trio.current_time())})
        return await self._handle_request(request)

    async def _handle_request(self, request: http.Request) -> http.Response:
        headers = request.headers
        now = trio.current_time()
        had_failed = self.capacity.failed
        finish_time = self.capacity.admit(now, float(headers["x-work"]), headers["x-proxy"])
        if self.capacity.failed:
            if not had_failed:
                self.record.write("fell", worker=self.name, brought=self.capacity.recent_work(now))
            await trio.sleep_forever()
        if finish_time is None:
            return http.Response(503, {names.NOT_EXECUTED_HEADER: "1"})
        deadline = now + float(headers["x-left"])
        if (
            finish_time > deadline
            and self.capacity.queue_depth(now)
            and finish_time - now > float(headers["x-left"])
        ):
            # The request waits in the queue until its deadline and is never started.
            await trio.sleep_until(deadline)
            return http.Response(504, {names.NOT_EXECUTED_HEADER: "1"})
        await trio.sleep_until(finish_time)
        self._record_effect(headers)
        if self.fault_mode == "answers_lost" and self.rng.random() < self.failure_rate:
            raise http.AbortConnectionError
        queue_depth = self.capacity.queue_depth(trio.current_time())
        load = f"queue={queue_depth}, service_s={finish_time - now:.4f}"
        return http.Response(200, {"x-load": load})

    def _record_effect(self, headers: Mapping[str, str]) -> None:
        traffic_class = self.traffic_classes[headers["x-product"]]
        if traffic_class.repeats == "referenced" and not self.deduplication.is_first(
            headers["x-txn"], trio.current_time(), traffic_class.window
        ):
            self.record.write("dropped", worker=self.name, txn=headers["x-txn"])
            return
        self.record.write(
            "effect",
            worker=self.name,
            txn=headers["x-txn"],
            product=headers["x-product"],
            client=int(headers["x-client"]),
        )


class ZoneWorkers:
    """The endpoints of one zone, which run in one process."""

    def __init__(self, config: ConfigFile, zone: str, record: RecordWriter) -> None:
        fleet_config = config.section(schema.FleetConfig)
        safety_config = config.section(manager_config.SafetyConfig)
        traffic_classes = config.sections(manager_config.TrafficClassConfig)
        deduplication = DeduplicationWindow()
        rng = Random(f"{config.section(schema.ScenarioConfig).seed} {zone}")
        self.workers = {
            name: WorkerServer(
                name,
                WorkerCapacity(
                    WorkerMachine(
                        worker_config.cores,
                        worker_config.speed,
                        worker_config.cores * fleet_config.queue_per_core,
                        fleet_config.cold_from,
                        fleet_config.cold,
                        safety_config.fall_multiple,
                        safety_config.fall_after,
                    )
                ),
                traffic_classes,
                deduplication,
                record,
                rng,
            )
            for name, worker_config in config.sections(schema.WorkerConfig).items()
            if worker_config.zone == zone
        }

    async def execute(self, command: Command) -> None:
        """Stop or restart an endpoint, slow it down, or set its fault mode."""
        worker = self.workers[command["worker"]]
        match command["do"]:
            case "down":
                worker.stop()
            case "back":
                worker.restart()
            case "slow":
                worker.capacity.slowdown = float(command["size"])
            case mode:
                worker.fault_mode = mode
                worker.failure_rate = float(command.get("size", 1.0))


def main(run_file: Path, zone: str, record_file: Path) -> None:
    """Run the stand-in until standard input closes."""
    record = RecordWriter(record_file)
    zone_workers = ZoneWorkers(schema.read_scenario(run_file), zone, record)
    trio.run(
        run_until_input_closes,
        record,
        [worker.run for worker in zone_workers.workers.values()],
        zone_workers.execute,
    )
