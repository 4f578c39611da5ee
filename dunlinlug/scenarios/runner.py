"""Plays a day: starts every part as its own process, walks the timeline, ends all of it within its
time.
"""

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

from dunlinlug.config import manager_config as manager_terms
from dunlinlug.config import units
from dunlinlug.config.reader import ConfigFile
from dunlinlug.errors import DunlinlugError
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.faults import FaultTargets, FaultTimeline, TimelineStep, draw_faults
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.scenarios.relay import LinkConditions, LinkRelays

PORT_RANGE = range(
    12000, 30000
)  # on a loopback address of the day's own, so that a port that is down stays ours
# seconds to start up, and to end before being killed
STARTUP_TIMEOUT = 20.0
SHUTDOWN_TIMEOUT = 4.0
# seconds from one stop of a slow process to the next: as a scheduler shares a full machine out
SLOW_CYCLE = 0.1
MANAGER_COMMAND = (sys.executable, "-m", "dunlinlug", "manager")


class ScenarioError(DunlinlugError):
    """The day could not be played; says which part and why."""


class AddressAllocator:
    """Free addresses, none twice. Danger: on 127.0.0.1 another day's, or an outgoing port, could
    take a place that is down for a moment; so a day has a loopback address of its own.
    """

    def __init__(self) -> None:
        self.rng = Random(f"{os.getpid()} {time.time_ns()}")
        self.host = ".".join(["127", *(str(self.rng.randint(1, 254)) for _ in range(3))])
        self.free_ports = iter(self.rng.sample(PORT_RANGE, len(PORT_RANGE)))

    def allocate(self) -> str:
        for port in self.free_ports:
            with socket.socket() as probe:
                try:
                    probe.bind((self.host, port))
                except OSError:
                    continue
            return f"{self.host}:{port}"
        raise ScenarioError("no free port")


def write_run_file(
    day_file: Path, run_file: Path, folder: Path, addresses: AddressAllocator
) -> ConfigFile:
    """Give every part its address and write the run file that all stand-ins read."""
    config = schema.read_scenario(day_file)
    fleet_config = config.section(schema.FleetConfig)
    proxies_config = config.section(schema.ProxiesConfig)
    load_config = config.section(schema.LoadConfig)
    rng = Random(config.section(schema.ScenarioConfig).seed)
    sections: dict[str, dict[str, str]] = {
        "manager": {"listen": addresses.allocate(), "store": str(folder / "store"), "log": "json"},
        "roster": {"address": addresses.allocate()},
    }
    for index in range(fleet_config.workers):
        cores, _, speed = fleet_config.kinds[index % len(fleet_config.kinds)].partition("x")
        weight = float(cores) * float(speed) * rng.uniform(0.9, 1.1) / 2.0
        sections[f"worker {addresses.allocate()}"] = {
            "zone": fleet_config.zones[index % len(fleet_config.zones)],
            "cores": cores,
            "speed": speed,
            "weight": f"{weight:.2f}",
        }
    rates = [rng.lognormvariate(0.0, 0.5) for _ in range(proxies_config.count)]
    for index, rate in enumerate(rates):
        sections[f"proxy p{index}"] = {
            "zone": fleet_config.zones[index % len(fleet_config.zones)],
            "address": addresses.allocate(),
            "group": str(index % proxies_config.processes),
            "rate": f"{rate / sum(rates) * load_config.requests_per_second:.3f}",
        }
    has_membership = bool(config.section(manager_terms.MembershipConfig).me)
    for name in config.sections(manager_terms.MemberConfig):
        sections[f"member {name}"] = {
            "serves": addresses.allocate(),
            "knows" if has_membership else "peers": addresses.allocate(),
        }
    if config.sections(manager_terms.MemberConfig):
        key_file = folder / "key"
        key_file.write_text(secrets.token_hex(32))
        key_file.chmod(0o600)
        sections["succession"] = {"key_file": str(key_file)}
        if has_membership:
            sections["members"] = {"key_file": str(key_file)}
    schema.copy_sections(day_file, sections, None, run_file)
    return schema.read_scenario(run_file)


