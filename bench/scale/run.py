"""One run: starts all parts, walks the plan, judges, and leaves no process; gives its result as one
dictionary.
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

# the rig's seconds from one look at all parts to the next, and what times of views are told to
POLL = 1.0
NEAR = 0.25  # the same while something is waited for
SHOWN = 5.0  # true seconds between lines of progress
# part of the datagrams that may be dropped unread before the figures are the machine's, not the
# fleet's
DROPS = 0.01
LISTED = 30.0  # the rig's seconds for the list's last change to reach all after the end
Say = Callable[[str], None]


def to_stderr(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


class Run:
    """One plan in a folder of its own, which is gone afterwards unless `keep`."""

    def __init__(
        self, book: ConfigFile, size: int, say: Say = to_stderr, hold: dict[str, int] | None = None
    ) -> None:
        self.book, self.plan, self.say = book, scenario.plan(book, size), say
        self.scale, self.bounds = book.section(scenario.Scale), book.section(scenario.Bounds)
        self.members = book.section(scenario.Members)
        self.folder = Path(tempfile.mkdtemp(prefix="scale-"))
        self.parts: list[stage.Part] = []
        self.reals: dict[str, stage.Part] = {}
        self.roles = {role: Role() for role in ("real", "hollow", "discovery", "proxies")}
        self.before: dict[stage.Part, Reading] = {}
        self.timeline, self.verdicts = truth.Timeline(), list[truth.Verdict]()
        self.begun, self.measuring, self.ended = 0.0, False, 0.0
        self.peak_mb, self.dropped_verdicts = 0.0, 0
        self.configured: list[float] = []
        self.equal_after: float | None = None
        self.equal_at = -1.0  # when all views were equal for the first time after the last fault
        self.final: dict[str, Any] = {}
        self.views: Counter[str] = Counter()
        self.kept_rules: dict[str, Any] | None = None
        self.fixed = hold or {}  # places that a test wants, by name

    # Time.

    def at(self, monotonic: float | None = None) -> float:
        """The rig's seconds since the measured span began."""
        return (
            (time.monotonic() if monotonic is None else monotonic) - self.begun
        ) * self.plan.clock

    async def wait(self, span: float) -> None:
        await trio.sleep(span / self.plan.clock)

    def most(self) -> float:
        """True seconds for all of it."""
        rig = self.scale.settle + self.scale.length + self.bounds.views_within + LISTED
        return (rig + self.bounds.ready_within) / self.plan.clock + 4 * stage.ANSWER

    # The cast.

    def _lay_out(self) -> None:
        names = [
            *self.plan.real,
            *self.plan.hollow,
            "discovery",
            *(f"serves {one}" for one in self.plan.real),
        ]
        self.places = stage.places(names)
        self.places.update({name: (stage.HOST, port) for name, port in self.fixed.items()})
        key = self.folder / "key"
        self.key = secrets.token_hex(32)
        key.touch(mode=0o600)
        key.write_text(self.key)
        roles = {
            self.places[name][1]: "real" if name in self.plan.real else "hollow"
            for name in (*self.plan.real, *self.plan.hollow)
        }
        self.datagrams = budget.Datagrams(roles)

    def _common(self) -> dict[str, Any]:
        return {
            "clock": self.plan.clock,
            "seed": self.scale.seed,
            "discovery": self.places["discovery"],
        }

    def _manager_file(self, name: str, pace: int = scenario.PACE) -> Path:
        return stage.manager_file(
            self.folder,
            name,
            self.places,
            (*self.plan.real, *self.plan.hollow),
            self.scale.seed,
            self.scale.beat,
            pace,
        )

    async def _start(
        self, name: str, role: str, names: tuple[str, ...], told: dict[str, Any]
    ) -> stage.Part:
        if why := budget.over(
            0.0, len(self.parts) + 2, self.bounds.memory_mb, self.bounds.processes
        ):
            raise RunError(why)
        made = await stage.start(name, role, names, {**self._common(), **told}, self.folder)
        self.parts.append(made)
        return made

    async def _start_real(self, name: str) -> stage.Part:
        path = self.folder / f"{name}.ini"
        made = self.reals[name] = await self._start(name, "real", (name,), {"file": str(path)})
        return made

    @asynccontextmanager
    async def _cast(self) -> AsyncIterator[None]:
        try:
            discovery = await self._start(
                "discovery",
                "discovery",
                (),
                {"workers": self.book.section(scenario.Workers).workers},
            )
            await discovery.ready(stage.ANSWER)
            for name in self.plan.real:
                self._manager_file(name)
                await self._start_real(name)
            await self._start_hollow()
            ready = self.bounds.ready_within / self.plan.clock
            async with trio.open_nursery() as nursery:
                for one in self.parts[1:]:
                    nursery.start_soon(one.ready, ready)
            # Danger: begun one process after the other, those that run would take those that don't
            # yet for dead.
            await self._ask_all({"do": "up", "names": self.plan.hollow}, ("hollow",))
            if self.plan.real and self.book.section(scenario.Proxies).count:
                proxies = await self._start(
                    "proxies",
                    "proxies",
                    (),
                    {
                        "managers": [self.places[f"serves {name}"] for name in self.plan.real],
                        "count": self.book.section(scenario.Proxies).count,
                    },
                )
                await proxies.ready(stage.ANSWER)
            yield
        finally:
            with trio.CancelScope(shield=True):
                async with trio.open_nursery() as nursery:
                    for one in self.parts:
                        nursery.start_soon(one.end)

    async def _start_hollow(self) -> None:
        hollow, per = self.plan.hollow, self.members.per_process
        following = frozenset(hollow[: round(self.members.follows * len(hollow))])
        everyone = {name: self.places[name] for name in (*self.plan.real, *hollow)}
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

    # Looking.

    async def _ask_all(
        self, command: dict[str, Any], roles: Iterable[str]
    ) -> dict[stage.Part, dict[str, Any]]:
        found: dict[stage.Part, dict[str, Any]] = {}

        async def one(asked: stage.Part) -> None:
            try:
                found[asked] = await asked.ask(command)
            except RunError:
                if not asked.ending:
                    raise

        async with trio.open_nursery() as nursery:
            for asked in self.parts:
                if asked.role in roles and not asked.ending:
                    nursery.start_soon(one, asked)
        return found

    async def look(self) -> dict[stage.Part, dict[str, Any]]:
        """All parts' figures now; raises RunFault where a bound is passed or a part died."""
        found = await self._ask_all({"do": "report"}, self.roles)
        self.views = Counter[str]()
        for asked, said in found.items():
            self._take(asked, said)
        self.note_equal()
        self.datagrams.look(budget.udp_lines())
        running = [one.process.pid for one in self.parts if one.process.returncode is None]
        held = sum(budget.resident(pid) for pid in (*running, os.getpid()))
        self.peak_mb = max(self.peak_mb, held)
        if why := budget.over(held, len(running) + 1, self.bounds.memory_mb, self.bounds.processes):
            raise RunError(why)
        return found

    def _take(self, asked: stage.Part, said: dict[str, Any]) -> None:
        self.views.update(said.get("views", {}))
        self.dropped_verdicts += said.get("dropped", 0)
        if self.measuring:
            self.roles[asked.role].queue(said.get("queues", {}))
            self.verdicts += [
                truth.Verdict(self.at(at), by, of) for at, by, of in said.get("verdicts", ())
            ]

    def equal(self) -> bool:
        """Whether all members are up and have one view, in which all are alive."""
        if len(self.views) != 1 or sum(self.views.values()) != self.plan.size:
            return False
        _, living, state = next(iter(self.views)).split()
        return int(living) == self.plan.size and state == "alive"

    def note_equal(self) -> None:
        """Views may be equal while a fault stands, of which they then know nothing yet."""
        if self.measuring and self.equal() and self.at() >= self.timeline.ended() > self.equal_at:
            self.equal_at = self.at()

    async def _until_equal(self, within: float) -> float | None:
        """The rig's seconds until all views are equal; None if they were not within that time."""
        began = time.monotonic()
        while True:
            await self.look()
            took = (time.monotonic() - began) * self.plan.clock
            if self.equal():
                return took
            if took > within:
                return None
            await self.wait(NEAR)

    def _views(self) -> str:
        living = [int(view.split()[1]) for view in self.views]
        return f"{len(self.views)} views of {min(living, default=0)} to {max(living, default=0)} members"

    async def _show(self) -> None:
        while True:
            await trio.sleep(SHOWN)
            self.say(self._progress())

    def _progress(self) -> str:
        now = f"{self.at():.0f} of {self.scale.length:g} s" if self.measuring else "getting ready"
        return (
            f"{self.scale.name} {self.plan.size}: {now}, {sum(self.views.values())} members up, "
            f"{self._views()}, {self.peak_mb:.0f} MB, load {os.getloadavg()[0]:.1f}"
        )

    # Doing.

    async def _act(self, act: scenario.Act) -> None:
        names, hollow = set(act.names), [name for name in act.names if name in self.plan.hollow]
        command = {"do": act.do, "names": hollow, "value": act.value}
        match act.do:
            case "churn":
                await self._ask_all(command, ("discovery",))
            case "configure":
                self.nursery.start_soon(self._configure, act)
            case "down" | "leave":
                self.timeline.down(self.at(), act.names, planned=act.do == "leave")
                for name in sorted(names & self.reals.keys()):
                    await self._stop_real(name)
                await self._ask_all(command, ("hollow",))
            case "up":
                await self._ask_all(command, ("hollow",))
                for name in sorted(names & self.reals.keys()):
                    if self.reals[name].ending:
                        again = await self._start_real(name)
                        self.before[again] = Reading(0.0, 0.0, {})
                        await again.ready(self.bounds.ready_within / self.plan.clock)
                self.timeline.up(self.at(), act.names)
            case "cut":
                self.timeline.cut(self.at(), act.names)
                await self._ask_all(command, ("hollow",))
            case "heal":
                await self._ask_all(command, ("hollow",))
                self.timeline.heal(self.at(), act.names)

    async def _stop_real(self, name: str) -> None:
        """Its figures count up to here. SIGTERM is a planned stop: it says goodbye."""
        stopped = self.reals[name]
        if stopped.ending:
            return
        said = await stopped.ask({"do": "report"})
        self._take(stopped, said)
        stopped.ending = True
        self.roles["real"].add(self.before[stopped], Reading(**said["reading"]), 0)
        self.roles["real"].processes -= 1
        self.roles["real"].rss_mb -= said["reading"]["rss_mb"]
        stopped.process.terminate()
        await stopped.end()

    async def _configure(self, act: scenario.Act) -> None:
        """A reload of all real managers; until the last of them has done it."""
        began = time.monotonic()
        asked = [
            self.reals[name]
            for name in act.names
            if name in self.reals and not self.reals[name].ending
        ]
        before = {one: (await one.ask({"do": "reloads"}))["reloads"] for one in asked}
        for one in asked:
            self._manager_file(one.name, act.value)
            one.process.send_signal(signal.SIGHUP)
        last = began
        for one in asked:
            while not one.ending and (await one.ask({"do": "reloads"}))["reloads"] <= before[one]:
                await trio.sleep(0.01)
                if time.monotonic() > began + stage.ANSWER:
                    raise RunError(f"{one.name} has not reloaded within {stage.ANSWER:g} s")
            last = time.monotonic()
        self.configured.append((last - began) * self.plan.clock)

    async def _measure(self) -> None:
        found = await self.look()
        self.before = {asked: Reading(**said["reading"]) for asked, said in found.items()}
        self.datagrams.begin()
        self.begun, self.measuring = time.monotonic(), True
        self.say(self._progress())
        acts, next_look = list(self.plan.acts), POLL
        while acts:
            due = min(acts[0].at, next_look)
            await self.wait(max(due - self.at(), 0.0))
            if acts[0].at <= self.at():
                await self._act(acts.pop(0))
            else:
                next_look = self.at() + POLL
                await self.look()
        found = await self.look()
        self.ended = self.at()
        for asked, said in found.items():
            members = len(asked.names) or said["members"]
            self.roles[asked.role].add(self.before[asked], Reading(**said["reading"]), members)

    async def _judge(self) -> None:
        """After the span: all views equal in time, and the list's last version everywhere."""
        waited = self.at() - self.timeline.ended()
        took = await self._until_equal(max(self.bounds.views_within - waited, 0.0))
        self.equal_after = None if took is None else max(self.equal_at - self.timeline.ended(), 0.0)
        began = self.at()
        found: dict[stage.Part, dict[str, Any]] = {}
        while self.at() < began + LISTED:
            found = await self._ask_all({"do": "final"}, ("real", "hollow", "discovery"))
            self.final = self._finals(found)
            if not self.final["lost"]:
                break
            await self.wait(POLL)
        await self._rules(found)

    async def _rules(self, found: dict[stage.Part, dict[str, Any]]) -> None:
        """What the project's audit says of each real manager, by what its proxies recorded."""
        told = await self._ask_all({"do": "record"}, ("discovery", "proxies"))
        by_role = {asked.role: said for asked, said in told.items()}
        if "proxies" not in by_role:
            return
        changes = {int(index): changed for index, changed in by_role["discovery"]["states"].items()}
        listed = rules.states(by_role["discovery"]["workers"], changes)
        lines = by_role["proxies"]["lines"]
        breaks = []
        for n, name in enumerate(self.plan.real):
            said = found.get(self.reals[name])
            if said is None or name in self.timeline.downs:
                # its proxies' records tell of two managers, of which each has a clock of its own
                continue
            monotonic, own = said["clock_at"]
            theirs = [
                {**line, "at": own + (line["at"] - monotonic) * self.plan.clock}
                for line in lines
                if int(line["proxy"][1:]) % len(self.plan.real) == n
            ]
            [versions] = said["taken"][name].values()
            taken = [(index, own + (at - monotonic) * self.plan.clock) for index, at in versions]
            path = self.folder / f"{name}.ini"
            breaks += await trio.to_thread.run_sync(
                rules.judge, rules.book_of(path), theirs, taken, listed, own
            )
        self.kept_rules = rules.summed(
            breaks, len(lines), sum(line["e"] == "try" for line in lines)
        )

    def _finals(self, found: dict[stage.Part, dict[str, Any]]) -> dict[str, Any]:
        told = next(said for asked, said in found.items() if asked.role == "discovery")
        lost, taken = list[str](), dict[str, list[tuple[int, float]]]()
        for asked, said in found.items():
            if asked.role == "discovery":
                continue
            held = {name: (index, digest) for name, (index, digest) in said["held"].items()}
            lost += truth.lost(held, told["index"], told["digests"][asked.role == "real"])
            taken.update(
                {
                    f"{name} {born}": versions
                    for name, starts in said["taken"].items()
                    for born, versions in starts.items()
                }
            )
        steady = {
            name: [(index, self.at(at)) for index, at in versions]
            for name, versions in taken.items()
            if name.split()[0] not in self.timeline.downs
        }
        changes = {
            int(index): self.at(at) for index, at in told["changes"].items() if self.at(at) > 0
        }
        return {
            "lost": lost,
            "changes": len(changes),
            "followers": len({name.split()[0] for name in taken}),
            "disordered": truth.disordered(
                {name: [index for index, _ in versions] for name, versions in taken.items()}
            ),
            "reached": truth.reached(changes, steady),
        }

    async def play(self) -> str:
        """The whole run; gives why it ended early, in words, or nothing."""
        self.load = [os.getloadavg()[0]]
        why = ""
        try:
            self._lay_out()
            with trio.fail_after(self.most()):
                async with trio.open_nursery() as guard:
                    guard.start_soon(self._interrupted)
                    async with self._cast(), trio.open_nursery() as self.nursery:
                        self.nursery.start_soon(self._show)
                        await self._walk()
                        self.nursery.cancel_scope.cancel()
                    guard.cancel_scope.cancel()
        except* trio.TooSlowError:
            why = f"the run did not end within {self.most():.0f} s"
        except* RunError as faults:
            why = str(part.first(faults))
        finally:
            self.load.append(os.getloadavg()[0])
        return why

    async def _walk(self) -> None:
        took = await self._until_equal(self.bounds.ready_within)
        if took is None:
            raise RunError(
                f"members did not find each other within {self.bounds.ready_within:g} s: {self._views()}"
            )
        self.joined_after = took
        await self.wait(self.scale.settle)
        if self.members.joined:
            await self._ask_all({"do": "settled"}, ("real",))
        await self._measure()
        await self._judge()

    async def _interrupted(self) -> None:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for number in signals:
                raise RunError(f"interrupted by {signal.Signals(number).name}")


