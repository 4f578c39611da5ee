"""Rolling upgrade of three managers, as processes, from the recorded version of the package to this
checkout.

Managers of both versions lead and follow side by side, under traffic and a deploy. The recorded
version is `data/dunlinlug-recorded.zip` (see `record_package.py`).
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

# Names in the managers' logs, for each version. A change of the present names changes `PRESENT_LOG`
# alone.


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
    carried: str = "ownership.effect_executed"
    not_carried: str = "ownership.effect_rejected"
    work: str = "piece"
    work_number: str = "number"
    work_count: str = "count"
    work_owner: str = "owner"
    work_why: str = "why"
    # Frames that were refused, and faults: none is expected in a rolling upgrade.
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
    carried="owner.carried",
    not_carried="owner.refused",
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

# Answers of the operators' HTTP endpoint, which both versions give alike: `GET /fleet`, `GET
# /members`, `GET /work`.
LEADER, LEADS, TERM, POSITION, BEHIND = "master", "leads", "term", "position", "behind"
COUNTS, REFUSED_FRAMES = "counts", "refused_"
OWNED = "holds"

# Reasons for which a carrier of work refuses it when a manager is restarted, also among managers of
# one version.
ORDINARY_REASONS = ("this carrier follows no log yet", "number ", "it came before")

ROOT = Path(__file__).parent.parent.parent
ARCHIVE = Path(__file__).parent / "data" / "dunlinlug-recorded.zip"
DAY = ROOT / "days" / "members.ini"
TOKEN = "a-token-of-the-tests"
BATCHES = 20  # that a leader orders before the next step
WITHIN = 15.0  # seconds for each step of the upgrade, of which most take one or two
LENGTH = 30  # seconds of the day; the upgrade is to end within it

# A busy machine is to change no leader by itself; the duties leave room for a takeover by this
# lease.
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
        """A command in which `source` comes before the editable install; `-P` keeps out the current
        directory.
        """
        return ("env", f"PYTHONPATH={self.source}", sys.executable, "-P", *arguments)

    @property
    def manager(self) -> tuple[str, ...]:
        return self.python("-m", "dunlinlug", "manager")


RECORDED = Version("recorded", ARCHIVE, RECORDED_LOG)
PRESENT = Version("present", ROOT, PRESENT_LOG)


def seconds(line: dict[str, Any]) -> float:
    """When a log line was written."""
    return datetime.fromisoformat(line["timestamp"]).timestamp()


@dataclass
class Run:
    """One process of a manager, from its start to its end, with a log of its own."""

    member: str
    version: Version
    log: Path

    def lines(self) -> Iterator[dict[str, Any]]:
        for line in self.log.read_text(encoding="utf-8").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue  # cut short by a kill, or no line of the log

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

    def work(self) -> Iterator[history.Observation]:
        """What this manager did and refused as a carrier of work."""
        names = self.version.log
        for line in self.lines():
            if line.get("event") in (names.carried, names.not_carried):
                yield history.Observation(
                    seconds(line),
                    self.log.stem,
                    line[names.work],
                    line[names.work_number],
                    line[names.work_count],
                    line[names.work_owner],
                    line["event"] == names.carried,
                )


@dataclass(frozen=True)
class Takeover:
    """A manager's own word that it leads, and whether it began from nothing."""

    member: str
    version: str
    term: int
    position: int
    fresh: bool


