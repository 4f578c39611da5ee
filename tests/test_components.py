"""Small components, each checked against a simple model or its difficult cases."""

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
def test_the_report_aggregator_loses_no_counts_and_keeps_its_event_rate(seed: int) -> None:
    rng, aggregator = Random(seed), ReportAggregator(20.0, frozenset({"read"}))
    reported: dict[tuple[str, str], int] = defaultdict(int)
    delivered: dict[tuple[str, str], int] = defaultdict(int)
    batches, now = list[tuple[float, int]](), 0.0
    for _ in range(100):
        now += rng.uniform(0.05, 0.5)
        proxy, zone = rng.randrange(3), rng.choice("ab")
        report = LoadReport(f"p{proxy}", zone, 0.5)
        for worker in rng.sample("wxyz", 2):
            attempts = rng.randint(1, 9)
            report.workers[worker] = WorkerStatistics(attempts, 0, 0.1 * attempts)
            reported[zone, worker] += attempts
        report.traffic_classes["read"] = (3, 1)
        reported["requests", str(proxy)] += 3
        aggregator.add_report(now, proxy, zone, report)
        events = aggregator.take_events(now)
        batches.append((now, len(events)))
        for event in events:
            match event:
                case EndpointReported(zone=where, worker=worker, attempts=n, latency=latency):
                    delivered[where, worker] += n
                    assert latency == pytest.approx(0.1)
                case DemandReported(proxy=sender, requests=n):
                    delivered["requests", str(sender)] += n
    for _ in range(100):
        now += 1.0
        for event in aggregator.take_events(now):
            if isinstance(event, EndpointReported):
                delivered[event.zone, event.worker] += event.attempts
            elif isinstance(event, DemandReported):
                delivered["requests", str(event.proxy)] += event.requests
    assert delivered == reported
    for start, _ in batches:
        assert sum(n for at, n in batches if start <= at < start + 1.0) <= 2 * 20 + 1


def test_a_load_report_decodes_to_what_was_encoded() -> None:
    report = LoadReport(
        "p1",
        "north",
        0.5,
        {"127.0.0.1:80": WorkerStatistics(9, 2, 1.4, {"queue": 3.0, "service_s": 0.2})},
        {"read": (11, 2)},
    )
    assert decode_report(encode_report(report, is_first=True)) == report
    with pytest.raises(LoadReportError):
        decode_report(b"\xff\xff")


def worker(n: int, state: str = "ready", since: float | None = None) -> Endpoint:
    return Endpoint(f"127.0.0.1:{n}", "north", "std", 3, state, 1.25, since)


def test_endpoint_entries_decode_as_encoded_and_an_address_keeps_its_latest_start() -> None:
    listed = [worker(1), worker(2, "draining", 50.0), worker(3, "gone")]
    decoded, duplicates = entries.decode_workers(entries.encode_workers(listed), 0.0)
    assert decoded == listed[:2] and duplicates == []
    decoded, _ = entries.decode_workers(entries.encode_workers([worker(2, since=1000.0)]), -990.0)
    assert decoded[0].started_at == pytest.approx(10.0)
    rows = json.loads(entries.encode_workers([worker(1, "draining", 5.0)])) + json.loads(
        entries.encode_workers([worker(1, since=9.0)])
    )
    for order in (rows, rows[::-1]):
        decoded, duplicates = entries.decode_workers(json.dumps(order).encode(), 0.0)
        assert [w.state for w in decoded] == ["ready"] and duplicates == ["127.0.0.1:1"]


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
def test_a_body_that_is_not_a_valid_list_is_rejected_completely(body: bytes) -> None:
    with pytest.raises(entries.DiscoveryResponseError):
        entries.decode_workers(body, 0.0)


def test_blocking_queries_use_the_index_restart_on_a_lower_one_and_back_off_exponentially() -> None:
    query = BlockingQuery("nodes", 2.0, Random(1).uniform)
    assert query.request_path() == "/v1/health/service/nodes"
    assert query.record_index("7") and query.request_path().endswith("?index=7&wait=2000ms")
    assert not query.record_index("7")
    assert query.record_index("3") and "index" not in query.request_path(), (
        "a lower index restarts the query without an index"
    )
    for invalid in (None, "", "0", "-4", "soon"):
        with pytest.raises(ValueError, match="not a whole number"):
            query.record_index(invalid)
    backoffs = [query.next_backoff() for _ in range(12)]
    assert backoffs[0] <= INITIAL_BACKOFF and all(
        MAX_BACKOFF / 2 <= backoff <= MAX_BACKOFF for backoff in backoffs[7:]
    )
    query.record_index("9")
    assert query.next_backoff() <= INITIAL_BACKOFF


MACHINE = WorkerMachine(2, 1.0, 3, 0.2, 10.0, 3.0, 2.0)


