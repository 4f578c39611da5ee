"""Rolling upgrade of three manager processes from the recorded version to this checkout.

Managers of both versions lead and follow side by side, under traffic and during a deploy. The
recorded version is `data/dunlinlug-recorded.zip` (see `record_package.py`).
"""

import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import datetime
from functools import cached_property
from pathlib import Path
from subprocess import PIPE
from typing import Any

import pytest
import trio

from dunlinlug.audit import figures, records, rules
from dunlinlug.config import manager_config, units
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.ownership import history
from dunlinlug.net import http
from dunlinlug.scenarios.runner import ScenarioProcess, ScenarioRunner
from tests.config.test_manager_config import manager_file

# Names in the managers' logs, for each version. After a change of the present names, only
# `PRESENT_LOG` is changed.


@dataclass(frozen=True)
class LogNames:
    """Events that the test looks for, and their fields."""

    ready: str = "manager.ready"
    ready_epoch: str = "epoch"
    leads: str = "election.became_leader"
    leads_term: str = "term"
    leads_position: str = "position"
    leads_fresh: str = "fresh"
    restored: str = "election.snapshot_restored"
    effect_executed: str = "ownership.effect_executed"
    effect_rejected: str = "ownership.effect_rejected"
    task: str = "piece"
    task_token: str = "number"
    task_sequence: str = "count"
    task_owner: str = "owner"
    rejection_reason: str = "why"
    # Rejected frames and errors: none is expected in a rolling upgrade.
    faults: frozenset[str] = frozenset(
        {
            "election.replication_failed",
            "peer.authentication_failed",
            "membership.datagrams_rejected",
            "connection.internal_error",
            "proxy.protocol_error",
            "store.invalid_list",
            "reload.rejected",
        }
    )


RECORDED_LOG = LogNames(
    leads="succession.leads",
    restored="succession.restored",
    effect_executed="owner.carried",
    effect_rejected="owner.refused",
    faults=frozenset(
        {
            "succession.fault",
            "peer.forged",
            "member.refused",
            "link.fault",
            "proxy.fault",
            "store.fault",
            "reload.refused",
        }
    ),
)
PRESENT_LOG = LogNames()

# Keys in responses of the admin API, the same in both versions: `GET /fleet`, `GET /members`,
# `GET /work`.
LEADER, LEADS, TERM, POSITION, BEHIND = "master", "leads", "term", "position", "behind"
COUNTS, REFUSED_FRAMES = "counts", "refused_"
OWNED = "holds"

# Reasons for which an executor rejects a task's effect while a manager restarts, also among
# managers of one version. They are prefixes of texts in the logs of both versions.
ORDINARY_REASONS = ("this carrier follows no log yet", "number ", "it came before")

ROOT = Path(__file__).parent.parent.parent
ARCHIVE = Path(__file__).parent / "data" / "dunlinlug-recorded.zip"
DAY = ROOT / "days" / "members.ini"
TOKEN = "a-token-of-the-tests"
BATCHES = 20  # that a new leader processes before the next step
STEP_TIMEOUT = 15.0  # seconds for each step of the upgrade; most take one or two
LENGTH = 30  # seconds of the day; the upgrade must end within it

# The longer lease keeps a busy machine from changing the leader; the safety limits leave time for a
# takeover after it.
CHANGES = (
    ("length = 24s", f"length = {LENGTH}s"),
    ("lease = 1s", "lease = 2s"),
    ("forgets = 2s", "forgets = 4s"),
    ("bare = 4.7s", "bare = 6s"),
    ("drain_grace = 3.5s", "drain_grace = 5s"),
)
DEPLOY = """
[trouble deploy]
kind = deploy
at = 1s
lasts = 20s
every = 2s
part = 60%
size = 2
"""


@dataclass(frozen=True)
class Version:
    """A version of the package, and where its processes import it from."""

    name: str
    source: Path
    log: LogNames

    def python(self, *arguments: str) -> tuple[str, ...]:
        """Return a command that imports from `source` first; `-P` excludes the cwd."""
        return ("env", f"PYTHONPATH={self.source}", sys.executable, "-P", *arguments)

    @property
    def manager(self) -> tuple[str, ...]:
        return self.python("-m", "dunlinlug", "manager")


