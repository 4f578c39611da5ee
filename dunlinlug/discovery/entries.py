"""Decodes entries of `GET /v1/health/service/NAME` as endpoints, and encodes them.

Source: Consul's HTTP API, "List Service Instances for Service". An endpoint is ready while all its
checks pass, draining while any check has another status, and gone if it is not in the list.
"""

import json
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from dunlinlug.bounded_values import (
    Host,
    Name,
    OutOfBoundsError,
    Port,
    UnixSeconds,
    parse_json,
    require_bounds,
)
from dunlinlug.decision.events import Endpoint, EndpointState
from dunlinlug.errors import DunlinlugError

WEIGHT_SCALE = 100  # Consul's weights are integers; a weight of 1 is that of a usual endpoint

MAX_CELL = 2**53
MAX_WEIGHT = 1e9


class _EntryFields(msgspec.Struct):
    """The fields of an entry that are used, with their bounds."""

    address: Host
    port: Port
    zone: Annotated[str, Meta(max_length=128)]
    host_class: Annotated[str, Meta(max_length=128)]
    cell: Annotated[int, Meta(ge=-MAX_CELL, le=MAX_CELL)]
    statuses: list[Name]
    weight: Annotated[float, Meta(ge=0.0, le=MAX_WEIGHT)] | None
    started_at: UnixSeconds | None


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
        entries = parse_json(body)
    except OutOfBoundsError as error:
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
    fields = _entry_fields(entry)
    is_passing = all(status == "passing" for status in fields.statuses)
    return Endpoint(
        id=f"{fields.address}:{fields.port}",
        zone=fields.zone,
        host_class=fields.host_class,
        cell=fields.cell,
        state=EndpointState.READY if is_passing else EndpointState.DRAINING,
        weight=None if fields.weight is None else fields.weight / WEIGHT_SCALE,
        started_at=None if fields.started_at is None else fields.started_at + clock_offset,
    )


def _entry_fields(entry: Any) -> _EntryFields:
    """Return the fields of an entry, all within their bounds. Raises DiscoveryResponseError."""
    try:
        service = entry["Service"]
        metadata = entry["Service"].get("Meta") or {}
        statuses = [check["Status"] for check in entry.get("Checks") or ()]
        weight = (service.get("Weights") or {}).get("Passing")
        started = metadata.get("started")
        plain_fields = {
            "address": service["Address"],
            "port": int(_not_a_boolean(service["Port"])),
            "zone": metadata.get("zone") or entry["Node"]["Datacenter"],
            "host_class": metadata.get("kind") or "",
            "cell": int(metadata.get("cell") or 0),
            "statuses": statuses,
            "weight": None if weight is None else float(_not_a_boolean(weight)),
            "started_at": None if started is None else float(_not_a_boolean(started)),
        }
        fields: _EntryFields = require_bounds(plain_fields, _EntryFields)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryResponseError(
            f"an entry is not as agreed: {type(error).__name__}: {error}"
        ) from None
    return fields


def _not_a_boolean(value: Any) -> Any:
    """Return the value; raises TypeError for true and false, which `int` and `float` accept."""
    if isinstance(value, bool):
        raise TypeError(f"{value!r} is not a number")
    return value


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
