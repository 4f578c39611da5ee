"""The state-of-the-world form: a stream's state, and the four types of resources that a gRPC client resolves by.

A client asks for a product's listener and is led to its routes, its cluster and that cluster's endpoints. A product's
table is a cluster of its own name, each worker a locality of its own: so a plain client spreads by our weights, and its
locality sums are sums by worker. What is withdrawn is left out, as such clients know no overlay. Ways of trying again
are left out too: such a client keeps no mark, so that a try that we allow could repeat what a former one did.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import DecodeError, Message
from xxhash import xxh3_64_hexdigest

from dunlinlug.xds import names, render
from dunlinlug.xds.stream import NAMES, Acked, Greeted, Refused, Said, StreamFault

ORDER = (names.CLUSTERS, names.ENDPOINTS, names.LISTENERS, names.ROUTES)  # make before break

Offered = tuple[
    str, bytes, str
]  # version, the serialized message, and the cluster that a route leads to
Offer = dict[str, dict[str, Offered]]  # by type and name


def _versioned(message: Message, cluster: str = "") -> Offered:
    body: bytes = message.SerializeToString(deterministic=True)
    return xxh3_64_hexdigest(body), body, cluster


@lru_cache(maxsize=1024)
def listener(product: str) -> Offered:
    """Where a product's resolution begins."""
    manager = http_connection_manager_pb2.HttpConnectionManager()
    manager.rds.route_config_name = product
    manager.rds.config_source.ads.SetInParent()
    router = manager.http_filters.add(name="router")
    router.typed_config.Pack(router_pb2.Router())
    made = listener_pb2.Listener(name=product)
    made.api_listener.api_listener.Pack(manager)
    return _versioned(made)


@lru_cache(maxsize=4096)
def routes(product: str, cluster: str) -> Offered:
    made = route_pb2.RouteConfiguration(name=product)
    host = made.virtual_hosts.add(name=product, domains=[product])
    route = host.routes.add()
    route.match.prefix = ""
    route.route.cluster = cluster
    return _versioned(made, cluster)


@lru_cache(maxsize=4096)
def cluster(name: str) -> Offered:
    made = cluster_pb2.Cluster(
        name=name, type=cluster_pb2.Cluster.EDS, lb_policy=cluster_pb2.Cluster.ROUND_ROBIN
    )
    made.eds_cluster_config.eds_config.ads.SetInParent()
    made.eds_cluster_config.service_name = name
    made.lrs_server.self.SetInParent()
    return _versioned(made)


def endpoints(
    name: str,
    lines: Mapping[str, float],
    zones: Mapping[str, str],
    level: float,
    out: Iterable[str],
) -> Offered:
    """A locality for each worker that may be used, with its weight."""
    made, shut = endpoint_pb2.ClusterLoadAssignment(cluster_name=name), set(out)
    for worker, weight in lines.items():
        if worker not in shut:
            group = made.endpoints.add()
            group.locality.zone, group.locality.sub_zone = zones.get(worker, ""), worker
            group.load_balancing_weight.value = max(1, round(weight * render.WEIGHT))
            group.lb_endpoints.append(render.endpoint(worker))
    if level < 1.0:
        render.drop(made, "level", level)
    return _versioned(made)


