"""Many clients at once that write without end or never finish, and the memory of their victim.

    python -m tests.race_conditions.hostile_clients PORT CLIENTS ATTACK

The attacks run in a process of their own, so that they do not slow a test's well-behaved client.
"""

import itertools
import struct
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import trio
from h2.connection import H2Connection

from dunlinlug import rpc
from dunlinlug.net.grpc import GrpcConnection
from dunlinlug.xds import names
from dunlinlug.xds.load_reports import LoadReport, WorkerStatistics, encode_report
from dunlinlug.xds.subscriber import DeltaSubscriber, ProxyState

ROOT = Path(__file__).parents[2]
MIB = 2**20
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
SHORT_FIELDS = b",".join(b'"%d":%d' % (n, n % 10) for n in range(150_000))

# Writes on one new connection, and returns once there is nothing more to write.
Attack = Callable[[trio.SocketStream], Awaitable[None]]


async def message_without_end(stream: trio.SocketStream) -> None:
    await stream.send_all(b'{"@type":"hello","site":"')
    while True:
        await stream.send_all(b"a" * 65536)


async def hello_of_short_fields(stream: trio.SocketStream) -> None:
    await stream.send_all(b'{"@type":"hello",' + SHORT_FIELDS)


async def slow_hello(stream: trio.SocketStream) -> None:
    for _ in range(1000):
        await stream.send_all(b'{"@type":"hello",' + b'"a":1,' * 47)
        await trio.sleep(0.1)


async def half_of_a_put(stream: trio.SocketStream) -> None:
    """Half of a body of 8 MiB, without a token."""
    await stream.send_all(
        b"PUT /pins HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % (8 * MIB)
    )
    for _ in range(64):
        await stream.send_all(b" " * 65536)


async def head_of_short_fields(stream: trio.SocketStream) -> None:
    await stream.send_all(b"GET /health HTTP/1.1\r\nhost: a\r\n")
    for n in range(12_000):
        await stream.send_all(b"a:%d\r\n" % (n % 10))


def start_call(h2: H2Connection, stream_id: int) -> None:
    h2.send_headers(
        stream_id,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", names.DELTA_ADS_METHOD),
            (":authority", "a"),
            ("content-type", "application/grpc"),
        ],
    )


async def half_of_a_message(stream: trio.SocketStream) -> None:
    """A message of 15 MiB on one call, within the windows, without its last byte."""
    link = GrpcConnection(stream, rpc.Connection(is_client=True))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        call = link.start_call(names.DELTA_ADS_METHOD)
        queue = link.protocol.calls[call.stream_id].queue
        queue.append(memoryview(struct.pack(">BI", 0, 15 * MIB) + b"a" * (15 * MIB - 1)))
        await trio.sleep_forever()


