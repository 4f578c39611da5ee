"""Common parts of the processes of a run: slowed clock, JSON lines, and usage of the process.

A process ends when its input closes. This leaves no process behind even if the parent was killed.
"""

import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any

import trio

from bench.scale.accounting import Meter, Reading
from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.membership.messages import Message
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.sealing import AuthenticationError
from dunlinlug.manager.skewed_clock import SkewedClock

Command = dict[str, Any]
CommandHandler = Callable[[Command], Awaitable[dict[str, Any]]]
# Length limit of a command or answer: ten times the verdicts on a zone by hundreds of members.
MAX_LINE_BYTES = 2**24
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
# Reasons of the transport for rejecting messages unread at one of its limits.
REJECTION_REASONS = (
    "rate",
    "streams",
    "calls",
)
MESSAGE_KINDS = {
    "Ping": "ping",
    "Ack": "ack",
    "PingRequest": "ask",
    "Nack": "nack",
    "Gossip": "news",
    "StateSync": "whole",
}


class SlowedClock(SkewedClock):
    """A clock at a fraction of real time, for all timers and timeouts of a process."""

    def __init__(self, rate: float) -> None:
        if not 0.01 <= rate <= 1.0:
            raise ValueError("the rate of the clock must be from 0.01 to 1.0")
        # The parent's constructor is not called, as it rejects rates below 0.5.
        self.rate, self.started_at = rate, time.monotonic()


def first_exception(error: BaseException) -> BaseException:
    """Return the first exception inside nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def process_reading(meter: Meter, control_s: float = 0.0) -> Reading:
    """Return the resource usage of this process and the messages of its meter."""
    with open("/proc/self/statm", encoding="ascii") as file:
        resident = int(file.read().split()[1]) * PAGE_MB
    return Reading(time.process_time(), resident, meter.snapshot(), control_s, dict(meter.counts))


def write_line(**fields: Any) -> None:
    """Write the fields as one line of JSON to standard output."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


async def serve_commands(handle_command: CommandHandler) -> None:
    """Handle each command line of standard input and write its answer, until the input closes."""
    buffer = b""
    async with trio.lowlevel.FdStream(os.dup(sys.stdin.fileno())) as stream:
        async for data in stream:
            buffer += data
            if len(buffer) > MAX_LINE_BYTES:
                raise ValueError("a command line is over the length limit")
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                write_line(**await handle_command(json.loads(line)))


class CountedSealer(codec.DatagramSealer):
    """Counts sent messages by kind, without the four bytes of a frame's length."""

    meter: Meter

    def seal(self, message: Message) -> bytes:
        """Seal a message and count it."""
        data = super().seal(message)
        self.meter.add(MESSAGE_KINDS[type(message).__name__], "out", len(data))
        return data


class SimulatedRejectReason(StrEnum):
    """Why a hollow member rejects a message that a real member would accept."""

    PARTITIONED = "cut"


class CountedOpener(codec.DatagramOpener):
    """Counts received messages by kind, and rejects those of members beyond a partition.

    The receiver must reject them, as real managers are not part of the simulated partition and
    continue to send.
    """

    meter: Meter
    partitioned_members: frozenset[str] = frozenset()

    def open(self, data: bytes) -> Message:
        """Open a datagram and count its message. Raises AuthenticationError."""
        try:
            message = super().open(data)
        except AuthenticationError as error:
            self.meter.counts[f"refused {error}"] += 1
            raise
        if message.sender.name in self.partitioned_members:
            self.meter.counts["refused cut"] += 1
            raise AuthenticationError(SimulatedRejectReason.PARTITIONED)
        self.meter.add(MESSAGE_KINDS[type(message).__name__], "in", len(data))
        return message


class Stopwatch:
    """Processor time of this thread in the wrapped methods; nested calls count once."""

    def __init__(self) -> None:
        self.spent, self.depth = 0.0, 0

    def wrap(self, holder: Any, name: str) -> None:
        """Replace a method of an object by one that adds its processor time."""
        method = getattr(holder, name)

        def timed(*arguments: Any) -> Any:
            if self.depth:
                return method(*arguments)
            self.depth, began = 1, time.thread_time()
            try:
                return method(*arguments)
            finally:
                self.spent += time.thread_time() - began
                self.depth = 0

        setattr(holder, name, timed)


def instrument(membership: Membership, meter: Meter, watch: Stopwatch) -> CountedOpener:
    """Count the messages of a member by kind, and measure the processor time spent on them.

    Works the same way for real and hollow members. The time of trio for waiting and scheduling the
    member's tasks is not included.
    """
    transport = membership.transport
    sealer, opener = (
        CountedSealer(transport.sealer.key, transport.sealer.session_id),
        CountedOpener(list(transport.opener.keys.values())),
    )
    sealer.meter = opener.meter = meter
    transport.sealer, transport.opener = sealer, opener
    for holder, names in (
        (transport, ("_drain_socket", "_execute", "_handle_datagram")),
        (transport.protocol, ("tick", "next_deadline", "receive")),
        (membership, ("_update_partition", "_send_due_broadcasts")),
    ):
        for name in names:
            watch.wrap(holder, name)
    return opener


def member_view(membership: Membership) -> dict[str, Any]:
    """Return the current view of one member, for comparing views."""
    protocol = membership.protocol
    return {
        "digest": protocol.table.digest().hex(),
        "living": len(protocol.table.live_members()),
        "state": protocol.state,
        "waiting": len(protocol.table.pending_broadcasts),
    }


class Verdicts:
    """A bounded buffer of failure reports as (monotonic time, observer, subject)."""

    # Two zones of a tenth of 940 members, each reported by all the others.
    MAX_ROWS = 200_000

    def __init__(self) -> None:
        self.rows: list[tuple[float, str, str]] = []
        self.dropped = 0

    def add(self, observer: str, subject: str) -> None:
        """Store a report, or count it as dropped if the buffer is full."""
        if len(self.rows) >= self.MAX_ROWS:
            self.dropped += 1
            return
        self.rows.append((round(time.monotonic(), 4), observer, subject))

    def take(self) -> list[tuple[float, str, str]]:
        """Return the stored reports and clear the buffer."""
        rows, self.rows = self.rows, []
        return rows