def test_a_worker_serves_in_order_rejects_when_full_and_fails_only_when_overloaded_while_warming() -> (
    None
):
    warm = WorkerCapacity(MACHINE)
    assert [warm.admit(0.0, 1.0, "p") for _ in range(6)] == [1.0, 1.0, 2.0, 2.0, 3.0, None]
    assert not warm.failed and warm.queue_depth(0.5) == 3 and warm.queue_depth(1.5) == 1
    cold = WorkerCapacity(MACHINE, started=0.0)
    assert cold.capacity(0.0) == pytest.approx(0.4) and cold.capacity(5.0) == pytest.approx(1.2)
    assert cold.admit(0.0, 1.0, "p") == pytest.approx(5.0), "at 0.2 of its full speed"
    cold.admit(0.1, 1.3, "q")
    assert not cold.failed, "2.3 s of work; the limit is more than 3 x 0.4 x 2 s"
    cold.admit(0.2, 0.5, "q")
    assert cold.failed and {source for _, _, source in cold.recent_work(0.2)} == {"p", "q"}
    cold.start(100.0)
    assert not cold.failed


def test_the_deduplication_window_is_not_extended_by_repeats() -> None:
    marks = DeduplicationWindow()
    assert (
        marks.is_first("a", 0.0, 1.2)
        and not marks.is_first("a", 1.1, 1.2)
        and marks.is_first("a", 1.3, 1.2)
    )


TARGETS = FaultTargets(
    {f"w{n}": "abc"[n % 3] for n in range(12)},
    {f"p{n}": "abc"[n % 3] for n in range(6)},
    1.5,
    ("a", "b", "c"),
)


@pytest.mark.parametrize("kind", get_args(FaultKind))
def test_the_last_steps_of_each_fault_end_it(kind: str) -> None:
    fault = FaultSpec(kind=kind, at=2.0, lasts=6.0, part=0.25, size=2.0, every=1.0)  # type: ignore[arg-type]
    steps = FaultTimeline(TARGETS, Random(3)).steps([fault])
    repeated = FaultTimeline(TARGETS, Random(3)).steps([fault])
    assert [(s.at, s.target, s.command) for s in steps] == [
        (s.at, s.target, s.command) for s in repeated
    ]
    assert steps and steps[0].at == 2.0 and [s.at for s in steps] == sorted(s.at for s in steps)
    last_states: dict[tuple[str, str], str] = {}
    for step in steps:
        for name in step.command.get("workers") or [step.command.get("worker", "")]:
            last_states[step.target, name] = (
                step.command.get("state") or step.command.get("fault") or step.command["do"]
            )
    final_states = {
        "workers": {"well", "back", "down"} if kind == "drain" else {"well", "back", "slow"},
        "roster": {"gone"} if kind == "drain" else {"ready", "fault", "index", "double"},
        "proxies": {"cut", "break", "restart", "hear"},
        "manager": {"start", "go on", "pace", "halt"},
        "members": {"heal", "loss", "late", "double"},
    }
    assert all(state in final_states[target] for (target, _), state in last_states.items()), (
        last_states
    )
    if kind.startswith("members"):
        conditions = LinkConditions(Random(1))
        conditions.execute(steps[0].command)
        assert (
            conditions.blocked_pairs
            or conditions.loss_rate
            or conditions.max_delay
            or conditions.duplication_rate
        )
        conditions.execute(steps[-1].command)
        assert not (
            conditions.blocked_pairs
            or conditions.loss_rate
            or conditions.max_delay
            or conditions.duplication_rate
        )


def test_random_faults_overlap_but_not_in_one_process_and_end_before_the_scenario() -> None:
    faults = RandomFaultsConfig(
        ("manager_kill", "manager_stall", "members_cut", "members_loss"), every=2.0, quiet=9.0
    )
    drawn = draw_faults(faults, 600.0, Random(4))
    assert drawn == draw_faults(faults, 600.0, Random(4)) and drawn != draw_faults(
        faults, 600.0, Random(5)
    )
    assert len(drawn) > 100 and max(fault.at + fault.lasts for fault in drawn) <= 591.0
    for group in ("manager", "members_cut", "members_loss"):
        of_group = [fault for fault in drawn if fault.kind.startswith(group)]
        assert all(a.at + a.lasts < b.at for a, b in zip(of_group, of_group[1:], strict=False))
    assert any(a.at + a.lasts > b.at for a, b in zip(drawn, drawn[1:], strict=False)), (
        "some overlap"
    )
    assert draw_faults(RandomFaultsConfig(), 600.0, Random(4)) == []
    with pytest.raises(ValueError, match="unknown kind 'no_such_fault'|unknown kind no_such_fault"):
        RandomFaultsConfig(("no_such_fault",))


def test_link_conditions_between_managers_apply_to_directed_pairs() -> None:
    conditions = LinkConditions(Random(2))
    conditions.execute({"do": "cut", "pairs": [["a", "b"]]})
    assert (
        conditions.datagram_delays("a", "b") == []
        and conditions.datagram_delays("b", "a") == [0.0]
        and conditions.stream_delay("a", "b") is None
    )
    conditions.execute({"do": "heal", "pairs": [["a", "b"]]})
    for do, size in (("loss", 0.3), ("double", 0.5), ("late", 0.1)):
        conditions.execute({"do": do, "size": size})
    delays = [conditions.datagram_delays("a", "b") for _ in range(2000)]
    assert 0.25 < sum(1.5 - len(copies) for copies in delays) / 3000 < 0.35
    assert {len(copies) for copies in delays} == {0, 1, 2} and max(
        map(max, filter(None, delays))
    ) <= 0.1
