"""Moves members' datagrams and frames over trio, and calls the machine in time."""

import secrets
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from dunlinlug.fleet.members import codec
from dunlinlug.fleet.members.machine import Machine
from dunlinlug.fleet.members.words import (
    Changed,
    Extra,
    Heard,
    Late,
    Message,
    Order,
    Send,
    Whole,
    Yielded,
)

DRAINED = 256  # datagrams read in one turn before timers are looked at
A_SECOND = (
    4000  # datagrams that are looked at in a second: twenty times what a thousand members send one
)
STREAMS, WITHIN = 16, 2.0  # frames under way at once, each way, and seconds for one
CALLS = 64  # connections of other parts of ours at once: a few for each member of the largest set that votes
SAID = 60.0  # seconds between two log lines on what was refused


class Link:
    """One member's sockets. `heard` gets the host's facts that come in, `changed` each change after it was noted."""

    def __init__(
        self,
        machine: Machine,
        keys: list[bytes],
        note: Callable[..., None],
        heard: Callable[[Extra], None],
        changed: Callable[[Changed], None],
        clock: Callable[[], float] = trio.current_time,
        binds: tuple[str, int] | None = None,
    ) -> None:
        self.binds = binds or machine.own.place
        self.machine, self.note, self.heard, self.changed, self.clock = (
            machine,
            note,
            heard,
            changed,
            clock,
        )
        self.sealer, self.opener = codec.Sealer(keys[0], secrets.token_bytes(8)), codec.Opener(keys)
        self.refused, self.counts = Counter[str](), Counter[str]()
        self.said_at, self.second, self.looked = -SAID, 0.0, 0
        self.streams = {"in": 0, "out": 0, "calls": 0}
        # By first byte, who takes connections that are not ours, with what was read of them; no frame begins like it.
        self.calls: dict[bytes, Callable[[trio.SocketStream, bytes], Awaitable[None]]] = {}
        self.cut: Callable[[tuple[str, int]], bool] = lambda place: (
            False
        )  # nothing goes there: for tests
        self.door: socket.socket | None = None
        self.wake = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises OSError if our place is taken."""
        doors = await trio.open_tcp_listeners(self.binds[1], host=self.binds[0])
        self.door = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.door.setblocking(False)
            self.door.bind(self.binds)
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(trio.serve_listeners, self._listen, doors)
                nursery.start_soon(self._read)
                task_status.started()
                while True:
                    self.wake = trio.Event()
                    with trio.move_on_after(max(self.machine.next_at() - self.clock(), 0.0)):
                        await self.wake.wait()
                    self._drain()  # Danger: timers first would condemn whose answers wait unread
                    if self.machine.next_at() <= self.clock():
                        self._obey(self.machine.tick(self.clock()))
        finally:
            self.door.close()
            self.door = None

    async def _read(self) -> None:
        assert self.door is not None
        while True:
            await trio.lowlevel.wait_readable(self.door)
            self._drain()
            self.wake.set()
            await trio.sleep(0)

    def _drain(self) -> None:
        for _ in range(DRAINED if self.door else 0):
            assert self.door is not None
            try:
                data = self.door.recv(codec.DATAGRAM + 1)
            except BlockingIOError:
                return
            except OSError:  # a former datagram's refusal, as an error of the next call
                self.counts["unread"] += 1
                continue
            now = self.clock()
            if now - self.second >= 1.0 or now < self.second:
                self.second, self.looked = now, 0
            self.looked += 1
            if self.looked > A_SECOND:
                self.refused["rate"] += 1
            else:
                self._open(data)

    def _open(self, data: bytes) -> None:
        try:
            message = self.opener.open(data)
        except codec.Refused as fault:
            self.refused[str(fault)] += 1
            if self.clock() >= self.said_at + SAID:
                self.said_at = self.clock()
                self.note("member.refused", **self.refused)
            return
        self.counts["in"] += 1
        self._obey(self.machine.hear(self.clock(), message))

    def act(self, does: Callable[[float], list[Order]]) -> None:
        """Something of the host's or an operator's; may raise ValueError."""
        self._obey(does(self.clock()))
        self.wake.set()

    def _obey(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case Send(place=place, message=message):
                    self._send(place, message)
                case Changed(name=name, before=before, now=state, why=why):
                    self.note("member.changed", member=name, before=before, now=state, why=why)
                    self.changed(order)
                case Late(by=by):
                    self.note("member.late", by=round(by, 3))
                case Yielded(to=to):
                    self.note("member.yielded", start=self.machine.own.life[0], to=to)
                case Heard(extra=extra):
                    self.heard(extra)

    def _send(self, place: tuple[str, int], message: Message) -> None:
        if self.cut(place) or self.door is None:
            return
        if isinstance(message, Whole):
            if self.streams["out"] >= STREAMS:
                self.counts["unsent"] += 1
                return
            self.streams["out"] += 1
            self.nursery.start_soon(self._stream, place, self.sealer.frame(message))
            return
        data = self.sealer.seal(message)
        self.counts["out"] += 1
        self.counts["bytes"] += len(data)
        try:
            self.door.sendto(data, place)
        except OSError:
            self.counts["unsent"] += 1  # lost, as on a network

    async def _stream(self, place: tuple[str, int], frame: bytes) -> None:
        try:
            with trio.move_on_after(WITHIN):
                async with await trio.open_tcp_stream(*place) as stream:
                    await stream.send_all(frame)
        except (OSError, trio.BrokenResourceError):
            self.counts["unsent"] += 1  # the next exchange makes up for it
        finally:
            self.streams["out"] -= 1

    async def _listen(self, stream: trio.SocketStream) -> None:
        """One frame, in time; nothing is answered on it."""
        if self.streams["in"] >= STREAMS:
            self.refused["streams"] += 1
            await trio.aclose_forcefully(stream)
            return
        self.streams["in"] += 1
        data = b""
        try:
            with trio.move_on_after(WITHIN):
                while got := await stream.receive_some(2**16):
                    data += got
                    if data[:1] in self.calls or len(data) > codec.FRAME + codec.LENGTH.size:
                        break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams["in"] -= 1
            if data[:1] not in self.calls or self.streams["calls"] >= CALLS:
                await trio.aclose_forcefully(stream)
        if data[:1] in self.calls:
            await self._call(stream, data)
            return
        if (
            len(data) >= codec.LENGTH.size
            and codec.LENGTH.unpack_from(data)[0] == len(data) - codec.LENGTH.size
        ):
            self._open(data[codec.LENGTH.size :])
            self.wake.set()
        else:
            self.refused["frame"] += 1

    async def _call(self, stream: trio.SocketStream, data: bytes) -> None:
        if self.streams["calls"] >= CALLS:
            self.refused["calls"] += 1
            return
        self.streams["calls"] += 1
        try:
            await self.calls[data[:1]](stream, data)
        finally:
            self.streams["calls"] -= 1
