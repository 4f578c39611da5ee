"""The endpoint list as last received.

Bookkeeping only: no decisions are made here.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from math import inf

from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, UpdateType

# Update types that contain the complete list.
SNAPSHOT_TYPES = (UpdateType.SNAPSHOT, UpdateType.RESTORED)


class Fleet:
    """Holds the listed endpoints, in parallel arrays by row.

    An endpoint keeps its row while it is listed or in use. `base_weights` are the weights of the
    ready rows; a row without a listed weight gets the result of `default_weight` for the listed
    ones. `readiness_changes` are the rows that the last update made ready or not ready.
    """

    def __init__(self, default_weight: Callable[[list[float]], float]) -> None:
        self.row_by_id: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.listed_weights: list[float | None] = []
        self.started_at: list[float] = []  # seconds; -inf if it was long ago
        self.default_weight = default_weight
        self.changed_rows = set[int]()
        self.readiness_changes = set[int]()
        self.base_weights = dict[int, float]()
        self.unweighted_rows = set[int]()  # ready rows without a listed weight
        self.ready_rows = list[int]()  # sorted
        self.weight_sum = 0.0  # of the ready rows; negative if it must be recomputed

    def apply_update(
        self, update: EndpointsUpdated, rows_in_use: Callable[[], set[int]]
    ) -> list[tuple[int, bool]]:
        """Apply an update; return the rows of started endpoints, and whether each is new.

        Once fewer than half of all rows are ready, rows of endpoints that are not ready are
        reused, except rows in use: their endpoints may return.
        """
        restarted = list[tuple[int, bool]]()
        changed = set[int]()
        reusable_rows: list[int] | None = None
        is_snapshot = update.update_type in SNAPSHOT_TYPES
        may_reuse_rows = 2 * (0 if is_snapshot else len(self.ready_rows)) < len(self.ids)
        if is_snapshot:
            # An endpoint that a snapshot does not list is gone.
            self.ready = [False] * len(self.ids)
        for endpoint in update.endpoints:
            is_new = endpoint.id not in self.row_by_id
            if is_new:
                if reusable_rows is None:
                    reusable_rows = []
                    if may_reuse_rows:
                        listed_ids = {endpoint.id for endpoint in update.endpoints}
                        reusable_rows = self._reusable_rows(rows_in_use(), listed_ids)
                self._add_row(endpoint, reusable_rows.pop(0) if reusable_rows else len(self.ids))
            row = self.row_by_id[endpoint.id]
            has_restarted = is_new or _started_at(endpoint) > self.started_at[row]
            if has_restarted:
                restarted.append((row, is_new))
            if has_restarted or self._is_listing_changed(row, endpoint):
                changed.add(row)
            self._update_row(row, endpoint)
        updated_rows: Iterable[int] = range(len(self.ids))
        if not is_snapshot:
            updated_rows = {self.row_by_id[endpoint.id] for endpoint in update.endpoints}
        self._update_weights(changed, updated_rows)
        return restarted

    def _reusable_rows(self, rows_in_use: set[int], listed_ids: set[str]) -> list[int]:
        """Return the rows of endpoints that are not ready, not in use and not in the update."""
        return [
            row
            for row, ready in enumerate(self.ready)
            if not (ready or row in rows_in_use or self.ids[row] in listed_ids)
        ]

    def _add_row(self, endpoint: Endpoint, row: int) -> None:
        """Store an endpoint in this row: one past the last row, or a reused one."""
        self.row_by_id[endpoint.id] = row
        if row < len(self.ids):
            self.row_by_id.pop(self.ids[row], None)
        self.ids[row : row + 1] = [endpoint.id]
        self.zones[row : row + 1] = [endpoint.zone]
        self.ready[row : row + 1] = [False]
        self.listed_weights[row : row + 1] = [None]
        self.started_at[row : row + 1] = [_started_at(endpoint)]

    def _is_listing_changed(self, row: int, endpoint: Endpoint) -> bool:
        """Whether the endpoint was listed in another zone or with another weight before."""
        return endpoint.zone != self.zones[row] or endpoint.weight != self.listed_weights[row]

    def _update_row(self, row: int, endpoint: Endpoint) -> None:
        """Store an endpoint's list entry; its start time never decreases."""
        self.zones[row] = endpoint.zone
        self.listed_weights[row] = endpoint.weight
        self.ready[row] = endpoint.state == EndpointState.READY
        self.started_at[row] = max(_started_at(endpoint), self.started_at[row])

    def _update_weights(self, changed: set[int], updated_rows: Iterable[int]) -> None:
        """Update the weights of the ready rows after these rows were updated."""
        self.readiness_changes = {
            row for row in updated_rows if self.ready[row] != (row in self.base_weights)
        }
        for row in self.readiness_changes:
            if self.ready[row]:
                insort(self.ready_rows, row)
            else:
                del self.ready_rows[bisect_left(self.ready_rows, row)]
                del self.base_weights[row]
                self.unweighted_rows.discard(row)
        all_changed = changed | self.readiness_changes
        for row in all_changed:
            if self.ready[row]:
                listed_weight = self.listed_weights[row]
                self.base_weights[row] = listed_weight or 1.0
                if listed_weight:
                    self.unweighted_rows.discard(row)
                else:
                    self.unweighted_rows.add(row)
        if self.unweighted_rows:
            weights = (self.listed_weights[row] for row in self.ready_rows)
            listed_weights = [weight for weight in weights if weight] or [1.0]
            self.base_weights.update(
                dict.fromkeys(self.unweighted_rows, self.default_weight(listed_weights))
            )
        self.weight_sum = -1.0
        self.changed_rows |= all_changed | self.unweighted_rows

    def take_changed_rows(self) -> set[int]:
        """Return the rows that changed since the last call."""
        changed = self.changed_rows
        self.changed_rows = set()
        return changed

    def total_weight(self) -> float:
        """Return the total weight of the ready rows, added in row order."""
        if self.weight_sum < 0.0:
            self.weight_sum = sum(map(self.base_weights.__getitem__, self.ready_rows))
        return self.weight_sum

    def available_fraction(self, ejected: set[int], exact_below: float) -> float:
        """Return the fraction of the weight that is not ejected.

        Below `exact_below` it is added row by row, as its last digit can decide an admission
        level.
        """
        total_weight = self.total_weight()
        ejected_weight = sum(self.base_weights[row] for row in ejected if row in self.base_weights)
        fraction = (total_weight - ejected_weight) / total_weight
        if fraction >= exact_below:
            return fraction
        available_rows = dict.fromkeys(self.ready_rows).keys() - ejected
        return sum(self.base_weights[row] for row in available_rows) / total_weight

    def by_zone(self, rows: Iterable[int]) -> dict[str, set[int]]:
        """Return these rows by zone."""
        rows_by_zone: dict[str, set[int]] = {}
        for row in rows:
            rows_by_zone.setdefault(self.zones[row], set()).add(row)
        return rows_by_zone


def _started_at(endpoint: Endpoint) -> float:
    """Return when an endpoint started, in seconds."""
    return -inf if endpoint.started_at is None else endpoint.started_at
