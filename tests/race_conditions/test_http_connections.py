"""Two events that cross on an HTTP connection: closes, left-over bytes, idle bounds, stops; raw sockets as peers."""

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


class Scripted:
    """A server that does on its n-th connection what the n-th of `acts` says."""

    def __init__(self, *acts: Callable[[trio.SocketStream], Awaitable[None]]) -> None:
        self.acts, self.dialled = list(acts), 0
        self.closed = [trio.Event() for _ in acts]

    async def serve(self, stream: trio.SocketStream) -> None:
        n, self.dialled = self.dialled, self.dialled + 1
        with suppress(trio.BrokenResourceError):  # of a client that has gone
            await self.acts[n](stream)
        self.closed[n].set()

    @asynccontextmanager
    async def client(self, **more: int) -> AsyncIterator[http.Client]:
        async with trio.open_nursery() as nursery:
            doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self.serve, doors)
            yield http.Client("127.0.0.1", doors[0].socket.getsockname()[1], **more)
            nursery.cancel_scope.cancel()


def reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def answers(stream: trio.SocketStream) -> None:
    while await stream.receive_some():
        await stream.send_all(OK)


async def answers_once_then_closes_on_the_next(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(OK)
    await stream.receive_some()
    await stream.aclose()


async def answers_once_then_resets_on_the_next(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(OK)
    await stream.receive_some()
    reset(stream)


async def answers_and_closes(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(OK)
    await stream.aclose()


@pytest.mark.parametrize(
    "crossed", [answers_once_then_closes_on_the_next, answers_once_then_resets_on_the_next]
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_where_a_kept_connection_closes_under_it_only_what_has_no_effect_is_said_again(
    crossed: Any, method: str
) -> None:
    peer = Scripted(crossed, answers)
    async with peer.client() as client:
        with trio.fail_after(5):
            assert (await client.request(method, "/a")).body == b"ok"
            if method == "GET":
                assert (await client.request(method, "/b")).body == b"ok" and peer.dialled == 2
                return
            with pytest.raises(http.HttpError) as fault:
                await client.request(method, "/b")
        assert fault.value.request_sent and peer.dialled == 1


async def test_an_answer_that_began_is_not_asked_for_again() -> None:
    async def breaks_off(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(OK)
        await stream.receive_some()
        await stream.send_all(OK[:20])
        await stream.aclose()

    peer = Scripted(breaks_off, answers)
    async with peer.client() as client:
        with trio.fail_after(5):
            await client.request("GET", "/a")
            with pytest.raises(http.HttpError) as fault:
                await client.request("GET", "/b")
        assert fault.value.response_started and peer.dialled == 1


async def test_a_kept_connection_that_its_server_has_closed_is_not_written_to() -> None:
    peer = Scripted(answers_and_closes, answers)
    async with peer.client() as client:
        with trio.fail_after(5):
            await client.request("POST", "/a")
            await peer.closed[0].wait()
            assert (await client.request("POST", "/b")).body == b"ok"


@pytest.mark.parametrize("at_once", [True, False])
async def test_bytes_nobody_asked_for_answer_no_later_request(at_once: bool) -> None:
    """Behind a whole answer, or sent into an idle connection (as a server does that gives it up with a 408)."""
    asked, sent = trio.Event(), trio.Event()

    async def says_too_much(stream: trio.SocketStream) -> None:
        late = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n"
        await stream.receive_some()
        await stream.send_all(OK + late if at_once else OK)
        if not at_once:
            await asked.wait()
            await stream.send_all(late)
        sent.set()
        await stream.receive_some()

    peer = Scripted(says_too_much, answers)
    async with peer.client() as client:
        with trio.fail_after(5):
            assert (await client.request("GET", "/a")).status == 200
            asked.set()
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
async def test_what_can_t_be_asked_is_a_fault_of_the_exchange_alone(host: str, path: str) -> None:
    async with Scripted(answers).client() as client:
        with trio.fail_after(5), pytest.raises(http.HttpError) as fault:
            await http.Client(host, client.port).request("GET", path)
        assert not fault.value.request_sent


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
async def test_a_report_out_of_range_is_no_report(body: bytes, load: dict[str, float]) -> None:
    async def reports(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        )

    async with Scripted(reports).client() as client:
        told, read = (
            list[Event](),
            parse_json_report if body.startswith(b"{") else parse_text_report,
        )
        await HealthChecker(
            "/load", 5.0, 1, told.append, lambda worker: ("127.0.0.1", client.port), read
        ).check("w")
        assert [
            (event.healthy, event.load) for event in told if isinstance(event, HealthCheckCompleted)
        ] == [(True, load)]


@pytest.mark.parametrize("ends", ["never", "early"])
async def test_a_report_without_end_or_broken_off_is_a_failed_probe_and_fills_no_memory(
    ends: str,
) -> None:
    taken = 0

    async def floods(stream: trio.SocketStream) -> None:
        nonlocal taken
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        try:
            while ends == "never":
                await stream.send_all(b"1000\r\n" + b"x" * 4096 + b"\r\n")
                taken += 4096
            await stream.send_all(b"1000\r\nTEXT")
        except trio.BrokenResourceError:
            return

    peer = Scripted(floods)
    async with peer.client() as client:
        told = list[Event]()
        prober = HealthChecker(
            "/load",
            5.0,
            1,
            told.append,
            lambda worker: ("127.0.0.1", client.port),
            parse_text_report,
        )
        with trio.fail_after(4):
            await prober.check("w")
        assert [event.result for event in told if isinstance(event, HealthCheckCompleted)] == [
            "reset"
        ]
        assert taken < 100 * MAX_REPORT_BYTES  # what socket buffers hold, at most


async def test_a_worker_that_goes_while_its_probe_waits_for_a_place_is_not_dialled() -> None:
    begun, go = trio.Event(), trio.Event()

    async def slow(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        begun.set()
        await go.wait()
        await stream.send_all(OK)

    peer = Scripted(slow)
    async with peer.client() as client:
        told, listed = (
            list[Event](),
            {"first": ("127.0.0.1", client.port), "second": ("127.0.0.1", client.port)},
        )
        prober = HealthChecker(
            "/healthz", 5.0, 1, told.append, listed.__getitem__, parse_text_report
        )
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(prober.check, "first")
                await begun.wait()
                nursery.start_soon(prober.check, "second")
                await trio.testing.wait_all_tasks_blocked()
                del listed["second"], listed["first"]  # the one that runs ends as it would have
                go.set()
        assert [
            (event.worker, event.result)
            for event in told
            if isinstance(event, HealthCheckCompleted)
        ] == [("first", "ok"), ("second", "connect_failed")]
        assert peer.dialled == 1


class Door:
    """A server by `http.serve`, and raw clients of it."""

    def __init__(self, handler: http.Handler, **more: float) -> None:
        self.handler, self.more = handler, more
        self.scope, self.ended = trio.CancelScope(), trio.Event()

    @asynccontextmanager
    async def open(self) -> AsyncIterator[Callable[[], Awaitable[trio.SocketStream]]]:
        doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = doors[0].socket.getsockname()[1]

        async def serve() -> None:
            with self.scope:
                await http.serve(self.handler, doors, **self.more)
            self.ended.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            yield lambda: trio.open_tcp_stream("127.0.0.1", port)
            nursery.cancel_scope.cancel()


async def whole(stream: trio.SocketStream) -> bytes:
    data = b""
    while part := await stream.receive_some():
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
async def test_no_request_ends_the_server(request_line: str) -> None:
    async def handler(request: http.Request) -> http.Response:
        return http.Response.json({"at": request.path}, 200 if request.method == "GET" else 401)

    async with Door(handler).open() as dial:
        with trio.fail_after(5):
            odd = await dial()
            await odd.send_all(request_line.encode("latin-1") + b"\r\nhost: h\r\n\r\n")
            assert (await odd.receive_some()).startswith(b"HTTP/1.1 ")
            good = await dial()
            await good.send_all(
                b"HEAD / HTTP/1.1\r\nhost: h\r\n\r\n"
                b"GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
            )
            said = await whole(good)
        assert said.count(b"HTTP/1.1 ") == 2 and said.endswith(b'{"at": "/b"}')


async def test_a_request_under_way_at_the_stop_is_answered_and_nothing_new_is_taken() -> None:
    begun, go = trio.Event(), trio.Event()
    effects = list[str]()

    async def handler(request: http.Request) -> http.Response:
        begun.set()
        await go.wait()
        effects.append(request.path)
        await (
            trio.lowlevel.checkpoint()
        )  # Danger: the point at which the stop used to come between effect and answer
        return http.Response(200, body=b"done")

    door = Door(handler, grace_period=5.0)
    async with door.open() as dial:
        with trio.fail_after(8):
            mine, idle = await dial(), await dial()
            await mine.send_all(b"PUT /pin HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
            await begun.wait()
            door.scope.cancel()
            assert await whole(idle) == b""
            with pytest.raises(OSError):
                await dial()
            go.set()
            assert (await whole(mine)).endswith(b"done") and effects == ["/pin"]
            await door.ended.wait()


async def test_a_stop_waits_for_no_handler_longer_than_its_bound() -> None:
    begun = trio.Event()

    async def handler(request: http.Request) -> http.Response:
        begun.set()
        await trio.sleep_forever()
        raise AssertionError

    door = Door(handler, grace_period=0.1)
    async with door.open() as dial:
        with trio.fail_after(5):
            mine = await dial()
            await mine.send_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            await begun.wait()
            door.scope.cancel()
            assert await whole(mine) == b""
            await door.ended.wait()


async def test_a_request_that_lies_there_when_the_idle_bound_ends_is_answered() -> None:
    """Both in one turn: the clock jumps over the bound while the request is in the socket."""

    async def handler(request: http.Request) -> http.Response:
        return http.Response(200, body=b"ok")

    async with Door(handler, idle_timeout=0.2).open() as dial:
        for _ in range(5):
            stream = await dial()
            await trio.testing.wait_all_tasks_blocked()
            begun = trio.current_time()
            os.write(
                stream.socket.fileno(), b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
            )
            while trio.current_time() < begun + 0.25:
                pass  # no turn of the loop in between
            with trio.fail_after(5):
                assert (await whole(stream)).endswith(b"ok")
