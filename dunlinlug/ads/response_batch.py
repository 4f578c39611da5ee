"""A batch: the resources and acknowledgement requests that are sent to one proxy together."""

from dataclasses import dataclass, field

from dunlinlug.xds.encoding import EncodedResource
from dunlinlug.xds.state_of_the_world import ResourcesByType


@dataclass
class ResponseBatch:
    """Resources for one proxy, sent in this order: tables, then routes, then removals.

    With this order a proxy never routes to a table that it does not have.

    Attributes:
        tables: New or changed tables (and the ejection overlay) by resource name, oldest first.
        routes: The routes, if they changed.
        removed_tables: Names of tables that the proxy should drop.
        state_of_the_world: All resources that a state-of-the-world client should hold; None for a
            delta client.
        ack_requests: Number of each acknowledgement request, and the time of the request (event
            loop's clock, seconds).
        entry_count: Cost of this batch on the channel, in table entries.
        ordered_at: When the oldest part of the batch was ordered (event loop's clock, seconds).
        reply_count: Number of replies of the decision module that were merged into the batch.
    """

    tables: dict[str, EncodedResource] = field(default_factory=dict)
    routes: EncodedResource | None = None
    removed_tables: set[str] = field(default_factory=set)
    state_of_the_world: ResourcesByType | None = None
    ack_requests: list[tuple[int, float]] = field(default_factory=list)
    entry_count: float = 0.0
    ordered_at: float = 0.0
    reply_count: int = 1

    def merge(self, later: "ResponseBatch") -> None:
        """Add a later batch for the same proxy.

        The newest version of each resource is kept, and so are all acknowledgement requests.
        """
        for name, resource in later.tables.items():
            self.tables.pop(name, None)
            self.tables[name] = resource
        self.removed_tables = (self.removed_tables - later.tables.keys()) | later.removed_tables
        for name in later.removed_tables:
            self.tables.pop(name, None)
        self.routes = later.routes or self.routes
        self.state_of_the_world = later.state_of_the_world or self.state_of_the_world
        self.ack_requests += later.ack_requests
        self.entry_count += later.entry_count
        self.reply_count += later.reply_count