RECORDED = Version("recorded", ARCHIVE, RECORDED_LOG)
PRESENT = Version("present", ROOT, PRESENT_LOG)


def seconds(line: dict[str, Any]) -> float:
    """Return when a log line was written."""
    return datetime.fromisoformat(line["timestamp"]).timestamp()


@dataclass
class Run:
    """One process of a manager, from start to exit, with its own log."""

    member: str
    version: Version
    log: Path

    def lines(self) -> Iterator[dict[str, Any]]:
        for line in self.log.read_text(encoding="utf-8").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue  # truncated by a kill, or not a log line

    def events(self, name: str) -> list[dict[str, Any]]:
        return [line for line in self.lines() if line.get("event") == name]

    @cached_property
    def started_at(self) -> float:
        return seconds(next(self.lines()))

    def takeovers(self) -> list["Takeover"]:
        names = self.version.log
        return [
            Takeover(
                self.member,
                self.version.name,
                int(line[names.leads_term]),
                int(line[names.leads_position]),
                bool(line[names.leads_fresh]),
            )
            for line in self.events(names.leads)
        ]

    def effects(self) -> Iterator[history.Observation]:
        """Yield the effects that this manager executed or rejected for owners of tasks."""
        names = self.version.log
        for line in self.lines():
            if line.get("event") in (names.effect_executed, names.effect_rejected):
                yield history.Observation(
                    seconds(line),
                    self.log.stem,
                    line[names.task],
                    line[names.task_token],
                    line[names.task_sequence],
                    line[names.task_owner],
                    line["event"] == names.effect_executed,
                )


@dataclass(frozen=True)
class Takeover:
    """A manager's log of becoming leader; `fresh` if it started without a state."""

    member: str
    version: str
    term: int
    position: int
    fresh: bool


