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
import pytest
import trio
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug.decision.events import Endpoint
from dunlinlug.net import grpc
from dunlinlug.xds import names, state_of_the_world
from dunlinlug.xds.stream import ResponseAcknowledged, ResponseRejected, StreamProtocolError
from tests.fixtures.manager_process import running, until

CLIENT = """
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
"""


class Workers:
    """gRPC servers that answer with their own address."""

    def __init__(self, count: int) -> None:
        self.servers, self.ids = [], list[str]()
        for _ in range(count):
            server = outside.server(futures.ThreadPoolExecutor(2))
            port = server.add_insecure_port("127.0.0.1:0")
            name = f"127.0.0.1:{port}"
            server.add_generic_rpc_handlers(
                (
                    outside.method_handlers_generic_handler(
                        "shop",
                        {
                            "Book": outside.unary_unary_rpc_method_handler(
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


class Client:
    """A process with grpcio alone, steered by its bootstrap."""

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
            [sys.executable, "-c", CLIENT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "GRPC_XDS_BOOTSTRAP": str(folder / "bootstrap.json")},
        )
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
    listed = [
        Endpoint(name, "north", "", 0, "ready", weight, None)
        for name, weight in zip(workers.ids, (1.0, 1.0, 2.0, 4.0), strict=True)
    ]
    client: Any = None
    try:
        async with running(tmp_path) as run:
            run.roster.workers = listed
            run.roster.tell()
            module = run.manager.components.loop.module
            await until(
                lambda: (
                    bool(module.current_tables)
                    and all(  # type: ignore[attr-defined]
                        len(table.weights) == 4 for table in module.current_tables.values()
                    )
                )
            )  # type: ignore[attr-defined]
            client = Client(run.address, tmp_path)
            met = await client.ask(800)
            assert set(met) == set(workers.ids), "all workers, and no failure"
            assert 0.4 < met[workers.ids[3]] / 800 < 0.6 and 0.07 < met[workers.ids[0]] / 800 < 0.18
            run.roster.tell(w3="draining")
            await until(lambda: bool(run.manager.components.loop.module.ejected_rows))  # type: ignore[attr-defined]
            with trio.fail_after(5.0):
                while workers.ids[3] in await client.ask(50):
                    pass
            met = await client.ask(400)
            assert set(met) == set(workers.ids[:3]) and 0.4 < met[workers.ids[2]] / 400 < 0.6
            await until(
                lambda: all(
                    not mark
                    for proxy in module.assignments.proxies.values()  # type: ignore[attr-defined]
                    for tables in proxy.tables_in_use.values()
                    for _, mark in tables
                )
            )
            assert not run.said("proxy.response_rejected")
    finally:
        if client is not None:
            client.end()
        workers.stop()


async def test_a_client_with_a_stream_for_each_type_is_one_proxy(tmp_path: Path) -> None:
    async with running(tmp_path) as run, grpc.connect(*run.address) as link:
        calls = {
            type_url: link.start_call(path) for path, type_url in names.SINGLE_TYPE_METHODS.items()
        }

        async def take(kind: str, *wanted: str) -> discovery_pb2.DiscoveryResponse:
            calls[kind].send(ask(kind, list(wanted)))
            with trio.fail_after(5.0):
                found = discovery_pb2.DiscoveryResponse.FromString(await calls[kind].receive())
            calls[kind].send(ask(kind, list(wanted), found.nonce))
            return found

        await take(names.LISTENERS_TYPE, "press-book")
        led = route_pb2.RouteConfiguration.FromString(
            (await take(names.ROUTES_TYPE, "press-book")).resources[0].value
        )
        cluster = led.virtual_hosts[0].routes[0].route.cluster
        await take(names.CLUSTERS_TYPE, cluster)
        held = endpoint_pb2.ClusterLoadAssignment.FromString(
            (await take(names.ENDPOINTS_TYPE, cluster)).resources[0].value
        )
        assert len(held.endpoints) == 6
        proxies = run.manager.components.loop.module.assignments.proxies  # type: ignore[attr-defined]
        await until(
            lambda: (
                len(proxies) == 1
                and all(
                    not mark
                    for proxy in proxies.values()
                    for tables in proxy.tables_in_use.values()
                    for _, mark in tables
                )
            )
        )
        calls[names.CLUSTERS_TYPE].send(ask(names.ENDPOINTS_TYPE, [cluster]))
        with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError, match="is not served"):
            while True:
                await calls[names.CLUSTERS_TYPE].receive()
        assert len(proxies) == 1
        calls[names.LISTENERS_TYPE].cancel()
        await until(lambda: not proxies)


# The stream by itself.


def ask(type_url: str, names_: list[str], nonce: str = "", error: str = "") -> bytes:
    request = discovery_pb2.DiscoveryRequest(
        type_url=type_url, resource_names=names_, response_nonce=nonce
    )
    request.node.id = "n"
    if error:
        request.error_detail.message = error
    return request.SerializeToString()


def offer(table: str, *former: str, weight: float = 1.0) -> state_of_the_world.ResourcesByType:
    made: state_of_the_world.ResourcesByType = {kind: {} for kind in state_of_the_world.TYPE_ORDER}
    name = names.cluster_name(table, "book")
    made[names.LISTENERS_TYPE]["book"] = state_of_the_world.encode_listener("book")
    made[names.ROUTES_TYPE]["book"] = state_of_the_world.encode_routes("book", name)
    for held in [names.cluster_name(t, "book") for t in (*former, table)]:
        made[names.CLUSTERS_TYPE][held] = state_of_the_world.encode_cluster(held)
        made[names.ENDPOINTS_TYPE][held] = state_of_the_world.encode_endpoints(
            held, {"10.0.0.1:80": weight}, {}, 1.0, ()
        )
    return made


def sent(
    stream: state_of_the_world.StateOfTheWorldStream,
) -> dict[str, tuple[str, tuple[str, ...]]]:
    """By type the nonce and names of what is due."""
    found = {}
    for type_url, nonce, named, data in stream.pending_responses():
        assert discovery_pb2.DiscoveryResponse.FromString(data).type_url == type_url
        found[type_url] = (nonce, named)
    return found


def joined() -> state_of_the_world.StateOfTheWorldStream:
    """A stream whose client holds table 1/1 whole."""
    stream = state_of_the_world.StateOfTheWorldStream()
    stream.resources = offer("1/1")
    for kind, wanted in (
        (names.LISTENERS_TYPE, ["book"]),
        (names.ROUTES_TYPE, ["book"]),
        (names.CLUSTERS_TYPE, ["1/1/book"]),
        (names.ENDPOINTS_TYPE, ["1/1/book"]),
    ):
        assert not stream.is_converged()
        stream.receive(ask(kind, wanted))
        nonce, named = sent(stream)[kind]
        assert list(named) == wanted
        stream.receive(ask(kind, wanted, nonce))
    assert stream.is_converged() and not sent(stream)
    return stream


def test_a_change_settles_only_with_the_endpoints_of_its_new_cluster_and_the_old_one_stays_till_then() -> (
    None
):
    stream = joined()
    stream.resources = offer("1/2", "1/1")
    due = sent(stream)
    assert set(due) == {names.ROUTES_TYPE} and not stream.is_converged(), (
        "the client has yet to ask for the new cluster"
    )
    stream.receive(ask(names.ROUTES_TYPE, ["book"], due[names.ROUTES_TYPE][0]))
    for kind in (names.CLUSTERS_TYPE, names.ENDPOINTS_TYPE):
        stream.receive(ask(kind, ["1/1/book", "1/2/book"]))
        nonce, named = sent(stream)[kind]
        assert named == ("1/1/book", "1/2/book") and not stream.is_converged()
        stream.receive(ask(kind, ["1/2/book"], nonce))
    assert stream.is_converged()


def test_a_refusal_followed_by_an_old_answer_is_still_a_refusal() -> None:
    stream = joined()
    stream.resources = offer("1/1", weight=2.0)
    first = sent(stream)[names.ENDPOINTS_TYPE][0]
    stream.resources = offer("1/1", weight=3.0)
    second = sent(stream)[names.ENDPOINTS_TYPE][0]
    assert stream.receive(ask(names.ENDPOINTS_TYPE, ["1/1/book"], second, "no")) == [
        ResponseRejected(second, "no")
    ]
    assert (
        stream.receive(ask(names.ENDPOINTS_TYPE, ["1/1/book"], first)) == []
        and not stream.is_converged()
    )
    assert not sent(stream), "what was refused is not sent again"
    stream.resources = offer("1/1", weight=4.0)
    third = sent(stream)[names.ENDPOINTS_TYPE][0]
    assert (
        stream.receive(ask(names.ENDPOINTS_TYPE, ["1/1/book"], third))
        == [ResponseAcknowledged(third)]
        and stream.is_converged()
    )


def test_an_answer_to_what_is_no_longer_the_newest_changes_nothing_it_asked_for_then() -> None:
    stream = joined()
    stream.resources = offer("1/1", weight=2.0)
    old = sent(stream)[names.ENDPOINTS_TYPE][0]
    stream.resources = offer("1/1", weight=3.0)
    new = sent(stream)[names.ENDPOINTS_TYPE][0]
    stream.receive(ask(names.ENDPOINTS_TYPE, [], old))
    assert stream.subscribed[names.ENDPOINTS_TYPE] == {"1/1/book"}, (
        "crossed by a change: the newest answer counts"
    )
    stream.receive(ask(names.ENDPOINTS_TYPE, ["1/1/book"], new))
    assert stream.is_converged()


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"\xff\xff", "not a DiscoveryRequest"),
        (ask("type.googleapis.com/x", []), "is not served"),
        (ask(names.CLUSTERS_TYPE, ["x"] * 10_001), "more than"),
        (
            discovery_pb2.DiscoveryRequest(type_url=names.CLUSTERS_TYPE).SerializeToString(),
            "must name its node",
        ),
    ],
)
def test_what_is_no_request_ends_the_stream_with_a_word(data: bytes, said: str) -> None:
    with pytest.raises(StreamProtocolError, match=said):
        state_of_the_world.StateOfTheWorldStream().receive(data)