@dataclass
class Upgrade:
    """The managers of a day that is being played, and what is done to them."""

    player: ScenarioRunner
    admin: dict[str, str]
    runs: list[Run] = field(default_factory=list)
    counts: list[tuple[str, str, dict[str, int]]] = field(default_factory=list)

    def run_of(self, member: str) -> Run:
        return [run for run in self.runs if run.member == member][-1]

    def version_of(self, member: str) -> str:
        return self.run_of(member).version.name

    def version_at(self, member: str, at: float) -> str:
        """The version of this member's latest process at that time."""
        started = [run for run in self.runs if run.member == member and run.started_at <= at]
        return started[-1].version.name

    def crossings(self) -> set[tuple[str, str]]:
        """Of work that was done: the versions of its owner and of its carrier, each pair once."""
        return {
            (self.version_at(seen.owner, seen.observed_at), run.version.name)
            for run in self.runs
            for seen in run.work()
            if seen.done
        }

    async def ask(self, member: str, path: str) -> dict[str, Any] | None:
        """An answer of the operators' endpoint; None while the manager does not serve it."""
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
        holds: Callable[[dict[str, Any]], bool],
        path: str = "/fleet",
    ) -> Any:
        """Wait until what this member answers is so; its last answer."""
        state: dict[str, Any] | None = None
        with trio.move_on_after(WITHIN):
            while True:
                state = await self.ask(member, path)
                if state is not None and holds(state):
                    return state
                await trio.sleep(0.05)
        pytest.fail(f"{member} is not {what} within {WITHIN} s: {state}")

    async def leader(self) -> tuple[str, dict[str, Any]]:
        with trio.move_on_after(WITHIN):
            while True:
                for member in list(self.player.managers):
                    state = await self.ask(member, "/fleet")
                    if state is not None and state[LEADS]:
                        return member, state
                await trio.sleep(0.05)
        pytest.fail(f"no manager leads within {WITHIN} s")

    async def followed(self, member: str, leader: str) -> None:
        """Wait until this member has every batch of this leader."""
        await self.until(
            member,
            f"a follower of {leader}",
            lambda state: state[LEADER] == leader and state[BEHIND] == 0 and state[POSITION] > 0,
        )

    async def note_counts(self, member: str) -> None:
        """Keep what this manager has counted so far, as its counters end with it."""
        state = await self.ask(member, "/members")
        assert state is not None
        self.counts.append((member, self.version_of(member), state[COUNTS]))

    async def restart(self, member: str, version: Version, kill: bool = False) -> None:
        """Stop this manager, or kill it, and start it with this version on the same file and store."""
        await self.note_counts(member)
        part = self.player.managers.pop(member)
        if kill:
            part.process.kill()
        await part.stop()
        log = self.player.folder / f"run-{len(self.runs)}-{member}-{version.name}.log"
        file = self.player.manager_file(member, "ini")
        with log.open("wb") as errors:
            process = await trio.lowlevel.open_process(
                [*version.manager, str(file), "--until-input-closes"], stdin=PIPE, stderr=errors
            )
        self.player.managers[member] = ScenarioProcess("manager", process)
        self.runs.append(Run(member, version, log))

    async def restart_follower(self, member: str, version: Version, leader: str) -> None:
        """Restart a follower: it is given everything by the leader, from its beginning nothing."""
        await self.restart(member, version)
        await self.followed(member, leader)
        assert self.run_of(member).events(version.log.restored), f"{member} was given no state"
        await self.carries(member)

    async def owns(self, member: str) -> None:
        """Wait until this member owns work of the fleet, as it does once it has been there for a
        few seconds.
        """
        await self.until(member, "an owner of work", lambda state: state[OWNED] > 0, "/work")

    async def carries(self, member: str) -> None:
        """Wait until this member has done work that another one owns."""
        run = self.run_of(member)
        with trio.move_on_after(WITHIN):
            while all(seen.owner == member or not seen.done for seen in run.work()):
                await trio.sleep(0.1)
            return
        pytest.fail(f"{member} carries no work of others within {WITHIN} s")

    async def led_on(self, former: dict[str, Any], leader: str) -> None:
        """Wait until this member leads, and see that it goes on from where the former leader was."""
        await self.until(leader, "the leader", lambda state: bool(state[LEADS]))
        takeover = self.run_of(leader).takeovers()[-1]
        assert takeover.term > former[TERM] and takeover.position >= former[POSITION], takeover
        assert not takeover.fresh, takeover
        enough = takeover.position + BATCHES
        await self.until(leader, "at work", lambda state: state[POSITION] > enough)

    async def hand_over(self, leader: str, to: str) -> None:
        """A planned change of leader, by the command line of this checkout."""
        await self.followed(to, leader)
        former = await self.until(leader, "the leader", lambda state: bool(state[LEADS]))
        file = str(self.player.manager_file(leader, "ini"))
        command = PRESENT.python("-m", "dunlinlug", "fleet", "hand-over", file, to)
        with trio.move_on_after(WITHIN):
            # Refused where a batch is under way for longer than the command waits.
            while True:
                ended = await trio.run_process(
                    command, check=False, capture_stdout=True, capture_stderr=True
                )
                if ended.returncode == 0:
                    break
                await trio.sleep(0.1)
        await self.led_on(former, to)

    async def roll(self) -> None:
        """The whole upgrade, with leaders and followers of either version."""
        with trio.fail_after(2 * WITHIN):
            while len(self.player.managers) < 3:
                await trio.sleep(0.05)
        self.runs += [
            Run(member, RECORDED, self.player.manager_file(member, "log"))
            for member in self.player.managers
        ]
        first, state = await self.leader()
        second, third = (member for member in self.player.managers if member != first)
        for follower in (second, third):
            await self.followed(follower, first)
        for member in (first, second, third):
            await self.owns(member)
            await self.carries(member)
        # A recorded leader with a present and a recorded follower.
        await self.restart_follower(second, PRESENT, first)
        await self.owns(second)
        # A present leader, from a recorded one, with two recorded followers.
        await self.hand_over(first, second)
        for follower in (first, third):
            await self.followed(follower, second)
        # What a present leader gives is taken in by the present version and by the recorded one.
        await self.restart_follower(first, PRESENT, second)
        await self.owns(first)
        await self.restart_follower(third, RECORDED, second)
        # A recorded leader, from a present one, with two present followers.
        await self.hand_over(second, third)
        for follower in (first, second):
            await self.followed(follower, third)
        # The recorded leader is killed: a present one takes over, and the last one is upgraded.
        former = await self.until(third, "the leader", lambda state: bool(state[LEADS]))
        await self.restart(third, PRESENT, kill=True)
        last, _ = await self.leader()
        assert last != third, "a manager that has just started knows nothing"
        await self.led_on(former, last)
        for follower in {first, second, third} - {last}:
            await self.followed(follower, last)
        assert self.run_of(third).events(PRESENT.log.restored)
        await self.carries(third)
        for member in (first, second, third):
            assert self.version_of(member) == PRESENT.name
            await self.note_counts(member)