@dataclass
class Upgrade:
    """The managers of a running day, and the steps of their upgrade."""

    runner: ScenarioRunner
    admin: dict[str, str]
    runs: list[Run] = field(default_factory=list)
    counts: list[tuple[str, str, dict[str, int]]] = field(default_factory=list)

    def run_of(self, member: str) -> Run:
        return [run for run in self.runs if run.member == member][-1]

    def version_of(self, member: str) -> str:
        return self.run_of(member).version.name

    def version_at(self, member: str, at: float) -> str:
        """Return the version of this member's latest process at that time."""
        started = [run for run in self.runs if run.member == member and run.started_at <= at]
        return started[-1].version.name

    def executed_version_pairs(self) -> set[tuple[str, str]]:
        """Return the pairs of versions (owner, executor) among the executed effects."""
        return {
            (self.version_at(observation.owner, observation.observed_at), run.version.name)
            for run in self.runs
            for observation in run.effects()
            if observation.done
        }

    async def request(self, member: str, path: str) -> dict[str, Any] | None:
        """Return a response of the admin API; None while the manager does not serve it."""
        client = http.Client(*units.parse_address(self.admin[member]))
        with trio.move_on_after(2.0):
            try:
                reply = await client.request("GET", path, {"authorization": f"Bearer {TOKEN}"})
            except http.HttpError:
                return None
            assert reply.status == 200, (member, path, reply)
            answer: dict[str, Any] = json.loads(reply.body)
            return answer
        return None

    async def until(
        self,
        member: str,
        what: str,
        is_reached: Callable[[dict[str, Any]], bool],
        path: str = "/fleet",
    ) -> Any:
        """Wait until this member's response satisfies a condition; return the response."""
        state: dict[str, Any] | None = None
        with trio.move_on_after(STEP_TIMEOUT):
            while True:
                state = await self.request(member, path)
                if state is not None and is_reached(state):
                    return state
                await trio.sleep(0.05)
        pytest.fail(f"{member} is not {what} within {STEP_TIMEOUT} s: {state}")

    async def leader(self) -> tuple[str, dict[str, Any]]:
        with trio.move_on_after(STEP_TIMEOUT):
            while True:
                for member in list(self.runner.managers):
                    state = await self.request(member, "/fleet")
                    if state is not None and state[LEADS]:
                        return member, state
                await trio.sleep(0.05)
        pytest.fail(f"no manager leads within {STEP_TIMEOUT} s")

    async def wait_until_following(self, member: str, leader: str) -> None:
        """Wait until this member has received every batch of this leader."""
        await self.until(
            member,
            f"a follower of {leader}",
            lambda state: state[LEADER] == leader and state[BEHIND] == 0 and state[POSITION] > 0,
        )

    async def store_counts(self, member: str) -> None:
        """Store a manager's counters, which are lost when it exits."""
        state = await self.request(member, "/members")
        assert state is not None
        self.counts.append((member, self.version_of(member), state[COUNTS]))

    async def restart(self, member: str, version: Version, kill: bool = False) -> None:
        """Stop or kill a manager, and start this version with the same configuration and store."""
        await self.store_counts(member)
        part = self.runner.managers.pop(member)
        if kill:
            part.process.kill()
        await part.stop()
        log = self.runner.folder / f"run-{len(self.runs)}-{member}-{version.name}.log"
        file = self.runner.manager_file(member, "ini")
        with log.open("wb") as errors:
            process = await trio.lowlevel.open_process(
                [*version.manager, str(file), "--until-input-closes"], stdin=PIPE, stderr=errors
            )
        self.runner.managers[member] = ScenarioProcess("manager", process)
        self.runs.append(Run(member, version, log))

    async def restart_follower(self, member: str, version: Version, leader: str) -> None:
        """Restart a follower, and wait until it has received its state from the leader."""
        await self.restart(member, version)
        await self.wait_until_following(member, leader)
        assert self.run_of(member).events(version.log.restored), f"{member} restored no snapshot"
        await self.wait_until_executor(member)

    async def wait_until_owner(self, member: str) -> None:
        """Wait until this member owns tasks, which takes a few seconds after its start."""
        await self.until(member, "an owner of tasks", lambda state: state[OWNED] > 0, "/work")

    async def wait_until_executor(self, member: str) -> None:
        """Wait until this member has executed an effect of a task that another one owns."""
        run = self.run_of(member)
        with trio.move_on_after(STEP_TIMEOUT):
            while all(
                observation.owner == member or not observation.done for observation in run.effects()
            ):
                await trio.sleep(0.1)
            return
        pytest.fail(f"{member} executed no effect of others within {STEP_TIMEOUT} s")

    async def wait_until_leading(self, former: dict[str, Any], leader: str) -> None:
        """Wait until this member leads, and check that it continues from the former leader."""
        await self.until(leader, "the leader", lambda state: bool(state[LEADS]))
        takeover = self.run_of(leader).takeovers()[-1]
        assert takeover.term > former[TERM] and takeover.position >= former[POSITION], takeover
        assert not takeover.fresh, takeover
        enough = takeover.position + BATCHES
        await self.until(leader, "processing batches", lambda state: state[POSITION] > enough)

    async def transfer_leadership(self, leader: str, to: str) -> None:
        """Transfer the leadership by the command line of this checkout."""
        await self.wait_until_following(to, leader)
        former = await self.until(leader, "the leader", lambda state: bool(state[LEADS]))
        file = str(self.runner.manager_file(leader, "ini"))
        command = PRESENT.python("-m", "dunlinlug", "fleet", "hand-over", file, to)
        with trio.move_on_after(STEP_TIMEOUT):
            # The command fails if a batch is in progress for longer than it waits.
            while True:
                ended = await trio.run_process(
                    command, check=False, capture_stdout=True, capture_stderr=True
                )
                if ended.returncode == 0:
                    break
                await trio.sleep(0.1)
        await self.wait_until_leading(former, to)

    async def run(self) -> None:
        """Run the whole upgrade, with leaders and followers of either version."""
        with trio.fail_after(2 * STEP_TIMEOUT):
            while len(self.runner.managers) < 3:
                await trio.sleep(0.05)
        self.runs += [
            Run(member, RECORDED, self.runner.manager_file(member, "log"))
            for member in self.runner.managers
        ]
        first, state = await self.leader()
        second, third = (member for member in self.runner.managers if member != first)
        for follower in (second, third):
            await self.wait_until_following(follower, first)
        for member in (first, second, third):
            await self.wait_until_owner(member)
            await self.wait_until_executor(member)
        # A recorded leader with a present and a recorded follower.
        await self.restart_follower(second, PRESENT, first)
        await self.wait_until_owner(second)
        # A present leader takes over from a recorded one, with two recorded followers.
        await self.transfer_leadership(first, second)
        for follower in (first, third):
            await self.wait_until_following(follower, second)
        # Followers of the present and of the recorded version restore a present leader's snapshot.
        await self.restart_follower(first, PRESENT, second)
        await self.wait_until_owner(first)
        await self.restart_follower(third, RECORDED, second)
        # A recorded leader takes over from a present one, with two present followers.
        await self.transfer_leadership(second, third)
        for follower in (first, second):
            await self.wait_until_following(follower, third)
        # The recorded leader is killed: a present one takes over, and the killed one is upgraded.
        former = await self.until(third, "the leader", lambda state: bool(state[LEADS]))
        await self.restart(third, PRESENT, kill=True)
        last, _ = await self.leader()
        assert last != third, "a manager without a state became the leader"
        await self.wait_until_leading(former, last)
        for follower in {first, second, third} - {last}:
            await self.wait_until_following(follower, last)
        assert self.run_of(third).events(PRESENT.log.restored)
        await self.wait_until_executor(third)
        for member in (first, second, third):
            assert self.version_of(member) == PRESENT.name
            await self.store_counts(member)


