"""The platform's other side for the cases of the second review, in one process on loopback.

A `Day` starts real managers with the command `run` of the deploy file and plays discovery, proxies,
collectors and the channel towards the proxies, as the platform's pages describe them. It follows a
case's timeline, writes what was sent, answered and run to `record.txt`, and judges the rules with
the figures of the settings. Only the standard library is used, and only loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TextIO

JsonObject = dict[str, Any]
# What a line of the reports is about: a worker, or a proxy and a class.
ReportKey = str | tuple[int, str]

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# The pages extend time limits by this many seconds on sockets, and start none earlier than this
# many seconds after a manager's first answer.
SOCKET_SLACK_S = 0.3
FIRST_ANSWER_SLACK_S = 1.0
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2
READY_LIMIT_S = 30.0
# The stand-ins judge every 0.05 s; a day on which they ran later than this says nothing.
MAX_LATENESS_S = 0.5
MAX_LINE_BYTES = 2**20
GIVEN_UP_AFTER_S = 1.0  # a try; the sites have 40 to 100% of the expiry
AVOIDED_FOR_S = 4.0  # a worker, after as many failures in a row as the settings say
LEAST_LOCAL_WORKERS = 3  # from which a standing table is drawn in the proxy's zone


class CaseError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def trouble_wanted() -> bool:
    """Whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt`: one line for each thing that happened, with seconds of the day."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, kind: str, text: str) -> None:
        """Add a line."""
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")

    def now(self) -> float:
        """Return the seconds since the day began."""
        return time.monotonic() - self.started_at


class Worker:
    """One worker as discovery lists it, and how it answers at present."""

    def __init__(self, name: str, zone: str, started_at_ms: float = 0.0) -> None:
        self.name = name
        self.zone = zone
        self.lifecycle = "ready"
        self.started_at_ms = started_at_ms
        self.silent = False  # takes requests and answers none

    def entry(self, address: str) -> JsonObject:
        """Return its entry in discovery's form."""
        return {
            "instanceId": self.name,
            "hostPort": address,
            "zone": self.zone,
            "machineType": "std",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }


class Discovery:
    """Discovery's agent on a manager's machine: the whole list, and watches for changes."""

    def __init__(self, record: Record, worker_address: str) -> None:
        self.record = record
        self.worker_address = worker_address
        self.port = 0
        self.generation = 1
        self.workers: dict[str, Worker] = {}
        self.changed_in: dict[str, int] = {}  # the version of each worker's last change
        self.gone: dict[str, JsonObject] = {}
        self.changed = asyncio.Event()
        self.told: dict[str, tuple[str, float]] = {}  # by worker: lifecycle told, and since when
        self.told_start: dict[str, float] = {}  # by worker: its start as told
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, *workers: Worker, gone: tuple[Worker, ...] = ()) -> None:
        """Publish one new version, in which these workers changed or left."""
        self.generation += 1
        for worker in workers:
            self.workers[worker.name] = worker
            self.gone.pop(worker.name, None)
            self.changed_in[worker.name] = self.generation
        for worker in gone:
            worker.lifecycle = "gone"
            self.workers.pop(worker.name, None)
            self.gone[worker.name] = worker.entry(self.worker_address)
            self.changed_in[worker.name] = self.generation
        names = [f"{worker.name}:{worker.lifecycle}" for worker in (*workers, *gone)]
        self.record.write("listed", f"generation={self.generation} {' '.join(names)}")
        self.changed.set()
        self.changed = asyncio.Event()

    def withdraw(self, worker: Worker) -> None:
        """Publish that a worker is gone."""
        self.publish(gone=(worker,))

    def entries(self) -> list[JsonObject]:
        """Return the whole list."""
        return [worker.entry(self.worker_address) for worker in self.workers.values()]

    def changes_since(self, index: int) -> list[JsonObject]:
        """Return the last state of each entry that changed after a version."""
        return [
            self.workers[name].entry(self.worker_address)
            if name in self.workers
            else self.gone[name]
            for name, version in self.changed_in.items()
            if version > index
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                await self._answer(target, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        path, _, query = target.partition("?")
        parameters = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path != "/v1/servers":
            writer.write(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
            await writer.drain()
            return
        reset = "index" not in parameters
        entries = self.entries()
        if not reset:
            index = int(parameters["index"])
            deadline = time.monotonic() + min(float(parameters["wait"]), 60_000.0) / 1000.0
            while self.generation <= index and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except TimeoutError:
                    break
            entries = self.changes_since(index)
        body = json.dumps(
            {"generation": self.generation, "reset": reset, "instances": entries}
        ).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n" % len(body) + body
        )
        await writer.drain()
        self.note_told(entries, reset=reset)

    def forget_told(self) -> None:
        """A new manager process begins, which was told nothing yet."""
        self.told.clear()
        self.told_start.clear()

    def note_told(self, entries: list[JsonObject], *, reset: bool) -> None:
        """Note that a manager was told these entries now."""
        now = self.record.now()
        if reset:
            listed = {entry["instanceId"] for entry in entries}
            missing = [n for n in self.told if n not in listed and self.told[n][0] != "gone"]
            for name in missing:
                self.told[name] = ("gone", now)
        for entry in entries:
            name, lifecycle = entry["instanceId"], entry["lifecycle"]
            self.told_start[name] = entry["startedAtMs"]
            before = self.told.get(name, ("", 0.0))[0]
            if before == lifecycle or (before == "draining" and lifecycle == "gone"):
                continue  # the time limit runs from the first of them
            self.told[name] = (lifecycle, now)
        if entries:
            texts = [f"{entry['instanceId']}:{entry['lifecycle']}" for entry in entries]
            self.record.write("told", f"reset={reset} {' '.join(texts)}")

    def withdrawn_since(self, name: str) -> float | None:
        """Return since when the manager knows that a worker drains or is gone; None if not."""
        lifecycle, at = self.told.get(name, ("", 0.0))
        return at if lifecycle in ("draining", "gone") else None

    def warm_ready(self, cold_s: float) -> list[str]:
        """Return the workers that the manager has as ready and no longer cold."""
        now_ms = time.time() * 1000.0
        return [
            name
            for name, (lifecycle, _) in self.told.items()
            if lifecycle == "ready" and now_ms - self.told_start.get(name, 0.0) >= cold_s * 1000.0
        ]


class Channel:
    """A manager's channel: messages leave one after the other and then travel for a while."""

    def __init__(self, day: "Day") -> None:
        self.day = day
        specifics = day.settings["specifics"]
        self.rate = float(specifics["egressPerS"])
        self.overhead = float(specifics["perMessage"])
        self.transit = specifics["transitUs"] / 1e6
        self.busy_until = 0.0
        # Time of leaving, lines, and the stream that they are for.
        self.waiting: deque[tuple[float, float, asyncio.StreamWriter]] = deque()
        self.most_waiting = 0.0

    def enter(self, lines: int, stream: asyncio.StreamWriter) -> float:
        """Take in a message of so many lines; return the time of its arrival.

        What waits for a stream that a proxy broke is lost and counts no more.
        """
        now = self.day.record.now()
        while self.waiting and self.waiting[0][0] <= now:
            self.waiting.popleft()
        cost = lines + self.overhead
        self.busy_until = max(self.busy_until, now) + cost / self.rate
        self.waiting.append((self.busy_until, cost, stream))
        open_streams = {id(proxy.writer) for proxy in self.day.proxies}
        waiting = sum(entry[1] for entry in self.waiting if id(entry[2]) in open_streams)
        self.most_waiting = max(self.most_waiting, waiting)
        limit = float(self.day.settings["specifics"]["pendingMax"])
        if waiting > limit:
            self.day.broken("short queue", f"{waiting:.0f} lines wait, the limit is {limit:.0f}")
        return self.busy_until + self.transit

    def clear(self) -> None:
        """Drop what waits: the manager was killed."""
        self.busy_until = 0.0
        self.waiting.clear()


class Proxy:
    """One proxy: it does as its tables say, and sends requests at a steady rate."""

    def __init__(self, day: "Day", number: int, zone: str, rate: float) -> None:
        self.day = day
        self.number = number
        self.zone = zone
        self.rate = rate
        self.rng = random.Random(f"{day.seed} proxy {number}")
        self.tables: dict[str, dict[str, float]] = {name: {} for name in day.class_names}
        self.levels: dict[str, float] = dict.fromkeys(day.class_names, 1.0)
        self.ejected: set[str] = set()
        self.holds_ordered_table = False
        self.writer: asyncio.StreamWriter | None = None
        self.joined_at: float | None = None
        self.message_times: deque[float] = deque()
        self.bare_since: dict[str, float] = {}
        self.counts: dict[ReportKey, list[int]] = {}
        usual = day.settings["specifics"]["usualHow"]
        self.policies: dict[str, int] = dict.fromkeys(day.class_names, usual)
        self.failures_in_row: dict[str, int] = {}
        self.avoided: dict[str, float] = {}
        self.redial_after = 0.0
        self.stopped = False
        self.most_messages = 0

    def start_with(self, workers: list[str]) -> None:
        """Begin with a standing table of these workers, as a proxy that has just started."""
        self.tables = {name: dict.fromkeys(workers, 1.0) for name in self.day.class_names}
        self.levels = dict.fromkeys(self.day.class_names, 1.0)
        self.ejected = set()
        self.holds_ordered_table = False

    async def run(self) -> None:
        """Keep a stream to the manager, until the day ends."""
        while not self.stopped:
            delay = self.redial_after - self.day.record.now()
            if delay > 0:
                await asyncio.sleep(delay)
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self._one_stream()
            self._left()
            await asyncio.sleep(self.rng.uniform(*self.day.redial_s))

    async def _one_stream(self) -> None:
        reader, writer = await asyncio.open_connection(
            HOST, self.day.manager.port, limit=MAX_LINE_BYTES + 1
        )
        self.writer = writer
        self.day.writers.append(writer)
        hello = {
            "@type": "hello",
            "id": self.number,
            "site": self.zone,
            "rps": self.rate,
            "new": not self.holds_ordered_table,
        }
        writer.write(json.dumps(hello).encode() + b"\n")
        await writer.drain()
        self.joined_at = self.day.record.now()
        self.message_times.clear()
        self.day.record.write("joined", f"proxy={self.number} new={hello['new']}")
        updates: list[JsonObject] = []
        while True:
            update = json.loads(await reader.readuntil(b"\n"))
            if update.get("@type") != "push":
                raise OSError("an unexpected message")
            updates.append(update)
            if not update.get("continued"):
                self._take_in(updates, writer)
                updates = []

    def break_stream(self, away_s: float = 0.0) -> None:
        """Break the stream; the proxy dials again after at least so many seconds."""
        self.redial_after = self.day.record.now() + away_s
        if self.writer is not None:
            self.day.record.write("broke", f"proxy={self.number}")
            self.writer.transport.abort()
            self._left()

    def _left(self) -> None:
        if self.joined_at is not None:
            self.day.record.write("left", f"proxy={self.number}")
        if self.writer is not None:
            self.writer.close()
        self.writer = None
        self.joined_at = None
        self.bare_since.clear()

    def _take_in(self, updates: list[JsonObject], writer: asyncio.StreamWriter) -> None:
        """Pass a whole message through the channel."""
        now = self.day.record.now()
        lines = sum(
            len(update.get("endpoints") or ())
            + len(update.get("eject") or ())
            + len(update.get("restore") or ())
            + ("admit" in update)
            + ("nonce_out" in update)
            + bool(update.get("full"))
            for update in updates
        )
        specifics = self.day.settings["specifics"]
        most, span = specifics["messagesMost"], specifics["reloadSpanUs"] / 1e6
        self.message_times.append(now)
        while self.message_times[0] <= now - span:
            self.message_times.popleft()
        self.most_messages = max(self.most_messages, len(self.message_times))
        if 0 < most < len(self.message_times):
            self.day.broken(
                "short queue", f"proxy {self.number}: {len(self.message_times)} in {span:.0f} s"
            )
        self.day.record.write(
            "message", f"proxy={self.number} lines={lines} {json.dumps(updates)[:2000]}"
        )
        arrival = self.day.channel.enter(lines, writer)
        asyncio.get_running_loop().call_later(
            max(arrival - now, 0.0), self._apply, updates, writer, now
        )

    def _apply(
        self, updates: list[JsonObject], writer: asyncio.StreamWriter, ordered_at: float
    ) -> None:
        """Apply a message that has arrived, unless its stream has ended meanwhile."""
        if writer is not self.writer or writer.is_closing():
            return
        now = self.day.record.now()
        for update in updates:
            for name in update.get("routes") or self.day.class_names:
                if update.get("full"):
                    self.tables[name] = {}
                    self.levels[name] = 1.0
                    self.policies[name] = self.day.settings["specifics"]["usualHow"]
                for worker, weight in update.get("endpoints") or ():
                    if weight:
                        self.tables[name][worker] = weight
                    else:
                        self.tables[name].pop(worker, None)
                if "admit" in update:
                    self.levels[name] = update["admit"]
                    self.policies[name] = update["policy"]
            self.ejected |= set(update.get("eject") or ())
            self.ejected -= set(update.get("restore") or ())
            if "nonce_out" in update:
                ack = {
                    "@type": "ack",
                    "id": self.number,
                    "seq": update["nonce_out"],
                    "ms": round(1000.0 * (now - ordered_at), 1),
                }
                writer.write(json.dumps(ack).encode() + b"\n")
        self.holds_ordered_table = True
        self.day.record.write("applied", f"proxy={self.number}")

    def usable(self, class_name: str) -> dict[str, float]:
        """Return the lines that it can pick for a class."""
        return {
            worker: weight
            for worker, weight in self.tables[class_name].items()
            if worker not in self.ejected and self.day.is_open(class_name, worker, self.zone)
        }

    def send_request(self) -> None:
        """Send one request by the tables, and judge where it went."""
        class_name = self.rng.choices(self.day.class_names, self.day.class_shares)[0]
        self._count((self.number, class_name), 1)
        if self.rng.random() < self.levels[class_name]:
            self._try(class_name, ())

    def _try(self, class_name: str, tried: tuple[str, ...]) -> None:
        """Try a worker; a try that was refused is followed by one at another worker if ordered."""
        now = self.day.record.now()
        lines = {w: x for w, x in self.usable(class_name).items() if w not in tried}
        lines = {w: x for w, x in lines.items() if self.avoided.get(w, 0.0) <= now} or lines
        if not lines:
            self._count((self.number, class_name), 0, 1)
            return
        worker = self.rng.choices(list(lines), list(lines.values()))[0]
        outcome, after = self.day.outcome(worker)
        self.day.record.write("sent", f"proxy={self.number} {class_name} {worker} {outcome}")
        self.day.judge_send(self, worker)
        asyncio.get_running_loop().call_later(
            after, self._note_outcome, class_name, worker, outcome == "answered"
        )
        if outcome == "refused" and self.policies[class_name] and not tried:
            self._try(class_name, (worker,))

    def _note_outcome(self, class_name: str, worker: str, answered: bool) -> None:
        """Count a try that has ended, and keep away from a worker that failed too often."""
        self._count(worker, 1, not answered)
        if answered:
            self.failures_in_row[worker] = 0
            return
        self._count((self.number, class_name), 0, 1)
        self.failures_in_row[worker] = self.failures_in_row.get(worker, 0) + 1
        limit = self.day.settings["specifics"]["ejects"]
        if limit and self.failures_in_row[worker] % limit == 0:
            self.avoided[worker] = self.day.record.now() + AVOIDED_FOR_S

    def _count(self, key: ReportKey, count: int, failed: int = 0) -> None:
        entry = self.counts.setdefault(key, [0, 0])
        entry[0] += count
        entry[1] += failed

    def hand_over_counts(self, sums: dict[ReportKey, list[float]], now: float) -> None:
        """Add what it counted to its zone's sums."""
        for key, (count, failed) in self.counts.items():
            entry = sums.setdefault(key, [0, 0, now - 1.0])
            entry[0] += count
            entry[1] += failed
        self.counts.clear()

    def judge_bare(self) -> None:
        """Judge whether it has been without a line for too long."""
        if self.joined_at is None:
            return
        now = self.day.record.now()
        for class_name in self.day.class_names:
            owed = [
                worker
                for worker in self.day.warm_workers()
                if self.day.is_open(class_name, worker, self.zone)
            ]
            if self.usable(class_name) or not owed:
                self.bare_since.pop(class_name, None)
                continue
            since = self.bare_since.setdefault(class_name, max(now, self.day.judged_from))
            limit = self.day.settings["specifics"]["emptyForUs"] / 1e6 + SOCKET_SLACK_S
            if now - since > limit:
                self.day.broken(
                    "no proxy without a worker",
                    f"proxy {self.number} has had no line for {class_name} for {now - since:.2f} s",
                )


class ManagerProcess:
    """The manager: started with the deploy file's `run` from the repository's root."""

    def __init__(self, day: "Day") -> None:
        self.day = day
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.ended_on_purpose = False
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = str(tomllib.load(file)["run"])

    def write_config(self) -> None:
        """Write the configuration file, with the list as the manager last held it."""
        discovery = self.day.discovery
        known = [entry for entry in self.day.known_entries if entry["lifecycle"] != "gone"]
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": f"{random.Random(f'{self.day.seed} {self.starts}').getrandbits(64):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": self.day.settings,
        }
        path = self.day.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config), encoding="utf-8")
        path.with_suffix(".new").replace(path)

    async def start(self) -> None:
        """Start it and wait until it answers a probe."""
        self.starts += 1
        self.write_config()
        scratch = self.day.folder / f"tmp-{self.starts}"
        scratch.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(scratch),
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_DISCOVERY": f"{HOST}:{self.day.discovery.port}",
            "ROUTER_CONFIG": str(self.day.folder / "config.json"),
        }
        log = (self.day.folder / f"manager-{self.starts}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.ended_on_purpose = False
        self.day.discovery.forget_told()
        self.day.discovery.note_told(self.day.known_entries, reset=True)
        give_up_at = time.monotonic() + READY_LIMIT_S
        while not await self._answers_probe():
            if self.process.returncode is not None or time.monotonic() > give_up_at:
                raise CaseError("the manager did not become ready")
            await asyncio.sleep(0.05)
        now = self.day.record.now()
        self.day.judged_from = now + FIRST_ANSWER_SLACK_S
        self.day.record.write("ready", f"start={self.starts} pid={self.process.pid}")

    async def _answers_probe(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b'{"@type":"probe"}\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b"alive" in line

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        if self.process.returncode is None:
            self.day.record.write("signal", f"{number.name} to the manager")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill it outright."""
        assert self.process is not None
        self.ended_on_purpose = True
        self.signal(signal.SIGKILL)
        await self.process.wait()
        self.day.channel.clear()
        self.day.known_entries = self.day.discovery.entries()

    async def stop(self) -> None:
        """End it as a planned restart does: SIGTERM, and SIGKILL 0.7 s later if need be."""
        assert self.process is not None
        self.ended_on_purpose = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 0.7)
        except TimeoutError:
            await self.kill()

    def copy_logs(self) -> None:
        """Copy what the managers logged to the record."""
        for path in sorted(self.day.folder.glob("manager-*.log")):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                self.day.record.write("log", f"{path.stem} {line[:1000]}")

    def judge_alive(self) -> None:
        """Judge whether it has crashed."""
        if self.process is None or self.ended_on_purpose:
            return
        if self.process.returncode is not None:
            self.day.broken("no crash", f"the manager ended with {self.process.returncode}")
            self.ended_on_purpose = True


class Day:
    """One day: settings, parts, the timeline of the case, and the verdict."""

    def __init__(  # noqa: PLR0913, PLR0917 - what a case chooses
        self,
        case_folder: Path,
        settings: JsonObject,
        workers: list[Worker],
        rule: str,
        seed: int = 1,
        class_shares: tuple[float, ...] = (0.6, 0.4),
    ) -> None:
        self.case_folder = case_folder
        self.settings = settings
        self.rule = rule
        self.seed = seed
        self.class_names = [lane["name"] for lane in settings["lanes"]]
        self.class_shares = list(class_shares)
        self.home_only = settings["specifics"].get("homeOnly") or []
        self.workers = {worker.name: worker for worker in workers}
        self.record = Record(case_folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.discovery = Discovery(self.record, f"{HOST}:{free_port()}")
        self.known_entries: list[JsonObject] = []
        self.channel = Channel(self)
        self.manager = ManagerProcess(self)
        self.proxies: list[Proxy] = []
        self.judged_from = 0.0
        self.redial_s = (0.4, 1.9)
        self.report_delay_s = 0.5
        self.latency_ms = 160.0
        self.breaks: dict[str, list[str]] = {}
        self.sums: dict[str, dict[ReportKey, list[float]]] = {zone: {} for zone in settings["dcs"]}
        self.tasks: list[asyncio.Task[None]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.most_late = 0.0
        self.has_ended = False

    def add_proxies(self, count: int, zones: list[str], rate: float) -> None:
        """Add proxies that begin with a standing table, as the wire's page says.

        It is drawn in the proxy's zone if three workers are there, else from the whole list.
        """
        for number in range(count):
            proxy = Proxy(self, number, zones[number % len(zones)], rate)
            local = [worker.name for worker in self.workers.values() if worker.zone == proxy.zone]
            if len(local) < LEAST_LOCAL_WORKERS:
                local = list(self.workers)
            most = self.settings["specifics"]["initialSet"]
            proxy.start_with(proxy.rng.sample(local, min(most, len(local))))
            self.proxies.append(proxy)

    # The rules.

    def broken(self, rule: str, text: str) -> None:
        """Note that a rule was broken."""
        if rule not in self.breaks:
            self.breaks[rule] = []
        if len(self.breaks[rule]) < 40:
            self.breaks[rule].append(f"{self.record.now():.3f} {text}")
        self.record.write("BROKEN", f"{rule}: {text}")

    def is_open(self, class_name: str, worker: str, zone: str) -> bool:
        """Whether a worker is open to a class of a proxy in this zone."""
        position = self.class_names.index(class_name)
        if position < len(self.home_only) and self.home_only[position]:
            return worker in self.workers and self.workers[worker].zone == zone
        return True

    def warm_workers(self) -> list[str]:
        """Return the workers that the manager has as ready and no longer cold."""
        return self.discovery.warm_ready(self.settings["rules"]["coldUs"] / 1e6)

    def outcome(self, name: str) -> tuple[str, float]:
        """Return how a worker takes a try that is sent now, and after how many seconds it ends."""
        worker = self.workers[name]
        if worker.lifecycle == "gone":
            return "refused", 0.0
        if worker.silent:
            return "given up", GIVEN_UP_AFTER_S
        return "answered", self.latency_ms / 1000.0

    def judge_send(self, proxy: Proxy, worker: str) -> None:
        """Judge one send of a proxy by the rule on drains."""
        since = self.discovery.withdrawn_since(worker)
        if since is None or proxy.joined_at is None:
            return
        now = self.record.now()
        grace = self.settings["rules"]["drainGraceUs"] / 1e6 + SOCKET_SLACK_S
        begins = max(since, proxy.joined_at, self.judged_from)
        if now > begins + grace:
            self.broken(
                "drains kept",
                f"proxy {proxy.number} sent to {worker} {now - since:.2f} s after the manager was "
                f"told and {now - proxy.joined_at:.2f} s after it joined, the grace is "
                f"{grace - SOCKET_SLACK_S:.2f} s",
            )

    # Traffic and reports.

    async def _drive_proxy(self, proxy: Proxy) -> None:
        while True:
            await asyncio.sleep(proxy.rng.uniform(0.5, 1.5) / proxy.rate)
            proxy.send_request()

    async def _judge(self) -> None:
        while True:
            slept_at = self.record.now()
            await asyncio.sleep(0.05)
            lateness = self.record.now() - slept_at - 0.05
            self.most_late = max(self.most_late, lateness)
            for proxy in self.proxies:
                proxy.judge_bare()
            self.manager.judge_alive()

    async def _collect(self, zone: str) -> None:
        """Play a zone's collector: sums of what its proxies met, once each cycle."""
        cycle = self.settings["specifics"]["cycleUs"] / 1e6
        writer: asyncio.StreamWriter | None = None
        while True:
            await asyncio.sleep(cycle)
            lines = self._take_sums(zone)
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection(HOST, self.manager.port)
                    self.writers.append(writer)
                    writer.write(json.dumps({"@type": "agent", "site": zone}).encode() + b"\n")
                asyncio.get_running_loop().call_later(
                    self.report_delay_s, self._report, writer, lines
                )
            except OSError:
                writer = None

    def _report(self, writer: asyncio.StreamWriter, lines: list[JsonObject]) -> None:
        if not (writer.is_closing() or self.has_ended):
            writer.write(b"".join(json.dumps(line).encode() + b"\n" for line in lines))

    def _take_sums(self, zone: str) -> list[JsonObject]:
        """Return the next lines of a zone, the oldest first; the rest adds up and follows.

        The zones share the number of lines that the manager may be given.
        """
        now = self.record.now()
        for proxy in self.proxies:
            if proxy.zone == zone and proxy.joined_at is not None:
                proxy.hand_over_counts(self.sums[zone], now)
        cycle = self.settings["specifics"]["cycleUs"] / 1e6
        most = int(self.settings["specifics"]["hearsPerS"] * cycle / len(self.sums))
        lines: list[JsonObject] = []
        for key in list(self.sums[zone])[:most]:
            count, failed, since = self.sums[zone].pop(key)
            line: JsonObject = {"count": count, "fail": failed, "over": 1000.0 * (now - since)}
            if isinstance(key, str):
                mean = self.latency_ms if count > failed else 0.0
                line |= {"@type": "outcomes", "site": zone, "target": key, "mean": mean}
            else:
                line |= {"@type": "demand", "id": key[0], "lane": key[1]}
            lines.append(line)
        return lines

    # The course of the day.

    async def _play(self, timeline: Callable[["Day"], Awaitable[None]]) -> None:
        for worker in self.workers.values():
            self.discovery.workers[worker.name] = worker
            self.discovery.changed_in[worker.name] = 1
        await self.discovery.start()
        self.known_entries = self.discovery.entries()
        await self.manager.start()
        for proxy in self.proxies:
            self.tasks.append(asyncio.create_task(proxy.run()))
            self.tasks.append(asyncio.create_task(self._drive_proxy(proxy)))
        self.tasks += [asyncio.create_task(self._collect(zone)) for zone in self.settings["dcs"]]
        self.tasks.append(asyncio.create_task(self._judge()))
        await timeline(self)

    async def _run(self, timeline: Callable[["Day"], Awaitable[None]]) -> None:
        try:
            await self._play(timeline)
            failed = [task for task in self.tasks if task.done() and task.exception()]
            if failed:
                raise CaseError(f"a stand-in failed: {failed[0].exception()!r}")
        finally:
            self.has_ended = True
            for proxy in self.proxies:
                proxy.stopped = True
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            if self.manager.process is not None and self.manager.process.returncode is None:
                await self.manager.stop()
            for writer in (*self.writers, *self.discovery.writers):
                writer.transport.abort()
            await asyncio.sleep(0.1)

    def _end_at_once(self, *_: object) -> None:
        """End the manager and this process, as somebody ends the case."""
        process = self.manager.process
        if process is not None and process.returncode is None:
            process.kill()
        self.temporary.cleanup()
        os._exit(COULD_NOT_RUN)

    def run(self, timeline: Callable[["Day"], Awaitable[None]]) -> int:
        """Play the day; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
        status = RULE_HELD
        signal.signal(signal.SIGTERM, self._end_at_once)
        try:
            asyncio.run(self._run(timeline))
        except Exception as error:  # whatever fails here says nothing of the manager
            print(f"could not run: {error!r}", file=sys.stderr)
            status = COULD_NOT_RUN
        finally:
            self.manager.copy_logs()
            self.temporary.cleanup()
        most = max((proxy.most_messages for proxy in self.proxies), default=0)
        self.record.write(
            "figures",
            f"most_waiting={self.channel.most_waiting:.0f} most_messages_to_one_proxy={most}"
            f" latest_judgement_s={self.most_late:.3f}",
        )
        for rule, texts in self.breaks.items():
            print(f"{rule}: broken {len(texts)} times or more, first: {texts[0]}")
        if self.most_late > MAX_LATENESS_S:
            print(f"the stand-ins ran {self.most_late:.2f} s late", file=sys.stderr)
            status = COULD_NOT_RUN
        if status == RULE_HELD and self.rule in self.breaks:
            status = RULE_BROKEN
        self.record.write("verdict", f"status={status} rule={self.rule} {list(self.breaks)}")
        self.record.file.close()
        print(f"{self.rule}: status {status}, at most {most} messages to one proxy within the span")
        return status


def settings(  # noqa: PLR0913 - what a case chooses
    *,
    zones: list[str],
    zone: str,
    proxies: int,
    lanes: list[JsonObject],
    specifics: JsonObject,
    rules: JsonObject,
    probes: bool = False,
) -> JsonObject:
    """Return the settings of a small deployment, in the form of the simulator's first message."""
    return {
        "balancers": 1,
        "blend": {"whole": 0.7, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
        "caps": {
            "connIdleUs": 15000000,
            "cpuUsPerS": 564461,
            "dialTimeoutUs": 250000,
            "peers": False,
            "probes": probes,
            "streamsPerConn": 32,
        },
        "countedBy": "request",
        "dcs": zones,
        "family": "control",
        "kinds": ["std"],
        "lanes": lanes,
        "me": 0,
        "membershipMode": "automatic",
        "reporting": {"fields": [], "how": "none"},
        "roundUs": 4000,
        "rules": {"askEveryUs": 10000000, **rules},
        "specifics": {
            "admit": "ratio",
            "bufferForUs": 300000,
            "cycleUs": 500000,
            "ejects": 0,
            "hearsPerS": 100.0,
            "homeOnly": [False] * len(lanes),
            "homedByZone": True,
            "initialSet": 6,
            "keyRanges": 0,
            "leaseUs": 2500000,
            "lingersUs": 2020000,
            "minConnCap": 276.0,
            "perTry": 1.2,
            "pick": "lottery",
            "proxyCount": proxies,
            "pushPrice": 0.02,
            "reloadSpanUs": 10000000,
            "shiftFee": 0.0,
            "soleOwner": False,
            "usualHow": 1,
            "warmKeys": False,
            "writers": [False] * len(lanes),
            **specifics,
        },
        "weightKind": "nominal",
        "zone": zone,
    }


def lane(name: str, aim_ms: float, limit_ms: float, worth: float) -> JsonObject:
    """Return a class of requests that may run again."""
    return {
        "aimUs": aim_ms * 1000,
        "effect": "pure",
        "group": "all",
        "hardLimitUs": limit_ms * 1000,
        "lateShare": 0.1,
        "name": name,
        "points": worth,
        "windowUs": 5000000,
    }