def figures(run: Run, why: str, validated: dict[str, bool]) -> dict[str, Any]:
    """The result of a run. `validated` tells of earlier runs, by size, whether hollow members did
    as real ones.
    """
    span = run.ended or (run.at() if run.measuring else 0.0)
    asked = accounting.together(run.roles["discovery"].kinds).get("list actual")
    if (
        asked is not None and run.roles["real"].kinds
    ):  # its queries are counted where they are answered
        run.roles["real"].kinds.append({"list": accounting.turned(asked)})
    roles = {name: role.figures(span) for name, role in run.roles.items()}
    for name in ("real", "hollow"):
        dropped = run.datagrams.dropped(name) if run.measuring else 0
        roles[name]["datagrams"] = {
            "dropped": dropped,
            "longest_unread_bytes": run.datagrams.longest.get(name, 0),
        }
    late = truth.grace(run.scale.beat, run.plan.size)
    wrong = truth.false(run.verdicts, run.timeline, late)
    seen = truth.seen(run.verdicts, run.timeline, (*run.plan.real, *run.plan.hollow))
    same = not run.timeline.downs and not run.timeline.cuts
    own = accounting.compared(roles["real"], roles["hollow"], run.bounds.error) if same else None
    heard = sum(
        held["in"] for name in ("real", "hollow") for held in roles[name]["messages"].values()
    )
    drops = sum(roles[name]["datagrams"]["dropped"] for name in ("real", "hollow"))
    strained = drops > DROPS * heard
    at_small = all(validated.get(size, False) for size in ("5", "30"))
    return {
        "scenario": run.scale.name,
        "seed": run.scale.seed,
        "date": time.strftime("%Y-%m-%d %H:%M"),
        "machine": {
            "cores": os.cpu_count(),
            "memory_gb": budget.memory_gb(),
            "load": [round(x, 1) for x in run.load],
        },
        "sizes": {
            "members": run.plan.size,
            "real": len(run.plan.real),
            "hollow": len(run.plan.hollow),
            "workers": run.book.section(scenario.Workers).workers,
            "followers": run.final.get("followers", 0),
            "proxies": run.book.section(scenario.Proxies).count,
        },
        "clock": run.plan.clock,
        "beat_s": run.scale.beat,
        "span_s": round(span, 2),
        "ended": why or "whole",
        "peak_mb": round(run.peak_mb),
        "steps": {name: step.kind for name, step in run.plan.steps.items()},
        "roles": roles,
        "times": {
            "joined_s": round(getattr(run, "joined_after", 0.0), 2),
            "views_equal_s": run.equal_after,
            "failed_seen_s": accounting.spread(seen["each"]),
            "failed_seen_by_last_s": accounting.spread(seen["last"]),
            "list_at_last_s": accounting.spread(run.final.get("reached", [])),
            "configured_at_last_s": accounting.spread(run.configured),
        },
        "truth": {
            "false_verdicts": len(wrong),
            "false_shown": truth.shown(wrong),
            "verdicts": len(run.verdicts),
            "verdicts_missing": seen["missing"],
            "verdicts_uncounted": run.dropped_verdicts,
            "views_equal": run.equal_after is not None,
            "views_within_s": run.bounds.views_within,
            "rules": run.kept_rules,
            "grace_s": round(late, 2),
            "list_changes": run.final.get("changes", 0),
            "list_lost": run.final.get("lost", []) or [],
            "list_disordered": run.final.get("disordered", []),
        },
        "validation": {"own": own, "earlier": validated},
        "strained": strained,
        "valid": not why
        and not strained
        and not run.dropped_verdicts
        and ((at_small or run.scale.name == "validate") and (own is None or own["valid"])),
    }


