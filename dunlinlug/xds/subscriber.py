"""A proxy's state of its tables, across streams: applies a response whole or not at all, and answers it."""

from dataclasses import dataclass, field

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from dunlinlug.xds import fence, names, read, render
from dunlinlug.xds.fence import Fence


@dataclass(frozen=True)
class Applied:
    """What a response did: its tag, the lines it bore, and why it was refused, if it was."""

    type_url: str
    tag: str
    lines: int
    refused: str = ""
    by: tuple[int, str] = (0, "")  # term and member of the manager


@dataclass
class Holdings:
    """All that a proxy goes by. Outlives streams; a new stream says what is held."""

    tables: dict[str, read.Table] = field(default_factory=dict)
    routes: dict[str, tuple[str, render.Way]] = field(default_factory=dict)
    out: frozenset[str] = frozenset()
    versions: dict[str, dict[str, str]] = field(
        default_factory=lambda: {names.ENDPOINTS: {}, names.ROUTES: {}}
    )
    fence: Fence = field(default_factory=Fence)

    def lines(self, product: str) -> dict[str, float]:
        """The lines that may be picked for this product now, withdrawn ones left out."""
        table = self.tables.get(self.routes[product][0]) if product in self.routes else None
        if table is None:
            return {}
        return {w: n for w, n in table.lines.items() if w not in self.out and w not in table.shut}

    def level(self, product: str) -> float:
        table = self.tables.get(self.routes[product][0]) if product in self.routes else None
        return 1.0 if table is None else table.levels.get(product, 1.0)


class Subscriber:
    """One stream of a proxy: requests out, responses in. Make a new one for each stream, on the same holdings."""

    def __init__(
        self, holdings: Holdings, node: str, zone: str, metadata: dict[str, object]
    ) -> None:
        self.holdings, self.node, self.zone, self.metadata = holdings, node, zone, metadata

    def greet(self) -> list[bytes]:
        """The first requests, one for each type: all tables, and the one route."""
        made = []
        for type_url, wanted in ((names.ENDPOINTS, "*"), (names.ROUTES, names.ROUTE)):
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, resource_names_subscribe=[wanted]
            )
            request.node.id, request.node.locality.zone = self.node, self.zone
            request.node.user_agent_name = "dunlinlug"
            request.node.client_features.append(names.OVERLAY)
            request.node.metadata.update({**self.metadata, "term": self.holdings.fence.term})
            request.initial_resource_versions.update(self.holdings.versions[type_url])
            made.append(request.SerializeToString())
        return made

    def receive(self, data: bytes) -> tuple[bytes, Applied]:
        """Apply one response; gives the answer to send and what was done."""
        response = discovery_pb2.DeltaDiscoveryResponse()
        try:
            response.ParseFromString(data)
        except DecodeError as error:
            raise read.ReadFault(f"not a DeltaDiscoveryResponse: {error}") from None
        answer = discovery_pb2.DeltaDiscoveryRequest(
            type_url=response.type_url, response_nonce=response.nonce
        )
        # Danger: an order of a former master, late or from one that was frozen, would undo its successor's.
        by = fence.read(response.control_plane.identifier)
        refused, lines = self.holdings.fence.admits(*by), 0
        try:
            lines = 0 if refused else self._apply(response)
        except read.ReadFault as fault:
            refused = str(fault)
        if refused:
            answer.error_detail.code, answer.error_detail.message = 3, refused
        return answer.SerializeToString(), Applied(
            response.type_url, response.system_version_info, lines, refused, by
        )

    def _apply(self, response: discovery_pb2.DeltaDiscoveryResponse) -> int:
        holdings, lines = self.holdings, 0
        if response.type_url == names.ENDPOINTS:
            tables = dict(holdings.tables)
            out = holdings.out
            for resource in response.resources:
                table = read.table(resource.resource.value)
                lines += len(table.lines)
                if resource.name == names.OUT:
                    out = frozenset(table.lines)
                else:
                    tables[resource.name] = table
            for name in response.removed_resources:
                if any(name == table for table, _ in holdings.routes.values()):
                    raise read.ReadFault(f"table {name} is in use and cannot be taken away")
                tables.pop(name, None)
            holdings.tables, holdings.out = tables, out
        elif response.type_url == names.ROUTES:
            routes = holdings.routes
            for resource in response.resources:
                routes = read.routes(resource.resource.value)
            for product, (name, _) in routes.items():
                if (
                    name not in holdings.tables
                ):  # Danger: a route to nowhere would leave the product bare
                    raise read.ReadFault(f"{product} is routed to table {name}, which is not held")
            holdings.routes = routes
        else:
            raise read.ReadFault(f"type {response.type_url!r} was not asked for")
        versions = holdings.versions[response.type_url]
        versions.update((resource.name, resource.version) for resource in response.resources)
        for name in response.removed_resources:
            versions.pop(name, None)
        return lines
