"""Plays a day: starts every part as its own process, walks the timeline, ends all of it within its time."""

import json
import os
import secrets
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from subprocess import PIPE
from typing import Any

import trio

from dunlinlug import terms as manager_terms
from dunlinlug.config import Book, units
from dunlinlug.day import terms
from dunlinlug.day.record import Record
from dunlinlug.day.relay import Relays, Weather
from dunlinlug.day.troubles import Cast, Step, Troubles, drawn

PORTS = range(
    12000, 30000
)  # on a loopback address of the day's own, so that a port that is down stays ours
READY, ENDING = 20.0, 4.0  # seconds to start up, and to end before being killed
SLICE = 0.1  # seconds from one stop of a slow process to the next: as a scheduler shares a full machine out
MANAGER = (sys.executable, "-m", "dunlinlug", "manager")


class DayFault(Exception):
    """The day could not be played; says which part and why."""


class Places:
    """Free addresses, none twice. Danger: on 127.0.0.1 another day's, or an outgoing port, could take a place that
    is down for a moment; so a day has a loopback address of its own."""

    def __init__(self) -> None:
        self.chance = Random(f"{os.getpid()} {time.time_ns()}")
        self.host = ".".join(["127", *(str(self.chance.randint(1, 254)) for _ in range(3))])
        self.ports = iter(self.chance.sample(PORTS, len(PORTS)))

    def take(self) -> str:
        for port in self.ports:
            with socket.socket() as attempt:
                try:
                    attempt.bind((self.host, port))
                except OSError:
                    continue
            return f"{self.host}:{port}"
        raise DayFault("no free port")


def lay_out(day_file: Path, run_file: Path, folder: Path, places: Places) -> Book:
    """Give every part its address and write the run file that all stand-ins read."""
    book = terms.read(day_file)
    fleet, proxies, load = book.one(terms.Fleet), book.one(terms.Proxies), book.one(terms.Load)
    chance = Random(book.one(terms.Day).seed)
    extra: dict[str, dict[str, str]] = {
        "manager": {"listen": places.take(), "store": str(folder / "store"), "log": "json"},
        "roster": {"address": places.take()},
    }
    for n in range(fleet.workers):
        cores, _, speed = fleet.kinds[n % len(fleet.kinds)].partition("x")
        listed = float(cores) * float(speed) * chance.uniform(0.9, 1.1) / 2.0
        extra[f"worker {places.take()}"] = {
            "zone": fleet.zones[n % len(fleet.zones)],
            "cores": cores,
            "speed": speed,
            "weight": f"{listed:.2f}",
        }
    rates = [chance.lognormvariate(0.0, 0.5) for _ in range(proxies.count)]
    for n, rate in enumerate(rates):
        extra[f"proxy p{n}"] = {
            "zone": fleet.zones[n % len(fleet.zones)],
            "address": places.take(),
            "group": str(n % proxies.processes),
            "rate": f"{rate / sum(rates) * load.txns_per_s:.3f}",
        }
    knows = bool(book.one(manager_terms.Members).me)
    for name in book.many(manager_terms.Member):
        extra[f"member {name}"] = {
            "serves": places.take(),
            "knows" if knows else "peers": places.take(),
        }
    if book.many(manager_terms.Member):
        key = folder / "key"
        key.write_text(secrets.token_hex(32))
        key.chmod(0o600)
        extra["succession"] = {"key_file": str(key)}
        if knows:
            extra["members"] = {"key_file": str(key)}
    terms.copy_sections(day_file, extra, None, run_file)
    return terms.read(run_file)


class Part:
    """One process of the day."""

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name, self.process = name, process

    async def tell(self, command: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        await self.process.stdin.send_all(json.dumps(command).encode() + b"\n")

    async def ready(self) -> None:
        assert self.process.stdout is not None
        with trio.move_on_after(READY):
            if b"ready" in await self.process.stdout.receive_some():
                return
        raise DayFault(f"{self.name} did not start")

    async def end(self) -> None:
        """Ask, then insist; leaves no process."""
        with trio.CancelScope(shield=True):
            if self.process.stdin is not None:
                await self.process.stdin.aclose()
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGCONT)
            with trio.move_on_after(ENDING):
                if self.name == "manager" and self.process.returncode is None:
                    self.process.terminate()
                await self.process.wait()
            if self.process.returncode is None:
                self.process.kill()
                await self.process.wait()


