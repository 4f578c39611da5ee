"""Two events at one HTTP connection at the same time, with raw sockets as peers.

Guards against a request that is sent twice when its reused connection closes, surplus bytes that
count as the next response, a request that is lost to an idle timeout, and requests that are lost at
a shutdown. Also checks impossible requests and unusable load reports.
"""

import os
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import pytest
import trio
import trio.testing

from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.manager.health_checks import MAX_REPORT_BYTES, HealthChecker, parse_json_report
from dunlinlug.net import http
from dunlinlug.platform.load_metrics import parse_text_report

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ScriptedServer:
    """A server that handles its n-th connection with the n-th of `handlers`."""

    def __init__(self, *handlers: Callable[[trio.SocketStream], Awaitable[None]]) -> None:
        self.handlers = list(handlers)
        self.connection_count = 0
        self.closed = [trio.Event() for _ in handlers]

    async def serve(self, stream: trio.SocketStream) -> None:
        index = self.connection_count
        self.connection_count += 1
        with suppress(trio.BrokenResourceError):  # the client has closed the connection
            await self.handlers[index](stream)
        self.closed[index].set()

    @asynccontextmanager
    async def client(self, **options: int) -> AsyncIterator[http.Client]:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)
            yield http.Client("127.0.0.1", listeners[0].socket.getsockname()[1], **options)
            nursery.cancel_scope.cancel()


def reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def answer_all(stream: trio.SocketStream) -> None:
    while await stream.receive_some():
        await stream.send_all(OK)


