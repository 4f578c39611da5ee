"""xDS resources to plain records, with every check that a proxy makes before it applies one."""

from dataclasses import dataclass, field

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf.message import DecodeError

from dunlinlug.xds import names, render


class ReadFault(Exception):
    """A resource that cannot be applied; says why, for the answer to its sender."""


@dataclass(frozen=True)
class Table:
    """Weights by worker, their zones, the share let in by product (all if absent), and who is shut in it."""

    name: str
    lines: dict[str, float]
    zones: dict[str, str] = field(default_factory=dict)
    levels: dict[str, float] = field(default_factory=dict)
    shut: frozenset[str] = frozenset()


def table(value: bytes) -> Table:
    made = endpoint_pb2.ClusterLoadAssignment()
    try:
        made.ParseFromString(value)
    except DecodeError as error:
        raise ReadFault(f"not a ClusterLoadAssignment: {error}") from None
    lines: dict[str, float] = {}
    zones: dict[str, str] = {}
    shut = set()
    for group in made.endpoints:
        for entry in group.lb_endpoints:
            address = entry.endpoint.address.socket_address
            worker = f"{address.address}:{address.port_value}"
            if worker in lines:
                raise ReadFault(f"{made.cluster_name}: {worker} is named twice")
            weight = entry.load_balancing_weight.value
            if not weight and made.cluster_name != names.OUT:
                raise ReadFault(f"{made.cluster_name}: {worker} has no weight above 0")
            lines[worker], zones[worker] = weight / render.WEIGHT, group.locality.zone
            if entry.health_status not in (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY):
                shut.add(worker)
    levels = {
        drop.category: 1.0
        - drop.drop_percentage.numerator
        / (100, 10_000, render.MILLION)[drop.drop_percentage.denominator]
        for drop in made.policy.drop_overloads
    }
    return Table(made.cluster_name, lines, zones, levels, frozenset(shut))


def routes(value: bytes) -> dict[str, tuple[str, render.Way]]:
    """By product its table's name and the way of trying again."""
    made = route_pb2.RouteConfiguration()
    try:
        made.ParseFromString(value)
    except DecodeError as error:
        raise ReadFault(f"not a RouteConfiguration: {error}") from None
    found: dict[str, tuple[str, render.Way]] = {}
    for host in made.virtual_hosts:
        if len(host.routes) != 1 or not host.routes[0].route.cluster:
            raise ReadFault(f"virtual host {host.name}: not exactly one route to a table")
        policy = host.routes[0].route.retry_policy
        after_any, tries = "5xx" in policy.retry_on.split(","), policy.num_retries.value
        retry = 0 if not tries else 1 + min(tries, 2) if after_any else 1
        way = render.Way(retry, policy.per_try_timeout.ToNanoseconds() / 1e9)
        found[host.name] = (host.routes[0].route.cluster, way)
    return found
