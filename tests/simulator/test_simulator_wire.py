"""The simulator's adapter, tested by its input and output lines."""

import io
import json
import subprocess
import sys

import pytest

from dunlinlug.balance import Balancer
from dunlinlug.simulator import codec
from dunlinlug.simulator.host import serve

INFO = {
    "dcs": ["north"],
    "zone": "north",
    "membershipMode": "subscribe",
    "caps": {"probes": True, "other": 1},
    "lanes": [
        {"aimUs": 800000, "effect": "pure", "hardLimitUs": 2000000, "name": "read", "points": 1.0},
        {"aimUs": 800000, "effect": "token", "hardLimitUs": 2000000, "name": "book", "points": 5.0},
    ],
    "reporting": {"fields": ["depth", "mean_ms"], "how": "answers"},
    "rules": {
        "askEveryUs": 10000000,
        "coldUs": 18000000,
        "drainGraceUs": 3000000,
        "fallUs": 2000000,
        "startCapacity": 0.2,
        "tipMultiple": 3.0,
    },
    "specifics": {
        "admit": "ratio",
        "egressPerS": 1300.0,
        "emptyForUs": 4700000,
        "pendingMax": 2000.0,
        "perMessage": 4.0,
        "transitUs": 252000,
        "usualHow": 1,
        "cycleUs": 500000,
        "keyRanges": 0,
    },
}
ROW = {
    "worker": "10.0.0.1:80",
    "locality": "north",
    "classOfHost": "",
    "bay": 0,
    "state": "active",
    "weight": 1,
    "sinceUs": None,
}


def start(manager: str, **specifics: object) -> list[dict]:
    info = {**INFO, "specifics": {**INFO["specifics"], **specifics}}
    return [
        {"verb": "NewInstance", "manager": manager, "nonce64": 5, "info": info},
        {
            "verb": "Discovery",
            "manager": manager,
            "form": "restored",
            "gen": 1,
            "membersList": [ROW],
        },
    ]


def exchange(*batches: list[dict]) -> list[dict]:
    lines = [
        json.dumps({"nowUs": 10**6 * (n + 1), "n": n, "happened": batch}).encode()
        for n, batch in enumerate(batches)
    ]
    out = io.BytesIO()
    serve(io.BytesIO(b"\n".join(lines) + b"\n"), out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def verbs(reply: dict, manager: str) -> list[str]:
    return [decision["verb"] for decision in reply["decisions"] if decision["manager"] == manager]


JOIN = {
    "verb": "Joined",
    "manager": "manager/0",
    "proxy": 4,
    "yes": True,
    "weight": 1.0,
    "locality": "north",
}


def test_a_new_proxy_is_assigned_for_every_class_and_asked_to_acknowledge() -> None:
    replies = exchange(start("manager/0"), [JOIN], [])
    assert "Watch" in verbs(replies[0], "manager/0")
    assert [d.get("classes", d["verb"]) for d in replies[1]["decisions"][:2]] == [3, "Seal"]
    assert replies[2] == {"n": 2, "decisions": []}


def test_instances_are_independent_and_a_detached_one_gives_no_orders() -> None:
    alone = exchange(start("manager/0"), [JOIN])
    both = exchange([*start("manager/1"), *start("manager/0")], [JOIN])
    assert [d for d in both[1]["decisions"] if d["manager"] == "manager/0"] == alone[1]["decisions"]
    end = {"verb": "Detach", "manager": "manager/0"}
    gone = exchange(start("manager/0"), [end, JOIN], [JOIN])
    assert gone[1]["decisions"] == gone[2]["decisions"] == []


def test_unknown_verbs_and_departed_proxies_are_disregarded() -> None:
    ignored_events = [
        {"verb": "Comet", "tail": 1},
        {"verb": "Left", "manager": "manager/0", "proxy": 77, "new": 2},
        {"verb": "Receipt", "manager": "manager/0", "proxy": 77, "gen": 9, "costTimeUs": 1},
        {
            "verb": "TrafficReport",
            "manager": "manager/0",
            "locality": "north",
            "worker": "10.9.9.9:1",
            "count": 1,
            "errors": 1,
            "costTimeUs": 0,
            "windowUs": 500000,
            "usage": None,
        },
    ]
    assert exchange(start("manager/0"), ignored_events)[1]["decisions"] == []


def test_sites_with_shards_get_one_log_line_and_no_order() -> None:
    replies = exchange(start("manager/0", keyRanges=64), [JOIN])
    assert verbs(replies[0], "manager/0") == ["JournalLine"] and replies[1]["decisions"] == []


def test_an_error_in_the_module_is_reported_as_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "decide", lambda self, now, events: 1 // 0)
    decision = exchange(start("manager/0"))[0]["decisions"][0]
    assert decision["verb"] == "Broken" and "ZeroDivisionError" in decision["text"]


def test_units_and_names_become_those_of_the_records() -> None:
    report = codec.read_event(
        "TrafficReport",
        {
            "locality": "north",
            "worker": "w",
            "count": 4,
            "errors": 1,
            "costTimeUs": 250000,
            "windowUs": 500000,
            "usage": [3, 14.5],
        },
        ("queue", "service_s"),
    )
    assert (report.latency, report.window, report.load) == (
        0.25,
        0.5,
        {"queue": 3.0, "service_s": 0.0145},
    )
    assert (
        codec.read_settings_event(start("manager/0")[0]).traffic_classes[1].idempotency
        == "referenced"
    )


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        (b"{", "not JSON"),
        (b"[]", "object"),
        (b'{"happened":[]}', "nowUs"),
        (b'{"nowUs":1}', "happened"),
        (b'{"nowUs":1,"happened":[{"verb":"NewInstance","manager":"m"}]}', "NewInstance"),
    ],
)
def test_a_malformed_line_is_reported_without_a_traceback(line: bytes, problem: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "dunlinlug.drill"], input=line + b"\n", capture_output=True
    )
    assert (
        completed.returncode
        and problem in completed.stderr.decode()
        and "Traceback" not in completed.stderr.decode()
    )
