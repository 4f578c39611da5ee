"""Entries of `GET /v1/health/service/NAME` to endpoints and back.

Source: Consul's HTTP API, "List Service Instances for Service". An endpoint is ready while all its
checks pass, and draining while any is in maintenance or critical; one that is not in the list is
gone.
"""

import json
from collections.abc import Iterable
from typing import Any

from dunlinlug.decision.events import Endpoint, EndpointState
from dunlinlug.errors import DunlinlugError

WEIGHT_SCALE = 100  # Consul's weights are whole numbers; ours are parts of a usual endpoint


class DiscoveryResponseError(DunlinlugError):
    """An answer that is not a list of entries; the text says what is wrong with it."""


def decode_workers(body: bytes, clock_offset: float) -> tuple[list[Endpoint], list[str]]:
    """The endpoints of one answer, sorted by id, and the ids that stand in it more than once.

    Of several entries with the same address the one that started last is taken, as it is that of
    the process that holds the address now.

    Args:
        body: The answer.
        clock_offset: What to add to the wall-clock seconds of the wire to have the decision
            module's.

    Raises:
        DiscoveryResponseError: The answer is not a list of entries.
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
        other = workers.get(worker.id)
        if other is not None:
            duplicate_ids.append(worker.id)
        if other is None or (worker.started_at or 0.0) >= (other.started_at or 0.0):
            workers[worker.id] = worker
    return sorted(workers.values(), key=lambda worker: worker.id), duplicate_ids


def _decode_entry(entry: Any, clock_offset: float) -> Endpoint:
    """An endpoint; the entry may be any JSON value. Raises DiscoveryResponseError."""
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


def encode_workers(workers: Iterable[Endpoint]) -> bytes:
    """The body of an answer, with wall-clock starts; endpoints that are gone are left out."""
    entries = [_encode_entry(worker) for worker in workers if worker.state != "gone"]
    return json.dumps(entries).encode()


def _encode_entry(worker: Endpoint) -> dict[str, object]:
    host, _, port = worker.id.rpartition(":")
    weights = None
    if worker.weight is not None:
        weights = {"Passing": round(worker.weight * WEIGHT_SCALE)}
    metadata = {"zone": worker.zone, "kind": worker.host_class, "cell": str(worker.cell)}
    if worker.started_at is not None:
        metadata["started"] = repr(worker.started_at)
    return {
        "Node": {"Node": f"node-{worker.id}", "Datacenter": worker.zone},
        "Service": {
            "ID": worker.id,
            "Address": host,
            "Port": int(port),
            "Weights": weights,
            "Meta": metadata,
        },
        "Checks": [{"Status": "passing" if worker.state == "ready" else "maintenance"}],
    }
