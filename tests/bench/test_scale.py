"""The scale benchmark: pure parts against simple models, failing runs, and short runs by counts."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import pairwise
from math import inf
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from bench.scale import (
    accounting,
    budget,
    discovery,
    hollow,
    part,
    proxies,
    rules,
    run,
    scenario,
    stage,
    sweep,
    truth,
)
from bench.scale.__main__ import main
from dunlinlug.config.reader import ConfigError
from dunlinlug.fleet.membership.messages import ALIVE, MemberState, Ping, ProcessPaused, Send
from dunlinlug.fleet.sealing import AuthenticationError

ROOT = Path(__file__).parents[2]
SMALL = """[scale]
name = small
sizes = 4
settle = 0s
length = 20s
[members]
real = 1
[discovery]
workers = 20
[proxies]
count = 1
"""


@pytest.fixture(autouse=True)
def own_temporary_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Put temporary folders under the test's own, as a run that is not played leaves its folder."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))


def read_scenario(folder: Path, text: str) -> scenario.ConfigFile:
    path = folder / "scenario.ini"
    path.write_text(text)
    return scenario.read(path)


# Scenarios.


@pytest.mark.parametrize(
    ("text", "line", "said"),
    [
        ("[scale]\nname = a\nsizes = 4x\n", 1, "sizes holds '4x'"),
        ("[scale]\nname = a\nsizes = 4\nclock = 1%\n", 1, "from 2% to 100%"),
        ("[scale]\nname = a\nsizes = 10\nlenght = 4s\n", 4, "did you mean 'length'"),
        ("[scale]\nname = a\nsizes = 10\nlength = 4\n", 4, "a time with its unit"),
        ("[scale]\nname = a\nsizes = 3\n", 3, "3 members leave no room for 5 real ones"),
        (
            "[scale]\nname = a\nsizes = 6\n[step x]\nkind = rack\nat = 1s\nlasts = 2s\n",
            3,
            "and hollow ones to take down",
        ),
        (
            "[scale]\nname = a\nsizes = 10\n[step x]\nkind = quake\nat = 1s\nlasts = 2s\n",
            5,
            "'quake' is not one of churn",
        ),
        (
            "[scale]\nname = a\nsizes = 10\n\n[step x]\nkind = rack\nat = 29s\nlasts = 2s\n",
            5,
            "ends at 31 s, after",
        ),
        (
            "[scale]\nname = a\nsizes = 10\n[step x]\nkind = restart\nat = 1s\nlasts = 3s\nsize = 3\n",
            4,
            "4 steps",
        ),
        (
            "[scale]\nname = a\nsizes = 10\n[bounds]\nmemory_mb = 64000\n",
            4,
            "memory_mb is at most 12000",
        ),
        (
            "[scale]\nname = a\nsizes = 10\n[step x]\nkind = rack\nat = 1s\n",
            4,
            "key 'lasts' is missing",
        ),
    ],
)
def test_an_invalid_scenario_is_reported_with_file_and_line_and_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, line: int, said: str
) -> None:
    path = tmp_path / "a.ini"
    path.write_text(text)
    with pytest.raises(ConfigError, match=said.replace("'", ".")) as caught:
        scenario.read(path)
    assert str(caught.value).startswith(f"{path}:{line}: ")
    for fields in (
        ["run", str(path), "--results", str(tmp_path)],
        ["sweep", "--results", str(tmp_path), str(path)],
    ):
        assert main(fields) == 2
        assert capsys.readouterr().err == f"bench.scale: {caught.value}\n"


def test_the_stored_scenarios_can_be_read_and_planned() -> None:
    files = sweep.scenario_files([ROOT / "bench" / "scale" / "scenarios"])
    assert len(files) >= 8
    for path in files:
        config = scenario.read(path)
        for size in map(int, config.section(scenario.Scale).sizes):
            plan = scenario.plan(config, size)
            assert len(plan.real) + len(plan.hollow) == size
            assert plan == scenario.plan(config, size)
            assert all(before.at <= after.at for before, after in pairwise(plan.actions))


def test_a_plan_protects_seeds_and_keeps_real_managers_on_the_larger_side(tmp_path: Path) -> None:
    steps = "".join(
        f"[step {kind}]\nkind = {kind}\nat = 1s\nlasts = 9s\npart = 40%\nsize = 20\nevery = 1s\n"
        for kind in ("rack", "zone", "split", "restart")
    )
    for seed in range(30):
        config = read_scenario(tmp_path, f"[scale]\nname = a\nsizes = 100\nseed = {seed}\n{steps}")
        plan = scenario.plan(config, 100)
        partitions = {
            action.do: action.names for action in plan.actions if action.do in ("cut", "heal")
        }
        assert (
            partitions["cut"] == partitions["heal"]
            and len(partitions["cut"]) == 40
            and not {*partitions["cut"]} & {*plan.real}
        )
        downs = [action.names for action in plan.actions if action.do == "down"]
        assert sorted(map(len, downs)) in ([9, 20], [10, 20])  # a protected seed may be in the zone
        assert not {"h0", "h1"} & {name for names in downs for name in names}
        left = [name for action in plan.actions if action.do == "leave" for name in action.names]
        assert sorted(left) == sorted([*plan.real, *plan.hollow])


# The timeline of faults, against a model that evaluates each moment separately.

NAMES = tuple(f"m{n}" for n in range(6))
Fault = tuple[float, str, tuple[str, ...]]


def draw_faults(rng: Random) -> list[Fault]:
    """Return random faults at whole seconds, with at most one partition at a time."""
    found: list[Fault] = []
    smaller_side: tuple[str, ...] = ()
    for at in sorted(rng.sample(range(200), 20)):
        names = tuple(rng.sample(NAMES, rng.randint(1, 3)))
        kind_of_fault = rng.choice(["down", "up", "cut"])
        if kind_of_fault == "cut" and smaller_side:
            kind_of_fault, names, smaller_side = "heal", smaller_side, ()
        elif kind_of_fault == "cut":
            smaller_side = names
        found.append((float(at), kind_of_fault, names))
    return found


def timeline_of(made: list[Fault], kind: type[truth.Timeline] = truth.Timeline) -> truth.Timeline:
    timeline = kind()
    for at, kind_of_fault, names in made:
        getattr(timeline, kind_of_fault)(at, names)
    return timeline


def state_at(made: list[Fault], at: float) -> tuple[set[str], set[str]]:
    """Return the members that were down and those on the smaller side, from all earlier faults."""
    down, smaller_side = set[str](), set[str]()
    for when, kind_of_fault, names in made:
        if when <= at:
            match kind_of_fault:
                case "down":
                    down |= {*names}
                case "up":
                    down -= {*names}
                case "cut":
                    smaller_side = {*names}
                case "heal":
                    smaller_side = set()
    return down, smaller_side


def is_explained(made: list[Fault], verdict: truth.Verdict, late_seconds: float) -> bool:
    """Check each half second in `late_seconds` before the verdict."""
    down, smaller_side = state_at(made, verdict.at)
    if (
        verdict.of in down
        or smaller_side
        and (verdict.by in smaller_side) != (verdict.of in smaller_side)
    ):
        return True
    at = verdict.at
    while at >= verdict.at - late_seconds:
        down, before = state_at(made, at)
        if verdict.of in down or before and before != smaller_side:
            return True
        at -= 0.5
    return False


def disagreements(kind: type[truth.Timeline], runs: int = 150) -> int:
    found = 0
    for seed in range(runs):
        rng = Random(seed)
        made = draw_faults(rng)
        timeline = timeline_of(made, kind)
        for _ in range(40):
            by, of = rng.sample(NAMES, 2)
            verdict = truth.Verdict(rng.randrange(200) + 0.25, by, of)
            found += timeline.explains(verdict, 3.0) != is_explained(made, verdict, 3.25)
            found += timeline.is_down(of, verdict.at) != (of in state_at(made, verdict.at)[0])
    return found


class OverlappingDown(truth.Timeline):
    """A faulty timeline: a member that is already down gets a second, never ending interval."""

    def down(self, at: float, names: Any, planned: bool = False) -> None:
        for name in names:
            self.down_intervals.setdefault(name, []).append(truth.Interval(at))


class IgnoresSides(truth.Timeline):
    """A faulty timeline: during a partition every verdict is accepted."""

    def explains(self, verdict: truth.Verdict, late_seconds: float) -> bool:
        return super().explains(verdict, late_seconds) or any(
            s.begin <= verdict.at < s.end for s, _ in self.partitions
        )


class NoGrace(truth.Timeline):
    """A faulty timeline: verdicts after the end of a fault are false."""

    def explains(self, verdict: truth.Verdict, late_seconds: float) -> bool:
        return super().explains(verdict, 0.0)


def test_the_timeline_agrees_with_a_simple_model() -> None:
    assert disagreements(truth.Timeline) == 0


@pytest.mark.parametrize("kind", [OverlappingDown, IgnoresSides, NoGrace])
def test_a_faulty_timeline_is_detected(kind: type[truth.Timeline]) -> None:
    assert disagreements(kind) > 0


def test_false_verdicts_are_those_on_members_that_were_up_and_reachable() -> None:
    timeline = timeline_of(
        [
            (10.0, "down", ("a",)),
            (20.0, "up", ("a",)),
            (30.0, "cut", ("b",)),
            (40.0, "heal", ("b",)),
        ]
    )
    verdicts = [
        truth.Verdict(*fields)
        for fields in (
            (9.9, "c", "a"),
            (11.0, "c", "a"),
            (21.0, "c", "a"),
            (25.0, "c", "a"),
            (31.0, "c", "b"),
            (31.0, "b", "c"),
            (31.0, "c", "a"),
            (42.0, "c", "a"),
            (45.0, "c", "b"),
            (5.0, "a", "a"),
        )
    ]
    assert truth.false_verdicts(verdicts, timeline, 3.0) == [
        verdicts[0],
        verdicts[3],
        verdicts[6],
        verdicts[8],
    ]


def test_each_unaffected_member_is_expected_to_report_a_death_once() -> None:
    for seed in range(100):
        rng = Random(seed)
        timeline = timeline_of(
            [
                (10.0, "down", ("m0",)),
                (30.0, "up", ("m0",)),
                (12.0, "down", ("m1",)),
                (50.0, "up", ("m1",)),
            ]
        )
        timeline.down(15.0, ["m2"], planned=True)
        verdicts = [truth.Verdict(rng.uniform(0.0, 60.0), *rng.sample(NAMES, 2)) for _ in range(60)]
        found = truth.detection_times(verdicts, timeline, NAMES)
        each, missing = [], 0
        for victim, begin, end in (("m0", 10.0, 30.0), ("m1", 12.0, 50.0)):
            for by in ("m3", "m4", "m5"):  # m0, m1 and m2 are down themselves meanwhile
                times = [
                    v.at for v in verdicts if (v.by, v.of) == (by, victim) and begin <= v.at < end
                ]
                each += [min(times) - begin] if times else []
                missing += not times
        assert sorted(found["each"]) == sorted(each) and found["missing"] == missing
        assert len(found["last"]) <= 2 and all(last in each for last in found["last"])


def test_followers_with_outdated_or_out_of_order_lists_are_named() -> None:
    assert truth.out_of_order_followers({"a": [1, 2, 5], "b": [1, 3, 2], "c": [4, 4], "d": []}) == [
        "b",
        "c",
    ]
    assert truth.outdated_followers(
        {"a": (7, "x"), "b": (6, "x"), "c": (7, "y"), "d": (0, "")}, 7, "x"
    ) == [
        "b",
        "c",
        "d",
    ]
    taken = {"a": [(1, 0.5), (3, 2.5)], "b": [(1, 0.7), (2, 1.5), (3, 2.2)]}
    assert truth.propagation_seconds({1: 0.0, 2: 1.0, 3: 2.0}, taken) == [0.7, 1.5, 0.5]
    assert (
        truth.propagation_seconds({4: 3.0}, taken) == [] == truth.propagation_seconds({1: 0.0}, {})
    )


# Sums.


def test_sums_over_processes_equal_those_of_a_list_of_all_messages() -> None:
    for seed in range(50):
        rng = Random(seed)
        meters, log = [accounting.Meter() for _ in range(3)], list[tuple[str, str, int, bool]]()
        role = accounting.Role()
        for counted in (False, True):
            if counted:
                before = [
                    accounting.Reading(n, 10.0, meter.snapshot(), 0.5)
                    for n, meter in enumerate(meters)
                ]
            for _ in range(100):
                kind, direction, size = (
                    rng.choice("pang"),
                    rng.choice(["in", "out"]),
                    rng.randrange(1400),
                )
                rng.choice(meters).add(kind, direction, size)
                log.append((kind, direction, size, counted))
        for n, meter in enumerate(meters):
            role.add(before[n], accounting.Reading(n + 2.0, 20.0 + n, meter.snapshot(), 1.0), 4)
        found = role.figures(10.0)
        for kind in "pang":
            for direction in ("in", "out"):
                sizes = [
                    size for k, w, size, counted in log if counted and (k, w) == (kind, direction)
                ]
                assert found["messages"][kind][direction] == len(sizes)
                assert found["messages"][kind][f"bytes_{direction}"] == sum(sizes)
        assert (found["processes"], found["members"], found["rss_mb"]) == (3, 12, 63.0)
        assert (found["cpu_s"], found["cpu_share_per_member"], found["control_cpu_s"]) == (
            6.0,
            0.05,
            1.5,
        )
        assert found["per_member_s"]["out"] == round(
            sum(w == "out" and c for _, w, _, c in log) / 120, 3
        )


def role_of(members: int, **kinds: int) -> dict[str, Any]:
    return {
        "members": members,
        "messages": {
            kind: {
                "in": count * members,
                "out": count * members,
                "bytes_in": 100 * count * members,
                "bytes_out": 100 * count * members,
            }
            for kind, count in kinds.items()
        },
    }


@pytest.mark.parametrize(
    ("real", "hollow", "valid"),
    [
        (role_of(2, ping=1000, ack=500), role_of(9, ping=1040, ack=490), True),
        (
            role_of(2, ping=1000, ack=500),
            role_of(9, ping=1060, ack=500),
            False,
        ),  # one kind is sent too often
        (role_of(2, ping=1000, ack=500), role_of(9, ping=1000, ack=440), False),
        (role_of(2, ping=1000, ack=500), role_of(9, ping=1000), False),  # one kind is never sent
        (
            role_of(2, ping=1000, ask=30),
            role_of(9, ping=1000, ask=12),
            True,
        ),  # too rare to be compared
        (role_of(2, ping=50), role_of(9, ping=50), False),  # too few messages to compare
        (role_of(2, ping=1000), role_of(0, ping=1000), False),
        (role_of(2, ping=1000, list=300), role_of(9, ping=1000, list=200), False),
    ],
)
def test_hollow_members_are_valid_only_if_all_frequent_kinds_agree(
    real: dict[str, Any], hollow: dict[str, Any], valid: bool
) -> None:
    assert accounting.compare_roles(real, hollow, 0.05)["valid"] is valid


def test_durations_are_summarized_by_two_percentiles_and_maximum() -> None:
    found = accounting.summarize_durations([n / 100 for n in range(1, 101)])
    assert found == {
        "count": 100,
        "p50": pytest.approx(0.5, rel=2e-3),
        "p99": pytest.approx(0.99, rel=2e-3),
        "most": 1.0,
    }
    assert accounting.summarize_durations([]) == {"count": 0}


# The machine.


def test_limits_of_memory_and_processes() -> None:
    assert budget.exceeded_limit(12000.0, 200, 12000, 200) == ""
    assert "12001 MB, over the limit of 12000" in budget.exceeded_limit(12001.0, 1, 12000, 200)
    assert "201 processes" in budget.exceeded_limit(1.0, 201, 12000, 200)
    assert budget.resident_mb(os.getpid()) > 5.0 and budget.resident_mb(2**30) == 0.0


def test_unread_and_dropped_datagrams_are_read_from_the_kernel() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as here,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as there,
    ):
        here.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        here.bind(("127.0.0.1", 0))
        datagrams = budget.Datagrams({here.getsockname()[1]: "hollow"})
        datagrams.update(budget.udp_lines())
        datagrams.begin()
        for _ in range(100):
            there.sendto(bytes(1000), here.getsockname())
        datagrams.update(budget.udp_lines())
        got = 0
        here.setblocking(False)
        try:
            while here.recv(2000):
                got += 1
        except BlockingIOError:
            pass
        assert (
            0 < got < 100
            and datagrams.dropped("hollow") == 100 - got
            and datagrams.dropped("real") == 0
        )
        assert datagrams.longest["hollow"] >= 1000


def test_the_clock_of_a_run_is_slower_than_real_time() -> None:
    clock = part.SlowedClock(0.1)
    clock.start_clock()
    began = time.monotonic()
    while time.monotonic() < began + 0.05:
        pass
    assert clock.current_time() <= 0.1 * (time.monotonic() - clock.started_at)
    assert clock.deadline_to_sleep_time(clock.current_time() + 1.0) == pytest.approx(10.0, abs=0.1)
    for rate in (0.0, 1.5):
        with pytest.raises(ValueError):
            part.SlowedClock(rate)


def test_a_stopwatch_counts_nested_calls_once_and_continues_after_an_exception() -> None:
    watch, spent = part.Stopwatch(), []

    class Work:
        def outer(self) -> None:
            began = time.thread_time()
            self.inner()
            self.inner()
            spent.append(time.thread_time() - began)

        def inner(self) -> None:
            began = time.thread_time()
            while time.thread_time() < began + 0.02:
                pass

        def fails(self) -> None:
            raise KeyError

    work = Work()
    for name in ("outer", "inner", "fails"):
        watch.wrap(work, name)
    with pytest.raises(KeyError):
        work.fails()
    work.outer()
    assert spent[0] <= watch.spent < 1.5 * spent[0] and watch.depth == 0


def test_messages_from_beyond_a_partition_are_rejected_and_others_are_counted() -> None:
    meter, key = accounting.Meter(), bytes(32)
    sealer, opener = part.CountedSealer(key, bytes(8)), part.CountedOpener([key])
    sealer.meter = opener.meter = meter
    ping = Ping(MemberState("a", (1, 0), ALIVE, ("127.0.0.1", 1), "a"), "b", 1, b"")
    data = sealer.seal(ping)
    assert opener.open(data) == ping
    with pytest.raises(AuthenticationError, match="replay"):
        opener.open(data)
    opener.partitioned_members = frozenset({"a"})
    with pytest.raises(AuthenticationError, match="cut"):
        opener.open(sealer.seal(ping))
    assert meter.snapshot() == {
        "ping": {"in": 1, "out": 2, "bytes_in": len(data), "bytes_out": 2 * len(data)}
    }
    assert meter.counts == {"refused replay": 1, "refused cut": 1}


def test_churn_changes_exactly_the_requested_number_of_workers() -> None:
    workers = discovery.create_workers(500)
    assert len(workers) == 500
    for seed in range(20):
        changed = discovery.churned(workers, 20, Random(seed))
        assert len({worker.id for worker in changed}) == 20
        assert all(worker.state == "draining" for worker in changed)
        assert all(
            worker.state == "ready"
            for worker in discovery.churned(
                {worker.id: worker for worker in changed}, 20, Random(seed)
            )
        )


def test_verdicts_are_bounded_and_dropped_ones_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(part.Verdicts, "MAX_ROWS", 3)
    kept = part.Verdicts()
    for n in range(5):
        kept.add("a", f"m{n}")
    assert (
        [of for _, _, of in kept.take()] == ["m0", "m1", "m2"]
        and kept.dropped == 2
        and kept.take() == []
    )


def test_a_sweep_skips_runs_with_a_result_but_not_those_that_ended_early(
    tmp_path: Path,
) -> None:
    config = read_scenario(tmp_path, "[scale]\nname = a\nsizes = 10, 300, 30\n")
    first = read_scenario(tmp_path, "[scale]\nname = validate\nsizes = 30\n")
    (tmp_path / run.name_of(config, 10)).write_text("{}")
    (tmp_path / run.name_of(config, 300).replace(".json", ".partial")).write_text("{}")
    assert sweep.pending_runs([config, first], [], tmp_path) == [
        (first, 30),
        (config, 30),
        (config, 300),
    ]
    assert sweep.pending_runs([config, first], [300], tmp_path) == [(config, 300)]


# Hollow members.


async def test_hollow_members_start_knowing_each_other_and_do_not_detect_a_pause(
    autojump_clock: trio.testing.MockClock,
) -> None:
    names = [f"h{n}" for n in range(40)]
    given = {
        "names": names,
        "known": names,
        "places": {name: ["127.0.0.1", n + 1] for n, name in enumerate(names)},
        "key": "00" * 32,
        "beat": 0.2,
        "seed": 1,
        "joined": True,
        "followers": names[:3],
        "discovery": None,
    }
    async with trio.open_nursery() as nursery:
        fleet = hollow.HollowMembers(given, nursery)
        made = [member.prepared for member in fleet.members.values()]
        assert all(membership is not None for membership in made)
        machines = [membership.protocol for membership in made if membership is not None]
        assert len({machine.table.digest() for machine in machines}) == 1
        assert all(
            len(machine.table.live_members()) == 40 and not machine.table.has_unsent()
            for machine in machines
        )
        late_seconds = machines[0]
        await trio.sleep(30.0)  # as long as the creation of all the others takes
        assert any(
            isinstance(order, ProcessPaused) for order in late_seconds.tick(trio.current_time())
        )
        beats = set[float]()
        for member, machine in list(zip(fleet.members.values(), machines, strict=True))[1:]:
            member._restart_timers(machine)
            beats.add(machine.next_probe_at)
            assert 0.0 <= machine.next_probe_at - trio.current_time() <= 0.2
            orders = machine.tick(machine.next_probe_at)
            assert not any(isinstance(order, ProcessPaused) for order in orders) and any(
                isinstance(order, Send) and isinstance(order.message, Ping) for order in orders
            )
        assert len(beats) > 30  # members of one process do not probe at the same time
        assert (await fleet.handle_command({"do": "report"}))["members"] == 0
    assert [name for name, member in fleet.members.items() if member.follows] == names[:3]


# The rules, checked by the audit.


def violated_rules(
    folder: Path,
    tries: list[tuple[float, str]],
    bare: tuple[float, float] = (0.0, 0.0),
    sets: int = 1,
) -> list[str]:
    """Return the rules violated by one proxy.

    It joined at 1 s; worker w1 drains from 10 s and is ready again from 30 s.
    """
    at = {"serves r0": ("127.0.0.1", 1), "discovery": ("127.0.0.1", 2), "r0": ("127.0.0.1", 3)}
    path = stage.manager_file(folder, "r0", at, ("r0",), 1, 0.2, scenario.CHANNEL_LINES_PER_S)
    listed = rules.states_by_version(
        ["w0", "w1"], {100: {}, 101: {"w1": "draining"}, 102: {"w1": "ready"}}
    )
    lines = [
        rules.record_line(1.0, "joined", "p0"),
        *(rules.record_line(when, "try", "p0", worker=worker) for when, worker in tries),
        rules.record_line(bare[0], "bare", "p0", product="read", on=True),
        rules.record_line(bare[1], "bare", "p0", product="read", on=False),
        *(
            rules.record_line(5.0, "applied", "p0", tag="4.900000 900 1", lines=900, refused="")
            for _ in range(sets)
        ),
    ]
    return [
        found.rule
        for found in rules.find_violations(
            rules.load_config(path), lines, [(100, 0.5), (101, 10.0), (102, 30.0)], listed, 60.0
        )
    ]


def test_the_audit_detects_violations_of_the_rules(tmp_path: Path) -> None:
    assert (
        violated_rules(
            tmp_path, [(9.0, "w1"), (13.9, "w1"), (20.0, "w0"), (31.0, "w1")], (2.0, 7.9)
        )
        == []
    )
    assert violated_rules(tmp_path, [(14.5, "w1"), (29.0, "w1")]) == ["drain", "drain"]
    assert violated_rules(tmp_path, [], (2.0, 9.0)) == ["bare"]
    assert violated_rules(tmp_path, [], sets=2) == [
        "queue"
    ]  # 1,800 lines at once, at a pace of 1,200 a second
    found = rules.summarize([], 4, 3)
    assert found == {"lines": 4, "tries": 3, "bare": 0, "drain": 0, "queue": 0, "shown": []}


# Failing runs: each ends with its reason and leaves no process.


def all_ended(pids: list[int]) -> bool:
    """Return whether all processes have ended; zombies count as ended."""

    def is_gone(pid: int) -> bool:
        try:
            return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
        except OSError:
            return True

    return all(map(is_gone, pids))


def played(
    config: scenario.ConfigFile,
    fixed_ports: dict[str, int] | None = None,
    meanwhile: Callable[[run.Run], Any] | None = None,
) -> tuple[run.Run, str]:
    made = run.Run(
        config, int(config.section(scenario.Scale).sizes[0]), lambda line: None, fixed_ports
    )

    async def both() -> str:
        async with trio.open_nursery() as nursery:
            if meanwhile is not None:
                nursery.start_soon(meanwhile, made)
            why = await made.play()
            nursery.cancel_scope.cancel()
        return why

    why = trio.run(both)
    assert all_ended([one.process.pid for one in made.children])
    return made, why


async def until_measuring(made: run.Run) -> None:
    while not made.measuring:
        await trio.sleep(0.02)


@pytest.mark.parametrize(
    ("name", "said"),
    [
        ("h1", "hollow-0: an address of a hollow member is in use"),
        ("discovery", "the address of discovery is in use"),
        ("serves r0", "r0: an address of the manager is in use"),
        ("r0", "r0: an address of the manager is in use"),
    ],
)
def test_a_port_in_use_ends_the_run(tmp_path: Path, name: str, said: str) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        made, why = played(read_scenario(tmp_path, SMALL), {name: taken.getsockname()[1]})
    assert said in why
    assert run.build_result(made, why, {})["ended"] == why


@pytest.mark.parametrize("which", ["hollow-0", "r0", "discovery", "proxies"])
def test_a_process_that_dies_ends_the_run_with_the_figures_so_far(
    tmp_path: Path, which: str
) -> None:
    async def kill(made: run.Run) -> None:
        await until_measuring(made)
        while not made.roles["hollow"].queues:
            await trio.sleep(0.02)
        next(one for one in made.children if one.name == which).process.kill()

    made, why = played(read_scenario(tmp_path, SMALL), meanwhile=kill)
    assert f"{which} ended during the run (status -9)" in why
    found = run.build_result(made, why, {"5": True, "30": True})
    assert found["ended"] == why and not found["valid"]
    assert (
        0.0 < found["span_s"] < 20.0
        and found["roles"]["hollow"]["queues"]
        and found["peak_mb"] > 20
    )


def test_memory_over_the_limit_ends_the_run(tmp_path: Path) -> None:
    _, why = played(read_scenario(tmp_path, SMALL + "[bounds]\nmemory_mb = 50\n"))
    assert "over the limit of 50 MB" in why


def test_too_many_processes_are_not_started(tmp_path: Path) -> None:
    made, why = played(read_scenario(tmp_path, SMALL + "[bounds]\nprocesses = 3\n"))
    assert "4 processes, over the limit of 3" in why and len(made.children) == 2


def test_a_manager_that_is_not_ready_in_time_ends_the_run(tmp_path: Path) -> None:
    _, why = played(read_scenario(tmp_path, SMALL + "[bounds]\nready_within = 10ms\n"))
    assert "was not ready within 0.01 s" in why


def test_a_process_that_does_not_answer_ends_the_run_and_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stage, "ANSWER_TIMEOUT_SECONDS", 3.0)
    monkeypatch.setattr(stage, "EXIT_TIMEOUT_SECONDS", 0.5)

    async def stop(made: run.Run) -> None:
        await until_measuring(made)
        next(one for one in made.children if one.role == "hollow").process.send_signal(
            signal.SIGSTOP
        )

    _, why = played(read_scenario(tmp_path, SMALL), meanwhile=stop)
    assert "hollow-0 did not answer report within 3 s" in why


def children(pid: int) -> list[int]:
    """Return the child processes of a process."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(int(stat.parent.name))
    return found


