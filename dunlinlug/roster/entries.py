"""Entries of `GET /v1/health/service/NAME` to the module's workers and back.

Source: Consul's HTTP API, "List Service Instances for Service". An entry is ready while all its checks pass, and
draining while any is in maintenance or critical; one that is not in the list is gone.
"""

import json
from collections.abc import Iterable
from typing import Any

from dunlinlug import interface as face


class RosterFault(Exception):
    """An answer that is not a list as agreed."""


def read(body: bytes, clock_offset: float) -> tuple[list[face.Worker], list[str]]:
    """The workers of one answer, sorted by id, and the ids that stand there twice.

    Starts are wall-clock seconds on the wire; `clock_offset` (own clock less wall clock) makes them the module's.
    Where an address stands twice the entry that started last is the process that holds the address now.
    """
    try:
        rows = json.loads(body)
    except ValueError as error:
        raise RosterFault(f"not JSON: {error}") from None
    if not isinstance(rows, list):
        raise RosterFault("not an array of entries")
    found: dict[str, face.Worker] = {}
    double = []
    for row in rows:
        worker = _entry(row, clock_offset)
        if worker.id in found:
            double.append(worker.id)
        if worker.id not in found or (worker.since or 0.0) >= (found[worker.id].since or 0.0):
            found[worker.id] = worker
    return sorted(found.values(), key=lambda worker: worker.id), double


def _entry(row: Any, clock_offset: float) -> face.Worker:
    try:
        service, meta = row["Service"], row["Service"].get("Meta") or {}
        statuses = [check["Status"] for check in row.get("Checks") or ()]
        weight = (service.get("Weights") or {}).get("Passing")
        started = meta.get("started")
        return face.Worker(
            id=f"{service['Address']}:{int(service['Port'])}",
            zone=meta.get("zone") or row["Node"]["Datacenter"],
            kind=meta.get("kind") or "",
            cell=int(meta.get("cell") or 0),
            state="ready" if all(status == "passing" for status in statuses) else "draining",
            weight=None if weight is None else float(weight) / WEIGHT,
            since=None if started is None else float(started) + clock_offset,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise RosterFault(f"an entry is not as agreed: {type(error).__name__}: {error}") from None


WEIGHT = 100  # Consul's weights are whole numbers; ours are parts of a usual worker


def write(workers: Iterable[face.Worker]) -> bytes:
    """The answer's body, with wall-clock starts; workers that are gone are left out."""
    rows = [
        {
            "Node": {"Node": f"node-{worker.id}", "Datacenter": worker.zone},
            "Service": {
                "ID": worker.id,
                "Address": worker.id.rpartition(":")[0],
                "Port": int(worker.id.rpartition(":")[2]),
                "Weights": None
                if worker.weight is None
                else {"Passing": round(worker.weight * WEIGHT)},
                "Meta": {
                    "zone": worker.zone,
                    "kind": worker.kind,
                    "cell": str(worker.cell),
                    **({} if worker.since is None else {"started": repr(worker.since)}),
                },
            },
            "Checks": [{"Status": "passing" if worker.state == "ready" else "maintenance"}],
        }
        for worker in workers
        if worker.state != "gone"
    ]
    return json.dumps(rows).encode()
