"""What every process of a run shares: a slowed clock, JSON lines in and out, figures of itself, an
end at the close of its input. Whoever started it is gone then, so nothing is left behind even if
that was killed.
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
Obey = Callable[[Command], Awaitable[dict[str, Any]]]
LINE = (
    2**24
)  # bytes of one command or answer: a zone's verdicts by hundreds of members are a tenth of it
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
AT_THE_DOOR = (
    "rate",
    "streams",
    "calls",
)  # what a member's bounds turned away unread, as its door counts it
KINDS = {
    "Ping": "ping",
    "Ack": "ack",
    "PingRequest": "ask",
    "Nack": "nack",
    "Gossip": "news",
    "StateSync": "whole",
}


class Slowed(SkewedClock):
    """So many seconds of the rig pass in one true second: beats, waits and bounds of a process all
    go at this rate.
    """

    def __init__(self, rate: float) -> None:
        if not 0.01 <= rate <= 1.0:
            raise ValueError("the rig's clock goes at 1% to 100% of true time")
        self.rate, self.started_at = rate, time.monotonic()  # slower than clocks of days may drift


def first(faults: BaseException) -> BaseException:
    """Out of all groups."""
    while isinstance(faults, BaseExceptionGroup):
        faults = faults.exceptions[0]
    return faults


def own_reading(meter: Meter, control_s: float = 0.0) -> Reading:
    with open("/proc/self/statm", encoding="ascii") as file:
        resident = int(file.read().split()[1]) * PAGE_MB
    return Reading(time.process_time(), resident, meter.snapshot(), control_s, dict(meter.counts))


def say(**said: Any) -> None:
    sys.stdout.write(json.dumps(said) + "\n")
    sys.stdout.flush()


async def commands(obey: Obey) -> None:
    """Obey each line of standard input and answer it, until it closes."""
    buffer = b""
    async with trio.lowlevel.FdStream(os.dup(sys.stdin.fileno())) as stream:
        async for data in stream:
            buffer += data
            if len(buffer) > LINE:
                raise ValueError("a command is over the bound")
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                say(**await obey(json.loads(line)))


class CountedSealer(codec.DatagramSealer):
    """Counts what leaves, by kind; the four bytes of a frame's length are not counted."""

    meter: Meter

    def seal(self, message: Message) -> bytes:
        data = super().seal(message)
        self.meter.add(KINDS[type(message).__name__], "out", len(data))
        return data


class SimulatedRejectReason(StrEnum):
    """Why a message is not taken that a real member would take."""

    PARTITIONED = "cut"


class CountedOpener(codec.DatagramOpener):
    """Hears nothing of who is `beyond` a cut. Danger: real managers don't know of the cut and send
    on.
    """

    meter: Meter
    beyond: frozenset[str] = frozenset()

    def open(self, data: bytes) -> Message:
        try:
            message = super().open(data)
        except AuthenticationError as fault:
            self.meter.counts[f"refused {fault}"] += 1
            raise
        if message.sender.name in self.beyond:
            self.meter.counts["refused cut"] += 1
            raise AuthenticationError(SimulatedRejectReason.PARTITIONED)
        self.meter.add(KINDS[type(message).__name__], "in", len(data))
        return message


class Stopwatch:
    """This thread's processor time within what it is put round, nested calls counted once."""

    def __init__(self) -> None:
        self.spent, self.depth = 0.0, 0

    def put_round(self, holder: Any, name: str) -> None:
        does = getattr(holder, name)

        def timed(*words: Any) -> Any:
            if self.depth:
                return does(*words)
            self.depth, began = 1, time.thread_time()
            try:
                return does(*words)
            finally:
                self.spent += time.thread_time() - began
                self.depth = 0

        setattr(holder, name, timed)


def instrument(membership: Membership, meter: Meter, watch: Stopwatch) -> CountedOpener:
    """Count a member's words by kind, and time what it does for them: on a real and a hollow member
    the same way.

    Not timed is what trio does between: waiting, waking and scheduling of the member's tasks.
    """
    link = membership.transport
    sealer, opener = (
        CountedSealer(link.sealer.key, link.sealer.session_id),
        CountedOpener(list(link.opener.keys.values())),
    )
    sealer.meter = opener.meter = meter
    link.sealer, link.opener = sealer, opener
    for holder, names in (
        (link, ("_drain_socket", "_execute", "_handle_datagram")),
        (link.protocol, ("tick", "next_deadline", "receive")),
        (membership, ("_update_partition", "_send_due_broadcasts")),
    ):
        for name in names:
            watch.put_round(holder, name)
    return opener


def member_said(membership: Membership) -> dict[str, Any]:
    """What one member knows now, for judging views."""
    machine = membership.protocol
    return {
        "digest": machine.table.digest().hex(),
        "living": len(machine.table.live_members()),
        "state": machine.state,
        "waiting": len(machine.table.pending_broadcasts),
    }


class Verdicts:
    """Members said to have failed, as (true monotonic time, by, of), until they are asked for;
    bounded.
    """

    MOST = 200_000  # two zones of a tenth of 940 members, each told of by all the others

    def __init__(self) -> None:
        self.rows: list[tuple[float, str, str]] = []
        self.dropped = 0

    def add(self, by: str, of: str) -> None:
        if len(self.rows) >= self.MOST:
            self.dropped += 1
            return
        self.rows.append((round(time.monotonic(), 4), by, of))

    def taken(self) -> list[tuple[float, str, str]]:
        rows, self.rows = self.rows, []
        return rows
