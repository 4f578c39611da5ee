"""The state-of-the-world form: a stream's state, and the four types of resources that a gRPC client
resolves by.

A client asks for a product's listener and is led to its routes, its cluster and that cluster's
endpoints. A product's table is a cluster of its own name, each worker a locality of its own: so a
plain client spreads by our weights, and its locality sums are sums by worker. What is withdrawn is
left out, as such clients know no overlay. Ways of trying again are left out too: such a client
keeps no mark, so that a try that we allow could repeat what a former one did.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

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

from dunlinlug.xds import encoding, names
from dunlinlug.xds.stream import (
    MAX_RESOURCE_NAMES,
    NodeIdentified,
    ResponseAcknowledged,
    ResponseRejected,
    StreamEvent,
    StreamProtocolError,
)

TYPE_ORDER = (
    names.CLUSTERS_TYPE,
    names.ENDPOINTS_TYPE,
    names.LISTENERS_TYPE,
    names.ROUTES_TYPE,
)  # make before break


class VersionedResource(NamedTuple):
    """One resource: its version, its serialized message, and, of routes, the cluster they name."""

    version: str
    body: bytes
    cluster: str


class PendingResponse(NamedTuple):
    """One response to be sent: its type, nonce, resource names, and serialized message."""

    type_url: str
    nonce: str
    names: tuple[str, ...]
    data: bytes


ResourcesByType = dict[str, dict[str, VersionedResource]]  # by type and name


def _encode_versioned(message: Message, cluster: str = "") -> VersionedResource:
    body: bytes = message.SerializeToString(deterministic=True)
    return VersionedResource(xxh3_64_hexdigest(body), body, cluster)


@lru_cache(maxsize=1024)
def encode_listener(traffic_class: str) -> VersionedResource:
    """Where a product's resolution begins."""
    manager = http_connection_manager_pb2.HttpConnectionManager()
    manager.rds.route_config_name = traffic_class
    manager.rds.config_source.ads.SetInParent()
    router = manager.http_filters.add(name="router")
    router.typed_config.Pack(router_pb2.Router())
    resource = listener_pb2.Listener(name=traffic_class)
    resource.api_listener.api_listener.Pack(manager)
    return _encode_versioned(resource)


@lru_cache(maxsize=4096)
def encode_routes(traffic_class: str, cluster: str) -> VersionedResource:
    route_configuration = route_pb2.RouteConfiguration(name=traffic_class)
    host = route_configuration.virtual_hosts.add(name=traffic_class, domains=[traffic_class])
    route = host.routes.add()
    route.match.prefix = ""
    route.route.cluster = cluster
    return _encode_versioned(route_configuration, cluster)


@lru_cache(maxsize=4096)
def encode_cluster(name: str) -> VersionedResource:
    resource = cluster_pb2.Cluster(
        name=name, type=cluster_pb2.Cluster.EDS, lb_policy=cluster_pb2.Cluster.ROUND_ROBIN
    )
    resource.eds_cluster_config.eds_config.ads.SetInParent()
    resource.eds_cluster_config.service_name = name
    resource.lrs_server.self.SetInParent()
    return _encode_versioned(resource)


def encode_endpoints(
    name: str,
    weights: Mapping[str, float],
    zones: Mapping[str, str],
    admitted_fraction: float,
    ejected: Iterable[str],
) -> VersionedResource:
    """A locality for each worker that may be used, with its weight."""
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    ejected_workers = set(ejected)
    for worker, weight in weights.items():
        if worker not in ejected_workers:
            locality = assignment.endpoints.add()
            locality.locality.zone = zones.get(worker, "")
            locality.locality.sub_zone = worker
            locality.load_balancing_weight.value = max(1, round(weight * encoding.WEIGHT_SCALE))
            locality.lb_endpoints.append(encoding.encode_endpoint(worker))
    if admitted_fraction < 1.0:
        encoding.add_drop_policy(assignment, "level", admitted_fraction)
    return _encode_versioned(assignment)


