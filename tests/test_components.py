"""The small parts, each beside a plain model or its known hard cases."""

import json
from collections import defaultdict
from random import Random
from typing import get_args

import pytest

from dunlinlug.decision.events import DemandReported, Endpoint, EndpointReported
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import INITIAL_BACKOFF, MAX_BACKOFF, BlockingQuery
from dunlinlug.manager.report_aggregator import ReportAggregator
from dunlinlug.scenarios.faults import FaultTargets, FaultTimeline, draw_faults
from dunlinlug.scenarios.relay import LinkConditions
from dunlinlug.scenarios.schema import FaultKind, FaultSpec, RandomFaultsConfig
from dunlinlug.standins.worker_capacity import DeduplicationWindow, WorkerCapacity, WorkerMachine
from dunlinlug.xds.load_reports import (
    LoadReport,
    LoadReportError,
    WorkerStatistics,
    decode_report,
    encode_report,
)


@pytest.mark.parametrize("seed", range(10))
def test_the_ledger_loses_nothing_and_keeps_its_rate(seed: int) -> None:
    chance, ledger = Random(seed), ReportAggregator(20.0, frozenset({"read"}))
    reported: dict[tuple[str, str], int] = defaultdict(int)
    told: dict[tuple[str, str], int] = defaultdict(int)
    given, now = list[tuple[float, int]](), 0.0
    for _ in range(100):
        now += chance.uniform(0.05, 0.5)
        proxy, zone = chance.randrange(3), chance.choice("ab")
        report = LoadReport(f"p{proxy}", zone, 0.5)
        for worker in chance.sample("wxyz", 2):
            tries = chance.randint(1, 9)
            report.workers[worker] = WorkerStatistics(tries, 0, 0.1 * tries)
            reported[zone, worker] += tries
        report.traffic_classes["read"] = (3, 1)
        reported["came", str(proxy)] += 3
        ledger.add_report(now, proxy, zone, report)
        events = ledger.take_events(now)
        given.append((now, len(events)))
        for event in events:
            match event:
                case EndpointReported(zone=where, worker=worker, attempts=n, latency=took):
                    told[where, worker] += n
                    assert took == pytest.approx(0.1)
                case DemandReported(proxy=who, requests=n):
                    told["came", str(who)] += n
    for _ in range(100):
        now += 1.0
        for event in ledger.take_events(now):
            if isinstance(event, EndpointReported):
                told[event.zone, event.worker] += event.attempts
            elif isinstance(event, DemandReported):
                told["came", str(event.proxy)] += event.requests
    assert told == reported
    for begin, _ in given:
        assert sum(n for at, n in given if begin <= at < begin + 1.0) <= 2 * 20 + 1


def test_load_reports_come_back_as_they_were_written() -> None:
    loads = LoadReport(
        "p1",
        "north",
        0.5,
        {"127.0.0.1:80": WorkerStatistics(9, 2, 1.4, {"queue": 3.0, "service_s": 0.2})},
        {"read": (11, 2)},
    )
    assert decode_report(encode_report(loads, is_first=True)) == loads
    with pytest.raises(LoadReportError):
        decode_report(b"\xff\xff")


def worker(n: int, state: str = "ready", since: float | None = None) -> Endpoint:
    return Endpoint(f"127.0.0.1:{n}", "north", "std", 3, state, 1.25, since)


def test_the_roster_body_comes_back_and_an_address_belongs_to_its_last_start() -> None:
    listed = [worker(1), worker(2, "draining", 50.0), worker(3, "gone")]
    found, double = entries.decode_workers(entries.encode_workers(listed), 0.0)
    assert found == listed[:2] and double == []
    found, _ = entries.decode_workers(entries.encode_workers([worker(2, since=1000.0)]), -990.0)
    assert found[0].started_at == pytest.approx(10.0)
    rows = json.loads(entries.encode_workers([worker(1, "draining", 5.0)])) + json.loads(
        entries.encode_workers([worker(1, since=9.0)])
    )
    for order in (rows, rows[::-1]):
        found, double = entries.decode_workers(json.dumps(order).encode(), 0.0)
        assert [w.state for w in found] == ["ready"] and double == ["127.0.0.1:1"]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b'[{"Service": {"Address": "a"}}]',
        entries.encode_workers([worker(1), worker(2)])[:-40],
    ],
)
def test_a_body_that_is_no_list_is_refused_whole(body: bytes) -> None:
    with pytest.raises(entries.DiscoveryResponseError):
        entries.decode_workers(body, 0.0)


def test_following_blocks_on_the_index_starts_over_on_a_lower_one_and_waits_longer_each_time() -> (
    None
):
    following = BlockingQuery("nodes", 2.0, Random(1).uniform)
    assert following.request_path() == "/v1/health/service/nodes"
    assert following.record_index("7") and following.request_path().endswith("?index=7&wait=2000ms")
    assert not following.record_index("7")
    assert following.record_index("3") and "index" not in following.request_path(), (
        "a lower index starts over"
    )
    for wrong in (None, "", "0", "-4", "soon"):
        with pytest.raises(ValueError, match="not a whole number"):
            following.record_index(wrong)
    waits = [following.next_backoff() for _ in range(12)]
    assert waits[0] <= INITIAL_BACKOFF and all(
        MAX_BACKOFF / 2 <= wait <= MAX_BACKOFF for wait in waits[7:]
    )
    following.record_index("9")
    assert following.next_backoff() <= INITIAL_BACKOFF