class FullStream:
    """The server's state of one stream of this form, for any of the four types or all of them.

    `offer` what should be held; `responses` gives what differs from what was sent of what is asked for.
    """

    full = True

    def __init__(self) -> None:
        self.node = self.zone = ""
        self.metadata: dict[str, object] = {}
        self.features: frozenset[str] = frozenset()
        self.held: dict[str, dict[str, str]] = {names.ENDPOINTS: {}}
        self.control = "dunlinlug"
        self.wanted: dict[str, set[str]] = {}
        self.offered: Offer = {}
        self.sent: dict[
            str, dict[str, str]
        ] = {}  # by type: the versions by name that went out last
        self.nonces: dict[str, str] = {}  # by type: the newest, until it is answered
        self.refused: dict[
            str, dict[str, str]
        ] = {}  # by type: what a client would not take, by name
        self.last = 0

    def ready(self) -> bool:
        return bool(self.wanted.get(names.LISTENERS))

    def receive(self, data: bytes, only: str = "") -> list[Said]:
        """Raises StreamFault for what is not a request of this protocol (or of another type than `only`)."""
        request = discovery_pb2.DiscoveryRequest()
        try:
            request.ParseFromString(data)
        except DecodeError as error:
            raise StreamFault(f"not a DiscoveryRequest: {error}") from None
        said: list[Said] = []
        if not self.node:
            if not request.node.id:
                raise StreamFault("the first request must name its node")
            self.node, self.zone = request.node.id, request.node.locality.zone
            self.metadata = MessageToDict(request.node.metadata)
            said.append(Greeted(self.node))
        if request.type_url not in ORDER or only and request.type_url != only:
            raise StreamFault(
                f"type {request.type_url!r} is not served; served are {only or ', '.join(ORDER)}"
            )
        if len(request.resource_names) > NAMES:  # Danger: a peer could fill our memory
            raise StreamFault(f"more than {NAMES} resource names")
        newest = self.nonces.get(request.type_url, "")
        if request.response_nonce and request.response_nonce != newest and newest:
            return (
                said  # an answer to what is no longer the newest: the protocol has it passed over
            )
        self.wanted[request.type_url] = set(request.resource_names)
        if request.response_nonce and request.response_nonce == newest:
            said.append(self._answered(request, newest))
        return said

    def _answered(self, request: discovery_pb2.DiscoveryRequest, nonce: str) -> Said:
        self.nonces[request.type_url] = ""
        if not request.HasField("error_detail"):
            self.refused.pop(request.type_url, None)
            return Acked(nonce)
        self.refused[request.type_url] = self.sent.get(request.type_url, {})
        return Refused(nonce, request.error_detail.message)

    def forget(self, type_url: str) -> None:
        """The stream of this type has ended: what it asked for and was sent counts no more."""
        for kept in (self.wanted, self.sent, self.nonces, self.refused):
            kept.pop(type_url, None)

    def responses(self) -> list[tuple[str, str, tuple[str, ...], bytes]]:
        """Type, nonce, names and bytes of each response that is due, in the order to send them."""
        made = []
        for type_url in ORDER:
            offered = self.offered.get(type_url, {})
            wanted = {
                name: offered[name]
                for name in sorted(self.wanted.get(type_url, ()))
                if name in offered
            }
            versions = {name: version for name, (version, _, _) in wanted.items()}
            before = self.sent.get(type_url, {})
            kept = {
                name: version
                for name, version in before.items()
                if name in self.wanted.get(type_url, ())
            }
            if versions == kept and (versions or not before):
                self.sent[type_url] = versions  # what is only asked for no more needs no word
                continue
            self.last += 1
            self.sent[type_url], self.nonces[type_url] = versions, str(self.last)
            response = discovery_pb2.DiscoveryResponse(type_url=type_url, nonce=str(self.last))
            response.version_info = xxh3_64_hexdigest(repr(sorted(versions.items())).encode())
            response.control_plane.identifier = self.control
            response.resources.extend(
                any_pb2.Any(type_url=type_url, value=body) for _, body, _ in wanted.values()
            )
            made.append((type_url, str(self.last), tuple(versions), response.SerializeToString()))
        return made

    def settled(self) -> bool:
        """Whether the client has taken all that is offered of what it asks for, to the endpoints of each route."""
        needed = self._routed()
        return (
            bool(self.wanted.get(names.LISTENERS))
            and not any(self.nonces.values())
            and not self.refused
            and needed <= self.wanted.get(names.ENDPOINTS, set())
            and self.sent_all()
        )

    def sent_all(self) -> bool:
        return all(
            self.sent.get(type_url, {}).get(name) == self.offered[type_url][name][0]
            for type_url in self.offered
            for name in self.wanted.get(type_url, ())
            if name in self.offered[type_url]
        )

    def _routed(self) -> set[str]:
        """The clusters that the products which it asks for are routed to."""
        products = self.wanted.get(names.LISTENERS, set())
        return {
            cluster
            for product, (_, _, cluster) in self.offered.get(names.ROUTES, {}).items()
            if product in products
        }