async def answer_once_then_close_on_the_next(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(OK)
    await stream.receive_some()
    await stream.aclose()


async def answer_once_then_reset_on_the_next(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(OK)
    await stream.receive_some()
    reset(stream)


async def answer_and_close(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(OK)
    await stream.aclose()


@pytest.mark.parametrize(
    "handler", [answer_once_then_close_on_the_next, answer_once_then_reset_on_the_next]
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_on_a_reused_connection_that_closes_only_idempotent_requests_are_retried(
    handler: Any, method: str
) -> None:
    peer = ScriptedServer(handler, answer_all)
    async with peer.client() as client:
        with trio.fail_after(5):
            assert (await client.request(method, "/a")).body == b"ok"
            if method == "GET":
                assert (
                    await client.request(method, "/b")
                ).body == b"ok" and peer.connection_count == 2
                return
            with pytest.raises(http.HttpError) as raised:
                await client.request(method, "/b")
        assert raised.value.request_sent and peer.connection_count == 1


async def test_a_request_whose_response_has_begun_is_not_retried() -> None:
    async def send_half_of_second_response(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(OK)
        await stream.receive_some()
        await stream.send_all(OK[:20])
        await stream.aclose()

    peer = ScriptedServer(send_half_of_second_response, answer_all)
    async with peer.client() as client:
        with trio.fail_after(5):
            await client.request("GET", "/a")
            with pytest.raises(http.HttpError) as raised:
                await client.request("GET", "/b")
        assert raised.value.response_started and peer.connection_count == 1


async def test_an_idle_connection_that_the_server_has_closed_is_not_reused() -> None:
    peer = ScriptedServer(answer_and_close, answer_all)
    async with peer.client() as client:
        with trio.fail_after(5):
            await client.request("POST", "/a")
            await peer.closed[0].wait()
            assert (await client.request("POST", "/b")).body == b"ok"


@pytest.mark.parametrize("at_once", [True, False])
async def test_surplus_bytes_do_not_answer_a_later_request(at_once: bool) -> None:
    """They follow a response, or arrive on an idle connection that the server closes with a 408."""
    first_answered, sent = trio.Event(), trio.Event()

    async def send_surplus(stream: trio.SocketStream) -> None:
        late = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n"
        await stream.receive_some()
        await stream.send_all(OK + late if at_once else OK)
        if not at_once:
            await first_answered.wait()
            await stream.send_all(late)
        sent.set()
        await stream.receive_some()

    peer = ScriptedServer(send_surplus, answer_all)
    async with peer.client() as client:
        with trio.fail_after(5):
            assert (await client.request("GET", "/a")).status == 200
            first_answered.set()
            await sent.wait()
            if not at_once:
                await trio.lowlevel.wait_readable(client.idle_connections[0][0].socket)
            assert (await client.request("GET", "/b")).status == 200


@pytest.mark.parametrize(
    ("host", "path"),
    [
        ("a" * 70, "/"),
        ("\udcff", "/"),
        ("b\0d", "/"),
        ("127.0.0.1", "/a b"),
        ("127.0.0.1", "/\r\nx: y"),
    ],
)
async def test_a_request_that_cannot_be_sent_is_an_error_of_that_request_only(
    host: str, path: str
) -> None:
    async with ScriptedServer(answer_all).client() as client:
        with trio.fail_after(5), pytest.raises(http.HttpError) as raised:
            await http.Client(host, client.port).request("GET", path)
        assert not raised.value.request_sent


@pytest.mark.parametrize(
    ("body", "load"),
    [
        (b"TEXT queue=2", {"queue": 2.0}),
        (b"TEXT queue=nan", {}),
        (b"TEXT queue=inf", {}),
        (b"TEXT queue=-1", {}),
        (b"TEXT queue", {}),
        (b"", {}),
        (b'{"queue": 2}', {"queue": 2.0}),
        (b'{"queue": NaN}', {}),
        (b'{"queue": -1}', {}),
    ],
)
async def test_a_load_report_out_of_range_is_ignored(body: bytes, load: dict[str, float]) -> None:
    async def send_report(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        )

    async with ScriptedServer(send_report).client() as client:
        events = list[Event]()
        parse_report = parse_json_report if body.startswith(b"{") else parse_text_report
        await HealthChecker(
            "/load", 5.0, 1, events.append, lambda worker: ("127.0.0.1", client.port), parse_report
        ).check("w")
        assert [
            (event.healthy, event.load)
            for event in events
            if isinstance(event, HealthCheckCompleted)
        ] == [(True, load)]


@pytest.mark.parametrize("ends", ["never", "early"])
async def test_an_endless_or_incomplete_report_fails_the_health_check_in_bounded_memory(
    ends: str,
) -> None:
    sent_bytes = 0

    async def flood(stream: trio.SocketStream) -> None:
        nonlocal sent_bytes
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        try:
            while ends == "never":
                await stream.send_all(b"1000\r\n" + b"x" * 4096 + b"\r\n")
                sent_bytes += 4096
            await stream.send_all(b"1000\r\nTEXT")
        except trio.BrokenResourceError:
            return

    peer = ScriptedServer(flood)
    async with peer.client() as client:
        events = list[Event]()
        health_checker = HealthChecker(
            "/load",
            5.0,
            1,
            events.append,
            lambda worker: ("127.0.0.1", client.port),
            parse_text_report,
        )
        with trio.fail_after(4):
            await health_checker.check("w")
        assert [event.result for event in events if isinstance(event, HealthCheckCompleted)] == [
            "reset"
        ]
        assert sent_bytes < 100 * MAX_REPORT_BYTES  # bounded by the socket buffers


async def test_a_worker_that_leaves_while_its_health_check_is_queued_is_not_connected_to() -> None:
    started, proceed = trio.Event(), trio.Event()

    async def slow(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        started.set()
        await proceed.wait()
        await stream.send_all(OK)

    peer = ScriptedServer(slow)
    async with peer.client() as client:
        events = list[Event]()
        addresses = {"first": ("127.0.0.1", client.port), "second": ("127.0.0.1", client.port)}
        health_checker = HealthChecker(
            "/healthz", 5.0, 1, events.append, addresses.__getitem__, parse_text_report
        )
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(health_checker.check, "first")
                await started.wait()
                nursery.start_soon(health_checker.check, "second")
                await trio.testing.wait_all_tasks_blocked()
                # The running check of the first completes.
                del (addresses["second"], addresses["first"])
                proceed.set()
        assert [
            (event.worker, event.result)
            for event in events
            if isinstance(event, HealthCheckCompleted)
        ] == [("first", "ok"), ("second", "connect_failed")]
        assert peer.connection_count == 1


class RunningServer:
    """A server run by `http.serve`, and connections to it."""

    def __init__(self, handler: http.Handler, **options: float) -> None:
        self.handler = handler
        self.options = options
        self.scope = trio.CancelScope()
        self.ended = trio.Event()

    @asynccontextmanager
    async def open(self) -> AsyncIterator[Callable[[], Awaitable[trio.SocketStream]]]:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]

        async def serve() -> None:
            with self.scope:
                await http.serve(self.handler, listeners, **self.options)
            self.ended.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            yield lambda: trio.open_tcp_stream("127.0.0.1", port)
            nursery.cancel_scope.cancel()


async def read_until_closed(stream: trio.SocketStream) -> bytes:
    data = b""
    async for part in stream:
        data += part
    return data


@pytest.mark.parametrize(
    "request_line",
    [
        "HEAD /health HTTP/1.1",
        "CONNECT a:1 HTTP/1.1",
        "GET * HTTP/1.1",
        "GET /%ff?=&&a HTTP/1.0",
        "OPTIONS * HTTP/1.1",
        "PUT /a HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 0",
        "GET /a HTTP/1.1\r\nupgrade: x\r\nconnection: upgrade",
        "GET /a HTTP/1.1\r\ncontent-length: x",
        "GET /a HTTP/9.9",
        "\xff\xfe /a HTTP/1.1",
    ],
)
async def test_unusual_requests_do_not_end_the_server(request_line: str) -> None:
    async def handler(request: http.Request) -> http.Response:
        return http.Response.json({"at": request.path}, 200 if request.method == "GET" else 401)

    async with RunningServer(handler).open() as connect:
        with trio.fail_after(5):
            unusual = await connect()
            await unusual.send_all(request_line.encode("latin-1") + b"\r\nhost: h\r\n\r\n")
            assert (await unusual.receive_some()).startswith(b"HTTP/1.1 ")
            valid = await connect()
            await valid.send_all(
                b"HEAD / HTTP/1.1\r\nhost: h\r\n\r\n"
                b"GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
            )
            responses = await read_until_closed(valid)
        assert responses.count(b"HTTP/1.1 ") == 2 and responses.endswith(b'{"at": "/b"}')


async def test_a_request_in_progress_at_a_stop_is_answered_and_no_new_one_accepted() -> None:
    started, proceed = trio.Event(), trio.Event()
    effects = list[str]()

    async def handler(request: http.Request) -> http.Response:
        started.set()
        await proceed.wait()
        effects.append(request.path)
        await trio.lowlevel.checkpoint()  # the stop must not cancel between effect and answer
        return http.Response(200, body=b"done")

    server = RunningServer(handler, grace_period=5.0)
    async with server.open() as connect:
        with trio.fail_after(8):
            busy, idle = await connect(), await connect()
            await busy.send_all(b"PUT /pin HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
            await started.wait()
            server.scope.cancel()
            assert await read_until_closed(idle) == b""
            with pytest.raises(OSError):
                await connect()
            proceed.set()
            assert (await read_until_closed(busy)).endswith(b"done") and effects == ["/pin"]
            await server.ended.wait()


async def test_a_stop_waits_for_handlers_for_a_bounded_time() -> None:
    started = trio.Event()

    async def handler(request: http.Request) -> http.Response:
        started.set()
        await trio.sleep_forever()
        raise AssertionError

    server = RunningServer(handler, grace_period=0.1)
    async with server.open() as connect:
        with trio.fail_after(5):
            busy = await connect()
            await busy.send_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            await started.wait()
            server.scope.cancel()
            assert await read_until_closed(busy) == b""
            await server.ended.wait()


async def test_a_request_that_arrived_as_the_idle_timeout_ends_is_answered() -> None:
    """The event loop is blocked while the request arrives and the timeout expires."""

    async def handler(request: http.Request) -> http.Response:
        return http.Response(200, body=b"ok")

    async with RunningServer(handler, idle_timeout=0.2).open() as connect:
        for _ in range(5):
            stream = await connect()
            await trio.testing.wait_all_tasks_blocked()
            sent_at = trio.current_time()
            os.write(
                stream.socket.fileno(), b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
            )
            while trio.current_time() < sent_at + 0.25:
                pass  # the event loop does not run meanwhile
            with trio.fail_after(5):
                assert (await read_until_closed(stream)).endswith(b"ok")