def day_file(folder: Path) -> Path:
    """The shipped day of managers that know each other, with one deploy as its only trouble."""
    sections = DAY.read_text().split("\n\n")
    text = "\n\n".join(part for part in sections if not part.startswith("[trouble"))
    for old, new in CHANGES:
        assert old in text, old
        text = text.replace(old, new)
    path = folder / "rolling-upgrade.ini"
    path.write_text(f"{text}\n{DEPLOY}")
    return path


def open_admin(player: ScenarioRunner, folder: Path) -> dict[str, str]:
    """Give each manager's file an operators' endpoint; its address by member."""
    token = folder / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    admin = {member: player.addresses.allocate() for member in player.members}
    for member, address in admin.items():
        with player.manager_file(member, "ini").open("a") as file:
            file.write(f"\n[operators]\ntoken_file = {token}\nlisten = {address}\n")
    return admin


@asynccontextmanager
async def played(player: ScenarioRunner) -> AsyncIterator[None]:
    """The day goes on beside the block, and to its end after it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(player.run)
        yield


@pytest.mark.parametrize("version", [RECORDED, PRESENT], ids=lambda version: version.name)
def test_each_version_is_imported_from_its_own_source(version: Version) -> None:
    ask = (
        "import dunlinlug, dunlinlug.ads.main as main; print(dunlinlug.__file__); print(main.__file__)"
        if version is RECORDED
        else "import dunlinlug; print(dunlinlug.__file__)"
    )
    answer = subprocess.run(version.python("-c", ask), capture_output=True, text=True, check=True)
    assert answer.stdout.split(), answer
    for file in answer.stdout.split():
        assert file.startswith(f"{version.source}{os.sep}dunlinlug{os.sep}"), file


def test_a_follower_of_this_version_is_in_the_very_state_of_a_recorded_leader(
    tmp_path: Path,
) -> None:
    """What this version writes is byte for byte what the recorded one does, so that each reads the
    other's.
    """
    file = manager_file(tmp_path)
    script = str(Path(__file__).parent / "write_states.py")
    subprocess.run(RECORDED.python(script, str(file), str(tmp_path)), check=True)
    before, after = (tmp_path / f"{name}.state" for name in ("before", "after"))
    module, standing = replicated_state.deserialize_snapshot(
        before.read_bytes(),
        manager_config.manager_settings(manager_config.load_manager_config(file)),
    )
    assert replicated_state.serialize_snapshot(module, standing) == before.read_bytes()
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
    player = ScenarioRunner(day_file(tmp_path), tmp_path / "day", RECORDED.manager)
    upgrade = Upgrade(player, open_admin(player, tmp_path))
    async with played(player):
        await upgrade.roll()

    # Proxies, workers and callers saw no broken rule, and traffic was served.
    found = records.read_records(player.folder)
    assert rules.find_violations(found) == []
    sums = figures.summarize(found)
    assert sums.served_fraction > 0.3 and sum(sums.outcomes.values()) > 300, sums

    # The leadership passed between the versions, and one alone began from nothing.
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

    # No frame was refused and nothing was faulty.
    for run in upgrade.runs:
        text = run.log.read_text(encoding="utf-8")
        faults = [line for line in run.lines() if line.get("event") in run.version.log.faults]
        assert faults == [] and "Traceback" not in text, (run, faults)
    assert len(upgrade.counts) == 7  # four restarts, and three managers at the end
    for member, version, counts in upgrade.counts:
        assert counts["in"] > 0, (member, version, counts)
        refused = {name: n for name, n in counts.items() if name.startswith(REFUSED_FRAMES)}
        assert refused == {}, (member, version, refused)

    # Each process went on from its member's store: the epoch is counted there.
    for member in player.members:
        epochs = [
            line[run.version.log.ready_epoch]
            for run in upgrade.runs
            if run.member == member
            for line in run.events(run.version.log.ready)
        ]
        assert len(epochs) >= 2 and epochs == list(range(1, len(epochs) + 1)), (member, epochs)

    # Work had one owner at a time; it was refused only for reasons that a restart gives.
    work = [seen for run in upgrade.runs for seen in run.work()]
    assert history.find_violations(work) == []
    done = {(seen.owner, seen.executor) for seen in work if seen.done}
    assert {owner for owner, _ in done} == set(player.members)
    assert {carrier for _, carrier in done} == {run.log.stem for run in upgrade.runs}
    versions = (RECORDED.name, PRESENT.name)
    assert upgrade.crossings() == {(owner, carrier) for owner in versions for carrier in versions}
    for run in upgrade.runs:
        for line in run.events(run.version.log.not_carried):
            assert line[run.version.log.work_why].startswith(ORDINARY_REASONS), (run, line)
