"""The server's state of one delta ADS stream: what was sent under which nonce, and what became of
it.
"""

from dataclasses import dataclass
from typing import NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import DecodeError

from dunlinlug.errors import DunlinlugError
from dunlinlug.xds import encoding, names

# resource names that one stream may subscribe to or hold: some thousand times what a proxy needs
MAX_RESOURCE_NAMES = 10_000


class StreamProtocolError(DunlinlugError):
    """The peer does not speak this protocol; the stream is to be ended with this text."""


@dataclass(frozen=True)
class NodeIdentified:
    """The first request: who it is."""

    node_id: str


@dataclass(frozen=True)
class ResponseAcknowledged:
    nonce: str


@dataclass(frozen=True)
class ResponseRejected:
    nonce: str
    reason: str


StreamEvent = NodeIdentified | ResponseAcknowledged | ResponseRejected


class UnacknowledgedResponse(NamedTuple):
    """A response that was sent and not yet answered: its type, resources, and removed names."""

    type_url: str
    resources: tuple[encoding.EncodedResource, ...]
    removed: tuple[str, ...]


class DeltaStream:
    """Takes serialized requests, gives what they say; makes responses with nonces of its own."""

    def __init__(self) -> None:
        self.node_id = self.zone = ""
        self.metadata: dict[str, object] = {}
        self.features: frozenset[str] = frozenset()
        self.acked_versions: dict[str, dict[str, str]] = {
            names.ENDPOINTS_TYPE: {},
            names.ROUTES_TYPE: {},
        }  # at the peer, acked
        self.subscribed: dict[str, set[str]] = {}
        self.unacknowledged: dict[str, UnacknowledgedResponse] = {}  # by nonce
        self.last_nonce = 0
        # this manager, and its term if it takes part in succession
        self.control_plane_id = "dunlinlug"

    is_state_of_the_world = False  # whether this stream speaks the state-of-the-world form

    def is_ready(self) -> bool:
        """Whether all has been asked for that a proxy needs."""
        return set(self.subscribed) == {names.ENDPOINTS_TYPE, names.ROUTES_TYPE}

    def receive(self, data: bytes) -> list[StreamEvent]:
        """Raises StreamFault for what is not a request of this protocol."""
        request = discovery_pb2.DeltaDiscoveryRequest()
        try:
            request.ParseFromString(data)
        except DecodeError as error:
            raise StreamProtocolError(f"not a DeltaDiscoveryRequest: {error}") from None
        events: list[StreamEvent] = []
        if not self.node_id:
            events.append(self._identify_node(request))
        if request.type_url not in self.acked_versions:
            raise StreamProtocolError(
                f"type {request.type_url!r} is not served; served are {', '.join(self.acked_versions)}"
            )
        if not request.response_nonce or request.response_nonce not in self.unacknowledged:
            self.acked_versions[request.type_url].update(request.initial_resource_versions)
        subscribed_names = self.subscribed.setdefault(request.type_url, set())
        subscribed_names |= set(request.resource_names_subscribe)
        subscribed_names -= set(request.resource_names_unsubscribe)
        if (
            len(subscribed_names) > MAX_RESOURCE_NAMES
            or len(self.acked_versions[request.type_url]) > MAX_RESOURCE_NAMES
        ):  # Danger: a peer could fill our memory
            raise StreamProtocolError(f"more than {MAX_RESOURCE_NAMES} resource names")
        if request.response_nonce:
            events += self._handle_acknowledgement(request)
        return events

    def _identify_node(self, request: discovery_pb2.DeltaDiscoveryRequest) -> NodeIdentified:
        if not request.node.id:
            raise StreamProtocolError("the first request must name its node")
        self.node_id = request.node.id
        self.features = frozenset(request.node.client_features)
        self.zone = request.node.locality.zone
        self.metadata = MessageToDict(request.node.metadata)
        return NodeIdentified(self.node_id)

    def _handle_acknowledgement(
        self, request: discovery_pb2.DeltaDiscoveryRequest
    ) -> list[StreamEvent]:
        nonce = request.response_nonce
        response = self.unacknowledged.pop(nonce, None)
        if response is None:
            return []  # an old stream's nonce, or one answered already
        if request.HasField("error_detail"):
            return [ResponseRejected(nonce, request.error_detail.message)]
        type_url, resources, removed = response
        acked = self.acked_versions[type_url]
        acked.update((resource.name, resource.version) for resource in resources)
        for name in removed:
            acked.pop(name, None)
        return [ResponseAcknowledged(nonce)]

    def respond(
        self,
        type_url: str,
        resources: tuple[encoding.EncodedResource, ...],
        removed: tuple[str, ...],
        tag: str,
    ) -> tuple[str, bytes]:
        """A response's nonce and bytes. `tag` travels as system_version_info."""
        self.last_nonce += 1
        nonce = str(self.last_nonce)
        self.unacknowledged[nonce] = UnacknowledgedResponse(type_url, resources, removed)
        return nonce, encoding.encode_response(
            type_url, resources, removed, nonce, tag, self.control_plane_id
        )