def wait_for(condition: Callable[[], bool], within: float) -> bool:
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


@pytest.mark.parametrize(
    ("number", "status", "early"),
    [
        (signal.SIGTERM, 1, False),
        (signal.SIGINT, 1, False),
        (signal.SIGKILL, -9, False),
        (signal.SIGTERM, 1, True),
    ],
)
def test_a_run_that_is_interrupted_leaves_no_process(
    tmp_path: Path, number: signal.Signals, status: int, early: bool
) -> None:
    (tmp_path / "small.ini").write_text(SMALL)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "bench.scale",
            "run",
            str(tmp_path / "small.ini"),
            "--results",
            str(tmp_path),
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        text=True,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    )
    try:
        assert process.stderr is not None
        if early:
            assert wait_for(lambda: len(children(process.pid)) >= 2, 20.0)
        while (
            not early and " of 20 s" not in process.stderr.readline()
        ):  # measuring has begun; readline returns at the end of the output
            assert process.poll() is None
        pids = children(process.pid)
        assert early or len(pids) == 4
        process.send_signal(number)
        assert process.wait(30) == status
        assert wait_for(lambda: all_ended(pids) and not children(process.pid), 10.0)
        said = process.stderr.read()
    finally:
        process.kill()
        process.wait()
    partial = tmp_path / "small-4-s1.partial"
    assert partial.exists() == (status == 1) and not (tmp_path / "small-4-s1.json").exists()
    if status == 1:
        assert f"ended early: interrupted by {number.name}" in said
        assert (json.loads(partial.read_text())["span_s"] > 0) is not early
        assert not list(tmp_path.glob("scale-*"))  # the run removed its folder


