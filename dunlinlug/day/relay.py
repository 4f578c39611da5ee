"""Between managers: each word goes through a door of the day's, which loses, delays, doubles and cuts by directed pair.

`Weather` says what becomes of a word and is free of I/O; `Relays` moves bytes. A cut connection is a black hole: it
stays open and nothing comes, as with a router that drops.
"""

import socket
from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec
import trio

from dunlinlug.fleet.members import codec
from dunlinlug.fleet.members.words import Message
from dunlinlug.fleet.succession.peers import CALL, OWNERS

BUFFER = 2**16
Place = tuple[str, int]


class Weather:
    """By directed pair of names. Chances and delays are the same for all pairs, cuts are each pair's own."""

    def __init__(self, chance: Random) -> None:
        self.chance = chance
        self.cuts: set[tuple[str, str]] = set()
        self.loss, self.late, self.double = 0.0, 0.0, 0.0
        self.lost = self.carried = 0

    def obey(self, command: Mapping[str, Any]) -> None:
        """{do: cut | heal, pairs: [[from, to], ...]} or {do: loss | late | double, size: part or seconds}."""
        match command["do"]:
            case "cut":
                self.cuts |= {(a, b) for a, b in command["pairs"]}
            case "heal":
                self.cuts -= {(a, b) for a, b in command["pairs"]}
            case "loss":
                self.loss = command["size"]
            case "late":
                self.late = command["size"]
            case "double":
                self.double = command["size"]

    def fate(self, sender: str, to: str) -> list[float]:
        """Seconds after which each copy goes on; none if it is lost. Unequal delays change the order."""
        copies = []
        for _ in range(1 + (self.chance.random() < self.double)):
            if (sender, to) not in self.cuts and self.chance.random() >= self.loss:
                copies.append(self.chance.uniform(0.0, self.late))
        self.carried += len(copies)
        self.lost += not copies
        return copies

    def stream(self, sender: str, to: str) -> float | None:
        """The same for what a connection carries, which is late and never lost; None while it is cut."""
        return None if (sender, to) in self.cuts else self.chance.uniform(0.0, self.late)


class Relays:
    """`real` is where each member's sockets are bound, by name."""

    def __init__(self, weather: Weather, real: Mapping[str, Place]) -> None:
        self.weather, self.real = weather, dict(real)
        self.names = {place: name for name, place in self.real.items()}

    async def serve(
        self,
        member: str,
        door: Place,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """What is sent to this door goes to the member; who sent it is known by the place that a datagram came from,
        and on a stream by what a frame says of itself or a call begins with."""
        ways = await trio.open_tcp_listeners(door[1], host=door[0])
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as here:
            await here.bind(door)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.serve_listeners, lambda stream: self._stream(member, stream), ways
                )
                task_status.started()
                while True:
                    try:
                        data, place = await here.recvfrom(BUFFER)
                    except ConnectionRefusedError:
                        continue  # a datagram before met a closed socket
                    for delay in self.weather.fate(self.names.get(place[:2], ""), member):
                        nursery.start_soon(self._later, delay, here, data, self.real[member])

    @staticmethod
    async def _later(delay: float, here: trio.socket.SocketType, data: bytes, place: Place) -> None:
        await trio.sleep(delay)
        try:
            await here.sendto(data, place)
        except OSError:
            return

    async def _stream(self, member: str, stream: trio.SocketStream) -> None:
        data = b""
        try:
            with trio.move_on_after(5.0):
                while len(data) <= codec.FRAME and (got := await stream.receive_some(BUFFER)):
                    data += got
                    if data[:1] in (CALL, OWNERS) and len(data) > 1 and len(data) >= 2 + data[1]:
                        break
            if data[:1] in (CALL, OWNERS):
                await self._connection(data[2 : 2 + data[1]].decode(), member, stream, data)
                return
            own = msgspec.msgpack.decode(
                data[codec.LENGTH.size + codec.SMALLEST :], type=Message
            ).own.name
            delay = self.weather.stream(own, member)
            if delay is None:
                return
            await trio.sleep(delay)
            async with await trio.open_tcp_stream(*self.real[member]) as onward:
                await onward.send_all(data)
        except (OSError, trio.BrokenResourceError, msgspec.DecodeError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _connection(
        self, sender: str, to: str, stream: trio.SocketStream, begun: bytes
    ) -> None:
        async with (
            await trio.open_tcp_stream(*self.real[to]) as onward,
            trio.open_nursery() as nursery,
        ):
            await onward.send_all(begun)
            nursery.start_soon(self._pump, sender, to, stream, onward, nursery.cancel_scope)
            nursery.start_soon(self._pump, to, sender, onward, stream, nursery.cancel_scope)

    async def _pump(
        self,
        a: str,
        b: str,
        source: trio.SocketStream,
        target: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(BUFFER):
                while (delay := self.weather.stream(a, b)) is None:
                    await trio.sleep(0.02)
                await trio.sleep(delay)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