MACHINE = WorkerMachine(2, 1.0, 3, 0.2, 10.0, 3.0, 2.0)


def test_a_floor_serves_in_turn_declines_when_full_and_falls_only_when_cold_and_pushed() -> None:
    warm = WorkerCapacity(MACHINE)
    assert [warm.admit(0.0, 1.0, "p") for _ in range(6)] == [1.0, 1.0, 2.0, 2.0, 3.0, None]
    assert not warm.failed and warm.queue_depth(0.5) == 3 and warm.queue_depth(1.5) == 1
    cold = WorkerCapacity(MACHINE, started=0.0)
    assert cold.capacity(0.0) == pytest.approx(0.4) and cold.capacity(5.0) == pytest.approx(1.2)
    assert cold.admit(0.0, 1.0, "p") == pytest.approx(5.0), "a fifth of its speed"
    cold.admit(0.1, 1.3, "q")
    assert not cold.failed, "2.3 of 3 x 0.4 x 2"
    cold.admit(0.2, 0.5, "q")
    assert cold.failed and {source for _, _, source in cold.recent_work(0.2)} == {"p", "q"}
    cold.start(100.0)
    assert not cold.failed


def test_marks_against_repeats_hold_for_their_window_from_the_first() -> None:
    marks = DeduplicationWindow()
    assert (
        marks.is_first("a", 0.0, 1.2)
        and not marks.is_first("a", 1.1, 1.2)
        and marks.is_first("a", 1.3, 1.2)
    )


CAST = FaultTargets(
    {f"w{n}": "abc"[n % 3] for n in range(12)},
    {f"p{n}": "abc"[n % 3] for n in range(6)},
    1.5,
    ("a", "b", "c"),
)


@pytest.mark.parametrize("kind", get_args(FaultKind))
def test_every_trouble_ends_what_it_began(kind: str) -> None:
    trouble = FaultSpec(kind=kind, at=2.0, lasts=6.0, part=0.25, size=2.0, every=1.0)  # type: ignore[arg-type]
    steps = FaultTimeline(CAST, Random(3)).steps([trouble])
    again = FaultTimeline(CAST, Random(3)).steps([trouble])
    assert [(s.at, s.target, s.command) for s in steps] == [
        (s.at, s.target, s.command) for s in again
    ]
    assert steps and steps[0].at == 2.0 and [s.at for s in steps] == sorted(s.at for s in steps)
    last: dict[tuple[str, str], str] = {}
    for step in steps:
        for name in step.command.get("workers") or [step.command.get("worker", "")]:
            last[step.target, name] = (
                step.command.get("state") or step.command.get("fault") or step.command["do"]
            )
    ends = {
        "workers": {"well", "back", "down"} if kind == "drain" else {"well", "back", "slow"},
        "roster": {"gone"} if kind == "drain" else {"ready", "fault", "index", "double"},
        "proxies": {"cut", "break", "restart", "hear"},
        "manager": {"start", "go on", "pace", "halt"},
        "members": {"heal", "loss", "late", "double"},
    }
    assert all(state in ends[target] for (target, _), state in last.items()), last
    if kind.startswith("members"):
        weather = LinkConditions(Random(1))
        weather.execute(steps[0].command)
        assert (
            weather.blocked_pairs
            or weather.loss_rate
            or weather.max_delay
            or weather.duplication_rate
        )
        weather.execute(steps[-1].command)
        assert not (
            weather.blocked_pairs
            or weather.loss_rate
            or weather.max_delay
            or weather.duplication_rate
        )


def test_drawn_troubles_overlap_but_strike_one_process_at_a_time_and_end_before_the_day() -> None:
    faults = RandomFaultsConfig(
        ("manager_kill", "manager_stall", "members_cut", "members_loss"), every=2.0, quiet=9.0
    )
    made = draw_faults(faults, 600.0, Random(4))
    assert made == draw_faults(faults, 600.0, Random(4)) and made != draw_faults(
        faults, 600.0, Random(5)
    )
    assert len(made) > 100 and max(one.at + one.lasts for one in made) <= 591.0
    for group in ("manager", "members_cut", "members_loss"):
        mine = [one for one in made if one.kind.startswith(group)]
        assert all(a.at + a.lasts < b.at for a, b in zip(mine, mine[1:], strict=False))
    assert any(a.at + a.lasts > b.at for a, b in zip(made, made[1:], strict=False)), "in overlap"
    assert draw_faults(RandomFaultsConfig(), 600.0, Random(4)) == []
    with pytest.raises(ValueError, match="unknown kind 'sulk'|unknown kind sulk"):
        RandomFaultsConfig(("sulk",))


def test_the_weather_between_managers_goes_by_directed_pairs() -> None:
    weather = LinkConditions(Random(2))
    weather.execute({"do": "cut", "pairs": [["a", "b"]]})
    assert (
        weather.datagram_delays("a", "b") == []
        and weather.datagram_delays("b", "a") == [0.0]
        and weather.stream_delay("a", "b") is None
    )
    weather.execute({"do": "heal", "pairs": [["a", "b"]]})
    for do, size in (("loss", 0.3), ("double", 0.5), ("late", 0.1)):
        weather.execute({"do": do, "size": size})
    fates = [weather.datagram_delays("a", "b") for _ in range(2000)]
    assert 0.25 < sum(1.5 - len(fate) for fate in fates) / 3000 < 0.35
    assert {len(fate) for fate in fates} == {0, 1, 2} and max(map(max, filter(None, fates))) <= 0.1
