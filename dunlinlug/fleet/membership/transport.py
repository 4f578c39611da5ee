"""Moves members' datagrams and frames over trio, and calls the machine in time."""

import secrets
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.membership.messages import (
    Broadcast,
    BroadcastReceived,
    MemberStateChanged,
    Message,
    Order,
    ProcessPaused,
    Send,
    StateSync,
    Superseded,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol

MAX_DATAGRAMS_PER_BATCH = 256  # datagrams read in one turn before timers are looked at
# datagrams that are looked at in a second: twenty times what a thousand members send one
MAX_DATAGRAMS_PER_SECOND = 4000
# frames under way at once, each way, and seconds for one
MAX_STREAMS = 16
STREAM_TIMEOUT = 2.0
# connections of other parts of ours at once: a few for each member of the largest set that votes
MAX_DELEGATED_CONNECTIONS = 64
REJECTION_LOG_INTERVAL = 60.0  # seconds between two log lines on what was refused


class MembershipTransport:
    """One member's sockets. `heard` gets the host's facts that come in, `changed` each change after
    it was noted.
    """

    def __init__(
        self,
        protocol: MembershipProtocol,
        keys: list[bytes],
        log_event: Callable[..., None],
        on_broadcast: Callable[[Broadcast], None],
        on_change: Callable[[MemberStateChanged], None],
        clock: Callable[[], float] = trio.current_time,
        bind_address: tuple[str, int] | None = None,
    ) -> None:
        self.bind_address = bind_address or protocol.local_state.address
        self.protocol = protocol
        self.log_event = log_event
        self.on_broadcast = on_broadcast
        self.on_change = on_change
        self.clock = clock
        self.sealer = codec.DatagramSealer(keys[0], secrets.token_bytes(8))
        self.opener = codec.DatagramOpener(keys)
        self.rejections = Counter[str]()
        self.counts = Counter[str]()
        self.last_rejection_log_at = -REJECTION_LOG_INTERVAL
        self.rate_window_start = 0.0
        self.rate_window_count = 0
        self.streams = {"in": 0, "out": 0, "calls": 0}
        # By first byte, who takes connections that are not ours, with what was read of them; no
        # frame begins like it.
        self.connection_handlers: dict[
            bytes, Callable[[trio.SocketStream, bytes], Awaitable[None]]
        ] = {}
        self.is_blocked: Callable[[tuple[str, int]], bool] = lambda address: (
            False
        )  # nothing goes there: for tests
        self.udp_socket: socket.socket | None = None
        self.wake = trio.Event()

    def register_connection_handler(
        self, preface_tag: bytes, handler: Callable[[trio.SocketStream, bytes], Awaitable[None]]
    ) -> None:
        """Pass connections that begin with this byte, and what was read of them, to `handler`."""
        self.connection_handlers[preface_tag] = handler

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises OSError if our place is taken."""
        tcp_listeners = await trio.open_tcp_listeners(
            self.bind_address[1], host=self.bind_address[0]
        )
        self.udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.udp_socket.setblocking(False)
            self.udp_socket.bind(self.bind_address)
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(trio.serve_listeners, self._receive_stream, tcp_listeners)
                nursery.start_soon(self._read_datagrams)
                task_status.started()
                while True:
                    self.wake = trio.Event()
                    with trio.move_on_after(max(self.protocol.next_deadline() - self.clock(), 0.0)):
                        await self.wake.wait()
                    # Danger: timers first would condemn whose answers wait unread
                    self._drain_socket()
                    if self.protocol.next_deadline() <= self.clock():
                        self._execute(self.protocol.tick(self.clock()))
        finally:
            self.udp_socket.close()
            self.udp_socket = None

    async def _read_datagrams(self) -> None:
        assert self.udp_socket is not None
        while True:
            await trio.lowlevel.wait_readable(self.udp_socket)
            self._drain_socket()
            self.wake.set()
            await trio.sleep(0)

    def _drain_socket(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_BATCH if self.udp_socket else 0):
            assert self.udp_socket is not None
            try:
                data = self.udp_socket.recv(codec.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # a former datagram's refusal, as an error of the next call
                self.counts["unread"] += 1
                continue
            now = self.clock()
            if now - self.rate_window_start >= 1.0 or now < self.rate_window_start:
                self.rate_window_start = now
                self.rate_window_count = 0
            self.rate_window_count += 1
            if self.rate_window_count > MAX_DATAGRAMS_PER_SECOND:
                self.rejections["rate"] += 1
            else:
                self._handle_datagram(data)

    def _handle_datagram(self, data: bytes) -> None:
        try:
            message = self.opener.open(data)
        except codec.DatagramRejectedError as error:
            self.rejections[str(error)] += 1
            if self.clock() >= self.last_rejection_log_at + REJECTION_LOG_INTERVAL:
                self.last_rejection_log_at = self.clock()
                self.log_event("membership.datagrams_rejected", **self.rejections)
            return
        self.counts["in"] += 1
        self._execute(self.protocol.receive(self.clock(), message))

    def perform(self, action: Callable[[float], list[Order]]) -> None:
        """Something of the host's or an operator's; may raise ValueError."""
        self._execute(action(self.clock()))
        self.wake.set()

    def _execute(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case Send(address=address, message=message):
                    self._send(address, message)
                case MemberStateChanged(name=name, before=before, after=state, reason=reason):
                    self.log_event(
                        "membership.member_changed",
                        member=name,
                        before=before,
                        now=state,
                        why=reason,
                    )
                    self.on_change(order)
                case ProcessPaused(seconds=by):
                    self.log_event("membership.process_paused", by=round(by, 3))
                case Superseded(start_epoch=recipient):
                    self.log_event(
                        "membership.superseded",
                        start=self.protocol.local_state.incarnation[0],
                        to=recipient,
                    )
                case BroadcastReceived(broadcast=broadcast):
                    self.on_broadcast(broadcast)

    def _send(self, address: tuple[str, int], message: Message) -> None:
        if self.is_blocked(address) or self.udp_socket is None:
            return
        if isinstance(message, StateSync):
            if self.streams["out"] >= MAX_STREAMS:
                self.counts["unsent"] += 1
                return
            self.streams["out"] += 1
            self.nursery.start_soon(self._send_stream, address, self.sealer.frame(message))
            return
        data = self.sealer.seal(message)
        self.counts["out"] += 1
        self.counts["bytes"] += len(data)
        try:
            self.udp_socket.sendto(data, address)
        except OSError:
            self.counts["unsent"] += 1  # lost, as on a network

    async def _send_stream(self, address: tuple[str, int], frame: bytes) -> None:
        try:
            with trio.move_on_after(STREAM_TIMEOUT):
                async with await trio.open_tcp_stream(*address) as stream:
                    await stream.send_all(frame)
        except (OSError, trio.BrokenResourceError):
            self.counts["unsent"] += 1  # the next exchange makes up for it
        finally:
            self.streams["out"] -= 1

    async def _receive_stream(self, stream: trio.SocketStream) -> None:
        """One frame, in time; nothing is answered on it."""
        if self.streams["in"] >= MAX_STREAMS:
            self.rejections["streams"] += 1
            await trio.aclose_forcefully(stream)
            return
        self.streams["in"] += 1
        data = b""
        try:
            with trio.move_on_after(STREAM_TIMEOUT):
                while chunk := await stream.receive_some(2**16):
                    data += chunk
                    if (
                        data[:1] in self.connection_handlers
                        or len(data) > codec.MAX_FRAME_BYTES + codec.LENGTH.size
                    ):
                        break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams["in"] -= 1
            if (
                data[:1] not in self.connection_handlers
                or self.streams["calls"] >= MAX_DELEGATED_CONNECTIONS
            ):
                await trio.aclose_forcefully(stream)
        if data[:1] in self.connection_handlers:
            await self._delegate_connection(stream, data)
            return
        if (
            len(data) >= codec.LENGTH.size
            and codec.LENGTH.unpack_from(data)[0] == len(data) - codec.LENGTH.size
        ):
            self._handle_datagram(data[codec.LENGTH.size :])
            self.wake.set()
        else:
            self.rejections["frame"] += 1

    async def _delegate_connection(self, stream: trio.SocketStream, data: bytes) -> None:
        if self.streams["calls"] >= MAX_DELEGATED_CONNECTIONS:
            self.rejections["calls"] += 1
            return
        self.streams["calls"] += 1
        try:
            await self.connection_handlers[data[:1]](stream, data)
        finally:
            self.streams["calls"] -= 1
