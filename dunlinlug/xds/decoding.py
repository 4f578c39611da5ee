"""xDS resources to plain records, with every check that a proxy makes before it applies one."""

from dataclasses import dataclass, field

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf.message import DecodeError

from dunlinlug.errors import DunlinlugError
from dunlinlug.xds import encoding, names


class DecodingError(DunlinlugError):
    """A resource that cannot be applied; says why, for the answer to its sender."""


@dataclass(frozen=True)
class DecodedTable:
    """Weights by worker, their zones, the share let in by product (all if absent), and who is shut
    in it.
    """

    name: str
    weights: dict[str, float]
    zones: dict[str, str] = field(default_factory=dict)
    admitted_fractions: dict[str, float] = field(default_factory=dict)
    unhealthy: frozenset[str] = frozenset()


def decode_table(value: bytes) -> DecodedTable:
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
            worker = f"{address.address}:{address.port_value}"
            if worker in weights:
                raise DecodingError(f"{assignment.cluster_name}: {worker} is named twice")
            weight = entry.load_balancing_weight.value
            if not weight and assignment.cluster_name != names.EJECTIONS_RESOURCE:
                raise DecodingError(f"{assignment.cluster_name}: {worker} has no weight above 0")
            weights[worker], zones[worker] = weight / encoding.WEIGHT_SCALE, locality.locality.zone
            if entry.health_status not in (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY):
                unhealthy.add(worker)
    admitted_fractions = {
        drop.category: 1.0
        - drop.drop_percentage.numerator
        / (100, 10_000, encoding.MILLION)[drop.drop_percentage.denominator]
        for drop in assignment.policy.drop_overloads
    }
    return DecodedTable(
        assignment.cluster_name, weights, zones, admitted_fractions, frozenset(unhealthy)
    )


def decode_routes(value: bytes) -> dict[str, tuple[str, encoding.RetryPolicy]]:
    """By product its table's name and the way of trying again."""
    route_configuration = route_pb2.RouteConfiguration()
    try:
        route_configuration.ParseFromString(value)
    except DecodeError as error:
        raise DecodingError(f"not a RouteConfiguration: {error}") from None
    routes_by_class: dict[str, tuple[str, encoding.RetryPolicy]] = {}
    for host in route_configuration.virtual_hosts:
        if len(host.routes) != 1 or not host.routes[0].route.cluster:
            raise DecodingError(f"virtual host {host.name}: not exactly one route to a table")
        policy = host.routes[0].route.retry_policy
        retries_any_failure = "5xx" in policy.retry_on.split(",")
        retry_count = policy.num_retries.value
        retry_mode = 0 if not retry_count else 1 + min(retry_count, 2) if retries_any_failure else 1
        retry_policy = encoding.RetryPolicy(
            retry_mode, policy.per_try_timeout.ToNanoseconds() / 1e9
        )
        routes_by_class[host.name] = (host.routes[0].route.cluster, retry_policy)
    return routes_by_class