# Short runs, checked by counts.

STEADY = """[scale]
name = validate
sizes = 6
settle = 1s
length = 9s
beat = 200ms
[members]
real = 3
[discovery]
workers = 200
[proxies]
count = 3
[bounds]
error = 30%
[step churn]
kind = churn
at = 1s
lasts = 6s
every = 2s
size = 4
"""


def test_hollow_members_send_and_receive_as_much_as_real_ones(tmp_path: Path) -> None:
    path, found = run.play(read_scenario(tmp_path, STEADY), 6, tmp_path, lambda line: None)
    assert found["ended"] == "whole" and path.name == "validate-6-s1.json"
    assert json.loads(path.read_text()) == json.loads(json.dumps(found))
    own = found["validation"]["own"]
    assert own["judged"] >= 4 and own["valid"], own
    for kind in ("ping", "ack", "news", "list"):
        assert (
            own["rows"][f"{kind} out"]["apart"] <= 0.3
            and own["rows"][f"{kind} bytes_in"]["apart"] <= 0.3
        ), own
    assert found["truth"]["list_changes"] == 3 and not found["truth"]["list_lost"]
    assert not found["truth"]["list_disordered"] and found["times"]["list_at_last_s"]["count"] == 3
    for role in ("real", "hollow"):
        pings = found["roles"][role]["messages"]["ping"]["out"]
        assert (
            3 * 9 / 0.2 / 2 <= pings <= 3 * (9 / 0.2 + 3) * 1.5
        )  # one per probe interval; the rest are for ping requests
        # Load and list digest go to each of five others once a second, in one message or two.
        assert 3 * 5 * 8 / 2 <= found["roles"][role]["messages"]["news"]["out"] <= 3 * 5 * 11 * 2
    assert found["roles"]["discovery"]["messages"]["list hollow"]["out"] >= 3 * 3
    assert found["roles"]["proxies"]["queues"] == {"joined": 3, "with_table": 3}
    kept = found["truth"]["rules"]
    assert kept["tries"] > 100 and kept["lines"] > kept["tries"] + 3
    assert (kept["bare"], kept["drain"], kept["queue"]) == (0, 0, 0), kept["shown"]


