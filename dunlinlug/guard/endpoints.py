"""The endpoints that service discovery has listed, with their states and start times."""

from collections.abc import Iterator
from dataclasses import replace
from math import inf

from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, Event


class ListedEndpoints:
    """Tracks the endpoint list.

    Attributes:
        by_id: The newest entry of every endpoint that was ever listed, including those now gone.
        started_at: By endpoint id, the latest start that was listed (seconds on the clock of the
            events; minus infinity if it started long ago).
        warming_up: Ids of endpoints that may still be warming up, in the order in which they were
            listed; a dict as it keeps the order.
    """

    def __init__(self, warm_up_time: float) -> None:
        """Treat an endpoint as warming up for `warm_up_time` seconds after its start."""
        self.warm_up_time = warm_up_time
        self.by_id: dict[str, Endpoint] = {}
        self.started_at: dict[str, float] = {}
        self.warming_up: dict[str, None] = {}

    def handle(self, now: float, event: Event) -> None:
        """Apply an update of the endpoint list; other events are ignored."""
        if not isinstance(event, EndpointsUpdated) or event.update_type == "failed":
            return
        if event.update_type != "changes":
            # An endpoint that a snapshot does not list is gone; its last listed state no longer
            # applies.
            self.by_id = {
                worker: replace(endpoint, state=EndpointState.GONE)
                for worker, endpoint in self.by_id.items()
            }
        for endpoint in event.endpoints:
            self._add(now, endpoint)

    def _add(self, now: float, endpoint: Endpoint) -> None:
        self.by_id[endpoint.id] = endpoint
        self.started_at[endpoint.id] = max(
            self.started_at.get(endpoint.id, -inf), endpoint.started_at or -inf
        )
        if self.is_warming_up(now, endpoint.id):
            self.warming_up[endpoint.id] = None

    def is_ready(self, worker: str) -> bool:
        """Whether the endpoint was last listed as ready."""
        return worker in self.by_id and self.by_id[worker].state == "ready"

    def is_warming_up(self, now: float, worker: str) -> bool:
        """Whether the endpoint started less than the warm-up time ago."""
        return now < self.started_at.get(worker, -inf) + self.warm_up_time

    def warming_endpoints(self, now: float) -> list[Endpoint]:
        """The listed endpoints that are warming up; all others are removed from `warming_up`."""
        self.warming_up = {
            worker: None for worker in self.warming_up if self.is_warming_up(now, worker)
        }
        return [self.by_id[worker] for worker in self.warming_up if worker in self.by_id]

    def warm_endpoints(self, now: float) -> Iterator[Endpoint]:
        """The ready endpoints that have warmed up."""
        for endpoint in self.by_id.values():
            if endpoint.state == "ready" and not self.is_warming_up(now, endpoint.id):
                yield endpoint