class StateOfTheWorldStream:
    """The server's state of one stream of this form, for any of the four types or all of them.

    `offer` what should be held; `responses` gives what differs from what was sent of what is asked
    for.
    """

    is_state_of_the_world = True

    def __init__(self) -> None:
        self.node_id = self.zone = ""
        self.metadata: dict[str, object] = {}
        self.features: frozenset[str] = frozenset()
        self.acked_versions: dict[str, dict[str, str]] = {names.ENDPOINTS_TYPE: {}}
        self.control_plane_id = "dunlinlug"
        self.subscribed: dict[str, set[str]] = {}
        self.resources: ResourcesByType = {}
        self.sent_versions: dict[
            str, dict[str, str]
        ] = {}  # by type: the versions by name that went out last
        self.pending_nonces: dict[str, str] = {}  # by type: the newest, until it is answered
        self.rejected_versions: dict[
            str, dict[str, str]
        ] = {}  # by type: what a client would not take, by name
        self.last_nonce = 0

    def is_ready(self) -> bool:
        return bool(self.subscribed.get(names.LISTENERS_TYPE))

    def receive(self, data: bytes, only_type: str = "") -> list[StreamEvent]:
        """Raises StreamFault for what is not a request of this protocol (or of another type than
        `only`).
        """
        request = discovery_pb2.DiscoveryRequest()
        try:
            request.ParseFromString(data)
        except DecodeError as error:
            raise StreamProtocolError(f"not a DiscoveryRequest: {error}") from None
        events: list[StreamEvent] = []
        if not self.node_id:
            if not request.node.id:
                raise StreamProtocolError("the first request must name its node")
            self.node_id = request.node.id
            self.zone = request.node.locality.zone
            self.metadata = MessageToDict(request.node.metadata)
            events.append(NodeIdentified(self.node_id))
        if request.type_url not in TYPE_ORDER or only_type and request.type_url != only_type:
            raise StreamProtocolError(
                f"type {request.type_url!r} is not served; served are {only_type or ', '.join(TYPE_ORDER)}"
            )
        if len(request.resource_names) > MAX_RESOURCE_NAMES:  # Danger: a peer could fill our memory
            raise StreamProtocolError(f"more than {MAX_RESOURCE_NAMES} resource names")
        pending_nonce = self.pending_nonces.get(request.type_url, "")
        if request.response_nonce and request.response_nonce != pending_nonce and pending_nonce:
            return (
                events  # an answer to what is no longer the newest: the protocol has it passed over
            )
        self.subscribed[request.type_url] = set(request.resource_names)
        if request.response_nonce and request.response_nonce == pending_nonce:
            events.append(self._handle_acknowledgement(request, pending_nonce))
        return events

    def _handle_acknowledgement(
        self, request: discovery_pb2.DiscoveryRequest, nonce: str
    ) -> StreamEvent:
        self.pending_nonces[request.type_url] = ""
        if not request.HasField("error_detail"):
            self.rejected_versions.pop(request.type_url, None)
            return ResponseAcknowledged(nonce)
        self.rejected_versions[request.type_url] = self.sent_versions.get(request.type_url, {})
        return ResponseRejected(nonce, request.error_detail.message)

    def close_type(self, type_url: str) -> None:
        """The stream of this type has ended: what it asked for and was sent counts no more."""
        for state_by_type in (
            self.subscribed,
            self.sent_versions,
            self.pending_nonces,
            self.rejected_versions,
        ):
            state_by_type.pop(type_url, None)

    def pending_responses(self) -> list[PendingResponse]:
        """Type, nonce, names and bytes of each response that is due, in the order to send them."""
        responses = []
        for type_url in TYPE_ORDER:
            available = self.resources.get(type_url, {})
            selected = {
                name: available[name]
                for name in sorted(self.subscribed.get(type_url, ()))
                if name in available
            }
            versions = {name: version for name, (version, _, _) in selected.items()}
            previous_versions = self.sent_versions.get(type_url, {})
            still_subscribed = {
                name: version
                for name, version in previous_versions.items()
                if name in self.subscribed.get(type_url, ())
            }
            if versions == still_subscribed and (versions or not previous_versions):
                self.sent_versions[type_url] = (
                    versions  # what is only asked for no more needs no word
                )
                continue
            self.last_nonce += 1
            self.sent_versions[type_url], self.pending_nonces[type_url] = (
                versions,
                str(self.last_nonce),
            )
            response = discovery_pb2.DiscoveryResponse(
                type_url=type_url, nonce=str(self.last_nonce)
            )
            response.version_info = xxh3_64_hexdigest(repr(sorted(versions.items())).encode())
            response.control_plane.identifier = self.control_plane_id
            response.resources.extend(
                any_pb2.Any(type_url=type_url, value=body) for _, body, _ in selected.values()
            )
            responses.append(
                PendingResponse(
                    type_url, str(self.last_nonce), tuple(versions), response.SerializeToString()
                )
            )
        return responses

    def is_converged(self) -> bool:
        """Whether the client has taken all that is offered of what it asks for, to the endpoints of
        each route.
        """
        required_clusters = self._routed_clusters()
        return (
            bool(self.subscribed.get(names.LISTENERS_TYPE))
            and not any(self.pending_nonces.values())
            and not self.rejected_versions
            and required_clusters <= self.subscribed.get(names.ENDPOINTS_TYPE, set())
            and self.has_sent_all()
        )

    def has_sent_all(self) -> bool:
        return all(
            self.sent_versions.get(type_url, {}).get(name) == self.resources[type_url][name][0]
            for type_url in self.resources
            for name in self.subscribed.get(type_url, ())
            if name in self.resources[type_url]
        )

    def _routed_clusters(self) -> set[str]:
        """The clusters that the products which it asks for are routed to."""
        traffic_classes = self.subscribed.get(names.LISTENERS_TYPE, set())
        return {
            cluster_name
            for traffic_class, (_, _, cluster_name) in self.resources.get(
                names.ROUTES_TYPE, {}
            ).items()
            if traffic_class in traffic_classes
        }
