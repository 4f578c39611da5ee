"""A manager serves an unmodified gRPC client, and a client with a stream for each type."""

import json
import os
import subprocess
import sys
import threading
from collections import Counter
from concurrent import futures
from pathlib import Path
from typing import Any

import grpc as grpcio
import pytest
import trio
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug.decision.events import Endpoint
from dunlinlug.net import grpc
from dunlinlug.xds import names
from tests.fixtures.discovery_requests import encode_request
from tests.fixtures.manager_process import running, until

CLIENT_PROGRAM = """
import json, sys, threading, time
import grpc
channel = grpc.insecure_channel("xds:///press-book")
send = channel.unary_unary("/shop/Book", request_serializer=bytes, response_deserializer=bytes)
for line in sys.stdin:
    counts = {}
    for _ in range(int(line)):
        try:
            name = send(b"x", timeout=5).decode()
        except grpc.RpcError as error:
            name = error.code().name
        counts[name] = counts.get(name, 0) + 1
    print(json.dumps(counts), flush=True)
"""


class GrpcWorkers:
    """gRPC servers that answer with their own address."""

    def __init__(self, count: int) -> None:
        self.servers, self.ids = [], list[str]()
        for _ in range(count):
            server = grpcio.server(futures.ThreadPoolExecutor(2))
            port = server.add_insecure_port("127.0.0.1:0")
            name = f"127.0.0.1:{port}"
            server.add_generic_rpc_handlers(
                (
                    grpcio.method_handlers_generic_handler(
                        "shop",
                        {
                            "Book": grpcio.unary_unary_rpc_method_handler(
                                lambda request, context, name=name: name.encode()
                            )
                        },
                    ),
                )
            )
            server.start()
            self.servers.append(server)
            self.ids.append(name)

    def stop(self) -> None:
        for server in self.servers:
            server.stop(None)


class GrpcClient:
    """A process that uses only grpcio, with the manager's address in its xDS bootstrap file."""

    def __init__(self, manager: tuple[str, int], folder: Path) -> None:
        bootstrap = {
            "xds_servers": [
                {
                    "server_uri": f"{manager[0]}:{manager[1]}",
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {"id": "plain", "locality": {"zone": "north"}},
        }
        (folder / "bootstrap.json").write_text(json.dumps(bootstrap))
        self.process = subprocess.Popen(
            [sys.executable, "-c", CLIENT_PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "GRPC_XDS_BOOTSTRAP": str(folder / "bootstrap.json")},
        )
        self.lock = threading.Lock()

    async def send_requests(self, count: int) -> Counter[str]:
        def exchange() -> str:
            with self.lock:
                assert self.process.stdin and self.process.stdout
                self.process.stdin.write(f"{count}\n")
                self.process.stdin.flush()
                return self.process.stdout.readline()

        with trio.fail_after(30.0):
            return Counter(
                json.loads(await trio.to_thread.run_sync(exchange, abandon_on_cancel=True))
            )

    def kill(self) -> None:
        self.process.kill()
        self.process.communicate()


async def test_an_unmodified_grpc_client_follows_table_weights_and_ejections(
    tmp_path: Path,
) -> None:
    workers = GrpcWorkers(4)
    listed = [
        Endpoint(name, "north", "", 0, "ready", weight, None)
        for name, weight in zip(workers.ids, (1.0, 1.0, 2.0, 4.0), strict=True)
    ]
    client: Any = None
    try:
        async with running(tmp_path) as run:
            run.roster.workers = listed
            run.roster.update()
            module = run.manager.components.loop.module
            await until(
                lambda: (
                    bool(module.state.tables.current_tables)
                    and all(  # type: ignore[attr-defined]
                        len(table.weights) == 4
                        for table in module.state.tables.current_tables.values()
                    )
                )
            )  # type: ignore[attr-defined]
            client = GrpcClient(run.address, tmp_path)
            counts = await client.send_requests(800)
            assert set(counts) == set(workers.ids), "every worker got requests and none failed"
            assert (
                0.4 < counts[workers.ids[3]] / 800 < 0.6
                and 0.07 < counts[workers.ids[0]] / 800 < 0.18
            )
            run.roster.update(w3="draining")
            await until(lambda: bool(run.manager.components.loop.module.state.ejected_rows))  # type: ignore[attr-defined]
            with trio.fail_after(5.0):
                while workers.ids[3] in await client.send_requests(50):
                    pass
            counts = await client.send_requests(400)
            assert set(counts) == set(workers.ids[:3]) and 0.4 < counts[workers.ids[2]] / 400 < 0.6
            await until(
                lambda: all(
                    not ack_number
                    for proxy in module.state.assignments.proxies.values()  # type: ignore[attr-defined]
                    for tables in proxy.tables_in_use.values()
                    for _, ack_number in tables
                )
            )
            assert not run.logged("proxy.response_rejected")
    finally:
        if client is not None:
            client.kill()
        workers.stop()


async def test_a_client_with_a_stream_for_each_type_is_one_proxy(tmp_path: Path) -> None:
    async with running(tmp_path) as run, grpc.connect(*run.address) as connection:
        calls = {
            type_url: connection.start_call(path)
            for path, type_url in names.SINGLE_TYPE_METHODS.items()
        }

        async def subscribe(type_url: str, *resource_names: str) -> discovery_pb2.DiscoveryResponse:
            calls[type_url].send(encode_request(type_url, list(resource_names)))
            with trio.fail_after(5.0):
                response = discovery_pb2.DiscoveryResponse.FromString(
                    await calls[type_url].receive()
                )
            calls[type_url].send(encode_request(type_url, list(resource_names), response.nonce))
            return response

        await subscribe(names.LISTENERS_TYPE, "press-book")
        routes = route_pb2.RouteConfiguration.FromString(
            (await subscribe(names.ROUTES_TYPE, "press-book")).resources[0].value
        )
        cluster = routes.virtual_hosts[0].routes[0].route.cluster
        await subscribe(names.CLUSTERS_TYPE, cluster)
        endpoints = endpoint_pb2.ClusterLoadAssignment.FromString(
            (await subscribe(names.ENDPOINTS_TYPE, cluster)).resources[0].value
        )
        assert len(endpoints.endpoints) == 6
        proxies = run.manager.components.loop.module.state.assignments.proxies  # type: ignore[attr-defined]
        await until(
            lambda: (
                len(proxies) == 1
                and all(
                    not ack_number
                    for proxy in proxies.values()
                    for tables in proxy.tables_in_use.values()
                    for _, ack_number in tables
                )
            )
        )
        calls[names.CLUSTERS_TYPE].send(encode_request(names.ENDPOINTS_TYPE, [cluster]))
        with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError, match="is not served"):
            while True:
                await calls[names.CLUSTERS_TYPE].receive()
        assert len(proxies) == 1
        calls[names.LISTENERS_TYPE].cancel()
        await until(lambda: not proxies)