async def small_halves(stream: trio.SocketStream) -> None:
    """Halves of messages of 1 MiB on 100 calls, within the windows."""
    link = GrpcConnection(stream, rpc.Connection(is_client=True))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        for _ in range(100):
            call = link.start_call(names.LRS_METHOD)
            queue = link.protocol.calls[call.stream_id].queue
            queue.append(memoryview(struct.pack(">BI", 0, MIB) + b"a" * (MIB // 2)))
        await trio.sleep_forever()


async def bytes_without_regard_to_windows(stream: trio.SocketStream) -> None:
    h2 = H2Connection()
    h2.initiate_connection()
    start_call(h2, 1)
    await stream.send_all(h2.data_to_send())
    payload = b"\0" + struct.pack(">I", MIB) + b"a" * 16379
    frame = struct.pack(">I", len(payload) << 8) + b"\0" + struct.pack(">I", 1) + payload
    for _ in range(200):
        await stream.send_all(frame)


async def unfinished_header_block(stream: trio.SocketStream) -> None:
    """HEADERS, then CONTINUATION frames of 16 KiB without end."""
    h2 = H2Connection()
    h2.initiate_connection()
    await stream.send_all(h2.data_to_send())
    fields = b"\x00\x01a\x011" * 3200
    await stream.send_all(struct.pack(">I", len(fields) << 8 | 1) + b"\0" + struct.pack(">I", 1))
    await stream.send_all(fields)
    while True:
        frame = struct.pack(">I", len(fields) << 8 | 9) + b"\0" + struct.pack(">I", 1) + fields
        await stream.send_all(frame)


async def pings_whose_answers_are_not_read(stream: trio.SocketStream) -> None:
    h2 = H2Connection()
    h2.initiate_connection()
    await stream.send_all(h2.data_to_send())
    ping = struct.pack(">I", 8 << 8 | 6) + b"\0" * 5 + b"12345678"
    while True:
        await stream.send_all(ping * 500)


async def calls_that_are_reset(stream: trio.SocketStream) -> None:
    h2 = H2Connection()
    h2.initiate_connection()
    for stream_id in itertools.count(1, 2):
        start_call(h2, stream_id)
        h2.reset_stream(stream_id)
        if stream_id % 100 == 99:
            await stream.send_all(h2.data_to_send())


async def calls_of_ever_new_nodes(stream: trio.SocketStream) -> None:
    """Subscriptions of one node after the other, on one connection."""
    link = GrpcConnection(stream, rpc.Connection(is_client=True))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        for n in itertools.count():
            call = link.start_call(names.DELTA_ADS_METHOD)
            subscriber = DeltaSubscriber(ProxyState(), f"node {n} of {id(stream)}", "north", {})
            for request in subscriber.initial_requests():
                call.send(request)
            with trio.move_on_after(5):
                await call.headers_received.wait()
            if n >= 50:
                call.cancel()


async def sound_reports(stream: trio.SocketStream) -> None:
    link = GrpcConnection(stream, rpc.Connection(is_client=True))
    report = LoadReport("p9", "north", 1.0)
    report.workers = {f"127.0.0.1:{7000 + n}": WorkerStatistics(5, 1, 0.5) for n in range(6)}
    body = encode_report(report, is_first=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        subscriber = DeltaSubscriber(ProxyState(), "p9", "north", {})
        subscription = link.start_call(names.DELTA_ADS_METHOD)
        for request in subscriber.initial_requests():
            subscription.send(request)
        call = link.start_call(names.LRS_METHOD)
        while True:
            for _ in range(50):
                call.send(body, buffered=True)
            call.send(body)
            await trio.sleep(0)


async def requests_without_token(stream: trio.SocketStream) -> None:
    while True:
        await stream.send_all(b"GET /tables HTTP/1.1\r\nhost: a\r\n\r\n" * 50)


async def silence(stream: trio.SocketStream) -> None:
    await stream.wait_send_all_might_not_block()


ATTACKS: dict[str, Attack] = {
    attack.__name__: attack
    for attack in (
        message_without_end,
        hello_of_short_fields,
        slow_hello,
        half_of_a_put,
        head_of_short_fields,
        half_of_a_message,
        small_halves,
        bytes_without_regard_to_windows,
        unfinished_header_block,
        pings_whose_answers_are_not_read,
        calls_that_are_reset,
        calls_of_ever_new_nodes,
        sound_reports,
        requests_without_token,
        silence,
    )
}


async def attack_repeatedly(port: int, attack: Attack) -> None:
    """Attack on one connection after another; one that is not closed stays open."""
    while True:
        with suppress(*CONNECTION_ERRORS):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                await attack(stream)
                while await stream.receive_some(65536):
                    pass
        await trio.sleep(0.05)


async def run_attacks(port: int, clients: int, attack: Attack) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(clients):
            nursery.start_soon(attack_repeatedly, port, attack)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


class Victim:
    """The highest resident memory of a process, in bytes, sampled while it is attacked."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.before = resident_bytes(pid)
        self.highest = self.before

    async def sample(self) -> None:
        while True:
            with suppress(OSError, StopIteration):
                self.highest = max(self.highest, resident_bytes(self.pid))
            await trio.sleep(0.02)


@asynccontextmanager
async def attacked(pid: int, port: int, clients: int, attack: str) -> AsyncIterator[Victim]:
    """Attack a process's port with so many clients until the block ends."""
    victim = Victim(pid)
    attackers = await trio.lowlevel.open_process(
        [sys.executable, "-m", __name__, str(port), str(clients), attack],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(victim.sample)
            yield victim
            # Without attackers, a test of their effects would pass.
            assert attackers.poll() is None, "the attackers have ended"
            nursery.cancel_scope.cancel()
    finally:
        attackers.kill()
        with trio.CancelScope(shield=True):
            await attackers.wait()


if __name__ == "__main__":
    trio.run(run_attacks, int(sys.argv[1]), int(sys.argv[2]), ATTACKS[sys.argv[3]])
