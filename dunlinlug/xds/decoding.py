"""Decodes xDS resources, with all validation that a proxy does before it applies one."""

from dataclasses import dataclass, field

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf.message import DecodeError

from dunlinlug.errors import DunlinlugError
from dunlinlug.xds import encoding, names

MAX_PORT = 65535
# By the enumeration of a FractionalPercent.
DENOMINATORS = {0: 100, 1: 10_000, 2: encoding.MILLION}
MAX_ATTEMPT_TIMEOUT = 3600.0  # seconds


class DecodingError(DunlinlugError):
    """A resource that cannot be applied; the text is the reason for the NACK."""


@dataclass(frozen=True)
class DecodedTable:
    """A table as a proxy holds it.

    Attributes:
        name: The table's resource name.
        weights: Weight by worker (`host:port`).
        zones: Zone by worker.
        admitted_fractions: Admitted fraction by traffic class; 1 for a class that is missing.
        unhealthy: Workers that are marked unusable in this table only.
    """

    name: str
    weights: dict[str, float]
    zones: dict[str, str] = field(default_factory=dict)
    admitted_fractions: dict[str, float] = field(default_factory=dict)
    unhealthy: frozenset[str] = frozenset()


def decode_table(value: bytes) -> DecodedTable:
    """Decode a table, or the ejections resource.

    Raises:
        DecodingError: `value` is not a `ClusterLoadAssignment`, has a worker twice or without
            weight, or a value out of bounds.
    """
    assignment = endpoint_pb2.ClusterLoadAssignment()
    try:
        assignment.ParseFromString(value)
    except DecodeError as error:
        raise DecodingError(f"not a ClusterLoadAssignment: {error}") from None
    weights: dict[str, float] = {}
    zones: dict[str, str] = {}
    unhealthy = set()
    for locality in assignment.endpoints:
        for entry in locality.lb_endpoints:
            address = entry.endpoint.address.socket_address
            if not 0 < address.port_value <= MAX_PORT:
                raise DecodingError(f"{assignment.cluster_name}: port {address.port_value}")
            worker = f"{address.address}:{address.port_value}"
            if worker in weights:
                raise DecodingError(f"{assignment.cluster_name}: {worker} is named twice")
            weight = entry.load_balancing_weight.value
            if not weight and assignment.cluster_name != names.EJECTIONS_RESOURCE:
                raise DecodingError(f"{assignment.cluster_name}: {worker} has no weight above 0")
            weights[worker] = weight / encoding.WEIGHT_SCALE
            zones[worker] = locality.locality.zone
            if entry.health_status not in (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY):
                unhealthy.add(worker)
    admitted_fractions = {
        drop.category: 1.0 - _decode_fraction(drop.drop_percentage)
        for drop in assignment.policy.drop_overloads
    }
    return DecodedTable(
        assignment.cluster_name, weights, zones, admitted_fractions, frozenset(unhealthy)
    )


def _decode_fraction(percentage: percent_pb2.FractionalPercent) -> float:
    """Return a fraction from 0 to 1. Raises DecodingError."""
    denominator = DENOMINATORS.get(percentage.denominator)
    if denominator is None or percentage.numerator > denominator:
        raise DecodingError(f"a fraction of {percentage.numerator} in {denominator}")
    fraction: float = percentage.numerator / denominator
    return fraction


def decode_routes(value: bytes) -> dict[str, tuple[str, encoding.RetryPolicy]]:
    """Decode the routes: table name and retry policy by traffic class.

    Raises:
        DecodingError: `value` is not a `RouteConfiguration`, a virtual host does not have exactly
            one route, or a timeout is out of bounds.
    """
    route_configuration = route_pb2.RouteConfiguration()
    try:
        route_configuration.ParseFromString(value)
    except DecodeError as error:
        raise DecodingError(f"not a RouteConfiguration: {error}") from None
    routes_by_class: dict[str, tuple[str, encoding.RetryPolicy]] = {}
    for host in route_configuration.virtual_hosts:
        if len(host.routes) != 1 or not host.routes[0].route.cluster:
            raise DecodingError(f"virtual host {host.name}: not exactly one route to a table")
        route = host.routes[0].route
        routes_by_class[host.name] = (route.cluster, _decode_retry_policy(route.retry_policy))
    return routes_by_class


def _decode_retry_policy(policy: route_components_pb2.RetryPolicy) -> encoding.RetryPolicy:
    attempt_timeout = policy.per_try_timeout.ToNanoseconds() / 1e9
    if not 0.0 <= attempt_timeout <= MAX_ATTEMPT_TIMEOUT:
        raise DecodingError(f"a timeout of {attempt_timeout:g} s for one attempt")
    return encoding.RetryPolicy(_decode_retry_mode(policy), attempt_timeout)


def _decode_retry_mode(policy: route_components_pb2.RetryPolicy) -> int:
    """Return the mode as defined in `encoding.RetryPolicy`."""
    retry_count: int = policy.num_retries.value
    if not retry_count:
        return 0
    if "5xx" not in policy.retry_on.split(","):
        return 1
    return 1 + min(retry_count, 2)