FLEET = """[scale]
name = crowd
sizes = 30
settle = 1s
length = 17s
beat = 300ms
[members]
real = 3
per_process = 14
[discovery]
workers = 300
[proxies]
count = 3
[step churn]
kind = churn
at = 500ms
lasts = 12s
every = 2s
size = 5
[step rack]
kind = rack
at = 500ms
lasts = 9s
size = 5
[step split]
kind = split
at = 11s
lasts = 5s
part = 40%
[step configure]
kind = configure
at = 2s
lasts = 3s
every = 1s
"""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Any]]:
    folder = tmp_path_factory.mktemp("crowd")
    yield run.play(read_scenario(folder, FLEET), 30, folder, lambda line: None)[1]


def test_a_fleet_detects_a_dead_rack_and_has_one_view_after_a_partition(
    fleet: dict[str, Any],
) -> None:
    said = fleet["truth"]
    assert (
        fleet["ended"] == "whole" and not fleet["valid"]
    )  # the figures do not count without validating runs
    assert said["false_verdicts"] == 0, said["false_shown"]
    assert fleet["times"]["failed_seen_s"]["count"] + said["verdicts_missing"] == 5 * 25
    assert said["verdicts_missing"] == 0 and said["verdicts_uncounted"] == 0
    assert said["views_equal"] and 0 < fleet["times"]["views_equal_s"] <= said["views_within_s"]
    assert not said["list_lost"] and not said["list_disordered"]
    assert said["list_changes"] == 6 and fleet["times"]["configured_at_last_s"]["count"] == 3


