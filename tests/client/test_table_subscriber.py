"""The subscription to the leader: the time since anything was received."""

import pytest
import trio

from dunlinlug.client import ProxyState, ReportAccumulator, TableSubscriber
from dunlinlug.net import grpc_server
from dunlinlug.net.grpc import Call
from dunlinlug.xds import names


async def test_silence_is_measured_while_no_manager_is_reachable() -> None:
    subscriber = TableSubscriber(
        "p",
        "north",
        [("127.0.0.1", 9)],
        ProxyState(),
        ReportAccumulator("p", "north"),
        reconnect_interval=0.05,
    )
    with trio.move_on_after(0.2):
        await subscriber.run()
    assert subscriber.silence_duration() is None
    subscriber.last_received_at = trio.current_time() - 3.0
    silence = subscriber.silence_duration()
    assert silence is not None and 3.0 <= silence < 4.0


@pytest.mark.parametrize("method", [names.DELTA_ADS_METHOD, names.LRS_METHOD])
async def test_a_manager_that_sends_no_message_is_connected_to_anew(method: str) -> None:
    # The error of decoding ended the client, and with it the proxy.
    calls = 0
    called_again = trio.Event()

    async def answer(call: Call) -> None:
        nonlocal calls
        call.accept()
        await call.receive()
        if call.path == method:
            calls += 1
            call.send(b"\xff\xff")
        if calls == 2:
            called_again.set()
        await call.receive()
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(grpc_server.serve, listeners, answer)
        subscriber = TableSubscriber(
            "p",
            "north",
            [listeners[0].socket.getsockname()[:2]],
            ProxyState(),
            ReportAccumulator("p", "north"),
            reconnect_interval=0.01,
        )
        nursery.start_soon(subscriber.run)
        with trio.fail_after(5.0):
            await called_again.wait()
        nursery.cancel_scope.cancel()
