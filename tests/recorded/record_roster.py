"""Record the roster's queries, answers and faults.

python -m tests.recorded.record_roster
"""

import json
from random import Random
from typing import Any

from dunlinlug.decision.events import Endpoint
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import BlockingQuery
from dunlinlug.simulator import codec
from tests.recorded.plain import Plain, text_of, worker, write_json

ANSWERS, WRITTEN, QUERIES = "roster/answers.json", "roster/written.json", "roster/queries.json"
OFFSET = -1_700_000_000.5  # own clock less wall clock, in seconds


def _entry(place: str, **more: Any) -> Plain:
    host, _, port = place.rpartition(":")
    entry: Plain = {
        "Node": {"Node": "n1", "Datacenter": "north"},
        "Service": {"ID": place, "Address": host, "Port": int(port)},
    }
    for key, value in more.items():
        if key == "checks":
            entry["Checks"] = [{"Status": status} for status in value]
        else:
            entry["Service"][key] = value
    return entry


def _meta(**meta: str) -> Plain:
    return {"Meta": meta}


def _without(*path: str) -> Plain:
    entry = _entry("10.0.0.1:80")
    where = entry
    for key in path[:-1]:
        where = where[key]
    del where[path[-1]]
    return entry


BODIES: list[Any] = [
    [],
    [_entry("10.0.0.1:80")],
    [
        _entry("10.0.0.3:80", checks=["passing", "passing"], Weights={"Passing": 150}),
        _entry("10.0.0.2:80", checks=["passing", "critical"], Weights={"Passing": 0}),
        _entry("10.0.0.4:80", checks=["maintenance"], Weights=None),
        _entry("10.0.0.5:80", checks=["warning"], Weights={"Warning": 1}),
    ],
    [
        _entry("10.0.0.1:80", **_meta(zone="south", kind="2x1.0", cell="3", started="1700000050")),
        _entry("10.0.0.1:80", **_meta(zone="east", started="1700000060.25")),
        _entry("10.0.0.1:80", **_meta(zone="west", started="1700000055")),
        _entry("[::1]:80", Meta=None),
    ],
    {},
    7,
    [7],
    [{}],
    [_without("Service", "Address")],
    [_without("Service", "Port")],
    [_without("Node")],
    [_without("Node", "Datacenter")],
    [_entry("10.0.0.1:80", Port="x")],
    [_entry("10.0.0.1:80", Weights={"Passing": "much"})],
    [_entry("10.0.0.1:80", **_meta(cell="x"))],
    [_entry("10.0.0.1:80", **_meta(started="today"))],
    [{**_entry("10.0.0.1:80"), "Checks": [{}]}],
]

ROWS: list[Plain] = [
    {"place": "10.0.0.1:80", "zone": "north", "state": "active", "weight": 1.0, "since_s": None},
    {"place": "10.0.0.2:81", "zone": "south", "state": "leaving", "weight": None, "since_s": 17.25},
    {"place": "10.0.0.3:82", "zone": "", "state": "left", "weight": 2.0, "since_s": 1.0},
    {"place": "10.0.0.4:83", "zone": "\u00e9", "state": "active", "weight": 0.125, "since_s": 0.0},
    {"place": "[::1]:84", "zone": "z", "state": "active", "weight": 2.505, "since_s": 1.7e9},
]

# What comes to one follower after another: an answer's index, or a failure ("failed").
COMES: list[str | None] = [
    "10",
    "10",
    "failed",
    "failed",
    "failed",
    "12",
    "3",
    "5",
    None,
    "0",
    "x",
    "-4",
    "",
    "1.5",
    *["failed"] * 8,
    "6",
]


def answer(body: str) -> Plain:
    """What an answer's body gives: its workers and the ids that stand there twice, or the fault."""
    try:
        workers, double = entries.decode_workers(body.encode(), OFFSET)
    except entries.DiscoveryResponseError as fault:
        return {"fault": str(fault)}
    return {"workers": [worker(one) for one in workers], "double": double}


def written(rows: list[Plain]) -> str:
    workers = [
        Endpoint(
            row["place"],
            row["zone"],
            "2x1.0" if n % 2 else "",
            n,
            codec.ENDPOINT_STATES[row["state"]],
            row["weight"],
            row["since_s"],
        )
        for n, row in enumerate(rows)
    ]
    return text_of(entries.encode_workers(workers))


def queries(comes: list[str | None]) -> list[Plain]:
    """Each query of one follower, and what it makes of what comes of it."""
    following = BlockingQuery("order-nodes", 9.9996, Random(5).uniform)
    steps: list[Plain] = []
    for come in comes:
        step: Plain = {"query": following.request_path(), "comes": come}
        if come == "failed":
            step["pause_s"] = following.next_backoff()
        else:
            try:
                step["news"] = following.record_index(come)
            except ValueError as fault:
                step["fault"] = str(fault)
        steps.append(step)
    return steps


def main() -> None:
    bodies = [json.dumps(body) for body in BODIES]
    write_json(ANSWERS, [{"body": body, "got": answer(body)} for body in bodies])
    write_json(WRITTEN, {"rows": ROWS, "body": written(ROWS)})
    write_json(QUERIES, queries(COMES))


if __name__ == "__main__":
    main()