def test_the_message_counts_of_a_fleet(fleet: dict[str, Any]) -> None:
    roles, beats = fleet["roles"], 17 / 0.3
    assert (roles["real"]["members"], roles["hollow"]["members"], roles["hollow"]["processes"]) == (
        3,
        27,
        2,
    )
    for role in ("real", "hollow"):
        messages, members = roles[role]["messages"], roles[role]["members"]
        assert {"ping", "ack", "news", "whole", "list"} <= messages.keys()
        # A ping per probe interval; deaths and a partition add fewer than that again.
        assert members * beats / 3 <= messages["ping"]["out"] <= members * beats * 2
        assert (
            messages["ack"]["out"]
            <= messages["ping"]["in"] + messages["ask"]["in"] + messages["ack"]["in"]
        )
        assert messages["news"]["out"] <= members * (17 + 2) * (
            2 * 29 + 3 * 8
        )  # broadcasts to all, and gossip
        assert messages["list"]["in"] <= members * 8
        # No datagram exceeds the path MTU.
        for kind in messages.keys() - {"whole", "list"}:
            assert messages[kind]["bytes_out"] <= 1500 * messages[kind]["out"]
    assert roles["discovery"]["messages"]["list hollow"]["out"] >= 27 * 4
    assert (
        roles["hollow"]["counts"]["refused cut"] > 0
    )  # hollow members rejected messages of real managers
    dead = Counter(
        {
            name: count
            for name, count in roles["hollow"]["counts"].items()
            if name == "became failed"
        }
    )
    assert dead["became failed"] >= 5 * 22


