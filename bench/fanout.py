"""Fan-out of one changed entry, or of a table with its routes, to many proxies; against grpcio.

    python -m bench.fanout [--proxies 10,50,150,500] [--workers 100] [--rounds 40]

Each server runs in its own process, one after the other for each size, and sends the same resources
to the same clients (four processes, which acknowledge without applying). Prints the time from the
decision to the last acknowledgement (p50, p99) and milliseconds of server CPU per message. The
whole path of our server is measured: orders, table installer, channel (without pacing), sessions,
h2. The grpcio server (asyncio, C core) gets encoded resources and only adds the nonce.
"""

import argparse
import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import trio

from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.session_callbacks import SessionCallbacks
from dunlinlug.decision.events import Acknowledged, Event
from dunlinlug.decision.orders import AssignTable, Order, RequestAcknowledgement, SetWeight
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.net import grpc as own_grpc
from dunlinlug.net import grpc_server
from dunlinlug.xds import encoding, names
from dunlinlug.xds.stream import DeltaStream, NodeIdentified

CLIENT_PROCESSES = 4  # several, so that the clients are not the bottleneck
PRODUCTS = (TrafficClass("read", 0.8, 2.0, 1.0), TrafficClass("book", 0.8, 2.0, 5.0))
KINDS = ("line", "table")


def workers(count: int) -> list[str]:
    """Return the addresses of this many workers."""
    return [f"10.0.{index // 200}.{index % 200 + 1}:8080" for index in range(count)]


def rounds_of(kind: str, rounds: int, proxies: int, addresses: list[str]) -> Iterator[list[Order]]:
    """Yield the orders of each round; table 1 was set and assigned before."""
    for index in range(rounds):
        if kind == "line":
            yield [
                SetWeight(1, addresses[0], 1.0 + index % 7 / 10),
                RequestAcknowledgement(index + 10, False),
            ]
        else:
            weights = [SetWeight(index + 2, worker, 1.0 + index % 7 / 10) for worker in addresses]
            yield [
                *weights,
                *(AssignTable(p, (0, 1), index + 2) for p in range(proxies)),
                RequestAcknowledgement(index + 10, False),
            ]


def start_orders(proxies: int, addresses: list[str]) -> list[Order]:
    """Return the orders that set table 1 and assign it to every proxy."""
    return [
        *(SetWeight(1, worker, 1.0) for worker in addresses),
        *(AssignTable(p, (0, 1), 1) for p in range(proxies)),
        RequestAcknowledgement(1, False),
    ]


async def serve_own(  # noqa: C901  # a server, its clients' sessions and the rounds
    proxies: int, count: int, rounds: int
) -> dict[str, Any]:
    """Serve proxies with our server, and return latencies and CPU seconds by kind of round."""
    installer, sessions = XdsTableInstaller(1, PRODUCTS, 1, 4.0), dict[int, DeltaSession]()
    ack_counts: dict[int, int] = {}
    channel = PacedChannel(1e12, 1e12, 0, 10.0)

    def on_event(event: Event) -> None:
        if isinstance(event, Acknowledged):
            ack_counts[event.ack_number] = ack_counts.get(event.ack_number, 0) + 1

    async def answer(call: own_grpc.Call) -> None:
        stream, session = DeltaStream(), None
        call.accept()
        async with trio.open_nursery() as nursery:
            while True:
                for received in stream.receive(await call.receive()):
                    if session is not None and not isinstance(received, NodeIdentified):
                        session.handle_answer(received, trio.current_time())
                if session is None and len(stream.subscribed) == 2:
                    number = len(sessions)
                    session = sessions[number] = DeltaSession(
                        number,
                        call,
                        stream,
                        0.0,
                        SessionCallbacks(on_event, lambda *_args, **_kwargs: None),
                    )
                    installer.add_proxy(number, True, ())
                    nursery.start_soon(session.run_sender)

    async def order(orders: list[Order], ack_number: int) -> float:
        began = time.perf_counter()
        for proxy, message in installer.apply_orders(orders, trio.current_time()).items():
            channel.enqueue(trio.current_time(), proxy, message)
        for proxy, message in channel.pop_due(float("inf")):
            sessions[proxy].enqueue(message)
        while ack_counts.get(ack_number, 0) < proxies:
            await trio.sleep(0)
        return time.perf_counter() - began

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(grpc_server.serve, listeners, answer)
        print(listeners[0].socket.getsockname()[1], flush=True)
        while len(sessions) < proxies:
            await trio.sleep(0.01)
        await order(start_orders(proxies, workers(count)), 1)
        found = {}
        for kind in KINDS:
            spans, cpu = [], time.process_time()
            for index, orders in enumerate(rounds_of(kind, rounds, proxies, workers(count))):
                spans.append(await order(orders, index + 10))
                await trio.sleep(0.002)
            found[kind] = {"spans": spans, "cpu": time.process_time() - cpu}
            ack_counts.clear()
        nursery.cancel_scope.cancel()
    return found


