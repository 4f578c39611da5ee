"""Stand-in proxies: real xDS clients, which route requests by their tables alone."""

from collections.abc import Mapping
from pathlib import Path
from random import Random

import trio

from dunlinlug.client import (
    AppliedResponse,
    AttemptResult,
    ProxyState,
    ReportAccumulator,
    RequestDispatcher,
    RequestResult,
    TableSubscriber,
    request_dispatcher,
)
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.discovery import entries
from dunlinlug.net import http
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.standins.control import Command, run_until_input_closes
from dunlinlug.xds import decoding, encoding, names

INITIAL_TABLE = "standing"


class Proxy:
    """One proxy: accepts clients' requests and sends them to endpoints by its tables.

    Attributes:
        proxy_state: The tables that it received.
        subscriber: Its stream to the leading manager.
        dispatcher: Selects endpoints and retries.
        partitioned_zones: Zones that are cut off from all others.
        without_endpoint: By traffic class, whether the last record has it without an endpoint.
    """

    def __init__(
        self, name: str, proxy_config: schema.ProxyConfig, config: ConfigFile, record: RecordWriter
    ) -> None:
        self.name = name
        self.proxy_config = proxy_config
        self.record = record
        self.rng = Random(f"{config.section(schema.ScenarioConfig).seed} {name}")
        self.traffic_classes = config.sections(manager_config.TrafficClassConfig)
        proxies_config = config.section(schema.ProxiesConfig)
        self.manager_config = config.section(manager_config.ServerConfig)
        self.discovery_config = config.section(manager_config.DiscoveryConfig)
        self.worker_zones = {
            worker: worker_config.zone
            for worker, worker_config in config.sections(schema.WorkerConfig).items()
        }
        manager_addresses = [
            member.serves for member in config.sections(manager_config.MemberConfig).values()
        ] or [self.manager_config.listen]
        self.proxy_state = ProxyState()
        self.accumulator = ReportAccumulator(name, proxy_config.zone, trio.current_time())
        self.subscriber = TableSubscriber(
            name,
            proxy_config.zone,
            manager_addresses,
            self.proxy_state,
            self.accumulator,
            request_rate=proxy_config.rate,
            reconnect_interval=proxies_config.redial,
            connect_timeout=proxies_config.dial_within,
            rng=self.rng,
        )
        self.subscriber.on_connected = lambda: self.record.write("joined", proxy=name)
        self.subscriber.on_disconnected = lambda: self.record.write("left", proxy=name)
        self.subscriber.on_applied = self._record_applied
        self.subscriber.is_reachable = lambda: self._can_reach(self.manager_config.zone)
        self.dispatcher = RequestDispatcher(self.proxy_state, self.accumulator, self.rng)
        self.worker_clients: dict[str, http.Client] = {}
        self.partitioned_zones = set[str]()
        self.without_endpoint = dict[str, bool]()

    # Tables.

    async def run_subscriber(self) -> None:
        """Start with a small table, then follow the leading manager; never returns."""
        await self._install_initial_table()
        await self.subscriber.run()

    def _record_applied(self, applied: AppliedResponse) -> None:
        self.record.write(
            "applied",
            proxy=self.name,
            type=applied.type_url.rpartition(".")[2],
            tag=applied.tag,
            lines=applied.entry_count,
            refused=applied.rejection_reason,
            by=applied.control_plane,
        )
        self._record_without_endpoint()

    async def _install_initial_table(self) -> None:
        """Use a small random table of listed endpoints until a manager sends one."""
        workers = list(self.worker_zones)
        try:
            with trio.move_on_after(1.0):
                response = await http.Client(*self.discovery_config.address, 0).request(
                    "GET",
                    f"/v1/health/service/{self.discovery_config.service}",
                    {"x-reader": "proxy"},
                )
                listed_workers, _ = entries.decode_workers(response.body, 0.0)
                workers = [
                    worker.id for worker in listed_workers if worker.state == "ready"
                ] or workers
        except (http.HttpError, entries.DiscoveryResponseError):
            pass
        initial_workers = self.rng.sample(workers, min(self.manager_config.standing, len(workers)))
        self.proxy_state.tables = {
            INITIAL_TABLE: decoding.DecodedTable(INITIAL_TABLE, dict.fromkeys(initial_workers, 1.0))
        }
        self.proxy_state.routes = dict.fromkeys(
            self.traffic_classes, (INITIAL_TABLE, encoding.RetryPolicy(0))
        )
        self._record_without_endpoint()

    def _record_without_endpoint(self) -> None:
        for traffic_class in self.traffic_classes:
            without_endpoint = not self.proxy_state.usable_weights(traffic_class)
            if without_endpoint != self.without_endpoint.get(traffic_class, False):
                self.without_endpoint[traffic_class] = without_endpoint
                self.record.write(
                    "bare", proxy=self.name, product=traffic_class, on=without_endpoint
                )

    def _can_reach(self, zone: str) -> bool:
        return (
            not zone
            or zone == self.proxy_config.zone
            or not self.partitioned_zones & {zone, self.proxy_config.zone}
        )

    # Requests.

    async def serve(self) -> None:
        """Serve clients' requests; never returns."""
        await http.serve(
            self.handle,
            await trio.open_tcp_listeners(
                self.proxy_config.address[1], host=self.proxy_config.address[0]
            ),
        )

    async def handle(self, request: http.Request) -> http.Response:
        """Dispatch a client's request, and answer with the result of its last attempt."""
        request_headers = request.headers
        result = await self.dispatcher.dispatch(
            request_headers["x-product"],
            trio.current_time() + float(request_headers["x-left"]),
            lambda worker, remaining, attempt_number: self._attempt(
                worker, request_headers, remaining, attempt_number
            ),
        )
        headers = dict[str, str]()
        if result.not_executed:
            headers[names.NOT_EXECUTED_HEADER] = "1"
        if result.reason in (request_dispatcher.NOT_ADMITTED, request_dispatcher.NO_TABLE):
            headers["x-why"] = result.reason
        return http.Response(_status_of(result), headers)

    async def _attempt(
        self, worker: str, request_headers: Mapping[str, str], remaining: float, attempt_number: int
    ) -> AttemptResult:
        self.record.write(
            "try",
            proxy=self.name,
            worker=worker,
            txn=request_headers["x-txn"],
            product=request_headers["x-product"],
            n=attempt_number,
            client=int(request_headers["x-client"]),
        )
        headers = {
            name: value
            for name, value in request_headers.items()
            if name.startswith("x-") and name != "x-left"
        }
        if not self._can_reach(self.worker_zones.get(worker, "")):
            await trio.sleep_forever()
        host, _, port = worker.rpartition(":")
        client = self.worker_clients.setdefault(worker, http.Client(host, int(port)))
        try:
            response = await client.request(
                "POST", "/txn", {**headers, "x-left": f"{remaining:.4f}", "x-proxy": self.name}
            )
        except http.HttpError as error:
            return AttemptResult(False, error.request_sent, response=502)
        pairs = [
            pair.strip().partition("=")
            for pair in response.headers.get("x-load", "").split(",")
            if pair
        ]
        load = {name: float(value) for name, _, value in pairs} if response.status == 200 else {}
        return AttemptResult(
            response.status == 200,
            names.NOT_EXECUTED_HEADER not in response.headers,
            load,
            response.status,
        )

    # Faults.

    async def execute(self, command: Command) -> None:
        """Start or end a fault of this proxy."""
        match command["do"]:
            case "break":
                self.subscriber.disconnect(self.subscriber.current_manager)
            case "restart":
                self.proxy_state.versions = ProxyState().versions
                await self._install_initial_table()
                self.subscriber.disconnect(self.subscriber.current_manager)
            case "cut":
                self.partitioned_zones = {command["zone"]} if command["zone"] else set()
                if not self._can_reach(self.manager_config.zone):
                    self.subscriber.disconnect(self.subscriber.current_manager)
            case "deaf":
                self.subscriber.pause_reading(trio.Event())
            case "hear" if self.subscriber.resume_reading is not None:
                self.subscriber.resume_reading.set()
                self.subscriber.pause_reading(None)
        self.record.write(
            "obeyed",
            proxy=self.name,
            **{key: command[key] for key in ("do", "zone") if key in command},
        )


def _status_of(result: RequestResult) -> int:
    """200 on success, 503 without an attempt, 504 on a timeout, otherwise the worker's status."""
    if result.succeeded:
        return 200
    if result.last_attempt is None:
        return 503
    status = result.last_attempt.response or 504
    assert isinstance(status, int)
    return status


def main(run_file: Path, group: int, record_file: Path) -> None:
    """Run the proxies of a group until standard input closes."""
    record = RecordWriter(record_file)
    config = schema.read_scenario(run_file)

    async def run() -> None:
        proxies = {
            name: Proxy(name, proxy_config, config, record)
            for name, proxy_config in config.sections(schema.ProxyConfig).items()
            if proxy_config.group == group
        }

        async def execute(command: Command) -> None:
            for name in command["proxies"]:
                if name in proxies:
                    await proxies[name].execute(command)

        await run_until_input_closes(
            record,
            [task for proxy in proxies.values() for task in (proxy.run_subscriber, proxy.serve)],
            execute,
        )

    trio.run(run)
