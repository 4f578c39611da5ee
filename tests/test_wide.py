"""The state-of-the-world form: an unmodified gRPC client resolves through our manager, and the stream by itself."""

import json
import os
import subprocess
import sys
import threading
from collections import Counter
from concurrent import futures
from pathlib import Path
from typing import Any

import grpc as outside
import trio

from dunlinlug import interface as face
from tests.running import running, until

CLIENT = '''
import json, sys, threading, time
import grpc
channel = grpc.insecure_channel("xds:///press-book")
ask = channel.unary_unary("/shop/Book", request_serializer=bytes, response_deserializer=bytes)
for line in sys.stdin:
    met = {}
    for _ in range(int(line)):
        try:
            name = ask(b"x", timeout=5).decode()
        except grpc.RpcError as error:
            name = error.code().name
        met[name] = met.get(name, 0) + 1
    print(json.dumps(met), flush=True)
'''


class Workers:
    """gRPC servers that answer with their own address."""

    def __init__(self, count: int) -> None:
        self.servers, self.ids = [], list[str]()
        for _ in range(count):
            server = outside.server(futures.ThreadPoolExecutor(2))
            port = server.add_insecure_port("127.0.0.1:0")
            name = f"127.0.0.1:{port}"
            server.add_generic_rpc_handlers((outside.method_handlers_generic_handler("shop", {
                "Book": outside.unary_unary_rpc_method_handler(lambda request, context, name=name: name.encode())}),))
            server.start()
            self.servers.append(server)
            self.ids.append(name)

    def stop(self) -> None:
        for server in self.servers:
            server.stop(None)


class Client:
    """A process with grpcio alone, steered by its bootstrap."""

    def __init__(self, manager: tuple[str, int], folder: Path) -> None:
        bootstrap = {"xds_servers": [{"server_uri": f"{manager[0]}:{manager[1]}", "channel_creds": [
            {"type": "insecure"}], "server_features": ["xds_v3"]}], "node": {"id": "plain", "locality": {
                "zone": "north"}}}
        (folder / "bootstrap.json").write_text(json.dumps(bootstrap))
        self.process = subprocess.Popen(
            [sys.executable, "-c", CLIENT], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
            env={**os.environ, "GRPC_XDS_BOOTSTRAP": str(folder / "bootstrap.json")})
        self.lock = threading.Lock()

    async def ask(self, count: int) -> Counter[str]:
        def once() -> str:
            with self.lock:
                assert self.process.stdin and self.process.stdout
                self.process.stdin.write(f"{count}\n")
                self.process.stdin.flush()
                return self.process.stdout.readline()

        with trio.fail_after(30.0):
            return Counter(json.loads(await trio.to_thread.run_sync(once, abandon_on_cancel=True)))

    def end(self) -> None:
        self.process.kill()
        self.process.communicate()


async def test_an_unmodified_grpc_client_is_steered_by_our_tables(tmp_path: Path) -> None:
    workers = Workers(4)
    listed = [face.Worker(name, "north", "", 0, "ready", weight, None)
              for name, weight in zip(workers.ids, (1.0, 1.0, 2.0, 4.0), strict=True)]
    client: Any = None
    try:
        async with running(tmp_path) as run:
            run.roster.workers = listed
            run.roster.tell()
            module = run.manager.loop.module
            await until(lambda: bool(module.current) and all(  # type: ignore[attr-defined]
                len(table.shares) == 4 for table in module.current.values()))  # type: ignore[attr-defined]
            client = Client(run.address, tmp_path)
            met = await client.ask(800)
            assert set(met) == set(workers.ids), "all workers, and no failure"
            assert 0.4 < met[workers.ids[3]] / 800 < 0.6 and 0.07 < met[workers.ids[0]] / 800 < 0.18
            run.roster.tell(w3="draining")
            await until(lambda: bool(run.manager.loop.module.out))  # type: ignore[attr-defined]
            with trio.fail_after(5.0):
                while workers.ids[3] in await client.ask(50):
                    pass
            met = await client.ask(400)
            assert set(met) == set(workers.ids[:3]) and 0.4 < met[workers.ids[2]] / 400 < 0.6
            await until(lambda: all(not mark for proxy in module.proxies.values()  # type: ignore[attr-defined]
                                    for tables in proxy.holds.values() for _, mark in tables))
            assert not run.said("proxy.refused")
    finally:
        if client is not None:
            client.end()
        workers.stop()
