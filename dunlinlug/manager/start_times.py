"""Converts the start times of endpoints from wall time to the decision module's clock."""

from collections.abc import Container
from dataclasses import dataclass, replace

from dunlinlug.decision.events import Endpoint


@dataclass(frozen=True)
class KnownStart:
    """One endpoint's start: in Unix seconds as listed, and in seconds on the module's clock."""

    wall_time: float
    module_time: float


class StartTimes:
    """The start time of each endpoint on the module's clock, converted once per incarnation.

    If a start time were converted again after the wall clock was set back, every start would look
    recent and the whole fleet would be treated as warming up.
    """

    def __init__(self) -> None:
        self.known_starts: dict[str, KnownStart] = {}  # by endpoint id

    def to_module_clock(self, endpoint: Endpoint, clock_offset: float) -> Endpoint:
        """Return the endpoint with its start on the module's clock.

        `clock_offset` is the module's clock minus the wall clock at present, in seconds.
        """
        if endpoint.started_at is None:
            return endpoint
        known = self.known_starts.get(endpoint.id)
        if known is None or known.wall_time != endpoint.started_at:
            known = KnownStart(endpoint.started_at, endpoint.started_at + clock_offset)
            self.known_starts[endpoint.id] = known
        return replace(endpoint, started_at=known.module_time)

    def retain_only(self, endpoint_ids: Container[str]) -> None:
        """Forget all other endpoints, as they are gone.

        Otherwise start times would accumulate in a fleet whose endpoints always get new ids.
        """
        self.known_starts = {
            endpoint_id: start
            for endpoint_id, start in self.known_starts.items()
            if endpoint_id in endpoint_ids
        }