def validated(results: Path) -> dict[str, bool]:
    """Of runs at 5 and 30 members that compare hollow members with real ones, whether they were
    valid.
    """
    found: dict[str, bool] = {}
    for path in sorted(results.glob("validate-*.json")):
        with path.open(encoding="utf-8") as file:
            told = json.load(file)
        size = str(told["sizes"]["members"])
        found[size] = found.get(size, True) and bool(told["valid"])
    return found


def name_of(book: ConfigFile, size: int) -> str:
    scale = book.section(scenario.Scale)
    return f"{scale.name}-{size}-s{scale.seed}.json"


def play(
    book: ConfigFile, size: int, results: Path, say: Say = to_stderr
) -> tuple[Path, dict[str, Any]]:
    """Play one size and write its result; one that ended early is written as `.partial` and counts
    as not played.
    """
    run = Run(book, size, say)
    try:
        why = trio.run(run.play)
        found = figures(run, why, validated(results))
    finally:
        shutil.rmtree(run.folder, ignore_errors=True)
    results.mkdir(parents=True, exist_ok=True)
    path = results / name_of(book, size)
    partial = path.with_name(path.name.replace(".json", ".partial"))
    written = partial if why else path
    fresh = written.with_suffix(".new")
    fresh.write_text(json.dumps(found, indent=1, sort_keys=True) + "\n", encoding="utf-8")
    fresh.replace(written)
    if not why:
        partial.unlink(missing_ok=True)
    return written, found


summary = functools.partial(json.dumps, sort_keys=True)