def test_every_proxy_is_served_by_the_real_managers(fleet: dict[str, Any]) -> None:
    assert fleet["roles"]["proxies"]["queues"] == {"joined": 3, "with_table": 3}
    assert fleet["roles"]["real"]["queues"]["channel"] <= 4000


def test_views_are_equal_only_if_all_members_are_up_and_alive_in_one_view(tmp_path: Path) -> None:
    made = run.Run(read_scenario(tmp_path, SMALL), 4, lambda line: None)
    made.views = Counter({"aa 4 alive": 4})
    assert made.views_equal()
    for views in (
        {"aa 4 alive": 3},
        {"aa 3 alive": 4},
        {"aa 4 alive": 3, "bb 4 alive": 1},
        {"aa 4 barred": 4},
        {},
    ):
        made.views = Counter(views)
        assert not made.views_equal()


def test_views_count_as_equal_from_the_first_poll_after_the_last_fault(tmp_path: Path) -> None:
    made = run.Run(read_scenario(tmp_path, SMALL), 4, lambda line: None)
    made.measuring, made.started_at = True, time.monotonic() - 10.0
    views = [{"aa 4 alive": 4}, {"aa 4 alive": 3}, {"aa 4 alive": 4}, {"aa 4 alive": 4}]

    def take() -> None:
        made.views = Counter(views.pop(0))

    made.timeline.down(1.0, ["h1"])
    for expected in ("before", "apart", "equal", "later"):
        if expected == "apart":
            made.timeline.up(made.elapsed(), ["h1"])
        take()
        made.record_equal_views()
        if expected == "before":
            assert made.equal_at == -1.0  # a fault lasts
        if expected == "equal":
            first = made.equal_at
            assert first >= made.timeline.last_fault_ended_at()
    assert made.equal_at == first


