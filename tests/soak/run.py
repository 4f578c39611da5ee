"""Plays a course between processes on loopback, and judges it.

Managers are processes of the platform's manager; proxies, workers, discovery agents and clients are
tasks of this one. Proxies keep using their connections until these end.
"""

import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from dunlinlug.standins.platform import PlatformClient
from tests.fixtures.platform_process import ZONES, initial_list, instance
from tests.race_conditions.processes import Managers, fleet_settings
from tests.race_conditions.roaming_proxies import Proxy, Requests, Workers
from tests.soak.courses import (
    KILL_DELAY_S,
    MANAGERS,
    WORKERS,
    Action,
    BreakDiscovery,
    ChangeWorker,
    Course,
    MoveDiscovery,
    ReconnectProxies,
    RetryStorm,
    SignalManager,
    SilenceDiscovery,
    SilentConnections,
)
from tests.soak.discovery import Agent, Told, changed_instance
from tests.soak.rules import WARM_UP_S, RuleChecker, Violation, run_queue_delay

READY_WITHIN_S = 10.0
SETTLE_S = 6.0  # from the last fault until all proxies must use what is listed
MAX_RESIDENT_MB = 96.0  # half of the limit: more is priced
MAX_SURPLUS_DESCRIPTORS = 3  # discovery's connection, a liveness probe, a health check
PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 5.0
REQUESTS_PER_S = 8.0  # of each proxy
STORM_FACTOR = 4
STARVED_S = 0.2  # of run queue delay, from which a late stop is not judged
MAX_FILES = 256
LIST_AFTER_STOP_S = 0.03  # after SIGTERM


@dataclass
class ManagerState:
    """What the run knows of one manager."""

    number: int
    told: Told
    agent: Agent
    is_busy: bool = False  # a series of signals is under way
    is_up: bool = False  # it has answered a probe and was sent no stop signal since
    descriptors: int = 0  # when it became ready
    changes: int = 0  # of `is_up`


@dataclass
class Result:
    """The verdict on a run."""

    course: Course
    violations: list[Violation] = field(default_factory=list)
    requests: int = 0
    restarts: int = 0
    late_stops_not_judged: int = 0
    slowest_start_s: float = 0.0
    overslept_s: float = 0.0  # by this process, at once
    waited_s: float = 0.0  # for a processor by a manager, within one check

    def summary(self) -> str:
        """Return one line, or the violations with the command that plays the course again."""
        text = (
            f"seed {self.course.seed}: {self.course.proxies} proxies, {self.requests} requests, "
            f"{self.restarts} restarts, slowest start {self.slowest_start_s:.2f} s, "
            f"{self.late_stops_not_judged} late stops not judged, "
            f"overslept {self.overslept_s:.2f} s, a manager waited {self.waited_s:.2f} s"
        )
        if not self.violations:
            return text
        command = f"python -m bench.soak --first {self.course.seed} --seeds 1"
        command += f" --seconds {self.course.length:g}"
        lines = [f"BROKEN {each.rule}: {each.subject}: {each.details}" for each in self.violations]
        return "\n".join([text, *lines, f"again: {command}"])


