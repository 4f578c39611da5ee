"""Sends and receives a member's datagrams and frames over trio, and runs its protocol's timers."""

import secrets
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial

import trio

from dunlinlug.fleet.connections import ConnectionHandler, RateLimitedLog
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
from dunlinlug.fleet.membership.streams import MembershipStreams
from dunlinlug.fleet.sealing import AuthenticationError, RejectReason
from dunlinlug.net.peer_limits import RateLimit

SESSION_ID_BYTES = 8
MAX_DATAGRAMS_PER_BATCH = 256  # datagrams read before timers are checked
# Datagrams accepted per second: twenty times what a thousand members send to one.
MAX_DATAGRAMS_PER_SECOND = 4000


class MembershipTransport:
    """One member's sockets, and the loop that drives its protocol.

    `on_broadcast` is called with the broadcasts of others, `on_change` with each change of a
    member's state after it was logged. `bind_address` is where to listen, if not at the member's
    own address.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - one parameter per collaborator
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
        self.sealer = codec.DatagramSealer(keys[0], secrets.token_bytes(SESSION_ID_BYTES))
        self.opener = codec.DatagramOpener(keys)
        self.rejections = Counter[str]()
        self.counts = Counter[str]()
        self.rejection_log = RateLimitedLog("membership.datagrams_rejected", log_event, clock)
        self.rate_limit = RateLimit(MAX_DATAGRAMS_PER_SECOND)
        self.streams = MembershipStreams(self._handle_frame, self.rejections, self.counts)
        # Whether messages to an address are dropped; set by tests.
        self.is_blocked: Callable[[tuple[str, int]], bool] = lambda _address: False
        self.udp_socket: socket.socket | None = None
        self.wake = trio.Event()

    def register_connection_handler(self, first_byte: bytes, handler: ConnectionHandler) -> None:
        """Pass TCP connections that begin with this byte, and the data read so far, to the handler.

        No frame of the membership begins with a byte that another component uses.
        """
        self.streams.handlers[first_byte] = handler

    def open_streams(self) -> dict[str, int]:
        """Number of open TCP connections by kind."""
        return {
            "in": len(self.streams.incoming.new_connections),
            "out": self.streams.outgoing.open,
            "calls": self.streams.delegated.open,
        }

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen, send and run the protocol until cancelled.

        Raises:
            OSError: The address is taken.
        """
        host, port = self.bind_address
        tcp_listeners = await trio.open_tcp_listeners(port, host=host)
        self.udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.udp_socket.setblocking(False)
            self.udp_socket.bind(self.bind_address)
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(trio.serve_listeners, self.streams.accept, tcp_listeners)
                nursery.start_soon(self._read_datagrams, self.udp_socket)
                task_status.started()
                await self._run_timers(self.udp_socket)
        finally:
            self.udp_socket.close()
            self.udp_socket = None

    async def _run_timers(self, udp_socket: socket.socket) -> None:
        while True:
            self.wake = trio.Event()
            with trio.move_on_after(max(self.protocol.next_deadline() - self.clock(), 0.0)):
                await self.wake.wait()
            # Read waiting datagrams first: a probe whose ack waits unread would time out, and cause
            # a suspicion.
            self._drain_socket(udp_socket)
            if self.protocol.next_deadline() <= self.clock():
                self._execute(self.protocol.tick(self.clock()))

    async def _read_datagrams(self, udp_socket: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(udp_socket)
            self._drain_socket(udp_socket)
            self.wake.set()
            await trio.sleep(0)

    def _drain_socket(self, udp_socket: socket.socket) -> None:
        """Handle the datagrams that wait, up to a batch."""
        for _ in range(MAX_DATAGRAMS_PER_BATCH):
            try:
                data = udp_socket.recv(codec.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # reports that an earlier datagram was refused
                self.counts["unread"] += 1
                continue
            if self.rate_limit.allows(self.clock()):
                self._handle_datagram(data)
            else:
                self.rejections[RejectReason.RATE_EXCEEDED.value] += 1

    def _handle_frame(self, data: bytes) -> None:
        self._handle_datagram(data)
        self.wake.set()

    def _handle_datagram(self, data: bytes) -> None:
        try:
            message = self.opener.open(data)
        except AuthenticationError as error:
            self.rejections[str(error)] += 1
            self.rejection_log.write(**self.rejections)
            return
        self.counts["in"] += 1
        self._execute(self.protocol.receive(self.clock(), message))

    def perform(self, action: Callable[[float], list[Order]]) -> None:
        """Execute an operation of the protocol for the service or an operator, at the current time.

        Raises:
            ValueError: The protocol rejects it.
        """
        self._execute(action(self.clock()))
        self.wake.set()

    def _execute(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case Send(address=address, message=message):
                    self._send(address, message)
                case MemberStateChanged():
                    self._log_change(order)
                    self.on_change(order)
                case ProcessPaused(seconds=seconds):
                    self.log_event("membership.process_paused", by=round(seconds, 3))
                case Superseded(start_epoch=start_epoch):
                    self.log_event(
                        "membership.superseded",
                        start=self.protocol.local_state.incarnation[0],
                        to=start_epoch,
                    )
                case BroadcastReceived(broadcast=broadcast):
                    self.on_broadcast(broadcast)

    def _log_change(self, change: MemberStateChanged) -> None:
        self.log_event(
            "membership.member_changed",
            member=change.name,
            before=change.before,
            now=change.after,
            why=change.reason,
        )

    def _send(self, address: tuple[str, int], message: Message) -> None:
        if self.is_blocked(address) or self.udp_socket is None:
            return
        if isinstance(message, StateSync):
            make_frame = partial(self.sealer.frame, message)
            self.streams.send(self.nursery, address, make_frame)
            return
        data = self.sealer.seal(message)
        self.counts["out"] += 1
        self.counts["bytes"] += len(data)
        try:
            self.udp_socket.sendto(data, address)
        except OSError:
            self.counts["unsent"] += 1  # counts as lost in the network
