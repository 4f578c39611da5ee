"""The list as known. Bookkeeping alone: nothing here is decided."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from math import inf

from dunlinlug.decision.events import EndpointsUpdated


class Fleet:
    """The listed workers, in parallel arrays under an index that each keeps while listed or in use.
    `weights` are those of the ready; whoever has none told has what `usual` makes of those told.
    `turned` are rows that the last news made ready or ended.
    """

    def __init__(self, default_weight: Callable[[list[float]], float]) -> None:
        self.row_by_id: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.listed_weights: list[float | None] = []
        self.started_at: list[float] = []
        self.default_weight = default_weight
        self.changed_rows = set[int]()
        self.readiness_changes = set[int]()
        self.base_weights = dict[int, float]()
        self.unweighted_rows = set[int]()
        # the ready ones in order
        self.ready_rows = list[int]()
        # of their weights, negative: to be made anew
        self.weight_sum = 0.0

    def apply_update(
        self, update: EndpointsUpdated, rows_in_use: Callable[[], set[int]]
    ) -> list[tuple[int, bool]]:
        """Take in news of the list; tells who has a new start, and whether it is new itself. The
        row of one that went passes on once over half of all are of such, `held` excepted: it may
        come back.
        """
        listed_ids = {endpoint.id for endpoint in update.endpoints}
        restarted = list[tuple[int, bool]]()
        reusable_rows = None
        is_snapshot = update.update_type in ("whole", "kept")
        changed = set[int]()
        may_reuse_rows = 2 * (0 if is_snapshot else len(self.ready_rows)) < len(self.ids)
        if is_snapshot:
            self.ready = [False] * len(self.ids)  # whoever a whole list does not name is gone
        for endpoint in update.endpoints:
            started_at = -inf if endpoint.started_at is None else endpoint.started_at
            is_new = endpoint.id not in self.row_by_id
            if is_new:
                reusable_rows = (
                    (self._reusable_rows(rows_in_use(), listed_ids) if may_reuse_rows else [])
                    if reusable_rows is None
                    else reusable_rows
                )
                row = self.row_by_id[endpoint.id] = (
                    reusable_rows.pop(0) if reusable_rows else len(self.ids)
                )
                self.row_by_id.pop(self.ids[row] if row < len(self.ids) else "", None)
                self.ids[row : row + 1], self.zones[row : row + 1] = [endpoint.id], [endpoint.zone]
                (
                    self.ready[row : row + 1],
                    self.listed_weights[row : row + 1],
                    self.started_at[row : row + 1],
                ) = (
                    [False],
                    [None],
                    [started_at],
                )
            row = self.row_by_id[endpoint.id]
            if is_new or started_at > self.started_at[row]:
                restarted.append((row, is_new))
            if (
                is_new
                or started_at > self.started_at[row]
                or (endpoint.zone, endpoint.weight) != (self.zones[row], self.listed_weights[row])
            ):
                changed.add(row)
            self.zones[row], self.listed_weights[row], self.ready[row] = (
                endpoint.zone,
                endpoint.weight,
                endpoint.state == "ready",
            )
            self.started_at[row] = max(started_at, self.started_at[row])
        self._update_weights(
            changed,
            range(len(self.ids))
            if is_snapshot
            else {self.row_by_id[endpoint.id] for endpoint in update.endpoints},
        )
        return restarted

    def _reusable_rows(self, rows_in_use: set[int], listed_ids: set[str]) -> list[int]:
        return [
            i
            for i, ready in enumerate(self.ready)
            if not (ready or i in rows_in_use or self.ids[i] in listed_ids)
        ]

    def _update_weights(self, changed: set[int], updated_rows: Iterable[int]) -> None:
        self.readiness_changes = {
            row for row in updated_rows if self.ready[row] != (row in self.base_weights)
        }
        for row in self.readiness_changes:
            if self.ready[row]:
                insort(self.ready_rows, row)
            else:
                del self.ready_rows[bisect_left(self.ready_rows, row)], self.base_weights[row]
                self.unweighted_rows.discard(row)
        for row in (changed := changed | self.readiness_changes):
            if self.ready[row]:
                self.base_weights[row] = self.listed_weights[row] or 1.0
                (
                    self.unweighted_rows.discard
                    if self.listed_weights[row]
                    else self.unweighted_rows.add
                )(row)
        if self.unweighted_rows:
            listed = [w for w in map(self.listed_weights.__getitem__, self.ready_rows) if w] or [
                1.0
            ]
            self.base_weights.update(
                dict.fromkeys(self.unweighted_rows, self.default_weight(listed))
            )
        self.weight_sum = -1.0
        self.changed_rows |= changed | self.unweighted_rows

    def take_changed_rows(self) -> set[int]:
        """Rows with news since this was asked."""
        changed = self.changed_rows
        self.changed_rows = set()
        return changed

    def total_weight(self) -> float:
        """All ready ones' weight, added up by row."""
        if self.weight_sum < 0.0:
            self.weight_sum = sum(map(self.base_weights.__getitem__, self.ready_rows))
        return self.weight_sum

    def available_fraction(self, ejected: set[int], exact_below: float) -> float:
        """The part of the weight that these leave. Danger: a level tips by the last digit, so a
        part below `doubt` is added up worker by worker.
        """
        fraction = (
            self.total_weight()
            - sum(self.base_weights[i] for i in ejected if i in self.base_weights)
        ) / self.total_weight()
        return (
            fraction
            if fraction >= exact_below
            else sum(self.base_weights[i] for i in dict.fromkeys(self.ready_rows).keys() - ejected)
            / self.total_weight()
        )

    def by_zone(self, rows: Iterable[int]) -> dict[str, set[int]]:
        """These workers parted by zone."""
        rows_by_zone: dict[str, set[int]] = {}
        for row in rows:
            rows_by_zone.setdefault(self.zones[row], set()).add(row)
        return rows_by_zone
