"""Each rule on records made by hand: kept just inside its limit, broken just beyond it."""

import json
from pathlib import Path
from typing import Any

import pytest

from dunlinlug.audit import figures, records, rules
from dunlinlug.audit.report import report

DAY = (Path(__file__).parents[2] / "days" / "first.ini").read_text()
W1, W2 = "127.0.0.1:7001", "127.0.0.1:7002"
PLACES = "".join(
    f"\n[worker {w}]\nzone = north\ncores = 2\nspeed = 1\nweight = 1\n" for w in (W1, W2)
)
READY = {W1: ["ready", None], W2: ["ready", None]}


def judged(tmp_path: Path, *lines: dict[str, Any]) -> list[str]:
    """The rules broken by a day of 60 s that begins at 100 s, with one proxy joined at 101 s."""
    (tmp_path / "run.ini").write_text(DAY + PLACES)
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
    return [item.rule for item in rules.find_violations(records.read_records(tmp_path))]


def sent(at: float, worker: str = W1, proxy: str = "p0", **more: Any) -> dict[str, Any]:
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


DRAINED = {"at": 110.0, "e": "served", "index": 2, "states": {**READY, W1: ["draining", None]}}


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([sent(113.0)], []),
        ([sent(113.5)], ["drain"]),
        ([sent(113.5, W2)], []),
        ([sent(113.5, proxy="never-joined")], []),
        ([{"at": 112.0, "e": "left", "proxy": "p0"}, sent(113.5)], []),
        (
            [
                {"at": 112.0, "e": "left", "proxy": "p0"},
                {"at": 112.5, "e": "joined", "proxy": "p0"},
                sent(113.5),
            ],
            [],
        ),
        (
            [
                {"at": 112.0, "e": "left", "proxy": "p0"},
                {"at": 112.5, "e": "joined", "proxy": "p0"},
                sent(116.0),
            ],
            ["drain"],
        ),
        ([{"at": 111.0, "e": "manager", "do": "kill"}, sent(113.5)], []),
        (
            [
                {"at": 111.0, "e": "manager", "do": "stall"},
                {"at": 113.0, "e": "manager", "do": "go on"},
                sent(114.5),
            ],
            [],
        ),
        (
            [
                {"at": 111.0, "e": "manager", "do": "stall"},
                {"at": 113.0, "e": "manager", "do": "go on"},
                sent(115.5),
            ],
            ["drain"],
        ),
        (
            [
                {"at": 109.0, "e": "manager", "do": "slow", "size": 2},
                {"at": 130.0, "e": "manager", "do": "pace"},
                sent(115.5),
            ],
            [],
        ),
        ([{"at": 112.0, "e": "served", "index": 3, "states": READY}, sent(114.0)], []),
        (
            [
                {"at": 112.0, "e": "served", "index": 3, "states": {W2: ["ready", None]}},
                sent(114.0),
            ],
            ["drain"],
        ),
    ],
)
def test_drains(tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]) -> None:
    assert judged(tmp_path, DRAINED, *lines) == broken


def bare(at: float, on: bool) -> dict[str, Any]:
    return {"at": at, "e": "bare", "proxy": "p0", "product": "press-book", "on": on}


COLD = {"at": 109.0, "e": "served", "index": 2, "states": {W1: ["ready", 108.0]}}


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([bare(110.0, True), bare(114.0, False)], []),
        ([bare(110.0, True), bare(114.5, False)], ["bare"]),
        ([bare(110.0, True)], ["bare"]),
        ([bare(95.0, True), bare(105.0, False)], []),
        ([bare(95.0, True), bare(105.5, False)], ["bare"]),
        ([COLD, bare(110.0, True), bare(120.0, False)], []),
    ],
)
def test_nobody_is_left_without_a_line(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert judged(tmp_path, *lines) == broken


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
def test_no_effect_twice(tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]) -> None:
    assert judged(tmp_path, sent(109.9), *lines) == broken


STARTED = {"at": 110.0, "e": "served", "index": 2, "states": {**READY, W1: ["ready", 109.9]}}


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
def test_no_cold_worker_is_pushed_over(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert judged(tmp_path, STARTED, *lines) == broken


def message(
    ordered: float, at: float, lines: float, proxy: str = "p0", replies: int = 1
) -> dict[str, Any]:
    return {
        "at": at,
        "e": "applied",
        "proxy": proxy,
        "tag": f"{ordered} {lines} {replies}",
        "lines": 1,
        "refused": "",
    }


@pytest.mark.parametrize(
    ("lines", "broken"),
    [
        ([message(110.0, 112.0, 1900)], []),
        ([message(110.0, 112.0, 1900), message(111.0, 114.0, 150)], ["queue"]),
        ([message(110.0, 110.1, 100), message(110.0, 110.2, 100)], []),
        ([message(110.0, 110.01 + n / 1000, 100) for n in range(10)], ["queue"] * 3),
        ([message(110.0 + n / 4, 110.1 + n / 4, 6) for n in range(30)], []),
        ([message(110.0 + n / 4, 110.1 + n / 4, 6, replies=2) for n in range(16)], ["queue"]),
    ],
)
def test_the_queue_stays_short(
    tmp_path: Path, lines: list[dict[str, Any]], broken: list[str]
) -> None:
    assert judged(tmp_path, *lines) == broken


def test_a_break_names_its_evidence_and_the_day_then_fails(tmp_path: Path) -> None:
    judged(tmp_path, DRAINED, sent(120.0))
    text, kept = report(tmp_path)
    assert (
        not kept
        and "BROKEN drain at 19.00 s proxy p0 worker 127.0.0.1:7001" in text
        and "all.jsonl:9" in text
    )


def test_figures_are_revenue_in_time_over_revenue_asked(tmp_path: Path) -> None:
    txns = [
        {
            "at": 110.0,
            "e": "txn",
            "txn": str(n),
            "product": product,
            "outcome": outcome,
            "took": 0.5,
        }
        for n, (product, outcome) in enumerate(
            [
                ("press-book", "settled"),
                ("press-book", "late"),
                ("ticket-read", "voided"),
                ("ticket-read", "settled"),
            ]
        )
    ]
    judged(tmp_path, *txns)
    sums = figures.summarize(records.read_records(tmp_path))
    assert sums.served_fraction == pytest.approx((5 + 1 + 0 + 1) / 12)
    assert sums.by_traffic_class == pytest.approx({"press-book": 0.6, "ticket-read": 0.5})
    assert sums.outcomes == {"settled": 2, "late": 1, "voided": 1}


def test_a_cut_last_line_is_passed_over_and_a_broken_one_is_named(tmp_path: Path) -> None:
    judged(tmp_path)
    path = tmp_path / "all.jsonl"
    path.write_text(path.read_text() + '{"at": 1')
    records.read_records(tmp_path)
    path.write_text('{"at": 1\n' + path.read_text())
    with pytest.raises(records.RecordError, match=r"all\.jsonl:1: not JSON"):
        records.read_records(tmp_path)
