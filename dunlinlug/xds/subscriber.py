"""The proxy's side of delta ADS: applies a response completely or not at all, and answers it.

The proxy's state outlives streams; a new stream sends the versions held to the manager.
"""

from dataclasses import dataclass, field

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from dunlinlug.xds import decoding, encoding, names
from dunlinlug.xds import fencing_term as xds_fencing_term
from dunlinlug.xds.fencing_term import FencingTerm

INVALID_ARGUMENT = 3  # google.rpc.Code used in a NACK


@dataclass(frozen=True)
class AppliedResponse:
    """The result of applying or rejecting one response.

    Attributes:
        type_url: Type of its resources.
        tag: `system_version_info` of the response, set by the manager's session.
        entry_count: Number of table entries in the response; 0 if it was rejected.
        rejection_reason: Empty if the response was applied.
        control_plane: Term and member of the manager that sent it.
    """

    type_url: str
    tag: str
    entry_count: int
    rejection_reason: str = ""
    control_plane: tuple[int, str] = (0, "")


@dataclass
class ProxyState:
    """The state by which a proxy routes requests; it outlives streams.

    Attributes:
        tables: Table by resource name.
        routes: Table name and retry policy by traffic class.
        ejected: Workers ejected from every table.
        versions: Version by resource name, by type.
        fencing_term: The highest term seen.
    """

    tables: dict[str, decoding.DecodedTable] = field(default_factory=dict)
    routes: dict[str, tuple[str, encoding.RetryPolicy]] = field(default_factory=dict)
    ejected: frozenset[str] = frozenset()
    versions: dict[str, dict[str, str]] = field(
        default_factory=lambda: {names.ENDPOINTS_TYPE: {}, names.ROUTES_TYPE: {}}
    )
    fencing_term: FencingTerm = field(default_factory=FencingTerm)

    def usable_weights(self, traffic_class: str) -> dict[str, float]:
        """Return the weight of each worker usable for this class; ejected workers are omitted."""
        table = self._table_of(traffic_class)
        if table is None:
            return {}
        return {
            worker: weight
            for worker, weight in table.weights.items()
            if worker not in self.ejected and worker not in table.unhealthy
        }

    def admitted_fraction(self, traffic_class: str) -> float:
        """Return the admitted fraction of this class's requests; 1 if no table limits it."""
        table = self._table_of(traffic_class)
        if table is None:
            return 1.0
        return table.admitted_fractions.get(traffic_class, 1.0)

    def _table_of(self, traffic_class: str) -> decoding.DecodedTable | None:
        route = self.routes.get(traffic_class)
        if route is None:
            return None
        return self.tables.get(route[0])


class DeltaSubscriber:
    """The proxy's side of one stream: encodes requests and applies responses.

    Create a new one for each stream, with the same state.
    """

    def __init__(
        self, state: ProxyState, node_id: str, zone: str, metadata: dict[str, object]
    ) -> None:
        self.state = state
        self.node_id = node_id
        self.zone = zone
        self.metadata = metadata

    def initial_requests(self) -> list[bytes]:
        """Return the first request for each type: all tables, and the only route configuration."""
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
        """Apply one response; returns the ACK or NACK to send, and the result.

        Raises:
            DecodingError: `data` is not a `DeltaDiscoveryResponse`, so it cannot be answered.
        """
        response = discovery_pb2.DeltaDiscoveryResponse()
        try:
            response.ParseFromString(data)
        except DecodeError as error:
            raise decoding.DecodingError(f"not a DeltaDiscoveryResponse: {error}") from None
        request = discovery_pb2.DeltaDiscoveryRequest(
            type_url=response.type_url, response_nonce=response.nonce
        )
        # Fencing: a late response of an earlier leader, or of one whose process was suspended, must
        # not undo the changes sent by its successor.
        control_plane = xds_fencing_term.parse_identifier(response.control_plane.identifier)
        rejection_reason = self.state.fencing_term.rejection_reason(*control_plane)
        entry_count = 0
        try:
            if not rejection_reason:
                entry_count = self._apply(response)
        except decoding.DecodingError as decoding_error:
            rejection_reason = str(decoding_error)
        if rejection_reason:
            request.error_detail.code = INVALID_ARGUMENT
            request.error_detail.message = rejection_reason
        return request.SerializeToString(), AppliedResponse(
            response.type_url,
            response.system_version_info,
            entry_count,
            rejection_reason,
            control_plane,
        )

    def _apply(self, response: discovery_pb2.DeltaDiscoveryResponse) -> int:
        """Apply a response; returns the number of its table entries. Raises DecodingError."""
        entry_count = 0
        if response.type_url == names.ENDPOINTS_TYPE:
            entry_count = self._apply_tables(response)
        elif response.type_url == names.ROUTES_TYPE:
            self._apply_routes(response)
        else:
            raise decoding.DecodingError(f"type {response.type_url!r} was not asked for")
        versions = self.state.versions[response.type_url]
        versions.update((resource.name, resource.version) for resource in response.resources)
        for name in response.removed_resources:
            versions.pop(name, None)
        return entry_count

    def _apply_tables(self, response: discovery_pb2.DeltaDiscoveryResponse) -> int:
        state = self.state
        entry_count = 0
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
            if any(name == table_name for table_name, _ in state.routes.values()):
                raise decoding.DecodingError(f"table {name} is in use and cannot be taken away")
            tables.pop(name, None)
        state.tables = tables
        state.ejected = ejected
        return entry_count

    def _apply_routes(self, response: discovery_pb2.DeltaDiscoveryResponse) -> None:
        routes = self.state.routes
        for resource in response.resources:
            routes = decoding.decode_routes(resource.resource.value)
        for traffic_class, (name, _) in routes.items():
            # A route to a table that is not held would leave the traffic class without any
            # endpoint.
            if name not in self.state.tables:
                raise decoding.DecodingError(
                    f"{traffic_class} is routed to table {name}, which is not held"
                )
        self.state.routes = routes
