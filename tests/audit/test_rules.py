"""Each rule on synthetic records: kept just within its limit, broken just beyond it."""

import json
from pathlib import Path
from typing import Any

import pytest

from dunlinlug.audit import figures, records, rules
from dunlinlug.audit.report import report

SCENARIO = (Path(__file__).parents[2] / "days" / "first.ini").read_text()
W1 = "127.0.0.1:7001"
W2 = "127.0.0.1:7002"
WORKER_SECTIONS = "".join(
    f"\n[worker {worker}]\nzone = north\ncores = 2\nspeed = 1\nweight = 1\n" for worker in (W1, W2)
)
READY = {W1: ["ready", None], W2: ["ready", None]}


def broken_rules(tmp_path: Path, *lines: dict[str, Any]) -> list[str]:
    """The rules broken in a scenario of 60 s from 100 s on, with one proxy connected at 101 s."""
    (tmp_path / "run.ini").write_text(SCENARIO + WORKER_SECTIONS)
    base = [
        {"at": 100.0, "e": "begin", "lead": 1.0, "length": 60},
        {"at": 100.0, "e": "manager", "do": "start"},
        {"at": 100.5, "e": "served", "index": 1, "states": READY},
        {"at": 101.0, "e": "joined", "proxy": "p0"},
        {
            "at": 101.2,
            "e": "applied",
            "proxy": "p0",
            "tag": "101.1 20 1",
            "lines": 6,
            "refused": "",
        },
        {"at": 161.0, "e": "done", "sent": 0},
        {"at": 162.0, "e": "end"},
    ]
    (tmp_path / "all.jsonl").write_text(
        "".join(json.dumps(line) + "\n" for line in [*base, *lines])
    )
    violations = rules.find_violations(records.read_records(tmp_path))
    return [violation.rule for violation in violations]


def attempt(at: float, worker: str = W1, proxy: str = "p0", **more: Any) -> dict[str, Any]:
    return {
        "at": at,
        "e": "try",
        "proxy": proxy,
        "worker": worker,
        "txn": "1",
        "product": "press-book",
        "n": 0,
        "client": 0,
        **more,
    }


