"""One run: starts all processes, executes the plan, checks the outcome, and stops all processes.

The result is one dictionary.
"""

import functools
import json
import os
import secrets
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from bench.scale import accounting, budget, part, rules, scenario, stage, truth
from bench.scale.accounting import Reading, Role
from bench.scale.budget import RunError
from dunlinlug.config.reader import ConfigFile

# Seconds of the run's clock between two polls of all processes; the resolution of view times.
POLL_SECONDS = 1.0
WAIT_POLL_SECONDS = 0.25  # the same while waiting for a condition
PROGRESS_SECONDS = 5.0  # real seconds between progress lines
# Fraction of datagrams dropped unread above which the figures reflect the load of the machine.
MAX_DROPPED_FRACTION = 0.01
# Seconds of the run's clock after the end for the last change of the list to reach all followers.
LIST_SETTLE_SECONDS = 30.0
ProgressWriter = Callable[[str], None]


def print_to_stderr(line: str) -> None:
    """Print a progress line to standard error."""
    print(line, file=sys.stderr, flush=True)


class Run:
    """The execution of one plan, with its processes and a temporary folder."""

    def __init__(
        self,
        config: ConfigFile,
        size: int,
        write_progress: ProgressWriter = print_to_stderr,
        fixed_ports: dict[str, int] | None = None,
    ) -> None:
        self.config, self.plan, self.write_progress = (
            config,
            scenario.plan(config, size),
            write_progress,
        )
        self.scale, self.bounds = config.section(scenario.Scale), config.section(scenario.Bounds)
        self.members = config.section(scenario.Members)
        self.folder = Path(tempfile.mkdtemp(prefix="scale-"))
        self.children: list[stage.ChildProcess] = []
        self.real_processes: dict[str, stage.ChildProcess] = {}
        self.roles = {role: Role() for role in ("real", "hollow", "discovery", "proxies")}
        self.before: dict[stage.ChildProcess, Reading] = {}
        self.timeline, self.verdicts = truth.Timeline(), list[truth.Verdict]()
        self.started_at, self.measuring, self.ended_at = 0.0, False, 0.0
        self.peak_mb, self.dropped_verdicts = 0.0, 0
        self.configured: list[float] = []
        self.equal_after: float | None = None
        self.equal_at = -1.0  # first time that all views were equal after the last fault
        self.final: dict[str, Any] = {}
        self.views: Counter[str] = Counter()
        self.rule_summary: dict[str, Any] | None = None
        self.fixed_ports = fixed_ports or {}  # chosen by a test, by name

    # Time.

    def elapsed(self, monotonic: float | None = None) -> float:
        """Return seconds of the run's clock since the start of the measured span."""
        return (
            (time.monotonic() if monotonic is None else monotonic) - self.started_at
        ) * self.plan.clock

    async def wait(self, span: float) -> None:
        """Sleep for a span in seconds of the run's clock."""
        await trio.sleep(span / self.plan.clock)

    def time_limit(self) -> float:
        """Return the limit of the whole run in real seconds."""
        run_seconds = (
            self.scale.settle + self.scale.length + self.bounds.views_within + LIST_SETTLE_SECONDS
        )
        return (
            run_seconds + self.bounds.ready_within
        ) / self.plan.clock + 4 * stage.ANSWER_TIMEOUT_SECONDS

    # Processes.

    def _prepare(self) -> None:
        names = [
            *self.plan.real,
            *self.plan.hollow,
            "discovery",
            *(f"serves {name}" for name in self.plan.real),
        ]
        self.addresses = stage.assign_addresses(names)
        self.addresses.update({name: (stage.HOST, port) for name, port in self.fixed_ports.items()})
        key = self.folder / "key"
        self.key = secrets.token_hex(32)
        key.touch(mode=0o600)
        key.write_text(self.key)
        roles = {
            self.addresses[name][1]: "real" if name in self.plan.real else "hollow"
            for name in (*self.plan.real, *self.plan.hollow)
        }
        self.datagrams = budget.Datagrams(roles)

    def _common(self) -> dict[str, Any]:
        return {
            "clock": self.plan.clock,
            "seed": self.scale.seed,
            "discovery": self.addresses["discovery"],
        }

    def _manager_file(self, name: str, pace: int = scenario.CHANNEL_LINES_PER_S) -> Path:
        return stage.manager_file(
            self.folder,
            name,
            self.addresses,
            (*self.plan.real, *self.plan.hollow),
            self.scale.seed,
            self.scale.beat,
            pace,
        )

    async def _start(
        self, name: str, role: str, names: tuple[str, ...], settings: dict[str, Any]
    ) -> stage.ChildProcess:
        if reason := budget.exceeded_limit(
            0.0, len(self.children) + 2, self.bounds.memory_mb, self.bounds.processes
        ):
            raise RunError(reason)
        child = await stage.start(name, role, names, {**self._common(), **settings}, self.folder)
        self.children.append(child)
        return child

    async def _start_real(self, name: str) -> stage.ChildProcess:
        path = self.folder / f"{name}.ini"
        child = self.real_processes[name] = await self._start(
            name, "real", (name,), {"file": str(path)}
        )
        return child

    @asynccontextmanager
    async def _running_processes(self) -> AsyncIterator[None]:
        try:
            discovery = await self._start(
                "discovery",
                "discovery",
                (),
                {"workers": self.config.section(scenario.Workers).workers},
            )
            await discovery.ready(stage.ANSWER_TIMEOUT_SECONDS)
            for name in self.plan.real:
                self._manager_file(name)
                await self._start_real(name)
            await self._start_hollow()
            ready = self.bounds.ready_within / self.plan.clock
            async with trio.open_nursery() as nursery:
                for child in self.children[1:]:
                    nursery.start_soon(child.ready, ready)
            # All hollow members start together: members that run would report those of processes
            # that are not started yet as failed.
            await self._ask_all({"do": "up", "names": self.plan.hollow}, ("hollow",))
            if self.plan.real and self.config.section(scenario.Proxies).count:
                proxies = await self._start(
                    "proxies",
                    "proxies",
                    (),
                    {
                        "managers": [self.addresses[f"serves {name}"] for name in self.plan.real],
                        "count": self.config.section(scenario.Proxies).count,
                    },
                )
                await proxies.ready(stage.ANSWER_TIMEOUT_SECONDS)
            yield
        finally:
            with trio.CancelScope(shield=True):
                async with trio.open_nursery() as nursery:
                    for child in self.children:
                        nursery.start_soon(child.end)

    async def _start_hollow(self) -> None:
        hollow, per = self.plan.hollow, self.members.per_process
        following = frozenset(hollow[: round(self.members.follows * len(hollow))])
        everyone = {name: self.addresses[name] for name in (*self.plan.real, *hollow)}
        for n, start in enumerate(range(0, len(hollow), per)):
            names = hollow[start : start + per]
            await self._start(
                f"hollow-{n}",
                "hollow",
                names,
                {
                    "names": names,
                    "known": list(everyone),
                    "places": everyone,
                    "key": self.key,
                    "beat": self.scale.beat,
                    "joined": self.members.joined,
                    "followers": [name for name in names if name in following],
                },
            )

    # Polling.

    async def _ask_all(
        self, command: dict[str, Any], roles: Iterable[str]
    ) -> dict[stage.ChildProcess, dict[str, Any]]:
        found: dict[stage.ChildProcess, dict[str, Any]] = {}

        async def ask_child(child: stage.ChildProcess) -> None:
            try:
                found[child] = await child.ask(command)
            except RunError:
                if not child.is_ending:
                    raise

        async with trio.open_nursery() as nursery:
            for child in self.children:
                if child.role in roles and not child.is_ending:
                    nursery.start_soon(ask_child, child)
        return found

    async def poll(self) -> dict[stage.ChildProcess, dict[str, Any]]:
        """Poll all processes. Raises RunError if a limit is exceeded or a process died."""
        found = await self._ask_all({"do": "report"}, self.roles)
        self.views = Counter[str]()
        for child, answer in found.items():
            self._record_report(child, answer)
        self.record_equal_views()
        self.datagrams.update(budget.udp_lines())
        running = [child.process.pid for child in self.children if child.process.returncode is None]
        resident_mb = sum(budget.resident_mb(pid) for pid in (*running, os.getpid()))
        self.peak_mb = max(self.peak_mb, resident_mb)
        if reason := budget.exceeded_limit(
            resident_mb, len(running) + 1, self.bounds.memory_mb, self.bounds.processes
        ):
            raise RunError(reason)
        return found

    def _record_report(self, child: stage.ChildProcess, answer: dict[str, Any]) -> None:
        self.views.update(answer.get("views", {}))
        self.dropped_verdicts += answer.get("dropped", 0)
        if self.measuring:
            self.roles[child.role].queue(answer.get("queues", {}))
            self.verdicts += [
                truth.Verdict(self.elapsed(at), by, of) for at, by, of in answer.get("verdicts", ())
            ]

    def views_equal(self) -> bool:
        """Return whether all members are up and have one view with every member alive."""
        if len(self.views) != 1 or sum(self.views.values()) != self.plan.size:
            return False
        _, living, state = next(iter(self.views)).split()
        return int(living) == self.plan.size and state == "alive"

    def record_equal_views(self) -> None:
        """Record the first time that all views were equal after the last fault.

        Views may also be equal during a fault that no member has detected yet.
        """
        if (
            self.measuring
            and self.views_equal()
            and self.elapsed() >= self.timeline.last_fault_ended_at() > self.equal_at
        ):
            self.equal_at = self.elapsed()

    async def _until_equal(self, within: float) -> float | None:
        """Return seconds of the run's clock until all views are equal; None after the time limit."""
        began = time.monotonic()
        while True:
            await self.poll()
            took = (time.monotonic() - began) * self.plan.clock
            if self.views_equal():
                return took
            if took > within:
                return None
            await self.wait(WAIT_POLL_SECONDS)

    def _describe_views(self) -> str:
        living = [int(view.split()[1]) for view in self.views]
        return f"{len(self.views)} views of {min(living, default=0)} to {max(living, default=0)} members"

    async def _print_progress(self) -> None:
        while True:
            await trio.sleep(PROGRESS_SECONDS)
            self.write_progress(self._progress())

    def _progress(self) -> str:
        now = f"{self.elapsed():.0f} of {self.scale.length:g} s" if self.measuring else "starting"
        return (
            f"{self.scale.name} {self.plan.size}: {now}, {sum(self.views.values())} members up, "
            f"{self._describe_views()}, {self.peak_mb:.0f} MB, load {os.getloadavg()[0]:.1f}"
        )

    # Actions.

    async def _perform(self, action: scenario.Action) -> None:
        names, hollow = (
            set(action.names),
            [name for name in action.names if name in self.plan.hollow],
        )
        command = {"do": action.do, "names": hollow, "value": action.value}
        match action.do:
            case "churn":
                await self._ask_all(command, ("discovery",))
            case "configure":
                self.nursery.start_soon(self._configure, action)
            case "down" | "leave":
                self.timeline.down(self.elapsed(), action.names, planned=action.do == "leave")
                for name in sorted(names & self.real_processes.keys()):
                    await self._stop_real(name)
                await self._ask_all(command, ("hollow",))
            case "up":
                await self._ask_all(command, ("hollow",))
                for name in sorted(names & self.real_processes.keys()):
                    if self.real_processes[name].is_ending:
                        again = await self._start_real(name)
                        self.before[again] = Reading(0.0, 0.0, {})
                        await again.ready(self.bounds.ready_within / self.plan.clock)
                self.timeline.up(self.elapsed(), action.names)
            case "cut":
                self.timeline.cut(self.elapsed(), action.names)
                await self._ask_all(command, ("hollow",))
            case "heal":
                await self._ask_all(command, ("hollow",))
                self.timeline.heal(self.elapsed(), action.names)

    async def _stop_real(self, name: str) -> None:
        """Stop a real manager by SIGTERM, so that it leaves, after counting its usage up to here."""
        stopped = self.real_processes[name]
        if stopped.is_ending:
            return
        answer = await stopped.ask({"do": "report"})
        self._record_report(stopped, answer)
        stopped.is_ending = True
        self.roles["real"].add(self.before[stopped], Reading(**answer["reading"]), 0)
        self.roles["real"].processes -= 1
        self.roles["real"].rss_mb -= answer["reading"]["rss_mb"]
        stopped.process.terminate()
        await stopped.end()

    async def _configure(self, action: scenario.Action) -> None:
        """Reload all real managers, and measure the time until the last of them has finished."""
        began = time.monotonic()
        children = [
            self.real_processes[name]
            for name in action.names
            if name in self.real_processes and not self.real_processes[name].is_ending
        ]
        before = {child: (await child.ask({"do": "reloads"}))["reloads"] for child in children}
        for child in children:
            self._manager_file(child.name, action.value)
            child.process.send_signal(signal.SIGHUP)
        last = began
        for child in children:
            while (
                not child.is_ending
                and (await child.ask({"do": "reloads"}))["reloads"] <= before[child]
            ):
                await trio.sleep(0.01)
                if time.monotonic() > began + stage.ANSWER_TIMEOUT_SECONDS:
                    raise RunError(
                        f"{child.name} did not reload within {stage.ANSWER_TIMEOUT_SECONDS:g} s"
                    )
            last = time.monotonic()
        self.configured.append((last - began) * self.plan.clock)

    async def _measure(self) -> None:
        found = await self.poll()
        self.before = {child: Reading(**answer["reading"]) for child, answer in found.items()}
        self.datagrams.begin()
        self.started_at, self.measuring = time.monotonic(), True
        self.write_progress(self._progress())
        actions, next_poll = list(self.plan.actions), POLL_SECONDS
        while actions:
            due = min(actions[0].at, next_poll)
            await self.wait(max(due - self.elapsed(), 0.0))
            if actions[0].at <= self.elapsed():
                await self._perform(actions.pop(0))
            else:
                next_poll = self.elapsed() + POLL_SECONDS
                await self.poll()
        found = await self.poll()
        self.ended_at = self.elapsed()
        for child, answer in found.items():
            members = len(child.names) or answer["members"]
            self.roles[child.role].add(self.before[child], Reading(**answer["reading"]), members)

    async def _check_outcome(self) -> None:
        """Check after the span that all views become equal and all followers get the last list."""
        waited = self.elapsed() - self.timeline.last_fault_ended_at()
        took = await self._until_equal(max(self.bounds.views_within - waited, 0.0))
        self.equal_after = (
            None if took is None else max(self.equal_at - self.timeline.last_fault_ended_at(), 0.0)
        )
        began = self.elapsed()
        found: dict[stage.ChildProcess, dict[str, Any]] = {}
        while self.elapsed() < began + LIST_SETTLE_SECONDS:
            found = await self._ask_all({"do": "final"}, ("real", "hollow", "discovery"))
            self.final = self._follower_outcome(found)
            if not self.final["lost"]:
                break
            await self.wait(POLL_SECONDS)
        await self._check_rules(found)

    async def _check_rules(self, found: dict[stage.ChildProcess, dict[str, Any]]) -> None:
        """Check the rules at each real manager by the records of its proxies."""
        answers = await self._ask_all({"do": "record"}, ("discovery", "proxies"))
        by_role = {child.role: answer for child, answer in answers.items()}
        if "proxies" not in by_role:
            return
        changes = {int(index): changed for index, changed in by_role["discovery"]["states"].items()}
        listed = rules.states_by_version(by_role["discovery"]["workers"], changes)
        lines = by_role["proxies"]["lines"]
        breaks = []
        for n, name in enumerate(self.plan.real):
            answer = found.get(self.real_processes[name])
            if answer is None or name in self.timeline.down_intervals:
                # A restarted manager has a new clock, and its proxies recorded both processes.
                continue
            monotonic, manager_time = answer["clock_at"]
            own_lines = [
                {**line, "at": manager_time + (line["at"] - monotonic) * self.plan.clock}
                for line in lines
                if int(line["proxy"][1:]) % len(self.plan.real) == n
            ]
            [versions] = answer["taken"][name].values()
            received = [
                (index, manager_time + (at - monotonic) * self.plan.clock) for index, at in versions
            ]
            path = self.folder / f"{name}.ini"
            breaks += await trio.to_thread.run_sync(
                rules.find_violations,
                rules.load_config(path),
                own_lines,
                received,
                listed,
                manager_time,
            )
        self.rule_summary = rules.summarize(
            breaks, len(lines), sum(line["e"] == "try" for line in lines)
        )

    def _follower_outcome(self, found: dict[stage.ChildProcess, dict[str, Any]]) -> dict[str, Any]:
        discovery = next(answer for child, answer in found.items() if child.role == "discovery")
        lost, taken = list[str](), dict[str, list[tuple[int, float]]]()
        for child, answer in found.items():
            if child.role == "discovery":
                continue
            held = {name: (index, digest) for name, (index, digest) in answer["held"].items()}
            lost += truth.outdated_followers(
                held, discovery["index"], discovery["digests"][child.role == "real"]
            )
            taken.update(
                {
                    f"{name} {born}": versions
                    for name, starts in answer["taken"].items()
                    for born, versions in starts.items()
                }
            )
        steady = {
            name: [(index, self.elapsed(at)) for index, at in versions]
            for name, versions in taken.items()
            if name.split()[0] not in self.timeline.down_intervals
        }
        changes = {
            int(index): self.elapsed(at)
            for index, at in discovery["changes"].items()
            if self.elapsed(at) > 0
        }
        return {
            "lost": lost,
            "changes": len(changes),
            "followers": len({name.split()[0] for name in taken}),
            "disordered": truth.out_of_order_followers(
                {name: [index for index, _ in versions] for name, versions in taken.items()}
            ),
            "reached": truth.propagation_seconds(changes, steady),
        }

    async def play(self) -> str:
        """Execute the run, and return the reason why it ended early, or an empty string."""
        self.load = [os.getloadavg()[0]]
        reason = ""
        try:
            self._prepare()
            with trio.fail_after(self.time_limit()):
                async with trio.open_nursery() as guard:
                    guard.start_soon(self._interrupted)
                    async with self._running_processes(), trio.open_nursery() as self.nursery:
                        self.nursery.start_soon(self._print_progress)
                        await self._execute_plan()
                        self.nursery.cancel_scope.cancel()
                    guard.cancel_scope.cancel()
        except* trio.TooSlowError:
            reason = f"the run did not end within {self.time_limit():.0f} s"
        except* RunError as error:
            reason = str(part.first_exception(error))
        finally:
            self.load.append(os.getloadavg()[0])
        return reason

    async def _execute_plan(self) -> None:
        took = await self._until_equal(self.bounds.ready_within)
        if took is None:
            raise RunError(
                f"members had no common view within {self.bounds.ready_within:g} s: {self._describe_views()}"
            )
        self.joined_after = took
        await self.wait(self.scale.settle)
        if self.members.joined:
            await self._ask_all({"do": "settled"}, ("real",))
        await self._measure()
        await self._check_outcome()

    async def _interrupted(self) -> None:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for number in signals:
                raise RunError(f"interrupted by {signal.Signals(number).name}")


