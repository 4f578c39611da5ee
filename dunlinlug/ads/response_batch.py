"""What one reply orders for one proxy: an ordered set of responses and the marks that its answers
settle.
"""

from dataclasses import dataclass, field

from dunlinlug.xds.encoding import EncodedResource
from dunlinlug.xds.state_of_the_world import ResourcesByType


@dataclass
class ResponseBatch:
    """Tables first, then routes, then what is taken away: a proxy never routes to a table it has
    not got.
    """

    tables: dict[str, EncodedResource] = field(default_factory=dict)
    routes: EncodedResource | None = None
    removed_tables: set[str] = field(default_factory=set)
    state_of_the_world: ResourcesByType | None = (
        None  # for a client of the full form: all that it should hold
    )
    ack_requests: list[tuple[int, float]] = field(
        default_factory=list
    )  # number, and when it was ordered
    entry_count: float = 0.0
    ordered_at: float = 0.0  # when the first of it was ordered
    reply_count: int = 1  # how many replies' parcels have been merged into this one

    def merge(self, later: "ResponseBatch") -> None:
        """Add a later parcel for the same proxy: the newest of each resource stays, no mark is
        lost.
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