DRAINING = {"at": 110.0, "e": "served", "index": 2, "states": {**READY, W1: ["draining", None]}}


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([attempt(113.0)], []),
        ([attempt(113.5)], ["drain"]),
        ([attempt(113.5, W2)], []),
        ([attempt(113.5, proxy="never-joined")], []),
        ([{"at": 112.0, "e": "left", "proxy": "p0"}, attempt(113.5)], []),
        (
            [
                {"at": 112.0, "e": "left", "proxy": "p0"},
                {"at": 112.5, "e": "joined", "proxy": "p0"},
                attempt(113.5),
            ],
            [],
        ),
        (
            [
                {"at": 112.0, "e": "left", "proxy": "p0"},
                {"at": 112.5, "e": "joined", "proxy": "p0"},
                attempt(116.0),
            ],
            ["drain"],
        ),
        ([{"at": 111.0, "e": "manager", "do": "kill"}, attempt(113.5)], []),
        (
            [
                {"at": 111.0, "e": "manager", "do": "stall"},
                {"at": 113.0, "e": "manager", "do": "go on"},
                attempt(114.5),
            ],
            [],
        ),
        (
            [
                {"at": 111.0, "e": "manager", "do": "stall"},
                {"at": 113.0, "e": "manager", "do": "go on"},
                attempt(115.5),
            ],
            ["drain"],
        ),
        (
            [
                {"at": 109.0, "e": "manager", "do": "slow", "size": 2},
                {"at": 130.0, "e": "manager", "do": "pace"},
                attempt(115.5),
            ],
            [],
        ),
        ([{"at": 112.0, "e": "served", "index": 3, "states": READY}, attempt(114.0)], []),
        (
            [
                {"at": 112.0, "e": "served", "index": 3, "states": {W2: ["ready", None]}},
                attempt(114.0),
            ],
            ["drain"],
        ),
    ],
)
def test_no_request_is_sent_to_a_draining_endpoint_after_the_grace_period(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert broken_rules(tmp_path, DRAINING, *lines) == broken


def without_endpoint(at: float, on: bool) -> dict[str, Any]:
    return {"at": at, "e": "bare", "proxy": "p0", "product": "press-book", "on": on}


WARMING = {"at": 109.0, "e": "served", "index": 2, "states": {W1: ["ready", 108.0]}}


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([without_endpoint(110.0, True), without_endpoint(114.0, False)], []),
        ([without_endpoint(110.0, True), without_endpoint(114.5, False)], ["bare"]),
        ([without_endpoint(110.0, True)], ["bare"]),
        ([without_endpoint(95.0, True), without_endpoint(105.0, False)], []),
        ([without_endpoint(95.0, True), without_endpoint(105.5, False)], ["bare"]),
        ([WARMING, without_endpoint(110.0, True), without_endpoint(120.0, False)], []),
    ],
)
def test_no_proxy_is_without_an_endpoint_for_longer_than_allowed(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert broken_rules(tmp_path, *lines) == broken


def effect(at: float, worker: str, client: int = 0, product: str = "press-book") -> dict[str, Any]:
    return {
        "at": at,
        "e": "effect",
        "worker": worker,
        "txn": "1",
        "product": product,
        "client": client,
    }


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([effect(110.0, W1), {"at": 111.0, "e": "dropped", "worker": W2, "txn": "1"}], []),
        ([effect(110.0, W1), effect(111.0, W2)], ["twice"]),
        ([effect(110.0, W1), effect(111.0, W2, client=1)], []),
        ([effect(110.0, W1, product="ticket-read"), effect(111.0, W2, product="ticket-read")], []),
    ],
)
def test_no_effect_happens_twice_within_a_clients_call(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert broken_rules(tmp_path, attempt(109.9), *lines) == broken


RESTARTED = {"at": 110.0, "e": "served", "index": 2, "states": {**READY, W1: ["ready", 109.9]}}


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([{"at": 112.0, "e": "fell", "worker": W1, "brought": [[1.0, 2.0, "p0"]]}], []),
        (
            [
                {
                    "at": 114.0,
                    "e": "fell",
                    "worker": W1,
                    "brought": [[0.5, 2.0, "p0"], [0.1, 2.0, "p0"]],
                }
            ],
            ["pushed"],
        ),
        (
            [
                {
                    "at": 114.0,
                    "e": "fell",
                    "worker": W1,
                    "brought": [[0.5, 2.0, "p0"], [0.1, 2.0, "other"]],
                }
            ],
            [],
        ),
        (
            [
                {
                    "at": 111.0,
                    "e": "applied",
                    "proxy": "p0",
                    "tag": "110.5 9 1",
                    "lines": 1,
                    "refused": "",
                },
                {"at": 112.0, "e": "fell", "worker": W1, "brought": [[0.5, 2.0, "p0"]]},
            ],
            ["pushed"],
        ),
    ],
)
def test_no_warming_endpoint_is_overloaded_by_informed_proxies(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert broken_rules(tmp_path, RESTARTED, *lines) == broken


def arrived(
    ordered: float, at: float, lines: float, proxy: str = "p0", messages: int = 1
) -> dict[str, Any]:
    return {
        "at": at,
        "e": "applied",
        "proxy": proxy,
        "tag": f"{ordered} {lines} {messages}",
        "lines": 1,
        "refused": "",
    }


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([arrived(110.0, 112.0, 1900)], []),
        ([arrived(110.0, 112.0, 1900), arrived(111.0, 114.0, 150)], ["queue"]),
        ([arrived(110.0, 110.1, 100), arrived(110.0, 110.2, 100)], []),
        ([arrived(110.0, 110.01 + number / 1000, 100) for number in range(10)], ["queue"] * 3),
        ([arrived(110.0 + number / 4, 110.1 + number / 4, 6) for number in range(30)], []),
        (
            [
                arrived(110.0 + number / 4, 110.1 + number / 4, 6, messages=2)
                for number in range(16)
            ],
            ["queue"],
        ),
    ],
)
def test_queue_rate_and_messages_stay_within_the_channels_limits(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert broken_rules(tmp_path, *lines) == broken


def test_a_violation_is_reported_with_its_evidence(tmp_path: Path) -> None:
    broken_rules(tmp_path, DRAINING, attempt(120.0))
    text, is_clean = report(tmp_path)
    assert not is_clean
    assert "BROKEN drain at 19.00 s proxy p0 worker 127.0.0.1:7001" in text
    assert "all.jsonl:9" in text


def test_served_fraction_is_priority_weight_in_time_over_that_of_all_requests(
    tmp_path: Path,
) -> None:
    requests = [
        {
            "at": 110.0,
            "e": "txn",
            "txn": str(number),
            "product": product,
            "outcome": outcome,
            "took": 0.5,
        }
        for number, (product, outcome) in enumerate(
            [
                ("press-book", "settled"),
                ("press-book", "late"),
                ("ticket-read", "voided"),
                ("ticket-read", "settled"),
            ]
        )
    ]
    broken_rules(tmp_path, *requests)
    summary = figures.summarize(records.read_records(tmp_path))
    assert summary.served_fraction == pytest.approx((5 + 1 + 0 + 1) / 12)
    assert summary.by_traffic_class == pytest.approx({"press-book": 0.6, "ticket-read": 0.5})
    assert summary.outcomes == {"settled": 2, "late": 1, "voided": 1}


def test_an_incomplete_last_line_is_ignored_and_another_invalid_line_is_an_error(
    tmp_path: Path,
) -> None:
    broken_rules(tmp_path)
    path = tmp_path / "all.jsonl"
    path.write_text(path.read_text() + '{"at": 1')
    records.read_records(tmp_path)
    path.write_text('{"at": 1\n' + path.read_text())
    with pytest.raises(records.RecordError, match=r"all\.jsonl:1: not JSON"):
        records.read_records(tmp_path)


def test_an_update_of_several_messages_counts_as_these(tmp_path: Path) -> None:
    """Guards against counting table updates as messages."""
    update = {"at": 110.0, "e": "applied", "proxy": "p0", "tag": "109 20 3", "refused": ""}
    broken_rules(tmp_path, {**update, "lines": 6}, {**update, "lines": 0, "tag": ""})
    assert figures.summarize(records.read_records(tmp_path)).message_count == 1 + 3


def test_the_report_of_a_scenario_that_kept_the_rules_names_no_number_of_rules(
    tmp_path: Path,
) -> None:
    """Guards against a number of rules that differs from those that are checked."""
    assert broken_rules(tmp_path) == []
    text, is_kept = report(tmp_path)
    assert is_kept and "rules: all kept" in text
