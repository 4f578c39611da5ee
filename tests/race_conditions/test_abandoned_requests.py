"""Clients that close their connection, or reset a call, with requests that nobody has read yet.

Each guards against requests that take effect after their client has gone.
"""

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
import trio

from dunlinlug.net import grpc, grpc_server, http

REQUEST = b"PUT /pins HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}"


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def finish(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize(
    ("request_count", "close", "expected"), [(60, reset, 0), (60, finish, 0), (1, finish, 1)]
)
async def test_requests_of_a_client_that_has_gone_are_not_executed(
    request_count: int, close: Callable[[socket.socket], None], expected: int
) -> None:
    # A client that closes its side after its last request still gets the response.
    executed = 0
    served = trio.Event()

    async def handle(_request: http.Request) -> http.Response:
        nonlocal executed
        executed += 1
        return http.Response(200)

    async def serve(stream: trio.SocketStream) -> None:
        await http_server_of(handle)(stream)
        served.set()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    client = socket.create_connection(listeners[0].socket.getsockname())
    client.sendall(REQUEST * request_count)
    close(client)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        with trio.fail_after(5):
            await served.wait()
        nursery.cancel_scope.cancel()
    assert executed == expected
    if expected:
        client.settimeout(5)
        assert client.recv(100).startswith(b"HTTP/1.1 200")
    client.close()


def http_server_of(handle: http.Handler) -> Callable[[trio.SocketStream], Awaitable[None]]:
    """Return the function that serves one connection."""
    return http.Server(handle, 5.0, 0.0, http.ServerOptions()).serve_stream


@asynccontextmanager
async def grpc_link(
    handler: Callable[[grpc.Call], Awaitable[None]],
) -> AsyncIterator[grpc.GrpcConnection]:
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(grpc_server.serve, listeners, handler)
        async with grpc.connect(*listeners[0].socket.getsockname()[:2]) as link:
            yield link
        nursery.cancel_scope.cancel()


async def test_messages_of_a_call_that_its_client_has_reset_are_not_handled() -> None:
    handled = list[bytes]()
    received, was_reset, ended = trio.Event(), trio.Event(), trio.Event()

    async def handle(call: grpc.Call) -> None:
        call.accept()
        try:
            handled.append(await call.receive())
            received.set()
            while call.ended is None:
                await trio.sleep(0.01)
            was_reset.set()
            while True:
                handled.append(await call.receive())
        finally:
            ended.set()

    async with grpc_link(handle) as link:
        call = link.start_call("/some.Service/Method")
        for n in range(20):
            call.send(b"%d" % n)
        with trio.fail_after(5):
            await received.wait()
            call.cancel()
            await was_reset.wait()
            await ended.wait()
    assert handled == [b"0"]


async def test_a_call_that_waits_unaccepted_ends_with_its_clients_reset() -> None:
    # On a manager that does not lead, each call that was opened and reset left a waiting task.
    running = 0
    started, ended = trio.Event(), trio.Event()

    async def wait_for_leadership(_call: grpc.Call) -> None:
        nonlocal running
        running += 1
        if running == 50:
            started.set()
        try:
            await trio.sleep_forever()
        finally:
            running -= 1
            if not running:
                ended.set()

    async with grpc_link(wait_for_leadership) as link:
        calls = [link.start_call("/some.Service/Method") for _ in range(50)]
        with trio.fail_after(5):
            await started.wait()
            for call in calls:
                call.cancel()
            await ended.wait()