def build_result(run: Run, reason: str, validated: dict[str, bool]) -> dict[str, Any]:
    """Return the result of a run.

    `validated` maps sizes of earlier runs to whether hollow members matched real ones.
    """
    span = run.ended_at or (run.elapsed() if run.measuring else 0.0)
    list_queries = accounting.sum_snapshots(run.roles["discovery"].kinds).get("list actual")
    # Queries of real managers are counted by the discovery that answers them.
    if list_queries is not None and run.roles["real"].kinds:
        run.roles["real"].kinds.append({"list": accounting.mirror(list_queries)})
    roles = {name: role.figures(span) for name, role in run.roles.items()}
    for name in ("real", "hollow"):
        dropped = run.datagrams.dropped(name) if run.measuring else 0
        roles[name]["datagrams"] = {
            "dropped": dropped,
            "longest_unread_bytes": run.datagrams.longest.get(name, 0),
        }
    grace = truth.grace_seconds(run.scale.beat, run.plan.size)
    false_verdicts = truth.false_verdicts(run.verdicts, run.timeline, grace)
    detection = truth.detection_times(
        run.verdicts, run.timeline, (*run.plan.real, *run.plan.hollow)
    )
    is_comparable = not run.timeline.down_intervals and not run.timeline.partitions
    comparison = (
        accounting.compare_roles(roles["real"], roles["hollow"], run.bounds.error)
        if is_comparable
        else None
    )
    received = sum(
        held["in"] for name in ("real", "hollow") for held in roles[name]["messages"].values()
    )
    dropped_datagrams = sum(roles[name]["datagrams"]["dropped"] for name in ("real", "hollow"))
    strained = dropped_datagrams > MAX_DROPPED_FRACTION * received
    at_small = all(validated.get(size, False) for size in ("5", "30"))
    return {
        "scenario": run.scale.name,
        "seed": run.scale.seed,
        "date": time.strftime("%Y-%m-%d %H:%M"),
        "machine": {
            "cores": os.cpu_count(),
            "memory_gb": budget.memory_gb(),
            "load": [round(load, 1) for load in run.load],
        },
        "sizes": {
            "members": run.plan.size,
            "real": len(run.plan.real),
            "hollow": len(run.plan.hollow),
            "workers": run.config.section(scenario.Workers).workers,
            "followers": run.final.get("followers", 0),
            "proxies": run.config.section(scenario.Proxies).count,
        },
        "clock": run.plan.clock,
        "beat_s": run.scale.beat,
        "span_s": round(span, 2),
        "ended": reason or "whole",
        "peak_mb": round(run.peak_mb),
        "steps": {name: step.kind for name, step in run.plan.steps.items()},
        "roles": roles,
        "times": {
            "joined_s": round(getattr(run, "joined_after", 0.0), 2),
            "views_equal_s": run.equal_after,
            "failed_seen_s": accounting.summarize_durations(detection["each"]),
            "failed_seen_by_last_s": accounting.summarize_durations(detection["last"]),
            "list_at_last_s": accounting.summarize_durations(run.final.get("reached", [])),
            "configured_at_last_s": accounting.summarize_durations(run.configured),
        },
        "truth": {
            "false_verdicts": len(false_verdicts),
            "false_shown": truth.format_verdicts(false_verdicts),
            "verdicts": len(run.verdicts),
            "verdicts_missing": detection["missing"],
            "verdicts_uncounted": run.dropped_verdicts,
            "views_equal": run.equal_after is not None,
            "views_within_s": run.bounds.views_within,
            "rules": run.rule_summary,
            "grace_s": round(grace, 2),
            "list_changes": run.final.get("changes", 0),
            "list_lost": run.final.get("lost", []) or [],
            "list_disordered": run.final.get("disordered", []),
        },
        "validation": {"own": comparison, "earlier": validated},
        "strained": strained,
        "valid": not reason
        and not strained
        and not run.dropped_verdicts
        and (
            (at_small or run.scale.name == "validate")
            and (comparison is None or comparison["valid"])
        ),
    }


