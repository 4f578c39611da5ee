"""Records queries to service discovery, decoded responses and errors.

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
CLOCK_OFFSET = -1_700_000_000.5  # the manager's clock minus the wall clock, in seconds


def _entry(address: str, **more: Any) -> Plain:
    host, _, port = address.rpartition(":")
    entry: Plain = {
        "Node": {"Node": "n1", "Datacenter": "north"},
        "Service": {"ID": address, "Address": host, "Port": int(port)},
    }
    for key, value in more.items():
        if key == "checks":
            entry["Checks"] = [{"Status": status} for status in value]
        else:
            entry["Service"][key] = value
    return entry


def _meta(**meta: str) -> Plain:
    return {"Meta": meta}


def _entry_without(*path: str) -> Plain:
    entry = _entry("10.0.0.1:80")
    parent = entry
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return entry


RESPONSE_BODIES: list[Any] = [
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
    [_entry_without("Service", "Address")],
    [_entry_without("Service", "Port")],
    [_entry_without("Node")],
    [_entry_without("Node", "Datacenter")],
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

# What one client receives, in order: a response's index, or "failed".
RESULTS: list[str | None] = [
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


def decode_response(body: str) -> Plain:
    """The workers in a response's body and the ids that occur twice, or the error."""
    try:
        workers, duplicate_ids = entries.decode_workers(body.encode(), CLOCK_OFFSET)
    except entries.DiscoveryResponseError as error:
        return {"fault": str(error)}
    return {"workers": [worker(endpoint) for endpoint in workers], "double": duplicate_ids}


def encode_response(rows: list[Plain]) -> str:
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


def queries(results: list[str | None]) -> list[Plain]:
    """Each query of one client, and how it handles the result."""
    query = BlockingQuery("order-nodes", 9.9996, Random(5).uniform)
    steps: list[Plain] = []
    for result in results:
        step: Plain = {"query": query.request_path(), "comes": result}
        if result == "failed":
            step["pause_s"] = query.next_backoff()
        else:
            try:
                step["news"] = query.record_index(result)
            except ValueError as error:
                step["fault"] = str(error)
        steps.append(step)
    return steps


def main() -> None:
    bodies = [json.dumps(body) for body in RESPONSE_BODIES]
    write_json(ANSWERS, [{"body": body, "got": decode_response(body)} for body in bodies])
    write_json(WRITTEN, {"rows": ROWS, "body": encode_response(ROWS)})
    write_json(QUERIES, queries(RESULTS))


if __name__ == "__main__":
    main()
