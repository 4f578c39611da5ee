"""The server's state of one delta ADS stream: responses by nonce, and acknowledged versions."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from dunlinlug.bounded_values import OutOfBoundsError
from dunlinlug.errors import DunlinlugError
from dunlinlug.xds import encoding, names
from dunlinlug.xds.node import ProxyNode, decode_node

# Maximum number of resource names that one stream may subscribe to or hold; a proxy needs about a
# thousandth of it.
MAX_RESOURCE_NAMES = 10_000
# Maximum number of characters of a resource's name or version.
MAX_NAME_LENGTH = 512
# Maximum number of a peer's characters that an error or a log line repeats.
MAX_QUOTED_LENGTH = 1_000


class StreamProtocolError(DunlinlugError):
    """The peer violated the protocol; its stream is ended with this text."""


@dataclass(frozen=True)
class NodeIdentified:
    """The first request of a stream, which names its node."""

    node_id: str


@dataclass(frozen=True)
class ResponseAcknowledged:
    """The peer has applied the response with this nonce (ACK)."""

    nonce: str


@dataclass(frozen=True)
class ResponseRejected:
    """The peer has rejected the response with this nonce as a whole (NACK)."""

    nonce: str
    reason: str


def identify_node(node: base_pb2.Node) -> ProxyNode:
    """Return the node of a stream's first request; raises StreamProtocolError."""
    if not node.id:
        raise StreamProtocolError("the first request must name its node")
    try:
        return decode_node(node)
    except OutOfBoundsError as error:
        raise StreamProtocolError(f"the node is out of bounds: {error}") from None


def require_name_lengths(resource_names: Iterable[str]) -> None:
    """Raise StreamProtocolError if one of these names or versions is too long."""
    if any(len(name) > MAX_NAME_LENGTH for name in resource_names):
        raise StreamProtocolError(f"a resource name of more than {MAX_NAME_LENGTH} characters")


StreamEvent = NodeIdentified | ResponseAcknowledged | ResponseRejected


class UnacknowledgedResponse(NamedTuple):
    """A response that was sent and not yet answered: type, resources, and removed names."""

    type_url: str
    resources: tuple[encoding.EncodedResource, ...]
    removed: tuple[str, ...]


class DeltaStream:
    """Decodes requests into events, and encodes responses with their nonces.

    Attributes:
        node_id: The node's name, empty before the first request; `zone`, `metadata` and `features`
            are the node's as well.
        request_rate: Requests per second that the node expects; 0 if unknown.
        reported_term: The highest term that the node has seen.
        acked_versions: Version of each resource that the peer holds, by resource name, by type.
        subscribed: Resource names that the peer subscribes to, by type.
        unacknowledged: Responses not yet answered, by nonce.
        control_plane_id: This manager's identifier, with its term if it elects a leader.
        is_state_of_the_world: Whether this is the state-of-the-world form.
    """

    is_state_of_the_world = False

    def __init__(self) -> None:
        self.node_id = ""
        self.zone = ""
        self.metadata: dict[str, object] = {}
        self.request_rate = 0.0
        self.reported_term = 0
        self.features: frozenset[str] = frozenset()
        self.acked_versions: dict[str, dict[str, str]] = {
            names.ENDPOINTS_TYPE: {},
            names.ROUTES_TYPE: {},
        }
        self.subscribed: dict[str, set[str]] = {}
        self.unacknowledged: dict[str, UnacknowledgedResponse] = {}
        self.last_nonce = 0
        self.control_plane_id = "dunlinlug"

    def is_ready(self) -> bool:
        """Whether the peer has subscribed to all types that a proxy needs."""
        return set(self.subscribed) == {names.ENDPOINTS_TYPE, names.ROUTES_TYPE}

    def receive(self, data: bytes) -> list[StreamEvent]:
        """Handle one request and return the resulting events.

        Raises:
            StreamProtocolError: `data` is not a valid request, or names too many resources.
        """
        request = discovery_pb2.DeltaDiscoveryRequest()
        try:
            request.ParseFromString(data)
        except DecodeError as error:
            raise StreamProtocolError(f"not a DeltaDiscoveryRequest: {error}") from None
        events: list[StreamEvent] = []
        if not self.node_id:
            events.append(self._identify_node(request))
        if request.type_url not in self.acked_versions:
            served = ", ".join(self.acked_versions)
            raise StreamProtocolError(
                f"type {request.type_url[:MAX_NAME_LENGTH]!r} is not served; served are {served}"
            )
        self._update_subscription(request)
        if request.response_nonce:
            events += self._handle_acknowledgement(request)
        return events

    def _update_subscription(self, request: discovery_pb2.DeltaDiscoveryRequest) -> None:
        require_name_lengths(request.resource_names_subscribe)
        require_name_lengths(request.initial_resource_versions)
        require_name_lengths(request.initial_resource_versions.values())
        acked = self.acked_versions[request.type_url]
        if not request.response_nonce or request.response_nonce not in self.unacknowledged:
            acked.update(request.initial_resource_versions)
        subscribed_names = self.subscribed.setdefault(request.type_url, set())
        subscribed_names |= set(request.resource_names_subscribe)
        subscribed_names -= set(request.resource_names_unsubscribe)
        # Limits the memory that a peer can make this process use.
        if max(len(subscribed_names), len(acked)) > MAX_RESOURCE_NAMES:
            raise StreamProtocolError(f"more than {MAX_RESOURCE_NAMES} resource names")

    def _identify_node(self, request: discovery_pb2.DeltaDiscoveryRequest) -> NodeIdentified:
        node = identify_node(request.node)
        self.node_id = node.node_id
        self.features = node.features
        self.zone = node.zone
        self.metadata = node.metadata
        self.request_rate = node.request_rate
        self.reported_term = int(node.reported_term)
        return NodeIdentified(self.node_id)

    def _handle_acknowledgement(
        self, request: discovery_pb2.DeltaDiscoveryRequest
    ) -> list[StreamEvent]:
        nonce = request.response_nonce
        response = self.unacknowledged.pop(nonce, None)
        if response is None:
            return []  # nonce of an earlier stream, or already answered
        if request.HasField("error_detail"):
            return [ResponseRejected(nonce, request.error_detail.message[:MAX_QUOTED_LENGTH])]
        acked = self.acked_versions[response.type_url]
        acked.update((resource.name, resource.version) for resource in response.resources)
        for name in response.removed:
            acked.pop(name, None)
        return [ResponseAcknowledged(nonce)]

    def respond(
        self,
        type_url: str,
        resources: tuple[encoding.EncodedResource, ...],
        removed: tuple[str, ...],
        tag: str,
    ) -> tuple[str, bytes]:
        """Encode a response as `encoding.encode_response` does; returns its nonce and bytes."""
        self.last_nonce += 1
        nonce = str(self.last_nonce)
        self.unacknowledged[nonce] = UnacknowledgedResponse(type_url, resources, removed)
        return nonce, encoding.encode_response(
            type_url, resources, removed, nonce, tag, self.control_plane_id
        )
