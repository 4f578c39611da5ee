"""A proxy's state of its tables, across streams: applies a response whole or not at all, and
answers it.
"""

from dataclasses import dataclass, field

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from dunlinlug.xds import decoding, encoding, names
from dunlinlug.xds import fencing_term as xds_fencing_term
from dunlinlug.xds.fencing_term import FencingTerm


@dataclass(frozen=True)
class AppliedResponse:
    """What a response did: its tag, the lines it bore, and why it was refused, if it was."""

    type_url: str
    tag: str
    entry_count: int
    rejection_reason: str = ""
    control_plane: tuple[int, str] = (0, "")  # term and member of the manager


@dataclass
class ProxyState:
    """All that a proxy goes by. Outlives streams; a new stream says what is held."""

    tables: dict[str, decoding.DecodedTable] = field(default_factory=dict)
    routes: dict[str, tuple[str, encoding.RetryPolicy]] = field(default_factory=dict)
    ejected: frozenset[str] = frozenset()
    versions: dict[str, dict[str, str]] = field(
        default_factory=lambda: {names.ENDPOINTS_TYPE: {}, names.ROUTES_TYPE: {}}
    )
    fencing_term: FencingTerm = field(default_factory=FencingTerm)

    def usable_weights(self, traffic_class: str) -> dict[str, float]:
        """The lines that may be picked for this product now, withdrawn ones left out."""
        table = (
            self.tables.get(self.routes[traffic_class][0]) if traffic_class in self.routes else None
        )
        if table is None:
            return {}
        return {
            worker: weight
            for worker, weight in table.weights.items()
            if worker not in self.ejected and worker not in table.unhealthy
        }

    def admitted_fraction(self, traffic_class: str) -> float:
        table = (
            self.tables.get(self.routes[traffic_class][0]) if traffic_class in self.routes else None
        )
        return 1.0 if table is None else table.admitted_fractions.get(traffic_class, 1.0)


class DeltaSubscriber:
    """One stream of a proxy: requests out, responses in. Make a new one for each stream, on the
    same holdings.
    """

    def __init__(
        self, state: ProxyState, node_id: str, zone: str, metadata: dict[str, object]
    ) -> None:
        self.state = state
        self.node_id = node_id
        self.zone = zone
        self.metadata = metadata

    def initial_requests(self) -> list[bytes]:
        """The first requests, one for each type: all tables, and the one route."""
        requests = []
        for type_url, resource_name in (
            (names.ENDPOINTS_TYPE, "*"),
            (names.ROUTES_TYPE, names.ROUTES_RESOURCE),
        ):
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, resource_names_subscribe=[resource_name]
            )
            request.node.id = self.node_id
            request.node.locality.zone = self.zone
            request.node.user_agent_name = "dunlinlug"
            request.node.client_features.append(names.EJECTION_OVERLAY_FEATURE)
            request.node.metadata.update({**self.metadata, "term": self.state.fencing_term.term})
            request.initial_resource_versions.update(self.state.versions[type_url])
            requests.append(request.SerializeToString())
        return requests

    def receive(self, data: bytes) -> tuple[bytes, AppliedResponse]:
        """Apply one response; gives the answer to send and what was done."""
        response = discovery_pb2.DeltaDiscoveryResponse()
        try:
            response.ParseFromString(data)
        except DecodeError as error:
            raise decoding.DecodingError(f"not a DeltaDiscoveryResponse: {error}") from None
        request = discovery_pb2.DeltaDiscoveryRequest(
            type_url=response.type_url, response_nonce=response.nonce
        )
        # Danger: an order of a former master, late or from one that was frozen, would undo its
        # successor's.
        control_plane = xds_fencing_term.parse_identifier(response.control_plane.identifier)
        rejection_reason = self.state.fencing_term.rejection_reason(*control_plane)
        entry_count = 0
        try:
            entry_count = 0 if rejection_reason else self._apply(response)
        except decoding.DecodingError as decoding_error:
            rejection_reason = str(decoding_error)
        if rejection_reason:
            request.error_detail.code = 3
            request.error_detail.message = rejection_reason
        return request.SerializeToString(), AppliedResponse(
            response.type_url,
            response.system_version_info,
            entry_count,
            rejection_reason,
            control_plane,
        )

    def _apply(self, response: discovery_pb2.DeltaDiscoveryResponse) -> int:
        state = self.state
        entry_count = 0
        if response.type_url == names.ENDPOINTS_TYPE:
            tables = dict(state.tables)
            ejected = state.ejected
            for resource in response.resources:
                table = decoding.decode_table(resource.resource.value)
                entry_count += len(table.weights)
                if resource.name == names.EJECTIONS_RESOURCE:
                    ejected = frozenset(table.weights)
                else:
                    tables[resource.name] = table
            for name in response.removed_resources:
                if any(name == table for table, _ in state.routes.values()):
                    raise decoding.DecodingError(f"table {name} is in use and cannot be taken away")
                tables.pop(name, None)
            state.tables = tables
            state.ejected = ejected
        elif response.type_url == names.ROUTES_TYPE:
            routes = state.routes
            for resource in response.resources:
                routes = decoding.decode_routes(resource.resource.value)
            for traffic_class, (name, _) in routes.items():
                if (
                    name not in state.tables
                ):  # Danger: a route to nowhere would leave the product bare
                    raise decoding.DecodingError(
                        f"{traffic_class} is routed to table {name}, which is not held"
                    )
            state.routes = routes
        else:
            raise decoding.DecodingError(f"type {response.type_url!r} was not asked for")
        versions = state.versions[response.type_url]
        versions.update((resource.name, resource.version) for resource in response.resources)
        for name in response.removed_resources:
            versions.pop(name, None)
        return entry_count
