"""Encodes tables, ejections and routes as xDS resources.

A resource's version is the hash of its content, so that equal content has the same version at every
manager. Each resource is serialized once for all proxies that receive it.
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

# The xDS weight for a weight of 1: xDS weights are integers, those in tables are fractions of the
# listed weight.
WEIGHT_SCALE = 1000
MILLION = 1_000_000
# Retries after the first attempt, by retry policy mode.
RETRIES_BY_MODE = (0, 1, 1, 2)


@dataclass(frozen=True)
class EncodedResource:
    """One resource, serialized; equal name and version mean equal bytes."""

    name: str
    version: str
    encoded: bytes  # a serialized discovery Resource


@dataclass(frozen=True)
class RetryPolicy:
    """How requests of a traffic class are retried.

    Attributes:
        mode: 0 never; 1 once, if the first attempt was certainly not executed; 2 once and 3 twice,
            after any failure.
        attempt_timeout: Time limit in seconds of an attempt that may be retried; 0 for no limit.
    """

    mode: int
    attempt_timeout: float = 0.0


class Route(NamedTuple):
    """The route of a traffic class: the name of its table (cluster), and its retry policy."""

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
    """Encode a healthy worker without a weight."""
    return _encode_endpoint(worker, 0, False)


def add_drop_policy(
    assignment: endpoint_pb2.ClusterLoadAssignment, category: str, admitted_fraction: float
) -> None:
    """Limit the admitted fraction of the requests of a category (a traffic class)."""
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
    """Encode a table as a `ClusterLoadAssignment`, with a locality for each zone.

    Args:
        name: The table's resource name.
        weights: Weight by worker (`host:port`), as a fraction of a listed weight.
        zones: Zone by worker.
        admitted_fractions: Admitted fraction by traffic class; 1 for a class that is missing.
        ejected: Workers to mark as draining.
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
    """Encode the workers ejected from all tables of a proxy, including those of other managers."""
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=names.EJECTIONS_RESOURCE)
    sorted_workers = sorted(workers)
    if sorted_workers:
        assignment.endpoints.add().lb_endpoints.extend(
            _encode_endpoint(worker, 0, True) for worker in sorted_workers
        )
    return _encode_resource(names.EJECTIONS_RESOURCE, names.ENDPOINTS_TYPE, assignment)


def _encode_retry_policy(policy: RetryPolicy) -> route_components_pb2.RetryPolicy:
    message = route_components_pb2.RetryPolicy()
    message.num_retries.value = RETRIES_BY_MODE[policy.mode]
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
    """Encode the routes of all traffic classes, with a virtual host for each."""
    route_configuration = route_pb2.RouteConfiguration(name=names.ROUTES_RESOURCE)
    for traffic_class, table, retry_policy in class_routes:
        host = route_configuration.virtual_hosts.add(name=traffic_class, domains=[traffic_class])
        route = host.routes.add()
        route.match.prefix = ""
        route.route.cluster = table
        route.route.retry_policy.CopyFrom(_encode_retry_policy(retry_policy))
    return _encode_resource(names.ROUTES_RESOURCE, names.ROUTES_TYPE, route_configuration)


@lru_cache(maxsize=1024)
def _encode_shared_part(
    type_url: str, resources: tuple[EncodedResource, ...], removed: tuple[str, ...]
) -> bytes:
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=type_url, removed_resources=removed)
    # Resources are already serialized, and protobuf messages can be concatenated, so field 2
    # (resources) is written directly.
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


def encode_response(  # noqa: PLR0913, PLR0917 - the fields of the message
    type_url: str,
    resources: tuple[EncodedResource, ...],
    removed: tuple[str, ...],
    nonce: str,
    tag: str,
    control_plane_id: str = "dunlinlug",
) -> bytes:
    """Encode a `DeltaDiscoveryResponse`; the part without the nonce is cached for all proxies.

    Args:
        type_url: The type of the resources.
        resources: New or changed resources.
        removed: Names of removed resources.
        nonce: Identifies the response in its ACK or NACK.
        tag: Sent as `system_version_info`.
        control_plane_id: The manager's identifier; see `fencing_term.format_identifier`.
    """
    proxy_part = discovery_pb2.DeltaDiscoveryResponse(nonce=nonce, system_version_info=tag)
    proxy_part.control_plane.identifier = control_plane_id
    encoded_proxy_part: bytes = proxy_part.SerializeToString()
    return _encode_shared_part(type_url, resources, removed) + encoded_proxy_part
