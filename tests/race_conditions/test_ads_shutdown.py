"""Shutdown of the gRPC front end while a frame is being sent, and several signals at once.

Guards against a truncated frame followed by a GOAWAY, which the peer would read as the rest of the
frame, and against signal handlers that run a shutdown twice.
"""

import signal
import socket
from contextlib import suppress
from pathlib import Path

import pytest
import trio
import trio.testing

from dunlinlug import rpc
from dunlinlug.net import grpc, grpc_server
from tests.command_line.test_command_line import ManagerProcess
from tests.config.test_manager_config import manager_file

GOAWAY = 7


def test_several_signals_at_once_stop_a_manager_once_without_a_traceback(tmp_path: Path) -> None:
    path = manager_file(
        tmp_path,
        ("127.0.0.1:18000", "127.0.0.1:0"),
        ("store = unused", f"store = {tmp_path / 's'}"),
    )
    manager = ManagerProcess(path)
    try:
        manager.until("manager.ready")
        for number in (
            signal.SIGSTOP,
            signal.SIGHUP,
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGCONT,
        ):
            manager.process.send_signal(number)
        assert manager.until("manager.stopped")
        assert manager.process.wait(15) == 0
        assert not [line for line in manager.lines.queue if "Traceback" in line["event"]]
    finally:
        manager.process.kill()
        manager.process.wait()


def frame_types(data: bytes) -> list[int]:
    """Return the types of these HTTP/2 frames, each of which must be complete."""
    types = []
    while data:
        length = 9 + int.from_bytes(data[:3], "big")
        assert len(data) >= length, "every frame is complete"
        types.append(data[3])
        data = data[length:]
    return types


@pytest.mark.parametrize("peer_reads", [True, False])
async def test_a_frame_being_sent_at_a_stop_is_completed_if_the_peer_reads(
    peer_reads: bool,
) -> None:
    response_started = trio.Event()
    connections = list[grpc.GrpcConnection]()

    async def answer(call: grpc.Call) -> None:
        connections.append(call.connection)
        assert isinstance(call.connection.socket, trio.SocketStream)
        call.connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        call.accept()
        call.send(b"x" * 400_000)
        response_started.set()
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    peer = socket.socket()
    client = rpc.Connection(is_client=True)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    peer.connect(listeners[0].socket.getsockname())
    client.start_call("/a", "h")
    peer.sendall(client.data_to_send())
    peer.setblocking(False)
    scope = trio.CancelScope()
    data = b""

    async def serve() -> None:
        with scope:
            await grpc_server.serve(listeners, answer)

    with trio.fail_after(8):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await response_started.wait()
            await trio.testing.wait_all_tasks_blocked()  # the writer has sent a part of a frame
            scope.cancel()
            stopped_at = trio.current_time()
            # A peer that reads only after the deadline makes room in the send buffer behind the
            # incomplete frame, where a GOAWAY could be written.
            if not peer_reads:
                await trio.testing.wait_all_tasks_blocked()
                await trio.sleep_until(connections[0].close_deadline)
                with suppress(BlockingIOError):
                    part = peer.recv(8192)
                    while part:
                        data += part
                        part = peer.recv(8192)
            while True:
                await trio.lowlevel.wait_readable(peer)
                part = peer.recv(8192)
                if not part:
                    break
                data += part
        assert trio.current_time() - stopped_at < grpc.CLOSE_TIMEOUT + 0.5
    peer.close()
    if peer_reads:
        assert len(data) > 60_000 and frame_types(data)[-1] == GOAWAY
    else:
        assert data.endswith(b"xxxx"), "no GOAWAY after an incomplete frame"
