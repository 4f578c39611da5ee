"""Runs a scenario: starts all processes, executes the timeline of faults, and stops them."""

import json
import signal
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from subprocess import PIPE
from typing import Any

import trio

from dunlinlug.config import manager_config, units
from dunlinlug.scenarios import schema
from dunlinlug.scenarios.addresses import AddressAllocator
from dunlinlug.scenarios.commands import Command
from dunlinlug.scenarios.errors import ScenarioError
from dunlinlug.scenarios.faults import FaultTargets, FaultTimeline, TimelineStep, draw_faults
from dunlinlug.scenarios.process import STARTUP_TIMEOUT, ScenarioProcess
from dunlinlug.scenarios.records import RecordWriter
from dunlinlug.scenarios.relay import LinkConditions, LinkRelays
from dunlinlug.scenarios.run_file import write_run_file

__all__ = [
    "MANAGER_COMMAND",
    "AddressAllocator",
    "ScenarioError",
    "ScenarioProcess",
    "ScenarioRunner",
]

# Seconds from one pause of a slow process to the next, as on a machine with too many processes.
SLOW_CYCLE = 0.1
MANAGER_COMMAND = (sys.executable, "-m", "dunlinlug", "manager")


class ScenarioRunner:
    """Runs one scenario once, in one folder.

    Attributes:
        folder: The folder of run file, stores, logs and records.
        config: The contents of the run file.
        members: Names of the managers; one empty name for a standalone manager.
        member_bind_addresses: The address that each member binds behind the relays, by name.
        managers: Processes of the managers, by name.
        processes: Processes of the stand-ins, by name.
    """

    def __init__(
        self, scenario_file: Path, folder: Path, manager: Sequence[str] = MANAGER_COMMAND
    ) -> None:
        """Prepare a scenario from a file; `manager` is the command that starts a manager.

        Raises:
            ConfigError: The file cannot be used.
            ScenarioError: There are not enough free addresses.
        """
        self.folder = folder
        self.manager_command = manager
        folder.mkdir(parents=True, exist_ok=True)
        self.run_file = folder / "run.ini"
        self.addresses = AddressAllocator()
        self.config = write_run_file(scenario_file, self.run_file, folder, self.addresses)
        self.manager_sections = frozenset(
            {*manager_config.SECTIONS, *manager_config.NAMED_SECTIONS}
        )
        self.members = list(self.config.sections(manager_config.MemberConfig)) or [""]
        self.link_conditions = LinkConditions(
            Random(f"{self.config.section(schema.ScenarioConfig).seed} weather")
        )
        self.member_bind_addresses = self._allocate_bind_addresses()
        self._write_manager({})
        self.record = RecordWriter(folder / "day.jsonl")
        self.worker_zones = {
            name: worker_config.zone
            for name, worker_config in self.config.sections(schema.WorkerConfig).items()
        }
        self.processes: dict[str, ScenarioProcess] = {}
        self.managers: dict[str, ScenarioProcess] = {}
        self.faulted_member = ""  # the leader at the beginning of the current manager fault

    @property
    def manager(self) -> ScenarioProcess | None:
        """The first manager; None until it is started."""
        return next(iter(self.managers.values()), None)

    def _allocate_bind_addresses(self) -> dict[str, str]:
        """The address that each member binds behind the relays; empty without membership."""
        if not self.config.section(manager_config.MembershipConfig).me:
            return {}
        return {member: self.addresses.allocate() for member in self.members}

    def manager_file(self, member: str, suffix: str) -> Path:
        """The path of a manager's INI file or log."""
        name = f"manager-{member}" if member else "manager"
        return self.folder / f"{name}.{suffix}"

    def _write_manager(self, overrides: dict[str, dict[str, str]]) -> None:
        for member in self.members:
            sections = dict(overrides)
            if member:
                host, port = self.config.sections(manager_config.MemberConfig)[member].serves
                sections["manager"] = {
                    "listen": f"{host}:{port}",
                    "store": str(self.folder / f"store-{member}"),
                }
                sections["succession"] = {"member": member}
            if member and self.member_bind_addresses:
                sections["members"] = {"me": member, "binds": self.member_bind_addresses[member]}
            schema.copy_sections(
                self.run_file, sections, self.manager_sections, self.manager_file(member, "ini")
            )

    def leader(self) -> str:
        """The member that led in the highest term, by its log; empty for a standalone manager."""
        led_terms = [
            (int(line["term"]), member)
            for member in self.members
            if member
            for line in self.log_lines(member, "election.became_leader")
        ]
        return max(led_terms, default=(0, self.members[0]))[1]

    def log_lines(self, member: str, event: str) -> list[dict[str, Any]]:
        """The log lines with an event that a manager has written so far."""
        path = self.manager_file(member, "log")
        lines = path.read_text().splitlines() if path.exists() else []
        return [
            json.loads(line)
            for line in lines
            if f'"event": "{event}"' in line and line.endswith("}")
        ]

    def timeline(self) -> list[TimelineStep]:
        """The steps of all faults, configured and random, in time order."""
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
        """Run the whole scenario; all processes are stopped at the end, even after an error.

        Raises:
            ScenarioError: A process did not start or ended early, or the scenario took too long.
        """
        scenario = self.config.section(schema.ScenarioConfig)
        deadline = max(
            traffic_class.deadline
            for traffic_class in self.config.sections(manager_config.TrafficClassConfig).values()
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
            raise ScenarioError("the scenario did not end within its time limit") from None
        except ExceptionGroup as group:  # the nurseries wrap the error in groups
            scenario_error = _find_scenario_error(group)
            if scenario_error is None:
                raise
            raise scenario_error from None
        finally:
            self.record.close()

    @asynccontextmanager
    async def _running_relays(self) -> AsyncIterator[None]:
        """Run relays, through which all messages between members pass."""
        member_addresses = {
            member: units.parse_address(bind_address)
            for member, bind_address in self.member_bind_addresses.items()
        }
        members = self.config.sections(manager_config.MemberConfig)
        relays = LinkRelays(self.link_conditions, member_addresses)
        async with trio.open_nursery() as nursery:
            for member in self.member_bind_addresses:
                await nursery.start(relays.serve, member, members[member].knows)
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
        drift = self.config.section(schema.ScenarioConfig).drift
        if drift:
            is_ahead = self.members.index(member) % 2 == 0
            clock_rate = 1 + drift if is_ahead else 1 - drift
            command += ["--clock-rate", f"{clock_rate:g}"]
        with self.manager_file(member, "log").open("ab") as log:
            process = await trio.lowlevel.open_process(command, stdin=PIPE, stderr=log)
        self.managers[member] = ScenarioProcess("manager", process)

    def _check_processes(self) -> None:
        """Raise ScenarioError if a process has ended.

        The records of a process that died early could show no broken rule.
        """
        ended = [
            process.name
            for process in [*self.processes.values(), *self.managers.values()]
            if process.process.poll() not in (None, -signal.SIGKILL)
        ]
        if ended:
            raise ScenarioError(f"{', '.join(ended)} ended during the scenario")

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

    async def _execute_on_manager(self, command: Command) -> None:
        if command["do"] in ("kill", "stall", "halt"):
            self.faulted_member = self.leader()
        process = self.managers[self.faulted_member or self.members[0]].process
        # The rules allow more time only for "manager" records. In a fleet another member takes over
        # from a faulted leader, so its fault is recorded as "member" and extends no time limit. A
        # slow channel is set at all managers, so it is always recorded as "manager".
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
                    self.config.section(manager_config.ChannelConfig).lines_per_s / command["size"]
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
        """Pause a process for a fraction of the time, as on an overloaded machine."""
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


def _find_scenario_error(group: ExceptionGroup[Exception]) -> BaseException | None:
    """The first ScenarioError in nested exception groups; None if there is none."""
    error: BaseException | None = group.subgroup(ScenarioError)
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error