class SoakRun:
    """One run: its processes, their clients, and the rules."""

    def __init__(self, course: Course, folder: Path, nursery: trio.Nursery) -> None:
        self.course = course
        self.folder = folder
        self.nursery = nursery
        self.result = Result(course)
        self.random = Random(f"soak run {course.seed}")
        self.states: list[ManagerState] = []
        self.workers = Workers()
        self.request_rate = REQUESTS_PER_S
        self.client_scope = trio.CancelScope()

    async def start(self) -> None:
        """Start agents, managers, workers and proxies; wait until every proxy has its tables."""
        names = [f"s-{n}" for n in range(WORKERS)]
        await self.workers.open(self.nursery, *names)
        for number in range(MANAGERS):
            told = Told()
            agent = Agent(told, *map(instance, range(WORKERS)))
            await agent.open(self.nursery)
            self.states.append(ManagerState(number, told, agent))
        self.managers = Managers(
            self.folder,
            "",
            MANAGERS,
            known=initial_list(*map(instance, range(WORKERS))),
            settings=fleet_settings(proxyCount=self.course.proxies),
        )
        self.proxies = [
            Proxy(n, ZONES[n % 2], [*self.managers.ports], self.random)
            for n in range(self.course.proxies)
        ]
        told_by_port = {self.managers.ports[state.number]: state.told for state in self.states}
        self.rules = RuleChecker(self.proxies, told_by_port)
        for state in self.states:
            await self._start_manager(state, ())
        self.requests = Requests(self.workers, self.random, timeout=10.0)
        self.nursery.start_soon(self._run_clients)
        for proxy in self.proxies:
            await proxy.until(proxy.usable, 20.0)
        self.rules.checked_at = trio.current_time()
        self.rules.manager_pids = lambda: [
            running.process.pid for running in self.managers.running.values()
        ]
        self.nursery.start_soon(self.rules.watch)

    async def _run_clients(self) -> None:
        with self.client_scope:
            async with trio.open_nursery() as nursery:
                for proxy in self.proxies:
                    nursery.start_soon(proxy.run)
                    nursery.start_soon(self._send_requests, proxy)
                for state in self.states:
                    nursery.start_soon(self._probe, state)

    async def _send_requests(self, proxy: Proxy) -> None:
        """Send requests through a proxy at the present rate, until the run finishes."""
        await proxy.until(proxy.usable, 20.0)
        async with trio.open_nursery() as nursery:
            while not self.requests.finishing:
                await trio.sleep(self.random.expovariate(self.request_rate))
                if not self.requests.finishing:
                    nursery.start_soon(self.requests._send_one, proxy)

    # Managers.

    async def _start_manager(
        self, state: ManagerState, signals: tuple[tuple[str, float], ...]
    ) -> None:
        """Start a manager and send it signals meanwhile; wait until it is ready or has ended."""
        state.told.unready_since.clear()
        state.told.ready_since.clear()
        config = self.managers.config_text(state.number, discovery=state.agent.address)
        self.managers.config_path(state.number).write_text(config)
        await self.managers.start(state.number, MAX_FILES)
        began_at = trio.current_time()
        process = self.managers.running[state.number].process
        if signals:
            # Before the interpreter runs, the kernel's default action ends the process.
            await _until_caught(process.pid, signal.SIGHUP)
        for name, pause in signals:
            await trio.sleep(pause)
            process.send_signal(getattr(signal, f"SIG{name}"))
        if any(name == "TERM" for name, _ in signals):
            await self._kill_after_delay(state, was_ready=False)
            await self._start_manager(state, ())
            return
        with trio.move_on_after(READY_WITHIN_S) as scope:
            # A manager is in use once it has answered; before that it may end a connection.
            while await self._probe_once(self.managers.ports[state.number]) != "alive":
                if process.poll() is not None:
                    self.rules.add("crash", f"manager {state.number}", "it ended as it started")
                    return
                await trio.sleep(0.02)
        if scope.cancelled_caught:
            self.rules.add("ready in time", f"manager {state.number}", f"{READY_WITHIN_S:g} s")
            return
        self.result.slowest_start_s = max(
            self.result.slowest_start_s, trio.current_time() - began_at
        )
        state.descriptors = _descriptor_count(process.pid)
        self._set_up(state, True)

    def _set_up(self, state: ManagerState, is_up: bool) -> None:
        """Record that a manager is up, or that it was sent a signal after which it may not be."""
        state.is_up = is_up
        state.changes += 1
        port = self.managers.ports[state.number]
        self.rules.up_since.pop(port, None)
        if is_up:
            self.rules.up_since[port] = trio.current_time()

    async def _signal_manager(self, action: SignalManager) -> None:
        state = self.states[action.manager]
        if state.is_busy or not state.is_up:
            return
        state.is_busy = True
        process = self.managers.running[state.number].process
        ends = any(name in ("TERM", "KILL") for name, _ in action.signals)
        for name, pause in action.signals:
            if name in ("TERM", "KILL", "STOP"):
                self._set_up(state, False)
            process.send_signal(getattr(signal, f"SIG{name}"))
            await trio.sleep(pause)
        if ends:
            await self._kill_after_delay(
                state, was_ready=all(name != "KILL" for name, _ in action.signals)
            )
            await trio.sleep(action.restart_after)
            self.result.restarts += 1
            await self._start_manager(state, action.start_signals)
        elif not state.is_up:
            self._set_up(state, True)
        state.is_busy = False

    async def _kill_after_delay(self, state: ManagerState, was_ready: bool) -> None:
        """Kill a manager at the earliest that the page allows; judge how it ended before."""
        process = self.managers.running[state.number].process
        delay_before = run_queue_delay(process.pid)
        signalled_at = trio.current_time()
        restore = await self._list_after_stop(state) if was_ready else None
        with trio.move_on_at(signalled_at + KILL_DELAY_S) as scope:
            status = await process.wait()
        self.rules.listed_after_stop.pop(self.managers.ports[state.number], None)
        if restore is not None:
            restore()
        if not scope.cancelled_caught:
            if was_ready and status != 0:
                self.rules.add("exit status", f"manager {state.number}", f"status {status}")
            if was_ready:
                await trio.sleep(0.1)  # the proxies read what was sent
                self.rules.check_stopped(self.managers.ports[state.number], signalled_at)
            return
        starved = run_queue_delay(process.pid) - delay_before
        if was_ready and starved < STARVED_S:
            self.rules.add("stop", f"manager {state.number}", f"runs {KILL_DELAY_S} s after TERM")
        elif was_ready:
            self.result.late_stops_not_judged += 1
        process.kill()
        await process.wait()

    async def _list_after_stop(self, state: ManagerState) -> Callable[[], None] | None:
        """List a ready worker as draining at a stopping manager's agent alone, which it ignores.

        Returns what ends that, None if there is nothing to end.
        """
        await trio.sleep(LIST_AFTER_STOP_S)
        entries = state.agent.instances.items()
        ejected = set[str]().union(*(proxy.ejected for proxy in self.proxies))
        ready = {name for name, entry in entries if entry["lifecycle"] == "ready"} - ejected
        if not ready:
            return None
        worker = min(ready)
        self.rules.listed_after_stop[self.managers.ports[state.number]] = worker
        former = state.agent.instances[worker]
        listed = changed_instance(int(worker.removeprefix("s-")), "draining")
        state.agent.update(listed)

        def restore() -> None:
            if state.agent.instances.get(worker) is listed:
                state.agent.update(former)

        return restore

    # Clients.

    async def _probe(self, state: ManagerState) -> None:
        """Probe a manager again and again; one that is up must answer."""
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            if not state.is_up:
                continue
            changes = state.changes
            answer = await self._probe_once(self.managers.ports[state.number])
            if answer != "alive" and state.changes == changes and state.is_up:
                self.rules.add("answered", f"manager {state.number}", f"a probe got {answer!r}")

    @staticmethod
    async def _probe_once(port: int) -> str:
        """Return the answer to a liveness probe, or what came in its place."""
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    client = PlatformClient(stream)
                    await client.send(message_type="probe")
                    message = await client.receive()
                    return "the end" if message is None else str(message["@type"])
            except OSError as error:
                return str(error)
            except trio.BrokenResourceError:
                return "a reset"
        return "nothing"

    async def _hold_silent_connections(self, action: SilentConnections) -> None:
        """Open connections of which every third joins; none speaks after that."""
        state = self.states[action.manager]
        async with trio.open_nursery() as nursery:
            for number in range(action.count):
                nursery.start_soon(self._hold_one, state, number)

    async def _hold_one(self, state: ManagerState, number: int) -> None:
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", self.managers.ports[state.number])
            async with stream:
                if number % 3 == 0:
                    await PlatformClient(stream).send("agent", site=ZONES[number % 2])
                with trio.move_on_after(2.0):
                    await stream.receive_some()
        except (OSError, trio.BrokenResourceError):
            return

    # Actions.

    async def play(self) -> None:
        """Carry out the actions of the course at their times."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for at, action in self.course.actions:
                await trio.sleep_until(began_at + at)
                nursery.start_soon(self._carry_out, action)
        await trio.sleep(SETTLE_S)

    async def _carry_out(self, action: Action) -> None:
        match action:
            case SignalManager():
                await self._signal_manager(action)
            case ChangeWorker(worker, state):
                self._change_worker(worker, state)
            case SilenceDiscovery(manager, seconds):
                self.states[manager].agent.silent_until = trio.current_time() + seconds
            case BreakDiscovery(manager, answers):
                self.states[manager].agent.answers_to_break = answers
            case MoveDiscovery(manager):
                await self._move_discovery(self.states[manager])
            case ReconnectProxies():
                for proxy in self.proxies:
                    proxy.reset_connection()
            case RetryStorm(seconds):
                self.request_rate = STORM_FACTOR * REQUESTS_PER_S
                await trio.sleep(seconds)
                self.request_rate = REQUESTS_PER_S
            case SilentConnections():
                await self._hold_silent_connections(action)

    def _change_worker(self, worker: int, state: str) -> None:
        if state == "ready":
            self.rules.started_at[f"s-{worker}"] = trio.current_time()
        for manager in self.states:
            manager.agent.update(changed_instance(worker, state))

    async def _move_discovery(self, state: ManagerState) -> None:
        """Start another agent; the old one tells what is not so, and closes after 1.5 s."""
        if state.is_busy or not state.is_up:
            return
        state.is_busy = True
        old_agent = state.agent
        state.agent = Agent(state.told, *old_agent.instances.values())
        state.agent.known_workers |= old_agent.known_workers
        await state.agent.open(self.nursery)
        config = self.managers.config_text(state.number, discovery=state.agent.address)
        self.managers.config_path(state.number).write_text(config)
        old_agent.told = Told()  # what it says from now on does not count
        self.managers.running[state.number].process.send_signal(signal.SIGHUP)
        await trio.sleep(1.0)
        ready = [n for n, entry in old_agent.instances.items() if entry["lifecycle"] == "ready"]
        false_entry = changed_instance(int(ready[0].removeprefix("s-")), "draining")
        old_agent.update(false_entry)
        await trio.sleep(0.5)
        old_agent.silent_until = float("inf")
        state.is_busy = False

    # The end.

    async def finish(self) -> Result:
        """Check what must hold after the last fault, end everything, and return the verdict."""
        self._check_convergence()
        try:
            await self.requests.finish()
        except (AssertionError, trio.TooSlowError) as error:
            self.rules.add("requests", "all", str(error)[:300])
        self.result.requests = self.requests.request_count
        self.client_scope.cancel()
        await trio.sleep(2.0)  # unjoined connections are closed after 1 s
        for state in self.states:
            self._check_resources(state)
        for state in self.states:
            self.managers.running[state.number].process.send_signal(signal.SIGTERM)
        for state in self.states:
            await self._kill_after_delay(state, was_ready=state.is_up)
        for log in self.managers.logs:
            if "Traceback" in log.read_text() or "internal_error" in log.read_text():
                self.rules.add("log", log.name, "a traceback")
        self.result.overslept_s = self.rules.longest_oversleep
        self.result.waited_s = self.rules.longest_wait
        self.result.violations = [*self.rules.violations.values()]
        return self.result

    def _check_convergence(self) -> None:
        now = trio.current_time()
        entries = self.states[0].agent.instances.items()
        ready = {name for name, entry in entries if entry["lifecycle"] == "ready"}
        warm = {
            name for name in ready if now - self.rules.started_at.get(name, -WARM_UP_S) >= WARM_UP_S
        }
        for proxy in self.proxies:
            usable = set(proxy.usable())
            if not warm <= usable <= ready:
                self.rules.add(
                    "convergence",
                    f"proxy {proxy.number}",
                    f"lacks {sorted(warm - usable)}, should not have {sorted(usable - ready)}",
                )

    def _check_resources(self, state: ManagerState) -> None:
        process = self.managers.running[state.number].process
        if process.poll() is not None:
            self.rules.add("crash", f"manager {state.number}", f"status {process.returncode}")
            return
        surplus = _descriptor_count(process.pid) - state.descriptors
        if surplus > MAX_SURPLUS_DESCRIPTORS:
            self.rules.add("descriptors", f"manager {state.number}", f"{surplus} more at the end")
        resident_mb = _resident_mb(process.pid)
        if resident_mb > MAX_RESIDENT_MB:
            self.rules.add("memory", f"manager {state.number}", f"{resident_mb:.0f} MB")


async def _until_caught(pid: int, number: int) -> None:
    """Wait until a process has a handler for a signal (proc(5))."""
    with trio.move_on_after(READY_WITHIN_S):
        while True:
            lines = Path(f"/proc/{pid}/status").read_text().splitlines()
            caught = next(int(line.split()[1], 16) for line in lines if line.startswith("SigCgt"))
            if caught >> (number - 1) & 1:
                return
            await trio.sleep(0.005)


def _descriptor_count(pid: int) -> int:
    return len([*Path(f"/proc/{pid}/fd").iterdir()])


def _resident_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


async def play_course(course: Course, folder: Path) -> Result:
    """Play a course in an empty folder and return the verdict."""
    folder.mkdir(parents=True, exist_ok=True)
    async with trio.open_nursery() as nursery:
        run = SoakRun(course, folder, nursery)
        try:
            await run.start()
            await run.play()
            result = await run.finish()
        finally:
            with trio.CancelScope(shield=True):
                await run.managers.kill_all()
        nursery.cancel_scope.cancel()
    return result
