"""A proxy: does as its tables say, answers marks, and sends requests to workers."""

import asyncio
import json
from collections import Counter, deque
from random import Random
from typing import Any

from .channel import Channel
from .record import Record

RECONNECT_S = (0.27, 2.3)
DIAL_TIMEOUT_S = 0.25
ATTEMPT_TIMEOUT_S = 1.2
AVOIDED_AFTER = 5  # own tries in a row that failed at a worker
AVOIDED_FOR_S = 2.9
Line = dict[str, Any]


class Proxy:
    """One proxy with a stream to the manager.

    Attributes:
        tables: By lane, the weight of each worker.
        levels: By lane, the admitted fraction and the manner of trying again.
        ejected: Workers shut out, whatever the tables say.
        joined_at: When its present stream began; None without one.
        written: Times of the messages written on this stream, for the limit on messages.
        attempts: By worker: tries, failures and the sum of good times, for the collector.
        requests: By lane: requests and those without an answer, for the collector.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - its place in the deployment
        self,
        number: int,
        zone: str,
        lanes: tuple[str, ...],
        manager: tuple[str, int],
        channel: Channel,
        workers: dict[str, tuple[str, int]],
        record: Record,
    ) -> None:
        self.number = number
        self.zone = zone
        self.lanes = lanes
        self.manager = manager
        self.channel = channel
        self.workers = workers
        self.record = record
        self.rng = Random(number)
        self.tables: dict[str, dict[str, float]] = {lane: {} for lane in lanes}
        self.levels: dict[str, tuple[float, int]] = dict.fromkeys(lanes, (1.0, 1))
        self.ejected: set[str] = set()
        self.joined_at: float | None = None
        self.has_ordered_table = False
        self.written: deque[float] = deque()
        self.most_written = 0
        self.message_window = 10.0
        self.attempts: dict[str, list[float]] = {}
        self.requests: dict[str, list[int]] = {lane: [0, 0] for lane in lanes}
        self.results: Counter[str] = Counter()
        self.failures_in_row: Counter[str] = Counter()
        self.avoided_until: dict[str, float] = {}
        self.wheels: dict[str, dict[str, float]] = {lane: {} for lane in lanes}

    def usable(self, lane: str) -> dict[str, float]:
        """Return the lines that it may pick for a lane."""
        return {w: x for w, x in self.tables[lane].items() if w not in self.ejected}

    async def run_stream(self) -> None:
        """Keep a stream to the manager until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.manager, limit=2**21)
            except OSError:
                await asyncio.sleep(self.rng.uniform(*RECONNECT_S))
                continue
            try:
                await self._serve_stream(reader, writer)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass
            finally:
                self.joined_at = None
                writer.close()
                self.record.write("left", proxy=self.number)
            await asyncio.sleep(self.rng.uniform(*RECONNECT_S))

    async def _serve_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hello = {"id": self.number, "site": self.zone, "rps": 7.0}
        self._write(writer, "hello", **hello, new=not self.has_ordered_table)
        self.joined_at = self.record.write("joined", proxy=self.number)
        self.written.clear()
        message: list[Line] = []
        queue: asyncio.Queue[tuple[list[Line], float, float]] = asyncio.Queue()
        applier = asyncio.create_task(self._apply_in_order(queue, writer))
        try:
            while True:
                message.append(json.loads(await reader.readuntil(b"\n")))
                if message[-1].get("continued"):
                    continue
                ordered_at = self.record.clock()
                self._count_message(ordered_at)
                arrives_at = self.channel.send(sum(map(count_lines, message)))
                queue.put_nowait((message, ordered_at, arrives_at))
                message = []
        finally:
            applier.cancel()

    def _count_message(self, now: float) -> None:
        self.written.append(now)
        while self.written[0] < now - self.message_window:
            self.written.popleft()
        self.most_written = max(self.most_written, len(self.written))

    async def _apply_in_order(
        self,
        queue: asyncio.Queue[tuple[list[Line], float, float]],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            message, ordered_at, arrives_at = await queue.get()
            await asyncio.sleep(max(arrives_at - self.record.clock(), 0.0))
            for line in message:
                self._apply(line)
            now = self.record.clock()
            for line in message:
                if "nonce_out" in line:
                    took = (now - ordered_at) * 1000
                    self._write(
                        writer, "ack", id=self.number, seq=line["nonce_out"], ms=round(took, 1)
                    )

    def _apply(self, line: Line) -> None:
        for lane in line.get("routes") or self.lanes:
            if line.get("full"):
                self.tables[lane] = {}
                self.levels[lane] = (1.0, 1)
                self.has_ordered_table = True
            for worker, weight in line.get("endpoints", ()):
                self.tables[lane][worker] = weight
                if not weight:
                    del self.tables[lane][worker]
            if "admit" in line:
                self.levels[lane] = (line["admit"], line["policy"])
        self.ejected |= set(line.get("eject", ()))
        self.ejected -= set(line.get("restore", ()))

    @staticmethod
    def _write(writer: asyncio.StreamWriter, kind: str, **fields: Any) -> None:
        writer.write(json.dumps({"@type": kind, **fields}).encode() + b"\n")

    # Requests.

    async def run_requests(self, per_second: float, until: float) -> None:
        """Send requests at an even mean rate until a time."""
        count = 0
        async with asyncio.TaskGroup() as group:
            while self.record.clock() < until:
                await asyncio.sleep(self.rng.expovariate(per_second))
                count += 1
                lane = self.lanes[count % len(self.lanes)]
                group.create_task(self._request(f"{self.number}-{count}", lane))

    async def _request(self, name: str, lane: str) -> None:
        self.requests[lane][0] += 1
        admitted, policy = self.levels[lane]
        result = "no line"
        tried: list[str] = []
        for _ in range(2 if policy else 1):
            if self.rng.random() >= admitted:
                result = "refused"
                break
            worker = self._pick(lane, tried)
            if not worker:
                break
            tried.append(worker)
            result = await self._try(name, worker)
            if result != "never ran":
                break
        if result not in {"served", "refused"}:
            self.requests[lane][1] += 1
        self.results[result] += 1
        self.record.write("answered", request=name, proxy=self.number, result=result)

    def _pick(self, lane: str, tried: list[str]) -> str:
        """Pick evenly by weight, without workers tried or avoided; empty if there is none."""
        now = self.record.clock()
        lines = {w: x for w, x in self.usable(lane).items() if w not in tried}
        lines = {w: x for w, x in lines.items() if self.avoided_until.get(w, 0.0) <= now} or lines
        if not lines:
            return ""
        wheel = self.wheels[lane]
        for worker, weight in lines.items():
            wheel[worker] = wheel.get(worker, self.rng.random()) + weight
        picked = max(lines, key=wheel.__getitem__)
        wheel[picked] -= sum(lines.values())
        return picked

    async def _try(self, name: str, worker: str) -> str:
        began = self.record.write("sent", request=name, proxy=self.number, worker=worker)
        sums = self.attempts.setdefault(worker, [0, 0, 0.0])
        sums[0] += 1
        result = "lost"
        writer = None
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self.workers[worker])
                writer.write(f"POST /work?id={name} HTTP/1.1\r\n\r\n".encode())
                await reader.readuntil(b"\r\n\r\n")
                result = "served"
        except (OSError, asyncio.IncompleteReadError):  # a TimeoutError is an OSError
            result = "never ran" if writer is None else "lost"
        finally:
            if writer is not None:
                writer.close()
        if result == "served":
            sums[2] += self.record.clock() - began
            self.failures_in_row[worker] = 0
        else:
            sums[1] += 1
            self.failures_in_row[worker] += 1
            if self.failures_in_row[worker] % AVOIDED_AFTER == 0:
                self.avoided_until[worker] = self.record.clock() + AVOIDED_FOR_S
        return result


def count_lines(line: Line) -> int:
    """Return how many lines an order counts for in the channel."""
    count = sum(len(line.get(name, ())) for name in ("endpoints", "eject", "restore"))
    return count + sum(name in line for name in ("full", "admit", "nonce_out"))
