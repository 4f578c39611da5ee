"""The state-of-the-world form of xDS: four types of resources, and the state of a stream.

A gRPC client subscribes to a traffic class's listener, which refers to its routes, these to its
cluster, and that to its endpoints. The table of a class is a separate cluster, and each worker a
separate locality: a plain client thus distributes requests by the table's weights, and its load
reports, which are by locality, are by worker.

Ejected workers are omitted, as such a client does not support the ejections resource. Retry
policies are omitted too: such a client sends no idempotency key, so a retry could repeat a side
effect.
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
from google.protobuf.message import DecodeError, Message
from xxhash import xxh3_64_hexdigest

from dunlinlug.xds import encoding, names
from dunlinlug.xds.stream import (
    MAX_NAME_LENGTH,
    MAX_QUOTED_LENGTH,
    MAX_RESOURCE_NAMES,
    NodeIdentified,
    ResponseAcknowledged,
    ResponseRejected,
    StreamEvent,
    StreamProtocolError,
    identify_node,
    require_name_lengths,
)

# The order in which responses are sent, so that no resource refers to one that the client does not
# hold yet ("make before break" in the xDS protocol).
TYPE_ORDER = (
    names.CLUSTERS_TYPE,
    names.ENDPOINTS_TYPE,
    names.LISTENERS_TYPE,
    names.ROUTES_TYPE,
)


class VersionedResource(NamedTuple):
    """One resource: version, serialized message, and for routes the cluster they refer to."""

    version: str
    body: bytes
    cluster: str


class PendingResponse(NamedTuple):
    """One response to be sent: type, nonce, resource names, and serialized message."""

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
    """Encode the listener of a traffic class, the first resource that a client resolves."""
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
    """Encode the route of a traffic class to its cluster."""
    route_configuration = route_pb2.RouteConfiguration(name=traffic_class)
    host = route_configuration.virtual_hosts.add(name=traffic_class, domains=[traffic_class])
    route = host.routes.add()
    route.match.prefix = ""
    route.route.cluster = cluster
    return _encode_versioned(route_configuration, cluster)


@lru_cache(maxsize=4096)
def encode_cluster(name: str) -> VersionedResource:
    """Encode a cluster with endpoints from EDS and load reporting to this manager."""
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
    """Encode a cluster's endpoints: a locality for each worker, with its weight.

    Args:
        name: The cluster's name.
        weights: Weight by worker, as a fraction of a listed weight.
        zones: Zone by worker.
        admitted_fraction: Admitted fraction of the cluster's requests; a drop policy if below 1.
        ejected: Workers to leave out.
    """
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
    """The server's state of one state-of-the-world stream, for one of the four types or all.

    Set `resources` to all that the client should hold; `pending_responses` returns the responses
    for subscribed resources that differ from those sent.

    Attributes:
        node_id: The node's name, empty before the first request; `zone`, `metadata`, `request_rate`
            and `reported_term` are the node's as well, as in `DeltaStream`. `features` and
            `acked_versions` are always empty in this form.
        control_plane_id: This manager's identifier, with its term if it elects a leader.
        subscribed: Resource names that the client subscribes to, by type.
        sent_versions: Version by name of the last response, by type.
        pending_nonces: Nonce of the newest response by type, empty once it is answered.
        rejected_versions: Version by name of the response last rejected, by type.
    """

    is_state_of_the_world = True

    def __init__(self) -> None:
        self.node_id = ""
        self.zone = ""
        self.metadata: dict[str, object] = {}
        self.request_rate = 0.0
        self.reported_term = 0
        self.features: frozenset[str] = frozenset()
        self.acked_versions: dict[str, dict[str, str]] = {names.ENDPOINTS_TYPE: {}}
        self.control_plane_id = "dunlinlug"
        self.subscribed: dict[str, set[str]] = {}
        self.resources: ResourcesByType = {}
        self.sent_versions: dict[str, dict[str, str]] = {}
        self.pending_nonces: dict[str, str] = {}
        self.rejected_versions: dict[str, dict[str, str]] = {}
        self.last_nonce = 0

    def is_ready(self) -> bool:
        """Whether the client has subscribed to listeners, with which resolution begins."""
        return bool(self.subscribed.get(names.LISTENERS_TYPE))

    def receive(self, data: bytes, only_type: str = "") -> list[StreamEvent]:
        """Handle one request and return the resulting events.

        Args:
            data: The serialized request.
            only_type: The one type that this stream serves; empty for all four.

        Raises:
            StreamProtocolError: `data` is not a valid request, or names too many resources.
        """
        request = discovery_pb2.DiscoveryRequest()
        try:
            request.ParseFromString(data)
        except DecodeError as error:
            raise StreamProtocolError(f"not a DiscoveryRequest: {error}") from None
        events: list[StreamEvent] = []
        if not self.node_id:
            events.append(self._identify_node(request))
        _check_request(request, only_type)
        pending_nonce = self.pending_nonces.get(request.type_url, "")
        answers_pending = request.response_nonce == pending_nonce
        if request.response_nonce and pending_nonce and not answers_pending:
            return events  # an answer to a response that is not the newest, which xDS ignores
        self.subscribed[request.type_url] = set(request.resource_names)
        if request.response_nonce and answers_pending:
            events.append(self._handle_acknowledgement(request, pending_nonce))
        return events

    def _identify_node(self, request: discovery_pb2.DiscoveryRequest) -> NodeIdentified:
        node = identify_node(request.node)
        self.node_id = node.node_id
        self.zone = node.zone
        self.metadata = node.metadata
        self.request_rate = node.request_rate
        self.reported_term = int(node.reported_term)
        return NodeIdentified(self.node_id)

    def _handle_acknowledgement(
        self, request: discovery_pb2.DiscoveryRequest, nonce: str
    ) -> StreamEvent:
        self.pending_nonces[request.type_url] = ""
        if not request.HasField("error_detail"):
            self.rejected_versions.pop(request.type_url, None)
            return ResponseAcknowledged(nonce)
        self.rejected_versions[request.type_url] = self.sent_versions.get(request.type_url, {})
        return ResponseRejected(nonce, request.error_detail.message[:MAX_QUOTED_LENGTH])

    def close_type(self, type_url: str) -> None:
        """Drop the subscription and sent versions of one type, as its stream has ended."""
        for state_by_type in (
            self.subscribed,
            self.sent_versions,
            self.pending_nonces,
            self.rejected_versions,
        ):
            state_by_type.pop(type_url, None)

    def pending_responses(self) -> list[PendingResponse]:
        """Return the responses that are due, in sending order, and record them as sent."""
        responses = []
        for type_url in TYPE_ORDER:
            selected = self._subscribed_resources(type_url)
            versions = {name: resource.version for name, resource in selected.items()}
            if self._is_up_to_date(type_url, versions):
                # A resource that is only no longer subscribed to needs no response.
                self.sent_versions[type_url] = versions
                continue
            self.last_nonce += 1
            nonce = str(self.last_nonce)
            self.sent_versions[type_url] = versions
            self.pending_nonces[type_url] = nonce
            data = self._encode_response(type_url, nonce, selected)
            responses.append(PendingResponse(type_url, nonce, tuple(versions), data))
        return responses

    def _subscribed_resources(self, type_url: str) -> dict[str, VersionedResource]:
        """Return the available resources of one type that are subscribed to, sorted by name."""
        available = self.resources.get(type_url, {})
        return {
            name: available[name]
            for name in sorted(self.subscribed.get(type_url, ()))
            if name in available
        }

    def _is_up_to_date(self, type_url: str, versions: dict[str, str]) -> bool:
        """Whether `versions` equal those sent, apart from resources no longer subscribed to."""
        previous_versions = self.sent_versions.get(type_url, {})
        still_subscribed = {
            name: version
            for name, version in previous_versions.items()
            if name in self.subscribed.get(type_url, ())
        }
        return versions == still_subscribed and (bool(versions) or not previous_versions)

    def _encode_response(
        self, type_url: str, nonce: str, resources: Mapping[str, VersionedResource]
    ) -> bytes:
        versions = sorted((name, resource.version) for name, resource in resources.items())
        response = discovery_pb2.DiscoveryResponse(type_url=type_url, nonce=nonce)
        response.version_info = xxh3_64_hexdigest(repr(versions).encode())
        response.control_plane.identifier = self.control_plane_id
        response.resources.extend(
            any_pb2.Any(type_url=type_url, value=resource.body) for resource in resources.values()
        )
        encoded: bytes = response.SerializeToString()
        return encoded

    def is_converged(self) -> bool:
        """Whether the client holds all resources offered, including the endpoints of each route."""
        required_clusters = self._routed_clusters()
        return (
            bool(self.subscribed.get(names.LISTENERS_TYPE))
            and not any(self.pending_nonces.values())
            and not self.rejected_versions
            and required_clusters <= self.subscribed.get(names.ENDPOINTS_TYPE, set())
            and self.has_sent_all()
        )

    def has_sent_all(self) -> bool:
        """Whether the current version of each subscribed resource was sent."""
        return all(
            self.sent_versions.get(type_url, {}).get(name) == self.resources[type_url][name].version
            for type_url in self.resources
            for name in self.subscribed.get(type_url, ())
            if name in self.resources[type_url]
        )

    def _routed_clusters(self) -> set[str]:
        """Return the clusters that the routes of the subscribed traffic classes refer to."""
        traffic_classes = self.subscribed.get(names.LISTENERS_TYPE, set())
        routes = self.resources.get(names.ROUTES_TYPE, {})
        return {
            resource.cluster
            for traffic_class, resource in routes.items()
            if traffic_class in traffic_classes
        }


def _check_request(request: discovery_pb2.DiscoveryRequest, only_type: str) -> None:
    """Check the type and the size of a request. Raises StreamProtocolError."""
    type_url = request.type_url
    if type_url not in TYPE_ORDER or (only_type and type_url != only_type):
        served = only_type or ", ".join(TYPE_ORDER)
        raise StreamProtocolError(
            f"type {type_url[:MAX_NAME_LENGTH]!r} is not served; served are {served}"
        )
    # Limits the memory that a peer can make this process use.
    if len(request.resource_names) > MAX_RESOURCE_NAMES:
        raise StreamProtocolError(f"more than {MAX_RESOURCE_NAMES} resource names")
    require_name_lengths(request.resource_names)
