"""Relays between managers, which lose, delay, duplicate and cut by directed pair.

`LinkConditions` says what becomes of a message and is free of I/O; `LinkRelays` moves bytes. A cut
connection stays open and nothing arrives, as with a router that drops.
"""

import socket
from collections.abc import Mapping
from random import Random

import msgspec
import trio

from dunlinlug.fleet.election.transport import ELECTION_PREFACE, OWNERSHIP_PREFACE
from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.membership.messages import Message
from dunlinlug.scenarios.commands import Command

BUFFER_SIZE = 2**16  # bytes
FIRST_BYTES_TIMEOUT = 5.0  # seconds
CUT_POLL_INTERVAL = 0.02  # seconds between looks at whether a cut has healed
PREFACES = (ELECTION_PREFACE, OWNERSHIP_PREFACE)
Address = tuple[str, int]


class LinkConditions:
    """What becomes of a message from one manager to another.

    Rates and delays are the same for all pairs of names, cuts are each pair's own.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.max_delay = 0.0
        self.duplication_rate = 0.0
        self.lost_count = 0
        self.forwarded_count = 0

    def execute(self, command: Command) -> None:
        """Cut or heal pairs, or set the rate of losses or duplicates or the longest delay."""
        match command["do"]:
            case "cut":
                self.blocked_pairs |= {(sender, receiver) for sender, receiver in command["pairs"]}
            case "heal":
                self.blocked_pairs -= {(sender, receiver) for sender, receiver in command["pairs"]}
            case "loss":
                self.loss_rate = command["size"]
            case "late":
                self.max_delay = command["size"]
            case "double":
                self.duplication_rate = command["size"]

    def datagram_delays(self, sender: str, receiver: str) -> list[float]:
        """Seconds after which each copy of a datagram is sent on; none if it is lost.

        Unequal delays change the order of datagrams.
        """
        copy_count = 2 if self.rng.random() < self.duplication_rate else 1
        delays = [
            self.rng.uniform(0.0, self.max_delay)
            for _ in range(copy_count)
            if not self._is_lost(sender, receiver)
        ]
        self.forwarded_count += len(delays)
        if not delays:
            self.lost_count += 1
        return delays

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if (sender, receiver) in self.blocked_pairs:
            return True
        return self.rng.random() < self.loss_rate

    def stream_delay(self, sender: str, receiver: str) -> float | None:
        """Seconds after which bytes of a connection are sent on; None while it is cut."""
        if (sender, receiver) in self.blocked_pairs:
            return None
        return self.rng.uniform(0.0, self.max_delay)


class LinkRelays:
    """Passes on what is sent to the address by which other members know a member."""

    def __init__(
        self, link_conditions: LinkConditions, member_addresses: Mapping[str, Address]
    ) -> None:
        """Relay to `member_addresses`: where each member's sockets are really bound, by name."""
        self.link_conditions = link_conditions
        self.member_addresses = dict(member_addresses)
        self.member_names = {address: name for name, address in self.member_addresses.items()}

    async def serve(
        self,
        member: str,
        proxy_port: Address,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass on to a member what comes to an address, for ever.

        The sender of a datagram is known by the address that it came from, that of a stream by its
        first bytes.
        """
        listeners = await trio.open_tcp_listeners(proxy_port[1], host=proxy_port[0])
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram_socket:
            await datagram_socket.bind(proxy_port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.serve_listeners,
                    lambda stream: self._forward_stream(member, stream),
                    listeners,
                )
                task_status.started()
                while True:
                    try:
                        data, source = await datagram_socket.recvfrom(BUFFER_SIZE)
                    except ConnectionRefusedError:
                        continue  # an earlier datagram was sent to a closed socket
                    sender = self.member_names.get(source[:2], "")
                    for delay in self.link_conditions.datagram_delays(sender, member):
                        nursery.start_soon(
                            self._forward_datagram,
                            delay,
                            datagram_socket,
                            data,
                            self.member_addresses[member],
                        )

    @staticmethod
    async def _forward_datagram(
        delay: float, datagram_socket: trio.socket.SocketType, data: bytes, target: Address
    ) -> None:
        await trio.sleep(delay)
        try:
            await datagram_socket.sendto(data, target)
        except OSError:
            return

    async def _forward_stream(self, member: str, stream: trio.SocketStream) -> None:
        try:
            first_bytes = await _receive_first_bytes(stream)
            if first_bytes[:1] in PREFACES:
                sender = first_bytes[2 : 2 + first_bytes[1]].decode()
                await self._forward_connection(sender, member, stream, first_bytes)
            else:
                await self._forward_frame(member, first_bytes)
        except (OSError, trio.BrokenResourceError, msgspec.DecodeError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _forward_frame(self, member: str, frame: bytes) -> None:
        """Pass on a frame of the membership protocol, which names its sender."""
        message = frame[codec.LENGTH.size + codec.MIN_DATAGRAM_BYTES :]
        sender = msgspec.msgpack.decode(message, type=Message).sender.name
        delay = self.link_conditions.stream_delay(sender, member)
        if delay is None:
            return
        await trio.sleep(delay)
        async with await trio.open_tcp_stream(*self.member_addresses[member]) as target:
            await target.send_all(frame)

    async def _forward_connection(
        self, sender: str, receiver: str, stream: trio.SocketStream, first_bytes: bytes
    ) -> None:
        async with (
            await trio.open_tcp_stream(*self.member_addresses[receiver]) as target,
            trio.open_nursery() as nursery,
        ):
            await target.send_all(first_bytes)
            nursery.start_soon(
                self._copy_stream, sender, receiver, stream, target, nursery.cancel_scope
            )
            nursery.start_soon(
                self._copy_stream, receiver, sender, target, stream, nursery.cancel_scope
            )

    async def _copy_stream(
        self,
        sender: str,
        receiver: str,
        source: trio.SocketStream,
        target: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                delay = self.link_conditions.stream_delay(sender, receiver)
                while delay is None:
                    await trio.sleep(CUT_POLL_INTERVAL)
                    delay = self.link_conditions.stream_delay(sender, receiver)
                await trio.sleep(delay)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


async def _receive_first_bytes(stream: trio.SocketStream) -> bytes:
    """What tells of the sender: a whole frame, or a preface with the sender's name."""
    data = b""
    with trio.move_on_after(FIRST_BYTES_TIMEOUT):
        while len(data) <= codec.MAX_FRAME_BYTES and not _has_complete_preface(data):
            chunk = await stream.receive_some(BUFFER_SIZE)
            if not chunk:
                break
            data += chunk
    return data


def _has_complete_preface(data: bytes) -> bool:
    """Whether the bytes begin with a preface, the length of a name, and that name."""
    return data[:1] in PREFACES and len(data) > 1 and len(data) >= 2 + data[1]
