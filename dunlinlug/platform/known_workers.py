"""The workers that are listed or were until recently, and their zones."""

from collections.abc import Sequence
from dataclasses import dataclass

from dunlinlug.decision.events import Endpoint

# Number of departed workers to remember: one that returns may still be ejected at proxies.
MAX_REMEMBERED_WORKERS = 256
NO_WORKERS: frozenset[str] = frozenset()


@dataclass(frozen=True)
class ListChange:
    """Effect of an update of the list on data cached by worker."""

    zone_changed: bool  # some worker moved to another zone
    forgotten: bool  # some departed workers are no longer known


class KnownWorkers:
    """The listed workers, in order of arrival, and the most recently departed ones.

    `known` contains both; `zones` maps each known worker to its zone.
    """

    def __init__(self) -> None:
        self.listed: dict[str, None] = {}
        self.departed: dict[str, None] = {}  # the earliest first
        self.known: frozenset[str] = NO_WORKERS
        self.zones: dict[str, str] = {}

    def is_known(self, worker: str) -> bool:
        """Return whether a worker is listed or departed recently."""
        return worker in self.known

    def update(self, update_type: str, endpoints: Sequence[Endpoint]) -> ListChange:
        """Apply an update of the list, given as in `EndpointsUpdated`."""
        present = {endpoint.id: None for endpoint in endpoints if endpoint.state != "gone"}
        removed = {endpoint.id for endpoint in endpoints if endpoint.state == "gone"}
        zone_changed = self._update_zones(endpoints)
        if update_type in ("whole", "kept"):
            removed |= self.listed.keys() - present.keys()
            self.listed = present
        elif update_type == "changes":
            self.listed.update(present)
            for worker in removed:
                self.listed.pop(worker, None)
        for worker in sorted(removed):
            self.departed.pop(worker, None)
            self.departed[worker] = None
        for worker in present:
            self.departed.pop(worker, None)
        return ListChange(zone_changed, self._forget_oldest())

    def _update_zones(self, endpoints: Sequence[Endpoint]) -> bool:
        zone_changed = False
        for endpoint in endpoints:
            if self.zones.get(endpoint.id, endpoint.zone) != endpoint.zone:
                zone_changed = True
            self.zones[endpoint.id] = endpoint.zone
        return zone_changed

    def _forget_oldest(self) -> bool:
        """Forget all but the most recently departed workers; return whether any were forgotten.

        Keeps memory bounded when new workers always come with new ids.
        """
        forgotten = list(self.departed)[:-MAX_REMEMBERED_WORKERS]
        for worker in forgotten:
            del self.departed[worker]
        self.known = frozenset(self.listed) | frozenset(self.departed)
        if forgotten:
            self.zones = {
                worker: zone for worker, zone in self.zones.items() if worker in self.known
            }
        return bool(forgotten)