class ScenarioProcess:
    """One process of the day."""

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name = name
        self.process = process

    async def send_command(self, command: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        await self.process.stdin.send_all(json.dumps(command).encode() + b"\n")

    async def wait_ready(self) -> None:
        assert self.process.stdout is not None
        with trio.move_on_after(STARTUP_TIMEOUT):
            if b"ready" in await self.process.stdout.receive_some():
                return
        raise ScenarioError(f"{self.name} did not start")

    async def stop(self) -> None:
        """Ask, then insist; leaves no process."""
        with trio.CancelScope(shield=True):
            if self.process.stdin is not None:
                await self.process.stdin.aclose()
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGCONT)
            with trio.move_on_after(SHUTDOWN_TIMEOUT):
                if self.name == "manager" and self.process.returncode is None:
                    self.process.terminate()
                await self.process.wait()
            if self.process.returncode is None:
                self.process.kill()
                await self.process.wait()


class ScenarioRunner:
    """One day in one folder."""

    def __init__(
        self, day_file: Path, folder: Path, manager: Sequence[str] = MANAGER_COMMAND
    ) -> None:
        self.folder = folder
        self.manager_command = manager
        folder.mkdir(parents=True, exist_ok=True)
        self.run_file = folder / "run.ini"
        self.addresses = AddressAllocator()
        self.config = write_run_file(day_file, self.run_file, folder, self.addresses)
        self.manager_sections = frozenset({*manager_terms.SECTIONS, *manager_terms.NAMED_SECTIONS})
        self.members = list(self.config.sections(manager_terms.MemberConfig)) or [""]
        self.link_conditions = LinkConditions(
            Random(f"{self.config.section(schema.ScenarioConfig).seed} weather")
        )
        self.proxy_ports = self._allocate_proxy_ports()
        self._write_manager({})
        self.record = RecordWriter(folder / "day.jsonl")
        self.worker_zones = {
            name: worker_config.zone
            for name, worker_config in self.config.sections(schema.WorkerConfig).items()
        }
        self.processes: dict[str, ScenarioProcess] = {}
        self.managers: dict[
            str, ScenarioProcess
        ] = {}  # by member; one without a name where it stands alone
        self.faulted_member = ""  # the member that was master when a trouble struck it

    @property
    def manager(self) -> ScenarioProcess | None:
        return next(iter(self.managers.values()), None)

    def _allocate_proxy_ports(self) -> dict[str, str]:
        """By member where it listens, behind the relays."""
        return (
            {member: self.addresses.allocate() for member in self.members}
            if self.config.section(manager_terms.MembershipConfig).me
            else {}
        )

    def manager_file(self, member: str, suffix: str) -> Path:
        return self.folder / f"manager{'-' * bool(member)}{member}.{suffix}"

    def _write_manager(self, overrides: dict[str, dict[str, str]]) -> None:
        for member in self.members:
            sections = dict(overrides)
            if member:
                host, port = self.config.sections(manager_terms.MemberConfig)[member].serves
                sections["manager"] = {
                    "listen": f"{host}:{port}",
                    "store": str(self.folder / f"store-{member}"),
                }
                sections["succession"] = {"member": member}
            if member and self.proxy_ports:
                sections["members"] = {"me": member, "binds": self.proxy_ports[member]}
            schema.copy_sections(
                self.run_file, sections, self.manager_sections, self.manager_file(member, "ini")
            )

    def leader(self) -> str:
        """The member whose log tells of the highest term; without members the one manager."""
        led_terms = [
            (int(line["term"]), member)
            for member in self.members
            if member
            for line in self.log_lines(member, "election.became_leader")
        ]
        return max(led_terms, default=(0, self.members[0]))[1]

    def log_lines(self, member: str, event: str) -> list[dict[str, Any]]:
        """Log lines of a manager about an event, so far."""
        path = self.manager_file(member, "log")
        lines = path.read_text().splitlines() if path.exists() else []
        return [
            json.loads(line)
            for line in lines
            if f'"event": "{event}"' in line and line.endswith("}")
        ]

    def timeline(self) -> list[TimelineStep]:
        proxies = {
            name: proxy_config.zone
            for name, proxy_config in self.config.sections(schema.ProxyConfig).items()
        }
        targets = FaultTargets(
            self.worker_zones,
            proxies,
            self.config.section(schema.FleetConfig).notice,
            tuple(self.members),
        )
        rng = Random(f"{self.config.section(schema.ScenarioConfig).seed} troubles")
        scenario = self.config.section(schema.ScenarioConfig)
        drawn_faults = draw_faults(
            self.config.section(schema.RandomFaultsConfig),
            scenario.length,
            Random(f"{scenario.seed} faults"),
        )
        return FaultTimeline(targets, rng).steps(
            [*self.config.sections(schema.FaultSpec).values(), *drawn_faults]
        )

    async def run(self) -> None:
        """The whole day; raises DayFault, and leaves no process either way."""
        scenario = self.config.section(schema.ScenarioConfig)
        deadline = max(
            traffic_class.deadline
            for traffic_class in self.config.sections(manager_terms.TrafficClassConfig).values()
        )
        total_duration = scenario.lead + scenario.length + deadline + 1.0
        try:
            with trio.fail_after(total_duration + 2 * STARTUP_TIMEOUT):
                async with (
                    self._running_relays(),
                    self._running_processes(),
                    trio.open_nursery() as self.nursery,
                ):
                    self.record.write(
                        "begin", lead=scenario.lead, length=scenario.length, wall=time.time()
                    )
                    started_at = trio.current_time()
                    for step in self.timeline():
                        await trio.sleep_until(started_at + scenario.lead + step.at)
                        self._check_processes()
                        await self._execute(step)
                    await trio.sleep_until(started_at + total_duration)
                    self._check_processes()
                    self.record.write("end")
                    self.nursery.cancel_scope.cancel()
        except trio.TooSlowError:
            raise ScenarioError("the day did not end within its time") from None
        except ExceptionGroup as group:  # a fault of the day's, out of the nurseries around it
            scenario_errors: BaseException | None = group.subgroup(ScenarioError)
            if scenario_errors is None:
                raise
            while isinstance(scenario_errors, ExceptionGroup):
                scenario_errors = scenario_errors.exceptions[0]
            assert scenario_errors is not None
            raise scenario_errors from None
        finally:
            self.record.close()

    @asynccontextmanager
    async def _running_relays(self) -> AsyncIterator[None]:
        """Every word between managers that know each other goes through a door of ours."""
        member_addresses = {
            member: units.parse_address(proxy_port)
            for member, proxy_port in self.proxy_ports.items()
        }
        members = self.config.sections(manager_terms.MemberConfig)
        relays = LinkRelays(self.link_conditions, member_addresses)
        async with trio.open_nursery() as nursery:
            for relayed_member in self.proxy_ports:
                await nursery.start(relays.serve, relayed_member, members[relayed_member].knows)
            try:
                yield
            finally:
                nursery.cancel_scope.cancel()

    @asynccontextmanager
    async def _running_processes(self) -> AsyncIterator[None]:
        commands = {"roster": ["roster", str(self.run_file)]}
        commands |= {
            f"workers-{zone}": ["worker", str(self.run_file), "--zone", zone]
            for zone in self.config.section(schema.FleetConfig).zones
        }
        commands |= {
            f"proxies-{index}": ["proxy", str(self.run_file), "--group", str(index)]
            for index in range(self.config.section(schema.ProxiesConfig).processes)
        }
        try:
            for name, arguments in commands.items():
                self.processes[name] = await self._start_process(name, arguments)
            for process in self.processes.values():
                await process.wait_ready()
            for member in self.members:
                await self._start_manager(member)
            self.record.write("manager", do="start")
            self.processes["callers"] = await self._start_process(
                "callers", ["callers", str(self.run_file)]
            )
            await self.processes["callers"].wait_ready()
            yield
        finally:
            for name in ("callers", *[name for name in self.processes if name != "callers"]):
                if name in self.processes:
                    await self.processes[name].stop()
            for process in self.managers.values():
                await process.stop()

    async def _start_process(self, name: str, arguments: list[str]) -> ScenarioProcess:
        record_file = str(self.folder / f"{name}.jsonl")
        command = [
            sys.executable,
            "-m",
            "dunlinlug",
            "stand-in",
            *arguments,
            "--record",
            record_file,
        ]
        with (self.folder / f"{name}.err").open("ab") as errors:
            process = await trio.lowlevel.open_process(
                command, stdin=PIPE, stdout=PIPE, stderr=errors
            )
        return ScenarioProcess(name, process)

    async def _start_manager(self, member: str) -> None:
        command = [
            *self.manager_command,
            str(self.manager_file(member, "ini")),
            "--until-input-closes",
        ]
        if drift := self.config.section(schema.ScenarioConfig).drift:
            ahead = self.members.index(member) % 2 == 0
            command += ["--clock-rate", f"{1 + drift if ahead else 1 - drift:g}"]
        with self.manager_file(member, "log").open("ab") as log:
            process = await trio.lowlevel.open_process(command, stdin=PIPE, stderr=log)
        self.managers[member] = ScenarioProcess("manager", process)

    def _check_processes(self) -> None:
        """Danger: a part that died unseen would leave records in which nothing is broken."""
        ended = [
            process.name
            for process in [*self.processes.values(), *self.managers.values()]
            if process.process.poll() not in (None, -signal.SIGKILL)
        ]
        if ended:
            raise ScenarioError(f"{', '.join(ended)} ended during the day")

    async def _execute(self, step: TimelineStep) -> None:
        self.record.write(
            "step",
            target=step.target,
            **{key: value for key, value in step.command.items() if key != "proxies"},
        )
        if step.target == "workers":
            await self.processes[
                f"workers-{self.worker_zones[step.command['worker']]}"
            ].send_command(step.command)
        elif step.target == "proxies":
            for name, process in self.processes.items():
                if name.startswith("proxies"):
                    await process.send_command(step.command)
        elif step.target == "roster":
            await self.processes["roster"].send_command(step.command)
        elif step.target == "members":
            self.link_conditions.execute(step.command)
        else:
            await self._execute_on_manager(step.command)

    async def _execute_on_manager(self, command: dict[str, Any]) -> None:
        if command["do"] in ("kill", "stall", "halt"):
            self.faulted_member = self.leader()
        process = self.managers[self.faulted_member or self.members[0]].process
        # With others to take over a manager's trouble excuses nothing: only one that stands alone
        # is on record.
        is_standalone = len(self.members) == 1 or command["do"] in ("slow", "pace")
        self.record.write(
            "manager" if is_standalone else "member",
            do=command["do"],
            size=command.get("size"),
            member=self.faulted_member,
        )
        match command["do"]:
            case "kill":
                process.kill()
                await process.wait()
            case "start":
                await self.managers[self.faulted_member].stop()
                await self._start_manager(self.faulted_member)
            case "stall":
                process.send_signal(signal.SIGSTOP)
            case "go on":
                process.send_signal(signal.SIGCONT)
            case "halt":
                self.nursery.start_soon(
                    self._pause_periodically, process, command["size"], command["lasts"]
                )
            case "slow":
                pace = (
                    self.config.section(manager_terms.ChannelConfig).lines_per_s / command["size"]
                )
                self._write_manager({"channel": {"pace": f"{pace:g}/s"}})
                self._reload_managers()
            case "pace":
                self._write_manager({})
                self._reload_managers()

    @staticmethod
    async def _pause_periodically(
        process: trio.Process, paused_fraction: float, duration: float
    ) -> None:
        """As on a machine that others crowd: it runs in slices, and is stopped for this part of the
        time.
        """
        try:
            with trio.move_on_after(duration):
                while process.returncode is None:
                    process.send_signal(signal.SIGSTOP)
                    await trio.sleep(paused_fraction * SLOW_CYCLE)
                    process.send_signal(signal.SIGCONT)
                    await trio.sleep((1.0 - paused_fraction) * SLOW_CYCLE)
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    def _reload_managers(self) -> None:
        for manager_process in self.managers.values():
            manager_process.process.send_signal(signal.SIGHUP)
