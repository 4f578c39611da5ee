"""Tables, withdrawals and routes to xDS resources, as shared bytes.

A resource's version is the hash of its content, so that equal content has one version at every manager. Bytes are
made once and shared by all proxies that get them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache

import xxhash
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.retry.host.previous_hosts.v3 import previous_hosts_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.type.v3 import percent_pb2

from dunlinlug.xds import names

WEIGHT = (
    1000  # steps of a weight of 1: xDS weights are whole numbers, ours are parts of listed weights
)
MILLION = 1_000_000


@dataclass(frozen=True)
class Resource:
    """One resource, serialized; equal name and version mean equal bytes."""

    name: str
    version: str
    wrapped: bytes  # a serialized discovery Resource


@dataclass(frozen=True)
class Way:
    """How txns of a product are tried again: 0 never, 1 on proof that the first never ran, 2 once and 3 twice
    after any failure; `per_try` is the seconds that a try may take where it may be followed, or 0."""

    retry: int
    per_try: float = 0.0


def _wrap(name: str, type_url: str, message: base_pb2.Node) -> Resource:
    body = message.SerializeToString(deterministic=True)
    version = xxhash.xxh3_64_hexdigest(body)
    whole = discovery_pb2.Resource(name=name, version=version)
    whole.resource.type_url, whole.resource.value = type_url, body
    return Resource(name, version, whole.SerializeToString(deterministic=True))


@lru_cache(maxsize=4096)
def _endpoint(worker: str, weight: int, out: bool) -> endpoint_components_pb2.LbEndpoint:
    host, _, port = worker.rpartition(":")
    made = endpoint_components_pb2.LbEndpoint()
    made.endpoint.address.socket_address.address = host
    made.endpoint.address.socket_address.port_value = int(port)
    made.health_status = health_check_pb2.DRAINING if out else health_check_pb2.HEALTHY
    if weight:
        made.load_balancing_weight.value = weight
    return made


def endpoint(worker: str) -> endpoint_components_pb2.LbEndpoint:
    """A worker that may be used."""
    return _endpoint(worker, 0, False)


def drop(made: endpoint_pb2.ClusterLoadAssignment, category: str, level: float) -> None:
    """Let in no more than this share."""
    overload = made.policy.drop_overloads.add(category=category)
    overload.drop_percentage.numerator = round((1.0 - level) * MILLION)
    overload.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION


def table(
    name: str,
    lines: Mapping[str, float],
    zones: Mapping[str, str],
    levels: Mapping[str, float],
    out: Iterable[str] = (),
) -> Resource:
    """A table: weights by worker, grouped by the workers' zones; `levels` has the share let in by product."""
    shut, made = set(out), endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    by_zone: dict[str, list[str]] = {}
    for worker in lines:
        by_zone.setdefault(zones.get(worker, ""), []).append(worker)
    for zone, workers in sorted(by_zone.items()):
        group = made.endpoints.add()
        group.locality.zone = zone
        weights = [max(1, round(lines[worker] * WEIGHT)) for worker in workers]
        group.load_balancing_weight.value = sum(weights)
        group.lb_endpoints.extend(
            _endpoint(worker, weight, worker in shut)
            for worker, weight in zip(workers, weights, strict=True)
        )
    for product, level in levels.items():
        if level < 1.0:
            drop(made, product, level)
    return _wrap(name, names.ENDPOINTS, made)


def withdrawn(workers: Iterable[str]) -> Resource:
    """Who is out of every table, whoever wrote it."""
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=names.OUT)
    ordered = sorted(workers)
    if ordered:
        made.endpoints.add().lb_endpoints.extend(_endpoint(worker, 0, True) for worker in ordered)
    return _wrap(names.OUT, names.ENDPOINTS, made)


def _retry(way: Way) -> route_components_pb2.RetryPolicy:
    made = route_components_pb2.RetryPolicy()
    made.num_retries.value = (0, 1, 1, 2)[way.retry]
    if way.retry == 1:
        made.retry_on = "connect-failure,refused-stream,retriable-headers"
        made.retriable_headers.add(name=names.NEVER_RAN, present_match=True)
    elif way.retry > 1:
        made.retry_on = "connect-failure,refused-stream,5xx,reset"
        if way.per_try:
            made.per_try_timeout.FromNanoseconds(round(way.per_try * 1e9))
    if way.retry:
        other = made.retry_host_predicate.add(name=names.OTHER_HOST)
        other.typed_config.Pack(previous_hosts_pb2.PreviousHostsPredicate())
    return made


@lru_cache(maxsize=4096)
def routes(bound: tuple[tuple[str, str, Way], ...]) -> Resource:
    """Which table each product goes by, and how it is tried again; a virtual host for each product."""
    made = route_pb2.RouteConfiguration(name=names.ROUTE)
    for product, name, way in bound:
        host = made.virtual_hosts.add(name=product, domains=[product])
        route = host.routes.add()
        route.match.prefix = ""
        route.route.cluster = name
        route.route.retry_policy.CopyFrom(_retry(way))
    return _wrap(names.ROUTE, names.ROUTES, made)


@lru_cache(maxsize=1024)
def _shared(type_url: str, resources: tuple[Resource, ...], removed: tuple[str, ...]) -> bytes:
    made = discovery_pb2.DeltaDiscoveryResponse(type_url=type_url, removed_resources=removed)
    # Field 2 by hand: each resource is serialized already, and a message may be joined from parts.
    parts = [b"\x12" + _varint(len(resource.wrapped)) + resource.wrapped for resource in resources]
    whole: bytes = made.SerializeToString() + b"".join(parts)
    return whole


def _varint(number: int) -> bytes:
    out = bytearray()
    while number > 127:
        out.append(number & 127 | 128)
        number >>= 7
    out.append(number)
    return bytes(out)


def response(
    type_url: str,
    resources: tuple[Resource, ...],
    removed: tuple[str, ...],
    nonce: str,
    tag: str,
    control: str = "dunlinlug",
) -> bytes:
    """A serialized DeltaDiscoveryResponse; all but nonce and tag is made once for all proxies."""
    own = discovery_pb2.DeltaDiscoveryResponse(nonce=nonce, system_version_info=tag)
    own.control_plane.identifier = control
    tail: bytes = own.SerializeToString()
    return _shared(type_url, resources, removed) + tail
