"""Between managers: each word goes through a door of the day's, which loses, delays, doubles and
cuts by directed pair.

`Weather` says what becomes of a word and is free of I/O; `Relays` moves bytes. A cut connection is
a black hole: it stays open and nothing comes, as with a router that drops.
"""

import socket
from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec
import trio

from dunlinlug.fleet.election.transport import ELECTION_PREFACE, OWNERSHIP_PREFACE
from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.membership.messages import Message

BUFFER_SIZE = 2**16
Address = tuple[str, int]


class LinkConditions:
    """By directed pair of names. Chances and delays are the same for all pairs, cuts are each
    pair's own.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.max_delay = 0.0
        self.duplication_rate = 0.0
        self.lost_count = self.forwarded_count = 0

    def execute(self, command: Mapping[str, Any]) -> None:
        """{do: cut | heal, pairs: [[from, to], ...]} or {do: loss | late | double, size: part or
        seconds}.
        """
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
        """Seconds after which each copy goes on; none if it is lost. Unequal delays change the
        order.
        """
        delays = []
        for _ in range(1 + (self.rng.random() < self.duplication_rate)):
            if (sender, receiver) not in self.blocked_pairs and self.rng.random() >= self.loss_rate:
                delays.append(self.rng.uniform(0.0, self.max_delay))
        self.forwarded_count += len(delays)
        self.lost_count += not delays
        return delays

    def stream_delay(self, sender: str, receiver: str) -> float | None:
        """The same for what a connection carries, which is late and never lost; None while it is
        cut.
        """
        return (
            None
            if (sender, receiver) in self.blocked_pairs
            else self.rng.uniform(0.0, self.max_delay)
        )


class LinkRelays:
    """`real` is where each member's sockets are bound, by name."""

    def __init__(
        self, link_conditions: LinkConditions, member_addresses: Mapping[str, Address]
    ) -> None:
        self.link_conditions = link_conditions
        self.member_addresses = dict(member_addresses)
        self.member_names = {address: name for name, address in self.member_addresses.items()}

    async def serve(
        self,
        member: str,
        proxy_port: Address,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """What is sent to this door goes to the member; who sent it is known by the place that a
        datagram came from, and on a stream by what a frame says of itself or a call begins with.
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
                        continue  # a datagram before met a closed socket
                    for delay in self.link_conditions.datagram_delays(
                        self.member_names.get(source[:2], ""), member
                    ):
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
        data = b""
        try:
            with trio.move_on_after(5.0):
                while len(data) <= codec.MAX_FRAME_BYTES and (
                    chunk := await stream.receive_some(BUFFER_SIZE)
                ):
                    data += chunk
                    if (
                        data[:1] in (ELECTION_PREFACE, OWNERSHIP_PREFACE)
                        and len(data) > 1
                        and len(data) >= 2 + data[1]
                    ):
                        break
            if data[:1] in (ELECTION_PREFACE, OWNERSHIP_PREFACE):
                await self._forward_connection(data[2 : 2 + data[1]].decode(), member, stream, data)
                return
            sender = msgspec.msgpack.decode(
                data[codec.LENGTH.size + codec.MIN_DATAGRAM_BYTES :], type=Message
            ).sender.name
            delay = self.link_conditions.stream_delay(sender, member)
            if delay is None:
                return
            await trio.sleep(delay)
            async with await trio.open_tcp_stream(*self.member_addresses[member]) as target:
                await target.send_all(data)
        except (OSError, trio.BrokenResourceError, msgspec.DecodeError):
            return
        finally:
            await trio.aclose_forcefully(stream)

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
            while data := await source.receive_some(BUFFER_SIZE):
                while (delay := self.link_conditions.stream_delay(sender, receiver)) is None:
                    await trio.sleep(0.02)
                await trio.sleep(delay)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
