"""Decodes entries of `GET /v1/health/service/NAME` as endpoints, and encodes them.

Source: Consul's HTTP API, "List Service Instances for Service". An endpoint is ready while all its
checks pass, draining while any check has another status, and gone if it is not in the list.
"""

import json
from collections.abc import Iterable
from typing import Any

from dunlinlug.decision.events import Endpoint, EndpointState
from dunlinlug.errors import DunlinlugError

WEIGHT_SCALE = 100  # Consul's weights are integers; a weight of 1 is that of a usual endpoint


class DiscoveryResponseError(DunlinlugError):
    """A response that is not a list of valid entries; the text is the reason."""


def decode_workers(body: bytes, clock_offset: float) -> tuple[list[Endpoint], list[str]]:
    """Decode the endpoints of a response, sorted by id, and the ids that occur more than once.

    Of several entries with the same address, the one that started last is used, as its process is
    the one using the address now.

    Args:
        body: The response body.
        clock_offset: Seconds to add to wall-clock times in the response to convert them to the
            decision module's clock.

    Raises:
        DiscoveryResponseError: The response is not a list of valid entries.
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
    """Decode an entry, which may be any JSON value. Raises DiscoveryResponseError."""
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
    """Encode a response body, with wall-clock start times; endpoints that are gone are omitted."""
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