class Player:
    """One day in one folder."""

    def __init__(self, day_file: Path, folder: Path, manager: Sequence[str] = MANAGER) -> None:
        self.folder, self.command = folder, manager
        folder.mkdir(parents=True, exist_ok=True)
        self.run_file = folder / "run.ini"
        self.places = Places()
        self.book = lay_out(day_file, self.run_file, folder, self.places)
        self.only = frozenset({*manager_terms.SINGLE, *manager_terms.NAMED})
        self.members = list(self.book.many(manager_terms.Member)) or [""]
        self.weather = Weather(Random(f"{self.book.one(terms.Day).seed} weather"))
        self.doors = self._doors()
        self._write_manager({})
        self.record = Record(folder / "day.jsonl")
        self.zones = {name: place.zone for name, place in self.book.many(terms.WorkerPlace).items()}
        self.parts: dict[str, Part] = {}
        self.managers: dict[str, Part] = {}  # by member; one without a name where it stands alone
        self.struck = ""  # the member that was master when a trouble struck it

    @property
    def manager(self) -> Part | None:
        return next(iter(self.managers.values()), None)

    def _doors(self) -> dict[str, str]:
        """By member where it listens, behind the relays."""
        return (
            {one: self.places.take() for one in self.members}
            if self.book.one(manager_terms.Members).me
            else {}
        )

    def file_of(self, member: str, ending: str) -> Path:
        return self.folder / f"manager{'-' * bool(member)}{member}.{ending}"

    def _write_manager(self, extra: dict[str, dict[str, str]]) -> None:
        for member in self.members:
            own = dict(extra)
            if member:
                host, port = self.book.many(manager_terms.Member)[member].serves
                own["manager"] = {
                    "listen": f"{host}:{port}",
                    "store": str(self.folder / f"store-{member}"),
                }
                own["succession"] = {"member": member}
            if member and self.doors:
                own["members"] = {"me": member, "binds": self.doors[member]}
            terms.copy_sections(self.run_file, own, self.only, self.file_of(member, "ini"))

    def master(self) -> str:
        """The member whose log tells of the highest term; without members the one manager."""
        terms_led = [
            (int(line["term"]), member)
            for member in self.members
            if member
            for line in self.said(member, "succession.leads")
        ]
        return max(terms_led, default=(0, self.members[0]))[1]

    def said(self, member: str, event: str) -> list[dict[str, Any]]:
        """Log lines of a manager about an event, so far."""
        path = self.file_of(member, "log")
        lines = path.read_text().splitlines() if path.exists() else []
        return [
            json.loads(line)
            for line in lines
            if f'"event": "{event}"' in line and line.endswith("}")
        ]

    def steps(self) -> list[Step]:
        proxies = {name: place.zone for name, place in self.book.many(terms.ProxyPlace).items()}
        cast = Cast(self.zones, proxies, self.book.one(terms.Fleet).notice, tuple(self.members))
        chance = Random(f"{self.book.one(terms.Day).seed} troubles")
        day = self.book.one(terms.Day)
        by_chance = drawn(self.book.one(terms.Faults), day.length, Random(f"{day.seed} faults"))
        return Troubles(cast, chance).steps([*self.book.many(terms.Trouble).values(), *by_chance])

    async def play(self) -> None:
        """The whole day; raises DayFault, and leaves no process either way."""
        day = self.book.one(terms.Day)
        deadline = max(ware.deadline for ware in self.book.many(manager_terms.Ware).values())
        whole = day.lead + day.length + deadline + 1.0
        try:
            with trio.fail_after(whole + 2 * READY):
                async with self._relays(), self._cast(), trio.open_nursery() as self.nursery:
                    self.record.write("begin", lead=day.lead, length=day.length, wall=time.time())
                    begun = trio.current_time()
                    for step in self.steps():
                        await trio.sleep_until(begun + day.lead + step.at)
                        self._see_all()
                        await self._do(step)
                    await trio.sleep_until(begun + whole)
                    self._see_all()
                    self.record.write("end")
                    self.nursery.cancel_scope.cancel()
        except trio.TooSlowError:
            raise DayFault("the day did not end within its time") from None
        except ExceptionGroup as group:  # a fault of the day's, out of the nurseries around it
            faults: BaseException | None = group.subgroup(DayFault)
            if faults is None:
                raise
            while isinstance(faults, ExceptionGroup):
                faults = faults.exceptions[0]
            assert faults is not None
            raise faults from None
        finally:
            self.record.close()

    @asynccontextmanager
    async def _relays(self) -> AsyncIterator[None]:
        """Every word between managers that know each other goes through a door of ours."""
        real = {member: units.address(door) for member, door in self.doors.items()}
        members = self.book.many(manager_terms.Member)
        relays = Relays(self.weather, real)
        async with trio.open_nursery() as nursery:
            for one in self.doors:
                await nursery.start(relays.serve, one, members[one].knows)
            try:
                yield
            finally:
                nursery.cancel_scope.cancel()

    @asynccontextmanager
    async def _cast(self) -> AsyncIterator[None]:
        standins = {"roster": ["roster", str(self.run_file)]}
        standins |= {
            f"workers-{zone}": ["worker", str(self.run_file), "--zone", zone]
            for zone in self.book.one(terms.Fleet).zones
        }
        standins |= {
            f"proxies-{n}": ["proxy", str(self.run_file), "--group", str(n)]
            for n in range(self.book.one(terms.Proxies).processes)
        }
        try:
            for name, words in standins.items():
                self.parts[name] = await self._start(name, words)
            for part in self.parts.values():
                await part.ready()
            for member in self.members:
                await self._start_manager(member)
            self.record.write("manager", do="start")
            self.parts["callers"] = await self._start("callers", ["callers", str(self.run_file)])
            await self.parts["callers"].ready()
            yield
        finally:
            for name in ("callers", *[name for name in self.parts if name != "callers"]):
                if name in self.parts:
                    await self.parts[name].end()
            for part in self.managers.values():
                await part.end()

    async def _start(self, name: str, words: list[str]) -> Part:
        record = str(self.folder / f"{name}.jsonl")
        command = [sys.executable, "-m", "dunlinlug", "stand-in", *words, "--record", record]
        with (self.folder / f"{name}.err").open("ab") as errors:
            process = await trio.lowlevel.open_process(
                command, stdin=PIPE, stdout=PIPE, stderr=errors
            )
        return Part(name, process)

    async def _start_manager(self, member: str) -> None:
        command = [*self.command, str(self.file_of(member, "ini")), "--until-input-closes"]
        if drift := self.book.one(terms.Day).drift:
            ahead = self.members.index(member) % 2 == 0
            command += ["--clock-rate", f"{1 + drift if ahead else 1 - drift:g}"]
        with self.file_of(member, "log").open("ab") as log:
            process = await trio.lowlevel.open_process(command, stdin=PIPE, stderr=log)
        self.managers[member] = Part("manager", process)

    def _see_all(self) -> None:
        """Danger: a part that died unseen would leave records in which nothing is broken."""
        dead = [
            part.name
            for part in [*self.parts.values(), *self.managers.values()]
            if part.process.poll() not in (None, -signal.SIGKILL)
        ]
        if dead:
            raise DayFault(f"{', '.join(dead)} ended during the day")

    async def _do(self, step: Step) -> None:
        self.record.write(
            "step",
            target=step.target,
            **{key: value for key, value in step.command.items() if key != "proxies"},
        )
        if step.target == "workers":
            await self.parts[f"workers-{self.zones[step.command['worker']]}"].tell(step.command)
        elif step.target == "proxies":
            for name, part in self.parts.items():
                if name.startswith("proxies"):
                    await part.tell(step.command)
        elif step.target == "roster":
            await self.parts["roster"].tell(step.command)
        elif step.target == "members":
            self.weather.obey(step.command)
        else:
            await self._to_manager(step.command)

    async def _to_manager(self, command: dict[str, Any]) -> None:
        if command["do"] in ("kill", "stall", "halt"):
            self.struck = self.master()
        process = self.managers[self.struck or self.members[0]].process
        # With others to take over a manager's trouble excuses nothing: only one that stands alone is on record.
        alone = len(self.members) == 1 or command["do"] in ("slow", "pace")
        self.record.write(
            "manager" if alone else "member",
            do=command["do"],
            size=command.get("size"),
            member=self.struck,
        )
        match command["do"]:
            case "kill":
                process.kill()
                await process.wait()
            case "start":
                await self.managers[self.struck].end()
                await self._start_manager(self.struck)
            case "stall":
                process.send_signal(signal.SIGSTOP)
            case "go on":
                process.send_signal(signal.SIGCONT)
            case "halt":
                self.nursery.start_soon(self._halting, process, command["size"], command["lasts"])
            case "slow":
                pace = self.book.one(manager_terms.Outlet).lines_per_s / command["size"]
                self._write_manager({"channel": {"pace": f"{pace:g}/s"}})
                self._reload()
            case "pace":
                self._write_manager({})
                self._reload()

    @staticmethod
    async def _halting(process: trio.Process, part: float, lasts: float) -> None:
        """As on a machine that others crowd: it runs in slices, and is stopped for this part of the time."""
        try:
            with trio.move_on_after(lasts):
                while process.returncode is None:
                    process.send_signal(signal.SIGSTOP)
                    await trio.sleep(part * SLICE)
                    process.send_signal(signal.SIGCONT)
                    await trio.sleep((1.0 - part) * SLICE)
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    def _reload(self) -> None:
        for part in self.managers.values():
            part.process.send_signal(signal.SIGHUP)
