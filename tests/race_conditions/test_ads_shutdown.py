"""Stops that cross with what the gRPC front and the operators' endpoint have under way."""

import signal
import socket
from contextlib import suppress
from pathlib import Path

import pytest
import trio
import trio.testing

from dunlinlug import rpc
from dunlinlug.net import grpc, grpc_server
from tests.command_line.test_command_line import Process
from tests.config.test_manager_config import manager_file

GOAWAY = 7


def test_signals_of_all_kinds_in_one_moment_end_a_manager_once_and_quietly(tmp_path: Path) -> None:
    path = manager_file(
        tmp_path,
        ("127.0.0.1:18000", "127.0.0.1:0"),
        ("store = unused", f"store = {tmp_path / 's'}"),
    )
    manager = Process(path)
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
        assert not [said for said in manager.lines.queue if "Traceback" in said["event"]]
    finally:
        manager.process.kill()
        manager.process.wait()


def frames(data: bytes) -> list[int]:
    """The kinds of these HTTP/2 frames, which are whole."""
    kinds = []
    while data:
        length = 9 + int.from_bytes(data[:3], "big")
        assert len(data) >= length, "a frame is half written"
        kinds.append(data[3])
        data = data[length:]
    return kinds


@pytest.mark.parametrize("reads", [True, False])
async def test_a_frame_under_way_at_the_stop_goes_out_whole_where_its_peer_reads(
    reads: bool,
) -> None:
    begun, links = trio.Event(), list[grpc.GrpcConnection]()

    async def answer(call: grpc.Call) -> None:
        links.append(call.connection)
        assert isinstance(call.connection.socket, trio.SocketStream)
        call.connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        call.accept()
        call.send(b"x" * 400_000)
        begun.set()
        await trio.sleep_forever()

    doors = await trio.open_tcp_listeners(0, host="127.0.0.1")
    peer, ours = socket.socket(), rpc.Connection(is_client=True)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    peer.connect(doors[0].socket.getsockname())
    ours.start_call("/a", "h")
    peer.sendall(ours.data_to_send())
    peer.setblocking(False)
    scope, data = trio.CancelScope(), b""

    async def serve() -> None:
        with scope:
            await grpc_server.serve(doors, answer)

    with trio.fail_after(8):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await begun.wait()
            await trio.testing.wait_all_tasks_blocked()  # the writer stands in the middle of it
            scope.cancel()
            began = trio.current_time()
            if (
                not reads
            ):  # until the bound is over, and then at once: the cut frame leaves room for a goodbye
                await trio.testing.wait_all_tasks_blocked()
                await trio.sleep_until(links[0].close_deadline)
                with suppress(BlockingIOError):
                    while part := peer.recv(8192):
                        data += part
            while True:
                await trio.lowlevel.wait_readable(peer)
                part = peer.recv(8192)
                if not part:
                    break
                data += part
        assert trio.current_time() - began < grpc.CLOSE_TIMEOUT + 0.5
    peer.close()
    if reads:
        assert len(data) > 60_000 and frames(data)[-1] == GOAWAY
    else:
        assert data.endswith(b"xxxx"), "no goodbye behind half a frame"