def test_a_result_without_measurements_is_not_valid(tmp_path: Path) -> None:
    made = run.Run(read_scenario(tmp_path, SMALL), 4, lambda line: None)
    made.load, made.datagrams = [0.0, 0.0], budget.Datagrams({})
    found = run.build_result(made, "", {"5": True, "30": True})
    assert not found["valid"] and found["roles"]["hollow"]["cpu_share_per_member"] == 0.0
    assert (
        truth.Timeline().last_fault_ended_at() == 0.0
        and timeline_of([(1.0, "down", ("a",))]).last_fault_ended_at() == inf
    )


def test_earlier_runs_validate_only_if_all_of_a_size_were_valid(tmp_path: Path) -> None:
    for n, (size, valid) in enumerate([(5, True), (30, True), (30, False)]):
        (tmp_path / f"validate-{size}-s{n}.json").write_text(
            json.dumps({"sizes": {"members": size}, "valid": valid})
        )
    assert run.validated(tmp_path) == {"5": True, "30": False}
    assert SimpleNamespace(**run.validated(tmp_path / "none")) == SimpleNamespace()


async def test_a_proxy_reconnects_if_its_stream_is_accepted_but_never_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise it would wait until the end of the run, and nothing would check its manager's rules."""
    monkeypatch.setattr(proxies, "OPEN_TIMEOUT", 0.05)
    taken, reconnected = list[trio.SocketStream](), trio.Event()

    async def silent(stream: trio.SocketStream) -> None:
        taken.append(stream)
        if len(taken) > 1:
            reconnected.set()
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, silent, listeners)
        made = proxies.SimulatedProxy(
            "p0",
            "a",
            ("127.0.0.1", listeners[0].socket.getsockname()[1]),
            accounting.Meter(),
            Random(1),
            [],
        )
        nursery.start_soon(made.run)
        with trio.fail_after(10):
            await reconnected.wait()
        assert made.meter.counts["ended"] >= 1 and not made.connected
        nursery.cancel_scope.cancel()