async def serve_grpcio(  # noqa: C901  # a server, its clients' streams and the rounds
    proxies: int, count: int, rounds: int
) -> dict[str, Any]:
    """Serve the same resources with grpcio's server, and return the same figures."""
    import grpc  # noqa: PLC0415  # only loaded in the process that measures it
    from envoy.service.discovery.v3 import discovery_pb2  # noqa: PLC0415  # not in our server

    joined, done = 0, asyncio.Event()
    outboxes: list[asyncio.Queue[list[tuple[str, tuple[encoding.EncodedResource, ...]]]]] = []
    remaining = 0

    async def stream(requests: Any, context: Any) -> None:
        nonlocal joined, remaining
        outbox: asyncio.Queue[list[tuple[str, tuple[encoding.EncodedResource, ...]]]] = (
            asyncio.Queue()
        )
        outboxes.append(outbox)
        joined, last = joined + 1, 0

        async def send() -> None:
            nonlocal last
            while True:
                for type_url, resources in await outbox.get():
                    last += 1
                    await context.write(
                        encoding.encode_response(type_url, resources, (), str(last), "")
                    )

        sender = asyncio.create_task(send())
        async for data in requests:
            request = discovery_pb2.DeltaDiscoveryRequest.FromString(data)
            if request.response_nonce == str(last):
                remaining -= 1
                if remaining == 0:
                    done.set()
        sender.cancel()

    handler = grpc.method_handlers_generic_handler(
        "envoy.service.discovery.v3.AggregatedDiscoveryService",
        {"DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(stream)},
    )
    server = grpc.aio.server()
    server.add_generic_rpc_handlers((handler,))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(port, flush=True)
    while joined < proxies:
        await asyncio.sleep(0.01)

    async def order(responses: list[tuple[str, tuple[encoding.EncodedResource, ...]]]) -> float:
        nonlocal remaining
        began = time.perf_counter()
        remaining = proxies
        done.clear()
        for outbox in outboxes:
            outbox.put_nowait(responses)
        await done.wait()
        return time.perf_counter() - began

    addresses, found = workers(count), {}
    for kind in KINDS:
        sets = []
        for index in range(
            rounds
        ):  # encoded in advance: the same resources as ours, in the same order
            name = names.table_name(1, 1 if kind == "line" else index + 2)
            table = encoding.encode_table(
                name, dict.fromkeys(addresses, 1.0 + index % 7 / 10), {}, {}
            )
            routes = encoding.encode_routes(
                (("read", name, encoding.RetryPolicy(1)), ("book", name, encoding.RetryPolicy(1)))
            )
            rest = [(names.ROUTES_TYPE, (routes,))] if kind == "table" else []
            sets.append([(names.ENDPOINTS_TYPE, (table,)), *rest])
        spans, cpu = [], time.process_time()
        for responses in sets:
            spans.append(await order(responses))
            await asyncio.sleep(0.002)
        found[kind] = {"spans": spans, "cpu": time.process_time() - cpu}
    await server.stop(0)
    return found


async def clients(port: int, count: int) -> None:
    """Run this many proxies that acknowledge every response at once, without applying it."""
    from envoy.service.discovery.v3 import discovery_pb2  # noqa: PLC0415  # not in our server

    async def run_client(number: int) -> None:
        async with own_grpc.connect("127.0.0.1", port) as link:
            call = link.start_call(names.DELTA_ADS_METHOD)
            for type_url in (names.ENDPOINTS_TYPE, names.ROUTES_TYPE):
                request = discovery_pb2.DeltaDiscoveryRequest(
                    type_url=type_url, resource_names_subscribe=["*"]
                )
                request.node.id = f"p{port}-{number}"
                request.node.client_features.append(names.EJECTION_OVERLAY_FEATURE)
                call.send(request.SerializeToString())
            while True:
                response = discovery_pb2.DeltaDiscoveryResponse.FromString(await call.receive())
                call.send(
                    discovery_pb2.DeltaDiscoveryRequest(
                        type_url=response.type_url, response_nonce=response.nonce
                    ).SerializeToString()
                )

    try:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(run_client, number)
    except* own_grpc.CallEndedError:
        pass  # the server has ended


def measure(server: str, proxies: int, count: int, rounds: int) -> dict[str, Any]:
    """Run one server and its clients in separate processes, and return its figures."""
    command = [sys.executable, "-m", "bench.fanout"]
    process = subprocess.Popen(
        [
            *command,
            "--serve",
            server,
            "--proxies",
            str(proxies),
            "--workers",
            str(count),
            "--rounds",
            str(rounds),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    port = process.stdout.readline().strip()
    shares = [
        proxies // CLIENT_PROCESSES + (index < proxies % CLIENT_PROCESSES)
        for index in range(CLIENT_PROCESSES)
    ]
    peers = [
        subprocess.Popen([*command, "--join", port, "--proxies", str(share)])
        for share in shares
        if share
    ]
    try:
        return json.loads(process.stdout.readline())
    finally:
        for other in [process, *peers]:
            other.kill()
            other.wait()


def print_figures(
    server: str, proxies: int, kind: str, found: dict[str, Any]
) -> tuple[float, float, float]:
    """Print the figures of a server, and return p50, p99 and CPU per message in seconds."""
    spans = sorted(found[kind]["spans"])
    p50, p99 = spans[len(spans) // 2], spans[min(len(spans) - 1, int(len(spans) * 0.99))]
    cpu = found[kind]["cpu"] / (len(spans) * proxies)
    print(
        f"{proxies:4d} proxies  {kind:5s}  {server:6s}  p50 {p50 * 1e3:8.2f} ms  p99 "
        f"{p99 * 1e3:8.2f} ms  "
        f"CPU per message {cpu * 1e3:.3f} ms",
        flush=True,
    )
    return p50, p99, cpu


def main() -> None:
    """Run the program, or the server or clients of a subprocess."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", default="10,50,150,500")
    parser.add_argument("--workers", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--serve")
    parser.add_argument("--join", type=int)
    options = parser.parse_args()
    if options.join:
        trio.run(clients, options.join, int(options.proxies))
    elif options.serve:
        sizes = (int(options.proxies), options.workers, options.rounds)
        found = (
            trio.run(serve_own, *sizes)
            if options.serve == "ours"
            else asyncio.run(serve_grpcio(*sizes))
        )
        print(json.dumps(found), flush=True)
    else:
        for proxies in map(int, options.proxies.split(",")):
            both = {
                server: measure(server, proxies, options.workers, options.rounds)
                for server in ("ours", "grpcio")
            }
            for kind in KINDS:
                own, other = (
                    print_figures(server, proxies, kind, both[server])
                    for server in ("ours", "grpcio")
                )
                print(
                    f"{'':14s}{kind:5s}  ours/grpcio  p50 {own[0] / other[0]:.2f}  p99 "
                    f"{own[1] / other[1]:.2f}  "
                    f"CPU {own[2] / other[2]:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