def validated(results: Path) -> dict[str, bool]:
    """Return by size whether the runs that compare hollow with real members were valid."""
    found: dict[str, bool] = {}
    for path in sorted(results.glob("validate-*.json")):
        with path.open(encoding="utf-8") as file:
            result = json.load(file)
        size = str(result["sizes"]["members"])
        found[size] = found.get(size, True) and bool(result["valid"])
    return found


def name_of(config: ConfigFile, size: int) -> str:
    """Return the file name of the result of a scenario with this number of members."""
    scale = config.section(scenario.Scale)
    return f"{scale.name}-{size}-s{scale.seed}.json"


def play(
    config: ConfigFile, size: int, results: Path, write_progress: ProgressWriter = print_to_stderr
) -> tuple[Path, dict[str, Any]]:
    """Run one size and write its result; an early end writes a `.partial` file instead."""
    run = Run(config, size, write_progress)
    try:
        reason = trio.run(run.play)
        found = build_result(run, reason, validated(results))
    finally:
        shutil.rmtree(run.folder, ignore_errors=True)
    results.mkdir(parents=True, exist_ok=True)
    path = results / name_of(config, size)
    partial = path.with_name(path.name.replace(".json", ".partial"))
    written = partial if reason else path
    fresh = written.with_suffix(".new")
    fresh.write_text(json.dumps(found, indent=1, sort_keys=True) + "\n", encoding="utf-8")
    fresh.replace(written)
    if not reason:
        partial.unlink(missing_ok=True)
    return written, found


summary = functools.partial(json.dumps, sort_keys=True)
