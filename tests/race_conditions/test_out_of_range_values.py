"""Values that no reader may let through: what one peer sends ends that peer at most.

Each guards against a manager that ends, or that decides by a NaN, after one value of a peer.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.manager.health_checks import HealthChecker, parse_json_report
from dunlinlug.net import http
from dunlinlug.platform.load_metrics import parse_text_report

DIGITS = b"9" * 400
NESTED = b"[" * 5000 + b"]" * 5000
NUMBERS = [b"NaN", b"Infinity", b"-1", b"1e999", DIGITS, b"9" * 5000, NESTED, b"true", b'"1"']


@asynccontextmanager
async def http_server(body: bytes, **headers: str) -> AsyncIterator[int]:
    """Answer every request with this body; yields the port."""

    async def answer(_request: http.Request) -> http.Response:
        return http.Response(200, {name.replace("_", "-"): headers[name] for name in headers}, body)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(http.serve, answer, listeners)
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


def bodies_around(before: bytes, after: bytes) -> list[bytes]:
    return [before + number + after for number in NUMBERS] + [NESTED, b"\xff", b"[1]", b"7"]


@pytest.mark.parametrize(
    "body",
    [
        *bodies_around(b'{"queue": ', b"}"),
        *(b"TEXT queue=" + number for number in NUMBERS[:6]),
        b"TEXT " + b",".join(b"m%d=1" % n for n in range(65)),
    ],
    ids=lambda body: body[:24].decode("ascii", "replace"),
)
async def test_a_health_check_answer_with_a_value_out_of_range_is_a_check_without_a_load_report(
    body: bytes,
) -> None:
    # Review case 7: such an answer of one worker ended the manager, as no error was caught.
    events = list[Event]()
    parse_report = parse_text_report if body.startswith(b"TEXT") else parse_json_report
    async with http_server(body) as port:
        checker = HealthChecker(
            "/", 5.0, 1, events.append, lambda _worker: ("127.0.0.1", port), parse_report
        )
        await checker.check("w")
    assert [
        (event.healthy, event.load) for event in events if isinstance(event, HealthCheckCompleted)
    ] == [(True, {})]
