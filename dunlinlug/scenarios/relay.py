"""Relays between managers, which lose, delay and duplicate messages, and cut directed pairs.

`LinkConditions` decides the fate of each message and does no I/O; `LinkRelays` forwards the bytes.
A cut connection stays open and transfers nothing, as behind a router that drops packets.
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
CUT_POLL_INTERVAL = 0.02  # seconds between checks whether a cut has healed
PREFACES = (ELECTION_PREFACE, OWNERSHIP_PREFACE)
Address = tuple[str, int]


class LinkConditions:
    """Decides whether and when a message from one manager to another is forwarded.

    Rates and delays apply to all links; cuts apply to directed pairs of member names.
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
        """Cut or heal pairs, or set the loss rate, the duplication rate or the maximum delay."""
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
        """Delay in seconds for each copy of a datagram to forward; empty if it is lost.

        Unequal delays reorder datagrams.
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
        """Delay in seconds for bytes of a connection; None while the link is cut."""
        if (sender, receiver) in self.blocked_pairs:
            return None
        return self.rng.uniform(0.0, self.max_delay)


class LinkRelays:
    """Forwards what other members send to a member's advertised address."""

    def __init__(
        self, link_conditions: LinkConditions, member_addresses: Mapping[str, Address]
    ) -> None:
        """Relay to `member_addresses`, the addresses that the members are bound to, by name."""
        self.link_conditions = link_conditions
        self.member_addresses = dict(member_addresses)
        self.member_names = {address: name for name, address in self.member_addresses.items()}

    async def serve(
        self,
        member: str,
        listen_address: Address,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward everything received at `listen_address` to a member; never returns.

        The sender of a datagram is identified by its source address, that of a stream by the first
        bytes.
        """
        listeners = await trio.open_tcp_listeners(listen_address[1], host=listen_address[0])
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram_socket:
            await datagram_socket.bind(listen_address)
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
                        continue  # an earlier datagram went to a closed socket
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
        """Forward a frame of the membership protocol, which contains its sender's name."""
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
    """Receive what identifies the sender: a whole frame, or a preface with the sender's name."""
    data = b""
    with trio.move_on_after(FIRST_BYTES_TIMEOUT):
        while len(data) <= codec.MAX_FRAME_BYTES and not _has_complete_preface(data):
            chunk = await stream.receive_some(BUFFER_SIZE)
            if not chunk:
                break
            data += chunk
    return data


def _has_complete_preface(data: bytes) -> bool:
    """Whether the bytes start with a preface, the length of a name, and that whole name."""
    return data[:1] in PREFACES and len(data) > 1 and len(data) >= 2 + data[1]
