"""Entries of `GET /v1/health/service/NAME` to the module's workers and back.

Source: Consul's HTTP API, "List Service Instances for Service". An entry is ready while all its
checks pass, and draining while any is in maintenance or critical; one that is not in the list is
gone.
"""

import json
from collections.abc import Iterable
from typing import Any

from dunlinlug.decision.events import Endpoint, EndpointState
from dunlinlug.errors import DunlinlugError


class DiscoveryResponseError(DunlinlugError):
    """An answer that is not a list as agreed."""


def decode_workers(body: bytes, clock_offset: float) -> tuple[list[Endpoint], list[str]]:
    """The workers of one answer, sorted by id, and the ids that stand there twice.

    Starts are wall-clock seconds on the wire; `clock_offset` (own clock less wall clock) makes them
    the module's. Where an address stands twice the entry that started last is the process that
    holds the address now.
    """
    try:
        entries = json.loads(body)
    except ValueError as error:
        raise DiscoveryResponseError(f"not JSON: {error}") from None
    if not isinstance(entries, list):
        raise DiscoveryResponseError("not an array of entries")
    workers: dict[str, Endpoint] = {}
    duplicate_ids = []
    for entry in entries:
        worker = _decode_entry(entry, clock_offset)
        if worker.id in workers:
            duplicate_ids.append(worker.id)
        if worker.id not in workers or (worker.started_at or 0.0) >= (
            workers[worker.id].started_at or 0.0
        ):
            workers[worker.id] = worker
    return sorted(workers.values(), key=lambda worker: worker.id), duplicate_ids


def _decode_entry(entry: Any, clock_offset: float) -> Endpoint:
    try:
        service = entry["Service"]
        metadata = entry["Service"].get("Meta") or {}
        statuses = [check["Status"] for check in entry.get("Checks") or ()]
        weight = (service.get("Weights") or {}).get("Passing")
        started = metadata.get("started")
        is_passing = all(status == "passing" for status in statuses)
        return Endpoint(
            id=f"{service['Address']}:{int(service['Port'])}",
            zone=metadata.get("zone") or entry["Node"]["Datacenter"],
            host_class=metadata.get("kind") or "",
            cell=int(metadata.get("cell") or 0),
            state=EndpointState.READY if is_passing else EndpointState.DRAINING,
            weight=None if weight is None else float(weight) / WEIGHT_SCALE,
            started_at=None if started is None else float(started) + clock_offset,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DiscoveryResponseError(
            f"an entry is not as agreed: {type(error).__name__}: {error}"
        ) from None


WEIGHT_SCALE = 100  # Consul's weights are whole numbers; ours are parts of a usual worker


def encode_workers(workers: Iterable[Endpoint]) -> bytes:
    """The answer's body, with wall-clock starts; workers that are gone are left out."""
    entries = [
        {
            "Node": {"Node": f"node-{worker.id}", "Datacenter": worker.zone},
            "Service": {
                "ID": worker.id,
                "Address": worker.id.rpartition(":")[0],
                "Port": int(worker.id.rpartition(":")[2]),
                "Weights": None
                if worker.weight is None
                else {"Passing": round(worker.weight * WEIGHT_SCALE)},
                "Meta": {
                    "zone": worker.zone,
                    "kind": worker.host_class,
                    "cell": str(worker.cell),
                    **({} if worker.started_at is None else {"started": repr(worker.started_at)}),
                },
            },
            "Checks": [{"Status": "passing" if worker.state == "ready" else "maintenance"}],
        }
        for worker in workers
        if worker.state != "gone"
    ]
    return json.dumps(entries).encode()
