"""The server's state of one delta ADS stream: what was sent under which nonce, and what became of it."""

from dataclasses import dataclass

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import DecodeError

from dunlinlug.xds import names, render

NAMES = 10_000  # resource names that one stream may subscribe to or hold: some thousand times what a proxy needs


class StreamFault(Exception):
    """The peer does not speak this protocol; the stream is to be ended with this text."""


@dataclass(frozen=True)
class Greeted:
    """The first request: who it is."""

    node: str


@dataclass(frozen=True)
class Acked:
    nonce: str


@dataclass(frozen=True)
class Refused:
    nonce: str
    why: str


Said = Greeted | Acked | Refused


class DeltaStream:
    """Takes serialized requests, gives what they say; makes responses with nonces of its own."""

    def __init__(self) -> None:
        self.node = self.zone = ""
        self.metadata: dict[str, object] = {}
        self.features: frozenset[str] = frozenset()
        self.held: dict[str, dict[str, str]] = {
            names.ENDPOINTS: {},
            names.ROUTES: {},
        }  # at the peer, acked
        self.subscribed: dict[str, set[str]] = {}
        self.sent: dict[
            str, tuple[str, tuple[render.Resource, ...], tuple[str, ...]]
        ] = {}  # by nonce
        self.last = 0
        self.control = "dunlinlug"  # this manager, and its term if it takes part in succession

    full = False  # whether this stream speaks the state-of-the-world form

    def ready(self) -> bool:
        """Whether all has been asked for that a proxy needs."""
        return set(self.subscribed) == {names.ENDPOINTS, names.ROUTES}

    def receive(self, data: bytes) -> list[Said]:
        """Raises StreamFault for what is not a request of this protocol."""
        request = discovery_pb2.DeltaDiscoveryRequest()
        try:
            request.ParseFromString(data)
        except DecodeError as error:
            raise StreamFault(f"not a DeltaDiscoveryRequest: {error}") from None
        said: list[Said] = []
        if not self.node:
            said.append(self._greet(request))
        if request.type_url not in self.held:
            raise StreamFault(
                f"type {request.type_url!r} is not served; served are {', '.join(self.held)}"
            )
        if not request.response_nonce or request.response_nonce not in self.sent:
            self.held[request.type_url].update(request.initial_resource_versions)
        wanted = self.subscribed.setdefault(request.type_url, set())
        wanted |= set(request.resource_names_subscribe)
        wanted -= set(request.resource_names_unsubscribe)
        if (
            len(wanted) > NAMES or len(self.held[request.type_url]) > NAMES
        ):  # Danger: a peer could fill our memory
            raise StreamFault(f"more than {NAMES} resource names")
        if request.response_nonce:
            said += self._answered(request)
        return said

    def _greet(self, request: discovery_pb2.DeltaDiscoveryRequest) -> Greeted:
        if not request.node.id:
            raise StreamFault("the first request must name its node")
        self.node, self.features = request.node.id, frozenset(request.node.client_features)
        self.zone, self.metadata = request.node.locality.zone, MessageToDict(request.node.metadata)
        return Greeted(self.node)

    def _answered(self, request: discovery_pb2.DeltaDiscoveryRequest) -> list[Said]:
        nonce = request.response_nonce
        sent = self.sent.pop(nonce, None)
        if sent is None:
            return []  # an old stream's nonce, or one answered already
        if request.HasField("error_detail"):
            return [Refused(nonce, request.error_detail.message)]
        type_url, resources, removed = sent
        held = self.held[type_url]
        held.update((resource.name, resource.version) for resource in resources)
        for name in removed:
            held.pop(name, None)
        return [Acked(nonce)]

    def respond(
        self,
        type_url: str,
        resources: tuple[render.Resource, ...],
        removed: tuple[str, ...],
        tag: str,
    ) -> tuple[str, bytes]:
        """A response's nonce and bytes. `tag` travels as system_version_info."""
        self.last += 1
        nonce = str(self.last)
        self.sent[nonce] = (type_url, resources, removed)
        return nonce, render.response(type_url, resources, removed, nonce, tag, self.control)
