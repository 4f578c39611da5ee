"""Tables, withdrawals and routes to xDS resources, as shared bytes.

A resource's version is the hash of its content, so that equal content has one version at every
manager. Bytes are made once and shared by all proxies that get them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

import xxhash
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.retry.host.previous_hosts.v3 import previous_hosts_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.type.v3 import percent_pb2

from dunlinlug.xds import names

# steps of a weight of 1: xDS weights are whole numbers, ours are parts of listed weights
WEIGHT_SCALE = 1000
MILLION = 1_000_000


@dataclass(frozen=True)
class EncodedResource:
    """One resource, serialized; equal name and version mean equal bytes."""

    name: str
    version: str
    encoded: bytes  # a serialized discovery Resource


@dataclass(frozen=True)
class RetryPolicy:
    """How txns of a product are tried again: 0 never, 1 on proof that the first never ran, 2 once
    and 3 twice after any failure; `per_try` is the seconds that a try may take where it may be
    followed, or 0.
    """

    mode: int
    attempt_timeout: float = 0.0


class Route(NamedTuple):
    """Where a traffic class's requests go: the name of a table (cluster), and how to retry them."""

    traffic_class: str
    table: str
    retry_policy: RetryPolicy


def _encode_resource(name: str, type_url: str, message: base_pb2.Node) -> EncodedResource:
    body = message.SerializeToString(deterministic=True)
    version = xxhash.xxh3_64_hexdigest(body)
    resource = discovery_pb2.Resource(name=name, version=version)
    resource.resource.type_url = type_url
    resource.resource.value = body
    return EncodedResource(name, version, resource.SerializeToString(deterministic=True))


@lru_cache(maxsize=4096)
def _encode_endpoint(worker: str, weight: int, ejected: bool) -> endpoint_components_pb2.LbEndpoint:
    host, _, port = worker.rpartition(":")
    lb_endpoint = endpoint_components_pb2.LbEndpoint()
    lb_endpoint.endpoint.address.socket_address.address = host
    lb_endpoint.endpoint.address.socket_address.port_value = int(port)
    lb_endpoint.health_status = health_check_pb2.DRAINING if ejected else health_check_pb2.HEALTHY
    if weight:
        lb_endpoint.load_balancing_weight.value = weight
    return lb_endpoint


def encode_endpoint(worker: str) -> endpoint_components_pb2.LbEndpoint:
    """A worker that may be used."""
    return _encode_endpoint(worker, 0, False)


def add_drop_policy(
    assignment: endpoint_pb2.ClusterLoadAssignment, category: str, admitted_fraction: float
) -> None:
    """Let in no more than this share."""
    overload = assignment.policy.drop_overloads.add(category=category)
    overload.drop_percentage.numerator = round((1.0 - admitted_fraction) * MILLION)
    overload.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION


def encode_table(
    name: str,
    weights: Mapping[str, float],
    zones: Mapping[str, str],
    admitted_fractions: Mapping[str, float],
    ejected: Iterable[str] = (),
) -> EncodedResource:
    """A table: weights by worker, grouped by the workers' zones; `levels` has the share let in by
    product.
    """
    ejected_workers = set(ejected)
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    by_zone: dict[str, list[str]] = {}
    for worker in weights:
        by_zone.setdefault(zones.get(worker, ""), []).append(worker)
    for zone, workers in sorted(by_zone.items()):
        locality = assignment.endpoints.add()
        locality.locality.zone = zone
        scaled_weights = [max(1, round(weights[worker] * WEIGHT_SCALE)) for worker in workers]
        locality.load_balancing_weight.value = sum(scaled_weights)
        locality.lb_endpoints.extend(
            _encode_endpoint(worker, weight, worker in ejected_workers)
            for worker, weight in zip(workers, scaled_weights, strict=True)
        )
    for traffic_class, admitted_fraction in admitted_fractions.items():
        if admitted_fraction < 1.0:
            add_drop_policy(assignment, traffic_class, admitted_fraction)
    return _encode_resource(name, names.ENDPOINTS_TYPE, assignment)


def encode_ejections(workers: Iterable[str]) -> EncodedResource:
    """Who is out of every table, whoever wrote it."""
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=names.EJECTIONS_RESOURCE)
    sorted_workers = sorted(workers)
    if sorted_workers:
        assignment.endpoints.add().lb_endpoints.extend(
            _encode_endpoint(worker, 0, True) for worker in sorted_workers
        )
    return _encode_resource(names.EJECTIONS_RESOURCE, names.ENDPOINTS_TYPE, assignment)


def _encode_retry_policy(policy: RetryPolicy) -> route_components_pb2.RetryPolicy:
    message = route_components_pb2.RetryPolicy()
    message.num_retries.value = (0, 1, 1, 2)[policy.mode]
    if policy.mode == 1:
        message.retry_on = "connect-failure,refused-stream,retriable-headers"
        message.retriable_headers.add(name=names.NOT_EXECUTED_HEADER, present_match=True)
    elif policy.mode > 1:
        message.retry_on = "connect-failure,refused-stream,5xx,reset"
        if policy.attempt_timeout:
            message.per_try_timeout.FromNanoseconds(round(policy.attempt_timeout * 1e9))
    if policy.mode:
        predicate = message.retry_host_predicate.add(name=names.PREVIOUS_HOSTS_PREDICATE)
        predicate.typed_config.Pack(previous_hosts_pb2.PreviousHostsPredicate())
    return message


@lru_cache(maxsize=4096)
def encode_routes(class_routes: tuple[Route, ...]) -> EncodedResource:
    """Which table each product goes by, and how it is tried again; a virtual host for each product."""
    route_configuration = route_pb2.RouteConfiguration(name=names.ROUTES_RESOURCE)
    for traffic_class, name, retry_policy in class_routes:
        host = route_configuration.virtual_hosts.add(name=traffic_class, domains=[traffic_class])
        route = host.routes.add()
        route.match.prefix = ""
        route.route.cluster = name
        route.route.retry_policy.CopyFrom(_encode_retry_policy(retry_policy))
    return _encode_resource(names.ROUTES_RESOURCE, names.ROUTES_TYPE, route_configuration)


@lru_cache(maxsize=1024)
def _encode_shared_part(
    type_url: str, resources: tuple[EncodedResource, ...], removed: tuple[str, ...]
) -> bytes:
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=type_url, removed_resources=removed)
    # Field 2 by hand: each resource is serialized already, and a message may be joined from parts.
    encoded_resources = [
        b"\x12" + _encode_varint(len(resource.encoded)) + resource.encoded for resource in resources
    ]
    encoded: bytes = response.SerializeToString() + b"".join(encoded_resources)
    return encoded


def _encode_varint(number: int) -> bytes:
    encoded = bytearray()
    while number > 127:
        encoded.append(number & 127 | 128)
        number >>= 7
    encoded.append(number)
    return bytes(encoded)


def encode_response(
    type_url: str,
    resources: tuple[EncodedResource, ...],
    removed: tuple[str, ...],
    nonce: str,
    tag: str,
    control_plane_id: str = "dunlinlug",
) -> bytes:
    """A serialized DeltaDiscoveryResponse; all but nonce and tag is made once for all proxies."""
    proxy_part = discovery_pb2.DeltaDiscoveryResponse(nonce=nonce, system_version_info=tag)
    proxy_part.control_plane.identifier = control_plane_id
    encoded_proxy_part: bytes = proxy_part.SerializeToString()
    return _encode_shared_part(type_url, resources, removed) + encoded_proxy_part