def day_file(folder: Path) -> Path:
    """Return a copy of `days/members.ini` whose only fault is one deploy."""
    sections = DAY.read_text().split("\n\n")
    text = "\n\n".join(part for part in sections if not part.startswith("[trouble"))
    for old, new in CHANGES:
        assert old in text, old
        text = text.replace(old, new)
    path = folder / "rolling-upgrade.ini"
    path.write_text(f"{text}\n{DEPLOY}")
    return path


def open_admin(runner: ScenarioRunner, folder: Path) -> dict[str, str]:
    """Add an admin API to each manager's configuration; return the addresses by member."""
    token = folder / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    admin = {member: runner.addresses.allocate() for member in runner.members}
    for member, address in admin.items():
        with runner.manager_file(member, "ini").open("a") as file:
            file.write(f"\n[operators]\ntoken_file = {token}\nlisten = {address}\n")
    return admin


@asynccontextmanager
async def running_day(runner: ScenarioRunner) -> AsyncIterator[None]:
    """Run the day concurrently with the block, and wait for its end after the block."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        yield


@pytest.mark.parametrize("version", [RECORDED, PRESENT], ids=lambda version: version.name)
def test_each_version_is_imported_from_its_own_source(version: Version) -> None:
    code = (
        "import dunlinlug, dunlinlug.ads.main as main; print(dunlinlug.__file__); print(main.__file__)"
        if version is RECORDED
        else "import dunlinlug; print(dunlinlug.__file__)"
    )
    answer = subprocess.run(version.python("-c", code), capture_output=True, text=True, check=True)
    assert answer.stdout.split(), answer
    for file in answer.stdout.split():
        assert file.startswith(f"{version.source}{os.sep}dunlinlug{os.sep}"), file


def test_a_follower_of_this_version_has_exactly_the_state_of_a_recorded_leader(
    tmp_path: Path,
) -> None:
    """Both versions write the same bytes for a state and a batch, so each reads the other's."""
    file = manager_file(tmp_path)
    script = str(Path(__file__).parent / "write_states.py")
    subprocess.run(RECORDED.python(script, str(file), str(tmp_path)), check=True)
    before, after = (tmp_path / f"{name}.state" for name in ("before", "after"))
    module, replica_snapshot = replicated_state.deserialize_snapshot(
        before.read_bytes(),
        manager_config.manager_settings(manager_config.load_manager_config(file)),
    )
    assert replicated_state.serialize_snapshot(module, replica_snapshot) == before.read_bytes()
    batches = [path.read_bytes() for path in sorted(tmp_path.glob("*.batch"))]
    assert len(batches) > 100
    for data in batches:
        batch = replicated_state.deserialize_batch(data)
        assert replicated_state.serialize_batch(batch) == data
        module.decide(batch.now, batch.events)
    _, expected = replicated_state.deserialize_snapshot(
        after.read_bytes(),
        manager_config.manager_settings(manager_config.load_manager_config(file)),
    )
    assert replicated_state.serialize_snapshot(module, expected) == after.read_bytes()


async def test_three_managers_are_upgraded_one_after_the_other(tmp_path: Path) -> None:
    runner = ScenarioRunner(day_file(tmp_path), tmp_path / "day", RECORDED.manager)
    upgrade = Upgrade(runner, open_admin(runner, tmp_path))
    async with running_day(runner):
        await upgrade.run()

    # Proxies, workers and callers observed no violation of a rule, and traffic was served.
    day_records = records.read_records(runner.folder)
    assert rules.find_violations(day_records) == []
    summary = figures.summarize(day_records)
    assert summary.served_fraction > 0.3 and sum(summary.outcomes.values()) > 300, summary

    # The leadership moved between the versions, and only the first leader started without a state.
    takeovers = sorted(
        (takeover for run in upgrade.runs for takeover in run.takeovers()),
        key=lambda takeover: takeover.term,
    )
    assert [takeover.fresh for takeover in takeovers] == [True] + [False] * (len(takeovers) - 1)
    leading = [takeover.version for takeover in takeovers]
    changes = [one for n, one in enumerate(leading) if n == 0 or one != leading[n - 1]]
    assert changes == ["recorded", "present", "recorded", "present"], takeovers
    positions = [takeover.position for takeover in takeovers]
    assert positions == sorted(positions), takeovers

    # No frame was rejected and no error was logged.
    for run in upgrade.runs:
        text = run.log.read_text(encoding="utf-8")
        faults = [line for line in run.lines() if line.get("event") in run.version.log.faults]
        assert faults == [] and "Traceback" not in text, (run, faults)
    assert len(upgrade.counts) == 7  # four restarts, and three managers at the end
    for member, version, counts in upgrade.counts:
        assert counts["in"] > 0, (member, version, counts)
        refused = {name: n for name, n in counts.items() if name.startswith(REFUSED_FRAMES)}
        assert refused == {}, (member, version, refused)

    # Each process opened its member's store, which counts the epochs.
    for member in runner.members:
        epochs = [
            line[run.version.log.ready_epoch]
            for run in upgrade.runs
            if run.member == member
            for line in run.events(run.version.log.ready)
        ]
        assert len(epochs) >= 2 and epochs == list(range(1, len(epochs) + 1)), (member, epochs)

    # Tasks had one owner at a time; effects were rejected only for reasons that a restart causes.
    effects = [observation for run in upgrade.runs for observation in run.effects()]
    assert history.find_violations(effects) == []
    done = {
        (observation.owner, observation.executor) for observation in effects if observation.done
    }
    assert {owner for owner, _ in done} == set(runner.members)
    assert {executor for _, executor in done} == {run.log.stem for run in upgrade.runs}
    versions = (RECORDED.name, PRESENT.name)
    assert upgrade.executed_version_pairs() == {
        (owner, executor) for owner in versions for executor in versions
    }
    for run in upgrade.runs:
        for line in run.events(run.version.log.effect_rejected):
            assert line[run.version.log.rejection_reason].startswith(ORDINARY_REASONS), (run, line)
